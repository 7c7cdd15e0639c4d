"""In-memory stand-ins for the table, object store and instance list."""

from __future__ import annotations

import collections
import random
import typing as t

import attrs
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.ports import Condition, InstanceList, Row, Write
from tulippin.types import WorkerInfo, WorkerStanding

SCAN_PAGE_ROWS: t.Final = 100


@attrs.define
class RateMeter:
    """Counts reads and writes per second, to compare with a budget."""

    writes: collections.Counter[int] = attrs.field(factory=collections.Counter)
    reads: collections.Counter[int] = attrs.field(factory=collections.Counter)

    def count_write(self, rows: int = 1) -> None:
        """Count rows written in the present second."""
        self.writes[int(trio.current_time())] += rows

    def count_read(self, pages: int = 1) -> None:
        """Count pages read in the present second; a get reads one."""
        self.reads[int(trio.current_time())] += pages

    def get_peak_writes(self) -> int:
        """Return the highest number of rows written in a second."""
        return max(self.writes.values(), default=0)

    def get_peak_reads(self) -> int:
        """Return the highest number of pages read in a second."""
        return max(self.reads.values(), default=0)


@attrs.define
class StoreFaults:
    """Faults that a store injects at present.

    Parameters
    ----------
    down : bool
        Every call fails without effect; a call in progress may have
        taken effect.
    delay_s : float
        Time that each call takes, half before and half after its effect.
    lost_answer_share : float
        Share of writes that take effect but whose answer is lost.
    lost_call_share : float
        Share of writes that are lost before they take effect. The client
        can't tell them from lost answers.
    cut_off : set of str
        Clients that can't reach the store.
    """

    down: bool = False
    delay_s: float = 0.002
    lost_answer_share: float = 0.0
    lost_call_share: float = 0.0
    cut_off: set[str] = attrs.field(factory=set)


@attrs.define
class _FakeStore:
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    meter: RateMeter = attrs.field(factory=RateMeter)
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))

    async def begin_call(self, client: str) -> None:
        """Delay a call, or fail it before it takes effect."""
        await trio.sleep(self.faults.delay_s / 2)
        if self.faults.down or client in self.faults.cut_off:
            raise UnavailableError('the store does not answer')

    def maybe_lose_call(self) -> None:
        """Fail a share of writes before they take effect."""
        if self.rng.random() < self.faults.lost_call_share:
            raise AnswerLostError('the call is lost')

    async def end_call(self, client: str, *, wrote: bool) -> None:
        """Delay an answer, or fail the call after it took effect."""
        await trio.sleep(self.faults.delay_s / 2)
        cut = self.faults.down or client in self.faults.cut_off
        lost = wrote and self.rng.random() < self.faults.lost_answer_share
        if wrote and (cut or lost):
            raise AnswerLostError('the answer is lost')
        if cut:
            raise UnavailableError('the store does not answer')


@attrs.define
class FakeTable(_FakeStore):
    """The table service: versioned rows and conditional transactions."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    revision: int = 0

    async def get(self, key: str, client: str = '') -> Row | None:
        """Return a row, or ``None`` if it is absent."""
        await self.begin_call(client)
        self.meter.count_read()
        row = self.rows.get(key)
        await self.end_call(client, wrote=False)
        return row

    async def scan(
        self, prefix: str, client: str = ''
    ) -> list[tuple[str, Row]]:
        """Return the rows whose keys begin with a prefix, sorted by key."""
        await self.begin_call(client)
        rows = sorted(
            (key, row)
            for key, row in self.rows.items()
            if key.startswith(prefix)
        )
        self.meter.count_read(1 + len(rows) // SCAN_PAGE_ROWS)
        await self.end_call(client, wrote=False)
        return rows

    async def commit(
        self,
        conditions: t.Sequence[Condition],
        writes: t.Sequence[Write],
        client: str = '',
    ) -> int:
        """Apply all writes if all conditions hold; return a version or 0."""
        await self.begin_call(client)
        self.maybe_lose_call()
        self.meter.count_write(len(writes))
        version = self.apply(conditions, writes)
        await self.end_call(client, wrote=True)
        return version

    def get_version(self, key: str) -> int:
        """Return the version of a row, or 0 if it is absent."""
        row = self.rows.get(key)
        return row.version if row is not None else 0

    def apply(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply a transaction; return its version, or 0 if it is refused.

        Neither delays nor faults apply.
        """
        for condition in conditions:
            if self.get_version(condition.key) != condition.version:
                return 0
        self.revision += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.value, self.revision)
        return self.revision


@attrs.define
class FakeObjects(_FakeStore):
    """The object store: bodies by key."""

    bodies: dict[str, bytes] = attrs.field(factory=dict)

    async def put(self, key: str, body: bytes, client: str = '') -> None:
        """Write an object."""
        await self.begin_call(client)
        self.meter.count_write()
        self.bodies[key] = body
        await self.end_call(client, wrote=True)

    async def get(self, key: str, client: str = '') -> bytes | None:
        """Return an object, or ``None`` if it is absent."""
        await self.begin_call(client)
        self.meter.count_read()
        body = self.bodies.get(key)
        await self.end_call(client, wrote=False)
        return body

    async def delete(self, key: str, client: str = '') -> None:
        """Delete an object."""
        await self.begin_call(client)
        self.meter.count_write()
        self.bodies.pop(key, None)
        await self.end_call(client, wrote=True)


@attrs.define
class FakeDirectory:
    """The platform's list of workers and instances, ``lag_s`` late."""

    lag_s: float = 1.0
    down: bool = False
    workers: dict[str, WorkerInfo] = attrs.field(factory=dict)
    instances: set[str] = attrs.field(factory=set)
    history: collections.deque[tuple[float, InstanceList]] = attrs.field(
        factory=collections.deque
    )

    def publish(self) -> None:
        """Publish the present workers and instances, visible after the lag."""
        listed = InstanceList(
            tuple(self.workers[name] for name in sorted(self.workers)),
            tuple(sorted(self.instances)),
        )
        self.history.append((trio.current_time(), listed))

    def set_standing(self, worker_id: str, standing: WorkerStanding) -> None:
        """Set a worker's standing and publish it."""
        self.workers[worker_id] = attrs.evolve(
            self.workers[worker_id], standing=standing
        )
        self.publish()

    async def list_instances(self) -> InstanceList:
        """Return the list as it was ``lag_s`` ago."""
        if self.down:
            raise UnavailableError('the list does not answer')
        seen_s = trio.current_time() - self.lag_s
        while len(self.history) > 1 and self.history[1][0] <= seen_s:
            self.history.popleft()
        if not self.history:
            self.publish()
        return self.history[0][1]
