"""Jobs of steps and tasks, the queues they come by, and workers."""

from __future__ import annotations

import enum
import functools
import typing as t

import attrs

from tulippin.types import Resources


class JobState(enum.Enum):
    """What a caller is told of its job."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES: t.Final = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class RunOutcome(enum.Enum):
    """How one run of a task ended, as its worker tells it.

    ``BROKEN`` ended because another member of its gang did, ``ALONE``
    because the others never came.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class TaskKey(t.NamedTuple):
    """Names a task: its job, the job's occurrence, its step, its number."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def format(self) -> str:
        """Return the name under which workers know the task."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task(name: str) -> TaskKey:
    """Return the key that a task's name stands for.

    Raises
    ------
    ValueError
        If the name is not that of a task.
    """
    job_id, occurrence, step, index = name.split('.')
    return TaskKey(job_id, int(occurrence), int(step), int(index))


@attrs.frozen
class Step:
    """Tasks of one kind within a job.

    Parameters
    ----------
    task_count : int
        How many tasks the step has.
    size : Resources
        What each task takes of its worker.
    estimated_ms : int
        The caller's rough guess of one task's run time.
    after : tuple of int
        Steps whose tasks must all be done first.
    checkpointing : bool
        A task that stops can be resumed from its last checkpoint.
    gang : bool
        The tasks work only together, under one run.
    same_rack : bool
        A gang on several racks works more slowly.
    required_label : str
        A label that the worker must have.
    preferred_rack : str
        The rack that holds the data; elsewhere the work is slower.
    max_per_worker : int
        The most tasks of the step on one worker; zero is no limit.
    allow_duplicates : bool
        Copies may run side by side; the first to end counts.
    long_running : bool
        The tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : int
        Long-running tasks are to answer their own users within this.
    opportunistic : bool
        The tasks use processors that the others leave idle, and
        reserve none.
    max_unavailable : int
        Tasks of a long-running step that may be away at once by the
        system's doing; zero is no bound.
    """

    task_count: int
    size: Resources = Resources()
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    max_per_worker: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    opportunistic: bool = False
    max_unavailable: int = 0

    @functools.cached_property
    def reserved(self) -> Resources:
        """What a task takes from its worker's room."""
        if self.opportunistic:
            return attrs.evolve(self.size, cpu_millicores=0)
        return self.size


@attrs.frozen
class Schedule:
    """Occurrences of a job: ``count`` times, each ``interval_ms`` apart."""

    first_at_ms: int = 0
    interval_ms: int = 0
    count: int = 0


@attrs.frozen
class JobRequest:
    """What a caller asks to be run.

    ``spec`` is handed to each task as it is.
    """

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()

    @property
    def occurrence_count(self) -> int:
        """How many times the steps run."""
        return max(1, self.schedule.count)


@attrs.frozen
class Queue:
    """A queue of the operators' configuration.

    Parameters
    ----------
    name, host, path_prefix : str
        The queue's name, and where callers reach it.
    service : str
        Whose workers run its tasks.
    priority : int
        Zero goes first.
    max_attempts : int
        Runs of one task that may fail.
    stretch : float
        The objective, as a multiple of the job's longest chain.
    target_latency_ms : int
        What the objective adds to that.
    advised : bool
        Its policy needs a ticket for each step and worker.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    advised: bool = False


@attrs.frozen
class Service:
    """A pool of workers; ``enforces_capacity``: they refuse overload."""

    name: str
    enforces_capacity: bool = False
    spare: bool = False


@attrs.frozen
class Configuration:
    """The operators' configuration as of one version.

    The limits are of one call, in bytes; the defaults are those of the
    users' sheets and of the HTTP library.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    max_body_bytes: int = 262144
    max_header_bytes: int = 65536

    @functools.cached_property
    def service_names(self) -> frozenset[str]:
        """The services whose workers may be used."""
        return frozenset(
            (
                *(service.name for service in self.services),
                *(queue.service for queue in self.queues),
            )
        )

    @functools.cached_property
    def guarded_services(self) -> frozenset[str]:
        """The services whose workers refuse what does not fit."""
        return frozenset(
            service.name
            for service in self.services
            if service.enforces_capacity
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching prefix."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            matching, key=lambda queue: len(queue.path_prefix), default=None
        )


@attrs.frozen
class WorkerEntry:
    """A worker as the platform's list gives it.

    ``leaves_in_ms`` is the least time left of a drain, and ``clock_ms``
    the worker's own steady clock when it wrote the entry. No ``capacity``:
    the entry was not read, and its room is not known, which is not a room
    of nothing.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    capacity: Resources | None
    labels: tuple[str, ...] = ()
    draining: bool = False
    leaves_in_ms: int = 0
    clock_ms: int = 0
    machine: str = ''
    rack: str = ''


@attrs.frozen
class RunningTask:
    """A run that a worker reports as present.

    ``progress_percent`` is the share of its work that is done, and for a
    long-running task the share at which it is at work. ``load`` is the
    tail in ms for a task with a latency target, and otherwise the
    millicores in use over the last half second; nothing where the worker
    does not tell it.
    """

    key: TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    load: float | None


@attrs.frozen
class EndedRun:
    """The end of a run; ``number`` rises within a worker's life."""

    number: int
    key: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's account of itself, by its own steady clock."""

    clock_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()


class StartOutcome(enum.Enum):
    """What came of an order to a worker.

    ``UNKNOWN`` may have been done, or may be done seconds later;
    ``NOT_SENT`` and everything above it surely did nothing, except that
    ``STARTED`` has.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    REJECTED = 'rejected'
    NOT_SENT = 'not_sent'
    UNKNOWN = 'unknown'


@attrs.frozen
class OrderAnswer:
    """A worker's answer to an order; no clock where none was told."""

    outcome: StartOutcome
    clock_ms: int | None = None
