"""The scheduler's shell: performs effects, turns results into events."""

from __future__ import annotations

import collections
import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError
from tulippin.jobs import (
    _row_effects,
    _worker_effects,
    core,
)
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._perform import perform
from tulippin.jobs._rows import get_version, read_record
from tulippin.jobs._unit_feeds import (
    FEED_PAUSE_S,
    FEED_WAIT_MS,
    UnitFeeds,
)
from tulippin.jobs.ports import (
    Advisor,
    Feeds,
    HistoryLostError,
    RowStore,
    StoredRow,
    WorkerAgents,
)
from tulippin.jobs.records import (
    EPOCH_KEY,
    LEASE_KEY,
    UNITS_TABLE,
    EpochRecord,
    LeaseRecord,
)
from tulippin.jobs.state import Phase, SchedulerConfig, SchedulerState
from tulippin.jobs.types import Configuration
from tulippin.latencies import LatencyTable
from tulippin.logs import logger

# Imported for the effects that they register.
EFFECT_MODULES: t.Final = (_row_effects, _worker_effects)

_MS: t.Final = 1000
_TICK_S: t.Final = 0.05

Clock = t.Callable[[], int]


@attrs.frozen
class SchedulerPorts:
    """Everything that the shell reaches."""

    store: RowStore
    feeds: Feeds
    workers: WorkerAgents
    forget_worker: t.Callable[[str], t.Awaitable[None]]
    advisor: Advisor


class SchedulerShell:
    """Runs one instance's scheduler; an asynchronous context manager.

    Parameters
    ----------
    config : SchedulerConfig
        What the instance knows from its settings.
    ports : SchedulerPorts
        Everything outside.
    clock, wall : callable
        Return monotonic milliseconds that count suspension, and the
        time of day in milliseconds.
    """

    def __init__(
        self,
        config: SchedulerConfig,
        ports: SchedulerPorts,
        *,
        clock: Clock,
        wall: Clock,
    ) -> None:
        self.config = config
        self.ports = ports
        self.clock = clock
        self.wall = wall
        self.state: SchedulerState = core.make_state(config)
        self.configured = trio.Event()
        self.lease: LeaseRecord | None = None
        self.store_answered_ms = 0
        self._store_answers = False
        self.latencies = LatencyTable()
        self._inbox: collections.deque[ev.JobEvent] = collections.deque()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._manager: t.Any = None
        self._unit_feeds: UnitFeeds | None = None
        self._left = trio.Event()

    async def __aenter__(self) -> t.Self:
        """Start the scheduler."""
        self._manager = trio.open_nursery()
        self._nursery = await self._manager.__aenter__()
        for task in (
            self._tick,
            self._run,
            self._follow_configuration,
            self._follow_lease,
        ):
            self._nursery.start_soon(task)
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop at once, as a crash would."""
        self._nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*details)

    @property
    def configuration(self) -> Configuration | None:
        """The operators' configuration in force here."""
        return self.state.configuration

    async def leave(self) -> None:
        """Give up the unit in a planned way."""
        self.post(ev.StopRequested(self.clock()))
        await self._left.wait()

    def post(self, event: ev.JobEvent) -> None:
        """Put an event into the inbox."""
        self._inbox.append(event)
        self._wake.set()

    # -- the loop ----------------------------------------------------------

    async def _run(self) -> None:
        while True:
            if not self._inbox:
                self._wake = trio.Event()
                await self._wake.wait()
            while self._inbox:
                self.step(self._inbox.popleft())
            await trio.lowlevel.checkpoint()

    def step(self, event: ev.JobEvent) -> None:
        """Reduce one event and begin its effects."""
        event = attrs.evolve(event, at_ms=self.clock())
        effects = core.reduce(self.state, event)
        for effect in effects:
            perform(effect, self)
        if self.state.ownership.phase is Phase.LEFT:
            self._left.set()

    async def _tick(self) -> None:
        while True:
            self.post(ev.Ticked(self.clock(), self.wall()))
            await trio.sleep(_TICK_S)

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run an effect's task beside the loop."""
        if self._nursery is not None:
            self._nursery.start_soon(self._time, task, args)

    async def _time(
        self,
        task: t.Callable[..., t.Awaitable[None]],
        args: tuple[t.Any, ...],
    ) -> None:
        """Run a task and keep how long its effect took."""
        began_ms = self.clock()
        await task(*args)
        if args and isinstance(args[0], fx.JobEffect):
            self.observe(
                'tulippin_effect_seconds', type(args[0]).__name__, began_ms
            )

    def observe(self, name: str, label: str, began_ms: int) -> None:
        """Keep a latency that began at a time and ends now."""
        self.latencies.record(name, label, self.clock() - began_ms)

    # -- feeds -------------------------------------------------------------

    async def _follow_configuration(self) -> None:
        after = -1
        while True:
            try:
                if after < 0:
                    found, after = await self.ports.feeds.read_configuration()
                else:
                    feeds = self.ports.feeds
                    found, after = await feeds.follow_configuration(
                        after, FEED_WAIT_MS
                    )
            except HistoryLostError:
                logger.info('feed restarts', feed='configuration')
                after = -1
                continue
            except UnavailableError as error:
                self.note_store(error)
                await trio.sleep(FEED_PAUSE_S)
                continue
            self.note_store()
            if found is not None:
                self.post(ev.ConfigurationChanged(self.clock(), found))
                self.configured.set()

    async def _follow_lease(self) -> None:
        """Watch the unit's owner while another instance owns it."""
        after = -1
        rows: dict[str, StoredRow] = {}
        while True:
            try:
                if after < 0:
                    part = self.config.unit.part
                    page = await self.ports.store.read_rows(UNITS_TABLE, part)
                    rows = {row.key: row for row in page.rows}
                else:
                    page = await self.ports.store.follow(
                        UNITS_TABLE, after, FEED_WAIT_MS
                    )
                    rows.update(
                        (row.key, row)
                        for row in page.rows
                        if row.part == self.config.unit.part
                    )
            except HistoryLostError:
                after = -1
                continue
            except UnavailableError as error:
                self.note_store(error)
                await trio.sleep(FEED_PAUSE_S)
                continue
            self.note_store()
            after = page.version
            self._post_lease(rows)
            phase = self.state.ownership.phase
            if phase is Phase.LEFT:
                return
            if phase is Phase.TAKING:
                await trio.sleep(FEED_PAUSE_S)
                after = -1
            elif phase is not Phase.STANDING_BY:
                await trio.sleep(FEED_WAIT_MS / _MS)
                after = -1

    def _post_lease(self, rows: dict[str, StoredRow]) -> None:
        lease = read_record(rows.get(LEASE_KEY), LeaseRecord)
        epoch = read_record(rows.get(EPOCH_KEY), EpochRecord)
        self.lease = lease
        self.post(
            ev.LeaseSeen(
                self.clock(),
                lease,
                get_version(rows.get(LEASE_KEY)),
                epoch,
                get_version(rows.get(EPOCH_KEY)),
            )
        )

    def note_store(self, error: UnavailableError | None = None) -> None:
        """Note whether the store answers; log when that changes."""
        if error is None:
            if not self._store_answers:
                logger.info('store answers')
            self._store_answers = True
            self.store_answered_ms = self.clock()
        elif self._store_answers:
            age_ms = self.clock() - self.store_answered_ms
            logger.warning(
                'store lost', reason=error.message, answered_ago_ms=age_ms
            )
            self._store_answers = False

    def follow_unit(self) -> None:
        """Load the unit that is owned now, and follow it."""
        self._unit_feeds = UnitFeeds(self)
        self.start(self._unit_feeds.run)

    def forget_unit(self) -> None:
        """Stop following the unit."""
        if self._unit_feeds is not None:
            self._unit_feeds.scope.cancel()
            self._unit_feeds = None


@perform.register
def _log(effect: fx.LogDecision, shell: SchedulerShell) -> None:
    logger.info(effect.decision, **effect.fields)


@perform.register
def _load_unit(effect: fx.LoadUnit, shell: SchedulerShell) -> None:
    shell.follow_unit()


@perform.register
def _forget_unit(effect: fx.ForgetUnit, shell: SchedulerShell) -> None:
    shell.forget_unit()
