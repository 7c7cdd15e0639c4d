"""Policies, learned models, the schedule of trials and the comparison."""

import random

import attrs
import pytest

from tulippin.bundles import parse_bundle
from tulippin.codec_json import encode
from tulippin.plots import render_report
from tulippin.policies import (
    BestFitPolicy,
    Candidate,
    InterferenceModel,
    InterferencePolicy,
    LeastLoadedPolicy,
    RandomPolicy,
    choose_candidate,
)
from tulippin.sizes import SizeModel
from tulippin.stats import TrialStats, merge_reports
from tulippin.trial import get_policy, get_window
from tulippin.types import JobKind, JobSpec, Resources

CAPACITY = Resources(8000, 8000)
BATCH = JobSpec('b', 'team', job_class='noisy')
SERVICE = JobSpec('s', 'team', JobKind.SERVICE, 'alerts')
BUNDLE = parse_bundle(
    '[bundle]\nname = x\n[trial]\npolicies = a, b, c\nwindow_s = 10\n'
    'wash_out_s = 2\n[policy a]\nkind = random\n[policy b]\nkind = best_fit\n'
    '[policy c]\nkind = least_loaded\n'
)


def make_candidate(name, free, services=None, batch=None):
    return Candidate(
        name, CAPACITY, Resources(free, free), services or {}, batch or {}
    )


def choose(policy, spec, *candidates, model=None, seed=1):
    source = random.Random(seed)
    model = model or InterferenceModel()
    return choose_candidate(policy, spec, candidates, model, source).worker_id


def test_least_loaded_and_best_fit_are_opposites():
    pair = (make_candidate('empty', 8000), make_candidate('full', 1000))
    assert choose(LeastLoadedPolicy(), BATCH, *pair) == 'empty'
    assert choose(BestFitPolicy(), BATCH, *pair) == 'full'


def test_random_policy_reaches_every_candidate():
    pair = (make_candidate('one', 10), make_candidate('two', 10))
    chosen = {
        choose(RandomPolicy(), BATCH, *pair, seed=seed) for seed in range(20)
    }
    assert chosen == {'one', 'two'}


def test_no_candidate_is_chosen_without_candidates():
    model = InterferenceModel()
    assert (
        choose_candidate(RandomPolicy(), BATCH, (), model, random.Random(1))
        is None
    )


def test_interference_policy_separates_harmful_batch_from_services():
    model = InterferenceModel()
    for _ in range(50):
        model.learn('alerts', {'noisy': 1}, 1.9)
        model.learn('alerts', {'calm': 1}, 1.0)
    with_service = make_candidate('service', 8000, services={'alerts': 1})
    without = make_candidate('plain', 2000)
    policy = InterferencePolicy(explore_share=0)
    assert choose(policy, BATCH, with_service, without, model=model) == 'plain'
    calm = JobSpec('c', 'team', job_class='calm')
    chosen = choose(policy, calm, with_service, without, model=model)
    assert chosen == 'service'
    quiet = make_candidate('quiet', 2000, batch={'calm': 3})
    loud = make_candidate('loud', 8000, batch={'noisy': 2})
    assert choose(policy, SERVICE, quiet, loud, model=model) == 'quiet'


def test_slowdown_is_attributed_to_the_right_class():
    model = InterferenceModel()
    source = random.Random(2)
    for _ in range(600):
        batch = {'noisy': source.randrange(3), 'calm': source.randrange(3)}
        measured = 1 + 0.5 * batch['noisy'] + source.gauss(0, 0.05)
        model.learn('alerts', batch, measured)
    assert model.get_weight('alerts', 'noisy') == pytest.approx(0.5, abs=0.1)
    assert model.get_weight('alerts', 'calm') < 0.1


def test_weight_with_few_samples_is_shrunk_to_the_prior():
    model = InterferenceModel(prior=0.05)
    model.learn('alerts', {'noisy': 1}, 5.0)
    assert model.get_weight('alerts', 'noisy') < 1.0
    assert model.get_weight('alerts', 'unseen') == pytest.approx(0.05)


def test_size_quantile_ends_above_most_samples():
    sizes = SizeModel()
    source = random.Random(3)
    samples = [source.randrange(500, 1500) for _ in range(3000)]
    for sample in samples:
        sizes.learn('batch', Resources(sample, sample))
    learned = sizes.get_size('batch').cpu_millicores
    above = sum(sample > learned for sample in samples) / len(samples)
    assert 0.01 < above < 0.15
    assert sizes.get_size('unseen') == Resources()


def test_every_block_gives_each_policy_one_window():
    for block in range(30):
        names = [
            get_window(
                BUNDLE, 'cell', (block * 3 + position) * 10000
            ).policy_name
            for position in range(3)
        ]
        assert sorted(names) == ['a', 'b', 'c']


def test_cells_follow_different_schedules_and_wash_out():
    orders = {
        tuple(
            get_window(BUNDLE, f'cell-{cell}', index * 10000).policy_name
            for index in range(9)
        )
        for cell in range(10)
    }
    assert len(orders) > 5
    assert get_window(BUNDLE, 'cell', 11999).washing_out
    assert not get_window(BUNDLE, 'cell', 12000).washing_out


def test_stopped_policy_is_replaced():
    stopped = {'a', 'b'}
    names = {
        get_policy(BUNDLE, 'cell', index * 10000, stopped)[0]
        for index in range(9)
    }
    assert names == {'c'}


def make_stats(gap_ms, windows, seed=4):
    stats = TrialStats()
    source = random.Random(seed)
    for block in range(windows):
        for position, policy in enumerate(('a', 'b')):
            window = stats.get_window('cell', block * 3 + position, policy)
            latency = 10 + source.gauss(0, 1) + gap_ms * (policy == 'b')
            window.request_count = 10
            window.latency_sum_ms = latency * 10
            counts = stats.get_policy(policy)
            counts.request_count += 10
            for _ in range(10):
                counts.latency.record_value(int(latency * 1000))
    return encode(stats.make_report()).decode()


def compare(gap_ms, windows):
    comparison = merge_reports([make_stats(gap_ms, windows)], (), BUNDLE)
    return next(
        difference
        for difference in comparison.differences
        if difference.measure == 'service_latency_ms'
        and difference.second == 'b'
    )


def test_comparison_decides_only_with_enough_data():
    clear = compare(5, 30)
    assert clear.decided
    assert clear.low <= -5 + 1
    assert clear.high < 0
    equal = compare(0, 30)
    assert not equal.decided
    few = compare(5, 3)
    assert not few.decided


def test_weights_of_the_bundle_order_the_policies():
    tail = attrs.evolve(BUNDLE, tail_weight=1.0, throughput_weight=0.0)
    rows = merge_reports([make_stats(5, 30)], (), tail).rows
    costs = {row.policy: row.weighted_cost for row in rows}
    assert costs['a'] == 1.0
    assert costs['b'] > 1.2
    work = attrs.evolve(BUNDLE, tail_weight=0.0, throughput_weight=1.0)
    stats = TrialStats()
    stats.get_policy('a').done_count = 10
    stats.get_policy('b').done_count = 40
    body = encode(stats.make_report()).decode()
    rows = merge_reports([body], (), work).rows
    costs = {row.policy: row.weighted_cost for row in rows}
    assert costs == {'a': 4.0, 'b': 1.0}


def test_reports_of_instances_are_merged():
    part = make_stats(5, 10)
    one = merge_reports([part], (), BUNDLE)
    two = merge_reports([part, part], ('instance-3',), BUNDLE)
    assert two.rows[0].request_count == 2 * one.rows[0].request_count
    assert two.rows[0].p99_ms == one.rows[0].p99_ms
    assert 'instance-3' in render_report(two)
