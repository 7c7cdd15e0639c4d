"""Metrics in the Prometheus text format, by its client library."""

from __future__ import annotations

import typing as t

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from tulippin.effects import Effect, ObserveLatency
from tulippin.shell import Shell
from tulippin.stats import make_histogram

_QUANTILES: t.Final = (50.0, 90.0, 99.0, 99.9)
_US: t.Final = 1_000_000
_MS_IN_US: t.Final = 1000


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


class ShellMetrics(Collector):
    """Collects an instance's figures at each scrape.

    Parameters
    ----------
    shell : Shell
        The instance.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._latencies = LatencyTable()
        self.registry = CollectorRegistry()
        self.registry.register(self)
        shell.observers.append(self._observe_request)
        shell.effect_observers.append(self._observe_effect)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)

    def _observe_request(self, effect: ObserveLatency) -> None:
        self._latencies.record(
            'tulippin_service_latency_seconds',
            effect.service,
            effect.latency_ms,
        )
        self._latencies.record(
            'tulippin_queue_wait_seconds', effect.service, effect.queued_ms
        )

    def _observe_effect(self, effect: Effect, elapsed_ms: float) -> None:
        self._latencies.record(
            'tulippin_effect_seconds', type(effect).__name__, elapsed_ms
        )

    def collect(self) -> t.Iterator[Metric]:
        """Yield every metric as it is now."""
        state = self._shell.state
        counters = CounterMetricFamily(
            'tulippin_events', 'Things counted, by name', labels=['name']
        )
        for name, count in sorted(state.counters.items()):
            counters.add_metric([name], count)
        yield counters
        gauges = {
            'tulippin_units_owned': len(state.cells) + len(state.ranges),
            'tulippin_peers': len(state.peers),
            'tulippin_tickets': len(state.tickets),
            'tulippin_bundle_number': state.bundle_number,
            'tulippin_journal_pending': len(state.journal.pending),
        }
        for name, value in gauges.items():
            gauge = GaugeMetricFamily(name, name.replace('_', ' '))
            gauge.add_metric([], value)
            yield gauge
        yield from self._collect_latencies()

    def _collect_latencies(self) -> t.Iterator[Metric]:
        families: dict[str, tuple[SummaryMetricFamily, GaugeMetricFamily]] = {}
        for name, label, histogram, total in self._latencies.iter_rows():
            if name not in families:
                families[name] = (
                    SummaryMetricFamily(name, name, labels=['name']),
                    GaugeMetricFamily(
                        f'{name}_quantile', name, labels=['name', 'quantile']
                    ),
                )
            summary, quantiles = families[name]
            count = histogram.get_total_count()
            summary.add_metric([label], count_value=count, sum_value=total)
            for quantile in _QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / _US
                quantiles.add_metric([label, f'{quantile / 100:g}'], value)
        for pair in families.values():
            yield from pair
