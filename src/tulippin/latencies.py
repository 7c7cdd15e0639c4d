"""Latency histograms by name and label."""

from __future__ import annotations

import typing as t

from hdrh.histogram import HdrHistogram

_LOWEST_US: t.Final = 1
_HIGHEST_US: t.Final = 600_000_000
_DIGITS: t.Final = 3
_MS_IN_US: t.Final = 1000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


class LatencyTable:
    """hdrhistograms by name and label, in microseconds."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], t.Any] = {}
        self._sums: dict[tuple[str, str], float] = {}

    def record(self, name: str, label: str, latency_ms: float) -> None:
        """Record one latency."""
        key = (name, label)
        if key not in self._histograms:
            self._histograms[key] = make_histogram()
            self._sums[key] = 0.0
        micros = max(1, int(latency_ms * _MS_IN_US))
        self._histograms[key].record_value(micros)
        self._sums[key] += latency_ms / _MS_IN_US

    def iter_rows(self) -> t.Iterator[tuple[str, str, t.Any, float]]:
        """Iterate over name, label, histogram and sum in seconds."""
        for (name, label), histogram in self._histograms.items():
            yield name, label, histogram, self._sums[name, label]
