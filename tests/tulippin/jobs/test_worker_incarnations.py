"""A worker incarnation that is over gets no further calls.

Guards against an owner that saturates its processor after a worker crash: the
worker does not answer for a while, then its next incarnation answers at the
same address. The owner marked the old incarnation as over but still counted it
as silent, and retried it without a pause after each immediate answer.
"""

import collections

import trio

from scheduler_fleet import JOB, make_request, make_step, open_fleet
from tulippin.platform.standin import StandinAgents


def count_hold_calls(run_virtual, monkeypatch):
    """Return the number of hold calls to a worker after its replacement."""
    calls = collections.Counter()
    hold = StandinAgents.hold

    async def count(agents, worker_id, *details):
        calls[worker_id] += 1
        return await hold(agents, worker_id, *details)

    monkeypatch.setattr(StandinAgents, 'hold', count)

    async def run():
        async with open_fleet(workers=1) as fleet:
            request = make_request(make_step(2), run_ms=60_000)
            await fleet.submit(JOB, request)
            await fleet.wait_running(2)
            worker = fleet.platform.workers['w0']
            worker.crash()
            await trio.sleep(1.5)
            fleet.platform.add_worker('w0+1', address=worker.address)
            await fleet.wait_running(2)
            calls.clear()
            await trio.sleep(5)
            fleet.check()

    run_virtual(run)
    return calls['w0']


def test_replaced_worker_gets_no_further_calls(run_virtual, monkeypatch):
    """The fault caused 5,001 calls in 5 s of virtual time."""
    assert count_hold_calls(run_virtual, monkeypatch) <= 1
