"""Converts the tail latency of tasks to load and slowdown, and back.

A task serves its requests one after the other, so its tail latency grows
with its load as in a queue: ``idle / (1 - load)``. Neighbours that slow it
down by a factor act twice, on the service time of each request and on the
queue: ``idle * slowdown / (1 - load * slowdown)``. The same neighbours
therefore add little to the tail while the load of the job is low and ruin it
while the load is high, although the slowdown is the same. So the model learns
and adds up slowdowns, and this module converts tails to slowdowns and back.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Attempt, SchedulerState

# Half-life of the smoothing of reported tails: a tail falls as 242, 134, 80,
# 54, 40, 34 ms after neighbours stop.
_SMOOTHING_HALF_LIFE_MS: t.Final = 250
# Time until a reported tail is within 1/15 of the true one.
_SETTLING_MS: t.Final = 1000
# Two readings closer together than this show no change between them.
MIN_READING_INTERVAL_MS: t.Final = 280
_MIN_TAIL_MS: t.Final = 1.0
# Maximum age of siblings' tails that are compared; a report covers half a
# second, and workers without opportunistic runs report once a second.
_MAX_SIBLING_AGE_MS: t.Final = 1300
# Minimum number of siblings whose lowest tail counts as undisturbed.
_MIN_SIBLINGS: t.Final = 2
# Ratio of the tail without load to the target, until a lower tail is seen:
# 10 of 50 ms and 25 of 125 ms in practice.
_IDLE_RATIO: t.Final = 0.2
# Minimum share of that estimate down to which a lower tail is credible.
_MIN_IDLE_SHARE: t.Final = 0.1
# Maximum ratio of tail to target of a task without neighbours: 43 of 50 ms.
_MAX_ALONE_RATIO: t.Final = 0.87
# A job's tasks share its load unevenly, so each has a factor: its learning
# rate, the minimum load of the job to learn it from, and its bounds.
_LOAD_FACTOR_RATE: t.Final = 0.3
_MIN_JOB_LOAD: t.Final = 0.15
_MAX_LOAD_FACTOR: t.Final = 2.0
_MIN_LOAD_FACTOR: t.Final = 0.6
# Age of a tail derived from two readings: it is the tail of the time between
# them, and each reading covers half a second.
_TAIL_AGE_MS: t.Final = 200
# Step at which a predicted load is sampled: less than a tenth of the
# shortest load cycle.
_PREDICTION_STEP_MS: t.Final = 500
# Slowdown by neighbours, or uncertainty about it, at which a tail counts half
# as much for the load as the tail of a task without neighbours.
_HALF_WEIGHT_SLOWDOWN: t.Final = 0.08
# A load above the predicted one by this much is attributed to a disturbance,
# and its weight is multiplied by this factor.
_UNEXPLAINED_LOAD: t.Final = 0.1
_UNEXPLAINED_WEIGHT: t.Final = 0.15
# Weight above which a tail updates the task's own factor of the load cycle,
# and the learning rate of that factor.
_MIN_FACTOR_WEIGHT: t.Final = 0.5
_CYCLE_FACTOR_RATE: t.Final = 0.1

# Maximum that each tenth of a worker's processors used by neighbours adds to
# the logarithm of a tail, and an allowance for chance. The heaviest pair adds
# 0.78 over a whole day, but a suspended worker shows tails a thousand times
# too long, so the bound need not be tight.
_MAX_LOG_EXCESS_PER_TENTH: t.Final = 2.5
_CHANCE_LOG_EXCESS: t.Final = 1.5


def update_tail(attempt: Attempt, load: float, now_ms: int) -> None:
    """Store a run's reported load and derive its current tail.

    For tasks with a latency target the reported load is a smoothed tail; two
    readings give the tail between them, without the smoothing.
    """
    attempt.load = load
    if not attempt.step.target_ms:
        return
    interval_ms = now_ms - attempt.previous_load_ms
    if attempt.previous_load > 0 and load > 0:
        if interval_ms < MIN_READING_INTERVAL_MS:
            return
        kept = 0.5 ** (interval_ms / _SMOOTHING_HALF_LIFE_MS)
        load = (load - kept * attempt.previous_load) / (1 - kept)
    attempt.tail_ms = max(load, _MIN_TAIL_MS)
    attempt.previous_load = attempt.load
    attempt.previous_load_ms = now_ms


def record_sibling_tail(attempt: Attempt, state: SchedulerState) -> None:
    """Record a task's tail, for comparison with other tasks of its job.

    A run that has just started is left out, since its smoothed tail begins
    at that of an idle task. With one such sibling a slowdown of 1.3 was
    estimated as 61, and the expected slowdowns were 4 to 20 times too high
    for the rest of a day.
    """
    if state.now_ms - attempt.seen_ms < _SETTLING_MS:
        return
    if attempt.load < _get_min_idle_ms(attempt):
        # An impossibly low tail would make all siblings look disturbed.
        return
    tails = state.tails.setdefault(attempt.key.job_id, {})
    tails[attempt.key] = (attempt.load, state.now_ms)
    image = attempt.step.image
    lowest_ms = state.lowest_tails_ms.get(image, attempt.load)
    state.lowest_tails_ms[image] = min(lowest_ms, attempt.load)


def get_undisturbed_tail_ms(attempt: Attempt, state: SchedulerState) -> float:
    """Return the lowest tail of the job's tasks; 0 if too few are known."""
    since_ms = state.now_ms - _MAX_SIBLING_AGE_MS
    tails = state.tails.get(attempt.key.job_id, {})
    fresh = [tail for tail, at_ms in tails.values() if at_ms >= since_ms]
    if len(fresh) < _MIN_SIBLINGS:
        return 0.0
    return min(fresh)


def get_unloaded_tail_ms(attempt: Attempt, state: SchedulerState) -> float:
    """Return the tail of the task without load and without neighbours.

    It is above 0 whatever the lowest recorded tail is, because loads and
    slowdowns are ratios to it.
    """
    idle_ms = _IDLE_RATIO * attempt.step.target_ms
    lowest_ms = state.lowest_tails_ms.get(attempt.step.image, idle_ms)
    return min(idle_ms, max(lowest_ms, _get_min_idle_ms(attempt)))


def _get_min_idle_ms(attempt: Attempt) -> float:
    """Return the lowest credible tail of a task."""
    return _MIN_IDLE_SHARE * _IDLE_RATIO * attempt.step.target_ms


def learn_load_factor(attempt: Attempt, state: SchedulerState) -> None:
    """Update the ratio of a task's load to that of its least loaded sibling.

    Called only while the neighbours of the task do not disturb it.
    """
    alone_ms = get_undisturbed_tail_ms(attempt, state)
    idle_ms = get_unloaded_tail_ms(attempt, state)
    job_load = 1 - idle_ms / max(alone_ms, idle_ms)
    if job_load < _MIN_JOB_LOAD:
        return
    own_load = 1 - idle_ms / max(attempt.tail_ms, idle_ms)
    factor = min(max(own_load / job_load, 1.0), _MAX_LOAD_FACTOR)
    attempt.sibling_load_factor += _LOAD_FACTOR_RATE * (
        factor - attempt.sibling_load_factor
    )


def learn_load_cycle(
    attempt: Attempt, state: SchedulerState, expected: float, spread: float
) -> None:
    """Learn the load cycle of a job from the tail of one of its tasks.

    Parameters
    ----------
    attempt : Attempt
        The task's run; ignored unless its tail is new.
    state : SchedulerState
        Holds the load cycles.
    expected, spread : float
        Expected excess caused by its neighbours, and the spread of that
        estimate. The smaller both are, the more the tail counts.
    """
    if attempt.tail_ms <= 0 or attempt.previous_load_ms != state.now_ms:
        return
    at_ms = state.now_ms - _TAIL_AGE_MS
    idle_ms = get_unloaded_tail_ms(attempt, state)
    own_load = 1 / (1 + expected) - idle_ms / max(attempt.tail_ms, idle_ms)
    uncertainty = (expected / 2 + spread) / _HALF_WEIGHT_SLOWDOWN
    weight = 1 / (1 + uncertainty * uncertainty)
    predicted = state.swings.predict_load(attempt.key.job_id, at_ms)
    if predicted is not None and predicted > _MIN_JOB_LOAD:
        excess = own_load - predicted * attempt.cycle_load_factor
        if excess > _UNEXPLAINED_LOAD:
            # An unknown disturbance slows the task.
            weight *= _UNEXPLAINED_WEIGHT
        elif weight > _MIN_FACTOR_WEIGHT:
            factor = min(
                max(own_load / predicted, _MIN_LOAD_FACTOR), _MAX_LOAD_FACTOR
            )
            attempt.cycle_load_factor += _CYCLE_FACTOR_RATE * (
                factor - attempt.cycle_load_factor
            )
    load = own_load / attempt.cycle_load_factor
    state.swings.learn(attempt.key.job_id, at_ms, load, weight)


def predict_load(
    attempt: Attempt, state: SchedulerState, ahead_ms: int = 0
) -> float | None:
    """Return the highest load predicted for a task within a time.

    Returns
    -------
    float, optional
        None if the load cycle of the job is not known.
    """
    highest = 0.0
    for later_ms in range(0, ahead_ms + 1, _PREDICTION_STEP_MS):
        predicted = state.swings.predict_load(
            attempt.key.job_id, state.now_ms + later_ms
        )
        if predicted is None:
            return None
        highest = max(highest, predicted)
    return highest * attempt.cycle_load_factor


def predict_load_change(
    attempt: Attempt, state: SchedulerState, ahead_ms: int
) -> float:
    """Return how much a task's load changes, 0 if its cycle is not known."""
    job_id = attempt.key.job_id
    current = state.swings.predict_load(job_id, state.now_ms)
    later = state.swings.predict_load(job_id, state.now_ms + ahead_ms)
    if current is None or later is None:
        return 0.0
    return (later - current) * attempt.cycle_load_factor


def get_load(
    attempt: Attempt,
    state: SchedulerState,
    expected: float,
    ahead_ms: int = 0,
) -> float:
    """Return the load of a task without neighbours, from 0 to 1.

    Parameters
    ----------
    attempt : Attempt
        The task's run.
    state : SchedulerState
        Holds the tails of its siblings and the load cycles.
    expected : float
        Excess expected from its neighbours; used if there are too few
        siblings to know the undisturbed tail.
    ahead_ms : int
        Where the load cycle of the job is known, the highest load predicted
        within this time is returned.
    """
    idle_ms = get_unloaded_tail_ms(attempt, state)
    max_load = 1 - idle_ms / (_MAX_ALONE_RATIO * attempt.step.target_ms)
    predicted = predict_load(attempt, state, ahead_ms)
    if predicted is not None:
        return min(max(predicted, 0.0), max_load)
    alone_ms = get_undisturbed_tail_ms(attempt, state)
    if alone_ms > 0:
        load = 1 - idle_ms / max(alone_ms, idle_ms)
        load *= attempt.sibling_load_factor
    elif attempt.tail_ms > 0:
        slowdown = 1 + expected
        load = 1 / slowdown - idle_ms / max(attempt.tail_ms, idle_ms)
    else:
        load = 0.0
    return min(max(load, 0.0), max_load)


def exceeds_neighbour_effect(excess: float, exposure: float) -> bool:
    """Whether a tail is longer than neighbours can make it.

    Such a tail is caused by the worker itself, for example while it is
    suspended.

    Parameters
    ----------
    excess : float
        Logarithm of the ratio of the tail to the undisturbed tail.
    exposure : float
        Tenths of the worker's processors that neighbours use.
    """
    return excess > _MAX_LOG_EXCESS_PER_TENTH * exposure + _CHANCE_LOG_EXCESS


def compute_slowdown(tail_ms: float, idle_ms: float, load: float) -> float:
    """Return the factor by which neighbours slow a task with this tail."""
    return max(1.0, 1 / (load + idle_ms / max(tail_ms, idle_ms)))


def compute_tail_ms(slowdown: float, idle_ms: float, load: float) -> float:
    """Return the tail of a task at a load and a slowdown.

    It is infinite where the slowed task can't keep up with its load.
    """
    unused_share = 1 - load * slowdown
    if unused_share <= 0:
        return float('inf')
    return idle_ms * slowdown / unused_share
