"""Keeping latency targets: tasks that fill idle processors are slowed.

One share for each worker is lowered quickly while a task beside is over
its target, and raised slowly once all have slack again.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _ownership
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PaceRun
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.state import Attempt, AttemptState, SchedulerState, Worker
from tulippin.jobs.types import StartOutcome

# A report covers the last half second, and a new pace works after 100 ms:
# a change is judged only once the report can show it.
_JUDGE_AFTER_MS: t.Final = 600
# Tail over target above which neighbours are slowed, and below which they
# may go faster again.
_OVER_RATIO: t.Final = 1.0
_SLACK_RATIO: t.Final = 0.8
_RAISE_PERCENT: t.Final = 25
_FULL_PERCENT: t.Final = 100
# So much over its target, a task's neighbours stop at once.
_FAR_OVER_RATIO: t.Final = 1.5
_LEAST_PERCENT: t.Final = 10


def adjust(worker: Worker, context: Context) -> None:
    """Choose the share for a worker's opportunistic tasks, and send it."""
    state = context.state
    ratio = _get_worst_ratio(worker)
    fillers = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.step.opportunistic
        and attempt.state is AttemptState.RUNNING
    ]
    if not fillers:
        worker.pace_percent = _FULL_PERCENT
        return
    if state.now_ms - worker.pace_changed_ms >= _JUDGE_AFTER_MS:
        _choose_percent(worker, ratio, context)
    for attempt in fillers:
        if attempt.pace_percent != worker.pace_percent:
            _send(attempt, worker, context)


def _get_worst_ratio(worker: Worker) -> float:
    return max(
        (
            attempt.load / attempt.step.target_ms
            for attempt in worker.attempts.values()
            if attempt.step.target_ms
        ),
        default=0.0,
    )


def _choose_percent(worker: Worker, ratio: float, context: Context) -> None:
    before = worker.pace_percent
    if ratio > _FAR_OVER_RATIO:
        after = 0
    elif ratio > _OVER_RATIO:
        after = before // 2 if before > _LEAST_PERCENT else 0
    elif ratio < _SLACK_RATIO:
        after = min(_FULL_PERCENT, before + _RAISE_PERCENT)
    else:
        after = before
    if after == before:
        return
    worker.pace_percent = after
    worker.pace_changed_ms = context.state.now_ms
    context.log(
        'pace worker',
        worker=worker.worker_id,
        percent=after,
        before_percent=before,
        worst_ratio=round(ratio, 3),
    )


def _send(attempt: Attempt, worker: Worker, context: Context) -> None:
    state = context.state
    if state.now_ms - attempt.paced_ms < _JUDGE_AFTER_MS // 2:
        return
    attempt.paced_ms = state.now_ms
    context.emit(
        PaceRun(
            worker.worker_id,
            worker.entry.address,
            attempt.key,
            attempt.run,
            worker.pace_percent,
            context.fencing_token,
        )
    )


@handle.register
def _paced(event: PaceAnswered, context: Context) -> None:
    state: SchedulerState = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.answer.outcome is StartOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is not None and event.answer.outcome is StartOutcome.STARTED:
        attempt.pace_percent = event.percent
