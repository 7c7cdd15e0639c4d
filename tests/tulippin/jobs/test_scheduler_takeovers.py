"""Tests with two instances that both regard themselves as a unit's owner."""

import random

import attrs
import pytest
import trio

from scheduler_fleet import (
    JOB,
    LIMIT_MS,
    LOW_PRIORITY_QUEUE,
    QUEUE,
    WALL_OFFSET_MS,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.events import (
    OWNERSHIP_EVENTS,
    LeaseSeen,
    PaceAnswered,
    StartAnswered,
    StopAnswered,
    Ticked,
    WorkerSilent,
)
from tulippin.jobs.records import (
    EPOCH_KEY,
    GUEST_SUFFIX,
    LEASE_KEY,
    UNITS_TABLE,
    Unit,
    get_jobs_part,
)
from tulippin.jobs.state import Phase
from tulippin.jobs.types import (
    JobState,
    OrderAnswer,
    OrderOutcome,
    Schedule,
    TaskKey,
)
from tulippin.platform.standin import StandinAgents, get_now_ms
from tulippin.platform.standin_store import CALL_TIMEOUT_S, StoreView

# Delay of a new owner's calls to a worker that a test slows down.
SLOW_CALL_S = 0.1
# Maximum random delay of a call to a worker; most delays are shorter.
JITTER_S = 0.2
# Time until a scheduled job is due: a successor waits for 6 s for workers that
# it does not reach, after a lease of 2 s.
DUE_AFTER_MS = 11_000


@attrs.define
class CallFaults:
    """Delays, blocks or drops single calls of single clients.

    ``gates`` block writes by client, partition and the suffix of a row's key;
    ``unanswered`` are the client, partition and key of writes that are never
    applied.
    """

    gates: dict = attrs.field(factory=dict)
    unanswered: set = attrs.field(factory=set)
    worker_s: dict = attrs.field(factory=dict)
    feed_s: dict = attrs.field(factory=dict)
    reading_gates: dict = attrs.field(factory=dict)
    dropped_stops: set = attrs.field(factory=set)
    jitter: random.Random | None = None

    def install(self, monkeypatch):
        """Intercept the clients' calls to the platform."""
        for owner, name in (
            (StoreView, 'transact'),
            (StoreView, 'read_rows'),
            (StoreView, 'follow'),
            (StandinAgents, '_reach'),
            (StandinAgents, 'stop'),
        ):
            inner = getattr(owner, name)
            monkeypatch.setattr(
                owner, name, self._wrap(inner, f'before_{name.strip("_")}')
            )
        return self

    def _wrap(self, inner, name):
        before = getattr(self, name)

        async def call(client, *arguments):
            answer = await before(client, *arguments)
            if answer is not None:
                return answer
            return await inner(client, *arguments)

        return call

    async def before_transact(self, view, transaction):
        for write in transaction.writes:
            call_key = view.client, transaction.part, write.key
            if call_key in self.unanswered:
                await trio.sleep(CALL_TIMEOUT_S)
                raise AnswerLostError('held back')
            for (client, part, suffix), gate in list(self.gates.items()):
                is_match = client in {view.client, '*'}
                is_match = is_match and part in {transaction.part, '*'}
                if is_match and write.key.endswith(suffix):
                    await gate.wait()

    async def before_read_rows(self, view, table, *_):
        gate = self.reading_gates.get((view.client, table))
        if gate is not None:
            await gate.wait()

    async def before_follow(self, view, table, *_):
        await trio.sleep(self.feed_s.get((view.client, table), 0))

    async def before_reach(self, agents, address):
        await trio.sleep(self.worker_s.get((agents.client, address), 0))
        if self.jitter is not None:
            await trio.sleep(self.jitter.random() ** 3 * JITTER_S)

    async def before_stop(self, agents, worker_id, *_):
        if (agents.client, worker_id) in self.dropped_stops:
            await trio.sleep(CALL_TIMEOUT_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        return None


@pytest.fixture
def call_faults(monkeypatch):
    return CallFaults().install(monkeypatch)


def get_epoch_row(fleet, number=0):
    return fleet.platform.store.rows[UNITS_TABLE, Unit(number).part, EPOCH_KEY]


async def wait_taken(fleet, number=0, limit_s=4):
    """Wait until the unit's epoch changes; return its row."""
    before = get_epoch_row(fleet, number)
    with trio.fail_after(limit_s):
        while get_epoch_row(fleet, number) == before:
            await trio.sleep(0.001)
    return get_epoch_row(fleet, number)


def get_new_owner(fleet, known, number=0):
    """Return the instance, other than the known owner, that takes a unit."""
    phases = {Phase.TAKING, Phase.LOADING, Phase.ACTIVE}
    return next(
        name
        for name, instance in fleet.instances.items()
        if name != known
        and instance.shell.units[number].state.ownership.phase in phases
    )


def slow_first_worker(fleet, call_faults, name):
    worker = fleet.platform.workers['w0']
    call_faults.worker_s[name, worker.address] = SLOW_CALL_S


async def succeed_unaware_owner(fleet, call_faults, number=0):
    """Let another instance take the unit of an owner whose renewals are lost.

    All other instances reach one worker late, so that it receives the new
    epoch after the other workers.
    """
    first = fleet.get_owner()
    call_faults.unanswered.add((first, Unit(number).part, LEASE_KEY))
    for name in fleet.instances:
        if name != first:
            slow_first_worker(fleet, call_faults, name)
    row = await wait_taken(fleet, number)
    return first, get_new_owner(fleet, first, number), row


@pytest.mark.parametrize('after_s', [0.004, 0.01, 0.03, 0.06])
def test_job_accepted_after_takeover_starts_once(
    run_virtual, call_faults, after_s
):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            _, second, row = await succeed_unaware_owner(fleet, call_faults)
            await trio.sleep(after_s)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by=second)
            await fleet.wait_done(JOB)
            job_row = next(
                change
                for change in fleet.platform.store.changes
                if change.key == JOB
            )
            assert job_row.version > row.version
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


@pytest.mark.parametrize('is_short', [True, False])
def test_run_found_before_its_job_is_the_only_one(
    run_virtual, call_faults, is_short
):
    """The first owner starts a job that the second one receives later."""

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            _, second, _ = await succeed_unaware_owner(fleet, call_faults)
            call_faults.feed_s[second, Unit().jobs_table] = 0.3
            call_faults.dropped_stops.add((second, 'w0'))
            await trio.sleep(0.01)
            request = make_request(run_ms=30 if is_short else 6000)
            await fleet.submit(request=request, by=second)
            await trio.sleep(3)
            call_faults.dropped_stops.clear()
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_owner_succeeded_while_loading_starts_nothing(run_virtual, call_faults):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            # Wait until all workers are on the unit's roster.
            await trio.sleep(1)
            fleet.kill_owner()
            overtaken = next(iter(fleet.instances))
            reading = call_faults.reading_gates[overtaken, 'servers'] = (
                trio.Event()
            )
            await wait_taken(fleet)
            call_faults.unanswered.add((overtaken, Unit().part, LEASE_KEY))
            await fleet.start('newer')
            slow_first_worker(fleet, call_faults, 'newer')
            await wait_taken(fleet)
            reading.set()
            await trio.sleep(0.01)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by='newer')
            await fleet.wait_done(JOB)
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


def test_lease_of_late_takeover_counts_from_request(run_virtual, call_faults):
    """The new owner learns from its second attempt that the first worked."""

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            await trio.sleep(1)
            trouble = fleet.platform.store.trouble
            fleet.kill_owner()
            unaware = next(iter(fleet.instances))
            unit = fleet.instances[unaware].shell.units[0]
            while unit.state.ownership.phase is not Phase.TAKING:
                await trio.sleep(0.001)
            trouble.lost_answer_share = 1.0
            await trio.sleep(0.01)
            trouble.lost_answer_share = 0.0
            await fleet.start('newer')
            slow_first_worker(fleet, call_faults, 'newer')
            await fleet.wait_owner()
            call_faults.unanswered.add((unaware, Unit().part, LEASE_KEY))
            await wait_taken(fleet)
            await trio.sleep(0.01)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by='newer')
            await fleet.wait_done(JOB)
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


class Pause:
    """Suspends an instance's process, and queues its events."""

    def __init__(self, shell):
        self.shell = shell
        self.waiting = []

    def begin(self):
        self.shell.post_to = self._keep

    def _keep(self, unit, event):
        # A suspended process gets a single tick when it resumes.
        if not isinstance(event, Ticked):
            self.waiting.append((unit, event))

    def end(self):
        del self.shell.post_to
        for unit, event in self.waiting:
            self.shell.post_to(unit, event)


def test_renewal_sent_before_pause_does_not_confirm_ownership(
    run_virtual, call_faults
):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            first = fleet.get_owner()
            shell = fleet.instances[first].shell
            ownership = shell.units[0].state.ownership
            with trio.fail_after(2):
                while not ownership.is_renewing:
                    await trio.sleep(0.001)
            # The answer to the pending renewal arrives during the pause.
            pause = Pause(shell)
            pause.begin()
            for name in fleet.instances:
                if name != first:
                    slow_first_worker(fleet, call_faults, name)
            await wait_taken(fleet)
            second = get_new_owner(fleet, first)
            await trio.sleep(0.03)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by=second)
            pause.end()
            await fleet.wait_done(JOB)
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


def delay_events(shell, delay_s, late=()):
    """Let all events wait but those that ownership depends on.

    Events of the types ``late`` wait as well.
    """
    post_now = shell.post_to

    async def post_later(unit, event):
        await trio.sleep(delay_s)
        post_now(unit, event)

    def post(unit, event):
        if isinstance(event, OWNERSHIP_EVENTS) and not isinstance(event, late):
            post_now(unit, event)
        else:
            shell.start(post_later, unit, event)

    shell.post_to = post


@pytest.mark.parametrize('delay_s', [2, 4, 8, 12, 16])
def test_owner_with_late_events_starts_nothing_beside_its_successor(
    run_virtual, call_faults, delay_s
):
    """Guards against starts by an owner whose news waits in its inbox."""

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            second = fleet.get_other_instance(first)
            due_ms = get_now_ms() + WALL_OFFSET_MS + DUE_AFTER_MS
            request = attrs.evolve(
                make_request(make_step(3, max_per_worker=1), run_ms=4000),
                schedule=Schedule(due_ms, 1000, 1),
            )
            await fleet.submit(request=request)
            await trio.sleep(0.5)
            fleet.platform.workers['w0'].unreachable_clients = {second}
            call_faults.unanswered.add((first, Unit().part, LEASE_KEY))
            # The unit's own rows would tell the owner at once.
            delay_events(fleet.instances[first].shell, delay_s, LeaseSeen)
            await wait_taken(fleet)
            await trio.sleep(DUE_AFTER_MS / 1000 + 2)
            fleet.platform.workers['w0'].unreachable_clients = set()
            await fleet.wait_state(JOB, JobState.COMPLETED, by=second)
            fleet.check()

    run_virtual(run)


FENCED = OrderAnswer(OrderOutcome.FENCED)
KEY = TaskKey(JOB, 0, 0, 0)


@pytest.mark.parametrize(
    'refusal',
    [
        WorkerSilent(0, 'w0', 'fenced', is_fenced=True),
        StartAnswered(0, 'w0', KEY, 1, FENCED),
        StopAnswered(0, 'w0', KEY, 1, FENCED),
        PaceAnswered(0, 'w0', KEY, 1, 50, FENCED),
    ],
    ids=lambda refusal: type(refusal).__name__,
)
def test_refusal_by_a_worker_is_handled_before_waiting_events(
    run_virtual, refusal
):
    """Guards against an owner that decides on until its inbox is read."""

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            unit = fleet.instances[first].shell.units[0]
            stepped = []
            step = unit.step
            unit.step = lambda event: (stepped.append(event), step(event))
            unit.post(WorkerSilent(0, 'w1', 'no answer'))
            unit.post(refusal)
            await trio.sleep(0.1)
            assert stepped[0] is refusal
            assert not fleet.instances[first].is_owner

    run_virtual(run)


def test_owner_with_late_events_learns_of_its_successor_from_the_lease(
    run_virtual, call_faults
):
    """Guards against an owner that decides on until its inbox is read."""

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            call_faults.unanswered.add((first, Unit().part, LEASE_KEY))
            delay_events(fleet.instances[first].shell, 8)
            await wait_taken(fleet)
            await trio.sleep(0.5)
            assert not fleet.instances[first].is_owner

    run_virtual(run)


@pytest.mark.parametrize(
    ('count', 'delay_s', 'slow_s', 'due_ms'),
    [
        (5, 0, 3, 6000),
        (5, 1, 2, 6000),
        (5, 1, 2.5, 7000),
        (5, 1, 3, 7000),
        (4, 1, 2.5, 7000),
        (4, 1, 3, 7000),
        (4, 0, 3, 6000),
    ],
)
def test_successor_slow_to_reach_its_workers_starts_nothing_twice(
    run_virtual, call_faults, count, delay_s, slow_s, due_ms
):
    """Guards against waits that end before the earlier owner is refused."""

    async def run():
        async with open_fleet(instances=2, workers=count) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            second = fleet.get_other_instance(first)
            request = attrs.evolve(
                make_request(
                    make_step(count + 1, cpu=2000, max_per_worker=2),
                    run_ms=6000,
                ),
                schedule=Schedule(
                    get_now_ms() + WALL_OFFSET_MS + due_ms, 1000, 1
                ),
            )
            await fleet.submit(request=request)
            await trio.sleep(0.5)
            workers = list(fleet.platform.workers.values())
            for worker in workers[:2]:
                worker.unreachable_clients = {second}
            fleet.platform.store.trouble.silenced = {first}
            fleet.platform.store.blackhole_feeds(first)
            delay_events(fleet.instances[first].shell, delay_s)
            for worker in workers:
                call_faults.worker_s[second, worker.address] = slow_s
            await wait_taken(fleet)
            await trio.sleep(slow_s + 0.05)
            call_faults.worker_s.clear()
            await trio.sleep(15)
            fleet.platform.store.trouble.silenced = set()
            for worker in workers:
                worker.unreachable_clients = set()
            await fleet.wait_state(JOB, JobState.COMPLETED, by=second)
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('back_s', [5, 6.5, 8, 12])
def test_successor_that_reaches_no_worker_at_first_starts_nothing_twice(
    run_virtual, back_s
):
    """Guards against waits that end before the earlier owner is refused."""

    async def run():
        async with open_fleet(instances=2, workers=5) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            second = fleet.get_other_instance(first)
            due_ms = get_now_ms() + WALL_OFFSET_MS + 6000
            request = attrs.evolve(
                make_request(
                    make_step(6, cpu=2000, max_per_worker=2), run_ms=12_000
                ),
                schedule=Schedule(due_ms, 1000, 1),
            )
            await fleet.submit(request=request)
            await trio.sleep(0.5)
            workers = list(fleet.platform.workers.values())
            for worker in workers:
                worker.unreachable_clients = {second}
            fleet.platform.store.trouble.silenced = {first}
            fleet.platform.store.blackhole_feeds(first)
            await wait_taken(fleet)
            await trio.sleep(back_s)
            for worker in workers[2:]:
                worker.unreachable_clients = set()
            await trio.sleep(15)
            fleet.platform.store.trouble.silenced = set()
            for worker in workers:
                worker.unreachable_clients = set()
            await fleet.wait_state(JOB, JobState.COMPLETED, 40, by=second)
            fleet.check()

    run_virtual(run)


def test_finished_job_is_not_new_after_lost_history(run_virtual, call_faults):
    """A removed job whose rows remain isn't run when rows are read again."""

    async def run():
        async with open_fleet(instances=1) as fleet:
            unit = fleet.instances['i0'].shell.units[0]
            unit.state.config = attrs.evolve(
                unit.state.config, finished_retention_ms=1000
            )
            await fleet.submit()
            await fleet.wait_done(JOB)
            call_faults.unanswered.add(('i0', get_jobs_part(JOB, 8), JOB))
            with trio.fail_after(10):
                while JOB in unit.state.jobs:
                    await trio.sleep(0.05)
            fleet.platform.store.drop_change_log()
            await trio.sleep(4)
            fleet.check()
            assert fleet.count_starts() == 1

    run_virtual(run)


def get_unit_workers(fleet, number):
    """Return the addresses of a unit's workers."""
    shell = next(iter(fleet.instances.values())).shell
    return [
        worker.address
        for worker in fleet.platform.workers.values()
        if shell.layout.racks.get(worker.labels[1]) == number
    ]


def get_owner_of(fleet, number):
    for name, instance in fleet.instances.items():
        if instance.shell.units[number].is_owner:
            return name
    return None


async def wait_all_owned(fleet):
    await fleet.instances['i0'].shell.layout_known.wait()
    numbers = fleet.instances['i0'].shell.layout.unit_numbers
    with trio.fail_after(15):
        while not all(get_owner_of(fleet, number) for number in numbers):
            await trio.sleep(0.05)
    await trio.sleep(1)
    return numbers


def test_tasks_transferred_during_takeover_run_once(run_virtual, call_faults):
    async def run():
        async with open_fleet(6, 60, rack_size=12) as fleet:
            other = (await wait_all_owned(fleet))[-1]
            for instance in fleet.instances.values():
                instance.shell.choose_unit = lambda request, service: 0
            first = get_owner_of(fleet, other)
            passing = call_faults.gates['*', '*', GUEST_SUFFIX] = trio.Event()
            lasting = make_step(60, 10_000, long_running=True)
            await fleet.submit(request=make_request(lasting, lasts=True))
            call_faults.unanswered.add((first, Unit(other).part, LEASE_KEY))
            for address in get_unit_workers(fleet, other)[::2]:
                for name in fleet.instances:
                    if name != first:
                        call_faults.worker_s[name, address] = 0.4
            await wait_taken(fleet, other)
            await trio.sleep(0.01)
            passing.set()
            await trio.sleep(3)
            fleet.check()

    run_virtual(run)


async def send_job(fleet, number, source):
    """Submit a job at a random instance, and cancel some of the jobs."""
    job_id = f'{number:016x}'
    steps = (make_step(source.randint(1, 4)),)
    lasts = number % 6 == 0
    if lasts:
        steps = (make_step(3, long_running=True),)
    elif number % 3 == 0:
        steps = (*steps, make_step(2, after=(0,)))
    request = make_request(
        *steps, run_ms=source.randrange(50, 2500), lasts=lasts
    )
    queue = source.choice((QUEUE, LOW_PRIORITY_QUEUE))
    name = source.choice(list(fleet.instances))
    intake = fleet.instances[name].intake
    try:
        await intake.submit(job_id, queue, request, LIMIT_MS)
        await trio.sleep(2)
        if number % 5 == 0:
            await intake.cancel(job_id, queue, LIMIT_MS)
    except UnavailableError:
        # The caller gives up; the job may have been accepted all the same.
        return


async def submit_steadily(fleet, seed, for_s, late_share=0):
    """Submit jobs while a share of the store's writes is applied late."""
    source = fleet.platform.store.source
    source.seed(seed)
    fleet.platform.store.trouble.late_write_share = late_share
    number = 0
    ends_at = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends_at:
            nursery.start_soon(send_job, fleet, number, source)
            number += 1
            await trio.sleep(source.uniform(0.02, 0.12))
    fleet.platform.store.trouble.late_write_share = 0


@pytest.mark.parametrize('seed', [5, 7, 15, 59, 68, 70])
def test_late_writes_never_run_task_twice(run_virtual, call_faults, seed):
    async def run():
        async with open_fleet(instances=3, workers=8) as fleet:
            call_faults.jitter = random.Random(seed)
            await submit_steadily(fleet, seed, 20, late_share=0.35)
            await trio.sleep(5)
            fleet.check()

    run_virtual(run, seed=seed)


def test_worker_reached_only_by_unaware_owner_is_waited_out(run_virtual):
    """The first owner can't reach the store, the second one the worker."""

    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            request = make_request(make_step(3), run_ms=60_000)
            await fleet.submit(request=request)
            await fleet.wait_running(3)
            first = fleet.get_owner()
            busy = [
                worker
                for worker in fleet.platform.workers.values()
                if worker.runs
            ]
            fleet.platform.store.trouble.silenced.add(first)
            for worker in busy:
                worker.unreachable_clients = set(fleet.instances) - {first}
            await wait_taken(fleet)
            await trio.sleep(12)
            fleet.check()

    run_virtual(run)


async def succeed_owners_in_turn(fleet, call_faults):
    """Let one owner after the other be succeeded without noticing it."""
    while True:
        await trio.sleep(1)
        first = await fleet.wait_owner()
        cut = (first, Unit().part, LEASE_KEY)
        call_faults.unanswered.add(cut)
        await wait_taken(fleet, limit_s=8)
        await trio.sleep(0.2)
        call_faults.unanswered.remove(cut)


@pytest.mark.parametrize('seed', range(6))
def test_unaware_owners_never_run_task_twice(run_virtual, call_faults, seed):
    async def run():
        async with open_fleet(instances=3, workers=8) as fleet:
            call_faults.jitter = random.Random(seed)
            fleet.nursery.start_soon(succeed_owners_in_turn, fleet, call_faults)
            await submit_steadily(fleet, seed, 20)
            await trio.sleep(2)
            assert count_epochs(fleet) > 4
            fleet.check()

    run_virtual(run, seed=seed)


def count_epochs(fleet):
    """Return the number of epochs of the unit."""
    epochs = {
        row.value
        for row in fleet.platform.store.changes
        if (row.table, row.key) == (UNITS_TABLE, EPOCH_KEY)
    }
    return len(epochs)


def test_owner_keeps_unit_with_late_writes(run_virtual):
    async def run(seed):
        async with open_fleet(instances=3, workers=4) as fleet:
            fleet.platform.store.source.seed(seed)
            fleet.platform.store.trouble.late_write_share = 0.35
            await trio.sleep(30)
            return count_epochs(fleet)

    counts = [run_virtual(run, seed, seed=seed) for seed in range(8)]
    assert counts == [1] * 8


def test_unit_is_taken_after_new_owner_crashes(run_virtual):
    """Two instances try; the successful one ends before its first renewal."""

    async def run():
        async with open_fleet(instances=3) as fleet:
            await trio.sleep(1)
            fleet.kill_owner()
            await wait_taken(fleet)
            await trio.sleep(0.02)
            fleet.kill(fleet.get_owner() or get_new_owner(fleet, ''))
            await fleet.wait_owner(limit_s=4)

    run_virtual(run)


def test_unit_is_taken_after_store_outage(run_virtual):
    async def run():
        async with open_fleet(instances=2) as fleet:
            await trio.sleep(1)
            fleet.kill_owner()
            await trio.sleep(1)
            fleet.platform.store.trouble.refused.add('*')
            await trio.sleep(5)
            fleet.platform.store.trouble.refused.clear()
            await fleet.wait_owner(limit_s=4)

    run_virtual(run)


@pytest.mark.parametrize('late_s', [0.005, 0.02, 0.05])
def test_released_unit_is_taken_soon_despite_late_renewal(
    run_virtual, call_faults, late_s
):
    """The store applies a renewal after the release that followed it."""

    async def run():
        async with open_fleet(instances=2) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            state = fleet.instances[first].shell.units[0].state
            gate = call_faults.gates[first, Unit().part, LEASE_KEY] = (
                trio.Event()
            )
            with trio.fail_after(2):
                while not state.ownership.is_renewing:
                    await trio.sleep(0.001)
            await trio.sleep(0.01)
            # Only the pending renewal is blocked, not later writes.
            del call_faults.gates[first, Unit().part, LEASE_KEY]
            await fleet.instances[first].shell.leave()
            released_at = trio.current_time()
            await trio.sleep(late_s)
            gate.set()
            await wait_other_owner(fleet, first)
            assert trio.current_time() - released_at < 1

    run_virtual(run)


async def wait_other_owner(fleet, first, limit_s=8):
    with trio.fail_after(limit_s):
        while fleet.get_owner() in {'', first}:
            await trio.sleep(0.01)


# Guards against a second start of a task that is done: an owner reads the end
# of a run, and releases the unit before the end is durable. If the release
# report names only runs, and not ends that only the worker keeps, the successor
# starts the task before it reads the end.
def test_task_done_before_release_is_not_restarted(run_virtual, call_faults):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            first = fleet.get_owner()
            taker = fleet.get_other_instance(first)
            await fleet.submit()
            await fleet.wait_running(1)
            call_faults.unanswered.add((first, Unit().part, JOB))
            await trio.sleep(0.6)
            assert not fleet.count_running()
            worker = next(
                worker
                for worker in fleet.platform.workers.values()
                if worker.started_count
            )
            call_faults.worker_s[taker, worker.address] = 0.5
            await fleet.stop(first)
            await fleet.wait_done(JOB)
            await trio.sleep(1)
            assert fleet.count_starts() == 1

    run_virtual(run)
