"""Who owns the unit: watching the lease, taking it, keeping it."""

from __future__ import annotations

import typing as t
import zlib

import attrs

from tulippin.jobs import _lifecycle, _memory, _rooms, _unseen
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import (
    ForgetUnit,
    LoadUnit,
    ReleaseLease,
    RenewLease,
    TakeUnit,
)
from tulippin.jobs.events import (
    LeaseReleased,
    LeaseRenewed,
    LeaseSeen,
    StopRequested,
    UnitTaken,
)
from tulippin.jobs.records import EpochRecord, LeaseRecord, UnitRoom
from tulippin.jobs.state import Ownership, Phase, SchedulerState
from tulippin.jobs.swings import SwingModel
from tulippin.types import Resources

# Spreads the takers of a lapsed lease, so that most see the first one's
# success before their own try; a transaction takes some 5 ms.
_SPREAD_MS: t.Final = 200
# Where the store is slow they are spread over so many of its answers: what
# those ask for that come second is in vain, and keeps the first one's writes
# waiting.
_SPREAD_ANSWERS: t.Final = 4
_SLOWEST_ANSWER_MS: t.Final = 200
# What is added to a wait for each unit that an instance has, or is about
# to have, on one core: the largest instances with the fewest units go first.
_BURDEN_MS: t.Final = 200
_LEAST_SHARE: t.Final = 0.1
# An instance with more units on each core gives them up one by one: others
# take a unit sooner than it would itself. Half a core bears one unit.
_MOST_BURDEN: t.Final = 2.5
_SPARE_EVERY_MS: t.Final = 3000
# Work that is prolonged later than this after the last renewal may outlast
# a successor's wait: 2 s and 6.5 s, less a lease of 4.5 s and its slack.
_UNCONFIRMED_LIMIT_MS: t.Final = 3500
_TURNS: t.Final = 7
_MOST_DOUBLINGS: t.Final = 6
# A unit given up in a planned way is taken up this many times sooner.
_RELEASED_PART: t.Final = 4
# A gap between two events that means that the process stood still: the
# tick comes twenty times in it.
PAUSE_LIMIT_MS: t.Final = 1000
# Between two tries to give a unit up.
_RELEASE_PAUSE_MS: t.Final = 300
_STOPS: t.Final = 'the instance stops'

_OWNING: t.Final = frozenset((Phase.LOADING, Phase.ACTIVE))
# What a stop waits for: a unit taken after it would be nobody's to release.
_UNDER_WAY: t.Final = frozenset((Phase.TAKING, Phase.RELEASING))
# Rows that come during a try are what the next one goes by.
_WATCHING: t.Final = frozenset((Phase.STANDING_BY, Phase.TAKING))


@handle.register
def _see_lease(event: LeaseSeen, context: Context) -> None:
    ownership = context.state.ownership
    if ownership.phase not in _WATCHING:
        return
    if event.lease_version < ownership.lease_version:
        # An older reading that came late.
        return
    is_new = (event.lease_version, event.epoch_version) != (
        ownership.lease_version,
        ownership.epoch_version,
    )
    # Each taking counts its renewals anew.
    is_same_epoch = event.epoch_version == ownership.epoch_version
    is_outdated = is_same_epoch and _is_outdated(event.lease, ownership.lease)
    if not is_outdated:
        ownership.lease = event.lease
    ownership.lease_version = event.lease_version
    ownership.epoch = event.epoch
    ownership.epoch_version = event.epoch_version
    if (is_new and not is_outdated) or ownership.changed_ms < 0:
        ownership.changed_ms = event.at_ms
    if ownership.phase is Phase.STANDING_BY:
        _take_if_free(context)


def _is_outdated(lease: LeaseRecord | None, known: LeaseRecord | None) -> bool:
    """Whether a renewal is one that the store carried out late.

    It is no sign of life: a store may do a write up to 6 s after its owner
    has gone, and the unit would have nobody for so long.
    """
    if lease is None or known is None or lease.released != known.released:
        return False
    is_same = lease.session_id == known.session_id
    return is_same and lease.renewal_count <= known.renewal_count


def may_be_free(state: SchedulerState, now_ms: int) -> bool:
    """Whether time alone may make the instance take its unit.

    Where the owner's lease is younger than any taker's wait, a tick would
    change nothing.
    """
    ownership = state.ownership
    lease = ownership.lease
    if ownership.phase is not Phase.STANDING_BY:
        return True
    if lease is None or lease.released:
        return True
    if lease.instance_id == state.config.instance_id:
        return True
    return now_ms - ownership.changed_ms >= state.config.lease_ms


def _take_if_free(context: Context) -> None:
    """Take the unit if nobody has it, or its holder surely is gone."""
    state = context.state
    ownership = state.ownership
    lease = ownership.lease
    if ownership.changed_ms < 0:
        return
    silent_ms = state.now_ms - ownership.changed_ms
    if lease is None and ownership.lease_version:
        # Whoever has the unit writes its next renewal over it.
        why = 'lease unreadable'
        wait_ms = state.config.lease_ms + _get_delay_ms(state)
    elif lease is None or lease.released:
        why = 'released' if lease else 'never owned'
        wait_ms = _get_delay_ms(state, _RELEASED_PART)
    elif lease.instance_id == state.config.instance_id:
        # One process runs at a time, so our own earlier life is over.
        why = 'earlier life'
        wait_ms = 0
    else:
        why = 'lapsed'
        wait_ms = state.config.lease_ms + _get_delay_ms(state)
    if silent_ms < wait_ms + ownership.wait_extra_ms:
        return
    _take(context, why, silent_ms)


def _get_delay_ms(state: SchedulerState, part: int = 1) -> int:
    """Return how long the instance leaves a free unit to others."""
    config = state.config
    name = f'{config.instance_id}/{config.unit.number}'
    place = zlib.crc32(name.encode()) % _SPREAD_MS / _SPREAD_MS
    lease = state.ownership.lease
    answer_ms = min(lease.answer_ms if lease else 0, _SLOWEST_ANSWER_MS)
    spread_ms = max(_SPREAD_MS / part, _SPREAD_ANSWERS * answer_ms)
    burden_ms = _BURDEN_MS * (_get_burden(state) - 1) / part
    return max(0, int(place * spread_ms + burden_ms))


def _get_burden(state: SchedulerState) -> float:
    """Return the units on each core, with this one."""
    share = max(state.config.processor_share, _LEAST_SHARE)
    return (1 + state.other_units) / share


def _take(context: Context, why: str, silent_ms: int) -> None:
    state = context.state
    ownership = state.ownership
    last = ownership.epoch.epoch if ownership.epoch else 0
    ownership.phase = Phase.TAKING
    ownership.tried_version = ownership.lease_version
    context.log('take unit', why=why, silent_ms=silent_ms, epoch=last + 1)
    context.emit(
        TakeUnit(
            _make_lease(state, is_loaded=False),
            ownership.lease_version,
            EpochRecord(last + 1, state.config.session_id),
            ownership.epoch_version,
        )
    )


@handle.register
def _end_taking(event: UnitTaken, context: Context) -> None:
    state = context.state
    ownership = state.ownership
    if not event.version:
        ownership.phase = Phase.LEFT if state.is_stopping else Phase.STANDING_BY
        if ownership.lease_version == ownership.tried_version:
            # Another was first: its rows must be seen before the next try.
            # If the store was away, no row may ever change, so these count
            # anew: a unit whose takers all failed would be nobody's.
            ownership.changed_ms = event.at_ms if event.is_unsure else -1
        context.log(
            'unit not taken', epoch=event.epoch, is_unsure=event.is_unsure
        )
        return
    ownership.phase = Phase.LOADING
    ownership.epoch = EpochRecord(event.epoch, state.config.session_id)
    ownership.epoch_version = event.version
    ownership.lease_version = event.version
    ownership.taken_ms = event.at_ms
    ownership.renewed_ms = event.at_ms
    ownership.must_confirm = False
    ownership.is_renewing = False
    context.log('unit taken', epoch=event.epoch, version=event.version)
    if state.is_stopping:
        ownership.release_why = _STOPS
        _release(context)
        return
    context.emit(LoadUnit())


@handle.register
def _renewed(event: LeaseRenewed, context: Context) -> None:
    ownership = context.state.ownership
    if event.epoch_version != ownership.epoch_version:
        # Of an earlier ownership.
        return
    ownership.is_renewing = False
    if ownership.phase not in _OWNING:
        return
    if event.is_fenced:
        step_down(context, 'the lease row has another owner')
        return
    if event.is_done:
        ownership.renewed_ms = max(ownership.renewed_ms, event.sent_ms)
        ownership.lease_version = event.version
        # An answer that was on its way while the process stood still tells
        # of the time before.
        if ownership.must_confirm and event.sent_ms >= ownership.paused_ms:
            context.log('ownership confirmed', epoch=context.fencing_token)
            ownership.must_confirm = False
        if _is_release_due(context.state) and not ownership.must_confirm:
            _release(context)


def step_down(context: Context, reason: str) -> None:
    """Give up the unit: another instance owns it."""
    context.log('step down', reason=reason, epoch=context.fencing_token)
    _end_ownership(context)


def _end_ownership(context: Context) -> None:
    """Stand by for the unit again, unless the instance stops."""
    state = context.state
    clear_unit(state)
    state.ownership = Ownership(changed_ms=state.now_ms)
    # Not ours again before others have had their turn.
    state.ownership.wait_extra_ms = state.config.lease_ms
    if state.is_stopping:
        state.ownership.phase = Phase.LEFT
    context.emit(ForgetUnit())


def clear_unit(state: SchedulerState) -> None:
    """Forget all that only the owner holds."""
    _clear_crashes(state)
    state.jobs.clear()
    state.workers.clear()
    _clear_ready(state)
    state.unread_jobs.clear()
    state.unsettled_until_ms = 0
    state.is_settled = False
    state.advice_after_ms = 0
    state.advice_pause_ms = 0
    state.advice_asked.clear()
    _clear_observed(state)
    state.dirty_jobs.clear()
    _clear_commits(state)


def _clear_observed(state: SchedulerState) -> None:
    state.tails.clear()
    state.swings = SwingModel()
    state.short_demands.clear()
    state.queue_kinds.clear()
    state.is_demand_told = False
    state.roomy_ms.clear()
    state.largest_new.clear()


def _clear_ready(state: SchedulerState) -> None:
    state.ready.clear()
    state.ready_idle.clear()
    state.scheduled.clear()


def _clear_commits(state: SchedulerState) -> None:
    state.roster = {}
    state.roster_version = 0
    state.is_committing = False
    state.is_roster_committing = False
    state.is_model_committing = False


def _clear_crashes(state: SchedulerState) -> None:
    state.suspects.clear()
    state.unsent.clear()
    state.lost_unread.clear()


def note_pause(context: Context, gap_ms: int) -> None:
    """After standing still, order nothing until the store confirms."""
    ownership = context.state.ownership
    if ownership.phase in _OWNING and gap_ms > PAUSE_LIMIT_MS:
        ownership.must_confirm = True
        ownership.paused_ms = context.state.now_ms + gap_ms
        context.log('paused', gap_ms=gap_ms, epoch=context.fencing_token)


def is_unconfirmed(state: SchedulerState) -> bool:
    """Whether another instance may have taken the unit by now.

    The store tells nothing while it is away, but each worker that a
    successor has spoken to does: all are asked, also those where nothing
    runs. An owner that asked only where its tasks ran went on prolonging
    what its successor could not reach, and took for lapsed.
    """
    return state.now_ms - state.ownership.renewed_ms > state.config.lease_ms


def may_prolong(state: SchedulerState) -> bool:
    """Whether work may be kept going, or started, under our ownership.

    A successor takes what a silent worker runs for lapsed 6.5 s after its
    taking, which is 2 s or more after our last renewal. An owner that the
    store does not confirm goes on, as the store may be away for all, while
    it reaches most of its workers: a successor reaches one of them, and is
    told of by it.
    """
    if state.now_ms - state.ownership.renewed_ms <= _UNCONFIRMED_LIMIT_MS:
        return True
    rostered = [
        one
        for one in state.workers.values()
        if one.is_rostered and not one.is_over
    ]
    reached = sum(not one.failed_count for one in rostered)
    return 2 * reached > len(rostered)


def tick(context: Context) -> None:
    """Take a lapsed unit; renew the lease of an owned one."""
    state = context.state
    ownership = state.ownership
    if ownership.phase is Phase.STANDING_BY:
        _take_if_free(context)
        return
    if _is_spared(state):
        state.spared_count += 1
        ownership.release_why = 'too many units here'
    if ownership.phase not in _OWNING or ownership.is_renewing:
        return
    renew_at_ms = ownership.renewed_ms + state.config.renew_every_ms
    if state.now_ms >= renew_at_ms or _is_release_due(state):
        _renew(context)


def _renew(context: Context) -> None:
    ownership = context.state.ownership
    ownership.is_renewing = True
    ownership.renewal_count += 1
    is_loaded = ownership.phase is Phase.ACTIVE
    lease = _make_lease(context.state, is_loaded=is_loaded)
    context.emit(RenewLease(lease, ownership.epoch_version))


def _is_spared(state: SchedulerState) -> bool:
    """Whether the unit is better off with another instance."""
    ownership = state.ownership
    if ownership.phase is not Phase.ACTIVE or not state.other_units:
        return False
    if ownership.release_why:
        return False
    if _get_burden(state) <= _MOST_BURDEN or ownership.must_confirm:
        return False
    # One at a time, by number; and ever less often, as it does not help
    # where all instances have too many.
    turn_ms = _SPARE_EVERY_MS * (1 + state.config.unit.number % _TURNS)
    turn_ms <<= min(state.spared_count, _MOST_DOUBLINGS)
    return state.now_ms - ownership.taken_ms > turn_ms


def _is_release_due(state: SchedulerState) -> bool:
    """Whether the unit is to be given up, and a try may be made now.

    Each try follows a renewal that was answered: a store that is silent would
    leave it open for seconds whether the unit is ours, and the unit without
    a decision meanwhile.
    """
    ownership = state.ownership
    is_wanted = bool(ownership.release_why) and ownership.phase in _OWNING
    return is_wanted and state.now_ms >= ownership.release_after_ms


def _release(context: Context) -> None:
    state = context.state
    ownership = state.ownership
    was_loaded = ownership.phase is Phase.ACTIVE
    # One that took in nothing has nothing to write over what was kept.
    is_learned = was_loaded and not state.is_without_advice
    unused_ms = state.now_ms - ownership.taken_ms
    ownership.released_from = ownership.phase
    ownership.phase = Phase.RELEASING
    context.log(
        'release unit',
        epoch=context.fencing_token,
        why=ownership.release_why,
    )
    context.emit(
        ReleaseLease(
            _make_lease(state, is_loaded=was_loaded, released=True),
            # What is not loaded must not be written over.
            _memory.make_record(state) if is_learned else None,
            _unseen.make_account(context) if was_loaded else None,
            state.ownership.epoch,
            state.ownership.epoch_version,
            None if was_loaded else unused_ms,
            ownership.lease_version,
        )
    )


def is_loaded(state: SchedulerState) -> bool:
    """Whether all that is durable of the unit is known, and followed."""
    ownership = state.ownership
    if ownership.phase is Phase.RELEASING:
        return ownership.released_from is Phase.ACTIVE
    return ownership.phase is Phase.ACTIVE


def _make_lease(
    state: SchedulerState, *, is_loaded: bool, released: bool = False
) -> LeaseRecord:
    if is_loaded:
        told = (count_waiting(state), _rooms.measure(state), False)
    else:
        told = _get_last_told(state.ownership)
    return LeaseRecord(
        state.config.session_id,
        state.config.instance_id,
        state.ownership.renewal_count,
        released,
        *told,
    )


def _get_last_told(
    ownership: Ownership,
) -> tuple[dict[str, int], UnitRoom, bool]:
    """Return what a lease tells of a unit that is still to be loaded.

    Until then the last owner's count of jobs is the newest there is. Of
    its room all stands but the places: nothing is started there yet.
    """
    if ownership.lease is None:
        return {}, UnitRoom(), True
    room = attrs.evolve(
        ownership.lease.room,
        largest_free=Resources(),
        places=(),
        short_places=(),
    )
    return ownership.lease.waiting, room, True


def count_waiting(state: SchedulerState) -> dict[str, int]:
    """Return how many jobs of each queue have no task begun."""
    waiting: dict[str, int] = {}
    for job in state.jobs.values():
        if _lifecycle.is_waiting(job):
            name = job.queue.name
            waiting[name] = waiting.get(name, 0) + 1
    return waiting


@handle.register
def _stop(event: StopRequested, context: Context) -> None:
    state = context.state
    ownership = state.ownership
    state.is_stopping = True
    if ownership.phase in _OWNING:
        ownership.release_why = _STOPS
        if not ownership.is_renewing:
            _renew(context)
    elif ownership.phase not in _UNDER_WAY:
        ownership.phase = Phase.LEFT


@handle.register
def _released(event: LeaseReleased, context: Context) -> None:
    ownership = context.state.ownership
    is_ours = event.epoch_version == ownership.epoch_version
    if ownership.phase is not Phase.RELEASING or not is_ours:
        return
    if event.is_done:
        _end_ownership(context)
    else:
        _keep_unit(event, context)


def _keep_unit(event: LeaseReleased, context: Context) -> None:
    """Go on deciding for a unit that could not be given up.

    If the release may still be done, nothing is ordered until a renewal has
    been: that one then keeps it from being done.
    """
    state = context.state
    ownership = state.ownership
    ownership.phase = ownership.released_from
    ownership.release_why = _STOPS if state.is_stopping else ''
    if event.lease_version:
        # A renewal of ours was done whose answer was lost or is to come.
        ownership.lease_version = event.lease_version
    else:
        ownership.release_after_ms = state.now_ms + _RELEASE_PAUSE_MS
    if event.is_unsure:
        ownership.must_confirm = True
        ownership.paused_ms = state.now_ms
    context.log(
        'unit kept',
        epoch=context.fencing_token,
        must_confirm=ownership.must_confirm,
    )
    if ownership.phase is Phase.LOADING:
        # What was loaded meanwhile was not taken in.
        context.emit(ForgetUnit())
        context.emit(LoadUnit())
