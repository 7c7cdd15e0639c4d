"""A queue moves to another service; the only worker of the old one leaves."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import standin2  # noqa: E402

WATCH = '00000000000000aa'
SCHEDULE = '00000000000000bb'
LATER = '00000000000000cc'
# One of 16 workers leaves: a share of 0.0625 (`scale_in`: at most 0.065).
WORKERS = 16
# Bounds.DrainMs is 2,000; it serves on a little longer.
SERVES_S = 4


async def play(bench):
    bench.services = ('pool-new',)
    services = ['catalogue'] + ['pool-new'] * (WORKERS - 1)
    labels = [['a', f'r{number % 2}'] for number in range(WORKERS)]
    await bench.start(labels, 2, services)
    if not await bench.wait_ready():
        return 2
    step = {'Count': 2, 'Cpu': 1000, 'MemMb': 100}
    watch = {'Spec': '{"lasts":true}', 'Steps': [{**step, 'LongRunning': True}]}
    schedule = {
        'Spec': '{"run_ms":500}',
        'Steps': [step],
        'StartAtMs': int(time.time() * 1000) + 1000,
        'IntervalMs': 4000,
        'RepeatCount': 10,
    }
    for job_id, body in ((WATCH, watch), (SCHEDULE, schedule)):
        if not await bench.submit('batch', job_id, body):
            return 2
    await asyncio.sleep(8)
    if standin2.has_trouble():
        config = bench.make_config(2, batch='pool-new', urgent='pool-new')
        bench.store.put_json('op', 'config', config)
        bench.record.note('configuration 2 acknowledged')
    # Bounds.ConfigApplyMs is 2,000.
    await asyncio.sleep(4)
    later = {'Spec': '{"run_ms":500}', 'Steps': [step]}
    if not await bench.submit('batch', LATER, later):
        return 2
    await asyncio.sleep(3)
    if standin2.has_trouble():
        await bench.machines[0].drain(SERVES_S)
    else:
        await asyncio.sleep(SERVES_S)
    left_ms = standin2.now_ms()
    # 6 s after its last run, then 3 s: RULES.md, LOST. Asked for twice as long.
    await asyncio.sleep(18)
    states = {
        job_id: await bench.state('batch', job_id)
        for job_id in (WATCH, SCHEDULE, LATER)
    }
    since = [
        task
        for at_ms, what, _, task, *_ in bench.runs
        if what == 'started' and at_ms > left_ms
    ]
    running = [task for one in bench.machines for task, _ in one.runs]
    lost = [
        job_id
        for job_id in (WATCH, SCHEDULE)
        if states[job_id] != 'completed'
        and not any(task.startswith(job_id) for task in (*since, *running))
    ]
    print(f'states {states}; nothing running nor started for 18 s: {lost}')
    bench.record.note('result', states=states, lost=lost)
    return 1 if lost else 0


standin2.main(HERE, play)
