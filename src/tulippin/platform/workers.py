"""Client of the agents on the platform's workers."""

from __future__ import annotations

import typing as t

import msgspec

from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    FencedOrderError,
    StartOrder,
    WorkerChangedError,
    WorkerRestartedError,
)
from tulippin.jobs.types import (
    ANY_INCARNATION,
    EndedRun,
    ExpectedIncarnation,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    RunOutcome,
    TaskKey,
    WorkerReport,
    parse_task_key,
)
from tulippin.logs import logger
from tulippin.platform.wire import (
    MAX_LISTED_ENDS,
    PACE_PATH,
    START_PATH,
    STOP_PATH,
    EndedRow,
    HoldBody,
    PaceBody,
    RunningRow,
    StartBody,
    StopBody,
    WorkerAnswerBody,
)
from tulippin.platform.worker_connections import (
    CONFLICT,
    FENCED_REASON,
    OK,
    OTHER_INCARNATION_STATUS,
    WorkerConnections,
    decode_answer,
    decode_report,
)

_BAD_REQUEST: t.Final = 400
_UNHEALTHY_STATUSES: t.Final = frozenset((429, 503))
_OUTCOMES_BY_REASON: t.Final = {
    FENCED_REASON: OrderOutcome.FENCED,
    'old': OrderOutcome.SUPERSEDED,
    'late': OrderOutcome.TOO_LATE,
    'room': OrderOutcome.NO_ROOM,
    'ticket': OrderOutcome.NO_TICKET,
}
# Rows of running tasks have a fifth column only on workers where tasks share
# processors.
_LOAD_COLUMN: t.Final = 4
# Bounds run numbers, so that the next number stays encodable.
_MAX_RUN_NUMBER: t.Final = 2**62
# Above any tail latency in ms and any use in millicores.
_MAX_LOAD: t.Final = 1e9
# Smaller loads count as 0: a quotient by them could overflow a float.
_MIN_LOAD: t.Final = 1e-3
_MAX_LOGGED_LOAD_CHARS: t.Final = 40
_FULL_PERCENT: t.Final = 100
_OUTCOMES_BY_ERROR: t.Final = {
    UnavailableError: OrderOutcome.NOT_SENT,
    AnswerLostError: OrderOutcome.UNKNOWN,
    FencedOrderError: OrderOutcome.FENCED,
    WorkerChangedError: OrderOutcome.OTHER_INCARNATION,
    WorkerRestartedError: OrderOutcome.RESTARTED,
}


class PlatformWorkers:
    """Implementation of the ``WorkerAgents`` port over HTTP.

    Parameters
    ----------
    make_client : callable
        Creates a connection pool of a worker, kept until `forget`.
    """

    def __init__(self, make_client: t.Callable[[], HttpClient]) -> None:
        self._make_client = make_client
        self._connections: dict[str, WorkerConnections] = {}
        # Workers whose last report had an invalid load.
        self._invalid_load_workers: set[str] = set()

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that was removed."""
        self._invalid_load_workers.discard(worker_id)
        connections = self._connections.pop(worker_id, None)
        if connections is not None:
            await connections.close()

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Send an order to start a run; return its outcome."""
        body = StartBody(
            order.key.format(),
            order.run,
            order.spec,
            order.deadline_ms,
            order.fencing_token,
            order.checkpoint,
            order.ticket,
        )
        return await self._send_order(
            order.worker_id,
            order.address,
            START_PATH,
            body,
            order.incarnation,
        )

    async def stop(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Stop a run; the worker rejects a later start of the same run."""
        body = StopBody(key.format(), run, fencing_token)
        return await self._send_order(worker_id, address, STOP_PATH, body)

    async def pace(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        percent: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Limit a run to a share of its speed."""
        body = PaceBody(key.format(), run, percent, fencing_token)
        return await self._send_order(worker_id, address, PACE_PATH, body)

    async def hold(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
        incarnation: ExpectedIncarnation = ANY_INCARNATION,
    ) -> WorkerReport:
        """Extend the worker's lease and return its report.

        Raises
        ------
        WorkerChangedError
            If another worker's agent is at the address.
        FencedOrderError
            If the worker has received a higher fencing token.
        UnavailableError
            If the worker doesn't return a valid report.
        """
        body = HoldBody(fencing_token, last_seen, deadline_ms, wait_ms)
        answer = await self._get_connections(worker_id).send_hold(
            address, body, incarnation
        )
        decoded = decode_report(worker_id, answer.status, answer.body)
        report = _decode_report(decoded.clock_ms, decoded)
        self._log_invalid_load(worker_id, _find_invalid_load(decoded))
        return report

    def _log_invalid_load(self, worker_id: str, load: str) -> None:
        """Log an invalid load, unless the last report had one as well."""
        if not load:
            self._invalid_load_workers.discard(worker_id)
        elif worker_id not in self._invalid_load_workers:
            self._invalid_load_workers.add(worker_id)
            logger.warning('load unusable', worker=worker_id, load=load)

    async def _send_order(
        self,
        worker_id: str,
        address: str,
        path: str,
        body: msgspec.Struct,
        incarnation: ExpectedIncarnation = ANY_INCARNATION,
    ) -> OrderAnswer:
        """Send an order; return whether it was carried out, if known."""
        connections = self._get_connections(worker_id)
        try:
            answer = await connections.send_order(
                address, path, body, incarnation
            )
        except UnavailableError as error:
            return OrderAnswer(_OUTCOMES_BY_ERROR[type(error)])
        return _decode_order_answer(answer)

    def _get_connections(self, worker_id: str) -> WorkerConnections:
        connections = self._connections.get(worker_id)
        if connections is None:
            connections = WorkerConnections(worker_id, self._make_client)
            self._connections[worker_id] = connections
        return connections


def _decode_order_answer(answer: HttpAnswer) -> OrderAnswer:
    if answer.status == OTHER_INCARNATION_STATUS:
        return OrderAnswer(OrderOutcome.OTHER_INCARNATION)
    if answer.status in _UNHEALTHY_STATUSES:
        return OrderAnswer(OrderOutcome.UNHEALTHY)
    try:
        decoded = decode_answer(answer.body)
    except AnswerLostError:
        return OrderAnswer(OrderOutcome.UNKNOWN)
    if answer.status == OK:
        return OrderAnswer(OrderOutcome.STARTED, decoded.clock_ms)
    if answer.status == CONFLICT:
        outcome = _OUTCOMES_BY_REASON.get(decoded.reason, OrderOutcome.REJECTED)
        return OrderAnswer(outcome, decoded.clock_ms)
    if answer.status == _BAD_REQUEST:
        return OrderAnswer(OrderOutcome.REJECTED, decoded.clock_ms)
    # Only the protocol's refusals guarantee that an order has no effect.
    return OrderAnswer(OrderOutcome.UNKNOWN, decoded.clock_ms)


def _decode_report(clock_ms: int, body: WorkerAnswerBody) -> WorkerReport:
    try:
        running = tuple(_decode_running(row) for row in body.running)
        ended = tuple(_decode_ended(row) for row in body.ended)
    except (TypeError, ValueError) as error:
        raise AnswerLostError(f'invalid report of a worker: {error}') from error
    is_cut = len(ended) >= MAX_LISTED_ENDS
    return WorkerReport(clock_ms, running, ended, body.born_ms, is_cut)


def _decode_running(row: RunningRow) -> RunningTask:
    *columns, load = row if len(row) > _LOAD_COLUMN else (*row, None)
    task, run, checkpoint, percent = columns
    _require_type(task, str)
    _require_type(run, int)
    if abs(run) >= _MAX_RUN_NUMBER:
        raise ValueError('run number is out of range')
    _require_type(checkpoint, str)
    _require_type(percent, (int, float))
    _require_type(load, (int, float, type(None)))
    return RunningTask(
        parse_task_key(task),
        run,
        checkpoint,
        min(max(percent, 0), _FULL_PERCENT),
        _decode_load(load),
    )


def _decode_load(load: float | None) -> float | None:
    """Return a load, or None if it is absent or out of range.

    The load is advisory: a run with an invalid load still counts as running.
    """
    if load is None or not 0 <= load <= _MAX_LOAD:
        return None
    return load if load >= _MIN_LOAD else 0.0


def _find_invalid_load(body: WorkerAnswerBody) -> str:
    """Return the first invalid load of a report, shortened for the log."""
    reported = (row[_LOAD_COLUMN] for row in body.running if _has_load(row))
    invalid = (load for load in reported if _decode_load(load) is None)
    return next((repr(load)[:_MAX_LOGGED_LOAD_CHARS] for load in invalid), '')


def _has_load(row: RunningRow) -> bool:
    return len(row) > _LOAD_COLUMN and row[_LOAD_COLUMN] is not None


def _require_type(value: t.Any, types: type | tuple[type, ...]) -> None:
    if not isinstance(value, types):
        raise TypeError(
            f'unexpected value {value!r} in a row of a running task'
        )


def _decode_ended(row: EndedRow) -> EndedRun:
    return EndedRun(
        number=row[0],
        key=parse_task_key(row[1]),
        run=row[2],
        outcome=RunOutcome(row[3]),
        checkpoint=row[4],
    )
