"""Effects of the job scheduler: data that describes what the shell does."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs.ports import StartOrder
from tulippin.jobs.records import (
    AccountRecord,
    EpochRecord,
    GuestRecord,
    JobRecord,
    LeaseRecord,
    ModelRecord,
    ProgressRecord,
    RosterRecord,
)
from tulippin.jobs.types import (
    ANY_INCARNATION,
    ExpectedIncarnation,
    Incarnation,
    TaskKey,
)


@attrs.frozen
class JobEffect:
    """Base of all effects."""


@attrs.frozen
class TellFailure(JobEffect):
    """Report an error that was contained, and what raised it."""

    what: str
    error: Exception
    sources: tuple[str, ...] = ()


@attrs.frozen
class TakeUnit(JobEffect):
    """Become the owner if lease and epoch rows have not changed."""

    lease: LeaseRecord
    lease_version: int
    epoch: EpochRecord
    epoch_version: int


@attrs.frozen
class RenewLease(JobEffect):
    """Renew the lease if the epoch row is still this owner's."""

    lease: LeaseRecord
    epoch_version: int


@attrs.frozen
class ReleaseLease(JobEffect):
    """Release the unit in a planned way, with data for the next owner.

    ``model`` and ``account``, the release report, are None if the unit was not
    loaded. ``held_ms`` is then the time for which it was owned; as no order
    was given, the previous owner's release report is handed over.
    ``lease_version`` is that of the lease row: after any later renewal, a
    delayed release has no effect.
    """

    lease: LeaseRecord
    model: ModelRecord | None
    account: AccountRecord | None
    epoch: EpochRecord
    epoch_version: int
    held_ms: int | None = None
    lease_version: int = 0


@attrs.frozen
class KeepModel(JobEffect):
    """Persist the model for the next owner."""

    model: ModelRecord
    epoch_version: int


@attrs.frozen
class LoadUnit(JobEffect):
    """Read all durable data of the unit, then follow its changes.

    ``load_number`` counts the loads of one ownership.
    """

    load_number: int = 0


@attrs.frozen
class ForgetUnit(JobEffect):
    """Stop following the unit's changes and its workers."""


@attrs.frozen
class ProgressWrite:
    """A job's progress, and the version of the row that it replaces."""

    job_id: str
    record: ProgressRecord
    version: int


@attrs.frozen
class CommitProgress(JobEffect):
    """Write progress of jobs.

    ``ends`` holds, by incarnation, the number up to which ends of runs may be
    acknowledged once the write is durable.
    """

    writes: tuple[ProgressWrite, ...]
    ends: dict[Incarnation, int]
    epoch_version: int


@attrs.frozen
class PassTasks(JobEffect):
    """Transfer tasks to another unit; this one no longer starts them."""

    job_id: str
    unit: int
    record: GuestRecord


@attrs.frozen
class MoveJob(JobEffect):
    """Make another unit the home of a job; this one no longer starts it.

    ``row_version`` is the version of the row that brought the job here.
    """

    job_id: str
    unit: int
    record: JobRecord
    row_version: int


@attrs.frozen
class FailJob(JobEffect):
    """Mark a job as failed in all units that hold tasks of it."""

    job_id: str
    reason: str


@attrs.frozen
class CommitRoster(JobEffect):
    """Write the roster: the workers where orders may have effect."""

    roster: RosterRecord
    roster_version: int
    epoch_version: int


@attrs.frozen
class RemoveJobs(JobEffect):
    """Remove jobs that ended long ago from the store.

    ``transferred_ids`` are transferred jobs, whose home unit removes the rest.
    ``moved_versions`` holds the versions of the rows of those that have moved
    to another unit: a later one brings the job back.
    """

    job_ids: tuple[str, ...]
    epoch_version: int
    transferred_ids: frozenset[str] = frozenset()
    moved_versions: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class HoldWorker(JobEffect):
    """Extend a worker's lease and ask for its report."""

    worker_id: str
    address: str
    fencing_token: int
    last_seen: int
    deadline_ms: int | None
    wait_ms: int
    incarnation: ExpectedIncarnation = ANY_INCARNATION


@attrs.frozen
class StartRun(JobEffect):
    """Send an order to start a run, unless ``expires_ms`` has passed."""

    order: StartOrder
    expires_ms: int


@attrs.frozen
class StopRun(JobEffect):
    """Send an order to stop a run."""

    worker_id: str
    address: str
    key: TaskKey
    run: int
    fencing_token: int


@attrs.frozen
class PaceRun(JobEffect):
    """Send an order to set the pace of a run."""

    worker_id: str
    address: str
    key: TaskKey
    run: int
    percent: int
    fencing_token: int


@attrs.frozen
class AskAdvice(JobEffect):
    """Ask the advisor which of some workers may run a step."""

    step: tuple[str, int, int]
    worker_ids: tuple[str, ...]


@attrs.frozen
class ForgetWorker(JobEffect):
    """Close the connections to a worker."""

    worker_id: str


@attrs.frozen
class LogDecision(JobEffect):
    """Log a decision with its subject and inputs."""

    decision: str
    fields: dict[str, t.Any]
