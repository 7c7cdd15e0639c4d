"""Prometheus metrics of an instance of tulippind."""

from __future__ import annotations

import typing as t

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from tulippin.effects import Effect, ObserveLatency
from tulippin.latency_histograms import LatencyTable
from tulippin.latency_metrics import iter_latency_metrics
from tulippin.shell import Shell


class ShellMetrics(Collector):
    """Collects an instance's metrics at each scrape.

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
        """Return all metrics in the Prometheus text format."""
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
        """Yield the current value of every metric."""
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
        yield from iter_latency_metrics(self._latencies)
