"""The shell: performs effects and turns their results into events.

One shell runs one instance, in a daemon or under virtual time alike.
"""

from __future__ import annotations

import collections
import functools
import random
import typing as t

import attrs
import trio

from tulippin import codec, core
from tulippin import effects as fx
from tulippin import events as ev
from tulippin.bundle_store import BundleStore
from tulippin.bundles import BundleRow, parse_bundle, verify_row
from tulippin.exceptions import (
    FencedError,
    TulippinError,
    UnavailableError,
)
from tulippin.messages import (
    JobReply,
    RequestOutcome,
    ServiceRequest,
)
from tulippin.ports import EndpointReply, Envelope, Ports
from tulippin.state import Config, State
from tulippin.store import (
    SessionStore,
    collect_garbage,
    put_object,
    read_membership,
    read_row,
)
from tulippin.types import JobSpec, LeaseRow, OutcomeKind, Ownership

_TICK_S: t.Final = 0.05
_PEER_TIMEOUT_S: t.Final = 2.0
_SYNC_TIMEOUT_S: t.Final = 2.0
_TABLE_TIMEOUT_S: t.Final = 2.0
_OPEN_PAUSE_S: t.Final = 0.5
_PEER_PAUSE_S: t.Final = 0.2
_PEER_BATCH: t.Final = 2000
_PEER_QUEUE: t.Final = 50000
_GARBAGE_EVERY_S: t.Final = 60.0
_MS: t.Final = 1000

Clock = t.Callable[[], int]


@attrs.define
class PeerLink:
    """Messages that wait for one peer, one envelope in flight."""

    session_id: str
    address: str
    queue: collections.deque[t.Any] = attrs.field(factory=collections.deque)
    sequence: int = 0
    ready: trio.Event = attrs.field(factory=trio.Event)


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
        self._random = random.Random(seed)
        self._inbox: collections.deque[ev.Event] = collections.deque()
        self._wake = trio.Event()
        self._links: dict[str, PeerLink] = {}
        self._waiters: dict[int, Waiter] = {}
        self._next_call = 1
        self._store: SessionStore | None = None
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
            await trio.sleep(_GARBAGE_EVERY_S * (1 + self._random.random()))
            with trio.move_on_after(_GARBAGE_EVERY_S):
                try:
                    await collect_garbage(self.ports.table, self.ports.objects)
                except UnavailableError:
                    continue

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

    # -- sessions and leases -------------------------------------------------

    def _make_lease(
        self, session_id: str, count: int, bundle_number: int, leaving: bool
    ) -> LeaseRow:
        return LeaseRow(
            session_id,
            self.config.instance_id,
            self.config.failure_domain,
            self.config.peer_address,
            count,
            bundle_number,
            leaving,
        )

    async def open_session(self) -> None:
        """Open a new session, however long the table does not answer."""
        nonce = f'{self._random.getrandbits(48):012x}'
        session_id = f'{self.config.instance_id}:{nonce}'
        store = SessionStore(
            self.ports.table,
            self.ports.objects,
            session_id,
            self.config.journal_ring,
            self.config.seams,
        )
        sent_ms = self.clock()
        lease = self._make_lease(
            session_id, 0, self.state.bundle_number, leaving=False
        )
        try:
            await store.open(lease)
        except FencedError:
            await trio.sleep(_OPEN_PAUSE_S)
            self.start(self.open_session)
            return
        self._store = store
        self.post(
            ev.SessionOpened(
                self.clock(),
                session_id,
                sent_ms,
                self._random.getrandbits(32),
                self.wall(),
            )
        )

    async def close_session(self, effect: fx.CloseSession) -> None:
        """Close the session; a failure is left to its lease's end."""
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                await self._get_store(effect.session_id).close()
            except TulippinError:
                pass
        self.left.set()

    def _get_store(self, session_id: str) -> SessionStore:
        if self._store is None or self._store.session_id != session_id:
            raise FencedError('the session has ended')
        return self._store

    async def renew(self, effect: fx.RenewLease) -> None:
        """Renew the lease once and say what came of it."""
        sent_ms = self.clock()
        session_id = effect.session_id
        lease = self._make_lease(
            session_id,
            effect.renewal_count,
            effect.bundle_number,
            effect.leaving,
        )
        event: ev.Event = ev.LeaseFailed(0, session_id, sent_ms)
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                await self._get_store(session_id).renew(lease)
            except FencedError:
                event = ev.SessionRevoked(0, session_id)
            except UnavailableError:
                pass
            else:
                event = ev.LeaseRenewed(0, session_id, sent_ms)
        self.post(event)

    async def poll(self) -> None:
        """Read membership and the bundle's head."""
        event: ev.Event = ev.TableFailed(0)
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                membership = await read_membership(self.ports.table)
                rolled = await self.bundles.read_rolled()
            except TulippinError:
                pass
            else:
                event = ev.TablePolled(
                    0,
                    membership.ownership,
                    membership.ownership_version,
                    membership.leases,
                    rolled.number if rolled else 0,
                    rolled.state.value if rolled else '',
                    codec.encode(rolled).decode() if rolled else '',
                )
        self.post(event)

    async def list_instances(self) -> None:
        """Read the platform's list; an old one stays in use."""
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                listed = await self.ports.directory.list_instances()
            except UnavailableError:
                return
            self.post(ev.WorkersListed(0, listed.workers, listed.instances))

    async def write_ownership(self, effect: fx.WriteOwnership) -> None:
        """Replace the ownership row, once its bases are stored."""
        for key, body in effect.bases:
            await put_object(self.ports.objects, key, body)
        ownership = attrs.evolve(
            effect.ownership, token=f'{self._random.getrandbits(64):x}'
        )
        try:
            store = self._get_store(effect.session_id)
            resolved = await store.write_ownership(
                ownership, effect.expected_version, effect.revoke
            )
        except FencedError:
            return
        if resolved.version:
            revoked = tuple(lease.session_id for lease in effect.revoke)
            self.post(
                ev.OwnershipWritten(0, ownership, resolved.version, revoked)
            )
            return
        row = await read_row(self.ports.table, 'ownership')
        current = codec.decode(row.value, Ownership) if row else Ownership()
        self.post(ev.OwnershipRefused(0, current, row.version if row else 0))

    # -- journal -------------------------------------------------------------

    async def commit(self, effect: fx.CommitJournal) -> None:
        """Make a row durable, or learn that the session is over."""
        try:
            await self._get_store(effect.session_id).commit_row(
                effect.sequence, effect.records
            )
        except FencedError:
            self.post(ev.SessionRevoked(0, effect.session_id))
        else:
            self.post(
                ev.JournalCommitted(0, effect.session_id, effect.sequence)
            )

    async def publish(self, effect: fx.PublishSnapshot) -> None:
        """Publish a snapshot, or say that there is none."""
        event: ev.Event = ev.SnapshotFailed(0, effect.session_id)
        try:
            await self._get_store(effect.session_id).publish(
                effect.sequence, effect.body, effect.units
            )
        except FencedError:
            pass
        else:
            event = ev.SnapshotPublished(0, effect.session_id, effect.sequence)
        self.post(event)

    async def load_unit(self, effect: fx.LoadUnit) -> None:
        """Read a unit's state for its new owner."""
        try:
            store = self._get_store(effect.session_id)
            ledger = await store.load_unit(effect.unit, effect.holder)
        except FencedError:
            return
        self.post(
            ev.UnitLoaded(
                0, effect.session_id, effect.unit, effect.holder.epoch, ledger
            )
        )

    # -- peers, workers and endpoints ----------------------------------------

    def send_peer(self, effect: fx.SendPeer) -> None:
        """Queue messages for a peer."""
        link = self._links.get(effect.session_id)
        if link is None:
            link = PeerLink(effect.session_id, effect.address)
            self._links[effect.session_id] = link
            self.start(self._run_link, link)
        if len(link.queue) < _PEER_QUEUE:
            link.queue.extend(effect.messages)
        link.ready.set()

    async def _run_link(self, link: PeerLink) -> None:
        idle_s = _GARBAGE_EVERY_S
        while True:
            with trio.move_on_after(idle_s) as scope:
                await link.ready.wait()
            if scope.cancelled_caught and not link.queue:
                self._links.pop(link.session_id, None)
                return
            link.ready = trio.Event()
            while link.queue:
                await self._send_batch(link)

    async def _send_batch(self, link: PeerLink) -> None:
        count = min(_PEER_BATCH, len(link.queue))
        messages = tuple(link.queue.popleft() for _ in range(count))
        link.sequence = max(link.sequence + 1, self.clock())
        envelope = Envelope(
            self.state.session.session_id,
            self.config.instance_id,
            link.sequence,
            messages,
        )
        delivered = False
        with trio.move_on_after(_PEER_TIMEOUT_S):
            try:
                await self.ports.peers.deliver(link.address, envelope)
            except UnavailableError:
                pass
            else:
                delivered = True
        if not delivered:
            self.post(ev.PeerFailed(0, link.session_id, messages))
            await trio.sleep(_PEER_PAUSE_S)

    async def sync_worker(self, effect: fx.SyncWorker) -> None:
        """Send a worker its sync and take its report."""
        sync = effect.sync
        event: ev.Event = ev.WorkerFailed(
            0, sync.worker_id, sync.epoch, sync.sequence
        )
        with trio.move_on_after(_SYNC_TIMEOUT_S):
            try:
                report = await self.ports.workers.sync(effect.address, sync)
            except FencedError:
                event = attrs.evolve(event, refused=True)
            except UnavailableError:
                pass
            else:
                event = ev.WorkerSynced(
                    0, sync.worker_id, sync.epoch, sync.sequence, report
                )
        self.post(event)

    async def call_endpoint(self, effect: fx.CallEndpoint) -> None:
        """Send one request to an endpoint, once."""
        began = trio.current_time()
        reply = EndpointReply(RequestOutcome(OutcomeKind.UNKNOWN, 'timeout'))
        with trio.move_on_after(effect.timeout_ms / _MS):
            reply = await self.ports.endpoints.call(
                effect.address, effect.request, effect.epoch
            )
        elapsed_ms = (trio.current_time() - began) * _MS
        self.post(
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

    # -- bundles ---------------------------------------------------------------

    def verify_bundle(self, effect: fx.VerifyBundle) -> None:
        """Check a bundle's signatures and text."""
        bundle = None
        try:
            row = codec.decode(effect.approved, BundleRow)
            verify_row(self.keys, row)
            if row.number == effect.number:
                bundle = parse_bundle(row.text, f'bundle {row.number}')
        except TulippinError:
            bundle = None
        self.post(ev.BundleLearned(0, effect.number, effect.approved, bundle))

    async def fetch_bundle(self, effect: fx.FetchBundle) -> None:
        """Ask one instance for its bundle."""
        with trio.move_on_after(_PEER_TIMEOUT_S):
            try:
                sent = await self.ports.peers.fetch_bundle(effect.address)
            except UnavailableError:
                return
            if sent is not None:
                self.post(ev.BundleFetched(0, sent.number, sent.approved))

    async def mark_in_force(self, effect: fx.MarkInForce) -> None:
        """Note in the table that all hold a bundle; a failure is retried."""
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                await self.bundles.mark_in_force(effect.number)
            except TulippinError:
                return


@functools.singledispatch
def perform(effect: fx.Effect, shell: Shell) -> None:
    """Begin one effect."""
    raise NotImplementedError(type(effect))


@perform.register
def _(effect: fx.OpenSession, shell: Shell) -> None:
    shell.start(shell.open_session)


@perform.register
def _(effect: fx.CloseSession, shell: Shell) -> None:
    shell.start(shell.close_session, effect)


@perform.register
def _(effect: fx.Leave, shell: Shell) -> None:
    """Do nothing: closing the session sets ``left``."""


@perform.register
def _(effect: fx.RenewLease, shell: Shell) -> None:
    shell.start(shell.renew, effect)


@perform.register
def _(effect: fx.PollTable, shell: Shell) -> None:
    shell.start(shell.poll)


@perform.register
def _(effect: fx.ListWorkers, shell: Shell) -> None:
    shell.start(shell.list_instances)


@perform.register
def _(effect: fx.WriteOwnership, shell: Shell) -> None:
    shell.start(shell.write_ownership, effect)


@perform.register
def _(effect: fx.CommitJournal, shell: Shell) -> None:
    shell.start(shell.commit, effect)


@perform.register
def _(effect: fx.PublishSnapshot, shell: Shell) -> None:
    shell.start(shell.publish, effect)


@perform.register
def _(effect: fx.LoadUnit, shell: Shell) -> None:
    shell.start(shell.load_unit, effect)


@perform.register
def _(effect: fx.SendPeer, shell: Shell) -> None:
    shell.send_peer(effect)


@perform.register
def _(effect: fx.SyncWorker, shell: Shell) -> None:
    shell.start(shell.sync_worker, effect)


@perform.register
def _(effect: fx.CallEndpoint, shell: Shell) -> None:
    shell.start(shell.call_endpoint, effect)


@perform.register
def _(effect: fx.AnswerRequest, shell: Shell) -> None:
    shell.answer(effect.call_id, effect.outcome)


@perform.register
def _(effect: fx.AnswerJob, shell: Shell) -> None:
    shell.answer(effect.call_id, effect.reply)


@perform.register
def _(effect: fx.AnswerReport, shell: Shell) -> None:
    shell.answer(effect.call_id, effect)


@perform.register
def _(effect: fx.VerifyBundle, shell: Shell) -> None:
    shell.verify_bundle(effect)


@perform.register
def _(effect: fx.FetchBundle, shell: Shell) -> None:
    shell.start(shell.fetch_bundle, effect)


@perform.register
def _(effect: fx.MarkInForce, shell: Shell) -> None:
    shell.start(shell.mark_in_force, effect)


@perform.register
def _(effect: fx.ObserveLatency, shell: Shell) -> None:
    for observer in shell.observers:
        observer(effect)
