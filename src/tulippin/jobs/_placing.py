"""Which worker each ready task is started on, and when."""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _lifecycle,
    _preempting,
    _ranking,
    _ready,
    _scoring,
    _workers,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs._ready import StepKey
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
from tulippin.jobs.types import Step, TaskKey

# The most starts decided in one go, so that answers are read in between.
_STARTS_PER_PASS: t.Final = 40
# Share of a worker's memory that opportunistic tasks leave to urgent ones,
# which are then started without stopping any: a little everywhere, and
# more with the share of free processors. Urgent tasks of the users' sheets
# take half as much memory for each processor as the workers have.
_MEMORY_KEPT_SHARE: t.Final = 0.05
_MEMORY_PER_CPU: t.Final = 0.6
# What each further image served on one worker counts, what taking a
# worker that serves nothing yet does, and what it does to leave a piece
# that is neither nothing nor enough for a large task, all beside the room
# left in pieces for one large task.
_MIX_WEIGHT: t.Final = 1.0
_EMPTY_WEIGHT: t.Final = 1.0
_PIECE_WEIGHT: t.Final = 1.0
_SMALL_PIECE_MILLICORES: t.Final = 500
_LARGE_PIECE_MILLICORES: t.Final = 4800
# A worker where a task failed is taken again only if no other fits, and
# one far from its data likewise.
_AVOIDED_WEIGHT: t.Final = 10.0
_FAR_WEIGHT: t.Final = 2.0
# Between two passes over the tasks for idle processors.
_IDLE_EVERY_MS: t.Final = 100


def place(context: Context, *, is_tick: bool) -> None:
    """Start ready tasks, the most urgent first, wherever they fit.

    Tasks on idle processors wait for a tick: what they may take changes
    with tails and paces, not with single events.
    """
    state = context.state
    if not context.may_order:
        return
    if state.is_placing_due or is_tick:
        state.is_placing_due = False
        _place_queue(state.ready, context)
    is_due = state.now_ms - state.idle_placed_ms >= _IDLE_EVERY_MS
    if is_tick and is_due and state.ready_idle:
        state.idle_placed_ms = state.now_ms
        _place_queue(state.ready_idle, context)


def _place_queue(
    queue: dict[StepKey, dict[TaskKey, Task]], context: Context
) -> None:
    state = context.state
    settled = is_settled(state)
    budget = _STARTS_PER_PASS
    refused: dict[str, int] = {}
    for kind in _ranking.sort_kinds(queue, state):
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        if job.awaits_workers and not settled:
            continue
        least = refused.get(step.image, 0) if step.opportunistic else 0
        if least and step.size.cpu_millicores >= least:
            continue
        started = _place_step(job, step, queue[kind], budget, context)
        budget -= started
        if step.opportunistic and kind in queue:
            refused[step.image] = max(1, step.size.cpu_millicores)
        if budget <= 0:
            state.is_placing_due = True
            return


def _place_step(
    job: Job,
    step: Step,
    tasks: dict[TaskKey, Task],
    budget: int,
    context: Context,
) -> int:
    """Start tasks of one step until one fits nowhere."""
    state = context.state
    started = 0
    for task in list(tasks.values()):
        if started >= budget:
            return started
        if task.not_before_ms > state.now_ms:
            continue
        worker = _choose(job, task, step, state)
        if worker is not None:
            _start(job, task, worker, context)
            started += 1
            continue
        _preempt(job, task, context)
        if not task.avoided:
            # The step's other tasks are no smaller.
            return started
    return started


def _preempt(job: Job, task: Task, context: Context) -> None:
    step = job.request.steps[task.key.step]
    if job.queue.priority != 0 or step.opportunistic:
        return
    _preempting.make_room(
        job,
        task,
        lambda worker: _is_open(worker, job, task, step, context.state),
        context,
    )


def is_settled(state: SchedulerState) -> bool:
    """Whether nothing can run that an earlier owner started unseen."""
    return all(
        worker.is_reconciled or state.now_ms > worker.lapse_at_ms
        for worker in state.workers.values()
        if worker.was_rostered
    )


def _choose(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> Worker | None:
    best = None
    best_score = 0.0
    for worker in state.workers.values():
        if not _is_feasible(worker, job, task, step, state):
            continue
        score = _score(worker, task, step, state)
        if score is None:
            continue
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


def _is_feasible(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Hard conditions, which no policy can switch off."""
    if not worker.free.fits(step.reserved):
        return False
    if step.opportunistic and not _fits_idle(worker, step):
        return False
    return _is_open(worker, job, task, step, state)


def _is_open(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether a worker may take a task, if it had the room."""
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
    if not is_open:
        return False
    if step.required_label and step.required_label not in entry.labels:
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
    """Idle processors are there, and memory is left for urgent tasks."""
    capacity = worker.entry.capacity
    used = worker.used_millicores + step.size.cpu_millicores
    if used > capacity.cpu_millicores:
        return False
    free = worker.free
    memory_mb = free.memory_mb - step.reserved.memory_mb
    free_share = free.cpu_millicores / max(1, capacity.cpu_millicores)
    kept_share = _MEMORY_KEPT_SHARE + _MEMORY_PER_CPU * free_share
    return memory_mb >= capacity.memory_mb * kept_share


def _score(
    worker: Worker, task: Task, step: Step, state: SchedulerState
) -> float | None:
    """Return how little a worker is liked; the lowest wins.

    Nothing says that the worker is out of the question.
    """
    capacity = worker.entry.capacity
    cpu_millicores = max(1, capacity.cpu_millicores)
    if step.opportunistic:
        idle = _scoring.score_idle(state.policy, worker, task, step, state)
        if idle is None:
            return None
        score = idle
    elif step.target_ms:
        score = _score_serving(worker, step)
    else:
        # The tightest place, so that larger tasks find room too.
        score = worker.free.cpu_millicores / cpu_millicores
    if worker.worker_id in task.avoided:
        score += _AVOIDED_WEIGHT
    if step.preferred_rack and step.preferred_rack not in worker.entry.labels:
        score += _FAR_WEIGHT
    return score


def _score_serving(worker: Worker, step: Step) -> float:
    """Fill workers one after the other, with one image if possible.

    An opportunistic image disturbs some serving images and not others:
    the fewer kinds a worker serves, the more may run beside them. And
    what full workers leave is room in one piece for urgent tasks.
    """
    images = {one.step.image for one in worker.serving.values()}
    others = len(images - {step.image})
    left = worker.free.cpu_millicores - step.size.cpu_millicores
    score = _MIX_WEIGHT * others + left / _LARGE_PIECE_MILLICORES
    if not images:
        score += _EMPTY_WEIGHT
    if _SMALL_PIECE_MILLICORES < left < _LARGE_PIECE_MILLICORES:
        score += _PIECE_WEIGHT
    return score


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
    _ready.remove(task.key, step, state)
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
