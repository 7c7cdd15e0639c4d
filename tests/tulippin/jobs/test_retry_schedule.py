"""Times at which rejected callers are told to come back."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tulippin.jobs._retry_schedule import RetrySchedule, get_limit_share

NOW_MS = 100_400
LIMIT_CORE_MS = 1000.0


def book(schedule, core_ms=500.0, earliest_ms=0.0, latest_ms=10_000.0):
    return schedule.book(NOW_MS, core_ms, earliest_ms, latest_ms, LIMIT_CORE_MS)


def test_first_second_with_capacity_is_assigned():
    """Guards against callers that come back together, and more than fit."""
    schedule = RetrySchedule()
    assert [book(schedule) for _ in range(6)] == [1, 1, 2, 2, 3, 3]


def test_nobody_is_told_to_return_before_it_is_of_use():
    schedule = RetrySchedule()
    assert [book(schedule, earliest_ms=3200.0) for _ in range(3)] == [4, 4, 5]


def test_nobody_is_told_to_return_after_it_was_of_use():
    """Guards against a return whose time, from the first call, is over."""
    schedule = RetrySchedule()
    seconds = [book(schedule, latest_ms=3900.0) for _ in range(9)]
    assert max(seconds) == 3
    assert collections.Counter(seconds) == {1: 3, 2: 3, 3: 3}


def test_seconds_that_have_passed_are_dropped():
    """Guards against memory that grows with every rejection."""
    schedule = RetrySchedule()
    for second in range(100):
        schedule.book(second * 1000, 1.0, 0, 10_000, LIMIT_CORE_MS)
    assert len(schedule.booked) <= 11


@given(
    st.floats(-1e9, 1e9),
    st.floats(-1e9, 1e9),
    st.floats(0, 1e12),
    st.floats(0, 1e12),
)
def test_any_time_is_in_range(earliest_ms, latest_ms, core_ms, limit_core_ms):
    found = RetrySchedule().book(
        NOW_MS, core_ms, earliest_ms, latest_ms, limit_core_ms
    )
    assert isinstance(found, int)
    assert 1 <= found <= 10


@pytest.mark.parametrize('core_ms', [1.0, 50.0, 100.0])
def test_jobs_up_to_the_mean_may_use_a_whole_second(core_ms):
    assert get_limit_share(core_ms, 100.0) == 1


def test_jobs_with_less_value_for_their_work_return_later():
    shares = [get_limit_share(core_ms, 100.0) for core_ms in (100, 200, 400)]
    assert shares == sorted(shares, reverse=True)
    assert get_limit_share(800.0, 100.0) == pytest.approx(3.1 / 8)
    small, large = RetrySchedule(), RetrySchedule()
    assert [small.book(0, 250, 0, 9000, 1000) for _ in range(4)] == [1] * 4
    limit = 1000 * get_limit_share(250.0, 50.0)
    assert [large.book(0, 250, 0, 9000, limit) for _ in range(4)] != [1] * 4
