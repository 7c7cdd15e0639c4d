"""Counts workers by the reason for which they refuse a task, for the log."""

from __future__ import annotations

import collections

from tulippin.jobs import _feasibility, _scoring
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step


def count(
    job: Job, step: Step, task: Task, state: SchedulerState
) -> dict[str, int]:
    """Return the number of workers by the reason for refusing a task."""
    reasons: collections.Counter[str] = collections.Counter()
    for worker in state.workers.values():
        reasons[_get_reason(worker, job, step, task, state)] += 1
    return dict(reasons)


def _get_reason(
    worker: Worker, job: Job, step: Step, task: Task, state: SchedulerState
) -> str:
    """Return why a worker refuses a task; `takes_it` if it does not."""
    closure = _feasibility.find_closure(worker, job, task, step, state)
    if closure is not None:
        return closure.value
    if not step.opportunistic:
        return _get_missing_resource(worker, step)
    obstacle = _feasibility.find_obstacle(worker, job, task, step, state)
    if obstacle is not None:
        return obstacle.value
    if _scoring.score_idle(state.policy, worker, task, step, state) is None:
        serving = {one.step.image for one in worker.serving.values()}
        return f'harms_one_of_{len(serving)}'
    return 'takes_it'


def _get_missing_resource(worker: Worker, step: Step) -> str:
    """Return the resource that a worker lacks to reserve it for a task."""
    free = worker.free
    if free.cpu_millicores < step.reserved.cpu_millicores:
        return 'processors'
    return 'takes_it' if worker.has_capacity(step.reserved) else 'memory'
