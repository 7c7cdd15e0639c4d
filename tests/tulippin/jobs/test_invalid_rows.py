"""Invalid rows of other writers in the scheduler's tables, at the reducer."""

import attrs
import logbook
import pytest

from tulippin.codec_json import encode
from tulippin.jobs import core
from tulippin.jobs.effects import CommitProgress, StartRun
from tulippin.jobs.events import (
    JobsChanged,
    Ticked,
    UnitLoaded,
    WorkerAnswered,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    EpochRecord,
    GuestRecord,
    JobRecord,
    ProgressRecord,
    RosterRecord,
)
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import (
    EndedRun,
    JobRequest,
    JobState,
    Queue,
    RunningTask,
    RunOutcome,
    Schedule,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.types import Resources

EPOCH_VERSION = 100
NOW_MS = 50_000
JOB = f'{1:016x}'
OTHER = f'{2:016x}'
QUEUE = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 500)
SIZE = Resources(1000, 1000)
REQUEST = JobRequest('text', (Step(2, SIZE), Step(1, SIZE, after=(0,))))
UNREADABLE = {
    'empty': b'',
    'cut off': b'{"state":"run',
    'not text': b'{"state":"\xff\xfe","queue":"\xff"}',
    'a list': b'[]',
    'nothing': b'null',
    'number': b'1',
    'no fields': b'{}',
    'random bytes': bytes(range(256)),
    'deep': b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
}


def make_entry(worker_id):
    return WorkerEntry(
        worker_id, 's', f'{worker_id}:80', 'z', Resources(8000, 32_000)
    )


def make_row(key, value, version=10, table='jobs0', part='j0'):
    if not isinstance(value, bytes):
        value = encode(value)
    return StoredRow(table, part, key, value, version)


def make_job_row(job_id=OTHER, request=REQUEST, version=10):
    return make_row(job_id, JobRecord(QUEUE, request), version)


def make_loading_state():
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    state.now_ms = NOW_MS
    state.ownership.phase = Phase.LOADING
    state.ownership.epoch = EpochRecord(5, 'i:1')
    state.ownership.epoch_version = EPOCH_VERSION
    state.ownership.renewed_ms = NOW_MS
    return state


def load(jobs=(), progress=(), **fields):
    """Return the state of a unit with two workers, after loading the rows."""
    state = make_loading_state()
    roster = {'w0': 'w0:80', 'w1': 'w1:80'}
    fields.setdefault('roster', RosterRecord(roster))
    event = UnitLoaded(
        NOW_MS,
        tuple(jobs),
        tuple(progress),
        roster_version=5,
        workers=(make_entry('w0'), make_entry('w1')),
        epoch_version=EPOCH_VERSION,
        **fields,
    )
    core.reduce(state, event)
    return state


def answer(state, worker_id, running=(), ended=()):
    report = WorkerReport(1000, tuple(running), tuple(ended))
    event = WorkerAnswered(state.now_ms, worker_id, state.now_ms, report)
    return core.reduce(state, event)


def advance_ticks(state, ms=3000, step_ms=50):
    """Advance the time with ticks; return all effects."""
    effects = []
    for _ in range(0, ms, step_ms):
        state.ownership.renewed_ms = state.now_ms
        event = Ticked(state.now_ms + step_ms, state.now_ms + step_ms)
        effects.extend(core.reduce(state, event))
    return effects


def settle(state):
    """Let both workers answer and advance the time; return all effects."""
    effects = [*answer(state, 'w0'), *answer(state, 'w1')]
    effects.extend(advance_ticks(state))
    return effects


def list_started(effects):
    return [
        effect.order.key for effect in effects if isinstance(effect, StartRun)
    ]


def list_committed(effects):
    return [
        write
        for effect in effects
        if isinstance(effect, CommitProgress)
        for write in effect.writes
    ]


def count_lines(handler, message):
    return sum(record.message == message for record in handler.records)


def change_steps(**changes):
    step = attrs.evolve(REQUEST.steps[0], **changes)
    return JobRecord(QUEUE, JobRequest('text', (step,)))


# -- jobs ---------------------------------------------------------------------


INVALID_JOBS = {
    **UNREADABLE,
    'no steps': JobRecord(QUEUE, JobRequest('text', ())),
    'no tasks': change_steps(task_count=0),
    'negative task count': change_steps(task_count=-1),
    'too many tasks': change_steps(task_count=10**15),
    'depends on itself': change_steps(after=(0,)),
    'depends on a later step': change_steps(after=(7,)),
    'depends on a negative step': change_steps(after=(-1,)),
    'negative size': change_steps(size=Resources(-1, 0)),
    'too many occurrences': JobRecord(
        QUEUE, attrs.evolve(REQUEST, schedule=Schedule(0, 1, 10**15))
    ),
    'queue is a text': b'{"queue":"q","request":{"spec":"","steps":[]}}',
}


@pytest.mark.parametrize('is_new', [False, True])
@pytest.mark.parametrize('name', sorted(INVALID_JOBS))
def test_invalid_job_row_affects_no_other_job(name, is_new):
    rows = [make_row(JOB, INVALID_JOBS[name]), make_job_row()]
    with logbook.TestHandler() as handler:
        if is_new:
            state = load()
            core.reduce(state, JobsChanged(state.now_ms, tuple(rows)))
        else:
            state = load(rows)
        started = list_started(settle(state))
    assert list(state.jobs) == [OTHER]
    assert {key.job_id for key in started} == {OTHER}
    assert count_lines(handler, 'row unreadable') == 1


@pytest.mark.parametrize('key', ['', '.', 'a.b', 'a/b', '/', 'a/other', 'a/'])
@pytest.mark.parametrize('is_transferred', [False, True])
def test_row_with_an_invalid_key_is_no_job(key, is_transferred):
    record = JobRecord(QUEUE, REQUEST)
    if is_transferred:
        record = GuestRecord(QUEUE, REQUEST, {'0.0.0': 1})
        key = f'{key}/guest'
    state = load([make_row(key, record), make_job_row()])
    settle(state)
    assert list(state.jobs) == [OTHER]


@pytest.mark.parametrize('name', sorted(INVALID_JOBS))
def test_job_whose_row_becomes_invalid_continues(name):
    state = load([make_job_row(JOB)])
    rows = (make_row(JOB, INVALID_JOBS[name], 200),)
    core.reduce(state, JobsChanged(state.now_ms, rows))
    assert len(list_started(settle(state))) == 2


def test_job_that_was_unreadable_at_loading_starts_nothing_later():
    # Its progress was not read, and its runs were stopped as orphaned.
    state = load([make_row(JOB, b'{')])
    row = make_job_row(JOB, version=200)
    core.reduce(state, JobsChanged(state.now_ms, (row,)))
    assert list_started(settle(state)) == []
    assert state.jobs[JOB].is_progress_unknown


def test_job_that_arrived_unreadable_starts_once_it_is_readable():
    state = load()
    for row in (make_row(JOB, b'{', 150), make_job_row(JOB, version=200)):
        core.reduce(state, JobsChanged(state.now_ms, (row,)))
    assert len(list_started(settle(state))) == 2


@pytest.mark.parametrize('name', sorted(UNREADABLE))
def test_unreadable_cancel_row_cancels_the_job(name):
    state = load(
        [make_job_row(JOB), make_row(f'{JOB}/cancel', UNREADABLE[name])]
    )
    assert list_started(settle(state)) == []
    assert state.jobs[JOB].state is JobState.CANCELLED


# -- transferred jobs ---------------------------------------------------------


def make_guest(passes=None, **fields):
    return GuestRecord(QUEUE, REQUEST, passes or {'0.0.0': 1}, **fields)


INVALID_GUESTS = {
    **UNREADABLE,
    'no task': make_guest({'': 1}),
    'name of a step': make_guest({'0.0': 1}),
    'full name': make_guest({f'{JOB}.0.0.0': 1}),
    'not numbers': make_guest({'a.b.c': 1}),
    'negative index': make_guest({'0.0.-1': 1}),
    'no such occurrence': make_guest({'1.0.0': 1}),
    'no such step': make_guest({'0.2.0': 1}),
    'no such task': make_guest({'0.0.2': 1}),
    'non-ASCII digits': make_guest({'0.0.\u0661': 1}),
    'negative transfer number': make_guest({'0.0.0': -1}),
    'negative run': make_guest(runs={'0.0.0': -5}),
    'run of an unknown task': make_guest(runs={'0.9.9': 5}),
    'start of an unknown task': make_guest(begun=('0.9.9',)),
    'no steps': GuestRecord(QUEUE, JobRequest('', ()), {}),
}


@pytest.mark.parametrize('is_new', [False, True])
@pytest.mark.parametrize('name', sorted(INVALID_GUESTS))
def test_invalid_transferred_job_affects_no_other_job(name, is_new):
    rows = [make_row(f'{JOB}/guest', INVALID_GUESTS[name]), make_job_row()]
    if is_new:
        state = load()
        core.reduce(state, JobsChanged(state.now_ms, tuple(rows)))
    else:
        state = load(rows)
    started = list_started(settle(state))
    assert {key.job_id for key in started} == {OTHER}


def test_transferred_job_with_different_steps_changes_nothing():
    longer = JobRequest('text', (Step(9, SIZE),))
    guest = GuestRecord(QUEUE, longer, {'0.0.8': 1})
    state = load([make_job_row(JOB), make_row(f'{JOB}/guest', guest)])
    assert state.jobs[JOB].passes == {}
    assert len(list_started(settle(state))) == 2


# -- progress -----------------------------------------------------------------


def make_progress(**fields):
    return ProgressRecord(JobState.RUNNING, **fields)


INVALID_PROGRESS = {
    **UNREADABLE,
    'no such state': b'{"state":"odd"}',
    'done without a step': make_progress(done={'': '1'}),
    'done of a step that is not a number': make_progress(done={'a.b': '1'}),
    'done of a task': make_progress(done={'0.0.0': '1'}),
    'done of an unknown step': make_progress(done={'0.7': '1'}),
    'done of an unknown occurrence': make_progress(done={'3.0': '1'}),
    'done of a negative step': make_progress(done={'0.-1': '1'}),
    'no bits': make_progress(done={'0.0': ''}),
    'bits are not hexadecimal': make_progress(done={'0.0': 'xyz'}),
    'negative bits': make_progress(done={'0.0': '-1'}),
    'bits with a prefix': make_progress(done={'0.0': '0x1'}),
    'more bits than tasks': make_progress(done={'0.0': 'f'}),
    'failures of an unknown task': make_progress(failures={'0.9.0': [1]}),
    'failures of a malformed name': make_progress(failures={'x': [1]}),
    'transfer of an unknown task': make_progress(passed={'0.0.9': (1, 1, 1)}),
    'transfer to a negative unit': make_progress(passed={'0.0.0': (-1, 1, 1)}),
    'transfer too short': b'{"state":"running","passed":{"0.0.0":[1]}}',
    'avoided of an unknown task': make_progress(avoided={'9.0.0': ['w']}),
    'crashes of an unknown task': make_progress(crashes={'0.9.0': ()}),
    'started of an unknown task': make_progress(started={'0.0.9': (1, 'w0')}),
    'empty crash record': make_progress(crashes={'0.0.0': ({},)}),
    'negative doubts': make_progress(doubts=-1),
}


@pytest.mark.parametrize('name', sorted(INVALID_PROGRESS))
def test_job_with_unreadable_progress_starts_nothing(name):
    progress = [
        make_row(JOB, INVALID_PROGRESS[name], 20, 'progress0', 'u0'),
        make_row(OTHER, make_progress(done={'0.0': '1'}), 20, 'progress0'),
    ]
    with logbook.TestHandler() as handler:
        state = load([make_job_row(JOB), make_job_row()], progress)
        effects = settle(state)
    # Tasks that may be done are not run again; other jobs continue.
    assert list_started(effects) == [TaskKey(OTHER, 0, 0, 1)]
    # Only the start of the other job's task is written.
    (write,) = list_committed(effects)
    assert write.job_id == OTHER
    assert write.record == ProgressRecord(
        JobState.RUNNING, {'0.0': '1'}, started=write.record.started
    )
    assert list(write.record.started) == ['0.0.1']
    assert count_lines(handler, 'row unreadable') == 1


def test_job_with_unreadable_progress_can_be_cancelled():
    progress = [make_row(JOB, b'{', 20, 'progress0', 'u0')]
    state = load([make_job_row(JOB)], progress)
    settle(state)
    row = make_row(f'{JOB}/cancel', b'{}', 200)
    effects = core.reduce(state, JobsChanged(state.now_ms, (row,)))
    committed = list_committed(effects)
    assert [write.record.state for write in committed] == [JobState.CANCELLED]
    # It replaces the unreadable row.
    assert committed[0].version == 20


def test_run_of_a_job_with_unreadable_progress_continues_and_is_not_repeated():
    progress = [make_row(JOB, b'{', 20, 'progress0', 'u0')]
    state = load([make_job_row(JOB)], progress)
    key = TaskKey(JOB, 0, 0, 0)
    effects = [
        *answer(state, 'w0', [RunningTask(key, 7, '', 10, None)]),
        *answer(state, 'w1'),
    ]
    assert (key, 7) in state.workers['w0'].attempts
    state.now_ms += 50
    ended = EndedRun(1, key, 7, RunOutcome.FAILED, '')
    effects.extend(answer(state, 'w0', ended=[ended]))
    effects.extend(advance_ticks(state))
    assert list_started(effects) == []
    assert list_committed(effects) == []


def test_removed_progress_row_changes_nothing():
    rows = [StoredRow('progress0', 'u0', JOB, None, 20)]
    state = load([make_job_row(JOB)], rows)
    assert len(list_started(settle(state))) == 2
