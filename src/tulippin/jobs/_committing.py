"""Loading a unit's rows, and committing progress in groups.

The scheduler core calls ``tick`` and ``commit_if_due``; the handlers apply the
rows of the unit, changes of the jobs table and the results of commits.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _advisory_inputs,
    _attempts,
    _demand,
    _giving_up,
    _job_moves,
    _lifecycle,
    _model_store,
    _occurrences,
    _ownership,
    _reports,
    _routing,
    _transfers,
    _unconfirmed_runs,
    _worker_leases,
    _workers,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import (
    CommitProgress,
    CommitRoster,
    ProgressWrite,
    RemoveJobs,
)
from tulippin.jobs.events import (
    JobRefused,
    JobsChanged,
    ModelKept,
    ProgressCommitted,
    RosterCommitted,
    UnitLoaded,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import FAIL_SUFFIX, GUEST_SUFFIX, RosterRecord
from tulippin.jobs.state import Job, Phase, SchedulerState
from tulippin.jobs.types import FINAL_STATES, Incarnation, JobState, Step

# A transaction is limited to 100 entries: a condition and a write for the
# progress of each job, and a condition on the epoch.
_MAX_JOBS_PER_COMMIT: t.Final = 45
# Delay of a commit without a final state, so that further ends can join it.
_COMMIT_DELAY_MS: t.Final = 120
_MAX_REMOVALS_PER_CALL: t.Final = 30
# Interval between two checks for finished jobs to remove.
_REMOVAL_INTERVAL_MS: t.Final = 2000
# Time from a refused roster to the next one, which differs from it.
_REFUSED_ROSTER_PAUSE_MS: t.Final = 2000


@handle.register
def _handle_unit_loaded(event: UnitLoaded, context: Context) -> None:
    state = context.state
    if state.ownership.phase is not Phase.LOADING:
        return
    if event.load_number != state.ownership.load_number:
        # The changes since then are followed from a later load only.
        return
    if event.epoch_version < state.ownership.epoch_version:
        # Read for an earlier epoch: changes made since then are neither in
        # this result nor in the feed, which continues from a later read.
        return
    if event.epoch_version > state.ownership.epoch_version:
        # The jobs may be newer than this ownership, and the feed, which
        # continues from them, would not show the takeover.
        _ownership.step_down(context, 'the loaded rows show another owner')
        return
    state.ownership.phase = Phase.ACTIVE
    for entry in event.workers:
        _workers.apply_entry(entry, event.workers_read_ms, context)
    _restore_roster(event, context)
    _advisory_inputs.restore(event, context)
    jobs = _lifecycle.add_rows(event.jobs, context)
    state.unreadable_jobs.update(
        _lifecycle.list_unreadable_jobs(event.jobs, state)
    )
    _restore(jobs, event.progress, context)
    _unconfirmed_runs.record_reported_tasks(event.account, context)
    _open_loaded_jobs(jobs, event, context)
    context.log(
        'unit loaded',
        epoch=context.fencing_token,
        jobs=len(jobs),
        workers=len(state.workers),
        rostered=len(state.roster),
        pairs_known=sum(
            len(model.means) for model in state.model.images.values()
        ),
        tasks=_unconfirmed_runs.count_clearances(state),
    )


def _restore_roster(event: UnitLoaded, context: Context) -> None:
    """Restore the workers that may have orders of earlier owners."""
    state = context.state
    state.roster_version = event.roster_version
    if event.clock is not None:
        state.store_clock.note(event.clock)
    if event.roster is None:
        _unconfirmed_runs.begin_without_roster(context)
        return
    state.roster = dict(event.roster.addresses)
    state.roster_births_ms = dict(event.roster.births_ms)
    state.roster_bounds = event.roster.bounds
    state.unlisted_until_ms = event.roster.unlisted_until_ms
    _unconfirmed_runs.begin(event.account, context)


def _open_loaded_jobs(
    jobs: list[Job], event: UnitLoaded, context: Context
) -> None:
    """Make the tasks of loaded jobs ready.

    Each job also gets to know whether its tasks have to wait for workers that
    may hold unconfirmed runs.
    """
    state = context.state
    for job in jobs:
        # Until each worker has answered or its lease has lapsed, a task that
        # no worker reports may still run. Jobs that were accepted after the
        # takeover can't have been started by an earlier owner.
        is_new = job.row_version > state.ownership.epoch_version
        job.awaits_confirmation = job.is_transferred or not is_new
        if is_new and not job.is_transferred:
            job.are_assignments_known = True
        elif job.durable is None or state.unconfirmed_until_ms > state.now_ms:
            # The end of unconfirmed runs isn't known for workers that are
            # neither listed nor on a roster.
            job.are_assignments_known = False
        job.is_resumed = job.has_begun
        _open_job(job, context)
    _demand.take_over(state)


def _restore(
    jobs: list[Job], progress: tuple[StoredRow, ...], context: Context
) -> None:
    """Apply the stored progress of jobs that were just read."""
    by_id = {job.job_id: job for job in jobs}
    for row in progress:
        job = by_id.get(row.key)
        if job is not None:
            _try_restore(job, row, context)
            _transfers.send(job, context)
            _job_moves.send(job, context)


def _try_restore(job: Job, row: StoredRow, context: Context) -> None:
    """Apply a job's progress, and withhold the job if that raises an error.

    The progress may be applied in part, so it isn't known which tasks are
    done, and none is started. Catches any error, so that other jobs go on.
    """
    try:
        _lifecycle.restore(job, row, context)
    except Exception as error:
        # The commit of the job's final state has to overwrite this row.
        job.progress_version = row.version
        _lifecycle.report_failed_row(error, row, context)
        _lifecycle.withhold(job, context, f'its progress raised {error!r}')


@handle.register
def _handle_jobs_changed(event: JobsChanged, context: Context) -> None:
    state = context.state
    if not _ownership.is_loaded(state):
        return
    if event.epoch_version > state.ownership.epoch_version:
        # The next owner starts the jobs of this and later changes.
        _ownership.step_down(context, 'the feed of jobs shows another owner')
        return
    cancelled_before = {
        job_id for job_id, job in state.jobs.items() if job.is_cancelled
    }
    added = _lifecycle.add_rows(event.rows, context)
    _withhold_unreadable(added, context)
    _restore(added, event.progress, context)
    if added:
        state.last_arrival_ms = state.now_ms
    for job in added:
        context.log(
            'job taken up',
            job=job.job_id,
            queue=job.queue.name,
            steps=[_describe_step(step) for step in job.request.steps],
            version=job.row_version,
        )
        _reports.adopt_orphaned_runs(job, context)
        _open_job(job, context)
    for row in event.rows:
        job_id = row.key.partition('/')[0]
        job = state.jobs.get(job_id)
        if job is None:
            continue
        if job.is_cancelled and job_id not in cancelled_before:
            _cancel(job, context)
        elif row.key.endswith((GUEST_SUFFIX, FAIL_SUFFIX)):
            _open_job(job, context)


def _withhold_unreadable(jobs: list[Job], context: Context) -> None:
    """Withhold jobs whose rows were unreadable when the unit was loaded.

    Earlier owners may have started their tasks, and the progress that they
    stored was not loaded.
    """
    for job in jobs:
        if job.job_id in context.state.unreadable_jobs:
            _lifecycle.withhold(job, context, 'its row was unreadable')


def _describe_step(step: Step) -> dict[str, t.Any]:
    """Return the fields of a step that differ from their defaults."""
    return attrs.asdict(
        step, filter=lambda field, value: value not in {field.default, None}
    )


def _open_job(job: Job, context: Context) -> None:
    if job.is_cancelled:
        _cancel(job, context)
    elif job.is_given_up:
        _giving_up.fail(job, job.reason, context)
    elif job.state not in FINAL_STATES:
        _routing.route(job, context)
        _lifecycle.open_steps(job, context.state)
        if _lifecycle.has_long_running(job) or job.left_units:
            # The next owner then knows which of the tasks have never run, and
            # callers learn the state of a job that has moved here.
            _lifecycle.mark_dirty(job, context.state)


def _cancel(job: Job, context: Context) -> None:
    if job.state in FINAL_STATES:
        return
    _lifecycle.finish(job, JobState.CANCELLED, context)
    _attempts.stop_job(job, context, 'job is cancelled')


# -- commits ------------------------------------------------------------------


def tick(context: Context) -> None:
    """Commit progress, roster and models if due, and remove old jobs."""
    state = context.state
    if state.ownership.phase is not Phase.ACTIVE:
        return
    commit_if_due(context)
    _commit_roster_if_changed(context)
    _model_store.tick(context)
    _remove_finished_jobs(context)


def commit_if_due(context: Context) -> None:
    """Begin a commit if progress waits for one.

    A final state is committed at once, and so is progress whose ends keep an
    urgent end, or the rest of a report, from being read; other progress is
    committed after a delay.
    """
    state = context.state
    if state.is_committing or state.ownership.phase is not Phase.ACTIVE:
        return
    is_urgent = any(
        state.jobs[job_id].state in FINAL_STATES
        for job_id in state.dirty_jobs
        if job_id in state.jobs
    )
    if not state.dirty_jobs:
        _acknowledge_ends(context)
        return
    waited_ms = state.now_ms - state.dirty_since_ms
    is_urgent = is_urgent or state.is_early_commit_due
    if is_urgent or waited_ms >= _COMMIT_DELAY_MS:
        _commit(context)


def _commit(context: Context) -> None:
    state = context.state
    chosen = sorted(
        state.dirty_jobs,
        key=lambda job_id: state.jobs[job_id].state not in FINAL_STATES,
    )[:_MAX_JOBS_PER_COMMIT]
    writes = []
    for job_id in chosen:
        job = state.jobs[job_id]
        del state.dirty_jobs[job_id]
        record = _lifecycle.make_progress(job)
        if record != job.durable:
            job.pending_progress = record
            writes.append(ProgressWrite(job_id, record, job.progress_version))
    # Ends are acknowledged only once no progress is uncommitted.
    state.is_early_commit_due = bool(state.dirty_jobs) and _is_rest_awaited(
        state
    )
    ends = {}
    if not state.dirty_jobs:
        ends = _collect_ends(state)
    if not writes:
        _record_settled_ends(ends, state)
        return
    state.is_committing = True
    state.dirty_since_ms = state.now_ms
    context.emit(
        CommitProgress(tuple(writes), ends, state.ownership.epoch_version)
    )


def _is_rest_awaited(state: SchedulerState) -> bool:
    """Whether ends that were read keep the rest of a report from being read."""
    return any(
        worker.is_report_cut and worker.last_read_end_number > worker.last_seen
        for worker in state.workers.values()
    )


def _collect_ends(state: SchedulerState) -> dict[Incarnation, int]:
    return {
        worker.incarnation: worker.last_read_end_number
        for worker in state.workers.values()
        if worker.last_read_end_number > worker.last_seen
    }


def _acknowledge_ends(context: Context) -> None:
    """Acknowledge all ends that were read, as no progress is uncommitted."""
    _record_settled_ends(_collect_ends(context.state), context.state)


def _record_settled_ends(
    ends: dict[Incarnation, int], state: SchedulerState
) -> None:
    for incarnation, number in ends.items():
        worker = state.workers.get(incarnation.worker_id)
        if worker is None or worker.incarnation != incarnation:
            continue
        if number > worker.last_seen:
            worker.last_seen = number
            worker.uncommitted_ends = {
                end_number: key
                for end_number, key in worker.uncommitted_ends.items()
                if end_number > number
            }
            worker.needs_ack = True
            worker.hold_after_ms = min(worker.hold_after_ms, state.now_ms)


@handle.register
def _handle_progress_committed(
    event: ProgressCommitted, context: Context
) -> None:
    state = context.state
    if event.commit.epoch_version != state.ownership.epoch_version:
        return
    state.is_committing = event.is_partial
    if event.is_fenced:
        _ownership.step_down(context, 'a commit found another owner')
        return
    for write in event.commit.writes:
        job = state.jobs.get(write.job_id)
        if job is not None:
            job.progress_version = event.version
            job.durable = write.record
            job.pending_progress = None
            state.is_placing_due = True
            state.is_sending_due = True
            _transfers.send(job, context)
            _job_moves.send(job, context)
    for job_id, reason in event.refusals.items():
        job = state.jobs.get(job_id)
        record = job.pending_progress if job is not None else None
        was_final = record is not None and record.state in FINAL_STATES
        _drop_refused(job_id, reason, context, was_final=was_final)
    _record_settled_ends(event.commit.ends, state)


@handle.register
def _handle_job_refused(event: JobRefused, context: Context) -> None:
    if context.state.ownership.phase is Phase.ACTIVE:
        _drop_refused(event.job_id, event.reason, context, was_final=False)


def _drop_refused(
    job_id: str, reason: str, context: Context, *, was_final: bool
) -> None:
    """Fail a job whose row the store refuses, or withhold it.

    Its row takes little space once it is final. If the store refused that too,
    as ``was_final`` says, nothing more is written for the job.
    """
    state = context.state
    job = state.jobs.get(job_id)
    if job is None:
        return
    job.pending_progress = None
    state.count('jobs_refused')
    if was_final:
        state.dirty_jobs.pop(job_id, None)
        _lifecycle.withhold(job, context, f'the store refuses it: {reason}')
        return
    if job.state in FINAL_STATES:
        # It has ended since the refused record was made.
        _lifecycle.mark_dirty(job, state)
        return
    _giving_up.fail(job, f'the store refuses its state: {reason}', context)


# -- the roster ---------------------------------------------------------------


def _commit_roster_if_changed(context: Context) -> None:
    """Commit the roster, the workers that may have orders of this owner.

    A worker is added before its first order, and removed once it is gone and
    no run can be left there. Workers of services that the configuration
    doesn't name are not added and get no orders.
    """
    state = context.state
    if state.is_roster_committing:
        return
    wanted = _make_roster(state)
    if _is_roster_refused(wanted, state):
        return
    durable = RosterRecord(
        state.roster,
        state.roster_births_ms,
        state.roster_bounds,
        state.unlisted_until_ms,
    )
    if wanted == durable:
        return
    state.is_roster_committing = True
    _worker_leases.note_commit(wanted.bounds, state)
    context.emit(
        CommitRoster(
            wanted,
            state.roster_version,
            state.ownership.epoch_version,
        )
    )


def _is_roster_refused(wanted: RosterRecord, state: SchedulerState) -> bool:
    """Whether a roster is the refused one, or follows it too soon."""
    if state.refused_roster is None:
        return False
    waited_ms = state.now_ms - state.roster_refused_ms
    return (
        wanted == state.refused_roster or waited_ms < _REFUSED_ROSTER_PAUSE_MS
    )


def _make_roster(state: SchedulerState) -> RosterRecord:
    workers = [
        worker
        for worker in state.workers.values()
        if worker.is_rostered
        or _is_configured_service(worker.entry.service, state)
    ]
    addresses = {worker.worker_id: worker.entry.address for worker in workers}
    return RosterRecord(
        addresses,
        {
            worker.worker_id: worker.known_born_ms
            for worker in workers
            if worker.known_born_ms
        },
        _worker_leases.make_bounds(addresses, state),
        _worker_leases.get_unlisted_until_ms(state),
    )


def _is_configured_service(service: str, state: SchedulerState) -> bool:
    configuration = state.configuration
    return configuration is None or service in configuration.service_names


@handle.register
def _handle_roster_committed(event: RosterCommitted, context: Context) -> None:
    state = context.state
    if event.epoch_version != state.ownership.epoch_version:
        return
    state.is_roster_committing = False
    if not _ownership.is_loaded(state):
        return
    if event.is_fenced:
        # Its own release refuses the commits of an owner too.
        if state.ownership.phase is Phase.ACTIVE:
            _ownership.step_down(context, 'the roster has another owner')
        return
    state.refused_roster = event.roster if event.is_refused else None
    if event.is_refused:
        state.count('rosters_refused')
        state.roster_refused_ms = state.now_ms
        return
    if not event.version:
        return
    state.roster = dict(event.roster.addresses)
    state.roster_births_ms = dict(event.roster.births_ms)
    state.unlisted_until_ms = event.roster.unlisted_until_ms
    _worker_leases.note_committed(event.roster.bounds, state)
    state.roster_version = event.version
    for worker_id in state.roster:
        if worker_id in state.workers:
            state.workers[worker_id].is_rostered = True


@handle.register
def _handle_model_kept(event: ModelKept, context: Context) -> None:
    context.state.is_model_committing = False


def _remove_finished_jobs(context: Context) -> None:
    """Remove jobs that finished longer ago than the retention time.

    Their tasks are removed as soon as their final state is durable. A later
    end of one changes nothing, as for an owner that loads the finished job.
    """
    state = context.state
    if state.now_ms - state.last_sweep_ms < _REMOVAL_INTERVAL_MS:
        return
    state.last_sweep_ms = state.now_ms
    limit_ms = state.now_ms - state.config.finished_retention_ms
    for job_id in state.scheduled:
        if job_id in state.jobs:
            _occurrences.sweep(state.jobs[job_id])
    settled = [job for job in state.jobs.values() if _is_settled(job, state)]
    for job in settled:
        if job.state in FINAL_STATES and job.pending_progress is None:
            job.tasks.clear()
    old = [job.job_id for job in settled if job.finished_ms < limit_ms]
    old = old[:_MAX_REMOVALS_PER_CALL]
    _remove_early_cancels(limit_ms, context)
    if not old or state.is_committing:
        return
    transferred = frozenset(
        job_id for job_id in old if _is_elsewhere(state.jobs[job_id])
    )
    moved_versions = {
        job_id: state.jobs[job_id].row_version
        for job_id in old
        if state.jobs[job_id].moved_to is not None
    }
    for job_id in old:
        del state.jobs[job_id]
        state.tails.pop(job_id, None)
        state.scheduled.discard(job_id)
    context.emit(
        RemoveJobs(
            tuple(old),
            state.ownership.epoch_version,
            transferred,
            moved_versions,
        )
    )


def _is_settled(job: Job, state: SchedulerState) -> bool:
    """Whether a job is over in this unit, with nothing to commit or to stop."""
    return (
        (job.state in FINAL_STATES or job.moved_to is not None)
        and job.job_id not in state.dirty_jobs
        and not any(task.attempts for task in job.tasks.values())
    )


def _remove_early_cancels(limit_ms: int, context: Context) -> None:
    """Remove old cancels of jobs that were not accepted.

    No submit is left then that they have to refuse.
    """
    state = context.state
    old = [
        job_id
        for job_id, read_ms in state.early_cancels_ms.items()
        if read_ms < limit_ms and job_id not in state.jobs
    ][:_MAX_REMOVALS_PER_CALL]
    for job_id in old:
        del state.early_cancels_ms[job_id]
    if old:
        context.emit(RemoveJobs(tuple(old), state.ownership.epoch_version))


def _is_elsewhere(job: Job) -> bool:
    """Whether another unit is the home of a job."""
    return job.is_transferred or job.moved_to is not None
