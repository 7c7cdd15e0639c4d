"""Unconfirmed runs: runs of earlier owners that may go on unreported.

A task is started only once no run of an earlier owner can be left. After a
planned release, the release report of the last owner names the workers where
each task may run, so that only tasks on a silent worker wait, and only until
their worker's lease lapses. After a crash this is known for long-running
tasks only: their workers are stored before an order is sent. All other tasks
of older jobs wait for every worker that may have orders of the last owner.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _lifecycle, _worker_leases
from tulippin.jobs._dispatch import Context
from tulippin.jobs._record_validation import has_task
from tulippin.jobs.records import AccountRecord, WorkerAccount
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step, WorkerEntry, parse_task_key

# Number of workers that a log line names.
_MAX_LOGGED_WORKERS: t.Final = 5


def are_runs_confirmed(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker can't have unconfirmed runs of an earlier owner.

    An earlier owner may extend leases while it reaches more than half of the
    workers, so that none is known to have lapsed before half refuse it.
    """
    if worker.is_reconciled:
        return True
    is_bounded = state.has_reached_half or worker.is_lapse_certain
    return is_bounded and state.now_ms > worker.lease_expiry_ms


def are_earlier_runs_confirmed(state: SchedulerState) -> bool:
    """Whether no worker can have unconfirmed runs of any task."""
    return state.now_ms > state.unconfirmed_until_ms and all(
        are_runs_confirmed(worker, state)
        for worker in state.workers.values()
        if worker.may_run_any_task
    )


def list_unconfirmed_workers(state: SchedulerState) -> list[str]:
    """Return the ids of rostered workers that may have unconfirmed runs."""
    return [
        worker_id
        for worker_id, worker in state.workers.items()
        if worker.is_rostered and not are_runs_confirmed(worker, state)
    ]


def get_unconfirmed_ms(state: SchedulerState) -> int:
    """Return the time until all unconfirmed runs have lapsed, at most."""
    lapse_times_ms = [
        state.workers[worker_id].lease_expiry_ms
        for worker_id in list_unconfirmed_workers(state)
    ]
    return max(0, max(lapse_times_ms, default=0) - state.now_ms)


def end_worker_wait(context: Context) -> list[Job]:
    """End the wait of jobs for all workers once it isn't needed any more.

    Returns
    -------
    list of Job
        The jobs that have waited until now.
    """
    state = context.state
    if not state.has_reached_half:
        # Workers may be unlisted meanwhile.
        state.has_reached_half = _refuses_half(state)
    if state.are_earlier_runs_confirmed or not are_earlier_runs_confirmed(
        state
    ):
        return []
    state.are_earlier_runs_confirmed = True
    context.log(
        'earlier runs confirmed',
        epoch=context.fencing_token,
        waited_ms=state.now_ms - state.ownership.taken_ms,
    )
    awaiting = [job for job in state.jobs.values() if job.awaits_confirmation]
    for job in state.jobs.values():
        job.awaits_confirmation = False
        if not job.are_assignments_known:
            job.are_assignments_known = True
            _lifecycle.mark_dirty(job, state)
    return awaiting


def must_await_workers(job: Job, step: Step) -> bool:
    """Whether the tasks of a step wait for all workers with orders.

    Any of these workers may have unconfirmed runs of the tasks.
    """
    is_recorded = step.long_running and job.are_assignments_known
    return job.awaits_confirmation and not is_recorded


def has_unconfirmed_run(task: Task, state: SchedulerState) -> bool:
    """Whether a task may have an unconfirmed run on a known worker.

    Workers that can't have unconfirmed runs any more are removed from the
    task.
    """
    if not task.unconfirmed_workers:
        return False
    task.unconfirmed_workers = {
        worker_id
        for worker_id in task.unconfirmed_workers
        if worker_id in state.workers
        and not are_runs_confirmed(state.workers[worker_id], state)
    }
    return bool(task.unconfirmed_workers)


def note_answer(worker: Worker, context: Context, *, is_whole: bool) -> None:
    """Record that a worker has accepted this owner and fences earlier ones.

    The last lease of an earlier owner was granted before this answer, so the
    lapse time is counted from here with the usual lease. Counted from the
    takeover with the longest lease that workers accept, tasks of a worker
    that leaves soon after wait for 10.6 s, where owners grant 4.5 s. A release
    report says how long the lease may last, also if that is longer.
    """
    state = context.state
    if not worker.is_reconciled:
        known_ms = worker.lease_expiry_ms
        if worker.may_run_any_task:
            worker.lease_expiry_ms = 0
        lease_ms = state.config.worker_lease_ms
        _worker_leases.extend_lapse_time(worker, lease_ms, state)
        if worker.is_lapse_certain:
            worker.lease_expiry_ms = min(worker.lease_expiry_ms, known_ms)
    state.ungranted_ids.discard(worker.worker_id)
    is_new = is_whole and not worker.is_reconciled
    worker.is_reconciled = is_whole
    if is_new and not state.has_reached_half and _refuses_half(state):
        _extend_inherited_leases(state)
        state.has_reached_half = True
        context.log(
            'half of the workers reached',
            epoch=context.fencing_token,
            waited_ms=state.now_ms - state.ownership.taken_ms,
            awaited=_list_awaited(state),
        )


def _refuses_half(state: SchedulerState) -> bool:
    """Whether half of the workers of earlier owners refuse these, or more.

    Workers that aren't listed any more don't count, since most of them have
    ended.
    """
    inherited = [
        worker
        for worker_id in state.inherited_ids
        if (worker := state.workers.get(worker_id)) is not None
        and worker.is_listed
        and not worker.is_superseded
    ]
    reached_count = sum(worker.is_reconciled for worker in inherited)
    return 2 * reached_count >= len(inherited)


def _extend_inherited_leases(state: SchedulerState) -> None:
    """Wait for workers out of reach as long as if the takeover were now.

    Until now an earlier owner may have extended leases, as it may while it
    reaches more than half of the workers.
    """
    lasting_ms = _worker_leases.get_max_inherited_ms(state)
    for worker in state.workers.values():
        if worker.is_lapse_certain:
            continue
        if worker.may_run_any_task and not are_runs_confirmed(worker, state):
            _worker_leases.extend_lapse_time(worker, lasting_ms, state)
    if state.is_unlisted_lapse_certain:
        return
    if state.unconfirmed_until_ms > state.now_ms:
        state.unconfirmed_until_ms = _worker_leases.get_lapse_ms(
            lasting_ms, state
        )


# -- starting from the state that an earlier owner left -----------------------


def begin(account: AccountRecord | None, context: Context) -> None:
    """Record which workers may have unconfirmed runs, and until when."""
    state = context.state
    state.are_earlier_runs_confirmed = False
    reports = _get_valid_report(account, context)
    state.is_release_reported = reports is not None
    state.inherited_ids = frozenset(state.roster)
    _worker_leases.begin(state)
    state.unconfirmed_until_ms, state.is_unlisted_lapse_certain = (
        _worker_leases.find_unlisted_lapse_ms(state)
    )
    # An owner that reports its release extends no leases any more.
    if reports is None:
        state.has_reached_half = _worker_leases.are_earlier_owners_ended(state)
    else:
        state.has_reached_half = account.has_reached_half
    for worker_id, address in state.roster.items():
        worker = state.workers.get(worker_id)
        if worker is None:
            # Its registration may have lapsed: neither its capacity nor its
            # service is known.
            entry = WorkerEntry(worker_id, '', address, '', None)
            worker = state.workers[worker_id] = Worker(entry, is_listed=False)
        worker.is_rostered = True
        worker.born_ms = state.roster_births_ms.get(worker_id, 0)
        # The usage under the last owner is unknown.
        worker.exposure = None
        reported = reports.get(worker_id) if reports is not None else None
        if reported is not None:
            worker.may_run_any_task = reported.tasks is None
            # The reported duration includes drift and slack already.
            worker.lease_expiry_ms = state.now_ms + reported.lasting_ms
        elif reports is None:
            worker.may_run_any_task = True
            _begin_wait(worker, state)
        # Otherwise the worker was on the roster without an order, or all of
        # its runs had ended and it was about to be removed.
    unknown_workers = [
        worker_id
        for worker_id, worker in state.workers.items()
        if worker.may_run_any_task
    ]
    context.log(
        'account read',
        is_known=reports is not None,
        silent=sum(report.is_silent for report in (reports or {}).values()),
        unknown=len(unknown_workers),
        unknown_workers=unknown_workers[:_MAX_LOGGED_WORKERS],
        lasting_ms=get_unconfirmed_ms(state),
        awaited=_list_awaited(state),
    )


def _begin_wait(worker: Worker, state: SchedulerState) -> None:
    """Wait for a worker until the leases of all earlier owners have lapsed."""
    known_ms = _worker_leases.find_lapse_ms(worker.worker_id, state)
    if known_ms is not None:
        worker.is_lapse_certain = True
        worker.lease_expiry_ms = known_ms
        return
    lasting_ms = _worker_leases.get_max_inherited_ms(state)
    _worker_leases.extend_lapse_time(worker, lasting_ms, state)


def _list_awaited(state: SchedulerState) -> list[tuple[str, int]]:
    """Return some workers that are waited for, with the time left in ms.

    Those with the most time left come first.
    """
    left_ms = {
        worker_id: state.workers[worker_id].lease_expiry_ms - state.now_ms
        for worker_id in list_unconfirmed_workers(state)
    }
    longest = sorted(left_ms, key=left_ms.get, reverse=True)
    return [(one, left_ms[one]) for one in longest[:_MAX_LOGGED_WORKERS]]


def _get_valid_report(
    account: AccountRecord | None, context: Context
) -> t.Mapping[str, WorkerAccount] | None:
    """Return the release report of the last owner, by worker id.

    Returns None if there is none, or if it is from an earlier owner: the
    orders that the last owner gave aren't in it.
    """
    if account is None or account.epoch != context.fencing_token - 1:
        return None
    return account.workers


def begin_without_roster(context: Context) -> None:
    """Begin with an unreadable roster.

    Any worker may run any task, including workers that aren't listed any
    more. All listed workers are synchronized, and the leases of others are
    waited out.
    """
    state = context.state
    state.roster = {
        worker.worker_id: worker.entry.address
        for worker in state.workers.values()
    }
    begin(None, context)
    # An empty roster differs from the wanted one, so it is written again.
    state.roster = {}
    lasting_ms = _worker_leases.get_max_inherited_ms(state)
    state.unconfirmed_until_ms = _worker_leases.get_lapse_ms(lasting_ms, state)


def record_reported_tasks(
    account: AccountRecord | None, context: Context
) -> None:
    """Record which tasks may run on which workers, by the release report.

    The report is complete for the workers whose tasks it names, and more
    recent than the rows of the jobs.
    """
    state = context.state
    reports = _get_valid_report(account, context) or {}
    complete = {
        worker_id
        for worker_id, report in reports.items()
        if report.tasks is not None
    }
    if complete:
        for job in state.jobs.values():
            for task in job.tasks.values():
                task.unconfirmed_workers -= complete
    for worker_id, report in reports.items():
        for name in report.tasks or ():
            key = parse_task_key(name)
            job = state.jobs.get(key.job_id)
            is_task = job is not None and has_task(job.request, key)
            if is_task and worker_id in state.workers:
                _add_unconfirmed_run(_lifecycle.get_task(job, key), worker_id)


def _add_unconfirmed_run(task: Task, worker_id: str) -> None:
    task.unconfirmed_workers.add(worker_id)
    task.reported_workers += (worker_id,)
    if task.unresolved_start is None:
        # Its start may not be durable; the number of the run is unknown.
        task.unresolved_start = (0, worker_id)


def describe_clearance(
    job: Job, task: Task, state: SchedulerState
) -> dict[str, t.Any]:
    """Return why no run of an earlier owner holds a task back, for the log.

    The fields are empty if this owner has started the task before.
    """
    if task.run_count > 1:
        return {}
    return {
        'cleared_by': _name_clearance(job, task, state),
        'job_version': job.row_version,
        'epoch_version': state.ownership.epoch_version,
        'reported_workers': [
            (worker_id, _describe_confirmation(worker_id, state))
            for worker_id in task.reported_workers
        ],
    }


def _name_clearance(job: Job, task: Task, state: SchedulerState) -> str:
    if not job.is_transferred and (
        job.row_version > state.ownership.epoch_version
    ):
        return 'job is newer than the takeover'
    if not state.is_release_reported:
        return 'all workers are confirmed'
    if task.reported_workers:
        return 'reported workers are confirmed'
    return 'not in the release report'


def _describe_confirmation(worker_id: str, state: SchedulerState) -> str:
    worker = state.workers.get(worker_id)
    if worker is None:
        return 'removed'
    if worker.is_superseded:
        return 'superseded'
    return 'answered' if worker.is_reconciled else 'lapsed'


def count_clearances(state: SchedulerState) -> dict[str, int]:
    """Return how many unfinished tasks of loaded jobs are in each class."""
    counts: dict[str, int] = {}
    for job in state.jobs.values():
        for task in job.tasks.values():
            if not task.is_done:
                name = _name_clearance(job, task, state)
                counts[name] = counts.get(name, 0) + 1
    return counts


# -- the release report for the next owner ------------------------------------


def count_runs(state: SchedulerState) -> dict[str, int]:
    """Return the number of runs in each state, for the log."""
    counts: dict[str, int] = {}
    for worker in state.workers.values():
        for attempt in worker.attempts.values():
            name = attempt.state.value
            counts[name] = counts.get(name, 0) + 1
    return counts


def make_account(context: Context) -> AccountRecord:
    """Return the release report: where each task may run."""
    state = context.state
    unconfirmed = _collect_unconfirmed(state)
    workers = {
        worker.worker_id: _make_worker_report(
            worker, unconfirmed.get(worker.worker_id, set()), state
        )
        for worker in state.workers.values()
        if worker.is_rostered
    }
    return AccountRecord(context.fencing_token, workers, state.has_reached_half)


def _collect_unconfirmed(state: SchedulerState) -> dict[str, set[str]]:
    """Return the names of tasks with unconfirmed runs, by worker id."""
    found: dict[str, set[str]] = {}
    for job in state.jobs.values():
        for task in job.tasks.values():
            if has_unconfirmed_run(task, state):
                for worker_id in task.unconfirmed_workers:
                    found.setdefault(worker_id, set()).add(task.key.format())
    return found


def _make_worker_report(
    worker: Worker, unconfirmed: set[str], state: SchedulerState
) -> WorkerAccount:
    """Return the release report of one worker."""
    lasting_ms = max(0, worker.lease_expiry_ms - state.now_ms)
    is_silent = worker.failed_count > 0 or not worker.is_reconciled
    if worker.may_run_any_task and not are_runs_confirmed(worker, state):
        return WorkerAccount(lasting_ms, None, is_silent)
    # An end that isn't durable yet is known only to the worker. Without its
    # task in the report, a task that is done would be started again.
    keys = {
        attempt.key
        for attempt in worker.attempts.values()
        # No order follows, and the next owner would count a crash.
        if attempt.is_ordered
    }
    keys.update(worker.uncommitted_ends.values())
    keys.update(worker.deferred_ends)
    keys.update(key for key, _ in worker.orphaned_runs)
    names = {key.format() for key in keys}
    return WorkerAccount(
        lasting_ms, tuple(sorted(names | unconfirmed)), is_silent
    )
