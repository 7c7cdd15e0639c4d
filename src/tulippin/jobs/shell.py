"""The scheduler's shell: runs the units' events, performs their effects."""

from __future__ import annotations

import collections
import random
import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError
from tulippin.jobs import _balancing
from tulippin.jobs import events as ev
from tulippin.jobs._resolving import AnswerTimes
from tulippin.jobs._unit_feeds import FEED_PAUSE_S, FEED_WAIT_MS
from tulippin.jobs._unit_watch import UnitWatch
from tulippin.jobs.layout import get_rack
from tulippin.jobs.ports import HistoryLostError, SchedulerPorts
from tulippin.jobs.records import LayoutRecord, Unit
from tulippin.jobs.state import Job, SchedulerConfig
from tulippin.jobs.types import Configuration, JobRequest, WorkerEntry
from tulippin.jobs.unit_shell import UnitShell
from tulippin.latency_histograms import LatencyTable
from tulippin.logs import logger
from tulippin.supervision import keep_running

_MS: t.Final = 1000
_TICK_S: t.Final = 0.05
# An instance that has no unit looks less often whether one is free, as a
# takeover takes two seconds: 87 of 97 instances have none, and each wake-up
# costs some 0.1 ms.
_STANDBY_S: t.Final = 0.2
# How long the loop handles events before calls go on: a renewal of the
# lease takes some ten turns, which have to fit into its 0.5 s.
_SLICE_MS: t.Final = 15
# An event that waited so long says that the instance falls behind.
_LATE_MS: t.Final = 500
_LATE_LOG_EVERY_MS: t.Final = 1000

Clock = t.Callable[[], int]

_Entry: t.TypeAlias = tuple[UnitShell, ev.JobEvent]


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
        self.units: dict[int, UnitShell] = {}
        self.layout: LayoutRecord | None = None
        self.configuration: Configuration | None = None
        self.configured = trio.Event()
        self.laid_out = trio.Event()
        self.store_answered_ms = 0
        self.event_age_ms = 0
        self.latencies = LatencyTable()
        self.answer_times = AnswerTimes()
        self._policy: ev.PolicyChanged | None = None
        self._store_answers = False
        self._urgent: collections.deque[_Entry] = collections.deque()
        self._inbox: collections.deque[_Entry] = collections.deque()
        self._late_logged_ms = 0
        self._wake = trio.Event()
        self._has_unit = trio.Event()
        self._is_leaving = False
        self._nursery: trio.Nursery | None = None
        self._manager: t.Any = None
        self._demands = _balancing.Demands(random.Random(config.session_id))

    async def __aenter__(self) -> t.Self:
        """Start the scheduler."""
        self._manager = trio.open_nursery()
        self._nursery = await self._manager.__aenter__()
        for what, task in (
            ('tick', self._tick),
            ('loop', self._run),
            ('configuration', self._follow_configuration),
            ('units', UnitWatch(self).run),
        ):
            self._nursery.start_soon(keep_running, what, task)
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop at once, as a crash would."""
        self._nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*details)

    @property
    def has_seen_units(self) -> bool:
        """Whether it has been read of each unit who owns it."""
        return all(unit.is_seen for unit in self.units.values())

    async def leave(self) -> None:
        """Give up all units in a planned way."""
        self._is_leaving = True
        for unit in self.units.values():
            unit.post(ev.StopRequested(self.clock()))
        while not all(unit.has_left for unit in self.units.values()):
            await trio.sleep(_TICK_S / 2)

    # -- units ---------------------------------------------------------------

    def take_layout(self, layout: LayoutRecord) -> None:
        """Know the units of a layout."""
        self.layout = layout
        self.laid_out.set()
        for number in layout.unit_numbers:
            if number not in self.units:
                self._add_unit(number)

    def _add_unit(self, number: int) -> None:
        config = attrs.evolve(self.config, unit=Unit(number))
        self._begin_unit(UnitShell(config, self))

    def replace_unit(
        self, failed: UnitShell, unit: UnitShell, rest_ms: int
    ) -> None:
        """Go on with a unit's next life; the other units know of nothing.

        It rests first, and is told nothing meanwhile: one that fails at all
        that it is told would take the whole instance's time.
        """
        for inbox in (self._urgent, self._inbox):
            kept = [entry for entry in inbox if entry[0] is not failed]
            inbox.clear()
            inbox.extend(kept)
        self.units[unit.config.unit.number] = unit
        if rest_ms:
            unit.is_resting = True
            self.start(self._begin_later, unit, rest_ms)
        else:
            self._go_on(unit)

    async def _begin_later(self, unit: UnitShell, rest_ms: int) -> None:
        await trio.sleep(rest_ms / _MS)
        unit.is_resting = False
        self._go_on(unit)

    def _go_on(self, unit: UnitShell) -> None:
        """Tell a unit's next life all that its last one knew of."""
        self._begin_unit(unit)
        unit.see_rows(())
        if self._is_leaving:
            unit.post(ev.StopRequested(self.clock()))

    def _begin_unit(self, unit: UnitShell) -> None:
        self.units[unit.config.unit.number] = unit
        if self.configuration is not None:
            event = ev.ConfigurationChanged(self.clock(), self.configuration)
            unit.post(event)
        if self._policy is not None:
            unit.post(self._policy)

    def get_unit_number(self, entry: WorkerEntry) -> int | None:
        """Return the unit of a worker; nothing if its rack is new."""
        if self.layout is None:
            return None
        return self.layout.racks.get(get_rack(entry))

    def find_job(self, job_id: str) -> tuple[UnitShell, Job] | None:
        """Return a job that a unit owned here keeps."""
        for unit in self.units.values():
            job = unit.state.jobs.get(job_id)
            if unit.is_owner and job is not None and not job.is_guest:
                return unit, job
        return None

    def choose_unit(self, request: JobRequest) -> int | None:
        """Return the unit that is to keep a new job, if any is known."""
        if self.layout is None or not self.units:
            return None
        return _balancing.choose_unit(
            request, self.units, self.layout, self._demands, self.clock()
        )

    # -- the loop ----------------------------------------------------------

    def post(self, event: ev.JobEvent) -> None:
        """Put an event that concerns every unit into the inbox."""
        if isinstance(event, ev.PolicyChanged):
            self._policy = event
        for unit in self.units.values():
            self.post_to(unit, event)

    def post_to(self, unit: UnitShell, event: ev.JobEvent) -> None:
        """Put an event of a unit into the inbox.

        What ownership hangs on goes first: an owner that falls behind
        must not lose its unit for that.
        """
        inbox = self._inbox
        if isinstance(event, ev.OWNERSHIP_EVENTS):
            inbox = self._urgent
        inbox.append((unit, event))
        self._wake.set()

    async def _run(self) -> None:
        while True:
            if not (self._urgent or self._inbox):
                self._wake = trio.Event()
                await self._wake.wait()
            self._handle_some()
            await trio.lowlevel.checkpoint()

    def _handle_some(self) -> None:
        """Handle events for one slice of time."""
        until_ms = self.clock() + _SLICE_MS
        held = sum(unit.is_held for unit in self.units.values())
        while self._urgent or self._inbox:
            inbox = self._urgent or self._inbox
            unit, event = inbox.popleft()
            self._note_age(event)
            unit.state.other_units = held - unit.is_held
            unit.step(event)
            held = unit.state.other_units + unit.is_held
            if held:
                self._has_unit.set()
            if self.clock() >= until_ms:
                return

    def _note_age(self, event: ev.JobEvent) -> None:
        now_ms = self.clock()
        self.event_age_ms = now_ms - event.at_ms
        since_ms = now_ms - self._late_logged_ms
        if self.event_age_ms > _LATE_MS and since_ms > _LATE_LOG_EVERY_MS:
            self._late_logged_ms = now_ms
            logger.warning(
                'events late',
                age_ms=self.event_age_ms,
                waiting=len(self._inbox) + len(self._urgent),
            )

    async def _tick(self) -> None:
        while True:
            units = list(self.units.values())
            for unit in units:
                unit.tick(self.wall())
            if any(unit.is_held for unit in units):
                await trio.sleep(_TICK_S)
            else:
                await self._stand_by()
            while self._urgent:
                # The loop is busy: a second tick would say nothing new.
                await trio.sleep(_TICK_S)

    async def _stand_by(self) -> None:
        """Wait for the next tick of an instance that has no unit."""
        self._has_unit = trio.Event()
        with trio.move_on_after(_STANDBY_S):
            await self._has_unit.wait()

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run a unit's task beside the loop."""
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)

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
                self._configure(found)

    def _configure(self, found: Configuration) -> None:
        known = self.configuration
        if known is not None and found.version <= known.version:
            return
        self.configuration = found
        logger.info('configuration in force', version=found.version)
        self.post(ev.ConfigurationChanged(self.clock(), found))
        self.configured.set()

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
