"""Estimates the demand of short tasks over all units.

Short tasks are those that are neither long-running nor opportunistic. Each
owner counts the demand of its unit and publishes it with the unit's capacity.
The demand of a unit is estimated from all units together: jobs are spread over
units at random, and one unit sees few of them. A new owner continues from what
the previous one published.
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

# Time constant of the moving sums.
_DECAY_MS: t.Final = 10_000
# Lower limit of the counted share of the time constant, by which a new owner
# extrapolates.
_MIN_COVERED_SHARE: t.Final = 0.3
# Assumed run time where neither runs nor an estimate tell one.
_DEFAULT_RUN_MS: t.Final = 1000
# Upper limit of a figure that readers of a lease accept.
_MAX_FIGURE: t.Final = 1e27
# A variance of sizes below this share of the squared size is rounding error.
_MIN_RELATIVE_VARIANCE: t.Final = 1e-4


@attrs.frozen
class Demand:
    """The concurrent demand of short tasks.

    Parameters
    ----------
    mean_millicores, variance : float
        The mean and variance of the processors asked for at the same time.
    place_millicores, piece_millicores : int
        The mean size of a task, and a size that most tasks fit in, both
        weighted by work; 0 if unknown.
    count : float
        The number of recent steps that the estimate is based on.
    place_memory_mb : int
        The mean memory of a task.
    burst_millicores : float
        A number of processors that the tasks of most steps fit in together,
        weighted by work.
    """

    mean_millicores: float = 0.0
    variance: float = 0.0
    place_millicores: int = 0
    piece_millicores: int = 0
    count: float = 0.0
    place_memory_mb: int = 0
    burst_millicores: float = 0.0


def note_step(
    job: Job, step: Step, task_count: int, state: SchedulerState
) -> None:
    """Count the demand of a step that has become ready."""
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
        or _DEFAULT_RUN_MS
    )
    asked = task_count * cpu_millicores
    known = state.short_demands.setdefault(
        (queue.service, queue.priority), ShortDemand()
    )
    part = _get_decay(known, state)
    known.noted_ms = state.now_ms
    known.count = known.count * part + 1
    known.work = known.work * part + asked * run_ms
    known.squares = known.squares * part + asked * run_ms * cpu_millicores
    known.cubes = known.cubes * part + asked * run_ms * cpu_millicores**2
    known.bursts = known.bursts * part + asked * run_ms * asked
    known.memory = known.memory * part + asked * run_ms * step.size.memory_mb
    known.burst_squares = known.burst_squares * part + asked * run_ms * asked**2


def _get_decay(known: ShortDemand, state: SchedulerState) -> float:
    """Return the decay factor of a demand since its last update."""
    return math.exp((known.noted_ms - state.now_ms) / _DECAY_MS)


def _list_queues(state: SchedulerState) -> tuple[Queue, ...]:
    return state.configuration.queues if state.configuration else ()


def _find_kinds(queue: Queue, state: SchedulerState) -> QueueKinds | None:
    """Return the kinds of tasks seen in a queue by any unit, or None."""
    reported_kinds = [
        room.queue_kinds[queue.name]
        for room in state.unit_capacities.values()
        if queue.name in room.queue_kinds
    ]
    own = state.queue_kinds.get(queue.name)
    if own is not None:
        reported_kinds.append(own)
    return (
        functools.reduce(QueueKinds.join, reported_kinds)
        if reported_kinds
        else None
    )


def get_least_urgent(state: SchedulerState) -> int:
    """Return the priority of the least urgent queue with long-running tasks.

    Until a long-running task was seen, all known priorities count.
    """
    queues = _list_queues(state)
    long_running_priorities = [
        queue.priority
        for queue in queues
        if (_find_kinds(queue, state) or QueueKinds()).long_running
    ]
    short_priorities = [priority for _, priority in state.short_demands]
    return max(
        long_running_priorities
        or (*short_priorities, *(one.priority for one in queues), 0)
    )


def may_show(service: str, priority: int, state: SchedulerState) -> bool:
    """Whether short tasks of a service may arrive that are not yet counted.

    Queues in which only other kinds of tasks were seen are not expected to
    bring short ones.
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
    """Return this unit's share of the demand of all units.

    Parameters
    ----------
    service : str
        The service whose workers the tasks run on.
    priority : int
        Only tasks that are as urgent or more count.
    capacity_millicores : int
        Processors of the service in this unit, by which its share is computed.
    state : SchedulerState
        Holds this unit's demand and the summaries of the other units.
    """
    records = list_records(state)
    capacity = capacity_millicores
    for room in state.unit_capacities.values():
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
    deviation = _get_deviation(size, sum(one.cubes for one in asked) / mean)
    burst = min(
        sum(one.variance for one in asked) / mean, float(capacity_millicores)
    )
    burst_deviation = _get_deviation(
        burst, sum(one.burst_squares for one in asked) / mean
    )
    return Demand(
        part * mean,
        part * sum(one.variance for one in asked),
        round(size),
        round(min(size + deviation, capacity_millicores)),
        sum(one.count for one in asked),
        round(min(_MAX_FIGURE, sum(one.memory for one in asked) / mean)),
        min(burst + burst_deviation, float(capacity_millicores)),
    )


def _get_deviation(mean: float, mean_square: float) -> float:
    """Return a standard deviation, 0 if it is rounding error."""
    variance = mean_square - mean**2
    is_significant = variance > _MIN_RELATIVE_VARIANCE * mean**2
    return math.sqrt(variance) if is_significant else 0.0


def list_records(state: SchedulerState) -> list[DemandRecord]:
    """Return the demand of this unit, as it is published to other units."""
    covered_share = _get_covered_share(state)
    found = []
    for (service, priority), known in state.short_demands.items():
        part = _get_decay(known, state)
        rate = part / (covered_share * _DECAY_MS)
        found.append(
            DemandRecord(
                service,
                priority,
                *(
                    round_figure(min(_MAX_FIGURE, figure))
                    for figure in (
                        known.work * rate,
                        known.squares * rate,
                        known.cubes * rate,
                        known.bursts * rate,
                        known.count * part,
                        known.memory * rate,
                        known.burst_squares * rate,
                    )
                ),
            )
        )
    return found


def _get_covered_share(state: SchedulerState) -> float:
    """Return the share of the time constant that the sums cover."""
    if state.is_demand_inherited:
        return 1.0
    watched_ms = state.now_ms - state.ownership.taken_ms
    return max(_MIN_COVERED_SHARE, 1 - math.exp(-watched_ms / _DECAY_MS))


def take_over(state: SchedulerState) -> None:
    """Restore the demand that the previous owner of the unit published.

    Called once the unit's jobs are loaded, so that the demand counted while
    loading them is replaced and doesn't count twice.
    """
    lease = state.ownership.lease
    if lease is None or state.is_without_advice:
        return
    room = lease.room
    state.is_demand_inherited = bool(room.demands)
    for name, kinds in room.queue_kinds.items():
        known = state.queue_kinds.get(name, QueueKinds())
        state.queue_kinds[name] = known.join(kinds)
    for one in room.demands:
        state.short_demands[one.service, one.priority] = ShortDemand(
            one.count,
            one.mean_millicores * _DECAY_MS,
            one.squares * _DECAY_MS,
            one.cubes * _DECAY_MS,
            one.variance * _DECAY_MS,
            one.memory * _DECAY_MS,
            one.burst_squares * _DECAY_MS,
            state.now_ms,
        )
