"""Headroom: processors that new long-running tasks leave to short ones.

Short tasks come in bursts and are over within seconds; a long-running task
keeps its place for minutes. So a new one is started only where enough room
for short tasks remains after it, in pieces of the size that they ask for.

Who gives way where not all kinds find room, first to last: opportunistic
tasks, long-running tasks that have never run, long-running tasks that were
at work, short tasks. A task that was at work before takes any room: its
users miss it.

What short tasks ask for is known as a mean and a variance, over all units
together: one unit alone sees few bursts, and a new owner none. As long as
that is not known a part of the processors is kept all the same.
"""

from __future__ import annotations

import collections
import math
import statistics
import typing as t

import attrs

from tulippin.jobs import _demand, _feasibility, _ready
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# By how many standard deviations the headroom exceeds the mean demand.
_DEVIATIONS: t.Final = 1.0
# The most of all processors that are kept: after a crowd of short jobs the
# demand is overrated for a while.
_MOST_SHARE: t.Final = 0.25
# What is kept of the processors, as whole workers, while it is not known
# whether short tasks come.
_UNKNOWN_SHARE: t.Final = 0.25
# Where less than this is reserved nothing is held back.
_ROOMY_SHARE: t.Final = 0.5
# Between two looks at how much is reserved.
_LOOK_EVERY_MS: t.Final = 500
# For how long a measure of the largest piece stands: looking at all runs in
# each pass takes a fifth of an owner's time.
_LARGEST_KEPT_MS: t.Final = 100
# How fast that is given up while none come, and how many steps of short
# tasks tell enough of the demand to go by that alone.
_UNKNOWN_FADE_MS: t.Final = 60_000
_KNOWN_STEPS: t.Final = 20


@attrs.frozen
class Headroom:
    """Tells how much of a worker a new long-running task may take.

    Parameters
    ----------
    place_millicores, piece_millicores : int
        The size of a place for a short task, and of a piece that is large
        enough for most of them; in smaller ones there are no places.
    kept_places, found_places : int
        How many are kept, and how many long-running tasks leave.
    is_scarce : bool
        So little is left that no piece of it is given away: what is freed
        piece by piece becomes a place only if nobody takes it before.
    place_memory_mb : int
        The memory of a place.
    """

    place_millicores: int
    piece_millicores: int
    kept_places: int
    found_places: int
    is_scarce: bool = False
    place_memory_mb: int = 0

    def admits(self, worker: Worker, step: Step) -> bool:
        """Whether enough room remains if a task starts on a worker."""
        if step.size.cpu_millicores > self.get_largest(worker):
            return False
        if worker.entry.capacity.cpu_millicores < self.piece_millicores:
            return True
        left = _get_hole_memory(worker) - step.size.memory_mb
        return left >= self._count_kept(worker) * self.place_memory_mb

    def get_largest(self, worker: Worker) -> int:
        """Return the most processors that a task may take of a worker."""
        hole = get_hole(worker)
        if worker.entry.capacity.cpu_millicores < self.piece_millicores:
            return hole
        if self.is_scarce:
            return 0
        kept = self._count_kept(worker)
        if not kept:
            return hole
        return hole - max(kept * self.place_millicores, self.piece_millicores)

    def _count_kept(self, worker: Worker) -> int:
        """Return how many places of a worker can't be spared."""
        spare = max(0, self.found_places - self.kept_places)
        return max(0, self.count_places(worker) - spare)

    def count_places(self, worker: Worker) -> int:
        """Return how many places long-running tasks leave on a worker."""
        return self.count_fitting(get_hole(worker), _get_hole_memory(worker))

    def count_fitting(self, cpu_millicores: int, memory_mb: int) -> int:
        """Return how many places there are in one piece."""
        if cpu_millicores < self.piece_millicores:
            return 0
        places = cpu_millicores // self.place_millicores
        if self.place_memory_mb:
            places = min(places, memory_mb // self.place_memory_mb)
        return places


def leaves_headroom(job: Job, task: Task, step: Step) -> bool:
    """Whether a task may be started only where room for others remains."""
    if not step.long_running or step.opportunistic or step.gang:
        # A gang's members would each be weighed beside the others.
        return False
    return not _ready.is_back(job, task)


def find_headroom(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> Headroom | None:
    """Return what a task has to leave free; nothing if it may take any."""
    if not leaves_headroom(job, task, step):
        return None
    if _is_bound(step, state) and _are_all_roomy(state):
        return None
    return _measure(job.queue.service, job.queue.priority, state)


def _is_bound(step: Step, state: SchedulerState) -> bool:
    """Whether no other unit could run a step's tasks."""
    label = step.required_label
    return bool(label) and not any(
        label in room.labels for room in state.rooms.values()
    )


def _are_all_roomy(state: SchedulerState) -> bool:
    """Whether all units together have less than half reserved."""
    opened = _feasibility.list_open(state)
    capacity = sum(one.entry.capacity.cpu_millicores for one in opened)
    reserved = sum(one.reserved.cpu_millicores for one in opened)
    for room in state.rooms.values():
        capacity += room.capacity_millicores
        reserved += room.reserved_millicores
    return reserved < _ROOMY_SHARE * capacity


def get_largest(
    service: str, priority: int, state: SchedulerState
) -> int | None:
    """Return the most processors that a new task may take of any worker.

    Nothing if no room is kept from long-running tasks of the priority. The
    figure is up to 0.1 s old.
    """
    known = state.largest_new.get((service, priority))
    if known is not None and state.now_ms - known[0] < _LARGEST_KEPT_MS:
        return known[1]
    largest = _find_largest(service, priority, state)
    state.largest_new[service, priority] = state.now_ms, largest
    return largest


def _find_largest(
    service: str, priority: int, state: SchedulerState
) -> int | None:
    headroom = _measure(service, priority, state)
    if headroom is None:
        return None
    return max(
        headroom.get_largest(worker)
        for worker in _feasibility.list_open(state)
        if worker.entry.service == service
    )


def get_largest_new(opened: list[Worker], state: SchedulerState) -> int | None:
    """Return the most processors that a new long-running task may take.

    Nothing if no room is kept.
    """
    services = {worker.entry.service for worker in opened}
    found = {
        service: _measure(service, _demand.get_least_urgent(state), state)
        for service in services
    }
    if not any(found.values()):
        return None
    return max(
        (_get_room(one, found[one.entry.service]) for one in opened),
        default=0,
    )


def _get_room(worker: Worker, headroom: Headroom | None) -> int:
    free = worker.free.cpu_millicores
    return min(free, headroom.get_largest(worker)) if headroom else free


def _measure(
    service: str, priority: int, state: SchedulerState
) -> Headroom | None:
    """Return what new long-running tasks of a priority have to leave free.

    Nothing is kept for jobs that are less urgent.
    """
    opened = [
        worker
        for worker in _feasibility.list_open(state)
        if worker.entry.service == service
    ]
    capacity = sum(one.entry.capacity.cpu_millicores for one in opened)
    if not capacity or _is_roomy(opened):
        return None
    demand = _demand.estimate(service, priority, capacity, state)
    wanted = min(
        _get_wanted(service, priority, demand, opened, state),
        _MOST_SHARE * capacity,
    )
    bare = _make_bare(demand, opened)
    if not (wanted and bare.place_millicores):
        return None
    holes = [get_hole(one) for one in opened]
    most = _MOST_SHARE * sum(
        bare.count_fitting(
            one.entry.capacity.cpu_millicores, one.entry.capacity.memory_mb
        )
        for one in opened
    )
    kept = round(min(wanted / bare.place_millicores, most))
    found = sum(map(bare.count_places, opened))
    is_scarce = found < kept and sum(holes) < _MOST_SHARE * capacity
    return attrs.evolve(
        bare, kept_places=kept, found_places=found, is_scarce=is_scarce
    )


def _is_roomy(opened: list[Worker]) -> bool:
    """Whether less than half of processors and memory are reserved."""
    cpu_millicores = sum(one.entry.capacity.cpu_millicores for one in opened)
    reserved = sum(one.reserved.cpu_millicores for one in opened)
    memory_mb = sum(one.entry.capacity.memory_mb for one in opened)
    free_mb = sum(map(_get_hole_memory, opened))
    return (
        reserved < _ROOMY_SHARE * cpu_millicores
        and memory_mb - free_mb <= _ROOMY_SHARE * memory_mb
    )


def _make_bare(demand: _demand.Demand, opened: list[Worker]) -> Headroom:
    """Return what a place is, without any."""
    sizes = [one.entry.capacity.cpu_millicores for one in opened]
    usual = statistics.median_low(sizes)
    largest = max(sizes)
    return Headroom(
        min(demand.place_millicores or usual, largest),
        min(demand.piece_millicores or usual, largest),
        kept_places=0,
        found_places=0,
        place_memory_mb=demand.place_memory_mb,
    )


def _get_wanted(
    service: str,
    priority: int,
    demand: _demand.Demand,
    opened: list[Worker],
    state: SchedulerState,
) -> float:
    """Return how many processors short tasks are to find."""
    known = demand.mean_millicores + _DEVIATIONS * math.sqrt(demand.variance)
    unknown = _get_unknown_share(service, priority, state) * sum(
        one.entry.capacity.cpu_millicores for one in opened
    )
    unknown *= max(0.0, 1 - demand.count / _KNOWN_STEPS)
    return max(known, unknown, _sum_short(service, priority, opened, state))


def _get_unknown_share(
    service: str, priority: int, state: SchedulerState
) -> float:
    """Return which part is kept for demand that may still show."""
    if not _demand.may_show(service, priority, state):
        return 0.0
    since_ms = max(state.roomy_ms.get(service, 0), state.ownership.taken_ms)
    watched_ms = state.now_ms - since_ms
    return _UNKNOWN_SHARE * math.exp(-watched_ms / _UNKNOWN_FADE_MS)


def _sum_short(
    service: str, priority: int, opened: list[Worker], state: SchedulerState
) -> int:
    """Return the processors that short tasks hold, or wait for, now."""
    held = sum(
        attempt.step.reserved.cpu_millicores
        for one in opened
        for attempt in one.attempts.values()
        if attempt.priority <= priority and not attempt.step.long_running
    )
    waiting = 0
    for kind, tasks in state.ready.items():
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        is_counted = not step.long_running and job.queue.priority <= priority
        if is_counted and job.queue.service == service:
            waiting += len(tasks) * step.size.cpu_millicores
    return held + waiting


def tick(context: Context) -> None:
    """Note since when half of a service's room is reserved."""
    state = context.state
    if state.now_ms - state.roomy_looked_ms < _LOOK_EVERY_MS:
        return
    state.roomy_looked_ms = state.now_ms
    opened = _feasibility.list_open(state)
    services = {one.entry.service for one in opened}
    for service in services:
        own = [one for one in opened if one.entry.service == service]
        if _is_roomy(own):
            state.roomy_ms[service] = state.now_ms


def get_hole(worker: Worker) -> int:
    """Return the processors that no long-running task reserves.

    A room that has shrunk may have less than none; it takes no place from
    other workers.
    """
    return max(
        0, worker.entry.capacity.cpu_millicores - _sum_long_running(worker)
    )


def _get_hole_memory(worker: Worker) -> int:
    """Return the memory that no long-running task reserves."""
    return max(
        0,
        worker.entry.capacity.memory_mb
        - sum(
            attempt.step.reserved.memory_mb
            for attempt in worker.attempts.values()
            if attempt.step.long_running
        ),
    )


def _sum_long_running(worker: Worker) -> int:
    return sum(
        attempt.step.reserved.cpu_millicores
        for attempt in worker.attempts.values()
        if attempt.step.long_running
    )


@attrs.frozen
class Division:
    """How a unit's processors are divided, for the log.

    Parameters
    ----------
    place_millicores, piece_millicores : int
        The size of a place that is kept for short tasks, and the least size
        of a piece that counts; 0 if none is.
    kept_places, found_places : int
        How many are kept, and how many long-running tasks leave.
    is_scarce : bool
        Whether no new long-running task is started.
    place_memory_mb : int
        The memory of a place.
    mean_millicores, deviation_millicores : int
        What short tasks ask for.
    long_running_millicores, short_millicores, free_millicores : int
        What is reserved on open workers, and what is not.
    """

    place_millicores: int
    piece_millicores: int
    kept_places: int
    found_places: int
    is_scarce: bool
    place_memory_mb: int
    mean_millicores: int
    deviation_millicores: int
    long_running_millicores: int
    short_millicores: int
    free_millicores: int


def describe(state: SchedulerState) -> Division:
    """Return how the processors of the largest service are divided now."""
    opened = _feasibility.list_open(state)
    services = collections.Counter(one.entry.service for one in opened)
    service = services.most_common(1)[0][0] if services else ''
    opened = [one for one in opened if one.entry.service == service]
    least_urgent = _demand.get_least_urgent(state)
    found = _measure(service, least_urgent, state) or Headroom(0, 0, 0, 0)
    capacity = sum(one.entry.capacity.cpu_millicores for one in opened)
    demand = _demand.estimate(service, least_urgent, capacity, state)
    lasting = sum(map(_sum_long_running, opened))
    reserved = sum(one.reserved.cpu_millicores for one in opened)
    return Division(
        **attrs.asdict(found),
        mean_millicores=round(demand.mean_millicores),
        deviation_millicores=round(math.sqrt(demand.variance)),
        long_running_millicores=lasting,
        short_millicores=reserved - lasting,
        free_millicores=sum(max(0, one.free.cpu_millicores) for one in opened),
    )
