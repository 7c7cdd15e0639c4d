"""Which workers may take a task at all; no policy can switch this off."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _advice, _interference, _trials
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# Share of a worker's memory that opportunistic tasks leave to urgent ones,
# which are then started without stopping any: a little everywhere, and
# more with the share of free processors. Urgent tasks of the users' sheets
# take half as much memory for each processor as the workers have.
_MEMORY_KEPT_SHARE: t.Final = 0.05
_MEMORY_PER_CPU: t.Final = 0.6
# A worker with tasks is read once a second; an answer that is lost makes
# that 1.4 s.
_UNHEARD_MS: t.Final = 1600
# How old the entry of a worker that guards no room may be. A room that has
# shrunk counts 3 s and a heartbeat later; its entry is written up to a
# heartbeat after that, and read within a second.
_ENTRY_LIMIT_MS: t.Final = 3000


def is_feasible(
    worker: Worker,
    job: Job,
    task: Task,
    step: Step,
    state: SchedulerState,
    *,
    has_waited: bool = False,
) -> bool:
    """Hard conditions, which no policy can switch off.

    A task whose job ``has_waited`` takes memory that is left to urgent ones
    if it would find less on a worker with nothing else on it: it could never
    start, and urgent tasks can have it stopped.
    """
    if not worker.has_room(step.reserved):
        return False
    if step.opportunistic:
        is_known = not is_unheard(worker, state)
        is_granted = has_waited and _is_too_large(worker, step)
        if not (is_known and _fits_idle(worker, step)):
            return False
        if lacks_memory(worker, step) and not is_granted:
            return False
    return is_open(worker, job, task, step, state)


def is_open(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether a worker may take a task, if it had the room."""
    if not takes_work(worker, state):
        return False
    entry = worker.entry
    if entry.service != job.queue.service:
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    if job.queue.advised and not _advice.get_ticket(worker, job, task, state):
        return False
    return _has_fewer(worker, task, step) and _trials.may_join(
        worker, task, state
    )


def takes_work(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker is known, answers, stays, and is not at fault."""
    if not (worker.is_listed and worker.is_rostered and worker.is_reconciled):
        return False
    if worker.entry.capacity is None:
        return False
    if worker.failed_count or worker.entry.draining:
        return False
    if not _is_room_sure(worker, state):
        return False
    closed_until_ms = max(worker.quarantined_until_ms, worker.paused_until_ms)
    return closed_until_ms <= state.now_ms


def _is_room_sure(worker: Worker, state: SchedulerState) -> bool:
    """Whether what a worker that guards no room holds, and has, is known.

    It starts whatever it is told. Nothing is begun there on an old figure, as
    while the store is away, or beside runs of jobs that are not known yet.
    """
    known = state.configuration
    if known is None or worker.entry.service in known.guarded_services:
        return True
    is_recent = state.now_ms - worker.entry_ms <= _ENTRY_LIMIT_MS
    return is_recent and not worker.strays


def list_open(state: SchedulerState) -> list[Worker]:
    """Return the workers that take work now."""
    return [one for one in state.workers.values() if takes_work(one, state)]


def is_unheard(worker: Worker, state: SchedulerState) -> bool:
    """Whether the tails of tasks with a target there are not known now."""
    is_old = state.now_ms - worker.answered_ms > _UNHEARD_MS
    return is_old and bool(worker.serving)


def _has_fewer(worker: Worker, task: Task, step: Step) -> bool:
    """Whether the worker has fewer of the step's tasks than it may."""
    if not step.max_per_worker:
        return True
    beside = sum(
        1
        for attempt in worker.attempts.values()
        if attempt.key[:3] == task.key[:3]
    )
    return beside < step.max_per_worker


def _fits_idle(worker: Worker, step: Step) -> bool:
    """Whether a task's processors are idle."""
    used = _interference.get_used(worker) + step.size.cpu_millicores
    return used <= worker.entry.capacity.cpu_millicores


def _is_too_large(worker: Worker, step: Step) -> bool:
    """Whether even an idle worker has too little memory by the rule."""
    most_share = 1 - _MEMORY_KEPT_SHARE - _MEMORY_PER_CPU
    return step.size.memory_mb > worker.entry.capacity.memory_mb * most_share


def lacks_memory(worker: Worker, step: Step) -> bool:
    """Whether a task would take memory that is left to urgent ones."""
    free = worker.free
    capacity = worker.entry.capacity
    memory_mb = free.memory_mb - step.reserved.memory_mb
    free_share = free.cpu_millicores / max(1, capacity.cpu_millicores)
    kept_share = _MEMORY_KEPT_SHARE + _MEMORY_PER_CPU * free_share
    return memory_mb < capacity.memory_mb * kept_share
