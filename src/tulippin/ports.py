"""Narrow interfaces to everything outside; one adapter module each."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.messages import BundleSent, RequestOutcome, ServiceRequest
from tulippin.types import WorkerInfo
from tulippin.worker_types import WorkerReport, WorkerSync


@attrs.frozen
class Row:
    """A row of the table; its version rises with every write."""

    value: str
    version: int


@attrs.frozen
class Condition:
    """A transaction's demand: the row has this version; 0 is absent."""

    key: str
    version: int


@attrs.frozen
class Write:
    """A transaction's change of one row; no value deletes it."""

    key: str
    value: str | None


class Table(t.Protocol):
    """The platform's transactional table service.

    Every method raises ``UnavailableError`` if it surely did nothing;
    ``commit`` raises ``AnswerLostError`` if it may have taken effect.
    """

    async def get(self, key: str) -> Row | None:
        """Return a row."""

    async def scan(self, prefix: str) -> list[tuple[str, Row]]:
        """Return all rows whose key begins with a prefix, in key order."""

    async def commit(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply all writes if all conditions hold.

        Returns the version of the rows written, or 0 if a condition
        did not hold and nothing was done.
        """


class Objects(t.Protocol):
    """The platform's object store; an object is written whole."""

    async def put(self, key: str, body: bytes) -> None:
        """Write an object."""

    async def get(self, key: str) -> bytes | None:
        """Return an object."""

    async def delete(self, key: str) -> None:
        """Delete an object, if it is there."""


@attrs.frozen
class InstanceList:
    """The platform's lagging list: workers, and our own instances."""

    workers: tuple[WorkerInfo, ...]
    instances: tuple[str, ...]


class Directory(t.Protocol):
    """The platform's list of live and leaving instances."""

    async def list_instances(self) -> InstanceList:
        """Return the list as the platform has it now."""


class Workers(t.Protocol):
    """The agents that the platform runs on its workers."""

    async def sync(self, address: str, message: WorkerSync) -> WorkerReport:
        """Send a sync and return the report.

        Raises ``FencedError`` if the worker saw a higher epoch.
        """


@attrs.frozen
class EndpointReply:
    """What came of one request sent to an endpoint.

    Parameters
    ----------
    outcome : RequestOutcome
        The outcome, with the body as far as it came.
    leaving : bool
        The endpoint says that it is leaving.
    request_id : str
        The request that the answer names as its own.
    body_bytes : int
        The length that the answer gives for its body.
    """

    outcome: RequestOutcome
    leaving: bool = False
    request_id: str = ''
    body_bytes: int = 0


class Endpoints(t.Protocol):
    """The services' tasks, by their worker's address."""

    async def call(
        self, address: str, request: ServiceRequest, epoch: int
    ) -> EndpointReply:
        """Send one request, once, and return its outcome."""


@attrs.frozen
class Envelope:
    """Messages of one session to another, in order."""

    session_id: str
    instance_id: str
    sequence: int
    messages: tuple[t.Any, ...]


class Peers(t.Protocol):
    """The other instances."""

    async def deliver(self, address: str, envelope: Envelope) -> None:
        """Deliver an envelope; an error means that it may be lost."""

    async def fetch_bundle(self, address: str) -> BundleSent | None:
        """Return the bundle that the instance at an address holds."""


@attrs.frozen
class Ports:
    """Everything that a shell reaches."""

    table: Table
    objects: Objects
    directory: Directory
    workers: Workers
    endpoints: Endpoints
    peers: Peers
