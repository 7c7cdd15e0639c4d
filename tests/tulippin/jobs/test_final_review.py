"""What has to hold of kept room where services, units and figures differ."""

import math

import attrs
import pytest
import trio
from test_headroom import LASTING
from test_headroom_review import ask
from test_scheduler_decisions import (
    QUEUE,
    make_attempt,
    make_job,
    make_serving,
    make_state,
)
from test_scheduler_headroom import LASTING as FLEET_LASTING
from test_scheduler_headroom import WORKER_CORES, open_busy_fleet

from fleet_of_schedulers import (
    make_lasting,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.codec_json import encode
from tulippin.jobs import (
    _choosing,
    _demand,
    _headroom,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs._rows import read_record
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import DemandRecord, LeaseRecord, UnitRoom
from tulippin.jobs.state import Task
from tulippin.jobs.types import Configuration, Service, TaskKey
from tulippin.types import Resources

CORE = 1000
OTHER = 'other'


def choose_new(state, cores, **options):
    """Return the worker that a new long-running task is started on."""
    step = attrs.evolve(make_serving(cpu=cores * CORE), **options)
    job = make_job(state, 'new', state.now_ms, (step,))
    job.queue = LASTING
    return _choosing.choose(job, Task(TaskKey('new', 0, 0, 0)), step, state)


def fill(state, numbers, cores):
    """Have a long-running task run on each of some workers."""
    step = make_serving(cpu=cores * CORE)
    for number in numbers:
        make_attempt(state.workers[f'w{number}'], step, 'old', number)


def watch(state, for_ms):
    """Let time go by with a tick a second."""
    for _ in range(for_ms // 1000):
        state.now_ms += 1000
        _headroom.tick(Context(state))


def make_new_owner(workers, others=0):
    """Return what an owner has that has just taken its unit.

    So many workers are of a service of their own.
    """
    state = make_state(workers + others)
    services = (Service('s', True), Service(OTHER, True))
    state.configuration = Configuration(1, (QUEUE, LASTING), services)
    state.ownership.taken_ms = state.now_ms
    for number in range(workers, workers + others):
        worker = state.workers[f'w{number}']
        worker.entry = attrs.evolve(worker.entry, service=OTHER)
    return state


def resize(state, numbers, cores):
    """Have some workers be of another size."""
    for number in numbers:
        worker = state.workers[f'w{number}']
        capacity = Resources(cores * CORE, 64_000)
        worker.entry = attrs.evolve(worker.entry, capacity=capacity)


async def wait_ordered(fleet, name):
    """Wait until a long-running task was ordered to start on a worker."""
    state = fleet.instances[fleet.get_owner()].state
    with trio.fail_after(5):
        while not any(
            attempt.is_ordered
            for attempt in state.workers[name].attempts.values()
        ):
            await trio.sleep(0.005)


# Guards against missed tasks that wait beside room as if they had never run:
# the answers to their orders were lost with their worker.
@pytest.mark.parametrize('is_lost', [False, True])
@pytest.mark.parametrize('is_answered', [True, False])
def test_task_whose_start_was_not_answered_goes_back_to_work(
    run_virtual, is_answered, is_lost
):
    async def run():
        async with open_busy_fleet(workers=4) as fleet:
            worker = fleet.platform.workers['w0']
            if not is_answered:
                worker.late_orders_s = 0.1
            request = make_lasting(40, 2 * CORE)
            await fleet.submit(f'{1:016x}', request, FLEET_LASTING)
            await wait_ordered(fleet, 'w0')
            await trio.sleep(3 if is_answered else 0.05)
            worker.cut_off.add('*')
            await trio.sleep(2)
            if is_lost:
                worker.crash()
            await trio.sleep(20)
            # They did run there, by what the worker saw.
            missed = {
                event.key
                for event in fleet.platform.history
                if event.kind == 'started' and event.worker_id == 'w0'
            }
            assert missed
            running = {
                key
                for one in fleet.platform.workers.values()
                for key, _ in one.runs
            }
            used = 2 * len(running)
            assert missed <= running or used == 3 * WORKER_CORES

    run_virtual(run)


# Guards against a job that waits for a minute beside twice its room, as its
# label is in this unit alone: its service is less than half used.
@pytest.mark.parametrize('wait_s', [4, 30])
def test_job_bound_to_its_unit_starts_where_its_service_is_half_empty(wait_s):
    state = make_new_owner(8)
    for worker in state.workers.values():
        worker.entry = attrs.evolve(worker.entry, labels=frozenset({'ssd'}))
    state.rooms[1] = UnitRoom(
        80_000,
        0,
        largest_free=Resources(10_000, 64_000),
        service_millicores={'s': 80_000},
    )
    fill(state, range(7), 10)
    watch(state, wait_s * 1000)
    assert choose_new(state, 5, required_label='ssd') is not None


# Guards against a row of another unit that ends the work on all of this one.
@pytest.mark.parametrize('mean', [1e-100, 1e-150, 1e-200, 1e-270, 5e-324])
def test_readable_lease_of_tiny_demand_is_weighed(mean):
    record = DemandRecord('s', 0, mean, squares=1e27, cubes=1e27, count=1)
    lease = LeaseRecord('i:1', 'i', 1, room=UnitRoom(demands=(record,)))
    row = StoredRow('u', 'u1', 'lease', encode(lease), 1)
    known = read_record(row, LeaseRecord)
    assert known is not None
    state = make_state(2)
    state.rooms[1] = known.room
    found = _demand.estimate('s', 0, 20_000, state)
    assert math.isfinite(found.place_millicores)


# Guards against room that is kept for good as another service is empty.
@pytest.mark.parametrize('others', [0, 12])
def test_kept_room_is_given_once_nothing_short_has_come_for_long(others):
    state = make_new_owner(8, others)
    fill(state, range(6), 9)
    assert choose_new(state, 5) is None
    watch(state, 1_200_000)
    assert choose_new(state, 5) is not None


# Guards against room that is given away at once as another service was full.
@pytest.mark.parametrize('others', [0, 12])
def test_room_is_kept_where_none_was_reserved_until_now(others):
    state = make_new_owner(8, others)
    fill(state, range(8, 8 + others), 9)
    watch(state, 1_200_000)
    fill(state, range(6), 9)
    assert choose_new(state, 5) is None


# Guards against large short tasks without a place as most workers are small.
@pytest.mark.parametrize('small', [0, 5])
def test_places_are_kept_of_a_size_that_only_some_workers_have(small):
    state = make_new_owner(4 + small)
    resize(state, range(4), 16)
    resize(state, range(4, 4 + small), 4)
    ask(state, 12, 12)
    for number in range(20):
        worker = choose_new(state, 5)
        if worker is not None:
            step = make_serving(cpu=5 * CORE)
            make_attempt(worker, step, 'new', number)
    free = [one.free.cpu_millicores for one in state.workers.values()]
    assert max(free) >= 12 * CORE, free


# Guards against a sound job that is given up for a worker that lived on: with
# a doubt that stays three crashes beside others are enough in place of five.
def test_doubt_is_taken_back_once_the_worker_answers_again(run_virtual):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            waiting = f'{3:016x}'
            request = make_request(make_step(2, 16 * CORE), run_ms=60_000)
            await fleet.submit(f'{2:016x}', request)
            await fleet.wait_running(2)
            request = make_request(make_step(1, 16 * CORE), run_ms=60_000)
            await fleet.submit(waiting, request)
            await trio.sleep(1)
            worker = fleet.platform.workers['w1']
            worker.cut_off.add('*')
            fleet.kill_owner()
            owner = await fleet.wait_owner()
            state = fleet.instances[owner].state
            with trio.fail_after(12):
                while not state.is_settled:
                    await trio.sleep(0.01)
            assert state.jobs[waiting].doubts == 1
            worker.cut_off.clear()
            with trio.fail_after(20):
                while not state.workers['w1'].is_reconciled:
                    await trio.sleep(0.01)
            await trio.sleep(3)
            assert state.jobs[waiting].doubts == 0

    run_virtual(run)
