"""Statistics of a trial, and the comparison of its policies.

Each instance counts by policy and by window. The instance that is asked for
a comparison merges the reports of all instances.
"""

from __future__ import annotations

import math
import statistics
import typing as t

import attrs

from tulippin import codec_json
from tulippin.bundles import Bundle
from tulippin.latency_histograms import make_histogram

_MAX_WINDOWS: t.Final = 5000
# Minimum number of blocks in which both policies have a value.
_MIN_PAIRS: t.Final = 6
_CONFIDENCE_Z_SCORE: t.Final = 1.96


@attrs.define
class WindowStats:
    """Counts of one window of one cell under one policy."""

    cell: str
    index: int
    policy: str
    request_count: int = 0
    over_target_count: int = 0
    latency_sum_ms: float = 0.0
    done_count: int = 0
    evicted_count: int = 0


@attrs.define
class PolicyStats:
    """Counts of one policy, with its latency histogram in microseconds."""

    request_count: int = 0
    over_target_count: int = 0
    over_target_ms: float = 0.0
    failed_count: int = 0
    done_count: int = 0
    evicted_count: int = 0
    wasted_ms: int = 0
    latency: t.Any = attrs.field(factory=make_histogram)


@attrs.frozen
class PolicyReport:
    """One instance's counts of one policy, as sent to a peer.

    ``histogram`` is the encoded latency histogram.
    """

    policy: str
    request_count: int
    over_target_count: int
    over_target_ms: float
    failed_count: int
    done_count: int
    evicted_count: int
    wasted_ms: int
    histogram: str


@attrs.frozen
class TrialReport:
    """One instance's counts, as sent to a peer."""

    policies: tuple[PolicyReport, ...]
    windows: tuple[WindowStats, ...]
    stopped: tuple[str, ...] = ()


@attrs.define
class TrialStats:
    """Counts of one instance, by policy and by window."""

    policies: dict[str, PolicyStats] = attrs.field(factory=dict)
    windows: dict[str, WindowStats] = attrs.field(factory=dict)
    stopped: set[str] = attrs.field(factory=set)

    def get_policy(self, policy: str) -> PolicyStats:
        """Return the counts of a policy, created on first use."""
        if policy not in self.policies:
            self.policies[policy] = PolicyStats()
        return self.policies[policy]

    def get_window(self, cell: str, index: int, policy: str) -> WindowStats:
        """Return the counts of a window, created on first use.

        The oldest window is dropped when there are too many.
        """
        key = f'{cell}|{index}|{policy}'
        if key not in self.windows:
            if len(self.windows) >= _MAX_WINDOWS:
                self.windows.pop(next(iter(self.windows)))
            self.windows[key] = WindowStats(cell, index, policy)
        return self.windows[key]

    def make_report(self) -> TrialReport:
        """Return the counts as a report for a peer."""
        reports = tuple(
            PolicyReport(
                name,
                counts.request_count,
                counts.over_target_count,
                counts.over_target_ms,
                counts.failed_count,
                counts.done_count,
                counts.evicted_count,
                counts.wasted_ms,
                counts.latency.encode().decode(),
            )
            for name, counts in self.policies.items()
        )
        return TrialReport(
            reports, tuple(self.windows.values()), tuple(sorted(self.stopped))
        )


@attrs.frozen
class PolicyRow:
    """One policy's line of the comparison.

    ``weighted_cost`` is its p99 over the best one's and the best one's
    batch done over its own, by the bundle's weights: 1 is best in both.
    """

    policy: str
    request_count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    over_target_count: int
    over_target_ms: float
    done_count: int
    evicted_count: int
    wasted_ms: int
    weighted_cost: float = 0.0


@attrs.frozen
class PairedDifference:
    """The difference of two policies over paired windows of one cell.

    ``mean`` is first minus second, with a 95% interval; ``decided``
    says whether the interval leaves out zero.
    """

    measure: str
    first: str
    second: str
    pair_count: int
    mean: float
    low: float
    high: float
    decided: bool


@attrs.frozen
class Comparison:
    """What ``compare`` shows."""

    rows: tuple[PolicyRow, ...]
    differences: tuple[PairedDifference, ...]
    verdict: str
    missing: tuple[str, ...] = ()


def merge_reports(
    bodies: t.Iterable[str], missing: t.Sequence[str], bundle: Bundle | None
) -> Comparison:
    """Merge the encoded reports of all instances into one comparison.

    ``missing`` names the instances whose reports are absent.
    """
    reports = [codec_json.decode(body, TrialReport) for body in bodies]
    names = sorted(
        {part.policy for report in reports for part in report.policies}
    )
    rows = tuple(_merge_policy(name, reports) for name in names)
    if bundle is not None:
        rows = _add_weighted_costs(rows, bundle)
    windows = _merge_windows(reports)
    order = list(bundle.trial.policies) if bundle else names
    differences = _compare_pairs(windows, order)
    stopped = {name for report in reports for name in report.stopped}
    verdict = _make_verdict(differences, stopped)
    return Comparison(rows, differences, verdict, tuple(missing))


def _merge_policy(name: str, reports: t.Sequence[TrialReport]) -> PolicyRow:
    merged = make_histogram()
    parts = [
        part
        for report in reports
        for part in report.policies
        if part.policy == name
    ]
    for part in parts:
        merged.decode_and_add(part.histogram.encode())
    return PolicyRow(
        policy=name,
        request_count=sum(part.request_count for part in parts),
        p50_ms=merged.get_value_at_percentile(50) / 1000,
        p99_ms=merged.get_value_at_percentile(99) / 1000,
        p999_ms=merged.get_value_at_percentile(99.9) / 1000,
        over_target_count=sum(part.over_target_count for part in parts),
        over_target_ms=round(sum(part.over_target_ms for part in parts), 3),
        done_count=sum(part.done_count for part in parts),
        evicted_count=sum(part.evicted_count for part in parts),
        wasted_ms=sum(part.wasted_ms for part in parts),
    )


def _add_weighted_costs(
    rows: t.Sequence[PolicyRow], bundle: Bundle
) -> tuple[PolicyRow, ...]:
    """Return the rows with their costs by the weights of the bundle."""
    best_p99_ms = min((row.p99_ms for row in rows if row.p99_ms), default=0.0)
    most_done = max((row.done_count for row in rows), default=0)
    weighted_rows = []
    for row in rows:
        tail = row.p99_ms / best_p99_ms if best_p99_ms else 1.0
        work = most_done / max(1, row.done_count) if most_done else 1.0
        cost = bundle.tail_weight * tail + bundle.throughput_weight * work
        weighted_rows.append(attrs.evolve(row, weighted_cost=round(cost, 3)))
    return tuple(weighted_rows)


def _merge_windows(reports: t.Sequence[TrialReport]) -> list[WindowStats]:
    merged: dict[tuple[str, int, str], WindowStats] = {}
    for report in reports:
        for window in report.windows:
            key = (window.cell, window.index, window.policy)
            if key not in merged:
                merged[key] = attrs.evolve(window)
                continue
            total = merged[key]
            total.request_count += window.request_count
            total.over_target_count += window.over_target_count
            total.latency_sum_ms += window.latency_sum_ms
            total.done_count += window.done_count
            total.evicted_count += window.evicted_count
    return list(merged.values())


def _get_mean_latency(window: WindowStats) -> float | None:
    if not window.request_count:
        return None
    return window.latency_sum_ms / window.request_count


def _get_over_target_share(window: WindowStats) -> float | None:
    if not window.request_count:
        return None
    return window.over_target_count / window.request_count


def _get_done_count(window: WindowStats) -> float | None:
    return float(window.done_count)


_MEASURES: t.Final = (
    ('service_latency_ms', _get_mean_latency),
    ('over_target_share', _get_over_target_share),
    ('batch_done', _get_done_count),
)


def _compare_pairs(
    windows: t.Sequence[WindowStats], order: t.Sequence[str]
) -> tuple[PairedDifference, ...]:
    if len(order) < 2:
        return ()
    blocks: dict[tuple[str, int], dict[str, WindowStats]] = {}
    for window in windows:
        block = (window.cell, window.index // len(order))
        blocks.setdefault(block, {})[window.policy] = window
    return tuple(
        _compare_measure(measure, getter, blocks, order[0], other)
        for other in order[1:]
        for measure, getter in _MEASURES
    )


def _compare_measure(
    measure: str,
    get_value: t.Callable[[WindowStats], float | None],
    blocks: t.Mapping[tuple[str, int], t.Mapping[str, WindowStats]],
    first: str,
    second: str,
) -> PairedDifference:
    differences = []
    for block in blocks.values():
        if first not in block or second not in block:
            continue
        left, right = get_value(block[first]), get_value(block[second])
        if left is not None and right is not None:
            differences.append(left - right)
    mean = statistics.fmean(differences) if differences else 0.0
    half_width = math.inf
    if len(differences) > 1:
        half_width = (
            _CONFIDENCE_Z_SCORE
            * statistics.stdev(differences)
            / math.sqrt(len(differences))
        )
    decided = len(differences) >= _MIN_PAIRS and abs(mean) > half_width
    low, high = (
        (mean - half_width, mean + half_width) if differences else (0.0, 0.0)
    )
    if math.isinf(half_width):
        low = high = mean
    return PairedDifference(
        measure, first, second, len(differences), mean, low, high, decided
    )


def _make_verdict(
    differences: t.Sequence[PairedDifference], stopped: t.Collection[str]
) -> str:
    if stopped:
        return f'guard-rail tripped: {", ".join(sorted(stopped))}'
    decided = [difference for difference in differences if difference.decided]
    if not decided:
        return 'not yet decided'
    parts = []
    for difference in decided:
        relation = 'lower' if difference.mean < 0 else 'higher'
        parts.append(
            f'{difference.measure}: {difference.first} {relation} '
            f'than {difference.second}'
        )
    return f'decided: {"; ".join(parts)}'
