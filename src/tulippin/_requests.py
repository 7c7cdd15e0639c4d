"""Routing, retries and outcomes of service requests.

Each request gets exactly one outcome, and one that is not repeatable runs
at most once.

A ticket is a request, or one try of a request, on this instance. The entry
ticket is opened for the caller's request and makes the tries. A try goes to
the owner of a cell that serves the service; a request that must run at most
once goes to the owner of its id's hash range first.
"""

from __future__ import annotations

import collections
import functools

from tulippin import _endpoint_choice, _request_outcomes, _worker_state
from tulippin import effects as fx
from tulippin._context import Context, get_range
from tulippin._dispatch import handle, handle_committed, receive
from tulippin._request_stats import observe_request
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

_REFUSAL_BACKOFF_MS = 1000
_HOP_MARGIN_MS = 120
_STORE_RETRY_AFTER_MS = 5000
_MAX_RETRY_TOKENS = 100.0


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


def _open_try(context: Context, ticket: Ticket) -> Ticket:
    """Open the ticket of one try, whose outcome goes to its parent."""
    origin = TicketOrigin(ticket.ticket)
    return _open_ticket(context, origin, ticket.request, ticket.deadline_ms)


# --- arrival ----------------------------------------------------------------


@handle.register
def _(event: RequestArrived, context: Context) -> None:
    state = context.state
    state.counters['requests'] += 1
    if (
        state.session.refuses_requests
        or state.session.standing is Standing.LEFT
    ):
        context.emit(
            fx.AnswerRequest(
                event.call_id, _request_outcomes.make_not_run('stopping')
            )
        )
        return
    state.retry_tokens = min(
        _MAX_RETRY_TOKENS, state.retry_tokens + state.config.retry_budget_ratio
    )
    ticket = _open_ticket(
        context,
        CallerOrigin(event.call_id),
        event.request,
        event.request.deadline_ms,
    )
    _route(context, ticket)


def _route(context: Context, ticket: Ticket) -> None:
    """Start the next try of a ticket."""
    ticket.retry_at_ms = None
    ticket.try_count += 1
    ticket.stage = Stage.TRYING
    if context.now_ms >= ticket.deadline_ms:
        outcome = _request_outcomes.make_not_run('deadline')
        _finish(
            context,
            ticket,
            _request_outcomes.downgrade(context, ticket, outcome),
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
    unit = _endpoint_choice.pick_cell(context, ticket)
    if not unit:
        # A cell that changes owners serves again soon. "moved" is retried,
        # while "no_endpoint" would be final: it refused a request in 5 of
        # 30 starts of two instances under load.
        was_served = _endpoint_choice.was_recently_served(
            context, ticket.request.service
        )
        code = 'moved' if was_served else 'no_endpoint'
        _handle_try_outcome(
            context, ticket, _request_outcomes.make_not_run(code)
        )
        return
    ticket.last_try_unit = unit
    cell = context.state.cells.get(unit)
    if cell is None:
        _forward(context, ticket, unit)
        return
    _enqueue(context, _open_try(context, ticket), cell)


def _forward(context: Context, ticket: Ticket, unit: str) -> None:
    """Forward a try to the unit's owner on another instance."""
    holder = context.get_holder(unit)
    state = context.state
    reachable = holder is not None and holder.session_id in state.peers
    if holder is None or not reachable or not state.session.session_id:
        _handle_try_outcome(
            context, ticket, _request_outcomes.make_not_run('no_owner')
        )
        return
    if not context.is_responsive(holder.session_id):
        _handle_try_outcome(
            context, ticket, _request_outcomes.make_not_run('owner_unreachable')
        )
        return
    try_ticket = _open_try(context, ticket)
    try_ticket.stage = Stage.FORWARDED
    try_ticket.unit = unit
    try_ticket.target_session = holder.session_id
    context.send(
        holder.session_id,
        RequestForwarded(
            try_ticket.ticket,
            unit,
            ticket.request,
            _get_hop_ms(context, ticket),
        ),
    )


def _get_hop_ms(context: Context, ticket: Ticket) -> int:
    """Return the time limit for the instance that a try is forwarded to.

    It is shorter than the remaining time, so that the proof that a
    request did not run arrives here before the deadline.
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
        _finish(context, ticket, _request_outcomes.make_not_run('moved'))


# --- at most once -----------------------------------------------------------


def _open_durably(context: Context, ticket: Ticket, home: RangeState) -> None:
    """Record a non-repeatable request before it is sent.

    If its id is recorded already, the request gets the recorded outcome or
    waits for that of the open request.
    """
    request_id = ticket.request.request_id
    recorded = _get_recorded(home, request_id)
    if not context.state.config.seams.deduplication:
        recorded = None
    if home.phase is Phase.LOADING:
        _handle_try_outcome(
            context, ticket, _request_outcomes.make_not_run('moved')
        )
    elif recorded is not None:
        _finish(context, ticket, _replay(recorded, ticket.request))
    elif request_id in home.request_tickets:
        _join_open_request(context, ticket, home)
    elif home.phase is not Phase.ACTIVE:
        _handle_try_outcome(
            context, ticket, _request_outcomes.make_not_run('moved')
        )
    elif not context.store_ready:
        outcome = _request_outcomes.make_not_run(
            'store_unavailable', _STORE_RETRY_AFTER_MS
        )
        _finish(
            context,
            ticket,
            _request_outcomes.downgrade(context, ticket, outcome),
        )
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


def _get_recorded(home: RangeState, request_id: str) -> RequestEntry | None:
    """Return the recorded request of an id, if none is open here.

    A request that is being closed as not run counts as unrecorded.
    """
    if request_id in home.request_tickets:
        return None
    closing = home.closing.get(request_id)
    if closing is not None:
        not_run = closing.outcome is OutcomeKind.NOT_RUN
        return None if not_run else closing
    return home.ledger.requests.get(request_id)


def _join_open_request(
    context: Context, ticket: Ticket, home: RangeState
) -> None:
    """Let a request wait for the outcome of an open one with the same id."""
    first = context.state.tickets.get(
        home.request_tickets[ticket.request.request_id]
    )
    if first is None:
        _finish(context, ticket, _request_outcomes.make_unknown('lost'))
    elif first.request.digest != ticket.request.digest:
        _finish(context, ticket, _request_outcomes.make_not_run('id_reused', 0))
    else:
        ticket.stage = Stage.JOINED
        first.waiters.append(TicketOrigin(ticket.ticket))


def _replay(entry: RequestEntry, request: ServiceRequest) -> RequestOutcome:
    """Return the recorded outcome again, or unknown if there is none."""
    if entry.digest != request.digest:
        return _request_outcomes.make_not_run('id_reused', 0)
    if entry.outcome is None:
        return _request_outcomes.make_unknown('outcome_not_known')
    return RequestOutcome(entry.outcome, 'replayed', entry.status, entry.body)


@handle_committed.register
def _(record: RequestOpened, unit: RangeState, context: Context) -> None:
    number = unit.request_tickets.get(record.request_id, 0)
    ticket = context.state.tickets.get(number)
    if ticket is None or number != record.ticket:
        # The request ended before its opening was durable; the record that
        # closes it follows.
        return
    ticket.durable = True
    _route(context, ticket)


def _close_durably(
    context: Context, ticket: Ticket, outcome: RequestOutcome
) -> None:
    """Record the outcome of a durable request, if its range is still owned.

    An answer above ``kept_answer_bytes`` is recorded as unknown.
    """
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


@handle_committed.register
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
        _finish(context, ticket, _request_outcomes.make_not_run('moved'))
        return
    if service not in cell.endpoints:
        _finish(context, ticket, _request_outcomes.make_not_run('no_endpoint'))
        return
    queue = cell.queues.setdefault(service, collections.deque())
    if len(queue) >= context.state.config.request_queue_limit:
        _finish(context, ticket, _request_outcomes.make_not_run('overloaded'))
        return
    ticket.stage = Stage.QUEUED
    queue.append(ticket.ticket)
    dispatch_queued(context, cell, service)


def dispatch_to_worker(
    context: Context, cell: CellState, worker: WorkerState
) -> None:
    """Send queued requests for the services of a worker."""
    for service, endpoints in list(cell.endpoints.items()):
        if worker.worker_id in endpoints.values():
            dispatch_queued(context, cell, service)


def dispatch_queued(context: Context, cell: CellState, service: str) -> None:
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
            _finish(context, ticket, _request_outcomes.make_not_run('deadline'))
            continue
        worker = _endpoint_choice.choose_endpoint(context, cell, service)
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
    outcome = _request_outcomes.check_answer(context, ticket, event)
    found = _worker_state.find_worker(context, ticket.worker_id)
    if found is not None:
        cell, worker = found
        sent = worker.dispatched.pop(ticket.ticket, None)
        if outcome.kind is OutcomeKind.UNKNOWN and sent is not None:
            # The request may still occupy the slot; the worker's next report
            # shows whether it does.
            worker.foreign_busy += 1
            worker.needs_sync = True
        if outcome.code == 'refused':
            worker.backoff_until_ms = context.now_ms + _REFUSAL_BACKOFF_MS
            worker.needs_urgent_sync = True
        if event.endpoint_leaving:
            worker.leaving = True
            worker.needs_urgent_sync = True
        observe_request(context, cell, worker, ticket, event)
    _finish(context, ticket, outcome)
    if found is not None:
        dispatch_to_worker(context, cell, worker)


# --- outcomes ---------------------------------------------------------------


def _finish(context: Context, ticket: Ticket, outcome: RequestOutcome) -> None:
    """End a ticket and send its outcome to its origin and all waiters."""
    context.state.tickets.pop(ticket.ticket, None)
    if ticket.stage is Stage.OPENING or ticket.durable:
        _close_durably(context, ticket, outcome)
    for origin in (ticket.origin, *ticket.waiters):
        answer(origin, context, outcome)


@functools.singledispatch
def answer(origin: Origin, context: Context, outcome: RequestOutcome) -> None:
    """Send an outcome to the origin of a request."""
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
        _handle_try_outcome(context, parent, outcome)


@receive.register
def _(message: RequestReturned, sender: str, context: Context) -> None:
    ticket = context.state.tickets.get(message.call_id)
    if ticket is None or ticket.stage is not Stage.FORWARDED:
        return
    if ticket.target_session == sender:
        _finish(context, ticket, message.outcome)


def _handle_try_outcome(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> None:
    """Finish a ticket with the outcome of a try, or schedule another try."""
    if outcome.kind in {OutcomeKind.ANSWERED, OutcomeKind.FAILED}:
        _finish(context, parent, outcome)
        return
    if not isinstance(parent.origin, CallerOrigin) and not parent.durable:
        _finish(context, parent, outcome)
        return
    if outcome.kind is OutcomeKind.UNKNOWN:
        parent.last_outcome = outcome
    if _request_outcomes.may_retry(context, parent, outcome):
        parent.retry_at_ms = context.now_ms + _request_outcomes.RETRY_PAUSE_MS
        return
    _finish(
        context, parent, _request_outcomes.downgrade(context, parent, outcome)
    )


def handle_undelivered(
    message: object, session_id: str, context: Context
) -> None:
    """End the try of a message that may not have reached its peer."""
    if not isinstance(message, RequestForwarded):
        return
    ticket = context.state.tickets.get(message.call_id)
    if ticket is not None and ticket.stage is Stage.FORWARDED:
        _finish(context, ticket, _request_outcomes.make_unknown('peer_lost'))


def end_session_requests(context: Context, session_id: str) -> None:
    """End the tries that were forwarded to a session that has ended."""
    for ticket in list(context.state.tickets.values()):
        forwarded = ticket.stage is Stage.FORWARDED
        if forwarded and ticket.target_session == session_id:
            _finish(
                context, ticket, _request_outcomes.make_unknown('peer_lost')
            )


def end_unit_requests(context: Context, unit: UnitState) -> None:
    """End the requests that wait for a unit which this instance releases.

    Requests that were sent to an endpoint stay, because their answers are
    still valid.
    """
    for ticket in list(context.state.tickets.values()):
        if ticket.unit != unit.unit:
            continue
        if ticket.stage is Stage.QUEUED:
            _finish(context, ticket, _request_outcomes.make_not_run('moved'))
        elif ticket.stage is Stage.OPENING and not is_cell(unit.unit):
            ticket.unit = ''
            _finish(
                context, ticket, _request_outcomes.make_not_run('session_lost')
            )


def tick(context: Context) -> None:
    """Start the tries that are due and end tickets past their deadline."""
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
                dispatch_queued(context, cell, service)


def _expire(context: Context, ticket: Ticket) -> None:
    if ticket.stage is Stage.QUEUED:
        _finish(context, ticket, _request_outcomes.make_not_run('deadline'))
    elif ticket.stage is Stage.FORWARDED or ticket.stage is Stage.JOINED:
        _finish(context, ticket, _request_outcomes.make_unknown('deadline'))
    elif ticket.stage is Stage.OPENING:
        # A request is sent only after its opening is durable, so this one
        # did not run.
        _finish(context, ticket, _request_outcomes.make_not_run('deadline'))
