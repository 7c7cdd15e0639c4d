"""Validates the content of records that were decoded from rows.

A row of another writer may have all fields of its type and still name steps,
tasks or units that do not exist. Looking them up would raise an error, so that
one row would stop the work on all others.
"""

from __future__ import annotations

import functools
import itertools
import re
import typing as t

import attrs

from tulippin.jobs import _model_validation
from tulippin.jobs.records import (
    FIT_COUNT_SIZES,
    AccountRecord,
    EpochRecord,
    GuestRecord,
    HomeRecord,
    JobRecord,
    LayoutRecord,
    LeaseRecord,
    ModelRecord,
    MovedJobRecord,
    ProgressRecord,
    QueueBacklog,
    RosterRecord,
    StepRange,
    UnitCapacity,
    WorkerAccount,
)
from tulippin.jobs.types import (
    JobRequest,
    Queue,
    Schedule,
    Step,
    TaskKey,
    parse_task_key,
)
from tulippin.types import Resources

_TASK_NAME: t.Final = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}\.[0-9]{1,9}')
# ``OCCURRENCE.STEP``, the key of a step in a progress record. Its value is a
# hexadecimal bitmap of tasks.
_STEP_NAME: t.Final = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}')
_BITMAP: t.Final = re.compile('[0-9a-f]+')
_JOB_ID: t.Final = re.compile('[^./]+')
_HEX_BASE: t.Final = 16
# A job with more tasks would fill an owner's memory before its first one runs.
MAX_TASKS: t.Final = 1_000_000
# Maximum amount of a resource, also of a worker's capacity: far above any
# machine, while sums and products of such amounts fit into a float.
MAX_AMOUNT: t.Final = 10**9
# About 30,000 years, which a float adds to a time of day without rounding.
MAX_DURATION_MS: t.Final = 10**15
# Maximum latency target: a float still holds sums with it.
_MAX_TARGET_MS: t.Final = 10**300
# Far above what all jobs that fit into one unit ask for.
_MAX_UNIT_AMOUNT: t.Final = 10**30
# Above the cores of any instance, and above its units per core.
_MAX_LOAD: t.Final = 10**6
# Maximum mean run time for a millisecond of estimate: products with the longest
# duration fit into a float.
MAX_RUN_RATIO: t.Final = 10**6
_MAX_SIZE: t.Final = Resources(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT)
# Each unit has two tables, and the platform's store holds 100 tables.
_MAX_UNITS: t.Final = 1000
# An owner reads each part of its jobs in a call of its own.
MAX_JOB_PARTS: t.Final = 256
# Maximum remaining validity of a former owner's orders, usually a few seconds.
_MAX_ORDER_VALIDITY_MS: t.Final = 60_000


def is_job_id(text: str) -> bool:
    """Whether a text is a job id, without the separators of task names."""
    return _JOB_ID.fullmatch(text) is not None


@functools.singledispatch
def find_fault(record: t.Any) -> str:
    """Return why a record is invalid; an empty string if it is valid."""
    return ''


@functools.singledispatch
def drop_faults(record: t.Any) -> tuple[t.Any, tuple[str, ...]]:
    """Return the valid parts of a record, and the faults of the others.

    Only advisory records have parts that can be left out. In all others each
    part states what runs or has run, so they are valid or invalid as a whole
    and are returned unchanged.
    """
    return record, ()


@drop_faults.register
def _drop_model_faults(
    record: ModelRecord,
) -> tuple[ModelRecord, tuple[str, ...]]:
    return _model_validation.drop_faults(record)


# -- owners and their workers --------------------------------------------------


@find_fault.register
def _find_epoch_fault(record: EpochRecord) -> str:
    ended_since = record.ended_since
    if ended_since is not None and not 0 < ended_since <= record.epoch:
        return f'owners have ended since {ended_since} of {record.epoch}'
    return ''


@find_fault.register
def _find_roster_fault(record: RosterRecord) -> str:
    times_ms = [record.unlisted_until_ms]
    if record.bounds is not None:
        if record.bounds.epoch <= 0:
            return f'its bounds are of epoch {record.bounds.epoch}'
        times_ms.extend(record.bounds.until_ms.values())
    if min(times_ms) < 0:
        return 'leases end before the store began'
    return ''


# -- jobs ---------------------------------------------------------------------


@find_fault.register
def _find_request_fault(request: JobRequest) -> str:
    if not request.steps:
        return 'it has no steps'
    if request.occurrence_count * len(request.steps) > MAX_TASKS:
        return 'it has too many steps'
    if sum(step.task_count for step in request.steps) > MAX_TASKS:
        return 'it has too many tasks'
    if not _is_valid_schedule(request.schedule):
        return 'it is due at no time'
    faults = (
        _find_step_fault(number, step)
        for number, step in enumerate(request.steps)
    )
    return next(filter(None, faults), '')


def _is_valid_schedule(schedule: Schedule) -> bool:
    times_ms = (schedule.first_at_ms, schedule.interval_ms)
    return all(abs(time_ms) <= MAX_DURATION_MS for time_ms in times_ms)


def _find_step_fault(number: int, step: Step) -> str:
    if not 0 < step.task_count <= MAX_TASKS:
        return f'step {number} has {step.task_count} tasks'
    if any(not 0 <= one < number for one in step.after):
        return f'step {number} waits for one that is no earlier one'
    if _has_negative_amount(step):
        return f'step {number} asks for less than nothing'
    if _has_excessive_amount(step):
        return f'step {number} asks for more than there can be'
    return ''


def _has_negative_amount(step: Step) -> bool:
    is_short = min(step.estimated_ms, step.target_ms) < 0
    return is_short or not step.size.fits(Resources())


def _has_excessive_amount(step: Step) -> bool:
    """Whether values computed from a step may exceed the range of floats."""
    is_long = max(step.estimated_ms, step.target_ms) > MAX_DURATION_MS
    return is_long or not _MAX_SIZE.fits(step.size)


def has_task(request: JobRequest, key: TaskKey) -> bool:
    """Whether a key names one of a job's tasks."""
    if not 0 <= key.occurrence < request.occurrence_count:
        return False
    if not 0 <= key.step < len(request.steps):
        return False
    return 0 <= key.index < request.steps[key.step].task_count


def _find_name_fault(names: t.Iterable[str], request: JobRequest) -> str:
    """Return a fault if one of the ``K.STEP.INDEX`` names is no task."""
    for name in names:
        is_name = _TASK_NAME.fullmatch(name) is not None
        if not is_name or not has_task(request, parse_task_key(f'-.{name}')):
            return f'it names unknown task {name!r}'
    return ''


@find_fault.register
def _check_job(record: JobRecord) -> str:
    fault = _find_queue_fault(record.queue) or _find_request_fault(
        record.request
    )
    if fault or record.moved is None:
        return fault
    return _find_moved_fault(record.moved, record.request)


def _find_moved_fault(moved: MovedJobRecord, request: JobRequest) -> str:
    if moved.run_floor < 0:
        return 'the number of a run is negative'
    if not _are_unit_numbers(moved.left_units):
        return 'invalid unit number'
    fault = find_progress_fault(moved.progress, request)
    return fault or _find_name_fault(moved.checkpoints, request)


def _find_queue_fault(queue: Queue) -> str:
    """Return a fault if due times can't be computed from a queue's target."""
    if abs(queue.target_latency_ms) > _MAX_TARGET_MS:
        return 'the latency target of its queue is out of range'
    return ''


@find_fault.register
def _check_transferred_job(record: GuestRecord) -> str:
    fault = _find_queue_fault(record.queue)
    fault = fault or _find_request_fault(record.request)
    if not fault and min(record.passes.values(), default=1) < 1:
        fault = 'the number of a transfer is below 1'
    if not fault and min(record.runs.values(), default=0) < 0:
        fault = 'the number of a run is negative'
    return fault or _find_name_fault(
        [*record.passes, *record.runs, *record.begun, *record.crashes],
        record.request,
    )


def find_progress_fault(record: ProgressRecord, request: JobRequest) -> str:
    """Return why a progress record does not match its job; empty if it does."""
    for name, bitmap in (*record.done.items(), *(record.begun or {}).items()):
        if not _STEP_NAME.fullmatch(name) or not _BITMAP.fullmatch(bitmap):
            return f'malformed entry for step {name!r}'
        key = parse_task_key(f'-.{name}.0')
        if not has_task(request, key):
            return f'it names unknown step {name!r}'
        if int(bitmap, _HEX_BASE) >> request.steps[key.step].task_count:
            return f'it lists more tasks of step {name} than there are'
    fault = _find_complete_fault(record.complete, request)
    if fault:
        return fault
    if any(min(passed) < 0 for passed in record.passed.values()):
        return 'the target unit of a transfer is negative'
    if record.doubts < 0:
        return 'its count of doubts is negative'
    if record.moved_to is not None and not _are_unit_numbers(
        (record.moved_to,)
    ):
        return 'invalid unit number'
    names = (
        *record.failures,
        *record.avoided,
        *record.passed,
        *record.crashes,
        *record.started,
        *(record.places or ()),
    )
    return _find_name_fault(names, request)


def _find_complete_fault(
    complete: t.Sequence[StepRange], request: JobRequest
) -> str:
    """Return a fault if the ranges don't list whole occurrences."""
    if not complete:
        return ''
    count = complete[0][2]
    if not 0 < count <= request.occurrence_count:
        return f'it lists {count} occurrences as complete'
    if tuple(complete) != make_complete_ranges(request, count):
        return 'it lists parts of occurrences as complete'
    return ''


def make_complete_ranges(
    request: JobRequest, count: int
) -> tuple[StepRange, ...]:
    """Return the ranges that list the first occurrences as complete."""
    return tuple(
        (number, 0, count, f'{(1 << step.task_count) - 1:x}')
        for number, step in enumerate(request.steps)
    )


# -- units --------------------------------------------------------------------


def _are_unit_numbers(numbers: t.Iterable[int]) -> bool:
    return all(0 <= number < _MAX_UNITS for number in numbers)


@find_fault.register
def _check_home(record: HomeRecord) -> str:
    return '' if _are_unit_numbers(record.units) else 'invalid unit number'


@find_fault.register
def _check_layout(record: LayoutRecord) -> str:
    if not _are_unit_numbers(record.racks.values()):
        return 'invalid unit number'
    if not 1 <= record.job_parts <= MAX_JOB_PARTS:
        return "invalid number of the jobs' parts"
    return ''


@find_fault.register
def _check_lease(record: LeaseRecord) -> str:
    counts = (
        record.renewal_count,
        record.answer_ms,
        record.task_count,
        *record.waiting.values(),
    )
    if min(counts) < 0:
        return 'one of its counts is negative'
    loads = (record.processor_share, record.successor_load)
    if not all(0 <= load <= _MAX_LOAD for load in loads):
        return 'its processors or the load of its successor are out of range'
    if not all(map(_is_valid_backlog, (record.backlogs or {}).values())):
        return 'its backlog is out of range'
    return _find_capacity_fault(record.room)


def _is_valid_backlog(backlog: QueueBacklog) -> bool:
    """Whether a queue's figures may be summed and divided by."""
    if not 0 <= backlog.timely_core_ms <= backlog.waiting_core_ms:
        return False
    amounts = (backlog.waiting_core_ms, backlog.rate_core_ms_per_s or 0)
    is_ratio_valid = (
        backlog.run_ratio is None or 0 < backlog.run_ratio <= MAX_RUN_RATIO
    )
    return is_ratio_valid and all(
        0 <= amount <= _MAX_UNIT_AMOUNT for amount in amounts
    )


def _find_capacity_fault(room: UnitCapacity) -> str:
    """Return what is invalid in a unit's reported capacity.

    Shares of it are compared with those of other units: a negative one would
    attract all tasks, and an infinite one would raise an error in a division.
    """
    amounts = (
        room.capacity_millicores,
        room.reserved_millicores,
        room.idle_millicores,
        *room.waiting_millicores.values(),
        *room.service_millicores.values(),
        *room.places,
        *(room.short_places or ()),
        *itertools.chain.from_iterable(
            map(attrs.astuple, room.largest_workers.values())
        ),
        *_iter_demand_figures(room),
    )
    if not all(0 <= value <= _MAX_UNIT_AMOUNT for value in amounts):
        return 'its capacity is out of range'
    if max(len(room.places), len(room.short_places or ())) > len(
        FIT_COUNT_SIZES
    ):
        return 'it has more fit counts than there are task sizes'
    # Free capacity is negative where more is reserved than exists.
    free = (*attrs.astuple(room.largest_free), room.largest_new_millicores)
    if any(abs(value or 0) > _MAX_UNIT_AMOUNT for value in free):
        return 'its free capacity is out of range'
    return ''


def _iter_demand_figures(room: UnitCapacity) -> t.Iterator[float]:
    for one in room.demands:
        yield from (one.mean_millicores, one.variance, one.count)
        yield from (one.squares, one.cubes, one.memory, one.burst_squares)


@find_fault.register
def _check_release_report(record: AccountRecord) -> str:
    for worker_id, account in record.workers.items():
        if not 0 <= account.lasting_ms <= _MAX_ORDER_VALIDITY_MS:
            return (
                f'orders to {worker_id} are valid for {account.lasting_ms} ms'
            )
        if not _has_task_names(account):
            return f'malformed task name on {worker_id}'
    return ''


def _has_task_names(account: WorkerAccount) -> bool:
    return all(map(is_task_name, account.tasks or ()))


def is_task_name(name: str) -> bool:
    """Whether a text has the form of a full task name, with its job id."""
    job_id, _, rest = name.partition('.')
    return is_job_id(job_id) and _TASK_NAME.fullmatch(rest) is not None


# -- models -------------------------------------------------------------------


@find_fault.register
def _check_model(record: ModelRecord) -> str:
    _, faults = _model_validation.drop_faults(record)
    return faults[0] if faults else ''
