"""Release of the local state of a unit that this session lost."""

from __future__ import annotations

from tulippin import _requests
from tulippin._context import Context
from tulippin.state import CellState, UnitState


def drop_unit(context: Context, unit: UnitState) -> None:
    """Remove a lost unit, its requests and its pending records.

    Records in flight remain counted until their commit is answered.
    """
    state = context.state
    _requests.end_unit_requests(context, unit)
    if isinstance(unit, CellState):
        state.cells.pop(unit.unit, None)
    else:
        state.ranges.pop(unit.unit, None)
    journal = state.journal
    journal.pending = [
        entry for entry in journal.pending if entry.unit != unit.unit
    ]
    journal.uncommitted_counts[unit.unit] = sum(
        entry.unit == unit.unit for entry in journal.in_flight
    )
