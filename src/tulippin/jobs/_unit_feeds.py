"""Feeds of an owned unit: its jobs, its workers, and other units' models.

All rows are loaded once; then changes are followed and posted as events.
"""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError
from tulippin.jobs import events as ev
from tulippin.jobs._event_sources import name_row
from tulippin.jobs._read_schedule import FEED_WAIT_MS
from tulippin.jobs._rows import get_version, read_record, read_row
from tulippin.jobs.ports import (
    HistoryLostError,
    RowPage,
    RowStore,
    StoredRow,
)
from tulippin.jobs.records import (
    ACCOUNTS_TABLE,
    EPOCH_KEY,
    MODEL_KEY,
    MODELS_TABLE,
    RELEASE_REPORT_KEY,
    ROSTER_KEY,
    UNITS_TABLE,
    AccountRecord,
    ModelRecord,
    RosterRecord,
    Unit,
    get_jobs_parts,
)
from tulippin.jobs.store_clock import ClockReading
from tulippin.jobs.types import WorkerEntry
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

FEED_RETRY_PAUSE_S: t.Final = 0.1
# Parts of the jobs that are read at a time. An instance has 24 connections to
# the store; its renewals, commits and other feeds need up to eight.
_MAX_OPEN_READS: t.Final = 16
# A model takes some 10 KB for each unit, and is most useful early, while
# little has been learned here.
_MODELS_EVERY_S: t.Final = 2.0
# The list of workers changes with every heartbeat, so it is polled: a draining
# worker must get no new task after 2 s.
_WORKERS_EVERY_S: t.Final = 0.5


async def read_jobs(
    store: RowStore,
    unit: Unit,
    part_count: int,
    pages: dict[str, RowPage] | None = None,
) -> RowPage:
    """Return the rows of all accepted and cancelled jobs of a unit.

    Several parts are read concurrently, each at its own version of the store.
    The lowest of these versions is returned, so that a feed from there on
    includes every change that a read missed.

    Parameters
    ----------
    store : RowStore
        The store to read.
    unit : Unit
        The unit of the jobs.
    part_count : int
        ``job_parts`` of the layout in force.
    pages : dict of str to RowPage, optional
        Parts that an earlier attempt has read; parts read now are added. An
        instance that is too slow to read all parts in one attempt would
        otherwise start over each time, and own the unit without loading it.

    Raises
    ------
    UnavailableError
        If a part could not be read.
    """
    pages = {} if pages is None else pages
    failed: list[UnavailableError] = []

    async def read(part: str) -> None:
        try:
            pages[part] = await store.read_rows(unit.jobs_table, part)
        except UnavailableError as error:
            failed.append(error)

    missing = [part for part in get_jobs_parts(part_count) if part not in pages]
    for first in range(0, len(missing), _MAX_OPEN_READS):
        async with trio.open_nursery() as nursery:
            for part in missing[first : first + _MAX_OPEN_READS]:
                nursery.start_soon(read, part)
        if failed:
            raise failed[0]
    rows = tuple(row for page in pages.values() for row in page.rows)
    return RowPage(rows, min(page.version for page in pages.values()))


async def _find_row(
    store: RowStore, table: str, unit: Unit, key: str
) -> StoredRow | None:
    """Return the row of a key among those of a unit's part, if present."""
    page = await store.read_rows(table, unit.part)
    return next((row for row in page.rows if row.key == key), None)


def _list_row_names(*rows: StoredRow | None) -> tuple[str, ...]:
    return tuple(name_row(row) for row in rows if row is not None)


@attrs.frozen
class _ReceivedModel:
    """The model of another unit's owner, and the name of its row."""

    record: ModelRecord
    source: str


@attrs.define
class UnitFeeds:
    """Loads and follows a unit while it is owned; ``scope`` cancels it."""

    shell: UnitShell
    load_number: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    listed: dict[str, WorkerEntry] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Load the unit, then follow its jobs and workers."""
        with self.scope:
            loaded, jobs_after, workers_after = await self._load()
            self.shell.post(loaded)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_jobs, jobs_after)
                nursery.start_soon(self._follow_workers, workers_after)
                nursery.start_soon(self._follow_models)

    async def _load(self) -> tuple[ev.UnitLoaded, int, int]:
        pages: dict[str, RowPage] = {}
        while True:
            try:
                return await self._load_once(pages)
            except UnavailableError as error:
                self.shell.record_store_result(error)
            await trio.sleep(FEED_RETRY_PAUSE_S)

    async def _load_once(
        self, pages: dict[str, RowPage]
    ) -> tuple[ev.UnitLoaded, int, int]:
        unit = self.shell.config.unit
        store = self.shell.ports.store
        jobs = await read_jobs(store, unit, self.shell.layout.job_parts, pages)
        progress = await store.read_rows(unit.progress_table, unit.part)
        own_rows, clock = await self._read_own_rows()
        model_row = await _find_row(store, MODELS_TABLE, unit, MODEL_KEY)
        account_row = await _find_row(
            store, ACCOUNTS_TABLE, unit, RELEASE_REPORT_KEY
        )
        workers_read_ms = self.shell.clock()
        workers, version = await self.shell.ports.feeds.read_workers()
        self._update_listed(workers, ())
        roster_row = own_rows.get(ROSTER_KEY)
        roster = read_record(roster_row, RosterRecord)
        if not get_version(roster_row):
            roster = RosterRecord({})
        loaded = ev.UnitLoaded(
            self.shell.clock(),
            jobs.rows,
            progress.rows,
            roster,
            get_version(roster_row),
            tuple(filter(self.shell.has_worker, workers)),
            self._read_model(model_row),
            get_version(own_rows.get(EPOCH_KEY)),
            read_record(account_row, AccountRecord),
            workers_read_ms,
            _list_row_names(roster_row, model_row, account_row),
            self.load_number,
            clock,
        )
        return loaded, jobs.version, version

    async def _read_own_rows(self) -> tuple[dict[str, StoredRow], ClockReading]:
        """Return the unit's rows by key, and the store's clock."""
        sent_ms = self.shell.clock()
        page = await self.shell.ports.store.read_rows(
            UNITS_TABLE, self.shell.config.unit.part
        )
        clock = ClockReading(page.store_ms, sent_ms, self.shell.clock())
        return {row.key: row for row in page.rows}, clock

    def _read_model(self, row: StoredRow | None) -> ModelRecord | None:
        """Return the persisted model, unless its row is excluded."""
        if row is None or not self.shell.accepts_row(row):
            return None
        return read_record(row, ModelRecord)

    async def _follow_jobs(self, after: int) -> None:
        unit = self.shell.config.unit
        store = self.shell.ports.store
        while True:
            try:
                if after < 0:
                    event, after = await self._read_jobs_again()
                else:
                    self.shell.count_read('jobs')
                    page = await store.follow(
                        unit.jobs_table, after, FEED_WAIT_MS
                    )
                    event = self._make_jobs_event(page)
                    after = page.version
            except HistoryLostError:
                logger.info('feed restarts', feed='jobs')
                after = -1
                continue
            except UnavailableError as error:
                self.shell.record_store_result(error)
                await trio.sleep(FEED_RETRY_PAUSE_S)
                continue
            self.shell.record_store_result()
            if event.rows or event.epoch_version:
                self.shell.post(event)

    def _make_jobs_event(self, page: RowPage) -> ev.JobsChanged:
        """Separate rows of jobs from the epoch row of a newer owner."""
        epoch_row_key = (self.shell.config.unit.part, EPOCH_KEY)
        epochs = [
            row.version
            for row in page.rows
            if (row.part, row.key) == epoch_row_key
        ]
        rows = tuple(
            row for row in page.rows if (row.part, row.key) != epoch_row_key
        )
        newest = max(epochs, default=0)
        return ev.JobsChanged(self.shell.clock(), rows, newest)

    async def _read_jobs_again(self) -> tuple[ev.JobsChanged, int]:
        """Read all jobs, then the epoch, which is thus no older than the jobs.

        Their progress is read too: a job whose removal from the store failed
        is no longer in memory, and would be run again as a new one.
        """
        unit = self.shell.config.unit
        store = self.shell.ports.store
        page = await read_jobs(store, unit, self.shell.layout.job_parts)
        progress = await store.read_rows(unit.progress_table, unit.part)
        epoch = await read_row(store, UNITS_TABLE, unit.part, EPOCH_KEY)
        event = ev.JobsChanged(
            self.shell.clock(), page.rows, get_version(epoch), progress.rows
        )
        return event, page.version

    async def _follow_models(self) -> None:
        """Follow the models of other units' owners."""
        models: dict[str, _ReceivedModel] = {}
        after = 0
        while True:
            await trio.sleep(_MODELS_EVERY_S)
            if len(self.shell.layout.unit_numbers) < 2:
                continue
            try:
                after = await self._read_models(after, models)
            except HistoryLostError:
                # A missed model comes again with its next change.
                after = await self._read_version(after)
            except UnavailableError as error:
                self.shell.record_store_result(error)

    async def _read_models(
        self, after: int, models: dict[str, _ReceivedModel]
    ) -> int:
        """Read and post models changed after a version; return the next."""
        self.shell.count_read('models')
        page = await self.shell.ports.store.follow(MODELS_TABLE, after, 0)
        own_part = self.shell.config.unit.part
        for row in page.rows:
            if row.part == own_part or row.key != MODEL_KEY:
                continue
            if not self.shell.accepts_row(row):
                continue
            record = read_record(row, ModelRecord)
            if record is not None:
                models[row.part] = _ReceivedModel(record, name_row(row))
        if page.rows:
            event = ev.ModelsSeen(
                self.shell.clock(),
                tuple(model.record for model in models.values()),
                tuple(model.source for model in models.values()),
            )
            self.shell.post(event)
        return page.version

    async def _read_version(self, after: int) -> int:
        """Return the store's current version, or ``after`` if unavailable."""
        part = self.shell.config.unit.part
        try:
            page = await self.shell.ports.store.read_rows(MODELS_TABLE, part)
        except UnavailableError as error:
            self.shell.record_store_result(error)
            return after
        return page.version

    async def _follow_workers(self, after: int) -> None:
        feeds = self.shell.ports.feeds
        while True:
            await trio.sleep(_WORKERS_EVERY_S)
            read_ms = self.shell.clock()
            self.shell.count_read('workers')
            try:
                if after < 0:
                    changed, after = await feeds.read_workers()
                    listed = {entry.worker_id for entry in changed}
                    known_ids = {*self.listed, *self.shell.state.workers}
                    gone = tuple(known_ids - listed)
                else:
                    changed, gone, after = await feeds.follow_workers(after)
            except HistoryLostError:
                logger.info('feed restarts', feed='workers')
                after = -1
                continue
            except UnavailableError as error:
                self.shell.record_store_result(error)
                continue
            self._update_listed(changed, gone)
            self._post_workers(changed, gone, read_ms)

    def _update_listed(
        self, changed: t.Iterable[WorkerEntry], gone: t.Iterable[str]
    ) -> None:
        self.listed.update((entry.worker_id, entry) for entry in changed)
        for worker_id in gone:
            self.listed.pop(worker_id, None)

    def _post_workers(
        self,
        changed: t.Iterable[WorkerEntry],
        gone: t.Iterable[str],
        read_ms: int,
    ) -> None:
        """Post the changes that concern the unit's own workers."""
        own_workers = tuple(filter(self.shell.has_worker, changed))
        workers = self.shell.state.workers
        lost = tuple(worker_id for worker_id in gone if worker_id in workers)
        if own_workers or lost:
            event = ev.WorkersChanged(
                self.shell.clock(), own_workers, lost, read_ms
            )
            self.shell.post(event)
