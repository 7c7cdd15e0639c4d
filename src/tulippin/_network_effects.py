"""Performs effects on peers, workers and endpoints."""

from __future__ import annotations

import collections
import typing as t

import attrs
import trio

from tulippin import effects as fx
from tulippin import events as ev
from tulippin.exceptions import FencedError, UnavailableError
from tulippin.messages import RequestOutcome
from tulippin.ports import EndpointReply, Envelope
from tulippin.types import OutcomeKind

if t.TYPE_CHECKING:
    from tulippin.shell import Shell

_PEER_TIMEOUT_S: t.Final = 2.0
_SYNC_TIMEOUT_S: t.Final = 2.0
_PEER_FAILURE_DELAY_S: t.Final = 0.2
_MAX_BATCH_MESSAGES: t.Final = 2000
_MAX_QUEUED_MESSAGES: t.Final = 50000
_LINK_IDLE_TIMEOUT_S: t.Final = 60.0
_FLUSH_POLL_INTERVAL_S: t.Final = 0.02
_MS_PER_S: t.Final = 1000


@attrs.define
class PeerLink:
    """The queue of messages to one peer, with one envelope in flight."""

    session_id: str
    address: str
    queue: collections.deque[t.Any] = attrs.field(factory=collections.deque)
    sequence: int = 0
    sending: bool = False
    ready: trio.Event = attrs.field(factory=trio.Event)


class NetworkEffects:
    """Sends messages to peers, and calls workers and endpoints.

    Parameters
    ----------
    shell : Shell
        The shell that requests the effects and gets the events.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._links: dict[str, PeerLink] = {}

    def send_peer(self, effect: fx.SendPeer) -> None:
        """Queue messages for a peer; drop them if its queue is full."""
        link = self._links.get(effect.session_id)
        if link is None:
            link = PeerLink(effect.session_id, effect.address)
            self._links[effect.session_id] = link
            self._shell.start(self._run_link, link)
        if len(link.queue) < _MAX_QUEUED_MESSAGES:
            link.queue.extend(effect.messages)
        link.ready.set()

    async def flush(self) -> None:
        """Wait until each queued message was delivered or has failed."""
        while any(one.queue or one.sending for one in self._links.values()):
            await trio.sleep(_FLUSH_POLL_INTERVAL_S)

    async def _run_link(self, link: PeerLink) -> None:
        """Send the messages of a link until it has been idle for long."""
        idle_s = _LINK_IDLE_TIMEOUT_S
        while True:
            with trio.move_on_after(idle_s) as scope:
                await link.ready.wait()
            if scope.cancelled_caught and not link.queue:
                self._links.pop(link.session_id, None)
                return
            link.ready = trio.Event()
            while link.queue:
                link.sending = True
                await self._send_batch(link)
                link.sending = False

    async def _send_batch(self, link: PeerLink) -> None:
        count = min(_MAX_BATCH_MESSAGES, len(link.queue))
        messages = tuple(link.queue.popleft() for _ in range(count))
        link.sequence = max(link.sequence + 1, self._shell.clock())
        envelope = Envelope(
            self._shell.state.session.session_id,
            self._shell.config.instance_id,
            link.sequence,
            messages,
        )
        delivered = False
        with trio.move_on_after(_PEER_TIMEOUT_S):
            try:
                await self._shell.ports.peers.deliver(link.address, envelope)
            except UnavailableError:
                pass
            else:
                delivered = True
        if not delivered:
            self._shell.post(ev.PeerFailed(0, link.session_id, messages))
            await trio.sleep(_PEER_FAILURE_DELAY_S)

    async def sync_worker(self, effect: fx.SyncWorker) -> None:
        """Send a sync to a worker and post its report."""
        sync = effect.sync
        event: ev.Event = ev.WorkerFailed(
            0, sync.worker_id, sync.epoch, sync.sequence
        )
        with trio.move_on_after(_SYNC_TIMEOUT_S):
            try:
                report = await self._shell.ports.workers.sync(
                    effect.address, sync
                )
            except FencedError:
                event = attrs.evolve(event, refused=True)
            except UnavailableError:
                pass
            else:
                event = ev.WorkerSynced(
                    0, sync.worker_id, sync.epoch, sync.sequence, report
                )
        self._shell.post(event)

    async def call_endpoint(self, effect: fx.CallEndpoint) -> None:
        """Send one request to an endpoint without retries."""
        started_s = trio.current_time()
        reply = EndpointReply(RequestOutcome(OutcomeKind.UNKNOWN, 'timeout'))
        with trio.move_on_after(effect.timeout_ms / _MS_PER_S):
            reply = await self._shell.ports.endpoints.call(
                effect.address, effect.request, effect.epoch
            )
        elapsed_ms = (trio.current_time() - started_s) * _MS_PER_S
        self._shell.post(
            ev.EndpointReplied(
                0,
                effect.dispatch_id,
                reply.outcome,
                elapsed_ms,
                reply.leaving,
                reply.request_id,
                reply.body_bytes,
            )
        )
