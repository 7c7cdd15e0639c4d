"""Load of long-running tasks near their targets beside opportunistic jobs.

Runs a scheduler on the platform's stand-in in virtual time. Tails follow from
the load cycle of each long-running job and from the runs beside each task: a
quarter of the pairs of images disturb, the others hardly do.
"""

import math
import random

import attrs
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.features import Features
from tulippin.jobs.types import RunOutcome
from tulippin.platform.standin_worker import StandinWorker, get_now_ms

WORKERS = 8
TARGET_MS = 50.0
IDLE_MS = 10.0
SERVING_MILLICORES = 1600
FILLER_MILLICORES = 1800
SERVING_JOBS = 8
TENTH_MILLICORES = 1600
CYCLE_S = 5.0
RUN_MS = 1700
TASKS_PER_STEP = 10
SERVING_IMAGES = ('web', 'search', 'feed')
FILLER_IMAGES = ('sort', 'scan', 'pack', 'code', 'mine', 'tile')
# Excess that each tenth of a worker's processors causes.
DISTURBING = {
    ('web', 'sort'): 0.2,
    ('web', 'scan'): 0.1,
    ('search', 'sort'): 0.12,
    ('search', 'pack'): 0.25,
    ('feed', 'code'): 0.15,
}
HARMLESS = 0.01
# A tail covers half a second.
HALF_LIFE_S = 0.25
STEP_S = 0.05
NOISE = 0.03
# Spread of the logarithm of a pair's excess between tasks of an image.
SPREAD = 0.6
MEAN_LOAD = 0.5
LOAD_SWING = 0.25
# Value of a task that serves for a second, in core-seconds of opportunistic
# work in time, and the multiple of it that a miss costs.
MISS_COST = 4 * 0.4 * SERVING_MILLICORES / 1000


@attrs.define
class Result:
    """What a play measured.

    ``missed_s`` is the time that tasks were over their targets, summed over
    tasks, and ``longest_s`` the longest time without a break. ``value`` is the
    work of jobs by their lateness, ``done`` the number of completed tasks.
    """

    missed_s: float = 0.0
    longest_s: float = 0.0
    value: float = 0.0
    done: int = 0
    counters: dict = attrs.field(factory=dict)

    @property
    def net(self):
        """The value less what the users of tasks over their targets lose."""
        return self.value - MISS_COST * self.missed_s


@attrs.define
class Plant:
    """The true tails of the tasks on all workers."""

    fleet: object = None
    images: dict = attrs.field(factory=dict)
    phases: dict = attrs.field(factory=dict)
    arrived_ms: dict = attrs.field(factory=dict)
    tails_ms: dict = attrs.field(factory=dict)
    factors: dict = attrs.field(factory=dict)
    missed_since_s: dict = attrs.field(factory=dict)
    source: random.Random = attrs.field(factory=random.Random)
    arrivals: random.Random = attrs.field(factory=random.Random)
    result: Result = attrs.field(factory=Result)

    def get_load(self, worker, run):
        """Return what a worker reports of a run."""
        if not run.plan.lasts:
            return FILLER_MILLICORES * run.pace_percent / 100
        tail_ms = self.tails_ms.get((worker.worker_id, run.order.key), IDLE_MS)
        return tail_ms * (1 + self.source.gauss(0, NOISE))

    def step(self, *, counts):
        """Advance all tails by one step."""
        now_s = trio.current_time()
        kept = 0.5 ** (STEP_S / HALF_LIFE_S)
        for worker in self.fleet.platform.workers.values():
            worker.tick()
            used = self._sum_used(worker)
            for run in list(worker.runs.values()):
                if not run.plan.lasts:
                    continue
                place = (worker.worker_id, run.order.key)
                tail_ms = self._compute_tail_ms(run, used, now_s)
                known_ms = self.tails_ms.get(place, IDLE_MS)
                self.tails_ms[place] = kept * known_ms + (1 - kept) * tail_ms
                if counts:
                    self._count(place, now_s)

    def _sum_used(self, worker):
        used = {}
        for run in worker.runs.values():
            if not run.plan.lasts and run.pace_percent:
                image = self.images[run.order.key.job_id]
                tenths = FILLER_MILLICORES / TENTH_MILLICORES
                share = tenths * run.pace_percent / 100
                used[image] = used.get(image, 0.0) + share
        return used

    def _compute_tail_ms(self, run, used, now_s):
        job_id = run.order.key.job_id
        angle = 2 * math.pi * now_s / CYCLE_S + self.phases[job_id]
        load = MEAN_LOAD + LOAD_SWING * math.sin(angle)
        image = self.images[job_id]
        slowdown = 1 + sum(
            self._get_factor(run, other)
            * DISTURBING.get((image, other), HARMLESS)
            * tenths
            for other, tenths in used.items()
        )
        return IDLE_MS * slowdown / max(0.02, 1 - load * slowdown)

    def _get_factor(self, run, image):
        """Return by how much one task differs from others of its image."""
        key = run.order.key, image
        if key not in self.factors:
            self.factors[key] = math.exp(self.source.gauss(0, SPREAD))
        return self.factors[key]

    def _count(self, place, now_s):
        if self.tails_ms[place] <= TARGET_MS:
            self.missed_since_s.pop(place, None)
            return
        since_s = self.missed_since_s.setdefault(place, now_s)
        self.result.missed_s += STEP_S
        self.result.longest_s = max(self.result.longest_s, now_s - since_s)

    def evaluate(self):
        """Add up the value of the jobs by when their last task was done."""
        ended = {}
        for event in self.fleet.platform.history:
            job_id = event.key.job_id
            is_done = event.kind == 'ended' and event.outcome is RunOutcome.DONE
            if is_done and job_id in self.arrived_ms:
                ended.setdefault(job_id, {})[event.key] = event.at_ms
        objective_ms = (
            LOW_PRIORITY_QUEUE.stretch * 2 * RUN_MS
            + LOW_PRIORITY_QUEUE.target_latency_ms
        )
        work = 2 * TASKS_PER_STEP * RUN_MS * FILLER_MILLICORES / 1e6
        for job_id, tasks in ended.items():
            self.result.done += len(tasks)
            if len(tasks) < 2 * TASKS_PER_STEP:
                continue
            age_ms = max(tasks.values()) - self.arrived_ms[job_id]
            if age_ms <= objective_ms:
                self.result.value += work
            elif age_ms <= 3 * objective_ms:
                self.result.value += 0.15 * work


async def start_serving(fleet, plant):
    """Start long-running jobs on all workers."""
    for number in range(SERVING_JOBS):
        job_id = f'a{number:015x}'
        plant.images[job_id] = SERVING_IMAGES[number % len(SERVING_IMAGES)]
        plant.phases[job_id] = number * 2.4
        step = make_step(
            WORKERS,
            cpu=SERVING_MILLICORES,
            long_running=True,
            target_ms=int(TARGET_MS),
            image=plant.images[job_id],
        )
        request = make_request(step, lasts=True)
        await fleet.submit(job_id, request, HIGH_PRIORITY_QUEUE)
    await fleet.wait_running(WORKERS * SERVING_JOBS)


async def send_jobs(fleet, plant, jobs_per_s, until_s):
    """Submit opportunistic jobs of two steps at random times."""
    source = plant.arrivals
    number = 0
    while trio.current_time() < until_s:
        number += 1
        job_id = f'{number:016x}'
        image = source.choice(FILLER_IMAGES)
        plant.images[job_id] = image
        plant.arrived_ms[job_id] = get_now_ms()
        steps = [
            make_step(
                TASKS_PER_STEP,
                cpu=FILLER_MILLICORES,
                estimated_ms=RUN_MS,
                opportunistic=True,
                checkpointing=source.random() < 0.85,
                image=image,
                after=after,
            )
            for after in ((), (0,))
        ]
        request = make_request(*steps, run_ms=RUN_MS)
        await fleet.submit(job_id, request, LOW_PRIORITY_QUEUE)
        await trio.sleep(source.expovariate(jobs_per_s))


async def advance(plant, until_s, *, counts):
    """Advance the tails until a time."""
    while trio.current_time() < until_s:
        plant.step(counts=counts)
        await trio.sleep(STEP_S)


def patch(monkeypatch, seed):
    """Let the stand-in's workers report the tails of a new plant."""
    plant = Plant(source=random.Random(seed), arrivals=random.Random(seed))
    monkeypatch.setattr(
        StandinWorker,
        '_get_paced_load',
        lambda worker, run: plant.get_load(worker, run),
    )
    return plant


async def play(plant, *, budgets_harm, for_s, jobs_per_s=1.2, warm_up_s=12):
    """Play the load and return what was measured."""
    features = Features(budgets_harm=budgets_harm)
    async with open_fleet(
        instances=1, workers=WORKERS, features=features
    ) as fleet:
        plant.fleet = fleet
        await start_serving(fleet, plant)
        begin_s = trio.current_time() + warm_up_s
        fleet.nursery.start_soon(
            send_jobs, fleet, plant, jobs_per_s, begin_s + for_s - 8
        )
        await advance(plant, begin_s, counts=False)
        await advance(plant, begin_s + for_s, counts=True)
        plant.evaluate()
        owner = fleet.instances[fleet.get_owner()]
        plant.result.counters = dict(owner.state.counters)
        fleet.check()
    return plant.result
