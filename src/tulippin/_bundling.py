"""Bundles in force: taken from the table or a peer, never a lower one."""

from __future__ import annotations

from tulippin import effects as fx
from tulippin._context import Context
from tulippin._dispatch import handle, receive
from tulippin.bundles import BundleState
from tulippin.events import BundleFetched, BundleLearned
from tulippin.messages import BundleSent, BundleWanted
from tulippin.stats import TrialStats

_ASK_EVERY_MS = 1000


def note_head(context: Context, number: int, state: str, approved: str) -> None:
    """Take note of the table's rolled bundle."""
    _consider(context, number, approved)
    context.state.bundle_state = state
    if number == context.state.bundle_number and (
        state == BundleState.ROLLING.value
    ):
        _mark_in_force(context, number)


def _consider(context: Context, number: int, approved: str) -> None:
    """Have a higher bundle verified; a lower one is never taken."""
    state = context.state
    if not approved:
        return
    newest = max(state.bundle_number, state.verifying_number)
    if number <= newest and state.config.seams.bundle_order:
        return
    if number == state.bundle_number:
        return
    state.verifying_number = number
    context.emit(fx.VerifyBundle(number, approved))


def _mark_in_force(context: Context, number: int) -> None:
    """Let the first live session note that all hold the bundle."""
    state = context.state
    own = state.session.session_id
    peers = state.peers.values()
    if not context.may_act or any(name < own for name in state.peers):
        return
    if all(peer.lease.bundle_number >= number for peer in peers):
        context.emit(fx.MarkInForce(number))


@handle.register
def _(event: BundleLearned, context: Context) -> None:
    state = context.state
    if event.number == state.verifying_number:
        state.verifying_number = 0
    if event.bundle is None:
        state.counters['bundles_refused'] += 1
        return
    if event.number <= state.bundle_number and (
        state.config.seams.bundle_order
    ):
        return
    state.bundle_number = event.number
    state.bundle_approved = event.approved
    state.bundle = event.bundle
    state.stats = TrialStats()
    state.counters['bundles_taken'] += 1
    state.session.next_gossip_ms = context.now_ms
    state.session.next_renew_ms = context.now_ms


def tick(context: Context) -> None:
    """Ask a peer for a bundle that it holds and this instance lacks."""
    state = context.state
    if context.now_ms < state.next_bundle_ask_ms:
        return
    if not state.session.session_id and not state.session.store_reachable:
        _ask_seed(context)
        return
    ahead = [
        (peer.bundle_number, session_id)
        for session_id, peer in state.peers.items()
        if peer.bundle_number > state.bundle_number
    ]
    if ahead:
        state.next_bundle_ask_ms = context.now_ms + _ASK_EVERY_MS
        _, session_id = max(ahead)
        context.send(session_id, BundleWanted(state.bundle_number))


def _ask_seed(context: Context) -> None:
    """Without the table, ask one of the addresses in the settings."""
    state = context.state
    seeds = [
        seed
        for seed in state.config.peer_seeds
        if seed != state.config.peer_address
    ]
    if seeds:
        state.next_bundle_ask_ms = context.now_ms + _ASK_EVERY_MS
        context.emit(fx.FetchBundle(state.random.choice(seeds)))


@handle.register
def _(event: BundleFetched, context: Context) -> None:
    _consider(context, event.number, event.approved)


@receive.register
def _(message: BundleWanted, sender: str, context: Context) -> None:
    state = context.state
    if state.bundle_number > message.known_number:
        context.send(
            sender, BundleSent(state.bundle_number, state.bundle_approved)
        )


@receive.register
def _(message: BundleSent, sender: str, context: Context) -> None:
    _consider(context, message.number, message.approved)
