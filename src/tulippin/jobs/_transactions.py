"""Retrying store transactions in doubt until their result is known."""

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
    WriteRefusedError,
)

# Initial delay after a rejected attempt, about ten calls of the store. It is
# doubled up to a limit at which a recovering store can serve all instances.
_MIN_BACKOFF_S: t.Final = 0.04
_MAX_BACKOFF_S: t.Final = 0.4
# An attempt without an answer after this many usual answer times gets a
# concurrent retry. Otherwise each lost answer costs the call's timeout of
# 0.9 s, of which a lease of 2 s allows for two, and a store may lose a third
# of its answers.
_RETRY_ANSWER_TIMES: t.Final = 3.0
_MIN_WAIT_S: t.Final = 0.15
_MAX_WAIT_S: t.Final = 1.0
# Maximum number of concurrent attempts.
_MAX_OPEN_ATTEMPTS: t.Final = 5
# Weight of a new answer time in the moving average.
_AVERAGE_WEIGHT: t.Final = 0.3


@attrs.define
class AnswerTimes:
    """Moving average of the store's answer times for transactions.

    An attempt whose answer is lost counts with its duration. ``spread_s`` is
    the mean deviation, and ``noted_s`` the time of the last answer.
    """

    usual_s: float = 0.0
    spread_s: float = 0.0
    noted_s: float = -math.inf

    def note(self, took_s: float, now_s: float) -> None:
        """Add the time of an answer, or of an attempt without one."""
        deviation_s = abs(took_s - self.usual_s)
        self.spread_s += _AVERAGE_WEIGHT * (deviation_s - self.spread_s)
        self.noted_s = now_s
        self.usual_s += _AVERAGE_WEIGHT * (took_s - self.usual_s)

    def expect(self, usual_s: float) -> None:
        """Raise the usual answer time to one that others have observed."""
        self.usual_s = max(self.usual_s, usual_s)

    @property
    def wait_s(self) -> float:
        """Time to wait for an answer before a concurrent retry, in seconds.

        It grows with the usual answer time, so that a slow store doesn't get
        retries of transactions that it would have answered.
        """
        return min(
            max(_RETRY_ANSWER_TIMES * self.usual_s, _MIN_WAIT_S), _MAX_WAIT_S
        )


async def transact_with_retries(
    store: RowStore,
    transaction: Transaction,
    limit_s: float,
    times: AnswerTimes | None = None,
) -> TransactionResult:
    """Execute a transaction, and retry it while its outcome is in doubt.

    A transaction is safe to retry, also concurrently, as its conditions fail
    once it has been applied; the rows returned then show whether they were
    written by an earlier attempt.

    Parameters
    ----------
    store : RowStore
        The store that executes the transaction.
    transaction : Transaction
        The conditions and writes to apply.
    limit_s : float
        Time limit after which no attempt is started.
    times : AnswerTimes, optional
        The store's answer times, which are updated.

    Returns
    -------
    TransactionResult
        The result of the first attempt with a known outcome.

    Raises
    ------
    UnavailableError
        If the transaction was not applied and will not be.
    AnswerLostError
        If the transaction may have been applied, or may still be.
    WriteRefusedError
        If the store refuses the transaction for its content. The attempts
        before it had the same content.
    """
    attempts = _TransactionAttempts(
        store, transaction, limit_s, times or AnswerTimes()
    )
    async with trio.open_nursery() as nursery:
        await attempts.run(nursery)
        nursery.cancel_scope.cancel()
    return attempts.conclude()


@attrs.define
class _TransactionAttempts:
    """The attempts of one transaction; the first known outcome counts."""

    store: RowStore
    transaction: Transaction
    limit_s: float
    times: AnswerTimes
    result: TransactionResult | None = None
    reason: UnavailableError | None = None
    refusal: WriteRefusedError | None = None
    started_count: int = 0
    open_count: int = 0
    is_lost: bool = False
    rejected_count: int = 0
    backoff_s: float = _MIN_BACKOFF_S
    _changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def is_concluded(self) -> bool:
        """Whether the outcome is known."""
        return self.result is not None or self.refusal is not None

    async def run(self, nursery: trio.Nursery) -> None:
        """Start attempts until one has a known outcome or time runs out."""
        deadline_s = trio.current_time() + self.limit_s
        while True:
            if self.open_count < _MAX_OPEN_ATTEMPTS:
                self.started_count += 1
                self.open_count += 1
                nursery.start_soon(self._run_attempt)
            await self._wait(self._get_wait_s())
            if self.is_concluded:
                return
            if not self.open_count:
                # All attempts were rejected or lost: backs off.
                if trio.current_time() + self.backoff_s >= deadline_s:
                    return
                await trio.sleep(self.backoff_s)
                self.backoff_s = min(self.backoff_s * 2, _MAX_BACKOFF_S)
            elif trio.current_time() >= deadline_s:
                await self._wait(math.inf)
                return

    def _get_wait_s(self) -> float:
        """Return the time to wait before a concurrent retry, in seconds.

        The time doubles with each attempt that is rejected while others are
        open, as the store is overloaded then.
        """
        wait_s = self.times.wait_s * 2**self.rejected_count
        return min(wait_s, _MAX_WAIT_S)

    async def _wait(self, wait_s: float) -> None:
        """Wait for a result, the end of all attempts, or the time limit."""
        with trio.move_on_after(wait_s):
            while not self.is_concluded and self.open_count:
                self._changed = trio.Event()
                await self._changed.wait()

    async def _run_attempt(self) -> None:
        began_s = trio.current_time()
        try:
            result = await self.store.transact(self.transaction)
        except AnswerLostError as error:
            # No concurrent attempt was answered in this time either: the
            # store is slow.
            self._note_time(began_s)
            self.is_lost = True
            self.reason = error
        except WriteRefusedError as error:
            self.refusal = error
        except UnavailableError as error:
            self.reason = error
            self.rejected_count += self.open_count > 1
        else:
            self._note_time(began_s)
            self._set_result(result)
        self.open_count -= 1
        self._changed.set()

    def _note_time(self, began_s: float) -> None:
        now_s = trio.current_time()
        self.times.note(now_s - began_s, now_s)

    def _set_result(self, result: TransactionResult) -> None:
        if self.result is not None:
            return
        is_only = self.open_count == 1 and not self.is_lost
        if not is_only:
            result = recognize_own_writes(self.transaction, result)
        self.result = result

    def conclude(self) -> TransactionResult:
        """Return the result, or raise the error of the last attempt."""
        if self.result is not None:
            return self.result
        if self.refusal is not None:
            raise self.refusal
        reason = self.reason or UnavailableError('the store is not reached')
        if self.is_lost:
            raise AnswerLostError(reason.message) from reason
        raise reason


def recognize_own_writes(
    transaction: Transaction, result: TransactionResult
) -> TransactionResult:
    """Return a successful result if an earlier attempt wrote the rows found.

    Any other result is returned unchanged.
    """
    if result.is_done:
        return result
    written = {(write.table, write.key): write for write in transaction.writes}
    found = {(row.table, row.key): row for row in result.rows}
    shared = [row_key for row_key in written if row_key in found]
    is_applied = bool(shared) and all(
        found[row_key].value == written[row_key].value for row_key in shared
    )
    if not is_applied:
        return result
    version = max(found[row_key].version for row_key in shared)
    return TransactionResult(True, version, result.rows, result.store_ms)
