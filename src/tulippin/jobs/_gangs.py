"""Places gangs, whose tasks are started together or not at all."""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _preempting,
    _ready_queues,
    _start_window,
    _starting,
    _worker_selection,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, Job, SchedulerState, Task
from tulippin.jobs.types import Step


def place(job: Job, step: Step, tasks: list[Task], context: Context) -> int:
    """Start all tasks of a gang under one run number, or none of them.

    Returns
    -------
    int
        The number of runs started.
    """
    if len(tasks) < step.task_count:
        # Members of the previous run have not ended yet.
        return 0
    for labels in _iter_racks(step, context.state):
        attempts = _reserve(job, step, tasks, labels, context)
        for attempt in attempts:
            _starting.send(attempt, job, context)
        if attempts:
            return len(attempts)
    if _start_window.awaits_answers(step, context.state):
        context.state.is_placing_due = True
        return 0
    for task in tasks:
        if _worker_selection.choose(job, task, step, context.state) is None:
            _preempting.preempt_for(job, task, context)
    return 0


def _iter_racks(step: Step, state: SchedulerState) -> t.Iterator[str]:
    """Yield the racks to try, then an empty text for any rack."""
    if step.same_rack:
        racks = {worker.entry.rack for worker in state.workers.values()}
        yield from sorted(racks - {''})
    yield ''


def _reserve(
    job: Job, step: Step, tasks: list[Task], rack: str, context: Context
) -> list[Attempt]:
    """Reserve a worker for each member, or none if one member fits nowhere.

    Returns the new runs, empty if nothing was reserved.
    """
    state = context.state
    run_counts = [task.run_count for task in tasks]
    checkpoint = max(task.checkpoint for task in tasks)
    added: list[Attempt] = []
    for task in tasks:
        worker = _worker_selection.choose(job, task, step, state, rack)
        if worker is None:
            for attempt in added:
                _attempts.drop_attempt(attempt, context)
                _ready_queues.add(job.tasks[attempt.key], step, state)
            # No run was sent, so the next try may use the same run number.
            for member, count in zip(tasks, run_counts, strict=True):
                member.run_count = count
            return []
        task.run_count = max(run_counts) + 1
        task.checkpoint = checkpoint
        added.append(_starting.add_run(job, step, task, worker, context))
    return added
