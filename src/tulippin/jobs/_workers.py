"""The unit's workers: their leases, answers to orders, and their loss."""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _crashes,
    _interference,
    _ownership,
    _pacing,
    _trials,
    _unseen,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import ForgetWorker, HoldWorker
from tulippin.jobs.events import (
    StartAnswered,
    StopAnswered,
    WorkersChanged,
    WorkerSilent,
)
from tulippin.jobs.state import AttemptState, SchedulerState, Worker
from tulippin.jobs.types import StartOutcome, WorkerEntry

# How long a hold waits at the worker for an end: with nothing special,
# where tasks share processors (the tail is looked at), and where an
# order's fate is open.
_CALM_WAIT_MS: t.Final = 1000
_SHARED_WAIT_MS: t.Final = 400
_OPEN_WAIT_MS: t.Final = 150
_OPEN_STATES: t.Final = frozenset(
    (AttemptState.DOUBTFUL, AttemptState.STOPPING)
)
# Between two tries at a silent worker.
_SILENT_PAUSE_MS: t.Final = 250
# A worker that refused for want of room is left alone so long.
_NO_ROOM_PAUSE_MS: t.Final = 300
_UNHEALTHY_PAUSE_MS: t.Final = 1000


@handle.register
def _change_workers(event: WorkersChanged, context: Context) -> None:
    for entry in event.changed:
        note_entry(entry, event.read_ms, context)
    for worker_id in event.gone:
        worker = context.state.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            context.log('worker gone', worker=worker_id)


def note_entry(entry: WorkerEntry, read_ms: int, context: Context) -> None:
    """Take in a worker's entry on the platform's list.

    Parameters
    ----------
    entry : WorkerEntry
        The entry.
    read_ms : int
        When its reading began.
    context : Context
        Takes what is decided.
    """
    state = context.state
    worker = state.workers.get(entry.worker_id)
    if worker is None:
        worker = state.workers[entry.worker_id] = Worker(entry)
        context.log(
            'worker listed',
            worker=entry.worker_id,
            address=entry.address,
            service=entry.service,
        )
    if worker.is_over:
        # An entry stays for three heartbeats after its worker's end.
        return
    if worker.is_rostered and worker.entry.address != entry.address:
        _refuse_move(worker, entry, context)
        return
    if entry.draining:
        _note_drain(worker, entry, context)
    if entry.capacity != worker.entry.capacity:
        _note_room(worker, entry, context)
    worker.entry = entry
    worker.entry_ms = read_ms
    worker.is_listed = True


def _note_room(worker: Worker, entry: WorkerEntry, context: Context) -> None:
    """Note that a worker has another room: less may fit, or more.

    What runs there goes on, also where it takes more than that by now.
    """
    _interference.forget_view(worker)
    context.state.is_placing_due = True
    context.log(
        'worker room changed',
        worker=entry.worker_id,
        cpu_millicores=_get_millicores(entry),
        memory_mb=entry.capacity.memory_mb if entry.capacity else None,
        before_millicores=_get_millicores(worker.entry),
        reserved_millicores=worker.reserved.cpu_millicores,
    )


def _get_millicores(entry: WorkerEntry) -> int | None:
    return entry.capacity.cpu_millicores if entry.capacity else None


def _refuse_move(worker: Worker, entry: WorkerEntry, context: Context) -> None:
    """Pass over an entry by which a worker's life has moved.

    An id stands for one life, at one address. Whatever answers at another
    one would say that this life is over, and what it runs would be started
    beside itself. If it is the known address that is wrong, the worker is
    forgotten once nothing can run there, and then listed anew.
    """
    if worker.is_listed:
        worker.is_listed = False
        context.log(
            'worker at another address',
            worker=entry.worker_id,
            address=entry.address,
            known=worker.entry.address,
        )


def _note_drain(worker: Worker, entry: WorkerEntry, context: Context) -> None:
    """Note when a worker leaves: no later than any of its entries says."""
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
    """Return the worker's clock by now, or less."""
    return state.now_ms + (worker.clock_offset_ms or 0)


def hold_all(context: Context) -> None:
    """Ask every worker whose turn it is."""
    if not context.may_order:
        return
    for worker in context.state.workers.values():
        _hold_if_due(worker, context)


def _hold_if_due(worker: Worker, context: Context) -> None:
    state = context.state
    if worker.is_holding or state.now_ms < worker.hold_after_ms:
        return
    if worker.is_over or not worker.is_rostered:
        return
    if not (
        _is_hold_needed(worker)
        or state.suspects
        or _ownership.is_unconfirmed(state)
    ):
        return
    deadline_ms = None
    # A probe of a silent worker must not prolong what it runs.
    is_heard = worker.clock_offset_ms is not None and not worker.failed_count
    if is_heard and _ownership.may_prolong(state):
        lasting_ms = state.config.worker_lease_ms
        deadline_ms = get_clock_ms(worker, state) + lasting_ms
        _unseen.extend_lapse(worker, lasting_ms, state)
    worker.is_holding = True
    worker.needs_ack = False
    context.emit(
        HoldWorker(
            worker.worker_id,
            worker.entry.address,
            context.fencing_token,
            worker.last_seen,
            deadline_ms,
            _choose_wait_ms(worker),
        )
    )


def _is_hold_needed(worker: Worker) -> bool:
    """Whether anything runs there, or is to be learned or told."""
    is_unknown = not worker.is_reconciled or worker.failed_count > 0
    has_ends = worker.ends_read > worker.last_seen or worker.needs_ack
    has_runs = bool(worker.attempts or worker.strays)
    return has_runs or is_unknown or has_ends


def _choose_wait_ms(worker: Worker) -> int:
    if not worker.is_reconciled or worker.failed_count:
        return 0
    if worker.strays or _trials.has_trials(worker):
        return _OPEN_WAIT_MS
    for attempt in worker.attempts.values():
        if attempt.state in _OPEN_STATES:
            return _OPEN_WAIT_MS
    is_shared = worker.serving and worker.fillers
    return _SHARED_WAIT_MS if is_shared else _CALM_WAIT_MS


# -- silence ----------------------------------------------------------------


@handle.register
def _note_silence(event: WorkerSilent, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    worker.is_holding = False
    if event.is_fenced:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    if event.is_replaced:
        _end_life(worker, context)
        return
    worker.failed_count += 1
    worker.hold_after_ms = state.now_ms + _SILENT_PAUSE_MS
    if worker.failed_count == 1:
        state.count('workers_silent')
        context.log(
            'worker silent', worker=worker.worker_id, reason=event.reason
        )
        _crashes.note_silence(worker, context)


def _end_life(worker: Worker, context: Context) -> None:
    """Take a worker's life as over: another one was met at its address.

    Nothing is asked of it any more. One that had been silent before was asked
    again at once after each answer until its last lease was over, 1,770 times
    a second for three of them, which took all of an owner's processor.
    """
    if worker.is_over:
        return
    _crashes.note_end_of_life(worker, context)
    _lose(worker, context, 'its worker has a new life')
    worker.is_over = True
    worker.is_listed = False
    worker.is_reconciled = True


def _lose(worker: Worker, context: Context, why: str) -> None:
    for attempt in list(worker.attempts.values()):
        if attempt.is_ordered and attempt.step.long_running:
            # It may have been there though no answer told of it.
            _attempts.note_running(attempt, context)
        _attempts.release(attempt, context, why)


# -- answers to orders --------------------------------------------------------


@handle.register
def _take_start(event: StartAnswered, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    outcome = event.answer.outcome
    if outcome is StartOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is None or attempt.state is not AttemptState.STARTING:
        return
    if outcome is StartOutcome.STARTED:
        attempt.state = AttemptState.RUNNING
        attempt.seen_ms = state.now_ms
        attempt.worked_ms = state.now_ms
        _attempts.note_running(attempt, context)
        _pacing.send_if_changed(attempt, worker, context)
        return
    state.count(f'starts_{outcome.value}')
    if outcome is StartOutcome.UNKNOWN:
        attempt.state = AttemptState.DOUBTFUL
        context.log(
            'start unanswered',
            task=event.key.format(),
            run=event.run,
            worker=event.worker_id,
        )
        return
    if outcome is StartOutcome.NO_ROOM:
        worker.paused_until_ms = state.now_ms + _NO_ROOM_PAUSE_MS
    elif outcome is not StartOutcome.OTHER_LIFE:
        worker.paused_until_ms = state.now_ms + _UNHEALTHY_PAUSE_MS
    _attempts.release(attempt, context, f'start refused: {outcome.value}')
    if outcome is StartOutcome.OTHER_LIFE:
        _end_life(worker, context)


@handle.register
def _take_stop(event: StopAnswered, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.answer.outcome is StartOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is not None and event.answer.outcome is StartOutcome.STARTED:
        attempt.stop_is_settled = True
        attempt.seen_ms = state.now_ms


# -- time ---------------------------------------------------------------------


def tick(context: Context) -> None:
    """Give up what lapsed; repeat stops; forget workers that are gone."""
    if not context.may_order:
        return
    state = context.state
    for worker in list(state.workers.values()):
        if worker.failed_count and state.now_ms > worker.lapse_at_ms:
            _lose(worker, context, 'its lease lapsed')
        _attempts.stop_again(worker, context)
        if _is_forgettable(worker, state):
            if worker.is_rostered and not worker.is_reconciled:
                state.lost_unread.setdefault(worker.worker_id, False)
            context.log('worker forgotten', worker=worker.worker_id)
            del state.workers[worker.worker_id]
            context.emit(ForgetWorker(worker.worker_id))


def _is_forgettable(worker: Worker, state: SchedulerState) -> bool:
    return not (
        worker.is_listed
        or worker.attempts
        or worker.is_holding
        or state.now_ms <= worker.lapse_at_ms
    )
