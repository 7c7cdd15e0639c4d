"""Orders to the agents on the platform's workers."""

from __future__ import annotations

import re
import typing as t

import msgspec

from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    FencedOrderError,
    StartOrder,
    WorkerChangedError,
)
from tulippin.jobs.types import (
    EndedRun,
    OrderAnswer,
    RunningTask,
    RunOutcome,
    StartOutcome,
    TaskKey,
    WorkerReport,
    parse_task,
)
from tulippin.logs import logger
from tulippin.platform.wire import (
    ADDRESS_PATTERN,
    EndedRow,
    HoldBody,
    PaceBody,
    RunningRow,
    StartBody,
    StopBody,
    WorkerAnswerBody,
)

_OK: t.Final = 200
_CONFLICT: t.Final = 409
_OTHER_LIFE: t.Final = 421
_UNHEALTHY: t.Final = frozenset((429, 503))
_FENCE: t.Final = 'fence'
_REASONS: t.Final = {
    _FENCE: StartOutcome.FENCED,
    'old': StartOutcome.SUPERSEDED,
    'late': StartOutcome.TOO_LATE,
    'room': StartOutcome.NO_ROOM,
    'ticket': StartOutcome.NO_TICKET,
}
# A running row has a fifth entry only where tasks share processors.
_LOAD_COLUMN: t.Final = 4
# Above it there is no next run.
_LARGEST_RUN: t.Final = 2**62
# Far above any tail in ms and any use in millicores.
_LARGEST_LOAD: t.Final = 1e9
# Less than a thousandth of either is none: what is divided by it would leave
# what a float holds.
_LEAST_LOAD: t.Final = 1e-3
# Of an unusable load, what a log line tells.
_LOAD_SIGNS: t.Final = 40
_FULL_PERCENT: t.Final = 100
_LIFE_HEADER: t.Final = 'Expected-Instance'
_ADDRESS: t.Final = re.compile(ADDRESS_PATTERN)

_answer_decoder = msgspec.json.Decoder(WorkerAnswerBody)


class PlatformWorkers:
    """Every worker's agent, each over a pool of its own.

    Parameters
    ----------
    make_client : callable
        Makes the pool for one worker; it lives as long as the worker.
    """

    def __init__(self, make_client: t.Callable[[], HttpClient]) -> None:
        self._make_client = make_client
        self._clients: dict[str, HttpClient] = {}
        # Workers whose newest report has an unusable load.
        self._odd: set[str] = set()

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that is gone."""
        self._odd.discard(worker_id)
        client = self._clients.pop(worker_id, None)
        if client is not None:
            await client.close()

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""
        body = StartBody(
            order.key.format(),
            order.run,
            order.spec,
            order.deadline_ms,
            order.fencing_token,
            order.checkpoint,
            order.ticket,
        )
        return await self._order(
            order.worker_id, order.address, '/v1/run-start', body
        )

    async def stop(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Stop a run; one that is not there yet will be refused."""
        body = StopBody(key.format(), run, fencing_token)
        return await self._order(worker_id, address, '/v1/run-stop', body)

    async def pace(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        percent: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""
        body = PaceBody(key.format(), run, percent, fencing_token)
        return await self._order(worker_id, address, '/v1/pace', body)

    async def hold(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Extend the worker's lease and return its report."""
        body = HoldBody(fencing_token, last_seen, deadline_ms, wait_ms)
        answer = await self._send(worker_id, address, '/v1/hold', body, wait_ms)
        if answer.status == _OTHER_LIFE:
            raise WorkerChangedError(f'{address} is another life now')
        decoded = _decode(answer)
        if answer.status == _CONFLICT and decoded.reason == _FENCE:
            raise FencedOrderError(f'{worker_id} has a newer owner')
        if answer.status != _OK or decoded.clock_ms is None:
            raise UnavailableError(f'{worker_id} answers {answer.status}')
        report = _decode_report(decoded.clock_ms, decoded)
        self._note_odd(worker_id, _find_odd_load(decoded))
        return report

    def _note_odd(self, worker_id: str, load: str) -> None:
        """Say that a worker tells an unusable load, unless that is known."""
        if not load:
            self._odd.discard(worker_id)
        elif worker_id not in self._odd:
            self._odd.add(worker_id)
            logger.warning('load unusable', worker=worker_id, load=load)

    async def _order(
        self, worker_id: str, address: str, path: str, body: msgspec.Struct
    ) -> OrderAnswer:
        try:
            answer = await self._send(worker_id, address, path, body)
        except AnswerLostError:
            return OrderAnswer(StartOutcome.UNKNOWN)
        except UnavailableError:
            return OrderAnswer(StartOutcome.NOT_SENT)
        return _decode_order(answer)

    async def _send(
        self,
        worker_id: str,
        address: str,
        path: str,
        body: msgspec.Struct,
        wait_ms: int = 0,
    ) -> HttpAnswer:
        if not _ADDRESS.match(address):
            raise UnavailableError(f'{worker_id} has no address')
        client = self._clients.get(worker_id)
        if client is None:
            client = self._clients[worker_id] = self._make_client()
        return await client.send(
            'POST',
            f'http://{address}{path}',
            msgspec.json.encode(body),
            {_LIFE_HEADER: worker_id},
            extra_wait_ms=wait_ms,
        )


def _decode(answer: HttpAnswer) -> WorkerAnswerBody:
    if not answer.body:
        return WorkerAnswerBody()
    try:
        return _answer_decoder.decode(answer.body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise AnswerLostError(f'a worker answers nonsense: {error}') from error


def _decode_order(answer: HttpAnswer) -> OrderAnswer:
    if answer.status == _OTHER_LIFE:
        return OrderAnswer(StartOutcome.OTHER_LIFE)
    if answer.status in _UNHEALTHY:
        return OrderAnswer(StartOutcome.UNHEALTHY)
    try:
        decoded = _decode(answer)
    except AnswerLostError:
        return OrderAnswer(StartOutcome.UNKNOWN)
    if answer.status == _OK:
        return OrderAnswer(StartOutcome.STARTED, decoded.clock_ms)
    if answer.status == _CONFLICT:
        outcome = _REASONS.get(decoded.reason, StartOutcome.REJECTED)
        return OrderAnswer(outcome, decoded.clock_ms)
    return OrderAnswer(StartOutcome.REJECTED, decoded.clock_ms)


def _decode_report(clock_ms: int, body: WorkerAnswerBody) -> WorkerReport:
    try:
        running = tuple(_decode_running(row) for row in body.running)
        ended = tuple(_decode_ended(row) for row in body.ended)
    except (TypeError, ValueError) as error:
        raise AnswerLostError(f'a worker reports nonsense: {error}') from error
    return WorkerReport(clock_ms, running, ended)


def _decode_running(row: RunningRow) -> RunningTask:
    *rest, load = row if len(row) > _LOAD_COLUMN else (*row, None)
    task, run, checkpoint, percent = rest
    _demand(task, str)
    _demand(run, int)
    if abs(run) >= _LARGEST_RUN:
        raise ValueError('a run has no number')
    _demand(checkpoint, str)
    _demand(percent, (int, float))
    _demand(load, (int, float, type(None)))
    return RunningTask(
        parse_task(task),
        run,
        checkpoint,
        min(max(percent, 0), _FULL_PERCENT),
        _decode_load(load),
    )


def _decode_load(load: float | None) -> float | None:
    """Return a load; nothing if it is not told, or is none of a worker.

    It advises only, so that the run counts as there all the same.
    """
    if load is None or not 0 <= load <= _LARGEST_LOAD:
        return None
    return load if load >= _LEAST_LOAD else 0.0


def _find_odd_load(body: WorkerAnswerBody) -> str:
    """Return the first load of a report that is none of a worker's."""
    told = (row[_LOAD_COLUMN] for row in body.running if _tells_load(row))
    odd = (load for load in told if _decode_load(load) is None)
    return next((repr(load)[:_LOAD_SIGNS] for load in odd), '')


def _tells_load(row: RunningRow) -> bool:
    return len(row) > _LOAD_COLUMN and row[_LOAD_COLUMN] is not None


def _demand(value: t.Any, kinds: type | tuple[type, ...]) -> None:
    if not isinstance(value, kinds):
        raise TypeError(f'{value!r} in a row of what runs')


def _decode_ended(row: EndedRow) -> EndedRun:
    return EndedRun(
        number=row[0],
        key=parse_task(row[1]),
        run=row[2],
        outcome=RunOutcome(row[3]),
        checkpoint=row[4],
    )
