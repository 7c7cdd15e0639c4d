"""Lease rows with an invalid capacity of their unit.

Owners of other units use the published capacities to transfer tasks and to
rebalance, and instances use them to choose the home unit of a job. A capacity
of 10**400 processors stopped those owners, and made submitting jobs fail.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from scheduler_fleet import make_request, make_step
from tulippin.codec_json import encode
from tulippin.jobs import _demand
from tulippin.jobs._rebalancing import choose_units
from tulippin.jobs._rows import read_record
from tulippin.jobs._transfers import _accepts_transfers, _get_load
from tulippin.jobs._unit_capacity import (
    can_run_steps,
    count_fitting,
    fits_in_unit,
    measure_load,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    DemandRecord,
    LeaseRecord,
    QueueKinds,
    UnitCapacity,
)
from tulippin.jobs.state import SchedulerConfig, SchedulerState
from tulippin.types import Resources

HUGE = 10**400
# Upper limit of what an owner can publish: a million jobs, each of a million
# tasks of the largest size.
MAX_MILLICORES = 10**21
FIGURES = st.sampled_from(
    (0, 1, -1, 16_000, 2**63, MAX_MILLICORES, HUGE, -HUGE)
)
SIZES = st.sampled_from((0.0, 1e-300, 1e-150, 1.0, 16_000.0, 1e21, 1e300, -1.0))
ROOMS = st.builds(
    UnitCapacity,
    FIGURES,
    FIGURES,
    FIGURES,
    st.builds(Resources, FIGURES, FIGURES, FIGURES),
    st.just(('a',)),
    st.lists(FIGURES, max_size=4).map(tuple),
    st.dictionaries(st.just('image'), FIGURES),
    st.just(('image',)),
    st.none() | FIGURES,
    st.none() | st.lists(FIGURES, max_size=4).map(tuple),
    st.lists(
        st.builds(DemandRecord, st.just('catalogue'), FIGURES, *[SIZES] * 6),
        max_size=2,
    ).map(tuple),
    st.dictionaries(st.just('catalogue'), FIGURES),
    st.dictionaries(
        st.just('q'), st.builds(QueueKinds, st.booleans(), st.booleans())
    ),
    st.dictionaries(
        st.just('catalogue'), st.builds(Resources, FIGURES, FIGURES, FIGURES)
    ),
)


def read(room):
    value = encode(LeaseRecord('i0:1', 'i0', 7, room=room))
    return read_record(StoredRow('units', 'u0', 'lease', value, 1), LeaseRecord)


@given(st.lists(ROOMS, max_size=3))
def test_capacity_that_is_read_can_be_compared(capacities):
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=100_000)
    for number, room in enumerate(capacities, 1):
        record = read(room)
        if record is None:
            continue
        state.unit_capacities[number] = record.room
        _accepts_transfers(record.room)
        assert float(_get_load(record.room)) >= -MAX_MILLICORES
        count_fitting(record.room, 1000)
        fits_in_unit(record.room, make_step(), 's', is_new=True)
        can_run_steps(record.room, make_request().steps, 'catalogue')
        count_fitting(record.room, 1000, is_short=True)
        _demand.estimate('catalogue', 9, 16_000, state)
        state.ownership.lease = LeaseRecord('s', 'i', room=record.room)
        _demand.take_over(state)
        _demand.list_records(state)
        float(sum(record.room.waiting_millicores.values()))
    choose_units(state)


INVALID_ROOMS = {
    'capacity': UnitCapacity(capacity_millicores=HUGE),
    'reserved': UnitCapacity(reserved_millicores=HUGE),
    'below none': UnitCapacity(reserved_millicores=-HUGE),
    'idle': UnitCapacity(idle_millicores=HUGE),
    'free': UnitCapacity(largest_free=Resources(HUGE, 0, 0)),
    'places': UnitCapacity(places=(1, HUGE)),
    'waiting': UnitCapacity(waiting_millicores={'a': HUGE}),
    'new': UnitCapacity(largest_new_millicores=-HUGE),
    'short places': UnitCapacity(short_places=(1, -1)),
    'service': UnitCapacity(service_millicores={'a': HUGE}),
    'largest': UnitCapacity(largest_workers={'a': Resources(1, -1, 0)}),
    'demand': UnitCapacity(demands=(DemandRecord('a', 0, 1.0, 1e300),)),
    'variance': UnitCapacity(
        demands=(DemandRecord('a', 0, 1.0, 1.0, 1.0, -1.0),)
    ),
}


@pytest.mark.parametrize('name', sorted(INVALID_ROOMS))
def test_invalid_capacity_is_rejected(name):
    assert read(INVALID_ROOMS[name]) is None


@pytest.mark.parametrize(
    'room',
    [
        UnitCapacity(),
        UnitCapacity(
            16_000, MAX_MILLICORES, MAX_MILLICORES, Resources(-9000, -1, 0)
        ),
        measure_load(SchedulerState(SchedulerConfig('i', 'i:1'))),
    ],
)
def test_capacity_that_an_owner_can_publish_is_read(room):
    assert read(room).room == room
