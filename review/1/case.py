"""Crashes one worker of eight, which runs many tasks of one job."""

import asyncio
import collections
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.play import CannotRun, main  # noqa: E402
from standins.rules import LostCheck  # noqa: E402

WIDE_ID = '7a5c0e0000000001'
WIDE_STEPS = 5
WIDE_TASKS = 160
WIDE_RUN_MS = 9000
DOWN_S = 3.5
SMALL_EVERY_S = 0.5
SMALL_S = 12.0
# Time after the end of the traffic at which all jobs are asked for.
FINISH_S = 14.0


def make_job(steps, tasks, run_ms, cpu):
    step = {'Count': tasks, 'Cpu': cpu, 'MemMb': 64, 'EstimatedMs': run_ms}
    return {'Spec': json.dumps({'run_ms': run_ms}), 'Steps': [step] * steps}


async def hand_in_small(play):
    ends = play.now + SMALL_S
    number = 0
    while play.now < ends:
        job_id = f'{0x51AE000000000000 + number * 0x10000001:016x}'
        await play.submit(job_id, make_job(1, 4, 700, 1000))
        number += 1
        await asyncio.sleep(SMALL_EVERY_S)


async def case(play, has_trouble):
    await play.open(3, 64_000, 256_000, {'toledo-hall': 8})
    small = asyncio.create_task(hand_in_small(play))
    await asyncio.sleep(1)
    wide = make_job(WIDE_STEPS, WIDE_TASKS, WIDE_RUN_MS, 100)
    status = await play.submit(WIDE_ID, wide)
    if status != 200:
        raise CannotRun(f'the wide job was answered {status}')
    began = play.now
    counts = collections.Counter()
    while counts.total() < WIDE_STEPS * WIDE_TASKS and play.now < began + 4:
        await asyncio.sleep(0.1)
        counts = collections.Counter(
            worker_id
            for worker_id, task, _ in play.fleet.runs
            if task.startswith(WIDE_ID)
        )
    play.record(f'tasks of the wide job by worker: {dict(counts)}')
    most = counts.most_common(1)[0][0]
    if has_trouble:
        for worker in play.fleet.workers:
            if worker.worker_id == most:
                await worker.crash(DOWN_S)
    await small
    check = LostCheck(play)
    ends = time.monotonic() + FINISH_S
    while time.monotonic() < ends:
        for job_id in play.accepted:
            check.note_state(job_id, await play.get_state(job_id))
        await asyncio.sleep(0.5)
    left = await play.wait_completed(play.accepted, 10)
    for job_id in play.accepted:
        check.note_state(job_id, play.states[job_id][-1][1])
    play.record(f'not completed: {left}')
    play.record(f'the store refused: {dict(play.store.refusals)}')
    play.record(f'largest value that was sent: {play.store.largest_row} bytes')
    waiting = sum(worker.waiting_ends for worker in play.fleet.workers)
    play.record(f'ends that nobody has taken note of: {waiting}')
    play.write_events()
    found = check.find_lost(time.monotonic())
    for text in found:
        play.record(f'LOST {text}')
    play.record(f'LOST {len(found)} times')
    return 1 if found else 0


main(case)
