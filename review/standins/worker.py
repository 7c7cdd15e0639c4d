"""Stand-in of the platform's workers, as PROTOCOL.md describes them.

A task's `Spec` is JSON with `run_ms`, how long its work takes, or `lasts`.
"""

import asyncio
import itertools
import json
import time

from standins.http import Server

MAX_HOLD_MS = 10_000
STOP_MS = 300
MAX_WAIT_MS = 2000
MAX_ENDS = 500
ENTRY_BEATS = 3


class Worker:
    """One worker: a machine, its lives and what runs there."""

    ids = itertools.count(0x5A01)

    def __init__(self, fleet, number, cpu, memory_mb, rack, zone):
        self._fleet = fleet
        self._machine = f'm-{number:05x}'
        self.room = {'Cpu': cpu, 'MemMb': memory_mb, 'Gpus': 0}
        self._rack = rack
        self.zone = zone
        self._offset_ms = 100_000 + 7919 * number
        self._sequence = 0
        self._tasks = set()
        self.server = Server(self._handle)
        self._begin_life()

    def _begin_life(self):
        self.worker_id = f'i-{next(self.ids) * 0x10001 & 0xFFFFFFFF:08x}'
        self.is_up = True
        self._fence = 0
        self._runs = {}
        self._work_s = {}
        self._over = {}
        self._ends = []
        self._number = 0
        self._deadline_ms = 0
        self._lapses = None
        self._changed = asyncio.Event()

    @property
    def running_count(self):
        return len(self._runs)

    @property
    def waiting_ends(self):
        """The ends that no one has acknowledged yet."""
        return len(self._ends)

    def clock_ms(self):
        return int(time.monotonic() * 1000) + self._offset_ms

    # -- the platform's list -------------------------------------------------

    async def beat(self):
        """Write the entry every heartbeat; it goes after three of silence."""
        while True:
            if self.is_up:
                self._sequence += 1
                self._fleet.store.write(
                    'servers', self.worker_id, self._make_entry()
                )
            await asyncio.sleep(self._fleet.heartbeat_s)

    def _make_entry(self):
        return {
            'Service': self._fleet.service,
            'Address': self.server.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Capacity': self.room,
            'Labels': ['a', self._rack],
            'ClockMs': self.clock_ms(),
            'Sequence': self._sequence,
            'machine': self._machine,
        }

    async def crash(self, down_s):
        """Lose all runs; a new life begins at the same address."""
        port = int(self.server.address.rpartition(':')[2])
        removed = asyncio.create_task(self.lose())
        await asyncio.sleep(down_s)
        self._begin_life()
        self.server = Server(self._handle)
        await self.server.start(port)
        self._fleet.note('back', self, None, 0, '')
        await removed

    async def lose(self):
        """Lose all runs, and leave the list after three heartbeats."""
        ended = self.worker_id
        self._fleet.note('crash', self, None, 0, f'{len(self._runs)} runs')
        self._fleet.note_crash(ended)
        self.is_up = False
        self._runs = {}
        self.server.stop()
        for handle in self._tasks:
            handle.cancel()
        self._tasks.clear()
        await asyncio.sleep(ENTRY_BEATS * self._fleet.heartbeat_s)
        self._fleet.store.write('servers', ended, None)

    # -- calls ---------------------------------------------------------------

    async def _handle(self, method, target, headers, body):
        if (method, target) == ('GET', '/health'):
            return 200, None
        calls = {
            '/v1/run-start': self._start,
            '/v1/run-stop': self._stop,
            '/v1/hold': self._hold,
            '/v1/pace': self._pace,
        }
        if method != 'POST' or target not in calls:
            return 404, None
        wanted = headers.get('expected-instance', self.worker_id)
        if wanted != self.worker_id:
            return 421, None
        data = json.loads(body)
        fence = data.get('FencingToken', 0)
        if fence < self._fence:
            return 409, self._tell(Reason='fence')
        self._fence = fence
        return await calls[target](data)

    def _tell(self, **fields):
        return {'ClockMs': self.clock_ms(), **fields}

    async def _start(self, data):
        key = data['Task'], data['Run']
        self._fleet.note('order', self, *key, '')
        if key in self._runs:
            return 200, self._tell()
        if data['DeadlineMs'] < self.clock_ms():
            return 409, self._tell(Reason='late')
        self._extend(data['DeadlineMs'])
        if data['Run'] <= self._over.get(data['Task'], 0):
            return 409, self._tell(Reason='old')
        step = self._fleet.find_step(data['Task'])
        if step is None:
            return 400, self._tell()
        if not self._fits(step):
            return 409, self._tell(Reason='room')
        plan = json.loads(data['Spec'])
        self._runs[key] = step
        self._work_s[key] = plan.get('run_ms', 0) / 1000
        self._fleet.note_start(self, *key)
        if not plan.get('lasts'):
            self._later(plan['run_ms'] / 1000, key, 'done')
        return 200, self._tell()

    def _fits(self, step):
        return all(
            sum(one.get(name, 0) for one in self._runs.values())
            + step.get(name, 0)
            <= self.room[name]
            for name in ('Cpu', 'MemMb')
        )

    def _later(self, delay_s, key, how):
        loop = asyncio.get_running_loop()
        self._tasks.add(loop.call_later(delay_s, self._end, key, how))

    def _end(self, key, how):
        if self._runs.pop(key, None) is None:
            return
        task, run = key
        self._over[task] = max(run, self._over.get(task, 0))
        self._number += 1
        self._ends.append([self._number, task, run, how, ''])
        self._fleet.note_end(self, task, run, how, self._number)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _stop(self, data):
        key = data['Task'], data['Run']
        self._fleet.note('stop', self, *key, '')
        self._over[key[0]] = max(key[1], self._over.get(key[0], 0))
        if key in self._runs:
            self._later(STOP_MS / 1000, key, 'stopped')
        return 200, self._tell()

    async def _pace(self, data):
        return 200, self._tell()

    async def _hold(self, data):
        seen = data.get('LastSeen', 0)
        while self._ends and self._ends[0][0] <= seen:
            number, task, run, how, _ = self._ends.pop(0)
            self._fleet.note_seen(self, task, run, how, number)
        if data.get('DeadlineMs'):
            self._extend(data['DeadlineMs'])
        wait_s = min(data.get('WaitMs', 0), MAX_WAIT_MS) / 1000
        if wait_s and not self._ends:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
        running = [
            [task, run, '', self._get_percent(task, run), step.get('Cpu', 0)]
            for (task, run), step in self._runs.items()
        ]
        return 200, self._tell(
            RunningCount=running, EndedAt=self._ends[:MAX_ENDS]
        )

    def _get_percent(self, task, run):
        began = self._fleet.runs[self.worker_id, task, run]['began']
        work_s = self._work_s[task, run]
        if not work_s:
            return 100
        return min(99, int(100 * (time.monotonic() - began) / work_s))

    # -- the lease -----------------------------------------------------------

    def _extend(self, deadline_ms):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit_ms))
        if self._lapses is not None:
            self._lapses.cancel()
        left_s = (self._deadline_ms - self.clock_ms()) / 1000
        loop = asyncio.get_running_loop()
        self._lapses = loop.call_later(max(0, left_s), self._lapse)
        self._tasks.add(self._lapses)

    def _lapse(self):
        self._fleet.note(
            'lease lapses', self, None, 0, f'{len(self._runs)} runs'
        )
        self._fleet.note_lapse(self.worker_id)
        for key in list(self._runs):
            self._end(key, 'lapsed')


class Fleet:
    """All workers, and the history of their runs.

    `events` holds tuples of time, kind, worker, task, run and detail.
    """

    def __init__(self, store, service, record, heartbeat_s=1.5):
        self.store = store
        self.service = service
        self.heartbeat_s = heartbeat_s
        self.workers = []
        self.events = []
        self.runs = {}
        self.lapses = {}
        self.crashes = {}
        self.jobs = {}
        self._record = record

    def add(self, cpu, memory_mb, rack, zone):
        worker = Worker(self, len(self.workers), cpu, memory_mb, rack, zone)
        self.workers.append(worker)
        return worker

    def find_step(self, task):
        """Return the step of a task by the job that the client sent."""
        job_id, _, number, _ = task.split('.')
        job = self.jobs.get(job_id)
        return job and job['Steps'][int(number)]

    def note(self, kind, worker, task, run, detail):
        self.events.append(
            (time.monotonic(), kind, worker.worker_id, task, run, detail)
        )
        if task is None:
            self._record(f'{worker.worker_id} {kind} {detail}')

    def note_start(self, worker, task, run):
        key = worker.worker_id, task, run
        self.runs[key] = {'began': time.monotonic()}
        self.note('started', worker, task, run, '')

    def note_end(self, worker, task, run, how, number):
        found = self.runs[worker.worker_id, task, run]
        found.update(ended=time.monotonic(), how=how)
        self.note('ended', worker, task, run, f'{how} {number}')

    def note_seen(self, worker, task, run, how, number):
        found = self.runs[worker.worker_id, task, run]
        found['seen'] = time.monotonic()
        self.note('end taken note of', worker, task, run, f'{how} {number}')

    def note_lapse(self, worker_id):
        self.lapses.setdefault(worker_id, []).append(time.monotonic())

    def note_crash(self, worker_id):
        now = time.monotonic()
        self.crashes[worker_id] = now
        for (one, task, run), found in self.runs.items():
            if one == worker_id and 'ended' not in found:
                found.update(ended=now, how='lost')
