"""Finds waiting work that no worker of the unit could run, even if idle.

A worker counts for some time after it was last seen: most workers that crash
or don't answer are back soon, and work that has moved doesn't return.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _evacuation
from tulippin.jobs.state import SchedulerState, Worker
from tulippin.jobs.types import Step, WorkerEntry
from tulippin.types import Resources

# Work moves this long after the last worker that could run it was seen. Users
# accept 6 s without a run.
_STRANDED_AFTER_MS: t.Final = 2500


@attrs.frozen
class _Need:
    """What the tasks of a step need of their workers.

    Parameters
    ----------
    service : str
        The service of the workers.
    label : str
        The label that they must have, if any.
    size : Resources
        What one task reserves.
    count : int
        The number of tasks that only run together.
    max_per_worker : int
        Limit of these tasks on one worker; zero means no limit.
    """

    service: str
    label: str
    size: Resources
    count: int = 1
    max_per_worker: int = 0


def note_workers(state: SchedulerState) -> None:
    """Note which workers are there now; drop those not seen for long."""
    limit_ms = state.now_ms - _STRANDED_AFTER_MS
    seen = {
        worker_id: (entry, seen_ms)
        for worker_id, (entry, seen_ms) in state.seen_workers.items()
        if seen_ms > limit_ms
    }
    for worker in list_present(state):
        seen[worker.worker_id] = worker.entry, state.now_ms
    state.seen_workers = seen
    state.workers_noted_since_ms = state.workers_noted_since_ms or state.now_ms


def list_present(state: SchedulerState) -> list[Worker]:
    """Return the workers that are listed and answer, and may get tasks."""
    return [one for one in state.workers.values() if _is_present(one, state)]


def _is_present(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker is listed and answers, and may get tasks at all.

    Pauses and limits that end by themselves don't count.
    """
    if worker.failed_count or worker.is_superseded or not worker.is_listed:
        return False
    if worker.entry.capacity is None or worker.entry.draining:
        return False
    return not _evacuation.is_closed(worker, state)


def list_jobs(state: SchedulerState) -> dict[str, None]:
    """Return the ids of the jobs with a waiting step that is stranded."""
    watched_ms = state.now_ms - state.workers_noted_since_ms
    if watched_ms < _STRANDED_AFTER_MS:
        return {}
    entries = [entry for entry, _ in state.seen_workers.values()]
    are_stranded: dict[_Need, bool] = {}
    found = {}
    for queue in (state.ready, state.ready_opportunistic):
        for job_id, _, number in queue:
            job = state.jobs[job_id]
            need = _get_need(job.queue.service, job.request.steps[number])
            if need not in are_stranded:
                are_stranded[need] = not _is_met(need, entries)
            if are_stranded[need]:
                found[job_id] = None
    return found


def could_run(
    step: Step, service: str, entries: t.Iterable[WorkerEntry]
) -> bool:
    """Whether workers of a service could run a step if they were idle."""
    return _is_met(_get_need(service, step), entries)


def _get_need(service: str, step: Step) -> _Need:
    label, size = step.required_label, step.reserved
    if step.gang:
        return _Need(service, label, size, step.task_count, step.max_per_worker)
    return _Need(service, label, size)


def _is_met(need: _Need, entries: t.Iterable[WorkerEntry]) -> bool:
    """Whether some workers could run what is needed if they were idle."""
    missing_count = need.count
    for entry in entries:
        missing_count -= _count_fitting(need, entry)
        if missing_count <= 0:
            return True
    return False


def _count_fitting(need: _Need, entry: WorkerEntry) -> int:
    """Return how many of the needed tasks an idle worker could run."""
    if entry.service != need.service or entry.capacity is None:
        return 0
    if need.label and need.label not in entry.labels:
        return 0
    counts = [
        available // wanted
        for available, wanted in zip(
            attrs.astuple(entry.capacity), attrs.astuple(need.size), strict=True
        )
        if wanted > 0
    ]
    return min((*counts, need.max_per_worker or need.count, need.count))
