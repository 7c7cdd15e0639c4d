"""Starts runs: reserves capacity on a worker, then sends the start order."""

from __future__ import annotations

from tulippin.jobs import (
    _advice,
    _attempts,
    _crashes,
    _evacuation,
    _incarnations,
    _lifecycle,
    _probation,
    _ranking,
    _ready_queues,
    _start_window,
    _unconfirmed_runs,
    _worker_leases,
    _workers,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import StartRun
from tulippin.jobs.ports import StartOrder
from tulippin.jobs.state import (
    RUNS_PER_EPOCH,
    Attempt,
    AttemptState,
    Job,
    Task,
    Worker,
)
from tulippin.jobs.types import Step


def add_run(
    job: Job, step: Step, task: Task, worker: Worker, context: Context
) -> Attempt:
    """Create a run of a task and reserve its capacity on a worker.

    The run is ordered to start by ``send``.
    """
    state = context.state
    run = context.fencing_token * RUNS_PER_EPOCH + task.run_count
    run += task.run_floor
    attempt = Attempt(
        task.key,
        run,
        worker.worker_id,
        step,
        job.queue.priority,
        AttemptState.STARTING,
        state.now_ms,
        checkpoint=task.checkpoint,
    )
    _attempts.add_attempt(attempt, task, worker)
    _probation.begin_probation(attempt, task, worker)
    if step.long_running and not _lifecycle.is_assignment_durable(
        job, task.key, worker.worker_id
    ):
        attempt.is_ordered = False
    task.standby_workers = frozenset()
    _ready_queues.remove(task.key, step, state)
    return attempt


def send(attempt: Attempt, job: Job, context: Context) -> None:
    """Order a reserved run to start, now or once its worker is durable.

    The worker of each run is stored. Long-running and suspected tasks wait
    until it is durable, as the next owner has to know about them. For others
    it becomes durable 0.1 s later.
    """
    state = context.state
    attempt.had_begun = _ranking.has_begun(job)
    job.has_full_run |= not attempt.is_slow_start
    _lifecycle.mark_running(job, state)
    _lifecycle.mark_dirty(job, state)
    if attempt.is_ordered:
        _send_order(attempt, job, context)
    else:
        state.unsent_starts.append(attempt)


def send_durable(context: Context) -> None:
    """Send the start orders that have become durable.

    Those for workers that were evacuated meanwhile are withdrawn.
    """
    _withdraw_evacuated(context)
    for attempt in _crashes.take_sendable_attempts(context):
        _send_order(attempt, context.state.jobs[attempt.key.job_id], context)


def _withdraw_evacuated(context: Context) -> None:
    """Drop unsent starts on evacuated workers, so that others are chosen."""
    state = context.state
    for attempt in list(state.unsent_starts):
        worker = state.workers.get(attempt.worker_id)
        if worker is not None and _evacuation.is_closed(worker, state):
            _attempts.drop_unsent_attempt(
                attempt, context, 'its failure domain is evacuated'
            )


def _send_order(attempt: Attempt, job: Job, context: Context) -> None:
    """Send the start order of a run, with the deadline until it is valid."""
    state = context.state
    worker = state.workers[attempt.worker_id]
    task = job.tasks[attempt.key]
    valid_ms = _worker_leases.limit_lease_ms(
        worker, state.config.start_valid_ms, state
    )
    attempt.start_deadline_ms = _workers.get_clock_ms(worker, state) + valid_ms
    _worker_leases.extend_lapse_time(worker, valid_ms, state)
    _start_window.note_sent(attempt, worker, state)
    state.count('starts')
    if state.config.features.orders_by_progress:
        _ranking.count_start(job, attempt, state)
    context.log(
        'start run',
        task=attempt.key.format(),
        run=attempt.run,
        worker=worker.worker_id,
        waited_ms=state.now_ms - job.arrived_ms,
        reserved_millicores=worker.reserved.cpu_millicores,
        list_age_ms=state.now_ms - worker.answered_ms,
        pace_percent=attempt.target_pace_percent,
        crashes=len(task.crashes),
        **_worker_leases.describe(worker, state),
        **_ranking.describe(job, task, state, attempt),
        **_unconfirmed_runs.describe_clearance(job, task, state),
    )
    context.emit(
        StartRun(
            StartOrder(
                worker.worker_id,
                worker.entry.address,
                attempt.key,
                attempt.run,
                job.request.spec,
                attempt.start_deadline_ms,
                context.fencing_token,
                task.checkpoint if attempt.step.checkpointing else '',
                _advice.get_ticket(worker, job, task, state),
                _incarnations.get_expected(worker, state.now_ms, state),
            ),
            state.now_ms + valid_ms,
        )
    )
