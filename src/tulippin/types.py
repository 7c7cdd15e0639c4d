"""Value types that most modules share: sizes, jobs, workers and units."""

from __future__ import annotations

import enum
import typing as t

import attrs

URGENT_PRIORITY: t.Final = 100
SERVICE_PRIORITY: t.Final = 1000


class JobKind(enum.Enum):
    """Whether a job's tasks answer requests or run to an end."""

    BATCH = 'batch'
    SERVICE = 'service'


class TaskOutcome(enum.Enum):
    """How one attempt at a task ended.

    ``REFUSED`` means that the cell did not place the attempt, usually for
    lack of free capacity, so it never started. ``LOST`` means that its
    worker's lease lapsed or that the worker no longer has it.
    """

    DONE = 'done'
    FAILED = 'failed'
    EVICTED = 'evicted'
    LOST = 'lost'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'


class OutcomeKind(enum.Enum):
    """How a caller's request ended.

    ``NOT_RUN`` means that the request is proved not to have run;
    ``UNKNOWN`` means that it may have run.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class WorkerStanding(enum.Enum):
    """State of a worker in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Resources:
    """An amount of what a worker can hold.

    Parameters
    ----------
    cpu_millicores : int
        Thousandths of a processor.
    memory_mb : int
        Memory in MiB.
    accelerator_count : int
        Whole accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerator_count: int = 0

    def add(self, other: Resources) -> Resources:
        """Return the sum of the two amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerator_count + other.accelerator_count,
        )

    def subtract(self, other: Resources) -> Resources:
        """Return the difference of the two amounts; it may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerator_count - other.accelerator_count,
        )

    def fits(self, other: Resources) -> bool:
        """Return whether ``other`` fits into this amount."""
        return (
            other.cpu_millicores <= self.cpu_millicores
            and other.memory_mb <= self.memory_mb
            and other.accelerator_count <= self.accelerator_count
        )

    def elementwise_max(self, other: Resources) -> Resources:
        """Return the maximum of the two amounts for each resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerator_count, other.accelerator_count),
        )


@attrs.frozen
class JobSpec:
    """What a caller asks to be run.

    Parameters
    ----------
    job_id : str
        Chosen by the caller; the same id with the same content is the
        same job.
    team : str
        Who pays for it.
    kind : JobKind
        Batch work, or the tasks of a service.
    job_class : str
        Names jobs alike in size and interference; for a service, the
        name of the service.
    task_count : int
        How many tasks the job has.
    size : Resources
        What each task declares.
    run_ms : int
        Declared run time of one task; zero where none is declared.
    priority : int
        Higher goes first; ``URGENT_PRIORITY`` and more is urgent.
    max_failures : int
        Failures of one task before the job counts it as failed.
    """

    job_id: str
    team: str
    kind: JobKind = JobKind.BATCH
    job_class: str = 'batch'
    task_count: int = 1
    size: Resources = Resources(1000, 1024)
    run_ms: int = 0
    priority: int = 0
    max_failures: int = 3


@attrs.frozen
class WorkerInfo:
    """A worker as the platform lists it; the list may be out of date."""

    worker_id: str
    address: str
    cell: str
    failure_domain: str
    capacity: Resources
    slot_count: int = 8
    connection_count: int = 64
    region: str = ''
    standing: WorkerStanding = WorkerStanding.LIVE


@attrs.frozen
class Source:
    """A session that may hold a unit's durable state, and its epoch.

    ``base`` is the key of the object with the state that the session
    started from, if it got the unit by a planned hand-over.
    """

    session_id: str
    epoch: int
    base: str = ''


@attrs.frozen
class Holder:
    """Who owns a unit.

    Parameters
    ----------
    session_id : str
        The owner.
    epoch : int
        Incremented at each change of owner; lower ones are refused everywhere.
    base : str
        Key of the object with the unit's state at a planned hand-over;
        empty after a takeover.
    previous : tuple of Source
        Where the state may be after a takeover, latest first.
    """

    session_id: str
    epoch: int
    base: str = ''
    previous: tuple[Source, ...] = ()


@attrs.frozen
class Ownership:
    """The row of the table that maps units to their owners."""

    units: dict[str, Holder] = attrs.field(factory=dict)
    token: str = ''


@attrs.frozen
class LeaseRow:
    """A session's lease as stored in the table.

    ``renewal_count`` is incremented at each renewal. Observers time its
    changes by their own clocks and do not rely on the holder's clock.
    """

    session_id: str
    instance_id: str
    failure_domain: str
    peer_address: str
    renewal_count: int
    bundle_number: int = 0
    leaving: bool = False
    region: str = ''
    version: int = 0


def cell_unit(cell: str) -> str:
    """Return the unit id of a cell."""
    return f'cell/{cell}'


def range_unit(index: int) -> str:
    """Return the unit id of a hash range."""
    return f'range/{index:02d}'


def is_cell(unit: str) -> bool:
    """Return whether a unit is a cell rather than a hash range."""
    return unit.startswith('cell/')
