"""Tests that the next owner knows which long-running tasks have run."""

import attrs
import pytest
import trio

from scheduler_fleet import (
    QUEUE,
    make_long_running_request,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _ready_queues, _record_validation
from tulippin.jobs.records import ProgressRecord
from tulippin.jobs.types import JobState

JOB = '0000000000000001'
TASK_CAPACITY = 32
TASK_COUNT = 40


def list_interrupted(fleet):
    """Return for each waiting task whether it has run before."""
    state = fleet.instances[fleet.get_owner()].state
    job = state.jobs[JOB]
    return [
        _ready_queues.ran_before(job, task)
        for tasks in state.ready.values()
        for task in tasks.values()
    ]


# Guards against a takeover after which tasks that never ran count as
# interrupted.
@pytest.mark.parametrize('is_planned', [True, False])
def test_never_run_tasks_are_not_interrupted_after_takeover(
    run_virtual, is_planned
):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await fleet.submit(
                JOB, make_long_running_request(TASK_COUNT), QUEUE
            )
            await fleet.wait_running(TASK_CAPACITY)
            await trio.sleep(1)
            assert list_interrupted(fleet) == [False] * (
                TASK_COUNT - TASK_CAPACITY
            )
            if is_planned:
                await fleet.stop(fleet.get_owner())
            else:
                fleet.kill_owner()
            await fleet.wait_owner()
            await trio.sleep(8)
            assert fleet.count_running() == TASK_CAPACITY
            assert list_interrupted(fleet) == [False] * (
                TASK_COUNT - TASK_CAPACITY
            )
            fleet.check()

    run_virtual(run)


# Guards against a takeover after which interrupted tasks count as never run.
def test_lost_tasks_are_interrupted_after_takeover(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await fleet.submit(
                JOB, make_long_running_request(TASK_CAPACITY), QUEUE
            )
            await fleet.wait_running(TASK_CAPACITY)
            await trio.sleep(1)
            fleet.platform.workers['w1'].fail_all()
            fleet.platform.workers['w1'].is_up = False
            await trio.sleep(2)
            fleet.kill_owner()
            await fleet.wait_owner()
            await trio.sleep(8)
            was_interrupted = list_interrupted(fleet)
            assert was_interrupted
            assert all(was_interrupted)

    run_virtual(run)


@pytest.mark.parametrize('bits', ['', 'x', '100000000', '-1'])
def test_invalid_begun_bits_are_rejected(bits):
    request = make_request(make_step(4, long_running=True))
    record = ProgressRecord(JobState.RUNNING, begun={'0.0': 'f'})
    assert not _record_validation.find_progress_fault(record, request)
    invalid = attrs.evolve(record, begun={'0.0': bits})
    assert _record_validation.find_progress_fault(invalid, request)
    invalid = attrs.evolve(record, begun={'0.1': '1'})
    assert _record_validation.find_progress_fault(invalid, request)
