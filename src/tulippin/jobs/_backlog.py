"""Measures the waiting work of a unit's queues, and how fast it is completed.

The owner publishes the figures in its lease. Instances predict by them when a
new job would be completed.

Free processors don't tell how fast a backlog drains: most are unusable for a
task whose image disturbs what their worker serves. So the work that tasks
complete is counted, while enough of them wait for a start; while few wait, the
tasks that end show how many arrive.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _run_times
from tulippin.jobs.records import QueueBacklog
from tulippin.jobs.state import CompletedWork, Job, SchedulerState
from tulippin.jobs.types import FINAL_STATES, Step

_MILLICORES: t.Final = 1000
_MS: t.Final = 1000
# Time over which completed work is counted: some 70 tasks of a queue end in a
# unit within a second, but all tasks of a wide step end together.
_WINDOW_MS: t.Final = 4000
# A queue is long if the work that waits for a start is at least this part of
# the work that runs: with less, a queue may empty within one run time.
_MIN_QUEUED_SHARE: t.Final = 0.5
# A task that runs has done half of its work on average.
_RUNNING_SHARE: t.Final = 0.5
# Upper limit of the run time that a queue must have been long for, beside the
# window: ends before it are of tasks that were started while it was short.
_MAX_RUN_MS: t.Final = 6000
# Upper limit of a figure that readers of a lease accept and that JSON encodes.
_MAX_CORE_MS: t.Final = 10**15


@attrs.define
class _Work:
    """Work of one queue, in core-milliseconds."""

    waiting: float = 0.0
    timely: float = 0.0
    queued: float = 0.0
    running: float = 0.0


def note_done(job: Job, step: Step, state: SchedulerState) -> None:
    """Count the work of a task that is done."""
    if step.long_running or not state.config.features.has_admission:
        return
    known = state.completed_work.setdefault(job.queue.name, CompletedWork())
    known.ends.append((state.now_ms, _predict_core_ms(job, step, state)))
    _drop_old_ends(known, state.now_ms)


def _drop_old_ends(known: CompletedWork, now_ms: int) -> None:
    while known.ends and known.ends[0][0] <= now_ms - _WINDOW_MS:
        known.ends.popleft()


def _predict_core_ms(job: Job, step: Step, state: SchedulerState) -> float:
    """Return the expected work of one task of a step."""
    run_ms = _run_times.predict_ms(job, step, state)
    return min(
        float(_MAX_CORE_MS), step.size.cpu_millicores * run_ms / _MILLICORES
    )


def measure(state: SchedulerState) -> dict[str, QueueBacklog] | None:
    """Return the backlog of each queue with short work, None if unused.

    It must be called regularly, as it notes which queues are long.
    """
    if not state.config.features.has_admission:
        return None
    found: dict[str, _Work] = {name: _Work() for name in state.completed_work}
    for job in state.jobs.values():
        if job.state in FINAL_STATES or job.is_cancelled:
            continue
        if job.moved_to is None and not job.is_transferred:
            _add_job(job, found.setdefault(job.queue.name, _Work()), state)
    backlogs = {
        name: _make_backlog(name, work, state) for name, work in found.items()
    }
    return {
        name: backlog
        for name, backlog in backlogs.items()
        if backlog.waiting_core_ms
    }


def _add_job(job: Job, total: _Work, state: SchedulerState) -> None:
    """Add the work of a job's occurrences that are due."""
    due = {occurrence for occurrence, _ in job.opened_steps}
    job_work = _Work()
    for (occurrence, number), count in job.remaining.items():
        step = job.request.steps[number]
        if count and occurrence in due and not step.long_running:
            task_core_ms = _predict_core_ms(job, step, state)
            step_key = (job.job_id, occurrence, number)
            queued = len(state.ready.get(step_key, ())) + len(
                state.ready_opportunistic.get(step_key, ())
            )
            is_open = (occurrence, number) in job.opened_steps
            running = max(0, count - queued) if is_open else 0
            rest = count - (1 - _RUNNING_SHARE) * running
            job_work.waiting += task_core_ms * rest
            job_work.queued += task_core_ms * queued
            job_work.running += task_core_ms * running
    total.queued += job_work.queued
    total.running += job_work.running
    total.waiting += job_work.waiting
    if job_work.waiting and _is_timely(job, state):
        total.timely += job_work.waiting


def _is_timely(job: Job, state: SchedulerState) -> bool:
    """Whether a job can still be completed within its objective."""
    if job.request.schedule.count:
        # Its occurrences have objectives of their own; all count as in time.
        return True
    chains_ms = _run_times.predict_chains_ms(job, state)
    rest_ms = max(
        chains_ms[number]
        for (_, number), count in job.remaining.items()
        if count
    )
    queue = job.queue
    objective_ms = queue.stretch * max(chains_ms) + queue.target_latency_ms
    earliest_ms = state.now_ms - job.arrived_ms + rest_ms
    return earliest_ms <= objective_ms


def _make_backlog(
    name: str, work: _Work, state: SchedulerState
) -> QueueBacklog:
    known = state.completed_work.setdefault(name, CompletedWork())
    return QueueBacklog(
        round(min(_MAX_CORE_MS, work.waiting)),
        round(min(_MAX_CORE_MS, work.timely)),
        _measure_rate(name, known, work, state),
        _run_times.get_mean_ratio(name, state),
    )


def _measure_rate(
    name: str, known: CompletedWork, work: _Work, state: SchedulerState
) -> int | None:
    """Return the completed work per second, None unless the queue is long."""
    if not work.queued or work.queued < _MIN_QUEUED_SHARE * work.running:
        known.long_since_ms = None
        return None
    if known.long_since_ms is None:
        known.long_since_ms = state.now_ms
    run_ms = min(_MAX_RUN_MS, state.run_times_ms.get(name, 0.0))
    if state.now_ms - known.long_since_ms < _WINDOW_MS + run_ms:
        return None
    _drop_old_ends(known, state.now_ms)
    core_ms = sum(one for _, one in known.ends)
    return round(min(_MAX_CORE_MS, core_ms * _MS / _WINDOW_MS))
