"""Compares policies under equal load: tails, throughput, evictions, waste.

Runs fleets in virtual time over fake workers, which slow a service by random
factors drawn from the seed. Prints ratios to the policy least_loaded over the
report seeds; `--tuning` uses a disjoint set of seeds.
"""

import argparse
import concurrent.futures
import random
import statistics
import time

import attrs
import trio
import trio._core._run as trio_run
import trio.testing

from tulippin.stats import make_histogram
from tulippin.testing import Fleet, FleetSize, check_history
from tulippin.types import SERVICE_PRIORITY, JobKind, JobSpec, Resources

TUNING_SEEDS = (101, 102, 103)
REPORT_SEEDS = (1, 2, 3, 4, 5)
POLICIES = ('least_loaded', 'random', 'best_fit', 'interference', 'oracle')
CLASSES = ('ingest', 'report', 'merge', 'index', 'backup', 'train')
WARM_UP_S = 40


@attrs.frozen
class Deployment:
    """A fleet with its services and batch work."""

    size: FleetSize
    services: tuple
    tasks_per_service: int
    target_ms: float
    service_ms: float
    calls_per_s: float
    batch_cpu: int
    batch_run_ms: int
    jobs_per_s: float
    job_tasks: int


DEPLOYMENTS = {
    'peltosilta': Deployment(
        FleetSize(6, 5, 7, Resources(16000, 64000), domain_count=4),
        ('alerts', 'reports', 'warranty'),
        6,
        20.0,
        8.0,
        40,
        2000,
        8000,
        0.45,
        20,
    ),
    'catalogue': Deployment(
        FleetSize(6, 4, 6, Resources(64000, 250000), domain_count=3),
        ('lookup', 'watch'),
        8,
        25.0,
        10.0,
        30,
        6000,
        10000,
        0.5,
        24,
    ),
}


@attrs.frozen
class Scenario:
    """The load and the faults that a deployment is subject to."""

    name: str
    load: float = 1.0
    waves: bool = False
    use_ratios: tuple = (1.0, 1.0)
    lag_ms: int = 5000
    failing: int = 0
    outage_s: float = 0.0


SCENARIOS = (
    Scenario('quiet', 0.5),
    Scenario('peak'),
    Scenario('waves', waves=True),
    Scenario('wrong sizes', use_ratios=(0.25, 4.0)),
    Scenario('lag 60 s', lag_ms=60000),
    Scenario('failing workers', failing=2),
    Scenario('store outage', outage_s=20),
)


def draw_slowdowns(rng, services):
    """Draw the slowdown of each service by one run of each job class."""
    return {
        (service, name): rng.choice((0.0, 0.02, 0.05, 0.3, 0.8))
        for service in services
        for name in CLASSES
    }


def make_bundle(policy, deployment, settings):
    kind = 'interference' if policy == 'oracle' else policy
    lines = ['[bundle]', 'name = x', '[policy p]', f'kind = {kind}']
    if kind == 'interference':
        lines.extend(settings)
    for service in deployment.services:
        lines.extend(
            (
                f'[service {service}]',
                f'target_ms = {deployment.target_ms}',
            )
        )
    return '\n'.join(lines)


@attrs.define
class Run:
    """A run of a policy in a scenario: its load and its latencies."""

    fleet: Fleet
    deployment: Deployment
    scenario: Scenario
    call_rng: random.Random
    job_rng: random.Random
    histogram: object = attrs.field(factory=make_histogram)
    over_target_ms: float = 0.0
    calls: int = 0
    is_counting_calls: bool = False
    stopped: bool = False

    async def call(self, service):
        began = trio.current_time()
        outcome = await self.fleet.request(service, deadline_ms=3000)
        latency_ms = (trio.current_time() - began) * 1000
        if not self.is_counting_calls or outcome.kind.value != 'answered':
            return
        self.calls += 1
        self.histogram.record_value(int(latency_ms * 1000))
        self.over_target_ms += max(0.0, latency_ms - self.deployment.target_ms)

    async def send_calls(self, nursery):
        rate = self.deployment.calls_per_s * self.scenario.load
        while not self.stopped:
            await trio.sleep(self.call_rng.expovariate(rate))
            service = self.call_rng.choice(self.deployment.services)
            nursery.start_soon(self.call, service)

    async def submit_jobs(self):
        number = 0
        while not self.stopped:
            number += 1
            rate = self.deployment.jobs_per_s * self.scenario.load
            in_wave = self.scenario.waves and int(trio.current_time()) % 30 < 8
            await trio.sleep(self.job_rng.expovariate(rate * (1 + 3 * in_wave)))
            job_class = self.job_rng.choice(CLASSES[:2] if in_wave else CLASSES)
            await self.fleet.submit(
                JobSpec(
                    f'job-{number}',
                    'team',
                    JobKind.BATCH,
                    job_class,
                    self.deployment.job_tasks,
                    Resources(self.deployment.batch_cpu, 1000),
                    int(
                        self.deployment.batch_run_ms
                        * self.job_rng.uniform(0.5, 1.5)
                    ),
                )
            )

    async def cause_faults(self):
        await trio.sleep(WARM_UP_S / 2)
        for name in sorted(self.fleet.workers)[: self.scenario.failing]:
            self.fleet.workers[name].faults.fails_everything = True
        if self.scenario.outage_s:
            await trio.sleep(WARM_UP_S)
            self.fleet.table.faults.down = True
            await trio.sleep(self.scenario.outage_s)
            self.fleet.table.faults.down = False


async def run_policy(policy, deployment, scenario, seed, run_s, settings):
    rng = random.Random(seed)
    slowdowns = draw_slowdowns(rng, deployment.services)
    async with Fleet(deployment.size, seed) as fleet:
        for worker in fleet.workers.values():
            worker.slowdowns.update(slowdowns)
            worker.service_ms = deployment.service_ms
            worker.faults.report_lag_ms = scenario.lag_ms
            worker.faults.use_ratio = rng.choice(scenario.use_ratios)
        await fleet.wait_ready()
        await fleet.roll_bundle(make_bundle(policy, deployment, settings))
        await trio.sleep(3)
        if policy == 'oracle':
            for process in fleet.iter_live():
                set_true_weights(process.shell.state.model, slowdowns)
        for service in deployment.services:
            await fleet.submit_surely(
                JobSpec(
                    service,
                    'team',
                    JobKind.SERVICE,
                    service,
                    deployment.tasks_per_service,
                    Resources(1000, 1000),
                    0,
                    SERVICE_PRIORITY,
                )
            )
        await trio.sleep(3)
        # Separate generators give every policy the same load.
        run = Run(
            fleet,
            deployment,
            scenario,
            random.Random(f'calls {seed}'),
            random.Random(f'jobs {seed}'),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.send_calls, nursery)
            nursery.start_soon(run.submit_jobs)
            nursery.start_soon(run.cause_faults)
            await trio.sleep(WARM_UP_S)
            run.is_counting_calls = True
            counts_before = read_counts(fleet)
            await trio.sleep(run_s)
            run.is_counting_calls = False
            run.stopped = True
            counts_after = read_counts(fleet)
            # Open calls end within their deadline of 3 s.
            nursery.cancel_scope.deadline = trio.current_time() + 4
    done, evicted, wasted = (
        new - old for new, old in zip(counts_after, counts_before, strict=True)
    )
    return {
        'p99': run.histogram.get_value_at_percentile(99) / 1000,
        'p999': run.histogram.get_value_at_percentile(99.9) / 1000,
        'over': run.over_target_ms / max(1, run.calls),
        'done': done,
        'evicted': evicted,
        'wasted': wasted / 1000,
        'broken': len(check_history(fleet.history)),
    }


def set_true_weights(model, slowdowns):
    """Set a model to the true slowdowns and disable learning."""
    model.step = 0.0
    for (service, job_class), slowdown in slowdowns.items():
        model.weights[f'{service}|{job_class}'] = slowdown
        model.sample_counts[f'{service}|{job_class}'] = 1e9


def read_counts(fleet):
    done = evicted = wasted = 0
    for process in fleet.iter_live():
        state = process.shell.state
        done += state.counters['attempts_done']
        evicted += state.counters['attempts_evicted']
        wasted += sum(
            policy.wasted_ms for policy in state.stats.policies.values()
        )
    return done, evicted, wasted


def run_in_process(task):
    policy, deployment_name, scenario, seed, run_s, settings = task
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(
        run_policy,
        policy,
        DEPLOYMENTS[deployment_name],
        scenario,
        seed,
        run_s,
        settings,
        clock=clock,
    )


def compute_ratio(value, base):
    return value / base if base else (1.0 if not value else float('inf'))


def print_results(name, scenario, results, seeds):
    print(f'\n{name}, {scenario.name}, seeds {list(seeds)}')
    print(
        f'{"policy":13} {"p99":>7} {"p999":>7} {"over ms":>8} {"done":>6}'
        f' {"evict":>6} {"waste s":>8}   ratios to least_loaded (spread)'
    )
    for policy in POLICIES:
        rows = [results[policy, seed] for seed in seeds]
        base_rows = [results['least_loaded', seed] for seed in seeds]
        means = {
            key: statistics.fmean(row[key] for row in rows) for key in rows[0]
        }
        ratios = {
            key: [
                compute_ratio(row[key], base[key])
                for row, base in zip(rows, base_rows, strict=True)
            ]
            for key in ('p99', 'over', 'done')
        }
        text = ' '.join(
            f'{key} {statistics.fmean(values):.2f}'
            f' ({min(values):.2f}-{max(values):.2f})'
            for key, values in ratios.items()
        )
        broken = int(sum(row['broken'] for row in rows))
        print(
            f'{policy:13} {means["p99"]:7.1f} {means["p999"]:7.1f}'
            f' {means["over"]:8.2f} {means["done"]:6.0f}'
            f' {means["evicted"]:6.1f} {means["wasted"]:8.1f}   {text}'
            + (f'  PROMISES BROKEN {broken}' if broken else '')
        )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--tuning', action='store_true')
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--processes', type=int, default=6)
    parser.add_argument('--only', default='')
    parser.add_argument('--set', action='append', default=[])
    options = parser.parse_args()
    seeds = TUNING_SEEDS if options.tuning else REPORT_SEEDS
    began = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for name in DEPLOYMENTS:
            for scenario in SCENARIOS:
                label = f'{name}, {scenario.name}'
                if options.only not in label:
                    continue
                keys = [(policy, seed) for policy in POLICIES for seed in seeds]
                tasks = [
                    (policy, name, scenario, seed, options.seconds, options.set)
                    for policy, seed in keys
                ]
                results = dict(
                    zip(keys, pool.map(run_in_process, tasks), strict=True)
                )
                print_results(name, scenario, results, seeds)
    print(f'\nwall {time.monotonic() - began:.0f} s')


if __name__ == '__main__':
    main()
