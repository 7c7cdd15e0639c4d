"""Runs (attempts) of tasks: adding, ending, losing and stopping them.

The modules that start tasks and that read workers' reports call this one.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _forecasting,
    _interference,
    _lifecycle,
    _ready_queues,
    _report_schedule,
    _run_times,
    _worker_failures,
    _worker_leases,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs._record_validation import has_task
from tulippin.jobs.effects import StopRun
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import (
    FINAL_STATES,
    EndedRun,
    JobState,
    RunOutcome,
    TaskKey,
)

# Time after which an unanswered order to stop is sent again.
STOP_RETRY_MS: t.Final = 700
# Outcomes that the next start of a task depends on. After any other outcome
# the task is started as if the run had not existed.
_COUNTED_OUTCOMES: t.Final = frozenset((RunOutcome.DONE, RunOutcome.FAILED))


def find_task(key: TaskKey, context: Context) -> tuple[Job, Task] | None:
    """Return a task with its job, or None if it doesn't exist.

    A worker may name a task that isn't part of its job. Creating it would
    count, run and store a task that doesn't exist, or raise a ``KeyError`` in
    the counts of remaining tasks.
    """
    job = context.state.jobs.get(key.job_id)
    if job is None or not has_task(job.request, key):
        return None
    return job, _lifecycle.get_task(job, key)


def add_attempt(attempt: Attempt, task: Task, worker: Worker) -> None:
    """Add a run to its task and to its worker, with the reservation."""
    task.attempts[attempt.run] = attempt
    assign(attempt, worker)


def assign(attempt: Attempt, worker: Worker) -> None:
    """Add a run to a worker, with its reservation."""
    worker.attempts[attempt.key, attempt.run] = attempt
    worker.reserved = worker.reserved.add(attempt.step.reserved)
    _interference.add_attempt(attempt, worker)
    _report_schedule.note_run(attempt, worker)


def note_running(attempt: Attempt, context: Context) -> None:
    """Record that a task has run."""
    found = find_task(attempt.key, context)
    if found is not None:
        found[1].has_run = True


def drop_attempt(attempt: Attempt, context: Context) -> None:
    """Remove a run from its task and from its worker."""
    worker = context.state.workers.get(attempt.worker_id)
    if worker is not None:
        found = worker.attempts.pop((attempt.key, attempt.run), None)
        worker.probation_runs.pop((attempt.key, attempt.run), None)
        if found is not None:
            worker.reserved = worker.reserved.subtract(attempt.step.reserved)
            _interference.drop_attempt(attempt, worker)
            context.state.is_placing_due = True
    job = context.state.jobs.get(attempt.key.job_id)
    if job is not None and attempt.key in job.tasks:
        job.tasks[attempt.key].attempts.pop(attempt.run, None)
        if attempt.step.long_running and job.state not in FINAL_STATES:
            _lifecycle.mark_dirty(job, context.state)


def drop_lost_attempt(attempt: Attempt, context: Context, why: str) -> None:
    """Remove a run that ended without an outcome, and make its task ready.

    The runs of the other members of its gang are stopped.
    """
    drop_attempt(attempt, context)
    context.log(
        'run over',
        task=attempt.key.format(),
        run=attempt.run,
        worker=attempt.worker_id,
        why=why,
        age_ms=context.state.now_ms - attempt.sent_ms,
        **_worker_leases.describe(
            context.state.workers.get(attempt.worker_id), context.state
        ),
    )
    found = find_task(attempt.key, context)
    if found is None:
        return
    job, task = found
    ready_since_ms = task.ready_ms
    make_ready(job, task, context)
    if attempt.step.opportunistic and not attempt.seen_ms:
        task.ready_ms = ready_since_ms
    if attempt.step.gang:
        # The other members would wait for this one indefinitely.
        for member in _iter_members(job, task):
            stop_task(member, context, 'a member did not start')


def drop_unsent_attempt(attempt: Attempt, context: Context, why: str) -> None:
    """Remove a run that wasn't ordered, and make its task ready.

    Its start may be stored already, and would count as a crash for the next
    owner.
    """
    drop_lost_attempt(attempt, context, why)
    job = context.state.jobs.get(attempt.key.job_id)
    if job is not None:
        _lifecycle.mark_dirty(job, context.state)


def avoid(attempt: Attempt, context: Context) -> None:
    """Prefer other workers for the next run of the task."""
    found = find_task(attempt.key, context)
    if found is not None:
        found[1].avoided.add(attempt.worker_id)


def make_ready(job: Job, task: Task, context: Context) -> None:
    """Make a task ready to start, unless it is over or still runs."""
    is_over = task.is_done or job.is_cancelled or job.state in FINAL_STATES
    is_over = is_over or job.is_progress_unknown
    is_assigned_here = _lifecycle.is_assigned_here(job, task.key)
    if is_assigned_here and not is_over and not task.attempts:
        step = job.request.steps[task.key.step]
        _ready_queues.add(task, step, context.state)


def apply_end(
    worker: Worker,
    ended: EndedRun,
    context: Context,
    read_delay_ms: float = 0.0,
) -> None:
    """Apply the end of a run that its worker reports.

    A done task opens further steps or finishes its job, a failed run counts
    towards the job's limit, and after any other outcome the task is ready.

    Parameters
    ----------
    worker : Worker
        The worker that reports the end.
    ended : EndedRun
        The end.
    context : Context
        Collects effects and log lines.
    read_delay_ms : float, optional
        How long ago the run is expected to have ended.
    """
    attempt = worker.attempts.get((ended.key, ended.run))
    if attempt is not None:
        drop_attempt(attempt, context)
    if ended.outcome in _COUNTED_OUTCOMES or ended.checkpoint:
        worker.uncommitted_ends[ended.number] = ended.key
    found = find_task(ended.key, context)
    context.state.count(f'ends_{ended.outcome.value}')
    context.log(
        'run ended',
        task=ended.key.format(),
        run=ended.run,
        worker=worker.worker_id,
        outcome=ended.outcome.value,
        number=ended.number,
        is_known=attempt is not None,
    )
    if found is None:
        return
    job, task = found
    task.has_run = True
    task.unresolved_start = None
    if ended.checkpoint:
        task.checkpoint = ended.checkpoint
    _worker_failures.record_outcome(worker, ended, context)
    if ended.outcome is RunOutcome.DONE:
        if attempt is not None:
            _learn_done(job, task, attempt, read_delay_ms, context.state)
        _end_done(job, task, context)
        return
    if ended.outcome is RunOutcome.FAILED:
        _count_failure(job, task, ended, worker, context)
    make_ready(job, task, context)


def _learn_done(
    job: Job,
    task: Task,
    attempt: Attempt,
    read_delay_ms: float,
    state: SchedulerState,
) -> None:
    """Learn from a run that was done, before its task is marked so."""
    run_ms = state.now_ms - attempt.sent_ms
    # A run that began in a pause ended in the second half of its time.
    delay_ms = int(min(read_delay_ms, run_ms / 2))
    if not attempt.is_slow_start:
        _run_times.learn(job, attempt.step, run_ms - delay_ms, state)
    _forecasting.note_done(job, attempt, state, delay_ms)
    if attempt.copy_of and not task.is_done:
        state.count('copies_ended_first')


def _end_done(job: Job, task: Task, context: Context) -> None:
    """Mark a task as done, with all members of its gang."""
    for member in _iter_members(job, task):
        _lifecycle.mark_done(job, member, context)
        stop_task(member, context, 'task is done')
    _report_schedule.note_end(job, task.key, context.state)
    if job.state in FINAL_STATES:
        stop_job(job, context, 'job is finished')


def _iter_members(job: Job, task: Task) -> t.Iterator[Task]:
    """Yield all tasks of a task's gang, or the task itself without one."""
    step = job.request.steps[task.key.step]
    if not step.gang:
        yield task
        return
    for index in range(step.task_count):
        yield _lifecycle.get_task(job, task.key._replace(index=index))


def _count_failure(
    job: Job,
    task: Task,
    ended: EndedRun,
    worker: Worker,
    context: Context,
) -> None:
    task.avoided.add(worker.worker_id)
    if job.request.steps[task.key.step].long_running:
        return
    if task.is_done or job.state in FINAL_STATES or job.is_cancelled:
        return
    # Failures of a gang's members in the same run count once.
    counted = next(_iter_members(job, task))
    counted.failed_runs.add(ended.run)
    _lifecycle.mark_dirty(job, context.state)
    if len(counted.failed_runs) >= job.queue.max_attempts:
        _lifecycle.finish(job, JobState.FAILED, context)
        stop_job(job, context, 'job has failed')


def stop_job(job: Job, context: Context, why: str) -> None:
    """Stop all runs of a job."""
    for task in job.tasks.values():
        stop_task(task, context, why)


def stop_task(task: Task, context: Context, why: str) -> None:
    """Stop all runs of a task."""
    for attempt in task.attempts.values():
        stop_attempt(attempt, context, why)


def stop_attempt(attempt: Attempt, context: Context, why: str) -> None:
    """Order a run to stop.

    Its reservation lasts until the worker reports the end of the run.
    """
    if attempt.state is AttemptState.STOPPING:
        return
    attempt.state = AttemptState.STOPPING
    context.log(
        'stop run',
        task=attempt.key.format(),
        run=attempt.run,
        worker=attempt.worker_id,
        why=why,
    )
    send_stop(attempt, context)


def send_stop(attempt: Attempt, context: Context) -> None:
    """Send an order to stop, if the worker is known."""
    worker = context.state.workers.get(attempt.worker_id)
    if worker is None:
        return
    attempt.stop_sent_ms = context.state.now_ms
    _report_schedule.end_pause(worker, _report_schedule.CallReason.OPEN_ORDER)
    order_stop(worker, attempt.key, attempt.run, context)


def order_stop(
    worker: Worker, key: TaskKey, run: int, context: Context
) -> None:
    """Order a worker to stop a run, which may be unknown to this owner."""
    context.emit(
        StopRun(
            worker.worker_id,
            worker.entry.address,
            key,
            run,
            context.fencing_token,
        )
    )


def repeat_stops(worker: Worker, context: Context) -> None:
    """Repeat the orders to stop that a worker hasn't answered in time."""
    limit_ms = context.state.now_ms - STOP_RETRY_MS
    for attempt in worker.attempts.values():
        is_open = (
            attempt.state is AttemptState.STOPPING
            and not attempt.is_stop_confirmed
        )
        if is_open and attempt.stop_sent_ms < limit_ms:
            send_stop(attempt, context)
