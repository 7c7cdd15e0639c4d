"""Kept models that nobody can have learned.

What users saw: instances ended one after the other, at each start again. One
row that only advises held a figure that all owners divided by: a variance of
0, or the least tail of an image of 0 ms, which passed as a time. What is
refused here is refused with its reason, and costs that part alone.
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
    _row_checks,
    core,
    make_state,
)
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._memory import restore
from tulippin.jobs._model_checks import drop_faults
from tulippin.jobs._row_checks import find_fault
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
    SwingRecord,
)
from tulippin.jobs.state import Attempt, AttemptState, Task, Worker
from tulippin.jobs.types import JobState, Step, TaskKey, WorkerEntry
from tulippin.types import Resources

SOUND = PairRecord(
    {'a': 0.1, 'b': 0.2}, [[0.01, -0.005], [0.01]], {'a': 3, 'b': 2}
)
WAVES = SwingRecord(14_000, 0.5, {'job': (0.5, 0.1, -0.2)})
MODEL = ModelRecord(
    {'web': SOUND, 'api': SOUND},
    {'web': 9.5, 'api': 20.0},
    {'urgent': 900.0, 'usual': 2100.0},
    WAVES,
)
TOO_SURE = [0.0, -1.0, -1e-9, 2e-11, 1e-320, 5e-324]
TOO_MUCH = [1e308, -1e308, 1e9, -1e9]


def change(**fields):
    return attrs.evolve(SOUND, **fields)


PAIRS = {
    **{
        f'variance of {value}': change(covariances=[[value, 0.0], [0.01]])
        for value in (*TOO_SURE, *TOO_MUCH)
    },
    **{
        f'last variance of {value}': change(covariances=[[0.01, 0.0], [value]])
        for value in (*TOO_SURE, *TOO_MUCH)
    },
    **{
        f'covariance of {value}': change(covariances=[[0.01, value], [0.01]])
        for value in (0.01, -0.01, 0.02, 0.1, *TOO_MUCH)
    },
    **{
        f'mean of {value}': change(means={'a': value, 'b': 0.1})
        for value in TOO_MUCH
    },
    'sum that is known for sure': PairRecord(
        dict.fromkeys('abc', 0.1),
        [[0.01, -0.005, -0.005], [0.01, -0.005], [0.01]],
    ),
    'sum surer than sure': PairRecord(
        dict.fromkeys('abc', 0.1),
        [[0.01, -0.006, -0.006], [0.01, -0.006], [0.01]],
    ),
    'no covariances': change(covariances=[]),
    'a row too few': change(covariances=[[0.01, 0.0]]),
    'a row too many': change(covariances=[[0.01, 0.0], [0.01], [0.01]]),
    'rows too long': change(covariances=[[0.01, 0.0], [0.01, 0.0]]),
    'empty rows': change(covariances=[[], []]),
    'count of no image': change(sample_counts={'c': 1}),
    'count below none': change(sample_counts={'a': -1}),
    'count without end': change(sample_counts={'a': 10**30}),
}
TIMES = [0.0, -0.0, -1.0, 1e-320, 5e-324, 1e-6, 1e308, 1e10]
SWINGS = {
    **{
        f'period of {value}': attrs.evolve(WAVES, period_ms=value)
        for value in (-1.0, 1e-320, 1.0, 3000.0, 60_000.0, *TOO_MUCH)
    },
    **{
        f'mean of {value}': attrs.evolve(WAVES, mean=value)
        for value in TOO_MUCH
    },
}
WRONG_FORMS = [
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


def test_sound_model_passes_whole():
    assert drop_faults(MODEL) == (MODEL, ())
    assert find_fault(MODEL) == ''
    assert find_fault(ModelRecord()) == ''


@pytest.mark.parametrize('name', sorted(PAIRS))
def test_unsound_pair_costs_its_image_alone(name):
    record = attrs.evolve(MODEL, pairs={'web': PAIRS[name], 'api': SOUND})
    assert 'web' in find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == attrs.evolve(MODEL, pairs={'api': SOUND})
    assert len(faults) == 1


@pytest.mark.parametrize('field', ['lowest_tails_ms', 'run_times_ms'])
@pytest.mark.parametrize('time_ms', TIMES)
def test_time_that_is_none_costs_itself_alone(field, time_ms):
    record = attrs.evolve(MODEL, **{field: {'odd': time_ms, 'even': 5.0}})
    assert 'odd' in find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == attrs.evolve(MODEL, **{field: {'even': 5.0}})
    assert len(faults) == 1


@pytest.mark.parametrize('name', sorted(SWINGS))
def test_swings_without_a_period_are_dropped(name):
    record = attrs.evolve(MODEL, swings=SWINGS[name])
    assert find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == attrs.evolve(MODEL, swings=SwingRecord())
    assert len(faults) == 1


@pytest.mark.parametrize('part', TOO_MUCH)
def test_wave_that_is_none_costs_its_job_alone(part):
    waves = {'odd': (0.5, part, 0.0), **WAVES.waves}
    record = attrs.evolve(MODEL, swings=attrs.evolve(WAVES, waves=waves))
    assert 'odd' in find_fault(record)
    kept, faults = drop_faults(record)
    assert kept == MODEL
    assert len(faults) == 1


@pytest.mark.parametrize('value', [float('nan'), float('inf'), -float('inf')])
def test_what_is_no_number_is_never_kept(value):
    """A row would hold it as nothing, which no reader takes at all."""
    parts = [
        {'pairs': {'web': change(means={'a': value, 'b': 0.1})}},
        {'pairs': {'web': change(covariances=[[value, 0.0], [0.01]])}},
        {'pairs': {'web': change(covariances=[[0.01, value], [0.01]])}},
        {'pairs': {'web': change(covariances=[[0.01, 0.0], [value]])}},
        {'lowest_tails_ms': {'web': value}},
        {'run_times_ms': {'urgent': value}},
        {'swings': attrs.evolve(WAVES, period_ms=value)},
        {'swings': attrs.evolve(WAVES, mean=value)},
        {'swings': attrs.evolve(WAVES, waves={'job': (value, 0.0, 0.0)})},
    ]
    for fields in parts:
        kept, faults = drop_faults(attrs.evolve(MODEL, **fields))
        assert len(faults) == 1
        assert decode(encode(kept), ModelRecord) == kept


@pytest.mark.parametrize('body', WRONG_FORMS)
def test_wrong_form_is_no_record(body):
    with pytest.raises(InputError):
        decode(body, ModelRecord)


# -- whatever passes does no harm ---------------------------------------------

figures = st.one_of(
    st.floats(),
    st.sampled_from([0.0, -0.0, 1e-320, 1e-6, 1e-3, 0.01, 1.0, 1e6, 1e9]),
    st.floats(-0.02, 0.02),
    st.floats(0, 20_000),
)
# With it the load of what is served is known, and is below 1.
KNOWN_SWING = SwingRecord(14_000, 0.5, {'s': (0.5, 0.1, -0.2)})
names = st.sampled_from(['a', 'b', 'c'])
pairs = st.builds(
    PairRecord,
    st.dictionaries(names, figures, max_size=3),
    st.lists(st.lists(figures, max_size=3), max_size=3),
    st.dictionaries(names, st.integers(), max_size=3),
)
two_images = st.builds(
    lambda means, rows, counts: PairRecord(
        dict(zip('ab', means, strict=True)),
        [list(rows[:2]), [rows[2]]],
        dict(zip('ab', counts, strict=True)),
    ),
    st.tuples(figures, figures),
    st.tuples(figures, figures, figures),
    st.tuples(st.integers(0), st.integers(0)),
)
models = st.builds(
    ModelRecord,
    st.dictionaries(
        st.sampled_from(['web', 'api']), st.one_of(pairs, two_images)
    ),
    st.dictionaries(st.sampled_from(['web', 'api']), figures),
    st.dictionaries(st.sampled_from(['urgent', 'usual']), figures),
    st.one_of(
        st.just(KNOWN_SWING),
        st.builds(
            SwingRecord,
            st.one_of(st.just(14_000.0), figures),
            figures,
            st.dictionaries(
                st.sampled_from(['s', 'other']),
                st.tuples(figures, figures, figures),
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


def use(state, worker, filler):
    """Have what is known decide, be learned from, and tell the harm."""
    for _ in range(4):
        state.now_ms += 400
        state.tails['s'] = {
            TaskKey('s', 0, 0, 7): (10.0, state.now_ms),
            TaskKey('s', 0, 0, 8): (11.0, state.now_ms),
        }
        _interference.learn(worker, state)
        harm = _interference.get_harm(filler, worker, state)
        assert harm is None or harm >= 0
        assert _interference.find_worst(filler, worker, state) is not None
        for image in 'ab':
            assert state.model.get_spread('web', image) > 0
            assert math.isfinite(state.model.get_bound('web', image))


@given(models)
def test_whatever_passes_can_be_used_by_the_next_owner(record):
    kept, faults = drop_faults(record)
    assert bool(faults) == bool(find_fault(record))
    assert find_fault(kept) == ''
    state, worker, filler = make_owner()
    restore(kept, state)
    use(state, worker, filler)


@given(models)
def test_whatever_passes_can_be_used_by_other_owners(record):
    kept, _ = drop_faults(record)
    state, worker, filler = make_owner()
    restore(ModelRecord(swings=KNOWN_SWING), state)
    event = ModelsSeen(
        state.now_ms, (kept, MODEL), ('models/u1/model@1', 'models/u2/model@1')
    )
    core.reduce(state, event)
    use(state, worker, filler)


# -- what else is there -------------------------------------------------------


def test_one_odd_figure_costs_one_image_of_a_row():
    """One figure cost the next owner all that its unit had learned."""
    odd = change(covariances=[[0.0, 0.0], [0.01]])
    record = attrs.evolve(MODEL, pairs={'web': odd, 'api': SOUND})
    kept, faults = _row_checks.drop_faults(decode(encode(record), ModelRecord))
    assert len(faults) == 1
    state = make_state(SchedulerConfig('i', 'i:1'))
    restore(kept, state)
    assert list(state.model.images) == ['api']
    assert state.lowest_tails_ms == MODEL.lowest_tails_ms
    assert state.run_times_ms == MODEL.run_times_ms
    assert list(state.swings.swings) == ['job']


def test_record_that_is_essential_counts_as_a_whole():
    """A part that is left out of a roster would be a worker not asked."""
    roster = RosterRecord({'w0': 'a:80'})
    assert _row_checks.drop_faults(roster) == (roster, ())
    progress = ProgressRecord(JobState.RUNNING, {'0.9': 'f'})
    assert _row_checks.drop_faults(progress) == (progress, ())


def test_odd_images_of_a_row_cost_themselves_alone():
    """One odd figure once cost all that a unit had learned."""
    odd = change(covariances=[[0.0, 0.0], [0.01]])
    pairs = {f'odd-{number}': odd for number in range(20)}
    record = attrs.evolve(MODEL, pairs={**pairs, 'web': SOUND})
    row = StoredRow(MODELS_TABLE, 'u1', MODEL_KEY, encode(record), 7)
    with logbook.TestHandler() as handler:
        kept = read_record(row, ModelRecord)
    assert kept == attrs.evolve(MODEL, pairs={'web': SOUND})
    told = {one.message for one in handler.records}
    assert told == {'row part unreadable'}
    assert 0 < len(handler.records) <= 10
    assert all(one.kwargs['version'] == 7 for one in handler.records)
