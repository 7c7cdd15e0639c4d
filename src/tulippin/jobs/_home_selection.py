"""Chooses the home unit of a new job.

Owners publish the capacity and load of their workers in their lease rows twice
a second. Of two units drawn at random, the one with less load is chosen: with
values up to half a second old, choosing the best of all units would send all
jobs that arrive within that time to the same unit.

If the first steps of a job reserve capacity, the two units are drawn from
those where all their tasks fit. Long-running tasks fill a unit for minutes:
with 6 of 16 units full, two random units are both full in 13% of draws, and
13% of the urgent jobs never start in a lightly loaded deployment of 446
workers.

Opportunistic tasks wait for workers whose long-running tasks tolerate their
image, so they go to units with little demand for that image.
"""

from __future__ import annotations

import collections
import random
import typing as t

import attrs

from tulippin.jobs import _unit_capacity
from tulippin.jobs.records import LayoutRecord, UnitCapacity
from tulippin.jobs.types import JobRequest, Step

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# An owner whose lease has not changed for this long may have failed: leases
# are renewed every 0.5 s, and the feed is read every 0.45 s.
_MAX_LEASE_AGE_MS: t.Final = 1300
_CANDIDATE_COUNT: t.Final = 2
# Units that fit at least this part of the best unit's share of tasks count as
# equally good.
_MIN_RELATIVE_SHARE: t.Final = 0.9
# Load above the mean up to which a unit that serves a job's image is
# preferred: tasks beyond that are transferred.
_MAX_LOAD_ABOVE_MEAN: t.Final = 0.03


@attrs.define
class RoutedDemand:
    """The demand that this instance sent to each unit since its lease row.

    Parameters
    ----------
    source : random.Random
        Draws the candidate units.
    since_ms : dict of int to int
        By unit, when the lease row was seen that the sums start from.
    reserved, idle : dict of int to int
        Millicores sent to each unit, to be reserved or for opportunistic
        tasks.
    images : dict of int to Counter
        Opportunistic millicores sent to each unit, by image.
    """

    source: random.Random
    since_ms: dict[int, int] = attrs.field(factory=dict)
    reserved: dict[int, int] = attrs.field(factory=dict)
    idle: dict[int, int] = attrs.field(factory=dict)
    images: dict[int, collections.Counter[str]] = attrs.field(factory=dict)

    def refresh(self, number: int, seen_ms: int) -> None:
        """Reset a unit's sums if a newer lease row includes them."""
        if self.since_ms.get(number) != seen_ms:
            self.since_ms[number] = seen_ms
            self.reserved[number] = 0
            self.idle[number] = 0
            self.images[number] = collections.Counter()

    def add(self, number: int, request: JobRequest) -> None:
        """Add the demand of a job to a unit."""
        self.reserved[number] = self.reserved.get(number, 0) + _sum_cpu(
            request, is_idle=False
        )
        self.idle[number] = self.idle.get(number, 0) + _sum_cpu(
            request, is_idle=True
        )
        images = self.images.setdefault(number, collections.Counter())
        for step in _list_first_steps(request, is_idle=True):
            images[step.image] += _get_cpu(step)


def _list_first_steps(request: JobRequest, *, is_idle: bool) -> list[Step]:
    """Return the steps without predecessors, opportunistic or others."""
    return [
        step
        for step in request.steps
        if step.opportunistic is is_idle and not step.after
    ]


def _get_cpu(step: Step) -> int:
    return step.task_count * step.size.cpu_millicores


def _sum_cpu(request: JobRequest, *, is_idle: bool) -> int:
    """Return the processors of the largest step, opportunistic or others."""
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
    demands: RoutedDemand,
    now_ms: int,
    evacuated_units: t.Collection[int] = (),
    service: str = '',
) -> int:
    """Return the number of the home unit for a new job.

    Parameters
    ----------
    request : JobRequest
        What the job asks for.
    units : mapping of int to UnitShell
        All units, with their newest lease rows.
    layout : LayoutRecord
        The racks of the units.
    demands : RoutedDemand
        The demand sent to units since their lease rows; the job is added.
    now_ms : int
        The time of the instance's clock.
    evacuated_units : collection of int, optional
        Units where no task may be started; chosen only if there is no other.
    service : str, optional
        The service whose workers run the job; empty if unknown.
    """
    open_units = {
        number: unit
        for number, unit in units.items()
        if number not in evacuated_units
    }
    numbers = _get_candidates(
        request, service, open_units or units, layout, now_ms
    )
    for number in numbers:
        demands.refresh(number, units[number].lease_seen_ms)
    numbers = _filter_fitting(request, numbers, units, demands)
    numbers = _filter_least_waiting(request, numbers, units, demands)
    # Sampling also shuffles, so that ties are broken at random.
    numbers = demands.source.sample(
        numbers, min(_CANDIDATE_COUNT, len(numbers))
    )
    is_idle = all(step.opportunistic for step in request.steps)
    chosen = min(
        numbers,
        key=lambda number: _get_load(units[number], demands, is_idle=is_idle),
    )
    demands.add(chosen, request)
    return chosen


def _get_candidates(
    request: JobRequest,
    service: str,
    units: t.Mapping[int, UnitShell],
    layout: LayoutRecord,
    now_ms: int,
) -> list[int]:
    """Return the units to choose from.

    These are the units whose workers could run all steps, if there are any.
    Among them the one of a preferred rack decides alone. Otherwise they are
    limited to those with a live owner that has loaded its unit, as far as there
    are any.
    """
    numbers = sorted(units)
    rooms = {number: _get_capacity(units[number]) for number in numbers}
    able = [
        number
        for number in numbers
        if _unit_capacity.can_run_steps(rooms[number], request.steps, service)
    ]
    for step in request.steps:
        rack_unit = layout.racks.get(step.preferred_rack)
        if rack_unit in (able or numbers):
            return [rack_unit]
    capable = able or [
        number
        for number in numbers
        if all(
            _unit_capacity.has_label(rooms[number], step)
            for step in request.steps
        )
    ]
    fresh = [number for number in capable if _is_fresh(units[number], now_ms)]
    # An owner that is loading its unit starts nothing for a second or more,
    # and a unit without available workers would appear to have the least load.
    loaded = [number for number in fresh if _accepts_jobs(units[number])]
    return loaded or fresh or capable or numbers


def _accepts_jobs(unit: UnitShell) -> bool:
    """Whether a unit is loaded and has available workers."""
    is_loading = unit.lease is None or unit.lease.is_loading
    return not is_loading and _get_capacity(unit).capacity_millicores > 0


def _is_fresh(unit: UnitShell, now_ms: int) -> bool:
    """Whether a unit's lease is recent, or held by this instance."""
    return unit.is_owner or now_ms - unit.lease_seen_ms <= _MAX_LEASE_AGE_MS


def _filter_fitting(
    request: JobRequest,
    numbers: list[int],
    units: t.Mapping[int, UnitShell],
    demands: RoutedDemand,
) -> list[int]:
    """Return the units that fit most tasks of the job's first steps.

    If no unit fits all of them, those remain that fit nearly as large a share
    as the best one.
    """
    steps = _list_first_steps(request, is_idle=False)
    if not steps or len(numbers) <= 1:
        return numbers
    shares = {
        number: min(
            _get_fitting_share(step, units[number], demands) for step in steps
        )
        for number in numbers
    }
    min_share = _MIN_RELATIVE_SHARE * max(shares.values())
    fitting = [number for number in numbers if shares[number] >= min_share]
    return _filter_serving_images(steps, fitting, units, demands)


def _filter_serving_images(
    steps: list[Step],
    numbers: list[int],
    units: t.Mapping[int, UnitShell],
    demands: RoutedDemand,
) -> list[int]:
    """Return the units that already serve a long-running job's images.

    The fewer images a unit serves, the fewer each worker does, and the more
    opportunistic tasks may run next to them. Units with a load above the mean
    are excluded. All units are returned if none qualifies.
    """
    images = {step.image for step in steps if step.long_running}
    if not images:
        return numbers
    loads = {
        number: _get_load(units[number], demands, is_idle=False)
        for number in numbers
    }
    max_accepted = (
        sum(loads.values()) / max(1, len(loads)) + _MAX_LOAD_ABOVE_MEAN
    )
    serving = [
        number
        for number in numbers
        if images <= set(_get_capacity(units[number]).images)
        and loads[number] <= max_accepted
    ]
    return serving or numbers


def _filter_least_waiting(
    request: JobRequest,
    numbers: list[int],
    units: t.Mapping[int, UnitShell],
    demands: RoutedDemand,
) -> list[int]:
    """Return the units where the least opportunistic demand waits.

    Only the images of the job count. Units within the job's own demand of the
    minimum count as equal: lease rows are half a second old, and that much
    starts at once.
    """
    steps = _list_first_steps(request, is_idle=True)
    if not steps or len(numbers) <= 1:
        return numbers
    waiting = {
        number: sum(
            _get_waiting(step, units[number], demands) for step in steps
        )
        for number in numbers
    }
    max_accepted = min(waiting.values()) + sum(_get_cpu(step) for step in steps)
    return [number for number in numbers if waiting[number] <= max_accepted]


def _get_waiting(step: Step, unit: UnitShell, demands: RoutedDemand) -> int:
    """Return the demand for a step's image that waits in a unit or was sent."""
    sent = demands.images.get(unit.config.unit.number, {})
    waiting_by_image = _get_capacity(unit).waiting_millicores
    return waiting_by_image.get(step.image, 0) + sent.get(step.image, 0)


def _get_fitting_share(
    step: Step, unit: UnitShell, demands: RoutedDemand
) -> float:
    """Return the share of a step's tasks that fit in a unit."""
    size = max(1, step.reserved.cpu_millicores)
    routed_count = demands.reserved.get(unit.config.unit.number, 0) // size
    published_fit_count = _unit_capacity.count_fitting(
        _get_capacity(unit), size, is_short=not step.long_running
    )
    fit_count = published_fit_count - routed_count
    return max(0, min(1, fit_count / step.task_count))


def _get_capacity(unit: UnitShell) -> UnitCapacity:
    """Return the published capacity of a unit, empty if it has no lease."""
    return unit.lease.room if unit.lease else UnitCapacity()


def _get_load(
    unit: UnitShell, demands: RoutedDemand, *, is_idle: bool
) -> float:
    """Return the demand on a unit as a share of its capacity.

    With ``is_idle``, the load is that of opportunistic tasks.
    """
    number = unit.config.unit.number
    room = _get_capacity(unit)
    demand = room.reserved_millicores + demands.reserved.get(number, 0)
    if is_idle:
        demand = _unit_capacity.IDLE_SHARE * demand + room.idle_millicores
        demand += demands.idle.get(number, 0)
    return demand / max(1, room.capacity_millicores)
