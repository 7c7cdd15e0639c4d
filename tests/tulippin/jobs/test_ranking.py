"""The order in which waiting steps are placed."""

import pytest
from test_scheduler_decisions import QUEUE, make_job, make_state

from tulippin.jobs import _ranking
from tulippin.jobs._ranking import Lateness
from tulippin.jobs.types import Step
from tulippin.types import Resources

RUN_MS = 4000


def estimate(state, waited_ms):
    step = Step(1, Resources(1000, 1000), estimated_ms=RUN_MS)
    arrived_ms = state.now_ms - waited_ms
    job = make_job(state, 'a', arrived_ms, (step,))
    return _ranking.get_lateness(job, ('a', 0, 0), state)


# Guards against first jobs that count as too late before any run has ended.
@pytest.mark.parametrize(
    ('waited_ms', 'lateness'),
    [(0, Lateness.IN_TIME), (3000, Lateness.IN_TIME), (9000, Lateness.LATE)],
)
def test_estimate_replaces_an_unknown_run_time(waited_ms, lateness):
    state = make_state()
    assert estimate(state, waited_ms) is lateness


def test_known_run_time_takes_precedence_over_the_estimate():
    state = make_state()
    state.run_times_ms[QUEUE.name] = 100.0
    assert estimate(state, 3000) is Lateness.WORTHLESS
