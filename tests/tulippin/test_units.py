"""Tests of single decisions on units, sessions and job operations."""

from tulippin import effects as fx
from tulippin import events as ev
from tulippin.messages import JobReply, JobReturned
from tulippin.testing import PEER, SESSION, SingleInstance
from tulippin.types import Holder, JobSpec, LeaseRow, cell_unit, range_unit

CELL = cell_unit('cell-0')
HOME_UNIT = range_unit(0)


def make_lease(session_id=PEER, version=1, **details):
    return LeaseRow(
        session_id,
        session_id.partition(':')[0],
        'domain-1',
        'instance-1',
        1,
        version=version,
        **details,
    )


def test_units_assigned_without_a_valid_lease_are_loaded_later():
    instance = SingleInstance()
    instance.now_ms += 6000
    instance.feed(ev.Ticked)
    assert instance.state.session.standing.value == 'suspect'
    units = dict(instance.state.ownership.units)
    instance.adopt({**units, range_unit(7): Holder(SESSION, 4)})
    assert range_unit(7) not in instance.state.ranges
    instance.tick()
    assert range_unit(7) in instance.state.ranges
    loads = [load.unit for load in instance.take(fx.LoadUnit)]
    assert loads.count(range_unit(7)) == 1


def test_silent_peer_is_taken_over_only_after_its_whole_lease():
    instance = SingleInstance()
    units = {**instance.state.ownership.units, range_unit(7): Holder(PEER, 1)}
    config = instance.state.config
    instance.adopt(units, (make_lease(),))
    started_ms = instance.now_ms
    while not instance.effects or not instance.take(fx.WriteOwnership):
        instance.tick(100)
        instance.adopt(units, (make_lease(),))
    waited_ms = instance.now_ms - started_ms
    assert waited_ms > config.lease_ms + config.lease_margin_ms


def test_renewing_peer_is_never_taken_over():
    instance = SingleInstance()
    units = {**instance.state.ownership.units, range_unit(7): Holder(PEER, 1)}
    for version in range(1, 200):
        instance.tick(100)
        instance.adopt(units, (make_lease(version=version // 40 + 1),))
    assert not instance.take(fx.WriteOwnership)


def test_takeover_raises_the_epoch_and_revokes_the_expired_lease():
    instance = SingleInstance()
    units = {**instance.state.ownership.units, range_unit(7): Holder(PEER, 3)}
    for _ in range(80):
        instance.tick(100)
        instance.adopt(units, (make_lease(version=9),))
    write = instance.take(fx.WriteOwnership)[0]
    holder = write.ownership.units[range_unit(7)]
    assert (holder.session_id, holder.epoch) == (SESSION, 4)
    assert holder.previous[0].session_id == PEER
    assert [lease.version for lease in write.revoke] == [9]


def test_surplus_units_are_handed_over_once_their_records_are_durable():
    instance = SingleInstance()
    units = {range_unit(number): Holder(SESSION, 1) for number in range(4)}
    instance.own(*units)
    units[CELL] = Holder(SESSION, 1)
    instance.adopt(units, (make_lease(),))
    instance.tick(2100)
    instance.adopt(units, (make_lease(version=2),))
    instance.tick(2100)
    write = instance.take(fx.WriteOwnership)[0]
    handed_over = [
        holder
        for holder in write.ownership.units.values()
        if holder.session_id == PEER
    ]
    assert len(handed_over) == 2
    assert all(holder.epoch == 2 and holder.base for holder in handed_over)
    assert len(write.bases) == 2


def test_refusal_of_an_earlier_try_does_not_end_a_job_call():
    instance = SingleInstance()
    instance.adopt({HOME_UNIT: Holder(PEER, 2)}, (make_lease(),))
    spec = JobSpec('job', 'team')
    instance.feed(ev.JobRequested, 5, 'submit', 'job', 'team', spec, 'd')
    instance.tick(1100)
    refused = JobReply('store_unavailable', None, 5000)
    message = JobReturned(5, refused, 1)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 1, (message,))
    assert not instance.take(fx.AnswerJob)
    message = JobReturned(5, refused, 2)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 2, (message,))
    assert instance.take(fx.AnswerJob)[0].reply.code == 'store_unavailable'


def test_messages_with_a_lower_sequence_number_are_dropped():
    instance = SingleInstance()
    instance.adopt({HOME_UNIT: Holder(PEER, 2)}, (make_lease(),))
    instance.feed(ev.JobRequested, 5, 'show', 'job')
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 7, ())
    reply = JobReturned(5, JobReply('ok'), 1)
    instance.feed(ev.PeerReceived, PEER, 'instance-1', 6, (reply,))
    assert not instance.take(fx.AnswerJob)


def test_job_that_never_fits_is_refused_with_a_code():
    from tulippin.types import Resources

    instance = SingleInstance()
    spec = JobSpec('huge', 'team', size=Resources(10**6, 1))
    instance.feed(ev.JobRequested, 5, 'submit', 'huge', 'team', spec, 'd')
    assert instance.take(fx.AnswerJob)[0].reply.code == 'never_fits'


def test_same_job_id_with_other_content_is_refused():
    instance = SingleInstance()
    spec = JobSpec('job', 'team')
    instance.feed(ev.JobRequested, 5, 'submit', 'job', 'team', spec, 'one')
    instance.commit_all()
    instance.feed(ev.JobRequested, 6, 'submit', 'job', 'team', spec, 'two')
    codes = [answer.reply.code for answer in instance.take(fx.AnswerJob)]
    assert codes == ['ok', 'job_id_reused']
