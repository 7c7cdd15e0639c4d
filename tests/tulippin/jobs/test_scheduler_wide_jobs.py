"""Urgent jobs with many tasks find capacity beside long-running ones."""

import random

import pytest
import trio
from test_scheduler_headroom import LASTING, open_busy_fleet

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    make_long_running_request,
    make_request,
    make_step,
)
from tulippin.jobs.types import JobState

WORKERS = 40
WORKER_CORES = 16
CORE = 1000
RUN_MS = 300
# A job is worth this much, and the rest by its work relative to the mean.
BASE_WORTH = 0.3
MAX_WORTH = 4.0
LATE_SHARE = 0.15
# Twice the run time, half a second, and one poll of the state; late is up to
# three times the objective.
IN_TIME_S = 1.2
LATE_S = 3.4
TRAFFIC_S = 30
JOBS_PER_S = 2.5
# Share of the worth of urgent jobs that users require.
MIN_EARNED_SHARE = 0.47


def make_wide_step(source):
    """Draw a step of an urgent job: few are much wider than the others."""
    width = min(24, max(1, round(source.lognormvariate(1.92, 0.8))))
    size = min(8 * CORE, round(source.lognormvariate(1.57, 0.45) * CORE))
    return make_step(width, size, estimated_ms=RUN_MS)


def make_long_running_job(source, image):
    return make_long_running_request(
        24,
        round(min(5.1, source.lognormvariate(1.13, 0.25)) * CORE),
        target_ms=50,
        image=image,
        max_per_worker=source.choice((0, 1)),
    )


async def fill(fleet, source, share=1.2):
    """Submit long-running jobs for a share of the processors at once."""
    cores = 0
    number = 0
    while cores < share * WORKERS * WORKER_CORES:
        request = make_long_running_job(source, f's{number % 16}')
        await fleet.submit(f'{number:016x}', request, LASTING)
        cores += 24 * request.steps[0].size.cpu_millicores / CORE
        number += 1


async def run_job(fleet, number, step, results):
    """Submit an urgent job; append its work and how long it takes."""
    job_id = f'{number:016x}'
    begun_s = trio.current_time()
    request = make_request(step, run_ms=RUN_MS)
    await fleet.submit(job_id, request, HIGH_PRIORITY_QUEUE)
    with trio.move_on_after(LATE_S + 1):
        await fleet.wait_state(job_id, JobState.COMPLETED, LATE_S + 2)
    work = step.task_count * step.size.cpu_millicores / CORE
    results.append((work, trio.current_time() - begun_s))


def compute_earned_share(results):
    mean = sum(work for work, _ in results) / len(results)
    owed = earned = 0
    for work, duration_s in results:
        worth = min(MAX_WORTH, BASE_WORTH + (1 - BASE_WORTH) * work / mean)
        owed += worth
        if duration_s <= IN_TIME_S:
            earned += worth
        elif duration_s <= LATE_S:
            earned += LATE_SHARE * worth
    return earned / owed


async def earn(seed):
    """Return the share of the worth of urgent jobs that is earned."""
    source = random.Random(seed)
    results = []
    async with open_busy_fleet(instances=1, workers=WORKERS) as fleet:
        await fill(fleet, source)
        await trio.sleep(6)
        async with trio.open_nursery() as nursery:
            end_s = trio.current_time() + TRAFFIC_S
            number = 1000
            while trio.current_time() < end_s:
                await trio.sleep(source.expovariate(JOBS_PER_S))
                step = make_wide_step(source)
                nursery.start_soon(run_job, fleet, number, step, results)
                number += 1
        fleet.check()
    return compute_earned_share(results)


# Guards against long-running tasks that leave a quarter of the processors, but
# in pieces that no urgent task fits in.
@pytest.mark.parametrize('seed', range(4))
def test_wide_urgent_jobs_are_served_beside_long_running_ones(
    run_virtual, seed
):
    assert run_virtual(earn, seed, seed=seed) >= MIN_EARNED_SHARE
