"""Queues of the tasks that are ready to start, grouped by step."""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Job, SchedulerState, Task
from tulippin.jobs.types import Step, TaskKey

StepKey: t.TypeAlias = tuple[str, int, int]

# A long-running task that ran before is overdue after waiting for this long:
# users allow 6 s without a run, of which a worker's lease takes up to 4.9 s.
OVERDUE_AFTER_MS: t.Final = 2500
# Interval between two passes over the opportunistic tasks.
OPPORTUNISTIC_PASS_INTERVAL_MS: t.Final = 100


def get_step_key(key: TaskKey) -> StepKey:
    """Return the key of a task's step within its occurrence."""
    return key.job_id, key.occurrence, key.step


def _get_queue(
    step: Step, state: SchedulerState
) -> dict[StepKey, dict[TaskKey, Task]]:
    """Return the queue of opportunistic steps, or that of all others."""
    return state.ready_opportunistic if step.opportunistic else state.ready


def add(task: Task, step: Step, state: SchedulerState) -> None:
    """Add a task to its queue, and request a placement pass."""
    queue = _get_queue(step, state)
    tasks = queue.setdefault(get_step_key(task.key), {})
    if task.key not in tasks:
        task.ready_ms = state.now_ms
    if task.run_floor and task.has_run:
        # It has already waited in the unit that transferred it.
        task.ready_ms = min(task.ready_ms, state.now_ms - OVERDUE_AFTER_MS)
    tasks[task.key] = task
    state.is_placing_due = True


def remove(key: TaskKey, step: Step, state: SchedulerState) -> None:
    """Remove a task from its queue, if it is queued."""
    queue = _get_queue(step, state)
    tasks = queue.get(get_step_key(key))
    if tasks is None:
        return
    tasks.pop(key, None)
    if not tasks:
        del queue[get_step_key(key)]


def list_overdue(state: SchedulerState) -> list[tuple[Job, Task]]:
    """Return overdue long-running tasks, the longest waiting first."""
    limit_ms = state.now_ms - OVERDUE_AFTER_MS
    overdue = []
    for step_key, tasks in state.ready.items():
        job = state.jobs[step_key[0]]
        step = job.request.steps[step_key[2]]
        if not step.long_running or step.gang or job.queue.advised:
            continue
        overdue.extend(
            (job, task)
            for task in tasks.values()
            if task.ready_ms <= limit_ms and ran_before(job, task)
        )
    overdue.sort(key=lambda pair: pair[1].ready_ms)
    return overdue


def ran_before(job: Job, task: Task) -> bool:
    """Whether a waiting task ran before.

    Its users have lost a service that they had, whereas users of a task that
    never ran wait as for any new work. While it is unknown which tasks of a
    resumed job ran, all of them count as having run.
    """
    return task.has_run or (job.is_resumed and not job.are_started_tasks_known)
