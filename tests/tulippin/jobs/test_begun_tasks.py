"""Which long-running tasks have run is known to the next owner."""

import attrs
import pytest
import trio

from fleet_of_schedulers import (
    QUEUE,
    make_lasting,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _ready, _row_checks
from tulippin.jobs.records import ProgressRecord
from tulippin.jobs.types import JobState

JOB = '0000000000000001'
ROOM = 32
TASKS = 40


def list_back(fleet):
    """Return the tasks that wait, and whether each counts as missed."""
    state = fleet.instances[fleet.get_owner()].state
    job = state.jobs[JOB]
    return [
        _ready.is_back(job, task)
        for tasks in state.ready.values()
        for task in tasks.values()
    ]


# Guards against a taking that makes tasks that never ran count as missed.
@pytest.mark.parametrize('is_planned', [True, False])
def test_tasks_that_never_ran_do_not_count_as_missed_after_a_taking(
    run_virtual, is_planned
):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await fleet.submit(JOB, make_lasting(TASKS), QUEUE)
            await fleet.wait_running(ROOM)
            await trio.sleep(1)
            assert list_back(fleet) == [False] * (TASKS - ROOM)
            if is_planned:
                await fleet.stop(fleet.get_owner())
            else:
                fleet.kill_owner()
            await fleet.wait_owner()
            await trio.sleep(8)
            assert fleet.count_running() == ROOM
            assert list_back(fleet) == [False] * (TASKS - ROOM)
            fleet.check()

    run_virtual(run)


# Guards against tasks that lost their run and are forgotten by the next owner.
def test_task_that_waits_for_a_second_run_counts_as_missed_after_a_taking(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await fleet.submit(JOB, make_lasting(ROOM), QUEUE)
            await fleet.wait_running(ROOM)
            await trio.sleep(1)
            fleet.platform.workers['w1'].fail_all()
            fleet.platform.workers['w1'].is_up = False
            await trio.sleep(2)
            fleet.kill_owner()
            await fleet.wait_owner()
            await trio.sleep(8)
            found = list_back(fleet)
            assert found
            assert all(found)

    run_virtual(run)


@pytest.mark.parametrize('bits', ['', 'x', '100000000', '-1'])
def test_bits_that_name_no_task_are_refused(bits):
    request = make_request(make_step(4, long_running=True))
    record = ProgressRecord(JobState.RUNNING, begun={'0.0': 'f'})
    assert not _row_checks.find_progress_fault(record, request)
    odd = attrs.evolve(record, begun={'0.0': bits})
    assert _row_checks.find_progress_fault(odd, request)
    odd = attrs.evolve(record, begun={'0.1': '1'})
    assert _row_checks.find_progress_fault(odd, request)
