"""In-memory stand-ins for the platform's table, objects and list."""

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
    """Counts calls in each second, to hold a budget against."""

    writes: collections.Counter[int] = attrs.field(factory=collections.Counter)
    reads: collections.Counter[int] = attrs.field(factory=collections.Counter)

    def count_write(self, rows: int = 1) -> None:
        """Count rows written in this second."""
        self.writes[int(trio.current_time())] += rows

    def count_read(self, pages: int = 1) -> None:
        """Count reads in this second; a scan reads a page at a time."""
        self.reads[int(trio.current_time())] += pages

    def get_peak_writes(self) -> int:
        """Return the writes of the worst second."""
        return max(self.writes.values(), default=0)

    def get_peak_reads(self) -> int:
        """Return the reads of the worst second."""
        return max(self.reads.values(), default=0)


@attrs.define
class StoreFaults:
    """How a store misbehaves now.

    Parameters
    ----------
    down : bool
        Every call fails, surely without effect.
    delay_s : float
        Time that each call takes, half before and half after its effect.
    lost_answer_share : float
        Share of writes that take effect and lose their answer.
    lost_call_share : float
        Share of writes that are lost on the way, which looks the same.
    cut_off : set of str
        Clients that cannot reach the store.
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
    source: random.Random = attrs.field(factory=lambda: random.Random(0))

    async def enter(self, client: str) -> None:
        """Pass a call in, or fail it surely without effect."""
        await trio.sleep(self.faults.delay_s / 2)
        if self.faults.down or client in self.faults.cut_off:
            raise UnavailableError('the store does not answer')

    def lose_call(self) -> None:
        """Lose a write on its way, by chance."""
        if self.source.random() < self.faults.lost_call_share:
            raise AnswerLostError('the call is lost')

    async def leave(self, client: str, *, wrote: bool) -> None:
        """Pass an answer out, or lose it."""
        await trio.sleep(self.faults.delay_s / 2)
        cut = self.faults.down or client in self.faults.cut_off
        lost = wrote and self.source.random() < self.faults.lost_answer_share
        if wrote and (cut or lost):
            raise AnswerLostError('the answer is lost')
        if cut:
            raise UnavailableError('the store does not answer')


@attrs.define
class FakeTable(_FakeStore):
    """The table service: conditional transactions over rows."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    revision: int = 0

    async def get(self, key: str, client: str = '') -> Row | None:
        """Return a row."""
        await self.enter(client)
        self.meter.count_read()
        row = self.rows.get(key)
        await self.leave(client, wrote=False)
        return row

    async def scan(
        self, prefix: str, client: str = ''
    ) -> list[tuple[str, Row]]:
        """Return the rows whose key begins with a prefix."""
        await self.enter(client)
        found = sorted(
            (key, row)
            for key, row in self.rows.items()
            if key.startswith(prefix)
        )
        self.meter.count_read(1 + len(found) // SCAN_PAGE_ROWS)
        await self.leave(client, wrote=False)
        return found

    async def commit(
        self,
        conditions: t.Sequence[Condition],
        writes: t.Sequence[Write],
        client: str = '',
    ) -> int:
        """Apply all writes if all conditions hold."""
        await self.enter(client)
        self.lose_call()
        self.meter.count_write(len(writes))
        version = self.apply(conditions, writes)
        await self.leave(client, wrote=True)
        return version

    def get_version(self, key: str) -> int:
        """Return the version of a row, 0 if it is absent."""
        row = self.rows.get(key)
        return row.version if row is not None else 0

    def apply(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply a transaction at once; return its version or 0."""
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
    """The object store."""

    bodies: dict[str, bytes] = attrs.field(factory=dict)

    async def put(self, key: str, body: bytes, client: str = '') -> None:
        """Write an object."""
        await self.enter(client)
        self.meter.count_write()
        self.bodies[key] = body
        await self.leave(client, wrote=True)

    async def get(self, key: str, client: str = '') -> bytes | None:
        """Return an object."""
        await self.enter(client)
        self.meter.count_read()
        body = self.bodies.get(key)
        await self.leave(client, wrote=False)
        return body

    async def delete(self, key: str, client: str = '') -> None:
        """Delete an object."""
        await self.enter(client)
        self.meter.count_write()
        self.bodies.pop(key, None)
        await self.leave(client, wrote=True)


@attrs.define
class FakeDirectory:
    """The lagging list: what was true ``lag_s`` ago."""

    lag_s: float = 1.0
    down: bool = False
    workers: dict[str, WorkerInfo] = attrs.field(factory=dict)
    instances: set[str] = attrs.field(factory=set)
    history: collections.deque[tuple[float, InstanceList]] = attrs.field(
        factory=collections.deque
    )

    def publish(self) -> None:
        """Note a change; it shows in the list after the lag."""
        listed = InstanceList(
            tuple(self.workers[name] for name in sorted(self.workers)),
            tuple(sorted(self.instances)),
        )
        self.history.append((trio.current_time(), listed))

    def set_standing(self, worker_id: str, standing: WorkerStanding) -> None:
        """Change what the list says of a worker."""
        self.workers[worker_id] = attrs.evolve(
            self.workers[worker_id], standing=standing
        )
        self.publish()

    async def list_instances(self) -> InstanceList:
        """Return the list as it was before the lag."""
        if self.down:
            raise UnavailableError('the list does not answer')
        seen_s = trio.current_time() - self.lag_s
        while len(self.history) > 1 and self.history[1][0] <= seen_s:
            self.history.popleft()
        if not self.history:
            self.publish()
        return self.history[0][1]
