"""Tests of which crashes count for a task, and of the ages of its runs.

They guard against a sixth start of a task that crashes its workers, because
some of its crashes count for less than one or not at all.
"""

import pytest
import trio

from scheduler_fleet import QUEUE, make_request, make_step, open_fleet
from tulippin.jobs import _crashes, _probation
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.state import Job, Task
from tulippin.jobs.types import JobState, TaskKey

SOUND = 'a' * 16
CRASHING = 'c' * 16
LIMIT_S = 28
MAX_STARTS = 5


def list_crashes(fleet):
    """Return the crash records of the crashing task, as its owner has them."""
    owner = fleet.get_owner()
    jobs = fleet.instances[owner].state.jobs if owner else {}
    if CRASHING not in jobs:
        return ()
    (task,) = jobs[CRASHING].tasks.values()
    return task.list_crashes()


async def wait_crashes(fleet, count=1):
    with trio.fail_after(LIMIT_S):
        while len(list_crashes(fleet)) < count:
            await trio.sleep(0.01)
    return list_crashes(fleet)


async def open_connections(fleet):
    """Run a task on the only worker, which opens a connection for orders."""
    await fleet.submit(SOUND, make_request())
    await fleet.wait_done(SOUND)


async def submit_crashing(fleet, after_ms, **options):
    request = make_request(
        make_step(), crashes_after_ms=after_ms, run_ms=60_000, **options
    )
    await fleet.submit(CRASHING, request)


@pytest.mark.parametrize('lives_for_s', [0, 1.5])
def test_crash_after_late_order_counts_in_full(run_virtual, lives_for_s):
    """A crash counts in full if its worker answered after the order.

    An order is delayed while its worker goes on to answer, and the run crashes
    the worker before an answer reports it. Such a crash must not count half,
    as one of a worker that may have crashed before the order.
    """

    async def run():
        async with open_fleet(workers=1) as fleet:
            await open_connections(fleet)
            (worker,) = fleet.platform.workers.values()
            worker.start_order_delay_s = 2
            if not lives_for_s:
                worker.crash()
            await submit_crashing(fleet, 0)
            await trio.sleep(lives_for_s)
            if lives_for_s:
                worker.crash()
            (crash,) = await wait_crashes(fleet)
            assert fleet.count_starts(CRASHING) == 0
            assert crash.is_seen == bool(lives_for_s)

    run_virtual(run)


async def wait_started(fleet, count):
    with trio.fail_after(LIMIT_S):
        while fleet.count_starts(CRASHING) < count:
            await trio.sleep(0.01)


def get_run(fleet, job_id=CRASHING):
    """Return a job's only task, its only run and the run's worker."""
    state = fleet.instances[fleet.get_owner()].state
    (task,) = state.jobs[job_id].tasks.values()
    (attempt,) = task.attempts.values()
    return task, attempt, state.workers[attempt.worker_id]


def put_on_probation(fleet, job_id, probation_ms):
    """Put a job's only run on probation, and return its task."""
    task, attempt, worker = get_run(fleet, job_id)
    crash = CrashRecord('gone', '', '', 1, 300, 0, is_sure=True)
    task.crashes[crash.incarnation] = crash
    fleet.instances[fleet.get_owner()].state.suspects.add(task.key)
    attempt.probation_ms = probation_ms
    worker.probation_runs[attempt.key, attempt.run] = attempt
    return task


async def lose_owners(fleet, count):
    """Kill the owner after each of some crashes, before it commits them."""
    for number in range(count):
        await wait_started(fleet, number + 1)
        await trio.sleep(3.1)
        fleet.kill_owner()
        await fleet.start(f'n{number}')
        await fleet.wait_owner()


def test_run_of_unknown_age_does_not_shorten_probation(run_virtual):
    """A run of unknown age doesn't shorten the probation of later runs.

    A task crashes its workers 3 s after each start, and owners crash with two
    of them. If the next owner takes the unknown ages for 1 s, it clears the
    third run after 2 s, and counts its crash for another run on the worker
    that has just begun.
    """
    beside = 'd' * 16

    async def run():
        async with open_fleet(instances=4, workers=1) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_crashing(fleet, 3000)
            await lose_owners(fleet, 2)
            await wait_started(fleet, 3)
            await trio.sleep(2.2)
            task, attempt, worker = get_run(fleet)
            assert not _probation.is_on_probation(attempt, worker)
            request = make_request(make_step(), run_ms=20_000)
            await fleet.submit(beside, request)
            await fleet.wait_running(2)
            put_on_probation(fleet, beside, _probation.MAX_SUSPECT_AGE_MS)
            with trio.fail_after(LIMIT_S):
                while worker.incarnation not in task.crashes:
                    await trio.sleep(0.01)
            assert len(task.crashes) == 3

    run_virtual(run)


def test_unseen_crash_does_not_shorten_probation(run_virtual):
    """A crash before the order arrived doesn't show how long a run lasts."""
    beside = 'd' * 16

    async def run():
        async with open_fleet(workers=1) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await open_connections(fleet)
            (worker,) = fleet.platform.workers.values()
            worker.crash()
            await submit_crashing(fleet, 3000)
            (crash,) = await wait_crashes(fleet)
            assert fleet.count_starts(CRASHING) == 0
            assert not crash.is_seen
            await wait_started(fleet, 1)
            await trio.sleep(2.2)
            task, attempt, worker = get_run(fleet)
            assert not _probation.is_on_probation(attempt, worker)
            request = make_request(make_step(), run_ms=20_000)
            await fleet.submit(beside, request)
            await fleet.wait_running(2)
            put_on_probation(fleet, beside, _probation.MAX_SUSPECT_AGE_MS)
            with trio.fail_after(LIMIT_S):
                while worker.incarnation not in task.crashes:
                    await trio.sleep(0.01)

    run_virtual(run)


def test_age_of_adopted_run_is_unknown(run_virtual):
    """The age of an adopted run is unknown, not the time since takeover."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            await submit_crashing(fleet, 3000)
            await wait_started(fleet, 1)
            await trio.sleep(2)
            await fleet.stop(fleet.get_owner())
            (crash,) = await wait_crashes(fleet)
            assert fleet.count_starts(CRASHING) == 1
            assert not crash.is_age_known

    run_virtual(run)


def test_known_crash_age_is_restored_by_next_owner(run_virtual):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            fleet.platform.restart_delay_ms = 2000
            await submit_crashing(fleet, 400)
            await wait_crashes(fleet)
            await trio.sleep(0.3)
            (recorded,) = list_crashes(fleet)
            fleet.kill_owner()
            await wait_started(fleet, 2)
            crashes = {crash.worker_id: crash for crash in list_crashes(fleet)}
            restored = crashes[recorded.worker_id]
            assert (restored.age_ms, restored.is_age_known) == (
                recorded.age_ms,
                True,
            )

    run_virtual(run)


def test_age_of_ordered_run_is_known(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            await submit_crashing(fleet, 400)
            (crash,) = await wait_crashes(fleet)
            assert crash.is_age_known

    run_virtual(run)


async def take_over(fleet):
    """Kill the owner; return the job from the state of the next owner."""
    fleet.kill_owner()
    owner = await fleet.wait_owner()
    state = fleet.instances[owner].state
    with trio.fail_after(LIMIT_S):
        while CRASHING not in state.jobs:
            await trio.sleep(0.01)
    return state.jobs[CRASHING]


async def lose_start(fleet, after_ms=10):
    """Lose a start with its owner, before it is committed."""
    fleet.platform.restart_delay_ms = 2000
    await submit_crashing(fleet, after_ms)
    await wait_started(fleet, 1)
    return await take_over(fleet)


async def submit_short_jobs(fleet):
    """Submit a short job every 100 ms, without end."""
    number = 0
    while True:
        number += 1
        request = make_request(make_step(), run_ms=1000)
        await fleet.submit(f'{number:016x}', request)
        await trio.sleep(0.1)


def test_lost_start_counts_towards_crash_limit(run_virtual):
    """Other recent runs on each worker keep later crashes ambiguous."""

    async def run():
        async with open_fleet(instances=3, workers=1) as fleet:
            await lose_start(fleet)
            fleet.nursery.start_soon(submit_short_jobs, fleet)
            await fleet.wait_state(CRASHING, JobState.FAILED, 60)
            return fleet.count_starts(CRASHING)

    assert run_virtual(run) <= MAX_STARTS


def test_crash_without_an_answer_leads_to_no_sixth_start(
    run_virtual, monkeypatch
):
    """Other recent runs on each worker keep all crashes ambiguous."""
    is_seen = _crashes._is_seen
    unseen = []

    def lose_first_answer(attempt, worker):
        if attempt.key.job_id != CRASHING or unseen:
            return is_seen(attempt, worker)
        unseen.append(attempt)
        return False

    async def run():
        async with open_fleet(instances=1, workers=1) as fleet:
            fleet.platform.restart_delay_ms = 2000
            fleet.nursery.start_soon(submit_short_jobs, fleet)
            await submit_crashing(fleet, 10)
            await fleet.wait_state(CRASHING, JobState.FAILED, 60)
            return fleet.count_starts(CRASHING)

    monkeypatch.setattr(_crashes, '_is_seen', lose_first_answer)
    assert run_virtual(run) == MAX_STARTS
    assert unseen


@pytest.mark.parametrize(
    ('seen_count', 'unseen_count', 'is_reached'),
    [(5, 0, True), (4, 1, True), (4, 0, False), (3, 2, False), (3, 4, True)],
)
def test_crashes_without_an_answer_count_in_full_beside_four_others(
    seen_count, unseen_count, is_reached
):
    """Orders to workers that are down already abandon no healthy job."""
    crashes = [
        CrashRecord(f'w{number}', '', '', number, 0, 0, is_seen=is_seen)
        for number, is_seen in enumerate(
            [True] * seen_count + [False] * unseen_count
        )
    ]
    job = Job(CRASHING, QUEUE, make_request(make_step()), 1)
    task = Task(TaskKey(CRASHING, 0, 0, 0))
    found = _crashes.is_crash_limit_reached(job, task, crashes)
    assert found is is_reached


async def run_without_store(fleet):
    """Return the number of starts, the lost one included, without a store."""
    await lose_start(fleet)
    fleet.platform.store.trouble.silenced.add('*')
    await trio.sleep(6)
    count = fleet.count_starts(CRASHING)
    fleet.platform.store.trouble.silenced.clear()
    return count


def test_start_waits_until_lost_start_is_durable(run_virtual):
    async def run():
        async with open_fleet(instances=3, workers=6) as fleet:
            assert await run_without_store(fleet) == 1
            await wait_started(fleet, 2)

    run_virtual(run)


def test_start_without_wait_would_be_lost(run_virtual, monkeypatch):
    monkeypatch.setattr(_crashes, '_are_lost_starts_durable', lambda *_: True)

    async def run():
        async with open_fleet(instances=3, workers=6) as fleet:
            assert await run_without_store(fleet) > 1

    run_virtual(run)


@pytest.mark.parametrize('is_durable', [False, True])
def test_start_is_lost_only_if_not_durable(run_virtual, is_durable):
    async def run():
        async with open_fleet(instances=3, workers=6) as fleet:
            await submit_crashing(fleet, 2000)
            await wait_started(fleet, 1)
            await trio.sleep(0.3 if is_durable else 0)
            job = await take_over(fleet)
            await wait_started(fleet, 2)
            assert job.durable.doubts == (not is_durable)

    run_virtual(run)


def test_no_start_is_lost_without_worker_crash(run_virtual):
    async def run():
        async with open_fleet(instances=3, workers=6) as fleet:
            job = await lose_start(fleet, after_ms=60_000)
            state = fleet.instances[fleet.get_owner()].state
            with trio.fail_after(LIMIT_S):
                while not state.are_earlier_runs_confirmed:
                    await trio.sleep(0.01)
            assert job.doubts == 0

    run_virtual(run)


def test_job_with_lost_start_continues_without_store(run_virtual):
    async def run():
        async with open_fleet(instances=3, workers=6) as fleet:
            steps = make_step(), make_step(after=(0,))
            request = make_request(*steps, run_ms=3000)
            await fleet.submit(CRASHING, request)
            await wait_started(fleet, 1)
            for worker in fleet.platform.workers.values():
                if worker.runs:
                    worker.crash()
            job = await take_over(fleet)
            await wait_started(fleet, 2)
            assert job.doubts == 1
            fleet.platform.store.trouble.refused.add('*')
            await trio.sleep(7)
            assert fleet.count_starts(CRASHING) == 3
            fleet.platform.store.trouble.refused.clear()
            await fleet.wait_done(CRASHING)
            fleet.check()

    run_virtual(run)


async def drop_from_roster(fleet, worker):
    """Let the worker of a start leave the roster while the task waits.

    The first owner is lost with the worker, the second one stores until when
    the worker has leases, and the third one waits for another worker.
    """
    worker.crash()
    fleet.kill_owner()
    state = fleet.instances[await fleet.wait_owner()].state
    fleet.platform.remove(worker.worker_id)
    with trio.fail_after(LIMIT_S):
        while not is_bounded(worker, state):
            await trio.sleep(0.01)
    fleet.kill_owner()
    other = next(one for one in fleet.platform.workers.values() if one.is_up)
    other.unreachable_clients = {'*'}
    state = fleet.instances[await fleet.wait_owner()].state
    with trio.fail_after(LIMIT_S):
        while CRASHING not in state.jobs or worker.worker_id in state.workers:
            await trio.sleep(0.01)
        assert state.jobs[CRASHING].durable.crashes
        while worker.worker_id in state.roster:
            await trio.sleep(0.01)
    assert not state.are_earlier_runs_confirmed
    fleet.kill_owner()
    other.unreachable_clients = set()


def is_bounded(worker, state):
    bounds = state.roster_bounds
    return bounds is not None and worker.worker_id in bounds.until_ms


def test_open_start_on_a_worker_that_left_the_roster_counts_as_crash(
    run_virtual,
):
    """Guards against a crash that no owner counts, as none looks at the task.

    The next owner would take the start for one that an earlier owner has seen
    end.
    """

    async def run():
        async with open_fleet(instances=4, workers=4) as fleet:
            await submit_crashing(fleet, 60_000)
            await wait_started(fleet, 1)
            await trio.sleep(0.3)
            workers = fleet.platform.workers.values()
            (worker,) = [one for one in workers if one.runs]
            await drop_from_roster(fleet, worker)
            await wait_started(fleet, 2)
            lost = [crash.worker_id for crash in list_crashes(fleet)]
            assert lost == [worker.worker_id]

    run_virtual(run)


def test_crash_under_a_withheld_job_does_not_keep_its_worker(run_virtual):
    """Guards against a wait for a commit that a withheld job never gets."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            await submit_crashing(fleet, 2000)
            await wait_started(fleet, 1)
            task, _, worker = get_run(fleet)
            state = fleet.instances[fleet.get_owner()].state
            state.jobs[CRASHING].is_progress_unknown = True
            await wait_crashes(fleet)
            assert not state.jobs[CRASHING].durable.crashes
            fleet.platform.remove(worker.worker_id)
            with trio.fail_after(LIMIT_S):
                while worker.worker_id in state.workers:
                    await trio.sleep(0.01)
            assert task.crashes

    run_virtual(run)
