"""Urgent jobs find capacity while more long-running work waits than fits."""

import contextlib
import random

import pytest
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    QUEUE,
    make_config_body,
    make_long_running_request,
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
# Twice the run time, half a second, and one poll of the state.
IN_TIME_S = 2.2
LIMIT_S = 10
TRAFFIC_S = 25
BURSTS_PER_S = 0.6


@contextlib.asynccontextmanager
async def open_busy_fleet(instances=1, workers=WORKERS):
    """Open a fleet with a separate queue for long-running jobs."""
    async with open_fleet(instances, workers) as fleet:
        body = make_config_body(version=2)
        route = RouteBody('l', 'host', '/l/', 'catalogue', 0, 3, 2.0, 2500)
        fleet.platform.configure(
            ConfigBody(2, (*body.routes, route), body.services)
        )
        await trio.sleep(1.5)
        yield fleet


async def fill(fleet, source, share=1.3, first=0):
    """Submit long-running jobs for a share of the processors at once."""
    cores = 0
    number = first
    while cores < share * WORKERS * WORKER_CORES:
        size = source.randint(2000, 4500)
        await fleet.submit(
            f'{number:016x}',
            make_long_running_request(
                12, size, target_ms=50, image=f's{number % 8}'
            ),
            queue=LASTING,
        )
        cores += 12 * size / CORE
        number += 1


def make_burst(source):
    step = make_step(
        source.randint(3, 15), source.randint(2500, 8000), estimated_ms=RUN_MS
    )
    return make_request(step, run_ms=RUN_MS)


async def run_burst(fleet, number, request, durations_s):
    """Submit an urgent job; append its duration if it completes."""
    job_id = f'{number:016x}'
    begun_s = trio.current_time()
    await fleet.submit(job_id, request, HIGH_PRIORITY_QUEUE)
    with trio.move_on_after(LIMIT_S):
        await fleet.wait_state(job_id, JobState.COMPLETED, LIMIT_S + 1)
        durations_s.append(trio.current_time() - begun_s)


async def send_bursts(fleet, source, for_s=TRAFFIC_S, first=1000):
    """Submit urgent jobs at random; return their count and durations."""
    durations_s = []
    number = first
    end_s = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            await trio.sleep(source.expovariate(BURSTS_PER_S))
            request = make_burst(source)
            nursery.start_soon(run_burst, fleet, number, request, durations_s)
            number += 1
    return number - first, durations_s


def count_long_running_cores(fleet):
    return sum(
        attempt.step.reserved.cpu_millicores / CORE
        for worker in fleet.instances[fleet.get_owner()].state.workers.values()
        for attempt in worker.attempts.values()
        if attempt.step.long_running
    )


async def serve_urgent_jobs(source):
    """Return the share of urgent jobs that complete in time."""
    async with open_busy_fleet() as fleet:
        await fill(fleet, source)
        await trio.sleep(5)
        count, durations_s = await send_bursts(fleet, source)
        assert len(durations_s) == count
        # Long-running tasks still use most of the processors.
        cores = WORKERS * WORKER_CORES
        assert count_long_running_cores(fleet) >= 0.7 * cores
        fleet.check()
        return sum(one <= IN_TIME_S for one in durations_s) / count


# Guards against urgent jobs without capacity as long-running ones came first.
def test_urgent_jobs_are_served_where_long_running_ones_came_first(run_virtual):
    for seed in range(4):
        source = random.Random(seed)
        assert run_virtual(serve_urgent_jobs, source, seed=seed) >= 0.5


# Guards against a new owner that gives away the previous owner's headroom.
@pytest.mark.parametrize('seed', range(4))
def test_new_owner_keeps_headroom_for_urgent_jobs(run_virtual, seed):
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
            durations_s = []
            await run_burst(fleet, 2000, request, durations_s)
            assert durations_s
            assert durations_s[0] <= IN_TIME_S
            fleet.check()

    run_virtual(run, seed=seed)


# Guards against headroom that stays idle where no urgent job ever arrives.
def test_headroom_is_released_if_only_long_running_jobs_arrive(run_virtual):
    async def run():
        async with open_busy_fleet() as fleet:
            await fill(fleet, random.Random(1))
            await trio.sleep(240)
            cores = WORKERS * WORKER_CORES
            assert count_long_running_cores(fleet) >= 0.93 * cores
            fleet.check()

    run_virtual(run)


# Guards against headroom where the only queue has only long-running jobs.
def test_no_headroom_is_kept_from_the_only_queue(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=4) as fleet:
            await fleet.submit(
                f'{1:016x}', make_long_running_request(64), QUEUE
            )
            await fleet.wait_running(64, limit_s=5)
            fleet.check()

    run_virtual(run)
