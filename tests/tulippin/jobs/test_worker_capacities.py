"""Workers that don't enforce their capacity, while it shrinks and grows.

No start may exceed the capacity of such a worker. Runs that are stopping still
count, and a reduced capacity takes effect 3 s and a heartbeat later.
"""

import msgspec
import pytest
import trio

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    QUEUE,
    make_config_body,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _feasibility, _headroom, _unit_capacity, _workers
from tulippin.jobs.state import SchedulerConfig, SchedulerState, Worker
from tulippin.jobs.types import WorkerEntry
from tulippin.platform.standin import check_history
from tulippin.types import Resources

FULL = 16_000
SMALL = 4000
TASK = 2000
CHANGE_INTERVAL_S = 5.0


def make_config(*, is_enforcing, version=2):
    body = make_config_body(version)
    services = tuple(
        msgspec.structs.replace(one, enforces_capacity=is_enforcing)
        for one in body.services
    )
    return msgspec.structs.replace(body, services=services)


async def submit_some(fleet, first, count=6, queue=QUEUE, run_ms=1500):
    for number in range(first, first + count):
        request = make_request(
            make_step(3, TASK), run_ms=run_ms, cpu_millicores=TASK
        )
        await fleet.submit(f'{number:016x}', request, queue)


async def run_capacity_changes(fleet, resize=True):
    """Submit jobs while the capacity of every worker shrinks and grows."""
    fleet.platform.configure(make_config(is_enforcing=False))
    for worker in fleet.platform.workers.values():
        worker.stop_ms = 600
    await trio.sleep(0.5)
    for turn in range(4):
        for worker in fleet.platform.workers.values():
            worker.resize(FULL if turn % 2 else SMALL)
        for part in range(5):
            # Urgent jobs preempt others, and stopping runs still count.
            queue = LOW_PRIORITY_QUEUE if part % 2 else QUEUE
            await submit_some(fleet, turn * 100 + part * 10, queue=queue)
            await trio.sleep(CHANGE_INTERVAL_S / 5)


@pytest.mark.parametrize('seed', range(4))
def test_no_start_exceeds_a_shrinking_capacity(run_virtual, seed):
    async def run():
        async with open_fleet(workers=4) as fleet:
            await run_capacity_changes(fleet)
            for turn in range(4):
                for part in range(5):
                    for number in range(6):
                        job_id = f'{turn * 100 + part * 10 + number:016x}'
                        await fleet.wait_done(job_id, limit_s=120)
            fleet.check()

    run_virtual(run, seed=seed)


def find_overruns(run_virtual, play, workers=4):
    async def run():
        async with open_fleet(workers=workers) as fleet:
            await play(fleet)
            await trio.sleep(3)
            return check_history(fleet.platform.history)

    return [line for line in run_virtual(run) if 'over its room' in line]


def test_outdated_capacity_would_be_exceeded(run_virtual, monkeypatch):
    apply_entry = _workers.apply_entry

    def keep_capacity(entry, read_ms, context):
        known = context.state.workers.get(entry.worker_id)
        room = known.entry.capacity if known else entry.capacity
        changed = WorkerEntry(
            entry.worker_id,
            entry.service,
            entry.address,
            entry.failure_domain,
            room,
            entry.labels,
        )
        apply_entry(changed, read_ms, context)

    monkeypatch.setattr(_workers, 'apply_entry', keep_capacity)
    assert find_overruns(run_virtual, run_capacity_changes)


def test_ignoring_stopping_runs_would_exceed_capacity(run_virtual, monkeypatch):
    has_capacity = Worker.has_capacity

    def count_running(worker, wanted):
        stopping = sum(
            one.step.reserved.cpu_millicores
            for one in worker.attempts.values()
            if one.state.value == 'stopping'
        )
        remaining_millicores = wanted.cpu_millicores - stopping
        return has_capacity(
            worker, Resources(max(0, remaining_millicores), wanted.memory_mb)
        )

    monkeypatch.setattr(Worker, 'has_capacity', count_running)

    async def play(fleet):
        fleet.platform.configure(make_config(is_enforcing=False))
        for worker in fleet.platform.workers.values():
            worker.stop_ms = 600
        await trio.sleep(0.5)
        await submit_some(fleet, 0, 20, LOW_PRIORITY_QUEUE, run_ms=5000)
        await trio.sleep(1)
        await submit_some(fleet, 100, 10)

    assert find_overruns(run_virtual, play)


async def run_without_store(fleet):
    """Reduce capacities while the store is unavailable and work goes on."""
    fleet.platform.configure(make_config(is_enforcing=False))
    await trio.sleep(0.5)
    await submit_some(fleet, 0, 120)
    await trio.sleep(0.2)
    for worker in fleet.platform.workers.values():
        worker.resize(SMALL)
    fleet.platform.store.trouble.silenced.add('*')
    await trio.sleep(12)
    fleet.platform.store.trouble.silenced.clear()


def test_worker_of_unreported_capacity_gets_no_starts(run_virtual):
    assert not find_overruns(run_virtual, run_without_store)


def test_ignoring_unreported_capacity_would_exceed_it(run_virtual, monkeypatch):
    monkeypatch.setattr(_feasibility, '_is_capacity_confirmed', lambda *_: True)
    assert find_overruns(run_virtual, run_without_store)


def make_worker(number, cpu_millicores, reserved):
    entry = WorkerEntry(
        f'w{number}', 's', f'w{number}:80', 'z', Resources(cpu_millicores, 999)
    )
    worker = Worker(entry, is_rostered=True, is_reconciled=True)
    worker.reserved = Resources(reserved, 0)
    return worker


def make_state(*workers):
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=1000)
    state.workers = {one.worker_id: one for one in workers}
    return state


def test_reduced_capacity_does_not_count_against_other_workers():
    """A worker 3.5 cores over its capacity hid four fitting tasks of a core."""
    state = make_state(make_worker(0, 2000, 5500), make_worker(1, 8000, 0))
    assert _unit_capacity.measure(state).places[0] == 8
    assert _headroom.get_unoccupied(state.workers['w0']) == 2000
    assert not state.workers['w0'].has_capacity(Resources(1, 0))
    assert state.workers['w0'].has_capacity(Resources(-4000, 0))


def test_orphaned_runs_block_a_worker_that_does_not_enforce_capacity():
    state = make_state(make_worker(0, 8000, 0))
    worker = state.workers['w0']
    worker.entry_read_ms = state.now_ms
    state.configuration = _read_configuration(is_enforcing=False)
    assert _feasibility.accepts_runs(worker, state)
    worker.orphaned_runs['task', 1] = 0
    assert not _feasibility.accepts_runs(worker, state)
    state.configuration = _read_configuration(is_enforcing=True)
    assert _feasibility.accepts_runs(worker, state)


def _read_configuration(*, is_enforcing):
    from tulippin.platform.feeds import decode_configuration

    body = make_config(is_enforcing=is_enforcing)
    services = tuple(
        msgspec.structs.replace(one, name='s') for one in body.services
    )
    body = msgspec.structs.replace(body, services=services)
    return decode_configuration(msgspec.json.encode(body))
