"""What is expected of a job follows from what is known of its runs."""

import random

import attrs
import pytest
from test_scheduler_decisions import QUEUE, make_job, make_state

from tulippin.jobs import (
    _attempts,
    _forecasting,
    _model_store,
    _ranking,
    _run_times,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs._ranking import Lateness
from tulippin.jobs.features import Features
from tulippin.jobs.state import Attempt, AttemptState, Task
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources

USUAL_MS = 1000
FIRST = Step(2, Resources(1000, 1000), estimated_ms=USUAL_MS)
SECOND = attrs.evolve(FIRST, after=(0,))
# The objective is twice the longest chain, and 500 ms more.
OBJECTIVE_MS = 2 * 2 * USUAL_MS + 500


def make_progress_state(*, is_on=True):
    state = make_state()
    state.config = attrs.evolve(
        state.config, features=Features(orders_by_progress=is_on)
    )
    state.run_times_ms[QUEUE.name] = float(USUAL_MS)
    return state


def add_job(state, age_ms, steps=(FIRST, SECOND), name='a'):
    return make_job(state, name, state.now_ms - age_ms, steps)


def add_run(state, job, age_ms, index=0, step=0, **options):
    key = TaskKey(job.job_id, 0, step, index)
    task = job.tasks.setdefault(key, Task(key))
    worker = state.workers['w0']
    sent_ms = state.now_ms - age_ms
    attempt = Attempt(
        key,
        1,
        worker.worker_id,
        job.request.steps[step],
        job.queue.priority,
        AttemptState.RUNNING,
        sent_ms,
        **{'seen_ms': sent_ms, 'start_deadline_ms': sent_ms, **options},
    )
    _attempts.add_attempt(attempt, task, worker)
    return attempt


def find_lateness(state, job, step=0):
    return _ranking.get_lateness(job, (job.job_id, 0, step), state)


# Guards against a job taken for late because one of its tasks runs on.
@pytest.mark.parametrize(
    ('is_on', 'lateness'), [(True, Lateness.IN_TIME), (False, Lateness.LATE)]
)
def test_job_whose_task_runs_on_is_not_late(is_on, lateness):
    state = make_progress_state(is_on=is_on)
    job = add_job(state, 7000)
    add_run(state, job, 6900)
    assert find_lateness(state, job) is lateness


def test_completed_step_counts_with_its_longest_run():
    """Guards against an objective that shrinks when a long run ends."""
    state = make_progress_state()
    job = add_job(state, 7000)
    for index, age_ms in enumerate((6900, 900)):
        attempt = add_run(state, job, age_ms, index)
        _forecasting.note_done(job, attempt, state)
        _attempts.drop_attempt(attempt, Context(state))
    job.remaining[0, 0] = 0
    found = _forecasting.get_forecast(job, 0, state)
    assert found.total_ms == 6900 + USUAL_MS
    assert find_lateness(state, job, 1) is Lateness.IN_TIME


def test_short_runs_of_a_completed_step_lower_the_objective():
    """Guards against jobs ranked by time that their runs never took."""
    state = make_progress_state()
    job = add_job(state, 500)
    _forecasting.note_done(job, add_run(state, job, 400), state)
    job.remaining[0, 0] = 0
    found = _forecasting.get_forecast(job, 0, state)
    assert found.total_ms == 400 + USUAL_MS


def test_time_lost_to_a_pace_is_no_run_time():
    """Guards against paused runs that make their job seem in time for ever."""
    state = make_progress_state()
    job = add_job(state, 7000)
    attempt = add_run(state, job, 6900, pace_percent=0)
    _forecasting.note_held(attempt, state.now_ms)
    assert find_lateness(state, job) is Lateness.LATE


def test_run_that_no_report_has_shown_does_not_count():
    """Guards against an objective that grows while a start is unanswered."""
    state = make_progress_state()
    job = add_job(state, 7000)
    add_run(state, job, 6900).seen_ms = 0
    assert find_lateness(state, job) is Lateness.LATE


def test_waiting_time_does_not_raise_the_objective():
    state = make_progress_state()
    assert find_lateness(state, add_job(state, OBJECTIVE_MS)) is Lateness.LATE
    late_ms = 3 * OBJECTIVE_MS
    job = add_job(state, late_ms, name='b')
    assert find_lateness(state, job) is Lateness.WORTHLESS


def test_forecast_is_computed_once_for_a_pass():
    """Guards against a forecast for each step of each pass."""
    state = make_progress_state()
    job = add_job(state, 0)
    found = _forecasting.get_forecast(job, 0, state)
    state.now_ms += 400
    assert _forecasting.get_forecast(job, 0, state) is found
    _forecasting.invalidate(job)
    assert _forecasting.get_forecast(job, 0, state) is not found


def teach_tail(state, image='', seed=1, runs=400):
    """Teach runs of which three in a hundred take seven times as long."""
    source = random.Random(seed)
    step = attrs.evolve(FIRST, image=image)
    job = make_job(state, 'taught', 0, (step,))
    for _ in range(runs):
        factor = 7 if source.random() < 0.03 else 1
        worked_ms = factor * USUAL_MS * 2 ** source.uniform(-0.3, 0.3)
        _run_times.learn_ratio(job, step, worked_ms, state)
    del state.jobs['taught']


def test_run_in_the_tail_is_expected_to_take_as_long_as_others_there():
    """Guards against stragglers that are expected to end at any moment."""
    state = make_progress_state()
    teach_tail(state)
    job = add_job(state, 3000)
    add_run(state, job, 2900)
    found = _forecasting.get_forecast(job, 0, state)
    assert found.total_ms == pytest.approx(7 * USUAL_MS + USUAL_MS, rel=0.1)
    assert found.left_ms[0] == pytest.approx(
        7 * USUAL_MS - 2900 + USUAL_MS, rel=0.15
    )
    assert find_lateness(state, job) is Lateness.IN_TIME


def test_tail_leaves_the_expectation_of_usual_runs_alone():
    state = make_progress_state()
    teach_tail(state)
    job = add_job(state, 600)
    add_run(state, job, 500)
    found = _forecasting.get_forecast(job, 0, state)
    assert found.total_ms == pytest.approx(2 * USUAL_MS, rel=0.1)


def test_images_of_a_queue_have_distributions_of_their_own():
    """Guards against a slow image that makes all others of its queue late."""
    state = make_progress_state()
    for image, factor in (('slow', 3.0), ('fast', 0.5)):
        step = attrs.evolve(FIRST, image=image)
        job = make_job(state, image, 0, (step,))
        for _ in range(30):
            _run_times.learn_ratio(job, step, factor * USUAL_MS, state)
        found = _run_times.predict(job, step, state)
        assert found.usual_ms == pytest.approx(factor * USUAL_MS, rel=0.02)
    other = attrs.evolve(FIRST, image='unknown')
    job = make_job(state, 'c', 0, (other,))
    # An unknown image has the distribution of all runs of its queue.
    found = _run_times.predict(job, other, state)
    assert found.upper_ms == pytest.approx(3 * USUAL_MS, rel=0.02)


def test_number_of_distributions_is_bounded():
    """Guards against callers that fill the memory with names of images."""
    state = make_progress_state()
    for number in range(1000):
        step = attrs.evolve(FIRST, image=f'image{number}')
        job = make_job(state, 'a', 0, (step,))
        _run_times.learn_ratio(job, step, USUAL_MS, state)
    assert len(state.run_ratios) == 256


def test_adopted_run_is_no_example_of_a_run_time():
    """Guards against a new owner that times runs from its takeover."""
    state = make_progress_state()
    job = add_job(state, 500)
    attempt = add_run(state, job, 100, start_deadline_ms=0)
    _forecasting.note_done(job, attempt, state)
    assert not state.run_ratios
    assert job.longest_runs_ms[0, 0] == USUAL_MS


def test_new_owner_without_distributions_uses_predictions():
    state = make_progress_state()
    teach_tail(state)
    _model_store.forget(state)
    job = add_job(state, 3000)
    add_run(state, job, 2900)
    found = _forecasting.get_forecast(job, 0, state)
    assert found.total_ms == 2900 + USUAL_MS


def test_run_that_never_ends_keeps_its_job_in_time():
    """Guards against ages beyond all known run times."""
    state = make_progress_state()
    teach_tail(state)
    job = add_job(state, 10**8)
    add_run(state, job, 10**8 - 100)
    found = _forecasting.get_forecast(job, 0, state)
    assert 10**8 < found.total_ms < 10**9
    assert find_lateness(state, job) is Lateness.IN_TIME
