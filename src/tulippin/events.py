"""Events: everything that the reducer is told.

Each event carries ``at_ms``, a monotonic time that counts suspension;
the reducer knows no other clock.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.ledger import CellLedger, RangeLedger
from tulippin.messages import RequestOutcome, ServiceRequest
from tulippin.types import JobSpec, LeaseRow, Ownership, WorkerInfo
from tulippin.worker_types import WorkerReport

Ledger = CellLedger | RangeLedger


@attrs.frozen
class Event:
    """Base of all events."""

    at_ms: int


@attrs.frozen
class Ticked(Event):
    """Time has passed."""


@attrs.frozen
class SessionOpened(Event):
    """The table holds this instance's new session."""

    session_id: str
    sent_ms: int
    seed: int
    wall_ms: int


@attrs.frozen
class LeaseRenewed(Event):
    """A renewal that was sent at ``sent_ms`` has taken effect."""

    session_id: str
    sent_ms: int


@attrs.frozen
class LeaseFailed(Event):
    """A renewal that was sent at ``sent_ms`` did not surely take effect."""

    session_id: str
    sent_ms: int


@attrs.frozen
class SessionRevoked(Event):
    """The table says that this session is over."""

    session_id: str


@attrs.frozen
class TablePolled(Event):
    """What the table holds about membership and bundles."""

    ownership: Ownership
    ownership_version: int
    leases: tuple[LeaseRow, ...]
    bundle_number: int
    bundle_state: str
    bundle_approved: str


@attrs.frozen
class TableFailed(Event):
    """The table did not answer a poll."""


@attrs.frozen
class WorkersListed(Event):
    """The platform's lagging list of workers."""

    workers: tuple[WorkerInfo, ...]
    instances: tuple[str, ...]


@attrs.frozen
class OwnershipWritten(Event):
    """A change of ownership has taken effect."""

    ownership: Ownership
    ownership_version: int
    revoked: tuple[str, ...] = ()


@attrs.frozen
class OwnershipRefused(Event):
    """Another instance changed the ownership first.

    The row as it is now comes along: units that it gives to others must
    be dropped before anything else is done for them.
    """

    ownership: Ownership
    ownership_version: int


@attrs.frozen
class JournalCommitted(Event):
    """A journal row is durable."""

    session_id: str
    sequence: int


@attrs.frozen
class SnapshotPublished(Event):
    """A snapshot covers all rows up to ``sequence``."""

    session_id: str
    sequence: int


@attrs.frozen
class SnapshotFailed(Event):
    """No snapshot was published."""

    session_id: str


@attrs.frozen
class UnitLoaded(Event):
    """The durable state of a unit is read and published for an epoch."""

    session_id: str
    unit: str
    epoch: int
    ledger: Ledger


@attrs.frozen
class PeerReceived(Event):
    """Messages of one peer, in their order."""

    session_id: str
    instance_id: str
    sequence: int
    messages: tuple[t.Any, ...]


@attrs.frozen
class PeerFailed(Event):
    """Messages to a peer may be lost."""

    session_id: str
    messages: tuple[t.Any, ...] = ()


@attrs.frozen
class WorkerSynced(Event):
    """A worker replied to a sync."""

    worker_id: str
    epoch: int
    sequence: int
    report: WorkerReport


@attrs.frozen
class WorkerFailed(Event):
    """A sync may not have reached its worker, or was refused."""

    worker_id: str
    epoch: int
    sequence: int
    refused: bool = False


@attrs.frozen
class RequestArrived(Event):
    """A caller asks for a service."""

    call_id: int
    request: ServiceRequest


@attrs.frozen
class EndpointReplied(Event):
    """An endpoint's attempt ended."""

    dispatch_id: int
    outcome: RequestOutcome
    elapsed_ms: float = 0.0
    endpoint_leaving: bool = False
    request_id: str = ''
    body_bytes: int = 0


@attrs.frozen
class JobRequested(Event):
    """A caller operates on a job."""

    call_id: int
    action: str
    job_id: str
    team: str = ''
    spec: JobSpec | None = None
    digest: str = ''


@attrs.frozen
class ReportRequested(Event):
    """An operator asks for a report merged over all instances."""

    call_id: int
    kind: str


@attrs.frozen
class CallExpired(Event):
    """A caller's or operator's call has waited long enough."""

    call_id: int


@attrs.frozen
class StopRequested(Event):
    """The instance is to leave in a planned way."""


@attrs.frozen
class BundleLearned(Event):
    """A verified bundle, from the table or from a peer.

    The shell has checked the signatures; ``number`` orders bundles.
    """

    number: int
    approved: str
    bundle: t.Any


@attrs.frozen
class BundleFetched(Event):
    """A peer's bundle, not yet verified."""

    number: int
    approved: str
