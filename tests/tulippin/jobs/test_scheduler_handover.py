"""Tests that long-running tasks go on while their unit changes owners."""

import attrs
import logbook
import pytest
import trio

from scheduler_fleet import (
    JOB,
    QUEUE,
    get_max_downtime_ms,
    make_long_running_request,
    open_fleet,
)
from tulippin.codec_json import decode, encode
from tulippin.exceptions import AnswerLostError
from tulippin.jobs import _lifecycle, _standby_workers, core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._dispatch import Context
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    EpochRecord,
    JobRecord,
    LeaseRecord,
    ProgressRecord,
    Unit,
)
from tulippin.jobs.state import Phase, SchedulerConfig, SchedulerState
from tulippin.jobs.types import JobState, TaskKey
from tulippin.platform.standin import check_history
from tulippin.platform.standin_store import CALL_TIMEOUT_S, StoreView

# Maximum time that users accept without a run of a long-running task.
MAX_GAP_MS = 6000
# The store's usual answer takes 4 ms.
SLOW_WRITE_S = 0.2


async def submit_long_running(fleet, count, cpu=1000):
    """Start long-running tasks, and wait until their owner knows the runs."""
    await fleet.submit(request=make_long_running_request(count, cpu))
    await fleet.wait_running(count)
    await trio.sleep(1.5)


async def restart(fleet, name, grace_s=5.0):
    """Stop an instance as its platform does, and start it again."""
    with trio.move_on_after(grace_s):
        await fleet.instances[name].shell.leave()
    fleet.kill(name)
    await trio.sleep(1)
    await fleet.start(name)


async def roll_instances(fleet, gap_s):
    """Stop instances one after another, the owner first."""
    first = fleet.get_owner()
    names = [first, *(name for name in fleet.instances if name != first)]
    for name in names:
        fleet.nursery.start_soon(restart, fleet, name)
        await trio.sleep(gap_s)


async def replace_workers(fleet, count, gap_s):
    """Replace workers one by one; each leaves 4 s after its announcement."""
    leaving = list(fleet.platform.workers)[:count]
    for number, worker_id in enumerate(leaving):
        fleet.platform.add_worker(f'new{number}')
        await trio.sleep(gap_s / 2)
        fleet.platform.drain(worker_id, 4000)
        await trio.sleep(gap_s / 2)


async def slow_store(fleet, for_s):
    fleet.platform.store.trouble.write_duration_s = SLOW_WRITE_S
    await trio.sleep(for_s)
    fleet.platform.store.trouble.write_duration_s = 0.0


@pytest.mark.parametrize('slow_after_s', [1.0, 3.0, 6.0, 8.0])
def test_task_gaps_are_short_while_instances_roll_on_slow_store(
    run_virtual, slow_after_s
):
    async def run():
        async with open_fleet(instances=8, workers=16) as fleet:
            await submit_long_running(fleet, 24, cpu=4000)
            fleet.nursery.start_soon(roll_instances, fleet, 2.0)
            fleet.nursery.start_soon(replace_workers, fleet, 14, 0.7)
            await trio.sleep(slow_after_s)
            await slow_store(fleet, 9.0)
            await trio.sleep(20)
            fleet.check()
            return get_max_downtime_ms(fleet)

    assert run_virtual(run) <= MAX_GAP_MS


async def lose_owners(fleet, count, gap_s):
    """Kill one owner after the other, and start an instance for each."""
    for number in range(count):
        await trio.sleep(gap_s)
        owner = await fleet.wait_owner()
        fleet.kill(owner)
        await fleet.start(f'{owner}-{number}')


async def disturb_store(fleet, trouble, after_s):
    """Disturb the store for 3 s in the given way, if any."""
    await trio.sleep(after_s)
    if trouble:
        clients = getattr(fleet.platform.store.trouble, trouble)
        clients.add('*')
        await trio.sleep(3)
        clients.clear()


@pytest.mark.parametrize('trouble', ['', 'refused', 'silenced'])
@pytest.mark.parametrize('after_s', [3.0, 5.0])
def test_task_gaps_are_short_while_owners_crash(run_virtual, trouble, after_s):
    async def run():
        async with open_fleet(instances=8, workers=16) as fleet:
            await submit_long_running(fleet, 24, cpu=4000)
            fleet.nursery.start_soon(lose_owners, fleet, 3, 3.0)
            fleet.nursery.start_soon(replace_workers, fleet, 14, 0.7)
            await disturb_store(fleet, trouble, after_s)
            await trio.sleep(22)
            fleet.check()
            return get_max_downtime_ms(fleet)

    assert run_virtual(run) <= MAX_GAP_MS


@pytest.mark.parametrize('trouble', ['refused', 'silenced'])
def test_runs_do_not_lapse_while_release_fails(run_virtual, trouble):
    async def run():
        async with open_fleet(instances=3, workers=3) as fleet:
            await submit_long_running(fleet, 6)
            clients = getattr(fleet.platform.store.trouble, trouble)
            clients.add('*')
            fleet.nursery.start_soon(restart, fleet, fleet.get_owner())
            await trio.sleep(4.5)
            clients.clear()
            await trio.sleep(10)
            fleet.check()
            return get_max_downtime_ms(fleet)

    assert run_virtual(run) == 0


async def lose_owner_beside_a_worker(fleet, owners):
    """Lose a worker without the task, then owners, then the task's run."""
    workers = fleet.platform.workers.values()
    serving = next(worker for worker in workers if worker.runs)
    other = next(worker for worker in workers if not worker.runs)
    other.crash()
    fleet.platform.remove(other.worker_id)
    await trio.sleep(0.2)
    for _ in range(owners):
        fleet.kill_owner()
        await fleet.wait_owner()
        await trio.sleep(0.1)
    serving.fail_all()


@pytest.mark.parametrize('owners', [1, 2, 3])
def test_task_does_not_wait_for_unrelated_lost_worker(run_virtual, owners):
    async def run():
        async with open_fleet(instances=2 + owners, workers=3) as fleet:
            await submit_long_running(fleet, 1)
            await lose_owner_beside_a_worker(fleet, owners)
            await trio.sleep(8)
            fleet.check()
            return get_max_downtime_ms(fleet)

    assert run_virtual(run) < 1500


def writes_assignments(write):
    return b'"places":{"' in (write.value or b'')


@pytest.fixture
def failing_clients(monkeypatch):
    """Return a set of clients whose assignments never become durable."""
    clients = set()
    inner = StoreView.transact

    async def transact(view, transaction):
        while view.client in clients and any(
            map(writes_assignments, transaction.writes)
        ):
            await trio.sleep(0.01)
        return await inner(view, transaction)

    monkeypatch.setattr(StoreView, 'transact', transact)
    return clients


async def lose_owner_without_durable_assignment(fleet, failing_clients):
    """Kill an owner whose assignments aren't durable.

    Any worker with a run is cut off from the next owner. Returns the faults
    found in the history.
    """
    first = fleet.get_owner()
    failing_clients.add(first)
    await fleet.submit(request=make_long_running_request(1))
    await trio.sleep(2)
    fleet.kill(first)
    for worker in fleet.platform.workers.values():
        if worker.runs:
            worker.unreachable_clients.add('*')
    await trio.sleep(5)
    return check_history(fleet.platform.history)


def test_no_task_starts_without_durable_assignment(
    run_virtual, failing_clients
):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            assert (
                await lose_owner_without_durable_assignment(
                    fleet, failing_clients
                )
                == []
            )
            assert fleet.count_starts() == 1

    run_virtual(run)


def test_task_runs_twice_without_durable_assignment(
    run_virtual, failing_clients, monkeypatch
):
    monkeypatch.setattr(_lifecycle, 'is_assignment_durable', lambda *_: True)

    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            assert await lose_owner_without_durable_assignment(
                fleet, failing_clients
            )

    run_virtual(run)


def drop_assignments(fleet):
    """Remove the assigned workers from the progress rows of all jobs.

    Rows of earlier versions don't contain them.
    """
    for row in list(fleet.platform.store.rows.values()):
        if row.table == Unit(0).progress_table:
            record = decode(row.value, ProgressRecord)
            value = encode(attrs.evolve(record, places=None))
            fleet.platform.store.write(row.table, row.part, row.key, value)


def test_task_without_recorded_assignment_waits_for_all_workers(run_virtual):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            await submit_long_running(fleet, 1)
            serving = next(
                worker
                for worker in fleet.platform.workers.values()
                if worker.runs
            )
            fleet.kill_owner()
            drop_assignments(fleet)
            serving.unreachable_clients.add('*')
            await trio.sleep(15)
            fleet.check()
            return get_max_downtime_ms(fleet)

    assert run_virtual(run) < MAX_GAP_MS


async def stop_with_a_late_release(fleet, late_s):
    """Stop an owner whose release isn't answered and is applied late."""
    trouble = fleet.platform.store.trouble
    first = fleet.get_owner()
    ownership = fleet.instances[first].state.ownership
    fleet.nursery.start_soon(restart, fleet, first)
    with trio.fail_after(2):
        while ownership.phase is not Phase.RELEASING:
            await trio.sleep(0.001)
    trouble.late_clients = {first}
    trouble.late_write_share = 1.0
    await trio.sleep(late_s)
    trouble.late_write_share = 0.0
    return first


@pytest.mark.parametrize('late_s', [0.05, 1.0, 1.5])
def test_late_release_does_not_end_resumed_ownership(run_virtual, late_s):
    async def run():
        async with open_fleet(instances=3, workers=3) as fleet:
            await submit_long_running(fleet, 6)
            await stop_with_a_late_release(fleet, late_s)
            await trio.sleep(12)
            fleet.check()
            assert fleet.get_owner()
            return get_max_downtime_ms(fleet)

    assert run_virtual(run) == 0


def is_release(transaction):
    return any(
        b'"released":true' in (write.value or b'')
        for write in transaction.writes
    )


@pytest.fixture
def held_releases(monkeypatch):
    """Return the list of releases; none of them is applied or answered."""
    held = []
    inner = StoreView.transact

    async def transact(view, transaction):
        if not is_release(transaction):
            return await inner(view, transaction)
        held.append(transaction)
        await trio.sleep(CALL_TIMEOUT_S)
        raise AnswerLostError('held back')

    monkeypatch.setattr(StoreView, 'transact', transact)
    return held


def test_delayed_release_fails_after_ownership_resumed(
    run_virtual, held_releases
):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            first = fleet.get_owner()
            fleet.nursery.start_soon(fleet.instances[first].shell.leave)
            with trio.fail_after(5):
                while not held_releases or not fleet.get_owner():
                    await trio.sleep(0.01)
                earlier = list(held_releases)
                # The next attempt follows a renewal.
                while len(held_releases) == len(earlier):
                    await trio.sleep(0.01)
            store = fleet.platform.store
            return [store.apply(release).is_done for release in earlier]

    assert not any(run_virtual(run))


def make_releasing():
    """Return the state of an owner whose release is unanswered."""
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    state.ownership.phase = Phase.ACTIVE
    state.ownership.epoch = EpochRecord(3, 'i:1')
    core.reduce(state, ev.StopRequested(1000))
    core.reduce(state, ev.LeaseRenewed(1004, 0, 1000, True, False, 7))
    assert state.ownership.phase is Phase.RELEASING
    return state


def make_job_row():
    value = encode(JobRecord(QUEUE, make_long_running_request(1)))
    return StoredRow(Unit(0).jobs_table, 'j0', JOB, value, 40)


def test_job_accepted_during_failed_release_is_started():
    state = make_releasing()
    core.reduce(state, ev.JobsChanged(1010, (make_job_row(),)))
    core.reduce(state, ev.LeaseReleased(1500, 0, is_done=False))
    assert state.ownership.phase is Phase.ACTIVE
    assert JOB in state.jobs
    assert state.ready


@pytest.mark.parametrize('is_in_doubt', [True, False])
def test_orders_after_failed_release_wait_if_in_doubt(
    is_in_doubt,
):
    state = make_releasing()
    core.reduce(state, ev.LeaseReleased(1500, 0, False, is_in_doubt))
    assert Context(state).may_send_orders is not is_in_doubt
    core.reduce(state, ev.LeaseRenewed(1600, 0, 1550, True, False, 9))
    assert Context(state).may_send_orders
    assert state.ownership.lease_version == 9


def test_release_is_retried_after_renewal():
    state = make_releasing()
    core.reduce(state, ev.LeaseReleased(1500, 0, is_done=False))
    state.ownership.renewed_ms = 1500
    assert not core.reduce(state, ev.Ticked(1600, 0))
    (renewal,) = core.reduce(state, ev.Ticked(1850, 0))
    assert isinstance(renewal, fx.RenewLease)
    effects = core.reduce(
        state, ev.LeaseRenewed(1860, 0, 1850, True, False, 11)
    )
    (release,) = [
        effect for effect in effects if isinstance(effect, fx.ReleaseLease)
    ]
    assert release.lease_version == 11
    core.reduce(state, ev.LeaseReleased(1900, 0, is_done=True))
    assert state.ownership.phase is Phase.LEFT


def test_fenced_owner_leaves_at_once_when_stopping():
    state = make_releasing()
    core.reduce(state, ev.LeaseReleased(1500, 0, False, is_in_doubt=True))
    core.reduce(state, ev.LeaseRenewed(1600, 0, 1550, False, is_fenced=True))
    assert state.ownership.phase is Phase.LEFT


async def time_moves_beside_unconfirmed_run(fleet):
    """Return how long a leaving worker keeps its tasks, in seconds."""
    silent, leaving = [
        worker for worker in fleet.platform.workers.values() if worker.runs
    ]
    fleet.kill_owner()
    silent.unreachable_clients.add('*')
    await fleet.wait_owner()
    fleet.platform.drain(leaving.worker_id, 4000)
    began_s = trio.current_time()
    with trio.fail_after(4):
        while leaving.runs:
            await trio.sleep(0.01)
    return trio.current_time() - began_s


def test_unconfirmed_run_does_not_delay_moves_of_other_tasks(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=2, workers=4) as fleet:
            await submit_long_running(fleet, 2, cpu=9000)
            seconds = await time_moves_beside_unconfirmed_run(fleet)
            await trio.sleep(8)
            fleet.check()
            return seconds

    assert run_virtual(run) < 1


@pytest.mark.parametrize(('version', 'is_kept'), [(900, True), (901, False)])
def test_owner_steps_down_for_a_later_row_only(version, is_kept):
    """An unreadable row of its own tells its version as the epoch."""
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    ownership = state.ownership
    ownership.phase = Phase.ACTIVE
    ownership.epoch = EpochRecord(4, 'i:1')
    ownership.epoch_version = 900
    row = EpochRecord(version, '')
    core.reduce(state, ev.LeaseSeen(1, None, version, row, version))
    assert (state.ownership.phase is Phase.ACTIVE) is is_kept


@pytest.mark.parametrize('answer_ms', [0, 5, 200, 10**6])
def test_takeover_attempts_are_staggered_on_slow_store(answer_ms):
    waits_ms = sorted(
        get_takeover_wait_ms(f'i{number}', answer_ms) for number in range(30)
    )
    limit_ms = {0: 50, 5: 50}.get(answer_ms, 800)
    assert 0.8 * limit_ms <= waits_ms[-1] <= limit_ms


def get_takeover_wait_ms(name, answer_ms):
    """Return how long an instance waits before it takes a released unit."""
    state = core.make_state(SchedulerConfig(name, f'{name}:1'))
    lease = LeaseRecord('o:1', 'o', released=True, answer_ms=answer_ms)
    core.reduce(state, ev.LeaseSeen(1, lease, 7, EpochRecord(3, 'o:1'), 5))
    now_ms = 1
    while state.ownership.phase is Phase.STANDING_BY:
        now_ms += 1
        core.reduce(state, ev.Ticked(now_ms, 0))
    return now_ms


async def wait_prepared(fleet, worker):
    """Wait until the standby workers of a worker's tasks are durable."""
    state = fleet.instances[fleet.get_owner()].state
    with trio.fail_after(3):
        while not all(
            _standby_workers.is_prepared(
                state.jobs[JOB], state.jobs[JOB].tasks[key]
            )
            for key, _ in worker.runs
        ):
            await trio.sleep(0.01)


@pytest.mark.parametrize('way', ['drain', 'cut'])
def test_task_moves_to_standby_worker_without_store(run_virtual, way):
    async def run():
        async with open_fleet(instances=1, workers=3) as fleet:
            await submit_long_running(fleet, 1)
            # Recent runs are suspected of having crashed their worker.
            await trio.sleep(6)
            worker = next(
                worker
                for worker in fleet.platform.workers.values()
                if worker.runs
            )
            if way == 'drain':
                fleet.platform.drain(worker.worker_id, 4000)
            else:
                worker.unreachable_clients.add('*')
            await wait_prepared(fleet, worker)
            fleet.platform.store.trouble.silenced.add('*')
            await trio.sleep(8)
            fleet.check()
            return get_max_downtime_ms(fleet), fleet.count_running()

    gap_ms, running = run_virtual(run)
    assert gap_ms < 1000
    assert running


def make_owned():
    """Return the state and the job of an owner with one long-running task."""
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    state.now_ms = 1000
    state.ownership.phase = Phase.ACTIVE
    state.ownership.epoch = EpochRecord(3, 'i:1')
    state.ownership.renewed_ms = 1000
    core.reduce(state, ev.JobsChanged(1000, (make_job_row(),)))
    return state, state.jobs[JOB]


def commit(state, at_ms):
    """Tick an owner, and return the commit that it begins."""
    effects = core.reduce(state, ev.Ticked(at_ms, 0))
    (commit_effect,) = [
        effect for effect in effects if isinstance(effect, fx.CommitProgress)
    ]
    return commit_effect


def test_assignment_removed_by_pending_commit_is_not_durable():
    state, job = make_owned()
    key = TaskKey(JOB, 0, 0, 0)
    job.durable = ProgressRecord(JobState.RUNNING, places={'0.0.0': ('w0',)})
    assert _lifecycle.is_assignment_durable(job, key, 'w0')
    effect = commit(state, 1300)
    assert effect.writes[0].record.places == {}
    assert not _lifecycle.is_assignment_durable(job, key, 'w0')
    core.reduce(state, ev.ProgressCommitted(1310, effect, 50, is_fenced=False))
    assert job.pending_progress is None
    assert job.durable == effect.writes[0].record


def test_suspected_task_has_no_standby_worker(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=3) as fleet:
            await submit_long_running(fleet, 2)
            for worker in fleet.platform.workers.values():
                if worker.runs:
                    worker.unreachable_clients.add('*')
            await trio.sleep(3)
            job = fleet.instances['i0'].state.jobs[JOB]
            assert all(task.crashes for task in job.tasks.values())
            return [task.standby_workers for task in job.tasks.values()]

    assert not any(run_virtual(run))


def test_order_that_waits_for_commit_is_logged(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            # Wait until the workers are on the roster.
            await trio.sleep(1)
            await fleet.submit(request=make_long_running_request(1))
            state = fleet.instances['i0'].state
            with trio.fail_after(1):
                while JOB not in state.jobs:
                    await trio.sleep(0.001)
            fleet.platform.store.trouble.silenced.add('*')
            await trio.sleep(3)
            assert not fleet.count_running()

    with logbook.TestHandler().applicationbound() as handler:
        run_virtual(run)
    records = [
        record
        for record in handler.records
        if record.message == 'orders wait to be durable'
    ]
    assert records
    assert records[-1].kwargs['orders'] == 1
    assert records[-1].kwargs['waited_ms'] > 1000


def test_lease_of_a_takeover_counts_from_its_request():
    """Guards against an owner that outlasts the wait of its successor."""
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=5000)
    state.ownership.phase = Phase.TAKING
    core.reduce(state, ev.UnitTaken(5000, 3, 70, 3400))
    assert state.ownership.phase is Phase.LOADING
    assert state.ownership.renewed_ms == 3400
