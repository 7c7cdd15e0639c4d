"""Workers that an owner knows only from its roster: capacity unknown.

Guards against owners that stop with a division by zero, about 5 s after each
start, while the jobs of their units have nothing running. The entries of the
workers expire while the workers go on, and all instances restart. The new
owners know the workers from the roster only, and an unknown capacity counted
as zero: two used processors were 20,000 tenths of it. A single such sample
made the model certain that an image disturbs nothing, with a variance of 2e-11
that was stored as 0.0, and every owner that read it divided by it.

A reader that rejects a variance of 0 avoids the failure, but then no new owner
of the unit can read what was learned.
"""

import logbook
import pytest
import trio

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    make_request,
    make_service_request,
    make_step,
    open_fleet,
)
from tulippin.codec_json import decode
from tulippin.jobs import (
    _advisory_inputs,
    _feasibility,
    _interference,
    _reports,
    _unit_capacity,
    views,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs._record_validation import find_fault
from tulippin.jobs.events import WorkerAnswered
from tulippin.jobs.records import MODEL_KEY, MODELS_TABLE, ModelRecord
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    SchedulerConfig,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import (
    RunningTask,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.platform.standin_worker import StandinWorker
from tulippin.types import Resources

SERVING = '0000000000000001'
FILLER = '0000000000000002'
TARGET_MS = 50
INSTANCES = ('i0', 'i1', 'i2', 'i3')
# More than one unit holds, so that there are two units.
WORKERS = 60
# What an opportunistic task uses.
USED_MILLICORES = 2000.0
# A worker can't use more than all ten tenths of its processors.
MAX_TENTHS = 10


@pytest.fixture(autouse=True)
def tails(monkeypatch):
    """Slow tasks with a target slightly by opportunistic tasks."""

    def get_load(worker, plan):
        return 14.0 if plan.lasts else USED_MILLICORES

    monkeypatch.setattr(StandinWorker, '_get_load', get_load)


def make_filler():
    step = make_step(
        WORKERS,
        cpu=2000,
        opportunistic=True,
        image='batch',
        checkpointing=True,
        max_per_worker=1,
    )
    return make_request(step, run_ms=60_000)


async def start_jobs(fleet):
    await fleet.submit(SERVING, make_service_request(WORKERS, TARGET_MS))
    await fleet.wait_running(WORKERS)
    await fleet.submit(FILLER, make_filler(), LOW_PRIORITY_QUEUE)
    await fleet.wait_running(WORKERS + WORKERS // 2, limit_s=30)


async def restart_all(fleet):
    for name in INSTANCES:
        fleet.kill(name)
    for name in INSTANCES:
        await fleet.start(name)
    await fleet.wait_owner()


def list_owned(fleet):
    return [
        unit
        for instance in fleet.instances.values()
        for unit in instance.shell.units.values()
        if unit.is_owner
    ]


async def read_models(fleet):
    """Return the stored models of all units."""
    found = []
    view = fleet.platform.store.get_view('test')
    for number in (0, 1):
        page = await view.read_rows(MODELS_TABLE, f'u{number}')
        found.extend(
            decode(row.value, ModelRecord)
            for row in page.rows
            if row.key == MODEL_KEY
        )
    return found


@pytest.mark.parametrize('seed', [1, 2])
def test_nothing_is_learned_at_unknown_capacity(run_virtual, seed):
    async def run():
        with logbook.TestHandler() as handler:
            async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
                await start_jobs(fleet)
                fleet.platform.expire_entries()
                await trio.sleep(1)
                await restart_all(fleet)
                await trio.sleep(8)
                units = list_owned(fleet)
                assert {unit.config.unit.number for unit in units} == {0, 1}
                rostered = [
                    worker
                    for unit in units
                    for worker in unit.state.workers.values()
                    if worker.is_rostered
                ]
                assert rostered
                exposures = [
                    used
                    for worker in rostered
                    for used in (worker.exposure or {}).values()
                ]
                assert max(exposures, default=0) <= MAX_TENTHS
                for record in await read_models(fleet):
                    assert find_fault(record) == ''
                fleet.check()
        logged = {record.message for record in handler.records}
        assert 'row unreadable' not in logged
        assert 'unit failed' not in logged

    run_virtual(run, seed=seed)


def test_scheduling_continues_once_the_entries_are_back(run_virtual):
    async def run():
        async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
            await start_jobs(fleet)
            fleet.platform.expire_entries()
            await trio.sleep(1)
            await restart_all(fleet)
            await trio.sleep(4)
            fleet.platform.resume_heartbeats()
            await trio.sleep(6)
            # The serving tasks have run all the time.
            assert fleet.count_starts(SERVING) == WORKERS
            models = await read_models(fleet)
            assert [find_fault(record) for record in models] == [''] * len(
                models
            )
            fleet.check()

    run_virtual(run)


# -- one worker ---------------------------------------------------------------


def make_worker(capacity):
    entry = WorkerEntry('w', 'catalogue', 'w:80', 'z', capacity)
    worker = Worker(entry)
    worker.is_rostered = True
    worker.is_reconciled = True
    return worker


def add_run(worker, number, step, load):
    attempt = Attempt(
        TaskKey(SERVING if step.target_ms else FILLER, 0, 0, number),
        1,
        'w',
        step,
        0,
        AttemptState.RUNNING,
        0,
    )
    attempt.load = load
    attempt.tail_ms = load
    worker.attempts[attempt.key, 1] = attempt
    _interference.add_attempt(attempt, worker)
    return attempt


def make_state(worker):
    state = SchedulerState(SchedulerConfig('i', 'i:1'))
    state.now_ms = 10_000
    state.workers['w'] = worker
    return state


def learn_from_report(worker, state, times=5):
    """Learn repeatedly from a worker's report; return the logged fields."""
    context = Context(state)
    event = WorkerAnswered(state.now_ms, 'w', state.now_ms, WorkerReport(1))
    for _ in range(times):
        state.now_ms += 500
        _advisory_inputs.learn(worker, event, context)
    return [effect.fields for effect in context.effects]


SERVES = make_step(
    2, cpu=6000, long_running=True, target_ms=TARGET_MS, image='web'
)
FILLS = make_step(4, cpu=2000, opportunistic=True, image='batch')


@pytest.mark.parametrize(
    ('capacity', 'samples'),
    [(Resources(16_000, 64_000), 5), (None, 0), (Resources(0, 0), 0)],
)
def test_samples_require_a_known_capacity(capacity, samples):
    worker = make_worker(capacity)
    state = make_state(worker)
    add_run(worker, 0, SERVES, 60.0)
    add_run(worker, 1, SERVES, 60.0)
    add_run(worker, 2, FILLS, USED_MILLICORES)
    learn_from_report(worker, state)
    assert (state.model.count_samples() > 0) is (samples > 0)
    assert state.swings.swings == {} or samples


def test_impossible_usage_is_not_learned_and_logged_once():
    worker = make_worker(Resources(1000, 64_000))
    state = make_state(worker)
    add_run(worker, 0, SERVES, 60.0)
    add_run(worker, 1, SERVES, 60.0)
    add_run(worker, 2, FILLS, USED_MILLICORES)
    logged = learn_from_report(worker, state)
    assert state.model.count_samples() == 0
    assert state.counters['samples_refused'] == 5
    assert [one['tenths'] for one in logged] == [{'batch': 20.0}]


def test_first_sample_after_an_impossible_one_is_not_learned():
    worker = make_worker(Resources(1000, 64_000))
    state = make_state(worker)
    add_run(worker, 0, SERVES, 60.0)
    add_run(worker, 1, SERVES, 60.0)
    add_run(worker, 2, FILLS, USED_MILLICORES)
    learn_from_report(worker, state)
    worker.entry = make_worker(Resources(16_000, 64_000)).entry
    learn_from_report(worker, state, times=1)
    assert state.model.count_samples() == 0
    learn_from_report(worker, state, times=1)
    assert state.model.count_samples() > 0


def test_share_of_a_task_is_at_most_a_whole_worker():
    worker = make_worker(Resources(1000, 64_000))
    assert _interference.get_share(FILLS, worker) == MAX_TENTHS
    assert _interference.get_share(FILLS, make_worker(Resources(0, 0))) == (
        MAX_TENTHS
    )
    assert _interference.get_share(FILLS, make_worker(None)) is None


def test_worker_of_unknown_capacity_gets_no_work_and_is_not_published():
    worker = make_worker(None)
    state = make_state(worker)
    add_run(worker, 0, SERVES, 20.0)
    add_run(worker, 1, FILLS, USED_MILLICORES)
    assert not _feasibility.accepts_runs(worker, state)
    assert not worker.has_capacity(make_step(cpu=0).size)
    assert _unit_capacity.measure(state).capacity_millicores == 0
    assert _interference.compute_harm(FILLS, worker, state) is None
    assert _interference.find_tightest_excess(FILLS, worker, state) is None
    assert _interference.compute_tolerated_pace(FILLS, 1, worker, state) == 0
    # A tail well below its target has slack for opportunistic tasks.
    assert _interference.get_slack(worker, state)['web'] > 0
    assert not views.show_worker(worker, state)['room_known']


def test_missing_tail_does_not_count_as_zero():
    worker = make_worker(Resources(16_000, 64_000))
    state = make_state(worker)
    attempt = add_run(worker, 0, SERVES, 60.0)
    row = RunningTask(attempt.key, 1, '', 100, None)
    event = WorkerAnswered(
        state.now_ms, 'w', state.now_ms, WorkerReport(1, (row,))
    )
    _reports.handle(event, Context(state))
    assert attempt.load == 0
    assert attempt.tail_ms == 60.0


def test_impossible_tail_of_one_sibling_is_attributed_to_no_image():
    """A tail of zero beside 12 ms gave a harmless image 4.2 per tenth."""
    worker = make_worker(Resources(16_000, 64_000))
    state = make_state(worker)
    for number, tail_ms in enumerate((12.0, 12.0, 1e-9)):
        add_run(worker, number, SERVES, tail_ms)
    add_run(worker, 3, FILLS, USED_MILLICORES)
    learn_from_report(worker, state)
    assert state.model.get_weight('web', 'batch') < 0.5
    assert state.lowest_tails_ms['web'] == 12.0
