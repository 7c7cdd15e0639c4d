"""In-memory stand-in of the platform's store."""

from __future__ import annotations

import random
import typing as t

import attrs
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    MAX_KEY_BYTES,
    MAX_ROW_BYTES,
    MAX_TRANSACTION_BYTES,
    MAX_TRANSACTION_ENTRIES,
    HistoryLostError,
    PartitionBehindError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
    WriteRefusedError,
)
from tulippin.platform.store import encode_transaction

_MS_PER_S: t.Final = 1000
# The clock has nothing in common with those of the instances.
_CLOCK_START_MS: t.Final = 7_000_000
_STORE_LATENCY_S: t.Final = 0.004
CALL_TIMEOUT_S: t.Final = 0.9
_MAX_WRITE_QUEUE_S: t.Final = 1.0
_LATE_WRITE_RANGE_S: t.Final = (1.0, 6.0)


def check_limits(transaction: Transaction) -> None:
    """Raise ``WriteRefusedError`` if a transaction exceeds a limit."""
    entries = (*transaction.conditions, *transaction.writes)
    sizes = (
        ('entries', len(entries), MAX_TRANSACTION_ENTRIES),
        (
            'bytes of a key',
            max((len(entry.key.encode()) for entry in entries), default=0),
            MAX_KEY_BYTES,
        ),
        (
            'bytes of a value',
            max(
                (len(one.value or b'') for one in transaction.writes), default=0
            ),
            MAX_ROW_BYTES,
        ),
        ('bytes', len(encode_transaction(transaction)), MAX_TRANSACTION_BYTES),
    )
    for what, size, limit in sizes:
        if size > limit:
            raise WriteRefusedError(f'{size} {what}, the limit is {limit}')


@attrs.define
class StoreFaults:
    """Faults that are injected into the store.

    Parameters
    ----------
    refused, silenced : set of str
        Clients whose requests are rejected, or not answered; ``*`` stands
        for all.
    lost_answer_share : float
        Share of transactions that are committed but not answered.
    late_write_share : float
        Share of transactions that are not answered and are applied one to
        six seconds later, if their conditions hold then.
    late_clients : set of str
        Clients whose transactions may be late; ``*`` stands for all.
    feeds_are_empty : bool
        Feeds return no changes.
    write_duration_s : float
        Duration of a transaction. Transactions of one part are serialized,
        and rejected while more than a second of them is queued.
    """

    refused: set[str] = attrs.field(factory=set)
    silenced: set[str] = attrs.field(factory=set)
    lost_answer_share: float = 0.0
    late_write_share: float = 0.0
    late_clients: set[str] = attrs.field(factory=lambda: {'*'})
    feeds_are_empty: bool = False
    write_duration_s: float = 0.0


@attrs.define
class StandinStore:
    """Rows with versions from one counter, and the log of their changes."""

    trouble: StoreFaults = attrs.field(factory=StoreFaults)
    version: int = 0
    rows: dict[tuple[str, str, str], StoredRow] = attrs.field(factory=dict)
    changes: list[StoredRow] = attrs.field(factory=list)
    dropped_version: int = 0
    cut_counts: dict[str, int] = attrs.field(factory=dict)
    call_count: int = 0
    busy_until_s: dict[str, float] = attrs.field(factory=dict)
    source: random.Random = attrs.field(factory=lambda: random.Random(0))
    clock: t.Callable[[], float] = trio.current_time
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def get_time_ms(self) -> int:
        """Return the store's steady clock."""
        return _CLOCK_START_MS + int(self.clock() * _MS_PER_S)

    def get_view(self, client: str) -> StoreView:
        """Return the store as seen by a client."""
        return StoreView(self, client)

    def write(self, table: str, part: str, key: str, value: t.Any) -> None:
        """Write a row unconditionally, as the platform itself does."""
        self.version += 1
        self._put_row(table, part, key, value)
        self._notify()

    def blackhole_feeds(self, client: str) -> None:
        """Leave the open feed requests of a client without an answer."""
        self.cut_counts[client] = self.cut_counts.get(client, 0) + 1

    def drop_change_log(self) -> None:
        """Drop the log of changes; older versions can't be followed."""
        self.dropped_version = self.version

    def _put_row(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        row = StoredRow(table, part, key, value, self.version)
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self.changes.append(row)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Commit a transaction if its conditions hold.

        Raises
        ------
        WriteRefusedError
            If it exceeds a limit of the store.
        """
        check_limits(transaction)
        part = transaction.part
        current_rows = []
        is_met = True
        for condition in transaction.conditions:
            row = self.rows.get((condition.table, part, condition.key))
            if row is not None:
                current_rows.append(row)
            version = row.version if row else 0
            is_met &= condition.version == version
        if not is_met:
            return TransactionResult(
                False, self.version, tuple(current_rows), self.get_time_ms()
            )
        self.version += 1
        for write in transaction.writes:
            self._put_row(write.table, part, write.key, write.value)
        self._notify()
        return TransactionResult(
            True, self.version, store_ms=self.get_time_ms()
        )

    async def apply_late(self, transaction: Transaction) -> None:
        """Apply a transaction after its client has timed out."""
        await trio.sleep(self.source.uniform(*_LATE_WRITE_RANGE_S))
        self.apply(transaction)

    async def wait_change(self, wait_ms: int) -> None:
        """Wait for a change, up to a timeout."""
        with trio.move_on_after(wait_ms / _MS_PER_S):
            await self._changed.wait()


@attrs.frozen
class StoreView:
    """The store as seen by one client; implements ``RowStore``."""

    store: StandinStore
    client: str

    async def _begin_request(self) -> None:
        trouble = self.store.trouble
        self.store.call_count += 1
        await trio.sleep(_STORE_LATENCY_S / 2)
        if trouble.silenced & {self.client, '*'}:
            await trio.sleep(CALL_TIMEOUT_S)
            raise AnswerLostError('the store does not answer')
        if trouble.refused & {self.client, '*'}:
            raise UnavailableError('the store rejected the request')

    async def _wait_for_write(self, part: str) -> None:
        """Wait until the queued writes of a part and this one are done."""
        now_s = trio.current_time()
        start_s = max(now_s, self.store.busy_until_s.get(part, now_s))
        if start_s - now_s > _MAX_WRITE_QUEUE_S:
            raise PartitionBehindError('too many writes of the part are queued')
        end_s = start_s + self.store.trouble.write_duration_s
        self.store.busy_until_s[part] = end_s
        await trio.sleep(end_s - now_s)

    async def read_rows(
        self, table: str, part: str, first: str = '', end: str = ''
    ) -> RowPage:
        """Return the rows of a key range in key order."""
        await self._begin_request()
        found = [
            row
            for (row_table, row_part, key), row in sorted(
                self.store.rows.items()
            )
            if (row_table, row_part) == (table, part)
            and key >= first
            and (not end or key < end)
        ]
        version = self.store.version
        await trio.sleep(_STORE_LATENCY_S / 2)
        return RowPage(tuple(found), version, self.store.get_time_ms())

    async def follow(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Wait for changes of a table after a version, and return them."""
        await self._begin_request()
        store = self.store
        cut_count = store.cut_counts.get(self.client, 0)
        timeout_at_s = trio.current_time() + wait_ms / _MS_PER_S
        while True:
            if after < store.dropped_version:
                raise HistoryLostError('the changes were dropped')
            found = [
                row
                for row in store.changes
                if row.table == table and row.version > after
            ]
            remaining_s = timeout_at_s - trio.current_time()
            if store.cut_counts.get(self.client, 0) != cut_count:
                await trio.sleep(max(0, remaining_s) + CALL_TIMEOUT_S)
                raise AnswerLostError('the connection was cut')
            if store.trouble.feeds_are_empty:
                found = []
            if found or remaining_s <= 0:
                newest = (
                    after if store.trouble.feeds_are_empty else store.version
                )
                return RowPage(tuple(found), newest, store.get_time_ms())
            await store.wait_change(int(remaining_s * _MS_PER_S) + 1)

    def _is_late(self) -> bool:
        """Return whether the next transaction of this client is late."""
        trouble = self.store.trouble
        # Without this fault no random number is drawn, so that runs without
        # it keep their sequence.
        if not trouble.late_write_share:
            return False
        if not trouble.late_clients & {self.client, '*'}:
            return False
        return self.store.source.random() < trouble.late_write_share

    async def transact(
        self, transaction: Transaction, extra_wait_ms: int = 0
    ) -> TransactionResult:
        """Commit a transaction; its answer may be lost."""
        await self._begin_request()
        check_limits(transaction)
        if self._is_late():
            trio.lowlevel.spawn_system_task(self.store.apply_late, transaction)
            await trio.sleep(CALL_TIMEOUT_S + extra_wait_ms / _MS_PER_S)
            raise AnswerLostError('the write is late')
        await self._wait_for_write(transaction.part)
        result = self.store.apply(transaction)
        trouble = self.store.trouble
        if self.store.source.random() < trouble.lost_answer_share:
            await trio.sleep(CALL_TIMEOUT_S + extra_wait_ms / _MS_PER_S)
            raise AnswerLostError('the answer is lost')
        await trio.sleep(_STORE_LATENCY_S / 2)
        return result
