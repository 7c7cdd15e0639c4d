"""Loading the unit, and making progress durable by group commit."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _advising,
    _attempts,
    _demand,
    _giving_up,
    _lifecycle,
    _memory,
    _ownership,
    _passing,
    _reports,
    _unseen,
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
    JobsChanged,
    ModelKept,
    ProgressCommitted,
    RosterCommitted,
    UnitLoaded,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import FAIL_SUFFIX, GUEST_SUFFIX, RosterRecord
from tulippin.jobs.state import Job, Phase, SchedulerState
from tulippin.jobs.types import FINAL_STATES, JobState, Step

# A transaction takes 100 entries: a job's progress is a condition and a
# write, and the epoch one condition more.
_JOBS_PER_COMMIT: t.Final = 45
# Ends that finish no job wait so long for others to share their commit.
_GATHER_MS: t.Final = 120
_REMOVE_PER_CALL: t.Final = 30
# How often finished jobs are looked through.
_SWEEP_EVERY_MS: t.Final = 2000


@handle.register
def _load(event: UnitLoaded, context: Context) -> None:
    state = context.state
    if state.ownership.phase is not Phase.LOADING:
        return
    if event.epoch_version < state.ownership.epoch_version:
        # Read for an earlier ownership: what changed since is in neither
        # this reading nor the feed that goes on from the newer one.
        return
    if event.epoch_version > state.ownership.epoch_version:
        # The jobs may be newer than our ownership, and the feed that goes
        # on from them would not tell of the taking.
        _ownership.step_down(context, 'another owner took it meanwhile')
        return
    state.ownership.phase = Phase.ACTIVE
    state.roster_version = event.roster_version
    for entry in event.workers:
        _workers.note_entry(entry, event.workers_read_ms, context)
    if event.roster is None:
        _unseen.begin_without_roster(context)
    else:
        state.roster = dict(event.roster.addresses)
        _unseen.begin(event.account, context)
    _advising.restore(event, context)
    jobs = _lifecycle.add_rows(event.jobs, context)
    state.unread_jobs.update(_lifecycle.list_unread(event.jobs, state))
    _restore(jobs, event.progress, context)
    _unseen.note_tasks(event.account, context)
    _take_up_all(jobs, event, context)
    context.log(
        'unit loaded',
        epoch=context.fencing_token,
        jobs=len(jobs),
        workers=len(state.workers),
        rostered=len(state.roster),
        pairs_known=sum(
            len(model.means) for model in state.model.images.values()
        ),
    )


def _take_up_all(jobs: list[Job], event: UnitLoaded, context: Context) -> None:
    """Have the tasks of loaded jobs started as far as they may be."""
    state = context.state
    for job in jobs:
        # Until every worker has answered or lapsed, a task that is not
        # seen anywhere may still run; but no earlier owner has started
        # what was accepted after our taking.
        is_new = job.row_version > state.ownership.epoch_version
        job.awaits_workers = job.is_guest or not is_new
        if is_new and not job.is_guest:
            job.knows_places = True
        elif job.durable is None or event.roster is None:
            # Of workers that are on no roster nothing tells when they are sure.
            job.knows_places = False
        job.is_resumed = job.has_begun
        _take_up(job, context)
    _demand.take_over(state)


def _restore(
    jobs: list[Job], progress: tuple[StoredRow, ...], context: Context
) -> None:
    """Apply what is durable of jobs that were just read."""
    by_id = {job.job_id: job for job in jobs}
    for row in progress:
        job = by_id.get(row.key)
        if job is not None:
            _restore_surely(job, row, context)
            _passing.send(job, context)


def _restore_surely(job: Job, row: StoredRow, context: Context) -> None:
    """Apply a job's progress; an error withholds the job, and no other.

    It may be half applied. Nothing is started of a job of which it is not
    known what is done, and the others are not kept waiting for that.
    """
    try:
        _lifecycle.restore(job, row, context)
    except Exception as error:
        # What is written of its end has to stand over this row.
        job.progress_version = row.version
        _lifecycle.tell_failed_row(error, row, context)
        _lifecycle.withhold(job, context, f'its progress raised {error!r}')


@handle.register
def _change_jobs(event: JobsChanged, context: Context) -> None:
    state = context.state
    if not _ownership.is_loaded(state):
        return
    if event.epoch_version > state.ownership.epoch_version:
        # Whatever came with it, or later, is the next owner's to start.
        _ownership.step_down(context, 'the feed of jobs shows another owner')
        return
    before = {job_id for job_id, job in state.jobs.items() if job.is_cancelled}
    added = _lifecycle.add_rows(event.rows, context)
    _withhold_unread(added, context)
    _restore(added, event.progress, context)
    if added:
        state.arrived_ms = state.now_ms
    for job in added:
        context.log(
            'job taken up',
            job=job.job_id,
            queue=job.queue.name,
            steps=[_describe(step) for step in job.request.steps],
            version=job.row_version,
        )
        _reports.adopt_strays(job, context)
        _take_up(job, context)
    for row in event.rows:
        job_id = row.key.partition('/')[0]
        job = state.jobs.get(job_id)
        if job is None:
            continue
        if job.is_cancelled and job_id not in before:
            _cancel(job, context)
        elif row.key.endswith((GUEST_SUFFIX, FAIL_SUFFIX)):
            _take_up(job, context)


def _withhold_unread(jobs: list[Job], context: Context) -> None:
    """Start nothing of jobs that could not be read with their unit.

    Earlier owners may have known them, and this one did not see what they
    left of them.
    """
    for job in jobs:
        if job.job_id in context.state.unread_jobs:
            _lifecycle.withhold(job, context, 'its row was unreadable')


def _describe(step: Step) -> dict[str, t.Any]:
    """Return what a step asks for, without what it leaves at zero."""
    return attrs.asdict(
        step, filter=lambda field, value: value not in {field.default, None}
    )


def _take_up(job: Job, context: Context) -> None:
    if job.is_cancelled:
        _cancel(job, context)
    elif job.is_given_up:
        _giving_up.fail(job, job.reason, context)
    elif job.state not in FINAL_STATES:
        _lifecycle.open_steps(job, context.state)
        if _lifecycle.has_lasting(job):
            # The next owner then knows which of its tasks have never run.
            _lifecycle.mark_dirty(job, context.state)


def _cancel(job: Job, context: Context) -> None:
    if job.state in FINAL_STATES:
        return
    _lifecycle.finish(job, JobState.CANCELLED, context)
    _attempts.stop_job(job, context, 'job is cancelled')


# -- commits ------------------------------------------------------------------


def tick(context: Context) -> None:
    """Begin a commit if one is due, and keep the roster."""
    state = context.state
    if state.ownership.phase is not Phase.ACTIVE:
        return
    commit_if_due(context)
    _keep_roster(context)
    _memory.tick(context)
    _remove_old(context)


def commit_if_due(context: Context) -> None:
    """Begin a commit: at once for a final state, else in a group."""
    state = context.state
    if state.is_committing or state.ownership.phase is not Phase.ACTIVE:
        return
    is_urgent = any(
        state.jobs[job_id].state in FINAL_STATES
        for job_id in state.dirty_jobs
        if job_id in state.jobs
    )
    if not state.dirty_jobs:
        _note_seen(context)
        return
    waited_ms = state.now_ms - state.dirty_since_ms
    if not is_urgent and waited_ms < _GATHER_MS:
        return
    _commit(context)


def _commit(context: Context) -> None:
    state = context.state
    chosen = sorted(
        state.dirty_jobs,
        key=lambda job_id: state.jobs[job_id].state not in FINAL_STATES,
    )[:_JOBS_PER_COMMIT]
    writes = []
    for job_id in chosen:
        job = state.jobs[job_id]
        del state.dirty_jobs[job_id]
        record = _lifecycle.make_progress(job)
        if record != job.durable:
            job.committing = record
            writes.append(ProgressWrite(job_id, record, job.progress_version))
    ends = {}
    if not state.dirty_jobs:
        ends = _collect_ends(state)
    if not writes:
        _settle_ends(ends, state)
        return
    state.is_committing = True
    state.dirty_since_ms = state.now_ms
    context.emit(
        CommitProgress(tuple(writes), ends, state.ownership.epoch_version)
    )


def _collect_ends(state: SchedulerState) -> dict[str, int]:
    return {
        worker.worker_id: worker.ends_read
        for worker in state.workers.values()
        if worker.ends_read > worker.last_seen
    }


def _note_seen(context: Context) -> None:
    """Nothing waits to become durable: all ends read may be forgotten."""
    _settle_ends(_collect_ends(context.state), context.state)


def _settle_ends(ends: dict[str, int], state: SchedulerState) -> None:
    for worker_id, number in ends.items():
        worker = state.workers.get(worker_id)
        if worker is not None and number > worker.last_seen:
            worker.last_seen = number
            worker.unsettled = {
                one: key
                for one, key in worker.unsettled.items()
                if one > number
            }
            worker.needs_ack = True
            worker.hold_after_ms = min(worker.hold_after_ms, state.now_ms)


@handle.register
def _committed(event: ProgressCommitted, context: Context) -> None:
    state = context.state
    if event.commit.epoch_version != state.ownership.epoch_version:
        return
    state.is_committing = False
    if event.is_fenced:
        _ownership.step_down(context, 'a commit found another owner')
        return
    for write in event.commit.writes:
        job = state.jobs.get(write.job_id)
        if job is not None:
            job.progress_version = event.version
            job.durable = write.record
            job.committing = None
            state.is_placing_due = True
            state.is_sending_due = True
            _passing.send(job, context)
    _settle_ends(event.commit.ends, state)


# -- the roster ---------------------------------------------------------------


def _keep_roster(context: Context) -> None:
    """Keep the workers known that orders of ours may reach.

    A worker is written down before its first order, and struck out once
    it is gone and nothing can run there. One of a service that no
    configuration has named yet gets no order.
    """
    state = context.state
    if state.is_roster_committing:
        return
    wanted = {
        worker.worker_id: worker.entry.address
        for worker in state.workers.values()
        if worker.is_rostered or _is_named(worker.entry.service, state)
    }
    if wanted == state.roster:
        return
    state.is_roster_committing = True
    context.emit(
        CommitRoster(
            RosterRecord(wanted),
            state.roster_version,
            state.ownership.epoch_version,
        )
    )


def _is_named(service: str, state: SchedulerState) -> bool:
    known = state.configuration
    return known is None or service in known.service_names


@handle.register
def _roster_committed(event: RosterCommitted, context: Context) -> None:
    state = context.state
    if event.epoch_version != state.ownership.epoch_version:
        return
    state.is_roster_committing = False
    if state.ownership.phase is not Phase.ACTIVE:
        return
    if event.is_fenced:
        _ownership.step_down(context, 'the roster has another owner')
        return
    if not event.version:
        return
    state.roster = dict(event.roster.addresses)
    state.roster_version = event.version
    for worker_id in state.roster:
        if worker_id in state.workers:
            state.workers[worker_id].is_rostered = True


@handle.register
def _model_kept(event: ModelKept, context: Context) -> None:
    context.state.is_model_committing = False


def _remove_old(context: Context) -> None:
    """Forget jobs whose final state has been kept long enough."""
    state = context.state
    if state.now_ms - state.swept_ms < _SWEEP_EVERY_MS:
        return
    state.swept_ms = state.now_ms
    limit_ms = state.now_ms - state.config.finished_kept_ms
    old = [
        job.job_id
        for job in state.jobs.values()
        if job.state in FINAL_STATES
        and job.finished_ms < limit_ms
        and job.job_id not in state.dirty_jobs
        and not any(task.attempts for task in job.tasks.values())
    ][:_REMOVE_PER_CALL]
    if not old or state.is_committing:
        return
    guests = frozenset(one for one in old if state.jobs[one].is_guest)
    for job_id in old:
        del state.jobs[job_id]
        state.tails.pop(job_id, None)
        state.scheduled.discard(job_id)
    context.emit(RemoveJobs(tuple(old), state.ownership.epoch_version, guests))
