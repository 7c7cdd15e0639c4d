"""Workers named ahead for long-running tasks that soon need another one.

An order to start a long-running task waits until it is durable that the task
may run there, which takes a slow store a second and more. A worker that leaves
tells so seconds before, and the lease of a silent one is waited out: where a
task goes next is made durable meanwhile, so that its order waits for nothing.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts, _choosing, _feasibility, _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

_Lasting: t.TypeAlias = tuple[Job, Task, Step]

_EVERY_MS: t.Final = 200
_SPARES_EACH: t.Final = 2
# The most tasks in one go, as all workers are weighed for each.
_MOST_CHOSEN: t.Final = 8


def tick(context: Context) -> None:
    """Name workers for tasks that need another one, and forget others."""
    state = context.state
    is_due = state.now_ms - state.spares_looked_ms >= _EVERY_MS
    if not (context.may_order and is_due):
        return
    state.spares_looked_ms = state.now_ms
    needy: list[_Lasting] = []
    for worker in state.workers.values():
        tasks = _list_lasting(worker, context)
        if _is_in_need(worker):
            needy.extend(one for one in tasks if _lacks_spare(*one, state))
        else:
            _forget(tasks, state)
    for job, task, step in needy[:_MOST_CHOSEN]:
        _name_spares(job, task, step, state)


def _list_lasting(worker: Worker, context: Context) -> list[_Lasting]:
    """Return the long-running tasks that run on a worker."""
    tasks = []
    for attempt in worker.attempts.values():
        step = attempt.step
        found = _attempts.find_task(attempt.key, context)
        if found is not None and step.long_running and not step.gang:
            tasks.append((*found, step))
    return tasks


def _is_in_need(worker: Worker) -> bool:
    return worker.entry.draining or worker.failed_count > 0


def _lacks_spare(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether no worker that is named for a task would take it by now.

    Where one under suspicion goes is decided as it is started.
    """
    if task.crashes:
        return False
    named = [state.workers.get(worker_id) for worker_id in task.spares]
    return not any(
        _feasibility.is_feasible(worker, job, task, step, state)
        for worker in named
        if worker is not None
    )


def _name_spares(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> None:
    best = _choosing.list_best(job, task, step, state)
    spares = frozenset(one.worker_id for one in best[:_SPARES_EACH])
    if spares != task.spares:
        task.spares = spares
        _lifecycle.mark_dirty(job, state)


def _forget(tasks: t.Iterable[_Lasting], state: SchedulerState) -> None:
    for job, task, _ in tasks:
        if task.spares:
            task.spares = frozenset()
            _lifecycle.mark_dirty(job, state)


def is_prepared(job: Job, task: Task) -> bool:
    """Whether an order to one of the workers named for a task can go out."""
    return any(
        _lifecycle.is_place_durable(job, task.key, worker_id)
        for worker_id in task.spares
    )
