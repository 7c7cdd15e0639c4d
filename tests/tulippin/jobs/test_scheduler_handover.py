"""Long-running tasks go on while their unit passes from owner to owner."""

import collections

import pytest
import trio

from fleet_of_schedulers import JOB, make_request, make_step, open_fleet
from tulippin.platform.standin import get_now_ms


def make_lasting(count, cpu=1000):
    return make_request(make_step(count, cpu, long_running=True), lasts=True)


async def submit_lasting(fleet, count, cpu=1000):
    """Let tasks that last run, and the owner read where they do."""
    await fleet.submit(request=make_lasting(count, cpu))
    await fleet.wait_running(count)
    await trio.sleep(1.5)


def get_gaps_ms(fleet):
    """Return by task for how long at most it has not run."""
    gaps_ms = collections.Counter()
    ended_ms = {}
    for event in fleet.platform.history:
        if event.key.job_id != JOB:
            continue
        if event.kind == 'ended':
            ended_ms[event.key] = event.at_ms
        elif event.kind == 'started' and event.key in ended_ms:
            gap_ms = event.at_ms - ended_ms.pop(event.key)
            gaps_ms[event.key] = max(gaps_ms[event.key], gap_ms)
    for key, at_ms in ended_ms.items():
        gaps_ms[key] = max(gaps_ms[key], get_now_ms() - at_ms)
    return gaps_ms


def get_longest_gap_ms(fleet):
    return max(get_gaps_ms(fleet).values(), default=0)


async def restart(fleet, name, grace_s=5.0):
    """Stop an instance as its platform does, and start it anew."""
    with trio.move_on_after(grace_s):
        await fleet.instances[name].shell.leave()
    fleet.kill(name)
    await trio.sleep(1)
    await fleet.start(name)


@pytest.mark.parametrize('trouble', ['refused', 'silenced'])
def test_runs_do_not_lapse_while_their_owner_can_not_release(
    run_virtual, trouble
):
    async def run():
        async with open_fleet(instances=3, workers=3) as fleet:
            await submit_lasting(fleet, 6)
            clients = getattr(fleet.platform.store.trouble, trouble)
            clients.add('*')
            fleet.nursery.start_soon(restart, fleet, fleet.get_owner())
            await trio.sleep(4.5)
            clients.clear()
            await trio.sleep(10)
            fleet.check()
            return get_longest_gap_ms(fleet)

    assert run_virtual(run) == 0


async def lose_owner_beside_a_worker(fleet, owners):
    """Lose a worker without the task, then owners, then the task's run."""
    workers = fleet.platform.workers.values()
    serving = next(one for one in workers if one.runs)
    other = next(one for one in workers if not one.runs)
    other.crash()
    fleet.platform.remove(other.worker_id)
    await trio.sleep(0.2)
    for _ in range(owners):
        fleet.kill_owner()
        await fleet.wait_owner()
        await trio.sleep(0.1)
    serving.fail_all()


@pytest.mark.parametrize('owners', [1, 2, 3])
def test_task_does_not_wait_for_a_lost_worker_where_it_never_ran(
    run_virtual, owners
):
    async def run():
        async with open_fleet(instances=2 + owners, workers=3) as fleet:
            await submit_lasting(fleet, 1)
            await lose_owner_beside_a_worker(fleet, owners)
            await trio.sleep(8)
            fleet.check()
            return get_longest_gap_ms(fleet)

    assert run_virtual(run) < 1500
