"""Moves jobs out of units where they would wait.

Short tasks don't leave the home unit of their job. A job whose tasks wait moves
as a whole, once none of them has a run left: the unit first makes durable that
it will not start the job again, and only then writes it to its next home.

Four cases call for it. If all workers of a unit are evacuated, nothing may be
started there. If a unit has lost the workers that could run a job, it would
wait until they are back. If long-running work has filled a unit, tasks that
reserve processors wait there for good, also beside a unit that is idle. And
opportunistic tasks wait beside idle processors if their image disturbs what the
unit's workers serve, while another unit serves images that tolerate it.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _evacuation,
    _lifecycle,
    _occurrences,
    _ownership,
    _ready_queues,
    _stranded_work,
    _unconfirmed_runs,
    _unit_capacity,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import MoveJob
from tulippin.jobs.records import JobRecord, MovedJobRecord, UnitCapacity
from tulippin.jobs.state import RUNS_PER_EPOCH, Job, SchedulerState, Worker
from tulippin.jobs.types import FINAL_STATES, Step

_CHECK_INTERVAL_MS: t.Final = 100
_STRANDED_INTERVAL_MS: t.Final = 200
# Each takes a transaction of its own.
_MAX_MOVES_PER_CHECK: t.Final = 10
# Units publish their waiting demand only twice a second, so that moves to a
# unit with less of it are limited.
_MAX_LATE_MOVES_PER_CHECK: t.Final = 2
# A waiting task has been refused by all workers of its unit after this time.
_LATE_AFTER_MS: t.Final = 1000
# The units that an opportunistic job may leave because it waits there.
_MAX_LATE_MOVES: t.Final = 2
# A job that has moved waits up to this many times longer before it moves again.
_MAX_LATE_FACTOR: t.Final = 3
# A job moves if its images have this many times less waiting demand elsewhere.
_MIN_DEMAND_RATIO: t.Final = 2


def tick(context: Context) -> None:
    """Move waiting jobs to units where they don't have to wait."""
    state = context.state
    is_due = state.now_ms - state.moves_checked_ms >= _CHECK_INTERVAL_MS
    if not (context.may_send_orders and is_due and state.unit_capacities):
        return
    state.moves_checked_ms = state.now_ms
    if _evacuation.is_unit_closed(state):
        _leave_closed_unit(context)
    else:
        _move_stranded_jobs(context)
        _move_late_jobs(context)


def _leave_closed_unit(context: Context) -> None:
    """Move the jobs that wait in a unit where nothing may be started."""
    state = context.state
    job_ids = {
        step_key[0]
        for queue in (state.ready, state.ready_opportunistic)
        for step_key in queue
    }
    _move_some(
        _list_movable(job_ids, state),
        lambda job: _choose_unit(job, state),
        _MAX_MOVES_PER_CHECK,
        'the unit is evacuated',
        context,
    )


def _move_stranded_jobs(context: Context) -> None:
    """Move jobs that wait for workers that the unit has lost, urgent first.

    Workers don't count as lost while the store can't be reached: their entries
    are out of date, and no move becomes durable.
    """
    state = context.state
    is_due = state.now_ms - state.stranded_checked_ms >= _STRANDED_INTERVAL_MS
    if not is_due:
        return
    state.stranded_checked_ms = state.now_ms
    _stranded_work.note_workers(state)
    if _ownership.is_unconfirmed(state):
        return
    jobs = _list_movable(_stranded_work.list_jobs(state), state)
    jobs.sort(key=lambda job: job.queue.priority)
    _move_some(
        jobs,
        lambda job: _choose_unit_with_place(job, state),
        _MAX_MOVES_PER_CHECK,
        'no worker here could run it',
        context,
    )
    _move_jobs_without_place(context)


def _move_jobs_without_place(context: Context) -> None:
    """Move jobs whose tasks find no place here but have one elsewhere."""
    state = context.state
    if not any(room.short_places for room in state.unit_capacities.values()):
        return
    waiting = _list_without_place(state)
    jobs = sorted(
        (state.jobs[job_id] for job_id in waiting),
        key=lambda job: (job.queue.priority, job.arrived_ms, job.job_id),
    )
    _move_some(
        jobs,
        lambda job: _choose_place(job, waiting[job.job_id], state),
        _MAX_LATE_MOVES_PER_CHECK,
        'it finds no place here',
        context,
    )


def _list_without_place(state: SchedulerState) -> dict[str, list[Step]]:
    """Return by job the steps with tasks that have waited for a place.

    Steps that are long-running are transferred task by task, unless they belong
    to a gang.
    """
    found: dict[str, list[Step]] = {}
    for step_key, tasks in state.ready.items():
        job = state.jobs[step_key[0]]
        step = job.request.steps[step_key[2]]
        if step.long_running and not step.gang:
            continue
        factor = min(1 + len(job.left_units), _MAX_LATE_FACTOR)
        waited_ms = state.now_ms - next(iter(tasks.values())).ready_ms
        if waited_ms >= factor * _LATE_AFTER_MS:
            found.setdefault(job.job_id, []).append(step)
    return found


def _choose_place(
    job: Job, waiting: t.Sequence[Step], state: SchedulerState
) -> int | None:
    """Return the unit with a place for all waiting steps of a job, or None.

    A unit that the job has left is chosen only if there is no other. Whether
    the job can move is checked last, as it takes a look at each worker.
    """
    fitting = [
        (
            number in job.left_units,
            not all(room.largest_free.fits(step.reserved) for step in waiting),
            _get_load(room),
            number,
        )
        for number, room in state.unit_capacities.items()
        if _accepts(number, room, job, state)
        and all(_fits_now(room, step) for step in waiting)
    ]
    if not fitting or not _is_movable(job, state):
        return None
    return min(fitting)[-1]


def _move_late_jobs(context: Context) -> None:
    """Move late jobs of opportunistic tasks where less of them waits."""
    state = context.state
    late = _find_late(state)
    if not late:
        return
    waiting = _unit_capacity.sum_opportunistic_waiting(state)
    _move_some(
        _list_movable(late, state),
        lambda job: _choose_less_waiting(job, late[job.job_id], waiting, state),
        _MAX_LATE_MOVES_PER_CHECK,
        'less of its demand waits there',
        context,
    )


def _move_some(
    jobs: t.Iterable[Job],
    choose: t.Callable[[Job], int | None],
    budget: int,
    why: str,
    context: Context,
) -> None:
    """Move the first jobs that a unit is found for, up to a number of them."""
    for job in jobs:
        unit = choose(job)
        if unit is None:
            continue
        _move(job, unit, why, context)
        budget -= 1
        if not budget:
            return


def _find_late(state: SchedulerState) -> dict[str, dict[str, int]]:
    """Return the late opportunistic demand by job and image, in millicores."""
    limit_ms = state.now_ms - _LATE_AFTER_MS
    late: dict[str, dict[str, int]] = {}
    for step_key, tasks in state.ready_opportunistic.items():
        job = state.jobs[step_key[0]]
        first = next(iter(tasks.values()))
        if first.ready_ms > limit_ms or len(job.left_units) >= _MAX_LATE_MOVES:
            continue
        step = job.request.steps[step_key[2]]
        demand = late.setdefault(job.job_id, {})
        asked = len(tasks) * step.size.cpu_millicores
        demand[step.image] = demand.get(step.image, 0) + asked
    return late


def _list_movable(job_ids: t.Iterable[str], state: SchedulerState) -> list[Job]:
    """Return those of some jobs that have no runs, in order of arrival."""
    jobs = [state.jobs[job_id] for job_id in job_ids]
    return sorted(
        (job for job in jobs if _is_movable(job, state)),
        key=lambda job: (job.arrived_ms, job.job_id),
    )


def _is_movable(job: Job, state: SchedulerState) -> bool:
    """Whether a job can leave the unit now.

    A job with long-running tasks in other units stays, as these name this unit
    as its home.
    """
    if job.is_transferred or job.is_cancelled or job.state in FINAL_STATES:
        return False
    if job.awaits_confirmation or job.passed or job.passes:
        return False
    if not _has_waiting_step(job, state):
        return False
    if any(
        _may_hold_unread_end(worker, job, state)
        for worker in state.workers.values()
    ):
        return False
    return not any(
        task.attempts or _unconfirmed_runs.has_unconfirmed_run(task, state)
        for task in job.tasks.values()
    )


def _has_waiting_step(job: Job, state: SchedulerState) -> bool:
    """Whether tasks of a job wait that can't be transferred one by one."""
    occurrences = range(job.completed_count, max(1, job.begun_count))
    step_keys = (
        (job.job_id, occurrence, number)
        for number, step in enumerate(job.request.steps)
        if step.gang or not step.long_running
        for occurrence in occurrences
    )
    return any(
        step_key in state.ready or step_key in state.ready_opportunistic
        for step_key in step_keys
    )


def _may_hold_unread_end(
    worker: Worker, job: Job, state: SchedulerState
) -> bool:
    """Whether a silent worker may hold the end of a run of a job.

    Ends count for the unit that reads them: a task that was done there would
    be started again by the next home of its job.
    """
    if worker.is_superseded:
        return False
    if job.job_id in worker.unread_job_ids:
        return True
    if worker.is_reconciled or not worker.is_rostered:
        return False
    if job.row_version > state.ownership.epoch_version:
        return False
    return worker.may_run_any_task or any(
        worker.worker_id in task.reported_workers for task in job.tasks.values()
    )


def _choose_unit(job: Job, state: SchedulerState) -> int | None:
    """Return the least loaded unit that can run a job, if there is one.

    A unit that the job has left is chosen only if there is no other.
    """
    fitting = [
        (number in job.left_units, _get_load(room), number)
        for number, room in state.unit_capacities.items()
        if _accepts(number, room, job, state)
    ]
    return min(fitting)[-1] if fitting else None


def _choose_unit_with_place(job: Job, state: SchedulerState) -> int | None:
    """Return the least loaded unit that can run a job, best one with a place.

    Where no unit has a place, the job waits in one that will have. A unit that
    the job has left is chosen only if there is no other.
    """
    fitting = [
        (
            number in job.left_units,
            not _has_place(room, job),
            _get_load(room),
            number,
        )
        for number, room in state.unit_capacities.items()
        if _accepts(number, room, job, state)
    ]
    return min(fitting)[-1] if fitting else None


def _has_place(room: UnitCapacity, job: Job) -> bool:
    """Whether each step of a job finds a place in a unit now."""
    return all(_fits_now(room, step) for step in _list_open_steps(job))


def _fits_now(room: UnitCapacity, step: Step) -> bool:
    """Whether a task of a step, or the whole gang, fits in a unit now."""
    if step.opportunistic:
        return _get_idle(room) > 0
    wanted_count = step.task_count if step.gang else 1
    fit_count = _unit_capacity.count_fitting(
        room, step.size.cpu_millicores, is_short=not step.long_running
    )
    return fit_count >= wanted_count


def _choose_less_waiting(
    job: Job,
    demand: t.Mapping[str, int],
    waiting: t.Mapping[str, int],
    state: SchedulerState,
) -> int | None:
    """Return the unit where least waits of a job's images, or None.

    It has to have idle processors for the job, and far less waiting demand for
    these images than this unit: such demand is what its workers refuse.
    """
    asked = sum(demand.values())
    own = _sum_waiting(waiting, demand)
    found = []
    for number, room in state.unit_capacities.items():
        there = _sum_waiting(room.waiting_millicores, demand)
        is_less = _MIN_DEMAND_RATIO * there + asked <= own
        if number in job.left_units:
            continue
        idle = _get_idle(room)
        if is_less and idle >= asked and _accepts(number, room, job, state):
            found.append((there, -idle, number))
    return min(found)[-1] if found else None


def _sum_waiting(waiting: t.Mapping[str, int], images: t.Iterable[str]) -> int:
    return sum(waiting.get(image, 0) for image in images)


def _get_idle(room: UnitCapacity) -> float:
    """Return the processors that no opportunistic task of a unit asks for."""
    reserved = _unit_capacity.IDLE_SHARE * room.reserved_millicores
    return room.capacity_millicores - reserved - room.idle_millicores


def _accepts(
    number: int, room: UnitCapacity, job: Job, state: SchedulerState
) -> bool:
    """Whether a job may move to a unit."""
    if number in state.closed_units:
        return False
    return _unit_capacity.can_run_steps(
        room, _list_open_steps(job), job.queue.service
    )


def _list_open_steps(job: Job) -> list[Step]:
    """Return the steps of a job with tasks that are not done."""
    numbers = _occurrences.list_open_steps(job)
    return [job.request.steps[number] for number in numbers]


def _get_load(room: UnitCapacity) -> float:
    """Return the demand on a unit as a share of its processors."""
    demand = room.reserved_millicores + room.idle_millicores
    return demand / room.capacity_millicores


def _move(job: Job, unit: int, why: str, context: Context) -> None:
    """Give a job up for another unit, which gets it once that is durable."""
    state = context.state
    job.moved_to = unit
    job.finished_ms = state.now_ms
    for key in job.tasks:
        _ready_queues.remove(key, job.request.steps[key.step], state)
    _lifecycle.mark_dirty(job, state)
    # Counts the job until the next row of the unit does.
    state.unit_capacities[unit] = _unit_capacity.add_job(
        state.unit_capacities[unit], job.request
    )
    state.count('jobs_moved')
    context.log(
        'move job',
        job=job.job_id,
        to_unit=unit,
        why=why,
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
        job.accepted_queue,
        job.request,
        job.arrived_ms + state.wall_offset_ms,
        MovedJobRecord(
            attrs.evolve(progress, moved_to=None, started={}),
            run_floor,
            tuple(dict.fromkeys((*job.left_units, state.config.unit.number))),
            checkpoints,
        ),
    )
    context.emit(
        MoveJob(job.job_id, progress.moved_to, record, job.row_version)
    )
