"""Tests of retried transactions and of ends that are reported twice."""

import types

import attrs
import pytest
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs import _attempts
from tulippin.jobs._dispatch import Context
from tulippin.jobs._row_effects import _run_commit, _run_roster
from tulippin.jobs._transactions import AnswerTimes, transact_with_retries
from tulippin.jobs.effects import CommitProgress, CommitRoster, ProgressWrite
from tulippin.jobs.ports import RowCondition, RowWrite, Transaction
from tulippin.jobs.records import ProgressRecord, RosterRecord
from tulippin.jobs.state import Job, SchedulerConfig, SchedulerState, Worker
from tulippin.jobs.types import (
    EndedRun,
    JobRequest,
    JobState,
    Queue,
    RunOutcome,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.platform.standin_store import StandinStore
from tulippin.types import Resources

TRANSACTION = Transaction(
    'p', (RowCondition('t', 'k', 0),), (RowWrite('t', 'k', b'ours'),)
)


@attrs.define
class FirstAnswerLost:
    """Applies the first transaction and loses its answer."""

    store: StandinStore
    call_count: int = 0

    async def transact(self, transaction):
        self.call_count += 1
        result = self.store.apply(transaction)
        if self.call_count == 1:
            raise AnswerLostError('lost')
        return result


def test_own_write_is_recognized_after_lost_answer(run_virtual):
    store = StandinStore()

    async def run():
        view = FirstAnswerLost(store)
        return await transact_with_retries(view, TRANSACTION, 5.0)

    result = run_virtual(run)
    assert result.is_done
    assert result.version == store.rows['t', 'p', 'k'].version


def test_write_of_another_is_not_taken_for_own(run_virtual):
    store = StandinStore()

    async def run():
        view = FirstAnswerLost(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_other)
            return await transact_with_retries(view, TRANSACTION, 5.0)

    async def write_other():
        await trio.sleep(0.01)
        store.write('t', 'p', 'k', b'theirs')

    assert not run_virtual(run).is_done


async def send_late(store):
    store.trouble.late_write_share = 1.0
    store.trouble.late_clients = {'a'}
    with pytest.raises(AnswerLostError):
        await store.get_view('a').transact(TRANSACTION)


def test_late_write_is_applied_seconds_after_timeout(run_virtual):
    store = StandinStore()

    async def run():
        await send_late(store)
        assert not store.rows
        await trio.sleep(6)
        assert store.rows['t', 'p', 'k'].value == b'ours'

    run_virtual(run)


def test_late_write_with_failed_condition_is_not_applied(run_virtual):
    store = StandinStore()
    theirs = attrs.evolve(TRANSACTION, writes=(RowWrite('t', 'k', b'theirs'),))

    async def run():
        await send_late(store)
        result = await store.get_view('b').transact(theirs)
        assert result.is_done
        await trio.sleep(6)
        assert store.rows['t', 'p', 'k'].value == b'theirs'

    run_virtual(run)


def test_failed_end_reported_twice_counts_once():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=1000)
    queue = Queue('q', 'h', '/q/', 's', max_attempts=2)
    job = Job('a', queue, JobRequest('', (Step(1),)), 1)
    job.remaining[0, 0] = 1
    state.jobs['a'] = job
    worker = Worker(WorkerEntry('w', 's', 'x', 'z', Resources(1000, 1000)))
    key = TaskKey('a', 0, 0, 0)
    for number in (4, 5):
        ended = EndedRun(number, key, 7, RunOutcome.FAILED, '')
        _attempts.apply_end(worker, ended, Context(state))
    assert job.state is not JobState.FAILED
    other = EndedRun(6, key, 8, RunOutcome.FAILED, '')
    _attempts.apply_end(worker, other, Context(state))
    assert job.state is JobState.FAILED


@attrs.define
class BusyStore:
    """Answers the first transaction late, and rejects others meanwhile."""

    store: StandinStore
    call_count: int = 0

    async def transact(self, transaction):
        self.call_count += 1
        if self.call_count > 1:
            raise UnavailableError('the partition is busy')
        await trio.sleep(1.2)
        return self.store.apply(transaction)


def test_retries_to_busy_store_are_limited(run_virtual):
    view = BusyStore(StandinStore())
    result = run_virtual(transact_with_retries, view, TRANSACTION, 5.0)
    assert result.is_done
    assert view.call_count <= 5


def test_observed_answer_time_raises_wait():
    times = AnswerTimes()
    times.expect(0.2)
    assert times.wait_s >= 0.2
    times.expect(0.0)
    assert times.wait_s >= 0.2


@attrs.define
class UnavailableStore:
    """Rejects all transactions until a given time."""

    store: StandinStore
    until_s: float

    async def transact(self, transaction):
        if trio.current_time() < self.until_s:
            raise UnavailableError('the store is unavailable')
        return self.store.apply(transaction)


@pytest.mark.parametrize('hours', [0.1, 3])
def test_commit_is_retried_through_outage_of_hours(run_virtual, hours):
    """A commit is retried for hours, as nothing is durable without it."""
    posted = []

    async def run():
        store = UnavailableStore(StandinStore(), hours * 3600)
        shell = types.SimpleNamespace(
            config=SchedulerConfig('i', 'i:1'),
            ports=types.SimpleNamespace(store=store),
            answer_times=AnswerTimes(),
            clock=lambda: 0,
            post=posted.append,
        )
        write = ProgressWrite('a', ProgressRecord(JobState.RUNNING), 0)
        await _run_commit(CommitProgress((write,), {}, 0), shell)
        await _run_roster(CommitRoster(RosterRecord({}), 0, 0), shell)

    run_virtual(run)
    assert [event.is_fenced for event in posted] == [False, False]
