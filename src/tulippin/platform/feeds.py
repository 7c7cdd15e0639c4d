"""The operators' configuration and the list of workers."""

from __future__ import annotations

import ipaddress
import re
import typing as t

import attrs
import msgspec

from tulippin.jobs._row_checks import LONGEST_MS
from tulippin.jobs.ports import RowStore, StoredRow
from tulippin.jobs.types import (
    Configuration,
    Queue,
    Service,
    WorkerEntry,
)
from tulippin.logs import logger
from tulippin.platform.wire import ConfigBody, RoomBody, RouteBody, WorkerBody
from tulippin.types import Resources

_OPERATOR_TABLE: t.Final = 'op'
_CONFIG_KEY: t.Final = 'config'
_CONFIG_KEY_FULL: t.Final = 'op/config'
_WORKERS_TABLE: t.Final = 'servers'
_WORKERS_PREFIX: t.Final = 'servers/'
_READY: t.Final = 'ready'
# A worker's id is sent to it in a header, so it is of plain characters.
_WORKER_ID: t.Final = re.compile('[A-Za-z0-9][!-.0-~]{0,199}')
# What entries of wrong form raise: not JSON, not of the form wanted, not
# text, or nested too deeply to be read.
_UNREADABLE: t.Final = (msgspec.DecodeError, ValueError, RecursionError)
# Some 100 bytes each.
_TOLD_KEPT: t.Final = 1000
# A worker's labels are its kind, then its rack.
_RACK_LABEL: t.Final = 1

_config_decoder = msgspec.json.Decoder(ConfigBody)
_worker_decoder = msgspec.json.Decoder(WorkerBody)


def decode_room(body: RoomBody) -> Resources:
    """Return a worker's room."""
    return Resources(body.cpu, body.memory_mb, body.gpus)


def _decode_queue(body: RouteBody) -> Queue:
    return Queue(
        name=body.name,
        host=body.host,
        path_prefix=body.prefix,
        service=body.service,
        priority=body.priority,
        max_attempts=body.max_attempts,
        stretch=body.stretch,
        target_latency_ms=int(min(body.target_ms, LONGEST_MS)),
        advised=body.advice is not None,
    )


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in the product's own types."""
    body = _config_decoder.decode(value)
    return Configuration(
        version=body.version,
        queues=tuple(_decode_queue(route) for route in body.routes),
        services=tuple(
            Service(service.name, service.enforces_capacity, service.spare)
            for service in body.services
        ),
        max_body_bytes=body.limits.body_bytes,
        max_header_bytes=body.limits.header_bytes,
    )


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry:
    """Return a worker's entry."""
    body = _worker_decoder.decode(value)
    host = body.address.rpartition(':')[0]
    if host.startswith('['):
        # Raises where the brackets hold no address.
        ipaddress.IPv6Address(host[1:-1])
    return WorkerEntry(
        worker_id=worker_id,
        service=body.service,
        address=body.address,
        failure_domain=body.zone,
        capacity=decode_room(body.room),
        labels=body.labels,
        draining=body.state != _READY,
        leaves_in_ms=max(0, int(body.remaining_ms)),
        clock_ms=body.clock_ms,
        machine=body.machine,
        rack=body.labels[_RACK_LABEL] if len(body.labels) > 1 else '',
    )


@attrs.frozen
class PlatformFeeds:
    """Both feeds, read from the store; see ``Feeds``.

    An entry of the list that can't be read names no worker: it counts as
    one that was removed, until it can be read again.
    """

    store: RowStore
    # Why entries can't be read, as told in the log: a worker writes its
    # entry every second, and its fault is told when it changes.
    _told: dict[str, str] = attrs.field(factory=dict, init=False)

    async def read_configuration(self) -> tuple[Configuration | None, int]:
        """Return the configuration, if any, and the store's version."""
        page = await self.store.read_rows(_OPERATOR_TABLE, '')
        return _find_configuration(page.rows), page.version

    async def follow_configuration(
        self, after: int, wait_ms: int
    ) -> tuple[Configuration | None, int]:
        """Return a newer configuration once there is one."""
        page = await self.store.follow(_OPERATOR_TABLE, after, wait_ms)
        return _find_configuration(page.rows), page.version

    async def read_workers(self) -> tuple[tuple[WorkerEntry, ...], int]:
        """Return every worker on the list and the store's version."""
        page = await self.store.read_rows(_WORKERS_TABLE, '')
        changed, _ = self._split_workers(page.rows)
        return changed, page.version

    async def follow_workers(
        self, after: int
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...], int]:
        """Return workers changed and workers gone since a version."""
        page = await self.store.follow(_WORKERS_TABLE, after, 0)
        changed, gone = self._split_workers(page.rows)
        return changed, gone, page.version

    def _split_workers(
        self, rows: t.Iterable[StoredRow]
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...]]:
        """Return the newest entry of each worker, and those without one."""
        changed: dict[str, WorkerEntry] = {}
        gone: set[str] = set()
        for row in rows:
            worker_id = _find_worker_id(row)
            if worker_id is None:
                self._tell(row.key, 'not the key of a worker')
                continue
            entry = self._read_entry(worker_id, row)
            if entry is None:
                gone.add(worker_id)
                changed.pop(worker_id, None)
                continue
            changed[worker_id] = entry
            gone.discard(worker_id)
        return tuple(changed.values()), tuple(sorted(gone))

    def _read_entry(self, worker_id: str, row: StoredRow) -> WorkerEntry | None:
        """Return a worker's entry; nothing if it is gone or unreadable."""
        if row.value is None:
            self._told.pop(row.key, None)
            return None
        try:
            entry = decode_worker(worker_id, row.value)
        except _UNREADABLE as error:
            self._tell(row.key, str(error))
            return None
        if self._told.pop(row.key, None) is not None:
            logger.info('worker entry readable again', worker=worker_id)
        return entry

    def _tell(self, key: str, reason: str) -> None:
        """Log why an entry is passed over, unless that is known."""
        if self._told.get(key) == reason:
            return
        if len(self._told) >= _TOLD_KEPT:
            self._told.pop(next(iter(self._told)))
        self._told[key] = reason
        logger.error('worker entry unreadable', key=key, reason=reason)


def _find_worker_id(row: StoredRow) -> str | None:
    """Return whose entry a row is; nothing if it is no worker's."""
    worker_id = row.key.removeprefix(_WORKERS_PREFIX)
    if row.part or not _WORKER_ID.fullmatch(worker_id):
        return None
    return worker_id


def _find_configuration(
    rows: t.Iterable[StoredRow],
) -> Configuration | None:
    newest = None
    for row in rows:
        if row.part or row.key not in {_CONFIG_KEY, _CONFIG_KEY_FULL}:
            continue
        if row.value is None:
            continue
        try:
            newest = decode_configuration(row.value)
        except _UNREADABLE as error:
            # The last good one stays in force.
            logger.error(
                'configuration unreadable',
                version=row.version,
                reason=str(error),
            )
    return newest
