"""Membership: this instance's session and lease, and its peers.

Renews the lease, polls the membership table, exchanges gossip with the
peers, and derives from these what the instance may do.
"""

from __future__ import annotations

from tulippin import _bundle_updates, _interference_control, _requests, _units
from tulippin import effects as fx
from tulippin._cells import make_summaries
from tulippin._context import Context
from tulippin._dispatch import handle, receive
from tulippin.events import (
    LeaseFailed,
    LeaseRenewed,
    OwnershipWritten,
    PeerFailed,
    PeerReceived,
    SessionOpened,
    SessionRevoked,
    StopRequested,
    TableFailed,
    TablePolled,
    Ticked,
    WorkersListed,
)
from tulippin.messages import Gossip
from tulippin.state import PeerState, Standing
from tulippin.types import LeaseRow, cell_unit

_MAX_ENDED_SESSIONS = 1000
_MODEL_SHARE_INTERVAL_MS = 5000


def update_standing(context: Context) -> None:
    """Update the session's standing if its lease lapsed by the local clock.

    After a stall of the process, another session may have taken over its
    units, so the session becomes suspect. Without a stall the lease lapsed
    because the renewals failed: the session is detached until
    ``detached_limit_ms`` after the last renewal, then suspect.
    """
    session = context.state.session
    config = context.state.config
    is_stalled = (
        context.now_ms - session.last_event_ms > config.stall_limit_ms
        and session.last_event_ms > 0
    )
    session.last_event_ms = context.now_ms
    if session.standing not in {Standing.ACTIVE, Standing.DETACHED}:
        return
    if context.now_ms < session.renewed_ms + config.lease_ms:
        return
    if not config.seams.fencing:
        return
    limit_ms = session.renewed_ms + config.detached_limit_ms
    if is_stalled or context.now_ms >= limit_ms:
        session.standing = Standing.SUSPECT
        session.suspect_since_ms = context.now_ms
    else:
        session.standing = Standing.DETACHED


def tick(context: Context) -> None:
    """Renew the lease, poll the table, list workers and gossip when due."""
    session = context.state.session
    if session.standing is Standing.LEFT:
        return
    if session.standing is Standing.OPENING:
        if not session.opening:
            session.opening = True
            context.emit(fx.OpenSession())
    else:
        _renew(context)
        _gossip(context)
    _poll(context)


def _renew(context: Context) -> None:
    session = context.state.session
    if session.renewing or context.now_ms < session.next_renew_ms:
        return
    session.renewing = True
    session.renewal_count += 1
    session.next_renew_ms = context.now_ms + context.state.config.renew_every_ms
    context.emit(
        fx.RenewLease(
            session.session_id,
            session.renewal_count,
            context.state.bundle_number,
            session.stopping_since_ms is not None,
        )
    )


def _poll(context: Context) -> None:
    session = context.state.session
    config = context.state.config
    if not session.polling and context.now_ms >= session.next_poll_ms:
        session.polling = True
        session.next_poll_ms = context.now_ms + config.poll_every_ms
        context.emit(fx.PollTable())
    if context.now_ms >= session.next_list_ms:
        session.next_list_ms = context.now_ms + config.list_every_ms
        context.emit(fx.ListWorkers())


def _gossip(context: Context) -> None:
    session = context.state.session
    if context.now_ms < session.next_gossip_ms:
        return
    session.next_gossip_ms = (
        context.now_ms + context.state.config.gossip_every_ms
    )
    message = make_gossip(context)
    _record_services(message, context)
    for session_id in context.state.peers:
        context.send(session_id, message)
    if context.now_ms >= session.next_model_share_ms:
        session.next_model_share_ms = context.now_ms + _MODEL_SHARE_INTERVAL_MS
        _interference_control.share_model(context)


def _record_services(message: Gossip, context: Context) -> None:
    """Record when a cell last reported a task of each service."""
    for summary in message.summaries:
        for service in summary.services:
            context.state.service_reported_ms[service] = context.now_ms


def make_gossip(context: Context) -> Gossip:
    """Return the status message that this instance sends to its peers."""
    state = context.state
    return Gossip(
        summaries=make_summaries(context),
        bundle_number=state.bundle_number,
        ownership_version=state.ownership_version,
        store_reachable=state.session.store_reachable,
        leaving=state.session.stopping_since_ms is not None,
    )


@handle.register
def _(event: Ticked, context: Context) -> None:
    """Do nothing: ``core.reduce`` runs the tickers after this handler."""


@handle.register
def _(event: SessionOpened, context: Context) -> None:
    session = context.state.session
    session.opening = False
    if session.standing is not Standing.OPENING:
        return
    session.session_id = event.session_id
    session.standing = Standing.ACTIVE
    session.renewed_ms = event.sent_ms
    session.renewal_count = 0
    session.renewing = False
    session.store_reachable = True
    session.next_poll_ms = context.now_ms
    session.wall_offset_ms = event.wall_ms - event.at_ms
    context.state.random.seed(event.seed)


@handle.register
def _(event: LeaseRenewed, context: Context) -> None:
    session = context.state.session
    if event.session_id != session.session_id:
        return
    session.renewing = False
    session.store_reachable = True
    session.renewed_ms = max(session.renewed_ms, event.sent_ms)
    lease_ms = context.state.config.lease_ms
    if context.now_ms < session.renewed_ms + lease_ms and (
        session.standing in {Standing.DETACHED, Standing.SUSPECT}
    ):
        session.standing = Standing.ACTIVE


@handle.register
def _(event: LeaseFailed, context: Context) -> None:
    session = context.state.session
    if event.session_id != session.session_id:
        return
    session.renewing = False
    session.store_reachable = False
    limit_ms = session.renewed_ms + context.state.config.detached_limit_ms
    was_sent_after_stall = event.sent_ms >= session.suspect_since_ms
    if (
        session.standing is Standing.SUSPECT
        and was_sent_after_stall
        and context.now_ms < limit_ms
    ):
        # The table does not answer a renewal sent after the stall. This is
        # an outage of the store, during which running work is kept alive.
        session.standing = Standing.DETACHED


@handle.register
def _(event: SessionRevoked, context: Context) -> None:
    state = context.state
    if event.session_id != state.session.session_id:
        return
    if not state.config.seams.fencing:
        state.session.renewing = False
        return
    _units.step_down(context)
    state.counters['sessions_lost'] += 1
    state.session.session_id = ''
    state.session.renewing = False
    state.session.opening = False
    state.session.standing = Standing.OPENING


@handle.register
def _(event: TableFailed, context: Context) -> None:
    context.state.session.polling = False
    context.state.session.store_reachable = False


@handle.register
def _(event: TablePolled, context: Context) -> None:
    session = context.state.session
    session.polling = False
    session.store_reachable = True
    _update_peers(context, event.leases)
    _units.adopt_ownership(context, event.ownership, event.ownership_version)
    _units.plan_takeover(context)
    _bundle_updates.update_rolled_bundle(
        context, event.bundle_number, event.bundle_state, event.bundle_approved
    )


def _update_peers(context: Context, leases: tuple[LeaseRow, ...]) -> None:
    state = context.state
    live_ids = set()
    for lease in leases:
        if lease.session_id == state.session.session_id:
            continue
        live_ids.add(lease.session_id)
        peer = state.peers.get(lease.session_id)
        if peer is None:
            state.peers[lease.session_id] = PeerState(
                lease, context.now_ms, context.now_ms
            )
            continue
        if peer.lease.version != lease.version:
            peer.lease_changed_ms = context.now_ms
        peer.lease = lease
        peer.leaving = lease.leaving
    for session_id in set(state.peers) - live_ids:
        remove_peer(context, session_id)
    _mark_restarted_predecessors(context)


def remove_peer(context: Context, session_id: str) -> None:
    """Remove a peer whose session ended, and all that depends on it."""
    state = context.state
    state.peers.pop(session_id, None)
    state.received_sequences.pop(session_id, None)
    state.model.remove_shared(session_id)
    state.ended_sessions[session_id] = context.now_ms
    if len(state.ended_sessions) > _MAX_ENDED_SESSIONS:
        state.ended_sessions.pop(next(iter(state.ended_sessions)))
    _requests.end_session_requests(context, session_id)


def _mark_restarted_predecessors(context: Context) -> None:
    """Mark predecessors as gone whose instance runs a new session."""
    state = context.state
    session_ids = {
        peer.lease.instance_id: session_id
        for session_id, peer in state.peers.items()
    }
    session_ids[state.config.instance_id] = state.session.session_id
    for cell in state.cells.values():
        current_id = session_ids.get(cell.predecessor_instance)
        if current_id is not None and current_id != cell.predecessor:
            _units.mark_predecessor_gone(context, cell)


@handle.register
def _(event: WorkersListed, context: Context) -> None:
    state = context.state
    state.workers = {worker.worker_id: worker for worker in event.workers}
    state.listed_instances = frozenset(event.instances)
    state.has_worker_list = True
    for worker in event.workers:
        location = (worker.failure_domain, worker.region)
        state.cell_locations[cell_unit(worker.cell)] = location
    _units.update_workers(context)
    for cell in state.cells.values():
        instance = cell.predecessor_instance
        if instance and instance not in state.listed_instances:
            _units.mark_predecessor_gone(context, cell)


@handle.register
def _(event: PeerReceived, context: Context) -> None:
    state = context.state
    last_sequence = state.received_sequences.get(event.session_id, 0)
    is_ended = event.session_id in state.ended_sessions
    if event.sequence <= last_sequence or (
        is_ended and state.config.seams.fencing
    ):
        return
    state.received_sequences[event.session_id] = event.sequence
    peer = state.peers.get(event.session_id)
    if peer is not None:
        peer.last_received_ms = context.now_ms
    for message in event.messages:
        receive(message, event.session_id, context)


@handle.register
def _(event: PeerFailed, context: Context) -> None:
    for message in event.messages:
        _requests.handle_undelivered(message, event.session_id, context)


@handle.register
def _(event: StopRequested, context: Context) -> None:
    session = context.state.session
    if session.stopping_since_ms is None:
        session.stopping_since_ms = context.now_ms
        session.next_gossip_ms = context.now_ms
        session.next_renew_ms = context.now_ms


@handle.register
def _(event: OwnershipWritten, context: Context) -> None:
    context.state.session.writing_ownership = False
    for session_id in event.revoked:
        remove_peer(context, session_id)
    _units.adopt_ownership(context, event.ownership, event.ownership_version)
    context.state.session.next_gossip_ms = context.now_ms


@receive.register
def _(message: Gossip, sender: str, context: Context) -> None:
    state = context.state
    peer = state.peers.get(sender)
    if peer is None:
        state.session.next_poll_ms = context.now_ms
        return
    peer.bundle_number = message.bundle_number
    peer.store_reachable = message.store_reachable
    peer.leaving = message.leaving
    peer.summaries = {entry.unit: entry for entry in message.summaries}
    _record_services(message, context)
    if message.ownership_version > state.ownership_version:
        state.session.next_poll_ms = context.now_ms
