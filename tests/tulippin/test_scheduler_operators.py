"""Metrics of a scheduler instance."""

import types

from tulippin._client_connections import ConnectionTable
from tulippin.client_limits import ClientLimits
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import SchedulerConfig
from tulippin.scheduler_operators import SchedulerMetrics


def test_reads_of_the_store_are_counted_by_feed(run_virtual):
    """Operators see which feed makes the calls to the store."""
    shell = SchedulerShell(
        SchedulerConfig('i', 'i:1'), None, clock=lambda: 0, wall=lambda: 0
    )
    shell.read_counts.update({'units': 3, 'settings': 1})
    metrics = SchedulerMetrics(
        shell,
        types.SimpleNamespace(failed_starts=0),
        ConnectionTable(ClientLimits()),
    )

    async def render():
        return metrics.render().decode().splitlines()

    lines = run_virtual(render)
    assert 'tulippin_store_reads_total{feed="units"} 3.0' in lines
    assert 'tulippin_store_reads_total{feed="settings"} 1.0' in lines
