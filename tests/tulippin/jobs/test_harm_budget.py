"""Which runs pause for missed targets, decided without workers or clocks."""

import pytest

from tulippin.jobs._harm_budget import (
    HarmBudget,
    Need,
    Neighbour,
    choose_resumed,
    choose_shed,
    compute_cost,
    compute_gain,
    has_long_met,
)
from tulippin.jobs.types import TaskKey

LIMIT_MS = 4000
START_MS = 100_000
# The pause of all runs takes effect and tails recover within this time.
RESERVE_MS = 1800


def make_id(name):
    return TaskKey(name, 0, 0, 0), 1


def make_neighbour(name, gain, *, ends_soon=False, **excesses):
    return Neighbour(make_id(name), gain, excesses, ends_soon)


def shed(needs, neighbours):
    found = choose_shed(needs, neighbours).neighbours
    return [one.run_id[0].job_id for one in found]


def read(budget, at_ms, *names, exposed_ms=START_MS, falling=()):
    missed = {make_id(name): 'web' for name in names}
    return budget.record(
        missed,
        at_ms,
        exposed_ms,
        falling=[make_id(name) for name in falling],
    )


def read_until(budget, until_ms, *names, every_ms=400):
    """Record readings every so often; return the time of the last one."""
    now_ms = START_MS
    read(budget, now_ms)
    while now_ms < until_ms:
        now_ms += every_ms
        read(budget, now_ms, *names)
    return now_ms


# -- what a miss costs and a run earns ----------------------------------------


def test_gain_falls_with_the_outcome_and_rises_towards_completion():
    assert compute_gain(2000, 1.0, 100, 100) == 2
    assert compute_gain(2000, 1.0, 100, 50) == 4
    assert compute_gain(2000, 0.15, 100, 100) == pytest.approx(0.3)
    assert compute_gain(2000, 0.0, 100, 100) == 0


# Guards against a job whose last task counts as more than all other jobs.
def test_gain_of_a_nearly_complete_job_is_limited():
    assert compute_gain(1000, 1.0, 1000, 0) == 4


def test_cost_grows_with_the_burn_rate():
    assert compute_cost(2000, 0.0) == 0
    assert compute_cost(2000, 1.0) == 2 * compute_cost(2000, 0.5) > 0


# -- the runs that pause ------------------------------------------------------


def test_run_with_the_most_excess_for_the_least_gain_pauses():
    neighbours = [
        make_neighbour('weak', 1.0, web=0.05),
        make_neighbour('strong', 1.0, web=0.3),
        make_neighbour('late', 0.15, web=0.3),
    ]
    assert shed([Need('web', 0.2, 5.0)], neighbours) == ['late']
    assert shed([Need('web', 0.5, 5.0)], neighbours) == ['late', 'strong']


# Guards against a pause of runs that disturb nothing.
def test_run_that_does_not_disturb_the_image_goes_on():
    neighbours = [
        make_neighbour('harmless', 0.0),
        make_neighbour('other', 0.0, feed=0.4),
        make_neighbour('cause', 1.0, web=0.3),
    ]
    assert shed([Need('web', 0.2, 5.0)], neighbours) == ['cause']


def test_run_that_earns_more_than_the_miss_costs_goes_on():
    neighbours = [make_neighbour('cause', 2.0, web=0.3)]
    assert not shed([Need('web', 0.2, 1.9)], neighbours)
    assert shed([Need('web', 0.2, 2.1)], neighbours) == ['cause']


def test_run_of_no_value_pauses_at_any_cost_of_the_miss():
    neighbours = [make_neighbour('worthless', 0.0, web=0.3)]
    assert shed([Need('web', 0.2, 0.01)], neighbours) == ['worthless']


def test_miss_near_the_limit_ends_at_any_price():
    neighbours = [make_neighbour('cause', 9.0, web=0.3)]
    need = Need('web', 0.2, 0.1, is_forced=True)
    assert shed([need], neighbours) == ['cause']


# Guards against a pause that takes effect after the run would have ended, and
# against further pauses for what ends by itself.
def test_run_that_ends_soon_is_left_to_end():
    ending = make_neighbour('ending', 0.1, ends_soon=True, web=0.3)
    other = make_neighbour('other', 0.1, web=0.3)
    assert not shed([Need('web', 0.25, 5.0)], [ending, other])
    assert shed([Need('web', 0.45, 5.0)], [ending, other]) == ['other']


# Guards against runs that pause although the target is missed all the same.
def test_runs_go_on_if_only_all_of_them_would_help_at_too_high_a_price():
    neighbours = [
        make_neighbour(str(number), 1.0, web=0.1) for number in range(4)
    ]
    assert not shed([Need('web', 0.35, 3.0)], neighbours)
    assert len(shed([Need('web', 0.35, 4.5)], neighbours)) == 4


def test_each_image_pauses_its_own_cause():
    neighbours = [
        make_neighbour('a', 1.0, web=0.3),
        make_neighbour('b', 1.0, feed=0.3),
    ]
    needs = [Need('web', 0.2, 5.0), Need('feed', 0.2, 0.5)]
    assert shed(needs, neighbours) == ['a']


def test_nothing_pauses_if_the_model_names_no_cause():
    need = Need('web', 0.2, 9.0, is_forced=True)
    assert not shed([need], [make_neighbour('other', 0.0)])
    assert not shed([], [make_neighbour('other', 0.0, web=0.3)])


# -- the runs that resume -----------------------------------------------------


def resume(paused, slack, disturbed=(), **options):
    options.setdefault('running_count', 0)
    found = choose_resumed(paused, slack, disturbed, **options)
    return [run_id[0].job_id for run_id in found]


def test_paused_runs_resume_one_by_one_with_the_slack():
    paused = [
        make_neighbour('a', 1.0, web=0.2),
        make_neighbour('b', 2.0, web=0.2),
        make_neighbour('c', 9.0, web=0.4),
    ]
    assert resume(paused, {'web': 0.3}) == ['b']
    assert not resume(paused, {'web': 0.1})


def test_run_waits_for_two_readings_of_the_images_that_it_disturbs():
    paused = [make_neighbour('a', 1.0, web=0.2)]
    assert not resume(paused, {'web': 0.3}, {'web'})
    assert resume(paused, {'web': 0.3}, {'feed'}) == ['a']


# Guards against runs that stay paused because an estimate is too high.
def test_run_resumes_against_the_model_if_tails_have_long_been_low():
    paused = [make_neighbour('a', 1.0, web=0.2)]
    assert resume(paused, {'web': 0.1}, ignores_slack=True) == ['a']
    assert not has_long_met(0, START_MS)
    assert not has_long_met(START_MS - 1000, START_MS)
    assert has_long_met(START_MS - 1500, START_MS)


# Guards against a miss of 7 s: the runs that the model took for harmless all
# resumed at once, and after each pause missed the same target again.
def test_runs_of_an_unknown_cause_resume_a_few_at_a_time():
    paused = [make_neighbour(str(number), 1.0) for number in range(7)]
    assert len(resume(paused, {}, running_count=0)) == 1
    assert len(resume(paused, {}, running_count=1)) == 2
    assert len(resume(paused, {}, running_count=3)) == 4
    assert not resume(paused, {}, {'web'}, running_count=3)


# -- the duration of misses ---------------------------------------------------


def test_burn_rate_is_the_share_of_the_window_that_is_missed():
    budget = HarmBudget()
    read_until(budget, START_MS + 800, 'a')
    burn_rate = budget.misses[make_id('a')].burn_rate
    assert burn_rate == pytest.approx(0.4)
    read_until(budget, START_MS + 8000, 'a')
    assert budget.misses[make_id('a')].burn_rate == 1
    read(budget, budget.read_ms + 400)
    assert budget.misses[make_id('a')].burn_rate == pytest.approx(0.8)


def test_miss_that_ends_and_recurs_is_timed_anew():
    budget = HarmBudget()
    now_ms = read_until(budget, START_MS + 2000, 'a')
    for _ in range(3):
        now_ms += 400
        read(budget, now_ms)
    assert not budget.misses
    read(budget, now_ms + 400, 'a')
    assert budget.get_longest_ms(now_ms + 400) == 400


# Guards against a miss that is timed anew because of one low reading.
def test_single_reading_below_the_target_does_not_end_a_miss():
    budget = HarmBudget()
    now_ms = read_until(budget, START_MS + 1600, 'a')
    read(budget, now_ms + 400)
    assert not budget.must_pause_all(now_ms + 400, LIMIT_MS)
    read(budget, now_ms + 800, 'a')
    assert budget.must_pause_all(now_ms + 800, LIMIT_MS)


# Guards against a miss that counts as over while users still see it: the
# current tail is low right after a pause, the one over half a second is not.
def test_falling_tail_does_not_end_a_miss():
    budget = HarmBudget()
    now_ms = read_until(budget, START_MS + 2400, 'a')
    for _ in range(3):
        now_ms += 400
        read(budget, now_ms, falling=['a'])
    assert not budget.must_pause_all(now_ms, LIMIT_MS)
    assert budget.list_disturbed(now_ms) == {'web'}
    read(budget, now_ms + 400, 'a')
    assert budget.must_pause_all(now_ms + 400, LIMIT_MS)


# Guards against alternating short misses of different tasks that add up to
# one long miss of the worker.
def test_each_task_has_its_own_clock():
    budget = HarmBudget()
    read(budget, START_MS)
    for number in range(1, 20):
        now_ms = START_MS + number * 400
        read(budget, now_ms, 'a' if number % 8 < 4 else 'b')
        assert not budget.must_pause_all(now_ms, LIMIT_MS)


@pytest.mark.parametrize('every_ms', [400, 1000])
@pytest.mark.parametrize('limit_ms', [3000, 4000, 4500])
def test_all_runs_pause_in_time_whatever_the_age_of_reports(every_ms, limit_ms):
    budget = HarmBudget()
    read(budget, START_MS)
    now_ms = START_MS
    # The miss begins right after the first reading.
    while not budget.must_pause_all(now_ms, limit_ms):
        now_ms += 50
        if not (now_ms - START_MS) % every_ms:
            read(budget, now_ms, 'a')
    assert now_ms - START_MS <= limit_ms - RESERVE_MS + 50


def test_miss_is_forced_to_end_before_all_runs_have_to_pause():
    budget = HarmBudget()
    now_ms = read_until(budget, START_MS + 1200, 'a')
    assert not budget.is_forced(make_id('a'), now_ms, LIMIT_MS)
    assert budget.is_forced(make_id('a'), now_ms + 400, LIMIT_MS)
    assert not budget.must_pause_all(now_ms + 400, LIMIT_MS)


# Guards against a miss that is timed from the first report after a takeover.
def test_first_reading_counts_from_the_time_of_exposure():
    budget = HarmBudget()
    read(budget, START_MS, 'a', exposed_ms=START_MS - LIMIT_MS)
    assert budget.must_pause_all(START_MS, LIMIT_MS)
    budget.reset()
    read(budget, START_MS, 'a', exposed_ms=START_MS - 300)
    assert not budget.must_pause_all(START_MS, LIMIT_MS)
