"""Scheduler instances on the platform's stand-in, in virtual time."""

import collections
import contextlib

import attrs
import msgspec
import trio

from tulippin.jobs import (
    JobIntake,
    SchedulerConfig,
    SchedulerPorts,
    SchedulerShell,
)
from tulippin.jobs.types import JobRequest, JobState, Queue, Step
from tulippin.platform.feeds import PlatformFeeds
from tulippin.platform.standin import (
    StandinAdvisor,
    StandinPlatform,
    TaskPlan,
    check_history,
    get_now_ms,
)
from tulippin.platform.wire import ConfigBody, RouteBody, ServiceBody
from tulippin.types import Resources

WALL_OFFSET_MS = 1_700_000_000_000
QUEUE = Queue('q', 'host', '/q/', 'catalogue', 0, 3, 2.0, 500)
HIGH_PRIORITY_QUEUE = QUEUE
LOW_PRIORITY_QUEUE = Queue('p', 'host', '/p/', 'catalogue', 2, 3, 2.0, 500)
JOB = '00000000000000aa'
# Deadline of callers' requests.
LIMIT_MS = 3000


def make_config_body(version=1):
    return ConfigBody(
        version,
        (
            RouteBody('q', 'host', '/q/', 'catalogue', 0, 3, 2.0, 500),
            RouteBody('p', 'host', '/p/', 'catalogue', 2, 3, 2.0, 500),
        ),
        (ServiceBody('catalogue', enforces_capacity=True),),
    )


def make_request(*steps, **plan):
    text = msgspec.json.encode(TaskPlan(**plan)).decode()
    return JobRequest(text, steps or (make_step(),))


def make_step(count=1, cpu=1000, **options):
    return Step(count, Resources(cpu, 1000), **options)


def make_service_request(count, target_ms):
    """Return a latency-critical job with one task on each of its workers."""
    step = make_step(
        count,
        cpu=6000,
        long_running=True,
        target_ms=target_ms,
        image='web',
        max_per_worker=1,
    )
    return make_request(step, lasts=True)


def make_long_running_request(count, cpu=1000, **options):
    """Return a job of long-running tasks without a latency target."""
    step = make_step(count, cpu, long_running=True, **options)
    return make_request(step, lasts=True)


def get_max_downtime_ms(fleet, job_id=JOB):
    """Return the longest time between two runs of one of a job's tasks."""
    gaps = collections.Counter()
    ended_ms = {}
    for event in fleet.platform.history:
        if event.key.job_id != job_id:
            continue
        if event.kind == 'ended':
            ended_ms[event.key] = event.at_ms
        elif event.kind == 'started' and event.key in ended_ms:
            gap_ms = event.at_ms - ended_ms.pop(event.key)
            gaps[event.key] = max(gaps[event.key], gap_ms)
    for key, at_ms in ended_ms.items():
        gaps[key] = max(gaps[key], get_now_ms() - at_ms)
    return max(gaps.values(), default=0)


@attrs.define
class Instance:
    shell: SchedulerShell
    intake: JobIntake
    scope: trio.CancelScope
    paused_ms: int = 0

    @property
    def is_owner(self):
        return any(unit.is_owner for unit in self.shell.units.values())

    @property
    def state(self):
        """The state of the only unit."""
        return self.shell.units[0].state


@attrs.define
class SchedulerFleet:
    nursery: trio.Nursery
    platform: StandinPlatform = attrs.field(factory=StandinPlatform)
    instances: dict = attrs.field(factory=dict)
    advisor: StandinAdvisor = attrs.field(factory=StandinAdvisor)
    session_count: int = 0
    options: dict = attrs.field(factory=dict)

    async def start(self, name):
        """Start an instance, and wait until it runs."""
        self.session_count += 1
        config = SchedulerConfig(
            name, f'{name}:{self.session_count}', **self.options
        )
        agents = self.platform.get_agents(name)
        view = self.platform.store.get_view(name)
        shell = SchedulerShell(
            config,
            SchedulerPorts(
                view,
                PlatformFeeds(view),
                agents,
                agents.forget,
                self.advisor,
            ),
            clock=get_now_ms,
            wall=lambda: get_now_ms() + WALL_OFFSET_MS,
        )
        scope = trio.CancelScope()
        self.instances[name] = Instance(shell, JobIntake(shell), scope)
        await self.nursery.start(self._run, shell, scope)
        return self.instances[name]

    async def _run(self, shell, scope, task_status):
        with scope:
            async with shell:
                task_status.started()
                await trio.sleep_forever()

    def kill(self, name):
        self.instances.pop(name).scope.cancel()

    def kill_owner(self):
        self.kill(self.get_owner())

    async def stop(self, name):
        """Have an instance release its units, and end its process."""
        await self.instances[name].shell.leave()
        self.kill(name)

    async def submit(self, job_id=JOB, request=None, queue=QUEUE, by=None):
        """Submit a job to an instance, by default to the first one."""
        name = by or next(iter(self.instances))
        await self.instances[name].intake.submit(
            job_id, queue, request or make_request(), LIMIT_MS
        )

    def count_starts(self, job_id=JOB):
        return sum(
            event.kind == 'started' and event.key.job_id == job_id
            for event in self.platform.history
        )

    def get_other_instance(self, name):
        """Return the name of the first other instance."""
        return next(one for one in self.instances if one != name)

    def get_owner(self):
        for name, instance in self.instances.items():
            if instance.is_owner:
                return name
        return ''

    async def wait_owner(self, limit_s=12):
        with trio.fail_after(limit_s):
            while not self.get_owner():
                await trio.sleep(0.02)
        return self.get_owner()

    async def wait_state(self, job_id, wanted, limit_s=20, by=None):
        name = by or next(iter(self.instances))
        intake = self.instances[name].intake
        with trio.fail_after(limit_s):
            while True:
                state = await intake.get_state(job_id)
                if state is wanted:
                    return
                await trio.sleep(0.05)

    async def wait_done(self, job_id, limit_s=20):
        await self.wait_state(job_id, JobState.COMPLETED, limit_s)

    async def wait_running(self, count=1, limit_s=15):
        with trio.fail_after(limit_s):
            while self.count_running() < count:
                await trio.sleep(0.02)

    def count_running(self):
        return sum(
            len(worker.runs)
            for worker in self.platform.workers.values()
            if worker.is_up
        )

    def check(self):
        assert check_history(self.platform.history) == []
        assert self.platform.list_starts_in_evacuated() == []


@contextlib.asynccontextmanager
async def open_fleet(
    instances=2, workers=2, rack_size=None, racks_per_domain=None, **options
):
    async with trio.open_nursery() as nursery:
        fleet = SchedulerFleet(nursery, options=options)
        fleet.platform.configure(make_config_body())
        for number in range(workers):
            rack = number // rack_size if rack_size else 1
            domain = rack // racks_per_domain if racks_per_domain else ''
            fleet.platform.add_worker(
                f'w{number}',
                labels=('a', f'r{rack}'),
                failure_domain=f'hall{domain}',
            )
        nursery.start_soon(fleet.platform.serve)
        for number in range(instances):
            await fleet.start(f'i{number}')
        await fleet.wait_owner()
        yield fleet
        nursery.cancel_scope.cancel()
