"""A soak of the job scheduler: tasks that crash workers, among other faults.

A scenario is drawn from a seed: jobs that can be done, jobs one task of which
crashes each worker that starts it, and faults that come one after the other
and overlap. It ends with some time without faults. Then every sound job is
done, every other one is failed, and the history shows nothing that must never
happen.
"""

import collections
import random

import attrs
import msgspec
import trio

from fleet_of_schedulers import (
    PATIENT,
    QUEUE,
    make_config_body,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.exceptions import UnavailableError
from tulippin.jobs.types import FINAL_STATES, JobState
from tulippin.platform.standin import check_history

SIZE = 2000
LONG_MS = 60_000
LASTS_S = 24
# What each of a crashing job's starts may take: the wait for a silent worker's
# lease, and for its next life. A quarter of the workers may be tried at once.
START_S = 11
STARTS = 5
WORKERS = 12
# Workers that have died under a sound task before it may be given up.
LOST_UNDER_SOUND = 3
QUIET_S = 30
# What a long-running task may be away for once there are no more faults.
AWAY_S = 15
AFTER_MS = (0, 10, 60, 400, 1500, 3000)
WAYS = (
    {},
    {'tasks': 3},
    {'long_running': True},
    {'opportunistic': True, 'image': 'b'},
    {'gang': True, 'tasks': 2},
    {'max_per_worker': 1, 'tasks': 2},
    {'allow_duplicates': True},
)
FAULTS = (
    'kill_owner',
    'kill_all',
    'stop_owner',
    'crash_worker',
    'crash_rack',
    'cut_worker',
    'late_orders',
    'silence_store',
    'slow_store',
    'lose_answers',
    'resize',
    'drain',
)


@attrs.define
class Soak:
    """One play: the fleet, its source of chance, and the jobs handed in."""

    fleet: object
    source: random.Random
    sound: list = attrs.field(factory=list)
    crashing: list = attrs.field(factory=list)
    lasting: dict = attrs.field(factory=dict)
    starts: int = 0

    async def submit(self, job_id, request, queue):
        while True:
            name = self.source.choice(sorted(self.fleet.instances))
            try:
                await self.fleet.submit(job_id, request, queue, name)
            except UnavailableError:
                await trio.sleep(0.1)
                continue
            return

    async def hand_in(self):
        """Hand in a job every 0.3 s; one in six crashes its workers."""
        number = 0
        while trio.current_time() < LASTS_S:
            number += 1
            queue = self.source.choice((QUEUE, PATIENT))
            if self.source.random() < 1 / 6:
                await self._hand_in_crashing(number, queue)
            else:
                await self._hand_in_sound(number, queue)
            await trio.sleep(0.6 * self.source.random())

    async def _hand_in_sound(self, number, queue):
        job_id = f'5{number:015x}'
        lasts = self.source.random() < 0.15
        step = make_step(self.source.randrange(1, 5), SIZE, long_running=lasts)
        request = make_request(
            step,
            run_ms=self.source.randrange(200, 3000),
            lasts=lasts,
            cpu_millicores=SIZE,
        )
        if lasts:
            self.lasting[job_id] = step.task_count
        else:
            self.sound.append(job_id)
        await self.submit(job_id, request, queue)

    async def _hand_in_crashing(self, number, queue):
        job_id = f'c{number:015x}'
        options = dict(self.source.choice(WAYS))
        step = make_step(options.pop('tasks', 1), SIZE, **options)
        request = make_request(
            step,
            run_ms=LONG_MS,
            crashes_after_ms=self.source.choice(AFTER_MS),
            lasts=step.long_running,
            cpu_millicores=0 if step.opportunistic else SIZE,
        )
        self.crashing.append(job_id)
        await self.submit(job_id, request, queue)

    async def disturb(self):
        """Cause a fault every second or so; they overlap."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < LASTS_S:
                await trio.sleep(0.4 + 1.6 * self.source.random())
                fault = self.source.choice(FAULTS)
                nursery.start_soon(getattr(self, f'_{fault}'))

    async def _start(self, name):
        self.starts += 1
        await self.fleet.start(f'{name.partition("-")[0]}-{self.starts}')

    async def _kill_owner(self):
        owner = self.fleet.get_owner()
        if owner:
            self.fleet.kill(owner)
            await trio.sleep(self.source.random() * 3)
            await self._start(owner)

    async def _kill_all(self):
        names = list(self.fleet.instances)
        for name in names:
            self.fleet.kill(name)
        for name in names:
            await self._start(name)

    async def _stop_owner(self):
        owner = self.fleet.get_owner()
        if owner:
            instance = self.fleet.instances.pop(owner)
            await self._start(owner)
            with trio.move_on_after(3):
                await instance.shell.leave()
            instance.scope.cancel()

    def _pick_workers(self, count=1):
        up = [one for one in self.fleet.platform.workers.values() if one.is_up]
        return self.source.sample(up, min(count, len(up)))

    async def _crash_worker(self):
        for worker in self._pick_workers():
            worker.crash()

    async def _crash_rack(self):
        for worker in self._pick_workers(3):
            worker.crash()

    async def _cut_worker(self):
        for worker in self._pick_workers(2):
            worker.cut_off.add('*')
            await trio.sleep(self.source.random() * 7)
            worker.cut_off.clear()

    async def _late_orders(self):
        for worker in self._pick_workers():
            worker.late_orders_s = 0.3 + self.source.random() * 2
            await trio.sleep(2)
            worker.late_orders_s = 0.0

    async def _silence_store(self):
        trouble = self.fleet.platform.store.trouble
        trouble.silenced.add('*')
        await trio.sleep(self.source.random() * 4)
        trouble.silenced.clear()

    async def _slow_store(self):
        trouble = self.fleet.platform.store.trouble
        trouble.write_s = 0.2
        await trio.sleep(3)
        trouble.write_s = 0.0

    async def _lose_answers(self):
        trouble = self.fleet.platform.store.trouble
        trouble.lost_answer_share = 0.3
        await trio.sleep(3)
        trouble.lost_answer_share = 0.0

    async def _resize(self):
        workers = self._pick_workers(4)
        before = [one.room.cpu for one in workers]
        for worker in workers:
            worker.resize(2 * SIZE)
        await trio.sleep(6)
        for worker, cpu_millicores in zip(workers, before, strict=True):
            worker.resize(cpu_millicores)

    async def _drain(self):
        for worker in self._pick_workers():
            self.fleet.platform.drain(worker.worker_id, 2500)
            await trio.sleep(4)
            self.fleet.platform.add_worker(
                f'd{self.starts}-{worker.worker_id}', room=worker.room
            )

    async def _read_state(self, job_id):
        for name in list(self.fleet.instances):
            try:
                return await self.fleet.instances[name].intake.get_state(job_id)
            except UnavailableError:
                continue
        return None

    def _may_be_given_up(self, job_id, state):
        """Whether so many workers died under a task that nobody can tell.

        The users allow it from two on.
        """
        lost = collections.Counter(
            event.key
            for event in self.fleet.platform.history
            if event.kind == 'lost' and event.key.job_id == job_id
        )
        is_failed = state is JobState.FAILED
        return is_failed and max(lost.values(), default=0) >= LOST_UNDER_SOUND

    async def conclude(self):
        """Wait for all jobs to end; return what is not as it should be."""
        ends = dict.fromkeys(self.sound, JobState.COMPLETED)
        ends.update((job_id, JobState.FAILED) for job_id in self.crashing)
        states = {}
        starts = STARTS * len(self.crashing)
        with trio.move_on_after(QUIET_S + starts * START_S / (WORKERS / 4)):
            for job_id in ends:
                while states.get(job_id) not in FINAL_STATES:
                    states[job_id] = await self._read_state(job_id)
                    await trio.sleep(0.1)
        for job_id in self.lasting:
            ends[job_id] = JobState.RUNNING
            states[job_id] = await self._read_state(job_id)
        wrong = [
            f'{job_id} is {states.get(job_id)}'
            for job_id, wanted in ends.items()
            if states.get(job_id) is not wanted
            and not self._may_be_given_up(job_id, states.get(job_id))
        ]
        with trio.move_on_after(AWAY_S):
            while self._list_away(states):
                await trio.sleep(0.2)
        wrong.extend(f'{name} is away' for name in self._list_away(states))
        return wrong + check_history(self.fleet.platform.history)

    def _list_away(self, states):
        """Return the long-running tasks that run nowhere."""
        present = {
            key.format()
            for worker in self.fleet.platform.workers.values()
            if worker.is_up
            for key, _ in worker.runs
        }
        names = {
            f'{job_id}.0.0.{index}'
            for job_id, count in self.lasting.items()
            if states.get(job_id) is JobState.RUNNING
            for index in range(count)
        }
        return sorted(names - present)


async def play(seed):
    """Play a scenario; return what is not as it should be."""
    source = random.Random(seed)
    body = make_config_body(2)
    services = tuple(
        msgspec.structs.replace(one, enforces_capacity=False)
        for one in body.services
    )
    async with open_fleet(
        instances=3, workers=WORKERS, rack_size=WORKERS
    ) as fleet:
        fleet.platform.configure(
            msgspec.structs.replace(body, services=services)
        )
        fleet.platform.back_after_ms = source.choice((1400, 2000, 6000))
        fleet.platform.store.source.seed(seed)
        soak = Soak(fleet, source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(soak.hand_in)
            nursery.start_soon(soak.disturb)
        return await soak.conclude()
