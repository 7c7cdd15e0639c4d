"""An in-memory stand-in of the platform's store."""

from __future__ import annotations

import random
import typing as t

import attrs
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    HistoryLostError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
)

_MS: t.Final = 1000
_STORE_S: t.Final = 0.004
SILENCE_S: t.Final = 0.9
_LONGEST_QUEUE_S: t.Final = 1.0
_LATE_S: t.Final = (1.0, 6.0)


@attrs.define
class StoreTrouble:
    """How the store misbehaves now.

    Parameters
    ----------
    refused, silenced : set of str
        Clients that get a refusal, or no answer at all; ``*`` is all.
    lost_answer_share : float
        Share of transactions that are done and not answered.
    late_write_share : float
        Share of transactions that are not answered, and are carried out
        one to six seconds later, if their conditions hold then.
    late_clients : set of str
        Whose transactions may come late; ``*`` is all.
    deaf_feeds : bool
        Feeds return no change.
    write_s : float
        How long a transaction takes; those of one part come in turn, and
        are refused while more than a second of them waits.
    """

    refused: set[str] = attrs.field(factory=set)
    silenced: set[str] = attrs.field(factory=set)
    lost_answer_share: float = 0.0
    late_write_share: float = 0.0
    late_clients: set[str] = attrs.field(factory=lambda: {'*'})
    deaf_feeds: bool = False
    write_s: float = 0.0


@attrs.define
class StandinStore:
    """Rows with versions from one counter, and their changes."""

    trouble: StoreTrouble = attrs.field(factory=StoreTrouble)
    version: int = 0
    rows: dict[tuple[str, str, str], StoredRow] = attrs.field(factory=dict)
    changes: list[StoredRow] = attrs.field(factory=list)
    forgotten_version: int = 0
    cut_counts: dict[str, int] = attrs.field(factory=dict)
    call_count: int = 0
    busy_until_s: dict[str, float] = attrs.field(factory=dict)
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

    def cut_connections(self, client: str) -> None:
        """Let the calls that a client has open now never be answered."""
        self.cut_counts[client] = self.cut_counts.get(client, 0) + 1

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

    async def apply_late(self, transaction: Transaction) -> None:
        """Carry out a transaction that its sender has given up."""
        await trio.sleep(self.source.uniform(*_LATE_S))
        self.apply(transaction)

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
            await trio.sleep(SILENCE_S)
            raise AnswerLostError('the store is silent')
        if trouble.refused & {self.client, '*'}:
            raise UnavailableError('the store refuses')

    async def _wait_turn(self, part: str) -> None:
        """Wait until the writes of a part that came before are done."""
        now_s = trio.current_time()
        begins_s = max(now_s, self.store.busy_until_s.get(part, now_s))
        if begins_s - now_s > _LONGEST_QUEUE_S:
            raise UnavailableError('the part is busy')
        ends_s = begins_s + self.store.trouble.write_s
        self.store.busy_until_s[part] = ends_s
        await trio.sleep(ends_s - now_s)

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
        cut_count = store.cut_counts.get(self.client, 0)
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
            if store.cut_counts.get(self.client, 0) != cut_count:
                await trio.sleep(max(0, left_s) + SILENCE_S)
                raise AnswerLostError('the connection was cut')
            if store.trouble.deaf_feeds:
                found = []
            if found or left_s <= 0:
                newest = after if store.trouble.deaf_feeds else store.version
                return RowPage(tuple(found), newest)
            await store.wait_change(int(left_s * _MS) + 1)

    def _is_late(self) -> bool:
        """Whether a transaction of this client comes late."""
        trouble = self.store.trouble
        # No draw without the trouble: runs without it stay as they are.
        if not trouble.late_write_share:
            return False
        if not trouble.late_clients & {self.client, '*'}:
            return False
        return self.store.source.random() < trouble.late_write_share

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Carry out a transaction; its answer may be lost."""
        await self._enter()
        if self._is_late():
            trio.lowlevel.spawn_system_task(self.store.apply_late, transaction)
            await trio.sleep(SILENCE_S)
            raise AnswerLostError('the write comes late')
        await self._wait_turn(transaction.part)
        result = self.store.apply(transaction)
        trouble = self.store.trouble
        if self.store.source.random() < trouble.lost_answer_share:
            await trio.sleep(SILENCE_S)
            raise AnswerLostError('the answer is lost')
        await trio.sleep(_STORE_S / 2)
        return result
