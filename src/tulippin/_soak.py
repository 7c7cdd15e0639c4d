"""Random faults against a fleet under load, with its history checked."""

from __future__ import annotations

import collections
import enum
import random
import typing as t

import attrs
import trio

from tulippin import codec
from tulippin._fake_process import Process
from tulippin._fleet import Fleet, FleetSize
from tulippin.history import Violation, check_history
from tulippin.messages import JobStatus
from tulippin.types import (
    SERVICE_PRIORITY,
    URGENT_PRIORITY,
    JobKind,
    JobSpec,
    Resources,
    WorkerStanding,
)

_SERVICE: t.Final = 'alerts'
_SETTLE_LIMIT_S: t.Final = 400.0
_ANSWER_SLACK_MS: t.Final = 1000
_CALL_DEADLINE_MS: t.Final = 2000
_JOB_DEADLINE_MS: t.Final = 10000
_BUNDLE: t.Final = (
    '[bundle]\nname = {name}\n[trial]\npolicies = a, b\nwindow_s = 5\n'
    'wash_out_s = 1\n[policy a]\nkind = interference\n'
    '[policy b]\nkind = least_loaded\n[service alerts]\ntarget_ms = 20\n'
)


class FaultKind(enum.Enum):
    """Kinds of faults that a scenario injects."""

    CRASH = 'crash'
    PAUSE = 'pause'
    STOP = 'stop'
    PEERS_CUT = 'peers_cut'
    WORKER_CUT = 'worker_cut'
    DOMAIN_CUT = 'domain_cut'
    STORE_DOWN = 'store_down'
    STORE_SLOW = 'store_slow'
    STORE_CUT = 'store_cut'
    LOST_ANSWERS = 'lost_answers'
    NETWORK_NOISE = 'network_noise'
    WORKER_CRASH = 'worker_crash'
    WORKER_FAILS = 'worker_fails'
    WORKER_LEAVES = 'worker_leaves'
    BAD_ANSWERS = 'bad_answers'
    CANCEL = 'cancel'
    URGENT = 'urgent'
    BUNDLE_RACE = 'bundle_race'


@attrs.frozen
class FaultStep:
    """A fault with its time and duration.

    ``target``, modulo their number, selects the process or worker.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int


@attrs.frozen
class Scenario:
    """A soak run: its seed, its faults and the size of its fleet."""

    seed: int
    steps: tuple[FaultStep, ...]
    run_s: float = 60.0
    size: FleetSize = FleetSize(4, 3, 2)
    caller_count: int = 3


@attrs.define
class SoakResult:
    """The result of a run.

    Parameters
    ----------
    violations : list of Violation
        Promises that the history breaks.
    event_count, entry_count : int
        Numbers of reduced events and of entries of the history.
    outcomes : Counter of str
        Requests by outcome.
    unsettled : list of str
        Accepted jobs that weren't finished when the settle limit passed.
    late_answers : list of str
        Requests that were answered after their deadline.
    """

    violations: list[Violation]
    event_count: int
    entry_count: int
    outcomes: collections.Counter[str]
    unsettled: list[str]
    late_answers: list[str]

    @property
    def is_clean(self) -> bool:
        """Return whether the run had no failure of any kind."""
        return not (self.violations or self.unsettled or self.late_answers)

    def render(self) -> str:
        """Return the failures, one per line."""
        lines = [violation.render() for violation in self.violations]
        lines.extend(f'not settled: {name}' for name in self.unsettled)
        lines.extend(f'answered late: {name}' for name in self.late_answers)
        return '\n'.join(lines)


def make_scenario(seed: int, step_count: int = 6) -> Scenario:
    """Return a random scenario that depends only on the arguments."""
    rng = random.Random(seed)
    kinds = list(FaultKind)
    steps = tuple(
        FaultStep(
            rng.choice(kinds),
            round(rng.uniform(3, 50), 2),
            round(rng.choice((0.5, 2, 6, 12, 25)) * rng.uniform(0.5, 1.5), 2),
            rng.randrange(1000),
        )
        for _ in range(step_count)
    )
    return Scenario(seed, steps)


@attrs.define
class _Soak:
    """A run in progress: its load, its faults and its counts."""

    fleet: Fleet
    scenario: Scenario
    rng: random.Random
    stopped: bool = False
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    accepted: set[str] = attrs.field(factory=set)
    cancelled: set[str] = attrs.field(factory=set)
    late_answers: list[str] = attrs.field(factory=list)
    job_count: int = 0

    # load

    async def send_requests(self, caller: int) -> None:
        """Send requests until stopped, some of them twice under one id."""
        number = 0
        while not self.stopped:
            number += 1
            request_id = f'request-{caller}-{number}'
            repeatable = self.rng.random() < 0.5
            send_count = 1 + (not repeatable and self.rng.random() < 0.3)
            for _ in range(send_count):
                await self._send_request(request_id, repeatable)
            await trio.sleep(self.rng.random() * 0.2)

    async def _send_request(self, request_id: str, repeatable: bool) -> None:
        if not self.fleet.iter_live():
            await trio.sleep(0.1)
            return
        began_ms = self.fleet.get_now_ms()
        outcome = await self.fleet.request(
            _SERVICE,
            request_id=request_id,
            repeatable=repeatable,
            deadline_ms=_CALL_DEADLINE_MS,
        )
        took_ms = self.fleet.get_now_ms() - began_ms
        if took_ms > _CALL_DEADLINE_MS + _ANSWER_SLACK_MS and not _was_paused(
            self.fleet, began_ms
        ):
            self.late_answers.append(f'{request_id} after {took_ms} ms')
        self.outcomes[outcome.kind.value] += 1

    async def submit_jobs(self) -> None:
        """Submit batch jobs of mixed sizes until stopped."""
        while not self.stopped:
            await self.submit_job(priority=0)
            await trio.sleep(1 + self.rng.random() * 3)

    async def submit_job(self, priority: int) -> None:
        """Submit a random job and record its id if it is accepted."""
        self.job_count += 1
        spec = JobSpec(
            f'job-{self.job_count}',
            'team',
            JobKind.BATCH,
            self.rng.choice(('calm', 'noisy')),
            self.rng.randrange(1, 12),
            Resources(self.rng.choice((500, 1000, 3000)), 1024),
            self.rng.randrange(300, 9000),
            priority,
            50,
        )
        if not self.fleet.iter_live():
            return
        code = await self.fleet.submit(spec)
        if code == 'ok':
            self.accepted.add(spec.job_id)

    # faults

    async def inject_step(self, step: FaultStep) -> None:
        """Wait for the time of a step, then inject its fault."""
        await trio.sleep(step.at_s)
        await inject_fault(step.kind, self, step)

    def pick_process(self, step: FaultStep) -> Process | None:
        """Return the running process that a step targets, if any runs."""
        live = self.fleet.iter_live()
        return live[step.target % len(live)] if live else None

    def pick_worker(self, step: FaultStep) -> str:
        """Return the id of the worker that a step targets."""
        names = sorted(self.fleet.workers)
        return names[step.target % len(names)]

    async def cut(self, name: str, other_name: str, for_s: float) -> None:
        """Cut the network between two names for ``for_s``."""
        pair = frozenset((name, other_name))
        for worker_id in self.fleet.workers:
            domain = self.fleet.network.domains[worker_id]
            if {worker_id, domain} & pair:
                self.fleet.record_unreachable(worker_id, for_s)
        self.fleet.network.faults.cut_pairs.add(pair)
        await trio.sleep(for_s)
        self.fleet.network.faults.cut_pairs.discard(pair)

    # settling

    async def settle(self) -> list[str]:
        """End all faults and wait until all accepted jobs are finished.

        Return what is still unsettled when the limit has passed.
        """
        fleet = self.fleet
        for store in (fleet.table, fleet.objects):
            store.faults = attrs.evolve(
                store.faults,
                down=False,
                delay_s=0.002,
                lost_answer_share=0.0,
                lost_call_share=0.0,
                cut_off=set(),
            )
        fleet.network.faults = type(fleet.network.faults)()
        for number in range(self.scenario.size.instance_count):
            process = fleet.find_process(f'instance-{number}')
            if process is None:
                fleet.start_instance(f'instance-{number}')
            else:
                process.gate.open()
        for worker in fleet.workers.values():
            worker.faults = type(worker.faults)()
            worker.leaving = False
            if not worker.alive:
                worker.restart(f'end-{self.source.random()}')
        unsettled: list[str] = ['not asked']
        with trio.move_on_after(_SETTLE_LIMIT_S):
            while unsettled:
                await trio.sleep(1)
                unsettled = await self._find_unsettled()
        return unsettled

    async def _find_unsettled(self) -> list[str]:
        shells = [process.shell for process in self.fleet.iter_live()]
        if not shells:
            return ['nobody is live']
        answer = await shells[0].report('jobs:')
        jobs = {
            job.spec.job_id: job
            for body in answer.bodies
            for job in codec.decode(body, list[JobStatus])
        }
        unsettled = [
            f'{name} is lost' for name in sorted(self.accepted - set(jobs))
        ]
        for name, job in sorted(jobs.items()):
            if job.spec.kind is JobKind.SERVICE:
                continue
            if job.state not in {'done', 'cancelled'}:
                unsettled.append(f'{name} is {job.state}')
            elif job.state == 'done' and job.done_count < job.spec.task_count:
                unsettled.append(f'{name} did {job.done_count} tasks')
        return unsettled


def _was_paused(fleet: Fleet, since_ms: int) -> bool:
    return any(
        entry.details['until_ms'] >= since_ms
        for entry in fleet.history.iter_kind('disturbed')
    )


Injector = t.Callable[[_Soak, FaultStep], t.Awaitable[None]]

_INJECTORS: dict[FaultKind, Injector] = {}


def _injects(kind: FaultKind) -> t.Callable[[Injector], Injector]:
    def register(function: Injector) -> Injector:
        _INJECTORS[kind] = function
        return function

    return register


async def inject_fault(kind: FaultKind, soak: _Soak, step: FaultStep) -> None:
    """Inject a fault and end it after its duration."""
    await _INJECTORS[kind](soak, step)


@_injects(FaultKind.CRASH)
async def _crash(soak: _Soak, step: FaultStep) -> None:
    process = soak.pick_process(step)
    if process is None:
        return
    soak.fleet.crash(process.instance_id)
    await process.ended.wait()
    await _restart_instance(soak, process, step)


async def _restart_instance(
    soak: _Soak, process: Process, step: FaultStep
) -> None:
    """Start an instance after its fault, unless it runs again already."""
    await trio.sleep(step.for_s)
    if soak.fleet.find_process(process.instance_id) is None:
        soak.fleet.start_instance(process.instance_id)


@_injects(FaultKind.STOP)
async def _stop(soak: _Soak, step: FaultStep) -> None:
    process = soak.pick_process(step)
    if process is None:
        return
    await soak.fleet.stop(process.instance_id)
    await _restart_instance(soak, process, step)


@_injects(FaultKind.PAUSE)
async def _pause(soak: _Soak, step: FaultStep) -> None:
    process = soak.pick_process(step)
    if process is not None:
        await soak.fleet.pause(process.instance_id, step.for_s)


@_injects(FaultKind.PEERS_CUT)
async def _cut_peers(soak: _Soak, step: FaultStep) -> None:
    count = soak.scenario.size.instance_count
    number, other_number = step.target % count, (step.target // count) % count
    await soak.cut(f'instance-{number}', f'instance-{other_number}', step.for_s)


@_injects(FaultKind.WORKER_CUT)
async def _cut_worker(soak: _Soak, step: FaultStep) -> None:
    worker_id = soak.pick_worker(step)
    async with trio.open_nursery() as nursery:
        connected = None if step.target % 2 else step.target % 3
        for number in range(soak.scenario.size.instance_count):
            if number != connected:
                nursery.start_soon(
                    soak.cut, f'instance-{number}', worker_id, step.for_s
                )


@_injects(FaultKind.DOMAIN_CUT)
async def _cut_domain(soak: _Soak, step: FaultStep) -> None:
    domain = f'domain-{step.target % 3}'
    next_domain = f'domain-{(step.target + 1) % 3}'
    await soak.cut(domain, next_domain, step.for_s)


async def _set_stores(soak: _Soak, step: FaultStep, **changes: t.Any) -> None:
    stores = (soak.fleet.table, soak.fleet.objects)
    soak.fleet.history.note(
        'disturbed',
        until_ms=soak.fleet.get_now_ms() + int(step.for_s * 1000),
    )
    previous_values = []
    for store in stores:
        previous_values.append(
            {name: getattr(store.faults, name) for name in changes}
        )
        for name, value in changes.items():
            setattr(store.faults, name, value)
    await trio.sleep(step.for_s)
    for store, previous in zip(stores, previous_values, strict=True):
        for name, value in previous.items():
            setattr(store.faults, name, value)


@_injects(FaultKind.STORE_DOWN)
async def _take_down_store(soak: _Soak, step: FaultStep) -> None:
    await _set_stores(soak, step, down=True)


@_injects(FaultKind.STORE_SLOW)
async def _slow_store(soak: _Soak, step: FaultStep) -> None:
    await _set_stores(soak, step, delay_s=0.2 + step.target % 30 / 10)


@_injects(FaultKind.LOST_ANSWERS)
async def _lose_answers(soak: _Soak, step: FaultStep) -> None:
    await _set_stores(soak, step, lost_answer_share=0.2, lost_call_share=0.2)


@_injects(FaultKind.STORE_CUT)
async def _cut_store(soak: _Soak, step: FaultStep) -> None:
    process = soak.pick_process(step)
    if process is None:
        return
    instance_id = process.instance_id
    soak.fleet.history.note(
        'disturbed',
        until_ms=soak.fleet.get_now_ms() + int(step.for_s * 1000),
    )
    for store in (soak.fleet.table, soak.fleet.objects):
        store.faults.cut_off.add(instance_id)
    await trio.sleep(step.for_s)
    for store in (soak.fleet.table, soak.fleet.objects):
        store.faults.cut_off.discard(instance_id)


@_injects(FaultKind.NETWORK_NOISE)
async def _disturb_network(soak: _Soak, step: FaultStep) -> None:
    faults = soak.fleet.network.faults
    faults.duplicate_share, faults.late_share = 0.2, 0.05
    faults.lost_share = 0.03
    await trio.sleep(step.for_s)
    faults.duplicate_share = faults.late_share = faults.lost_share = 0


@_injects(FaultKind.WORKER_CRASH)
async def _crash_worker(soak: _Soak, step: FaultStep) -> None:
    worker = soak.fleet.workers[soak.pick_worker(step)]
    if worker.alive:
        soak.fleet.record_unreachable(worker.info.worker_id, step.for_s)
        worker.crash()
        await trio.sleep(step.for_s)
        worker.restart(f'after-{step.at_s}')


@_injects(FaultKind.WORKER_FAILS)
async def _fail_worker(soak: _Soak, step: FaultStep) -> None:
    worker = soak.fleet.workers[soak.pick_worker(step)]
    worker.faults.fails_everything = True
    await trio.sleep(step.for_s)
    worker.faults.fails_everything = False


@_injects(FaultKind.WORKER_LEAVES)
async def _mark_worker_leaving(soak: _Soak, step: FaultStep) -> None:
    fleet = soak.fleet
    worker_id = soak.pick_worker(step)
    fleet.directory.set_standing(worker_id, WorkerStanding.LEAVING)
    await trio.sleep(step.for_s)
    fleet.directory.set_standing(worker_id, WorkerStanding.LIVE)


@_injects(FaultKind.BAD_ANSWERS)
async def _corrupt_answers(soak: _Soak, step: FaultStep) -> None:
    worker = soak.fleet.workers[soak.pick_worker(step)]
    faults = worker.faults
    faults.swap_share = faults.truncate_share = faults.break_share = 0.1
    faults.late_share = 0.05
    await trio.sleep(step.for_s)
    faults.swap_share = faults.truncate_share = faults.break_share = 0
    faults.late_share = 0


@_injects(FaultKind.CANCEL)
async def _cancel(soak: _Soak, step: FaultStep) -> None:
    process = soak.pick_process(step)
    job_ids = sorted(soak.accepted - soak.cancelled)
    if process is None or not job_ids:
        return
    for job_id in job_ids[-3:]:
        soak.cancelled.add(job_id)
        with trio.move_on_after(_JOB_DEADLINE_MS / 1000):
            if process.shell is not None:
                await process.shell.operate_job('cancel', job_id)


@_injects(FaultKind.URGENT)
async def _submit_urgent(soak: _Soak, step: FaultStep) -> None:
    await soak.submit_job(URGENT_PRIORITY)


@_injects(FaultKind.BUNDLE_RACE)
async def _race_bundles(soak: _Soak, step: FaultStep) -> None:
    async def roll(name: str) -> None:
        try:
            await soak.fleet.roll_bundle(_BUNDLE.format(name=name))
        except Exception as error:
            soak.outcomes[f'bundle {type(error).__name__}'] += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(roll, f'one-{step.at_s}')
        nursery.start_soon(roll, f'two-{step.at_s}')


async def run_scenario(
    scenario: Scenario, overrides: t.Mapping[str, t.Any] | None = None
) -> SoakResult:
    """Run a scenario under the current clock of trio; return its result."""
    rng = random.Random(scenario.seed)
    fleet = Fleet(scenario.size, scenario.seed, overrides)
    async with fleet:
        soak = _Soak(fleet, scenario, rng)
        await fleet.wait_ready()
        await fleet.submit_surely(
            JobSpec(
                'service',
                'team',
                JobKind.SERVICE,
                _SERVICE,
                4,
                Resources(500, 512),
                0,
                SERVICE_PRIORITY,
            )
        )
        async with trio.open_nursery() as nursery:
            for caller in range(scenario.caller_count):
                nursery.start_soon(soak.send_requests, caller)
            nursery.start_soon(soak.submit_jobs)
            for step in scenario.steps:
                nursery.start_soon(soak.inject_step, step)
            await trio.sleep(scenario.run_s)
            soak.stopped = True
        unsettled = await soak.settle()
        await trio.sleep(1)
    return SoakResult(
        check_history(fleet.history),
        fleet.event_count,
        len(fleet.history.entries),
        soak.outcomes,
        unsettled,
        soak.late_answers,
    )
