"""Long-running jobs submitted at the same time are spread over the units."""

import pytest
import trio
from test_scheduler_units import get_running, open_units

from scheduler_fleet import QUEUE, make_request, make_step
from tulippin.jobs import _rebalancing, _worker_selection
from tulippin.jobs.types import JobState

LIMIT_MS = 3000
CORE = 1000
JOBS = 80
TASKS = 12
TASK_CORES = 3
IMAGES = 10


async def submit_at_once(fleet):
    """Submit jobs through all instances within 100 ms."""
    requests = [
        make_request(
            make_step(
                TASKS,
                TASK_CORES * CORE,
                long_running=True,
                image=f's{number}',
                target_ms=50,
            ),
            lasts=True,
        )
        for number in range(IMAGES)
    ]
    instances = list(fleet.instances.values())
    async with trio.open_nursery() as nursery:
        for number in range(JOBS):
            intake = instances[number % len(instances)].intake
            nursery.start_soon(
                intake.submit,
                f'{number:016x}',
                QUEUE,
                requests[number % IMAGES],
                LIMIT_MS,
            )


def get_loads(fleet):
    """Return the reserved share of the processors of each unit."""
    return [
        sum(one.reserved.cpu_millicores for one in unit.state.workers.values())
        / sum(
            one.entry.capacity.cpu_millicores
            for one in unit.state.workers.values()
        )
        for instance in fleet.instances.values()
        for unit in instance.shell.units.values()
        if unit.is_owner
    ]


async def fill(fleet):
    await submit_at_once(fleet)
    await fleet.wait_running(JOBS * TASKS, limit_s=8)
    await trio.sleep(1)
    assert max(get_running(fleet).values()) == 1
    fleet.check()
    return get_loads(fleet)


def open_ten_units():
    return open_units(12, workers=300, rack_size=30)


def test_units_end_up_with_similar_loads(run_virtual):
    async def run():
        async with open_ten_units() as fleet:
            loads = await fill(fleet)
            assert len(loads) == 10
            # A step is 0.075 of a unit, and is transferred as a whole.
            assert max(loads) - min(loads) < 0.25

    run_virtual(run)


def test_without_rebalancing_some_units_get_twice_as_much(
    run_virtual, monkeypatch
):
    monkeypatch.setattr(_rebalancing, 'choose_units', lambda state: {})

    async def run():
        async with open_ten_units() as fleet:
            loads = await fill(fleet)
            assert max(loads) - min(loads) > 0.35

    run_virtual(run)


@pytest.mark.parametrize('seed', range(4))
def test_owners_lost_during_rebalancing(run_virtual, seed):
    async def run():
        async with open_ten_units() as fleet:
            source = fleet.platform.store.source
            source.seed(seed)
            fleet.platform.store.trouble.lost_answer_share = 0.1
            await submit_at_once(fleet)
            await trio.sleep(0.9 + 0.1 * seed)
            for name in source.sample(list(fleet.instances), 4):
                fleet.kill(name)
                await fleet.start(name)
            await trio.sleep(0.5)
            fleet.platform.store.trouble.lost_answer_share = 0
            await fleet.wait_running(JOBS * TASKS, limit_s=25)
            assert max(get_running(fleet).values()) == 1
            fleet.check()

    run_virtual(run, seed=seed)


def test_transferred_job_is_cancelled_in_all_units(run_virtual):
    async def run():
        async with open_ten_units() as fleet:
            await fill(fleet)
            intake = next(iter(fleet.instances.values())).intake
            for number in range(JOBS):
                job_id = f'{number:016x}'
                assert await intake.cancel(job_id, QUEUE, LIMIT_MS)
            with trio.fail_after(6):
                while get_running(fleet):
                    await trio.sleep(0.05)
            await fleet.wait_state(f'{0:016x}', JobState.CANCELLED)
            fleet.check()

    run_virtual(run)


def count_waiting(fleet):
    """Return each instance's count of jobs without a started task."""
    return [
        instance.intake.count_waiting(QUEUE)
        for instance in fleet.instances.values()
    ]


def test_completely_transferred_jobs_still_count_as_waiting(
    run_virtual, monkeypatch
):
    """Neither the home unit nor the receiving unit counted them."""
    monkeypatch.setattr(_worker_selection, 'choose', lambda *_: None)

    async def run():
        async with open_ten_units() as fleet:
            await submit_at_once(fleet)
            await trio.sleep(4)
            # Jobs in transfer between two units are counted in neither or in
            # both until the next rows.
            assert min(count_waiting(fleet)) >= 0.75 * JOBS
            assert max(count_waiting(fleet)) <= 1.25 * JOBS

    run_virtual(run)
