"""Runs a fleet at a share of the target size in virtual time.

Prints the highest table traffic in a second and the CPU time of the reducers
by kind of event. `--share 1` is the full size of 1,104 workers, for the
default of 9 instances.
"""

import argparse
import resource
import time

import attrs
import trio
import trio.testing

from tulippin import core
from tulippin.testing import Fleet, FleetSize
from tulippin.types import SERVICE_PRIORITY, JobKind, JobSpec, Resources

CELLS = 138
WORKERS = 8
SERVICE_TASKS = 2400
BATCH_TASKS = 25000
STARTS_PER_S = 650


@attrs.define
class Meter:
    """CPU seconds and calls of the reducer, by kind of event."""

    cpu_s: dict = attrs.field(factory=dict)
    counts: dict = attrs.field(factory=dict)

    def wrap(self):
        inner_reduce = core.reduce

        def reduce(state, event):
            began_s = time.perf_counter()
            effects = inner_reduce(state, event)
            kind = type(event).__name__
            spent_s = time.perf_counter() - began_s
            self.cpu_s[kind] = self.cpu_s.get(kind, 0) + spent_s
            self.counts[kind] = self.counts.get(kind, 0) + 1
            return effects

        core.reduce = reduce

    def reset(self):
        self.cpu_s.clear()
        self.counts.clear()


async def run(options, meter):
    share = options.share
    cells = max(9, int(CELLS * share))
    size = FleetSize(
        options.instances,
        cells,
        WORKERS,
        Resources(64000, 256000),
        domain_count=6,
    )
    overrides = {'range_count': 32}
    began_s = time.perf_counter()
    async with Fleet(size, 1, overrides) as fleet:
        for worker in fleet.workers.values():
            worker.faults.report_lag_ms = 10000
        assert await fleet.wait_ready(120)
        print(f'ready after {trio.current_time():.1f} s virtual')
        for number in range(24):
            await fleet.submit_surely(
                JobSpec(
                    f'service-{number}',
                    'team',
                    JobKind.SERVICE,
                    f'service-{number}',
                    int(SERVICE_TASKS * share / 24),
                    Resources(1000, 2000),
                    0,
                    SERVICE_PRIORITY,
                )
            )
        long_running_count = int(BATCH_TASKS * share)
        for number in range(100):
            await fleet.submit_surely(
                JobSpec(
                    f'long-{number}',
                    'team',
                    task_count=long_running_count // 100,
                    size=Resources(1000, 2000),
                    run_ms=3600000,
                )
            )
        await trio.sleep(60)
        running_count = count_running(fleet)
        print(
            f'running {running_count} tasks after {trio.current_time():.0f} s'
            f' virtual, {time.perf_counter() - began_s:.0f} s wall'
        )
        fleet.table.meter.writes.clear()
        fleet.table.meter.reads.clear()
        meter.reset()
        peak_began_s = trio.current_time()
        starts_per_s = int(STARTS_PER_S * share)
        for second in range(options.seconds):
            await fleet.submit_surely(
                JobSpec(
                    f'peak-{second}',
                    'team',
                    task_count=starts_per_s,
                    size=Resources(500, 500),
                    run_ms=2000,
                )
            )
            await trio.sleep_until(peak_began_s + second + 1)
        duration_s = trio.current_time() - peak_began_s
        placed_count = count_placements(fleet)
        print_results(fleet, meter, duration_s, options)
        await trio.sleep(10)
        print(
            f'started {placed_count} tasks in all; now {count_running(fleet)}'
        )
        done_count = sum(
            entry.details['state'] == 'done'
            for entry in fleet.history.iter_kind('task_ended')
        )
        print(
            f'done {done_count} of {starts_per_s * options.seconds} peak tasks'
        )
    print(f'wall {time.perf_counter() - began_s:.0f} s')


def count_running(fleet):
    return sum(
        run.state.value == 'running'
        for worker in fleet.workers.values()
        for run in worker.runs.values()
    )


def count_placements(fleet):
    return sum(
        process.shell.state.counters['attempts_placed']
        for process in fleet.iter_live()
    )


def print_results(fleet, meter, duration_s, options):
    table = fleet.table.meter
    print(
        f'worst second: {table.get_peak_writes()} writes,'
        f' {table.get_peak_reads()} reads;'
        f' objects {fleet.objects.meter.get_peak_writes()} writes'
    )
    total_s = sum(meter.cpu_s.values())
    print(
        f'reducers: {total_s:.2f} s CPU in {duration_s:.1f} s virtual over'
        f' {options.instances} instances ='
        f' {total_s / duration_s / options.instances:.3f} core each'
    )
    for kind, spent_s in sorted(meter.cpu_s.items(), key=lambda item: -item[1])[
        :9
    ]:
        count = meter.counts[kind]
        print(
            f'  {kind:18} {count:8} events {spent_s:8.2f} s'
            f' {spent_s / count * 1e6:8.0f} us each'
        )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f'memory of the whole process {peak_mb:.0f} MB')


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--share', type=float, default=0.1)
    parser.add_argument('--instances', type=int, default=9)
    parser.add_argument('--seconds', type=int, default=10)
    options = parser.parse_args()
    meter = Meter()
    meter.wrap()
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, options, meter, clock=clock)


if __name__ == '__main__':
    main()
