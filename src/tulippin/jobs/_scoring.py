"""Scores of feasible workers under the placement policies."""

from __future__ import annotations

import functools
import typing as t
import zlib

from tulippin.jobs import _attempts, _feasibility, _interference
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, SchedulerState, Task, Worker
from tulippin.jobs.types import Step
from tulippin.policies import (
    BestFitPolicy,
    InterferencePolicy,
    LeastLoadedPolicy,
    Policy,
    RandomPolicy,
)

# Weight of the expected harm relative to the load of a fully used worker.
_HARM_WEIGHT: t.Final = 1.0
_RANDOM_RANGE: t.Final = 0xFFFFFFFF


def _get_used_share(worker: Worker) -> float:
    """Return the share of a worker's processors in use."""
    capacity = max(1, worker.entry.capacity.cpu_millicores)
    return _interference.get_used(worker) / capacity


@functools.singledispatch
def score_idle(
    policy: Policy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float | None:
    """Return a policy's cost of a worker for an opportunistic task.

    The lowest wins; None excludes the worker.
    """
    raise NotImplementedError(type(policy))


@score_idle.register
def _(
    policy: RandomPolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float:
    seed = f'{worker.worker_id}{task.key.format()}{task.run_count}'
    return zlib.crc32(seed.encode()) / _RANDOM_RANGE


@score_idle.register
def _(
    policy: LeastLoadedPolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float:
    return _get_used_share(worker)


@score_idle.register
def _(
    policy: BestFitPolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float:
    return -_get_used_share(worker)


@score_idle.register
def _(
    policy: InterferencePolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float | None:
    limit_ms = state.config.features.harm_limit_ms
    if worker.harm_budget.refuses_runs(state.now_ms, limit_ms):
        return None
    harm = _interference.compute_harm(step, worker, state)
    if harm:
        # The share is only computed where it may matter, as this is called
        # for each pair of task and worker.
        share = _interference.get_slack_share(task, state)
        if share < 1:
            harm = _interference.compute_harm(step, worker, state, share)
    if harm is None:
        return None
    return _get_used_share(worker) + _HARM_WEIGHT * harm


def has_other_worker(attempt: Attempt, context: Context) -> bool:
    """Whether another worker accepts the task of a run now."""
    return find_other_worker(attempt, context) is not None


def find_other_worker(attempt: Attempt, context: Context) -> Worker | None:
    """Return the first other worker that accepts the task of a run now."""
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return None
    job, task = found
    state = context.state
    step = attempt.step
    for worker in state.workers.values():
        if worker.worker_id == attempt.worker_id:
            continue
        if not _feasibility.is_feasible(worker, job, task, step, state):
            continue
        if not step.opportunistic:
            return worker
        if score_idle(state.policy, worker, task, step, state) is not None:
            return worker
    return None
