"""Each reason that holds ready work back has an end, by reason."""

import attrs
import pytest
import trio

import waiting_jobs
from scheduler_fleet import (
    JOB,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import (
    _advice,
    _crashes,
    _feasibility,
    _probation,
    _slow_start,
    _worker_failures,
)
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs.events import AdviceAnswered
from tulippin.jobs.features import Features
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import (
    EndedRun,
    JobRequest,
    OrderAnswer,
    OrderOutcome,
    RunOutcome,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.platform.standin_worker import StandinWorker
from tulippin.types import Resources

WORKERS = 6
# How long users accept a job without a run, and half a second for polling.
MAX_STALLED_S = 3.5
WATCHED_S = 15
NUMBERS = range(10, 18)
LIGHT = 1000
OWN_MISS_MS = 60.0
# Time in which the tails of the served tasks are learned.
LEARNING_S = 10
FEATURES = Features(gathers_reports=True)
NOW_MS = 100_000
CAPACITY = Resources(10_000, 64_000)
SERVICE = 'catalogue'


def watch_waiting(run_virtual, monkeypatch, disturb, own_tail_ms=12.0):
    """Return how long jobs stall, and the state, after a disturbance."""
    tails_ms = {}
    get_own_ms = waiting_jobs.follow_load(monkeypatch, tails_ms, own_tail_ms)
    found = []

    async def run():
        async with open_fleet(
            instances=1, workers=WORKERS, features=FEATURES
        ) as fleet:
            await waiting_jobs.serve(fleet, WORKERS)
            waiting_jobs.expect_harm(fleet, 'heavy')
            waiting_jobs.expect_harm(fleet, 'light', excess=0.0)
            watch = waiting_jobs.Watch(fleet, get_own_ms)
            async with trio.open_nursery() as nursery:
                await disturb(fleet, tails_ms, nursery)
                for number in NUMBERS:
                    request = waiting_jobs.make_batch(2)
                    await waiting_jobs.submit(fleet, number, request)
                job_ids = waiting_jobs.get_ids(NUMBERS)
                await watch.run(job_ids, for_s=WATCHED_S)
                nursery.cancel_scope.cancel()
            state = fleet.instances[fleet.get_owner()].state
            found.extend((max(watch.stalled_s.values()), state))

    run_virtual(run)
    return found


def make_light(count=1):
    """Return a job that disturbs nothing, with two tasks on a worker."""
    step = make_step(count, opportunistic=True, image='light', max_per_worker=2)
    return make_request(step, run_ms=400, tail_ms=0.0)


# -- workers that are closed --------------------------------------------------


def test_target_missed_ends_beside_one_job_with_many_short_tasks(
    run_virtual, monkeypatch
):
    """Guards against starts that keep an own miss from being measured."""

    async def disturb(fleet, _tails_ms, _nursery):
        await waiting_jobs.submit(fleet, LIGHT, make_light(2000))
        await trio.sleep(4)

    stalled_s, _ = watch_waiting(run_virtual, monkeypatch, disturb, OWN_MISS_MS)
    assert stalled_s < MAX_STALLED_S


@pytest.mark.parametrize('interval_s', [0.3, 1.0, 2.0])
@pytest.mark.parametrize('own_tail_ms', [40.0, OWN_MISS_MS])
def test_missing_slack_ends_while_jobs_keep_arriving(
    run_virtual, monkeypatch, own_tail_ms, interval_s
):
    """Guards against slow starts that wait until no more jobs come."""

    async def submit_series(fleet):
        number = LIGHT
        while True:
            await waiting_jobs.submit(fleet, number, make_light())
            number += 1
            await trio.sleep(interval_s)

    async def disturb(fleet, _tails_ms, nursery):
        nursery.start_soon(submit_series, fleet)
        await trio.sleep(1)

    stalled_s, _ = watch_waiting(run_virtual, monkeypatch, disturb, own_tail_ms)
    assert stalled_s < MAX_STALLED_S


@pytest.mark.parametrize('count', [1, 3, 5])
def test_quarantine_that_each_report_renews_holds_no_job(
    run_virtual, monkeypatch, count
):

    async def disturb(fleet, tails_ms, _nursery):
        await trio.sleep(LEARNING_S)
        unhealthy = list(fleet.platform.workers)[:count]
        tails_ms.update(dict.fromkeys(unhealthy, 2000.0))
        await trio.sleep(2)

    stalled_s, state = watch_waiting(run_virtual, monkeypatch, disturb)
    assert state.counters['workers_unwell']
    assert stalled_s < MAX_STALLED_S


@pytest.mark.parametrize('count', [1, 3])
def test_stale_tails_of_workers_that_hang_hold_no_job(
    run_virtual, monkeypatch, count
):
    async def disturb(fleet, _tails_ms, _nursery):
        for worker in list(fleet.platform.workers.values())[:count]:
            worker.unreachable_clients.add('*')
        await trio.sleep(0)

    stalled_s, _ = watch_waiting(run_virtual, monkeypatch, disturb, 40.0)
    assert stalled_s < MAX_STALLED_S


@pytest.mark.parametrize('count', [1, 3])
def test_workers_whose_entry_is_not_renewed_hold_no_job(
    run_virtual, monkeypatch, count
):
    async def disturb(fleet, _tails_ms, _nursery):
        for worker in list(fleet.platform.workers.values())[:count]:
            worker.publishes_entry = False
        await trio.sleep(LEARNING_S)

    stalled_s, _ = watch_waiting(run_virtual, monkeypatch, disturb, 40.0)
    assert stalled_s < MAX_STALLED_S


@pytest.mark.parametrize('count', [1, 3])
def test_workers_that_refuse_each_start_hold_no_job(
    run_virtual, monkeypatch, count
):
    """Guards against a pause after a refusal that each refusal renews."""
    handle = StandinWorker.handle_start_order
    refusing = {f'w{number}' for number in range(count)}

    def refuse_some(worker, order):
        if worker.worker_id in refusing:
            return OrderAnswer(OrderOutcome.NO_ROOM, worker.clock_ms)
        return handle(worker, order)

    async def disturb(_fleet, _tails_ms, _nursery):
        monkeypatch.setattr(StandinWorker, 'handle_start_order', refuse_some)
        await trio.sleep(0)

    stalled_s, _ = watch_waiting(run_virtual, monkeypatch, disturb, 40.0)
    assert stalled_s < MAX_STALLED_S


# -- conditions on states made by hand ----------------------------------------


@attrs.define
class Unit:
    """A state with a worker, and a job with some tasks."""

    state: SchedulerState = attrs.field(
        factory=lambda: SchedulerState(
            SchedulerConfig('i', 'i:1'), now_ms=NOW_MS
        )
    )
    step: Step = Step(
        4, Resources(1000, 1000), opportunistic=True, image='batch'
    )

    def add_worker(self, worker_id='w0'):
        entry = WorkerEntry(worker_id, SERVICE, 'a', 'z', CAPACITY)
        worker = Worker(
            entry,
            is_listed=True,
            is_rostered=True,
            is_reconciled=True,
            answered_ms=NOW_MS,
        )
        self.state.workers[worker_id] = worker
        return worker

    def add_job(self, count=1):
        request = JobRequest('', (self.step,))
        job = Job(JOB, LOW_PRIORITY_QUEUE, request, 1)
        self.state.jobs[JOB] = job
        for index in range(count):
            key = TaskKey(JOB, 0, 0, index)
            job.tasks[key] = Task(key)
        return job

    def run(self, worker, task, **fields):
        attempt = Attempt(
            task.key,
            1,
            worker.worker_id,
            self.step,
            2,
            AttemptState.RUNNING,
            NOW_MS,
            **fields,
        )
        add_attempt(attempt, task, worker)
        return attempt


def make_crashes(count, age_ms=0):
    return {
        (f'gone{number}', 0): CrashRecord(
            f'gone{number}', '', '', 1, age_ms, NOW_MS, is_sure=True
        )
        for number in range(count)
    }


def add_crashes(task, count, unit):
    """Make a task suspected of the crashes of some workers."""
    task.crashes = make_crashes(count)
    unit.state.suspects.add(task.key)
    unit.state.isolated_tasks = None


@pytest.mark.parametrize('age_ms', [0, 3000, 60_000])
def test_probation_ends_five_seconds_after_the_order(age_ms):
    unit = Unit()
    worker = unit.add_worker()
    suspect, other = unit.add_job(2).tasks.values()
    suspect.crashes = make_crashes(2, age_ms)
    attempt = unit.run(worker, suspect)
    _probation.begin_probation(attempt, suspect, worker)
    attempt.is_ordered = True
    assert not _probation.may_start_beside(worker, other, unit.state)
    worker.answered_ms = NOW_MS + _probation.MAX_SUSPECT_AGE_MS
    assert _probation.may_start_beside(worker, other, unit.state)


@pytest.mark.parametrize('failures', [3, 6, 40])
def test_quarantine_after_failures_lasts_twelve_seconds_at_most(failures):
    unit = Unit()
    worker = unit.add_worker()
    context = Context(unit.state)
    for number in range(failures):
        key = TaskKey(f'{number:016x}', 0, 0, 0)
        ended = EndedRun(number, key, 1, RunOutcome.FAILED, '')
        _worker_failures.record_outcome(worker, ended, context)
    job = unit.add_job()
    (task,) = job.tasks.values()
    find = _feasibility.find_closure
    assert (
        find(worker, job, task, unit.step, unit.state)
        is _feasibility.Obstacle.PAUSED
    )
    unit.state.now_ms += 12_000
    assert find(worker, job, task, unit.step, unit.state) is None


def test_outdated_entry_ends_with_the_next_read_of_the_entry():
    unit = Unit()
    worker = unit.add_worker()
    worker.entry = attrs.evolve(worker.entry, capacity=None)
    job = unit.add_job()
    (task,) = job.tasks.values()
    assert (
        _feasibility.find_closure(worker, job, task, unit.step, unit.state)
        is _feasibility.Obstacle.OUTDATED_ENTRY
    )
    worker.entry = attrs.evolve(worker.entry, capacity=CAPACITY)
    assert _feasibility.accepts_runs(worker, unit.state)


def test_ticket_is_asked_for_again_after_a_question_that_failed():
    unit = Unit()
    unit.add_worker()
    job = unit.add_job()
    step_key = (JOB, 0, 0)
    first = Context(unit.state)
    _advice.ask_if_due(job, step_key, first)
    _advice._store_tickets(
        AdviceAnswered(unit.state.now_ms, step_key, {}, 0), first
    )
    unit.state.now_ms += 200
    second = Context(unit.state)
    _advice.ask_if_due(job, step_key, second)
    assert len(second.effects) == 1


def test_places_of_slow_starts_are_free_for_other_jobs_while_runs_pause():
    unit = Unit()
    worker = unit.add_worker()
    job = unit.add_job()
    (task,) = job.tasks.values()
    unit.state.last_arrival_ms = NOW_MS - 2500
    for number in range(1, 24):
        other = Task(TaskKey(f'{number:016x}', 0, 0, 0))
        attempt = unit.run(worker, other)
        attempt.is_slow_start = True
        attempt.target_pace_percent = attempt.pace_percent = 0
    refusal = _slow_start.find_refusal(worker, job, task, unit.step, unit.state)
    assert refusal is not _slow_start.Refusal.SLOW_RUNS


def test_suspected_sibling_that_is_done_holds_no_task():
    unit = Unit()
    unit.add_worker()
    job = unit.add_job(2)
    first, second = job.tasks.values()
    add_crashes(first, 2, unit)
    add_crashes(second, 1, unit)
    assert _crashes._is_preceded_by_sibling(job, second, unit.state)
    first.is_done = True
    assert not _crashes._is_preceded_by_sibling(job, second, unit.state)


def test_suspected_sibling_that_fits_no_worker_holds_no_task():
    """Guards against a wait for a task that can't start for now."""
    unit = Unit()
    unit.add_worker()
    large = Step(1, Resources(20_000, 1000), opportunistic=True, image='batch')
    job = Job(JOB, LOW_PRIORITY_QUEUE, JobRequest('', (large, unit.step)), 1)
    unit.state.jobs[JOB] = job
    first, second = (Task(TaskKey(JOB, 0, step, 0)) for step in range(2))
    job.tasks = {task.key: task for task in (first, second)}
    add_crashes(first, 2, unit)
    add_crashes(second, 1, unit)
    unit.state.now_ms += 60_000
    assert not _crashes._is_preceded_by_sibling(job, second, unit.state)
