"""Jobs of two steps, beside jobs that last and ask for one label."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import standin2  # noqa: E402

# Workers by zone, eight a rack; those of the last zone are of another kind.
ZONES = {'toledo-hall': 32, 'erie-hall': 24, 'duluth-hall': 8}
LABELLED_ZONE = 'duluth-hall'
# Sizes of the site: workers of 64 cores; tasks of `stock-merge` of 14 cores
# and 4.3 s at most; tasks that last of 20 cores, 12 a job, at most.
WORKER_CPU = 64_000
WORKER_MB = 250_000
JOB_CPU = 14_000
LASTING_CPU = 17_000
LASTING_JOBS = 3
JOBS = 12
WAIT_S = 40


def make_job():
    first = {
        'Count': 1,
        'Cpu': 500,
        'MemMb': 1000,
        'EstimatedMs': 4000,
        'Affinity': f'{LABELLED_ZONE}-0',
    }
    second = {
        'Count': 4,
        'Cpu': JOB_CPU,
        'MemMb': 9000,
        'EstimatedMs': 4000,
        'AfterRevision': [0],
    }
    return {'Spec': '{"run_ms":4000}', 'Steps': [first, second]}


def make_lasting():
    step = {
        'Count': 8,
        'Cpu': LASTING_CPU,
        'MemMb': 26_000,
        'LongRunning': True,
        'Requirements': 'b',
        'AntiAffinity': 1,
    }
    return {'Spec': '{"lasts":true}', 'Steps': [step]}


async def play(bench):
    labels, zones = [], []
    for zone, count in ZONES.items():
        kind = 'b' if zone == LABELLED_ZONE else 'a'
        for number in range(count):
            labels.append([kind, f'{zone}-{number // 8}'])
            zones.append(zone)
    await bench.start(
        labels, 3, zones=zones, cpu=WORKER_CPU, memory_mb=WORKER_MB
    )
    if not await bench.wait_ready():
        return 2
    await asyncio.sleep(3)
    jobs = [f'000000000001{number:04x}' for number in range(JOBS)]
    for job_id in jobs:
        if not await bench.submit('batch', job_id, make_job()):
            return 2
    await asyncio.sleep(1)
    if standin2.has_trouble():
        for number in range(LASTING_JOBS):
            job_id = f'000000000002{number:04x}'
            if not await bench.submit('batch', job_id, make_lasting()):
                return 2
    await asyncio.sleep(WAIT_S)
    # LOST: nothing running for 3 s; asked for 6 s.
    idle = set(jobs)
    ends_s = time.monotonic() + 6
    while time.monotonic() < ends_s:
        for machine in bench.machines:
            idle -= {task.partition('.')[0] for task, _ in machine.runs}
        await asyncio.sleep(0.05)
    states = {job_id: await bench.state('batch', job_id) for job_id in jobs}
    lost = [one for one in sorted(idle) if states[one] != 'completed']
    used = {zone: 0 for zone in ZONES}
    for machine in bench.machines:
        used[machine.zone] += sum(
            bench.size_of(task)[0] for task, _ in machine.runs
        )
    shares = {
        zone: round(used[zone] / (count * WORKER_CPU), 2)
        for zone, count in ZONES.items()
    }
    print(
        f'{len(lost)} of {JOBS} jobs wait with nothing running;'
        f' processors in use by zone: {shares}'
    )
    bench.record.note('result', lost=lost, states=states, in_use=shares)
    return 1 if lost else 0


standin2.main(HERE, play)
