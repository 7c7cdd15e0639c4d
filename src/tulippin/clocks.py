"""The clocks that daemons read; reducers read none."""

from __future__ import annotations

import time
import typing as t

_NS_IN_MS: t.Final = 1_000_000


def read_clock_ms() -> int:
    """Return monotonic milliseconds that count suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_IN_MS


def read_suspended_ms() -> int:
    """Return for how long the machine has been suspended since it started.

    Timers and limits of the event loop stand still meanwhile.
    """
    steady_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return read_clock_ms() - steady_ns // _NS_IN_MS


def read_wall_ms() -> int:
    """Return the time of day in milliseconds."""
    return time.time_ns() // _NS_IN_MS
