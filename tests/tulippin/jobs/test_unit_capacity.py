"""What a unit publishes tells whether it can run work of others."""

import pytest
from test_scheduler_decisions import make_state

from scheduler_fleet import make_step
from tulippin.jobs import _transfers
from tulippin.jobs.records import UnitCapacity
from tulippin.types import Resources

ROOM = UnitCapacity(
    capacity_millicores=64_000, largest_free=Resources(16_000, 64_000)
)


def make_room(**millicores):
    return UnitCapacity(
        capacity_millicores=sum(millicores.values()),
        largest_free=Resources(16_000, 64_000),
        service_millicores=millicores,
    )


# Guards against long-running tasks that are passed to units without a worker
# of their service, where they wait.
@pytest.mark.parametrize(
    ('rooms', 'expected'),
    [
        ({1: make_room(other=64_000)}, None),
        ({1: make_room(other=64_000), 2: make_room(web=16_000)}, 2),
        ({1: make_room(other=64_000, web=16_000)}, 1),
        ({1: ROOM}, 1),
    ],
    ids=['none', 'other unit', 'both services', 'not published'],
)
def test_task_is_passed_to_a_unit_of_its_service(rooms, expected):
    state = make_state()
    state.unit_capacities = rooms
    step = make_step(long_running=True)
    assert _transfers._choose_unit(step, 'web', state) == expected
