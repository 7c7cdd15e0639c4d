"""Choice of owners: balance the number of units, keep cells close.

An owner in a cell's region still reaches the cell's workers when the
regions are partitioned. An owner in the cell's failure domain fails
together with the cell.
"""

from __future__ import annotations

import typing as t

from tulippin._context import Context
from tulippin.types import is_cell

_SAME_REGION_COST: t.Final = 3
_OTHER_REGION_COST: t.Final = 1000

# Number of ranges and number of cells, by session id.
UnitCounts = dict[str, list[int]]


def count_units(context: Context) -> UnitCounts:
    """Return each live session's number of ranges and number of cells.

    Sessions that are stopping are left out: they get no more units.
    """
    state = context.state
    counts = {
        session_id: [0, 0]
        for session_id, peer in state.peers.items()
        if not peer.leaving and not is_expired(context, session_id)
    }
    if state.session.stopping_since_ms is None:
        counts[state.session.session_id] = [0, 0]
    for name, holder in state.ownership.units.items():
        if holder.session_id in counts:
            counts[holder.session_id][is_cell(name)] += 1
    return counts


def is_expired(context: Context, session_id: str) -> bool:
    """Return whether a peer is unknown or its lease row is overdue."""
    state = context.state
    peer = state.peers.get(session_id)
    if peer is None:
        return True
    limit_ms = state.config.lease_ms + state.config.lease_margin_ms
    return context.now_ms - peer.lease_changed_ms > limit_ms


def get_distance(context: Context, session_id: str, unit: str) -> int:
    """Return the cost of the distance between a session and a unit.

    A cost of 1 weighs as much as one more owned unit.
    """
    location = context.state.cell_locations.get(unit)
    if location is None:
        return 0
    config = context.state.config
    owner_location: tuple[str, str] = (config.failure_domain, config.region)
    peer = context.state.peers.get(session_id)
    if peer is not None:
        owner_location = (peer.lease.failure_domain, peer.lease.region)
    if owner_location[1] != location[1]:
        return _OTHER_REGION_COST
    return 0 if owner_location[0] == location[0] else _SAME_REGION_COST


def pick_owner(context: Context, counts: UnitCounts, unit: str) -> str:
    """Return the session that would own the unit at the lowest cost."""
    kind = is_cell(unit)
    return min(
        counts,
        key=lambda session_id: (
            counts[session_id][kind] + get_distance(context, session_id, unit),
            session_id,
        ),
    )


def choose_surplus(context: Context) -> list[str]:
    """Return the own units that should move to another session.

    A unit moves only if that lowers the total cost, so that it never
    moves back and forth between two owners. A stopping session returns
    all its units if another session is live.
    """
    state = context.state
    counts = count_units(context)
    own_id = state.session.session_id
    units = [unit.unit for unit in state.iter_units()]
    if not counts or state.session.stopping_since_ms is not None:
        return units if counts else []
    surplus = []
    ordered = sorted(
        (_get_transfer_order(context, own_id, unit), unit) for unit in units
    )
    for _, unit in ordered:
        kind = is_cell(unit)
        target = pick_owner(context, counts, unit)
        target_cost = (
            counts[target][kind] + get_distance(context, target, unit) + 1
        )
        own_cost = counts[own_id][kind] + get_distance(context, own_id, unit)
        if target != own_id and own_cost > target_cost:
            surplus.append(unit)
            counts[own_id][kind] -= 1
            counts[target][kind] += 1
    return surplus


def _get_transfer_order(context: Context, own_id: str, unit: str) -> int:
    """Return a sort key by which the most distant units move first."""
    return -get_distance(context, own_id, unit)
