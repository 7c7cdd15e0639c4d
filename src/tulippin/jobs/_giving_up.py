"""Giving up jobs whose tasks crash their workers, once that is sure."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _attempts, _crashes, _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.state import Job, SchedulerState, Task
from tulippin.jobs.types import FINAL_STATES, JobState

# A worker that stays silent, and no next life of which is seen, is taken for
# crashed after so long: the users' workers are back after some seconds, and
# one that answers again takes it back.
_SILENT_LIMIT_MS: t.Final = 15_000
# Between two looks at what is open.
_LOOK_EVERY_MS: t.Final = 200


def tick(context: Context) -> None:
    """Settle what is open of crashes, and give up jobs with too many."""
    state = context.state
    is_due = state.now_ms - state.crashes_looked_ms >= _LOOK_EVERY_MS
    if not (is_due and state.suspects and context.may_order):
        return
    state.crashes_looked_ms = state.now_ms
    for job, task in _crashes.list_suspects(state):
        _settle(job, task, context)
        known = [one for one in task.list_crashes() if one.is_sure]
        is_enough = _crashes.is_enough(job, task, known)
        if is_enough and job.state not in FINAL_STATES:
            _give_up(job, task, context)


def _settle(job: Job, task: Task, context: Context) -> None:
    """Take silent workers for crashed that have another life, or are gone."""
    state = context.state
    for record in list(task.crashes.values()):
        # Instances' clocks differ; one far ahead must not keep it open.
        waited_ms = abs(_crashes.get_wall_ms(state) - record.noted_ms)
        is_over = waited_ms >= _SILENT_LIMIT_MS
        if not record.is_sure and (is_over or _is_succeeded(record, state)):
            task.crashes[record.worker_id] = attrs.evolve(record, is_sure=True)
            _lifecycle.mark_dirty(job, state)


def _is_succeeded(record: CrashRecord, state: SchedulerState) -> bool:
    """Whether another life of the same machine has answered."""
    return any(
        worker.answered_ms
        and not worker.is_over
        and worker.worker_id != record.worker_id
        and (
            worker.entry.address == record.address
            or (record.machine and worker.entry.machine == record.machine)
        )
        for worker in state.workers.values()
    )


def _give_up(job: Job, task: Task, context: Context) -> None:
    """Fail a job, as each worker that starts its task crashes."""
    records = task.list_crashes()
    workers = ', '.join(one.worker_id for one in records)
    name = task.key.format()
    context.state.count('jobs_given_up')
    context.log(
        'job given up',
        job=job.job_id,
        task=name,
        workers=[one.worker_id for one in records],
        runs=[one.run for one in records],
        ages_ms=[one.age_ms for one in records],
        noted_ms=[one.noted_ms for one in records],
    )
    fail(job, f'workers crashed under {name}: {workers}', context)


def fail(job: Job, reason: str, context: Context) -> None:
    """Show a job as failed, say why in its row, and stop it."""
    if job.state in FINAL_STATES:
        return
    job.reason = reason
    _lifecycle.finish(job, JobState.FAILED, context)
    _attempts.stop_job(job, context, 'job has failed')
