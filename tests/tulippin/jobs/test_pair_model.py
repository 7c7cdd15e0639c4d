"""The pair model: own samples, other owners' estimates, persistence."""

import random

import pytest

from tulippin.jobs import SchedulerConfig, make_state
from tulippin.jobs._model_store import make_record, restore
from tulippin.jobs.pair_model import MIN_VARIANCE, ImageModel, PairModel

TRUE_EXCESS = {'a': 0.0, 'b': 0.25, 'c': 0.1}


def add_samples(model, generator, count, images=('a', 'b', 'c')):
    for _ in range(count):
        exposure = {image: generator.uniform(0, 2) for image in images}
        excess = sum(TRUE_EXCESS[one] * used for one, used in exposure.items())
        excess += generator.gauss(0, 0.05)
        model.learn('s', exposure, max(0.0, excess))


def test_estimates_of_two_owners_are_combined():
    generator = random.Random(1)
    first, second = PairModel(), PairModel()
    add_samples(first, generator, 40, ('a',))
    add_samples(second, generator, 40, ('b',))
    alone = first.get_spread('s', 'b')
    first.update_peers([second.images])
    assert first.get_weight('s', 'b') == pytest.approx(
        TRUE_EXCESS['b'], abs=0.04
    )
    assert first.get_spread('s', 'b') < alone / 2
    assert first.get_weight('s', 'a') == pytest.approx(0, abs=0.03)


def test_repeated_peer_model_counts_once():
    generator = random.Random(2)
    first, second = PairModel(), PairModel()
    add_samples(second, generator, 10)
    first.update_peers([second.images])
    once = first.get_spread('s', 'b')
    first.update_peers([second.images])
    assert first.get_spread('s', 'b') == once


def test_empty_peer_model_changes_nothing():
    first = PairModel()
    before = first.get_bound('s', 'b')
    first.update_peers([PairModel().images])
    assert first.get_bound('s', 'b') == before


def test_peer_estimate_reduces_the_spread():
    generator = random.Random(3)
    first, second = PairModel(), PairModel()
    add_samples(first, generator, 10)
    add_samples(second, generator, 10)
    alone = first.get_spread('s', 'b')
    first.update_peers([second.images])
    assert first.get_spread('s', 'b') < alone


def test_next_owner_restores_the_model():
    state = make_state(SchedulerConfig('i0', 'i0:1'))
    add_samples(state.model, random.Random(4), 30)
    state.lowest_tails_ms['s'] = 9.5
    state.run_times_ms['q'] = 1700.0
    successor = make_state(SchedulerConfig('i1', 'i1:1'))
    restore(make_record(state), successor)
    for image in TRUE_EXCESS:
        assert successor.model.get_weight('s', image) == pytest.approx(
            state.model.get_weight('s', image), abs=1e-4
        )
        assert successor.model.get_spread('s', image) == pytest.approx(
            state.model.get_spread('s', image), abs=1e-3
        )
    assert successor.lowest_tails_ms == {'s': 9.5}
    assert successor.run_times_ms == {'q': 1700.0}


def test_variance_never_falls_below_its_minimum():
    model = PairModel()
    for used in (1.0, 300.0, 30_000.0, 1e9):
        for _ in range(50):
            model.learn('web', {'batch': used, 'other': used}, 0.0)
        learned = model.images['web']
        assert learned.get_covariance('batch', 'batch') >= MIN_VARIANCE
        assert learned.get_covariance('other', 'other') >= MIN_VARIANCE


def test_precision_of_peer_estimates_is_bounded():
    too_certain = ImageModel({'batch': 0.0}, {('batch', 'batch'): 0.0})
    model = PairModel()
    model.update_peers([{'web': too_certain}])
    assert model.get_spread('web', 'batch') >= MIN_VARIANCE**0.5 / 2
    assert model.get_weight('web', 'batch') == 0
