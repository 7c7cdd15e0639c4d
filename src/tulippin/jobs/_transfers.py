"""Transfers waiting long-running tasks to other units.

A task belongs to one unit at any time: its unit first makes durable that it
will not start the task again, and only then notifies the other one. The
transfers of a task are numbered, so that a row read late or twice has no
effect.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _crashes,
    _lifecycle,
    _ready_queues,
    _rebalancing,
    _unconfirmed_runs,
    _unit_capacity,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PassTasks
from tulippin.jobs.events import RoomsSeen
from tulippin.jobs.records import CrashRecord, GuestRecord, UnitCapacity
from tulippin.jobs.state import (
    RUNS_PER_EPOCH,
    Job,
    SchedulerState,
    Task,
    TransferredTask,
)
from tulippin.jobs.types import Step, TaskKey, parse_task_key

# A task is transferred after waiting for this long: a worker that ends a run
# or joins is known within a second.
_TRANSFER_DELAY_MS: t.Final = 700
_TRANSFER_INTERVAL_MS: t.Final = 200
# Units publish their capacity only twice a second, so transfers are limited.
_MAX_TRANSFERS_PER_TICK: t.Final = 12
# Units with a higher load receive no transfers: their free capacity is
# fragmented, and urgent tasks need some of it.
_MAX_TARGET_LOAD: t.Final = 0.97
# A task that ran before ignores that limit after waiting for this long:
# waiting short tasks make every unit appear full, and some tasks found no unit
# for 6 s although there was free capacity.
_LATE_AFTER_MS: t.Final = 2000


@handle.register
def _update_rooms(event: RoomsSeen, context: Context) -> None:
    """Replace the known capacities of the other units."""
    context.state.unit_capacities = dict(event.unit_capacities)


def tick(context: Context) -> None:
    """Transfer long-running tasks that wait while other units have capacity."""
    state = context.state
    is_due = state.now_ms - state.transfers_checked_ms >= _TRANSFER_INTERVAL_MS
    if not (
        context.may_send_orders
        and is_due
        and state.unit_capacities
        and state.ready
    ):
        return
    state.transfers_checked_ms = state.now_ms
    _rebalance(context)
    budget = _MAX_TRANSFERS_PER_TICK
    refused_groups: set[tuple[_ready_queues.StepKey, bool, bool]] = set()
    for job, step, task in _list_waiting(state):
        # If no unit fits a task, none fits others with the same properties.
        task_group = (
            _ready_queues.get_step_key(task.key),
            _ready_queues.ran_before(job, task),
            _is_late(job, task, state),
        )
        if task_group in refused_groups or task.attempts:
            continue
        if not _crashes.may_start(job, task, state):
            continue
        if not _try_transfer(job, step, task, context):
            refused_groups.add(task_group)
            continue
        budget -= 1
        if not budget:
            return


def _list_waiting(state: SchedulerState) -> list[tuple[Job, Step, Task]]:
    """Return the long-running tasks that have waited for too long."""
    # Steps held back for rebalancing are transferred as a whole.
    held_steps = _rebalancing.list_held_steps(state)
    limit_ms = state.now_ms - _TRANSFER_DELAY_MS
    found = []
    for step_key, tasks in state.ready.items():
        job = state.jobs[step_key[0]]
        step = job.request.steps[step_key[2]]
        if step_key not in held_steps and _may_transfer(job, step, state):
            found.extend(
                (job, step, task)
                for task in tasks.values()
                if task.ready_ms <= limit_ms
            )
    return found


def _rebalance(context: Context) -> None:
    """Transfer new steps to emptier units if this one is above the mean."""
    state = context.state
    for step_key, unit in _rebalancing.choose_units(state).items():
        job = state.jobs[step_key[0]]
        step = job.request.steps[step_key[2]]
        for task in list(state.ready[step_key].values()):
            _transfer(job, step, task, unit, context)


def _may_transfer(job: Job, step: Step, state: SchedulerState) -> bool:
    """Whether the tasks of a step may be transferred."""
    if not step.long_running or step.gang:
        return False
    return not _unconfirmed_runs.must_await_workers(job, step)


def _try_transfer(job: Job, step: Step, task: Task, context: Context) -> bool:
    """Transfer a task if a unit fits it; return whether one did."""
    state = context.state
    ran_before = _ready_queues.ran_before(job, task)
    is_late = _is_late(job, task, state)
    unit = _choose_unit(
        step,
        job.queue.service,
        state,
        is_late=is_late,
        is_new=not ran_before,
    )
    if unit is None:
        return False
    _transfer(job, step, task, unit, context)
    if is_late:
        # Counts the capacity as used until the next row of the unit.
        room = state.unit_capacities[unit]
        largest_free = room.largest_free.subtract(step.reserved)
        state.unit_capacities[unit] = attrs.evolve(
            room, largest_free=largest_free
        )
    return True


def _is_late(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task that ran before has waited for long."""
    waited_ms = state.now_ms - task.ready_ms
    return waited_ms >= _LATE_AFTER_MS and _ready_queues.ran_before(job, task)


def _transfer(
    job: Job, step: Step, task: Task, unit: int, context: Context
) -> None:
    """Assign a task to another unit; it is notified once that is durable."""
    state = context.state
    transfer_number = (
        max(job.passes.get(task.key, 0), _get_last_transfer(job, task.key)) + 1
    )
    # Run numbers grow with the epoch, so those of the next epoch are higher
    # than all run numbers of this unit.
    run_floor = task.run_floor + (context.fencing_token + 1) * RUNS_PER_EPOCH
    job.passed[task.key] = TransferredTask(unit, transfer_number, run_floor)
    _ready_queues.remove(task.key, step, state)
    if not _lifecycle.is_assigned_here(job, _lifecycle.get_counted_task(job)):
        # From here on the other unit reports whether the job has begun.
        _lifecycle.mark_running(job, state)
    _lifecycle.mark_dirty(job, state)
    capacity = state.unit_capacities[unit]
    reserved = capacity.reserved_millicores + step.size.cpu_millicores
    state.unit_capacities[unit] = attrs.evolve(
        capacity, reserved_millicores=reserved
    )
    state.count('tasks_passed')
    context.log(
        'pass task',
        task=task.key.format(),
        to_unit=unit,
        pass_number=transfer_number,
        waited_ms=state.now_ms - task.ready_ms,
        reserved_there=reserved,
        capacity_there=capacity.capacity_millicores,
    )


def _has_run(job: Job, name: str) -> bool:
    """Whether a task, by its name within the job, ran before."""
    key = parse_task_key(f'{job.job_id}.{name}')
    return _ready_queues.ran_before(job, _lifecycle.get_task(job, key))


def _list_crashes(
    job: Job, names: t.Iterable[str]
) -> dict[str, tuple[CrashRecord, ...]]:
    """Return the crash records of tasks, for the unit that receives them."""
    found = {}
    for name in names:
        task = job.tasks.get(parse_task_key(f'{job.job_id}.{name}'))
        if task is not None and task.crashes:
            found[name] = task.list_crashes()
    return found


def _get_last_transfer(job: Job, key: TaskKey) -> int:
    """Return the number of a task's last transfer from here, or 0."""
    passed = job.passed.get(key)
    return passed.transfer_number if passed else 0


def has_unit_for(step: Step, service: str, state: SchedulerState) -> bool:
    """Whether another unit has capacity for a step's task now."""
    return _choose_unit(step, service, state) is not None


def _choose_unit(
    step: Step,
    service: str,
    state: SchedulerState,
    *,
    is_late: bool = False,
    is_new: bool = False,
) -> int | None:
    """Return the unit with the lowest load that fits a task, or None.

    A late task ignores the load limit: what waits in an overloaded unit are
    short tasks, which are placed after it.
    """
    fitting = [
        (_get_load(room), number)
        for number, room in state.unit_capacities.items()
        if _unit_capacity.fits_in_unit(room, step, service, is_new=is_new)
        and (is_late or _accepts_transfers(room))
    ]
    return min(fitting)[1] if fitting else None


def _accepts_transfers(room: UnitCapacity) -> bool:
    """Whether the load of a unit is low enough for transfers."""
    return _get_load(room) < _MAX_TARGET_LOAD


def _get_load(room: UnitCapacity) -> float:
    """Return the reserved share of a unit's processors."""
    return room.reserved_millicores / max(1, room.capacity_millicores)


def send(job: Job, context: Context) -> None:
    """Notify other units of tasks whose transfer to them is durable."""
    if job.durable is None or not job.durable.passed:
        return
    by_unit: dict[int, dict[str, tuple[int, int]]] = {}
    for name, (unit, number, run_floor) in job.durable.passed.items():
        by_unit.setdefault(unit, {})[name] = number, run_floor
    for unit, tasks in by_unit.items():
        record = GuestRecord(
            job.accepted_queue,
            job.request,
            {name: number for name, (number, _) in tasks.items()},
            {name: run for name, (_, run) in tasks.items()},
            tuple(name for name in tasks if _has_run(job, name)),
            _list_crashes(job, tasks),
        )
        context.emit(PassTasks(job.job_id, unit, record))
