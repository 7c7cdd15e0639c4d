"""Workers whose room shrinks and grows under what runs, and guard none.

A start that brings such a worker over its room breaks what always holds; what
is being stopped still counts, and a room that has shrunk counts 3 s and a
heartbeat later.
"""

import msgspec
import pytest
import trio

from fleet_of_schedulers import (
    PATIENT,
    QUEUE,
    make_config_body,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _feasibility, _headroom, _rooms, _workers
from tulippin.jobs.state import SchedulerConfig, SchedulerState, Worker
from tulippin.jobs.types import WorkerEntry
from tulippin.platform.standin import check_history
from tulippin.types import Resources

FULL = 16_000
SMALL = 4000
TASK = 2000
SWING_S = 5.0


def make_config(*, guards_room, version=2):
    body = make_config_body(version)
    services = tuple(
        msgspec.structs.replace(one, enforces_capacity=guards_room)
        for one in body.services
    )
    return msgspec.structs.replace(body, services=services)


async def submit_some(fleet, first, count=6, queue=QUEUE, run_ms=1500):
    for number in range(first, first + count):
        request = make_request(
            make_step(3, TASK), run_ms=run_ms, cpu_millicores=TASK
        )
        await fleet.submit(f'{number:016x}', request, queue)


async def run_swings(fleet, resize=True):
    """Hand jobs in while every worker's room shrinks and grows again."""
    fleet.platform.configure(make_config(guards_room=False))
    for worker in fleet.platform.workers.values():
        worker.stop_ms = 600
    await trio.sleep(0.5)
    for turn in range(4):
        for worker in fleet.platform.workers.values():
            worker.resize(FULL if turn % 2 else SMALL)
        for part in range(5):
            # Urgent jobs have others stopped: what stops still counts.
            queue = PATIENT if part % 2 else QUEUE
            await submit_some(fleet, turn * 100 + part * 10, queue=queue)
            await trio.sleep(SWING_S / 5)


@pytest.mark.parametrize('seed', range(4))
def test_no_start_brings_a_worker_over_a_room_that_shrinks(run_virtual, seed):
    async def run():
        async with open_fleet(workers=4) as fleet:
            await run_swings(fleet)
            for turn in range(4):
                for part in range(5):
                    for number in range(6):
                        job_id = f'{turn * 100 + part * 10 + number:016x}'
                        await fleet.wait_done(job_id, limit_s=120)
            fleet.check()

    run_virtual(run, seed=seed)


def find_over_room(run_virtual, play, workers=4):
    async def run():
        async with open_fleet(workers=workers) as fleet:
            await play(fleet)
            await trio.sleep(3)
            return check_history(fleet.platform.history)

    return [line for line in run_virtual(run) if 'over its room' in line]


def test_room_as_it_was_at_first_would_be_overrun(run_virtual, monkeypatch):
    note_entry = _workers.note_entry

    def keep_room(entry, read_ms, context):
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
        note_entry(changed, read_ms, context)

    monkeypatch.setattr(_workers, 'note_entry', keep_room)
    assert find_over_room(run_virtual, run_swings)


def test_room_of_what_stops_would_be_overrun(run_virtual, monkeypatch):
    has_room = Worker.has_room

    def count_running(worker, wanted):
        stopping = sum(
            one.step.reserved.cpu_millicores
            for one in worker.attempts.values()
            if one.state.value == 'stopping'
        )
        left = wanted.cpu_millicores - stopping
        return has_room(worker, Resources(max(0, left), wanted.memory_mb))

    monkeypatch.setattr(Worker, 'has_room', count_running)

    async def play(fleet):
        fleet.platform.configure(make_config(guards_room=False))
        for worker in fleet.platform.workers.values():
            worker.stop_ms = 600
        await trio.sleep(0.5)
        await submit_some(fleet, 0, 20, PATIENT, run_ms=5000)
        await trio.sleep(1)
        await submit_some(fleet, 100, 10)

    assert find_over_room(run_virtual, play)


async def run_without_list(fleet):
    """Shrink the rooms while the store is away, and have work go on."""
    fleet.platform.configure(make_config(guards_room=False))
    await trio.sleep(0.5)
    await submit_some(fleet, 0, 120)
    await trio.sleep(0.2)
    for worker in fleet.platform.workers.values():
        worker.resize(SMALL)
    fleet.platform.store.trouble.silenced.add('*')
    await trio.sleep(12)
    fleet.platform.store.trouble.silenced.clear()


def test_room_that_is_not_heard_of_gets_nothing_new(run_virtual):
    assert not find_over_room(run_virtual, run_without_list)


def test_room_that_is_not_heard_of_would_be_overrun(run_virtual, monkeypatch):
    monkeypatch.setattr(_feasibility, '_is_capacity_confirmed', lambda *_: True)
    assert find_over_room(run_virtual, run_without_list)


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


def test_shrunk_room_takes_no_places_from_other_workers():
    """A worker 3.5 cores over its room took four places of one core."""
    state = make_state(make_worker(0, 2000, 5500), make_worker(1, 8000, 0))
    assert _rooms.measure(state).places[0] == 8
    assert _headroom.get_unoccupied(state.workers['w0']) == 2000
    assert not state.workers['w0'].has_room(Resources(1, 0))
    assert state.workers['w0'].has_room(Resources(-4000, 0))


def test_strays_close_a_worker_that_guards_no_room():
    state = make_state(make_worker(0, 8000, 0))
    worker = state.workers['w0']
    worker.entry_ms = state.now_ms
    state.configuration = _read_configuration(guards_room=False)
    assert _feasibility.accepts_runs(worker, state)
    worker.strays['task', 1] = 0
    assert not _feasibility.accepts_runs(worker, state)
    state.configuration = _read_configuration(guards_room=True)
    assert _feasibility.accepts_runs(worker, state)


def _read_configuration(*, guards_room):
    from tulippin.platform.feeds import decode_configuration

    body = make_config(guards_room=guards_room)
    services = tuple(
        msgspec.structs.replace(one, name='s') for one in body.services
    )
    body = msgspec.structs.replace(body, services=services)
    return decode_configuration(msgspec.json.encode(body))
