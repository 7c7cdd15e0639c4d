"""A worker's life that is over: nothing is asked of it any more.

What users saw: after workers had crashed and were back, the owner spent all of
its processor for as long as such crashes went on, and its log was one line over
and over. Order of events: a worker is silent for a while, and its next life
answers at its address; the owner takes the old life for over, and still counts
it as silent; what is silent is asked again, and each answer, that another life
is there, comes at once. Cause: the end of a life did not end the questions
about it, and they had no pause. Evidence: 885 of 969 lines that were kept of
an owner's log were `worker replaced`, for lives replaced 15 s before.
"""

import collections

import trio

from fleet_of_schedulers import JOB, make_request, make_step, open_fleet
from tulippin.platform.standin import StandinAgents


def count_holds(run_virtual, monkeypatch):
    """Return how often a crashed worker is asked beside its next life."""
    asked = collections.Counter()
    hold = StandinAgents.hold

    async def count(agents, worker_id, *details):
        asked[worker_id] += 1
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
            asked.clear()
            await trio.sleep(5)
            fleet.check()

    run_virtual(run)
    return asked['w0']


def test_worker_that_was_replaced_is_asked_no_more(run_virtual, monkeypatch):
    """It was asked 5,001 times in 5 s of virtual time, once a millisecond."""
    assert count_holds(run_virtual, monkeypatch) <= 1
