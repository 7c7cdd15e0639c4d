"""What a unit has learned is kept in a form that holds it.

What users would have seen: a new owner that knows nothing, as the row of the
last one is refused by its readers.

Cause: variances were kept with five decimal places, and the least that the
model may hold has six.
"""

from tulippin.codec_json import encode
from tulippin.jobs import SchedulerConfig, _memory, make_state, reduce
from tulippin.jobs._rows import read_record
from tulippin.jobs.effects import ReleaseLease
from tulippin.jobs.events import LeaseRenewed, StopRequested
from tulippin.jobs.pair_model import LEAST_VARIANCE, ImageModel
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    MODEL_KEY,
    MODELS_TABLE,
    EpochRecord,
    ModelRecord,
)
from tulippin.jobs.state import Phase


def keep(state):
    value = encode(_memory.make_record(state))
    row = StoredRow(MODELS_TABLE, 'u0', MODEL_KEY, value, 3)
    return read_record(row, ModelRecord)


def test_least_variance_is_kept():
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.model.images['web'] = ImageModel(
        {'batch': 0.02}, {('batch', 'batch'): LEAST_VARIANCE}, {'batch': 900}
    )
    record = keep(state)
    assert record is not None
    restored = make_state(state.config)
    _memory.restore(record, restored)
    model = restored.model.images['web']
    assert model.get_covariance('batch', 'batch') >= LEAST_VARIANCE


def test_variance_stays_above_its_floor_however_it_is_learned():
    """Samples as no worker has, past the guard that refuses them."""
    state = make_state(SchedulerConfig('i', 'i:1'))
    for _ in range(200):
        state.model.learn('web', {'batch': 20_000.0}, 0.1)
        state.model.learn('web', {'batch': 2.0, 'other': 1e4}, 0.1)
    model = state.model.images['web']
    for image in ('batch', 'other'):
        assert model.get_covariance(image, image) >= LEAST_VARIANCE
    assert keep(state) is not None


def release(advice_after_ms):
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.ownership.phase = Phase.ACTIVE
    state.ownership.epoch = EpochRecord(3, 'i:1')
    state.advice_after_ms = advice_after_ms
    reduce(state, StopRequested(1000))
    renewed = LeaseRenewed(1004, 0, 1000, is_done=True, is_fenced=False)
    effects = reduce(state, renewed)
    (effect,) = [one for one in effects if isinstance(one, ReleaseLease)]
    return effect.model


def test_owner_that_took_nothing_in_writes_nothing_over_what_was_kept():
    """Left out after failures, the last owner's model is not read at all."""
    assert release(advice_after_ms=60_000) is None
    assert release(advice_after_ms=0) == ModelRecord()
