"""The durable state of a unit, built by applying its journal's records.

Commits and recovery use the same ``apply``, so that a successor recovers
exactly the state of its predecessor.
"""

from __future__ import annotations

import functools

import attrs

from tulippin import records
from tulippin.types import JobSpec, OutcomeKind, Resources, TaskOutcome


@attrs.define
class AttemptEntry:
    """An attempt that a cell has placed and not yet removed."""

    task: records.TaskRef
    spec: JobSpec
    worker_id: str
    incarnation: str
    reserved: Resources
    checkpoint: str = ''
    policy: str = ''
    outcome: TaskOutcome | None = None


@attrs.define
class CellLedger:
    """Durable state of a cell: its attempts by task id."""

    attempts: dict[str, AttemptEntry] = attrs.field(factory=dict)


@attrs.define
class TaskEntry:
    """A task of a job that has been started at least once."""

    attempt: int = 0
    cell: str = ''
    cell_epoch: int = 0
    checkpoint: str = ''
    failure_count: int = 0

    @property
    def assigned(self) -> bool:
        """Return whether the current attempt is assigned to a cell."""
        return bool(self.cell)


@attrs.define
class JobEntry:
    """Durable state of a job.

    Tasks below ``fresh_index`` have been assigned at least once or were
    cancelled; only the unfinished ones of them are kept in ``tasks``.
    """

    spec: JobSpec
    digest: str
    accepted_ms: int = 0
    fresh_index: int = 0
    tasks: dict[int, TaskEntry] = attrs.field(factory=dict)
    done_count: int = 0
    failed_count: int = 0
    cancelled_count: int = 0
    cancelled: bool = False

    @property
    def finished(self) -> bool:
        """Return whether all tasks have ended."""
        return not self.tasks and self.fresh_index >= self.spec.task_count


@attrs.define
class RequestEntry:
    """A non-repeatable request; without an outcome it may have run."""

    digest: str
    opened_ms: int = 0
    outcome: OutcomeKind | None = None
    status: int = 0
    body: str = ''


@attrs.define
class RangeLedger:
    """Durable state of a hash range: its jobs and its requests."""

    jobs: dict[str, JobEntry] = attrs.field(factory=dict)
    requests: dict[str, RequestEntry] = attrs.field(factory=dict)


Ledger = CellLedger | RangeLedger


@functools.singledispatch
def apply(record: object, ledger: Ledger) -> None:
    """Apply one record to the durable state of its unit."""
    raise NotImplementedError(type(record))


@apply.register
def _(record: records.JobAccepted, ledger: RangeLedger) -> None:
    if record.spec.job_id not in ledger.jobs:
        ledger.jobs[record.spec.job_id] = JobEntry(
            record.spec, record.digest, record.accepted_ms
        )


@apply.register
def _(record: records.JobCancelled, ledger: RangeLedger) -> None:
    job = ledger.jobs.get(record.job_id)
    if job is None or job.cancelled:
        return
    job.cancelled = True
    job.cancelled_count += job.spec.task_count - job.fresh_index
    job.fresh_index = job.spec.task_count
    assigned = {key: task for key, task in job.tasks.items() if task.assigned}
    job.cancelled_count += len(job.tasks) - len(assigned)
    job.tasks = assigned


@apply.register
def _(record: records.JobForgotten, ledger: RangeLedger) -> None:
    ledger.jobs.pop(record.job_id, None)


@apply.register
def _(record: records.TaskAssigned, ledger: RangeLedger) -> None:
    job = ledger.jobs.get(record.job_id)
    if job is None:
        return
    if record.index >= job.fresh_index:
        job.fresh_index = record.index + 1
        job.tasks[record.index] = TaskEntry()
    task = job.tasks.get(record.index)
    if task is None:
        # A cancellation was recorded before this assignment.
        return
    task.attempt = record.attempt
    task.cell = record.cell
    task.cell_epoch = record.cell_epoch


@apply.register
def _(record: records.TaskReturned, ledger: RangeLedger) -> None:
    job = ledger.jobs.get(record.job_id)
    task = None if job is None else job.tasks.get(record.index)
    if job is None or task is None or task.attempt != record.attempt:
        return
    task.cell = ''
    task.checkpoint = record.checkpoint or task.checkpoint
    if record.outcome is TaskOutcome.FAILED:
        task.failure_count += 1
    _end_task(job, record, task)


def _end_task(
    job: JobEntry, record: records.TaskReturned, task: TaskEntry
) -> None:
    if record.outcome is TaskOutcome.DONE:
        job.done_count += 1
    elif record.outcome is TaskOutcome.CANCELLED or job.cancelled:
        job.cancelled_count += 1
    elif task.failure_count >= job.spec.max_failures:
        job.failed_count += 1
    else:
        return
    del job.tasks[record.index]


@apply.register
def _(record: records.AttemptPlaced, ledger: CellLedger) -> None:
    ledger.attempts[record.task.task_id] = AttemptEntry(
        record.task,
        record.spec,
        record.worker_id,
        record.incarnation,
        record.reserved,
        record.checkpoint,
        record.policy,
    )


@apply.register
def _(record: records.AttemptEnded, ledger: CellLedger) -> None:
    entry = ledger.attempts.get(record.task_id)
    if entry is not None and entry.task.attempt == record.attempt:
        entry.outcome = record.outcome
        entry.checkpoint = record.checkpoint or entry.checkpoint


@apply.register
def _(record: records.AttemptForgotten, ledger: CellLedger) -> None:
    entry = ledger.attempts.get(record.task_id)
    if entry is not None and entry.task.attempt == record.attempt:
        del ledger.attempts[record.task_id]


@apply.register
def _(record: records.RequestOpened, ledger: RangeLedger) -> None:
    ledger.requests[record.request_id] = RequestEntry(
        record.digest, record.opened_ms
    )


@apply.register
def _(record: records.RequestClosed, ledger: RangeLedger) -> None:
    entry = ledger.requests.get(record.request_id)
    if entry is None:
        return
    if record.outcome is OutcomeKind.NOT_RUN:
        # Proved not run: the caller may send the same id again.
        del ledger.requests[record.request_id]
        return
    entry.outcome = record.outcome
    entry.status = record.status
    entry.body = record.body


@apply.register
def _(record: records.RequestForgotten, ledger: RangeLedger) -> None:
    ledger.requests.pop(record.request_id, None)
