"""Ownership of units: creation, takeover, rebalancing and hand-over.

The ownership row of the table names the owner and the epoch of every
unit. This module adopts new versions of the row, and proposes changes
to it.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin import _cells, _home_units, codec
from tulippin import effects as fx
from tulippin._context import Context
from tulippin._dispatch import handle
from tulippin._owner_choice import choose_surplus, count_units, pick_owner
from tulippin._unit_release import drop_unit
from tulippin.events import OwnershipRefused, UnitLoaded
from tulippin.ledger import CellLedger, RangeLedger
from tulippin.state import (
    CellState,
    Phase,
    RangeState,
    Standing,
    UnitState,
)
from tulippin.types import (
    Holder,
    LeaseRow,
    Ownership,
    Source,
    cell_unit,
    is_cell,
    range_unit,
)

_TAKEOVER_DELAY_PER_RANK_MS = 400
_MAX_UNITS_PER_HAND_OVER = 16


def adopt_ownership(
    context: Context, ownership: Ownership, version: int
) -> None:
    """Adopt a newer ownership row: drop lost units and load new ones."""
    state = context.state
    if version <= state.ownership_version:
        return
    state.ownership = ownership
    state.ownership_version = version
    own_id = state.session.session_id
    for unit in list(state.iter_units()):
        holder = ownership.units.get(unit.unit)
        is_still_owned = holder is not None and (
            (holder.session_id, holder.epoch) == (own_id, unit.epoch)
        )
        if not is_still_owned and state.config.seams.fencing:
            drop_unit(context, unit)
    _acquire_units(context)


def _acquire_units(context: Context) -> None:
    """Load the units that the ownership row assigns to this session.

    Without a valid lease nothing is loaded; a later tick tries again.
    """
    state = context.state
    version = state.ownership_version
    if not context.may_act or state.session.acquired_version == version:
        return
    state.session.acquired_version = version
    own_id = state.session.session_id
    for name, holder in state.ownership.units.items():
        if holder.session_id == own_id and state.get_unit(name) is None:
            _acquire_unit(context, name, holder)


def _acquire_unit(context: Context, name: str, holder: Holder) -> None:
    state = context.state
    if is_cell(name):
        cell = CellState(name, holder.epoch, owned_since_ms=context.now_ms)
        if holder.previous:
            cell.predecessor = holder.previous[0].session_id
            cell.predecessor_instance = get_instance_id(cell.predecessor)
        state.cells[name] = cell
    else:
        state.ranges[name] = RangeState(
            name, holder.epoch, owned_since_ms=context.now_ms
        )
    context.emit(fx.LoadUnit(state.session.session_id, name, holder))


def get_instance_id(session_id: str) -> str:
    """Return the instance of a session, whose id is ``instance:nonce``."""
    return session_id.rpartition(':')[0]


def step_down(context: Context) -> None:
    """Drop all units and the journal of this revoked session."""
    state = context.state
    for unit in list(state.iter_units()):
        drop_unit(context, unit)
    state.journal = attrs.evolve(
        state.journal,
        pending=[],
        in_flight=(),
        sequence=0,
        snapshot_sequence=0,
        snapshot_running=False,
    )
    state.journal.uncommitted_counts.clear()
    state.session.writing_ownership = False
    # The next session owns no units, so it must adopt the row again.
    state.ownership_version = 0
    state.session.acquired_version = 0


def tick(context: Context) -> None:
    """Create missing units, rebalance, and continue hand-overs."""
    _advance_stop(context)
    if not context.may_act:
        return
    _acquire_units(context)
    _finish_hand_over(context)
    session = context.state.session
    if context.now_ms < session.next_rebalance_ms:
        return
    session.next_rebalance_ms = (
        context.now_ms + context.state.config.rebalance_every_ms
    )
    _create_units(context)
    _begin_hand_over(context)


def _get_session_rank(context: Context) -> int:
    """Return the rank of this session's id among the live sessions.

    The first one creates units. Takeovers are delayed by rank, so that
    the sessions don't all write the ownership row at the same time.
    """
    own_id = context.state.session.session_id
    return sum(session_id < own_id for session_id in context.state.peers)


def _create_units(context: Context) -> None:
    state = context.state
    if state.session.writing_ownership or not state.has_worker_list:
        return
    expected = {cell_unit(worker.cell) for worker in state.workers.values()}
    expected.update(map(range_unit, range(state.config.range_count)))
    missing = sorted(expected - set(state.ownership.units))
    if not missing or _get_session_rank(context) > 0:
        return
    counts = count_units(context)
    units = dict(state.ownership.units)
    for name in missing:
        target = pick_owner(context, counts, name)
        units[name] = Holder(target, 1)
        counts[target][is_cell(name)] += 1
    _write_ownership(context, units)


def _write_ownership(
    context: Context,
    units: dict[str, Holder],
    revoke: tuple[LeaseRow, ...] = (),
    bases: tuple[tuple[str, bytes], ...] = (),
) -> None:
    state = context.state
    state.session.writing_ownership = True
    context.emit(
        fx.WriteOwnership(
            state.session.session_id,
            Ownership(_remove_published_sources(context, units)),
            state.ownership_version,
            revoke,
            bases,
        )
    )


def _remove_published_sources(
    context: Context, units: dict[str, Holder]
) -> dict[str, Holder]:
    """Remove the sources of own units whose state is published already."""
    updated = dict(units)
    for unit in context.state.iter_units():
        holder = updated.get(unit.unit)
        if (
            holder is not None
            and unit.phase is not Phase.LOADING
            and holder.epoch == unit.epoch
            and holder.previous
        ):
            updated[unit.unit] = attrs.evolve(holder, previous=())
    return updated


def plan_takeover(context: Context) -> None:
    """Revoke expired sessions and assign their units to live sessions.

    Must be called just after a poll of the table. Only then is it known
    that an unchanged lease row stayed unchanged for the whole lease.
    """
    state = context.state
    if state.session.writing_ownership or not context.may_act:
        return
    if state.session.stopping_since_ms is not None and state.peers:
        return
    expired = _find_expired_sessions(context)
    orphaned = _find_orphaned_units(context, expired)
    if not expired and not orphaned:
        return
    counts = count_units(context)
    units = dict(state.ownership.units)
    for name in orphaned:
        old = units[name]
        target = pick_owner(context, counts, name)
        source = Source(old.session_id, old.epoch, old.base)
        units[name] = Holder(target, old.epoch + 1, '', (source, *old.previous))
        counts[target][is_cell(name)] += 1
    state.counters['takeovers'] += 1
    state.counters['units_taken_over'] += len(orphaned)
    _write_ownership(
        context, units, tuple(state.peers[name].lease for name in expired)
    )


def _find_expired_sessions(context: Context) -> list[str]:
    state = context.state
    delay_ms = _get_session_rank(context) * _TAKEOVER_DELAY_PER_RANK_MS
    config = state.config
    limit_ms = config.lease_ms + config.lease_margin_ms + delay_ms
    return sorted(
        session_id
        for session_id, peer in state.peers.items()
        if context.now_ms - peer.lease_changed_ms > limit_ms
    )


def _find_orphaned_units(
    context: Context, expired: t.Collection[str]
) -> list[str]:
    state = context.state
    own_id = state.session.session_id
    is_first = _get_session_rank(context) == 0
    return sorted(
        name
        for name, holder in state.ownership.units.items()
        if holder.session_id in expired
        or (
            is_first
            and holder.session_id not in state.peers
            and holder.session_id != own_id
        )
    )


@handle.register
def _(event: OwnershipRefused, context: Context) -> None:
    session = context.state.session
    session.writing_ownership = False
    session.next_poll_ms = context.now_ms
    adopt_ownership(context, event.ownership, event.ownership_version)
    for unit in context.state.iter_units():
        if unit.phase is Phase.HANDING_OVER:
            unit.phase = Phase.ACTIVE


@handle.register
def _(event: UnitLoaded, context: Context) -> None:
    state = context.state
    unit = state.get_unit(event.unit)
    if (
        event.session_id != state.session.session_id
        or unit is None
        or unit.epoch != event.epoch
        or unit.phase is not Phase.LOADING
    ):
        return
    unit.phase = Phase.ACTIVE
    if isinstance(unit, CellState) and isinstance(event.ledger, CellLedger):
        unit.ledger = event.ledger
        _cells.activate(context, unit)
    if isinstance(unit, RangeState) and isinstance(event.ledger, RangeLedger):
        unit.ledger = event.ledger
        _home_units.activate(context, unit)


def update_workers(context: Context) -> None:
    """Update the workers of all loaded cells from the platform's list."""
    for cell in context.state.cells.values():
        if cell.phase is not Phase.LOADING:
            _cells.update_workers(context, cell)


def mark_predecessor_gone(context: Context, cell: CellState) -> None:
    """Shorten the wait for worker leases of a cell's ended predecessor.

    The predecessor renews no lease any more, so those of workers that
    have not answered yet lapse within one lease and the margin.
    """
    if cell.predecessor_gone:
        return
    cell.predecessor_gone = True
    config = context.state.config
    lapse_limit_ms = (
        context.now_ms + config.worker_lease_ms + config.lease_margin_ms
    )
    for worker in cell.workers.values():
        if worker.last_reply_ms < 0:
            worker.lapse_ms = min(worker.lapse_ms, lapse_limit_ms)


def _begin_hand_over(context: Context) -> None:
    """Start handing over units if this session owns too many."""
    state = context.state
    if state.session.writing_ownership:
        return
    if any(unit.phase is Phase.HANDING_OVER for unit in state.iter_units()):
        return
    for name in choose_surplus(context)[:_MAX_UNITS_PER_HAND_OVER]:
        unit = state.get_unit(name)
        if unit is not None and unit.phase is Phase.ACTIVE:
            unit.phase = Phase.HANDING_OVER
            unit.owned_since_ms = context.now_ms


def _finish_hand_over(context: Context) -> None:
    """Hand over the outgoing units once the records of all are durable."""
    state = context.state
    if state.session.writing_ownership or not state.session.store_reachable:
        return
    outgoing = [
        unit for unit in state.iter_units() if unit.phase is Phase.HANDING_OVER
    ]
    if not outgoing or not all(_is_idle(context, unit) for unit in outgoing):
        return
    counts = count_units(context)
    counts.pop(state.session.session_id, None)
    if not counts:
        for unit in outgoing:
            unit.phase = Phase.ACTIVE
        return
    _hand_over(context, outgoing, counts)


def _is_idle(context: Context, unit: UnitState) -> bool:
    """Return whether a unit has neither pending records nor open requests.

    The open requests of a range count until the end of the hand-over wait.
    """
    if context.state.journal.uncommitted_counts[unit.unit]:
        return False
    waited_ms = context.now_ms - unit.owned_since_ms
    if waited_ms >= context.state.config.hand_over_wait_ms:
        return True
    return isinstance(unit, CellState) or not unit.request_tickets


def _hand_over(
    context: Context,
    outgoing: list[UnitState],
    counts: dict[str, list[int]],
) -> None:
    state = context.state
    units = dict(state.ownership.units)
    bases = []
    for unit in outgoing:
        holder = units[unit.unit]
        target = pick_owner(context, counts, unit.unit)
        counts[target][is_cell(unit.unit)] += 1
        key = (
            f'unit/{unit.unit}/{holder.epoch + 1}'
            f'/from/{state.session.session_id}/{context.now_ms}'
        )
        units[unit.unit] = Holder(target, holder.epoch + 1, key)
        body = codec.encode_ledgers([(unit.unit, unit.epoch, unit.ledger)])
        bases.append((key, body))
    state.counters['units_handed_over'] += len(outgoing)
    _write_ownership(context, units, bases=tuple(bases))


def _advance_stop(context: Context) -> None:
    """Advance a planned stop: hand over, drain, close the session.

    Requests in progress are never aborted. Once all units are handed
    over, or past the drain limit, new requests are refused, and those in
    progress end by their own deadlines.
    """
    state = context.state
    session = state.session
    since_ms = session.stopping_since_ms
    if since_ms is None or session.standing is Standing.LEFT:
        return
    is_drain_over = not state.config.seams.stop_drain or (
        context.now_ms - since_ms >= state.config.drain_limit_ms
    )
    session.refuses_requests = (
        session.refuses_requests or is_drain_over or _is_drained(context)
    )
    is_busy = bool(state.tickets or state.job_calls or state.report_calls)
    if not session.refuses_requests or (
        is_busy and state.config.seams.stop_drain
    ):
        return
    session.standing = Standing.LEFT
    context.emit(fx.CloseSession(session.session_id))
    context.emit(fx.Leave())


def _is_drained(context: Context) -> bool:
    """Return whether all records are durable and all units handed over.

    Units may remain if there is no session to hand them over to.
    """
    state = context.state
    journal = state.journal
    if journal.pending or journal.in_flight:
        return False
    successors = [peer for peer in state.peers.values() if not peer.leaving]
    return not successors or not (state.cells or state.ranges)
