"""Orders ready steps for placement.

A job has full value if it is completed within its objective, little up to
three times that, and none later. Under overload, first come first served would
make all jobs late, so jobs that can still meet their objective go first.
"""

from __future__ import annotations

import enum
import typing as t

from tulippin.jobs import _forecasting, _run_times
from tulippin.jobs._ready_queues import StepKey, get_step_key
from tulippin.jobs.state import Job, SchedulerState, Task

# Time after which the expected times of a job's steps are computed again.
_CHAINS_VALID_MS: t.Final = 2000
# A job has no value after this multiple of its objective.
_MAX_OBJECTIVE_MULTIPLE: t.Final = 3
# Long-running tasks of jobs that arrived in the same window are placed
# together.
_BATCH_WINDOW_MS: t.Final = 1000
# Sorts steps without a limit of tasks per worker last.
_UNLIMITED_TASKS_PER_WORKER: t.Final = 1_000_000


def sort_steps(
    queue: dict[StepKey, dict[t.Any, Task]], state: SchedulerState
) -> list[StepKey]:
    """Return the keys of ready steps in the order of their placement."""
    jobs = state.jobs
    demand = _sum_long_running_demand(queue, state)
    return sorted(
        queue,
        key=lambda step_key: _make_rank(
            jobs[step_key[0]], step_key, state, demand
        ),
    )


def _sum_long_running_demand(
    queue: dict[StepKey, dict[t.Any, Task]], state: SchedulerState
) -> dict[str, int]:
    """Return the waiting long-running demand in millicores, by image."""
    demand: dict[str, int] = {}
    for step_key, tasks in queue.items():
        step = state.jobs[step_key[0]].request.steps[step_key[2]]
        if step.long_running:
            demanded = step.size.cpu_millicores * len(tasks)
            demand[step.image] = demand.get(step.image, 0) + demanded
    return demand


class Lateness(enum.IntEnum):
    """The best outcome that a job can still reach."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class _Rank(t.NamedTuple):
    """A sort key of a ready step; the lowest is placed first."""

    priority: int
    is_long_running: bool
    lateness: Lateness
    due_ms: float
    long_running_order: tuple[int, str, int, int]
    step_key: StepKey


def _make_rank(
    job: Job, step_key: StepKey, state: SchedulerState, demand: dict[str, int]
) -> _Rank:
    """Return the sort key of a step.

    Steps are ordered by priority, short before long-running, by the lateness
    that their job can still reach, and by due time.

    Long-running tasks that arrived together are placed image by image, so that
    few workers serve several images. Within an image, steps with the lowest
    limit per worker come first, then the largest tasks, which leaves the least
    capacity in fragments too small to use.
    """
    step = job.request.steps[step_key[2]]
    if step.long_running:
        batch = job.first_seen_ms // _BATCH_WINDOW_MS
        order = (
            -demand[step.image],
            step.image,
            step.max_per_worker or _UNLIMITED_TASKS_PER_WORKER,
            -step.size.cpu_millicores,
        )
        return _Rank(
            job.queue.priority, True, Lateness.IN_TIME, batch, order, step_key
        )
    lateness, due_ms = _estimate_lateness(job, step_key, state)
    no_order = (0, '', 0, 0)
    return _Rank(
        job.queue.priority, False, lateness, due_ms, no_order, step_key
    )


def get_lateness(
    job: Job, step_key: StepKey, state: SchedulerState
) -> Lateness:
    """Return the best outcome that a job can still reach."""
    return _estimate_lateness(job, step_key, state)[0]


def describe(job: Job, task: Task, state: SchedulerState) -> dict[str, t.Any]:
    """Return log fields on what ranks a task that is started.

    Long-running tasks are not ranked by time and have only ``ready_for_ms``,
    the time since the task could have been started.
    """
    fields: dict[str, t.Any] = {'ready_for_ms': state.now_ms - task.ready_ms}
    if not job.request.steps[task.key.step].long_running:
        lateness, due_ms = _estimate_lateness(
            job, get_step_key(task.key), state
        )
        fields['lateness'] = lateness.name.lower()
        fields['due_in_ms'] = round(due_ms - state.now_ms)
    return fields


def _estimate_lateness(
    job: Job, step_key: StepKey, state: SchedulerState
) -> tuple[Lateness, float]:
    """Return the best outcome that a job can still reach, and its due time."""
    total_ms, left_ms = _estimate_times(job, step_key, state)
    objective_ms = job.queue.stretch * total_ms + job.queue.target_latency_ms
    reference_ms = _get_reference_ms(job, step_key, state)
    due_ms = reference_ms + objective_ms
    earliest_end_ms = state.now_ms + left_ms
    if earliest_end_ms <= due_ms:
        return Lateness.IN_TIME, due_ms
    if earliest_end_ms <= reference_ms + _MAX_OBJECTIVE_MULTIPLE * objective_ms:
        return Lateness.LATE, due_ms
    return Lateness.WORTHLESS, due_ms


def _estimate_times(
    job: Job, step_key: StepKey, state: SchedulerState
) -> tuple[float, float]:
    """Return the longest chain of a job, and the time left from a step on."""
    if state.config.features.orders_by_progress:
        forecast = _forecasting.get_forecast(job, step_key[1], state)
        return forecast.total_ms, forecast.left_ms[step_key[2]]
    chains_ms = _get_chains_ms(job, state)
    return max(chains_ms), chains_ms[step_key[2]]


def _get_chains_ms(job: Job, state: SchedulerState) -> tuple[float, ...]:
    """Return for each step the expected time of the longest chain from it."""
    age_ms = state.now_ms - job.chains_computed_ms
    if not job.chains_ms or age_ms >= _CHAINS_VALID_MS:
        job.chains_ms = _run_times.predict_chains_ms(job, state)
        job.chains_computed_ms = state.now_ms
    return job.chains_ms


def _get_reference_ms(
    job: Job, step_key: StepKey, state: SchedulerState
) -> int:
    """Return the time from which a step's latency counts.

    An occurrence of a scheduled job counts from its scheduled time: counted
    from the acceptance of the job, it would be late before its turn.
    """
    schedule = job.request.schedule
    if not schedule.count:
        return job.arrived_ms
    due_ms = schedule.first_at_ms + step_key[1] * schedule.interval_ms
    return max(job.arrived_ms, due_ms - state.wall_offset_ms)
