"""Single decisions of the scheduler, without clocks or sockets."""

import attrs
import pytest

from tulippin.jobs import (
    _interference,
    _pacing,
    _placing,
    _ranking,
    _soundness,
)
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs._scoring import score_idle
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
    add_attempt(attempt, Task(key), worker)
    return attempt


def make_serving(image='web', cpu=2000):
    return Step(
        1, Resources(cpu, 1000), image=image, target_ms=50, long_running=True
    )


def make_filler(image='batch', cpu=1000):
    return Step(1, Resources(cpu, 1000), image=image, opportunistic=True)


def teach(state, worker, excess_tail, steps=20):
    """Let siblings on other workers show the undisturbed tail."""
    for _ in range(steps):
        state.tails['a'] = {
            TaskKey('a', 0, 0, 7): (10.0, NOW_MS),
            TaskKey('a', 0, 0, 8): (11.0, NOW_MS),
        }
        for attempt in worker.serving.values():
            attempt.load = excess_tail
        _interference.learn(worker, state)


def test_pair_that_disturbs_is_learned_and_avoided():
    state = make_state(2)
    bad = state.workers['w0']
    make_attempt(bad, make_serving())
    make_attempt(bad, make_filler(), 'b', load=1000.0)
    teach(state, bad, 40.0)
    weight = state.model.get_weight('web', 'batch')
    assert weight > 1
    assert state.model.get_weight('web', 'other') < 0.1
    assert _interference.get_harm(make_filler(), bad, state) is None
    assert (
        _interference.get_harm(make_filler(), state.workers['w1'], state) == 0
    )


def test_pair_that_does_not_disturb_stays_welcome():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving())
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    teach(state, worker, 10.0)
    assert state.model.get_weight('web', 'batch') < 0.05
    assert _interference.get_harm(make_filler(), worker, state) < 0.1


def test_lone_task_teaches_nothing():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving(), load=90.0)
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    _interference.learn(worker, state)
    assert state.model.weights == {}


def pace(state, worker):
    context = Context(state)
    worker.pace_changed_ms = 0
    _pacing.adjust(worker, context)
    return context.effects


def test_the_one_to_blame_is_slowed_first():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving(), load=70.0)
    guilty = make_attempt(worker, make_filler('guilty'), 'b')
    innocent = make_attempt(worker, make_filler('innocent'), 'c')
    state.model.weights['web|guilty'] = 2.0
    state.model.sample_counts['web|guilty'] = 50
    state.model.weights['web|innocent'] = 0.0
    state.model.sample_counts['web|innocent'] = 50
    pace(state, worker)
    assert guilty.wanted_percent < 100
    assert innocent.wanted_percent == 100


def test_all_are_slowed_where_none_is_to_blame():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving(), load=90.0)
    filler = make_attempt(worker, make_filler(), 'b')
    state.model.weights['web|batch'] = 0.0
    state.model.sample_counts['web|batch'] = 50
    for _ in range(3):
        pace(state, worker)
    assert filler.wanted_percent == 0


def test_pace_rises_again_with_slack():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving(), load=12.0)
    filler = make_attempt(worker, make_filler(), 'b')
    filler.wanted_percent = 0
    for _ in range(3):
        pace(state, worker)
    assert filler.wanted_percent == 100


def make_job(state, job_id, arrived_ms, steps):
    job = Job(
        job_id,
        QUEUE,
        JobRequest('', steps),
        1,
        arrived_ms=arrived_ms,
        depths=_ranking.compute_depths(JobRequest('', steps)),
    )
    state.jobs[job_id] = job
    return job


def test_job_that_can_be_on_time_goes_before_a_lost_one():
    state = make_state()
    state.run_times_ms['q'] = 1000.0
    make_job(state, 'lost', NOW_MS - 60_000, (Step(1),))
    make_job(state, 'late', NOW_MS - 4000, (Step(1),))
    make_job(state, 'hopeful', NOW_MS - 100, (Step(1),))
    queue = {(name, 0, 0): {} for name in state.jobs}
    order = [kind[0] for kind in _ranking.sort_kinds(queue, state)]
    assert order == ['hopeful', 'late', 'lost']


def test_depths_follow_the_longest_chain():
    steps = (
        Step(1),
        Step(1, after=(0,)),
        Step(1, after=(0,)),
        Step(1, after=(1,)),
    )
    assert _ranking.compute_depths(JobRequest('', steps)) == (3, 2, 1, 1)


def test_long_running_tasks_leave_room_in_one_piece():
    state = make_state(4)
    for index in range(8):
        step = make_serving()
        task = Task(TaskKey('a', 0, 0, index))
        job = make_job(state, 'a', NOW_MS, (step,))
        worker = _placing._choose(job, task, step, state)
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


def test_tail_that_no_neighbour_can_cause_teaches_nothing():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving())
    make_attempt(worker, make_filler(), 'b', load=1000.0)
    teach(state, worker, 33_000.0)
    assert state.model.weights == {}


def judge(state, worker, at_ms=(NOW_MS, NOW_MS + 800)):
    context = Context(state)
    for now_ms in at_ms:
        state.now_ms = now_ms
        state.tails['a'] = {
            TaskKey('a', 0, 0, 7): (10.0, now_ms),
            TaskKey('a', 0, 0, 8): (11.0, now_ms),
        }
        _soundness.judge(worker, context)
    return context.effects


def add_job(state, step, task_count=9):
    steps = (attrs.evolve(step, task_count=task_count),)
    return make_job(state, 'a', NOW_MS, steps)


def test_worker_whose_tails_are_absurd_is_left_and_emptied():
    state = make_state(2)
    worker = state.workers['w0']
    job = add_job(state, make_serving())
    attempt = make_attempt(worker, make_serving(), load=33_000.0)
    job.tasks[attempt.key] = Task(attempt.key)
    judge(state, worker)
    assert worker.quarantined_until_ms > state.now_ms
    assert attempt.state is AttemptState.STOPPING


def test_serving_task_stays_where_no_other_worker_has_room():
    state = make_state(1)
    worker = state.workers['w0']
    job = add_job(state, make_serving())
    attempt = make_attempt(worker, make_serving(), load=33_000.0)
    job.tasks[attempt.key] = Task(attempt.key)
    judge(state, worker)
    assert attempt.state is AttemptState.RUNNING


def test_busy_worker_is_not_left():
    state = make_state()
    worker = state.workers['w0']
    make_attempt(worker, make_serving(), load=18.0)
    judge(state, worker)
    assert worker.quarantined_until_ms == 0


def test_task_that_uses_no_processor_is_moved():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, Step(1, Resources(1000, 100)), 'b')
    judge(state, worker)
    assert attempt.state is AttemptState.STOPPING


def test_slowed_task_does_not_count_as_still():
    state = make_state()
    worker = state.workers['w0']
    attempt = make_attempt(worker, make_filler(), 'b')
    attempt.wanted_percent = 0
    attempt.pace_percent = 0
    judge(state, worker)
    assert attempt.state is AttemptState.RUNNING
