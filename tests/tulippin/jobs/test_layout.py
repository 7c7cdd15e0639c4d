"""Racks divided into units."""

import collections

import pytest

from tulippin.jobs.layout import (
    MAX_UNIT_WORKERS,
    SINGLE_UNIT_WORKERS,
    UNIT_WORKERS,
    extend_layout,
    make_layout,
)
from tulippin.jobs.types import WorkerEntry
from tulippin.types import Resources


def make_workers(count, per_rack=12, domains=('a', 'b', 'c')):
    """Return workers, rack by rack, in equal shares of each domain."""
    entries = []
    for number in range(count):
        domain = domains[number * len(domains) // count]
        rack = f'{domain}{number // per_rack}'
        entries.append(
            WorkerEntry(
                f'w{number}',
                's',
                f'10.0.0.{number}:80',
                domain,
                Resources(16000, 64000),
                rack=rack,
            )
        )
    return entries


def count_by_unit(layout, workers):
    return collections.Counter(layout.racks[entry.rack] for entry in workers)


def test_few_workers_are_one_unit():
    workers = make_workers(SINGLE_UNIT_WORKERS)
    assert make_layout(workers).unit_numbers == (0,)


def test_no_worker_is_one_unit_too():
    assert make_layout([]).unit_numbers == (0,)


def test_many_workers_are_even_units_of_one_domain_each():
    workers = make_workers(246)
    layout = make_layout(workers)
    sizes = count_by_unit(layout, workers)
    assert len(sizes) == 6
    assert max(sizes.values()) <= 1.3 * min(sizes.values())
    assert max(sizes.values()) <= MAX_UNIT_WORKERS
    assert min(sizes.values()) >= 0.9 * UNIT_WORKERS
    assert all(layout.failure_domains.values())


EVEN = 1.3
# Whole racks of these sizes do not add up to more even units.
UNEVEN = {15: 1.5, 16: 1.35, 30: 1.5}


@pytest.mark.parametrize('per_rack', [5, 8, 10, 12, 15, 16, 20, 25, 30, 40])
def test_units_of_a_large_layout_are_even_at_any_size_of_rack(per_rack):
    """Six failure domains of 74 or 75 workers, the last rack of each short.

    With racks of 20, one unit of each domain had twice the workers of the
    others: largest over smallest 2.1, now 1.2.
    """
    workers = [
        entry
        for domain in 'abcdef'
        for entry in make_workers(74 + ord(domain) % 2, per_rack, (domain,))
    ]
    layout = make_layout(workers)
    sizes = count_by_unit(layout, workers)
    most = UNEVEN.get(per_rack, EVEN)
    assert max(sizes.values()) <= most * min(sizes.values())
    assert max(sizes.values()) <= MAX_UNIT_WORKERS
    assert min(sizes.values()) >= UNIT_WORKERS / 2


def test_rack_larger_than_any_unit_is_a_unit_of_its_own():
    workers = make_workers(180, per_rack=60)
    layout = make_layout(workers)
    assert sorted(count_by_unit(layout, workers).values()) == [60, 60, 60]


def test_number_of_units_follows_the_workers():
    for count in (150, 500, 1100):
        workers = make_workers(count, per_rack=10)
        units = len(make_layout(workers).unit_numbers)
        assert 0.7 * count / UNIT_WORKERS <= units <= 1.4 * count / UNIT_WORKERS


def test_known_racks_keep_their_unit():
    workers = make_workers(120)
    layout = make_layout(workers)
    more = [*workers, *make_workers(30, domains=('d',))]
    extended = extend_layout(layout, more)
    for rack, unit in layout.racks.items():
        assert extended.racks[rack] == unit
    assert {entry.rack for entry in more} <= set(extended.racks)


def test_new_rack_joins_a_small_unit_before_it_begins_one():
    workers = make_workers(8, per_rack=8, domains=('a',))
    layout = make_layout(workers)
    more = [*workers, *make_workers(8, per_rack=8, domains=('b',))]
    assert extend_layout(layout, more).unit_numbers == (0,)


def test_workers_of_a_site_that_grows_get_units_of_their_own():
    layout = make_layout(make_workers(24, per_rack=8))
    grown = make_workers(200, per_rack=8)
    sizes = count_by_unit(extend_layout(layout, grown), grown)
    assert len(sizes) >= 200 / SINGLE_UNIT_WORKERS
    assert max(sizes.values()) <= SINGLE_UNIT_WORKERS
