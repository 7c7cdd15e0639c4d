"""The shell: performs effects and turns their results into events.

One shell runs one instance, in a daemon or under virtual time alike.
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

_TICK_S: t.Final = 0.05
_GARBAGE_EVERY_S: t.Final = 60.0
_MS: t.Final = 1000

Clock = t.Callable[[], int]


@attrs.define
class Waiter:
    """A call from outside that waits for its answer."""

    done: trio.Event = attrs.field(factory=trio.Event)
    answer: t.Any = None


class Shell:
    """Runs one instance; an asynchronous context manager.

    Parameters
    ----------
    config : Config
        What the instance knows from its settings.
    ports : Ports
        Everything outside.
    keys : mapping of str to str
        Operators' public keys, to verify bundles.
    clock : callable
        Returns monotonic milliseconds that count suspension.
    wall : callable
        Returns the time of day in milliseconds.
    seed : int
        For everything random in this instance.
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
        self._waiters: dict[int, Waiter] = {}
        self._next_call = 1
        self._greeted = ''
        self._nursery: trio.Nursery | None = None
        self._manager: t.Any = None

    async def __aenter__(self) -> t.Self:
        """Start the instance."""
        self._manager = trio.open_nursery()
        self._nursery = await self._manager.__aenter__()
        self._nursery.start_soon(self._tick)
        self._nursery.start_soon(self._run)
        self._nursery.start_soon(self._collect)
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop at once, as a crash would."""
        self._nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*details)

    # -- calls from outside ------------------------------------------------

    async def request(self, request: ServiceRequest) -> RequestOutcome:
        """Carry a caller's request; ``deadline_ms`` is time remaining."""
        call_id, waiter = self._open_call()
        deadline_ms = self.clock() + request.deadline_ms
        self.post(
            ev.RequestArrived(
                self.clock(),
                call_id,
                attrs.evolve(request, deadline_ms=deadline_ms),
            )
        )
        return t.cast(RequestOutcome, await self._wait(call_id, waiter))

    async def operate_job(
        self,
        action: str,
        job_id: str,
        spec: JobSpec | None = None,
        digest: str = '',
    ) -> JobReply:
        """Carry a caller's operation on a job."""
        call_id, waiter = self._open_call()
        self.post(
            ev.JobRequested(
                self.clock(), call_id, action, job_id, '', spec, digest
            )
        )
        return t.cast(JobReply, await self._wait(call_id, waiter))

    async def report(self, kind: str) -> fx.AnswerReport:
        """Return the parts of a report from all instances."""
        call_id, waiter = self._open_call()
        self.post(ev.ReportRequested(self.clock(), call_id, kind))
        return t.cast(fx.AnswerReport, await self._wait(call_id, waiter))

    def receive(self, envelope: Envelope) -> None:
        """Take in a peer's messages."""
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
        """Return why callers should go elsewhere, or an empty text.

        A peer that has been heard knows this session, and so can reply;
        a session asks that once, not at each newcomer.
        """
        state = self.state
        standing = state.session.standing
        if standing in {Standing.OPENING, Standing.LEFT}:
            return 'no session: the table does not answer'
        if not state.ownership.units:
            return 'no units are known yet'
        if self._greeted == state.session.session_id:
            return ''
        limit_ms = state.config.silence_limit_ms
        unheard = any(
            peer.last_heard_ms < 0
            and state.now_ms - peer.first_seen_ms < limit_ms
            for peer in state.peers.values()
        )
        if unheard:
            return 'peers are not heard yet'
        self._greeted = state.session.session_id
        return ''

    def stop(self) -> None:
        """Begin a planned stop; ``left`` is set at its end."""
        self.post(ev.StopRequested(self.clock()))

    def post(self, event: ev.Event) -> None:
        """Put an event into the inbox."""
        self._inbox.append(event)
        self._wake.set()

    def _open_call(self) -> tuple[int, Waiter]:
        call_id = self._next_call
        self._next_call += 1
        waiter = Waiter()
        self._waiters[call_id] = waiter
        return call_id, waiter

    async def _wait(self, call_id: int, waiter: Waiter) -> t.Any:
        try:
            await waiter.done.wait()
        finally:
            self._waiters.pop(call_id, None)
        return waiter.answer

    def answer(self, call_id: int, answer: t.Any) -> None:
        """Give a waiting call its answer."""
        waiter = self._waiters.get(call_id)
        if waiter is not None:
            waiter.answer = answer
            waiter.done.set()

    # -- the loop ----------------------------------------------------------

    async def _run(self) -> None:
        while True:
            if not self._inbox:
                self._wake = trio.Event()
                await self._wake.wait()
            while self._inbox:
                self.step(self._inbox.popleft())
            await trio.lowlevel.checkpoint()

    def step(self, event: ev.Event) -> None:
        """Reduce one event and begin its effects.

        The event's time is that of its handling: a pause between the
        two must not hide from the lease.
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
            await trio.sleep(_TICK_S)

    async def _collect(self) -> None:
        """Clear ended sessions, one instance at a time by chance."""
        while True:
            await trio.sleep(_GARBAGE_EVERY_S * (1 + self.random.random()))
            with (
                trio.move_on_after(_GARBAGE_EVERY_S),
                contextlib.suppress(UnavailableError),
            ):
                await self._collect_once()

    async def _collect_once(self) -> None:
        """Clear ended sessions, unless a row hides which ones are needed."""
        try:
            await collect_garbage(self.ports.table, self.ports.objects)
        except InputError as error:
            logger.error('sessions not cleared', reason=error.message)

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run an effect's task beside the loop."""
        if self._nursery is not None:
            self._nursery.start_soon(self._time, task, args)

    async def _time(
        self,
        task: t.Callable[..., t.Awaitable[None]],
        args: tuple[t.Any, ...],
    ) -> None:
        """Run a task and tell how long its effect took."""
        began = trio.current_time()
        await task(*args)
        elapsed_ms = (trio.current_time() - began) * _MS
        if args and isinstance(args[0], fx.Effect):
            for observer in self.effect_observers:
                observer(args[0], elapsed_ms)
