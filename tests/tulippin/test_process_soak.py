"""A seeded scenario of instances as processes, and its stand-in workers.

``bench/soak_processes.py`` plays any number of them.
"""

import contextlib
import math
import pathlib
import random
import signal
import socket
import subprocess
import sys

import attrs
import pytest
import trio
import trio.testing

import process_soak
from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError
from tulippin.jobs.ports import StartOrder
from tulippin.jobs.types import OrderOutcome, TaskKey
from tulippin.platform.standin_http import StandinServers
from tulippin.platform.workers import PlatformWorkers

START_SCRIPT = (
    pathlib.Path(__file__).parents[2] / 'deploy' / 'tulippin_instance.py'
)
DIE_ON_STOP = """
import os
module.SchedulerDaemon.stop = lambda self: os._exit(3)
"""


@pytest.mark.parametrize('seed', [1, 9])
async def test_processes_keep_their_promises_under_faults(tmp_path, seed):
    violations, counts = await process_soak.play(seed, tmp_path)
    assert violations == []
    assert counts['accepted'] > 0


async def test_restarted_workers_that_are_cut_off_run_no_task_twice(tmp_path):
    violations, counts = await process_soak.play(
        1, tmp_path, instances=2, faults_s=3, cuts_in_series=True
    )
    assert violations == []
    assert counts['accepted'] > 0
    assert counts['cut off'] > 0


def make_start(worker, index=0):
    key = TaskKey('a', 0, 0, index)
    spec = '{"run_ms": 60000}'
    deadline_ms = worker.clock_ms + 5000
    return StartOrder('w0', worker.address, key, 1, spec, deadline_ms, 1)


@contextlib.asynccontextmanager
async def open_silent(function, *arguments):
    """Run a fault beside a client that has a connection and a run."""
    async with StandinServers(1) as servers, trio.open_nursery() as nursery:
        worker = servers.platform.workers['w0']
        agents = PlatformWorkers(lambda: HttpClient(0.5))
        answer = await agents.start(make_start(worker))
        assert answer.outcome is OrderOutcome.STARTED
        nursery.start_soon(getattr(servers, function), 'w0', *arguments)
        await trio.testing.wait_all_tasks_blocked()
        yield servers, agents, worker
        await agents.forget('w0')


async def test_standin_worker_that_is_cut_off_is_silent_and_runs_on():
    async with open_silent('cut_off', 1.2) as (_, agents, worker):
        began_s = trio.current_time()
        answer = await agents.start(make_start(worker, 1))
        assert answer.outcome is OrderOutcome.UNKNOWN
        assert trio.current_time() - began_s > 0.4
        assert len(worker.runs) == 1
        with trio.fail_after(10):
            while worker.unreachable_clients:
                await trio.sleep(0.01)
        answer = await agents.start(make_start(worker, 2))
        assert answer.outcome is OrderOutcome.STARTED
        assert len(worker.runs) == 2


async def test_standin_worker_restarts_silently_behind_its_connections():
    async with open_silent('restart_silently', 0.05) as (servers, agents, _):
        with trio.fail_after(10):
            while not servers.platform.workers['w0'].is_up:
                await trio.sleep(0.01)
        worker = servers.platform.workers['w0']
        answer = await agents.start(make_start(worker, 1))
        assert answer.outcome is OrderOutcome.UNKNOWN
        assert worker.runs == {}
        answer = await agents.start(make_start(worker, 1))
        assert answer.outcome is OrderOutcome.STARTED


async def test_crashed_standin_worker_carries_out_no_order(contained_failures):
    """Guards against runs of a worker that has ended, which never end."""
    async with StandinServers(1) as servers:
        worker = servers.platform.workers['w0']
        worker.crash()
        agents = PlatformWorkers(lambda: HttpClient(1.0))
        order = StartOrder(
            'w0', worker.address, TaskKey('a', 0, 0, 0), 1, '{}', 10**9, 1
        )
        answer = await agents.start(order)
        await agents.forget('w0')
        assert answer.outcome is not OrderOutcome.STARTED
        assert servers.platform.history == []
    # The stand-in loses the answer by an error, which is reported unless the
    # servers end before.
    errors = [one.error for one in contained_failures]
    assert all(isinstance(error, AnswerLostError) for error in errors)
    assert len(errors) <= 1
    contained_failures.clear()


def split_address(address):
    host, _, port = address.partition(':')
    return host, int(port)


async def test_standin_worker_keeps_its_port_while_it_is_down():
    async with StandinServers(1) as servers:
        worker = split_address(servers.platform.workers['w0'].address)
        store = split_address(servers.store_address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(servers.restart_worker, 'w0', math.inf)
            await trio.testing.wait_all_tasks_blocked()
            with pytest.raises(OSError, match='in use'):
                socket.create_connection(store, 1, source_address=worker)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(worker, 1)
            nursery.cancel_scope.cancel()
        await servers.restart_worker('w0', 0)
        socket.create_connection(worker, 1).close()


async def test_standin_worker_waits_for_its_earlier_listener():
    """A process that is being started holds copies of all sockets."""
    async with StandinServers(1) as servers:
        worker = split_address(servers.platform.workers['w0'].address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(servers.restart_worker, 'w0', math.inf)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        earlier = socket.create_server(worker)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(servers.restart_worker, 'w0', 0)
            await trio.testing.wait_all_tasks_blocked()
            earlier.close()
        socket.create_connection(worker, 1).close()


async def test_restarts_of_a_standin_worker_follow_each_other():
    async with StandinServers(1) as servers:
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(servers.restart_worker, 'w0', 0.02)
        worker = servers.platform.workers['w0']
        assert worker.is_up
        socket.create_connection(split_address(worker.address), 1).close()


async def test_reload_of_a_starting_instance_does_not_end_it(tmp_path):
    async with StandinServers(1) as servers:
        path = tmp_path / 'instance.ini'
        path.write_text(process_soak.make_settings('i', servers.store_address))
        process = await trio.lowlevel.open_process(
            [sys.executable, str(START_SCRIPT), str(path)],
            stdout=subprocess.DEVNULL,
        )
        with trio.fail_after(10):
            while not process_soak.survives_reload(process):
                await trio.sleep(0.005)
            process.send_signal(signal.SIGHUP)
            while not process_soak.handles_signal(process, signal.SIGTERM):
                assert process.poll() is None
                await trio.sleep(0.005)
            # An early stop must not hide an end by the reload.
            await trio.sleep(2)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


@attrs.define
class StoppingSoak(process_soak.ProcessSoak):
    """Processes that are asked to stop as soon as they are started."""

    async def stop_started(self, *, is_reached):
        await self.start('edge-0')
        (instance,) = self.instances
        with trio.fail_after(10):
            while is_reached and not process_soak.handles_signal(
                instance.process, signal.SIGTERM
            ):
                await trio.sleep(0.01)
        await self.stop_all()
        return instance.process.returncode


async def open_stopping(folder, *, is_reached):
    async with StandinServers(1) as servers, trio.open_nursery() as nursery:
        source = random.Random(1)
        soak = StoppingSoak(servers, nursery, source, source, folder, 0)
        code = await soak.stop_started(is_reached=is_reached)
        nursery.cancel_scope.cancel()
    return code, soak.violations


async def test_stop_of_a_process_without_its_handlers_is_no_violation(tmp_path):
    code, violations = await open_stopping(tmp_path, is_reached=False)
    assert code == -signal.SIGTERM
    assert violations == []


async def test_process_with_its_handlers_must_stop_with_code_0(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(
        process_soak, 'PRINT_PORTS', process_soak.PRINT_PORTS + DIE_ON_STOP
    )
    code, violations = await open_stopping(tmp_path, is_reached=True)
    assert code == 3
    assert violations == ['edge-0 ended with 3']
