"""Logs what holds back the opportunistic job that has waited longest.

The lines of ``_wait_diagnostics`` count refusals by image. A job that stands
still beside jobs that go on is not explained by them.
"""

from __future__ import annotations

import collections
import itertools
import typing as t

from tulippin.jobs import (
    _crashes,
    _job_progress,
    _slow_start,
    _unconfirmed_runs,
    _wait_reasons,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, Job, SchedulerState, Task

_MIN_LOGGED_MS: t.Final = 2000
_MAX_LOGGED_RUNS: t.Final = 4


def log_longest(context: Context) -> None:
    """Log the job that has had no run that works for the longest time."""
    state = context.state
    found = _find_longest(state)
    if found is None:
        return
    stalled_ms, job, task = found
    step = job.request.steps[task.key.step]
    runs = itertools.islice(_job_progress.iter_runs(job), _MAX_LOGGED_RUNS)
    context.log(
        'job stalled',
        task=task.key.format(),
        stalled_ms=stalled_ms,
        waiting_tasks=_count_waiting(job, state),
        awaits_workers=_unconfirmed_runs.must_await_workers(job, step),
        may_start=_crashes.may_start(job, task, state),
        runs=[_describe_run(one, state) for one in runs],
        slow_start=_count_slow_start_refusals(job, task, state),
        refused=_wait_reasons.count(job, step, task, state),
    )


def _find_longest(state: SchedulerState) -> tuple[int, Job, Task] | None:
    """Return the longest stalled job with a waiting task, if any is logged."""
    longest = None
    for step_key, tasks in state.ready_opportunistic.items():
        job = state.jobs[step_key[0]]
        task = next(iter(tasks.values()))
        stalled_ms = _job_progress.get_idle_ms(job, task, state)
        if stalled_ms < _MIN_LOGGED_MS:
            continue
        if longest is None or stalled_ms > longest[0]:
            longest = stalled_ms, job, task
    return longest


def _count_waiting(job: Job, state: SchedulerState) -> int:
    return sum(
        len(tasks)
        for step_key, tasks in state.ready_opportunistic.items()
        if step_key[0] == job.job_id
    )


def _describe_run(attempt: Attempt, state: SchedulerState) -> dict[str, t.Any]:
    worker = state.workers.get(attempt.worker_id)
    missed_since_ms = worker.targets_missed_since_ms if worker else 0
    return {
        'task': attempt.key.format(),
        'worker': attempt.worker_id,
        'state': attempt.state.value,
        'age_ms': state.now_ms - attempt.sent_ms,
        'pace_percent': attempt.target_pace_percent,
        'progress_percent': attempt.progress_percent,
        'is_silent': worker is None or worker.failed_count > 0,
        'target_missed_ms': missed_since_ms and state.now_ms - missed_since_ms,
    }


def _count_slow_start_refusals(
    job: Job, task: Task, state: SchedulerState
) -> dict[str, int]:
    """Return the number of workers by why they take no slow start."""
    step = job.request.steps[task.key.step]
    reasons: collections.Counter[str] = collections.Counter()
    for worker in state.workers.values():
        refusal = _slow_start.find_refusal(worker, job, task, step, state)
        reasons[refusal.value if refusal else 'takes_it'] += 1
    return dict(reasons)
