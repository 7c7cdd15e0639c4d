"""Events of the job scheduler; each carries the time of its handling."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs.effects import CommitProgress
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    AccountRecord,
    EpochRecord,
    LeaseRecord,
    ModelRecord,
    RosterRecord,
    UnitRoom,
)
from tulippin.jobs.types import (
    Configuration,
    OrderAnswer,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.policies import Policy


@attrs.frozen
class JobEvent:
    """Base of all events; ``at_ms`` is monotonic and counts suspension."""

    at_ms: int


@attrs.frozen
class Ticked(JobEvent):
    """Time has passed; ``wall_ms`` is the time of day."""

    wall_ms: int


@attrs.frozen
class ConfigurationChanged(JobEvent):
    """The operators' configuration, at least as new as any before."""

    configuration: Configuration


@attrs.frozen
class PolicyChanged(JobEvent):
    """A bundle was rolled; its policy is in force from now on."""

    number: int
    policy: Policy


@attrs.frozen
class LeaseSeen(JobEvent):
    """The owner's rows as they stand; absent ones have version 0."""

    lease: LeaseRecord | None
    lease_version: int
    epoch: EpochRecord | None
    epoch_version: int


@attrs.frozen
class UnitTaken(JobEvent):
    """The unit is ours, or another was first (no version).

    ``is_unsure``: the store did not tell, or took nothing.
    """

    epoch: int
    version: int
    is_unsure: bool = False


@attrs.frozen
class LeaseRenewed(JobEvent):
    """Whether the lease, as sent at a time, was renewed.

    ``is_fenced`` says that another owns the unit; neither flag means
    that the store did not answer. ``epoch_version`` tells the ownership,
    ``version`` that of the lease's row from then on.
    """

    epoch_version: int
    sent_ms: int
    is_done: bool
    is_fenced: bool
    version: int = 0


# What an owner keeps or loses its unit by.
OWNERSHIP_EVENTS: t.Final = (Ticked, LeaseSeen, UnitTaken, LeaseRenewed)


@attrs.frozen
class UnitLoaded(JobEvent):
    """All that is durable of the unit.

    ``epoch_version`` is that of the owner's epoch, read after the jobs: if
    it is still ours, no later owner knew these jobs when they were read.
    No roster: it can't be read, and tells of no worker. ``workers_read_ms``
    is when the reading of the workers' list began. ``sources`` names the rows
    that are not among these.
    """

    jobs: tuple[StoredRow, ...]
    progress: tuple[StoredRow, ...]
    roster: RosterRecord | None
    roster_version: int
    workers: tuple[WorkerEntry, ...]
    model: ModelRecord | None = None
    epoch_version: int = 0
    account: AccountRecord | None = None
    workers_read_ms: int = 0
    sources: tuple[str, ...] = ()


@attrs.frozen
class JobsChanged(JobEvent):
    """Jobs were accepted or cancelled.

    ``epoch_version`` is the newest version at which an owner took the unit
    among the changes up to these rows; 0 says that none did. ``progress``
    comes along where all rows were read anew.
    """

    rows: tuple[StoredRow, ...]
    epoch_version: int = 0
    progress: tuple[StoredRow, ...] = ()


@attrs.frozen
class WorkersChanged(JobEvent):
    """The platform's list of workers has changed.

    ``read_ms`` is when its reading began: what stood still meanwhile, or
    waited in the inbox, takes it for no newer than that.
    """

    changed: tuple[WorkerEntry, ...]
    gone: tuple[str, ...]
    read_ms: int


@attrs.frozen
class WorkerAnswered(JobEvent):
    """A worker's report, to a hold sent at a time."""

    worker_id: str
    sent_ms: int
    report: WorkerReport


@attrs.frozen
class WorkerSilent(JobEvent):
    """A hold brought no report.

    ``is_fenced``: a newer owner was there. ``is_replaced``: another life
    of the worker answers.
    """

    worker_id: str
    reason: str
    is_fenced: bool = False
    is_replaced: bool = False


@attrs.frozen
class StartAnswered(JobEvent):
    """What came of an order to start a run."""

    worker_id: str
    key: TaskKey
    run: int
    answer: OrderAnswer


@attrs.frozen
class StopAnswered(JobEvent):
    """What came of an order to stop a run."""

    worker_id: str
    key: TaskKey
    run: int
    answer: OrderAnswer


@attrs.frozen
class PaceAnswered(JobEvent):
    """What came of an order to pace a run."""

    worker_id: str
    key: TaskKey
    run: int
    percent: int
    answer: OrderAnswer


@attrs.frozen
class AdviceAnswered(JobEvent):
    """Which workers may run a step; ``valid_ms`` 0 is no answer."""

    step: tuple[str, int, int]
    tickets: dict[str, str]
    valid_ms: int


@attrs.frozen
class ProgressCommitted(JobEvent):
    """A commit is durable, or the unit has another owner."""

    commit: CommitProgress
    version: int
    is_fenced: bool = False


@attrs.frozen
class RosterCommitted(JobEvent):
    """The roster is durable, or the unit has another owner."""

    roster: RosterRecord
    version: int
    epoch_version: int
    is_fenced: bool = False


@attrs.frozen
class RoomsSeen(JobEvent):
    """What the owners of the other units tell of their room."""

    rooms: dict[int, UnitRoom]


@attrs.frozen
class ModelKept(JobEvent):
    """What was learned is kept, or could not be now."""


@attrs.frozen
class ModelsSeen(JobEvent):
    """What the owners of the other units have learned, by these rows."""

    models: tuple[ModelRecord, ...]
    sources: tuple[str, ...] = ()


@attrs.frozen
class StopRequested(JobEvent):
    """The instance is to stop in a planned way."""


@attrs.frozen
class LeaseReleased(JobEvent):
    """How a try to give the unit up has ended.

    Parameters
    ----------
    epoch_version : int
        Tells the ownership.
    is_done : bool
        The unit is not ours any more.
    is_unsure : bool
        It may be so, or become so later, if no renewal is done before.
    lease_version : int
        That of the lease's row, where it is not the one that was told.
    """

    epoch_version: int
    is_done: bool
    is_unsure: bool = False
    lease_version: int = 0
