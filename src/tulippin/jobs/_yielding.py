"""Has work of no value yield its processors to other opportunistic work.

Under overload, jobs that can no longer earn anything would run beside those
that can, and take the idle processors that these need. They run only while
nobody else wants their place. What they lose by it is repeated later; a run
that is nearly done is left alone, as it soon makes room by itself.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _feasibility,
    _interference,
    _ranking,
    _ready_queues,
)
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

# Delay before a task makes room again: a stop takes up to 900 ms, and its end
# is read soon after.
_RETRY_MS: t.Final = 1300
# Progress from which a run without checkpoints is left alone.
_MAX_LOST_PROGRESS_PERCENT: t.Final = 75

Victims: t.TypeAlias = dict[str, list[Attempt]]


def list_victims(state: SchedulerState) -> Victims:
    """Return the opportunistic runs of no value by worker.

    Workers where a run is being stopped are left out: what that frees may
    suffice. Slow-started runs yield by their pace, and are no victims.
    """
    known: dict[_ready_queues.StepKey, bool] = {}
    victims: Victims = {}
    for worker in state.workers.values():
        fillers = worker.fillers.values()
        if any(one.state is AttemptState.STOPPING for one in fillers):
            continue
        found = [one for one in fillers if _is_victim(one, known, state)]
        if found:
            victims[worker.worker_id] = found
    return victims


def _is_victim(
    attempt: Attempt,
    known: dict[_ready_queues.StepKey, bool],
    state: SchedulerState,
) -> bool:
    """Whether a run may be stopped for other opportunistic work.

    ``known`` holds which steps are of no value, and is extended.
    """
    if attempt.state is not AttemptState.RUNNING or attempt.is_slow_start:
        return False
    is_nearly_done = attempt.progress_percent >= _MAX_LOST_PROGRESS_PERCENT
    if attempt.step.gang or (is_nearly_done and not attempt.step.checkpointing):
        return False
    step_key = _ready_queues.get_step_key(attempt.key)
    if step_key not in known:
        known[step_key] = _ranking.is_worthless_run(attempt, state)
    return known[step_key]


def make_room(
    job: Job, task: Task, step: Step, victims: Victims, context: Context
) -> int:
    """Stop runs of no value where the fewest of them make room for a task.

    Parameters
    ----------
    job, task, step : Job, Task, Step
        An opportunistic task that no worker accepts.
    victims : dict of str to list of Attempt
        The runs that may be stopped, by worker; what is stopped is removed.
    context : Context
        Takes the orders to stop.

    Returns
    -------
    int
        The number of runs that were ordered to stop.
    """
    state = context.state
    if state.now_ms < task.preempt_after_ms:
        return 0
    best: list[Attempt] = []
    for worker_id, candidates in victims.items():
        worker = state.workers[worker_id]
        chosen = _choose(worker, step, candidates)
        if not chosen or (best and len(best) <= len(chosen)):
            continue
        is_open = _feasibility.is_open(worker, job, task, step, state)
        if is_open and not _feasibility.has_stale_tails(worker, state):
            harm = _interference.compute_harm(step, worker, state)
            best = best if harm is None else chosen
    if not best:
        return 0
    task.preempt_after_ms = state.now_ms + _RETRY_MS
    del victims[best[0].worker_id]
    for attempt in best:
        state.count('runs_yielded')
        _attempts.stop_attempt(
            attempt, context, f'of no value, yields to {task.key.format()}'
        )
    return len(best)


def _choose(
    worker: Worker, step: Step, candidates: list[Attempt]
) -> list[Attempt]:
    """Return the runs whose stop makes room for a task; empty if none do."""
    capacity = worker.entry.capacity
    if capacity is None:
        return []
    size = step.size
    missing_millicores = size.cpu_millicores - _interference.get_idle(worker)
    missing_mb = size.memory_mb - worker.free.memory_mb
    chosen: list[Attempt] = []
    for attempt in sorted(candidates, key=_get_order):
        if missing_millicores <= 0 and missing_mb <= 0:
            break
        chosen.append(attempt)
        missing_millicores -= attempt.step.size.cpu_millicores
        missing_mb -= attempt.step.size.memory_mb
    is_enough = missing_millicores <= 0 and missing_mb <= 0
    return chosen if is_enough else []


def _get_order(attempt: Attempt) -> tuple[bool, int, int]:
    """Sort runs that lose the least by a stop first, then the largest."""
    lost_percent = 0 if attempt.step.checkpointing else attempt.progress_percent
    is_costly = not attempt.step.checkpointing
    return is_costly, lost_percent, -attempt.step.size.cpu_millicores
