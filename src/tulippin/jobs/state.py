"""All that the job scheduler of one instance holds in memory."""

from __future__ import annotations

import enum
import typing as t

import attrs

from tulippin.jobs.pair_model import PairModel
from tulippin.jobs.records import (
    CrashRecord,
    EpochRecord,
    LeaseRecord,
    ProgressRecord,
    QueueKinds,
    Unit,
    UnitRoom,
)
from tulippin.jobs.swings import SwingModel
from tulippin.jobs.types import (
    Configuration,
    JobRequest,
    JobState,
    Queue,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.policies import InterferencePolicy, Policy
from tulippin.types import Resources

# Runs of one task in one epoch are numbered below this, so that a new
# owner's runs are above all earlier ones without a record of each.
RUNS_PER_EPOCH: t.Final = 65536


@attrs.frozen
class SchedulerConfig:
    """What the scheduler knows from its settings.

    Parameters
    ----------
    instance_id, session_id : str
        The instance, and this life of its process.
    unit : Unit
        The unit that the instance owns or stands by for.
    lease_ms : int
        Silence after which others may take the unit: four renewals.
    renew_every_ms : int
        Time between renewals of the lease.
    worker_lease_ms : int
        How long a worker runs on when its owner is silent; longer than
        ``lease_ms`` and a takeover together.
    start_valid_ms : int
        How long an order to start is valid, so that one that is carried
        out late does nothing.
    clock_drift_ratio : float
        How slow a worker's clock may be.
    worker_lease_limit_ms : int
        The longest lease that a worker grants: what another owner may
        have given it.
    finished_kept_ms : int
        How long a finished job's state is kept.
    processor_share : float
        The instance's processor, in cores of usual speed.
    is_without_advice : bool
        Nothing that only advises is taken in, as earlier lives of the
        process ended soon after their start.
    """

    instance_id: str
    session_id: str
    unit: Unit = Unit()
    lease_ms: int = 2000
    renew_every_ms: int = 500
    worker_lease_ms: int = 4500
    worker_lease_limit_ms: int = 6000
    start_valid_ms: int = 1800
    clock_drift_ratio: float = 1.02
    finished_kept_ms: int = 180_000
    processor_share: float = 1.0
    is_without_advice: bool = False


class Phase(enum.Enum):
    """What the instance is to its unit."""

    STANDING_BY = 'standing_by'
    TAKING = 'taking'
    LOADING = 'loading'
    ACTIVE = 'active'
    RELEASING = 'releasing'
    LEFT = 'left'


class AttemptState(enum.Enum):
    """What is known of a run.

    ``DOUBTFUL``: the order to start brought no answer, and may still be
    carried out until its deadline.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    DOUBTFUL = 'doubtful'
    STOPPING = 'stopping'


@attrs.define
class Attempt:
    """One run of a task on a worker.

    ``pace_percent`` is the pace that the worker has confirmed; nothing
    where an earlier owner may have set another. ``load`` is as the worker
    tells it, smoothed over time; ``tail_ms`` is the tail by now, made out
    from ``load`` and an earlier reading of it, ``past_load``.
    ``is_slow_start``: it was begun past what its worker bears at full
    pace, and yields to all others.
    ``load_part`` is the task's load beside the least of its siblings',
    ``swing_part`` beside what the job's swing foretells.
    ``crash_count`` workers had crashed under its task before. The worker has
    to live for ``probation_ms`` of it, as far as is told, until it is taken
    to bear it, and ``is_proved`` once it has for long enough to be above
    suspicion. ``is_ordered``: the order was sent, or is about to be; one
    under suspicion, or of a long-running task, is sent once it is durable
    that it may have been.
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
    stop_is_settled: bool = False
    checkpoint: str = ''
    progress_percent: int = 0
    pace_percent: int | None = 100
    wanted_percent: int = 100
    paced_ms: int = 0
    slowed_ms: int = 0
    load: float = 0.0
    tail_ms: float = 0.0
    past_load: float = 0.0
    past_load_ms: int = 0
    load_part: float = 1.0
    swing_part: float = 1.0
    worked_ms: int = 0
    is_slow_start: bool = False
    crash_count: int = 0
    probation_ms: int = 0
    is_proved: bool = False
    is_ordered: bool = True


@attrs.define
class Task:
    """A task with its runs.

    ``unseen_on`` are workers where an earlier owner's run of it may go on.
    ``spares`` are workers where it is likely to be started next.
    ``has_run``: a run of it was there, as far as this owner knows.
    ``crashes`` tells by worker which crashed, or may have, under it, and
    ``open_start`` the run and worker of an earlier owner's last start, until
    it is known what became of it.
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
    least_run: int = 0
    unseen_on: set[str] = attrs.field(factory=set)
    spares: frozenset[str] = frozenset()
    has_run: bool = False
    crashes: dict[str, CrashRecord] = attrs.field(factory=dict)
    open_start: tuple[int, str] | None = None

    def list_crashes(self) -> tuple[CrashRecord, ...]:
        """Return its crashes as they are kept."""
        return tuple(self.crashes[name] for name in sorted(self.crashes))


@attrs.frozen
class PassedTask:
    """A task that went to another unit: which, as how-manieth pass.

    ``least_run`` is the highest run that may have been started before.
    """

    unit: int
    pass_number: int
    least_run: int


@attrs.define
class Job:
    """A job with its tasks, as far as they may run.

    ``is_resumed``: it had begun before the owner took the unit;
    ``knows_begun``: it is known which of its long-running tasks had.
    ``durable`` is what the store tells of it, ``committing`` what it may tell
    at any moment.
    ``awaits_workers``: its tasks may run wherever an earlier owner's orders
    still have effect; ``knows_places``: but for the long-running ones, of
    which all places are known.
    ``arrived_ms`` is when it was accepted, ``known_ms`` when this owner came
    to know it, ``idle_since_ms`` when the last of its runs was over.
    ``failed_on`` are workers where a run of it failed.
    ``is_past_unknown``: what was kept of it can't be read, so that nothing
    of it may be started. ``is_guest``: another unit is its home.
    ``passes`` are the numbers of the passes by which tasks came, ``passed``
    those that went. ``is_given_up``: some unit gave the job up, for ``reason``.
    ``doubts`` is how often short tasks of it may have been started unseen on
    a worker that died while the unit changed hands.
    """

    job_id: str
    queue: Queue
    request: JobRequest
    row_version: int
    state: JobState = JobState.PENDING
    is_cancelled: bool = False
    has_begun: bool = False
    arrived_ms: int = 0
    known_ms: int = 0
    finished_ms: int = 0
    idle_since_ms: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    tasks: dict[TaskKey, Task] = attrs.field(factory=dict)
    remaining: dict[tuple[int, int], int] = attrs.field(factory=dict)
    opened: set[tuple[int, int]] = attrs.field(factory=set)
    progress_version: int = 0
    durable: ProgressRecord | None = None
    committing: ProgressRecord | None = None
    awaits_workers: bool = False
    knows_places: bool = True
    is_resumed: bool = False
    knows_begun: bool = False
    is_guest: bool = False
    is_past_unknown: bool = False
    is_given_up: bool = False
    doubts: int = 0
    passes: dict[TaskKey, int] = attrs.field(factory=dict)
    passed: dict[TaskKey, PassedTask] = attrs.field(factory=dict)
    reason: str = ''
    depths: tuple[int, ...] = (1,)
    tickets: dict[tuple[str, int, int], dict[str, tuple[str, int]]] = (
        attrs.field(factory=dict)
    )
    advised_workers: dict[tuple[str, int, int], set[str]] = attrs.field(
        factory=dict
    )
    advice_after_ms: dict[tuple[str, int, int], int] = attrs.field(factory=dict)


@attrs.define
class Worker:
    """A worker with what runs there.

    ``clock_offset_ms`` added to our clock gives the worker's clock or
    less. At ``lapse_at_ms`` by our clock, the latest lease that any
    order of ours may have given it has surely ended. ``slack`` is by
    how much more the serving tasks of each image there may be slowed;
    nothing where it must be worked out anew. ``exposure`` is what its
    opportunistic tasks used at an earlier report, nothing where that is not
    known; ``refused_ms`` is when a report of theirs was last refused as
    impossible. ``may_run_anything``: an
    earlier owner's orders may have effect there, on any task.
    ``leaves_at_ms`` is the earliest end of a worker that drains.
    ``unsettled`` are tasks of ends that were read, by the end's number, and
    whose effect is not durable yet; ``early_ends`` those of ends that wait
    to be read until their job is known. ``strays`` are runs there of jobs
    that are not known, each with the time of the last order to stop it.
    ``trials`` are runs there whose tasks are under suspicion of crashing
    their workers. ``is_over``: another life was met at its address.
    ``entry_ms`` is when the newest reading of its entry began.
    """

    entry: WorkerEntry
    is_listed: bool = True
    clock_offset_ms: int | None = None
    is_holding: bool = False
    answered_ms: int = 0
    failed_count: int = 0
    hold_after_ms: int = 0
    lapse_at_ms: int = 0
    last_seen: int = 0
    ends_read: int = 0
    attempts: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    reserved: Resources = Resources()
    used_millicores: float | None = None
    serving: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    fillers: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    slack: dict[str, float] | None = None
    exposure: dict[str, float] | None = attrs.field(factory=dict)
    exposure_ms: int = 0
    refused_ms: int | None = None
    leaves_at_ms: int = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until_ms: int = 0
    paused_until_ms: int = 0
    unwell_since_ms: int = 0
    needs_ack: bool = False
    pace_changed_ms: int = 0
    missed_since_ms: int = 0
    calm_since_ms: int = 0
    unsettled: dict[int, TaskKey] = attrs.field(factory=dict)
    early_ends: set[TaskKey] = attrs.field(factory=set)
    strays: dict[tuple[TaskKey, int], int] = attrs.field(factory=dict)
    is_rostered: bool = False
    may_run_anything: bool = False
    is_reconciled: bool = False
    trials: dict[tuple[TaskKey, int], Attempt] = attrs.field(factory=dict)
    is_over: bool = False
    entry_ms: int = 0

    @property
    def worker_id(self) -> str:
        """The worker's id: one life of it."""
        return self.entry.worker_id

    def has_room(self, wanted: Resources) -> bool:
        """Whether so much is free; ``free`` without making an object.

        Asked for each worker by each waiting step: 0.7 us in place of 2.2.
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
        """Room that nothing reserves; none where the room is not known."""
        capacity = self.entry.capacity
        return capacity.subtract(self.reserved) if capacity else Resources()


@attrs.define
class ShortDemand:
    """What short tasks that reserve processors asked for lately.

    ``work``, in millicore-milliseconds, fades with time; ``squares`` and
    ``cubes`` are the same times each task's processors, once and twice, so
    that their mean and spread can be told, and ``bursts`` times those of all
    tasks that came with it; ``memory`` is the work times each task's memory.
    ``count`` is how many steps came.
    """

    count: float = 0.0
    work: float = 0.0
    squares: float = 0.0
    cubes: float = 0.0
    bursts: float = 0.0
    memory: float = 0.0
    noted_ms: int = 0


@attrs.define
class Ownership:
    """What is known of the unit's owner.

    ``must_confirm``: a renewal sent after ``paused_ms`` has to be done
    before any order is given. ``tried_version`` is the lease row's that
    the last try to take the unit asked for.
    ``release_why``: the unit is to be given up, after the next renewal and
    not before ``release_after_ms``; ``released_from`` is the phase in which
    that was tried last.
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
    paused_ms: int = 0
    tried_version: int = 0
    wait_extra_ms: int = 0
    release_why: str = ''
    release_after_ms: int = 0
    released_from: Phase = Phase.ACTIVE


@attrs.frozen
class Lesson:
    """A reading that the model took in, and what it expects since.

    Parameters
    ----------
    worker_id, image : str
        Where the reading is from, and whose tail it is.
    tail_ms, undisturbed_ms : float
        The tail, and the least of its siblings'.
    load, slowdown : float
        What was made of them.
    exposure : dict of str to float
        Tenths of the worker's processors in use beside it, by image.
    expected : dict of str to float
        The excess expected of each image for a tenth, from now on.
    """

    worker_id: str
    image: str
    tail_ms: float
    undisturbed_ms: float
    load: float
    slowdown: float
    exposure: dict[str, float]
    expected: dict[str, float]


@attrs.define
class SchedulerState:
    """Everything the reducer reads and changes.

    ``queue_kinds`` tells which sorts of tasks have come by each queue;
    ``is_demand_told``: the last owner told what short ones ask for.
    ``roomy_ms`` tells by service when less than half of its room was last
    reserved.

    Nothing that only advises is taken in until ``advice_after_ms``, as an error
    came up among it; ``advice_pause_ms`` is how long that was the last time,
    and ``rows_aside`` names versions of rows that are never taken in.
    """

    config: SchedulerConfig
    now_ms: int = 0
    configuration: Configuration | None = None
    ownership: Ownership = attrs.field(factory=Ownership)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    ready: dict[tuple[str, int, int], dict[TaskKey, Task]] = attrs.field(
        factory=dict
    )
    ready_idle: dict[tuple[str, int, int], dict[TaskKey, Task]] = attrs.field(
        factory=dict
    )
    is_placing_due: bool = False
    is_sending_due: bool = False
    placed_ms: int = 0
    idle_placed_ms: int = 0
    refusals_told_ms: int = 0
    swept_ms: int = 0
    scheduled: set[str] = attrs.field(factory=set)
    unread_jobs: set[str] = attrs.field(factory=set)
    suspects: set[TaskKey] = attrs.field(factory=set)
    unsent: list[Attempt] = attrs.field(factory=list)
    lost_unread: dict[str, bool] = attrs.field(factory=dict)
    crashes_looked_ms: int = 0
    unsettled_until_ms: int = 0
    is_settled: bool = False
    advice_asked: set[tuple[str, int, int]] = attrs.field(factory=set)
    dirty_jobs: dict[str, None] = attrs.field(factory=dict)
    dirty_since_ms: int = 0
    is_committing: bool = False
    roster: dict[str, str] = attrs.field(factory=dict)
    roster_version: int = 0
    is_roster_committing: bool = False
    other_units: int = 0
    spared_count: int = 0
    is_stopping: bool = False
    rooms: dict[int, UnitRoom] = attrs.field(factory=dict)
    passing_ms: int = 0
    drained_ms: int = 0
    kept_told_ms: int = 0
    spares_looked_ms: int = 0
    arrived_ms: int = 0
    overdue_ms: int = 0
    slow_placed_ms: int = 0
    slow_turn: int = 0
    wall_offset_ms: int = 0
    model: PairModel = attrs.field(factory=PairModel)
    swings: SwingModel = attrs.field(factory=SwingModel)
    policy: Policy = InterferencePolicy()
    policy_number: int = 0
    run_times_ms: dict[str, float] = attrs.field(factory=dict)
    short_demands: dict[tuple[str, int], ShortDemand] = attrs.field(
        factory=dict
    )
    queue_kinds: dict[str, QueueKinds] = attrs.field(factory=dict)
    roomy_ms: dict[str, int] = attrs.field(factory=dict)
    roomy_looked_ms: int = 0
    largest_new: dict[tuple[str, int], tuple[int, int | None]] = attrs.field(
        factory=dict
    )
    is_demand_told: bool = False
    tails: dict[str, dict[TaskKey, tuple[float, int]]] = attrs.field(
        factory=dict
    )
    lesson: Lesson | None = None
    samples_kept: int = 0
    model_kept_ms: int = 0
    is_model_committing: bool = False
    lowest_tails_ms: dict[str, float] = attrs.field(factory=dict)
    advice_after_ms: int = 0
    advice_pause_ms: int = 0
    rows_aside: set[str] = attrs.field(factory=set)
    counters: dict[str, int] = attrs.field(factory=dict)

    @property
    def is_without_advice(self) -> bool:
        """Whether what only advises is left out by now."""
        is_early = self.now_ms < self.advice_after_ms
        return is_early or self.config.is_without_advice

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount
