"""The choice of a home unit for a new job."""

import collections
import random

import attrs
import pytest
from test_scheduler_decisions import make_job, make_service_request, make_state

from tulippin.jobs import _home_selection, _ready_queues, _unit_capacity
from tulippin.jobs.records import (
    FIT_COUNT_SIZES,
    LayoutRecord,
    LeaseRecord,
    Unit,
    UnitCapacity,
)
from tulippin.jobs.state import SchedulerConfig, Task
from tulippin.jobs.types import JobRequest, Step, TaskKey
from tulippin.types import Resources

CAPACITY = 700_000
NOW_MS = 10_000


@attrs.define
class UnitStub:
    config: SchedulerConfig
    lease: LeaseRecord
    lease_seen_ms: int = NOW_MS
    is_owner: bool = False


def make_units(*free_places, size=6000):
    """Return one unit per argument, in which so many tasks of a size fit."""
    return {
        number: UnitStub(
            SchedulerConfig('i', 'i:1', unit=Unit(number)),
            LeaseRecord('s', 'o', room=make_room(places, size)),
        )
        for number, places in enumerate(free_places)
    }


def make_room(places, size):
    fit_counts = tuple(places for one in FIT_COUNT_SIZES if one <= size)
    reserved = CAPACITY - places * size
    return UnitCapacity(CAPACITY, reserved, places=fit_counts if places else ())


def make_request(count, cpu=5300, **options):
    step = Step(count, Resources(cpu, 1000), **options)
    later = Step(40, Resources(cpu, 1000), after=(0,))
    return JobRequest('', (step, later))


def choose(units, request, draws, **options):
    """Return how often each unit is chosen, with new lease rows each time."""
    source = random.Random(1)
    layout = LayoutRecord({f'r{number}': number for number in units})
    counts = collections.Counter()
    for _ in range(draws):
        demands = _home_selection.RoutedDemand(source)
        counts[
            _home_selection.choose_unit(
                request, units, layout, demands, NOW_MS, **options
            )
        ] += 1
    return counts


def test_urgent_job_never_goes_to_two_full_units():
    """With 6 of 16 units full, two random ones were both full in 13%."""
    units = make_units(*[0] * 6, *[30] * 10)
    counts = choose(units, make_request(9), 500)
    assert set(counts) == set(range(6, 16))
    assert max(counts.values()) < 3 * min(counts.values())


def test_job_goes_to_the_only_unit_that_fits_all_tasks():
    units = make_units(5, 20, 5, 0, 8)
    assert set(choose(units, make_request(18), 50)) == {1}


def test_wide_job_goes_where_nearly_the_largest_share_fits():
    units = make_units(5, 20, 20, 20, 0, 8)
    assert set(choose(units, make_request(60), 50)) == {1, 2, 3}


def test_all_units_are_candidates_if_none_has_capacity():
    units = make_units(0, 0, 0, 0)
    assert set(choose(units, make_request(4), 100)) == {0, 1, 2, 3}


def test_jobs_sent_since_the_lease_row_use_capacity():
    units = make_units(20, 20, 20)
    layout = LayoutRecord({f'r{number}': number for number in units})
    demands = _home_selection.RoutedDemand(random.Random(1))
    request = make_request(18)
    chosen = [
        _home_selection.choose_unit(request, units, layout, demands, NOW_MS)
        for _ in range(3)
    ]
    assert sorted(chosen) == [0, 1, 2]


def test_opportunistic_steps_need_no_reserved_capacity():
    units = make_units(0, 0, 30)
    request = make_request(9, opportunistic=True)
    assert len(choose(units, request, 100)) == 3


def test_sizes_between_two_published_ones_count_as_the_larger():
    room = UnitCapacity(CAPACITY, 0, places=(90, 40, 25, 18, 11))
    assert _unit_capacity.count_fitting(room, 5300) == 11
    assert _unit_capacity.count_fitting(room, 1000) == 90
    assert _unit_capacity.count_fitting(room, 7000) == 0


def test_urgent_job_goes_where_only_long_running_work_waits():
    """Units in which long-running tasks waited all counted as full."""
    units = make_units(0, 0, 0)
    room = units[1].lease.room
    units[1].lease = attrs.evolve(
        units[1].lease, room=attrs.evolve(room, short_places=(9,) * 5)
    )
    assert choose(units, make_request(9), 20) == {1: 20}
    long_running_request = make_request(9, long_running=True)
    assert len(choose(units, long_running_request, 100)) == 3


def test_fit_count_of_short_tasks_ignores_waiting_long_running_ones():
    """Waiting long-running tasks were subtracted for short tasks too."""
    state = make_state(2)
    step = make_service_request(cpu=3000)
    for number in range(8):
        job = make_job(state, f'{number}', state.now_ms, (step,))
        _ready_queues.add(Task(TaskKey(job.job_id, 0, 0, 0)), step, state)
    room = _unit_capacity.measure(state)
    assert _unit_capacity.count_fitting(room, 3000) == 0
    assert _unit_capacity.count_fitting(room, 3000, is_short=True) == 6


def set_waiting(unit, **images):
    room = attrs.evolve(unit.lease.room, waiting_millicores=images)
    unit.lease = attrs.evolve(unit.lease, room=room)


def make_opportunistic_request(image='billing'):
    return make_request(10, 2000, opportunistic=True, image=image)


def test_opportunistic_job_avoids_units_where_its_image_waits():
    units = make_units(9, 9, 9, 9)
    set_waiting(units[1], billing=90_000)
    set_waiting(units[2], other=90_000)
    set_waiting(units[3], billing=60_000)
    chosen = choose(units, make_opportunistic_request(), 200)
    assert set(chosen) == {0, 2}
    assert set(choose(units, make_opportunistic_request('other'), 200)) == {
        0,
        1,
        3,
    }


def test_units_with_little_waiting_demand_count_as_equal():
    units = make_units(9, 9, 9)
    set_waiting(units[1], billing=15_000)
    set_waiting(units[2], billing=25_000)
    assert set(choose(units, make_opportunistic_request(), 200)) == {0, 1}


def test_jobs_sent_since_count_as_waiting():
    units = make_units(9, 9, 9)
    layout = LayoutRecord({f'r{number}': number for number in units})
    demands = _home_selection.RoutedDemand(random.Random(1))
    chosen = collections.Counter(
        _home_selection.choose_unit(
            make_opportunistic_request(), units, layout, demands, NOW_MS
        )
        for _ in range(30)
    )
    assert max(chosen.values()) - min(chosen.values()) <= 3


def set_images(unit, *images):
    room = attrs.evolve(unit.lease.room, images=images)
    unit.lease = attrs.evolve(unit.lease, room=room)


def test_long_running_job_goes_where_its_image_is_served():
    units = make_units(50, 50, 50, 50)
    set_images(units[1], 'a', 'b')
    set_images(units[3], 'b')
    request = make_request(9, long_running=True, image='b')
    assert set(choose(units, request, 100)) == {1, 3}
    request = make_request(9, long_running=True, image='c')
    assert set(choose(units, request, 100)) == {0, 1, 2, 3}


def test_long_running_job_avoids_a_fuller_unit_that_serves_its_image():
    units = make_units(50, 40, 50, 50)
    set_images(units[1], 'b')
    request = make_request(9, long_running=True, image='b')
    assert 1 not in choose(units, request, 100)


def test_unit_that_is_loading_gets_no_job():
    units = make_units(0, 0, 0)
    units[1].lease = LeaseRecord('s', 'o')
    for request in (make_request(9), make_opportunistic_request()):
        assert set(choose(units, request, 100)) == {0, 2}


# -- units without a worker that could run a job -------------------------------


def publish(unit, **fields):
    unit.lease = attrs.evolve(
        unit.lease, room=attrs.evolve(unit.lease.room, **fields)
    )


def test_job_leaves_the_unit_of_its_rack_that_has_no_worker_left():
    """Guards against a job that is sent to a unit that lost all its workers."""
    units = make_units(9, 9, 9)
    request = make_request(4, preferred_rack='r1')
    assert choose(units, request, 50) == {1: 50}
    units[1].lease = LeaseRecord('s', 'o')
    assert set(choose(units, request, 50)) == {0, 2}


def test_second_preferred_rack_counts_if_the_first_has_no_worker_left():
    units = make_units(9, 9, 9)
    units[1].lease = LeaseRecord('s', 'o')
    steps = (
        Step(1, Resources(1000, 1000), preferred_rack='r1'),
        Step(1, Resources(1000, 1000), preferred_rack='r2'),
    )
    assert choose(units, JobRequest('', steps), 50) == {2: 50}


@pytest.mark.parametrize(
    'fields',
    [
        {'service_millicores': {'other': CAPACITY}},
        {'largest_workers': {'catalogue': Resources(4000, 64_000)}},
        {'largest_workers': {'catalogue': Resources(16_000, 500)}},
    ],
    ids=['service', 'processors', 'memory'],
)
def test_job_goes_only_to_units_with_a_worker_that_could_run_it(fields):
    units = make_units(9, 9, 9)
    publish(units[1], **fields)
    for request in (make_request(4), make_request(4, preferred_rack='r1')):
        chosen = choose(units, request, 50, service='catalogue')
        assert set(chosen) == {0, 2}


def test_job_near_a_rack_goes_only_to_units_with_its_label():
    units = make_units(9, 9, 9)
    publish(units[0], labels=('gpu',))
    request = make_request(4, preferred_rack='r1', required_label='gpu')
    assert choose(units, request, 50) == {0: 50}


def test_gang_goes_only_to_units_with_capacity_for_all_of_it():
    units = make_units(9, 9, 9)
    publish(units[1], capacity_millicores=20_000)
    request = make_request(4, preferred_rack='r1', gang=True)
    assert set(choose(units, request, 50)) == {0, 2}


def test_job_that_no_unit_could_run_goes_to_the_unit_of_its_rack():
    units = make_units(9, 9, 9)
    for unit in units.values():
        unit.lease = LeaseRecord('s', 'o')
    assert choose(units, make_request(4, preferred_rack='r1'), 50) == {1: 50}
    assert len(choose(units, make_request(4), 100)) == 3


def test_published_capacity_names_the_largest_worker_of_each_service():
    state = make_state(2)
    worker = state.workers['w1']
    worker.entry = attrs.evolve(
        worker.entry,
        service='batch',
        capacity=attrs.evolve(worker.entry.capacity, memory_mb=1),
    )
    published = _unit_capacity.measure(state).largest_workers
    assert published == {
        one.entry.service: one.entry.capacity for one in state.workers.values()
    }
    assert len(published) == 2
