"""The operators' configuration and the list of workers."""

from __future__ import annotations

import typing as t

import attrs
import msgspec

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
_READY: t.Final = 'ready'
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
        target_latency_ms=int(body.target_ms),
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
    return WorkerEntry(
        worker_id=worker_id,
        service=body.service,
        address=body.address,
        failure_domain=body.zone,
        capacity=decode_room(body.room),
        labels=body.labels,
        draining=body.state != _READY,
        leaves_in_ms=int(body.remaining_ms),
        clock_ms=body.clock_ms,
        machine=body.machine,
        rack=body.labels[_RACK_LABEL] if len(body.labels) > 1 else '',
    )


@attrs.frozen
class PlatformFeeds:
    """Both feeds, read from the store; see ``Feeds``."""

    store: RowStore

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
        changed, _ = _split_workers(page.rows)
        return changed, page.version

    async def follow_workers(
        self, after: int
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...], int]:
        """Return workers changed and workers gone since a version."""
        page = await self.store.follow(_WORKERS_TABLE, after, 0)
        changed, gone = _split_workers(page.rows)
        return changed, gone, page.version


def _find_configuration(
    rows: t.Iterable[StoredRow],
) -> Configuration | None:
    newest = None
    for row in rows:
        if row.key not in {_CONFIG_KEY, _CONFIG_KEY_FULL} or not row.value:
            continue
        try:
            newest = decode_configuration(row.value)
        except msgspec.DecodeError as error:
            logger.error('configuration unreadable', reason=str(error))
    return newest


def _split_workers(
    rows: t.Iterable[StoredRow],
) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...]]:
    """Return the newest entry of each worker, and those removed."""
    changed: dict[str, WorkerEntry] = {}
    gone: set[str] = set()
    for row in rows:
        worker_id = row.key.rpartition('/')[2]
        if row.value is None:
            gone.add(worker_id)
            changed.pop(worker_id, None)
            continue
        try:
            entry = decode_worker(worker_id, row.value)
        except msgspec.DecodeError as error:
            logger.error(
                'worker entry unreadable', worker=worker_id, reason=str(error)
            )
            continue
        changed[worker_id] = entry
        gone.discard(worker_id)
    return tuple(changed.values()), tuple(sorted(gone))
