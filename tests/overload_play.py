"""Plays of an overloaded unit, and what its callers get."""

import random

import attrs
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_service_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.features import Features
from tulippin.jobs.types import FINAL_STATES

MEAN_TASKS = 8
MAX_TASKS = 40
URGENT_RUN_MS = 800
PATIENT_RUN_MS = 1700
SLOW_FACTOR = 7
LATE_SHARE = 0.15
WORKERS = 6
# Processors of all workers.
MILLICORES = WORKERS * 16_000
DRAIN_S = 120


@attrs.frozen
class Load:
    """Jobs that callers send.

    ``patient_load`` is the work of opportunistic jobs for each second as a
    share of all processors, ``urgent_load`` that of urgent ones. A burst raises
    the former to ``burst_factor`` times for 6 s. ``slow_share`` of the tasks
    take seven times as long. With ``has_service``, a task with a latency target
    runs on each worker.
    """

    patient_load: float = 0.9
    urgent_load: float = 0.0
    burst_factor: float = 1.0
    slow_share: float = 0.0
    seconds: float = 24.0
    has_service: bool = False


@attrs.frozen
class Sent:
    """A job that was accepted, with what its caller expects of it."""

    job_id: str
    is_urgent: bool
    sent_ms: int
    chain_ms: int
    work: float


@attrs.define
class Outcome:
    """What the callers of one play got."""

    jobs: list
    ended_ms: dict
    counters: dict

    def get_share(self, sent):
        """Return the share of its value that a job has earned."""
        queue = HIGH_PRIORITY_QUEUE if sent.is_urgent else LOW_PRIORITY_QUEUE
        objective_ms = queue.stretch * sent.chain_ms + queue.target_latency_ms
        took_ms = self.ended_ms[sent.job_id] - sent.sent_ms
        if took_ms <= objective_ms:
            return 1.0
        return LATE_SHARE if took_ms <= 3 * objective_ms else 0.0

    def compute_value(self, jobs):
        """Return the share of the possible value that jobs have earned."""
        mean = sum(one.work for one in jobs) / len(jobs)
        weights = [0.3 + 0.7 * min(4, one.work / mean) for one in jobs]
        earned = sum(
            weight * self.get_share(one)
            for weight, one in zip(weights, jobs, strict=True)
        )
        return earned / sum(weights)

    def get_value(self, *, is_urgent=False):
        return self.compute_value(
            [one for one in self.jobs if one.is_urgent is is_urgent]
        )

    def get_value_of_largest(self, share=0.1):
        """Return the value that the largest opportunistic jobs have earned."""
        jobs = [one for one in self.jobs if not one.is_urgent]
        jobs.sort(key=lambda one: -one.work)
        return self.compute_value(jobs[: max(1, int(len(jobs) * share))])


def draw_request(source, load, *, is_urgent):
    """Return a request with its chain of run times and its work."""
    run_ms = URGENT_RUN_MS if is_urgent else PATIENT_RUN_MS
    cpu = 2600 if is_urgent else 1800
    count = min(MAX_TASKS, 1 + int(source.expovariate(1 / (MEAN_TASKS - 1))))
    step_count = 1 if is_urgent else 1 + (source.random() < 0.6)
    slow_tasks = tuple(
        f'{step}.{index}'
        for step in range(step_count)
        for index in range(count)
        if source.random() < load.slow_share
    )
    options = {
        'estimated_ms': int(run_ms * 2 ** source.uniform(-0.9, 0.9)),
        'image': '' if is_urgent else f'b{source.randrange(3)}',
        'opportunistic': not is_urgent,
        'checkpointing': not is_urgent and source.random() < 0.85,
    }
    steps = [make_step(count, cpu, **options)]
    if step_count > 1:
        steps.append(attrs.evolve(steps[0], after=(0,)))
    run_ms = int(run_ms * 2 ** source.uniform(-0.5, 0.5))
    slow_steps = {name.partition('.')[0] for name in slow_tasks}
    chain_ms = sum(
        run_ms * (SLOW_FACTOR if str(number) in slow_steps else 1)
        for number in range(step_count)
    )
    slow_work = len(slow_tasks) * (SLOW_FACTOR - 1)
    work = cpu * run_ms * (count * step_count + slow_work)
    request = make_request(
        *steps, run_ms=run_ms, slow_tasks=slow_tasks, slow_factor=SLOW_FACTOR
    )
    return request, chain_ms, work


async def send_jobs(fleet, load, jobs, *, is_urgent, seed):
    """Send jobs at the rate that gives the load, in bursts."""
    source = random.Random(seed)
    sample = random.Random(0)
    works = [
        draw_request(sample, load, is_urgent=is_urgent)[2] for _ in range(500)
    ]
    share = load.urgent_load if is_urgent else load.patient_load
    if not share:
        return
    pause_s = sum(works) / len(works) / (share * MILLICORES * 1000)
    start_s = trio.current_time()
    while trio.current_time() - start_s < load.seconds:
        request, chain_ms, work = draw_request(
            source, load, is_urgent=is_urgent
        )
        job_id = f'{"a" if is_urgent else "b"}{len(jobs):015x}'
        queue = HIGH_PRIORITY_QUEUE if is_urgent else LOW_PRIORITY_QUEUE
        sent_ms = int(trio.current_time() * 1000)
        jobs.append(Sent(job_id, is_urgent, sent_ms, chain_ms, work))
        await fleet.submit(job_id, request, queue)
        at_s = trio.current_time() - start_s
        is_burst = 6 <= at_s < 12 and not is_urgent
        factor = load.burst_factor if is_burst else 1.0
        await trio.sleep(source.expovariate(factor / pause_s))


async def wait_all(fleet, jobs):
    """Wait until every accepted job is completed."""
    intake = next(iter(fleet.instances.values())).intake
    with trio.fail_after(DRAIN_S):
        for one in jobs:
            while await intake.get_state(one.job_id) not in FINAL_STATES:
                await trio.sleep(0.1)


def play(run_virtual, load, *, is_on, seed=1):
    """Play a load, and return what its callers got."""
    outcomes = []

    async def run():
        features = Features(orders_by_progress=is_on)
        async with open_fleet(1, workers=WORKERS, features=features) as fleet:
            if load.has_service:
                service = make_service_request(WORKERS, target_ms=50)
                await fleet.submit('c' * 16, service)
                await fleet.wait_running(WORKERS)
            jobs = []
            async with trio.open_nursery() as nursery:
                for is_urgent in (True, False):
                    nursery.start_soon(
                        _send_kind, fleet, load, jobs, is_urgent, seed
                    )
            await wait_all(fleet, jobs)
            fleet.check()
            ended_ms = {}
            for event in fleet.platform.history:
                if event.kind == 'ended':
                    ended_ms[event.key.job_id] = event.at_ms
            counters = dict(fleet.instances[fleet.get_owner()].state.counters)
            outcomes.append(Outcome(jobs, ended_ms, counters))

    run_virtual(run)
    return outcomes[0]


async def _send_kind(fleet, load, jobs, is_urgent, seed):
    await send_jobs(fleet, load, jobs, is_urgent=is_urgent, seed=seed)
