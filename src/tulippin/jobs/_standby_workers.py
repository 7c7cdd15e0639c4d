"""Standby workers for long-running tasks that soon have to move.

An order to start a long-running task is sent only once it is durable that the
task may run on that worker, which takes a second or more with a slow store. A
worker announces that it leaves seconds before, and the lease of a silent one
has to expire. In that time standby workers are made durable, so that the next
start order of the task is sent without delay.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts, _feasibility, _lifecycle, _worker_selection
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

_TaskOfStep: t.TypeAlias = tuple[Job, Task, Step]

_CHECK_INTERVAL_MS: t.Final = 200
_STANDBYS_PER_TASK: t.Final = 2
# Maximum of tasks per tick, as all workers are scored for each.
_MAX_TASKS_PER_TICK: t.Final = 8


def tick(context: Context) -> None:
    """Assign standby workers to tasks that need them, and clear others."""
    state = context.state
    is_due = state.now_ms - state.standbys_checked_ms >= _CHECK_INTERVAL_MS
    if not (context.may_send_orders and is_due):
        return
    state.standbys_checked_ms = state.now_ms
    unprepared: list[_TaskOfStep] = []
    for worker in state.workers.values():
        tasks = _list_long_running(worker, context)
        if _has_to_be_vacated(worker):
            unprepared.extend(
                one for one in tasks if _lacks_standby(*one, state)
            )
        else:
            _clear_standbys(tasks, state)
    for job, task, step in unprepared[:_MAX_TASKS_PER_TICK]:
        _assign_standbys(job, task, step, state)


def _list_long_running(worker: Worker, context: Context) -> list[_TaskOfStep]:
    """Return the long-running tasks that run on a worker."""
    tasks = []
    for attempt in worker.attempts.values():
        step = attempt.step
        found = _attempts.find_task(attempt.key, context)
        if found is not None and step.long_running and not step.gang:
            tasks.append((*found, step))
    return tasks


def _has_to_be_vacated(worker: Worker) -> bool:
    """Whether the tasks of a worker will soon have to move."""
    return worker.entry.draining or worker.failed_count > 0


def _lacks_standby(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether none of a task's standby workers is feasible for it now.

    Suspected tasks get none, as their worker is decided when they start.
    """
    if task.crashes:
        return False
    standbys = [
        state.workers.get(worker_id) for worker_id in task.standby_workers
    ]
    return not any(
        _feasibility.is_feasible(worker, job, task, step, state)
        for worker in standbys
        if worker is not None
    )


def _assign_standbys(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> None:
    """Assign the best workers as standby workers of a task."""
    best = _worker_selection.rank_workers(job, task, step, state)
    standby_workers = frozenset(
        one.worker_id for one in best[:_STANDBYS_PER_TASK]
    )
    if standby_workers != task.standby_workers:
        task.standby_workers = standby_workers
        _lifecycle.mark_dirty(job, state)


def _clear_standbys(
    tasks: t.Iterable[_TaskOfStep], state: SchedulerState
) -> None:
    """Clear the standby workers of tasks that no longer have to move."""
    for job, task, _ in tasks:
        if task.standby_workers:
            task.standby_workers = frozenset()
            _lifecycle.mark_dirty(job, state)


def is_prepared(job: Job, task: Task) -> bool:
    """Whether one of a task's standby workers is durable."""
    return any(
        _lifecycle.is_assignment_durable(job, task.key, worker_id)
        for worker_id in task.standby_workers
    )
