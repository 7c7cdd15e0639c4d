"""Randomized soak of workers that restart under their ids and are cut off.

Short and long tasks arrive without a pause. Workers crash, are back under their
ids after a moment, and are out of reach of all instances soon after, while
their runs go on until the lease lapses. Owners may stop or be killed meanwhile.
No task may have two runs, and no lease may last longer than its owner assumes.
"""

import contextlib
import random

import attrs
import trio

from scheduler_fleet import make_request, make_step, open_fleet
from tulippin.exceptions import UnavailableError
from tulippin.platform.standin import check_history

FAULTS_S = 30
SETTLING_S = 14
WORKER_COUNT = 7
# Shortest and longest duration of a task.
RUN_MS = (300, 25_000)
STARTS_PER_S = 30
# Wide jobs open several connections to a worker at once.
TASK_COUNTS = (2, 10, 40, 80)
TASK_MILLICORES = 100
CUT_S = 9
POLL_INTERVAL_S = 0.05
# Between the crash of a worker and its restart, and from then until it is out
# of reach.
DOWN_S = (0.0, 0.1, 0.2, 0.4, 0.7)
REACHABLE_S = (0.0, 0.1, 0.3, 0.6, 1.0, 2.0)
# Time between two crashes of workers.
CRASH_GAPS_S = (1.0, 3.0, 6.0)
LEASE_LIMITS_MS = (6000, 10_000)
LATE_START_S = (0.3, 2.0, 4.0)


@attrs.define
class RestartSoak:
    """State of a scenario: fleet, random source and number of jobs."""

    fleet: object
    source: random.Random
    owner_faults: tuple
    job_count: int = 0
    session_count: int = 0
    outlasting_ms: dict = attrs.field(factory=dict)

    async def submit_jobs(self):
        """Submit jobs of short and of long tasks until the faults end."""
        while trio.current_time() < FAULTS_S:
            self.job_count += 1
            count = self.source.choice(TASK_COUNTS)
            request = make_request(
                make_step(count, cpu=TASK_MILLICORES),
                run_ms=int(self.source.uniform(*RUN_MS)),
            )
            with contextlib.suppress(UnavailableError, StopIteration):
                await self.fleet.submit(f'{self.job_count:016x}', request)
            await trio.sleep(count / STARTS_PER_S)

    async def crash_workers(self, nursery):
        """Crash workers, at times one again while it is out of reach."""
        while trio.current_time() < FAULTS_S:
            await trio.sleep(self.source.choice(CRASH_GAPS_S))
            count = self.source.choice((1, 1, 2))
            names = sorted(self.fleet.platform.workers)
            for worker_id in self.source.sample(names, count):
                nursery.start_soon(self._restart_and_cut, worker_id)

    async def _restart_and_cut(self, worker_id):
        platform = self.fleet.platform
        worker = platform.workers[worker_id]
        if not worker.is_up:
            return
        if self.source.random() < 0.3:
            # Starts get no answer, and are carried out if it is still up.
            worker.start_order_delay_s = self.source.choice(LATE_START_S)
            await trio.sleep(0.2)
        if not worker.is_up:
            return
        worker.crash(is_silent=self.source.random() < 0.7)
        await trio.sleep(self.source.choice(DOWN_S))
        worker = platform.restart(worker_id)
        await trio.sleep(self.source.choice(REACHABLE_S))
        worker.unreachable_clients.add('*')
        await trio.sleep(CUT_S)
        worker.unreachable_clients.discard('*')

    async def watch_leases(self):
        """Note leases that last longer than the owner assumes."""
        while trio.current_time() < FAULTS_S + SETTLING_S:
            owner = self.fleet.instances.get(self.fleet.get_owner())
            if owner is not None and owner.is_owner:
                self._note_leases(owner.state)
            await trio.sleep(POLL_INTERVAL_S)

    def _note_leases(self, state):
        for worker_id, worker in self.fleet.platform.workers.items():
            known = state.workers.get(worker_id)
            if known is None or not (worker.is_up and worker.runs):
                continue
            ends_ms = worker.deadline_ms - worker.clock_offset_ms
            excess_ms = ends_ms - known.lease_expiry_ms
            if excess_ms > self.outlasting_ms.get(worker_id, 0):
                self.outlasting_ms[worker_id] = excess_ms

    def list_outlasting(self):
        """Return the leases that lasted longer than assumed, as violations."""
        return [
            f'lease of {worker_id} lasts {excess_ms} ms longer than assumed'
            for worker_id, excess_ms in sorted(self.outlasting_ms.items())
        ]

    async def fault_owners(self):
        """Stop or kill owners one after the other."""
        while trio.current_time() < FAULTS_S and self.owner_faults:
            await trio.sleep(self.source.uniform(0.5, 6))
            owner = self.fleet.get_owner()
            if owner:
                await self._end(owner, self.source.choice(self.owner_faults))

    async def _end(self, owner, fault):
        self.session_count += 1
        name = f'{owner.partition("-")[0]}-{self.session_count}'
        await self.fleet.start(name)
        if fault == 'stop':
            with trio.move_on_after(3):
                await self.fleet.instances[owner].shell.leave()
        self.fleet.kill(owner)


async def play(seed, owner_faults=(), *, are_calls_forwarded=False):
    """Run the scenario of a seed; return the violations of guarantees.

    ``owner_faults`` are the ways in which owners end: 'stop' and 'kill'.
    Connections to workers outlast their restarts if calls are forwarded.
    """
    source = random.Random(f'restart {seed}')
    limit_ms = source.choice(LEASE_LIMITS_MS)
    async with open_fleet(
        instances=2, workers=0, worker_lease_limit_ms=limit_ms
    ) as fleet:
        fleet.platform.are_calls_forwarded = are_calls_forwarded
        for number in range(WORKER_COUNT):
            fleet.platform.add_worker(f'w{number}', lease_limit_ms=limit_ms)
        soak = RestartSoak(fleet, source, owner_faults)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(soak.submit_jobs)
            nursery.start_soon(soak.crash_workers, nursery)
            nursery.start_soon(soak.fault_owners)
            nursery.start_soon(soak.watch_leases)
        return check_history(fleet.platform.history) + soak.list_outlasting()
