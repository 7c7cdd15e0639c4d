"""The daemon on the stand-in over loopback HTTP, with platform messages."""

import contextlib
import json
import os
import signal
import time

import attrs
import logbook
import msgspec
import pytest
import trio

from scheduler_fleet import make_config_body
from tulippin._http_client import HttpClient
from tulippin.codec_json import decode
from tulippin.jobs import JobIntake
from tulippin.jobs.records import (
    LEASE_KEY,
    LayoutRecord,
    LeaseRecord,
    get_jobs_part,
)
from tulippin.jobs.unit_shell import UnitShell
from tulippin.line_buffer import LineBuffer
from tulippin.platform.standin_http import StandinServers
from tulippin.scheduler_daemon import SchedulerDaemon
from tulippin.scheduler_settings import parse_scheduler_settings

SETTINGS = """
[instance]
id = edge-1
failure_domain = hall
[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
internal_ip = 127.0.0.1
internal_ports = 0,0
[store]
address = {store}
[workers]
lease_limit_ms = 6000
[stop]
grace_s = 3
"""
JOB = '00112233445566aa'
OTHER = '00112233445566bb'
BODY = {
    'Spec': '{"run_ms":100}',
    'Steps': [
        {'Count': 2, 'Cpu': 1000, 'MemMb': 100},
        {'Count': 1, 'Cpu': 500, 'MemMb': 100, 'AfterRevision': [0]},
    ],
}


@attrs.define
class Served:
    daemon: SchedulerDaemon
    client: HttpClient
    servers: StandinServers
    lines: LineBuffer
    path: object

    async def call(
        self, method, path, body=None, host='host', port=None, headers=()
    ):
        port = port or self.daemon.ports['callers']
        return await self.client.send(
            method,
            f'http://127.0.0.1:{port}{path}',
            b'' if body is None else json.dumps(body).encode(),
            {'Host': host, 'Deadline-Ms': '3000', **dict(headers)},
        )

    async def wait_ready(self, configure):
        with trio.fail_after(10):
            while configure and self.daemon.get_unready():
                await trio.sleep(0.02)

    async def wait_state(self, wanted):
        with trio.fail_after(10):
            while True:
                answer = await self.call('GET', f'/q/{JOB}')
                if json.loads(answer.body).get('State') == wanted:
                    return
                await trio.sleep(0.02)


@contextlib.asynccontextmanager
async def serve(tmp_path, configure=True, proxy=None, more_settings=''):
    async with StandinServers() as servers:
        store_address = servers.store_address
        if proxy is not None:
            proxy.target = store_address
            store_address = proxy.address
        if configure:
            servers.platform.configure(make_config_body())
        path = tmp_path / 'instance.ini'
        path.write_text(SETTINGS.format(store=store_address) + more_settings)
        reader, writer = os.pipe()
        lines = LineBuffer(writer, {'instance': 'edge-1'})
        settings = parse_scheduler_settings(path.read_text())
        daemon = SchedulerDaemon(settings, lines, str(path))
        with lines.applicationbound():
            async with trio.open_nursery() as nursery, HttpClient() as client:
                await nursery.start(daemon.run)
                site = Served(daemon, client, servers, lines, path)
                await site.wait_ready(configure)
                yield site
                nursery.cancel_scope.cancel()
        os.close(reader)
        os.close(writer)


async def test_job_goes_from_submission_to_completed(tmp_path):
    async with serve(tmp_path) as site:
        answer = await site.call('POST', f'/q/{JOB}', BODY)
        assert answer.status == 200
        await site.wait_state('completed')
        again = await site.call('POST', f'/q/{JOB}', BODY)
        assert again.status == 200
        waiting = await site.call('GET', '/q/')
        assert json.loads(waiting.body) == {'WaitingCount': 0}


@pytest.mark.parametrize(
    ('deadline', 'status'),
    [
        ('250', 200),
        ('299', 200),
        ('0', 503),
        ('9', 503),
        ('-1', 503),
        ('9' * 4301, 200),
        ('soon', 200),
    ],
)
async def test_deadline_is_met_or_rejected_at_once(tmp_path, deadline, status):
    """A short deadline must not give a 500 without Retry-After."""
    async with serve(tmp_path) as site:
        headers = {'Deadline-Ms': deadline}
        answer = await site.call('POST', f'/q/{JOB}', BODY, headers=headers)
        assert answer.status == status
        is_refused = status == 503
        assert ('retry-after' in answer.headers) == is_refused
        state = await site.call('GET', f'/q/{JOB}')
        assert state.status == (410 if is_refused else 200)


async def test_unknown_host_path_and_job(tmp_path):
    async with serve(tmp_path) as site:
        for host, path, status in (
            ('elsewhere', f'/q/{JOB}', 404),
            ('host', f'/none/{JOB}', 404),
            ('host', f'/q/{JOB}', 410),
            ('host', '/q/short', 400),
        ):
            answer = await site.call('GET', path, host=host)
            assert answer.status == status


@pytest.mark.parametrize(
    'body',
    [
        {},
        {'Spec': 'x', 'Steps': []},
        {'Spec': 'x', 'Steps': [{'Count': 0}]},
        {'Spec': 'x', 'Steps': [{'Count': 1, 'AfterRevision': [0]}]},
        {'Spec': 'x', 'Steps': [{'Count': 1, 'Cpu': -5}]},
        {'Spec': 'x', 'Steps': [{'Count': 'many'}]},
        {'Spec': 'x' * 5000, 'Steps': [{'Count': 1}]},
    ],
)
async def test_invalid_job_is_rejected_and_not_stored(tmp_path, body):
    async with serve(tmp_path) as site:
        answer = await site.call('POST', f'/q/{JOB}', body)
        assert answer.status == 400
        assert b'bad_job' in answer.body
        state = await site.call('GET', f'/q/{JOB}')
        assert state.status == 410


async def test_oversize_headers_are_rejected_and_nothing_is_stored(tmp_path):
    async with serve(tmp_path) as site:
        body = make_config_body(version=2)
        limits = msgspec.structs.replace(body.limits, header_bytes=200)
        small = msgspec.structs.replace(body, limits=limits)
        site.servers.platform.configure(small)
        long = {'X-Long': 'x' * 300}
        with trio.fail_after(5):
            while (await site.call('GET', '/q/', headers=long)).status == 200:
                await trio.sleep(0.02)
        answer = await site.call('POST', f'/q/{JOB}', BODY, headers=long)
        assert answer.status == 431
        assert b'headers_too_large' in answer.body
        answer = await site.call('GET', f'/q/{JOB}')
        assert answer.status == 410


async def test_oversize_body_is_rejected(tmp_path):
    async with serve(tmp_path) as site:
        body = {'Spec': 'x' * 300_000, 'Steps': [{'Count': 1}]}
        answer = await site.call('POST', f'/q/{JOB}', body)
        assert answer.status == 413


async def test_no_configuration_yet_is_503_and_unready(tmp_path):
    async with serve(tmp_path, configure=False) as site:
        answer = await site.call('POST', f'/q/{JOB}', BODY)
        assert answer.status == 503
        assert answer.headers['retry-after'] == '1'
        port = site.daemon.ports['readiness']
        ready = await site.call('GET', '/v1/ready', port=port)
        assert ready.status == 503


@pytest.mark.plants_errors
async def test_rejecting_store_gives_503(tmp_path):
    async with serve(tmp_path) as site:
        site.servers.platform.store.trouble.refused.add('http')
        answer = await site.call('GET', f'/q/{JOB}')
        assert answer.status == 503
        assert answer.headers['retry-after'] == '1'


async def test_cancel_is_acknowledged_once_stored(tmp_path):
    async with serve(tmp_path) as site:
        body = {**BODY, 'Spec': '{"run_ms":60000}'}
        await site.call('POST', f'/q/{JOB}', body)
        answer = await site.call('DELETE', f'/q/{JOB}')
        assert answer.status == 200
        await site.wait_state('cancelled')
        unknown = await site.call('DELETE', '/q/ffffffffffffffff')
        assert unknown.status == 410


async def test_operators_see_jobs_workers_and_metrics(tmp_path):
    async with serve(tmp_path) as site:
        await site.call('POST', f'/q/{JOB}', BODY)
        await site.wait_state('completed')
        port = site.daemon.ports['internal']
        dump = await site.call('GET', '/v1/dump', port=port)
        found = json.loads(dump.body)['units'][0]
        assert found['unit']['phase'] == 'active'
        assert len(found['workers']) == 2
        assert found['jobs'][0]['state'] == 'completed'
        metrics = await site.call('GET', '/metrics', port=port)
        assert b'tulippin_call_seconds' in metrics.body
        harm = b'tulippin_harm_total{name="harm_runs_shed",unit="0"} 0.0'
        assert harm in metrics.body
        jobs = await site.call('GET', f'/v1/jobs/{JOB}', port=port)
        assert json.loads(jobs.body)['queue'] == 'q'
        bundles = await site.call('GET', '/v1/bundles', port=port)
        assert json.loads(bundles.body) == {'bundles': []}


INTAKE_SETTINGS = """
[scheduling]
job_parts = 64
bounded_writes = yes
"""


async def test_job_is_accepted_and_cancelled_by_bounded_writes(tmp_path):
    """The settings that `deploy/instance.ini` has take effect over HTTP."""
    async with serve(tmp_path, more_settings=INTAKE_SETTINGS) as site:
        answer = await site.call('POST', f'/q/{JOB}', BODY)
        assert answer.status == 200
        await site.wait_state('completed')
        rows = site.servers.platform.store.rows
        layout = decode(rows['units', 'layout', 'layout'].value, LayoutRecord)
        assert layout.job_parts == 64
        assert ('homes', get_jobs_part(JOB, 64), JOB) in rows
        late = await site.call(
            'POST', f'/q/{OTHER}', BODY, headers={'Deadline-Ms': '9'}
        )
        assert late.status == 503
        body = {**BODY, 'Spec': '{"run_ms":30000}'}
        assert (await site.call('POST', f'/q/{OTHER}', body)).status == 200
        assert (await site.call('DELETE', f'/q/{OTHER}')).status == 200
        port = site.daemon.ports['internal']
        metrics = await site.call('GET', '/metrics', port=port)
        expected = b'tulippin_calls_given_up_total{reason="too_little_time"} 1'
        assert expected in metrics.body
        assert b'tulippin_jobs_accepted_total{attempts="1"} 2' in metrics.body


async def test_invalid_settings_are_ignored(tmp_path):
    async with serve(tmp_path) as site:
        before = site.daemon.settings
        site.path.write_text('[instance]\nid = x\n[nonsense]\n')
        site.daemon.reload()
        assert site.daemon.settings is before


@pytest.mark.plants_errors
async def test_settings_error_does_not_end_the_instance(tmp_path):
    """A superscript digit in a changed file must not end the instance."""
    handler = logbook.TestHandler()
    async with serve(tmp_path) as site:
        before = site.daemon.settings
        text = site.path.read_text().replace('ports = 0,0', 'ports = ²,³')
        with handler.applicationbound():
            site.path.write_text(text)
            site.daemon.reload()
        assert site.daemon.settings is before
        assert (await site.call('GET', '/q/')).status == 200
    # The log says why the settings haven't changed.
    logged = {one.message for one in handler.records}
    assert logged & {'settings refused', 'settings failed'}


async def test_changed_settings_are_applied(tmp_path):
    async with serve(tmp_path) as site:
        text = site.path.read_text().replace('grace_s = 3', 'grace_s = 2')
        site.path.write_text(text)
        site.daemon.reload()
        assert site.daemon.settings.grace_ms == 2000


async def test_planned_stop_answers_requests_meanwhile(tmp_path):
    async with serve(tmp_path) as site:
        site.daemon.stop()
        await trio.sleep(0.1)
        answer = await site.call('POST', f'/q/{JOB}', BODY)
        assert answer.status == 200
        assert answer.headers['connection'] == 'close'
        port = site.daemon.ports['readiness']
        ready = await site.call('GET', '/v1/ready', port=port)
        assert ready.status == 503


@pytest.mark.plants_errors
async def test_internal_error_after_a_job_was_stored_gives_504(
    tmp_path, monkeypatch
):
    """An internal error after the job was stored gives 504 and a log line.

    The stored job runs, so that no answer may say that it wasn't accepted.
    """
    submit = JobIntake.submit

    async def submit_and_fail(*arguments):
        await submit(*arguments)
        raise ZeroDivisionError('planted')

    monkeypatch.setattr(JobIntake, 'submit', submit_and_fail)
    handler = logbook.TestHandler()
    async with serve(tmp_path) as site:
        with handler.applicationbound():
            answer = await site.call('POST', f'/q/{JOB}', BODY)
        assert answer.status == 504
        error_text = json.loads(answer.body)['Error']
        assert error_text.startswith('internal: ')
        assert 'may have been done' in error_text
        await site.wait_state('completed')
    (logged,) = [one for one in handler.records if one.message == 'call failed']
    assert logged.kwargs['path'].endswith(JOB)


async def test_instance_is_not_ready_before_it_has_read_the_leases(
    tmp_path, monkeypatch
):
    """Otherwise a ready instance rejects its first request for counts."""
    delayed = []
    apply_rows = UnitShell.apply_rows

    def delay(unit, rows):
        delayed.append((unit, rows))

    monkeypatch.setattr(UnitShell, 'apply_rows', delay)
    async with serve(tmp_path, configure=False) as site:
        site.servers.platform.configure(make_config_body())
        with trio.fail_after(10):
            while not delayed:
                await trio.sleep(0.02)
        assert site.daemon.get_unready() == 'no leases yet'
        for unit, rows in delayed:
            apply_rows(unit, rows)
        await site.wait_ready(configure=True)
        assert (await site.call('GET', '/q/')).status == 200


async def test_request_in_progress_is_answered_before_a_planned_stop_ends(
    tmp_path, monkeypatch
):
    """Guards against a connection that ends without an answer."""

    async def submit(*details):
        await trio.sleep_forever()

    monkeypatch.setattr(JobIntake, 'submit', submit)
    statuses = []
    async with serve(tmp_path) as site:

        async def post():
            answer = await site.call('POST', f'/q/{JOB}', BODY)
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(post)
            await trio.sleep(0.3)
            site.daemon.handle_signal(signal.SIGTERM)
            await trio.sleep(1)
            nursery.start_soon(post)
    assert statuses == [504, 504]


async def test_event_loop_delayed_at_the_end_of_a_stop_cuts_no_request(
    tmp_path, monkeypatch
):
    """Guards against a request cut where its deadline passes unnoticed."""

    async def submit(*details):
        await trio.sleep_forever()

    monkeypatch.setattr(JobIntake, 'submit', submit)
    async with serve(tmp_path) as site, trio.open_nursery() as nursery:

        async def post():
            statuses.append((await site.call('POST', f'/q/{JOB}', BODY)).status)

        statuses = []
        nursery.start_soon(post)
        await trio.sleep(0.3)
        site.daemon.handle_signal(signal.SIGTERM)
        await trio.sleep(1.65)
        time.sleep(0.6)
    assert statuses == [504]


async def test_request_with_a_long_deadline_is_answered_within_a_long_grace(
    tmp_path, monkeypatch
):
    """Guards against a request cut before the grace period is over."""

    async def submit(*details):
        await trio.sleep_forever()

    monkeypatch.setattr(JobIntake, 'submit', submit)
    async with (
        serve(tmp_path) as site,
        HttpClient(20) as site.client,
        trio.open_nursery() as nursery,
    ):
        site.daemon.settings = attrs.evolve(site.daemon.settings, grace_ms=9000)

        async def post():
            answer = await site.call(
                'POST', f'/q/{JOB}', BODY, headers={'Deadline-Ms': '20000'}
            )
            statuses.append(answer.status)

        statuses = []
        nursery.start_soon(post)
        await trio.sleep(0.3)
        site.daemon.handle_signal(signal.SIGTERM)
    assert statuses == [504]


async def test_short_grace_period_leaves_time_to_release_the_units(tmp_path):
    """Guards against successors that wait for a lease to lapse."""
    async with serve(tmp_path) as site:
        await site.call('POST', f'/q/{JOB}', BODY)
        await site.wait_state('completed')
        site.daemon.settings = attrs.evolve(site.daemon.settings, grace_ms=1200)
        site.daemon.handle_signal(signal.SIGTERM)
        await trio.sleep(0.5)
        (lease,) = [
            decode(row.value, LeaseRecord)
            for (_, _, key), row in site.servers.platform.store.rows.items()
            if key == LEASE_KEY
        ]
        assert lease.released
