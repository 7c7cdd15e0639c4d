"""Small jobs start beside a job of thousands of tasks."""

import pytest
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    make_request,
    open_fleet,
)
from tulippin.jobs import _start_window
from tulippin.jobs.state import SchedulerConfig, SchedulerState
from tulippin.jobs.types import OrderAnswer, OrderOutcome, Step, TaskKey
from tulippin.jobs.unit_shell import UnitShell
from tulippin.platform.standin import StandinAgents
from tulippin.types import Resources

WIDE = '7a5c000000000000'
WORKERS = 8
WIDE_STEPS = 4
WIDE_TASKS = 400
WIDE_RUN_MS = 3000
SIZE = Resources(20, 10)
SMALL_RUN_MS = 700
SMALL_JOBS = 24
SMALL_EVERY_S = 0.5
# Processor time of the owner for each event and each order, by which it can
# send some 150 starts a second.
EVENT_S = 0.001
ORDER_S = 0.004
# Orders that may be without an answer at one worker.
MAX_OPEN_STARTS = 16
# Time in which users expect a small job to start beside idle workers.
MAX_WAIT_S = 2.0


@pytest.fixture
def state():
    return SchedulerState(SchedulerConfig('i', 'i:1'))


@pytest.fixture
def charged_owner(monkeypatch):
    """Let virtual time pass for the work of an owner."""
    step = UnitShell.step
    start = StandinAgents.start

    def charge(seconds):
        trio.lowlevel.current_clock().jump(seconds)

    def charged_step(shell, event):
        if shell.is_claimed:
            charge(EVENT_S)
        step(shell, event)

    async def charged_start(agents, order):
        charge(ORDER_S)
        return await start(agents, order)

    monkeypatch.setattr(UnitShell, 'step', charged_step)
    monkeypatch.setattr(StandinAgents, 'start', charged_start)


async def submit_small_jobs(fleet, queue):
    """Submit a small job at intervals; return when each was accepted."""
    accepted_ms = {}
    for number in range(SMALL_JOBS):
        job_id = f'{number + 1:016x}'
        request = make_request(Step(4, SIZE), run_ms=SMALL_RUN_MS)
        await fleet.submit(job_id, request, queue)
        accepted_ms[job_id] = trio.current_time() * 1000
        await trio.sleep(SMALL_EVERY_S)
    return accepted_ms


def list_waits_s(fleet, accepted_ms):
    """Return the time from each job's acceptance to its first start."""
    started_ms = {}
    for event in fleet.platform.history:
        if event.kind == 'started':
            started_ms.setdefault(event.key.job_id, event.at_ms)
    return {
        job_id: (started_ms.get(job_id, float('inf')) - at_ms) / 1000
        for job_id, at_ms in accepted_ms.items()
    }


# Guards against small jobs that never start beside a wide one, as it takes all
# starts that the owner can send.
@pytest.mark.parametrize('queue', [HIGH_PRIORITY_QUEUE, LOW_PRIORITY_QUEUE])
def test_small_jobs_start_soon_beside_a_job_of_many_tasks(
    run_virtual, charged_owner, queue
):
    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            steps = [Step(WIDE_TASKS, SIZE)] * WIDE_STEPS
            wide = make_request(*steps, run_ms=WIDE_RUN_MS)
            await fleet.submit(WIDE, wide, HIGH_PRIORITY_QUEUE)
            accepted_ms = await submit_small_jobs(fleet, queue)
            await trio.sleep(MAX_WAIT_S)
            fleet.check()
            return list_waits_s(fleet, accepted_ms)

    waits_s = run_virtual(run)
    assert max(waits_s.values()) <= MAX_WAIT_S


# Guards against orders that pile up at a worker which hangs.
def test_hanging_worker_leaves_orders_for_others(run_virtual, monkeypatch):
    start = StandinAgents.start

    async def hang(agents, order):
        if order.worker_id == 'w0':
            await trio.sleep(0.7)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        return await start(agents, order)

    monkeypatch.setattr(StandinAgents, 'start', hang)

    async def run():
        async with open_fleet(instances=1, workers=3) as fleet:
            await fleet.submit(WIDE, make_request(Step(90, SIZE)))
            await trio.sleep(0.5)
            state = fleet.instances[fleet.get_owner()].state
            assert state.workers['w0'].open_start_count <= MAX_OPEN_STARTS
            assert fleet.count_starts(WIDE) >= 90 - MAX_OPEN_STARTS

    run_virtual(run)


def test_jobs_that_were_not_reached_come_first(state):
    steps = [('a', 0, 0), ('a', 0, 1), ('b', 0, 0), ('c', 0, 0)]
    state.jobs.update(dict.fromkeys('abc'))
    _start_window.note_pass(steps, 1, state)
    assert _start_window.order_by_turn(steps, state)[:2] == steps[2:]
    _start_window.note_pass([*steps[2:], *steps[:2]], 1, state)
    assert _start_window.order_by_turn(steps, state)[0] == ('c', 0, 0)


def test_pass_that_reaches_all_jobs_ends_the_turns(state):
    steps = [('a', 0, 0), ('b', 0, 0)]
    state.jobs.update(dict.fromkeys('ab'))
    _start_window.note_pass(steps, 1, state)
    _start_window.note_pass(steps, 2, state)
    assert state.missed_passes == {}


def test_open_orders_limit_a_pass_until_they_are_old(state):
    key = TaskKey(WIDE, 0, 0, 0)
    state.now_ms = 1000
    state.open_starts = {
        (key._replace(index=index), 1): 1000 for index in range(46)
    }
    assert _start_window.get_budget(state) == 2
    state.now_ms = 1300
    assert _start_window.get_budget(state) == 40
    assert state.open_starts == {}
