"""Opportunistic runs that cause missed targets pause, the others go on.

Guards against the pause of all runs on a worker once a target has been missed
for 1.8 s: runs that disturb nothing lose as much by it as the cause does.
"""

import attrs
import pytest
from test_scheduler_decisions import (
    QUEUE,
    make_attempt,
    make_job,
    make_service_request,
    make_state,
    set_pair,
    set_sibling_tails,
)

from tulippin.jobs import _interference, _pacing, _tail_latency
from tulippin.jobs._dispatch import Context
from tulippin.jobs._scoring import score_idle
from tulippin.jobs.effects import LogDecision, PaceRun
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.features import Features
from tulippin.jobs.state import AttemptState, Task
from tulippin.jobs.types import OrderAnswer, OrderOutcome, Step, TaskKey
from tulippin.policies import InterferencePolicy
from tulippin.types import Resources

RUN_MS = 4000
LIMIT_MS = 4000
ALONE_MS = 33.0
MISSED_MS = 70.0
MET_MS = 35.0
REPORT_MS = 400


def make_worker(limit_ms=LIMIT_MS, workers=1, *, is_on=True):
    """Return a state and a worker whose only task is over its target."""
    state = make_state(workers)
    features = Features(budgets_harm=is_on, harm_limit_ms=limit_ms)
    state.config = attrs.evolve(state.config, features=features)
    state.run_times_ms[QUEUE.name] = float(RUN_MS)
    worker = state.workers['w0']
    make_attempt(worker, make_service_request(), load=MISSED_MS)
    return state, worker


def add_filler(state, worker, job_id, image, *, excess, waited_ms=0, **options):
    """Add a run of a job that has waited, with a known excess."""
    step = Step(
        1,
        Resources(1000, 1000),
        image=image,
        opportunistic=True,
        estimated_ms=RUN_MS,
        **options,
    )
    job = make_job(state, job_id, state.now_ms - waited_ms, (step,))
    job.remaining[0, 0] = 1
    set_pair(state, 'web', image, excess)
    attempt = make_attempt(worker, step, job_id)
    attempt.sent_ms = state.now_ms
    return attempt


def report(state, worker, tail_ms=MISSED_MS, *, confirms=True):
    """Report a tail; return the effects and confirm the paces."""
    state.now_ms += REPORT_MS
    set_sibling_tails(state, ALONE_MS)
    worker.answered_ms = state.now_ms
    for attempt in worker.serving.values():
        attempt.tail_ms = tail_ms
        attempt.load = tail_ms
    context = Context(state)
    _pacing.adjust(worker, context)
    if confirms:
        confirm(state, context.effects)
    return context.effects


def confirm(state, effects):
    for effect in effects:
        if isinstance(effect, PaceRun):
            answer = OrderAnswer(OrderOutcome.STARTED, state.now_ms)
            event = PaceAnswered(
                state.now_ms,
                effect.worker_id,
                effect.key,
                effect.run,
                effect.percent,
                answer,
            )
            _pacing._handle_pace_answer(event, Context(state))


def list_paused(worker):
    return [
        one.key.job_id
        for one in worker.fillers.values()
        if not one.target_pace_percent
    ]


def get_paces(effects):
    return [
        (one.key.job_id, one.percent)
        for one in effects
        if isinstance(one, PaceRun)
    ]


# -- which runs pause ---------------------------------------------------------


def test_only_the_cause_of_a_miss_pauses():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3)
    add_filler(state, worker, 'c', 'innocent', excess=0.0)
    for _ in range(4):
        report(state, worker)
    assert list_paused(worker) == ['b']


def test_short_miss_is_tolerated():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3)
    report(state, worker)
    for _ in range(4):
        report(state, worker, MET_MS)
    assert not list_paused(worker)


@pytest.mark.parametrize(
    ('waited_ms', 'reports'), [(60_000, 1), (12_000, 1), (0, 2)]
)
def test_run_of_less_value_pauses_sooner(waited_ms, reports):
    state, worker = make_worker()
    state.ownership.taken_ms = -60_000
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=waited_ms)
    count = 0
    while not list_paused(worker):
        report(state, worker)
        count += 1
    assert count == reports


def test_less_valuable_of_two_causes_pauses():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3)
    add_filler(state, worker, 'c', 'same', excess=0.3, waited_ms=12_000)
    report(state, worker, 52.0)
    report(state, worker, 52.0)
    assert list_paused(worker) == ['c']


def test_nothing_changes_while_the_feature_is_off():
    state, worker = make_worker(is_on=False)
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=60_000)
    add_filler(state, worker, 'c', 'innocent', excess=0.0)
    for _ in range(4):
        report(state, worker)
    assert not list_paused(worker)
    report(state, worker)
    report(state, worker)
    assert list_paused(worker) == ['b', 'c']
    assert not worker.harm_budget.misses


def test_pause_is_logged_and_counted():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=60_000)
    effects = report(state, worker)
    logged = next(one for one in effects if isinstance(one, LogDecision))
    assert logged.fields['shed'] == ['b.0.0.0']
    assert logged.fields['cost'] > logged.fields['gain'] == 0
    assert logged.fields['burn_rate'] > 0
    assert state.counters['harm_runs_shed'] == 1


def test_missed_time_and_unearned_value_are_counted():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3)
    add_filler(state, worker, 'c', 'innocent', excess=0.0)
    for _ in range(5):
        report(state, worker)
    assert state.counters['harm_missed_ms'] == 4 * REPORT_MS
    assert state.counters['harm_shed_core_ms'] > 0


# -- how runs resume ----------------------------------------------------------


def test_causes_resume_one_by_one_with_the_slack():
    state, worker = make_worker()
    for job_id in ('b', 'c'):
        add_filler(state, worker, job_id, job_id, excess=0.05, waited_ms=60_000)
    report(state, worker)
    assert list_paused(worker) == ['b', 'c']
    counts = []
    for _ in range(8):
        report(state, worker, 20.0)
        counts.append(len(list_paused(worker)))
    assert counts[0] == 2
    assert 1 in counts
    assert counts[-1] == 0


def test_cause_stays_paused_while_the_slack_does_not_suffice():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.9, waited_ms=60_000)
    report(state, worker)
    for _ in range(3):
        report(state, worker, MET_MS)
    assert list_paused(worker) == ['b']


# -- moves to other workers ---------------------------------------------------


@pytest.mark.parametrize('checkpointing', [True, False])
def test_cause_with_checkpoints_moves_at_once(checkpointing):
    state, worker = make_worker(workers=2)
    state.workers['w1'].answered_ms = state.now_ms
    attempt = add_filler(
        state,
        worker,
        'b',
        'guilty',
        excess=0.3,
        checkpointing=checkpointing,
    )
    attempt.progress_percent = 40
    while not list_paused(worker):
        report(state, worker)
    is_stopping = attempt.state is AttemptState.STOPPING
    assert is_stopping is checkpointing


def test_causes_move_one_at_a_time():
    state, worker = make_worker(workers=2)
    for job_id in ('b', 'c'):
        add_filler(
            state,
            worker,
            job_id,
            job_id,
            excess=0.05,
            waited_ms=12_000,
            checkpointing=True,
        )
    report(state, worker)
    assert list_paused(worker) == ['b', 'c']
    states = [one.state for one in worker.fillers.values()]
    assert states.count(AttemptState.STOPPING) == 1


# -- the hard limit -----------------------------------------------------------


def miss_until_paused(state, worker, every_ms, tick_ms=50):
    """Return how long a miss lasts until all runs are ordered to pause."""
    began_ms = state.now_ms
    report(state, worker, MET_MS)
    began_ms = state.now_ms
    while len(list_paused(worker)) < len(worker.fillers):
        state.now_ms += tick_ms
        if not (state.now_ms - began_ms) % every_ms:
            state.now_ms -= REPORT_MS
            report(state, worker)
        _pacing.tick(Context(state))
        assert state.now_ms - began_ms < 2 * LIMIT_MS
    return state.now_ms - began_ms


# Guards against a model that names no cause, and reports that arrive late.
@pytest.mark.parametrize('every_ms', [400, 700, 1000])
@pytest.mark.parametrize('limit_ms', [3000, 4000, 4500])
def test_all_runs_pause_in_time(every_ms, limit_ms):
    state, worker = make_worker(limit_ms)
    state.ownership.taken_ms = -60_000
    for job_id in ('b', 'c'):
        add_filler(state, worker, job_id, job_id, excess=0.0)
    # A pace, a lost order and the recovery of a tail take 1,700 ms.
    assert miss_until_paused(state, worker, every_ms) <= limit_ms - 1700


# Guards against a miss that is timed from the first report of a new owner.
def test_new_owner_pauses_all_runs_at_the_first_report_of_a_miss():
    state, worker = make_worker()
    state.ownership.taken_ms = state.now_ms
    add_filler(state, worker, 'b', 'guilty', excess=0.3)
    add_filler(state, worker, 'c', 'innocent', excess=0.0)
    report(state, worker)
    assert list_paused(worker) == ['b', 'c']


def test_runs_without_a_recent_report_pause():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3)
    report(state, worker, MET_MS)
    state.now_ms += 1700
    context = Context(state)
    _pacing.tick(context)
    assert list_paused(worker) == ['b']
    assert get_paces(context.effects) == [('b', 0)]


# -- paces that are not confirmed ---------------------------------------------


# Guards against a lost order that is only sent again at the next report.
def test_unconfirmed_pause_is_sent_again_between_reports():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=60_000)
    effects = report(state, worker, confirms=False)
    assert get_paces(effects) == [('b', 0)]
    sent = []
    for _ in range(10):
        state.now_ms += 50
        context = Context(state)
        _pacing.tick(context)
        sent.extend(get_paces(context.effects))
    assert sent == [('b', 0)]


# Guards against further pauses while an earlier one is not in force: the tails
# do not show yet what it changes.
def test_unconfirmed_pause_is_not_in_force():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=60_000)
    report(state, worker, 52.0, confirms=False)
    assert list_paused(worker) == ['b']
    add_filler(state, worker, 'c', 'second', excess=0.3)
    report(state, worker, 52.0, confirms=False)
    report(state, worker, 52.0, confirms=False)
    assert list_paused(worker) == ['b']
    # The hard limit does not wait for the confirmation.
    for _ in range(4):
        report(state, worker, confirms=False)
    assert list_paused(worker) == ['b', 'c']


# Guards against a miss of 5 s: runs that started right after others had ended
# prolonged it, and it was timed anew.
def test_miss_goes_on_while_one_run_follows_another():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'first', excess=0.0)
    for _ in range(4):
        report(state, worker)
    worker.fillers.clear()
    report(state, worker)
    add_filler(state, worker, 'c', 'second', excess=0.0)
    report(state, worker)
    assert list_paused(worker) == ['c']


# Guards against a failure of the unit at a second miss on such a worker.
def test_miss_that_begins_after_the_last_run_is_ignored():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'first', excess=0.0)
    for _ in range(2):
        report(state, worker)
    worker.fillers.clear()
    make_attempt(worker, make_service_request(), 'd', load=MISSED_MS)
    report(state, worker)
    assert [run_id[0].job_id for run_id in worker.harm_budget.misses] == ['a']


# Guards against runs that pause for a miss that no neighbour causes.
def test_miss_that_outlasts_all_runs_is_dropped():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=60_000)
    report(state, worker)
    worker.fillers.clear()
    for _ in range(6):
        report(state, worker)
    assert not worker.harm_budget.misses
    assert not worker.harm_budget.shed
    add_filler(state, worker, 'c', 'second', excess=0.0)
    report(state, worker)
    assert not list_paused(worker)


# -- where runs are placed ----------------------------------------------------


def score(state, worker, waited_ms, image='batch'):
    """Return the cost of a worker for a task of a job that has waited."""
    step = Step(1, Resources(1000, 1000), image=image, opportunistic=True)
    make_job(state, 'new', state.now_ms - waited_ms, (step,))
    task = Task(TaskKey('new', 0, 0, 0))
    return score_idle(InterferencePolicy(), worker, task, step, state)


# The task is in time, late, or of no value. The slack is about 0.2.
@pytest.mark.parametrize(
    ('excess', 'accepted'),
    [
        (0.01, [True, True, True]),
        (0.07, [True, True, False]),
        (0.15, [True, False, False]),
        (0.5, [False, False, False]),
    ],
)
def test_late_tasks_use_up_a_smaller_share_of_the_slack(excess, accepted):
    state, worker = make_worker()
    report(state, worker, 20.0)
    set_sibling_tails(state, 20.0)
    set_pair(state, 'web', 'batch', excess)
    slack = _interference.get_slack(worker, state)['web']
    assert 0.16 < slack < 0.3
    scores = [score(state, worker, one) for one in (0, 12_000, 60_000)]
    assert [one is not None for one in scores] == accepted


def test_late_tasks_use_up_all_of_the_slack_while_the_feature_is_off():
    state, worker = make_worker(is_on=False)
    report(state, worker, 20.0)
    set_sibling_tails(state, 20.0)
    set_pair(state, 'web', 'batch', 0.15)
    assert score(state, worker, 60_000) is not None


def test_no_run_starts_beside_a_miss_that_nears_the_limit():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.0)
    set_pair(state, 'web', 'batch', 0.0)
    report(state, worker)
    assert score(state, worker, 0) is not None
    for _ in range(4):
        report(state, worker)
    assert score(state, worker, 0) is None


def test_tail_over_half_a_second_keeps_a_miss_open():
    state, worker = make_worker()
    add_filler(state, worker, 'b', 'guilty', excess=0.3, waited_ms=60_000)
    report(state, worker)
    attempt = next(iter(worker.serving.values()))
    for _ in range(3):
        state.now_ms += REPORT_MS
        set_sibling_tails(state, ALONE_MS)
        _tail_latency.update_tail(attempt, 90.0, state.now_ms)
        attempt.tail_ms = 20.0
        _pacing.adjust(worker, Context(state))
    assert worker.harm_budget.misses
    assert list_paused(worker) == ['b']
