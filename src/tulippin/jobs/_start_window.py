"""Limits the start orders that are under way, and shares them between jobs.

An owner sends a few hundred orders a second. Further ones would wait in its
process until they expire, and delay whatever else it does. While there are
more tasks to start than orders may be sent, the jobs take turns.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs._ready_queues import StepKey
from tulippin.jobs.events import StartAnswered
from tulippin.jobs.state import Attempt, SchedulerState, Worker
from tulippin.jobs.types import Step

# Orders without an answer at one time.
_MAX_OPEN_STARTS: t.Final = 48
# The same at one worker, so that one that hangs leaves some for the others.
_MAX_WORKER_STARTS: t.Final = 16
# An order without an answer for this time is left out, as its worker hangs.
_MAX_OPEN_MS: t.Final = 300
# Limits the starts of one pass, so that answers are read in between.
MAX_STARTS_PER_PASS: t.Final = 40
# The same for the starts of one job, so that others have some in each pass.
MAX_JOB_STARTS_PER_PASS: t.Final = 20


def get_budget(state: SchedulerState) -> int:
    """Return how many starts a placement pass may order now."""
    limit_ms = state.now_ms - _MAX_OPEN_MS
    open_starts = state.open_starts
    while open_starts:
        run_id = next(iter(open_starts))
        if open_starts[run_id] > limit_ms:
            break
        del open_starts[run_id]
    return max(0, min(MAX_STARTS_PER_PASS, _MAX_OPEN_STARTS - len(open_starts)))


def note_sent(attempt: Attempt, worker: Worker, state: SchedulerState) -> None:
    """Record that the start of a run is ordered now."""
    state.open_starts[attempt.key, attempt.run] = state.now_ms
    worker.open_start_count += 1


def note_answered(event: StartAnswered, state: SchedulerState) -> None:
    """Record that the order to start a run has its outcome."""
    state.open_starts.pop((event.key, event.run), None)
    worker = state.workers.get(event.worker_id)
    if worker is not None and worker.open_start_count:
        worker.open_start_count -= 1


def is_open(worker: Worker) -> bool:
    """Whether a worker may be ordered to start another run now."""
    return worker.open_start_count < _MAX_WORKER_STARTS


def awaits_answers(step: Step, state: SchedulerState) -> bool:
    """Whether a worker may have room for a task once it has answered."""
    return any(
        not is_open(worker) and worker.has_capacity(step.reserved)
        for worker in state.workers.values()
    )


def order_by_turn(
    step_keys: list[StepKey], state: SchedulerState
) -> list[StepKey]:
    """Put the steps of those jobs first that have missed most passes.

    Parameters
    ----------
    step_keys : list of StepKey
        The ready steps of a queue, in the order of their rank.
    state : SchedulerState
        Holds how many passes in a row did not reach a job.
    """
    missed_passes = state.missed_passes
    if not missed_passes:
        return step_keys
    return sorted(
        step_keys, key=lambda step_key: -missed_passes.get(step_key[0], 0)
    )


def note_pass(
    step_keys: list[StepKey], reached_count: int, state: SchedulerState
) -> None:
    """Record which jobs a pass over a queue reached before its budget ended.

    Parameters
    ----------
    step_keys : list of StepKey
        The steps of the queue, in the order of the pass.
    reached_count : int
        How many of them the pass reached.
    state : SchedulerState
        Holds how many passes in a row did not reach a job.
    """
    reached = {step_key[0] for step_key in step_keys[:reached_count]}
    missed = {step_key[0] for step_key in step_keys[reached_count:]} - reached
    if not (missed or state.missed_passes):
        return
    counts = state.missed_passes
    state.missed_passes = {
        job_id: count
        for job_id, count in counts.items()
        if job_id not in reached and job_id in state.jobs
    } | {job_id: counts.get(job_id, 0) + 1 for job_id in missed}
