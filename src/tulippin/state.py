"""The state of an instance, which the reducer reads and changes."""

from __future__ import annotations

import collections
import enum
import random
import typing as t

import attrs

from tulippin.bundles import Bundle
from tulippin.ledger import CellLedger, RangeLedger, RequestEntry
from tulippin.messages import (
    CellSummary,
    JobForwarded,
    RequestOutcome,
    ServiceRequest,
)
from tulippin.policies import InterferenceModel
from tulippin.records import TaskRef, UnitRecord
from tulippin.sizes import SizeModel
from tulippin.stats import TrialStats
from tulippin.types import (
    JobSpec,
    LeaseRow,
    Ownership,
    Resources,
    WorkerInfo,
)


@attrs.frozen
class Safeguards:
    """Safeguards that only tests switch off, to test the history checker.

    Parameters
    ----------
    fencing : bool
        A session whose lease is revoked or lapsed stops acting.
    read_back : bool
        A write whose answer is lost is read back; when off, it counts as
        done.
    lease_wait : bool
        Tasks of a silent worker start elsewhere only after its leases lapse.
    deduplication : bool
        A non-repeatable request runs at most once for each request id.
    drain : bool
        A leaving worker gets no new work.
    stop_drain : bool
        A planned stop waits for requests and calls in progress.
    capacity : bool
        Attempts start only on workers with enough free capacity.
    bundle_order : bool
        A bundle with a lower number is never adopted.
    not_run_proof : bool
        A call that broke off has an unknown outcome; when off, it is
        reported as not run.
    answer_match : bool
        An answer is checked against its request and its stated length.
    checkpoints : bool
        An attempt resumes from the checkpoint of the previous one.
    """

    fencing: bool = True
    read_back: bool = True
    lease_wait: bool = True
    deduplication: bool = True
    drain: bool = True
    stop_drain: bool = True
    capacity: bool = True
    bundle_order: bool = True
    not_run_proof: bool = True
    answer_match: bool = True
    checkpoints: bool = True


@attrs.frozen
class Config:
    """The settings of an instance that the reducer uses."""

    instance_id: str
    failure_domain: str
    peer_address: str
    region: str = ''
    peer_seeds: tuple[str, ...] = ()
    lease_ms: int = 5000
    lease_margin_ms: int = 500
    renew_every_ms: int = 1250
    poll_every_ms: int = 1000
    list_every_ms: int = 1000
    gossip_every_ms: int = 500
    rebalance_every_ms: int = 2000
    resend_every_ms: int = 2000
    stall_limit_ms: int = 2000
    silence_limit_ms: int = 3000
    worker_lease_ms: int = 10000
    worker_suspect_ms: int = 5000
    sync_every_ms: int = 2000
    sync_gap_ms: int = 1000
    detached_limit_ms: int = 4500000
    journal_writes_per_s: float = 30.0
    journal_ring: int = 256
    snapshot_every_rows: int = 80
    journal_row_records: int = 1500
    range_count: int = 32
    drain_limit_ms: int = 20000
    hand_over_wait_ms: int = 2000
    request_queue_limit: int = 64
    retry_budget_ratio: float = 0.1
    kept_answer_bytes: int = 4096
    retention_ms: int = 86400000
    starts_per_tick: int = 200
    stops_per_sync: int = 50
    seams: Safeguards = Safeguards()


class Standing(enum.Enum):
    """The standing of the session, which decides what the instance may do.

    ``OPENING``: there is no session yet. ``ACTIVE``: the lease is valid.
    ``DETACHED``: the lease lapsed while the store did not answer; running
    work is kept alive, nothing new is started. ``SUSPECT``: the lease
    lapsed while this process was stalled; it does nothing until the table
    confirms the session. ``LEFT``: a planned stop is complete.
    """

    OPENING = 'opening'
    ACTIVE = 'active'
    DETACHED = 'detached'
    SUSPECT = 'suspect'
    LEFT = 'left'


class Phase(enum.Enum):
    """The phase of an owned unit."""

    LOADING = 'loading'
    ACTIVE = 'active'
    HANDING_OVER = 'handing_over'


@attrs.define
class SessionState:
    """The instance's own session and lease."""

    session_id: str = ''
    standing: Standing = Standing.OPENING
    renewed_ms: int = 0
    renewal_count: int = 0
    renewing: bool = False
    polling: bool = False
    opening: bool = False
    store_reachable: bool = False
    suspect_since_ms: int = 0
    last_event_ms: int = 0
    next_renew_ms: int = 0
    next_poll_ms: int = 0
    next_list_ms: int = 0
    next_gossip_ms: int = 0
    next_model_share_ms: int = 0
    next_rebalance_ms: int = 0
    next_dispatch_ms: int = 0
    writing_ownership: bool = False
    acquired_version: int = 0
    stopping_since_ms: int | None = None
    refuses_requests: bool = False
    wall_offset_ms: int = 0


@attrs.define
class PeerState:
    """The session of another instance, as this instance sees it."""

    lease: LeaseRow
    lease_changed_ms: int
    first_seen_ms: int = 0
    last_received_ms: int = -1
    bundle_number: int = 0
    store_reachable: bool = True
    leaving: bool = False
    summaries: dict[str, CellSummary] = attrs.field(factory=dict)


@attrs.define
class JournalState:
    """Uncommitted records, and the position in the journal ring.

    ``uncommitted_counts`` holds the number of pending and in-flight
    records of each unit.
    """

    pending: list[UnitRecord] = attrs.field(factory=list)
    in_flight: tuple[UnitRecord, ...] = ()
    sequence: int = 0
    snapshot_sequence: int = 0
    snapshot_running: bool = False
    next_commit_ms: int = 0
    next_snapshot_ms: int = 0
    uncommitted_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


@attrs.define
class WorkerState:
    """The volatile state of a worker of an owned cell."""

    info: WorkerInfo
    incarnation: str = ''
    clock_ms: int = 0
    sequence: int = 0
    sync_in_flight: int = 0
    sync_sent_ms: int = 0
    failed_sync_sent_ms: int = -1
    next_sync_ms: int = 0
    needs_sync: bool = False
    needs_urgent_sync: bool = False
    last_reply_ms: int = -1
    lapse_ms: int = 0
    lost: bool = False
    absent: bool = False
    leaving: bool = False
    reserved: Resources = Resources()
    attempts: set[str] = attrs.field(factory=set)
    service_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    batch_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    backoff_until_ms: int = 0
    started: set[str] = attrs.field(factory=set)
    throttled: set[str] = attrs.field(factory=set)
    stopping: dict[str, str] = attrs.field(factory=dict)
    orphaned_attempts: set[tuple[str, int]] = attrs.field(factory=set)
    forgotten_attempts: set[tuple[str, int]] = attrs.field(factory=set)
    dispatched: dict[int, int] = attrs.field(factory=dict)
    foreign_busy: int = 0
    failed_jobs: dict[str, int] = attrs.field(factory=dict)
    quarantined_until_ms: int = 0
    quarantine_count: int = 0
    unsaved_progress_ms: dict[str, int] = attrs.field(factory=dict)
    batch_count_history: collections.deque[tuple[int, dict[str, int]]] = (
        attrs.field(factory=lambda: collections.deque(maxlen=64))
    )
    pressure: float = 0.0
    next_relief_ms: int = 0

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.info.worker_id

    @property
    def free(self) -> Resources:
        """Return the capacity that is not reserved."""
        return self.info.capacity.subtract(self.reserved)

    @property
    def free_slots(self) -> int:
        """Return the number of further requests that the worker may run."""
        busy = len(self.dispatched) + self.foreign_busy
        limit = min(self.info.slot_count, self.info.connection_count)
        return limit - busy


@attrs.define
class CellState:
    """A cell that this instance owns."""

    unit: str
    epoch: int
    phase: Phase = Phase.LOADING
    ledger: CellLedger = attrs.field(factory=CellLedger)
    owned_since_ms: int = 0
    predecessor: str = ''
    predecessor_instance: str = ''
    predecessor_gone: bool = False
    workers: dict[str, WorkerState] = attrs.field(factory=dict)
    placing: dict[str, TaskRef] = attrs.field(factory=dict)
    waiting: dict[str, t.Any] = attrs.field(factory=dict)
    refused: dict[str, TaskRef] = attrs.field(factory=dict)
    ending_attempts: dict[str, int] = attrs.field(factory=dict)
    report_due_ms: dict[str, int] = attrs.field(factory=dict)
    home_epochs: dict[str, int] = attrs.field(factory=dict)
    queues: dict[str, collections.deque[int]] = attrs.field(factory=dict)
    endpoints: dict[str, dict[str, str]] = attrs.field(factory=dict)


@attrs.define
class OfferState:
    """An assigned attempt of a task, offered to its cell.

    ``held_epoch`` is the cell's epoch that confirmed the attempt, or 0.
    """

    task: TaskRef
    cell: str
    cell_epoch: int
    next_send_ms: int = 0
    held_epoch: int = 0


@attrs.define(order=True)
class QueuedTask:
    """A heap entry for one or more tasks that wait for a cell.

    Only ``rank`` decides the order. A negative ``index`` stands for all
    tasks of the job that were never assigned.
    """

    rank: tuple[int, int]
    job_id: str = attrs.field(order=False)
    index: int = attrs.field(order=False)


@attrs.define
class RangeState:
    """A hash range that this instance owns.

    ``fresh_indexes`` holds the index of the first task that was never
    assigned, by job. ``assigning`` and ``returning`` hold the tasks with
    an assignment or a return that is not committed yet. ``spread`` counts
    the tasks of each service job by cell.
    """

    unit: str
    epoch: int
    phase: Phase = Phase.LOADING
    ledger: RangeLedger = attrs.field(factory=RangeLedger)
    owned_since_ms: int = 0
    queue: list[QueuedTask] = attrs.field(factory=list)
    fresh_indexes: dict[str, int] = attrs.field(factory=dict)
    offers: dict[str, OfferState] = attrs.field(factory=dict)
    returning: dict[str, int] = attrs.field(factory=dict)
    assigning: dict[str, JobSpec] = attrs.field(factory=dict)
    job_waiters: dict[str, list[t.Any]] = attrs.field(factory=dict)
    request_tickets: dict[str, int] = attrs.field(factory=dict)
    closing: dict[str, RequestEntry] = attrs.field(factory=dict)
    not_before_ms: dict[str, int] = attrs.field(factory=dict)
    spread: dict[str, collections.Counter[str]] = attrs.field(factory=dict)
    next_expiry_ms: int = 0


UnitState = CellState | RangeState


@attrs.frozen
class CallerOrigin:
    """Origin of a request that a caller sent to this instance."""

    call_id: int


@attrs.frozen
class PeerOrigin:
    """Origin of a request that a peer forwarded."""

    session_id: str
    call_id: int


@attrs.frozen
class TicketOrigin:
    """Origin of a request that is a try of another ticket here."""

    ticket: int


Origin = CallerOrigin | PeerOrigin | TicketOrigin


class Stage(enum.Enum):
    """The processing stage of a ticket."""

    ROUTING = 'routing'
    OPENING = 'opening'
    JOINED = 'joined'
    FORWARDED = 'forwarded'
    TRYING = 'trying'
    QUEUED = 'queued'
    SENT = 'sent'


@attrs.define
class Ticket:
    """A request in progress on this instance."""

    ticket: int
    origin: Origin
    request: ServiceRequest
    deadline_ms: int
    started_ms: int
    stage: Stage = Stage.ROUTING
    unit: str = ''
    epoch: int = 0
    durable: bool = False
    worker_id: str = ''
    target_session: str = ''
    policy: str = ''
    retry_at_ms: int | None = None
    last_try_unit: str = ''
    try_count: int = 0
    overloaded_cells: set[str] = attrs.field(factory=set)
    waiters: list[Origin] = attrs.field(factory=list)
    last_outcome: RequestOutcome | None = None
    sent_ms: int = 0


@attrs.define
class JobCall:
    """A job operation that waits for a reply of the job's home unit."""

    call_id: int
    message: JobForwarded
    deadline_ms: int
    next_send_ms: int


@attrs.define
class ReportCall:
    """A merged report that waits for parts from the peers."""

    call_id: int
    waiting: set[str]
    bodies: list[str]
    deadline_ms: int


@attrs.define
class State:
    """The whole state of an instance."""

    config: Config
    now_ms: int = 0
    session: SessionState = attrs.field(factory=SessionState)
    random: random.Random = attrs.field(factory=lambda: random.Random(0))
    ownership: Ownership = attrs.field(factory=Ownership)
    ownership_version: int = 0
    peers: dict[str, PeerState] = attrs.field(factory=dict)
    ended_sessions: dict[str, int] = attrs.field(factory=dict)
    received_sequences: dict[str, int] = attrs.field(factory=dict)
    # When any cell owner last reported a task of the service.
    service_reported_ms: dict[str, int] = attrs.field(factory=dict)
    journal: JournalState = attrs.field(factory=JournalState)
    workers: dict[str, WorkerInfo] = attrs.field(factory=dict)
    listed_instances: frozenset[str] = frozenset()
    has_worker_list: bool = False
    cell_locations: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    cells: dict[str, CellState] = attrs.field(factory=dict)
    ranges: dict[str, RangeState] = attrs.field(factory=dict)
    bundle: Bundle | None = None
    bundle_number: int = 0
    bundle_approved: str = ''
    bundle_state: str = ''
    verifying_number: int = 0
    next_bundle_request_ms: int = 0
    tickets: dict[int, Ticket] = attrs.field(factory=dict)
    next_ticket: int = 1
    job_calls: dict[int, JobCall] = attrs.field(factory=dict)
    report_calls: dict[int, ReportCall] = attrs.field(factory=dict)
    retry_tokens: float = 10.0
    model: InterferenceModel = attrs.field(factory=InterferenceModel)
    sizes: SizeModel = attrs.field(factory=SizeModel)
    stats: TrialStats = attrs.field(factory=TrialStats)
    counters: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def get_unit(self, unit: str) -> UnitState | None:
        """Return the owned unit, or ``None`` if it is not owned."""
        return self.cells.get(unit) or self.ranges.get(unit)

    def iter_units(self) -> t.Iterator[UnitState]:
        """Iterate over the owned units."""
        yield from self.cells.values()
        yield from self.ranges.values()

    @property
    def wall_ms(self) -> int:
        """Return the wall clock time of the last event.

        It serves for labels, trial windows and retention, never for leases.
        """
        return self.now_ms + self.session.wall_offset_ms
