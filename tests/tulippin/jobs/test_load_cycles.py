"""Prediction of loads from load cycles."""

import math
import random

import pytest

from tulippin.jobs.load_cycles import LoadCycleModel, Wave

PERIOD_MS = 14_000


def get_load(phase, at_ms, period_ms=PERIOD_MS):
    return 0.45 + 0.22 * math.sin(2 * math.pi * at_ms / period_ms + phase)


def add_loads(model, jobs, until_ms, *, since_ms=0, noise=0.06, period_ms=None):
    generator = random.Random(3)
    for at_ms in range(since_ms, until_ms, 400):
        for phase in range(jobs):
            load = get_load(phase, at_ms, period_ms or PERIOD_MS)
            seen = load + generator.gauss(0, noise)
            model.learn(f'job-{phase}', at_ms, seen, 1.0)
        model.choose_period(at_ms)


def get_errors(model, jobs, at_ms, period_ms=PERIOD_MS):
    return [
        abs(
            model.predict_load(f'job-{phase}', at_ms)
            - get_load(phase, at_ms, period_ms)
        )
        for phase in range(jobs)
    ]


def test_load_is_predicted_seconds_ahead():
    model = LoadCycleModel()
    add_loads(model, 5, 20_000)
    for ahead_ms in (0, 1000, 3000):
        assert max(get_errors(model, 5, 20_000 + ahead_ms)) < 0.07
    assert model.period_ms == pytest.approx(PERIOD_MS, rel=0.06)


def test_nothing_is_predicted_before_most_of_a_period():
    model = LoadCycleModel()
    add_loads(model, 5, 3000)
    assert model.predict_load('job-0', 4000) is None
    assert model.predict_load('unknown', 4000) is None


def test_new_job_is_predicted_after_a_third_of_a_period():
    model = LoadCycleModel()
    add_loads(model, 5, 20_000)
    for at_ms in range(20_000, 25_000, 400):
        model.learn('new', at_ms, get_load(1.0, at_ms), 1.0)
    error = abs(model.predict_load('new', 26_000) - get_load(1.0, 26_000))
    assert error < 0.08


def test_steady_load_is_predicted_as_steady():
    model = LoadCycleModel()
    generator = random.Random(1)
    for at_ms in range(0, 30_000, 400):
        model.learn('job', at_ms, 0.3 + generator.gauss(0, 0.02), 1.0)
        model.choose_period(at_ms)
    assert model.predict_load('job', 31_000) == pytest.approx(0.3, abs=0.03)


def test_noise_is_not_fitted_as_a_cycle():
    model = LoadCycleModel()
    generator = random.Random(1)
    for at_ms in range(0, 30_000, 400):
        model.learn('job', at_ms, generator.uniform(0, 1), 1.0)
        model.choose_period(at_ms)
    assert model.predict_load('job', 31_000) is None


def test_changed_period_is_followed():
    model = LoadCycleModel()
    add_loads(model, 5, 30_000)
    add_loads(model, 5, 130_000, since_ms=30_000, period_ms=9000)
    assert max(get_errors(model, 5, 131_000, 9000)) < 0.1


def test_restored_cycle_is_predicted_with_another_clock():
    model = LoadCycleModel()
    add_loads(model, 5, 40_000)
    offset_ms = 1_700_000_003_217
    angle = model.get_angle(offset_ms)
    waves = {
        job_id: model.get_wave(job_id).rotate(angle) for job_id in model.swings
    }
    other = LoadCycleModel()
    # The successor's clock began 33 s later.
    other_offset_ms = offset_ms + 33_000
    other.adopt_period(model.period_ms, model.mean, 7000)
    other_angle = other.get_angle(other_offset_ms)
    for job_id, wave in waves.items():
        other.restore(job_id, wave.rotate(-other_angle), 7000)
    for phase in range(5):
        predicted = other.predict_load(f'job-{phase}', 8000)
        assert predicted == pytest.approx(get_load(phase, 41_000), abs=0.08)


def test_restored_cycle_adapts_to_new_samples():
    model = LoadCycleModel()
    model.adopt_period(PERIOD_MS, 0.45, 0)
    model.restore('job-0', Wave(0.45, -0.2, 0.1), 0)
    add_loads(model, 3, 60_000)
    assert max(get_errors(model, 3, 61_000)) < 0.1
