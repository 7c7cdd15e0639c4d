"""Fleets with several units: owners, home units and transfers."""

import collections
import contextlib
import random

import logbook
import pytest
import trio

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.exceptions import UnavailableError
from tulippin.jobs import (
    _lifecycle,
    _rebalancing,
    _row_effects,
    _transfers,
    events,
)
from tulippin.jobs._loop_load import LoopLoad
from tulippin.jobs.types import JobState
from tulippin.jobs.unit_shell import UnitShell

LIMIT_MS = 3000
RACK = 12
CORE = 1000
# A late loop is known after this time with the same units.
LATE_AFTER_MS = 2000
START_INTERVAL_S = 0.17


@contextlib.asynccontextmanager
async def open_units(instances=6, workers=60, rack_size=RACK, **options):
    """Open a fleet whose racks belong to several units."""
    async with open_fleet(
        instances, workers, rack_size=rack_size, **options
    ) as fleet:
        with trio.fail_after(15):
            while (
                len(get_owners(fleet)) < 2 or None in get_owners(fleet).values()
            ):
                await trio.sleep(0.05)
        # Every instance has read every owner's lease.
        await trio.sleep(1)
        yield fleet


def get_owners(fleet):
    """Return the name of each unit's owner, or None."""
    owners = {}
    for name, instance in fleet.instances.items():
        for number, unit in instance.shell.units.items():
            owners.setdefault(number, None)
            if unit.is_owner:
                owners[number] = name
    return owners


async def submit(fleet, job_id, request, queue=QUEUE):
    while True:
        instance = next(iter(fleet.instances.values()))
        try:
            await instance.intake.submit(job_id, queue, request, LIMIT_MS)
        except UnavailableError:
            await trio.sleep(0.1)
            continue
        return


def get_running(fleet):
    """Return the number of current runs of each task."""
    return collections.Counter(
        key
        for worker in fleet.platform.workers.values()
        if worker.is_up
        for key, _ in worker.runs
    )


def test_units_are_spread_over_the_instances(run_virtual):
    async def run():
        async with open_units(6, workers=300, rack_size=30) as fleet:
            assert len(get_owners(fleet)) == 10
            await trio.sleep(25)
            counts = collections.Counter(get_owners(fleet).values())
            assert len(counts) >= 5
            assert max(counts.values()) <= 2

    run_virtual(run)


def test_first_layout_leaves_no_instance_idle_beside_busy_owners(run_virtual):
    async def run():
        large = {'processor_share': 2.15}
        async with open_fleet(6, workers=180, rack_size=30, **large) as fleet:
            await trio.sleep(5)
            counts = collections.Counter(get_owners(fleet).values())
            assert sum(counts.values()) == 6
            assert max(counts.values()) <= 2

    run_virtual(run)


def make_late(instance, monkeypatch, delay_ms):
    """Have the ticks of an instance come late."""
    original = LoopLoad.note_units

    def note_units(load, units, now_ms):
        original(load, units, now_ms)
        if load is instance.shell.load and load.tick_delay_ms == 0:
            is_measured = now_ms - load.began_ms >= LATE_AFTER_MS
            load.tick_delay_ms = delay_ms if is_measured else 0

    monkeypatch.setattr(LoopLoad, 'note_units', note_units)


@contextlib.asynccontextmanager
async def open_single_owner(others=3):
    """Open a fleet in which the first instance owns all three units."""
    options = {'processor_share': 2.15}
    async with open_fleet(1, workers=90, rack_size=30, **options) as fleet:
        with trio.fail_after(15):
            while collections.Counter(get_owners(fleet).values())['i0'] < 3:
                await trio.sleep(0.05)
        for number in range(1, 1 + others):
            await fleet.start(f'i{number}')
        yield fleet


def test_owner_with_a_late_loop_keeps_one_of_its_units(
    run_virtual, monkeypatch
):
    async def run():
        async with open_single_owner() as fleet:
            make_late(fleet.instances['i0'], monkeypatch, delay_ms=20)
            await trio.sleep(45)
            counts = collections.Counter(get_owners(fleet).values())
            assert counts['i0'] == 1
            assert sum(counts.values()) == 3
            assert None not in counts

    run_virtual(run)


def test_owner_that_turns_late_releases_its_units_one_at_a_time(
    run_virtual, monkeypatch
):
    async def run():
        async with open_single_owner() as fleet:
            await trio.sleep(25)
            make_late(fleet.instances['i0'], monkeypatch, delay_ms=20)
            counts = []
            for _ in range(40):
                await trio.sleep(0.1)
                owners = get_owners(fleet)
                counts.append(sum(one == 'i0' for one in owners.values()))
            assert min(counts) >= 2

    run_virtual(run)


@pytest.mark.parametrize('seed', range(4))
def test_units_released_by_late_loops_run_no_task_twice(
    run_virtual, monkeypatch, seed
):
    source = random.Random(seed)
    late_loads = set()
    original = LoopLoad.note_units

    def note_units(load, units, now_ms):
        original(load, units, now_ms)
        is_measured = now_ms - load.began_ms >= LATE_AFTER_MS / 2
        is_late = id(load) in late_loads and is_measured
        load.tick_delay_ms = 30 if is_late else 0

    async def run():
        async with open_units(4, 150, 30, processor_share=2.15) as fleet:
            monkeypatch.setattr(LoopLoad, 'note_units', note_units)
            for number in range(30):
                request = make_request(
                    make_step(4), run_ms=source.randrange(500, 4000)
                )
                await submit(fleet, f'{number:016x}', request)
                if number % 5 == 0:
                    names = source.sample(sorted(fleet.instances), 2)
                    late_loads.clear()
                    for name in names:
                        late_loads.add(id(fleet.instances[name].shell.load))
                if number % 10 == 7:
                    fleet.kill(names[0])
                    await fleet.start(names[0])
                await trio.sleep(source.random() * 2.5)
            late_loads.clear()
            for number in range(30):
                await fleet.wait_done(f'{number:016x}', limit_s=60)
            fleet.check()

    with logbook.TestHandler() as handler:
        run_virtual(run, seed=seed)
    reasons = [one.kwargs.get('why') for one in handler.records]
    assert 'too many units here' in reasons


async def start_sized(fleet, names, processor_share):
    """Start instances of a size, which read the leases at different times."""
    fleet.options['processor_share'] = processor_share
    for name in names:
        await fleet.start(name)
        await trio.sleep(START_INTERVAL_S)


@contextlib.asynccontextmanager
async def open_small_owner(other_share):
    """Open a fleet with two units, of which a small instance owns one."""
    small = {'processor_share': 0.52}
    async with open_fleet(1, workers=60, rack_size=30, **small) as fleet:
        await start_sized(fleet, ['other'], other_share)
        with trio.fail_after(30):
            while set(get_owners(fleet).values()) != {'i0', 'other'}:
                await trio.sleep(0.05)
        await start_sized(fleet, [f'small{n}' for n in range(8)], 0.52)
        yield fleet


def test_small_owner_with_a_late_loop_leaves_its_unit_to_a_large_one(
    run_virtual, monkeypatch
):
    async def run():
        async with open_small_owner(other_share=2.15) as fleet:
            make_late(fleet.instances['i0'], monkeypatch, delay_ms=20)
            await trio.sleep(25)
            assert set(get_owners(fleet).values()) == {'other'}

    run_virtual(run)


def test_late_owner_keeps_its_only_unit_beside_equal_owners(
    run_virtual, monkeypatch
):
    async def run():
        async with open_small_owner(other_share=0.52) as fleet:
            make_late(fleet.instances['i0'], monkeypatch, delay_ms=20)
            await trio.sleep(25)
            assert set(get_owners(fleet).values()) == {'i0', 'other'}

    run_virtual(run)


def test_takeovers_tried_in_an_outage_cost_no_owner_its_unit(run_virtual):
    async def run():
        async with open_fleet(3, workers=90, rack_size=30) as fleet:
            await trio.sleep(10)
            assert len(set(get_owners(fleet).values())) == 3
            fleet.platform.store.trouble.silenced.add('*')
            await trio.sleep(5)
            fleet.platform.store.trouble.silenced.clear()
            await trio.sleep(10)

    with logbook.TestHandler() as handler:
        run_virtual(run)
    messages = [one.message for one in handler.records]
    assert 'unit takeover failed' in messages
    assert 'release unit' not in messages


def test_owner_on_time_keeps_its_units(run_virtual, monkeypatch):
    async def run():
        async with open_single_owner() as fleet:
            make_late(fleet.instances['i0'], monkeypatch, delay_ms=9)
            await trio.sleep(45)
            assert set(get_owners(fleet).values()) == {'i0'}

    run_virtual(run)


def test_jobs_are_spread_over_the_units_and_complete(run_virtual):
    async def run():
        async with open_units() as fleet:
            for number in range(40):
                request = make_request(make_step(4), make_step(2, after=(0,)))
                await submit(fleet, f'{number:016x}', request)
            homes = {
                number: sum(
                    len(instance.shell.units[number].state.jobs)
                    for instance in fleet.instances.values()
                )
                for number in get_owners(fleet)
            }
            assert min(homes.values()) > 0
            for number in range(40):
                await fleet.wait_done(f'{number:016x}')
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('seed', range(4))
def test_every_owner_is_lost_in_turn(run_virtual, seed):
    async def run():
        async with open_units() as fleet:
            source = fleet.platform.store.source
            source.seed(seed)
            for number in range(30):
                request = make_request(
                    make_step(3), run_ms=source.randrange(200, 3000)
                )
                queue = source.choice((QUEUE, LOW_PRIORITY_QUEUE))
                await submit(fleet, f'{number:016x}', request, queue)
                await trio.sleep(source.random() * 0.4)
                if number % 5:
                    continue
                name = source.choice(list(fleet.instances))
                if source.random() < 0.5:
                    await fleet.instances[name].shell.leave()
                fleet.kill(name)
                await fleet.start(name)
            for number in range(30):
                await fleet.wait_done(f'{number:016x}', limit_s=60)
            fleet.check()

    run_virtual(run, seed=seed)


def make_long_running(count, cores=10):
    step = make_step(count, cores * CORE, long_running=True)
    return make_request(step, lasts=True)


async def overfill_one_unit(fleet, count=60):
    """Submit more tasks to unit 0 than fit there.

    Each worker fits one task of ten cores.
    """
    for instance in fleet.instances.values():
        instance.shell.choose_unit = lambda request, service: 0
    await submit(fleet, f'{1:016x}', make_long_running(count))


def test_tasks_without_capacity_run_in_other_units(run_virtual):
    async def run():
        async with open_units() as fleet:
            await overfill_one_unit(fleet)
            with trio.fail_after(6):
                while len(get_running(fleet)) < 60:
                    await trio.sleep(0.05)
            assert max(get_running(fleet).values()) == 1
            await trio.sleep(3)
            assert len(get_running(fleet)) == 60
            fleet.check()

    run_virtual(run)


def test_without_transfers_tasks_would_wait(run_virtual, monkeypatch):
    monkeypatch.setattr(_transfers, '_choose_unit', lambda *_, **__: None)
    monkeypatch.setattr(_rebalancing, 'choose_units', lambda state: {})

    async def run():
        async with open_units() as fleet:
            await overfill_one_unit(fleet)
            await trio.sleep(6)
            assert len(get_running(fleet)) < 60

    run_virtual(run)


def test_cancel_reaches_tasks_in_all_units(run_virtual):
    async def run():
        async with open_units() as fleet:
            await overfill_one_unit(fleet)
            await fleet.wait_running(60)
            intake = next(iter(fleet.instances.values())).intake
            assert await intake.cancel(f'{1:016x}', QUEUE, LIMIT_MS)
            with trio.fail_after(2):
                while get_running(fleet):
                    await trio.sleep(0.05)
            await fleet.wait_state(f'{1:016x}', JobState.CANCELLED)
            await trio.sleep(3)
            assert not get_running(fleet)
            fleet.check()

    run_virtual(run)


async def run_crashing_guest(fleet):
    """Transfer a crashing task to another unit; return the crash events."""
    fleet.platform.restart_delay_ms = 1500
    await overfill_one_unit(fleet, 45)
    await fleet.wait_running(45)
    step = make_step(1, 10 * CORE, long_running=True)
    crashing = make_request(step, lasts=True, crashes_after_ms=10)
    await submit(fleet, f'{2:016x}', crashing)
    with trio.move_on_after(25):
        await fleet.wait_state(f'{2:016x}', JobState.FAILED, 30)
    history = fleet.platform.history
    return [event for event in history if event.kind == 'crashed']


def test_task_that_crashes_in_another_unit_fails_its_job(run_virtual):
    async def run():
        async with open_units() as fleet:
            crashes = await run_crashing_guest(fleet)
            assert 2 <= len(crashes) <= 5
            for name in fleet.instances:
                await fleet.wait_state(f'{2:016x}', JobState.FAILED, 2, name)
            await trio.sleep(6)
            history = fleet.platform.history
            assert sum(one.kind == 'crashed' for one in history) == len(crashes)
            assert len(get_running(fleet)) == 45
            fleet.check()

    run_virtual(run)


def test_without_failure_reports_the_job_would_not_fail(
    run_virtual, monkeypatch
):
    monkeypatch.setattr(_lifecycle, '_notify_failed', lambda *_: None)

    async def run():
        async with open_units() as fleet:
            await run_crashing_guest(fleet)
            intake = next(iter(fleet.instances.values())).intake
            return await intake.get_state(f'{2:016x}')

    assert run_virtual(run) is not JobState.FAILED


def test_transferred_tasks_survive_the_loss_of_all_owners(run_virtual):
    async def run():
        async with open_units() as fleet:
            await overfill_one_unit(fleet)
            await fleet.wait_running(60)
            for name in list(fleet.instances):
                fleet.kill(name)
                await fleet.start(name)
                await trio.sleep(0.3)
            await trio.sleep(8)
            assert len(get_running(fleet)) == 60
            assert max(get_running(fleet).values()) == 1
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('seed', range(6))
def test_owner_lost_during_a_transfer(run_virtual, seed):
    async def run():
        async with open_units() as fleet:
            fleet.platform.store.source.seed(seed)
            fleet.platform.store.trouble.lost_answer_share = 0.1
            await overfill_one_unit(fleet)
            await trio.sleep(0.75 + 0.06 * seed)
            name = get_owners(fleet)[0]
            if name:
                fleet.kill(name)
            await trio.sleep(1)
            fleet.platform.store.trouble.lost_answer_share = 0
            with trio.fail_after(20):
                while len(get_running(fleet)) < 60:
                    await trio.sleep(0.05)
            assert max(get_running(fleet).values()) == 1
            fleet.check()

    run_virtual(run, seed=seed)


def test_units_are_notified_once_a_transfer_is_durable(
    run_virtual, monkeypatch
):
    notified = []

    async def make_pass(effect, shell):
        durable = shell.state.jobs[effect.job_id].durable
        notified.append(set(effect.record.passes) <= set(durable.passed))
        return await original(effect, shell)

    original = _row_effects._make_pass
    monkeypatch.setattr(_row_effects, '_make_pass', make_pass)

    async def run():
        async with open_units() as fleet:
            await overfill_one_unit(fleet)
            await fleet.wait_running(60)

    run_virtual(run)
    assert notified
    assert all(notified)


def teach(instance, number, image='batch'):
    """Teach a unit's owner that an image disturbs another."""
    state = instance.shell.units[number].state
    for _ in range(30):
        state.model.learn('serving', {image: 1.0}, 0.3)


def get_weight(instance, number):
    state = instance.shell.units[number].state
    return state.model.get_weight('serving', 'batch')


def test_new_owner_starts_with_the_previous_model(run_virtual):
    async def run():
        async with open_fleet(instances=2) as fleet:
            owner = fleet.get_owner()
            teach(fleet.instances[owner], 0)
            await trio.sleep(2.5)
            fleet.kill(owner)
            await fleet.wait_owner()
            taker = fleet.instances[fleet.get_owner()]
            assert get_weight(taker, 0) > 0.2

    run_virtual(run)


def test_planned_stop_hands_over_the_latest_model(run_virtual):
    async def run():
        async with open_fleet(instances=2) as fleet:
            owner = fleet.get_owner()
            teach(fleet.instances[owner], 0)
            await fleet.instances[owner].shell.leave()
            fleet.kill(owner)
            await fleet.wait_owner()
            taker = fleet.instances[fleet.get_owner()]
            assert get_weight(taker, 0) > 0.2

    run_virtual(run)


def test_owners_receive_the_models_of_others(run_virtual):
    async def run():
        async with open_units() as fleet:
            owners = get_owners(fleet)
            teach(fleet.instances[owners[0]], 0)
            other = next(number for number in owners if number)
            assert get_weight(fleet.instances[owners[other]], other) < 0.1
            await trio.sleep(6)
            assert get_weight(fleet.instances[owners[other]], other) > 0.2

    run_virtual(run)


# Processing time per event, more than the owner can keep up with.
EVENT_COST_S = 0.02


def test_ownership_settles_when_all_instances_have_too_many_units(run_virtual):
    async def run():
        async with open_units(2, workers=300, rack_size=30) as fleet:
            await trio.sleep(30)
            early = count_epochs(fleet)
            await trio.sleep(60)
            middle = count_epochs(fleet)
            await trio.sleep(60)
            late = count_epochs(fleet)
            assert late - middle <= middle - early
            assert late - middle <= 20

    run_virtual(run)


def count_epochs(fleet):
    """Return how often units have changed their owner in total."""
    epochs = collections.Counter()
    for instance in fleet.instances.values():
        for number, unit in instance.shell.units.items():
            epoch = unit.state.ownership.epoch
            epochs[number] = max(epochs[number], epoch.epoch if epoch else 0)
    return epochs.total()


async def run_slow_owner(fleet, monkeypatch, clock):
    """Load an owner with slow event processing; return the last epoch."""
    original = UnitShell.step

    def step(unit, event):
        original(unit, event)
        if unit.is_claimed:
            clock.jump(EVENT_COST_S)

    monkeypatch.setattr(UnitShell, 'step', step)
    for number in range(60):
        request = make_request(make_step(8), run_ms=300)
        await submit(fleet, f'{number:016x}', request)
    await trio.sleep(8)
    epochs = [
        unit.state.ownership.epoch.epoch
        for instance in fleet.instances.values()
        for unit in instance.shell.units.values()
        if unit.state.ownership.epoch
    ]
    return max(epochs)


def test_owner_that_falls_behind_keeps_its_unit(run_virtual, monkeypatch):
    async def run():
        clock = trio.lowlevel.current_clock()
        async with open_fleet(instances=3, workers=20) as fleet:
            assert await run_slow_owner(fleet, monkeypatch, clock) == 1

    run_virtual(run)


def test_renewals_queued_behind_other_events_would_lose_the_unit(
    run_virtual, monkeypatch
):
    monkeypatch.setattr(events, 'OWNERSHIP_EVENTS', ())

    async def run():
        clock = trio.lowlevel.current_clock()
        async with open_fleet(instances=3, workers=20) as fleet:
            assert await run_slow_owner(fleet, monkeypatch, clock) > 1

    run_virtual(run)
