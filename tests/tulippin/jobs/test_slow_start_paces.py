"""A slow start uses only the processors and memory that others leave."""

import attrs
import pytest

from scheduler_fleet import JOB, LOW_PRIORITY_QUEUE
from tulippin.jobs import _pacing, _slow_start
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
CAPACITY = Resources(10_000, 64_000)


def make_fillers(count, cpu, memory_mb=1000):
    return Step(count, Resources(cpu, memory_mb), opportunistic=True, image='b')


@attrs.define
class Unit:
    """A scheduler's state with workers that accept runs."""

    state: SchedulerState = attrs.field(
        factory=lambda: SchedulerState(
            SchedulerConfig('i', 'i:1'), now_ms=NOW_MS
        )
    )

    def add_worker(self, worker_id='w0'):
        entry = WorkerEntry(worker_id, 'catalogue', 'a', 'z', CAPACITY)
        worker = Worker(
            entry, is_listed=True, is_rostered=True, is_reconciled=True
        )
        self.state.workers[worker_id] = worker
        return worker

    def add_job(self, step):
        job = Job(JOB, LOW_PRIORITY_QUEUE, JobRequest('', (step,)), 1)
        self.state.jobs[JOB] = job
        task = Task(TaskKey(JOB, 0, 0, 0))
        job.tasks[task.key] = task
        return job, task

    def run(self, step, worker, number, pace_percent=100):
        """Add a run of another job to a worker."""
        task = Task(TaskKey(f'{number:016x}', 0, 0, 0))
        attempt = Attempt(
            task.key, 1, worker.worker_id, step, 2, AttemptState.RUNNING, NOW_MS
        )
        attempt.target_pace_percent = pace_percent
        attempt.is_slow_start = pace_percent < 100
        add_attempt(attempt, task, worker)
        return attempt


@pytest.mark.parametrize(
    ('used', 'pace_percent'), [(0, 100), (5000, 50), (7500, 20), (8900, 10)]
)
def test_slow_start_takes_the_pace_that_idle_processors_allow(
    used, pace_percent
):
    unit = Unit()
    worker = unit.add_worker()
    unit.run(make_fillers(1, used), worker, 1)
    step = make_fillers(1, 10_000)
    found = _slow_start.choose(*unit.add_job(step), step, unit.state)
    assert found.pace_percent == pace_percent


def test_slow_start_needs_idle_processors_for_its_slowest_pace():
    unit = Unit()
    unit.run(make_fillers(1, 9500), unit.add_worker(), 1)
    step = make_fillers(1, 10_000)
    assert _slow_start.choose(*unit.add_job(step), step, unit.state) is None


def test_slow_start_prefers_workers_whose_kept_memory_it_leaves():
    unit = Unit()
    unit.run(make_fillers(1, 0, 20_000), unit.add_worker('w0'), 1)
    unit.run(make_fillers(1, 9000, 0), unit.add_worker('w1'), 2)
    step = make_fillers(1, 5000, 10_000)
    job, task = unit.add_job(step)
    assert _slow_start.choose(job, task, step, unit.state).worker.worker_id == (
        'w1'
    )
    del unit.state.workers['w1']
    found = _slow_start.choose(job, task, step, unit.state)
    assert found.worker.worker_id == 'w0'


def test_raised_paces_do_not_exceed_the_idle_processors():
    unit = Unit()
    worker = unit.add_worker()
    unit.run(make_fillers(1, 6000), worker, 1)
    slow = [
        unit.run(make_fillers(1, 5000), worker, 2 + number, 20)
        for number in range(2)
    ]
    for attempt in slow:
        attempt.target_pace_percent = _slow_start.adjust_pace(
            attempt, worker, 0.0, unit.state
        )
        worker.used_millicores = None
    assert [one.target_pace_percent for one in slow] == [50, 20]


@pytest.mark.parametrize(
    ('memory_mb', 'is_slow_start'), [(20_000, False), (50_000, True)]
)
def test_adopted_run_in_kept_memory_gives_way(memory_mb, is_slow_start):
    unit = Unit()
    worker = unit.add_worker()
    attempt = unit.run(make_fillers(1, 1000, memory_mb), worker, 1)
    attempt.pace_percent = None
    _pacing.adjust(worker, Context(unit.state))
    assert attempt.is_slow_start is is_slow_start
