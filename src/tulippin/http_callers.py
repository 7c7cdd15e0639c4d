"""The callers' HTTP API: service requests and jobs."""

from __future__ import annotations

import re
import typing as t

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tulippin._http_app import (
    ErrorBody,
    make_app,
    make_health_routes,
    make_json,
    read_json,
)
from tulippin._request_outcomes import make_not_run
from tulippin.api_types import ServiceAnswer, ServiceCall
from tulippin.bundles import compute_digest
from tulippin.codec import decode, encode
from tulippin.exceptions import Finding, InputError, NotFoundError
from tulippin.messages import (
    JobReply,
    JobStatus,
    RequestOutcome,
    ServiceRequest,
)
from tulippin.settings import LimitSettings
from tulippin.shell import Shell
from tulippin.types import JobKind, JobSpec, OutcomeKind

_NAME_PATTERN: t.Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')
_CLOCK_SKEW_MS: t.Final = 5000
_OUTCOME_STATUSES: t.Final = {
    OutcomeKind.ANSWERED: 200,
    OutcomeKind.NOT_RUN: 503,
    OutcomeKind.UNKNOWN: 504,
    OutcomeKind.FAILED: 502,
}
_CODE_STATUSES: t.Final = {
    'id_reused': 409,
    'job_id_reused': 409,
    'unknown_team': 403,
    'priority_too_high': 403,
    'never_fits': 422,
    'store_unavailable': 503,
    'unknown': 504,
    'overloaded': 429,
}
_CODE_MESSAGES: t.Final = {
    'id_reused': 'this id was used with another body; choose a new id',
    'job_id_reused': 'this job id has other content; choose a new id',
    'unknown_team': 'the bundle in force does not name the team; ask an'
    ' operator to add it',
    'priority_too_high': 'the priority is over what the team may use',
    'never_fits': 'no worker could ever hold one of its tasks; lower its size',
    'store_unavailable': 'nothing can be made durable now; come back later',
    'unknown': 'it was sent and not answered; ask again with the same id',
    'overloaded': 'too many requests wait already; come back later',
    'no_endpoint': 'no task of the service runs; submit it as a job of kind'
    ' service, or come back later',
    'owner_unreachable': 'the instance that keeps this id is out of reach;'
    ' come back later',
    'deadline': 'the time ran out before it was sent',
    'outcome_not_known': 'it was sent once and how it ended is not known',
}
_DEFAULT_UPPER_BOUND: t.Final = 10**9


class CallersApi:
    """HTTP handlers for callers, on the shell of an instance.

    Parameters
    ----------
    shell : Shell
        The instance's shell.
    limits : LimitSettings
        Limits on the size and duration of requests.
    get_unready_reason : callable
        Returns an empty string if the instance is ready, else the reason
        why it is not.
    """

    def __init__(
        self,
        shell: Shell,
        limits: LimitSettings,
        get_unready_reason: t.Callable[[], str],
    ) -> None:
        self._shell = shell
        self._limits = limits
        self._get_unready_reason = get_unready_reason

    def make_app(self) -> Starlette:
        """Return the application for the callers' listener."""
        return make_app(
            [
                Route(
                    '/v1/services/{service}',
                    self._call_service,
                    methods=['POST'],
                ),
                *self.make_job_routes(),
                *make_health_routes(self._get_unready_reason),
            ]
        )

    def make_job_routes(self) -> list[Route]:
        """Return the routes for jobs, which the operators' API serves too."""
        job_path = '/v1/jobs/{job_id}'
        return [
            Route('/v1/jobs', self._submit_job, methods=['POST']),
            Route('/v1/jobs', self._list_jobs, methods=['GET']),
            Route(job_path, self._show_job, methods=['GET']),
            Route(job_path, self._cancel_job, methods=['DELETE']),
        ]

    async def _call_service(self, request: Request) -> Response:
        call = await read_json(
            request, ServiceCall, self._limits.max_body_bytes
        )
        service = request.path_params['service']
        timeout_ms = self._check_call(service, call)
        if timeout_ms <= 0:
            outcome = make_not_run('deadline')
        else:
            outcome = await self._shell.request(
                ServiceRequest(
                    call.request_id,
                    call.team,
                    service,
                    call.repeatable,
                    call.body,
                    timeout_ms,
                    compute_digest(f'{service}\n{call.team}\n{call.body}'),
                )
            )
        return _render_outcome(call.request_id, outcome)

    def _check_call(self, service: str, call: ServiceCall) -> int:
        """Return the remaining time in ms, or raise with all findings."""
        findings = [
            Finding(place, f'{name!r} is no name', 'letters, digits, . _ : -')
            for place, name in (
                ('$.request_id', call.request_id),
                ('$.team', call.team),
                ('path.service', service),
            )
            if not _NAME_PATTERN.fullmatch(name)
        ]
        timeout_ms = self._limits.default_deadline_ms
        if call.timeout_ms is not None:
            timeout_ms = call.timeout_ms
            if timeout_ms <= 0:
                findings.append(Finding('$.timeout_ms', 'is not above zero'))
        if call.deadline_unix_ms is not None:
            timeout_ms = call.deadline_unix_ms - self._shell.wall()
            if call.timeout_ms is not None:
                findings.append(
                    Finding('$.deadline_unix_ms', 'goes not with timeout_ms')
                )
        if timeout_ms > self._limits.max_deadline_ms + _CLOCK_SKEW_MS:
            findings.append(
                Finding(
                    '$.timeout_ms',
                    f'is over {self._limits.max_deadline_ms} ms ahead',
                    'give less; if you gave less, check your clock',
                )
            )
        if findings:
            raise InputError('the request is refused', findings)
        return min(timeout_ms, self._limits.max_deadline_ms)

    # -- jobs ----------------------------------------------------------------

    async def _submit_job(self, request: Request) -> Response:
        spec = await read_json(request, JobSpec, self._limits.max_body_bytes)
        self._check_job(spec)
        digest = compute_digest(encode(spec).decode())
        reply = await self._shell.operate_job(
            'submit', spec.job_id, spec, digest
        )
        return _render_reply(reply, 201)

    def _check_job(self, body: JobSpec) -> None:
        findings = []
        for place, name in (
            ('$.job_id', body.job_id),
            ('$.team', body.team),
            ('$.job_class', body.job_class),
        ):
            if not _NAME_PATTERN.fullmatch(name):
                findings.append(
                    Finding(place, f'{name!r} is no name', 'letters, digits')
                )
        size = body.size
        bounds = (
            ('$.task_count', body.task_count, 1, self._limits.max_tasks),
            ('$.size.cpu_millicores', size.cpu_millicores, 0, None),
            ('$.size.memory_mb', size.memory_mb, 0, None),
            ('$.size.accelerator_count', size.accelerator_count, 0, None),
            ('$.run_ms', body.run_ms, 0, None),
            ('$.priority', body.priority, 0, 1000),
            ('$.max_failures', body.max_failures, 1, 100),
        )
        for place, number, low, limit in bounds:
            high = _DEFAULT_UPPER_BOUND if limit is None else limit
            if not low <= number <= high:
                findings.append(
                    Finding(
                        place,
                        f'{number} is out of bounds',
                        f'{low} to {high}',
                    )
                )
        if body.kind is JobKind.BATCH and body.run_ms == 0:
            findings.append(
                Finding('$.run_ms', 'batch work declares a run time', 'above 0')
            )
        if findings:
            raise InputError('the job is refused', findings)

    async def _show_job(self, request: Request) -> Response:
        job_id = request.path_params['job_id']
        return _render_reply(await self._shell.operate_job('show', job_id))

    async def _cancel_job(self, request: Request) -> Response:
        job_id = request.path_params['job_id']
        return _render_reply(await self._shell.operate_job('cancel', job_id))

    async def _list_jobs(self, request: Request) -> Response:
        team = request.query_params.get('team', '')
        report = await self._shell.report(f'jobs:{team}')
        jobs = [
            job
            for body in report.bodies
            for job in decode(body, list[JobStatus])
        ]
        jobs.sort(key=lambda job: job.spec.job_id)
        return make_json({'jobs': jobs, 'missing': report.missing})


def _render_outcome(request_id: str, outcome: RequestOutcome) -> Response:
    if outcome.kind in {OutcomeKind.ANSWERED, OutcomeKind.FAILED}:
        answer = ServiceAnswer(
            request_id,
            outcome.kind.value,
            outcome.status,
            outcome.body,
            outcome.code,
        )
        return make_json(answer, _OUTCOME_STATUSES[outcome.kind])
    status = _OUTCOME_STATUSES[outcome.kind]
    if outcome.kind is OutcomeKind.NOT_RUN:
        status = _CODE_STATUSES.get(outcome.code, status)
    message = _CODE_MESSAGES.get(outcome.code, outcome.code.replace('_', ' '))
    body = ErrorBody(
        outcome.code or 'unknown',
        message,
        outcome.kind.value,
        outcome.retry_after_ms,
    )
    return make_json(body, status, outcome.retry_after_ms)


def _render_reply(reply: JobReply, ok_status: int = 200) -> Response:
    if reply.code == 'ok':
        return make_json(reply.job, ok_status)
    if reply.code == 'unknown_job':
        raise NotFoundError(
            'no such job; it may be past its retention', code='unknown_job'
        )
    status = _CODE_STATUSES.get(reply.code, 503)
    outcome = 'unknown' if reply.code == 'unknown' else 'not_run'
    body = ErrorBody(
        reply.code,
        _CODE_MESSAGES.get(reply.code, reply.code),
        outcome,
        reply.retry_after_ms,
    )
    return make_json(body, status, reply.retry_after_ms)
