"""The product's table over the platform's rows, for bundles."""

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

# An operator waits for a step at most so long.
_COMMIT_LIMIT_S: t.Final = 3.0


def _convert(row: StoredRow) -> Row:
    # What is no text becomes text that no signature confirms.
    return Row((row.value or b'').decode(errors='replace'), row.version)


@attrs.frozen
class RowTable:
    """Keeps the product's rows in one table and part; see ``Table``."""

    store: RowStore

    async def get(self, key: str) -> Row | None:
        """Return a row."""
        page = await self.store.read_rows(
            PRODUCT_TABLE, PRODUCT_PART, key, f'{key}\0'
        )
        return _convert(page.rows[0]) if page.rows else None

    async def scan(self, prefix: str) -> list[tuple[str, Row]]:
        """Return the rows whose key begins with a prefix."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        page = await self.store.read_rows(
            PRODUCT_TABLE, PRODUCT_PART, prefix, end
        )
        return [(row.key, _convert(row)) for row in page.rows]

    async def commit(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply all writes if all conditions hold."""
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
            self.store, transaction, _COMMIT_LIMIT_S
        )
        if not result.is_done and not conditions:
            raise AnswerLostError('the store refused a write')
        return result.version if result.is_done else 0
