"""Records that an owner writes can be read by the next one.

These tests guard against records that the next owner refuses, so that no task
of a job is started again, and against out-of-range figures in a record, which
ended each instance that read it.
"""

import types

import attrs
import logbook
import pytest
import trio
from test_invalid_rows import (
    JOB,
    OTHER,
    QUEUE,
    advance_ticks,
    answer,
    list_committed,
    list_started,
    load,
    make_job_row,
    make_row,
    settle,
)

from tulippin.codec_json import decode, encode
from tulippin.jobs import _unconfirmed_runs, core
from tulippin.jobs._accounts import make_release_writes
from tulippin.jobs._dispatch import Context
from tulippin.jobs._record_validation import find_fault, find_progress_fault
from tulippin.jobs.effects import CommitProgress, ReleaseLease
from tulippin.jobs.events import ProgressCommitted
from tulippin.jobs.records import (
    ACCOUNTS_TABLE,
    AccountRecord,
    EpochRecord,
    GuestRecord,
    JobRecord,
    LeaseRecord,
    UnitCapacity,
    WorkerAccount,
)
from tulippin.jobs.types import (
    EndedRun,
    JobRequest,
    RunningTask,
    RunOutcome,
    Schedule,
    Step,
    TaskKey,
)
from tulippin.types import Resources

EPOCH_VERSION = 100
# Keys that a worker may report, but that no task of the job has.
INVALID_TASK_POSITIONS = [
    (0, 0, 9),
    (0, -1, 0),
    (5, 0, 0),
    (0, 0, -1),
    (-1, 0, 0),
]


def encode_and_validate(record):
    """Return a record as decoded from its row, and check that it is valid."""
    decoded = decode(encode(record), type(record))
    assert find_fault(decoded) == ''
    return decoded


def make_release(account):
    lease = LeaseRecord('i:1', 'i')
    return ReleaseLease(lease, None, account, EpochRecord(5, 'i:1'), 100)


def write_account(account, state):
    """Return the release report as read from its row, if one is written."""
    shell = types.SimpleNamespace(state=state)
    writes = trio.run(make_release_writes, make_release(account), shell)
    for write in writes:
        if write.table == ACCOUNTS_TABLE:
            return encode_and_validate(decode(write.value, AccountRecord))
    return None


# -- runs with keys that no task has ------------------------------------------


@pytest.mark.parametrize('place', INVALID_TASK_POSITIONS)
def test_run_of_unknown_task_does_not_invalidate_progress(place):
    """A reported run that no task of the job has is not recorded.

    If the owner adopted it and listed it among the started runs, the next
    owner would refuse the job's progress and withhold the job.
    """
    state = load([make_job_row(JOB)])
    unknown_run = RunningTask(TaskKey(JOB, *place), 5, '', 0, None)
    known_run = RunningTask(TaskKey(JOB, 0, 0, 1), 6, '', 0, None)
    effects = [
        *answer(state, 'w1'),
        *answer(state, 'w0', [unknown_run, known_run]),
    ]
    effects.extend(advance_ticks(state, 500))
    (write,) = list_committed(effects)
    request = state.jobs[JOB].request
    assert find_progress_fault(encode_and_validate(write.record), request) == ''
    assert write.record.started['0.0.1'] == (6, 'w0')


@pytest.mark.parametrize('place', [(0, 0, 9), (0, 0, -1)])
def test_failure_of_unknown_task_does_not_invalidate_progress(place):
    state = load([make_job_row(JOB)])
    answer(state, 'w1')
    answer(state, 'w0')
    for effect in advance_ticks(state, 300):
        if isinstance(effect, CommitProgress):
            core.reduce(
                state, ProgressCommitted(state.now_ms, effect, EPOCH_VERSION)
            )
    key = TaskKey(JOB, *place)
    ended = [
        EndedRun(1, key, 5, RunOutcome.FAILED, ''),
        EndedRun(2, TaskKey(JOB, 0, 0, 1), 6, RunOutcome.FAILED, ''),
    ]
    effects = [*answer(state, 'w0', ended=ended), *advance_ticks(state, 500)]
    (write,) = list_committed(effects)
    request = state.jobs[JOB].request
    assert find_progress_fault(encode_and_validate(write.record), request) == ''
    assert write.record.failures == {'0.0.1': [6]}


@pytest.mark.parametrize(
    'key',
    [
        TaskKey('a/b', 0, 0, 0),
        TaskKey('', 0, 0, 0),
        TaskKey('z', 0, 0, -1),
        TaskKey('z', 0, 0, 10**10),
    ],
)
def test_run_of_unknown_task_does_not_invalidate_release_report(key):
    """A report that named such a run would be refused by the next owner."""
    state = load([make_job_row(JOB), make_job_row(OTHER)])
    runs = [
        RunningTask(one, 5, '', 0, None) for one in (key, TaskKey(JOB, 0, 0, 1))
    ]
    answer(state, 'w0', runs)
    answer(state, 'w1')
    for worker in state.workers.values():
        worker.is_rostered = True
    account = write_account(
        _unconfirmed_runs.make_account(Context(state)), state
    )
    assert account.workers['w0'].tasks == (f'{JOB}.0.0.1',)


def test_invalid_release_report_is_logged_and_not_written():
    state = load()
    account = AccountRecord(5, {'w0': WorkerAccount(10**9, ())})
    with logbook.TestHandler() as handler:
        assert write_account(account, state) is None
    assert state.counters['accounts_not_kept'] == 1
    assert [one.message for one in handler.records] == [
        'release report not written'
    ]


# -- transferred tasks ---------------------------------------------------------


def make_transfer_row():
    step = Step(2, Resources(1000, 1000), long_running=True)
    request = JobRequest('', (step,))
    record = GuestRecord(QUEUE, request, {'0.0.1': 1}, {'0.0.1': 65_536})
    return make_row(f'{JOB}/guest', record)


def test_done_task_of_transferred_job_is_restored():
    """A long-running task of a transferred job may end as done.

    If a unit does not count the tasks of jobs with another home unit, its
    owner ends with a KeyError, and so does the next one when it reads the
    durable progress.
    """
    state = load([make_transfer_row()])
    answer(state, 'w1')
    key = TaskKey(JOB, 0, 0, 1)
    ended = EndedRun(1, key, 70_000, RunOutcome.DONE, '')
    effects = [*answer(state, 'w0', ended=[ended]), *advance_ticks(state, 500)]
    (write,) = list_committed(effects)
    record = encode_and_validate(write.record)
    assert record.done == {'0.0': '2'}
    row = make_row(JOB, record, 20, 'progress0')
    successor = load([make_transfer_row()], [row])
    assert successor.jobs[JOB].tasks[key].is_done
    assert list_started(settle(successor)) == []


# -- figures out of range -----------------------------------------------------

OUT_OF_RANGE = 10**400
INVALID_STEP_FIELDS = [
    {'size': Resources(OUT_OF_RANGE, 0)},
    {'size': Resources(0, OUT_OF_RANGE)},
    {'size': Resources(0, 0, OUT_OF_RANGE)},
    {'estimated_ms': int(1e308)},
    {'estimated_ms': OUT_OF_RANGE},
    {'target_ms': OUT_OF_RANGE},
]


@pytest.mark.parametrize('fields', INVALID_STEP_FIELDS)
def test_job_with_step_figure_out_of_range_is_refused(fields):
    """A job with a figure out of range is refused, and other jobs run.

    With an estimate of 1e308 ms, each owner of the unit would end at a
    division after reading the job's row.
    """
    step = attrs.evolve(Step(2, Resources(1000, 1000)), **fields)
    record = JobRecord(QUEUE, JobRequest('', (step,)))
    state = load([make_row(JOB, record), make_job_row(OTHER)])
    settle(state)
    assert list(state.jobs) == [OTHER]
    assert 'more than there can be' in find_fault(record)


def test_job_with_negative_estimate_out_of_range_is_refused():
    step = Step(2, Resources(1000, 1000), estimated_ms=-OUT_OF_RANGE)
    record = JobRecord(QUEUE, JobRequest('', (step,)))
    state = load([make_row(JOB, record), make_job_row(OTHER)])
    settle(state)
    assert list(state.jobs) == [OTHER]
    assert find_fault(record)


@pytest.mark.parametrize('place', range(3))
def test_job_with_schedule_out_of_range_is_refused(place):
    figures = [0, 1000, 2]
    figures[place] = OUT_OF_RANGE
    step = Step(1, Resources(1000, 1000))
    request = JobRequest('', (step,), Schedule(*figures))
    state = load([make_row(JOB, JobRecord(QUEUE, request))])
    settle(state)
    assert list(state.jobs) == []


INVALID_CAPACITY_FIELDS = [
    {'capacity_millicores': -1},
    {'capacity_millicores': OUT_OF_RANGE},
    {'reserved_millicores': -1},
    {'reserved_millicores': OUT_OF_RANGE},
    {'idle_millicores': -1},
    {'idle_millicores': OUT_OF_RANGE},
    {'places': (-1,)},
    {'places': (OUT_OF_RANGE,)},
    {'places': (1,) * 13},
    {'waiting_millicores': {'batch': -1}},
    {'waiting_millicores': {'batch': OUT_OF_RANGE}},
    {'largest_free': Resources(OUT_OF_RANGE, 0)},
    {'largest_new_millicores': -OUT_OF_RANGE},
]


@pytest.mark.parametrize('fields', INVALID_CAPACITY_FIELDS)
def test_lease_with_invalid_capacity_is_refused(fields):
    lease = LeaseRecord('i:1', 'i', room=UnitCapacity(**fields))
    assert find_fault(decode(encode(lease), LeaseRecord))


def test_lease_with_more_reserved_than_capacity_is_valid():
    room = UnitCapacity(
        16_000,
        20_000,
        largest_free=Resources(-4000, -100),
        largest_new_millicores=-4000,
    )
    encode_and_validate(LeaseRecord('i:1', 'i', room=room))
