"""Homes for jobs: units with places for their first steps."""

import collections
import random

import attrs
from test_scheduler_decisions import make_job, make_serving, make_state

from tulippin.jobs import _balancing, _ready, _rooms
from tulippin.jobs.records import (
    PLACE_SIZES,
    LayoutRecord,
    LeaseRecord,
    Unit,
    UnitRoom,
)
from tulippin.jobs.state import SchedulerConfig, Task
from tulippin.jobs.types import JobRequest, Step, TaskKey
from tulippin.types import Resources

CAPACITY = 700_000
NOW_MS = 10_000


@attrs.define
class SeenUnit:
    config: SchedulerConfig
    lease: LeaseRecord
    lease_seen_ms: int = NOW_MS
    is_owner: bool = False


def make_units(*free_places, size=6000):
    """Return units with places for so many tasks of a size, or smaller."""
    return {
        number: SeenUnit(
            SchedulerConfig('i', 'i:1', unit=Unit(number)),
            LeaseRecord('s', 'o', room=make_room(places, size)),
        )
        for number, places in enumerate(free_places)
    }


def make_room(places, size):
    told = tuple(places for one in PLACE_SIZES if one <= size)
    reserved = CAPACITY - places * size
    return UnitRoom(CAPACITY, reserved, places=told if places else ())


def make_request(count, cpu=5300, **options):
    step = Step(count, Resources(cpu, 1000), **options)
    later = Step(40, Resources(cpu, 1000), after=(0,))
    return JobRequest('', (step, later))


def choose(units, request, draws):
    """Return how often each unit is chosen, with rows told anew each time."""
    source = random.Random(1)
    layout = LayoutRecord({f'r{number}': number for number in units})
    counts = collections.Counter()
    for _ in range(draws):
        demands = _balancing.Demands(source)
        counts[
            _balancing.choose_unit(request, units, layout, demands, NOW_MS)
        ] += 1
    return counts


def test_urgent_job_never_goes_to_two_full_units():
    """Of 16 units six are full: two at random were both in 13% of draws."""
    units = make_units(*[0] * 6, *[30] * 10)
    counts = choose(units, make_request(9), 500)
    assert set(counts) == set(range(6, 16))
    assert max(counts.values()) < 3 * min(counts.values())


def test_job_goes_to_the_only_unit_with_all_places():
    units = make_units(5, 20, 5, 0, 8)
    assert set(choose(units, make_request(18), 50)) == {1}


def test_wide_job_goes_where_nearly_most_find_a_place():
    units = make_units(5, 20, 20, 20, 0, 8)
    assert set(choose(units, make_request(60), 50)) == {1, 2, 3}


def test_all_units_are_weighed_where_none_has_a_place():
    units = make_units(0, 0, 0, 0)
    assert set(choose(units, make_request(4), 100)) == {0, 1, 2, 3}


def test_what_was_sent_since_takes_places():
    units = make_units(20, 20, 20)
    layout = LayoutRecord({f'r{number}': number for number in units})
    demands = _balancing.Demands(random.Random(1))
    request = make_request(18)
    chosen = [
        _balancing.choose_unit(request, units, layout, demands, NOW_MS)
        for _ in range(3)
    ]
    assert sorted(chosen) == [0, 1, 2]


def test_opportunistic_steps_need_no_reserved_places():
    units = make_units(0, 0, 30)
    request = make_request(9, opportunistic=True)
    assert len(choose(units, request, 100)) == 3


def test_sizes_between_two_told_count_as_the_larger():
    room = UnitRoom(CAPACITY, 0, places=(90, 40, 25, 18, 11))
    assert _rooms.count_fitting(room, 5300) == 11
    assert _rooms.count_fitting(room, 1000) == 90
    assert _rooms.count_fitting(room, 7000) == 0


def test_urgent_job_goes_where_only_long_running_work_waits():
    """Units that long-running work waited in looked alike to it."""
    units = make_units(0, 0, 0)
    room = units[1].lease.room
    units[1].lease = attrs.evolve(
        units[1].lease, room=attrs.evolve(room, short_places=(9,) * 5)
    )
    assert choose(units, make_request(9), 20) == {1: 20}
    lasting = make_request(9, long_running=True)
    assert len(choose(units, lasting, 100)) == 3


def test_unit_tells_places_beside_long_running_work_that_waits():
    """It told of none, as what waits was taken off them all."""
    state = make_state(2)
    step = make_serving(cpu=3000)
    for number in range(8):
        job = make_job(state, f'{number}', state.now_ms, (step,))
        _ready.add(Task(TaskKey(job.job_id, 0, 0, 0)), step, state)
    room = _rooms.measure(state)
    assert _rooms.count_fitting(room, 3000) == 0
    assert _rooms.count_fitting(room, 3000, is_short=True) == 6


def let_wait(unit, **images):
    room = attrs.evolve(unit.lease.room, waiting_millicores=images)
    unit.lease = attrs.evolve(unit.lease, room=room)


def make_idle_request(image='billing'):
    return make_request(10, 2000, opportunistic=True, image=image)


def test_opportunistic_job_avoids_units_where_its_image_waits():
    units = make_units(9, 9, 9, 9)
    let_wait(units[1], billing=90_000)
    let_wait(units[2], other=90_000)
    let_wait(units[3], billing=60_000)
    chosen = choose(units, make_idle_request(), 200)
    assert set(chosen) == {0, 2}
    assert set(choose(units, make_idle_request('other'), 200)) == {0, 1, 3}


def test_units_where_little_waits_count_as_alike():
    units = make_units(9, 9, 9)
    let_wait(units[1], billing=15_000)
    let_wait(units[2], billing=25_000)
    assert set(choose(units, make_idle_request(), 200)) == {0, 1}


def test_jobs_sent_since_count_as_waiting():
    units = make_units(9, 9, 9)
    layout = LayoutRecord({f'r{number}': number for number in units})
    demands = _balancing.Demands(random.Random(1))
    chosen = collections.Counter(
        _balancing.choose_unit(
            make_idle_request(), units, layout, demands, NOW_MS
        )
        for _ in range(30)
    )
    assert max(chosen.values()) - min(chosen.values()) <= 3


def let_serve(unit, *images):
    room = attrs.evolve(unit.lease.room, images=images)
    unit.lease = attrs.evolve(unit.lease, room=room)


def test_long_running_job_joins_its_image():
    units = make_units(50, 50, 50, 50)
    let_serve(units[1], 'a', 'b')
    let_serve(units[3], 'b')
    request = make_request(9, long_running=True, image='b')
    assert set(choose(units, request, 100)) == {1, 3}
    request = make_request(9, long_running=True, image='c')
    assert set(choose(units, request, 100)) == {0, 1, 2, 3}


def test_long_running_job_does_not_join_its_image_in_a_fuller_unit():
    units = make_units(50, 40, 50, 50)
    let_serve(units[1], 'b')
    request = make_request(9, long_running=True, image='b')
    assert 1 not in choose(units, request, 100)


def test_unit_that_is_being_loaded_gets_no_job():
    units = make_units(0, 0, 0)
    units[1].lease = LeaseRecord('s', 'o')
    for request in (make_request(9), make_idle_request()):
        assert set(choose(units, request, 100)) == {0, 2}
