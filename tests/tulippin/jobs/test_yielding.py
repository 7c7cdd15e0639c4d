"""Work of no value takes no processors that other work needs."""

import attrs
import pytest
from test_scheduler_decisions import (
    QUEUE,
    make_job,
    make_service_request,
    make_state,
    set_pair,
    set_sibling_tails,
)

from overload_play import Load, play
from scheduler_fleet import make_request, make_step, open_fleet
from tulippin.jobs import (
    _attempts,
    _interference,
    _placing,
    _preempting,
    _worker_selection,
    _yielding,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.features import Features
from tulippin.jobs.state import Attempt, AttemptState, Task
from tulippin.jobs.types import JobState, Step, TaskKey
from tulippin.types import Resources

LOST_MS = 600_000
FEATURES = Features(orders_by_progress=True)
BATCH = Step(
    1,
    Resources(4000, 1000),
    estimated_ms=1000,
    image='batch',
    opportunistic=True,
    checkpointing=True,
)


def make_progress_state(workers=1, *, is_on=True):
    state = make_state(workers)
    state.config = attrs.evolve(
        state.config, features=Features(orders_by_progress=is_on)
    )
    return state


def add_job(state, name, waited_ms=0, step=BATCH, priority=2):
    job = make_job(state, name, state.now_ms - waited_ms, (step,))
    job.queue = attrs.evolve(QUEUE, priority=priority)
    task = Task(TaskKey(name, 0, 0, 0), ready_ms=state.now_ms)
    job.tasks[task.key] = task
    task.opened_ms = state.now_ms
    return job, task


def add_run(state, name, worker_id='w0', waited_ms=LOST_MS, **options):
    step = options.pop('step', BATCH)
    job, task = add_job(state, name, waited_ms, step)
    attempt = Attempt(
        task.key,
        1,
        worker_id,
        step,
        job.queue.priority,
        AttemptState.RUNNING,
        state.now_ms - 100,
        start_deadline_ms=1,
        **options,
    )
    _attempts.add_attempt(attempt, task, state.workers[worker_id])
    return attempt


def make_room(state, name='wanted', waited_ms=0, step=BATCH):
    job, task = add_job(state, name, waited_ms, step)
    victims = _yielding.list_victims(state)
    return _yielding.make_room(job, task, step, victims, Context(state))


def test_run_of_no_value_is_stopped_for_other_work():
    state = make_progress_state()
    lost = add_run(state, 'lost')
    useful = add_run(state, 'useful', waited_ms=0)
    assert make_room(state) == 1
    assert lost.state is AttemptState.STOPPING
    assert useful.state is AttemptState.RUNNING
    assert state.counters['runs_yielded'] == 1


def test_room_that_is_being_made_is_not_made_again():
    """Guards against a run stopped for each waiting task of one size."""
    state = make_progress_state()
    for name in ('lost', 'also lost'):
        add_run(state, name)
    assert make_room(state) == 1
    assert make_room(state, 'next') == 0


def test_no_run_is_stopped_where_that_does_not_suffice():
    """Guards against work that is lost for nothing."""
    state = make_progress_state()
    add_run(state, 'lost')
    add_run(state, 'useful', waited_ms=0)
    large = attrs.evolve(BATCH, size=Resources(8000, 1000))
    assert make_room(state, step=large) == 0


@pytest.mark.parametrize(
    'options',
    [
        {'is_slow_start': True},
        {
            'step': attrs.evolve(BATCH, checkpointing=False),
            'progress_percent': 80,
        },
        {'step': attrs.evolve(BATCH, gang=True)},
    ],
)
def test_slow_starts_and_nearly_done_runs_go_on(options):
    """Guards against work of no value that is never completed."""
    state = make_progress_state()
    add_run(state, 'lost', **options)
    add_run(state, 'useful', waited_ms=0)
    assert make_room(state) == 0


def test_setting_off_stops_no_run():
    state = make_progress_state(is_on=False)
    add_run(state, 'lost')
    add_run(state, 'useful', waited_ms=0)
    assert make_room(state) == 0


@pytest.mark.parametrize(
    ('waited_ms', 'is_on', 'count'),
    [(0, True, 1), (LOST_MS, True, 0), (LOST_MS, False, 1)],
)
def test_work_of_no_value_starts_only_where_it_harms_nobody(
    waited_ms, is_on, count
):
    """Guards against targets missed for the sake of work of no value."""
    state = make_progress_state(is_on=is_on)
    worker = state.workers['w0']
    key = TaskKey('a', 0, 0, 0)
    service = Attempt(
        key,
        1,
        'w0',
        make_service_request(),
        0,
        AttemptState.RUNNING,
        state.now_ms - 5000,
    )
    _attempts.add_attempt(service, Task(key), worker)
    set_sibling_tails(state)
    service.tail_ms = 10.0
    set_pair(state, 'web', 'batch', 0.05)
    worker.answered_ms = state.now_ms
    assert _interference.compute_harm(BATCH, worker, state) > 0
    job, task = add_job(state, 'b', waited_ms)
    found = _worker_selection.rank_workers(job, task, BATCH, state)
    assert len(found) == count


def test_rejected_work_of_no_value_does_not_hold_back_other_work():
    """Guards against sizes that only work of no value is refused."""
    state = make_progress_state()
    lost, lost_task = add_job(state, 'lost', LOST_MS)
    useful, useful_task = add_job(state, 'useful')
    queue = {
        ('lost', 0, 0): {lost_task.key: lost_task},
        ('useful', 0, 0): {useful_task.key: useful_task},
    }
    placement = _placing._PlacementPass(Context(state), queue)
    placement._record_rejected_size(lost, BATCH, lost_task)
    assert placement._exceeds_rejected_size(lost, BATCH, ('lost', 0, 0))
    assert not placement._exceeds_rejected_size(useful, BATCH, ('useful', 0, 0))
    placement._record_rejected_size(useful, BATCH, useful_task)
    assert placement._exceeds_rejected_size(useful, BATCH, ('useful', 0, 0))


@pytest.mark.parametrize(
    ('idle_ms', 'waited_ms', 'count'),
    [(0, 0, 1), (0, LOST_MS, 0), (3000, LOST_MS, 1)],
)
def test_urgent_work_of_no_value_preempts_only_after_a_wait(
    idle_ms, waited_ms, count
):
    state = make_progress_state()
    step = attrs.evolve(BATCH, opportunistic=False, size=Resources(9000, 1000))
    victim = add_run(state, 'victim', waited_ms=0, step=step)
    job, task = add_job(state, 'urgent', waited_ms, step, priority=0)
    task.ready_ms = task.opened_ms = state.now_ms - idle_ms
    _preempting.preempt_for(job, task, Context(state))
    assert (victim.state is AttemptState.STOPPING) is bool(count)


def test_run_of_no_value_is_preempted_first():
    state = make_progress_state()
    step = attrs.evolve(BATCH, opportunistic=False, size=Resources(5000, 1000))
    useful = add_run(state, 'useful', waited_ms=0, step=step)
    lost = add_run(state, 'lost', step=step)
    job, task = add_job(state, 'urgent', 0, step, priority=0)
    _preempting.preempt_for(job, task, Context(state))
    assert lost.state is AttemptState.STOPPING
    assert useful.state is AttemptState.RUNNING


def test_all_work_is_completed_under_a_lasting_overload(run_virtual):
    """Guards against jobs that are stopped again and again."""
    outcome = play(run_virtual, Load(patient_load=2.0, seconds=12), is_on=True)
    assert len(outcome.ended_ms) == len(outcome.jobs)


def test_new_owner_completes_work_of_no_value(run_virtual):
    """Guards against an owner that knows neither run times nor progress."""

    async def run():
        async with open_fleet(2, workers=1, features=FEATURES) as fleet:
            step = make_step(
                30, 4000, opportunistic=True, image='batch', estimated_ms=100
            )
            job_id = 'd' * 16
            request = make_request(step, run_ms=900)
            await fleet.submit(job_id, request, by=fleet.get_other_instance(''))
            await fleet.wait_running(2)
            fleet.kill_owner()
            await fleet.wait_state(job_id, JobState.COMPLETED, limit_s=60)
            fleet.check()

    run_virtual(run)
