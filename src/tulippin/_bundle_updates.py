"""Configuration bundles: adoption from the table or a peer.

An adopted bundle is never replaced by one with a lower number.
"""

from __future__ import annotations

from tulippin import effects as fx
from tulippin._context import Context
from tulippin._dispatch import handle, receive
from tulippin.bundles import BundleState
from tulippin.events import BundleFetched, BundleLearned
from tulippin.messages import BundleSent, BundleWanted
from tulippin.stats import TrialStats

_BUNDLE_REQUEST_INTERVAL_MS = 1000


def update_rolled_bundle(
    context: Context, number: int, state: str, approved: str
) -> None:
    """Process the rolled bundle that a poll of the table returned."""
    _request_verification(context, number, approved)
    context.state.bundle_state = state
    if number == context.state.bundle_number and (
        state == BundleState.ROLLING.value
    ):
        _mark_in_force(context, number)


def _request_verification(context: Context, number: int, approved: str) -> None:
    """Request verification of a bundle with a higher number.

    Bundles with a lower or the same number are ignored, as are those that
    are not approved.
    """
    state = context.state
    if not approved:
        return
    highest_number = max(state.bundle_number, state.verifying_number)
    if number <= highest_number and state.config.seams.bundle_order:
        return
    if number == state.bundle_number:
        return
    state.verifying_number = number
    context.emit(fx.VerifyBundle(number, approved))


def _mark_in_force(context: Context, number: int) -> None:
    """Mark a bundle as in force once all live sessions have adopted it.

    Only the live session with the lowest id does so.
    """
    state = context.state
    own_id = state.session.session_id
    peers = state.peers.values()
    if not context.may_act or any(
        session_id < own_id for session_id in state.peers
    ):
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
    """Request a newer bundle from the peer with the highest number.

    An instance without a session that can't reach the table asks one of
    the seed peers instead.
    """
    state = context.state
    if context.now_ms < state.next_bundle_request_ms:
        return
    if not state.session.session_id and not state.session.store_reachable:
        _fetch_from_seed(context)
        return
    newer = [
        (peer.bundle_number, session_id)
        for session_id, peer in state.peers.items()
        if peer.bundle_number > state.bundle_number
    ]
    if newer:
        state.next_bundle_request_ms = (
            context.now_ms + _BUNDLE_REQUEST_INTERVAL_MS
        )
        _, session_id = max(newer)
        context.send(session_id, BundleWanted(state.bundle_number))


def _fetch_from_seed(context: Context) -> None:
    """Fetch the bundle from a random seed peer of the settings."""
    state = context.state
    seeds = [
        seed
        for seed in state.config.peer_seeds
        if seed != state.config.peer_address
    ]
    if seeds:
        state.next_bundle_request_ms = (
            context.now_ms + _BUNDLE_REQUEST_INTERVAL_MS
        )
        context.emit(fx.FetchBundle(state.random.choice(seeds)))


@handle.register
def _(event: BundleFetched, context: Context) -> None:
    _request_verification(context, event.number, event.approved)


@receive.register
def _(message: BundleWanted, sender: str, context: Context) -> None:
    state = context.state
    if state.bundle_number > message.known_number:
        context.send(
            sender, BundleSent(state.bundle_number, state.bundle_approved)
        )


@receive.register
def _(message: BundleSent, sender: str, context: Context) -> None:
    _request_verification(context, message.number, message.approved)
