"""Tracks when a run of each waiting job was last known to work."""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Attempt, AttemptState, Job, SchedulerState

# Time after which an order to start without an answer counts as lost. Workers
# usually answer within 10 ms.
_MAX_START_AGE_MS: t.Final = 500


def note(state: SchedulerState) -> None:
    """Record which jobs with waiting opportunistic tasks make progress."""
    for step_key in state.ready_opportunistic:
        job = state.jobs[step_key[0]]
        if has_working_run(job, state):
            job.worked_ms = state.now_ms


def has_working_run(job: Job, state: SchedulerState) -> bool:
    """Whether a run of a job works, or was just ordered to start."""
    return any(
        is_working(attempt, state)
        for task in job.tasks.values()
        for attempt in task.attempts.values()
    )


def is_working(attempt: Attempt, state: SchedulerState) -> bool:
    """Whether a run works, as far as is known.

    It does not if it pauses, is to stop, has had no answer to its start, or is
    on a worker that does not answer.
    """
    if attempt.state is AttemptState.STARTING:
        return state.now_ms - attempt.sent_ms < _MAX_START_AGE_MS
    if attempt.state is not AttemptState.RUNNING:
        return False
    worker = state.workers.get(attempt.worker_id)
    is_answering = worker is not None and not worker.failed_count
    return is_answering and attempt.target_pace_percent > 0
