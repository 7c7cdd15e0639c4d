"""Whatever an owner writes, the next one reads, and decides the same.

What users saw of records that do not read back: jobs of which nothing was
started again (the next owner refused their progress), and instances that
ended one after the other at a figure that another had kept.
"""

import types

import attrs
import logbook
import pytest
import trio
from test_foreign_rows import (
    JOB,
    OTHER,
    QUEUE,
    answer,
    list_committed,
    list_started,
    load,
    make_job_row,
    make_row,
    pass_time,
    settle,
)

from tulippin.codec_json import decode, encode
from tulippin.jobs import _unseen, core
from tulippin.jobs._accounts import make_known_writes
from tulippin.jobs._dispatch import Context
from tulippin.jobs._row_checks import find_fault, find_progress_fault
from tulippin.jobs.effects import CommitProgress, ReleaseLease
from tulippin.jobs.events import ProgressCommitted
from tulippin.jobs.records import (
    ACCOUNTS_TABLE,
    AccountRecord,
    EpochRecord,
    GuestRecord,
    JobRecord,
    LeaseRecord,
    UnitRoom,
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
# Names that a worker may tell, and that no task of the job has.
NO_TASKS = [(0, 0, 9), (0, -1, 0), (5, 0, 0), (0, 0, -1), (-1, 0, 0)]


def read_back(record):
    """Return a record as its readers get it from a row."""
    again = decode(encode(record), type(record))
    assert find_fault(again) == ''
    return again


def make_release(account):
    lease = LeaseRecord('i:1', 'i')
    return ReleaseLease(lease, None, account, EpochRecord(5, 'i:1'), 100)


def write_account(account, state):
    """Return the account that a release keeps, as it is read; or nothing."""
    shell = types.SimpleNamespace(state=state)
    writes = trio.run(make_known_writes, make_release(account), shell)
    for write in writes:
        if write.table == ACCOUNTS_TABLE:
            return read_back(decode(write.value, AccountRecord))
    return None


# -- runs that no job can have ------------------------------------------------


@pytest.mark.parametrize('place', NO_TASKS)
def test_run_of_no_task_leaves_the_job_its_progress(place):
    """A worker told a run that its job can't have.

    The owner took it over and named it among the job's started runs. The
    next one refused the whole of the job's progress and withheld the job.
    """
    state = load([make_job_row(JOB)])
    odd = RunningTask(TaskKey(JOB, *place), 5, '', 0, None)
    own = RunningTask(TaskKey(JOB, 0, 0, 1), 6, '', 0, None)
    effects = [*answer(state, 'w1'), *answer(state, 'w0', [odd, own])]
    effects.extend(pass_time(state, 500))
    (write,) = list_committed(effects)
    request = state.jobs[JOB].request
    assert find_progress_fault(read_back(write.record), request) == ''
    assert write.record.started['0.0.1'] == (6, 'w0')


@pytest.mark.parametrize('place', [(0, 0, 9), (0, 0, -1)])
def test_failure_of_no_task_leaves_the_job_its_progress(place):
    state = load([make_job_row(JOB)])
    answer(state, 'w1')
    answer(state, 'w0')
    for effect in pass_time(state, 300):
        if isinstance(effect, CommitProgress):
            core.reduce(
                state, ProgressCommitted(state.now_ms, effect, EPOCH_VERSION)
            )
    key = TaskKey(JOB, *place)
    ended = [
        EndedRun(1, key, 5, RunOutcome.FAILED, ''),
        EndedRun(2, TaskKey(JOB, 0, 0, 1), 6, RunOutcome.FAILED, ''),
    ]
    effects = [*answer(state, 'w0', ended=ended), *pass_time(state, 500)]
    (write,) = list_committed(effects)
    request = state.jobs[JOB].request
    assert find_progress_fault(read_back(write.record), request) == ''
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
def test_run_that_no_job_can_have_leaves_the_account_readable(key):
    """A worker told such a run, and the next owner refused the account."""
    state = load([make_job_row(JOB), make_job_row(OTHER)])
    runs = [
        RunningTask(one, 5, '', 0, None) for one in (key, TaskKey(JOB, 0, 0, 1))
    ]
    answer(state, 'w0', runs)
    answer(state, 'w1')
    for worker in state.workers.values():
        worker.is_rostered = True
    account = write_account(_unseen.make_account(Context(state)), state)
    assert account.workers['w0'].tasks == (f'{JOB}.0.0.1',)


def test_account_that_nobody_would_read_is_told_and_not_written():
    state = load()
    account = AccountRecord(5, {'w0': WorkerAccount(10**9, ())})
    with logbook.TestHandler() as handler:
        assert write_account(account, state) is None
    assert state.counters['accounts_not_kept'] == 1
    assert [one.message for one in handler.records] == [
        'release report not written'
    ]


# -- tasks that another unit passed on -----------------------------------------


def make_guest_row():
    step = Step(2, Resources(1000, 1000), long_running=True)
    request = JobRequest('', (step,))
    record = GuestRecord(QUEUE, request, {'0.0.1': 1}, {'0.0.1': 65_536})
    return make_row(f'{JOB}/guest', record)


def test_guest_task_that_is_done_ends_no_owner():
    """A worker tells that a long-running task of a guest has ended, done.

    The unit had not counted the job's tasks, as it is not their home, and its
    owner ended with a KeyError. So did the next one, at the durable progress.
    """
    state = load([make_guest_row()])
    answer(state, 'w1')
    key = TaskKey(JOB, 0, 0, 1)
    ended = EndedRun(1, key, 70_000, RunOutcome.DONE, '')
    effects = [*answer(state, 'w0', ended=[ended]), *pass_time(state, 500)]
    (write,) = list_committed(effects)
    record = read_back(write.record)
    assert record.done == {'0.0': '2'}
    row = make_row(JOB, record, 20, 'progress0')
    successor = load([make_guest_row()], [row])
    assert successor.jobs[JOB].tasks[key].is_done
    assert list_started(settle(successor)) == []


# -- figures that are none ----------------------------------------------------

WITHOUT_END = 10**400
ODD_STEPS = [
    {'size': Resources(WITHOUT_END, 0)},
    {'size': Resources(0, WITHOUT_END)},
    {'size': Resources(0, 0, WITHOUT_END)},
    {'estimated_ms': int(1e308)},
    {'estimated_ms': WITHOUT_END},
    {'target_ms': WITHOUT_END},
]


@pytest.mark.parametrize('fields', ODD_STEPS)
def test_figure_without_end_costs_its_job_alone(fields):
    """A caller's guess of 1e308 ms ended each owner of the job's unit.

    Its row is read again by the next owner, which divides by it as well.
    """
    step = attrs.evolve(Step(2, Resources(1000, 1000)), **fields)
    record = JobRecord(QUEUE, JobRequest('', (step,)))
    state = load([make_row(JOB, record), make_job_row(OTHER)])
    settle(state)
    assert list(state.jobs) == [OTHER]
    assert 'more than there can be' in find_fault(record)


def test_guess_below_all_figures_costs_its_job_alone():
    step = Step(2, Resources(1000, 1000), estimated_ms=-WITHOUT_END)
    record = JobRecord(QUEUE, JobRequest('', (step,)))
    state = load([make_row(JOB, record), make_job_row(OTHER)])
    settle(state)
    assert list(state.jobs) == [OTHER]
    assert find_fault(record)


@pytest.mark.parametrize('place', range(3))
def test_schedule_without_end_costs_its_job_alone(place):
    figures = [0, 1000, 2]
    figures[place] = WITHOUT_END
    step = Step(1, Resources(1000, 1000))
    request = JobRequest('', (step,), Schedule(*figures))
    state = load([make_row(JOB, JobRecord(QUEUE, request))])
    settle(state)
    assert list(state.jobs) == []


ODD_ROOMS = [
    {'capacity_millicores': -1},
    {'capacity_millicores': WITHOUT_END},
    {'reserved_millicores': -1},
    {'reserved_millicores': WITHOUT_END},
    {'idle_millicores': -1},
    {'idle_millicores': WITHOUT_END},
    {'places': (-1,)},
    {'places': (WITHOUT_END,)},
    {'places': (1,) * 13},
    {'waiting_millicores': {'batch': -1}},
    {'waiting_millicores': {'batch': WITHOUT_END}},
    {'largest_free': Resources(WITHOUT_END, 0)},
    {'largest_new_millicores': -WITHOUT_END},
]


@pytest.mark.parametrize('fields', ODD_ROOMS)
def test_room_that_is_none_is_refused(fields):
    lease = LeaseRecord('i:1', 'i', room=UnitRoom(**fields))
    assert find_fault(decode(encode(lease), LeaseRecord))


def test_room_with_more_reserved_than_there_is_reads_back():
    room = UnitRoom(
        16_000,
        20_000,
        largest_free=Resources(-4000, -100),
        largest_new_millicores=-4000,
    )
    read_back(LeaseRecord('i:1', 'i', room=room))
