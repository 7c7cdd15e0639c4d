"""Regression tests of unusual orders of events, one test for each."""

import contextlib
import random

import attrs
import pytest
import trio

from scheduler_fleet import QUEUE, make_request, make_step, open_fleet
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs import core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs._lifecycle import get_name
from tulippin.jobs._placing import _MAX_OVERDUE_STEPS
from tulippin.jobs._ready_queues import OVERDUE_AFTER_MS
from tulippin.jobs._ready_queues import add as add_ready
from tulippin.jobs._transactions import AnswerTimes, transact_with_retries
from tulippin.jobs._unconfirmed_runs import make_account
from tulippin.jobs.ports import Transaction, TransactionResult
from tulippin.jobs.records import (
    MODEL_KEY,
    MODELS_TABLE,
    EpochRecord,
    LeaseRecord,
    ProgressRecord,
    Unit,
)
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import (
    EndedRun,
    JobRequest,
    JobState,
    RunningTask,
    RunOutcome,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.platform.standin_store import CALL_TIMEOUT_S, StoreView
from tulippin.types import Resources

NOW_MS = 100_000
LIMIT_MS = 3000
JOB = '00000000000000aa'
UNKNOWN = '00000000000000ff'


def make_owner(workers=2):
    """Return the state of an owner that has just loaded its unit."""
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    ownership = state.ownership
    ownership.phase = Phase.ACTIVE
    ownership.epoch = EpochRecord(7, 'i:1')
    ownership.epoch_version = 50
    ownership.taken_ms = ownership.renewed_ms = NOW_MS
    for number in range(workers):
        entry = WorkerEntry(
            f'w{number}',
            QUEUE.service,
            f'a{number}',
            'z',
            Resources(16_000, 64_000),
        )
        worker = state.workers[entry.worker_id] = Worker(entry)
        worker.is_rostered = True
        worker.is_reconciled = True
        worker.clock_offset_ms = 0
        worker.answered_ms = NOW_MS
        state.roster[entry.worker_id] = entry.address
    return state


def add_job(state, job_id=JOB, count=1, cpu=1000, **options):
    step = Step(count, Resources(cpu, 1000), **options)
    job = Job(job_id, QUEUE, JobRequest('', (step,)), 60, arrived_ms=0)
    job.remaining[0, 0] = count
    state.jobs[job_id] = job
    for index in range(count):
        key = TaskKey(job_id, 0, 0, index)
        job.tasks[key] = Task(key)
    return job


def make_tick(at_ms):
    return ev.Ticked(at_ms, at_ms)


def report(state, worker_id, at_ms, running=(), ended=()):
    event = ev.WorkerAnswered(
        at_ms, worker_id, at_ms - 10, WorkerReport(at_ms, running, ended)
    )
    return core.reduce(state, event)


def get_started(effects):
    return [
        effect.order.key
        for effect in effects
        if isinstance(effect, fx.StartRun)
    ]


# Guards against a second start of a task that is done: a new owner reads an end
# of a job that it doesn't know, so this end and all later ones wait. If a known
# run ends behind it, the run is in neither list of the report, counts as
# vanished, and its task is started again.
def test_end_behind_waiting_end_is_no_vanished_run():
    state = make_owner()
    job = add_job(state)
    key = TaskKey(JOB, 0, 0, 0)
    worker = state.workers['w0']
    attempt = Attempt(
        key,
        1,
        'w0',
        job.request.steps[0],
        0,
        AttemptState.RUNNING,
        NOW_MS - 500,
        seen_ms=NOW_MS,
        pace_percent=None,
    )
    add_attempt(attempt, job.tasks[key], worker)
    early = EndedRun(1, TaskKey(UNKNOWN, 0, 0, 0), 1, RunOutcome.STOPPED, '')
    done = EndedRun(2, key, 1, RunOutcome.DONE, '')
    effects = report(state, 'w0', NOW_MS + 400, ended=(early, done))
    effects += core.reduce(state, make_tick(NOW_MS + 500))
    effects += core.reduce(state, make_tick(NOW_MS + 600))
    assert get_started(effects) == []


# Guards against a release report without runs, or ends, of jobs that its owner
# doesn't know yet: the next owner knows the job, finds no task of it in the
# report, and starts the task although it runs.
def test_release_report_contains_runs_of_unknown_jobs():
    state = make_owner()
    key = TaskKey(UNKNOWN, 0, 0, 0)
    report(state, 'w0', NOW_MS + 100, (RunningTask(key, 1, '', 5, None),))
    release_report = make_account(Context(state))
    tasks = release_report.workers['w0'].tasks
    assert tasks is None or key.format() in tasks


# As above for an end that waits for its job.
def test_release_report_contains_ends_of_unknown_jobs():
    state = make_owner()
    key = TaskKey(UNKNOWN, 0, 0, 0)
    end = EndedRun(1, key, 1, RunOutcome.DONE, '')
    report(state, 'w0', NOW_MS + 100, ended=(end,))
    release_report = make_account(Context(state))
    tasks = release_report.workers['w0'].tasks
    assert tasks is None or key.format() in tasks


# Guards against a takeover from a live owner: an instance misses rows while the
# store doesn't answer it, and the owner releases the unit and takes it again.
# Its renewal count starts from 0, and must not be compared with the known count
# of the earlier epoch.
def test_lease_of_newer_epoch_shows_live_owner():
    state = SchedulerState(SchedulerConfig('b', 'b:1'), now_ms=0)

    def see(at_ms, count, version, epoch, epoch_version):
        core.reduce(
            state,
            ev.LeaseSeen(
                at_ms,
                LeaseRecord('a:1', 'a', count),
                version,
                EpochRecord(epoch, 'a:1'),
                epoch_version,
            ),
        )

    see(0, 40, 10, 3, 4)
    for number in range(12):
        at_ms = 500 * (number + 1)
        see(at_ms, number, 20 + number, 4, 20)
        effects = core.reduce(state, make_tick(at_ms + 10))
        assert not any(isinstance(effect, fx.TakeUnit) for effect in effects)
    assert state.ownership.phase is Phase.STANDING_BY


# Guards against a late answer to a renewal that ends the next ownership.
def test_late_renewal_answer_does_not_end_later_ownership():
    state = make_owner()
    earlier = state.ownership.epoch_version - 1
    late = ev.LeaseRenewed(NOW_MS + 50, earlier, NOW_MS - 2200, False, True)
    core.reduce(state, late)
    assert state.ownership.phase is Phase.ACTIVE


def make_assignments_durable(job, worker_id):
    """Make the assignments of a job durable, so that no order waits."""
    places = {get_name(key): (worker_id,) for key in job.tasks}
    job.durable = ProgressRecord(JobState.RUNNING, places=places)


# Guards against overdue tasks without a candidate worker that use up all
# placement attempts, so that short tasks precede an overdue task that fits.
@pytest.mark.parametrize('blocked', [0, _MAX_OVERDUE_STEPS])
def test_overdue_tasks_without_candidate_do_not_block_others(blocked):
    state = make_owner(workers=1)
    now_ms = NOW_MS + 10 * OVERDUE_AFTER_MS
    add_job(state, 'f' * 16, blocked, 900_000, long_running=True)
    add_job(state, JOB, 1, 16_000, long_running=True)
    add_job(state, '0' * 16, 16, 1000)
    for at_ms, job_id in ((0, 'f' * 16), (10, JOB), (20, '0' * 16)):
        state.now_ms = NOW_MS + at_ms
        for task in state.jobs[job_id].tasks.values():
            step = state.jobs[job_id].request.steps[0]
            task.has_run = True
            add_ready(task, step, state)
        make_assignments_durable(state.jobs[job_id], 'w0')
    state.now_ms = now_ms - 10
    state.ownership.renewed_ms = now_ms
    state.workers['w0'].answered_ms = now_ms
    effects = core.reduce(state, make_tick(now_ms))
    assert [key.job_id for key in get_started(effects)][:1] == [JOB]


# Guards against two concurrent runs of a task during a network partition. The
# first owner reaches one worker and not the store; the second one reaches the
# store and the other worker. No worker that both reach reports the successor.
def test_owner_partitioned_with_one_worker(run_virtual):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            request = make_request(make_step(3), run_ms=60_000)
            first = fleet.get_owner()
            await fleet.instances[first].intake.submit(
                JOB, QUEUE, request, LIMIT_MS
            )
            await fleet.wait_running(3)
            await trio.sleep(1.5)
            fleet.platform.store.trouble.silenced.add(first)
            others = set(fleet.instances) - {first}
            for worker in fleet.platform.workers.values():
                worker.unreachable_clients = others if worker.runs else {first}
            await trio.sleep(16)
            fleet.check()

    run_virtual(run)


# Guards against the loss of a unit's models when a stopping instance takes the
# unit and releases it before it has loaded it.
def test_release_before_loading_keeps_models(run_virtual, monkeypatch):
    held = set()
    inner = StoreView.read_rows

    async def read_rows(view, table, *arguments):
        while view.client in held and table == Unit(0).progress_table:
            await trio.sleep(0.01)
        return await inner(view, table, *arguments)

    monkeypatch.setattr(StoreView, 'read_rows', read_rows)

    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            first = fleet.get_owner()
            await fleet.instances[first].intake.submit(
                JOB, QUEUE, make_request(run_ms=300), LIMIT_MS
            )
            await fleet.wait_done(JOB)
            await trio.sleep(5)
            row_key = MODELS_TABLE, Unit(0).part, MODEL_KEY
            (second,) = set(fleet.instances) - {first}
            held.add(second)
            await fleet.instances[first].shell.leave()
            fleet.kill(first)
            before = fleet.platform.store.rows[row_key]
            with trio.fail_after(5):
                ownership = fleet.instances[second].state.ownership
                while ownership.phase is not Phase.LOADING:
                    await trio.sleep(0.01)
                    ownership = fleet.instances[second].state.ownership
            await fleet.instances[second].shell.leave()
            after = fleet.platform.store.rows[row_key]
            return before, after

    before, after = run_virtual(run)
    assert after.value == before.value


@attrs.define
class SlowStore:
    """Applies all transactions, and answers them after a fixed time.

    Answers that come too late are lost.
    """

    answer_s: float
    calls: int = 0

    async def transact(self, transaction):
        self.calls += 1
        await trio.sleep(min(self.answer_s, CALL_TIMEOUT_S))
        if self.answer_s > CALL_TIMEOUT_S:
            raise AnswerLostError('too late')
        return TransactionResult(True, self.calls)


# Guards against multiplied writes to a slow store, which applies all of them
# one after the other within a partition. Attempts whose answers come too late
# have to count as well: otherwise each transaction is retried after 0.15 s.
@pytest.mark.parametrize('answer_s', [0.65, 1.2])
def test_retries_to_slow_store_are_limited(run_virtual, answer_s):
    async def run():
        store = SlowStore(answer_s)
        times = AnswerTimes()
        for _ in range(10):
            with contextlib.suppress(AnswerLostError):
                await transact_with_retries(
                    store, Transaction('p', (), ()), 1.4, times
                )
        return store.calls

    # The number without concurrent attempts: a lost one is followed by a second
    # one, which begins within the time limit.
    allowed_count = 10 if answer_s < CALL_TIMEOUT_S else 20
    # Some concurrent attempts are sent until the usual time is known.
    assert run_virtual(run) <= allowed_count + 5


async def submit_many(fleet, source):
    """Submit jobs of different kinds, each at a random instance."""
    number = 0
    while True:
        number += 1
        request = source.choice(
            (
                make_request(make_step(3, long_running=True), lasts=True),
                make_request(make_step(2, gang=True), run_ms=900),
                make_request(
                    make_step(2), make_step(2, after=(0,)), run_ms=900
                ),
                make_request(make_step(3, 500), run_ms=6000),
            )
        )
        if fleet.instances:
            name = source.choice(list(fleet.instances))
            intake = fleet.instances[name].intake
            with contextlib.suppress(UnavailableError):
                await intake.submit(f'{number:016x}', QUEUE, request, LIMIT_MS)
        await trio.sleep(source.uniform(0.05, 0.6))


async def cut_off_workers(fleet, names, source):
    while True:
        await trio.sleep(source.uniform(0.2, 2))
        worker = source.choice(list(fleet.platform.workers.values()))
        worker.unreachable_clients = {
            name for name in names if source.random() < 0.6
        }
        await trio.sleep(source.uniform(0.2, 6))
        worker.unreachable_clients = set()


# Several planned releases and crashes in a row, while the workers that an owner
# reaches keep changing.
@pytest.mark.parametrize('seed', [6, 10, 12, 23])
def test_repeated_releases_with_cut_off_workers_start_tasks_once(
    run_virtual, seed
):
    source = random.Random(seed)

    async def run():
        async with open_fleet(instances=3, workers=4) as fleet:
            names = list(fleet.instances)
            fleet.nursery.start_soon(submit_many, fleet, source)
            for _ in range(2):
                fleet.nursery.start_soon(cut_off_workers, fleet, names, source)
            for _ in range(14):
                await trio.sleep(source.choice((0.05, 0.5, 1, 2, 3)))
                name = fleet.get_owner() or source.choice(names)
                if source.random() < 0.75:
                    await fleet.instances[name].shell.leave()
                fleet.kill(name)
                await fleet.start(name)
            fleet.check()

    run_virtual(run, seed=seed)
