"""The scheduler's shell: performs effects, turns results into events."""

from __future__ import annotations

import collections
import functools
import typing as t

import attrs
import trio

from tulippin.codec_json import decode, encode
from tulippin.exceptions import (
    AnswerLostError,
    InputError,
    UnavailableError,
)
from tulippin.jobs import core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._resolving import transact_surely
from tulippin.jobs.ports import (
    Advice,
    Advisor,
    Feeds,
    FencedOrderError,
    HistoryLostError,
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    WorkerAgents,
    WorkerChangedError,
)
from tulippin.jobs.records import (
    CANCEL_SUFFIX,
    EPOCH_KEY,
    LEASE_KEY,
    ROSTER_KEY,
    UNITS_TABLE,
    EpochRecord,
    LeaseRecord,
    RosterRecord,
)
from tulippin.jobs.state import Phase, SchedulerConfig, SchedulerState
from tulippin.jobs.types import Configuration
from tulippin.latencies import LatencyTable
from tulippin.logs import logger

_MS: t.Final = 1000
_TICK_S: t.Final = 0.05
# How long a feed's call waits at the store for a change. A call whose
# path was cut meanwhile is found out only when it should have returned, so
# with the store's timeout this stays below the 3 s that the users allow
# an instance after a cut.
_FEED_WAIT_MS: t.Final = 1500
_LEASE_FEED_WAIT_MS: t.Final = 1500
# The list of workers changes with every heartbeat, so it is read at a
# pace: the bound on new work for a leaving worker is 2 s.
_WORKERS_EVERY_S: t.Final = 0.35
_FEED_PAUSE_S: t.Final = 0.1
# How long a commit is tried before the next try is a new effect.
_COMMIT_LIMIT_S: t.Final = 3600.0
_TAKE_LIMIT_S: t.Final = 2.0
_RENEW_LIMIT_S: t.Final = 1.0
_RELEASE_LIMIT_S: t.Final = 1.5

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
        self.recorder: t.Callable[..., None] | None = None
        self._inbox: collections.deque[ev.JobEvent] = collections.deque()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._manager: t.Any = None
        self._unit_scope: trio.CancelScope | None = None
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
        if self.recorder is not None:
            self.recorder(event, effects)
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
                        after, _FEED_WAIT_MS
                    )
            except HistoryLostError:
                logger.info('feed restarts', feed='configuration')
                after = -1
                continue
            except UnavailableError as error:
                self.note_store(error)
                await trio.sleep(_FEED_PAUSE_S)
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
                        UNITS_TABLE, after, _LEASE_FEED_WAIT_MS
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
                await trio.sleep(_FEED_PAUSE_S)
                continue
            self.note_store()
            after = page.version
            self._post_lease(rows)
            phase = self.state.ownership.phase
            if phase is Phase.LEFT:
                return
            if phase is Phase.TAKING:
                await trio.sleep(_FEED_PAUSE_S)
                after = -1
            elif phase is not Phase.STANDING_BY:
                await trio.sleep(_LEASE_FEED_WAIT_MS / _MS)
                after = -1

    def _post_lease(self, rows: dict[str, StoredRow]) -> None:
        lease = _read(rows.get(LEASE_KEY), LeaseRecord)
        epoch = _read(rows.get(EPOCH_KEY), EpochRecord)
        self.lease = lease
        self.post(
            ev.LeaseSeen(
                self.clock(),
                lease,
                _get_version(rows.get(LEASE_KEY)),
                epoch,
                _get_version(rows.get(EPOCH_KEY)),
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

    # -- the owned unit ------------------------------------------------------

    async def run_unit(self) -> None:
        """Load the unit, then follow its jobs and workers."""
        with trio.CancelScope() as scope:
            self._unit_scope = scope
            loaded, jobs_after, workers_after = await self._load()
            self.post(loaded)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_jobs, jobs_after)
                nursery.start_soon(self._follow_workers, workers_after)

    def forget_unit(self) -> None:
        """Stop what belongs to the unit."""
        if self._unit_scope is not None:
            self._unit_scope.cancel()
            self._unit_scope = None

    async def _load(self) -> tuple[ev.UnitLoaded, int, int]:
        unit = self.config.unit
        store = self.ports.store
        while True:
            try:
                jobs = await store.read_rows(unit.jobs_table, unit.part)
                progress = await store.read_rows(unit.progress_table, unit.part)
                owned = await store.read_rows(UNITS_TABLE, unit.part)
                workers, version = await self.ports.feeds.read_workers()
            except UnavailableError as error:
                self.note_store(error)
                await trio.sleep(_FEED_PAUSE_S)
                continue
            roster = {row.key: row for row in owned.rows}.get(ROSTER_KEY)
            loaded = ev.UnitLoaded(
                self.clock(),
                jobs.rows,
                progress.rows,
                _read(roster, RosterRecord) or RosterRecord(),
                _get_version(roster),
                workers,
            )
            return loaded, jobs.version, version

    async def _follow_jobs(self, after: int) -> None:
        unit = self.config.unit
        store = self.ports.store
        while True:
            try:
                if after < 0:
                    page = await store.read_rows(unit.jobs_table, unit.part)
                else:
                    page = await store.follow(
                        unit.jobs_table, after, _FEED_WAIT_MS
                    )
            except HistoryLostError:
                logger.info('feed restarts', feed='jobs')
                after = -1
                continue
            except UnavailableError as error:
                self.note_store(error)
                await trio.sleep(_FEED_PAUSE_S)
                continue
            self.note_store()
            after = page.version
            if page.rows:
                self.post(ev.JobsChanged(self.clock(), page.rows))

    async def _follow_workers(self, after: int) -> None:
        known: set[str] = set()
        feeds = self.ports.feeds
        while True:
            await trio.sleep(_WORKERS_EVERY_S)
            try:
                if after < 0:
                    changed, after = await feeds.read_workers()
                    listed = {entry.worker_id for entry in changed}
                    gone = tuple(set(self.state.workers) - listed)
                else:
                    changed, gone, after = await feeds.follow_workers(after)
            except HistoryLostError:
                logger.info('feed restarts', feed='workers')
                after = -1
                continue
            except UnavailableError as error:
                self.note_store(error)
                continue
            known.update(entry.worker_id for entry in changed)
            if changed or gone:
                self.post(ev.WorkersChanged(self.clock(), changed, gone))


Record = t.TypeVar('Record')


def _read(row: StoredRow | None, kind: type[Record]) -> Record | None:
    if row is None or row.value is None:
        return None
    try:
        return decode(row.value, kind)
    except InputError as error:
        logger.error('row unreadable', key=row.key, reason=error.message)
        return None


def _get_version(row: StoredRow | None) -> int:
    return 0 if row is None or row.value is None else row.version


# -- effects ------------------------------------------------------------------


@functools.singledispatch
def perform(effect: fx.JobEffect, shell: SchedulerShell) -> None:
    """Begin one effect."""
    raise NotImplementedError(type(effect))


@perform.register
def _log(effect: fx.LogDecision, shell: SchedulerShell) -> None:
    logger.info(effect.decision, **effect.fields)


@perform.register
def _load_unit(effect: fx.LoadUnit, shell: SchedulerShell) -> None:
    shell.start(shell.run_unit)


@perform.register
def _forget_unit(effect: fx.ForgetUnit, shell: SchedulerShell) -> None:
    shell.forget_unit()


@perform.register
def _forget_worker(effect: fx.ForgetWorker, shell: SchedulerShell) -> None:
    shell.start(shell.ports.forget_worker, effect.worker_id)


@perform.register
def _take_unit(effect: fx.TakeUnit, shell: SchedulerShell) -> None:
    shell.start(_run_take, effect, shell)


async def _run_take(effect: fx.TakeUnit, shell: SchedulerShell) -> None:
    transaction = Transaction(
        shell.config.unit.part,
        (
            RowCondition(UNITS_TABLE, LEASE_KEY, effect.lease_version),
            RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),
        ),
        (
            RowWrite(UNITS_TABLE, LEASE_KEY, encode(effect.lease)),
            RowWrite(UNITS_TABLE, EPOCH_KEY, encode(effect.epoch)),
        ),
    )
    version = 0
    try:
        result = await transact_surely(
            shell.ports.store, transaction, _TAKE_LIMIT_S
        )
    except UnavailableError as error:
        shell.note_store(error)
    else:
        version = result.version if result.is_done else 0
    shell.post(ev.UnitTaken(shell.clock(), effect.epoch.epoch, version))


def _make_lease_transaction(
    lease: LeaseRecord, epoch_version: int, shell: SchedulerShell
) -> Transaction:
    return Transaction(
        shell.config.unit.part,
        (RowCondition(UNITS_TABLE, EPOCH_KEY, epoch_version),),
        (RowWrite(UNITS_TABLE, LEASE_KEY, encode(lease)),),
    )


@perform.register
def _renew_lease(effect: fx.RenewLease, shell: SchedulerShell) -> None:
    shell.start(_run_renew, effect, shell)


async def _run_renew(effect: fx.RenewLease, shell: SchedulerShell) -> None:
    transaction = _make_lease_transaction(
        effect.lease, effect.epoch_version, shell
    )
    sent_ms = shell.clock()
    is_done = False
    is_fenced = False
    try:
        result = await transact_surely(
            shell.ports.store, transaction, _RENEW_LIMIT_S
        )
    except UnavailableError as error:
        shell.note_store(error)
    else:
        shell.note_store()
        is_done = result.is_done
        is_fenced = not result.is_done
        shell.lease = effect.lease
    shell.post(ev.LeaseRenewed(shell.clock(), sent_ms, is_done, is_fenced))


@perform.register
def _release_lease(effect: fx.ReleaseLease, shell: SchedulerShell) -> None:
    shell.start(_run_release, effect, shell)


async def _run_release(effect: fx.ReleaseLease, shell: SchedulerShell) -> None:
    transaction = _make_lease_transaction(
        effect.lease, effect.epoch_version, shell
    )
    try:
        await transact_surely(shell.ports.store, transaction, _RELEASE_LIMIT_S)
    except UnavailableError as error:
        logger.warning('unit not released', reason=error.message)
    shell.post(ev.LeaseReleased(shell.clock()))


@perform.register
def _commit_progress(effect: fx.CommitProgress, shell: SchedulerShell) -> None:
    shell.start(_run_commit, effect, shell)


async def _run_commit(effect: fx.CommitProgress, shell: SchedulerShell) -> None:
    unit = shell.config.unit
    table = unit.progress_table
    transaction = Transaction(
        unit.part,
        (
            RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),
            *(
                RowCondition(table, write.job_id, write.version)
                for write in effect.writes
            ),
        ),
        tuple(
            RowWrite(table, write.job_id, encode(write.record))
            for write in effect.writes
        ),
    )
    try:
        result = await transact_surely(
            shell.ports.store, transaction, _COMMIT_LIMIT_S
        )
    except UnavailableError as error:
        logger.error('commit given up', reason=error.message)
        return
    shell.post(
        ev.ProgressCommitted(
            shell.clock(), effect, result.version, not result.is_done
        )
    )


@perform.register
def _commit_roster(effect: fx.CommitRoster, shell: SchedulerShell) -> None:
    shell.start(_run_roster, effect, shell)


async def _run_roster(effect: fx.CommitRoster, shell: SchedulerShell) -> None:
    transaction = Transaction(
        shell.config.unit.part,
        (
            RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),
            RowCondition(UNITS_TABLE, ROSTER_KEY, effect.roster_version),
        ),
        (RowWrite(UNITS_TABLE, ROSTER_KEY, encode(effect.roster)),),
    )
    try:
        result = await transact_surely(
            shell.ports.store, transaction, _COMMIT_LIMIT_S
        )
    except UnavailableError as error:
        logger.error('roster given up', reason=error.message)
        return
    shell.post(
        ev.RosterCommitted(
            shell.clock(), effect.roster, result.version, not result.is_done
        )
    )


@perform.register
def _remove_jobs(effect: fx.RemoveJobs, shell: SchedulerShell) -> None:
    shell.start(_run_remove, effect, shell)


async def _run_remove(effect: fx.RemoveJobs, shell: SchedulerShell) -> None:
    unit = shell.config.unit
    writes = []
    for job_id in effect.job_ids:
        writes.append(RowWrite(unit.progress_table, job_id, None))
        writes.append(RowWrite(unit.jobs_table, job_id, None))
        writes.append(
            RowWrite(unit.jobs_table, f'{job_id}{CANCEL_SUFFIX}', None)
        )
    transaction = Transaction(
        unit.part,
        (RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),),
        tuple(writes),
    )
    try:
        await shell.ports.store.transact(transaction)
    except UnavailableError as error:
        # They stay in the store until another owner removes them.
        logger.warning('jobs not removed', reason=error.message)


@perform.register
def _hold_worker(effect: fx.HoldWorker, shell: SchedulerShell) -> None:
    shell.start(_run_hold, effect, shell)


async def _run_hold(effect: fx.HoldWorker, shell: SchedulerShell) -> None:
    sent_ms = shell.clock()
    worker_id = effect.worker_id
    try:
        report = await shell.ports.workers.hold(
            worker_id,
            effect.address,
            effect.fencing_token,
            effect.last_seen,
            effect.deadline_ms,
            effect.wait_ms,
        )
    except FencedOrderError as error:
        shell.post(
            ev.WorkerSilent(
                shell.clock(), worker_id, error.message, is_fenced=True
            )
        )
    except WorkerChangedError as error:
        shell.post(
            ev.WorkerSilent(
                shell.clock(), worker_id, error.message, is_replaced=True
            )
        )
    except (UnavailableError, AnswerLostError) as error:
        shell.post(ev.WorkerSilent(shell.clock(), worker_id, error.message))
    else:
        shell.post(ev.WorkerAnswered(shell.clock(), worker_id, sent_ms, report))


@perform.register
def _start_run(effect: fx.StartRun, shell: SchedulerShell) -> None:
    shell.start(_run_start, effect, shell)


async def _run_start(effect: fx.StartRun, shell: SchedulerShell) -> None:
    order = effect.order
    answer = await shell.ports.workers.start(order)
    shell.post(
        ev.StartAnswered(
            shell.clock(), order.worker_id, order.key, order.run, answer
        )
    )


@perform.register
def _ask_advice(effect: fx.AskAdvice, shell: SchedulerShell) -> None:
    shell.start(_run_advice, effect, shell)


async def _run_advice(effect: fx.AskAdvice, shell: SchedulerShell) -> None:
    advice = Advice({}, 0)
    try:
        advice = await shell.ports.advisor.ask(effect.step, effect.worker_ids)
    except UnavailableError as error:
        logger.warning('no advice', job=effect.step[0], reason=error.message)
    shell.post(
        ev.AdviceAnswered(
            shell.clock(), effect.step, advice.tickets, advice.valid_ms
        )
    )


@perform.register
def _stop_run(effect: fx.StopRun, shell: SchedulerShell) -> None:
    shell.start(_run_stop, effect, shell)


async def _run_stop(effect: fx.StopRun, shell: SchedulerShell) -> None:
    answer = await shell.ports.workers.stop(
        effect.worker_id,
        effect.address,
        effect.key,
        effect.run,
        effect.fencing_token,
    )
    shell.post(
        ev.StopAnswered(
            shell.clock(), effect.worker_id, effect.key, effect.run, answer
        )
    )


@perform.register
def _pace_run(effect: fx.PaceRun, shell: SchedulerShell) -> None:
    shell.start(_run_pace, effect, shell)


async def _run_pace(effect: fx.PaceRun, shell: SchedulerShell) -> None:
    answer = await shell.ports.workers.pace(
        effect.worker_id,
        effect.address,
        effect.key,
        effect.run,
        effect.percent,
        effect.fencing_token,
    )
    shell.post(
        ev.PaceAnswered(
            shell.clock(),
            effect.worker_id,
            effect.key,
            effect.run,
            effect.percent,
            answer,
        )
    )
