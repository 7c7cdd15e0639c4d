"""Feed of the layout and of every unit's lease.

It also writes the layout: one instance makes the first one, and the owner of
the first unit extends it to new racks.
"""

from __future__ import annotations

import collections
import typing as t
import zlib

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import UnavailableError
from tulippin.jobs import _read_schedule
from tulippin.jobs import events as ev
from tulippin.jobs._owner_loads import find_lowest_load
from tulippin.jobs._rows import get_version, log_unreadable, read_record
from tulippin.jobs._transactions import transact_with_retries
from tulippin.jobs._unit_feeds import FEED_RETRY_PAUSE_S
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
    from tulippin.jobs.unit_shell import UnitShell

_MS: t.Final = 1000
# The first layout is made once the list of workers has not changed for the
# first of these times, or after the second one at the latest. Workers write
# their entry when they start and then every 1.1 s.
_SETTLE_S: t.Final = 1.2
_SETTLE_LIMIT_S: t.Final = 4.0
_SETTLE_CHECK_EVERY_S: t.Final = 0.3
# Jitter, so that not all instances make the first layout at the same time.
_LAYOUT_JITTER_MS: t.Final = 1000
_WRITE_LIMIT_S: t.Final = 1.0
# How often the first unit's owner checks for racks without a unit.
_EXTEND_EVERY_S: t.Final = 1.0


@attrs.define
class UnitWatch:
    """Passes the layout and the units' rows to an instance's shell."""

    shell: SchedulerShell
    layout_row: StoredRow | None = None
    is_layout_invalid: bool = False
    after: int = -1

    async def run(self) -> None:
        """Follow the table of units until cancelled.

        No unit is taken before the operators' settings have been read: the
        failure domain of its workers may be evacuated.
        """
        await self.shell.settings_known.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._extend_layout)
            while True:
                await self._read_once()

    async def _read_once(self) -> None:
        try:
            if self.after < 0:
                await self._read_all()
            else:
                await self._follow()
        except HistoryLostError:
            logger.info('feed restarts', feed='units')
            self.after = -1
        except UnavailableError as error:
            self.shell.record_store_result(error)
            await trio.sleep(FEED_RETRY_PAUSE_S)
        else:
            self.shell.record_store_result()
            self._update_owner_loads()
            self._post_capacities()
            await self._pause()

    def _update_owner_loads(self) -> None:
        shell = self.shell
        shell.lowest_other_load = find_lowest_load(
            shell.units.values(), shell.config.instance_id, shell.clock()
        )

    def _post_capacities(self) -> None:
        """Post to each unit owned here the capacity of the other units."""
        units = self.shell.units
        for unit in units.values():
            if not unit.is_owner or len(units) < 2:
                continue
            capacities = {
                number: other.lease.room
                for number, other in units.items()
                if other is not unit
                and other.lease
                and not other.lease.released
            }
            unit.post(ev.RoomsSeen(self.shell.clock(), capacities))

    async def _pause(self) -> None:
        config = self.shell.config
        pause_ms = _read_schedule.choose_units_pause_ms(
            [self._get_sight(unit) for unit in self.shell.units.values()],
            config.features,
            config.renew_every_ms,
        )
        if pause_ms:
            await trio.sleep(pause_ms / _MS)

    def _get_sight(self, unit: UnitShell) -> _read_schedule.UnitSight:
        """Return what decides how often a unit's lease is read."""
        return _read_schedule.UnitSight(
            unit.is_claimed,
            unit.is_owner,
            unit.lease is not None and not unit.lease.released,
            self.shell.clock() - unit.lease_seen_ms,
        )

    async def _read_all(self) -> None:
        store = self.shell.ports.store
        self.shell.read_counts['units'] += 1
        page = await store.read_rows(UNITS_TABLE, LAYOUT_PART)
        self._process_layout(page.rows)
        if self.layout_row is None:
            await self._make_first_layout()
            return
        after = page.version
        for number in self.shell.units:
            self.shell.read_counts['units'] += 1
            page = await store.read_rows(UNITS_TABLE, Unit(number).part)
            self.shell.units[number].apply_rows(page.rows)
        self.after = after

    async def _follow(self) -> None:
        store = self.shell.ports.store
        self.shell.read_counts['units'] += 1
        page = await store.follow(
            UNITS_TABLE, self.after, _read_schedule.FEED_WAIT_MS
        )
        changed = collections.defaultdict(list)
        for row in page.rows:
            changed[row.part].append(row)
        self._process_layout(changed.pop(LAYOUT_PART, ()))
        for number, unit in self.shell.units.items():
            rows = changed.get(Unit(number).part)
            if rows:
                unit.apply_rows(rows)
        is_new = any(unit.lease is None for unit in self.shell.units.values())
        # The rows of a new unit may have preceded the layout that adds it.
        self.after = -1 if is_new and not page.rows else page.version

    def _process_layout(self, rows: t.Iterable[StoredRow]) -> None:
        """Apply a changed layout; the last valid one stays in force otherwise.

        An invalid layout is never replaced by a newly made one: a rack that
        changed its unit would have two owners. The owner of the first unit
        overwrites it with the last valid one.
        """
        for row in rows:
            if row.key != LAYOUT_KEY or row.value is None:
                continue
            self.layout_row = row
            layout = read_record(row, LayoutRecord)
            fault = self._find_change(layout)
            if fault:
                log_unreadable(row, fault)
                layout = None
            self.is_layout_invalid = layout is None
            if layout is not None:
                self.shell.apply_layout(layout)

    def _find_change(self, layout: LayoutRecord | None) -> str:
        """Return what a layout changes that never may; empty if nothing.

        An instance of a version that knows no ``job_parts`` leaves it out of
        a layout that it extends.
        """
        known = self.shell.layout
        if layout is None or known is None:
            return ''
        if layout.job_parts != known.job_parts:
            return "the number of the jobs' parts has changed"
        moved = any(
            layout.racks.get(rack, unit) != unit
            for rack, unit in known.racks.items()
        )
        return 'a rack has changed its unit' if moved else ''

    def _filter_configured(
        self, entries: t.Iterable[WorkerEntry]
    ) -> list[WorkerEntry]:
        """Return the workers whose service is in the configuration."""
        configuration = self.shell.configuration
        return [
            entry
            for entry in entries
            if configuration is None
            or entry.service in configuration.service_names
        ]

    # -- making the layout -------------------------------------------------

    async def _make_first_layout(self) -> None:
        """Make the first layout from the listed workers, if there is none."""
        jitter = zlib.crc32(self.shell.config.instance_id.encode())
        await trio.sleep(jitter % _LAYOUT_JITTER_MS / _MS)
        feeds = self.shell.ports.feeds
        entries, _ = await feeds.read_workers()
        unchanged_since_s = began_at_s = trio.current_time()
        while not await self._has_layout():
            now_s = trio.current_time()
            is_settled = (
                bool(entries) and now_s - unchanged_since_s >= _SETTLE_S
            )
            if is_settled or now_s - began_at_s >= _SETTLE_LIMIT_S:
                await self._write_layout(
                    make_layout(
                        self._filter_configured(entries),
                        self.shell.config.features.job_part_count,
                    )
                )
                return
            await trio.sleep(_SETTLE_CHECK_EVERY_S)
            worker_ids = {entry.worker_id for entry in entries}
            entries, _ = await feeds.read_workers()
            if worker_ids != {entry.worker_id for entry in entries}:
                unchanged_since_s = trio.current_time()

    async def _has_layout(self) -> bool:
        """Whether another instance has written a layout."""
        store = self.shell.ports.store
        page = await store.read_rows(UNITS_TABLE, LAYOUT_PART)
        return bool(page.rows)

    async def _write_layout(self, layout: LayoutRecord) -> None:
        version = get_version(self.layout_row)
        transaction = Transaction(
            LAYOUT_PART,
            (RowCondition(UNITS_TABLE, LAYOUT_KEY, version),),
            (RowWrite(UNITS_TABLE, LAYOUT_KEY, encode(layout)),),
        )
        result = await transact_with_retries(
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
            job_parts=layout.job_parts,
            replaced_version=version,
        )

    async def _extend_layout(self) -> None:
        """Assign new racks to units while this instance owns the first one."""
        while True:
            await trio.sleep(_EXTEND_EVERY_S)
            unit = self.shell.units.get(0)
            if unit is None or not unit.is_owner:
                continue
            known_racks = self.shell.layout.racks
            listed = self._filter_configured(unit.listed_workers.values())
            racks = {get_rack(entry) for entry in listed}
            if racks <= set(known_racks) and not self.is_layout_invalid:
                continue
            try:
                await self._write_layout(
                    extend_layout(self.shell.layout, listed)
                )
            except UnavailableError as error:
                self.shell.record_store_result(error)
