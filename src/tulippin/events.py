"""Events: the only input of the reducer.

Each event carries ``at_ms``, a monotonic time that counts suspension. It is
the reducer's only clock.
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
    """Base class of all events."""

    at_ms: int


@attrs.frozen
class Ticked(Event):
    """Periodic event, so that the reducer acts on elapsed time."""


@attrs.frozen
class SessionOpened(Event):
    """The instance's new session was written to the table."""

    session_id: str
    sent_ms: int
    seed: int
    wall_ms: int


@attrs.frozen
class LeaseRenewed(Event):
    """The renewal sent at ``sent_ms`` took effect."""

    session_id: str
    sent_ms: int


@attrs.frozen
class LeaseFailed(Event):
    """The renewal sent at ``sent_ms`` may not have taken effect."""

    session_id: str
    sent_ms: int


@attrs.frozen
class SessionRevoked(Event):
    """The session was revoked in the table."""

    session_id: str


@attrs.frozen
class TablePolled(Event):
    """The table's current state of membership and bundles."""

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
    """The platform's list of workers and instances, which may lag."""

    workers: tuple[WorkerInfo, ...]
    instances: tuple[str, ...]


@attrs.frozen
class OwnershipWritten(Event):
    """A change of ownership took effect."""

    ownership: Ownership
    ownership_version: int
    revoked: tuple[str, ...] = ()


@attrs.frozen
class OwnershipRefused(Event):
    """Another instance changed the ownership first.

    The event holds the current row: units that it assigns to others must
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
    """The durable state of a unit was loaded for an epoch."""

    session_id: str
    unit: str
    epoch: int
    ledger: Ledger


@attrs.frozen
class PeerReceived(Event):
    """Messages from one peer, in order."""

    session_id: str
    instance_id: str
    sequence: int
    messages: tuple[t.Any, ...]


@attrs.frozen
class PeerFailed(Event):
    """Delivery to a peer failed; its messages may be lost."""

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
    """A sync got no valid answer, or was refused for its epoch."""

    worker_id: str
    epoch: int
    sequence: int
    refused: bool = False


@attrs.frozen
class RequestArrived(Event):
    """A caller sent a request to a service."""

    call_id: int
    request: ServiceRequest


@attrs.frozen
class EndpointReplied(Event):
    """A request that was sent to an endpoint ended."""

    dispatch_id: int
    outcome: RequestOutcome
    elapsed_ms: float = 0.0
    endpoint_leaving: bool = False
    request_id: str = ''
    body_bytes: int = 0


@attrs.frozen
class JobRequested(Event):
    """A caller requested an operation on a job."""

    call_id: int
    action: str
    job_id: str
    team: str = ''
    spec: JobSpec | None = None
    digest: str = ''


@attrs.frozen
class ReportRequested(Event):
    """An operator requested a report merged over all instances."""

    call_id: int
    kind: str


@attrs.frozen
class CallExpired(Event):
    """A caller's or operator's call timed out."""

    call_id: int


@attrs.frozen
class StopRequested(Event):
    """A planned stop of the instance was requested."""


@attrs.frozen
class BundleLearned(Event):
    """The shell verified a bundle from the table or from a peer.

    ``bundle`` is absent if that failed; ``number`` orders bundles.
    """

    number: int
    approved: str
    bundle: t.Any


@attrs.frozen
class BundleFetched(Event):
    """A bundle was fetched from a peer and is not yet verified."""

    number: int
    approved: str
