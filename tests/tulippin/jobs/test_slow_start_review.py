"""Waits and moves of slow starts beside work that is special."""

import attrs
import pytest
import trio

import waiting_jobs
from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    WALL_OFFSET_MS,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.types import Schedule, Step
from tulippin.platform.standin import get_now_ms
from tulippin.types import Resources

WORKERS = 6
# The wait of a job, and a second for orders and reports.
MAX_FIRST_WAIT_S = 3.5
# The wait after which a job precedes others, and a second as above.
MAX_OVERDUE_WAIT_S = 7.0
# How long users accept a target missed because of opportunistic tasks.
MAX_HARM_S = 4.0
# Time in which slow starts fill the memory of all workers.
SLOW_STARTS_S = 6


async def prepare(fleet):
    await waiting_jobs.serve(fleet, WORKERS)
    waiting_jobs.expect_harm(fleet, 'heavy')


def test_occurrences_in_short_intervals_do_not_put_off_a_slow_start(
    run_virtual, monkeypatch
):
    waiting_jobs.follow_load(monkeypatch, {}, 40.0)

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await prepare(fleet)
            first_ms = get_now_ms() + WALL_OFFSET_MS
            step = make_step(2, opportunistic=True, image='heavy')
            request = make_request(step, run_ms=1500, tail_ms=25.0)
            schedule = Schedule(first_ms, 1000, 20)
            request = attrs.evolve(request, schedule=schedule)
            await waiting_jobs.submit(fleet, 10, request)
            before = fleet.count_running()
            with trio.fail_after(MAX_FIRST_WAIT_S):
                while fleet.count_running() == before:
                    await trio.sleep(waiting_jobs.POLL_INTERVAL_S)

    run_virtual(run)


@pytest.mark.parametrize('queue', [HIGH_PRIORITY_QUEUE, LOW_PRIORITY_QUEUE])
@pytest.mark.parametrize(
    'options', [{}, {'long_running': True}, {'gang': True}]
)
@pytest.mark.parametrize('is_owner_lost', [False, True])
def test_slow_starts_give_their_memory_to_tasks_that_reserve_processors(
    run_virtual, monkeypatch, queue, options, is_owner_lost
):
    waiting_jobs.follow_load(monkeypatch, {}, 40.0)

    async def run():
        async with open_fleet(instances=2, workers=WORKERS) as fleet:
            await prepare(fleet)
            for number in range(10, 50):
                request = waiting_jobs.make_batch(
                    1, memory_mb=9000, run_ms=60_000
                )
                await waiting_jobs.submit(fleet, number, request)
            await trio.sleep(SLOW_STARTS_S)
            if is_owner_lost:
                fleet.kill_owner()
                await fleet.wait_owner()
                await trio.sleep(SLOW_STARTS_S)
            step = Step(
                WORKERS,
                Resources(4000, 40_000),
                max_per_worker=1,
                **options,
            )
            lasts = step.long_running
            request = make_request(step, lasts=lasts, run_ms=60_000)
            await waiting_jobs.submit(fleet, 9, request, queue)
            with trio.fail_after(MAX_FIRST_WAIT_S):
                while fleet.count_starts(f'{9:016x}') < WORKERS:
                    await trio.sleep(waiting_jobs.POLL_INTERVAL_S)
            fleet.check()

    run_virtual(run)


def test_job_that_no_worker_tolerates_makes_progress_while_others_arrive(
    run_virtual, monkeypatch
):
    get_own_ms = waiting_jobs.follow_load(monkeypatch, {}, 44.0)

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await prepare(fleet)
            fleet.nursery.start_soon(submit_harmless_jobs, fleet)
            await waiting_jobs.submit(fleet, 10, waiting_jobs.make_batch(4))
            watch = waiting_jobs.Watch(fleet, get_own_ms)
            await watch.run(waiting_jobs.get_ids([10]), for_s=40)
            assert max(watch.stalled_s.values()) < MAX_OVERDUE_WAIT_S
            assert watch.harm_s < MAX_HARM_S
            fleet.check()

    run_virtual(run)


async def submit_harmless_jobs(fleet):
    for number in range(100, 200):
        request = waiting_jobs.make_batch(
            1, image='light', run_ms=300, added_ms=0.0
        )
        await waiting_jobs.submit(fleet, number, request)
        await trio.sleep(0.5)


def test_slow_starts_do_not_hold_back_runs_at_full_pace(
    run_virtual, monkeypatch
):
    waiting_jobs.follow_load(monkeypatch, {}, 40.0)

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await prepare(fleet)
            waiting_jobs.expect_harm(fleet, 'light', excess=0.0)
            for number in range(10, 50):
                request = waiting_jobs.make_batch(
                    1, memory_mb=9000, run_ms=60_000
                )
                await waiting_jobs.submit(fleet, number, request)
            await trio.sleep(SLOW_STARTS_S)
            request = waiting_jobs.make_batch(
                WORKERS, memory_mb=2000, image='light', added_ms=0.0
            )
            await waiting_jobs.submit(fleet, 9, request)
            with trio.fail_after(1):
                while fleet.count_starts(f'{9:016x}') < WORKERS:
                    await trio.sleep(waiting_jobs.POLL_INTERVAL_S)
            fleet.check()

    run_virtual(run)
