"""Probation of runs whose tasks are suspected of crashing their workers.

Runs that end in the same crash are suspected together, and stay so if they
are started together again. Suspected runs are therefore isolated from each
other until each has passed its probation, so that the next crash shows which
one caused it. ``_crashes`` counts the crashes that the suspicion is based on.
"""

from __future__ import annotations

import math
import typing as t

from tulippin.jobs.state import Attempt, SchedulerState, Task, Worker

# A run that has lasted this long didn't crash its worker by starting. Crashes
# at the start come within about 10 ms.
MAX_SUSPECT_AGE_MS: t.Final = 5000
# Runs that are older than this at a crash need no isolation. If 6 of 24
# workers are lost at once, with two starts per second on each, 1 s leaves
# about 12 tasks to isolate, and 5 s leaves 60.
EARLY_CRASH_MS: t.Final = 1000
# Added to the longest crashed run of a task to get its probation.
_PROBATION_MARGIN_MS: t.Final = 1000
# From this number of crashes on, a run's worker is closed to other starts
# during its probation.
ISOLATING_CRASH_COUNT: t.Final = 2
# Limits the share of workers that are closed at one time, so that other work
# goes on when many tasks are suspected.
_MAX_CLOSED_SHARE: t.Final = 0.25
# Rounds of probations, one run on each worker, within which all suspected tasks
# can be isolated. If there are more, those of one job share workers: the next
# crash still shows which job caused it.
_MAX_ROUNDS: t.Final = 4
# A worker that hasn't answered for this time isn't a candidate for suspected
# tasks: a crashed worker without runs would look like the best one. While
# there are suspected tasks, idle workers are synchronized too, once a second.
_MAX_ANSWER_AGE_MS: t.Final = 1600
# Weight of the loss of a long-running task or a gang's member relative to
# other tasks: it is missing for about four seconds.
_LONG_RUNNING_WEIGHT: t.Final = 4
# A recent run outweighs any loss on a worker: beside it, the next crash would
# not show which of the two runs caused it.
_RECENT_WEIGHT: t.Final = 10


def needs_isolation(task: Task) -> bool:
    """Whether a task has to be isolated from other suspected tasks."""
    if not task.crashes:
        return False
    min_age_ms = min(crash.age_ms for crash in task.crashes.values())
    return (
        len(task.crashes) >= ISOLATING_CRASH_COUNT
        or min_age_ms < EARLY_CRASH_MS
    )


def is_on_probation(attempt: Attempt, worker: Worker) -> bool:
    """Whether a suspected run hasn't lasted long enough yet.

    Only the time up to the worker's last answer counts, as a worker that
    crashed a while ago can't be told from one that has nothing to report.
    """
    if not attempt.is_ordered:
        return attempt.probation_ms > 0
    return worker.answered_ms - attempt.sent_ms < attempt.probation_ms


def begin_probation(attempt: Attempt, task: Task, worker: Worker) -> None:
    """Begin the probation of a run whose task is suspected.

    Its order waits until the start is durable. Otherwise two of six starts
    whose owners crash soon after aren't counted.
    """
    if not task.crashes:
        return
    worker.probation_runs[attempt.key, attempt.run] = attempt
    attempt.is_ordered = False
    if not needs_isolation(task):
        return
    max_age_ms = max(crash.age_ms for crash in task.crashes.values())
    attempt.crash_count = len(task.crashes)
    attempt.probation_ms = min(
        MAX_SUSPECT_AGE_MS, max_age_ms + _PROBATION_MARGIN_MS
    )


def may_start_beside(worker: Worker, task: Task, state: SchedulerState) -> bool:
    """Whether the suspected runs on a worker permit a task's start there."""
    is_isolated = needs_isolation(task)
    if not (worker.probation_runs or is_isolated):
        return True
    if is_isolated and state.now_ms - worker.answered_ms > _MAX_ANSWER_AGE_MS:
        return False
    sibling_count = 0
    for attempt in _list_on_probation(worker, task):
        if _may_share(attempt, task):
            sibling_count += 1
        elif is_isolated or attempt.crash_count >= ISOLATING_CRASH_COUNT:
            return False
    if (
        sibling_count
        and is_isolated
        and sibling_count >= _get_group_size(state)
    ):
        return False
    is_closing = is_isolated and len(task.crashes) >= ISOLATING_CRASH_COUNT
    return not is_closing or _may_close_more(task, state)


def _list_on_probation(worker: Worker, task: Task) -> list[Attempt]:
    """Return the runs on probation that aren't of a task's own gang."""
    return [
        attempt
        for attempt in worker.probation_runs.values()
        if not (attempt.step.gang and attempt.key[:3] == task.key[:3])
        and is_on_probation(attempt, worker)
    ]


def _may_share(attempt: Attempt, task: Task) -> bool:
    """Whether a run and a task of its job may be on probation together."""
    return (
        attempt.key.job_id == task.key.job_id
        and max(attempt.crash_count, len(task.crashes)) < ISOLATING_CRASH_COUNT
    )


def _get_group_size(state: SchedulerState) -> int:
    """Return how many suspected tasks of a job may share a worker."""
    answering_count = sum(
        not one.failed_count for one in state.workers.values()
    )
    isolated_count = _MAX_ROUNDS * max(1, answering_count)
    return max(1, math.ceil(len(state.suspects) / isolated_count))


def _may_close_more(task: Task, state: SchedulerState) -> bool:
    """Whether one more worker may be closed for a suspected run."""
    closed_count = sum(
        any(
            attempt.crash_count >= ISOLATING_CRASH_COUNT
            and attempt.key[:3] != task.key[:3]
            and is_on_probation(attempt, worker)
            for attempt in worker.probation_runs.values()
        )
        for worker in state.workers.values()
        if worker.probation_runs
    )
    return closed_count < max(1, _MAX_CLOSED_SHARE * len(state.workers))


def get_known_age_ms(attempt: Attempt, worker: Worker) -> int:
    """Return the time from a run's order to its worker's last answer."""
    return max(0, worker.answered_ms - attempt.sent_ms)


def is_recent(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run may have begun shortly before its worker crashed."""
    return get_known_age_ms(attempt, worker) < MAX_SUSPECT_AGE_MS


def get_risk(task: Task, worker: Worker) -> float:
    """Return the cost of starting a suspected task on a worker.

    Runs that ended in one crash, but not soon after their start, are spread
    over workers without isolation: started together again, all of them would
    have a second crash and then wait for each other. Other suspected tasks
    prefer workers without recent runs, which could also have caused a crash,
    and where a crash loses least.
    """
    if not task.crashes:
        return 0.0
    if needs_isolation(task):
        recent_count = sum(
            is_recent(attempt, worker) for attempt in worker.attempts.values()
        )
        return _RECENT_WEIGHT * recent_count + _get_loss(worker)
    return len(worker.probation_runs)


def _get_loss(worker: Worker) -> float:
    """Return the weighted loss of a worker's crash, in parts of its CPUs."""
    millicores = sum(
        attempt.step.size.cpu_millicores * _weigh(attempt)
        for attempt in worker.attempts.values()
    )
    return millicores / max(1, worker.entry.capacity.cpu_millicores)


def _weigh(attempt: Attempt) -> int:
    step = attempt.step
    return _LONG_RUNNING_WEIGHT if step.long_running or step.gang else 1


def has_probation(worker: Worker) -> bool:
    """Whether a worker has a suspected run that is on probation."""
    return any(
        is_on_probation(attempt, worker)
        for attempt in worker.probation_runs.values()
    )
