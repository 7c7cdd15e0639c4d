"""Jobs in sum bring no unit more tasks than its owner can keep."""

import tracemalloc

import attrs
import pytest
import trio

from scheduler_fleet import QUEUE, make_request, make_step, open_fleet
from tulippin.codec_json import encode
from tulippin.exceptions import OverloadedError
from tulippin.jobs import _task_limits, core
from tulippin.jobs import events as ev
from tulippin.jobs._task_limits import (
    MAX_JOB_TASKS,
    MAX_UNIT_TASKS,
    SentTasks,
    count_kept,
    has_room,
    make_rejection,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import JobRecord, LeaseRecord, Unit
from tulippin.jobs.state import Phase, SchedulerConfig

SMALL = make_request(make_step(4, cpu=100))
LARGEST = make_request(make_step(MAX_JOB_TASKS, cpu=100))
LEASE_S = 1.5
# Small jobs are accepted up to this sum.
MAX_KEPT_TASKS = 150_000
# Memory of the smallest instance, less what a process takes without jobs.
MAX_STATE_BYTES = 240_000_000
# Limits of a unit and of the largest job, in the proportion of the real ones.
UNIT_TASKS = 500
JOB_TASKS = 100


def make_job_id(number):
    return f'{0x7A5C << 48 | number * 0x10000001:016x}'


def make_state():
    """Return the state of an active owner of an empty unit."""
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    state.ownership.phase = Phase.ACTIVE
    return state


@pytest.fixture
def small_limits(monkeypatch):
    monkeypatch.setattr(_task_limits, 'MAX_UNIT_TASKS', UNIT_TASKS)
    monkeypatch.setattr(_task_limits, '_MAX_UNIT_TASKS_FOR_SMALL', UNIT_TASKS)
    monkeypatch.setattr(_task_limits, 'SMALL_JOB_TASKS', 0)


def test_empty_unit_takes_the_largest_job():
    assert has_room(0, LARGEST)


def test_jobs_of_any_size_leave_room_for_small_ones():
    kept_count = 0
    for size in (MAX_JOB_TASKS, 5000, 1000, 200):
        request = make_request(make_step(size, cpu=100))
        while has_room(kept_count, request):
            kept_count += size
        assert kept_count <= MAX_UNIT_TASKS
        assert has_room(kept_count, SMALL)


@pytest.mark.parametrize(
    ('kept_count', 'min_s', 'max_s'), [(20_001, 1, 1), (60_000, 90, 110)]
)
def test_rejected_job_returns_once_there_may_be_room(
    kept_count, min_s, max_s, monkeypatch
):
    monkeypatch.setattr(_task_limits, '_MAX_RETRY_AFTER_S', 1000)
    error = make_rejection(kept_count, LARGEST)
    assert min_s <= error.retry_after_s <= max_s
    assert str(MAX_JOB_TASKS) in error.message


def test_rejected_job_returns_within_a_minute():
    assert make_rejection(MAX_UNIT_TASKS, LARGEST).retry_after_s == 60


def test_small_job_is_taken_where_large_ones_came_at_once():
    """Several instances may accept large jobs before a lease counts them."""
    assert has_room(MAX_UNIT_TASKS + 2 * MAX_JOB_TASKS, SMALL)
    assert not has_room(MAX_UNIT_TASKS, LARGEST)


def test_sent_tasks_count_until_a_newer_lease():
    sent = SentTasks()
    sent.add(0, 1000, 30)
    sent.add(0, 1000, 4)
    assert sent.get(0, 1000) == 4 * 34
    assert not sent.get(1, 1000)
    assert not sent.get(0, 1500)
    sent.add(0, 1500, 5)
    assert sent.get(0, 1500) == 4 * 5


def test_sum_of_large_jobs_takes_no_owner_over_its_memory(
    run_virtual, small_limits
):
    """Guards against instances that end by the sum of accepted jobs."""

    async def run():
        async with open_fleet(instances=3, workers=2) as fleet:
            wide = make_request(
                make_step(JOB_TASKS, cpu=4000, estimated_ms=2000)
            )
            rejected = []
            for number in range(30):
                by = f'i{number % 3}'
                try:
                    await fleet.submit(make_job_id(number), wide, by=by)
                except OverloadedError as error:
                    rejected.append(error)
                await trio.sleep(0.05)
            await fleet.submit(make_job_id(99), SMALL)
            await trio.sleep(LEASE_S)
            owner = fleet.instances[fleet.get_owner()]
            assert _task_limits.count_kept(owner.state) <= UNIT_TASKS
            assert len(rejected) >= 25
            assert all(error.retry_after_s >= 1 for error in rejected)
            await fleet.wait_done(make_job_id(99), limit_s=60)

    run_virtual(run)


def test_repeated_submit_of_an_accepted_job_is_not_rejected(
    run_virtual, small_limits
):
    async def run():
        async with open_fleet(instances=1) as fleet:
            wide = make_request(make_step(JOB_TASKS, cpu=4000))
            await fleet.submit(make_job_id(1), wide)
            with pytest.raises(OverloadedError):
                await fleet.submit(make_job_id(2), wide)
            await fleet.submit(make_job_id(1), wide)

    run_virtual(run)


@pytest.mark.parametrize('with_room', range(3))
def test_job_goes_to_the_unit_with_room_for_its_tasks(run_virtual, with_room):
    async def run():
        async with open_fleet(instances=1) as fleet:
            shell = fleet.instances['i0'].shell
            shell.units = {
                number: UnitStub(
                    SchedulerConfig('i', 'i:1', unit=Unit(number)),
                    LeaseRecord(
                        's', 'o', task_count=90_000 * (number != with_room)
                    ),
                )
                for number in range(3)
            }
            assert shell.choose_unit(LARGEST, '') == with_room

    run_virtual(run)


@attrs.define
class UnitStub:
    config: SchedulerConfig
    lease: LeaseRecord
    lease_seen_ms: int = 0
    is_owner: bool = False


# Guards against small jobs that take their owner over its memory.
@pytest.mark.parametrize('size', [1, 4, 100])
def test_accepted_jobs_of_any_size_fit_an_owner(size):
    request = make_request(make_step(size, cpu=100))
    value = encode(JobRecord(QUEUE, request))
    state = make_state()
    rows = tuple(
        StoredRow('jobs', 'j0', f'{number:016x}', value, 2)
        for number in range(2000 // size)
    )
    tracemalloc.start()
    try:
        core.reduce(state, ev.JobsChanged(state.now_ms, rows))
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    used_share = count_kept(state) / MAX_KEPT_TASKS
    assert used_bytes / used_share <= MAX_STATE_BYTES
