"""Invalid worker reports and list entries must not stop an owner.

Guards against an owner that crashes when a worker reports the end of a task
that its job does not have, such as one with a negative index, and looks it up.
The worker keeps such an end until it is acknowledged, so every next owner
crashed as well. Loads of 1e308, 1e-320 or below zero got into sums, logarithms
and the learned model.
"""

import contextlib
import json

import attrs
import logbook
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from scheduler_fleet import QUEUE
from tulippin._http_client import HttpAnswer
from tulippin.codec_json import encode
from tulippin.exceptions import AnswerLostError
from tulippin.jobs import core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._dispatch import Context
from tulippin.jobs._lifecycle import make_progress, open_steps
from tulippin.jobs._model_store import make_record
from tulippin.jobs._record_validation import find_fault, find_progress_fault
from tulippin.jobs._reports import adopt_orphaned_runs
from tulippin.jobs._unit_capacity import measure
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
HUGE_NUMBER = 10**400
SERVING, FILLER, BATCH, GANG = range(4)
STEPS = (
    Step(2, Resources(2000, 10), long_running=True, image='a', target_ms=50),
    Step(2, Resources(2000, 10), opportunistic=True, image='b'),
    Step(2, Resources(1000, 10), checkpointing=True),
    Step(2, Resources(1000, 10), gang=True),
)
TASK_COUNT = 2


@attrs.define
class FixedAnswerClient:
    """Answers every call with the same report."""

    answer: dict

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        return HttpAnswer(200, {}, json.dumps(self.answer).encode())


def read_report(running=(), ended=(), clock_ms=NOW_MS, workers=None):
    """Return a worker's report as decoded from its answer."""
    client = FixedAnswerClient(
        {'ClockMs': clock_ms, 'RunningCount': running, 'EndedAt': ended}
    )
    workers = workers or PlatformWorkers(lambda: client)
    workers._make_client = lambda: client
    workers._connections.clear()
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
    job = Job(JOB, QUEUE, request, 60, arrived_ms=0)
    for occurrence in range(request.occurrence_count):
        for number, step in enumerate(STEPS):
            job.remaining[occurrence, number] = step.task_count
            for index in range(step.task_count):
                key = TaskKey(JOB, occurrence, number, index)
                job.tasks[key] = Task(key)
    state.jobs[JOB] = job


def make_name(occurrence=0, step=SERVING, index=0):
    return TaskKey(JOB, occurrence, step, index).format()


def deliver_report(state, worker_id, worker_report):
    state.now_ms += 400
    answered = ev.WorkerAnswered(
        state.now_ms, worker_id, state.now_ms - 10, worker_report
    )
    effects = list(core.reduce(state, answered))
    effects += core.reduce(state, ev.Ticked(state.now_ms, state.now_ms))
    return effects


def list_stopped(effects):
    return [effect.key for effect in effects if isinstance(effect, fx.StopRun)]


def check_persisted(state):
    """Check that the next owner can read the job's progress and the model."""
    job = state.jobs[JOB]
    assert not find_progress_fault(make_progress(job), job.request)
    assert not find_fault(make_record(state))


MISSING_TASKS = {
    'occurrence out of range': (2, 0, 0),
    'huge occurrence': (10**9, 0, 0),
    'negative occurrence': (-1, 0, 0),
    'step out of range': (0, 4, 0),
    'negative step': (0, -1, 0),
    'index out of range': (0, 0, 2),
    'huge index': (0, 0, 10**12),
    'negative index': (0, 0, -1),
}
OUTCOMES = ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone')


@pytest.mark.parametrize('outcome', OUTCOMES)
@pytest.mark.parametrize('case', sorted(MISSING_TASKS))
def test_end_of_a_missing_task_is_acknowledged(case, outcome):
    """It is acknowledged, so that its worker drops it, and changes no job."""
    state = make_owner()
    before = make_progress(state.jobs[JOB])
    ended = [(1, make_name(*MISSING_TASKS[case]), 1, outcome, '')]
    deliver_report(state, 'w0', read_report(ended=ended))
    assert state.workers['w0'].last_read_end_number == 1
    assert make_progress(state.jobs[JOB]) == before
    assert len(state.jobs[JOB].tasks) == 2 * len(STEPS) * TASK_COUNT
    check_persisted(state)


@pytest.mark.parametrize('case', sorted(MISSING_TASKS))
def test_run_of_a_missing_task_is_stopped(case):
    state = make_owner()
    row = (make_name(*MISSING_TASKS[case]), 1, '', 0, 0)
    effects = deliver_report(state, 'w0', read_report([row]))
    assert TaskKey(JOB, *MISSING_TASKS[case]) in list_stopped(effects)
    assert len(state.jobs[JOB].tasks) == 2 * len(STEPS) * TASK_COUNT
    check_persisted(state)


@pytest.mark.parametrize('case', sorted(MISSING_TASKS))
def test_deferred_end_of_a_missing_task_changes_nothing(case):
    """The end is reported before its job is received."""
    state = make_owner()
    job = state.jobs.pop(JOB)
    ended = [(1, make_name(*MISSING_TASKS[case]), 1, 'done', '')]
    deliver_report(state, 'w0', read_report(ended=ended))
    state.jobs[JOB] = job

    adopt_orphaned_runs(job, Context(state))
    assert len(job.tasks) == 2 * len(STEPS) * TASK_COUNT
    check_persisted(state)


@pytest.mark.parametrize(
    'load', [-1, -1e308, 1e10, 1e308, -HUGE_NUMBER, HUGE_NUMBER]
)
def test_invalid_load_is_unknown_and_logged_once(load):
    row = (make_name(), 1, '', 100, load)
    workers = PlatformWorkers(None)
    with logbook.TestHandler() as lines:
        for _ in range(3):
            worker_report = read_report([row], workers=workers)
            assert worker_report.running[0].load is None
    warnings = [one for one in lines.records if one.message == 'load unusable']
    assert [one.kwargs['worker'] for one in warnings] == ['w0']
    with logbook.TestHandler() as lines:
        read_report([(make_name(), 1, '', 100, 12.5)], workers=workers)
        read_report([row], workers=workers)
    assert [one.message for one in lines.records] == ['load unusable']


@pytest.mark.parametrize(
    'percent', [-1, -1e308, 101, 1e308, -HUGE_NUMBER, HUGE_NUMBER]
)
def test_invalid_progress_is_clamped(percent):
    worker_report = read_report([(make_name(), 1, '', percent, 0)])
    assert 0 <= worker_report.running[0].progress_percent <= 100


MAX_DIGITS_NUMBER = int('9' * 4300)
UNSENDABLE = {
    'clock': {'clock_ms': MAX_DIGITS_NUMBER},
    'negative clock': {'clock_ms': -MAX_DIGITS_NUMBER},
    'run': {'running': [(make_name(), MAX_DIGITS_NUMBER, '', 0, 0)]},
    'end': {'ended': [(MAX_DIGITS_NUMBER, make_name(), 1, 'done', '')]},
    'run of an end': {
        'ended': [(1, make_name(), MAX_DIGITS_NUMBER, 'done', '')]
    },
}


@pytest.mark.parametrize('case', sorted(UNSENDABLE))
def test_number_too_large_to_send_is_a_lost_answer(case):
    """Its successor has more digits than Python converts to text."""
    with pytest.raises(AnswerLostError):
        read_report(**UNSENDABLE[case])


def test_any_accepted_clock_can_be_sent():
    state = make_owner()
    for clock_ms in (2**62 - 1, -(2**62)):
        effects = deliver_report(state, 'w0', read_report(clock_ms=clock_ms))
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


def test_missing_load_keeps_the_tail_and_counts_as_no_use():
    """Guards against a missing tail that counts as 0 ms, within any target."""
    state = make_owner()
    rows = [
        (make_name(), 1, '', 100, 40.0),
        (make_name(step=FILLER), 1, '', 9, 1500.0),
    ]
    deliver_report(state, 'w0', read_report(rows))
    serving, filler = state.workers['w0'].attempts.values()
    assert serving.tail_ms == 40.0
    deliver_report(state, 'w0', read_report([row[:4] for row in rows]))
    assert (serving.load, serving.tail_ms) == (0.0, 40.0)
    assert filler.load == 0.0
    # The tail is not derived from the reading before the missing one.
    deliver_report(state, 'w0', read_report(rows))
    assert serving.tail_ms == 40.0


KEYS = st.builds(
    make_name,
    st.sampled_from((0, 0, 0, 1, 2, -1, 10**9)),
    st.sampled_from((0, 0, 1, 1, 2, 3, 4, -1)),
    st.sampled_from((0, 0, 1, 1, 2, -1, 10**12)),
)
RUNS = st.sampled_from((1, 1, 1, 2, 0, -1, 2**62 - 1))
LOADS = st.sampled_from(
    (
        None,
        0,
        1e-320,
        1e-9,
        0.5,
        14.0,
        60.0,
        2000.0,
        1e9,
        1e308,
        -5,
        HUGE_NUMBER,
    )
)
PERCENTS = st.sampled_from((0, 0.5, 50, 100, -1, 1e308, HUGE_NUMBER))
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
def test_no_report_stops_its_owner(reports):
    state = make_owner()
    for worker_id, running, ended, clock_ms in reports:
        with contextlib.suppress(AnswerLostError):
            deliver_report(
                state, worker_id, read_report(running, ended, clock_ms)
            )
        check_persisted(state)


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
COUNTS = st.sampled_from((0, 1, -1, 2**31, 2**64, HUGE_NUMBER, -HUGE_NUMBER))
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
def test_no_entry_and_no_queue_stops_an_owner(entries, route, run_ms):
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
        (make_name(step=FILLER), 1, '', 9, 1500.0),
        (make_name(), 1, '', 100, 40.0),
    ]
    for number, entry in entries:
        list_entry(state, number, entry)
        deliver_report(state, 'w0', read_report(running))
        state.now_ms += 700
        core.reduce(state, ev.Ticked(state.now_ms, state.now_ms))
    failed = [(1, make_name(step=BATCH), 1, 'failed', '')]
    deliver_report(state, 'w0', read_report(running, failed))
    check_persisted(state)
    measure(state)


@given(st.lists(ENTRIES, max_size=8))
def test_any_entries_give_a_valid_layout(entries):
    found = [
        decode_worker(f'w{number}', json.dumps(entry).encode())
        for number, entry in enumerate(entries)
    ]
    layout = make_layout(found)
    assert not find_fault(layout)
    assert not find_fault(extend_layout(layout, found))
