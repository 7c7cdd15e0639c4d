"""Starts second runs of stragglers, for steps that allow duplicates.

A run that has lasted for much longer than usual is expected to take a multiple
of a fresh one. A copy of it on idle processors is then likely to end first. The
first of both to end counts, and the other one is stopped.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _forecasting,
    _interference,
    _ownership,
    _ranking,
    _ready_queues,
    _run_times,
    _starting,
    _worker_selection,
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
from tulippin.jobs.types import FINAL_STATES

# Interval between two searches for stragglers.
_INTERVAL_MS: t.Final = 500
# A run gets a copy if its expected time left exceeds that of a fresh run by
# this factor.
_MIN_GAIN: t.Final = 1.5
# Share of the unit's free processors that copies may use.
_FREE_SHARE: t.Final = 0.05
# Limits the starts of one search.
_MAX_STARTS: t.Final = 4
# A copy that fails counts as an attempt of its task, so a task with a copy has
# at least this many attempts left.
_MIN_ATTEMPTS_LEFT: t.Final = 2


def tick(context: Context) -> None:
    """Start copies of stragglers at intervals, if no other task waits."""
    state = context.state
    if not state.config.features.orders_by_progress:
        return
    if not (context.may_send_orders and _ownership.may_extend_leases(state)):
        return
    if state.now_ms - state.copies_checked_ms < _INTERVAL_MS:
        return
    state.copies_checked_ms = state.now_ms
    stragglers = _list_stragglers(state)
    if not stragglers:
        return
    left_millicores = _compute_limit(state)
    for job, task, attempt in stragglers[:_MAX_STARTS]:
        size_millicores = attempt.step.size.cpu_millicores
        if size_millicores <= left_millicores and _start(
            job, task, attempt, context
        ):
            left_millicores -= size_millicores


def _list_stragglers(state: SchedulerState) -> list[tuple[Job, Task, Attempt]]:
    """Return the runs that need a copy, the longest expected ones first."""
    found = []
    for job, task, attempt in _iter_copyable(state):
        gain_ms = _compute_gain_ms(job, attempt, state)
        if gain_ms > 0:
            found.append((gain_ms, (job, task, attempt)))
    found.sort(key=lambda one: -one[0])
    return [straggler for _, straggler in found]


def _iter_copyable(
    state: SchedulerState,
) -> t.Iterator[tuple[Job, Task, Attempt]]:
    """Yield the runs that may have a copy."""
    for worker in state.workers.values():
        for attempt in worker.attempts.values():
            job = state.jobs.get(attempt.key.job_id)
            if job is None or not _may_have_copy(attempt, state):
                continue
            task = job.tasks.get(attempt.key)
            if task is not None and _may_copy(job, task, state):
                yield job, task, attempt


def _may_have_copy(attempt: Attempt, state: SchedulerState) -> bool:
    """Whether a run is of a kind that may have a copy, and nothing waits."""
    step = attempt.step
    if not step.allow_duplicates or step.long_running or step.gang:
        return False
    if attempt.state is not AttemptState.RUNNING or attempt.is_slow_start:
        return False
    # Idle processors go to tasks without a run first.
    waiting = state.ready_opportunistic if step.opportunistic else state.ready
    return not waiting


def _may_copy(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a second run of a task may be started."""
    is_over = task.is_done or job.is_cancelled or job.state in FINAL_STATES
    if is_over or job.is_progress_unknown or job.moved_to is not None:
        return False
    if len(task.attempts) != 1 or task.crashes or task.unconfirmed_workers:
        return False
    attempts_left = job.queue.max_attempts - len(task.failed_runs)
    if attempts_left < _MIN_ATTEMPTS_LEFT:
        return False
    step_key = _ready_queues.get_step_key(task.key)
    return not _ranking.is_worthless(job, step_key, state)


def _compute_gain_ms(
    job: Job, attempt: Attempt, state: SchedulerState
) -> float:
    """Return the time that a copy is expected to gain; 0 if too little."""
    times = _run_times.predict(job, attempt.step, state)
    worked_ms = _forecasting.get_worked_ms(attempt, state.now_ms)
    left_ms = times.get_total_ms(worked_ms) - worked_ms
    if left_ms <= _MIN_GAIN * times.usual_ms:
        return 0.0
    return left_ms - times.usual_ms


def _compute_limit(state: SchedulerState) -> float:
    """Return the processors that further copies may use, in millicores."""
    idle_millicores = 0.0
    copied_millicores = 0
    for worker in state.workers.values():
        idle_millicores += max(0.0, _interference.get_idle(worker))
        copied_millicores += sum(
            attempt.step.size.cpu_millicores
            for attempt in worker.attempts.values()
            if attempt.copy_of
        )
    free_millicores = idle_millicores + copied_millicores
    return _FREE_SHARE * free_millicores - copied_millicores


def _start(job: Job, task: Task, attempt: Attempt, context: Context) -> bool:
    """Start a copy of a run on another worker; return whether one fits."""
    worker = _choose_worker(job, task, attempt, context.state)
    if worker is None:
        return False
    task.run_count += 1
    copy = _starting.add_run(job, attempt.step, task, worker, context)
    copy.copy_of = attempt.run
    context.state.count('copies')
    _starting.send(copy, job, context)
    return True


def _choose_worker(
    job: Job, task: Task, attempt: Attempt, state: SchedulerState
) -> Worker | None:
    """Return the best worker for a copy, apart from that of the run."""
    ranked = _worker_selection.rank_workers(job, task, attempt.step, state)
    return next(
        (one for one in ranked if one.worker_id != attempt.worker_id), None
    )
