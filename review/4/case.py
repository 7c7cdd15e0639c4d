"""Four schedules of one run a minute for a year, beside ordinary work."""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import standin2  # noqa: E402

# `Limits.MemoryMb` of the sites peltoverkko and glabg-sched: 300 MB.
MEMORY_MB = 300
RESTART_DELAY_S = 0.5
MINUTE_MS = 60_000
DAY = 1_440
YEAR = 525_600
LASTS_S = 45
FINISH_S = 14
WATCH = '00000000000000aa'


async def enforce_memory(bench, ends):
    """Kill a process over its memory, and start it again, as the platform."""
    while True:
        for instance in bench.instances:
            if instance.memory_mb() > MEMORY_MB:
                bench.record.note(
                    'over MemoryMb, killed',
                    name=instance.name,
                    memory_mb=instance.memory_mb(),
                )
                instance.send_signal(signal.SIGKILL)
                await instance.process.wait()
                ends[instance.name] += 1
                bench.spawn(start_again(instance))
        await asyncio.sleep(0.05)


async def start_again(instance):
    await asyncio.sleep(RESTART_DELAY_S)
    await instance.start()


async def play(bench):
    await bench.start([['a', f'r{number % 2}'] for number in range(6)], 3)
    if not await bench.wait_ready():
        return 2
    ends = {instance.name: 0 for instance in bench.instances}
    bench.spawn(enforce_memory(bench, ends))
    step = {'Count': 2, 'Cpu': 1000, 'MemMb': 100}
    watch = {'Spec': '{"lasts":true}', 'Steps': [{**step, 'LongRunning': True}]}
    if not await bench.submit('batch', WATCH, watch):
        return 2
    await asyncio.sleep(3)
    schedule = {
        'Spec': '{"run_ms":500}',
        'Steps': [{'Count': 1, 'Cpu': 500, 'MemMb': 100}],
        'StartAtMs': int(time.time() * 1000) + 5000,
        'IntervalMs': MINUTE_MS,
        'RepeatCount': YEAR if standin2.has_trouble() else DAY,
    }
    for number in range(4):
        await bench.submit('batch', f'00000000000001{number:02x}', schedule)
    began_s = time.monotonic()
    accepted = []
    number = 0
    while time.monotonic() - began_s < LASTS_S:
        number += 1
        job_id = f'00000000000002{number:02x}'
        body = bench.jobs[job_id] = {'Spec': '{"run_ms":300}', 'Steps': [step]}
        instance = bench.instances[number % len(bench.instances)]
        status, _ = await bench.call(
            instance, 'POST', f'/urgent/{job_id}', body
        )
        if status == 200:
            accepted.append(job_id)
        bench.record.note(
            'memory',
            **{one.name: f'{one.memory_mb()}MB' for one in bench.instances},
        )
        await asyncio.sleep(2)
    # Bounds.finish_s after the last one was handed in.
    await asyncio.sleep(FINISH_S)
    lost = await list_lost(bench, accepted)
    is_watched = any(
        task.startswith(WATCH) for one in bench.machines for task, _ in one.runs
    )
    print(
        f'ends over {MEMORY_MB} MB: {ends}; {len(lost)} of {len(accepted)}'
        f' accepted jobs have not run, the lasting task runs: {is_watched}'
    )
    bench.record.note('result', ends=ends, lost=lost, is_watched=is_watched)
    return 1 if lost else 0


async def list_lost(bench, accepted):
    """Return the jobs that have nothing running for 4 s and are not over."""
    idle = set(accepted)
    ends_s = time.monotonic() + 4
    while time.monotonic() < ends_s:
        for machine in bench.machines:
            idle -= {task.partition('.')[0] for task, _ in machine.runs}
        await asyncio.sleep(0.05)
    lost = []
    for job_id in sorted(idle):
        states = set()
        for instance in bench.instances:
            path = f'/urgent/{job_id}'
            status, body = await bench.call(instance, 'GET', path, limit_s=1)
            states.add(json.loads(body)['State'] if status == 200 else status)
        if states & {'pending', 'running'}:
            lost.append(job_id)
    return lost


standin2.main(HERE, play)
