"""Which unit is to keep a new job.

Owners tell twice a second, in their lease rows, what their workers hold
and what is asked of them. Of two units taken at random the one with less
asked of it is chosen: with figures that old, taking the best of all would
send the jobs of half a second to one unit.

Where a job's first steps need places, the two are taken from the units
that have them all. Long-running tasks fill a unit for minutes, and of two
units at random both were among six full ones of 16 in 13% of draws: as
many of the urgent jobs never began on a quiet day of 446 workers.

What waits for idle processors waits for want of a worker whose long-running
tasks bear its image: it goes where least of its image waits.
"""

from __future__ import annotations

import collections
import random
import typing as t

import attrs

from tulippin.jobs import _rooms
from tulippin.jobs.records import LayoutRecord, UnitRoom
from tulippin.jobs.types import JobRequest, Step

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# An owner whose lease has not changed for this long may be gone: it renews
# every 0.5 s, and the feed is read 0.45 s apart.
_FRESH_MS: t.Final = 1300
_CHOICES: t.Final = 2
# A unit counts as good as the best that has places for so much of its share.
_NEARLY: t.Final = 0.9
# How much fuller than the mean a unit may be that serves a job's image: what
# makes it fuller is passed on.
_FULLER: t.Final = 0.03
# Of what tasks with a target reserve, the part that they leave idle.
_IDLE_PART: t.Final = 0.5


@attrs.define
class Demands:
    """What this instance sent to each unit since its last lease row."""

    source: random.Random
    since_ms: dict[int, int] = attrs.field(factory=dict)
    reserved: dict[int, int] = attrs.field(factory=dict)
    idle: dict[int, int] = attrs.field(factory=dict)
    images: dict[int, collections.Counter[str]] = attrs.field(factory=dict)

    def refresh(self, number: int, seen_ms: int) -> None:
        """Forget what a newer lease row counts already."""
        if self.since_ms.get(number) != seen_ms:
            self.since_ms[number] = seen_ms
            self.reserved[number] = 0
            self.idle[number] = 0
            self.images[number] = collections.Counter()

    def add(self, number: int, request: JobRequest) -> None:
        """Count a job that goes to a unit."""
        self.reserved[number] = self.reserved.get(number, 0) + _sum_cpu(
            request, is_idle=False
        )
        self.idle[number] = self.idle.get(number, 0) + _sum_cpu(
            request, is_idle=True
        )
        images = self.images.setdefault(number, collections.Counter())
        for step in _list_first(request, is_idle=True):
            images[step.image] += _get_cpu(step)


def _list_first(request: JobRequest, *, is_idle: bool) -> list[Step]:
    """Return the steps of a sort that wait for no others."""
    return [
        step
        for step in request.steps
        if step.opportunistic is is_idle and not step.after
    ]


def _get_cpu(step: Step) -> int:
    return step.task_count * step.size.cpu_millicores


def _sum_cpu(request: JobRequest, *, is_idle: bool) -> int:
    """Return the processors of the widest step of a sort."""
    return max(
        (
            _get_cpu(step)
            for step in request.steps
            if step.opportunistic is is_idle
        ),
        default=0,
    )


def choose_unit(
    request: JobRequest,
    units: t.Mapping[int, UnitShell],
    layout: LayoutRecord,
    demands: Demands,
    now_ms: int,
) -> int:
    """Return the number of the unit that is to keep a job.

    Parameters
    ----------
    request : JobRequest
        What the job asks for.
    units : mapping of int to UnitShell
        All units, with their newest lease rows.
    layout : LayoutRecord
        The units' racks.
    demands : Demands
        What was sent to units meanwhile; the job is added.
    now_ms : int
        The instance's clock.
    """
    numbers = _get_candidates(request, units, layout, now_ms)
    for number in numbers:
        demands.refresh(number, units[number].lease_seen_ms)
    numbers = _keep_fitting(request, numbers, units, demands)
    numbers = _keep_bearing(request, numbers, units, demands)
    # In random order, so that of two alike not always the first is taken.
    numbers = demands.source.sample(numbers, min(_CHOICES, len(numbers)))
    is_idle = all(step.opportunistic for step in request.steps)
    chosen = min(
        numbers,
        key=lambda number: _get_load(units[number], demands, is_idle=is_idle),
    )
    demands.add(chosen, request)
    return chosen


def _get_candidates(
    request: JobRequest,
    units: t.Mapping[int, UnitShell],
    layout: LayoutRecord,
    now_ms: int,
) -> list[int]:
    """Return the units that could run all steps, those with owners first."""
    numbers = sorted(units)
    for step in request.steps:
        near = layout.racks.get(step.preferred_rack)
        if near in numbers:
            return [near]
    able = [
        number
        for number in numbers
        if all(_could_run(step, units[number]) for step in request.steps)
    ]
    fresh = [number for number in able if _is_fresh(units[number], now_ms)]
    # An owner that still loads its unit starts nothing for a second or more,
    # and one with no open worker would look the emptiest of all.
    loaded = [number for number in fresh if _takes_jobs(units[number])]
    return loaded or fresh or able or numbers


def _takes_jobs(unit: UnitShell) -> bool:
    """Whether a unit's owner has loaded it, and some worker is open."""
    is_loading = unit.lease is None or unit.lease.is_loading
    return not is_loading and _get_room(unit).capacity_millicores > 0


def _is_fresh(unit: UnitShell, now_ms: int) -> bool:
    """Whether a unit's owner was alive a moment ago."""
    return unit.is_owner or now_ms - unit.lease_seen_ms <= _FRESH_MS


def _keep_fitting(
    request: JobRequest,
    numbers: list[int],
    units: t.Mapping[int, UnitShell],
    demands: Demands,
) -> list[int]:
    """Return the units with places for most of the job's first steps.

    Where none has a place for all of their tasks, those are left that
    have places for nearly as many as the best one.
    """
    steps = _list_first(request, is_idle=False)
    if not steps or len(numbers) <= 1:
        return numbers
    shares = {
        number: min(
            _get_placed_share(step, units[number], demands) for step in steps
        )
        for number in numbers
    }
    least = _NEARLY * max(shares.values())
    fitting = [number for number in numbers if shares[number] >= least]
    return _keep_alike(steps, fitting, units, demands)


def _keep_alike(
    steps: list[Step],
    numbers: list[int],
    units: t.Mapping[int, UnitShell],
    demands: Demands,
) -> list[int]:
    """Return the units that serve a long-running job's image, if any.

    The fewer images a unit serves, the fewer a worker does, and the more
    may run beside them. One that is fuller than the mean is left alone.
    """
    images = {step.image for step in steps if step.long_running}
    if not images:
        return numbers
    loads = {
        number: _get_load(units[number], demands, is_idle=False)
        for number in numbers
    }
    most = sum(loads.values()) / max(1, len(loads)) + _FULLER
    alike = [
        number
        for number in numbers
        if images <= set(_get_room(units[number]).images)
        and loads[number] <= most
    ]
    return alike or numbers


def _keep_bearing(
    request: JobRequest,
    numbers: list[int],
    units: t.Mapping[int, UnitShell],
    demands: Demands,
) -> list[int]:
    """Return the units where least of the job's images waits.

    Those where no more waits than the job itself asks for count as alike:
    rows are half a second old, and that much starts at once.
    """
    steps = _list_first(request, is_idle=True)
    if not steps or len(numbers) <= 1:
        return numbers
    waiting = {
        number: sum(
            _get_waiting(step, units[number], demands) for step in steps
        )
        for number in numbers
    }
    most = min(waiting.values()) + sum(_get_cpu(step) for step in steps)
    return [number for number in numbers if waiting[number] <= most]


def _get_waiting(step: Step, unit: UnitShell, demands: Demands) -> int:
    """Return what of a step's image waits in a unit, or was sent there."""
    sent = demands.images.get(unit.config.unit.number, {})
    told = _get_room(unit).waiting_millicores
    return told.get(step.image, 0) + sent.get(step.image, 0)


def _get_placed_share(step: Step, unit: UnitShell, demands: Demands) -> float:
    """Return the share of a step's tasks that find a place in a unit."""
    size = max(1, step.reserved.cpu_millicores)
    sent = demands.reserved.get(unit.config.unit.number, 0) // size
    found = _rooms.count_places(
        _get_room(unit), size, is_short=not step.long_running
    )
    places = found - sent
    return max(0, min(1, places / step.task_count))


def _get_room(unit: UnitShell) -> UnitRoom:
    return unit.lease.room if unit.lease else UnitRoom()


def _could_run(step: Step, unit: UnitShell) -> bool:
    return not step.required_label or (
        step.required_label in _get_room(unit).labels
    )


def _get_load(unit: UnitShell, demands: Demands, *, is_idle: bool) -> float:
    """Return what is asked of a unit beside what it holds."""
    number = unit.config.unit.number
    room = _get_room(unit)
    asked = room.reserved_millicores + demands.reserved.get(number, 0)
    if is_idle:
        asked = _IDLE_PART * asked + room.idle_millicores
        asked += demands.idle.get(number, 0)
    return asked / max(1, room.capacity_millicores)
