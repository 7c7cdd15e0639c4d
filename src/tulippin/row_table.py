"""Adapter that stores bundles in the row store of the platform."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.exceptions import AnswerLostError
from tulippin.jobs._transactions import transact_with_retries
from tulippin.jobs.ports import (
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
)
from tulippin.jobs.records import PRODUCT_PART, PRODUCT_TABLE
from tulippin.ports import Condition, Row, Write

# Bounds how long an operator's command waits for its commit.
_COMMIT_TIMEOUT_S: t.Final = 3.0


def _to_row(row: StoredRow) -> Row:
    # Invalid UTF-8 is replaced; the signature check then rejects the text.
    return Row((row.value or b'').decode(errors='replace'), row.version)


@attrs.frozen
class RowTable:
    """Implements the ``Table`` port on one table and part of a row store."""

    store: RowStore

    async def get(self, key: str) -> Row | None:
        """Return a row, or nothing if it is absent."""
        page = await self.store.read_rows(
            PRODUCT_TABLE, PRODUCT_PART, key, f'{key}\0'
        )
        return _to_row(page.rows[0]) if page.rows else None

    async def scan(self, prefix: str) -> list[tuple[str, Row]]:
        """Return the rows whose key begins with a prefix."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        page = await self.store.read_rows(
            PRODUCT_TABLE, PRODUCT_PART, prefix, end
        )
        return [(row.key, _to_row(row)) for row in page.rows]

    async def commit(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply all writes if all conditions hold.

        Returns the version of the rows, or 0 if a condition did not hold.
        """
        transaction = Transaction(
            PRODUCT_PART,
            tuple(
                RowCondition(PRODUCT_TABLE, one.key, one.version)
                for one in conditions
            ),
            tuple(
                RowWrite(
                    PRODUCT_TABLE,
                    one.key,
                    None if one.value is None else one.value.encode(),
                )
                for one in writes
            ),
        )
        result = await transact_with_retries(
            self.store, transaction, _COMMIT_TIMEOUT_S
        )
        if not result.is_done and not conditions:
            raise AnswerLostError('the store refused a write')
        return result.version if result.is_done else 0
