"""Kills the owner while more than 500 ends wait at each worker."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.play import CannotRun, main  # noqa: E402
from standins.rules import find_twice  # noqa: E402

JOBS = 62
TASKS = 32
SUBMIT_EVERY_S = 0.12
# The tasks end in this time after the moment at which the owner is killed.
FIRST_END_S = 0.1
LAST_END_S = 1.9
KILL_AT_S = 16.0
# Before an instance can own the unit and have asked the workers.
LOOK_AFTER_S = 1.2
SETTLE_S = 30.0


async def case(play, has_trouble):
    await play.open(3, 64_000, 256_000, {'toledo-hall': 2})
    source = random.Random(1)
    began = play.now
    kill_at = began + KILL_AT_S
    tasks = []
    for number in range(JOBS):
        ends = kill_at + source.uniform(FIRST_END_S, LAST_END_S)
        run_ms = int((ends - play.now) * 1000) - 100
        job = {
            'Spec': json.dumps({'run_ms': run_ms}),
            'Steps': [
                {
                    'Count': TASKS,
                    'Cpu': 60,
                    'MemMb': 64,
                    'EstimatedMs': run_ms,
                }
            ],
        }
        job_id = f'{0x7A5C0E0000000000 + number * 0x10000001:016x}'
        tasks.append(asyncio.create_task(play.submit(job_id, job)))
        await asyncio.sleep(SUBMIT_EVERY_S)
    statuses = await asyncio.gather(*tasks)
    play.record(f'accepted {statuses.count(200)} of {len(statuses)} jobs')
    await asyncio.sleep(max(0, kill_at - play.now))
    for worker in play.fleet.workers:
        play.record(f'{worker.worker_id} runs {worker.running_count} tasks')
    owner = await play.find_owner()
    if owner is None:
        raise CannotRun('nobody owns the unit')
    if has_trouble:
        owner.kill()
    await asyncio.sleep(LOOK_AFTER_S)
    for worker in play.fleet.workers:
        play.record(
            f'{worker.worker_id} holds {worker.waiting_ends} ends that nobody'
            ' has taken note of'
        )
    left = await play.wait_completed(play.accepted, SETTLE_S)
    play.record(f'not completed: {left}')
    play.write_events()
    found = find_twice(play.fleet)
    for at, text in found:
        play.record(f'TWICE {text}', at)
    play.record(f'TWICE {len(found)} times')
    return 1 if found else 0


main(case)
