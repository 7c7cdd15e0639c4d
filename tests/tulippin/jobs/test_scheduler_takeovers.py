"""Two instances that both take themselves for a unit's owner."""

import random

import attrs
import pytest
import trio

from fleet_of_schedulers import (
    JOB,
    LIMIT_MS,
    PATIENT,
    QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.events import Ticked
from tulippin.jobs.records import (
    EPOCH_KEY,
    GUEST_SUFFIX,
    LEASE_KEY,
    UNITS_TABLE,
    Unit,
    get_jobs_part,
)
from tulippin.jobs.state import Phase
from tulippin.jobs.types import OrderAnswer, StartOutcome
from tulippin.platform.standin import StandinAgents
from tulippin.platform.standin_store import SILENCE_S, StoreView

# A new owner's calls to a worker take so long where a test slows them.
SLOW_S = 0.1
# The most that a call to a worker takes where they differ; most take less.
JITTER_S = 0.2


@attrs.define
class Wires:
    """Slows, holds back or drops single calls of single clients.

    ``gates`` hold back writes by client, part and the end of a row's key;
    ``unanswered`` are writes, by client, part and key, that are never done.
    """

    gates: dict = attrs.field(factory=dict)
    unanswered: set = attrs.field(factory=set)
    worker_s: dict = attrs.field(factory=dict)
    feed_s: dict = attrs.field(factory=dict)
    reading_gates: dict = attrs.field(factory=dict)
    dropped_stops: set = attrs.field(factory=set)
    jitter: random.Random | None = None

    def install(self, monkeypatch):
        """Stand between the clients and the platform."""
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
            place = view.client, transaction.part, write.key
            if place in self.unanswered:
                await trio.sleep(SILENCE_S)
                raise AnswerLostError('held back')
            for (client, part, suffix), gate in list(self.gates.items()):
                is_place = client in {view.client, '*'}
                is_place = is_place and part in {transaction.part, '*'}
                if is_place and write.key.endswith(suffix):
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
            await trio.sleep(SILENCE_S)
            return OrderAnswer(StartOutcome.UNKNOWN)
        return None


@pytest.fixture
def wires(monkeypatch):
    return Wires().install(monkeypatch)


def get_epoch_row(fleet, number=0):
    return fleet.platform.store.rows[UNITS_TABLE, Unit(number).part, EPOCH_KEY]


async def wait_taken(fleet, number=0, limit_s=4):
    """Wait until the unit's epoch changes; return its row."""
    before = get_epoch_row(fleet, number)
    with trio.fail_after(limit_s):
        while get_epoch_row(fleet, number) == before:
            await trio.sleep(0.001)
    return get_epoch_row(fleet, number)


def get_taker(fleet, known, number=0):
    """Return who takes, or has taken, a unit beside a known owner."""
    phases = {Phase.TAKING, Phase.LOADING, Phase.ACTIVE}
    return next(
        name
        for name, instance in fleet.instances.items()
        if name != known
        and instance.shell.units[number].state.ownership.phase in phases
    )


def slow_first_worker(fleet, wires, name):
    worker = fleet.platform.workers['w0']
    wires.worker_s[name, worker.address] = SLOW_S


async def succeed_unaware_owner(fleet, wires, number=0):
    """Let another take the unit of an owner whose renewals do not arrive.

    All but the owner reach one worker late, so that it has not heard of the
    new epoch when the others have.
    """
    first = fleet.get_owner()
    wires.unanswered.add((first, Unit(number).part, LEASE_KEY))
    for name in fleet.instances:
        if name != first:
            slow_first_worker(fleet, wires, name)
    row = await wait_taken(fleet, number)
    return first, get_taker(fleet, first, number), row


@pytest.mark.parametrize('after_s', [0.004, 0.01, 0.03, 0.06])
def test_job_accepted_after_a_takeover_starts_once(run_virtual, wires, after_s):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            _, second, row = await succeed_unaware_owner(fleet, wires)
            await trio.sleep(after_s)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by=second)
            await fleet.wait_done(JOB)
            job_row = next(
                one for one in fleet.platform.store.changes if one.key == JOB
            )
            assert job_row.version > row.version
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


@pytest.mark.parametrize('is_short', [True, False])
def test_run_that_a_new_owner_meets_before_its_job_is_the_only_one(
    run_virtual, wires, is_short
):
    """The first owner starts a job of which the second hears later."""

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            _, second, _ = await succeed_unaware_owner(fleet, wires)
            wires.feed_s[second, Unit().jobs_table] = 0.3
            wires.dropped_stops.add((second, 'w0'))
            await trio.sleep(0.01)
            request = make_request(run_ms=30 if is_short else 6000)
            await fleet.submit(request=request, by=second)
            await trio.sleep(3)
            wires.dropped_stops.clear()
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_owner_whose_loading_a_newer_one_overtook_starts_nothing(
    run_virtual, wires
):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            # Until all workers are written down as the unit's.
            await trio.sleep(1)
            fleet.kill_owner()
            overtaken = next(iter(fleet.instances))
            reading = wires.reading_gates[overtaken, 'servers'] = trio.Event()
            await wait_taken(fleet)
            wires.unanswered.add((overtaken, Unit().part, LEASE_KEY))
            await fleet.start('newer')
            slow_first_worker(fleet, wires, 'newer')
            await wait_taken(fleet)
            reading.set()
            await trio.sleep(0.01)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by='newer')
            await fleet.wait_done(JOB)
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


def test_lease_of_a_taking_answered_late_counts_from_its_sending(
    run_virtual, wires
):
    """The taker learns only at its second try that the first was done."""

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
            slow_first_worker(fleet, wires, 'newer')
            await fleet.wait_owner()
            wires.unanswered.add((unaware, Unit().part, LEASE_KEY))
            await wait_taken(fleet)
            await trio.sleep(0.01)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by='newer')
            await fleet.wait_done(JOB)
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


class Pause:
    """Lets an instance's process stand still; what comes in waits."""

    def __init__(self, shell):
        self.shell = shell
        self.waiting = []

    def begin(self):
        self.shell.post_to = self._keep

    def _keep(self, unit, event):
        # A process that stands still has no ticks, but for one at its end.
        if not isinstance(event, Ticked):
            self.waiting.append((unit, event))

    def end(self):
        del self.shell.post_to
        for unit, event in self.waiting:
            self.shell.post_to(unit, event)


def test_renewal_sent_before_a_pause_confirms_nothing_after_it(
    run_virtual, wires
):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            first = fleet.get_owner()
            shell = fleet.instances[first].shell
            ownership = shell.units[0].state.ownership
            with trio.fail_after(2):
                while not ownership.is_renewing:
                    await trio.sleep(0.001)
            # The renewal is under way; its answer comes while the process
            # stands still.
            pause = Pause(shell)
            pause.begin()
            for name in fleet.instances:
                if name != first:
                    slow_first_worker(fleet, wires, name)
            await wait_taken(fleet)
            second = get_taker(fleet, first)
            await trio.sleep(0.03)
            request = make_request(make_step(4), run_ms=2000)
            await fleet.submit(request=request, by=second)
            pause.end()
            await fleet.wait_done(JOB)
            fleet.check()
            assert fleet.count_starts() == 4

    run_virtual(run)


def test_finished_job_is_not_new_after_history_was_lost(run_virtual, wires):
    """A job is forgotten, its rows stay, and all rows are read anew."""

    async def run():
        async with open_fleet(instances=1) as fleet:
            unit = fleet.instances['i0'].shell.units[0]
            unit.state.config = attrs.evolve(
                unit.state.config, finished_kept_ms=1000
            )
            await fleet.submit()
            await fleet.wait_done(JOB)
            wires.unanswered.add(('i0', get_jobs_part(JOB), JOB))
            with trio.fail_after(10):
                while JOB in unit.state.jobs:
                    await trio.sleep(0.05)
            fleet.platform.store.forget_history()
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
    await fleet.instances['i0'].shell.laid_out.wait()
    numbers = fleet.instances['i0'].shell.layout.unit_numbers
    with trio.fail_after(15):
        while not all(get_owner_of(fleet, number) for number in numbers):
            await trio.sleep(0.05)
    await trio.sleep(1)
    return numbers


def test_tasks_passed_on_while_the_unit_changes_hands_run_once(
    run_virtual, wires
):
    async def run():
        async with open_fleet(6, 60, rack_size=12) as fleet:
            other = (await wait_all_owned(fleet))[-1]
            for instance in fleet.instances.values():
                instance.shell.choose_unit = lambda request: 0
            first = get_owner_of(fleet, other)
            passing = wires.gates['*', '*', GUEST_SUFFIX] = trio.Event()
            lasting = make_step(60, 10_000, long_running=True)
            await fleet.submit(request=make_request(lasting, lasts=True))
            wires.unanswered.add((first, Unit(other).part, LEASE_KEY))
            for address in get_unit_workers(fleet, other)[::2]:
                for name in fleet.instances:
                    if name != first:
                        wires.worker_s[name, address] = 0.4
            await wait_taken(fleet, other)
            await trio.sleep(0.01)
            passing.set()
            await trio.sleep(3)
            fleet.check()

    run_virtual(run)


async def send_job(fleet, number, source):
    """Submit a job as callers do, at any instance; some are cancelled."""
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
    queue = source.choice((QUEUE, PATIENT))
    name = source.choice(list(fleet.instances))
    intake = fleet.instances[name].intake
    try:
        await intake.submit(job_id, queue, request, LIMIT_MS)
        await trio.sleep(2)
        if number % 5 == 0:
            await intake.cancel(job_id, queue, LIMIT_MS)
    except UnavailableError:
        # The caller gives up; the job may have been taken all the same.
        return


async def submit_steadily(fleet, seed, for_s, late_share=0):
    """Submit jobs while a share of the store's writes comes late."""
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
def test_late_writes_never_run_a_task_twice(run_virtual, wires, seed):
    async def run():
        async with open_fleet(instances=3, workers=8) as fleet:
            wires.jitter = random.Random(seed)
            await submit_steadily(fleet, seed, 20, late_share=0.35)
            await trio.sleep(5)
            fleet.check()

    run_virtual(run, seed=seed)


def test_worker_that_only_an_unaware_owner_reaches_is_waited_out(run_virtual):
    """The first owner is cut off the store, the second off the worker."""

    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            request = make_request(make_step(3), run_ms=60_000)
            await fleet.submit(request=request)
            await fleet.wait_running(3)
            first = fleet.get_owner()
            busy = [one for one in fleet.platform.workers.values() if one.runs]
            fleet.platform.store.trouble.silenced.add(first)
            for worker in busy:
                worker.cut_off = set(fleet.instances) - {first}
            await wait_taken(fleet)
            await trio.sleep(12)
            fleet.check()

    run_virtual(run)


async def take_unit_in_turn(fleet, wires):
    """Let one unaware owner after the other be succeeded."""
    while True:
        await trio.sleep(1)
        first = await fleet.wait_owner()
        cut = (first, Unit().part, LEASE_KEY)
        wires.unanswered.add(cut)
        await wait_taken(fleet, limit_s=8)
        await trio.sleep(0.2)
        wires.unanswered.remove(cut)


@pytest.mark.parametrize('seed', range(6))
def test_unaware_owners_in_turn_never_run_a_task_twice(
    run_virtual, wires, seed
):
    async def run():
        async with open_fleet(instances=3, workers=8) as fleet:
            wires.jitter = random.Random(seed)
            fleet.nursery.start_soon(take_unit_in_turn, fleet, wires)
            await submit_steadily(fleet, seed, 20)
            await trio.sleep(2)
            assert count_epochs(fleet) > 4
            fleet.check()

    run_virtual(run, seed=seed)


def count_epochs(fleet):
    """Return how often the unit was taken."""
    epochs = {
        row.value
        for row in fleet.platform.store.changes
        if (row.table, row.key) == (UNITS_TABLE, EPOCH_KEY)
    }
    return len(epochs)


def test_owner_keeps_its_unit_while_writes_come_late(run_virtual):
    async def run(seed):
        async with open_fleet(instances=3, workers=4) as fleet:
            fleet.platform.store.source.seed(seed)
            fleet.platform.store.trouble.late_write_share = 0.35
            await trio.sleep(30)
            return count_epochs(fleet)

    counts = [run_virtual(run, seed, seed=seed) for seed in range(8)]
    assert counts == [1] * 8


def test_unit_of_a_taker_that_dies_at_once_is_taken_by_the_next(run_virtual):
    """Of two that try, one is first, and ends before it renews."""

    async def run():
        async with open_fleet(instances=3) as fleet:
            await trio.sleep(1)
            fleet.kill_owner()
            await wait_taken(fleet)
            await trio.sleep(0.02)
            fleet.kill(fleet.get_owner() or get_taker(fleet, ''))
            await fleet.wait_owner(limit_s=4)

    run_virtual(run)


def test_unit_is_taken_once_the_store_answers_again(run_virtual):
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
def test_released_unit_has_an_owner_soon_whatever_comes_late(
    run_virtual, wires, late_s
):
    """A renewal sent before the release is carried out after it."""

    async def run():
        async with open_fleet(instances=2) as fleet:
            await trio.sleep(1)
            first = fleet.get_owner()
            state = fleet.instances[first].shell.units[0].state
            gate = wires.gates[first, Unit().part, LEASE_KEY] = trio.Event()
            with trio.fail_after(2):
                while not state.ownership.is_renewing:
                    await trio.sleep(0.001)
            await trio.sleep(0.01)
            # The renewal is held back; what is sent from now on is not.
            del wires.gates[first, Unit().part, LEASE_KEY]
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


# What users saw: a task that was done was started again. Order of events:
# an owner reads the end of a run and tells what follows from it to a store
# that does it late; it gives the unit up in a planned way; its successor
# learns from it where tasks may run, and not that this one is done. Cause:
# the account held runs, not ends that nobody but their worker keeps.
# Evidence: the successor started the task 14 ms before it read the end.
def test_task_that_ended_before_a_release_is_not_started_again(
    run_virtual, wires
):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            first = fleet.get_owner()
            taker = fleet.get_other(first)
            await fleet.submit()
            await fleet.wait_running(1)
            wires.unanswered.add((first, Unit().part, JOB))
            await trio.sleep(0.6)
            assert not fleet.count_running()
            worker = next(
                worker
                for worker in fleet.platform.workers.values()
                if worker.started_count
            )
            wires.worker_s[taker, worker.address] = 0.5
            await fleet.stop(first)
            await fleet.wait_done(JOB)
            await trio.sleep(1)
            assert fleet.count_starts() == 1

    run_virtual(run)
