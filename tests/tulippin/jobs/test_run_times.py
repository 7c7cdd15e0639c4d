"""Run times are predicted from estimates, and decide which jobs are in time."""

import random

import attrs
import pytest
import trio
from test_scheduler_decisions import QUEUE, make_job, make_state

from scheduler_fleet import make_request, make_step, open_fleet
from tulippin.jobs import _ranking, _run_times
from tulippin.jobs._ranking import Lateness
from tulippin.jobs.types import JobState, Step
from tulippin.types import Resources

SIZE = Resources(1000, 1000)
# Run times grow with this power of the estimates.
EXPONENT = 0.6
MEAN_RUN_MS = 2000


def make_estimated(estimated_ms, **options):
    return Step(1, SIZE, estimated_ms=estimated_ms, **options)


def teach(state, runs=400, seed=1):
    """Teach run times that grow more slowly than the estimates."""
    source = random.Random(seed)
    for _ in range(runs):
        factor = 2 ** source.uniform(-2, 2)
        step = make_estimated(int(1500 * factor))
        job = make_job(state, 'taught', 0, (step,))
        noise = 2 ** source.uniform(-0.3, 0.3)
        run_ms = int(MEAN_RUN_MS * factor**EXPONENT * noise)
        _run_times.learn(job, step, run_ms, state)


def predict(state, estimated_ms):
    step = make_estimated(estimated_ms)
    return _run_times.predict_ms(make_job(state, 'a', 0, (step,)), step, state)


@pytest.mark.parametrize('factor', [0.25, 0.5, 1, 2, 4])
def test_predictions_follow_the_runs(factor):
    state = make_state()
    teach(state)
    expected_ms = MEAN_RUN_MS * factor**EXPONENT
    found_ms = predict(state, int(1500 * factor))
    assert found_ms == pytest.approx(expected_ms, rel=0.15)


def test_equal_estimates_predict_the_usual_run_time():
    state = make_state()
    step = make_estimated(1000)
    job = make_job(state, 'a', 0, (step,))
    for _ in range(100):
        _run_times.learn(job, step, 3000, state)
    assert predict(state, 1000) == pytest.approx(3000, rel=0.01)
    assert predict(state, 2000) == pytest.approx(6000, rel=0.01)


def test_few_runs_or_no_estimate_leave_the_mean():
    state = make_state()
    teach(state, runs=5)
    assert predict(state, 6000) == state.run_times_ms[QUEUE.name]
    teach(state)
    assert predict(state, 0) == state.run_times_ms[QUEUE.name]


def test_extreme_estimate_stays_within_a_factor_of_the_mean():
    state = make_state()
    teach(state)
    mean_ms = state.run_times_ms[QUEUE.name]
    assert predict(state, 10**15) < 12 * mean_ms
    assert predict(state, 1) > mean_ms / 12


def test_large_job_is_in_time_for_longer_than_a_small_one():
    """Guards against due times by the mean of a queue, whatever a job's size.

    All large jobs then count as late while they can still be in time.
    """
    state = make_state()
    teach(state)
    waited_ms = 2 * MEAN_RUN_MS
    for name, estimated_ms, lateness in (
        ('large', 6000, Lateness.IN_TIME),
        ('small', 400, Lateness.LATE),
    ):
        job = make_job(
            state,
            name,
            state.now_ms - waited_ms,
            (make_estimated(estimated_ms),),
        )
        key = (job.job_id, 0, 0)
        assert _ranking.get_lateness(job, key, state) is lateness


# -- what callers get under a load ---------------------------------------------

LOAD_S = 30
WORKERS = 4
SMALL_MS = 600
LARGE_MS = 3600


async def play_overload(fleet):
    """Submit more work than fits, and return how many jobs were in time.

    Small jobs have one short task, large ones two long tasks in sequence.
    """
    source = random.Random(1)
    accepted = {}
    while trio.current_time() < LOAD_S:
        is_large = source.random() < 0.3
        run_ms = LARGE_MS if is_large else SMALL_MS
        steps = [make_step(8, 4000, estimated_ms=int(run_ms * 0.8))]
        if is_large:
            steps.append(attrs.evolve(steps[0], after=(0,)))
        job_id = f'{len(accepted):016x}'
        await fleet.submit(job_id, make_request(*steps, run_ms=run_ms))
        objective_ms = QUEUE.stretch * run_ms * len(steps)
        objective_ms += QUEUE.target_latency_ms
        accepted[job_id] = (is_large, trio.current_time(), objective_ms)
        await trio.sleep(source.expovariate(1.0))
    for job_id in accepted:
        await fleet.wait_state(job_id, JobState.COMPLETED, limit_s=120)
    return accepted


def count_in_time(fleet, accepted, *, is_large):
    """Return the share of jobs of a size whose last task ended in time."""
    ended_s = {}
    for event in fleet.platform.history:
        if event.kind == 'ended':
            ended_s[event.key.job_id] = event.at_ms / 1000
    found = [
        (ended_s[job_id] - at_s) * 1000 <= objective_ms
        for job_id, (large, at_s, objective_ms) in accepted.items()
        if large is is_large
    ]
    return sum(found) / len(found)


def play(run_virtual):
    shares = []

    async def run():
        async with open_fleet(workers=WORKERS) as fleet:
            accepted = await play_overload(fleet)
            shares.extend(
                count_in_time(fleet, accepted, is_large=is_large)
                for is_large in (False, True)
            )
            fleet.check()

    run_virtual(run)
    return shares


def test_overload_leaves_large_jobs_in_time_too(run_virtual, monkeypatch):
    """More of either size is in time than with the mean of the queue."""
    small, large = play(run_virtual)
    monkeypatch.setattr(_run_times, 'predict_ms', predict_mean_ms)
    small_by_mean, large_by_mean = play(run_virtual)
    assert small >= small_by_mean
    assert large > large_by_mean


def predict_mean_ms(job, step, state):
    return _run_times.get_mean_ms(job, state)
