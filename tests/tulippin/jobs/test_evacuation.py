"""Evacuated failure domains: nothing is started there, and work goes on."""

import contextlib

import logbook
import pytest
import trio

from scheduler_fleet import (
    get_max_downtime_ms,
    make_long_running_request,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import SchedulerShell, _evacuation
from tulippin.platform.feeds import PlatformFeeds
from tulippin.platform.standin import get_now_ms
from tulippin.platform.standin_store import StandinStore

RACK = 12
# Time for an evacuation to reach every instance.
NOTICE_S = 0.2


@contextlib.asynccontextmanager
async def open_domains(count=3, instances=4, rack_size=RACK, **options):
    """Open a fleet of ``count`` failure domains, each with units of its own."""
    async with open_fleet(
        instances,
        count * 2 * rack_size,
        rack_size=rack_size,
        racks_per_domain=2,
        **options,
    ) as fleet:
        with trio.fail_after(15):
            while not are_all_owned(fleet):
                await trio.sleep(0.05)
        await trio.sleep(1)
        yield fleet


def are_all_owned(fleet):
    owned = {
        number
        for instance in fleet.instances.values()
        for number, unit in instance.shell.units.items()
        if unit.is_owner and not unit.state.ownership.must_confirm
    }
    numbers = next(iter(fleet.instances.values())).shell.units
    return len(owned) == len(numbers) > 1


def list_starts(fleet, domain, since_ms):
    return [
        event
        for event in fleet.platform.history
        if event.kind == 'started'
        and event.at_ms > since_ms
        and fleet.platform.workers[event.worker_id].failure_domain == domain
    ]


def list_logged(handler, message, field):
    return [
        record.kwargs[field]
        for record in handler.records
        if record.message == message
    ]


async def submit_many(fleet, count, *, offset=0, pause_s=0.0, **plan):
    job_ids = [f'{offset + number:016x}' for number in range(count)]
    for job_id in job_ids:
        request = make_request(make_step(4), make_step(4, after=(0,)), **plan)
        await fleet.submit(job_id, request)
        await trio.sleep(pause_s)
    return job_ids


async def run_many(fleet, count, **options):
    """Submit jobs, and wait until they are done."""
    for job_id in await submit_many(fleet, count, **options):
        await fleet.wait_done(job_id)


def test_nothing_is_started_in_an_evacuated_domain(run_virtual):
    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('hall0')
            await trio.sleep(NOTICE_S)
            since_ms = get_now_ms()
            await run_many(fleet, 40, run_ms=500)
            assert not list_starts(fleet, 'hall0', since_ms)
            fleet.platform.end_evacuation('hall0')
            await trio.sleep(1)
            await run_many(fleet, 40, offset=100)
            assert list_starts(fleet, 'hall0', since_ms)
            fleet.check()

    run_virtual(run)


def test_without_the_check_tasks_would_start_there(run_virtual, monkeypatch):
    monkeypatch.setattr(_evacuation, 'is_closed', lambda worker, state: False)
    monkeypatch.setattr(
        SchedulerShell, 'list_evacuated_units', lambda self: frozenset()
    )

    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('hall0')
            await trio.sleep(6)
            await submit_many(fleet, 40)
            await trio.sleep(1)
            assert fleet.platform.list_starts_in_evacuated()

    run_virtual(run)


def test_runs_in_an_evacuated_domain_end_by_themselves(run_virtual):
    async def run():
        async with open_domains() as fleet:
            job_ids = await submit_many(fleet, 30, run_ms=3000)
            with trio.fail_after(5):
                while fleet.count_running() < 120:
                    await trio.sleep(0.02)
            fleet.platform.evacuate('hall0')
            for job_id in job_ids:
                await fleet.wait_done(job_id)
            first_runs = [
                event
                for event in fleet.platform.history
                if event.kind == 'started' and event.key.step == 0
            ]
            assert len(first_runs) == 120
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('how', ['killed', 'all killed', 'stopped'])
def test_owner_that_takes_over_starts_nothing_there(run_virtual, how):
    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('hall0')
            await submit_many(fleet, 20, run_ms=300)
            names = list(fleet.instances)
            for name in names if how == 'all killed' else names[:2]:
                if how == 'stopped':
                    await fleet.instances[name].shell.leave()
                fleet.kill(name)
            for number in range(2):
                await fleet.start(f'n{number}')
            await run_many(fleet, 30, offset=100, pause_s=0.1)
            fleet.check()

    run_virtual(run)


def test_evacuation_that_precedes_the_first_start_holds(run_virtual):
    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('hall0')
            fleet.platform.store.drop_change_log()
            for name in list(fleet.instances):
                fleet.kill(name)
            await trio.sleep(6)
            for number in range(3):
                await fleet.start(f'n{number}')
            await run_many(fleet, 30)
            fleet.check()

    run_virtual(run)


def test_lost_history_of_the_store_ends_no_evacuation(run_virtual):
    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('hall0')
            await trio.sleep(NOTICE_S)
            fleet.platform.store.drop_change_log()
            await trio.sleep(3)
            shells = [one.shell for one in fleet.instances.values()]
            assert [set(one.evacuated_domains) for one in shells] == [
                {'hall0'} for _ in shells
            ]
            fleet.platform.end_evacuation('hall0')
            fleet.platform.store.drop_change_log()
            await trio.sleep(3)
            assert not any(one.evacuated_domains for one in shells)

    run_virtual(run)


def test_start_that_waits_for_its_record_goes_elsewhere(run_virtual):
    """Guards against orders to a domain evacuated before they were sent."""

    async def run():
        async with open_domains() as fleet:
            fleet.platform.store.trouble.write_duration_s = 0.3
            fleet.platform.evacuate('hall0')
            since_ms = get_now_ms()
            request = make_long_running_request(30, cpu=2000)
            await fleet.submit(f'{1:016x}', request)
            await trio.sleep(0.5)
            fleet.platform.evacuate('hall1')
            await trio.sleep(NOTICE_S)
            late_ms = get_now_ms()
            await fleet.wait_running(30)
            assert not list_starts(fleet, 'hall0', since_ms + 200)
            assert not list_starts(fleet, 'hall1', late_ms)
            fleet.check()

    run_virtual(run)


def test_work_waits_while_all_domains_are_evacuated(run_virtual):
    async def run():
        async with open_domains(2) as fleet:
            for domain in ('hall0', 'hall1'):
                fleet.platform.evacuate(domain)
            await trio.sleep(NOTICE_S)
            job_ids = await submit_many(fleet, 10)
            await trio.sleep(3)
            assert not fleet.count_running()
            fleet.platform.end_evacuation('hall1')
            for job_id in job_ids:
                await fleet.wait_done(job_id)
            fleet.check()

    with logbook.TestHandler() as handler:
        run_virtual(run)
    refused = list_logged(handler, 'tasks wait for room', 'refused')
    assert refused
    assert all(set(one) == {'evacuated'} for one in refused)


def test_long_running_tasks_there_keep_running(run_virtual):
    async def run():
        async with open_domains() as fleet:
            request = make_long_running_request(60, cpu=2000)
            await fleet.submit(f'{1:016x}', request)
            await fleet.wait_running(60)
            fleet.platform.evacuate('hall0')
            await trio.sleep(10)
            assert fleet.count_running() == 60
            assert get_max_downtime_ms(fleet, f'{1:016x}') == 0
            fleet.check()

    run_virtual(run)


def test_job_with_data_in_an_evacuated_domain_runs_elsewhere(run_virtual):
    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('hall0')
            await trio.sleep(1)
            step = make_step(2, preferred_rack='r0')
            await fleet.submit(f'{1:016x}', make_request(step))
            await fleet.wait_done(f'{1:016x}', limit_s=5)
            fleet.check()

    run_virtual(run)


# -- rows ----------------------------------------------------------------------


def read_settings(run_virtual, *rows):
    """Return the settings read from rows, and the messages logged."""
    found = []

    async def run():
        store = StandinStore()
        for key, value in rows:
            store.write('op', '', key, value)
        feeds = PlatformFeeds(store.get_view('i0'))
        found.append(await feeds.read_settings())
        found.append(await feeds.follow_settings(0, 0))

    with logbook.TestHandler() as handler:
        run_virtual(run)
    return found, [record.message for record in handler.records]


def test_evacuations_are_read_by_their_keys(run_virtual):
    (read, followed), lines = read_settings(
        run_virtual,
        ('config', b'{"Version":3}'),
        ('evacuate/hall0', b'{}'),
        ('evacuate/hall1', b'{}'),
        ('evacuate/hall1', None),
        ('evacuate/hall0', b'{"reason":1}'),
        ('wave/1', b'{}'),
    )
    assert read.configuration.version == followed.configuration.version == 3
    assert read.evacuations == {'hall0': True}
    assert followed.evacuations == {'hall0': True, 'hall1': False}
    assert lines == []


@pytest.mark.parametrize('value', [b'', b'[]', b'{', b'\xff', b'7'])
def test_malformed_evacuation_is_logged_and_applies(run_virtual, value):
    (read, _), lines = read_settings(
        run_virtual,
        ('config', b'{"Version":3}'),
        ('evacuate/hall0', value),
    )
    assert read.configuration.version == 3
    assert read.evacuations == {'hall0': True}
    assert lines == ['evacuation unreadable'] * 2


def test_evacuation_of_no_domain_is_logged_and_ignored(run_virtual):
    (read, _), lines = read_settings(run_virtual, ('evacuate/', b'{}'))
    assert read.evacuations == {}
    assert lines == ['evacuation unreadable'] * 2


def test_evacuation_of_an_unknown_domain_changes_nothing(run_virtual):
    async def run():
        async with open_domains() as fleet:
            fleet.platform.evacuate('nowhere')
            fleet.platform.evacuate('nowhere')
            await trio.sleep(NOTICE_S)
            await run_many(fleet, 30)
            started_in = {
                fleet.platform.workers[event.worker_id].failure_domain
                for event in fleet.platform.history
                if event.kind == 'started'
            }
            assert started_in == {'hall0', 'hall1', 'hall2'}

    with logbook.TestHandler() as handler:
        run_virtual(run)
    unknown = list_logged(handler, 'evacuations changed', 'unknown')
    assert unknown == [['nowhere']] * 4
