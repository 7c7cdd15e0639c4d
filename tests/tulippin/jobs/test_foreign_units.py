"""Rows of a unit that another writer got wrong, met by running instances."""

import json

import logbook
import msgspec
import pytest
import trio

from fleet_of_schedulers import (
    QUEUE,
    make_config_body,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.codec_json import encode
from tulippin.exceptions import UnavailableError
from tulippin.jobs.records import (
    EpochRecord,
    HomeRecord,
    LayoutRecord,
    LeaseRecord,
    ProgressRecord,
    get_jobs_part,
)
from tulippin.jobs.types import JobState, Queue
from tulippin.platform.wire import RouteBody

LIMIT_MS = 3000
JOB = f'{1:016x}'
OTHER = f'{2:016x}'
WRONG = {
    'empty': b'',
    'cut off': b'{"session_id":"x"',
    'not text': b'{"session_id":"\xff"}',
    'a list': b'[1]',
    'no fields': b'{}',
    'other fields': b'{"x":1}',
    'random bytes': bytes(range(256)),
    'deep': b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
}
LEASES = {
    **WRONG,
    'waits below none': encode(LeaseRecord('a', 'b', 1, waiting={'q': -1})),
    'renewed below none': encode(LeaseRecord('a', 'b', -1)),
    'waiting is a text': b'{"session_id":"a","instance_id":"b","waiting":"x"}',
}
EPOCHS = {
    **WRONG,
    'below none': encode(EpochRecord(-1, 'x')),
    'none': encode(EpochRecord(0, 'x')),
    'above any': encode(EpochRecord(2**62, 'x')),
    'above any number': b'{"epoch":1' + b'0' * 40 + b',"session_id":"x"}',
}
LAYOUTS = {
    **WRONG,
    'unit below none': encode(LayoutRecord({'r1': -1})),
    'unit above any': encode(LayoutRecord({'r1': 10**9})),
    'unit is a text': b'{"racks":{"r1":"0"}}',
}


async def submit(fleet, job_id, request=None, by=None):
    name = by or next(iter(fleet.instances))
    intake = fleet.instances[name].intake
    await intake.submit(job_id, QUEUE, request or make_request(), LIMIT_MS)


def count_starts(fleet, job_id):
    return sum(
        event.kind == 'started' and event.key.job_id == job_id
        for event in fleet.platform.history
    )


def count_lines(handler, message, **fields):
    return sum(
        record.message == message and fields.items() <= record.kwargs.items()
        for record in handler.records
    )


# -- the list of workers ------------------------------------------------------


@pytest.mark.parametrize('kind', ['state', 'address', 'unreadable'])
def test_worker_whose_entry_turned_wrong_keeps_its_runs_and_gets_no_more(
    run_virtual, monkeypatch, kind
):
    async def run():
        async with open_fleet(workers=1) as fleet:
            worker = fleet.platform.workers['w0']
            beat = worker.make_body

            def spoil(sequence):
                body = json.loads(beat(sequence))
                if kind == 'state':
                    body['State'] = 'odd'
                elif kind == 'address':
                    body['Address'] = 'nowhere'
                else:
                    return b'\xff'
                return json.dumps(body).encode()

            await submit(fleet, JOB, make_request(make_step(2), run_ms=9000))
            await fleet.wait_running(2)
            monkeypatch.setattr(
                type(worker), 'make_body', lambda _, n: spoil(n)
            )
            fleet.platform.beat(worker)
            await trio.sleep(1)
            await submit(fleet, OTHER)
            await trio.sleep(5)
            assert count_starts(fleet, OTHER) == 0
            assert fleet.count_running() == 2
            monkeypatch.undo()
            fleet.platform.beat(worker)
            await fleet.wait_done(OTHER)
            await fleet.wait_done(JOB)
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


def test_successor_waits_for_a_worker_with_a_wrong_entry(
    run_virtual, monkeypatch
):
    """What runs there is found by the roster, and is not started twice."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            step = make_step(4, 8000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(4)
            worker = fleet.platform.workers['w0']
            make_body = type(worker).make_body

            def spoil(one, sequence):
                if one is worker:
                    return b'\xff'
                return make_body(one, sequence)

            monkeypatch.setattr(type(worker), 'make_body', spoil)
            fleet.platform.beat(worker)
            await trio.sleep(1)
            fleet.kill(fleet.get_owner())
            await fleet.wait_owner()
            await trio.sleep(10)
            assert fleet.count_running() == 4
            assert count_starts(fleet, JOB) == 4
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('address', ['10.9.0.1:80', '10.6.6.6:80'])
def test_entry_with_the_address_of_another_worker_costs_no_run(
    run_virtual, address
):
    async def run():
        async with open_fleet(workers=2) as fleet:
            step = make_step(2, 9000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            worker = fleet.platform.workers['w0']
            for _ in range(5):
                body = json.loads(worker.make_body(1))
                body['Address'] = address
                value = json.dumps(body).encode()
                fleet.platform.store.write('servers', '', 'w0', value)
                await trio.sleep(1.7)
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 2
            assert fleet.count_running() == 2
            fleet.check()

    run_virtual(run)


def test_worker_first_listed_with_a_wrong_address_is_used_in_the_end(
    run_virtual,
):
    async def run():
        async with open_fleet(workers=1) as fleet:
            fleet.platform.workers['w0'].crash()
            fleet.platform.remove('w0')
            store = fleet.platform.store
            late = fleet.platform.add_worker('w1', is_up=False)
            body = json.loads(late.make_body(1))
            body['Address'] = '10.6.6.6:80'
            store.write('servers', '', 'w1', json.dumps(body).encode())
            await trio.sleep(2)
            late.is_up = True
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)

    run_virtual(run)


def list_rostered(fleet):
    row = fleet.platform.store.rows['units', 'u0', 'roster']
    return set(json.loads(row.value)['addresses'])


@pytest.mark.parametrize('rack', ['r1', 'r9'])
def test_worker_of_a_service_without_a_name_gets_no_order(run_virtual, rack):
    async def run():
        async with open_fleet(workers=1) as fleet:
            worker = fleet.platform.add_worker(
                'w9', service='odd', labels=('a', rack)
            )
            await trio.sleep(4)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            assert worker.fence == 0
            assert list_rostered(fleet) == {'w0'}
            layout = fleet.platform.store.rows['units', 'layout', 'layout']
            assert json.loads(layout.value)['racks'] == {'r1': 0}

    run_virtual(run)


@pytest.mark.parametrize('rack', ['r1', 'r9'])
def test_worker_is_used_once_a_configuration_names_its_service(
    run_virtual, rack
):
    async def run():
        async with open_fleet(workers=1) as fleet:
            fleet.platform.add_worker('w9', service='odd', labels=('a', rack))
            await trio.sleep(4)
            known = make_config_body(2)
            route = RouteBody('r', 'host', '/r/', 'odd')
            routes = (*known.routes, route)
            fleet.platform.configure(
                msgspec.structs.replace(known, routes=routes)
            )
            queue = Queue('r', 'host', '/r/', 'odd')
            intake = fleet.instances['i0'].intake
            await trio.sleep(4)
            await intake.submit(JOB, queue, make_request(), LIMIT_MS)
            await fleet.wait_done(JOB)
            assert list_rostered(fleet) == {'w0', 'w9'}
            # A later one without it takes no place from accepted jobs.
            fleet.platform.configure(make_config_body(3))
            await intake.submit(OTHER, queue, make_request(), LIMIT_MS)
            await fleet.wait_done(OTHER)

    run_virtual(run)


# -- lease and epoch ----------------------------------------------------------


@pytest.mark.parametrize('name', sorted(LEASES))
def test_wrong_lease_row_takes_no_unit_from_its_owner(run_virtual, name):
    async def run():
        async with open_fleet(instances=3) as fleet:
            owner = fleet.get_owner()
            unit = fleet.instances[owner].state.ownership
            version = unit.epoch_version
            store = fleet.platform.store
            for _ in range(8):
                store.write('units', 'u0', 'lease', LEASES[name])
                await trio.sleep(0.33)
            assert fleet.get_owner() == owner
            assert unit.epoch_version == version
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(LEASES))
def test_unit_whose_lease_stays_wrong_is_taken_once_its_owner_is_gone(
    run_virtual, name
):
    async def run():
        async with open_fleet(instances=2) as fleet:
            gone = fleet.get_owner()
            fleet.kill(gone)
            store = fleet.platform.store
            store.write('units', 'u0', 'lease', LEASES[name])
            await fleet.wait_owner(limit_s=4)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert count_lines(handler, 'row unreadable', key='lease') == 1


@pytest.mark.parametrize('name', sorted(EPOCHS))
def test_wrong_epoch_row_leads_to_a_higher_epoch(run_virtual, name):
    async def run():
        async with open_fleet(instances=2) as fleet:
            step = make_step(2, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            fences = [one.fence for one in fleet.platform.workers.values()]
            store = fleet.platform.store
            store.write('units', 'u0', 'epoch', EPOCHS[name])
            await trio.sleep(4)
            await fleet.wait_owner(limit_s=8)
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            for worker, fence in zip(
                fleet.platform.workers.values(), fences, strict=True
            ):
                assert fence < worker.fence < 2**31
            assert fleet.count_running() == 2
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


# -- roster and account -------------------------------------------------------


@pytest.mark.parametrize('name', sorted(WRONG))
def test_without_a_roster_all_leases_are_waited_out(run_virtual, name):
    """One worker runs a task, is silent, and is off the list."""

    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            step = make_step(2, 9000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            worker = fleet.platform.workers['w0']
            owner = fleet.get_owner()
            fleet.kill(owner)
            worker.cut_off.add('*')
            fleet.platform.remove('w0')
            store = fleet.platform.store
            store.write('units', 'u0', 'roster', WRONG[name])
            fleet.platform.add_worker('w2')
            await fleet.wait_owner()
            with trio.fail_after(15):
                while count_starts(fleet, JOB) < 3:
                    await trio.sleep(0.05)
            fleet.check()
            # It was written anew, and the next owner goes by it.
            roster = json.loads(store.rows['units', 'u0', 'roster'].value)
            assert {'w1', 'w2'} <= roster['addresses'].keys()

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert count_lines(handler, 'row unreadable', key='roster') == 1


def make_account(told):
    return f'{{"epoch":1,"workers":{{"w0":{{{told}}}}}}}'.encode()


ACCOUNTS = {
    **WRONG,
    'lasts below none': make_account('"lasting_ms":-9000,"tasks":[]'),
    'lasts without end': make_account('"lasting_ms":1000000,"tasks":[]'),
    'no task': make_account('"lasting_ms":0,"tasks":["x"]'),
    'step below none': make_account('"lasting_ms":0,"tasks":["a.0.-1.0"]'),
    'tasks there are not': make_account(
        f'"lasting_ms":0,"tasks":["{JOB}.0.9.0","{JOB}.7.0.0","{JOB}.0.0.9"]'
    ),
}


@pytest.mark.parametrize('name', sorted(ACCOUNTS))
def test_wrong_account_starts_nothing_twice(run_virtual, name):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            step = make_step(2, 9000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            owner = fleet.get_owner()
            instance = fleet.instances[owner]
            await instance.shell.leave()
            fleet.kill(owner)
            store = fleet.platform.store
            store.write('accounts', 'u0', 'account', ACCOUNTS[name])
            store.write('accounts', 'u0', 'a', b'{"epoch":1,"workers":{}}')
            await fleet.wait_owner()
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


# -- the layout ---------------------------------------------------------------


@pytest.mark.parametrize('name', sorted([*LAYOUTS, 'moved']))
def test_wrong_layout_is_written_over_by_the_one_in_force(run_virtual, name):
    async def run():
        async with open_fleet(instances=2) as fleet:
            store = fleet.platform.store
            good = store.rows['units', 'layout', 'layout'].value
            moved = encode(LayoutRecord({'r1': 1}))
            wrong = LAYOUTS.get(name, moved)
            store.write('units', 'layout', 'layout', wrong)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            await trio.sleep(4)
            assert store.rows['units', 'layout', 'layout'].value == good
            for instance in fleet.instances.values():
                assert list(instance.shell.units) == [0]

    with logbook.TestHandler() as handler:
        run_virtual(run)
    # Once at each instance.
    assert count_lines(handler, 'row unreadable', key='layout') == 2


def test_instance_that_starts_meets_no_layout_and_makes_none(run_virtual):
    async def run():
        async with open_fleet(instances=1) as fleet:
            fleet.kill(fleet.get_owner())
            store = fleet.platform.store
            good = store.rows['units', 'layout', 'layout'].value
            store.write('units', 'layout', 'layout', b'{')
            instance = await fleet.start('i1')
            await trio.sleep(10)
            assert store.rows['units', 'layout', 'layout'].value == b'{'
            with pytest.raises(UnavailableError):
                await submit(fleet, JOB)
            store.write('units', 'layout', 'layout', good)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            assert instance.is_owner

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert count_lines(handler, 'row unreadable', key='layout') == 1


# -- callers ------------------------------------------------------------------


HOMES = {
    **WRONG,
    'unit below none': encode(HomeRecord(-1)),
    'guests above any': encode(HomeRecord(0, (10**9,))),
    'unit is a text': b'{"unit":"0"}',
}


@pytest.mark.parametrize('name', sorted(HOMES))
def test_job_with_an_unreadable_home_is_neither_taken_nor_denied(
    run_virtual, name
):
    async def run():
        async with open_fleet() as fleet:
            store = fleet.platform.store
            store.write('homes', get_jobs_part(JOB), JOB, HOMES[name])
            intake = fleet.instances['i0'].intake
            with pytest.raises(UnavailableError):
                await submit(fleet, JOB)
            with pytest.raises(UnavailableError):
                await intake.get_state(JOB)
            with pytest.raises(UnavailableError):
                await intake.cancel(JOB, QUEUE, LIMIT_MS)
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 0
            assert await intake.get_state(f'{3:016x}') is None

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(WRONG))
def test_state_that_is_unreadable_is_not_told_as_pending(run_virtual, name):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            store = fleet.platform.store
            store.write('progress0', 'u0', JOB, WRONG[name])
            fleet.kill(fleet.get_owner())
            await fleet.wait_owner()
            left = next(iter(fleet.instances.values()))
            with pytest.raises(UnavailableError):
                await left.intake.get_state(JOB)
            await trio.sleep(8)
            assert count_starts(fleet, JOB) == 1
            assert await left.intake.cancel(JOB, QUEUE, LIMIT_MS)
            await fleet.wait_state(JOB, JobState.CANCELLED)

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(WRONG))
def test_progress_that_turns_wrong_under_an_owner_ends_nothing(
    run_virtual, name
):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, JOB, make_request(make_step(2), run_ms=3000))
            await fleet.wait_state(JOB, JobState.RUNNING)
            store = fleet.platform.store
            store.write('progress0', 'u0', JOB, WRONG[name])
            await trio.sleep(4)
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


def test_progress_of_another_job_changes_nothing(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            store = fleet.platform.store
            record = ProgressRecord(JobState.RUNNING, {'0.0': '1'})
            store.write('progress0', 'u0', 'a.b', encode(record))
            fleet.kill(fleet.get_owner())
            await fleet.wait_owner()
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)

    run_virtual(run)


# -- models -------------------------------------------------------------------


MODELS = {
    **WRONG,
    'rows too long': b'{"pairs":{"a":{"means":{"b":1},"covariances":[[1,2]]}}}',
    'too many rows': b'{"pairs":{"a":{"means":{},"covariances":[[1]]}}}',
    'known for sure': b'{"pairs":{"a":{"means":{"b":1},"covariances":[[0]]}}}',
    'below none': b'{"pairs":{"a":{"means":{"b":1},"covariances":[[-1]]}}}',
    'infinite': b'{"pairs":{"a":{"means":{"b":1e999}}}}',
    'no number': b'{"pairs":{"a":{"means":{"b":NaN}}}}',
    'large': b'{"pairs":{"a":{"means":{"b":1e300}}}}',
    'samples below none': b'{"pairs":{"a":{"sample_counts":{"b":-1}}}}',
    'time below none': b'{"run_times_ms":{"q":-5}}',
    'tail is infinite': b'{"lowest_tails_ms":{"a":1e999}}',
    'period is infinite': b'{"swings":{"period_ms":1e308}}',
    'wave is short': b'{"swings":{"period_ms":9000,"waves":{"a":[1]}}}',
    'wave is large': b'{"swings":{"period_ms":9e3,"waves":{"a":[1e99,0,0]}}}',
}


@pytest.mark.parametrize('name', sorted(MODELS))
def test_wrong_model_teaches_nothing(run_virtual, name):
    async def run():
        async with open_fleet() as fleet:
            store = fleet.platform.store
            fleet.kill(fleet.get_owner())
            store.write('models', 'u0', 'model', MODELS[name])
            store.write('models', 'u1', 'model', MODELS[name])
            await fleet.wait_owner()
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            owner = fleet.instances[fleet.get_owner()]
            assert owner.state.model.images == {}
            assert owner.state.swings.swings == {}
            assert 'a' not in owner.state.lowest_tails_ms

    run_virtual(run)


def test_model_is_read_by_its_key(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            store = fleet.platform.store
            fleet.kill(fleet.get_owner())
            store.write('models', 'u0', 'a', b'{')
            good = b'{"pairs":{"a":{"means":{"b":1.0},"covariances":[[0.5]]}}}'
            store.write('models', 'u0', 'model', good)
            await fleet.wait_owner()
            owner = fleet.instances[fleet.get_owner()]
            assert owner.state.model.images['a'].means == {'b': 1.0}

    run_virtual(run)
