"""What a unit's owner tells others of its workers' room."""

from __future__ import annotations

import collections
import itertools

from tulippin.jobs import _demand, _feasibility, _headroom
from tulippin.jobs._ready import StepKey
from tulippin.jobs.records import PLACE_SIZES, UnitRoom
from tulippin.jobs.state import SchedulerState, Task, Worker
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources


def measure(state: SchedulerState) -> UnitRoom:
    """Return what open workers hold and what is asked of them."""
    opened = _feasibility.list_open(state)
    waiting = sum(_sum_waiting(state.ready, state).values())
    waiting_short = _sum_waiting_short(state)
    waiting_idle = _sum_waiting(state.ready_idle, state)
    return UnitRoom(
        _sum_capacity(opened),
        _sum_reserved(opened) + waiting,
        sum(map(_sum_running, opened)) + sum(waiting_idle.values()),
        max(
            (one.free for one in opened),
            key=lambda free: free.cpu_millicores,
            default=Resources(),
        ),
        _get_labels(opened),
        _count_places(opened, waiting),
        waiting_idle,
        _list_serving_images(opened, state),
        _headroom.get_largest_new(opened, state),
        _count_places(opened, waiting_short),
        tuple(_demand.list_records(state)),
        _sum_by_service(opened),
        dict(state.queue_kinds),
    )


def measure_asked(state: SchedulerState) -> UnitRoom:
    """Return what open workers have, and what is reserved, alone."""
    opened = _feasibility.list_open(state)
    waiting = sum(_sum_waiting(state.ready, state).values())
    return UnitRoom(_sum_capacity(opened), _sum_reserved(opened) + waiting)


def _sum_capacity(opened: list[Worker]) -> int:
    return sum(one.entry.capacity.cpu_millicores for one in opened)


def _sum_reserved(opened: list[Worker]) -> int:
    return sum(one.reserved.cpu_millicores for one in opened)


def _count_places(
    opened: list[Worker], waiting_millicores: int
) -> tuple[int, ...]:
    """Return how many tasks of each size find a place now."""
    counts = (
        sum(max(0, one.free.cpu_millicores) // size for one in opened)
        - waiting_millicores // size
        for size in PLACE_SIZES
    )
    return tuple(itertools.takewhile(lambda count: count > 0, counts))


def count_places(
    room: UnitRoom, size_millicores: int, *, is_short: bool = False
) -> int:
    """Return how many tasks of a size find a place, or a few less.

    What is told is counted for sizes a third apart, so the next larger one
    stands for those below it.
    """
    places = room.places
    if is_short and room.short_places is not None:
        places = room.short_places
    for size, count in zip(PLACE_SIZES, places, strict=False):
        if size >= size_millicores:
            return count
    return 0


def has_place(room: UnitRoom, step: Step, *, is_new: bool) -> bool:
    """Whether the emptiest worker of a unit would take a step's task.

    A new long-running task that goes where room is kept from it would be
    passed on and on.
    """
    largest_new = room.largest_new_millicores if is_new else None
    if largest_new is not None and step.reserved.cpu_millicores > largest_new:
        return False
    if step.required_label and step.required_label not in room.labels:
        return False
    return room.largest_free.fits(step.reserved)


def _sum_running(worker: Worker) -> int:
    return sum(
        attempt.step.size.cpu_millicores for attempt in worker.fillers.values()
    )


def _sum_waiting(
    queue: dict[StepKey, dict[TaskKey, Task]], state: SchedulerState
) -> dict[str, int]:
    """Return the processors that a queue's tasks wait for, by image."""
    waiting: collections.Counter[str] = collections.Counter()
    for kind, tasks in queue.items():
        step = state.jobs[kind[0]].request.steps[kind[2]]
        waiting[step.image] += len(tasks) * step.size.cpu_millicores
    return dict(waiting)


def _sum_waiting_short(state: SchedulerState) -> int:
    """Return the processors that short tasks wait for."""
    total = 0
    for kind, tasks in state.ready.items():
        step = state.jobs[kind[0]].request.steps[kind[2]]
        if not step.long_running:
            total += len(tasks) * step.size.cpu_millicores
    return total


def _sum_by_service(opened: list[Worker]) -> dict[str, int]:
    """Return the processors of workers that take work, by service."""
    found: collections.Counter[str] = collections.Counter()
    for one in opened:
        found[one.entry.service] += one.entry.capacity.cpu_millicores
    return dict(found)


def _list_serving_images(
    opened: list[Worker], state: SchedulerState
) -> tuple[str, ...]:
    """Return the images of long-running tasks that run or wait."""
    steps = [state.jobs[kind[0]].request.steps[kind[2]] for kind in state.ready]
    images = {step.image for step in steps if step.long_running}
    images.update(
        attempt.step.image
        for worker in opened
        for attempt in worker.serving.values()
    )
    return tuple(sorted(images))


def _get_labels(workers: list[Worker]) -> tuple[str, ...]:
    """Return the labels of workers, but for their racks."""
    labels = {label for one in workers for label in one.entry.labels}
    return tuple(sorted(labels - {one.entry.rack for one in workers}))
