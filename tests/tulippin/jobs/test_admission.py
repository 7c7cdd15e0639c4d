"""Which jobs are rejected, and when nothing is."""

import attrs
import pytest

from tulippin.jobs import _admission_inputs
from tulippin.jobs.admission import Admission, UnitLoad
from tulippin.jobs.records import (
    LeaseRecord,
    QueueBacklog,
    Unit,
    UnitCapacity,
)
from tulippin.jobs.state import SchedulerConfig, SchedulerState
from tulippin.jobs.types import JobRequest, Queue, Schedule, Step
from tulippin.types import Resources

NOW_MS = 100_000
URGENT = Queue('u', 'host', '/u/', 's', 0, 3, 1.5, 250)
QUEUE = Queue('o', 'host', '/o/', 's', 2, 2, 2.0, 1000)
OTHER_SERVICE = Queue('x', 'host', '/x/', 't', 0)
QUEUES = (URGENT, QUEUE, OTHER_SERVICE)
STEP = Step(20, Resources(1000, 1000), estimated_ms=1000, opportunistic=True)
REQUEST = JobRequest('', (STEP, attrs.evolve(STEP, after=(0,))))
# With a chain of 2 s the objective is 5 s, and a job is rejected from 18.75 s.
RATE = 10_000
JOB = '00000000000000aa'


def make_backlog(wait_s, timely_s=9, rate=RATE, ratio=1.0):
    timely = min(wait_s, timely_s)
    return QueueBacklog(wait_s * RATE, timely * RATE, rate or None, ratio)


def make_load(number=0, age_ms=300, backlogs=None, wait_s=60, **options):
    if backlogs is None:
        backlogs = {QUEUE.name: make_backlog(wait_s)}
    return UnitLoad(
        number, age_ms, NOW_MS - age_ms, backlogs=backlogs, **options
    )


def assess_all(*loads, request=REQUEST, admission=None, calls=20, queue=QUEUE):
    """Return the rejections of some calls with different ids."""
    admission = admission or Admission()
    found = []
    for number in range(calls):
        rejection = admission.assess(
            f'{number:016x}', queue, request, loads, QUEUES, NOW_MS
        )
        if rejection is not None:
            admission.reject(rejection, NOW_MS)
            found.append(rejection)
    return found


def test_job_that_would_be_of_no_value_is_rejected():
    rejections = assess_all(make_load())
    assert rejections
    described = rejections[0].describe()
    assert described['queue'] == QUEUE.name
    assert described['predicted_ms'] == 62_000
    assert described['allowed_ms'] == 15_000
    assert described['lease_age_ms'] == 300


@pytest.mark.parametrize('wait_s', [0, 2, 8, 13, 16])
def test_job_that_may_have_value_is_admitted(wait_s):
    """Guards against rejections within the margin of the prediction."""
    assert not assess_all(make_load(wait_s=wait_s))


@pytest.mark.parametrize('timely_s', [0, 3, 8])
def test_job_that_can_still_be_in_time_is_admitted(timely_s):
    """Guards against a rejection for work that is placed after the job."""
    backlogs = {QUEUE.name: make_backlog(60, timely_s)}
    assert not assess_all(make_load(backlogs=backlogs))


def test_only_the_required_share_is_rejected():
    """Guards against a queue that runs empty as every call is rejected."""
    # The backlog is acceptable at 10 s: 21 of 30 s would have to go.
    rejections = assess_all(make_load(wait_s=28), calls=300)
    assert len(rejections) == pytest.approx(200, abs=2)


@pytest.mark.parametrize(
    'loads',
    [
        (make_load(), make_load(1, age_ms=1501)),
        (make_load(), make_load(1, is_settled=False)),
        (make_load(), make_load(1, backlogs={})),
        (make_load(), UnitLoad(1, 300, NOW_MS - 300)),
        (make_load(backlogs={'o': make_backlog(60, rate=0)}),),
        (make_load(backlogs={'o': make_backlog(60)._replace(run_ratio=None)}),),
        (make_load(backlogs={'o': QueueBacklog(10**6, 10**6, 0, 1.0)}),),
        (make_load(is_usable=False),),
        (make_load(), make_load(1, may_start=True)),
        (),
    ],
    ids=[
        'lease too old',
        'taken over',
        'short queue in one unit',
        'owner without figures',
        'rate unknown',
        'run times unknown',
        'nothing completed',
        'no usable unit',
        'may start in one unit',
        'no units',
    ],
)
def test_nothing_is_rejected_without_certain_figures(loads):
    """Guards against rejections by figures that are old or say nothing."""
    assert not assess_all(*loads)


def test_unusable_unit_does_not_prevent_rejections():
    """An evacuated unit completes nothing, and takes no jobs."""
    assert assess_all(make_load(), make_load(1, backlogs={}, is_usable=False))


@pytest.mark.parametrize(
    'request_',
    [
        JobRequest('', (attrs.evolve(STEP, long_running=True),)),
        JobRequest('', (STEP, attrs.evolve(STEP, long_running=True))),
        JobRequest('', (STEP,), Schedule(0, 1000, 3)),
        JobRequest('', (STEP,), Schedule(10**12)),
        JobRequest('', (attrs.evolve(STEP, estimated_ms=0),)),
    ],
    ids=['long-running', 'mixed', 'scheduled', 'later', 'no estimate'],
)
def test_jobs_without_a_predictable_time_are_admitted(request_):
    assert not assess_all(make_load(), request=request_)


def test_work_before_the_queue_in_priority_counts():
    """A long queue of higher priority counts, with the rate that it has."""
    own = {QUEUE.name: make_backlog(14)}
    long = {**own, URGENT.name: make_backlog(60)}
    short = {**own, URGENT.name: make_backlog(60, rate=0)}
    other = {**own, OTHER_SERVICE.name: make_backlog(60)}
    assert assess_all(make_load(backlogs=long))
    assert not assess_all(make_load(backlogs=short))
    assert not assess_all(make_load(backlogs=other))
    # Work of lower priority doesn't precede an urgent job.
    lower = {QUEUE.name: make_backlog(60), URGENT.name: make_backlog(1)}
    assert not assess_all(make_load(backlogs=lower), queue=URGENT)


def test_rejections_go_on_until_the_prediction_is_low():
    """Guards against an admission that changes with every lease."""
    admission = Admission()
    between = make_load(wait_s=15)
    assert not assess_all(between, admission=admission)
    assert assess_all(make_load(), admission=admission)
    # 17 s are above 1.1 times the limit of 15 s, and below 1.25 times.
    assert assess_all(between, admission=admission)
    assert not assess_all(make_load(wait_s=7), admission=admission)
    assert not assess_all(between, admission=admission)


def test_work_sent_since_the_lease_counts_as_waiting():
    """Guards against a burst that is admitted whole between two leases."""
    admission = Admission()
    load = make_load(wait_s=16)
    assert not assess_all(load, admission=admission)
    for number in range(2):
        admission.note_sent(f'{number}', QUEUE, REQUEST, load)
    assert assess_all(load, admission=admission)
    newer = attrs.evolve(load, seen_ms=load.seen_ms + 500)
    admission.controls.clear()
    assert not assess_all(newer, admission=admission)


def test_time_of_a_rejected_job_counts_from_its_first_call():
    """Guards against a returned job that counts as a new one.

    It would precede jobs that can still be in time, and be of no value.
    """
    admission = Admission()
    (load,) = (make_load(),)
    rejection = None
    while rejection is None:
        rejection = admission.assess(JOB, QUEUE, REQUEST, [load], QUEUES, 0)
    retry_s = admission.reject(rejection, 0)
    assert 1 <= retry_s <= 10
    assert admission.get_elapsed_ms(JOB, 4000) == 4000
    assert admission.get_elapsed_ms('other', 4000) == 0
    # Whoever comes back much later begins anew.
    assert admission.get_elapsed_ms(JOB, 61_000) == 0
    again = None
    while again is None:
        again = admission.assess(JOB, QUEUE, REQUEST, [load], QUEUES, 4000)
    assert again.outlook.allowed_ms == 11_000
    assert admission.rejected == {QUEUE.name: 1}


def test_return_is_within_the_time_that_the_job_has_value():
    """A job with an objective of 5 s and a chain of 2 s has value for 15 s."""
    admission = Admission()
    for number in range(200):
        rejection = admission.assess(
            f'{number}', QUEUE, REQUEST, [make_load()], QUEUES, NOW_MS
        )
        if rejection is not None:
            assert 1 <= admission.reject(rejection, NOW_MS) <= 10


def test_memory_is_bounded():
    admission = Admission()
    load = make_load()
    for number in range(10_050):
        admission.note_sent(f'{number}', QUEUE, REQUEST, load)
    assert len(admission.sent_ids) == 10_000
    assert '10049' in admission.sent_ids


# -- what leases say ----------------------------------------------------------


@attrs.define
class UnitStub:
    lease: LeaseRecord | None
    lease_seen_ms: int = NOW_MS - 300
    is_owner: bool = False
    config: SchedulerConfig = SchedulerConfig('i', 'i:1', unit=Unit(3))
    state: SchedulerState = attrs.field(
        factory=lambda: SchedulerState(SchedulerConfig('i', 'i:1'))
    )


def make_lease(**options):
    fields = {
        'renewal_count': 6,
        'room': UnitCapacity(10_000, waiting_millicores={'web': 100}),
        'backlogs': {'o': make_backlog(3)},
        **options,
    }
    return LeaseRecord('s', 'o', **fields)


def read_load(lease, image='web', **options):
    request = JobRequest('', (attrs.evolve(STEP, image=image),))
    return _admission_inputs.make_load(
        UnitStub(lease, **options), request, NOW_MS
    )


def test_lease_gives_the_load_of_its_unit():
    load = read_load(make_lease())
    assert (load.number, load.lease_age_ms, load.seen_ms) == (3, 300, 99_700)
    assert load.is_settled
    assert load.is_usable
    assert not load.may_start
    assert load.backlogs == {'o': make_backlog(3)}


@pytest.mark.parametrize(
    'lease',
    [
        None,
        make_lease(is_loading=True),
        make_lease(released=True),
        make_lease(renewal_count=5),
    ],
    ids=['none', 'loading', 'released', 'taken over'],
)
def test_unit_whose_owner_changes_is_not_settled(lease):
    assert not read_load(lease).is_settled


def test_owner_that_must_confirm_is_not_settled():
    """Guards against decisions of an instance that was suspended."""
    stub = UnitStub(make_lease(), is_owner=True)
    stub.state.ownership.renewed_ms = NOW_MS - 100
    request = JobRequest('', (STEP,))
    load = _admission_inputs.make_load(stub, request, NOW_MS)
    assert load.is_settled
    assert load.lease_age_ms == 100
    stub.state.ownership.must_confirm = True
    load = _admission_inputs.make_load(stub, request, NOW_MS)
    assert not load.is_settled


def test_job_may_start_where_its_image_does_not_wait():
    """Guards against rejecting what passes by the tasks of other images."""
    assert read_load(make_lease(), image='batch').may_start


@pytest.mark.parametrize(('fit_count', 'may_start'), [(19, False), (20, True)])
def test_job_that_reserves_may_start_where_it_fits(fit_count, may_start):
    room = UnitCapacity(10_000, places=(fit_count,))
    request = JobRequest('', (attrs.evolve(STEP, opportunistic=False),))
    stub = UnitStub(make_lease(room=room))
    load = _admission_inputs.make_load(stub, request, NOW_MS)
    assert load.may_start is may_start
