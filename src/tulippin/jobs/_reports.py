"""Handles workers' reports: running, ended and missing runs.

A report answers a `HoldWorker` call. It lists the runs on the worker and the
ends that the owner has not acknowledged yet; a run that is missing from it
is resolved here. A report may be cut, so that the last of these ends are read
only once the first ones are acknowledged: a run that is missing from it may
have an outcome.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _crashes,
    _forecasting,
    _incarnations,
    _lifecycle,
    _lost_starts,
    _ready_queues,
    _report_schedule,
    _tail_latency,
    _unconfirmed_runs,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._record_validation import has_task
from tulippin.jobs.events import WorkerAnswered
from tulippin.jobs.state import Attempt, AttemptState, Job, Worker
from tulippin.jobs.types import (
    FINAL_STATES,
    RunningTask,
    TaskKey,
    WorkerReport,
)

# Pause between two hold calls while ends that were read are not durable:
# the call would return at once with the same ends.
_UNACKNOWLEDGED_PAUSE_MS: t.Final = 250
# Time after a takeover until the feed has delivered every job that a worker
# may run; a hanging call of the feed times out after 2.4 s.
_JOB_FEED_DELAY_MS: t.Final = 3000


@handle.register
def _handle_report(event: WorkerAnswered, context: Context) -> None:
    """Apply a report to the worker's clock, ends and runs."""
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    known = worker
    is_return = bool(known.born_ms) and not known.is_reconciled
    worker = _incarnations.identify(known, event.report, event.sent_ms, context)
    worker.is_hold_in_flight = False
    read_delay_ms = _report_schedule.get_read_delay_ms(
        worker, event.sent_ms, state
    )
    worker.answered_ms = _get_answered_ms(event, context)
    worker.confirmed_ms = event.sent_ms
    if worker.failed_count:
        context.log('worker answers again', worker=worker.worker_id)
        _crashes.note_answer(worker, context)
    worker.failed_count = 0
    worker.clock_offset_ms = event.report.clock_ms - state.now_ms
    _process_ends(worker, event, read_delay_ms, context)
    present = set()
    for row in event.report.running:
        present.add((row.key, row.run))
        _process_running(worker, row, context)
    _unconfirmed_runs.note_answer(worker, context, is_whole=_is_whole(worker))
    if is_return and worker is known and worker.is_reconciled:
        _lost_starts.note_return(worker, context)
    if not worker.is_report_cut:
        _resolve_missing_runs(worker, present, event, context)
    if worker is not known:
        _incarnations.extend_lapse_time(worker, state)
    if worker.last_read_end_number > worker.last_seen or worker.deferred_ends:
        worker.hold_after_ms = state.now_ms + _UNACKNOWLEDGED_PAUSE_MS


def _note_cut(worker: Worker, report: WorkerReport, context: Context) -> None:
    """Record whether a report may lack ends, and have the rest read soon.

    The worker lists the rest once the ends of this report are acknowledged,
    which takes a commit.
    """
    if report.is_cut:
        context.state.count('cut_reports')
        context.state.is_early_commit_due = True
    if report.is_cut != worker.is_report_cut:
        context.log(
            'report is cut' if report.is_cut else 'report is whole again',
            worker=worker.worker_id,
            ends=len(report.ended),
            is_reconciled=worker.is_reconciled,
        )
    worker.is_report_cut = report.is_cut


def _is_whole(worker: Worker) -> bool:
    """Whether all that earlier owners started on a worker is known.

    It stays known: a worker that has answered this owner takes no more orders
    of earlier ones, and what this owner starts has an attempt.
    """
    if worker.deferred_ends:
        return False
    return worker.is_reconciled or not worker.is_report_cut


def _get_answered_ms(event: WorkerAnswered, context: Context) -> int:
    """Return the latest time at which the report is known to be current.

    If this instance was suspended since the call was sent, the answer may be
    as old as the call.
    """
    if event.sent_ms < context.state.ownership.confirm_after_ms:
        return event.sent_ms
    return context.state.now_ms


def _process_ends(
    worker: Worker,
    event: WorkerAnswered,
    read_delay_ms: float,
    context: Context,
) -> None:
    """Process ends in order, up to the first one of a job not yet received.

    A worker drops an end once it is acknowledged. If the end of a job that
    has not arrived yet were acknowledged, its outcome would be lost and the
    task would run again when the job arrives. Such an end and all that
    follow it are deferred to a later report.
    """
    state = context.state
    is_new_owner = state.now_ms - state.ownership.taken_ms < _JOB_FEED_DELAY_MS
    _note_cut(worker, event.report, context)
    worker.deferred_ends.clear()
    if not worker.is_report_cut:
        worker.unread_job_ids.clear()
    read_count = 0
    for ended in event.report.ended:
        if ended.number <= worker.last_read_end_number:
            worker.needs_ack |= ended.number <= worker.last_seen
            continue
        is_early = is_new_owner and ended.key.job_id not in state.jobs
        if is_early or worker.deferred_ends:
            worker.deferred_ends.add(ended.key)
            continue
        worker.last_read_end_number = ended.number
        read_count += 1
        _attempts.apply_end(worker, ended, context, read_delay_ms)
    if read_count:
        state.count('reports_with_ends')
        state.count('reported_ends', read_count)


def adopt_orphaned_runs(job: Job, context: Context) -> None:
    """Adopt runs of a job that were reported before the job was received.

    A running one is adopted and stopped. A task whose end was deferred is
    marked as possibly running on that worker until the end is read.
    """
    for worker in context.state.workers.values():
        for key in worker.deferred_ends:
            if key.job_id == job.job_id and has_task(job.request, key):
                task = _lifecycle.get_task(job, key)
                task.unconfirmed_workers.add(worker.worker_id)
        for key, run in list(worker.orphaned_runs):
            if key.job_id == job.job_id:
                del worker.orphaned_runs[key, run]
                row = RunningTask(key, run, '', 0, None)
                attempt = _adopt_run(worker, row, context)
                if attempt is not None:
                    why = 'run was reported before its job'
                    _attempts.stop_attempt(attempt, context, why)


def _process_running(
    worker: Worker, row: RunningTask, context: Context
) -> None:
    """Update an attempt from its row in a report, or adopt the run."""
    state = context.state
    attempt = worker.attempts.get((row.key, row.run))
    if attempt is None:
        attempt = _adopt_run(worker, row, context)
        if attempt is None:
            return
    if attempt.state in {AttemptState.STARTING, AttemptState.DOUBTFUL}:
        attempt.state = AttemptState.RUNNING
        attempt.seen_ms = state.now_ms
        _attempts.note_running(attempt, context)
    if (
        state.config.features.orders_by_progress
        and not attempt.step.long_running
    ):
        _forecasting.note_held(attempt, state.now_ms)
    if row.checkpoint:
        attempt.checkpoint = row.checkpoint
        found = _attempts.find_task(row.key, context)
        if found is not None:
            found[1].checkpoint = row.checkpoint
    _crashes.note_running(attempt, context)
    attempt.progress_percent = row.progress_percent
    _update_load(attempt, row.load, state.now_ms)
    # A run without a reported load is assumed to make progress.
    if row.load is None or row.load > 0:
        attempt.last_progress_ms = state.now_ms


def _update_load(attempt: Attempt, load: float | None, now_ms: int) -> None:
    """Store a run's reported load, or reset it if the report has none.

    Without a load nothing is learned from the run. Its last tail is kept: a
    tail of 0 would read as a target that is met.
    """
    if load is not None:
        _tail_latency.update_tail(attempt, load, now_ms)
        return
    attempt.load = 0.0
    attempt.previous_load = 0.0
    attempt.previous_load_ms = 0


def _adopt_run(
    worker: Worker, row: RunningTask, context: Context
) -> Attempt | None:
    """Create an attempt for a run that an earlier owner started.

    The run is stopped if its task is done, its job is over, or another run
    of the task exists that it may not duplicate.

    Returns
    -------
    Attempt, optional
        None if the job is not known; the run is then stopped as orphaned.
    """
    state = context.state
    found = _attempts.find_task(row.key, context)
    if found is None:
        _stop_orphaned_run(worker, row, context)
        return None
    job, task = found
    step = job.request.steps[row.key.step]
    attempt = Attempt(
        row.key,
        row.run,
        worker.worker_id,
        step,
        job.queue.priority,
        AttemptState.RUNNING,
        state.now_ms,
        seen_ms=state.now_ms,
        pace_percent=None,
    )
    is_over = task.is_done or job.is_cancelled or job.state in FINAL_STATES
    is_over = is_over or not _lifecycle.is_assigned_here(job, row.key)
    is_second = bool(task.attempts) and not step.allow_duplicates
    task.has_run = True
    _attempts.add_attempt(attempt, task, worker)
    _ready_queues.remove(row.key, step, state)
    if not is_over:
        # The earlier owner may have failed before it recorded the start.
        _lifecycle.mark_running(job, state)
        if step.long_running:
            _lifecycle.mark_dirty(job, state)
    context.log(
        'run adopted',
        task=row.key.format(),
        run=row.run,
        worker=worker.worker_id,
        is_reported=worker.worker_id in task.reported_workers,
        held_ms=state.now_ms - state.ownership.taken_ms,
        other_runs=[
            (other.run, other.worker_id, state.now_ms - other.sent_ms)
            for other in task.attempts.values()
            if other is not attempt
        ],
    )
    if is_over or is_second:
        why = 'task is over' if is_over else 'another run exists'
        state.count('runs_adopted_beside_another', int(is_second))
        _attempts.stop_attempt(attempt, context, why)
    return attempt


def _stop_orphaned_run(
    worker: Worker, row: RunningTask, context: Context
) -> None:
    """Stop a run of an unknown job; repeated until the worker drops it."""
    state = context.state
    run_id = (row.key, row.run)
    never_ms = -_attempts.STOP_RETRY_MS
    sent_ms = worker.orphaned_runs.get(run_id, never_ms)
    if state.now_ms - sent_ms < _attempts.STOP_RETRY_MS:
        return
    worker.orphaned_runs[run_id] = state.now_ms
    context.log(
        'stop orphaned run',
        task=row.key.format(),
        run=row.run,
        worker=worker.worker_id,
        why='job is not known',
    )
    _attempts.order_stop(worker, row.key, row.run, context)


def _resolve_missing_runs(
    worker: Worker,
    present: set[tuple[TaskKey, int]],
    event: WorkerAnswered,
    context: Context,
) -> None:
    """Resolve the runs that a whole report does not list as running."""
    for run_id in worker.orphaned_runs.keys() - present:
        del worker.orphaned_runs[run_id]
    for attempt in list(worker.attempts.values()):
        # A run with a deferred end is over; that end holds its outcome.
        is_early = attempt.key in worker.deferred_ends
        if not is_early and (attempt.key, attempt.run) not in present:
            _resolve_missing_run(attempt, event, context)


def _resolve_missing_run(
    attempt: Attempt, event: WorkerAnswered, context: Context
) -> None:
    """Release a run that the report lacks, unless it may still start.

    A start order that was not answered may arrive until its deadline by the
    worker's clock. A report shows a run's end only if it was requested after
    the run was last seen.
    """
    clock_ms = event.report.clock_ms
    if attempt.state is AttemptState.STARTING:
        return
    if attempt.state is AttemptState.DOUBTFUL:
        if not attempt.start_deadline_ms:
            why = 'its worker restarted, and may receive the start late'
            _attempts.stop_attempt(attempt, context, why)
        elif clock_ms > attempt.start_deadline_ms:
            _attempts.avoid(attempt, context)
            _attempts.drop_lost_attempt(attempt, context, 'never started')
        return
    if attempt.state is AttemptState.STOPPING:
        is_settled = (
            attempt.is_stop_confirmed and attempt.seen_ms < event.sent_ms
        ) or (
            attempt.start_deadline_ms
            and clock_ms > attempt.start_deadline_ms
            and attempt.sent_ms < event.sent_ms
        )
        if is_settled:
            _attempts.drop_lost_attempt(
                attempt, context, 'stopped, no end reported'
            )
        return
    if attempt.seen_ms < event.sent_ms:
        _attempts.drop_lost_attempt(attempt, context, 'missing from report')
