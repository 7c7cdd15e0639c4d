"""Effects: the only output of the reducer, performed by the shell."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.messages import JobReply, RequestOutcome, ServiceRequest
from tulippin.records import UnitRecord
from tulippin.types import Holder, LeaseRow, Ownership
from tulippin.worker_types import WorkerSync


@attrs.frozen
class Effect:
    """Base class of all effects."""


@attrs.frozen
class OpenSession(Effect):
    """Write a new session to the table, retrying until that succeeds."""


@attrs.frozen
class CloseSession(Effect):
    """Close the session and delete its lease, as the instance leaves."""

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
    """Read the platform's list of workers and instances."""


@attrs.frozen
class WriteOwnership(Effect):
    """Replace the ownership row if it still has the expected version.

    Sessions in ``revoke`` are revoked in the same transaction, which fences
    their journals. That requires each lease row to have the version that was
    last observed (0: the row is absent). ``bases`` are written to the object
    store beforehand.
    """

    session_id: str
    ownership: Ownership
    expected_version: int
    revoke: tuple[LeaseRow, ...] = ()
    bases: tuple[tuple[str, bytes], ...] = ()


@attrs.frozen
class CommitJournal(Effect):
    """Write records to the journal as one row."""

    session_id: str
    sequence: int
    records: tuple[UnitRecord, ...]


@attrs.frozen
class PublishSnapshot(Effect):
    """Publish the state of all owned units as of ``sequence``."""

    session_id: str
    sequence: int
    body: bytes
    units: tuple[tuple[str, int], ...]


@attrs.frozen
class LoadUnit(Effect):
    """Read a unit's state as its last owner left it."""

    session_id: str
    unit: str
    holder: Holder


@attrs.frozen
class SendPeer(Effect):
    """Send messages to a peer's session, in order with earlier ones."""

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
    """Send a request to a service's task on a worker, without retries."""

    dispatch_id: int
    worker_id: str
    address: str
    epoch: int
    request: ServiceRequest
    timeout_ms: int


@attrs.frozen
class AnswerRequest(Effect):
    """Return the outcome of a request to its caller."""

    call_id: int
    outcome: RequestOutcome


@attrs.frozen
class AnswerJob(Effect):
    """Return the reply to a job operation to its caller."""

    call_id: int
    reply: JobReply


@attrs.frozen
class AnswerReport(Effect):
    """Return the parts of a merged report to an operator."""

    call_id: int
    bodies: tuple[str, ...]
    missing: tuple[str, ...] = ()


@attrs.frozen
class VerifyBundle(Effect):
    """Verify an approved bundle; the result is ``BundleLearned``."""

    number: int
    approved: str


@attrs.frozen
class FetchBundle(Effect):
    """Fetch the bundle that the instance at an address holds."""

    address: str


@attrs.frozen
class MarkInForce(Effect):
    """Record that every live instance holds the bundle."""

    number: int


@attrs.frozen
class ObserveLatency(Effect):
    """Record one service request in the metrics."""

    service: str
    policy: str
    cell: str
    latency_ms: float
    queued_ms: float
    outcome: str


@attrs.frozen
class Leave(Effect):
    """All units are handed over; the process may exit."""
