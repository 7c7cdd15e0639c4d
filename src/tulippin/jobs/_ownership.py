"""Ownership of the unit: watching, taking, renewing and releasing its lease.

The scheduler core calls ``tick`` at each tick; the registered handlers process
the answers of the store. An instance stands by while another one owns the
unit, and takes it over when the lease lapses or is released.
"""

from __future__ import annotations

import typing as t
import zlib

import attrs

from tulippin.jobs import (
    _backlog,
    _lifecycle,
    _model_store,
    _task_limits,
    _unconfirmed_runs,
    _unit_capacity,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._rounding import round_figure
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
from tulippin.jobs.load_cycles import LoadCycleModel
from tulippin.jobs.records import EpochRecord, LeaseRecord, UnitCapacity
from tulippin.jobs.state import (
    Ownership,
    Phase,
    Predecessor,
    SchedulerState,
)
from tulippin.jobs.store_clock import ClockReading
from tulippin.types import Resources

# Staggers the instances that take over a lapsed lease, so that most of them
# see the first success before they try; a transaction takes about 5 ms.
_TAKEOVER_JITTER_MS: t.Final = 200
# With a slow store the jitter spans this many answer times: transactions of
# instances that come second fail, and delay the writes of the first one.
_TAKEOVER_JITTER_ANSWERS: t.Final = 4
_MAX_ANSWER_MS: t.Final = 200
# Added to the delay for each unit per core, so that the largest instances
# with the fewest units go first.
_DELAY_PER_UNIT_PER_CORE_MS: t.Final = 200
_MIN_PROCESSOR_SHARE: t.Final = 0.1
# Above this load an instance releases its units one by one; less loaded
# instances have a shorter takeover delay. Half a core can carry one unit.
_MAX_UNITS_PER_CORE: t.Final = 2.5
_SHED_INTERVAL_MS: t.Final = 3000
# The same if its ticks come late by this. Every call waits for some ten turns
# of the loop, so that each run ends a tenth of a second late by then.
_MAX_TICK_DELAY_MS: t.Final = 10
# Worker leases that are extended later than this after the last renewal may
# outlast the wait of the next owner: 2 s and 6.5 s, less a lease of 4.5 s and
# its slack.
_MAX_UNCONFIRMED_MS: t.Final = 3500
_SHED_TURN_COUNT: t.Final = 7
_MAX_BACKOFF_DOUBLINGS: t.Final = 6
# The takeover delay of a released unit is this many times shorter.
_RELEASED_DELAY_DIVISOR: t.Final = 4
# Added for each unit per core above the load that a released lease names. The
# instances that are to go first may read it 0.45 s later.
_DELAY_ABOVE_LOAD_MS: t.Final = 500
_MAX_DELAY_ABOVE_LOAD_MS: t.Final = 700
# The takeover delay for each unit per core where a unit never had an owner.
# Instances read the first layout up to 0.3 s apart; with less between two
# takeovers, the first ones to read it would take all units.
_FIRST_DELAY_PER_UNIT_PER_CORE_MS: t.Final = 600
# A longer gap between two events means that the process was suspended: 20
# ticks fall into this time.
_MAX_EVENT_GAP_MS: t.Final = 1000
# Interval between two attempts to release the unit.
_RELEASE_RETRY_MS: t.Final = 300
_STOP_REASON: t.Final = 'the instance stops'
_OVERLOAD_REASON: t.Final = 'too many units here'

_OWNING_PHASES: t.Final = frozenset((Phase.LOADING, Phase.ACTIVE))
# A stop waits for these to end: a unit that is taken after the stop would
# never be released.
_TRANSITION_PHASES: t.Final = frozenset((Phase.TAKING, Phase.RELEASING))
# Rows that arrive during a takeover attempt are the input of the next one.
_WATCHING_PHASES: t.Final = frozenset((Phase.STANDING_BY, Phase.TAKING))


@handle.register
def _handle_lease_seen(event: LeaseSeen, context: Context) -> None:
    ownership = context.state.ownership
    if ownership.phase in _OWNING_PHASES and _is_succeeded(event, ownership):
        step_down(context, 'the rows of the unit have another owner')
        return
    if ownership.phase not in _WATCHING_PHASES:
        return
    if event.lease_version < ownership.lease_version:
        # A stale read that arrived late.
        return
    is_new = (event.lease_version, event.epoch_version) != (
        ownership.lease_version,
        ownership.epoch_version,
    )
    # Each epoch counts its renewals from zero.
    is_same_epoch = event.epoch_version == ownership.epoch_version
    if not is_same_epoch:
        ownership.epoch_seen_ms = event.at_ms
    is_outdated = is_same_epoch and _is_outdated(event.lease, ownership.lease)
    if not is_outdated:
        ownership.lease = event.lease
    ownership.lease_version = event.lease_version
    ownership.epoch = event.epoch
    ownership.epoch_version = event.epoch_version
    if (is_new and not is_outdated) or ownership.changed_ms < 0:
        ownership.changed_ms = event.at_ms
    if ownership.phase is Phase.STANDING_BY:
        _take_over_if_free(context)


def _is_succeeded(event: LeaseSeen, ownership: Ownership) -> bool:
    """Whether the rows show a later owner than this one."""
    if event.epoch is None or ownership.epoch is None:
        return False
    # An unreadable row counts as the highest epoch that it may hold.
    is_later_row = event.epoch_version > ownership.epoch_version
    return is_later_row and event.epoch.epoch > ownership.epoch.epoch


def _is_outdated(lease: LeaseRecord | None, known: LeaseRecord | None) -> bool:
    """Whether the lease is a renewal that the store applied late.

    Such a renewal doesn't show that the owner is alive: a store may apply a
    write up to 6 s after the owner has gone, and the unit would stay without
    an owner meanwhile.
    """
    if lease is None or known is None or lease.released != known.released:
        return False
    is_same = lease.session_id == known.session_id
    return is_same and lease.renewal_count <= known.renewal_count


def may_take_over(state: SchedulerState, now_ms: int) -> bool:
    """Whether a tick may make the instance take over its unit.

    While the owner's lease is younger than the shortest takeover delay, a
    tick changes nothing and can be skipped.
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


def _take_over_if_free(context: Context) -> None:
    """Take over the unit if it has no owner or its owner's lease lapsed."""
    state = context.state
    ownership = state.ownership
    lease = ownership.lease
    if ownership.changed_ms < 0:
        return
    silent_ms = state.now_ms - ownership.changed_ms
    if lease is None and ownership.lease_version:
        # A live owner overwrites the row with its next renewal.
        why = 'lease unreadable'
        wait_ms = state.config.lease_ms + _get_delay_ms(state)
    elif lease is None:
        why = 'never owned'
        wait_ms = _get_first_delay_ms(state)
    elif lease.released:
        why = 'released'
        wait_ms = _get_delay_ms(state, _RELEASED_DELAY_DIVISOR)
        wait_ms += _get_delay_above_load_ms(lease, state)
    elif lease.instance_id == state.config.instance_id:
        # An instance runs one process at a time, so the earlier process run
        # that holds the lease has ended.
        why = 'earlier process run'
        wait_ms = 0
    else:
        why = 'lapsed'
        wait_ms = state.config.lease_ms + _get_delay_ms(state)
    if silent_ms < wait_ms + ownership.takeover_delay_ms:
        return
    is_ended = lease is not None and (
        lease.released or lease.instance_id == state.config.instance_id
    )
    _begin_takeover(context, why, silent_ms, is_ended=is_ended)


def _get_delay_ms(state: SchedulerState, divisor: int = 1) -> int:
    """Return how long the instance waits before it takes a free unit."""
    lease = state.ownership.lease
    answer_ms = min(lease.answer_ms if lease else 0, _MAX_ANSWER_MS)
    jitter_ms = max(
        _TAKEOVER_JITTER_MS / divisor, _TAKEOVER_JITTER_ANSWERS * answer_ms
    )
    units_per_core = _get_claimed_per_core(state)
    load_delay_ms = _DELAY_PER_UNIT_PER_CORE_MS * (units_per_core - 1) / divisor
    return max(0, int(_get_jitter_share(state) * jitter_ms + load_delay_ms))


def _get_first_delay_ms(state: SchedulerState) -> int:
    """Return how long the instance waits before it is a unit's first owner.

    A single unit can't be shared between instances.
    """
    if not state.instance_load.other_count:
        return _get_delay_ms(state, _RELEASED_DELAY_DIVISOR)
    load_delay_ms = _FIRST_DELAY_PER_UNIT_PER_CORE_MS * _get_claimed_per_core(
        state
    )
    return int(_get_jitter_share(state) * _TAKEOVER_JITTER_MS + load_delay_ms)


def _get_delay_above_load_ms(lease: LeaseRecord, state: SchedulerState) -> int:
    """Return how long less loaded instances go first for a released unit."""
    if not lease.successor_load:
        return 0
    excess = _get_claimed_per_core(state) - lease.successor_load
    delay_ms = max(0, int(_DELAY_ABOVE_LOAD_MS * excess))
    return min(delay_ms, _MAX_DELAY_ABOVE_LOAD_MS)


def _get_jitter_share(state: SchedulerState) -> float:
    """Return this instance's share of the jitter for its unit, from 0 to 1."""
    config = state.config
    name = f'{config.instance_id}/{config.unit.number}'
    return zlib.crc32(name.encode()) % _TAKEOVER_JITTER_MS / _TAKEOVER_JITTER_MS


def _get_units_per_core(state: SchedulerState, other_count: int) -> float:
    """Return the units per core of the instance, this one and others."""
    share = max(state.config.processor_share, _MIN_PROCESSOR_SHARE)
    return (1 + other_count) / share


def _get_claimed_per_core(state: SchedulerState) -> float:
    """Return the units per core with this one and all that are claimed."""
    return _get_units_per_core(state, state.instance_load.claimed_count)


def _begin_takeover(
    context: Context, why: str, silent_ms: int, *, is_ended: bool
) -> None:
    """Try to take the unit, whose last owner may have ended."""
    state = context.state
    ownership = state.ownership
    ownership.predecessor = None
    if ownership.epoch is not None:
        ownership.predecessor = Predecessor(
            ownership.epoch, ownership.epoch_seen_ms, is_ended
        )
    ownership.attempted_epoch = _make_epoch(state)
    ownership.phase = Phase.TAKING
    ownership.attempted_lease_version = ownership.lease_version
    context.log(
        'take unit',
        why=why,
        silent_ms=silent_ms,
        epoch=ownership.attempted_epoch.epoch,
    )
    context.emit(
        TakeUnit(
            _make_lease(state, is_loaded=False),
            ownership.lease_version,
            ownership.attempted_epoch,
            ownership.epoch_version,
        )
    )


def _make_epoch(state: SchedulerState) -> EpochRecord:
    """Return the epoch that follows the last owner's."""
    last = state.ownership.predecessor
    if last is None:
        return EpochRecord(1, state.config.session_id, ended_since=1)
    epoch = last.epoch.epoch + 1
    ended_since = epoch
    if last.has_ended:
        ended_since = last.epoch.ended_since or last.epoch.epoch
    return EpochRecord(epoch, state.config.session_id, ended_since)


@handle.register
def _handle_unit_taken(event: UnitTaken, context: Context) -> None:
    state = context.state
    ownership = state.ownership
    state.store_clock.note(
        ClockReading(event.store_ms, event.sent_ms, event.at_ms)
    )
    if not event.version:
        ownership.phase = Phase.LEFT if state.is_stopping else Phase.STANDING_BY
        if ownership.lease_version == ownership.attempted_lease_version:
            # Another instance was first: its rows must be read before the
            # next attempt. If the outcome is unknown, the rows may never
            # change, so the wait starts again with the known ones; a unit
            # whose takeovers all failed would never be taken otherwise.
            ownership.changed_ms = event.at_ms if event.is_in_doubt else -1
        context.log(
            'unit takeover failed',
            epoch=event.epoch,
            is_unsure=event.is_in_doubt,
        )
        return
    ownership.phase = Phase.LOADING
    ownership.epoch = ownership.attempted_epoch or EpochRecord(
        event.epoch, state.config.session_id
    )
    ownership.epoch_version = event.version
    ownership.lease_version = event.version
    ownership.taken_ms = event.at_ms
    # Others count the lease from when the rows were written, which may be long
    # before the answer.
    ownership.renewed_ms = event.sent_ms
    ownership.take_sent_ms = event.sent_ms
    ownership.must_confirm = False
    ownership.is_renewing = False
    context.log('unit taken', epoch=event.epoch, version=event.version)
    if state.is_stopping:
        ownership.release_reason = _STOP_REASON
        _release(context)
        return
    context.emit(LoadUnit(ownership.load_number))


@handle.register
def _handle_lease_renewed(event: LeaseRenewed, context: Context) -> None:
    ownership = context.state.ownership
    context.state.store_clock.note(
        ClockReading(event.store_ms, event.sent_ms, event.at_ms)
    )
    if event.epoch_version != ownership.epoch_version:
        # Answers a renewal of an earlier epoch.
        return
    ownership.is_renewing = False
    if ownership.phase not in _OWNING_PHASES:
        return
    if event.is_fenced:
        step_down(context, 'the lease row has another owner')
        return
    if event.is_done:
        ownership.renewed_ms = max(ownership.renewed_ms, event.sent_ms)
        ownership.lease_version = event.version
        # A renewal that was sent before the process was suspended says
        # nothing about the time since.
        if (
            ownership.must_confirm
            and event.sent_ms >= ownership.confirm_after_ms
        ):
            context.log('ownership confirmed', epoch=context.fencing_token)
            ownership.must_confirm = False
        if _is_release_due(context.state) and not ownership.must_confirm:
            _release(context)


def step_down(context: Context, reason: str) -> None:
    """End the ownership at once, as another instance owns the unit."""
    context.log('step down', reason=reason, epoch=context.fencing_token)
    _end_ownership(context)


def _end_ownership(context: Context) -> None:
    """Clear the unit and stand by for it again, unless stopping."""
    state = context.state
    clear_unit(state)
    state.ownership = Ownership(changed_ms=state.now_ms)
    # Leaves the unit to other instances first.
    state.ownership.takeover_delay_ms = state.config.lease_ms
    if state.is_stopping:
        state.ownership.phase = Phase.LEFT
    context.emit(ForgetUnit())


def clear_unit(state: SchedulerState) -> None:
    """Clear the state that only the owner of the unit holds."""
    _clear_crashes(state)
    _clear_jobs(state)
    _clear_workers(state)
    _clear_ready(state)
    state.unconfirmed_until_ms = 0
    state.is_unlisted_lapse_certain = False
    state.are_earlier_runs_confirmed = False
    state.inherited_ids = frozenset()
    state.has_reached_half = True
    state.advisory_paused_until_ms = 0
    state.advisory_pause_ms = 0
    state.advice_asked.clear()
    _clear_observed(state)
    state.dirty_jobs.clear()
    _clear_commits(state)


def _clear_jobs(state: SchedulerState) -> None:
    state.jobs.clear()
    state.unreadable_jobs.clear()
    state.early_cancels_ms.clear()


def _clear_observed(state: SchedulerState) -> None:
    state.tails.clear()
    state.swings = LoadCycleModel()
    state.short_demands.clear()
    state.queue_kinds.clear()
    state.completed_work.clear()
    state.is_demand_inherited = False
    state.uncrowded_ms.clear()
    state.cached_largest_new.clear()


def _clear_workers(state: SchedulerState) -> None:
    state.workers.clear()
    state.seen_workers.clear()
    state.workers_noted_since_ms = 0


def _clear_ready(state: SchedulerState) -> None:
    state.ready.clear()
    state.ready_opportunistic.clear()
    state.scheduled.clear()
    state.rerouted.clear()


def _clear_commits(state: SchedulerState) -> None:
    state.roster = {}
    state.roster_births_ms = {}
    state.roster_bounds = None
    state.unlisted_until_ms = 0
    state.ungranted_ids = set()
    state.lease_limits_ms = {}
    state.roster_version = 0
    state.is_committing = False
    state.is_roster_committing = False
    state.refused_roster = None
    state.is_model_committing = False


def _clear_crashes(state: SchedulerState) -> None:
    state.suspects.clear()
    state.unsent_starts.clear()
    state.lost_unconfirmed_workers.clear()
    state.lost_starts = None


def note_suspension(context: Context, gap_ms: int) -> None:
    """Require a confirmed renewal after the process was suspended.

    Parameters
    ----------
    context : Context
        The state and its effects.
    gap_ms : int
        Time between the last two events.
    """
    ownership = context.state.ownership
    if ownership.phase in _OWNING_PHASES and gap_ms > _MAX_EVENT_GAP_MS:
        ownership.must_confirm = True
        ownership.confirm_after_ms = context.state.now_ms + gap_ms
        context.log(
            'process suspended', gap_ms=gap_ms, epoch=context.fencing_token
        )


def is_unconfirmed(state: SchedulerState) -> bool:
    """Whether another instance may have taken over the unit.

    While the store is unavailable, only the workers that a successor has
    reached report it, so all workers are synchronized, including idle ones.
    An owner that synchronizes only workers with tasks goes on extending
    leases on workers that its successor can't reach and takes for lapsed.
    """
    return state.now_ms - state.ownership.renewed_ms > state.config.lease_ms


def may_extend_leases(state: SchedulerState) -> bool:
    """Whether runs may be started, and worker leases extended.

    A successor treats the runs of a silent worker as lapsed 6.5 s after the
    takeover, which is 2 s or more after this owner's last renewal. An owner
    whose renewals aren't confirmed goes on while it reaches more than half of
    its workers, as the store may be unavailable to all instances: a successor
    reaches at least one of these workers, which then reports the new epoch.
    Only calls that were sent in this time count: answers and failures may wait
    in the inbox of an overloaded instance while its ticks go on.
    """
    since_ms = state.now_ms - _MAX_UNCONFIRMED_MS
    if state.ownership.renewed_ms >= since_ms:
        return True
    rostered = [
        worker
        for worker in state.workers.values()
        if worker.is_rostered and not worker.is_superseded
    ]
    reached_count = sum(
        worker.confirmed_ms >= since_ms and not worker.failed_count
        for worker in rostered
    )
    return 2 * reached_count > len(rostered)


def tick(context: Context) -> None:
    """Take over the unit if it is free, or renew the lease if owned."""
    state = context.state
    ownership = state.ownership
    if ownership.phase is Phase.STANDING_BY:
        _take_over_if_free(context)
        return
    if _should_shed_unit(state):
        state.overload_release_count += 1
        ownership.release_reason = _OVERLOAD_REASON
    if ownership.phase not in _OWNING_PHASES or ownership.is_renewing:
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


def _should_shed_unit(state: SchedulerState) -> bool:
    """Whether an overloaded instance should release the unit to another."""
    ownership = state.ownership
    if ownership.phase is not Phase.ACTIVE or ownership.release_reason:
        return False
    if not _is_overloaded(state) or ownership.must_confirm:
        return False
    # Staggered by unit number, so that units are released one at a time, and
    # with backoff, as a release doesn't help if all instances are overloaded.
    turn = 0
    if state.instance_load.held_count:
        turn = state.config.unit.number % _SHED_TURN_COUNT
    delay_ms = _SHED_INTERVAL_MS * (1 + turn)
    delay_ms <<= min(state.overload_release_count, _MAX_BACKOFF_DOUBLINGS)
    return state.now_ms - ownership.taken_ms > delay_ms


def _is_overloaded(state: SchedulerState) -> bool:
    """Whether the instance has more units than it should.

    An instance with a late loop keeps its only unit unless another owner would
    have fewer units per core with it.
    """
    load = state.instance_load
    units_per_core = _get_units_per_core(state, load.held_count)
    is_late = load.tick_delay_ms >= _MAX_TICK_DELAY_MS
    if load.held_count:
        return is_late or units_per_core > _MAX_UNITS_PER_CORE
    return is_late and load.lowest_other_load < units_per_core


def _is_release_due(state: SchedulerState) -> bool:
    """Whether a release is wanted and may be attempted now.

    Each attempt follows an answered renewal. With an unresponsive store, the
    release would stay in doubt for seconds, and no decisions are made for the
    unit meanwhile.
    """
    ownership = state.ownership
    is_wanted = (
        bool(ownership.release_reason) and ownership.phase in _OWNING_PHASES
    )
    return is_wanted and state.now_ms >= ownership.release_after_ms


def _release(context: Context) -> None:
    state = context.state
    ownership = state.ownership
    was_loaded = ownership.phase is Phase.ACTIVE
    # Without restored models there is nothing newer than the stored ones.
    has_models = was_loaded and not state.is_without_advice
    held_ms = state.now_ms - ownership.taken_ms
    ownership.phase_before_release = ownership.phase
    ownership.phase = Phase.RELEASING
    context.log(
        'release unit',
        epoch=context.fencing_token,
        why=ownership.release_reason,
        runs=_unconfirmed_runs.count_runs(state),
    )
    context.emit(
        ReleaseLease(
            _make_lease(state, is_loaded=was_loaded, released=True),
            # Rows that were not loaded must not be overwritten.
            _model_store.make_record(state) if has_models else None,
            _unconfirmed_runs.make_account(context) if was_loaded else None,
            state.ownership.epoch,
            state.ownership.epoch_version,
            None if was_loaded else held_ms,
            ownership.lease_version,
        )
    )


def is_loaded(state: SchedulerState) -> bool:
    """Whether the unit's durable state is loaded and its feed is followed."""
    ownership = state.ownership
    if ownership.phase is Phase.RELEASING:
        return ownership.phase_before_release is Phase.ACTIVE
    return ownership.phase is Phase.ACTIVE


def _make_lease(
    state: SchedulerState, *, is_loaded: bool, released: bool = False
) -> LeaseRecord:
    if is_loaded:
        published = (count_waiting(state), _unit_capacity.measure(state), False)
    else:
        published = _get_last_published(state.ownership)
    return LeaseRecord(
        state.config.session_id,
        state.config.instance_id,
        state.ownership.renewal_count,
        released,
        *published,
        backlogs=_backlog.measure(state) if is_loaded else None,
        processor_share=round_figure(state.config.processor_share),
        successor_load=round_figure(_get_successor_load(state)),
        task_count=(
            _task_limits.count_kept(state)
            if is_loaded
            else _task_limits.get_published(state.ownership.lease)
        ),
    )


def _get_successor_load(state: SchedulerState) -> float:
    """Return the units per core that a successor should not exceed, if any.

    Instances without units are not known. One as large as this one is assumed
    to have none.
    """
    if state.ownership.release_reason != _OVERLOAD_REASON:
        return 0.0
    own_load = _get_units_per_core(state, 0)
    return min(own_load, state.instance_load.lowest_other_load)


def _get_last_published(
    ownership: Ownership,
) -> tuple[dict[str, int], UnitCapacity, bool]:
    """Return the lease fields to publish for a unit that isn't loaded yet.

    The last owner's count of waiting jobs is the most recent one. Its
    capacity is kept except for the fit counts, as nothing can be started
    before the unit is loaded.
    """
    if ownership.lease is None:
        return {}, UnitCapacity(), True
    room = attrs.evolve(
        ownership.lease.room,
        largest_free=Resources(),
        places=(),
        short_places=(),
    )
    return ownership.lease.waiting, room, True


def count_waiting(state: SchedulerState) -> dict[str, int]:
    """Return the number of jobs without a started task, by queue name."""
    waiting: dict[str, int] = {}
    for job in state.jobs.values():
        if _lifecycle.is_waiting(job):
            name = job.queue.name
            waiting[name] = waiting.get(name, 0) + 1
    return waiting


@handle.register
def _handle_stop_requested(event: StopRequested, context: Context) -> None:
    state = context.state
    ownership = state.ownership
    state.is_stopping = True
    if ownership.phase in _OWNING_PHASES:
        ownership.release_reason = _STOP_REASON
        if not ownership.is_renewing:
            _renew(context)
    elif ownership.phase not in _TRANSITION_PHASES:
        ownership.phase = Phase.LEFT


@handle.register
def _handle_lease_released(event: LeaseReleased, context: Context) -> None:
    ownership = context.state.ownership
    is_same_epoch = event.epoch_version == ownership.epoch_version
    if ownership.phase is not Phase.RELEASING or not is_same_epoch:
        return
    if event.is_done:
        _end_ownership(context)
    else:
        _resume_ownership(event, context)


def _resume_ownership(event: LeaseReleased, context: Context) -> None:
    """Resume the ownership of a unit that could not be released.

    If the release may still be applied, no orders are sent until a renewal
    succeeds: the conditions of the release fail from then on.
    """
    state = context.state
    ownership = state.ownership
    ownership.phase = ownership.phase_before_release
    ownership.release_reason = _STOP_REASON if state.is_stopping else ''
    if event.lease_version:
        # A renewal of this owner was applied whose answer is lost or late.
        ownership.lease_version = event.lease_version
    else:
        ownership.release_after_ms = state.now_ms + _RELEASE_RETRY_MS
    if event.is_in_doubt:
        ownership.must_confirm = True
        ownership.confirm_after_ms = state.now_ms
    context.log(
        'unit kept',
        epoch=context.fencing_token,
        must_confirm=ownership.must_confirm,
    )
    if ownership.phase is Phase.LOADING:
        # The result of a load that ended meanwhile is ignored, as its changes
        # aren't followed.
        ownership.load_number += 1
        context.emit(ForgetUnit())
        context.emit(LoadUnit(ownership.load_number))
