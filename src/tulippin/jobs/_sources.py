"""Where an event's content came from, for the log and for what is set aside.

An error that an event raises is of use to operators only with the rows or
workers that told what was at work.
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

# A loading tells of some hundred rows.
_MOST_NAMES: t.Final = 40


def name_row(row: StoredRow) -> str:
    """Return the name of one version of a row."""
    return f'{row.table}/{row.part}/{row.key}@{row.version}'


def _name_rows(rows: t.Sequence[StoredRow]) -> tuple[str, ...]:
    return tuple(name_row(row) for row in rows[:_MOST_NAMES])


@functools.singledispatch
def list_sources(event: JobEvent) -> tuple[str, ...]:
    """Return the names of what an event was made of, as far as any is known.

    Rows are named by table, part, key and version, workers by their ids. Of
    many the first ones are named.
    """
    return ()


@list_sources.register
def _list_loaded(event: UnitLoaded) -> tuple[str, ...]:
    rows = (*event.sources, *_name_rows(event.jobs))
    return (*rows, *_name_rows(event.progress))[:_MOST_NAMES]


@list_sources.register
def _list_jobs(event: JobsChanged) -> tuple[str, ...]:
    return _name_rows((*event.rows, *event.progress))


@list_sources.register
def _list_models(event: ModelsSeen) -> tuple[str, ...]:
    return event.sources[:_MOST_NAMES]


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
    return tuple(f'worker {name}' for name in names[:_MOST_NAMES])
