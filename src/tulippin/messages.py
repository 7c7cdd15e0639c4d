"""Messages between instances. They may be lost but are never reordered."""

from __future__ import annotations

import attrs

from tulippin.records import TaskRef
from tulippin.types import JobSpec, OutcomeKind, Resources, TaskOutcome


@attrs.frozen
class CellSummary:
    """Free capacity of a cell, as of its owner's last gossip message.

    ``services`` holds the free slots by service. ``harm`` holds, by batch
    class, the slowdown that one more task would add on the cell's best
    worker; it is empty unless the bundle has exactly one policy and that
    policy learns interference.
    """

    unit: str
    epoch: int
    free: Resources
    largest_free: Resources
    evictable: Resources
    services: dict[str, int] = attrs.field(factory=dict)
    harm: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Gossip:
    """Periodic message with an instance's cells and its newest bundle."""

    summaries: tuple[CellSummary, ...]
    bundle_number: int
    ownership_version: int
    store_reachable: bool
    leaving: bool = False


@attrs.frozen
class ModelShared:
    """Interference weights: key, weight and number of samples."""

    entries: tuple[tuple[str, float, float], ...]


@attrs.frozen
class BundleWanted:
    """Request for the receiver's bundle.

    ``known_number`` is the number of the sender's bundle.
    """

    known_number: int


@attrs.frozen
class BundleSent:
    """The bundle in force, with the signatures for its verification."""

    number: int
    approved: str


@attrs.frozen
class TaskOffered:
    """Offer of an assigned attempt by its home to the cell's owner."""

    cell: str
    cell_epoch: int
    task: TaskRef
    spec: JobSpec
    home_epoch: int = 0
    checkpoint: str = ''


@attrs.frozen
class TaskAsked:
    """Query by a home to a cell's new owner for an older epoch's attempt."""

    cell: str
    task: TaskRef
    home_epoch: int = 0


@attrs.frozen
class TaskReported:
    """Report of an attempt's outcome by the cell's owner to its home."""

    cell: str
    task: TaskRef
    outcome: TaskOutcome
    checkpoint: str = ''


@attrs.frozen
class TaskHeld:
    """Confirmation that a cell's owner has recorded the attempt."""

    cell: str
    cell_epoch: int
    task: TaskRef


@attrs.frozen
class TaskRecorded:
    """Confirmation that a home has recorded an attempt's outcome."""

    cell: str
    task: TaskRef


@attrs.frozen
class TasksCancelled:
    """Cancellation of attempts of a job by their home."""

    cell: str
    home: str
    tasks: tuple[TaskRef, ...]
    home_epoch: int = 0


@attrs.frozen
class ServiceRequest:
    """A caller's request to a service, as sent between instances."""

    request_id: str
    team: str
    service: str
    repeatable: bool
    body: str
    deadline_ms: int
    digest: str = ''


@attrs.frozen
class RequestForwarded:
    """A try of a request, forwarded to a unit's owner.

    ``unit`` is a cell, which runs the request, or a range, which records
    it first. ``remaining_ms`` replaces the deadline, because the clocks of
    instances differ.
    """

    call_id: int
    unit: str
    request: ServiceRequest
    remaining_ms: int


@attrs.frozen
class RequestOutcome:
    """The outcome of a request, with the whole answer if there is one."""

    kind: OutcomeKind
    code: str = ''
    status: int = 0
    body: str = ''
    retry_after_ms: int = 0


@attrs.frozen
class RequestReturned:
    """The outcome of a forwarded request."""

    call_id: int
    outcome: RequestOutcome


@attrs.frozen
class JobForwarded:
    """A caller's job operation, forwarded to the job's home.

    ``try_count`` is incremented each time it is sent again.
    """

    call_id: int
    unit: str
    action: str
    job_id: str
    spec: JobSpec | None = None
    digest: str = ''
    try_count: int = 0


@attrs.frozen
class JobReply:
    """The home's reply to a job operation."""

    code: str
    job: JobStatus | None = None
    retry_after_ms: int = 0


@attrs.frozen
class JobStatus:
    """A job as its home sees it."""

    spec: JobSpec
    state: str
    pending_count: int
    assigned_count: int
    done_count: int
    failed_count: int
    cancelled_count: int
    reason: str = ''


@attrs.frozen
class JobReturned:
    """The reply to one try of a forwarded job operation."""

    call_id: int
    reply: JobReply
    try_count: int = 0


@attrs.frozen
class ReportWanted:
    """Request for the receiver's part of a merged report."""

    call_id: int
    kind: str


@attrs.frozen
class ReportReturned:
    """An instance's part of a merged report, as JSON."""

    call_id: int
    body: str


PEER_MESSAGES = (
    Gossip,
    ModelShared,
    BundleWanted,
    BundleSent,
    TaskOffered,
    TaskAsked,
    TaskReported,
    TaskHeld,
    TaskRecorded,
    TasksCancelled,
    RequestForwarded,
    RequestReturned,
    JobForwarded,
    JobReturned,
    ReportWanted,
    ReportReturned,
)
