"""Orders ready steps for placement.

A job has full value if it is completed within its objective, little up to
three times that, and none later. Under overload, first come first served would
make all jobs late, so jobs that can still meet their objective go first. Of
these, with ``orders_by_progress``, jobs that have begun precede the others, as
a job that is never completed is worth nothing.
"""

from __future__ import annotations

import enum
import typing as t

from tulippin.jobs import _forecasting, _run_times
from tulippin.jobs._ready_queues import StepKey, get_step_key
from tulippin.jobs.job_values import MAX_OBJECTIVE_MULTIPLE
from tulippin.jobs.state import Attempt, Job, SchedulerState, Task
from tulippin.jobs.types import Step

# Time after which the expected times of a job's steps are computed again.
_CHAINS_VALID_MS: t.Final = 2000
# Long-running tasks of jobs that arrived in the same window are placed
# together.
_BATCH_WINDOW_MS: t.Final = 1000
# Sorts steps without a limit of tasks per worker last.
_UNLIMITED_TASKS_PER_WORKER: t.Final = 1_000_000
# Jobs that are due within the same window are ordered by their value.
_DUE_WINDOW_MS: t.Final = 250
# Order of short steps within a batch of long-running ones: not used.
_NO_ORDER: t.Final = (0, '', 0, 0)


def sort_steps(
    queue: dict[StepKey, dict[t.Any, Task]], state: SchedulerState
) -> list[StepKey]:
    """Return the keys of ready steps in the order of their placement."""
    jobs = state.jobs
    demand = _sum_long_running_demand(queue, state)
    make_rank = (
        _make_progress_rank
        if state.config.features.orders_by_progress
        else _make_rank
    )
    return sorted(
        queue,
        key=lambda step_key: make_rank(
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


class _Outlook(t.NamedTuple):
    """The outcome that a job can still reach, and until when.

    ``due_ms`` is when its objective ends, ``worthless_ms`` when its value does.
    """

    lateness: Lateness
    due_ms: float
    worthless_ms: float


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
        order = _get_long_running_order(step, demand)
        return _Rank(
            job.queue.priority, True, Lateness.IN_TIME, batch, order, step_key
        )
    outlook = _estimate_lateness(job, step_key, state)
    return _Rank(
        job.queue.priority,
        False,
        outlook.lateness,
        outlook.due_ms,
        _NO_ORDER,
        step_key,
    )


def _get_long_running_order(
    step: Step, demand: dict[str, int]
) -> tuple[int, str, int, int]:
    """Return the sort key of a long-running step within its batch."""
    return (
        -demand[step.image],
        step.image,
        step.max_per_worker or _UNLIMITED_TASKS_PER_WORKER,
        -step.size.cpu_millicores,
    )


class _ProgressRank(t.NamedTuple):
    """A sort key of a ready step by its job's progress.

    Work of no value comes after all other work, whatever its priority.
    """

    is_worthless: bool
    priority: int
    is_long_running: bool
    lateness: Lateness
    is_new: bool
    due_window: int
    value_density: float
    long_running_order: tuple[int, str, int, int]
    step_key: StepKey


def _make_progress_rank(
    job: Job, step_key: StepKey, state: SchedulerState, demand: dict[str, int]
) -> _ProgressRank:
    """Return the sort key of a step by its job's progress.

    Short steps are ordered by the lateness that their job can still reach. Of
    jobs that can be in time, those that have begun come first. Then the time
    counts at which that outcome is lost, and at last the value for each unit of
    the work that is left.
    """
    step = job.request.steps[step_key[2]]
    priority = job.queue.priority
    if step.long_running:
        batch = job.first_seen_ms // _BATCH_WINDOW_MS
        order = _get_long_running_order(step, demand)
        return _ProgressRank(
            False,
            priority,
            True,
            Lateness.IN_TIME,
            False,
            batch,
            0.0,
            order,
            step_key,
        )
    lateness, due_ms, worthless_ms = _estimate_lateness(job, step_key, state)
    forecast = _forecasting.get_forecast(job, step_key[1], state)
    limit_ms = worthless_ms if lateness is Lateness.LATE else due_ms
    return _ProgressRank(
        lateness is Lateness.WORTHLESS,
        priority,
        False,
        lateness,
        lateness is Lateness.IN_TIME and not has_begun(job),
        int(limit_ms // _DUE_WINDOW_MS),
        -forecast.value_density,
        _NO_ORDER,
        step_key,
    )


def has_begun(job: Job) -> bool:
    """Whether a job has begun, by more than a slow start of this owner."""
    return job.has_full_run or job.is_resumed


def get_lateness(
    job: Job, step_key: StepKey, state: SchedulerState
) -> Lateness:
    """Return the best outcome that a job can still reach."""
    return _estimate_lateness(job, step_key, state).lateness


def is_worthless(job: Job, step_key: StepKey, state: SchedulerState) -> bool:
    """Whether a job can earn nothing any more, and yields to all others.

    With ``orders_by_progress`` off no job yields.
    """
    if not state.config.features.orders_by_progress:
        return False
    if job.request.steps[step_key[2]].long_running:
        return False
    return get_lateness(job, step_key, state) is Lateness.WORTHLESS


def is_worthless_run(attempt: Attempt, state: SchedulerState) -> bool:
    """Whether the job of a run can earn nothing any more."""
    job = state.jobs.get(attempt.key.job_id)
    return job is not None and is_worthless(
        job, get_step_key(attempt.key), state
    )


def describe(
    job: Job, task: Task, state: SchedulerState, attempt: Attempt
) -> dict[str, t.Any]:
    """Return log fields on what ranks a task that is started.

    Long-running tasks are not ranked by time and have only ``ready_for_ms``,
    the time since the task could have been started.
    """
    fields: dict[str, t.Any] = {'ready_for_ms': state.now_ms - task.ready_ms}
    if not job.request.steps[task.key.step].long_running:
        outlook = _estimate_lateness(job, get_step_key(task.key), state)
        fields['lateness'] = outlook.lateness.name.lower()
        fields['due_in_ms'] = round(outlook.due_ms - state.now_ms)
        if state.config.features.orders_by_progress:
            fields['has_begun'] = attempt.had_begun
        if attempt.copy_of:
            fields['copy_of'] = attempt.copy_of
    return fields


def get_spare_ms(job: Job, step_key: StepKey, state: SchedulerState) -> float:
    """Return the time until a job is due, less that of the steps that follow.

    Negative if the steps that follow are expected to end after the objective.
    """
    job_id, occurrence, number = step_key
    following_ms = max(
        (
            _estimate_times(job, (job_id, occurrence, index), state)[1]
            for index, step in enumerate(job.request.steps)
            if number in step.after
        ),
        default=0.0,
    )
    due_ms = _estimate_lateness(job, step_key, state).due_ms
    return due_ms - state.now_ms - following_ms


def count_start(job: Job, attempt: Attempt, state: SchedulerState) -> None:
    """Count the start of a short run by the lateness of its job."""
    if not attempt.step.long_running:
        lateness = get_lateness(job, get_step_key(attempt.key), state)
        state.count(f'starts_{lateness.name.lower()}')


def _estimate_lateness(
    job: Job, step_key: StepKey, state: SchedulerState
) -> _Outlook:
    """Return the best outcome that a job can still reach, and until when."""
    total_ms, left_ms, upper_left_ms = _estimate_times(job, step_key, state)
    objective_ms = job.queue.stretch * total_ms + job.queue.target_latency_ms
    reference_ms = _get_reference_ms(job, step_key, state)
    due_ms = reference_ms + objective_ms
    worthless_ms = reference_ms + MAX_OBJECTIVE_MULTIPLE * objective_ms
    if state.now_ms + upper_left_ms <= due_ms:
        return _Outlook(Lateness.IN_TIME, due_ms, worthless_ms)
    if state.now_ms + left_ms <= worthless_ms:
        return _Outlook(Lateness.LATE, due_ms, worthless_ms)
    return _Outlook(Lateness.WORTHLESS, due_ms, worthless_ms)


def _estimate_times(
    job: Job, step_key: StepKey, state: SchedulerState
) -> tuple[float, float, float]:
    """Return the longest chain of a job, and the time left from a step on.

    The time left is returned as expected and at an upper quantile. A job counts
    as in time only if the latter suffices: under overload, processors spent on
    jobs that are late by a little are lost to others. With the expected time, a
    load of 1.4 times the capacity yields 0.625 of the possible value, with the
    quantile 0.694.
    """
    if state.config.features.orders_by_progress:
        forecast = _forecasting.get_forecast(job, step_key[1], state)
        number = step_key[2]
        return (
            forecast.total_ms,
            forecast.left_ms[number],
            forecast.upper_left_ms[number],
        )
    chains_ms = _get_chains_ms(job, state)
    left_ms = chains_ms[step_key[2]]
    return max(chains_ms), left_ms, left_ms


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
