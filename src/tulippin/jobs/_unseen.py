"""Runs of earlier owners that may go on where nobody sees them.

A task is started only once no run of it can be left. After a planned
release the last owner's account tells where each task may run, so that
only tasks on a silent worker wait, and for no longer than the lease that
they were given. After a crash that is known of long-running tasks alone, by
their jobs' rows, which tell of a start before its order is sent: every other
task of an older job waits for all workers that the last owner may have given
orders to.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs._row_checks import has_task
from tulippin.jobs.records import AccountRecord, WorkerAccount
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step, WorkerEntry, parse_task

# How long an owner that was succeeded may go on without knowing it: its
# feed of jobs tells it at once, and any other worker at its next report,
# a second later.
_UNAWARE_MS: t.Final = 1500
# Added to the end of a lease for the time that messages take.
_LAPSE_SLACK_MS: t.Final = 400
# How many workers a line of the log names.
_MOST_NAMED: t.Final = 5


def extend_lapse(
    worker: Worker, lasting_ms: int, state: SchedulerState
) -> None:
    """Note that an order may let runs go on for so long."""
    drift = state.config.clock_drift_ratio
    at_ms = state.now_ms + int(lasting_ms * drift) + _LAPSE_SLACK_MS
    worker.lapse_at_ms = max(worker.lapse_at_ms, at_ms)


def is_sure(worker: Worker, state: SchedulerState) -> bool:
    """Whether all that an earlier owner started there is known, or over."""
    return worker.is_reconciled or state.now_ms > worker.lapse_at_ms


def is_settled(state: SchedulerState) -> bool:
    """Whether no task at all can run that an earlier owner started unseen."""
    return state.now_ms > state.unsettled_until_ms and all(
        is_sure(worker, state)
        for worker in state.workers.values()
        if worker.may_run_anything
    )


def list_awaited(state: SchedulerState) -> list[str]:
    """Return the workers where earlier owners' runs may go on unseen."""
    return [
        worker_id
        for worker_id, worker in state.workers.items()
        if worker.is_rostered and not is_sure(worker, state)
    ]


def get_awaited_ms(state: SchedulerState) -> int:
    """Return after how long at most no earlier owner's run is left unseen."""
    ends_ms = [
        state.workers[worker_id].lapse_at_ms
        for worker_id in list_awaited(state)
    ]
    return max(0, max(ends_ms, default=0) - state.now_ms)


def note_settled(state: SchedulerState) -> list[Job]:
    """Let no job wait for all workers any more, once none has to.

    Returns
    -------
    list of Job
        Those that did wait until now.
    """
    if state.is_settled or not is_settled(state):
        return []
    state.is_settled = True
    awaiting = [job for job in state.jobs.values() if job.awaits_workers]
    for job in state.jobs.values():
        job.awaits_workers = False
        if not job.knows_places:
            job.knows_places = True
            _lifecycle.mark_dirty(job, state)
    return awaiting


def holds_back(job: Job, step: Step) -> bool:
    """Whether tasks of a step may run on any worker that is not sure."""
    is_told = step.long_running and job.knows_places
    return job.awaits_workers and not is_told


def is_awaited(task: Task, state: SchedulerState) -> bool:
    """Whether a task may run on a silent worker by the last account.

    Workers that are sure by now are struck off the task.
    """
    if not task.unseen_on:
        return False
    task.unseen_on = {
        worker_id
        for worker_id in task.unseen_on
        if worker_id in state.workers
        and not is_sure(state.workers[worker_id], state)
    }
    return bool(task.unseen_on)


def note_answer(
    worker: Worker, state: SchedulerState, *, is_whole: bool
) -> None:
    """Take in that a worker knows us, and obeys no earlier owner any more.

    What an earlier one has granted last was granted before that. Counting
    from our taking by the longest lease that workers know held tasks of a
    worker that left soon after back for 10.6 s, where owners grant 4.5 s.
    """
    if not worker.is_reconciled:
        worker.lapse_at_ms = 0
        extend_lapse(worker, state.config.worker_lease_ms, state)
    worker.is_reconciled = is_whole


# -- beginning with what an earlier owner left --------------------------------


def begin(account: AccountRecord | None, context: Context) -> None:
    """Note on which workers the earlier owners' runs may go on."""
    state = context.state
    state.is_settled = False
    known = _get_told(account, context)
    for worker_id, address in state.roster.items():
        worker = state.workers.get(worker_id)
        if worker is None:
            # Its entry may have lapsed: neither its room is known nor what
            # it is for.
            entry = WorkerEntry(worker_id, '', address, '', None)
            worker = state.workers[worker_id] = Worker(entry, is_listed=False)
        worker.is_rostered = True
        # What was in use there under the last owner.
        worker.exposure = None
        told = known.get(worker_id) if known is not None else None
        if told is not None:
            worker.may_run_anything = told.tasks is None
            # The account counts to the end, with all that is added to it.
            worker.lapse_at_ms = state.now_ms + told.lasting_ms
        elif known is None:
            worker.may_run_anything = True
            extend_lapse(worker, _get_inherited_ms(state), state)
        # Otherwise it had come on the roster, and got no order yet, or all
        # orders there were over, and it was still to be struck out.
    unknown = [
        worker_id
        for worker_id, worker in state.workers.items()
        if worker.may_run_anything
    ]
    context.log(
        'account read',
        is_known=known is not None,
        silent=sum(one.is_silent for one in (known or {}).values()),
        unknown=len(unknown),
        unknown_workers=unknown[:_MOST_NAMED],
        lasting_ms=get_awaited_ms(state),
    )


def _get_told(
    account: AccountRecord | None, context: Context
) -> t.Mapping[str, WorkerAccount] | None:
    """Return what the last owner told by worker, if it told anything.

    An account of an owner before it says nothing: since then another has
    given orders that it does not hold.
    """
    if account is None or account.epoch != context.fencing_token - 1:
        return None
    return account.workers


def begin_without_roster(context: Context) -> None:
    """Begin where the roster can't be read.

    Any worker may run anything, also one that is on no list any more: all
    that are listed are asked, and the others' leases are waited out.
    """
    state = context.state
    state.roster = {
        worker.worker_id: worker.entry.address
        for worker in state.workers.values()
    }
    begin(None, context)
    # It differs from what is wanted, and so is written anew.
    state.roster = {}
    lasting_ms = _get_inherited_ms(state) * state.config.clock_drift_ratio
    state.unsettled_until_ms = state.now_ms + int(lasting_ms) + _LAPSE_SLACK_MS


def _get_inherited_ms(state: SchedulerState) -> int:
    """Return the longest that another owner's orders may still last."""
    config = state.config
    granted_ms = config.worker_lease_ms + _UNAWARE_MS
    return min(config.worker_lease_limit_ms, granted_ms)


def note_tasks(account: AccountRecord | None, context: Context) -> None:
    """Note which tasks may run on which workers, by the last account.

    Of the workers that it names it knows all, and more lately than the rows.
    """
    state = context.state
    known = _get_told(account, context) or {}
    surely = {one for one, told in known.items() if told.tasks is not None}
    if surely:
        for job in state.jobs.values():
            for task in job.tasks.values():
                task.unseen_on -= surely
    for worker_id, told in known.items():
        for name in told.tasks or ():
            key = parse_task(name)
            job = state.jobs.get(key.job_id)
            is_task = job is not None and has_task(job.request, key)
            if is_task and worker_id in state.workers:
                _note_unseen(_lifecycle.get_task(job, key), worker_id)


def _note_unseen(task: Task, worker_id: str) -> None:
    task.unseen_on.add(worker_id)
    if task.open_start is None:
        # Its start may not be durable; which run it was is not told.
        task.open_start = (0, worker_id)


# -- the account for the next owner -------------------------------------------


def make_account(context: Context) -> AccountRecord:
    """Return where each task may run, for an owner that follows us."""
    state = context.state
    unseen = _collect_unseen(state)
    workers = {
        worker.worker_id: _make_worker(
            worker, unseen.get(worker.worker_id, set()), state
        )
        for worker in state.workers.values()
        if worker.is_rostered
    }
    return AccountRecord(context.fencing_token, workers)


def _collect_unseen(state: SchedulerState) -> dict[str, set[str]]:
    """Return by worker the tasks that may still run there unseen."""
    found: dict[str, set[str]] = {}
    for job in state.jobs.values():
        for task in job.tasks.values():
            if is_awaited(task, state):
                for worker_id in task.unseen_on:
                    found.setdefault(worker_id, set()).add(task.key.format())
    return found


def _make_worker(
    worker: Worker, unseen: set[str], state: SchedulerState
) -> WorkerAccount:
    lasting_ms = max(0, worker.lapse_at_ms - state.now_ms)
    is_silent = worker.failed_count > 0 or not worker.is_reconciled
    if worker.may_run_anything and not is_sure(worker, state):
        return WorkerAccount(lasting_ms, None, is_silent)
    # The end of a run that is not durable yet is known to the worker alone:
    # without it a task that is done would be started again.
    keys = {attempt.key for attempt in worker.attempts.values()}
    keys.update(worker.unsettled.values())
    keys.update(worker.early_ends)
    keys.update(key for key, _ in worker.strays)
    names = {key.format() for key in keys}
    return WorkerAccount(lasting_ms, tuple(sorted(names | unseen)), is_silent)
