"""Further cases of runnable jobs that wait while workers are idle.

These extend test_scheduler_waiting: tasks without a guaranteed start, findings
applied to tasks that they don't hold for, and waiting times that are lost.
"""

import attrs
import pytest
import trio
from test_scheduler_waiting import (
    HEAVY_MS,
    MAX_HARM_S,
    MAX_IDLE_S,
    TARGET_MS,
    WORKERS,
    Watch,
    expect_harm,
    get_ids,
    make_batch,
    serve,
    submit,
    tails_follow_load,
)

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _ranking, _slow_start
from tulippin.jobs._attempts import add_attempt
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
    Schedule,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.platform.standin_worker import StandinWorker
from tulippin.types import Resources

__all__ = ('tails_follow_load',)

# All of its jobs are late at once, so they are placed in order of arrival.
LATE = Queue('p', 'host', '/p/', 'catalogue', 2, 3, 0.1, 1)
ADVISED = attrs.evolve(LATE, advised=True)
HUGE = 60_000


async def wait_one(fleet, number, for_s=12):
    """Return the longest time that a job was without a run."""
    watch = Watch(fleet)
    await watch.run(get_ids([number]), for_s=for_s)
    return watch.idle_s[f'{number:016x}']


@pytest.mark.parametrize('jobs', [3, 12, 30])
def test_jobs_that_fit_nowhere_do_not_block_others(
    run_virtual, tails_follow_load, jobs
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            for number in range(100, 100 + jobs):
                step = make_step(
                    1,
                    2000,
                    opportunistic=True,
                    image=f'x{number}',
                    required_label='nowhere',
                )
                await submit(
                    fleet, number, make_request(step), LOW_PRIORITY_QUEUE
                )
            await trio.sleep(1)
            await submit(fleet, 10, make_batch(1), LOW_PRIORITY_QUEUE)
            assert await wait_one(fleet, 10) < MAX_IDLE_S

    run_virtual(run)


@pytest.mark.parametrize('first', [True, False])
def test_step_that_fits_nowhere_does_not_block_others_of_its_job(
    run_virtual, tails_follow_load, first
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            steps = [
                make_step(
                    1,
                    2000,
                    opportunistic=True,
                    image='heavy',
                    required_label='nowhere',
                ),
                make_step(1, 2000, opportunistic=True, image='heavy'),
            ]
            if not first:
                steps.reverse()
            request = make_request(*steps, run_ms=1500, tail_ms=HEAVY_MS)
            await submit(fleet, 10, request, LOW_PRIORITY_QUEUE)
            await fleet.wait_running(WORKERS + 1, limit_s=MAX_IDLE_S)

    run_virtual(run)


def test_step_limited_by_its_label_does_not_block_its_image(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            step = make_step(
                1,
                1000,
                opportunistic=True,
                image='x',
                required_label='nowhere',
            )
            await submit(fleet, 10, make_request(step), LATE)
            await trio.sleep(1)
            steps = (
                make_step(1, 2000, opportunistic=True, image='y'),
                make_step(4, 2000, opportunistic=True, image='x', after=(0,)),
            )
            request = make_request(*steps, run_ms=1500)
            await submit(fleet, 11, request, LATE)
            await fleet.wait_running(1, limit_s=1)
            await trio.sleep(1.5)
            # Nothing else runs, and no harm is expected.
            await fleet.wait_running(4, limit_s=1)

    run_virtual(run)


def test_rejected_memory_does_not_block_lighter_tasks_of_the_image(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            heavy = Step(
                1, Resources(1000, HUGE), opportunistic=True, image='x'
            )
            await submit(fleet, 10, make_request(heavy), LATE)
            await trio.sleep(1)
            steps = (
                make_step(1, 2000, opportunistic=True, image='y'),
                make_step(4, 2000, opportunistic=True, image='x', after=(0,)),
            )
            request = make_request(*steps, run_ms=1500)
            await submit(fleet, 11, request, LATE)
            await fleet.wait_running(1, limit_s=1)
            await trio.sleep(1.5)
            await fleet.wait_running(4, limit_s=1)

    run_virtual(run)


def test_advice_is_requested_despite_rejected_tasks_of_the_image(
    run_virtual, tails_follow_load
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            fleet.advisor.allowed = {f'w{one}' for one in range(WORKERS)}
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            await submit(fleet, 10, make_batch(200), LATE)
            steps = (
                make_step(1, 2000, opportunistic=True, image='light'),
                make_step(
                    1, 2000, opportunistic=True, image='heavy', after=(0,)
                ),
            )
            request = make_request(*steps, run_ms=1500, tail_ms=1)
            await submit(fleet, 11, request, ADVISED)
            assert await wait_one(fleet, 11) < MAX_IDLE_S

    run_virtual(run)


@pytest.mark.parametrize('count', [1, 2])
def test_worker_that_rejects_starts_is_not_chosen_forever(
    run_virtual, tails_follow_load, monkeypatch, count
):
    """An empty worker scores best, but rejects every start."""
    take = StandinWorker.handle_start_order
    refusing = {f'w{number}' for number in range(count)}

    def handle_start_order(worker, order):
        if worker.worker_id in refusing and '000a' in order.key.job_id:
            return OrderAnswer(OrderOutcome.UNHEALTHY, worker.clock_ms)
        return take(worker, order)

    monkeypatch.setattr(StandinWorker, 'handle_start_order', handle_start_order)

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            await submit(fleet, 10, make_batch(1), LOW_PRIORITY_QUEUE)
            assert await wait_one(fleet, 10) < MAX_IDLE_S + count

    run_virtual(run)


def test_each_opportunistic_long_running_task_is_started(
    run_virtual, tails_follow_load
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            step = make_step(
                3, 2000, opportunistic=True, image='heavy', long_running=True
            )
            request = make_request(step, lasts=True, tail_ms=HEAVY_MS)
            await submit(fleet, 10, request, LOW_PRIORITY_QUEUE)
            await fleet.wait_running(WORKERS + 3, limit_s=12)

    run_virtual(run)


def test_attempts_to_place_a_gang_do_not_reset_the_wait_of_its_job(
    run_virtual, tails_follow_load
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            steps = (
                # Only one of its members fits on each worker.
                make_step(WORKERS + 1, 9000, gang=True),
                make_step(1, 2000, opportunistic=True, image='heavy'),
            )
            request = make_request(*steps, run_ms=1500, tail_ms=HEAVY_MS)
            await submit(fleet, 10, request, LOW_PRIORITY_QUEUE)
            await fleet.wait_running(WORKERS + 1, limit_s=MAX_IDLE_S)

    run_virtual(run)


def test_task_above_the_memory_limit_starts_on_empty_workers(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            # 30 of the 64 GB of an empty worker.
            step = Step(
                1, Resources(2000, 30_000), opportunistic=True, image='x'
            )
            await submit(fleet, 10, make_request(step), LOW_PRIORITY_QUEUE)
            await fleet.wait_running(1, limit_s=MAX_IDLE_S)

    run_virtual(run)


def test_jobs_beyond_the_limit_of_slow_starts_wait_no_longer(
    run_virtual, tails_follow_load
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            numbers = range(10, 10 + 4 * WORKERS)
            for number in numbers:
                await submit(fleet, number, make_batch(1), LOW_PRIORITY_QUEUE)
            watch = Watch(fleet)
            await watch.run(get_ids(numbers), for_s=60)
            assert watch.harm_s < MAX_HARM_S
            assert max(watch.idle_s.values()) < MAX_IDLE_S

    run_virtual(run)


def test_slow_start_moves_to_a_worker_that_allows_full_pace(
    run_virtual, tails_follow_load
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            request = make_batch(1, run_ms=2000)
            await submit(fleet, 10, request, LOW_PRIORITY_QUEUE)
            await fleet.wait_running(WORKERS + 1, limit_s=MAX_IDLE_S)
            # An empty worker joins a moment later.
            fleet.platform.add_worker('w9', labels=('a', 'r1'))
            await fleet.wait_done(f'{10:016x}', limit_s=8)

    run_virtual(run)


@pytest.mark.parametrize('after_s', [2.0, 4.0])
@pytest.mark.parametrize('jobs', [6, 16])
def test_owner_lost_during_slow_starts(
    run_virtual, tails_follow_load, after_s, jobs
):
    async def run():
        async with open_fleet(instances=2, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            # Wait until the model is stored for the next owner.
            await trio.sleep(2.5)
            numbers = range(10, 10 + jobs)
            for number in numbers:
                await submit(fleet, number, make_batch(1), LOW_PRIORITY_QUEUE)
            watch = Watch(fleet)
            fleet.nursery.start_soon(watch.run, get_ids(numbers), 60)
            await trio.sleep(after_s)
            fleet.kill_owner()
            await fleet.wait_owner()
            for number in numbers:
                await fleet.wait_done(f'{number:016x}', 60)
            assert watch.harm_s < MAX_HARM_S
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('ahead_ms', [-2000, 2000])
def test_clock_offset_makes_no_job_much_older(run_virtual, ahead_ms):
    async def run():
        async with open_fleet(instances=2, workers=1) as fleet:
            owner = fleet.get_owner()
            other = fleet.get_other_instance(owner)
            shell = fleet.instances[other].shell
            right = shell.wall
            shell.wall = lambda: right() + ahead_ms
            step = make_step(1, HUGE, opportunistic=True)
            await fleet.submit(
                'a' * 16, make_request(step), LOW_PRIORITY_QUEUE, other
            )
            await trio.sleep(1)
            job = fleet.instances[owner].state.jobs['a' * 16]
            assert -2200 <= job.arrived_ms - job.first_seen_ms <= 0
            assert not list(
                _slow_start.list_waiting(fleet.instances[owner].state)
            )

    run_virtual(run)


def test_jobs_that_always_fail_do_not_block_healthy_workers(
    run_virtual,
):
    """Each job fails wherever it runs, and made its worker count as faulty."""

    async def run():
        async with open_fleet(instances=1, workers=3) as fleet:
            for number in range(100, 108):
                step = make_step(3, opportunistic=True, image='x')
                request = make_request(step, run_ms=200, fails_always=True)
                await submit(fleet, number, request, LOW_PRIORITY_QUEUE)
            await trio.sleep(2)
            await submit(
                fleet, 10, make_batch(2, 'light', 800, 1), LOW_PRIORITY_QUEUE
            )
            assert await wait_one(fleet, 10, for_s=60) < MAX_IDLE_S

    run_virtual(run)


def test_slow_start_is_not_paused_forever_below_the_target(
    run_virtual, monkeypatch
):
    """The tail is high because of its own load, and no target is missed."""
    monkeypatch.setattr(
        StandinWorker,
        '_get_load',
        lambda worker, plan: 0.86 * TARGET_MS if plan.lasts else 2000.0,
    )

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            expect_harm(fleet, 'heavy')
            await submit(fleet, 10, make_batch(1), LOW_PRIORITY_QUEUE)
            await fleet.wait_done(f'{10:016x}', limit_s=60)

    run_virtual(run)


# -- single decisions ----------------------------------------------------------


NOW_MS = 100_000
PLAIN = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 500)


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


def add_slow(worker, job_id, percent=10):
    step = Step(1, Resources(1000, 1000), image='batch', opportunistic=True)
    key = TaskKey(job_id, 0, 0, 0)
    attempt = Attempt(
        key, 1, worker.worker_id, step, 2, AttemptState.RUNNING, NOW_MS - 9000
    )
    attempt.is_slow_start = True
    attempt.target_pace_percent = attempt.pace_percent = percent
    add_attempt(attempt, Task(key), worker)
    return attempt


@pytest.mark.parametrize('count', [1, 2, 3])
@pytest.mark.parametrize('is_serving', [True, False])
def test_slow_starts_reach_full_pace_where_they_disturb_nothing(
    count, is_serving
):
    state = make_state()
    worker = state.workers['w0']
    if is_serving:
        serving = Step(
            1,
            Resources(2000, 1000),
            image='web',
            target_ms=50,
            long_running=True,
        )
        key = TaskKey('s', 0, 0, 0)
        attempt = Attempt(
            key, 1, 'w0', serving, 2, AttemptState.RUNNING, NOW_MS - 9000
        )
        add_attempt(attempt, Task(key), worker)
        model = state.model.images.setdefault('web', ImageModel())
        model.means['batch'] = 0.0
        model.covariances['batch', 'batch'] = 0.0001
        model.sample_counts['batch'] = 50
    runs = [add_slow(worker, f'b{number}') for number in range(count)]
    paces = [_slow_start.adjust_pace(one, worker, 0.2, state) for one in runs]
    assert paces == [100] * count


def test_occurrence_of_a_scheduled_job_is_in_time_when_due():
    state = make_state()
    state.run_times_ms['q'] = 1000.0
    request = JobRequest('t', (Step(1),), Schedule(NOW_MS, 5000, 4))
    job = Job(
        'a',
        PLAIN,
        request,
        1,
        arrived_ms=NOW_MS - 15_000,
        first_seen_ms=NOW_MS - 15_000,
    )
    state.jobs['a'] = job
    assert _ranking._estimate_lateness(job, ('a', 0, 0), state)[0] == 0
