"""Telling a worker that is slow or stands still from one that is busy.

Neighbours raise a tail by so much at most; a tail far above that is the
worker's own doing, teaches nothing about images, and its tasks do better
elsewhere. So does a task that has used no processor for a while.
"""

from __future__ import annotations

import math
import typing as t

from tulippin.jobs import (
    _attempts,
    _availability,
    _interference,
    _scoring,
    _tails,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, AttemptState, Worker

# Two reports in a row, beside neighbours 400 ms apart.
_SICK_AFTER_MS: t.Final = 700
# How long a worker is left alone after each report that it is unwell.
_LEFT_ALONE_MS: t.Final = 1500
# A task is read at least once a second, and its load is that of the last
# half second.
_STILL_AFTER_MS: t.Final = 1500


def judge(worker: Worker, context: Context) -> None:
    """Take a worker out of use while its tasks are far too slow."""
    state = context.state
    if _is_unwell(worker, context):
        worker.unwell_since_ms = worker.unwell_since_ms or state.now_ms
    else:
        worker.unwell_since_ms = 0
    still = [one for one in worker.attempts.values() if _is_still(one, context)]
    lasted_ms = state.now_ms - (worker.unwell_since_ms or state.now_ms)
    if lasted_ms < _SICK_AFTER_MS and not still:
        return
    if worker.quarantined_until_ms < state.now_ms:
        state.count('workers_unwell')
        context.log(
            'worker unwell',
            worker=worker.worker_id,
            lasted_ms=lasted_ms,
            tasks_still=len(still),
        )
    worker.quarantined_until_ms = max(
        worker.quarantined_until_ms, state.now_ms + _LEFT_ALONE_MS
    )
    for attempt in still:
        _move(attempt, 'stands still', context)
    if lasted_ms >= _SICK_AFTER_MS:
        _move_one_serving(worker, context)


def _is_unwell(worker: Worker, context: Context) -> bool:
    """Whether most tails there are above what neighbours can do."""
    found = _interference.get_exposure(worker)
    if found is None:
        return False
    exposure = sum(found.values())
    known = 0
    beyond = 0
    for attempt in worker.serving.values():
        alone_ms = _tails.get_undisturbed_ms(attempt, context.state)
        if alone_ms <= 0 or attempt.load <= 0:
            continue
        known += 1
        excess = math.log(attempt.load / alone_ms)
        beyond += _tails.is_own_doing(excess, exposure)
    return known > 0 and beyond * 2 > known


def _is_still(attempt: Attempt, context: Context) -> bool:
    """Whether a task that may work has used no processor for a while."""
    if attempt.step.target_ms or attempt.state is not AttemptState.RUNNING:
        return False
    if attempt.wanted_percent < 100 or attempt.pace_percent != 100:
        return False
    if attempt.step.gang or attempt.progress_percent >= 100:
        return False
    since_ms = max(attempt.worked_ms, attempt.seen_ms, attempt.paced_ms)
    return context.state.now_ms - since_ms > _STILL_AFTER_MS


def _move(attempt: Attempt, why: str, context: Context) -> None:
    """Stop a task here; one that stands still counts as away already."""
    _attempts.avoid(attempt, context)
    _attempts.stop_attempt(attempt, context, why)


def _move_one_serving(worker: Worker, context: Context) -> None:
    """Move one long-running task at a time, if it fits elsewhere."""
    for attempt in worker.serving.values():
        if attempt.state is AttemptState.STOPPING:
            return
    for attempt in worker.serving.values():
        if not _scoring.fits_elsewhere(attempt, context):
            continue
        if _availability.may_end(attempt, context):
            _move(attempt, 'its worker is unwell', context)
            return
        context.state.count('moves_held_back')
