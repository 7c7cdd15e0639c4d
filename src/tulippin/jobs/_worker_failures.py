"""Detection of faulty workers by consecutive failures of their runs.

If runs of several jobs fail in a row on a worker, the worker is faulty and
gets no work for a while. Jobs that fail on every worker don't count: 16 such
jobs would keep three healthy workers in quarantine for up to 12 s at a time,
and a healthy job waiting for 35 s.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _occurrences
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import SchedulerState, Worker
from tulippin.jobs.types import EndedRun, RunOutcome

# Number of different jobs whose consecutive failures make a worker faulty;
# each further job doubles its quarantine.
_FAULTY_WORKER_JOBS: t.Final = 3
_MIN_QUARANTINE_MS: t.Final = 1500
_MAX_QUARANTINE_MS: t.Final = 12000
# A job that has failed on this many workers, without any task done, is faulty
# itself. A healthy job soon has a task done, and its failures count again.
_FAULTY_JOB_WORKERS: t.Final = 2


def record_outcome(worker: Worker, ended: EndedRun, context: Context) -> None:
    """Update a worker's failures with an ended run; quarantine if faulty."""
    if ended.outcome is RunOutcome.DONE:
        worker.failed_jobs.clear()
        worker.has_good_end = True
        return
    if ended.outcome is not RunOutcome.FAILED:
        return
    state = context.state
    worker.failed_jobs.add(ended.key.job_id)
    job = state.jobs.get(ended.key.job_id)
    if job is not None:
        job.failed_on.add(worker.worker_id)
    doublings = _count_relevant_jobs(worker, state) - _FAULTY_WORKER_JOBS
    if doublings < 0:
        return
    quarantine_ms = min(_MIN_QUARANTINE_MS << doublings, _MAX_QUARANTINE_MS)
    worker.quarantined_until_ms = state.now_ms + quarantine_ms
    state.count('quarantines')
    context.log(
        'worker quarantined',
        worker=worker.worker_id,
        failed_jobs=len(worker.failed_jobs),
        pause_ms=quarantine_ms,
    )


def _count_relevant_jobs(worker: Worker, state: SchedulerState) -> int:
    """Return how many failed jobs of a worker don't fail on every worker."""
    return sum(
        not _fails_everywhere(job_id, state) for job_id in worker.failed_jobs
    )


def _fails_everywhere(job_id: str, state: SchedulerState) -> bool:
    job = state.jobs.get(job_id)
    if job is None or len(job.failed_on) < _FAULTY_JOB_WORKERS:
        return False
    return not _occurrences.has_done_task(job)
