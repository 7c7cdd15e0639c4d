"""Decides how often an instance reads the store's tables.

An instance that owns no unit reads leases to notice a lost owner, and to know
the load of the units for new jobs. While every lease is renewed in time, both
permit fewer reads. The functions here do no input or output.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs.features import Features

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# Pause between two reads of the units. Each owner renews twice a second, so a
# pause lets one read return the renewals of several owners.
_UNITS_PAUSE_MS: t.Final = 450
# The same on an instance without units while all leases are fresh. A lost
# owner is then noticed at most 0.5 s later, and a lease is seen again after
# 1 s, while new jobs go to units whose lease was seen within 1.3 s.
_IDLE_UNITS_PAUSE_MS: t.Final = 950
# How long a feed's call waits at the store for a change. A broken connection
# is noticed only when the call should have returned, so this and the store's
# timeout of 0.9 s together stay below the 3 s in which an instance must
# recover from a partition. Owners follow their jobs with the first value.
FEED_WAIT_MS: t.Final = 1500
_IDLE_FEED_WAIT_MS: t.Final = 2000
# A new bundle must be in force within 12 s; reading the head takes 5 ms. An
# instance without units uses no policy until it takes a unit, and reads again
# after the first interval if a read fails.
_BUNDLES_INTERVAL_MS: t.Final = 4000
_IDLE_BUNDLES_INTERVAL_MS: t.Final = 8000


@attrs.frozen
class UnitSight:
    """What an instance knows of a unit when it has read the leases.

    Parameters
    ----------
    is_claimed : bool
        Whether the instance owns the unit, or is taking or releasing it.
    is_owner : bool
        Whether it owns and has loaded the unit.
    is_leased : bool
        Whether the newest lease is valid and not released.
    lease_age_ms : int
        The time since a change of the lease was read.
    """

    is_claimed: bool
    is_owner: bool
    is_leased: bool
    lease_age_ms: int


def is_idle(units: t.Iterable[UnitShell]) -> bool:
    """Whether an instance owns none of the units and is not taking one."""
    return not any(unit.is_claimed for unit in units)


def choose_units_pause_ms(
    sights: t.Sequence[UnitSight], features: Features, renew_every_ms: int
) -> int:
    """Return the pause between two reads of the units.

    Parameters
    ----------
    sights : sequence of UnitSight
        All units of the layout, just after a read.
    features : Features
        The optional parts that are switched on.
    renew_every_ms : int
        Time between two renewals of a lease.
    """
    if all(sight.is_owner for sight in sights):
        # No other instance renews a lease, so no changes are expected.
        return FEED_WAIT_MS
    if len(sights) == 1:
        # Each call returns with the next renewal. A pause that makes calls
        # fewer than renewals would delay a takeover by 1 s.
        return 0
    are_fresh = all(
        sight.is_leased
        and sight.lease_age_ms < renew_every_ms
        and not sight.is_claimed
        for sight in sights
    )
    if features.gathers_reads and are_fresh:
        return _IDLE_UNITS_PAUSE_MS
    return _UNITS_PAUSE_MS


def choose_settings_wait_ms(features: Features, *, is_idle: bool) -> int:
    """Return how long a call waits for changed settings of the operators.

    A change is returned at once, however long the call may wait.
    """
    if features.gathers_reads and is_idle:
        return _IDLE_FEED_WAIT_MS
    return FEED_WAIT_MS


def choose_bundles_interval_ms(
    features: Features, *, is_idle: bool, has_failed: bool
) -> int:
    """Return the time until the next look for a new bundle."""
    if features.gathers_reads and is_idle and not has_failed:
        return _IDLE_BUNDLES_INTERVAL_MS
    return _BUNDLES_INTERVAL_MS
