"""What an owner publishes of the backlog of its queues."""

import attrs
import pytest
from test_scheduler_decisions import NOW_MS, make_job, make_state

from tulippin.codec_json import decode, encode
from tulippin.jobs import _backlog, _ready_queues
from tulippin.jobs._record_validation import find_fault
from tulippin.jobs.features import Features
from tulippin.jobs.records import LeaseRecord, QueueBacklog, RunTimeRecord
from tulippin.jobs.state import Task
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources

RUN_MS = 2000
STEP = Step(10, Resources(1500, 100), estimated_ms=1000, opportunistic=True)
# Work of one task.
TASK_CORE_MS = 3000


def make_measured():
    """Return a state that measures backlogs, with known run times."""
    state = make_state()
    features = Features(has_admission=True)
    state.config = attrs.evolve(state.config, features=features)
    state.run_times_ms['q'] = float(RUN_MS)
    return state


def add_job(state, job_id='a', queued=10, step=STEP, age_ms=0, steps=None):
    """Add a job with its first step open, and some of its tasks queued."""
    job = make_job(state, job_id, NOW_MS - age_ms, steps or (step,))
    for number, one in enumerate(job.request.steps):
        job.remaining[0, number] = one.task_count
    job.opened_steps.add((0, 0))
    for index in range(queued):
        key = TaskKey(job_id, 0, 0, index)
        _ready_queues.add(Task(key), job.request.steps[0], state)
    return job


def run_long(state, *, ends_per_s=8, seconds=7):
    """Measure twice a second while tasks end; return the last figures."""
    job = state.jobs['a']
    for _ in range(2 * seconds):
        state.now_ms += 500
        for _ in range(ends_per_s // 2):
            _backlog.note_done(job, STEP, state)
        found = _backlog.measure(state)
    return found['q']


def test_work_is_that_of_all_tasks_that_have_not_ended():
    """Tasks that run count half, those of later steps whole."""
    state = make_measured()
    later = attrs.evolve(STEP, after=(0,))
    job = add_job(state, queued=4, steps=(STEP, later))
    job.remaining[0, 0] = 8
    found = _backlog.measure(state)['q']
    assert found.waiting_core_ms == TASK_CORE_MS * (4 + 4 / 2 + 10)
    assert found.timely_core_ms == found.waiting_core_ms


def test_work_of_late_jobs_is_not_timely():
    """The objective of 2 x 2 s + 0.5 s can't be reached after 2.5 s."""
    state = make_measured()
    add_job(state, 'a', age_ms=2500)
    add_job(state, 'b', age_ms=2501)
    found = _backlog.measure(state)['q']
    assert found.waiting_core_ms == 2 * found.timely_core_ms


@pytest.mark.parametrize(
    'fields',
    [
        {'is_cancelled': True},
        {'moved_to': 3},
        {'is_transferred': True},
        {'opened_steps': set()},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_jobs_that_the_unit_does_not_run_are_not_counted(fields):
    state = make_measured()
    state.jobs['a'] = attrs.evolve(add_job(state), **fields)
    assert _backlog.measure(state) == {}


def test_long_running_tasks_are_not_counted():
    state = make_measured()
    add_job(state, step=attrs.evolve(STEP, long_running=True))
    assert _backlog.measure(state) == {}


def test_nothing_is_published_with_the_feature_off():
    state = make_state()
    job = add_job(state)
    _backlog.note_done(job, STEP, state)
    assert _backlog.measure(state) is None
    assert not state.completed_work


def test_rate_of_a_long_queue_is_what_was_completed():
    state = make_measured()
    add_job(state)
    found = run_long(state, ends_per_s=8)
    assert found.rate_core_ms_per_s == 8 * TASK_CORE_MS


def test_rate_is_unknown_until_the_queue_has_been_long():
    """Guards against a rate of tasks that started while it was short."""
    state = make_measured()
    add_job(state)
    # The window and a run time.
    assert run_long(state, seconds=6).rate_core_ms_per_s is None
    assert run_long(state, seconds=1).rate_core_ms_per_s


@pytest.mark.parametrize('queued', [0, 1, 3])
def test_rate_of_a_short_queue_is_unknown(queued):
    """Guards against taking the rate of arrivals for that of the unit.

    With most processors unused, a burst would look as if it took minutes.
    """
    state = make_measured()
    add_job(state, queued=queued)
    assert run_long(state, seconds=20).rate_core_ms_per_s is None


def test_queue_that_was_short_once_is_measured_anew():
    state = make_measured()
    add_job(state)
    assert run_long(state).rate_core_ms_per_s
    ready = dict(state.ready_opportunistic)
    state.ready_opportunistic.clear()
    state.jobs['a'].remaining[0, 0] = 0
    assert _backlog.measure(state) == {}
    state.jobs['a'].remaining[0, 0] = 10
    state.ready_opportunistic.update(ready)
    assert run_long(state, seconds=1).rate_core_ms_per_s is None


def test_owner_that_completes_nothing_publishes_a_rate_of_zero():
    state = make_measured()
    add_job(state)
    assert run_long(state, ends_per_s=0).rate_core_ms_per_s == 0


def test_run_ratio_follows_the_fit():
    state = make_measured()
    add_job(state)
    state.run_time_fits['q'] = RunTimeRecord(19, 6.0, 6.5)
    assert _backlog.measure(state)['q'].run_ratio is None
    state.run_time_fits['q'] = RunTimeRecord(20, 6.0, 6.5)
    ratio = _backlog.measure(state)['q'].run_ratio
    assert ratio == pytest.approx(1.6487, rel=1e-3)


def test_ends_are_dropped_after_the_window():
    """Guards against memory that grows with every task."""
    state = make_measured()
    add_job(state)
    run_long(state, ends_per_s=10, seconds=60)
    assert len(state.completed_work['q'].ends) <= 45


@pytest.mark.parametrize('estimated_ms', [0, 1, 10**15])
def test_any_job_gives_a_valid_lease(estimated_ms):
    """Guards against a job that makes its owner's lease unreadable."""
    state = make_measured()
    state.run_times_ms.clear()
    state.run_time_fits['q'] = RunTimeRecord(30, 0.0, 34.5)
    step = attrs.evolve(
        STEP,
        task_count=10**6,
        size=Resources(10**9, 1),
        estimated_ms=estimated_ms,
    )
    job = add_job(state, step=step)
    for _ in range(10):
        _backlog.note_done(job, step, state)
    lease = LeaseRecord('s', 'i', backlogs=_backlog.measure(state))
    decoded = decode(encode(lease), LeaseRecord)
    assert find_fault(decoded) == ''
    assert decoded == lease


def test_lease_of_an_earlier_version_has_no_backlogs():
    """Leases without the field are read, and say that it is unknown."""
    lease = decode(b'{"session_id":"s","instance_id":"i"}', LeaseRecord)
    assert lease.backlogs is None


def test_backlogs_take_little_of_the_row():
    """Seven leases are read by each of 32 instances twice a second."""
    backlogs = {
        f'r-xmdqpu{number}': QueueBacklog(1234567, 123456, 54321, 1.23456)
        for number in range(3)
    }
    lease = LeaseRecord('s', 'i')
    grown = attrs.evolve(lease, backlogs=backlogs)
    assert len(encode(grown)) - len(encode(lease)) < 150


INVALID_BACKLOGS = {
    'negative work': QueueBacklog(-1, -1),
    'negative timely work': QueueBacklog(5, -1),
    'more timely than waiting': QueueBacklog(5, 6),
    'negative rate': QueueBacklog(5, 0, -1),
    'work too large': QueueBacklog(10**31),
    'rate too large': QueueBacklog(5, 0, 10**31),
    'ratio of zero': QueueBacklog(5, 0, 1, 0.0),
    'negative ratio': QueueBacklog(5, 0, 1, -1.0),
    'ratio too large': QueueBacklog(5, 0, 1, 1e7),
    'no number': QueueBacklog(5, 0, 1, float('nan')),
}


@pytest.mark.parametrize(
    'backlog', INVALID_BACKLOGS.values(), ids=INVALID_BACKLOGS
)
def test_invalid_backlog_makes_a_lease_invalid(backlog):
    assert find_fault(LeaseRecord('s', 'i', backlogs={'q': backlog}))
