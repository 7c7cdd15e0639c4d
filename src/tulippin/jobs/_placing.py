"""Which worker each ready task is started on, and when."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts, _lifecycle, _workers
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import StartRun
from tulippin.jobs.ports import StartOrder
from tulippin.jobs.state import (
    RUNS_PER_EPOCH,
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import Step

# The most starts decided in one go, so that answers are read in between.
_STARTS_PER_PASS: t.Final = 40
# What one opportunistic neighbour counts beside a whole worker's load,
# where a task with a latency target is placed, and the other way round.
_NEIGHBOUR_WEIGHT: t.Final = 0.5
# A worker where a task failed is taken again only if no other fits.
_AVOIDED_WEIGHT: t.Final = 10.0
_FAR_WEIGHT: t.Final = 2.0


def place(context: Context) -> None:
    """Start ready tasks, the most urgent first, wherever they fit."""
    state = context.state
    if not state.ready or not context.may_order:
        return
    settled = is_settled(state)
    started = 0
    refused: set[tuple[str, int]] = set()
    for key in _sort_ready(state):
        task = state.ready.get(key)
        if task is None:
            continue
        job = state.jobs[key.job_id]
        kind = (key.job_id, key.step)
        is_held = job.awaits_workers and not settled
        if is_held or kind in refused or task.not_before_ms > state.now_ms:
            continue
        worker = _choose(job, task, state)
        if worker is None:
            if not task.avoided:
                refused.add(kind)
            continue
        _start(job, task, worker, context)
        started += 1
        if started >= _STARTS_PER_PASS:
            return


def _sort_ready(state: SchedulerState) -> list[t.Any]:
    jobs = state.jobs
    return sorted(
        state.ready,
        key=lambda key: (
            jobs[key.job_id].queue.priority,
            jobs[key.job_id].arrived_ms,
            key,
        ),
    )


def is_settled(state: SchedulerState) -> bool:
    """Whether nothing can run that an earlier owner started unseen."""
    return all(
        worker.is_reconciled or state.now_ms > worker.lapse_at_ms
        for worker in state.workers.values()
        if worker.was_rostered
    )


def _choose(job: Job, task: Task, state: SchedulerState) -> Worker | None:
    step = job.request.steps[task.key.step]
    best = None
    best_score = 0.0
    for worker in state.workers.values():
        if not _is_feasible(worker, job, task, step, state):
            continue
        score = _score(worker, task, step)
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


def _is_feasible(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Hard conditions, which no policy can switch off."""
    entry = worker.entry
    is_open = (
        worker.is_listed
        and worker.is_rostered
        and worker.is_reconciled
        and not worker.failed_count
        and not entry.draining
        and entry.service == job.queue.service
        and worker.quarantined_until_ms <= state.now_ms
        and worker.paused_until_ms <= state.now_ms
    )
    if not is_open or not worker.free.fits(step.reserved):
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    if step.opportunistic and not _fits_idle(worker, step):
        return False
    if not step.max_per_worker:
        return True
    beside = sum(
        1
        for attempt in worker.attempts.values()
        if attempt.key[:3] == task.key[:3]
    )
    return beside < step.max_per_worker


def _fits_idle(worker: Worker, step: Step) -> bool:
    """A task that uses idle processors needs some to be there."""
    capacity = worker.entry.capacity.cpu_millicores
    return get_pressure(worker) * capacity + step.size.cpu_millicores <= (
        capacity
    )


def get_pressure(worker: Worker) -> float:
    """Return the share of the processors that tasks ask for."""
    capacity = max(1, worker.entry.capacity.cpu_millicores)
    asked = sum(
        attempt.step.size.cpu_millicores
        for attempt in worker.attempts.values()
    )
    return asked / capacity


def _score(worker: Worker, task: Task, step: Step) -> float:
    """Return how little a worker is liked; the lowest wins."""
    capacity = worker.entry.capacity
    memory = worker.reserved.memory_mb / max(1, capacity.memory_mb)
    score = max(get_pressure(worker), memory)
    score += _NEIGHBOUR_WEIGHT * _count_conflicts(worker, step)
    if worker.worker_id in task.avoided:
        score += _AVOIDED_WEIGHT
    if step.preferred_rack and step.preferred_rack not in worker.entry.labels:
        score += _FAR_WEIGHT
    return score


def _count_conflicts(worker: Worker, step: Step) -> int:
    if step.opportunistic:
        return sum(
            1
            for attempt in worker.attempts.values()
            if attempt.step.target_ms
        )
    if step.target_ms:
        return sum(
            1
            for attempt in worker.attempts.values()
            if attempt.step.opportunistic
        )
    return 0


def _start(job: Job, task: Task, worker: Worker, context: Context) -> None:
    state = context.state
    step = job.request.steps[task.key.step]
    task.run_count += 1
    run = context.fencing_token * RUNS_PER_EPOCH + task.run_count
    valid_ms = state.config.start_valid_ms
    deadline_ms = _workers.get_clock_ms(worker, state) + valid_ms
    attempt = Attempt(
        task.key,
        run,
        worker.worker_id,
        step,
        job.queue.priority,
        AttemptState.STARTING,
        state.now_ms,
        start_deadline_ms=deadline_ms,
        checkpoint=task.checkpoint,
    )
    _attempts.add_attempt(attempt, task, worker)
    del state.ready[task.key]
    _workers.extend_lapse(worker, valid_ms, state)
    _lifecycle.mark_begun(job, state)
    state.count('starts')
    context.log(
        'start run',
        task=task.key.format(),
        run=run,
        worker=worker.worker_id,
        waited_ms=state.now_ms - job.arrived_ms,
        reserved_millicores=worker.reserved.cpu_millicores,
        list_age_ms=state.now_ms - worker.answered_ms,
    )
    context.emit(
        StartRun(
            StartOrder(
                worker.worker_id,
                worker.entry.address,
                task.key,
                run,
                job.request.spec,
                deadline_ms,
                context.fencing_token,
                task.checkpoint if step.checkpointing else '',
            )
        )
    )
