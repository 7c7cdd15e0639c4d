"""What callers get from an overloaded unit, with progress_order off and on.

Each load is played on both settings with the same jobs at the same times. A
single play of some 80 jobs says little, so values are compared over several,
and the few largest jobs over all loads. A play is deterministic, and is shared
by the tests that need it.
"""

import statistics

import pytest

from overload_play import Load, play

# Part of the possible value by which plays of one load differ by chance: the
# due time of a single job decides on up to 0.05 of a play.
CHANCE = 0.02
SEEDS = (1, 2, 3)
OVERLOAD = Load(patient_load=1.4)
BURST = Load(burst_factor=2.6)
HEAVY_TAILS = Load(patient_load=0.95, slow_share=0.03)
TWO_QUEUES = Load(patient_load=0.8, urgent_load=0.35, burst_factor=2.0)
BURST_BESIDE_SERVICE = Load(
    patient_load=0.6, burst_factor=2.6, has_service=True
)

BURST_WITH_STRAGGLERS = Load(
    patient_load=0.8,
    urgent_load=0.1,
    burst_factor=2.6,
    slow_share=0.03,
    has_service=True,
)


@pytest.fixture(scope='module')
def known_outcomes():
    return {}


@pytest.fixture
def play_both(run_virtual, known_outcomes):
    """Return a function that plays a load with the setting off and on."""

    def compare(load):
        outcomes = []
        for is_on in (False, True):
            key = load, is_on
            if key not in known_outcomes:
                known_outcomes[key] = [
                    play(run_virtual, load, is_on=is_on, seed=seed)
                    for seed in SEEDS
                ]
            outcomes.append(known_outcomes[key])
        return outcomes

    return compare


def get_mean(outcomes, **options):
    return statistics.mean(one.get_value(**options) for one in outcomes)


def test_more_work_than_fits_earns_more(play_both):
    """Guards against many begun jobs of which few are completed in time."""
    off, on = play_both(OVERLOAD)
    assert get_mean(on) > get_mean(off)


def test_burst_on_a_full_unit_earns_more(play_both):
    """Guards against a burst whose backlog makes all later jobs late too."""
    off, on = play_both(BURST)
    assert get_mean(on) > get_mean(off)


def test_burst_beside_tasks_with_targets_earns_no_less(play_both):
    """Guards against an order that only helps where nothing is disturbed."""
    off, on = play_both(BURST_BESIDE_SERVICE)
    assert get_mean(on) >= get_mean(off) - CHANCE


def test_heavy_tails_do_not_make_other_jobs_late(play_both):
    """Guards against an order that takes stragglers' jobs for late ones."""
    off, on = play_both(HEAVY_TAILS)
    assert get_mean(on) >= get_mean(off) - CHANCE


def test_burst_with_stragglers_beside_urgent_work_earns_no_less(play_both):
    """Guards against begun jobs that hold back all others under a burst."""
    off, on = play_both(BURST_WITH_STRAGGLERS)
    assert get_mean(on) >= get_mean(off) - CHANCE


def test_patient_queue_does_not_cost_an_urgent_one(play_both):
    """Guards against begun patient jobs that go before urgent ones."""
    off, on = play_both(TWO_QUEUES)
    assert get_mean(on, is_urgent=True) >= get_mean(off, is_urgent=True)
    assert get_mean(on) >= get_mean(off) - CHANCE


def test_largest_jobs_are_served_no_worse(play_both):
    """Guards against an order that earns by small jobs alone."""
    loads = (OVERLOAD, BURST, HEAVY_TAILS, TWO_QUEUES)
    off, on = zip(*map(play_both, loads), strict=True)
    off_value, on_value = (
        statistics.mean(
            one.get_value_of_largest() for plays in outcomes for one in plays
        )
        for outcomes in (off, on)
    )
    assert on_value >= off_value


def test_all_accepted_jobs_are_completed(play_both):
    """Guards against work of no value that is never completed."""
    for plays in play_both(OVERLOAD):
        for outcome in plays:
            assert len(outcome.ended_ms) == len(outcome.jobs)


@pytest.mark.parametrize('is_on', [False, True])
def test_starts_are_counted_by_lateness(run_virtual, *, is_on):
    outcome = play(run_virtual, Load(seconds=4), is_on=is_on)
    assert ('starts_in_time' in outcome.counters) is is_on
