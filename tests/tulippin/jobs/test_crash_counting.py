"""Which crashes count against a task, and what is known of its runs' ages.

What users saw: a task that crashes its workers was started a sixth time, after
five crashes, some of which had counted for less or not at all.
"""

import pytest
import trio

from fleet_of_schedulers import make_request, make_step, open_fleet

CRASHING = 'c' * 16
LIMIT_S = 28


def list_crashes(fleet):
    """Return what the owner counts against the crashing task."""
    owner = fleet.get_owner()
    jobs = fleet.instances[owner].state.jobs if owner else {}
    if CRASHING not in jobs:
        return ()
    (task,) = jobs[CRASHING].tasks.values()
    return task.list_crashes()


async def wait_crashes(fleet, count=1):
    with trio.fail_after(LIMIT_S):
        while len(list_crashes(fleet)) < count:
            await trio.sleep(0.01)
    return list_crashes(fleet)


async def submit_crashing(fleet, after_ms, **options):
    request = make_request(
        make_step(), crashes_after_ms=after_ms, run_ms=60_000, **options
    )
    await fleet.submit(CRASHING, request)


@pytest.mark.parametrize('lives_for_s', [0, 1.5])
def test_crash_under_a_late_order_counts_in_full(run_virtual, lives_for_s):
    """A worker that answered after an order was sent was not dead before it.

    Order of events: an order is on its way for long, and its worker goes on
    to answer; the run ends the worker as soon as it begins, before an answer
    tells of it. Cause: a run that no answer told of counted half, as if its
    worker might have been dead when the order was sent.
    """

    async def run():
        async with open_fleet(workers=1) as fleet:
            await trio.sleep(1)
            (worker,) = fleet.platform.workers.values()
            worker.late_orders_s = 2
            if not lives_for_s:
                worker.crash()
            await submit_crashing(fleet, 0)
            await trio.sleep(lives_for_s)
            if lives_for_s:
                worker.crash()
            (crash,) = await wait_crashes(fleet)
            assert fleet.count_starts(CRASHING) == 0
            assert crash.is_seen == bool(lives_for_s)

    run_virtual(run)
