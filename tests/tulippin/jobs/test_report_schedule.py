"""When a worker is asked for its next report, without a network.

Guards against pauses that delay an end on which a job depends, or that let a
report become too old for its lease or for the tails in it.
"""

import attrs
import pytest

from tulippin.jobs import _report_schedule
from tulippin.jobs.features import Features
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import JobRequest, Queue, Step, TaskKey, WorkerEntry
from tulippin.types import Resources

CallReason = _report_schedule.CallReason
NOW_MS = 100_000
SIZE = Resources(1800, 1000)
QUEUE = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 1000)
OPPORTUNISTIC = Step(4, SIZE, 1700, opportunistic=True, image='batch')
URGENT = Step(4, SIZE, 800)
SERVICE = Step(1, SIZE, long_running=True, target_ms=50, image='web')
RUN_MS = 2000
JOB = 'a' * 16
OTHER_JOB = 'b' * 16


def make_state():
    features = Features(gathers_reports=True)
    state = SchedulerState(SchedulerConfig('i', 'i:1', features=features))
    state.now_ms = NOW_MS
    state.ownership.phase = Phase.ACTIVE
    state.ownership.taken_ms = NOW_MS - 60_000
    state.ownership.renewed_ms = NOW_MS - 100
    state.opportunistic_placed_ms = NOW_MS
    return state


def add_worker(state, name='w0'):
    capacity = Resources(16_000, 64_000)
    entry = WorkerEntry(name, 's', f'{name}:80', 'hall', capacity)
    worker = Worker(entry, is_reconciled=True, is_rostered=True)
    worker.answered_ms = NOW_MS
    worker.clock_offset_ms = 0
    state.workers[name] = worker
    return worker


def add_job(state, *steps, job_id=JOB):
    request = JobRequest('', steps)
    job = Job(job_id, QUEUE, request, 1, arrived_ms=NOW_MS)
    job.remaining = {
        (0, number): step.task_count for number, step in enumerate(steps)
    }
    state.jobs[job_id] = job
    return job


def add_run(job, index, worker, ends_in_ms, step=0):
    """Add a run whose progress tells that it ends after some time."""
    key = TaskKey(job.job_id, 0, step, index)
    done = RUN_MS - ends_in_ms
    attempt = Attempt(
        key,
        1,
        worker.worker_id,
        job.request.steps[step],
        0,
        AttemptState.RUNNING,
        NOW_MS - done,
        seen_ms=NOW_MS - done,
        progress_percent=100 * done // RUN_MS,
    )
    job.tasks[key] = Task(key, attempts={1: attempt}, has_run=True)
    worker.attempts[key, 1] = attempt
    if attempt.step.opportunistic:
        worker.fillers[key, 1] = attempt
    elif attempt.step.target_ms:
        worker.serving[key, 1] = attempt
        attempt.tail_ms = 20.0
    return attempt


def add_waiting(job, index, ready_ms, queue, step=0):
    key = TaskKey(job.job_id, 0, step, index)
    task = job.tasks[key] = Task(key, ready_ms=ready_ms)
    queue.setdefault((job.job_id, 0, step), {})[key] = task


def begin(worker, state):
    """Begin a pause; return its length and the reason of the next call."""
    _report_schedule.begin_pause(worker, state)
    length_ms = max(0, worker.report_after_ms - state.now_ms)
    return length_ms, worker.report_reason


@pytest.fixture
def state():
    return make_state()


@pytest.fixture
def worker(state):
    return add_worker(state)


@pytest.fixture
def job(state, worker):
    """A job with one run due, and with tasks that have no run."""
    job = add_job(state, OPPORTUNISTIC)
    add_run(job, 0, worker, 150)
    return job


def test_ends_that_are_due_soon_are_gathered(state, worker, job):
    paused = (_report_schedule.MAX_PAUSE_MS, CallReason.PAUSED.value)
    assert begin(worker, state) == paused


def test_nothing_pauses_while_the_switch_is_off(worker, job, state):
    state.config = attrs.evolve(state.config, features=Features())
    assert begin(worker, state) == (0, '')
    assert _report_schedule.take_reason(worker, state) == 'not_gathered'
    assert not state.is_early_commit_due


def test_worker_without_ends_due_is_called_at_once(state, worker):
    add_run(add_job(state, SERVICE), 0, worker, 0)
    add_run(add_job(state, OPPORTUNISTIC, job_id=OTHER_JOB), 0, worker, 900)
    assert begin(worker, state) == (0, CallReason.RENEWAL.value)


def test_last_runs_of_a_step_end_the_pause_before_they_are_due(state, worker):
    """A step with ends due on two workers is read as soon as it ends."""
    job = add_job(state, attrs.evolve(OPPORTUNISTIC, task_count=2))
    other = add_worker(state, 'w1')
    add_run(job, 0, worker, 150)
    add_run(job, 1, other, 160)
    for one in (worker, other):
        length_ms, reason = begin(one, state)
        assert reason == CallReason.STEP_ENDS.value
        assert 0 < length_ms < 150


def test_run_is_not_the_last_if_another_ends_much_later(state, worker):
    job = add_job(state, attrs.evolve(OPPORTUNISTIC, task_count=2))
    add_run(job, 0, worker, 150)
    add_run(job, 1, add_worker(state, 'w1'), 1700)
    assert begin(worker, state)[1] == CallReason.PAUSED.value


def test_wrong_prediction_ends_the_pause_of_the_last_run(state, worker):
    """The pause of a run ends once it is the only one left of its step."""
    job = add_job(state, attrs.evolve(OPPORTUNISTIC, task_count=2))
    add_run(job, 0, worker, 150)
    later = add_run(job, 1, add_worker(state, 'w1'), 1700)
    begin(worker, state)
    job.tasks[later.key].is_done = True
    job.remaining[0, 0] -= 1
    _report_schedule.note_end(job, later.key, state)
    assert not _report_schedule.is_paused(worker, state)
    reason = _report_schedule.take_reason(worker, state)
    assert reason == CallReason.STEP_ENDS.value


def test_worker_with_an_urgent_run_has_no_pause(state, worker, job):
    add_run(add_job(state, URGENT, job_id=OTHER_JOB), 0, worker, 700)
    assert begin(worker, state) == (0, CallReason.URGENT_RUN.value)


def test_start_of_an_urgent_run_ends_the_pause(state, worker, job):
    begin(worker, state)
    urgent = add_job(state, URGENT, job_id=OTHER_JOB)
    _report_schedule.note_run(add_run(urgent, 0, worker, 800), worker)
    assert not _report_schedule.is_paused(worker, state)


@pytest.mark.parametrize(
    ('step', 'reason'),
    [
        (URGENT, CallReason.URGENT_STEP),
        (OPPORTUNISTIC, CallReason.PLACE_WANTED),
    ],
)
def test_step_that_found_no_place_ends_the_pause(
    state, worker, job, step, reason
):
    """A freed place is read before the next pass over the waiting tasks."""
    begin(worker, state)
    waiting = add_job(state, step, job_id=OTHER_JOB)
    queue = state.ready_opportunistic if step.opportunistic else state.ready
    add_waiting(waiting, 0, NOW_MS - 1, queue)
    state.placed_ms = NOW_MS
    state.now_ms += 50
    assert not _report_schedule.is_paused(worker, state)
    assert _report_schedule.take_reason(worker, state) == reason.value


def test_step_that_no_pass_has_seen_yet_does_not_end_the_pause(
    state, worker, job
):
    begin(worker, state)
    waiting = add_job(state, URGENT, job_id=OTHER_JOB)
    add_waiting(waiting, 0, NOW_MS, state.ready)
    state.placed_ms = NOW_MS
    assert _report_schedule.is_paused(worker, state)


def test_waiting_long_running_task_does_not_end_the_pause(state, worker, job):
    """It needs reserved processors, and opportunistic ends free none."""
    begin(worker, state)
    waiting = add_job(state, SERVICE, job_id=OTHER_JOB)
    add_waiting(waiting, 0, NOW_MS - 1000, state.ready)
    state.placed_ms = NOW_MS
    assert _report_schedule.is_paused(worker, state)


@pytest.mark.parametrize(
    'attempt_state', [AttemptState.DOUBTFUL, AttemptState.STOPPING]
)
def test_open_order_prevents_a_pause(state, worker, job, attempt_state):
    next(iter(worker.attempts.values())).state = attempt_state
    assert begin(worker, state) == (0, CallReason.OPEN_ORDER.value)
    assert _report_schedule.choose_wait_ms(worker, state) == 150


def set_near(worker):
    next(iter(worker.serving.values())).tail_ms = 43.0


def set_unknown(worker):
    next(iter(worker.serving.values())).tail_ms = 0.0


def set_missed(worker):
    worker.targets_missed_since_ms = NOW_MS - 100


def set_slowed(worker):
    next(iter(worker.fillers.values())).target_pace_percent = 50


@pytest.mark.parametrize(
    'change', [set_near, set_unknown, set_missed, set_slowed]
)
def test_tail_near_its_target_is_reported_each_400_ms(
    state, worker, job, change
):
    add_run(add_job(state, SERVICE, job_id=OTHER_JOB), 0, worker, 0)
    change(worker)
    assert begin(worker, state) == (0, CallReason.TAIL_NEAR_TARGET.value)
    assert _report_schedule.choose_wait_ms(worker, state) == 400


def set_suspected(state, worker):
    state.suspects.add(TaskKey(OTHER_JOB, 0, 0, 0))


def set_unconfirmed(state, worker):
    state.ownership.renewed_ms = NOW_MS - 2100


def set_deferred(state, worker):
    worker.deferred_ends.add(TaskKey(OTHER_JOB, 0, 0, 0))


@pytest.mark.parametrize(
    'change', [set_suspected, set_unconfirmed, set_deferred]
)
def test_unknown_state_prevents_a_pause(state, worker, job, change):
    change(state, worker)
    assert begin(worker, state) == (0, CallReason.UNKNOWN_STATE.value)
    assert _report_schedule.choose_wait_ms(worker, state) < 1000


def test_new_owner_makes_no_pause(state, worker, job):
    state.ownership.taken_ms = NOW_MS - 2900
    assert begin(worker, state) == (0, CallReason.NEW_OWNER.value)


@pytest.mark.parametrize('steps', [(), (SERVICE,)])
@pytest.mark.parametrize('ends_in_ms', range(50, 1950, 100))
def test_age_of_a_report_is_limited_with_its_pause(
    state, worker, steps, ends_in_ms
):
    """Tails are younger than 1 s, and leases are renewed as often."""
    add_run(add_job(state, OPPORTUNISTIC), 0, worker, ends_in_ms)
    for step in steps:
        add_run(add_job(state, step, job_id=OTHER_JOB), 0, worker, 0)
    length_ms, _ = begin(worker, state)
    state.now_ms += length_ms
    wait_ms = _report_schedule.choose_wait_ms(worker, state)
    assert length_ms + wait_ms < 1000


def test_lease_without_tails_is_renewed_as_often_as_without_pauses(
    state, worker
):
    add_run(add_job(state, URGENT), 0, worker, 500)
    assert _report_schedule.choose_wait_ms(worker, state) <= 1000


def test_call_after_an_idle_time_waits_as_long_as_others(state, worker, job):
    worker.answered_ms = NOW_MS - 60_000
    assert _report_schedule.choose_wait_ms(worker, state) > 500


@pytest.mark.parametrize(
    ('ends_in_ms', 'is_early'), [(100, True), (1500, False)]
)
def test_ends_are_committed_early_before_an_urgent_end(
    state, worker, ends_in_ms, is_early
):
    """No call is open while ends that were read are not durable."""
    urgent = add_job(state, attrs.evolve(URGENT, task_count=1))
    add_run(urgent, 0, worker, ends_in_ms)
    begin(worker, state)
    assert not state.is_early_commit_due
    worker.last_read_end_number = 1
    begin(worker, state)
    assert state.is_early_commit_due is is_early


def test_read_delay_is_half_of_the_time_without_a_call(state, worker):
    """Run times that are learned do not include the pauses."""
    worker.answered_ms = NOW_MS - 210
    sent_ms = NOW_MS - 10
    delay_ms = _report_schedule.get_read_delay_ms(worker, sent_ms, state)
    assert delay_ms == 100
    sent_ms = NOW_MS - 100
    assert not _report_schedule.get_read_delay_ms(worker, sent_ms, state)


@pytest.mark.parametrize(('age_ms', 'is_early'), [(0, False), (5300, True)])
def test_ends_are_committed_early_for_a_job_close_to_its_objective(
    state, worker, age_ms, is_early
):
    """Its objective is twice its chain of 2.2 s and 1 s more."""
    step = attrs.evolve(OPPORTUNISTIC, task_count=1, estimated_ms=2200)
    job = add_job(state, step)
    job.arrived_ms = NOW_MS - age_ms
    add_run(job, 0, worker, 100)
    worker.last_read_end_number = 1
    begin(worker, state)
    assert state.is_early_commit_due is is_early
