"""Divides workers into units of whole racks, by failure domain.

One instance owns a unit and makes all decisions for its workers, so a unit is
limited to what the smallest instance can handle. Within that limit there are
as few units as possible, because tasks find free capacity more easily in a
larger one.
"""

from __future__ import annotations

import collections
import math
import typing as t

import attrs

from tulippin.jobs.records import DEFAULT_JOB_PARTS, LayoutRecord
from tulippin.jobs.types import WorkerEntry

# Maximum number of workers that form a single unit: an owner uses 0.4 of a
# core for 33 workers with 95 starts a second.
MAX_SINGLE_UNIT_WORKERS: t.Final = 44
# Target size of a unit where there are several. An owner uses 0.08 of a core
# for the decisions on this many workers with 100 starts a second, and 0.14 on
# 50 workers with 140 starts a second (`bench/unit_load.py`). The larger a unit,
# the more rarely a task waits while another unit has free capacity.
TARGET_UNIT_WORKERS: t.Final = 37
# Maximum size of a unit of several racks: most instances have half a core.
MAX_UNIT_WORKERS: t.Final = 50
# Weight of the deviation from ``TARGET_UNIT_WORKERS`` relative to the
# unevenness of the units: for racks of 20 in a failure domain of 75 workers,
# two units of 35 and 40 are better than three of 15, 20 and 40.
_SIZE_WEIGHT: t.Final = 0.5


def get_rack(entry: WorkerEntry) -> str:
    """Return a worker's rack, or its failure domain if it names no rack."""
    return entry.rack or entry.failure_domain


def make_layout(
    entries: t.Iterable[WorkerEntry], job_parts: int = DEFAULT_JOB_PARTS
) -> LayoutRecord:
    """Return the initial layout for the listed workers.

    Up to ``MAX_SINGLE_UNIT_WORKERS`` form one unit. Otherwise each failure
    domain is divided into units of about ``TARGET_UNIT_WORKERS``, as even as
    whole racks allow. Accepted jobs are spread over ``job_parts`` parts.
    """
    workers = list(entries)
    sizes = collections.Counter(get_rack(entry) for entry in workers)
    if len(workers) <= MAX_SINGLE_UNIT_WORKERS:
        racks = dict.fromkeys(sorted(sizes), 0)
        return LayoutRecord(racks, _name_domains(racks, workers), job_parts)
    racks = {}
    first = 0
    for _, members in _group_by_domain(workers):
        # Largest first, so that small racks even out the units.
        own = sorted(
            {get_rack(entry) for entry in members} - set(racks),
            key=_make_rack_key(sizes),
        )
        units = _divide(own, sizes)
        for number, unit in enumerate(units, first):
            racks.update(dict.fromkeys(unit, number))
        first += len(units)
    return LayoutRecord(racks, _name_domains(racks, workers), job_parts)


def _divide(racks: list[str], sizes: t.Mapping[str, int]) -> list[list[str]]:
    """Return a failure domain's racks, divided into units.

    Divisions into each possible number of units are compared, since it
    depends on the sizes of the racks which one is even. Of two uneven units,
    jobs find less free capacity in the smaller one, and the owner of the
    larger one has more work.
    """
    divisions = [
        _fill_units(racks, sizes, count) for count in range(1, len(racks) + 1)
    ]
    return min(divisions, key=lambda units: _get_cost(units, sizes), default=[])


def _fill_units(
    racks: list[str], sizes: t.Mapping[str, int], count: int
) -> list[list[str]]:
    """Divide racks into units, assigning each rack to the smallest unit."""
    units: list[list[str]] = [[] for _ in range(count)]
    counts = [0 for _ in units]
    for rack in racks:
        smallest = counts.index(min(counts))
        units[smallest].append(rack)
        counts[smallest] += sizes[rack]
    return units


def _get_cost(
    units: list[list[str]], sizes: t.Mapping[str, int]
) -> tuple[bool, float]:
    """Return the cost of a division; the one with the lowest cost is used.

    A division with a unit that is too large and could be split comes last.
    """
    counts = [_count_workers(unit, sizes) for unit in units]
    mean = sum(counts) / len(counts)
    unevenness = math.log(max(counts) / min(counts))
    distance = abs(math.log(mean / TARGET_UNIT_WORKERS))
    is_splittable = any(len(unit) > 1 for unit in units)
    is_too_large = max(counts) > MAX_UNIT_WORKERS and is_splittable
    return is_too_large, unevenness + _SIZE_WEIGHT * distance


def _count_workers(unit: list[str], sizes: t.Mapping[str, int]) -> int:
    return sum(sizes[rack] for rack in unit)


def _make_rack_key(
    sizes: t.Mapping[str, int],
) -> t.Callable[[str], tuple[int, str]]:
    """Return a key function that sorts racks by size, the largest first."""
    return lambda rack: (-sizes[rack], rack)


def _group_by_domain(
    workers: t.Iterable[WorkerEntry],
) -> list[tuple[str, list[WorkerEntry]]]:
    """Return the workers of each failure domain, sorted by domain."""
    groups: dict[str, list[WorkerEntry]] = {}
    for entry in workers:
        groups.setdefault(entry.failure_domain, []).append(entry)
    return sorted(groups.items())


def extend_layout(
    layout: LayoutRecord, entries: t.Iterable[WorkerEntry]
) -> LayoutRecord:
    """Return the layout with the racks of these workers added.

    A new rack joins the smallest unit of its failure domain that can take it
    within the size limit, or else forms a new unit. Known racks keep theirs,
    and the number of the jobs' parts stays the same.
    """
    workers = list(entries)
    sizes = collections.Counter(get_rack(entry) for entry in workers)
    domains = {get_rack(entry): entry.failure_domain for entry in workers}
    racks = dict(layout.racks)
    limit = TARGET_UNIT_WORKERS
    if (
        len(layout.unit_numbers) == 1
        and len(workers) <= MAX_SINGLE_UNIT_WORKERS
    ):
        limit = MAX_SINGLE_UNIT_WORKERS
    new = sorted(
        set(sizes) - set(racks), key=lambda rack: (domains[rack], rack)
    )
    for rack in new:
        unit = _find_unit(rack, racks, sizes, domains, limit)
        racks[rack] = unit
    return attrs.evolve(
        layout,
        racks=racks,
        failure_domains={
            **layout.failure_domains,
            **_name_domains(racks, workers),
        },
    )


def _find_unit(
    rack: str,
    racks: dict[str, int],
    sizes: t.Mapping[str, int],
    domains: t.Mapping[str, str],
    limit: int,
) -> int:
    """Return the number of the unit that a new rack joins."""
    counts: dict[int, int] = {}
    is_eligible: dict[int, bool] = {}
    for known, unit in racks.items():
        counts[unit] = counts.get(unit, 0) + sizes.get(known, 0)
        may_share = (
            limit > TARGET_UNIT_WORKERS or domains.get(known) == domains[rack]
        )
        is_eligible[unit] = is_eligible.get(unit, True) and may_share
    fitting = [
        (count, unit)
        for unit, count in counts.items()
        if is_eligible[unit] and count + sizes[rack] <= limit
    ]
    if fitting:
        return min(fitting)[1]
    return max(counts, default=-1) + 1


def _name_domains(
    racks: t.Mapping[str, int], workers: t.Iterable[WorkerEntry]
) -> dict[str, str]:
    """Return the failure domain of each unit; empty if it spans several."""
    found: dict[int, set[str]] = {}
    for entry in workers:
        unit = racks[get_rack(entry)]
        found.setdefault(unit, set()).add(entry.failure_domain)
    return {
        str(unit): next(iter(domains)) if len(domains) == 1 else ''
        for unit, domains in found.items()
    }
