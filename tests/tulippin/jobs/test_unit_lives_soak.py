"""Soak test of units that fail at random events, also while instances stop.

Invariants: no task runs twice at a time, no job is lost, a unit has one owner,
epochs only rise, and no task of a failed shell goes on.
"""

import random

import pytest
import trio

from scheduler_fleet import make_request, make_step, open_fleet
from tulippin.jobs import core, unit_shell
from tulippin.jobs.types import JobState

INSTANCES = 3
WORKERS = 6
JOBS = 10
# Probability that an event fails.
FAILURE_PROBABILITY = 0.01
# How long failures are injected.
FAILING_S = 25.0


class PlantedError(Exception):
    """An injected error that no product code raises or handles."""


def inject_errors(monkeypatch, random_source):
    """Make random events fail before or after the state is changed."""
    real = core.reduce

    def reduce(state, event):
        is_due = (
            trio.current_time() < FAILING_S
            and random_source.random() < FAILURE_PROBABILITY
        )
        if is_due and random_source.random() < 0.5:
            raise PlantedError
        effects = real(state, event)
        if is_due:
            raise PlantedError
        return effects

    monkeypatch.setattr(unit_shell.core, 'reduce', reduce)


async def watch_epochs(fleet):
    """Assert that no unit's epoch falls."""
    known = {}
    while True:
        for instance in fleet.instances.values():
            for number, unit in instance.shell.units.items():
                if not unit.is_owner:
                    continue
                epoch = unit.state.ownership.epoch.epoch
                assert epoch >= known.get(number, 0) - 1
                known[number] = max(epoch, known.get(number, 0))
        await trio.sleep(0.05)


@pytest.mark.parametrize('seed', range(6))
def test_failing_units_keep_invariants(
    run_virtual, monkeypatch, contained_failures, seed
):
    random_source = random.Random(seed)

    async def run():
        async with open_fleet(INSTANCES, WORKERS) as fleet:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_epochs, fleet)
                inject_errors(monkeypatch, random_source)
                for number in range(JOBS):
                    step = make_step(2, opportunistic=bool(number % 2))
                    await fleet.submit(
                        f'{number:016x}', make_request(step, run_ms=3000)
                    )
                    await trio.sleep(1)
                    if number == JOBS // 2:
                        name = fleet.get_owner() or 'i0'
                        with trio.move_on_after(5):
                            await fleet.stop(name)
                        if name in fleet.instances:
                            fleet.kill(name)
                        await fleet.start(name)
                await trio.sleep(FAILING_S)
                for number in range(JOBS):
                    await fleet.wait_state(
                        f'{number:016x}', JobState.COMPLETED, limit_s=120
                    )
                nursery.cancel_scope.cancel()
            owners = [one for one in fleet.instances.values() if one.is_owner]
            assert len(owners) == 1
            for instance in fleet.instances.values():
                tasks = instance.shell._nursery.child_tasks
                assert len(tasks) < 60
            fleet.check()

    run_virtual(run, seed=seed)
    assert contained_failures
    contained_failures.clear()
