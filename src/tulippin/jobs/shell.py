"""The scheduler's shell: the event loop for all units of one instance.

It holds a ``UnitShell`` for each unit of the layout, queues and dispatches
their events, and follows the operators' settings.
"""

from __future__ import annotations

import collections
import functools
import math
import random
import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError
from tulippin.jobs import (
    _admission_inputs,
    _home_selection,
    _read_schedule,
    _task_limits,
)
from tulippin.jobs import events as ev
from tulippin.jobs._inbox import EventInbox
from tulippin.jobs._loop_load import LoopLoad
from tulippin.jobs._owner_loads import measure_load
from tulippin.jobs._transactions import AnswerTimes
from tulippin.jobs._unit_feeds import FEED_RETRY_PAUSE_S
from tulippin.jobs._unit_watch import UnitWatch
from tulippin.jobs._write_bounds import StoreLoad, list_reported_s
from tulippin.jobs.admission import Admission
from tulippin.jobs.layout import get_rack
from tulippin.jobs.ports import (
    HistoryLostError,
    OperatorSettings,
    SchedulerPorts,
)
from tulippin.jobs.records import LayoutRecord, Unit
from tulippin.jobs.state import Job, SchedulerConfig
from tulippin.jobs.types import Configuration, JobRequest, WorkerEntry
from tulippin.jobs.unit_shell import UnitShell
from tulippin.latency_histograms import LatencyTable
from tulippin.logs import logger
from tulippin.supervision import keep_running

_MS: t.Final = 1000
_TICK_S: t.Final = 0.05
# An instance without units ticks less often, as a takeover takes two seconds
# anyway: 87 of 97 instances have no unit, and each wake-up costs some 0.1 ms.
_STANDBY_TICK_S: t.Final = 0.2
# How long the loop handles events before other tasks run: a renewal of the
# lease takes some ten turns of the loop, which have to fit into its 0.5 s.
_SLICE_MS: t.Final = 15

# Events at which units are taken and released, by the load of the instance.
_LOAD_EVENTS: t.Final = (ev.Ticked, ev.LeaseSeen)

Clock = t.Callable[[], int]


class SchedulerShell:
    """Runs one instance's scheduler; an asynchronous context manager.

    Parameters
    ----------
    config : SchedulerConfig
        The settings, from which each unit's configuration is derived.
    ports : SchedulerPorts
        The interfaces to the platform.
    clock, wall : callable
        Return the time in milliseconds: ``clock`` that of a monotonic clock
        that includes suspension, ``wall`` the time of day.
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
        self.evacuated_domains: frozenset[str] = frozenset()
        self.settings_known = trio.Event()
        self.layout_known = trio.Event()
        self.store_answered_ms = 0
        self.load = LoopLoad(clock())
        self.lowest_other_load = math.inf
        self.latencies = LatencyTable()
        self.read_counts: collections.Counter[str] = collections.Counter()
        self.answer_times = AnswerTimes()
        self.admission = Admission()
        self.store_load = StoreLoad(
            self.answer_times,
            functools.partial(list_reported_s, self.units, clock),
            random.Random(config.session_id),
        )
        self._policy: ev.PolicyChanged | None = None
        self._is_store_available = False
        self._inbox = EventInbox()
        self._wake = trio.Event()
        self._has_unit = trio.Event()
        self._is_leaving = False
        self._nursery: trio.Nursery | None = None
        self._nursery_manager: t.Any = None
        self._demands = _home_selection.RoutedDemand(
            random.Random(config.session_id)
        )
        self.sent_tasks = _task_limits.SentTasks()

    async def __aenter__(self) -> t.Self:
        """Start the scheduler."""
        self._nursery_manager = trio.open_nursery()
        self._nursery = await self._nursery_manager.__aenter__()
        for name, task in (
            ('tick', self._tick),
            ('loop', self._run),
            ('settings', self._follow_settings),
            ('units', UnitWatch(self).run),
        ):
            self._nursery.start_soon(keep_running, name, task)
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop immediately, without releasing any unit."""
        self._nursery.cancel_scope.cancel()
        await self._nursery_manager.__aexit__(*details)

    @property
    def are_owners_known(self) -> bool:
        """Whether the owner of each unit has been read."""
        return all(unit.is_seen for unit in self.units.values())

    async def leave(self) -> None:
        """Release all units in a planned way; return once that is done."""
        self._is_leaving = True
        for unit in self.units.values():
            unit.post(ev.StopRequested(self.clock()))
        while not all(unit.has_left for unit in self.units.values()):
            await trio.sleep(_TICK_S / 2)

    # -- units ---------------------------------------------------------------

    def apply_layout(self, layout: LayoutRecord) -> None:
        """Set the layout, and add a shell for each new unit."""
        self.layout = layout
        self.layout_known.set()
        for number in layout.unit_numbers:
            if number not in self.units:
                self._add_unit(number)
        if self.evacuated_domains:
            self.post(self._make_evacuations_event())

    def _add_unit(self, number: int) -> None:
        config = attrs.evolve(self.config, unit=Unit(number))
        self._start_unit(UnitShell(config, self))

    def replace_unit(
        self, failed: UnitShell, unit: UnitShell, backoff_ms: int
    ) -> None:
        """Replace the shell of a failed unit by a new one.

        The queued events of the failed shell are dropped; other units are not
        affected. The new shell gets no event for ``backoff_ms``, as one that
        fails at every event would otherwise use up the instance's processor.
        """
        self._inbox.drop(failed)
        self.units[unit.config.unit.number] = unit
        if backoff_ms:
            unit.is_backing_off = True
            self.start(self._start_replacement_later, unit, backoff_ms)
        else:
            self._start_replacement(unit)

    async def _start_replacement_later(
        self, unit: UnitShell, backoff_ms: int
    ) -> None:
        await trio.sleep(backoff_ms / _MS)
        unit.is_backing_off = False
        self._start_replacement(unit)

    def _start_replacement(self, unit: UnitShell) -> None:
        """Start a unit's new shell with the current rows and settings."""
        self._start_unit(unit)
        unit.apply_rows(())

    def _start_unit(self, unit: UnitShell) -> None:
        self.units[unit.config.unit.number] = unit
        if self.configuration is not None:
            event = ev.ConfigurationChanged(self.clock(), self.configuration)
            unit.post(event)
        if self.evacuated_domains:
            unit.post(self._make_evacuations_event())
        if self._policy is not None:
            unit.post(self._policy)
        if self._is_leaving:
            unit.post(ev.StopRequested(self.clock()))

    def get_unit_number(self, entry: WorkerEntry) -> int | None:
        """Return the unit of a worker, or None if its rack has none yet."""
        if self.layout is None:
            return None
        return self.layout.racks.get(get_rack(entry))

    def find_job(self, job_id: str) -> tuple[UnitShell, Job] | None:
        """Return a job and its home unit, if this instance owns that unit."""
        for unit in self.units.values():
            job = unit.state.jobs.get(job_id)
            if unit.is_owner and job is not None and not job.is_transferred:
                return unit, job
        return None

    def choose_unit(self, request: JobRequest, service: str) -> int | None:
        """Return the home unit for a new job, or None without a layout.

        Parameters
        ----------
        request : JobRequest
            What the job asks for.
        service : str
            The service whose workers run the job.
        """
        if self.layout is None or not self.units:
            return None
        counts = _admission_inputs.count_kept_tasks(self)
        with_room = {
            number: unit
            for number, unit in self.units.items()
            if _task_limits.has_room(counts[number], request)
        }
        number = _home_selection.choose_unit(
            request,
            with_room or self.units,
            self.layout,
            self._demands,
            self.clock(),
            self.list_evacuated_units(),
            service,
        )
        seen_ms = _admission_inputs.get_seen_ms(self.units[number])
        self.sent_tasks.add(number, seen_ms, request.task_count)
        return number

    def list_evacuated_units(self) -> frozenset[int]:
        """Return the units all of whose workers are evacuated."""
        if self.layout is None:
            return frozenset()
        return frozenset(
            int(number)
            for number, domain in self.layout.failure_domains.items()
            if domain in self.evacuated_domains
        )

    # -- the loop ----------------------------------------------------------

    def post(self, event: ev.JobEvent) -> None:
        """Queue an event for every unit."""
        if isinstance(event, ev.PolicyChanged):
            self._policy = event
        for unit in self.units.values():
            self.post_to(unit, event)

    def post_to(self, unit: UnitShell, event: ev.JobEvent) -> None:
        """Queue an event for one unit.

        Events that ownership depends on go first, so that an overloaded owner
        does not lose its unit, and decides nothing beside its successor. Those
        that the leases of workers depend on follow.
        """
        self._inbox.put(unit, event)
        self._wake.set()

    async def _run(self) -> None:
        while True:
            if not self._inbox:
                self._wake = trio.Event()
                await self._wake.wait()
            self._handle_slice()
            await trio.lowlevel.checkpoint()

    def _handle_slice(self) -> None:
        """Handle events for one slice of time."""
        began_ms = self.clock()
        used_ms = 0
        while self._inbox and used_ms < _SLICE_MS:
            unit, event = self._inbox.take()
            self.load.note_event(event, self.clock(), len(self._inbox))
            if isinstance(event, _LOAD_EVENTS):
                unit.state.instance_load = measure_load(
                    [one for one in self.units.values() if one is not unit],
                    self.load.tick_delay_ms,
                    self.lowest_other_load,
                )
            release_count = unit.state.overload_release_count
            unit.step(event)
            if unit.state.overload_release_count > release_count:
                # The next unit is released only if the loop is late without
                # this one.
                self.load.restart(self.clock())
            if unit.is_claimed:
                self._has_unit.set()
            before_ms, used_ms = used_ms, self.clock() - began_ms
            self._inbox.note_handled(event, used_ms - before_ms)

    async def _tick(self) -> None:
        while True:
            units = list(self.units.values())
            for unit in units:
                unit.tick(self.wall())
            claimed = self._list_claimed()
            self.load.note_units(claimed, self.clock())
            if claimed:
                await self.load.sleep(_TICK_S, self.clock)
            else:
                await self._wait_for_standby_tick()
            while self._inbox.has_ownership_events:
                # The loop is behind: another tick would carry no information.
                await trio.sleep(_TICK_S)

    def _list_claimed(self) -> list[int]:
        """Return the units that this instance owns, takes or releases."""
        return [number for number, one in self.units.items() if one.is_claimed]

    async def _wait_for_standby_tick(self) -> None:
        """Wait for the next tick of an instance without units."""
        self._has_unit = trio.Event()
        with trio.move_on_after(_STANDBY_TICK_S):
            await self._has_unit.wait()

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run a task concurrently with the loop."""
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)

    def observe(self, name: str, label: str, began_ms: int) -> None:
        """Record the time since ``began_ms`` in a latency metric."""
        self.latencies.record(name, label, self.clock() - began_ms)

    # -- feeds -------------------------------------------------------------

    async def _follow_settings(self) -> None:
        feeds = self.ports.feeds
        after = -1
        while True:
            self.read_counts['settings'] += 1
            wait_ms = _read_schedule.choose_settings_wait_ms(
                self.config.features,
                is_idle=_read_schedule.is_idle(self.units.values()),
            )
            try:
                if after < 0:
                    settings = await feeds.read_settings()
                else:
                    settings = await feeds.follow_settings(after, wait_ms)
            except HistoryLostError:
                logger.info('feed restarts', feed='settings')
                after = -1
                continue
            except UnavailableError as error:
                self.record_store_result(error)
                await trio.sleep(FEED_RETRY_PAUSE_S)
                continue
            self.record_store_result()
            known = self.evacuated_domains if after >= 0 else frozenset()
            self._apply_evacuations(known, settings)
            if settings.configuration is not None:
                self._apply_configuration(settings.configuration)
            self.settings_known.set()
            after = settings.version

    def _apply_evacuations(
        self, known: frozenset[str], settings: OperatorSettings
    ) -> None:
        """Apply changes to the known evacuated domains."""
        changes = {**dict.fromkeys(known, True), **settings.evacuations}
        evacuated = frozenset(filter(changes.__getitem__, changes))
        if evacuated == self.evacuated_domains:
            return
        began = sorted(evacuated - self.evacuated_domains)
        ended = sorted(self.evacuated_domains - evacuated)
        self.evacuated_domains = evacuated
        logger.info(
            'evacuations changed',
            began=began,
            ended=ended,
            unknown=self._list_unknown_domains(began),
            version=settings.version,
        )
        self.post(self._make_evacuations_event())

    def _list_unknown_domains(self, domains: t.Iterable[str]) -> list[str]:
        """Return the failure domains that no known unit lies in."""
        if self.layout is None:
            return []
        known = set(self.layout.failure_domains.values())
        if '' in known:
            # A unit that spans several domains doesn't name them.
            return []
        return [one for one in domains if one not in known]

    def _make_evacuations_event(self) -> ev.EvacuationsChanged:
        return ev.EvacuationsChanged(
            self.clock(), self.evacuated_domains, self.list_evacuated_units()
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        logger.info('configuration in force', version=configuration.version)
        self.post(ev.ConfigurationChanged(self.clock(), configuration))
        self.configured.set()

    def record_store_result(
        self, error: UnavailableError | None = None
    ) -> None:
        """Record whether the store answered, and log changes."""
        if error is None:
            if not self._is_store_available:
                logger.info('store answers')
            self._is_store_available = True
            self.store_answered_ms = self.clock()
        elif self._is_store_available:
            age_ms = self.clock() - self.store_answered_ms
            logger.warning(
                'store lost', reason=error.message, answered_ago_ms=age_ms
            )
            self._is_store_available = False
