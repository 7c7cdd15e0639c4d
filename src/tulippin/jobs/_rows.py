"""Records read from the store's rows."""

from __future__ import annotations

import typing as t

from tulippin.codec_json import decode
from tulippin.exceptions import InputError
from tulippin.jobs.ports import RowStore, StoredRow
from tulippin.logs import logger

Record = t.TypeVar('Record')


def read_record(row: StoredRow | None, kind: type[Record]) -> Record | None:
    """Return a row's record; nothing if it is absent or unreadable."""
    if row is None or row.value is None:
        return None
    try:
        return decode(row.value, kind)
    except InputError as error:
        logger.error('row unreadable', key=row.key, reason=error.message)
        return None


async def read_row(
    store: RowStore, table: str, part: str, key: str
) -> StoredRow | None:
    """Return one row of the store, or nothing if it is absent."""
    # The smallest key above this one ends the range.
    page = await store.read_rows(table, part, key, f'{key}\0')
    return next((row for row in page.rows if row.key == key), None)


def get_version(row: StoredRow | None) -> int:
    """Return a row's version; 0 if it is absent."""
    return 0 if row is None or row.value is None else row.version
