"""What is wrong with a record that has the right form.

Another writer's row may have every field of its type and still name steps,
tasks or units that there are not. Whoever takes such a record in would look
them up, so that one row would end the work on all.
"""

from __future__ import annotations

import functools
import re
import typing as t

import attrs

from tulippin.jobs import _model_checks
from tulippin.jobs.records import (
    PLACE_SIZES,
    AccountRecord,
    GuestRecord,
    HomeRecord,
    JobRecord,
    LayoutRecord,
    LeaseRecord,
    ModelRecord,
    ProgressRecord,
    UnitRoom,
    WorkerAccount,
)
from tulippin.jobs.types import (
    JobRequest,
    Queue,
    Schedule,
    Step,
    TaskKey,
    parse_task,
)
from tulippin.types import Resources

_TASK_NAME: t.Final = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}\.[0-9]{1,9}')
_STEP_NAME: t.Final = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}')
_BITS: t.Final = re.compile('[0-9a-f]+')
_JOB_ID: t.Final = re.compile('[^./]+')
_HEX: t.Final = 16
# A job of more would fill an owner's memory before its first task.
MOST_TASKS: t.Final = 1_000_000
# As of a worker's room: far above any machine, and sums and products of
# such figures are far below what a float holds.
MOST_AMOUNT: t.Final = 10**9
# Some 30,000 years, which a float adds to a time of day without a loss.
LONGEST_MS: t.Final = 10**15
# What a float still holds, with some more added to it.
_MOST_EXACT: t.Final = 10**300
# Far above what all jobs that one unit can hold ask for.
_MOST_ASKED: t.Final = 10**30
_LARGEST_SIZE: t.Final = Resources(MOST_AMOUNT, MOST_AMOUNT, MOST_AMOUNT)
# Each unit has two tables, of which the platform's store keeps 100.
_MOST_UNITS: t.Final = 1000
# An owner's orders last for some seconds.
_LONGEST_ACCOUNT_MS: t.Final = 60_000


def is_job_id(text: str) -> bool:
    """Whether tasks can be named after a job of this id."""
    return _JOB_ID.fullmatch(text) is not None


@functools.singledispatch
def find_fault(record: t.Any) -> str:
    """Return what makes a record useless; an empty text if nothing does."""
    return ''


@functools.singledispatch
def drop_faults(record: t.Any) -> tuple[t.Any, tuple[str, ...]]:
    """Return what of a record may be taken in, and what is wrong with the rest.

    Only records that advise have parts that can be left out. Of the others
    each part tells what may run, or has, and they count as a whole.
    """
    return record, ()


@drop_faults.register
def _drop_model_faults(
    record: ModelRecord,
) -> tuple[ModelRecord, tuple[str, ...]]:
    return _model_checks.drop_faults(record)


# -- jobs ---------------------------------------------------------------------


@find_fault.register
def _find_request_fault(request: JobRequest) -> str:
    if not request.steps:
        return 'it has no steps'
    if request.occurrence_count * len(request.steps) > MOST_TASKS:
        return 'it has too many steps'
    if sum(step.task_count for step in request.steps) > MOST_TASKS:
        return 'it has too many tasks'
    if not _is_sane_schedule(request.schedule):
        return 'it is due at no time'
    faults = (
        _find_step_fault(number, step)
        for number, step in enumerate(request.steps)
    )
    return next(filter(None, faults), '')


def _is_sane_schedule(schedule: Schedule) -> bool:
    times_ms = (schedule.first_at_ms, schedule.interval_ms)
    return all(abs(time_ms) <= LONGEST_MS for time_ms in times_ms)


def _find_step_fault(number: int, step: Step) -> str:
    if not 0 < step.task_count <= MOST_TASKS:
        return f'step {number} has {step.task_count} tasks'
    if any(not 0 <= one < number for one in step.after):
        return f'step {number} waits for one that is no earlier one'
    if _is_negative(step):
        return f'step {number} asks for less than nothing'
    if _is_huge(step):
        return f'step {number} asks for more than there can be'
    return ''


def _is_negative(step: Step) -> bool:
    is_short = min(step.estimated_ms, step.target_ms) < 0
    return is_short or not step.size.fits(Resources())


def _is_huge(step: Step) -> bool:
    """Whether what is worked out of a step may leave what a float holds."""
    is_long = max(step.estimated_ms, step.target_ms) > LONGEST_MS
    return is_long or not _LARGEST_SIZE.fits(step.size)


def has_task(request: JobRequest, key: TaskKey) -> bool:
    """Whether a key names one of a job's tasks."""
    if not 0 <= key.occurrence < request.occurrence_count:
        return False
    if not 0 <= key.step < len(request.steps):
        return False
    return 0 <= key.index < request.steps[key.step].task_count


def _find_name_fault(names: t.Iterable[str], request: JobRequest) -> str:
    """Return which of some tasks, as ``K.STEP.INDEX``, there is not."""
    for name in names:
        is_name = _TASK_NAME.fullmatch(name) is not None
        if not is_name or not has_task(request, parse_task(f'-.{name}')):
            return f'it names task {name!r}'
    return ''


@find_fault.register
def _check_job(record: JobRecord) -> str:
    return _find_queue_fault(record.queue) or _find_request_fault(
        record.request
    )


def _find_queue_fault(queue: Queue) -> str:
    """Return what of a queue can't be worked with, as due times are."""
    if abs(queue.target_latency_ms) > _MOST_EXACT:
        return 'its queue has no target'
    return ''


@find_fault.register
def _check_guest(record: GuestRecord) -> str:
    fault = _find_queue_fault(record.queue)
    fault = fault or _find_request_fault(record.request)
    if not fault and min(record.passes.values(), default=1) < 1:
        fault = 'a pass has no number'
    if not fault and min(record.runs.values(), default=0) < 0:
        fault = 'a run is below none'
    return fault or _find_name_fault(
        [*record.passes, *record.runs, *record.begun, *record.crashes],
        record.request,
    )


def find_progress_fault(record: ProgressRecord, request: JobRequest) -> str:
    """Return what of a job's progress is none of this job's."""
    for name, bits in (*record.done.items(), *(record.begun or {}).items()):
        if not _STEP_NAME.fullmatch(name) or not _BITS.fullmatch(bits):
            return f'it names step {name!r}'
        key = parse_task(f'-.{name}.0')
        if not has_task(request, key):
            return f'it names step {name!r}'
        if int(bits, _HEX) >> request.steps[key.step].task_count:
            return f'it tells of more tasks of step {name} than it has'
    if any(min(passed) < 0 for passed in record.passed.values()):
        return 'a task is passed to no unit'
    if record.doubts < 0:
        return 'it counts below none'
    names = (
        *record.failures,
        *record.avoided,
        *record.passed,
        *record.crashes,
        *record.started,
        *(record.places or ()),
    )
    return _find_name_fault(names, request)


# -- units --------------------------------------------------------------------


def _are_units(numbers: t.Iterable[int]) -> bool:
    return all(0 <= number < _MOST_UNITS for number in numbers)


@find_fault.register
def _check_home(record: HomeRecord) -> str:
    return '' if _are_units(record.units) else 'it names no unit'


@find_fault.register
def _check_layout(record: LayoutRecord) -> str:
    return '' if _are_units(record.racks.values()) else 'it names no unit'


@find_fault.register
def _check_lease(record: LeaseRecord) -> str:
    counts = (
        record.renewal_count,
        record.answer_ms,
        *record.waiting.values(),
    )
    if min(counts) < 0:
        return 'it counts below none'
    return _find_room_fault(record.room)


def _find_room_fault(room: UnitRoom) -> str:
    """Return what of a unit's room is none.

    Shares of it are compared with those of other units: one that is less
    than nothing would draw all tasks, and one without end ends who divides.
    """
    sums = (
        room.capacity_millicores,
        room.reserved_millicores,
        room.idle_millicores,
        *room.waiting_millicores.values(),
        *room.service_millicores.values(),
        *room.places,
        *(room.short_places or ()),
        *_list_figures(room),
    )
    if not all(0 <= value <= _MOST_ASKED for value in sums):
        return 'its room is none'
    if max(len(room.places), len(room.short_places or ())) > len(PLACE_SIZES):
        return 'it tells places of no size'
    # What is left where more is reserved than there is lies below nothing.
    left = (*attrs.astuple(room.largest_free), room.largest_new_millicores)
    if any(abs(value or 0) > _MOST_ASKED for value in left):
        return 'what is free of its room is none'
    return ''


def _list_figures(room: UnitRoom) -> t.Iterator[float]:
    for one in room.demands:
        yield from (one.mean_millicores, one.variance, one.count)
        yield from (one.squares, one.cubes, one.memory)


@find_fault.register
def _check_account(record: AccountRecord) -> str:
    for worker_id, told in record.workers.items():
        if not 0 <= told.lasting_ms <= _LONGEST_ACCOUNT_MS:
            return f'orders to {worker_id} last {told.lasting_ms} ms'
        if not _names_tasks(told):
            return f'it names no tasks on {worker_id}'
    return ''


def _names_tasks(told: WorkerAccount) -> bool:
    return all(map(is_task_name, told.tasks or ()))


def is_task_name(name: str) -> bool:
    """Whether some job could have a task of this whole name."""
    job_id, _, rest = name.partition('.')
    return is_job_id(job_id) and _TASK_NAME.fullmatch(rest) is not None


# -- models -------------------------------------------------------------------


@find_fault.register
def _check_model(record: ModelRecord) -> str:
    _, faults = _model_checks.drop_faults(record)
    return faults[0] if faults else ''
