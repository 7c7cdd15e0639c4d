"""Random faults, alone and in pairs, long outages and heavy load."""

import collections

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tulippin.effects import SyncWorker
from tulippin.testing import (
    FaultKind,
    FaultStep,
    Fleet,
    FleetSize,
    Scenario,
    check_history,
    make_scenario,
    run_scenario,
)
from tulippin.types import SERVICE_PRIORITY, JobKind, JobSpec, Resources

START_TIMES = st.integers(2, 25).map(float)
DURATIONS = st.sampled_from([0.5, 3.0, 8.0, 16.0])
STEPS = st.builds(
    FaultStep,
    st.sampled_from(FaultKind),
    START_TIMES,
    DURATIONS,
    st.integers(0, 99),
)

# Seeds of earlier failures, each with its number of faults.
REGRESSIONS = [
    (107, 6),
    (1006, 6),
    (5010, 6),
    (12007, 8),
    (23034, 8),
    (26000, 8),
]


def run_clean(run_virtual, scenario):
    result = run_virtual(run_scenario, scenario, seed=scenario.seed)
    assert result.is_clean, result.render()
    return result


@settings(
    max_examples=12,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(steps=st.lists(STEPS, min_size=1, max_size=2), seed=st.integers(0, 999))
def test_faults_alone_and_two_at_a_time(run_virtual, steps, seed):
    scenario = Scenario(seed, tuple(steps), 32.0, FleetSize(3, 2, 2), 2)
    result = run_clean(run_virtual, scenario)
    assert result.outcomes['answered'] > 50


@pytest.mark.parametrize(('seed', 'step_count'), REGRESSIONS)
def test_regression_seeds(run_virtual, seed, step_count):
    run_clean(run_virtual, make_scenario(seed, step_count))


def make_service(tasks=2):
    return JobSpec(
        'service',
        'team',
        JobKind.SERVICE,
        'alerts',
        tasks,
        Resources(500, 512),
        0,
        SERVICE_PRIORITY,
    )


async def get_job(fleet, job_id):
    reply = await fleet.iter_live()[0].shell.operate_job('show', job_id)
    return reply.job


async def wait_state(fleet, job_id, state, limit_s=300):
    with trio.fail_after(limit_s):
        while (await get_job(fleet, job_id)).state != state:
            await trio.sleep(0.5)


def set_down(fleet, down):
    fleet.table.faults.down = fleet.objects.faults.down = down
    fleet.history.note(
        'disturbed', until_ms=fleet.get_now_ms() + 3_700_000 * down
    )


def test_an_hour_without_the_store(run_virtual):
    async def run():
        size = FleetSize(2, 1, 2)
        async with Fleet(size, seed=2) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service())
            await fleet.submit_surely(
                JobSpec('long', 'team', task_count=4, run_ms=3_500_000)
            )
            await trio.sleep(5)
            starts = len(list(fleet.history.iter_kind('task_began')))
            set_down(fleet, True)
            await trio.sleep(3)
            outcomes = collections.Counter()
            for number in range(120):
                answer = await fleet.request('alerts')
                outcomes[answer.kind.value] += 1
                non_repeatable = await fleet.request('alerts', repeatable=False)
                outcomes[f'once {non_repeatable.code}'] += 1
                code = await fleet.submit(JobSpec(f'new-{number}', 'team'))
                outcomes[f'job {code}'] += 1
                await trio.sleep(30)
            assert outcomes == {
                'answered': 120,
                'once store_unavailable': 120,
                'job store_unavailable': 120,
            }
            began = len(list(fleet.history.iter_kind('task_began')))
            assert began == starts
            set_down(fleet, False)
            await wait_state(fleet, 'long', 'done')
            assert (await fleet.request('alerts', repeatable=False)).status
            took_over = sum(
                process.shell.state.counters['takeovers']
                for process in fleet.iter_live()
            )
            assert not took_over
        assert not check_history(fleet.history)

    run_virtual(run)


def test_ten_thousand_tasks_are_cancelled_at_a_bounded_rate(run_virtual):
    async def run():
        size = FleetSize(3, 3, 2, Resources(64000, 640000))
        stops = collections.Counter()
        async with Fleet(size, seed=2) as fleet:
            assert await fleet.wait_ready()
            spec = JobSpec(
                'wave',
                'team',
                task_count=10000,
                size=Resources(10, 10),
                run_ms=3_600_000,
            )
            await fleet.submit_surely(spec)
            assert await fleet.wait_for(
                lambda: count_running(fleet) == 10000, 200
            )
            for process in fleet.iter_live():
                record_stops(process.shell, stops)
            await fleet.iter_live()[0].shell.operate_job('cancel', 'wave')
            await wait_state(fleet, 'wave', 'cancelled')
            job = await get_job(fleet, 'wave')
            assert job.cancelled_count == 10000
            assert count_running(fleet) == 0
            limit = fleet.iter_live()[0].shell.config.stops_per_sync
            assert 0 < max(stops.values()) <= limit
            assert fleet.table.meter.get_peak_writes() < 50
            assert fleet.table.meter.get_peak_reads() < 1000
        assert not check_history(fleet.history)

    run_virtual(run)


def count_running(fleet):
    return sum(
        run.state.value == 'running'
        for worker in fleet.workers.values()
        for run in worker.runs.values()
    )


def record_stops(shell, stops):
    inner_recorder = shell._recorder

    def record(event, effects):
        inner_recorder(event, effects)
        for effect in effects:
            if isinstance(effect, SyncWorker):
                sync = effect.sync
                stops[sync.worker_id, sync.sequence] += len(sync.stop)

    shell._recorder = record


def test_every_instance_is_replaced_and_nothing_is_lost(run_virtual):
    async def run():
        async with Fleet(FleetSize(4, 3, 2), seed=4) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service(4))
            for number in range(6):
                await fleet.submit_surely(
                    JobSpec(f'job-{number}', 'team', task_count=9, run_ms=9000)
                )
            for number in range(4):
                name = f'instance-{number}'
                if number % 2:
                    await fleet.stop(name)
                else:
                    fleet.crash(name)
                    await trio.sleep(0.1)
                fleet.start_instance(name)
                await trio.sleep(8)
                assert await fleet.wait_ready()
            for number in range(6):
                await wait_state(fleet, f'job-{number}', 'done')
                assert (await get_job(fleet, f'job-{number}')).done_count == 9
        assert not check_history(fleet.history)

    run_virtual(run)


def test_regions_apart_for_minutes(run_virtual):
    async def run():
        size = FleetSize(6, 6, 2, domain_count=6, region_count=2)
        async with Fleet(size, seed=4) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service(12))
            await trio.sleep(5)
            for west in range(3):
                for east in range(3, 6):
                    pair = frozenset((f'domain-{west}', f'domain-{east}'))
                    fleet.network.faults.cut_pairs.add(pair)
            for worker_id in fleet.workers:
                fleet.record_unreachable(worker_id, 180)
            outcomes = collections.Counter()
            for number in range(90):
                answer = await fleet.request(
                    'alerts', repeatable=number % 2 == 0
                )
                outcomes[answer.kind.value] += 1
                await trio.sleep(2)
            # Requests for a range across the cut are refused immediately; all
            # others are answered.
            assert outcomes['answered'] >= 60
            assert outcomes['unknown'] <= 3
            fleet.network.faults.cut_pairs.clear()
            await trio.sleep(15)
            await fleet.submit_surely(
                JobSpec('after', 'team', task_count=20, run_ms=1000)
            )
            await wait_state(fleet, 'after', 'done')
        assert not check_history(fleet.history)

    run_virtual(run)


def test_a_failure_domain_is_lost_with_its_instances(run_virtual):
    async def run():
        size = FleetSize(6, 6, 2, domain_count=6, region_count=2)
        async with Fleet(size, seed=6) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service(6))
            await fleet.submit_surely(
                JobSpec('batch', 'team', task_count=60, run_ms=15000)
            )
            await trio.sleep(6)
            for worker in fleet.workers.values():
                if worker.info.failure_domain == 'domain-2':
                    fleet.record_unreachable(worker.info.worker_id, 600)
                    worker.crash()
                    del fleet.directory.workers[worker.info.worker_id]
            fleet.crash('instance-2')
            await trio.sleep(10)
            fleet.directory.instances.discard('instance-2')
            fleet.directory.publish()
            assert await fleet.wait_ready()
            await wait_state(fleet, 'batch', 'done', 90)
            answer = await fleet.request('alerts', repeatable=False)
            assert answer.status == 200
        assert not check_history(fleet.history)

    run_virtual(run)


def test_a_store_that_flaps(run_virtual):
    async def run():
        async with Fleet(FleetSize(3, 2, 2), seed=6) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service())
            await fleet.submit_surely(
                JobSpec('batch', 'team', task_count=40, run_ms=9000)
            )
            await trio.sleep(3)
            outcomes = collections.Counter()
            for number in range(60):
                set_down(fleet, number % 2 == 0)
                fleet.table.faults.lost_answer_share = 0.2
                answer = await fleet.request(
                    'alerts', repeatable=number % 4 < 2
                )
                outcomes[answer.kind.value] += 1
                await trio.sleep(1.1)
            set_down(fleet, False)
            fleet.table.faults.lost_answer_share = 0.0
            await wait_state(fleet, 'batch', 'done')
            assert outcomes['answered'] >= 30
            assert set(outcomes) <= {'answered', 'not_run'}
        assert not check_history(fleet.history)

    run_virtual(run)


def test_units_move_without_a_gap_in_service(run_virtual):
    """All requests are answered while instances join, leave and return."""

    async def run():
        outcomes = collections.Counter()
        async with Fleet(FleetSize(3, 4, 2), seed=4) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service(8))
            await trio.sleep(4)

            async def call(number):
                process = fleet.rng.choice(fleet.get_ready_processes())
                answer = await fleet.request(
                    'alerts', repeatable=number % 3 != 0, process=process
                )
                outcomes[answer.kind.value] += 1

            async def move():
                await trio.sleep(3)
                fleet.start_instance('instance-3')
                await trio.sleep(8)
                await fleet.stop('instance-0')
                await trio.sleep(3)
                fleet.start_instance('instance-0')

            async with trio.open_nursery() as nursery:
                nursery.start_soon(move)
                for number in range(2500):
                    nursery.start_soon(call, number)
                    await trio.sleep(0.01)
            moved = sum(
                process.shell.state.counters['units_handed_over']
                for process in fleet.iter_live()
            )
            assert moved > 2
        assert outcomes == {'answered': 2500}
        assert not check_history(fleet.history)

    run_virtual(run)


def test_table_traffic_of_nine_instances_keeps_its_budget(run_virtual):
    """Table traffic depends on the number of instances only.

    Neither workers nor tasks add rows to it.
    """

    async def run():
        size = FleetSize(9, 9, 8, Resources(64000, 256000), domain_count=6)
        async with Fleet(size, seed=2) as fleet:
            assert await fleet.wait_ready()
            await fleet.submit_surely(make_service(9))
            await trio.sleep(5)
            for second in range(12):
                await fleet.submit_surely(
                    JobSpec(
                        f'job-{second}',
                        'team',
                        task_count=60,
                        size=Resources(500, 500),
                        run_ms=1500,
                    )
                )
                await fleet.request('alerts', repeatable=False)
                if second == 4:
                    fleet.crash('instance-3')
                await trio.sleep(1)
            await wait_state(fleet, 'job-11', 'done')
            meter = fleet.table.meter
            assert 0 < meter.get_peak_writes() < 50
            assert 0 < meter.get_peak_reads() < 1000
        assert not check_history(fleet.history)

    run_virtual(run)
