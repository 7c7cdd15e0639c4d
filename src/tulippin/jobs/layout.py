"""Which workers make a unit: whole racks, near each other.

One instance owns a unit and decides all that happens on its workers, so a
unit is as large as the smallest instance can carry, and as few units as
that allows are made: tasks find room more easily in a larger one.
"""

from __future__ import annotations

import collections
import math
import typing as t

from tulippin.jobs.records import LayoutRecord
from tulippin.jobs.types import WorkerEntry

# Up to so many workers stay one unit: an owner on one core spends 0.4 of
# it on 33 workers with 95 starts a second.
SINGLE_UNIT_WORKERS: t.Final = 44
# Workers of one unit where there are several. An owner spends 0.08 of a core
# on the decisions for so many, 0.14 for 50, at 100 and 140 starts a second
# (`bench/unit_load.py`), and the larger a unit, the more rarely a task waits
# beside room that another unit has.
UNIT_WORKERS: t.Final = 37
# No unit is made larger, unless one rack is: half a core is what most
# instances have.
MOST_UNIT_WORKERS: t.Final = 50
# What a unit's distance from ``UNIT_WORKERS`` counts beside the units'
# unevenness: whole racks of 20 in a failure domain of 75 are better two
# units of 35 and 40 than three of 15, 20 and 40.
_SIZE_WEIGHT: t.Final = 0.5


def get_rack(entry: WorkerEntry) -> str:
    """Return what a worker is kept together with."""
    return entry.rack or entry.failure_domain


def make_layout(entries: t.Iterable[WorkerEntry]) -> LayoutRecord:
    """Return the first layout for the workers that are listed.

    Several units are made failure domain by failure domain, each of about
    ``UNIT_WORKERS`` and as even as whole racks allow.
    """
    workers = list(entries)
    sizes = collections.Counter(get_rack(entry) for entry in workers)
    if len(workers) <= SINGLE_UNIT_WORKERS:
        racks = dict.fromkeys(sorted(sizes), 0)
        return LayoutRecord(racks, _name_domains(racks, workers))
    racks = {}
    first = 0
    for _, members in _group_by_domain(workers):
        # Largest first: what is left fills up the smaller units.
        own = sorted(
            {get_rack(entry) for entry in members} - set(racks),
            key=_make_order(sizes),
        )
        units = _divide(own, sizes)
        for number, unit in enumerate(units, first):
            racks.update(dict.fromkeys(unit, number))
        first += len(units)
    return LayoutRecord(racks, _name_domains(racks, workers))


def _divide(racks: list[str], sizes: t.Mapping[str, int]) -> list[list[str]]:
    """Return a failure domain's racks, divided into units.

    Every number of units is tried: which one is even depends on how the
    racks' sizes add up. A job finds less room in the smaller of two uneven
    units, and its owner has less to do than the other's.
    """
    tried = [
        _fill_units(racks, sizes, count) for count in range(1, len(racks) + 1)
    ]
    return min(tried, key=lambda units: _rate(units, sizes), default=[])


def _fill_units(
    racks: list[str], sizes: t.Mapping[str, int], count: int
) -> list[list[str]]:
    """Divide racks into a number of units, each rack into the smallest."""
    units: list[list[str]] = [[] for _ in range(count)]
    counts = [0 for _ in units]
    for rack in racks:
        smallest = counts.index(min(counts))
        units[smallest].append(rack)
        counts[smallest] += sizes[rack]
    return units


def _rate(
    units: list[list[str]], sizes: t.Mapping[str, int]
) -> tuple[bool, float]:
    """Return how little a division is liked; the lowest wins."""
    counts = [_count_workers(unit, sizes) for unit in units]
    mean = sum(counts) / len(counts)
    unevenness = math.log(max(counts) / min(counts))
    distance = abs(math.log(mean / UNIT_WORKERS))
    is_splittable = any(len(unit) > 1 for unit in units)
    is_too_large = max(counts) > MOST_UNIT_WORKERS and is_splittable
    return is_too_large, unevenness + _SIZE_WEIGHT * distance


def _count_workers(unit: list[str], sizes: t.Mapping[str, int]) -> int:
    return sum(sizes[rack] for rack in unit)


def _make_order(
    sizes: t.Mapping[str, int],
) -> t.Callable[[str], tuple[int, str]]:
    """Return a key that sorts racks, the largest first."""
    return lambda rack: (-sizes[rack], rack)


def _group_by_domain(
    workers: t.Iterable[WorkerEntry],
) -> list[tuple[str, list[WorkerEntry]]]:
    groups: dict[str, list[WorkerEntry]] = {}
    for entry in workers:
        groups.setdefault(entry.failure_domain, []).append(entry)
    return sorted(groups.items())


def extend_layout(
    layout: LayoutRecord, entries: t.Iterable[WorkerEntry]
) -> LayoutRecord:
    """Return a layout that knows the racks of all these workers.

    A new rack joins the smallest unit of its failure domain that has room
    for it, else it begins a unit of its own.
    """
    workers = list(entries)
    sizes = collections.Counter(get_rack(entry) for entry in workers)
    domains = {get_rack(entry): entry.failure_domain for entry in workers}
    racks = dict(layout.racks)
    limit = UNIT_WORKERS
    if len(layout.unit_numbers) == 1 and len(workers) <= SINGLE_UNIT_WORKERS:
        limit = SINGLE_UNIT_WORKERS
    new = sorted(
        set(sizes) - set(racks), key=lambda rack: (domains[rack], rack)
    )
    for rack in new:
        unit = _find_unit(rack, racks, sizes, domains, limit)
        racks[rack] = unit
    return LayoutRecord(
        racks, {**layout.failure_domains, **_name_domains(racks, workers)}
    )


def _find_unit(
    rack: str,
    racks: dict[str, int],
    sizes: t.Mapping[str, int],
    domains: t.Mapping[str, str],
    limit: int,
) -> int:
    """Return the unit that a new rack is to join."""
    counts: dict[int, int] = {}
    is_near: dict[int, bool] = {}
    for known, unit in racks.items():
        counts[unit] = counts.get(unit, 0) + sizes.get(known, 0)
        near = limit > UNIT_WORKERS or domains.get(known) == domains[rack]
        is_near[unit] = is_near.get(unit, True) and near
    fitting = [
        (count, unit)
        for unit, count in counts.items()
        if is_near[unit] and count + sizes[rack] <= limit
    ]
    if fitting:
        return min(fitting)[1]
    return max(counts, default=-1) + 1


def _name_domains(
    racks: t.Mapping[str, int], workers: t.Iterable[WorkerEntry]
) -> dict[str, str]:
    found: dict[int, set[str]] = {}
    for entry in workers:
        unit = racks[get_rack(entry)]
        found.setdefault(unit, set()).add(entry.failure_domain)
    return {
        str(unit): next(iter(domains)) if len(domains) == 1 else ''
        for unit, domains in found.items()
    }
