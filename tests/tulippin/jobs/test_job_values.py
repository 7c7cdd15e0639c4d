"""The value of a job follows its work, within limits."""

import pytest

from tulippin.jobs.job_values import compute_value


def test_job_of_mean_work_has_unit_value():
    assert compute_value(1.0) == pytest.approx(1.0)


def test_smallest_job_keeps_a_part_of_the_value():
    """Guards against small jobs that an order by value would never start."""
    assert compute_value(0.0) > 0.25


def test_very_large_job_does_not_outweigh_all_others():
    """Guards against one wide job that holds back the rest of its queue."""
    assert compute_value(1000.0) == compute_value(4.0) < 4.0
