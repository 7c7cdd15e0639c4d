"""A fleet within one process: real shells over in-memory stand-ins."""

from __future__ import annotations

import contextlib
import random
import typing as t

import attrs
import trio

from tulippin._fake_network import FakeNetwork
from tulippin._fake_platform import FakeDirectory, FakeObjects, FakeTable
from tulippin._fake_process import GatedShell, ObjectsClient, Process
from tulippin._fake_worker import FakeWorker
from tulippin.bundle_store import BundleStore
from tulippin.bundles import compute_digest, make_key, sign
from tulippin.events import BundleLearned, Event
from tulippin.exceptions import FencedError, UnavailableError
from tulippin.history import History
from tulippin.messages import RequestOutcome, ServiceRequest
from tulippin.ports import EndpointReply, Envelope, Ports
from tulippin.shell import Shell
from tulippin.state import Config
from tulippin.types import JobSpec, OutcomeKind, Resources, WorkerInfo
from tulippin.worker_types import WorkerSync

_MS_PER_S: t.Final = 1000


@attrs.frozen
class FleetSize:
    """Numbers of instances, cells and workers, and the workers' size."""

    instance_count: int = 3
    cell_count: int = 3
    workers_per_cell: int = 3
    capacity: Resources = Resources(8000, 32768)
    slot_count: int = 8
    domain_count: int = 3
    region_count: int = 1


class Fleet:
    """Runs instances, workers and a platform; an async context manager.

    Parameters
    ----------
    size : FleetSize
        Number of instances and workers.
    seed : int
        Seed of all random choices.
    overrides : dict
        Fields of ``Config`` to override on each instance.
    """

    def __init__(
        self,
        size: FleetSize | None = None,
        seed: int = 1,
        overrides: t.Mapping[str, t.Any] | None = None,
    ) -> None:
        self.size = size or FleetSize()
        self.rng = random.Random(seed)
        self.overrides = dict(overrides or {})
        self.overrides.setdefault('range_count', 6)
        self.overrides.setdefault(
            'peer_seeds',
            tuple(
                f'instance-{number}'
                for number in range(self.size.instance_count)
            ),
        )
        self.history = History(self.get_now_ms)
        self.table = FakeTable(rng=self._fork())
        # Both stores share one budget, so they share one meter.
        self.objects = FakeObjects(rng=self._fork(), meter=self.table.meter)
        self.directory = FakeDirectory()
        self.network = FakeNetwork(self._fork())
        self.workers: dict[str, FakeWorker] = {}
        self.processes: dict[str, Process] = {}
        self.operators: dict[str, str] = {}
        self.keys: dict[str, str] = {}
        self.event_count = 0
        self.request_count = 0
        self._manager: t.Any = None
        self.nursery: trio.Nursery | None = None
        for operator in ('alice', 'bob'):
            self.operators[operator], self.keys[operator] = make_key()

    def _fork(self) -> random.Random:
        return random.Random(self.rng.getrandbits(32))

    @staticmethod
    def get_now_ms() -> int:
        """Return the time of the clock that the history uses."""
        return int(trio.current_time() * _MS_PER_S)

    async def __aenter__(self) -> t.Self:
        """Start workers and instances."""
        self._manager = trio.open_nursery()
        self.nursery = await self._manager.__aenter__()
        self._add_workers()
        for number in range(self.size.instance_count):
            self.start_instance(f'instance-{number}')
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Cancel all processes and end the history."""
        for worker in self.workers.values():
            worker.advance()
        self.history.note('end')
        self.nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*details)

    def _add_workers(self) -> None:
        for cell in range(self.size.cell_count):
            for number in range(self.size.workers_per_cell):
                self.add_worker(f'worker-{cell}-{number}', cell)
        self.directory.publish()

    def add_worker(self, worker_id: str, cell: int) -> FakeWorker:
        """Add one worker to a cell."""
        domain = f'domain-{cell % self.size.domain_count}'
        info = WorkerInfo(
            worker_id,
            worker_id,
            f'cell-{cell}',
            domain,
            self.size.capacity,
            self.size.slot_count,
            region=self.get_region(domain),
        )
        worker = FakeWorker(
            info,
            self.history.note,
            self._fork(),
            self.rng.randrange(100000),
        )
        self.workers[worker_id] = worker
        self.directory.workers[worker_id] = info
        self.network.domains[worker_id] = domain
        self.history.note(
            'worker',
            worker_id=worker_id,
            capacity=info.capacity,
            slot_count=info.slot_count,
        )
        return worker

    def get_region(self, domain: str) -> str:
        """Return the region of a failure domain."""
        number = int(domain.rpartition('-')[2])
        per_region = -(-self.size.domain_count // self.size.region_count)
        return f'region-{number // per_region}'

    # instances

    def start_instance(self, instance_id: str) -> Process:
        """Start a new process of an instance."""
        start_count = sum(
            process.instance_id == instance_id
            for process in self.processes.values()
        )
        name = f'{instance_id}#{start_count}'
        process = Process(name, instance_id, self)
        number = int(instance_id.rpartition('-')[2])
        domain = f'domain-{number % self.size.domain_count}'
        self.network.domains[instance_id] = domain
        config = Config(
            instance_id,
            domain,
            instance_id,
            self.get_region(domain),
            **self.overrides,
        )
        shell = GatedShell(
            config,
            Ports(
                process,
                ObjectsClient(process),
                process,
                process,
                process,
                process,
            ),
            self.keys,
            clock=self.get_now_ms,
            wall=self.get_now_ms,
            seed=self.rng.getrandbits(32),
            recorder=self._make_recorder(name),
        )
        shell.gate = process.gate
        process.shell = shell
        self.processes[name] = process
        self.directory.instances.add(instance_id)
        self.directory.publish()
        self.history.note('instance_up', process=name)
        self.nursery.start_soon(self._run_process, process)
        return process

    def _make_recorder(self, name: str) -> t.Callable[..., None]:
        def record(event: Event, effects: t.Any) -> None:
            self.event_count += 1
            if isinstance(event, BundleLearned) and event.bundle is not None:
                shell = self.processes[name].shell
                self.history.note(
                    'bundle_taken',
                    process=name,
                    number=shell.state.bundle_number,
                )

        return record

    async def _run_process(self, process: Process) -> None:
        with process.scope:
            async with process.shell:
                await process.shell.left.wait()
        process.ended.set()
        process.shell = None
        self.history.note('instance_down', process=process.name)

    def find_process(self, instance_id: str) -> Process | None:
        """Return the running process of an instance, or ``None``."""
        for process in self.processes.values():
            if process.instance_id == instance_id and process.shell:
                return process
        return None

    def iter_live(self) -> list[Process]:
        """Return the running processes."""
        return [process for process in self.processes.values() if process.shell]

    def get_ready_processes(self) -> list[Process]:
        """Return the running processes that report themselves ready."""
        return [
            process
            for process in self.iter_live()
            if not process.shell.get_unready()
        ]

    def crash(self, instance_id: str) -> None:
        """Kill an instance's process."""
        process = self.find_process(instance_id)
        if process is not None:
            self.history.note('instance_crashed', instance_id=process.name)
            process.scope.cancel()
            process.gate.open()

    async def pause(self, instance_id: str, pause_s: float) -> None:
        """Pause an instance's process for ``pause_s``."""
        process = self.find_process(instance_id)
        if process is None:
            return
        self.history.note(
            'disturbed', until_ms=self.get_now_ms() + int(pause_s * _MS_PER_S)
        )
        process.gate.close()
        await trio.sleep(pause_s)
        process.gate.open()

    async def stop(self, instance_id: str) -> None:
        """Stop an instance in a planned way and wait until it has ended."""
        process = self.find_process(instance_id)
        if process is None or process.shell is None:
            return
        self.history.note('stop_began', instance_id=process.name)
        process.shell.stop()
        await process.ended.wait()

    def record_unreachable(self, worker_id: str, for_s: float) -> None:
        """Record that some instances can't reach a worker for ``for_s``."""
        self.history.note(
            'worker_hidden',
            worker_id=worker_id,
            until_ms=self.get_now_ms() + int(for_s * _MS_PER_S),
        )

    # network

    def redeliver_sync(self, worker: FakeWorker, message: WorkerSync) -> None:
        """Deliver a sync a second time within the next 5 s."""

        async def redeliver() -> None:
            await trio.sleep(self.rng.random() * 5)
            try:
                worker.sync(message)
            except (UnavailableError, FencedError):
                return

        self.nursery.start_soon(redeliver)

    def redeliver_envelope(self, address: str, envelope: Envelope) -> None:
        """Deliver an envelope a second time within the next 5 s."""

        async def redeliver() -> None:
            await trio.sleep(self.rng.random() * 5)
            target = self.find_process(address)
            if target is not None and target.shell is not None:
                target.shell.receive(envelope)

        self.nursery.start_soon(redeliver)

    async def serve(
        self, worker: FakeWorker, request: ServiceRequest, epoch: int
    ) -> EndpointReply:
        """Run a request on a worker and return its reply.

        The request runs to its end even if the caller is cancelled.
        """
        done = trio.Event()
        replies: list[EndpointReply] = []

        async def run() -> None:
            with contextlib.suppress(UnavailableError):
                replies.append(await worker.call(request, epoch))
            done.set()

        self.nursery.start_soon(run)
        await done.wait()
        if not replies:
            raise UnavailableError('the connection broke')
        return replies[0]

    # callers and operators

    async def request(
        self,
        service: str,
        *,
        request_id: str = '',
        repeatable: bool = True,
        deadline_ms: int = 2000,
        body: str = 'hello',
        process: Process | None = None,
    ) -> RequestOutcome:
        """Send a request to a random or given process; return the outcome."""
        self.request_count += 1
        request_id = request_id or f'request-{self.request_count}'
        process = process or self.rng.choice(self.iter_live())
        digest = compute_digest(body)
        request = ServiceRequest(
            request_id, 'team', service, repeatable, body, deadline_ms, digest
        )
        self.history.note(
            'caller_sent', request_id=request_id, repeatable=repeatable
        )
        outcome = RequestOutcome(OutcomeKind.UNKNOWN, 'connection_lost')
        outcome_name = 'cut'
        finished, result = await self._wait_for_answer(process, request)
        if finished:
            outcome = result
            outcome_name = outcome.kind.value
        self.history.note(
            'caller_answered',
            request_id=request_id,
            instance_id=process.name,
            outcome=outcome_name,
            code=outcome.code,
            body=outcome.body,
            expected=f'{service}:{request_id}:{body}',
        )
        return outcome

    async def _wait_for_answer(
        self, process: Process, request: ServiceRequest
    ) -> tuple[bool, t.Any]:
        """Wait for an answer until the process ends.

        Return whether it was answered, and the answer.
        """
        answers: list[t.Any] = []

        async def ask(shell: Shell) -> None:
            answers.append(await shell.request(request))
            nursery.cancel_scope.cancel()

        async def watch() -> None:
            await process.ended.wait()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            if process.shell is not None:
                nursery.start_soon(ask, process.shell)
            nursery.start_soon(watch)
        return bool(answers), answers[0] if answers else None

    async def submit(self, spec: JobSpec) -> str:
        """Submit a job to a random running instance; return the code."""
        process = self.rng.choice(self.iter_live())
        digest = compute_digest(repr(spec))
        code = 'unknown'
        answers: list[str] = []

        async def ask(shell: Shell) -> None:
            reply = await shell.operate_job('submit', spec.job_id, spec, digest)
            answers.append(reply.code)
            nursery.cancel_scope.cancel()

        async def watch() -> None:
            await process.ended.wait()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, process.shell)
            nursery.start_soon(watch)
        if answers:
            code = answers[0]
        outcome_names = {'ok': 'accepted', 'unknown': 'unknown'}
        self.history.note(
            'job_answered',
            job_id=spec.job_id,
            outcome=outcome_names.get(code, 'not_run'),
            code=code,
        )
        return code

    async def submit_surely(self, spec: JobSpec) -> None:
        """Submit a job repeatedly until it is accepted."""
        while await self.submit(spec) != 'ok':
            await trio.sleep(0.5)

    async def roll_bundle(self, text: str) -> int:
        """Propose, approve and roll a bundle; return its number."""
        store = BundleStore(self.table, self.keys)
        digest = compute_digest(text)
        alice, bob = self.operators['alice'], self.operators['bob']
        row = await store.propose(
            text, sign(alice, 'alice', 'propose', 0, digest)
        )
        number = row.number
        await store.approve(number, sign(bob, 'bob', 'approve', number, digest))
        await store.roll(number, sign(alice, 'alice', 'roll', number, digest))
        self.history.note('bundle_accepted', number=number)
        return number

    async def wait_for(
        self, condition: t.Callable[[], bool], limit_s: float = 120.0
    ) -> bool:
        """Wait for a condition; return whether it held within the limit."""
        with trio.move_on_after(limit_s):
            while not condition():
                await trio.sleep(0.05)
            return True
        return False

    def count_active(self) -> int:
        """Return the number of units that running processes actively own."""
        return sum(
            unit.phase.value == 'active'
            for process in self.iter_live()
            for unit in process.shell.state.iter_units()
        )

    async def wait_ready(self, limit_s: float = 60.0) -> bool:
        """Wait until every unit has an active owner."""
        total = self.size.cell_count + self.overrides['range_count']
        return await self.wait_for(
            lambda: self.count_active() >= total, limit_s
        )
