"""Telling a worker that is at fault from jobs that can never be done.

Runs of many jobs that fail in a row on one worker mean that it is at
fault, and it gets no work for a while. A job that fails wherever it runs
says nothing of the workers: beside 16 such jobs three sound workers were
closed for up to 12 s at a time, and a sound job waited for 35 s.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import SchedulerState, Worker
from tulippin.jobs.types import EndedRun, RunOutcome

# So many different jobs failing in a row on a worker mean that the worker
# itself is at fault; each further one doubles its quarantine.
_FAULTY_JOBS: t.Final = 3
_QUARANTINE_MS: t.Final = 1500
_QUARANTINE_LIMIT_MS: t.Final = 12000
# A job that has failed on so many workers, and of which no task has ever
# been done, is at fault itself. Of a sound job some other task is soon done,
# and then its failures count again.
_FAULTY_WORKERS: t.Final = 2


def judge(worker: Worker, ended: EndedRun, context: Context) -> None:
    """Tell a faulty worker by failures in a row of different jobs."""
    if ended.outcome is RunOutcome.DONE:
        worker.failed_jobs.clear()
        return
    if ended.outcome is not RunOutcome.FAILED:
        return
    state = context.state
    worker.failed_jobs.add(ended.key.job_id)
    job = state.jobs.get(ended.key.job_id)
    if job is not None:
        job.failed_on.add(worker.worker_id)
    excess = _count_sound(worker, state) - _FAULTY_JOBS
    if excess < 0:
        return
    pause_ms = min(_QUARANTINE_MS << excess, _QUARANTINE_LIMIT_MS)
    worker.quarantined_until_ms = state.now_ms + pause_ms
    state.count('quarantines')
    context.log(
        'worker quarantined',
        worker=worker.worker_id,
        failed_jobs=len(worker.failed_jobs),
        pause_ms=pause_ms,
    )


def _count_sound(worker: Worker, state: SchedulerState) -> int:
    """Return how many jobs have failed there that do not everywhere."""
    return sum(
        not _fails_everywhere(job_id, state) for job_id in worker.failed_jobs
    )


def _fails_everywhere(job_id: str, state: SchedulerState) -> bool:
    job = state.jobs.get(job_id)
    if job is None or len(job.failed_on) < _FAULTY_WORKERS:
        return False
    return not any(task.is_done for task in job.tasks.values())
