"""Reports that lack ends, as a worker lists 500 of them at once.

Guards against a second run of a task whose end is not listed yet, and against
work that is held back although the rest could be read.
"""

import collections

import attrs
import msgspec
import pytest
import trio

from scheduler_fleet import JOB, QUEUE, make_request, open_fleet
from tulippin._http_client import HttpAnswer
from tulippin.jobs import core
from tulippin.jobs._report_schedule import CallReason
from tulippin.jobs.events import WorkerAnswered
from tulippin.jobs.features import Features
from tulippin.jobs.state import (
    Phase,
    SchedulerConfig,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import (
    EndedRun,
    RunOutcome,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.platform.standin import get_now_ms
from tulippin.platform.standin_worker import StandinWorker
from tulippin.platform.wire import CapacityBody
from tulippin.platform.workers import PlatformWorkers
from tulippin.types import Resources

PAGE = 500
NOW_MS = 100_000
SMALL = Resources(10, 10)
ROOM = CapacityBody(64_000, 256_000)
# Longer than any test, so that runs end only where a test ends them.
RUN_MS = 600_000
# Two pages after the first one, each with a commit and a call, but without the
# usual delay of a commit or a pause between two calls.
TWO_PAGES_MS = 100
# Until an instance has taken the unit after an outage, and has read a report.
MAX_TAKEOVER_MS = 5000
# The longest lease that a worker accepts, with drift and slack.
MAX_LEASE_MS = 6600
# Time after which a worker that has crashed is not listed any more.
UNLISTED_S = 3


def make_ends(count):
    return [
        EndedRun(number, TaskKey(JOB, 0, 0, number), 1, RunOutcome.DONE, '')
        for number in range(1, count + 1)
    ]


def test_standin_lists_the_earliest_500_ends(run_virtual):
    async def run():
        worker = StandinWorker('w0', 'a:1', [], ended=make_ends(PAGE + 200))
        first = await worker.handle_hold('w0', 1, 0, None, 0)
        return first, await worker.handle_hold('w0', 1, PAGE, None, 0)

    first, rest = run_virtual(run)
    assert [one.number for one in first.ended] == list(range(1, PAGE + 1))
    assert first.is_cut
    assert [one.number for one in rest.ended] == list(range(PAGE + 1, 701))
    assert not rest.is_cut


@attrs.define
class CannedClient:
    """Answers each call of a worker with the same body."""

    body: bytes

    async def send(self, *_, **__):
        await trio.lowlevel.checkpoint()
        return HttpAnswer(200, {}, self.body)


@pytest.mark.parametrize(
    ('count', 'is_cut'), [(0, False), (PAGE - 1, False), (PAGE, True)]
)
def test_report_with_500_ends_may_lack_others(count, is_cut):
    ended = [
        (one.number, one.key.format(), one.run, one.outcome.value, '')
        for one in make_ends(count)
    ]
    body = msgspec.json.encode({'ClockMs': 1, 'EndedAt': ended})
    workers = PlatformWorkers(lambda: CannedClient(body))
    report = trio.run(workers.hold, 'w0', 'a:1', 1, 0, None, 0)
    assert report.is_cut is is_cut


# -- with an owner and a worker ------------------------------------------------


def name_job(number):
    return f'{number:016x}'


async def submit_job(fleet, number, count):
    """Submit a job of small tasks."""
    request = make_request(Step(count, SMALL), run_ms=RUN_MS)
    await fleet.submit(name_job(number), request)


async def open_full_worker(fleet, counts):
    """Return a worker on which all tasks of some jobs run."""
    worker = fleet.platform.add_worker('w0', room=ROOM)
    for number, count in enumerate(counts):
        await submit_job(fleet, number, count)
    await fleet.wait_running(sum(counts))
    # All starts are answered and durable.
    await trio.sleep(1)
    return worker


async def open_busy_worker(fleet, counts):
    """Return a worker on which one job runs, and another waits for room."""
    running, waiting = counts
    room = CapacityBody(running * SMALL.cpu_millicores, 256_000)
    worker = fleet.platform.add_worker('w0', room=room)
    await submit_job(fleet, 0, running)
    await fleet.wait_running(running)
    await submit_job(fleet, 1, waiting)
    await trio.sleep(1)
    return worker


def end_runs(worker, count=None):
    """Let the oldest runs end as done at the worker's next tick."""
    for run in list(worker.runs.values())[:count]:
        run.left_ms = 0
        run.since_ms = get_now_ms()


async def end_runs_in_turn(worker, interval_s):
    while worker.runs:
        end_runs(worker, 1)
        await trio.sleep(interval_s)


def list_repeated(fleet):
    """Return the tasks that were started more than once."""
    starts = collections.Counter(
        event.key for event in fleet.platform.history if event.kind == 'started'
    )
    return [key.format() for key, count in starts.items() if count > 1]


def list_noted_ms(fleet):
    """Return when ends were acknowledged, in order and without repetition."""
    noted = (one for one in fleet.platform.history if one.kind == 'noted')
    return sorted({one.at_ms for one in noted})


async def wait_started(fleet, number, limit_s=20):
    """Return how long it takes until a task of a job has been started."""
    began_ms = get_now_ms()
    with trio.fail_after(limit_s):
        while not fleet.count_starts(name_job(number)):
            await trio.sleep(0.02)
    return get_now_ms() - began_ms


async def wait_all_done(fleet, counts, limit_s=20):
    for number in range(len(counts)):
        await fleet.wait_done(name_job(number), limit_s)


@pytest.mark.parametrize('is_planned', [False, True])
@pytest.mark.parametrize('counts', [(700,), (40,) * 40], ids=['one', 'many'])
def test_next_owner_starts_no_task_whose_end_is_not_listed_yet(
    run_virtual, counts, is_planned
):
    async def run():
        async with open_fleet(workers=0) as fleet:
            worker = await open_full_worker(fleet, counts)
            worker.unreachable_clients.add('*')
            end_runs(worker)
            if is_planned:
                await fleet.stop(fleet.get_owner())
            else:
                fleet.kill_owner()
            worker.unreachable_clients.clear()
            await fleet.wait_owner()
            await wait_all_done(fleet, counts)
            fleet.check()
            return list_repeated(fleet)

    assert run_virtual(run) == []


@pytest.mark.parametrize(
    'counts', [(1600,), (8,) * 230], ids=['one job', 'many jobs']
)
def test_rest_of_a_report_is_read_at_once(run_virtual, counts):
    """No job is final, so that none makes a commit urgent by itself."""

    async def run():
        async with open_fleet(workers=0) as fleet:
            worker = await open_full_worker(fleet, counts)
            fleet.kill_owner()
            left = [key for key in worker.runs if key[0].index == 0]
            for key, one in worker.runs.items():
                if key not in left:
                    one.left_ms = 0
            await fleet.wait_owner()
            await trio.sleep(5)
            assert not list_repeated(fleet)
            assert len(worker.runs) == len(counts)
            return list_noted_ms(fleet)

    noted_ms = run_virtual(run)
    assert len(noted_ms) == 4
    assert noted_ms[2] - noted_ms[0] <= TWO_PAGES_MS


@pytest.mark.parametrize('outage', ['store', 'worker'])
def test_owner_that_lives_on_takes_no_unlisted_run_for_ended(
    run_virtual, outage
):
    counts = (700,)

    async def run():
        async with open_fleet(instances=1, workers=0) as fleet:
            worker = await open_full_worker(fleet, counts)
            state = fleet.instances['i0'].state
            epoch_version = state.ownership.epoch_version
            silenced = (
                fleet.platform.store.trouble.silenced
                if outage == 'store'
                else worker.unreachable_clients
            )
            silenced.add('*')
            end_runs(worker)
            await trio.sleep(1.5)
            silenced.clear()
            await wait_all_done(fleet, counts)
            fleet.check()
            assert state.ownership.epoch_version == epoch_version
            return list_repeated(fleet)

    assert run_virtual(run) == []


# -- the reducer ---------------------------------------------------------------


def make_unit():
    """Return the state of an owner with a worker that it knows."""
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    state.ownership.phase = Phase.ACTIVE
    state.ownership.renewed_ms = NOW_MS
    entry = WorkerEntry('w0', QUEUE.service, 'a:1', 'z', Resources(1000, 1000))
    worker = Worker(entry, is_rostered=True, is_reconciled=True)
    state.workers['w0'] = worker
    return state, worker


def report(state, ended=(), *, is_cut):
    """Apply a report without running tasks."""
    core.reduce(
        state,
        WorkerAnswered(
            state.now_ms,
            'w0',
            state.now_ms,
            WorkerReport(state.now_ms, ended=tuple(ended), is_cut=is_cut),
        ),
    )


def test_unknown_run_is_kept_until_its_end_may_be_listed():
    """A release report without it would let its task start again."""
    state, worker = make_unit()
    run_id = TaskKey(JOB, 0, 0, 0), 1
    worker.orphaned_runs[run_id] = NOW_MS
    report(state, is_cut=True)
    assert run_id in worker.orphaned_runs
    report(state, is_cut=False)
    assert not worker.orphaned_runs


def test_job_of_a_lost_run_stays_until_its_end_may_be_listed():
    """Its next home would start a task that is done."""
    state, worker = make_unit()
    worker.unread_job_ids.add(JOB)
    report(state, is_cut=True)
    assert worker.unread_job_ids == {JOB}
    report(state, is_cut=False)
    assert not worker.unread_job_ids


def test_known_worker_stays_reconciled_with_a_cut_report():
    """Otherwise no run would start there, although all of them are known."""
    state, worker = make_unit()
    report(state, is_cut=True)
    assert worker.is_reconciled
    worker.is_reconciled = False
    report(state, is_cut=True)
    assert not worker.is_reconciled


def test_no_pause_delays_the_rest_of_a_report():
    state, worker = make_unit()
    features = Features(gathers_reports=True)
    state.config = attrs.evolve(state.config, features=features)
    report(state, is_cut=True)
    assert worker.report_reason == CallReason.UNKNOWN_STATE.value
    assert not worker.report_after_ms


# -- every wait ends -----------------------------------------------------------


@pytest.mark.parametrize('interval_s', [0.0005, 0.002])
def test_worker_is_reconciled_while_new_ends_come(run_virtual, interval_s):
    counts = (3000, 700)

    async def run():
        async with open_fleet(workers=0) as fleet:
            worker = await open_busy_worker(fleet, counts)
            fleet.kill_owner()
            end_runs(worker, 1200)
            fleet.nursery.start_soon(end_runs_in_turn, worker, interval_s)
            await fleet.wait_owner()
            waited_ms = await wait_started(fleet, 1)
            await wait_all_done(fleet, counts)
            fleet.check()
            return waited_ms, list_repeated(fleet)

    waited_ms, repeated = run_virtual(run)
    assert not repeated
    assert waited_ms <= 1000


async def take_over_without_store(fleet, worker):
    """Kill the owner, and have the next one read a cut report.

    It has lost the store by then, so that it can't acknowledge the ends.
    """
    worker.unreachable_clients.add('*')
    fleet.kill_owner()
    end_runs(worker)
    name = await fleet.wait_owner()
    fleet.platform.store.trouble.silenced.add('*')
    worker.unreachable_clients.clear()
    known = fleet.instances[name].state.workers['w0']
    with trio.fail_after(5):
        while not known.last_read_end_number:
            await trio.sleep(0.01)
    assert not worker.acknowledged_number


@pytest.mark.parametrize('outage_s', [1, 8])
def test_worker_is_reconciled_once_the_store_is_back(run_virtual, outage_s):
    """No end is acknowledged meanwhile, so that no rest is listed."""
    counts = (1400, 50)

    async def run():
        async with open_fleet(workers=0) as fleet:
            worker = await open_busy_worker(fleet, counts)
            await take_over_without_store(fleet, worker)
            await trio.sleep(outage_s)
            assert not fleet.count_starts(name_job(1))
            fleet.platform.store.trouble.silenced.clear()
            waited_ms = await wait_started(fleet, 1)
            await trio.sleep(1)
            end_runs(worker)
            await wait_all_done(fleet, counts)
            fleet.check()
            return waited_ms, list_repeated(fleet)

    waited_ms, repeated = run_virtual(run)
    assert not repeated
    assert waited_ms <= MAX_TAKEOVER_MS


def test_worker_lost_with_unread_ends_holds_work_until_its_lease_lapses(
    run_virtual,
):
    async def run():
        async with open_fleet(workers=0) as fleet:
            worker = await open_busy_worker(fleet, (1400, 50))
            await take_over_without_store(fleet, worker)
            worker.crash()
            fleet.platform.store.trouble.silenced.clear()
            fleet.platform.add_worker('w1', room=ROOM)
            await trio.sleep(UNLISTED_S)
            fleet.platform.remove('w0')
            waited_ms = await wait_started(fleet, 1)
            fleet.check()
            return waited_ms + UNLISTED_S * 1000

    assert run_virtual(run) <= MAX_LEASE_MS
