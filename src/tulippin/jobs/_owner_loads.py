"""How loaded this instance and the other owners of units are."""

from __future__ import annotations

import collections
import math
import typing as t

from tulippin.jobs.records import LeaseRecord
from tulippin.jobs.state import InstanceLoad, Phase

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# An owner whose lease has not changed for this long may have failed: leases
# are renewed every 0.5 s, and read every 0.45 s.
_MAX_LEASE_AGE_MS: t.Final = 1300
_HELD_PHASES: t.Final = frozenset((Phase.LOADING, Phase.ACTIVE))


class LeasedUnit(t.Protocol):
    """What is known of the owner of a unit."""

    @property
    def lease(self) -> LeaseRecord | None:
        """The last lease that could be read."""

    @property
    def lease_seen_ms(self) -> int:
        """When the last change of the lease was read."""


def find_lowest_load(
    units: t.Iterable[LeasedUnit], instance_id: str, now_ms: int
) -> float:
    """Return the units per core of the least loaded other owner with one more.

    Parameters
    ----------
    units : iterable of LeasedUnit
        All units of the layout.
    instance_id : str
        The instance that asks, which is left out.
    now_ms : int
        The time of its clock.

    Returns
    -------
    float
        Infinite if no other live owner tells its capacity.
    """
    counts: collections.Counter[str] = collections.Counter()
    shares: dict[str, float] = {}
    for unit in units:
        lease = unit.lease
        if lease is None or lease.released or lease.instance_id == instance_id:
            continue
        if now_ms - unit.lease_seen_ms > _MAX_LEASE_AGE_MS:
            continue
        counts[lease.instance_id] += 1
        shares[lease.instance_id] = lease.processor_share
    return min(
        (
            (counts[owner] + 1) / share
            for owner, share in shares.items()
            if share > 0
        ),
        default=math.inf,
    )


def measure_load(
    others: t.Sequence[UnitShell],
    tick_delay_ms: int,
    lowest_other_load: float,
) -> InstanceLoad:
    """Return the load of an instance without one of its units.

    Parameters
    ----------
    others : sequence of UnitShell
        All units of the layout but that one.
    tick_delay_ms : int
        By how much the ticks of the instance come late.
    lowest_other_load : float
        The result of ``find_lowest_load``.
    """
    claimed = [one for one in others if one.is_claimed]
    held_count = sum(
        one.state.ownership.phase in _HELD_PHASES for one in claimed
    )
    return InstanceLoad(
        len(others),
        len(claimed),
        held_count,
        tick_delay_ms,
        lowest_other_load,
    )
