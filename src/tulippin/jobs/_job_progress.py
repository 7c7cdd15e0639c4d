"""Tracks when a run of each job was last known to work.

A run that pauses, has had no answer to its start or is on a silent worker does
not work: if it counted as one that does, it could keep its job from progress
for as long as it exists.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
)

# Time after which a start without an answer counts as lost. Workers usually
# answer within 10 ms.
_MAX_START_AGE_MS: t.Final = 500


def note(state: SchedulerState) -> None:
    """Record which jobs have a run that works."""
    for worker in state.workers.values():
        for attempt in worker.attempts.values():
            job = state.jobs.get(attempt.key.job_id)
            if job is not None and _is_working(attempt, state):
                job.worked_ms = state.now_ms


def get_idle_ms(job: Job, task: Task, state: SchedulerState) -> int:
    """Return for how long the job of a ready task has made no progress.

    For a long-running task it is the wait of the task itself: users miss each
    one, whatever else of the job runs. A start that may still be answered ends
    no wait, but suspends it.
    """
    if job.request.steps[task.key.step].long_running:
        return state.now_ms - task.ready_ms
    is_busy = any(
        _is_working(one, state) or _is_starting(one, state)
        for one in iter_runs(job)
    )
    if is_busy:
        return 0
    return state.now_ms - max(job.worked_ms, task.opened_ms)


def iter_runs(job: Job) -> t.Iterator[Attempt]:
    """Yield all runs of a job, started or ordered."""
    for task in job.tasks.values():
        yield from task.attempts.values()


def _is_working(attempt: Attempt, state: SchedulerState) -> bool:
    if attempt.state is not AttemptState.RUNNING:
        return False
    worker = state.workers.get(attempt.worker_id)
    is_answering = worker is not None and not worker.failed_count
    return is_answering and attempt.target_pace_percent > 0


def _is_starting(attempt: Attempt, state: SchedulerState) -> bool:
    age_ms = state.now_ms - attempt.sent_ms
    is_starting = attempt.state is AttemptState.STARTING
    return is_starting and age_ms < _MAX_START_AGE_MS
