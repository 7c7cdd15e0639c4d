"""In-memory stand-in of the platform: store, worker list and workers.

Tests and benchmarks run it in virtual time. It records a history of runs, in
which ``check_history`` finds violations of the scheduler's guarantees. It is
in this package because it encodes the platform's messages.
"""

from __future__ import annotations

import collections
import typing as t

import attrs
import msgspec
import trio

from tulippin.jobs.ports import Advice
from tulippin.jobs.types import RunOutcome, TaskKey
from tulippin.platform.standin_connections import StandinClient
from tulippin.platform.standin_store import StandinStore
from tulippin.platform.standin_worker import (
    RunEvent,
    StandinWorker,
    TaskPlan,
    get_now_ms,
)
from tulippin.platform.wire import ConfigBody
from tulippin.platform.workers import PlatformWorkers

__all__ = (
    'EVACUATION_MS',
    'Evacuation',
    'StandinAdvisor',
    'StandinAgents',
    'StandinPlatform',
    'StandinWorker',
    'TaskPlan',
    'check_history',
    'get_now_ms',
)

_WORKER_LATENCY_S: t.Final = 0.001
_HEARTBEAT_INTERVAL_S: t.Final = 1.1
_ADVICE_LATENCY_S: t.Final = 0.03
# Time after the start of an evacuation until the last start there.
EVACUATION_MS: t.Final = 5000
# An entry expires after three missed heartbeats.
_ENTRY_EXPIRY_MS: t.Final = 3300
# Once a task has crashed this many workers, it may be started only a limited
# number of times more.
_CRASH_LIMIT: t.Final = 3
_MAX_STARTS_AFTER_CRASHES: t.Final = 2


@attrs.define
class Evacuation:
    """Evacuation of a failure domain; ``ended_ms`` is None until it ends.

    ``known_by_ms`` is when every owner must have stopped to start runs there.
    """

    failure_domain: str
    known_by_ms: int
    ended_ms: int | None = None

    def forbids(self, event: RunEvent, failure_domain: str) -> bool:
        """Whether a run may not be started by an event in a domain."""
        is_late = event.at_ms > self.known_by_ms
        is_over = self.ended_ms is not None and event.at_ms >= self.ended_ms
        return failure_domain == self.failure_domain and is_late and not is_over


@attrs.define
class StandinPlatform:
    """The whole platform; run ``serve`` in a nursery.

    A crashed worker restarts after ``restart_delay_ms``, unless that is None,
    as another incarnation at the same address: under its old id if
    ``are_ids_kept``, otherwise under a new one. With ``are_calls_forwarded``,
    connections to workers outlast the incarnations that accepted them.
    """

    store: StandinStore = attrs.field(factory=StandinStore)
    workers: dict[str, StandinWorker] = attrs.field(factory=dict)
    history: list[RunEvent] = attrs.field(factory=list)
    sequence: int = 0
    evacuations: list[Evacuation] = attrs.field(factory=list)
    restart_delay_ms: int | None = None
    are_ids_kept: bool = False
    are_calls_forwarded: bool = False
    incarnation_count: int = 0

    def add_worker(self, worker_id: str, **options: t.Any) -> StandinWorker:
        """Start a worker, by default at an address of its own.

        Raises
        ------
        ValueError
            If a worker of this id is up: its runs would go on unseen.
        """
        known = self.workers.get(worker_id)
        if known is not None and known.is_up:
            raise ValueError(f'{worker_id} is up; choose another id')
        address = options.pop('address', f'10.9.0.{len(self.workers)}:80')
        worker = StandinWorker(worker_id, address, self.history, **options)
        self.workers[worker_id] = worker
        self.publish_entry(worker)
        return worker

    def configure(self, body: ConfigBody) -> None:
        """Publish the operators' configuration."""
        self.store.write('op', '', 'config', msgspec.json.encode(body))

    def evacuate(self, failure_domain: str) -> None:
        """Have the operators evacuate a failure domain."""
        known_by_ms = get_now_ms() + EVACUATION_MS
        self.evacuations.append(Evacuation(failure_domain, known_by_ms))
        self.store.write('op', '', f'evacuate/{failure_domain}', b'{}')

    def end_evacuation(self, failure_domain: str) -> None:
        """Have the operators take back the evacuation of a domain."""
        for one in self.evacuations:
            if one.failure_domain == failure_domain and one.ended_ms is None:
                one.ended_ms = get_now_ms()
        self.store.write('op', '', f'evacuate/{failure_domain}', None)

    def allow_late_evacuations(self) -> None:
        """Count the bound of running evacuations from now, after an outage."""
        for one in self.evacuations:
            if one.ended_ms is None:
                one.known_by_ms = get_now_ms() + EVACUATION_MS

    def list_starts_in_evacuated(self) -> list[str]:
        """Return the starts that an evacuation forbade, as violations."""
        domains = {
            name: one.failure_domain for name, one in self.workers.items()
        }
        return [
            f'start in an evacuated domain: {event}'
            for event in self.history
            if event.kind == 'started'
            and any(
                one.forbids(event, domains[event.worker_id])
                for one in self.evacuations
            )
        ]

    def publish_entry(self, worker: StandinWorker) -> None:
        """Write a worker's entry into the worker list."""
        self.sequence += 1
        body = worker.make_body(self.sequence)
        self.store.write('servers', '', worker.worker_id, body)

    def remove(self, worker_id: str) -> None:
        """Remove a worker's entry from the worker list."""
        self.store.write('servers', '', worker_id, None)

    def drain(self, worker_id: str, leaves_in_ms: int) -> None:
        """Announce that a worker is draining, and end it after a delay."""
        worker = self.workers[worker_id]
        worker.is_draining = True
        worker.leaves_at_ms = get_now_ms() + leaves_in_ms
        self.publish_entry(worker)

    async def serve(self) -> None:
        """Advance the workers and publish their heartbeats."""
        next_heartbeat_s = 0.0
        while True:
            for worker in list(self.workers.values()):
                if worker.is_up:
                    worker.tick()
                    self._end_drained(worker)
                elif worker.crashed_ms is not None:
                    self._recover_crashed(worker)
            if trio.current_time() >= next_heartbeat_s:
                self._publish_entries()
                next_heartbeat_s = trio.current_time() + _HEARTBEAT_INTERVAL_S
            await trio.sleep(0.01)

    def _end_drained(self, worker: StandinWorker) -> None:
        """End a draining worker once its time is over."""
        leaves_at_ms = worker.leaves_at_ms
        if leaves_at_ms is not None and get_now_ms() >= leaves_at_ms:
            worker.crash()
            self.remove(worker.worker_id)

    def _recover_crashed(self, worker: StandinWorker) -> None:
        """Expire the entry of a crashed worker, and restart the worker.

        One that was to leave is not restarted.
        """
        if self.restart_delay_ms is None:
            return
        down_ms = get_now_ms() - worker.crashed_ms
        if down_ms >= _ENTRY_EXPIRY_MS and not worker.is_entry_removed:
            worker.is_entry_removed = True
            self.remove(worker.worker_id)
        if worker.leaves_at_ms is not None:
            return
        if down_ms >= self.restart_delay_ms and not worker.is_restarted:
            if self.are_ids_kept:
                self.restart(worker.worker_id)
            else:
                self._replace(worker)

    def restart(self, worker_id: str) -> StandinWorker:
        """Start a worker again under its id.

        It has no runs, and its clock and its numbers of ends begin anew.
        """
        return self._start_next(self.workers[worker_id], worker_id)

    def _replace(self, worker: StandinWorker) -> None:
        """Start the next incarnation of a worker under a new id."""
        self.incarnation_count += 1
        base_id = worker.worker_id.partition('+')[0]
        self._start_next(
            worker,
            f'{base_id}+{self.incarnation_count}',
            clock_offset_ms=worker.clock_offset_ms,
        )

    def _start_next(
        self, worker: StandinWorker, worker_id: str, **options: t.Any
    ) -> StandinWorker:
        worker.is_restarted = True
        options.setdefault('clock_offset_ms', -get_now_ms())
        return self.add_worker(
            worker_id,
            address=worker.address,
            service=worker.service,
            room=worker.room,
            labels=worker.labels,
            failure_domain=worker.failure_domain,
            lease_limit_ms=worker.lease_limit_ms,
            **options,
        )

    def _publish_entries(self) -> None:
        for worker in self.workers.values():
            if worker.is_up and worker.publishes_entry:
                self.publish_entry(worker)

    def expire_entries(self) -> None:
        """Expire all entries while their workers go on working."""
        for worker in self.workers.values():
            worker.publishes_entry = False
            self.remove(worker.worker_id)

    def resume_heartbeats(self) -> None:
        """Resume the heartbeats after ``expire_entries``."""
        for worker in self.workers.values():
            worker.publishes_entry = True

    def get_agents(self, client: str) -> StandinAgents:
        """Return the workers as seen by a client."""
        return StandinAgents(self, client)


class StandinAgents(PlatformWorkers):
    """The workers as seen by one client, over connections in virtual time.

    Parameters
    ----------
    platform : StandinPlatform
        The platform of the workers.
    client : str
        The name of the client.
    """

    def __init__(self, platform: StandinPlatform, client: str) -> None:
        super().__init__(
            lambda: StandinClient(
                self._reach, self._is_in_reach, self._find_process
            )
        )
        self.platform = platform
        self.client = client

    async def _reach(self, address: str) -> StandinWorker | None:
        """Return the worker that accepts connections at an address."""
        await trio.sleep(_WORKER_LATENCY_S)
        for worker in self.platform.workers.values():
            if worker.address == address and self._is_in_reach(worker):
                return worker
        return None

    def _find_process(self, worker: StandinWorker) -> StandinWorker:
        """Return the process that gets the calls of a connection."""
        if self.platform.are_calls_forwarded:
            return self.platform.workers.get(worker.worker_id, worker)
        return worker

    def _is_in_reach(self, worker: StandinWorker) -> bool:
        is_cut = worker.unreachable_clients & {self.client, '*'}
        return worker.is_up and not is_cut


@attrs.define
class StandinAdvisor:
    """Advice service that allows a set of workers; counts its requests."""

    allowed: set[str] = attrs.field(factory=set)
    valid_ms: int = 3000
    question_count: int = 0

    async def ask(
        self, step: tuple[str, int, int], worker_ids: t.Sequence[str]
    ) -> Advice:
        """Return a ticket for each allowed worker."""
        self.question_count += 1
        await trio.sleep(_ADVICE_LATENCY_S)
        good = self.allowed.intersection(worker_ids)
        tickets = {worker_id: f'{step[0]}-{worker_id}' for worker_id in good}
        return Advice(tickets, self.valid_ms)


def check_history(
    history: t.Iterable[RunEvent],
    duplicated_jobs: t.Container[str] = (),
) -> list[str]:
    """Return the violations of the scheduler's guarantees in a history.

    Violations are: two concurrent runs of a task; a start after a ``done``
    run was acknowledged; a third start of a task after it has crashed three
    workers; a start that exceeds a worker's capacity. Tasks of
    ``duplicated_jobs`` may have two concurrent runs, but not three.
    """
    running: dict[TaskKey, set[tuple[str, int]]] = collections.defaultdict(set)
    acknowledged: set[TaskKey] = set()
    violations = []
    history = list(history)
    for event in history:
        run_id = (event.worker_id, event.run)
        if event.kind == 'started':
            may_have_two = event.key.job_id in duplicated_jobs
            if len(running[event.key]) > int(may_have_two):
                violations.append(f'concurrent runs: {event}')
            if event.key in acknowledged:
                violations.append(f'start after the end: {event}')
            running[event.key].add(run_id)
        elif event.kind == 'ended':
            running[event.key].discard(run_id)
        elif event.kind == 'noted' and event.outcome is RunOutcome.DONE:
            acknowledged.add(event.key)
    violations.extend(
        f'over its room: {event}'
        for event in history
        if event.kind == 'over_room'
    )
    return violations + _check_crashes(history)


def _check_crashes(history: list[RunEvent]) -> list[str]:
    """Return the starts beyond the limit of tasks that crashed workers."""
    crashes: collections.Counter[TaskKey] = collections.Counter()
    starts_after: collections.Counter[TaskKey] = collections.Counter()
    violations = []
    for event in history:
        if event.kind == 'crashed':
            crashes[event.key] += 1
        elif event.kind == 'started' and crashes[event.key] >= _CRASH_LIMIT:
            starts_after[event.key] += 1
            if starts_after[event.key] > _MAX_STARTS_AFTER_CRASHES:
                violations.append(f'too many starts after crashes: {event}')
    return violations
