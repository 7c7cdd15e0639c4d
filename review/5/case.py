"""A worker goes down and up by turns under a task that lasts."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import standin2  # noqa: E402

JOB = '00000000000000aa'
CRASHES = 5
# A crash of the pages lasts up to 4.5 s (`srv_crash`, `for_s`).
DOWN_S = 2
UP_S = 4


async def play(bench):
    # One of ten workers is of kind `b`, which the job asks for.
    labels = [['a', f'r{number % 2}'] for number in range(9)] + [['b', 'r1']]
    await bench.start(labels, 2)
    if not await bench.wait_ready():
        return 2
    step = {
        'Count': 1,
        'Cpu': 2000,
        'MemMb': 100,
        'Requirements': 'b',
        'LongRunning': True,
    }
    body = {'Spec': '{"lasts":true}', 'Steps': [step]}
    if not await bench.submit('batch', JOB, body):
        return 2
    await asyncio.sleep(8)
    machine = bench.machines[-1]
    if not machine.runs:
        return 2
    for _ in range(CRASHES):
        if standin2.has_trouble():
            machine.crash()
            await asyncio.sleep(DOWN_S)
            await machine.start()
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(UP_S)
        await bench.state('batch', JOB)
    # The worker stays up from here on, with nothing else to do.
    began_s = time.monotonic()
    states = set()
    while time.monotonic() - began_s < 15:
        for instance in bench.instances:
            states.add(await bench.state('batch', JOB, instance))
        await asyncio.sleep(1)
    failed = sum(what == 'failed' for _, what, *_ in bench.runs)
    print(f'states {states}, ends `failed` {failed}, runs now {len(machine.runs)}')
    bench.record.note('result', states=states, ends_failed=failed)
    return 1 if 'failed' in states and not failed else 0


standin2.main(HERE, play)
