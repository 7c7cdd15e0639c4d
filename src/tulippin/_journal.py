"""Journal: group commit of records, and snapshots of the owned units.

Pending records are committed as one row at a time. The interval between
rows grows with the number of instances, so that all instances together
stay within the configured write rate of the table.
"""

from __future__ import annotations

import zlib

from tulippin import codec
from tulippin import effects as fx
from tulippin._context import Context, count_instances
from tulippin._dispatch import handle, handle_committed
from tulippin.events import (
    JournalCommitted,
    SnapshotFailed,
    SnapshotPublished,
)
from tulippin.ledger import apply
from tulippin.state import Phase

_SNAPSHOT_RETRY_MS = 2000


def flush(context: Context) -> None:
    """Commit pending records as one row if a commit is allowed now.

    The row waits while another is in flight, before the end of the commit
    interval, and while the journal ring has no free row.
    """
    _start_snapshot(context)
    journal = context.state.journal
    config = context.state.config
    is_blocked = journal.in_flight or not journal.pending
    if is_blocked or not context.may_act:
        return
    if context.now_ms < journal.next_commit_ms:
        return
    used_rows = journal.sequence - journal.snapshot_sequence
    if used_rows >= config.journal_ring - 1:
        return
    batch = tuple(journal.pending[: config.journal_row_records])
    del journal.pending[: len(batch)]
    journal.in_flight = batch
    journal.next_commit_ms = context.now_ms + get_commit_interval_ms(context)
    context.state.counters['journal_rows'] += 1
    context.state.counters['journal_records'] += len(batch)
    context.emit(
        fx.CommitJournal(
            context.state.session.session_id, journal.sequence + 1, batch
        )
    )


def get_commit_interval_ms(context: Context) -> int:
    """Return the minimum time between two commits of this instance."""
    instances = count_instances(context.state)
    return int(1000 * instances / context.state.config.journal_writes_per_s)


def _start_snapshot(context: Context) -> None:
    journal = context.state.journal
    unpublished_rows = journal.sequence - journal.snapshot_sequence
    if (
        journal.snapshot_running
        or not context.may_act
        or unpublished_rows < _get_snapshot_interval_rows(context)
        or context.now_ms < journal.next_snapshot_ms
    ):
        return
    journal.snapshot_running = True
    units = [
        (unit.unit, unit.epoch, unit.ledger)
        for unit in context.state.iter_units()
        if unit.phase is not Phase.LOADING
    ]
    context.emit(
        fx.PublishSnapshot(
            context.state.session.session_id,
            journal.sequence,
            codec.encode_ledgers(units),
            tuple((unit, epoch) for unit, epoch, _ in units),
        )
    )


def _get_snapshot_interval_rows(context: Context) -> int:
    """Return the number of rows between snapshots.

    It is spread by session id, so that the instances don't all publish
    at the same time.
    """
    rows = context.state.config.snapshot_every_rows
    session_id = context.state.session.session_id
    return rows + zlib.crc32(session_id.encode()) % rows


@handle.register
def _(event: JournalCommitted, context: Context) -> None:
    state = context.state
    journal = state.journal
    if event.session_id != state.session.session_id:
        return
    if event.sequence != journal.sequence + 1:
        return
    batch = journal.in_flight
    journal.sequence = event.sequence
    journal.in_flight = ()
    for entry in batch:
        journal.uncommitted_counts[entry.unit] -= 1
        unit = state.get_unit(entry.unit)
        if unit is None or unit.epoch != entry.epoch:
            continue
        apply(entry.record, unit.ledger)
        handle_committed(entry.record, unit, context)


@handle.register
def _(event: SnapshotPublished, context: Context) -> None:
    if event.session_id != context.state.session.session_id:
        return
    journal = context.state.journal
    journal.snapshot_running = False
    journal.snapshot_sequence = max(journal.snapshot_sequence, event.sequence)


@handle.register
def _(event: SnapshotFailed, context: Context) -> None:
    if event.session_id != context.state.session.session_id:
        return
    journal = context.state.journal
    journal.snapshot_running = False
    journal.next_snapshot_ms = context.now_ms + _SNAPSHOT_RETRY_MS
