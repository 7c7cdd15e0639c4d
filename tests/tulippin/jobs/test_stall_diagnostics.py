"""The log tells what holds back the job that has waited longest."""

import logbook
import pytest

import waiting_jobs
from scheduler_fleet import JOB, LOW_PRIORITY_QUEUE, open_fleet
from tulippin.jobs import _stall_diagnostics
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import JobRequest, Step, TaskKey, WorkerEntry
from tulippin.types import Resources

NOW_MS = 100_000
WORKERS = 2
JOBS = 4


def list_stalled(run_virtual, monkeypatch):
    """Return the log lines of four jobs that are worked off for 10 s."""
    get_own_ms = waiting_jobs.follow_load(monkeypatch, {})

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await waiting_jobs.serve(fleet, WORKERS)
            waiting_jobs.expect_harm(fleet, 'heavy')
            numbers = range(10, 10 + JOBS)
            for number in numbers:
                request = waiting_jobs.make_batch(8)
                await waiting_jobs.submit(fleet, number, request)
            watch = waiting_jobs.Watch(fleet, get_own_ms)
            await watch.run(waiting_jobs.get_ids(numbers), for_s=10)

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_virtual(run)
    return [
        record.kwargs
        for record in handler.records
        if record.message == 'job stalled'
    ]


def test_stalled_job_is_logged_with_its_runs_and_refusals(
    run_virtual, monkeypatch
):
    lines = list_stalled(run_virtual, monkeypatch)
    assert lines
    first = lines[0]
    assert first['stalled_ms'] >= 2000
    assert first['waiting_tasks'] == 8
    assert first['may_start']
    assert not first['awaits_workers']
    assert first['runs'] == []
    assert first['refused'] == {'harms_one_of_1': WORKERS}
    assert sum(first['slow_start'].values()) == WORKERS


def test_paused_run_of_a_stalled_job_is_logged():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    entry = WorkerEntry('w0', 's', 'a', 'z', Resources(10_000, 64_000))
    worker = state.workers['w0'] = Worker(entry)
    worker.targets_missed_since_ms = NOW_MS - 1500
    step = Step(2, Resources(1000, 1000), image='batch', opportunistic=True)
    job = Job(JOB, LOW_PRIORITY_QUEUE, JobRequest('', (step,)), 1)
    job.worked_ms = NOW_MS - 2500
    state.jobs[JOB] = job
    started, waiting = (Task(TaskKey(JOB, 0, 0, index)) for index in range(2))
    job.tasks = {task.key: task for task in (started, waiting)}
    state.ready_opportunistic[JOB, 0, 0] = {waiting.key: waiting}
    attempt = Attempt(
        started.key, 1, 'w0', step, 2, AttemptState.RUNNING, NOW_MS - 4000
    )
    attempt.target_pace_percent = 0
    add_attempt(attempt, started, worker)
    context = Context(state)
    _stall_diagnostics.log_longest(context)
    [effect] = context.effects
    assert effect.decision == 'job stalled'
    assert effect.fields['stalled_ms'] == 2500
    assert effect.fields['task'] == waiting.key.format()
    assert effect.fields['slow_start'] == {'target_missed': 1}
    assert effect.fields['runs'] == [
        {
            'task': started.key.format(),
            'worker': 'w0',
            'state': 'running',
            'age_ms': 4000,
            'pace_percent': 0,
            'progress_percent': 0,
            'is_silent': False,
            'target_missed_ms': 1500,
        }
    ]


def count_refusals(capacity, **changes):
    """Return by which condition a worker refuses runs and slow starts."""
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    entry = WorkerEntry('w0', 'catalogue', 'a', 'z', capacity)
    worker = state.workers['w0'] = Worker(
        entry, is_listed=True, is_rostered=True, is_reconciled=True
    )
    for name, value in changes.items():
        setattr(worker, name, value)
    step = Step(1, Resources(1000, 1000), image='batch', opportunistic=True)
    job = Job(JOB, LOW_PRIORITY_QUEUE, JobRequest('', (step,)), 1)
    job.worked_ms = NOW_MS - 2500
    state.jobs[JOB] = job
    task = Task(TaskKey(JOB, 0, 0, 0))
    job.tasks = {task.key: task}
    state.ready_opportunistic[JOB, 0, 0] = {task.key: task}
    context = Context(state)
    _stall_diagnostics.log_longest(context)
    [effect] = context.effects
    return effect.fields['refused'], effect.fields['slow_start']


@pytest.mark.parametrize(
    ('capacity', 'changes', 'reason'),
    [
        (Resources(10_000, 900), {}, 'no_capacity'),
        (Resources(90, 64_000), {}, 'busy'),
        (Resources(10_000, 64_000), {'failed_count': 1}, 'silent'),
        (
            Resources(10_000, 64_000),
            {'quarantined_until_ms': NOW_MS + 1},
            'paused',
        ),
        (Resources(10_000, 64_000), {'is_listed': False}, 'unlisted'),
    ],
)
def test_refused_slow_start_is_logged_by_condition(capacity, changes, reason):
    _, slow_start = count_refusals(capacity, **changes)
    assert slow_start == {reason: 1}


@pytest.mark.parametrize(
    ('capacity', 'changes', 'reason'),
    [
        (Resources(900, 64_000), {}, 'busy'),
        (
            Resources(10_000, 4000),
            {'reserved': Resources(0, 1500)},
            'kept_memory',
        ),
    ],
)
def test_condition_that_holds_back_no_slow_start_is_logged(
    capacity, changes, reason
):
    refused, slow_start = count_refusals(capacity, **changes)
    assert refused == {reason: 1}
    assert slow_start == {'takes_it': 1}
