"""How the product's policies rank workers that are feasible already."""

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

# What expected harm counts beside a whole worker's load.
_HARM_WEIGHT: t.Final = 1.0
_RANDOM_RANGE: t.Final = 0xFFFFFFFF


def _get_pressure(worker: Worker) -> float:
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
    """Return how little a policy likes a worker for an idle-time task.

    The lowest wins; nothing says that the worker is out of the question.
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
    drawn = f'{worker.worker_id}{task.key.format()}{task.run_count}'
    return zlib.crc32(drawn.encode()) / _RANDOM_RANGE


@score_idle.register
def _(
    policy: LeastLoadedPolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float:
    return _get_pressure(worker)


@score_idle.register
def _(
    policy: BestFitPolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float:
    return -_get_pressure(worker)


@score_idle.register
def _(
    policy: InterferencePolicy,
    worker: Worker,
    task: Task,
    step: Step,
    state: SchedulerState,
) -> float | None:
    harm = _interference.get_harm(step, worker, state)
    if harm is None:
        return None
    return _get_pressure(worker) + _HARM_WEIGHT * harm


def fits_elsewhere(attempt: Attempt, context: Context) -> bool:
    """Whether another worker would take a run's task now."""
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return False
    job, task = found
    state = context.state
    step = attempt.step
    for worker in state.workers.values():
        if worker.worker_id == attempt.worker_id:
            continue
        if not _feasibility.is_feasible(worker, job, task, step, state):
            continue
        if not step.opportunistic:
            return True
        if score_idle(state.policy, worker, task, step, state) is not None:
            return True
    return False
