"""The log counts workers by the condition for which they refuse a task."""

import pytest

from scheduler_fleet import JOB, LOW_PRIORITY_QUEUE
from tulippin.jobs import _wait_reasons
from tulippin.jobs.state import (
    Job,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import JobRequest, Step, TaskKey, WorkerEntry
from tulippin.types import Resources

NOW_MS = 100_000
SIZE = Resources(2000, 2000)
CAPACITY = Resources(10_000, 64_000)


def count(*, opportunistic, capacity=CAPACITY, **changes):
    """Return the reason for which a worker refuses a task, or `takes_it`."""
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    entry = WorkerEntry('w0', 'catalogue', 'a', 'z', capacity)
    worker = state.workers['w0'] = Worker(
        entry, is_listed=True, is_rostered=True, is_reconciled=True
    )
    for name, value in changes.items():
        setattr(worker, name, value)
    step = Step(1, SIZE, image='batch', opportunistic=opportunistic)
    job = Job(JOB, LOW_PRIORITY_QUEUE, JobRequest('', (step,)), 1)
    task = Task(TaskKey(JOB, 0, 0, 0))
    return _wait_reasons.count(job, step, task, state)


@pytest.mark.parametrize('opportunistic', [False, True])
def test_worker_that_takes_a_task_is_counted_as_such(opportunistic):
    assert count(opportunistic=opportunistic) == {'takes_it': 1}


@pytest.mark.parametrize(
    ('capacity', 'reason'),
    [
        (Resources(1000, 64_000), 'processors'),
        (Resources(10_000, 1000), 'memory'),
    ],
)
def test_missing_resource_of_a_reserving_task_is_named(capacity, reason):
    assert count(opportunistic=False, capacity=capacity) == {reason: 1}


@pytest.mark.parametrize(
    ('capacity', 'reason'),
    [
        (Resources(1000, 64_000), 'busy'),
        (Resources(10_000, 1000), 'no_capacity'),
        (Resources(10_000, 4000), 'kept_memory'),
    ],
)
def test_missing_resource_of_an_opportunistic_task_is_named(capacity, reason):
    assert count(opportunistic=True, capacity=capacity) == {reason: 1}


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'failed_count': 1}, 'silent'),
        ({'is_reconciled': False}, 'unconfirmed'),
        ({'paused_until_ms': NOW_MS + 1}, 'paused'),
    ],
)
def test_closed_worker_is_counted_by_why(changes, reason):
    assert count(opportunistic=False, **changes) == {reason: 1}
