"""Forecasts of jobs from what is known of their runs so far.

The objective of a job is a multiple of its longest chain of actual run times.
Predicted before any run, it would be too short for a job one of whose tasks
runs on for several times the usual time: the job would count as late, and its
other tasks would wait behind those of all jobs that count as in time.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _occurrences, _run_times, job_values
from tulippin.jobs.job_forecast import JobForecast, compute_chains_ms
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
)

# Time after which a forecast is computed again. The end of a run of the job
# ends it earlier.
_VALID_MS: t.Final = 500
_PERCENT: t.Final = 100
# Weight of a new job in the mean work of its queue.
_WORK_WEIGHT: t.Final = 0.02


def get_forecast(
    job: Job, occurrence: int, state: SchedulerState
) -> JobForecast:
    """Return what is expected of an occurrence of a job."""
    known = job.forecasts.get(occurrence)
    if known is None or state.now_ms - known.computed_ms >= _VALID_MS:
        known = _compute(job, occurrence, state)
        job.forecasts[occurrence] = known
    return known


def invalidate(job: Job) -> None:
    """Have the forecasts of a job computed again at their next use."""
    job.forecasts.clear()


def note_held(attempt: Attempt, now_ms: int) -> None:
    """Add the time that a run has lost to its pace since the last report."""
    since_ms = max(attempt.sent_ms, attempt.held_until_ms)
    attempt.held_until_ms = now_ms
    pace_percent = attempt.pace_percent
    if pace_percent is None:
        # Not confirmed yet: an earlier owner may have set any pace.
        pace_percent = attempt.target_pace_percent
    lost_ms = (now_ms - since_ms) * (_PERCENT - pace_percent) / _PERCENT
    attempt.held_ms += max(0.0, lost_ms)


def get_worked_ms(attempt: Attempt, now_ms: int) -> float:
    """Return how long a run has worked, as a time at full pace.

    It is 0 until the run has been reported: its start may have failed.
    """
    if not attempt.seen_ms:
        return 0.0
    return max(0.0, now_ms - attempt.sent_ms - attempt.held_ms)


def note_done(
    job: Job, attempt: Attempt, state: SchedulerState, read_delay_ms: int = 0
) -> None:
    """Record the actual time of a run that ended before its end was read."""
    invalidate(job)
    if not state.config.features.orders_by_progress:
        return
    step = attempt.step
    ended_ms = state.now_ms - read_delay_ms
    note_held(attempt, ended_ms)
    worked_ms = max(0.0, ended_ms - attempt.sent_ms - attempt.held_ms)
    if _is_whole(job, attempt):
        if not attempt.is_slow_start:
            _run_times.learn_ratio(job, step, worked_ms, state)
    else:
        # The run before it, or its part before the takeover, is not known.
        usual_ms = _run_times.predict(job, step, state).usual_ms
        worked_ms = max(worked_ms, usual_ms)
    key = attempt.key.occurrence, attempt.key.step
    job.longest_runs_ms[key] = max(worked_ms, job.longest_runs_ms.get(key, 0.0))


def _is_whole(job: Job, attempt: Attempt) -> bool:
    """Whether a run did all the work of its task under this owner."""
    is_adopted = not attempt.start_deadline_ms
    is_resumed = attempt.step.checkpointing and (
        job.tasks[attempt.key].run_count > 1
    )
    return not (is_adopted or is_resumed)


def _compute(job: Job, occurrence: int, state: SchedulerState) -> JobForecast:
    steps = job.request.steps
    times = [_run_times.predict(job, step, state) for step in steps]
    running_ms = _get_running_ms(job, occurrence, state)
    own_ms: list[float] = []
    left_ms: list[float] = []
    upper_left_ms: list[float] = []
    for index, one in enumerate(times):
        longest_ms = job.longest_runs_ms.get((occurrence, index), 0.0)
        worked_ms = running_ms.get(index, 0.0)
        total_ms = one.get_total_ms(worked_ms)
        # Other tasks of a step that waits may run on for longer.
        left_ms.append(max(one.usual_ms, total_ms - worked_ms))
        upper_left_ms.append(max(one.upper_ms, total_ms - worked_ms))
        if longest_ms and not _occurrences.count_remaining(
            job, occurrence, index
        ):
            own_ms.append(longest_ms)
        else:
            own_ms.append(max(longest_ms, total_ms))
    upper_ms = [one.upper_ms for one in times]
    return JobForecast(
        state.now_ms,
        max(compute_chains_ms(steps, own_ms)),
        compute_chains_ms(steps, own_ms, left_ms),
        compute_chains_ms(steps, upper_ms, upper_left_ms),
        _get_value_density(job, occurrence, times, state),
    )


def _get_value_density(
    job: Job,
    occurrence: int,
    times: t.Sequence[_run_times.RunTimes],
    state: SchedulerState,
) -> float:
    """Return the value of a job for each millicore-millisecond left of it."""
    left = 0.0
    work = 0.0
    for index, step in enumerate(job.request.steps):
        task_work = max(1, step.size.cpu_millicores) * times[index].usual_ms
        work += step.task_count * task_work
        left += _occurrences.count_remaining(job, occurrence, index) * task_work
    mean = _note_work(job, work, state)
    value = job_values.compute_value(job.work / mean if mean else 1.0)
    return value / max(1.0, left)


def _note_work(job: Job, work: float, state: SchedulerState) -> float:
    """Include a job in the mean work of its queue, once; return the mean."""
    name = job.queue.name
    mean = state.mean_job_work.get(name, work)
    if not job.work:
        job.work = work
        mean += _WORK_WEIGHT * (work - mean)
        state.mean_job_work[name] = mean
    return mean


def _get_running_ms(
    job: Job, occurrence: int, state: SchedulerState
) -> dict[int, float]:
    """Return for each step how long its longest present run has worked."""
    running_ms: dict[int, float] = {}
    for key, task in job.tasks.items():
        if not task.attempts or key.occurrence != occurrence:
            continue
        for attempt in task.attempts.values():
            if attempt.state is AttemptState.RUNNING:
                worked_ms = get_worked_ms(attempt, state.now_ms)
                if worked_ms > running_ms.get(key.step, 0.0):
                    running_ms[key.step] = worked_ms
    return running_ms
