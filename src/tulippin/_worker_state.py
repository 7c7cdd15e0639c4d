"""What may be asked and done of one worker of an owned cell."""

from __future__ import annotations

import collections

from tulippin._context import Context
from tulippin.state import CellState, Seams, WorkerState
from tulippin.types import JobKind, JobSpec, Resources, WorkerStanding

_DRIFT_DIVISOR = 50


def get_first_lapse_ms(context: Context, cell: CellState) -> int:
    """Return when every lease given by former owners has surely lapsed.

    A predecessor that lost the store may have kept its workers' leases
    alive for as long as ``detached_limit_ms``.
    """
    config = context.state.config
    bound_ms = context.now_ms + get_lease_bound_ms(context)
    if cell.predecessor and not cell.predecessor_gone:
        bound_ms += config.detached_limit_ms
    return bound_ms


def get_lease_bound_ms(context: Context) -> int:
    """Return how long a lease may last, drift of clocks included."""
    config = context.state.config
    lease_ms = config.worker_lease_ms
    return lease_ms + lease_ms // _DRIFT_DIVISOR + config.lease_margin_ms


def hold(
    worker: WorkerState, task_id: str, spec: JobSpec, reserved: Resources
) -> None:
    """Reserve room for an attempt, and count it by its class."""
    worker.attempts.add(task_id)
    worker.reserved = worker.reserved.add(reserved)
    get_class_counts(worker, spec)[spec.job_class] += 1


def release(
    worker: WorkerState, task_id: str, spec: JobSpec, reserved: Resources
) -> None:
    """Give back the room of an attempt."""
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
    """Return the counts that a job's attempts on a worker belong to."""
    service = spec.kind is JobKind.SERVICE
    return worker.service_counts if service else worker.batch_counts


def is_leaving(worker: WorkerState, seams: Seams) -> bool:
    """Tell whether a worker is to get nothing new."""
    if not seams.drain:
        return False
    listed = worker.info.standing is WorkerStanding.LEAVING
    return worker.leaving or worker.absent or listed


def is_fresh(context: Context, worker: WorkerState) -> bool:
    """Tell whether a worker has replied lately."""
    silent_ms = context.now_ms - worker.last_reply_ms
    return (
        worker.last_reply_ms >= 0
        and silent_ms < context.state.config.worker_suspect_ms
    )


def is_placeable(context: Context, worker: WorkerState) -> bool:
    """Tell whether a worker may get new attempts."""
    return (
        is_fresh(context, worker)
        and not worker.lost
        and not is_leaving(worker, context.state.config.seams)
        and context.now_ms >= worker.quarantined_until_ms
    )


def is_serving(context: Context, worker: WorkerState) -> bool:
    """Tell whether a worker may get new requests."""
    return (
        is_fresh(context, worker)
        and not worker.lost
        and not is_leaving(worker, context.state.config.seams)
    )


def remove_endpoint(cell: CellState, service: str, task_id: str) -> None:
    """Take a service's task out of the endpoints."""
    endpoints = cell.endpoints.get(service)
    if endpoints is not None:
        endpoints.pop(task_id, None)
        if not endpoints:
            del cell.endpoints[service]


def evict(
    context: Context, cell: CellState, worker: WorkerState, task_id: str
) -> None:
    """Have an attempt checkpointed and stopped."""
    if worker.stopping.setdefault(task_id, 'evicted') == 'evicted':
        worker.hurry = True


def find_worker(
    context: Context, worker_id: str
) -> tuple[CellState, WorkerState] | None:
    """Return an owned worker with its cell."""
    info = context.state.workers.get(worker_id)
    if info is not None:
        cell = context.state.cells.get(f'cell/{info.cell}')
        if cell is not None and worker_id in cell.workers:
            return cell, cell.workers[worker_id]
    for cell in context.state.cells.values():
        if worker_id in cell.workers:
            return cell, cell.workers[worker_id]
    return None
