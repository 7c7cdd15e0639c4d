"""Events of the job scheduler, the inputs of its reducer."""

from __future__ import annotations

import enum
import functools
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
    UnitCapacity,
)
from tulippin.jobs.store_clock import ClockReading
from tulippin.jobs.types import (
    Configuration,
    OrderAnswer,
    OrderOutcome,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.policies import Policy


@attrs.frozen
class JobEvent:
    """Base of all events.

    ``at_ms`` is the time when the event is handled, by a monotonic clock that
    includes suspension. Until then it is the time when the event was posted.
    """

    at_ms: int


@attrs.frozen
class Ticked(JobEvent):
    """A tick of the clock; ``wall_ms`` is the time of day."""

    wall_ms: int


@attrs.frozen
class ConfigurationChanged(JobEvent):
    """The operators' configuration was read, at first or after a change."""

    configuration: Configuration


@attrs.frozen
class EvacuationsChanged(JobEvent):
    """The evacuated failure domains, at first or after a change.

    ``closed_units`` are the units that lie in these domains as a whole.
    """

    failure_domains: frozenset[str]
    closed_units: frozenset[int] = frozenset()


@attrs.frozen
class PolicyChanged(JobEvent):
    """A bundle was rolled out; its policy is in force from now on."""

    number: int
    policy: Policy


@attrs.frozen
class LeaseSeen(JobEvent):
    """The current lease and epoch rows; absent ones have version 0."""

    lease: LeaseRecord | None
    lease_version: int
    epoch: EpochRecord | None
    epoch_version: int


@attrs.frozen
class UnitTaken(JobEvent):
    """An attempt to take the unit, sent at ``sent_ms``, has ended.

    ``version`` is that of the rows written, or 0 if the unit was not taken.
    ``is_in_doubt`` says that the store gave no result or was unavailable.
    ``store_ms`` is the store's clock at its answer, or 0 if unknown.
    """

    epoch: int
    version: int
    sent_ms: int
    is_in_doubt: bool = False
    store_ms: int = 0


@attrs.frozen
class LeaseRenewed(JobEvent):
    """An attempt to renew the lease, sent at ``sent_ms``, has ended.

    ``is_fenced`` says that another instance owns the unit; if neither flag is
    set, the store did not answer. ``epoch_version`` identifies the ownership,
    ``version`` is the new version of the lease row, and ``store_ms`` the
    store's clock at its answer, or 0 if unknown.
    """

    epoch_version: int
    sent_ms: int
    is_done: bool
    is_fenced: bool
    version: int = 0
    store_ms: int = 0


# Events by which an instance takes, keeps or loses a unit.
OWNERSHIP_EVENTS: t.Final = (Ticked, LeaseSeen, UnitTaken, LeaseRenewed)


@attrs.frozen
class UnitLoaded(JobEvent):
    """All durable data of the unit was read.

    ``epoch_version`` is that of the epoch row, read after the jobs: if it is
    still this owner's, no later owner knew these jobs when they were read.
    ``roster`` is None if it can't be read, which doesn't mean that it is
    empty. ``workers_read_ms`` is when the read of the list of workers began.
    ``sources`` names the rows of roster, model and account, ``load_number`` the
    load that read all this. ``clock`` is the store's clock in one of its
    answers.
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
    load_number: int = 0
    clock: ClockReading | None = None


@attrs.frozen
class JobsChanged(JobEvent):
    """Jobs were accepted, cancelled, transferred to this unit or abandoned.

    ``epoch_version`` is the newest version at which an owner took the unit
    among the changes up to these rows, or 0 if none did. ``progress`` is
    included when all rows were read again.
    """

    rows: tuple[StoredRow, ...]
    epoch_version: int = 0
    progress: tuple[StoredRow, ...] = ()


@attrs.frozen
class WorkersChanged(JobEvent):
    """The platform's list of workers has changed.

    ``read_ms`` is when the read of the list began. The entries count as no
    newer than that, also if the process was suspended or the event waited in
    the inbox since.
    """

    changed: tuple[WorkerEntry, ...]
    gone: tuple[str, ...]
    read_ms: int


@attrs.frozen
class WorkerAnswered(JobEvent):
    """A worker answered a hold, sent at ``sent_ms``, with its report."""

    worker_id: str
    sent_ms: int
    report: WorkerReport


@attrs.frozen
class WorkerSilent(JobEvent):
    """A hold brought no report.

    ``is_fenced`` says that the worker has received orders of a newer owner,
    ``is_replaced`` that another incarnation of the worker answers.
    """

    worker_id: str
    reason: str
    is_fenced: bool = False
    is_replaced: bool = False


@attrs.frozen
class StartAnswered(JobEvent):
    """An order to start a run has its outcome."""

    worker_id: str
    key: TaskKey
    run: int
    answer: OrderAnswer


@attrs.frozen
class StopAnswered(JobEvent):
    """An order to stop a run has its outcome."""

    worker_id: str
    key: TaskKey
    run: int
    answer: OrderAnswer


@attrs.frozen
class PaceAnswered(JobEvent):
    """An order to set the pace of a run has its outcome."""

    worker_id: str
    key: TaskKey
    run: int
    percent: int
    answer: OrderAnswer


@attrs.frozen
class AdviceAnswered(JobEvent):
    """Tickets, by worker, for a step; ``valid_ms`` is 0 without an answer."""

    step: tuple[str, int, int]
    tickets: dict[str, str]
    valid_ms: int


@attrs.frozen
class ProgressCommitted(JobEvent):
    """A commit of progress is durable, or the unit has another owner.

    Parameters
    ----------
    commit : CommitProgress
        What was written. More of the commit follows if ``is_partial``.
    version : int
        The version of the rows written.
    is_fenced : bool
        Whether the unit has another owner.
    is_partial : bool
        Whether the commit goes on.
    refusals : dict of str to str
        Why the store refuses the progress of jobs, by job.
    """

    commit: CommitProgress
    version: int
    is_fenced: bool = False
    is_partial: bool = False
    refusals: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class JobRefused(JobEvent):
    """The store refuses the row by which a job goes to another unit."""

    job_id: str
    reason: str


@attrs.frozen
class RosterCommitted(JobEvent):
    """The roster is durable or refused, or the unit has another owner."""

    roster: RosterRecord
    version: int
    epoch_version: int
    is_fenced: bool = False
    is_refused: bool = False


@attrs.frozen
class RoomsSeen(JobEvent):
    """The capacity that the owners of other units publish was read."""

    unit_capacities: dict[int, UnitCapacity]


@attrs.frozen
class ModelKept(JobEvent):
    """An attempt to persist the model has ended, with or without success."""


@attrs.frozen
class ModelsSeen(JobEvent):
    """The models of other units' owners were read from the named rows."""

    models: tuple[ModelRecord, ...]
    sources: tuple[str, ...] = ()


@attrs.frozen
class StopRequested(JobEvent):
    """The instance was asked for a planned stop."""


@attrs.frozen
class LeaseReleased(JobEvent):
    """An attempt to release the unit has ended.

    Parameters
    ----------
    epoch_version : int
        Identifies the ownership.
    is_done : bool
        Whether the instance no longer owns the unit.
    is_in_doubt : bool
        Whether the release may be carried out, now or later, unless a renewal
        is carried out before it.
    lease_version : int
        The current version of the lease row if it differs from the one that
        the release required, otherwise 0.
    """

    epoch_version: int
    is_done: bool
    is_in_doubt: bool = False
    lease_version: int = 0


@functools.singledispatch
def tells_of_successor(event: JobEvent) -> bool:
    """Whether an event says that another instance owns the unit."""
    return getattr(event, 'is_fenced', False)


@tells_of_successor.register(StartAnswered)
@tells_of_successor.register(StopAnswered)
@tells_of_successor.register(PaceAnswered)
def _is_order_fenced(
    event: StartAnswered | StopAnswered | PaceAnswered,
) -> bool:
    return event.answer.outcome is OrderOutcome.FENCED


class Urgency(enum.IntEnum):
    """Which of the events that wait is handled first."""

    OWNERSHIP = 0
    LEASES = 1
    OTHER = 2


@functools.singledispatch
def get_urgency(event: JobEvent) -> Urgency:
    """Return the urgency of an event.

    Events by which an instance keeps or loses its unit come first, then those
    by which the workers keep their runs and the ends of these become durable.
    """
    if isinstance(event, OWNERSHIP_EVENTS) or tells_of_successor(event):
        return Urgency.OWNERSHIP
    return Urgency.OTHER


@get_urgency.register(WorkerAnswered)
@get_urgency.register(WorkerSilent)
@get_urgency.register(ProgressCommitted)
@get_urgency.register(RosterCommitted)
def _get_lease_urgency(event: JobEvent) -> Urgency:
    if tells_of_successor(event):
        return Urgency.OWNERSHIP
    return Urgency.LEASES
