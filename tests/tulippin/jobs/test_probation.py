"""Probation of many tasks that are suspected after one crash."""

import collections

import pytest
import trio

from scheduler_fleet import JOB, make_request, open_fleet
from tulippin.jobs.types import Step
from tulippin.types import Resources

OTHER = '00000000000000bb'
SMALL = Resources(10, 10)


async def crash_busiest(fleet):
    busiest = max(
        fleet.platform.workers.values(), key=lambda worker: len(worker.runs)
    )
    counts = collections.Counter(key.job_id for key, _ in busiest.runs)
    busiest.crash()
    return counts


# Guards against jobs that wait for minutes beside idle workers, until hundreds
# of tasks of another job have passed their probation one by one.
@pytest.mark.parametrize('tasks', [30, 200])
def test_jobs_lost_in_one_crash_run_again_soon(run_virtual, tasks):
    async def run():
        async with open_fleet(workers=4) as fleet:
            wide = make_request(Step(tasks, SMALL), run_ms=3000)
            await fleet.submit(OTHER, make_request(Step(8, SMALL), run_ms=3000))
            await fleet.wait_running(8)
            await fleet.submit(JOB, wide)
            await fleet.wait_running(tasks + 8)
            lost = await crash_busiest(fleet)
            assert lost[JOB] > tasks / 4
            assert lost[OTHER]
            await trio.sleep(1)
            await fleet.wait_done(OTHER, limit_s=20)
            await fleet.wait_done(JOB, limit_s=10)
            fleet.check()

    run_virtual(run)
