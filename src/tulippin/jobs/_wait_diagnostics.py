"""Logs once a second why tasks wait.

A line for each refused placement would be thousands a second. One line gives,
for each image that waits for idle processors, how many tasks wait and, for the
smallest of them, how many workers refuse it for which reason; it explains idle
processors beside a backlog. Another line gives what holds long-running tasks
back, and a third why tasks that reserve processors don't fit anywhere.
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
    _job_progress,
    _ranking,
    _ready_queues,
    _stall_diagnostics,
    _unconfirmed_runs,
    _unit_capacity,
    _wait_reasons,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Task
from tulippin.jobs.types import Step

_LOG_INTERVAL_MS: t.Final = 1000
_MAX_LOGGED_WORKERS: t.Final = 5
_FULL_PERCENT: t.Final = 100
# A task with this slowdown misses its target at half of its usual load.
_MIN_LOGGED_SLOWDOWN: t.Final = 1.5
# Keeps ratios to a slack of about 0 finite.
_MIN_SLACK: t.Final = 0.02


def log_waits(context: Context) -> None:
    """Write the log lines, once a second while any task waits."""
    state = context.state
    is_waiting = bool(
        state.ready_opportunistic or state.ready or state.unsent_starts
    )
    if not (context.may_send_orders and is_waiting):
        return
    if state.now_ms - state.waits_logged_ms < _LOG_INTERVAL_MS:
        return
    state.waits_logged_ms = state.now_ms
    _log_observation(context)
    _log_unsent(context)
    _log_long_running(context)
    _log_reserving(context)
    _log_division(context)
    if state.ready_opportunistic:
        _log_opportunistic(context)
        _stall_diagnostics.log_longest(context)


def _log_observation(context: Context) -> None:
    """Log the observation with the largest slowdown since the last line."""
    observation = context.state.largest_observation
    context.state.largest_observation = None
    if observation is not None and observation.slowdown >= _MIN_LOGGED_SLOWDOWN:
        context.log('slowdown learned', **attrs.asdict(observation))


def _log_unsent(context: Context) -> None:
    """Log orders that have waited for a second until they are durable."""
    state = context.state
    limit_ms = state.now_ms - _LOG_INTERVAL_MS
    waiting = [one for one in state.unsent_starts if one.sent_ms <= limit_ms]
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


def _log_long_running(context: Context) -> None:
    """Log why long-running tasks have waited for a second or more."""
    state = context.state
    waiting = list(_iter_late(state))
    if not waiting:
        return
    unconfirmed = [
        task
        for job, task in waiting
        if _unconfirmed_runs.must_await_workers(
            job, job.request.steps[task.key.step]
        )
        or _unconfirmed_runs.has_unconfirmed_run(task, state)
    ]
    oldest = min((task for _, task in waiting), key=lambda task: task.ready_ms)
    context.log(
        'long-running tasks wait',
        may_run_unseen=len(unconfirmed),
        no_place=len(waiting) - len(unconfirmed),
        oldest=oldest.key.format(),
        waited_ms=state.now_ms - oldest.ready_ms,
        silent_workers=_unconfirmed_runs.list_unconfirmed_workers(state)[
            :_MAX_LOGGED_WORKERS
        ],
        awaited_ms=_unconfirmed_runs.get_unconfirmed_ms(state),
    )


def _log_reserving(context: Context) -> None:
    """Log why tasks that reserve processors have waited for a second."""
    state = context.state
    waiting = list(_iter_late(state, is_long_running=False))
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
        refused=_wait_reasons.count(job, step, task, state),
        waiting_millicores=sum(map(_get_size, waiting)),
        by_lateness=_count_by_lateness(waiting, state),
        units_with_place=_count_units_with_capacity(job, step, state),
    )


def _count_by_lateness(
    waiting: list[tuple[Job, Task]], state: SchedulerState
) -> dict[str, int]:
    """Return how many tasks wait, by whether their job can meet its target."""
    counts: collections.Counter[str] = collections.Counter()
    by_step = collections.Counter(
        _ready_queues.get_step_key(task.key) for _, task in waiting
    )
    for step_key, count in by_step.items():
        job = state.jobs[step_key[0]]
        name = _ranking.get_lateness(job, step_key, state).name.lower()
        counts[name] += count
    return dict(counts)


def _count_units_with_capacity(
    job: Job, step: Step, state: SchedulerState
) -> int:
    """Return how many other units report a worker that fits a task."""
    return sum(
        _unit_capacity.fits_in_unit(room, step, job.queue.service, is_new=False)
        for room in state.unit_capacities.values()
    )


def _log_division(context: Context) -> None:
    """Log how the unit's processors are divided while tasks wait for them."""
    if context.state.ready:
        report = _headroom.describe(context.state)
        context.log('processors divided', **attrs.asdict(report))


def _get_size(pair: tuple[Job, Task]) -> int:
    """Return the millicores that a task asks for."""
    job, task = pair
    return job.request.steps[task.key.step].size.cpu_millicores


def _iter_late(
    state: SchedulerState, *, is_long_running: bool = True
) -> t.Iterator[tuple[Job, Task]]:
    """Iterate over long-running or other tasks that have waited a second."""
    limit_ms = state.now_ms - _LOG_INTERVAL_MS
    for kind, tasks in state.ready.items():
        job = state.jobs[kind[0]]
        if job.request.steps[kind[2]].long_running is not is_long_running:
            continue
        for task in tasks.values():
            if task.ready_ms <= limit_ms:
                yield job, task


def _log_opportunistic(context: Context) -> None:
    """Log why tasks wait for idle processors, by image."""
    state = context.state
    waiting: dict[str, int] = {}
    smallest: dict[str, tuple[Job, Step, Task]] = {}
    for kind, tasks in state.ready_opportunistic.items():
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
        **_summarize_idle_jobs(state),
        refused={
            image: _wait_reasons.count(*found, state)
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
    """Return the expected excess at the worker that comes closest to fitting.

    It shows whether a task is refused because its expected excess is large or
    because the slack on the workers is small.
    """
    found: list[tuple[float, dict[str, t.Any]]] = []
    for worker in state.workers.values():
        if not _feasibility.is_feasible(worker, job, task, step, state):
            continue
        worst = _interference.find_tightest_excess(step, worker, state)
        if worst is not None:
            ratio = worst.excess / max(worst.slack, _MIN_SLACK)
            fields = attrs.asdict(worst) | {'worker': worker.worker_id}
            found.append((ratio, fields))
    return min(found, key=lambda pair: pair[0])[1] if found else {}


def _summarize_idle_jobs(state: SchedulerState) -> dict[str, t.Any]:
    """Return log fields on jobs that wait without any run."""
    idle_ms: dict[str, int] = {}
    for kind, tasks in state.ready_opportunistic.items():
        job = state.jobs[kind[0]]
        task = next(iter(tasks.values()))
        since_ms = _job_progress.get_idle_ms(job, task, state)
        if since_ms >= _LOG_INTERVAL_MS:
            idle_ms[job.job_id] = max(since_ms, idle_ms.get(job.job_id, 0))
    longest = max(idle_ms, key=idle_ms.__getitem__, default='')
    return {
        'jobs_without_run': len(idle_ms),
        'longest_without_run': longest,
        'longest_without_run_ms': idle_ms.get(longest, 0),
    }


def _sum_use(state: SchedulerState) -> dict[str, int]:
    """Return log fields on the requested and used processors of fillers."""
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
