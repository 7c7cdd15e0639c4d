"""Entries missing from the list of workers after an outage of the store."""

import trio

from scheduler_fleet import QUEUE, make_request, make_step, open_fleet
from tulippin.platform.standin import StandinPlatform

LIMIT_MS = 3000
JOB = f'{1:016x}'
OTHER = f'{2:016x}'
# Time after which live workers have written their entries again.
ENTRY_RETURN_S = 1.8


async def submit(fleet, job_id, request):
    intake = next(iter(fleet.instances.values())).intake
    await intake.submit(job_id, QUEUE, request, LIMIT_MS)


def count_starts(fleet, job_id):
    return sum(
        event.kind == 'started' and event.key.job_id == job_id
        for event in fleet.platform.history
    )


def test_entry_that_returns_ends_no_run(run_virtual):
    async def run():
        async with open_fleet(workers=1) as fleet:
            request = make_request(make_step(3), run_ms=6000)
            await submit(fleet, JOB, request)
            await fleet.wait_running(3)
            worker = fleet.platform.workers['w0']
            fleet.platform.remove('w0')
            await trio.sleep(ENTRY_RETURN_S)
            fleet.platform.publish_entry(worker)
            await submit(fleet, OTHER, make_request())
            await fleet.wait_done(OTHER)
            await fleet.wait_done(JOB)
            assert count_starts(fleet, JOB) == 3
            fleet.check()

    run_virtual(run)


def test_worker_without_entry_is_replaced(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            step = make_step(2, 10_000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            gone = fleet.platform.workers['w0']
            gone.crash()
            fleet.platform.remove('w0')
            fleet.platform.add_worker('w2')
            with trio.fail_after(9):
                while fleet.count_running() < 2:
                    await trio.sleep(0.05)
            assert count_starts(fleet, JOB) == 3
            fleet.check()

    run_virtual(run)


def test_no_run_is_started_on_unlisted_worker(run_virtual, monkeypatch):
    # The worker is alive and would accept tasks, but writes no entry.
    monkeypatch.setattr(
        StandinPlatform, '_publish_entries', lambda platform: None
    )

    async def run():
        async with open_fleet(workers=1) as fleet:
            fleet.platform.remove('w0')
            await trio.sleep(1)
            await submit(fleet, JOB, make_request())
            await trio.sleep(2)
            assert count_starts(fleet, JOB) == 0
            fleet.platform.publish_entry(fleet.platform.workers['w0'])
            await fleet.wait_done(JOB)

    run_virtual(run)
