"""Jobs without a run get a share of idle processors."""

import logbook
import pytest
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.pair_model import ImageModel

SERVING = '0000000000000001'
BATCH = '0000000000000002'
WORKERS = 4
# How long users accept a job without a run while most processors are idle.
MAX_IDLE_S = 3.5
# Time of a run, and the wait after which a job is due for the next place, with
# one run and half a second for polling.
RUN_MS = 1000
MAX_TURN_S = 6 + RUN_MS / 1000 + 0.5


def expect_harm(fleet):
    """Make the owner's model certain that one image harms another."""
    state = fleet.instances[fleet.get_owner()].state
    model = state.model.images.setdefault('web', ImageModel())
    model.means['batch'] = 5.0
    model.covariances['batch', 'batch'] = 0.0001
    model.sample_counts['batch'] = 50


# Guards against jobs that have nothing running for 20 s while over half of the
# processors are idle. All workers serve tasks with a target, and most are
# expected to tolerate no more of an image; the remaining allowance goes to jobs
# that can still be in time, so a late job gets no share of the starts: 18 of 24
# workers rejected its tasks, and 514 of 973 starts meanwhile were of jobs
# accepted later.
@pytest.mark.parametrize('serving_cpu', [2000, 4000])
def test_job_without_a_run_starts_on_idle_processors(run_virtual, serving_cpu):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            serving = make_step(
                WORKERS,
                serving_cpu,
                long_running=True,
                target_ms=50,
                image='web',
                max_per_worker=1,
            )
            await fleet.submit(SERVING, make_request(serving, lasts=True))
            await fleet.wait_running(WORKERS)
            await trio.sleep(1)
            expect_harm(fleet)
            batch = make_step(3, 4000, opportunistic=True, image='batch')
            await fleet.submit(BATCH, make_request(batch), LOW_PRIORITY_QUEUE)
            await fleet.wait_running(WORKERS + 1, limit_s=MAX_IDLE_S)
            await fleet.wait_done(BATCH, limit_s=20)
            fleet.check()

    run_virtual(run)


# Guards against jobs without any run for as long as more urgent ones arrive.
def test_less_urgent_job_gets_its_turn_under_overload(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            fleet.nursery.start_soon(submit_more_than_fits, fleet)
            await trio.sleep(2)
            step = make_step(2, 4000, opportunistic=True)
            await fleet.submit(BATCH, make_request(step), LOW_PRIORITY_QUEUE)
            with trio.fail_after(MAX_TURN_S):
                while not fleet.count_starts(BATCH):
                    await trio.sleep(0.05)
            fleet.check()

    run_virtual(run)


async def submit_more_than_fits(fleet):
    """Submit twice the work that two workers do."""
    step = make_step(8, 4000, opportunistic=True)
    for number in range(100, 200):
        request = make_request(step, run_ms=RUN_MS)
        await fleet.submit(f'{number:016x}', request, HIGH_PRIORITY_QUEUE)
        await trio.sleep(0.5)


def test_log_has_the_expected_harm_of_waiting_work(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            serving = make_step(
                WORKERS,
                2000,
                long_running=True,
                target_ms=50,
                image='web',
                max_per_worker=1,
            )
            await fleet.submit(f'{1:016x}', make_request(serving, lasts=True))
            await fleet.wait_running(WORKERS)
            await trio.sleep(1)
            expect_harm(fleet)
            batch = make_step(3, 4000, opportunistic=True, image='batch')
            await fleet.submit(
                f'{2:016x}', make_request(batch), LOW_PRIORITY_QUEUE
            )
            await trio.sleep(2.2)

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_virtual(run)
    line = next(
        record.kwargs
        for record in handler.records
        if record.message == 'work waits' and record.kwargs['jobs_without_run']
    )
    assert line['longest_without_run'] == f'{2:016x}'
    assert line['longest_without_run_ms'] >= 1000
    nearest = line['nearest']['batch']
    assert nearest['image'] == 'web'
    assert nearest['excess'] > nearest['slack']
