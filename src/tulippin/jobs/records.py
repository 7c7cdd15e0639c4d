"""What is kept in the store: jobs, their progress, and who owns them."""

from __future__ import annotations

import typing as t
import zlib

import attrs

from tulippin.jobs.types import JobRequest, JobState, Queue
from tulippin.types import Resources

UNITS_TABLE: t.Final = 'units'
LAYOUT_PART: t.Final = 'layout'
LAYOUT_KEY: t.Final = 'layout'
# What each owner has learned, so that the next one begins with it.
MODELS_TABLE: t.Final = 'models'
MODEL_KEY: t.Final = 'model'
# Where each task may run, told by an owner that gives its unit up.
ACCOUNTS_TABLE: t.Final = 'accounts'
ACCOUNT_KEY: t.Final = 'account'
# Which unit keeps a job: one row each, in the job's part.
HOMES_TABLE: t.Final = 'homes'
# What bundles are kept in.
PRODUCT_TABLE: t.Final = 'tulippin'
PRODUCT_PART: t.Final = 'product'
LEASE_KEY: t.Final = 'lease'
EPOCH_KEY: t.Final = 'epoch'
ROSTER_KEY: t.Final = 'roster'
CANCEL_SUFFIX: t.Final = '/cancel'
GUEST_SUFFIX: t.Final = '/guest'
FAIL_SUFFIX: t.Final = '/failed'
# Sizes of tasks, in millicores, for which a unit's owner tells its places.
PLACE_SIZES: t.Final = (
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
# The store carries out a part's writes one after the other, and a write of
# a store that is slow takes 0.3 s. Accepted and cancelled jobs are spread
# over so many parts, away from the owner's own writes.
_JOBS_PARTS: t.Final = 8


def get_jobs_parts() -> tuple[str, ...]:
    """Return the parts that hold accepted and cancelled jobs."""
    return tuple(f'j{number}' for number in range(_JOBS_PARTS))


def get_jobs_part(job_id: str) -> str:
    """Return the part that holds all rows which callers' calls write."""
    return get_jobs_parts()[zlib.crc32(job_id.encode()) % _JOBS_PARTS]


@attrs.frozen
class Unit:
    """A set of workers with the jobs homed there; one instance owns it."""

    number: int = 0

    @property
    def part(self) -> str:
        """The part that holds the rows which only the owner writes."""
        return f'u{self.number}'

    @property
    def jobs_table(self) -> str:
        """The table of accepted and of cancelled jobs."""
        return f'jobs{self.number}'

    @property
    def progress_table(self) -> str:
        """The table of what jobs have done."""
        return f'progress{self.number}'


@attrs.frozen
class DemandRecord:
    """What short tasks of a priority ask for at once, in one unit.

    Parameters
    ----------
    service : str
        Whose workers they would run on.
    priority : int
        The priority of their queues.
    mean_millicores, variance : float
        The processors that they ask for.
    squares, cubes : float
        The mean, weighted by the size of each task, once and twice.
    count : float
        On how many steps of late this is based.
    memory : float
        The mean, weighted by the memory of each task.
    """

    service: str
    priority: int
    mean_millicores: float = 0.0
    squares: float = 0.0
    cubes: float = 0.0
    variance: float = 0.0
    count: float = 0.0
    memory: float = 0.0


@attrs.frozen
class QueueKinds:
    """Which sorts of tasks have come by a queue."""

    short: bool = False
    long_running: bool = False

    def join(self, other: QueueKinds) -> QueueKinds:
        """Return what either of two tells of."""
        return QueueKinds(
            self.short or other.short, self.long_running or other.long_running
        )


@attrs.frozen
class UnitRoom:
    """What a unit's open workers hold, and what is asked of them.

    Parameters
    ----------
    capacity_millicores : int
        Processors of all workers that take work.
    reserved_millicores : int
        What running tasks reserve of them, and waiting ones would.
    idle_millicores : int
        What opportunistic tasks that run or wait would use.
    largest_free : Resources
        What the worker with the most free processors has left.
    labels : tuple of str
        Labels of the workers, but for their racks.
    places : tuple of int
        How many more tasks of each of ``PLACE_SIZES`` find a place, as far
        as there are any.
    waiting_millicores : dict of str to int
        What opportunistic tasks wait for, by image.
    images : tuple of str
        Images of the long-running tasks that run or wait.
    largest_new_millicores : int or None
        The most processors of a worker that a new long-running task may
        take, beside what is kept for short ones; nothing if not told.
    short_places : tuple of int or None
        ``places`` for short tasks, which go before long-running ones that
        wait; nothing if not told.
    demands : tuple of DemandRecord
        What short tasks ask for.
    service_millicores : dict of str to int
        ``capacity_millicores`` by service.
    queue_kinds : dict of str to QueueKinds
        What has come by each queue.
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


@attrs.frozen
class LeaseRecord:
    """The owner's sign of life; observers time its changes themselves.

    ``waiting`` counts the accepted jobs of each queue with no task begun.
    ``is_loading``: the owner does not know its unit yet; count and room are
    the last owner's, without a place. ``answer_ms`` is how long the store
    takes to answer the owner's transactions.
    """

    session_id: str
    instance_id: str
    renewal_count: int = 0
    released: bool = False
    waiting: dict[str, int] = attrs.field(factory=dict)
    room: UnitRoom = UnitRoom()
    is_loading: bool = False
    answer_ms: int = 0


@attrs.frozen
class LayoutRecord:
    """The unit of each rack; a rack never changes its unit.

    Racks have no default: a row without them tells of no layout.
    ``failure_domains`` names the one that a unit's racks are in, or
    nothing where they are in several.
    """

    racks: dict[str, int]
    failure_domains: dict[str, str] = attrs.field(factory=dict)

    @property
    def unit_numbers(self) -> tuple[int, ...]:
        """The numbers of all units."""
        return tuple(sorted({0, *self.racks.values()}))


@attrs.frozen
class HomeRecord:
    """The unit that keeps a job, and those that run some tasks of it."""

    unit: int
    guest_units: tuple[int, ...] = ()
    is_cancelled: bool = False
    is_failed: bool = False

    @property
    def units(self) -> tuple[int, ...]:
        """All units that know the job."""
        return (self.unit, *self.guest_units)


@attrs.frozen
class EpochRecord:
    """Who owns the unit; the epoch is its fencing token."""

    epoch: int
    session_id: str


@attrs.frozen
class PairRecord:
    """What is learned of one serving image.

    ``means`` tells for each image beside it the excess for each tenth of
    a worker's processors, ``covariances`` how well that is known, for
    each image and those after it in the order of ``means``.
    """

    means: dict[str, float] = attrs.field(factory=dict)
    covariances: list[list[float]] = attrs.field(factory=list)
    sample_counts: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class SwingRecord:
    """How the loads of jobs swing, by the time of day.

    ``waves`` tells for each job the mean and the parts of sine and cosine.
    """

    period_ms: float = 0.0
    mean: float = 0.0
    waves: dict[str, tuple[float, float, float]] = attrs.field(factory=dict)


@attrs.frozen
class ModelRecord:
    """What an owner has learned of images, queues and jobs."""

    pairs: dict[str, PairRecord] = attrs.field(factory=dict)
    lowest_tails_ms: dict[str, float] = attrs.field(factory=dict)
    run_times_ms: dict[str, float] = attrs.field(factory=dict)
    swings: SwingRecord = SwingRecord()


@attrs.frozen
class RosterRecord:
    """Workers, by id, on which the owner's orders may still have effect.

    They have no default: a row without them does not tell of none.
    """

    addresses: dict[str, str]


@attrs.frozen
class WorkerAccount:
    """What the last owner's orders may still have effect on, at one worker.

    Parameters
    ----------
    lasting_ms : int
        For how long after the release.
    tasks : tuple of str, optional
        The tasks that may run there; nothing where that is not known.
    is_silent : bool
        The worker did not answer when the unit was released.
    """

    lasting_ms: int
    tasks: tuple[str, ...] | None = None
    is_silent: bool = False


@attrs.frozen
class AccountRecord:
    """Where tasks may run, by an owner that released the unit.

    It counts for the next epoch alone: whoever came in between has given
    orders that it does not know. An owner that has given none hands it on
    under its own epoch.
    """

    epoch: int
    workers: dict[str, WorkerAccount] = attrs.field(factory=dict)

    def hand_on(self, unused_ms: int) -> AccountRecord:
        """Return the account as of a later owner that gave no order.

        Parameters
        ----------
        unused_ms : int
            For how long, at least, the account has stood by then.
        """
        workers = {
            worker_id: attrs.evolve(
                told, lasting_ms=max(0, told.lasting_ms - unused_ms)
            )
            for worker_id, told in self.workers.items()
        }
        return AccountRecord(self.epoch + 1, workers)


@attrs.frozen
class JobRecord:
    """An accepted job, with its queue as it was configured then.

    ``accepted_ms`` is the time of day by the clock of the instance that
    accepted it; 0 if that is not known.
    """

    queue: Queue
    request: JobRequest
    accepted_ms: int = 0


@attrs.frozen
class CrashRecord:
    """A worker's life that ended, or may have, soon after a task's start.

    Parameters
    ----------
    worker_id, address, machine : str
        The life, and where its next one would be.
    run : int
        The task's run there.
    age_ms : int
        For how long, at least, the run had been there.
    noted_ms : int
        The time of day when the worker was first found silent.
    is_sure : bool
        The life is over; otherwise the worker may be cut off and at work.
    is_clear : bool
        No other run there had begun shortly before.
    is_seen : bool
        The worker told of the run, or answered after its order was sent;
        otherwise it may have been dead before.
    is_age_known : bool
        Its owner saw it begin; otherwise it may have been there for longer.
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


@attrs.frozen
class GuestRecord:
    """Long-running tasks that another unit passed on to this one.

    ``passes`` tells for each task, as ``K.STEP.INDEX``, how often it has
    changed its unit, this time included, and ``runs`` the highest run
    that an earlier unit may have started. ``begun`` are those that have run,
    ``crashes`` the workers that crashed under them.
    """

    queue: Queue
    request: JobRequest
    passes: dict[str, int] = attrs.field(factory=dict)
    runs: dict[str, int] = attrs.field(factory=dict)
    begun: tuple[str, ...] = ()
    crashes: dict[str, tuple[CrashRecord, ...]] = attrs.field(factory=dict)


@attrs.frozen
class CancelRecord:
    """Says that a caller cancelled the job."""

    queue_name: str


@attrs.frozen
class FailRecord:
    """Says that a unit gave the job up, and why."""

    reason: str


@attrs.frozen
class ProgressRecord:
    """What is durable of a job's run.

    Parameters
    ----------
    state : JobState
        As shown to callers.
    done : dict
        For each occurrence and step, as ``K.STEP``, the tasks that are
        done: bits of a hexadecimal number.
    failures : dict
        Numbers of failed runs by task, as ``K.STEP.INDEX``; a worker may
        list an end again to the next owner.
    passed : dict
        Tasks, as ``K.STEP.INDEX``, that were passed on to another unit:
        to which, as the how-manieth pass, and above which run.
    avoided : dict
        Workers where such a task failed: the next owner would not know
        them, as their ends are no longer listed.
    crashes : dict
        Workers that crashed under a task, or may have, by task.
    started : dict
        The newest run of each task that runs, and its worker: what died
        with its worker while the unit changed hands is known by it.
    reason : str
        Why the job was given up.
    places : dict, optional
        The workers where each long-running task may run; one that is not
        named runs nowhere. Nothing where that is not known.
    begun : dict, optional
        Bits as ``done`` of the long-running tasks that have run, or were
        ordered to. Nothing where that is not known.
    doubts : int
        How often short tasks of it may have been started unseen on a worker
        that died while the unit changed hands.
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
