"""How late an instance's loop is: events that wait, and ticks that slip."""

from __future__ import annotations

import math
import typing as t

import attrs
import trio

from tulippin.jobs.events import JobEvent, Urgency, get_urgency
from tulippin.logs import logger

_MS: t.Final = 1000
# Interval between two summaries.
_SUMMARY_INTERVAL_MS: t.Final = 2500
# Age of a handled event from which the instance counts as overloaded.
_LATE_EVENT_AGE_MS: t.Final = 500
_LATE_LOG_INTERVAL_MS: t.Final = 1000
# A longer delay of a tick counts as this in the mean: after a suspension of the
# process one tick is late by seconds, and the next ones are on time.
_MAX_COUNTED_DELAY_MS: t.Final = 100


@attrs.define
class _Delays:
    """Delays of one kind, in milliseconds."""

    max_counted_ms: float = math.inf
    count: int = 0
    sum_ms: int = 0
    max_ms: int = 0

    def add(self, delay_ms: int) -> None:
        """Count one delay."""
        self.count += 1
        self.sum_ms += min(delay_ms, self.max_counted_ms)
        self.max_ms = max(self.max_ms, delay_ms)

    @property
    def mean_ms(self) -> int:
        """The mean delay, 0 without any."""
        return round(self.sum_ms / max(1, self.count))


def _make_tick_delays() -> _Delays:
    return _Delays(_MAX_COUNTED_DELAY_MS)


@attrs.frozen
class LoopSummary:
    """Delays of an instance's loop in one interval.

    Parameters
    ----------
    interval_ms : int
        The length of the interval.
    handled : int
        How many events were handled.
    age_ms, max_age_ms : dict of str to int
        By urgency, the mean and maximum time that events waited.
    tick_delay_ms, max_tick_delay_ms : int
        The mean and maximum delay of ticks. Every task of the instance waits
        as long for its turn.
    """

    interval_ms: int
    handled: int
    age_ms: dict[str, int]
    max_age_ms: dict[str, int]
    tick_delay_ms: int
    max_tick_delay_ms: int


@attrs.define
class LoopLoad:
    """Collects delays of an instance's loop, and logs them.

    Parameters
    ----------
    began_ms : int
        When the current interval began.
    event_age_ms : int
        How long the last event waited.
    tick_delay_ms : int
        By how much ticks came late on average, the lower figure of the last
        two intervals with the present units; 0 before. The one in which a unit
        is loaded tells little of the next ones.
    """

    began_ms: int
    event_age_ms: int = 0
    tick_delay_ms: int = 0
    _units: tuple[int, ...] = attrs.field(default=(), init=False)
    _last_delay_ms: int = attrs.field(default=0, init=False)
    _late_logged_ms: int = attrs.field(default=0, init=False)
    _ages: dict[Urgency, _Delays] = attrs.field(
        factory=lambda: {urgency: _Delays() for urgency in Urgency}, init=False
    )
    _ticks: _Delays = attrs.field(factory=_make_tick_delays, init=False)

    def note_event(
        self, event: JobEvent, now_ms: int, waiting_count: int
    ) -> None:
        """Count an event that is handled now, and log if it is late."""
        self.event_age_ms = now_ms - event.at_ms
        self._ages[get_urgency(event)].add(self.event_age_ms)
        since_ms = now_ms - self._late_logged_ms
        if (
            self.event_age_ms > _LATE_EVENT_AGE_MS
            and since_ms > _LATE_LOG_INTERVAL_MS
        ):
            self._late_logged_ms = now_ms
            logger.warning(
                'events late', age_ms=self.event_age_ms, waiting=waiting_count
            )

    async def sleep(self, wait_s: float, clock: t.Callable[[], int]) -> None:
        """Wait until the next tick, and count by how much it came late.

        Parameters
        ----------
        wait_s : float
            Time until the tick, in seconds.
        clock : callable
            Returns the monotonic time in milliseconds.
        """
        began_ms = clock()
        await trio.sleep(wait_s)
        delay_ms = clock() - began_ms - round(wait_s * _MS)
        self._ticks.add(max(0, delay_ms))

    def note_units(self, units: t.Sequence[int], now_ms: int) -> None:
        """Log the delays at intervals, if this instance owns units.

        Delays measured with other units say nothing about the present ones.
        """
        if tuple(units) != self._units:
            self._units = tuple(units)
            self.restart(now_ms)
        if now_ms - self.began_ms < _SUMMARY_INTERVAL_MS:
            return
        summary = self.summarize(now_ms)
        self.tick_delay_ms = min(self._last_delay_ms, summary.tick_delay_ms)
        self._last_delay_ms = summary.tick_delay_ms
        if units:
            logger.info('loop load', units=units, **attrs.asdict(summary))

    def restart(self, now_ms: int) -> None:
        """Measure the delays anew, as the load of the loop has changed."""
        self.tick_delay_ms = 0
        self._last_delay_ms = 0
        self._begin(now_ms)

    def summarize(self, now_ms: int) -> LoopSummary:
        """Return the delays of the current interval, and begin the next."""
        ages = {
            urgency.name.lower(): delays
            for urgency, delays in self._ages.items()
            if delays.count
        }
        summary = LoopSummary(
            now_ms - self.began_ms,
            sum(delays.count for delays in ages.values()),
            {name: delays.mean_ms for name, delays in ages.items()},
            {name: delays.max_ms for name, delays in ages.items()},
            self._ticks.mean_ms,
            self._ticks.max_ms,
        )
        self._begin(now_ms)
        return summary

    def _begin(self, now_ms: int) -> None:
        """Begin an interval."""
        self.began_ms = now_ms
        self._ages = {urgency: _Delays() for urgency in Urgency}
        self._ticks = _make_tick_delays()
