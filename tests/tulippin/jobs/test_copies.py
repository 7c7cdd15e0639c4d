"""Stragglers of steps that allow duplicates get a second run."""

import random

import attrs
import pytest
import trio
from test_scheduler_decisions import QUEUE, make_job, make_state

from scheduler_fleet import JOB, make_request, make_step, open_fleet
from tulippin.jobs import _attempts, _copies, _run_times
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import StartRun
from tulippin.jobs.features import Features
from tulippin.jobs.records import EpochRecord
from tulippin.jobs.state import Attempt, AttemptState, Task
from tulippin.jobs.types import JobState, Step, TaskKey
from tulippin.platform.standin import check_history
from tulippin.types import Resources

RUN_MS = 1000
STEP = Step(
    1, Resources(1000, 1000), estimated_ms=RUN_MS, allow_duplicates=True
)
FEATURES = Features(orders_by_progress=True)


def make_straggler_state(*, is_on=True, step=STEP, age_ms=2500, **options):
    """Return a state with a run beyond the usual time, and that run."""
    state = make_state(4)
    state.config = attrs.evolve(
        state.config, features=Features(orders_by_progress=is_on)
    )
    state.ownership.epoch = EpochRecord(1, 'i:1')
    state.ownership.renewed_ms = state.now_ms
    state.run_times_ms[QUEUE.name] = float(RUN_MS)
    job = make_job(state, 'a', state.now_ms - age_ms, (step,))
    source = random.Random(1)
    for _ in range(200):
        factor = 7 if source.random() < 0.05 else 1
        _run_times.learn_ratio(job, step, factor * RUN_MS, state)
    job.remaining[0, 0] = 1
    task = job.tasks[TaskKey('a', 0, 0, 0)] = Task(TaskKey('a', 0, 0, 0))
    sent_ms = state.now_ms - age_ms
    attempt = Attempt(
        task.key,
        1,
        'w0',
        step,
        0,
        AttemptState.RUNNING,
        sent_ms,
        **{'seen_ms': sent_ms, 'start_deadline_ms': 1, **options},
    )
    _attempts.add_attempt(attempt, task, state.workers['w0'])
    return state, attempt


def list_starts(state):
    context = Context(state)
    _copies.tick(context)
    return [one for one in context.effects if isinstance(one, StartRun)]


def test_straggler_gets_one_copy_on_another_worker():
    """Guards against more than one copy of a task."""
    state, attempt = make_straggler_state()
    started = list_starts(state)
    assert [one.order.key for one in started] == [attempt.key]
    assert started[0].order.worker_id != 'w0'
    assert state.counters['copies'] == 1
    state.now_ms += 1000
    assert not list_starts(state)


@pytest.mark.parametrize(
    'options',
    [
        {'is_on': False},
        {'age_ms': 900},
        {'is_slow_start': True},
        {'held_ms': 2000.0},
        {'state': AttemptState.STOPPING},
        {'step': attrs.evolve(STEP, allow_duplicates=False)},
        {'step': attrs.evolve(STEP, gang=True)},
        {'step': attrs.evolve(STEP, size=Resources(3000, 1000))},
    ],
)
def test_other_runs_get_no_copy(options):
    """Guards against copies of runs that may not have any, or gain nothing."""
    changed_state = options.pop('state', None)
    state, attempt = make_straggler_state(**options)
    attempt.state = changed_state or attempt.state
    assert not list_starts(state)


def test_copies_take_no_place_of_a_waiting_task():
    state, _ = make_straggler_state()
    state.ready['b', 0, 0] = {}
    assert not list_starts(state)


def test_last_attempt_gets_no_copy():
    """Guards against a copy whose failure ends the job."""
    state, attempt = make_straggler_state()
    task = state.jobs['a'].tasks[attempt.key]
    task.failed_runs = {7, 8}
    assert not list_starts(state)


def test_owner_without_distributions_starts_no_copies():
    """Guards against copies of all runs by a new owner."""
    state, _ = make_straggler_state()
    state.run_ratios.clear()
    assert not list_starts(state)


# -- what callers get ----------------------------------------------------------

SLOW_FACTOR = 7
DUPLICATED_STEP = make_step(
    6, estimated_ms=RUN_MS, allow_duplicates=True, max_per_worker=2
)


async def play_stragglers(fleet):
    """Complete jobs to learn from, then one with a slow worker.

    Returns how long the latter takes.
    """
    for number in range(6):
        job_id = f'{number:016x}'
        request = make_request(
            DUPLICATED_STEP,
            run_ms=RUN_MS,
            slow_tasks=('0.0',),
            slow_factor=SLOW_FACTOR,
        )
        await fleet.submit(job_id, request)
        await fleet.wait_done(job_id)
    began_s = trio.current_time()
    await fleet.submit(
        request=make_request(
            DUPLICATED_STEP,
            run_ms=RUN_MS,
            slow_workers=('w0',),
            slow_factor=SLOW_FACTOR,
        )
    )
    await fleet.wait_done(JOB)
    return trio.current_time() - began_s


def test_copies_complete_a_job_sooner(run_virtual):
    took_s = {}
    copies = {}

    async def run(is_on):
        features = Features(orders_by_progress=is_on)
        async with open_fleet(1, workers=3, features=features) as fleet:
            took_s[is_on] = await play_stragglers(fleet)
            history = fleet.platform.history
            duplicated = {event.key.job_id for event in history}
            assert not check_history(history, duplicated)
            copies[is_on] = fleet.instances['i0'].state.counters

    for is_on in (False, True):
        run_virtual(run, is_on)
    assert copies[True]['copies_ended_first'] >= 1
    assert 'copies' not in copies[False]
    assert took_s[True] < 0.7 * took_s[False]


def test_new_owner_completes_a_job_with_copies(run_virtual):
    """Guards against an owner that takes the copies of the last for faults."""

    async def run():
        async with open_fleet(2, workers=4, features=FEATURES) as fleet:
            owner = fleet.get_owner()
            other = fleet.get_other_instance(owner)
            for number in range(6):
                job_id = f'{number:016x}'
                request = make_request(
                    DUPLICATED_STEP,
                    run_ms=RUN_MS,
                    slow_tasks=('0.0',),
                    slow_factor=SLOW_FACTOR,
                )
                await fleet.submit(job_id, request, by=other)
                await fleet.wait_state(job_id, JobState.COMPLETED, by=other)
            request = make_request(DUPLICATED_STEP, run_ms=10 * RUN_MS)
            await fleet.submit(request=request, by=other)
            state = fleet.instances[owner].state
            before = state.counters.get('copies', 0)
            with trio.fail_after(20):
                while state.counters.get('copies', 0) == before:
                    await trio.sleep(0.1)
            await trio.sleep(0.5)
            fleet.kill(owner)
            await fleet.wait_state(
                JOB, JobState.COMPLETED, limit_s=60, by=other
            )
            history = fleet.platform.history
            duplicated = {event.key.job_id for event in history}
            assert not check_history(history, duplicated)

    run_virtual(run)
