"""Life cycle of a job, from its stored rows to its final state.

Builds jobs from rows and restores their progress, makes the tasks of a step
ready once the earlier steps are done, and writes progress records.
"""

from __future__ import annotations

import collections
import typing as t

import attrs

from tulippin.jobs import _backlog, _demand, _occurrences, _ready_queues
from tulippin.jobs._dispatch import Context
from tulippin.jobs._event_sources import name_row
from tulippin.jobs._record_validation import (
    find_progress_fault,
    is_job_id,
)
from tulippin.jobs._rows import log_unreadable, read_record
from tulippin.jobs.effects import FailJob, TellFailure
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    CANCEL_SUFFIX,
    FAIL_SUFFIX,
    GUEST_SUFFIX,
    CancelRecord,
    CrashRecord,
    FailRecord,
    GuestRecord,
    JobRecord,
    MovedJobRecord,
    ProgressRecord,
)
from tulippin.jobs.state import Job, SchedulerState, Task, TransferredTask
from tulippin.jobs.types import (
    FINAL_STATES,
    JobState,
    TaskKey,
    parse_task_key,
)

_HEX_BASE: t.Final = 16
_BYTE_BITS: t.Final = 8

# Indexes of tasks by occurrence and step.
_IndexesByStep: t.TypeAlias = dict[tuple[int, ...], list[int]]


def add_rows(rows: t.Iterable[StoredRow], context: Context) -> list[Job]:
    """Apply rows of the jobs table and return the jobs that are new.

    Cancellations and failures are applied last, as their rows may precede the
    row of their job.
    """
    jobs = context.state.jobs
    added = []
    cancelled = []
    failed = []
    for row in rows:
        if row.value is None:
            _forget_early_cancel(row, context.state)
            continue
        if row.key.endswith(CANCEL_SUFFIX):
            cancelled.append(_apply_cancel(row, context.state))
            continue
        if row.key.endswith(FAIL_SUFFIX):
            failed.append(row)
            continue
        job = _try_apply_row(row, context)
        if job is not None:
            added.append(job)
    for job_id in cancelled:
        if job_id in jobs:
            jobs[job_id].is_cancelled = True
    for row in failed:
        _apply_failure(row, context.state)
    return added


def _forget_early_cancel(row: StoredRow, state: SchedulerState) -> None:
    """Forget the cancel of a job that was not accepted if its row is gone."""
    if row.key.endswith(CANCEL_SUFFIX):
        state.early_cancels_ms.pop(row.key.removesuffix(CANCEL_SUFFIX), None)


def _apply_cancel(row: StoredRow, state: SchedulerState) -> str:
    """Return the id of the cancelled job; record it if it wasn't accepted.

    An unreadable row counts too: its key suffices, and an accepted
    cancellation is final. Reading it logs what is wrong.
    """
    job_id = row.key.removesuffix(CANCEL_SUFFIX)
    record = read_record(row, CancelRecord)
    if record is not None and not record.was_accepted:
        state.early_cancels_ms.setdefault(job_id, state.now_ms)
    return job_id


def _apply_failure(row: StoredRow, state: SchedulerState) -> None:
    """Record that another unit abandoned a job."""
    job = state.jobs.get(row.key.removesuffix(FAIL_SUFFIX))
    record = read_record(row, FailRecord)
    if job is not None and record is not None:
        job.is_given_up = True
        job.reason = record.reason


def _try_apply_row(row: StoredRow, context: Context) -> Job | None:
    """Apply a job's row, and withhold the job if that raises an error.

    Catches any error, so that one bad row doesn't affect other jobs.
    """
    try:
        return _apply_row(row, context)
    except Exception as error:
        report_failed_row(error, row, context)
        job = context.state.jobs.get(row.key.removesuffix(GUEST_SUFFIX))
        if job is not None:
            withhold(job, context, f'its row raised {error!r}')
        return None


def report_failed_row(
    error: Exception, row: StoredRow, context: Context
) -> None:
    """Count and report an error that a job's row raised."""
    context.state.count('rows_failed')
    context.emit(TellFailure('row failed', error, (name_row(row),)))


def _apply_row(row: StoredRow, context: Context) -> Job | None:
    """Apply the row of a job or of transferred tasks.

    Returns
    -------
    Job or None
        The job, if it is new.
    """
    if not is_job_id(row.key.removesuffix(GUEST_SUFFIX)):
        log_unreadable(row, 'its key is not a valid job id')
        return None
    if row.key.endswith(GUEST_SUFFIX):
        return _apply_transferred_tasks(row, context)
    jobs = context.state.jobs
    known = jobs.get(row.key)
    if known is not None and not _has_returned(known, row):
        return None
    job = _make_job(row, context)
    if job is not None:
        if known is not None:
            job.progress_version = known.progress_version
        jobs[row.key] = job
    return job


def _has_returned(job: Job, row: StoredRow) -> bool:
    """Whether a row brings a job back to a unit that it left."""
    return job.moved_to is not None and row.version > job.row_version


def list_unreadable_jobs(
    rows: t.Iterable[StoredRow], state: SchedulerState
) -> t.Iterator[str]:
    """Yield the ids of jobs whose rows could not be read."""
    for row in rows:
        job_id = row.key.partition('/')[0]
        is_known = job_id in state.jobs or job_id in state.early_cancels_ms
        if row.value is not None and not is_known:
            yield job_id


def _apply_transferred_tasks(row: StoredRow, context: Context) -> Job | None:
    """Apply tasks that other units transferred to this one.

    Returns
    -------
    Job or None
        The job, if it is new.
    """
    state = context.state
    job_id = row.key.removesuffix(GUEST_SUFFIX)
    record = read_record(row, GuestRecord)
    if record is None:
        return None
    job = state.jobs.get(job_id)
    if job is not None and job.request.steps != record.request.steps:
        log_unreadable(row, 'its steps differ from those of its job')
        return None
    is_new = job is None
    if job is None:
        job = Job(
            job_id,
            record.queue,
            record.request,
            row.version,
            arrived_ms=state.now_ms,
            first_seen_ms=state.now_ms,
            is_transferred=True,
        )
        _begin_single(job)
        state.jobs[job_id] = job
    for name, number in record.passes.items():
        key = parse_task_key(f'{job_id}.{name}')
        _occurrences.begin(job, key.occurrence)
        if number > job.passes.get(key, 0):
            job.passes[key] = number
            task = get_task(job, key)
            task.run_floor = record.runs.get(name, 0)
            task.has_run = name in record.begun
            _restore_crashes(task, record.crashes.get(name, ()), state)
    return job if is_new else None


def _begin_single(job: Job) -> None:
    """Count the tasks of a job without a schedule."""
    if job.request.occurrence_count == 1:
        _occurrences.begin(job, 0)


def is_assigned_here(job: Job, key: TaskKey) -> bool:
    """Whether a task is assigned to this unit.

    No task of a job that has moved is. Otherwise the latest transfer counts,
    whether the task was received or sent.
    """
    if job.moved_to is not None:
        return False
    received_number = job.passes.get(key, -1 if job.is_transferred else 0)
    sent = job.passed.get(key)
    return sent is None or received_number > sent.transfer_number


def get_counted_task(job: Job) -> TaskKey:
    """Return the key of the task whose unit counts the job as waiting."""
    return TaskKey(job.job_id, 0, 0, 0)


def is_waiting(job: Job) -> bool:
    """Whether this unit counts a job as one without a started task.

    The tasks of a job may be spread over several units. The unit that holds
    the first task counts the job, so that each job is counted exactly once.
    """
    is_pending = job.state is JobState.PENDING and not job.is_progress_unknown
    if job.is_cancelled or not is_pending:
        return False
    first = get_counted_task(job)
    if job.is_transferred and first not in job.passes:
        return False
    task = job.tasks.get(first)
    has_run = task is not None and task.has_run
    return is_assigned_here(job, first) and not has_run


def _get_arrival_ms(record: JobRecord, state: SchedulerState) -> int:
    """Return when a job was accepted, in this instance's clock.

    A job that is loaded after a takeover has waited already. Ranked as if it
    had just arrived, it would precede jobs that can still meet their target.
    As clocks differ between instances, the age is limited to the range from
    0 to the retention time.
    """
    if not record.accepted_ms:
        return state.now_ms
    age_ms = state.now_ms + state.wall_offset_ms - record.accepted_ms
    return state.now_ms - min(
        max(0, age_ms), state.config.finished_retention_ms
    )


def _make_job(row: StoredRow, context: Context) -> Job | None:
    record = read_record(row, JobRecord)
    if record is None:
        return None
    job = Job(
        row.key,
        record.queue,
        record.request,
        row.version,
        arrived_ms=_get_arrival_ms(record, context.state),
        first_seen_ms=context.state.now_ms,
    )
    _begin_single(job)
    if record.moved is not None:
        _restore_moved(job, record.moved, context)
    if record.request.schedule.count:
        context.state.scheduled.add(row.key)
    return job


def _restore_moved(job: Job, moved: MovedJobRecord, context: Context) -> None:
    """Restore what the last home unit left of a job that moved here."""
    job.run_floor = moved.run_floor
    job.left_units = moved.left_units
    job.state = moved.progress.state
    job.has_begun = job.state is not JobState.PENDING
    _restore_tasks(job, moved.progress, context.state)
    _restore_begun(job, moved.progress)
    for name, checkpoint in moved.checkpoints.items():
        task = get_task(job, parse_task_key(f'{job.job_id}.{name}'))
        task.checkpoint = checkpoint


def restore(job: Job, row: StoredRow, context: Context) -> None:
    """Apply the stored progress of a job.

    A job with unreadable progress is withheld.
    """
    if row.value is None:
        return
    job.progress_version = row.version
    unit = context.state.config.unit.number
    if unit in job.left_units and row.version < job.row_version:
        # It is of the job's earlier stay in the unit.
        return
    record = _read_progress(job, row)
    if record is None:
        withhold(job, context, 'its progress is unreadable')
        return
    job.durable = record
    job.state = record.state
    job.has_begun = record.state is not JobState.PENDING
    job.reason = record.reason
    if record.state in FINAL_STATES:
        job.finished_ms = context.state.now_ms
        if record.state is JobState.FAILED:
            # The last owner may have crashed before it notified other units.
            _notify_failed(job, context)
        return
    _restore_tasks(job, record, context.state)
    for name, passed in record.passed.items():
        key = parse_task_key(f'{job.job_id}.{name}')
        job.passed[key] = TransferredTask(*passed)
    for name, started in record.started.items():
        task = get_task(job, parse_task_key(f'{job.job_id}.{name}'))
        task.unresolved_start = started
    job.moved_to = record.moved_to
    _restore_assigned_workers(job, record)
    _restore_begun(job, record)


def _restore_tasks(
    job: Job, record: ProgressRecord, state: SchedulerState
) -> None:
    """Restore which tasks are done, have failed runs or crashed workers."""
    _occurrences.restore(job, record.complete)
    for name, bits in record.done.items():
        occurrence, _, number = name.partition('.')
        _restore_done(job, int(occurrence), int(number), int(bits, _HEX_BASE))
    _occurrences.forget_complete(job)
    for name, runs in record.failures.items():
        task = get_task(job, parse_task_key(f'{job.job_id}.{name}'))
        task.failed_runs = set(runs)
        task.avoided.update(record.avoided.get(name, ()))
    for name, crashes in record.crashes.items():
        task = get_task(job, parse_task_key(f'{job.job_id}.{name}'))
        _restore_crashes(task, crashes, state)
    job.doubts = record.doubts


def _restore_begun(job: Job, record: ProgressRecord) -> None:
    """Restore which long-running tasks have run, if that is recorded."""
    job.are_started_tasks_known = record.begun is not None
    for name, bits in (record.begun or {}).items():
        occurrence, _, number = name.partition('.')
        for index in range(job.request.steps[int(number)].task_count):
            if int(bits, _HEX_BASE) >> index & 1:
                key = TaskKey(job.job_id, int(occurrence), int(number), index)
                get_task(job, key).has_run = True


def _restore_assigned_workers(job: Job, record: ProgressRecord) -> None:
    """Restore the workers where long-running tasks may run, if recorded."""
    job.are_assignments_known = record.places is not None
    for name, worker_ids in (record.places or {}).items():
        task = get_task(job, parse_task_key(f'{job.job_id}.{name}'))
        task.unconfirmed_workers.update(worker_ids)


def _restore_crashes(
    task: Task, crashes: t.Iterable[CrashRecord], state: SchedulerState
) -> None:
    """Restore the crashes that an earlier owner or another unit recorded."""
    for crash in crashes:
        task.crashes[crash.incarnation] = crash
        state.suspects.add(task.key)


def _read_progress(job: Job, row: StoredRow) -> ProgressRecord | None:
    """Return a job's progress, or None if any part of it is invalid."""
    record = read_record(row, ProgressRecord)
    if record is None:
        return None
    fault = find_progress_fault(record, job.request)
    if fault:
        log_unreadable(row, fault)
        return None
    return record


def withhold(job: Job, context: Context, why: str) -> None:
    """Stop starting tasks of a job whose earlier progress is unknown.

    The job may be finished, or have tasks that are done or run in another
    unit. Its runs on workers go on, and it can be cancelled.
    """
    job.is_progress_unknown = True
    job.has_begun = True
    context.log('job withheld', job=job.job_id, why=why)


def _restore_done(job: Job, occurrence: int, number: int, bits: int) -> None:
    _occurrences.begin(job, occurrence)
    for index in range(job.request.steps[number].task_count):
        if bits >> index & 1:
            task = get_task(job, TaskKey(job.job_id, occurrence, number, index))
            job.remaining[occurrence, number] -= not task.is_done
            task.is_done = True


def get_task(job: Job, key: TaskKey) -> Task:
    """Return a task of a job; create it if it doesn't exist yet."""
    task = job.tasks.get(key)
    if task is None:
        task = job.tasks[key] = Task(
            key,
            is_done=_occurrences.is_complete(job, key.occurrence),
            run_floor=job.run_floor,
        )
    return task


def get_name(key: TaskKey) -> str:
    """Return the name of a task within its job, as ``K.STEP.INDEX``."""
    return f'{key.occurrence}.{key.step}.{key.index}'


def _iter_valid_tasks(job: Job) -> t.Iterator[tuple[TaskKey, Task]]:
    """Yield the tasks of a job's steps in occurrences that aren't complete.

    Workers may report runs of tasks that don't exist. A progress record with
    such a task would be rejected as a whole, and the job withheld.
    """
    task_counts = [step.task_count for step in job.request.steps]
    occurrences = range(
        0 if job.request.occurrence_count == 1 else job.completed_count,
        job.request.occurrence_count,
    )
    numbers = range(len(task_counts))
    for key, task in job.tasks.items():
        _, occurrence, number, index = key
        is_step = occurrence in occurrences and number in numbers
        if is_step and 0 <= index < task_counts[number]:
            yield key, task


def make_progress(job: Job) -> ProgressRecord:
    """Return the progress record for the present state of a job."""
    if job.state in FINAL_STATES:
        return ProgressRecord(job.state, reason=job.reason)
    done: _IndexesByStep = collections.defaultdict(list)
    begun: _IndexesByStep = collections.defaultdict(list)
    failures: dict[str, list[int]] = {}
    avoided: dict[str, list[str]] = {}
    crashes: dict[str, tuple[CrashRecord, ...]] = {}
    for key, task in _iter_valid_tasks(job):
        if task.crashes and not task.is_done:
            crashes[get_name(key)] = task.list_crashes()
        if task.is_done:
            done[key[1:3]].append(key.index)
        if job.request.steps[key.step].long_running and (
            task.attempts or _ready_queues.ran_before(job, task)
        ):
            begun[key[1:3]].append(key.index)
        if task.failed_runs:
            name = get_name(key)
            failures[name] = sorted(task.failed_runs)
            avoided[name] = sorted(task.avoided)
    return ProgressRecord(
        job.state,
        _format_bits(done),
        failures,
        {
            get_name(key): attrs.astuple(passed)
            for key, passed in job.passed.items()
        },
        avoided,
        crashes,
        _list_recent_starts(job),
        places=_list_assigned_workers(job),
        begun=_format_bits(begun) if has_long_running(job) else None,
        doubts=job.doubts,
        moved_to=job.moved_to,
        complete=_occurrences.list_complete(job),
    )


def _format_bits(indexes: _IndexesByStep) -> dict[str, str]:
    """Return the tasks of each step as the bits of a hexadecimal number."""
    return {
        f'{occurrence}.{number}': f'{_join_bits(found):x}'
        for (occurrence, number), found in indexes.items()
    }


def _join_bits(indexes: list[int]) -> int:
    """Return the number in which the bits of some indexes are set.

    Setting them one by one would copy the number for each.
    """
    joined = bytearray(max(indexes) // _BYTE_BITS + 1)
    for index in indexes:
        joined[index // _BYTE_BITS] |= 1 << index % _BYTE_BITS
    return int.from_bytes(joined, 'little')


def _list_recent_starts(job: Job) -> dict[str, tuple[int, str]]:
    """Return the latest run and its worker for each recently started task.

    Runs that have passed their probation are left out, as they aren't
    suspected of crashing their worker.
    """
    started = {}
    for key, task in _iter_valid_tasks(job):
        if task.attempts:
            run = max(task.attempts)
            if not task.attempts[run].has_passed_probation:
                started[get_name(key)] = (run, task.attempts[run].worker_id)
        elif task.unresolved_start is not None:
            started[get_name(key)] = task.unresolved_start
    return started


def has_long_running(job: Job) -> bool:
    """Whether any step of a job is long-running."""
    return any(step.long_running for step in job.request.steps)


def _list_assigned_workers(job: Job) -> dict[str, tuple[str, ...]] | None:
    """Return the workers where each long-running task may run, by its name.

    Returns None if that is unknown or the job has no long-running tasks.
    """
    if not (job.are_assignments_known and has_long_running(job)):
        return None
    assigned_workers = {}
    for key, task in _iter_valid_tasks(job):
        if not job.request.steps[key.step].long_running:
            continue
        worker_ids = {run.worker_id for run in task.attempts.values()}
        worker_ids |= task.unconfirmed_workers | task.standby_workers
        if worker_ids:
            assigned_workers[get_name(key)] = tuple(sorted(worker_ids))
    return assigned_workers


def is_assignment_durable(job: Job, key: TaskKey, worker_id: str) -> bool:
    """Whether the stored progress names a worker for a long-running task.

    The next owner then looks for the task there. It may read the record of
    the commit in progress too, so that one must also name the worker.
    """
    return _is_worker_recorded(job.durable, key, worker_id) and (
        job.pending_progress is None
        or _is_worker_recorded(job.pending_progress, key, worker_id)
    )


def _is_worker_recorded(
    record: ProgressRecord | None, key: TaskKey, worker_id: str
) -> bool:
    if record is None or record.places is None:
        return False
    return worker_id in record.places.get(get_name(key), ())


def mark_dirty(job: Job, state: SchedulerState) -> None:
    """Include a job's progress in the next commit.

    A job whose past is unknown is left out until it is in a final state, as
    the stored progress says more than the state in memory.
    """
    if job.is_progress_unknown and job.state not in FINAL_STATES:
        return
    if not state.dirty_jobs:
        state.dirty_since_ms = state.now_ms
    state.dirty_jobs[job.job_id] = None


def open_steps(job: Job, state: SchedulerState) -> None:
    """Make the tasks of all steps ready whose dependencies are done."""
    if job.state in FINAL_STATES or job.is_cancelled or job.is_progress_unknown:
        return
    if job.moved_to is not None:
        return
    _open_transferred(job, state)
    if not _may_open_steps(job):
        return
    for occurrence in range(job.completed_count, job.begun_count):
        _open_occurrence(job, occurrence, state)
    _open_due_occurrences(job, _occurrences.OpeningBudget(state), state)


def open_scheduled(state: SchedulerState) -> None:
    """Open the occurrences of all jobs that have become due."""
    budget = _occurrences.OpeningBudget(state)
    for job_id in state.scheduled:
        job = state.jobs.get(job_id)
        if job is not None and _may_open_steps(job):
            _open_due_occurrences(job, budget, state)


def _may_open_steps(job: Job) -> bool:
    """Whether tasks of a job's own steps may become ready in this unit."""
    if job.state in FINAL_STATES or job.is_cancelled or job.is_progress_unknown:
        return False
    return job.moved_to is None and not job.is_transferred


def _open_due_occurrences(
    job: Job, budget: _occurrences.OpeningBudget, state: SchedulerState
) -> None:
    """Open the next occurrences of a job, as far as the limits allow."""
    while _occurrences.is_next_due(job, state) and budget.take(job):
        occurrence = job.begun_count
        job.begun_count += 1
        _occurrences.begin(job, occurrence)
        _open_occurrence(job, occurrence, state)


def _open_occurrence(job: Job, occurrence: int, state: SchedulerState) -> None:
    """Make the tasks of an occurrence's steps ready that can be."""
    for number in _occurrences.iter_openable(job, occurrence):
        job.opened_steps.add((occurrence, number))
        _open_step(job, occurrence, number, state)


def _needs_start(job: Job, task: Task) -> bool:
    """Whether a task belongs to this unit, isn't done and has no runs."""
    is_idle = not task.is_done and not task.attempts
    return is_idle and is_assigned_here(job, task.key)


def _open_transferred(job: Job, state: SchedulerState) -> None:
    """Make the tasks ready that other units transferred to this one."""
    for key in job.passes:
        task = get_task(job, key)
        if _needs_start(job, task):
            task.opened_ms = task.opened_ms or state.now_ms
            _ready_queues.add(task, job.request.steps[key.step], state)


def _open_step(
    job: Job, occurrence: int, number: int, state: SchedulerState
) -> None:
    step = job.request.steps[number]
    opened = 0
    for index in range(step.task_count):
        key = TaskKey(job.job_id, occurrence, number, index)
        task = get_task(job, key)
        if _needs_start(job, task):
            task.opened_ms = task.opened_ms or state.now_ms
            _ready_queues.add(task, step, state)
            opened += 1
    _demand.note_step(job, step, opened, state)


def mark_running(job: Job, state: SchedulerState) -> None:
    """Set a job to running once its first task is started."""
    if not job.has_begun:
        job.has_begun = True
        job.state = JobState.RUNNING
        mark_dirty(job, state)


def mark_done(job: Job, task: Task, context: Context) -> None:
    """Mark a task as done, and open further steps or finish its job."""
    if task.is_done or job.state in FINAL_STATES:
        return
    state = context.state
    task.is_done = True
    _ready_queues.remove(task.key, job.request.steps[task.key.step], state)
    step_key = (task.key.occurrence, task.key.step)
    _backlog.note_done(job, job.request.steps[task.key.step], state)
    _occurrences.note_done(job, task.key)
    mark_dirty(job, state)
    if _occurrences.is_job_complete(job):
        finish(job, JobState.COMPLETED, context)
        return
    is_step_done = not _occurrences.count_remaining(job, *step_key)
    if is_step_done and _may_open_steps(job):
        _open_occurrence(job, task.key.occurrence, state)


def finish(job: Job, final: JobState, context: Context) -> None:
    """Set the final state of a job; the caller stops its runs."""
    state = context.state
    job.state = final
    job.finished_ms = state.now_ms
    state.swings.forget(job.job_id)
    for key in job.tasks:
        _ready_queues.remove(key, job.request.steps[key.step], state)
    mark_dirty(job, state)
    state.count(f'jobs_{final.value}')
    context.log(
        'job finished',
        job=job.job_id,
        state=final.value,
        age_ms=state.now_ms - job.arrived_ms,
        reason=job.reason,
    )
    if final is JobState.FAILED:
        _notify_failed(job, context)


def _notify_failed(job: Job, context: Context) -> None:
    """Notify other units of a failure if they may run tasks of the job."""
    if job.is_transferred or job.passed:
        context.emit(FailJob(job.job_id, job.reason))
