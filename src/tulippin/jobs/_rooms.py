"""What a unit's owner tells others of its workers' room."""

from __future__ import annotations

from tulippin.jobs import _feasibility
from tulippin.jobs.records import UnitRoom
from tulippin.jobs.state import SchedulerState, Worker
from tulippin.types import Resources


def measure(state: SchedulerState) -> UnitRoom:
    """Return what open workers hold and what is asked of them."""
    opened = [
        worker
        for worker in state.workers.values()
        if _feasibility.takes_work(worker, state)
    ]
    return UnitRoom(
        sum(one.entry.capacity.cpu_millicores for one in opened),
        sum(one.reserved.cpu_millicores for one in opened)
        + _sum_waiting(state, is_idle=False),
        sum(_sum_running(one) for one in opened)
        + _sum_waiting(state, is_idle=True),
        max(
            (one.free for one in opened),
            key=lambda free: free.cpu_millicores,
            default=Resources(),
        ),
        _get_labels(opened),
    )


def _sum_running(worker: Worker) -> int:
    return sum(
        attempt.step.size.cpu_millicores for attempt in worker.fillers.values()
    )


def _sum_waiting(state: SchedulerState, *, is_idle: bool) -> int:
    queue = state.ready_idle if is_idle else state.ready
    total = 0
    for kind, tasks in queue.items():
        step = state.jobs[kind[0]].request.steps[kind[2]]
        total += len(tasks) * step.size.cpu_millicores
    return total


def _get_labels(workers: list[Worker]) -> tuple[str, ...]:
    """Return the labels of workers, but for their racks."""
    labels = {label for one in workers for label in one.entry.labels}
    return tuple(sorted(labels - {one.entry.rack for one in workers}))
