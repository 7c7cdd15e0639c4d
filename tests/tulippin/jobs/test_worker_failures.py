"""Tests of the quarantine of workers on which all runs fail."""

import pytest
import trio

from scheduler_fleet import make_request, make_step, open_fleet

WORKERS = 6
JOBS = 12
# Maximum starts on a faulty worker before its quarantine: three jobs that fail
# in a row, and the runs that were started meanwhile.
MAX_STARTS = 24


def count_starts_on(fleet, worker_id):
    return sum(
        event.kind == 'started' and event.worker_id == worker_id
        for event in fleet.platform.history
    )


@pytest.mark.parametrize('faulty', [('w0',), ('w0', 'w1')])
def test_workers_that_fail_all_jobs_are_quarantined(run_virtual, faulty):
    """Jobs run on all workers at once, and fail on the faulty ones only."""

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            for number in range(JOBS):
                request = make_request(
                    make_step(6, 2000), run_ms=300, failing_workers=faulty
                )
                await fleet.submit(f'{number:016x}', request)
                await trio.sleep(0.3)
            for number in range(JOBS):
                await fleet.wait_done(f'{number:016x}')
            state = fleet.instances[fleet.get_owner()].state
            assert state.counters['quarantines'] > 0
            for worker_id in faulty:
                assert count_starts_on(fleet, worker_id) <= MAX_STARTS
            fleet.check()

    run_virtual(run)
