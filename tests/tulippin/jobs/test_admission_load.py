"""Load tests of admission: a small model of one queue, without a network.

Tasks of equal length start in the order of their jobs' ranks while processors
are free. Callers send jobs, and bring back rejected ones when told to.
"""

import collections
import random

import attrs
import pytest

from tulippin.jobs.admission import Admission, UnitLoad
from tulippin.jobs.records import QueueBacklog
from tulippin.jobs.types import JobRequest, Queue, Step
from tulippin.types import Resources

QUEUE = Queue('o', 'host', '/o/', 's', 2, 2, 2.0, 1000)
TICK_MS = 100
RUN_MS = 1700
CORES = 400
# Chain of two steps, and the objective of the queue for it.
CHAIN_MS = 2 * RUN_MS
OBJECTIVE_MS = 2 * CHAIN_MS + 1000
STEP = Step(20, Resources(1000, 1000), estimated_ms=RUN_MS, opportunistic=True)
LATER_STEP = attrs.evolve(STEP, after=(0,))
REQUEST = JobRequest('', (STEP, LATER_STEP))
JOB_CORE_S = 2 * STEP.task_count * RUN_MS / 1000
CAPACITY_JOBS_PER_S = CORES / JOB_CORE_S


@attrs.define(eq=False)
class ModelJob:
    job_id: str
    first_call_ms: int
    request: JobRequest
    accepted_ms: int = 0
    # Tasks that wait for a start and that run, of the current step.
    queued: int = STEP.task_count
    running: int = 0
    steps_left: int = 2
    ended_ms: int | None = None

    def get_lateness(self, now_ms):
        """Rank as the owner does, by the time since the acceptance."""
        earliest_ms = now_ms + self.steps_left * RUN_MS - self.accepted_ms
        return (earliest_ms > OBJECTIVE_MS) + (earliest_ms > 3 * OBJECTIVE_MS)

    def get_core_ms(self):
        later = (self.steps_left - 1) * STEP.task_count
        return (self.queued + self.running / 2 + later) * RUN_MS


@attrs.define
class Model:
    """A queue of one unit, with callers that may be rejected."""

    has_admission: bool
    admission: Admission = attrs.field(factory=Admission)
    now_ms: int = 0
    jobs: list = attrs.field(factory=list)
    done: list = attrs.field(factory=list)
    # Ends of running tasks, and callers to come, by time.
    ends: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    calls: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    finished: collections.deque = attrs.field(factory=collections.deque)
    long_since_ms: int | None = None
    load: UnitLoad | None = None
    free: int = CORES
    rejections: int = 0
    given_up: int = 0
    returns: collections.Counter = attrs.field(factory=collections.Counter)

    def run(self, until_ms):
        while self.now_ms < until_ms or self.jobs or self.calls:
            self._end_tasks()
            for job in self.calls.pop(self.now_ms, ()):
                self._call(job)
            self._start_tasks()
            if not self.now_ms % 500:
                self.load = self._publish()
            self.now_ms += TICK_MS

    def _end_tasks(self):
        for job in self.ends.pop(self.now_ms, ()):
            self.free += 1
            self.finished.append(self.now_ms)
            job.running -= 1
            if not job.queued and not job.running:
                job.steps_left -= 1
                job.queued = STEP.task_count if job.steps_left else 0
                if not job.steps_left:
                    job.ended_ms = self.now_ms
                    self.jobs.remove(job)
                    self.done.append(job)

    def _call(self, job):
        if self.has_admission and self.load is not None:
            rejection = self.admission.assess(
                job.job_id,
                QUEUE,
                job.request,
                [self.load],
                [QUEUE],
                self.now_ms,
            )
            if rejection is not None:
                self._reject(job, rejection)
                return
        if self.load is not None:
            self.admission.note_sent(job.job_id, QUEUE, job.request, self.load)
        elapsed_ms = self.admission.get_elapsed_ms(job.job_id, self.now_ms)
        job.accepted_ms = self.now_ms - elapsed_ms
        self.jobs.append(job)

    def _reject(self, job, rejection):
        """Bring a job back when told to, unless it has no value by then."""
        self.rejections += 1
        retry_ms = 1000 * self.admission.reject(rejection, self.now_ms)
        return_ms = self.now_ms + retry_ms
        self.returns[return_ms // 1000] += 1
        if return_ms - job.first_call_ms + CHAIN_MS < 3 * OBJECTIVE_MS:
            self.calls[return_ms].append(job)
        else:
            self.given_up += 1

    def _start_tasks(self):
        self.jobs.sort(
            key=lambda job: (job.get_lateness(self.now_ms), job.accepted_ms)
        )
        for job in self.jobs:
            count = min(self.free, job.queued)
            job.queued -= count
            job.running += count
            self.free -= count
            self.ends[self.now_ms + RUN_MS].extend([job] * count)

    def _publish(self):
        while self.finished and self.finished[0] <= self.now_ms - 4000:
            self.finished.popleft()
        queued = sum(job.queued for job in self.jobs)
        if queued < 0.5 * (CORES - self.free) or not queued:
            self.long_since_ms = None
        elif self.long_since_ms is None:
            self.long_since_ms = self.now_ms
        rate = None
        since_ms = self.long_since_ms
        if since_ms is not None and self.now_ms - since_ms >= 4000 + RUN_MS:
            rate = round(len(self.finished) * RUN_MS / 4)
        waiting = sum(job.get_core_ms() for job in self.jobs)
        timely = sum(
            job.get_core_ms()
            for job in self.jobs
            if not job.get_lateness(self.now_ms)
        )
        backlog = QueueBacklog(round(waiting), round(timely), rate, 1.0)
        return UnitLoad(0, 500, self.now_ms, backlogs={QUEUE.name: backlog})

    def count_outcomes(self):
        counts = collections.Counter()
        for job in self.done:
            multiple = (job.ended_ms - job.first_call_ms) / OBJECTIVE_MS
            name = 'in_time' if multiple <= 1 else 'late'
            counts[name if multiple <= 3 else 'no_value'] += 1
        counts['given_up'] = self.given_up
        counts['rejections'] = self.rejections
        return counts


def make_request(factor):
    """Return the request of a job whose estimates are wrong by a factor."""
    steps = tuple(
        attrs.evolve(step, estimated_ms=round(factor * RUN_MS))
        for step in REQUEST.steps
    )
    return JobRequest('', steps)


def add_calls(model, begin_s, end_s, load, source, max_error=1.0):
    """Add calls of a load, as a part of the capacity."""
    at_s = begin_s
    while True:
        at_s += source.expovariate(load * CAPACITY_JOBS_PER_S)
        if at_s >= end_s:
            return
        at_ms = round(at_s * 1000 / TICK_MS) * TICK_MS
        request = make_request(max_error ** source.uniform(-1, 1))
        model.calls[at_ms].append(ModelJob(f'{at_s}', at_ms, request))


def run(schedule, *, has_admission, seed, max_error=1.0):
    """Return the outcomes for loads, each with its begin and end in seconds."""
    model = Model(has_admission)
    source = random.Random(seed)
    for begin_s, end_s, load in schedule:
        add_calls(model, begin_s, end_s, load, source, max_error)
    model.run(until_ms=schedule[-1][1] * 1000)
    return model.count_outcomes()


def get_value(counts):
    return counts['in_time'] + 0.15 * counts['late']


# The units are full after 15 s, with 24 s of work waiting.
FULL_THEN_BURST = ((0, 15, 2.6), (15, 21, 2.6 * 2.6), (21, 60, 0.8))


@pytest.mark.parametrize('max_error', [1.0, 1.9])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_burst_on_full_units_costs_no_value(seed, max_error):
    """Guards against rejections that cost more value than they save."""
    options = {'seed': seed, 'max_error': max_error}
    off = run(FULL_THEN_BURST, has_admission=False, **options)
    with_admission = run(FULL_THEN_BURST, has_admission=True, **options)
    print('off', dict(off), 'on', dict(with_admission))
    assert not off['rejections']
    assert with_admission['rejections'] > 0
    # Work of no value isn't run.
    assert with_admission['no_value'] < off['no_value']
    assert get_value(with_admission) >= 0.99 * get_value(off)


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
@pytest.mark.parametrize(
    'schedule',
    [
        ((0, 60, 0.8),),
        # A burst for which the queue has room, on units that are not full.
        ((0, 20, 0.8), (20, 26, 2.6 * 0.8), (26, 60, 0.8)),
        # Arrivals after a pause, in which nothing was completed.
        ((0, 5, 0.8), (20, 26, 2.6 * 0.8), (26, 60, 0.5)),
    ],
    ids=['steady', 'burst', 'burst after a pause'],
)
def test_nothing_is_rejected_below_the_capacity(schedule, seed):
    """Guards against false rejections, each of which costs a job."""
    for max_error in (1.0, 1.9):
        options = {'seed': seed, 'max_error': max_error}
        counts = run(schedule, has_admission=True, **options)
        assert not counts['rejections']
        assert counts == run(schedule, has_admission=False, **options)


def test_returns_are_spread():
    """Guards against rejected callers that all come back in one second."""
    model = Model(has_admission=True)
    source = random.Random(1)
    for begin_s, end_s, load in FULL_THEN_BURST:
        add_calls(model, begin_s, end_s, load, source)
    model.run(until_ms=60_000)
    returns = model.returns
    assert max(returns.values()) < CAPACITY_JOBS_PER_S * 2.6 * 2.6
    assert max(returns.values()) < 3 * sum(returns.values()) / len(returns)


def test_burst_at_the_capacity_is_admitted():
    """The wait that it causes is far below three times the objective."""
    schedule = ((0, 20, 1.0), (20, 26, 2.6), (26, 60, 0.8))
    off = run(schedule, has_admission=False, seed=1)
    print(dict(off))
    assert run(schedule, has_admission=True, seed=1) == off
