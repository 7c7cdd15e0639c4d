"""Protocol with the workers of owned cells.

Sends syncs with leases, starts and stops, reconciles the reports with the
cell's ledger, and ends the attempts of lost workers.
"""

from __future__ import annotations

import typing as t

from tulippin import _interference_control, _requests, _worker_state
from tulippin import effects as fx
from tulippin._context import Context
from tulippin._dispatch import handle
from tulippin._unit_release import drop_unit
from tulippin.events import WorkerFailed, WorkerSynced
from tulippin.ledger import AttemptEntry
from tulippin.records import AttemptEnded
from tulippin.state import (
    CellState,
    Phase,
    Standing,
    WorkerState,
)
from tulippin.types import (
    JobKind,
    TaskOutcome,
)
from tulippin.worker_types import (
    AttemptKey,
    RunReport,
    RunState,
    StartTask,
    WorkerReport,
    WorkerSync,
)

_SYNC_RETRY_DELAY_MS = 500

_OUTCOMES: t.Final = {
    RunState.DONE: TaskOutcome.DONE,
    RunState.FAILED: TaskOutcome.FAILED,
    RunState.STOPPED: TaskOutcome.EVICTED,
    RunState.LAPSED: TaskOutcome.LOST,
}


def tick_cell(context: Context, cell: CellState) -> None:
    """Sync the workers that are due, drain leaving and end lost ones."""
    for worker in cell.workers.values():
        if _is_due(context, worker):
            send_sync(context, cell, worker)
        if _is_lapsed(context, worker):
            _mark_lost(context, cell, worker)
        elif (
            _worker_state.is_leaving(worker, context.state.config.seams)
            and context.may_act
        ):
            _drain_worker(context, cell, worker)


def _is_due(context: Context, worker: WorkerState) -> bool:
    """Return whether a worker is due for a sync.

    Starts of ordinary work are batched for ``sync_gap_ms``, because each
    sync costs a report of everything that the worker holds.
    """
    if worker.needs_urgent_sync or context.now_ms >= worker.next_sync_ms:
        return True
    gap_ms = context.state.config.sync_gap_ms
    return worker.needs_sync and context.now_ms >= worker.sync_sent_ms + gap_ms


def _is_lapsed(context: Context, worker: WorkerState) -> bool:
    if worker.lost or _worker_state.is_responsive(context, worker):
        return False
    if not context.state.config.seams.lease_wait:
        return context.may_act
    if not context.may_act or context.now_ms < worker.lapse_ms:
        return False
    # The silence may come from a pause of this instance, so the worker counts
    # as lost only if a sync sent after the lapse fails too.
    confirmed = worker.failed_sync_sent_ms >= worker.lapse_ms
    return confirmed or not worker.info.address


def _mark_lost(context: Context, cell: CellState, worker: WorkerState) -> None:
    """End the attempts of a worker whose leases have all lapsed."""
    worker.lost = True
    context.state.counters['workers_lost'] += 1
    for task_id in sorted(worker.attempts):
        entry = cell.ledger.attempts.get(task_id)
        if entry is not None and entry.outcome is None:
            record_outcome(context, cell, entry, TaskOutcome.LOST)
    if worker.absent and not worker.attempts:
        worker.next_sync_ms = context.now_ms


def _drain_worker(
    context: Context, cell: CellState, worker: WorkerState
) -> None:
    """Evict a leaving worker's batch work, and services without requests."""
    busy = bool(worker.dispatched)
    for task_id in worker.started - set(worker.stopping):
        entry = cell.ledger.attempts.get(task_id)
        if entry is None or entry.outcome is not None:
            continue
        if entry.spec.kind is JobKind.BATCH or not busy:
            _worker_state.evict(context, cell, worker, task_id)


def send_sync(context: Context, cell: CellState, worker: WorkerState) -> None:
    """Send a worker its leases, starts and stops.

    At most one sync to a worker is in flight.
    """
    config = context.state.config
    if worker.sync_in_flight or not worker.info.address:
        return
    if not context.may_serve:
        return
    worker.needs_sync = worker.needs_urgent_sync = False
    worker.sequence += 1
    worker.sync_in_flight = worker.sequence
    worker.sync_sent_ms = context.now_ms
    worker.next_sync_ms = context.now_ms + config.sync_every_ms
    context.emit(
        fx.SyncWorker(worker.info.address, _make_sync(context, cell, worker))
    )


def _make_sync(
    context: Context, cell: CellState, worker: WorkerState
) -> WorkerSync:
    config = context.state.config
    lease_until_ms = 0
    if worker.last_reply_ms >= 0:
        lease_until_ms = worker.clock_ms + config.worker_lease_ms
    renew: list[AttemptKey] = []
    start: list[StartTask] = []
    stop = [AttemptKey(*key) for key in sorted(worker.orphaned_attempts)]
    for entry in _iter_unfinished(cell, worker):
        task_id = entry.task.task_id
        key = AttemptKey(task_id, entry.task.attempt)
        if task_id in worker.stopping and len(stop) < config.stops_per_sync:
            stop.append(key)
        elif task_id in worker.started or worker.last_reply_ms < 0:
            renew.append(key)
        elif task_id not in worker.stopping:
            start.append(_make_start(entry))
    if not context.may_act:
        # Detached: renew running attempts, but start and stop none.
        start, stop = [], []
    return WorkerSync(
        worker.worker_id,
        cell.epoch,
        worker.sequence,
        lease_until_ms,
        worker.incarnation,
        tuple(renew),
        tuple(start),
        tuple(stop),
        tuple(_iter_throttled(cell, worker)),
        tuple(AttemptKey(*key) for key in sorted(worker.forgotten_attempts)),
    )


def _iter_unfinished(
    cell: CellState, worker: WorkerState
) -> t.Iterator[AttemptEntry]:
    """Yield the unfinished attempts of a worker that are not ending."""
    for task_id in sorted(worker.attempts):
        entry = cell.ledger.attempts.get(task_id)
        if entry is None or entry.outcome is not None:
            continue
        if cell.ending_attempts.get(task_id) != entry.task.attempt:
            yield entry


def _iter_throttled(
    cell: CellState, worker: WorkerState
) -> t.Iterator[AttemptKey]:
    for task_id in sorted(worker.throttled):
        entry = cell.ledger.attempts.get(task_id)
        if entry is not None:
            yield AttemptKey(task_id, entry.task.attempt)


def _make_start(entry: AttemptEntry) -> StartTask:
    return StartTask(
        entry.task.task_id,
        entry.task.attempt,
        entry.spec.job_class,
        entry.spec.kind is JobKind.SERVICE,
        entry.reserved,
        entry.spec.run_ms,
        entry.checkpoint,
    )


@handle.register
def _(event: WorkerFailed, context: Context) -> None:
    found = _worker_state.find_worker(context, event.worker_id)
    if found is None:
        return
    cell, worker = found
    if event.refused and event.epoch == cell.epoch:
        # The worker has seen a higher epoch: this owner is fenced.
        if context.state.config.seams.fencing:
            context.state.counters['cells_fenced'] += 1
            drop_unit(context, cell)
            context.state.session.next_poll_ms = context.now_ms
        return
    if event.epoch == cell.epoch and event.sequence == worker.sync_in_flight:
        worker.sync_in_flight = 0
        worker.failed_sync_sent_ms = worker.sync_sent_ms
        worker.next_sync_ms = context.now_ms + _SYNC_RETRY_DELAY_MS


@handle.register
def _(event: WorkerSynced, context: Context) -> None:
    found = _worker_state.find_worker(context, event.worker_id)
    if found is None:
        return
    cell, worker = found
    if event.epoch != cell.epoch or event.sequence != worker.sync_in_flight:
        return
    worker.sync_in_flight = 0
    _record_reply(context, worker, event.report)
    _update_foreign_busy(worker, event.report)
    if cell.phase is Phase.ACTIVE and context.may_act:
        _reconcile(context, cell, worker, event.report)
    elif context.state.session.standing is Standing.DETACHED:
        _remove_ended_endpoints(cell, worker, event.report)
    _requests.dispatch_to_worker(context, cell, worker)
    if worker.needs_urgent_sync:
        send_sync(context, cell, worker)


def _record_reply(
    context: Context, worker: WorkerState, report: WorkerReport
) -> None:
    first = worker.last_reply_ms < 0
    worker.last_reply_ms = context.now_ms
    worker.lapse_ms = context.now_ms + _worker_state.get_lease_bound_ms(context)
    worker.clock_ms = report.clock_ms
    worker.leaving = report.leaving
    worker.lost = False
    if first:
        worker.foreign_busy = report.busy_slots
        worker.needs_urgent_sync = True


def _update_foreign_busy(worker: WorkerState, report: WorkerReport) -> None:
    """Estimate the slots held by requests that are not tracked here.

    These are requests of a former owner or ones whose answer was lost.
    The estimate only shrinks here: busy slots beyond the requests that
    were certainly running when the sync was sent are the upper bound.
    """
    certain = sum(
        sent_ms < worker.sync_sent_ms for sent_ms in worker.dispatched.values()
    )
    bound = max(0, report.busy_slots - certain)
    worker.foreign_busy = min(worker.foreign_busy, bound)


def _reconcile(
    context: Context,
    cell: CellState,
    worker: WorkerState,
    report: WorkerReport,
) -> None:
    """Reconcile a worker's report with the cell's ledger."""
    worker.incarnation = report.incarnation
    worker.orphaned_attempts.clear()
    worker.forgotten_attempts.clear()
    reported = set()
    for run in report.runs:
        reported.add(run.task_id)
        _reconcile_run(context, cell, worker, run)
    for task_id in sorted(worker.attempts - reported):
        _reconcile_missing(context, cell, worker, task_id)
    _interference_control.learn_from_report(context, cell, worker, report)


def _reconcile_run(
    context: Context, cell: CellState, worker: WorkerState, run: RunReport
) -> None:
    entry = cell.ledger.attempts.get(run.task_id)
    key = (run.task_id, run.attempt)
    is_assigned_here = (
        entry is not None
        and entry.task.attempt == run.attempt
        and entry.worker_id == worker.worker_id
    )
    if entry is None or not is_assigned_here or entry.outcome is not None:
        if run.state is RunState.RUNNING:
            worker.orphaned_attempts.add(key)
            worker.needs_urgent_sync = True
        else:
            worker.forgotten_attempts.add(key)
        return
    if run.state is RunState.RUNNING:
        _record_running(context, cell, worker, entry)
        return
    outcome = _OUTCOMES[run.state]
    if worker.stopping.get(run.task_id) == 'cancelled' and (
        outcome is TaskOutcome.EVICTED
    ):
        outcome = TaskOutcome.CANCELLED
    record_outcome(context, cell, entry, outcome, run.checkpoint)


def _record_running(
    context: Context,
    cell: CellState,
    worker: WorkerState,
    entry: AttemptEntry,
) -> None:
    task_id = entry.task.task_id
    if task_id in worker.stopping:
        worker.needs_sync = True
    if task_id in worker.started:
        return
    worker.started.add(task_id)
    if entry.spec.kind is JobKind.SERVICE:
        endpoints = cell.endpoints.setdefault(entry.spec.job_class, {})
        endpoints[task_id] = worker.worker_id


def _reconcile_missing(
    context: Context, cell: CellState, worker: WorkerState, task_id: str
) -> None:
    entry = cell.ledger.attempts.get(task_id)
    if entry is None or entry.outcome is not None:
        return
    restarted = entry.incarnation != worker.incarnation
    if restarted or task_id in worker.started:
        record_outcome(context, cell, entry, TaskOutcome.LOST)
    elif worker.stopping.get(task_id) == 'cancelled':
        record_outcome(context, cell, entry, TaskOutcome.CANCELLED)
    elif task_id in worker.stopping:
        record_outcome(context, cell, entry, TaskOutcome.EVICTED)
    else:
        worker.needs_sync = True


def _remove_ended_endpoints(
    cell: CellState, worker: WorkerState, report: WorkerReport
) -> None:
    """Remove the endpoints of a worker that no longer run.

    Used while detached, when no attempt may be ended.
    """
    running = {
        run.task_id for run in report.runs if run.state is RunState.RUNNING
    }
    for service, endpoints in list(cell.endpoints.items()):
        for task_id, worker_id in list(endpoints.items()):
            if worker_id == worker.worker_id and task_id not in running:
                _worker_state.remove_endpoint(cell, service, task_id)


def record_outcome(
    context: Context,
    cell: CellState,
    entry: AttemptEntry,
    outcome: TaskOutcome,
    checkpoint: str = '',
) -> None:
    """Record the outcome of an attempt, unless that is already in progress."""
    task = entry.task
    if cell.phase is not Phase.ACTIVE:
        return
    if cell.ending_attempts.get(task.task_id) == task.attempt:
        return
    cell.ending_attempts[task.task_id] = task.attempt
    context.record(
        cell,
        AttemptEnded(task.task_id, task.attempt, outcome, checkpoint),
    )
