"""What a worker reports: runs that are there, that ended, or are missing."""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _crashes,
    _lifecycle,
    _ready,
    _tails,
    _unseen,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._row_checks import has_task
from tulippin.jobs.events import WorkerAnswered
from tulippin.jobs.state import Attempt, AttemptState, Job, Worker
from tulippin.jobs.types import FINAL_STATES, RunningTask

# Between two holds, if ends that were read are not yet durable: a hold
# would return at once, with the same ends.
_UNSETTLED_PAUSE_MS: t.Final = 250
# A job that a worker knows of comes by the feed so long after a taking at
# the latest: a feed's call that hangs is given up after 2.4 s.
_NEWS_MS: t.Final = 3000


@handle.register
def _take_report(event: WorkerAnswered, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    worker.is_holding = False
    worker.answered_ms = _get_told_ms(event, context)
    if worker.failed_count:
        context.log('worker answers again', worker=worker.worker_id)
        _crashes.note_answer(worker, context)
    worker.failed_count = 0
    worker.clock_offset_ms = event.report.clock_ms - state.now_ms
    _take_ends(worker, event, context)
    present = set()
    for row in event.report.running:
        present.add((row.key, row.run))
        _take_running(worker, row, context)
    for place in worker.strays.keys() - present:
        del worker.strays[place]
    _unseen.note_answer(worker, state, is_whole=not worker.early_ends)
    for attempt in list(worker.attempts.values()):
        # A run whose end waits to be read is over, and how is told there.
        is_early = attempt.key in worker.early_ends
        if not is_early and (attempt.key, attempt.run) not in present:
            _judge_missing(attempt, event, context)
    if worker.ends_read > worker.last_seen or worker.early_ends:
        worker.hold_after_ms = state.now_ms + _UNSETTLED_PAUSE_MS


def _get_told_ms(event: WorkerAnswered, context: Context) -> int:
    """Return when a worker told this, or earlier.

    An answer that came while this instance stood still is as old as its
    question, for all that is known.
    """
    if event.sent_ms < context.state.ownership.paused_ms:
        return event.sent_ms
    return context.state.now_ms


def _take_ends(worker: Worker, event: WorkerAnswered, context: Context) -> None:
    """Take note of ends in their order, up to one that comes too early.

    An end is forgotten by its worker once it is acknowledged. One of a job
    that is not known yet would change nothing here: the job would be run
    again when it comes.
    """
    state = context.state
    is_new_owner = state.now_ms - state.ownership.taken_ms < _NEWS_MS
    worker.early_ends.clear()
    for ended in event.report.ended:
        if ended.number <= worker.ends_read:
            continue
        is_early = is_new_owner and ended.key.job_id not in state.jobs
        if is_early or worker.early_ends:
            worker.early_ends.add(ended.key)
            continue
        worker.ends_read = ended.number
        _attempts.take_end(worker, ended, context)


def adopt_strays(job: Job, context: Context) -> None:
    """Take over runs of a job that were met, or have ended, before it came."""
    for worker in context.state.workers.values():
        for key in worker.early_ends:
            if key.job_id == job.job_id and has_task(job.request, key):
                task = _lifecycle.get_task(job, key)
                task.unseen_on.add(worker.worker_id)
        for key, run in list(worker.strays):
            if key.job_id == job.job_id:
                del worker.strays[key, run]
                row = RunningTask(key, run, '', 0, None)
                attempt = _adopt(worker, row, context)
                if attempt is not None:
                    why = 'it was met before its job'
                    _attempts.stop_attempt(attempt, context, why)


def _take_running(worker: Worker, row: RunningTask, context: Context) -> None:
    state = context.state
    attempt = worker.attempts.get((row.key, row.run))
    if attempt is None:
        attempt = _adopt(worker, row, context)
        if attempt is None:
            return
    if attempt.state in {AttemptState.STARTING, AttemptState.DOUBTFUL}:
        attempt.state = AttemptState.RUNNING
        attempt.seen_ms = state.now_ms
        _attempts.note_running(attempt, context)
    if row.checkpoint:
        attempt.checkpoint = row.checkpoint
        found = _attempts.find_task(row.key, context)
        if found is not None:
            found[1].checkpoint = row.checkpoint
    _crashes.note_running(attempt, context)
    attempt.progress_percent = row.progress_percent
    _note_load(attempt, row.load, state.now_ms)
    # A worker that does not tell loads is taken to be at work.
    if row.load is None or row.load > 0:
        attempt.worked_ms = state.now_ms


def _note_load(attempt: Attempt, load: float | None, now_ms: int) -> None:
    """Take in a run's load; one that was not told is not known any more.

    Nothing is learned from it then. The tail that was known last stands: read
    as one of no time, it would say that every target is kept.
    """
    if load is not None:
        _tails.note_load(attempt, load, now_ms)
        return
    attempt.load = 0.0
    attempt.past_load = 0.0
    attempt.past_load_ms = 0


def _adopt(
    worker: Worker, row: RunningTask, context: Context
) -> Attempt | None:
    """Take over a run that an earlier owner started, or stop it."""
    state = context.state
    found = _attempts.find_task(row.key, context)
    if found is None:
        _stop_stray(worker, row, context)
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
    is_over = is_over or not _lifecycle.is_here(job, row.key)
    is_second = bool(task.attempts) and not step.allow_duplicates
    task.has_run = True
    _attempts.add_attempt(attempt, task, worker)
    _ready.remove(row.key, step, state)
    if not is_over:
        # Its owner may have been lost before it could tell that it had begun.
        _lifecycle.mark_begun(job, state)
        if step.long_running:
            _lifecycle.mark_dirty(job, state)
    context.log(
        'run adopted',
        task=row.key.format(),
        run=row.run,
        worker=worker.worker_id,
    )
    if is_over or is_second:
        why = 'task is over' if is_over else 'another run is there'
        _attempts.stop_attempt(attempt, context, why)
    return attempt


def _stop_stray(worker: Worker, row: RunningTask, context: Context) -> None:
    """Have a run of a job that is not known stop, until it has."""
    state = context.state
    place = (row.key, row.run)
    never_ms = -_attempts.STOP_AGAIN_MS
    sent_ms = worker.strays.get(place, never_ms)
    if state.now_ms - sent_ms < _attempts.STOP_AGAIN_MS:
        return
    worker.strays[place] = state.now_ms
    context.log(
        'stop stray run',
        task=row.key.format(),
        run=row.run,
        worker=worker.worker_id,
        why='job is not known',
    )
    _attempts.order_stop(worker, row.key, row.run, context)


def _judge_missing(
    attempt: Attempt, event: WorkerAnswered, context: Context
) -> None:
    """Tell whether a run that the report lacks is over or still to come."""
    clock_ms = event.report.clock_ms
    if attempt.state is AttemptState.STARTING:
        return
    if attempt.state is AttemptState.DOUBTFUL:
        if clock_ms > attempt.start_deadline_ms:
            _attempts.avoid(attempt, context)
            _attempts.release(attempt, context, 'never started')
        return
    if attempt.state is AttemptState.STOPPING:
        is_settled = (
            attempt.stop_is_settled and attempt.seen_ms < event.sent_ms
        ) or (
            attempt.start_deadline_ms
            and clock_ms > attempt.start_deadline_ms
            and attempt.sent_ms < event.sent_ms
        )
        if is_settled:
            _attempts.release(attempt, context, 'stopped unseen')
        return
    if attempt.seen_ms < event.sent_ms:
        _attempts.release(attempt, context, 'vanished')
