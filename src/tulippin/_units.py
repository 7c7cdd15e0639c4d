"""Units and their owners: takeover, spreading and planned hand-over."""

from __future__ import annotations

import typing as t

import attrs

from tulippin import _cells, _homes, codec
from tulippin import effects as fx
from tulippin._context import Context
from tulippin._dispatch import handle
from tulippin._dropping import drop_unit
from tulippin._spreading import choose_surplus, count_units, pick_owner
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

_RANK_DELAY_MS = 400
_HAND_OVER_BATCH = 16


def adopt_ownership(
    context: Context, ownership: Ownership, version: int
) -> None:
    """Take a newer ownership row into use: gain and lose units."""
    state = context.state
    if version <= state.ownership_version:
        return
    state.ownership = ownership
    state.ownership_version = version
    own = state.session.session_id
    for unit in list(state.iter_units()):
        holder = ownership.units.get(unit.unit)
        held = holder is not None and (
            (holder.session_id, holder.epoch) == (own, unit.epoch)
        )
        if not held and state.config.seams.fencing:
            drop_unit(context, unit)
    _gain_units(context)


def _gain_units(context: Context) -> None:
    """Take up the units that the ownership row gives to this session.

    A row that was adopted while the lease was in doubt is looked at
    again on a later tick.
    """
    state = context.state
    version = state.ownership_version
    if not context.may_act or state.session.gained_version == version:
        return
    state.session.gained_version = version
    own = state.session.session_id
    for name, holder in state.ownership.units.items():
        if holder.session_id == own and state.get_unit(name) is None:
            _gain_unit(context, name, holder)


def _gain_unit(context: Context, name: str, holder: Holder) -> None:
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
    """Return the instance of a session; the id is ``instance:nonce``."""
    return session_id.rpartition(':')[0]


def step_down(context: Context) -> None:
    """Forget everything that belonged to a revoked session."""
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
    state.journal.unit_counts.clear()
    state.session.writing_ownership = False
    # The row must be read anew: the next session owns none of it.
    state.ownership_version = 0
    state.session.gained_version = 0


def tick(context: Context) -> None:
    """Create missing units, even out, and go on with hand-overs."""
    _finish_stop(context)
    if not context.may_act:
        return
    _gain_units(context)
    _finish_hand_over(context)
    session = context.state.session
    if context.now_ms < session.next_rebalance_ms:
        return
    session.next_rebalance_ms = (
        context.now_ms + context.state.config.rebalance_every_ms
    )
    _create_units(context)
    _begin_hand_over(context)


def _get_rank(context: Context) -> int:
    """Return this session's place among the live, for taking turns."""
    own = context.state.session.session_id
    return sum(session_id < own for session_id in context.state.peers)


def _create_units(context: Context) -> None:
    state = context.state
    if state.session.writing_ownership or not state.list_known:
        return
    wanted = {cell_unit(worker.cell) for worker in state.workers.values()}
    wanted.update(map(range_unit, range(state.config.range_count)))
    missing = sorted(wanted - set(state.ownership.units))
    if not missing or _get_rank(context) > 0:
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
            Ownership(_trim_chains(context, units)),
            state.ownership_version,
            revoke,
            bases,
        )
    )


def _trim_chains(
    context: Context, units: dict[str, Holder]
) -> dict[str, Holder]:
    """Drop the sources of own units whose state is published already."""
    trimmed = dict(units)
    for unit in context.state.iter_units():
        holder = trimmed.get(unit.unit)
        if (
            holder is not None
            and unit.phase is not Phase.LOADING
            and holder.epoch == unit.epoch
            and holder.previous
        ):
            trimmed[unit.unit] = attrs.evolve(holder, previous=())
    return trimmed


def plan_takeover(context: Context) -> None:
    """Revoke lapsed sessions and spread their units over the live.

    Runs only on a fresh poll, so an unchanged lease row has surely been
    seen unchanged for the whole lease.
    """
    state = context.state
    if state.session.writing_ownership or not context.may_act:
        return
    if state.session.stopping_since_ms is not None and state.peers:
        return
    dead = _find_dead(context)
    orphaned = _find_orphaned(context, dead)
    if not dead and not orphaned:
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
        context, units, tuple(state.peers[name].lease for name in dead)
    )


def _find_dead(context: Context) -> list[str]:
    state = context.state
    wait_ms = _get_rank(context) * _RANK_DELAY_MS
    config = state.config
    limit_ms = config.lease_ms + config.lease_margin_ms + wait_ms
    return sorted(
        session_id
        for session_id, peer in state.peers.items()
        if context.now_ms - peer.changed_ms > limit_ms
    )


def _find_orphaned(context: Context, dead: t.Collection[str]) -> list[str]:
    state = context.state
    own = state.session.session_id
    first = _get_rank(context) == 0
    return sorted(
        name
        for name, holder in state.ownership.units.items()
        if holder.session_id in dead
        or (
            first
            and holder.session_id not in state.peers
            and holder.session_id != own
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
        _homes.activate(context, unit)


def update_workers(context: Context) -> None:
    """Bring the cells' workers in line with the platform's list."""
    for cell in context.state.cells.values():
        if cell.phase is not Phase.LOADING:
            _cells.update_workers(context, cell)


def note_predecessor_gone(context: Context, cell: CellState) -> None:
    """Shorten the wait for old leases: their giver has surely ended."""
    if cell.predecessor_gone:
        return
    cell.predecessor_gone = True
    config = context.state.config
    bound_ms = context.now_ms + config.worker_lease_ms + config.lease_margin_ms
    for worker in cell.workers.values():
        if worker.last_reply_ms < 0:
            worker.lapse_ms = min(worker.lapse_ms, bound_ms)


def _begin_hand_over(context: Context) -> None:
    """Choose units to give away, if this session holds too many."""
    state = context.state
    if state.session.writing_ownership:
        return
    if any(unit.phase is Phase.HANDING_OVER for unit in state.iter_units()):
        return
    for name in choose_surplus(context)[:_HAND_OVER_BATCH]:
        unit = state.get_unit(name)
        if unit is not None and unit.phase is Phase.ACTIVE:
            unit.phase = Phase.HANDING_OVER
            unit.owned_since_ms = context.now_ms


def _finish_hand_over(context: Context) -> None:
    """Give away the units whose records are all durable."""
    state = context.state
    if state.session.writing_ownership or not state.session.store_reachable:
        return
    leaving = [
        unit for unit in state.iter_units() if unit.phase is Phase.HANDING_OVER
    ]
    if not leaving or not all(_is_quiet(context, unit) for unit in leaving):
        return
    counts = count_units(context)
    counts.pop(state.session.session_id, None)
    if not counts:
        for unit in leaving:
            unit.phase = Phase.ACTIVE
        return
    _hand_over(context, leaving, counts)


def _is_quiet(context: Context, unit: UnitState) -> bool:
    """Tell whether nothing of a unit is on its way any more."""
    if context.state.journal.unit_counts[unit.unit]:
        return False
    waited_ms = context.now_ms - unit.owned_since_ms
    if waited_ms >= context.state.config.hand_over_wait_ms:
        return True
    return isinstance(unit, CellState) or not unit.request_tickets


def _hand_over(
    context: Context,
    leaving: list[UnitState],
    counts: dict[str, list[int]],
) -> None:
    state = context.state
    units = dict(state.ownership.units)
    bases = []
    for unit in leaving:
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
    state.counters['units_handed_over'] += len(leaving)
    _write_ownership(context, units, bases=tuple(bases))


def _finish_stop(context: Context) -> None:
    """Leave step by step: hand over, take nothing new, finish, go.

    Requests in progress are never cut: past the drain limit nothing new
    is taken, and each request in progress ends by its own deadline.
    """
    state = context.state
    session = state.session
    since_ms = session.stopping_since_ms
    if since_ms is None or session.standing is Standing.LEFT:
        return
    drained = not state.config.seams.stop_drain or (
        context.now_ms - since_ms >= state.config.drain_limit_ms
    )
    session.refusing = session.refusing or drained or _is_drained(context)
    busy = bool(state.tickets or state.job_calls or state.report_calls)
    if not session.refusing or (busy and state.config.seams.stop_drain):
        return
    session.standing = Standing.LEFT
    context.emit(fx.CloseSession(session.session_id))
    context.emit(fx.Leave())


def _is_drained(context: Context) -> bool:
    """Tell whether nothing is owned, or nobody is there to take it."""
    state = context.state
    journal = state.journal
    if journal.pending or journal.in_flight:
        return False
    heirs = [peer for peer in state.peers.values() if not peer.leaving]
    return not heirs or not (state.cells or state.ranges)
