"""Tails of tasks with a latency target, and what they tell.

A task answers its own users one after the other, so its tail grows with
its load as in a queue: ``idle / (1 - load)``. Neighbours that slow it
down by a factor work twice, on the time of each answer and on the queue:
``idle * slowdown / (1 - load * slowdown)``. The same neighbours therefore
do little at the ebb of a job's load and ruin its tails at the flood,
while the slowdown itself stays the same. So slowdowns are what is learned
and added up, and tails are turned into them and back.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Attempt, SchedulerState

# A tail that is told goes half of the way to a new one in this time;
# measured: 242, 134, 80, 54, 40, 34 ms after neighbours were stopped.
_SMOOTHING_MS: t.Final = 250
# A tail that is told has come within a fifteenth of the true one.
_SETTLED_MS: t.Final = 1000
# Readings closer together than this tell nothing of the change between.
SHORTEST_INTERVAL_MS: t.Final = 280
_LEAST_TAIL_MS: t.Final = 1.0
# Siblings' tails are compared while they are no older than this; a report
# covers half a second, and calm workers report once a second.
_SIBLING_AGE_MS: t.Final = 1300
# The undisturbed tail is that of the best of at least so many.
_LEAST_SIBLINGS: t.Final = 2
# The tail at no load as a part of the target, until a lower one is seen:
# 10 of 50 ms and 25 of 125 ms on the users' sites.
_IDLE_RATIO: t.Final = 0.2
# The least of that which is believed of a lower one.
_LEAST_IDLE_RATIO: t.Final = 0.1
# The most of its target that a tail reaches alone; measured 43 of 50 ms.
_ALONE_RATIO: t.Final = 0.87
# A job's tasks share its load unevenly. How fast a task's part is learned,
# what the job's load must be for it to show, and the most that it may be.
_PART_STEP: t.Final = 0.3
_LEAST_JOB_LOAD: t.Final = 0.15
_MOST_PART: t.Final = 2.0
_LEAST_PART: t.Final = 0.6
# A tail made out from two readings is that of the time between, and the
# report covers half a second.
_TAIL_AGE_MS: t.Final = 200
# How far apart the load is looked at ahead: a tenth of its shortest swing.
_LOOK_MS: t.Final = 500
# Slowdown by neighbours, or doubt about it, at which a tail tells half as
# much of the load as that of a task alone.
_BLUR: t.Final = 0.08
# A load above the foretold one by this is taken for a disturbance, and
# counts this part.
_UNEXPLAINED: t.Final = 0.1
_UNEXPLAINED_PART: t.Final = 0.15
# From this weight on a tail tells the task's own part of the load, which
# is learned by this step.
_CLEAR_WEIGHT: t.Final = 0.5
_SWING_STEP: t.Final = 0.1

# The most that one tenth of a worker's processors in neighbours adds to
# the logarithm of a tail, and what is left to chance. The heaviest pair
# measured adds 0.78 on a whole day, but a worker that stands still shows
# tails a thousand times too long: the bound need not be tight.
_WORST_WEIGHT: t.Final = 2.5
_CHANCE: t.Final = 1.5


def note_load(attempt: Attempt, load: float, now_ms: int) -> None:
    """Take in a run's load as its worker tells it.

    Of tasks with a target the load is a smoothed tail; two readings tell
    the tail by now.
    """
    attempt.load = load
    if not attempt.step.target_ms:
        return
    interval_ms = now_ms - attempt.past_load_ms
    if attempt.past_load > 0 and load > 0:
        if interval_ms < SHORTEST_INTERVAL_MS:
            return
        kept = 0.5 ** (interval_ms / _SMOOTHING_MS)
        load = (load - kept * attempt.past_load) / (1 - kept)
    attempt.tail_ms = max(load, _LEAST_TAIL_MS)
    attempt.past_load = attempt.load
    attempt.past_load_ms = now_ms


def note_sibling(attempt: Attempt, state: SchedulerState) -> None:
    """Let a job's other tasks be held against this one's tail.

    Not while it has just started: its tail begins with that of no load.
    One such sibling made a slowdown of 61 of what was 1.3, and with it
    expectations 4 to 20 times too high for the rest of a day.
    """
    if state.now_ms - attempt.seen_ms < _SETTLED_MS:
        return
    if attempt.load < _get_least_idle_ms(attempt):
        # One impossible tail would make heavy neighbours of all its siblings'.
        return
    tails = state.tails.setdefault(attempt.key.job_id, {})
    tails[attempt.key] = (attempt.load, state.now_ms)
    image = attempt.step.image
    lowest_ms = state.lowest_tails_ms.get(image, attempt.load)
    state.lowest_tails_ms[image] = min(lowest_ms, attempt.load)


def get_undisturbed_ms(attempt: Attempt, state: SchedulerState) -> float:
    """Return the least tail of the job's tasks; 0 if too few are known."""
    since_ms = state.now_ms - _SIBLING_AGE_MS
    tails = state.tails.get(attempt.key.job_id, {})
    fresh = [tail for tail, at_ms in tails.values() if at_ms >= since_ms]
    if len(fresh) < _LEAST_SIBLINGS:
        return 0.0
    return min(fresh)


def get_idle_ms(attempt: Attempt, state: SchedulerState) -> float:
    """Return the tail that the task would have alone and without load.

    It is above nothing, whatever was kept as the lowest one: loads and
    slowdowns are told by how many times a tail is this.
    """
    idle_ms = _IDLE_RATIO * attempt.step.target_ms
    lowest_ms = state.lowest_tails_ms.get(attempt.step.image, idle_ms)
    return min(idle_ms, max(lowest_ms, _get_least_idle_ms(attempt)))


def _get_least_idle_ms(attempt: Attempt) -> float:
    """Return the least tail that is believed of a task."""
    return _LEAST_IDLE_RATIO * _IDLE_RATIO * attempt.step.target_ms


def learn_part(attempt: Attempt, state: SchedulerState) -> None:
    """Learn a task's part in its job's load while nothing disturbs it."""
    alone_ms = get_undisturbed_ms(attempt, state)
    idle_ms = get_idle_ms(attempt, state)
    job_load = 1 - idle_ms / max(alone_ms, idle_ms)
    if job_load < _LEAST_JOB_LOAD:
        return
    own_load = 1 - idle_ms / max(attempt.tail_ms, idle_ms)
    part = min(max(own_load / job_load, 1.0), _MOST_PART)
    attempt.load_part += _PART_STEP * (part - attempt.load_part)


def note_swing(
    attempt: Attempt, state: SchedulerState, expected: float, spread: float
) -> None:
    """Let a task's tail tell the load of its job.

    Parameters
    ----------
    attempt : Attempt
        The task's run, with a new tail.
    state : SchedulerState
        Holds the swings.
    expected, spread : float
        What its neighbours are thought to add to its slowdown, and by how
        much that may be wrong: the less, the more the tail tells.
    """
    if attempt.tail_ms <= 0 or attempt.past_load_ms != state.now_ms:
        return
    at_ms = state.now_ms - _TAIL_AGE_MS
    idle_ms = get_idle_ms(attempt, state)
    own_load = 1 / (1 + expected) - idle_ms / max(attempt.tail_ms, idle_ms)
    blur = (expected / 2 + spread) / _BLUR
    weight = 1 / (1 + blur * blur)
    told = state.swings.foretell(attempt.key.job_id, at_ms)
    if told is not None and told > _LEAST_JOB_LOAD:
        excess = own_load - told * attempt.swing_part
        if excess > _UNEXPLAINED:
            # Something disturbs it that is not known yet.
            weight *= _UNEXPLAINED_PART
        elif weight > _CLEAR_WEIGHT:
            part = min(max(own_load / told, _LEAST_PART), _MOST_PART)
            attempt.swing_part += _SWING_STEP * (part - attempt.swing_part)
    load = own_load / attempt.swing_part
    state.swings.learn(attempt.key.job_id, at_ms, load, weight)


def foretell(
    attempt: Attempt, state: SchedulerState, ahead_ms: int = 0
) -> float | None:
    """Return the most load that a task will have until then, if known."""
    most = 0.0
    for later_ms in range(0, ahead_ms + 1, _LOOK_MS):
        told = state.swings.foretell(
            attempt.key.job_id, state.now_ms + later_ms
        )
        if told is None:
            return None
        most = max(most, told)
    return most * attempt.swing_part


def get_load(
    attempt: Attempt,
    state: SchedulerState,
    expected: float,
    ahead_ms: int = 0,
) -> float:
    """Return the load of a task, as it would be alone, from 0 to 1.

    Parameters
    ----------
    attempt : Attempt
        The task's run.
    state : SchedulerState
        Holds the tails of its siblings.
    expected : float
        What its neighbours are thought to add to its slowdown; used where
        no sibling shows the undisturbed tail.
    ahead_ms : int
        The most until then is returned, where the job's swing is known.
    """
    idle_ms = get_idle_ms(attempt, state)
    most = 1 - idle_ms / (_ALONE_RATIO * attempt.step.target_ms)
    told = foretell(attempt, state, ahead_ms)
    if told is not None:
        return min(max(told, 0.0), most)
    alone_ms = get_undisturbed_ms(attempt, state)
    if alone_ms > 0:
        load = 1 - idle_ms / max(alone_ms, idle_ms)
        load *= attempt.load_part
    elif attempt.tail_ms > 0:
        slowdown = 1 + expected
        load = 1 / slowdown - idle_ms / max(attempt.tail_ms, idle_ms)
    else:
        load = 0.0
    return min(max(load, 0.0), most)


def is_own_doing(excess: float, exposure: float) -> bool:
    """Whether a tail's excess is the worker's own: neighbours do less.

    Parameters
    ----------
    excess : float
        Logarithm of the tail over the undisturbed one.
    exposure : float
        Tenths of the worker's processors that neighbours use.
    """
    return excess > _WORST_WEIGHT * exposure + _CHANCE


def compute_slowdown(tail_ms: float, idle_ms: float, load: float) -> float:
    """Return by what factor neighbours slow a task with such a tail."""
    return max(1.0, 1 / (load + idle_ms / max(tail_ms, idle_ms)))


def compute_tail_ms(slowdown: float, idle_ms: float, load: float) -> float:
    """Return the tail of a task under a load and a slowdown."""
    left = 1 - load * slowdown
    if left <= 0:
        return float('inf')
    return idle_ms * slowdown / left
