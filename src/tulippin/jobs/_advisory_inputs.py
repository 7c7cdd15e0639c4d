"""Handles advisory inputs, whose errors must not stop the unit.

Models, capacities of other units, tails and load cycles improve decisions;
without them the unit decides by its priors. An error in one of them costs the
learned state, but not the unit: it is reported with the rows that caused it
and counted, and the learned state, which may be half updated, is reset.
Epochs, rosters, jobs, progress and orders are not advisory: an error there
ends this process run of the unit.
"""

from __future__ import annotations

import functools
import typing as t

import attrs

from tulippin.jobs import _interference, _model_store
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._event_sources import list_sources
from tulippin.jobs.effects import TellFailure
from tulippin.jobs.events import (
    JobEvent,
    ModelsSeen,
    RoomsSeen,
    UnitLoaded,
    WorkerAnswered,
)
from tulippin.jobs.state import SchedulerState, Worker

ADVISORY_EVENTS: t.Final = (ModelsSeen, RoomsSeen)

# How long advisory inputs are ignored after an error; doubled at each further
# error up to the maximum, as the same input returns with the next report or
# change.
_FIRST_PAUSE_MS: t.Final = 10_000
_MAX_PAUSE_MS: t.Final = 320_000
# Maximum number of rejected row versions to remember.
_MAX_REJECTED_ROWS: t.Final = 200
# Minimum interval between log lines on rejected samples of one worker, which
# occur for as long as its capacity is outdated.
_REJECTED_LOG_INTERVAL_MS: t.Final = 10_000
_DIGITS: t.Final = 2


@functools.singledispatch
def handle_advisory(event: JobEvent, context: Context) -> None:
    """Handle an advisory event, unless advisory inputs are paused."""
    if context.state.is_without_advice:
        return
    try:
        handle(event, context)
    except Exception as error:
        _reset_learning(error, 'advice dropped', event, context)


@handle_advisory.register
def _handle_models(event: ModelsSeen, context: Context) -> None:
    """Handle other owners' models, except for rows that raise an error."""
    if context.state.is_without_advice:
        return
    event = _exclude_rows(event, context.state.excluded_rows)
    try:
        handle(event, context)
    except Exception as error:
        failed = _find_failing_rows(event, context.state)
        if not failed:
            _reset_learning(error, 'advice dropped', event, context)
            return
        _reject_rows(error, failed, context)
        # Ends, as there are fewer rows each time. Rows that fail only in
        # combination are dropped as a whole.
        handle_advisory(_exclude_rows(event, failed), context)


def _exclude_rows(event: ModelsSeen, names: t.Collection[str]) -> ModelsSeen:
    """Return the event without the named versions of rows."""
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


def _find_failing_rows(event: ModelsSeen, state: SchedulerState) -> set[str]:
    """Return the names of rows that raise an error on their own."""
    failed = set()
    for record, source in zip(event.models, event.sources, strict=True):
        alone = attrs.evolve(event, models=(record,), sources=(source,))
        try:
            handle(alone, Context(SchedulerState(state.config)))
        except Exception:
            failed.add(source)
    return failed


def _reject_rows(error: Exception, names: set[str], context: Context) -> None:
    """Ignore these versions of rows from now on, and report them."""
    state = context.state
    if len(state.excluded_rows) > _MAX_REJECTED_ROWS:
        state.excluded_rows.clear()
    state.excluded_rows.update(names)
    state.count('advice_dropped')
    context.emit(TellFailure('advice dropped', error, tuple(sorted(names))))


def restore(event: UnitLoaded, context: Context) -> None:
    """Restore an earlier owner's model, unless that raises an error."""
    if event.model is None or context.state.is_without_advice:
        return
    try:
        _model_store.restore(event.model, context.state)
    except Exception as error:
        _reset_learning(error, 'model dropped', event, context)


def learn(worker: Worker, event: WorkerAnswered, context: Context) -> None:
    """Learn from a worker's report, unless its sample is impossible."""
    if context.state.is_without_advice:
        return
    try:
        exposure = _interference.learn(worker, context.state)
    except Exception as error:
        _reset_learning(error, 'lesson dropped', event, context)
        return
    if exposure:
        _log_rejected_sample(worker, exposure, context)


def _reset_learning(
    error: Exception, kind: str, event: JobEvent, context: Context
) -> None:
    """Reset the learned state, report the error, and pause learning."""
    state = context.state
    pause_ms = max(2 * state.advisory_pause_ms, _FIRST_PAUSE_MS)
    state.advisory_pause_ms = min(pause_ms, _MAX_PAUSE_MS)
    state.advisory_paused_until_ms = state.now_ms + state.advisory_pause_ms
    state.count(kind.replace(' ', '_'))
    _model_store.forget(state)
    for worker in state.workers.values():
        worker.exposure = None
        _interference.invalidate_slack(worker)
    context.emit(TellFailure(kind, error, list_sources(event)))


def _log_rejected_sample(
    worker: Worker, exposure: dict[str, float], context: Context
) -> None:
    """Count a rejected sample, and log it unless one was just logged."""
    state = context.state
    state.count('samples_refused')
    is_logged = worker.rejection_logged_ms is not None and (
        state.now_ms - worker.rejection_logged_ms < _REJECTED_LOG_INTERVAL_MS
    )
    if is_logged:
        return
    worker.rejection_logged_ms = state.now_ms
    context.log(
        'sample refused',
        worker=worker.worker_id,
        room_millicores=worker.entry.capacity.cpu_millicores,
        tenths={image: round(one, _DIGITS) for image, one in exposure.items()},
    )
