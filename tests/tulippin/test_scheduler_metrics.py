"""Metrics of a scheduler instance."""

import types

from scheduler_fleet import open_fleet
from slow_intake import ON, call
from tulippin._client_connections import ClientConnection, ConnectionTable
from tulippin.client_limits import ClientLimits
from tulippin.platform.callers import CallersApp
from tulippin.scheduler_operators import SchedulerMetrics

OTHER = '00000000000000bb'


def test_metrics_tell_what_became_of_calls(run_virtual):
    """They show whether callers suffer from a slow store, and why."""
    texts = []

    async def run():
        async with open_fleet(instances=1, features=ON) as fleet:
            await fleet.submit()
            instance = fleet.instances['i0']
            app = CallersApp(instance.intake, lambda: '')
            status, _ = await call(app, 'POST', OTHER, deadline_ms=9)
            assert status == 503
            recorder = types.SimpleNamespace(failed_starts=0)
            connections = ConnectionTable(ClientLimits())
            connections.add(ClientConnection(lambda: None))
            metrics = SchedulerMetrics(instance.shell, recorder, connections)
            texts.append(metrics.render().decode())

    run_virtual(run)
    text = texts[0]
    assert 'tulippin_calls_given_up_total{reason="too_little_time"} 1.0' in text
    assert 'tulippin_calls_given_up_total{reason="part_behind"} 0.0' in text
    assert 'tulippin_jobs_accepted_total{attempts="1"} 1.0' in text
    assert 'tulippin_store_response_ms ' in text
    assert 'tulippin_client_connections 1.0' in text
    assert (
        'tulippin_connections_closed_total{reason="too_many_connections"} 0.0'
        in text
    )
