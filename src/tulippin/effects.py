"""Effects: everything that the reducer asks the shell to do."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.messages import JobReply, RequestOutcome, ServiceRequest
from tulippin.records import UnitRecord
from tulippin.types import Holder, LeaseRow, Ownership
from tulippin.worker_types import WorkerSync


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class OpenSession(Effect):
    """Put a new session into the table; retried until it is there."""


@attrs.frozen
class CloseSession(Effect):
    """Delete the session's rows; the instance has left."""

    session_id: str


@attrs.frozen
class RenewLease(Effect):
    """Renew the session's lease."""

    session_id: str
    renewal_count: int
    bundle_number: int
    leaving: bool


@attrs.frozen
class PollTable(Effect):
    """Read membership, ownership and the bundle's head."""


@attrs.frozen
class ListWorkers(Effect):
    """Read the platform's list."""


@attrs.frozen
class WriteOwnership(Effect):
    """Replace the ownership row if it still has the version.

    Sessions in ``revoke`` are revoked in the same transaction, which
    fences their journals; each only if its lease row still has the
    version that was watched (zero: the row is gone). ``bases`` are put
    into the object store first.
    """

    session_id: str
    ownership: Ownership
    expected_version: int
    revoke: tuple[LeaseRow, ...] = ()
    bases: tuple[tuple[str, bytes], ...] = ()


@attrs.frozen
class CommitJournal(Effect):
    """Make records durable as one row."""

    session_id: str
    sequence: int
    records: tuple[UnitRecord, ...]


@attrs.frozen
class PublishSnapshot(Effect):
    """Publish the state of all owned units after ``sequence``."""

    session_id: str
    sequence: int
    body: bytes
    units: tuple[tuple[str, int], ...]


@attrs.frozen
class LoadUnit(Effect):
    """Read a unit's state from its last owner and publish it."""

    session_id: str
    unit: str
    holder: Holder


@attrs.frozen
class SendPeer(Effect):
    """Send messages to a peer's session, after those sent before."""

    session_id: str
    address: str
    messages: tuple[t.Any, ...]


@attrs.frozen
class SyncWorker(Effect):
    """Send a sync to a worker."""

    address: str
    sync: WorkerSync


@attrs.frozen
class CallEndpoint(Effect):
    """Send a request to a service's task on a worker, once."""

    dispatch_id: int
    worker_id: str
    address: str
    epoch: int
    request: ServiceRequest
    timeout_ms: int


@attrs.frozen
class AnswerRequest(Effect):
    """Give a caller the outcome of its request."""

    call_id: int
    outcome: RequestOutcome


@attrs.frozen
class AnswerJob(Effect):
    """Give a caller the reply to its job operation."""

    call_id: int
    reply: JobReply


@attrs.frozen
class AnswerReport(Effect):
    """Give an operator the parts of a merged report."""

    call_id: int
    bodies: tuple[str, ...]
    missing: tuple[str, ...] = ()


@attrs.frozen
class VerifyBundle(Effect):
    """Check an approved bundle's signatures; ``BundleLearned`` follows."""

    number: int
    approved: str


@attrs.frozen
class FetchBundle(Effect):
    """Ask the instance at an address for the bundle that it holds."""

    address: str


@attrs.frozen
class MarkInForce(Effect):
    """Record that every live instance holds the bundle."""

    number: int


@attrs.frozen
class ObserveLatency(Effect):
    """Count one service request for the metrics."""

    service: str
    policy: str
    cell: str
    latency_ms: float
    queued_ms: float
    outcome: str


@attrs.frozen
class Leave(Effect):
    """All is handed over: the process may exit."""
