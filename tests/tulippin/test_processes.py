"""Daemons in separate processes under load.

The scenarios roll out a bundle, kill and suspend processes, and restart
them one after another. The recorded history is checked in each of them.
"""

import collections
import json
import signal
import subprocess
import sys

import attrs
import pytest
import trio

from tulippin._http_client import HttpClient
from tulippin.bundles import compute_digest, make_key, sign
from tulippin.codec import decode, encode
from tulippin.exceptions import UnavailableError
from tulippin.history import check_history
from tulippin.standins import Standins, StandinSize, render_settings

EXTRA_SETTINGS = """
[limits]
balancer_grace_ms = 300
[log]
style = json
[timing]
lease_ms = 3000
renew_every_ms = 700
lease_margin_ms = 300
"""
BUNDLE = """
[bundle]
name = two-on-trial
[trial]
policies = new, old
window_s = 2
wash_out_s = 0
[policy new]
kind = interference
[policy old]
kind = least_loaded
[service alerts]
target_ms = 100
"""
SERVICE = {
    'job_id': 'service',
    'team': 'team',
    'kind': 'service',
    'job_class': 'alerts',
    'task_count': 6,
    'size': {'cpu_millicores': 500, 'memory_mb': 100},
    'priority': 1000,
}


@attrs.define
class Process:
    """The process of one daemon and the ports that it logged."""

    name: str
    handle: trio.Process
    ports: dict
    code: int | None = None


@attrs.define
class ProcessFleet:
    """Daemon processes, their stand-in services and callers."""

    standins: Standins
    client: HttpClient
    nursery: trio.Nursery
    directory: object
    keys: dict
    processes: list = attrs.field(factory=list)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    stopping: set = attrs.field(factory=set)

    async def start(self, number):
        path = self.directory / f'{number}.ini'
        path.write_text(
            render_settings(
                number,
                self.standins.url,
                {name: pair[1] for name, pair in self.keys.items()},
                EXTRA_SETTINGS,
            )
        )
        handle = await trio.lowlevel.open_process(
            [sys.executable, '-m', 'tulippin.daemon', str(path)],
            stderr=subprocess.PIPE,
        )
        line = b''
        while b'listening' not in line:
            line += await handle.stderr.receive_some()
        ports = json.loads(line.splitlines()[-1])
        name = f'instance-{number}#{len(self.processes)}'
        process = Process(name, handle, ports)
        self.processes.append(process)
        self.nursery.start_soon(drain, handle.stderr)
        self.standins.directory.instances.add(f'instance-{number}')
        self.standins.directory.publish()
        self.standins.history.note('instance_up', process=name)
        return process

    def iter_live(self):
        return [
            process
            for process in self.processes
            if process.handle.poll() is None
            and process.name not in self.stopping
        ]

    async def send(self, process, method, path, body=None, port='callers'):
        answer = await self.client.send(
            method,
            f'http://127.0.0.1:{process.ports[port]}{path}',
            b'' if body is None else encode(body),
        )
        return answer.status, decode(answer.body, dict)

    async def wait_ready(self):
        with trio.fail_after(40):
            for process in self.iter_live():
                while (await self.send(process, 'GET', '/readyz'))[0] != 200:
                    await trio.sleep(0.1)

    async def call(self, number):
        """Send a request to a live process and record its outcome."""
        history = self.standins.history
        request_id = f'request-{number}'
        repeatable = number % 3 != 0
        live = self.iter_live()
        process = live[number % len(live)]
        history.note(
            'caller_sent', request_id=request_id, repeatable=repeatable
        )
        outcome, body = 'cut', ''
        try:
            _, answer = await self.send(
                process,
                'POST',
                '/v1/services/alerts',
                {
                    'request_id': request_id,
                    'team': 'team',
                    'body': 'x',
                    'repeatable': repeatable,
                },
            )
        except UnavailableError:
            pass
        else:
            outcome, body = answer['outcome'], answer.get('body', '')
        self.outcomes[outcome] += 1
        history.note(
            'caller_answered',
            request_id=request_id,
            instance_id=process.name,
            outcome=outcome,
            body=body,
            expected=f'alerts:{request_id}:x',
        )

    async def call_many(self, first, count, max_concurrent=8):
        limiter = trio.CapacityLimiter(max_concurrent)

        async def call(number):
            async with limiter:
                await self.call(number)

        async with trio.open_nursery() as nursery:
            for number in range(first, first + count):
                nursery.start_soon(call, number)

    async def submit(self, job):
        status, _ = await self.send(
            self.iter_live()[0], 'POST', '/v1/jobs', job
        )
        assert status == 201

    async def wait_done(self, job_id, count, timeout_s=60):
        done_count = -1
        with trio.fail_after(timeout_s):
            while done_count != count:
                await trio.sleep(0.3)
                _, job = await self.send(
                    self.iter_live()[0], 'GET', f'/v1/jobs/{job_id}'
                )
                done_count = job.get('done_count', done_count)

    async def roll_bundle(self):
        digest = compute_digest(BUNDLE)
        for path, name, action, number in (
            ('', 'alice', 'propose', 0),
            ('/1/approve', 'bob', 'approve', 1),
            ('/1/roll', 'alice', 'roll', 1),
        ):
            signed = sign(self.keys[name][0], name, action, number, digest)
            body = {'operator': name, 'signature': signed.signature}
            if not path:
                body['text'] = BUNDLE
            status, answer = await self.send(
                self.iter_live()[0],
                'POST',
                f'/v1/bundles{path}',
                body,
                'operators',
            )
            assert status < 300, answer
        self.standins.history.note('bundle_accepted', number=1)
        with trio.fail_after(30):
            for process in self.iter_live():
                bundle_number = 0
                while bundle_number != 1:
                    _, dump = await self.send(
                        process, 'GET', '/v1/dump', port='operators'
                    )
                    bundle_number = dump['bundle']['number']
                    await trio.sleep(0.1)
                self.standins.history.note(
                    'bundle_taken', process=process.name, number=1
                )

    def check(self):
        for worker in self.standins.workers.values():
            worker.advance()
        violations = check_history(self.standins.history)
        assert not [violation.render() for violation in violations]


async def drain(stream):
    while await stream.receive_some():
        pass


async def run_scenario(directory, scenario):
    keys = {name: make_key() for name in ('alice', 'bob')}
    size = StandinSize(cell_count=3, workers_per_cell=2)
    async with (
        Standins(size) as standins,
        HttpClient(60) as client,
        trio.open_nursery() as nursery,
    ):
        fleet = ProcessFleet(standins, client, nursery, directory, keys)
        try:
            for number in range(3):
                await fleet.start(number)
            await fleet.wait_ready()
            await fleet.submit(SERVICE)
            await trio.sleep(2)
            await scenario(fleet)
            fleet.check()
        finally:
            for process in fleet.processes:
                process.handle.kill()
            nursery.cancel_scope.cancel()


async def roll_bundle_under_load(fleet):
    await fleet.submit(
        {
            'job_id': 'batch',
            'team': 'team',
            'task_count': 200,
            'run_ms': 400,
            'size': {'cpu_millicores': 1000, 'memory_mb': 100},
        }
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.call_many, 0, 1000)
        nursery.start_soon(fleet.roll_bundle)
    await fleet.wait_done('batch', 200)
    assert fleet.outcomes == {'answered': 1000}


async def kill_and_suspend(fleet):
    await fleet.submit(
        {'job_id': 'batch', 'team': 'team', 'task_count': 40, 'run_ms': 2000}
    )
    killed, suspended, _ = fleet.processes
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.call_many, 0, 300)
        await trio.sleep(0.7)
        killed.handle.kill()
        await trio.sleep(6)
        await fleet.start(0)
    fleet.stopping.add(suspended.name)
    suspended.handle.send_signal(signal.SIGSTOP)
    await fleet.call_many(1000, 100)
    await trio.sleep(5)
    suspended.handle.send_signal(signal.SIGCONT)
    await fleet.call_many(2000, 100)
    await fleet.wait_done('batch', 40)
    assert fleet.outcomes['answered'] > 400


async def rolling_restart(fleet):
    async def replace():
        for number in range(3):
            old = fleet.processes[number]
            fleet.standins.history.note('stop_began', instance_id=old.name)
            old.handle.send_signal(signal.SIGTERM)
            await trio.sleep(0.2)
            fleet.stopping.add(old.name)
            with trio.fail_after(40):
                assert await old.handle.wait() == 0
            await fleet.start(number)
            await fleet.wait_ready()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(replace)
        for batch in range(10):
            await fleet.call_many(batch * 100, 40, 4)
            await trio.sleep(0.5)
    assert set(fleet.outcomes) <= {'answered', 'not_run'}
    assert fleet.outcomes['answered'] > 300


@pytest.mark.parametrize(
    'scenario',
    [roll_bundle_under_load, kill_and_suspend, rolling_restart],
)
async def test_three_processes(tmp_path, scenario):
    await run_scenario(tmp_path, scenario)
