"""Occurrences of a job: which have begun, and which are complete.

A schedule may have hundreds of thousands of occurrences. Those that aren't due
take no memory, and those that are complete take none either: once all before
it are complete too, an occurrence is known by the length of that range alone.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import _task_limits
from tulippin.jobs._record_validation import make_complete_ranges
from tulippin.jobs.records import StepRange
from tulippin.jobs.state import Job, SchedulerState
from tulippin.jobs.types import TaskKey


def begin(job: Job, occurrence: int) -> None:
    """Count the tasks of an occurrence, unless that was done before."""
    if is_complete(job, occurrence):
        return
    for number, step in enumerate(job.request.steps):
        job.remaining.setdefault((occurrence, number), step.task_count)


def is_complete(job: Job, occurrence: int) -> bool:
    """Whether an occurrence is known to be complete, with all before it."""
    return occurrence < job.completed_count


def count_remaining(job: Job, occurrence: int, number: int) -> int:
    """Return how many tasks of a step in an occurrence are not done."""
    if is_complete(job, occurrence):
        return 0
    all_count = job.request.steps[number].task_count
    return job.remaining.get((occurrence, number), all_count)


def is_job_complete(job: Job) -> bool:
    """Whether all tasks of all occurrences are done."""
    return job.completed_count == job.request.occurrence_count


def has_done_task(job: Job) -> bool:
    """Whether any task of a job is done."""
    return job.completed_count > 0 or any(
        task.is_done for task in job.tasks.values()
    )


def list_open_steps(job: Job) -> list[int]:
    """Return the numbers of the steps with tasks that are not done."""
    if max(1, job.begun_count) < job.request.occurrence_count:
        return list(range(len(job.request.steps)))
    return sorted(
        {number for (_, number), left in job.remaining.items() if left}
    )


def note_done(job: Job, key: TaskKey) -> None:
    """Count a task as done, and forget occurrences that are complete by it."""
    begin(job, key.occurrence)
    job.remaining[key.occurrence, key.step] -= 1
    if key.occurrence == job.completed_count:
        forget_complete(job)


def forget_complete(job: Job) -> None:
    """Forget the complete occurrences that have only such before them.

    Those of a job with a single one are kept until the job is removed. Tasks
    with a run that has still to end are kept by ``sweep``.
    """
    while not is_job_complete(job) and _is_done(job, job.completed_count):
        occurrence = job.completed_count
        job.completed_count += 1
        if job.request.occurrence_count > 1:
            _forget(job, occurrence)
    job.begun_count = max(job.begun_count, job.completed_count)


def _is_done(job: Job, occurrence: int) -> bool:
    return not any(
        count_remaining(job, occurrence, number)
        for number in range(len(job.request.steps))
    )


def _forget(job: Job, occurrence: int) -> None:
    for number, step in enumerate(job.request.steps):
        step_key = (occurrence, number)
        job.remaining.pop(step_key, None)
        job.opened_steps.discard(step_key)
        job.longest_runs_ms.pop(step_key, None)
        _forget_advice(job, step_key)
        for index in range(step.task_count):
            _forget_task(job, TaskKey(job.job_id, *step_key, index))


def _forget_advice(job: Job, step_key: tuple[int, int]) -> None:
    full_key = (job.job_id, *step_key)
    for by_step in (job.tickets, job.advised_workers, job.advice_after_ms):
        by_step.pop(full_key, None)


def _forget_task(job: Job, key: TaskKey) -> None:
    task = job.tasks.get(key)
    if task is not None and not task.attempts:
        del job.tasks[key]


def sweep(job: Job) -> None:
    """Forget tasks of complete occurrences whose last run has ended since."""
    if job.request.occurrence_count == 1:
        return
    for key in list(job.tasks):
        if is_complete(job, key.occurrence):
            _forget_task(job, key)


# -- which occurrences begin --------------------------------------------------


def is_next_due(job: Job, state: SchedulerState) -> bool:
    """Whether there is an occurrence that has not begun, and it is due."""
    if job.begun_count >= job.request.occurrence_count:
        return False
    schedule = job.request.schedule
    if not schedule.count:
        return True
    due_ms = schedule.first_at_ms + job.begun_count * schedule.interval_ms
    return state.now_ms + state.wall_offset_ms >= due_ms


def iter_openable(job: Job, occurrence: int) -> t.Iterator[int]:
    """Yield the numbers of unopened steps whose dependencies are done."""
    if is_complete(job, occurrence):
        return
    for number, step in enumerate(job.request.steps):
        if (occurrence, number) in job.opened_steps:
            continue
        if not any(
            count_remaining(job, occurrence, other) for other in step.after
        ):
            yield number


class OpeningBudget:
    """Limits the tasks of occurrences that begin beside unfinished ones.

    Occurrences that are due at once, or longer than their interval, would
    otherwise bring a unit any number of tasks. Admission counts the tasks of
    one occurrence of each job, so the first unfinished one begins in any case.

    Parameters
    ----------
    state : SchedulerState
        The unit.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Defer counting the unit's tasks until that is needed."""
        self._state = state
        self._unit_room: int | None = None

    def take(self, job: Job) -> bool:
        """Whether the next occurrence of a job may begin; count it if so."""
        if job.begun_count == job.completed_count:
            return True
        count = job.request.task_count
        if len(job.tasks) + count > _task_limits.MAX_JOB_TASKS:
            return False
        if self._unit_room is None:
            kept_count = _task_limits.count_kept(self._state)
            self._unit_room = _task_limits.MAX_UNIT_TASKS - kept_count
        if count > self._unit_room:
            return False
        self._unit_room -= count
        return True


# -- what is stored of them ---------------------------------------------------


def list_complete(job: Job) -> tuple[StepRange, ...]:
    """Return the forgotten occurrences as stored, one range for each step."""
    if not job.completed_count or job.request.occurrence_count == 1:
        return ()
    return make_complete_ranges(job.request, job.completed_count)


def restore(job: Job, complete: t.Sequence[StepRange]) -> None:
    """Apply the occurrences that a progress record lists as complete."""
    job.completed_count = complete[0][2] if complete else 0
    job.begun_count = job.completed_count
