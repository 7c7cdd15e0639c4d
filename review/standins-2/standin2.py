"""Stand-ins for the scripts of the second review; standard library only.

One process serves the platform's store and its workers over HTTP/1.1 on
loopback and starts instances of the system with the command of the deploy
file. It does only what PROTOCOL.md says, and is sound where the page is silent.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = ('python3', 'deploy/tulippin_instance.py')  # `run` of the deploy file
STARTED_S = time.monotonic()


def now_ms():
    return int(time.monotonic() * 1000)


HELD = []


def free_ports(count):
    """Return free ports, which stay reserved while this process runs.

    A bound socket that does not listen keeps the system from giving its port
    to another one, and leaves it to the instance, which sets SO_REUSEADDR.
    """
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(('127.0.0.1', 0))
    HELD.extend(held)
    return [one.getsockname()[1] for one in held]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, 'w', buffering=1)

    def note(self, what, **fields):
        at_s = time.monotonic() - STARTED_S
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{at_s:8.3f} {what} {text}\n')


class Server:
    """A small HTTP/1.1 server; ``handle`` gets method, target, headers, body.

    ``handle`` returns (status, body as bytes), or None for silence.
    """

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port or free_ports(1)[0]
        self.server = None
        self.writers = set()

    async def start(self):
        for _ in range(200):
            try:
                self.server = await asyncio.start_server(
                    self._serve, '127.0.0.1', self.port, backlog=256
                )
                break
            except OSError:
                await asyncio.sleep(0.02)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Stop at once, as a crashed process: connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, text = line.partition(':')
                    if name:
                        headers[name.lower()] = text.strip()
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()


def dump(value):
    return json.dumps(value).encode()


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.forgotten = 0
        self.lost_share = 0.0
        self.late_share = 0.0
        self.slow_s = 0.002
        self.random = random.Random(2)

    def put(self, table, part, key, value):
        self.version += 1
        self._put(table, part, key, value)
        self._wake()

    def _put(self, table, part, key, value):
        row = {'table': table, 'part': part, 'Key': key, 'ver': self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row['gone'] = True
        else:
            row['Value'] = value
            self.rows[table, part, key] = row
        self.changes.append(row)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, value):
        text = None
        if value is not None:
            text = base64.b64encode(dump(value)).decode()
        self.put(table, '', key, text)

    def read_json(self, table, part, key):
        row = self.rows.get((table, part, key))
        return row and json.loads(base64.b64decode(row['Value']))

    def _page(self, rows=(), more=False, version=None):
        return dump(
            {
                'rows': list(rows),
                'more': more,
                'ver': self.version if version is None else version,
                'now_ms': now_ms(),
            }
        )

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(self.slow_s)
        if path == '/v1/rows-tx':
            if self.random.random() < self.late_share:
                asyncio.create_task(self._transact_late(json.loads(body)))
                return None
            answer = self._transact(json.loads(body))
            if self.random.random() < self.lost_share:
                return None
            return answer
        if path == '/v1/rows-get':
            return self._get(fields)
        if path == '/v1/rows-feed':
            return await self._feed(fields)
        if path == '/v1/rows-parts':
            parts = sorted(
                {
                    part
                    for table, part, _ in self.rows
                    if table == fields['table']
                }
            )
            return 200, dump({'parts': parts, 'ver': self.version})
        return 404, b'{}'

    async def _transact_late(self, body):
        await asyncio.sleep(self.random.uniform(1, 6))
        self._transact(body)

    def _transact(self, body):
        expected = body.get('ExpectedRevision', [])
        puts = body.get('put', [])
        removes = body.get('Remove', [])
        entries = [*expected, *puts, *removes]
        if len(entries) > 100 or len({one['part'] for one in entries}) > 1:
            return 400, b'{}'
        for one in puts:
            if len(base64.b64decode(one['Value'])) > 65536:
                return 413, b'{}'
        found = []
        is_met = True
        for one in expected:
            row = self.rows.get((one['table'], one['part'], one['Key']))
            is_met &= (row['ver'] if row else 0) == one['ver']
            if row:
                found.append(row)
        if not is_met:
            return 412, self._page(found)
        self.version += 1
        for one in puts:
            self._put(one['table'], one['part'], one['Key'], one['Value'])
        for one in removes:
            self._put(one['table'], one['part'], one['Key'], None)
        self._wake()
        return 200, self._page()

    def _get(self, fields):
        first, end = fields.get('From', ''), fields.get('TargetVersion', '')
        found = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == fields['table']
                and part == fields.get('part', '')
                and key >= first
                and (not end or key < end)
            ),
            key=lambda row: row['Key'].encode(),
        )
        limit = min(500, int(fields.get('limit', 500)))
        return 200, self._page(found[:limit], len(found) > limit)

    def forget_history(self):
        self.changes.clear()
        self.forgotten = self.version

    async def _feed(self, fields):
        after = int(fields['AfterRevision'])
        if after < self.forgotten:
            return 410, b'{}'
        ends_s = time.monotonic() + int(fields.get('WaitMs', 0)) / 1000
        while True:
            found = [
                row
                for row in self.changes
                if row['ver'] > after and row['table'] == fields['table']
            ]
            left_s = ends_s - time.monotonic()
            if found or left_s <= 0:
                return 200, self._page(found)
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Run:
    """A run; what it does stands in its job's ``Spec`` as JSON.

    ``run_ms``: its work, ``lasts``: it has no end, ``fails``: the share of
    tasks (by index, in percent) whose runs end ``failed``.
    """

    def __init__(self, bench, worker_id, task, run, spec, checkpoint):
        self.bench = bench
        self.worker_id = worker_id
        self.task = task
        self.run = run
        self.plan = json.loads(spec)
        self.checkpoint = checkpoint
        self.came_ms = now_ms()
        self.began_ms = now_ms()
        self.saved_ms = int(checkpoint, 16) if checkpoint else 0
        self.stops_ms = None
        self.is_broken = False
        job, occurrence, step, _ = task.split('.')
        self.step = bench.jobs[job]['Steps'][int(step)]
        self.gang = None
        if self.step.get('Gang'):
            self.gang = bench.gangs.setdefault((job, occurrence, step, run), {})
            self.gang[task] = self
            if len(self.gang) == self.step['Count']:
                for member in self.gang.values():
                    member.began_ms = now_ms()

    @property
    def is_whole(self):
        return self.gang is None or len(self.gang) == self.step['Count']

    def worked_ms(self):
        age_ms = now_ms() - self.began_ms if self.is_whole else 0
        return self.saved_ms + age_ms

    def save(self):
        if self.step.get('Checkpointing'):
            self.checkpoint = f'{self.worked_ms() // 500 * 500:08x}'

    def outcome(self):
        if self.stops_ms is not None:
            return 'stopped' if now_ms() >= self.stops_ms else None
        if self.is_broken:
            return 'broken'
        if not self.is_whole:
            waited_ms = now_ms() - self.came_ms
            return 'alone' if waited_ms > self.bench.gang_ms else None
        if self.plan.get('lasts') and self.step.get('LongRunning'):
            return self.bench.outcome_of_lasting(self)
        if self.worked_ms() < self.plan.get('run_ms', 300):
            return None
        index = int(self.task.rsplit('.', 1)[1])
        fails = index * 37 % 100 < self.plan.get('fails', 0)
        return 'failed' if fails else 'done'

    def percent(self):
        if self.step.get('LongRunning'):
            return 100
        return min(99, 100 * self.worked_ms() // self.plan.get('run_ms', 300))


class Machine:
    """A machine whose worker has a new id after each crash."""

    def __init__(
        self,
        bench,
        name,
        labels,
        cpu=16000,
        memory_mb=32768,
        service=None,
        zone='z1',
    ):
        self.bench = bench
        self.name = name
        self.service = service or bench.service
        self.labels = labels
        self.zone = zone
        self.capacity = {'Cpu': cpu, 'MemMb': memory_mb, 'Gpus': 0}
        self.life = 0
        self.server = Server(self.handle)
        self.is_up = False
        self.heartbeat = None
        self.is_cut = False
        self.is_mute = False  # its entry is not written

    @property
    def id(self):
        return f'i-{self.name}-{self.life}'

    @property
    def clock_ms(self):
        return now_ms() - self.offset_ms

    async def start(self):
        self.life += 1
        self.offset_ms = now_ms() - 100_000
        self.runs = {}
        self.ended = []
        self.highest = {}
        self.fence = 0
        self.number = 0
        self.lease_ms = 0
        self.sequence = 0
        self.state = 'ready'
        self.changed = asyncio.Event()
        await self.server.start()
        self.is_up = True
        self.bench.record.note('worker up', worker=self.id)
        self.heartbeat = asyncio.create_task(self._beat(self.id))

    def crash(self, heartbeats=3):
        """End: all runs die, connections break.

        A crashing worker says nothing: its entry goes after three heartbeats.
        """
        self.bench.record.note(
            'worker ends', worker=self.id, runs=sorted(map(str, self.runs))
        )
        for (task, run), one in self.runs.items():
            self.bench.note_run('lost', self.id, task, run)
            if one.gang is not None:
                for member in one.gang.values():
                    member.is_broken = True
        self.is_up = False
        self.runs = {}
        self.server.stop()
        self.heartbeat.cancel()
        asyncio.create_task(self._remove_entry(self.id, heartbeats * 1.1))

    async def drain(self, serves_s):
        """Say ``draining``, serve on, then end with all that still runs."""
        self.bench.record.note('worker drains', worker=self.id)
        self.state = 'draining'
        self.leaves_ms = now_ms() + int(serves_s * 1000)
        self._publish(self.id)
        await asyncio.sleep(serves_s)
        self.crash(heartbeats=0)

    async def _remove_entry(self, worker_id, after_s):
        await asyncio.sleep(after_s)
        self.bench.store.put_json('servers', worker_id, None)

    async def _beat(self, worker_id):
        while True:
            if not (self.is_cut or self.is_mute):
                self._publish(worker_id)
            await asyncio.sleep(1.1)

    def _publish(self, worker_id):
        self.sequence += 1
        entry = {
            'Service': self.service,
            'Address': f'127.0.0.1:{self.server.port}',
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 8,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Capacity': self.capacity,
            'Labels': self.labels,
            'ClockMs': self.clock_ms,
            'Sequence': self.sequence,
            'machine': self.name,
        }
        if self.state == 'draining':
            entry['RemainingMs'] = max(0, self.leaves_ms - now_ms())
        self.bench.store.put_json('servers', worker_id, entry)

    def tick(self):
        if not self.is_up:
            return
        if self.clock_ms > self.lease_ms:
            for key in list(self.runs):
                self._end(key, 'lapsed')
        for key, run in list(self.runs.items()):
            outcome = run.outcome()
            if outcome:
                self._end(key, outcome)

    def _end(self, key, how):
        run = self.runs.pop(key)
        run.save()
        if run.gang is not None:
            if how in ('done',):
                pass
            else:
                for member in run.gang.values():
                    member.is_broken = True
            if how != 'done':
                run.gang.pop(key[0], None)
        self.number += 1
        self.ended.append([self.number, key[0], key[1], how, run.checkpoint])
        self.bench.note_run(how, self.id, *key)
        self.changed.set()
        self.changed = asyncio.Event()

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms + self.bench.max_hold_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def _refuse(self, reason):
        return 409, dump({'ClockMs': self.clock_ms, 'Reason': reason})

    def _ok(self, **fields):
        return 200, dump({'ClockMs': self.clock_ms, **fields})

    async def handle(self, method, target, headers, body):
        if self.is_cut or not self.is_up:
            return None
        answer = await self._handle(method, target, headers, body)
        return None if self.is_cut else answer

    async def _handle(self, method, target, headers, body):
        if target == '/health':
            return 200, b''
        expected = headers.get('expected-instance')
        if expected is not None and expected != self.id:
            return 421, b''
        call = json.loads(body)
        if target != '/v1/hold' and self.bench.is_late():
            # Left unanswered, and carried out seconds later.
            asyncio.create_task(self._apply_late(self.life, target, call))
            return None
        return await self._apply(target, call)

    async def _apply_late(self, life, target, call):
        await asyncio.sleep(self.bench.random.uniform(2, 12))
        if life == self.life and self.is_up:
            await self._apply(target, call)

    async def _apply(self, target, call):
        token = call.get('FencingToken', 0)
        if token < self.fence:
            return self._refuse('fence')
        self.fence = token
        self.tick()
        if target == '/v1/run-start':
            return self._start(call, token)
        if target == '/v1/run-stop':
            return self._stop(call)
        if target == '/v1/pace':
            return self._ok()
        if target == '/v1/hold':
            return await self._hold(call)
        return 404, b''

    def _start(self, call, token):
        key = call['Task'], call['Run']
        if key in self.runs:
            return self._ok()
        if call['DeadlineMs'] < self.clock_ms:
            return self._refuse('late')
        self._extend(call['DeadlineMs'])
        if call['Run'] <= self.highest.get(call['Task'], 0):
            return self._refuse('old')
        size = self.bench.size_of(call['Task'])
        used = [self.bench.size_of(task) for task, _ in self.runs]
        is_over = (
            sum(one[0] for one in used) + size[0] > self.capacity['Cpu']
            or sum(one[1] for one in used) + size[1] > self.capacity['MemMb']
        )
        if is_over and self.bench.enforces_capacity:
            return self._refuse('room')
        if is_over:
            self.bench.note_run('over', self.id, *key, 'over its Capacity')
        self.highest[call['Task']] = call['Run']
        self.runs[key] = Run(
            self.bench, self.id, *key, call['Spec'], call.get('Checkpoint', '')
        )
        self.bench.note_run('started', self.id, *key, token)
        self.bench.note_start(self, call)
        return self._ok()

    def _stop(self, call):
        task, number = call['Task'], call['Run']
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None and run.stops_ms is None:
            run.stops_ms = now_ms() + 50
        return self._ok()

    async def _hold(self, call):
        seen = call.get('LastSeen', 0)
        for one in self.ended:
            if one[0] <= seen:
                self.bench.note_run('noted', self.id, one[1], one[2], one[3])
        self.ended = [one for one in self.ended if one[0] > seen]
        if call.get('DeadlineMs'):
            self._extend(call['DeadlineMs'])
        life = self.life
        if not self.ended and call.get('WaitMs'):
            try:
                await asyncio.wait_for(
                    self.changed.wait(), call['WaitMs'] / 1000
                )
            except asyncio.TimeoutError:
                pass
        if life != self.life or not self.is_up:
            return None
        self.tick()
        return self._ok(
            RunningCount=[
                [
                    task,
                    number,
                    run.checkpoint,
                    run.percent(),
                    # The `Cpu` in use; no case has tasks with a target.
                    run.step.get('Cpu', 0),
                ]
                for (task, number), run in self.runs.items()
            ],
            EndedAt=self.ended[:500],
        )


class Instance:
    """A process of the system, with settings as the platform fills them."""

    def __init__(self, bench, name):
        self.bench = bench
        self.name = name
        self.ports = free_ports(4)
        self.store_server = Server(self._call_store)
        self.store_trouble = ''
        self.process = None
        self.path = bench.folder / f'{name}.ini'
        self.log = open(bench.folder / f'{name}.log', 'ab')
        self.starts = 0
        fields = {
            'NodeName': name,
            'Zone': 'z1',
            'Region': 'r',
            'Limits.CpuShare': '0.537',
            'Limits.Cores': '2',
            'ListenAddrs.Front': f'127.0.0.1:{self.ports[0]}',
            'ListenAddrs.Ready': f'127.0.0.1:{self.ports[1]}',
            'Ip': '127.0.0.1',
            'InternalPortRange': f'{self.ports[2]},{self.ports[2]}',
            'platform.Address': f'127.0.0.1:{self.store_server.port}',
            'advice': '',
            'Bounds.MaxHoldMs': str(bench.max_hold_ms),
            'Bounds.GraceS': '6',
            'Bounds.harm_ms': '4000',
        }
        text = (ROOT / 'deploy/instance.ini').read_text()
        text = re.sub(r'\{\{([^}]*)\}\}', lambda m: fields[m.group(1)], text)
        self.path.write_text(text)

    async def _call_store(self, method, target, headers, body):
        """Pass a call to the store, which may turn this instance away."""
        if self.store_trouble == 'silent':
            return None
        if self.store_trouble == 'busy':
            return 503, b''
        answer = await self.bench.store.handle(method, target, headers, body)
        return None if self.store_trouble == 'silent' else answer

    async def start(self):
        self.starts += 1
        if self.store_server.server is None:
            await self.store_server.start()
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['TULIPPIN_BOOT'] = str(self.path)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.process = await asyncio.create_subprocess_exec(
            *RUN,
            str(self.path),
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
        )
        self.bench.record.note(
            'instance started', name=self.name, pid=self.process.pid
        )

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()

    def memory_mb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+)', text)
        return int(found.group(1)) // 1024 if found else 0


class Bench:
    """Store, machines, instances and clients of one case."""

    def __init__(self, folder, max_hold_ms=6000):
        self.case = pathlib.Path(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.record = Record(self.case / 'record.txt')
        self.max_hold_ms = max_hold_ms
        self.service = 'catalogue'
        self.services = ()
        self.store = Store()
        self.machines = []
        self.instances = []
        self.jobs = {}
        self.runs = []
        self.tasks = set()
        self.gangs = {}
        self.gang_ms = 3000
        self.enforces_capacity = True
        self.late_share = 0.0
        self.random = random.Random(1)

    def is_late(self):
        return self.random.random() < self.late_share

    def note_start(self, machine, call):
        """For checks of a case."""

    def outcome_of_lasting(self, run):
        """Return how a task that lasts ends now, or None."""
        return None

    def size_of(self, task):
        job, _, step, _ = task.split('.')
        one = self.jobs[job]['Steps'][int(step)]
        cpu = 0 if one.get('fills') else one.get('Cpu', 0)
        return cpu, one.get('MemMb', 0)

    def note_run(self, what, worker, task, run, extra=''):
        self.runs.append((now_ms(), what, worker, task, run, extra))
        self.record.note(
            f'run {what}', worker=worker, task=task, run=run, x=extra
        )

    async def start(
        self, machine_labels, instance_count, services=(), zones=(), **capacity
    ):
        self.store.put_json('op', 'config', self.make_config(1))
        for number, labels in enumerate(machine_labels):
            service = services[number] if services else None
            machine = Machine(
                self,
                f'm{number}',
                labels,
                service=service,
                zone=zones[number] if zones else 'z1',
                **capacity,
            )
            self.machines.append(machine)
            await machine.start()
        self.spawn(self._tick())
        for number in range(instance_count):
            instance = Instance(self, f'edge-{number}')
            self.instances.append(instance)
            await instance.start()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    async def _tick(self):
        while True:
            for machine in self.machines:
                machine.tick()
            await asyncio.sleep(0.01)

    def make_config(self, version, **moved):
        """Return a configuration; ``moved`` names the service of a route."""

        def route(name, priority, attempts):
            return {
                'Name': name,
                'Host': 'jobs.example',
                'PathPrefix': f'/{name}/',
                'Kind': 'non_idempotent',
                'TimeoutMs': 3000,
                'TargetLatencyMs': 1000,
                'Priority': priority,
                'Service': moved.get(name, self.service),
                'MaxAttempts': attempts,
                'Stretch': 2.0,
            }

        return {
            'Version': version,
            'Routes': [route('urgent', 0, 3), route('batch', 2, 3)],
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 64,
                    'Protocol': 'h1',
                    'Tls': False,
                    'EnforcesCapacity': self.enforces_capacity,
                    'Spare': False,
                }
                for name in sorted(
                    {self.service, *moved.values(), *self.services}
                )
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }

    async def call(self, instance, method, path, body=None, limit_s=3.0):
        """Call an instance once; return (status, body) or (0, reason)."""
        content = b'' if body is None else dump(body)
        began_s = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                self._call(instance, method, path, content, limit_s), limit_s
            )
        except asyncio.TimeoutError:
            answer = 0, b'no answer in time'
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = 0, repr(error).encode()
        self.record.note(
            'call',
            to=instance.name,
            method=method,
            path=path,
            status=answer[0],
            body=answer[1][:120].decode('latin-1'),
            took_ms=int(1000 * (time.monotonic() - began_s)),
        )
        return answer

    async def _call(self, instance, method, path, content, limit_s):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', instance.ports[0]
        )
        try:
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n'
                f'Deadline-Ms: {int(limit_s * 1000)}\r\n'
                'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(content)}\r\n\r\n'.encode()
                + content
            )
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split(b' ', 2)[1])
            found = re.search(rb'content-length: *(\d+)', head, re.I)
            size = int(found.group(1)) if found else 0
            return status, await reader.readexactly(size)
        finally:
            writer.close()

    async def is_ready(self, instance):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection('127.0.0.1', instance.ports[1]), 1
            )
            writer.write(
                b'GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
            )
            head = await asyncio.wait_for(reader.readuntil(b'\r\n'), 1)
            writer.close()
            return b' 200 ' in head
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=40):
        ends_s = time.monotonic() + limit_s
        while time.monotonic() < ends_s:
            ready = [await self.is_ready(one) for one in self.instances]
            if all(ready):
                self.record.note('all instances ready')
                return True
            await asyncio.sleep(0.2)
        return False

    async def submit(self, queue, job_id, body, limit_s=20):
        """Submit until accepted, at one instance after the other."""
        self.jobs[job_id] = body
        ends_s = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < ends_s:
            instance = self.instances[number % len(self.instances)]
            number += 1
            status, _ = await self.call(
                instance, 'POST', f'/{queue}/{job_id}', body
            )
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, queue, job_id, instance=None, limit_s=3.0):
        instance = instance or self.instances[0]
        status, body = await self.call(
            instance, 'GET', f'/{queue}/{job_id}', limit_s=limit_s
        )
        return json.loads(body)['State'] if status == 200 else str(status)

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        # One of them may be starting an instance.
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for instance in self.instances:
            await instance.end()
            instance.store_server.stop()
        for machine in self.machines:
            if machine.is_up:
                machine.server.stop()


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def main(folder, play, **options):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if not run."""

    async def run():
        bench = Bench(folder, **options)
        try:
            verdict = await asyncio.wait_for(play(bench), 110)
        except Exception as error:  # the case could not run
            bench.record.note('case failed', error=repr(error))
            print(f'not run: {error!r}')
            verdict = 2
        finally:
            await bench.finish()
            if not os.environ.get('KEEP_LOGS'):
                shutil.rmtree(bench.folder, ignore_errors=True)
        bench.record.note('verdict', code=verdict)
        return verdict

    sys.exit(asyncio.run(run()))
