"""Calls for reports of a unit of 37 workers under load, gathered and not.

Guards against gathered reports that make callers wait: the end of an urgent
run, or of the last run of a step, has to be read as soon as without them.
"""

import random
import statistics

import attrs
import msgspec
import pytest
import trio

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_service_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _attempts, _committing, _report_schedule
from tulippin.jobs.features import Features
from tulippin.platform.standin import StandinAgents, get_now_ms
from tulippin.platform.standin_worker import StandinWorker

WORKERS = 37
TARGET_MS = 50
LOAD_S = 12
# Jobs a second of a unit: that many of 246 workers' share.
URGENT_RATE = 1.08
OPPORTUNISTIC_RATE = 1.9
URGENT_RUN_MS = 800
OPPORTUNISTIC_RUN_MS = 1700


@attrs.define
class Load:
    """Calls and ends that a unit has read.

    ``delays_ms`` holds the time from each end to its processing, by whether
    the run was urgent and whether it completed its step.
    """

    calls: int = 0
    commits: int = 0
    ended_ms: dict = attrs.field(factory=dict)
    delays_ms: dict = attrs.field(factory=dict)
    finished: int = 0

    def reset(self):
        """Begin anew."""
        self.calls = self.commits = self.finished = 0
        self.ended_ms = {}
        self.delays_ms = {}

    def list_delays(self, is_urgent, is_last=None):
        """Return the delays, in order."""
        return sorted(
            delay_ms
            for kind, delays in self.delays_ms.items()
            if kind[0] is is_urgent and is_last in {None, kind[1]}
            for delay_ms in delays
        )

    def describe(self):
        """Return the calls a second for each worker, and the delays."""
        lines = [f'{self.calls / LOAD_S / WORKERS:.2f} calls/s/worker']
        for is_urgent in (True, False):
            for is_last in (True, False):
                delays = self.list_delays(is_urgent, is_last)
                lines.append(
                    f'urgent={is_urgent} last={is_last}: {len(delays)} ends,'
                    f' mean {statistics.mean(delays):.0f}'
                    f' p50 {delays[len(delays) // 2]}'
                    f' p95 {delays[len(delays) * 95 // 100]}'
                    f' max {delays[-1]} ms'
                )
        lines.append(f'{self.commits} commits, {self.finished} steps done')
        return '; '.join(lines)


def vary_run_times(monkeypatch):
    """Make the run times of a step's tasks differ."""
    start = StandinWorker.handle_start_order
    source = random.Random(4)

    def vary(worker, order):
        is_known = (order.key, order.run) in worker.runs
        answer = start(worker, order)
        run = worker.runs.get((order.key, order.run))
        if run is not None and not is_known and not run.plan.lasts:
            run_ms = int(run.plan.run_ms * source.uniform(0.7, 1.3))
            run.plan = msgspec.structs.replace(run.plan, run_ms=run_ms)
            run.left_ms = run_ms
        return answer

    monkeypatch.setattr(StandinWorker, 'handle_start_order', vary)


@pytest.fixture
def load(monkeypatch):
    """Count calls and ends, and vary the run times of a step's tasks."""
    load = Load()
    hold = StandinAgents.hold
    end = StandinWorker._end_run
    apply = _attempts.apply_end
    commit = _committing._commit

    async def count_hold(agents, *arguments):
        load.calls += 1
        return await hold(agents, *arguments)

    def count_commit(context):
        load.commits += 1
        commit(context)

    def note_end(worker, run_key, outcome):
        load.ended_ms[run_key] = get_now_ms()
        end(worker, run_key, outcome)

    def apply_end(worker, ended, context, *options):
        apply(worker, ended, context, *options)
        job = context.state.jobs.get(ended.key.job_id)
        at_ms = load.ended_ms.get((ended.key, ended.run))
        if job is not None and at_ms is not None:
            step = job.request.steps[ended.key.step]
            is_last = not job.remaining[ended.key.occurrence, ended.key.step]
            kind = (not step.opportunistic, is_last)
            load.delays_ms.setdefault(kind, []).append(get_now_ms() - at_ms)
            load.finished += is_last

    monkeypatch.setattr(StandinAgents, 'hold', count_hold)
    monkeypatch.setattr(_committing, '_commit', count_commit)
    monkeypatch.setattr(StandinWorker, '_end_run', note_end)
    vary_run_times(monkeypatch)
    monkeypatch.setattr(_attempts, 'apply_end', apply_end)
    return load


def make_urgent():
    return make_request(make_step(10, cpu=2600), run_ms=URGENT_RUN_MS)


def make_opportunistic():
    step = make_step(
        20, cpu=1800, opportunistic=True, image='batch', checkpointing=True
    )
    return make_request(
        step,
        attrs.evolve(step, after=(0,)),
        run_ms=OPPORTUNISTIC_RUN_MS,
    )


async def send_jobs(fleet, source, rate, queue, make, prefix):
    """Submit jobs at random times until the load ends."""
    ends_s = trio.current_time() + LOAD_S
    number = 0
    while trio.current_time() < ends_s:
        number += 1
        await fleet.submit(f'{prefix}{number:015x}', make(), queue)
        await trio.sleep(source.expovariate(rate))


async def play(load, features, rate=OPPORTUNISTIC_RATE, seed=''):
    """Load a unit, and return its owner's state."""
    async with open_fleet(1, WORKERS, features=features) as fleet:
        await fleet.submit('a' * 16, make_service_request(WORKERS, TARGET_MS))
        await fleet.wait_running(WORKERS)
        await trio.sleep(3)
        load.calls = 0
        async with trio.open_nursery() as nursery:
            for details in (
                (URGENT_RATE, HIGH_PRIORITY_QUEUE, make_urgent, 'b'),
                (rate, LOW_PRIORITY_QUEUE, make_opportunistic, 'c'),
            ):
                source = random.Random(f'{details[3]}{seed}')
                nursery.start_soon(send_jobs, fleet, source, *details)
        fleet.check()
        return fleet.instances['i0'].state


GATHERED = Features(gathers_reports=True)
# More than a unit has idle processors for: opportunistic tasks always wait.
OVERLOAD_RATE = 6.0


def compare(run_virtual, load, rate, seed=''):
    """Return the loads without and with gathered reports."""
    loads = []
    for features in (Features(), GATHERED):
        load.reset()
        run_virtual(play, load, features, rate, seed)
        loads.append(attrs.evolve(load))
        print(features.gathers_reports, load.describe())
    return loads


def test_gathered_reports_need_fewer_calls_and_delay_no_job(run_virtual, load):
    before, after = compare(run_virtual, load, OPPORTUNISTIC_RATE)
    assert after.calls < 0.75 * before.calls
    assert after.finished >= before.finished
    assert after.list_delays(is_urgent=True, is_last=True)[-1] <= 30
    last = after.list_delays(is_urgent=False, is_last=True)
    assert statistics.mean(last) <= 30
    others = after.list_delays(is_urgent=False, is_last=False)
    # The stand-in ends runs in steps of 10 ms.
    assert others[-1] <= _report_schedule.MAX_PAUSE_MS + 50


def test_overloaded_unit_finishes_as_many_steps_as_before(run_virtual, load):
    # The steps that a single play of 12 s finishes differ by 4% by chance.
    pairs = [
        compare(run_virtual, load, OVERLOAD_RATE, seed) for seed in ('', 1, 2)
    ]
    before, after = (
        sum(one.finished for one in plays) for plays in zip(*pairs, strict=True)
    )
    assert after >= 0.97 * before


def test_overloaded_unit_reads_freed_places_as_early_as_before(
    run_virtual, load
):
    before, after = compare(run_virtual, load, OVERLOAD_RATE)
    assert after.calls < before.calls
    assert after.list_delays(is_urgent=True, is_last=True)[-1] <= 30
    assert statistics.mean(after.list_delays(is_urgent=False)) <= (
        statistics.mean(before.list_delays(is_urgent=False)) + 10
    )
