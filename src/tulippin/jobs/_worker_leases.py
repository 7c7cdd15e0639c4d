"""Leases of workers: when they lapse, and how long new ones may last.

A new owner that finds a worker silent waits until all leases that earlier
owners may have granted there have lapsed. Each owner stores with its roster
until when that is for silent workers, so that its successor doesn't wait any
longer for these. In return it grants them no lease beyond that time until a
roster without the entry is durable.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.records import LeaseBoundsRecord
from tulippin.jobs.state import (
    AttemptState,
    Predecessor,
    SchedulerState,
    Worker,
)

# Maximum time for which an owner may be unaware of its successor. It learns
# of it from its feed of jobs at once, or from any other worker's next report a
# second later.
_MAX_UNAWARE_MS: t.Final = 1500
# Added to the end of a worker's lease for the delay of messages.
_LAPSE_SLACK_MS: t.Final = 400
# Bounds are added while the last renewal was confirmed this recently: a renewal
# is sent every 500 ms.
_MAX_UNCONFIRMED_MS: t.Final = 1000
# Bounds are added for workers that got no lease for this time. The rest of
# their leases leaves them two seconds to answer again.
_MIN_SILENCE_MS: t.Final = 2500
# States of a run whose start has not been answered.
_OPEN_STATES: t.Final = frozenset(
    (AttemptState.STARTING, AttemptState.DOUBTFUL)
)
# Minimum time between two rosters that only add bounds.
_MIN_INTERVAL_MS: t.Final = 500


def extend_lapse_time(
    worker: Worker, lasting_ms: int, state: SchedulerState
) -> None:
    """Extend the time at which runs on a worker lapse.

    Parameters
    ----------
    worker : Worker
        The worker that gets an order.
    lasting_ms : int
        How long the order lets runs go on.
    state : SchedulerState
        The state of the unit.
    """
    at_ms = get_lapse_ms(lasting_ms, state)
    worker.lease_expiry_ms = max(worker.lease_expiry_ms, at_ms)
    worker.ordered_ms = state.now_ms


def get_lapse_ms(lasting_ms: int, state: SchedulerState) -> int:
    """Return when a lease lapses that is granted now."""
    return state.now_ms + _get_longest_ms(lasting_ms, state)


def _get_longest_ms(lasting_ms: int, state: SchedulerState) -> int:
    """Return how long a lease may last with drift and the delay of messages."""
    return int(lasting_ms * state.config.clock_drift_ratio) + _LAPSE_SLACK_MS


def describe(worker: Worker | None, state: SchedulerState) -> dict[str, int]:
    """Return a worker's incarnation and the rest of its lease, for the log."""
    if worker is None:
        return {}
    return {
        'born_ms': worker.born_ms,
        'lease_ms': worker.lease_expiry_ms - state.now_ms,
    }


def get_max_inherited_ms(state: SchedulerState) -> int:
    """Return how long orders of another owner may last, at most."""
    config = state.config
    granted_ms = config.worker_lease_ms + _MAX_UNAWARE_MS
    return min(config.worker_lease_limit_ms, granted_ms)


# -- leases of earlier owners -------------------------------------------------


def begin(state: SchedulerState) -> None:
    """Begin with the roster and the bounds that earlier owners left."""
    state.ungranted_ids = set(state.roster)
    state.lease_limits_ms = {}
    bounds = state.roster_bounds
    epoch = state.ownership.epoch
    if bounds is None or not _is_refused(epoch.ended_since, bounds):
        return
    # A successor that finds these bounds assumes that this owner keeps them.
    first_limit_ms = _get_first_limit_ms(state)
    for worker_id in state.roster:
        until_ms = bounds.until_ms.get(worker_id, first_limit_ms)
        state.lease_limits_ms[worker_id] = min(first_limit_ms, until_ms)


def _is_refused(ended_since: int | None, bounds: LeaseBoundsRecord) -> bool:
    """Whether the owners before an epoch have ended, or are refused by half.

    Those before the epoch of the bounds are refused.
    """
    return ended_since is not None and ended_since <= bounds.epoch


def _get_first_limit_ms(state: SchedulerState) -> int:
    """Return the end of leases that are granted before the first roster.

    A successor counts the longest lease from when it has seen the takeover.
    """
    if not state.store_clock.is_known:
        return 0
    longest_ms = _get_longest_ms(get_max_inherited_ms(state), state)
    sent_ms = state.ownership.take_sent_ms
    return state.store_clock.get_earliest_store_ms(sent_ms) + longest_ms


def are_earlier_owners_ended(state: SchedulerState) -> bool:
    """Whether no earlier owner can extend leases any more."""
    predecessor = _get_bounded_predecessor(state)
    return predecessor is not None and predecessor.has_ended


def find_lapse_ms(worker_id: str, state: SchedulerState) -> int | None:
    """Return when all leases of earlier owners on a worker have lapsed.

    Returns
    -------
    int or None
        The time by the instance's clock; None if an earlier owner may extend
        them.
    """
    predecessor = _get_bounded_predecessor(state)
    if predecessor is None:
        return None
    config = state.config
    bounds = state.roster_bounds
    if worker_id in bounds.until_ms:
        until_ms = bounds.until_ms[worker_id]
        return min(
            state.store_clock.get_latest_instance_ms(until_ms),
            get_lapse_ms(config.worker_lease_limit_ms, state),
        )
    lasting_ms = get_max_inherited_ms(state)
    times_ms = []
    if predecessor.has_ended:
        times_ms.append(get_lapse_ms(lasting_ms, state))
    if bounds.epoch < predecessor.epoch.epoch:
        longest_ms = _get_longest_ms(lasting_ms, state)
        times_ms.append(predecessor.seen_ms + longest_ms)
    return min(times_ms, default=None)


def find_unlisted_lapse_ms(state: SchedulerState) -> tuple[int, bool]:
    """Return when leases on workers that no roster names have lapsed.

    Returns
    -------
    tuple of int and bool
        The time by the instance's clock, 0 if there are no such workers, and
        whether no earlier owner can extend them.
    """
    if not state.unlisted_until_ms:
        return 0, False
    lapse_ms = get_lapse_ms(get_max_inherited_ms(state), state)
    if _get_bounded_predecessor(state) is None:
        return lapse_ms, False
    until_ms = state.store_clock.get_latest_instance_ms(state.unlisted_until_ms)
    return min(lapse_ms, until_ms), True


def get_unlisted_until_ms(state: SchedulerState) -> int:
    """Return until when workers that no roster names may have orders.

    Returns
    -------
    int
        The time by the store's clock; 0 if there are no such workers.
    """
    clock = state.store_clock
    if state.unconfirmed_until_ms <= state.now_ms or not clock.is_known:
        return 0
    until_ms = clock.get_latest_store_ms(state.unconfirmed_until_ms)
    return max(state.unlisted_until_ms, until_ms)


def _get_bounded_predecessor(state: SchedulerState) -> Predecessor | None:
    """Return the last owner, if the stored bounds hold for its leases.

    They do if no owner before it can extend leases beyond them.
    """
    predecessor = state.ownership.predecessor
    bounds = state.roster_bounds
    if predecessor is None or bounds is None or not state.store_clock.is_known:
        return None
    if bounds.epoch > predecessor.epoch.epoch:
        return None
    is_bounded = _is_refused(predecessor.epoch.ended_since, bounds)
    return predecessor if is_bounded else None


# -- leases that this owner grants --------------------------------------------


def limit_lease_ms(worker: Worker, lease_ms: int, state: SchedulerState) -> int:
    """Return how long a lease may be that is granted to a worker now.

    Parameters
    ----------
    worker : Worker
        The worker that gets an order.
    lease_ms : int
        The wanted duration.
    state : SchedulerState
        The state of the unit.

    Returns
    -------
    int
        The duration in ms, 0 if no lease may be granted.
    """
    limit_ms = state.lease_limits_ms.get(worker.worker_id)
    if limit_ms is None:
        return lease_ms
    if not state.store_clock.is_known:
        return 0
    now_ms = state.store_clock.get_latest_store_ms(state.now_ms)
    left_ms = limit_ms - now_ms - _LAPSE_SLACK_MS
    drifted_ms = int(left_ms / state.config.clock_drift_ratio)
    return max(0, min(lease_ms, drifted_ms))


def may_get_starts(worker: Worker, state: SchedulerState) -> bool:
    """Whether a start order may be valid for its usual time at a worker."""
    valid_ms = state.config.start_valid_ms
    return limit_lease_ms(worker, valid_ms, state) == valid_ms


def is_limit_ending(worker: Worker, state: SchedulerState) -> bool:
    """Whether longer leases may be granted once the next roster is durable."""
    is_limited = worker.worker_id in state.lease_limits_ms
    return is_limited and _is_store_answering(state)


def _is_store_answering(state: SchedulerState) -> bool:
    unconfirmed_ms = state.now_ms - state.ownership.renewed_ms
    return unconfirmed_ms < _MAX_UNCONFIRMED_MS


def make_bounds(
    addresses: t.Mapping[str, str], state: SchedulerState
) -> LeaseBoundsRecord | None:
    """Return the bounds for the next roster, or the durable ones.

    Parameters
    ----------
    addresses : mapping of str to str
        The workers of the next roster, by id.
    state : SchedulerState
        The state of the unit.

    Returns
    -------
    LeaseBoundsRecord or None
        None if an earlier owner may extend leases. The bounds that it left
        hold for the workers of its roster alone.
    """
    if not state.store_clock.is_known:
        return None
    if not state.has_reached_half:
        is_same = addresses.keys() == state.roster.keys()
        return state.roster_bounds if is_same else None
    epoch = state.ownership.epoch.epoch
    durable = state.roster_bounds
    is_own = durable is not None and durable.epoch == epoch
    known_ms = durable.until_ms if is_own else {}
    silent = {
        worker_id: _get_bound_ms(worker, state)
        for worker_id, worker in state.workers.items()
        if _is_silent(worker, worker_id in known_ms, state)
    }
    if is_own and _may_keep(known_ms.keys(), silent.keys(), state):
        return durable
    clock = state.store_clock
    return LeaseBoundsRecord(
        epoch,
        {
            worker_id: max(0, clock.get_latest_store_ms(at_ms))
            for worker_id, at_ms in silent.items()
        },
    )


def _get_bound_ms(worker: Worker, state: SchedulerState) -> int:
    """Return when the leases of a silent worker have lapsed for a successor.

    A worker that restarts under its id may get a longer lease by an order with
    a deadline by its earlier clock.
    """
    if worker.worker_id in state.ungranted_ids:
        return worker.lease_expiry_ms
    longest_ms = _get_longest_ms(get_max_inherited_ms(state), state)
    return max(worker.lease_expiry_ms, worker.ordered_ms + longest_ms)


def _is_silent(worker: Worker, is_bounded: bool, state: SchedulerState) -> bool:
    """Whether a worker gets no lease at present, or none beyond its bound.

    A worker that is silent for a moment does not become bounded, nor any
    without the store: its runs would end in an outage even if it answered
    again. Nor does one with a start that may still be carried out, by its next
    incarnation and under a longer lease.
    """
    if worker.worker_id in state.ungranted_ids:
        return True
    if not (worker.is_rostered and worker.failed_count):
        return False
    if is_bounded:
        return True
    if state.now_ms - worker.ordered_ms < _MIN_SILENCE_MS:
        return False
    return _is_store_answering(state) and not any(
        attempt.state in _OPEN_STATES for attempt in worker.attempts.values()
    )


def _may_keep(
    bounded: set[str], silent: set[str], state: SchedulerState
) -> bool:
    """Whether the durable bounds may stay for now.

    A worker that answers again needs longer leases at once.
    """
    if bounded - silent:
        return False
    is_recent = state.now_ms - state.bounds_sent_ms < _MIN_INTERVAL_MS
    return is_recent or bounded == silent


def note_commit(
    bounds: LeaseBoundsRecord | None, state: SchedulerState
) -> None:
    """Keep the bounds of a roster that is about to be written."""
    state.bounds_sent_ms = state.now_ms
    limits_ms = state.lease_limits_ms
    for worker_id, until_ms in bounds.until_ms.items() if bounds else ():
        limits_ms[worker_id] = min(limits_ms.get(worker_id, until_ms), until_ms)


def note_committed(
    bounds: LeaseBoundsRecord | None, state: SchedulerState
) -> None:
    """Keep only the bounds of a roster that has become durable."""
    state.roster_bounds = bounds
    if bounds is not None and bounds.epoch != state.ownership.epoch.epoch:
        # A successor still assumes the limits of the first leases.
        return
    until_ms = bounds.until_ms if bounds else {}
    limits_ms = state.lease_limits_ms
    state.lease_limits_ms = {
        worker_id: min(at_ms, limits_ms.get(worker_id, at_ms))
        for worker_id, at_ms in until_ms.items()
    }


def forbid_leases(worker: Worker, state: SchedulerState) -> None:
    """Grant a worker that has restarted no lease while its bound stands.

    Orders to its earlier incarnation may extend its leases beyond it.
    """
    if worker.worker_id in state.lease_limits_ms:
        state.lease_limits_ms[worker.worker_id] = 0
