"""Jobs of opportunistic tasks beside tasks with a target, in virtual time."""

import attrs
import trio

from scheduler_fleet import LOW_PRIORITY_QUEUE, make_request, make_step
from tulippin.jobs.pair_model import ImageModel
from tulippin.jobs.types import Step
from tulippin.platform.standin_worker import StandinWorker
from tulippin.types import Resources

LIMIT_MS = 3000
TARGET_MS = 50
SERVING_JOB = 1
SERVING_CPU = 2000
POLL_INTERVAL_S = 0.05


def follow_load(monkeypatch, own_tails_ms, default_ms=12.0):
    """Let the tail on a worker follow its opportunistic tasks.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Replaces the loads that workers report until the test ends.
    own_tails_ms : dict of str to float
        The tail that a worker shows without opportunistic tasks, by its id; it
        may be changed while the test runs.
    default_ms : float
        That tail on all other workers.
    """

    def get_own_ms(worker):
        return own_tails_ms.get(worker.worker_id, default_ms)

    def get_load(worker, plan):
        if not plan.lasts:
            return 2000.0
        return get_own_ms(worker) + get_added_ms(worker)

    monkeypatch.setattr(StandinWorker, '_get_load', get_load)
    return get_own_ms


def get_added_ms(worker):
    """Return what the opportunistic tasks on a worker add to its tail."""
    return sum(
        run.plan.tail_ms * run.pace_percent / 100
        for run in worker.runs.values()
        if not run.plan.lasts
    )


async def submit(fleet, number, request, queue=LOW_PRIORITY_QUEUE):
    intake = next(iter(fleet.instances.values())).intake
    await intake.submit(f'{number:016x}', queue, request, LIMIT_MS)


async def serve(fleet, workers):
    """Run one task with a latency target on every worker."""
    step = make_step(
        workers,
        SERVING_CPU,
        long_running=True,
        target_ms=TARGET_MS,
        image='web',
        max_per_worker=1,
    )
    request = make_request(step, lasts=True)
    await submit(fleet, SERVING_JOB, request)
    await fleet.wait_running(workers)
    await trio.sleep(1)


def expect_harm(fleet, *images, excess=5.0):
    """Make the owner's model certain that images harm the served one."""
    state = fleet.instances[fleet.get_owner()].state
    model = state.model.images.setdefault('web', ImageModel())
    for image in images:
        model.means[image] = excess
        model.covariances[image, image] = 0.0001
        model.sample_counts[image] = 50


def make_batch(
    count,
    *,
    cpu=1000,
    memory_mb=1000,
    image='heavy',
    run_ms=1500,
    added_ms=25.0,
):
    """Return a job of opportunistic tasks that add to the tails beside them."""
    step = Step(
        count, Resources(cpu, memory_mb), opportunistic=True, image=image
    )
    return make_request(step, run_ms=run_ms, tail_ms=added_ms)


def get_ids(numbers):
    return {f'{number:016x}' for number in numbers}


@attrs.define
class Watch:
    """Measures how long jobs go without progress, and targets are missed.

    ``stalled_s`` holds by job id the longest time without a run that works
    while less than half of the processors work and the workers have memory for
    two of its tasks, ``absent_s`` that without any run. ``harm_s`` is the
    longest time for which tasks that work made a worker miss a target that it
    meets without them. Tasks take ``cpu`` millicores and ``memory_mb``, those
    of the jobs in ``sizes`` as much as is given there. With ``counts_cpu`` the
    two tasks need idle processors, too.
    """

    fleet: object
    get_own_ms: object
    cpu: int = 1000
    memory_mb: int = 1000
    sizes: dict = attrs.field(factory=dict)
    counts_cpu: bool = False
    stalled_s: dict = attrs.field(factory=dict)
    absent_s: dict = attrs.field(factory=dict)
    harm_s: float = 0.0
    _since_s: dict = attrs.field(factory=dict)

    async def run(self, job_ids, for_s):
        """Poll until all jobs are done or time is over; return the rest."""
        until_s = trio.current_time() + for_s
        open_jobs = set(job_ids)
        while open_jobs and trio.current_time() < until_s:
            open_jobs -= self._poll(open_jobs)
            await trio.sleep(POLL_INTERVAL_S)
        return open_jobs

    def _poll(self, job_ids):
        for worker in self.fleet.platform.workers.values():
            worker.tick()
            self._check_harm(worker)
        return self.note(job_ids)

    def note(self, job_ids, excused=()):
        """Note which jobs have a run now, and return those that are done.

        The time of excused jobs begins anew.
        """
        present = set()
        working = set()
        used = 0
        workers = self._list_workers()
        for worker in workers:
            for (key, _), run in worker.runs.items():
                present.add(key.job_id)
                used += self._get_use(key, run)
                if run.pace_percent and run.stops_at_ms is None:
                    working.add(key.job_id)
        is_busy = 2 * used >= sum(worker.room.cpu for worker in workers)
        places = self._count_places(workers, job_ids)
        done = {job_id for job_id in job_ids if self._is_done(job_id)}
        for job_id in job_ids - done:
            is_over = (
                is_busy
                or places[self._get_size(job_id)] < 2
                or job_id in excused
            )
            self._note(
                self.absent_s, job_id, is_over=is_over or job_id in present
            )
            self._note(
                self.stalled_s, job_id, is_over=is_over or job_id in working
            )
        return done

    def _list_workers(self):
        """Return the workers that may get runs."""
        return [
            worker
            for worker in self.fleet.platform.workers.values()
            if worker.is_up and not worker.is_draining
        ]

    def _get_size(self, job_id):
        default = Resources(self.cpu, self.memory_mb)
        return self.sizes.get(job_id, default)

    def _count_places(self, workers, job_ids):
        """Return for each size of the tasks how many more fit."""
        free = [self._get_free(worker) for worker in workers]
        return {
            size: sum(self._count_fitting(size, *one) for one in free)
            for size in {self._get_size(job_id) for job_id in job_ids}
        }

    def _get_free(self, worker):
        """Return the idle millicores and the memory that no run holds."""
        runs = worker.runs.items()
        used = sum(self._get_use(key, run) for (key, _), run in runs)
        held_mb = sum(
            1000 if run.plan.lasts else self._get_size(key.job_id).memory_mb
            for (key, _), run in runs
        )
        return worker.room.cpu - used, worker.room.memory_mb - held_mb

    def _count_fitting(self, size, idle_cpu, free_mb):
        count = free_mb // size.memory_mb
        if self.counts_cpu:
            count = min(count, idle_cpu // size.cpu_millicores)
        return max(0, count)

    def _get_use(self, key, run):
        """Return the millicores that a run takes at its pace."""
        if run.plan.lasts:
            return SERVING_CPU
        size = self._get_size(key.job_id)
        return size.cpu_millicores * run.pace_percent / 100

    def _note(self, longest_s, job_id, *, is_over):
        lasted_s = self._measure((id(longest_s), job_id), is_over=is_over)
        longest_s[job_id] = max(longest_s.get(job_id, 0.0), lasted_s)

    def _measure(self, name, *, is_over):
        """Return how long a state has lasted, 0 if it is over."""
        now_s = trio.current_time()
        if is_over:
            self._since_s.pop(name, None)
            return 0.0
        return now_s - self._since_s.setdefault(name, now_s)

    def _check_harm(self, worker):
        own_ms = self.get_own_ms(worker)
        added_ms = get_added_ms(worker)
        is_harmed = own_ms <= TARGET_MS < own_ms + added_ms
        lasted_s = self._measure(worker.worker_id, is_over=not is_harmed)
        self.harm_s = max(self.harm_s, lasted_s)

    def _is_done(self, job_id):
        owner = self.fleet.instances.get(self.fleet.get_owner())
        job = owner.state.jobs.get(job_id) if owner else None
        return job is not None and not any(job.remaining.values())
