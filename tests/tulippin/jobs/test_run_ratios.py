"""Distributions of run times as ratios to their predictions."""

import random

import pytest

from tulippin.jobs.run_ratios import MIN_RUNS, RunRatios


def make_ratios(values):
    ratios = RunRatios()
    for value in values:
        ratios.record(value)
    return ratios


def test_few_runs_say_nothing():
    """Guards against one odd run that decides on all that follow."""
    ratios = make_ratios([9.0] * (MIN_RUNS - 1))
    assert ratios.get_quantile(0.9) == 1
    assert ratios.get_expected(0.5) == 1
    assert ratios.get_expected(3.0) == 3


@pytest.mark.parametrize('share', [0.1, 0.5, 0.9, 0.97])
def test_quantiles_follow_the_runs(share):
    values = [number / 100 for number in range(1, 401)]
    random.Random(1).shuffle(values)
    found = make_ratios(values).get_quantile(share)
    assert found == pytest.approx(4 * share, rel=0.03)


def test_expected_ratio_is_the_mean_of_longer_runs():
    values = [1.0] * 97 + [6.0, 7.0, 8.0]
    ratios = make_ratios(values)
    assert ratios.get_expected(0.5) == pytest.approx(1.18, rel=0.02)
    assert ratios.get_expected(2.0) == pytest.approx(7.0, rel=0.02)
    assert ratios.get_expected(7.5) == pytest.approx(8.0, rel=0.02)


def test_run_longer_than_all_others_runs_on_for_its_age():
    ratios = make_ratios([1.0] * 100)
    assert ratios.get_expected(10.0) == 20


@pytest.mark.parametrize('value', [0.0, 1e-9, 1e9])
def test_extreme_ratios_are_limited(value):
    """Guards against a ValueError of the histogram for values out of range."""
    ratios = make_ratios([value] * MIN_RUNS)
    assert 0 < ratios.get_quantile(0.5) <= 64


def test_earlier_runs_are_forgotten():
    """Guards against a distribution that no longer fits the tasks."""
    ratios = make_ratios([1.0] * 2000 + [3.0] * 1100)
    assert ratios.get_quantile(0.1) == pytest.approx(3, rel=0.02)


def test_new_runs_change_an_earlier_summary():
    ratios = make_ratios([1.0] * MIN_RUNS)
    assert ratios.get_quantile(0.9) == pytest.approx(1, rel=0.02)
    for _ in range(MIN_RUNS):
        ratios.record(2.0)
    assert ratios.get_quantile(0.9) == pytest.approx(2, rel=0.02)
