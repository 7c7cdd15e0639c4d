"""Division of racks into units."""

import collections

import pytest

from tulippin.jobs.layout import (
    MAX_SINGLE_UNIT_WORKERS,
    MAX_UNIT_WORKERS,
    TARGET_UNIT_WORKERS,
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


def test_few_workers_form_one_unit():
    workers = make_workers(MAX_SINGLE_UNIT_WORKERS)
    assert make_layout(workers).unit_numbers == (0,)


def test_layout_without_workers_has_one_unit():
    assert make_layout([]).unit_numbers == (0,)


def test_many_workers_form_even_units_within_failure_domains():
    workers = make_workers(246)
    layout = make_layout(workers)
    sizes = count_by_unit(layout, workers)
    assert len(sizes) == 6
    assert max(sizes.values()) <= 1.3 * min(sizes.values())
    assert max(sizes.values()) <= MAX_UNIT_WORKERS
    assert min(sizes.values()) >= 0.9 * TARGET_UNIT_WORKERS
    assert all(layout.failure_domains.values())


# Maximum ratio of the largest to the smallest unit, and exceptions by size of
# rack where whole racks do not add up to more even units.
MAX_RATIO = 1.3
MAX_RATIO_EXCEPTIONS = {15: 1.5, 16: 1.35, 30: 1.5}


@pytest.mark.parametrize('per_rack', [5, 8, 10, 12, 15, 16, 20, 25, 30, 40])
def test_units_are_even_for_any_rack_size(per_rack):
    """Six failure domains of 74 or 75 workers, each with a smaller last rack.

    Guards against a unit with twice the workers of the others: with racks of
    20 the ratio of the largest to the smallest unit was 2.1 instead of 1.2.
    """
    workers = [
        entry
        for domain in 'abcdef'
        for entry in make_workers(74 + ord(domain) % 2, per_rack, (domain,))
    ]
    layout = make_layout(workers)
    sizes = count_by_unit(layout, workers)
    max_ratio = MAX_RATIO_EXCEPTIONS.get(per_rack, MAX_RATIO)
    assert max(sizes.values()) <= max_ratio * min(sizes.values())
    assert max(sizes.values()) <= MAX_UNIT_WORKERS
    assert min(sizes.values()) >= TARGET_UNIT_WORKERS / 2


def test_oversized_rack_forms_its_own_unit():
    workers = make_workers(180, per_rack=60)
    layout = make_layout(workers)
    assert sorted(count_by_unit(layout, workers).values()) == [60, 60, 60]


def test_number_of_units_grows_with_workers():
    for count in (150, 500, 1100):
        workers = make_workers(count, per_rack=10)
        units = len(make_layout(workers).unit_numbers)
        assert (
            0.7 * count / TARGET_UNIT_WORKERS
            <= units
            <= 1.4 * count / TARGET_UNIT_WORKERS
        )


def test_known_racks_keep_their_unit():
    workers = make_workers(120)
    layout = make_layout(workers)
    more = [*workers, *make_workers(30, domains=('d',))]
    extended = extend_layout(layout, more)
    for rack, unit in layout.racks.items():
        assert extended.racks[rack] == unit
    assert {entry.rack for entry in more} <= set(extended.racks)


def test_new_rack_joins_a_small_unit():
    workers = make_workers(8, per_rack=8, domains=('a',))
    layout = make_layout(workers)
    more = [*workers, *make_workers(8, per_rack=8, domains=('b',))]
    assert extend_layout(layout, more).unit_numbers == (0,)


def test_growing_site_gets_additional_units():
    layout = make_layout(make_workers(24, per_rack=8))
    grown = make_workers(200, per_rack=8)
    sizes = count_by_unit(extend_layout(layout, grown), grown)
    assert len(sizes) >= 200 / MAX_SINGLE_UNIT_WORKERS
    assert max(sizes.values()) <= MAX_SINGLE_UNIT_WORKERS
