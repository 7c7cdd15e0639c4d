"""Tells a target that is missed anyway from one missed for its neighbours.

A task that is over its target while no opportunistic run works beside it is so
by its own load or by its worker. Pausing runs for it helps nobody, and would
hold them back for as long as it lasts. They go on slowly instead, at a pace at
which the tail stays near what it was without them, and pause at intervals to
measure it again.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Attempt, AttemptState, SchedulerState, Worker

# Ratio of tail to target from which a target counts as missed.
MISS_RATIO: t.Final = 0.97
# Duration of a miss after which opportunistic runs pause. A miss may last 4 s;
# a report is up to 1 s old, and a pace takes effect after 100 ms.
PAUSE_DELAY_MS: t.Final = 1800
# Time after the end of the last run until a tail shows nothing of it.
_SETTLING_MS: t.Final = 1000
# Validity of a measurement without neighbours. A miss that neighbours cause may
# last 4 s.
_VALID_MS: t.Final = 2000
# Time until it has been measured again: a pause takes effect and settles, and
# the next report is up to 0.4 s old.
_MAX_MEASURE_MS: t.Final = 2000
# Paces beside a missed target, and the rise of the tail, as a ratio, up to
# which the pace is raised.
_PACES_PERCENT: t.Final = (10, 20, 50)
_MAX_RISE_RATIO: t.Final = 1.1
# The pace beside a tail that just meets its target by itself.
_NEAR_PACE_PERCENT: t.Final = 2
# Minimum time between two raises; a report covers half a second.
_RAISE_INTERVAL_MS: t.Final = 600


def note(worker: Worker, ratio: float, state: SchedulerState) -> None:
    """Apply a report to what is known of the misses on a worker.

    Parameters
    ----------
    worker : Worker
        The worker, with the report applied.
    ratio : float
        The worst ratio of a tail to its target there.
    state : SchedulerState
        Holds the time.
    """
    is_shared = any(map(_may_work, worker.fillers.values()))
    if is_shared or worker.orphaned_runs:
        worker.quiet_since_ms = 0
        _adjust_pace(worker, ratio, state)
        return
    worker.own_miss_percent = _PACES_PERCENT[0]
    worker.quiet_since_ms = worker.quiet_since_ms or state.now_ms
    if state.now_ms - worker.quiet_since_ms < _SETTLING_MS:
        return
    worker.own_miss_ratio = ratio if ratio > MISS_RATIO else 0.0
    worker.own_miss_ms = state.now_ms


def is_settling(worker: Worker, ratio: float, state: SchedulerState) -> bool:
    """Whether runs that ended a moment ago may have caused a miss.

    Runs that start before it is over prolong it.
    """
    quiet_ms = state.now_ms - (worker.quiet_since_ms or state.now_ms)
    return ratio > MISS_RATIO and quiet_ms < _SETTLING_MS


def _may_work(attempt: Attempt) -> bool:
    """Whether a run may work: it does until its worker has confirmed a pause.

    One that was ordered to go on may do so before it is confirmed.
    """
    paces = attempt.pace_percent, attempt.target_pace_percent
    is_paused = paces == (0, 0) and not attempt.open_pace_percent
    return attempt.state is AttemptState.STARTING or not is_paused


def _adjust_pace(worker: Worker, ratio: float, state: SchedulerState) -> None:
    """Raise the pace beside a missed target, or lower it, by its effect."""
    if not is_own_miss(worker, state):
        worker.own_miss_percent = _PACES_PERCENT[0]
        return
    if state.now_ms - worker.pace_changed_ms < _RAISE_INTERVAL_MS:
        return
    index = _PACES_PERCENT.index(worker.own_miss_percent)
    is_near = ratio <= _MAX_RISE_RATIO * worker.own_miss_ratio
    index = min(index + 1, len(_PACES_PERCENT) - 1) if is_near else 0
    worker.own_miss_percent = _PACES_PERCENT[index]


def is_own_miss(worker: Worker, state: SchedulerState) -> bool:
    """Whether a target on a worker was missed without neighbours just now."""
    age_ms = state.now_ms - worker.own_miss_ms
    return worker.own_miss_ratio > 0 and age_ms < _VALID_MS


def is_measuring(worker: Worker, state: SchedulerState) -> bool:
    """Whether runs pause only until a missed target is explained again."""
    age_ms = state.now_ms - worker.own_miss_ms
    return worker.own_miss_ratio > 0 and age_ms < _VALID_MS + _MAX_MEASURE_MS


def is_unexplained(worker: Worker, state: SchedulerState) -> bool:
    """Whether the reading that explained a missed target has just expired."""
    has_expired = is_measuring(worker, state) and not is_own_miss(worker, state)
    return has_expired and worker.targets_missed_since_ms > 0


def get_pace_percent(worker: Worker, state: SchedulerState) -> int:
    """Return the pace of opportunistic runs beside a missed target."""
    if not is_own_miss(worker, state):
        return 0
    if worker.own_miss_ratio <= 1:
        # The target is met, if only just.
        return _NEAR_PACE_PERCENT
    return worker.own_miss_percent


def is_closed(worker: Worker, state: SchedulerState) -> bool:
    """Whether a missed target closes a worker to slow starts."""
    is_missed = worker.targets_missed_since_ms > 0
    return is_missed and not is_own_miss(worker, state)


def pauses_runs(worker: Worker, state: SchedulerState) -> bool:
    """Whether a miss has lasted until all opportunistic runs pause for it.

    A run that starts meanwhile would keep it from being measured. With a harm
    budget only the runs that cause it pause.
    """
    if state.config.features.budgets_harm:
        return False
    lasted_ms = state.now_ms - worker.targets_missed_since_ms
    return is_closed(worker, state) and lasted_ms >= PAUSE_DELAY_MS
