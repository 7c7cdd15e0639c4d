"""Queries and updates of the state of one worker of an owned cell."""

from __future__ import annotations

import collections

from tulippin._context import Context
from tulippin.state import CellState, Safeguards, WorkerState
from tulippin.types import JobKind, JobSpec, Resources, WorkerStanding

_CLOCK_DRIFT_DIVISOR = 50


def get_initial_lapse_ms(context: Context, cell: CellState) -> int:
    """Return when all leases from former owners of the cell have lapsed.

    A predecessor that lost the store may have renewed its workers' leases
    for up to ``detached_limit_ms``.
    """
    config = context.state.config
    bound_ms = context.now_ms + get_lease_bound_ms(context)
    if cell.predecessor and not cell.predecessor_gone:
        bound_ms += config.detached_limit_ms
    return bound_ms


def get_lease_bound_ms(context: Context) -> int:
    """Return the longest duration of a lease, including clock drift."""
    config = context.state.config
    lease_ms = config.worker_lease_ms
    return lease_ms + lease_ms // _CLOCK_DRIFT_DIVISOR + config.lease_margin_ms


def reserve(
    worker: WorkerState, task_id: str, spec: JobSpec, reserved: Resources
) -> None:
    """Reserve capacity for an attempt and count it by its job class."""
    worker.attempts.add(task_id)
    worker.reserved = worker.reserved.add(reserved)
    get_class_counts(worker, spec)[spec.job_class] += 1


def release(
    worker: WorkerState, task_id: str, spec: JobSpec, reserved: Resources
) -> None:
    """Release the capacity reserved for an attempt."""
    if task_id in worker.attempts:
        worker.attempts.discard(task_id)
        worker.reserved = worker.reserved.subtract(reserved)
        counts = get_class_counts(worker, spec)
        counts[spec.job_class] -= 1
        if not counts[spec.job_class]:
            del counts[spec.job_class]
    worker.started.discard(task_id)
    worker.throttled.discard(task_id)
    worker.stopping.pop(task_id, None)


def get_class_counts(
    worker: WorkerState, spec: JobSpec
) -> collections.Counter[str]:
    """Return a worker's attempts by job class, for the kind of a job."""
    service = spec.kind is JobKind.SERVICE
    return worker.service_counts if service else worker.batch_counts


def is_leaving(worker: WorkerState, seams: Safeguards) -> bool:
    """Return whether a worker is leaving and must get no new work."""
    if not seams.drain:
        return False
    listed = worker.info.standing is WorkerStanding.LEAVING
    return worker.leaving or worker.absent or listed


def is_responsive(context: Context, worker: WorkerState) -> bool:
    """Return whether a worker has replied within ``worker_suspect_ms``."""
    silent_ms = context.now_ms - worker.last_reply_ms
    return (
        worker.last_reply_ms >= 0
        and silent_ms < context.state.config.worker_suspect_ms
    )


def is_placeable(context: Context, worker: WorkerState) -> bool:
    """Return whether a worker may get new attempts."""
    return (
        is_responsive(context, worker)
        and not worker.lost
        and not is_leaving(worker, context.state.config.seams)
        and context.now_ms >= worker.quarantined_until_ms
    )


def is_serving(context: Context, worker: WorkerState) -> bool:
    """Return whether a worker may get new requests.

    Quarantine stops new attempts only, not requests.
    """
    return (
        is_responsive(context, worker)
        and not worker.lost
        and not is_leaving(worker, context.state.config.seams)
    )


def remove_endpoint(cell: CellState, service: str, task_id: str) -> None:
    """Remove a task from the endpoints of its service."""
    endpoints = cell.endpoints.get(service)
    if endpoints is not None:
        endpoints.pop(task_id, None)
        if not endpoints:
            del cell.endpoints[service]


def evict(
    context: Context, cell: CellState, worker: WorkerState, task_id: str
) -> None:
    """Request that the worker checkpoint and stop an attempt."""
    if worker.stopping.setdefault(task_id, 'evicted') == 'evicted':
        worker.needs_urgent_sync = True


def find_worker(
    context: Context, worker_id: str
) -> tuple[CellState, WorkerState] | None:
    """Return a worker of an owned cell, with the cell."""
    info = context.state.workers.get(worker_id)
    if info is not None:
        cell = context.state.cells.get(f'cell/{info.cell}')
        if cell is not None and worker_id in cell.workers:
            return cell, cell.workers[worker_id]
    for cell in context.state.cells.values():
        if worker_id in cell.workers:
            return cell, cell.workers[worker_id]
    return None
