"""An instance's process in a simulated fleet, which can be paused."""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError
from tulippin.messages import BundleSent, RequestOutcome, ServiceRequest
from tulippin.ports import (
    Condition,
    EndpointReply,
    Envelope,
    InstanceList,
    Row,
    Write,
)
from tulippin.shell import Shell
from tulippin.types import OutcomeKind
from tulippin.worker_types import WorkerReport, WorkerSync

if t.TYPE_CHECKING:
    from tulippin._fleet import Fleet


@attrs.define
class Gate:
    """Blocks the sends and receives of a process while it is paused."""

    opened: trio.Event | None = None

    def close(self) -> None:
        """Pause the process."""
        if self.opened is None:
            self.opened = trio.Event()

    def open(self) -> None:
        """Resume the process."""
        if self.opened is not None:
            self.opened.set()
            self.opened = None

    async def wait(self) -> None:
        """Wait until the process runs."""
        while self.opened is not None:
            await self.opened.wait()


@attrs.define
class Process:
    """An instance's process: its shell and its ports.

    It is its own port to the table, directory, workers, endpoints and
    peers, by way of the fleet's stand-ins. Calls wait at the gate, as a
    paused process neither sends nor receives.
    """

    name: str
    instance_id: str
    fleet: Fleet
    gate: Gate = attrs.field(factory=Gate)
    shell: Shell | None = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ended: trio.Event = attrs.field(factory=trio.Event)
    calls: int = 0

    # table and objects

    async def get(self, key: str) -> Row | None:
        """Return a row of the table."""
        await self.gate.wait()
        found = await self.fleet.table.get(key, self.instance_id)
        await self.gate.wait()
        return found

    async def scan(self, prefix: str) -> list[tuple[str, Row]]:
        """Return the rows of the table whose keys begin with a prefix."""
        await self.gate.wait()
        found = await self.fleet.table.scan(prefix, self.instance_id)
        await self.gate.wait()
        return found

    async def commit(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Commit a transaction to the table; return its version or 0."""
        await self.gate.wait()
        version = await self.fleet.table.commit(
            conditions, writes, self.instance_id
        )
        await self.gate.wait()
        return version

    async def list_instances(self) -> InstanceList:
        """Return the platform's list of workers and instances."""
        await self.gate.wait()
        return await self.fleet.directory.list_instances()

    async def sync(self, address: str, message: WorkerSync) -> WorkerReport:
        """Send a sync to a worker, which may receive it late or twice."""
        await self.gate.wait()
        worker = self.fleet.workers[address]
        network = self.fleet.network
        await network.transmit(self.instance_id, address)
        report = worker.sync(message)
        if network.rng.random() < network.faults.duplicate_share:
            self.fleet.redeliver_sync(worker, message)
        await network.transmit(address, self.instance_id)
        await self.gate.wait()
        return report

    async def call(
        self, address: str, request: ServiceRequest, epoch: int
    ) -> EndpointReply:
        """Send a request to a worker's service."""
        await self.gate.wait()
        worker = self.fleet.workers[address]
        if not worker.alive or self.fleet.network.is_cut(
            self.instance_id, address
        ):
            return EndpointReply(RequestOutcome(OutcomeKind.NOT_RUN, 'refused'))
        try:
            await self.fleet.network.transmit(self.instance_id, address)
            reply = await self.fleet.serve(worker, request, epoch)
            await self.fleet.network.transmit(address, self.instance_id)
        except UnavailableError:
            reply = EndpointReply(RequestOutcome(OutcomeKind.UNKNOWN, 'broken'))
        await self.gate.wait()
        return reply

    async def fetch_bundle(self, address: str) -> BundleSent | None:
        """Return the bundle that the process at an address holds."""
        await self.gate.wait()
        await self.fleet.network.transmit(self.instance_id, address)
        target = self.fleet.find_process(address)
        if target is None or target.shell is None:
            raise UnavailableError('no process listens at the address')
        state = target.shell.state
        if not state.bundle_number:
            return None
        return BundleSent(state.bundle_number, state.bundle_approved)

    async def deliver(self, address: str, envelope: Envelope) -> None:
        """Deliver an envelope to the process at an address."""
        await self.gate.wait()
        network = self.fleet.network
        await network.transmit(self.instance_id, address)
        target = self.fleet.find_process(address)
        if target is None or target.shell is None:
            raise UnavailableError('no process listens at the address')
        await target.gate.wait()
        target.shell.receive(envelope)
        if network.rng.random() < network.faults.duplicate_share:
            self.fleet.redeliver_envelope(address, envelope)
        await network.transmit(address, self.instance_id)
        await self.gate.wait()


@attrs.define
class ObjectsClient:
    """The object store as a process reaches it."""

    process: Process

    async def put(self, key: str, body: bytes) -> None:
        """Write an object."""
        await self.process.gate.wait()
        fleet = self.process.fleet
        await fleet.objects.put(key, body, self.process.instance_id)
        await self.process.gate.wait()

    async def get(self, key: str) -> bytes | None:
        """Return an object."""
        await self.process.gate.wait()
        fleet = self.process.fleet
        body = await fleet.objects.get(key, self.process.instance_id)
        await self.process.gate.wait()
        return body

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.process.gate.wait()
        fleet = self.process.fleet
        await fleet.objects.delete(key, self.process.instance_id)


class GatedShell(Shell):
    """A shell whose event loop stops while its process is paused."""

    gate: Gate

    async def _run(self) -> None:
        while True:
            if not self._inbox:
                self._wake = trio.Event()
                await self._wake.wait()
            await self.gate.wait()
            if self._inbox:
                self.step(self._inbox.popleft())
            await trio.lowlevel.checkpoint()
