"""Tracks the unit's workers: list entries, leases, orders and loss.

Applies changes of the platform's worker list, renews the leases under which
workers run tasks, handles answers to start and stop orders, and releases the
runs of workers whose lease expired or whose incarnation ended.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _crashes,
    _incarnations,
    _interference,
    _lost_starts,
    _ownership,
    _pacing,
    _report_schedule,
    _start_window,
    _worker_leases,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import ForgetWorker, HoldWorker
from tulippin.jobs.events import (
    StartAnswered,
    StopAnswered,
    WorkersChanged,
    WorkerSilent,
)
from tulippin.jobs.state import Attempt, AttemptState, SchedulerState, Worker
from tulippin.jobs.types import OrderAnswer, OrderOutcome, WorkerEntry

# Pause between two calls to a worker that does not answer.
_SILENT_RETRY_PAUSE_MS: t.Final = 250
# Wait for an end in a call that grants less than the usual lease: the next one
# follows as soon as a longer lease may be granted.
_LIMITED_LEASE_WAIT_MS: t.Final = 50
# Pause before new starts on a worker that refused one: for lack of capacity,
# or for any other reason.
_NO_CAPACITY_PAUSE_MS: t.Final = 300
_REFUSED_START_PAUSE_MS: t.Final = 1000


@handle.register
def _handle_worker_list(event: WorkersChanged, context: Context) -> None:
    for entry in event.changed:
        apply_entry(entry, event.read_ms, context)
    for worker_id in event.gone:
        worker = context.state.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            context.log('worker unlisted', worker=worker_id)


def apply_entry(entry: WorkerEntry, read_ms: int, context: Context) -> None:
    """Apply a worker's entry on the platform's list.

    Parameters
    ----------
    entry : WorkerEntry
        The entry, of a worker that is known or new.
    read_ms : int
        When the read that returned the entry began.
    context : Context
        Collects effects and log lines.
    """
    state = context.state
    worker = state.workers.get(entry.worker_id)
    if worker is None:
        worker = _list_worker(Worker(entry), context)
    is_later = _is_of_later_start(entry, worker)
    if worker.is_superseded and is_later:
        returned = Worker(
            entry,
            is_rostered=worker.is_rostered,
            lease_expiry_ms=worker.lease_expiry_ms,
        )
        worker = _list_worker(returned, context)
    if worker.is_superseded or _is_of_earlier_start(entry, worker):
        # The list keeps an entry for three heartbeats after the worker ends.
        return
    is_elsewhere = worker.entry.address != entry.address
    if worker.is_rostered and is_elsewhere and not is_later:
        _reject_address_change(worker, entry, context)
        return
    if entry.draining and not is_later:
        _update_drain_deadline(worker, entry, context)
    if entry.capacity != worker.entry.capacity:
        _update_capacity(worker, entry, context)
    worker.entry = entry
    worker.entry_read_ms = read_ms
    worker.is_listed = True


def _list_worker(worker: Worker, context: Context) -> Worker:
    """Add a worker that is new, or back under the id of an ended one."""
    entry = worker.entry
    context.state.workers[entry.worker_id] = worker
    context.log(
        'worker listed',
        worker=entry.worker_id,
        address=entry.address,
        service=entry.service,
        born_ms=entry.born_ms,
    )
    return worker


def _is_of_later_start(entry: WorkerEntry, worker: Worker) -> bool:
    """Whether an entry is from a later incarnation than the known one."""
    return 0 < worker.known_born_ms < entry.born_ms


def _is_of_earlier_start(entry: WorkerEntry, worker: Worker) -> bool:
    """Whether an entry is from an earlier incarnation than the known one."""
    return 0 < entry.born_ms < worker.known_born_ms


def _update_capacity(
    worker: Worker, entry: WorkerEntry, context: Context
) -> None:
    """Apply a changed capacity and schedule a new placement round.

    Runs on the worker continue even if they exceed the new capacity.
    """
    _interference.invalidate_slack(worker)
    context.state.is_placing_due = True
    context.log(
        'worker capacity changed',
        worker=entry.worker_id,
        cpu_millicores=_get_millicores(entry),
        memory_mb=entry.capacity.memory_mb if entry.capacity else None,
        before_millicores=_get_millicores(worker.entry),
        reserved_millicores=worker.reserved.cpu_millicores,
    )


def _get_millicores(entry: WorkerEntry) -> int | None:
    return entry.capacity.cpu_millicores if entry.capacity else None


def _reject_address_change(
    worker: Worker, entry: WorkerEntry, context: Context
) -> None:
    """Ignore an entry that gives a rostered worker another address.

    An incarnation has one address. A process that answers at another address
    would report that this incarnation is over, and its tasks would be started
    a second time while they run. If the stored address is the wrong one, the
    worker is forgotten once nothing can run there, and then listed again.
    """
    if worker.is_listed:
        worker.is_listed = False
        context.log(
            'worker entry ignored: address differs',
            worker=entry.worker_id,
            address=entry.address,
            known=worker.entry.address,
        )


def _update_drain_deadline(
    worker: Worker, entry: WorkerEntry, context: Context
) -> None:
    """Store when a draining worker leaves: the earliest announced time."""
    leaves_at_ms = context.state.now_ms + entry.leaves_in_ms
    if worker.leaves_at_ms:
        worker.leaves_at_ms = min(worker.leaves_at_ms, leaves_at_ms)
        return
    worker.leaves_at_ms = leaves_at_ms
    context.log(
        'worker draining',
        worker=entry.worker_id,
        leaves_in_ms=entry.leaves_in_ms,
    )


# -- leases -----------------------------------------------------------------


def get_clock_ms(worker: Worker, state: SchedulerState) -> int:
    """Return a lower bound of the worker's current clock."""
    return state.now_ms + (worker.clock_offset_ms or 0)


def schedule_report(worker: Worker, context: Context) -> None:
    """Decide when a worker is asked for its next report after this one.

    Called once the report has been evaluated, as a changed pace or a stopped
    run makes the next one matter.
    """
    _report_schedule.begin_pause(worker, context.state)


def send_due_holds(context: Context) -> None:
    """Send a hold call to every worker that is due for one.

    A hold call renews the worker's lease and returns its next report.
    """
    if not context.may_send_orders:
        return
    for worker in context.state.workers.values():
        _hold_if_due(worker, context)


def _hold_if_due(worker: Worker, context: Context) -> None:
    """Send a hold call, unless one is open or none is needed."""
    state = context.state
    if worker.is_hold_in_flight or state.now_ms < worker.hold_after_ms:
        return
    if worker.is_superseded or not worker.is_rostered:
        return
    if not (
        _is_hold_needed(worker)
        or state.suspects
        or _ownership.is_unconfirmed(state)
    ):
        return
    if _report_schedule.is_paused(worker, state):
        return
    deadline_ms = None
    # A probe of a worker that does not answer must not renew its lease.
    is_answering = (
        worker.clock_offset_ms is not None and not worker.failed_count
    )
    if is_answering and _ownership.may_extend_leases(state):
        lease_ms = _worker_leases.limit_lease_ms(
            worker, state.config.worker_lease_ms, state
        )
        if lease_ms:
            deadline_ms = get_clock_ms(worker, state) + lease_ms
            _worker_leases.extend_lapse_time(worker, lease_ms, state)
    worker.is_hold_in_flight = True
    context.emit(
        HoldWorker(
            worker.worker_id,
            worker.entry.address,
            context.fencing_token,
            _take_acknowledgement(worker),
            deadline_ms,
            _choose_wait_ms(worker, state),
            _incarnations.get_expected(worker, state.now_ms, state),
        )
    )
    _count_call(worker, state)


def _count_call(worker: Worker, state: SchedulerState) -> None:
    """Count a call for a report by the reason for which it is sent now."""
    reason = _report_schedule.take_reason(worker, state)
    state.count(f'report_calls_{reason}')


def _take_acknowledgement(worker: Worker) -> int:
    """Return the number up to which to acknowledge ends now; 0 for none.

    A worker that has not answered may have started again, and the numbers of
    its ends with it. Its next report tells whether ends are left.
    """
    if not worker.needs_ack or worker.failed_count:
        return 0
    worker.needs_ack = False
    return worker.last_seen


def _is_hold_needed(worker: Worker) -> bool:
    """Whether the worker has runs, an unknown state or ends to acknowledge."""
    is_unknown = (
        not (worker.is_reconciled and worker.is_entry_current)
        or worker.failed_count > 0
    )
    has_ends = (
        worker.last_read_end_number > worker.last_seen or worker.needs_ack
    )
    has_runs = bool(worker.attempts or worker.orphaned_runs)
    return has_runs or is_unknown or has_ends


def _choose_wait_ms(worker: Worker, state: SchedulerState) -> int:
    """Return how long a hold call may wait at the worker for an end."""
    if not worker.is_reconciled or worker.failed_count:
        return 0
    wait_ms = _report_schedule.choose_wait_ms(worker, state)
    if worker.attempts and _worker_leases.is_limit_ending(worker, state):
        return min(wait_ms, _LIMITED_LEASE_WAIT_MS)
    return wait_ms


# -- unanswered calls ---------------------------------------------------------


@handle.register
def _handle_silence(event: WorkerSilent, context: Context) -> None:
    """Handle a hold call that failed, was fenced or met a new incarnation."""
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    worker.is_hold_in_flight = False
    if event.is_fenced:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    if event.is_replaced:
        _end_incarnation(worker, context)
        return
    worker.hold_after_ms = state.now_ms + _SILENT_RETRY_PAUSE_MS
    _note_failure(worker, event.reason, context)


def _note_failure(worker: Worker, reason: str, context: Context) -> None:
    """Count a call that the known incarnation of a worker didn't answer."""
    state = context.state
    worker.failed_count += 1
    if worker.failed_count == 1:
        state.count('workers_silent')
        context.log(
            'worker silent',
            worker=worker.worker_id,
            reason=reason,
            **_worker_leases.describe(worker, state),
        )
        _crashes.note_silence(worker, context)
        _drop_unsent_runs(worker, context)


def _drop_unsent_runs(worker: Worker, context: Context) -> None:
    """Release the runs that a silent worker wasn't ordered to start."""
    for attempt in list(worker.attempts.values()):
        if not attempt.is_ordered:
            _attempts.drop_unsent_attempt(
                attempt, context, 'its worker is silent'
            )


def _end_incarnation(worker: Worker, context: Context) -> None:
    """Mark a worker's incarnation as over and release its runs.

    Called when another incarnation answers at its address. The worker gets
    no further calls: one that had not answered before would be called again
    right after each answer until its last lease expired, 1,770 times a
    second for three workers, which saturates the owner's processor.
    """
    if worker.is_superseded:
        return
    _crashes.note_worker_crash(worker, context)
    _lost_starts.note_loss(worker, context.state)
    _release_runs(worker, context, 'its worker has a new incarnation')
    worker.is_superseded = True
    worker.is_listed = False
    worker.is_reconciled = True


def _release_runs(worker: Worker, context: Context, why: str) -> None:
    """Release all runs of a worker that is lost."""
    for attempt in list(worker.attempts.values()):
        if attempt.is_ordered and attempt.step.long_running:
            # It may have run even if no answer has confirmed it.
            _attempts.note_running(attempt, context)
        worker.unread_job_ids.add(attempt.key.job_id)
        _attempts.drop_lost_attempt(attempt, context, why)


# -- answers to orders --------------------------------------------------------


@handle.register
def _handle_start_answer(event: StartAnswered, context: Context) -> None:
    state = context.state
    _start_window.note_answered(event, state)
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    outcome = event.answer.outcome
    if outcome is OrderOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    if outcome.is_without_effect:
        # Its worker may have been taken for crashed meanwhile.
        _crashes.withdraw(event.key, event.run, context)
    attempt = worker.attempts.get((event.key, event.run))
    if not context.may_send_orders:
        context.log(
            'start answered while orders are suspended',
            task=event.key.format(),
            run=event.run,
            worker=event.worker_id,
            outcome=outcome.value,
            is_known=attempt is not None,
        )
    if attempt is None:
        return
    if not _incarnations.has_answered(
        worker, event.answer, attempt.sent_ms, state
    ):
        outcome = _note_next_incarnation(attempt, worker, event.answer, context)
    if attempt.state is not AttemptState.STARTING:
        return
    if outcome is OrderOutcome.STARTED:
        _note_started(attempt, worker, context)
        return
    state.count(f'starts_{outcome.value}')
    if outcome is OrderOutcome.UNKNOWN:
        _note_unanswered(attempt, worker, context)
        return
    _end_refused(attempt, worker, outcome, context)


def _note_next_incarnation(
    attempt: Attempt, worker: Worker, answer: OrderAnswer, context: Context
) -> OrderOutcome:
    """Note that the next incarnation of a worker has answered a start order.

    It has taken the deadline of the order, also if it refused the start.

    Returns
    -------
    OrderOutcome
        What the order came to for the known incarnation.
    """
    _incarnations.extend_lapse_time(worker, context.state)
    context.log(
        'start answered by the next incarnation',
        task=attempt.key.format(),
        run=attempt.run,
        worker=worker.worker_id,
        outcome=answer.outcome.value,
        clock_ms=answer.clock_ms,
        expected_ms=get_clock_ms(worker, context.state),
        **_worker_leases.describe(worker, context.state),
    )
    if answer.outcome is not OrderOutcome.STARTED:
        return OrderOutcome.RESTARTED
    _note_restart(attempt, worker, context)
    return OrderOutcome.UNKNOWN


def _end_refused(
    attempt: Attempt, worker: Worker, outcome: OrderOutcome, context: Context
) -> None:
    """End a run whose start was refused, or was not sent."""
    _attempts.drop_lost_attempt(
        attempt, context, f'start refused: {outcome.value}'
    )
    if outcome is OrderOutcome.RESTARTED:
        _note_restart(attempt, worker, context)
    elif outcome is OrderOutcome.OTHER_INCARNATION:
        _end_incarnation(worker, context)
    else:
        _pause_starts(worker, outcome, context.state)


def _note_started(attempt: Attempt, worker: Worker, context: Context) -> None:
    attempt.state = AttemptState.RUNNING
    attempt.seen_ms = context.state.now_ms
    attempt.last_progress_ms = context.state.now_ms
    _attempts.note_running(attempt, context)
    _pacing.send_if_changed(attempt, worker, context)


def _note_unanswered(
    attempt: Attempt, worker: Worker, context: Context
) -> None:
    """Have the worker's next report tell whether a run has started."""
    attempt.state = AttemptState.DOUBTFUL
    _report_schedule.end_pause(worker, _report_schedule.CallReason.OPEN_ORDER)
    context.log(
        'start unanswered',
        task=attempt.key.format(),
        run=attempt.run,
        worker=worker.worker_id,
    )


def _pause_starts(
    worker: Worker, outcome: OrderOutcome, state: SchedulerState
) -> None:
    """Pause new starts on a worker that refused one or wasn't reached."""
    pause_ms = _REFUSED_START_PAUSE_MS
    if outcome is OrderOutcome.NO_ROOM:
        pause_ms = _NO_CAPACITY_PAUSE_MS
    worker.paused_until_ms = state.now_ms + pause_ms


def _note_restart(attempt: Attempt, worker: Worker, context: Context) -> None:
    """Have a worker report at once that has restarted, unless that is known.

    The deadline of a start for an earlier incarnation is forgotten.
    """
    if not attempt.start_deadline_ms:
        return
    worker.hold_after_ms = 0
    _report_schedule.end_pause(worker, _report_schedule.CallReason.OPEN_ORDER)
    _note_failure(worker, 'another incarnation answers', context)


@handle.register
def _handle_stop_answer(event: StopAnswered, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.answer.outcome is OrderOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is not None and event.answer.outcome is OrderOutcome.STARTED:
        attempt.is_stop_confirmed = True
        attempt.seen_ms = state.now_ms


# -- time ---------------------------------------------------------------------


def tick(context: Context) -> None:
    """Release runs with an expired lease, repeat stops, drop lost workers."""
    if not context.may_send_orders:
        return
    state = context.state
    for worker in list(state.workers.values()):
        if worker.failed_count and state.now_ms > worker.lease_expiry_ms:
            _release_runs(worker, context, 'its lease expired')
        _attempts.repeat_stops(worker, context)
        if _is_forgettable(worker, state) and _crashes.are_starts_resolved(
            worker, state
        ):
            if worker.is_rostered and not worker.is_reconciled:
                state.lost_unconfirmed_workers.setdefault(
                    worker.worker_id, False
                )
            _lost_starts.note_loss(worker, state)
            context.log('worker removed', worker=worker.worker_id)
            del state.workers[worker.worker_id]
            context.emit(ForgetWorker(worker.worker_id))


def _is_forgettable(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker is off the list and nothing can run on it."""
    return not (
        worker.is_listed
        or worker.attempts
        or worker.is_hold_in_flight
        or state.now_ms <= worker.lease_expiry_ms
    )
