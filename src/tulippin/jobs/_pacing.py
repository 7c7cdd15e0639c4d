"""Keeping latency targets: what disturbs rests while a miss lasts.

A task on idle processors is placed where the model expects no harm, and
then works at full speed: one that is slowed keeps its place and its memory
and makes its job late. A short miss is borne; one that lasts stops all
neighbours at the worker until the tails are back.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _availability,
    _feasibility,
    _interference,
    _ownership,
    _scoring,
    _slow_start,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PaceRun
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import StartOutcome

_FULL_PERCENT: t.Final = 100
# A pace is raised no sooner after its last change: a report covers half a
# second, and a new pace works after 100 ms.
_RAISE_AFTER_MS: t.Final = 600
_SEND_AGAIN_MS: t.Final = 400
# A miss that lasted so long lets neighbours rest. The users allow 4 s; a
# report is up to 1 s old and a pace takes 100 ms. In place of paces that
# keep every target by the model: four days of trial 0.754 to 0.783 of worth
# at 1.5 s, 0.790 at 2.5 s, which leaves too little of the 4 s.
_REST_AFTER_MS: t.Final = 1800
# A miss is over once all targets were kept for so long, two readings at
# least: a tail that stays just above its target now and then reads as below
# it, and a miss counted anew each time went on for 4 s.
_CALM_MS: t.Final = 700
# A miss seen so soon after a taking has begun before it.
_FOUND_WITHIN_MS: t.Final = 1500
# Tail over target that counts as a miss.
_MISS_RATIO: t.Final = 0.97
# A task that rests for so long goes elsewhere: a stop and a new start take
# about a second.
_MOVE_AFTER_MS: t.Final = 1200
# A run that was begun slowly and goes on at no more than this is held up: it
# takes five times as long, or more.
_HELD_PERCENT: t.Final = 20
# Work that may be done again, where there is no checkpoint.
_CHEAP_PROGRESS_PERCENT: t.Final = 25


def _list_running(worker: Worker) -> list[Attempt]:
    """Return the opportunistic runs that are there and may be paced."""
    return [
        attempt
        for attempt in worker.fillers.values()
        if attempt.state is AttemptState.RUNNING
    ]


def adjust(worker: Worker, context: Context) -> None:
    """Choose the pace of a worker's opportunistic tasks, and send it."""
    fillers = _list_running(worker)
    if not fillers:
        worker.missed_since_ms = 0
        worker.calm_since_ms = 0
        return
    _judge_adopted(worker, fillers, context)
    _choose(worker, fillers, context)
    for attempt in fillers:
        send_if_changed(attempt, worker, context)


def _judge_adopted(
    worker: Worker, fillers: list[Attempt], context: Context
) -> None:
    """Have runs of the last owner yield where together they are too many.

    Which of them it had begun slowly is not known, and all at full pace
    would miss targets for two seconds on most workers.
    """
    adopted = [one for one in fillers if one.pace_percent is None]
    if not adopted:
        return
    slack = _interference.get_slack(worker, context.state)
    if min(slack.values(), default=0.0) < 0:
        for attempt in adopted:
            attempt.is_slow_start = True
        _interference.forget_view(worker)


def tick(context: Context) -> None:
    """Let neighbours rest on workers that have not been heard for long.

    A miss is counted from report to report, and without any they would
    work on for as long as the worker's lease lasts.
    """
    if not context.may_order:
        return
    for worker in context.state.workers.values():
        if worker.fillers and _feasibility.is_unheard(worker, context.state):
            _rest_unheard(worker, context)


def _rest_unheard(worker: Worker, context: Context) -> None:
    fillers = _list_running(worker)
    if any(attempt.wanted_percent for attempt in fillers):
        worker.pace_changed_ms = context.state.now_ms
        _interference.forget_view(worker)
        context.log(
            'pace unheard worker',
            worker=worker.worker_id,
            answered_ago_ms=context.state.now_ms - worker.answered_ms,
            fillers=len(fillers),
        )
    for attempt in fillers:
        attempt.wanted_percent = 0
        send_if_changed(attempt, worker, context)


def _choose(worker: Worker, fillers: list[Attempt], context: Context) -> None:
    state = context.state
    worst = max(worker.serving.values(), key=_get_ratio, default=None)
    ratio = 0.0 if worst is None else _get_ratio(worst)
    _note_miss(worker, ratio, state)
    lasted_ms = state.now_ms - (worker.missed_since_ms or state.now_ms)
    percent = 0 if lasted_ms >= _REST_AFTER_MS else _FULL_PERCENT
    before = [attempt.wanted_percent for attempt in fillers]
    may_raise = state.now_ms - worker.pace_changed_ms >= _RAISE_AFTER_MS
    for attempt in fillers:
        wanted = percent
        if attempt.is_slow_start:
            wanted = _slow_start.adjust_pace(attempt, worker, ratio, state)
        if wanted < attempt.wanted_percent or may_raise:
            attempt.wanted_percent = wanted
    _move_slowed(fillers, context)
    after = [attempt.wanted_percent for attempt in fillers]
    if before == after:
        return
    _interference.forget_view(worker)
    worker.pace_changed_ms = state.now_ms
    context.log(
        'pace worker',
        worker=worker.worker_id,
        worst=worst.key.format() if worst else '',
        worst_ratio=round(ratio, 3),
        lasted_ms=lasted_ms,
        before_percent=before,
        percent=after,
    )


def _note_miss(worker: Worker, ratio: float, state: SchedulerState) -> None:
    """Note since when some target has been missed, or that it is over.

    A miss that a new owner finds at once may be as old as the last owner's
    silence: with a count of its own, neighbours worked for up to 6 s.
    """
    now_ms = state.now_ms
    if ratio > _MISS_RATIO:
        is_found = now_ms - state.ownership.taken_ms < _FOUND_WITHIN_MS
        since_ms = now_ms - _REST_AFTER_MS if is_found else now_ms
        worker.missed_since_ms = worker.missed_since_ms or since_ms
        worker.calm_since_ms = 0
        return
    worker.calm_since_ms = worker.calm_since_ms or now_ms
    if now_ms - worker.calm_since_ms >= _CALM_MS:
        worker.missed_since_ms = 0


def _get_ratio(attempt: Attempt) -> float:
    return attempt.tail_ms / attempt.step.target_ms


def _move_slowed(fillers: list[Attempt], context: Context) -> None:
    """Stop what has been slow for long, to go on from there elsewhere."""
    now_ms = context.state.now_ms
    for attempt in fillers:
        if attempt.wanted_percent and not _is_held(attempt):
            attempt.slowed_ms = 0
            continue
        attempt.slowed_ms = attempt.slowed_ms or now_ms
        is_cheap = (
            attempt.step.checkpointing
            or attempt.progress_percent < _CHEAP_PROGRESS_PERCENT
        )
        is_long = now_ms - attempt.slowed_ms >= _MOVE_AFTER_MS
        may_go = is_cheap and _availability.may_end(attempt, context)
        if may_go and is_long and _fits_elsewhere(attempt, context):
            _attempts.avoid(attempt, context)
            _attempts.stop_attempt(attempt, context, 'slowed for long')


def _is_held(attempt: Attempt) -> bool:
    """Whether a run would be done much sooner where it is borne in full."""
    is_held = attempt.wanted_percent <= _HELD_PERCENT
    return attempt.is_slow_start and is_held


def _fits_elsewhere(attempt: Attempt, context: Context) -> bool:
    if _scoring.fits_elsewhere(attempt, context):
        return True
    # Another slow place is better than rest, and no better than this one.
    may_begin = attempt.is_slow_start and not attempt.wanted_percent
    return may_begin and _slow_start.has_place_elsewhere(attempt, context)


def send_if_changed(attempt: Attempt, worker: Worker, context: Context) -> None:
    """Send a run's pace, unless the worker has confirmed that one.

    A run works in full until its first pace is set, and disturbs in full
    for as long: the first one is sent as soon as the start is answered.
    """
    if attempt.pace_percent != attempt.wanted_percent:
        _send(attempt, worker, context)


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
        # A task that rested has had no chance to work until now.
        attempt.worked_ms = state.now_ms
