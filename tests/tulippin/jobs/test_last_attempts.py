"""The last attempt of a task goes to workers that have proved themselves."""

import attrs
import pytest
from test_scheduler_decisions import QUEUE, make_job, make_state

from scheduler_fleet import JOB, make_request, make_step, open_fleet
from tulippin.jobs import _placing, _worker_failures, _worker_selection
from tulippin.jobs._dispatch import Context
from tulippin.jobs.features import Features
from tulippin.jobs.state import Task
from tulippin.jobs.types import (
    EndedRun,
    JobState,
    RunOutcome,
    Step,
    TaskKey,
)
from tulippin.types import Resources

STEP = Step(1, Resources(1000, 1000), estimated_ms=1000)


def make_progress_state(*, is_on=True):
    """Return a state with a new worker, a proven one and a failing one."""
    state = make_state(3)
    state.config = attrs.evolve(
        state.config, features=Features(orders_by_progress=is_on)
    )
    end_run(state, 'w1', RunOutcome.DONE)
    end_run(state, 'w2', RunOutcome.DONE)
    end_run(state, 'w2', RunOutcome.FAILED)
    return state


def end_run(state, worker_id, outcome, job_id='other'):
    ended = EndedRun(1, TaskKey(job_id, 0, 0, 0), 1, outcome, '')
    worker = state.workers[worker_id]
    _worker_failures.record_outcome(worker, ended, Context(state))


def add_task(state, failures, max_attempts=2):
    job = make_job(state, 'a', state.now_ms, (STEP,))
    job.queue = attrs.evolve(QUEUE, max_attempts=max_attempts)
    task = Task(TaskKey('a', 0, 0, 0), ready_ms=state.now_ms)
    task.failed_runs = set(range(failures))
    job.tasks[task.key] = task
    return job, task


def list_accepting(state, job, task):
    found = _worker_selection.rank_workers(job, task, STEP, state)
    return sorted(worker.worker_id for worker in found)


@pytest.mark.parametrize(
    ('failures', 'max_attempts', 'is_on', 'wanted'),
    [
        (1, 2, True, ['w1']),
        (2, 3, True, ['w1']),
        (0, 2, True, ['w0', 'w1', 'w2']),
        (1, 3, True, ['w0', 'w1', 'w2']),
        (0, 1, True, ['w0', 'w1', 'w2']),
        (1, 2, False, ['w0', 'w1', 'w2']),
    ],
)
def test_last_attempt_is_placed_on_proven_workers(
    failures, max_attempts, is_on, wanted
):
    """Guards against a job that fails because of a faulty worker."""
    state = make_progress_state(is_on=is_on)
    job, task = add_task(state, failures, max_attempts)
    assert list_accepting(state, job, task) == wanted


def test_failures_of_its_own_job_do_not_count_against_a_worker():
    """Guards against a faulty job to which all workers seem faulty."""
    state = make_progress_state()
    end_run(state, 'w1', RunOutcome.FAILED, job_id='a')
    job, task = add_task(state, 1)
    assert list_accepting(state, job, task) == ['w1']


def test_last_attempt_waits_for_half_a_second_at_most():
    """Guards against a task that waits for a worker that never comes."""
    state = make_progress_state()
    job, task = add_task(state, 1)
    state.now_ms += 499
    assert list_accepting(state, job, task) == ['w1']
    state.now_ms += 1
    assert list_accepting(state, job, task) == ['w0', 'w1', 'w2']


def test_waiting_last_attempt_does_not_hold_back_its_step():
    """Guards against a size that counts as refused by all workers."""
    state = make_progress_state()
    del state.workers['w1']
    job, task = add_task(state, 1)
    placement = _placing._PlacementPass(Context(state), {})
    assert placement._place_task(job, STEP, task)
    assert not placement.unplaceable_sizes


def test_last_attempt_preempts_where_no_worker_has_room():
    """Guards against an urgent task that waits in vain for proven workers."""
    state = make_progress_state()
    for worker in state.workers.values():
        worker.reserved = Resources(10_000, 0)
    job, task = add_task(state, 1)
    placement = _placing._PlacementPass(Context(state), {})
    placement._place_task(job, STEP, task)
    assert task.preempt_after_ms > state.now_ms
    assert placement.unplaceable_sizes


def test_job_is_completed_on_workers_that_no_owner_has_proved(run_virtual):
    """Guards against a new owner that knows no proven worker."""

    async def run():
        features = Features(orders_by_progress=True)
        async with open_fleet(1, workers=2, features=features) as fleet:
            step = make_step(1)
            request = make_request(step, failing_workers=('w0',))
            await fleet.submit(request=request)
            await fleet.wait_state(JOB, JobState.COMPLETED)
            fleet.check()

    run_virtual(run)
