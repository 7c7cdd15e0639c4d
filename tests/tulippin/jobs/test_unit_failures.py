"""Containment of unexpected errors in one unit.

An owner persists an advisory record, and the owners of other units read it. If
a figure in it makes a decision raise an error that ends the process, each
instance that owns a unit ends, again after every restart. Long-running tasks
are then not restarted, and callers of unrelated units wait too.

The tests inject an error in each of eight places in decisions, effects and
feeds. No instance may end, the other unit must keep its owner, and no job may
be lost. Advisory inputs that raise an error must be excluded.
"""

import collections

import logbook
import pytest
import trio

from scheduler_fleet import (
    make_request,
    make_service_request,
    make_step,
    open_fleet,
)
from tulippin import failures
from tulippin.codec_json import encode
from tulippin.jobs import (
    SchedulerConfig,
    _advisory_inputs,
    _committing,
    _interference,
    _lifecycle,
    _model_store,
    _pacing,
    _placing,
    _unit_feeds,
    make_state,
    reduce,
)
from tulippin.jobs.effects import TellFailure
from tulippin.jobs.events import ModelsSeen, RoomsSeen
from tulippin.jobs.pair_model import PairModel
from tulippin.jobs.ports import RowWrite, Transaction
from tulippin.jobs.records import (
    MODEL_KEY,
    MODELS_TABLE,
    ModelRecord,
    PairRecord,
)
from tulippin.jobs.state import Phase
from tulippin.jobs.types import JobState
from tulippin.platform.standin import StandinAgents
from tulippin.platform.standin_worker import StandinWorker

SERVING = '0000000000000001'
FILLER = '0000000000000002'
LATER = '0000000000000003'
INSTANCES = ('i0', 'i1', 'i2')
# More workers than one unit takes, so that there are two units.
WORKERS = 60
TARGET_MS = 50
UNITS = {0, 1}


class PlantedError(Exception):
    """An injected error that no product code raises or handles."""


def make_filler():
    step = make_step(
        12,
        cpu=2000,
        opportunistic=True,
        image='batch',
        max_per_worker=1,
    )
    return make_request(step, run_ms=2000)


def inject_error(monkeypatch, owner, name, times=None, when=None):
    """Make a function raise an error, ``times`` times or always."""
    real = getattr(owner, name)
    count = 0

    def wrapped(*args, **options):
        nonlocal count
        is_due = times is None or count < times
        if is_due and (when is None or when(*args)):
            count += 1
            raise PlantedError(name)
        return real(*args, **options)

    monkeypatch.setattr(owner, name, wrapped)


def is_second_unit(context, *_, **__):
    return context.state.config.unit.number == 1


def write_model(fleet, record):
    """Write a model row for both units, like an owner."""
    for number in UNITS:
        write = RowWrite(MODELS_TABLE, MODEL_KEY, encode(record))
        fleet.platform.store.apply(Transaction(f'u{number}', (), (write,)))


def list_owned(fleet):
    return [
        unit
        for instance in fleet.instances.values()
        for unit in instance.shell.units.values()
        if unit.is_owner
    ]


async def wait_units(fleet, wanted=frozenset(UNITS), limit_s=30):
    with trio.fail_after(limit_s):
        while {one.config.unit.number for one in list_owned(fleet)} != wanted:
            await trio.sleep(0.05)


async def start_serving(fleet):
    await wait_units(fleet)
    await fleet.submit(SERVING, make_service_request(WORKERS, TARGET_MS))
    await fleet.wait_running(WORKERS)


INJECTIONS = {
    'model of another owner': lambda patch: inject_error(
        patch, PairModel, 'update_peers'
    ),
    'persisted model': lambda patch: inject_error(
        patch, _model_store, 'restore'
    ),
    'learning from a report': lambda patch: inject_error(
        patch, _interference, 'learn'
    ),
    'placing': lambda patch: inject_error(patch, _placing, 'place', 3),
    'pacing': lambda patch: inject_error(patch, _pacing, 'adjust', 2),
    'commit': lambda patch: inject_error(
        patch, _committing, 'commit_if_due', 2
    ),
    'effect': lambda patch: inject_error(patch, StandinAgents, 'hold', 2),
    'feed': lambda patch: inject_error(
        patch, _unit_feeds.UnitFeeds, '_post_workers', 2
    ),
}


@pytest.mark.parametrize('place', INJECTIONS)
def test_error_in_unit_ends_no_instance_and_loses_no_job(
    run_virtual, monkeypatch, contained_failures, place
):
    monkeypatch.setattr(StandinWorker, '_get_load', get_load)

    async def run():
        async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
            await start_serving(fleet)
            write_model(fleet, {'run_times_ms': {'q': 100.0}})
            INJECTIONS[place](monkeypatch)
            owner = fleet.get_owner()
            fleet.kill(owner)
            await fleet.start(owner)
            for number in range(4):
                job_id = f'{FILLER[:-1]}{number + 4}'
                await fleet.submit(job_id, make_filler())
                await trio.sleep(2)
            for number in range(4):
                job_id = f'{FILLER[:-1]}{number + 4}'
                await fleet.wait_done(job_id, limit_s=60)
            await wait_units(fleet)
            # Long-running tasks go on, and no task ran twice at a time.
            assert fleet.count_starts(SERVING) == WORKERS
            assert set(fleet.instances) == set(INSTANCES)
            fleet.check()

    with logbook.TestHandler() as handler:
        run_virtual(run)
    assert contained_failures
    for one in contained_failures:
        (cause,) = failures.find_causes(one.error)
        assert isinstance(cause, PlantedError)
        assert one.fields['unit'] in UNITS
    reports = [one for one in handler.records if 'cause' in one.kwargs]
    assert len(reports) == len(contained_failures)
    assert all('PlantedError' in one.kwargs['cause'] for one in reports)
    contained_failures.clear()


def get_load(worker, plan):
    return 14.0 if plan.lasts else 2000.0


def test_invalid_figure_in_advisory_record_ends_no_instance(
    run_virtual, monkeypatch
):
    monkeypatch.setattr(StandinWorker, '_get_load', get_load)

    async def run():
        async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
            await start_serving(fleet)
            write_model(fleet, {'lowest_tails_ms': {'web': 0.0}})
            await fleet.submit(FILLER, make_filler())
            await trio.sleep(8)
            assert tuple(fleet.instances) == INSTANCES
            assert fleet.count_starts(SERVING) == WORKERS
            await wait_units(fleet)
            fleet.check()

    run_virtual(run)


def test_unit_that_always_fails_does_not_affect_others(
    run_virtual, monkeypatch, contained_failures
):
    """Only the failing unit stands still, not its instances or callers."""

    async def run():
        async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
            await start_serving(fleet)
            inject_error(monkeypatch, _placing, 'place', when=is_second_unit)
            epoch = get_epoch(fleet)
            done = 0
            for number in range(12):
                job_id = f'{LATER[:-2]}{number:02x}'
                await fleet.submit(job_id, make_request(run_ms=200))
                await trio.sleep(2)
                state = await get_state(fleet, job_id)
                done += state is JobState.COMPLETED
            assert done >= 3
            assert get_epoch(fleet) == epoch
            assert tuple(fleet.instances) == INSTANCES
            fleet.check()

    run_virtual(run)
    # The backoff of each instance grows with each failure.
    counts = collections.Counter(one.what for one in contained_failures)
    assert set(counts) == {'unit failed'}
    assert counts['unit failed'] <= 24
    contained_failures.clear()


def get_epoch(fleet):
    """Return the first unit's epoch."""
    (unit,) = [one for one in list_owned(fleet) if one.config.unit.number == 0]
    return unit.state.ownership.epoch.epoch


async def get_state(fleet, job_id):
    return await fleet.instances['i0'].intake.get_state(job_id)


@pytest.mark.parametrize('name', ['_make_job', 'restore'])
def test_job_with_failing_row_does_not_affect_others(
    run_virtual, monkeypatch, contained_failures, name
):
    """The job is withheld like one with unreadable rows; others go on."""

    def is_failing_job(first, *_):
        return FILLER in {
            getattr(first, 'key', ''),
            getattr(first, 'job_id', ''),
        }

    async def run():
        async with open_fleet(2, 2) as fleet:
            await fleet.submit(FILLER, make_request(run_ms=20_000))
            await fleet.submit(LATER, make_request(run_ms=20_000))
            await fleet.wait_running(2)
            await fleet.wait_state(FILLER, JobState.RUNNING)
            inject_error(monkeypatch, _lifecycle, name, when=is_failing_job)
            fleet.kill_owner()
            await fleet.wait_owner()
            await fleet.wait_done(LATER, limit_s=40)
            state = await get_state_anywhere(fleet, FILLER)
            assert state not in {None, JobState.FAILED, JobState.CANCELLED}
            assert fleet.count_starts(FILLER) == 1
            fleet.check()

    run_virtual(run)
    assert {one.what for one in contained_failures} == {'row failed'}
    contained_failures.clear()


async def get_state_anywhere(fleet, job_id):
    intake = next(iter(fleet.instances.values())).intake
    return await intake.get_state(job_id)


def test_only_failing_row_is_excluded(monkeypatch, contained_failures):
    """Other models are used, and the failing row is reported once."""
    state = make_state(SchedulerConfig('i', 'i:1'))
    real = PairModel.update_peers

    def update_peers(model, models):
        found = list(models)
        if any('odd' in images for images in found):
            raise PlantedError('update_peers')
        real(model, found)

    monkeypatch.setattr(PairModel, 'update_peers', update_peers)
    valid = ModelRecord({'web': PairRecord({'batch': 0.2}, [[0.001]])})
    failing = ModelRecord({'odd': PairRecord()})
    event = ModelsSeen(1000, (failing, valid), ('models/u1', 'models/u2'))
    effects = [reduce(state, event) for _ in range(3)]
    reports = [
        effect
        for found in effects
        for effect in found
        if isinstance(effect, TellFailure)
    ]
    assert [effect.sources for effect in reports] == [('models/u1',)]
    assert state.model.get_weight('web', 'batch') > 0.1
    assert state.counters['advice_dropped'] == 1


def test_repeated_errors_are_reported_less_often(monkeypatch):
    """Advisory inputs are ignored after an error, longer each time."""
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.ownership.phase = Phase.ACTIVE
    inject_error(monkeypatch, _advisory_inputs, 'handle')
    reports = 0
    for second in range(600):
        effects = reduce(state, RoomsSeen(1000 * (1 + second), {}))
        reports += sum(isinstance(one, TellFailure) for one in effects)
    assert 3 <= reports <= 8


def test_advisory_row_is_excluded_by_version(
    run_virtual, monkeypatch, contained_failures
):
    """The unit restarts without that row version, and reads the next one."""

    async def run():
        async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
            await wait_units(fleet)
            inject_error(monkeypatch, _model_store, 'restore', 1)
            write_model(fleet, {'run_times_ms': {'q': 100.0}})
            for name in INSTANCES:
                fleet.kill(name)
            for name in INSTANCES:
                await fleet.start(name)
            await wait_units(fleet)
            await trio.sleep(4)
            assert len(contained_failures) == 1
            write_model(fleet, {'run_times_ms': {'p': 200.0}})
            await trio.sleep(4)
            known = [unit.state.run_times_ms for unit in list_owned(fleet)]
            assert any('p' in one for one in known)

    run_virtual(run)
    assert contained_failures[0].what == 'model dropped'
    assert any(
        'models/u' in one for one in contained_failures[0].fields['sources']
    )
    contained_failures.clear()
