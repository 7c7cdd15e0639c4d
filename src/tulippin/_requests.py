"""Service requests: one outcome each, never a second run by mistake.

A ticket is one request, or one try of it, on this instance. An entry
ticket makes tries; a try goes to a cell's owner, and first to the
owner of the id's hash range if the request must run at most once.
"""

from __future__ import annotations

import collections
import functools
import typing as t

from tulippin import _worker_state
from tulippin import effects as fx
from tulippin._context import Context, get_range
from tulippin._dispatch import handle, receive, settle
from tulippin._observing import observe_request
from tulippin.events import EndpointReplied, RequestArrived
from tulippin.ledger import RequestEntry
from tulippin.messages import (
    RequestForwarded,
    RequestOutcome,
    RequestReturned,
    ServiceRequest,
)
from tulippin.records import RequestClosed, RequestOpened
from tulippin.state import (
    CallerOrigin,
    CellState,
    Origin,
    PeerOrigin,
    Phase,
    RangeState,
    Stage,
    Standing,
    Ticket,
    TicketOrigin,
    UnitState,
    WorkerState,
)
from tulippin.types import OutcomeKind, is_cell

_RETRY_PAUSE_MS = 50
_AVOID_MS = 1000
_HOP_MARGIN_MS = 120
_RETRY_AFTER_MS = 1000
_STORE_RETRY_AFTER_MS = 5000
_MAX_TOKENS = 100.0
# A cell whose owner was lost is served again within 6 s, and told of with the
# next gossip.
_TELLING_MS = 8000
_WAIT_CODES = frozenset(('moved', 'no_owner', 'leaving', 'fenced'))


def _not_run(
    code: str, retry_after_ms: int = _RETRY_AFTER_MS
) -> RequestOutcome:
    return RequestOutcome(
        OutcomeKind.NOT_RUN, code, retry_after_ms=retry_after_ms
    )


def _unknown(code: str) -> RequestOutcome:
    return RequestOutcome(OutcomeKind.UNKNOWN, code)


def _open_ticket(
    context: Context,
    origin: Origin,
    request: ServiceRequest,
    deadline_ms: int,
) -> Ticket:
    state = context.state
    number = state.next_ticket
    state.next_ticket += 1
    ticket = Ticket(number, origin, request, deadline_ms, context.now_ms)
    state.tickets[number] = ticket
    return ticket


def _open_child(context: Context, ticket: Ticket) -> Ticket:
    """Open the ticket of one try, which answers to its parent."""
    origin = TicketOrigin(ticket.ticket)
    return _open_ticket(context, origin, ticket.request, ticket.deadline_ms)


# --- arrival ----------------------------------------------------------------


@handle.register
def _(event: RequestArrived, context: Context) -> None:
    state = context.state
    state.counters['requests'] += 1
    if state.session.refusing or state.session.standing is Standing.LEFT:
        context.emit(fx.AnswerRequest(event.call_id, _not_run('stopping')))
        return
    state.retry_tokens = min(
        _MAX_TOKENS, state.retry_tokens + state.config.retry_budget_ratio
    )
    ticket = _open_ticket(
        context,
        CallerOrigin(event.call_id),
        event.request,
        event.request.deadline_ms,
    )
    _route(context, ticket)


def _route(context: Context, ticket: Ticket) -> None:
    """Make the next try of an entry ticket."""
    ticket.retry_at_ms = None
    ticket.try_count += 1
    ticket.stage = Stage.TRYING
    if context.now_ms >= ticket.deadline_ms:
        _finish(
            context, ticket, _downgrade(context, ticket, _not_run('deadline'))
        )
    elif ticket.request.repeatable or ticket.durable:
        _route_to_cell(context, ticket)
    else:
        _route_to_range(context, ticket)


def _route_to_range(context: Context, ticket: Ticket) -> None:
    config = context.state.config
    unit = get_range(ticket.request.request_id, config.range_count)
    home = context.state.ranges.get(unit)
    if home is not None:
        _open_durably(context, ticket, home)
    else:
        _forward(context, ticket, unit)


def _route_to_cell(context: Context, ticket: Ticket) -> None:
    unit = _pick_cell(context, ticket)
    if not unit:
        # A cell that changes hands serves again soon: the try is repeated,
        # while "no endpoint" would be final. 5 of 30 starts of two instances
        # beside load refused a request so.
        is_known = _is_told_of(context, ticket.request.service)
        code = 'moved' if is_known else 'no_endpoint'
        _child_done(context, ticket, _not_run(code))
        return
    ticket.try_unit = unit
    cell = context.state.cells.get(unit)
    if cell is None:
        _forward(context, ticket, unit)
        return
    _enqueue(context, _open_child(context, ticket), cell)


def _pick_cell(context: Context, ticket: Ticket) -> str:
    """Return an own cell with a free slot, or the freer of two others."""
    service = ticket.request.service
    known = dict(_iter_serving(context, service))
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


def _is_told_of(context: Context, service: str) -> bool:
    """Whether a cell had a task of a service a moment ago.

    While a cell changes hands nobody tells of it: its old owner has given
    it up, and the new one loads it.
    """
    told_ms = context.state.service_told_ms.get(service)
    return told_ms is not None and context.now_ms - told_ms < _TELLING_MS


def _iter_serving(
    context: Context, service: str
) -> t.Iterator[tuple[str, int]]:
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


def _forward(context: Context, ticket: Ticket, unit: str) -> None:
    """Make a try by the unit's owner on another instance."""
    holder = context.get_holder(unit)
    state = context.state
    reachable = holder is not None and holder.session_id in state.peers
    if holder is None or not reachable or not state.session.session_id:
        _child_done(context, ticket, _not_run('no_owner'))
        return
    if not context.is_heard(holder.session_id):
        _child_done(context, ticket, _not_run('owner_unreachable'))
        return
    child = _open_child(context, ticket)
    child.stage = Stage.FORWARDED
    child.unit = unit
    child.target_session = holder.session_id
    context.send(
        holder.session_id,
        RequestForwarded(
            child.ticket,
            unit,
            ticket.request,
            _get_hop_ms(context, ticket),
        ),
    )


def _get_hop_ms(context: Context, ticket: Ticket) -> int:
    """Return the time that the next instance has.

    It gives up a little earlier, so that its proof that a request did
    not run is back here in time.
    """
    remaining_ms = ticket.deadline_ms - context.now_ms
    return max(remaining_ms // 2, remaining_ms - _HOP_MARGIN_MS)


@receive.register
def _(message: RequestForwarded, sender: str, context: Context) -> None:
    deadline_ms = context.now_ms + message.remaining_ms
    ticket = _open_ticket(
        context,
        PeerOrigin(sender, message.call_id),
        message.request,
        deadline_ms,
    )
    unit = context.state.get_unit(message.unit)
    if isinstance(unit, CellState):
        _enqueue(context, ticket, unit)
    elif isinstance(unit, RangeState):
        _open_durably(context, ticket, unit)
    else:
        _finish(context, ticket, _not_run('moved'))


# --- at most once -----------------------------------------------------------


def _open_durably(context: Context, ticket: Ticket, home: RangeState) -> None:
    """Make a non-repeatable request durable before it is sent."""
    request_id = ticket.request.request_id
    known = _get_known(home, request_id)
    if not context.state.config.seams.deduplication:
        known = None
    if home.phase is Phase.LOADING:
        _child_done(context, ticket, _not_run('moved'))
    elif known is not None:
        _finish(context, ticket, _replay(known, ticket.request))
    elif request_id in home.request_tickets:
        _join(context, ticket, home)
    elif home.phase is not Phase.ACTIVE:
        _child_done(context, ticket, _not_run('moved'))
    elif not context.store_ready:
        outcome = _not_run('store_unavailable', _STORE_RETRY_AFTER_MS)
        _finish(context, ticket, _downgrade(context, ticket, outcome))
    else:
        ticket.stage = Stage.OPENING
        ticket.unit = home.unit
        ticket.epoch = home.epoch
        home.request_tickets[request_id] = ticket.ticket
        context.record(
            home,
            RequestOpened(
                request_id,
                ticket.request.digest,
                ticket.ticket,
                context.state.wall_ms,
            ),
        )


def _get_known(home: RangeState, request_id: str) -> RequestEntry | None:
    """Return what is known of an id that no ticket here works on."""
    if request_id in home.request_tickets:
        return None
    closing = home.closing.get(request_id)
    if closing is not None:
        not_run = closing.outcome is OutcomeKind.NOT_RUN
        return None if not_run else closing
    return home.ledger.requests.get(request_id)


def _join(context: Context, ticket: Ticket, home: RangeState) -> None:
    """Let a second call with the same id wait for the first's outcome."""
    first = context.state.tickets.get(
        home.request_tickets[ticket.request.request_id]
    )
    if first is None:
        _finish(context, ticket, _unknown('lost'))
    elif first.request.digest != ticket.request.digest:
        _finish(context, ticket, _not_run('id_reused', 0))
    else:
        ticket.stage = Stage.JOINED
        first.waiters.append(TicketOrigin(ticket.ticket))


def _replay(entry: RequestEntry, request: ServiceRequest) -> RequestOutcome:
    """Return the same answer again, or say that it is not known."""
    if entry.digest != request.digest:
        return _not_run('id_reused', 0)
    if entry.outcome is None:
        return _unknown('outcome_not_known')
    return RequestOutcome(entry.outcome, 'replayed', entry.status, entry.body)


@settle.register
def _(record: RequestOpened, unit: RangeState, context: Context) -> None:
    number = unit.request_tickets.get(record.request_id, 0)
    ticket = context.state.tickets.get(number)
    if ticket is None or number != record.ticket:
        # Given up before it was durable; its closing follows.
        return
    ticket.durable = True
    _route(context, ticket)


def _close_durably(
    context: Context, ticket: Ticket, outcome: RequestOutcome
) -> None:
    """Record how a durable request ended, if the range is still owned."""
    home = context.state.ranges.get(ticket.unit)
    if home is None or home.epoch != ticket.epoch:
        return
    request_id = ticket.request.request_id
    if home.request_tickets.get(request_id) != ticket.ticket:
        return
    del home.request_tickets[request_id]
    limit = context.state.config.kept_answer_bytes
    kind, body = outcome.kind, outcome.body
    if len(body) > limit:
        kind, body = OutcomeKind.UNKNOWN, ''
    home.closing[request_id] = RequestEntry(
        ticket.request.digest, 0, kind, outcome.status, body
    )
    context.record(home, RequestClosed(request_id, kind, outcome.status, body))


@settle.register
def _(record: RequestClosed, unit: RangeState, context: Context) -> None:
    closing = unit.closing.get(record.request_id)
    if closing is not None and closing.outcome is record.outcome:
        del unit.closing[record.request_id]


# --- on the cell's owner ----------------------------------------------------


def _enqueue(context: Context, ticket: Ticket, cell: CellState) -> None:
    """Queue a try for a slot on one of the cell's workers."""
    service = ticket.request.service
    ticket.unit = cell.unit
    if cell.phase is not Phase.ACTIVE or not context.may_serve:
        _finish(context, ticket, _not_run('moved'))
        return
    if service not in cell.endpoints:
        _finish(context, ticket, _not_run('no_endpoint'))
        return
    queue = cell.queues.setdefault(service, collections.deque())
    if len(queue) >= context.state.config.request_queue_limit:
        _finish(context, ticket, _not_run('overloaded'))
        return
    ticket.stage = Stage.QUEUED
    queue.append(ticket.ticket)
    pump(context, cell, service)


def pump_worker(context: Context, cell: CellState, worker: WorkerState) -> None:
    """Send what waits for the services of a worker."""
    for service, endpoints in list(cell.endpoints.items()):
        if worker.worker_id in endpoints.values():
            pump(context, cell, service)


def pump(context: Context, cell: CellState, service: str) -> None:
    """Send queued requests of a service while slots are free."""
    queue = cell.queues.get(service)
    if queue is None or cell.phase is not Phase.ACTIVE:
        return
    if not context.may_serve:
        return
    while queue:
        ticket = context.state.tickets.get(queue[0])
        if ticket is None or ticket.stage is not Stage.QUEUED:
            queue.popleft()
            continue
        if context.now_ms >= ticket.deadline_ms:
            queue.popleft()
            _finish(context, ticket, _not_run('deadline'))
            continue
        worker = _choose_endpoint(context, cell, service)
        if worker is None:
            return
        queue.popleft()
        _call(context, cell, worker, ticket)


def _choose_endpoint(
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


def _call(
    context: Context, cell: CellState, worker: WorkerState, ticket: Ticket
) -> None:
    ticket.stage = Stage.SENT
    ticket.worker_id = worker.worker_id
    ticket.epoch = cell.epoch
    ticket.sent_ms = context.now_ms
    worker.dispatched[ticket.ticket] = context.now_ms
    context.emit(
        fx.CallEndpoint(
            ticket.ticket,
            worker.worker_id,
            worker.info.address,
            cell.epoch,
            ticket.request,
            max(1, ticket.deadline_ms - context.now_ms),
        )
    )


@handle.register
def _(event: EndpointReplied, context: Context) -> None:
    ticket = context.state.tickets.get(event.dispatch_id)
    if ticket is None or ticket.stage is not Stage.SENT:
        return
    outcome = _check_answer(context, ticket, event)
    found = _worker_state.find_worker(context, ticket.worker_id)
    if found is not None:
        cell, worker = found
        sent = worker.dispatched.pop(ticket.ticket, None)
        if outcome.kind is OutcomeKind.UNKNOWN and sent is not None:
            # The endpoint may still hold the slot; the next report tells.
            worker.foreign_busy += 1
            worker.dirty = True
        if outcome.code == 'refused':
            worker.avoid_until_ms = context.now_ms + _AVOID_MS
            worker.hurry = True
        if event.endpoint_leaving:
            worker.leaving = True
            worker.hurry = True
        observe_request(context, cell, worker, ticket, event)
    _finish(context, ticket, outcome)
    if found is not None:
        pump_worker(context, cell, worker)


def _check_answer(
    context: Context, ticket: Ticket, event: EndpointReplied
) -> RequestOutcome:
    """Return the outcome, unknown if the answer is not whole or not ours."""
    outcome = event.outcome
    seams = context.state.config.seams
    if outcome.kind is OutcomeKind.UNKNOWN and not seams.not_run_proof:
        return _not_run('broken')
    if outcome.kind is not OutcomeKind.ANSWERED or not seams.answer_match:
        return outcome
    if event.request_id != ticket.request.request_id:
        return _unknown('mismatched')
    if event.body_bytes != len(outcome.body.encode()):
        return _unknown('truncated')
    return outcome


# --- outcomes ---------------------------------------------------------------


def _finish(context: Context, ticket: Ticket, outcome: RequestOutcome) -> None:
    """Give a ticket its outcome and tell everyone who waits for it."""
    context.state.tickets.pop(ticket.ticket, None)
    if ticket.stage is Stage.OPENING or ticket.durable:
        _close_durably(context, ticket, outcome)
    for origin in (ticket.origin, *ticket.waiters):
        answer(origin, context, outcome)


@functools.singledispatch
def answer(origin: Origin, context: Context, outcome: RequestOutcome) -> None:
    """Give an outcome to where the request came from."""
    raise NotImplementedError(type(origin))


@answer.register
def _(origin: CallerOrigin, context: Context, outcome: RequestOutcome) -> None:
    context.state.counters[f'requests_{outcome.kind.value}'] += 1
    context.emit(fx.AnswerRequest(origin.call_id, outcome))


@answer.register
def _(origin: PeerOrigin, context: Context, outcome: RequestOutcome) -> None:
    context.send(origin.session_id, RequestReturned(origin.call_id, outcome))


@answer.register
def _(origin: TicketOrigin, context: Context, outcome: RequestOutcome) -> None:
    parent = context.state.tickets.get(origin.ticket)
    if parent is not None:
        _child_done(context, parent, outcome)


@receive.register
def _(message: RequestReturned, sender: str, context: Context) -> None:
    ticket = context.state.tickets.get(message.call_id)
    if ticket is None or ticket.stage is not Stage.FORWARDED:
        return
    if ticket.target_session == sender:
        _finish(context, ticket, message.outcome)


def _child_done(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> None:
    """Decide after a try: it is final, or another try is made."""
    if outcome.kind in {OutcomeKind.ANSWERED, OutcomeKind.FAILED}:
        _finish(context, parent, outcome)
        return
    if not isinstance(parent.origin, CallerOrigin) and not parent.durable:
        _finish(context, parent, outcome)
        return
    if outcome.kind is OutcomeKind.UNKNOWN:
        parent.last_outcome = outcome
    if _may_retry(context, parent, outcome):
        parent.retry_at_ms = context.now_ms + _RETRY_PAUSE_MS
        return
    _finish(context, parent, _downgrade(context, parent, outcome))


def _downgrade(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> RequestOutcome:
    """Never say "not run" if an earlier try may have run."""
    proved = context.state.config.seams.not_run_proof
    earlier = parent.last_outcome
    if earlier is not None and outcome.kind is OutcomeKind.NOT_RUN and proved:
        return earlier
    return outcome


def _may_retry(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> bool:
    state = context.state
    if context.now_ms + _RETRY_PAUSE_MS >= parent.deadline_ms:
        return False
    if outcome.kind is OutcomeKind.NOT_RUN:
        if outcome.code in _WAIT_CODES:
            return True
        if not _has_other_cell(context, parent, outcome):
            return False
    elif not _is_safe_again(parent, outcome):
        return False
    if state.retry_tokens < 1:
        state.counters['retries_denied'] += 1
        return False
    state.retry_tokens -= 1
    state.counters['retries'] += 1
    return True


def _has_other_cell(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> bool:
    """Tell whether a refused request may find room elsewhere."""
    if outcome.code == 'refused':
        return True
    if outcome.code != 'overloaded':
        return False
    parent.full_cells.add(parent.try_unit)
    return any(
        unit not in parent.full_cells
        for unit, _ in _iter_serving(context, parent.request.service)
    )


def _is_safe_again(parent: Ticket, outcome: RequestOutcome) -> bool:
    """Tell whether a request whose last try may have run may run again.

    The way to the hash range's owner is safe to go again: the owner
    knows the id.
    """
    if parent.request.repeatable:
        return True
    return not parent.durable and outcome.code == 'peer_lost'


def fail_message(message: object, session_id: str, context: Context) -> None:
    """Note that a message to a peer may not have arrived."""
    if not isinstance(message, RequestForwarded):
        return
    ticket = context.state.tickets.get(message.call_id)
    if ticket is not None and ticket.stage is Stage.FORWARDED:
        _finish(context, ticket, _unknown('peer_lost'))


def lose_peer(context: Context, session_id: str) -> None:
    """End the tries that a session which is over had in hand."""
    for ticket in list(context.state.tickets.values()):
        forwarded = ticket.stage is Stage.FORWARDED
        if forwarded and ticket.target_session == session_id:
            _finish(context, ticket, _unknown('peer_lost'))


def leave_unit(context: Context, unit: UnitState) -> None:
    """Let go of the requests that wait on a unit that is given up.

    Requests that are at an endpoint stay: their answers still count.
    """
    for ticket in list(context.state.tickets.values()):
        if ticket.unit != unit.unit:
            continue
        if ticket.stage is Stage.QUEUED:
            _finish(context, ticket, _not_run('moved'))
        elif ticket.stage is Stage.OPENING and not is_cell(unit.unit):
            ticket.unit = ''
            _finish(context, ticket, _not_run('session_lost'))


def tick(context: Context) -> None:
    """Make the tries that are due and end what is out of time."""
    for ticket in list(context.state.tickets.values()):
        if ticket.ticket not in context.state.tickets:
            continue
        if ticket.retry_at_ms is not None:
            if context.now_ms >= ticket.retry_at_ms:
                _route(context, ticket)
        elif context.now_ms >= ticket.deadline_ms:
            _expire(context, ticket)
    if context.may_serve:
        for cell in context.state.cells.values():
            for service in list(cell.queues):
                pump(context, cell, service)


def _expire(context: Context, ticket: Ticket) -> None:
    if ticket.stage is Stage.QUEUED:
        _finish(context, ticket, _not_run('deadline'))
    elif ticket.stage is Stage.FORWARDED or ticket.stage is Stage.JOINED:
        _finish(context, ticket, _unknown('deadline'))
    elif ticket.stage is Stage.OPENING:
        # It is not sent before its opening is durable: it did not run.
        _finish(context, ticket, _not_run('deadline'))
