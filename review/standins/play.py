"""Starts instances as the deploy file does, and plays a case against them."""

import asyncio
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from standins.http import Connection
from standins.store import Store
from standins.worker import Fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'batch.example'
SERVICE = 'catalogue'
GRACE_S = 6
RESTART_S = 0.5
CALL_S = 3.0
RETRIES = 4
RACK = 8


# Below the ports that the system gives to clients.
PORTS = range(18_000, 32_000)
_taken = set()


def take_ports(count):
    """Return free ports of the loopback address, each one only once."""
    found = []
    while len(found) < count:
        port = random.choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as holder:
            try:
                holder.bind(('127.0.0.1', port))
            except OSError:
                continue
        _taken.add(port)
        found.append(port)
    return found


def fill(template, fields):
    """Fill the gaps of a settings template."""
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda gap: str(fields[gap[1]]), template
    )


class Instance:
    """One process of the system, started again whenever it ends."""

    def __init__(self, play, number):
        self._play = play
        self.name = f'edge-hall-{number}'
        front, ready, first, last = take_ports(4)
        first, last = sorted((first, last))
        self.front = f'127.0.0.1:{front}'
        self.ready = f'127.0.0.1:{ready}'
        self.process = None
        self.is_in = False
        self.output = play.folder / f'{self.name}.log'
        self._path = play.folder / f'{self.name}.conf'
        role = play.deploy['roles']['scheduler']
        fields = {
            'NodeName': self.name,
            'Zone': 'hall',
            'Region': 'lakes',
            'Limits.CpuShare': 1.0,
            'Limits.Cores': 1,
            'ListenAddrs.Front': self.front,
            'ListenAddrs.Ready': self.ready,
            'Ip': '127.0.0.1',
            'InternalPortRange': f'{first},{last}',
            'platform.Address': play.store.server.address,
            'advice': '127.0.0.1:9',
            'Bounds.MaxHoldMs': 10_000,
            'Bounds.GraceS': GRACE_S,
            'Bounds.harm_ms': 4000,
        }
        template = (ROOT / role['template']).read_text()
        self._path.write_text(fill(template, fields))
        self._command = [
            shutil.which(word)
            if not place
            else word.replace('/etc/tulippin/boot.conf', str(self._path))
            for place, word in enumerate(role['run'].split())
        ]

    async def run(self):
        """Keep the process running, as the platform does."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['TULIPPIN_BOOT'] = str(self._path)
        while True:
            with open(self.output, 'ab') as output:
                self.process = await asyncio.create_subprocess_exec(
                    *self._command,
                    cwd=ROOT,
                    env=environment,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                )
            self._play.record(f'{self.name} starts')
            code = await self.process.wait()
            self._play.record(f'{self.name} ends with {code}')
            await asyncio.sleep(RESTART_S)

    async def watch(self):
        """Ask for readiness once a second, as the balancer does."""
        missed = 0
        while True:
            try:
                status, _, _ = await Connection(self.ready).send(
                    'GET', '/v1/ready', {'Host': 'x'}, timeout_s=1
                )
            except (OSError, EOFError):
                status = 0
            missed = 0 if status == 200 else missed + 1
            if missed == 0 or missed >= 2:
                self.is_in = missed == 0
            await asyncio.sleep(1)

    def kill(self):
        """Send SIGKILL to the process."""
        self._play.record(f'{self.name} gets SIGKILL')
        self.process.send_signal(signal.SIGKILL)

    def read_log(self):
        """Return the lines that the instance has logged."""
        found = []
        for line in self.output.read_bytes().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                found.append({'message': line.decode(errors='replace')})
        return found


class Play:
    """A store, workers, instances and clients, and a record of all."""

    def __init__(self, record_path, seed=1, max_attempts=3):
        self._began = time.monotonic()
        self._file = open(record_path, 'w')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.store = Store(self.record, seed)
        self.fleet = Fleet(self.store, SERVICE, self.record)
        self.instances = []
        self.accepted = {}
        self.states = collections.defaultdict(list)
        self._tasks = []
        self._max_attempts = max_attempts
        self._turn = 0

    @property
    def now(self):
        """Seconds since the play began."""
        return time.monotonic() - self._began

    def get_accepted_at(self, job_id):
        """Return when a job was accepted, by the steady clock."""
        return self._began + self.accepted[job_id]

    def get_time(self, at):
        """Return a time of the steady clock as one of the play."""
        return at - self._began

    def record(self, text, at=None):
        """Write a line with its time into the record."""
        if self._file.closed:
            return
        at = self.now if at is None else at - self._began
        self._file.write(f'{at:9.3f} {text}\n')
        self._file.flush()

    async def open(self, instances, cpu, memory_mb, zones):
        """Start everything, and wait until all instances are in.

        Each zone has a number of workers, eight in a rack.
        """
        await self.store.server.start()
        self.store.write('op', 'config', self._make_config())
        places = [
            (f'r{place}-{within // RACK + 1}', zone)
            for place, (zone, count) in enumerate(zones.items(), 1)
            for within in range(count)
        ]
        for rack, zone in places:
            worker = self.fleet.add(cpu, memory_mb, rack, zone)
            await worker.server.start()
            self._spawn(worker.beat())
        for number in range(instances):
            instance = Instance(self, number + 1)
            self.instances.append(instance)
            self._spawn(instance.run())
            self._spawn(instance.watch())
        self._spawn(self._measure_lag())
        for _ in range(400):
            if all(one.is_in for one in self.instances):
                if await self.find_owner() is not None:
                    self.record('all instances are in')
                    return
            await asyncio.sleep(0.1)
        raise CannotRun('the instances were not ready within 40 s')

    async def _measure_lag(self):
        """Tell where the stand-ins themselves are late."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.05)
            lag = time.monotonic() - began - 0.05
            if lag > 0.2:
                self.record(f'the stand-ins were late by {lag:.2f} s')

    def _make_config(self):
        return {
            'Version': 3,
            'Routes': [
                {
                    'Name': 'r-batch',
                    'Host': HOST,
                    'PathPrefix': '/batch/',
                    'Kind': 'non_idempotent',
                    'TimeoutMs': 3000,
                    'TargetLatencyMs': 1000,
                    'Priority': 2,
                    'Service': SERVICE,
                    'MaxAttempts': self._max_attempts,
                    'Stretch': 2.0,
                }
            ],
            'Services': [
                {
                    'Name': SERVICE,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 64,
                    'Protocol': 'h1',
                    'Tls': False,
                    'EnforcesCapacity': True,
                    'Spare': False,
                }
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }

    def _spawn(self, work):
        self._tasks.append(asyncio.create_task(work))
        self._tasks[-1].add_done_callback(self._note_fault)

    def _note_fault(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.record(f'a stand-in failed: {task.exception()!r}')

    async def close(self):
        """End all processes that were started here."""
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            if (
                instance.process is not None
                and instance.process.returncode is None
            ):
                instance.process.kill()
                await instance.process.wait()
        self._file.close()
        shutil.rmtree(self.folder)

    async def find_owner(self):
        """Return the instance that the last lease in the store names."""
        layout = self.store.read('units', 'layout', 'layout')
        if layout is None:
            return None
        unit = layout['racks'].get('r1-1', 0)
        lease = self.store.read('units', f'u{unit}', 'lease')
        if lease is None or lease['released']:
            return None
        for one in self.instances:
            if one.name == lease['instance_id']:
                return one
        return None

    # -- clients -----------------------------------------------------------

    def choose(self):
        """Return the next instance that the balancer would use."""
        usable = [one for one in self.instances if one.is_in]
        if 2 * len(usable) < len(self.instances):
            usable = self.instances
        self._turn += 1
        return usable[self._turn % len(usable)]

    async def call(self, method, job_id, body=b'', instance=None, quiet=False):
        """Send one call; return its status and body, 0 without an answer."""
        instance = instance or self.choose()
        connection = Connection(instance.front)
        headers = {
            'Host': HOST,
            'Content-Type': 'application/json',
            'Deadline-Ms': str(int(CALL_S * 1000)),
        }
        try:
            status, _, answer = await connection.send(
                method, f'/batch/{job_id}', headers, body, CALL_S
            )
        except (OSError, EOFError):
            status, answer = 0, b''
        finally:
            connection.close()
        if not quiet:
            text = answer.decode(errors='replace')[:120]
            self.record(
                f'{method} {job_id} at {instance.name}: {status} {text}'
            )
        return status, answer

    async def submit(self, job_id, job, retries=RETRIES):
        """Hand in a job, again after no answer, 502 or 504; tell the status."""
        self.fleet.jobs[job_id] = job
        body = json.dumps(job).encode()
        self.record(f'job {job_id}: {json.dumps(job)[:400]}')
        status = 0
        for number in range(1 + retries):
            status, _ = await self.call('POST', job_id, body)
            if status == 200:
                self.accepted[job_id] = self.now
                return status
            if status in (429, 503, 404, 400):
                return status
            await asyncio.sleep(0.2)
        return status

    async def get_state(self, job_id):
        """Return a job's state, or an empty text without an answer of 200."""
        status, answer = await self.call('GET', job_id, quiet=True)
        state = json.loads(answer)['State'] if status == 200 else ''
        shown = state or f'status {status}'
        if not self.states[job_id] or self.states[job_id][-1][1] != shown:
            self.states[job_id].append((self.now, shown))
            self.record(f'job {job_id} is shown as {shown}')
        return state

    async def wait_completed(self, job_ids, limit_s):
        """Return the jobs that are not completed within a time."""
        ends = self.now + limit_s
        left = set(job_ids)
        while left and self.now < ends:
            for job_id in sorted(left):
                if await self.get_state(job_id) == 'completed':
                    left.discard(job_id)
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.2)
        return sorted(left)

    def write_events(self):
        """Write what the workers saw into the record."""
        for at, kind, worker, task, run, detail in self.fleet.events:
            if task is not None:
                self.record(f'  {worker} {kind} {task} run {run} {detail}', at)


class CannotRun(Exception):
    """The case could not be played."""


def main(case):
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 otherwise."""
    has_trouble = sys.argv[1] != '0'
    path = pathlib.Path(sys.argv[0]).resolve().parent / 'record.txt'

    async def play():
        one = Play(path)
        try:
            async with asyncio.timeout(110):
                return await case(one, has_trouble)
        except (CannotRun, TimeoutError) as error:
            one.record(f'could not run: {error!r}')
            return 2
        finally:
            await one.close()

    code = asyncio.run(play())
    print(f'exit {code}')
    sys.exit(code)
