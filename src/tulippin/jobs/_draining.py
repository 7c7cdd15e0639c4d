"""Moving long-running tasks off workers that leave.

What runs on a worker when it ends dies unseen, and is started again only
once its lease has surely lapsed: 4.9 s, in which the task's users are not
served. A stop that is seen costs one. Tasks that end by themselves are
left: they mostly do before the worker leaves.
"""

from __future__ import annotations

import collections
import typing as t

from tulippin.jobs import (
    _attempts,
    _crashes,
    _passing,
    _ready,
    _scoring,
    _spares,
    _unseen,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)

_EVERY_MS: t.Final = 200
# The most stops decided in one go: places for the tasks are looked for one
# by one, while those of earlier ones are not taken yet.
_STOPS_PER_PASS: t.Final = 4
# A worker that leaves so soon is emptied without regard to the pace: a stop
# takes up to 0.9 s.
_LAST_MS: t.Final = 1500
_TELL_EVERY_MS: t.Final = 1000


def tick(context: Context) -> None:
    """Stop long-running tasks on workers that leave, some at a time."""
    state = context.state
    is_due = state.now_ms - state.drained_ms >= _EVERY_MS
    if not (context.may_order and is_due):
        return
    state.drained_ms = state.now_ms
    leaving = [
        worker
        for worker in state.workers.values()
        if worker.entry.draining and worker.attempts
    ]
    leaving.sort(key=lambda worker: worker.leaves_at_ms)
    budget = 0 if _are_others_waiting(state) else _STOPS_PER_PASS
    kept: collections.Counter[str] = collections.Counter()
    for worker in leaving:
        for attempt in list(filter(_is_movable, worker.attempts.values())):
            obstacle = _find_obstacle(attempt, worker, budget, context)
            if obstacle:
                kept[obstacle] += 1
                continue
            budget = max(0, budget - 1)
            _attempts.stop_attempt(attempt, context, 'its worker leaves')
    _tell_kept(kept, leaving, context)


def _find_obstacle(
    attempt: Attempt, worker: Worker, budget: int, context: Context
) -> str:
    """Return what keeps a run where it is for now; an empty text if nothing."""
    if worker.leaves_at_ms - context.state.now_ms > _LAST_MS:
        if not budget:
            return 'others_wait'
        if not _is_prepared(attempt, context):
            return 'not_durable'
    return '' if _has_place(attempt, context) else 'no_place'


def _tell_kept(
    kept: t.Mapping[str, int], leaving: list[Worker], context: Context
) -> None:
    """Tell why tasks are left on workers that leave, once a second."""
    state = context.state
    if not kept or state.now_ms - state.kept_told_ms < _TELL_EVERY_MS:
        return
    state.kept_told_ms = state.now_ms
    first = leaving[0]
    context.log(
        'tasks stay on leaving workers',
        reasons=dict(kept),
        workers=len(leaving),
        next_worker=first.worker_id,
        next_leaves_in_ms=first.leaves_at_ms - state.now_ms,
    )


def _is_movable(attempt: Attempt) -> bool:
    """Whether a task has to be moved, and others don't end with it."""
    step = attempt.step
    is_running = attempt.state is AttemptState.RUNNING
    return is_running and step.long_running and not step.gang


def _are_others_waiting(state: SchedulerState) -> bool:
    """Whether tasks that were stopped just now still look for a place."""
    return any(
        _looks_for_place(state.jobs[kind[0]], task, state)
        for kind, tasks in state.ready.items()
        for task in tasks.values()
    )


def _looks_for_place(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task is back since a moment ago, and only room may lack."""
    is_recent = task.ready_ms > state.now_ms - _LAST_MS
    if not (is_recent and _ready.is_back(job, task)):
        return False
    step = job.request.steps[task.key.step]
    is_unseen = _unseen.holds_back(job, step)
    return not is_unseen and _crashes.may_start(job, task, state)


def _is_prepared(attempt: Attempt, context: Context) -> bool:
    """Whether its next start waits for nothing, or is another unit's."""
    found = _attempts.find_task(attempt.key, context)
    if found is None or not found[1].spares:
        return True
    return _spares.is_prepared(*found)


def _has_place(attempt: Attempt, context: Context) -> bool:
    """Whether this unit, or another one, would take the task."""
    if _scoring.fits_elsewhere(attempt, context):
        return True
    return _passing.has_unit_for(attempt.step, context.state)
