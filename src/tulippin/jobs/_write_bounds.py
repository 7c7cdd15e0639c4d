"""Decides when a caller's write is sent, repeated, read back or given up.

A parallel attempt helps only if an answer was lost. While the store is slow,
it is one more write in a part whose writes are executed one after the other.
A write that is sent with too little time left is answered too late, and its
caller does not learn whether it took effect. Nothing here performs I/O.
"""

from __future__ import annotations

import collections
import enum
import math
import random
import statistics
import typing as t

import attrs

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import STORE_TIMEOUT_S

if t.TYPE_CHECKING:
    from tulippin.jobs._transactions import AnswerTimes
    from tulippin.jobs.unit_shell import UnitShell

_MS: t.Final = 1000
# An attempt without an answer after this many usual response times gets a
# parallel one. The minimum is above the response time of a store that has
# only just become slow.
_HEDGE_RESPONSE_TIMES: t.Final = 3.0
_MIN_HEDGE_DELAY_S: t.Final = 0.15
_MAX_HEDGES: t.Final = 2
# The second parallel attempt waits longer by this factor, as the row is read
# first. While the first answers of a store that is 81 times as slow were under
# way (0.73 s), earlier ones filled the queues of their parts.
_SECOND_HEDGE_FACTOR: t.Final = 4.0
# A write may wait for its answer for longer than the store's calls do, up to
# this many times the time that it needs.
_ANSWER_LIMIT_FACTOR: t.Final = 4.0
# Delay of an attempt after one that failed for another reason than its part's
# queue.
_MIN_BACKOFF_S: t.Final = 0.04
_MAX_BACKOFF_S: t.Final = 0.4
# Each further rejection makes the delay longer by this factor.
_BACKOFF_FACTOR: t.Final = 2
# Share of a call's time, and longest time, after which a store that rejects
# everything ends it: another instance may reach the store, and the caller calls
# again.
_REJECTED_SHARE: t.Final = 1 / 3
_MAX_REJECTED_S: t.Final = 1.0
# A row is read back at this time before the deadline at the latest.
_MIN_READ_S: t.Final = 0.02
# The instance's own response times count for this long. Instances that own no
# unit write seldom; owners publish theirs twice a second.
_FRESH_S: t.Final = 2.0
# The store rejects a write with 429 if its part's queue is longer than this.
_FULL_QUEUE_S: t.Final = 1.0
# A full queue counts as empty after this time. It is longer than the queue, as
# other instances go on to write.
_QUEUE_CLEARS_S: t.Final = 2.0


class Reason(enum.Enum):
    """Why a call was given up; the values label a metric."""

    TOO_LITTLE_TIME = 'too_little_time'
    PART_BEHIND = 'part_behind'
    STORE_UNAVAILABLE = 'store_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'


class CallRejectedError(UnavailableError):
    """A call had and will have no effect, as there is no time for it.

    Parameters
    ----------
    message : str
        Why the call was rejected.
    reason : Reason
        Its kind.
    retry_after_s : int
        When the caller may call again.
    """

    code = 'call_rejected'

    def __init__(
        self, message: str, reason: Reason, retry_after_s: int = 1
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.retry_after_s = retry_after_s


def find_reason(error: UnavailableError) -> Reason:
    """Return why a call was given up that ended with an error."""
    if isinstance(error, CallRejectedError):
        return error.reason
    if isinstance(error, AnswerLostError):
        return Reason.OUTCOME_UNKNOWN
    return Reason.STORE_UNAVAILABLE


@attrs.frozen
class ResponseTime:
    """How long the store takes at present to respond to a write.

    Parameters
    ----------
    usual_s : float
        The mean over all calls; 0 if unknown.
    spread_s : float
        The mean deviation from it.
    queue_s : float
        The age of the queue of the write's part, if it is known to be behind.
    """

    usual_s: float = 0.0
    spread_s: float = 0.0
    queue_s: float = 0.0

    @property
    def needed_s(self) -> float:
        """Time within which most responses to a write of the part arrive."""
        return self.usual_s + self.spread_s + self.queue_s

    @property
    def retry_after_s(self) -> int:
        """Time after which a rejected caller may call again, in seconds."""
        return max(1, math.ceil(self.queue_s + self.usual_s))


def list_reported_s(
    units: t.Mapping[int, UnitShell], clock: t.Callable[[], int]
) -> list[float]:
    """Return the usual response times in the fresh leases of other owners."""
    return [
        unit.lease.answer_ms / _MS
        for unit in units.values()
        if unit.lease is not None
        and unit.lease.answer_ms
        and not unit.is_owner
        and clock() - unit.lease_seen_ms <= _FRESH_S * _MS
    ]


@attrs.define
class StoreLoad:
    """What an instance observes of the store, and what its calls came to.

    Parameters
    ----------
    times : AnswerTimes
        The instance's own response times of all transactions.
    reported_s : callable
        Returns the usual response times that owners have published lately.
    source : Random
        The source of jitter.
    given_up : Counter
        The number of calls given up, by reason.
    attempts : Counter
        The number of accepted jobs, by how many attempts each one took.
    """

    times: AnswerTimes
    reported_s: t.Callable[[], t.Collection[float]]
    source: random.Random
    given_up: collections.Counter[Reason] = attrs.field(
        factory=collections.Counter
    )
    attempts: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    _full_at_s: dict[str, float] = attrs.field(factory=dict)

    def get_response_time(self, now_s: float, part: str = '') -> ResponseTime:
        """Return the store's response time for writes of a part."""
        usual_s = statistics.median(self.reported_s() or (0.0,))
        spread_s = 0.0
        if now_s - self.times.noted_s <= _FRESH_S:
            usual_s = max(usual_s, self.times.usual_s)
            spread_s = self.times.spread_s
        return ResponseTime(usual_s, spread_s, self._get_queue_s(part, now_s))

    def _get_queue_s(self, part: str, now_s: float) -> float:
        age_s = now_s - self._full_at_s.get(part, -math.inf)
        return _FULL_QUEUE_S * max(0, 1 - age_s / _QUEUE_CLEARS_S)

    def note_full(self, part: str, now_s: float) -> None:
        """Note that a write was rejected because of its part's queue."""
        self._full_at_s[part] = now_s

    def note_answer(self, part: str, sent_s: float) -> None:
        """Note the answer to a write: the queue before it has been executed."""
        if self._full_at_s.get(part, math.inf) <= sent_s:
            self._full_at_s.pop(part)


class Action(enum.Enum):
    """What is done next for a write."""

    SEND = enum.auto()
    READ_BACK = enum.auto()
    WAIT = enum.auto()
    GIVE_UP = enum.auto()


@attrs.frozen
class Decision:
    """What is done next; it is decided again after a change or at a time."""

    action: Action
    until_s: float = math.inf


@attrs.define
class WriteAttempts:
    """The attempts of one write, and the decision about the next one.

    Parameters
    ----------
    began_s, deadline_s : float
        When the call began, and when its outcome must be known.
    sent_count, open_count, hedge_count : int
        Numbers of attempts: sent, without an outcome yet, and sent while
        another one was open.
    is_in_doubt : bool
        Whether an answer was lost.
    full_count : int
        How often the part's queue was found to be full.
    """

    began_s: float
    deadline_s: float
    sent_count: int = 0
    open_count: int = 0
    hedge_count: int = 0
    is_in_doubt: bool = False
    full_count: int = 0
    is_reading: bool = False
    has_read_early: bool = False
    has_read_back: bool = False
    first_sent_s: float = math.inf
    last_sent_s: float = -math.inf
    not_before_s: float = -math.inf
    rejected_s: float = math.inf
    backoff_s: float = _MIN_BACKOFF_S

    @property
    def may_have_effect(self) -> bool:
        """Whether the outcome of an attempt is unknown."""
        return self.is_in_doubt or self.open_count > 0

    @property
    def is_part_behind(self) -> bool:
        """Whether the part's queue was found to be full."""
        return self.full_count > 0

    def note_sent(self, now_s: float) -> None:
        """Note that an attempt is sent."""
        self.hedge_count += self.open_count > 0
        self.sent_count += 1
        self.open_count += 1
        self.first_sent_s = min(self.first_sent_s, now_s)
        self.last_sent_s = now_s

    def note_lost(self, now_s: float) -> None:
        """Note that the answer to an attempt was lost."""
        self.open_count -= 1
        self.is_in_doubt = True
        self._back_off(now_s)

    def note_rejected(self, now_s: float) -> None:
        """Note that the store did not execute an attempt."""
        self.open_count -= 1
        self.rejected_s = min(self.rejected_s, now_s)
        self._back_off(now_s)

    def note_full(
        self, now_s: float, response: ResponseTime, jitter: float
    ) -> None:
        """Note that an attempt was rejected because of its part's queue.

        The next one waits for one to two usual response times, as ``jitter``
        between 0 and 1 tells, so that callers do not come back together. The
        wait is doubled with each further rejection, up to the time in which a
        full queue is executed.
        """
        self.open_count -= 1
        usual_s = max(response.usual_s, _MIN_BACKOFF_S)
        wait_s = usual_s * _BACKOFF_FACTOR**self.full_count
        wait_s = min(wait_s, max(usual_s, _FULL_QUEUE_S))
        self.full_count += 1
        self.not_before_s = now_s + wait_s * (1 + jitter)

    def _back_off(self, now_s: float) -> None:
        self.not_before_s = now_s + self.backoff_s
        self.backoff_s = min(_BACKOFF_FACTOR * self.backoff_s, _MAX_BACKOFF_S)

    def note_read_back(self, now_s: float, response: ResponseTime) -> None:
        """Note that the row is being read back."""
        self.is_reading = True
        if now_s < self._get_late_read_s(response):
            self.has_read_early = True
        else:
            self.has_read_back = True

    def get_answer_limit_s(self, now_s: float, response: ResponseTime) -> float:
        """Return how long an attempt that is sent now waits for its answer.

        A slow store answers many writes after the usual timeout. A connection
        that is broken without notice is given up early while it is not slow.
        """
        limit_s = max(STORE_TIMEOUT_S, _ANSWER_LIMIT_FACTOR * response.needed_s)
        return min(limit_s, self.deadline_s - now_s)

    def decide(self, now_s: float, response: ResponseTime) -> Decision:
        """Return what to do next."""
        if now_s >= self.deadline_s:
            return Decision(Action.GIVE_UP)
        if self.open_count:
            return self._decide_while_open(now_s, response)
        start_s = max(now_s, self.not_before_s)
        is_in_time = self.deadline_s - start_s >= response.needed_s
        if is_in_time and not self._is_rejected_for_long(now_s):
            if start_s > now_s:
                return Decision(Action.WAIT, start_s)
            return Decision(Action.SEND)
        if self.is_reading:
            return Decision(Action.WAIT, self.deadline_s)
        if self.is_in_doubt and not self.has_read_back:
            read_s = self._get_late_read_s(response)
            if now_s < read_s:
                return Decision(Action.WAIT, read_s)
            return Decision(Action.READ_BACK)
        return Decision(Action.GIVE_UP)

    def _is_rejected_for_long(self, now_s: float) -> bool:
        limit_s = _REJECTED_SHARE * (self.deadline_s - self.began_s)
        limit_s = min(limit_s, _MAX_REJECTED_S)
        return not self.is_in_doubt and now_s - self.rejected_s > limit_s

    def _decide_while_open(
        self, now_s: float, response: ResponseTime
    ) -> Decision:
        until_s = self.deadline_s
        if not (self.has_read_back or self.is_reading):
            read_s = self._get_read_s(response)
            if now_s >= read_s:
                return Decision(Action.READ_BACK)
            until_s = read_s
        hedge_s = self._get_hedge_s(response)
        if self.deadline_s - max(now_s, hedge_s) < response.needed_s:
            return Decision(Action.WAIT, until_s)
        if now_s >= hedge_s:
            return Decision(Action.SEND)
        return Decision(Action.WAIT, min(until_s, hedge_s))

    def _get_read_s(self, response: ResponseTime) -> float:
        """Return when the row is read back if no answer has arrived.

        That is shortly before the deadline, and once after the first parallel
        attempt: if only answers are lost, the row is there, and a read does
        not queue behind the writes of the part.
        """
        read_s = self._get_late_read_s(response)
        if self.hedge_count and not self.has_read_early:
            read_s = min(read_s, self.last_sent_s + _get_delay_s(response))
        return read_s

    def _get_late_read_s(self, response: ResponseTime) -> float:
        # A read does not wait for the part's queue. With less than the spread
        # to spare, reads were answered after the deadline while the usual
        # response time was still rising.
        read_limit_s = response.usual_s + response.spread_s
        read_s = self.deadline_s - max(read_limit_s, _MIN_READ_S)
        return max(read_s, (self.first_sent_s + self.deadline_s) / 2)

    def _get_hedge_s(self, response: ResponseTime) -> float:
        """Return when a parallel attempt is sent, or infinity for never."""
        if self.hedge_count >= _MAX_HEDGES or self.is_part_behind:
            return math.inf
        delay_s = _get_delay_s(response)
        if self.hedge_count:
            delay_s *= _SECOND_HEDGE_FACTOR
        return max(self.last_sent_s + delay_s, self.not_before_s)

    def get_reason(self, response: ResponseTime) -> Reason:
        """Return why a write without a result was given up."""
        if self.may_have_effect:
            return Reason.OUTCOME_UNKNOWN
        if self.is_part_behind or response.queue_s:
            return Reason.PART_BEHIND
        if self.sent_count:
            return Reason.STORE_UNAVAILABLE
        return Reason.TOO_LITTLE_TIME


def _get_delay_s(response: ResponseTime) -> float:
    """Return how long an attempt is left alone before a parallel one."""
    return max(_HEDGE_RESPONSE_TIMES * response.usual_s, _MIN_HEDGE_DELAY_S)
