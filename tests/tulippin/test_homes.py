"""Tests of admission: urgent jobs, team quotas and starvation."""

import collections

import trio

from tulippin.testing import Fleet, FleetSize, check_history
from tulippin.types import JobSpec, Resources

FLEET_SIZE = FleetSize(3, 3, 2, Resources(4000, 16000))
URGENT_LIMIT_MS = 9100
TEAMS = (
    '[bundle]\nname = teams\n[policy p]\nkind = least_loaded\n'
    '[team small]\ncpu_millicores = 6000\n[team large]\nmax_priority = 10\n'
)


def make_job(job_id, tasks, run_ms=60000, **details):
    details.setdefault('team', 'large')
    size = details.pop('size', Resources(1000, 100))
    return JobSpec(
        job_id, task_count=tasks, size=size, run_ms=run_ms, **details
    )


def get_starts(fleet, job_id):
    return [
        entry.at_ms
        for entry in fleet.history.iter_kind('task_began')
        if entry.details['task_id'].startswith(f'{job_id}/')
    ]


def test_urgent_work_starts_in_time_in_a_full_fleet(run_virtual):
    async def run():
        async with Fleet(FLEET_SIZE, seed=3) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_job('filler', 80, 600000))
            await trio.sleep(20)
            submitted_ms = fleet.get_now_ms()
            urgent = make_job('urgent', 6, 5000, priority=100)
            await fleet.submit_surely(urgent)
            await trio.sleep(20)
            starts = get_starts(fleet, 'urgent')
            assert len(starts) == 6
            assert max(starts) - submitted_ms <= URGENT_LIMIT_MS
            await trio.sleep(10)
        assert not check_history(fleet.history)

    run_virtual(run)


def test_quota_is_never_exceeded(run_virtual):
    async def run():
        async with Fleet(FLEET_SIZE, seed=3) as fleet:
            assert await fleet.wait_ready()
            await fleet.roll_bundle(TEAMS)
            await trio.sleep(3)
            for number in range(12):
                await fleet.submit_surely(
                    make_job(f'job-{number}', 4, 3000, team='small')
                )
            await trio.sleep(90)
            running, max_running = 0, 0
            for entry in fleet.history.iter_kind('task_ended', 'task_began'):
                running += 1 if entry.kind == 'task_began' else -1
                max_running = max(max_running, running)
            assert 1 <= max_running <= 6
            assert await fleet.submit(make_job('new', 1, team='none')) == (
                'unknown_team'
            )
            high = make_job('high', 1, priority=11)
            assert await fleet.submit(high) == 'priority_too_high'

    run_virtual(run)


def test_old_work_is_not_starved_by_higher_priority(run_virtual):
    async def run():
        async with Fleet(FleetSize(2, 1, 1, Resources(2000, 9999))) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_job('fill', 2, 20000, priority=5))
            await trio.sleep(1)
            await fleet.submit_surely(make_job('old', 1, 1000))
            submitted_before_old = collections.deque()
            for number in range(60):
                await fleet.submit_surely(
                    make_job(f'young-{number}', 1, 16000, priority=3)
                )
                await trio.sleep(8)
                if get_starts(fleet, 'old'):
                    submitted_before_old.append(number)
                    break
            # A job of priority 3 counts as accepted three minutes earlier.
            assert submitted_before_old
            assert 15 <= submitted_before_old[0] <= 45

    run_virtual(run)
