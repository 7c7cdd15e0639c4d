"""Schedules take no memory for occurrences that are not due or are complete."""

import tracemalloc

import attrs
import pytest
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    JOB,
    QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.codec_json import encode
from tulippin.jobs import _lifecycle, _occurrences, _task_limits, core
from tulippin.jobs import events as ev
from tulippin.jobs._record_validation import find_progress_fault
from tulippin.jobs._row_codec import decode_row, encode_row
from tulippin.jobs.ports import MAX_ROW_BYTES, StoredRow
from tulippin.jobs.records import JobRecord, ProgressRecord
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import JobState, RunOutcome, Schedule, TaskKey

YEAR = 525_600
MINUTE_MS = 60_000
WALL_MS = 1_700_000_000_000
OTHER_JOB = '00000000000000bb'
MAX_BYTES = 1_000_000


def make_schedule(*steps, count, interval_ms, first_ms=WALL_MS, **plan):
    return attrs.evolve(
        make_request(*steps, **plan),
        schedule=Schedule(first_ms, interval_ms, count),
    )


def make_state(session='i:1'):
    """Return the state of an active owner of an empty unit."""
    state = core.make_state(SchedulerConfig('i', session))
    state.ownership.phase = Phase.ACTIVE
    return state


def add_job(state, request, progress=(), version=2):
    row = StoredRow(
        'jobs', 'j0', JOB, encode(JobRecord(QUEUE, request)), version
    )
    core.reduce(state, ev.JobsChanged(state.now_ms, (row,), 0, progress))
    return state.jobs[JOB]


def make_progress_row(record):
    return StoredRow('progress', 'p0', JOB, encode_row(record), 3)


# Guards against schedules that take each of their owners over its memory.
def test_occurrences_that_are_not_due_take_no_memory():
    request = make_schedule(count=YEAR, interval_ms=MINUTE_MS)
    state = make_state()
    tracemalloc.start()
    try:
        add_job(state, request)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < MAX_BYTES


def test_complete_occurrences_take_no_memory(run_virtual):
    async def run():
        async with open_fleet(instances=1) as fleet:
            wall_ms = fleet.instances['i0'].shell.wall()
            request = make_schedule(
                make_step(2),
                make_step(1, after=(0,)),
                count=100,
                interval_ms=200,
                first_ms=wall_ms,
                run_ms=50,
            )
            await fleet.submit(request=request)
            await trio.sleep(16)
            job = fleet.instances['i0'].state.jobs[JOB]
            assert job.completed_count > 60
            await trio.sleep(3)
            kept = (job.tasks, job.remaining, job.opened_steps)
            assert max(map(len, kept)) <= 12
            await fleet.wait_done(JOB)
            assert fleet.count_starts() == 300
            fleet.check()

    run_virtual(run)


# Guards against a next owner that starts complete occurrences again.
@pytest.mark.parametrize('is_planned', [True, False])
def test_next_owner_starts_no_complete_occurrence(run_virtual, is_planned):
    async def run():
        async with open_fleet(instances=2) as fleet:
            wall_ms = fleet.instances['i0'].shell.wall()
            request = make_schedule(
                make_step(2),
                count=60,
                interval_ms=300,
                first_ms=wall_ms,
                run_ms=50,
            )
            await fleet.submit(request=request)
            await trio.sleep(8)
            owner = fleet.get_owner()
            if is_planned:
                await fleet.stop(owner)
            else:
                fleet.kill(owner)
            await fleet.wait_done(JOB, limit_s=40)
            done = [
                event.key
                for event in fleet.platform.history
                if event.kind == 'ended' and event.outcome is RunOutcome.DONE
            ]
            assert len(done) == len(set(done)) == 120
            fleet.check()

    run_virtual(run)


def test_late_end_of_a_complete_occurrence_opens_nothing():
    request = make_schedule(
        make_step(2), count=YEAR, interval_ms=MINUTE_MS, first_ms=0
    )
    state = make_state()
    complete = ((0, 0, 1000, '3'),)
    record = ProgressRecord(JobState.RUNNING, complete=complete)
    job = add_job(state, request, (make_progress_row(record),))
    task = _lifecycle.get_task(job, TaskKey(JOB, 999, 0, 1))
    assert task.is_done
    assert not _lifecycle.get_task(job, TaskKey(JOB, 1000, 0, 1)).is_done
    assert _lifecycle.make_progress(job) == record
    _occurrences.sweep(job)
    assert {key.occurrence for key in job.tasks} <= {1000}


def test_progress_of_older_versions_is_read():
    request = make_schedule(make_step(2), count=9, interval_ms=MINUTE_MS)
    state = make_state()
    done = {f'{number}.0': '3' for number in range(5)} | {'6.0': '1'}
    record = ProgressRecord(JobState.RUNNING, done)
    row = StoredRow('progress', 'p0', JOB, encode(record), 3)
    job = add_job(state, request, (row,))
    assert job.completed_count == 5
    assert job.remaining[6, 0] == 1
    assert {key.occurrence for key in job.tasks if key.occurrence < 5} == set()


def test_progress_of_a_long_schedule_fits_a_row():
    request = make_schedule(make_step(3), count=YEAR, interval_ms=MINUTE_MS)
    record = ProgressRecord(
        JobState.RUNNING, {'500000.0': '3'}, complete=((0, 0, 500_000, '7'),)
    )
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES // 100
    assert decode_row(value, ProgressRecord) == record
    assert not find_progress_fault(record, request)


@pytest.mark.parametrize(
    'complete',
    [
        ((0, 0, 10, '7'),),
        ((0, 0, 3, '3'),),
        ((0, 1, 3, '7'),),
        ((1, 0, 3, '7'),),
        ((0, 0, 0, '7'),),
        ((0, 0, 3, '7'), (1, 0, 3, '7')),
        ((0, 0, 3, 'x'),),
    ],
)
def test_invalid_complete_occurrences_are_refused(complete):
    request = make_schedule(make_step(3), count=9, interval_ms=MINUTE_MS)
    record = ProgressRecord(JobState.RUNNING, complete=complete)
    assert find_progress_fault(record, request)


# Guards against schedules that are all due and fill their owner's memory.
def test_occurrences_that_are_due_at_once_are_limited():
    request = make_schedule(
        make_step(20), count=8640, interval_ms=10_000, first_ms=0
    )
    state = make_state()
    state.wall_offset_ms = WALL_MS
    job = add_job(state, request)
    core.reduce(state, ev.Ticked(state.now_ms + 50, WALL_MS + 50))
    assert 0 < len(job.tasks) <= _task_limits.MAX_JOB_TASKS


def test_occurrences_of_many_jobs_stay_within_the_unit(monkeypatch):
    monkeypatch.setattr(_task_limits, 'MAX_UNIT_TASKS', 100)
    state = make_state()
    state.wall_offset_ms = WALL_MS
    request = make_schedule(
        make_step(10), count=1000, interval_ms=1, first_ms=0
    )
    rows = tuple(
        StoredRow(
            'jobs', 'j0', f'{n:016x}', encode(JobRecord(QUEUE, request)), 2
        )
        for n in range(20)
    )
    core.reduce(state, ev.JobsChanged(state.now_ms, rows, 0, ()))
    core.reduce(state, ev.Ticked(state.now_ms + 50, WALL_MS + 50))
    # Each job has its first occurrence, which admission counted.
    assert all(job.begun_count >= 1 for job in state.jobs.values())
    assert sum(len(job.tasks) for job in state.jobs.values()) <= 20 * 10


def test_urgent_job_runs_beside_a_schedule_that_is_all_due(run_virtual):
    async def run():
        async with open_fleet(instances=1) as fleet:
            request = make_schedule(
                make_step(5),
                count=10_000,
                interval_ms=10,
                first_ms=0,
                run_ms=200,
            )
            await fleet.submit(request=request, queue=QUEUE)
            await trio.sleep(1)
            await fleet.submit(
                OTHER_JOB, make_request(run_ms=100), HIGH_PRIORITY_QUEUE
            )
            await fleet.wait_done(OTHER_JOB, limit_s=5)
            starts = fleet.count_starts()
            await trio.sleep(5)
            assert fleet.count_starts() > starts
            fleet.check()

    run_virtual(run)
