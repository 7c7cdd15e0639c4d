"""Waiting jobs move out of units that are evacuated, and run exactly once."""

import collections
import contextlib
import functools

import pytest
import trio
from test_evacuation import NOTICE_S, open_domains, submit_many
from test_invalid_reports import (
    BATCH,
    deliver_report,
    list_stopped,
    make_name,
    make_owner,
    read_report,
)
from test_invalid_reports import JOB as REPORTED_JOB
from test_scheduler_decisions import make_job, make_state

from scheduler_fleet import (
    HIGH_PRIORITY_QUEUE,
    LIMIT_MS,
    LOW_PRIORITY_QUEUE,
    QUEUE,
    make_long_running_request,
    make_request,
    make_step,
)
from tulippin.codec_json import encode
from tulippin.jobs import (
    _job_moves,
    _lifecycle,
    _ready_queues,
    _row_effects,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import RemoveJobs
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import ProgressRecord
from tulippin.jobs.state import (
    Job,
    SchedulerConfig,
    SchedulerState,
    Task,
    TransferredTask,
)
from tulippin.jobs.types import JobState, Step, TaskKey
from tulippin.types import Resources

JOB = f'{1:016x}'


@contextlib.asynccontextmanager
async def open_homed(*evacuated, **options):
    """Open a fleet whose jobs all get the same home, in hall0.

    The domains that are given are evacuated, and all instances know it.
    """
    async with open_domains(**options) as fleet:
        layout = next(iter(fleet.instances.values())).shell.layout
        home = min(
            int(number)
            for number, domain in layout.failure_domains.items()
            if domain == 'hall0'
        )
        for instance in fleet.instances.values():
            instance.shell.choose_unit = lambda request, service: home
        for domain in evacuated:
            fleet.platform.evacuate(domain)
        if evacuated:
            await trio.sleep(NOTICE_S)
        yield fleet


def count_done(fleet, job_id):
    """Return how often each task of a job ended as done."""
    return collections.Counter(
        event.key
        for event in fleet.platform.history
        if event.kind == 'ended'
        and event.outcome is not None
        and event.outcome.value == 'done'
        and event.key.job_id == job_id
    )


async def submit_two_steps(fleet, job_id=JOB, **plan):
    request = make_request(make_step(4), make_step(3, after=(0,)), **plan)
    await fleet.submit(job_id, request)


def test_silent_worker_without_a_run_of_a_job_does_not_keep_it(run_virtual):
    """Guards against jobs that wait in an evacuated unit beside idle ones."""

    async def run():
        async with open_homed() as fleet:
            await submit_two_steps(fleet, run_ms=1000)
            await fleet.wait_running(4)
            used = {event.worker_id for event in fleet.platform.history}
            for worker in fleet.platform.workers.values():
                is_idle = worker.worker_id not in used
                if is_idle and worker.failure_domain == 'hall0':
                    worker.unreachable_clients = {'*'}
            for instance in fleet.instances.values():
                for unit in instance.shell.units.values():
                    for worker in unit.state.workers.values():
                        worker.failed_count += worker.worker_id not in used
            fleet.platform.evacuate('hall0')
            await fleet.wait_done(JOB, limit_s=4)

    run_virtual(run)


def test_job_goes_on_in_another_domain_where_it_was_left(run_virtual):
    async def run():
        async with open_homed() as fleet:
            await submit_two_steps(fleet, run_ms=1000)
            await fleet.wait_running(4)
            fleet.platform.evacuate('hall0')
            # The runs there end first.
            await fleet.wait_done(JOB, limit_s=4)
            done = count_done(fleet, JOB)
            assert sorted(done.values()) == [1] * 7
            fleet.check()

    run_virtual(run)


def test_without_moves_the_job_would_wait(run_virtual, monkeypatch):
    monkeypatch.setattr(_job_moves, '_choose_unit', lambda job, state: None)

    async def run():
        async with open_homed() as fleet:
            await submit_two_steps(fleet, run_ms=1000)
            await fleet.wait_running(4)
            fleet.platform.evacuate('hall0')
            await trio.sleep(10)
            assert len(count_done(fleet, JOB)) == 4

    run_virtual(run)


def test_state_of_a_moved_job_never_goes_back(run_virtual):
    """Guards against a begun job that is shown as pending by any instance."""

    async def run():
        async with open_homed() as fleet:
            await submit_two_steps(fleet, run_ms=1500)
            await fleet.wait_state(JOB, JobState.RUNNING)
            fleet.platform.evacuate('hall0')
            seen = set()
            with trio.fail_after(6):
                while seen != {JobState.COMPLETED}:
                    seen = {
                        await instance.intake.get_state(JOB)
                        for instance in fleet.instances.values()
                    }
                    assert seen <= {JobState.RUNNING, JobState.COMPLETED}
                    await trio.sleep(0.02)
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('delay_s', [0.0, 0.05, 0.1, 0.15, 0.2, 0.3, 1.0])
def test_cancel_during_a_move_ends_the_job(run_virtual, delay_s):
    async def run():
        async with open_homed('hall0') as fleet:
            await submit_two_steps(fleet, run_ms=3000)
            await trio.sleep(delay_s)
            intake = next(iter(fleet.instances.values())).intake
            assert await intake.cancel(JOB, QUEUE, LIMIT_MS)
            await trio.sleep(1.5)
            assert not fleet.count_running()
            for instance in fleet.instances.values():
                state = await instance.intake.get_state(JOB)
                assert state is JobState.CANCELLED
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('seed', range(4))
def test_jobs_run_once_while_their_owners_are_lost(run_virtual, seed):
    async def run():
        async with open_homed(instances=6) as fleet:
            source = fleet.platform.store.source
            source.seed(seed)
            trouble = fleet.platform.store.trouble
            trouble.lost_answer_share = 0.2
            job_ids = await submit_many(fleet, 20, run_ms=800)
            await trio.sleep(source.random())
            fleet.platform.evacuate('hall0')
            for round_number in range(4):
                await trio.sleep(source.random())
                name = source.choice(sorted(fleet.instances))
                fleet.kill(name)
                await fleet.start(f'n{round_number}')
            trouble.lost_answer_share = 0.0
            for job_id in job_ids:
                await fleet.wait_done(job_id, limit_s=40)
            fleet.check()

    run_virtual(run, seed=seed)


def test_job_moves_on_if_its_next_domain_is_evacuated_too(run_virtual):
    async def run():
        async with open_homed() as fleet:
            job_ids = await submit_many(fleet, 20, run_ms=1200)
            for domain in ('hall0', 'hall1'):
                fleet.platform.evacuate(domain)
                await trio.sleep(0.7)
            for job_id in job_ids:
                await fleet.wait_done(job_id)
            fleet.check()

    run_virtual(run)


def test_job_that_moved_everywhere_waits_for_an_open_unit(run_virtual):

    async def run():
        async with open_homed('hall0', 'hall1', count=2) as fleet:
            await submit_two_steps(fleet)
            await trio.sleep(2)
            fleet.platform.end_evacuation('hall1')
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def evacuate_in_turn(fleet, previous, following):
    """Evacuate another domain, and no longer the previous one."""
    fleet.platform.evacuate(following)
    fleet.platform.end_evacuation(previous)


async def submit_chain(fleet, job_id=JOB):
    """Submit a job of three steps, each of which outlasts a change."""
    steps = make_step(4), make_step(3, after=(0,)), make_step(after=(1,))
    await fleet.submit(job_id, make_request(*steps, run_ms=1500))


# Guards against jobs that never run again, as only a unit that they have left
# could run them.
@pytest.mark.parametrize('moves', [2, 3])
def test_job_returns_to_a_unit_that_it_left(run_virtual, moves):
    async def run():
        async with open_homed('hall0', count=2) as fleet:
            await submit_chain(fleet)
            domains = ['hall0', 'hall1'] * 2
            for number in range(moves - 1):
                await trio.sleep(1 + number)
                evacuate_in_turn(fleet, *domains[number : number + 2])
            await fleet.wait_done(JOB)
            assert count_moves(fleet) == moves
            assert sorted(count_done(fleet, JOB).values()) == [1] * 8
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('seed', range(6))
def test_jobs_that_return_run_once_while_owners_are_lost(run_virtual, seed):
    async def run():
        async with open_homed('hall0', count=2, instances=6) as fleet:
            source = fleet.platform.store.source
            source.seed(seed)
            trouble = fleet.platform.store.trouble
            trouble.lost_answer_share = 0.2
            job_ids = await submit_many(fleet, 12, run_ms=800)
            domains = ['hall0', 'hall1'] * 3
            for number in range(4):
                await trio.sleep(1.5 * source.random())
                evacuate_in_turn(fleet, *domains[number : number + 2])
                name = source.choice(sorted(fleet.instances))
                fleet.kill(name)
                await fleet.start(f'n{number}')
            trouble.lost_answer_share = 0.0
            for job_id in job_ids:
                await fleet.wait_done(job_id, limit_s=40)
            fleet.check()

    run_virtual(run, seed=seed)


# Guards against tasks that run again, as progress counts as that of an earlier
# stay once further tasks have been transferred to the unit.
@pytest.mark.parametrize(
    ('options', 'is_applied'),
    [({'is_transferred': True}, True), ({'left_units': (0, 1)}, False)],
    ids=['transferred', 'returned'],
)
def test_only_progress_of_an_earlier_stay_is_not_applied(options, is_applied):
    context = Context(SchedulerState(SchedulerConfig('i', 'i:1')))
    request = make_request(make_step(2))
    job = Job(JOB, QUEUE, request, 5, remaining={(0, 0): 2}, **options)
    progress = ProgressRecord(JobState.RUNNING, {'0.0': '1'})
    row = StoredRow('progress', 'u0', JOB, encode(progress), 3)
    _lifecycle.restore(job, row, context)
    assert job.remaining[0, 0] == 2 - is_applied
    assert job.progress_version == 3


# Guards against the removal of a job that comes back while its earlier rows
# are removed.
def test_job_that_returns_late_is_kept(run_virtual):
    async def run():
        retention_ms = 2000
        async with open_homed(
            'hall0', count=2, finished_retention_ms=retention_ms
        ) as fleet:
            await submit_chain(fleet)
            await trio.sleep(retention_ms / 1000)
            evacuate_in_turn(fleet, 'hall0', 'hall1')
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


# Guards against a job that is removed as it comes back.
def test_rows_of_a_job_that_has_returned_are_not_removed(run_virtual):
    async def run():
        async with open_homed(count=2) as fleet:
            await fleet.submit(JOB, make_request(run_ms=5000))
            await fleet.wait_running()
            rows = fleet.platform.store.rows
            (place,) = [
                place
                for place in rows
                if place[2] == JOB and place[0].startswith('jobs')
            ]
            (unit,) = [
                unit
                for instance in fleet.instances.values()
                for unit in instance.shell.units.values()
                if unit.is_owner and JOB in unit.state.jobs
            ]
            job = unit.state.jobs[JOB]
            effect = RemoveJobs(
                (JOB,),
                unit.state.ownership.epoch_version,
                frozenset((JOB,)),
                {JOB: job.row_version - 1},
            )
            await _row_effects._run_remove(effect, unit)
            assert rows[place].value is not None

    run_virtual(run)


def test_failed_runs_count_over_a_move(run_virtual):
    async def run():
        async with open_homed() as fleet:
            request = make_request(make_step(), run_ms=400, fails_always=True)
            await fleet.submit(JOB, request)
            await fleet.wait_running(1)
            fleet.platform.evacuate('hall0')
            await fleet.wait_state(JOB, JobState.FAILED)
            assert fleet.count_starts(JOB) == QUEUE.max_attempts
            fleet.check()

    run_virtual(run)


def test_moved_job_is_counted_as_waiting_once(run_virtual):
    async def run():
        async with open_homed('hall0') as fleet:
            step = make_step(1, cpu=16000)
            for number in range(72):
                await fleet.submit(
                    f'{number:016x}',
                    make_request(step, run_ms=60_000),
                    LOW_PRIORITY_QUEUE,
                )
            await trio.sleep(4)
            started = {
                event.key.job_id
                for event in fleet.platform.history
                if event.kind == 'started'
            }
            waiting = {
                instance.intake.count_waiting(LOW_PRIORITY_QUEUE)
                for instance in fleet.instances.values()
            }
            assert waiting == {72 - len(started)}

    run_virtual(run)


def test_rows_of_a_moved_job_are_removed_by_both_units(run_virtual):
    async def run():
        async with open_homed('hall0', finished_retention_ms=2000) as fleet:
            await submit_two_steps(fleet)
            await fleet.wait_done(JOB)
            await trio.sleep(8)
            keys = {key for _, _, key in fleet.platform.store.rows}
            assert not [key for key in keys if key.startswith(JOB)]

    run_virtual(run)


def test_write_to_the_next_home_is_repeated_after_its_owner_is_lost(
    run_virtual, monkeypatch
):
    """Guards against a job that no unit is the home of."""
    make_move = _row_effects._make_move
    refused = []

    async def fail_first(effect, shell):
        if len(refused) < 1:
            refused.append(shell.config.session_id)
            await trio.sleep_forever()
        return await make_move(effect, shell)

    monkeypatch.setattr(_row_effects, '_make_move', fail_first)

    async def run():
        async with open_homed('hall0') as fleet:
            await submit_two_steps(fleet)
            with trio.fail_after(5):
                while not refused:
                    await trio.sleep(0.05)
            fleet.kill(refused[0].partition(':')[0])
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


# Guards against tasks that run again after they were done in another unit, as
# an owner that was cut off writes its move once the job has come back.
def test_late_move_does_not_replace_further_progress(run_virtual, monkeypatch):
    make_move = _row_effects._make_move
    late = []

    async def make_first_twice(effect, shell):
        if not late:
            late.append(functools.partial(make_move, effect, shell))
        return await make_move(effect, shell)

    monkeypatch.setattr(_row_effects, '_make_move', make_first_twice)

    async def run():
        async with open_homed('hall0', count=2) as fleet:
            await submit_chain(fleet)
            await trio.sleep(1)
            evacuate_in_turn(fleet, 'hall0', 'hall1')
            with trio.fail_after(10):
                while count_moves(fleet) < 2:
                    await trio.sleep(0.05)
            await trio.sleep(0.5)
            assert count_done(fleet, JOB)
            assert await late[0]() is None
            await fleet.wait_done(JOB)
            assert sorted(count_done(fleet, JOB).values()) == [1] * 8
            fleet.check()

    run_virtual(run)


def test_run_of_a_moved_job_is_stopped():
    """Guards against a second run beside the one in the job's next home."""
    state = make_owner()
    state.jobs[REPORTED_JOB].moved_to = 1
    name = make_name(step=BATCH)
    effects = deliver_report(state, 'w0', read_report([(name, 1, '', 10, 900)]))
    assert [key.format() for key in list_stopped(effects)] == [name]


# -- late jobs beside idle processors in other units ---------------------------

LATE_JOBS = 40
LATE_RUN_MS = 3000
LATE_SIZE = Resources(1000, 4000)


async def submit_to_one_unit(fleet):
    """Submit more opportunistic work than one unit has memory for.

    Returns the time of each job's submit.
    """
    step = Step(16, LATE_SIZE, opportunistic=True, image='batch')
    request = make_request(step, run_ms=LATE_RUN_MS, cpu_millicores=1000)
    submitted_s = {}
    for number in range(LATE_JOBS):
        job_id = f'{number:016x}'
        await fleet.submit(job_id, request, LOW_PRIORITY_QUEUE)
        submitted_s[job_id] = trio.current_time()
        await trio.sleep(0.05)
    return submitted_s


def play_late(run_virtual):
    """Return the share of jobs that callers get in time."""
    shares = []

    async def run():
        async with open_homed() as fleet:
            submitted_s = await submit_to_one_unit(fleet)
            for job_id in submitted_s:
                await fleet.wait_done(job_id, limit_s=60)
            ended_s = {
                event.key.job_id: event.at_ms / 1000
                for event in fleet.platform.history
                if event.kind == 'ended'
            }
            objective_s = LOW_PRIORITY_QUEUE.stretch * LATE_RUN_MS / 1000
            objective_s += LOW_PRIORITY_QUEUE.target_latency_ms / 1000
            in_time = [
                ended_s[job_id] - at_s <= objective_s
                for job_id, at_s in submitted_s.items()
            ]
            shares.append(sum(in_time) / len(in_time))
            fleet.check()

    run_virtual(run)
    return shares[0]


def test_late_jobs_move_to_units_with_idle_processors(run_virtual, monkeypatch):
    """Most jobs are in time, and most are not without moves."""
    share = play_late(run_virtual)
    monkeypatch.setattr(_job_moves, '_choose_less_waiting', lambda *_: None)
    share_without = play_late(run_virtual)
    assert share_without < 0.5 < share


def test_late_job_stays_where_all_units_are_as_busy(run_virtual):
    async def run():
        async with open_domains(2) as fleet:
            step = Step(16, LATE_SIZE, opportunistic=True, image='batch')
            request = make_request(step, run_ms=2000, cpu_millicores=1000)
            for number in range(120):
                await fleet.submit(f'{number:016x}', request)
            await trio.sleep(3)
            moved = sum(
                unit.state.counters.get('jobs_moved', 0)
                for instance in fleet.instances.values()
                for unit in instance.shell.units.values()
            )
            assert moved <= 12

    run_virtual(run)


# -- units that lost their workers ---------------------------------------------

# The leases of lost workers, their time on the list, and a move.
MAX_STRANDED_S = 9
MAX_TAKEOVER_S = 3


async def lose_workers(fleet, domain='hall0', *, listed_s=3.0):
    """Lose all workers of a domain for good; their entries lapse later."""
    fleet.platform.restart_delay_ms = None
    lost = [
        worker
        for worker in fleet.platform.workers.values()
        if worker.failure_domain == domain
    ]
    for worker in lost:
        worker.crash()
    await trio.sleep(listed_s)
    for worker in lost:
        fleet.platform.remove(worker.worker_id)


def count_moves(fleet):
    return sum(
        unit.state.counters.get('jobs_moved', 0)
        for instance in fleet.instances.values()
        for unit in instance.shell.units.values()
    )


@pytest.mark.parametrize(
    'options',
    [{}, {'opportunistic': True}, {'gang': True}],
    ids=['short', 'opportunistic', 'gang'],
)
def test_job_goes_on_elsewhere_once_its_unit_lost_its_workers(
    run_virtual, options
):
    """Guards against jobs that wait for good in a unit without workers."""

    async def run():
        async with open_homed() as fleet:
            steps = make_step(4, **options), make_step(3, after=(0,), **options)
            await fleet.submit(JOB, make_request(*steps, run_ms=2000))
            await fleet.wait_running(4)
            await lose_workers(fleet)
            # Handed in after the loss.
            later = f'{2:016x}'
            await fleet.submit(later, make_request(*steps, run_ms=2000))
            for job_id in (JOB, later):
                await fleet.wait_done(job_id, limit_s=MAX_STRANDED_S)
                assert sorted(count_done(fleet, job_id).values()) == [1] * 7
            fleet.check()

    run_virtual(run)


def test_long_running_tasks_go_on_elsewhere_once_their_unit_lost_its_workers(
    run_virtual,
):
    async def run():
        async with open_homed() as fleet:
            await fleet.submit(JOB, make_long_running_request(4))
            await fleet.wait_running(4)
            await lose_workers(fleet)
            await fleet.wait_running(4, limit_s=MAX_STRANDED_S)
            fleet.check()

    run_virtual(run)


def test_long_running_gang_goes_on_elsewhere_once_its_unit_lost_its_workers(
    run_virtual,
):
    """Guards against gangs that wait for good in a unit without workers."""

    async def run():
        async with open_homed(instances=6) as fleet:
            await fleet.submit(JOB, make_long_running_request(4, gang=True))
            await fleet.wait_running(4)
            await lose_workers(fleet)
            await fleet.wait_running(4, limit_s=MAX_STRANDED_S)
            (owner,) = (
                name
                for name, instance in fleet.instances.items()
                for unit in instance.shell.units.values()
                if unit.is_owner
                and JOB in unit.state.jobs
                and unit.state.jobs[JOB].moved_to is None
            )
            fleet.kill(owner)
            await trio.sleep(20)
            assert fleet.count_running() == 4
            intake = next(iter(fleet.instances.values())).intake
            assert await intake.cancel(JOB, QUEUE, LIMIT_MS)
            await trio.sleep(2)
            assert not fleet.count_running()
            fleet.check()

    run_virtual(run)


def test_urgent_jobs_leave_a_unit_without_workers_first(run_virtual):
    """Guards against urgent jobs that wait behind a long queue of others."""

    async def run():
        async with open_homed() as fleet:
            await lose_workers(fleet, listed_s=0.0)
            # They are known to be unlisted.
            await trio.sleep(1)
            urgent = [f'{100 + number:016x}' for number in range(3)]
            others = [f'{number:016x}' for number in range(60)]
            for job_id in others:
                await fleet.submit(job_id, queue=LOW_PRIORITY_QUEUE)
            for job_id in urgent:
                await fleet.submit(job_id, queue=HIGH_PRIORITY_QUEUE)
            for job_id in (*urgent, *others):
                await fleet.wait_done(job_id)
            started = [
                event.key.job_id
                for event in fleet.platform.history
                if event.kind == 'started'
            ]
            assert max(map(started.index, urgent)) < 15
            fleet.check()

    run_virtual(run)


def test_job_stays_while_the_workers_of_its_unit_are_away_for_a_moment(
    run_virtual,
):
    async def run():
        async with open_homed() as fleet:
            away = [
                worker
                for worker in fleet.platform.workers.values()
                if worker.failure_domain == 'hall0'
            ]
            for worker in away:
                worker.unreachable_clients = {'*'}
            await submit_two_steps(fleet, run_ms=500)
            await trio.sleep(1.5)
            for worker in away:
                worker.unreachable_clients = set()
            await fleet.wait_done(JOB)
            assert not count_moves(fleet)
            fleet.check()

    run_virtual(run)


def test_job_stays_while_a_silent_worker_may_hold_an_end_of_it(run_virtual):
    """Guards against a second run of a task that was done unseen."""

    async def run():
        async with open_homed() as fleet:
            await submit_two_steps(fleet, run_ms=1000)
            await fleet.wait_running(4)
            away = [
                worker
                for worker in fleet.platform.workers.values()
                if worker.failure_domain == 'hall0'
            ]
            for worker in away:
                worker.unreachable_clients = {'*'}
            await trio.sleep(12)
            assert len(count_done(fleet, JOB)) == 4
            assert not count_moves(fleet)
            for worker in away:
                worker.unreachable_clients = set()
            await fleet.wait_done(JOB)
            fleet.check()

    run_virtual(run)


def test_work_comes_to_a_unit_again_once_it_has_workers(run_virtual):
    async def run():
        async with open_domains() as fleet:
            rack = next(
                label
                for label in fleet.platform.workers['w0'].labels
                if label.startswith('r')
            )
            request = make_request(make_step(preferred_rack=rack))

            async def find_domain(number):
                job_id = f'{number:016x}'
                await fleet.submit(job_id, request)
                await fleet.wait_done(job_id, limit_s=3)
                (event,) = [
                    event
                    for event in fleet.platform.history
                    if event.kind == 'started' and event.key.job_id == job_id
                ]
                worker = fleet.platform.workers[event.worker_id]
                return worker.failure_domain

            assert await find_domain(1) == 'hall0'
            await lose_workers(fleet)
            await trio.sleep(3)
            assert await find_domain(2) != 'hall0'
            for name, worker in list(fleet.platform.workers.items()):
                if not worker.is_up:
                    fleet.platform.restart(name)
            await trio.sleep(6)
            assert await find_domain(3) == 'hall0'
            fleet.check()

    run_virtual(run)


def test_jobs_wait_for_lost_workers_no_longer_than_leases_after_a_takeover(
    run_virtual,
):
    """Guards against owners that wait for workers that are lost for good."""

    async def run():
        async with open_homed() as fleet:
            await submit_two_steps(fleet, run_ms=500)
            await fleet.wait_running(4)
            owners = {
                name
                for name, instance in fleet.instances.items()
                for unit in instance.shell.units.values()
                if unit.is_owner and JOB in unit.state.jobs
            }
            fleet.nursery.start_soon(lose_workers, fleet)
            for name in owners:
                fleet.kill(name)
            await fleet.wait_done(JOB, limit_s=MAX_TAKEOVER_S + MAX_STRANDED_S)
            assert sorted(count_done(fleet, JOB).values()) == [1] * 7
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('seed', range(4))
def test_jobs_run_once_while_workers_and_owners_are_lost(run_virtual, seed):
    async def run():
        async with open_homed(instances=6) as fleet:
            source = fleet.platform.store.source
            source.seed(seed)
            trouble = fleet.platform.store.trouble
            trouble.lost_answer_share = 0.2
            job_ids = await submit_many(fleet, 20, run_ms=800)
            await trio.sleep(source.random())
            fleet.nursery.start_soon(lose_workers, fleet)
            for round_number in range(4):
                await trio.sleep(2 * source.random())
                name = source.choice(sorted(fleet.instances))
                fleet.kill(name)
                await fleet.start(f'n{round_number}')
            trouble.lost_answer_share = 0.0
            for job_id in job_ids:
                await fleet.wait_done(job_id, limit_s=40)
            fleet.check()

    run_virtual(run, seed=seed)


# -- jobs without a place ------------------------------------------------------

LASTING_JOB = f'{2:016x}'
WORKERS_OF_A_UNIT = 24


async def fill_home(fleet):
    """Have a long-running gang take most of each worker of the home unit."""
    step = make_step(
        WORKERS_OF_A_UNIT,
        cpu=12_000,
        long_running=True,
        gang=True,
        max_per_worker=1,
    )
    request = make_request(step, lasts=True)
    await fleet.submit(LASTING_JOB, request, LOW_PRIORITY_QUEUE)
    await fleet.wait_running(WORKERS_OF_A_UNIT)


LARGE_STEPS = {
    'first step': (make_step(3, cpu=8000),),
    'second step': (make_step(4), make_step(3, cpu=8000, after=(0,))),
    'gang': (make_step(3, cpu=8000, gang=True),),
}


# Guards against jobs that wait for good in a unit that long-running work has
# filled, beside idle units.
@pytest.mark.parametrize('name', sorted(LARGE_STEPS))
@pytest.mark.parametrize('queue', [HIGH_PRIORITY_QUEUE, LOW_PRIORITY_QUEUE])
def test_job_leaves_a_unit_without_a_place_for_it(run_virtual, name, queue):
    async def run():
        async with open_homed(count=2) as fleet:
            await fill_home(fleet)
            request = make_request(*LARGE_STEPS[name], run_ms=300)
            await fleet.submit(JOB, request, queue)
            await fleet.wait_done(JOB, limit_s=5)
            assert set(count_done(fleet, JOB).values()) == {1}
            fleet.check()

    run_virtual(run)


def test_job_stays_where_no_unit_has_a_place_for_it(run_virtual):
    async def run():
        async with open_homed(count=2) as fleet:
            await fill_home(fleet)
            request = make_request(make_step(2, cpu=20_000), run_ms=300)
            await fleet.submit(JOB, request)
            await trio.sleep(5)
            assert not count_moves(fleet)

    run_virtual(run)


@pytest.mark.parametrize(
    ('left_units', 'waited_ms', 'is_listed'),
    [
        ((), 900, False),
        ((), 1000, True),
        ((1,), 1900, False),
        ((1,), 2000, True),
        ((1, 2, 3, 4), 3000, True),
    ],
)
def test_job_that_has_moved_waits_longer_before_the_next_move(
    left_units, waited_ms, is_listed
):
    state = make_state()
    step = Step(1, Resources(20_000, 1000))
    job = make_job(state, JOB, state.now_ms, (step,))
    job.left_units = left_units
    _ready_queues.add(Task(TaskKey(JOB, 0, 0, 0)), step, state)
    state.now_ms += waited_ms
    assert (JOB in _job_moves._list_without_place(state)) is is_listed


@pytest.mark.parametrize('seed', range(4))
def test_jobs_without_a_place_run_once_while_owners_are_lost(run_virtual, seed):
    async def run():
        async with open_homed(count=2, instances=6) as fleet:
            source = fleet.platform.store.source
            source.seed(seed)
            fleet.platform.store.trouble.lost_answer_share = 0.2
            await fill_home(fleet)
            job_ids = [f'{number:016x}' for number in range(10, 30)]
            request = make_request(
                make_step(2), make_step(2, cpu=8000, after=(0,)), run_ms=400
            )
            for job_id in job_ids:
                await fleet.submit(job_id, request)
            for round_number in range(3):
                await trio.sleep(1.5 * source.random())
                fleet.kill(source.choice(sorted(fleet.instances)))
                await fleet.start(f'n{round_number}')
            fleet.platform.store.trouble.lost_answer_share = 0.0
            for job_id in job_ids:
                await fleet.wait_done(job_id, limit_s=40)
            fleet.check()

    run_virtual(run, seed=seed)


# -- jobs with long-running steps ----------------------------------------------


def make_mixed_request(size=8000):
    """Return a job whose long-running task follows short ones."""
    return make_request(
        make_step(2, cpu=size),
        make_step(1, cpu=500, long_running=True, after=(0,)),
        run_ms=300,
    )


# Guards against jobs whose short step waits for good in a unit, as a step of
# them is long-running.
def test_job_with_a_long_running_step_leaves_a_full_unit(run_virtual):
    async def run():
        async with open_homed(count=2) as fleet:
            await fill_home(fleet)
            await fleet.submit(JOB, make_mixed_request())
            with trio.fail_after(5):
                while len(count_done(fleet, JOB)) < 2:
                    await trio.sleep(0.05)
            assert count_moves(fleet) == 1
            fleet.check()

    run_virtual(run)


def test_job_with_a_long_running_step_leaves_an_evacuated_unit(run_virtual):
    async def run():
        async with open_homed('hall0', count=2) as fleet:
            await fleet.submit(JOB, make_mixed_request(1000))
            with trio.fail_after(5):
                while len(count_done(fleet, JOB)) < 2:
                    await trio.sleep(0.05)
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize(
    ('changes', 'is_expected'),
    [
        ({}, True),
        ({'passed': {TaskKey(JOB, 0, 1, 0): TransferredTask(1, 1, 0)}}, False),
        ({'passes': {TaskKey(JOB, 0, 1, 0): 2}}, False),
    ],
    ids=['all here', 'passed on', 'received'],
)
def test_job_with_tasks_in_other_units_stays(changes, is_expected):
    state = make_state()
    steps = make_mixed_request().steps
    job = make_job(state, JOB, state.now_ms, steps)
    for name, value in changes.items():
        setattr(job, name, value)
    _ready_queues.add(Task(TaskKey(JOB, 0, 0, 0)), steps[0], state)
    assert _job_moves._is_movable(job, state) is is_expected


def test_job_of_which_only_long_running_tasks_wait_stays():
    state = make_state()
    steps = make_mixed_request().steps
    job = make_job(state, JOB, state.now_ms, steps)
    _ready_queues.add(Task(TaskKey(JOB, 0, 1, 0)), steps[1], state)
    assert not _job_moves._is_movable(job, state)
