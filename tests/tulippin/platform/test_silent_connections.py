"""Open connections are blackholed without a reset; new ones work."""

import contextlib
import json

import pytest
import trio
from test_platform_daemon import BODY, JOB, serve

from silent_proxy import SilentProxy
from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import RowWrite, Transaction
from tulippin.platform.standin_http import StandinServers
from tulippin.platform.store import PlatformStore
from tulippin.platform.workers import PlatformWorkers

STORE_TIMEOUT_S = 0.4
WAIT_MS = 800
# Tolerance above the timeout of a call on a busy machine.
SLACK_S = 0.6


@contextlib.asynccontextmanager
async def open_proxy(target):
    async with trio.open_nursery() as nursery:
        proxy = SilentProxy(target)
        await nursery.start(proxy.run)
        yield proxy
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_store():
    async with (
        StandinServers() as servers,
        open_proxy(servers.store_address) as proxy,
        HttpClient(STORE_TIMEOUT_S) as client,
    ):
        yield PlatformStore(proxy.address, client), proxy


async def test_read_on_a_silent_connection_ends_and_the_next_one_works():
    async with open_store() as (store, proxy):
        await store.read_rows('units', 'u0')
        proxy.silence()
        with trio.fail_after(STORE_TIMEOUT_S + SLACK_S):
            with pytest.raises(UnavailableError):
                await store.read_rows('units', 'u0')
        with trio.fail_after(SLACK_S):
            await store.read_rows('units', 'u0')
        assert proxy.discarded_bytes


async def test_feed_that_waits_on_a_silent_connection_ends():
    async with open_store() as (store, proxy):
        page = await store.read_rows('units', 'u0')
        caught = []

        async def follow():
            with pytest.raises(UnavailableError) as error:
                await store.follow('units', page.version, WAIT_MS)
            caught.append(error)

        limit_s = WAIT_MS / 1000 + STORE_TIMEOUT_S + SLACK_S
        with trio.fail_after(limit_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow)
                await trio.sleep(0.1)
                proxy.silence()
        assert caught


async def test_write_on_a_silent_connection_is_in_doubt():
    async with open_store() as (store, proxy):
        write = Transaction('p', (), (RowWrite('t', 'key', b'value'),))
        await store.transact(write)
        proxy.silence()
        with trio.fail_after(STORE_TIMEOUT_S + SLACK_S):
            with pytest.raises(AnswerLostError):
                await store.transact(write)


async def test_hold_on_a_silent_connection_ends_and_the_next_one_works():
    async with StandinServers() as servers:
        name = next(iter(servers.platform.workers))
        worker = servers.platform.workers[name]
        async with open_proxy(worker.address) as proxy:
            workers = PlatformWorkers(lambda: HttpClient(STORE_TIMEOUT_S))
            hold = (name, proxy.address, 1, 0, None, WAIT_MS)
            await workers.hold(*hold)
            proxy.silence()
            limit_s = WAIT_MS / 1000 + STORE_TIMEOUT_S + SLACK_S
            with trio.fail_after(limit_s):
                with pytest.raises(UnavailableError):
                    await workers.hold(*hold)
            with trio.fail_after(WAIT_MS / 1000 + SLACK_S):
                await workers.hold(*hold)
            await workers.forget(name)


async def test_job_is_accepted_after_all_store_connections_go_silent(
    tmp_path,
):
    async with open_proxy('') as proxy, serve(tmp_path, proxy=proxy) as site:
        answer = await site.call('POST', f'/q/{JOB}', BODY)
        assert answer.status == 200
        proxy.silence()
        other = f'{JOB[:-1]}b'
        answer = await site.call('POST', f'/q/{other}', BODY)
        assert answer.status == 200
        assert proxy.discarded_bytes


async def test_owner_keeps_its_unit_over_silent_connections(tmp_path):
    async with open_proxy('') as proxy, serve(tmp_path, proxy=proxy) as site:
        await site.call('POST', f'/q/{JOB}', BODY)
        await site.wait_state('completed')
        proxy.silence()
        await trio.sleep(3)
        dump = await site.call(
            'GET', '/v1/units', port=site.daemon.ports['internal']
        )
        unit = json.loads(dump.body)['units'][0]
        assert unit['phase'] == 'active'
        assert unit['epoch'] == 1
        assert unit['renewed_ago_ms'] < 1500
