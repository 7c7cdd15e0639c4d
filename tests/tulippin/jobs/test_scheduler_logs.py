"""Every decision on a job is logged, so that its history can be traced."""

import contextlib

import logbook
import pytest
import trio

from scheduler_fleet import (
    QUEUE,
    make_long_running_request,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs.types import JobState

JOB = '00000000000000aa'
OTHER_JOB = '00000000000000bb'
LIMIT_MS = 3000
# Feeds of the configuration, of leases, and of the owned unit's jobs.
WAITING_FEEDS = 3
JOB_MESSAGES = {
    'job accepted': {'job', 'queue', 'is_new', 'version', 'took_ms'},
    'job taken up': {'job', 'queue', 'steps', 'version'},
    'start run': {'task', 'run', 'worker', 'waited_ms', 'list_age_ms'},
    'run ended': {'task', 'run', 'worker', 'outcome', 'number'},
    'job finished': {'job', 'state', 'age_ms'},
}
LOST_RUN_MESSAGES = {
    'worker silent': {'worker', 'reason'},
    'run over': {'task', 'run', 'worker', 'why', 'age_ms'},
}
CANCEL_MESSAGES = {
    'cancel accepted': {'job', 'queue', 'version', 'took_ms'},
    'stop run': {'task', 'run', 'worker', 'why'},
}
UNIT_MESSAGES = {
    'take unit': {'why', 'silent_ms', 'epoch'},
    'unit taken': {'epoch', 'version'},
    'unit loaded': {'epoch', 'jobs', 'workers', 'rostered'},
    'configuration in force': {'version'},
}
HANDOVER_MESSAGES = {
    'release unit': {'epoch', 'why', 'runs'},
    'unit loaded': {'epoch', 'tasks'},
    'start run': {
        'cleared_by',
        'job_version',
        'epoch_version',
        'reported_workers',
    },
    'run adopted': {'run', 'worker', 'is_reported', 'held_ms', 'other_runs'},
}


@contextlib.contextmanager
def capture_log():
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def find_missing(handler, wanted):
    """Return the wanted fields that the log lacks, by message."""
    seen = {}
    for record in handler.records:
        seen.setdefault(record.message, set(record.kwargs))
    return {
        message: fields - seen.get(message, set())
        for message, fields in wanted.items()
        if fields - seen.get(message, set())
    }


async def submit(fleet, run_ms):
    request = make_request(make_step(2), run_ms=run_ms)
    intake = fleet.instances['i0'].intake
    await intake.submit(JOB, QUEUE, request, LIMIT_MS)


@pytest.mark.parametrize('wanted', [JOB_MESSAGES, UNIT_MESSAGES])
def test_completed_job_is_logged_completely(run_virtual, wanted):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, 300)
            await fleet.wait_done(JOB)

    with capture_log() as handler:
        run_virtual(run)
    assert find_missing(handler, wanted) == {}


def test_handover_logs_what_holds_tasks_back(run_virtual):
    async def run():
        async with open_fleet(workers=3) as fleet:
            await submit(fleet, 1500)
            await fleet.wait_running(2)
            owner = fleet.get_owner()
            other = fleet.get_other_instance(owner)
            await fleet.stop(owner)
            await fleet.submit(OTHER_JOB, by=other)
            await fleet.wait_state(JOB, JobState.COMPLETED, by=other)

    with capture_log() as handler:
        run_virtual(run)
    assert find_missing(handler, HANDOVER_MESSAGES) == {}
    adopted = [
        record.kwargs
        for record in handler.records
        if record.message == 'run adopted'
    ]
    assert len(adopted) == 2
    assert all(fields['is_reported'] for fields in adopted)
    clearances = [
        record.kwargs['cleared_by']
        for record in handler.records
        if record.message == 'start run'
    ]
    assert clearances == [
        'job is newer than the takeover',
        'job is newer than the takeover',
        'not in the release report',
    ]


def test_lost_run_is_logged(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, 9000)
            await fleet.wait_running(2)
            for worker in fleet.platform.workers.values():
                worker.unreachable_clients.add('*')
            await trio.sleep(8)

    with capture_log() as handler:
        run_virtual(run)
    assert find_missing(handler, LOST_RUN_MESSAGES) == {}


def test_cancel_is_logged_up_to_the_stop(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            await submit(fleet, 60_000)
            await fleet.wait_running(2)
            intake = fleet.instances['i1'].intake
            await intake.cancel(JOB, QUEUE, LIMIT_MS)
            await trio.sleep(1)

    with capture_log() as handler:
        run_virtual(run)
    assert find_missing(handler, CANCEL_MESSAGES) == {}


def test_loss_and_return_of_store_are_logged_not_each_call(run_virtual):
    async def run():
        async with open_fleet(instances=1) as fleet:
            fleet.platform.store.trouble.refused.add('*')
            await trio.sleep(4)
            fleet.platform.store.trouble.refused.clear()
            await trio.sleep(1)

    with capture_log() as handler:
        run_virtual(run)
    logged = [record.message for record in handler.records]
    lost = logged.index('store lost')
    # Some 100 calls fail. A feed's call that was waiting when the outage began
    # may still succeed, and the next one is logged as a new loss.
    assert logged.count('store lost') <= 1 + WAITING_FEEDS
    assert 'store answers' in logged[lost:]


def test_tasks_that_do_not_fit_are_logged_with_reason(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            # Each worker has 16 cores, so the third task waits.
            step = make_step(3, 12_000)
            intake = fleet.instances['i0'].intake
            request = make_request(step, run_ms=9000)
            await intake.submit(JOB, QUEUE, request, LIMIT_MS)
            await trio.sleep(3)

    with capture_log() as handler:
        run_virtual(run)
    logged = [
        record.kwargs
        for record in handler.records
        if record.message == 'tasks wait for room'
    ]
    assert 1 <= len(logged) <= 3
    assert logged[-1]['tasks'] == 1
    assert logged[-1]['queue'] == QUEUE.name
    assert logged[-1]['refused'] == {'processors': 2}
    assert logged[-1]['waited_ms'] > 1000


def test_division_of_processors_is_logged_while_tasks_wait(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            intake = fleet.instances['i0'].intake
            lasting = make_long_running_request(2, 12_000)
            await intake.submit(f'{1:016x}', QUEUE, lasting, LIMIT_MS)
            await fleet.wait_running(2)
            # One of the three tasks does not fit beside the long-running ones.
            urgent = make_request(
                make_step(3, 3000, estimated_ms=9000), run_ms=9000
            )
            await intake.submit(JOB, QUEUE, urgent, LIMIT_MS)
            await trio.sleep(3)

    with capture_log() as handler:
        run_virtual(run)
    logged = find_last(handler, 'processors divided')
    assert logged['long_running_millicores'] == 24_000
    assert logged['short_millicores'] == 6000
    assert logged['free_millicores'] == 2000
    assert logged['place_millicores'] == 3000
    assert logged['found_places'] == 2
    waiting = find_last(handler, 'tasks wait for room')
    assert waiting['waiting_millicores'] == 3000
    assert waiting['by_lateness'] == {'in_time': 1}
    assert waiting['units_with_place'] == 0


def test_start_logs_wait_and_lateness(run_virtual):
    async def run():
        async with open_fleet(instances=1, workers=2) as fleet:
            # Each worker runs one task at a time, so the last one is late.
            step = make_step(5, 12_000, estimated_ms=2000)
            request = make_request(step, run_ms=2000)
            intake = fleet.instances['i0'].intake
            await intake.submit(JOB, QUEUE, request, LIMIT_MS)
            await fleet.wait_done(JOB)

    with capture_log() as handler:
        run_virtual(run)
    starts = [
        record.kwargs
        for record in handler.records
        if record.message == 'start run'
    ]
    assert [one['lateness'] for one in starts] == [*['in_time'] * 4, 'late']
    # An objective of twice the run time and half a second.
    assert all(4000 <= one['due_in_ms'] <= 4500 for one in starts[:2])
    assert all(one['ready_for_ms'] < 500 for one in starts[:2])
    assert 4000 <= starts[-1]['ready_for_ms'] < 6000
    expected_ms = 4500 - starts[-1]['waited_ms']
    assert abs(starts[-1]['due_in_ms'] - expected_ms) < 500


def find_last(handler, message):
    """Return the fields of the last log line with a message."""
    return [
        record.kwargs for record in handler.records if record.message == message
    ][-1]
