"""Summarizes the capacity and demand of a unit for the other units.

The owner publishes the summary with its lease; other owners and instances use
it to assign jobs, to transfer tasks and to keep headroom.
"""

from __future__ import annotations

import collections
import itertools
import typing as t

import attrs

from tulippin.jobs import _demand, _feasibility, _headroom
from tulippin.jobs._ready_queues import StepKey
from tulippin.jobs.records import FIT_COUNT_SIZES, UnitCapacity
from tulippin.jobs.state import SchedulerState, Task, Worker
from tulippin.jobs.types import JobRequest, Step, TaskKey
from tulippin.types import Resources

# Share of the processors reserved by tasks with a latency target that is idle.
IDLE_SHARE: t.Final = 0.5


def measure(state: SchedulerState) -> UnitCapacity:
    """Return the capacity, reservations and waiting demand of a unit."""
    available = _feasibility.list_available(state)
    waiting = sum(_sum_waiting(state.ready, state).values())
    waiting_short = _sum_waiting_short(state)
    waiting_opportunistic = sum_opportunistic_waiting(state)
    return UnitCapacity(
        _sum_capacity(available),
        _sum_reserved(available) + waiting,
        sum(map(_sum_opportunistic, available))
        + sum(waiting_opportunistic.values()),
        max(
            (one.free for one in available),
            key=lambda free: free.cpu_millicores,
            default=Resources(),
        ),
        _get_labels(available),
        _count_fitting(available, waiting),
        waiting_opportunistic,
        _list_serving_images(available, state),
        _headroom.get_largest_new(available, state),
        _count_fitting(available, waiting_short),
        tuple(_demand.list_records(state)),
        _sum_by_service(available),
        dict(state.queue_kinds),
        _get_largest_by_service(available),
    )


def measure_load(state: SchedulerState) -> UnitCapacity:
    """Return only the capacity of a unit, and what is reserved or waits."""
    available = _feasibility.list_available(state)
    waiting = sum(_sum_waiting(state.ready, state).values())
    return UnitCapacity(
        _sum_capacity(available), _sum_reserved(available) + waiting
    )


def _sum_capacity(available: list[Worker]) -> int:
    return sum(one.entry.capacity.cpu_millicores for one in available)


def _sum_reserved(available: list[Worker]) -> int:
    return sum(one.reserved.cpu_millicores for one in available)


def _count_fitting(
    available: list[Worker], waiting_millicores: int
) -> tuple[int, ...]:
    """Return how many more tasks of each published size fit."""
    counts = (
        sum(max(0, one.free.cpu_millicores) // size for one in available)
        - waiting_millicores // size
        for size in FIT_COUNT_SIZES
    )
    return tuple(itertools.takewhile(lambda count: count > 0, counts))


def count_fitting(
    room: UnitCapacity, size_millicores: int, *, is_short: bool = False
) -> int:
    """Return a lower bound of how many tasks of a size fit in a unit.

    Counts are published for sizes a third apart; the next larger size is used
    for those in between.
    """
    places = room.places
    if is_short and room.short_places is not None:
        places = room.short_places
    for size, count in zip(FIT_COUNT_SIZES, places, strict=False):
        if size >= size_millicores:
            return count
    return 0


def fits_in_unit(
    room: UnitCapacity, step: Step, service: str, *, is_new: bool
) -> bool:
    """Whether the largest free capacity of a unit fits a step's task.

    The unit has to have workers of the task's service. A new long-running task
    also has to leave the unit its headroom; else it would be transferred again
    and again.
    """
    if room.service_millicores and service not in room.service_millicores:
        return False
    largest_new = room.largest_new_millicores if is_new else None
    if largest_new is not None and step.reserved.cpu_millicores > largest_new:
        return False
    return has_label(room, step) and room.largest_free.fits(step.reserved)


def has_label(room: UnitCapacity, step: Step) -> bool:
    """Whether a unit has workers with the label that a step requires."""
    return not step.required_label or step.required_label in room.labels


def can_run_steps(
    room: UnitCapacity, steps: t.Iterable[Step], service: str
) -> bool:
    """Whether workers of a unit could run all steps of a job if idle.

    Parameters
    ----------
    room : UnitCapacity
        What the unit has published.
    steps : iterable of Step
        What the job asks for.
    service : str
        The service whose workers run the job; empty if unknown.
    """
    return all(_can_run(room, step, service) for step in steps)


def _can_run(room: UnitCapacity, step: Step, service: str) -> bool:
    """Whether workers of a unit could run a step if they were idle.

    Only a gang needs capacity for all of its tasks at the same time.
    """
    capacity_millicores = room.capacity_millicores
    if service and room.service_millicores:
        capacity_millicores = room.service_millicores.get(service, 0)
    required_count = step.task_count if step.gang else 1
    required = required_count * step.reserved.cpu_millicores
    if capacity_millicores < max(1, required):
        return False
    largest = room.largest_workers.get(service)
    if largest is not None and not largest.fits(step.reserved):
        return False
    return has_label(room, step)


def add_job(room: UnitCapacity, request: JobRequest) -> UnitCapacity:
    """Return what a unit would publish once a job waits there."""
    reserved = _get_largest_demand(request, is_idle=False)
    idle = _get_largest_demand(request, is_idle=True)
    waiting = dict(room.waiting_millicores)
    if idle:
        image = request.steps[0].image
        waiting[image] = waiting.get(image, 0) + idle
    short_places = room.short_places
    if short_places is not None:
        short_places = _subtract_demand(short_places, reserved)
    return attrs.evolve(
        room,
        reserved_millicores=room.reserved_millicores + reserved,
        idle_millicores=room.idle_millicores + idle,
        waiting_millicores=waiting,
        places=_subtract_demand(room.places, reserved),
        short_places=short_places,
    )


def _get_largest_demand(request: JobRequest, *, is_idle: bool) -> int:
    """Return the processors of the largest step, opportunistic or others."""
    return max(
        (
            step.task_count * step.size.cpu_millicores
            for step in request.steps
            if step.opportunistic is is_idle
        ),
        default=0,
    )


def _subtract_demand(
    places: tuple[int, ...], demand_millicores: int
) -> tuple[int, ...]:
    counts = (
        count - demand_millicores // size
        for size, count in zip(FIT_COUNT_SIZES, places, strict=False)
    )
    return tuple(itertools.takewhile(lambda count: count > 0, counts))


def _sum_opportunistic(worker: Worker) -> int:
    """Return the processors of the opportunistic runs on a worker."""
    return sum(
        attempt.step.size.cpu_millicores for attempt in worker.fillers.values()
    )


def _sum_waiting(
    queue: dict[StepKey, dict[TaskKey, Task]], state: SchedulerState
) -> dict[str, int]:
    """Return the processors that the tasks of a queue wait for, by image."""
    waiting: collections.Counter[str] = collections.Counter()
    for step_key, tasks in queue.items():
        step = state.jobs[step_key[0]].request.steps[step_key[2]]
        waiting[step.image] += len(tasks) * step.size.cpu_millicores
    return dict(waiting)


def sum_opportunistic_waiting(state: SchedulerState) -> dict[str, int]:
    """Return the processors that opportunistic tasks wait for, by image."""
    return _sum_waiting(state.ready_opportunistic, state)


def _sum_waiting_short(state: SchedulerState) -> int:
    """Return the processors that short tasks wait for."""
    total = 0
    for step_key, tasks in state.ready.items():
        step = state.jobs[step_key[0]].request.steps[step_key[2]]
        if not step.long_running:
            total += len(tasks) * step.size.cpu_millicores
    return total


def _sum_by_service(available: list[Worker]) -> dict[str, int]:
    """Return the processors of workers by service."""
    millicores: collections.Counter[str] = collections.Counter()
    for one in available:
        millicores[one.entry.service] += one.entry.capacity.cpu_millicores
    return dict(millicores)


def _get_largest_by_service(available: list[Worker]) -> dict[str, Resources]:
    """Return the most of each resource that one worker has, by service."""
    largest: dict[str, Resources] = {}
    for one in available:
        service, capacity = one.entry.service, one.entry.capacity
        largest[service] = capacity.elementwise_max(
            largest.get(service, Resources())
        )
    return largest


def _list_serving_images(
    available: list[Worker], state: SchedulerState
) -> tuple[str, ...]:
    """Return the sorted images of long-running tasks that run or wait."""
    steps = [
        state.jobs[step_key[0]].request.steps[step_key[2]]
        for step_key in state.ready
    ]
    images = {step.image for step in steps if step.long_running}
    images.update(
        attempt.step.image
        for worker in available
        for attempt in worker.serving.values()
    )
    return tuple(sorted(images))


def _get_labels(workers: list[Worker]) -> tuple[str, ...]:
    """Return the sorted labels of workers, without their racks."""
    labels = {label for one in workers for label in one.entry.labels}
    return tuple(sorted(labels - {one.entry.rack for one in workers}))
