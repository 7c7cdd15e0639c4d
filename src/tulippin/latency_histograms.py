"""Latency histograms by name and label."""

from __future__ import annotations

import typing as t

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US: t.Final = 1
_MAX_LATENCY_US: t.Final = 600_000_000
_SIGNIFICANT_DIGITS: t.Final = 3
_US_PER_MS: t.Final = 1000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


class LatencyTable:
    """Latency histograms by name and label, in microseconds."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], t.Any] = {}
        self._sums: dict[tuple[str, str], float] = {}

    def record(self, name: str, label: str, latency_ms: float) -> None:
        """Add one latency to the histogram of a name and a label."""
        key = (name, label)
        if key not in self._histograms:
            self._histograms[key] = make_histogram()
            self._sums[key] = 0.0
        micros = max(1, int(latency_ms * _US_PER_MS))
        self._histograms[key].record_value(micros)
        self._sums[key] += latency_ms / _US_PER_MS

    def iter_rows(self) -> t.Iterator[tuple[str, str, t.Any, float]]:
        """Yield the name, label, histogram and sum in seconds of each entry."""
        for (name, label), histogram in self._histograms.items():
            yield name, label, histogram, self._sums[name, label]
