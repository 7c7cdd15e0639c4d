"""New long-running tasks leave headroom for short tasks."""

import attrs
import pytest
import trio
from test_scheduler_decisions import (
    NOW_MS,
    QUEUE,
    make_attempt,
    make_job,
    make_service_request,
    make_state,
)

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import (
    _demand,
    _headroom,
    _placing,
    _ready_queues,
    _unit_capacity,
    _worker_selection,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.records import UnitCapacity
from tulippin.jobs.state import Task
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources

# Nine tasks of 3 cores fit on three workers of 10 cores.
WORKERS = 3
SHORT_CORES = 3
LASTING = attrs.evolve(QUEUE, name='lasting', priority=1)
LIMIT_MS = 3000
CORE = 1000


def add_short_demand(state, cores, queue=QUEUE, count=1):
    """Add the demand of short tasks that use ``cores`` on average."""
    step = Step(count, Resources(SHORT_CORES * 1000, 1000), estimated_ms=1000)
    for _ in range(200):
        wait_ms = 1000 * SHORT_CORES * count // cores if cores else 1000
        state.now_ms += wait_ms
        if cores:
            job = make_job(state, 'short', state.now_ms, (step,))
            job.queue = queue
            _demand.note_step(job, step, count, state)


def fill_half(state):
    """Reserve half of the processors with long-running tasks."""
    for number, worker in enumerate(state.workers.values()):
        make_attempt(worker, make_service_request(cpu=5 * CORE), 'half', number)


def make_new(state):
    """Return a long-running task that has never run."""
    step = make_service_request(cpu=1000)
    job = make_job(state, 'lasting', state.now_ms, (step,))
    job.queue = LASTING
    return job, Task(TaskKey('lasting', 0, 0, 0)), step


def place_new(state, cores, queue=LASTING, **options):
    """Place new long-running tasks until none fits; return their count."""
    step = make_service_request(cpu=cores * 1000)
    job = make_job(state, 'lasting', state.now_ms, (step,))
    job.queue = queue
    count = 0
    while True:
        task = Task(TaskKey('lasting', 0, 0, count), **options)
        worker = _worker_selection.choose(job, task, step, state)
        if worker is None:
            return count
        make_attempt(worker, step, 'lasting', count)
        count += 1


def count_fitting(state):
    return sum(
        worker.free.cpu_millicores // (SHORT_CORES * 1000)
        for worker in state.workers.values()
    )


@pytest.mark.parametrize(
    ('workers', 'cores', 'kept'), [(3, 3, 2), (6, 6, 3), (12, 6, 3)]
)
def test_new_long_running_tasks_leave_the_demand_of_short_ones(
    workers, cores, kept
):
    """Long-running tasks kept all capacity that short tasks released."""
    state = make_state(workers)
    add_short_demand(state, cores)
    assert place_new(state, 3) == 3 * workers - kept
    assert count_fitting(state) == kept


def test_more_headroom_is_kept_for_bursts():
    """With only the mean demand kept, a queue of bursts grows without limit."""
    state = make_state(12)
    add_short_demand(state, 6, count=1)
    fill_half(state)
    single = _headroom.find_headroom(*make_new(state), state)
    state = make_state(12)
    add_short_demand(state, 6, count=4)
    fill_half(state)
    bursts = _headroom.find_headroom(*make_new(state), state)
    assert single.kept_places == 3
    assert bursts.kept_places == 5


def test_one_of_many_units_keeps_headroom_for_all_tasks_of_a_wide_step():
    """A unit runs few steps at a time, and a job is late by its last task."""
    state = make_state(12)
    capacity = 12 * 10 * CORE
    for number in range(1, 12):
        state.unit_capacities[number] = UnitCapacity(
            service_millicores={QUEUE.service: capacity}
        )
    wide = 8
    for number in range(200):
        state.now_ms += 250
        count = wide if number % 2 else 1
        step = Step(
            count, Resources(SHORT_CORES * CORE, 1000), estimated_ms=200
        )
        job = make_job(state, 'short', state.now_ms, (step,))
        _demand.note_step(job, step, count, state)
    place_new(state, 1)
    assert count_fitting(state) >= wide


def test_pieces_too_small_for_a_short_task_are_free_for_all():
    state = make_state(4)
    add_short_demand(state, 3)
    for number in range(4):
        make_attempt(
            state.workers[f'w{number}'], make_service_request(cpu=6000)
        )
    assert place_new(state, 1) == 4 + 2 * SHORT_CORES
    assert count_fitting(state) == 2


def test_freed_pieces_are_kept_while_headroom_is_scarce():
    """Capacity freed in small pieces went to the next waiting task."""
    state = make_state(4)
    add_short_demand(state, 3)
    for number in range(4):
        make_attempt(
            state.workers[f'w{number}'], make_service_request(cpu=8000)
        )
    assert place_new(state, 1) == 0
    state.workers['w0'].attempts.clear()
    state.workers['w0'].reserved = Resources()
    assert place_new(state, 1) > 0
    assert count_fitting(state) == 2


def test_worker_smaller_than_a_short_task_keeps_no_headroom():
    state = make_state(5)
    add_short_demand(state, 6)
    small = attrs.evolve(
        state.workers['w4'].entry, capacity=Resources(2000, 8000)
    )
    state.workers['w4'].entry = small
    for number in range(4):
        make_attempt(
            state.workers[f'w{number}'], make_service_request(cpu=8000)
        )
    assert place_new(state, 1) == 2


def test_ample_fragmented_capacity_is_not_held_back():
    """A third of the capacity is free, so waiting would waste it."""
    state = make_state(4)
    add_short_demand(state, 3)
    for number in range(4):
        for index in range(2):
            worker = state.workers[f'w{number}']
            make_attempt(worker, make_service_request(cpu=4000), 'first', index)
        worker.entry = attrs.evolve(
            worker.entry, capacity=Resources(10_900, 64_000)
        )
    assert _headroom.find_headroom(*make_new(state), state).found_places == 0
    assert place_new(state, 1) > 0


def test_headroom_is_limited_to_a_share_of_the_processors():
    """After a burst the demand is overestimated for a while."""
    state = make_state(WORKERS)
    add_short_demand(state, 60)
    assert place_new(state, 3) == 7


def test_running_short_tasks_count_towards_the_headroom():
    """Capacity that a short task uses counts towards what is kept."""
    state = make_state(1)
    add_short_demand(state, 3)
    make_attempt(
        state.workers['w0'], Step(1, Resources(SHORT_CORES * 1000, 1000))
    )
    assert place_new(state, 3) == 2


def test_nothing_is_kept_where_no_short_jobs_come():
    state = make_state(WORKERS)
    assert place_new(state, 5) == 2 * WORKERS


def test_headroom_is_released_once_no_short_jobs_arrive():
    state = make_state(WORKERS)
    add_short_demand(state, 6)
    add_short_demand(state, 0)
    assert place_new(state, 5) == 2 * WORKERS


def test_task_that_ran_before_leaves_no_headroom():
    state = make_state(WORKERS)
    add_short_demand(state, 6)
    assert place_new(state, 5, has_run=True) == 2 * WORKERS


def test_nothing_is_kept_for_less_urgent_jobs_or_other_services():
    state = make_state(WORKERS)
    add_short_demand(state, 6, attrs.evolve(QUEUE, priority=2))
    add_short_demand(state, 6, attrs.evolve(QUEUE, service='other'))
    assert place_new(state, 5) == 2 * WORKERS


def test_unavailable_workers_count_for_no_headroom():
    state = make_state(WORKERS)
    add_short_demand(state, 6)
    for worker in list(state.workers.values())[1:]:
        worker.quarantined_until_ms = state.now_ms + NOW_MS
    assert place_new(state, 5) == 1


def test_short_tasks_may_use_headroom():
    state = make_state(1)
    add_short_demand(state, 6)
    step = Step(1, Resources(10_000, 1000))
    job = make_job(state, 'wide', state.now_ms, (step,))
    task = Task(TaskKey('wide', 0, 0, 0))
    assert _worker_selection.choose(job, task, step, state) is not None


@pytest.mark.parametrize('cores', [0, 6])
def test_new_task_is_not_transferred_into_headroom(cores):
    """The task fitted by the published capacity, and was sent on at once."""
    state = make_state(1)
    if cores:
        add_short_demand(state, cores)
    make_attempt(state.workers['w0'], make_service_request(cpu=6000))
    room = _unit_capacity.measure(state)
    step = make_service_request(cpu=3000)
    assert _unit_capacity.fits_in_unit(
        room, step, 's', is_new=True
    ) is not bool(cores)
    assert _unit_capacity.fits_in_unit(room, step, 's', is_new=False)
    assert _unit_capacity.fits_in_unit(
        room, make_service_request(cpu=1000), 's', is_new=True
    )


def test_owner_that_publishes_no_headroom_keeps_none():
    """Lease rows of owners of an earlier version lack the figure."""
    room = UnitCapacity(10_000, 0, largest_free=Resources(5000, 1000))
    step = make_service_request(cpu=3000)
    assert _unit_capacity.fits_in_unit(room, step, 's', is_new=True)


# Guards against urgent short jobs that find no worker under full load. Short
# jobs arrive continuously while long-running tasks wait; the capacity that
# each short task frees goes to a waiting long-running task, until short tasks
# fit only after a long-running one is cancelled. Nine tenths of the delay of
# late urgent jobs was waiting for capacity, with all workers rejected for lack
# of processors.
def test_short_job_finds_capacity_under_full_load(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=4) as fleet:
            intake = next(iter(fleet.instances.values())).intake
            short = make_step(2, CORE * 4, estimated_ms=1000)
            lasting = make_step(
                40, CORE * 2, long_running=True, target_ms=50, image='web'
            )
            request = make_request(short, run_ms=800)
            for number in range(20):
                await intake.submit(
                    f'{number:016x}', HIGH_PRIORITY_QUEUE, request, LIMIT_MS
                )
                await trio.sleep(0.5)
            many = make_request(lasting, lasts=True)
            await intake.submit('f' * 16, LOW_PRIORITY_QUEUE, many, LIMIT_MS)
            # The short tasks end, and for a while none arrives.
            await trio.sleep(2)
            await intake.submit(
                'e' * 16, HIGH_PRIORITY_QUEUE, request, LIMIT_MS
            )
            await fleet.wait_done('e' * 16, limit_s=3)
            fleet.check()
            # All else is used, except for the maximum headroom of a quarter.
            assert fleet.count_running() == 24

    run_virtual(run)


def test_headroom_is_computed_once_for_all_waiting_steps(monkeypatch):
    """Each waiting step scanned the runs of all workers in each pass."""
    state = make_state(12)
    add_short_demand(state, 6)
    for number in range(12):
        worker = state.workers[f'w{number}']
        make_attempt(worker, make_service_request(cpu=9 * CORE), 'full', number)
    step = attrs.evolve(make_service_request(cpu=CORE), max_per_worker=1)
    for number in range(60):
        job = make_job(state, f'{number}', state.now_ms - 10_000, (step,))
        job.queue = LASTING
        _ready_queues.add(Task(TaskKey(job.job_id, 0, 0, 0)), step, state)
    counted = []
    measure = _headroom._measure
    monkeypatch.setattr(
        _headroom,
        '_measure',
        lambda *arguments: counted.append(1) or measure(*arguments),
    )
    context = Context(state)
    _placing._PlacementPass(context, state.ready).run()
    assert not context.effects
    assert len(counted) <= 2
