"""Reading and validation of records in the store's rows."""

from __future__ import annotations

import typing as t

from tulippin import failures
from tulippin.exceptions import InputError
from tulippin.jobs._record_validation import drop_faults, find_fault
from tulippin.jobs._row_codec import decode_row
from tulippin.jobs.ports import RowStore, StoredRow
from tulippin.logs import logger

Record = t.TypeVar('Record')
# A row may have thousands of invalid parts.
_MAX_LOGGED_PARTS: t.Final = 8


def read_record(row: StoredRow | None, kind: type[Record]) -> Record | None:
    """Return a row's record, or None if it is absent or invalid.

    Invalid parts that are only advisory are dropped from the record.
    """
    if row is None or row.value is None:
        return None
    try:
        record = decode_row(row.value, kind)
    except InputError as error:
        log_unreadable(row, error.message)
        return None
    record, dropped = _drop_invalid_parts(record)
    for reason in dropped[:_MAX_LOGGED_PARTS]:
        log_unreadable(row, reason, 'row part unreadable')
    fault = _check_record(record)
    if fault:
        log_unreadable(row, fault)
        return None
    return record


def _drop_invalid_parts(record: Record) -> tuple[Record, tuple[str, ...]]:
    """Return a record without invalid advisory parts, and why each was."""
    try:
        return drop_faults(record)
    except Exception as error:
        # The check of the whole record fails as well, and refuses it.
        failures.tell('check failed', error, record=type(record).__name__)
        return record, ()


def _check_record(record: Record) -> str:
    """Return what makes a record invalid, or an empty text.

    A check that raises an error makes it invalid too.
    """
    try:
        return find_fault(record)
    except Exception as error:
        failures.tell('check failed', error, record=type(record).__name__)
        return f'check raised {error!r}'


def log_unreadable(
    row: StoredRow, reason: str, what: str = 'row unreadable'
) -> None:
    """Log that a row, or a part of it, is not used, and why."""
    logger.error(
        what,
        table=row.table,
        part=row.part,
        key=row.key,
        version=row.version,
        reason=reason,
    )


def is_unreadable(row: StoredRow | None, record: object) -> bool:
    """Whether a row is present but its record could not be read."""
    return row is not None and row.value is not None and record is None


async def read_row(
    store: RowStore, table: str, part: str, key: str
) -> StoredRow | None:
    """Return one row of the store, or None if it is absent."""
    # The smallest key above this one ends the range.
    page = await store.read_rows(table, part, key, f'{key}\0')
    return next((row for row in page.rows if row.key == key), None)


def get_version(row: StoredRow | None) -> int:
    """Return a row's version, or 0 if it is absent."""
    return 0 if row is None or row.value is None else row.version
