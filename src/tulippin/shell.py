"""The shell: performs effects and turns their results into events.

One shell runs one instance, in a daemon or in a test with virtual time.
"""

from __future__ import annotations

import collections
import contextlib
import random
import typing as t

import attrs
import trio

from tulippin import core
from tulippin import effects as fx
from tulippin import events as ev
from tulippin._bundle_effects import BundleEffects
from tulippin._network_effects import NetworkEffects
from tulippin._perform import perform
from tulippin._session_effects import SessionEffects
from tulippin.bundle_store import BundleStore
from tulippin.exceptions import InputError, UnavailableError
from tulippin.logs import logger
from tulippin.messages import (
    JobReply,
    RequestOutcome,
    ServiceRequest,
)
from tulippin.ports import Envelope, Ports
from tulippin.state import Config, Standing, State
from tulippin.store import collect_garbage
from tulippin.types import JobSpec

_TICK_INTERVAL_S: t.Final = 0.05
_GARBAGE_INTERVAL_S: t.Final = 60.0
_MS_PER_S: t.Final = 1000

Clock = t.Callable[[], int]


@attrs.define
class PendingCall:
    """An external call that waits for its answer."""

    done: trio.Event = attrs.field(factory=trio.Event)
    answer: t.Any = None


class Shell:
    """Runs the event loop of one instance; an async context manager.

    Parameters
    ----------
    config : Config
        The instance's settings.
    ports : Ports
        Interfaces to the instance's environment.
    keys : mapping of str to str
        Operators' public keys in hex by name, to verify bundles.
    clock : callable
        Returns monotonic milliseconds that count suspension.
    wall : callable
        Returns the time of day in milliseconds.
    seed : int
        Seed of the instance's random number generator.
    recorder : callable, optional
        Called with each event and its effects.
    """

    def __init__(
        self,
        config: Config,
        ports: Ports,
        keys: t.Mapping[str, str],
        *,
        clock: Clock,
        wall: Clock,
        seed: int = 0,
        recorder: t.Callable[[ev.Event, tuple[fx.Effect, ...]], None]
        | None = None,
    ) -> None:
        self.config = config
        self.ports = ports
        self.keys = keys
        self.clock = clock
        self.wall = wall
        self.state: State = core.make_state(config)
        self.bundles = BundleStore(ports.table, keys)
        self.left = trio.Event()
        self.observers: list[t.Callable[[fx.ObserveLatency], None]] = []
        self.effect_observers: list[t.Callable[[fx.Effect, float], None]] = []
        self._recorder = recorder
        self.random = random.Random(seed)
        self.sessions = SessionEffects(self)
        self.network = NetworkEffects(self)
        self.bundle_effects = BundleEffects(self)
        self._inbox: collections.deque[ev.Event] = collections.deque()
        self._wake = trio.Event()
        self._pending_calls: dict[int, PendingCall] = {}
        self._next_call_id = 1
        self._ready_session_id = ''
        self._nursery: trio.Nursery | None = None
        self._manager: t.Any = None

    async def __aenter__(self) -> t.Self:
        """Start the instance."""
        self._manager = trio.open_nursery()
        self._nursery = await self._manager.__aenter__()
        self._nursery.start_soon(self._tick)
        self._nursery.start_soon(self._run)
        self._nursery.start_soon(self._collect_garbage)
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop immediately, without handing over, as a crash would."""
        self._nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*details)

    # -- external calls ----------------------------------------------------

    async def request(self, request: ServiceRequest) -> RequestOutcome:
        """Perform a caller's request; ``deadline_ms`` is its remaining time."""
        call_id, pending_call = self._open_call()
        deadline_ms = self.clock() + request.deadline_ms
        self.post(
            ev.RequestArrived(
                self.clock(),
                call_id,
                attrs.evolve(request, deadline_ms=deadline_ms),
            )
        )
        return t.cast(
            RequestOutcome, await self._wait_for_answer(call_id, pending_call)
        )

    async def operate_job(
        self,
        action: str,
        job_id: str,
        spec: JobSpec | None = None,
        digest: str = '',
    ) -> JobReply:
        """Perform a caller's operation on a job."""
        call_id, pending_call = self._open_call()
        self.post(
            ev.JobRequested(
                self.clock(), call_id, action, job_id, '', spec, digest
            )
        )
        return t.cast(
            JobReply, await self._wait_for_answer(call_id, pending_call)
        )

    async def report(self, kind: str) -> fx.AnswerReport:
        """Collect the parts of a report from all instances."""
        call_id, pending_call = self._open_call()
        self.post(ev.ReportRequested(self.clock(), call_id, kind))
        return t.cast(
            fx.AnswerReport, await self._wait_for_answer(call_id, pending_call)
        )

    def receive(self, envelope: Envelope) -> None:
        """Post the messages of a peer as an event."""
        self.post(
            ev.PeerReceived(
                self.clock(),
                envelope.session_id,
                envelope.instance_id,
                envelope.sequence,
                envelope.messages,
            )
        )

    def get_unready(self) -> str:
        """Return why the instance is not ready, or an empty text.

        A peer from which messages were received knows this session and can
        reply to it. A session waits for that only until it is first ready,
        not for each peer that joins later.
        """
        state = self.state
        standing = state.session.standing
        if standing in {Standing.OPENING, Standing.LEFT}:
            return 'no session: the table does not answer'
        if not state.ownership.units:
            return 'no units are known yet'
        if self._ready_session_id == state.session.session_id:
            return ''
        limit_ms = state.config.silence_limit_ms
        awaits_peers = any(
            peer.last_received_ms < 0
            and state.now_ms - peer.first_seen_ms < limit_ms
            for peer in state.peers.values()
        )
        if awaits_peers:
            return 'peers are not heard yet'
        self._ready_session_id = state.session.session_id
        return ''

    def stop(self) -> None:
        """Begin a planned stop; ``left`` is set when it is complete."""
        self.post(ev.StopRequested(self.clock()))

    def post(self, event: ev.Event) -> None:
        """Add an event to the inbox and wake the event loop."""
        self._inbox.append(event)
        self._wake.set()

    def _open_call(self) -> tuple[int, PendingCall]:
        call_id = self._next_call_id
        self._next_call_id += 1
        pending_call = PendingCall()
        self._pending_calls[call_id] = pending_call
        return call_id, pending_call

    async def _wait_for_answer(
        self, call_id: int, pending_call: PendingCall
    ) -> t.Any:
        try:
            await pending_call.done.wait()
        finally:
            self._pending_calls.pop(call_id, None)
        return pending_call.answer

    def answer(self, call_id: int, answer: t.Any) -> None:
        """Complete a waiting call with its answer."""
        pending_call = self._pending_calls.get(call_id)
        if pending_call is not None:
            pending_call.answer = answer
            pending_call.done.set()

    # -- event loop --------------------------------------------------------

    async def _run(self) -> None:
        while True:
            if not self._inbox:
                self._wake = trio.Event()
                await self._wake.wait()
            while self._inbox:
                self.step(self._inbox.popleft())
            await trio.lowlevel.checkpoint()

    def step(self, event: ev.Event) -> None:
        """Reduce one event and start its effects.

        The event gets the time at which it is handled, so that a delay in
        the inbox counts towards the expiry of the lease.
        """
        event = attrs.evolve(event, at_ms=self.clock())
        effects = core.reduce(self.state, event)
        if self._recorder is not None:
            self._recorder(event, effects)
        for effect in effects:
            perform(effect, self)

    async def _tick(self) -> None:
        while True:
            self.post(ev.Ticked(self.clock()))
            await trio.sleep(_TICK_INTERVAL_S)

    async def _collect_garbage(self) -> None:
        """Clear ended sessions periodically.

        The random interval makes it unlikely that instances do so at once.
        """
        while True:
            await trio.sleep(_GARBAGE_INTERVAL_S * (1 + self.random.random()))
            with (
                trio.move_on_after(_GARBAGE_INTERVAL_S),
                contextlib.suppress(UnavailableError),
            ):
                await self._collect_garbage_once()

    async def _collect_garbage_once(self) -> None:
        """Clear ended sessions, unless an unreadable row prevents it.

        Such a row may refer to sessions that are still needed.
        """
        try:
            await collect_garbage(self.ports.table, self.ports.objects)
        except InputError as error:
            logger.error('sessions not cleared', reason=error.message)

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Start an effect's task in the background."""
        if self._nursery is not None:
            self._nursery.start_soon(self._run_timed, task, args)

    async def _run_timed(
        self,
        task: t.Callable[..., t.Awaitable[None]],
        args: tuple[t.Any, ...],
    ) -> None:
        """Run a task and report the duration of its effect to observers."""
        started_s = trio.current_time()
        await task(*args)
        elapsed_ms = (trio.current_time() - started_s) * _MS_PER_S
        if args and isinstance(args[0], fx.Effect):
            for observer in self.effect_observers:
                observer(args[0], elapsed_ms)
