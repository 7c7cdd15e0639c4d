"""In-memory state of the job scheduler for one unit.

The reducer (``tulippin.jobs.core``) reads and changes it; only the owner of a
unit fills more than ``Ownership``.
"""

from __future__ import annotations

import collections
import enum
import math
import typing as t

import attrs

from tulippin.jobs._harm_budget import HarmBudget
from tulippin.jobs.features import Features
from tulippin.jobs.job_forecast import JobForecast
from tulippin.jobs.load_cycles import LoadCycleModel
from tulippin.jobs.pair_model import PairModel
from tulippin.jobs.records import (
    CrashRecord,
    EpochRecord,
    LeaseBoundsRecord,
    LeaseRecord,
    ProgressRecord,
    QueueKinds,
    RosterRecord,
    RunTimeRecord,
    Unit,
    UnitCapacity,
)
from tulippin.jobs.run_ratios import RunRatios
from tulippin.jobs.store_clock import StoreClock
from tulippin.jobs.types import (
    CLOCK_DRIFT_RATIO,
    Configuration,
    Incarnation,
    JobRequest,
    JobState,
    Queue,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.policies import InterferencePolicy, Policy
from tulippin.types import Resources

# Run numbers that an epoch reserves for each task. A new owner's runs are thus
# numbered above all earlier ones without a record of each run.
RUNS_PER_EPOCH: t.Final = 65536


@attrs.frozen
class SchedulerConfig:
    """Settings of one unit's scheduler.

    Parameters
    ----------
    instance_id, session_id : str
        The instance, and the current run of its process.
    unit : Unit
        The unit that the instance owns or stands by for.
    lease_ms : int
        Time without a renewal after which another instance may take the unit;
        it spans four renewals.
    renew_every_ms : int
        Time between renewals of the lease.
    worker_lease_ms : int
        How long a worker keeps its runs without a message from the owner;
        longer than ``lease_ms`` and a takeover together.
    start_valid_ms : int
        How long a start order is valid. One that is carried out later has no
        effect.
    clock_drift_ratio : float
        Upper bound on how much slower a worker's clock may run.
    worker_lease_limit_ms : int
        The longest lease that a worker accepts, and so the longest that
        another owner may have granted.
    finished_retention_ms : int
        How long the state of a finished job is kept.
    processor_share : float
        The instance's processor capacity, in cores of usual speed.
    is_without_advice : bool
        Whether advisory inputs are ignored, because earlier runs of the
        process ended soon after their start.
    features : Features
        The optional parts that are switched on.
    """

    instance_id: str
    session_id: str
    unit: Unit = Unit()
    lease_ms: int = 2000
    renew_every_ms: int = 500
    worker_lease_ms: int = 4500
    worker_lease_limit_ms: int = 6000
    start_valid_ms: int = 1800
    clock_drift_ratio: float = CLOCK_DRIFT_RATIO
    finished_retention_ms: int = 180_000
    processor_share: float = 1.0
    is_without_advice: bool = False
    features: Features = Features()


class Phase(enum.Enum):
    """Role of the instance towards its unit."""

    STANDING_BY = 'standing_by'
    TAKING = 'taking'
    LOADING = 'loading'
    ACTIVE = 'active'
    RELEASING = 'releasing'
    LEFT = 'left'


class AttemptState(enum.Enum):
    """State of a run as far as the owner knows.

    A run is ``DOUBTFUL`` if its start order got no answer: the order may still
    be carried out until its deadline, or by the next incarnation of its worker.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    DOUBTFUL = 'doubtful'
    STOPPING = 'stopping'


@attrs.define
class Attempt:
    """One run of a task on a worker.

    ``pace_percent`` is the pace that the worker has confirmed, or None if an
    earlier owner may have set another one; ``open_pace_percent`` is one that
    was ordered and not confirmed. ``other_worker_id`` is a worker that has
    accepted the task since ``other_since_ms``, as last checked. ``load`` is
    the smoothed value that the worker reports; ``tail_ms`` is the current tail
    latency, computed from
    ``load`` and its earlier value ``previous_load``. ``start_deadline_ms`` is
    by the clock of its worker's incarnation; it is 0 if the start was sent by
    an earlier owner, or to an earlier incarnation. ``is_slow_start`` marks a
    run that was started although its worker could not take it at full pace; it
    yields to all other runs. ``sibling_load_factor`` is the ratio of the task's
    load to the lowest load among the other tasks of its job,
    ``cycle_load_factor`` the ratio to the load that the job's load cycle
    predicts. ``crash_count`` is the number of workers that crashed under the
    task before. The run is on probation until the worker has survived
    ``probation_ms`` of it; ``has_passed_probation`` says that it has run long
    enough not to be suspected of a crash. ``is_ordered`` says that the start
    order was sent or is about to be. The order of a suspected or long-running
    task is sent only after the record of that start is durable. ``held_ms`` is
    the time that a short run lost at paces below full until ``held_until_ms``.
    ``had_begun`` says that its job had begun before it, and ``copy_of`` is the
    run of the same task that it is a copy of, or 0.
    """

    key: TaskKey
    run: int
    worker_id: str
    step: Step
    priority: int
    state: AttemptState
    sent_ms: int
    start_deadline_ms: int = 0
    seen_ms: int = 0
    stop_sent_ms: int = 0
    is_stop_confirmed: bool = False
    checkpoint: str = ''
    progress_percent: int = 0
    pace_percent: int | None = 100
    target_pace_percent: int = 100
    open_pace_percent: int | None = None
    pace_sent_ms: int = 0
    slowed_since_ms: int = 0
    other_worker_id: str = ''
    other_since_ms: int = 0
    load: float = 0.0
    tail_ms: float = 0.0
    previous_load: float = 0.0
    previous_load_ms: int = 0
    sibling_load_factor: float = 1.0
    cycle_load_factor: float = 1.0
    last_progress_ms: int = 0
    is_slow_start: bool = False
    crash_count: int = 0
    probation_ms: int = 0
    has_passed_probation: bool = False
    is_ordered: bool = True
    held_ms: float = 0.0
    held_until_ms: int = 0
    had_begun: bool = False
    copy_of: int = 0


@attrs.define
class Task:
    """A task with its runs.

    ``unconfirmed_workers`` holds the workers where an unconfirmed run of the
    task may go on, started by an earlier owner. ``standby_workers`` are the
    workers that are assigned ahead for its next start. ``has_run`` says whether
    the owner knows of any run of the task. ``crashes`` holds, by incarnation of
    a worker, the certain and suspected crashes under the task.
    ``unresolved_start`` is the run and worker of an earlier owner's last start
    while its outcome is unknown. ``reported_workers`` are the workers that the
    last owner's release report names for the task. ``opened_ms`` is when it
    became ready for the first time.
    """

    key: TaskKey
    is_done: bool = False
    failed_runs: set[int] = attrs.field(factory=set)
    run_count: int = 0
    checkpoint: str = ''
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    avoided: set[str] = attrs.field(factory=set)
    preempt_after_ms: int = 0
    ready_ms: int = 0
    opened_ms: int = 0
    run_floor: int = 0
    unconfirmed_workers: set[str] = attrs.field(factory=set)
    standby_workers: frozenset[str] = frozenset()
    has_run: bool = False
    crashes: dict[Incarnation, CrashRecord] = attrs.field(factory=dict)
    unresolved_start: tuple[int, str] | None = None
    reported_workers: tuple[str, ...] = ()

    def list_crashes(self) -> tuple[CrashRecord, ...]:
        """Return the crashes in the order in which they are stored."""
        return tuple(self.crashes[name] for name in sorted(self.crashes))


@attrs.frozen
class TransferredTask:
    """A task that was transferred to another unit.

    ``transfer_number`` counts the transfers of the task, this one included.
    ``run_floor`` is the highest run number that this unit may have started.
    """

    unit: int
    transfer_number: int
    run_floor: int


@attrs.define
class Job:
    """A job with those of its tasks that have become ready to run.

    ``is_resumed`` says that the job had begun before the owner took the unit,
    ``are_started_tasks_known`` that it is known which of its long-running tasks
    had. ``durable`` is the progress stored last, ``pending_progress`` the
    progress whose commit is in flight. ``awaits_confirmation`` says that its
    tasks may have unconfirmed runs on any worker where an earlier owner's
    orders are still in effect. With ``are_assignments_known`` this does not
    apply to long-running tasks, as all workers that may run them are known.
    ``arrived_ms`` is when the job was accepted, ``first_seen_ms`` when this
    owner received it, and ``worked_ms`` when one of its runs was last known to
    work.
    ``failed_on`` holds the workers where one of its runs failed.
    ``is_progress_unknown`` says that its stored progress can't be read, so that
    none of its tasks may be started. ``is_transferred`` marks a job whose home
    unit is another one. ``passes`` holds the transfer numbers of tasks that
    came from other units, ``passed`` the tasks that went to others.
    ``moved_to`` is the unit that is the job's home from now on, ``left_units``
    were its homes before this one, and ``run_floor`` is the highest run number
    that they may have used.
    ``is_given_up`` says that a unit abandoned the job, for ``reason``.
    ``doubts`` counts how often short tasks of the job may have had an
    unconfirmed run on a worker that died while the unit changed its owner.
    ``forecasts`` holds what is expected of its occurrences, and
    ``longest_runs_ms`` by occurrence and step the longest run that this owner
    saw completed. ``has_full_run`` says that a run other than a slow start was
    ordered. ``work`` is the work of one occurrence, in millicore-milliseconds,
    as first predicted.
    The first ``completed_count`` occurrences are complete, and the first
    ``begun_count`` have been opened. ``tasks``, ``remaining`` and
    ``opened_steps`` hold those in between; see ``_occurrences``.
    ``accepted_queue`` is the queue as it was when the job was accepted, and
    ``queue`` the same with the service that runs the job now; see ``_routing``.
    """

    job_id: str
    queue: Queue
    request: JobRequest
    row_version: int
    state: JobState = JobState.PENDING
    is_cancelled: bool = False
    has_begun: bool = False
    arrived_ms: int = 0
    first_seen_ms: int = 0
    finished_ms: int = 0
    worked_ms: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    tasks: dict[TaskKey, Task] = attrs.field(factory=dict)
    remaining: dict[tuple[int, int], int] = attrs.field(factory=dict)
    opened_steps: set[tuple[int, int]] = attrs.field(factory=set)
    completed_count: int = 0
    begun_count: int = 0
    accepted_queue: Queue = attrs.field()
    progress_version: int = 0
    durable: ProgressRecord | None = None
    pending_progress: ProgressRecord | None = None
    awaits_confirmation: bool = False
    are_assignments_known: bool = True
    is_resumed: bool = False
    are_started_tasks_known: bool = False
    is_transferred: bool = False
    is_progress_unknown: bool = False
    is_given_up: bool = False
    doubts: int = 0
    passes: dict[TaskKey, int] = attrs.field(factory=dict)
    passed: dict[TaskKey, TransferredTask] = attrs.field(factory=dict)
    moved_to: int | None = None
    run_floor: int = 0
    left_units: tuple[int, ...] = ()
    reason: str = ''
    chains_ms: tuple[float, ...] = ()
    chains_computed_ms: int = 0
    forecasts: dict[int, JobForecast] = attrs.field(factory=dict)
    longest_runs_ms: dict[tuple[int, int], float] = attrs.field(factory=dict)
    has_full_run: bool = False
    work: float = 0.0
    tickets: dict[tuple[str, int, int], dict[str, tuple[str, int]]] = (
        attrs.field(factory=dict)
    )
    advised_workers: dict[tuple[str, int, int], set[str]] = attrs.field(
        factory=dict
    )
    advice_after_ms: dict[tuple[str, int, int], int] = attrs.field(factory=dict)

    @accepted_queue.default
    def _get_queue(self) -> Queue:
        return self.queue


@attrs.define
class LostStarts:
    """Lost starts that were counted only because workers had lapsed.

    ``worker_ids`` holds the workers that have not reported since, ``job_ids``
    the jobs for which a lost start was counted.
    """

    worker_ids: set[str]
    job_ids: tuple[str, ...]


@attrs.define
class Worker:
    """A worker with its runs.

    ``clock_offset_ms`` added to the instance's clock gives a lower bound of the
    worker's clock. At ``lease_expiry_ms`` by the instance's clock, every lease
    that this owner's messages may have granted the worker has expired.
    ``confirmed_ms`` is when the last hold that it answered was sent: until then
    it had not heard of a later owner.
    ``slack`` is the further slowdown that the serving tasks of each image there
    can take, or None if it has to be recomputed. ``exposure`` is what its
    opportunistic tasks used at an earlier report, or None if unknown;
    ``rejection_logged_ms`` is when such a sample was last logged as impossible.
    ``is_lapse_certain`` says that no earlier owner can extend them either, and
    ``ordered_ms`` is when this owner last extended them.
    ``may_run_any_task`` says that an earlier owner's orders may still be in
    effect there for any task. ``leaves_at_ms`` is the earliest end of a
    draining worker. ``uncommitted_ends`` holds the tasks of run ends, by number
    of the end, that were processed but are not durable yet; ``deferred_ends``
    the tasks whose ends are deferred until their job is known.
    ``orphaned_runs`` holds the runs whose job is unknown, with the time of the
    last order to stop each. ``probation_runs`` holds the runs whose tasks are
    suspected of crashing workers. ``unread_job_ids`` holds the jobs of runs
    that were given up since its last report. ``is_superseded`` says that
    another incarnation of the worker answered at its address.
    ``entry_read_ms`` is when the newest read of its entry began. ``born_ms`` is
    when the incarnation that answers under the id started, or 0 until it is
    known; all other fields but the entry are about this incarnation.
    ``open_start_count`` is the number of start orders without an answer.
    ``needs_ack`` says that it still reports ends that are durable, up to number
    ``last_seen``, and ``is_report_cut`` that its last report may lack ends.
    ``has_good_end`` says that this owner has read the end of a run there that
    was done. The next call for a report is not sent before ``report_after_ms``,
    and ``report_reason`` tells why it is sent then.
    No opportunistic run has worked there since ``quiet_since_ms``, or 0 if one
    may. ``own_miss_ratio`` is the worst tail without any, as a ratio to its
    target, or 0 if that was met, as measured at ``own_miss_ms``;
    ``own_miss_percent`` is the pace that such a miss permits.
    A target was last missed beside slow starts at ``slow_miss_ms``.
    """

    entry: WorkerEntry
    is_listed: bool = True
    clock_offset_ms: int | None = None
    is_hold_in_flight: bool = False
    open_start_count: int = 0
    answered_ms: int = 0
    confirmed_ms: int = 0
    failed_count: int = 0
    hold_after_ms: int = 0
    lease_expiry_ms: int = 0
    is_lapse_certain: bool = False
    ordered_ms: int = 0
    last_seen: int = 0
    last_read_end_number: int = 0
    attempts: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    reserved: Resources = Resources()
    used_millicores: float | None = None
    serving: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    fillers: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    slack: dict[str, float] | None = None
    exposure: dict[str, float] | None = attrs.field(factory=dict)
    exposure_ms: int = 0
    rejection_logged_ms: int | None = None
    leaves_at_ms: int = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    has_good_end: bool = False
    quarantined_until_ms: int = 0
    paused_until_ms: int = 0
    unhealthy_since_ms: int = 0
    needs_ack: bool = False
    is_report_cut: bool = False
    pace_changed_ms: int = 0
    targets_missed_since_ms: int = 0
    targets_met_since_ms: int = 0
    quiet_since_ms: int = 0
    own_miss_ms: int = 0
    own_miss_ratio: float = 0.0
    own_miss_percent: int = 10
    slow_miss_ms: int = 0
    harm_budget: HarmBudget = attrs.field(factory=HarmBudget)
    uncommitted_ends: dict[int, TaskKey] = attrs.field(factory=dict)
    deferred_ends: set[TaskKey] = attrs.field(factory=set)
    orphaned_runs: dict[tuple[TaskKey, int], int] = attrs.field(factory=dict)
    is_rostered: bool = False
    may_run_any_task: bool = False
    is_reconciled: bool = False
    probation_runs: dict[tuple[TaskKey, int], Attempt] = attrs.field(
        factory=dict
    )
    unread_job_ids: set[str] = attrs.field(factory=set)
    is_superseded: bool = False
    entry_read_ms: int = 0
    born_ms: int = 0
    report_after_ms: int = 0
    report_reason: str = ''

    @property
    def worker_id(self) -> str:
        """The worker's id; its next incarnation may have the same one."""
        return self.entry.worker_id

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the worker's state is about."""
        return Incarnation(self.worker_id, self.born_ms)

    @property
    def known_born_ms(self) -> int:
        """When the incarnation started, as reported or listed; 0 if unknown."""
        return self.born_ms or self.entry.born_ms

    @property
    def is_entry_current(self) -> bool:
        """Whether the entry is from the incarnation that answers."""
        return self.entry.born_ms in {0, self.born_ms} or not self.born_ms

    def has_capacity(self, wanted: Resources) -> bool:
        """Whether the worker has the wanted resources free.

        This is called for each pair of worker and waiting step, so it compares
        the fields without building ``free``: 0.7 us in place of 2.2 us.
        """
        capacity = self.entry.capacity
        if capacity is None:
            return False
        reserved = self.reserved
        return (
            wanted.cpu_millicores
            <= capacity.cpu_millicores - reserved.cpu_millicores
            and wanted.memory_mb <= capacity.memory_mb - reserved.memory_mb
            and wanted.accelerator_count
            <= capacity.accelerator_count - reserved.accelerator_count
        )

    @property
    def free(self) -> Resources:
        """Unreserved capacity; zero if the worker's capacity is unknown."""
        capacity = self.entry.capacity
        return capacity.subtract(self.reserved) if capacity else Resources()


@attrs.define
class ShortDemand:
    """Recent demand of short tasks that reserve processors.

    All sums decay exponentially. ``work`` is in millicore-milliseconds.
    ``squares`` and ``cubes`` are the work weighted by each task's processors
    and by their square, from which mean and variance follow. ``bursts`` is the
    work weighted by the processors of all tasks of the same step, and
    ``burst_squares`` by their square; ``memory`` is the work weighted by each
    task's memory. ``count`` is the number of steps.
    """

    count: float = 0.0
    work: float = 0.0
    squares: float = 0.0
    cubes: float = 0.0
    bursts: float = 0.0
    memory: float = 0.0
    burst_squares: float = 0.0
    noted_ms: int = 0


@attrs.define
class CompletedWork:
    """Work of one queue that was completed recently.

    ``ends`` holds for each end of a task its time and its predicted work in
    core-milliseconds, oldest first. ``long_since_ms`` is the time since when
    every measurement has found enough tasks waiting for a start that the ends
    show what the unit can do; None if the last one has not.
    """

    ends: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque
    )
    long_since_ms: int | None = None


@attrs.frozen
class Predecessor:
    """The last owner of a unit, as its successor saw it at the takeover.

    Parameters
    ----------
    epoch : EpochRecord
        The row by which it took the unit.
    seen_ms : int
        When that row was first seen, by the instance's clock.
    has_ended : bool
        Whether it sends no orders any more, rather than being silent.
    """

    epoch: EpochRecord
    seen_ms: int
    has_ended: bool


@attrs.define
class Ownership:
    """Ownership of the unit, as this instance knows it.

    ``must_confirm`` says that no order may be sent until a renewal sent after
    ``confirm_after_ms`` has succeeded. ``attempted_lease_version`` is the
    version of the lease row that the last takeover attempt required.
    ``release_reason`` is the reason for a pending release, if any; it follows
    the next renewal, but not before ``release_after_ms``.
    ``phase_before_release`` is the phase in which a release was last attempted.
    ``load_number`` is that of the load whose result is used.
    ``epoch_seen_ms`` is when the epoch row was first seen with this version.
    ``take_sent_ms`` is when the takeover was sent. ``attempted_epoch`` is the
    row that the last takeover attempt wrote, and ``predecessor`` the owner
    before it, if any.
    """

    phase: Phase = Phase.STANDING_BY
    lease: LeaseRecord | None = None
    lease_version: int = 0
    epoch: EpochRecord | None = None
    epoch_version: int = 0
    changed_ms: int = -1
    taken_ms: int = 0
    renewed_ms: int = 0
    renewal_count: int = 0
    is_renewing: bool = False
    must_confirm: bool = False
    confirm_after_ms: int = 0
    attempted_lease_version: int = 0
    takeover_delay_ms: int = 0
    release_reason: str = ''
    release_after_ms: int = 0
    phase_before_release: Phase = Phase.ACTIVE
    load_number: int = 0
    epoch_seen_ms: int = 0
    take_sent_ms: int = 0
    attempted_epoch: EpochRecord | None = None
    predecessor: Predecessor | None = None


@attrs.frozen
class Observation:
    """A sample that the interference model learned from, and its effect.

    Parameters
    ----------
    worker_id, image : str
        The worker, and the serving image whose tail latency was sampled.
    tail_ms, undisturbed_ms : float
        The tail latency, and the lowest one among tasks of the same job.
    load, slowdown : float
        Load and slowdown estimated from these.
    exposure : dict of str to float
        Tenths of the worker's processors in use beside the task, by image.
    expected : dict of str to float
        The updated expectation of the excess per tenth, by image.
    """

    worker_id: str
    image: str
    tail_ms: float
    undisturbed_ms: float
    load: float
    slowdown: float
    exposure: dict[str, float]
    expected: dict[str, float]


@attrs.frozen
class InstanceLoad:
    """The load of an instance, as one of its units sees it.

    Parameters
    ----------
    other_count, claimed_count, held_count : int
        How many other units there are, how many of them the instance owns,
        takes or releases, and how many it owns and isn't releasing. While the
        store is away, all units of other owners are being taken for a while.
    tick_delay_ms : int
        By how much its ticks come late.
    lowest_other_load : float
        How many units per core the least loaded other owner would have with
        one more; infinite if unknown.
    """

    other_count: int = 0
    claimed_count: int = 0
    held_count: int = 0
    tick_delay_ms: int = 0
    lowest_other_load: float = math.inf


@attrs.define
class SchedulerState:
    """Everything that the reducer reads and changes.

    ``closed_units`` are the units that lie in ``evacuated_domains`` as a whole.
    ``queue_kinds`` says which kinds of tasks have arrived in each queue, and
    ``is_demand_inherited`` whether the previous owner published the demand of
    short ones. ``uncrowded_ms`` holds by service the last time when less than
    half of its capacity was reserved. ``lost_unconfirmed_workers`` holds the
    workers that died or lapsed before this owner read a report of theirs, with
    whether their crash is certain. ``is_release_reported`` says that the last
    owner left a release report. ``inherited_ids`` names the workers that
    earlier owners had on their roster, and ``has_reached_half`` tells
    whether half of those that are listed, or more, refuse these owners.

    ``ungranted_ids`` names those of these workers that have never answered this
    owner, so that it has granted them no lease. ``lease_limits_ms`` holds by
    worker, by the store's clock, until when leases may be granted before
    another roster is durable. ``roster_bounds`` are those of the durable one,
    and ``bounds_sent_ms`` is when bounds were last sent.
    Until ``unlisted_until_ms``, by the store's clock, workers that no roster
    names may have orders of these owners; ``is_unlisted_lapse_certain`` says
    that none of these can extend their leases.

    ``seen_workers`` holds the entries of the workers that may get tasks, with
    when each was last there, noted since ``workers_noted_since_ms``.

    ``is_early_commit_due`` says that ends were read that keep an urgent end,
    or the rest of a report, from being read until they are durable.

    ``isolated_tasks`` holds by job the tasks that crashed several workers, or
    None until the present event needs them.

    ``open_starts`` tells when each start order without an answer was sent, and
    ``missed_passes`` counts by job how many placement passes in a row had no
    starts left for it.

    ``rerouted`` holds the jobs whose queue the configuration in force sends to
    another service than the one that they were accepted for.

    ``early_cancels_ms`` tells when this owner first read of each job that was
    cancelled before it was accepted.

    Advisory inputs are ignored until ``advisory_paused_until_ms`` after one of
    them raised an error. ``advisory_pause_ms`` is the length of the last such
    pause, and ``excluded_rows`` names row versions that are excluded for good.
    """

    config: SchedulerConfig
    now_ms: int = 0
    configuration: Configuration | None = None
    evacuated_domains: frozenset[str] = frozenset()
    closed_units: frozenset[int] = frozenset()
    ownership: Ownership = attrs.field(factory=Ownership)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    ready: dict[tuple[str, int, int], dict[TaskKey, Task]] = attrs.field(
        factory=dict
    )
    ready_opportunistic: dict[tuple[str, int, int], dict[TaskKey, Task]] = (
        attrs.field(factory=dict)
    )
    is_placing_due: bool = False
    is_sending_due: bool = False
    open_starts: dict[tuple[TaskKey, int], int] = attrs.field(factory=dict)
    missed_passes: dict[str, int] = attrs.field(factory=dict)
    placed_ms: int = 0
    opportunistic_placed_ms: int = 0
    waits_logged_ms: int = 0
    last_sweep_ms: int = 0
    scheduled: set[str] = attrs.field(factory=set)
    rerouted: set[str] = attrs.field(factory=set)
    routes_checked_ms: int = 0
    unreadable_jobs: set[str] = attrs.field(factory=set)
    early_cancels_ms: dict[str, int] = attrs.field(factory=dict)
    suspects: set[TaskKey] = attrs.field(factory=set)
    isolated_tasks: dict[str, list[Task]] | None = None
    unsent_starts: list[Attempt] = attrs.field(factory=list)
    lost_unconfirmed_workers: dict[str, bool] = attrs.field(factory=dict)
    lost_starts: LostStarts | None = None
    crashes_checked_ms: int = 0
    unconfirmed_until_ms: int = 0
    is_unlisted_lapse_certain: bool = False
    are_earlier_runs_confirmed: bool = False
    is_release_reported: bool = False
    inherited_ids: frozenset[str] = frozenset()
    has_reached_half: bool = True
    advice_asked: set[tuple[str, int, int]] = attrs.field(factory=set)
    dirty_jobs: dict[str, None] = attrs.field(factory=dict)
    dirty_since_ms: int = 0
    is_committing: bool = False
    is_early_commit_due: bool = False
    roster: dict[str, str] = attrs.field(factory=dict)
    roster_births_ms: dict[str, int] = attrs.field(factory=dict)
    roster_version: int = 0
    roster_bounds: LeaseBoundsRecord | None = None
    unlisted_until_ms: int = 0
    is_roster_committing: bool = False
    refused_roster: RosterRecord | None = None
    roster_refused_ms: int = 0
    ungranted_ids: set[str] = attrs.field(factory=set)
    lease_limits_ms: dict[str, int] = attrs.field(factory=dict)
    bounds_sent_ms: int = 0
    store_clock: StoreClock = attrs.field(factory=StoreClock)
    instance_load: InstanceLoad = InstanceLoad()
    overload_release_count: int = 0
    is_stopping: bool = False
    unit_capacities: dict[int, UnitCapacity] = attrs.field(factory=dict)
    transfers_checked_ms: int = 0
    moves_checked_ms: int = 0
    stranded_checked_ms: int = 0
    seen_workers: dict[str, tuple[WorkerEntry, int]] = attrs.field(factory=dict)
    workers_noted_since_ms: int = 0
    drain_checked_ms: int = 0
    obstacles_logged_ms: int = 0
    standbys_checked_ms: int = 0
    last_arrival_ms: int = 0
    overdue_started_ms: int = 0
    slow_starts_checked_ms: int = 0
    copies_checked_ms: int = 0
    next_slow_start: int = 0
    wall_offset_ms: int = 0
    model: PairModel = attrs.field(factory=PairModel)
    swings: LoadCycleModel = attrs.field(factory=LoadCycleModel)
    policy: Policy = InterferencePolicy()
    policy_number: int = 0
    run_times_ms: dict[str, float] = attrs.field(factory=dict)
    run_time_fits: dict[str, RunTimeRecord] = attrs.field(factory=dict)
    run_ratios: dict[tuple[str, str], RunRatios] = attrs.field(factory=dict)
    mean_job_work: dict[str, float] = attrs.field(factory=dict)
    short_demands: dict[tuple[str, int], ShortDemand] = attrs.field(
        factory=dict
    )
    queue_kinds: dict[str, QueueKinds] = attrs.field(factory=dict)
    completed_work: dict[str, CompletedWork] = attrs.field(factory=dict)
    uncrowded_ms: dict[str, int] = attrs.field(factory=dict)
    uncrowded_checked_ms: int = 0
    cached_largest_new: dict[tuple[str, int], tuple[int, int | None]] = (
        attrs.field(factory=dict)
    )
    is_demand_inherited: bool = False
    tails: dict[str, dict[TaskKey, tuple[float, int]]] = attrs.field(
        factory=dict
    )
    largest_observation: Observation | None = None
    persisted_sample_count: int = 0
    model_persisted_ms: int = 0
    is_model_committing: bool = False
    lowest_tails_ms: dict[str, float] = attrs.field(factory=dict)
    advisory_paused_until_ms: int = 0
    advisory_pause_ms: int = 0
    excluded_rows: set[str] = attrs.field(factory=set)
    counters: dict[str, int] = attrs.field(factory=dict)

    @property
    def is_without_advice(self) -> bool:
        """Whether advisory inputs are ignored at present."""
        is_early = self.now_ms < self.advisory_paused_until_ms
        return is_early or self.config.is_without_advice

    def count(self, name: str, amount: int = 1) -> None:
        """Increase the counter of a name."""
        self.counters[name] = self.counters.get(name, 0) + amount
