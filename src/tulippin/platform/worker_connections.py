"""Connections to a worker, and the incarnation that they lead to.

A worker that starts again under its id takes calls that were meant for its
earlier incarnation, and no header tells them apart. A connection does: it ends
with the process that accepted it. Calls that only one incarnation may take go
over connections on which that one has reported.
"""

from __future__ import annotations

import re
import typing as t

import attrs
import msgspec
import trio

from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    FencedOrderError,
    WorkerChangedError,
    WorkerRestartedError,
)
from tulippin.jobs.types import ExpectedIncarnation, WorkerReport
from tulippin.platform.wire import (
    ADDRESS_PATTERN,
    HoldBody,
    WorkerAnswerBody,
)

OK: t.Final = 200
CONFLICT: t.Final = 409
OTHER_INCARNATION_STATUS: t.Final = 421
FENCED_REASON: t.Final = 'fence'
_HOLD_PATH: t.Final = '/v1/hold'
_INCARNATION_HEADER: t.Final = 'Expected-Instance'
# Other orders may take a connection that was opened for this one.
_MAX_OPENINGS: t.Final = 3
_MS_PER_S: t.Final = 1000
# Above the drift of a worker's clock.
_MAX_CLOCK_RATIO: t.Final = 1.02

_ADDRESS_REGEX: t.Final = re.compile(ADDRESS_PATTERN)

_answer_decoder = msgspec.json.Decoder(WorkerAnswerBody)


def decode_answer(answer: HttpAnswer) -> WorkerAnswerBody:
    """Decode the body of a worker's answer.

    Raises
    ------
    AnswerLostError
        If the body is not an answer of a worker.
    """
    if not answer.body:
        return WorkerAnswerBody()
    try:
        return _answer_decoder.decode(answer.body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise AnswerLostError(
            f'invalid response from a worker: {error}'
        ) from error


def check_report(worker_id: str, answer: HttpAnswer) -> WorkerAnswerBody:
    """Decode the answer to a hold call.

    Raises
    ------
    WorkerChangedError
        If another worker is at the address.
    FencedOrderError
        If the worker has received a higher fencing token.
    UnavailableError
        If the answer is no report.
    """
    if answer.status == OTHER_INCARNATION_STATUS:
        raise WorkerChangedError(f'another worker is at that of {worker_id}')
    decoded = decode_answer(answer)
    if answer.status == CONFLICT and decoded.reason == FENCED_REASON:
        raise FencedOrderError(f'{worker_id} has a newer owner')
    if answer.status != OK or decoded.clock_ms is None:
        raise UnavailableError(f'{worker_id} returned status {answer.status}')
    return decoded


@attrs.frozen
class _Sighting:
    """A report, and when it was received."""

    born_ms: int
    clock_ms: int
    received_s: float = attrs.field(factory=trio.current_time)

    def is_of(self, incarnation: ExpectedIncarnation) -> bool:
        """Whether the report is from an incarnation, as far as can be told."""
        passed_ms = (trio.current_time() - self.received_s) * _MS_PER_S
        clock_ms = self.clock_ms + int(passed_ms * _MAX_CLOCK_RATIO)
        return incarnation.has_reported(self.born_ms, clock_ms)


class WorkerConnections:
    """Connections to one worker: one pool for orders, and one for hold calls.

    Parameters
    ----------
    worker_id : str
        The id of the worker.
    make_client : callable
        Creates a connection pool.
    """

    def __init__(
        self, worker_id: str, make_client: t.Callable[[], HttpClient]
    ) -> None:
        self._worker_id = worker_id
        self._make_client = make_client
        self._orders = make_client()
        self._holds = make_client()
        # The last report over a connection for orders, and for hold calls.
        self._sighting: _Sighting | None = None
        self._held: _Sighting | None = None

    async def close(self) -> None:
        """Close all connections."""
        await self._orders.close()
        await self._holds.close()

    async def send_order(
        self,
        address: str,
        path: str,
        body: msgspec.Struct,
        incarnation: ExpectedIncarnation,
    ) -> HttpAnswer:
        """Send an order over a connection to the expected incarnation.

        Raises
        ------
        WorkerRestartedError
            If another incarnation answers; the order was not sent.
        WorkerChangedError, FencedOrderError
            If the worker refuses the connection; the order was not sent.
        AnswerLostError
            If the order was sent or may have been sent.
        UnavailableError
            If the order was not sent.
        """
        if self._sighting is not None and not self._sighting.is_of(incarnation):
            await self._drop_orders()
        for _ in range(_MAX_OPENINGS):
            try:
                return await self._post(
                    self._orders, address, path, body, may_connect=False
                )
            except AnswerLostError:
                raise
            except UnavailableError:
                await self._open(address, body.fencing_token, incarnation)
        raise UnavailableError(f'{address} keeps no connection')

    async def _open(
        self,
        address: str,
        fencing_token: int,
        incarnation: ExpectedIncarnation,
    ) -> None:
        """Open a connection for orders; a report tells where it leads."""
        question = HoldBody(fencing_token)
        try:
            answer = await self._post(
                self._orders, address, _HOLD_PATH, question
            )
            report = check_report(self._worker_id, answer)
        except AnswerLostError as error:
            raise UnavailableError(error.message) from error
        sighting = _Sighting(report.born_ms, report.clock_ms)
        if not sighting.is_of(incarnation):
            await self._drop_orders()
            raise WorkerRestartedError(f'{self._worker_id} has restarted')
        self._sighting = sighting

    async def _drop_orders(self) -> None:
        """Close the connections for orders, which lead elsewhere."""
        dropped, self._orders = self._orders, self._make_client()
        self._sighting = None
        await dropped.close()

    async def send_hold(
        self, address: str, body: HoldBody, incarnation: ExpectedIncarnation
    ) -> HttpAnswer:
        """Send a hold call, with its lease and its acknowledgement if possible.

        The report of another incarnation is returned without either. Without
        start times, ends are acknowledged only over a connection on which they
        were reported.
        """
        if not body.last_seen and body.deadline_ms is None:
            return await self._post_hold(address, body)
        if self._held is not None and not self._held.is_of(incarnation):
            await self._drop_holds()
        try:
            return await self._post_hold(address, body, may_connect=False)
        except AnswerLostError:
            raise
        except UnavailableError:
            question = HoldBody(body.fencing_token)
            answer = await self._post_hold(address, question)
        report = check_report(self._worker_id, answer)
        is_expected = incarnation.has_reported(report.born_ms, report.clock_ms)
        if not (incarnation.is_known and is_expected):
            return answer
        if not report.born_ms:
            body = msgspec.structs.replace(body, last_seen=0)
        return await self._post_hold(address, body, may_connect=False)

    def note_report(self, report: WorkerReport) -> None:
        """Note the report that a hold call returned."""
        self._held = _Sighting(report.born_ms, report.clock_ms)

    async def _drop_holds(self) -> None:
        """Close the connections for hold calls, which lead elsewhere."""
        dropped, self._holds = self._holds, self._make_client()
        self._held = None
        await dropped.close()

    async def _post_hold(
        self, address: str, body: HoldBody, **options: bool
    ) -> HttpAnswer:
        return await self._post(
            self._holds, address, _HOLD_PATH, body, body.wait_ms, **options
        )

    async def _post(
        self,
        client: HttpClient,
        address: str,
        path: str,
        body: msgspec.Struct,
        wait_ms: int = 0,
        **options: bool,
    ) -> HttpAnswer:
        if not _ADDRESS_REGEX.match(address):
            raise UnavailableError(f'{self._worker_id} has no valid address')
        return await client.send(
            'POST',
            f'http://{address}{path}',
            msgspec.json.encode(body),
            {_INCARNATION_HEADER: self._worker_id},
            extra_wait_ms=wait_ms,
            **options,
        )
