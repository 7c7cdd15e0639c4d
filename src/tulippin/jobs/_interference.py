"""What opportunistic tasks do to tasks with a latency target beside them.

The load of a long-running job rises and falls for all its tasks alike, so
a task's tail is held against those of its siblings at the same time: what
it has above the least disturbed of them is its neighbours' doing. That
excess is credited, by image, to the processors that the neighbours used
over the same half second.
"""

from __future__ import annotations

import math
import typing as t

from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import Step

# Exposure is counted in tenths of the worker's processors: about what one
# opportunistic task of the users' sheets uses.
_TENTHS: t.Final = 10
# Siblings' tails are compared while they are no older than this; a report
# covers half a second, and calm workers report once a second.
_SIBLING_AGE_MS: t.Final = 1300
# Exposure below this teaches nothing.
_LEAST_EXPOSURE: t.Final = 0.1


def iter_serving(worker: Worker) -> t.Iterator[Attempt]:
    """Iterate over the worker's runs that have a latency target."""
    for attempt in worker.attempts.values():
        if attempt.step.target_ms:
            yield attempt


def iter_opportunistic(worker: Worker) -> t.Iterator[Attempt]:
    """Iterate over the worker's runs that use idle processors."""
    for attempt in worker.attempts.values():
        if attempt.step.opportunistic:
            yield attempt


def get_share(step: Step, worker: Worker) -> float:
    """Return a task's processors in tenths of the worker's."""
    capacity = max(1, worker.entry.capacity.cpu_millicores)
    return step.size.cpu_millicores * _TENTHS / capacity


def _get_exposure(worker: Worker) -> dict[str, float]:
    capacity = max(1, worker.entry.capacity.cpu_millicores)
    exposure: dict[str, float] = {}
    for attempt in iter_opportunistic(worker):
        used = attempt.load * _TENTHS / capacity
        image = attempt.step.image
        exposure[image] = exposure.get(image, 0.0) + used
    return exposure


def get_undisturbed_ms(attempt: Attempt, state: SchedulerState) -> float:
    """Return the tail that the task would have alone, as far as known."""
    since_ms = state.now_ms - _SIBLING_AGE_MS
    tails = state.tails.get(attempt.key.job_id, {})
    fresh = [tail for tail, at_ms in tails.values() if at_ms >= since_ms]
    return min(fresh, default=0.0) if len(fresh) > 1 else 0.0


def learn(worker: Worker, state: SchedulerState) -> None:
    """Take a worker's newest report into the model."""
    serving = [attempt for attempt in iter_serving(worker) if attempt.load > 0]
    for attempt in serving:
        tails = state.tails.setdefault(attempt.key.job_id, {})
        tails[attempt.key] = (attempt.load, state.now_ms)
    exposure = _get_exposure(worker)
    if sum(exposure.values()) < _LEAST_EXPOSURE:
        return
    for attempt in serving:
        undisturbed_ms = get_undisturbed_ms(attempt, state)
        if undisturbed_ms <= 0:
            continue
        excess = max(0.0, math.log(attempt.load / undisturbed_ms))
        state.model.learn(attempt.step.image, exposure, 1 + excess)


def predict_excess(
    serving: Attempt, worker: Worker, state: SchedulerState
) -> float:
    """Return the expected excess, as a logarithm, with all that runs."""
    return sum(
        get_contribution(serving, attempt, worker, state)
        for attempt in iter_opportunistic(worker)
        if attempt.state is not AttemptState.STOPPING
    )


def get_contribution(
    serving: Attempt, attempt: Attempt, worker: Worker, state: SchedulerState
) -> float:
    """Return one neighbour's part in a task's excess at its pace."""
    pace = 100 if attempt.pace_percent is None else attempt.pace_percent
    weight = state.model.get_weight(serving.step.image, attempt.step.image)
    return weight * get_share(attempt.step, worker) * pace / 100


def get_harm(step: Step, worker: Worker, state: SchedulerState) -> float:
    """Return what an opportunistic task would add to those it disturbs."""
    share = get_share(step, worker)
    return sum(
        state.model.get_weight(serving.step.image, step.image) * share
        for serving in iter_serving(worker)
    )


def get_worst_excess(
    step: Step, worker: Worker, state: SchedulerState
) -> float:
    """Return the largest excess that any would have with the task added."""
    share = get_share(step, worker)
    return max(
        (
            predict_excess(serving, worker, state)
            + state.model.get_weight(serving.step.image, step.image) * share
            for serving in iter_serving(worker)
        ),
        default=0.0,
    )
