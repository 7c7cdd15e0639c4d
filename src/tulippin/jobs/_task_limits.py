"""Bounds the tasks of a job, and those of all jobs in a unit.

An owner keeps about one kilobyte for each task of its unfinished jobs, and a
standby loads them all once it takes the unit. Without a bound on their sum, a
few dozen large jobs would take each of its owners over its memory.
"""

from __future__ import annotations

import math
import typing as t

import attrs

from tulippin.exceptions import InputError, OverloadedError
from tulippin.jobs.types import FINAL_STATES

if t.TYPE_CHECKING:
    from tulippin.jobs.records import LeaseRecord
    from tulippin.jobs.state import Job, SchedulerState
    from tulippin.jobs.types import JobRequest

# Tasks of a job whose progress fits a row of the store, whatever happens to
# them, and beside which an owner serves other jobs.
MAX_JOB_TASKS: t.Final = 20_000
# Tasks of a gang that an owner can start while the first ones wait for the
# others.
MAX_GANG_TASKS: t.Final = 200
# Tasks of all unfinished jobs of a unit, beside which it takes a further job.
MAX_UNIT_TASKS: t.Final = 100_000
# Jobs of a few tasks are taken up to a higher sum, as instances that accept
# large jobs at the same time may exceed the other one together.
SMALL_JOB_TASKS: t.Final = 100
_MAX_UNIT_TASKS_FOR_SMALL: t.Final = 150_000
# An owner keeps as much for a job itself as for this many of its tasks.
_TASKS_PER_JOB: t.Final = 3
# A job may bring at most this part of the tasks that a unit can still take, so
# that large jobs leave the rest to smaller ones.
_MAX_SHARE: t.Final = 1 / 4
# Tasks that this instance sent to a unit since its lease count this often, as
# others may have sent as many.
_SENT_WEIGHT: t.Final = 4
# Tasks that an owner completes in a second beside jobs of such a size.
_TASKS_PER_S: t.Final = 400
_MAX_RETRY_AFTER_S: t.Final = 60


def check_job(request: JobRequest) -> None:
    """Raise ``InputError`` if a job has more tasks than an owner serves."""
    count = request.task_count
    if count > MAX_JOB_TASKS:
        raise make_size_error(
            f'it has {count} tasks, at most {MAX_JOB_TASKS} are kept;'
            ' submit several jobs'
        )
    largest = max(
        (step.task_count for step in request.steps if step.gang), default=0
    )
    if largest > MAX_GANG_TASKS:
        raise make_size_error(
            f'a gang of it has {largest} tasks, at most {MAX_GANG_TASKS} can'
            ' be started together; use smaller gangs'
        )


def make_size_error(reason: str) -> InputError:
    """Return the error for a job that is never accepted as it is."""
    return InputError(f'the job is refused: {reason}', code='job_too_large')


def count_kept(state: SchedulerState) -> int:
    """Return the number of tasks that an owner keeps, or is going to.

    Each unfinished job counts as some tasks by itself.
    """
    return sum(
        _TASKS_PER_JOB + _count_kept_of_job(job)
        for job in state.jobs.values()
        if job.state not in FINAL_STATES
    )


def _count_kept_of_job(job: Job) -> int:
    """Return the tasks of one occurrence, or those that there are by now."""
    is_elsewhere = job.is_transferred or job.moved_to is not None
    expected = 0 if is_elsewhere else job.request.task_count
    return max(len(job.tasks), expected)


def has_room(kept_count: int, request: JobRequest) -> bool:
    """Whether a unit that keeps so many tasks takes those of a new job."""
    is_small = request.task_count <= SMALL_JOB_TASKS
    limit = _MAX_UNIT_TASKS_FOR_SMALL if is_small else MAX_UNIT_TASKS
    return request.task_count <= _MAX_SHARE * (limit - kept_count)


def make_rejection(kept_count: int, request: JobRequest) -> OverloadedError:
    """Return the error for a job that finds no unit with room for it.

    Parameters
    ----------
    kept_count : int
        The tasks of the unit that keeps least.
    request : JobRequest
        What the job asks for.
    """
    most_kept = MAX_UNIT_TASKS - request.task_count / _MAX_SHARE
    wait_s = math.ceil((kept_count - most_kept) / _TASKS_PER_S)
    most = int(max(0, _MAX_SHARE * (MAX_UNIT_TASKS - kept_count)))
    return OverloadedError(
        f'not accepted: it has {request.task_count} tasks, and jobs of more'
        f' than {most} wait until others are completed',
        max(1, min(wait_s, _MAX_RETRY_AFTER_S)),
    )


@attrs.define
class SentTasks:
    """The tasks sent to each unit since its last lease, by any instance.

    They are estimated from those that this instance sent.
    """

    _counts: dict[int, int] = attrs.field(factory=dict, init=False)
    _since_ms: dict[int, int] = attrs.field(factory=dict, init=False)

    def get(self, number: int, seen_ms: int) -> int:
        """Return the tasks sent to a unit since its lease was seen."""
        if self._since_ms.get(number) != seen_ms:
            return 0
        return _SENT_WEIGHT * self._counts[number]

    def add(self, number: int, seen_ms: int, count: int) -> None:
        """Add the tasks of a job that is about to be sent to a unit."""
        if self._since_ms.get(number) != seen_ms:
            self._since_ms[number] = seen_ms
            self._counts[number] = 0
        self._counts[number] += count


def get_published(lease: LeaseRecord | None) -> int:
    """Return the tasks of a unit by its lease, 0 if there is none."""
    return lease.task_count if lease is not None else 0
