"""Workers that an owner knows by their ids alone: their room is not known.

What users saw: instances ended one after the other, some 5 s after each
start, with a division by zero; the jobs of their units had nothing running.

In which order: the workers' entries on the platform's list lapsed while the
workers lived on. All instances were killed and started. The next owners
knew the workers by their roster, asked them, and took up what ran there.
"""

import logbook
import pytest
import trio

from fleet_of_schedulers import (
    PATIENT,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.codec_json import decode
from tulippin.jobs._row_checks import find_fault
from tulippin.jobs.records import MODEL_KEY, MODELS_TABLE, ModelRecord
from tulippin.platform.standin_worker import StandinWorker

SERVING = '0000000000000001'
FILLER = '0000000000000002'
TARGET_MS = 50
INSTANCES = ('i0', 'i1', 'i2', 'i3')
# Above what one unit holds, so that there are two.
WORKERS = 60
# What an opportunistic task uses.
USED_MILLICORES = 2000.0
# No worker has more tenths of its processors than these in use.
MOST_TENTHS = 10


@pytest.fixture(autouse=True)
def tails(monkeypatch):
    """Let tasks with a target be slowed a little by what works beside."""

    def get_load(worker, plan):
        return 14.0 if plan.lasts else USED_MILLICORES

    monkeypatch.setattr(StandinWorker, '_get_load', get_load)


def make_serving():
    step = make_step(
        WORKERS,
        cpu=6000,
        long_running=True,
        target_ms=TARGET_MS,
        image='web',
        max_per_worker=1,
    )
    return make_request(step, lasts=True)


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


async def begin(fleet):
    await fleet.submit(SERVING, make_serving())
    await fleet.wait_running(WORKERS)
    await fleet.submit(FILLER, make_filler(), PATIENT)
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
    """Return what is kept of all units, as it stands in the store."""
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
def test_nothing_is_learned_where_the_room_is_not_known(run_virtual, seed):
    async def run():
        with logbook.TestHandler() as handler:
            async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
                await begin(fleet)
                fleet.platform.lapse_entries()
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
                    for used in worker.exposure.values()
                ]
                assert max(exposures, default=0) <= MOST_TENTHS
                for record in await read_models(fleet):
                    assert find_fault(record) == ''
                fleet.check()
        told = {record.message for record in handler.records}
        assert 'row unreadable' not in told
        assert 'unit failed' not in told

    run_virtual(run, seed=seed)


def test_all_goes_on_once_the_entries_are_back(run_virtual):
    async def run():
        async with open_fleet(len(INSTANCES), WORKERS, 10) as fleet:
            await begin(fleet)
            fleet.platform.lapse_entries()
            await trio.sleep(1)
            await restart_all(fleet)
            await trio.sleep(4)
            fleet.platform.restore_entries()
            await trio.sleep(6)
            # What served before serves now, and has all the time.
            assert fleet.count_starts(SERVING) == WORKERS
            models = await read_models(fleet)
            assert [find_fault(record) for record in models] == [''] * len(
                models
            )
            fleet.check()

    run_virtual(run)
