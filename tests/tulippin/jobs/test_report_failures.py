"""Workers that go silent while their owner makes a pause between calls.

Guards against pauses that weaken a lease: a short silence ends no run, and the
runs of a worker that stays silent are given up hardly later than without.
"""

import pytest
import trio
from test_report_load import vary_run_times

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    make_request,
    make_service_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.features import Features
from tulippin.jobs.types import RunOutcome
from tulippin.platform.standin import get_now_ms

SERVING = '0000000000000001'
WORKERS = 4
# The owner gives runs up when the last lease that it granted has ended: 4.5 s
# by a clock that is 2% slow, from the next call after the silence began; 5.16 s
# were measured. The call follows a report after 0.13 s, when its ends are
# durable, or after a pause of 0.25 s at most.
MAX_RELEASE_MS = {False: 5200, True: 5200 + 250 - 130}
# With 2.5 s a run ends without pauses, too: after a silence the first call that
# is answered renews no lease, and the next one does.
SHORT_SILENCE_S = 2.0


async def send_jobs(fleet):
    """Keep short opportunistic runs on all workers."""
    step = make_step(
        3 * WORKERS,
        cpu=1500,
        opportunistic=True,
        image='batch',
        checkpointing=True,
    )
    for number in range(100):
        request = make_request(step, run_ms=1500 + 170 * (number % 5))
        await fleet.submit(f'c{number:015x}', request, LOW_PRIORITY_QUEUE)
        await trio.sleep(1.1)


async def wait_for_pause(fleet, is_gathered):
    """Return the name of a worker to which no call is sent at present."""
    state = fleet.instances[fleet.get_owner()].state
    with trio.fail_after(10):
        while True:
            for worker in state.workers.values():
                is_paused = worker.report_after_ms > get_now_ms() + 100
                is_idle = not (worker.is_hold_in_flight or is_gathered)
                if len(worker.attempts) > 1 and (is_paused or is_idle):
                    return worker.worker_id
            await trio.sleep(0.01)


async def silence_worker(fleet, is_gathered):
    """Make a worker silent in a pause, and return it."""
    await fleet.submit(SERVING, make_service_request(WORKERS, 50))
    await fleet.wait_running(WORKERS)
    fleet.nursery.start_soon(send_jobs, fleet)
    await trio.sleep(6)
    worker_id = await wait_for_pause(fleet, is_gathered)
    worker = fleet.platform.workers[worker_id]
    worker.unreachable_clients.add('*')
    return worker


@pytest.mark.parametrize('is_gathered', [False, True])
def test_short_silence_in_a_pause_ends_no_run(
    run_virtual, monkeypatch, is_gathered
):
    vary_run_times(monkeypatch)

    async def run():
        features = Features(gathers_reports=is_gathered)
        async with open_fleet(2, WORKERS, features=features) as fleet:
            worker = await silence_worker(fleet, is_gathered)
            await trio.sleep(SHORT_SILENCE_S)
            worker.unreachable_clients.clear()
            await trio.sleep(5)
            outcomes = {event.outcome for event in fleet.platform.history}
            assert RunOutcome.LAPSED not in outcomes
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('is_gathered', [False, True])
def test_runs_of_a_silent_worker_are_given_up_in_time(
    run_virtual, monkeypatch, is_gathered
):
    vary_run_times(monkeypatch)

    async def run():
        features = Features(gathers_reports=is_gathered)
        async with open_fleet(2, WORKERS, features=features) as fleet:
            worker = await silence_worker(fleet, is_gathered)
            began_ms = get_now_ms()
            state = fleet.instances[fleet.get_owner()].state
            known = state.workers[worker.worker_id]
            with trio.fail_after(8):
                while known.attempts:
                    await trio.sleep(0.01)
            lasted_ms = get_now_ms() - began_ms
            print('given up after', lasted_ms, 'ms')
            assert lasted_ms <= MAX_RELEASE_MS[is_gathered]
            fleet.check()

    run_virtual(run)
