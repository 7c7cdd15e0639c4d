"""Rows of the scheduler's own tables that another writer got wrong."""

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


def make_loading():
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    state.now_ms = NOW_MS
    state.ownership.phase = Phase.LOADING
    state.ownership.epoch = EpochRecord(5, 'i:1')
    state.ownership.epoch_version = EPOCH_VERSION
    state.ownership.renewed_ms = NOW_MS
    return state


def load(jobs=(), progress=(), **fields):
    """Return a unit that has two workers which have answered."""
    state = make_loading()
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


def pass_time(state, ms=3000, step_ms=50):
    """Let time pass; return all effects."""
    effects = []
    for _ in range(0, ms, step_ms):
        state.ownership.renewed_ms = state.now_ms
        event = Ticked(state.now_ms + step_ms, state.now_ms + step_ms)
        effects.extend(core.reduce(state, event))
    return effects


def settle(state):
    """Have both workers answer, and time pass; return all effects."""
    effects = [*answer(state, 'w0'), *answer(state, 'w1')]
    effects.extend(pass_time(state))
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


JOBS = {
    **UNREADABLE,
    'no steps': JobRecord(QUEUE, JobRequest('text', ())),
    'no tasks': change_steps(task_count=0),
    'fewer than no tasks': change_steps(task_count=-1),
    'tasks without end': change_steps(task_count=10**15),
    'waits for itself': change_steps(after=(0,)),
    'waits for one behind': change_steps(after=(7,)),
    'waits for one before the first': change_steps(after=(-1,)),
    'asks for less than nothing': change_steps(size=Resources(-1, 0)),
    'times without end': JobRecord(
        QUEUE, attrs.evolve(REQUEST, schedule=Schedule(0, 1, 10**15))
    ),
    'queue is a text': b'{"queue":"q","request":{"spec":"","steps":[]}}',
}


@pytest.mark.parametrize('is_new', [False, True])
@pytest.mark.parametrize('name', sorted(JOBS))
def test_wrong_job_row_takes_no_other_with_it(name, is_new):
    rows = [make_row(JOB, JOBS[name]), make_job_row()]
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
@pytest.mark.parametrize('is_guest', [False, True])
def test_odd_key_names_no_job(key, is_guest):
    record = JobRecord(QUEUE, REQUEST)
    if is_guest:
        record = GuestRecord(QUEUE, REQUEST, {'0.0.0': 1})
        key = f'{key}/guest'
    state = load([make_row(key, record), make_job_row()])
    settle(state)
    assert list(state.jobs) == [OTHER]


@pytest.mark.parametrize('name', sorted(JOBS))
def test_job_that_turns_wrong_goes_on(name):
    state = load([make_job_row(JOB)])
    rows = (make_row(JOB, JOBS[name], 200),)
    core.reduce(state, JobsChanged(state.now_ms, rows))
    assert len(list_started(settle(state))) == 2


def test_job_that_was_unreadable_at_loading_starts_nothing_once_it_is_read():
    # Its progress was not looked at, and its runs were taken for strays.
    state = load([make_row(JOB, b'{')])
    row = make_job_row(JOB, version=200)
    core.reduce(state, JobsChanged(state.now_ms, (row,)))
    assert list_started(settle(state)) == []
    assert state.jobs[JOB].is_past_unknown


def test_job_that_came_unreadable_is_new_once_it_is_read():
    state = load()
    for row in (make_row(JOB, b'{', 150), make_job_row(JOB, version=200)):
        core.reduce(state, JobsChanged(state.now_ms, (row,)))
    assert len(list_started(settle(state))) == 2


@pytest.mark.parametrize('name', sorted(UNREADABLE))
def test_unreadable_cancel_is_a_cancel(name):
    state = load(
        [make_job_row(JOB), make_row(f'{JOB}/cancel', UNREADABLE[name])]
    )
    assert list_started(settle(state)) == []
    assert state.jobs[JOB].state is JobState.CANCELLED


# -- tasks that another unit passed on ----------------------------------------


def make_guest(passes=None, **fields):
    return GuestRecord(QUEUE, REQUEST, passes or {'0.0.0': 1}, **fields)


GUESTS = {
    **UNREADABLE,
    'no task': make_guest({'': 1}),
    'name of a step': make_guest({'0.0': 1}),
    'whole name': make_guest({f'{JOB}.0.0.0': 1}),
    'words': make_guest({'a.b.c': 1}),
    'below none': make_guest({'0.0.-1': 1}),
    'no such occurrence': make_guest({'1.0.0': 1}),
    'no such step': make_guest({'0.2.0': 1}),
    'no such task': make_guest({'0.0.2': 1}),
    'other digits': make_guest({'0.0.\u0661': 1}),
    'pass below none': make_guest({'0.0.0': -1}),
    'run below none': make_guest(runs={'0.0.0': -5}),
    'run of no task': make_guest(runs={'0.9.9': 5}),
    'begun of no task': make_guest(begun=('0.9.9',)),
    'no steps': GuestRecord(QUEUE, JobRequest('', ()), {}),
}


@pytest.mark.parametrize('is_new', [False, True])
@pytest.mark.parametrize('name', sorted(GUESTS))
def test_wrong_guest_row_takes_no_other_with_it(name, is_new):
    rows = [make_row(f'{JOB}/guest', GUESTS[name]), make_job_row()]
    if is_new:
        state = load()
        core.reduce(state, JobsChanged(state.now_ms, tuple(rows)))
    else:
        state = load(rows)
    started = list_started(settle(state))
    assert {key.job_id for key in started} == {OTHER}


def test_guest_row_with_other_steps_than_its_job_changes_nothing():
    longer = JobRequest('text', (Step(9, SIZE),))
    guest = GuestRecord(QUEUE, longer, {'0.0.8': 1})
    state = load([make_job_row(JOB), make_row(f'{JOB}/guest', guest)])
    assert state.jobs[JOB].passes == {}
    assert len(list_started(settle(state))) == 2


# -- progress -----------------------------------------------------------------


def make_progress(**fields):
    return ProgressRecord(JobState.RUNNING, **fields)


PROGRESS = {
    **UNREADABLE,
    'no such state': b'{"state":"odd"}',
    'done without a step': make_progress(done={'': '1'}),
    'done with a word': make_progress(done={'a.b': '1'}),
    'done of a task': make_progress(done={'0.0.0': '1'}),
    'done of no step': make_progress(done={'0.7': '1'}),
    'done of no occurrence': make_progress(done={'3.0': '1'}),
    'done below none': make_progress(done={'0.-1': '1'}),
    'no bits': make_progress(done={'0.0': ''}),
    'bits are words': make_progress(done={'0.0': 'xyz'}),
    'bits below none': make_progress(done={'0.0': '-1'}),
    'bits with a sign': make_progress(done={'0.0': '0x1'}),
    'more bits than tasks': make_progress(done={'0.0': 'f'}),
    'failures of no task': make_progress(failures={'0.9.0': [1]}),
    'failures of a word': make_progress(failures={'x': [1]}),
    'passed no task': make_progress(passed={'0.0.9': (1, 1, 1)}),
    'passed to no unit': make_progress(passed={'0.0.0': (-1, 1, 1)}),
    'passed too short': b'{"state":"running","passed":{"0.0.0":[1]}}',
    'avoided of no task': make_progress(avoided={'9.0.0': ['w']}),
    'crashes of no task': make_progress(crashes={'0.9.0': ()}),
    'started of no task': make_progress(started={'0.0.9': (1, 'w0')}),
    'crashes that tell nothing': make_progress(crashes={'0.0.0': ({},)}),
    'doubts below none': make_progress(doubts=-1),
}


@pytest.mark.parametrize('name', sorted(PROGRESS))
def test_job_with_unreadable_progress_starts_nothing(name):
    progress = [
        make_row(JOB, PROGRESS[name], 20, 'progress0', 'u0'),
        make_row(OTHER, make_progress(done={'0.0': '1'}), 20, 'progress0'),
    ]
    with logbook.TestHandler() as handler:
        state = load([make_job_row(JOB), make_job_row()], progress)
        effects = settle(state)
    # What may be done, or be over, isn't run again; the others go on.
    assert list_started(effects) == [TaskKey(OTHER, 0, 0, 1)]
    # Nothing of the withheld job is written, and of the other its start alone.
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
    # Over the row that is there.
    assert committed[0].version == 20


def test_run_of_a_job_with_unreadable_progress_goes_on_and_is_not_repeated():
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
    effects.extend(pass_time(state))
    assert list_started(effects) == []
    assert list_committed(effects) == []


def test_removed_progress_row_changes_nothing():
    rows = [StoredRow('progress0', 'u0', JOB, None, 20)]
    state = load([make_job_row(JOB)], rows)
    assert len(list_started(settle(state))) == 2
