"""Pauses the opportunistic runs that cost their neighbours more than they earn.

Collects for a worker what ``_harm_budget`` decides from: the tasks over their
targets, the excess that the interference model attributes to each run beside
them, and what the job of each run earns by it.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _harm_budget,
    _interference,
    _ranking,
    _ready_queues,
    _run_times,
)
from tulippin.jobs.job_values import LATE_VALUE
from tulippin.jobs.state import Attempt, Job, SchedulerState, Worker

# Value of a job by the best outcome that it can still reach.
_OUTCOME_VALUES: t.Final = {
    _ranking.Lateness.IN_TIME: 1.0,
    _ranking.Lateness.LATE: LATE_VALUE,
    _ranking.Lateness.WORTHLESS: 0.0,
}
# Time until the tails show the effect of a pause: 100 ms until it is in force,
# and half a second that a tail covers. Until then no further run is chosen.
_SETTLING_MS: t.Final = 600
# Remaining time of a run below which a pause takes effect too late.
_ENDING_MS: t.Final = 500
# Excess to remove for a miss that has to end, where the model expects its end.
_MIN_FORCED_EXCESS: t.Final = 0.02
_PERCENT: t.Final = 100
# A miss that a new owner sees within this time may be older.
_INHERITED_MISS_MS: t.Final = 1500
# Time after the last run has ended in which a tail recovers. A miss that goes
# on for longer is not caused by neighbours.
_MAX_RECOVERY_MS: t.Final = 2000


@attrs.define
class Outcome:
    """What was decided at a report, for the log."""

    shedding: _harm_budget.Shedding = _harm_budget.Shedding()
    shed: list[str] = attrs.field(factory=list)
    resumed: list[str] = attrs.field(factory=list)
    burn_rate: float = 0.0


def update(
    worker: Worker,
    fillers: list[Attempt],
    missed: list[Attempt],
    state: SchedulerState,
    *,
    may_raise: bool,
) -> Outcome:
    """Choose which runs on a worker pause, at a new report.

    Parameters
    ----------
    worker : Worker
        Holds the budget, in which the paused runs are recorded.
    fillers : list of Attempt
        Its opportunistic runs that are confirmed to be running.
    missed : list of Attempt
        The tasks over their targets.
    state : SchedulerState
        Holds the model and the jobs.
    may_raise : bool
        Whether paces were left unchanged for long enough to raise one.
    """
    budget = worker.harm_budget
    _record(worker, fillers, missed, state)
    for run_id in budget.shed.keys() - worker.fillers.keys():
        del budget.shed[run_id]
    budget.is_all_paused = budget.is_all_paused and any(
        not one.is_cause for one in budget.shed.values()
    )
    if not fillers:
        return Outcome()
    # Slow-started runs pause at the first miss, and resume by their own rule.
    regular = [one for one in fillers if not one.is_slow_start]
    outcome = Outcome(
        burn_rate=max(
            (one.burn_rate for one in budget.misses.values()), default=0.0
        )
    )
    if must_pause_all(worker, state):
        outcome.shed = pause_all(worker, regular, state)
    elif missed:
        _shed_causes(worker, regular, missed, outcome, state)
    if may_raise and budget.shed and not outcome.shed:
        _resume(worker, regular, outcome, state)
    return outcome


def is_recovering(worker: Worker, state: SchedulerState) -> bool:
    """Whether misses go on that runs have caused which ended a moment ago.

    Runs that start before these misses are over prolong them.
    """
    budget = worker.harm_budget
    alone_ms = state.now_ms - budget.exposed_ms
    return bool(budget.misses) and alone_ms < _MAX_RECOVERY_MS


def must_pause_all(worker: Worker, state: SchedulerState) -> bool:
    """Whether all opportunistic runs on a worker have to pause now."""
    return worker.harm_budget.must_pause_all(
        state.now_ms, state.config.features.harm_limit_ms
    )


def pause_all(
    worker: Worker, fillers: list[Attempt], state: SchedulerState
) -> list[str]:
    """Record all runs as paused; return the names of those that were not."""
    worker.harm_budget.is_all_paused = True
    running = [
        one for one in fillers if _get_id(one) not in worker.harm_budget.shed
    ]
    return [
        _pause(attempt, _make_neighbour(attempt, worker, state), worker, state)
        for attempt in running
    ]


def is_paused(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run pauses for the tasks beside it."""
    return _get_id(attempt) in worker.harm_budget.shed


def is_cause(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run pauses because the model attributes a miss to it."""
    shed = worker.harm_budget.shed.get(_get_id(attempt))
    return shed is not None and shed.is_cause


def _get_id(attempt: Attempt) -> _harm_budget.RunId:
    return attempt.key, attempt.run


def _record(
    worker: Worker,
    fillers: list[Attempt],
    missed: list[Attempt],
    state: SchedulerState,
) -> None:
    """Record the reading, and count what was missed and not earned."""
    budget = worker.harm_budget
    now_ms = state.now_ms
    is_inherited = now_ms - state.ownership.taken_ms < _INHERITED_MISS_MS
    exposed_ms = min((one.sent_ms for one in fillers), default=now_ms)
    if fillers:
        budget.exposed_ms = now_ms
    else:
        # No new miss can begin.
        missed = [one for one in missed if _get_id(one) in budget.misses]
    if is_inherited:
        exposed_ms = now_ms - state.config.features.harm_limit_ms
        budget.read_ms = 0
    elapsed_ms = budget.record(
        {_get_id(one): one.step.image for one in missed},
        now_ms,
        exposed_ms,
        falling=[
            run_id
            for run_id, one in worker.serving.items()
            if one.load > one.step.target_ms
        ],
    )
    if missed and any(one.pace_percent != 0 for one in fillers):
        state.count('harm_missed_ms', elapsed_ms * len(missed))
    if budget.shed:
        lost = sum(one.gain for one in budget.shed.values()) * elapsed_ms
        state.count('harm_shed_core_ms', round(lost))


def _shed_causes(
    worker: Worker,
    fillers: list[Attempt],
    missed: list[Attempt],
    outcome: Outcome,
    state: SchedulerState,
) -> None:
    """Pause the runs whose pause is worth more than their gain."""
    if not _has_settled(worker, state):
        return
    neighbours = [
        _make_neighbour(attempt, worker, state)
        for attempt in fillers
        if not is_paused(attempt, worker)
    ]
    outcome.shedding = _harm_budget.choose_shed(
        _make_needs(worker, missed, state), neighbours
    )
    by_id = {_get_id(attempt): attempt for attempt in fillers}
    outcome.shed = [
        _pause(by_id[one.run_id], one, worker, state)
        for one in outcome.shedding.neighbours
    ]


def _has_settled(worker: Worker, state: SchedulerState) -> bool:
    """Whether the tails show the effect of all earlier pauses.

    A pause that the worker has not confirmed is not in force.
    """
    budget = worker.harm_budget
    if state.now_ms - budget.shed_ms < _SETTLING_MS:
        return False
    return all(worker.fillers[one].pace_percent == 0 for one in budget.shed)


def _pause(
    attempt: Attempt,
    neighbour: _harm_budget.Neighbour,
    worker: Worker,
    state: SchedulerState,
) -> str:
    budget = worker.harm_budget
    budget.shed[_get_id(attempt)] = _harm_budget.Shed(
        neighbour.gain, is_cause=bool(neighbour.excesses)
    )
    budget.shed_ms = state.now_ms
    state.count('harm_runs_shed')
    return attempt.key.format()


def _resume(
    worker: Worker,
    fillers: list[Attempt],
    outcome: Outcome,
    state: SchedulerState,
) -> None:
    """Resume paused runs that the tails and the model allow."""
    budget = worker.harm_budget
    paused = [one for one in fillers if is_paused(one, worker)]
    resumed = _harm_budget.choose_resumed(
        [_make_neighbour(one, worker, state) for one in paused],
        _interference.get_slack(worker, state),
        budget.list_disturbed(state.now_ms),
        running_count=len(fillers) - len(paused),
        ignores_slack=_harm_budget.has_long_met(
            worker.targets_met_since_ms, state.now_ms
        ),
    )
    for run_id in resumed:
        del budget.shed[run_id]
        outcome.resumed.append(run_id[0].format())


def _make_needs(
    worker: Worker, missed: list[Attempt], state: SchedulerState
) -> list[_harm_budget.Need]:
    """Return what the tasks over their targets need, by image."""
    budget = worker.harm_budget
    limit_ms = state.config.features.harm_limit_ms
    needs: dict[str, _harm_budget.Need] = {}
    for attempt in missed:
        image = attempt.step.image
        run_id = _get_id(attempt)
        known = needs.get(image, _harm_budget.Need(image, 0.0, 0.0))
        is_forced = budget.is_forced(run_id, state.now_ms, limit_ms)
        excess = _interference.get_missing_slack(attempt, worker, state)
        if is_forced:
            excess = max(excess, _MIN_FORCED_EXCESS)
        if excess <= 0:
            continue
        cost = _harm_budget.compute_cost(
            attempt.step.size.cpu_millicores, budget.misses[run_id].burn_rate
        )
        needs[image] = _harm_budget.Need(
            image,
            max(known.excess, excess),
            known.cost + cost,
            known.is_forced or is_forced,
        )
    return list(needs.values())


def _make_neighbour(
    attempt: Attempt, worker: Worker, state: SchedulerState
) -> _harm_budget.Neighbour:
    return _harm_budget.Neighbour(
        _get_id(attempt),
        _compute_gain(attempt, state),
        _interference.get_disturbances(attempt, worker, state),
        _ends_soon(attempt, state),
    )


def _ends_soon(attempt: Attempt, state: SchedulerState) -> bool:
    """Whether a run ends before its pause would show in any tail."""
    job = state.jobs.get(attempt.key.job_id)
    if job is None:
        return False
    run_ms = _run_times.predict_ms(job, attempt.step, state)
    left_percent = _PERCENT - attempt.progress_percent
    return run_ms * left_percent / _PERCENT < _ENDING_MS


def _compute_gain(attempt: Attempt, state: SchedulerState) -> float:
    """Return what the job of a run earns by it per second."""
    job = state.jobs.get(attempt.key.job_id)
    if job is None:
        return 0.0
    step_key = _ready_queues.get_step_key(attempt.key)
    lateness = _ranking.get_lateness(job, step_key, state)
    return _harm_budget.compute_gain(
        attempt.step.size.cpu_millicores,
        _OUTCOME_VALUES[lateness],
        *_sum_work(job, state),
    )


def _sum_work(job: Job, state: SchedulerState) -> tuple[float, float]:
    """Return the work of a job and what is left of it, in core-ms."""
    total = 0.0
    left = 0.0
    for (_, number), count in job.remaining.items():
        step = job.request.steps[number]
        work = step.size.cpu_millicores * _run_times.predict_ms(
            job, step, state
        )
        total += work * step.task_count
        left += work * count
    return total, left
