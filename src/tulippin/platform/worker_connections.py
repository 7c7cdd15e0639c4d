"""Connections to a worker, and the incarnations that they lead to.

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
from tulippin.jobs.types import CLOCK_DRIFT_RATIO, ExpectedIncarnation
from tulippin.platform.wire import (
    ADDRESS_PATTERN,
    HOLD_PATH,
    WORKER_HEADER,
    HoldBody,
    WorkerAnswerBody,
)

OK: t.Final = 200
CONFLICT: t.Final = 409
OTHER_INCARNATION_STATUS: t.Final = 421
FENCED_REASON: t.Final = 'fence'
_MS_PER_S: t.Final = 1000
_ADDRESS_REGEX: t.Final = re.compile(ADDRESS_PATTERN)

_answer_decoder = msgspec.json.Decoder(WorkerAnswerBody)


def decode_answer(body: bytes) -> WorkerAnswerBody:
    """Decode the body of a worker's answer.

    Raises
    ------
    AnswerLostError
        If the body is not an answer of a worker.
    """
    if not body:
        return WorkerAnswerBody()
    try:
        return _answer_decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise AnswerLostError(
            f'invalid response from a worker: {error}'
        ) from error


def decode_report(worker_id: str, status: int, body: bytes) -> WorkerAnswerBody:
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
    if status == OTHER_INCARNATION_STATUS:
        raise WorkerChangedError(f'another worker is at that of {worker_id}')
    decoded = decode_answer(body)
    if status == CONFLICT and decoded.reason == FENCED_REASON:
        raise FencedOrderError(f'{worker_id} has a newer owner')
    if status != OK or decoded.clock_ms is None:
        raise UnavailableError(f'{worker_id} returned status {status}')
    return decoded


@attrs.frozen
class _Sighting:
    """The report of a process, and when it was received."""

    born_ms: int
    clock_ms: int
    received_s: float = attrs.field(factory=trio.current_time)

    def is_of(self, incarnation: ExpectedIncarnation) -> bool:
        """Whether the process is an incarnation, by start time or clock."""
        passed_ms = (trio.current_time() - self.received_s) * _MS_PER_S
        clock_ms = self.clock_ms + int(passed_ms * CLOCK_DRIFT_RATIO)
        return incarnation.has_reported(self.born_ms, clock_ms)


@attrs.define
class _IncarnationCheck:
    """Lets a call pass to the expected incarnation of a worker alone.

    The question is a hold call that extends no lease. ``answer`` is the last
    one that a process has given to it.
    """

    worker_id: str
    incarnation: ExpectedIncarnation
    fencing_token: int
    may_ask: bool = True
    path: str = HOLD_PATH
    answer: HttpAnswer | None = None

    @property
    def question(self) -> bytes:
        """The encoded hold call that asks for a report."""
        return msgspec.json.encode(HoldBody(self.fencing_token))

    def confirm(self, status: int, body: bytes) -> _Sighting:
        """Return who has reported.

        Raises
        ------
        WorkerRestartedError
            If it is another incarnation.
        UnavailableError
            If the answer is no report.
        """
        try:
            report = decode_report(self.worker_id, status, body)
        except AnswerLostError as error:
            raise UnavailableError(error.message) from error
        self.answer = HttpAnswer(status, {}, body)
        sighting = _Sighting(report.born_ms, report.clock_ms)
        if not sighting.is_of(self.incarnation):
            raise WorkerRestartedError(f'{self.worker_id} has restarted')
        return sighting

    def accepts(self, peer: _Sighting) -> bool:
        """Whether a process that has reported is the expected incarnation."""
        return peer.is_of(self.incarnation)


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
        self._orders = make_client()
        self._holds = make_client()

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
        """Send an order to the expected incarnation.

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
        if not incarnation.is_known:
            return await self._post(self._orders, address, path, body)
        check = _IncarnationCheck(
            self._worker_id, incarnation, body.fencing_token
        )
        return await self._post(self._orders, address, path, body, check=check)

    async def send_hold(
        self, address: str, body: HoldBody, incarnation: ExpectedIncarnation
    ) -> HttpAnswer:
        """Send a hold call; only the expected incarnation gets it in full.

        Another one is just asked for its report, which is returned. So is a
        worker that keeps no connection open. Without start times, ends are
        acknowledged only over a connection on which there was a report before.
        """
        question = HoldBody(body.fencing_token)
        if not incarnation.is_known:
            body = msgspec.structs.replace(question, wait_ms=body.wait_ms)
        if not body.last_seen and body.deadline_ms is None:
            return await self._post(
                self._holds, address, HOLD_PATH, body, body.wait_ms
            )
        if incarnation.born_ms or not body.last_seen:
            return await self._hold_checked(address, body, incarnation)
        try:
            return await self._hold_checked(
                address, body, incarnation, may_ask=False
            )
        except AnswerLostError:
            raise
        except UnavailableError:
            return await self._hold_checked(address, question, incarnation)

    async def _hold_checked(
        self,
        address: str,
        body: HoldBody,
        incarnation: ExpectedIncarnation,
        **options: bool,
    ) -> HttpAnswer:
        """Send a hold call, or return the report that rules it out."""
        check = _IncarnationCheck(
            self._worker_id, incarnation, body.fencing_token, **options
        )
        try:
            return await self._post(
                self._holds,
                address,
                HOLD_PATH,
                body,
                body.wait_ms,
                check=check,
            )
        except AnswerLostError:
            raise
        except UnavailableError:
            if check.answer is None:
                raise
            return check.answer

    async def _post(
        self,
        client: HttpClient,
        address: str,
        path: str,
        body: msgspec.Struct,
        wait_ms: int = 0,
        **options: t.Any,
    ) -> HttpAnswer:
        if not _ADDRESS_REGEX.match(address):
            raise UnavailableError(f'{self._worker_id} has no valid address')
        return await client.send(
            'POST',
            f'http://{address}{path}',
            msgspec.json.encode(body),
            {WORKER_HEADER: self._worker_id},
            extra_wait_ms=wait_ms,
            **options,
        )
