"""Distributions of run times, as ratios to the times that were predicted.

A mean hides a heavy tail: where three in a hundred runs take seven times as
long, a run that has lasted for twice the usual time has five times of it left.
The runs of one queue and image are recorded in a histogram of the ratios of
their actual to their predicted times.
"""

from __future__ import annotations

import bisect
import itertools
import typing as t

import attrs
from hdrh.histogram import HdrHistogram

# Ratios are recorded in thousandths, up to 64, to two significant digits: a
# histogram takes 10 KB, and reading all of it 0.6 ms.
_PER_UNIT: t.Final = 1000
_MAX_RATIO: t.Final = 64.0
_SIGNIFICANT_DIGITS: t.Final = 2
# Runs from which on a distribution is used.
MIN_RUNS: t.Final = 20
# Runs in one histogram. The distribution covers the current one and the one
# before, so that it follows a change of its tasks.
_MAX_RUNS: t.Final = 500
# The summary is computed again once the runs have grown by this share: with
# each run, it took most of the time of recording them.
_SUMMARY_GROWTH: t.Final = 0.125
# Ratio of the expected time to the age of a run older than all known ones. It
# is expected to run on for as long as it has.
_UNKNOWN_TAIL_RATIO: t.Final = 2.0


def _make_histogram() -> HdrHistogram:
    highest = int(_MAX_RATIO * _PER_UNIT)
    return HdrHistogram(1, highest, _SIGNIFICANT_DIGITS)


@attrs.frozen
class _Summary:
    """What is read of the histograms at once.

    ``counts`` holds for each of the rising ``ratios`` the number of runs up to
    it, and ``means`` the mean of all runs from it on.
    """

    run_count: int
    ratios: tuple[float, ...]
    counts: tuple[int, ...]
    means: tuple[float, ...]


@attrs.define
class RunRatios:
    """Distribution of the run times of one queue and image."""

    _recent: HdrHistogram = attrs.field(factory=_make_histogram)
    _earlier: HdrHistogram = attrs.field(factory=_make_histogram)
    _summary: _Summary | None = None

    @property
    def run_count(self) -> int:
        """The number of runs that the distribution covers."""
        return self._recent.total_count + self._earlier.total_count

    def record(self, ratio: float) -> None:
        """Add the ratio of a run's actual to its predicted time."""
        if self._recent.total_count >= _MAX_RUNS:
            self._earlier = self._recent
            self._recent = _make_histogram()
        limited = min(ratio, _MAX_RATIO)
        self._recent.record_value(max(1, int(limited * _PER_UNIT)))

    def get_quantile(self, share: float) -> float:
        """Return the ratio that a share of the runs doesn't exceed.

        It is 1 until enough runs are known.
        """
        if self.run_count < MIN_RUNS:
            return 1.0
        summary = self._get_summary()
        wanted = share * summary.run_count
        index = bisect.bisect_left(summary.counts, wanted)
        return summary.ratios[min(index, len(summary.ratios) - 1)]

    def get_expected(self, ratio: float) -> float:
        """Return the mean ratio of the runs that took longer than a ratio.

        Until enough runs are known it is the given ratio, and 1 at least.
        """
        if self.run_count < MIN_RUNS:
            return max(1.0, ratio)
        summary = self._get_summary()
        index = bisect.bisect_right(summary.ratios, ratio)
        if index < len(summary.ratios):
            return summary.means[index]
        return _UNKNOWN_TAIL_RATIO * ratio

    def _get_summary(self) -> _Summary:
        known = self._summary
        if known is None or self._is_outdated(known):
            known = _summarize((self._recent, self._earlier))
            self._summary = known
        return known

    def _is_outdated(self, known: _Summary) -> bool:
        change = abs(self.run_count - known.run_count)
        return change >= max(1.0, _SUMMARY_GROWTH * known.run_count)


def _summarize(histograms: t.Iterable[HdrHistogram]) -> _Summary:
    counts: dict[float, int] = {}
    for histogram in histograms:
        # The iterators of the library take ten times as long.
        for index, count in enumerate(histogram.counts):
            if count:
                ratio = histogram.get_value_from_index(index) / _PER_UNIT
                counts[ratio] = counts.get(ratio, 0) + count
    ratios = sorted(counts)
    means: list[float] = []
    run_count = 0
    total = 0.0
    for ratio in reversed(ratios):
        run_count += counts[ratio]
        total += ratio * counts[ratio]
        means.append(total / run_count)
    return _Summary(
        run_count,
        tuple(ratios),
        tuple(itertools.accumulate(counts[ratio] for ratio in ratios)),
        tuple(reversed(means)),
    )
