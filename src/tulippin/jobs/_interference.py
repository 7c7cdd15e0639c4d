"""Estimates how opportunistic tasks slow latency-critical tasks beside them.

The load of a long-running job rises and falls for all its tasks alike, so a
task's tail is compared with those of its siblings at the same time: the
excess over the least disturbed sibling is attributed to neighbours. The model
learns that slowdown by image and by the share of processors that each image
used. From the model follow the slack of each worker, which is the further
slowdown that its tasks tolerate, and the harm of placing a task there.
"""

from __future__ import annotations

import math
import typing as t

import attrs

from tulippin.jobs import _ranking, _ready_queues, _tail_latency
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Observation,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import Step

# Exposure is counted in tenths of the worker's processors: about what a
# typical opportunistic task uses.
_TENTHS: t.Final = 10
_DIGITS: t.Final = 3
_PERCENT: t.Final = 100
# Exposure below this is too small to learn from.
_MIN_EXPOSURE: t.Final = 0.1
# Tasks can't use more processors than their worker has, apart from rounding.
# A larger exposure stems from an outdated capacity of the worker, and a single
# such sample would make the model certain of what it learns from it.
_MAX_EXPOSURE: t.Final = 11.0
# Maximum change between two reports in a steady state, as a ratio to the
# exposure and one tenth more.
_STEADY_RATIO: t.Final = 0.2
# Maximum excess that neighbours may cause a task that counts as undisturbed.
_MAX_CALM_EXCESS: t.Final = 0.06
# The lowest tail among siblings lies below the typical undisturbed one by
# this much slowdown, also where no neighbour runs.
_SIBLING_BIAS: t.Final = 0.04
# Ratio to the undisturbed tail from which the queue is still growing: the
# slowdown computed from such a tail is a lower bound.
_GROWING_QUEUE_RATIO: t.Final = 3.0
# Share of its target up to which neighbours may raise a task's tail.
_GOAL_RATIO: t.Final = 0.9
# Rise of a job's load to expect while an opportunistic task of 2 s runs: half
# of a cycle of 0.45 within 7 s is 0.13.
_EXPECTED_LOAD_RISE: t.Final = 0.08
# Where the load cycle is known: how far ahead the load is predicted, which is
# how long a task started now works, and the error of the prediction.
_PREDICTION_MS: t.Final = 1500
_PREDICTION_ERROR: t.Final = 0.02
# Excess up to which a run does not count as disturbing, at any load: for a pair
# that does not disturb, the model's error is at most 0.02 per tenth of the
# worker's processors.
_NEGLIGIBLE_EXCESS: t.Final = 0.035
# Keeps ratios to a slack of about 0 finite.
_MIN_SLACK: t.Final = 0.02
# Excess over the expected slowdown that a tail may show by chance.
_CHANCE_EXCESS: t.Final = 0.12
# Share of its requested processors that a latency-critical task uses; actual
# use varies by half around it. Values of 0.4 and 0.65, or the load derived
# from current tails, lower the value of placements by 0.02 to 0.06.
_SERVING_USE_RATIO: t.Final = 0.5
# Time until a pause shows in the tails of the neighbours, and the share of the
# target that these have to reach by it.
_PAUSE_EFFECT_MS: t.Final = 500
_PAUSE_GOAL_RATIO: t.Final = 0.95
# Share of the slack that a task may use up, by the outcome that its job can
# still reach. What a task of little value uses up is missing for others.
_SLACK_SHARES: t.Final = {
    _ranking.Lateness.IN_TIME: 1.0,
    _ranking.Lateness.LATE: 0.5,
    _ranking.Lateness.WORTHLESS: 0.0,
}


def add_attempt(attempt: Attempt, worker: Worker) -> None:
    """Index a run as latency-critical or opportunistic, if it is either."""
    run_id = (attempt.key, attempt.run)
    if attempt.step.target_ms:
        worker.serving[run_id] = attempt
    elif attempt.step.opportunistic:
        worker.fillers[run_id] = attempt
        # It may have ended before the next report.
        worker.quiet_since_ms = 0
    invalidate_slack(worker)


def drop_attempt(attempt: Attempt, worker: Worker) -> None:
    """Remove a run from the index of its worker."""
    run_id = (attempt.key, attempt.run)
    worker.serving.pop(run_id, None)
    worker.fillers.pop(run_id, None)
    invalidate_slack(worker)


def invalidate_slack(worker: Worker) -> None:
    """Invalidate a worker's cached slack and use."""
    worker.slack = None
    invalidate_use(worker)


def invalidate_use(worker: Worker) -> None:
    """Invalidate a worker's cached use."""
    worker.used_millicores = None


def get_used(worker: Worker) -> float:
    """Return the estimated millicores in use on a worker."""
    if worker.used_millicores is None:
        worker.used_millicores = sum(
            _get_use(attempt) for attempt in worker.attempts.values()
        )
    return worker.used_millicores


def get_idle(worker: Worker) -> float:
    """Return the estimated idle millicores of a worker.

    It is 0 if the worker's capacity is not known.
    """
    if worker.entry.capacity is None:
        return 0.0
    return worker.entry.capacity.cpu_millicores - get_used(worker)


def _get_use(attempt: Attempt) -> float:
    """Return the estimated millicores that a task uses.

    A paused task counts in full. Counted at its pace, more tasks would run at
    once and all more slowly, since the targets beside them tolerate only a
    limited slowdown: over four days this yields 0.605 of the possible value
    instead of 0.648. A slow-started run yields to others and counts at its
    pace.
    """
    size = attempt.step.size.cpu_millicores
    if attempt.is_slow_start:
        return size * attempt.target_pace_percent / _PERCENT
    return size * _SERVING_USE_RATIO if attempt.step.target_ms else size


def get_share(step: Step, worker: Worker) -> float | None:
    """Return a task's processors in tenths of the worker's, 10 at most.

    Returns
    -------
    float, optional
        None if the worker's capacity is not known.
    """
    capacity = worker.entry.capacity
    if capacity is None:
        return None
    wanted = step.size.cpu_millicores
    if wanted >= capacity.cpu_millicores:
        # The capacity has shrunk below the size of the task.
        return float(_TENTHS) if wanted else 0.0
    return wanted * _TENTHS / capacity.cpu_millicores


def get_exposure(worker: Worker) -> dict[str, float] | None:
    """Return the processors that opportunistic runs use, by image.

    Returns
    -------
    dict of str to float, optional
        Tenths of the worker's processors; None if some are in use and the
        worker's capacity is not known.
    """
    used: dict[str, float] = {}
    for attempt in worker.fillers.values():
        image = attempt.step.image
        if attempt.load > 0:
            used[image] = used.get(image, 0.0) + attempt.load
    if not used:
        return used
    capacity = worker.entry.capacity
    if capacity is None or capacity.cpu_millicores <= 0:
        return None
    return {
        image: millicores * _TENTHS / capacity.cpu_millicores
        for image, millicores in used.items()
    }


# -- learning ---------------------------------------------------------------


def learn(worker: Worker, state: SchedulerState) -> dict[str, float] | None:
    """Update the model from a worker's newest report.

    Returns
    -------
    dict of str to float, optional
        The exposure, if the report was rejected because it is impossible.
    """
    invalidate_slack(worker)
    serving = [one for one in worker.serving.values() if one.load > 0]
    for attempt in serving:
        _tail_latency.record_sibling_tail(attempt, state)
    exposure = get_exposure(worker)
    is_plausible = exposure is not None and (
        sum(exposure.values()) <= _MAX_EXPOSURE
    )
    if not is_plausible:
        # The next report can't be compared with this one.
        worker.exposure = None
        return exposure
    _learn_load_cycles(serving, exposure, state)
    if (
        state.now_ms - worker.exposure_ms
        >= _tail_latency.MIN_READING_INTERVAL_MS
    ):
        past = worker.exposure
        worker.exposure = exposure
        worker.exposure_ms = state.now_ms
        _learn_exposed(serving, exposure, past, state)
    return None


def _learn_exposed(
    serving: list[Attempt],
    exposure: dict[str, float],
    past: dict[str, float] | None,
    state: SchedulerState,
) -> None:
    """Learn from the tails on a worker, by its past and current exposure."""
    if past is None:
        return
    total = sum(exposure.values())
    is_steady = _is_steady(exposure, past, total)
    if not is_steady and not _has_grown(exposure, past):
        return
    for attempt in serving:
        if is_steady and _is_undisturbed(attempt, exposure, state):
            _tail_latency.learn_load_factor(attempt, state)
        if total >= _MIN_EXPOSURE:
            _learn_one(attempt, exposure, state, is_steady=is_steady)


def _learn_load_cycles(
    serving: list[Attempt], exposure: dict[str, float], state: SchedulerState
) -> None:
    """Learn the load cycles of jobs from the tails of a report."""
    expected: dict[str, tuple[float, float]] = {}
    for attempt in serving:
        image = attempt.step.image
        if image not in expected:
            expected[image] = _sum_expected(image, exposure, state)
        _tail_latency.learn_load_cycle(attempt, state, *expected[image])


def _sum_expected(
    image: str, exposure: dict[str, float], state: SchedulerState
) -> tuple[float, float]:
    """Return the excess expected from an image's neighbours, and its spread."""
    expected = 0.0
    variance = 0.0
    for other, used in exposure.items():
        expected += state.model.get_weight(image, other) * used
        variance += (state.model.get_spread(image, other) * used) ** 2
    return expected, math.sqrt(variance)


def _is_undisturbed(
    attempt: Attempt, exposure: dict[str, float], state: SchedulerState
) -> bool:
    """Whether the neighbours of a task are known not to disturb it."""
    image = attempt.step.image
    worst = sum(
        state.model.get_bound(image, other) * used
        for other, used in exposure.items()
    )
    return worst <= _MAX_CALM_EXCESS


def _is_steady(
    exposure: dict[str, float], past: dict[str, float], total: float
) -> bool:
    """Whether exposure changed little enough for tails to have settled."""
    images = set(exposure) | set(past)
    changed = sum(
        abs(exposure.get(image, 0.0) - past.get(image, 0.0)) for image in images
    )
    return changed <= _STEADY_RATIO * (1 + total)


def _has_grown(exposure: dict[str, float], past: dict[str, float]) -> bool:
    """Whether no image uses less than before, so that tails can only rise."""
    return all(
        exposure.get(image, 0.0) >= used - _MIN_EXPOSURE
        for image, used in past.items()
    )


def _learn_one(
    attempt: Attempt,
    exposure: dict[str, float],
    state: SchedulerState,
    *,
    is_steady: bool,
) -> None:
    """Learn from one task's tail.

    Outside of a steady state the tail still rises, so the slowdown that it
    shows counts as a lower bound.
    """
    undisturbed_ms = _tail_latency.get_undisturbed_tail_ms(attempt, state)
    if undisturbed_ms <= 0 and attempt.tail_ms <= attempt.step.target_ms:
        return
    idle_ms = _tail_latency.get_unloaded_tail_ms(attempt, state)
    load = _tail_latency.get_load(attempt, state, 0.0)
    alone_ms = _tail_latency.compute_tail_ms(1.0, idle_ms, load)
    log_excess = math.log(max(1.0, attempt.tail_ms / alone_ms))
    if _tail_latency.exceeds_neighbour_effect(
        log_excess, sum(exposure.values())
    ):
        return
    slowdown = _tail_latency.compute_slowdown(attempt.tail_ms, idle_ms, load)
    image = attempt.step.image
    state.model.learn(
        image,
        exposure,
        max(0.0, slowdown - 1 - _SIBLING_BIAS),
        is_bound=not is_steady
        or attempt.tail_ms > _GROWING_QUEUE_RATIO * alone_ms,
    )
    slowdown = round(slowdown, _DIGITS)
    if (
        state.largest_observation is None
        or slowdown > state.largest_observation.slowdown
    ):
        state.largest_observation = Observation(
            attempt.worker_id,
            image,
            attempt.tail_ms,
            undisturbed_ms,
            round(load, _DIGITS),
            slowdown,
            {other: round(used, _DIGITS) for other, used in exposure.items()},
            {
                other: round(state.model.get_weight(image, other), _DIGITS)
                for other in exposure
            },
        )


# -- predictions --------------------------------------------------------------


def get_contribution(
    serving_image: str, attempt: Attempt, worker: Worker, state: SchedulerState
) -> float:
    """Return the excess that a run at full pace causes a serving image.

    It is 0 if the worker's capacity is not known; its slack then depends on
    observed tails alone.
    """
    share = get_share(attempt.step, worker)
    if share is None:
        return 0.0
    weight = state.model.get_weight(serving_image, attempt.step.image)
    return weight * share


def get_disturbances(
    attempt: Attempt, worker: Worker, state: SchedulerState
) -> dict[str, float]:
    """Return the excess that a run at full pace causes, by serving image.

    Images that it does not disturb are left out.
    """
    disturbances: dict[str, float] = {}
    images = {one.step.image for one in worker.serving.values()}
    for image in images:
        excess = get_contribution(image, attempt, worker, state)
        if excess > _NEGLIGIBLE_EXCESS:
            disturbances[image] = excess
    return disturbances


def get_expected(
    serving_image: str, worker: Worker, state: SchedulerState
) -> float:
    """Return the excess that all neighbours cause a serving image.

    Each run counts at its pace. Slow-started runs are left out: they yield to
    any other task that is placed.
    """
    return sum(
        get_contribution(serving_image, attempt, worker, state)
        * attempt.target_pace_percent
        / _PERCENT
        for attempt in worker.fillers.values()
        if attempt.state is not AttemptState.STOPPING
        and not attempt.is_slow_start
    )


def get_allowance(
    attempt: Attempt,
    state: SchedulerState,
    expected: float,
    rise: float,
    ahead_ms: int,
) -> float:
    """Return the excess that a task tolerates with its target met.

    Parameters
    ----------
    attempt : Attempt
        A run with a latency target.
    state : SchedulerState
        Holds the tails and load cycles.
    expected : float
        Excess expected from neighbours.
    rise : float
        Expected rise of the load; used where the load cycle is not known.
    ahead_ms : int
        How far ahead the load is predicted, where the cycle is known.
    """
    idle_ms = _tail_latency.get_unloaded_tail_ms(attempt, state)
    load = _tail_latency.get_load(attempt, state, expected, ahead_ms)
    if _tail_latency.predict_load(attempt, state) is not None:
        rise = _PREDICTION_ERROR
    goal_ms = _GOAL_RATIO * attempt.step.target_ms
    return max(0.0, 1 / (idle_ms / goal_ms + load + rise) - 1)


def get_observed_excess(
    attempt: Attempt, state: SchedulerState, expected: float
) -> float:
    """Return the excess that a task's tail shows, beyond chance."""
    if attempt.tail_ms <= 0:
        return 0.0
    idle_ms = _tail_latency.get_unloaded_tail_ms(attempt, state)
    load = _tail_latency.get_load(attempt, state, expected)
    slowdown = _tail_latency.compute_slowdown(attempt.tail_ms, idle_ms, load)
    return max(0.0, slowdown - 1 - _CHANCE_EXCESS)


def get_missing_slack(
    attempt: Attempt, worker: Worker, state: SchedulerState
) -> float:
    """Return the excess to remove for a task over its target to meet it.

    Unlike the slack it counts all of the slowdown that the tail shows, and the
    load at the time when a pause takes effect. It is negative if the target
    will be met by then, as the load falls.
    """
    expected = get_expected(attempt.step.image, worker, state)
    idle_ms = _tail_latency.get_unloaded_tail_ms(attempt, state)
    load = _tail_latency.get_load(attempt, state, expected)
    slowdown = _tail_latency.compute_slowdown(attempt.tail_ms, idle_ms, load)
    change = _tail_latency.predict_load_change(attempt, state, _PAUSE_EFFECT_MS)
    goal_ms = _PAUSE_GOAL_RATIO * attempt.step.target_ms
    return slowdown - 1 / (idle_ms / goal_ms + max(0.0, load + change))


def get_slack(worker: Worker, state: SchedulerState) -> dict[str, float]:
    """Return the slack of each serving image on a worker.

    The slack is the excess that tasks of the image tolerate in addition to
    the larger of the expected and the observed one; negative if they
    tolerate less than that.
    """
    if worker.slack is None:
        images = {one.step.image for one in worker.serving.values()}
        expected = {
            image: get_expected(image, worker, state) for image in images
        }
        worker.slack = {}
        for one in worker.serving.values():
            image = one.step.image
            excess = expected[image]
            used = max(excess, get_observed_excess(one, state, excess))
            slack = (
                get_allowance(
                    one, state, excess, _EXPECTED_LOAD_RISE, _PREDICTION_MS
                )
                - used
            )
            worker.slack[image] = min(worker.slack.get(image, slack), slack)
    return worker.slack


@attrs.frozen
class ExpectedExcess:
    """Excess that a task would cause the serving image it harms most."""

    image: str
    excess: float
    spread: float
    slack: float


def find_tightest_excess(
    step: Step, worker: Worker, state: SchedulerState
) -> ExpectedExcess | None:
    """Return the expected excess that uses up most of an image's slack.

    Returns
    -------
    ExpectedExcess, optional
        None if the worker's capacity is not known or it serves no image.
    """
    share = get_share(step, worker)
    if share is None:
        return None
    found = [
        ExpectedExcess(
            image,
            round(state.model.get_weight(image, step.image) * share, _DIGITS),
            round(state.model.get_spread(image, step.image) * share, _DIGITS),
            round(slack, _DIGITS),
        )
        for image, slack in get_slack(worker, state).items()
    ]
    return max(found, key=lambda one: one.excess - one.slack, default=None)


def compute_tolerated_pace(
    step: Step, count: int, worker: Worker, state: SchedulerState
) -> float:
    """Return the pace, from 0 to 1, at which images tolerate ``count`` runs.

    It is 1 for a task that disturbs no image on the worker, and 0 if the
    worker's capacity is not known.
    """
    tenths = get_share(step, worker)
    if tenths is None:
        return 0.0
    tolerated = 1.0
    for image, slack in get_slack(worker, state).items():
        excess = state.model.get_bound(image, step.image) * tenths
        if excess > _NEGLIGIBLE_EXCESS:
            tolerated = min(tolerated, slack / (excess * count))
    return max(0.0, tolerated)


def get_slack_share(task: Task, state: SchedulerState) -> float:
    """Return the share of a worker's slack that a task may use up."""
    job = state.jobs.get(task.key.job_id)
    if job is None or not state.config.features.budgets_harm:
        return 1.0
    step_key = _ready_queues.get_step_key(task.key)
    return _SLACK_SHARES[_ranking.get_lateness(job, step_key, state)]


def compute_harm(
    step: Step,
    worker: Worker,
    state: SchedulerState,
    slack_share: float = 1.0,
) -> float | None:
    """Return the harm of placing an opportunistic task on a worker.

    The harm is the sum, over the serving images there, of the share of slack
    that the task would use up. The upper bound of each estimate counts, so a
    pair of which little is known is only tried where the slack suffices for
    the worse case.

    Parameters
    ----------
    step : Step
        The step of the task.
    worker : Worker
        The worker, with its slack.
    state : SchedulerState
        Holds the model.
    slack_share : float
        The share of each slack that the task may use up. With 0, only workers
        where the task disturbs no image are accepted.

    Returns
    -------
    float, optional
        0 for no harm; None if the slack of some image does not suffice, or
        the worker's capacity is not known.
    """
    share = get_share(step, worker)
    if share is None:
        return None
    harm = 0.0
    for image, slack in get_slack(worker, state).items():
        excess = state.model.get_bound(image, step.image) * share
        if excess <= _NEGLIGIBLE_EXCESS:
            continue
        if excess > slack * slack_share:
            return None
        harm += excess / max(slack, _MIN_SLACK)
    return harm
