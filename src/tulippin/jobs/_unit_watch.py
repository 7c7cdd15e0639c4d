"""Following the layout and every unit's lease, by one feed."""

from __future__ import annotations

import collections
import typing as t
import zlib

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import UnavailableError
from tulippin.jobs import events as ev
from tulippin.jobs._resolving import transact_surely
from tulippin.jobs._rows import get_version, log_unreadable, read_record
from tulippin.jobs._unit_feeds import FEED_PAUSE_S, FEED_WAIT_MS
from tulippin.jobs.layout import extend_layout, get_rack, make_layout
from tulippin.jobs.ports import (
    HistoryLostError,
    RowCondition,
    RowWrite,
    StoredRow,
    Transaction,
)
from tulippin.jobs.records import (
    LAYOUT_KEY,
    LAYOUT_PART,
    UNITS_TABLE,
    LayoutRecord,
    Unit,
)
from tulippin.jobs.types import WorkerEntry
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.shell import SchedulerShell

_MS: t.Final = 1000
# Several owners renew twice a second each; their rows are read together.
_PACE_S: t.Final = 0.45
# The first layout is made once the list of workers has stood still for
# so long, and after the limit in any case: workers write every 1.1 s, the
# first time when they start.
_SETTLE_S: t.Final = 1.2
_SETTLE_LIMIT_S: t.Final = 4.0
_LOOK_EVERY_S: t.Final = 0.3
# Spreads the instances that would make the first layout at once.
_SPREAD_MS: t.Final = 1000
_WRITE_LIMIT_S: t.Final = 1.0
# How often the first unit's owner looks for racks without a unit.
_EXTEND_EVERY_S: t.Final = 1.0


@attrs.define
class UnitWatch:
    """Tells an instance's shell of the layout and of the units' leases."""

    shell: SchedulerShell
    layout_row: StoredRow | None = None
    is_layout_wrong: bool = False
    after: int = -1

    async def run(self) -> None:
        """Follow the units' table for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._extend)
            while True:
                await self._turn()

    async def _turn(self) -> None:
        try:
            if self.after < 0:
                await self._read_all()
            else:
                await self._follow()
        except HistoryLostError:
            logger.info('feed restarts', feed='units')
            self.after = -1
        except UnavailableError as error:
            self.shell.note_store(error)
            await trio.sleep(FEED_PAUSE_S)
        else:
            self.shell.note_store()
            self._tell_rooms()
            await self._pause()

    def _tell_rooms(self) -> None:
        """Tell each unit owned here what room the others have."""
        units = self.shell.units
        for unit in units.values():
            if not unit.is_owner or len(units) < 2:
                continue
            rooms = {
                number: one.lease.room
                for number, one in units.items()
                if one is not unit and one.lease and not one.lease.released
            }
            unit.post(ev.RoomsSeen(self.shell.clock(), rooms))

    async def _pause(self) -> None:
        units = self.shell.units.values()
        if all(unit.is_owner for unit in units):
            # Only this instance renews: nothing new is to be told.
            await trio.sleep(FEED_WAIT_MS / _MS)
        elif len(units) > 1:
            await trio.sleep(_PACE_S)

    async def _read_all(self) -> None:
        store = self.shell.ports.store
        page = await store.read_rows(UNITS_TABLE, LAYOUT_PART)
        self._take_layout(page.rows)
        if self.layout_row is None:
            await self._make_first()
            return
        after = page.version
        for number in self.shell.units:
            page = await store.read_rows(UNITS_TABLE, Unit(number).part)
            self.shell.units[number].see_rows(page.rows)
        self.after = after

    async def _follow(self) -> None:
        store = self.shell.ports.store
        page = await store.follow(UNITS_TABLE, self.after, FEED_WAIT_MS)
        changed = collections.defaultdict(list)
        for row in page.rows:
            changed[row.part].append(row)
        self._take_layout(changed.pop(LAYOUT_PART, ()))
        for number, unit in self.shell.units.items():
            rows = changed.get(Unit(number).part)
            if rows:
                unit.see_rows(rows)
        is_new = any(unit.lease is None for unit in self.shell.units.values())
        # Rows of a unit that was not known yet came before its layout.
        self.after = -1 if is_new and not page.rows else page.version

    def _take_layout(self, rows: t.Iterable[StoredRow]) -> None:
        """Know the layout; one that can't be read leaves the last in force.

        A new one is never made in its place: a rack that changed its unit
        would have two owners. The first unit's owner writes the one that it
        knows over it.
        """
        for row in rows:
            if row.key != LAYOUT_KEY or row.value is None:
                continue
            self.layout_row = row
            layout = read_record(row, LayoutRecord)
            if layout is not None and self._moves_rack(layout):
                log_unreadable(row, 'a rack has changed its unit')
                layout = None
            self.is_layout_wrong = layout is None
            if layout is not None:
                self.shell.take_layout(layout)

    def _moves_rack(self, layout: LayoutRecord) -> bool:
        """Whether a rack that is known has another unit in a layout."""
        known = self.shell.layout.racks if self.shell.layout else {}
        return any(
            layout.racks.get(rack, unit) != unit for rack, unit in known.items()
        )

    def _keep_named(
        self, entries: t.Iterable[WorkerEntry]
    ) -> list[WorkerEntry]:
        """Return the workers of services that the configuration names."""
        known = self.shell.configuration
        return [
            entry
            for entry in entries
            if known is None or entry.service in known.service_names
        ]

    # -- making the layout -------------------------------------------------

    async def _make_first(self) -> None:
        """Divide the workers that are listed into units."""
        spread = zlib.crc32(self.shell.config.instance_id.encode())
        await trio.sleep(spread % _SPREAD_MS / _MS)
        feeds = self.shell.ports.feeds
        entries, _ = await feeds.read_workers()
        since = began = trio.current_time()
        while not await self._is_made():
            now = trio.current_time()
            is_settled = bool(entries) and now - since >= _SETTLE_S
            if is_settled or now - began >= _SETTLE_LIMIT_S:
                await self._write(make_layout(self._keep_named(entries)))
                return
            await trio.sleep(_LOOK_EVERY_S)
            known = {entry.worker_id for entry in entries}
            entries, _ = await feeds.read_workers()
            if known != {entry.worker_id for entry in entries}:
                since = trio.current_time()

    async def _is_made(self) -> bool:
        """Whether another instance has made the layout."""
        store = self.shell.ports.store
        page = await store.read_rows(UNITS_TABLE, LAYOUT_PART)
        return bool(page.rows)

    async def _write(self, layout: LayoutRecord) -> None:
        version = get_version(self.layout_row)
        transaction = Transaction(
            LAYOUT_PART,
            (RowCondition(UNITS_TABLE, LAYOUT_KEY, version),),
            (RowWrite(UNITS_TABLE, LAYOUT_KEY, encode(layout)),),
        )
        result = await transact_surely(
            self.shell.ports.store,
            transaction,
            _WRITE_LIMIT_S,
            self.shell.answer_times,
        )
        logger.info(
            'layout written',
            is_done=result.is_done,
            units=len(layout.unit_numbers),
            racks=len(layout.racks),
            replaced_version=version,
        )

    async def _extend(self) -> None:
        """Give new racks a unit; the first unit's owner does that."""
        while True:
            await trio.sleep(_EXTEND_EVERY_S)
            unit = self.shell.units.get(0)
            if unit is None or not unit.is_owner:
                continue
            known = self.shell.layout.racks
            listed = self._keep_named(unit.listed_workers.values())
            racks = {get_rack(entry) for entry in listed}
            if racks <= set(known) and not self.is_layout_wrong:
                continue
            try:
                await self._write(extend_layout(self.shell.layout, listed))
            except UnavailableError as error:
                self.shell.note_store(error)
