"""Which worker each ready task is started on, and when."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _attempts, _interference, _lifecycle, _workers
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
# What expected harm counts beside a whole worker's load.
_HARM_WEIGHT: t.Final = 2.0
# The most that a tail may be raised by, as a logarithm, for a task to be
# placed beside it; targets are five times an idle tail, and a job's own
# load takes up to four of these.
_EXCESS_LIMIT: t.Final = 0.3
# What each further image served on one worker counts beside its load.
_MIX_WEIGHT: t.Final = 0.4
# Share of a worker's processors up to which its image attracts more of
# the same; the rest is for urgent tasks.
_SERVING_SHARE: t.Final = 0.75
# What a task with a latency target uses of the processors that it asks
# for; measured on a quiet day, its own load swings by half around this.
_SERVING_USE: t.Final = 0.5
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
        score = _score(worker, task, step, state)
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
    if step.opportunistic and not _fits_idle(worker, step, state):
        return False
    if not step.max_per_worker:
        return True
    beside = sum(
        1
        for attempt in worker.attempts.values()
        if attempt.key[:3] == task.key[:3]
    )
    return beside < step.max_per_worker


def _fits_idle(worker: Worker, step: Step, state: SchedulerState) -> bool:
    """Idle processors are there, and nobody would suffer too much."""
    own = step.size.cpu_millicores / _get_cpu(worker)
    if get_pressure(worker) + own > 1:
        return False
    excess = _interference.get_worst_excess(step, worker, state)
    return excess <= _EXCESS_LIMIT


def _get_cpu(worker: Worker) -> int:
    return max(1, worker.entry.capacity.cpu_millicores)


def get_pressure(worker: Worker) -> float:
    """Return the share of the processors that tasks are thought to use."""
    used = 0.0
    for attempt in worker.attempts.values():
        weight = _SERVING_USE if attempt.step.target_ms else 1.0
        used += attempt.step.size.cpu_millicores * weight
    return used / _get_cpu(worker)


def _score(
    worker: Worker, task: Task, step: Step, state: SchedulerState
) -> float:
    """Return how little a worker is liked; the lowest wins."""
    capacity = worker.entry.capacity
    memory = worker.reserved.memory_mb / max(1, capacity.memory_mb)
    score = max(get_pressure(worker), memory)
    if step.opportunistic:
        score += _HARM_WEIGHT * _interference.get_harm(step, worker, state)
    elif step.target_ms:
        score += _get_mixing(worker, step)
    if worker.worker_id in task.avoided:
        score += _AVOIDED_WEIGHT
    if step.preferred_rack and step.preferred_rack not in worker.entry.labels:
        score += _FAR_WEIGHT
    return score


def _get_mixing(worker: Worker, step: Step) -> float:
    """Prefer workers that serve the same image, up to a share.

    An opportunistic image disturbs some serving images and not others:
    the fewer kinds a worker serves, the more may run beside them.
    """
    images = {
        attempt.step.image for attempt in _interference.iter_serving(worker)
    }
    others = len(images - {step.image})
    share = worker.reserved.cpu_millicores / _get_cpu(worker)
    is_full = share > _SERVING_SHARE
    return _MIX_WEIGHT * others + (_MIX_WEIGHT if is_full else 0.0)


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
