"""Metrics of a scheduler instance."""

import types

from scheduler_fleet import JOB, QUEUE, make_request, open_fleet
from slow_intake import ON
from tulippin.exceptions import UnavailableError
from tulippin.scheduler_operators import SchedulerMetrics


def test_metrics_tell_what_became_of_calls(run_virtual):
    """They show whether callers suffer from a slow store, and why."""
    texts = []

    async def run():
        async with open_fleet(instances=1, features=ON) as fleet:
            await fleet.submit()
            instance = fleet.instances['i0']
            try:
                await instance.intake.submit(JOB, QUEUE, make_request(), 5)
            except UnavailableError as error:
                texts.append(error.message)
            recorder = types.SimpleNamespace(failed_starts=0)
            metrics = SchedulerMetrics(instance.shell, recorder)
            texts.append(metrics.render().decode())

    run_virtual(run)
    reason, text = texts
    assert 'too little' in reason
    assert 'tulippin_calls_given_up_total{reason="too_little_time"} 1.0' in text
    assert 'tulippin_calls_given_up_total{reason="part_behind"} 0.0' in text
    assert 'tulippin_jobs_accepted_total{attempts="1"} 1.0' in text
    assert 'tulippin_store_response_ms ' in text
