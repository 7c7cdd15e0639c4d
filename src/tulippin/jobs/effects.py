"""Effects of the job scheduler, as data for the shell to perform."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs.ports import StartOrder
from tulippin.jobs.records import (
    AccountRecord,
    EpochRecord,
    GuestRecord,
    LeaseRecord,
    ModelRecord,
    ProgressRecord,
    RosterRecord,
)
from tulippin.jobs.types import TaskKey


@attrs.frozen
class JobEffect:
    """Base of all effects."""


@attrs.frozen
class TellFailure(JobEffect):
    """Tell of an error that was contained, and what was at work."""

    what: str
    error: Exception
    sources: tuple[str, ...] = ()


@attrs.frozen
class TakeUnit(JobEffect):
    """Become the owner if the rows are still as they were seen."""

    lease: LeaseRecord
    lease_version: int
    epoch: EpochRecord
    epoch_version: int


@attrs.frozen
class RenewLease(JobEffect):
    """Renew the lease if the epoch's row is still ours."""

    lease: LeaseRecord
    epoch_version: int


@attrs.frozen
class ReleaseLease(JobEffect):
    """Give the unit up, in a planned way, with what is known of it.

    Model and account are absent where the unit had not been loaded.
    ``unused_ms`` tells then for how long it was held: no order was given,
    and the last owner's account is handed on. ``lease_version`` is that of
    the lease's row: any later renewal keeps this from being done late.
    """

    lease: LeaseRecord
    model: ModelRecord | None
    account: AccountRecord | None
    epoch: EpochRecord
    epoch_version: int
    unused_ms: int | None = None
    lease_version: int = 0


@attrs.frozen
class KeepModel(JobEffect):
    """Keep what was learned for the next owner."""

    model: ModelRecord
    epoch_version: int


@attrs.frozen
class LoadUnit(JobEffect):
    """Read all that is durable of the unit, then follow its changes."""


@attrs.frozen
class ForgetUnit(JobEffect):
    """Stop following the unit's changes and its workers."""


@attrs.frozen
class ProgressWrite:
    """A job's progress and the version of the row that it replaces."""

    job_id: str
    record: ProgressRecord
    version: int


@attrs.frozen
class CommitProgress(JobEffect):
    """Make progress durable; then ends up to these may be forgotten."""

    writes: tuple[ProgressWrite, ...]
    ends: dict[str, int]
    epoch_version: int


@attrs.frozen
class PassTasks(JobEffect):
    """Give tasks to another unit, which this one will not start again."""

    job_id: str
    unit: int
    record: GuestRecord


@attrs.frozen
class FailJob(JobEffect):
    """Tell all units that know a job that it has failed."""

    job_id: str
    reason: str


@attrs.frozen
class CommitRoster(JobEffect):
    """Keep on which workers the owner's orders may have effect."""

    roster: RosterRecord
    roster_version: int
    epoch_version: int


@attrs.frozen
class RemoveJobs(JobEffect):
    """Forget jobs that ended long ago; guests' homes forget theirs."""

    job_ids: tuple[str, ...]
    epoch_version: int
    guest_ids: frozenset[str] = frozenset()


@attrs.frozen
class HoldWorker(JobEffect):
    """Extend a worker's lease and ask for its report."""

    worker_id: str
    address: str
    fencing_token: int
    last_seen: int
    deadline_ms: int | None
    wait_ms: int


@attrs.frozen
class StartRun(JobEffect):
    """Send an order to start a run, but not after ``expires_ms``."""

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
    """Let a run work at a share of its speed."""

    worker_id: str
    address: str
    key: TaskKey
    run: int
    percent: int
    fencing_token: int


@attrs.frozen
class AskAdvice(JobEffect):
    """Ask which of some workers may run a step."""

    step: tuple[str, int, int]
    worker_ids: tuple[str, ...]


@attrs.frozen
class ForgetWorker(JobEffect):
    """Close the connections to a worker."""

    worker_id: str


@attrs.frozen
class LogDecision(JobEffect):
    """Write one line: what was decided, about what, by which inputs."""

    decision: str
    fields: dict[str, t.Any]
