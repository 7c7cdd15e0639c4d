"""Decides whether a new job would be completed too late to be of use.

A job that is completed after three times its objective has no value, but uses
capacity that others need. It is rejected at once, and its caller is told when
to come back. The decision uses only what the owners of all units publish in
their leases, and does no I/O.

A wrong rejection costs the caller its job, and a missed one costs little. So
a job is rejected only if two predictions agree, each by a margin: that it would
end too late as the last one in its queue, and that it would not be in time if
only jobs that can still be in time preceded it, as they are placed first.
Nothing is rejected if any figure is old or unknown.
"""

from __future__ import annotations

import collections
import math
import typing as t

import attrs

from tulippin.jobs._retry_schedule import RetrySchedule, get_limit_share
from tulippin.jobs.job_forecast import compute_chains_ms
from tulippin.jobs.job_values import MAX_OBJECTIVE_MULTIPLE
from tulippin.jobs.records import QueueBacklog
from tulippin.jobs.types import JobRequest, Queue

_MILLICORES: t.Final = 1000
_MS: t.Final = 1000
# Owners renew their leases every 0.5 s, and the feed is read every 0.45 s.
MAX_LEASE_AGE_MS: t.Final = 1500
# Rejections start above this multiple of the time for which a job has value.
# Its objective is computed from its caller's rough estimates.
_START_MARGIN: t.Final = 1.25
# The multiple while jobs of the queue are being rejected.
_KEEP_MARGIN: t.Final = 1.1
# A job may still be in time if the jobs that can be in time delay it to less
# than this multiple of its objective: under overload some of them are passed
# over, and estimates are wrong by up to 1.9 times.
_MAX_TIMELY_MULTIPLE: t.Final = 2
# Rejections end below this multiple of the objective.
_END_MULTIPLE: t.Final = 2
# Weight of a new job in the means of its queue.
_MEAN_WEIGHT: t.Final = 0.05
# Time constant of the work that is offered to this instance.
_OFFER_DECAY_MS: t.Final = 10_000
# Upper limit of the saved-up share of rejections, in jobs.
_MAX_CREDIT: t.Final = 2.0
# A caller that returns later than this after its first call begins anew: jobs
# have value for some 30 s, and `Retry-After` is at most 10 s.
_MAX_RETURN_MS: t.Final = 60_000
# Each entry takes some 100 bytes.
_MAX_IDS: t.Final = 10_000


@attrs.frozen
class UnitLoad:
    """What is known of one unit when a job arrives.

    Parameters
    ----------
    number : int
        The number of the unit.
    lease_age_ms : int
        Time since the lease was last seen to change.
    seen_ms : int
        When that was.
    is_settled : bool
        Whether the unit is loaded and its owner has had it for some seconds.
    is_usable : bool
        Whether the unit has workers that accept tasks.
    may_start : bool
        Whether the first tasks of the job could start there at once.
    backlogs : dict of str to QueueBacklog, optional
        What the owner published by queue; None if it doesn't.
    """

    number: int
    lease_age_ms: int
    seen_ms: int
    is_settled: bool = True
    is_usable: bool = True
    may_start: bool = False
    backlogs: t.Mapping[str, QueueBacklog] | None = None


@attrs.frozen
class Forecast:
    """The backlog that a job of one queue would find, over all units.

    Parameters
    ----------
    waiting_core_ms, timely_core_ms : float
        The work before it, and the part of it that can still be in time.
    rate_core_ms_per_s : float
        How much of it is completed per second.
    run_ratio : float
        Mean run time for each millisecond of estimate.
    lease_age_ms : int
        Age of the oldest lease used.
    """

    waiting_core_ms: float
    timely_core_ms: float
    rate_core_ms_per_s: float
    run_ratio: float
    lease_age_ms: int


@attrs.frozen
class Outlook:
    """When a job would be completed, counted from now.

    Parameters
    ----------
    chain_ms, objective_ms : float
        Its longest chain of steps, and its objective.
    core_ms : float
        Its work.
    last_ms : float
        When it would be completed as the last one in its queue.
    timely_ms : float
        When it would be if only jobs that can still be in time preceded it.
    elapsed_ms : int
        Time since the first call, if that was rejected.
    """

    chain_ms: float
    objective_ms: float
    core_ms: float
    last_ms: float
    timely_ms: float
    elapsed_ms: int = 0

    @property
    def allowed_ms(self) -> float:
        """The time after which the job has no value."""
        value_ms = MAX_OBJECTIVE_MULTIPLE * self.objective_ms
        return max(0, value_ms - self.elapsed_ms)

    @property
    def required_share(self) -> float:
        """The share of jobs to reject for the backlog to be acceptable."""
        return max(0, 1 - _END_MULTIPLE * self.objective_ms / self.last_ms)

    def is_too_late(self, margin: float) -> bool:
        """Whether the job would have no value, by a margin."""
        timely_limit_ms = (
            _MAX_TIMELY_MULTIPLE * self.objective_ms - self.elapsed_ms
        )
        value_limit_ms = (
            margin * MAX_OBJECTIVE_MULTIPLE * self.objective_ms
            - self.elapsed_ms
        )
        is_late_as_last = self.last_ms > value_limit_ms
        return is_late_as_last and self.timely_ms > timely_limit_ms


@attrs.frozen
class Rejection:
    """A job that is to be rejected, unless its id has been accepted before."""

    job_id: str
    queue: Queue
    outlook: Outlook
    forecast: Forecast

    def describe(self) -> dict[str, t.Any]:
        """Return log fields on what the decision is based on."""
        return {
            'queue': self.queue.name,
            'predicted_ms': round(self.outlook.last_ms),
            'timely_ms': round(self.outlook.timely_ms),
            'allowed_ms': round(self.outlook.allowed_ms),
            'backlog_core_ms': round(self.forecast.waiting_core_ms),
            'rate_core_ms_per_s': round(self.forecast.rate_core_ms_per_s),
            'lease_age_ms': self.forecast.lease_age_ms,
        }


@attrs.define
class SentWork:
    """The work that this instance sent to each unit since its lease.

    ``since_ms`` says by unit when the lease was seen that the sums start from,
    ``core_ms`` holds the sums by queue.
    """

    since_ms: dict[int, int] = attrs.field(factory=dict)
    core_ms: dict[int, collections.Counter[str]] = attrs.field(factory=dict)

    def add(self, load: UnitLoad, queue_name: str, core_ms: float) -> None:
        """Add the work of a job to a unit."""
        self._refresh(load)
        self.core_ms[load.number][queue_name] += core_ms

    def get(self, load: UnitLoad, queue_name: str) -> float:
        """Return the work of a queue that the unit's lease doesn't include."""
        self._refresh(load)
        return self.core_ms[load.number][queue_name]

    def _refresh(self, load: UnitLoad) -> None:
        """Reset the sums of a unit if a newer lease includes them."""
        if self.since_ms.get(load.number) != load.seen_ms:
            self.since_ms[load.number] = load.seen_ms
            self.core_ms[load.number] = collections.Counter()


@attrs.define
class QueueControl:
    """What an instance remembers of the jobs of one queue.

    Parameters
    ----------
    is_rejecting : bool
        Whether rejections have started and not ended.
    credit : float
        The share of jobs to reject, summed over calls, less those rejected.
    mean_core_ms, mean_objective_ms, mean_chain_ms : float
        Moving means over the jobs offered to the instance.
    offered_core_ms, offered_at_ms : float, int
        Decaying sum of the offered work, and when it was last updated.
    returns : RetrySchedule
        The work of rejected jobs by the time of their return.
    """

    is_rejecting: bool = False
    credit: float = 0.0
    mean_core_ms: float = 0.0
    mean_objective_ms: float = 0.0
    mean_chain_ms: float = 0.0
    offered_core_ms: float = 0.0
    offered_at_ms: int = 0
    returns: RetrySchedule = attrs.field(factory=RetrySchedule)

    def note_offer(self, outlook: Outlook, now_ms: int) -> None:
        """Update the means with a job that a caller offers."""
        weight = _MEAN_WEIGHT if self.mean_core_ms else 1.0
        self.mean_core_ms += weight * (outlook.core_ms - self.mean_core_ms)
        self.mean_objective_ms += weight * (
            outlook.objective_ms - self.mean_objective_ms
        )
        self.mean_chain_ms += weight * (outlook.chain_ms - self.mean_chain_ms)
        age_ms = max(0, now_ms - self.offered_at_ms)
        self.offered_core_ms *= math.exp(-age_ms / _OFFER_DECAY_MS)
        self.offered_core_ms += outlook.core_ms
        self.offered_at_ms = now_ms

    def update(self, outlook: Outlook) -> None:
        """Start or end rejections by the prediction for a usual job."""
        usual_ms = outlook.last_ms - outlook.chain_ms + self.mean_chain_ms
        multiple = usual_ms / self.mean_objective_ms
        if multiple < _END_MULTIPLE:
            self.is_rejecting = False
            self.credit = 0.0
        elif multiple > _START_MARGIN * MAX_OBJECTIVE_MULTIPLE:
            self.is_rejecting = True

    def is_rejected(self, outlook: Outlook) -> bool:
        """Whether a job is to be rejected, as one of the required share."""
        margin = _KEEP_MARGIN if self.is_rejecting else _START_MARGIN
        if not outlook.is_too_late(margin):
            return False
        self.credit = min(_MAX_CREDIT, self.credit + outlook.required_share)
        return self.credit >= 1

    def book_return(self, outlook: Outlook, now_ms: int) -> int:
        """Return in how many seconds the caller of a rejected job returns.

        The job is of use from when its prediction is acceptable until too
        little time is left for its chain: its time counts from its first call.
        """
        self.credit -= 1
        earliest_ms = min(
            outlook.last_ms - _END_MULTIPLE * outlook.objective_ms,
            outlook.timely_ms - outlook.objective_ms,
        )
        # The rate takes what is offered but for the required share.
        rate_core_ms_per_s = self.offered_core_ms * _MS / _OFFER_DECAY_MS
        capacity_core_ms = (1 - outlook.required_share) * rate_core_ms_per_s
        return self.returns.book(
            now_ms,
            outlook.core_ms,
            earliest_ms,
            outlook.allowed_ms - outlook.chain_ms,
            capacity_core_ms
            * get_limit_share(outlook.core_ms, self.mean_core_ms),
        )


@attrs.define
class Admission:
    """Decides on the jobs that are offered to one instance.

    Parameters
    ----------
    sent : SentWork
        The work that was accepted since the units' leases.
    controls : dict of str to QueueControl
        What is remembered by queue.
    rejected : Counter
        The number of rejected jobs by queue.
    predicted_ms : dict of str to float
        The last predicted wait by queue, without the job's own chain.
    first_calls_ms : dict of str to int
        When the jobs that were rejected last were first offered, oldest first.
    sent_ids : dict of str to None
        The newest ids whose jobs were sent to the store, oldest first.
    """

    sent: SentWork = attrs.field(factory=SentWork)
    controls: dict[str, QueueControl] = attrs.field(factory=dict)
    rejected: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    predicted_ms: dict[str, float] = attrs.field(factory=dict)
    first_calls_ms: dict[str, int] = attrs.field(factory=dict)
    sent_ids: dict[str, None] = attrs.field(factory=dict)

    def assess(
        self,
        job_id: str,
        queue: Queue,
        request: JobRequest,
        loads: t.Sequence[UnitLoad],
        queues: t.Iterable[Queue],
        now_ms: int,
    ) -> Rejection | None:
        """Return why a job is to be rejected, or None to accept it.

        Parameters
        ----------
        job_id, queue, request : str, Queue, JobRequest
            The job.
        loads : sequence of UnitLoad
            All units that may run it.
        queues : iterable of Queue
            All configured queues.
        now_ms : int
            The time of the instance's clock.
        """
        if not is_rejectable(request):
            return None
        forecast = self._make_forecast(queue, loads, queues)
        if forecast is None:
            self.predicted_ms.pop(queue.name, None)
            return None
        elapsed_ms = self.get_elapsed_ms(job_id, now_ms)
        outlook = make_outlook(queue, request, forecast, elapsed_ms)
        if outlook is None:
            return None
        self.predicted_ms[queue.name] = outlook.last_ms - outlook.chain_ms
        control = self.controls.setdefault(queue.name, QueueControl())
        control.note_offer(outlook, now_ms)
        control.update(outlook)
        if any(load.is_usable and load.may_start for load in loads):
            return None
        if control.is_rejected(outlook):
            return Rejection(job_id, queue, outlook, forecast)
        return None

    def get_elapsed_ms(self, job_id: str, now_ms: int) -> int:
        """Return the time since the first call of a job rejected here."""
        elapsed_ms = now_ms - self.first_calls_ms.get(job_id, now_ms)
        return elapsed_ms if elapsed_ms <= _MAX_RETURN_MS else 0

    def reject(self, rejection: Rejection, now_ms: int) -> int:
        """Count a rejection; return in how many seconds its caller returns."""
        name = rejection.queue.name
        self.rejected[name] += 1
        if not self.get_elapsed_ms(rejection.job_id, now_ms):
            _limit_size(self.first_calls_ms)
            self.first_calls_ms[rejection.job_id] = now_ms
        return self.controls[name].book_return(rejection.outlook, now_ms)

    def note_sent(
        self, job_id: str, queue: Queue, request: JobRequest, load: UnitLoad
    ) -> None:
        """Note a job that is about to be sent to a unit.

        Its id is not rejected from then on, also if the outcome is unknown:
        the store may accept it after its home row was read.
        """
        _limit_size(self.sent_ids)
        self.sent_ids[job_id] = None
        backlog = (load.backlogs or {}).get(queue.name)
        if backlog is not None and backlog.run_ratio is not None:
            core_ms = backlog.run_ratio * _sum_estimates(request)
            self.sent.add(load, queue.name, core_ms)

    def _make_forecast(
        self,
        queue: Queue,
        loads: t.Sequence[UnitLoad],
        queues: t.Iterable[Queue],
    ) -> Forecast | None:
        """Return the backlog before a new job, None if it isn't known."""
        if not all(map(_is_current, loads)):
            return None
        preceding = [
            one.name
            for one in queues
            if one.service == queue.service and one.priority < queue.priority
        ]
        found = [
            self._make_unit_forecast(queue.name, preceding, load)
            for load in loads
            if load.is_usable
        ]
        known = [one for one in found if one is not None]
        rate = sum(one.rate_core_ms_per_s for one in known)
        # A unit where the queue is short may be able to start the job soon.
        if len(known) < len(found) or not rate:
            return None
        return Forecast(
            sum(one.waiting_core_ms for one in known),
            sum(one.timely_core_ms for one in known),
            rate,
            sum(one.run_ratio for one in known) / len(known),
            max(load.lease_age_ms for load in loads),
        )

    def _make_unit_forecast(
        self, name: str, preceding: t.Iterable[str], load: UnitLoad
    ) -> Forecast | None:
        """Return the backlog before a new job in one unit.

        Queues of higher priority count only where they are long too. The rate
        of this queue already reflects what arrives in short ones.
        """
        backlogs = load.backlogs or {}
        own = backlogs.get(name)
        if own is None or None in {own.rate_core_ms_per_s, own.run_ratio}:
            return None
        counted = [(name, own)]
        for other in preceding:
            backlog = backlogs.get(other)
            if backlog is not None and backlog.rate_core_ms_per_s is not None:
                counted.append((other, backlog))
        sent = sum(self.sent.get(load, other) for other, _ in counted)
        return Forecast(
            sent + sum(one.waiting_core_ms for _, one in counted),
            sent + sum(one.timely_core_ms for _, one in counted),
            sum(one.rate_core_ms_per_s or 0 for _, one in counted),
            own.run_ratio or 0.0,
            load.lease_age_ms,
        )


def _limit_size(ids: dict[str, t.Any]) -> None:
    """Drop the oldest id if there is no space for another one."""
    if len(ids) >= _MAX_IDS:
        ids.pop(next(iter(ids)))


def _is_current(load: UnitLoad) -> bool:
    return load.is_settled and load.lease_age_ms <= MAX_LEASE_AGE_MS


def is_rejectable(request: JobRequest) -> bool:
    """Whether a job may be rejected for its predicted time.

    The time of a long-running job is that of its start, and a scheduled one
    has none now. Without an estimate for each step there is no prediction.
    """
    if request.schedule.count or request.schedule.first_at_ms:
        return False
    return all(
        step.estimated_ms > 0 and not step.long_running
        for step in request.steps
    )


def make_outlook(
    queue: Queue,
    request: JobRequest,
    forecast: Forecast,
    elapsed_ms: int = 0,
) -> Outlook | None:
    """Return when a job would be completed, None without an objective."""
    chain_ms = forecast.run_ratio * _get_chain_ms(request)
    objective_ms = queue.stretch * chain_ms + queue.target_latency_ms
    if objective_ms <= 0:
        return None
    rate = forecast.rate_core_ms_per_s / _MS
    return Outlook(
        chain_ms,
        objective_ms,
        forecast.run_ratio * _sum_estimates(request),
        forecast.waiting_core_ms / rate + chain_ms,
        forecast.timely_core_ms / rate + chain_ms,
        elapsed_ms,
    )


def _get_chain_ms(request: JobRequest) -> float:
    """Return the longest chain of steps by the caller's estimates."""
    estimates_ms = [float(step.estimated_ms) for step in request.steps]
    return max(compute_chains_ms(request.steps, estimates_ms))


def _sum_estimates(request: JobRequest) -> float:
    """Return the work of a job in core-milliseconds of estimate."""
    return sum(
        step.task_count
        * step.size.cpu_millicores
        * step.estimated_ms
        / _MILLICORES
        for step in request.steps
    )
