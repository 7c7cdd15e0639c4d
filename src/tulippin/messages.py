"""Typed messages between instances; each may be lost, none is reordered."""

from __future__ import annotations

import attrs

from tulippin.records import TaskRef
from tulippin.types import JobSpec, OutcomeKind, Resources, TaskOutcome


@attrs.frozen
class CellSummary:
    """What a cell could still take, as of its owner's last look.

    ``harm`` is, for a batch class, the slowdown that one more task of it
    would add on the cell's best worker; empty unless the bundle has but
    one policy and that learns interference.
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
    """An instance's own cells and the newest bundle it holds."""

    summaries: tuple[CellSummary, ...]
    bundle_number: int
    ownership_version: int
    store_reachable: bool
    leaving: bool = False


@attrs.frozen
class ModelShared:
    """What an instance has learned: key, weight and number of samples."""

    entries: tuple[tuple[str, float, float], ...]


@attrs.frozen
class BundleWanted:
    """A peer asks for the bundle that the receiver holds."""

    known_number: int


@attrs.frozen
class BundleSent:
    """A bundle in force, with the signatures that let the peer check it."""

    number: int
    approved: str


@attrs.frozen
class TaskOffered:
    """A home offers an assigned attempt to the cell's owner."""

    cell: str
    cell_epoch: int
    task: TaskRef
    spec: JobSpec
    home_epoch: int = 0
    checkpoint: str = ''


@attrs.frozen
class TaskAsked:
    """A home asks a new owner what became of an older epoch's attempt."""

    cell: str
    task: TaskRef
    home_epoch: int = 0


@attrs.frozen
class TaskReported:
    """A cell's owner tells the home how an attempt ended."""

    cell: str
    task: TaskRef
    outcome: TaskOutcome
    checkpoint: str = ''


@attrs.frozen
class TaskHeld:
    """A cell's owner has the attempt in its journal."""

    cell: str
    cell_epoch: int
    task: TaskRef


@attrs.frozen
class TaskRecorded:
    """A home has recorded how an attempt ended."""

    cell: str
    task: TaskRef


@attrs.frozen
class TasksCancelled:
    """A home withdraws attempts of a job from a cell."""

    cell: str
    home: str
    tasks: tuple[TaskRef, ...]
    home_epoch: int = 0


@attrs.frozen
class ServiceRequest:
    """One caller's request on its way between instances."""

    request_id: str
    team: str
    service: str
    repeatable: bool
    body: str
    deadline_ms: int
    digest: str = ''


@attrs.frozen
class RequestForwarded:
    """An instance asks a unit's owner to carry a request.

    ``unit`` is a cell, which runs it, or a range, which first makes it
    durable. ``remaining_ms`` replaces the deadline: clocks differ.
    """

    call_id: int
    unit: str
    request: ServiceRequest
    remaining_ms: int


@attrs.frozen
class RequestOutcome:
    """How a request ended, with the whole answer."""

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
    """A caller's job operation on its way to the job's home.

    ``try_count`` rises each time that it is sent again.
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
    """A peer asks for the figures that ``compare`` merges."""

    call_id: int
    kind: str


@attrs.frozen
class ReportReturned:
    """An instance's own part of a merged report, as JSON."""

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
