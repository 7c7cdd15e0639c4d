"""Counting worker crashes by task, to find tasks that crash their workers.

A worker that crashes ends all of its runs, most of which didn't cause the
crash. A task that crashes each of its workers costs one worker at each start,
every 3.5 s: if crashes are not counted, two such jobs crash 144 workers in
100 s. Therefore each task records the workers (one record for each
incarnation) that crashed soon after its run had begun, and suspected tasks are
started in isolation:

- A run that its worker has reported for five seconds is cleared, and so is
  one on a worker that left as planned.
- A task whose worker crashed within a second is started on a worker without
  other runs on probation and where a crash loses least. After the second
  crash nothing else is started there during the probation, and no other
  suspected task of its job is started at all. This separates the crashing
  task from the others: the next crash is counted for the crashing task only.
- The third crash abandons the job if during two of them nothing else had
  just begun on the worker, the fourth if that holds for one, and the fifth in
  any case. A crash counts in full only if the worker reported the run, or
  answered after the order was sent, or beside four such crashes. A limit of
  two would abandon a job whose task ran beside a crashing one and whose next
  worker crashed by itself. Each further start costs a worker with little on
  it; up to five starts are acceptable.

Crashes are made durable before the task is started again, and the assigned
worker before the order of a suspected task is sent, so that the next owner
continues the count. Other short tasks are started at once and made durable
later, so a start may be lost together with its owner and its worker. The next
owner counts a possible lost start for each job that it may belong to.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _attempts,
    _feasibility,
    _lifecycle,
    _probation,
    _unconfirmed_runs,
    _worker_leases,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import FINAL_STATES, Incarnation, TaskKey

# A job is abandoned when the crashes of one task weigh this much. A crash
# weighs 1, and 1 more if nothing else had just begun on the worker. It weighs
# 0.5 less if no answer followed the order, as the worker may have crashed
# before, but not beside four crashes that an answer did follow: the task may
# have been started five times.
_ABANDON_WEIGHT: t.Final = 5
_UNSEEN_CRASH_WEIGHT: t.Final = 0.5
_MIN_SEEN_BESIDE_UNSEEN: t.Final = 4
# Possibly lost starts count as at most this many crashes, and only in addition
# to the minimum number of crashes that were seen.
_MAX_LOST_STARTS: t.Final = 2
_MIN_SEEN_CRASHES: t.Final = 3
_MAX_LOGGED_SUSPECTS: t.Final = 8
# An answer that arrives this soon after an order may precede the order.
_MAX_IN_FLIGHT_MS: t.Final = 100


# -- counting crashes ---------------------------------------------------------


def note_silence(worker: Worker, context: Context) -> None:
    """Record a suspected crash for recent runs of a silent worker.

    The worker may only be disconnected. But if its owner crashes too, no
    other record of these runs exists.
    """
    _record_crashes(worker, context, is_sure=False)


def note_worker_crash(worker: Worker, context: Context) -> None:
    """Count the crash of a worker whose next incarnation was seen."""
    state = context.state
    if worker.leaves_at_ms:
        # The worker left as announced.
        _remove_crashes(worker.incarnation, context)
        return
    if not worker.is_reconciled:
        state.lost_unconfirmed_workers[worker.worker_id] = True
    _record_crashes(worker, context, is_sure=True)
    for job, task in list_suspects(state):
        record = task.crashes.get(worker.incarnation)
        if record is not None and not record.is_sure:
            task.crashes[worker.incarnation] = attrs.evolve(
                record, is_sure=True
            )
            _lifecycle.mark_dirty(job, state)
    suspects = {
        attempt.key.format()
        for attempt in worker.attempts.values()
        if attempt.key in state.suspects
    }
    context.log(
        'worker crashed',
        worker=worker.worker_id,
        silent_ms=state.now_ms - worker.answered_ms,
        runs=len(worker.attempts),
        suspects=sorted(suspects)[:_MAX_LOGGED_SUSPECTS],
    )


def _record_crashes(worker: Worker, context: Context, *, is_sure: bool) -> None:
    """Record a crash, or a suspected one, for the recent runs of a worker.

    If a run there was on probation, suspected runs that had passed theirs are
    left out: otherwise, of six healthy tasks, five have a second crash counted
    when their next worker crashes.
    """
    suspected = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.is_ordered and _probation.is_recent(attempt, worker)
    ]
    if _probation.has_probation(worker):
        suspected = [
            attempt
            for attempt in suspected
            if not _has_passed(attempt, worker, context)
        ]
    for attempt in suspected:
        is_clear = len(suspected) == 1 and attempt.probation_ms > 0
        _record_crash(
            attempt, worker, context, is_sure=is_sure, is_clear=is_clear
        )


def _has_passed(attempt: Attempt, worker: Worker, context: Context) -> bool:
    """Whether a suspected run has outlasted the crashed runs of its task.

    False if it isn't known how long one of the crashed runs lasted, or
    whether it existed: a task that crashes its workers after 3 s would pass a
    probation of a second each time.
    """
    if not attempt.probation_ms or _probation.is_on_probation(attempt, worker):
        return False
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return True
    return all(
        crash.is_age_known and crash.is_seen
        for crash in found[1].crashes.values()
    )


def _record_crash(
    attempt: Attempt,
    worker: Worker,
    context: Context,
    *,
    is_sure: bool,
    is_clear: bool,
) -> None:
    """Record that a worker crashed, or may have, soon after a run began."""
    state = context.state
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return
    job, task = found
    if task.is_done or job.is_cancelled or job.state in FINAL_STATES:
        return
    # A start that may reach the next incarnation is still open there.
    is_counted = any(
        crash.run == attempt.run for crash in task.crashes.values()
    )
    if is_counted or worker.incarnation in task.crashes:
        return
    entry = worker.entry
    _add_crash(
        job,
        task,
        CrashRecord(
            worker.worker_id,
            entry.address,
            entry.machine,
            attempt.run,
            _probation.get_known_age_ms(attempt, worker),
            get_wall_ms(state),
            is_sure,
            is_clear,
            _is_seen(attempt, worker),
            # A run that was taken over was not ordered by this owner.
            is_age_known=attempt.start_deadline_ms > 0,
            born_ms=worker.born_ms,
        ),
        state,
    )


def _is_seen(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run was reported, or its worker answered after the order.

    An order may be delayed, and its run may crash the worker before an answer
    reports the run. Without the second condition, five such crashes would not
    reach the limit.
    """
    age_ms = _probation.get_known_age_ms(attempt, worker)
    return attempt.seen_ms > 0 or age_ms > _MAX_IN_FLIGHT_MS


def _add_crash(
    job: Job, task: Task, record: CrashRecord, state: SchedulerState
) -> None:
    """Add a crash record to a task, which becomes a suspected one."""
    task.crashes[record.incarnation] = record
    state.suspects.add(task.key)
    state.isolated_tasks = None
    state.count('crashes_suspected')
    _lifecycle.mark_dirty(job, state)


def get_wall_ms(state: SchedulerState) -> int:
    """Return the wall clock time, which is comparable between instances."""
    return state.now_ms + state.wall_offset_ms


def note_answer(worker: Worker, context: Context) -> None:
    """Remove the suspected crashes of a worker that answers again."""
    _remove_crashes(worker.incarnation, context)


def withdraw(key: TaskKey, run: int, context: Context) -> None:
    """Remove the crash under a run that turned out not to have been there.

    The next incarnation reports it, or its start was refused or not sent.
    """
    job = context.state.jobs.get(key.job_id)
    if job is None or key not in job.tasks:
        return
    task = job.tasks[key]
    for crash in task.list_crashes():
        if crash.run == run:
            del task.crashes[crash.incarnation]
            _lifecycle.mark_dirty(job, context.state)


def _remove_crashes(incarnation: Incarnation, context: Context) -> None:
    """Remove the crash records of an incarnation from all tasks.

    Records without a start time, from earlier versions, may be about any.
    """
    unknown = incarnation._replace(born_ms=0)
    for job, task in list_suspects(context.state):
        for one in task.crashes.keys() & {incarnation, unknown}:
            del task.crashes[one]
            _lifecycle.mark_dirty(job, context.state)


def note_running(attempt: Attempt, context: Context) -> None:
    """Apply a worker's report of a run; clear a run that has lasted."""
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return
    job, task = found
    task.unresolved_start = None
    age_ms = context.state.now_ms - attempt.sent_ms
    if attempt.has_passed_probation or age_ms < _probation.MAX_SUSPECT_AGE_MS:
        return
    attempt.has_passed_probation = True
    task.crashes.clear()
    _lifecycle.mark_dirty(job, context.state)


def list_suspects(state: SchedulerState) -> list[tuple[Job, Task]]:
    """Return the open tasks with crash records, and drop other suspects."""
    found = []
    for key in list(state.suspects):
        job = state.jobs.get(key.job_id)
        task = job.tasks.get(key) if job is not None else None
        is_open = task is not None and task.crashes and not task.is_done
        if job is None or not is_open or job.state in FINAL_STATES:
            state.suspects.discard(key)
            continue
        found.append((job, t.cast(Task, task)))
    return found


# -- deciding whether a task may be started -----------------------------------


def may_start(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a ready task may be started, given a worker with capacity.

    It may not while it may have an unconfirmed run, or while its crashes
    require it to wait.
    """
    if _unconfirmed_runs.has_unconfirmed_run(task, state):
        return False
    return not _must_wait(job, task, state)


def _must_wait(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether the crashes of a task forbid its start at present.

    A task waits until its crashes are durable, and while they are enough to
    abandon the job if all of them are confirmed. It also waits while another
    task of the job is the more likely cause, as the job may be abandoned.
    """
    if task.unresolved_start is not None:
        _resolve_open_start(job, task, state)
    if task.unresolved_start is not None:
        return True
    if not _are_lost_starts_durable(job, task):
        return True
    if not task.crashes:
        return False
    if is_crash_limit_reached(
        job, task, task.list_crashes()
    ) or not _are_crashes_durable(job, task):
        return True
    return _probation.needs_isolation(task) and _is_preceded_by_sibling(
        job, task, state
    )


def _resolve_open_start(job: Job, task: Task, state: SchedulerState) -> None:
    """Resolve a start of an earlier owner that no worker reports.

    Counts a crash if the worker was lost before it reported its runs.
    """
    run, worker_id = t.cast(tuple[int, str], task.unresolved_start)
    worker = state.workers.get(worker_id)
    if worker is not None and not _unconfirmed_runs.are_runs_confirmed(
        worker, state
    ):
        return
    task.unresolved_start = None
    is_lapsed = worker is not None and not worker.is_reconciled
    if worker_id not in state.lost_unconfirmed_workers and not is_lapsed:
        # The worker reported all of its runs, or an earlier owner saw it
        # leave.
        return
    if worker is not None and worker.leaves_at_ms:
        return
    is_recorded = any(
        crash.worker_id == worker_id and run in {0, crash.run}
        for crash in task.crashes.values()
    )
    if is_recorded:
        # Its owner recorded the crash, with more detail.
        return
    entry = worker.entry if worker is not None else None
    record = CrashRecord(
        worker_id,
        entry.address if entry else '',
        entry.machine if entry else '',
        run,
        _probation.EARLY_CRASH_MS,
        get_wall_ms(state),
        state.lost_unconfirmed_workers.get(worker_id, False),
        # Only the start was recorded for the next owner.
        is_seen=True,
        is_age_known=False,
        born_ms=worker.born_ms if worker is not None else 0,
    )
    _add_crash(job, task, record, state)


def are_starts_resolved(worker: Worker, state: SchedulerState) -> bool:
    """Resolve the open starts on a worker that is about to be removed.

    Returns
    -------
    bool
        Whether all crashes of the worker are durable. The next owner takes a
        start on a worker that isn't on the roster for one without a crash.
    """
    is_lost = worker.worker_id in state.lost_unconfirmed_workers
    if is_lost or not worker.is_reconciled:
        _resolve_starts_on(worker, state)
    return all(
        _are_crashes_durable(job, task)
        for job, task in list_suspects(state)
        # The progress of a job whose past is unknown isn't committed.
        if not job.is_progress_unknown
        and any(
            crash.worker_id == worker.worker_id
            for crash in task.crashes.values()
        )
    )


def _resolve_starts_on(worker: Worker, state: SchedulerState) -> None:
    for job in state.jobs.values():
        if job.state in FINAL_STATES:
            continue
        for task in job.tasks.values():
            start = task.unresolved_start
            if start and start[1] == worker.worker_id and not task.is_done:
                _resolve_open_start(job, task, state)


def may_have_lost_start(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a waiting task may have had a start that no row records.

    Starts of long-running and of suspected tasks are durable before their
    order is sent.
    """
    if task.unresolved_start is not None:
        _resolve_open_start(job, task, state)
    return _is_short(job, task) and not task.crashes


def _is_short(job: Job, task: Task) -> bool:
    return not job.request.steps[task.key.step].long_running


def _are_lost_starts_durable(job: Job, task: Task) -> bool:
    """Whether the possible lost starts of a short task's job are durable.

    Otherwise, if owners crash before their commits, each successor starts the
    count again.
    """
    if not job.doubts or not _is_short(job, task):
        return True
    return job.durable is not None and job.durable.doubts >= job.doubts


def _are_crashes_durable(job: Job, task: Task) -> bool:
    """Whether the stored crash records of a task are up to date."""
    if job.durable is None:
        return False
    name = _lifecycle.get_name(task.key)
    stored = job.durable.crashes.get(name, ())
    return stored == task.list_crashes()


def _is_preceded_by_sibling(
    job: Job, task: Task, state: SchedulerState
) -> bool:
    """Whether another suspected task of the job precedes this one.

    The other one is the more likely cause, or has a run on probation.
    """
    is_gang = job.request.steps[task.key.step].gang
    return any(
        _precedes(other, task, job, state)
        for other in _list_isolated(job, state)
        if not (other is task or other.is_done)
        and not (is_gang and other.key[:3] == task.key[:3])
    )


def _precedes(other: Task, task: Task, job: Job, state: SchedulerState) -> bool:
    """Whether a suspected task of a job holds back another one."""
    if _is_on_probation(other, state):
        return True
    is_likelier = _get_rank(other) > _get_rank(task)
    return is_likelier and _may_find_worker(job, other, state)


def _may_find_worker(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task runs, or some worker could run it."""
    step = job.request.steps[task.key.step]
    return bool(task.attempts) or any(
        _feasibility.fits_when_idle(worker, job, step)
        for worker in state.workers.values()
    )


def _list_isolated(job: Job, state: SchedulerState) -> list[Task]:
    """Return the tasks of a job whose runs on probation are isolated."""
    if state.isolated_tasks is None:
        state.isolated_tasks = {}
        for owner, task in list_suspects(state):
            if len(task.crashes) >= _probation.ISOLATING_CRASH_COUNT:
                found = state.isolated_tasks.setdefault(owner.job_id, [])
                found.append(task)
    return state.isolated_tasks.get(job.job_id, [])


def _get_rank(task: Task) -> tuple[int, int]:
    """Return the rank of a task as the cause of crashes, among its job's."""
    return len(task.crashes), -task.key.index


def _is_on_probation(task: Task, state: SchedulerState) -> bool:
    """Whether any run of a task is on probation."""
    return any(
        _probation.is_on_probation(attempt, state.workers[attempt.worker_id])
        for attempt in task.attempts.values()
        if attempt.worker_id in state.workers
    )


def is_crash_limit_reached(
    job: Job, task: Task, crashes: t.Sequence[CrashRecord]
) -> bool:
    """Whether the crashes of a task are enough to abandon its job.

    Possibly lost starts count as well, as they cost workers too.
    """
    seen_count = sum(crash.is_seen for crash in crashes)
    unseen_weight = _UNSEEN_CRASH_WEIGHT
    if seen_count >= _MIN_SEEN_BESIDE_UNSEEN:
        unseen_weight = 1
    clear_count = sum(crash.is_clear for crash in crashes)
    unseen_count = len(crashes) - seen_count
    weight = seen_count + clear_count + unseen_weight * unseen_count
    if _is_short(job, task) and seen_count >= _MIN_SEEN_CRASHES:
        weight += min(job.doubts, _MAX_LOST_STARTS)
    return weight >= _ABANDON_WEIGHT


# -- orders that wait for a commit --------------------------------------------


def take_sendable_attempts(context: Context) -> list[Attempt]:
    """Return the runs whose orders may be sent now, and mark them as sent.

    The next owner has to know each start of a suspected task, as a crash that
    ends its worker and its owner would not be counted otherwise. It also has
    to know the assigned worker of each long-running task, as the task would
    wait for all workers otherwise.
    """
    state = context.state
    due = []
    waiting = []
    for attempt in state.unsent_starts:
        if attempt.state is not AttemptState.STARTING:
            continue
        worker = state.workers.get(attempt.worker_id)
        attempt_key = (attempt.key, attempt.run)
        if worker is None or attempt_key not in worker.attempts:
            continue
        # An order to a worker that has gone silent would count as a crash.
        is_due = not worker.failed_count and _may_send(attempt, worker, state)
        (due if is_due else waiting).append(attempt)
    state.unsent_starts = waiting
    for attempt in due:
        attempt.is_ordered = True
        attempt.sent_ms = state.now_ms
    return due


def _may_send(attempt: Attempt, worker: Worker, state: SchedulerState) -> bool:
    """Whether the records that the order of a run depends on are durable."""
    job = state.jobs.get(attempt.key.job_id)
    is_assignment_stored = job is not None and _lifecycle.is_assignment_durable(
        job, attempt.key, worker.worker_id
    )
    if attempt.step.long_running and not is_assignment_stored:
        return False
    if not _worker_leases.may_get_starts(worker, state):
        # The worker would refuse it, or a loss count as a crash without a run.
        return False
    is_suspected = (attempt.key, attempt.run) in worker.probation_runs
    return not is_suspected or _is_start_durable(attempt, state)


def _is_start_durable(attempt: Attempt, state: SchedulerState) -> bool:
    job = state.jobs.get(attempt.key.job_id)
    if job is None or job.durable is None:
        return False
    name = _lifecycle.get_name(attempt.key)
    return job.durable.started.get(name) == (attempt.run, attempt.worker_id)
