"""Moves jobs out of units where nothing may be started.

Short tasks don't leave the home unit of their job. If all workers of a unit
are evacuated, its waiting jobs move as a whole, once none of their tasks has a
run left: the unit first makes durable that it will not start the job again,
and only then writes it to its next home.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _evacuation,
    _lifecycle,
    _ready_queues,
    _unconfirmed_runs,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import MoveJob
from tulippin.jobs.records import JobRecord, MovedJobRecord, UnitCapacity
from tulippin.jobs.state import RUNS_PER_EPOCH, Job, SchedulerState
from tulippin.jobs.types import FINAL_STATES, Step

_CHECK_INTERVAL_MS: t.Final = 100
# Each takes a transaction of its own.
_MAX_MOVES_PER_CHECK: t.Final = 10


def tick(context: Context) -> None:
    """Move waiting jobs to other units if this one is evacuated."""
    state = context.state
    is_due = state.now_ms - state.moves_checked_ms >= _CHECK_INTERVAL_MS
    if not (context.may_send_orders and is_due and state.evacuations):
        return
    state.moves_checked_ms = state.now_ms
    if not _evacuation.is_unit_closed(state):
        return
    budget = _MAX_MOVES_PER_CHECK
    for job in _list_movable(state):
        unit = _choose_unit(job, state)
        if unit is None:
            continue
        _move(job, unit, context)
        budget -= 1
        if not budget:
            return


def _list_movable(state: SchedulerState) -> list[Job]:
    """Return the jobs with waiting tasks and no runs, in order of arrival."""
    job_ids = {
        step_key[0]
        for queue in (state.ready, state.ready_opportunistic)
        for step_key in queue
    }
    jobs = [state.jobs[job_id] for job_id in job_ids]
    return sorted(
        (job for job in jobs if _is_movable(job, state)),
        key=lambda job: (job.arrived_ms, job.job_id),
    )


def _is_movable(job: Job, state: SchedulerState) -> bool:
    """Whether a job can leave the unit now.

    Long-running tasks are transferred one by one instead.
    """
    if job.is_transferred or job.is_cancelled or job.state in FINAL_STATES:
        return False
    if job.awaits_confirmation or _lifecycle.has_long_running(job):
        return False
    return not any(
        task.attempts or _unconfirmed_runs.has_unconfirmed_run(task, state)
        for task in job.tasks.values()
    )


def _choose_unit(job: Job, state: SchedulerState) -> int | None:
    """Return the least loaded unit that can run a job, if there is one."""
    steps = job.request.steps
    fitting = [
        (_get_load(room), number)
        for number, room in state.unit_capacities.items()
        if number not in state.closed_units
        and number not in job.left_units
        and room.capacity_millicores
        and all(_has_label(room, step) for step in steps)
    ]
    return min(fitting)[1] if fitting else None


def _has_label(room: UnitCapacity, step: Step) -> bool:
    return not step.required_label or step.required_label in room.labels


def _get_load(room: UnitCapacity) -> float:
    """Return the demand on a unit as a share of its processors."""
    demand = room.reserved_millicores + room.idle_millicores
    return demand / room.capacity_millicores


def _move(job: Job, unit: int, context: Context) -> None:
    """Give a job up for another unit, which gets it once that is durable."""
    state = context.state
    job.moved_to = unit
    job.finished_ms = state.now_ms
    for key in job.tasks:
        _ready_queues.remove(key, job.request.steps[key.step], state)
    _lifecycle.mark_dirty(job, state)
    room = state.unit_capacities[unit]
    demand = max(
        step.task_count * step.size.cpu_millicores for step in job.request.steps
    )
    # Counts the job until the next row of the unit does.
    state.unit_capacities[unit] = attrs.evolve(
        room, idle_millicores=room.idle_millicores + demand
    )
    state.count('jobs_moved')
    context.log(
        'move job',
        job=job.job_id,
        to_unit=unit,
        age_ms=state.now_ms - job.arrived_ms,
        remaining=sum(job.remaining.values()),
    )


def send(job: Job, context: Context) -> None:
    """Write a job to its next home, once its move is durable."""
    progress = job.durable
    if progress is None or progress.moved_to is None:
        return
    state = context.state
    checkpoints = {
        _lifecycle.get_name(key): task.checkpoint
        for key, task in job.tasks.items()
        if task.checkpoint and not task.is_done
    }
    # Run numbers grow with the epoch, so those of the next epoch are higher
    # than all run numbers of this unit.
    run_floor = job.run_floor + (context.fencing_token + 1) * RUNS_PER_EPOCH
    record = JobRecord(
        job.queue,
        job.request,
        _get_accepted_ms(job, state),
        MovedJobRecord(
            attrs.evolve(progress, moved_to=None, started={}),
            run_floor,
            (*job.left_units, state.config.unit.number),
            checkpoints,
        ),
    )
    context.emit(MoveJob(job.job_id, progress.moved_to, record))


def _get_accepted_ms(job: Job, state: SchedulerState) -> int:
    """Return the time of day at which a job was accepted."""
    return job.arrived_ms + state.wall_offset_ms
