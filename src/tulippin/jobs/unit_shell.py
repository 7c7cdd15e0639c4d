"""The shell of one unit: its state, its effects, and its feeds.

Every instance has one for each unit of the layout; only the owner's does
more than watch the lease.
"""

from __future__ import annotations

import typing as t

import attrs

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
from tulippin.jobs._rows import (
    get_version,
    is_unreadable,
    log_unreadable,
    read_record,
)
from tulippin.jobs._sources import list_sources
from tulippin.jobs._unit_feeds import UnitFeeds
from tulippin.jobs.ports import SchedulerPorts, StoredRow
from tulippin.jobs.records import (
    EPOCH_KEY,
    LEASE_KEY,
    EpochRecord,
    LeaseRecord,
)
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
    """

    def __init__(self, config: SchedulerConfig, parent: SchedulerShell) -> None:
        self.config = config
        self.state: SchedulerState = core.make_state(config)
        self.lease: LeaseRecord | None = None
        self.lease_seen_ms = 0
        self._lease: LeaseRecord | None = None
        self._parent = parent
        self._rows: dict[str, StoredRow] = {}
        self._epoch: EpochRecord | None = None
        self._feeds: UnitFeeds | None = None

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
        return self.state.ownership.phase is Phase.ACTIVE

    @property
    def is_held(self) -> bool:
        """Whether the instance has the unit, or is about to."""
        return self.state.ownership.phase in _HELD_PHASES

    @property
    def may_be_free(self) -> bool:
        """Whether the instance may have to take the unit by now."""
        return _ownership.may_be_free(self.state, self.clock())

    def clock(self) -> int:
        """Return monotonic milliseconds."""
        return self._parent.clock()

    def post(self, event: ev.JobEvent) -> None:
        """Put an event of this unit into the instance's inbox."""
        self._parent.post_to(self, event)

    def start(self, task: t.Callable[..., t.Awaitable[None]], *args) -> None:
        """Run an effect's task beside the loop."""
        self._parent.start(task, *args)

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

    def step(self, event: ev.JobEvent) -> None:
        """Reduce one event and begin its effects."""
        event = attrs.evolve(event, at_ms=self.clock())
        try:
            self._reduce(event)
        except Exception as error:
            self._tell_failure(error, event)
            raise

    def _reduce(self, event: ev.JobEvent) -> None:
        for effect in core.reduce(self.state, event):
            perform(effect, self)

    def _tell_failure(self, error: Exception, event: ev.JobEvent) -> None:
        """Say at which input the unit's decisions failed."""
        failures.tell(
            'unit failed',
            error,
            unit=self.config.unit.number,
            phase=self.state.ownership.phase.value,
            event=type(event).__name__,
            sources=list_sources(event),
        )

    def see_rows(self, rows: t.Iterable[StoredRow]) -> None:
        """Take in changed rows of the unit's own part."""
        for row in rows:
            self._rows[row.key] = row
            if row.key == LEASE_KEY:
                self._take_lease(row)
            elif row.key == EPOCH_KEY:
                self._epoch = _read_epoch(row)
        self.post(
            ev.LeaseSeen(
                self.clock(),
                self._lease,
                get_version(self._rows.get(LEASE_KEY)),
                self._epoch,
                get_version(self._rows.get(EPOCH_KEY)),
            )
        )

    def _take_lease(self, row: StoredRow) -> None:
        """Read the lease; what it told last counts while it is unreadable."""
        self._lease = read_record(row, LeaseRecord)
        if self._lease != self.lease and not is_unreadable(row, self._lease):
            self.lease_seen_ms = self.clock()
            self.lease = self._lease

    def follow_unit(self) -> None:
        """Load the unit that is owned now, and follow it."""
        self._feeds = UnitFeeds(self)
        self.start(self._feeds.run)

    def forget_unit(self) -> None:
        """Stop following the unit."""
        if self._feeds is not None:
            self._feeds.scope.cancel()
            self._feeds = None


def _read_epoch(row: StoredRow) -> EpochRecord | None:
    """Return the epoch; one above all that were, if it can't be read.

    Each taking raises the epoch by one and the store's version by one or
    more, so that no epoch is above the version of its row. A lower one than
    workers have met would be fenced, by all of them.
    """
    record = read_record(row, EpochRecord)
    if record is not None and not 0 < record.epoch <= row.version:
        log_unreadable(row, f'its epoch is {record.epoch}')
        record = None
    if is_unreadable(row, record):
        return EpochRecord(row.version, '')
    return record


@perform.register
def _log(effect: fx.LogDecision, shell: UnitShell) -> None:
    logger.info(effect.decision, unit=shell.config.unit.number, **effect.fields)


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
