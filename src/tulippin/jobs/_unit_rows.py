"""Lease and epoch of a unit, as read from the rows of its own part."""

from __future__ import annotations

import attrs

from tulippin.jobs import events as ev
from tulippin.jobs._rows import (
    get_version,
    is_unreadable,
    log_unreadable,
    read_record,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    EPOCH_KEY,
    LEASE_KEY,
    EpochRecord,
    LeaseRecord,
)


@attrs.define
class UnitRows:
    """The newest lease and epoch that were read.

    ``lease`` is the last valid lease, ``lease_seen_ms`` when it changed last.
    """

    lease: LeaseRecord | None = None
    lease_seen_ms: int = 0
    _newest: LeaseRecord | None = None
    _epoch: EpochRecord | None = None
    _rows: dict[str, StoredRow] = attrs.field(factory=dict)

    def process_row(self, row: StoredRow, now_ms: int) -> None:
        """Process a changed row."""
        self._rows[row.key] = row
        if row.key == LEASE_KEY:
            self._process_lease(row, now_ms)
        elif row.key == EPOCH_KEY:
            self._epoch = _read_epoch(row)

    def _process_lease(self, row: StoredRow, now_ms: int) -> None:
        """Read the lease; keep the last valid one while it is unreadable."""
        self._newest = read_record(row, LeaseRecord)
        if self._newest != self.lease and not is_unreadable(row, self._newest):
            self.lease_seen_ms = now_ms
            self.lease = self._newest

    def make_event(self, now_ms: int) -> ev.LeaseSeen:
        """Return the event that reports lease and epoch to the reducer."""
        return ev.LeaseSeen(
            now_ms,
            self._newest,
            get_version(self._rows.get(LEASE_KEY)),
            self._epoch,
            get_version(self._rows.get(EPOCH_KEY)),
        )


def _read_epoch(row: StoredRow) -> EpochRecord | None:
    """Return the epoch, or an upper bound if its row can't be read.

    Each takeover raises the epoch by one and the store's version by at least
    one, so the row's version is an upper bound. An epoch below one that
    workers have received would be fenced by all of them.
    """
    record = read_record(row, EpochRecord)
    if record is not None and not 0 < record.epoch <= row.version:
        log_unreadable(row, f'epoch out of range: {record.epoch}')
        record = None
    if is_unreadable(row, record):
        return EpochRecord(row.version, '')
    return record
