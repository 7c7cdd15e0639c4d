"""HTTP clients of the workers' agents and of the services on workers."""

from __future__ import annotations

import typing as t
from urllib.parse import quote

import attrs

from tulippin import codec
from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import (
    AnswerLostError,
    FencedError,
    InputError,
    UnavailableError,
)
from tulippin.logs import logger
from tulippin.messages import RequestOutcome, ServiceRequest
from tulippin.ports import EndpointReply
from tulippin.types import OutcomeKind, Resources
from tulippin.worker_types import UsageSample, WorkerReport, WorkerSync

REQUEST_ID_HEADER: t.Final = 'x-request-id'
EPOCH_HEADER: t.Final = 'x-owner-epoch'
NOT_RUN_HEADER: t.Final = 'x-not-run'
LEAVING_HEADER: t.Final = 'x-leaving'
_OK: t.Final = 200
_CONFLICT: t.Final = 409
_MIN_ERROR_STATUS: t.Final = 400
# Far above the size of any machine and the slowdown of anything that still
# answers. Sums and products of values below them fit into a float.
_MAX_USAGE: t.Final = Resources(10**9, 10**9, 10**9)
_MAX_SLOWDOWN: t.Final = 1e6


@attrs.frozen
class HttpWorkers:
    """Implements the ``Workers`` port by the agents on the workers."""

    client: HttpClient

    async def sync(self, address: str, message: WorkerSync) -> WorkerReport:
        """Send a sync and return the report without its invalid values."""
        answer = await self.client.send(
            'POST', f'http://{address}/sync', codec.encode(message)
        )
        if answer.status == _CONFLICT:
            raise FencedError('the worker has seen a higher epoch')
        if answer.status != _OK:
            raise UnavailableError(
                f'the worker answered with status {answer.status}'
            )
        return _decode_report(answer)


@attrs.frozen
class HttpEndpoints:
    """Implements the ``Endpoints`` port by the services' tasks."""

    client: HttpClient

    async def call(
        self, address: str, request: ServiceRequest, epoch: int
    ) -> EndpointReply:
        """Send one request without retries.

        An incomplete answer never counts as a complete one.
        """
        service = quote(request.service, safe='')
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            EPOCH_HEADER: str(epoch),
        }
        try:
            answer = await self.client.send(
                'POST',
                f'http://{address}/services/{service}',
                request.body.encode(),
                headers,
            )
        except AnswerLostError:
            outcome = RequestOutcome(OutcomeKind.UNKNOWN, 'broken')
            return EndpointReply(outcome)
        except UnavailableError:
            outcome = RequestOutcome(OutcomeKind.NOT_RUN, 'refused')
            return EndpointReply(outcome)
        return _make_reply(answer)


def _decode_report(answer: HttpAnswer) -> WorkerReport:
    """Decode a report and remove values that no worker can have."""
    try:
        report = codec.decode(answer.body, WorkerReport)
    except InputError as error:
        raise AnswerLostError(
            f'the worker sent an invalid report: {error.message}'
        ) from error
    usage = tuple(filter(_is_plausible, report.usage))
    if len(usage) < len(report.usage):
        logger.warning(
            'invalid usage samples ignored',
            worker=report.worker_id,
            samples=len(report.usage) - len(usage),
        )
    # A negative count would admit more requests than the worker has slots.
    return attrs.evolve(
        report, usage=usage, busy_slots=max(0, report.busy_slots)
    )


def _is_plausible(sample: UsageSample) -> bool:
    is_slowdown_valid = 0 < sample.slowdown <= _MAX_SLOWDOWN
    is_usage_valid = sample.used.fits(Resources()) and _MAX_USAGE.fits(
        sample.used
    )
    return is_slowdown_valid and is_usage_valid


def _make_reply(answer: HttpAnswer) -> EndpointReply:
    """Return the result that an endpoint's answer stands for."""
    leaving = LEAVING_HEADER in answer.headers
    not_run_reason = answer.headers.get(NOT_RUN_HEADER)
    if not_run_reason is not None:
        outcome = RequestOutcome(OutcomeKind.NOT_RUN, not_run_reason)
    elif answer.status >= _MIN_ERROR_STATUS:
        outcome = RequestOutcome(
            OutcomeKind.FAILED,
            'endpoint_error',
            answer.status,
            answer.body.decode(errors='replace'),
        )
    else:
        outcome = RequestOutcome(
            OutcomeKind.ANSWERED,
            '',
            answer.status,
            answer.body.decode(errors='replace'),
        )
    return EndpointReply(
        outcome,
        leaving,
        answer.headers.get(REQUEST_ID_HEADER, ''),
        len(outcome.body.encode()) + _count_missing_bytes(answer),
    )


def _count_missing_bytes(answer: HttpAnswer) -> int:
    """Return by how many bytes the body is shorter than announced."""
    size = len(answer.body)
    return int(answer.headers.get('content-length', size)) - size
