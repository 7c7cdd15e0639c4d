"""Tasks whose turn has come, by step, until each is started."""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Job, SchedulerState, Task
from tulippin.jobs.types import Step, TaskKey

StepKey: t.TypeAlias = tuple[str, int, int]

# A long-running task that has run is overdue after so long without a place:
# the users allow 6 s without a run, of which a worker's lease takes up to
# 4.9 s.
OVERDUE_MS: t.Final = 2500


def get_step_key(key: TaskKey) -> StepKey:
    """Return the key of the step, in its occurrence, of a task."""
    return key.job_id, key.occurrence, key.step


def _get_queue(
    step: Step, state: SchedulerState
) -> dict[StepKey, dict[TaskKey, Task]]:
    return state.ready_idle if step.opportunistic else state.ready


def add(task: Task, step: Step, state: SchedulerState) -> None:
    """Have a task started as soon as a worker may take it."""
    queue = _get_queue(step, state)
    tasks = queue.setdefault(get_step_key(task.key), {})
    if task.key not in tasks:
        task.ready_ms = state.now_ms
    if task.least_run and task.has_run:
        # It has waited in the unit that passed it on.
        task.ready_ms = min(task.ready_ms, state.now_ms - OVERDUE_MS)
    tasks[task.key] = task
    state.is_placing_due = True


def remove(key: TaskKey, step: Step, state: SchedulerState) -> None:
    """Take a task out, if it is there."""
    queue = _get_queue(step, state)
    tasks = queue.get(get_step_key(key))
    if tasks is None:
        return
    tasks.pop(key, None)
    if not tasks:
        del queue[get_step_key(key)]


def list_overdue(state: SchedulerState) -> list[tuple[Job, Task]]:
    """Return long-running tasks that have waited too long, oldest first."""
    limit_ms = state.now_ms - OVERDUE_MS
    found = []
    for kind, tasks in state.ready.items():
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        if not step.long_running or step.gang or job.queue.advised:
            continue
        found.extend(
            (job, task)
            for task in tasks.values()
            if task.ready_ms <= limit_ms and is_back(job, task)
        )
    found.sort(key=lambda pair: pair[1].ready_ms)
    return found


def is_back(job: Job, task: Task) -> bool:
    """Whether a task waits that was at work before.

    Its users were served and miss it now; those of one that has never run
    wait as for any work.
    """
    return task.has_run or (job.is_resumed and not job.knows_begun)


def has_runs(job: Job) -> bool:
    """Whether a run of some task of the job is there or ordered."""
    return any(task.attempts for task in job.tasks.values())


def get_idle_ms(job: Job, task: Task, state: SchedulerState) -> int:
    """Return for how long a ready task's job has had nothing running.

    Users miss each task that lasts, whatever else of its job runs.
    """
    if job.request.steps[task.key.step].long_running:
        return state.now_ms - task.ready_ms
    if has_runs(job):
        return 0
    return state.now_ms - max(job.idle_since_ms, task.ready_ms)
