"""Invalid rows of other writers in a unit's tables, with running instances."""

import json

import logbook
import msgspec
import pytest
import trio

from scheduler_fleet import (
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

DEADLINE_MS = 3000
JOB = f'{1:016x}'
OTHER = f'{2:016x}'
MALFORMED = {
    'empty': b'',
    'cut off': b'{"session_id":"x"',
    'not text': b'{"session_id":"\xff"}',
    'a list': b'[1]',
    'no fields': b'{}',
    'other fields': b'{"x":1}',
    'random bytes': bytes(range(256)),
    'deep': b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
}
INVALID_LEASES = {
    **MALFORMED,
    'negative waiting count': encode(
        LeaseRecord('a', 'b', 1, waiting={'q': -1})
    ),
    'negative renewal count': encode(LeaseRecord('a', 'b', -1)),
    'waiting is text': b'{"session_id":"a","instance_id":"b","waiting":"x"}',
}
INVALID_EPOCHS = {
    **MALFORMED,
    'negative': encode(EpochRecord(-1, 'x')),
    'zero': encode(EpochRecord(0, 'x')),
    'too large': encode(EpochRecord(2**62, 'x')),
    'too large for an integer': b'{"epoch":1'
    + b'0' * 40
    + b',"session_id":"x"}',
}
INVALID_LAYOUTS = {
    **MALFORMED,
    'negative unit': encode(LayoutRecord({'r1': -1})),
    'unit too large': encode(LayoutRecord({'r1': 10**9})),
    'no job parts': encode(LayoutRecord({'r1': 0}, job_parts=0)),
    'too many job parts': encode(LayoutRecord({'r1': 0}, job_parts=10**9)),
    'job parts changed': encode(LayoutRecord({'r1': 0}, job_parts=64)),
    'unit is a string': b'{"racks":{"r1":"0"}}',
}


async def submit(fleet, job_id, request=None, by=None):
    name = by or next(iter(fleet.instances))
    intake = fleet.instances[name].intake
    await intake.submit(job_id, QUEUE, request or make_request(), DEADLINE_MS)


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
def test_worker_with_an_invalid_entry_keeps_its_runs_and_gets_no_more(
    run_virtual, monkeypatch, kind
):
    async def run():
        async with open_fleet(workers=1) as fleet:
            worker = fleet.platform.workers['w0']
            make_heartbeat = worker.make_body

            def corrupt(sequence):
                body = json.loads(make_heartbeat(sequence))
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
                type(worker), 'make_body', lambda _, n: corrupt(n)
            )
            fleet.platform.publish_entry(worker)
            await trio.sleep(1)
            await submit(fleet, OTHER)
            await trio.sleep(5)
            assert count_starts(fleet, OTHER) == 0
            assert fleet.count_running() == 2
            monkeypatch.undo()
            fleet.platform.publish_entry(worker)
            await fleet.wait_done(OTHER)
            await fleet.wait_done(JOB)
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


def test_next_owner_waits_for_a_worker_with_an_invalid_entry(
    run_virtual, monkeypatch
):
    """Its runs are known from the roster and are not started twice."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            step = make_step(4, 8000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(4)
            worker = fleet.platform.workers['w0']
            make_body = type(worker).make_body

            def corrupt(one, sequence):
                if one is worker:
                    return b'\xff'
                return make_body(one, sequence)

            monkeypatch.setattr(type(worker), 'make_body', corrupt)
            fleet.platform.publish_entry(worker)
            await trio.sleep(1)
            fleet.kill(fleet.get_owner())
            await fleet.wait_owner()
            await trio.sleep(10)
            assert fleet.count_running() == 4
            assert count_starts(fleet, JOB) == 4
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('address', ['10.9.0.1:80', '10.6.6.6:80'])
def test_entry_with_a_different_address_stops_no_run(run_virtual, address):
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


def test_worker_first_listed_with_a_wrong_address_is_used_later(
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
def test_worker_of_an_unconfigured_service_gets_no_order(run_virtual, rack):
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
def test_worker_is_used_once_its_service_is_configured(run_virtual, rack):
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
            await intake.submit(JOB, queue, make_request(), DEADLINE_MS)
            await fleet.wait_done(JOB)
            assert list_rostered(fleet) == {'w0', 'w9'}
            # Accepted jobs still run if a later configuration lacks it.
            fleet.platform.configure(make_config_body(3))
            await intake.submit(OTHER, queue, make_request(), DEADLINE_MS)
            await fleet.wait_done(OTHER)

    run_virtual(run)


# -- lease and epoch ----------------------------------------------------------


@pytest.mark.parametrize('name', sorted(INVALID_LEASES))
def test_invalid_lease_row_does_not_end_ownership(run_virtual, name):
    async def run():
        async with open_fleet(instances=3) as fleet:
            owner = fleet.get_owner()
            unit = fleet.instances[owner].state.ownership
            version = unit.epoch_version
            store = fleet.platform.store
            for _ in range(8):
                store.write('units', 'u0', 'lease', INVALID_LEASES[name])
                await trio.sleep(0.33)
            assert fleet.get_owner() == owner
            assert unit.epoch_version == version
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(INVALID_LEASES))
def test_unit_with_an_invalid_lease_is_taken_after_its_owner_fails(
    run_virtual, name
):
    async def run():
        async with open_fleet(instances=2) as fleet:
            failed_owner = fleet.get_owner()
            fleet.kill(failed_owner)
            store = fleet.platform.store
            store.write('units', 'u0', 'lease', INVALID_LEASES[name])
            await fleet.wait_owner(limit_s=4)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert count_lines(handler, 'row unreadable', key='lease') == 1


@pytest.mark.parametrize('name', sorted(INVALID_EPOCHS))
def test_invalid_epoch_row_leads_to_a_higher_epoch(run_virtual, name):
    async def run():
        async with open_fleet(instances=2) as fleet:
            step = make_step(2, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            fences = [one.fence for one in fleet.platform.workers.values()]
            store = fleet.platform.store
            store.write('units', 'u0', 'epoch', INVALID_EPOCHS[name])
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


# -- roster and release report ------------------------------------------------


@pytest.mark.parametrize('name', sorted(MALFORMED))
def test_takeover_without_a_roster_waits_for_all_leases(run_virtual, name):
    """A worker that runs a task does not answer and is off the list."""

    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            step = make_step(2, 9000, long_running=True)
            await submit(fleet, JOB, make_request(step, lasts=True))
            await fleet.wait_running(2)
            worker = fleet.platform.workers['w0']
            owner = fleet.get_owner()
            fleet.kill(owner)
            worker.unreachable_clients.add('*')
            fleet.platform.remove('w0')
            store = fleet.platform.store
            store.write('units', 'u0', 'roster', MALFORMED[name])
            fleet.platform.add_worker('w2')
            await fleet.wait_owner()
            with trio.fail_after(15):
                while count_starts(fleet, JOB) < 3:
                    await trio.sleep(0.05)
            fleet.check()
            # The roster was rewritten for the next owner.
            roster = json.loads(store.rows['units', 'u0', 'roster'].value)
            assert {'w1', 'w2'} <= roster['addresses'].keys()

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert count_lines(handler, 'row unreadable', key='roster') == 1


def make_release_report(worker_fields):
    return f'{{"epoch":1,"workers":{{"w0":{{{worker_fields}}}}}}}'.encode()


INVALID_RELEASE_REPORTS = {
    **MALFORMED,
    'negative validity': make_release_report('"lasting_ms":-9000,"tasks":[]'),
    'excessive validity': make_release_report(
        '"lasting_ms":1000000,"tasks":[]'
    ),
    'malformed task name': make_release_report('"lasting_ms":0,"tasks":["x"]'),
    'negative step': make_release_report('"lasting_ms":0,"tasks":["a.0.-1.0"]'),
    'unknown tasks': make_release_report(
        f'"lasting_ms":0,"tasks":["{JOB}.0.9.0","{JOB}.7.0.0","{JOB}.0.0.9"]'
    ),
}


@pytest.mark.parametrize('name', sorted(INVALID_RELEASE_REPORTS))
def test_invalid_release_report_starts_nothing_twice(run_virtual, name):
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
            store.write(
                'accounts', 'u0', 'account', INVALID_RELEASE_REPORTS[name]
            )
            store.write('accounts', 'u0', 'a', b'{"epoch":1,"workers":{}}')
            await fleet.wait_owner()
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


# -- the layout ---------------------------------------------------------------


@pytest.mark.parametrize('name', sorted([*INVALID_LAYOUTS, 'moved']))
def test_invalid_layout_is_replaced_by_the_current_one(run_virtual, name):
    async def run():
        async with open_fleet(instances=2) as fleet:
            store = fleet.platform.store
            valid = store.rows['units', 'layout', 'layout'].value
            moved = encode(LayoutRecord({'r1': 1}))
            invalid = INVALID_LAYOUTS.get(name, moved)
            store.write('units', 'layout', 'layout', invalid)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            await trio.sleep(4)
            assert store.rows['units', 'layout', 'layout'].value == valid
            for instance in fleet.instances.values():
                assert list(instance.shell.units) == [0]

    with logbook.TestHandler() as handler:
        run_virtual(run)
    # One line at each instance.
    assert count_lines(handler, 'row unreadable', key='layout') == 2


def test_starting_instance_does_not_replace_an_unreadable_layout(run_virtual):
    async def run():
        async with open_fleet(instances=1) as fleet:
            fleet.kill(fleet.get_owner())
            store = fleet.platform.store
            valid = store.rows['units', 'layout', 'layout'].value
            store.write('units', 'layout', 'layout', b'{')
            instance = await fleet.start('i1')
            await trio.sleep(10)
            assert store.rows['units', 'layout', 'layout'].value == b'{'
            with pytest.raises(UnavailableError):
                await submit(fleet, JOB)
            store.write('units', 'layout', 'layout', valid)
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            assert instance.is_owner

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert count_lines(handler, 'row unreadable', key='layout') == 1


# -- callers ------------------------------------------------------------------


INVALID_HOMES = {
    **MALFORMED,
    'negative unit': encode(HomeRecord(-1)),
    'transfer unit too large': encode(HomeRecord(0, (10**9,))),
    'unit is a string': b'{"unit":"0"}',
}


@pytest.mark.parametrize('name', sorted(INVALID_HOMES))
def test_job_with_invalid_home_record_is_unavailable(run_virtual, name):
    async def run():
        async with open_fleet() as fleet:
            store = fleet.platform.store
            store.write(
                'homes', get_jobs_part(JOB, 8), JOB, INVALID_HOMES[name]
            )
            intake = fleet.instances['i0'].intake
            with pytest.raises(UnavailableError):
                await submit(fleet, JOB)
            with pytest.raises(UnavailableError):
                await intake.get_state(JOB)
            with pytest.raises(UnavailableError):
                await intake.cancel(JOB, QUEUE, DEADLINE_MS)
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 0
            assert await intake.get_state(f'{3:016x}') is None

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(MALFORMED))
def test_unreadable_state_is_not_reported_as_pending(run_virtual, name):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, JOB)
            await fleet.wait_done(JOB)
            store = fleet.platform.store
            store.write('progress0', 'u0', JOB, MALFORMED[name])
            fleet.kill(fleet.get_owner())
            await fleet.wait_owner()
            successor = next(iter(fleet.instances.values()))
            with pytest.raises(UnavailableError):
                await successor.intake.get_state(JOB)
            await trio.sleep(8)
            assert count_starts(fleet, JOB) == 1
            assert await successor.intake.cancel(JOB, QUEUE, DEADLINE_MS)
            await fleet.wait_state(JOB, JobState.CANCELLED)

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(MALFORMED))
def test_progress_that_becomes_invalid_does_not_stop_its_owner(
    run_virtual, name
):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, JOB, make_request(make_step(2), run_ms=3000))
            await fleet.wait_state(JOB, JobState.RUNNING)
            store = fleet.platform.store
            store.write('progress0', 'u0', JOB, MALFORMED[name])
            await trio.sleep(4)
            await submit(fleet, OTHER)
            await fleet.wait_done(OTHER)
            assert count_starts(fleet, JOB) == 2
            fleet.check()

    run_virtual(run)


def test_progress_row_with_invalid_job_id_is_ignored(run_virtual):
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


INVALID_MODELS = {
    **MALFORMED,
    'rows too long': b'{"pairs":{"a":{"means":{"b":1},"covariances":[[1,2]]}}}',
    'too many rows': b'{"pairs":{"a":{"means":{},"covariances":[[1]]}}}',
    'variance of 0': b'{"pairs":{"a":{"means":{"b":1},"covariances":[[0]]}}}',
    'variance < 0': b'{"pairs":{"a":{"means":{"b":1},"covariances":[[-1]]}}}',
    'infinite': b'{"pairs":{"a":{"means":{"b":1e999}}}}',
    'not a number': b'{"pairs":{"a":{"means":{"b":NaN}}}}',
    'large': b'{"pairs":{"a":{"means":{"b":1e300}}}}',
    'negative sample count': b'{"pairs":{"a":{"sample_counts":{"b":-1}}}}',
    'negative time': b'{"run_times_ms":{"q":-5}}',
    'tail is infinite': b'{"lowest_tails_ms":{"a":1e999}}',
    'period is infinite': b'{"swings":{"period_ms":1e308}}',
    'wave is short': b'{"swings":{"period_ms":9000,"waves":{"a":[1]}}}',
    'wave is large': b'{"swings":{"period_ms":9e3,"waves":{"a":[1e99,0,0]}}}',
}


@pytest.mark.parametrize('name', sorted(INVALID_MODELS))
def test_invalid_model_is_ignored(run_virtual, name):
    async def run():
        async with open_fleet() as fleet:
            store = fleet.platform.store
            fleet.kill(fleet.get_owner())
            store.write('models', 'u0', 'model', INVALID_MODELS[name])
            store.write('models', 'u1', 'model', INVALID_MODELS[name])
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
            valid = b'{"pairs":{"a":{"means":{"b":1.0},"covariances":[[0.5]]}}}'
            store.write('models', 'u0', 'model', valid)
            await fleet.wait_owner()
            owner = fleet.instances[fleet.get_owner()]
            assert owner.state.model.images['a'].means == {'b': 1.0}

    run_virtual(run)
