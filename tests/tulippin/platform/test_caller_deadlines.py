"""Requests with a short, expired or invalid deadline.

A caller that retries on another instance sends its remaining time, which may
be below the time reserved for the reply. A negative timeout raises, as does a
deadline of thousands of digits: the caller would get a 500 without
Retry-After, and no log line.
"""

import json

import attrs
import logbook
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from scheduler_fleet import JOB, QUEUE, make_request, make_step, open_fleet
from tulippin.exceptions import UnavailableError
from tulippin.platform.callers import CallersApp, read_limit_ms
from tulippin.platform.standin import get_now_ms

BODY = {
    'Spec': '{"run_ms":100}',
    'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 100}],
}
METHODS = ('POST', 'GET', 'DELETE')
# Below the response time of a store.
TOO_SHORT = (b'0', b'1', b'9', b'-1', b'-3000', b'-' + b'9' * 4301)
SHORT = (b'60', b'120', b'250', b'299', b'301', b'599')
INVALID = (
    b'',
    b' ',
    b'soon',
    b'1e3',
    b'3000.5',
    b'0x10',
    b'+3000',
    b'3_000',
    b'\xb2',
    '\u0663\u0660\u0660\u0660'.encode(),
    b'9' * 19,
    b'9' * 400,
    b'9' * 4301,
    b'0' * 4301 + b'3000',
)


@attrs.define
class Answer:
    status: int
    headers: dict
    body: dict
    took_ms: int


async def call(app, method, deadline, path=f'/q/{JOB}', body=BODY):
    """Send one request as the HTTP server does, and return its answer."""
    sent = []

    async def receive():
        return {
            'type': 'http.request',
            'body': json.dumps(body).encode() if method == 'POST' else b'',
        }

    async def send(message):
        sent.append(message)

    headers = [(b'host', b'host'), (b'deadline-ms', deadline)]
    scope = {'type': 'http', 'method': method, 'path': path}
    began_ms = get_now_ms()
    await app({**scope, 'headers': headers}, receive, send)
    text = sent[1]['body']
    return Answer(
        sent[0]['status'],
        dict(sent[0]['headers']),
        json.loads(text) if text else {},
        get_now_ms() - began_ms,
    )


def make_app(fleet):
    intake = next(iter(fleet.instances.values())).intake
    return CallersApp(intake, lambda: '')


async def is_stored(fleet, job_id=JOB):
    intake = next(iter(fleet.instances.values())).intake
    return await intake.get_state(job_id) is not None


@pytest.mark.parametrize('deadline', TOO_SHORT, ids=lambda text: text[:9])
@pytest.mark.parametrize('method', METHODS)
def test_request_without_time_is_rejected_at_once(
    run_virtual, method, deadline
):
    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            answer = await call(make_app(fleet), method, deadline)
            assert answer.status == 503
            assert answer.headers[b'retry-after'] == b'1'
            assert not answer.took_ms
            assert not await is_stored(fleet)

    with logbook.TestHandler() as lines:
        run_virtual(run)
    logged = [one for one in lines.records if one.message == 'call given up']
    assert [one.kwargs['job'] for one in logged] == [JOB]


@pytest.mark.parametrize('deadline', SHORT, ids=bytes.decode)
def test_short_deadline_is_served(run_virtual, deadline):
    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            app = make_app(fleet)
            for method in METHODS:
                answer = await call(app, method, deadline)
                assert answer.status == 200
                assert answer.took_ms < int(deadline)

    run_virtual(run)


@pytest.mark.parametrize('deadline', INVALID, ids=lambda text: text[:9])
def test_invalid_deadline_is_ignored(run_virtual, deadline):
    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            app = make_app(fleet)
            for method in METHODS:
                assert (await call(app, method, deadline)).status == 200

    run_virtual(run)


@pytest.mark.parametrize('deadline', [b'100', b'400', b'1700', b'2500'])
def test_submission_before_the_layout_is_known_stores_no_job(
    run_virtual, deadline
):
    """The reply "not run" comes before the deadline and is correct."""

    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            app = make_app(fleet)
            shell = next(iter(fleet.instances.values())).shell
            shell.layout_known = trio.Event()
            shell.choose_unit = lambda request, service: None
            answer = await call(app, 'POST', deadline)
            assert answer.status == 503
            assert answer.headers[b'retry-after'] == b'1'
            assert answer.took_ms < int(deadline)
            assert not await is_stored(fleet)

    run_virtual(run)


def test_late_layout_leaves_no_time_for_the_store(run_virtual):
    """The remaining time after the wait for the layout must suffice."""

    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            instance = next(iter(fleet.instances.values()))
            instance.shell.layout_known = trio.Event()
            with pytest.raises(UnavailableError):
                await instance.intake.submit(JOB, QUEUE, make_request(), 18)
            assert not await is_stored(fleet)

    run_virtual(run)


@pytest.mark.parametrize('limit_ms', [-(10**9), -1, 0, 1, 9])
def test_intake_rejects_requests_without_time(run_virtual, limit_ms):
    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            intake = next(iter(fleet.instances.values())).intake
            with pytest.raises(UnavailableError):
                await intake.submit(JOB, QUEUE, make_request(), limit_ms)
            assert not await is_stored(fleet)
            await fleet.submit()
            with pytest.raises(UnavailableError):
                await intake.cancel(JOB, QUEUE, limit_ms)
            assert (await intake.get_state(JOB)).value != 'cancelled'

    run_virtual(run)


@given(st.binary(max_size=30) | st.integers().map(lambda n: b'%d' % n))
def test_any_header_gives_a_valid_timeout(text):
    limit_ms = read_limit_ms({b'deadline-ms': text})
    assert isinstance(limit_ms, int)
    # Above this a float doesn't hold all integers; trio's limit is far below.
    assert limit_ms < 2**53
    if text.isdigit() and int(text) <= 600_000:
        assert limit_ms < max(1, int(text))


@pytest.mark.plants_errors
def test_internal_error_is_logged_and_answered(run_virtual):
    """An unexpected error gives status 504 and a log line."""

    async def run():
        async with open_fleet(1) as fleet:
            await fleet.wait_owner()
            app = make_app(fleet)
            shell = next(iter(fleet.instances.values())).shell
            shell.choose_unit = {}.__getitem__
            answer = await call(app, 'POST', b'3000')
            assert answer.status == 504
            assert answer.headers[b'retry-after'] == b'1'

    with logbook.TestHandler() as lines:
        run_virtual(run)
    (logged,) = [one for one in lines.records if one.message == 'call failed']
    assert logged.kwargs['path'].endswith(JOB)
    assert logged.kwargs['method'] == 'POST'
    assert 'choose_unit' in logged.kwargs['traceback']


WAITING = 3


async def wait_for_jobs(fleet):
    """Submit jobs that fit on no worker, and wait until they are loaded."""
    for number in range(WAITING):
        request = make_request(make_step(cpu=10**6))
        await fleet.submit(f'{number:016x}', request)
    await trio.sleep(3)


def test_instance_without_leases_returns_no_count(run_virtual):
    """It must not answer 0 before it has read the leases of the units."""

    async def run():
        async with open_fleet(1) as fleet:
            await wait_for_jobs(fleet)
            instance = await fleet.start('i9')
            app = CallersApp(instance.intake, lambda: '')
            answers = []
            with trio.move_on_after(3):
                while True:
                    answers.append(await call(app, 'GET', b'3000', '/q/'))
                    await trio.sleep(0.001)
            counts = {one.body.get('WaitingCount') for one in answers}
            assert counts == {None, WAITING}
            refused = [one for one in answers if one.status != 200]
            assert {one.status for one in refused} == {503}
            assert {one.headers[b'retry-after'] for one in refused} == {b'1'}

    run_virtual(run)


def test_unreadable_lease_of_another_owner_returns_no_count(run_virtual):
    async def run():
        async with open_fleet(1) as fleet:
            await wait_for_jobs(fleet)
            instance = await fleet.start('i9')
            await trio.sleep(2)
            assert instance.intake.count_waiting(QUEUE) == WAITING
            unit = instance.shell.units[0]
            unit.lease = None
            with pytest.raises(UnavailableError):
                instance.intake.count_waiting(QUEUE)

    run_virtual(run)
