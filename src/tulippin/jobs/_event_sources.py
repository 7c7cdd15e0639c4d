"""Names the rows and workers that an event was read from.

Errors are reported with these names, so that operators find the row or worker
that caused them, and rows that raise errors are rejected by them.
"""

from __future__ import annotations

import functools
import typing as t

from tulippin.jobs.events import (
    JobEvent,
    JobsChanged,
    LeaseSeen,
    ModelsSeen,
    UnitLoaded,
    WorkerAnswered,
    WorkersChanged,
    WorkerSilent,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import EPOCH_KEY, LEASE_KEY

# A `UnitLoaded` event is read from a hundred rows or more.
_MAX_NAMES: t.Final = 40


def name_row(row: StoredRow) -> str:
    """Return the name of one version of a row."""
    return f'{row.table}/{row.part}/{row.key}@{row.version}'


def _name_rows(rows: t.Sequence[StoredRow]) -> tuple[str, ...]:
    return tuple(name_row(row) for row in rows[:_MAX_NAMES])


@functools.singledispatch
def list_sources(event: JobEvent) -> tuple[str, ...]:
    """Return the names of the rows or workers that an event was read from.

    Rows are named by table, part, key and version, workers by their ids. Only
    the first ones of many are returned, and none for other events.
    """
    return ()


@list_sources.register
def _list_loaded(event: UnitLoaded) -> tuple[str, ...]:
    rows = (*event.sources, *_name_rows(event.jobs))
    return (*rows, *_name_rows(event.progress))[:_MAX_NAMES]


@list_sources.register
def _list_jobs(event: JobsChanged) -> tuple[str, ...]:
    return _name_rows((*event.rows, *event.progress))


@list_sources.register
def _list_models(event: ModelsSeen) -> tuple[str, ...]:
    return event.sources[:_MAX_NAMES]


@list_sources.register
def _list_lease(event: LeaseSeen) -> tuple[str, ...]:
    return (
        f'{LEASE_KEY}@{event.lease_version}',
        f'{EPOCH_KEY}@{event.epoch_version}',
    )


@list_sources.register
def _list_worker(event: WorkerAnswered | WorkerSilent) -> tuple[str, ...]:
    return (f'worker {event.worker_id}',)


@list_sources.register
def _list_workers(event: WorkersChanged) -> tuple[str, ...]:
    names = (*(entry.worker_id for entry in event.changed), *event.gone)
    return tuple(f'worker {name}' for name in names[:_MAX_NAMES])
