"""Interfaces between an instance and its environment.

Each is implemented by one adapter module, and by a fake for tests.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.messages import BundleSent, RequestOutcome, ServiceRequest
from tulippin.types import WorkerInfo
from tulippin.worker_types import WorkerReport, WorkerSync


@attrs.frozen
class Row:
    """A row of the table; each write increases its version."""

    value: str
    version: int


@attrs.frozen
class Condition:
    """A transaction's condition on a row's version; 0 means absent."""

    key: str
    version: int


@attrs.frozen
class Write:
    """A transaction's change of one row; a value of ``None`` deletes it."""

    key: str
    value: str | None


class Table(t.Protocol):
    """The platform's transactional table service.

    Each method raises ``UnavailableError`` if it certainly had no effect;
    ``commit`` raises ``AnswerLostError`` if it may have had one.
    """

    async def get(self, key: str) -> Row | None:
        """Return a row, or nothing if it is absent."""

    async def scan(self, prefix: str) -> list[tuple[str, Row]]:
        """Return all rows whose key begins with a prefix, in key order."""

    async def commit(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply all writes if all conditions hold.

        Returns the version of the rows written, or 0 if a condition
        did not hold and nothing was written.
        """


class Objects(t.Protocol):
    """The platform's object store; objects are written atomically."""

    async def put(self, key: str, body: bytes) -> None:
        """Write an object."""

    async def get(self, key: str) -> bytes | None:
        """Return an object, or nothing if it is absent."""

    async def delete(self, key: str) -> None:
        """Delete an object if it exists."""


@attrs.frozen
class InstanceList:
    """The platform's list of workers and instances, which may lag."""

    workers: tuple[WorkerInfo, ...]
    instances: tuple[str, ...]


class Directory(t.Protocol):
    """The platform's list of live and leaving instances."""

    async def list_instances(self) -> InstanceList:
        """Return the platform's current list."""


class Workers(t.Protocol):
    """The platform's agents on the workers."""

    async def sync(self, address: str, message: WorkerSync) -> WorkerReport:
        """Send a sync and return the report.

        Raises ``FencedError`` if the worker has seen a higher epoch.
        """


@attrs.frozen
class EndpointReply:
    """The result of one request to an endpoint.

    Parameters
    ----------
    outcome : RequestOutcome
        The outcome, with the part of the body that was received.
    leaving : bool
        Whether the endpoint announced that it is leaving.
    request_id : str
        Id of the request that the answer refers to.
    body_bytes : int
        Length of the body according to the answer.
    """

    outcome: RequestOutcome
    leaving: bool = False
    request_id: str = ''
    body_bytes: int = 0


class Endpoints(t.Protocol):
    """The services' tasks, addressed by their workers."""

    async def call(
        self, address: str, request: ServiceRequest, epoch: int
    ) -> EndpointReply:
        """Send one request without retries and return its outcome."""


@attrs.frozen
class Envelope:
    """Messages from one session to another, in order."""

    session_id: str
    instance_id: str
    sequence: int
    messages: tuple[t.Any, ...]


class Peers(t.Protocol):
    """The other instances."""

    async def deliver(self, address: str, envelope: Envelope) -> None:
        """Deliver an envelope; after an error it may be lost."""

    async def fetch_bundle(self, address: str) -> BundleSent | None:
        """Return the bundle that the instance at an address holds."""


@attrs.frozen
class Ports:
    """All interfaces that a shell uses."""

    table: Table
    objects: Objects
    directory: Directory
    workers: Workers
    endpoints: Endpoints
    peers: Peers
