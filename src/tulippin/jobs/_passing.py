"""Long-running tasks that find no room here, passed on to another unit.

A task is one unit's at any time: the unit that has it first makes durable
that it will not start it again, and only then tells the other one. Passes
of a task are numbered, so that a row read late or twice changes nothing.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _crashes,
    _evening,
    _lifecycle,
    _ready,
    _rooms,
    _unseen,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PassTasks
from tulippin.jobs.events import RoomsSeen
from tulippin.jobs.records import CrashRecord, GuestRecord, UnitRoom
from tulippin.jobs.state import (
    RUNS_PER_EPOCH,
    Job,
    PassedTask,
    SchedulerState,
    Task,
)
from tulippin.jobs.types import Step, TaskKey, parse_task

# A task that found no room for so long goes elsewhere: a worker that ends
# a run, or joins, is known within a second.
_WAIT_MS: t.Final = 700
_EVERY_MS: t.Final = 200
# The most tasks passed on in one go: rooms are told twice a second.
_TASKS_PER_PASS: t.Final = 12
# Units that are fuller than this are left alone: what is free there lies
# in pieces, and urgent tasks need some.
_FULLEST: t.Final = 0.97
# But for a task that has run and waited for so long: waiting short tasks make
# every unit look full, and some found no unit for 6 s beside free places.
_LATE_MS: t.Final = 2000


@handle.register
def _see_rooms(event: RoomsSeen, context: Context) -> None:
    context.state.rooms = dict(event.rooms)


def tick(context: Context) -> None:
    """Pass on long-running tasks that wait while others have room."""
    state = context.state
    is_due = state.now_ms - state.passing_ms >= _EVERY_MS
    if not (context.may_order and is_due and state.rooms and state.ready):
        return
    state.passing_ms = state.now_ms
    _even_out(context)
    budget = _TASKS_PER_PASS
    refused: set[tuple[_ready.StepKey, bool, bool]] = set()
    for job, step, task in _list_late(state):
        # Where no unit has a place for one task, none has for its like.
        alike = (
            _ready.get_step_key(task.key),
            _ready.is_back(job, task),
            _is_late(job, task, state),
        )
        if alike in refused or task.attempts:
            continue
        if not _crashes.may_start(job, task, state):
            continue
        if not _pass(job, step, task, context):
            refused.add(alike)
            continue
        budget -= 1
        if not budget:
            return


def _list_late(state: SchedulerState) -> list[tuple[Job, Step, Task]]:
    """Return the tasks that have waited for room too long."""
    # Those that are held back go where more is lacking.
    held = _evening.list_held(state)
    limit_ms = state.now_ms - _WAIT_MS
    found = []
    for kind, tasks in state.ready.items():
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        if kind not in held and _may_pass(job, step, state):
            found.extend(
                (job, step, task)
                for task in tasks.values()
                if task.ready_ms <= limit_ms
            )
    return found


def _even_out(context: Context) -> None:
    """Pass on new steps of which the unit has more than others."""
    state = context.state
    for kind, unit in _evening.choose_units(state).items():
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        for task in list(state.ready[kind].values()):
            _hand_over(job, step, task, unit, context)


def _may_pass(job: Job, step: Step, state: SchedulerState) -> bool:
    if not step.long_running or step.gang:
        return False
    return not _unseen.holds_back(job, step)


def _pass(job: Job, step: Step, task: Task, context: Context) -> bool:
    """Mark a task as another unit's, if one has room; true if so."""
    state = context.state
    is_back = _ready.is_back(job, task)
    is_late = _is_late(job, task, state)
    unit = _choose_unit(step, state, is_late=is_late, is_new=not is_back)
    if unit is None:
        return False
    _hand_over(job, step, task, unit, context)
    if is_late:
        # Its place is taken until the next row tells of another.
        room = state.rooms[unit]
        largest_free = room.largest_free.subtract(step.reserved)
        state.rooms[unit] = attrs.evolve(room, largest_free=largest_free)
    return True


def _is_late(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task that ran has waited for long."""
    waited_ms = state.now_ms - task.ready_ms
    return waited_ms >= _LATE_MS and _ready.is_back(job, task)


def _hand_over(
    job: Job, step: Step, task: Task, unit: int, context: Context
) -> None:
    """Mark a task as another unit's."""
    state = context.state
    number = max(job.passes.get(task.key, 0), _get_passed(job, task.key)) + 1
    # Runs are numbered by epoch, and the next epoch is above all of ours.
    least_run = task.least_run + (context.fencing_token + 1) * RUNS_PER_EPOCH
    job.passed[task.key] = PassedTask(unit, number, least_run)
    _ready.remove(task.key, step, state)
    if not _lifecycle.is_here(job, _lifecycle.get_first_task(job)):
        # Whether it has begun is the other unit's to tell.
        _lifecycle.mark_begun(job, state)
    _lifecycle.mark_dirty(job, state)
    room = state.rooms[unit]
    reserved = room.reserved_millicores + step.size.cpu_millicores
    state.rooms[unit] = attrs.evolve(room, reserved_millicores=reserved)
    state.count('tasks_passed')
    context.log(
        'pass task',
        task=task.key.format(),
        to_unit=unit,
        pass_number=number,
        waited_ms=state.now_ms - task.ready_ms,
        reserved_there=reserved,
        capacity_there=room.capacity_millicores,
    )


def _has_run(job: Job, name: str) -> bool:
    key = parse_task(f'{job.job_id}.{name}')
    return _ready.is_back(job, _lifecycle.get_task(job, key))


def _list_crashes(
    job: Job, names: t.Iterable[str]
) -> dict[str, tuple[CrashRecord, ...]]:
    """Return what crashed under some tasks, for the unit that gets them."""
    found = {}
    for name in names:
        task = job.tasks.get(parse_task(f'{job.job_id}.{name}'))
        if task is not None and task.crashes:
            found[name] = task.list_crashes()
    return found


def _get_passed(job: Job, key: TaskKey) -> int:
    passed = job.passed.get(key)
    return passed.pass_number if passed else 0


def has_unit_for(step: Step, state: SchedulerState) -> bool:
    """Whether another unit would take a task now."""
    return _choose_unit(step, state) is not None


def _choose_unit(
    step: Step,
    state: SchedulerState,
    *,
    is_late: bool = False,
    is_new: bool = False,
) -> int | None:
    """Return the emptiest unit that has a place for a task.

    A task that is late takes any place, also in a unit that has much more
    to do: what waits there is short, and goes after it.
    """
    fitting = [
        (_get_fullness(room), number)
        for number, room in state.rooms.items()
        if _rooms.has_place(room, step, is_new=is_new)
        and (is_late or _is_inviting(room))
    ]
    return min(fitting)[1] if fitting else None


def _is_inviting(room: UnitRoom) -> bool:
    return _get_fullness(room) < _FULLEST


def _get_fullness(room: UnitRoom) -> float:
    return room.reserved_millicores / max(1, room.capacity_millicores)


def send(job: Job, context: Context) -> None:
    """Tell other units of tasks that are durably no longer ours."""
    if job.durable is None or not job.durable.passed:
        return
    by_unit: dict[int, dict[str, tuple[int, int]]] = {}
    for name, (unit, number, least_run) in job.durable.passed.items():
        by_unit.setdefault(unit, {})[name] = number, least_run
    for unit, tasks in by_unit.items():
        record = GuestRecord(
            job.queue,
            job.request,
            {name: number for name, (number, _) in tasks.items()},
            {name: run for name, (_, run) in tasks.items()},
            tuple(name for name in tasks if _has_run(job, name)),
            _list_crashes(job, tasks),
        )
        context.emit(PassTasks(job.job_id, unit, record))
