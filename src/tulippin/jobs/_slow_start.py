"""Slow start: one run at a reduced pace for each job that waits too long.

Most workers refuse an opportunistic task whose image the model expects to
disturb others. A job of such an image would wait for as long as the tasks
that it disturbs run: 16 s after the last job of a day had arrived, up to nine
jobs had had nothing running for up to 30 s, with half of all processors idle.
Besides, an image that is never started is never observed, so an estimate that
is too high would persist.

Therefore each job may have one run regardless. It starts on the worker that
tolerates the highest pace, at the pace that the slack and the idle processors
there allow, with a limit on such runs for each worker. It may use memory that
is kept for tasks that reserve processors, and gives it back to them
(``_preempting``). A slow-started run yields: other tasks are
placed as if it did not exist, it continues at the pace that they leave, and it
pauses as soon as a target is missed that would be met without it
(``_own_misses``). It is observed at a pace at which targets are met, which
corrects the estimate for its image. While it pauses it holds no place, and its
job may have another run.
"""

from __future__ import annotations

import enum
import typing as t

import attrs

from tulippin.jobs import (
    _attempts,
    _crashes,
    _feasibility,
    _interference,
    _job_progress,
    _own_misses,
    _unconfirmed_runs,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# Time without any run after which a job may have a slow start once no new
# jobs arrive. At most 3 s without a run are acceptable beside mostly idle
# processors; an end is read up to 0.4 s late, and a start order takes as long,
# so with 2.5 s a job was without a run for 3 s.
_IDLE_WAIT_MS: t.Final = 1500
# The same while jobs arrive: jobs that can meet their target go first, and
# each slow start costs its neighbours something. With 1.5 s at all times,
# targets were missed for 8,022 s in 18 days, and without slow starts for
# 6,423 s.
_WAIT_MS: t.Final = 2500
# Time without any run after which a job precedes those that rank higher. Until
# then processors go to jobs that can still be in time.
_MAX_WAIT_MS: t.Final = 6000
# Time since the last arrival after which no new jobs are expected.
_ARRIVAL_GAP_MS: t.Final = 2500
# Available paces. Few, as each change is an order to the worker. At the slowest
# pace a pair with an excess of 0.4 adds 0.04, which is below the spread of the
# tails, but an estimate that is ten times too high is still detected.
_PACES_PERCENT: t.Final = (100, 50, 20, 10)
_MIN_PACE_PERCENT: t.Final = 10
# The slowest pace where more runs than usual share a worker, and where a target
# was missed beside them within a time.
_CROWDED_PACE_PERCENT: t.Final = 5
_LOWEST_PACE_PERCENT: t.Final = 2
_RAISE_AFTER_MS: t.Final = 5000
_PERCENT: t.Final = 100
# Ratio of the worst tail to its target up to which a run keeps its pace, even
# if the model now expects more excess. Above it the model decides, down to the
# slowest pace, as a tail that is high by its own load would keep a run paused.
# Raising the pace whenever tails are below half of their targets, whatever the
# model expects, misses targets for 7,583 s in 18 days instead of 7,190 s.
_TIGHT_RATIO: t.Final = 0.8
# Usual number of slow-started runs on a worker. With 48 waiting jobs on 33
# workers and four runs on each of six workers, the last job waits for 2.8 s,
# with three runs 6.6 s. Six runs at 10% disturb less than one at full pace.
_MAX_SLOW_RUNS: t.Final = 6
# The same for jobs that find no place otherwise.
_MAX_CROWDED_RUNS: t.Final = 12
# The same with those that pause.
_MAX_TOTAL_RUNS: t.Final = 24
# The same while jobs arrive.
_MAX_SLOW_RUNS_WITH_ARRIVALS: t.Final = 2
# Number of tasks compared with all workers in one round: those that have waited
# longest, and some of the others in turn. Twelve tasks take about 1 ms with 33
# workers.
_FIRST_TASK_COUNT: t.Final = 8
_ROTATING_TASK_COUNT: t.Final = 16


class Refusal(enum.Enum):
    """Why a worker takes no slow start, apart from hard conditions."""

    TARGET_MISSED = 'target_missed'
    SLOW_RUNS = 'slow_runs'


@attrs.frozen
class SlowStart:
    """The worker and the pace for the slow start of a task."""

    worker: Worker
    pace_percent: int


def list_waiting(state: SchedulerState) -> list[tuple[Job, Task]]:
    """Return one task of each step whose job has waited too long for a run.

    The job that has had nothing running for the longest comes first.
    """
    wait_ms = _IDLE_WAIT_MS if _has_no_arrivals(state) else _WAIT_MS
    found: list[tuple[int, Job, Task]] = []
    for kind, tasks in state.ready_opportunistic.items():
        job = state.jobs[kind[0]]
        task = _find_startable(job, tasks.values(), state)
        # Members of a gang run only together, and at full pace.
        step = job.request.steps[kind[2]]
        if (
            task is None
            or step.gang
            or _unconfirmed_runs.must_await_workers(job, step)
        ):
            continue
        idle_ms = _job_progress.get_idle_ms(job, task, state)
        if idle_ms >= wait_ms:
            found.append((idle_ms, job, task))
    found.sort(key=lambda one: -one[0])
    return [(job, task) for _, job, task in found]


def _has_no_arrivals(state: SchedulerState) -> bool:
    """Whether no job has arrived for a while."""
    return state.now_ms - state.last_arrival_ms >= _ARRIVAL_GAP_MS


def select_round(
    waiting: list[tuple[Job, Task]], state: SchedulerState
) -> list[tuple[Job, Task]]:
    """Return the tasks for this round: the first ones, and others in turn.

    Tasks that fit nowhere wait the longest. Without the rotation, a dozen of
    them would keep all other tasks from being considered.
    """
    first = waiting[:_FIRST_TASK_COUNT]
    others = waiting[_FIRST_TASK_COUNT:]
    if not others:
        return first
    offset = state.next_slow_start % len(others)
    state.next_slow_start = offset + _ROTATING_TASK_COUNT
    return first + (others[offset:] + others[:offset])[:_ROTATING_TASK_COUNT]


def has_claim(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a job has made no progress since its last start."""
    return _job_progress.get_idle_ms(job, task, state) > 0


def precedes_others(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a job has waited so long that it goes ahead of all others."""
    return _job_progress.get_idle_ms(job, task, state) >= _MAX_WAIT_MS


def _find_startable(
    job: Job, tasks: t.Iterable[Task], state: SchedulerState
) -> Task | None:
    """Return the first task that may be started."""
    return next(
        (task for task in tasks if _crashes.may_start(job, task, state)), None
    )


def choose(
    job: Job, task: Task, step: Step, state: SchedulerState
) -> SlowStart | None:
    """Return the worker that tolerates the highest pace of a task.

    Workers where the task failed come last, and before them those whose memory
    is kept for urgent tasks; among equals, the one with the most idle
    processors goes first.

    Returns
    -------
    SlowStart, optional
        None if no worker is feasible. The slowest pace is allowed in any case.
    """
    best: Worker | None = None
    best_rank = (True, True, True, True, 0.0, 0.0)
    for worker in state.workers.values():
        if find_refusal(worker, job, task, step, state) is not None:
            continue
        rank = (
            worker.worker_id in task.avoided,
            _feasibility.lacks_memory(worker, step),
            worker.targets_missed_since_ms > 0,
            _count_slow_runs(worker) >= _MAX_SLOW_RUNS,
            -min(
                _compute_tolerated_percent(
                    step, _count_slow_runs(worker) + 1, worker, state
                ),
                _get_idle_percent(step, worker),
            ),
            -_interference.get_idle(worker),
        )
        if best is None or rank < best_rank:
            best = worker
            best_rank = rank
    if best is None:
        return None
    min_pace = _get_min_pace(best, _count_slow_runs(best) + 1, state)
    return SlowStart(best, max(_get_pace(-best_rank[4]), min_pace))


def find_refusal(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> Refusal | _feasibility.Obstacle | None:
    """Return why a worker takes no slow start of a task, or None."""
    if _own_misses.is_closed(worker, state):
        return Refusal.TARGET_MISSED
    if _has_slow_runs(worker, state):
        return Refusal.SLOW_RUNS
    min_pace = _get_min_pace(worker, _count_slow_runs(worker) + 1, state)
    return _feasibility.find_obstacle(
        worker,
        job,
        task,
        step,
        state,
        has_waited=True,
        pace_percent=min_pace,
    )


def _has_slow_runs(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker has as many slow-started runs as it may have.

    Runs that pause hold no place once no jobs arrive, but their memory.
    """
    total = sum(one.is_slow_start for one in worker.fillers.values())
    if not _has_no_arrivals(state):
        return total >= _MAX_SLOW_RUNS_WITH_ARRIVALS
    is_crowded = _count_slow_runs(worker) >= _MAX_CROWDED_RUNS
    return is_crowded or total >= _MAX_TOTAL_RUNS


def _get_min_pace(worker: Worker, count: int, state: SchedulerState) -> int:
    """Return the pace that is allowed even if the slack tolerates none.

    Parameters
    ----------
    worker : Worker
        The worker, with its last miss beside slow starts.
    count : int
        The number of slow-started runs that share it.
    state : SchedulerState
        Holds the time.
    """
    missed_ago_ms = state.now_ms - worker.slow_miss_ms
    is_recent = worker.slow_miss_ms > 0 and missed_ago_ms < _RAISE_AFTER_MS
    if is_recent:
        return _LOWEST_PACE_PERCENT
    is_crowded = count > _MAX_SLOW_RUNS
    return _CROWDED_PACE_PERCENT if is_crowded else _MIN_PACE_PERCENT


def note_miss(worker: Worker, state: SchedulerState) -> None:
    """Record a miss on a worker if slow starts there may have caused it.

    At the same pace they would cause the next one as soon as they go on.
    """
    if _count_slow_runs(worker) and not _own_misses.is_own_miss(worker, state):
        worker.slow_miss_ms = state.now_ms


def _count_slow_runs(worker: Worker) -> int:
    """Return the number of slow-started runs that don't pause on a worker."""
    return sum(
        one.is_slow_start and one.target_pace_percent > 0
        for one in worker.fillers.values()
    )


def _compute_tolerated_percent(
    step: Step, count: int, worker: Worker, state: SchedulerState
) -> float:
    """Return the pace that is tolerated if a number of such runs share it."""
    return _PERCENT * _interference.compute_tolerated_pace(
        step, count, worker, state
    )


def _get_idle_percent(step: Step, worker: Worker) -> float:
    """Return the pace for which the idle processors of a worker suffice."""
    wanted = max(1, step.size.cpu_millicores)
    return _PERCENT * _interference.get_idle(worker) / wanted


def _get_pace(tolerated_percent: float) -> int:
    """Return the highest available pace that is tolerated, or 0."""
    return max(
        (pace for pace in _PACES_PERCENT if pace <= tolerated_percent),
        default=0,
    )


def adjust_pace(
    attempt: Attempt, worker: Worker, ratio: float, state: SchedulerState
) -> int:
    """Return the new pace of a slow-started run.

    Parameters
    ----------
    attempt : Attempt
        The run.
    worker : Worker
        The worker of the run.
    ratio : float
        The worst ratio of a tail to its target on the worker.
    state : SchedulerState
        Holds the model.
    """
    if worker.targets_missed_since_ms:
        return _own_misses.get_pace_percent(worker, state)
    count = _count_slow_runs(worker)
    if not attempt.target_pace_percent:
        if count >= _MAX_CROWDED_RUNS:
            return 0
        # It would go on beside those that are counted.
        count += 1
    idle_percent = _get_idle_percent(attempt.step, worker)
    tolerated = _get_pace(
        min(
            _compute_tolerated_percent(attempt.step, count, worker, state),
            attempt.target_pace_percent + idle_percent,
        )
    )
    min_pace = _get_min_pace(worker, count, state)
    if ratio > _TIGHT_RATIO:
        return max(tolerated, min_pace)
    return max(tolerated, attempt.target_pace_percent, min_pace)


def can_start_elsewhere(attempt: Attempt, context: Context) -> bool:
    """Whether another worker is the best one for a run that is paused here."""
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return False
    slow_start = choose(*found, attempt.step, context.state)
    return (
        slow_start is not None
        and slow_start.worker.worker_id != attempt.worker_id
    )
