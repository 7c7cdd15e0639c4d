"""Targets missed without neighbours, decided on states made by hand."""

import pytest

from tulippin.jobs import _own_misses, _pacing, _slow_start
from tulippin.jobs._attempts import add_attempt, drop_attempt
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Phase,
    SchedulerConfig,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import Step, TaskKey, WorkerEntry
from tulippin.types import Resources

NOW_MS = 100_000
TARGET_MS = 50
# The ratio of the tail to the target that neighbours have no part in.
OWN_RATIO = 1.2
OWN_TAIL_MS = OWN_RATIO * TARGET_MS
# Time without working runs after which a tail shows nothing of them.
SETTLING_MS = 1000
# Time for which a miss measured without neighbours explains one beside them.
VALID_MS = 2000
# Time that a report covers.
REPORT_MS = 600
REPORT_INTERVAL_MS = 400
# How long users accept a target missed because of opportunistic tasks.
MAX_HARM_MS = 4000


def make_state():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    state.ownership.phase = Phase.ACTIVE
    entry = WorkerEntry('w0', 's', 'a', 'z', Resources(10_000, 64_000))
    worker = state.workers['w0'] = Worker(entry)
    worker.is_rostered = True
    worker.is_reconciled = True
    return state, worker


def add_run(worker, step, job_id, /, **fields):
    key = TaskKey(job_id, 0, 0, 0)
    fields = {'state': AttemptState.RUNNING, **fields}
    attempt = Attempt(key, 1, 'w0', step, 2, sent_ms=NOW_MS - 5000, **fields)
    add_attempt(attempt, Task(key), worker)
    return attempt


def add_serving(worker, tail_ms=OWN_TAIL_MS):
    step = Step(
        1,
        Resources(2000, 1000),
        image='web',
        target_ms=TARGET_MS,
        long_running=True,
    )
    return add_run(worker, step, 'a', tail_ms=tail_ms)


def add_filler(worker, job_id='b', /, **fields):
    step = Step(1, Resources(1000, 1000), image='batch', opportunistic=True)
    return add_run(worker, step, job_id, **fields)


def add_paused(worker, job_id='b'):
    return add_filler(worker, job_id, pace_percent=0, target_pace_percent=0)


def note(state, worker, ratio, after_ms=0):
    state.now_ms += after_ms
    _own_misses.note(worker, ratio, state)


def measure(state, worker, ratio=OWN_RATIO):
    """Note a ratio at the beginning and the end of the time it takes."""
    note(state, worker, ratio)
    note(state, worker, ratio, SETTLING_MS)


# -- measuring without neighbours ---------------------------------------------


@pytest.mark.parametrize(
    ('quiet_ms', 'is_own'), [(0, False), (999, False), (1000, True)]
)
def test_miss_is_own_only_after_a_second_without_working_runs(quiet_ms, is_own):
    state, worker = make_state()
    note(state, worker, OWN_RATIO)
    note(state, worker, OWN_RATIO, quiet_ms)
    assert _own_misses.is_own_miss(worker, state) == is_own


def test_working_run_restarts_the_time_without_any():
    state, worker = make_state()
    note(state, worker, OWN_RATIO)
    attempt = add_filler(worker)
    note(state, worker, OWN_RATIO, 500)
    drop_attempt(attempt, Context(state))
    note(state, worker, OWN_RATIO, 400)
    note(state, worker, OWN_RATIO, SETTLING_MS - 1)
    assert not _own_misses.is_own_miss(worker, state)
    note(state, worker, OWN_RATIO, 1)
    assert _own_misses.is_own_miss(worker, state)


def test_confirmed_pauses_leave_a_worker_without_working_runs():
    state, worker = make_state()
    add_paused(worker)
    add_paused(worker, 'c')
    measure(state, worker)
    assert _own_misses.is_own_miss(worker, state)


def test_run_whose_resumption_is_unanswered_may_cause_a_miss():
    state, worker = make_state()
    attempt = add_paused(worker)
    note(state, worker, OWN_RATIO, SETTLING_MS)
    attempt.target_pace_percent = 10
    attempt.pace_sent_ms = state.now_ms
    note(state, worker, OWN_RATIO, SETTLING_MS)
    assert not _own_misses.is_own_miss(worker, state)


def test_run_that_ends_between_two_reports_may_cause_a_miss():
    state, worker = make_state()
    note(state, worker, 0.5)
    note(state, worker, 0.5, SETTLING_MS)
    attempt = add_filler(worker)
    state.now_ms += REPORT_INTERVAL_MS
    drop_attempt(attempt, Context(state))
    note(state, worker, OWN_RATIO)
    assert not _own_misses.is_own_miss(worker, state)


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'pace_percent': None},
        {'pace_percent': 10},
        {'state': AttemptState.STARTING},
        {'state': AttemptState.STARTING, 'pace_percent': 0},
        {'state': AttemptState.DOUBTFUL},
        {'state': AttemptState.STOPPING},
    ],
)
def test_run_without_a_confirmed_pause_may_cause_a_miss(fields):
    state, worker = make_state()
    add_paused(worker)
    paced = {'pace_percent': 100, 'target_pace_percent': 0, **fields}
    add_filler(worker, 'c', **paced)
    measure(state, worker)
    assert not _own_misses.is_own_miss(worker, state)
    assert _own_misses.get_pace_percent(worker, state) == 0


def test_worker_without_serving_tasks_misses_nothing():
    state, worker = make_state()
    add_paused(worker)
    for _ in range(5):
        _pacing.adjust(worker, Context(state))
        state.now_ms += REPORT_INTERVAL_MS
    assert not _own_misses.is_own_miss(worker, state)
    assert not _own_misses.is_measuring(worker, state)
    assert not _own_misses.is_closed(worker, state)


# -- what a measured miss explains --------------------------------------------


def test_own_miss_explains_a_miss_for_two_seconds_and_no_longer():
    state, worker = make_state()
    measure(state, worker)
    worker.targets_missed_since_ms = state.now_ms
    add_filler(worker, pace_percent=10)
    state.now_ms += VALID_MS - 1
    assert _own_misses.is_own_miss(worker, state)
    assert _own_misses.get_pace_percent(worker, state) == 10
    assert not _own_misses.is_closed(worker, state)
    state.now_ms += 1
    assert not _own_misses.is_own_miss(worker, state)
    assert _own_misses.get_pace_percent(worker, state) == 0
    assert _own_misses.is_closed(worker, state)


def test_report_beside_a_working_run_extends_no_own_miss():
    state, worker = make_state()
    measure(state, worker)
    add_filler(worker, pace_percent=10)
    for _ in range(5):
        note(state, worker, OWN_RATIO, REPORT_INTERVAL_MS)
    assert not _own_misses.is_own_miss(worker, state)


def test_worker_is_measuring_until_a_miss_is_explained_again():
    state, worker = make_state()
    assert not _own_misses.is_measuring(worker, state)
    measure(state, worker)
    state.now_ms += VALID_MS
    assert _own_misses.is_measuring(worker, state)
    state.now_ms += VALID_MS
    assert not _own_misses.is_measuring(worker, state)


@pytest.mark.parametrize('ratio', [0.5, 0.97])
def test_met_target_clears_an_own_miss(ratio):
    state, worker = make_state()
    measure(state, worker)
    note(state, worker, ratio, REPORT_INTERVAL_MS)
    assert not _own_misses.is_own_miss(worker, state)
    assert not _own_misses.is_measuring(worker, state)
    assert _own_misses.get_pace_percent(worker, state) == 0


def test_unexplained_miss_closes_a_worker_to_slow_starts():
    state, worker = make_state()
    assert not _own_misses.is_closed(worker, state)
    worker.targets_missed_since_ms = state.now_ms
    assert _own_misses.is_closed(worker, state)


def test_own_miss_is_not_attributed_to_slow_starts():
    state, worker = make_state()
    add_filler(worker, pace_percent=10, is_slow_start=True)
    worker.own_miss_ratio = OWN_RATIO
    worker.own_miss_ms = state.now_ms
    _slow_start.note_miss(worker, state)
    assert worker.slow_miss_ms == 0
    state.now_ms += VALID_MS
    _slow_start.note_miss(worker, state)
    assert worker.slow_miss_ms == state.now_ms


# -- the pace beside an own miss ----------------------------------------------


def note_paces(state, worker, ratios):
    """Note ratios beside a working run; return the paces that they permit."""
    measure(state, worker)
    worker.pace_changed_ms = state.now_ms
    add_filler(worker, pace_percent=10)
    paces = []
    for ratio in ratios:
        note(state, worker, ratio, REPORT_MS)
        paces.append(_own_misses.get_pace_percent(worker, state))
        worker.pace_changed_ms = state.now_ms
    return paces


def test_pace_rises_while_the_tail_stays_within_a_tenth():
    state, worker = make_state()
    ratios = [OWN_RATIO * rise for rise in (1.0, 1.09, 1.09)]
    assert note_paces(state, worker, ratios) == [20, 50, 50]


@pytest.mark.parametrize('raised', [0, 1, 2])
def test_pace_falls_back_when_the_tail_rises_by_more_than_a_tenth(raised):
    state, worker = make_state()
    ratios = [OWN_RATIO] * raised + [OWN_RATIO * 1.11]
    assert note_paces(state, worker, ratios)[-1] == 10


def test_pace_is_raised_only_once_a_report_covers_the_last_change():
    state, worker = make_state()
    measure(state, worker)
    worker.pace_changed_ms = state.now_ms
    add_filler(worker, pace_percent=10)
    note(state, worker, OWN_RATIO, REPORT_MS - 1)
    assert _own_misses.get_pace_percent(worker, state) == 10
    note(state, worker, OWN_RATIO, 1)
    assert _own_misses.get_pace_percent(worker, state) == 20


def test_pace_starts_anew_after_an_own_miss_has_expired():
    state, worker = make_state()
    assert note_paces(state, worker, [OWN_RATIO] * 2) == [20, 50]
    note(state, worker, OWN_RATIO, VALID_MS)
    worker.fillers.clear()
    measure(state, worker)
    assert _own_misses.get_pace_percent(worker, state) == 10


def play(added_ms, missed_for_ms=5000, for_ms=20_000):
    """Report every 400 ms a tail of own load that runs add to by their pace.

    The target has been missed for a while before.

    Returns
    -------
    list of tuple
        The pace of the run at each report, and for how long it has worked, in
        ms.
    """
    state, worker = make_state()
    serving = add_serving(worker)
    attempt = add_paused(worker)
    if missed_for_ms:
        worker.targets_missed_since_ms = NOW_MS - missed_for_ms
    found = []
    working_since_ms = None
    while state.now_ms < NOW_MS + for_ms:
        pace = attempt.pace_percent
        serving.tail_ms = OWN_TAIL_MS + added_ms * pace / 100
        _pacing.adjust(worker, Context(state))
        if not pace:
            working_since_ms = None
        elif working_since_ms is None:
            working_since_ms = state.now_ms
        found.append((pace, state.now_ms - (working_since_ms or state.now_ms)))
        attempt.pace_percent = attempt.target_pace_percent
        state.now_ms += REPORT_INTERVAL_MS
    return found


def test_run_beside_a_miss_by_own_load_works_and_pauses_to_measure_it():
    found = play(added_ms=0.0)
    paces = [pace for pace, _ in found]
    assert {0, 10, 20, 50} == set(paces)
    # It works again in every window of the time that is given for measuring.
    window = MAX_HARM_MS // REPORT_INTERVAL_MS
    for first in range(window, len(paces) - window):
        assert any(paces[first : first + window])


@pytest.mark.parametrize('missed_for_ms', [0, 5000])
@pytest.mark.parametrize('added_ms', [0.0, 40.0, 200.0])
def test_run_beside_a_miss_by_own_load_pauses_before_users_are_harmed(
    added_ms, missed_for_ms
):
    found = play(added_ms, missed_for_ms)
    assert any(pace for pace, _ in found)
    longest_ms = max(worked_ms for _, worked_ms in found)
    assert longest_ms + REPORT_INTERVAL_MS < MAX_HARM_MS


def test_run_that_raises_a_missed_tail_gets_no_higher_pace():
    paces = [pace for pace, _ in play(added_ms=200.0)]
    assert {0, 10} == set(paces)


def test_runs_pause_at_a_tick_once_the_last_reading_has_expired():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    entry = WorkerEntry('w0', 's', 'a', 'z', Resources(10_000, 64_000))
    worker = Worker(entry, own_miss_ratio=1.2, own_miss_ms=NOW_MS - 1999)
    worker.targets_missed_since_ms = NOW_MS - 5000
    assert not _own_misses.is_unexplained(worker, state)
    state.now_ms += 1
    assert _own_misses.is_unexplained(worker, state)
    state.now_ms += 2000
    assert not _own_misses.is_unexplained(worker, state)
    state.now_ms -= 2000
    worker.targets_missed_since_ms = 0
    assert not _own_misses.is_unexplained(worker, state)


def test_tail_that_just_meets_its_target_permits_the_slowest_pace():
    state = SchedulerState(SchedulerConfig('i', 'i:1'), now_ms=NOW_MS)
    entry = WorkerEntry('w0', 's', 'a', 'z', Resources(10_000, 64_000))
    worker = Worker(entry, own_miss_ratio=0.98, own_miss_ms=NOW_MS)
    worker.own_miss_percent = 50
    assert _own_misses.get_pace_percent(worker, state) == 2
    worker.own_miss_ratio = 1.01
    assert _own_misses.get_pace_percent(worker, state) == 50
