"""Learns how long the tasks of a queue run, given what callers estimate.

Estimates are rough: the run times of a queue's tasks spread less than the
estimates do, and include the time until an end is reported. So for each queue
a straight line between the logarithms of both is fitted to the runs that were
completed.
"""

from __future__ import annotations

import math
import typing as t

from tulippin.jobs.records import RunTimeRecord
from tulippin.jobs.state import Job, SchedulerState
from tulippin.jobs.types import Step

# Weight of a new run in the moving mean of its queue, and in its fit. A fit
# needs more runs than a mean, and all tasks of a step have the same estimate.
_MEAN_WEIGHT: t.Final = 0.05
_FIT_WEIGHT: t.Final = 0.005
# Added to variance and covariance of a fit: until estimates have been seen to
# differ, run times are taken to be proportional to them.
_PRIOR_VARIANCE: t.Final = 0.02
# Runs from which on a fit is used.
_MIN_RUNS: t.Final = 20
# Predictions stay within this factor of the mean.
_MAX_FACTOR: t.Final = 8.0


def learn(job: Job, step: Step, run_ms: int, state: SchedulerState) -> None:
    """Update what is known of a queue with a run that was completed."""
    name = job.queue.name
    mean_ms = state.run_times_ms.get(name, float(run_ms))
    state.run_times_ms[name] = mean_ms + _MEAN_WEIGHT * (run_ms - mean_ms)
    if run_ms > 0 and step.estimated_ms > 0:
        known = state.run_time_fits.get(name, RunTimeRecord())
        state.run_time_fits[name] = _add_run(known, step.estimated_ms, run_ms)


def _add_run(
    known: RunTimeRecord, estimated_ms: float, run_ms: float
) -> RunTimeRecord:
    """Return a fit with one more run, whose weight declines to a constant."""
    count = known.count + 1
    weight = max(1 / count, _FIT_WEIGHT)
    estimate_change = math.log(estimated_ms) - known.log_estimate
    run_change = math.log(run_ms) - known.log_run
    rest = 1 - weight
    return RunTimeRecord(
        count,
        known.log_estimate + weight * estimate_change,
        known.log_run + weight * run_change,
        rest * (known.variance + weight * estimate_change**2),
        rest * (known.covariance + weight * estimate_change * run_change),
    )


def get_mean_ms(job: Job, state: SchedulerState) -> float:
    """Return the mean run time of the tasks of a job's queue.

    Until a run of the queue has been completed, the estimate in the request is
    used: with a run time of zero every job would count as late at once.
    """
    mean_ms = state.run_times_ms.get(job.queue.name, 0.0)
    return mean_ms or max(step.estimated_ms for step in job.request.steps)


def predict_ms(job: Job, step: Step, state: SchedulerState) -> float:
    """Return the expected run time of a step's tasks."""
    fit = state.run_time_fits.get(job.queue.name)
    if fit is None or fit.count < _MIN_RUNS or step.estimated_ms <= 0:
        return get_mean_ms(job, state)
    slope = (fit.covariance + _PRIOR_VARIANCE) / (
        fit.variance + _PRIOR_VARIANCE
    )
    change = math.log(step.estimated_ms) - fit.log_estimate
    limit = math.log(_MAX_FACTOR)
    exponent = max(-limit, min(limit, slope * change))
    return math.exp(fit.log_run + exponent)


def predict_chains_ms(job: Job, state: SchedulerState) -> tuple[float, ...]:
    """Return for each step the time of the longest chain from it on."""
    steps = job.request.steps
    own_ms = [predict_ms(job, step, state) for step in steps]
    chains_ms = list(own_ms)
    for index in reversed(range(len(steps))):
        for predecessor in steps[index].after:
            chains_ms[predecessor] = max(
                chains_ms[predecessor], own_ms[predecessor] + chains_ms[index]
            )
    return tuple(chains_ms)
