"""Who should own which unit: even numbers, and cells kept close.

An owner in a cell's region still reaches the cell's workers when the
regions lose each other; one in its failure domain fails with it.
"""

from __future__ import annotations

import typing as t

from tulippin._context import Context
from tulippin.types import is_cell

_SAME_REGION_COST: t.Final = 3
_OTHER_REGION_COST: t.Final = 1000

Counts = dict[str, list[int]]


def count_units(context: Context) -> Counts:
    """Return each live session's number of ranges and of cells."""
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
    """Tell whether a peer's lease has been seen to lapse."""
    state = context.state
    peer = state.peers.get(session_id)
    if peer is None:
        return True
    limit_ms = state.config.lease_ms + state.config.lease_margin_ms
    return context.now_ms - peer.changed_ms > limit_ms


def get_distance(context: Context, session_id: str, unit: str) -> int:
    """Return the cost of the way between a session and a unit."""
    place = context.state.cell_places.get(unit)
    if place is None:
        return 0
    config = context.state.config
    own: tuple[str, str] = (config.failure_domain, config.region)
    peer = context.state.peers.get(session_id)
    if peer is not None:
        own = (peer.lease.failure_domain, peer.lease.region)
    if own[1] != place[1]:
        return _OTHER_REGION_COST
    return 0 if own[0] == place[0] else _SAME_REGION_COST


def pick_owner(context: Context, counts: Counts, unit: str) -> str:
    """Return the session for which one more unit costs the least."""
    kind = is_cell(unit)
    return min(
        counts,
        key=lambda session_id: (
            counts[session_id][kind] + get_distance(context, session_id, unit),
            session_id,
        ),
    )


def choose_surplus(context: Context) -> list[str]:
    """Return the own units that another session should have.

    A unit moves only if that lowers the cost, so two owners never pass
    one back and forth.
    """
    state = context.state
    counts = count_units(context)
    own = state.session.session_id
    units = [unit.unit for unit in state.iter_units()]
    if not counts or state.session.stopping_since_ms is not None:
        return units if counts else []
    surplus = []
    ordered = sorted((_get_key(context, own, unit), unit) for unit in units)
    for _, unit in ordered:
        kind = is_cell(unit)
        target = pick_owner(context, counts, unit)
        cost = counts[target][kind] + get_distance(context, target, unit) + 1
        kept = counts[own][kind] + get_distance(context, own, unit)
        if target != own and kept > cost:
            surplus.append(unit)
            counts[own][kind] -= 1
            counts[target][kind] += 1
    return surplus


def _get_key(context: Context, own: str, unit: str) -> int:
    """Order units so that the most distant are given away first."""
    return -get_distance(context, own, unit)
