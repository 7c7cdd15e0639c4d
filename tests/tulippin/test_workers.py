"""Decisions of one instance about workers and attempts, step by step."""

import pytest

from tulippin import effects as fx
from tulippin import events as ev
from tulippin.exceptions import UnavailableError
from tulippin.messages import TaskOffered, TasksCancelled
from tulippin.records import TaskRef
from tulippin.testing import (
    PEER,
    SESSION,
    FakeWorker,
    SingleInstance,
    make_worker,
)
from tulippin.types import (
    Holder,
    JobSpec,
    LeaseRow,
    Resources,
    Source,
    TaskOutcome,
    WorkerStanding,
    cell_unit,
)
from tulippin.worker_types import AttemptKey, RunReport, RunState

CELL = cell_unit('cell-0')
SPEC = JobSpec('job', 'team', task_count=2, run_ms=5000)
RUNNING = RunReport('job/0', 1, RunState.RUNNING)


@pytest.fixture
def instance():
    single = SingleInstance()
    single.answer_first_syncs()
    return single


def submit(instance, spec=SPEC):
    instance.feed(
        ev.JobRequested, 1, 'submit', spec.job_id, 'team', spec, 'digest'
    )
    instance.commit_all()
    instance.tick(200)
    instance.commit_all()
    instance.tick()


def get_entry(instance, task_id='job/0'):
    return instance.state.cells[CELL].ledger.attempts.get(task_id)


def test_attempt_is_durable_before_its_start(instance):
    instance.take(fx.SyncWorker)
    instance.feed(ev.JobRequested, 1, 'submit', 'job', 'team', SPEC, 'digest')
    while not instance.state.cells[CELL].placing:
        instance.commit()
        instance.tick()
    assert not any(effect.sync.start for effect in instance.take(fx.SyncWorker))
    instance.commit_all()
    instance.report()
    instance.tick()
    assert any(effect.sync.start for effect in instance.take(fx.SyncWorker))


def test_restarted_worker_gets_no_start_of_an_attempt_that_is_lost(instance):
    submit(instance)
    instance.report(RUNNING, RunReport('job/1', 1, RunState.RUNNING))
    instance.tick(2000)
    instance.take(fx.SyncWorker)
    instance.report(incarnation='two')
    instance.tick(2000)
    for effect in instance.take(fx.SyncWorker):
        assert not effect.sync.start
        assert effect.sync.incarnation == 'two'


def test_start_names_the_incarnation_that_it_is_for(instance):
    submit(instance)
    sync = instance.take_sync()
    assert [task.task_id for task in sync.start] == ['job/0', 'job/1']
    assert sync.incarnation == 'one'


def deliver(instance, sync, worker):
    report = worker.sync(sync)
    instance.feed(
        ev.WorkerSynced, 'worker-0', sync.epoch, sync.sequence, report
    )
    return report


async def test_restarted_worker_keeps_no_lease_by_its_earlier_clock(
    instance, autojump_clock
):
    """Guards against runs that outlast the lease that their owner counts."""
    worker = FakeWorker(
        make_worker(), lambda *_, **__: None, clock_offset_ms=10**6
    )
    instance.tick(2000)
    deliver(instance, instance.take_sync(), worker)
    submit(instance)
    early = instance.take_sync()
    assert early.start
    worker.restart('two')
    assert early.lease_until_ms > worker.clock_ms + 10**5
    assert deliver(instance, early, worker).runs == ()

    instance.commit_all()
    instance.tick(5000)
    instance.commit_all()
    instance.tick()
    deliver(instance, instance.take_sync(), worker)
    cell_worker = instance.state.cells[CELL].workers['worker-0']
    assert len(worker.runs) == 2
    assert {attempt for _, attempt in worker.runs} == {2}
    with pytest.raises(UnavailableError):
        worker.sync(early)
    for run in worker.runs.values():
        left_ms = run.lease_until_ms - worker.clock_ms
        assert 0 < left_ms <= cell_worker.lapse_ms - instance.now_ms


def test_lease_is_counted_from_the_workers_last_report(instance):
    submit(instance)
    cell = instance.state.cells[CELL]
    clock_ms = cell.workers['worker-0'].clock_ms
    lease_ms = instance.state.config.worker_lease_ms
    assert instance.take_sync().lease_until_ms == clock_ms + lease_ms


def fail_sync(instance):
    worker = instance.state.cells[CELL].workers['worker-0']
    instance.feed(ev.WorkerFailed, 'worker-0', 1, worker.sync_in_flight)


def test_attempts_of_a_silent_worker_are_lost_only_after_its_lease(instance):
    submit(instance)
    instance.report(RUNNING)
    lapse_ms = instance.state.cells[CELL].workers['worker-0'].lapse_ms
    while instance.now_ms + 500 < lapse_ms:
        instance.tick(500)
        fail_sync(instance)
        assert get_entry(instance).outcome is None
    for _ in range(5):
        instance.tick(500)
        fail_sync(instance)
    instance.commit_all()
    assert instance.state.counters['attempts_lost'] == 2


def test_paused_owner_syncs_again_before_a_worker_is_lost(instance):
    submit(instance)
    instance.report(RUNNING)
    instance.tick(30000)
    instance.tick()
    instance.report(
        RunReport('job/0', 1, RunState.DONE),
        RunReport('job/1', 1, RunState.DONE),
    )
    instance.commit_all()
    assert get_entry(instance) is None
    job = instance.state.ranges['range/00'].ledger.jobs['job']
    assert job.done_count == 2


def test_successor_waits_out_a_predecessor_that_may_be_detached():
    instance = SingleInstance()
    instance.answer_first_syncs()
    holder = Holder(SESSION, 2, '', (Source('instance-9:old', 1),))
    instance.adopt({CELL: holder})
    from tulippin.ledger import CellLedger, apply
    from tulippin.records import AttemptPlaced

    ledger = CellLedger()
    apply(
        AttemptPlaced(
            TaskRef('job', 0, 1, 'range/00'), SPEC, 'worker-0', 'one', SPEC.size
        ),
        ledger,
    )
    instance.load(CELL, 2, ledger)
    worker = instance.state.cells[CELL].workers['worker-0']
    assert worker.lapse_ms - instance.now_ms > 4_000_000
    instance.feed(
        ev.WorkersListed, instance.workers, ('instance-0', 'instance-9')
    )
    assert worker.lapse_ms - instance.now_ms > 4_000_000
    instance.feed(ev.WorkersListed, instance.workers, ('instance-0',))
    assert worker.lapse_ms - instance.now_ms < 20000


def test_unknown_runs_are_stopped_and_old_ends_forgotten(instance):
    instance.tick(2000)
    instance.report(
        RunReport('ghost/0', 3, RunState.RUNNING),
        RunReport('ghost/1', 1, RunState.DONE),
    )
    instance.tick()
    sync = instance.take_sync()
    assert sync.stop == (AttemptKey('ghost/0', 3),)
    assert sync.forget == (AttemptKey('ghost/1', 1),)


def give_home_to_peer(instance):
    instance.adopt(
        {
            **instance.state.ownership.units,
            'range/09': Holder(PEER, 1),
        },
        (LeaseRow(PEER, 'instance-1', 'd', 'instance-1', 1, version=1),),
    )


def test_refused_offer_stays_refused(instance):
    big = JobSpec('big', 'team', size=Resources(9000, 10))
    task = TaskRef('big', 0, 1, 'range/09')
    offer = TaskOffered(CELL, 1, task, big, 1)
    give_home_to_peer(instance)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 1, (offer,))
    refused = instance.take(fx.SendPeer)[-1].messages[-1]
    assert refused.outcome is TaskOutcome.REFUSED
    instance.state.cells[CELL].workers['worker-0'].info = make_worker(
        capacity=Resources(99000, 9999)
    )
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 2, (offer,))
    assert not instance.state.cells[CELL].placing
    again = instance.take(fx.SendPeer)[-1].messages[-1]
    assert again.outcome is TaskOutcome.REFUSED


def test_offer_that_arrives_after_its_cancellation_is_refused(instance):
    give_home_to_peer(instance)
    task = TaskRef('job', 0, 1, 'range/09')
    cancel = TasksCancelled(CELL, 'range/09', (task,), 1)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 1, (cancel,))
    assert instance.state.cells[CELL].refused['job/0'] == task
    offer = TaskOffered(CELL, 1, task, SPEC, 1)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 2, (offer,))
    assert not instance.state.cells[CELL].placing


def test_offer_of_an_older_epoch_is_refused(instance):
    instance.own(CELL, 'range/00', epoch=2)
    instance.answer_first_syncs()
    task = TaskRef('job', 0, 1, 'range/00')
    offer = TaskOffered(CELL, 1, task, SPEC, 2)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 1, (offer,))
    assert not instance.state.cells[CELL].placing


def test_leaving_worker_gets_nothing_new(instance):
    leaving = make_worker()
    import attrs

    listed = attrs.evolve(leaving, standing=WorkerStanding.LEAVING)
    instance.feed(ev.WorkersListed, (listed,), ('instance-0',))
    submit(instance)
    assert get_entry(instance) is None


def test_worker_that_fails_everything_is_quarantined(instance):
    for number in range(3):
        spec = JobSpec(f'job-{number}', 'team', run_ms=10, max_failures=1)
        submit(instance, spec)
        instance.report(RunReport(f'job-{number}/0', 1, RunState.FAILED))
        instance.commit_all()
        instance.tick(2000)
        instance.report()
    worker = instance.state.cells[CELL].workers['worker-0']
    assert worker.quarantined_until_ms > instance.now_ms


def test_job_that_fails_everywhere_quarantines_no_worker(instance):
    spec = JobSpec('poison', 'team', run_ms=10, max_failures=9)
    submit(instance, spec)
    for attempt in range(1, 8):
        instance.report(RunReport('poison/0', attempt, RunState.FAILED))
        instance.commit_all()
        instance.tick(2500)
        instance.commit_all()
        instance.tick(300)
        instance.commit_all()
        instance.tick()
    worker = instance.state.cells[CELL].workers['worker-0']
    assert not worker.quarantined_until_ms
