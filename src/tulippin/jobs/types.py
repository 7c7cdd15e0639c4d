"""Types of the job scheduler: jobs, steps, tasks, queues and workers."""

from __future__ import annotations

import enum
import functools
import typing as t

import attrs

from tulippin.types import Resources


class JobState(enum.Enum):
    """State of a job as shown to its caller."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES: t.Final = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class RunOutcome(enum.Enum):
    """How a run of a task ended, as reported by its worker.

    A ``BROKEN`` run ended because another member of its gang did, an ``ALONE``
    one because the other members never started.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class TaskKey(t.NamedTuple):
    """Identifies a task by job, occurrence, step and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def format(self) -> str:
        """Return the task's name as used in messages to and from workers."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_key(name: str) -> TaskKey:
    """Parse the name of a task, as made by ``TaskKey.format``.

    Raises
    ------
    ValueError
        If the name is malformed.
    """
    job_id, occurrence, step, index = name.split('.')
    return TaskKey(job_id, int(occurrence), int(step), int(index))


@attrs.frozen
class Step:
    """A group of equal tasks within a job.

    Parameters
    ----------
    task_count : int
        The number of tasks in the step.
    size : Resources
        The resources that each task takes of its worker.
    estimated_ms : int
        The caller's rough estimate of one task's run time.
    after : tuple of int
        Steps whose tasks must all be done first.
    checkpointing : bool
        Whether a stopped task can be resumed from its last checkpoint.
    gang : bool
        Whether the tasks only work together, under one run.
    same_rack : bool
        Whether a gang is slower on several racks.
    required_label : str
        A label that the worker must have.
    preferred_rack : str
        The rack that holds the data; tasks are slower elsewhere.
    max_per_worker : int
        Limit of the step's tasks on one worker; zero means no limit.
    allow_duplicates : bool
        Whether copies of a task may run in parallel; the first to end counts.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        The image that the tasks run; tasks of one image behave alike.
    target_ms : int
        The latency target of a long-running task towards its own users.
    opportunistic : bool
        Whether the tasks reserve no processors and use those that other tasks
        leave idle.
    max_unavailable : int
        How many tasks of a long-running step the scheduler may make
        unavailable at a time; zero means no limit.
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
        """The resources that a task reserves on its worker."""
        if self.opportunistic:
            return attrs.evolve(self.size, cpu_millicores=0)
        return self.size


@attrs.frozen
class Schedule:
    """Occurrences of a job: ``count`` of them, ``interval_ms`` apart."""

    first_at_ms: int = 0
    interval_ms: int = 0
    count: int = 0


@attrs.frozen
class JobRequest:
    """A caller's request to run a job.

    ``spec`` is passed to each task unchanged.
    """

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()

    @property
    def occurrence_count(self) -> int:
        """The number of times that all steps run."""
        return max(1, self.schedule.count)

    @property
    def task_count(self) -> int:
        """The number of tasks of each occurrence."""
        return sum(step.task_count for step in self.steps)


@attrs.frozen
class Queue:
    """A queue of the operators' configuration.

    Parameters
    ----------
    name, host, path_prefix : str
        The queue's name, and the host and path of its API calls.
    service : str
        The service whose workers run its tasks.
    priority : int
        The priority of its jobs; zero is the most urgent.
    max_attempts : int
        The number of failed runs of one task after which its job fails.
    stretch : float
        The objective for a job's time, as a multiple of its longest chain of
        steps.
    target_latency_ms : int
        A constant that the objective adds to this.
    advised : bool
        Whether a start needs a ticket for its step and worker.
    configuration_version : int
        The version of the configuration that it is of, 0 if unknown.
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
    configuration_version: int = attrs.field(default=0, eq=False)


@attrs.frozen
class Service:
    """A pool of workers.

    ``enforces_capacity`` says that its workers refuse tasks that don't fit.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False


@attrs.frozen
class Configuration:
    """The operators' configuration as of one version.

    The limits are in bytes for one call. Their defaults are the limit on
    bodies given in the users' data sheets and that on headers of the HTTP
    library.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    max_body_bytes: int = 262144
    max_header_bytes: int = 65536

    @functools.cached_property
    def service_names(self) -> frozenset[str]:
        """The services whose workers the scheduler may use."""
        return frozenset(
            (
                *(service.name for service in self.services),
                *(queue.service for queue in self.queues),
            )
        )

    @functools.cached_property
    def capacity_enforcing_services(self) -> frozenset[str]:
        """The services whose workers refuse tasks that don't fit."""
        return frozenset(
            service.name
            for service in self.services
            if service.enforces_capacity
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            matching, key=lambda queue: len(queue.path_prefix), default=None
        )


class Incarnation(t.NamedTuple):
    """One life of a worker's process: the worker's id, and its start.

    A worker may start again under its id. ``born_ms`` is the Unix time at which
    the process started, or 0 if it is unknown.
    """

    worker_id: str
    born_ms: int


# A worker's clock may run slower than others by this ratio.
CLOCK_DRIFT_RATIO: t.Final = 1.02
# Slack of a comparison of clocks, beside their drift.
_CLOCK_TOLERANCE_MS: t.Final = 200


@attrs.frozen
class ExpectedIncarnation:
    """What an owner knows of the incarnation that a call is meant for.

    Parameters
    ----------
    born_ms : int
        Its start as Unix time, or 0 if it is unknown.
    clock_ms : int, optional
        A lower bound of its steady clock; None if it is unknown.
    """

    born_ms: int = 0
    clock_ms: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether it can be distinguished from other incarnations."""
        return bool(self.born_ms) or self.clock_ms is not None

    def has_reported(self, born_ms: int, clock_ms: int) -> bool:
        """Whether a report is from this incarnation, by start time or clock.

        Parameters
        ----------
        born_ms : int
            The start that the report names, or 0 if it names none.
        clock_ms : int
            The steady clock of the report.
        """
        if self.born_ms and born_ms:
            return self.born_ms == born_ms
        # The clock of a later incarnation begins anew.
        return (
            self.clock_ms is None
            or clock_ms + _CLOCK_TOLERANCE_MS >= self.clock_ms
        )


ANY_INCARNATION: t.Final = ExpectedIncarnation()


@attrs.frozen
class WorkerEntry:
    """A worker's entry in the platform's list.

    ``leaves_in_ms`` is the minimum remaining time of a drain, and ``clock_ms``
    the worker's own steady clock when it wrote the entry. ``capacity`` is None
    if the entry could not be read: the capacity is then unknown, not zero.
    ``born_ms`` is the Unix time at which the worker's process started, or 0 if
    it is unknown.
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
    born_ms: int = 0


@attrs.frozen
class RunningTask:
    """A run that a worker reports as present.

    ``progress_percent`` is the share of the work that is done, and for a
    long-running task the share of its full service at which it works.
    ``load`` is the tail latency in ms for a task with a latency target, and
    otherwise the millicores used over the last half second; None if the worker
    does not report it.
    """

    key: TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    load: float | None


@attrs.frozen
class EndedRun:
    """The end of a run; ``number`` rises within a worker's incarnation."""

    number: int
    key: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's report of its runs, with the time by its steady clock.

    ``born_ms`` is the Unix time at which the worker's process started, or 0 if
    it is unknown. ``is_cut`` says that more ends may follow once the listed
    ones are acknowledged; the runs are always listed in full.
    """

    clock_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    born_ms: int = 0
    is_cut: bool = False


class OrderOutcome(enum.Enum):
    """Outcome of an order to a worker.

    ``STARTED`` means that the order was carried out. An order with ``UNKNOWN``
    outcome may have been carried out, or may be seconds later. Every other
    outcome guarantees that it had and will have no effect. ``RESTARTED`` means
    that it was not sent, as a later incarnation answers under the worker's id.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other_life'
    REJECTED = 'rejected'
    NOT_SENT = 'not_sent'
    RESTARTED = 'restarted'
    UNKNOWN = 'unknown'

    @property
    def is_without_effect(self) -> bool:
        """Whether the order is known to have no effect."""
        return self not in {OrderOutcome.STARTED, OrderOutcome.UNKNOWN}


@attrs.frozen
class OrderAnswer:
    """A worker's answer to an order; ``clock_ms`` is None if not reported."""

    outcome: OrderOutcome
    clock_ms: int | None = None
