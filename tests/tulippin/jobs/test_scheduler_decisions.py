"""Unit tests of single scheduler decisions, without clocks or sockets."""

import attrs
import pytest

from tulippin.jobs import (
    _interference,
    _pacing,
    _ranking,
    _run_times,
    _tail_latency,
    _worker_health,
    _worker_selection,
    core,
)
from tulippin.jobs._attempts import add_attempt, drop_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs._scoring import score_idle
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.pair_model import ImageModel
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import (
    JobRequest,
    OrderAnswer,
    OrderOutcome,
    Queue,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.policies import BestFitPolicy, LeastLoadedPolicy, RandomPolicy
from tulippin.types import Resources

NOW_MS = 100_000
QUEUE = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 500)


def make_state(workers=1):
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    state.ownership.phase = Phase.ACTIVE
    for number in range(workers):
        entry = WorkerEntry(
            f'w{number}', 's', 'a', 'z', Resources(10_000, 64_000)
        )
        worker = state.workers[entry.worker_id] = Worker(entry)
        worker.is_rostered = True
        worker.is_reconciled = True
        worker.clock_offset_ms = 0
    return state


def make_attempt(worker, step, job_id='a', index=0, load=0.0):
    key = TaskKey(job_id, 0, 0, index)
    attempt = Attempt(
        key,
        1,
        worker.worker_id,
        step,
        2,
        AttemptState.RUNNING,
        NOW_MS - 5000,
        load=load,
    )
    _tail_latency.update_tail(attempt, load, NOW_MS)
    add_attempt(attempt, Task(key), worker)
    return attempt


def make_service_request(image='web', cpu=2000):
    return Step(
        1, Resources(cpu, 1000), image=image, target_ms=50, long_running=True
    )


def make_filler(image='batch', cpu=1000):
    return Step(1, Resources(cpu, 1000), image=image, opportunistic=True)


def set_sibling_tails(state, tail_ms=10.0):
    """Set undisturbed tails of sibling tasks on other workers."""
    state.tails['a'] = {
        TaskKey('a', 0, 0, 7): (tail_ms, state.now_ms),
        TaskKey('a', 0, 0, 8): (tail_ms + 1, state.now_ms),
    }


def teach(state, worker, tail_ms, steps=20):
    """Report a tail repeatedly while siblings are undisturbed."""
    for _ in range(steps):
        state.now_ms += 400
        set_sibling_tails(state)
        for attempt in worker.serving.values():
            _tail_latency.update_tail(attempt, tail_ms, state.now_ms)
        _interference.learn(worker, state)


def set_pair(state, serving_image, image, mean, spread=0.01):
    """Set a pair of the model to a mean with a small variance."""
    model = state.model.images.setdefault(serving_image, ImageModel())
    model.means[image] = mean
    model.covariances[image, image] = spread * spread
    model.sample_counts[image] = 50


def test_pair_that_disturbs_is_learned_and_avoided():
    state = make_state(2)
    bad = state.workers['w0']
    make_attempt(bad, make_service_request())
    make_attempt(bad, make_filler(), 'b', load=1000.0)
    teach(state, bad, 20.0)
    weight = state.model.get_weight('web', 'batch')
    assert weight == pytest.approx(0.96, abs=0.05)
    assert state.model.get_weight('web', 'other') < 0.1
    bad.fillers.clear()
    set_sibling_tails(state, 25.0)
    assert _interference.compute_harm(make_filler(), bad, state) is None
    assert (
        _interference.compute_harm(make_filler(), state.workers['w1'], state)
        == 0
    )


def test_harmless_pair_is_allowed_at_peak_load():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request())
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    teach(state, worker, 10.0)
    assert state.model.get_weight('web', 'batch') < 0.02
    set_sibling_tails(state, 42.0)
    worker.slack = None
    assert _interference.compute_harm(make_filler(), worker, state) == 0


def test_image_beside_an_undisturbed_tail_is_cleared():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request())
    make_attempt(worker, make_filler('calm'), 'b', load=1000.0)
    teach(state, worker, 10.0)
    make_attempt(worker, make_filler('loud'), 'c', load=1000.0)
    teach(state, worker, 14.0)
    assert state.model.get_weight('web', 'calm') < 0.05
    assert state.model.get_weight('web', 'loud') > 0.3


def test_unknown_pair_is_tried_at_low_load_only():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=12.0)
    set_sibling_tails(state, 12.0)
    assert _interference.compute_harm(make_filler(), worker, state) is not None
    worker.slack = None
    set_sibling_tails(state, 35.0)
    assert _interference.compute_harm(make_filler(), worker, state) is None


def test_single_task_within_its_target_is_not_learned():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_service_request(), load=30.0)
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    for _ in range(3):
        state.now_ms += 400
        _tail_latency.update_tail(attempt, 30.0, state.now_ms)
        _interference.learn(worker, state)
    assert not state.model.images


def test_higher_load_of_a_task_is_not_attributed_to_other_images():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_service_request())
    for _ in range(20):
        state.now_ms += 400
        set_sibling_tails(state, 20.0)
        _tail_latency.update_tail(attempt, 30.0, state.now_ms)
        _interference.learn(worker, state)
    assert attempt.sibling_load_factor == pytest.approx(4 / 3, abs=0.02)
    assert _interference.get_observed_excess(attempt, state, 0.0) == 0


def test_current_tail_is_estimated_from_smoothed_readings():
    state = make_state()
    attempt = make_attempt(state.workers['w0'], make_service_request())
    for number, reading in enumerate((242.0, 134.0, 80.0, 54.0)):
        _tail_latency.update_tail(attempt, reading, NOW_MS + number * 300)
    assert attempt.tail_ms < 40
    assert attempt.load == 54.0


@pytest.mark.parametrize('slowdown', [1.0, 1.2, 1.6])
@pytest.mark.parametrize('load', [0.1, 0.5])
def test_tails_and_slowdowns_convert_into_each_other(slowdown, load):
    tail_ms = _tail_latency.compute_tail_ms(slowdown, 10.0, load)
    found = _tail_latency.compute_slowdown(tail_ms, 10.0, load)
    assert found == pytest.approx(slowdown)


def pace(state, worker):
    context = Context(state)
    worker.pace_changed_ms = 0
    _pacing.adjust(worker, context)
    return context.effects


def pace_for(state, worker, until_ms, every_ms=400):
    """Adjust paces repeatedly; return when each job was paused, in ms."""
    began_ms = state.now_ms
    paused_after_ms = {}
    while state.now_ms - began_ms <= until_ms:
        set_sibling_tails(state, 33.0)
        pace(state, worker)
        for attempt in worker.fillers.values():
            if attempt.target_pace_percent == 0:
                age_ms = state.now_ms - began_ms
                paused_after_ms.setdefault(attempt.key.job_id, age_ms)
        state.now_ms += every_ms
    return paused_after_ms


def test_short_miss_is_tolerated():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=70.0)
    make_attempt(worker, make_filler(), 'b')
    assert pace_for(state, worker, 1500) == {}


@pytest.mark.parametrize('every_ms', [400, 1000])
def test_all_opportunistic_tasks_are_paused_before_a_miss_is_too_long(
    every_ms,
):
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=70.0)
    make_attempt(worker, make_filler('guilty'), 'b')
    make_attempt(worker, make_filler('innocent'), 'c')
    set_pair(state, 'web', 'guilty', 0.3)
    set_pair(state, 'web', 'innocent', 0.0)
    paused_after_ms = pace_for(state, worker, 4000, every_ms)
    assert set(paused_after_ms) == {'b', 'c'}
    assert max(paused_after_ms.values()) <= 2000


def test_miss_that_ends_and_recurs_is_timed_anew():
    state = make_state()
    worker = state.workers['w0']
    serving = make_attempt(worker, make_service_request(), load=70.0)
    make_attempt(worker, make_filler(), 'b')
    pace_for(state, worker, 1200)
    serving.tail_ms = 20.0
    pace_for(state, worker, 800)
    serving.tail_ms = 70.0
    assert pace_for(state, worker, 1200) == {}


def test_single_reading_below_the_target_does_not_end_a_miss():
    state = make_state()
    worker = state.workers['w0']
    serving = make_attempt(worker, make_service_request(), load=52.0)
    filler = make_attempt(worker, make_filler(), 'b')
    began_ms = state.now_ms
    for tail_ms in (52.0, 53.0, 47.0, 52.0, 46.0, 53.0):
        serving.tail_ms = tail_ms
        set_sibling_tails(state, 33.0)
        pace(state, worker)
        state.now_ms += 400
    assert filler.target_pace_percent == 0
    assert state.now_ms - began_ms < 4000


def test_rising_tail_gives_a_lower_bound_of_the_slowdown():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_service_request(), load=20.0)
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    state.now_ms += 400
    set_sibling_tails(state, 20.0)
    _tail_latency.update_tail(attempt, 60.0, state.now_ms)
    _interference.learn(worker, state)
    assert state.model.get_weight('web', 'batch') > 0.1


def test_falling_tail_is_attributed_to_no_image():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_service_request(), load=80.0)
    make_attempt(worker, make_filler(), 'b', load=500.0)
    worker.exposure = {'batch': 3.0}
    state.now_ms += 400
    set_sibling_tails(state, 20.0)
    _tail_latency.update_tail(attempt, 60.0, state.now_ms)
    _interference.learn(worker, state)
    assert not state.model.images


def test_all_are_slowed_if_a_long_miss_has_no_known_cause():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=90.0)
    filler = make_attempt(worker, make_filler(), 'b')
    set_pair(state, 'web', 'batch', 0.0)
    pace_for(state, worker, 2000)
    assert filler.target_pace_percent == 0


def test_pace_rises_again_with_slack():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=12.0)
    filler = make_attempt(worker, make_filler(), 'b')
    filler.target_pace_percent = 0
    for _ in range(3):
        pace(state, worker)
    assert filler.target_pace_percent == 100


def make_slow_start(state, worker):
    """Start a run slowly beside a tail that keeps it at the slowest pace."""
    make_attempt(worker, make_service_request(), load=45.0)
    set_pair(state, 'web', 'batch', 5.0)
    step = make_filler()
    make_job(state, 'b', NOW_MS - 5000, (step,))
    filler = make_attempt(worker, step, 'b')
    filler.is_slow_start = True
    filler.target_pace_percent = filler.pace_percent = 10
    return filler


def leave_waiting(state, ready_ms):
    """Add a ready task, seen by the last placement pass if it is older."""
    job = make_job(state, 'c', ready_ms, (make_filler(cpu=60_000),))
    task = Task(TaskKey('c', 0, 0, 0), ready_ms=ready_ms)
    job.tasks[task.key] = task
    state.ready_opportunistic['c', 0, 0] = {task.key: task}


def pace_slow_start(state, worker, for_ms=2400, every_ms=400, taken=()):
    """Adjust paces repeatedly beside a high tail that meets its target.

    Of the workers that are ``taken`` one after the other is closed.
    """
    for number in range(for_ms // every_ms):
        set_sibling_tails(state, 45.0)
        for one in state.workers.values():
            one.answered_ms = state.now_ms
            one.paused_until_ms = 0
        if taken:
            closed = state.workers[taken[number % len(taken)]]
            closed.paused_until_ms = state.now_ms + every_ms
        state.opportunistic_placed_ms = state.now_ms
        pace(state, worker)
        state.now_ms += every_ms


def test_working_slow_start_stays_while_waiting_tasks_take_each_place():
    state = make_state(3)
    worker = state.workers['w0']
    filler = make_slow_start(state, worker)
    leave_waiting(state, NOW_MS - 1000)
    pace_slow_start(state, worker, taken=('w1', 'w2'))
    assert filler.target_pace_percent == 10
    assert filler.state is AttemptState.RUNNING


def test_working_slow_start_moves_to_a_place_that_waiting_tasks_leave():
    state = make_state(2)
    worker = state.workers['w0']
    filler = make_slow_start(state, worker)
    leave_waiting(state, NOW_MS - 1000)
    pace_slow_start(state, worker)
    assert filler.target_pace_percent == 10
    assert filler.state is AttemptState.STOPPING


def test_working_slow_start_moves_when_no_tasks_are_left_waiting():
    state = make_state(2)
    worker = state.workers['w0']
    filler = make_slow_start(state, worker)
    pace_slow_start(state, worker)
    assert filler.target_pace_percent == 10
    assert filler.state is AttemptState.STOPPING


def test_working_slow_start_stays_if_no_other_worker_takes_it():
    state = make_state(1)
    worker = state.workers['w0']
    filler = make_slow_start(state, worker)
    pace_slow_start(state, worker)
    assert filler.state is AttemptState.RUNNING


def replace_filler_in_a_miss(state, worker, quiet_ms):
    """Let a run end after 1.6 s of a miss, and start one after a time."""
    first = make_attempt(worker, make_filler(), 'b')
    pace_for(state, worker, 1200)
    drop_attempt(first, Context(state))
    for _ in range(quiet_ms // 200):
        pace(state, worker)
        state.now_ms += 200
    return make_attempt(worker, make_filler(), 'c')


def test_miss_is_not_timed_anew_with_each_run_beside_it():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=90.0)
    set_pair(state, 'web', 'batch', 0.0)
    filler = replace_filler_in_a_miss(state, worker, quiet_ms=200)
    pace_for(state, worker, 0)
    assert filler.target_pace_percent == 0


def test_miss_without_runs_is_timed_anew():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=90.0)
    set_pair(state, 'web', 'batch', 0.0)
    filler = replace_filler_in_a_miss(state, worker, quiet_ms=2000)
    pace_for(state, worker, 0)
    assert filler.target_pace_percent == 100


def test_pause_is_ordered_after_a_resumption_without_an_answer():
    state = make_state()
    worker = state.workers['w0']
    filler = make_attempt(worker, make_filler(), 'b')
    filler.pace_percent = 0
    sent = []
    for percent in (10, 0):
        filler.target_pace_percent = percent
        context = Context(state)
        _pacing.send_if_changed(filler, worker, context)
        sent += [effect.percent for effect in context.effects]
        state.now_ms += 500
    assert sent == [10, 0]


def make_job(state, job_id, arrived_ms, steps):
    job = Job(job_id, QUEUE, JobRequest('', steps), 1, arrived_ms=arrived_ms)
    state.jobs[job_id] = job
    return job


def test_job_that_can_be_in_time_goes_before_a_late_one():
    state = make_state()
    state.run_times_ms['q'] = 1000.0
    make_job(state, 'lost', NOW_MS - 60_000, (Step(1),))
    make_job(state, 'late', NOW_MS - 4000, (Step(1),))
    make_job(state, 'hopeful', NOW_MS - 100, (Step(1),))
    queue = {(name, 0, 0): {} for name in state.jobs}
    order = [kind[0] for kind in _ranking.sort_steps(queue, state)]
    assert order == ['hopeful', 'late', 'lost']


def test_chains_follow_the_longest_one():
    state = make_state()
    state.run_times_ms['q'] = 1000.0
    steps = (
        Step(1),
        Step(1, after=(0,)),
        Step(1, after=(0,)),
        Step(1, after=(1,)),
    )
    job = make_job(state, 'a', 0, steps)
    chains_ms = _run_times.predict_chains_ms(job, state)
    assert chains_ms == (3000.0, 2000.0, 1000.0, 1000.0)


def test_long_running_tasks_of_a_batch_are_placed_by_image():
    state = make_state()
    small = make_service_request('small', 1000)
    spread = attrs.evolve(make_service_request('big', 1000), max_per_worker=1)
    large = make_service_request('big', 4000)
    for job_id, step in (('a', small), ('b', large), ('c', spread)):
        make_job(state, job_id, NOW_MS, (step,))
    queue = {(name, 0, 0): {0: None} for name in state.jobs}
    order = [kind[0] for kind in _ranking.sort_steps(queue, state)]
    assert order == ['c', 'b', 'a']


def test_long_running_tasks_leave_capacity_in_large_pieces():
    state = make_state(4)
    for index in range(8):
        step = make_service_request()
        task = Task(TaskKey('a', 0, 0, index))
        job = make_job(state, 'a', NOW_MS, (step,))
        worker = _worker_selection.choose(job, task, step, state)
        make_attempt(worker, step, index=index)
    free = sorted(
        worker.free.cpu_millicores for worker in state.workers.values()
    )
    assert free[-2:] == [10_000, 10_000]


@pytest.mark.parametrize(
    ('policy', 'expected'),
    [(LeastLoadedPolicy(), 'w1'), (BestFitPolicy(), 'w0')],
)
def test_policies_rank_by_load(policy, expected):
    state = make_state(2)
    make_attempt(state.workers['w0'], Step(1, Resources(5000, 1000)))
    task = Task(TaskKey('b', 0, 0, 0))
    best = min(
        state.workers.values(),
        key=lambda one: score_idle(policy, one, task, make_filler(), state),
    )
    assert best.worker_id == expected


def test_random_policy_repeats_for_the_same_run():
    state = make_state(2)
    task = Task(TaskKey('b', 0, 0, 0))
    worker = state.workers['w0']
    first = score_idle(RandomPolicy(), worker, task, make_filler(), state)
    again = score_idle(RandomPolicy(), worker, task, make_filler(), state)
    assert first == again


def test_impossible_tail_is_not_learned():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request())
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    teach(state, worker, 33_000.0)
    assert not state.model.images


def judge(state, worker, at_ms=(NOW_MS, NOW_MS + 800)):
    context = Context(state)
    for now_ms in at_ms:
        state.now_ms = now_ms
        state.tails['a'] = {
            TaskKey('a', 0, 0, 7): (10.0, now_ms),
            TaskKey('a', 0, 0, 8): (11.0, now_ms),
        }
        _worker_health.judge(worker, context)
    return context.effects


def add_job(state, step, task_count=9):
    steps = (attrs.evolve(step, task_count=task_count),)
    return make_job(state, 'a', NOW_MS, steps)


def test_worker_with_extreme_tails_is_quarantined_and_vacated():
    state = make_state(2)
    worker = state.workers['w0']
    job = add_job(state, make_service_request())
    attempt = make_attempt(worker, make_service_request(), load=33_000.0)
    job.tasks[attempt.key] = Task(attempt.key)
    judge(state, worker)
    assert worker.quarantined_until_ms > state.now_ms
    assert attempt.state is AttemptState.STOPPING


def test_serving_task_stays_if_no_other_worker_has_capacity():
    state = make_state(1)
    worker = state.workers['w0']
    job = add_job(state, make_service_request())
    attempt = make_attempt(worker, make_service_request(), load=33_000.0)
    job.tasks[attempt.key] = Task(attempt.key)
    judge(state, worker)
    assert attempt.state is AttemptState.RUNNING


def test_busy_worker_is_not_quarantined():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=18.0)
    judge(state, worker)
    assert worker.quarantined_until_ms == 0


def test_task_that_uses_no_processor_is_moved_off():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, Step(1, Resources(1000, 100)), 'b')
    judge(state, worker)
    assert attempt.state is AttemptState.STOPPING


def test_resumed_task_has_time_before_it_counts_as_idle():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_filler(), 'b')
    attempt.target_pace_percent = 100
    attempt.pace_percent = 0
    core.reduce(
        state,
        PaceAnswered(
            NOW_MS,
            worker.worker_id,
            attempt.key,
            attempt.run,
            100,
            OrderAnswer(OrderOutcome.STARTED),
        ),
    )
    judge(state, worker)
    assert attempt.state is AttemptState.RUNNING
    assert worker.quarantined_until_ms == 0


def test_slowed_task_does_not_count_as_idle():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_filler(), 'b')
    attempt.target_pace_percent = 0
    attempt.pace_percent = 0
    judge(state, worker)
    assert attempt.state is AttemptState.RUNNING
