"""Where a service is served: cells with free slots, and their workers."""

from __future__ import annotations

import typing as t

from tulippin import _worker_state
from tulippin._context import Context
from tulippin.state import CellState, Phase, Ticket, WorkerState

# A cell whose owner was lost is served again within 6 s, and told of with the
# next gossip.
_TELLING_MS = 8000


def pick_cell(context: Context, ticket: Ticket) -> str:
    """Return an own cell with a free slot, or the freer of two others."""
    service = ticket.request.service
    known = dict(iter_serving(context, service))
    fresh = [unit for unit in known if unit not in ticket.full_cells]
    names = sorted(fresh or known)
    own = [
        unit
        for unit in names
        if unit in context.state.cells and known[unit] > 0
    ]
    if own:
        names = own
    if len(names) > 2:
        names = context.state.random.sample(names, 2)
    return max(names, key=lambda unit: known[unit], default='')


def is_told_of(context: Context, service: str) -> bool:
    """Whether a cell had a task of a service a moment ago.

    While a cell changes hands nobody tells of it: its old owner has given
    it up, and the new one loads it.
    """
    told_ms = context.state.service_told_ms.get(service)
    return told_ms is not None and context.now_ms - told_ms < _TELLING_MS


def iter_serving(context: Context, service: str) -> t.Iterator[tuple[str, int]]:
    """Yield the cells that serve a service, each with its free slots."""
    for session_id, peer in context.state.peers.items():
        if not context.is_heard(session_id):
            continue
        for summary in peer.summaries.values():
            holder = context.get_holder(summary.unit)
            current = holder is not None and holder.epoch == summary.epoch
            if service in summary.services and current:
                yield summary.unit, summary.services[service]
    for cell in context.state.cells.values():
        if cell.phase is Phase.ACTIVE and service in cell.endpoints:
            free = sum(
                cell.workers[worker_id].free_slots
                for worker_id in set(cell.endpoints[service].values())
                if _worker_state.is_serving(context, cell.workers[worker_id])
            )
            yield cell.unit, free - len(cell.queues.get(service, ()))


def choose_endpoint(
    context: Context, cell: CellState, service: str
) -> WorkerState | None:
    """Return the worker of the service with the most free slots."""
    workers = [
        cell.workers[worker_id]
        for worker_id in sorted(set(cell.endpoints.get(service, {}).values()))
        if worker_id in cell.workers
    ]
    free = [
        worker
        for worker in workers
        if _worker_state.is_serving(context, worker)
        and worker.free_slots > 0
        and context.now_ms >= worker.avoid_until_ms
    ]
    return min(
        free,
        key=lambda worker: (-worker.free_slots, worker.pressure),
        default=None,
    )
