"""Callers' writes to a store that loses answers, is behind, or is silent."""

import random

import attrs
import pytest
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs._bounded_writes import transact_in_time
from tulippin.jobs._transactions import AnswerTimes
from tulippin.jobs._write_bounds import (
    CallRejectedError,
    Reason,
    StoreLoad,
    find_reason,
)
from tulippin.jobs.ports import (
    PartitionBehindError,
    RowCondition,
    RowPage,
    RowWrite,
    Transaction,
)
from tulippin.platform.standin_store import StandinStore

LIMIT_S = 2.7
WRITE = Transaction(
    'j0', (RowCondition('homes', 'a', 0),), (RowWrite('homes', 'a', b'ours'),)
)


@attrs.define
class ScriptedStore:
    """Treats each transaction as told; the last outcome repeats.

    `late` answers after 1.2 s, `lost` applies and does not answer, `dropped`
    does neither, `full` and `away` reject.
    """

    script: list
    store: StandinStore = attrs.field(factory=StandinStore)
    sent_s: list = attrs.field(factory=list)
    read_count: int = 0
    are_reads_lost: bool = False

    async def read_rows(self, table, part, first='', end=''):
        self.read_count += 1
        if self.are_reads_lost:
            raise AnswerLostError('lost')
        await trio.sleep(0.01)
        row = self.store.rows.get((table, part, first))
        return RowPage((row,) if row else (), self.store.version)

    async def transact(self, transaction, extra_wait_ms=0):
        self.sent_s.append(round(trio.current_time(), 3))
        await trio.sleep(0.01)
        number = min(len(self.sent_s), len(self.script)) - 1
        outcome = self.script[number]
        if outcome == 'full':
            raise PartitionBehindError('full')
        if outcome == 'away':
            raise UnavailableError('away')
        if outcome == 'late':
            await trio.sleep(1.2)
        if outcome != 'dropped':
            result = self.store.apply(transaction)
        if outcome in {'lost', 'dropped'}:
            await trio.sleep(0.9 + extra_wait_ms / 1000)
            raise AnswerLostError('lost')
        return result


@attrs.define
class Outcome:
    store: ScriptedStore
    load: StoreLoad
    result: object = None
    error: UnavailableError | None = None
    took_s: float = 0.0

    @property
    def is_stored(self):
        return bool(self.store.store.rows)


@pytest.fixture
def write(run_virtual):
    """Return a function that executes one transaction."""

    def run(
        *script,
        usual_s=0.005,
        limit_s=LIMIT_S,
        transaction=WRITE,
        seed=1,
        **more,
    ):
        store = ScriptedStore(list(script), **more)
        load = StoreLoad(AnswerTimes(), lambda: (usual_s,), random.Random(seed))
        outcome = Outcome(store, load)

        async def execute():
            began_s = trio.current_time()
            try:
                outcome.result, _ = await transact_in_time(
                    store, transaction, began_s + limit_s, load
                )
            except UnavailableError as error:
                outcome.error = error
            outcome.took_s = trio.current_time() - began_s

        run_virtual(execute)
        return outcome

    return run


def test_answered_write_is_sent_once(write):
    outcome = write('done')
    assert outcome.result.is_done
    assert len(outcome.store.sent_s) == 1
    assert not outcome.store.read_count


def test_own_write_is_recognized_after_a_lost_answer(write):
    outcome = write('lost', 'done')
    assert outcome.result.is_done
    assert outcome.took_s < 0.2


def test_two_lost_answers_are_resolved_by_a_read(write):
    """A third of the answers may be lost: one call in nine loses two."""
    outcome = write('lost')
    assert outcome.result.is_done
    assert outcome.took_s < 0.4
    assert len(outcome.store.sent_s) == 2
    assert outcome.store.read_count == 1


def test_two_lost_requests_are_repeated(write):
    outcome = write('dropped', 'dropped', 'done')
    assert outcome.result.is_done
    assert outcome.took_s < 0.9
    assert outcome.store.read_count == 1


def test_slow_answer_is_awaited_without_another_write(write):
    outcome = write('late', usual_s=0.6)
    assert outcome.result.is_done
    assert len(outcome.store.sent_s) == 1


def test_write_of_another_call_is_not_taken_for_own(write):
    store = StandinStore()
    store.write('homes', 'j0', 'a', b'theirs')
    outcome = write('dropped', 'done', store=store)
    assert not outcome.result.is_done


def test_write_that_never_arrives_has_an_unknown_outcome(write):
    """A read that finds nothing proves nothing: the write may be late."""
    outcome = write('dropped')
    assert type(outcome.error) is AnswerLostError
    assert outcome.took_s <= LIMIT_S
    assert find_reason(outcome.error) is Reason.OUTCOME_UNKNOWN


def test_lost_read_leaves_the_outcome_unknown(write):
    outcome = write('lost', are_reads_lost=True, usual_s=0.8)
    assert type(outcome.error) is AnswerLostError
    assert outcome.is_stored


@pytest.mark.parametrize('seed', range(20))
def test_part_that_is_behind_gets_few_more_writes(write, seed):
    outcome = write('full', usual_s=0.5, seed=seed)
    assert isinstance(outcome.error, CallRejectedError)
    assert outcome.error.reason is Reason.PART_BEHIND
    assert outcome.error.retry_after_s >= 2
    assert not outcome.is_stored
    assert len(outcome.store.sent_s) <= 2
    assert outcome.took_s < LIMIT_S - 0.5
    gaps_s = [
        later - sent
        for sent, later in zip(
            outcome.store.sent_s, outcome.store.sent_s[1:], strict=False
        )
    ]
    assert all(gap_s >= 0.5 for gap_s in gaps_s)


@pytest.mark.parametrize('seed', range(20))
def test_part_behind_in_a_fast_store_gets_few_more_writes(write, seed):
    """A wait as short as the response time would send tens of them."""
    outcome = write('full', seed=seed)
    assert outcome.error.reason is Reason.PART_BEHIND
    assert len(outcome.store.sent_s) <= 6


def test_part_that_catches_up_executes_the_write(write):
    outcome = write('full', 'done', usual_s=0.3)
    assert outcome.result.is_done
    assert len(outcome.store.sent_s) == 2


def test_full_queue_beside_a_lost_answer_is_no_rejection(write):
    outcome = write('lost', 'full', are_reads_lost=True, usual_s=0.1)
    assert type(outcome.error) is AnswerLostError
    assert outcome.is_stored


def test_unavailable_store_ends_the_call_early(write):
    outcome = write('away')
    assert outcome.error.reason is Reason.STORE_UNAVAILABLE
    assert outcome.took_s < LIMIT_S / 2


def test_call_without_enough_time_sends_nothing(write):
    outcome = write('done', usual_s=0.5, limit_s=0.4)
    assert outcome.error.reason is Reason.TOO_LITTLE_TIME
    assert not outcome.store.sent_s
    assert not outcome.took_s


def test_unanswered_attempts_raise_the_response_time(write):
    """Later calls to a silent store are rejected instead of ending in doubt."""
    outcome = write('dropped')
    assert outcome.load.times.usual_s > 0.2
