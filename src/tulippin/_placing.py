"""Feasibility, reservations and the choice of a worker."""

from __future__ import annotations

from tulippin import _worker_state
from tulippin._context import Context
from tulippin.policies import Candidate, rank
from tulippin.state import CellState, WorkerState
from tulippin.trial import get_policy
from tulippin.types import URGENT_PRIORITY, JobKind, JobSpec, Resources

Choice = tuple[WorkerState, Resources, str]


def choose_worker(
    context: Context, cell: CellState, spec: JobSpec
) -> Choice | None:
    """Return the worker that the cell's policy likes best, or nothing.

    Only workers with room for the larger of the declared and the
    learned size are shown to the policy.
    """
    state = context.state
    reserved = get_reservation(context, spec)
    candidates = [
        make_candidate(worker)
        for worker in cell.workers.values()
        if _is_feasible(context, worker, reserved)
    ]
    if spec.kind is JobKind.SERVICE:
        candidates = _spread(spec, candidates)
    name = cell.unit.partition('/')[2]
    policy_name, policy, _ = get_policy(
        state.bundle, name, state.wall_ms, state.stats.stopped
    )
    chosen = rank(policy, spec, candidates, state.model, state.random)
    if chosen is None:
        return None
    return cell.workers[chosen.worker_id], reserved, policy_name


def _spread(spec: JobSpec, candidates: list[Candidate]) -> list[Candidate]:
    """Keep the workers with the fewest tasks of the same service."""
    counts = [
        candidate.services.get(spec.job_class, 0) for candidate in candidates
    ]
    least = min(counts, default=0)
    return [
        candidate
        for candidate, count in zip(candidates, counts, strict=True)
        if count == least
    ]


def get_reservation(context: Context, spec: JobSpec) -> Resources:
    """Return the larger of what a job declares and what is learned."""
    learned = context.state.sizes.get_size(spec.job_class)
    return spec.size.largest(learned)


def _is_feasible(
    context: Context, worker: WorkerState, reserved: Resources
) -> bool:
    if not _worker_state.is_placeable(context, worker):
        return False
    if not context.state.config.seams.capacity:
        return True
    return worker.free.fits(reserved)


def make_candidate(worker: WorkerState) -> Candidate:
    """Return a worker as a policy sees it, at a cost free of its tasks."""
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
    """Return the worker where making room costs the fewest evictions."""
    need = get_reservation(context, spec)
    best: tuple[int, str, list[str]] | None = None
    for worker in cell.workers.values():
        if not _worker_state.is_placeable(context, worker):
            continue
        victims = _find_victims(cell, worker, spec, need)
        if victims is None:
            continue
        choice = (len(victims), worker.worker_id, victims)
        best = choice if best is None else min(best, choice)
    if best is None:
        return None
    return cell.workers[best[1]], best[2]


def _find_victims(
    cell: CellState, worker: WorkerState, spec: JobSpec, need: Resources
) -> list[str] | None:
    """Return what to evict on one worker, lowest priority first."""
    free = worker.free
    for task_id in worker.stopping:
        entry = cell.ledger.attempts.get(task_id)
        if entry is not None:
            free = free.add(entry.reserved)
    victims: list[str] = []
    for task_id in iter_evictable(cell, worker, spec.priority):
        if free.fits(need):
            break
        free = free.add(cell.ledger.attempts[task_id].reserved)
        victims.append(task_id)
    return victims if free.fits(need) else None


def iter_evictable(
    cell: CellState, worker: WorkerState, priority: int
) -> list[str]:
    """Return batch attempts below a priority, cheapest to lose first."""
    found = []
    for task_id in worker.started - set(worker.stopping):
        entry = cell.ledger.attempts.get(task_id)
        if entry is None or entry.outcome is not None:
            continue
        if entry.spec.kind is JobKind.SERVICE:
            continue
        below = min(priority, URGENT_PRIORITY)
        if entry.spec.priority < below:
            lost_ms = worker.unsaved_ms.get(task_id, 0)
            found.append((entry.spec.priority, lost_ms, task_id))
    return [task_id for _, _, task_id in sorted(found)]
