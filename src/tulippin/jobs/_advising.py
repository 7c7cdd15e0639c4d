"""Inputs that only advise: they may fail, and the unit goes on.

Models, rooms of other units, tails and swings make decisions better; without
them the unit decides by its priors. An error that one of them raises costs
what was learned, and never the unit: it is told with its rows, counted, and
what may be half changed is forgotten. Epochs, rosters, jobs, progress and
orders are not among them: an error there ends this life of the unit.
"""

from __future__ import annotations

import functools
import typing as t

import attrs

from tulippin.jobs import _interference, _memory
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._sources import list_sources
from tulippin.jobs.effects import TellFailure
from tulippin.jobs.events import (
    JobEvent,
    ModelsSeen,
    RoomsSeen,
    UnitLoaded,
    WorkerAnswered,
)
from tulippin.jobs.state import SchedulerState, Worker

ADVISING_EVENTS: t.Final = (ModelsSeen, RoomsSeen)

# For how long nothing that advises is taken in after an error, and at most
# as that is doubled at each further one: the same input comes again with the
# next report or change.
_FIRST_PAUSE_MS: t.Final = 10_000
_LONGEST_PAUSE_MS: t.Final = 320_000
# Versions of rows that are remembered as set aside.
_MOST_ASIDE: t.Final = 200
# A worker whose room is stale is told about once in so long.
_REFUSED_EVERY_MS: t.Final = 10_000
_DIGITS: t.Final = 2


@functools.singledispatch
def hear(event: JobEvent, context: Context) -> None:
    """Handle an event that only advises."""
    if context.state.is_without_advice:
        return
    try:
        handle(event, context)
    except Exception as error:
        _forget(error, 'advice dropped', event, context)


@hear.register
def _hear_models(event: ModelsSeen, context: Context) -> None:
    """Hear of what others have learned, but for rows that raise an error."""
    if context.state.is_without_advice:
        return
    event = _leave_out(event, context.state.rows_aside)
    try:
        handle(event, context)
    except Exception as error:
        failed = _find_failed(event, context.state)
        if not failed:
            _forget(error, 'advice dropped', event, context)
            return
        _set_aside(error, failed, context)
        # Fewer each time: what fails only together is dropped as a whole.
        hear(_leave_out(event, failed), context)


def _leave_out(event: ModelsSeen, names: t.Collection[str]) -> ModelsSeen:
    kept = [
        (record, source)
        for record, source in zip(event.models, event.sources, strict=True)
        if source not in names
    ]
    return attrs.evolve(
        event,
        models=tuple(record for record, _ in kept),
        sources=tuple(source for _, source in kept),
    )


def _find_failed(event: ModelsSeen, state: SchedulerState) -> set[str]:
    """Return the rows that raise an error by themselves."""
    failed = set()
    for record, source in zip(event.models, event.sources, strict=True):
        alone = attrs.evolve(event, models=(record,), sources=(source,))
        try:
            handle(alone, Context(SchedulerState(state.config)))
        except Exception:
            failed.add(source)
    return failed


def _set_aside(error: Exception, names: set[str], context: Context) -> None:
    """Take these versions of rows in no more, and tell which they are."""
    state = context.state
    if len(state.rows_aside) > _MOST_ASIDE:
        state.rows_aside.clear()
    state.rows_aside.update(names)
    state.count('advice_dropped')
    context.emit(TellFailure('advice dropped', error, tuple(sorted(names))))


def restore(event: UnitLoaded, context: Context) -> None:
    """Begin with what an earlier owner has learned, if that can be."""
    if event.model is None or context.state.is_without_advice:
        return
    try:
        _memory.restore(event.model, context.state)
    except Exception as error:
        _forget(error, 'model dropped', event, context)


def learn(worker: Worker, event: WorkerAnswered, context: Context) -> None:
    """Learn from a worker's report, unless it is impossible."""
    if context.state.is_without_advice:
        return
    try:
        exposure = _interference.learn(worker, context.state)
    except Exception as error:
        _forget(error, 'lesson dropped', event, context)
        return
    if exposure:
        _tell_refused(worker, exposure, context)


def _forget(
    error: Exception, what: str, event: JobEvent, context: Context
) -> None:
    """Forget all that was learned, tell why, and learn nothing for a while."""
    state = context.state
    pause_ms = max(2 * state.advice_pause_ms, _FIRST_PAUSE_MS)
    state.advice_pause_ms = min(pause_ms, _LONGEST_PAUSE_MS)
    state.advice_after_ms = state.now_ms + state.advice_pause_ms
    state.count(what.replace(' ', '_'))
    _memory.forget(state)
    for worker in state.workers.values():
        worker.exposure = None
        _interference.forget_view(worker)
    context.emit(TellFailure(what, error, list_sources(event)))


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
