"""The agent of a stand-in worker: the platform's calls, on bytes.

The HTTP servers of the stand-in and its connections in virtual time share it.
"""

from __future__ import annotations

import typing as t

import msgspec

from tulippin._http_client import HttpAnswer
from tulippin.jobs.ports import (
    FencedOrderError,
    StartOrder,
    WorkerChangedError,
)
from tulippin.jobs.types import (
    EndedRun,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    parse_task_key,
)
from tulippin.platform.standin_worker import StandinWorker
from tulippin.platform.wire import (
    HOLD_PATH,
    PACE_PATH,
    START_PATH,
    STOP_PATH,
    HoldBody,
    PaceBody,
    StartBody,
    StopBody,
    WorkerAnswerBody,
)

_OK: t.Final = 200
_CONFLICT: t.Final = 409
_OTHER_INCARNATION: t.Final = HttpAnswer(421, {}, b'')
_REASONS_BY_OUTCOME: t.Final = {
    OrderOutcome.FENCED: 'fence',
    OrderOutcome.SUPERSEDED: 'old',
    OrderOutcome.TOO_LATE: 'late',
    OrderOutcome.NO_ROOM: 'room',
}


async def answer_call(
    worker: StandinWorker, path: str, worker_id: str, body: bytes
) -> HttpAnswer:
    """Return a worker's answer to a call that names an expected worker.

    Raises
    ------
    AnswerLostError
        If the worker crashes before it answers a hold call.
    """
    if path == HOLD_PATH:
        return await _answer_hold(worker, worker_id, body)
    return _ORDER_HANDLERS[path](worker, worker_id, body)


def decode_start(
    worker: StandinWorker, worker_id: str, body: bytes
) -> StartOrder:
    """Decode an order to start a run on a worker."""
    decoded = msgspec.json.decode(body, type=StartBody)
    return StartOrder(
        worker_id,
        worker.address,
        parse_task_key(decoded.task),
        decoded.run,
        decoded.spec,
        decoded.deadline_ms,
        decoded.fencing_token,
        decoded.checkpoint,
        decoded.ticket,
    )


def _answer_start(
    worker: StandinWorker, worker_id: str, body: bytes
) -> HttpAnswer:
    order = decode_start(worker, worker_id, body)
    return _encode_order_answer(worker.handle_start_order(order))


def _answer_stop(
    worker: StandinWorker, worker_id: str, body: bytes
) -> HttpAnswer:
    decoded = msgspec.json.decode(body, type=StopBody)
    answer = worker.handle_stop_order(
        worker_id,
        parse_task_key(decoded.task),
        decoded.run,
        decoded.fencing_token,
    )
    return _encode_order_answer(answer)


def _answer_pace(
    worker: StandinWorker, worker_id: str, body: bytes
) -> HttpAnswer:
    decoded = msgspec.json.decode(body, type=PaceBody)
    run = worker.runs.get((parse_task_key(decoded.task), decoded.run))
    if run is not None:
        run.set_pace(decoded.percent)
    return _encode(WorkerAnswerBody(worker.clock_ms))


_ORDER_HANDLERS: t.Final = {
    START_PATH: _answer_start,
    STOP_PATH: _answer_stop,
    PACE_PATH: _answer_pace,
}


async def _answer_hold(
    worker: StandinWorker, worker_id: str, body: bytes
) -> HttpAnswer:
    decoded = msgspec.json.decode(body, type=HoldBody)
    try:
        report = await worker.handle_hold(
            worker_id,
            decoded.fencing_token,
            decoded.last_seen,
            decoded.deadline_ms,
            decoded.wait_ms,
        )
    except WorkerChangedError:
        return _OTHER_INCARNATION
    except FencedOrderError:
        return _encode(WorkerAnswerBody(worker.clock_ms, 'fence'), _CONFLICT)
    return _encode(
        WorkerAnswerBody(
            report.clock_ms,
            '',
            tuple(_encode_running_task(one) for one in report.running),
            tuple(_encode_ended_run(one) for one in report.ended),
            report.born_ms,
        )
    )


def _encode_running_task(one: RunningTask) -> tuple[t.Any, ...]:
    return (
        one.key.format(),
        one.run,
        one.checkpoint,
        one.progress_percent,
        one.load,
    )


def _encode_ended_run(one: EndedRun) -> tuple[int, str, int, str, str]:
    return (
        one.number,
        one.key.format(),
        one.run,
        one.outcome.value,
        one.checkpoint,
    )


def _encode_order_answer(answer: OrderAnswer) -> HttpAnswer:
    if answer.outcome is OrderOutcome.OTHER_INCARNATION:
        return _OTHER_INCARNATION
    if answer.outcome is OrderOutcome.STARTED:
        return _encode(WorkerAnswerBody(answer.clock_ms))
    reason = _REASONS_BY_OUTCOME.get(answer.outcome, '')
    return _encode(WorkerAnswerBody(answer.clock_ms, reason), _CONFLICT)


def _encode(body: WorkerAnswerBody, status: int = _OK) -> HttpAnswer:
    return HttpAnswer(status, {}, msgspec.json.encode(body))
