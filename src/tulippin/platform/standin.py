"""An in-memory stand-in of the platform: store, list and workers.

It runs under virtual time and keeps a history of runs, which
``check_history`` holds against what must never happen. It stands beside
the wire types because it writes them.
"""

from __future__ import annotations

import collections
import random
import typing as t

import attrs
import msgspec
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    Advice,
    FencedOrderError,
    HistoryLostError,
    RowPage,
    StartOrder,
    StoredRow,
    Transaction,
    TransactionResult,
    WorkerChangedError,
)
from tulippin.jobs.types import (
    EndedRun,
    OrderAnswer,
    RunningTask,
    RunOutcome,
    StartOutcome,
    TaskKey,
    WorkerReport,
)
from tulippin.platform.wire import ConfigBody, RoomBody, WorkerBody

_MS: t.Final = 1000
_STORE_S: t.Final = 0.004
_WORKER_S: t.Final = 0.001
_SILENCE_S: t.Final = 0.9
_HEARTBEAT_S: t.Final = 1.1
_ADVICE_S: t.Final = 0.03
_LOAD_MILLICORES: t.Final = 1000.0
_PERCENT: t.Final = 100


def get_now_ms() -> int:
    """Return the virtual time."""
    return int(trio.current_time() * _MS)


# -- the store ----------------------------------------------------------------


@attrs.define
class StoreTrouble:
    """How the store misbehaves now.

    Parameters
    ----------
    refused, silenced : set of str
        Clients that get a refusal, or no answer at all; ``*`` is all.
    lost_answer_share : float
        Share of transactions that are done and not answered.
    deaf_feeds : bool
        Feeds return no change.
    """

    refused: set[str] = attrs.field(factory=set)
    silenced: set[str] = attrs.field(factory=set)
    lost_answer_share: float = 0.0
    deaf_feeds: bool = False


@attrs.define
class StandinStore:
    """Rows with versions from one counter, and their changes."""

    trouble: StoreTrouble = attrs.field(factory=StoreTrouble)
    version: int = 0
    rows: dict[tuple[str, str, str], StoredRow] = attrs.field(factory=dict)
    changes: list[StoredRow] = attrs.field(factory=list)
    forgotten_version: int = 0
    call_count: int = 0
    source: random.Random = attrs.field(factory=lambda: random.Random(0))
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def get_view(self, client: str) -> StoreView:
        """Return the store as one client reaches it."""
        return StoreView(self, client)

    def write(self, table: str, part: str, key: str, value: t.Any) -> None:
        """Write a row past all conditions, as the platform does."""
        self.version += 1
        self._store(table, part, key, value)
        self._wake()

    def forget_history(self) -> None:
        """Drop all changes so far."""
        self.forgotten_version = self.version

    def _store(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        row = StoredRow(table, part, key, value, self.version)
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self.changes.append(row)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Carry out a transaction."""
        part = transaction.part
        met = []
        is_open = True
        for condition in transaction.conditions:
            row = self.rows.get((condition.table, part, condition.key))
            if row is not None:
                met.append(row)
            version = row.version if row else 0
            is_open &= condition.version == version
        if not is_open:
            return TransactionResult(False, self.version, tuple(met))
        self.version += 1
        for write in transaction.writes:
            self._store(write.table, part, write.key, write.value)
        self._wake()
        return TransactionResult(True, self.version)

    async def wait_change(self, wait_ms: int) -> None:
        """Wait for any change, for so long at most."""
        with trio.move_on_after(wait_ms / _MS):
            await self._changed.wait()


@attrs.frozen
class StoreView:
    """The store as one client reaches it; see ``RowStore``."""

    store: StandinStore
    client: str

    async def _enter(self) -> None:
        trouble = self.store.trouble
        self.store.call_count += 1
        await trio.sleep(_STORE_S / 2)
        if trouble.silenced & {self.client, '*'}:
            await trio.sleep(_SILENCE_S)
            raise AnswerLostError('the store is silent')
        if trouble.refused & {self.client, '*'}:
            raise UnavailableError('the store refuses')

    async def read_rows(
        self, table: str, part: str, first: str = '', end: str = ''
    ) -> RowPage:
        """Return rows in key order."""
        await self._enter()
        found = [
            row
            for (one, where, key), row in sorted(self.store.rows.items())
            if (one, where) == (table, part)
            and key >= first
            and (not end or key < end)
        ]
        version = self.store.version
        await trio.sleep(_STORE_S / 2)
        return RowPage(tuple(found), version)

    async def follow(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Return the changes of a table after a version."""
        await self._enter()
        store = self.store
        give_up_at = trio.current_time() + wait_ms / _MS
        while True:
            if after < store.forgotten_version:
                raise HistoryLostError('forgotten')
            found = [
                row
                for row in store.changes
                if row.table == table and row.version > after
            ]
            left_s = give_up_at - trio.current_time()
            if store.trouble.deaf_feeds:
                found = []
            if found or left_s <= 0:
                newest = after if store.trouble.deaf_feeds else store.version
                return RowPage(tuple(found), newest)
            await store.wait_change(int(left_s * _MS) + 1)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Carry out a transaction; its answer may be lost."""
        await self._enter()
        result = self.store.apply(transaction)
        trouble = self.store.trouble
        if self.store.source.random() < trouble.lost_answer_share:
            await trio.sleep(_SILENCE_S)
            raise AnswerLostError('the answer is lost')
        await trio.sleep(_STORE_S / 2)
        return result


# -- workers ------------------------------------------------------------------


class TaskPlan(msgspec.Struct, frozen=True):
    """What a task does, as its job's text says.

    ``failing_workers`` fail it; ``lasts`` runs until it is stopped.
    """

    run_ms: int = 300
    failing_workers: tuple[str, ...] = ()
    fails_always: bool = False
    lasts: bool = False
    tail_ms: float = 10.0


@attrs.frozen
class RunEvent:
    """Something that happened to a run, for the history."""

    at_ms: int
    kind: str
    worker_id: str
    key: TaskKey
    run: int
    outcome: RunOutcome | None = None


@attrs.define
class _Run:
    order: StartOrder
    plan: TaskPlan
    ends_at_ms: int
    checkpoint: str
    pace_percent: int = 100


def _get_progress(run: _Run) -> int:
    """Return the share of the work done; tasks that last are at work."""
    if run.plan.lasts:
        return _PERCENT
    left_ms = max(0, run.ends_at_ms - get_now_ms())
    return _PERCENT - left_ms * _PERCENT // max(1, run.plan.run_ms)


@attrs.define
class StandinWorker:
    """One life of a worker; leases run on its own clock.

    Parameters
    ----------
    worker_id, address : str
        Who it is and where it listens.
    history : list of RunEvent
        Where all that happens to runs is written down.
    clock_offset_ms : int
        Its clock beside the virtual time.
    """

    worker_id: str
    address: str
    history: list[RunEvent]
    service: str = 'catalogue'
    room: RoomBody = RoomBody(16000, 64000, 0)
    labels: tuple[str, ...] = ('a', 'r1')
    clock_offset_ms: int = 5000
    is_up: bool = True
    is_draining: bool = False
    cut_off: set[str] = attrs.field(factory=set)
    late_orders_s: float = 0.0
    tells_load: bool = True
    runs: dict[tuple[TaskKey, int], _Run] = attrs.field(factory=dict)
    ended: list[EndedRun] = attrs.field(factory=list)
    highest_runs: dict[TaskKey, int] = attrs.field(factory=dict)
    fence: int = 0
    deadline_ms: int = 0
    last_number: int = 0
    started_count: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock."""
        return get_now_ms() + self.clock_offset_ms

    def make_body(self, sequence: int) -> bytes:
        """Return the worker's entry for the list."""
        return msgspec.json.encode(
            WorkerBody(
                self.service,
                self.address,
                'hall',
                'draining' if self.is_draining else 'ready',
                self.room,
                self.labels,
                self.clock_ms,
                0,
                f'm{sequence}',
            )
        )

    def _note(
        self,
        kind: str,
        key: TaskKey,
        run: int,
        outcome: RunOutcome | None = None,
    ) -> None:
        self.history.append(
            RunEvent(get_now_ms(), kind, self.worker_id, key, run, outcome)
        )

    def _end(self, place: tuple[TaskKey, int], outcome: RunOutcome) -> None:
        run = self.runs.pop(place)
        self.last_number += 1
        self.ended.append(
            EndedRun(
                self.last_number, place[0], place[1], outcome, run.checkpoint
            )
        )
        self._note('ended', place[0], place[1], outcome)
        self._changed.set()
        self._changed = trio.Event()

    def tick(self) -> None:
        """End what is over: work done, and leases that lapsed."""
        for place, run in list(self.runs.items()):
            if self.clock_ms > self.deadline_ms:
                self._end(place, RunOutcome.LAPSED)
            elif not run.plan.lasts and get_now_ms() >= run.ends_at_ms:
                fails = run.plan.fails_always or (
                    self.worker_id in run.plan.failing_workers
                )
                outcome = RunOutcome.FAILED if fails else RunOutcome.DONE
                self._end(place, outcome)

    def crash(self) -> None:
        """Die with all that runs here."""
        for key, run in list(self.runs):
            self._note('ended', key, run, RunOutcome.LAPSED)
        self.runs.clear()
        self.is_up = False

    def take_start(self, order: StartOrder) -> OrderAnswer:
        """Carry out an order to start."""
        if order.worker_id != self.worker_id:
            return OrderAnswer(StartOutcome.OTHER_LIFE)
        clock_ms = self.clock_ms
        if order.fencing_token < self.fence:
            return OrderAnswer(StartOutcome.FENCED, clock_ms)
        self.fence = order.fencing_token
        if (order.key, order.run) in self.runs:
            return OrderAnswer(StartOutcome.STARTED, clock_ms)
        if order.deadline_ms < clock_ms:
            return OrderAnswer(StartOutcome.TOO_LATE, clock_ms)
        self.deadline_ms = max(self.deadline_ms, order.deadline_ms)
        if order.run <= self.highest_runs.get(order.key, 0):
            return OrderAnswer(StartOutcome.SUPERSEDED, clock_ms)
        plan = msgspec.json.decode(order.spec, type=TaskPlan)
        self.highest_runs[order.key] = order.run
        self.runs[order.key, order.run] = _Run(
            order, plan, get_now_ms() + plan.run_ms, order.checkpoint
        )
        self.started_count += 1
        self._note('started', order.key, order.run)
        return OrderAnswer(StartOutcome.STARTED, clock_ms)

    def take_stop(
        self, worker_id: str, key: TaskKey, run: int, fence: int
    ) -> OrderAnswer:
        """Carry out an order to stop."""
        if worker_id != self.worker_id:
            return OrderAnswer(StartOutcome.OTHER_LIFE)
        if fence < self.fence:
            return OrderAnswer(StartOutcome.FENCED, self.clock_ms)
        self.highest_runs[key] = max(run, self.highest_runs.get(key, 0))
        if (key, run) in self.runs:
            self._end((key, run), RunOutcome.STOPPED)
        return OrderAnswer(StartOutcome.STARTED, self.clock_ms)

    async def take_hold(
        self,
        worker_id: str,
        fence: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Extend the lease and report, after a wait for an end."""
        if worker_id != self.worker_id:
            raise WorkerChangedError('another life')
        if fence < self.fence:
            raise FencedOrderError('a newer owner')
        self.fence = fence
        for ended in self.ended:
            if ended.number <= last_seen:
                self._note('noted', ended.key, ended.run, ended.outcome)
        self.ended = [one for one in self.ended if one.number > last_seen]
        self.tick()
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        if not self.ended and wait_ms:
            with trio.move_on_after(wait_ms / _MS):
                await self._changed.wait()
        return self._report()

    def _get_load(self, plan: TaskPlan) -> float | None:
        if not self.tells_load:
            return None
        return plan.tail_ms if plan.lasts else _LOAD_MILLICORES

    def _report(self) -> WorkerReport:
        running = tuple(
            RunningTask(
                key,
                run,
                one.checkpoint,
                _get_progress(one),
                self._get_load(one.plan),
            )
            for (key, run), one in self.runs.items()
        )
        return WorkerReport(self.clock_ms, running, tuple(self.ended))


# -- the whole ----------------------------------------------------------------


@attrs.define
class StandinPlatform:
    """Store, list and workers together; run ``serve`` in a nursery."""

    store: StandinStore = attrs.field(factory=StandinStore)
    workers: dict[str, StandinWorker] = attrs.field(factory=dict)
    history: list[RunEvent] = attrs.field(factory=list)
    sequence: int = 0

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

    async def serve(self) -> None:
        """Let time pass for workers and their list."""
        beat_at = 0.0
        while True:
            for worker in list(self.workers.values()):
                if worker.is_up:
                    worker.tick()
            if trio.current_time() >= beat_at:
                self._beat_all()
                beat_at = trio.current_time() + _HEARTBEAT_S
            await trio.sleep(0.01)

    def _beat_all(self) -> None:
        for worker in self.workers.values():
            if worker.is_up:
                self.beat(worker)

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
        await trio.sleep(_SILENCE_S)
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
            await trio.sleep(_SILENCE_S)
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
            worker.runs[key, run].pace_percent = percent
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
    and taken note of; a start below an earlier run's number.
    """
    present: dict[TaskKey, set[tuple[str, int]]] = collections.defaultdict(set)
    noted: set[TaskKey] = set()
    broken = []
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
        elif event.outcome is RunOutcome.DONE:
            noted.add(event.key)
    return broken
