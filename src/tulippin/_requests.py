"""Service requests: one outcome each, never a second run by mistake.

A ticket is one request, or one try of it, on this instance. An entry
ticket makes tries; a try goes to a cell's owner, and first to the
owner of the id's hash range if the request must run at most once.
"""

from __future__ import annotations

import collections
import functools

from tulippin import _proofs, _serving, _worker_state
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

_AVOID_MS = 1000
_HOP_MARGIN_MS = 120
_STORE_RETRY_AFTER_MS = 5000
_MAX_TOKENS = 100.0


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
        context.emit(
            fx.AnswerRequest(event.call_id, _proofs.make_not_run('stopping'))
        )
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
        outcome = _proofs.make_not_run('deadline')
        _finish(context, ticket, _proofs.downgrade(context, ticket, outcome))
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
    unit = _serving.pick_cell(context, ticket)
    if not unit:
        # A cell that changes hands serves again soon: the try is repeated,
        # while "no endpoint" would be final. 5 of 30 starts of two instances
        # beside load refused a request so.
        is_known = _serving.is_told_of(context, ticket.request.service)
        code = 'moved' if is_known else 'no_endpoint'
        _child_done(context, ticket, _proofs.make_not_run(code))
        return
    ticket.try_unit = unit
    cell = context.state.cells.get(unit)
    if cell is None:
        _forward(context, ticket, unit)
        return
    _enqueue(context, _open_child(context, ticket), cell)


def _forward(context: Context, ticket: Ticket, unit: str) -> None:
    """Make a try by the unit's owner on another instance."""
    holder = context.get_holder(unit)
    state = context.state
    reachable = holder is not None and holder.session_id in state.peers
    if holder is None or not reachable or not state.session.session_id:
        _child_done(context, ticket, _proofs.make_not_run('no_owner'))
        return
    if not context.is_heard(holder.session_id):
        _child_done(context, ticket, _proofs.make_not_run('owner_unreachable'))
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
        _finish(context, ticket, _proofs.make_not_run('moved'))


# --- at most once -----------------------------------------------------------


def _open_durably(context: Context, ticket: Ticket, home: RangeState) -> None:
    """Make a non-repeatable request durable before it is sent."""
    request_id = ticket.request.request_id
    known = _get_known(home, request_id)
    if not context.state.config.seams.deduplication:
        known = None
    if home.phase is Phase.LOADING:
        _child_done(context, ticket, _proofs.make_not_run('moved'))
    elif known is not None:
        _finish(context, ticket, _replay(known, ticket.request))
    elif request_id in home.request_tickets:
        _join(context, ticket, home)
    elif home.phase is not Phase.ACTIVE:
        _child_done(context, ticket, _proofs.make_not_run('moved'))
    elif not context.store_ready:
        outcome = _proofs.make_not_run(
            'store_unavailable', _STORE_RETRY_AFTER_MS
        )
        _finish(context, ticket, _proofs.downgrade(context, ticket, outcome))
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
        _finish(context, ticket, _proofs.make_unknown('lost'))
    elif first.request.digest != ticket.request.digest:
        _finish(context, ticket, _proofs.make_not_run('id_reused', 0))
    else:
        ticket.stage = Stage.JOINED
        first.waiters.append(TicketOrigin(ticket.ticket))


def _replay(entry: RequestEntry, request: ServiceRequest) -> RequestOutcome:
    """Return the same answer again, or say that it is not known."""
    if entry.digest != request.digest:
        return _proofs.make_not_run('id_reused', 0)
    if entry.outcome is None:
        return _proofs.make_unknown('outcome_not_known')
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
        _finish(context, ticket, _proofs.make_not_run('moved'))
        return
    if service not in cell.endpoints:
        _finish(context, ticket, _proofs.make_not_run('no_endpoint'))
        return
    queue = cell.queues.setdefault(service, collections.deque())
    if len(queue) >= context.state.config.request_queue_limit:
        _finish(context, ticket, _proofs.make_not_run('overloaded'))
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
            _finish(context, ticket, _proofs.make_not_run('deadline'))
            continue
        worker = _serving.choose_endpoint(context, cell, service)
        if worker is None:
            return
        queue.popleft()
        _call(context, cell, worker, ticket)


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
    outcome = _proofs.check_answer(context, ticket, event)
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
    if _proofs.may_retry(context, parent, outcome):
        parent.retry_at_ms = context.now_ms + _proofs.RETRY_PAUSE_MS
        return
    _finish(context, parent, _proofs.downgrade(context, parent, outcome))


def fail_message(message: object, session_id: str, context: Context) -> None:
    """Note that a message to a peer may not have arrived."""
    if not isinstance(message, RequestForwarded):
        return
    ticket = context.state.tickets.get(message.call_id)
    if ticket is not None and ticket.stage is Stage.FORWARDED:
        _finish(context, ticket, _proofs.make_unknown('peer_lost'))


def lose_peer(context: Context, session_id: str) -> None:
    """End the tries that a session which is over had in hand."""
    for ticket in list(context.state.tickets.values()):
        forwarded = ticket.stage is Stage.FORWARDED
        if forwarded and ticket.target_session == session_id:
            _finish(context, ticket, _proofs.make_unknown('peer_lost'))


def leave_unit(context: Context, unit: UnitState) -> None:
    """Let go of the requests that wait on a unit that is given up.

    Requests that are at an endpoint stay: their answers still count.
    """
    for ticket in list(context.state.tickets.values()):
        if ticket.unit != unit.unit:
            continue
        if ticket.stage is Stage.QUEUED:
            _finish(context, ticket, _proofs.make_not_run('moved'))
        elif ticket.stage is Stage.OPENING and not is_cell(unit.unit):
            ticket.unit = ''
            _finish(context, ticket, _proofs.make_not_run('session_lost'))


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
        _finish(context, ticket, _proofs.make_not_run('deadline'))
    elif ticket.stage is Stage.FORWARDED or ticket.stage is Stage.JOINED:
        _finish(context, ticket, _proofs.make_unknown('deadline'))
    elif ticket.stage is Stage.OPENING:
        # It is not sent before its opening is durable: it did not run.
        _finish(context, ticket, _proofs.make_not_run('deadline'))
