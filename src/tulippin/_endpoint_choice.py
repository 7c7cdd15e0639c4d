"""Choice of a cell and of a worker for a service request."""

from __future__ import annotations

import typing as t

from tulippin import _worker_state
from tulippin._context import Context
from tulippin.state import CellState, Phase, Ticket, WorkerState

# A cell whose owner was lost serves again within 6 s, and the next gossip
# reports its services.
_RECENTLY_SERVED_MS = 8000


def pick_cell(context: Context, ticket: Ticket) -> str:
    """Return the cell for the next try of a request, or an empty string.

    Cells of this instance with a free slot come first. Among the
    candidates, two are drawn at random and the one with more free slots
    is taken. Cells that were full at an earlier try are used only if
    there is no other.
    """
    service = ticket.request.service
    free_slots = dict(iter_serving(context, service))
    not_full = [
        unit for unit in free_slots if unit not in ticket.overloaded_cells
    ]
    names = sorted(not_full or free_slots)
    own = [
        unit
        for unit in names
        if unit in context.state.cells and free_slots[unit] > 0
    ]
    if own:
        names = own
    if len(names) > 2:
        names = context.state.random.sample(names, 2)
    return max(names, key=lambda unit: free_slots[unit], default='')


def was_recently_served(context: Context, service: str) -> bool:
    """Return whether a cell was reported to serve a service recently.

    While a cell changes owners, no instance reports its services: the old
    owner has released it, and the new one is still loading it.
    """
    reported_ms = context.state.service_reported_ms.get(service)
    return (
        reported_ms is not None
        and context.now_ms - reported_ms < _RECENTLY_SERVED_MS
    )


def iter_serving(context: Context, service: str) -> t.Iterator[tuple[str, int]]:
    """Yield the cells that serve a service, each with its free slots.

    Queued requests are subtracted, so that a count may be negative.
    """
    for session_id, peer in context.state.peers.items():
        if not context.is_responsive(session_id):
            continue
        for summary in peer.summaries.values():
            holder = context.get_holder(summary.unit)
            is_current = holder is not None and holder.epoch == summary.epoch
            if service in summary.services and is_current:
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
    """Return the worker of the service with the most free slots, if any.

    The pressure decides between equals. A worker that has just refused a
    request is skipped.
    """
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
        and context.now_ms >= worker.backoff_until_ms
    ]
    return min(
        free,
        key=lambda worker: (-worker.free_slots, worker.pressure),
        default=None,
    )
