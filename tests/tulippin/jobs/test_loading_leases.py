"""What the lease of an owner tells that still loads its unit.

Its own state is empty until the jobs and workers are read. It renews its
lease meanwhile, and a unit that is slow to load was said to have no job
that waits, and no worker that a job could run on.
"""

import random

import attrs
import pytest
import trio

from fleet_of_schedulers import QUEUE, make_request, make_step, open_fleet
from tulippin.jobs import _balancing
from tulippin.jobs.records import (
    LayoutRecord,
    LeaseRecord,
    Unit,
    UnitRoom,
)
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import JobRequest, Step
from tulippin.platform.standin_store import StoreView
from tulippin.types import Resources

LIMIT_MS = 3000
NOW_MS = 10_000


@pytest.fixture
def held(monkeypatch):
    """Return the clients whose loading of the unit does not end."""
    held = set()
    inner = StoreView.read_rows

    async def read_rows(view, table, *arguments):
        while view.client in held and table == Unit(0).progress_table:
            await trio.sleep(0.01)
        return await inner(view, table, *arguments)

    monkeypatch.setattr(StoreView, 'read_rows', read_rows)
    return held


async def submit_waiting(fleet, count):
    """Hand in jobs that no worker has room for."""
    large = make_request(make_step(cpu=1_000_000))
    intake = next(iter(fleet.instances.values())).intake
    for number in range(count):
        await intake.submit(f'{number:016x}', QUEUE, large, LIMIT_MS)
    await trio.sleep(2)


async def leave(fleet, name):
    await fleet.instances[name].shell.leave()
    fleet.kill(name)


async def find_loading(fleet):
    with trio.fail_after(6):
        while True:
            for name, instance in fleet.instances.items():
                if instance.state.ownership.phase is Phase.LOADING:
                    return name
            await trio.sleep(0.005)


async def watch_waiting(fleet, for_s):
    """Return the counts that instances told that do not load the unit."""
    counts = set()
    with trio.move_on_after(for_s):
        while True:
            for one in fleet.instances.values():
                if one.state.ownership.phase is Phase.STANDING_BY:
                    counts.add(one.intake.count_waiting(QUEUE))
            await trio.sleep(0.02)
    return counts


@pytest.mark.parametrize('is_planned', [True, False])
def test_jobs_that_wait_are_counted_while_a_unit_is_slow_to_load(
    run_virtual, held, is_planned
):
    async def run():
        async with open_fleet(instances=3, workers=1) as fleet:
            await submit_waiting(fleet, 4)
            held.update(fleet.instances)
            if is_planned:
                await leave(fleet, fleet.get_owner())
            else:
                fleet.kill(fleet.get_owner())
            await find_loading(fleet)
            counts = await watch_waiting(fleet, 2.5)
            held.clear()
            return counts | await watch_waiting(fleet, 2)

    assert run_virtual(run) == {4}


def test_jobs_that_wait_are_counted_where_a_taker_leaves_before_it_loaded(
    run_virtual, held
):
    async def run():
        async with open_fleet(instances=4, workers=1) as fleet:
            await submit_waiting(fleet, 4)
            held.update(fleet.instances)
            await leave(fleet, fleet.get_owner())
            await leave(fleet, await find_loading(fleet))
            counts = await watch_waiting(fleet, 2)
            held.clear()
            return counts | await watch_waiting(fleet, 2)

    assert run_virtual(run) == {4}


def test_room_is_told_on_while_a_unit_is_loaded(run_virtual, held):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await trio.sleep(2)
            held.update(fleet.instances)
            await leave(fleet, fleet.get_owner())
            name = await find_loading(fleet)
            await trio.sleep(1.2)
            loading = fleet.instances[name].shell.units[0].lease
            held.clear()
            await fleet.wait_owner()
            await trio.sleep(1.2)
            return loading, fleet.instances[name].shell.units[0].lease

    loading, loaded = run_virtual(run)
    assert loading.is_loading
    assert not loaded.is_loading
    assert loading.room.capacity_millicores == loaded.room.capacity_millicores
    assert loading.room.labels == loaded.room.labels
    # Nothing is started there yet.
    assert loading.room.places == ()
    assert loading.room.largest_free == Resources()


# -- homes -------------------------------------------------------------------


@attrs.define
class SeenUnit:
    config: SchedulerConfig
    lease: LeaseRecord
    lease_seen_ms: int = NOW_MS
    is_owner: bool = False


def make_units(*leases):
    return {
        number: SeenUnit(SchedulerConfig('i', 'i:1', unit=Unit(number)), lease)
        for number, lease in enumerate(leases)
    }


def choose(units, step):
    layout = LayoutRecord({f'r{number}': number for number in units})
    source = random.Random(1)
    return {
        _balancing.choose_unit(
            JobRequest('', (step,)),
            units,
            layout,
            _balancing.Demands(source),
            NOW_MS,
        )
        for _ in range(100)
    }


def make_lease(*labels, **options):
    room = UnitRoom(100_000, 0, labels=labels)
    return LeaseRecord('s', 'o', room=room, **options)


# A job that asks for a label went to any unit while the only one that has it
# was loaded, and waits there for good: a job does not leave its home.
def test_job_waits_for_the_loading_unit_that_alone_has_its_label():
    units = make_units(
        make_lease('a'), make_lease('b', is_loading=True), make_lease('a')
    )
    step = Step(1, Resources(1000, 100), required_label='b')
    assert choose(units, step) == {1}


@pytest.mark.parametrize('is_idle', [True, False])
def test_unit_that_is_loaded_gets_no_job_though_it_tells_its_room(is_idle):
    units = make_units(
        make_lease('a'), make_lease('a', is_loading=True), make_lease('a')
    )
    step = Step(1, Resources(1000, 100), opportunistic=is_idle)
    assert choose(units, step) == {0, 2}
