"""Executes a caller's transaction within the time that the caller waits."""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs._rows import get_version, read_row
from tulippin.jobs._transactions import recognize_own_writes
from tulippin.jobs._write_bounds import (
    Action,
    CallRejectedError,
    Reason,
    ResponseTime,
    StoreLoad,
    WriteAttempts,
)
from tulippin.jobs.ports import (
    STORE_TIMEOUT_S,
    PartitionBehindError,
    RowStore,
    Transaction,
    TransactionResult,
    WriteRefusedError,
)
from tulippin.logs import logger

_MS: t.Final = 1000


async def transact_in_time(
    store: RowStore,
    transaction: Transaction,
    deadline_s: float,
    load: StoreLoad,
) -> tuple[TransactionResult, int]:
    """Execute a transaction; repeat it only where that is of use.

    Parameters
    ----------
    store : RowStore
        The store that executes the transaction.
    transaction : Transaction
        Conditions and writes. The first condition is on a row that is written,
        by which the transaction is recognized when it is read back.
    deadline_s : float
        When the outcome must be known, by trio's clock.
    load : StoreLoad
        What is known of the store's response times, which is updated.

    Returns
    -------
    tuple of TransactionResult and int
        The result, and the number of attempts.

    Raises
    ------
    CallRejectedError
        If the transaction was not applied and will not be.
    AnswerLostError
        If the transaction may have been applied, or may still be.
    WriteRefusedError
        If the store refuses the transaction for its content.
    """
    now_s = trio.current_time()
    write = _BoundedWrite(
        store, transaction, load, WriteAttempts(now_s, deadline_s)
    )
    async with trio.open_nursery() as nursery:
        await write.run(nursery)
        nursery.cancel_scope.cancel()
    return write.conclude(), write.attempts.sent_count


def make_rejection(
    reason: Reason, left_s: float, response: ResponseTime
) -> CallRejectedError:
    """Return the error for a call that has no effect."""
    return CallRejectedError(
        f'not run: {reason.value}, {left_s * _MS:.0f} ms are left and a'
        f' response takes {response.needed_s * _MS:.0f} ms',
        reason,
        response.retry_after_s,
    )


@attrs.define
class _BoundedWrite:
    """One transaction with its attempts; the first known outcome counts."""

    store: RowStore
    transaction: Transaction
    load: StoreLoad
    attempts: WriteAttempts
    result: TransactionResult | None = None
    refusal: WriteRefusedError | None = None
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def _get_response_time(self) -> ResponseTime:
        return self.load.get_response_time(
            trio.current_time(), self.transaction.part
        )

    async def run(self, nursery: trio.Nursery) -> None:
        """Perform what is decided until there is a result or no use in more."""
        while self.result is None and self.refusal is None:
            now_s = trio.current_time()
            response = self._get_response_time()
            decision = self.attempts.decide(now_s, response)
            if decision.action is Action.GIVE_UP:
                return
            if decision.action is Action.SEND:
                limit_s = self.attempts.get_answer_limit_s(now_s, response)
                self.attempts.note_sent(now_s)
                nursery.start_soon(self._run_attempt, limit_s)
            elif decision.action is Action.READ_BACK:
                self.attempts.note_read_back(now_s, response)
                nursery.start_soon(self._read_back)
            else:
                await self._wait(decision.until_s)

    async def _wait(self, until_s: float) -> None:
        """Wait for a change, up to a time."""
        self._changed = trio.Event()
        with trio.move_on_at(until_s):
            await self._changed.wait()

    async def _run_attempt(self, limit_s: float) -> None:
        sent_s = trio.current_time()
        extra_ms = max(0, int((limit_s - STORE_TIMEOUT_S) * _MS))
        try:
            result = await self.store.transact(self.transaction, extra_ms)
        except WriteRefusedError as error:
            self.refusal = error
        except UnavailableError as error:
            self._log_failure(error)
            self._note_failure(error, sent_s)
        else:
            self._note_time(sent_s)
            self.load.note_answer(self.transaction.part, sent_s)
            self._set_result(result)
        self._changed.set()

    def _note_failure(self, error: UnavailableError, sent_s: float) -> None:
        now_s = trio.current_time()
        if isinstance(error, AnswerLostError):
            self._note_time(sent_s)
            self.attempts.note_lost(now_s)
        elif isinstance(error, PartitionBehindError):
            self.load.note_full(self.transaction.part, now_s)
            self.attempts.note_full(
                now_s, self._get_response_time(), self.load.source.random()
            )
        else:
            self.attempts.note_rejected(now_s)

    def _note_time(self, sent_s: float) -> None:
        now_s = trio.current_time()
        self.load.times.note(now_s - sent_s, now_s)

    def _log_failure(self, error: UnavailableError) -> None:
        logger.debug(
            'write not confirmed',
            part=self.transaction.part,
            reason=error.message,
            attempts=self.attempts.sent_count,
        )

    def _set_result(self, result: TransactionResult) -> None:
        if self.result is not None:
            return
        attempts = self.attempts
        if attempts.is_in_doubt or attempts.open_count > 1:
            result = recognize_own_writes(self.transaction, result)
        self.result = result

    async def _read_back(self) -> None:
        """Read whether an attempt took effect.

        If the row has another version than its condition requires, the
        transaction was applied or never will be. Otherwise its outcome is
        still unknown, as it may be applied later.
        """
        condition = self.transaction.conditions[0]
        try:
            row = await read_row(
                self.store,
                condition.table,
                self.transaction.part,
                condition.key,
            )
        except UnavailableError as error:
            self._log_failure(error)
            row = None
        if row is not None and get_version(row) != condition.version:
            found = TransactionResult(False, row.version, (row,))
            self._set_result(recognize_own_writes(self.transaction, found))
        self.attempts.is_reading = False
        self._changed.set()

    def conclude(self) -> TransactionResult:
        """Return the result; raise an error if there is none."""
        if self.result is not None:
            return self.result
        if self.refusal is not None:
            raise self.refusal
        response = self._get_response_time()
        reason = self.attempts.get_reason(response)
        if reason is Reason.OUTCOME_UNKNOWN:
            if self.attempts.open_count:
                self._note_time(self.attempts.last_sent_s)
            count = self.attempts.sent_count
            raise AnswerLostError(f'no answer to {count} attempts')
        left_s = self.attempts.deadline_s - trio.current_time()
        raise make_rejection(reason, left_s, response)
