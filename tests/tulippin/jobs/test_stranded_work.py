"""The choice of waiting work that no worker of its unit could run."""

import attrs
import pytest
from test_scheduler_decisions import make_job, make_state

from tulippin.jobs import _job_moves, _ready_queues, _stranded_work
from tulippin.jobs.records import UnitCapacity
from tulippin.jobs.state import Task
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources

LONG_MS = 2600
SHORT_MS = 1500
SIZE = Resources(2000, 4000)


def make_waiting(step, workers=2):
    """Return a state whose workers have been seen for long, and one job."""
    state = make_state(workers)
    for worker in state.workers.values():
        worker.entry = attrs.evolve(worker.entry, labels=('a',))
    job = make_job(state, 'a', state.now_ms, (step,))
    for index in range(step.task_count):
        _ready_queues.add(Task(TaskKey(job.job_id, 0, 0, index)), step, state)
    _stranded_work.note_workers(state)
    pass_time(state, LONG_MS)
    return state


def pass_time(state, duration_ms):
    """Let time pass with two checks, at its begin and its end."""
    _stranded_work.note_workers(state)
    state.now_ms += duration_ms
    _stranded_work.note_workers(state)


def is_stranded(state):
    return 'a' in _stranded_work.list_jobs(state)


LOSSES = {
    'unlisted': lambda worker: setattr(worker, 'is_listed', False),
    'silent': lambda worker: setattr(worker, 'failed_count', 1),
    'replaced': lambda worker: setattr(worker, 'is_superseded', True),
    'draining': lambda worker: setattr(
        worker, 'entry', attrs.evolve(worker.entry, draining=True)
    ),
}


@pytest.mark.parametrize('loss', sorted(LOSSES))
@pytest.mark.parametrize('is_opportunistic', [False, True])
def test_work_is_stranded_once_all_workers_were_away_for_long(
    loss, is_opportunistic
):
    state = make_waiting(Step(1, SIZE, opportunistic=is_opportunistic))
    lose_first, lose_last = state.workers.values()
    LOSSES[loss](lose_first)
    pass_time(state, LONG_MS)
    assert not is_stranded(state)
    LOSSES[loss](lose_last)
    pass_time(state, SHORT_MS)
    assert not is_stranded(state)
    pass_time(state, SHORT_MS)
    assert is_stranded(state)


def test_work_is_not_stranded_once_a_worker_is_back():
    state = make_waiting(Step(1, SIZE), workers=1)
    (worker,) = state.workers.values()
    worker.failed_count = 1
    pass_time(state, LONG_MS)
    assert is_stranded(state)
    worker.failed_count = 0
    pass_time(state, 0)
    assert not is_stranded(state)


def test_work_is_not_stranded_because_workers_are_busy_or_paused():
    state = make_waiting(Step(1, SIZE), workers=1)
    (worker,) = state.workers.values()
    worker.reserved = worker.entry.capacity
    worker.paused_until_ms = worker.quarantined_until_ms = state.now_ms + 60_000
    pass_time(state, LONG_MS)
    assert not is_stranded(state)


def test_work_is_not_stranded_before_the_workers_were_awaited():
    """Guards against moves right after a takeover, before workers answer."""
    state = make_waiting(Step(1, SIZE), workers=0)
    assert is_stranded(state)
    state.workers_noted_since_ms = 0
    pass_time(state, SHORT_MS)
    assert not is_stranded(state)


@pytest.mark.parametrize(
    ('step', 'is_expected'),
    [
        (Step(1, SIZE, required_label='a'), False),
        (Step(1, SIZE, required_label='gpu'), True),
        (Step(1, Resources(10_000, 64_000)), False),
        (Step(1, Resources(10_001, 1000)), True),
        (Step(1, Resources(1000, 64_001)), True),
        (Step(1, Resources(1000, 1000, 1)), True),
        (Step(50, SIZE), False),
        (Step(10, SIZE, gang=True), False),
        (Step(11, SIZE, gang=True), True),
        (Step(2, SIZE, gang=True, max_per_worker=1), False),
        (Step(3, SIZE, gang=True, max_per_worker=1), True),
    ],
)
def test_work_is_stranded_if_no_worker_could_run_it_while_idle(
    step, is_expected
):
    assert is_stranded(make_waiting(step)) is is_expected


def test_step_that_is_done_does_not_bind_a_stranded_job_to_a_unit():
    state = make_state(0)
    steps = (Step(1, SIZE, required_label='gpu'), Step(1, SIZE, after=(0,)))
    job = make_job(state, 'a', state.now_ms, steps)
    room = UnitCapacity(
        capacity_millicores=64_000,
        service_millicores={job.queue.service: 64_000},
        largest_workers={job.queue.service: Resources(64_000, 256_000)},
    )
    state.unit_capacities[1] = room
    job.remaining = {(0, 0): 1, (0, 1): 1}
    assert _job_moves._choose_unit_with_place(job, state) is None
    job.remaining = {(0, 0): 0, (0, 1): 1}
    assert _job_moves._choose_unit_with_place(job, state) == 1
