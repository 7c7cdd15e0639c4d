"""The limit of a step's tasks that the system makes unavailable at once.

A request says how many tasks of a long-running step may be unavailable at the
same time. Tasks were moved off unhealthy workers one at a time per worker,
without a count per step.
"""

import attrs
import pytest
import trio

from scheduler_fleet import QUEUE, make_request, make_step, open_fleet
from tulippin.jobs import _availability, _pacing, _worker_health
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs._lifecycle import get_task
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    TransferredTask,
    Worker,
)
from tulippin.jobs.types import (
    JobRequest,
    JobState,
    RunOutcome,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.platform import standin_worker
from tulippin.platform.standin import get_now_ms
from tulippin.platform.standin_worker import StandinWorker
from tulippin.types import Resources

NOW_MS = 100_000
JOB = '00000000000000aa'
LIMIT_MS = 3000
# Time from the start of a task until it serves.
STARTING_MS = 1500


# -- the decision ------------------------------------------------------------


def make_serving_state(max_unavailable=1, task_count=3, **options):
    """Return a state with a long-running step, each task on its own worker."""
    step = Step(
        task_count,
        Resources(1000, 1000),
        image='web',
        long_running=True,
        max_unavailable=max_unavailable,
        **({'target_ms': 50} | options),
    )
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    state.ownership.phase = Phase.ACTIVE
    job = state.jobs[JOB] = Job(JOB, QUEUE, JobRequest('', (step,)), 1)
    for index in range(task_count):
        add_worker(state, f'w{index}')
        start(state, job, index)
    return state, job


def add_worker(state, worker_id):
    entry = WorkerEntry(
        worker_id, 'catalogue', 'a', 'z', Resources(10_000, 64_000)
    )
    worker = state.workers[worker_id] = Worker(entry, answered_ms=NOW_MS)
    worker.is_rostered = True
    worker.is_reconciled = True
    worker.clock_offset_ms = 0


def start(state, job, index):
    key = TaskKey(JOB, 0, 0, index)
    attempt = Attempt(
        key,
        1,
        f'w{index}',
        job.request.steps[0],
        0,
        AttemptState.RUNNING,
        NOW_MS - 5000,
        progress_percent=100,
    )
    add_attempt(attempt, get_task(job, key), state.workers[f'w{index}'])


def get_attempt(job, index):
    return job.tasks[TaskKey(JOB, 0, 0, index)].attempts[1]


def may_end_first(state, job):
    return _availability.may_end_run(get_attempt(job, 0), Context(state))


def test_run_may_be_ended_while_all_other_tasks_serve():
    assert may_end_first(*make_serving_state())


def remove_runs(state, job):
    job.tasks[TaskKey(JOB, 0, 0, 1)].attempts.clear()


def remove_task(state, job):
    del job.tasks[TaskKey(JOB, 0, 0, 1)]


def set_starting(state, job):
    get_attempt(job, 1).state = AttemptState.STARTING


def set_doubtful(state, job):
    get_attempt(job, 1).state = AttemptState.DOUBTFUL


def set_stopping(state, job):
    get_attempt(job, 1).state = AttemptState.STOPPING


def set_warming_up(state, job):
    get_attempt(job, 1).progress_percent = 99


def fail_contact(state, job):
    state.workers['w1'].failed_count = 1


def age_last_report(state, job):
    state.workers['w1'].answered_ms = NOW_MS - 1700


def transfer(state, job):
    job.passed[TaskKey(JOB, 0, 0, 1)] = TransferredTask(2, 1, 0)


UNAVAILABLE_STATES = [
    remove_runs,
    remove_task,
    set_starting,
    set_doubtful,
    set_stopping,
    set_warming_up,
    fail_contact,
    age_last_report,
    transfer,
]


@pytest.mark.parametrize('make_unavailable', UNAVAILABLE_STATES)
def test_run_may_not_be_ended_while_another_task_is_unavailable(
    make_unavailable,
):
    state, job = make_serving_state()
    make_unavailable(state, job)
    assert not may_end_first(state, job)


@pytest.mark.parametrize('make_unavailable', UNAVAILABLE_STATES)
def test_limit_of_two_allows_one_unavailable_task(make_unavailable):
    state, job = make_serving_state(max_unavailable=2)
    make_unavailable(state, job)
    assert may_end_first(state, job)
    get_attempt(job, 2).state = AttemptState.STOPPING
    assert not may_end_first(state, job)


@pytest.mark.parametrize('make_unavailable', UNAVAILABLE_STATES)
def test_step_without_a_limit_is_not_counted(make_unavailable):
    state, job = make_serving_state(max_unavailable=0)
    make_unavailable(state, job)
    assert may_end_first(state, job)


def test_transferred_job_counts_tasks_of_other_units_as_unavailable():
    state, job = make_serving_state()
    key = TaskKey(JOB, 0, 0, 1)
    job.is_transferred = True
    job.passes = {TaskKey(JOB, 0, 0, index): 1 for index in (0, 2)}
    # The unit has never had the task.
    task = job.tasks.pop(key)
    assert not may_end_first(state, job)
    job.passes[key] = 1
    job.tasks[key] = task
    assert may_end_first(state, job)


def test_tasks_of_another_step_or_occurrence_are_not_counted():
    state, job = make_serving_state()
    other = attrs.evolve(job.request.steps[0], task_count=5)
    job.request = attrs.evolve(job.request, steps=(*job.request.steps, other))
    get_task(job, TaskKey(JOB, 1, 0, 1))
    assert may_end_first(state, job)


@pytest.mark.parametrize(
    ('max_unavailable', 'is_allowed'), [(1, False), (2, False), (3, True)]
)
def test_gang_ends_as_a_whole(max_unavailable, is_allowed):
    state, job = make_serving_state(max_unavailable, gang=True)
    assert may_end_first(state, job) is is_allowed


def cancel(state, job):
    job.is_cancelled = True


def fail(state, job):
    job.state = JobState.FAILED


def drain(state, job):
    worker = state.workers['w0']
    worker.entry = attrs.evolve(worker.entry, draining=True)


def make_unhealthy_for_long(state, job):
    state.workers['w0'].unhealthy_since_ms = NOW_MS - 3500


@pytest.mark.parametrize(
    'exempt', [cancel, fail, drain, make_unhealthy_for_long]
)
def test_limit_ends_with_the_job_or_its_worker(exempt):
    state, job = make_serving_state()
    set_stopping(state, job)
    assert not may_end_first(state, job)
    exempt(state, job)
    assert may_end_first(state, job)


def test_worker_with_opportunistic_tasks_is_not_confirmed_unhealthy():
    state, job = make_serving_state()
    set_stopping(state, job)
    make_unhealthy_for_long(state, job)
    filler = Attempt(
        TaskKey('b', 0, 0, 0),
        1,
        'w0',
        Step(1, Resources(1000, 100), opportunistic=True),
        2,
        AttemptState.RUNNING,
        NOW_MS - 5000,
    )
    state.workers['w0'].fillers[filler.key, 1] = filler
    assert not may_end_first(state, job)
    filler.pace_percent = 0
    assert may_end_first(state, job)


def judge_unhealthy(state, job, worker_id):
    """Judge a worker with extreme tails while two siblings are healthy."""
    worker = state.workers[worker_id]
    for attempt in worker.serving.values():
        attempt.load = 33_000.0
    worker.unhealthy_since_ms = state.now_ms - 800
    state.tails[JOB] = {
        TaskKey(JOB, 0, 0, index): (10.0, state.now_ms) for index in (7, 8)
    }
    _worker_health.judge(worker, Context(state))


@pytest.mark.parametrize(
    ('max_unavailable', 'stopped'), [(1, 1), (2, 2), (0, 3)]
)
def test_unhealthy_workers_are_vacated_within_the_limit(
    max_unavailable, stopped
):
    state, job = make_serving_state(max_unavailable)
    add_worker(state, 'w9')
    for index in range(3):
        judge_unhealthy(state, job, f'w{index}')
    attempts = [get_attempt(job, index) for index in range(3)]
    states = [one.state for one in attempts]
    assert states.count(AttemptState.STOPPING) == stopped


@pytest.mark.parametrize(
    ('max_unavailable', 'stopped'), [(1, 1), (2, 2), (0, 3)]
)
def test_paused_tasks_are_moved_within_the_limit(max_unavailable, stopped):
    state, job = make_serving_state(
        max_unavailable, target_ms=0, opportunistic=True, checkpointing=True
    )
    add_worker(state, 'w9')
    attempts = [get_attempt(job, index) for index in range(3)]
    for attempt in attempts:
        attempt.target_pace_percent = 0
        attempt.slowed_since_ms = NOW_MS - 5000
    _pacing._move_slowed(attempts, Context(state))
    states = [one.state for one in attempts]
    assert states.count(AttemptState.STOPPING) == stopped


# -- whole fleets ------------------------------------------------------------


@pytest.fixture
def unhealthy_workers(monkeypatch):
    """Return the workers with extreme tails; tasks take time to start."""
    workers = set()

    def get_load(worker, plan):
        return 9000.0 if worker.worker_id in workers else 12.0

    def get_progress(run):
        began_ms = run.since_ms
        return 100 if get_now_ms() - began_ms >= STARTING_MS else 40

    monkeypatch.setattr(StandinWorker, '_get_load', get_load)
    monkeypatch.setattr(standin_worker, '_get_progress', get_progress)
    return workers


async def serve(fleet, count, max_unavailable):
    """Start serving tasks; return the workers that run them."""
    step = make_step(
        count,
        long_running=True,
        target_ms=50,
        image='web',
        max_per_worker=1,
        max_unavailable=max_unavailable,
    )
    intake = next(iter(fleet.instances.values())).intake
    await intake.submit(JOB, QUEUE, make_request(step, lasts=True), LIMIT_MS)
    await fleet.wait_running(count)
    await trio.sleep(4)
    return [one for one in fleet.platform.workers.values() if one.runs]


def list_others_unavailable(history):
    """Return for each stop how many other tasks were not serving then."""
    counts = []
    runs = {}
    for event in history:
        if event.kind == 'started':
            runs[event.key] = event.at_ms + STARTING_MS
        elif event.kind == 'ended':
            runs[event.key] = float('inf')
            if event.outcome is RunOutcome.STOPPED:
                since = {
                    key: at for key, at in runs.items() if key != event.key
                }
                unavailable_count = sum(
                    at > event.at_ms for at in since.values()
                )
                counts.append(unavailable_count)
    return counts


async def show_extreme_tails(worker, unhealthy_workers):
    """Show extreme tails for a limited time."""
    unhealthy_workers.add(worker.worker_id)
    await trio.sleep(3.2)
    unhealthy_workers.remove(worker.worker_id)


@pytest.mark.parametrize('pause_s', [0.0, 0.3, 0.7, 1.2])
@pytest.mark.parametrize('max_unavailable', [1, 2])
def test_workers_unhealthy_in_turn_are_vacated_within_the_limit(
    run_virtual, unhealthy_workers, max_unavailable, pause_s
):
    async def run():
        async with open_fleet(instances=2, workers=8) as fleet:
            serving = await serve(fleet, 5, max_unavailable)
            for worker in serving[:3]:
                fleet.nursery.start_soon(
                    show_extreme_tails, worker, unhealthy_workers
                )
                await trio.sleep(pause_s)
            await trio.sleep(12)
            fleet.check()
            assert fleet.count_running() == 5
            return list_others_unavailable(fleet.platform.history)

    counts = run_virtual(run)
    assert counts
    assert max(counts) < max_unavailable


def test_workers_that_stay_unhealthy_are_vacated_eventually(
    run_virtual, unhealthy_workers
):
    async def run():
        async with open_fleet(instances=2, workers=8) as fleet:
            serving = await serve(fleet, 5, 1)
            unhealthy_workers.update(worker.worker_id for worker in serving[:3])
            await trio.sleep(6)
            fleet.check()
            vacated_ids = {
                event.worker_id
                for event in fleet.platform.history
                if event.outcome is RunOutcome.STOPPED
            }
            return vacated_ids, set(unhealthy_workers)

    vacated_ids, unhealthy_ids = run_virtual(run)
    assert vacated_ids == unhealthy_ids


def test_without_a_limit_workers_are_vacated_in_parallel(
    run_virtual, unhealthy_workers
):
    async def run():
        async with open_fleet(instances=2, workers=8) as fleet:
            serving = await serve(fleet, 5, 0)
            unhealthy_workers.update(worker.worker_id for worker in serving[:3])
            await trio.sleep(2.5)
            return list_others_unavailable(fleet.platform.history)

    assert run_virtual(run) == [0, 1, 2]


# Tasks end together with a draining worker, so they move regardless of the
# limit, and tasks on other workers are not moved in the meantime.
def test_draining_worker_is_vacated_regardless_of_the_limit(
    run_virtual, unhealthy_workers
):
    async def run():
        async with open_fleet(instances=2, workers=8) as fleet:
            serving = await serve(fleet, 5, 1)
            unhealthy_workers.add(serving[0].worker_id)
            for worker in serving[2:4]:
                fleet.platform.drain(worker.worker_id, 4000)
            await trio.sleep(3.2)
            assert not any(worker.runs for worker in serving[2:4])
            unhealthy_workers.clear()
            await trio.sleep(3)
            fleet.check()
            assert fleet.count_running() == 5
            leaving = {worker.worker_id for worker in serving[2:4]}
            history = [
                event
                for event in fleet.platform.history
                if event.key.job_id == JOB
            ]
            return leaving, history

    leaving, history = run_virtual(run)
    counts = list_others_unavailable(history)
    stops = [one for one in history if one.outcome is RunOutcome.STOPPED]
    stops = [one for one in stops if one.kind == 'ended']
    for stop, unavailable_count in zip(stops, counts, strict=True):
        assert stop.worker_id in leaving or unavailable_count == 0
