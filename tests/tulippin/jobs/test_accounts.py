"""Units given up before they were loaded: what is known is handed on.

An account of where tasks may run counts for the next owner alone. Where
that one is stopped before it has loaded the unit, the one after it had no
account, and its tasks waited for silent workers as after a crash, though
nobody had given any order in between.
"""

import pytest
import trio

from fleet_of_schedulers import QUEUE, make_request, make_step, open_fleet
from tulippin.codec_json import decode
from tulippin.jobs._attempts import take_end
from tulippin.jobs._dispatch import Context
from tulippin.jobs._unseen import (
    begin,
    get_awaited_ms,
    is_settled,
    make_account,
)
from tulippin.jobs.core import make_state
from tulippin.jobs.records import (
    ACCOUNT_KEY,
    ACCOUNTS_TABLE,
    AccountRecord,
    EpochRecord,
    Unit,
    WorkerAccount,
)
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import EndedRun, RunOutcome, TaskKey
from tulippin.platform.standin import get_now_ms
from tulippin.platform.standin_store import StoreView

JOB = '00000000000000aa'
OTHER = '00000000000000bb'
LIMIT_MS = 3000
# An owner grants 4.5 s, by a clock that may be slow, and adds 0.4 s.
LEASE_S = 5.1


@pytest.fixture
def held(monkeypatch):
    """Return the clients whose loading of the unit does not end."""
    held = set()
    inner = StoreView.read_rows

    async def read_rows(view, table, *arguments):
        while view.client in held and table == Unit(0).progress_table:
            await trio.sleep(0.01)
        return await inner(view, table, *arguments)

    monkeypatch.setattr(StoreView, 'read_rows', read_rows)
    return held


async def submit(fleet, job_id, request):
    intake = next(iter(fleet.instances.values())).intake
    await intake.submit(job_id, QUEUE, request, LIMIT_MS)


async def serve(fleet):
    """Let a lasting task run, and a worker know orders where it does not."""
    step = make_step(1, long_running=True)
    await submit(fleet, JOB, make_request(step, lasts=True))
    await submit(fleet, OTHER, make_request(make_step(16)))
    await fleet.wait_done(OTHER)
    await trio.sleep(1.5)
    workers = fleet.platform.workers.values()
    (serving,) = (worker for worker in workers if worker.runs)
    return serving, next(one for one in workers if one is not serving)


async def leave(fleet, name):
    await fleet.instances[name].shell.leave()
    fleet.kill(name)


async def find_loading(fleet):
    with trio.fail_after(6):
        while True:
            for name, instance in fleet.instances.items():
                if instance.state.ownership.phase is Phase.LOADING:
                    return name
            await trio.sleep(0.005)


async def stop_takers(fleet, held, count, after_s=0.0):
    """Have the next owners stopped before they have loaded the unit."""
    for _ in range(count):
        held.update(fleet.instances)
        name = await find_loading(fleet)
        await trio.sleep(after_s)
        await leave(fleet, name)
        held.clear()


async def wait_started(fleet, count, limit_s):
    """Wait until the task has had so many runs."""
    with trio.fail_after(limit_s):
        while count_starts(fleet) < count:
            await trio.sleep(0.01)


def count_starts(fleet):
    return sum(
        event.kind == 'started' and event.key.job_id == JOB
        for event in fleet.platform.history
    )


# Order of events: a worker is silent, and all leases there have lapsed long
# before; the owner is stopped as the task's run ends elsewhere; the next
# owner, or each of the next two, is stopped while it loads.
@pytest.mark.parametrize('takers', [0, 1, 2])
def test_task_does_not_wait_for_a_worker_long_silent(run_virtual, held, takers):
    async def run():
        async with open_fleet(instances=2 + takers, workers=3) as fleet:
            serving, silent = await serve(fleet)
            silent.cut_off.add('*')
            await trio.sleep(8)
            await leave(fleet, fleet.get_owner())
            serving.fail_all()
            await stop_takers(fleet, held, takers)
            await fleet.wait_owner()
            await wait_started(fleet, 2, 10)
            fleet.check()
            runs = [
                event.at_ms
                for event in fleet.platform.history
                if event.key.job_id == JOB
                and event.kind in {'ended', 'started'}
            ]
            return runs[2] - runs[1]

    assert run_virtual(run) < 2000


# What must stay: the task runs on, unseen, on a worker that is cut off.
@pytest.mark.parametrize('after_s', [0.0, 0.4, 1.2])
@pytest.mark.parametrize('takers', [1, 2])
def test_unseen_run_is_waited_out_by_the_account_handed_on(
    run_virtual, held, takers, after_s
):
    async def run():
        async with open_fleet(instances=2 + takers, workers=3) as fleet:
            serving, _ = await serve(fleet)
            serving.cut_off.add('*')
            since_s = trio.current_time()
            await trio.sleep(0.2)
            await leave(fleet, fleet.get_owner())
            await stop_takers(fleet, held, takers, after_s)
            await wait_started(fleet, 2, 10)
            fleet.check()
            return trio.current_time() - since_s

    # What no owner has seen or granted is added by each taking.
    untold_s = (1 + takers) * 0.5
    assert run_virtual(run) < LEASE_S + untold_s


# The account is older than the orders: the owner after the one that told it
# gave some, and crashed.
def test_account_that_an_owner_outlived_is_not_handed_on(run_virtual, held):
    async def run():
        async with open_fleet(instances=4, workers=3) as fleet:
            await submit(fleet, OTHER, make_request(make_step(16)))
            await fleet.wait_done(OTHER)
            await leave(fleet, fleet.get_owner())
            await fleet.wait_owner()
            serving, _ = await serve(fleet)
            serving.cut_off.add('*')
            held.update(fleet.instances)
            fleet.kill(fleet.get_owner())
            await stop_takers(fleet, held, 1)
            await wait_started(fleet, 2, 15)
            fleet.check()

    run_virtual(run)


def read_account(fleet):
    place = ACCOUNTS_TABLE, Unit(0).part, ACCOUNT_KEY
    return decode(fleet.platform.store.rows[place].value, AccountRecord)


def test_account_handed_on_is_as_it_was_but_for_time(run_virtual, held):
    async def run():
        async with open_fleet(instances=3, workers=3) as fleet:
            await serve(fleet)
            await leave(fleet, fleet.get_owner())
            before = read_account(fleet)
            await stop_takers(fleet, held, 1, 0.7)
            return before, read_account(fleet)

    before, after = run_virtual(run)
    assert after.epoch == before.epoch + 1
    assert after.workers.keys() == before.workers.keys()
    for worker_id, told in after.workers.items():
        earlier = before.workers[worker_id]
        assert told.tasks == earlier.tasks
        passed_ms = earlier.lasting_ms - told.lasting_ms
        assert told.lasting_ms == 0 or 650 <= passed_ms <= 1000


def test_lapse_that_has_passed_is_not_below_nothing():
    account = AccountRecord(4, {'w0': WorkerAccount(300, ('a',), True)})
    assert account.hand_on(500) == AccountRecord(
        5, {'w0': WorkerAccount(0, ('a',), True)}
    )


# A store that does not tell the account must not keep a stop.
def test_stop_does_not_wait_for_the_account(run_virtual, held, monkeypatch):
    inner = StoreView.read_rows

    async def read_rows(view, table, *arguments):
        if table == ACCOUNTS_TABLE:
            await trio.sleep(30)
        return await inner(view, table, *arguments)

    async def run():
        async with open_fleet(instances=3, workers=3) as fleet:
            await serve(fleet)
            await leave(fleet, fleet.get_owner())
            held.update(fleet.instances)
            name = await find_loading(fleet)
            monkeypatch.setattr(StoreView, 'read_rows', read_rows)
            since_ms = get_now_ms()
            await leave(fleet, name)
            return get_now_ms() - since_ms

    assert run_virtual(run) < 1000


def begin_with(account):
    """Return the state of an owner that has read an account of epoch 3."""
    state = make_state(SchedulerConfig('i', 'i:1'))
    state.now_ms = 1000
    state.ownership.epoch = EpochRecord(4, 'i:1')
    state.roster = {'told': '10.9.0.1:80', 'untold': '10.9.0.2:80'}
    begin(account, Context(state))
    return state


# It came on the roster too late to get an order, or was about to be struck
# out, as nothing could run there any more.
def test_rostered_worker_that_a_known_account_lacks_holds_nothing_up():
    account = AccountRecord(3, {'told': WorkerAccount(4000, ('a.0.0.0',))})
    state = begin_with(account)
    assert not state.workers['untold'].may_run_anything
    assert is_settled(state)
    assert get_awaited_ms(state) == 4000


@pytest.mark.parametrize('epoch', [2, 4])
def test_rostered_worker_may_run_anything_by_an_account_of_another_owner(epoch):
    account = AccountRecord(epoch, {'told': WorkerAccount(4000, ('a.0.0.0',))})
    state = begin_with(account)
    assert state.workers['untold'].may_run_anything
    assert not is_settled(state)


ACCOUNTED_ENDS = {
    RunOutcome.DONE: True,
    RunOutcome.FAILED: True,
    RunOutcome.STOPPED: False,
    RunOutcome.LAPSED: False,
}


@pytest.mark.parametrize('outcome', list(RunOutcome))
@pytest.mark.parametrize('checkpoint', ['', 'c1'])
def test_account_tells_of_ends_that_the_next_start_depends_on(
    outcome, checkpoint
):
    state = begin_with(AccountRecord(3, {}))
    worker = state.workers['told']
    worker.is_reconciled = True
    ended = EndedRun(1, TaskKey(JOB, 0, 0, 0), 1, outcome, checkpoint)
    take_end(worker, ended, Context(state))
    told = make_account(Context(state)).workers['told'].tasks
    wanted = checkpoint or ACCOUNTED_ENDS.get(outcome, False)
    assert bool(told) is bool(wanted)
