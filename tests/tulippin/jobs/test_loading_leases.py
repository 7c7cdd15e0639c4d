"""Lease of an owner that is loading its unit.

The owner's state is empty until jobs and workers are read, while it renews
its lease already. The lease must not publish that no job waits, or that no
worker can run a job, while a unit is slow to load.
"""

import random

import attrs
import pytest
import trio

from scheduler_fleet import QUEUE, make_request, make_step, open_fleet
from tulippin.jobs import _home_selection
from tulippin.jobs.records import (
    LayoutRecord,
    LeaseRecord,
    Unit,
    UnitCapacity,
)
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import JobRequest, Step
from tulippin.platform.standin_store import StoreView
from tulippin.types import Resources

LIMIT_MS = 3000
NOW_MS = 10_000


@pytest.fixture
def stalled_clients(monkeypatch):
    """Return a set; clients in it do not finish loading the unit."""
    stalled_clients = set()
    inner = StoreView.read_rows

    async def read_rows(view, table, *arguments):
        while (
            view.client in stalled_clients and table == Unit(0).progress_table
        ):
            await trio.sleep(0.01)
        return await inner(view, table, *arguments)

    monkeypatch.setattr(StoreView, 'read_rows', read_rows)
    return stalled_clients


async def submit_waiting(fleet, count):
    """Submit jobs that are too large for any worker."""
    large = make_request(make_step(cpu=1_000_000))
    intake = next(iter(fleet.instances.values())).intake
    for number in range(count):
        await intake.submit(f'{number:016x}', QUEUE, large, LIMIT_MS)
    await trio.sleep(2)


async def stop_planned(fleet, name):
    await fleet.instances[name].shell.leave()
    fleet.kill(name)


async def wait_loading(fleet):
    with trio.fail_after(6):
        while True:
            for name, instance in fleet.instances.items():
                if instance.state.ownership.phase is Phase.LOADING:
                    return name
            await trio.sleep(0.005)


async def watch_waiting(fleet, for_s):
    """Return the counts of waiting jobs reported by standby instances."""
    counts = set()
    with trio.move_on_after(for_s):
        while True:
            for one in fleet.instances.values():
                if one.state.ownership.phase is Phase.STANDING_BY:
                    counts.add(one.intake.count_waiting(QUEUE))
            await trio.sleep(0.02)
    return counts


@pytest.mark.parametrize('is_planned_stop', [True, False])
def test_waiting_jobs_are_counted_while_unit_loads_slowly(
    run_virtual, stalled_clients, is_planned_stop
):
    async def run():
        async with open_fleet(instances=3, workers=1) as fleet:
            await submit_waiting(fleet, 4)
            stalled_clients.update(fleet.instances)
            if is_planned_stop:
                await stop_planned(fleet, fleet.get_owner())
            else:
                fleet.kill(fleet.get_owner())
            await wait_loading(fleet)
            counts = await watch_waiting(fleet, 2.5)
            stalled_clients.clear()
            return counts | await watch_waiting(fleet, 2)

    assert run_virtual(run) == {4}


def test_waiting_jobs_are_counted_if_loading_owner_stops(
    run_virtual, stalled_clients
):
    async def run():
        async with open_fleet(instances=4, workers=1) as fleet:
            await submit_waiting(fleet, 4)
            stalled_clients.update(fleet.instances)
            await stop_planned(fleet, fleet.get_owner())
            await stop_planned(fleet, await wait_loading(fleet))
            counts = await watch_waiting(fleet, 2)
            stalled_clients.clear()
            return counts | await watch_waiting(fleet, 2)

    assert run_virtual(run) == {4}


def test_capacity_is_published_while_unit_loads(run_virtual, stalled_clients):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await trio.sleep(2)
            stalled_clients.update(fleet.instances)
            await stop_planned(fleet, fleet.get_owner())
            name = await wait_loading(fleet)
            await trio.sleep(1.2)
            loading = fleet.instances[name].shell.units[0].lease
            stalled_clients.clear()
            await fleet.wait_owner()
            await trio.sleep(1.2)
            return loading, fleet.instances[name].shell.units[0].lease

    loading, loaded = run_virtual(run)
    assert loading.is_loading
    assert not loaded.is_loading
    assert loading.room.capacity_millicores == loaded.room.capacity_millicores
    assert loading.room.labels == loaded.room.labels
    # No task can be started before the unit is loaded.
    assert loading.room.places == ()
    assert loading.room.largest_free == Resources()


# -- choice of a home unit -----------------------------------------------------


@attrs.define
class FakeUnit:
    config: SchedulerConfig
    lease: LeaseRecord
    lease_seen_ms: int = NOW_MS
    is_owner: bool = False


def make_units(*leases):
    return {
        number: FakeUnit(SchedulerConfig('i', 'i:1', unit=Unit(number)), lease)
        for number, lease in enumerate(leases)
    }


def list_chosen_units(units, step):
    layout = LayoutRecord({f'r{number}': number for number in units})
    source = random.Random(1)
    return {
        _home_selection.choose_unit(
            JobRequest('', (step,)),
            units,
            layout,
            _home_selection.RoutedDemand(source),
            NOW_MS,
        )
        for _ in range(100)
    }


def make_lease(*labels, **options):
    room = UnitCapacity(100_000, 0, labels=labels)
    return LeaseRecord('s', 'o', room=room, **options)


# A job must not go to another unit while the only one with its required label
# is being loaded. It would wait there forever, as its home does not change.
def test_loading_unit_is_chosen_for_label_that_only_it_has():
    units = make_units(
        make_lease('a'), make_lease('b', is_loading=True), make_lease('a')
    )
    step = Step(1, Resources(1000, 100), required_label='b')
    assert list_chosen_units(units, step) == {1}


@pytest.mark.parametrize('is_idle', [True, False])
def test_loading_unit_is_not_chosen_if_others_have_capacity(is_idle):
    units = make_units(
        make_lease('a'), make_lease('a', is_loading=True), make_lease('a')
    )
    step = Step(1, Resources(1000, 100), opportunistic=is_idle)
    assert list_chosen_units(units, step) == {0, 2}
