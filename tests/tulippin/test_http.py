"""HTTP APIs of a real daemon: responses, rejections and invalid input."""

import importlib.resources

import jsonschema
import pytest
import trio
from openapi_spec_validator import validate

from tulippin.bundles import compute_digest, sign
from tulippin.codec import decode
from tulippin.openapi import OPERATIONS, build_document, render_document
from tulippin.types import WorkerStanding

SERVICE = {
    'job_id': 'service',
    'team': 'team',
    'kind': 'service',
    'job_class': 'alerts',
    'task_count': 2,
    'size': {'cpu_millicores': 500, 'memory_mb': 100},
    'priority': 1000,
}
BATCH = {'job_id': 'batch', 'team': 'team', 'run_ms': 300, 'task_count': 3}
BUNDLE = '[bundle]\nname = one\n[policy p]\nkind = least_loaded\n'
DOCUMENT = build_document()


def check_schema(method, path, status, body):
    """Validate a response against the OpenAPI document."""
    operation = DOCUMENT['paths'][path][method]
    response = operation['responses'][str(status)]
    schema = response['content']['application/json']['schema']
    full = {**schema, 'components': DOCUMENT['components']}
    jsonschema.validate(body, full)


async def start_service(site):
    status, _ = await site.call('POST', '/v1/jobs', SERVICE)
    assert status == 201
    cells = [daemon.shell.state.cells for daemon in site.daemons]
    await site.wait_for(
        lambda: any(
            len(cell.endpoints.get('alerts', ())) == 2
            for owned in cells
            for cell in owned.values()
        )
    )
    # Peers learn of the service by gossip, which may take a while.
    await site.wait_for(
        lambda: all(
            knows_service(daemon.shell.state) for daemon in site.daemons
        )
    )


def knows_service(state):
    """Return whether an instance knows an endpoint of the service."""
    reported = (
        summary.services
        for peer in state.peers.values()
        for summary in peer.summaries.values()
    )
    own = (cell.endpoints for cell in state.cells.values())
    return any('alerts' in services for services in (*reported, *own))


async def call_service(site, body, **options):
    return await site.call(
        'POST', '/v1/services/alerts', body, port='callers', **options
    )


def make_call(request_id='r1', **details):
    return {'request_id': request_id, 'team': 'team', 'body': 'x', **details}


async def test_repeated_request_is_replayed(open_daemons):
    async with open_daemons() as site:
        await start_service(site)
        status, answer = await call_service(site, make_call())
        assert status == 200
        assert answer['body'] == 'alerts:r1:x'
        check_schema('post', '/v1/services/{service}', status, answer)
        status, again = await call_service(site, make_call())
        assert (status, again['code']) == (200, 'replayed')
        assert again['body'] == answer['body']
        status, other = await call_service(site, make_call(body='y'))
        assert (status, other['code']) == (409, 'id_reused')
        assert other['outcome'] == 'not_run'
        check_schema('post', '/v1/services/{service}', status, other)


@pytest.mark.parametrize(
    ('body', 'status', 'code'),
    [
        (b'{"request_id": ', 400, 'bad_json'),
        (b'\xff\xfe', 400, 'bad_json'),
        ({'request_id': 7, 'team': 't'}, 400, 'bad_json'),
        ({'team': 't'}, 400, 'bad_json'),
        (make_call('bad id/'), 400, 'bad_input'),
        (make_call(timeout_ms=0), 400, 'bad_input'),
        (make_call(timeout_ms=10**9), 400, 'bad_input'),
        (make_call(deadline_unix_ms=10**15), 400, 'bad_input'),
        (make_call(deadline_unix_ms=1), 503, 'deadline'),
        (make_call(body='x' * 30000), 413, 'too_large'),
        (make_call(timeout_ms=300), 503, 'no_endpoint'),
    ],
)
async def test_invalid_requests_are_rejected_as_not_run(
    open_daemons, body, status, code
):
    async with open_daemons() as site:
        actual_status, answer = await call_service(site, body)
        assert (actual_status, answer['code']) == (status, code)
        assert answer['outcome'] == 'not_run'
        check_schema('post', '/v1/services/{service}', actual_status, answer)


@pytest.mark.parametrize(
    'details',
    [
        {'deadline_unix_ms': 1},
        {'deadline_unix_ms': -(10**400)},
        {'timeout_ms': 300},
    ],
)
async def test_rejection_for_its_deadline_has_a_retry_delay(
    open_daemons, details
):
    """An expired deadline must give a retry delay, not 0 ("never")."""
    async with open_daemons() as site:
        actual_status, answer = await call_service(site, make_call(**details))
        assert (actual_status, answer['outcome']) == (503, 'not_run')
        assert answer['retry_after_ms'] > 0


async def test_jobs(open_daemons):
    async with open_daemons() as site:
        status, job = await site.call('POST', '/v1/jobs', BATCH, port='callers')
        assert status == 201
        check_schema('post', '/v1/jobs', status, job)
        status, _ = await site.call('POST', '/v1/jobs', BATCH)
        assert status == 201
        other = {**BATCH, 'task_count': 4}
        status, answer = await site.call('POST', '/v1/jobs', other)
        assert (status, answer['code']) == (409, 'job_id_reused')
        oversized = {
            **BATCH,
            'job_id': 'huge',
            'size': {'memory_mb': 10**8},
        }
        status, answer = await site.call('POST', '/v1/jobs', oversized)
        assert (status, answer['code']) == (422, 'never_fits')
        check_schema('post', '/v1/jobs', status, answer)
        invalid = {**BATCH, 'task_count': 0, 'priority': -1, 'run_ms': 0}
        status, answer = await site.call('POST', '/v1/jobs', invalid)
        assert status == 400
        assert len(answer['findings']) == 3
        status, answer = await site.call('GET', '/v1/jobs/nothing')
        assert (status, answer['code']) == (404, 'unknown_job')
        with trio.fail_after(20):
            while job['state'] != 'done':
                await trio.sleep(0.1)
                _, job = await site.call('GET', '/v1/jobs/batch')
        assert job['done_count'] == 3
        status, listed = await site.call('GET', '/v1/jobs?team=team')
        assert [one['spec']['job_id'] for one in listed['jobs']] == ['batch']
        check_schema('get', '/v1/jobs', status, listed)
        status, job = await site.call('DELETE', '/v1/jobs/batch')
        assert (status, job['state']) == (200, 'done')


async def test_cancelled_job_stops(open_daemons):
    async with open_daemons() as site:
        slow = {**BATCH, 'run_ms': 60000}
        await site.call('POST', '/v1/jobs', slow)
        await site.wait_for(
            lambda: any(
                worker.runs for worker in site.standins.workers.values()
            )
        )
        await site.call('DELETE', '/v1/jobs/batch')
        with trio.fail_after(20):
            while True:
                _, job = await site.call('GET', '/v1/jobs/batch')
                if job['cancelled_count'] == 3:
                    break
                await trio.sleep(0.1)
        assert job['state'] == 'cancelled'


async def sign_action(site, operator, action, number, digest, **extra_fields):
    signature = sign(site.keys[operator][0], operator, action, number, digest)
    return {
        'operator': operator,
        'signature': signature.signature,
        **extra_fields,
    }


async def test_bundle_lifecycle_and_rejections(open_daemons):
    digest = compute_digest(BUNDLE)
    async with open_daemons(count=2) as site:

        async def change_bundle(operator, action, number=1, signed=None):
            body = await sign_action(
                site, operator, signed or action, number, digest
            )
            return await site.call(
                'POST', f'/v1/bundles/{number}/{action}', body, number=1
            )

        body = await sign_action(
            site, 'alice', 'propose', 0, digest, text=BUNDLE
        )
        status, row = await site.call('POST', '/v1/bundles', body)
        assert (status, row['state']) == (201, 'proposed')
        check_schema('post', '/v1/bundles', status, row)
        bad = {**body, 'text': '[bundle]\n'}
        status, answer = await site.call('POST', '/v1/bundles', bad)
        assert (status, answer['code']) == (400, 'bad_bundle')
        assert len(answer['findings']) == 2
        status, answer = await change_bundle('alice', 'approve')
        assert (status, answer['code']) == (403, 'same_operator')
        status, answer = await change_bundle('bob', 'approve', signed='roll')
        assert (status, answer['code']) == (403, 'bad_signature')
        status, answer = await change_bundle('alice', 'roll')
        assert (status, answer['code']) == (409, 'wrong_state')
        assert (await change_bundle('bob', 'approve'))[0] == 200
        assert (await change_bundle('alice', 'roll'))[0] == 200
        await site.wait_for(
            lambda: all(
                daemon.shell.state.bundle_number == 1 for daemon in site.daemons
            )
        )
        status, answer = await change_bundle('bob', 'retire')
        assert (status, answer['code']) == (409, 'in_force')
        status, answer = await site.call('GET', '/v1/bundles/9')
        assert (status, answer['code']) == (404, 'unknown_bundle')
        with trio.fail_after(20):
            while row['state'] != 'in_force':
                await trio.sleep(0.2)
                _, row = await site.call('GET', '/v1/bundles/1')


async def test_new_instance_without_the_store_gets_the_bundle_from_a_peer(
    open_daemons,
):
    digest = compute_digest(BUNDLE)
    async with open_daemons() as site:
        for operator, action, number in (
            ('alice', 'propose', 0),
            ('bob', 'approve', 1),
            ('alice', 'roll', 1),
        ):
            extra_fields = {'text': BUNDLE} if action == 'propose' else {}
            body = await sign_action(
                site, operator, action, number, digest, **extra_fields
            )
            path = f'/{number}/{action}' if number else ''
            status, _ = await site.call('POST', f'/v1/bundles{path}', body)
            assert status < 300
        await site.wait_for(
            lambda: site.daemons[0].shell.state.bundle_number == 1
        )
        new_instance = await site.start('http://127.0.0.1:9')
        await site.wait_for(lambda: new_instance.shell.state.bundle_number == 1)
        status, answer = await site.call('GET', '/readyz', number=1)
        assert status == 503
        assert 'table' in answer['status']


async def test_views(open_daemons):
    async with open_daemons(count=2) as site:
        await start_service(site)
        for number in range(20):
            await call_service(site, make_call(f'r{number}'))
        for path in ('/v1/instances', '/v1/workers', '/v1/compare'):
            status, body = await site.call('GET', path)
            assert status == 200
            check_schema('get', path, status, body)
        _, body = await site.call('GET', '/v1/compare', number=1)
        assert sum(row['request_count'] for row in body['rows']) == 20
        status, dump = await site.call('GET', '/v1/dump')
        assert dump['session']['standing'] == 'active'
        _, page = await site.call('GET', '/v1/compare.html')
        assert b'<svg' in page
        assert b'http-equiv' not in page
        _, text = await site.call('GET', '/metrics')
        assert b'tulippin_units_owned' in text
        status, body = await site.call('GET', '/v1/nothing')
        assert (status, body['code']) == (404, 'no_such_path')


async def test_planned_stop_completes_requests_in_progress(open_daemons):
    async with open_daemons(count=2) as site:
        await start_service(site)
        for worker in site.standins.workers.values():
            worker.service_ms = 800
        outcomes = []

        async def call(number):
            status, _ = await call_service(
                site, make_call(f'r{number}'), number=0
            )
            outcomes.append(status)

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(call, number)
            await trio.sleep(0.3)
            site.daemons[0].stop()
            status, _ = await site.call('GET', '/readyz')
            assert status == 503
        assert outcomes == [200] * 6
        await site.wait_for(
            lambda: len(site.daemons[1].shell.state.ranges) == 32, 30
        )


async def test_store_outage_rejects_jobs_but_not_repeatable_requests(
    open_daemons,
):
    async with open_daemons() as site:
        await start_service(site)
        site.standins.table.faults.down = True
        await site.wait_for(
            lambda: not site.daemons[0].shell.state.session.store_reachable
        )
        status, answer = await site.call('POST', '/v1/jobs', BATCH)
        assert (status, answer['code']) == (503, 'store_unavailable')
        assert answer['outcome'] == 'not_run'
        assert answer['retry_after_ms'] > 0
        status, _ = await call_service(site, make_call('r2', repeatable=True))
        assert status == 200
        site.standins.table.faults.down = False


async def test_leaving_worker_drains(open_daemons):
    async with open_daemons() as site:
        await start_service(site)
        worker_id = min(site.standins.workers)
        site.standins.directory.set_standing(worker_id, WorkerStanding.LEAVING)
        await trio.sleep(3)
        before = site.standins.workers[worker_id].busy_slots
        for number in range(10):
            await call_service(site, make_call(f'q{number}', repeatable=True))
        worker_ids = [
            entry.details['worker_id']
            for entry in site.standins.history.iter_kind('request_ran')
        ]
        assert worker_id not in worker_ids[-10:]
        assert before == 0


def test_committed_document_is_current():
    path = importlib.resources.files('tulippin') / 'openapi.json'
    assert path.read_bytes() == render_document()
    validate(decode(path.read_bytes(), dict))


async def test_every_documented_path_is_served(open_daemons):
    async with open_daemons() as site:
        for operation in OPERATIONS:
            path = operation.path.replace('{number}', '1')
            path = path.replace('{', '').replace('}', '')
            for port in ('callers', 'operators'):
                if operation.listener not in {port, 'both'}:
                    continue
                status, body = await site.call(
                    operation.method.upper(), path, port=port
                )
                missing = isinstance(body, dict) and body.get('code') in {
                    'no_such_path',
                    'no_such_method',
                }
                assert not missing, (operation, status)
