"""Headroom: processors that new long-running tasks leave for short ones.

Short tasks arrive in bursts and end within seconds; a long-running task holds
its capacity for minutes. So a new long-running task is started only where
enough capacity for short tasks remains, in pieces of the size that they ask
for.

Where capacity is scarce, tasks give way in this order: opportunistic tasks,
long-running tasks that have never run, long-running tasks that ran before,
short tasks. A task that ran before needs to leave no headroom, as its users
have lost a service that they had.

The demand of short tasks is known as a mean and a variance over all units
together: a single unit sees few bursts, and a new owner none. Until the demand
is known, a fixed share of the processors is kept.
"""

from __future__ import annotations

import collections
import math
import statistics
import typing as t

import attrs

from tulippin.jobs import _demand, _feasibility, _ready_queues
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# Standard deviations by which the headroom exceeds the mean demand.
_DEMAND_DEVIATIONS: t.Final = 1.0
# Maximum share of all processors that is kept: after a burst of short jobs the
# demand is overestimated for a while.
_MAX_KEPT_SHARE: t.Final = 0.25
# Share of the processors that is kept, as whole workers, while it is unknown
# whether short tasks arrive.
_UNKNOWN_DEMAND_SHARE: t.Final = 0.25
# No headroom is kept while less than this share is reserved.
_UNCROWDED_SHARE: t.Final = 0.5
# Interval between two checks of the reserved share.
_CHECK_INTERVAL_MS: t.Final = 500
# Lifetime of a cached largest piece: scanning all runs in each pass takes a
# fifth of an owner's time.
_LARGEST_CACHE_MS: t.Final = 100
# Time constant at which the share for unknown demand decays while no short
# tasks arrive, and the number of short steps after which only the estimated
# demand counts.
_UNKNOWN_DECAY_MS: t.Final = 60_000
_MIN_KNOWN_STEPS: t.Final = 20


@attrs.frozen
class Headroom:
    """How much of a worker a new long-running task may use.

    A place is the capacity for one short task.

    Parameters
    ----------
    place_millicores, piece_millicores : int
        The size of a typical short task, and the minimum size of a free piece
        that fits most of them; smaller pieces count as no place.
    kept_places, found_places : int
        The number of places to keep, and the number that long-running tasks
        leave now.
    is_scarce : bool
        Whether so little is free that new long-running tasks get nothing:
        capacity that is freed in small pieces adds up to a place only if no
        other task takes it first.
    place_memory_mb : int
        The memory of a typical short task.
    """

    place_millicores: int
    piece_millicores: int
    kept_places: int
    found_places: int
    is_scarce: bool = False
    place_memory_mb: int = 0

    def admits(self, worker: Worker, step: Step) -> bool:
        """Whether enough headroom remains if a task starts on a worker."""
        if step.size.cpu_millicores > self.get_largest(worker):
            return False
        if worker.entry.capacity.cpu_millicores < self.piece_millicores:
            return True
        remaining_mb = _get_unoccupied_memory(worker) - step.size.memory_mb
        return remaining_mb >= self._count_kept(worker) * self.place_memory_mb

    def get_largest(self, worker: Worker) -> int:
        """Return the maximum of processors that a task may use of a worker."""
        unoccupied = get_unoccupied(worker)
        if worker.entry.capacity.cpu_millicores < self.piece_millicores:
            return unoccupied
        if self.is_scarce:
            return 0
        kept = self._count_kept(worker)
        if not kept:
            return unoccupied
        return unoccupied - max(
            kept * self.place_millicores, self.piece_millicores
        )

    def _count_kept(self, worker: Worker) -> int:
        """Return how many places of a worker have to be kept."""
        spare_places = max(0, self.found_places - self.kept_places)
        return max(0, self.count_places(worker) - spare_places)

    def count_places(self, worker: Worker) -> int:
        """Return how many short tasks fit if only long-running ones run."""
        return self.count_fitting(
            get_unoccupied(worker), _get_unoccupied_memory(worker)
        )

    def count_fitting(self, cpu_millicores: int, memory_mb: int) -> int:
        """Return how many short tasks fit in one free piece."""
        if cpu_millicores < self.piece_millicores:
            return 0
        places = cpu_millicores // self.place_millicores
        if self.place_memory_mb:
            places = min(places, memory_mb // self.place_memory_mb)
        return places


def leaves_headroom(job: Job, task: Task, step: Step) -> bool:
    """Whether a task may be started only where headroom remains."""
    if not step.long_running or step.opportunistic or step.gang:
        # The members of a gang are placed together, so the headroom can't be
        # checked for each alone.
        return False
    return not _ready_queues.ran_before(job, task)


def find_headroom(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> Headroom | None:
    """Return the headroom that a task has to leave, if any."""
    if not leaves_headroom(job, task, step):
        return None
    if _is_bound_to_unit(step, state) and _are_all_uncrowded(state):
        return None
    return _measure(job.queue.service, job.queue.priority, state)


def prefer_admitting(
    job: Job,
    task: Task,
    step: Step,
    workers: list[Worker],
    state: SchedulerState,
) -> list[Worker]:
    """Return the workers to choose from while no headroom has to be kept.

    These are the ones where the task leaves the headroom that has to be kept
    once half of the processors is reserved, if there are any: by then, tasks
    spread over all workers would have left only pieces that are too small.
    """
    if not leaves_headroom(job, task, step):
        return workers
    headroom = _compute(job.queue.service, job.queue.priority, state)
    if headroom is None:
        return workers
    return [one for one in workers if headroom.admits(one, step)] or workers


def _is_bound_to_unit(step: Step, state: SchedulerState) -> bool:
    """Whether no other unit has workers with the label a step requires."""
    label = step.required_label
    return bool(label) and not any(
        label in room.labels for room in state.unit_capacities.values()
    )


def _are_all_uncrowded(state: SchedulerState) -> bool:
    """Whether less than half of the processors of all units is reserved."""
    workers = _feasibility.list_available(state)
    capacity = sum(one.entry.capacity.cpu_millicores for one in workers)
    reserved = sum(one.reserved.cpu_millicores for one in workers)
    for room in state.unit_capacities.values():
        capacity += room.capacity_millicores
        reserved += room.reserved_millicores
    return reserved < _UNCROWDED_SHARE * capacity


def get_largest(
    service: str, priority: int, state: SchedulerState
) -> int | None:
    """Return the maximum of processors that a new task may use of any worker.

    None if no headroom is kept from long-running tasks of the priority. The
    result is cached for 0.1 s.
    """
    known = state.cached_largest_new.get((service, priority))
    if known is not None and state.now_ms - known[0] < _LARGEST_CACHE_MS:
        return known[1]
    largest = _find_largest(service, priority, state)
    state.cached_largest_new[service, priority] = state.now_ms, largest
    return largest


def _find_largest(
    service: str, priority: int, state: SchedulerState
) -> int | None:
    """Return the uncached result of ``get_largest``."""
    headroom = _measure(service, priority, state)
    if headroom is None:
        return None
    return max(
        headroom.get_largest(worker)
        for worker in _feasibility.list_available(state)
        if worker.entry.service == service
    )


def get_largest_new(workers: list[Worker], state: SchedulerState) -> int | None:
    """Return the maximum of processors that a new long-running task may use.

    It is computed for the least urgent long-running tasks, over all services.
    None if no headroom is kept.
    """
    services = {worker.entry.service for worker in workers}
    found = {
        service: _measure(service, _demand.get_least_urgent(state), state)
        for service in services
    }
    if not any(found.values()):
        return None
    return max(
        (_get_usable(one, found[one.entry.service]) for one in workers),
        default=0,
    )


def _get_usable(worker: Worker, headroom: Headroom | None) -> int:
    """Return the processors of a worker that a new task may use."""
    free = worker.free.cpu_millicores
    return min(free, headroom.get_largest(worker)) if headroom else free


def _measure(
    service: str, priority: int, state: SchedulerState
) -> Headroom | None:
    """Return the headroom for new long-running tasks of a priority.

    It covers short tasks that are as urgent or more. None if no headroom has
    to be kept.
    """
    workers = _list_workers(service, state)
    if not workers or _is_uncrowded(workers):
        return None
    return _compute(service, priority, state)


def _list_workers(service: str, state: SchedulerState) -> list[Worker]:
    return [
        worker
        for worker in _feasibility.list_available(state)
        if worker.entry.service == service
    ]


def _compute(
    service: str, priority: int, state: SchedulerState
) -> Headroom | None:
    """Return the headroom, whether or not it has to be kept yet."""
    workers = _list_workers(service, state)
    capacity = sum(one.entry.capacity.cpu_millicores for one in workers)
    if not capacity:
        return None
    demand = _demand.estimate(service, priority, capacity, state)
    wanted = min(
        _get_kept_millicores(service, priority, demand, workers, state),
        _MAX_KEPT_SHARE * capacity,
    )
    empty = _make_empty(demand, workers)
    if not (wanted and empty.place_millicores):
        return None
    unoccupied_pieces = [get_unoccupied(one) for one in workers]
    max_kept = _MAX_KEPT_SHARE * sum(
        empty.count_fitting(
            one.entry.capacity.cpu_millicores, one.entry.capacity.memory_mb
        )
        for one in workers
    )
    kept = round(min(wanted / empty.place_millicores, max_kept))
    found = sum(map(empty.count_places, workers))
    is_scarce = (
        found < kept and sum(unoccupied_pieces) < _MAX_KEPT_SHARE * capacity
    )
    return attrs.evolve(
        empty, kept_places=kept, found_places=found, is_scarce=is_scarce
    )


def _is_uncrowded(workers: list[Worker]) -> bool:
    """Whether at most half of the processors and memory is reserved."""
    cpu_millicores = sum(one.entry.capacity.cpu_millicores for one in workers)
    reserved = sum(one.reserved.cpu_millicores for one in workers)
    memory_mb = sum(one.entry.capacity.memory_mb for one in workers)
    free_mb = sum(map(_get_unoccupied_memory, workers))
    return (
        reserved < _UNCROWDED_SHARE * cpu_millicores
        and memory_mb - free_mb <= _UNCROWDED_SHARE * memory_mb
    )


def _make_empty(demand: _demand.Demand, workers: list[Worker]) -> Headroom:
    """Return a headroom with the sizes of places, but none kept or found."""
    sizes = [one.entry.capacity.cpu_millicores for one in workers]
    median_size = statistics.median_low(sizes)
    largest = max(sizes)
    return Headroom(
        min(demand.place_millicores or median_size, largest),
        min(demand.piece_millicores or median_size, largest),
        kept_places=0,
        found_places=0,
        place_memory_mb=demand.place_memory_mb,
    )


def _get_kept_millicores(
    service: str,
    priority: int,
    demand: _demand.Demand,
    workers: list[Worker],
    state: SchedulerState,
) -> float:
    """Return the processors to keep for short tasks.

    A job is in time only if all tasks of a step start at once. A unit runs few
    steps at a time, so most of the work arrives in steps that exceed the mean
    and a deviation.
    """
    known_share = min(1.0, demand.count / _MIN_KNOWN_STEPS)
    known = demand.mean_millicores + _DEMAND_DEVIATIONS * math.sqrt(
        demand.variance
    )
    unknown = _get_unknown_share(service, priority, state) * sum(
        one.entry.capacity.cpu_millicores for one in workers
    )
    burst = known_share * demand.burst_millicores + (1 - known_share) * unknown
    return max(
        known, burst, _sum_short_demand(service, priority, workers, state)
    )


def _get_unknown_share(
    service: str, priority: int, state: SchedulerState
) -> float:
    """Return the share of processors to keep for demand not yet seen."""
    if not _demand.may_show(service, priority, state):
        return 0.0
    since_ms = max(state.uncrowded_ms.get(service, 0), state.ownership.taken_ms)
    observed_ms = state.now_ms - since_ms
    return _UNKNOWN_DEMAND_SHARE * math.exp(-observed_ms / _UNKNOWN_DECAY_MS)


def _sum_short_demand(
    service: str, priority: int, workers: list[Worker], state: SchedulerState
) -> int:
    """Return the processors that short tasks have reserved or wait for."""
    held = sum(
        attempt.step.reserved.cpu_millicores
        for one in workers
        for attempt in one.attempts.values()
        if attempt.priority <= priority and not attempt.step.long_running
    )
    waiting = 0
    for step_key, tasks in state.ready.items():
        job = state.jobs[step_key[0]]
        step = job.request.steps[step_key[2]]
        is_counted = not step.long_running and job.queue.priority <= priority
        if is_counted and job.queue.service == service:
            waiting += len(tasks) * step.size.cpu_millicores
    return held + waiting


def tick(context: Context) -> None:
    """Record when each service last had less than half of it reserved."""
    state = context.state
    if state.now_ms - state.uncrowded_checked_ms < _CHECK_INTERVAL_MS:
        return
    state.uncrowded_checked_ms = state.now_ms
    workers = _feasibility.list_available(state)
    services = {one.entry.service for one in workers}
    for service in services:
        own_workers = [one for one in workers if one.entry.service == service]
        if _is_uncrowded(own_workers):
            state.uncrowded_ms[service] = state.now_ms


def get_unoccupied(worker: Worker) -> int:
    """Return the processors that no long-running task reserves.

    Never negative: if the capacity of a worker was reduced below what is
    reserved, that doesn't count against other workers.
    """
    return max(
        0, worker.entry.capacity.cpu_millicores - _sum_long_running(worker)
    )


def _get_unoccupied_memory(worker: Worker) -> int:
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
        The size of a typical short task, and the minimum size of a free piece
        that counts; 0 if no headroom is kept.
    kept_places, found_places : int
        The number of short tasks to keep capacity for, and the number that fit
        next to the long-running tasks.
    is_scarce : bool
        Whether no new long-running task is started.
    place_memory_mb : int
        The memory of a typical short task.
    mean_millicores, deviation_millicores : int
        The mean and standard deviation of the demand of short tasks.
    long_running_millicores, short_millicores, free_millicores : int
        What long-running and other tasks have reserved on available workers,
        and what is free.
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
    """Return the division of the service with the most workers."""
    workers = _feasibility.list_available(state)
    services = collections.Counter(one.entry.service for one in workers)
    service = services.most_common(1)[0][0] if services else ''
    workers = [one for one in workers if one.entry.service == service]
    least_urgent = _demand.get_least_urgent(state)
    found = _measure(service, least_urgent, state) or Headroom(0, 0, 0, 0)
    capacity = sum(one.entry.capacity.cpu_millicores for one in workers)
    demand = _demand.estimate(service, least_urgent, capacity, state)
    long_running = sum(map(_sum_long_running, workers))
    reserved = sum(one.reserved.cpu_millicores for one in workers)
    return Division(
        **attrs.asdict(found),
        mean_millicores=round(demand.mean_millicores),
        deviation_millicores=round(math.sqrt(demand.variance)),
        long_running_millicores=long_running,
        short_millicores=reserved - long_running,
        free_millicores=sum(max(0, one.free.cpu_millicores) for one in workers),
    )
