"""Which runs count as progress of a job, decided on states made by hand."""

import pytest

from tulippin.jobs import _job_progress, _lifecycle, _slow_start
from tulippin.jobs._attempts import add_attempt, drop_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import JobRequest, Queue, Step, TaskKey, WorkerEntry
from tulippin.types import Resources

NOW_MS = 100_000
QUEUE = Queue('q', 'h', '/q/', 's', 3, 3, 2.0, 500)
# How long the job has made no progress.
IDLE_MS = 2000
# Age from which a start without an answer counts as lost.
MAX_START_AGE_MS = 500


def make_state():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    state.ownership.phase = Phase.ACTIVE
    entry = WorkerEntry('w0', 's', 'a', 'z', Resources(10_000, 64_000))
    state.workers['w0'] = Worker(entry)
    return state


def make_step(task_count=2, **fields):
    fields = {'opportunistic': True, **fields}
    return Step(task_count, Resources(1000, 1000), image='batch', **fields)


def add_job(state, *steps, job_id='a'):
    """Add a job whose first step became ready some time ago."""
    request = JobRequest('', steps or (make_step(),))
    job = Job(job_id, QUEUE, request, 1, arrived_ms=NOW_MS - 2 * IDLE_MS)
    for number, step in enumerate(request.steps):
        job.remaining[0, number] = step.task_count
    state.jobs[job_id] = job
    state.now_ms = NOW_MS - IDLE_MS
    _lifecycle.open_steps(job, state)
    state.now_ms = NOW_MS
    return job


def add_run(state, job, /, index=0, **fields):
    key = TaskKey(job.job_id, 0, 0, index)
    fields = {
        'state': AttemptState.RUNNING,
        'sent_ms': NOW_MS - IDLE_MS,
        'worker_id': 'w0',
        **fields,
    }
    step = job.request.steps[0]
    attempt = Attempt(key, 1, step=step, priority=3, **fields)
    worker = state.workers.get(attempt.worker_id)
    if worker is None:
        job.tasks[key].attempts[attempt.run] = attempt
    else:
        add_attempt(attempt, job.tasks[key], worker)
    return attempt


def get_waiting(job, step=0, index=1):
    return job.tasks[TaskKey(job.job_id, 0, step, index)]


def get_idle_ms(state, job):
    return _job_progress.get_idle_ms(job, get_waiting(job), state)


# -- runs that count ----------------------------------------------------------


def test_job_without_a_run_waits_since_its_step_became_ready():
    state = make_state()
    job = add_job(state)
    _job_progress.note(state)
    assert get_idle_ms(state, job) == IDLE_MS


@pytest.mark.parametrize('pace_percent', [2, 10, 100])
def test_job_with_a_run_that_works_does_not_wait(pace_percent):
    state = make_state()
    job = add_job(state)
    add_run(state, job, target_pace_percent=pace_percent)
    assert get_idle_ms(state, job) == 0


def test_job_waits_since_its_run_was_last_known_to_work():
    state = make_state()
    job = add_job(state)
    attempt = add_run(state, job)
    _job_progress.note(state)
    drop_attempt(attempt, Context(state))
    state.now_ms += 700
    _job_progress.note(state)
    assert get_idle_ms(state, job) == 700


def test_runs_of_other_jobs_are_no_progress():
    state = make_state()
    job = add_job(state)
    add_run(state, add_job(state, job_id='b'))
    _job_progress.note(state)
    assert get_idle_ms(state, job) == IDLE_MS


def test_run_of_an_unknown_job_is_passed_over():
    state = make_state()
    job = add_job(state)
    add_run(state, job)
    del state.jobs['a']
    _job_progress.note(state)
    assert job.worked_ms == 0


# -- runs that don't count ----------------------------------------------------


@pytest.mark.parametrize(
    'fields',
    [
        pytest.param({'target_pace_percent': 0}, id='paused'),
        pytest.param({'state': AttemptState.STOPPING}, id='stopping'),
        pytest.param({'state': AttemptState.DOUBTFUL}, id='doubtful'),
        pytest.param({'worker_id': 'gone'}, id='unknown worker'),
        pytest.param(
            {
                'state': AttemptState.STARTING,
                'sent_ms': NOW_MS - MAX_START_AGE_MS,
            },
            id='unanswered start',
        ),
    ],
)
def test_run_that_does_not_work_ends_no_wait(fields):
    state = make_state()
    job = add_job(state)
    add_run(state, job, **fields)
    _job_progress.note(state)
    assert get_idle_ms(state, job) == IDLE_MS
    assert _slow_start.has_claim(job, get_waiting(job), state)


def test_run_on_a_silent_worker_ends_no_wait():
    state = make_state()
    job = add_job(state)
    add_run(state, job)
    state.workers['w0'].failed_count = 1
    _job_progress.note(state)
    assert get_idle_ms(state, job) == IDLE_MS


def test_one_run_that_works_counts_beside_others_that_do_not():
    state = make_state()
    job = add_job(state, make_step(3))
    add_run(state, job, 0, target_pace_percent=0)
    add_run(state, job, 2)
    _job_progress.note(state)
    assert job.worked_ms == NOW_MS
    assert get_idle_ms(state, job) == 0


def test_stop_of_a_run_does_not_restart_the_wait_once_its_end_is_read():
    state = make_state()
    job = add_job(state)
    attempt = add_run(state, job)
    _job_progress.note(state)
    attempt.state = AttemptState.STOPPING
    state.now_ms += 900
    _job_progress.note(state)
    drop_attempt(attempt, Context(state))
    assert get_idle_ms(state, job) == 900


# -- starts -------------------------------------------------------------------


def test_young_start_suspends_a_wait_and_does_not_end_it():
    state = make_state()
    job = add_job(state)
    add_run(state, job, state=AttemptState.STARTING, sent_ms=NOW_MS)
    state.now_ms += MAX_START_AGE_MS - 1
    _job_progress.note(state)
    assert get_idle_ms(state, job) == 0
    assert not _slow_start.has_claim(job, get_waiting(job), state)
    state.now_ms += 1
    _job_progress.note(state)
    assert get_idle_ms(state, job) == IDLE_MS + MAX_START_AGE_MS


def test_refused_start_leaves_the_wait_as_it_was():
    state = make_state()
    job = add_job(state)
    attempt = add_run(state, job, state=AttemptState.STARTING, sent_ms=NOW_MS)
    state.now_ms += 20
    _job_progress.note(state)
    drop_attempt(attempt, Context(state))
    assert get_idle_ms(state, job) == IDLE_MS + 20


def test_answered_start_ends_a_wait():
    state = make_state()
    job = add_job(state)
    attempt = add_run(state, job, state=AttemptState.STARTING, sent_ms=NOW_MS)
    state.now_ms += 10
    attempt.state = AttemptState.RUNNING
    _job_progress.note(state)
    drop_attempt(attempt, Context(state))
    assert get_idle_ms(state, job) == 0


# -- steps and long-running tasks ---------------------------------------------


def test_new_step_ends_the_wait_of_its_job():
    state = make_state()
    job = add_job(state, make_step(1), make_step(2, after=(0,)))
    _lifecycle.mark_done(job, get_waiting(job, 0, 0), Context(state))
    waiting = get_waiting(job, 1, 1)
    assert _job_progress.get_idle_ms(job, waiting, state) == 0
    state.now_ms += 300
    _job_progress.note(state)
    assert _job_progress.get_idle_ms(job, waiting, state) == 300


def test_long_running_task_counts_its_own_wait():
    state = make_state()
    step = make_step(2, long_running=True, opportunistic=False)
    job = add_job(state, step)
    add_run(state, job)
    _job_progress.note(state)
    assert get_idle_ms(state, job) == IDLE_MS
    get_waiting(job).ready_ms = NOW_MS - 100
    assert get_idle_ms(state, job) == 100
