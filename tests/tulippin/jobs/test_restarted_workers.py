"""Workers that start again under their id, with new counts and a new clock."""

import attrs
import pytest
import trio

from scheduler_fleet import JOB, QUEUE, make_request, make_step, open_fleet
from tulippin.jobs import _crashes, _incarnations, _unconfirmed_runs, core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._attempts import add_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs._feasibility import accepts_runs
from tulippin.jobs.records import AccountRecord, CrashRecord, EpochRecord
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import (
    EndedRun,
    ExpectedIncarnation,
    Incarnation,
    JobRequest,
    JobState,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    RunOutcome,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.platform.standin import StandinWorker
from tulippin.types import Resources

LATER_JOB = '00000000000000bb'
NOW_MS = 100_000
BORN_MS = 1_700_000_000_000
LATER_BORN_MS = BORN_MS + 60_000
MAX_STARTS = 5
KEY = TaskKey(JOB, 0, 0, 0)


async def restart(fleet, worker_id='w0', down_s=0.7):
    """Crash a worker, and start it again under its id."""
    fleet.platform.workers[worker_id].crash()
    await trio.sleep(down_s)
    return fleet.platform.restart(worker_id)


def make_owner():
    """Return the state of an owner with one reconciled worker."""
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    ownership = state.ownership
    ownership.phase = Phase.ACTIVE
    ownership.epoch = EpochRecord(1, 'i:1')
    ownership.epoch_version = 50
    ownership.taken_ms = NOW_MS - 10_000
    ownership.renewed_ms = NOW_MS
    entry = WorkerEntry(
        'w0', 'catalogue', 'a:80', 'z', Resources(16_000, 64_000)
    )
    worker = state.workers['w0'] = Worker(entry, is_rostered=True)
    worker.born_ms = BORN_MS
    worker.is_reconciled = True
    worker.clock_offset_ms = 0
    worker.answered_ms = NOW_MS
    state.roster['w0'] = entry.address
    return state


def make_ends(first, last):
    return tuple(
        EndedRun(
            number, TaskKey('gone', 0, 0, number), 1, RunOutcome.STOPPED, ''
        )
        for number in range(first, last + 1)
    )


def add_run(state, attempt_state, sent_ago_ms=50):
    """Add a job with one task, and a run of it on the worker."""
    step = Step(1, Resources(1000, 1000))
    job = Job(JOB, QUEUE, JobRequest('', (step,)), 60)
    job.remaining[0, 0] = 1
    state.jobs[JOB] = job
    task = job.tasks[KEY] = Task(KEY)
    sent_ms = state.now_ms - sent_ago_ms
    attempt = Attempt(KEY, 1, 'w0', step, 0, attempt_state, sent_ms)
    attempt.start_deadline_ms = sent_ms + 1800
    if attempt_state is not AttemptState.STARTING:
        attempt.seen_ms = sent_ms
    add_attempt(attempt, task, state.workers['w0'])
    return attempt


def reduce_report(state, born_ms, ended=(), running=()):
    """Let the worker report; return the effects until the next tick."""
    state.now_ms += 100
    event = ev.WorkerAnswered(
        state.now_ms,
        'w0',
        state.now_ms - 10,
        WorkerReport(state.now_ms, running, ended, born_ms),
    )
    effects = core.reduce(state, event)
    return effects + core.reduce(state, ev.Ticked(state.now_ms + 300, BORN_MS))


def report(state, born_ms, ended=()):
    """Let the worker report its ends; return the acknowledgements sent."""
    return [
        effect.last_seen
        for effect in reduce_report(state, born_ms, ended)
        if isinstance(effect, fx.HoldWorker)
    ]


def answer_start(state, outcome, clock_ms=None):
    answer = OrderAnswer(outcome, clock_ms or state.now_ms)
    return core.reduce(
        state, ev.StartAnswered(state.now_ms, 'w0', KEY, 1, answer)
    )


def list_orders(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_ends_after_a_restart_are_not_mistaken_for_earlier_ones(run_virtual):
    """Guards against a second start of tasks whose ends were acknowledged."""

    async def run():
        async with open_fleet(workers=1) as fleet:
            await fleet.submit(JOB, make_request(make_step(6)))
            await fleet.wait_done(JOB)
            await restart(fleet)
            await fleet.submit(LATER_JOB, make_request(make_step(4)))
            await fleet.wait_done(LATER_JOB)
            fleet.check()
            assert fleet.count_starts(LATER_JOB) == 4

    run_virtual(run)


def test_ends_are_acknowledged_to_the_incarnation_that_reported_them():
    state = make_owner()
    assert 6 in report(state, BORN_MS, make_ends(1, 6))
    assert max(report(state, LATER_BORN_MS), default=0) == 0
    assert 2 in report(state, LATER_BORN_MS, make_ends(1, 2))


def test_silent_worker_gets_no_acknowledgement():
    """It may have started again since it reported the ends."""
    state = make_owner()
    worker = state.workers['w0']
    worker.last_seen = worker.last_read_end_number = 6
    worker.needs_ack = True
    core.reduce(state, ev.WorkerSilent(state.now_ms, 'w0', 'broke off'))
    effects = core.reduce(state, ev.Ticked(state.now_ms + 300, BORN_MS))
    holds = [one for one in effects if isinstance(one, fx.HoldWorker)]
    assert [one.last_seen for one in holds] == [0]
    # The ends that it still reports are acknowledged then.
    assert 6 in report(state, BORN_MS, make_ends(4, 6))


def test_commit_for_an_earlier_incarnation_acknowledges_nothing():
    state = make_owner()
    worker = state.workers['w0']
    worker.last_read_end_number = 6
    ends = {Incarnation('w0', BORN_MS): 6}
    report(state, LATER_BORN_MS)
    commit = fx.CommitProgress((), ends, state.ownership.epoch_version)
    core.reduce(state, ev.ProgressCommitted(state.now_ms, commit, 60))
    assert state.workers['w0'].last_seen == 0
    assert not state.workers['w0'].needs_ack


def test_worker_whose_clock_was_set_back_is_another_incarnation():
    state = make_owner()
    report(state, BORN_MS, make_ends(1, 6))
    assert 2 in report(state, BORN_MS - 500, make_ends(1, 2))


def test_report_without_a_start_time_is_of_the_same_incarnation():
    state = make_owner()
    report(state, BORN_MS, make_ends(1, 6))
    report(state, 0, make_ends(1, 7))
    assert state.workers['w0'].last_read_end_number == 7


def test_start_lost_with_its_worker_does_not_wait_for_the_old_clock(
    run_virtual,
):
    """Guards against a task that waits for as long as its worker had run."""

    async def run():
        async with open_fleet(workers=2) as fleet:
            workers = fleet.platform.workers
            for worker in workers.values():
                worker.clock_offset_ms = 600_000
                worker.start_order_delay_s = 60
            await fleet.submit(JOB, make_request(make_step(2)))
            await trio.sleep(3.2)
            for worker_id in tuple(workers):
                await restart(fleet, worker_id, down_s=0)
            await fleet.wait_done(JOB, limit_s=6)
            fleet.check()

    run_virtual(run)


def test_run_that_began_after_the_restart_is_kept():
    """Its start was answered before the owner knew of the restart."""
    state = make_owner()
    attempt = add_run(state, AttemptState.RUNNING)
    row = RunningTask(KEY, 1, '', 10, None)
    effects = reduce_report(state, LATER_BORN_MS, running=(row,))
    assert state.workers['w0'].attempts == {(KEY, 1): attempt}
    assert state.jobs[JOB].tasks[KEY].attempts == {1: attempt}
    assert not list_orders(effects, (fx.StartRun, fx.StopRun))
    assert state.workers['w0'].reserved == attempt.step.reserved


def test_run_that_ended_after_the_restart_is_done():
    state = make_owner()
    add_run(state, AttemptState.RUNNING)
    end = EndedRun(1, KEY, 1, RunOutcome.DONE, '')
    effects = reduce_report(state, LATER_BORN_MS, (end,))
    assert state.jobs[JOB].tasks[KEY].is_done
    assert not list_orders(effects, fx.StartRun)


def test_run_of_an_ended_incarnation_is_over():
    state = make_owner()
    add_run(state, AttemptState.RUNNING)
    reduce_report(state, LATER_BORN_MS)
    assert 1 not in state.jobs[JOB].tasks[KEY].attempts


def test_start_in_flight_over_a_restart_is_stopped_before_another_start():
    """Guards against two runs: the next incarnation may begin the first."""
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    reduce_report(state, LATER_BORN_MS)
    assert attempt.state is AttemptState.STARTING
    answer_start(state, OrderOutcome.UNKNOWN)
    effects = reduce_report(state, LATER_BORN_MS)
    assert [one.run for one in list_orders(effects, fx.StopRun)] == [1]
    assert not list_orders(effects, fx.StartRun)
    effects = reduce_report(state, LATER_BORN_MS)
    assert attempt.state is AttemptState.STOPPING
    assert not list_orders(effects, fx.StartRun)


def test_stop_confirmed_before_a_restart_is_sent_again():
    """The next incarnation would still accept the start."""
    state = make_owner()
    attempt = add_run(state, AttemptState.STOPPING)
    attempt.is_stop_confirmed = True
    effects = reduce_report(state, LATER_BORN_MS)
    assert [one.run for one in list_orders(effects, fx.StopRun)] == [1]
    assert 1 in state.jobs[JOB].tasks[KEY].attempts


def test_runs_after_a_restart_last_up_to_the_longest_lease():
    """Orders by the clock of the earlier incarnation may have extended it."""
    state = make_owner()
    add_run(state, AttemptState.RUNNING)
    row = RunningTask(KEY, 1, '', 10, None)
    reduce_report(state, LATER_BORN_MS, running=(row,))
    lasting_ms = state.workers['w0'].lease_expiry_ms - state.now_ms
    assert lasting_ms >= state.config.worker_lease_limit_ms


@pytest.mark.parametrize(
    'outcome', [OrderOutcome.STARTED, OrderOutcome.NO_ROOM]
)
def test_start_answered_by_a_later_clock_counts_the_longest_lease(outcome):
    """Guards against two runs: the next incarnation has taken the deadline."""
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    effects = answer_start(state, outcome, clock_ms=150)
    worker = state.workers['w0']
    lasting_ms = worker.lease_expiry_ms - state.now_ms
    assert lasting_ms >= state.config.worker_lease_limit_ms
    effects += core.reduce(state, ev.Ticked(state.now_ms + 10, BORN_MS))
    holds = list_orders(effects, fx.HoldWorker)
    assert [one.deadline_ms for one in holds] == [None]
    is_doubtful = outcome is OrderOutcome.STARTED
    assert bool(worker.attempts) == is_doubtful


def test_run_of_a_start_that_the_next_incarnation_answered_is_kept():
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    answer_start(state, OrderOutcome.STARTED, clock_ms=150)
    row = RunningTask(KEY, 1, '', 10, None)
    effects = reduce_report(state, LATER_BORN_MS, running=(row,))
    assert state.workers['w0'].attempts == {(KEY, 1): attempt}
    assert not list_orders(effects, (fx.StartRun, fx.StopRun))


def test_start_answered_by_a_slow_clock_is_no_restart():
    """A worker's clock may be 2% slow, and tells the time before the answer."""
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    state.workers['w0'].answered_ms = NOW_MS - 3000
    answer_start(state, OrderOutcome.STARTED, clock_ms=NOW_MS - 110)
    assert attempt.state is AttemptState.RUNNING
    assert not state.workers['w0'].failed_count


def test_idle_worker_may_hold_the_longest_lease_after_a_restart():
    """A run that starts there later goes on for as long as the lease."""
    state = make_owner()
    reduce_report(state, LATER_BORN_MS)
    lasting_ms = state.workers['w0'].lease_expiry_ms - state.now_ms
    assert lasting_ms >= state.config.worker_lease_limit_ms


@pytest.mark.parametrize('limit_ms', [6000, 10_000])
def test_first_answer_keeps_the_lease_of_the_release_report(limit_ms):
    """Guards against a second start while a worker keeps a longer lease."""
    state = make_owner()
    context = Context(state)
    account = _unconfirmed_runs.make_account(context)
    reported = attrs.evolve(account.workers['w0'], lasting_ms=limit_ms)
    account = AccountRecord(0, {'w0': reported})
    state.workers['w0'].is_reconciled = False
    _unconfirmed_runs.begin(account, context)
    reduce_report(state, BORN_MS)
    worker = state.workers['w0']
    assert worker.is_reconciled
    assert worker.lease_expiry_ms >= NOW_MS + limit_ms


@pytest.mark.parametrize('limit_ms', [6000, 10_000])
def test_lease_is_cut_to_the_limit_of_the_worker(run_virtual, limit_ms):
    async def hold():
        worker = StandinWorker('w0', 'a:80', [], lease_limit_ms=limit_ms)
        deadline_ms = worker.clock_ms + 60_000
        await worker.handle_hold('w0', 1, 0, deadline_ms, 0)
        return worker.deadline_ms - worker.clock_ms

    assert run_virtual(hold) == limit_ms


@pytest.mark.parametrize('owners', [1, 3])
def test_crashes_of_one_worker_count_by_incarnation(run_virtual, owners):
    """Guards against a task that crashes one worker again and again."""

    async def run():
        async with open_fleet(instances=2, workers=1) as fleet:
            fleet.platform.are_ids_kept = True
            fleet.platform.restart_delay_ms = 1000
            request = make_request(
                make_step(), run_ms=60_000, crashes_after_ms=400
            )
            await fleet.submit(JOB, request)
            for number in range(1, owners):
                while fleet.count_starts() < number:
                    await trio.sleep(0.01)
                await trio.sleep(0.2)
                name = fleet.get_owner()
                fleet.kill(name)
                await fleet.start(f'{name}-{number}')
                await fleet.wait_owner()
            await fleet.wait_state(JOB, JobState.FAILED, limit_s=90)
            assert fleet.count_starts() <= MAX_STARTS
            fleet.check()

    run_virtual(run)


def make_entry(state, born_ms, **changes):
    entry = state.workers['w0'].entry
    return attrs.evolve(entry, born_ms=born_ms, **changes)


def change_entry(state, entry):
    state.now_ms += 100
    event = ev.WorkersChanged(state.now_ms, (entry,), (), state.now_ms)
    effects = core.reduce(state, event)
    return effects + core.reduce(state, ev.Ticked(state.now_ms + 300, BORN_MS))


def test_listed_restart_is_confirmed_by_a_report_before_new_runs():
    state = make_owner()
    entry = make_entry(state, LATER_BORN_MS)
    effects = change_entry(state, entry)
    assert list_orders(effects, fx.HoldWorker)
    assert not accepts_runs(state.workers['w0'], state)
    reduce_report(state, LATER_BORN_MS)
    assert accepts_runs(state.workers['w0'], state)


def test_reported_restart_waits_for_its_entry_before_new_runs():
    """The restarted worker may have less capacity than the earlier entry."""
    state = make_owner()
    change_entry(state, make_entry(state, BORN_MS))
    reduce_report(state, LATER_BORN_MS)
    assert not accepts_runs(state.workers['w0'], state)
    change_entry(state, make_entry(state, LATER_BORN_MS))
    assert accepts_runs(state.workers['w0'], state)


def test_entry_of_the_earlier_incarnation_does_not_drain_the_next_one():
    state = make_owner()
    draining = make_entry(state, BORN_MS, draining=True, leaves_in_ms=2000)
    change_entry(state, draining)
    reduce_report(state, LATER_BORN_MS)
    change_entry(state, make_entry(state, LATER_BORN_MS, draining=False))
    change_entry(state, draining)
    worker = state.workers['w0']
    assert worker.leaves_at_ms == 0
    assert accepts_runs(worker, state)


def test_restart_at_another_address_is_followed():
    state = make_owner()
    change_entry(state, make_entry(state, BORN_MS))
    moved = make_entry(state, LATER_BORN_MS, address='b:80')
    effects = change_entry(state, moved)
    (hold,) = list_orders(effects, fx.HoldWorker)
    assert hold.address == 'b:80'
    reduce_report(state, LATER_BORN_MS)
    assert accepts_runs(state.workers['w0'], state)


def test_superseded_worker_comes_back_under_its_id():
    state = make_owner()
    change_entry(state, make_entry(state, BORN_MS))
    state.workers['w0'].lease_expiry_ms = NOW_MS + 20_000
    superseded = ev.WorkerSilent(state.now_ms, 'w0', '', is_replaced=True)
    core.reduce(state, superseded)
    assert state.workers['w0'].is_superseded
    change_entry(state, make_entry(state, BORN_MS))
    assert state.workers['w0'].is_superseded
    change_entry(state, make_entry(state, LATER_BORN_MS))
    reduce_report(state, LATER_BORN_MS)
    assert accepts_runs(state.workers['w0'], state)


def test_start_counts_one_crash_over_several_restarts():
    """It may reach a later incarnation, but runs on one at most."""
    state = make_owner()
    add_run(state, AttemptState.DOUBTFUL)
    reduce_report(state, LATER_BORN_MS)
    reduce_report(state, LATER_BORN_MS + 200)
    reduce_report(state, LATER_BORN_MS + 400)
    (crash,) = state.jobs[JOB].tasks[KEY].list_crashes()
    assert crash.born_ms == BORN_MS


def silence(state):
    core.reduce(state, ev.WorkerSilent(state.now_ms, 'w0', 'timed out'))


# Without FENCED, after which the owner steps down.
REFUSALS = [
    OrderOutcome.SUPERSEDED,
    OrderOutcome.TOO_LATE,
    OrderOutcome.NO_ROOM,
    OrderOutcome.NO_TICKET,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.OTHER_INCARNATION,
    OrderOutcome.REJECTED,
    OrderOutcome.NOT_SENT,
    OrderOutcome.RESTARTED,
]


@pytest.mark.parametrize('outcome', REFUSALS)
def test_start_that_was_refused_is_no_crash(outcome):
    """Guards against a sound job that is given up for runs that never were."""
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    silence(state)
    task = state.jobs[JOB].tasks[KEY]
    assert len(task.crashes) == 1
    answer_start(state, outcome)
    assert not task.crashes


def test_start_that_was_refused_after_a_report_of_the_restart_is_no_crash():
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    reduce_report(state, LATER_BORN_MS)
    task = state.jobs[JOB].tasks[KEY]
    (crash,) = task.list_crashes()
    assert crash.is_sure
    answer_start(state, OrderOutcome.RESTARTED)
    assert not task.crashes


def test_start_that_was_refused_after_it_was_stopped_is_no_crash():
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    silence(state)
    attempt.state = AttemptState.STOPPING
    answer_start(state, OrderOutcome.NOT_SENT)
    assert not state.jobs[JOB].tasks[KEY].crashes


def test_refused_start_leaves_the_crashes_of_other_runs():
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    task = state.jobs[JOB].tasks[KEY]
    crash = CrashRecord('w1', 'b:80', '', 7, 0, NOW_MS, born_ms=BORN_MS)
    task.crashes[crash.incarnation] = crash
    silence(state)
    answer_start(state, OrderOutcome.RESTARTED)
    assert task.list_crashes() == (crash,)


@pytest.mark.parametrize('is_restart_seen', [False, True])
def test_unanswered_start_on_a_lost_worker_stays_a_crash(is_restart_seen):
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    silence(state)
    if is_restart_seen:
        reduce_report(state, LATER_BORN_MS)
    answer_start(state, OrderOutcome.UNKNOWN)
    assert len(state.jobs[JOB].tasks[KEY].crashes) == 1


def test_unsent_start_on_a_silent_worker_is_withdrawn():
    """Guards against a crash that the next owner counts without a run."""
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    attempt.is_ordered = False
    job = state.jobs[JOB]
    silence(state)
    task = job.tasks[KEY]
    assert not task.attempts
    assert not task.crashes
    # The stored start has to go too.
    assert JOB in state.dirty_jobs


@pytest.mark.parametrize('is_ordered', [True, False])
def test_release_report_names_just_the_starts_that_were_ordered(is_ordered):
    """Guards against a crash that the next owner counts without a run."""
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    attempt.is_ordered = is_ordered
    account = _unconfirmed_runs.make_account(Context(state))
    expected = (KEY.format(),) if is_ordered else ()
    assert account.workers['w0'].tasks == expected


def test_ordered_start_on_a_silent_worker_is_kept():
    state = make_owner()
    attempt = add_run(state, AttemptState.STARTING)
    silence(state)
    assert state.jobs[JOB].tasks[KEY].attempts == {1: attempt}


def test_restarted_worker_needs_new_tickets():
    """Guards against starts that it refuses until old tickets expire."""
    state = make_owner()
    add_run(state, AttemptState.RUNNING)
    job = state.jobs[JOB]
    ticket = ('ticket', NOW_MS + 60_000)
    job.tickets[KEY[:3]] = {'w0': ticket, 'w1': ticket}
    job.advised_workers[KEY[:3]] = {'w0', 'w1'}
    reduce_report(state, LATER_BORN_MS)
    assert job.tickets[KEY[:3]] == {'w1': ticket}
    assert job.advised_workers[KEY[:3]] == {'w1'}


@pytest.mark.parametrize('born_ms', [BORN_MS, 0])
def test_crash_of_an_earlier_owner_is_withdrawn_by_the_same_incarnation(
    born_ms,
):
    """Guards against a sound job that is given up for a worker cut off."""
    state = make_owner()
    add_run(state, AttemptState.RUNNING)
    task = state.jobs[JOB].tasks[KEY]
    crash = CrashRecord('w0', 'a:80', '', 1, 0, NOW_MS, born_ms=born_ms)
    task.crashes[crash.incarnation] = crash
    state.suspects.add(KEY)
    state.workers['w0'].failed_count = 1
    reduce_report(state, BORN_MS)
    assert not task.crashes


def test_open_start_on_a_lapsed_worker_is_a_crash_of_its_incarnation():
    state = make_owner()
    add_run(state, AttemptState.RUNNING)
    job = state.jobs[JOB]
    task = job.tasks[KEY]
    task.unresolved_start = (1, 'w0')
    state.workers['w0'].is_reconciled = False
    assert not _crashes.may_start(job, task, state)
    (crash,) = task.list_crashes()
    assert crash.incarnation == Incarnation('w0', BORN_MS)


def test_probation_of_a_run_goes_on_after_a_restart():
    """The next incarnation reports the run, which is still suspected."""
    state = make_owner()
    attempt = add_run(state, AttemptState.RUNNING)
    state.workers['w0'].probation_runs[KEY, 1] = attempt
    row = RunningTask(KEY, 1, '', 10, None)
    reduce_report(state, LATER_BORN_MS, running=(row,))
    assert state.workers['w0'].probation_runs == {(KEY, 1): attempt}


# -- which incarnation answers ------------------------------------------------


def get_expected(state, passed_ms):
    worker = state.workers['w0']
    return _incarnations.get_expected(worker, NOW_MS + passed_ms, state)


def test_slow_clock_is_not_taken_for_a_restart():
    """Guards against refused starts on workers without start times."""
    state = make_owner()
    state.workers['w0'].born_ms = 0
    slow_ms = NOW_MS + int(30_000 * 0.98)
    assert get_expected(state, 30_000).has_reported(0, slow_ms)


def test_clock_that_fell_back_is_another_incarnation():
    """Guards against ends that are acknowledged before they are read."""
    state = make_owner()
    state.workers['w0'].born_ms = 0
    assert 6 in report(state, 0, make_ends(1, 6))
    event = ev.WorkerAnswered(
        state.now_ms + 100,
        'w0',
        state.now_ms + 90,
        WorkerReport(500, (), make_ends(1, 2)),
    )
    core.reduce(state, event)
    assert state.workers['w0'].last_read_end_number == 2


def test_start_time_decides_whatever_the_clock_says():
    state = make_owner()
    expected = get_expected(state, 0)
    assert not expected.has_reported(LATER_BORN_MS, NOW_MS + 5000)
    assert expected.has_reported(BORN_MS, NOW_MS - 5000)


def test_start_that_met_another_incarnation_has_it_report_at_once():
    """Its task is started elsewhere, and the order has had no effect."""
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    worker = state.workers['w0']
    worker.hold_after_ms = worker.report_after_ms = NOW_MS + 5000
    effects = answer_start(state, OrderOutcome.RESTARTED)
    assert not worker.attempts
    assert not state.jobs[JOB].tasks[KEY].crashes
    assert not accepts_runs(worker, state)
    effects += core.reduce(state, ev.Ticked(NOW_MS + 50, BORN_MS))
    (hold,) = list_orders(effects, fx.HoldWorker)
    assert hold.incarnation.born_ms == BORN_MS


def test_start_for_an_earlier_incarnation_does_not_pause_the_known_one():
    state = make_owner()
    add_run(state, AttemptState.STARTING)
    reduce_report(state, LATER_BORN_MS)
    answer_start(state, OrderOutcome.RESTARTED)
    worker = state.workers['w0']
    assert not worker.attempts
    assert worker.paused_until_ms == 0


def test_start_order_names_the_incarnation_that_it_is_meant_for():
    state = make_owner()
    order = get_expected(state, 0)
    assert order == ExpectedIncarnation(BORN_MS, NOW_MS)
