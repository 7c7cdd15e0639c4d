"""Clocks of the daemons; reducers get the time from their events."""

from __future__ import annotations

import time
import typing as t

_NS_PER_MS: t.Final = 1_000_000


def read_clock_ms() -> int:
    """Return monotonic milliseconds that count suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def read_suspended_ms() -> int:
    """Return how long the machine has been suspended since it booted.

    Timers and timeouts of the event loop don't advance while it is.
    """
    monotonic_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return read_clock_ms() - monotonic_ns // _NS_PER_MS


def read_wall_ms() -> int:
    """Return the time of day in milliseconds."""
    return time.time_ns() // _NS_PER_MS
