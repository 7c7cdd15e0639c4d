"""Workers that fail all they run are left alone; others are not."""

import pytest
import trio

from fleet_of_schedulers import make_request, make_step, open_fleet

WORKERS = 6
JOBS = 12
# Starts on a worker at fault before it is left alone: three jobs that fail
# in a row, and what was on its way then.
MOST_STARTS = 24


def count_starts_on(fleet, worker_id):
    return sum(
        event.kind == 'started' and event.worker_id == worker_id
        for event in fleet.platform.history
    )


@pytest.mark.parametrize('faulty', [('w0',), ('w0', 'w1')])
def test_workers_that_fail_wide_jobs_are_left_alone(run_virtual, faulty):
    """Each job fails on all of them at once, and is done on the others."""

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
                assert count_starts_on(fleet, worker_id) <= MOST_STARTS
            fleet.check()

    run_virtual(run)
