"""Loses all workers of one rack of eight for good."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.play import main  # noqa: E402
from standins.rules import LostCheck  # noqa: E402

# Workers by zone, eight in a rack.
ZONES = {'toledo-hall': 32, 'erie-hall': 24, 'duluth-hall': 8}
LOST_ZONE = 'duluth-hall'
TRAFFIC_S = 20.0
LOSS_AT_S = 8.0
JOB_EVERY_S = 0.25
# One job of this many names the rack where its data lies.
NEAR_EVERY = 4
# Time after the end of the traffic at which all jobs are asked for.
FINISH_S = 14.0


def make_job(source, rack):
    run_ms = source.choice((640, 1700))
    step = {'Count': 6, 'Cpu': 4600, 'MemMb': 9200, 'EstimatedMs': run_ms}
    if rack:
        step['Affinity'] = rack
    return {'Spec': json.dumps({'run_ms': run_ms}), 'Steps': [step]}


async def hand_in(play):
    source = random.Random(1)
    racks = ('r1-1', 'r2-1', 'r3-1', 'r1-2', 'r2-2', 'r3-1')
    ends = play.now + TRAFFIC_S
    tasks = []
    while play.now < ends:
        number = len(tasks)
        near = (
            number // NEAR_EVERY % len(racks)
            if number % NEAR_EVERY == 0
            else -1
        )
        job = make_job(source, racks[near] if near >= 0 else '')
        job_id = f'{0x7A5C0E0000000000 + number * 0x10000001:016x}'
        tasks.append(asyncio.create_task(play.submit(job_id, job)))
        await asyncio.sleep(JOB_EVERY_S)
    await asyncio.gather(*tasks)


async def case(play, has_trouble):
    await play.open(3, 64_000, 256_000, ZONES)
    handing_in = asyncio.create_task(hand_in(play))
    await asyncio.sleep(LOSS_AT_S)
    if has_trouble:
        await asyncio.gather(
            *(one.lose() for one in play.fleet.workers if one.zone == LOST_ZONE)
        )
    await handing_in
    check = LostCheck(play)
    ends = time.monotonic() + FINISH_S
    while time.monotonic() < ends:
        for job_id in play.accepted:
            check.note_state(job_id, await play.get_state(job_id))
        await asyncio.sleep(0.5)
    left = await play.wait_completed(play.accepted, 10)
    for job_id in play.accepted:
        check.note_state(job_id, play.states[job_id][-1][1])
    play.record(f'accepted {len(play.accepted)}, not completed: {left}')
    play.write_events()
    found = check.find_lost(time.monotonic())
    for text in found:
        rack = play.fleet.jobs[text.partition(':')[0]]['Steps'][0].get(
            'Affinity'
        )
        play.record(f'LOST {text}; its data lies in {rack}')
    play.record(f'LOST {len(found)} times')
    return 1 if found else 0


main(case)
