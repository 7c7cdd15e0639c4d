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
# The undisturbed tail is that of the best of at least so many.
_LEAST_SIBLINGS: t.Final = 2
# The most that one tenth of a worker's processors in neighbours adds to
# the logarithm of a tail, and what is left to chance. The heaviest pair
# measured adds 0.78 on a whole day, but a worker that stands still shows
# tails a thousand times too long: the bound need not be tight.
_WORST_WEIGHT: t.Final = 2.5
_CHANCE: t.Final = 1.5
# Exposure below this teaches nothing.
_LEAST_EXPOSURE: t.Final = 0.1
_PERCENT: t.Final = 100
# The part of a target that neighbours may use up; the rest is for the
# rise of the job's own load while they run.
_GOAL_RATIO: t.Final = 0.85
# A report covers half a second; what started since then is not in it.
_UNSEEN_MS: t.Final = 700
# Keeps a share of nearly no slack finite.
_LEAST_SLACK: t.Final = 0.05
# What a task with a latency target uses of the processors that it asks
# for; measured on a quiet day, its own load swings by half around this.
_SERVING_USE: t.Final = 0.5


def add_attempt(attempt: Attempt, worker: Worker) -> None:
    """Count a run to those that disturb, or are disturbed."""
    place = (attempt.key, attempt.run)
    if attempt.step.target_ms:
        worker.serving[place] = attempt
    elif attempt.step.opportunistic:
        worker.fillers[place] = attempt
    worker.slack = None


def drop_attempt(attempt: Attempt, worker: Worker) -> None:
    """Take a run out of them."""
    place = (attempt.key, attempt.run)
    worker.serving.pop(place, None)
    worker.fillers.pop(place, None)
    worker.slack = None


def get_use(step: Step) -> float:
    """Return the millicores that a task is thought to use."""
    weight = _SERVING_USE if step.target_ms else 1.0
    return step.size.cpu_millicores * weight


def get_share(step: Step, worker: Worker) -> float:
    """Return a task's processors in tenths of the worker's."""
    capacity = max(1, worker.entry.capacity.cpu_millicores)
    return step.size.cpu_millicores * _TENTHS / capacity


def get_exposure(worker: Worker) -> dict[str, float]:
    """Return the processors that neighbours use, in tenths, by image."""
    capacity = max(1, worker.entry.capacity.cpu_millicores)
    exposure: dict[str, float] = {}
    for attempt in worker.fillers.values():
        used = attempt.load * _TENTHS / capacity
        image = attempt.step.image
        exposure[image] = exposure.get(image, 0.0) + used
    return exposure


def get_undisturbed_ms(attempt: Attempt, state: SchedulerState) -> float:
    """Return the tail that the task would have alone, as far as known."""
    since_ms = state.now_ms - _SIBLING_AGE_MS
    tails = state.tails.get(attempt.key.job_id, {})
    fresh = [tail for tail, at_ms in tails.values() if at_ms >= since_ms]
    if len(fresh) < _LEAST_SIBLINGS:
        return 0.0
    return min(fresh)


def is_own_doing(excess: float, exposure: float) -> bool:
    """Whether a tail's excess is the worker's own: neighbours do less."""
    return excess > _WORST_WEIGHT * exposure + _CHANCE


def learn(worker: Worker, state: SchedulerState) -> None:
    """Take a worker's newest report into the model."""
    worker.slack = None
    serving = [one for one in worker.serving.values() if one.load > 0]
    for attempt in serving:
        tails = state.tails.setdefault(attempt.key.job_id, {})
        tails[attempt.key] = (attempt.load, state.now_ms)
    exposure = get_exposure(worker)
    total = sum(exposure.values())
    if total < _LEAST_EXPOSURE:
        return
    for attempt in serving:
        undisturbed_ms = get_undisturbed_ms(attempt, state)
        if undisturbed_ms <= 0:
            continue
        excess = max(0.0, math.log(attempt.load / undisturbed_ms))
        if is_own_doing(excess, total):
            continue
        state.model.learn(attempt.step.image, exposure, 1 + excess)
        worker.slack = None


def get_contribution(
    serving_image: str,
    attempt: Attempt,
    worker: Worker,
    state: SchedulerState,
) -> float:
    """Return one neighbour's part in an image's excess at its pace."""
    weight = state.model.get_weight(serving_image, attempt.step.image)
    share = get_share(attempt.step, worker)
    return weight * share * attempt.wanted_percent / _PERCENT


def get_slack(worker: Worker, state: SchedulerState) -> dict[str, float]:
    """Return by how much the tails of each image there may still rise.

    The slack is a logarithm. It counts the newest reports, and what
    neighbours will add that those do not show yet.
    """
    if worker.slack is None:
        worker.slack = {}
        for one in worker.serving.values():
            image = one.step.image
            tail_ms = max(one.load, 1.0)
            slack = math.log(_GOAL_RATIO * one.step.target_ms / tail_ms)
            known = worker.slack.get(image, slack)
            worker.slack[image] = min(known, slack)
    unseen = [
        attempt
        for attempt in worker.fillers.values()
        if state.now_ms - attempt.sent_ms < _UNSEEN_MS
    ]
    return {
        image: slack
        - sum(
            get_contribution(image, attempt, worker, state)
            for attempt in unseen
        )
        for image, slack in worker.slack.items()
    }


def get_harm(step: Step, worker: Worker, state: SchedulerState) -> float | None:
    """Return what an opportunistic task would do beside what runs.

    The least value is 0, for no harm; 1 would use up all slack that some
    image has. Nothing says that the slack does not suffice.
    """
    share = get_share(step, worker)
    harm = 0.0
    for image, slack in get_slack(worker, state).items():
        part = state.model.get_weight(image, step.image) * share
        if part > slack:
            return None
        harm += part / max(slack, _LEAST_SLACK)
    return harm
