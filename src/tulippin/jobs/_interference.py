"""What opportunistic tasks do to tasks with a latency target beside them.

The load of a long-running job rises and falls for all its tasks alike, so
a task's tail is held against those of its siblings at the same time: what
it has above the least disturbed of them is its neighbours' doing. That
slowdown is credited, by image, to the processors that the neighbours used.
"""

from __future__ import annotations

import math
import typing as t

import attrs

from tulippin.jobs import _tails
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Lesson,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import Step

# Exposure is counted in tenths of the worker's processors: about what one
# opportunistic task of the users' sheets uses.
_TENTHS: t.Final = 10
_DIGITS: t.Final = 3
_PERCENT: t.Final = 100
# Exposure below this teaches nothing.
_LEAST_EXPOSURE: t.Final = 0.1
# No more is in use than a worker has, but for rough readings. A larger one
# is held against a room that is not the worker's any more, and one sample of
# it would leave no doubt about what it teaches.
_MOST_EXPOSURE: t.Final = 11.0
# How much of the exposure, and of a tenth, may have changed between two
# reports that are taken for a steady state.
_STEADY_RATIO: t.Final = 0.2
# The most that neighbours of a calm task may add to its slowdown.
_CALM: t.Final = 0.06
# The least tail among siblings lies below the undisturbed one by this part
# of a slowdown: measured where no neighbour ran.
_SIBLING_BIAS: t.Final = 0.04
# A tail so many times the undisturbed one comes from a queue that still
# grows: the slowdown is at least what it tells.
_GROWING_RATIO: t.Final = 3.0
# The part of a target that a task is to reach with its neighbours.
_GOAL_RATIO: t.Final = 0.9
# By how much the load of a job may rise while an opportunistic task of
# two seconds runs: half of a swing of 0.45 within seven seconds is 0.13.
_RISE: t.Final = 0.08
# Where the swing is known: how long a task started now works, and what the
# foretold load is off by.
_AHEAD_MS: t.Final = 1500
_DOUBT: t.Final = 0.02
# A slowdown that is no harm at any load: a pair that does not disturb is
# learned to within 0.02 a tenth.
HARMLESS: t.Final = 0.035
# Keeps a share of nearly no slack finite.
_LEAST_SLACK: t.Final = 0.02
# What a tail may show above the expected slowdown by chance.
_CHANCE: t.Final = 0.12
# What a task with a latency target uses of the processors that it asks for;
# measured, it swings by half around this. Trials: 0.4 and 0.65 in its place,
# or the load that the tails tell by now, cost 0.02 to 0.06 of worth.
_SERVING_USE: t.Final = 0.5


def add_attempt(attempt: Attempt, worker: Worker) -> None:
    """Count a run to those that disturb, or are disturbed."""
    place = (attempt.key, attempt.run)
    if attempt.step.target_ms:
        worker.serving[place] = attempt
    elif attempt.step.opportunistic:
        worker.fillers[place] = attempt
    forget_view(worker)


def drop_attempt(attempt: Attempt, worker: Worker) -> None:
    """Take a run out of them."""
    place = (attempt.key, attempt.run)
    worker.serving.pop(place, None)
    worker.fillers.pop(place, None)
    forget_view(worker)


def forget_view(worker: Worker) -> None:
    """Have slack and use worked out anew at their next reading."""
    worker.slack = None
    worker.used_millicores = None


def get_used(worker: Worker) -> float:
    """Return the millicores thought to be in use on a worker."""
    if worker.used_millicores is None:
        worker.used_millicores = sum(
            _get_use(attempt) for attempt in worker.attempts.values()
        )
    return worker.used_millicores


def get_idle(worker: Worker) -> float:
    """Return the millicores thought to be idle on a worker.

    None are where its room is not known.
    """
    if worker.entry.capacity is None:
        return 0.0
    return worker.entry.capacity.cpu_millicores - get_used(worker)


def _get_use(attempt: Attempt) -> float:
    """Return the millicores that a task is thought to use.

    One that rests for a while counts in full. Counted at its pace, more
    tasks run at once and all more slowly, as neighbours' targets bear only
    so much: four days of trial 0.648 to 0.605. One that yields takes what
    others leave, and counts at its pace.
    """
    size = attempt.step.size.cpu_millicores
    if attempt.is_slow_start:
        return size * attempt.wanted_percent / _PERCENT
    return size * _SERVING_USE if attempt.step.target_ms else size


def get_share(step: Step, worker: Worker) -> float | None:
    """Return a task's processors in tenths of the worker's, all at most.

    Nothing where the worker's room is not known.
    """
    capacity = worker.entry.capacity
    if capacity is None:
        return None
    wanted = step.size.cpu_millicores
    if wanted >= capacity.cpu_millicores:
        # The room has shrunk below what was started there.
        return float(_TENTHS) if wanted else 0.0
    return wanted * _TENTHS / capacity.cpu_millicores


def get_exposure(worker: Worker) -> dict[str, float] | None:
    """Return the processors that neighbours use, in tenths, by image.

    Nothing where some are in use and the worker's room is not known.
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
    """Take a worker's newest report into the model.

    Returns
    -------
    dict of str to float, optional
        The exposure by which the report was refused, as no worker has it.
    """
    forget_view(worker)
    serving = [one for one in worker.serving.values() if one.load > 0]
    for attempt in serving:
        _tails.note_sibling(attempt, state)
    exposure = get_exposure(worker)
    is_possible = exposure is not None and (
        sum(exposure.values()) <= _MOST_EXPOSURE
    )
    if not is_possible:
        # What is told next has nothing to be held against.
        worker.exposure = None
        return exposure
    _learn_swings(serving, exposure, state)
    if state.now_ms - worker.exposure_ms >= _tails.SHORTEST_INTERVAL_MS:
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
    """Learn from tails, by what was in use beside them before and now."""
    if past is None:
        return
    total = sum(exposure.values())
    is_steady = _is_steady(exposure, past, total)
    if not is_steady and not _has_grown(exposure, past):
        return
    for attempt in serving:
        if is_steady and _is_calm(attempt, exposure, state):
            _tails.learn_part(attempt, state)
        if total >= _LEAST_EXPOSURE:
            _learn_one(attempt, exposure, state, is_steady=is_steady)


def _learn_swings(
    serving: list[Attempt], exposure: dict[str, float], state: SchedulerState
) -> None:
    """Let the tails of a report tell the loads of their jobs."""
    known: dict[str, tuple[float, float]] = {}
    for attempt in serving:
        image = attempt.step.image
        if image not in known:
            known[image] = _sum_pairs(image, exposure, state)
        _tails.note_swing(attempt, state, *known[image])


def _sum_pairs(
    image: str, exposure: dict[str, float], state: SchedulerState
) -> tuple[float, float]:
    """Return what neighbours add to an image's slowdown, and the doubt."""
    expected = 0.0
    variance = 0.0
    for other, used in exposure.items():
        expected += state.model.get_weight(image, other) * used
        variance += (state.model.get_spread(image, other) * used) ** 2
    return expected, math.sqrt(variance)


def _is_calm(
    attempt: Attempt, exposure: dict[str, float], state: SchedulerState
) -> bool:
    """Whether all that runs beside a task is known to leave it alone."""
    image = attempt.step.image
    worst = sum(
        state.model.get_bound(image, other) * used
        for other, used in exposure.items()
    )
    return worst <= _CALM


def _is_steady(
    exposure: dict[str, float], past: dict[str, float], total: float
) -> bool:
    """Whether a tail has had the time to follow what runs beside it."""
    images = set(exposure) | set(past)
    changed = sum(
        abs(exposure.get(image, 0.0) - past.get(image, 0.0)) for image in images
    )
    return changed <= _STEADY_RATIO * (1 + total)


def _has_grown(exposure: dict[str, float], past: dict[str, float]) -> bool:
    """Whether no image uses less than before: tails are still to rise."""
    return all(
        exposure.get(image, 0.0) >= used - _LEAST_EXPOSURE
        for image, used in past.items()
    )


def _learn_one(
    attempt: Attempt,
    exposure: dict[str, float],
    state: SchedulerState,
    *,
    is_steady: bool,
) -> None:
    """Learn from one task; before a steady state, only the least there is."""
    undisturbed_ms = _tails.get_undisturbed_ms(attempt, state)
    if undisturbed_ms <= 0 and attempt.tail_ms <= attempt.step.target_ms:
        return
    idle_ms = _tails.get_idle_ms(attempt, state)
    load = _tails.get_load(attempt, state, 0.0)
    alone_ms = _tails.compute_tail_ms(1.0, idle_ms, load)
    height = math.log(max(1.0, attempt.tail_ms / alone_ms))
    if _tails.is_own_doing(height, sum(exposure.values())):
        return
    slowdown = _tails.compute_slowdown(attempt.tail_ms, idle_ms, load)
    image = attempt.step.image
    state.model.learn(
        image,
        exposure,
        max(0.0, slowdown - 1 - _SIBLING_BIAS),
        is_bound=not is_steady or attempt.tail_ms > _GROWING_RATIO * alone_ms,
    )
    slowdown = round(slowdown, _DIGITS)
    if state.lesson is None or slowdown > state.lesson.slowdown:
        state.lesson = Lesson(
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


# -- expecting ----------------------------------------------------------------


def get_contribution(
    serving_image: str, attempt: Attempt, worker: Worker, state: SchedulerState
) -> float:
    """Return what a neighbour at full pace adds to an image's slowdown.

    Where the worker's room is not known nothing is expected, and the tails
    alone tell.
    """
    share = get_share(attempt.step, worker)
    if share is None:
        return 0.0
    weight = state.model.get_weight(serving_image, attempt.step.image)
    return weight * share


def get_expected(
    serving_image: str, worker: Worker, state: SchedulerState
) -> float:
    """Return what all neighbours add to an image's slowdown at their pace.

    But for those that yield: they make room for whatever else is placed.
    """
    return sum(
        get_contribution(serving_image, attempt, worker, state)
        * attempt.wanted_percent
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
    """Return by what a task may be slowed with its target kept.

    Parameters
    ----------
    attempt : Attempt
        A run with a latency target.
    state : SchedulerState
        Holds the tails.
    expected : float
        What neighbours are thought to add to its slowdown.
    rise : float
        By how much its load may be higher than it is now; used where the
        swing of the load is not known.
    ahead_ms : int
        How far the load is looked at ahead, where it is.
    """
    idle_ms = _tails.get_idle_ms(attempt, state)
    load = _tails.get_load(attempt, state, expected, ahead_ms)
    if _tails.foretell(attempt, state) is not None:
        rise = _DOUBT
    goal_ms = _GOAL_RATIO * attempt.step.target_ms
    return max(0.0, 1 / (idle_ms / goal_ms + load + rise) - 1)


def get_shown(
    attempt: Attempt, state: SchedulerState, expected: float
) -> float:
    """Return by what a task's tail shows it to be slowed, beyond chance."""
    if attempt.tail_ms <= 0:
        return 0.0
    idle_ms = _tails.get_idle_ms(attempt, state)
    load = _tails.get_load(attempt, state, expected)
    slowdown = _tails.compute_slowdown(attempt.tail_ms, idle_ms, load)
    return max(0.0, slowdown - 1 - _CHANCE)


def get_slack(worker: Worker, state: SchedulerState) -> dict[str, float]:
    """Return by how much more each image there may be slowed."""
    if worker.slack is None:
        images = {one.step.image for one in worker.serving.values()}
        expected = {
            image: get_expected(image, worker, state) for image in images
        }
        worker.slack = {}
        for one in worker.serving.values():
            image = one.step.image
            part = expected[image]
            used = max(part, get_shown(one, state, part))
            slack = get_allowance(one, state, part, _RISE, _AHEAD_MS) - used
            worker.slack[image] = min(worker.slack.get(image, slack), slack)
    return worker.slack


@attrs.frozen
class ExpectedExcess:
    """What a task would add to the slowdown of the image it hurts most."""

    image: str
    excess: float
    spread: float
    slack: float


def find_worst(
    step: Step, worker: Worker, state: SchedulerState
) -> ExpectedExcess | None:
    """Return what comes closest to the slack there, or goes beyond it."""
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


def compute_borne_share(
    step: Step, count: int, worker: Worker, state: SchedulerState
) -> float:
    """Return the share of speed at which so many leave targets kept.

    Only what disturbs has to share: what disturbs nothing works in full.
    Where the worker's room is not known none is borne.
    """
    share = get_share(step, worker)
    if share is None:
        return 0.0
    borne = 1.0
    for image, slack in get_slack(worker, state).items():
        part = state.model.get_bound(image, step.image) * share
        if part > HARMLESS:
            borne = min(borne, slack / (part * count))
    return max(0.0, borne)


def get_harm(step: Step, worker: Worker, state: SchedulerState) -> float | None:
    """Return what an opportunistic task would do beside what runs.

    The least value is 0, for no harm; 1 would use up all slack that some
    image has. Nothing says that the slack does not suffice. A pair of
    which little is known is tried only where the tails are low enough to
    bear the worse case, and none where the worker's room is not known.
    """
    share = get_share(step, worker)
    if share is None:
        return None
    harm = 0.0
    for image, slack in get_slack(worker, state).items():
        part = state.model.get_bound(image, step.image) * share
        if part <= HARMLESS:
            continue
        if part > slack:
            return None
        harm += part / max(slack, _LEAST_SLACK)
    return harm
