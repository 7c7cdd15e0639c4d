"""No order of events at a handover gives a task two runs at once.

The shells, reducers and effects are real; `handover_model` plays the store, the
workers and the time, and delivers in any order. Each fault that is planted here
must be found by it.
"""

import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

import handover_model
from handover_model import (
    LAPSE_MS,
    ModelWorker,
    StartAfterEndError,
    TwoRunsError,
    World,
    open_world,
    play,
)
from tulippin.jobs import _lifecycle, _ownership, _unconfirmed_runs
from tulippin.jobs._unit_feeds import UnitFeeds
from tulippin.jobs.records import ROSTER_KEY
from tulippin.jobs.state import AttemptState

SCHEDULES = st.binary(min_size=160, max_size=160)
FAR_VERSION = 10**9
HANDOVER_MS = 1000
# Longer than any lease of a worker, with drift and slack.
WORKER_LAPSE_MS = 7500
TASK = 0
THREE_TASKS = 1


@pytest.fixture(autouse=True)
def model(monkeypatch):
    handover_model.install(monkeypatch)


def run_examples(check, count):
    """Check a number of schedules, the same ones at each run."""
    limits = settings(
        max_examples=count,
        suppress_health_check=list(HealthCheck),
    )
    limits(given(SCHEDULES)(check))()


def test_owners_in_turn_start_no_task_twice():
    def check(schedule):
        play(schedule)

    run_examples(check, 110)


def test_three_owners_and_three_workers_start_no_task_twice():
    def check(schedule):
        play(schedule, instance_count=3, worker_count=3)

    run_examples(check, 70)


def test_owners_in_turn_start_no_task_twice_with_cut_reports():
    def check(schedule):
        play(schedule, max_listed_ends=1)

    run_examples(check, 110)


def test_no_task_is_started_again_whose_end_is_not_listed_yet():
    crash_with_unlisted_end(open_world(max_listed_ends=1))


def test_report_that_hides_its_cut_is_found(monkeypatch):
    hold = ModelWorker.hold
    monkeypatch.setattr(
        ModelWorker,
        'hold',
        lambda *arguments: attrs.evolve(hold(*arguments), is_cut=False),
    )
    with pytest.raises(StartAfterEndError):
        crash_with_unlisted_end(open_world(max_listed_ends=1))


def test_owners_of_two_units_start_no_task_twice():
    def check(schedule):
        play(schedule, unit_count=2)

    run_examples(check, 50)


# -- planted faults ------------------------------------------------------------


def find_worker(world):
    """Return the id of the worker with the only run."""
    (found,) = [one.entry.worker_id for one in world.workers if one.runs]
    return found


def start_task(world):
    """Start a task; the owner's next commit is not due yet."""
    world.submit(TASK)
    world.settle()
    world.advance()
    world.settle()


def hand_over_during_start(world):
    """Release a unit while a start is unanswered and its worker silent."""
    world.blocked['start'] = 'after'
    start_task(world)
    world.blocked[find_worker(world)] = 'before'
    world.stop_owner(0)
    world.run(HANDOVER_MS)


def crash_during_run(world):
    """Let an owner crash whose task runs on a worker that falls silent."""
    start_task(world)
    world.blocked[find_worker(world)] = 'before'
    world.crash_owner(0)
    world.run(HANDOVER_MS)


def crash_with_unlisted_end(world):
    """Let an owner crash while a worker lists one of its two ends.

    Neither end completes a job, whose end would be committed at once.
    """
    world.submit(THREE_TASKS)
    world.run()
    for worker in world.workers:
        world.blocked[worker.entry.worker_id] = 'before'
    while any(worker.runs for worker in world.workers):
        world.end_run(0)
    world.crash_owner(0)
    world.run(HANDOVER_MS)
    world.blocked.clear()
    world.run(WORKER_LAPSE_MS)


def depose_unnoticed(world):
    """Let an owner without the store and its successor get the same job.

    Each of them reaches one of the workers.
    """
    (owner,) = [one.number for one in world.list_owners()]
    world.blocked = {
        f'i{owner}/transact': 'before',
        f'i{owner}/w0': 'before',
        f'i{1 - owner}/w1': 'before',
    }
    world.run(LAPSE_MS - 300)
    world.submit(THREE_TASKS)
    world.run()
    world.end_run(0)
    world.run()


def plant_report_without_unanswered_starts(monkeypatch):
    make_report = _unconfirmed_runs._make_worker_report

    def make(worker, unconfirmed, state):
        known = {
            run_id: attempt
            for run_id, attempt in worker.attempts.items()
            if attempt.state is not AttemptState.STARTING
        }
        return make_report(
            attrs.evolve(worker, attempts=known), unconfirmed, state
        )

    monkeypatch.setattr(_unconfirmed_runs, '_make_worker_report', make)


def plant_job_newer_than_takeover(monkeypatch):
    make_job = _lifecycle._make_job

    def make(row, context):
        job = make_job(row, context)
        job.row_version = FAR_VERSION
        return job

    monkeypatch.setattr(_lifecycle, '_make_job', make)


def plant_feed_without_epochs(monkeypatch):
    make_event = UnitFeeds._make_jobs_event

    def make(feeds, page):
        return attrs.evolve(make_event(feeds, page), epoch_version=0)

    monkeypatch.setattr(UnitFeeds, '_make_jobs_event', make)


def plant_unread_rows(monkeypatch):
    monkeypatch.setattr(_ownership, '_is_succeeded', lambda *_: False)


def plant_feeds_without_epochs(monkeypatch):
    """Neither the jobs nor the unit's own rows tell of the successor."""
    plant_feed_without_epochs(monkeypatch)
    plant_unread_rows(monkeypatch)


FAULTS = (
    (plant_report_without_unanswered_starts, hand_over_during_start),
    (plant_job_newer_than_takeover, crash_during_run),
    (plant_feeds_without_epochs, depose_unnoticed),
)


@pytest.mark.parametrize(('plant', 'order'), FAULTS)
def test_planted_fault_is_found(plant, order, monkeypatch):
    order(open_world())
    plant(monkeypatch)
    with pytest.raises(TwoRunsError):
        order(open_world())


@pytest.mark.parametrize(
    'plant', [plant_feed_without_epochs, plant_unread_rows]
)
def test_either_feed_deposes_an_owner_without_the_other(plant, monkeypatch):
    plant(monkeypatch)
    depose_unnoticed(open_world())


# -- faults that the model has found or shown ----------------------------------


def pass_calls(world, unit, kinds, until):
    """Carry out and answer calls of a unit until a condition holds."""
    while not until():
        call = next(
            one for one in world.calls if one.unit is unit and one.kind in kinds
        )
        world.execute(call)
        world.answer(call)


def test_result_of_a_cancelled_load_is_ignored():
    """Guards against jobs that an owner misses between two loads."""
    world = World()
    for instance in world.instances:
        instance.watch()
    world.blocked['read'] = 'before'
    world.run()
    (owner,) = world.list_owners()
    unit = owner.units[0]
    world.stop_owner(0)

    # The renewal, then the read of the last report for the release.
    pass_calls(
        world, unit, {'transact'}, lambda: not list_transactions(world, unit)
    )
    pass_calls(world, unit, {'read'}, lambda: list_transactions(world, unit))
    owner.is_paused = True
    world.reject(list_transactions(world, unit)[0])
    pass_calls(world, unit, {'read', 'list'}, lambda: len(owner.inbox) > 1)
    world.submit(TASK)
    world.unpause(0)
    world.blocked = {'transact': 'before'}
    world.settle()
    assert unit.is_owner
    assert len(unit.state.jobs) == 1


def test_end_that_is_read_after_its_job_moved_is_not_lost():
    """Guards against a task that runs again though its end was acknowledged."""
    world = open_world(unit_count=2)
    world.submit(TASK)
    world.run()
    silent_id = find_worker(world)
    world.blocked[silent_id] = 'before'
    world.end_run(0)
    world.evacuate(0)
    # The next home has no room yet.
    world.blocked.update(w2='before', w3='before')
    world.run(WORKER_LAPSE_MS)
    del world.blocked[silent_id]
    world.run()
    assert world.acknowledged
    world.blocked.clear()
    world.run(HANDOVER_MS)


def list_transactions(world, unit, *, of_roster=False):
    return [
        one
        for one in world.calls
        if one.unit is unit
        and one.kind == 'transact'
        and (one.arguments[0].writes[0].key == ROSTER_KEY) is of_roster
    ]


def test_roster_that_is_committed_during_a_release_is_known():
    """Guards against an owner that takes its own roster for another one's."""
    world = open_world()
    (owner,) = world.list_owners()
    unit = owner.units[0]
    world.add_worker(0, '10.0.0.9:80')
    world.blocked['transact'] = 'before'
    while not list_transactions(world, unit, of_roster=True):
        world.advance()
        world.settle()
    world.stop_owner(0)
    renewal = list_transactions(world, unit)[0]
    world.execute(renewal)
    world.answer(renewal)
    roster = list_transactions(world, unit, of_roster=True)[0]
    world.execute(roster)
    world.answer(roster)
    world.reject(list_transactions(world, unit)[0])
    assert unit.is_owner
    assert set(unit.state.roster) == {'w0', 'w1', 'w2'}
    assert unit.state.roster_version == world.store.version
