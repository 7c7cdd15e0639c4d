"""Room that new long-running tasks leave to short ones.

Long-running tasks stay for minutes. Where more of them are handed in than
find room, each hole that a short task leaves goes to one of them for good,
if it is large enough: short tasks go first, but only those that wait in that
moment and fit. What is left in the end are pieces smaller than most short
tasks. On a full day of 176 workers the large ones waited for tens of
seconds, and of the time that late urgent jobs lost nine tenths went so.

So an owner keeps as many places of the size that short tasks ask for as are
in use on the mean. More would lie idle most of the time, and a long-running
task that waits is work lost as well. What is smaller than a place is anyone's.
The figure follows what comes: where no short jobs do, nothing is kept.
"""

from __future__ import annotations

import collections
import math
import typing as t

import attrs

from tulippin.jobs import _feasibility, _ready
from tulippin.jobs.state import (
    Job,
    SchedulerState,
    ShortDemand,
    Task,
    Worker,
)
from tulippin.jobs.types import Step

# Over how long what short jobs ask for is taken together. A unit gets some
# two of them a second, which differ by ten: 20 tell their mean to within a
# quarter, and a crowd that comes or goes is known soon enough.
_MEMORY_MS: t.Final = 10_000
# The most of all processors that are kept: after a crowd of short jobs the
# figure is too high for a while, and a new long-running task is to start at
# once where half of the processors are free.
_MOST_SHARE: t.Final = 0.25


def note_step(
    job: Job, step: Step, task_count: int, state: SchedulerState
) -> None:
    """Count what a short step asks for whose turn has come."""
    if step.long_running or step.opportunistic:
        return
    queue = job.queue
    cpu_millicores = step.size.cpu_millicores
    run_ms = state.run_times_ms.get(queue.name, 0.0) or step.estimated_ms
    work = task_count * cpu_millicores * run_ms
    known = state.short_demands.setdefault(
        (queue.service, queue.priority), ShortDemand()
    )
    part = _get_part(known, state)
    known.noted_ms = state.now_ms
    known.work = known.work * part + work
    known.squares = known.squares * part + work * cpu_millicores


def _get_part(known: ShortDemand, state: SchedulerState) -> float:
    """Return which part of a demand still counts."""
    return math.exp((known.noted_ms - state.now_ms) / _MEMORY_MS)


@attrs.frozen
class Keeper:
    """Tells on which workers a new long-running task may be started.

    ``place_millicores`` is what a place for a short task is, ``kept_places``
    how many are kept, and ``spare_places`` how many more there are.
    """

    place_millicores: int
    spare_places: int
    kept_places: int = 0

    def lets_on(self, worker: Worker, step: Step) -> bool:
        """Whether a task leaves enough places if it starts on a worker."""
        return step.size.cpu_millicores <= self.get_largest(worker)

    def get_largest(self, worker: Worker) -> int:
        """Return the most processors that a task may take of a worker."""
        hole = _get_hole(worker)
        places = hole // self.place_millicores
        kept = max(0, places - max(0, self.spare_places))
        return hole - kept * self.place_millicores


def find_keeper(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> Keeper | None:
    """Return what keeps room from a task; nothing if it may take any.

    One that was at work before has users who miss it, and may.
    """
    if not step.long_running or _ready.is_back(job, task):
        return None
    return _make_keeper(job.queue.service, job.queue.priority, state)


def get_largest_new(opened: list[Worker], state: SchedulerState) -> int | None:
    """Return the most processors that a new long-running task may take.

    Nothing if no room is kept.
    """
    if not state.short_demands:
        return None
    least_urgent = max(priority for _, priority in state.short_demands)
    services = {worker.entry.service for worker in opened}
    keepers = {
        service: _make_keeper(service, least_urgent, state)
        for service in services
    }
    return max(
        (_get_room(one, keepers[one.entry.service]) for one in opened),
        default=0,
    )


@attrs.frozen
class RoomReport:
    """How a unit's processors are divided, for the log.

    Parameters
    ----------
    place_millicores : int
        The size of a place that is kept for short tasks; 0 if none is.
    kept_places, found_places : int
        How many are kept, and how many long-running tasks leave.
    asked_millicores : int
        What short tasks used on the mean of late, as the owner knows it.
    long_running_millicores, short_millicores, free_millicores : int
        What is reserved on open workers, and what is not.
    """

    place_millicores: int
    kept_places: int
    found_places: int
    asked_millicores: int
    long_running_millicores: int
    short_millicores: int
    free_millicores: int


def describe(state: SchedulerState) -> RoomReport:
    """Return how the unit's processors are divided now."""
    opened = _feasibility.list_open(state)
    lasting = sum(
        attempt.step.reserved.cpu_millicores
        for one in opened
        for attempt in one.attempts.values()
        if attempt.step.long_running
    )
    reserved = sum(one.reserved.cpu_millicores for one in opened)
    asked = sum(
        known.work * _get_part(known, state)
        for known in state.short_demands.values()
    )
    keeper = _find_least_urgent(opened, state)
    return RoomReport(
        place_millicores=keeper.place_millicores if keeper else 0,
        kept_places=keeper.kept_places if keeper else 0,
        found_places=keeper.kept_places + keeper.spare_places if keeper else 0,
        asked_millicores=round(asked / _MEMORY_MS),
        long_running_millicores=lasting,
        short_millicores=reserved - lasting,
        free_millicores=sum(max(0, one.free.cpu_millicores) for one in opened),
    )


def _find_least_urgent(
    opened: list[Worker], state: SchedulerState
) -> Keeper | None:
    """Return what keeps room on the service with the most open workers."""
    if not (opened and state.short_demands):
        return None
    services = collections.Counter(one.entry.service for one in opened)
    least_urgent = max(priority for _, priority in state.short_demands)
    return _make_keeper(services.most_common(1)[0][0], least_urgent, state)


def _get_room(worker: Worker, keeper: Keeper | None) -> int:
    free = worker.free.cpu_millicores
    return min(free, keeper.get_largest(worker)) if keeper else free


def _make_keeper(
    service: str, priority: int, state: SchedulerState
) -> Keeper | None:
    """Return what keeps room from new long-running tasks of a priority.

    Nothing is kept for jobs that are less urgent.
    """
    work = 0.0
    squares = 0.0
    for (one_service, urgency), known in state.short_demands.items():
        if one_service == service and urgency <= priority:
            part = _get_part(known, state)
            work += known.work * part
            squares += known.squares * part
    # Of what size the task is that a processor in use is in use for, on the
    # mean: by number of tasks the small ones would tell of places too small
    # for most of the work.
    place_millicores = round(squares / work) if work else 0
    if not place_millicores:
        return None
    opened = [
        worker
        for worker in _feasibility.list_open(state)
        if worker.entry.service == service
    ]
    capacity = sum(one.entry.capacity.cpu_millicores for one in opened)
    kept = min(work / _MEMORY_MS, _MOST_SHARE * capacity) / place_millicores
    places = sum(_get_hole(one) // place_millicores for one in opened)
    return Keeper(place_millicores, places - round(kept), round(kept))


def _get_hole(worker: Worker) -> int:
    """Return the processors that no long-running task reserves.

    A room that has shrunk may have less than none; it takes no place from
    other workers.
    """
    return max(
        0,
        worker.entry.capacity.cpu_millicores
        - sum(
            attempt.step.reserved.cpu_millicores
            for attempt in worker.attempts.values()
            if attempt.step.long_running
        ),
    )
