"""Persisted models keep small variances and are not replaced by empty ones.

Guards against a new owner without a model because its predecessor's row is
rejected: variances were persisted with five decimal places, but the minimum
variance of a model needs six.
"""

from tulippin.codec_json import encode
from tulippin.jobs import SchedulerConfig, _model_store, make_state, reduce
from tulippin.jobs._rows import read_record
from tulippin.jobs.effects import ReleaseLease
from tulippin.jobs.events import LeaseRenewed, StopRequested
from tulippin.jobs.pair_model import MIN_VARIANCE, ImageModel
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    MODEL_KEY,
    MODELS_TABLE,
    EpochRecord,
    ModelRecord,
)
from tulippin.jobs.state import Phase


def persist_and_read(state):
    value = encode(_model_store.make_record(state))
    row = StoredRow(MODELS_TABLE, 'u0', MODEL_KEY, value, 3)
    return read_record(row, ModelRecord)


def test_minimum_variance_is_persisted():
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.model.images['web'] = ImageModel(
        {'batch': 0.02}, {('batch', 'batch'): MIN_VARIANCE}, {'batch': 900}
    )
    record = persist_and_read(state)
    assert record is not None
    restored = make_state(state.config)
    _model_store.restore(record, restored)
    model = restored.model.images['web']
    assert model.get_covariance('batch', 'batch') >= MIN_VARIANCE


def test_variance_stays_above_its_minimum_for_any_samples():
    """Samples with impossible exposures, which would be rejected earlier."""
    state = make_state(SchedulerConfig('i', 'i:1'))
    for _ in range(200):
        state.model.learn('web', {'batch': 20_000.0}, 0.1)
        state.model.learn('web', {'batch': 2.0, 'other': 1e4}, 0.1)
    model = state.model.images['web']
    for image in ('batch', 'other'):
        assert model.get_covariance(image, image) >= MIN_VARIANCE
    assert persist_and_read(state) is not None


def release(advice_after_ms):
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.ownership.phase = Phase.ACTIVE
    state.ownership.epoch = EpochRecord(3, 'i:1')
    state.advisory_paused_until_ms = advice_after_ms
    reduce(state, StopRequested(1000))
    renewed = LeaseRenewed(1004, 0, 1000, is_done=True, is_fenced=False)
    effects = reduce(state, renewed)
    (effect,) = [one for one in effects if isinstance(one, ReleaseLease)]
    return effect.model


def test_owner_with_paused_learning_does_not_overwrite_the_model():
    """While advisory inputs are paused, the last model has not been read."""
    assert release(advice_after_ms=60_000) is None
    assert release(advice_after_ms=0) == ModelRecord()
