"""Plain data shared by every module: sizes, jobs, workers and units."""

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

    ``REFUSED`` means that no worker of the cell had room, so the attempt
    never started. ``LOST`` means that its worker's lease lapsed.
    """

    DONE = 'done'
    FAILED = 'failed'
    EVICTED = 'evicted'
    LOST = 'lost'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'


class OutcomeKind(enum.Enum):
    """How a caller's request ended.

    ``NOT_RUN`` is proved; ``UNKNOWN`` means sent and not answered.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class WorkerStanding(enum.Enum):
    """What the platform's list says of a worker."""

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
        """Return what is left; a part may be below zero."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerator_count - other.accelerator_count,
        )

    def fits(self, other: Resources) -> bool:
        """Tell whether ``other`` fits into this amount."""
        return (
            other.cpu_millicores <= self.cpu_millicores
            and other.memory_mb <= self.memory_mb
            and other.accelerator_count <= self.accelerator_count
        )

    def largest(self, other: Resources) -> Resources:
        """Return the larger of the two, part by part."""
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
    """A worker as the platform's lagging list gives it."""

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
    """Where a unit's durable state may be found: a session and its epoch.

    ``base`` is the key of the object from which that session began, if
    it got the unit at a planned hand-over.
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
        Raised at each change of owner; a lower one is refused anywhere.
    base : str
        Key of the object with the unit's state at a planned hand-over;
        empty after a takeover.
    previous : tuple of Source
        Where to look for the state after a takeover, latest first.
    """

    session_id: str
    epoch: int
    base: str = ''
    previous: tuple[Source, ...] = ()


@attrs.frozen
class Ownership:
    """The one row that says who owns which unit."""

    units: dict[str, Holder] = attrs.field(factory=dict)
    token: str = ''


@attrs.frozen
class LeaseRow:
    """A session's lease as it stands in the table.

    ``renewal_count`` rises at each renewal; observers time its changes
    by their own clocks and never read the holder's.
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
    """Tell whether a unit is a cell rather than a hash range."""
    return unit.startswith('cell/')
