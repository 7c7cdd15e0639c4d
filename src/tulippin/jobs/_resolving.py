"""Transactions whose answer may be lost, carried to a sure result."""

from __future__ import annotations

import math
import typing as t

import attrs
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    RowStore,
    Transaction,
    TransactionResult,
)

# Between two tries that were refused: some ten calls of the store, doubled
# up to a limit that an instance's share of a returning store bears.
_FIRST_PAUSE_S: t.Final = 0.04
_LAST_PAUSE_S: t.Final = 0.4
# A try that has no answer after so many usual answer times gets another
# one beside it. A store that loses a third of the answers cost each loss
# the call's timeout of 0.9 s before, and a lease of 2 s bears two of them.
_LATE_FACTOR: t.Final = 3.0
_LEAST_WAIT_S: t.Final = 0.15
_LONGEST_WAIT_S: t.Final = 1.0
# The most tries without an answer at one time.
_MOST_OPEN: t.Final = 5
# Weight of a new answer time in the usual one.
_LEARN: t.Final = 0.3


@attrs.define
class AnswerTimes:
    """How long the store usually takes to answer a transaction.

    A try that is lost counts with its time, if no other one beside it was
    answered meanwhile: then it is the store that is slow.
    """

    usual_s: float = 0.0

    def note(self, took_s: float) -> None:
        """Take in the time of an answer, or of a try without one."""
        self.usual_s += _LEARN * (took_s - self.usual_s)

    def expect(self, usual_s: float) -> None:
        """Take a store to be no faster than others have found it."""
        self.usual_s = max(self.usual_s, usual_s)

    @property
    def wait_s(self) -> float:
        """How long a try waits for its answer before another one is sent.

        A slow store is not sent twice what it would have answered.
        """
        return min(
            max(_LATE_FACTOR * self.usual_s, _LEAST_WAIT_S), _LONGEST_WAIT_S
        )


async def transact_surely(
    store: RowStore,
    transaction: Transaction,
    limit_s: float,
    times: AnswerTimes | None = None,
) -> TransactionResult:
    """Carry out a transaction, again where its fate is open.

    A transaction is safe to repeat, also beside itself, as its conditions
    fail once it has been done; the rows returned then tell whose writes
    they met.

    Parameters
    ----------
    store : RowStore
        Where it is carried out.
    transaction : Transaction
        What is to be done.
    limit_s : float
        No try is begun after so long.
    times : AnswerTimes, optional
        What is known of the store's answers; kept up to date.

    Raises
    ------
    UnavailableError
        If it was surely not done in the time given, nor will be.
    AnswerLostError
        If it may have been done, or may still be.
    """
    tries = _Tries(store, transaction, limit_s, times or AnswerTimes())
    async with trio.open_nursery() as nursery:
        await tries.run(nursery)
        nursery.cancel_scope.cancel()
    return tries.conclude()


@attrs.define
class _Tries:
    """All tries of one transaction; the first sure result counts."""

    store: RowStore
    transaction: Transaction
    limit_s: float
    times: AnswerTimes
    result: TransactionResult | None = None
    reason: UnavailableError | None = None
    sent_count: int = 0
    open_count: int = 0
    is_lost: bool = False
    crowded_count: int = 0
    pause_s: float = _FIRST_PAUSE_S
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, nursery: trio.Nursery) -> None:
        """Send tries until one has a sure result, or time is up."""
        give_up_at = trio.current_time() + self.limit_s
        while True:
            if self.open_count < _MOST_OPEN:
                self.sent_count += 1
                self.open_count += 1
                nursery.start_soon(self._try)
            await self._wait(self._get_wait_s())
            if self.result is not None:
                return
            if not self.open_count:
                # All were refused, or are lost: the store is given time.
                if trio.current_time() + self.pause_s >= give_up_at:
                    return
                await trio.sleep(self.pause_s)
                self.pause_s = min(self.pause_s * 2, _LAST_PAUSE_S)
            elif trio.current_time() >= give_up_at:
                await self._wait(math.inf)
                return

    def _get_wait_s(self) -> float:
        """Return how long to wait before another try is sent beside.

        A store that refuses one beside others has more to do than it can.
        """
        wait_s = self.times.wait_s * 2**self.crowded_count
        return min(wait_s, _LONGEST_WAIT_S)

    async def _wait(self, wait_s: float) -> None:
        """Wait for a result, or until no try is open, or for so long."""
        with trio.move_on_after(wait_s):
            while self.result is None and self.open_count:
                self._changed = trio.Event()
                await self._changed.wait()

    async def _try(self) -> None:
        began_s = trio.current_time()
        try:
            result = await self.store.transact(self.transaction)
        except AnswerLostError as error:
            # No other try had an answer in this time either.
            self.times.note(trio.current_time() - began_s)
            self.is_lost = True
            self.reason = error
        except UnavailableError as error:
            self.reason = error
            self.crowded_count += self.open_count > 1
        else:
            self.times.note(trio.current_time() - began_s)
            self._take(result)
        self.open_count -= 1
        self._changed.set()

    def _take(self, result: TransactionResult) -> None:
        if self.result is not None:
            return
        is_only = self.open_count == 1 and not self.is_lost
        if not is_only:
            result = _recognize(self.transaction, result)
        self.result = result

    def conclude(self) -> TransactionResult:
        """Return the result; raise what kept it from being sure."""
        if self.result is not None:
            return self.result
        reason = self.reason or UnavailableError('the store is not reached')
        if self.is_lost:
            raise AnswerLostError(reason.message) from reason
        raise reason


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
