"""Learns how long the tasks of a queue run, given what callers estimate.

Estimates are rough: the run times of a queue's tasks spread less than the
estimates do, and include the time until an end is reported. So for each queue
a straight line between the logarithms of both is fitted to the runs that were
completed. How far the runs of a queue and image differ from that is learned as
a distribution; a new owner begins without it.
"""

from __future__ import annotations

import math
import typing as t

import attrs

from tulippin.jobs._rounding import round_figure
from tulippin.jobs.job_forecast import compute_chains_ms
from tulippin.jobs.records import RunTimeRecord
from tulippin.jobs.run_ratios import MIN_RUNS, RunRatios
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
# Limit of the mean ratio of a queue, as a logarithm.
_MAX_LOG_RATIO: t.Final = math.log(1000)
# Number of queues and images whose distributions are kept, at 20 KB each;
# callers choose the names of images.
_MAX_DISTRIBUTIONS: t.Final = 256
# The image under which all runs of a queue are recorded.
_ANY_IMAGE: t.Final = ''
# Share of the runs that take no longer than the upper quantile. The tail is
# left out, as the objective grows with such a run. With a burst of 2.6 times
# the load, 0.7 yields 0.715 of the possible value, and 0.9 yields 0.697.
_UPPER_SHARE: t.Final = 0.7
_MEDIAN_SHARE: t.Final = 0.5
# Stands for a distribution of which too little is known.
_UNKNOWN: t.Final = RunRatios()


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


def get_mean_ratio(queue_name: str, state: SchedulerState) -> float | None:
    """Return the mean run time of a queue for each millisecond of estimate.

    Returns
    -------
    float, optional
        None until enough runs have been completed.
    """
    fit = state.run_time_fits.get(queue_name)
    if fit is None or fit.count < _MIN_RUNS:
        return None
    exponent = fit.log_run - fit.log_estimate
    limited = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, exponent))
    return round_figure(math.exp(limited))


def learn_ratio(
    job: Job, step: Step, worked_ms: float, state: SchedulerState
) -> None:
    """Record a run that was completed in the distributions of its kind."""
    predicted_ms = predict_ms(job, step, state)
    if predicted_ms <= 0 or worked_ms <= 0:
        return
    for image in dict.fromkeys((step.image, _ANY_IMAGE)):
        key = job.queue.name, image
        ratios = state.run_ratios.get(key)
        if ratios is None:
            if len(state.run_ratios) >= _MAX_DISTRIBUTIONS:
                continue
            ratios = state.run_ratios[key] = RunRatios()
        ratios.record(worked_ms / predicted_ms)


@attrs.frozen
class RunTimes:
    """Expected run times of the tasks of a step.

    Parameters
    ----------
    usual_ms, upper_ms : float
        The median, and an upper quantile.
    """

    usual_ms: float
    upper_ms: float
    _predicted_ms: float
    _ratios: RunRatios

    def get_total_ms(self, worked_ms: float) -> float:
        """Return the expected time of a run that has worked for some time.

        Up to the upper quantile it is the usual time, beyond it the mean of
        the runs that took longer.
        """
        if worked_ms <= self.upper_ms or self._predicted_ms <= 0:
            return max(self.usual_ms, worked_ms)
        ratio = worked_ms / self._predicted_ms
        expected_ms = self._ratios.get_expected(ratio) * self._predicted_ms
        return max(worked_ms, expected_ms)


def predict(job: Job, step: Step, state: SchedulerState) -> RunTimes:
    """Return the expected run times of a step's tasks."""
    predicted_ms = predict_ms(job, step, state)
    ratios = _find_ratios(job, step, state)
    return RunTimes(
        predicted_ms * ratios.get_quantile(_MEDIAN_SHARE),
        predicted_ms * ratios.get_quantile(_UPPER_SHARE),
        predicted_ms,
        ratios,
    )


def _find_ratios(job: Job, step: Step, state: SchedulerState) -> RunRatios:
    """Return the distribution of a queue and image, or else of the queue."""
    for image in (step.image, _ANY_IMAGE):
        ratios = state.run_ratios.get((job.queue.name, image))
        if ratios is not None and ratios.run_count >= MIN_RUNS:
            return ratios
    return _UNKNOWN


def predict_chains_ms(job: Job, state: SchedulerState) -> tuple[float, ...]:
    """Return for each step the time of the longest chain from it on."""
    steps = job.request.steps
    own_ms = [predict_ms(job, step, state) for step in steps]
    return compute_chains_ms(steps, own_ms)
