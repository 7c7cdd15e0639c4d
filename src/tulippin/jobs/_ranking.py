"""In which order ready steps are looked at for placement.

A job earns most if it is completed within its objective, a little up to
three times that, and nothing later. Under overload, first come first
served would make all jobs late; so those that can still make it go first.
"""

from __future__ import annotations

import enum
import typing as t

from tulippin.jobs._ready import StepKey
from tulippin.jobs.state import Job, SchedulerState, Task
from tulippin.jobs.types import JobRequest

# Weight of a new run time in the mean of its queue.
_LEARN: t.Final = 0.05
# A job is worth something up to so many times its objective.
_LATE_LIMIT: t.Final = 3
# Long-running tasks of jobs that came within this are placed together.
_BATCH_MS: t.Final = 1000
# Stands for "as many as fit" where the least must come first.
_UNLIMITED: t.Final = 1_000_000


def learn_run_time(job: Job, run_ms: int, state: SchedulerState) -> None:
    """Take the time of a run that ended done into its queue's mean."""
    name = job.queue.name
    known_ms = state.run_times_ms.get(name, float(run_ms))
    state.run_times_ms[name] = known_ms + _LEARN * (run_ms - known_ms)


def get_run_ms(job: Job, state: SchedulerState) -> float:
    """Return how long a run of a job's tasks takes on the mean.

    Until one of the queue has ended the callers' guess stands for it: with no
    time at all every job would look late at once.
    """
    known_ms = state.run_times_ms.get(job.queue.name, 0.0)
    return known_ms or max(step.estimated_ms for step in job.request.steps)


def compute_depths(request: JobRequest) -> tuple[int, ...]:
    """Return for each step how many steps its longest chain still has."""
    depths = [1 for _ in request.steps]
    for number in reversed(range(len(request.steps))):
        for before in request.steps[number].after:
            depths[before] = max(depths[before], depths[number] + 1)
    return tuple(depths)


def sort_kinds(
    queue: dict[StepKey, dict[t.Any, Task]], state: SchedulerState
) -> list[StepKey]:
    """Return the keys of ready steps, the first to be placed first."""
    jobs = state.jobs
    demand = _sum_lasting(queue, state)
    return sorted(
        queue,
        key=lambda kind: _get_rank(jobs[kind[0]], kind, state, demand),
    )


def _sum_lasting(
    queue: dict[StepKey, dict[t.Any, Task]], state: SchedulerState
) -> dict[str, int]:
    """Return the millicores that long-running tasks wait for, by image."""
    demand: dict[str, int] = {}
    for kind, tasks in queue.items():
        step = state.jobs[kind[0]].request.steps[kind[2]]
        if step.long_running:
            asked = step.size.cpu_millicores * len(tasks)
            demand[step.image] = demand.get(step.image, 0) + asked
    return demand


class Hope(enum.IntEnum):
    """How late a job must be at best."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class _Rank(t.NamedTuple):
    """Compared field by field, in this order; the least goes first."""

    priority: int
    is_lasting: bool
    hope: Hope
    due_ms: float
    largest_first: tuple[int, str, int, int]
    kind: StepKey


def _get_rank(
    job: Job, kind: StepKey, state: SchedulerState, demand: dict[str, int]
) -> _Rank:
    """Order steps: the urgent, the short, the hopeful, the earliest due.

    Long-running tasks that came together are placed image by image, so
    that few workers serve several; of one image first those that must be
    spread, then the largest, which leaves the least room in pieces too
    small for anything.
    """
    step = job.request.steps[kind[2]]
    if step.long_running:
        batch = job.known_ms // _BATCH_MS
        order = (
            -demand[step.image],
            step.image,
            step.max_per_worker or _UNLIMITED,
            -step.size.cpu_millicores,
        )
        return _Rank(job.queue.priority, True, Hope.IN_TIME, batch, order, kind)
    hope, due_ms = _judge(job, kind, state)
    none = (0, '', 0, 0)
    return _Rank(job.queue.priority, False, hope, due_ms, none, kind)


def get_hope(job: Job, kind: StepKey, state: SchedulerState) -> Hope:
    """Return how late a job must be at best."""
    return _judge(job, kind, state)[0]


def _judge(
    job: Job, kind: StepKey, state: SchedulerState
) -> tuple[Hope, float]:
    """Return how late the job must be at best, and when it is due."""
    mean_ms = get_run_ms(job, state)
    total_ms = max(job.depths, default=1) * mean_ms
    objective_ms = job.queue.stretch * total_ms + job.queue.target_latency_ms
    begun_ms = _get_begin_ms(job, kind, state)
    due_ms = begun_ms + objective_ms
    at_best_ms = state.now_ms + job.depths[kind[2]] * mean_ms
    if at_best_ms <= due_ms:
        return Hope.IN_TIME, due_ms
    if at_best_ms <= begun_ms + _LATE_LIMIT * objective_ms:
        return Hope.LATE, due_ms
    return Hope.WORTHLESS, due_ms


def _get_begin_ms(job: Job, kind: StepKey, state: SchedulerState) -> int:
    """Return when the time of a step's work began to count.

    Each time of a scheduled job counts from when it is due: from when the
    job was accepted, it would be late before its turn.
    """
    schedule = job.request.schedule
    if not schedule.count:
        return job.arrived_ms
    due_ms = schedule.first_at_ms + kind[1] * schedule.interval_ms
    return max(job.arrived_ms, due_ms - state.wall_offset_ms)
