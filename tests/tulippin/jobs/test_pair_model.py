"""What one owner learns, and what owners learn from each other."""

import random

import pytest

from tulippin.jobs import SchedulerConfig, make_state
from tulippin.jobs._memory import make_record, restore
from tulippin.jobs.pair_model import LEAST_VARIANCE, ImageModel, PairModel

TRUE = {'a': 0.0, 'b': 0.25, 'c': 0.1}


def teach(model, source, count, images=('a', 'b', 'c')):
    for _ in range(count):
        exposure = {image: source.uniform(0, 2) for image in images}
        excess = sum(TRUE[one] * used for one, used in exposure.items())
        excess += source.gauss(0, 0.05)
        model.learn('s', exposure, max(0.0, excess))


def test_owners_know_together_what_each_saw_alone():
    source = random.Random(1)
    first, second = PairModel(), PairModel()
    teach(first, source, 40, ('a',))
    teach(second, source, 40, ('b',))
    alone = first.get_spread('s', 'b')
    first.hear([second.images])
    assert first.get_weight('s', 'b') == pytest.approx(TRUE['b'], abs=0.04)
    assert first.get_spread('s', 'b') < alone / 2
    assert first.get_weight('s', 'a') == pytest.approx(0, abs=0.03)


def test_hearing_twice_counts_once():
    source = random.Random(2)
    first, second = PairModel(), PairModel()
    teach(second, source, 10)
    first.hear([second.images])
    once = first.get_spread('s', 'b')
    first.hear([second.images])
    assert first.get_spread('s', 'b') == once


def test_owners_that_know_nothing_tell_nothing():
    first = PairModel()
    before = first.get_bound('s', 'b')
    first.hear([PairModel().images])
    assert first.get_bound('s', 'b') == before


def test_two_owners_are_surer_than_each():
    source = random.Random(3)
    first, second = PairModel(), PairModel()
    teach(first, source, 10)
    teach(second, source, 10)
    alone = first.get_spread('s', 'b')
    first.hear([second.images])
    assert first.get_spread('s', 'b') < alone


def test_what_was_learned_outlives_the_owner():
    state = make_state(SchedulerConfig('i0', 'i0:1'))
    teach(state.model, random.Random(4), 30)
    state.lowest_tails_ms['s'] = 9.5
    state.run_times_ms['q'] = 1700.0
    successor = make_state(SchedulerConfig('i1', 'i1:1'))
    restore(make_record(state), successor)
    for image in TRUE:
        assert successor.model.get_weight('s', image) == pytest.approx(
            state.model.get_weight('s', image), abs=1e-4
        )
        assert successor.model.get_spread('s', image) == pytest.approx(
            state.model.get_spread('s', image), abs=1e-3
        )
    assert successor.lowest_tails_ms == {'s': 9.5}
    assert successor.run_times_ms == {'q': 1700.0}


def test_no_sample_leaves_less_doubt_than_a_tail_can_show():
    model = PairModel()
    for used in (1.0, 300.0, 30_000.0, 1e9):
        for _ in range(50):
            model.learn('web', {'batch': used, 'other': used}, 0.0)
        learned = model.images['web']
        assert learned.get_covariance('batch', 'batch') >= LEAST_VARIANCE
        assert learned.get_covariance('other', 'other') >= LEAST_VARIANCE


def test_certainty_that_is_heard_of_is_bounded():
    sure = ImageModel({'batch': 0.0}, {('batch', 'batch'): 0.0})
    model = PairModel()
    model.hear([{'web': sure}])
    assert model.get_spread('web', 'batch') >= LEAST_VARIANCE**0.5 / 2
    assert model.get_weight('web', 'batch') == 0
