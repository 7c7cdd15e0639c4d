"""Randomized soak test of the job scheduler with crashing tasks and faults.

A seed determines a scenario: healthy jobs, jobs with a task that crashes each
worker that starts it, and overlapping faults. A period without faults follows.
Then every healthy job must be completed, every crashing one failed, and the
history must show no violation.
"""

import collections
import contextlib
import random

import attrs
import msgspec
import pytest
import trio

import waiting_jobs
from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    QUEUE,
    make_config_body,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.exceptions import UnavailableError
from tulippin.jobs import _crashes
from tulippin.jobs.features import Features
from tulippin.jobs.types import FINAL_STATES, JobState, RunOutcome
from tulippin.platform.standin import check_history, get_now_ms
from tulippin.types import Resources

TASK_MILLICORES = 2000
LONG_RUN_MS = 60_000
FAULTS_S = 24
# Maximum time for each start of a crashing job: the wait for the lease of the
# silent worker and for its restart. A quarter of the workers may be in use for
# such starts at once.
CRASHING_START_S = 11
MAX_STARTS = 5
WORKER_COUNT = 12
# A healthy task that has lost this many workers may be abandoned.
MIN_LOST_WORKERS = 3
QUIET_S = 30
# Maximum time for long-running tasks to run again after the last fault.
RECOVERY_S = 15
# Time after the last fault until work that may run has to run: a takeover, in
# which the leases of lost workers end.
SETTLING_S = 9
POLL_INTERVAL_S = 0.1
# How long users accept a job without a run beside idle workers.
MAX_STALLED_S = 3 + POLL_INTERVAL_S
# Opportunistic jobs beside served tasks, and the time for which they are
# watched.
BACKLOG_CPU = (500, 1000, 2000, 6000)
BACKLOG_MEMORY_MB = (1000, 9000, 15_000)
BACKLOG_RUN_MS = (1500, 4000)
BACKLOG_S = 30
# Tails of the served tasks without neighbours, of which some miss the target.
OWN_TAILS_MS = (12.0, 12.0, 30.0, 48.0, 60.0)
# Between the crash of a worker and its restart under its id.
RESTARTS_MS = (0, 50, 300, 700, 2000)
# Between the losses of two owners, and between the end of a process and its
# next start.
OWNER_GAPS_S = (0.05, 0.3, 1.0, 2.5)
RESTART_DELAYS_S = (0.0, 0.5, 1.0, 3.0)
CRASH_DELAYS_MS = (0, 10, 60, 400, 1500, 3000)
CRASHING_JOB_OPTIONS = (
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


@attrs.frozen
class OwnTails:
    """The tail of each worker without neighbours, also of later workers."""

    seed: int

    def get(self, worker_id, default):
        source = random.Random(f'tail {self.seed} {worker_id}')
        return source.choice(OWN_TAILS_MS)


@attrs.define
class Soak:
    """State of a scenario: fleet, random source and submitted jobs."""

    fleet: object
    source: random.Random
    healthy: list = attrs.field(factory=list)
    crashing: list = attrs.field(factory=list)
    long_running_jobs: dict = attrs.field(factory=dict)
    starts: int = 0
    task_counts: dict = attrs.field(factory=dict)
    backlog_jobs: int = 0
    crashing_share: float = 1 / 6
    backlog: list = attrs.field(factory=list)
    watch: object = attrs.field(init=False)
    faults_over_ms: int = 0

    @watch.default
    def _make_watch(self):
        return waiting_jobs.Watch(
            self.fleet, None, TASK_MILLICORES, counts_cpu=True
        )

    async def submit(self, job_id, request, queue):
        while True:
            name = self.source.choice(sorted(self.fleet.instances))
            try:
                await self.fleet.submit(job_id, request, queue, name)
            except UnavailableError:
                await trio.sleep(0.1)
                continue
            return

    async def submit_jobs(self):
        """Submit a job every 0.3 s on average.

        One in six crashes workers, but for those beside served tasks: they
        would go on with it in the quiet period.
        """
        number = 0
        while trio.current_time() < FAULTS_S:
            number += 1
            queue = self.source.choice((QUEUE, LOW_PRIORITY_QUEUE))
            if self.source.random() < self.crashing_share:
                await self._submit_crashing(number, queue)
            else:
                await self._submit_healthy(number, queue)
            await trio.sleep(0.6 * self.source.random())

    async def _submit_healthy(self, number, queue):
        job_id = f'5{number:015x}'
        lasts = self.source.random() < 0.15
        step = make_step(
            self.source.randrange(1, 5), TASK_MILLICORES, long_running=lasts
        )
        request = make_request(
            step,
            run_ms=self.source.randrange(200, 3000),
            lasts=lasts,
            cpu_millicores=TASK_MILLICORES,
        )
        if lasts:
            self.long_running_jobs[job_id] = step.task_count
        else:
            self.healthy.append(job_id)
            self.task_counts[job_id] = step.task_count
        await self.submit(job_id, request, queue)

    async def _submit_crashing(self, number, queue):
        job_id = f'c{number:015x}'
        options = dict(self.source.choice(CRASHING_JOB_OPTIONS))
        step = make_step(options.pop('tasks', 1), TASK_MILLICORES, **options)
        request = make_request(
            step,
            run_ms=LONG_RUN_MS,
            crashes_after_ms=self.source.choice(CRASH_DELAYS_MS),
            lasts=step.long_running,
            cpu_millicores=0 if step.opportunistic else TASK_MILLICORES,
        )
        self.crashing.append(job_id)
        await self.submit(job_id, request, queue)

    async def serve(self):
        """Run a task with a target on every worker."""
        await waiting_jobs.serve(self.fleet, WORKER_COUNT)

    async def submit_backlog(self, source, number_from):
        """Submit jobs that exceed the memory beside served tasks."""
        for number in range(number_from, number_from + self.backlog_jobs):
            job_id = f'b{number:015x}'
            cpu = source.choice(BACKLOG_CPU)
            memory_mb = source.choice(BACKLOG_MEMORY_MB)
            request = waiting_jobs.make_batch(
                source.randrange(2, 9),
                cpu=cpu,
                memory_mb=memory_mb,
                run_ms=source.choice(BACKLOG_RUN_MS),
            )
            self.watch.sizes[job_id] = Resources(cpu, memory_mb)
            self.backlog.append(job_id)
            self.task_counts[job_id] = request.steps[0].task_count
            await self.submit(job_id, request, LOW_PRIORITY_QUEUE)
            await trio.sleep(0.2 * source.random())

    async def submit_early_backlog(self, source):
        """Submit a backlog during the last faults."""
        await trio.sleep(FAULTS_S - 2)
        await self.submit_backlog(source, 0)

    def note_stalls(self):
        """Note the jobs without a run, except soon after a fault.

        The last fault is the last loss of a worker: some jobs still crash
        theirs when all others are over.
        """
        lost_ms = max(
            (
                event.at_ms
                for event in self.fleet.platform.history
                if event.kind == 'lost'
            ),
            default=0,
        )
        settled_ms = get_now_ms() - 1000 * SETTLING_S
        is_calm = max(lost_ms, self.faults_over_ms) <= settled_ms
        job_ids = {*self.healthy, *self.backlog} - self._list_over()
        if is_calm:
            self.watch.note(job_ids, excused=self._list_suspected(job_ids))
        else:
            self.watch.note(job_ids, excused=job_ids)

    def _list_over(self):
        """Return the jobs that have failed, or whose tasks are all done."""
        done = {
            event.key
            for event in self.fleet.platform.history
            if event.outcome is RunOutcome.DONE
        }
        counts = collections.Counter(key.job_id for key in done)
        owner = self.fleet.instances.get(self.fleet.get_owner())
        jobs = owner.state.jobs if owner else {}
        failed = {
            job_id
            for job_id, job in jobs.items()
            if job.state is JobState.FAILED
        }
        return failed | {
            job_id
            for job_id, count in counts.items()
            if count == self.task_counts.get(job_id)
        }

    def _list_suspected(self, job_ids):
        """Return the jobs whose crashes forbid each of their starts."""
        owner = self.fleet.instances.get(self.fleet.get_owner())
        jobs = owner.state.jobs if owner else {}
        return {
            job_id
            for job_id in job_ids & jobs.keys()
            if not any(
                task.unresolved_start is None
                and _crashes.may_start(jobs[job_id], task, owner.state)
                for task in jobs[job_id].tasks.values()
                if not task.is_done
            )
        }

    def list_stalled(self):
        """Return the jobs that had nothing running for too long."""
        return [
            f'{job_id} had nothing running for {lasted_s:.1f} s'
            for job_id, lasted_s in sorted(self.watch.absent_s.items())
            if lasted_s > MAX_STALLED_S
        ]

    async def watch_backlog(self, source):
        """Submit another backlog; watch both after the faults."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_late_backlog, source)
            until_s = trio.current_time() + SETTLING_S + BACKLOG_S
            while trio.current_time() < until_s:
                self.note_stalls()
                await trio.sleep(POLL_INTERVAL_S)

    async def _submit_late_backlog(self, source):
        await trio.sleep(SETTLING_S - 2)
        await self.fleet.wait_owner()
        waiting_jobs.expect_harm(self.fleet, 'heavy')
        await self.submit_backlog(source, self.backlog_jobs)

    async def inject_faults(self):
        """Inject overlapping faults, one about every 1.2 s."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < FAULTS_S:
                await trio.sleep(0.4 + 1.6 * self.source.random())
                fault = self.source.choice(FAULTS)
                nursery.start_soon(getattr(self, f'_{fault}'))

    async def restart_workers(self):
        """Restart workers in series, while the other faults go on."""
        source = random.Random(self.source.random())
        while trio.current_time() < FAULTS_S:
            await trio.sleep(0.2 + 2 * source.random())
            self.fleet.platform.restart_delay_ms = source.choice(RESTARTS_MS)
            up = [
                one for one in self.fleet.platform.workers.values() if one.is_up
            ]
            count = min(source.choice((1, 1, 2, 5)), len(up))
            for worker in source.sample(up, count):
                worker.crash()

    async def lose_in_series(self, source):
        """Lose workers with runs for good, and owners one after the other.

        Processes of these owners start again under their names, so that they
        take their own units.
        """
        async with trio.open_nursery() as nursery:
            while trio.current_time() < FAULTS_S:
                await trio.sleep(1 + 4 * source.random())
                busy = [
                    one
                    for one in self.fleet.platform.workers.values()
                    if one.is_up and one.runs
                ]
                count = min(source.choice((1, 1, 2, 3)), len(busy))
                for worker in source.sample(busy, count):
                    nursery.start_soon(self._lose_for_good, worker)
                for _ in range(source.choice((1, 2, 2, 3))):
                    await trio.sleep(source.choice(OWNER_GAPS_S))
                    await self._lose_owner(source)

    async def _lose_for_good(self, worker):
        """Crash a worker, which is replaced once its entry has lapsed."""
        platform = self.fleet.platform
        # The platform restarts no worker that was to leave.
        worker.leaves_at_ms = 0
        worker.crash()
        await trio.sleep(3)
        platform.remove(worker.worker_id)
        await trio.sleep(2)
        platform.add_worker(f'n-{worker.worker_id}', room=worker.room)

    async def _lose_owner(self, source):
        owner = self.fleet.get_owner()
        if not owner:
            return
        self.fleet.kill(owner)
        await trio.sleep(source.choice(RESTART_DELAYS_S))
        await self.fleet.start(owner)

    async def evacuate_domains(self, source):
        """Evacuate failure domains, at times both, while faults go on."""
        platform = self.fleet.platform
        async with trio.open_nursery() as nursery:
            for domain in sorted(
                {one.failure_domain for one in platform.workers.values()}
            ):
                nursery.start_soon(self._evacuate, domain, source)

    async def _evacuate(self, domain, source):
        while trio.current_time() < FAULTS_S:
            await trio.sleep(2 + 8 * source.random())
            self.fleet.platform.evacuate(domain)
            await trio.sleep(8 * source.random())
            self.fleet.platform.end_evacuation(domain)

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
            worker.unreachable_clients.add('*')
            await trio.sleep(self.source.random() * 7)
            worker.unreachable_clients.clear()

    async def _late_orders(self):
        for worker in self._pick_workers():
            worker.start_order_delay_s = 0.3 + self.source.random() * 2
            await trio.sleep(2)
            worker.start_order_delay_s = 0.0

    async def _silence_store(self):
        trouble = self.fleet.platform.store.trouble
        trouble.silenced.add('*')
        await trio.sleep(self.source.random() * 4)
        trouble.silenced.clear()
        self.fleet.platform.allow_late_evacuations()

    async def _slow_store(self):
        trouble = self.fleet.platform.store.trouble
        trouble.write_duration_s = 0.2
        await trio.sleep(3)
        trouble.write_duration_s = 0.0

    async def _lose_answers(self):
        trouble = self.fleet.platform.store.trouble
        trouble.lost_answer_share = 0.3
        await trio.sleep(3)
        trouble.lost_answer_share = 0.0

    async def _resize(self):
        workers = self._pick_workers(4)
        before = [one.room.cpu for one in workers]
        for worker in workers:
            worker.resize(2 * TASK_MILLICORES)
        await trio.sleep(6)
        for worker, cpu_millicores in zip(workers, before, strict=True):
            worker.resize(cpu_millicores)

    async def _drain(self):
        for worker in self._pick_workers():
            self.fleet.platform.drain(worker.worker_id, 2500)
            await trio.sleep(4)
            worker_id = f'd{self.starts}-{worker.worker_id}'
            while worker_id in self.fleet.platform.workers:
                # It was drained twice at the same time.
                worker_id += 'x'
            self.fleet.platform.add_worker(worker_id, room=worker.room)

    async def _read_state(self, job_id):
        for name in list(self.fleet.instances):
            try:
                return await self.fleet.instances[name].intake.get_state(job_id)
            except UnavailableError:
                continue
        return None

    def _may_be_abandoned(self, job_id, state):
        """Return whether a failed job lost enough workers to look crashing.

        The requirements allow to abandon a job from two crashes on.
        """
        lost = collections.Counter(
            event.key
            for event in self.fleet.platform.history
            if event.kind == 'lost' and event.key.job_id == job_id
        )
        is_failed = state is JobState.FAILED
        return is_failed and max(lost.values(), default=0) >= MIN_LOST_WORKERS

    async def collect_violations(self):
        """Wait for the jobs to reach their states; return all violations."""
        ends = dict.fromkeys(self.healthy, JobState.COMPLETED)
        ends.update((job_id, JobState.FAILED) for job_id in self.crashing)
        states = {}
        starts = MAX_STARTS * len(self.crashing)
        with trio.move_on_after(
            QUIET_S + starts * CRASHING_START_S / (WORKER_COUNT / 4)
        ):
            for job_id in ends:
                while states.get(job_id) not in FINAL_STATES:
                    states[job_id] = await self._read_state(job_id)
                    self.note_stalls()
                    await trio.sleep(POLL_INTERVAL_S)
        for job_id in self.long_running_jobs:
            ends[job_id] = JobState.RUNNING
            states[job_id] = await self._read_state(job_id)
        violations = [
            f'{job_id} is {states.get(job_id)}'
            for job_id, expected in ends.items()
            if states.get(job_id) is not expected
            and not self._may_be_abandoned(job_id, states.get(job_id))
        ]
        with trio.move_on_after(RECOVERY_S):
            while self._list_missing_tasks(states):
                await trio.sleep(0.2)
        violations.extend(
            f'{name} is away' for name in self._list_missing_tasks(states)
        )
        for job_id in self.backlog:
            state = await self._read_state(job_id)
            if state is JobState.FAILED and not self._may_be_abandoned(
                job_id, state
            ):
                violations.append(f'{job_id} is {state}')
        violations.extend(self.list_stalled())
        violations.extend(self.fleet.platform.list_starts_in_evacuated())
        return violations + check_history(self.fleet.platform.history)

    def _list_missing_tasks(self, states):
        """Return the long-running tasks without a run."""
        present = {
            key.format()
            for worker in self.fleet.platform.workers.values()
            if worker.is_up
            for key, _ in worker.runs
        }
        names = {
            f'{job_id}.0.0.{index}'
            for job_id, count in self.long_running_jobs.items()
            if states.get(job_id) is JobState.RUNNING
            for index in range(count)
        }
        return sorted(names - present)


NO_PARTS = Features()
# All optional parts of the scheduler.
ALL_PARTS = Features(
    job_part_count=64,
    bounds_writes=True,
    has_admission=True,
    orders_by_progress=True,
    budgets_harm=True,
    gathers_reports=True,
    gathers_reads=True,
)


async def play(
    seed,
    are_ids_kept=False,
    are_domains_evacuated=False,
    features=NO_PARTS,
    loses_in_series=False,
    backlog_jobs=0,
):
    """Run the scenario of a seed; return all violations.

    If `are_ids_kept`, workers restart under their ids, also at once. If
    `are_domains_evacuated`, the workers lie in two failure domains, which
    operators evacuate again and again. If `loses_in_series`, owners are lost
    one after the other, beside workers that are lost for good. With
    `backlog_jobs` each worker serves a task with a target, some of which miss
    it by their own load, and so many opportunistic jobs come during the last
    faults and again after them.
    """
    rack_size = WORKER_COUNT // 2 if are_domains_evacuated else WORKER_COUNT
    source = random.Random(seed)
    body = make_config_body(2)
    services = tuple(
        msgspec.structs.replace(one, enforces_capacity=False)
        for one in body.services
    )
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(
            open_fleet(
                instances=3,
                workers=WORKER_COUNT,
                rack_size=rack_size,
                racks_per_domain=1,
                features=features,
            )
        )
        fleet.platform.configure(
            msgspec.structs.replace(body, services=services)
        )
        fleet.platform.restart_delay_ms = source.choice((1400, 2000, 6000))
        fleet.platform.store.source.seed(seed)
        soak = Soak(fleet, source)
        serving_source = random.Random(f'serve {seed}')
        if backlog_jobs:
            soak.backlog_jobs = backlog_jobs
            monkeypatch = stack.enter_context(pytest.MonkeyPatch.context())
            waiting_jobs.follow_load(monkeypatch, OwnTails(seed))
            soak.crashing_share = 0
            await soak.serve()
        async with trio.open_nursery() as nursery:
            if backlog_jobs:
                nursery.start_soon(soak.submit_early_backlog, serving_source)
            nursery.start_soon(soak.submit_jobs)
            nursery.start_soon(soak.inject_faults)
            if are_ids_kept:
                fleet.platform.are_ids_kept = True
                nursery.start_soon(soak.restart_workers)
            if loses_in_series:
                nursery.start_soon(
                    soak.lose_in_series, random.Random(f'lose {seed}')
                )
            if are_domains_evacuated:
                nursery.start_soon(
                    soak.evacuate_domains, random.Random(f'evacuate {seed}')
                )
        soak.faults_over_ms = get_now_ms()
        if backlog_jobs:
            await soak.watch_backlog(serving_source)
        return await soak.collect_violations()
