"""How many tasks of a lasting step may be away by our doing.

The users say for a step how many of its tasks may be away at once where
the system ends those that work. A task that is away for another reason
uses the bound up too, so every other task of the step that is not known to
be at work is counted: it waits, starts, is being stopped, told of less
than all of its work, or its worker was not heard. Tasks in other units
count as away, as nothing here tells of them and their owners move some by
the same rule.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts, _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, AttemptState, Job, Worker
from tulippin.jobs.types import FINAL_STATES, TaskKey

_AT_WORK_PERCENT: t.Final = 100
# A worker with tasks is read once a second, and an answer that is lost
# makes that 1.4 s. Users count a task as away after 4.5 s, of which a stop
# on its way takes 0.9 s.
_HEARD_MS: t.Final = 1600
# What works beside a missed target rests after 1.8 s, a pace takes 0.1 s,
# a tail is back after 1.2 s and read within 0.4 s: a worker that is unwell
# for longer, with nothing that works beside, is so by itself.
_SURELY_UNWELL_MS: t.Final = 3500


def may_end(attempt: Attempt, context: Context) -> bool:
    """Whether ending a run that works keeps its step within its bound.

    Parameters
    ----------
    attempt : Attempt
        The run that would be ended for another reason than its own job.
    context : Context
        Holds the step's other tasks, and the worker.

    Returns
    -------
    bool
        False while as many others are away as the step allows. Steps
        without a bound, jobs that are over, and workers that leave or are
        surely at fault make it true.
    """
    step = attempt.step
    found = _attempts.find_task(attempt.key, context)
    if not step.long_running or not step.max_unavailable or found is None:
        return True
    job = found[0]
    if job.is_cancelled or job.state in FINAL_STATES:
        return True
    worker = context.state.workers.get(attempt.worker_id)
    if worker is not None and _is_free_to_leave(worker, context):
        return True
    return _count_away(attempt, job, context) < step.max_unavailable


def _is_free_to_leave(worker: Worker, context: Context) -> bool:
    """Whether no bound keeps tasks there.

    That a worker is unwell is made out from tails, and wrong at times: the
    bound holds until nothing else can be the cause of them.
    """
    if worker.entry.draining:
        return True
    now_ms = context.state.now_ms
    lasted_ms = now_ms - (worker.unwell_since_ms or now_ms)
    is_alone = all(one.pace_percent == 0 for one in worker.fillers.values())
    return is_alone and lasted_ms >= _SURELY_UNWELL_MS


def _count_away(attempt: Attempt, job: Job, context: Context) -> int:
    """Return how many other tasks of a run's step may be away."""
    others = attempt.step.task_count - 1
    if attempt.step.gang:
        # They end with it.
        return others
    return others - sum(
        _is_at_work(job, attempt.key._replace(index=index), context)
        for index in range(attempt.step.task_count)
        if index != attempt.key.index
    )


def _is_at_work(job: Job, key: TaskKey, context: Context) -> bool:
    """Whether a task is known to be at work in this unit."""
    task = job.tasks.get(key)
    if task is None or not _lifecycle.is_here(job, key):
        return False
    return any(_serves(one, context) for one in task.attempts.values())


def _serves(attempt: Attempt, context: Context) -> bool:
    """Whether a run is at work by a report that is young enough."""
    worker = context.state.workers.get(attempt.worker_id)
    if worker is None or worker.failed_count:
        return False
    if attempt.state is not AttemptState.RUNNING:
        return False
    heard_ago_ms = context.state.now_ms - worker.answered_ms
    is_whole = attempt.progress_percent >= _AT_WORK_PERCENT
    return is_whole and heard_ago_ms <= _HEARD_MS
