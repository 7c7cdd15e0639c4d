"""Writes that the store refuses cost at most the job that they are for."""

import collections
import random
import types

import attrs
import pytest
import trio
from test_job_moves import open_homed

from scheduler_fleet import JOB, QUEUE, make_request, make_step, open_fleet
from tulippin.jobs._bounded_writes import transact_in_time
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._row_effects import _run_commit, _run_remove
from tulippin.jobs._transactions import AnswerTimes, transact_with_retries
from tulippin.jobs._write_bounds import StoreLoad
from tulippin.jobs.effects import CommitProgress, ProgressWrite, RemoveJobs
from tulippin.jobs.events import ProgressCommitted
from tulippin.jobs.layout import LayoutRecord
from tulippin.jobs.ports import (
    MAX_ROW_BYTES,
    RowCondition,
    RowWrite,
    Transaction,
    WriteRefusedError,
)
from tulippin.jobs.records import (
    ACCOUNTS_TABLE,
    LEASE_KEY,
    MODELS_TABLE,
    ROSTER_KEY,
    ProgressRecord,
    Unit,
)
from tulippin.jobs.state import Job, SchedulerConfig, SchedulerState
from tulippin.jobs.types import Incarnation, JobState
from tulippin.platform import standin_store
from tulippin.platform.standin_store import StandinStore

OTHER = '00000000000000bb'
LAST = '00000000000000cc'
# A refused write may be sent once more by a next owner, or with other content.
MAX_REFUSALS = 6
PROGRESS = 'progress0'
LARGE = 'x' * 40_000
INCOMPRESSIBLE = random.Random(0).randbytes(2 * MAX_ROW_BYTES).hex()


@pytest.fixture
def refuse(monkeypatch):
    """Have the store refuse chosen writes; returns how often it did."""
    counts = collections.Counter()

    def begin(is_refused):
        check_limits = standin_store.check_limits

        def check(transaction):
            check_limits(transaction)
            for write in transaction.writes:
                if write.value is not None and is_refused(write):
                    counts[write.table, write.key] += 1
                    raise WriteRefusedError('refused')

        monkeypatch.setattr(standin_store, 'check_limits', check)
        return counts

    return begin


async def run_others(fleet):
    """Submit further jobs, also later, and wait until they are done."""
    await fleet.submit(OTHER)
    await fleet.wait_done(OTHER, limit_s=5)
    await trio.sleep(3)
    await fleet.submit(LAST)
    await fleet.wait_done(LAST, limit_s=5)


def is_progress(write):
    return write.table == PROGRESS and write.key == JOB


def test_job_whose_progress_is_refused_fails_and_others_go_on(
    run_virtual, refuse
):
    counts = refuse(
        lambda write: is_progress(write) and b'"running"' in write.value
    )

    async def run():
        async with open_fleet() as fleet:
            await fleet.submit(request=make_request(make_step(4), run_ms=2000))
            await fleet.submit('00000000000000dd')
            await fleet.wait_state(JOB, JobState.FAILED, limit_s=5)
            await fleet.wait_done('00000000000000dd', limit_s=5)
            await run_others(fleet)
            owner = fleet.instances[fleet.get_owner()]
            assert 'refuses' in owner.state.jobs[JOB].reason
            assert not fleet.count_running()
            fleet.check()

    run_virtual(run)
    assert 0 < counts[PROGRESS, JOB] <= MAX_REFUSALS


def test_job_of_which_nothing_is_kept_is_withheld_and_others_go_on(
    run_virtual, refuse
):
    counts = refuse(is_progress)

    async def run():
        async with open_fleet() as fleet:
            await fleet.submit(request=make_request(make_step(4), run_ms=500))
            await run_others(fleet)
            owner = fleet.instances[fleet.get_owner()]
            assert owner.state.jobs[JOB].is_progress_unknown
            fleet.check()

    run_virtual(run)
    assert 0 < counts[PROGRESS, JOB] <= MAX_REFUSALS


def test_refused_roster_stops_neither_jobs_nor_commits(run_virtual, refuse):
    counts = refuse(
        lambda write: write.key == ROSTER_KEY and b'"w9"' in write.value
    )

    async def run():
        async with open_fleet() as fleet:
            await run_others(fleet)
            fleet.platform.add_worker('w9', labels=('a', 'r1'))
            await fleet.submit(request=make_request(make_step(4), run_ms=500))
            await fleet.wait_done(JOB, limit_s=5)
            await trio.sleep(10)
            fleet.check()

    run_virtual(run)
    assert 0 < sum(counts.values()) <= MAX_REFUSALS


@pytest.mark.parametrize('table', [ACCOUNTS_TABLE, MODELS_TABLE])
def test_unit_is_released_without_records_that_are_refused(
    run_virtual, refuse, table
):
    counts = refuse(lambda write: write.table == table)

    async def run():
        async with open_fleet() as fleet:
            await fleet.submit(request=make_request(make_step(2), run_ms=2500))
            await fleet.wait_running(2)
            owner = fleet.get_owner()
            await fleet.stop(owner)
            await fleet.wait_owner(limit_s=1)
            await fleet.wait_done(JOB, limit_s=12)
            fleet.check()

    run_virtual(run)
    assert counts


def test_unit_is_kept_with_a_lease_without_what_is_refused(run_virtual, refuse):
    counts = refuse(
        lambda write: (
            write.key == LEASE_KEY and b'"waiting":{}' not in write.value
        )
    )

    async def run():
        async with open_fleet(workers=1) as fleet:
            owner = fleet.get_owner()
            # More tasks than there is room for: one job waits.
            request = make_request(make_step(16), run_ms=4000)
            await fleet.submit(request=request)
            await fleet.submit(OTHER, request)
            await fleet.wait_done(OTHER, limit_s=20)
            assert fleet.get_owner() == owner
            fleet.check()

    run_virtual(run)
    assert counts


def test_job_whose_move_is_refused_fails_and_another_moves(run_virtual, refuse):
    counts = refuse(
        lambda write: write.key == JOB and b'"left_units"' in write.value
    )

    async def run():
        async with open_homed('hall0') as fleet:
            request = make_request(make_step(2))
            await fleet.submit(JOB, request)
            await fleet.submit(OTHER, request)
            await fleet.wait_done(OTHER, limit_s=6)
            await fleet.wait_state(JOB, JobState.FAILED, limit_s=5)
            await trio.sleep(5)
            fleet.check()

    run_virtual(run)
    assert 0 < sum(counts.values()) <= MAX_REFUSALS


# -- transactions -------------------------------------------------------------


@attrs.define
class CountingStore:
    """Counts what is sent to a store."""

    view: standin_store.StoreView
    sent: list = attrs.field(factory=list)

    async def transact(self, transaction, extra_wait_ms=0):
        self.sent.append(transaction)
        return await self.view.transact(transaction, extra_wait_ms)


def make_shell(store, posted):
    return types.SimpleNamespace(
        config=SchedulerConfig('i', 'i:1', Unit()),
        ports=types.SimpleNamespace(store=store),
        layout=LayoutRecord({}, job_parts=1),
        answer_times=AnswerTimes(),
        clock=lambda: 0,
        post=posted.append,
        start=None,
    )


def commit(run_virtual, reasons, ends=None):
    """Commit progress of a size for each job; return store and events."""
    posted = []
    store = CountingStore(StandinStore().get_view('i'))
    writes = tuple(
        ProgressWrite(job_id, ProgressRecord(JobState.FAILED, reason=reason), 0)
        for job_id, reason in reasons.items()
    )
    effect = CommitProgress(writes, ends or {}, 0)
    shell = make_shell(store, posted)
    run_virtual(lambda: _run_commit(effect, shell))
    return store, posted


def list_kept(store):
    return {key for _, _, key in store.view.store.rows}


def test_commit_is_split_within_the_limits_of_a_transaction(run_virtual):
    reasons = {f'{number:016x}': LARGE for number in range(45)}
    ends = {Incarnation('w0', 1): 7}
    store, posted = commit(run_virtual, reasons, ends)
    assert list_kept(store) == set(reasons)
    assert len(store.sent) == len(posted) == 3
    assert [event.is_partial for event in posted] == [True, True, False]
    # Ends are acknowledged once all progress is durable.
    assert [event.commit.ends for event in posted] == [{}, {}, ends]


@pytest.mark.parametrize('count', [1, 2, 45])
def test_refused_progress_is_committed_apart_from_that_of_others(
    run_virtual, count
):
    reasons = {f'{number:016x}': 'fine' for number in range(count)}
    refused = f'{count // 2:016x}'
    reasons[refused] = INCOMPRESSIBLE
    store, posted = commit(run_virtual, reasons, {Incarnation('w0', 1): 7})
    assert list_kept(store) == set(reasons) - {refused}
    assert [event.is_partial for event in posted][-1] is False
    assert posted[-1].refusals.keys() == {refused}
    assert not any(event.commit.ends for event in posted)
    assert not any(event.is_fenced for event in posted)
    written = {write.job_id for one in posted for write in one.commit.writes}
    assert written == set(reasons) - {refused}


def test_removal_of_many_jobs_is_split(run_virtual):
    store = CountingStore(StandinStore().get_view('i'))
    job_ids = tuple(f'{number:016x}' for number in range(30))
    for job_id in job_ids:
        store.view.store.write('jobs0', 'j0', job_id, b'{}')
        store.view.store.write(PROGRESS, 'u0', job_id, b'{}')
    effect = RemoveJobs(job_ids, 0, frozenset())
    run_virtual(lambda: _run_remove(effect, make_shell(store, [])))
    assert not store.view.store.rows


REFUSED = Transaction(
    'j0',
    (RowCondition('homes', 'a', 0),),
    (RowWrite('homes', 'a', b'x' * (MAX_ROW_BYTES + 1)),),
)


def test_refused_write_is_not_repeated(run_virtual):
    store = CountingStore(StandinStore().get_view('i'))

    async def run():
        with pytest.raises(WriteRefusedError):
            await transact_with_retries(store, REFUSED, 60)
        with pytest.raises(WriteRefusedError):
            await transact_in_time(
                store,
                REFUSED,
                trio.current_time() + 3,
                StoreLoad(AnswerTimes(), list, random.Random(1)),
            )

    run_virtual(run)
    assert len(store.sent) == 2


def test_final_state_is_committed_after_an_earlier_record_was_refused():
    state = SchedulerState(SchedulerConfig('i', 'i:1'))
    job = Job(JOB, QUEUE, make_request(), 1, state=JobState.COMPLETED)
    job.pending_progress = ProgressRecord(JobState.RUNNING)
    state.jobs[JOB] = job
    commit = CommitProgress((), {}, state.ownership.epoch_version)
    event = ProgressCommitted(1, commit, 1, refusals={JOB: 'too large'})
    handle(event, Context(state))
    assert JOB in state.dirty_jobs
    assert not job.is_progress_unknown
