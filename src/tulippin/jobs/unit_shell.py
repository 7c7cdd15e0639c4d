"""The shell of one unit: its state, its effects, and its feeds.

Every instance has one for each unit of the layout. On instances that don't
own the unit it only watches the lease.
"""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin import failures
from tulippin.exceptions import UnavailableError
from tulippin.jobs import (
    _ownership,
    _row_effects,
    _worker_effects,
    core,
)
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._event_sources import list_sources, name_row
from tulippin.jobs._perform import perform
from tulippin.jobs._restarts import RestartLog
from tulippin.jobs._transactions import AnswerTimes
from tulippin.jobs._unit_feeds import UnitFeeds
from tulippin.jobs._unit_rows import UnitRows
from tulippin.jobs.ports import SchedulerPorts, StoredRow
from tulippin.jobs.records import LayoutRecord, LeaseRecord
from tulippin.jobs.state import Phase, SchedulerConfig, SchedulerState
from tulippin.jobs.types import WorkerEntry
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.shell import SchedulerShell

# Imported only for the functions that they register for effects.
EFFECT_MODULES: t.Final = (_row_effects, _worker_effects)

_HELD_PHASES: t.Final = frozenset(
    (Phase.TAKING, Phase.LOADING, Phase.ACTIVE, Phase.RELEASING)
)


class UnitShell:
    """Runs the scheduler of one unit until an error ends it.

    After an unexpected error the shell is replaced by a new one, which loads
    its state from the store.

    Parameters
    ----------
    config : SchedulerConfig
        The settings, which include the unit.
    parent : SchedulerShell
        The instance's shell, which dispatches the events of all units.
    rows : UnitRows, optional
        Lease and epoch as known to the shell that this one replaces.
    restarts : RestartLog, optional
        Earlier failures of the unit on this instance.
    """

    def __init__(
        self,
        config: SchedulerConfig,
        parent: SchedulerShell,
        rows: UnitRows | None = None,
        restarts: RestartLog | None = None,
    ) -> None:
        self.config = config
        self.state: SchedulerState = core.make_state(config)
        self.is_ended = False
        self.is_backing_off = False
        # Whether the owner of the unit has been read.
        self.is_seen = False
        self._parent = parent
        self._rows = rows or UnitRows()
        self._restarts = restarts or RestartLog()
        self._scopes: set[trio.CancelScope] = set()
        self._feeds: UnitFeeds | None = None

    @property
    def lease(self) -> LeaseRecord | None:
        """The last lease that could be read."""
        return self._rows.lease

    @lease.setter
    def lease(self, lease: LeaseRecord) -> None:
        """Set the lease after this instance has written it."""
        self._rows.lease = lease

    @property
    def lease_seen_ms(self) -> int:
        """When the last change of the lease was read."""
        return self._rows.lease_seen_ms

    @property
    def ports(self) -> SchedulerPorts:
        """The interfaces to the platform."""
        return self._parent.ports

    @property
    def answer_times(self) -> AnswerTimes:
        """Statistics of the time that the store takes for transactions."""
        return self._parent.answer_times

    @property
    def layout(self) -> LayoutRecord:
        """The layout in force; a unit is known only by a layout."""
        return self._parent.layout

    @property
    def is_owner(self) -> bool:
        """Whether the instance owns the unit and has loaded it."""
        return not self.is_ended and self.state.ownership.phase is Phase.ACTIVE

    @property
    def is_claimed(self) -> bool:
        """Whether the instance owns the unit, or is taking or releasing it."""
        phase = self.state.ownership.phase
        return not self.is_ended and phase in _HELD_PHASES

    @property
    def has_left(self) -> bool:
        """Whether a planned stop need not wait for this unit."""
        return self.is_backing_off or self.state.ownership.phase is Phase.LEFT

    @property
    def may_take_over(self) -> bool:
        """Whether the unit may be free for this instance to take."""
        return _ownership.may_take_over(self.state, self.clock())

    def count_read(self, feed: str) -> None:
        """Count a call of a feed to the store."""
        self._parent.read_counts[feed] += 1

    def clock(self) -> int:
        """Return the monotonic time in milliseconds."""
        return self._parent.clock()

    def post(self, event: ev.JobEvent) -> None:
        """Queue an event for this unit.

        Events are dropped while the shell waits after a failure; it gets all
        current information when it starts.
        """
        if not (self.is_ended or self.is_backing_off):
            self._parent.post_to(self, event)

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run the task of an effect concurrently with the loop."""
        if not self.is_ended:
            self._parent.start(self._run_task, task, args)

    async def _run_task(
        self,
        task: t.Callable[..., t.Awaitable[None]],
        args: tuple[t.Any, ...],
    ) -> None:
        """Run a task until it ends or this shell does."""
        if self.is_ended:
            # The shell ended after the task was started and before it ran.
            return
        began_ms = self.clock()
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await task(*args)
            except* Exception as errors:
                self._handle_failure(errors, task=task.__qualname__)
        self._scopes.discard(scope)
        if args and isinstance(args[0], fx.JobEffect):
            self.observe(
                'tulippin_effect_seconds', type(args[0]).__name__, began_ms
            )

    def accepts_row(self, row: StoredRow) -> bool:
        """Whether an advisory row is used."""
        is_excluded = name_row(row) in self._restarts.excluded_rows
        is_paused = self.clock() < self._restarts.advice_after_ms
        return not (is_excluded or is_paused or self.config.is_without_advice)

    def observe(self, name: str, label: str, began_ms: int) -> None:
        """Record the time since ``began_ms`` in a latency metric."""
        self._parent.observe(name, label, began_ms)

    def record_store_result(
        self, error: UnavailableError | None = None
    ) -> None:
        """Record whether the store answered."""
        self._parent.record_store_result(error)

    @property
    def listed_workers(self) -> dict[str, WorkerEntry]:
        """All workers on the platform's list; empty unless owned."""
        return self._feeds.listed if self._feeds else {}

    def has_worker(self, entry: WorkerEntry) -> bool:
        """Whether a worker belongs to the unit."""
        return self._parent.get_unit_number(entry) == self.config.unit.number

    def tick(self, wall_ms: int) -> None:
        """Post a tick, unless it could not change anything."""
        try:
            is_due = self.is_claimed or self.may_take_over
        except Exception as error:
            self._handle_failure(error, task='tick')
            return
        if is_due:
            self.post(ev.Ticked(self.clock(), wall_ms))

    def step(self, event: ev.JobEvent) -> None:
        """Reduce one event and start its effects."""
        if self.is_ended:
            return
        event = attrs.evolve(event, at_ms=self.clock())
        try:
            self._reduce(event)
        except Exception as error:
            self._handle_failure(
                error,
                list_sources(event),
                event=type(event).__name__,
            )

    def _reduce(self, event: ev.JobEvent) -> None:
        for effect in core.reduce(self.state, event):
            perform(effect, self)
        self.is_seen |= isinstance(event, ev.LeaseSeen)

    def _handle_failure(
        self,
        error: Exception,
        sources: t.Sequence[str] = (),
        **fields: t.Any,
    ) -> None:
        """End this shell after an error, and start the next one.

        All its tasks are cancelled, as at the end of the process. Orders and
        writes in flight are refused once the unit is taken under the next
        epoch.
        """
        if self.is_ended:
            # Further errors of an ended shell are only reported.
            failures.tell(
                'task failed', error, unit=self.config.unit.number, **fields
            )
            return
        self.is_ended = True
        wait_ms = self._restarts.record_failure(sources, self.clock())
        failures.tell(
            'unit failed',
            error,
            unit=self.config.unit.number,
            phase=self.state.ownership.phase.value,
            epoch=getattr(self.state.ownership.epoch, 'epoch', 0),
            sources=sources,
            failures=len(self._restarts.failed_ms),
            wait_ms=wait_ms,
            is_without_advice=self.clock() < self._restarts.advice_after_ms,
            **fields,
        )
        for scope in self._scopes:
            scope.cancel()
        self.forget_unit()
        self._parent.replace_unit(self, self._make_replacement(), wait_ms)

    def _make_replacement(self) -> UnitShell:
        """Return the next shell, which starts from the known rows."""
        session_id = self.config.session_id.partition('/')[0]
        config = attrs.evolve(
            self.config,
            session_id=f'{session_id}/{self._restarts.restart_count}',
        )
        unit = UnitShell(config, self._parent, self._rows, self._restarts)
        unit.state.advisory_paused_until_ms = self._restarts.advice_after_ms
        unit.state.counters = self.state.counters
        unit.state.count('unit_failures')
        return unit

    def apply_rows(self, rows: t.Iterable[StoredRow]) -> None:
        """Process changed rows of the unit's own part."""
        try:
            self._process_rows(rows)
        except Exception as error:
            self._handle_failure(error, task='rows')

    def _process_rows(self, rows: t.Iterable[StoredRow]) -> None:
        for row in rows:
            self._rows.process_row(row, self.clock())
        self.post(self._rows.make_event(self.clock()))

    def follow_unit(self, load_number: int) -> None:
        """Load the unit after taking it, and follow its changes."""
        self._feeds = UnitFeeds(self, load_number)
        self.start(self._feeds.run)

    def forget_unit(self) -> None:
        """Stop following the unit's changes."""
        if self._feeds is not None:
            self._feeds.scope.cancel()
            self._feeds = None


@perform.register
def _log(effect: fx.LogDecision, shell: UnitShell) -> None:
    logger.info(effect.decision, unit=shell.config.unit.number, **effect.fields)


@perform.register
def _report_failure(effect: fx.TellFailure, shell: UnitShell) -> None:
    failures.tell(
        effect.what,
        effect.error,
        unit=shell.config.unit.number,
        sources=effect.sources,
    )


@perform.register
def _load_unit(effect: fx.LoadUnit, shell: UnitShell) -> None:
    shell.follow_unit(effect.load_number)


@perform.register
def _forget_unit(effect: fx.ForgetUnit, shell: UnitShell) -> None:
    shell.forget_unit()
    # Row changes were ignored while the instance owned the unit, and are not
    # reported again unless the rows change. Without this, a unit that was
    # released in the meantime would stay without an owner.
    shell.apply_rows(())
