"""Chooses the worker for a task among the feasible ones."""

from __future__ import annotations

import operator
import typing as t

from tulippin.jobs import (
    _feasibility,
    _headroom,
    _interference,
    _last_attempts,
    _probation,
    _ranking,
    _ready_queues,
    _scoring,
    _start_window,
)
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# Score of each other image that a worker serves, of a worker that serves
# nothing yet, and of a remainder that is neither negligible nor enough for a
# large task. All are relative to a remainder of one large task.
_OTHER_IMAGE_WEIGHT: t.Final = 6.0
_EMPTY_WORKER_WEIGHT: t.Final = 1.0
_FRAGMENT_WEIGHT: t.Final = 1.0
_SMALL_FRAGMENT_MILLICORES: t.Final = 500
_LARGE_TASK_MILLICORES: t.Final = 4800
# A worker where the task failed, or that is far from its data, is chosen only
# if no other fits.
_AVOIDED_WORKER_WEIGHT: t.Final = 10.0
_FAR_RACK_WEIGHT: t.Final = 2.0
# A start order to a standby worker is durable already and goes out at once.
_STANDBY_WEIGHT: t.Final = -20.0
# Outweighs all else: where a task goes that may crash its worker.
_RISK_WEIGHT: t.Final = 100.0


def choose(
    job: Job,
    task: Task,
    step: Step,
    state: SchedulerState,
    rack: str = '',
) -> Worker | None:
    """Return the best worker for a task, or None if no worker accepts it.

    Parameters
    ----------
    job, task, step : Job, Task, Step
        The task to start.
    state : SchedulerState
        Holds the workers and the policy.
    rack : str, optional
        Restricts the search to one rack.
    """
    best = rank_workers(job, task, step, state, rack)
    return best[0] if best else None


def rank_workers(
    job: Job,
    task: Task,
    step: Step,
    state: SchedulerState,
    rack: str = '',
) -> list[Worker]:
    """Return the workers that accept a task, best first."""
    scored = []
    eligible = _list_eligible(job, task, step, state, rack)
    step_key = _ready_queues.get_step_key(task.key)
    if step.opportunistic and _ranking.is_worthless(job, step_key, state):
        eligible = [one for one in eligible if _is_harmless(one, step, state)]
    if _last_attempts.needs_proven_worker(job, task, state):
        eligible = [
            one for one in eligible if _last_attempts.is_proven(one, job)
        ]
    for worker in eligible:
        score = _score(worker, task, step, state)
        if score is not None:
            scored.append((score, worker))
    scored.sort(key=operator.itemgetter(0))
    return [worker for _, worker in scored]


def _list_eligible(
    job: Job, task: Task, step: Step, state: SchedulerState, rack: str
) -> list[Worker]:
    """Return the feasible workers that keep enough headroom."""
    eligible = [
        worker
        for worker in state.workers.values()
        if not (rack and worker.entry.rack != rack)
        and _start_window.is_open(worker)
        and _feasibility.is_feasible(worker, job, task, step, state)
    ]
    headroom = (
        _headroom.find_headroom(job, task, step, state) if eligible else None
    )
    if headroom is None:
        return _headroom.prefer_admitting(job, task, step, eligible, state)
    return [worker for worker in eligible if headroom.admits(worker, step)]


def awaits_proven_worker(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether a task waits although a worker that is not proven has room."""
    return _last_attempts.needs_proven_worker(job, task, state) and bool(
        _list_eligible(job, task, step, state, '')
    )


def _is_harmless(worker: Worker, step: Step, state: SchedulerState) -> bool:
    """Whether a task disturbs no image on a worker, by the model's bound."""
    harm = _interference.compute_harm(step, worker, state)
    return harm is not None and harm <= 0


def is_limited_by_memory(task: Task, step: Step, state: SchedulerState) -> bool:
    """Whether some worker accepts an opportunistic task but for its memory."""
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
    """Return the cost of placing a task on a worker; the lowest wins.

    None excludes the worker.
    """
    capacity = worker.entry.capacity
    cpu_millicores = max(1, capacity.cpu_millicores)
    if step.opportunistic:
        policy_score = _scoring.score_idle(
            state.policy, worker, task, step, state
        )
        if policy_score is None:
            return None
        score = policy_score
    elif step.target_ms:
        score = _score_serving(worker, step)
    else:
        # Best fit, so that larger tasks find capacity too.
        score = worker.free.cpu_millicores / cpu_millicores
    if worker.worker_id in task.avoided:
        score += _AVOIDED_WORKER_WEIGHT
    if worker.worker_id in task.standby_workers and not task.crashes:
        score += _STANDBY_WEIGHT
    if step.preferred_rack and step.preferred_rack not in worker.entry.labels:
        score += _FAR_RACK_WEIGHT
    return score + _RISK_WEIGHT * _probation.get_risk(task, worker)


def _score_serving(worker: Worker, step: Step) -> float:
    """Return the cost of a worker for a task with a latency target.

    The score fills workers one after the other, with one image each if
    possible. An opportunistic image disturbs some serving images and not
    others, so the fewer images a worker serves, the more opportunistic tasks
    may run next to them. Filling workers also leaves free capacity in large
    pieces for urgent tasks.
    """
    images = {one.step.image for one in worker.serving.values()}
    other_images = len(images - {step.image})
    remaining_millicores = worker.free.cpu_millicores - step.size.cpu_millicores
    score = (
        _OTHER_IMAGE_WEIGHT * other_images
        + remaining_millicores / _LARGE_TASK_MILLICORES
    )
    if not images:
        score += _EMPTY_WORKER_WEIGHT
    if (
        _SMALL_FRAGMENT_MILLICORES
        < remaining_millicores
        < _LARGE_TASK_MILLICORES
    ):
        score += _FRAGMENT_WEIGHT
    return score
