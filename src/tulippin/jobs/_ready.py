"""Tasks whose turn has come, by step, until each is started."""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import SchedulerState, Task
from tulippin.jobs.types import Step, TaskKey

StepKey: t.TypeAlias = tuple[str, int, int]


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
