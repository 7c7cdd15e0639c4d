"""When a caller's write is sent, repeated, read back and given up."""

import math
import random

import attrs
import pytest

from tulippin.jobs._transactions import AnswerTimes
from tulippin.jobs._write_bounds import (
    Action,
    Decision,
    Reason,
    ResponseTime,
    StoreLoad,
    WriteAttempts,
    list_reported_s,
)
from tulippin.jobs.records import LeaseRecord

DEADLINE_S = 102.7
FAST = ResponseTime(0.005, 0.001)
SLOW = ResponseTime(0.5, 0.1)


def make_attempts(sent_s=(), **fields):
    attempts = WriteAttempts(100.0, DEADLINE_S, **fields)
    for at_s in sent_s:
        attempts.note_sent(at_s)
    return attempts


def test_write_is_sent_at_once_if_time_allows():
    assert make_attempts().decide(100.0, SLOW) == Decision(Action.SEND)


def test_late_write_is_rejected_before_anything_is_sent():
    """It would be answered after its caller has gone, with 504."""
    attempts = make_attempts()
    assert attempts.decide(DEADLINE_S - 0.55, SLOW).action is Action.GIVE_UP
    assert attempts.get_reason(SLOW) is Reason.TOO_LITTLE_TIME
    assert attempts.decide(DEADLINE_S - 0.55, FAST).action is Action.SEND


def test_queue_of_the_part_counts_as_time_needed():
    behind = attrs.evolve(SLOW, queue_s=1.0)
    attempts = make_attempts()
    assert attempts.decide(DEADLINE_S - 1.5, SLOW).action is Action.SEND
    assert attempts.decide(DEADLINE_S - 1.5, behind).action is Action.GIVE_UP
    assert attempts.get_reason(behind) is Reason.PART_BEHIND
    assert behind.retry_after_s == 2


@pytest.mark.parametrize(
    ('response', 'hedge_s'), [(FAST, 100.15), (SLOW, 101.5)]
)
def test_parallel_attempt_follows_after_three_response_times(response, hedge_s):
    attempts = make_attempts([100.0])
    found = attempts.decide(hedge_s - 0.01, response)
    assert found.action is Action.WAIT
    assert found.until_s == pytest.approx(hedge_s)
    assert attempts.decide(hedge_s + 0.01, response).action is Action.SEND


def test_there_are_at_most_two_parallel_attempts():
    attempts = make_attempts([100.0, 100.15, 100.75])
    assert attempts.hedge_count == 2
    actions = [
        attempts.decide(100 + tenth / 10, FAST).action for tenth in range(8, 27)
    ]
    assert Action.SEND not in actions


def test_no_parallel_attempt_is_sent_too_late():
    late = make_attempts([101.0])
    assert late.decide(102.4, SLOW).action is not Action.SEND


def test_no_parallel_attempt_joins_a_full_queue():
    """It would only delay the attempt that is in the queue already."""
    attempts = make_attempts([100.0, 100.2])
    attempts.note_full(100.3, FAST, jitter=0.5)
    # A read that is due would hide whether an attempt is.
    attempts.has_read_early = True
    actions = [
        attempts.decide(100 + tenth / 10, FAST).action for tenth in range(4, 27)
    ]
    assert Action.SEND not in actions


@pytest.mark.parametrize('jitter', [0.0, 0.99])
def test_attempt_after_a_full_queue_waits_for_a_response_time(jitter):
    attempts = make_attempts([100.0])
    attempts.note_full(100.3, SLOW, jitter)
    found = attempts.decide(100.3, SLOW)
    assert found.action is Action.WAIT
    assert 100.3 + 0.5 <= found.until_s <= 100.3 + 1.0
    assert attempts.decide(found.until_s, SLOW).action is Action.SEND


def test_wait_for_a_full_queue_is_doubled_up_to_the_length_of_the_queue():
    attempts = make_attempts([100.0])
    waits_s = []
    for _ in range(8):
        attempts.note_full(100.3, FAST, jitter=0.0)
        waits_s.append(attempts.not_before_s - 100.3)
    assert waits_s[:3] == pytest.approx([0.04, 0.08, 0.16])
    assert waits_s[-2:] == pytest.approx([1.0, 1.0])


def test_full_queue_without_time_for_another_attempt_ends_the_call():
    """The call isn't held until its deadline, and its 503 is true."""
    attempts = make_attempts([101.0])
    behind = attrs.evolve(SLOW, queue_s=1.0)
    attempts.note_full(101.3, behind, jitter=0.5)
    assert attempts.decide(101.3, behind).action is Action.GIVE_UP
    assert attempts.get_reason(behind) is Reason.PART_BEHIND


@pytest.mark.parametrize('limit_s', [2.7, 600])
def test_store_that_rejects_everything_leaves_time_for_another_call(limit_s):
    """No call is held until its deadline."""
    attempts = WriteAttempts(100.0, 100 + limit_s)
    now_s = 100.0
    while attempts.decide(now_s, FAST).action is not Action.GIVE_UP:
        if attempts.decide(now_s, FAST).action is Action.SEND:
            attempts.note_sent(now_s)
            attempts.note_rejected(now_s)
        now_s += 0.01
    assert 100.5 < now_s < 101.2
    assert attempts.sent_count > 3
    assert attempts.get_reason(FAST) is Reason.STORE_UNAVAILABLE


def test_lost_answer_is_repeated_while_time_allows():
    attempts = make_attempts([100.0])
    attempts.note_lost(100.9)
    assert attempts.decide(101.0, SLOW).action is Action.SEND


def test_lost_answer_is_read_back_if_no_time_is_left_to_repeat():
    attempts = make_attempts([100.0])
    attempts.note_lost(102.2)
    assert attempts.decide(102.3, SLOW).action is Action.READ_BACK
    attempts.note_read_back(102.3, SLOW)
    attempts.is_reading = False
    assert attempts.decide(102.6, SLOW).action is Action.GIVE_UP
    assert attempts.get_reason(SLOW) is Reason.OUTCOME_UNKNOWN


def test_unanswered_write_is_read_back_once_near_the_deadline():
    attempts = make_attempts([101.9])
    now_s, reads = 101.9, []
    while now_s < DEADLINE_S:
        if attempts.decide(now_s, SLOW).action is Action.READ_BACK:
            reads.append(now_s)
            attempts.note_read_back(now_s, SLOW)
            attempts.is_reading = False
        now_s += 0.01
    assert len(reads) == 1
    assert 102.1 <= reads[0] <= 102.4


def test_second_parallel_attempt_follows_a_read():
    """If answers are lost, the read finds the row without another write."""
    attempts = make_attempts([100.0, 100.15])
    assert attempts.decide(100.2, FAST).action is Action.WAIT
    assert attempts.decide(100.31, FAST).action is Action.READ_BACK
    attempts.note_read_back(100.31, FAST)
    attempts.is_reading = False
    assert attempts.decide(100.7, FAST).action is Action.WAIT
    assert attempts.decide(100.76, FAST).action is Action.SEND
    attempts.note_sent(100.76)
    assert attempts.decide(102.0, FAST).action is Action.WAIT
    assert attempts.decide(102.69, FAST).action is Action.READ_BACK


def test_open_attempt_is_never_reported_as_not_run():
    attempts = make_attempts([100.0, 100.2])
    attempts.note_rejected(100.3)
    assert attempts.decide(DEADLINE_S, FAST).action is Action.GIVE_UP
    assert attempts.get_reason(FAST) is Reason.OUTCOME_UNKNOWN


def test_slow_store_has_more_time_to_answer():
    """Otherwise a write that was executed counts as lost after 0.9 s."""
    attempts = make_attempts()
    assert attempts.get_answer_limit_s(100.0, FAST) == 0.9
    assert attempts.get_answer_limit_s(100.0, SLOW) == pytest.approx(2.4)
    assert attempts.get_answer_limit_s(102.0, SLOW) == pytest.approx(0.7)


def test_response_time_is_measured_over_all_calls_of_all_instances():
    """An instance without a unit writes too rarely to know it itself."""
    times = AnswerTimes()
    load = StoreLoad(times, lambda: (0.2, 0.4, 0.3), random.Random(1))
    assert load.get_response_time(10.0).usual_s == 0.3
    for at_s in range(20):
        times.note(0.6, at_s / 10)
    assert load.get_response_time(2.0).usual_s == pytest.approx(0.6, 0.01)
    assert load.get_response_time(2.0).spread_s < 0.1


def test_old_response_times_reject_no_call():
    """A store that recovers would otherwise get no call that shows it."""
    times = AnswerTimes()
    times.note(30.0, 5.0)
    load = StoreLoad(times, lambda: (), random.Random(1))
    assert load.get_response_time(6.0).needed_s > 5
    assert load.get_response_time(7.5).needed_s == 0


def test_queue_of_a_part_is_remembered_until_it_can_be_empty():
    load = StoreLoad(AnswerTimes(), lambda: (), random.Random(1))
    load.note_full('j1', 10.0)
    assert load.get_response_time(10.0, 'j1').queue_s == 1.0
    assert load.get_response_time(11.0, 'j1').queue_s == 0.5
    assert load.get_response_time(12.5, 'j1').queue_s == 0
    assert load.get_response_time(10.0, 'j2').queue_s == 0
    load.note_answer('j1', 9.5)
    assert load.get_response_time(10.0, 'j1').queue_s == 1.0
    load.note_answer('j1', 10.5)
    assert load.get_response_time(10.5, 'j1').queue_s == 0


@attrs.define
class Unit:
    lease: LeaseRecord | None
    lease_seen_ms: int = 9000
    is_owner: bool = False


def test_only_fresh_leases_of_other_owners_tell_the_response_time():
    lease = LeaseRecord('s', 'i', answer_ms=300)
    units = {
        0: Unit(lease),
        1: Unit(lease, lease_seen_ms=7000),
        2: Unit(lease, is_owner=True),
        3: Unit(None),
        4: Unit(LeaseRecord('s', 'i')),
    }
    assert list_reported_s(units, lambda: 10_000) == [0.3]


def test_unknown_response_time_delays_no_call():
    load = StoreLoad(AnswerTimes(), lambda: (), random.Random(1))
    found = load.get_response_time(0.0)
    assert found == ResponseTime()
    assert make_attempts().decide(DEADLINE_S - 0.01, found) == Decision(
        Action.SEND, math.inf
    )
