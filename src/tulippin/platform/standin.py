"""An in-memory stand-in of the platform: store, list and workers.

It runs under virtual time and keeps a history of runs, which
``check_history`` holds against what must never happen. It stands beside
the wire types because it writes them.
"""

from __future__ import annotations

import collections
import typing as t

import attrs
import msgspec
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import Advice, StartOrder
from tulippin.jobs.types import (
    OrderAnswer,
    RunOutcome,
    StartOutcome,
    TaskKey,
    WorkerReport,
)
from tulippin.platform.standin_store import SILENCE_S, StandinStore
from tulippin.platform.standin_worker import (
    RunEvent,
    StandinWorker,
    TaskPlan,
    get_now_ms,
)
from tulippin.platform.wire import ConfigBody

__all__ = (
    'StandinAdvisor',
    'StandinAgents',
    'StandinPlatform',
    'StandinWorker',
    'TaskPlan',
    'check_history',
    'get_now_ms',
)

_WORKER_S: t.Final = 0.001
_HEARTBEAT_S: t.Final = 1.1
_ADVICE_S: t.Final = 0.03
# An entry goes after three heartbeats of silence.
_ENTRY_LAPSE_MS: t.Final = 3300
# A task under which so many workers have crashed is started so many times
# more at the most.
_CRASHES: t.Final = 3
_STARTS_AFTER: t.Final = 2


@attrs.define
class StandinPlatform:
    """Store, list and workers together; run ``serve`` in a nursery.

    A worker that has crashed is back ``back_after_ms`` later, if that is
    told: as another life, at the same address.
    """

    store: StandinStore = attrs.field(factory=StandinStore)
    workers: dict[str, StandinWorker] = attrs.field(factory=dict)
    history: list[RunEvent] = attrs.field(factory=list)
    sequence: int = 0
    back_after_ms: int | None = None
    lives: int = 0

    def add_worker(self, worker_id: str, **options: t.Any) -> StandinWorker:
        """Start a worker's life at an address of its own."""
        address = options.pop('address', f'10.9.0.{len(self.workers)}:80')
        worker = StandinWorker(worker_id, address, self.history, **options)
        self.workers[worker_id] = worker
        self.beat(worker)
        return worker

    def configure(self, body: ConfigBody) -> None:
        """Write the operators' configuration."""
        self.store.write('op', '', 'config', msgspec.json.encode(body))

    def beat(self, worker: StandinWorker) -> None:
        """Write a worker's entry on the list anew."""
        self.sequence += 1
        body = worker.make_body(self.sequence)
        self.store.write('servers', '', worker.worker_id, body)

    def remove(self, worker_id: str) -> None:
        """Take a worker off the list."""
        self.store.write('servers', '', worker_id, None)

    def drain(self, worker_id: str, leaves_in_ms: int) -> None:
        """Let a worker say that it leaves, and leave after so long."""
        worker = self.workers[worker_id]
        worker.is_draining = True
        worker.leaves_at_ms = get_now_ms() + leaves_in_ms
        self.beat(worker)

    async def serve(self) -> None:
        """Let time pass for workers and their list."""
        beat_at = 0.0
        while True:
            for worker in list(self.workers.values()):
                if worker.is_up:
                    worker.tick()
                    self._let_leave(worker)
                elif worker.crashed_ms is not None:
                    self._follow_crash(worker)
            if trio.current_time() >= beat_at:
                self._beat_all()
                beat_at = trio.current_time() + _HEARTBEAT_S
            await trio.sleep(0.01)

    def _let_leave(self, worker: StandinWorker) -> None:
        leaves_at_ms = worker.leaves_at_ms
        if leaves_at_ms is not None and get_now_ms() >= leaves_at_ms:
            worker.crash()
            self.remove(worker.worker_id)

    def _follow_crash(self, worker: StandinWorker) -> None:
        """Let a crashed worker's entry lapse, and its next life begin."""
        if self.back_after_ms is None or worker.leaves_at_ms is not None:
            return
        silent_ms = get_now_ms() - worker.crashed_ms
        if silent_ms >= _ENTRY_LAPSE_MS and not worker.is_off_list:
            worker.is_off_list = True
            self.remove(worker.worker_id)
        if silent_ms >= self.back_after_ms and not worker.is_succeeded:
            worker.is_succeeded = True
            self.lives += 1
            self.add_worker(
                f'{worker.worker_id.partition("+")[0]}+{self.lives}',
                address=worker.address,
                service=worker.service,
                room=worker.room,
                labels=worker.labels,
                clock_offset_ms=worker.clock_offset_ms,
            )

    def _beat_all(self) -> None:
        for worker in self.workers.values():
            if worker.is_up and worker.tells_entry:
                self.beat(worker)

    def lapse_entries(self) -> None:
        """Let all entries lapse while their workers live and answer on."""
        for worker in self.workers.values():
            worker.tells_entry = False
            self.remove(worker.worker_id)

    def restore_entries(self) -> None:
        """Have all workers write their entries again."""
        for worker in self.workers.values():
            worker.tells_entry = True

    def get_agents(self, client: str) -> StandinAgents:
        """Return the workers as one client reaches them."""
        return StandinAgents(self, client)


@attrs.frozen
class StandinAgents:
    """The workers as one client reaches them; see ``WorkerAgents``."""

    platform: StandinPlatform
    client: str

    async def _reach(self, address: str) -> StandinWorker:
        await trio.sleep(_WORKER_S)
        for worker in self.platform.workers.values():
            is_cut = worker.cut_off & {self.client, '*'}
            if worker.address == address and worker.is_up and not is_cut:
                return worker
        await trio.sleep(SILENCE_S)
        raise AnswerLostError(f'{address} is silent')

    async def forget(self, worker_id: str) -> None:
        """Nothing is kept open here."""

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run, or late and unanswered."""
        try:
            worker = await self._reach(order.address)
        except UnavailableError:
            return OrderAnswer(StartOutcome.UNKNOWN)
        if worker.late_orders_s:
            await trio.sleep(SILENCE_S)
            trio.lowlevel.spawn_system_task(_start_late, worker, order)
            return OrderAnswer(StartOutcome.UNKNOWN)
        return worker.take_start(order)

    async def stop(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Stop a run."""
        try:
            worker = await self._reach(address)
        except UnavailableError:
            return OrderAnswer(StartOutcome.UNKNOWN)
        return worker.take_stop(worker_id, key, run, fencing_token)

    async def pace(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        percent: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Set a run's pace."""
        try:
            worker = await self._reach(address)
        except UnavailableError:
            return OrderAnswer(StartOutcome.UNKNOWN)
        if (key, run) in worker.runs:
            worker.runs[key, run].set_pace(percent)
        return OrderAnswer(StartOutcome.STARTED, worker.clock_ms)

    async def hold(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Extend a lease and read the report."""
        worker = await self._reach(address)
        report = await worker.take_hold(
            worker_id, fencing_token, last_seen, deadline_ms, wait_ms
        )
        if not worker.is_up or worker.cut_off & {self.client, '*'}:
            raise AnswerLostError(f'{address} went silent')
        return report


@attrs.define
class StandinAdvisor:
    """Lets a step run only on some workers; counts its questions."""

    allowed: set[str] = attrs.field(factory=set)
    valid_ms: int = 3000
    question_count: int = 0

    async def ask(
        self, step: tuple[str, int, int], worker_ids: t.Sequence[str]
    ) -> Advice:
        """Answer with a ticket for each worker that may."""
        self.question_count += 1
        await trio.sleep(_ADVICE_S)
        good = self.allowed.intersection(worker_ids)
        tickets = {one: f'{step[0]}-{one}' for one in good}
        return Advice(tickets, self.valid_ms)


async def _start_late(worker: StandinWorker, order: StartOrder) -> None:
    await trio.sleep(worker.late_orders_s)
    if worker.is_up:
        worker.take_start(order)


def check_history(history: t.Iterable[RunEvent]) -> list[str]:
    """Return what the history shows that must never happen.

    Two runs of a task at once; a start after an end that was ``done``
    and taken note of; a third start of a task after three workers have
    crashed under it; a start that brings a worker over its room.
    """
    present: dict[TaskKey, set[tuple[str, int]]] = collections.defaultdict(set)
    noted: set[TaskKey] = set()
    broken = []
    history = list(history)
    for event in history:
        place = (event.worker_id, event.run)
        if event.kind == 'started':
            if present[event.key]:
                broken.append(f'twice: {event}')
            if event.key in noted:
                broken.append(f'after its end: {event}')
            present[event.key].add(place)
        elif event.kind == 'ended':
            present[event.key].discard(place)
        elif event.kind == 'noted' and event.outcome is RunOutcome.DONE:
            noted.add(event.key)
    broken.extend(
        f'over its room: {event}'
        for event in history
        if event.kind == 'over_room'
    )
    return broken + _check_crashes(history)


def _check_crashes(history: list[RunEvent]) -> list[str]:
    """Return the starts beyond those that crashes leave to their task."""
    crashes: collections.Counter[TaskKey] = collections.Counter()
    starts_after: collections.Counter[TaskKey] = collections.Counter()
    broken = []
    for event in history:
        if event.kind == 'crashed':
            crashes[event.key] += 1
        elif event.kind == 'started' and crashes[event.key] >= _CRASHES:
            starts_after[event.key] += 1
            if starts_after[event.key] > _STARTS_AFTER:
                broken.append(f'over its budget: {event}')
    return broken
