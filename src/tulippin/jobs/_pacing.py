"""Keeping latency targets: tasks on idle processors are slowed in time.

While a task is near or over its target, the neighbours that the model
blames most are slowed; if the model blames none, all are. They go faster
again as the model and the tails allow it.
"""

from __future__ import annotations

import math
import typing as t

from tulippin.jobs import _attempts, _interference, _ownership
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PaceRun
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.state import Attempt, AttemptState, SchedulerState, Worker
from tulippin.jobs.types import StartOutcome

# A report covers the last half second, and a new pace works after 100 ms:
# a change is judged only once the report can show it.
_JUDGE_AFTER_MS: t.Final = 600
_SEND_AGAIN_MS: t.Final = 400
# Tail over target above which neighbours are slowed, to which they are
# slowed, and below which they may go faster.
_SLOW_RATIO: t.Final = 0.92
_GOAL_RATIO: t.Final = 0.85
_FAST_RATIO: t.Final = 0.75
_STEP_PERCENT: t.Final = 34
_FULL_PERCENT: t.Final = 100
# A neighbour whose part in the excess is below this is not slowed while
# others are to blame.
_BLAME: t.Final = 0.02
# What the neighbours are sure to take off a tail, where all together are
# blamed for too little: a stop within three reports.
_UNEXPLAINED_PERCENT: t.Final = 40
# A task kept at or below this pace for so long goes elsewhere: a stop and
# a new start take about a second.
_MOVE_PERCENT: t.Final = 35
_MOVE_AFTER_MS: t.Final = 1200
# Work that may be done again, where there is no checkpoint.
_CHEAP_PROGRESS_PERCENT: t.Final = 25


def adjust(worker: Worker, context: Context) -> None:
    """Choose the pace of a worker's opportunistic tasks, and send it."""
    state = context.state
    fillers = [
        attempt
        for attempt in worker.fillers.values()
        if attempt.state is AttemptState.RUNNING
    ]
    if not fillers:
        return
    if state.now_ms - worker.pace_changed_ms >= _JUDGE_AFTER_MS:
        _choose(worker, fillers, context)
    for attempt in fillers:
        if attempt.pace_percent != attempt.wanted_percent:
            _send(attempt, worker, context)


def _choose(worker: Worker, fillers: list[Attempt], context: Context) -> None:
    worst = max(worker.serving.values(), key=_get_ratio, default=None)
    ratio = 0.0 if worst is None else _get_ratio(worst)
    before = [attempt.wanted_percent for attempt in fillers]
    if worst is not None and ratio > _SLOW_RATIO:
        _slow(worst, ratio, worker, fillers, context.state)
    elif ratio < _FAST_RATIO:
        for attempt in fillers:
            attempt.wanted_percent = min(
                _FULL_PERCENT, attempt.wanted_percent + _STEP_PERCENT
            )
    _move_slowed(fillers, context)
    after = [attempt.wanted_percent for attempt in fillers]
    if before == after:
        return
    worker.pace_changed_ms = context.state.now_ms
    context.log(
        'pace worker',
        worker=worker.worker_id,
        worst=worst.key.format() if worst else '',
        worst_ratio=round(ratio, 3),
        before_percent=before,
        percent=after,
    )


def _move_slowed(fillers: list[Attempt], context: Context) -> None:
    """Stop what has been slow for long, to go on from there elsewhere."""
    now_ms = context.state.now_ms
    for attempt in fillers:
        if attempt.wanted_percent > _MOVE_PERCENT:
            attempt.slowed_ms = 0
            continue
        attempt.slowed_ms = attempt.slowed_ms or now_ms
        is_cheap = (
            attempt.step.checkpointing
            or attempt.progress_percent < _CHEAP_PROGRESS_PERCENT
        )
        if is_cheap and now_ms - attempt.slowed_ms >= _MOVE_AFTER_MS:
            _attempts.avoid(attempt, context)
            _attempts.stop_attempt(attempt, context, 'slowed for long')


def _get_ratio(attempt: Attempt) -> float:
    return attempt.load / attempt.step.target_ms


def _slow(
    worst: Attempt,
    ratio: float,
    worker: Worker,
    fillers: list[Attempt],
    state: SchedulerState,
) -> None:
    """Slow the most to blame first, until the tail should fit."""
    missing = math.log(ratio / _GOAL_RATIO)
    parts = [
        (
            _interference.get_contribution(
                worst.step.image, attempt, worker, state
            ),
            number,
            attempt,
        )
        for number, attempt in enumerate(fillers)
    ]
    parts.sort(reverse=True)
    for part, _, attempt in parts:
        if part < _BLAME or missing <= 0:
            break
        kept = max(0.0, 1 - missing / part)
        attempt.wanted_percent = int(attempt.wanted_percent * kept)
        missing -= part * (1 - kept)
    if missing > 0:
        for attempt in fillers:
            attempt.wanted_percent = max(
                0, attempt.wanted_percent - _UNEXPLAINED_PERCENT
            )


def _send(attempt: Attempt, worker: Worker, context: Context) -> None:
    state = context.state
    if state.now_ms - attempt.paced_ms < _SEND_AGAIN_MS:
        return
    attempt.paced_ms = state.now_ms
    context.emit(
        PaceRun(
            worker.worker_id,
            worker.entry.address,
            attempt.key,
            attempt.run,
            attempt.wanted_percent,
            context.fencing_token,
        )
    )


@handle.register
def _paced(event: PaceAnswered, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.answer.outcome is StartOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is None:
        return
    attempt.paced_ms = 0
    if event.answer.outcome is StartOutcome.STARTED:
        attempt.pace_percent = event.percent
