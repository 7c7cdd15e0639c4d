"""A run for each job that has had none for long, begun at a slow pace.

Most workers refuse an opportunistic task by what the model of neighbours
expects. A job of an image that disturbs many would wait for as long as
they serve: at the end of days whose last job came 16 s before, up to nine
jobs had had nothing running for up to 30 s, beside half of all processors
idle. And what is never started is never observed, so that an expectation
that is too high stays.

So each job has a claim to one run: it is begun on the worker that bears
most of it, at the pace that the slack there allows, few at a time on each
worker. It yields: other tasks are placed as if it were not there, it goes
on at the pace that they leave, and it rests as soon as a target is missed.
What it does is observed at a pace that leaves the targets kept, and so
what is expected of its image is put to the test.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _attempts,
    _crashes,
    _feasibility,
    _interference,
    _ready,
    _unseen,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Attempt, Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# The users bear 3 s without any run of a job beside processors that are
# mostly idle, as their workers see it: an end is read up to 0.4 s late, and
# an order to start takes as long. With 2.5 s a job was without a run for 3 s.
_LULL_WAIT_MS: t.Final = 1500
# While jobs come, those that can be in time go first, and each run that is
# begun slowly costs its neighbours something: with 1.5 s at all times targets
# were missed for 8,022 s in 18 days, in place of 6,423 s without any such run.
_WAIT_MS: t.Final = 2500
# No job has come for so long.
_LULL_MS: t.Final = 2500
# The paces that are set. Few, as each change is an order to the worker; the
# slowest lets a pair that adds 0.4 to a slowdown add 0.04, below the spread
# of the tails, and still shows an expectation that is ten times too high.
_PACES_PERCENT: t.Final = (100, 50, 20, 10)
_SLOWEST_PERCENT: t.Final = 10
_PERCENT: t.Final = 100
# Below this part of the targets a run keeps its pace, also where the model
# expects more by now than it did. Pacing up whenever the tails are below half
# of their targets, whatever is expected, missed targets for 7,583 s in 18 days
# in place of 7,190 s. Above it what the model expects counts, down to the
# slowest pace: a tail that is high by its own load would keep a run at rest.
_TIGHT_RATIO: t.Final = 0.8
# The most on one worker. 48 jobs waited so on 33 workers; with four on each of
# six workers the last job waits for 2.8 s, where three of each let it wait for
# 6.6 s, and at 10% six such runs press less than one at full pace.
_MOST_SLOW: t.Final = 6
# While jobs come, such runs are few, and only where some of a task is borne.
_MOST_SLOW_BESIDE_OTHERS: t.Final = 1
# How many tasks are weighed against all workers in one look, those that
# have waited longest and some of the others: twelve take some 1 ms beside
# 33 workers.
_FIRST_TRIES: t.Final = 8
_TURN_TRIES: t.Final = 4


@attrs.frozen
class SlowStart:
    """Where a task is begun, and at which pace."""

    worker: Worker
    pace_percent: int


def list_waiting(state: SchedulerState) -> list[tuple[Job, Task]]:
    """Return a task of each step whose job has waited too long for a run.

    The first is of the job that has had nothing running for the longest.
    """
    wait_ms = _LULL_WAIT_MS if _is_lull(state) else _WAIT_MS
    found: list[tuple[int, Job, Task]] = []
    for kind, tasks in state.ready_idle.items():
        job = state.jobs[kind[0]]
        task = _find_startable(job, tasks.values(), state)
        # Members of a gang work only together, and not slowly.
        step = job.request.steps[kind[2]]
        if task is None or step.gang or _unseen.holds_back(job, step):
            continue
        idle_ms = _ready.get_idle_ms(job, task, state)
        if idle_ms >= wait_ms:
            found.append((idle_ms, job, task))
    found.sort(key=lambda one: -one[0])
    return [(job, task) for _, job, task in found]


def _is_lull(state: SchedulerState) -> bool:
    """Whether no job comes any more."""
    return state.now_ms - state.arrived_ms >= _LULL_MS


def take_turn(
    waiting: list[tuple[Job, Task]], state: SchedulerState
) -> list[tuple[Job, Task]]:
    """Return those to be weighed now: the first ones, and some in turn.

    What fits nowhere waits the longest: without turns a dozen such tasks
    keep all others from being looked at.
    """
    first = waiting[:_FIRST_TRIES]
    others = waiting[_FIRST_TRIES:]
    if not others:
        return first
    begin = state.slow_turn % len(others)
    state.slow_turn = begin + _TURN_TRIES
    return first + (others[begin:] + others[:begin])[:_TURN_TRIES]


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
    """Return the worker that bears most of a task, if one takes it at all.

    Workers where the task failed come last, and the idlest goes first
    among those that bear the same. Where none bears any, the one that is
    closest to it does, once no job comes any more.
    """
    most_slow = _MOST_SLOW if _is_lull(state) else _MOST_SLOW_BESIDE_OTHERS
    best: Worker | None = None
    best_rank = (True, 0.0, 0.0)
    for worker in state.workers.values():
        if worker.missed_since_ms or count_slow(worker) >= most_slow:
            continue
        if not _feasibility.is_feasible(
            worker, job, task, step, state, has_waited=True
        ):
            continue
        rank = (
            worker.worker_id in task.avoided,
            -_compute_borne_percent(
                step, count_slow(worker) + 1, worker, state
            ),
            -_interference.get_idle(worker),
        )
        if best is None or rank < best_rank:
            best = worker
            best_rank = rank
    if best is None:
        return None
    pace_percent = max(_get_pace(-best_rank[1]), _get_least_pace(state))
    return SlowStart(best, pace_percent) if pace_percent else None


def _get_least_pace(state: SchedulerState) -> int:
    """Return the pace that a run has also where none is borne."""
    return _SLOWEST_PERCENT if _is_lull(state) else 0


def count_slow(worker: Worker) -> int:
    """Return how many runs on a worker yield to all others."""
    return sum(one.is_slow_start for one in worker.fillers.values())


def _compute_borne_percent(
    step: Step, count: int, worker: Worker, state: SchedulerState
) -> float:
    """Return the pace that is borne of each of so many such runs."""
    return _PERCENT * _interference.compute_borne_share(
        step, count, worker, state
    )


def _get_pace(borne_percent: float) -> int:
    """Return the highest of the paces that is borne, or 0."""
    return max(
        (pace for pace in _PACES_PERCENT if pace <= borne_percent), default=0
    )


def adjust_pace(
    attempt: Attempt, worker: Worker, ratio: float, state: SchedulerState
) -> int:
    """Return the pace of a run that was begun so, by its worker's tails.

    Parameters
    ----------
    attempt : Attempt
        The run.
    worker : Worker
        Where it is.
    ratio : float
        The worst tail there over its target.
    state : SchedulerState
        Holds the model.
    """
    if worker.missed_since_ms:
        return 0
    borne = _get_pace(
        _compute_borne_percent(attempt.step, count_slow(worker), worker, state)
    )
    if ratio > _TIGHT_RATIO:
        return max(borne, _get_least_pace(state))
    return max(borne, attempt.wanted_percent, _SLOWEST_PERCENT)


def has_place_elsewhere(attempt: Attempt, context: Context) -> bool:
    """Whether another worker would begin a run that rests here."""
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return False
    place = choose(*found, attempt.step, context.state)
    return place is not None and place.worker.worker_id != attempt.worker_id
