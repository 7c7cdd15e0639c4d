"""Size-limited dump of an instance's state for its operators."""

from __future__ import annotations

import itertools
import typing as t

from tulippin.state import CellState, RangeState, State

ITEM_LIMIT: t.Final = 200


def _limit(items: t.Mapping[str, t.Any]) -> dict[str, t.Any]:
    """Return the first items by key, and the number of omitted ones."""
    shown = dict(itertools.islice(sorted(items.items()), ITEM_LIMIT))
    if len(items) > ITEM_LIMIT:
        shown['(left out)'] = len(items) - ITEM_LIMIT
    return shown


def dump_state(state: State) -> dict[str, t.Any]:
    """Return the state as plain values that JSON can represent.

    Each collection is limited to ``ITEM_LIMIT`` items.
    """
    session = state.session
    journal = state.journal
    return {
        'instance_id': state.config.instance_id,
        'failure_domain': state.config.failure_domain,
        'now_ms': state.now_ms,
        'session': {
            'session_id': session.session_id,
            'standing': session.standing.value,
            'renewed_ms': session.renewed_ms,
            'renewal_count': session.renewal_count,
            'store_reachable': session.store_reachable,
            'stopping_since_ms': session.stopping_since_ms,
        },
        'peers': _limit(
            {
                session_id: {
                    'instance_id': peer.lease.instance_id,
                    'failure_domain': peer.lease.failure_domain,
                    'silent_ms': state.now_ms - peer.lease_changed_ms,
                    'bundle_number': peer.bundle_number,
                    'store_reachable': peer.store_reachable,
                    'leaving': peer.leaving,
                    'cell_count': len(peer.summaries),
                }
                for session_id, peer in state.peers.items()
            }
        ),
        'ownership': {
            'version': state.ownership_version,
            'units': _limit(
                {
                    unit: f'{holder.session_id}@{holder.epoch}'
                    for unit, holder in state.ownership.units.items()
                }
            ),
        },
        'journal': {
            'sequence': journal.sequence,
            'snapshot_sequence': journal.snapshot_sequence,
            'pending_count': len(journal.pending),
            'in_flight_count': len(journal.in_flight),
        },
        'bundle': {
            'number': state.bundle_number,
            'name': state.bundle.name if state.bundle else '',
            'state': state.bundle_state,
            'stopped_policies': sorted(state.stats.stopped),
        },
        'cells': _limit(
            {unit: _dump_cell(cell) for unit, cell in state.cells.items()}
        ),
        'ranges': _limit(
            {
                unit: _dump_range(range_state)
                for unit, range_state in state.ranges.items()
            }
        ),
        'tickets': _limit(
            {
                str(number): {
                    'request_id': ticket.request.request_id,
                    'service': ticket.request.service,
                    'stage': ticket.stage.value,
                    'unit': ticket.unit,
                    'worker_id': ticket.worker_id,
                    'try_count': ticket.try_count,
                }
                for number, ticket in state.tickets.items()
            }
        ),
        'learned': {
            'slowdown': _limit(state.model.weights),
            'sizes': _limit(
                {
                    name: {
                        'cpu_millicores': round(size.cpu_millicores),
                        'memory_mb': round(size.memory_mb),
                        'sample_count': size.sample_count,
                    }
                    for name, size in state.sizes.classes.items()
                }
            ),
        },
        'retry_tokens': round(state.retry_tokens, 3),
        'counters': dict(sorted(state.counters.items())),
    }


def _dump_cell(cell: CellState) -> dict[str, t.Any]:
    return {
        'epoch': cell.epoch,
        'phase': cell.phase.value,
        'attempt_count': len(cell.ledger.attempts),
        'placing_count': len(cell.placing),
        'waiting_count': len(cell.waiting),
        'refused_count': len(cell.refused),
        'queued': {name: len(queue) for name, queue in cell.queues.items()},
        'endpoints': {
            name: len(endpoints) for name, endpoints in cell.endpoints.items()
        },
        'workers': _limit(
            {
                worker_id: {
                    'incarnation': worker.incarnation,
                    'last_reply_ms': worker.last_reply_ms,
                    'lapse_ms': worker.lapse_ms,
                    'lost': worker.lost,
                    'leaving': worker.leaving,
                    'absent': worker.absent,
                    'reserved_cpu_millicores': worker.reserved.cpu_millicores,
                    'reserved_memory_mb': worker.reserved.memory_mb,
                    'capacity_cpu_millicores': (
                        worker.info.capacity.cpu_millicores
                    ),
                    'attempt_count': len(worker.attempts),
                    'throttled_count': len(worker.throttled),
                    'free_slots': worker.free_slots,
                    'foreign_busy': worker.foreign_busy,
                    'pressure': round(worker.pressure, 3),
                    'quarantined_until_ms': worker.quarantined_until_ms,
                }
                for worker_id, worker in cell.workers.items()
            }
        ),
    }


def _dump_range(range_state: RangeState) -> dict[str, t.Any]:
    return {
        'epoch': range_state.epoch,
        'phase': range_state.phase.value,
        'job_count': len(range_state.ledger.jobs),
        'request_count': len(range_state.ledger.requests),
        'queued_count': len(range_state.queue),
        'offer_count': len(range_state.offers),
        'open_request_count': len(range_state.request_tickets),
    }
