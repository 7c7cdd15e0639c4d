"""Preempts runs to free capacity for tasks that reserve processors."""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _feasibility,
    _headroom,
    _job_progress,
    _ranking,
    _ready_queues,
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
from tulippin.jobs.types import Step
from tulippin.types import Resources

# Delay before a task preempts again: a stop takes up to 900 ms, and its end is
# read soon after.
_RETRY_AFTER_STOP_MS: t.Final = 1300

_MAX_STOPS_PER_TASK: t.Final = 12
# Delay before the next attempt of a task for which no preemption helps.
# Assignments change slowly compared with the passes over ready tasks, and
# scanning the runs of all workers took half of an overloaded owner's time.
_RETRY_INTERVAL_MS: t.Final = 200
# The same for a task for which only slow-started runs stop. Under overload many
# such tasks wait.
_SLOW_START_RETRY_MS: t.Final = 1000
# Time without any run after which a job of no value may preempt others. At most
# 3 s without a run are acceptable beside mostly idle processors.
_WORTHLESS_PREEMPTS_AFTER_MS: t.Final = 2500


def preempt_for(job: Job, task: Task, context: Context) -> None:
    """Stop runs that give way to a task that reserves processors.

    Slow-started runs give way to all such tasks, as they use memory that is
    kept for these; other runs to tasks of the most urgent priority, and not to
    gangs. Work of no value preempts others only once its job has had
    nothing running for long, so that it is completed at some time.
    """
    state = context.state
    step = job.request.steps[task.key.step]
    if step.opportunistic:
        return
    step_key = _ready_queues.get_step_key(task.key)
    if _ranking.is_worthless(job, step_key, state):
        idle_ms = _job_progress.get_idle_ms(job, task, state)
        if idle_ms < _WORTHLESS_PREEMPTS_AFTER_MS:
            return
    if state.now_ms < task.preempt_after_ms:
        return
    headroom = _headroom.find_headroom(job, task, step, state)
    preempt(
        job,
        task,
        lambda worker: (
            _feasibility.is_open(worker, job, task, step, state)
            and (headroom is None or headroom.admits(worker, step))
        ),
        context,
    )


def preempt(
    job: Job,
    task: Task,
    is_open: t.Callable[[Worker], bool],
    context: Context,
) -> int:
    """Stop runs on the worker where that loses the least work.

    Parameters
    ----------
    job, task : Job, Task
        The task that fits nowhere.
    is_open : callable
        Returns whether a worker may run the task, apart from its capacity.
    context : Context
        Takes the orders to stop.

    Returns
    -------
    int
        The number of runs that were ordered to stop.
    """
    state = context.state
    if state.now_ms < task.preempt_after_ms:
        return 0
    step = job.request.steps[task.key.step]
    is_urgent = job.queue.priority == 0 and not step.gang
    retry_ms = _RETRY_INTERVAL_MS if is_urgent else _SLOW_START_RETRY_MS
    task.preempt_after_ms = state.now_ms + retry_ms
    best: list[Attempt] = []
    best_cost = 0
    for worker in state.workers.values():
        has_victims = is_urgent or _has_slow_starts(worker)
        if not (has_victims and is_open(worker)):
            continue
        victims = _choose_victims(worker, step, state, is_urgent=is_urgent)
        cost = sum(_get_cost(attempt, state) for attempt in victims)
        if victims and (not best or cost < best_cost):
            best = victims
            best_cost = cost
    if not best or len(best) > _MAX_STOPS_PER_TASK:
        return 0
    task.preempt_after_ms = state.now_ms + _RETRY_AFTER_STOP_MS
    for attempt in best:
        state.count('preemptions')
        _attempts.stop_attempt(
            attempt, context, f'preempted for {task.key.format()}'
        )
    return len(best)


def _get_cost(attempt: Attempt, state: SchedulerState) -> int:
    """Return the work, in millicore-milliseconds, that a stop may discard."""
    if _ranking.is_worthless_run(attempt, state):
        return 0
    age_ms = state.now_ms - attempt.sent_ms
    if attempt.step.checkpointing:
        # The work is saved; only restoring the checkpoint costs time.
        age_ms = min(age_ms, 1000)
    return age_ms * attempt.step.size.cpu_millicores


def _has_slow_starts(worker: Worker) -> bool:
    return any(one.is_slow_start for one in worker.fillers.values())


def _is_victim(attempt: Attempt, *, is_urgent: bool) -> bool:
    """Whether a task may preempt a run; an urgent one has priority 0."""
    is_less_urgent = is_urgent and attempt.priority > 0
    return (
        (attempt.is_slow_start or is_less_urgent)
        and attempt.state is AttemptState.RUNNING
        and not attempt.step.long_running
    )


def _would_fit(
    free: Resources, worker: Worker, step: Step, *, is_urgent: bool
) -> bool:
    """Whether a task would fit if all possible victims were stopped."""
    wanted = step.reserved
    cpu_millicores = free.cpu_millicores
    memory_mb = free.memory_mb
    for attempt in worker.attempts.values():
        if _is_victim(attempt, is_urgent=is_urgent):
            cpu_millicores += attempt.step.reserved.cpu_millicores
            memory_mb += attempt.step.reserved.memory_mb
    return (
        wanted.cpu_millicores <= cpu_millicores
        and wanted.memory_mb <= memory_mb
    )


def _choose_victims(
    worker: Worker, step: Step, state: SchedulerState, *, is_urgent: bool
) -> list[Attempt]:
    """Return runs whose stop frees enough capacity; empty if none do.

    Empty also if runs that are stopping already free enough.
    """
    free = worker.free
    for attempt in worker.attempts.values():
        if attempt.state is AttemptState.STOPPING:
            free = free.add(attempt.step.reserved)
    if free.fits(step.reserved):
        # Runs that are stopping free enough capacity.
        return []
    if not _would_fit(free, worker, step, is_urgent=is_urgent):
        return []
    candidates = [
        attempt
        for attempt in worker.attempts.values()
        if _is_victim(attempt, is_urgent=is_urgent)
    ]
    candidates.sort(
        key=lambda attempt: (
            not _ranking.is_worthless_run(attempt, state),
            not attempt.step.checkpointing,
            -attempt.step.size.memory_mb,
        )
    )
    chosen = []
    for attempt in candidates:
        chosen.append(attempt)
        free = free.add(attempt.step.reserved)
        if free.fits(step.reserved):
            return chosen
    return []
