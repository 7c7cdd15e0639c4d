"""Other ways for work that may run to wait beside idle workers.

Found by a review of the incident that test_scheduler_waiting tells: what
has no claim to a start, what is held against others than it was found for,
and what is forgotten of a wait.
"""

import attrs
import pytest
import trio
from test_scheduler_waiting import (
    BORNE_S,
    HARM_S,
    HEAVY_MS,
    TARGET_MS,
    WORKERS,
    Watch,
    fear,
    get_ids,
    make_batch,
    press,
    serve,
    submit,
)

from fleet_of_schedulers import (
    PATIENT,
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
    Queue,
    Schedule,
    StartOutcome,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.platform.standin_worker import StandinWorker
from tulippin.types import Resources

__all__ = ('press',)

# All of its jobs are late at once, so that the first to come goes first.
LATE = Queue('p', 'host', '/p/', 'catalogue', 2, 3, 0.1, 1)
ADVISED = attrs.evolve(LATE, advised=True)
HUGE = 60_000


async def wait_one(fleet, number, for_s=12):
    """Return for how long a job was without a run at most."""
    watch = Watch(fleet)
    await watch.run(get_ids([number]), for_s=for_s)
    return watch.idle_s[f'{number:016x}']


@pytest.mark.parametrize('jobs', [3, 12, 30])
def test_jobs_that_fit_nowhere_keep_no_other_from_its_run(
    run_virtual, press, jobs
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            for number in range(100, 100 + jobs):
                step = make_step(
                    1,
                    2000,
                    opportunistic=True,
                    image=f'x{number}',
                    required_label='nowhere',
                )
                await submit(fleet, number, make_request(step), PATIENT)
            await trio.sleep(1)
            await submit(fleet, 10, make_batch(1), PATIENT)
            assert await wait_one(fleet, 10) < BORNE_S

    run_virtual(run)


@pytest.mark.parametrize('first', [True, False])
def test_step_that_fits_nowhere_keeps_no_other_of_its_job(
    run_virtual, press, first
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
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
            await submit(fleet, 10, request, PATIENT)
            await fleet.wait_running(WORKERS + 1, limit_s=BORNE_S)

    run_virtual(run)


def test_step_kept_off_by_its_label_closes_no_worker_to_its_image(
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
            # Nothing else runs, and nothing is expected to be harmed.
            await fleet.wait_running(4, limit_s=1)

    run_virtual(run)


def test_large_memory_closes_no_worker_to_lighter_tasks_of_the_image(
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


def test_advice_is_asked_for_behind_refused_work_of_the_image(
    run_virtual, press
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            fleet.advisor.allowed = {f'w{one}' for one in range(WORKERS)}
            await serve(fleet)
            fear(fleet, 'heavy')
            await submit(fleet, 10, make_batch(200), LATE)
            steps = (
                make_step(1, 2000, opportunistic=True, image='light'),
                make_step(
                    1, 2000, opportunistic=True, image='heavy', after=(0,)
                ),
            )
            request = make_request(*steps, run_ms=1500, tail_ms=1)
            await submit(fleet, 11, request, ADVISED)
            assert await wait_one(fleet, 11) < BORNE_S

    run_virtual(run)


@pytest.mark.parametrize('count', [1, 2])
def test_worker_that_refuses_starts_is_not_chosen_for_ever(
    run_virtual, press, monkeypatch, count
):
    """An empty worker looks best, and refuses what is started there."""
    take = StandinWorker.take_start
    refusing = {f'w{number}' for number in range(count)}

    def take_start(worker, order):
        if worker.worker_id in refusing and '000a' in order.key.job_id:
            return OrderAnswer(StartOutcome.UNHEALTHY, worker.clock_ms)
        return take(worker, order)

    monkeypatch.setattr(StandinWorker, 'take_start', take_start)

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            await submit(fleet, 10, make_batch(1), PATIENT)
            assert await wait_one(fleet, 10) < BORNE_S + count

    run_virtual(run)


def test_each_task_that_lasts_and_fills_has_a_claim(run_virtual, press):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            step = make_step(
                3, 2000, opportunistic=True, image='heavy', long_running=True
            )
            request = make_request(step, lasts=True, tail_ms=HEAVY_MS)
            await submit(fleet, 10, request, PATIENT)
            await fleet.wait_running(WORKERS + 3, limit_s=12)

    run_virtual(run)


def test_tries_to_place_a_gang_do_not_end_the_wait_of_its_job(
    run_virtual, press
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            steps = (
                # Only one of its members finds a place on each worker.
                make_step(WORKERS + 1, 9000, gang=True),
                make_step(1, 2000, opportunistic=True, image='heavy'),
            )
            request = make_request(*steps, run_ms=1500, tail_ms=HEAVY_MS)
            await submit(fleet, 10, request, PATIENT)
            await fleet.wait_running(WORKERS + 1, limit_s=BORNE_S)

    run_virtual(run)


def test_task_larger_than_the_memory_left_by_rule_starts_on_idle_workers(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            # 30 of the 64 GB of workers with nothing else on them.
            step = Step(
                1, Resources(2000, 30_000), opportunistic=True, image='x'
            )
            await submit(fleet, 10, make_request(step), PATIENT)
            await fleet.wait_running(1, limit_s=BORNE_S)

    run_virtual(run)


def test_jobs_beyond_the_places_for_slow_runs_wait_no_longer(
    run_virtual, press
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            numbers = range(10, 10 + 4 * WORKERS)
            for number in numbers:
                await submit(fleet, number, make_batch(1), PATIENT)
            watch = Watch(fleet)
            await watch.run(get_ids(numbers), for_s=60)
            assert watch.harm_s < HARM_S
            assert max(watch.idle_s.values()) < BORNE_S

    run_virtual(run)


def test_slow_run_goes_where_it_is_borne_in_full(run_virtual, press):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            request = make_batch(1, run_ms=2000)
            await submit(fleet, 10, request, PATIENT)
            await fleet.wait_running(WORKERS + 1, limit_s=BORNE_S)
            # A worker with nothing on it joins a moment later.
            fleet.platform.add_worker('w9', labels=('a', 'r1'))
            await fleet.wait_done(f'{10:016x}', limit_s=8)

    run_virtual(run)


@pytest.mark.parametrize('after_s', [2.0, 4.0])
@pytest.mark.parametrize('jobs', [6, 16])
def test_owner_lost_in_the_middle_of_slow_runs(
    run_virtual, press, after_s, jobs
):
    async def run():
        async with open_fleet(instances=2, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            # What is learned is kept for the next owner.
            await trio.sleep(2.5)
            numbers = range(10, 10 + jobs)
            for number in numbers:
                await submit(fleet, number, make_batch(1), PATIENT)
            watch = Watch(fleet)
            fleet.nursery.start_soon(watch.run, get_ids(numbers), 60)
            await trio.sleep(after_s)
            fleet.kill_owner()
            await fleet.wait_owner()
            for number in numbers:
                await fleet.wait_done(f'{number:016x}', 60)
            assert watch.harm_s < HARM_S
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('ahead_ms', [-2000, 2000])
def test_clock_that_is_off_makes_no_job_much_older(run_virtual, ahead_ms):
    async def run():
        async with open_fleet(instances=2, workers=1) as fleet:
            owner = fleet.get_owner()
            other = fleet.get_other(owner)
            shell = fleet.instances[other].shell
            right = shell.wall
            shell.wall = lambda: right() + ahead_ms
            step = make_step(1, HUGE, opportunistic=True)
            await fleet.submit('a' * 16, make_request(step), PATIENT, other)
            await trio.sleep(1)
            job = fleet.instances[owner].state.jobs['a' * 16]
            assert -2200 <= job.arrived_ms - job.known_ms <= 0
            assert not list(
                _slow_start.list_waiting(fleet.instances[owner].state)
            )

    run_virtual(run)


def test_jobs_that_can_never_be_done_close_no_sound_worker_for_long(
    run_virtual,
):
    """Each fails wherever it runs, and each worker is held to be at fault."""

    async def run():
        async with open_fleet(instances=1, workers=3) as fleet:
            for number in range(100, 108):
                step = make_step(3, opportunistic=True, image='x')
                request = make_request(step, run_ms=200, fails_always=True)
                await submit(fleet, number, request, PATIENT)
            await trio.sleep(2)
            await submit(fleet, 10, make_batch(2, 'light', 800, 1), PATIENT)
            assert await wait_one(fleet, 10, for_s=60) < BORNE_S

    run_virtual(run)


def test_slow_run_does_not_rest_for_ever_below_the_target(
    run_virtual, monkeypatch
):
    """The tail is high by its own load, and no target is missed."""
    monkeypatch.setattr(
        StandinWorker,
        '_get_load',
        lambda worker, plan: 0.86 * TARGET_MS if plan.lasts else 2000.0,
    )

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await serve(fleet)
            fear(fleet, 'heavy')
            await submit(fleet, 10, make_batch(1), PATIENT)
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
    attempt.wanted_percent = attempt.pace_percent = percent
    add_attempt(attempt, Task(key), worker)
    return attempt


@pytest.mark.parametrize('count', [1, 2, 3])
@pytest.mark.parametrize('is_serving', [True, False])
def test_slow_runs_go_on_in_full_where_they_disturb_nothing(count, is_serving):
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


def test_time_of_a_scheduled_job_can_be_in_time_when_it_is_due():
    state = make_state()
    state.run_times_ms['q'] = 1000.0
    request = JobRequest('t', (Step(1),), Schedule(NOW_MS, 5000, 4))
    job = Job(
        'a',
        PLAIN,
        request,
        1,
        arrived_ms=NOW_MS - 15_000,
        known_ms=NOW_MS - 15_000,
    )
    state.jobs['a'] = job
    assert _ranking._estimate_lateness(job, ('a', 0, 0), state)[0] == 0
