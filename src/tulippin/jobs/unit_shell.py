"""The shell of one unit: its state, its effects, and its feeds.

Every instance has one for each unit of the layout; only the owner's does
more than watch the lease.
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
from tulippin.jobs._perform import perform
from tulippin.jobs._resolving import AnswerTimes
from tulippin.jobs._restarts import RestartLog
from tulippin.jobs._sources import list_sources, name_row
from tulippin.jobs._unit_feeds import UnitFeeds
from tulippin.jobs._unit_rows import UnitRows
from tulippin.jobs.ports import SchedulerPorts, StoredRow
from tulippin.jobs.records import LeaseRecord
from tulippin.jobs.state import Phase, SchedulerConfig, SchedulerState
from tulippin.jobs.types import WorkerEntry
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.shell import SchedulerShell

# Imported for the effects that they register.
EFFECT_MODULES: t.Final = (_row_effects, _worker_effects)

_HELD_PHASES: t.Final = frozenset(
    (Phase.TAKING, Phase.LOADING, Phase.ACTIVE, Phase.RELEASING)
)


class UnitShell:
    """One unit as an instance sees it.

    Parameters
    ----------
    config : SchedulerConfig
        What the instance knows from its settings, and the unit.
    parent : SchedulerShell
        The instance's shell, which runs all units' events in turn.
    rows : UnitRows, optional
        What is known of the unit's owner, from an earlier life.
    restarts : RestartLog, optional
        How earlier lives of the unit have failed here.
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
        self.is_over = False
        self.is_resting = False
        # Whether it was read who owns the unit.
        self.is_seen = False
        self._parent = parent
        self._rows = rows or UnitRows()
        self._restarts = restarts or RestartLog()
        self._scopes: set[trio.CancelScope] = set()
        self._feeds: UnitFeeds | None = None

    @property
    def lease(self) -> LeaseRecord | None:
        """The owner's last sign of life that could be read."""
        return self._rows.lease

    @lease.setter
    def lease(self, lease: LeaseRecord) -> None:
        """Know a lease that was written here."""
        self._rows.lease = lease

    @property
    def lease_seen_ms(self) -> int:
        """When the lease was last seen to change."""
        return self._rows.lease_seen_ms

    @property
    def ports(self) -> SchedulerPorts:
        """Everything outside."""
        return self._parent.ports

    @property
    def answer_times(self) -> AnswerTimes:
        """How long the store takes to answer transactions."""
        return self._parent.answer_times

    @property
    def unit_numbers(self) -> tuple[int, ...]:
        """The numbers of all units."""
        return tuple(self._parent.units)

    @property
    def is_owner(self) -> bool:
        """Whether the instance decides for the unit now."""
        return not self.is_over and self.state.ownership.phase is Phase.ACTIVE

    @property
    def is_held(self) -> bool:
        """Whether the instance has the unit, or is about to."""
        phase = self.state.ownership.phase
        return not self.is_over and phase in _HELD_PHASES

    @property
    def has_left(self) -> bool:
        """Whether a planned stop has nothing to wait for here."""
        return self.is_resting or self.state.ownership.phase is Phase.LEFT

    @property
    def may_be_free(self) -> bool:
        """Whether the instance may have to take the unit by now."""
        return _ownership.may_be_free(self.state, self.clock())

    def clock(self) -> int:
        """Return monotonic milliseconds."""
        return self._parent.clock()

    def post(self, event: ev.JobEvent) -> None:
        """Put an event of this unit into the instance's inbox.

        A life that rests is told all that still counts when it begins.
        """
        if not (self.is_over or self.is_resting):
            self._parent.post_to(self, event)

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run an effect's task beside the loop."""
        if not self.is_over:
            self._parent.start(self._run, task, args)

    async def _run(
        self,
        task: t.Callable[..., t.Awaitable[None]],
        args: tuple[t.Any, ...],
    ) -> None:
        """Run a task until its end, or the end of this life of the unit."""
        if self.is_over:
            # It was begun, and had no turn before that end.
            return
        began_ms = self.clock()
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await task(*args)
            except* Exception as errors:
                self._fail(errors, task=task.__qualname__)
        self._scopes.discard(scope)
        if args and isinstance(args[0], fx.JobEffect):
            self.observe(
                'tulippin_effect_seconds', type(args[0]).__name__, began_ms
            )

    def takes(self, row: StoredRow) -> bool:
        """Whether a row that only advises is taken in."""
        is_aside = name_row(row) in self._restarts.aside
        is_early = self.clock() < self._restarts.advice_after_ms
        return not (is_aside or is_early or self.config.is_without_advice)

    def observe(self, name: str, label: str, began_ms: int) -> None:
        """Keep a latency that began at a time and ends now."""
        self._parent.observe(name, label, began_ms)

    def note_store(self, error: UnavailableError | None = None) -> None:
        """Note whether the store answers."""
        self._parent.note_store(error)

    @property
    def listed_workers(self) -> dict[str, WorkerEntry]:
        """All workers on the platform's list, known to an owner only."""
        return self._feeds.listed if self._feeds else {}

    def has_worker(self, entry: WorkerEntry) -> bool:
        """Whether a worker belongs to the unit."""
        return self._parent.get_unit_number(entry) == self.config.unit.number

    def tick(self, wall_ms: int) -> None:
        """Let time pass for the unit, if that may change anything."""
        try:
            is_due = self.is_held or self.may_be_free
        except Exception as error:
            self._fail(error, task='tick')
            return
        if is_due:
            self.post(ev.Ticked(self.clock(), wall_ms))

    def step(self, event: ev.JobEvent) -> None:
        """Reduce one event and begin its effects."""
        if self.is_over:
            return
        event = attrs.evolve(event, at_ms=self.clock())
        try:
            self._reduce(event)
        except Exception as error:
            self._fail(
                error,
                list_sources(event),
                event=type(event).__name__,
            )

    def _reduce(self, event: ev.JobEvent) -> None:
        for effect in core.reduce(self.state, event):
            perform(effect, self)
        self.is_seen |= isinstance(event, ev.LeaseSeen)

    def _fail(
        self,
        error: Exception,
        sources: t.Sequence[str] = (),
        **fields: t.Any,
    ) -> None:
        """End this life of the unit, and begin the next one.

        All that runs for it is ended, as by the end of the process: what is
        under way is refused once the unit is taken under the next epoch.
        """
        if self.is_over:
            # What else ends with this life is told, and has no other effect.
            failures.tell(
                'task failed', error, unit=self.config.unit.number, **fields
            )
            return
        self.is_over = True
        wait_ms = self._restarts.note(sources, self.clock())
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
        self._parent.replace_unit(self, self._begin_anew(), wait_ms)

    def _begin_anew(self) -> UnitShell:
        """Return the unit's next life, which knows what the rows tell."""
        session_id = self.config.session_id.partition('/')[0]
        config = attrs.evolve(
            self.config, session_id=f'{session_id}/{self._restarts.life}'
        )
        unit = UnitShell(config, self._parent, self._rows, self._restarts)
        unit.state.advice_after_ms = self._restarts.advice_after_ms
        unit.state.counters = self.state.counters
        unit.state.count('unit_failures')
        return unit

    def see_rows(self, rows: t.Iterable[StoredRow]) -> None:
        """Take in changed rows of the unit's own part."""
        try:
            self._take_rows(rows)
        except Exception as error:
            self._fail(error, task='rows')

    def _take_rows(self, rows: t.Iterable[StoredRow]) -> None:
        for row in rows:
            self._rows.take(row, self.clock())
        self.post(self._rows.make_event(self.clock()))

    def follow_unit(self) -> None:
        """Load the unit that is owned now, and follow it."""
        self._feeds = UnitFeeds(self)
        self.start(self._feeds.run)

    def forget_unit(self) -> None:
        """Stop following the unit."""
        if self._feeds is not None:
            self._feeds.scope.cancel()
            self._feeds = None


@perform.register
def _log(effect: fx.LogDecision, shell: UnitShell) -> None:
    logger.info(effect.decision, unit=shell.config.unit.number, **effect.fields)


@perform.register
def _tell_failure(effect: fx.TellFailure, shell: UnitShell) -> None:
    failures.tell(
        effect.what,
        effect.error,
        unit=shell.config.unit.number,
        sources=effect.sources,
    )


@perform.register
def _load_unit(effect: fx.LoadUnit, shell: UnitShell) -> None:
    shell.follow_unit()


@perform.register
def _forget_unit(effect: fx.ForgetUnit, shell: UnitShell) -> None:
    shell.forget_unit()
    # What the rows told while the unit was ours was not heeded, and they are
    # told again only when they change: a unit that was given up meanwhile
    # would stay without an owner.
    shell.see_rows(())
