"""Abandoning jobs whose tasks crash their workers.

Confirms suspected crashes and fails jobs with too many confirmed ones. The
scheduler core calls ``tick`` at each tick.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _attempts, _crashes, _lifecycle
from tulippin.jobs._dispatch import Context
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.state import Job, SchedulerState, Task
from tulippin.jobs.types import FINAL_STATES, Incarnation, JobState

# A worker that stays silent, and whose next incarnation isn't seen, counts as
# crashed after this time. Workers usually restart within seconds, and the
# crash is withdrawn if the worker answers again.
_MAX_SILENCE_MS: t.Final = 15_000
# Interval between two checks of suspected tasks.
_CHECK_INTERVAL_MS: t.Final = 200


def tick(context: Context) -> None:
    """Confirm suspected crashes, and abandon jobs with too many crashes."""
    state = context.state
    is_due = state.now_ms - state.crashes_checked_ms >= _CHECK_INTERVAL_MS
    if not (is_due and state.suspects and context.may_send_orders):
        return
    state.crashes_checked_ms = state.now_ms
    for job, task in _crashes.list_suspects(state):
        _confirm_crashes(job, task, context)
        confirmed = [crash for crash in task.list_crashes() if crash.is_sure]
        is_reached = _crashes.is_crash_limit_reached(job, task, confirmed)
        if is_reached and job.state not in FINAL_STATES:
            _abandon(job, task, context)


def _confirm_crashes(job: Job, task: Task, context: Context) -> None:
    """Confirm crashes of workers that were replaced or stayed silent."""
    state = context.state
    for record in list(task.crashes.values()):
        # Clocks differ between instances: a record from a clock far ahead
        # must not stay unconfirmed.
        waited_ms = abs(_crashes.get_wall_ms(state) - record.noted_ms)
        is_expired = waited_ms >= _MAX_SILENCE_MS
        if not record.is_sure and (
            is_expired or _is_worker_replaced(record, state)
        ):
            task.crashes[record.incarnation] = attrs.evolve(
                record, is_sure=True
            )
            _lifecycle.mark_dirty(job, state)


def _is_worker_replaced(record: CrashRecord, state: SchedulerState) -> bool:
    """Whether another incarnation of the crashed worker has answered."""
    return any(
        worker.answered_ms
        and not worker.is_superseded
        and _is_other_incarnation(worker.incarnation, record.incarnation)
        and (
            worker.entry.address == record.address
            or (record.machine and worker.entry.machine == record.machine)
        )
        for worker in state.workers.values()
    )


def _is_other_incarnation(one: Incarnation, other: Incarnation) -> bool:
    """Whether two incarnations differ for certain."""
    if one.worker_id != other.worker_id:
        return True
    are_known = one.born_ms > 0 and other.born_ms > 0
    return are_known and one.born_ms != other.born_ms


def _abandon(job: Job, task: Task, context: Context) -> None:
    """Fail a job with a task that crashes its workers."""
    records = task.list_crashes()
    workers = ', '.join(crash.worker_id for crash in records)
    name = task.key.format()
    context.state.count('jobs_given_up')
    context.log(
        'job given up',
        job=job.job_id,
        task=name,
        workers=[crash.worker_id for crash in records],
        runs=[crash.run for crash in records],
        ages_ms=[crash.age_ms for crash in records],
        noted_ms=[crash.noted_ms for crash in records],
    )
    fail(job, f'workers crashed under {name}: {workers}', context)


def fail(job: Job, reason: str, context: Context) -> None:
    """Set a job to failed with a reason, and stop its runs."""
    if job.state in FINAL_STATES:
        return
    job.reason = reason
    _lifecycle.finish(job, JobState.FAILED, context)
    _attempts.stop_job(job, context, 'job has failed')
