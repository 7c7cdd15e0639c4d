"""Waits and moves of slow starts beside work that is special."""

import attrs
import trio

import waiting_jobs
from scheduler_fleet import WALL_OFFSET_MS, make_request, make_step, open_fleet
from tulippin.jobs.types import Schedule
from tulippin.platform.standin import get_now_ms

WORKERS = 6
# The wait of a job, and a second for orders and reports.
MAX_FIRST_WAIT_S = 3.5


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
