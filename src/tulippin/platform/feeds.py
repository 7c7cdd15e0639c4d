"""Feeds of the operators' settings and of the worker list."""

from __future__ import annotations

import ipaddress
import re
import typing as t

import attrs
import msgspec

from tulippin.jobs._record_validation import MAX_DURATION_MS
from tulippin.jobs.ports import (
    OperatorSettings,
    RowPage,
    RowStore,
    StoredRow,
)
from tulippin.jobs.types import (
    Configuration,
    Queue,
    Service,
    WorkerEntry,
)
from tulippin.logs import logger
from tulippin.platform.wire import (
    CapacityBody,
    ConfigBody,
    RouteBody,
    WorkerBody,
)
from tulippin.types import Resources

_OPERATOR_TABLE: t.Final = 'op'
_OPERATOR_PREFIX: t.Final = 'op/'
_CONFIG_KEY: t.Final = 'config'
# The rest of the key names the failure domain.
_EVACUATION_PREFIX: t.Final = 'evacuate/'
_WORKERS_TABLE: t.Final = 'servers'
_WORKERS_PREFIX: t.Final = 'servers/'
_READY: t.Final = 'ready'
# A worker's id is sent to it in a header: printable ASCII without spaces.
_WORKER_ID_PATTERN: t.Final = re.compile('[A-Za-z0-9][!-.0-~]{0,199}')
# Raised for values that are not JSON, not of the expected type, not UTF-8, or
# nested too deeply.
_DECODE_ERRORS: t.Final = (msgspec.DecodeError, ValueError, RecursionError)
# About 100 bytes each.
_MAX_LOGGED_REASONS: t.Final = 1000
# The first label is the kind of the worker, the second its rack.
_RACK_LABEL_INDEX: t.Final = 1

_config_decoder = msgspec.json.Decoder(ConfigBody)
_worker_decoder = msgspec.json.Decoder(WorkerBody)
_evacuation_decoder = msgspec.json.Decoder(dict[str, t.Any])


def decode_capacity(body: CapacityBody) -> Resources:
    """Convert a worker's capacity."""
    return Resources(body.cpu, body.memory_mb, body.gpus)


def _decode_queue(body: RouteBody, version: int) -> Queue:
    return Queue(
        name=body.name,
        host=body.host,
        path_prefix=body.prefix,
        service=body.service,
        priority=body.priority,
        max_attempts=body.max_attempts,
        stretch=body.stretch,
        target_latency_ms=int(min(body.target_ms, MAX_DURATION_MS)),
        advised=body.advice is not None,
        configuration_version=version,
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration.

    Raises
    ------
    msgspec.DecodeError, ValueError, RecursionError
        If it can't be decoded.
    """
    body = _config_decoder.decode(value)
    return Configuration(
        version=body.version,
        queues=tuple(
            _decode_queue(route, body.version) for route in body.routes
        ),
        services=tuple(
            Service(service.name, service.enforces_capacity, service.spare)
            for service in body.services
        ),
        max_body_bytes=body.limits.body_bytes,
        max_header_bytes=body.limits.header_bytes,
    )


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry:
    """Decode a worker's entry of the worker list.

    Raises
    ------
    msgspec.DecodeError, ValueError, RecursionError
        If it can't be decoded.
    """
    body = _worker_decoder.decode(value)
    host = body.address.rpartition(':')[0]
    if host.startswith('['):
        # Raises ValueError if the brackets don't hold an IPv6 address.
        ipaddress.IPv6Address(host[1:-1])
    return WorkerEntry(
        worker_id=worker_id,
        service=body.service,
        address=body.address,
        failure_domain=body.zone,
        capacity=decode_capacity(body.capacity),
        labels=body.labels,
        draining=body.state != _READY,
        leaves_in_ms=max(0, int(body.remaining_ms)),
        clock_ms=body.clock_ms,
        machine=body.machine,
        rack=body.labels[_RACK_LABEL_INDEX] if len(body.labels) > 1 else '',
        born_ms=body.born_ms,
    )


@attrs.frozen
class PlatformFeeds:
    """Implementation of the ``Feeds`` port on the platform's store.

    An entry of the worker list that can't be decoded counts as removed until
    it can be decoded again.
    """

    store: RowStore
    # The last logged reason of each invalid entry. A worker writes its entry
    # every second; only a changed reason is logged again.
    _logged_reasons: dict[str, str] = attrs.field(factory=dict, init=False)

    async def read_settings(self) -> OperatorSettings:
        """Return all settings of the operators."""
        page = await self.store.read_rows(_OPERATOR_TABLE, '')
        return _decode_settings(page)

    async def follow_settings(
        self, after: int, wait_ms: int
    ) -> OperatorSettings:
        """Wait for changed settings of the operators, and return them."""
        page = await self.store.follow(_OPERATOR_TABLE, after, wait_ms)
        return _decode_settings(page)

    async def read_workers(self) -> tuple[tuple[WorkerEntry, ...], int]:
        """Return all listed workers and the version of the store."""
        page = await self.store.read_rows(_WORKERS_TABLE, '')
        changed, _ = self._split_workers(page.rows)
        return changed, page.version

    async def follow_workers(
        self, after: int
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...], int]:
        """Return changed workers, removed worker ids and the new version."""
        page = await self.store.follow(_WORKERS_TABLE, after, 0)
        changed, gone = self._split_workers(page.rows)
        return changed, gone, page.version

    def _split_workers(
        self, rows: t.Iterable[StoredRow]
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...]]:
        """Return the newest entry of each worker, and ids without an entry."""
        changed: dict[str, WorkerEntry] = {}
        gone: set[str] = set()
        for row in rows:
            worker_id = _find_worker_id(row)
            if worker_id is None:
                self._log_invalid(row.key, 'key is not a worker id')
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
        """Return a worker's entry, or None if it is removed or invalid."""
        if row.value is None:
            self._logged_reasons.pop(row.key, None)
            return None
        try:
            entry = decode_worker(worker_id, row.value)
        except _DECODE_ERRORS as error:
            self._log_invalid(row.key, str(error))
            return None
        if self._logged_reasons.pop(row.key, None) is not None:
            logger.info('worker entry readable again', worker=worker_id)
        return entry

    def _log_invalid(self, key: str, reason: str) -> None:
        """Log why an entry is skipped, unless the same reason was logged."""
        if self._logged_reasons.get(key) == reason:
            return
        if len(self._logged_reasons) >= _MAX_LOGGED_REASONS:
            self._logged_reasons.pop(next(iter(self._logged_reasons)))
        self._logged_reasons[key] = reason
        logger.error('worker entry unreadable', key=key, reason=reason)


def _find_worker_id(row: StoredRow) -> str | None:
    """Return the worker id of a row, or None if its key holds no valid id."""
    worker_id = row.key.removeprefix(_WORKERS_PREFIX)
    if row.part or not _WORKER_ID_PATTERN.fullmatch(worker_id):
        return None
    return worker_id


def _decode_settings(page: RowPage) -> OperatorSettings:
    rows = [row for row in page.rows if not row.part]
    return OperatorSettings(
        _find_configuration(rows), _find_evacuations(rows), page.version
    )


def _get_operator_key(row: StoredRow) -> str:
    return row.key.removeprefix(_OPERATOR_PREFIX)


def _find_evacuations(rows: t.Iterable[StoredRow]) -> dict[str, bool]:
    """Return for each failure domain among the rows if it is evacuated."""
    found = {}
    for row in rows:
        key = _get_operator_key(row)
        if not key.startswith(_EVACUATION_PREFIX):
            continue
        failure_domain = key.removeprefix(_EVACUATION_PREFIX)
        if not failure_domain:
            _log_evacuation(row, 'its key names no failure domain')
            continue
        found[failure_domain] = row.value is not None
        if row.value is not None:
            _check_evacuation(row, row.value)
    return found


def _check_evacuation(row: StoredRow, value: bytes) -> None:
    """Log a malformed evacuation; it applies all the same.

    The key says what is asked for, and ignoring the row would send work to
    workers that are about to be switched off.
    """
    try:
        _evacuation_decoder.decode(value)
    except _DECODE_ERRORS as error:
        _log_evacuation(row, str(error))


def _log_evacuation(row: StoredRow, reason: str) -> None:
    logger.error(
        'evacuation unreadable',
        key=row.key,
        version=row.version,
        reason=reason,
    )


def _find_configuration(
    rows: t.Iterable[StoredRow],
) -> Configuration | None:
    """Return the newest valid configuration among the rows, if any."""
    newest = None
    for row in rows:
        if row.value is None or _get_operator_key(row) != _CONFIG_KEY:
            continue
        try:
            newest = decode_configuration(row.value)
        except _DECODE_ERRORS as error:
            # The last valid configuration stays in force.
            logger.error(
                'configuration unreadable',
                version=row.version,
                reason=str(error),
            )
    return newest
