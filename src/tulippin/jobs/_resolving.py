"""Transactions whose answer may be lost, carried to a sure result."""

from __future__ import annotations

import typing as t

import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    RowStore,
    Transaction,
    TransactionResult,
)

# Between two tries: some ten calls of the store, doubled up to a limit
# that an instance's share of a returning store bears.
_FIRST_PAUSE_S: t.Final = 0.04
_LAST_PAUSE_S: t.Final = 0.4


async def transact_surely(
    store: RowStore, transaction: Transaction, limit_s: float
) -> TransactionResult:
    """Carry out a transaction, again where its fate is open.

    A transaction is safe to repeat, as its conditions fail once it has
    been done; the rows returned then tell whose writes they met.

    Raises
    ------
    UnavailableError
        If it was surely not done in the time given, nor will be.
    AnswerLostError
        If it may have been done, or may still be.
    """
    pause_s = _FIRST_PAUSE_S
    give_up_at = trio.current_time() + limit_s
    is_open = False
    while True:
        try:
            result = await store.transact(transaction)
        except AnswerLostError as error:
            is_open = True
            reason: UnavailableError = error
        except UnavailableError as error:
            reason = error
        else:
            return _recognize(transaction, result) if is_open else result
        if trio.current_time() + pause_s >= give_up_at:
            if is_open:
                raise AnswerLostError(reason.message) from reason
            raise reason
        await trio.sleep(pause_s)
        pause_s = min(pause_s * 2, _LAST_PAUSE_S)


def _recognize(
    transaction: Transaction, result: TransactionResult
) -> TransactionResult:
    """Tell whether the rows met are those of our own earlier try."""
    if result.is_done:
        return result
    written = {(write.table, write.key): write for write in transaction.writes}
    met = {(row.table, row.key): row for row in result.rows}
    shared = [place for place in written if place in met]
    is_ours = bool(shared) and all(
        met[place].value == written[place].value for place in shared
    )
    if not is_ours:
        return result
    version = max(met[place].version for place in shared)
    return TransactionResult(True, version, result.rows)
