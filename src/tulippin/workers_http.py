"""Workers and the services on them over HTTP: the one adapter."""

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
_FIRST_ERROR: t.Final = 400
# Far above any machine, and any slowdown of what still answers; sums and
# products of such figures stay within a float.
_LARGEST_USE: t.Final = Resources(10**9, 10**9, 10**9)
_LARGEST_SLOWDOWN: t.Final = 1e6


@attrs.frozen
class HttpWorkers:
    """The platform's agents on the workers."""

    client: HttpClient

    async def sync(self, address: str, message: WorkerSync) -> WorkerReport:
        """Send a sync and return the report."""
        answer = await self.client.send(
            'POST', f'http://{address}/sync', codec.encode(message)
        )
        if answer.status == _CONFLICT:
            raise FencedError('a higher epoch is at work')
        if answer.status != _OK:
            raise UnavailableError(f'the worker answers {answer.status}')
        return _decode_report(answer)


@attrs.frozen
class HttpEndpoints:
    """The services' tasks, by their worker's address."""

    client: HttpClient

    async def call(
        self, address: str, request: ServiceRequest, epoch: int
    ) -> EndpointReply:
        """Send one request, once; a broken answer is never whole."""
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
        return _read_reply(answer)


def _decode_report(answer: HttpAnswer) -> WorkerReport:
    """Return a report with such figures only as a worker can have."""
    try:
        report = codec.decode(answer.body, WorkerReport)
    except InputError as error:
        raise AnswerLostError(
            f'the worker answers nonsense: {error.message}'
        ) from error
    usage = tuple(filter(_is_possible, report.usage))
    if len(usage) < len(report.usage):
        logger.warning(
            'use unusable',
            worker=report.worker_id,
            samples=len(report.usage) - len(usage),
        )
    # Slots below none would let more requests in than the worker has.
    return attrs.evolve(
        report, usage=usage, busy_slots=max(0, report.busy_slots)
    )


def _is_possible(sample: UsageSample) -> bool:
    is_slowdown = 0 < sample.slowdown <= _LARGEST_SLOWDOWN
    is_use = sample.used.fits(Resources()) and _LARGEST_USE.fits(sample.used)
    return is_slowdown and is_use


def _read_reply(answer: HttpAnswer) -> EndpointReply:
    leaving = LEAVING_HEADER in answer.headers
    refusal = answer.headers.get(NOT_RUN_HEADER)
    if refusal is not None:
        outcome = RequestOutcome(OutcomeKind.NOT_RUN, refusal)
    elif answer.status >= _FIRST_ERROR:
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
        len(outcome.body.encode()) + _count_missing(answer),
    )


def _count_missing(answer: HttpAnswer) -> int:
    """Return how many bytes the answer promised and did not bring."""
    size = len(answer.body)
    return int(answer.headers.get('content-length', size)) - size
