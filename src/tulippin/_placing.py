"""Choice of a worker for an attempt, and of attempts to evict for it."""

from __future__ import annotations

from tulippin import _worker_state
from tulippin._context import Context
from tulippin.policies import Candidate, choose_candidate
from tulippin.state import CellState, WorkerState
from tulippin.trial import get_policy
from tulippin.types import URGENT_PRIORITY, JobKind, JobSpec, Resources

Choice = tuple[WorkerState, Resources, str]


def choose_worker(
    context: Context, cell: CellState, spec: JobSpec
) -> Choice | None:
    """Return the worker that the cell's policy ranks first, if any fits.

    The result also holds the reservation and the name of the policy. The
    policy sees only workers with free capacity for the larger of the
    declared and the learned size.
    """
    state = context.state
    reserved = get_reservation(context, spec)
    candidates = [
        make_candidate(worker)
        for worker in cell.workers.values()
        if _is_feasible(context, worker, reserved)
    ]
    if spec.kind is JobKind.SERVICE:
        candidates = _keep_least_used(spec, candidates)
    name = cell.unit.partition('/')[2]
    policy_name, policy, _ = get_policy(
        state.bundle, name, state.wall_ms, state.stats.stopped
    )
    chosen = choose_candidate(
        policy, spec, candidates, state.model, state.random
    )
    if chosen is None:
        return None
    return cell.workers[chosen.worker_id], reserved, policy_name


def _keep_least_used(
    spec: JobSpec, candidates: list[Candidate]
) -> list[Candidate]:
    """Keep the workers with the fewest tasks of the same service."""
    counts = [
        candidate.services.get(spec.job_class, 0) for candidate in candidates
    ]
    fewest = min(counts, default=0)
    return [
        candidate
        for candidate, count in zip(candidates, counts, strict=True)
        if count == fewest
    ]


def get_reservation(context: Context, spec: JobSpec) -> Resources:
    """Return the larger of a job's declared and learned sizes."""
    learned = context.state.sizes.get_size(spec.job_class)
    return spec.size.elementwise_max(learned)


def _is_feasible(
    context: Context, worker: WorkerState, reserved: Resources
) -> bool:
    if not _worker_state.is_placeable(context, worker):
        return False
    if not context.state.config.seams.capacity:
        return True
    return worker.free.fits(reserved)


def make_candidate(worker: WorkerState) -> Candidate:
    """Return a worker as a policy sees it.

    The cost does not depend on the number of the worker's tasks.
    """
    return Candidate(
        worker.worker_id,
        worker.info.capacity,
        worker.free,
        worker.service_counts,
        worker.batch_counts,
    )


def choose_victims(
    context: Context, cell: CellState, spec: JobSpec
) -> tuple[WorkerState, list[str]] | None:
    """Return the worker with the fewest evictions needed, and the victims.

    The result is ``None`` if evictions free enough capacity nowhere.
    """
    needed = get_reservation(context, spec)
    best: tuple[int, str, list[str]] | None = None
    for worker in cell.workers.values():
        if not _worker_state.is_placeable(context, worker):
            continue
        victims = _find_victims(cell, worker, spec, needed)
        if victims is None:
            continue
        choice = (len(victims), worker.worker_id, victims)
        best = choice if best is None else min(best, choice)
    if best is None:
        return None
    return cell.workers[best[1]], best[2]


def _find_victims(
    cell: CellState, worker: WorkerState, spec: JobSpec, needed: Resources
) -> list[str] | None:
    """Return the attempts to evict on one worker, lowest priority first.

    Attempts that are already stopping count as free. The result is
    ``None`` if evictions cannot free enough capacity.
    """
    free = worker.free
    for task_id in worker.stopping:
        entry = cell.ledger.attempts.get(task_id)
        if entry is not None:
            free = free.add(entry.reserved)
    victims: list[str] = []
    for task_id in find_evictable(cell, worker, spec.priority):
        if free.fits(needed):
            break
        free = free.add(cell.ledger.attempts[task_id].reserved)
        victims.append(task_id)
    return victims if free.fits(needed) else None


def find_evictable(
    cell: CellState, worker: WorkerState, priority: int
) -> list[str]:
    """Return a worker's evictable batch attempts limit a priority.

    They are sorted by priority, then by the progress that eviction would
    lose. Urgent attempts are never evictable.
    """
    evictable = []
    for task_id in worker.started - set(worker.stopping):
        entry = cell.ledger.attempts.get(task_id)
        if entry is None or entry.outcome is not None:
            continue
        if entry.spec.kind is JobKind.SERVICE:
            continue
        limit = min(priority, URGENT_PRIORITY)
        if entry.spec.priority < limit:
            lost_ms = worker.unsaved_progress_ms.get(task_id, 0)
            evictable.append((entry.spec.priority, lost_ms, task_id))
    return [task_id for _, _, task_id in sorted(evictable)]
