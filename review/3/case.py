"""Cancels jobs whose hand-in got no answer while the store does writes late."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.play import main  # noqa: E402
from standins.rules import find_unasked  # noqa: E402

JOBS = 40
# The clients hand in their jobs in this time.
HAND_IN_S = 1.5
# The store does a share of the writes of this time late, without an answer.
TROUBLE_S = 4.5
LATE_SHARE = 0.35
CANCEL_AFTER_S = 3.1
STEPS = 6
RUN_MS = 4000
WATCH_S = 40.0


class LateWrites:
    """Chooses the late transactions: those that hand in one job of four.

    All attempts for these jobs are late while the trouble lasts, as long as
    they are no more than the share of all transactions that came until then.
    """

    def __init__(self, play, job_ids):
        self._ends = play.now + TROUBLE_S
        self._play = play
        self._job_ids = job_ids
        self.late_count = 0
        self.count = 0

    def __call__(self, data):
        if self._play.now >= self._ends:
            return False
        self.count += 1
        is_chosen = any(
            one['table'] == 'homes'
            and one['ver'] == 0
            and one['Key'] in self._job_ids
            for one in data.get('ExpectedRevision', ())
        )
        is_late = is_chosen and self.late_count + 1 <= LATE_SHARE * self.count
        self.late_count += is_late
        return is_late


def make_job():
    steps = []
    for number in range(STEPS):
        step = {'Count': 2, 'Cpu': 1000, 'MemMb': 256, 'EstimatedMs': RUN_MS}
        if number:
            step['AfterRevision'] = [number - 1]
        steps.append(step)
    return {'Spec': json.dumps({'run_ms': RUN_MS}), 'Steps': steps}


async def use(play, job_id, cancelled):
    """Hand a job in, and cancel it 3 s later, as its user has left."""
    handing_in = asyncio.create_task(play.submit(job_id, make_job(), retries=0))
    await asyncio.sleep(CANCEL_AFTER_S)
    await handing_in
    for _ in range(20):
        status, _ = await play.call('DELETE', job_id)
        if status in (200, 410):
            cancelled[job_id] = play.now
            return
        await asyncio.sleep(0.3)


async def case(play, has_trouble):
    await play.open(instances=3, workers=4, cpu=64_000, memory_mb=256_000)
    job_ids = [
        f'{0x7A5C0E0000000000 + n * 0x10000001:016x}' for n in range(JOBS)
    ]
    late = None
    if has_trouble:
        late = LateWrites(play, set(job_ids[::4]))
        play.store.late = late
        play.record(f'the store does writes late for {TROUBLE_S} s')
    cancelled = {}
    tasks = []
    for job_id in job_ids:
        tasks.append(asyncio.create_task(use(play, job_id, cancelled)))
        await asyncio.sleep(HAND_IN_S / JOBS)
    await asyncio.gather(*tasks)
    await asyncio.sleep(WATCH_S)
    for job_id in job_ids:
        await play.get_state(job_id)
    if late is not None:
        play.record(f'{late.late_count} of {late.count} writes were late')
    play.write_events()
    found = find_unasked(play, cancelled)
    for text in found:
        play.record(f'UNASKED {text}')
    play.record(f'UNASKED {len(found)} times')
    return 1 if found else 0


main(case)
