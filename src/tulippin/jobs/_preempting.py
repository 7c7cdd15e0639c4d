"""Making room for urgent tasks by stopping less urgent ones."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import Step

# How long a task that had others stopped waits before it has more
# stopped: a stop takes up to 900 ms, and its end is read soon after.
_AGAIN_MS: t.Final = 1300
# The most stops decided in one go.
_STOPS_PER_PASS: t.Final = 12


def make_room(
    job: Job,
    task: Task,
    is_open: t.Callable[[Worker], bool],
    context: Context,
) -> int:
    """Stop less urgent runs where that lets a task in.

    Parameters
    ----------
    job, task : Job, Task
        The urgent task that fits nowhere.
    is_open : callable
        Tells whether a worker could take the task, but for its room.
    context : Context
        Takes the orders to stop.

    Returns
    -------
    int
        How many runs were told to stop.
    """
    state = context.state
    if task.preempted_ms + _AGAIN_MS > state.now_ms and task.preempted_ms:
        return 0
    step = job.request.steps[task.key.step]
    best: list[Attempt] = []
    best_cost = 0
    for worker in state.workers.values():
        if not is_open(worker):
            continue
        victims = _choose_victims(worker, step, job.queue.priority)
        cost = sum(_get_cost(attempt, state) for attempt in victims)
        if victims and (not best or cost < best_cost):
            best = victims
            best_cost = cost
    if not best or len(best) > _STOPS_PER_PASS:
        return 0
    task.preempted_ms = state.now_ms
    for attempt in best:
        state.count('preemptions')
        _attempts.stop_attempt(
            attempt, context, f'room for {task.key.format()}'
        )
    return len(best)


def _get_cost(attempt: Attempt, state: SchedulerState) -> int:
    """Return the work, in millicore-milliseconds, that a stop may lose."""
    age_ms = state.now_ms - attempt.sent_ms
    if attempt.step.checkpointing:
        # A stop saves the work; what is lost is the way back.
        age_ms = min(age_ms, 1000)
    return age_ms * attempt.step.size.cpu_millicores


def _choose_victims(worker: Worker, step: Step, priority: int) -> list[Attempt]:
    """Return runs that free enough room, or nothing if none do."""
    free = worker.free
    for attempt in worker.attempts.values():
        if attempt.state is AttemptState.STOPPING:
            free = free.add(attempt.step.reserved)
    if free.fits(step.reserved):
        # Room is coming already.
        return []
    candidates = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.priority > priority
        and attempt.state is AttemptState.RUNNING
        and not attempt.step.long_running
    ]
    candidates.sort(
        key=lambda attempt: (
            not attempt.step.checkpointing,
            -attempt.step.size.memory_mb,
        )
    )
    chosen = []
    for attempt in candidates:
        chosen.append(attempt)
        free = free.add(attempt.step.reserved)
        if free.fits(step.reserved):
            return chosen
    return []
