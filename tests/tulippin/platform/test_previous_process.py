"""The end of an instance's previous process is logged at its next start.

Without it a log can't tell a kill from an error, and an instance that fails on
advisory input fails again at each restart.
"""

import contextlib
import json
import signal
import socket
import time

import pytest
import trio
from test_platform_daemon import SETTINGS, serve

from instance_processes import (
    BESIDE,
    open_instance,
    read_to_end,
    read_until,
    run_instance,
)
from tulippin import scheduler_daemon
from tulippin._http_client import HttpClient
from tulippin.line_buffer import LineBuffer
from tulippin.platform.standin_http import StandinServers
from tulippin.scheduler_daemon import SchedulerDaemon
from tulippin.scheduler_settings import parse_scheduler_settings

FAIL = """
async def fail(self):
    await trio.sleep(0.5)
    config = self._shell.config
    module.logger.info('planted', is_without=config.is_without_advice)
    1 / 0
"""
FAIL_BESIDE_SILENCE = """
async def fail(self):
    await trio.sleep(0.5)
    self.settings = module.attrs.evolve(self.settings, store_address='{0}')
    1 / 0
module._FAILURE_WRITE_TIMEOUT_S = {1}
"""


@contextlib.contextmanager
def listen_silently():
    """Yield the address of a listener that accepts and never answers."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        yield f'{host}:{port}'


def write_settings(folder, store_address):
    path = folder / 'instance.ini'
    path.write_text(SETTINGS.format(store=store_address))
    return path


async def run_injected(path, injected):
    return await run_instance('scheduler_daemon', injected, path)


@contextlib.asynccontextmanager
async def open_until(path, message, injected=''):
    """Start an instance; yield it and its output up to a log message."""
    process = await open_instance('scheduler_daemon', injected, path)
    try:
        yield process, await read_until(process, message)
    finally:
        process.kill()


async def run_until(path, number):
    """Run an instance, and send it a signal once it has started."""
    async with open_until(path, 'started') as (process, output):
        # The record of this process is written concurrently.
        await trio.sleep(0.5)
        process.send_signal(number)
        return await read_to_end(process, output=output)


async def test_third_failed_start_in_a_row_begins_without_advice(tmp_path):
    async with StandinServers() as servers:
        path = write_settings(tmp_path, servers.store_address)
        processes = [await run_injected(path, FAIL + BESIDE) for _ in range(4)]
    logged = [process.find('last life') for process in processes]
    assert [one['end'] for one in logged] == ['none'] + ['failed'] * 3
    assert [one['failed_starts'] for one in logged] == [0, 1, 2, 3]
    assert logged[1]['cause'] == "ZeroDivisionError('division by zero')"
    assert logged[1]['place'].endswith(' fail')
    assert 400 <= logged[1]['lasted_ms'] < 10_000
    is_without = [
        process.find('planted')['is_without'] for process in processes
    ]
    assert is_without == [False, False, False, True]
    assert logged[3]['is_without_advice'] is True


@pytest.mark.parametrize(
    ('number', 'end', 'code'),
    [(signal.SIGTERM, 'planned', 0), (signal.SIGKILL, 'unknown', -9)],
)
async def test_stop_and_kill_are_distinguished(tmp_path, number, end, code):
    async with StandinServers() as servers:
        path = write_settings(tmp_path, servers.store_address)
        first = await run_until(path, number)
        second = await run_injected(path, FAIL + BESIDE)
    assert first.code == code
    logged = second.find('last life')
    assert logged['end'] == end
    assert logged['lasted_ms'] > 0


async def test_second_stop_signal_during_the_stop_changes_nothing(tmp_path):
    async with StandinServers() as servers:
        path = write_settings(tmp_path, servers.store_address)
        async with open_until(path, 'started') as (process, output):
            for _ in range(20):
                process.send_signal(signal.SIGTERM)
                await trio.sleep(0.01)
            first = await read_to_end(process, output=output)
        second = await run_injected(path, FAIL + BESIDE)
    assert first.code == 0
    assert second.find('last life')['end'] == 'planned'


async def test_unresponsive_store_delays_exit_only_briefly(tmp_path):
    with listen_silently() as silent:
        async with StandinServers() as servers:
            path = write_settings(tmp_path, servers.store_address)
            injected = FAIL_BESIDE_SILENCE.format(silent, 0.3) + BESIDE
            ended = await run_injected(path, injected)
            again = await run_injected(path, FAIL + BESIDE)
    assert ended.code == 1
    assert ended.find('instance failed')
    # The row has only the start of the process.
    assert again.find('last life')['end'] == 'unknown'
    assert again.find('last life')['failed_starts'] == 1


async def test_signal_during_the_last_write_ends_the_process(tmp_path):
    with listen_silently() as silent:
        async with StandinServers() as servers:
            path = write_settings(tmp_path, servers.store_address)
            injected = FAIL_BESIDE_SILENCE.format(silent, 60) + BESIDE
            opened = open_until(path, 'instance failed', injected)
            async with opened as (process, output):
                # The write begins right after the log line.
                await trio.sleep(0.5)
                began_s = time.monotonic()
                process.send_signal(signal.SIGTERM)
                ended = await read_to_end(process, output=output)
    assert time.monotonic() - began_s < 5
    assert ended.code == -signal.SIGTERM
    assert ended.find('instance failed')


async def test_stop_before_the_store_has_answered_is_complete(tmp_path):
    with listen_silently() as silent:
        path = write_settings(tmp_path, silent)
        ended = await run_until(path, signal.SIGTERM)
    assert ended.code == 0
    assert ended.find('stopped')
    reasons = [one for one in ended.lines if one['message'] == 'life not kept']
    assert len(reasons) == 2


async def test_unresponsive_store_does_not_delay_listeners(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(scheduler_daemon, '_PREVIOUS_RECORD_TIMEOUT_S', 60)
    monkeypatch.setattr(scheduler_daemon, '_STORE_TIMEOUT_S', 60)
    with listen_silently() as silent:
        path = write_settings(tmp_path, silent)
        settings = parse_scheduler_settings(path.read_text())
        with open(tmp_path / 'log', 'wb') as log:
            lines = LineBuffer(log.fileno(), {})
            daemon = SchedulerDaemon(settings, lines, str(path))
            async with trio.open_nursery() as nursery, HttpClient(2) as client:
                nursery.start_soon(daemon.run)
                with trio.fail_after(5):
                    while len(daemon.ports) < 3:
                        await trio.sleep(0.01)
                    port = daemon.ports['callers']
                    url = f'http://127.0.0.1:{port}/q/00112233445566aa'
                    answer = await client.send('GET', url)
                nursery.cancel_scope.cancel()
    assert answer.status == 503
    assert answer.headers['retry-after'] == '1'


async def test_operators_see_the_previous_process(tmp_path):
    async with serve(tmp_path) as site:
        port = site.daemon.ports['internal']
        response = await site.call('GET', '/v1/lives', port=port)
        (shown,) = json.loads(response.body)['lives']
        assert shown['end'] == 'none'
        dump = await site.call('GET', '/v1/dump', port=port)
        assert json.loads(dump.body)['lives'] == [shown]
        metrics = await site.call('GET', '/metrics', port=port)
        assert b'tulippin_failed_starts 0.0' in metrics.body
        assert b'# TYPE tulippin_failures_total counter' in metrics.body
