"""Workers that report what no worker can, or are listed as none can be.

A worker that listed the end of a task that its job has not, of an occurrence
past the last or with a negative index, ended its owner: the task was looked
up by its number. The end stays in the worker's list until it is noted, so
that each next owner met it too. Loads and tails of 1e308, below zero or of
1e-320 went into sums, logarithms and what is learned of images.
"""

import contextlib
import json

import attrs
import logbook
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fleet_of_schedulers import QUEUE
from tulippin._http_client import HttpAnswer
from tulippin.codec_json import encode
from tulippin.exceptions import AnswerLostError
from tulippin.jobs import core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._dispatch import Context
from tulippin.jobs._lifecycle import make_progress, open_steps
from tulippin.jobs._memory import make_record
from tulippin.jobs._reports import adopt_strays
from tulippin.jobs._rooms import measure
from tulippin.jobs._row_checks import find_fault, find_progress_fault
from tulippin.jobs.layout import extend_layout, make_layout
from tulippin.jobs.records import EpochRecord
from tulippin.jobs.state import (
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import (
    JobRequest,
    Schedule,
    Step,
    TaskKey,
    WorkerEntry,
)
from tulippin.platform.feeds import decode_configuration, decode_worker
from tulippin.platform.workers import PlatformWorkers
from tulippin.types import Resources

NOW_MS = 100_000
JOB = '00000000000000aa'
HUGE = 10**400
SERVING, FILLER, BATCH, GANG = range(4)
STEPS = (
    Step(2, Resources(2000, 10), long_running=True, image='a', target_ms=50),
    Step(2, Resources(2000, 10), opportunistic=True, image='b'),
    Step(2, Resources(1000, 10), checkpointing=True),
    Step(2, Resources(1000, 10), gang=True),
)
TASK_COUNT = 2


@attrs.define
class CannedClient:
    """Answers every order with the same report."""

    answer: dict

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        return HttpAnswer(200, {}, json.dumps(self.answer).encode())


def hear(running=(), ended=(), clock_ms=NOW_MS, workers=None):
    """Return a worker's report as it is read from its answer."""
    client = CannedClient(
        {'ClockMs': clock_ms, 'RunningCount': running, 'EndedAt': ended}
    )
    workers = workers or PlatformWorkers(lambda: client)
    workers._make_client = lambda: client
    workers._clients.clear()
    return trio.run(workers.hold, 'w0', '10.0.0.1:80', 1, 0, None, 0)


def make_owner():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    ownership = state.ownership
    ownership.phase = Phase.ACTIVE
    ownership.epoch = EpochRecord(7, 'i:1')
    ownership.epoch_version = 50
    ownership.taken_ms = ownership.renewed_ms = NOW_MS
    for number in range(2):
        address = f'10.0.0.{number + 1}:80'
        entry = WorkerEntry(
            f'w{number}', QUEUE.service, address, 'z', Resources(16_000, 64_000)
        )
        worker = state.workers[entry.worker_id] = Worker(entry)
        worker.is_rostered = worker.is_reconciled = True
        worker.clock_offset_ms = 0
        worker.answered_ms = NOW_MS
        state.roster[entry.worker_id] = entry.address
    add_job(state)
    return state


def add_job(state):
    request = JobRequest('', STEPS, Schedule(0, 0, 2))
    job = Job(JOB, QUEUE, request, 60, arrived_ms=0, depths=(1,) * len(STEPS))
    for occurrence in range(request.occurrence_count):
        for number, step in enumerate(STEPS):
            job.remaining[occurrence, number] = step.task_count
            for index in range(step.task_count):
                key = TaskKey(JOB, occurrence, number, index)
                job.tasks[key] = Task(key)
    state.jobs[JOB] = job


def name(occurrence=0, step=SERVING, index=0):
    return TaskKey(JOB, occurrence, step, index).format()


def report(state, worker_id, heard):
    state.now_ms += 400
    answered = ev.WorkerAnswered(
        state.now_ms, worker_id, state.now_ms - 10, heard
    )
    effects = list(core.reduce(state, answered))
    effects += core.reduce(state, ev.Ticked(state.now_ms, state.now_ms))
    return effects


def list_stopped(effects):
    return [effect.key for effect in effects if isinstance(effect, fx.StopRun)]


def check_kept(state):
    """What is kept of the job can be read by its next owner."""
    job = state.jobs[JOB]
    assert not find_progress_fault(make_progress(job), job.request)
    assert not find_fault(make_record(state))


NO_TASKS = {
    'occurrence past the last': (2, 0, 0),
    'huge occurrence': (10**9, 0, 0),
    'negative occurrence': (-1, 0, 0),
    'step past the last': (0, 4, 0),
    'negative step': (0, -1, 0),
    'index past the last': (0, 0, 2),
    'huge index': (0, 0, 10**12),
    'negative index': (0, 0, -1),
}
OUTCOMES = ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone')


@pytest.mark.parametrize('outcome', OUTCOMES)
@pytest.mark.parametrize('place', sorted(NO_TASKS))
def test_end_of_a_task_that_its_job_has_not(place, outcome):
    """It is noted, so that its worker forgets it, and changes no job."""
    state = make_owner()
    before = make_progress(state.jobs[JOB])
    ended = [(1, name(*NO_TASKS[place]), 1, outcome, '')]
    report(state, 'w0', hear(ended=ended))
    assert state.workers['w0'].ends_read == 1
    assert make_progress(state.jobs[JOB]) == before
    assert len(state.jobs[JOB].tasks) == 2 * len(STEPS) * TASK_COUNT
    check_kept(state)


@pytest.mark.parametrize('place', sorted(NO_TASKS))
def test_run_of_a_task_that_its_job_has_not_is_stopped(place):
    state = make_owner()
    row = (name(*NO_TASKS[place]), 1, '', 0, 0)
    effects = report(state, 'w0', hear([row]))
    assert TaskKey(JOB, *NO_TASKS[place]) in list_stopped(effects)
    assert len(state.jobs[JOB].tasks) == 2 * len(STEPS) * TASK_COUNT
    check_kept(state)


@pytest.mark.parametrize('place', sorted(NO_TASKS))
def test_early_end_of_a_task_that_its_job_has_not(place):
    """It was met before its job, which then comes."""
    state = make_owner()
    job = state.jobs.pop(JOB)
    ended = [(1, name(*NO_TASKS[place]), 1, 'done', '')]
    report(state, 'w0', hear(ended=ended))
    state.jobs[JOB] = job

    adopt_strays(job, Context(state))
    assert len(job.tasks) == 2 * len(STEPS) * TASK_COUNT
    check_kept(state)


@pytest.mark.parametrize('load', [-1, -1e308, 1e10, 1e308, -HUGE, HUGE])
def test_load_of_no_worker_is_not_known_and_told_once(load):
    row = (name(), 1, '', 100, load)
    workers = PlatformWorkers(None)
    with logbook.TestHandler() as lines:
        for _ in range(3):
            heard = hear([row], workers=workers)
            assert heard.running[0].load is None
    told = [one for one in lines.records if one.message == 'load unusable']
    assert [one.kwargs['worker'] for one in told] == ['w0']
    with logbook.TestHandler() as lines:
        hear([(name(), 1, '', 100, 12.5)], workers=workers)
        hear([row], workers=workers)
    assert [one.message for one in lines.records] == ['load unusable']


@pytest.mark.parametrize('percent', [-1, -1e308, 101, 1e308, -HUGE, HUGE])
def test_progress_of_no_task_is_within_its_bounds(percent):
    heard = hear([(name(), 1, '', percent, 0)])
    assert 0 <= heard.running[0].progress_percent <= 100


NINES = int('9' * 4300)
UNCOUNTABLE = {
    'clock': {'clock_ms': NINES},
    'clock below none': {'clock_ms': -NINES},
    'run': {'running': [(name(), NINES, '', 0, 0)]},
    'end': {'ended': [(NINES, name(), 1, 'done', '')]},
    'run of an end': {'ended': [(1, name(), NINES, 'done', '')]},
}


@pytest.mark.parametrize('place', sorted(UNCOUNTABLE))
def test_number_that_no_order_can_carry_is_a_lost_answer(place):
    """One more than it has a digit more than a text of a number may have."""
    with pytest.raises(AnswerLostError):
        hear(**UNCOUNTABLE[place])


def test_clock_that_is_read_can_be_sent():
    state = make_owner()
    for clock_ms in (2**62 - 1, -(2**62)):
        effects = report(state, 'w0', hear(clock_ms=clock_ms))
        state.workers['w0'].hold_after_ms = 0
        state.workers['w0'].is_reconciled = False
        effects += core.reduce(state, ev.Ticked(state.now_ms, state.now_ms))
        deadlines = [
            effect.deadline_ms
            for effect in effects
            if isinstance(effect, fx.HoldWorker)
        ]
        assert deadlines
        assert all(len(encode(one)) < 30 for one in deadlines)


def test_load_that_is_not_told_is_no_tail_and_no_use():
    """A tail that was not told kept every target, as one of 0 ms would."""
    state = make_owner()
    rows = [(name(), 1, '', 100, 40.0), (name(step=FILLER), 1, '', 9, 1500.0)]
    report(state, 'w0', hear(rows))
    serving, filler = state.workers['w0'].attempts.values()
    assert serving.tail_ms == 40.0
    report(state, 'w0', hear([row[:4] for row in rows]))
    assert (serving.load, serving.tail_ms) == (0.0, 40.0)
    assert filler.load == 0.0
    # What was read before is no base of the next tail.
    report(state, 'w0', hear(rows))
    assert serving.tail_ms == 40.0


KEYS = st.builds(
    name,
    st.sampled_from((0, 0, 0, 1, 2, -1, 10**9)),
    st.sampled_from((0, 0, 1, 1, 2, 3, 4, -1)),
    st.sampled_from((0, 0, 1, 1, 2, -1, 10**12)),
)
RUNS = st.sampled_from((1, 1, 1, 2, 0, -1, 2**62 - 1))
LOADS = st.sampled_from(
    (None, 0, 1e-320, 1e-9, 0.5, 14.0, 60.0, 2000.0, 1e9, 1e308, -5, HUGE)
)
PERCENTS = st.sampled_from((0, 0.5, 50, 100, -1, 1e308, HUGE))
ROWS = st.tuples(KEYS, RUNS, st.sampled_from(('', 'c')), PERCENTS, LOADS)
ENDS = st.tuples(
    st.sampled_from((-1, 0, 1, 2, 3, 2**62 - 1)),
    KEYS,
    RUNS,
    st.sampled_from(OUTCOMES),
    st.sampled_from(('', 'c')),
)
CLOCKS = st.sampled_from((NOW_MS, 0, -1, -(2**62), 2**62 - 1))
REPORTS = st.tuples(
    st.sampled_from(('w0', 'w1')),
    st.lists(ROWS, max_size=5),
    st.lists(ENDS, max_size=3),
    CLOCKS,
)


@settings(max_examples=300, suppress_health_check=list(HealthCheck))
@given(st.lists(REPORTS, min_size=1, max_size=6))
def test_no_report_ends_its_owner(reports):
    state = make_owner()
    for worker_id, running, ended, clock_ms in reports:
        with contextlib.suppress(AnswerLostError):
            report(state, worker_id, hear(running, ended, clock_ms))
        check_kept(state)


# -- entries and configurations -----------------------------------------------

ENTRY = {
    'Service': QUEUE.service,
    'Address': '10.0.0.1:80',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 8,
    'State': 'ready',
    'ColdRemainingMs': 0,
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpus': 0},
    'Labels': ['a', 'r1'],
    'ClockMs': 482113,
    'Sequence': 4,
}
TIMES = st.sampled_from((0, 0.5, 1, -1, 1e15, 1e308, -1e308))
COUNTS = st.sampled_from((0, 1, -1, 2**31, 2**64, HUGE, -HUGE))
ENTRIES = st.fixed_dictionaries(
    {},
    optional={
        'Capacity': st.fixed_dictionaries(
            {
                'Cpu': st.sampled_from((1, 999, 16000, 10**9)),
                'MemMb': st.sampled_from((1, 32768, 10**9)),
            },
            optional={'Gpus': st.sampled_from((0, 1, 10**6))},
        ),
        'State': st.sampled_from(('ready', 'draining')),
        'Labels': st.sampled_from((['a'], ['a', ''], ['', 'r1'], ['a'] * 9)),
        'Slots': COUNTS,
        'Sequence': COUNTS,
        'ClockMs': COUNTS,
        'ColdRemainingMs': TIMES,
        'RemainingMs': TIMES,
    },
).map(lambda changes: {**ENTRY, **changes})
ROUTES = st.fixed_dictionaries(
    {
        'Name': st.just(QUEUE.name),
        'Host': st.just('host'),
        'PathPrefix': st.just('/q/'),
        'Service': st.just(QUEUE.service),
    },
    optional={
        'Priority': COUNTS,
        'MaxAttempts': COUNTS,
        'Stretch': TIMES,
        'TargetLatencyMs': TIMES,
    },
)


def list_entry(state, number, entry):
    value = json.dumps({**entry, 'Address': f'10.0.0.{number + 1}:80'})
    found = decode_worker(f'w{number}', value.encode())
    state.now_ms += 50
    return core.reduce(
        state, ev.WorkersChanged(state.now_ms, (found,), (), state.now_ms)
    )


@settings(max_examples=150, suppress_health_check=list(HealthCheck))
@given(
    st.lists(st.tuples(st.sampled_from((0, 1)), ENTRIES), max_size=4),
    ROUTES,
    st.sampled_from((0.0, 1e-9, 500.0, 1e9)),
)
def test_no_entry_and_no_queue_ends_an_owner(entries, route, run_ms):
    state = make_owner()
    value = json.dumps({'Version': 1, 'Routes': [route]}).encode()
    configuration = decode_configuration(value)
    core.reduce(state, ev.ConfigurationChanged(state.now_ms, configuration))
    job = state.jobs[JOB]
    job.queue = configuration.queues[0]
    if run_ms:
        state.run_times_ms[QUEUE.name] = run_ms
    open_steps(job, state)
    running = [
        (name(step=FILLER), 1, '', 9, 1500.0),
        (name(), 1, '', 100, 40.0),
    ]
    for number, entry in entries:
        list_entry(state, number, entry)
        report(state, 'w0', hear(running))
        state.now_ms += 700
        core.reduce(state, ev.Ticked(state.now_ms, state.now_ms))
    failed = [(1, name(step=BATCH), 1, 'failed', '')]
    report(state, 'w0', hear(running, failed))
    check_kept(state)
    measure(state)


@given(st.lists(ENTRIES, max_size=8))
def test_any_entries_make_a_layout(entries):
    found = [
        decode_worker(f'w{number}', json.dumps(entry).encode())
        for number, entry in enumerate(entries)
    ]
    layout = make_layout(found)
    assert not find_fault(layout)
    assert not find_fault(extend_layout(layout, found))
