"""Starts that an earlier owner may have made without a record.

No row records the starts that an earlier owner made just before it ended or
while the store accepted no writes. If a worker was lost since, each waiting
short task without a record may have run there, and may have crashed it. A
worker that only did not answer in time has not crashed: its report settles
every start that was sent to it.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _crashes, _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, LostStarts, SchedulerState, Worker


def count_lost_starts(jobs: t.Iterable[Job], state: SchedulerState) -> None:
    """Count a possible lost start for jobs that may have crashed a worker.

    Parameters
    ----------
    jobs : iterable of Job
        The jobs that have waited for workers with unconfirmed runs.
    state : SchedulerState
        The state of the unit.
    """
    job_ids = {job.job_id for job in jobs}
    is_any_gone = _is_any_gone(state)
    silent_ids = _list_silent(state)
    if not (job_ids and (is_any_gone or silent_ids)):
        return
    affected_ids = {
        step_key[0]: None
        for queue in (state.ready, state.ready_opportunistic)
        for step_key, tasks in queue.items()
        if step_key[0] in job_ids
        and any(
            _crashes.may_have_lost_start(state.jobs[step_key[0]], task, state)
            for task in tasks.values()
        )
    }
    for job_id in affected_ids:
        job = state.jobs[job_id]
        job.doubts += 1
        _lifecycle.mark_dirty(job, state)
    if not is_any_gone:
        state.lost_starts = LostStarts(silent_ids, tuple(affected_ids))


def _is_any_gone(state: SchedulerState) -> bool:
    """Whether a worker that might run any task has crashed or was removed."""
    for worker_id in state.lost_unconfirmed_workers:
        worker = state.workers.get(worker_id)
        if worker is None or worker.may_run_any_task:
            return True
    return False


def _list_silent(state: SchedulerState) -> set[str]:
    """Return the workers that might run any task and have lapsed."""
    return {
        worker.worker_id
        for worker in state.workers.values()
        if worker.may_run_any_task and not worker.is_reconciled
    }


def note_return(worker: Worker, context: Context) -> None:
    """Apply the first report of a worker that had lapsed.

    Once all of them have reported, no start was lost with its worker.
    """
    state = context.state
    lost_starts = state.lost_starts
    if lost_starts is None or worker.worker_id not in lost_starts.worker_ids:
        return
    lost_starts.worker_ids.discard(worker.worker_id)
    if lost_starts.worker_ids:
        return
    state.lost_starts = None
    for job_id in lost_starts.job_ids:
        job = state.jobs.get(job_id)
        if job is not None:
            job.doubts -= 1
            _lifecycle.mark_dirty(job, state)
    context.log(
        'no start was lost',
        worker=worker.worker_id,
        jobs=len(lost_starts.job_ids),
    )


def note_loss(worker: Worker, state: SchedulerState) -> None:
    """Keep the count: a worker that had lapsed has crashed or was removed."""
    lost_starts = state.lost_starts
    if lost_starts and worker.worker_id in lost_starts.worker_ids:
        state.lost_starts = None
