"""Which worker a task is started on, of those that may take it."""

from __future__ import annotations

import operator
import typing as t

from tulippin.jobs import _feasibility, _headroom, _scoring, _trials
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# What each further image served on one worker counts, what taking a
# worker that serves nothing yet does, and what it does to leave a piece
# that is neither nothing nor enough for a large task, all beside the room
# left in pieces for one large task.
_MIX_WEIGHT: t.Final = 6.0
_EMPTY_WEIGHT: t.Final = 1.0
_PIECE_WEIGHT: t.Final = 1.0
_SMALL_PIECE_MILLICORES: t.Final = 500
_LARGE_PIECE_MILLICORES: t.Final = 4800
# A worker where a task failed is taken again only if no other fits, and
# one far from its data likewise.
_AVOIDED_WEIGHT: t.Final = 10.0
_FAR_WEIGHT: t.Final = 2.0
# An order to a worker that was named for the task waits for nothing.
_SPARE_WEIGHT: t.Final = -20.0
# Before all else, where a task is to go that may crash its worker.
_RISK_WEIGHT: t.Final = 100.0


def choose(
    job: Job,
    task: Task,
    step: Step,
    state: SchedulerState,
    rack: str = '',
) -> Worker | None:
    """Return the worker where a task is best started, if any takes it.

    Parameters
    ----------
    job, task, step : Job, Task, Step
        What is to be started.
    state : SchedulerState
        Holds the workers and the policy.
    rack : str, optional
        The only rack to be looked at.
    """
    best = list_best(job, task, step, state, rack)
    return best[0] if best else None


def list_best(
    job: Job,
    task: Task,
    step: Step,
    state: SchedulerState,
    rack: str = '',
) -> list[Worker]:
    """Return the workers that take a task, the best one first."""
    scored = []
    for worker in _list_able(job, task, step, state, rack):
        score = _score(worker, task, step, state)
        if score is not None:
            scored.append((score, worker))
    scored.sort(key=operator.itemgetter(0))
    return [worker for _, worker in scored]


def _list_able(
    job: Job, task: Task, step: Step, state: SchedulerState, rack: str
) -> list[Worker]:
    """Return the workers that may take a task now."""
    able = [
        worker
        for worker in state.workers.values()
        if not (rack and worker.entry.rack != rack)
        and _feasibility.is_feasible(worker, job, task, step, state)
    ]
    headroom = _headroom.find_headroom(job, task, step, state) if able else None
    if headroom is None:
        return able
    return [worker for worker in able if headroom.admits(worker, step)]


def is_kept_by_memory(task: Task, step: Step, state: SchedulerState) -> bool:
    """Whether only memory keeps an opportunistic task from some worker."""
    return any(
        worker.entry.capacity is not None
        and _feasibility.lacks_memory(worker, step)
        and _scoring.score_idle(state.policy, worker, task, step, state)
        is not None
        for worker in state.workers.values()
    )


def _score(
    worker: Worker, task: Task, step: Step, state: SchedulerState
) -> float | None:
    """Return how little a worker is liked; the lowest wins.

    Nothing says that the worker is out of the question.
    """
    capacity = worker.entry.capacity
    cpu_millicores = max(1, capacity.cpu_millicores)
    if step.opportunistic:
        idle = _scoring.score_idle(state.policy, worker, task, step, state)
        if idle is None:
            return None
        score = idle
    elif step.target_ms:
        score = _score_serving(worker, step)
    else:
        # The tightest place, so that larger tasks find room too.
        score = worker.free.cpu_millicores / cpu_millicores
    if worker.worker_id in task.avoided:
        score += _AVOIDED_WEIGHT
    if worker.worker_id in task.spares and not task.crashes:
        score += _SPARE_WEIGHT
    if step.preferred_rack and step.preferred_rack not in worker.entry.labels:
        score += _FAR_WEIGHT
    return score + _RISK_WEIGHT * _trials.get_risk(task, worker)


def _score_serving(worker: Worker, step: Step) -> float:
    """Fill workers one after the other, with one image if possible.

    An opportunistic image disturbs some serving images and not others:
    the fewer kinds a worker serves, the more may run beside them. And
    what full workers leave is room in one piece for urgent tasks.
    """
    images = {one.step.image for one in worker.serving.values()}
    others = len(images - {step.image})
    left = worker.free.cpu_millicores - step.size.cpu_millicores
    score = _MIX_WEIGHT * others + left / _LARGE_PIECE_MILLICORES
    if not images:
        score += _EMPTY_WEIGHT
    if _SMALL_PIECE_MILLICORES < left < _LARGE_PIECE_MILLICORES:
        score += _PIECE_WEIGHT
    return score
