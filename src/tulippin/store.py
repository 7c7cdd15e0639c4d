"""Durable state: sessions, leases, ownership, journals and snapshots.

It is stored in the platform's table and object store. After a write whose
answer was lost, the row is read back to learn whether the write took effect.
"""

from __future__ import annotations

import contextlib
import typing as t

import attrs
import trio

from tulippin import codec
from tulippin.exceptions import (
    AnswerLostError,
    FencedError,
    UnavailableError,
)
from tulippin.ledger import CellLedger, Ledger, RangeLedger, apply
from tulippin.ports import Condition, Objects, Row, Table, Write
from tulippin.records import UnitRecord
from tulippin.state import Safeguards
from tulippin.types import Holder, LeaseRow, Ownership, Source, is_cell

_MIN_BACKOFF_S: t.Final = 0.05
_MAX_BACKOFF_S: t.Final = 1.0
_LIVE: t.Final = 'live'
_OWNERSHIP_KEY: t.Final = 'ownership'
_MAX_CACHED_JOURNALS: t.Final = 8


def session_key(session_id: str) -> str:
    """Return the key of a session's row."""
    return f'session/{session_id}'


def lease_key(session_id: str) -> str:
    """Return the key of a session's lease row."""
    return f'lease/{session_id}'


def slot_key(session_id: str, slot: int) -> str:
    """Return the key of one slot of a session's journal."""
    return f'journal/{session_id}/{slot:04d}'


def snapshot_key(session_id: str) -> str:
    """Return the key of the row that names a session's snapshot."""
    return f'snapshot/{session_id}'


@attrs.define
class Backoff:
    """Exponential backoff, which spreads retries at the end of an outage."""

    delay_s: float = _MIN_BACKOFF_S

    async def wait(self) -> None:
        """Wait; the delay doubles with each call, up to a limit."""
        await trio.sleep(self.delay_s)
        self.delay_s = min(_MAX_BACKOFF_S, self.delay_s * 2)


@attrs.frozen
class CommitResult:
    """The known effect of a commit; ``version`` 0 means a conflict."""

    version: int


async def commit_resolved(
    table: Table,
    conditions: t.Sequence[Condition],
    writes: t.Sequence[Write],
    *,
    read_back: bool = True,
) -> CommitResult:
    """Commit, retrying until it is known whether the commit took effect.

    The first write is the marker: its value must be unique to this commit,
    so that the row shows whether a commit without an answer took effect.
    """
    backoff = Backoff()
    in_doubt = False
    while True:
        try:
            version = await table.commit(conditions, writes)
        except AnswerLostError:
            if not read_back:
                return CommitResult(1)
            in_doubt = True
            version = 0
        except UnavailableError:
            await backoff.wait()
            continue
        if version or not in_doubt:
            return CommitResult(version)
        found = await _read_marker(table, conditions, writes[0])
        if found is not None:
            return found


async def _read_marker(
    table: Table, conditions: t.Sequence[Condition], marker: Write
) -> CommitResult | None:
    """Read the marker row; return nothing if the effect is still open."""
    row = await read_row(table, marker.key)
    if row is not None and row.value == marker.value:
        return CommitResult(row.version)
    if _breaks_condition(row, conditions, marker.key):
        return CommitResult(0)
    return None


def _breaks_condition(
    row: Row | None, conditions: t.Sequence[Condition], key: str
) -> bool:
    """Return whether the commit can no longer meet its conditions."""
    version = row.version if row is not None else 0
    return any(
        condition.key == key and condition.version != version
        for condition in conditions
    )


async def read_row(table: Table, key: str) -> Row | None:
    """Read a row, retrying while the table is unavailable."""
    backoff = Backoff()
    while True:
        try:
            return await table.get(key)
        except UnavailableError:
            await backoff.wait()


async def read_object(objects: Objects, key: str) -> bytes | None:
    """Read an object, retrying while the store is unavailable."""
    backoff = Backoff()
    while True:
        try:
            return await objects.get(key)
        except UnavailableError:
            await backoff.wait()


async def put_object(objects: Objects, key: str, body: bytes) -> None:
    """Write an object, retrying while the store is unavailable."""
    backoff = Backoff()
    while True:
        try:
            await objects.put(key, body)
        except UnavailableError:
            await backoff.wait()
        else:
            return


async def scan_rows(table: Table, prefix: str) -> list[tuple[str, Row]]:
    """Read the rows of a prefix, retrying while the table is unavailable."""
    backoff = Backoff()
    while True:
        try:
            return await table.scan(prefix)
        except UnavailableError:
            await backoff.wait()


def make_ledger(unit: str) -> Ledger:
    """Return the empty state of a unit."""
    return CellLedger() if is_cell(unit) else RangeLedger()


@attrs.frozen
class ClosedJournal:
    """The snapshot and later journal rows of a fenced session."""

    units: dict[str, tuple[int, bytes]]
    snapshot_sequence: int
    rows: tuple[tuple[int, tuple[UnitRecord, ...]], ...]


@attrs.define
class SessionStore:
    """Reads and writes of one session in the table and the object store.

    Parameters
    ----------
    table, objects : Table, Objects
        The platform's services.
    session_id : str
        Id of the session.
    slot_count : int
        Number of journal slots; a slot is reused only after a snapshot
        covers its row.
    seams : Safeguards
        Safeguards that only tests disable.
    """

    table: Table
    objects: Objects
    session_id: str
    slot_count: int
    seams: Safeguards = Safeguards()
    session_version: int = 0
    slot_versions: dict[int, int] = attrs.field(factory=dict)
    snapshot_version: int = 0
    last_snapshot: str = ''
    cached_journals: dict[str, ClosedJournal] = attrs.field(factory=dict)
    journal_lock: trio.Lock = attrs.field(factory=trio.Lock)
    activation_keys: dict[tuple[str, int], str] = attrs.field(factory=dict)

    async def open(self, lease: LeaseRow) -> None:
        """Write the session and its first lease into the table.

        Raises
        ------
        FencedError
            If the table already has a session of that id.
        """
        value = f'{_LIVE} {self.session_id}'
        resolved = await commit_resolved(
            self.table,
            [Condition(session_key(self.session_id), 0)],
            [
                Write(session_key(self.session_id), value),
                _make_lease_write(lease),
            ],
        )
        if not resolved.version:
            raise FencedError('the session id is taken already')
        self.session_version = resolved.version

    async def renew(self, lease: LeaseRow) -> None:
        """Renew the lease with a single attempt.

        Raises
        ------
        FencedError
            If the session was revoked.
        UnavailableError
            If it is not known whether the renewal took effect.
        """
        version = await self.table.commit(
            [self._make_live_condition()], [_make_lease_write(lease)]
        )
        if not version:
            raise FencedError('the session was revoked')

    async def commit_row(
        self, sequence: int, records: t.Sequence[UnitRecord]
    ) -> None:
        """Write one journal row, retrying until its effect is known.

        Raises
        ------
        FencedError
            If the session was revoked; the row was not written.
        """
        slot = sequence % self.slot_count
        key = slot_key(self.session_id, slot)
        value = f'{sequence}\n{codec.encode_records(records)}'
        conditions = [Condition(key, self.slot_versions.get(slot, 0))]
        if self.seams.fencing:
            conditions.append(self._make_live_condition())
        resolved = await commit_resolved(
            self.table,
            conditions,
            [Write(key, value)],
            read_back=self.seams.read_back,
        )
        if not resolved.version:
            raise FencedError('the session was revoked')
        self.slot_versions[slot] = resolved.version

    async def publish(
        self, sequence: int, body: bytes, units: t.Iterable[tuple[str, int]]
    ) -> None:
        """Publish a snapshot that covers all rows up to a sequence.

        The objects that it replaces are deleted afterwards.
        """
        key = f'snapshot/{self.session_id}/{sequence}'
        await put_object(self.objects, key, body)
        row_key = snapshot_key(self.session_id)
        resolved = await commit_resolved(
            self.table,
            [
                Condition(row_key, self.snapshot_version),
                self._make_live_condition(),
            ],
            [Write(row_key, f'{sequence}\n{key}')],
        )
        if not resolved.version:
            raise FencedError('the session was revoked')
        self.snapshot_version = resolved.version
        replaced = [self.last_snapshot] if self.last_snapshot else []
        replaced.extend(
            self.activation_keys.pop(unit)
            for unit in units
            if unit in self.activation_keys
        )
        self.last_snapshot = key
        await self._delete(replaced)

    async def _delete(self, keys: t.Iterable[str]) -> None:
        """Delete objects, ignoring those that can't be deleted now."""
        for key in keys:
            with contextlib.suppress(UnavailableError):
                await self.objects.delete(key)

    async def write_ownership(
        self,
        ownership: Ownership,
        expected_version: int,
        revoke: t.Sequence[LeaseRow],
    ) -> CommitResult:
        """Replace the ownership row and revoke sessions in one commit."""
        conditions = [
            Condition(_OWNERSHIP_KEY, expected_version),
            self._make_live_condition(),
        ]
        writes = [Write(_OWNERSHIP_KEY, codec.encode(ownership).decode())]
        for lease in revoke:
            key = lease_key(lease.session_id)
            conditions.append(Condition(key, lease.version))
            writes.append(Write(session_key(lease.session_id), 'revoked'))
            writes.append(Write(key, None))
        return await commit_resolved(self.table, conditions, writes)

    async def close(self) -> None:
        """Close the session, so that its units can be taken over at once."""
        await self.table.commit(
            [self._make_live_condition()],
            [
                Write(session_key(self.session_id), 'closed'),
                Write(lease_key(self.session_id), None),
            ],
        )

    async def load_unit(self, unit: str, holder: Holder) -> Ledger:
        """Read a unit's state as its last owner left it.

        The state of a unit that had an owner before is stored as an object
        of its own, unless it comes from one. Later owners load it from there.
        """
        if holder.base:
            self.activation_keys[unit, holder.epoch] = holder.base
            return await self._load_base(unit, holder.base)
        ledger = make_ledger(unit)
        for source in holder.previous:
            found = await self._load_from(unit, source)
            if found is not None:
                ledger = found
                break
        if holder.previous:
            key = activation_key(unit, holder.epoch, self.session_id)
            body = codec.encode_ledgers([(unit, holder.epoch, ledger)])
            await put_object(self.objects, key, body)
            self.activation_keys[unit, holder.epoch] = key
        return ledger

    async def _load_base(self, unit: str, key: str) -> Ledger:
        body = await read_object(self.objects, key)
        if body is None:
            raise FencedError(f'the object {key} is gone')
        _, raw = codec.split_ledgers(body)[unit]
        return codec.decode_ledger(unit, raw)

    async def _load_from(self, unit: str, source: Source) -> Ledger | None:
        """Return the unit's state as a previous owner left it.

        Return nothing if that owner never activated the unit.
        """
        journal = await self._read_closed(source.session_id)
        epoch, body = journal.units.get(unit, (0, b''))
        if epoch == source.epoch:
            ledger: Ledger | None = codec.decode_ledger(unit, body)
        else:
            ledger = await self._load_activation(unit, source)
        if ledger is None:
            return None
        for sequence, records in journal.rows:
            if sequence <= journal.snapshot_sequence:
                continue
            for entry in records:
                if entry.unit == unit and entry.epoch == source.epoch:
                    apply(entry.record, ledger)
        return ledger

    async def _load_activation(
        self, unit: str, source: Source
    ) -> Ledger | None:
        """Return the state with which a previous owner activated a unit."""
        if source.base:
            return await self._load_base(unit, source.base)
        key = activation_key(unit, source.epoch, source.session_id)
        body = await read_object(self.objects, key)
        if body is not None:
            _, raw = codec.split_ledgers(body)[unit]
            return codec.decode_ledger(unit, raw)
        return make_ledger(unit) if source.epoch == 1 else None

    async def _read_closed(self, session_id: str) -> ClosedJournal:
        """Read a fenced session's snapshot and rows, or return cached ones."""
        async with self.journal_lock:
            if session_id not in self.cached_journals:
                if len(self.cached_journals) >= _MAX_CACHED_JOURNALS:
                    self.cached_journals.pop(next(iter(self.cached_journals)))
                self.cached_journals[session_id] = await self._read_session(
                    session_id
                )
            return self.cached_journals[session_id]

    async def _read_session(self, session_id: str) -> ClosedJournal:
        units: dict[str, tuple[int, bytes]] = {}
        covered = 0
        row = await read_row(self.table, snapshot_key(session_id))
        if row is not None:
            number, _, key = row.value.partition('\n')
            covered = int(number)
            body = await read_object(self.objects, key)
            if body is not None:
                units = codec.split_ledgers(body)
        rows = sorted(
            _parse_journal_row(found)
            for _, found in await scan_rows(
                self.table, f'journal/{session_id}/'
            )
        )
        return ClosedJournal(
            units,
            covered,
            tuple(
                (sequence, codec.decode_records(body))
                for sequence, body in rows
                if sequence > covered
            ),
        )

    def _make_live_condition(self) -> Condition:
        return Condition(session_key(self.session_id), self.session_version)


def activation_key(unit: str, epoch: int, session_id: str) -> str:
    """Return the key of the state with which an owner activated a unit."""
    return f'unit/{unit}/{epoch}/{session_id}'


def _make_lease_write(lease: LeaseRow) -> Write:
    return Write(lease_key(lease.session_id), codec.encode(lease).decode())


def _parse_journal_row(row: Row) -> tuple[int, str]:
    sequence, _, body = row.value.partition('\n')
    return int(sequence), body


@attrs.frozen
class Membership:
    """The table's state of sessions and ownership of units."""

    ownership: Ownership
    ownership_version: int
    leases: tuple[LeaseRow, ...]


async def read_membership(table: Table) -> Membership:
    """Read ownership and leases, in this order."""
    row = await table.get(_OWNERSHIP_KEY)
    ownership = codec.decode(row.value, Ownership) if row else Ownership()
    leases = tuple(
        attrs.evolve(codec.decode(found.value, LeaseRow), version=found.version)
        for _, found in await table.scan('lease/')
    )
    return Membership(ownership, row.version if row else 0, leases)


async def collect_garbage(table: Table, objects: Objects) -> int:
    """Delete the rows and snapshots of ended sessions.

    Sessions are kept whose state a current owner may still have to read.
    Returns the number of sessions cleared.
    """
    membership = await read_membership(table)
    needed = {lease.session_id for lease in membership.leases}
    for holder in membership.ownership.units.values():
        needed.add(holder.session_id)
        needed.update(source.session_id for source in holder.previous)
    cleared = 0
    for key, row in await table.scan('session/'):
        session_id = key.partition('/')[2]
        if session_id in needed or row.value.startswith(_LIVE):
            continue
        await _clear_session(table, objects, session_id)
        cleared += 1
    return cleared


async def _clear_session(
    table: Table, objects: Objects, session_id: str
) -> None:
    snapshot = await table.get(snapshot_key(session_id))
    if snapshot is not None:
        await objects.delete(snapshot.value.partition('\n')[2])
    rows = await table.scan(f'journal/{session_id}/')
    writes = [Write(key, None) for key, _ in rows]
    writes.append(Write(snapshot_key(session_id), None))
    writes.append(Write(session_key(session_id), None))
    await table.commit([], writes)
