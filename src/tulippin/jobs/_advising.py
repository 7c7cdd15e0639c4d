"""Inputs that only advise: they make decisions better, and may be left out."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _interference
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Worker

# A worker whose room is stale is told about once in so long.
_REFUSED_EVERY_MS: t.Final = 10_000
_DIGITS: t.Final = 2


def learn(worker: Worker, context: Context) -> None:
    """Learn from a worker's report, unless it is impossible."""
    exposure = _interference.learn(worker, context.state)
    if exposure:
        _tell_refused(worker, exposure, context)


def _tell_refused(
    worker: Worker, exposure: dict[str, float], context: Context
) -> None:
    state = context.state
    state.count('samples_refused')
    is_told = worker.refused_ms is not None and (
        state.now_ms - worker.refused_ms < _REFUSED_EVERY_MS
    )
    if is_told:
        return
    worker.refused_ms = state.now_ms
    context.log(
        'sample refused',
        worker=worker.worker_id,
        room_millicores=worker.entry.capacity.cpu_millicores,
        tenths={image: round(one, _DIGITS) for image, one in exposure.items()},
    )
