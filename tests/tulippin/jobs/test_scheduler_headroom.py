"""Urgent jobs find room beside more long-running work than fits."""

import contextlib
import random

import pytest
import trio

from fleet_of_schedulers import (
    QUEUE,
    URGENT,
    make_config_body,
    make_lasting,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.types import JobState, Queue
from tulippin.platform.wire import ConfigBody, RouteBody

LASTING = Queue('l', 'host', '/l/', 'catalogue', 0, 3, 2.0, 2500)
WORKERS = 20
WORKER_CORES = 16
CORE = 1000
RUN_MS = 800
# Twice its work and half a second, and a look at its state.
IN_TIME_S = 2.2
LIMIT_S = 10
TRAFFIC_S = 25
BURSTS_PER_S = 0.6


@contextlib.asynccontextmanager
async def open_busy_fleet(instances=1, workers=WORKERS):
    """Have a fleet whose long-running jobs come by a queue of their own."""
    async with open_fleet(instances, workers) as fleet:
        body = make_config_body(version=2)
        route = RouteBody('l', 'host', '/l/', 'catalogue', 0, 3, 2.0, 2500)
        fleet.platform.configure(
            ConfigBody(2, (*body.routes, route), body.services)
        )
        await trio.sleep(1.5)
        yield fleet


async def fill(fleet, source, share=1.3, first=0):
    """Hand in long-running jobs for so much of the processors, at once."""
    cores = 0
    number = first
    while cores < share * WORKERS * WORKER_CORES:
        size = source.randint(2000, 4500)
        await fleet.submit(
            f'{number:016x}',
            make_lasting(12, size, target_ms=50, image=f's{number % 8}'),
            queue=LASTING,
        )
        cores += 12 * size / CORE
        number += 1


def make_burst(source):
    step = make_step(
        source.randint(3, 15), source.randint(2500, 8000), estimated_ms=RUN_MS
    )
    return make_request(step, run_ms=RUN_MS)


async def run_burst(fleet, number, request, taken_s):
    """Hand an urgent job in; note how long it takes, if it ends at all."""
    job_id = f'{number:016x}'
    begun_s = trio.current_time()
    await fleet.submit(job_id, request, URGENT)
    with trio.move_on_after(LIMIT_S):
        await fleet.wait_state(job_id, JobState.COMPLETED, LIMIT_S + 1)
        taken_s.append(trio.current_time() - begun_s)


async def send_bursts(fleet, source, for_s=TRAFFIC_S, first=1000):
    """Send urgent jobs at random; return how many, and their times."""
    taken_s = []
    number = first
    end_s = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            await trio.sleep(source.expovariate(BURSTS_PER_S))
            request = make_burst(source)
            nursery.start_soon(run_burst, fleet, number, request, taken_s)
            number += 1
    return number - first, taken_s


def count_lasting_cores(fleet):
    return sum(
        attempt.step.reserved.cpu_millicores / CORE
        for worker in fleet.instances[fleet.get_owner()].state.workers.values()
        for attempt in worker.attempts.values()
        if attempt.step.long_running
    )


async def serve_beside_lasting(source):
    """Return the share of urgent jobs in time beside long-running ones."""
    async with open_busy_fleet() as fleet:
        await fill(fleet, source)
        await trio.sleep(5)
        count, taken_s = await send_bursts(fleet, source)
        assert len(taken_s) == count
        # Most of the processors serve long-running tasks all the same.
        cores = WORKERS * WORKER_CORES
        assert count_lasting_cores(fleet) >= 0.7 * cores
        fleet.check()
        return sum(one <= IN_TIME_S for one in taken_s) / count


# Guards against urgent jobs that find no room as long-running ones came first.
def test_urgent_jobs_are_served_where_long_running_ones_came_first(run_virtual):
    for seed in range(4):
        source = random.Random(seed)
        assert run_virtual(serve_beside_lasting, source, seed=seed) >= 0.5


# Guards against a new owner that gives away the room its predecessor kept.
@pytest.mark.parametrize('seed', range(4))
def test_new_owner_leaves_the_room_that_urgent_jobs_ask_for(run_virtual, seed):
    source = random.Random(seed)

    async def run():
        async with open_busy_fleet(instances=2) as fleet:
            await fill(fleet, source, share=0.5)
            await send_bursts(fleet, source, for_s=90)
            fleet.kill_owner()
            await fleet.wait_owner()
            await fill(fleet, source, first=500)
            await trio.sleep(5)
            step = make_step(6, 6000, estimated_ms=RUN_MS)
            request = make_request(step, run_ms=RUN_MS)
            taken_s = []
            await run_burst(fleet, 2000, request, taken_s)
            assert taken_s
            assert taken_s[0] <= IN_TIME_S
            fleet.check()

    run_virtual(run, seed=seed)


# Guards against room that stays idle where no urgent job ever comes.
def test_room_is_given_to_long_running_jobs_once_none_else_come(run_virtual):
    async def run():
        async with open_busy_fleet() as fleet:
            await fill(fleet, random.Random(1))
            await trio.sleep(240)
            cores = WORKERS * WORKER_CORES
            assert count_lasting_cores(fleet) >= 0.93 * cores
            fleet.check()

    run_virtual(run)


# Guards against room kept where the only queue brings long-running jobs alone.
def test_no_room_is_kept_from_the_only_queue_there_is(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=4) as fleet:
            await fleet.submit(f'{1:016x}', make_lasting(64), QUEUE)
            await fleet.wait_running(64, limit_s=5)
            fleet.check()

    run_virtual(run)
