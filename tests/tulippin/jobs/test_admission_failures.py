"""Admission in a fleet: replies, rows, and failures during an overload."""

import contextlib
import json
import types

import logbook
import pytest
import trio

from scheduler_fleet import (
    LIMIT_MS,
    LOW_PRIORITY_QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin._client_connections import ConnectionTable
from tulippin.client_limits import ClientLimits
from tulippin.exceptions import OverloadedError, UnavailableError
from tulippin.jobs import _admission_inputs
from tulippin.jobs.features import Features
from tulippin.jobs.records import HOMES_TABLE
from tulippin.jobs.types import JobState
from tulippin.platform.callers import CallersApp
from tulippin.platform.standin_store import StoreView
from tulippin.scheduler_operators import SchedulerMetrics

QUEUE = LOW_PRIORITY_QUEUE
RUN_MS = 1000
REQUEST = make_request(make_step(10, estimated_ms=RUN_MS), run_ms=RUN_MS)
BODY = {
    'Spec': REQUEST.spec,
    'Steps': [{'Count': 10, 'Cpu': 1000, 'MemMb': 1000, 'EstimatedMs': RUN_MS}],
}
SUBMIT_EVERY_S = 0.06
# The queue has to be long for 5 s until a rate is published.
WARM_UP_S = 9
# Jobs of the load, which offers five times what two workers complete.
LOAD = tuple(f'{number:016x}' for number in range(1000))
# Any number of these ids is enough for one rejection while the units are full.
PROBES = tuple(f'{number:016x}' for number in range(10**6, 10**6 + 60))


@contextlib.asynccontextmanager
async def open_overloaded(has_admission=True):
    """Run a fleet whose queue is so long that new jobs have no value.

    Yields the fleet, and the scope of the load that keeps the queue long.
    """
    features = Features(has_admission=has_admission)
    async with open_fleet(features=features) as fleet:
        await fleet.wait_owner()
        scope = trio.CancelScope()
        fleet.nursery.start_soon(offer_load, fleet, scope)
        await trio.sleep(WARM_UP_S)
        yield fleet, scope


async def offer_load(fleet, scope):
    """Submit jobs at a steady rate, which are always admitted."""
    with scope:
        for job_id in LOAD:
            for instance in fleet.instances.values():
                instance.shell.admission.sent_ids[job_id] = None
            with contextlib.suppress(UnavailableError):
                await fleet.submit(job_id, REQUEST, QUEUE)
            await trio.sleep(SUBMIT_EVERY_S)


def get_intake(fleet):
    return next(iter(fleet.instances.values())).intake


async def find_rejected(fleet):
    """Submit jobs until one is rejected; return its id and error."""
    intake = get_intake(fleet)
    for job_id in PROBES:
        try:
            await intake.submit(job_id, QUEUE, REQUEST, LIMIT_MS)
        except OverloadedError as error:
            return job_id, error
    return None


def would_reject(instance):
    """Whether one of a series of new jobs would be rejected."""
    return any(
        _admission_inputs.assess_job(instance.shell, one, QUEUE, REQUEST)
        for one in PROBES
    )


def has_row(fleet, job_id):
    return any(
        key.startswith(job_id) for _, _, key in fleet.platform.store.rows
    )


async def post(app, job_id):
    """Submit a job as a caller does; return status and Retry-After."""
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': json.dumps(BODY).encode()}

    async def send(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': f'{QUEUE.path_prefix}{job_id}',
        'headers': [(b'host', b'host'), (b'deadline-ms', b'3000')],
    }
    await app(scope, receive, send)
    headers = dict(sent[0]['headers'])
    return sent[0]['status'], headers.get(b'retry-after')


def test_rejected_job_never_has_a_row(run_virtual):
    """Guards against a rejected job that is run all the same."""

    async def run():
        async with open_overloaded() as (fleet, _):
            job_id, error = await find_rejected(fleet)
            assert 1 <= error.retry_after_s <= 10
            assert error.exit_code == UnavailableError.exit_code
            with trio.move_on_after(20):
                while True:
                    assert not has_row(fleet, job_id)
                    assert not fleet.count_starts(job_id)
                    await trio.sleep(0.1)
            assert await get_intake(fleet).get_state(job_id) is None
            metrics = SchedulerMetrics(
                next(iter(fleet.instances.values())).shell,
                types.SimpleNamespace(failed_starts=0),
                ConnectionTable(ClientLimits()),
            ).render()
            assert b'tulippin_jobs_rejected_total{queue="p"}' in metrics
            return job_id

    with logbook.TestHandler() as lines:
        job_id = run_virtual(run)
    logged = [one for one in lines.records if one.message == 'job rejected']
    (fields,) = [one.kwargs for one in logged if one.kwargs['job'] == job_id]
    assert fields['queue'] == QUEUE.name
    assert fields['predicted_ms'] > fields['allowed_ms']
    assert fields['backlog_core_ms'] > 0
    assert fields['rate_core_ms_per_s'] > 0
    assert fields['lease_age_ms'] <= 1500
    assert 1 <= fields['retry_after_s'] <= 10


def test_caller_gets_429_with_a_time_to_return(run_virtual):
    async def run():
        async with open_overloaded() as (fleet, _):
            app = CallersApp(get_intake(fleet), lambda: '')
            answers = [await post(app, job_id) for job_id in PROBES]
            assert {status for status, _ in answers} == {200, 429}
            for status, retry_after in answers:
                if status == 429:
                    assert 1 <= int(retry_after) <= 10

    run_virtual(run)


def test_nothing_is_rejected_with_the_feature_off(run_virtual):
    async def run():
        async with open_overloaded(has_admission=False) as (fleet, _):
            for instance in fleet.instances.values():
                lease = instance.shell.units[0].lease
                assert lease.backlogs is None
            assert await find_rejected(fleet) is None

    run_virtual(run)


@pytest.mark.parametrize('by', ['i0', 'i1'])
def test_accepted_id_is_never_rejected(run_virtual, by):
    """Guards against a repeated call that gets another answer than the first.

    The second instance knows the job from its home row alone.
    """

    async def run():
        async with open_overloaded() as (fleet, _):
            intake = fleet.instances[by].intake
            app = CallersApp(intake, lambda: '')
            accepted = [job_id for job_id in LOAD if has_row(fleet, job_id)]
            assert len(accepted) > 60
            assert would_reject(fleet.instances[by])
            fleet.instances[by].shell.admission.sent_ids.clear()
            rejected = fleet.instances[by].shell.admission.rejected.copy()
            for job_id in accepted[-60:]:
                assert (await post(app, job_id))[0] == 200
            shell = fleet.instances[by].shell
            assert shell.admission.rejected == rejected
            assert would_reject(fleet.instances[by])

    run_virtual(run)


def test_rejected_job_is_accepted_when_it_returns(run_virtual):
    """Its time counts from its first call, also for the owner."""

    async def run():
        async with open_overloaded() as (fleet, scope):
            job_id, error = await find_rejected(fleet)
            scope.cancel()
            await trio.sleep(error.retry_after_s)
            limit_s = 60
            with trio.fail_after(limit_s):
                while True:
                    try:
                        await fleet.submit(job_id, REQUEST, QUEUE)
                    except OverloadedError as again:
                        await trio.sleep(again.retry_after_s)
                    else:
                        break
            await trio.sleep(0.5)
            state = fleet.instances[fleet.get_owner()].state
            job = state.jobs[job_id]
            age_ms = state.now_ms - job.arrived_ms
            assert age_ms > 1000 * error.retry_after_s
            await fleet.wait_state(job_id, JobState.COMPLETED, 90)
            fleet.check()

    run_virtual(run)


def test_old_lease_and_takeover_reject_nothing(run_virtual):
    """Guards against rejections by figures of an owner that has gone.

    The next owner publishes a rate only after it has seen the queue for
    longer than 3 s.
    """

    async def run():
        async with open_overloaded() as (fleet, _):
            owner = fleet.get_owner()
            other = fleet.instances[fleet.get_other_instance(owner)]
            assert would_reject(other)
            fleet.kill(owner)
            await trio.sleep(1.6)
            assert not fleet.get_owner()
            while not fleet.get_owner():
                assert not would_reject(other)
                await trio.sleep(0.05)
            with trio.move_on_after(3):
                while True:
                    assert not would_reject(other)
                    await trio.sleep(0.05)

    run_virtual(run)


@pytest.mark.parametrize('kind', ['silenced', 'refused'])
def test_store_that_does_not_respond_rejects_nothing(run_virtual, kind):
    """The outcome of a call is then unknown, or that it isn't possible now."""

    async def run():
        async with open_overloaded() as (fleet, _):
            assert would_reject(next(iter(fleet.instances.values())))
            getattr(fleet.platform.store.trouble, kind).add('*')
            intake = get_intake(fleet)
            for job_id in PROBES[:20]:
                with pytest.raises(UnavailableError) as caught:
                    await intake.submit(job_id, QUEUE, REQUEST, LIMIT_MS)
                assert not isinstance(caught.value, OverloadedError)

    run_virtual(run)


@pytest.mark.parametrize('fault', ['fails', 'hangs'])
def test_failed_read_of_the_home_row_rejects_nothing(
    run_virtual, monkeypatch, fault
):
    """Guards against rejecting an id that may have been accepted."""
    read_rows = StoreView.read_rows

    async def read_or_fail(view, table, *args):
        if table != HOMES_TABLE:
            return await read_rows(view, table, *args)
        if fault == 'hangs':
            await trio.sleep_forever()
        raise UnavailableError('the store refuses (503)')

    async def run():
        async with open_overloaded() as (fleet, _):
            instance = next(iter(fleet.instances.values()))
            shell = instance.shell
            assert would_reject(instance)
            rejected = shell.admission.rejected.copy()
            monkeypatch.setattr(StoreView, 'read_rows', read_or_fail)
            for job_id in PROBES[:20]:
                await get_intake(fleet).submit(job_id, QUEUE, REQUEST, LIMIT_MS)
                assert has_row(fleet, job_id)
            assert shell.admission.rejected == rejected

    with logbook.TestHandler() as lines:
        run_virtual(run)
    reasons = {
        one.kwargs['reason']
        for one in lines.records
        if one.message == 'job not rejected'
    }
    refused = 'the store refuses (503)'
    assert reasons == {refused if fault == 'fails' else 'no answer in time'}


def test_suspended_instance_rejects_nothing(run_virtual):
    """Guards against a decision by leases that were read before a freeze."""

    async def run():
        async with open_overloaded() as (fleet, _):
            instance = next(iter(fleet.instances.values()))
            assert would_reject(instance)
            clock = instance.shell.clock
            instance.shell.clock = lambda: clock() + 2000
            assert not would_reject(instance)

    run_virtual(run)
