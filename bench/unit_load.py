"""What one unit's owner spends: events, starts, and passes over ready work.

Runs a scheduler over the platform's stand-in in virtual time, with the
processor time taken around the reducer alone, at several sizes. Load
grows with the workers: tasks that last reserve three quarters of the
processors, and jobs come at three starts a second for each worker, a
third more than the opportunistic ones find room for.

    python bench/unit_load.py --workers 33 100 246 --seconds 10
"""

import argparse
import collections
import random
import time

import attrs
import msgspec
import trio
import trio.testing

from tulippin.jobs import (
    SchedulerConfig,
    SchedulerPorts,
    SchedulerShell,
    core,
    layout,
    unit_shell,
)
from tulippin.jobs.features import Features
from tulippin.jobs.intake import JobIntake
from tulippin.jobs.types import JobRequest, Queue, Step
from tulippin.platform.feeds import PlatformFeeds
from tulippin.platform.standin import (
    StandinAdvisor,
    StandinPlatform,
    TaskPlan,
    get_now_ms,
)
from tulippin.platform.wire import (
    CapacityBody,
    ConfigBody,
    RouteBody,
    ServiceBody,
)
from tulippin.types import Resources

HIGH_PRIORITY_QUEUE = Queue('u', 'host', '/u/', 'catalogue', 0, 3, 1.5, 250)
LOW_PRIORITY_QUEUE = Queue('p', 'host', '/p/', 'catalogue', 2, 3, 2.0, 1000)
WORKER = CapacityBody(64_000, 256_000, 0)
LASTING_SHARE = 0.75
STARTS_PER_WORKER = 3.0
SETTLE_S = 3.0
LIMIT_MS = 3000


@attrs.define
class Times:
    """Seconds and counts by kind of event."""

    seconds: collections.Counter = attrs.field(factory=collections.Counter)
    counts: collections.Counter = attrs.field(factory=collections.Counter)

    def reduce(self, state, event):
        """Reduce an event with its time taken."""
        began = time.process_time()
        effects = original_reduce(state, event)
        name = type(event).__name__
        self.seconds[name] += time.process_time() - began
        self.counts[name] += 1
        return effects


original_reduce = core.reduce


def make_request(source, kind):
    """Return a job of the sizes that the users' sheets give."""
    if kind == 'lasting':
        step = Step(
            6,
            Resources(13_000, 26_000),
            long_running=True,
            image=f's{source.randrange(5)}',
            target_ms=50,
        )
        return make_job(step, lasts=True, tail_ms=source.uniform(15, 45))
    count = max(1, int(source.expovariate(1 / 8)))
    if kind == 'urgent':
        step = Step(count, Resources(6300, 13_000))
        return make_job(step, run_ms=800)
    step = Step(
        count,
        Resources(7000, 13_000),
        opportunistic=True,
        checkpointing=True,
        image=f'b{source.randrange(9)}',
    )
    return make_job(step, run_ms=1700)


def make_job(step, **plan):
    text = msgspec.json.encode(TaskPlan(**plan)).decode()
    return JobRequest(text, (step,))


def make_config():
    return ConfigBody(
        1,
        tuple(
            RouteBody(
                one.name, one.host, one.path_prefix, one.service, one.priority
            )
            for one in (HIGH_PRIORITY_QUEUE, LOW_PRIORITY_QUEUE)
        ),
        (ServiceBody('catalogue', enforces_capacity=True),),
    )


def make_shell(platform, features):
    view = platform.store.get_view('i0')
    agents = platform.get_agents('i0')
    return SchedulerShell(
        SchedulerConfig('i0', 'i0:1', features=features),
        SchedulerPorts(
            view, PlatformFeeds(view), agents, agents.forget, StandinAdvisor()
        ),
        clock=get_now_ms,
        wall=get_now_ms,
    )


async def send_jobs(intake, source, rate, until):
    """Hand in jobs at a steady rate until a moment."""
    number = 0
    while trio.current_time() < until:
        number += 1
        is_urgent = source.random() < 0.3
        request = make_request(source, 'urgent' if is_urgent else 'patient')
        queue = HIGH_PRIORITY_QUEUE if is_urgent else LOW_PRIORITY_QUEUE
        await intake.submit(f'{number:016x}', queue, request, LIMIT_MS)
        pause_s = request.steps[0].task_count / rate
        await trio.sleep(source.expovariate(1 / pause_s))


async def send_lasting(intake, source, workers):
    """Hand in jobs that reserve most processors."""
    for number in range(int(workers * WORKER.cpu * LASTING_SHARE / 6 / 13_000)):
        request = make_request(source, 'lasting')
        await intake.submit(
            f'a{number:015x}', HIGH_PRIORITY_QUEUE, request, LIMIT_MS
        )


async def play(workers, seconds, rate, times, features):
    """Play one size; return how many runs were started."""
    platform = StandinPlatform()
    platform.configure(make_config())
    for number in range(workers):
        platform.add_worker(
            f'w{number}',
            room=WORKER,
            labels=('a', f'r{number // 12}'),
        )
    source = random.Random(1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(platform.serve)
        async with make_shell(platform, features) as shell:
            await trio.sleep(SETTLE_S)
            times.seconds.clear()
            times.counts.clear()
            intake = JobIntake(shell)
            until = trio.current_time() + seconds
            await send_lasting(intake, source, workers)
            await send_jobs(intake, source, rate * workers, until)
            started = sum(
                unit.state.counters.get('starts', 0)
                for unit in shell.units.values()
            )
        nursery.cancel_scope.cancel()
    return started


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--workers', type=int, nargs='+', default=[33, 100])
    parser.add_argument(
        '--rate',
        type=float,
        default=STARTS_PER_WORKER,
        help='starts a second asked for each worker',
    )
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument(
        '--one-unit', action='store_true', help='all workers in one unit'
    )
    parser.add_argument(
        '--progress-order', action='store_true', help='orders by progress'
    )
    parser.add_argument('--events', action='store_true', help='by kind')
    options = parser.parse_args()
    if options.one_unit:
        layout.MAX_SINGLE_UNIT_WORKERS = 1_000_000
    times = Times()
    unit_shell.core = attrs.make_class('Core', ['reduce', 'make_state'])(
        times.reduce, core.make_state
    )
    for workers in options.workers:
        clock = trio.testing.MockClock(autojump_threshold=0)
        started = trio.run(
            play,
            workers,
            options.seconds,
            options.rate,
            times,
            Features(orders_by_progress=options.progress_order),
            clock=clock,
        )
        total = sum(times.seconds.values())
        count = sum(times.counts.values())
        print(
            f'{workers} workers: {started / options.seconds:.0f} starts a'
            f' second, {total / options.seconds:.3f} s a second,'
            f' {total / count * 1e6:.0f} us an event,'
            f' {total / max(1, started) * 1e6:.0f} us a start'
        )
        if options.events:
            for name, spent in times.seconds.most_common(8):
                each = spent / times.counts[name] * 1e6
                print(f'  {name}: {times.counts[name]} of {each:.0f} us')


if __name__ == '__main__':
    main()
