"""What the rows of a unit's own part tell of its owner."""

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
    """The newest readings of lease and epoch.

    ``lease`` is the last lease that could be read, ``lease_seen_ms`` when
    that was.
    """

    lease: LeaseRecord | None = None
    lease_seen_ms: int = 0
    _newest: LeaseRecord | None = None
    _epoch: EpochRecord | None = None
    _rows: dict[str, StoredRow] = attrs.field(factory=dict)

    def take(self, row: StoredRow, now_ms: int) -> None:
        """Take in a changed row."""
        self._rows[row.key] = row
        if row.key == LEASE_KEY:
            self._take_lease(row, now_ms)
        elif row.key == EPOCH_KEY:
            self._epoch = _read_epoch(row)

    def _take_lease(self, row: StoredRow, now_ms: int) -> None:
        """Read the lease; what it told last counts while it is unreadable."""
        self._newest = read_record(row, LeaseRecord)
        if self._newest != self.lease and not is_unreadable(row, self._newest):
            self.lease_seen_ms = now_ms
            self.lease = self._newest

    def make_event(self, now_ms: int) -> ev.LeaseSeen:
        """Return what the reducer is told of them."""
        return ev.LeaseSeen(
            now_ms,
            self._newest,
            get_version(self._rows.get(LEASE_KEY)),
            self._epoch,
            get_version(self._rows.get(EPOCH_KEY)),
        )


def _read_epoch(row: StoredRow) -> EpochRecord | None:
    """Return the epoch; one above all that were, if it can't be read.

    Each taking raises the epoch by one and the store's version by one or
    more, so that no epoch is above the version of its row. A lower one than
    workers have met would be fenced, by all of them.
    """
    record = read_record(row, EpochRecord)
    if record is not None and not 0 < record.epoch <= row.version:
        log_unreadable(row, f'its epoch is {record.epoch}')
        record = None
    if is_unreadable(row, record):
        return EpochRecord(row.version, '')
    return record
