"""Tests of cancels of jobs that have not been accepted yet.

The store may apply the write of a submit seconds after it left it unanswered.
A cancel in the meantime finds no job, and has to make that write fail.
"""

import contextlib

import pytest
import trio

from scheduler_fleet import JOB, LIMIT_MS, QUEUE, make_request, open_fleet
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.features import Features
from tulippin.jobs.records import CANCEL_SUFFIX, EPOCH_KEY, HOMES_TABLE, Unit
from tulippin.jobs.types import JobState
from tulippin.platform import standin_store
from tulippin.platform.standin_store import StoreView

# Longer than any late write.
SETTLE_S = 8
# A submit ends before its first late write.
SUBMIT_MS = 1500
LONG_MS = 600_000
RETENTION_S = 180
FEATURES = [Features(), Features(bounds_writes=True)]
BY = ['i0', 'i1']


@pytest.fixture(autouse=True)
def _late_range(monkeypatch):
    """Have late writes be applied after the cancels of these tests."""
    monkeypatch.setattr(standin_store, '_LATE_WRITE_RANGE_S', (4.0, 6.0))


@contextlib.contextmanager
def late_writes(fleet, client):
    """Have the store apply a client's writes late, without an answer."""
    trouble = fleet.platform.store.trouble
    trouble.late_write_share = 1.0
    trouble.late_clients = {client}
    yield
    trouble.late_write_share = 0.0


async def submit_late(fleet):
    with late_writes(fleet, 'i0'), pytest.raises(AnswerLostError):
        await submit(fleet)


def submit(fleet, by='i0'):
    request = make_request(run_ms=LONG_MS)
    return fleet.instances[by].intake.submit(JOB, QUEUE, request, SUBMIT_MS)


def cancel(fleet, by='i0', limit_ms=LIMIT_MS):
    return fleet.instances[by].intake.cancel(JOB, QUEUE, limit_ms)


def list_rows(fleet):
    """Return tables and keys of the job's rows."""
    return {
        (table, key)
        for table, _, key in fleet.platform.store.rows
        if key.startswith(JOB)
    }


async def check_never_runs(fleet):
    await trio.sleep(SETTLE_S)
    assert fleet.count_starts() == 0
    for instance in fleet.instances.values():
        assert await instance.intake.get_state(JOB) is None
    assert not any(
        key == JOB and table != HOMES_TABLE for table, key in list_rows(fleet)
    )


@pytest.mark.parametrize('features', FEATURES)
@pytest.mark.parametrize('by', BY)
def test_submit_applied_after_cancel_never_runs(run_virtual, features, by):
    async def run():
        async with open_fleet(features=features) as fleet:
            await submit_late(fleet)
            assert not await cancel(fleet, by)
            await check_never_runs(fleet)

    run_virtual(run)


@pytest.mark.parametrize('by', BY)
def test_submit_sent_after_cancel_never_runs(run_virtual, monkeypatch, by):
    """The cancel is answered while the submit is on its way to the store."""
    transact_now = StoreView.transact

    async def transact(view, transaction, extra_wait_ms=0):
        if any(one.key == JOB for one in transaction.writes[1:]):
            await trio.sleep(0.5)
        return await transact_now(view, transaction, extra_wait_ms)

    async def run():
        async with open_fleet(features=FEATURES[1]) as fleet:
            monkeypatch.setattr(StoreView, 'transact', transact)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit_and_check, fleet)
                await trio.sleep(0.1)
                assert not await cancel(fleet, by)
            await check_never_runs(fleet)

    async def submit_and_check(fleet):
        with pytest.raises(UnavailableError):
            await submit(fleet)

    run_virtual(run)


@pytest.mark.parametrize('by', BY)
def test_slow_store_keeps_a_late_submit_from_running(run_virtual, by):
    async def run():
        async with open_fleet(features=FEATURES[1]) as fleet:
            await submit_late(fleet)
            fleet.platform.store.trouble.write_duration_s = 0.3
            assert not await cancel(fleet, by)
            await check_never_runs(fleet)

    run_virtual(run)


@pytest.mark.parametrize('features', FEATURES)
@pytest.mark.parametrize('by', BY)
def test_cancel_in_doubt_is_answered_when_repeated(run_virtual, features, by):
    async def run():
        async with open_fleet(features=features) as fleet:
            await submit_late(fleet)
            trouble = fleet.platform.store.trouble
            trouble.lost_answer_share = 1.0
            # It is recognized by its rows, or it is in doubt.
            with contextlib.suppress(AnswerLostError):
                assert not await cancel(fleet, by)
            trouble.lost_answer_share = 0.0
            assert not await cancel(fleet, by)
            await check_never_runs(fleet)

    run_virtual(run)


@pytest.mark.parametrize('features', FEATURES)
@pytest.mark.parametrize('by', BY)
def test_late_cancel_says_410_only_if_it_holds(run_virtual, features, by):
    """Both the submit and the first attempts of the cancel are late."""

    async def run():
        async with open_fleet(features=features) as fleet:
            await submit_late(fleet)
            with late_writes(fleet, by), pytest.raises(AnswerLostError):
                await cancel(fleet, by)
            found = await cancel(fleet, by)
            await trio.sleep(SETTLE_S)
            state = await fleet.instances[by].intake.get_state(JOB)
            assert state is (JobState.CANCELLED if found else None)
            assert fleet.count_running() == 0

    run_virtual(run)


@pytest.mark.parametrize('by', BY)
def test_submit_after_cancel_is_rejected(run_virtual, by):
    async def run():
        async with open_fleet(features=FEATURES[1]) as fleet:
            assert not await cancel(fleet)
            with pytest.raises(UnavailableError) as raised:
                await submit(fleet, by)
            assert not isinstance(raised.value, AnswerLostError)
            await check_never_runs(fleet)

    run_virtual(run)


def test_cancel_of_unknown_job_takes_one_write(run_virtual, monkeypatch):
    parts = []
    transact_now = StoreView.transact

    def transact(view, transaction, extra_wait_ms=0):
        parts.append(transaction.part)
        return transact_now(view, transaction, extra_wait_ms)

    async def run():
        async with open_fleet() as fleet:
            monkeypatch.setattr(StoreView, 'transact', transact)
            for _ in range(3):
                assert not await cancel(fleet)
            assert sum(part.startswith('j') for part in parts) == 1
            assert list_rows(fleet) == {
                (HOMES_TABLE, JOB),
                (Unit(0).jobs_table, f'{JOB}{CANCEL_SUFFIX}'),
            }

    run_virtual(run)


@pytest.mark.parametrize('is_killed', [False, True])
def test_rows_of_early_cancel_are_removed(run_virtual, is_killed):
    """A job that is submitted after that runs, also under another owner."""

    async def run():
        async with open_fleet(3) as fleet:
            await submit_late(fleet)
            assert not await cancel(fleet)
            await trio.sleep(SETTLE_S)
            if is_killed:
                fleet.kill_owner()
                await fleet.wait_owner()
            await trio.sleep(RETENTION_S - SETTLE_S - 5)
            assert list_rows(fleet)
            await trio.sleep(20)
            assert not list_rows(fleet)
            await fleet.submit()
            await fleet.wait_done(JOB)
            await trio.sleep(SETTLE_S)
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_rows_of_many_early_cancels_are_removed(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            intake = fleet.instances['i0'].intake
            for number in range(100):
                assert not await intake.cancel(f'{number:016x}', QUEUE, 3000)
            rows = fleet.platform.store.rows
            assert sum(row[0] == HOMES_TABLE for row in rows) == 100
            await trio.sleep(RETENTION_S + 20)
            assert not any(row[0] == HOMES_TABLE for row in rows)
            jobs_table = Unit(0).jobs_table
            keys = [row[2] for row in rows if row[0] == jobs_table]
            assert keys == [EPOCH_KEY]

    run_virtual(run)


@pytest.mark.parametrize('number', [0, 1])
def test_late_submit_to_any_unit_never_runs(run_virtual, number):
    async def run():
        async with open_fleet(3, 60, rack_size=12) as fleet:
            await trio.sleep(8)
            for instance in fleet.instances.values():
                assert number in instance.shell.units
                instance.shell.choose_unit = lambda request, service: number
            await submit_late(fleet)
            assert not await cancel(fleet, 'i1')
            await check_never_runs(fleet)

    run_virtual(run)


def test_accepted_job_is_cancelled_as_before(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            await fleet.submit(request=make_request(run_ms=LONG_MS))
            await fleet.wait_running()
            assert await cancel(fleet, 'i1')
            await fleet.wait_state(JOB, JobState.CANCELLED)
            assert await cancel(fleet, 'i0')

    run_virtual(run)
