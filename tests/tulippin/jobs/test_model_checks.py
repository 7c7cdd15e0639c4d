"""Invalid parts of persisted models are dropped, each with a reason.

Guards against instances that crash one after the other, and again after each
restart: a row with an advisory model held a value of 0 by which every owner
divided, such as a variance or the lowest tail of an image.
"""

import math

import attrs
import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tulippin.codec_json import decode, encode
from tulippin.exceptions import InputError
from tulippin.jobs import (
    SchedulerConfig,
    _interference,
    _record_validation,
    core,
    make_state,
)
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._model_store import restore
from tulippin.jobs._model_validation import drop_faults
from tulippin.jobs._record_validation import find_fault
from tulippin.jobs._rows import read_record
from tulippin.jobs.events import ModelsSeen
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    MODEL_KEY,
    MODELS_TABLE,
    ModelRecord,
    PairRecord,
    ProgressRecord,
    RosterRecord,
    RunTimeRecord,
    SwingRecord,
)
from tulippin.jobs.state import Attempt, AttemptState, Task, Worker
from tulippin.jobs.types import JobState, Step, TaskKey, WorkerEntry
from tulippin.types import Resources

VALID_PAIR = PairRecord(
    {'a': 0.1, 'b': 0.2}, [[0.01, -0.005], [0.01]], {'a': 3, 'b': 2}
)
VALID_CYCLES = SwingRecord(14_000, 0.5, {'job': (0.5, 0.1, -0.2)})
MODEL = ModelRecord(
    {'web': VALID_PAIR, 'api': VALID_PAIR},
    {'web': 9.5, 'api': 20.0},
    {'urgent': 900.0, 'usual': 2100.0},
    VALID_CYCLES,
)
TOO_SMALL = [0.0, -1.0, -1e-9, 2e-11, 1e-320, 5e-324]
TOO_LARGE = [1e308, -1e308, 1e9, -1e9]


def change_pair(**fields):
    return attrs.evolve(VALID_PAIR, **fields)


INVALID_PAIRS = {
    **{
        f'variance of {value}': change_pair(covariances=[[value, 0.0], [0.01]])
        for value in (*TOO_SMALL, *TOO_LARGE)
    },
    **{
        f'last variance of {value}': change_pair(
            covariances=[[0.01, 0.0], [value]]
        )
        for value in (*TOO_SMALL, *TOO_LARGE)
    },
    **{
        f'covariance of {value}': change_pair(
            covariances=[[0.01, value], [0.01]]
        )
        for value in (0.01, -0.01, 0.02, 0.1, *TOO_LARGE)
    },
    **{
        f'mean of {value}': change_pair(means={'a': value, 'b': 0.1})
        for value in TOO_LARGE
    },
    'sum with a variance of 0': PairRecord(
        dict.fromkeys('abc', 0.1),
        [[0.01, -0.005, -0.005], [0.01, -0.005], [0.01]],
    ),
    'sum with a negative variance': PairRecord(
        dict.fromkeys('abc', 0.1),
        [[0.01, -0.006, -0.006], [0.01, -0.006], [0.01]],
    ),
    'no covariances': change_pair(covariances=[]),
    'one row too few': change_pair(covariances=[[0.01, 0.0]]),
    'one row too many': change_pair(covariances=[[0.01, 0.0], [0.01], [0.01]]),
    'rows too long': change_pair(covariances=[[0.01, 0.0], [0.01, 0.0]]),
    'empty rows': change_pair(covariances=[[], []]),
    'count without a mean': change_pair(sample_counts={'c': 1}),
    'negative count': change_pair(sample_counts={'a': -1}),
    'excessive count': change_pair(sample_counts={'a': 10**30}),
}
INVALID_TIMES = [0.0, -0.0, -1.0, 1e-320, 5e-324, 1e-6, 1e308, 1e10]
VALID_FIT = RunTimeRecord(40, 7.0, 7.2, 0.3, 0.2)
INVALID_FITS = {
    **{
        f'{field} of {value}': attrs.evolve(VALID_FIT, **{field: value})
        for field in ('log_estimate', 'log_run', 'variance', 'covariance')
        for value in (float('nan'), float('inf'), 1e5, -1e5)
    },
    'negative variance': attrs.evolve(VALID_FIT, variance=-0.1),
    'negative count': attrs.evolve(VALID_FIT, count=-1),
    'excessive count': attrs.evolve(VALID_FIT, count=10**30),
}
INVALID_CYCLES = {
    **{
        f'period of {value}': attrs.evolve(VALID_CYCLES, period_ms=value)
        for value in (-1.0, 1e-320, 1.0, 3000.0, 60_000.0, *TOO_LARGE)
    },
    **{
        f'mean of {value}': attrs.evolve(VALID_CYCLES, mean=value)
        for value in TOO_LARGE
    },
}
MALFORMED = [
    b'{"run_times_ms":{"q":NaN}}',
    b'{"run_times_ms":{"q":Infinity}}',
    b'{"run_times_ms":{"q":1e400}}',
    b'{"run_times_ms":{"q":null}}',
    b'{"run_times_ms":{"q":true}}',
    b'{"lowest_tails_ms":{"web":"9.5"}}',
    b'{"pairs":{"web":{"means":{"a":false}}}}',
    b'{"pairs":{"web":{"sample_counts":{"a":true}}}}',
    b'{"pairs":{"web":{"sample_counts":{"a":1.5}}}}',
    b'{"swings":{"period_ms":true}}',
    b'{"swings":{"waves":{"job":[0.5,0.1]}}}',
]


def check_drops_only_bad(field, bad, good):
    """Check that an invalid entry of a field is dropped, and no other one."""
    record = attrs.evolve(MODEL, **{field: {'bad': bad, 'good': good}})
    assert 'bad' in find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == attrs.evolve(MODEL, **{field: {'good': good}})
    assert len(faults) == 1


def test_valid_model_is_unchanged():
    assert drop_faults(MODEL) == (MODEL, ())
    assert find_fault(MODEL) == ''
    assert find_fault(ModelRecord()) == ''


@pytest.mark.parametrize('name', sorted(INVALID_PAIRS))
def test_invalid_pair_drops_only_its_image(name):
    record = attrs.evolve(
        MODEL, pairs={'web': INVALID_PAIRS[name], 'api': VALID_PAIR}
    )
    assert 'web' in find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == attrs.evolve(MODEL, pairs={'api': VALID_PAIR})
    assert len(faults) == 1


@pytest.mark.parametrize('field', ['lowest_tails_ms', 'run_times_ms'])
@pytest.mark.parametrize('time_ms', INVALID_TIMES)
def test_invalid_time_drops_only_itself(field, time_ms):
    check_drops_only_bad(field, time_ms, 5.0)


@pytest.mark.parametrize('name', sorted(INVALID_FITS))
def test_invalid_fit_drops_only_its_queue(name):
    check_drops_only_bad('run_time_fits', INVALID_FITS[name], VALID_FIT)


@pytest.mark.parametrize('name', sorted(INVALID_CYCLES))
def test_load_cycles_with_an_invalid_period_are_dropped(name):
    record = attrs.evolve(MODEL, swings=INVALID_CYCLES[name])
    assert find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == attrs.evolve(MODEL, swings=SwingRecord())
    assert len(faults) == 1


@pytest.mark.parametrize('part', TOO_LARGE)
def test_invalid_wave_drops_only_its_job(part):
    waves = {'bad': (0.5, part, 0.0), **VALID_CYCLES.waves}
    record = attrs.evolve(MODEL, swings=attrs.evolve(VALID_CYCLES, waves=waves))
    assert 'bad' in find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == MODEL
    assert len(faults) == 1


@pytest.mark.parametrize('value', [float('nan'), float('inf'), -float('inf')])
def test_non_finite_values_are_never_persisted(value):
    """JSON would encode them as null, which readers reject."""
    parts = [
        {'pairs': {'web': change_pair(means={'a': value, 'b': 0.1})}},
        {'pairs': {'web': change_pair(covariances=[[value, 0.0], [0.01]])}},
        {'pairs': {'web': change_pair(covariances=[[0.01, value], [0.01]])}},
        {'pairs': {'web': change_pair(covariances=[[0.01, 0.0], [value]])}},
        {'lowest_tails_ms': {'web': value}},
        {'run_times_ms': {'urgent': value}},
        {'swings': attrs.evolve(VALID_CYCLES, period_ms=value)},
        {'swings': attrs.evolve(VALID_CYCLES, mean=value)},
        {
            'swings': attrs.evolve(
                VALID_CYCLES, waves={'job': (value, 0.0, 0.0)}
            )
        },
    ]
    for fields in parts:
        kept, faults = drop_faults(attrs.evolve(MODEL, **fields))
        assert len(faults) == 1
        assert decode(encode(kept), ModelRecord) == kept


@pytest.mark.parametrize('body', MALFORMED)
def test_malformed_record_is_rejected(body):
    with pytest.raises(InputError):
        decode(body, ModelRecord)


# -- any valid model can be used ----------------------------------------------

numbers = st.one_of(
    st.floats(),
    st.sampled_from([0.0, -0.0, 1e-320, 1e-6, 1e-3, 0.01, 1.0, 1e6, 1e9]),
    st.floats(-0.02, 0.02),
    st.floats(0, 20_000),
)
# Makes the load of the serving task known, and below 1.
KNOWN_CYCLE = SwingRecord(14_000, 0.5, {'s': (0.5, 0.1, -0.2)})
names = st.sampled_from(['a', 'b', 'c'])
pairs = st.builds(
    PairRecord,
    st.dictionaries(names, numbers, max_size=3),
    st.lists(st.lists(numbers, max_size=3), max_size=3),
    st.dictionaries(names, st.integers(), max_size=3),
)
two_images = st.builds(
    lambda means, rows, counts: PairRecord(
        dict(zip('ab', means, strict=True)),
        [list(rows[:2]), [rows[2]]],
        dict(zip('ab', counts, strict=True)),
    ),
    st.tuples(numbers, numbers),
    st.tuples(numbers, numbers, numbers),
    st.tuples(st.integers(0), st.integers(0)),
)
models = st.builds(
    ModelRecord,
    st.dictionaries(
        st.sampled_from(['web', 'api']), st.one_of(pairs, two_images)
    ),
    st.dictionaries(st.sampled_from(['web', 'api']), numbers),
    st.dictionaries(st.sampled_from(['urgent', 'usual']), numbers),
    st.one_of(
        st.just(KNOWN_CYCLE),
        st.builds(
            SwingRecord,
            st.one_of(st.just(14_000.0), numbers),
            numbers,
            st.dictionaries(
                st.sampled_from(['s', 'other']),
                st.tuples(numbers, numbers, numbers),
            ),
        ),
    ),
)


def make_owner():
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.now_ms = 100_000
    entry = WorkerEntry('w', 's', 'a', 'z', Resources(10_000, 64_000))
    worker = state.workers['w'] = Worker(entry)
    size = Resources(2000, 1000)
    serving = Step(1, size, image='web', target_ms=50, long_running=True)
    filler = Step(1, size, image='a', opportunistic=True)
    other = attrs.evolve(filler, image='b')
    runs = (('s', serving, 30.0), ('f', filler, 1000.0), ('o', other, 900.0))
    for job_id, step, load in runs:
        key = TaskKey(job_id, 0, 0, 0)
        attempt = Attempt(
            key, 1, 'w', step, 2, AttemptState.RUNNING, 90_000, load=load
        )
        attempt.tail_ms = load
        add_attempt(attempt, Task(key), worker)
    return state, worker, filler


def learn_and_predict(state, worker, filler):
    """Learn from samples, and check predicted harm and estimates."""
    for _ in range(4):
        state.now_ms += 400
        state.tails['s'] = {
            TaskKey('s', 0, 0, 7): (10.0, state.now_ms),
            TaskKey('s', 0, 0, 8): (11.0, state.now_ms),
        }
        _interference.learn(worker, state)
        harm = _interference.compute_harm(filler, worker, state)
        assert harm is None or harm >= 0
        assert (
            _interference.find_tightest_excess(filler, worker, state)
            is not None
        )
        for image in 'ab':
            assert state.model.get_spread('web', image) > 0
            assert math.isfinite(state.model.get_bound('web', image))


@given(models)
def test_any_valid_model_can_be_used_by_the_next_owner(record):
    kept, faults = drop_faults(record)
    assert bool(faults) == bool(find_fault(record))
    assert find_fault(kept) == ''
    state, worker, filler = make_owner()
    restore(kept, state)
    learn_and_predict(state, worker, filler)


@given(models)
def test_any_valid_model_can_be_used_by_other_owners(record):
    kept, _ = drop_faults(record)
    state, worker, filler = make_owner()
    restore(ModelRecord(swings=KNOWN_CYCLE), state)
    event = ModelsSeen(
        state.now_ms, (kept, MODEL), ('models/u1/model@1', 'models/u2/model@1')
    )
    core.reduce(state, event)
    learn_and_predict(state, worker, filler)


# -- rows ---------------------------------------------------------------------


def test_invalid_value_drops_one_image_of_a_row():
    """Guards against a fault that dropped the whole model of a unit."""
    invalid = change_pair(covariances=[[0.0, 0.0], [0.01]])
    record = attrs.evolve(MODEL, pairs={'web': invalid, 'api': VALID_PAIR})
    kept, faults = _record_validation.drop_faults(
        decode(encode(record), ModelRecord)
    )
    assert len(faults) == 1
    state = make_state(SchedulerConfig('i', 'i:1'))
    restore(kept, state)
    assert list(state.model.images) == ['api']
    assert state.lowest_tails_ms == MODEL.lowest_tails_ms
    assert state.run_times_ms == MODEL.run_times_ms
    assert list(state.swings.swings) == ['job']


def test_non_advisory_records_are_not_changed():
    """A worker dropped from a roster would not be called by the next owner."""
    roster = RosterRecord({'w0': 'a:80'})
    assert _record_validation.drop_faults(roster) == (roster, ())
    progress = ProgressRecord(JobState.RUNNING, {'0.9': 'f'})
    assert _record_validation.drop_faults(progress) == (progress, ())


def test_invalid_images_of_a_row_drop_only_themselves():
    """Each dropped part is logged, up to a limit, with the row's version."""
    invalid = change_pair(covariances=[[0.0, 0.0], [0.01]])
    pairs = {f'bad-{number}': invalid for number in range(20)}
    record = attrs.evolve(MODEL, pairs={**pairs, 'web': VALID_PAIR})
    row = StoredRow(MODELS_TABLE, 'u1', MODEL_KEY, encode(record), 7)
    with logbook.TestHandler() as handler:
        kept = read_record(row, ModelRecord)
    assert kept == attrs.evolve(MODEL, pairs={'web': VALID_PAIR})
    messages = {one.message for one in handler.records}
    assert messages == {'row part unreadable'}
    assert 0 < len(handler.records) <= 10
    assert all(one.kwargs['version'] == 7 for one in handler.records)
