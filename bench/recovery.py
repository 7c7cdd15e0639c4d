"""Cost of a lost instance, a lost rack and a store outage in virtual time.

Prints for each: the time until every unit has an active owner again, the
number and delay of delayed tasks, requests by outcome in the first 30 s, and
the highest numbers of table reads and writes in a second.
"""

import collections
import statistics
import sys

import trio
import trio.testing

from tulippin.testing import Fleet, FleetSize, check_history
from tulippin.types import SERVICE_PRIORITY, JobKind, JobSpec, Resources

SEEDS = range(1, 6)
TASK_RUN_MS = 20000
LOAD_S = 30


async def start_fleet(seed):
    fleet = Fleet(FleetSize(6, 12, 4, domain_count=6, region_count=2), seed)
    async with fleet:
        assert await fleet.wait_ready()
        await fleet.submit_surely(
            JobSpec(
                'service',
                'team',
                JobKind.SERVICE,
                job_class='alerts',
                task_count=24,
                size=Resources(500, 512),
                priority=SERVICE_PRIORITY,
            )
        )
        await fleet.submit_surely(
            JobSpec('batch', 'team', task_count=200, run_ms=TASK_RUN_MS)
        )
        await trio.sleep(8)
        yield fleet


async def lose_instance(fleet):
    fleet.crash('instance-2')
    await trio.sleep(0.1)
    fleet.directory.instances.discard('instance-2')
    fleet.directory.publish()


async def lose_rack(fleet):
    for worker in fleet.workers.values():
        if worker.info.cell == 'cell-4':
            fleet.record_unreachable(worker.info.worker_id, 600)
            worker.crash()


async def lose_store(fleet):
    fleet.table.faults.down = fleet.objects.faults.down = True
    fleet.history.note('disturbed', until_ms=fleet.get_now_ms() + 30000)
    await trio.sleep(30)
    fleet.table.faults.down = fleet.objects.faults.down = False


async def call(fleet, outcomes, end_s):
    number = 0
    while trio.current_time() < end_s:
        number += 1
        outcome = await fleet.request('alerts', repeatable=number % 4 != 0)
        outcomes[f'{outcome.kind.value} {outcome.code}'.strip()] += 1
        await trio.sleep(0.02)


async def measure_recovery(fleet, began_s, result):
    """Store the time in which all units have become active again."""
    await trio.sleep(0.05)
    while not await fleet.wait_ready(0.06):
        await trio.sleep(0.02)
    result['recovered_s'] = trio.current_time() - began_s


async def run(seed, fault):
    async for fleet in start_fleet(seed):
        outcomes = collections.Counter()
        result = {}
        began_s = trio.current_time()
        fleet.table.meter.writes.clear()
        fleet.table.meter.reads.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault, fleet)
            nursery.start_soon(measure_recovery, fleet, began_s, result)
            for _ in range(8):
                nursery.start_soon(call, fleet, outcomes, began_s + LOAD_S)
        await wait_until_done(fleet)
        meter = fleet.table.meter
        result['writes'] = meter.get_peak_writes()
        result['reads'] = meter.get_peak_reads()
        worker_ends = {}
        for entry in fleet.history.iter_kind('task_ended'):
            if entry.details['state'] == 'done':
                worker_ends[entry.details['task_id']] = entry.at_ms
        starts = {}
        for entry in fleet.history.iter_kind('task_began'):
            starts.setdefault(entry.details['task_id'], entry.at_ms)
        delays = [
            end_ms - starts[task_id] - TASK_RUN_MS
            for task_id, end_ms in worker_ends.items()
            if task_id.startswith('batch')
        ]
        result['delays'] = [delay for delay in delays if delay > 500]
    violations = check_history(fleet.history)
    return result, outcomes, violations


async def wait_until_done(fleet):
    with trio.move_on_after(300):
        while True:
            shell = fleet.iter_live()[0].shell
            reply = await shell.operate_job('show', 'batch')
            if reply.job is not None and reply.job.state == 'done':
                return
            await trio.sleep(0.5)


def main():
    faults = (lose_instance, lose_rack, lose_store)
    selected = sys.argv[1:] or [fault.__name__ for fault in faults]
    for fault in faults:
        if fault.__name__ not in selected:
            continue
        recovered, delays, writes, reads = [], [], [], []
        outcomes = collections.Counter()
        delayed_count = violation_count = 0
        for seed in SEEDS:
            clock = trio.testing.MockClock(autojump_threshold=0)
            result, run_outcomes, violations = trio.run(
                run, seed, fault, clock=clock
            )
            recovered.append(result['recovered_s'])
            delays.extend(result['delays'])
            delayed_count += len(result['delays'])
            writes.append(result['writes'])
            reads.append(result['reads'])
            outcomes.update(run_outcomes)
            violation_count += len(violations)
        total = sum(outcomes.values())
        print(f'{fault.__name__} over seeds {list(SEEDS)}:')
        print(
            f'  units active again: median {statistics.median(recovered):.1f}'
            f' s, most {max(recovered):.1f} s'
        )
        median = statistics.median(delays) / 1000 if delays else 0
        print(
            f'  tasks delayed {delayed_count} of {200 * len(SEEDS)},'
            f' median {median:.1f} s'
        )
        for name, count in outcomes.most_common():
            print(f'  requests {name}: {count} ({count / total:.2%})')
        print(
            f'  worst second {max(writes)} writes, {max(reads)} reads;'
            f' promises broken {violation_count}'
        )


if __name__ == '__main__':
    main()
