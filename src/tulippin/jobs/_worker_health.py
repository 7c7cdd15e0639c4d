"""Detection of slow workers and of stalled tasks.

Interference between colocated tasks raises tail latency up to a limit. Tails
far above it are caused by the worker itself: they say nothing about images,
and the worker's tasks perform better elsewhere. The same holds for a task
that has used no processor time for a while.
"""

from __future__ import annotations

import math
import typing as t

from tulippin.jobs import (
    _attempts,
    _availability,
    _interference,
    _scoring,
    _tail_latency,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, AttemptState, Worker

# Covers two consecutive reports of a worker, 400 ms apart.
_UNHEALTHY_AFTER_MS: t.Final = 700
# Time for which a worker gets no new tasks after each unhealthy report.
_QUARANTINE_MS: t.Final = 1500
# The load of a task is sampled at least once a second, over the last half
# second.
_STALLED_AFTER_MS: t.Final = 1500


def judge(worker: Worker, context: Context) -> None:
    """Quarantine a worker whose tasks are stalled or far too slow.

    Stalled tasks are moved to other workers, and one long-running task at a
    time if the worker stays unhealthy.
    """
    state = context.state
    if _is_unhealthy(worker, context):
        worker.unhealthy_since_ms = worker.unhealthy_since_ms or state.now_ms
    else:
        worker.unhealthy_since_ms = 0
    stalled = [
        attempt
        for attempt in worker.attempts.values()
        if _is_stalled(attempt, context)
    ]
    lasted_ms = state.now_ms - (worker.unhealthy_since_ms or state.now_ms)
    if lasted_ms < _UNHEALTHY_AFTER_MS and not stalled:
        return
    if worker.quarantined_until_ms < state.now_ms:
        state.count('workers_unwell')
        context.log(
            'worker unhealthy',
            worker=worker.worker_id,
            lasted_ms=lasted_ms,
            tasks_still=len(stalled),
        )
    worker.quarantined_until_ms = max(
        worker.quarantined_until_ms, state.now_ms + _QUARANTINE_MS
    )
    for attempt in stalled:
        _move(attempt, 'stalled', context)
    if lasted_ms >= _UNHEALTHY_AFTER_MS:
        _move_one_serving(worker, context)


def _is_unhealthy(worker: Worker, context: Context) -> bool:
    """Whether most tails on a worker exceed what interference explains."""
    exposures = _interference.get_exposure(worker)
    if exposures is None:
        return False
    exposure = sum(exposures.values())
    known_count = 0
    excessive_count = 0
    for attempt in worker.serving.values():
        alone_ms = _tail_latency.get_undisturbed_tail_ms(attempt, context.state)
        if alone_ms <= 0 or attempt.load <= 0:
            continue
        known_count += 1
        excess = math.log(attempt.load / alone_ms)
        excessive_count += _tail_latency.exceeds_neighbour_effect(
            excess, exposure
        )
    return known_count > 0 and excessive_count * 2 > known_count


def _is_stalled(attempt: Attempt, context: Context) -> bool:
    """Whether a task that may work has used no processor time for a while."""
    if attempt.step.target_ms or attempt.state is not AttemptState.RUNNING:
        return False
    if attempt.target_pace_percent < 100 or attempt.pace_percent != 100:
        return False
    if attempt.step.gang or attempt.progress_percent >= 100:
        return False
    since_ms = max(
        attempt.last_progress_ms, attempt.seen_ms, attempt.pace_sent_ms
    )
    return context.state.now_ms - since_ms > _STALLED_AFTER_MS


def _move(attempt: Attempt, why: str, context: Context) -> None:
    """Stop a run, and prefer other workers for the next one."""
    _attempts.avoid(attempt, context)
    _attempts.stop_attempt(attempt, context, why)


def _move_one_serving(worker: Worker, context: Context) -> None:
    """Move one long-running task that fits elsewhere.

    Does nothing while a long-running task of the worker is being stopped.
    """
    for attempt in worker.serving.values():
        if attempt.state is AttemptState.STOPPING:
            return
    for attempt in worker.serving.values():
        if not _scoring.has_other_worker(attempt, context):
            continue
        if _availability.may_end_run(attempt, context):
            _move(attempt, 'its worker is unhealthy', context)
            return
        context.state.count('moves_held_back')
