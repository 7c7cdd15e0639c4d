"""Tests of cancellations, and of owners with outdated or late information.

An acknowledged cancellation ends each run of its job in bounded time, also if
a worker applies orders late, if the owner that started the run is gone, or
while the unit changes owners. Further tests cover owners whose unit another
instance has taken, and suspended owners.
"""

import contextlib

import attrs
import pytest
import trio

from scheduler_fleet import (
    JOB,
    LIMIT_MS,
    QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.codec_json import encode
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs import events
from tulippin.jobs.records import (
    EPOCH_KEY,
    LEASE_KEY,
    ROSTER_KEY,
    UNITS_TABLE,
    EpochRecord,
    LeaseRecord,
)
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import Phase
from tulippin.jobs.types import JobState, OrderAnswer, OrderOutcome
from tulippin.platform.standin import StandinAgents, get_now_ms
from tulippin.platform.standin_store import CALL_TIMEOUT_S, StoreView

# Maximum time that a run may go on after its job is cancelled, and the delay
# after which that time begins for a run that a worker started late.
MAX_RUN_AFTER_CANCEL_MS = 3000 + 900
LATE_START_DELAY_MS = 3000
# Longer than any lease: a run that is left after this time is never stopped.
SETTLE_S = 12
LONG_MS = 600_000
CORE = 1000
PART = 'u0'


@contextlib.asynccontextmanager
async def open_calm_fleet(instances=2, workers=2):
    """Run a fleet in which all instances have seen the owner's renewals."""
    async with open_fleet(instances, workers) as fleet:
        await trio.sleep(1.2)
        yield fleet


async def submit_long(fleet, **options):
    """Submit a job that only a cancellation ends."""
    request = make_request(run_ms=LONG_MS)
    await fleet.submit(request=request, **options)


async def cancel(fleet, by, job_id=JOB):
    """Cancel a job with retries, and return the time of the answer in ms."""
    while True:
        try:
            intake = fleet.instances[by].intake
            assert await intake.cancel(job_id, QUEUE, LIMIT_MS)
        except UnavailableError:
            await trio.sleep(0.1)
            continue
        return get_now_ms()


def find_overdue(fleet, acked_ms, job_id=JOB):
    """Return how long runs of a cancelled job exceeded the limit, by run."""
    started_ms = {}
    overdue_ms = {}

    def check_run(run_key, until_ms):
        since_ms = acked_ms
        if started_ms[run_key] > acked_ms:
            since_ms = started_ms[run_key] + LATE_START_DELAY_MS
        if until_ms > since_ms + MAX_RUN_AFTER_CANCEL_MS:
            overdue_ms[run_key] = until_ms - since_ms - MAX_RUN_AFTER_CANCEL_MS

    for event in fleet.platform.history:
        run_key = (event.worker_id, event.key.format(), event.run)
        if event.key.job_id != job_id:
            continue
        if event.kind == 'started':
            started_ms[run_key] = event.at_ms
        elif event.kind == 'ended':
            check_run(run_key, event.at_ms)
            del started_ms[run_key]
    for run_key in started_ms:
        check_run(run_key, get_now_ms())
    return overdue_ms


async def wait_until(condition, limit_s=10):
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(0.001)


def is_in_phase(fleet, name, phase):
    return fleet.instances[name].state.ownership.phase is phase


# -- faults ------------------------------------------------------------------


@attrs.define
class StopFaults:
    """Leaves orders to stop unanswered until a time, and applies them late.

    With a negative ``late_s`` they are never applied.
    """

    until_s: float = 0.0
    late_s: float = -1.0


@pytest.fixture
def stop_faults(monkeypatch):
    trouble = StopFaults()
    original = StandinAgents.stop

    async def apply_stop(worker, order):
        await trio.sleep(trouble.late_s)
        if worker.is_up:
            worker.handle_stop_order(*order)

    async def stop(agents, worker_id, address, key, run, token):
        if trio.current_time() >= trouble.until_s:
            return await original(agents, worker_id, address, key, run, token)
        await trio.sleep(CALL_TIMEOUT_S)
        if trouble.late_s >= 0:
            worker = agents.platform.workers[worker_id]
            order = (worker_id, key, run, token)
            trio.lowlevel.spawn_system_task(apply_stop, worker, order)
        return OrderAnswer(OrderOutcome.UNKNOWN)

    monkeypatch.setattr(StandinAgents, 'stop', stop)
    return trouble


@pytest.fixture
def start_late(monkeypatch):
    """Return a list of delays; the last one applies to orders to start.

    Delayed orders get no answer, and are applied even if their sender is gone.
    """
    chosen = []
    start_now = StandinAgents.start

    async def apply_start(worker, order, late_s):
        await trio.sleep(late_s)
        if worker.is_up:
            worker.handle_start_order(order)

    async def start(agents, order):
        if not chosen:
            return await start_now(agents, order)
        worker = agents.platform.workers[order.worker_id]
        trio.lowlevel.spawn_system_task(apply_start, worker, order, chosen[-1])
        await trio.sleep(CALL_TIMEOUT_S)
        return OrderAnswer(OrderOutcome.UNKNOWN)

    monkeypatch.setattr(StandinAgents, 'start', start)
    return chosen


@attrs.define
class StoreDelays:
    """Delays of single calls to the store.

    ``transact`` is called with the client and the transaction, ``read`` with
    the client and the table; each is awaited before the call.
    """

    transact: object = None
    read: object = None


@pytest.fixture
def delays(monkeypatch):
    chosen = StoreDelays()
    transact_now = StoreView.transact
    read_now = StoreView.read_rows

    async def transact(view, transaction):
        if chosen.transact is not None:
            await chosen.transact(view.client, transaction)
        return await transact_now(view, transaction)

    async def read_rows(view, table, part, first='', end=''):
        if chosen.read is not None:
            await chosen.read(view.client, table)
        return await read_now(view, table, part, first, end)

    monkeypatch.setattr(StoreView, 'transact', transact)
    monkeypatch.setattr(StoreView, 'read_rows', read_rows)
    return chosen


def get_keys(transaction):
    return {write.key for write in transaction.writes}


def silence_own_writes(delays, name):
    """Block an instance's writes to its unit's rows.

    Its lease lapses for the other instances without its knowledge.
    """

    async def transact(client, transaction):
        if client == name and transaction.part == PART:
            await trio.sleep_forever()

    delays.transact = transact


def load_slowly(delays, name, seconds):
    """Delay an instance's read of progress, so that it knows the jobs first."""

    async def read(client, table):
        if client == name and table == 'progress0':
            await trio.sleep(seconds)

    delays.read = read


# -- late orders -------------------------------------------------------------


@pytest.mark.parametrize('late_s', [0.3, 1.0, 1.7, 4.0])
@pytest.mark.parametrize('after_s', [0.2, 0.95, 1.6])
def test_start_applied_after_cancel(run_virtual, start_late, late_s, after_s):
    async def run():
        async with open_calm_fleet(workers=1) as fleet:
            start_late.append(late_s)
            await submit_long(fleet)
            await trio.sleep(after_s)
            acked_ms = await cancel(
                fleet, fleet.get_other_instance(fleet.get_owner())
            )
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


@pytest.mark.parametrize('stop_late_s', [-1.0, 0.3, 2.0])
@pytest.mark.parametrize('late_s', [0.0, 1.0, 1.7])
def test_stop_unanswered_or_applied_late(
    run_virtual, start_late, stop_faults, late_s, stop_late_s
):
    async def run():
        async with open_calm_fleet(workers=1) as fleet:
            start_late.append(late_s)
            await submit_long(fleet)
            await trio.sleep(0.3)
            stop_faults.until_s = trio.current_time() + 2.0
            stop_faults.late_s = stop_late_s
            acked_ms = await cancel(
                fleet, fleet.get_other_instance(fleet.get_owner())
            )
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


def test_run_continues_without_repeated_stops(
    run_virtual, stop_faults, monkeypatch
):
    monkeypatch.setattr(
        'tulippin.jobs._attempts.repeat_stops', lambda worker, context: None
    )

    async def run():
        async with open_calm_fleet(workers=1) as fleet:
            await submit_long(fleet)
            await trio.sleep(0.3)
            stop_faults.until_s = trio.current_time() + 2.0
            acked_ms = await cancel(
                fleet, fleet.get_other_instance(fleet.get_owner())
            )
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms)

    run_virtual(run)


@pytest.mark.parametrize('is_listed', [True, False])
def test_cancel_reaches_a_draining_worker(run_virtual, is_listed):
    async def run():
        async with open_calm_fleet(workers=2) as fleet:
            await fleet.submit(
                request=make_request(make_step(9), run_ms=LONG_MS)
            )
            await fleet.wait_running(9)
            for worker in fleet.platform.workers.values():
                worker.is_draining = True
                fleet.platform.publish_entry(worker)
                if not is_listed:
                    fleet.platform.remove(worker.worker_id)
            await trio.sleep(0.7)
            acked_ms = await cancel(fleet, 'i0')
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


# -- the owner that started the run is gone ----------------------------------


@pytest.mark.parametrize('late_s', [0.0, 1.0, 1.7])
@pytest.mark.parametrize('kill', ['before', 'after', 'beside'])
@pytest.mark.parametrize('is_restarted', [True, False])
def test_starter_killed_after_start(
    run_virtual, start_late, stop_faults, late_s, kill, is_restarted
):
    async def run():
        async with open_calm_fleet(instances=3, workers=1) as fleet:
            start_late.append(late_s)
            # Orders to stop from the starter itself must not matter.
            stop_faults.until_s = trio.current_time() + 0.6
            starter = fleet.get_owner()
            other = fleet.get_other_instance(starter)
            await submit_long(fleet, by=other)
            await wait_until(lambda: has_attempts(fleet, starter))
            if kill == 'before':
                fleet.kill(starter)
                await trio.sleep(0.3)
                acked_ms = await cancel(fleet, other)
            elif kill == 'beside':
                acked_ms = await cancel(fleet, other)
                fleet.kill(starter)
            else:
                acked_ms = await cancel(fleet, other)
                await trio.sleep(0.3)
                fleet.kill(starter)
            start_late.clear()
            if is_restarted:
                await trio.sleep(0.7)
                await fleet.start(starter)
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


def has_attempts(fleet, name, job_id=JOB):
    job = fleet.instances[name].state.jobs.get(job_id)
    return bool(job and any(task.attempts for task in job.tasks.values()))


def hide_epochs(fleet, name):
    """Hide the epochs in an owner's feeds of jobs and of the unit's rows."""
    unit = fleet.instances[name].shell.units[0]
    post_now = unit.post

    def post(event):
        if isinstance(event, events.JobsChanged):
            event = attrs.evolve(event, epoch_version=0)
        if not (isinstance(event, events.LeaseSeen) and unit.is_owner):
            post_now(event)

    unit.post = post


async def find_orphaned_run(fleet, delays, request, worker_id='w0'):
    """Let a new owner find a run of a job that it doesn't know yet.

    Returns the new owner once the run exists, while it still loads. Epochs are
    hidden from the first owner, which would not start the run otherwise.
    """
    starter = fleet.get_owner()
    hide_epochs(fleet, starter)
    new_owner = fleet.get_other_instance(starter)
    silence_own_writes(delays, starter)
    load_slowly(delays, new_owner, 0.4)
    await wait_until(lambda: is_in_phase(fleet, new_owner, Phase.LOADING))
    # The new owner has read the jobs, and receives this one from its feed.
    await trio.sleep(0.1)
    await fleet.submit(request=request, by=new_owner)
    await wait_until(fleet.count_starts)
    assert is_in_phase(fleet, new_owner, Phase.LOADING)
    assert fleet.get_owner() == starter
    return new_owner


@pytest.mark.parametrize('is_answered', [True, False])
def test_run_of_unknown_job_ends_with_cancel(
    run_virtual, delays, stop_faults, is_answered
):
    """Guards against a cancelled task that runs until its lease lapses.

    An owner whose renewals aren't answered, and whose unit another instance
    has taken, receives a job and starts it. The new owner finds the run before
    it receives the job, and orders the orphaned run to stop. If it forgets the
    run and the order isn't answered, nothing repeats the order, and without
    other runs on the worker no further report is requested.
    """

    async def run():
        async with open_calm_fleet(workers=1) as fleet:
            new_owner = await find_orphaned_run(
                fleet, delays, make_request(run_ms=LONG_MS)
            )
            if not is_answered:
                stop_faults.until_s = trio.current_time() + 1.0
            acked_ms = await cancel(fleet, new_owner)
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


def test_run_of_unknown_job_is_not_duplicated(run_virtual, delays, stop_faults):
    """Guards against two concurrent runs of a task.

    As above, but the job isn't cancelled: once the new owner receives it, it
    must not start the task while the run that it found goes on.
    """

    async def run():
        async with open_calm_fleet(workers=2) as fleet:
            await find_orphaned_run(fleet, delays, make_request(run_ms=LONG_MS))
            stop_faults.until_s = trio.current_time() + 1.0
            await trio.sleep(SETTLE_S)
            fleet.check()

    run_virtual(run)


# -- the unit changes owners -------------------------------------------------


@pytest.mark.parametrize('phase', [Phase.TAKING, Phase.LOADING])
@pytest.mark.parametrize('at_s', [0.0, 0.15, 0.35])
def test_cancel_during_takeover(run_virtual, delays, phase, at_s):
    async def run():
        async with open_calm_fleet(instances=2, workers=2) as fleet:
            await fleet.submit(
                request=make_request(make_step(6), run_ms=LONG_MS)
            )
            await fleet.wait_running(6)
            starter = fleet.get_owner()
            new_owner = fleet.get_other_instance(starter)
            load_slowly(delays, new_owner, 0.4)

            async def take_slowly(client, transaction):
                if client == new_owner and EPOCH_KEY in get_keys(transaction):
                    await trio.sleep(0.4)

            delays.transact = take_slowly
            fleet.kill(starter)
            await wait_until(lambda: is_in_phase(fleet, new_owner, phase))
            await trio.sleep(at_s)
            assert is_in_phase(fleet, new_owner, phase)
            acked_ms = await cancel(fleet, new_owner)
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}
            await fleet.wait_state(JOB, JobState.CANCELLED)

    run_virtual(run)


@pytest.mark.parametrize('at_s', [0.0, 0.3, 1.5, 2.1])
def test_cancel_without_owner(run_virtual, at_s):
    async def run():
        async with open_calm_fleet(instances=3, workers=2) as fleet:
            await fleet.submit(
                request=make_request(make_step(6), run_ms=LONG_MS)
            )
            await fleet.wait_running(6)
            fleet.kill_owner()
            await trio.sleep(at_s)
            acked_ms = await cancel(fleet, next(iter(fleet.instances)))
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


@pytest.mark.parametrize('release_s', [0.2, 0.8])
@pytest.mark.parametrize('at_s', [0.0, 0.1])
def test_cancel_during_release(run_virtual, delays, release_s, at_s):
    async def run():
        async with open_calm_fleet(instances=2, workers=2) as fleet:
            await fleet.submit(
                request=make_request(make_step(6), run_ms=LONG_MS)
            )
            await fleet.wait_running(6)
            starter = fleet.get_owner()

            async def release_slowly(client, transaction):
                if client == starter and transaction.part == PART:
                    await trio.sleep(release_s)

            delays.transact = release_slowly
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.instances[starter].shell.leave)
                await wait_until(
                    lambda: is_in_phase(fleet, starter, Phase.RELEASING)
                )
                await trio.sleep(at_s)
                acked_ms = await cancel(
                    fleet, fleet.get_other_instance(starter)
                )
            fleet.kill(starter)
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}

    run_virtual(run)


@pytest.mark.parametrize('seed', range(6))
def test_cancels_with_late_writes(run_virtual, delays, seed):
    """Most of the owners' writes are applied seconds late, unanswered."""

    async def write_late(store, transaction, late_s):
        await trio.sleep(late_s)
        store.apply(transaction)

    async def run():
        async with open_calm_fleet(instances=3, workers=3) as fleet:
            store = fleet.platform.store
            store.source.seed(seed)

            async def transact(client, transaction):
                is_owners = transaction.part == PART
                if not is_owners or store.source.random() >= 0.75:
                    return
                late_s = store.source.uniform(1, 6)
                trio.lowlevel.spawn_system_task(
                    write_late, store, transaction, late_s
                )
                await trio.sleep(CALL_TIMEOUT_S)
                raise AnswerLostError('the store writes late')

            jobs = [f'{number:016x}' for number in range(8)]
            for job_id in jobs:
                request = make_request(make_step(2), run_ms=LONG_MS)
                await fleet.submit(job_id, request)
            await fleet.wait_running(2 * len(jobs))
            acked_times_ms = {}

            async def cancel_one(job_id):
                by = store.source.choice(list(fleet.instances))
                acked_times_ms[job_id] = await cancel(fleet, by, job_id)

            delays.transact = transact
            async with trio.open_nursery() as nursery:
                for job_id in jobs:
                    await trio.sleep(store.source.random())
                    nursery.start_soon(cancel_one, job_id)
            calm_ms = get_now_ms()
            delays.transact = None
            await trio.sleep(SETTLE_S)
            for job_id, acked_ms in acked_times_ms.items():
                since_ms = max(acked_ms, calm_ms + LATE_START_DELAY_MS)
                assert find_overdue(fleet, since_ms, job_id) == {}
            fleet.check()

    run_virtual(run, seed=seed)


@contextlib.asynccontextmanager
async def open_units():
    """Run a fleet of several units, all of which have tasks of one job."""
    async with open_fleet(6, 60, rack_size=12) as fleet:
        await wait_until(lambda: len(get_owners(fleet)) > 1, 15)
        await wait_until(lambda: '' not in get_owners(fleet).values(), 15)
        await trio.sleep(1)
        for instance in fleet.instances.values():
            instance.shell.choose_unit = lambda request, service: 0
        step = make_step(60, 10 * CORE, long_running=True)
        await fleet.submit(request=make_request(step, lasts=True))
        yield fleet


def get_owners(fleet):
    owners = {}
    for name, instance in fleet.instances.items():
        for number, unit in instance.shell.units.items():
            owners.setdefault(number, '')
            if unit.is_owner:
                owners[number] = name
    return owners


async def share_units(fleet):
    """Ensure that the units have several owners; return them by unit."""
    owners = get_owners(fleet)
    if len(set(owners.values())) == 1:
        unit = fleet.instances[owners[1]].shell.units[1]
        unit.post(events.StopRequested(unit.clock()))
        await wait_until(lambda: get_owners(fleet)[1] not in {'', owners[0]})
        await trio.sleep(1)
    return get_owners(fleet)


@pytest.mark.parametrize('is_planned', [True, False])
@pytest.mark.parametrize('at_s', [0.0, 1.0, 2.0])
def test_cancel_during_takeover_of_transferred_tasks(
    run_virtual, is_planned, at_s
):
    async def run():
        async with open_units() as fleet:
            await fleet.wait_running(60)
            owners = await share_units(fleet)
            leaving = next(
                name for name in owners.values() if name != owners[0]
            )
            if is_planned:
                await fleet.instances[leaving].shell.leave()
            fleet.kill(leaving)
            await trio.sleep(at_s)
            acked_ms = await cancel(fleet, next(iter(fleet.instances)))
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}
            assert not fleet.count_running()

    run_virtual(run)


@pytest.mark.parametrize('is_killed', [True, False])
@pytest.mark.parametrize('write_duration_s', [0.0, 0.2])
@pytest.mark.parametrize('at_s', [0.7, 0.76, 0.82, 0.9, 1.2, 1.5])
def test_cancel_while_tasks_are_transferred(
    run_virtual, is_killed, write_duration_s, at_s
):
    async def run():
        async with open_units() as fleet:
            fleet.platform.store.trouble.write_duration_s = write_duration_s
            await trio.sleep(at_s)
            home_owner = get_owners(fleet)[0]
            acked_ms = await cancel(fleet, fleet.get_other_instance(home_owner))
            if is_killed:
                fleet.kill(home_owner)
            await trio.sleep(SETTLE_S)
            assert find_overdue(fleet, acked_ms) == {}
            assert not fleet.count_running()

    run_virtual(run)


# -- events later than the last confirmation of ownership --------------------


def test_end_of_unknown_job_is_not_acknowledged(run_virtual, delays):
    """Guards against a second start of a task whose end was read.

    The new owner reads the end of a run whose job it doesn't know yet. As the
    end changes no job, nothing has to become durable; if the end is
    acknowledged, the worker forgets it before the job's row arrives.
    """

    async def run():
        async with open_calm_fleet(workers=2) as fleet:
            await find_orphaned_run(fleet, delays, make_request(run_ms=100))
            await trio.sleep(SETTLE_S)
            await fleet.wait_done(JOB)
            assert fleet.count_starts() == 1
            fleet.check()

    run_virtual(run)


def test_failure_of_unknown_job_counts_as_attempt(run_virtual, delays):
    """Guards against a start beyond the maximum number of attempts.

    As above, with a run that failed.
    """

    async def run():
        async with open_calm_fleet(workers=2) as fleet:
            request = make_request(run_ms=100, fails_always=True)
            await find_orphaned_run(fleet, delays, request)
            await trio.sleep(SETTLE_S)
            await fleet.wait_state(JOB, JobState.FAILED)
            assert fleet.count_starts() == QUEUE.max_attempts

    run_virtual(run)


def test_finished_job_with_failed_removal_is_not_run_again(run_virtual, delays):
    """Guards against a second run of a job that finished long ago.

    The owner drops an old job, and the store rejects the removal of its rows.
    When the store loses its history, the feed reads all jobs again. Without
    their progress the job would be taken for a new one.
    """

    async def run():
        async with open_calm_fleet(instances=1) as fleet:
            await fleet.submit(request=make_request())
            await fleet.wait_done(JOB)
            state = fleet.instances['i0'].state
            refused = []

            async def refuse_removals(client, transaction):
                if any(write.value is None for write in transaction.writes):
                    refused.append(transaction)
                    raise UnavailableError('the store refuses')

            delays.transact = refuse_removals
            state.config = attrs.evolve(state.config, finished_retention_ms=500)
            await wait_until(lambda: refused)
            await trio.sleep(0.1)
            fleet.platform.store.drop_change_log()
            await trio.sleep(4)
            assert fleet.count_starts() == 1
            assert await fleet.instances['i0'].intake.get_state(JOB) in {
                None,
                JobState.COMPLETED,
            }
            assert fleet.get_owner() == 'i0'

    run_virtual(run)


@pytest.mark.parametrize('after_s', [0.001, 0.02])
def test_late_renewal_does_not_undo_release(run_virtual, delays, after_s):
    """Guards against a released unit without an owner for over two seconds.

    The store applies a renewal after the release that followed it, so the lease
    appears to be held by an instance that has left.
    """

    async def run():
        async with open_calm_fleet(instances=2) as fleet:
            leaving = fleet.get_owner()
            renewing = trio.Event()
            released = trio.Event()

            async def renew_late(transaction):
                await released.wait()
                await trio.sleep(after_s)
                fleet.platform.store.apply(transaction)

            async def transact(client, transaction):
                if client != leaving or LEASE_KEY not in get_keys(transaction):
                    return
                if not renewing.is_set():
                    renewing.set()
                    trio.lowlevel.spawn_system_task(renew_late, transaction)
                    await trio.sleep(CALL_TIMEOUT_S)
                    raise AnswerLostError('the store writes late')

            delays.transact = transact
            await renewing.wait()
            await fleet.instances[leaving].shell.leave()
            released.set()
            fleet.kill(leaving)
            with trio.fail_after(1):
                await fleet.wait_owner()

    run_virtual(run)


@pytest.mark.parametrize('take_s', [0.05, 0.4, 1.5])
def test_instance_stopped_during_takeover_releases_unit(
    run_virtual, delays, take_s
):
    """Guards against a planned stop that leaves a unit to lapse.

    An instance is stopped while its attempt to take a unit is pending. If the
    success arrives after it has left, it owns the unit, and nothing makes it
    release the unit any more.
    """

    async def run():
        async with open_calm_fleet(instances=3) as fleet:

            async def take_slowly(client, transaction):
                if EPOCH_KEY in get_keys(transaction):
                    await trio.sleep(take_s)

            delays.transact = take_slowly
            first = fleet.get_owner()
            await fleet.stop(first)
            await wait_until(lambda: list_takers(fleet))
            stopping = list_takers(fleet)[0]
            shell = fleet.instances[stopping].shell
            with trio.move_on_after(5) as scope:
                await shell.leave()
            has_left = not scope.cancelled_caught
            await trio.sleep(1)
            assert fleet.get_owner() != stopping
            assert has_left
            fleet.kill(stopping)
            await fleet.wait_owner(limit_s=1)

    run_virtual(run)


def list_takers(fleet):
    return [
        name
        for name in fleet.instances
        if is_in_phase(fleet, name, Phase.TAKING)
    ]


def write_lease(fleet, *, released):
    lease = LeaseRecord('other:1', 'other', released=released)
    row = encode(lease)
    fleet.platform.store.write(UNITS_TABLE, PART, LEASE_KEY, row)


async def succeed_owner(fleet, epoch):
    """Write rows of another owner, which releases the unit later."""
    row = encode(EpochRecord(epoch, 'other:1'))
    fleet.platform.store.write(UNITS_TABLE, PART, EPOCH_KEY, row)
    write_lease(fleet, released=False)
    await wait_until(lambda: is_in_phase(fleet, 'i0', Phase.STANDING_BY))
    write_lease(fleet, released=True)


def get_epoch(fleet, name='i0'):
    return fleet.instances[name].state.ownership.epoch.epoch


async def wait_epoch(fleet, epoch, phase=Phase.ACTIVE):
    await wait_until(
        lambda: is_in_phase(fleet, 'i0', phase) and get_epoch(fleet) == epoch
    )


def test_unit_released_before_step_down_is_taken(
    run_virtual,
):
    """Guards against a unit that stays without an owner.

    An owner ignores changes of its unit's rows. If its successor has left when
    it learns that it was succeeded, no row changes any more, and only changes
    are reported.
    """

    async def run():
        # The rows change while the first owner regards itself as the owner.
        async with open_fleet(instances=1) as fleet:
            row = encode(EpochRecord(2, 'other:1'))
            fleet.platform.store.write(UNITS_TABLE, PART, EPOCH_KEY, row)
            write_lease(fleet, released=True)
            await wait_until(
                lambda: is_in_phase(fleet, 'i0', Phase.STANDING_BY)
            )
            await fleet.wait_owner(limit_s=6)

    run_virtual(run)


def test_unit_of_crashed_new_owner_is_taken(run_virtual):
    """Guards against a unit that stays without an owner.

    Two instances try to take the unit. The second one receives the success of
    the first one while its own attempt is pending. If it ignores that row, it
    waits for further changes after its failure, and the first one is gone
    before its first renewal.
    """

    async def run():
        # Both instances tried to take the unit; the second one hasn't seen any
        # renewal of the first one.
        async with open_fleet(instances=2) as fleet:
            fleet.kill_owner()
            await fleet.wait_owner(limit_s=6)

    run_virtual(run)


@pytest.mark.parametrize('down_s', [2.0, 3.0, 6.0])
def test_unit_is_taken_after_store_outage(run_virtual, down_s):
    """Guards against a unit without an owner until its last one returns.

    The owner crashes while the store is down. All other instances try to take
    the unit once its lease has lapsed, and stop trying after two seconds. If
    they then wait for changes of its rows, none comes without an owner.
    """

    async def run():
        async with open_calm_fleet(instances=3) as fleet:
            fleet.kill_owner()
            fleet.platform.store.trouble.refused.add('*')
            await trio.sleep(down_s)
            fleet.platform.store.trouble.refused.clear()
            await fleet.wait_owner(limit_s=6)

    run_virtual(run)


def test_late_roster_failure_does_not_end_later_ownership(run_virtual, delays):
    """Guards against an owner that steps down although no other one exists.

    A write of the roster from an earlier ownership is retried for an hour, and
    its failure must not count for the present ownership.
    """

    async def run():
        async with open_calm_fleet(instances=1) as fleet:
            begun = trio.Event()
            resumed = trio.Event()

            async def transact(client, transaction):
                if ROSTER_KEY in get_keys(transaction) and not begun.is_set():
                    begun.set()
                    await resumed.wait()

            delays.transact = transact
            fleet.platform.add_worker('w9')
            await begun.wait()
            await succeed_owner(fleet, 2)
            await wait_epoch(fleet, 3)
            resumed.set()
            await trio.sleep(3)
            assert fleet.get_owner() == 'i0'
            assert get_epoch(fleet) == 3

    run_virtual(run)


def test_late_load_does_not_count_for_later_ownership(run_virtual, monkeypatch):
    """Guards against an accepted job that isn't run.

    An instance that falls behind by more than a takeover handles the rows that
    it read in an earlier ownership. Changes made since then are neither in
    these rows nor in the feed, which continues from the later read.
    """
    held = []
    post_now = SchedulerShell.post_to

    def post_to(shell, unit, event):
        if isinstance(event, events.UnitLoaded):
            held.append((unit, event))
            if len(held) == 1:
                return
            post_now(shell, *held[0])
        post_now(shell, unit, event)

    async def run():
        async with open_calm_fleet(instances=1) as fleet:
            monkeypatch.setattr(SchedulerShell, 'post_to', post_to)
            await succeed_owner(fleet, 2)
            await wait_until(lambda: held)
            await succeed_owner(fleet, 4)
            await fleet.submit(request=make_request())
            await wait_epoch(fleet, 5)
            await fleet.wait_done(JOB)

    run_virtual(run)


# -- suspended processes -----------------------------------------------------


@attrs.define
class Freezer:
    """Queues an instance's events, as if its process were suspended."""

    post_now: object
    frozen: object = None
    queued: list = attrs.field(factory=list)

    def freeze(self, instance):
        self.frozen = instance.shell

    def thaw(self):
        shell = self.frozen
        self.frozen = None
        # Only one tick per unit remains, as timers fire once.
        ticked = set()
        for unit, event in self.queued:
            if isinstance(event, events.Ticked):
                if unit in ticked:
                    continue
                ticked.add(unit)
            self.post_now(shell, unit, event)


@pytest.fixture
def freezer(monkeypatch):
    post_now = SchedulerShell.post_to
    freezer = Freezer(post_now)

    def post_to(shell, unit, event):
        if freezer.frozen is shell:
            freezer.queued.append((unit, event))
        else:
            post_now(shell, unit, event)

    monkeypatch.setattr(SchedulerShell, 'post_to', post_to)
    return freezer


def is_tick(queued):
    return isinstance(queued[1], events.Ticked)


def record_orders(monkeypatch, client):
    """Return a list that records a client's orders to start."""
    orders = []
    start_now = StandinAgents.start

    async def start(agents, order):
        if agents.client == client:
            orders.append((get_now_ms(), order.key.job_id))
        return await start_now(agents, order)

    monkeypatch.setattr(StandinAgents, 'start', start)
    return orders


@pytest.mark.parametrize('is_first', [True, False])
def test_renewal_sent_before_suspension_confirms_nothing(
    run_virtual, freezer, monkeypatch, is_first
):
    """Guards against orders of an owner whose unit another one has taken.

    The owner is suspended while the answer to its renewal is pending. After its
    lease has lapsed it resumes, and asks the store to confirm its ownership.
    The old answer, which precedes the suspension, must not count as
    confirmation.
    """

    async def run():
        async with open_calm_fleet(instances=2, workers=2) as fleet:
            frozen = fleet.get_owner()
            new_owner = fleet.get_other_instance(frozen)
            ownership = fleet.instances[frozen].state.ownership
            orders = record_orders(monkeypatch, frozen)
            # The new owner hasn't reached this worker.
            fleet.platform.workers['w0'].unreachable_clients = {new_owner}
            await wait_until(lambda: not ownership.is_renewing)
            await wait_until(lambda: ownership.is_renewing)
            freezer.freeze(fleet.instances[frozen])
            await wait_until(
                lambda: is_in_phase(fleet, new_owner, Phase.ACTIVE)
            )
            await fleet.submit(request=make_request(run_ms=3000), by=new_owner)
            await trio.sleep(0.3)
            # The next renewal corrects it, but with a delay.
            fleet.platform.store.trouble.write_duration_s = 0.3
            if is_first:
                freezer.queued.sort(key=is_tick)
            freezer.thaw()
            await trio.sleep(1)
            assert orders == []
            fleet.check()

    run_virtual(run)


def test_unit_taken_before_suspension_is_not_owned_after(
    run_virtual, freezer, monkeypatch
):
    async def run():
        async with open_calm_fleet(instances=3, workers=2) as fleet:
            fleet.kill_owner()
            await wait_until(lambda: list_takers(fleet))
            frozen = list_takers(fleet)[0]
            new_owner = fleet.get_other_instance(frozen)
            orders = record_orders(monkeypatch, frozen)
            fleet.platform.workers['w0'].unreachable_clients = {new_owner}
            freezer.freeze(fleet.instances[frozen])
            await wait_until(
                lambda: is_in_phase(fleet, new_owner, Phase.ACTIVE)
            )
            await fleet.submit(request=make_request(run_ms=3000), by=new_owner)
            await trio.sleep(0.3)
            freezer.thaw()
            await trio.sleep(1)
            assert orders == []
            fleet.check()

    run_virtual(run)
