"""The order in which waiting steps are placed."""

import attrs
import pytest
from test_scheduler_decisions import (
    QUEUE,
    make_filler,
    make_job,
    make_service_request,
    make_state,
)

from tulippin.jobs import _forecasting, _ranking, _run_times
from tulippin.jobs._ranking import Lateness
from tulippin.jobs.features import Features
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


# -- orders by progress --------------------------------------------------------


def make_progress_state():
    state = make_state()
    features = Features(orders_by_progress=True)
    state.config = attrs.evolve(state.config, features=features)
    state.run_times_ms[QUEUE.name] = 1000.0
    return state


def add_job(state, name, waited_ms, *, priority=0, count=1, has_begun=False):
    step = Step(count, Resources(1000, 1000), estimated_ms=1000)
    job = make_job(state, name, state.now_ms - waited_ms, (step,))
    job.queue = attrs.evolve(QUEUE, priority=priority)
    job.remaining[0, 0] = count
    job.has_full_run = has_begun
    return job


def sort_jobs(state):
    queue = {(name, 0, 0): {} for name in state.jobs}
    return [key[0] for key in _ranking.sort_steps(queue, state)]


def test_begun_job_goes_first_where_it_can_be_in_time():
    """Guards against many begun jobs of which none is completed in time."""
    state = make_progress_state()
    add_job(state, 'older', 1000)
    add_job(state, 'begun', 500, has_begun=True)
    add_job(state, 'late', 4000)
    add_job(state, 'begun late', 3500, has_begun=True)
    found = sort_jobs(state)
    assert found == ['begun', 'older', 'late', 'begun late']


def test_value_decides_between_jobs_due_at_about_the_same_time():
    state = make_progress_state()
    state.mean_job_work[QUEUE.name] = 4e6
    add_job(state, 'large', 1020, count=8)
    add_job(state, 'small', 1010, count=1)
    assert sort_jobs(state) == ['small', 'large']
    # The job with little left of it has the higher value for what is left.
    state.jobs['large'].remaining[0, 0] = 1
    _forecasting.invalidate(state.jobs['large'])
    assert sort_jobs(state) == ['large', 'small']


def test_time_left_counts_at_an_upper_quantile():
    """Guards against processors spent on jobs that are late by a little."""
    state = make_progress_state()
    for number in range(100):
        job = add_job(state, 'taught', 0)
        worked_ms = 1000 if number < 60 else 1600
        _run_times.learn_ratio(job, job.request.steps[0], worked_ms, state)
    del state.jobs['taught']
    job = add_job(state, 'a', 1300)
    assert _ranking.get_lateness(job, ('a', 0, 0), state) is Lateness.LATE
    job = add_job(state, 'b', 800)
    assert _ranking.get_lateness(job, ('b', 0, 0), state) is Lateness.IN_TIME


def test_work_of_no_value_comes_last_whatever_its_priority():
    """Guards against work of no value that takes room from other work."""
    state = make_progress_state()
    add_job(state, 'lost', 60_000, priority=0, has_begun=True)
    add_job(state, 'patient', 0, priority=2)
    make_job(state, 'lasting', 0, (make_service_request(),))
    assert sort_jobs(state) == ['lasting', 'patient', 'lost']


def test_slow_start_does_not_count_as_begun():
    state = make_progress_state()
    job = make_job(state, 'a', 0, (make_filler(),))
    job.has_begun = True
    assert not _ranking.has_begun(job)


def test_setting_off_ignores_progress():
    state = make_state()
    state.run_times_ms[QUEUE.name] = 1000.0
    add_job(state, 'older', 1000)
    add_job(state, 'begun', 500, has_begun=True)
    add_job(state, 'lost', 60_000)
    add_job(state, 'patient', 0, priority=2)
    assert sort_jobs(state) == ['older', 'begun', 'lost', 'patient']
