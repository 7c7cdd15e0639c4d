"""A job's life: accepted, steps opened in order, and its final state."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _demand, _ranking, _ready
from tulippin.jobs._dispatch import Context
from tulippin.jobs._row_checks import (
    find_progress_fault,
    has_task,
    is_job_id,
)
from tulippin.jobs._rows import log_unreadable, read_record
from tulippin.jobs._sources import name_row
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
    ProgressRecord,
)
from tulippin.jobs.state import Job, PassedTask, SchedulerState, Task
from tulippin.jobs.types import (
    FINAL_STATES,
    JobState,
    TaskKey,
    parse_task,
)

_HEX: t.Final = 16


def add_rows(rows: t.Iterable[StoredRow], context: Context) -> list[Job]:
    """Take in rows of the jobs' table; return the jobs that are new.

    Cancels and failures come last: they may stand before their job.
    """
    jobs = context.state.jobs
    added = []
    cancelled = []
    failed = []
    for row in rows:
        if row.value is None:
            continue
        if row.key.endswith(CANCEL_SUFFIX):
            # Also one that can't be read: its key alone says what it is, and
            # a cancel that was accepted is for good.
            read_record(row, CancelRecord)
            cancelled.append(row.key.removesuffix(CANCEL_SUFFIX))
            continue
        if row.key.endswith(FAIL_SUFFIX):
            failed.append(row)
            continue
        job = _take_surely(row, context)
        if job is not None:
            added.append(job)
    for job_id in cancelled:
        if job_id in jobs:
            jobs[job_id].is_cancelled = True
    for row in failed:
        _take_failure(row, context.state)
    return added


def _take_failure(row: StoredRow, state: SchedulerState) -> None:
    """Note that another unit gave a job up."""
    job = state.jobs.get(row.key.removesuffix(FAIL_SUFFIX))
    record = read_record(row, FailRecord)
    if job is not None and record is not None:
        job.is_given_up = True
        job.reason = record.reason


def _take_surely(row: StoredRow, context: Context) -> Job | None:
    """Take in a job's row; one that raises an error costs no other job."""
    try:
        return _take_row(row, context)
    except Exception as error:
        tell_failed_row(error, row, context)
        job = context.state.jobs.get(row.key.removesuffix(GUEST_SUFFIX))
        if job is not None:
            withhold(job, context, f'its row raised {error!r}')
        return None


def tell_failed_row(error: Exception, row: StoredRow, context: Context) -> None:
    """Tell that a job's row raised an error."""
    context.state.count('rows_failed')
    context.emit(TellFailure('row failed', error, (name_row(row),)))


def _take_row(row: StoredRow, context: Context) -> Job | None:
    """Take in a job, or tasks passed on; return a job if it is new."""
    if not is_job_id(row.key.removesuffix(GUEST_SUFFIX)):
        log_unreadable(row, 'its key names no job')
        return None
    if row.key.endswith(GUEST_SUFFIX):
        return _take_guest(row, context)
    jobs = context.state.jobs
    if row.key in jobs:
        return None
    job = _make_job(row, context)
    if job is not None:
        jobs[row.key] = job
    return job


def list_unread(
    rows: t.Iterable[StoredRow], state: SchedulerState
) -> t.Iterator[str]:
    """Iterate over the ids of jobs whose rows gave none."""
    for row in rows:
        job_id = row.key.partition('/')[0]
        if row.value is not None and job_id not in state.jobs:
            yield job_id


def _take_guest(row: StoredRow, context: Context) -> Job | None:
    """Take in tasks that other units passed on; return a job if new."""
    state = context.state
    job_id = row.key.removesuffix(GUEST_SUFFIX)
    record = read_record(row, GuestRecord)
    if record is None:
        return None
    job = state.jobs.get(job_id)
    if job is not None and job.request.steps != record.request.steps:
        log_unreadable(row, 'its job has other steps')
        return None
    is_new = job is None
    if job is None:
        job = Job(
            job_id,
            record.queue,
            record.request,
            row.version,
            arrived_ms=state.now_ms,
            known_ms=state.now_ms,
            depths=_ranking.compute_depths(record.request),
            is_guest=True,
        )
        _count_tasks(job)
        state.jobs[job_id] = job
    for name, number in record.passes.items():
        key = parse_task(f'{job_id}.{name}')
        if number > job.passes.get(key, 0):
            job.passes[key] = number
            task = get_task(job, key)
            task.least_run = record.runs.get(name, 0)
            task.has_run = name in record.begun
            _restore_crashes(task, record.crashes.get(name, ()), state)
    return job if is_new else None


def _count_tasks(job: Job) -> None:
    """Count the tasks that are to be done, as of a job with none done."""
    for occurrence in range(job.request.occurrence_count):
        for number, step in enumerate(job.request.steps):
            job.remaining[occurrence, number] = step.task_count


def is_here(job: Job, key: TaskKey) -> bool:
    """Whether a task is this unit's to run."""
    came = job.passes.get(key, -1 if job.is_guest else 0)
    went = job.passed.get(key)
    return went is None or came > went.pass_number


def get_first_task(job: Job) -> TaskKey:
    """Return the task whose unit tells whether the job has begun."""
    return TaskKey(job.job_id, 0, 0, 0)


def is_waiting(job: Job) -> bool:
    """Whether a job counts here as one with no task begun.

    Its tasks may be in several units. The one that has the first of them
    counts it, so that no job is left out or counted twice.
    """
    is_pending = job.state is JobState.PENDING and not job.is_past_unknown
    if job.is_cancelled or not is_pending:
        return False
    first = get_first_task(job)
    if job.is_guest and first not in job.passes:
        return False
    task = job.tasks.get(first)
    has_run = task is not None and task.has_run
    return is_here(job, first) and not has_run


def _get_arrival_ms(record: JobRecord, state: SchedulerState) -> int:
    """Return when a job was accepted, by this instance's clock.

    One that was loaded after a takeover has waited already. Ranked as if it
    had just come, it would go before jobs that can still be in time. Clocks
    differ, so none counts as still to come, or as older than any is kept.
    """
    if not record.accepted_ms:
        return state.now_ms
    age_ms = state.now_ms + state.wall_offset_ms - record.accepted_ms
    return state.now_ms - min(max(0, age_ms), state.config.finished_kept_ms)


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
        known_ms=context.state.now_ms,
        depths=_ranking.compute_depths(record.request),
    )
    _count_tasks(job)
    if record.request.schedule.count:
        context.state.scheduled.add(row.key)
    return job


def restore(job: Job, row: StoredRow, context: Context) -> None:
    """Apply what is durable of a job's progress."""
    if row.value is None:
        return
    job.progress_version = row.version
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
            # The last owner may have been lost before it told other units.
            _tell_failed(job, context)
        return
    for name, bits in record.done.items():
        occurrence, _, number = name.partition('.')
        _restore_done(job, int(occurrence), int(number), int(bits, _HEX))
    for name, runs in record.failures.items():
        task = get_task(job, parse_task(f'{job.job_id}.{name}'))
        task.failed_runs = set(runs)
        task.avoided.update(record.avoided.get(name, ()))
    for name, passed in record.passed.items():
        key = parse_task(f'{job.job_id}.{name}')
        job.passed[key] = PassedTask(*passed)
    for name, crashes in record.crashes.items():
        task = get_task(job, parse_task(f'{job.job_id}.{name}'))
        _restore_crashes(task, crashes, context.state)
    for name, started in record.started.items():
        task = get_task(job, parse_task(f'{job.job_id}.{name}'))
        task.open_start = started
    job.doubts = record.doubts
    _restore_places(job, record)
    _restore_begun(job, record)


def _restore_begun(job: Job, record: ProgressRecord) -> None:
    """Note which long-running tasks have run, if that is told."""
    job.knows_begun = record.begun is not None
    for name, bits in (record.begun or {}).items():
        occurrence, _, number = name.partition('.')
        for index in range(job.request.steps[int(number)].task_count):
            if int(bits, _HEX) >> index & 1:
                key = TaskKey(job.job_id, int(occurrence), int(number), index)
                get_task(job, key).has_run = True


def _restore_places(job: Job, record: ProgressRecord) -> None:
    """Note where the long-running tasks of a job may run, if that is told."""
    job.knows_places = record.places is not None
    for name, worker_ids in (record.places or {}).items():
        task = get_task(job, parse_task(f'{job.job_id}.{name}'))
        task.unseen_on.update(worker_ids)


def _restore_crashes(
    task: Task, crashes: t.Iterable[CrashRecord], state: SchedulerState
) -> None:
    """Count the crashes that an earlier owner, or unit, told of."""
    for crash in crashes:
        task.crashes[crash.worker_id] = crash
        state.suspects.add(task.key)


def _read_progress(job: Job, row: StoredRow) -> ProgressRecord | None:
    """Return a job's progress as a whole, or nothing of it."""
    record = read_record(row, ProgressRecord)
    if record is None:
        return None
    fault = find_progress_fault(record, job.request)
    if fault:
        log_unreadable(row, fault)
        return None
    return record


def withhold(job: Job, context: Context, why: str) -> None:
    """Start nothing of a job, as what ran or is done is not known.

    It may be over, or have tasks that are done or run in another unit.
    What a worker still runs of it goes on, and it can be cancelled.
    """
    job.is_past_unknown = True
    job.has_begun = True
    context.log('job withheld', job=job.job_id, why=why)


def _restore_done(job: Job, occurrence: int, number: int, bits: int) -> None:
    for index in range(job.request.steps[number].task_count):
        if bits >> index & 1:
            key = TaskKey(job.job_id, occurrence, number, index)
            get_task(job, key).is_done = True
            job.remaining[occurrence, number] -= 1


def get_task(job: Job, key: TaskKey) -> Task:
    """Return a task of a job, made at its first use."""
    task = job.tasks.get(key)
    if task is None:
        task = job.tasks[key] = Task(key)
    return task


def get_name(key: TaskKey) -> str:
    """Return the name of a task within its job, as ``K.STEP.INDEX``."""
    return f'{key.occurrence}.{key.step}.{key.index}'


def _iter_own(job: Job) -> t.Iterator[tuple[TaskKey, Task]]:
    """Iterate over the tasks that a job has.

    Workers may tell runs of others. A record that named one would be refused
    as a whole, and nothing of the job would be started again.
    """
    for key, task in job.tasks.items():
        if has_task(job.request, key):
            yield key, task


def make_progress(job: Job) -> ProgressRecord:
    """Return what is to be kept of a job as it is now."""
    if job.state in FINAL_STATES:
        return ProgressRecord(job.state, reason=job.reason)
    done: dict[str, int] = {}
    begun: dict[str, int] = {}
    failures: dict[str, list[int]] = {}
    avoided: dict[str, list[str]] = {}
    crashes: dict[str, tuple[CrashRecord, ...]] = {}
    for key, task in _iter_own(job):
        if task.crashes and not task.is_done:
            crashes[get_name(key)] = task.list_crashes()
        name = f'{key.occurrence}.{key.step}'
        if task.is_done:
            done[name] = done.get(name, 0) | 1 << key.index
        if job.request.steps[key.step].long_running and (
            task.attempts or _ready.is_back(job, task)
        ):
            begun[name] = begun.get(name, 0) | 1 << key.index
        if task.failed_runs:
            name = get_name(key)
            failures[name] = sorted(task.failed_runs)
            avoided[name] = sorted(task.avoided)
    return ProgressRecord(
        job.state,
        _write_bits(done),
        failures,
        {
            get_name(key): attrs.astuple(passed)
            for key, passed in job.passed.items()
        },
        avoided,
        crashes,
        _list_started(job),
        places=_list_places(job),
        begun=_write_bits(begun) if has_lasting(job) else None,
        doubts=job.doubts,
    )


def _write_bits(tasks: dict[str, int]) -> dict[str, str]:
    return {name: f'{bits:x}' for name, bits in tasks.items()}


def _list_started(job: Job) -> dict[str, tuple[int, str]]:
    """Return the newest run of each task that has just begun, and its worker.

    What has run for long is not held to have crashed its worker.
    """
    started = {}
    for key, task in _iter_own(job):
        if task.attempts:
            run = max(task.attempts)
            if not task.attempts[run].is_proved:
                started[get_name(key)] = (run, task.attempts[run].worker_id)
        elif task.open_start is not None:
            started[get_name(key)] = task.open_start
    return started


def has_lasting(job: Job) -> bool:
    """Whether some of a job's tasks are long-running."""
    return any(step.long_running for step in job.request.steps)


def _list_places(job: Job) -> dict[str, tuple[str, ...]] | None:
    """Return the workers where each long-running task may run, if known."""
    if not (job.knows_places and has_lasting(job)):
        return None
    places = {}
    for key, task in _iter_own(job):
        if not job.request.steps[key.step].long_running:
            continue
        worker_ids = {one.worker_id for one in task.attempts.values()}
        worker_ids |= task.unseen_on | task.spares
        if worker_ids:
            places[get_name(key)] = tuple(sorted(worker_ids))
    return places


def is_place_durable(job: Job, key: TaskKey, worker_id: str) -> bool:
    """Whether the next owner would look for a long-running task there.

    It may come upon what is being written, too.
    """
    return _names_place(job.durable, key, worker_id) and (
        job.committing is None or _names_place(job.committing, key, worker_id)
    )


def _names_place(
    record: ProgressRecord | None, key: TaskKey, worker_id: str
) -> bool:
    if record is None or record.places is None:
        return False
    return worker_id in record.places.get(get_name(key), ())


def mark_dirty(job: Job, state: SchedulerState) -> None:
    """Have a job's progress made durable with the next commit.

    What is known of a job with an unknown past is less than what is kept of
    it, but for its end.
    """
    if job.is_past_unknown and job.state not in FINAL_STATES:
        return
    if not state.dirty_jobs:
        state.dirty_since_ms = state.now_ms
    state.dirty_jobs[job.job_id] = None


def open_steps(job: Job, state: SchedulerState) -> None:
    """Make ready the tasks of each step whose turn has come."""
    if job.state in FINAL_STATES or job.is_cancelled or job.is_past_unknown:
        return
    _open_passed(job, state)
    if job.is_guest:
        return
    for occurrence in range(job.request.occurrence_count):
        if not _is_due(job, occurrence, state):
            return
        for number in _iter_openable(job, occurrence):
            job.opened.add((occurrence, number))
            _open_step(job, occurrence, number, state)


def _is_startable(job: Job, task: Task) -> bool:
    """Whether a task is ours, not done, and runs nowhere."""
    is_idle = not task.is_done and not task.attempts
    return is_idle and is_here(job, task.key)


def _open_passed(job: Job, state: SchedulerState) -> None:
    """Make ready the tasks that other units passed on."""
    for key in job.passes:
        task = get_task(job, key)
        if _is_startable(job, task):
            _ready.add(task, job.request.steps[key.step], state)


def _iter_openable(job: Job, occurrence: int) -> t.Iterator[int]:
    """Iterate over the steps whose earlier ones are all done."""
    for number, step in enumerate(job.request.steps):
        if (occurrence, number) in job.opened:
            continue
        if not any(job.remaining[occurrence, one] for one in step.after):
            yield number


def _is_due(job: Job, occurrence: int, state: SchedulerState) -> bool:
    schedule = job.request.schedule
    if not schedule.count:
        return True
    due_ms = schedule.first_at_ms + occurrence * schedule.interval_ms
    return state.now_ms + state.wall_offset_ms >= due_ms


def _open_step(
    job: Job, occurrence: int, number: int, state: SchedulerState
) -> None:
    step = job.request.steps[number]
    opened = 0
    for index in range(step.task_count):
        key = TaskKey(job.job_id, occurrence, number, index)
        task = get_task(job, key)
        if _is_startable(job, task):
            _ready.add(task, step, state)
            opened += 1
    _demand.note_step(job, step, opened, state)


def mark_begun(job: Job, state: SchedulerState) -> None:
    """Note that a task of the job has been started."""
    if not job.has_begun:
        job.has_begun = True
        job.state = JobState.RUNNING
        mark_dirty(job, state)


def note_done(job: Job, task: Task, context: Context) -> None:
    """Count a task that ended done; open what follows it."""
    if task.is_done or job.state in FINAL_STATES:
        return
    state = context.state
    task.is_done = True
    _ready.remove(task.key, job.request.steps[task.key.step], state)
    place = (task.key.occurrence, task.key.step)
    job.remaining[place] -= 1
    mark_dirty(job, state)
    if not any(job.remaining.values()):
        finish(job, JobState.COMPLETED, context)
    elif not job.remaining[place]:
        open_steps(job, state)


def finish(job: Job, final: JobState, context: Context) -> None:
    """Give a job its final state; the caller stops what still runs."""
    state = context.state
    job.state = final
    job.finished_ms = state.now_ms
    state.swings.forget(job.job_id)
    for key in job.tasks:
        _ready.remove(key, job.request.steps[key.step], state)
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
        _tell_failed(job, context)


def _tell_failed(job: Job, context: Context) -> None:
    """Tell other units of a failure, if they may run tasks of the job."""
    if job.is_guest or job.passed:
        context.emit(FailJob(job.job_id, job.reason))
