"""Latency histograms as Prometheus metrics."""

from __future__ import annotations

import typing as t

from prometheus_client.core import (
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from tulippin.latency_histograms import LatencyTable

_PERCENTILES: t.Final = (50.0, 90.0, 99.0, 99.9)
_US_PER_SECOND: t.Final = 1_000_000


def iter_latency_metrics(table: LatencyTable) -> t.Iterator[Metric]:
    """Yield a table's histograms as Prometheus metrics.

    Each name yields a summary and a gauge family of quantiles, in seconds.
    """
    families: dict[str, tuple[SummaryMetricFamily, GaugeMetricFamily]] = {}
    for name, label, histogram, total in table.iter_rows():
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
        for quantile in _PERCENTILES:
            value = histogram.get_value_at_percentile(quantile) / _US_PER_SECOND
            quantiles.add_metric([label, f'{quantile / 100:g}'], value)
    for pair in families.values():
        yield from pair
