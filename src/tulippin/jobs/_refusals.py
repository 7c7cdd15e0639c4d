"""Why tasks wait: one line a second for each sort that does.

A line for each refusal would be thousands a second. One line says, for
each image that waits for idle processors, how many tasks wait and on how
many workers the smallest of them is refused for which reason, so that idle
processors beside a backlog are explained from the log. Another one says
what keeps long-running tasks away that should be at work, and a third why
tasks that reserve their processors find none.
"""

from __future__ import annotations

import collections
import operator
import typing as t

import attrs

from tulippin.jobs import (
    _feasibility,
    _headroom,
    _interference,
    _ranking,
    _ready,
    _rooms,
    _scoring,
    _unseen,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

_EVERY_MS: t.Final = 1000
_MOST_NAMED: t.Final = 5
_FULL_PERCENT: t.Final = 100
# A task slowed by this misses its target at half of its usual load.
_TOLD_SLOWDOWN: t.Final = 1.5
# Keeps a ratio to a slack that is used up finite.
_LEAST_SLACK: t.Final = 0.02


def tell(context: Context) -> None:
    """Write the lines if something has waited since the last ones."""
    state = context.state
    is_waiting = bool(state.ready_idle or state.ready or state.unsent)
    if not (context.may_order and is_waiting):
        return
    if state.now_ms - state.refusals_told_ms < _EVERY_MS:
        return
    state.refusals_told_ms = state.now_ms
    _tell_lesson(context)
    _tell_unsent(context)
    _tell_lasting(context)
    _tell_reserving(context)
    _tell_room(context)
    if state.ready_idle:
        _tell_idle(context)


def _tell_lesson(context: Context) -> None:
    """Tell the reading that showed the largest slowdown since the last."""
    lesson = context.state.lesson
    context.state.lesson = None
    if lesson is not None and lesson.slowdown >= _TOLD_SLOWDOWN:
        context.log('slowdown learned', **attrs.asdict(lesson))


def _tell_unsent(context: Context) -> None:
    """Tell which orders have waited for a second to be durable."""
    state = context.state
    limit_ms = state.now_ms - _EVERY_MS
    waiting = [one for one in state.unsent if one.sent_ms <= limit_ms]
    if not waiting:
        return
    oldest = min(waiting, key=operator.attrgetter('sent_ms'))
    context.log(
        'orders wait to be durable',
        orders=len(waiting),
        oldest=oldest.key.format(),
        worker=oldest.worker_id,
        waited_ms=state.now_ms - oldest.sent_ms,
    )


def _tell_lasting(context: Context) -> None:
    """Tell why long-running tasks have waited for a second or more."""
    state = context.state
    waiting = list(_iter_late(state))
    if not waiting:
        return
    unseen = [
        task
        for job, task in waiting
        if _unseen.holds_back(job, job.request.steps[task.key.step])
        or _unseen.is_awaited(task, state)
    ]
    oldest = min((task for _, task in waiting), key=lambda task: task.ready_ms)
    context.log(
        'long-running tasks wait',
        may_run_unseen=len(unseen),
        no_place=len(waiting) - len(unseen),
        oldest=oldest.key.format(),
        waited_ms=state.now_ms - oldest.ready_ms,
        silent_workers=_unseen.list_awaited(state)[:_MOST_NAMED],
        awaited_ms=_unseen.get_awaited_ms(state),
    )


def _tell_reserving(context: Context) -> None:
    """Tell why tasks that reserve processors have waited for a second."""
    state = context.state
    waiting = list(_iter_late(state, is_lasting=False))
    if not waiting:
        return
    oldest_job, oldest = min(waiting, key=lambda pair: pair[1].ready_ms)
    job, task = min(waiting, key=_get_size)
    step = job.request.steps[task.key.step]
    context.log(
        'tasks wait for room',
        tasks=len(waiting),
        jobs=len({one.job_id for one, _ in waiting}),
        queue=oldest_job.queue.name,
        oldest=oldest.key.format(),
        waited_ms=state.now_ms - oldest.ready_ms,
        smallest_millicores=step.size.cpu_millicores,
        smallest_memory_mb=step.size.memory_mb,
        refused=_count_reasons(job, step, task, state),
        waiting_millicores=sum(map(_get_size, waiting)),
        by_lateness=_count_by_lateness(waiting, state),
        units_with_place=_count_units_with_place(step, state),
    )


def _count_by_lateness(
    waiting: list[tuple[Job, Task]], state: SchedulerState
) -> dict[str, int]:
    """Return how many tasks wait of jobs that can be in time, or no more."""
    counts = collections.Counter(
        _ranking.get_hope(job, _ready.get_step_key(task.key), state).name
        for job, task in waiting
    )
    return {name.lower(): count for name, count in counts.items()}


def _count_units_with_place(step: Step, state: SchedulerState) -> int:
    """Return how many other units told of a worker with enough room."""
    return sum(
        _rooms.has_place(room, step, is_new=False)
        for room in state.rooms.values()
    )


def _tell_room(context: Context) -> None:
    """Tell how the unit's processors are divided while tasks wait for them."""
    if context.state.ready:
        report = _headroom.describe(context.state)
        context.log('processors divided', **attrs.asdict(report))


def _get_size(pair: tuple[Job, Task]) -> int:
    job, task = pair
    return job.request.steps[task.key.step].size.cpu_millicores


def _iter_late(
    state: SchedulerState, *, is_lasting: bool = True
) -> t.Iterator[tuple[Job, Task]]:
    """Iterate over tasks of a sort that have waited for a second."""
    limit_ms = state.now_ms - _EVERY_MS
    for kind, tasks in state.ready.items():
        job = state.jobs[kind[0]]
        if job.request.steps[kind[2]].long_running is not is_lasting:
            continue
        for task in tasks.values():
            if task.ready_ms <= limit_ms:
                yield job, task


def _tell_idle(context: Context) -> None:
    state = context.state
    waiting: dict[str, int] = {}
    smallest: dict[str, tuple[Job, Step, Task]] = {}
    for kind, tasks in state.ready_idle.items():
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        waiting[step.image] = waiting.get(step.image, 0) + len(tasks)
        known = smallest.get(step.image)
        if known is None or (
            step.size.cpu_millicores < known[1].size.cpu_millicores
        ):
            smallest[step.image] = job, step, next(iter(tasks.values()))
    context.log(
        'work waits',
        tasks=waiting,
        nearest={
            image: _find_nearest(*found, state)
            for image, found in smallest.items()
        },
        **_sum_idle_jobs(state),
        refused={
            image: _count_reasons(*found, state)
            for image, found in smallest.items()
        },
        idle_millicores=sum(
            max(0, int(_interference.get_idle(worker)))
            for worker in state.workers.values()
        ),
        **_sum_use(state),
    )


def _find_nearest(
    job: Job, step: Step, task: Task, state: SchedulerState
) -> dict[str, t.Any]:
    """Return what is expected at the worker that refuses a task the least.

    With it the log tells whether the expectation is large, or the slack of
    the tasks beside is small.
    """
    found: list[tuple[float, dict[str, t.Any]]] = []
    for worker in state.workers.values():
        if not _feasibility.is_feasible(worker, job, task, step, state):
            continue
        worst = _interference.find_worst(step, worker, state)
        if worst is not None:
            ratio = worst.excess / max(worst.slack, _LEAST_SLACK)
            told = attrs.asdict(worst) | {'worker': worker.worker_id}
            found.append((ratio, told))
    return min(found, key=lambda pair: pair[0])[1] if found else {}


def _sum_idle_jobs(state: SchedulerState) -> dict[str, t.Any]:
    """Return which jobs wait for idle processors with nothing running."""
    idle_ms: dict[str, int] = {}
    for kind, tasks in state.ready_idle.items():
        job = state.jobs[kind[0]]
        task = next(iter(tasks.values()))
        since_ms = _ready.get_idle_ms(job, task, state)
        if since_ms >= _EVERY_MS:
            idle_ms[job.job_id] = max(since_ms, idle_ms.get(job.job_id, 0))
    longest = max(idle_ms, key=idle_ms.__getitem__, default='')
    return {
        'jobs_without_run': len(idle_ms),
        'longest_without_run': longest,
        'longest_without_run_ms': idle_ms.get(longest, 0),
    }


def _sum_use(state: SchedulerState) -> dict[str, int]:
    """Return what opportunistic tasks ask for, and are seen to use."""
    running = [
        attempt
        for worker in state.workers.values()
        for attempt in worker.fillers.values()
        if attempt.load > 0 and attempt.pace_percent == _FULL_PERCENT
    ]
    return {
        'fillers': sum(len(one.fillers) for one in state.workers.values()),
        'full_pace': len(running),
        'asked_millicores': sum(
            one.step.size.cpu_millicores for one in running
        ),
        'seen_millicores': int(sum(one.load for one in running)),
    }


def _count_reasons(
    job: Job, step: Step, task: Task, state: SchedulerState
) -> dict[str, int]:
    reasons: collections.Counter[str] = collections.Counter()
    for worker in state.workers.values():
        reasons[_get_reason(worker, job, step, task, state)] += 1
    return dict(reasons)


def _get_reason(
    worker: Worker, job: Job, step: Step, task: Task, state: SchedulerState
) -> str:
    """Return what keeps a task from a worker."""
    if not _feasibility.is_open(worker, job, task, step, state):
        return 'closed'
    if not step.opportunistic:
        return _get_missing_room(worker, step)
    if _interference.get_idle(worker) < step.size.cpu_millicores:
        return 'busy'
    if not _feasibility.is_feasible(worker, job, task, step, state):
        return 'memory'
    if _scoring.score_idle(state.policy, worker, task, step, state) is None:
        serving = {one.step.image for one in worker.serving.values()}
        return f'harms_one_of_{len(serving)}'
    return 'takes_it'


def _get_missing_room(worker: Worker, step: Step) -> str:
    """Return what a worker has too little of for a task that reserves it."""
    free = worker.free
    if free.cpu_millicores < step.reserved.cpu_millicores:
        return 'processors'
    return 'takes_it' if worker.has_room(step.reserved) else 'memory'
