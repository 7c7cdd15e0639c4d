"""What short tasks that reserve their processors ask for, over all units.

Each owner counts what is asked of its unit and tells it with its room. All
units together tell the demand of each: homes of jobs are drawn alike, and
one unit sees few of them. An owner that has just taken its unit goes on from
what the last one told.
"""

from __future__ import annotations

import functools
import math
import typing as t

import attrs

from tulippin.jobs._rounding import round_figure
from tulippin.jobs.records import DemandRecord, QueueKinds
from tulippin.jobs.state import Job, SchedulerState, ShortDemand
from tulippin.jobs.types import Queue, Step

# Over how long what short jobs ask for is taken together.
_MEMORY_MS: t.Final = 10_000
# An owner that has counted for less than this does not extrapolate.
_LEAST_PART: t.Final = 0.3
# A task whose time nobody knows asks for its processors all the same.
_UNKNOWN_RUN_MS: t.Final = 1000
# The most that a lease's readers take for a figure.
_MOST_TOLD: t.Final = 1e27
# Less than this of the size's square is what rounding leaves.
_LEAST_SPREAD: t.Final = 1e-4


@attrs.frozen
class Demand:
    """What short tasks ask for at once.

    ``place_millicores`` is the size of a task, ``piece_millicores`` one that
    most tasks fit in, both weighted by work; 0 if nothing is known. ``count``
    tells on how many steps of late this is based, and ``place_memory_mb`` what
    memory a task takes.
    """

    mean_millicores: float = 0.0
    variance: float = 0.0
    place_millicores: int = 0
    piece_millicores: int = 0
    count: float = 0.0
    place_memory_mb: int = 0


def note_step(
    job: Job, step: Step, task_count: int, state: SchedulerState
) -> None:
    """Count what a step asks for whose turn has come."""
    queue = job.queue
    is_short = not (step.long_running or step.opportunistic)
    kinds = state.queue_kinds.get(queue.name, QueueKinds())
    state.queue_kinds[queue.name] = kinds.join(
        QueueKinds(is_short, step.long_running)
    )
    if not is_short:
        return
    cpu_millicores = step.size.cpu_millicores
    run_ms = (
        state.run_times_ms.get(queue.name, 0.0)
        or step.estimated_ms
        or _UNKNOWN_RUN_MS
    )
    asked = task_count * cpu_millicores
    known = state.short_demands.setdefault(
        (queue.service, queue.priority), ShortDemand()
    )
    part = _get_part(known, state)
    known.noted_ms = state.now_ms
    known.count = known.count * part + 1
    known.work = known.work * part + asked * run_ms
    known.squares = known.squares * part + asked * run_ms * cpu_millicores
    known.cubes = known.cubes * part + asked * run_ms * cpu_millicores**2
    known.bursts = known.bursts * part + asked * run_ms * asked
    known.memory = known.memory * part + asked * run_ms * step.size.memory_mb


def _get_part(known: ShortDemand, state: SchedulerState) -> float:
    """Return which part of a demand still counts."""
    return math.exp((known.noted_ms - state.now_ms) / _MEMORY_MS)


def _list_queues(state: SchedulerState) -> tuple[Queue, ...]:
    return state.configuration.queues if state.configuration else ()


def _find_kinds(queue: Queue, state: SchedulerState) -> QueueKinds | None:
    """Return what has come by a queue here and elsewhere, if anything."""
    told = [
        room.queue_kinds[queue.name]
        for room in state.rooms.values()
        if queue.name in room.queue_kinds
    ]
    own = state.queue_kinds.get(queue.name)
    if own is not None:
        told.append(own)
    return functools.reduce(QueueKinds.join, told) if told else None


def get_least_urgent(state: SchedulerState) -> int:
    """Return the priority of the least urgent long-running tasks."""
    queues = _list_queues(state)
    bringing = [
        queue.priority
        for queue in queues
        if (_find_kinds(queue, state) or QueueKinds()).long_running
    ]
    asking = [priority for _, priority in state.short_demands]
    return max(bringing or (*asking, *(one.priority for one in queues), 0))


def may_show(service: str, priority: int, state: SchedulerState) -> bool:
    """Whether short tasks may come of which nothing is known.

    A queue by which only other work came is not expected to bring any.
    """
    return any(
        queue.service == service
        and queue.priority <= priority
        and (_find_kinds(queue, state) or QueueKinds(short=True)).short
        for queue in _list_queues(state)
    )


def estimate(
    service: str, priority: int, capacity_millicores: int, state: SchedulerState
) -> Demand:
    """Return the unit's part of the demand that is so urgent, or more.

    Parameters
    ----------
    service : str
        Whose workers the tasks would run on.
    priority : int
        Less urgent tasks do not count.
    capacity_millicores : int
        Processors of the service in the unit; its part is by them.
    state : SchedulerState
        Tells what is known here, and of other units.
    """
    records = list_records(state)
    capacity = capacity_millicores
    for room in state.rooms.values():
        records.extend(room.demands)
        capacity += room.service_millicores.get(service, 0)
    asked = [
        one
        for one in records
        if one.service == service and one.priority <= priority
    ]
    mean = sum(one.mean_millicores for one in asked)
    if not mean:
        return Demand()
    part = capacity_millicores / max(1, capacity)
    size = min(
        sum(one.squares for one in asked) / mean, float(capacity_millicores)
    )
    spread = sum(one.cubes for one in asked) / mean - size**2
    deviation = math.sqrt(spread) if spread > _LEAST_SPREAD * size**2 else 0.0
    return Demand(
        part * mean,
        part * sum(one.variance for one in asked),
        round(size),
        round(min(size + deviation, capacity_millicores)),
        sum(one.count for one in asked),
        round(min(_MOST_TOLD, sum(one.memory for one in asked) / mean)),
    )


def list_records(state: SchedulerState) -> list[DemandRecord]:
    """Return what is known here of short tasks, as it is told to others."""
    seen = _get_seen_part(state)
    found = []
    for (service, priority), known in state.short_demands.items():
        part = _get_part(known, state)
        rate = part / (seen * _MEMORY_MS)
        found.append(
            DemandRecord(
                service,
                priority,
                *(
                    round_figure(min(_MOST_TOLD, figure))
                    for figure in (
                        known.work * rate,
                        known.squares * rate,
                        known.cubes * rate,
                        known.bursts * rate,
                        known.count * part,
                        known.memory * rate,
                    )
                ),
            )
        )
    return found


def _get_seen_part(state: SchedulerState) -> float:
    """Return how much of the memory's time the owner has watched."""
    if state.is_demand_told:
        return 1.0
    watched_ms = state.now_ms - state.ownership.taken_ms
    return max(_LEAST_PART, 1 - math.exp(-watched_ms / _MEMORY_MS))


def take_over(state: SchedulerState) -> None:
    """Go on from what the unit's last owner told, once its jobs are loaded.

    What that one counted of them is not counted anew.
    """
    lease = state.ownership.lease
    if lease is None or state.is_without_advice:
        return
    room = lease.room
    state.is_demand_told = bool(room.demands)
    for name, kinds in room.queue_kinds.items():
        known = state.queue_kinds.get(name, QueueKinds())
        state.queue_kinds[name] = known.join(kinds)
    for one in room.demands:
        state.short_demands[one.service, one.priority] = ShortDemand(
            one.count,
            one.mean_millicores * _MEMORY_MS,
            one.squares * _MEMORY_MS,
            one.cubes * _MEMORY_MS,
            one.variance * _MEMORY_MS,
            one.memory * _MEMORY_MS,
            state.now_ms,
        )
