"""Records in the store: jobs, their progress, and the ownership of units.

Every record is encoded as JSON under its own field names.
"""

from __future__ import annotations

import typing as t
import zlib

import attrs

from tulippin.jobs.types import Incarnation, JobRequest, JobState, Queue
from tulippin.types import Resources

UNITS_TABLE: t.Final = 'units'
LAYOUT_PART: t.Final = 'layout'
LAYOUT_KEY: t.Final = 'layout'
# The model that each owner has persisted for its successors.
MODELS_TABLE: t.Final = 'models'
MODEL_KEY: t.Final = 'model'
# The release report: where each task may run when an owner releases its unit.
ACCOUNTS_TABLE: t.Final = 'accounts'
RELEASE_REPORT_KEY: t.Final = 'account'
# The home unit of each job: one row for each job, in the job's part.
HOMES_TABLE: t.Final = 'homes'
# The table and the part that hold the bundles.
PRODUCT_TABLE: t.Final = 'tulippin'
PRODUCT_PART: t.Final = 'product'
LEASE_KEY: t.Final = 'lease'
EPOCH_KEY: t.Final = 'epoch'
ROSTER_KEY: t.Final = 'roster'
CANCEL_SUFFIX: t.Final = '/cancel'
GUEST_SUFFIX: t.Final = '/guest'
FAIL_SUFFIX: t.Final = '/failed'
# Task sizes, in millicores, for which an owner publishes how many more fit.
FIT_COUNT_SIZES: t.Final = (
    1000,
    2000,
    3000,
    4000,
    6000,
    8000,
    12_000,
    16_000,
    24_000,
    32_000,
    48_000,
    64_000,
)
# The store serializes the writes of a part, and a slow store takes 0.3 s for
# each. Accepted and cancelled jobs are therefore spread over several parts,
# apart from the owner's own writes. Layouts that do not tell how many were
# made by versions that used this number.
DEFAULT_JOB_PARTS: t.Final = 8


def get_jobs_parts(count: int) -> tuple[str, ...]:
    """Return the parts that hold accepted and cancelled jobs.

    Parameters
    ----------
    count : int
        ``job_parts`` of the layout in force.
    """
    return tuple(f'j{number}' for number in range(count))


def get_jobs_part(job_id: str, count: int) -> str:
    """Return the part that holds all rows of a job written by API calls.

    Parameters
    ----------
    job_id : str
        The job's id.
    count : int
        ``job_parts`` of the layout in force.
    """
    return f'j{zlib.crc32(job_id.encode()) % count}'


# Step, first occurrence, number of occurrences, and the bits of each.
StepRange: t.TypeAlias = tuple[int, int, int, str]


@attrs.frozen
class Unit:
    """A set of workers and the home of some jobs; owned by one instance."""

    number: int = 0

    @property
    def part(self) -> str:
        """The part that holds the rows written by the owner alone."""
        return f'u{self.number}'

    @property
    def jobs_table(self) -> str:
        """The table of accepted and cancelled jobs."""
        return f'jobs{self.number}'

    @property
    def progress_table(self) -> str:
        """The table of the jobs' progress."""
        return f'progress{self.number}'


@attrs.frozen
class DemandRecord:
    """Concurrent demand of short tasks of one priority in one unit.

    Parameters
    ----------
    service : str
        The service whose workers run the tasks.
    priority : int
        The priority of their queues.
    mean_millicores, variance : float
        Mean and variance of the processors that they request at a time.
    squares, cubes : float
        The mean weighted by the size of each task, and by its square.
    count : float
        The number of recent steps that the figures are based on.
    memory : float
        The mean weighted by the memory of each task.
    burst_squares : float
        The mean weighted by the square of what all tasks of a step request.
    """

    service: str
    priority: int
    mean_millicores: float = 0.0
    squares: float = 0.0
    cubes: float = 0.0
    variance: float = 0.0
    count: float = 0.0
    memory: float = 0.0
    burst_squares: float = 0.0


@attrs.frozen
class QueueKinds:
    """Which kinds of tasks have arrived in a queue."""

    short: bool = False
    long_running: bool = False

    def join(self, other: QueueKinds) -> QueueKinds:
        """Return the union of the two sets of kinds."""
        return QueueKinds(
            self.short or other.short, self.long_running or other.long_running
        )


@attrs.frozen
class UnitCapacity:
    """Capacity of a unit's workers that accept tasks, and demand for it.

    The owner publishes it in its lease; other owners and the instances that
    choose a unit for a new job read it.

    Parameters
    ----------
    capacity_millicores : int
        Processors of all workers that accept tasks.
    reserved_millicores : int
        Processors that running and waiting tasks reserve.
    idle_millicores : int
        Processors that running and waiting opportunistic tasks would use.
    largest_free : Resources
        Free capacity of the worker with the most free processors.
    labels : tuple of str
        Labels of the workers, except their racks.
    places : tuple of int
        How many more tasks of each size in ``FIT_COUNT_SIZES`` fit; trailing
        sizes that do not fit are left out.
    waiting_millicores : dict of str to int
        Processors that waiting opportunistic tasks request, by image.
    images : tuple of str
        Images of the long-running tasks that run or wait.
    largest_new_millicores : int or None
        The most processors of one worker that a new long-running task may
        take beside the headroom of short ones; None if not reported.
    short_places : tuple of int or None
        ``places`` for short tasks, which precede waiting long-running ones;
        None if not reported.
    demands : tuple of DemandRecord
        Demand of short tasks.
    service_millicores : dict of str to int
        ``capacity_millicores`` by service.
    queue_kinds : dict of str to QueueKinds
        The kinds of tasks that have arrived in each queue.
    largest_workers : dict of str to Resources
        By service, the most of each resource that one of its workers has;
        empty if not reported.
    """

    capacity_millicores: int = 0
    reserved_millicores: int = 0
    idle_millicores: int = 0
    largest_free: Resources = Resources()
    labels: tuple[str, ...] = ()
    places: tuple[int, ...] = ()
    waiting_millicores: dict[str, int] = attrs.field(factory=dict)
    images: tuple[str, ...] = ()
    largest_new_millicores: int | None = None
    short_places: tuple[int, ...] | None = None
    demands: tuple[DemandRecord, ...] = ()
    service_millicores: dict[str, int] = attrs.field(factory=dict)
    queue_kinds: dict[str, QueueKinds] = attrs.field(factory=dict)
    largest_workers: dict[str, Resources] = attrs.field(factory=dict)


class QueueBacklog(t.NamedTuple):
    """Short work of one queue in a unit, and how fast it is completed.

    It is stored as an array, without names of fields, as every instance reads
    the leases of all units twice a second. A reader rejects an array that is
    longer than it knows, so further figures need a field of their own in the
    lease.

    Parameters
    ----------
    waiting_core_ms : int
        Predicted work of all tasks that have not ended, in core-milliseconds;
        a task that runs counts half.
    timely_core_ms : int
        The part of it that belongs to jobs that can still be in time.
    rate_core_ms_per_s : int or None
        Work completed per second. None while the queue is short: the rate is
        then that of the arrivals, not what the unit can do.
    run_ratio : float or None
        Mean run time for each millisecond of estimate; None if unknown.
    """

    waiting_core_ms: int = 0
    timely_core_ms: int = 0
    rate_core_ms_per_s: int | None = None
    run_ratio: float | None = None


@attrs.frozen
class LeaseRecord:
    """The owner's lease; observers time its renewals by their own clocks.

    ``waiting`` counts the accepted jobs of each queue with no task begun.
    ``is_loading`` says that the owner has not loaded its unit yet: ``waiting``
    and ``room`` are then those of the previous owner, with no free capacity.
    ``answer_ms`` is the time that the store takes for a transaction of the
    owner. ``backlogs`` holds the work of each queue with short tasks; it is
    None if the owner does not measure it or has not loaded its unit.
    ``task_count`` is the number of tasks that the owner keeps.
    ``processor_share`` is the capacity of its instance in cores, 0 if unknown.
    With a released unit, instances that would have more units per core than
    ``successor_load`` leave it to others for a while; 0 means no limit.
    """

    session_id: str
    instance_id: str
    renewal_count: int = 0
    released: bool = False
    waiting: dict[str, int] = attrs.field(factory=dict)
    room: UnitCapacity = UnitCapacity()
    is_loading: bool = False
    answer_ms: int = 0
    backlogs: dict[str, QueueBacklog] | None = None
    task_count: int = 0
    processor_share: float = 0.0
    successor_load: float = 0.0


@attrs.frozen
class LayoutRecord:
    """The unit of each rack; a rack never changes its unit.

    ``racks`` has no default, so that a row without it is invalid.
    ``failure_domains`` holds the failure domain of each unit whose racks are
    all in the same one. ``job_parts`` is the number of parts that hold
    accepted jobs. It never changes, as a job's rows would not be found.
    """

    racks: dict[str, int]
    failure_domains: dict[str, str] = attrs.field(factory=dict)
    job_parts: int = DEFAULT_JOB_PARTS

    @property
    def unit_numbers(self) -> tuple[int, ...]:
        """The numbers of all units."""
        return tuple(sorted({0, *self.racks.values()}))


@attrs.frozen
class HomeRecord:
    """The home unit of a job, and other units that run tasks of it.

    ``has_begun`` says that the job had begun before it moved to this unit.
    ``was_accepted`` is False for the id of an unknown job that was cancelled:
    its submit may still be applied, and this row makes that fail.
    """

    unit: int
    guest_units: tuple[int, ...] = ()
    is_cancelled: bool = False
    is_failed: bool = False
    has_begun: bool = False
    was_accepted: bool = True

    @property
    def units(self) -> tuple[int, ...]:
        """All units that hold tasks of the job, its home unit first."""
        return (self.unit, *self.guest_units)


@attrs.frozen
class EpochRecord:
    """The owner of the unit, with its epoch, which is the fencing token.

    When this owner took the unit, those of the epochs from ``ended_since`` to
    the one before had ended. It is None if unknown.
    """

    epoch: int
    session_id: str
    ended_since: int | None = None


@attrs.frozen
class PairRecord:
    """What the interference model has learned of one serving image.

    ``means`` holds for each image beside it the excess for each tenth of a
    worker's processors that it uses. ``covariances`` is the upper triangle of
    their covariance matrix, in the order of ``means``.
    """

    means: dict[str, float] = attrs.field(factory=dict)
    covariances: list[list[float]] = attrs.field(factory=list)
    sample_counts: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class SwingRecord:
    """Load cycles of jobs over the day.

    ``waves`` holds for each job the mean and the coefficients of the sine and
    the cosine.
    """

    period_ms: float = 0.0
    mean: float = 0.0
    waves: dict[str, tuple[float, float, float]] = attrs.field(factory=dict)


@attrs.frozen
class RunTimeRecord:
    """A line fitted to the run times of a queue's tasks, by their estimates.

    Parameters
    ----------
    count : int
        The number of runs.
    log_estimate, log_run : float
        Means of the logarithms of the estimates and of the run times, in ms.
    variance, covariance : float
        Variance of the former, and their covariance.
    """

    count: int = 0
    log_estimate: float = 0.0
    log_run: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0


@attrs.frozen
class ModelRecord:
    """The persisted model: what an owner learned of images, queues, jobs."""

    pairs: dict[str, PairRecord] = attrs.field(factory=dict)
    lowest_tails_ms: dict[str, float] = attrs.field(factory=dict)
    run_times_ms: dict[str, float] = attrs.field(factory=dict)
    swings: SwingRecord = SwingRecord()
    run_time_fits: dict[str, RunTimeRecord] = attrs.field(factory=dict)


@attrs.frozen
class LeaseBoundsRecord:
    """Until when silent workers may hold leases.

    Parameters
    ----------
    epoch : int
        The epoch whose owner wrote this. Half of the workers of the earlier
        owners, or more, refused these by then.
    until_ms : dict of str to int
        By id of a worker that has not answered this owner, or not lately, the
        time at which all leases there have lapsed, by the store's clock. The
        owner grants none there beyond that time before the entry is removed.
    """

    epoch: int
    until_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class RosterRecord:
    """Workers, by id, on which the owner's orders may still have effect.

    ``addresses`` has no default: a row without it is invalid, and does not
    stand for an empty roster. ``births_ms`` holds the Unix time at which each
    worker's incarnation started, if it is known. The next owner learns by it
    that a worker has restarted since. ``bounds`` are known once half of the
    workers have answered the owner. Until ``unlisted_until_ms``, by the store's
    clock, workers that are not on the roster may have orders of earlier owners:
    an earlier roster could not be read.
    """

    addresses: dict[str, str]
    births_ms: dict[str, int] = attrs.field(factory=dict)
    bounds: LeaseBoundsRecord | None = None
    unlisted_until_ms: int = 0


@attrs.frozen
class WorkerAccount:
    """Part of a release report: effect of the owner's orders on one worker.

    Parameters
    ----------
    lasting_ms : int
        How long after the release the orders may stay in effect.
    tasks : tuple of str, optional
        Names of the tasks that may run there; None if unknown.
    is_silent : bool
        Whether the worker did not answer when the unit was released.
    """

    lasting_ms: int
    tasks: tuple[str, ...] | None = None
    is_silent: bool = False


@attrs.frozen
class AccountRecord:
    """Release report of an owner: where tasks may run after the release.

    It is valid for the next epoch only, as any owner after that has given
    orders that the report does not include. An owner that has given none
    hands it over under its own epoch. ``has_reached_half`` tells whether half
    of the workers, or more, refused earlier owners by then.
    """

    epoch: int
    workers: dict[str, WorkerAccount] = attrs.field(factory=dict)
    has_reached_half: bool = True

    def carry_over(self, held_ms: int) -> AccountRecord:
        """Return the report for the successor of an owner without orders.

        Parameters
        ----------
        held_ms : int
            Lower bound of the time since the report was written, which is
            subtracted from the remaining durations.
        """
        workers = {
            worker_id: attrs.evolve(
                entry, lasting_ms=max(0, entry.lasting_ms - held_ms)
            )
            for worker_id, entry in self.workers.items()
        }
        return attrs.evolve(self, epoch=self.epoch + 1, workers=workers)


@attrs.frozen
class JobRecord:
    """An accepted job, with its queue as configured at that time.

    ``accepted_ms`` is the time of day by the clock of the instance that
    accepted it, or 0 if unknown. ``moved`` is what the last home unit left of
    a job that has moved to this one.
    """

    queue: Queue
    request: JobRequest
    accepted_ms: int = 0
    moved: MovedJobRecord | None = None


@attrs.frozen
class MovedJobRecord:
    """State of a job that moves from its home unit to another one.

    Parameters
    ----------
    progress : ProgressRecord
        The job's last progress in the unit that it leaves.
    run_floor : int
        The highest run number that earlier home units may have used.
    left_units : tuple of int
        All earlier home units. A job doesn't return to any of them, as their
        rows of it are out of date.
    checkpoints : dict of str to str
        The last checkpoints of its tasks, by ``OCCURRENCE.STEP.INDEX``.
    """

    progress: ProgressRecord
    run_floor: int
    left_units: tuple[int, ...]
    checkpoints: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class CrashRecord:
    """A certain or suspected crash of a worker soon after a task's start.

    Parameters
    ----------
    worker_id, address, machine : str
        The incarnation that crashed, and where its successor would appear.
    run : int
        The task's run there.
    age_ms : int
        Lower bound of the time that the run had been there.
    noted_ms : int
        The time of day when the worker was first found silent.
    is_sure : bool
        Whether the worker has certainly ended; otherwise it may be
        partitioned from the owner and still work.
    is_clear : bool
        Whether no other run had been started there shortly before.
    is_seen : bool
        Whether the worker reported the run, or answered after its order was
        sent; otherwise it may have crashed before.
    is_age_known : bool
        Whether the owner saw the run begin; otherwise the run may have been
        there for longer than ``age_ms``.
    born_ms : int
        When the incarnation started, in Unix time; 0 if unknown.
    """

    worker_id: str
    address: str
    machine: str
    run: int
    age_ms: int
    noted_ms: int
    is_sure: bool = False
    is_clear: bool = False
    is_seen: bool = False
    is_age_known: bool = True
    born_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that crashed."""
        return Incarnation(self.worker_id, self.born_ms)


@attrs.frozen
class GuestRecord:
    """Long-running tasks of a job that were transferred to this unit.

    Tasks are named ``OCCURRENCE.STEP.INDEX``. ``passes`` counts for each one
    its transfers, this one included, and ``runs`` holds the highest run number
    that an earlier unit may have started. ``begun`` names the tasks that have
    run, and ``crashes`` holds the crashes under each.
    """

    queue: Queue
    request: JobRequest
    passes: dict[str, int] = attrs.field(factory=dict)
    runs: dict[str, int] = attrs.field(factory=dict)
    begun: tuple[str, ...] = ()
    crashes: dict[str, tuple[CrashRecord, ...]] = attrs.field(factory=dict)


@attrs.frozen
class CancelRecord:
    """Marks a job as cancelled by a caller.

    ``was_accepted`` is False if the job was unknown then. The owner removes
    this row and the one in the table of homes after the retention time.
    """

    queue_name: str
    was_accepted: bool = True


@attrs.frozen
class FailRecord:
    """Marks a job as abandoned by a unit, with the reason."""

    reason: str


@attrs.frozen
class ProgressRecord:
    """Durable progress of a job in one unit.

    Tasks are named ``OCCURRENCE.STEP.INDEX``, steps ``OCCURRENCE.STEP``.

    Parameters
    ----------
    state : JobState
        The state as shown to callers.
    done : dict
        The finished tasks by step, as bits of a hexadecimal number.
    failures : dict
        Numbers of failed runs by task. They are kept because a worker may
        report the same end to the next owner again.
    passed : dict
        Tasks that were transferred to another unit, each with that unit, the
        transfer number and the highest run number used here.
    avoided : dict
        Workers where a task failed, by task. They are kept because workers no
        longer report ends that were acknowledged.
    crashes : dict
        Certain and suspected crashes of workers, by task.
    started : dict
        The newest run of each running task, and its worker. The next owner
        finds by it the runs that ended with their worker while the unit
        changed its owner.
    reason : str
        Why the job was abandoned.
    places : dict, optional
        The workers where each long-running task may run. A task that is not
        named runs nowhere; None if the workers are unknown.
    begun : dict, optional
        Bits, as in ``done``, of the long-running tasks that have run or were
        ordered to start; None if unknown.
    doubts : int
        How often short tasks of the job may have had an unconfirmed run on a
        worker that died while the unit changed its owner.
    moved_to : int, optional
        The unit that the job has moved to. This one starts none of its tasks.
    complete : tuple of StepRange
        The occurrences that are complete with all before them, a range for
        each step. ``done`` holds the tasks of other ones.
    """

    state: JobState
    done: dict[str, str] = attrs.field(factory=dict)
    failures: dict[str, list[int]] = attrs.field(factory=dict)
    passed: dict[str, tuple[int, int, int]] = attrs.field(factory=dict)
    avoided: dict[str, list[str]] = attrs.field(factory=dict)
    crashes: dict[str, tuple[CrashRecord, ...]] = attrs.field(factory=dict)
    started: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    reason: str = ''
    places: dict[str, tuple[str, ...]] | None = None
    begun: dict[str, str] | None = None
    doubts: int = 0
    moved_to: int | None = None
    complete: tuple[StepRange, ...] = ()
