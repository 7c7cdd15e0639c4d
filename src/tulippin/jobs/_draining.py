"""Moves long-running tasks off workers that are draining.

A run that ends together with its worker is not reported, and its task is
started again only after the worker's lease has expired: 4.9 s in which its
users are not served. A stop that is reported costs one second. Tasks that end
by themselves are left alone: most of them do so before the worker leaves.
"""

from __future__ import annotations

import collections
import typing as t

from tulippin.jobs import (
    _attempts,
    _crashes,
    _ready_queues,
    _scoring,
    _standby_workers,
    _transfers,
    _unconfirmed_runs,
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

_DRAIN_INTERVAL_MS: t.Final = 200
# Limits the stops of one pass, as each task is checked for another worker
# without the capacity that earlier ones will take there.
_MAX_STOPS_PER_TICK: t.Final = 4
# A worker that leaves within this time is drained regardless of the limit: a
# stop takes up to 0.9 s.
_FINAL_STOP_MS: t.Final = 1500
_LOG_INTERVAL_MS: t.Final = 1000


def tick(context: Context) -> None:
    """Stop long-running tasks on draining workers, a few at a time."""
    state = context.state
    is_due = state.now_ms - state.drain_checked_ms >= _DRAIN_INTERVAL_MS
    if not (context.may_send_orders and is_due):
        return
    state.drain_checked_ms = state.now_ms
    leaving = [
        worker
        for worker in state.workers.values()
        if worker.entry.draining and worker.attempts
    ]
    if not leaving:
        return
    leaving.sort(key=lambda worker: worker.leaves_at_ms)
    budget = 0 if _are_others_waiting(state) else _MAX_STOPS_PER_TICK
    obstacles: collections.Counter[str] = collections.Counter()
    for worker in leaving:
        for attempt in list(filter(_is_movable, worker.attempts.values())):
            obstacle = _find_obstacle(attempt, worker, budget, context)
            if obstacle:
                obstacles[obstacle] += 1
                continue
            budget = max(0, budget - 1)
            _attempts.stop_attempt(attempt, context, 'its worker leaves')
    _log_obstacles(obstacles, leaving, context)


def _find_obstacle(
    attempt: Attempt, worker: Worker, budget: int, context: Context
) -> str:
    """Return the reason not to stop a run now; empty if there is none."""
    if worker.leaves_at_ms - context.state.now_ms > _FINAL_STOP_MS:
        if not budget:
            return 'others_wait'
        if not _is_prepared(attempt, context):
            return 'not_durable'
    return '' if _fits_elsewhere(attempt, context) else 'no_place'


def _log_obstacles(
    obstacles: t.Mapping[str, int], leaving: list[Worker], context: Context
) -> None:
    """Log why tasks remain on draining workers, once a second."""
    state = context.state
    if (
        not obstacles
        or state.now_ms - state.obstacles_logged_ms < _LOG_INTERVAL_MS
    ):
        return
    state.obstacles_logged_ms = state.now_ms
    first = leaving[0]
    context.log(
        'tasks stay on leaving workers',
        reasons=dict(obstacles),
        workers=len(leaving),
        next_worker=first.worker_id,
        next_leaves_in_ms=first.leaves_at_ms - state.now_ms,
    )


def _is_movable(attempt: Attempt) -> bool:
    """Whether a run is long-running, running and not part of a gang."""
    step = attempt.step
    is_running = attempt.state is AttemptState.RUNNING
    return is_running and step.long_running and not step.gang


def _are_others_waiting(state: SchedulerState) -> bool:
    """Whether tasks that were stopped recently still wait for a worker."""
    return any(
        _waits_for_capacity(state.jobs[step_key[0]], task, state)
        for step_key, tasks in state.ready.items()
        for task in tasks.values()
    )


def _waits_for_capacity(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task was stopped recently and waits only for capacity."""
    is_recent = task.ready_ms > state.now_ms - _FINAL_STOP_MS
    if not (is_recent and _ready_queues.ran_before(job, task)):
        return False
    step = job.request.steps[task.key.step]
    is_withheld = _unconfirmed_runs.must_await_workers(job, step)
    return not is_withheld and _crashes.may_start(job, task, state)


def _is_prepared(attempt: Attempt, context: Context) -> bool:
    """Whether a standby worker of the task is durable, or it has none.

    A task without standby workers may still be started by another unit.
    """
    found = _attempts.find_task(attempt.key, context)
    if found is None or not found[1].standby_workers:
        return True
    return _standby_workers.is_prepared(*found)


def _fits_elsewhere(attempt: Attempt, context: Context) -> bool:
    """Whether another worker, here or in another unit, has capacity."""
    if _scoring.has_other_worker(attempt, context):
        return True
    found = _attempts.find_task(attempt.key, context)
    return found is not None and _transfers.has_unit_for(
        attempt.step, found[0].queue.service, context.state
    )
