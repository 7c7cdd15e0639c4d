"""Tests with tasks that crash each worker that starts them.

They guard against unlimited restarts of a task that crashes its workers 10 ms
after each start. Without counting, the owner finds a new incarnation of the
worker, makes all lost runs ready, and starts them together on the next worker,
which crashes under the same task. With the stand-in that gives twelve crashes
in 28 s, 168 lost runs of healthy tasks, and none of seven healthy jobs done.
"""

import pytest
import trio

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _crashes, _lifecycle, _probation
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.types import JobState
from tulippin.jobs.views import show_job

CRASHING = 'c' * 16
# A job is abandoned after three to five crashes.
MAX_CRASHES = 5
ABANDON_LIMIT_S = 28


def get_limit_s(after_ms, restart_delay_ms):
    """Return the time limit for the maximum number of crashes."""
    return MAX_CRASHES * (after_ms + restart_delay_ms) / 1000 + 10


def get_healthy_id(number):
    return f'{number:016x}'


def count_crashes(fleet, job_id=CRASHING):
    return sum(
        event.kind == 'crashed' and event.key.job_id == job_id
        for event in fleet.platform.history
    )


async def submit_healthy(fleet, jobs=7, tasks=2, run_ms=4000, **options):
    for number in range(jobs):
        step = make_step(tasks, **options)
        request = make_request(step, run_ms=run_ms)
        await fleet.submit(get_healthy_id(number), request)


async def submit_crashing(
    fleet, after_ms, job_id=CRASHING, tasks=1, lasts=False, **options
):
    step = make_step(tasks, long_running=lasts, **options)
    # The run outlasts the time until the crash.
    request = make_request(
        step, crashes_after_ms=after_ms, lasts=lasts, run_ms=20_000
    )
    await fleet.submit(job_id, request)


async def check_healthy(fleet, jobs=7, limit_s=ABANDON_LIMIT_S):
    for number in range(jobs):
        await fleet.wait_done(get_healthy_id(number), limit_s)


async def check_abandoned(fleet, job_id=CRASHING, limit_s=ABANDON_LIMIT_S):
    """Check that all instances show the job as failed, and it stays so."""
    with trio.fail_after(limit_s):
        for name in list(fleet.instances):
            await fleet.wait_state(job_id, JobState.FAILED, limit_s, name)
    crashes = count_crashes(fleet, job_id)
    await trio.sleep(8)
    assert count_crashes(fleet, job_id) == crashes
    assert 2 <= crashes <= MAX_CRASHES


@pytest.mark.parametrize('after_ms', [0, 10, 400, 1700, 3000])
@pytest.mark.parametrize('restart_delay_ms', [2000, 6000])
def test_crashing_job_is_abandoned_and_healthy_jobs_are_done(
    run_virtual, after_ms, restart_delay_ms
):
    async def run():
        async with open_fleet(workers=6) as fleet:
            fleet.platform.restart_delay_ms = restart_delay_ms
            await submit_healthy(fleet)
            await submit_crashing(fleet, after_ms)
            limit_s = get_limit_s(after_ms, restart_delay_ms)
            await check_abandoned(fleet, limit_s=limit_s)
            await check_healthy(fleet)
            fleet.check()

    run_virtual(run)


def test_several_crashing_jobs_are_distinguished_from_healthy_ones(run_virtual):
    async def run():
        async with open_fleet(workers=12) as fleet:
            fleet.platform.restart_delay_ms = 2000
            crashing = [f'{number:x}' * 16 for number in range(12, 16)]
            for number, job_id in enumerate(crashing):
                await submit_crashing(fleet, 10 + 130 * number, job_id)
            await submit_healthy(fleet, jobs=14, tasks=1)
            for job_id in crashing:
                await check_abandoned(fleet, job_id)
            await check_healthy(fleet, jobs=14)
            fleet.check()

    run_virtual(run)


def test_step_of_crashing_tasks_costs_few_workers(run_virtual):
    """If all tasks of a job crash workers, the first limit abandons it."""

    async def run():
        async with open_fleet(workers=12) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_healthy(fleet)
            await submit_crashing(fleet, 10, tasks=6)
            await fleet.wait_state(CRASHING, JobState.FAILED, ABANDON_LIMIT_S)
            await check_healthy(fleet)
            assert count_crashes(fleet) <= 14
            fleet.check()

    run_virtual(run)


async def run_takeovers(fleet):
    """Kill the owner after each of three crashes, before it commits it."""
    fleet.platform.restart_delay_ms = 2000
    await submit_healthy(fleet)
    await submit_crashing(fleet, 10)
    for killed_count in range(3):
        with trio.fail_after(ABANDON_LIMIT_S):
            while count_crashes(fleet) <= killed_count:
                await trio.sleep(0.01)
        await trio.sleep(0.4)
        fleet.kill_owner()
        await fleet.start(f'n{killed_count}')
        await fleet.wait_owner()


def test_crashes_are_counted_over_takeovers(run_virtual):
    async def run():
        async with open_fleet(instances=4, workers=6) as fleet:
            await run_takeovers(fleet)
            await check_abandoned(fleet)
            await check_healthy(fleet, limit_s=60)
            fleet.check()

    run_virtual(run)


def test_crashes_are_not_counted_without_durable_starts(
    run_virtual, monkeypatch
):
    monkeypatch.setattr(_lifecycle, '_list_recent_starts', lambda job: {})
    monkeypatch.setattr(
        _crashes, '_is_start_durable', lambda attempt, state: True
    )

    async def run():
        async with open_fleet(instances=4, workers=6) as fleet:
            await run_takeovers(fleet)
            await trio.sleep(25)
            return count_crashes(fleet)

    assert run_virtual(run) > MAX_CRASHES


@pytest.mark.parametrize(
    'options',
    [
        {'lasts': True},
        {'lasts': True, 'target_ms': 50, 'image': 'a'},
        {'opportunistic': True, 'image': 'b'},
        {'gang': True, 'tasks': 3},
        {'allow_duplicates': True},
        {'max_per_worker': 1, 'tasks': 2},
    ],
)
def test_each_kind_of_task_has_the_crash_limit(run_virtual, options):
    async def run():
        async with open_fleet(workers=6) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_healthy(fleet)
            await submit_crashing(fleet, 10, **options)
            await fleet.wait_state(CRASHING, JobState.FAILED, ABANDON_LIMIT_S)
            await check_healthy(fleet)
            fleet.check()

    run_virtual(run)


def test_jobs_on_independently_crashing_workers_are_done(run_virtual):
    async def run():
        async with open_fleet(workers=16) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_healthy(fleet, jobs=16, tasks=2, run_ms=3000)
            for _ in range(3):
                await trio.sleep(2.2)
                for worker in list(fleet.platform.workers.values()):
                    if worker.is_up and worker.runs:
                        worker.crash()
            await check_healthy(fleet, jobs=16, limit_s=60)
            fleet.check()

    run_virtual(run)


def test_healthy_jobs_fail_without_isolation(run_virtual, monkeypatch):
    monkeypatch.setattr(_probation, 'may_start_beside', lambda *_: True)
    monkeypatch.setattr(_probation, 'get_risk', lambda *_: 0.0)

    async def run():
        async with open_fleet(workers=6) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_healthy(fleet)
            await submit_crashing(fleet, 10)
            await trio.sleep(ABANDON_LIMIT_S)
            return [
                await fleet.instances['i0'].intake.get_state(
                    get_healthy_id(number)
                )
                for number in range(7)
            ]

    assert JobState.FAILED in run_virtual(run)


async def run_without_store(fleet):
    """Return the number of crashes when nothing is durable for 8 s."""
    fleet.platform.restart_delay_ms = 1000
    await submit_crashing(fleet, 10)
    with trio.fail_after(ABANDON_LIMIT_S):
        while not count_crashes(fleet):
            await trio.sleep(0.01)
    fleet.platform.store.trouble.write_duration_s = 60
    await trio.sleep(8)
    crashes = count_crashes(fleet)
    fleet.platform.store.trouble.write_duration_s = 0
    return crashes


def test_suspect_waits_until_its_crash_is_durable(run_virtual):
    async def run():
        async with open_fleet(workers=6) as fleet:
            assert await run_without_store(fleet) == 1

    run_virtual(run)


def test_suspect_crashes_more_without_wait(run_virtual, monkeypatch):
    monkeypatch.setattr(
        _crashes, '_are_crashes_durable', lambda job, task: True
    )
    monkeypatch.setattr(
        _crashes, '_is_start_durable', lambda attempt, state: True
    )

    async def run():
        async with open_fleet(workers=6) as fleet:
            assert await run_without_store(fleet) > 1

    run_virtual(run)


async def disconnect_worker(fleet):
    """Return the number of crash records after three disconnections."""
    request = make_request(make_step(), run_ms=16_000)
    await fleet.submit(get_healthy_id(1), request)
    await fleet.wait_running()
    for _ in range(3):
        worker = next(
            one for one in fleet.platform.workers.values() if one.runs
        )
        worker.unreachable_clients.add('*')
        await trio.sleep(1.5)
        worker.unreachable_clients.clear()
        await trio.sleep(1.5)
    state = fleet.instances[fleet.get_owner()].state
    return sum(
        len(task.crashes)
        for job in state.jobs.values()
        for task in job.tasks.values()
    )


def test_worker_that_answers_again_has_not_crashed(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            assert await disconnect_worker(fleet) == 0
            await fleet.wait_done(get_healthy_id(1))
            assert fleet.count_starts(get_healthy_id(1)) == 1

    run_virtual(run)


def test_silence_counts_as_crash_without_withdrawal(run_virtual, monkeypatch):
    monkeypatch.setattr(_crashes, 'note_answer', lambda *_: None)
    monkeypatch.setattr(_crashes, 'note_running', lambda *_: None)

    async def run():
        async with open_fleet(workers=2) as fleet:
            assert await disconnect_worker(fleet)

    run_virtual(run)


def test_worker_that_leaves_as_planned_has_not_crashed(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            request = make_request(make_step(), run_ms=9000)
            await fleet.submit(get_healthy_id(1), request)
            await fleet.wait_running()
            worker = next(
                one for one in fleet.platform.workers.values() if one.runs
            )
            fleet.platform.drain(worker.worker_id, 700)
            await trio.sleep(1)
            fleet.platform.add_worker('next', address=worker.address)
            await trio.sleep(6)
            assert fleet.count_starts(get_healthy_id(1)) == 2
            state = fleet.instances[fleet.get_owner()].state
            assert not state.suspects
            await fleet.wait_done(get_healthy_id(1))

    run_virtual(run)


def test_suspect_without_candidate_does_not_block_others(
    run_virtual, monkeypatch
):
    """Less urgent tasks of the same size don't wait for a suspected task.

    Otherwise they wait with it for up to 68 s.
    """
    blocked = get_healthy_id(1)
    monkeypatch.setattr(
        _probation,
        'may_start_beside',
        lambda worker, task, state: task.key[0] != blocked,
    )
    monkeypatch.setattr(_crashes, 'may_start', lambda *_: True)
    crash = CrashRecord('gone', '', '', 1, 0, 0)

    async def run():
        async with open_fleet(workers=2) as fleet:
            await fleet.submit(blocked, make_request(make_step(2)))
            await trio.sleep(0.5)
            job = fleet.instances[fleet.get_owner()].state.jobs[blocked]
            for task in job.tasks.values():
                task.crashes[crash.incarnation] = crash
            request = make_request(make_step(2))
            await fleet.submit(get_healthy_id(2), request, LOW_PRIORITY_QUEUE)
            await fleet.wait_done(get_healthy_id(2), 3)
            assert not fleet.count_starts(blocked)

    run_virtual(run)


def test_job_with_adopted_run_is_shown_as_running(run_virtual):
    """The first owner crashes before it commits the start."""

    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            request = make_request(make_step(), run_ms=20_000)
            await fleet.submit(get_healthy_id(1), request)
            await fleet.wait_running()
            fleet.kill_owner()
            await fleet.wait_owner()
            await fleet.wait_state(get_healthy_id(1), JobState.RUNNING, 3)
            assert fleet.count_starts(get_healthy_id(1)) == 1

    run_virtual(run)


async def wait_shown_crashes(owner, count):
    """Return the job as it is shown once so many crashes are."""
    with trio.fail_after(3):
        while True:
            shown = show_job(owner.jobs[CRASHING])
            if len(shown['crashes']['0.0.0']) == count:
                return shown
            await trio.sleep(0.01)


def test_abandoned_job_shows_reason(run_virtual):
    async def run():
        async with open_fleet(workers=6) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_crashing(fleet, 10)
            with trio.fail_after(ABANDON_LIMIT_S):
                while count_crashes(fleet) < 2:
                    await trio.sleep(0.05)
            owner = fleet.instances[fleet.get_owner()].state
            shown = await wait_shown_crashes(owner, 2)
            assert shown['reason'] == ''
            await check_abandoned(fleet)
            shown = show_job(owner.jobs[CRASHING])
            assert shown['reason'].startswith('workers crashed under c')
            assert owner.counters['jobs_given_up'] == 1
            # The next owner reads the reason from the job's progress.
            fleet.kill_owner()
            await fleet.wait_owner()
            await trio.sleep(1)
            owner = fleet.instances[fleet.get_owner()].state
            assert show_job(owner.jobs[CRASHING])['reason'] == shown['reason']

    run_virtual(run)


async def wait_unsent_start(fleet):
    """Wait until the second start of a crashing task awaits its commit.

    Returns the state of its owner.
    """
    fleet.platform.restart_delay_ms = 1000
    await submit_crashing(fleet, 10)
    with trio.fail_after(ABANDON_LIMIT_S):
        while not count_crashes(fleet):
            await trio.sleep(0.01)
    state = fleet.instances[fleet.get_owner()].state
    with trio.fail_after(ABANDON_LIMIT_S):
        while not state.unsent_starts:
            await trio.sleep(0.001)
    return state


def test_order_is_not_sent_to_silent_worker(run_virtual):
    async def run():
        async with open_fleet(workers=1) as fleet:
            state = await wait_unsent_start(fleet)
            worker = state.workers[state.unsent_starts[0].worker_id]
            fleet.platform.workers[worker.worker_id].unreachable_clients.add(
                '*'
            )
            worker.failed_count = 1
            await trio.sleep(1)
            assert len(state.unsent_starts) == 1
            assert fleet.count_starts(CRASHING) == 1

    run_virtual(run)


def test_run_outlasts_a_second_silence_of_its_worker(run_virtual):
    """The first lease after a silence ends by the stored bound."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            request = make_request(make_step(), run_ms=16_000)
            await fleet.submit(get_healthy_id(1), request)
            await fleet.wait_running()
            worker = next(
                one for one in fleet.platform.workers.values() if one.runs
            )
            for silent_s, answering_s in ((3.4, 0.8), (2.4, 2.0)):
                worker.unreachable_clients.add('*')
                await trio.sleep(silent_s)
                worker.unreachable_clients.clear()
                await trio.sleep(answering_s)
            await fleet.wait_done(get_healthy_id(1))
            assert fleet.count_starts(get_healthy_id(1)) == 1

    run_virtual(run)


def test_order_waits_while_leases_of_its_worker_are_limited(run_virtual):
    """It would be too late on arrival, or count as a crash without a run."""

    async def run():
        async with open_fleet(workers=1) as fleet:
            state = await wait_unsent_start(fleet)
            attempt = state.unsent_starts[0]
            state.lease_limits_ms[attempt.worker_id] = 0
            await trio.sleep(0.5)
            assert state.unsent_starts == [attempt]
            del state.lease_limits_ms[attempt.worker_id]
            await trio.sleep(0.5)
            assert fleet.count_starts(CRASHING) == 2

    run_virtual(run)
