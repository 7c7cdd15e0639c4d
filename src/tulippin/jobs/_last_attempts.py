"""Places the last attempt of a task on workers that have proved themselves.

A job fails with the last attempt of one of its tasks, whatever has been done of
it. A worker that has just failed the runs of other jobs, or of which no run has
ended yet, is more likely to fail this one as well.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Job, SchedulerState, Task, Worker

# How long a last attempt waits for such a worker. A run ends on each worker
# more often than that; a worker that stays idle never proves itself.
_MAX_WAIT_MS: t.Final = 500


def needs_proven_worker(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task may be started on proven workers only, for now.

    A task whose queue allows a single attempt has no earlier failure that
    would justify a wait. Long-running tasks are restarted without limit.
    """
    if not state.config.features.orders_by_progress:
        return False
    max_attempts = job.queue.max_attempts
    if max_attempts <= 1 or job.request.steps[task.key.step].long_running:
        return False
    is_last = len(task.failed_runs) >= max_attempts - 1
    return is_last and state.now_ms - task.ready_ms < _MAX_WAIT_MS


def is_proven(worker: Worker, job: Job) -> bool:
    """Whether the last ends of other jobs' runs on a worker were good."""
    return worker.has_good_end and not worker.failed_jobs - {job.job_id}
