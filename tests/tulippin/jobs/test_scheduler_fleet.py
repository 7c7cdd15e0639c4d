"""Tests of whole instances on the stand-in platform, mostly under failures."""

import attrs
import pytest
import trio

from scheduler_fleet import (
    LOW_PRIORITY_QUEUE,
    QUEUE,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs import (
    _attempts,
    _ownership,
    _reports,
    _unit_feeds,
    _worker_leases,
    intake,
)
from tulippin.jobs._perform import perform
from tulippin.jobs.effects import RemoveJobs
from tulippin.jobs.state import RUNS_PER_EPOCH, AttemptState
from tulippin.jobs.types import JobState, RunOutcome, Schedule
from tulippin.platform.standin import check_history
from tulippin.platform.standin_store import StoreView

CALL_DEADLINE_MS = 3000
JOB = '00000000000000aa'
OTHER_JOB = '00000000000000bb'


async def submit(fleet, job_id=JOB, queue=QUEUE, request=None, by=None):
    name = by or next(iter(fleet.instances))
    await fleet.instances[name].intake.submit(
        job_id, queue, request or make_request(), CALL_DEADLINE_MS
    )


def test_steps_run_in_order_and_complete(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            steps = make_step(3), make_step(2, after=(0,))
            await submit(fleet, request=make_request(*steps))
            await fleet.wait_done(JOB)
            first_end = max(
                event.at_ms
                for event in fleet.platform.history
                if event.kind == 'ended' and event.key.step == 0
            )
            second = [
                event.at_ms
                for event in fleet.platform.history
                if event.kind == 'started' and event.key.step == 1
            ]
            assert len(second) == 2
            assert min(second) >= first_end
            fleet.check()

    run_virtual(run)


def test_same_id_at_all_instances_is_one_job(run_virtual):
    async def run():
        async with open_fleet(instances=3) as fleet:
            async with trio.open_nursery() as nursery:
                for name in list(fleet.instances):
                    nursery.start_soon(
                        submit, fleet, JOB, QUEUE, make_request(), name
                    )
            await fleet.wait_done(JOB)
            started = [
                event
                for event in fleet.platform.history
                if event.kind == 'started'
            ]
            assert len(started) == 1

    run_virtual(run)


def submit_many_to_slow_store(run_virtual, count=16):
    """Return how many of some concurrent jobs are accepted in time."""
    accepted = []

    async def run():
        async with open_fleet() as fleet:

            async def try_one(number):
                try:
                    await submit(fleet, f'{number:016x}')
                except UnavailableError:
                    return
                accepted.append(number)

            fleet.platform.store.trouble.write_duration_s = 0.3
            with trio.move_on_after(CALL_DEADLINE_MS / 1000):
                async with trio.open_nursery() as nursery:
                    for number in range(count):
                        nursery.start_soon(try_one, number)
            fleet.platform.store.trouble.write_duration_s = 0
            for number in accepted:
                await fleet.wait_done(f'{number:016x}')
            fleet.check()

    run_virtual(run)
    return len(accepted)


def test_slow_store_accepts_many_concurrent_jobs(run_virtual):
    assert submit_many_to_slow_store(run_virtual) == 16


def test_slow_store_with_one_partition_rejects_jobs(run_virtual, monkeypatch):
    monkeypatch.setattr(intake, 'get_jobs_part', lambda job_id, count: 'u0')
    monkeypatch.setattr(_unit_feeds, 'get_jobs_parts', lambda count: ('u0',))
    assert submit_many_to_slow_store(run_virtual) < 12


def test_job_with_partial_removal_is_not_run_again(run_virtual, monkeypatch):
    async def run():
        async with open_fleet(instances=1) as fleet:
            await submit(fleet)
            await fleet.wait_done(JOB)
            shell = fleet.instances['i0'].shell.units[0]
            allowed = StoreView.transact
            calls = []

            async def transact(view, transaction):
                calls.append(transaction)
                if len(calls) > 1:
                    raise UnavailableError('the store refuses')
                return await allowed(view, transaction)

            monkeypatch.setattr(StoreView, 'transact', transact)
            perform(
                RemoveJobs((JOB,), shell.state.ownership.epoch_version), shell
            )
            await trio.sleep(0.1)
            monkeypatch.undo()
            assert len(calls) > 1
            fleet.kill('i0')
            await fleet.start('i1')
            await fleet.wait_owner()
            await trio.sleep(3)
            started = [
                event
                for event in fleet.platform.history
                if event.kind == 'started'
            ]
            assert len(started) == 1

    run_virtual(run)


def test_unknown_job_has_no_state(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            intake = fleet.instances['i0'].intake
            assert await intake.get_state(JOB) is None
            assert not await intake.cancel(JOB, QUEUE, CALL_DEADLINE_MS)

    run_virtual(run)


def test_killed_owner_is_succeeded_without_second_run(run_virtual):
    async def run():
        async with open_fleet(instances=3) as fleet:
            await submit(fleet, request=make_request(make_step(4), run_ms=6000))
            await fleet.wait_running(4)
            killed_owner = fleet.get_owner()
            fleet.kill(killed_owner)
            await fleet.wait_owner(limit_s=4)
            await fleet.wait_done(JOB)
            assert fleet.get_owner() != killed_owner
            started = sum(
                worker.started_count
                for worker in fleet.platform.workers.values()
            )
            assert started == 4
            fleet.check()

    run_virtual(run)


def test_all_killed_instances_restart_from_store(run_virtual):
    async def run():
        async with open_fleet(instances=3) as fleet:
            steps = make_step(4), make_step(2, after=(0,))
            await submit(fleet, request=make_request(*steps, run_ms=3000))
            await fleet.wait_running(4)
            for name in list(fleet.instances):
                fleet.kill(name)
            await trio.sleep(1)
            for number in range(3):
                await fleet.start(f'i{number}')
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_planned_stop_hands_over_within_a_second(run_virtual):
    async def run():
        async with open_fleet(instances=2) as fleet:
            await submit(fleet, request=make_request(make_step(2), run_ms=4000))
            await fleet.wait_running(2)
            leaving = fleet.get_owner()
            shell = fleet.instances[leaving].shell
            await shell.leave()
            began = trio.current_time()
            while fleet.get_owner() in {'', leaving}:
                await trio.sleep(0.01)
            assert trio.current_time() - began < 1
            fleet.kill(leaving)
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_instance_that_stops_before_it_knows_units_takes_none(run_virtual):
    async def run():
        async with open_fleet(instances=1) as fleet:
            await fleet.wait_owner()
            await fleet.start('leaving')
            shell = fleet.instances['leaving'].shell
            assert not shell.units
            await shell.leave()
            fleet.kill_owner()
            await trio.sleep(10)
            assert shell.units
            assert not fleet.get_owner()

    run_virtual(run)


async def suspend_owner(fleet):
    """Suspend the owner for longer than its lease; return its unit."""
    await submit(fleet, request=make_request(make_step(3), run_ms=9000))
    await fleet.wait_running(3)
    suspended = fleet.instances[fleet.get_owner()].shell.units[0]
    suspended.state.now_ms -= 9000
    suspended.state.ownership.renewed_ms = suspended.clock() + 60_000
    return suspended


def test_waiting_jobs_are_counted_during_handover(
    run_virtual,
):
    async def run():
        async with open_fleet(instances=3, workers=1) as fleet:
            large = make_request(make_step(cpu=1_000_000))
            for number in range(4):
                await submit(fleet, f'{number:016x}', request=large)
            await trio.sleep(2)
            owner = fleet.get_owner()
            instance = fleet.instances.pop(owner)
            with trio.fail_after(4):
                await instance.shell.leave()
            for _ in range(100):
                await trio.sleep(0.02)
                for other in fleet.instances.values():
                    assert other.intake.count_waiting(QUEUE) == 4

    run_virtual(run)


def test_suspended_owner_orders_nothing_until_confirmed(run_virtual):
    async def run():
        async with open_fleet(instances=2) as fleet:
            suspended = await suspend_owner(fleet)
            await trio.sleep(0.3)
            assert suspended.state.ownership.must_confirm
            await submit(fleet, OTHER_JOB)
            await trio.sleep(1)
            started = {event.key.job_id for event in fleet.platform.history}
            assert OTHER_JOB not in started

    run_virtual(run)


def test_suspended_owner_gives_orders_without_check(run_virtual, monkeypatch):
    monkeypatch.setattr(_ownership, 'note_suspension', lambda *_: None)

    async def run():
        async with open_fleet(instances=2) as fleet:
            await suspend_owner(fleet)
            await submit(fleet, OTHER_JOB)
            await trio.sleep(1)
            started = {event.key.job_id for event in fleet.platform.history}
            assert OTHER_JOB in started

    run_virtual(run)


def test_late_orders_never_run_task_twice(run_virtual):
    async def run():
        async with open_fleet(workers=3) as fleet:
            fleet.platform.workers['w0'].start_order_delay_s = 4.0
            await submit(fleet, request=make_request(make_step(9)))
            await trio.sleep(3)
            fleet.platform.workers['w0'].start_order_delay_s = 0
            await fleet.wait_done(JOB)
            await trio.sleep(5)
            fleet.check()

    run_virtual(run)


def test_task_runs_twice_if_start_in_doubt_is_dropped(run_virtual, monkeypatch):
    def release(attempt, event, context):
        if attempt.state is AttemptState.DOUBTFUL:
            _attempts.avoid(attempt, context)
            _attempts.drop_lost_attempt(attempt, context, 'planted')

    monkeypatch.setattr(_reports, '_resolve_missing_run', release)

    async def run():
        async with open_fleet(workers=3) as fleet:
            fleet.platform.workers['w0'].start_order_delay_s = 0.5
            await submit(fleet, request=make_request(make_step(9), run_ms=8000))
            await trio.sleep(5)
            return check_history(fleet.platform.history)

    assert run_virtual(run)


def test_tasks_of_silent_worker_wait_for_its_lease(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            await submit(
                fleet, request=make_request(make_step(6), run_ms=12_000)
            )
            await fleet.wait_running(6)
            fleet.platform.workers['w0'].unreachable_clients.add('*')
            await fleet.wait_done(JOB, limit_s=60)
            fleet.check()

    run_virtual(run)


def test_tasks_run_twice_without_wait_for_lease(run_virtual, monkeypatch):
    monkeypatch.setattr(_worker_leases, 'extend_lapse_time', lambda *_: None)

    async def run():
        async with open_fleet(workers=2) as fleet:
            await submit(
                fleet, request=make_request(make_step(6), run_ms=12_000)
            )
            await fleet.wait_running(6)
            fleet.platform.workers['w0'].unreachable_clients.add('*')
            await trio.sleep(10)
            return check_history(fleet.platform.history)

    assert run_virtual(run)


def test_worker_silent_past_its_lease_is_used_again(run_virtual):
    async def run():
        async with open_fleet(workers=1) as fleet:
            await submit(fleet, request=make_request(run_ms=600_000))
            await fleet.wait_running(1)
            worker = fleet.platform.workers['w0']
            worker.unreachable_clients.add('*')
            await trio.sleep(8)
            worker.unreachable_clients.clear()
            await submit(fleet, OTHER_JOB)
            await fleet.wait_done(OTHER_JOB, limit_s=4)
            fleet.check()

    run_virtual(run)


def test_tasks_of_worker_lost_during_takeover_run_once(run_virtual):
    async def run():
        async with open_fleet(instances=2, workers=2) as fleet:
            await submit(
                fleet, request=make_request(make_step(6), run_ms=12_000)
            )
            await fleet.wait_running(6)
            fleet.platform.workers['w0'].unreachable_clients.add('*')
            fleet.platform.remove('w0')
            fleet.kill(fleet.get_owner())
            await fleet.wait_done(JOB, limit_s=60)
            fleet.check()

    run_virtual(run)


def test_new_incarnation_frees_tasks_at_once(run_virtual):
    async def run():
        async with open_fleet(workers=1) as fleet:
            await submit(fleet, request=make_request(run_ms=3000))
            await fleet.wait_running(1)
            old = fleet.platform.workers.pop('w0')
            old.crash()
            fleet.platform.remove('w0')
            fleet.platform.add_worker('w9', address=old.address)
            await fleet.wait_done(JOB, limit_s=6)
            fleet.check()

    run_virtual(run)


def test_cancel_is_stored_and_stops_runs(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            await submit(
                fleet, request=make_request(make_step(3), run_ms=60_000)
            )
            await fleet.wait_running(3)
            intake = fleet.instances['i1'].intake
            assert await intake.cancel(JOB, QUEUE, CALL_DEADLINE_MS)
            await trio.sleep(1)
            assert not fleet.count_running()
            await fleet.wait_state(JOB, JobState.CANCELLED)

    run_virtual(run)


def test_cancel_reaches_owner_after_lost_feed_events(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            await submit(
                fleet, request=make_request(make_step(3), run_ms=60_000)
            )
            await fleet.wait_running(3)
            fleet.platform.store.trouble.feeds_are_empty = True
            intake = fleet.instances['i1'].intake
            assert await intake.cancel(JOB, QUEUE, CALL_DEADLINE_MS)
            await trio.sleep(1)
            fleet.platform.store.trouble.feeds_are_empty = False
            fleet.platform.store.drop_change_log()
            await trio.sleep(3)
            assert not fleet.count_running()

    run_virtual(run)


def test_cancel_reaches_owner_with_dead_feed_connections(
    run_virtual,
):
    async def run():
        async with open_fleet() as fleet:
            await submit(
                fleet, request=make_request(make_step(3), run_ms=60_000)
            )
            await fleet.wait_running(3)
            owner = fleet.get_owner()
            other = next(name for name in fleet.instances if name != owner)
            await trio.sleep(0.5)
            fleet.platform.store.blackhole_feeds(owner)
            intake = fleet.instances[other].intake
            assert await intake.cancel(JOB, QUEUE, CALL_DEADLINE_MS)
            await trio.sleep(3)
            assert not fleet.count_running()

    run_virtual(run)


def test_job_completes_with_lost_store_answers(run_virtual):
    async def run():
        async with open_fleet(instances=3) as fleet:
            fleet.platform.store.trouble.lost_answer_share = 0.4
            steps = make_step(4), make_step(2, after=(0,))
            await submit(fleet, request=make_request(*steps))
            await fleet.wait_done(JOB, limit_s=60)
            fleet.check()

    run_virtual(run)


def test_runs_and_next_steps_continue_in_store_outage(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            steps = make_step(2), make_step(2, after=(0,))
            await submit(fleet, request=make_request(*steps, run_ms=3000))
            await fleet.wait_running(2)
            fleet.platform.store.trouble.refused.add('*')
            await trio.sleep(9)
            ended = [
                event
                for event in fleet.platform.history
                if event.kind == 'ended'
            ]
            assert {event.key.step for event in ended} == {0, 1}
            fleet.platform.store.trouble.refused.clear()
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_failed_runs_count_once_across_takeover(run_virtual):
    async def run():
        async with open_fleet(instances=2, workers=3) as fleet:
            request = make_request(failing_workers=('w0', 'w1'))
            fleet.platform.store.trouble.refused.add('never')
            await submit(fleet, request=request)
            await trio.sleep(0.5)
            fleet.kill(fleet.get_owner())
            await fleet.wait_done(JOB, limit_s=15)
            fleet.check()

    run_virtual(run)


def test_always_failing_job_fails_after_max_attempts(run_virtual):
    async def run():
        async with open_fleet(workers=4) as fleet:
            await submit(fleet, request=make_request(fails_always=True))
            await fleet.wait_state(JOB, JobState.FAILED)
            started = sum(
                worker.started_count
                for worker in fleet.platform.workers.values()
            )
            assert started == QUEUE.max_attempts

    run_virtual(run)


def test_draining_worker_gets_no_new_tasks(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            worker = fleet.platform.workers['w0']
            worker.is_draining = True
            fleet.platform.publish_entry(worker)
            await trio.sleep(2)
            before = worker.started_count
            await submit(fleet, request=make_request(make_step(8)))
            await fleet.wait_done(JOB)
            assert worker.started_count == before

    run_virtual(run)


def test_long_running_task_restarts_soon_after_worker_crash(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            step = make_step(2, long_running=True, target_ms=50, image='a')
            await submit(fleet, request=make_request(step, lasts=True))
            await fleet.wait_running(2)
            victim = next(
                worker
                for worker in fleet.platform.workers.values()
                if worker.runs
            )
            victim.crash()
            await trio.sleep(8)
            assert fleet.count_running() == 2
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('seed', range(6))
def test_jobs_are_done_once_despite_random_faults(run_virtual, seed):
    async def run():
        async with open_fleet(instances=3, workers=4) as fleet:
            await disturb(fleet, seed)
            for worker in fleet.platform.workers.values():
                worker.unreachable_clients.clear()
            for number in range(12):
                await fleet.wait_done(f'{number:016x}', limit_s=90)
            fleet.check()

    run_virtual(run, seed=seed)


async def submit_with_retries(fleet, job_id, queue, request):
    """Submit a job as callers do, and retry while the answer is lost."""
    while True:
        try:
            return await submit(fleet, job_id, queue, request)
        except AnswerLostError:
            await trio.sleep(0.1)


async def disturb(fleet, seed):
    source = fleet.platform.store.source
    source.seed(seed)
    for number in range(12):
        steps = make_step(3), make_step(2, after=(0,))
        queue = source.choice((QUEUE, LOW_PRIORITY_QUEUE))
        request = make_request(*steps, run_ms=source.randrange(200, 4000))
        await submit_with_retries(fleet, f'{number:016x}', queue, request)
        kind = source.choice(('kill', 'cut', 'lost', 'late', 'none'))
        worker = source.choice(list(fleet.platform.workers.values()))
        if kind == 'kill' and len(fleet.instances) > 1:
            name = fleet.get_owner() or next(iter(fleet.instances))
            fleet.kill(name)
            await trio.sleep(0.7)
            await fleet.start(name)
        elif kind == 'cut':
            worker.unreachable_clients = {'*'}
        elif kind == 'lost':
            share = source.choice((0, 0.3))
            fleet.platform.store.trouble.lost_answer_share = share
        elif kind == 'late':
            worker.start_order_delay_s = source.choice((0, 3.0))
        await trio.sleep(source.random() * 2)
        worker.unreachable_clients = set()
    fleet.platform.store.trouble.lost_answer_share = 0
    for worker in fleet.platform.workers.values():
        worker.start_order_delay_s = 0


def iter_started(fleet, job_id=JOB):
    for event in fleet.platform.history:
        if event.kind == 'started' and event.key.job_id == job_id:
            yield event


def test_gang_starts_as_one_run_or_waits(run_virtual):
    async def run():
        async with open_fleet(workers=2) as fleet:
            blocker = make_request(make_step(2, 12_000), run_ms=2000)
            await submit(fleet, OTHER_JOB, request=blocker)
            await fleet.wait_running(2)
            gang = make_step(4, 4000, gang=True)
            await submit(fleet, request=make_request(gang))
            await trio.sleep(1)
            assert not list(iter_started(fleet))
            await fleet.wait_done(JOB)
            members = list(iter_started(fleet))
            assert len(members) == 4
            assert len({event.run for event in members}) == 1
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('same_rack', [False, True])
def test_gang_without_room_keeps_its_run_number(run_virtual, same_rack):
    """Guards against run numbers that reach those of the next epoch."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            gang = make_step(4, 12_000, gang=True, same_rack=same_rack)
            await submit(fleet, request=make_request(gang))
            await trio.sleep(30)
            assert not list(iter_started(fleet))
            for name in ('w8', 'w9'):
                fleet.platform.add_worker(name, labels=('a', 'r1'))
            await fleet.wait_done(JOB)
            epoch = fleet.instances[fleet.get_owner()].state.ownership.epoch
            first_run = epoch.epoch * RUNS_PER_EPOCH + 1
            runs = {event.run for event in iter_started(fleet)}
            assert runs == {first_run}
            fleet.check()

    run_virtual(run)


def test_gang_starts_in_same_rack(run_virtual):
    async def run():
        async with open_fleet(workers=0) as fleet:
            for number in range(4):
                labels = ('a', f'r{number % 2}')
                fleet.platform.add_worker(f'w{number}', labels=labels)
            await trio.sleep(1)
            gang = make_step(4, 7000, gang=True, same_rack=True)
            await submit(fleet, request=make_request(gang))
            await fleet.wait_done(JOB)
            workers = {event.worker_id for event in iter_started(fleet)}
            assert workers in ({'w0', 'w2'}, {'w1', 'w3'})

    run_virtual(run)


def test_gang_fails_as_a_whole(run_virtual):
    async def run():
        async with open_fleet(workers=3) as fleet:
            gang = make_step(3, gang=True)
            request = make_request(gang, fails_always=True)
            await submit(fleet, request=request)
            await fleet.wait_state(JOB, JobState.FAILED)
            runs = {event.run for event in iter_started(fleet)}
            assert len(runs) == QUEUE.max_attempts

    run_virtual(run)


def test_advised_queue_starts_only_with_ticket(run_virtual):
    async def run():
        async with open_fleet(workers=4) as fleet:
            fleet.advisor.allowed = {'w2'}
            queue = attrs.evolve(QUEUE, advised=True)
            await submit(fleet, queue=queue, request=make_request(make_step(3)))
            await fleet.wait_done(JOB)
            workers = {event.worker_id for event in iter_started(fleet)}
            assert workers == {'w2'}
            assert fleet.advisor.question_count == 1

    run_virtual(run)


def test_scheduled_job_is_never_early(run_virtual):
    async def run():
        async with open_fleet() as fleet:
            shell = fleet.instances['i0'].shell
            first_ms = shell.wall() + 2000
            request = attrs.evolve(
                make_request(run_ms=100), schedule=Schedule(first_ms, 1500, 3)
            )
            await submit(fleet, request=request)
            await fleet.wait_done(JOB)
            offset_ms = shell.wall() - shell.clock()
            late_ms = [
                event.at_ms + offset_ms - first_ms - 1500 * event.key.occurrence
                for event in iter_started(fleet)
            ]
            assert len(late_ms) == 3
            assert min(late_ms) >= 0
            assert max(late_ms) < 200

    run_virtual(run)


def test_urgent_task_preempts_as_few_tasks_as_needed(run_virtual):
    async def run():
        async with open_fleet(workers=1) as fleet:
            patient = make_request(
                make_step(15, 1000, checkpointing=True), run_ms=20_000
            )
            await submit(fleet, OTHER_JOB, LOW_PRIORITY_QUEUE, patient)
            await fleet.wait_running(15)
            await submit(
                fleet, request=make_request(make_step(1, 4000), run_ms=300)
            )
            await fleet.wait_done(JOB, limit_s=3)
            stopped = [
                event
                for event in fleet.platform.history
                if event.outcome is RunOutcome.STOPPED
            ]
            assert {event.key.job_id for event in stopped} == {OTHER_JOB}
            assert len({event.key for event in stopped}) == 3
            fleet.check()

    run_virtual(run)


def test_worker_without_load_reports_keeps_tasks(run_virtual):
    async def run():
        async with open_fleet(workers=1) as fleet:
            fleet.platform.workers['w0'].reports_load = False
            await submit(fleet, request=make_request(run_ms=6000))
            await fleet.wait_done(JOB)
            assert len(list(iter_started(fleet))) == 1

    run_virtual(run)


@pytest.mark.parametrize('call', ['get_state', 'cancel'])
def test_unanswered_call_that_only_reads_is_not_in_doubt(run_virtual, call):
    async def run():
        async with open_fleet() as fleet:
            intake = fleet.instances['i0'].intake
            fleet.platform.store.trouble.silenced.add('i0')
            arguments = (QUEUE, CALL_DEADLINE_MS) if call == 'cancel' else ()
            with pytest.raises(UnavailableError) as caught:
                await getattr(intake, call)(JOB, *arguments)
            assert not isinstance(caught.value, AnswerLostError)

    run_virtual(run)
