"""Limits how many tasks of a long-running step are unavailable at once.

The request of a step says how many of its tasks may be unavailable at the same
time because the system ends their runs. Tasks that are unavailable for other
reasons use up the limit too, so every other task of the step counts that is not
known to be serving: it waits, starts, is stopping, has reported less than full
progress, or its worker has not responded. Tasks in other units count as
unavailable, as their state is unknown here and their owners end runs by the
same rule.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts, _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, AttemptState, Job, Worker
from tulippin.jobs.types import FINAL_STATES, TaskKey

_SERVING_PERCENT: t.Final = 100
# A worker with tasks is polled once a second, and a lost answer makes that
# 1.4 s. Users count a task as unavailable after 4.5 s, of which a stop in
# progress takes 0.9 s.
_MAX_REPORT_AGE_MS: t.Final = 1600
# Opportunistic tasks next to a missed target are paused within 1.8 s, a pace
# takes effect in 0.1 s, a tail recovers within 1.2 s and is read within 0.4 s.
# A worker that is unhealthy for longer without them is itself the cause.
_CONFIRMED_UNHEALTHY_MS: t.Final = 3500


def may_end_run(attempt: Attempt, context: Context) -> bool:
    """Whether ending a run keeps its step within its limit.

    Parameters
    ----------
    attempt : Attempt
        The run that would be ended for a reason outside its own job.
    context : Context
        Holds the other tasks of the step, and the worker.

    Returns
    -------
    bool
        False while as many other tasks are unavailable as the step allows.
        Always true for steps without a limit, for finished jobs, and on
        workers that are draining or known to be the cause of missed targets.
    """
    step = attempt.step
    found = _attempts.find_task(attempt.key, context)
    if not step.long_running or not step.max_unavailable or found is None:
        return True
    job = found[0]
    if job.is_cancelled or job.state in FINAL_STATES:
        return True
    worker = context.state.workers.get(attempt.worker_id)
    if worker is not None and _is_exempt(worker, context):
        return True
    return _count_unavailable(attempt, job, context) < step.max_unavailable


def _is_exempt(worker: Worker, context: Context) -> bool:
    """Whether tasks may be ended on a worker regardless of the limit.

    A worker is judged unhealthy from latency tails, which is wrong at times:
    the limit holds until other causes are ruled out.
    """
    if worker.entry.draining:
        return True
    now_ms = context.state.now_ms
    unhealthy_ms = now_ms - (worker.unhealthy_since_ms or now_ms)
    is_alone = all(one.pace_percent == 0 for one in worker.fillers.values())
    return is_alone and unhealthy_ms >= _CONFIRMED_UNHEALTHY_MS


def _count_unavailable(attempt: Attempt, job: Job, context: Context) -> int:
    """Return how many other tasks of a run's step may be unavailable."""
    others = attempt.step.task_count - 1
    if attempt.step.gang:
        # All members end together.
        return others
    return others - sum(
        _is_serving(job, attempt.key._replace(index=index), context)
        for index in range(attempt.step.task_count)
        if index != attempt.key.index
    )


def _is_serving(job: Job, key: TaskKey, context: Context) -> bool:
    """Whether a task is known to be serving in this unit."""
    task = job.tasks.get(key)
    if task is None or not _lifecycle.is_assigned_here(job, key):
        return False
    return any(_is_run_serving(one, context) for one in task.attempts.values())


def _is_run_serving(attempt: Attempt, context: Context) -> bool:
    """Whether a recent report shows a run with full progress."""
    worker = context.state.workers.get(attempt.worker_id)
    if worker is None or worker.failed_count:
        return False
    if attempt.state is not AttemptState.RUNNING:
        return False
    report_age_ms = context.state.now_ms - worker.answered_ms
    has_full_progress = attempt.progress_percent >= _SERVING_PERCENT
    return has_full_progress and report_age_ms <= _MAX_REPORT_AGE_MS
