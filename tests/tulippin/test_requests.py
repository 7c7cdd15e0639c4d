"""Decisions of one instance about service requests, step by step."""

import pytest

from tulippin import effects as fx
from tulippin import events as ev
from tulippin.messages import (
    CellSummary,
    Gossip,
    RequestOutcome,
    ServiceRequest,
)
from tulippin.records import RequestOpened
from tulippin.state import PeerState
from tulippin.testing import SESSION, SingleInstance
from tulippin.types import (
    SERVICE_PRIORITY,
    JobKind,
    JobSpec,
    LeaseRow,
    OutcomeKind,
    Resources,
)
from tulippin.worker_types import RunReport, RunState

SERVICE = JobSpec(
    'service',
    'team',
    JobKind.SERVICE,
    'alerts',
    1,
    Resources(500, 512),
    0,
    SERVICE_PRIORITY,
)
RUNNING = RunReport('service/0', 1, RunState.RUNNING)


@pytest.fixture
def instance():
    single = SingleInstance()
    single.answer_first_syncs()
    single.feed(ev.JobRequested, 1, 'submit', 'service', 'team', SERVICE, 'd')
    single.commit_all()
    single.tick(200)
    single.commit_all()
    single.tick()
    single.report(RUNNING)
    single.tick()
    single.report(RUNNING)
    single.effects.clear()
    return single


def ask(instance, call_id, repeatable=False, request_id='r', wait_ms=1000):
    request = ServiceRequest(
        request_id,
        'team',
        'alerts',
        repeatable,
        'body',
        instance.now_ms + wait_ms,
        'digest',
    )
    instance.feed(ev.RequestArrived, call_id, request)


def reply(instance, call, kind=OutcomeKind.ANSWERED, body='answer'):
    instance.feed(
        ev.EndpointReplied,
        call.dispatch_id,
        RequestOutcome(kind, '', 200, body),
        1.0,
        False,
        call.request.request_id,
        len(body),
    )


def get_answers(instance):
    return [
        (answer.call_id, answer.outcome.kind.value, answer.outcome.code)
        for answer in instance.take(fx.AnswerRequest)
    ]


def test_non_repeatable_is_durable_before_it_is_sent(instance):
    ask(instance, 5)
    assert not instance.take(fx.CallEndpoint)
    commit = instance.take(fx.CommitJournal)[-1]
    assert any(
        isinstance(entry.record, RequestOpened) for entry in commit.records
    )
    instance.commit()
    assert len(instance.take(fx.CallEndpoint)) == 1


def test_same_id_gets_the_same_answer(instance):
    ask(instance, 5)
    instance.commit_all()
    reply(instance, instance.take(fx.CallEndpoint)[0])
    ask(instance, 6)
    instance.commit_all()
    ask(instance, 7)
    answers = get_answers(instance)
    assert answers == [
        (5, 'answered', ''),
        (6, 'answered', 'replayed'),
        (7, 'answered', 'replayed'),
    ]
    assert not instance.take(fx.CallEndpoint)


def report_cell(instance, services):
    """Let a peer report a cell that serves the given services."""
    row = LeaseRow('peer:1', 'peer', 'domain', '127.0.0.1:1', 1)
    peer = PeerState(row, 0, first_seen_ms=instance.now_ms)
    instance.state.peers['peer:1'] = peer
    sequence = instance.state.received_sequences.get('peer:1', 0) + 1
    size = Resources()
    summaries = tuple(
        CellSummary('elsewhere', 7, size, size, size, {name: 2})
        for name in services
    )
    gossip = Gossip(summaries, 0, 0, True)
    instance.feed(ev.PeerReceived, 'peer:1', 'peer', sequence, (gossip,))


@pytest.mark.parametrize('repeatable', [True, False])
def test_request_waits_while_its_only_cell_changes_owners(instance, repeatable):
    """The old owner no longer reports the cell, the new one not yet."""
    cells = dict(instance.state.cells)
    report_cell(instance, ['alerts'])
    report_cell(instance, [])
    instance.state.cells.clear()
    ask(instance, 5, repeatable)
    instance.commit_all()
    instance.tick(100)
    assert get_answers(instance) == []
    instance.state.cells.update(cells)
    instance.tick(100)
    call = instance.take(fx.CallEndpoint)[0]
    reply(instance, call)
    assert get_answers(instance) == [(5, 'answered', '')]


def test_request_waits_for_a_cell_that_was_handed_over(instance):
    instance.tick(600)
    instance.state.cells.clear()
    ask(instance, 5, repeatable=True)
    instance.tick(100)
    assert get_answers(instance) == []


def test_request_whose_cell_does_not_return_is_refused_at_its_deadline(
    instance,
):
    report_cell(instance, ['alerts'])
    instance.state.cells.clear()
    ask(instance, 5, repeatable=True, wait_ms=300)
    instance.tick(200)
    assert get_answers(instance) == []
    instance.tick(200)
    assert get_answers(instance) == [(5, 'not_run', 'deadline')]


def test_request_for_an_unreported_service_is_refused_at_once(instance):
    instance.state.cells.clear()
    instance.tick(9000)
    report_cell(instance, ['other'])
    ask(instance, 5, repeatable=True)
    assert get_answers(instance) == [(5, 'not_run', 'no_endpoint')]


def test_same_id_with_another_body_is_refused(instance):
    ask(instance, 5)
    instance.commit_all()
    request = ServiceRequest('r', 'team', 'alerts', False, 'x', 9**9, 'other')
    instance.feed(ev.RequestArrived, 6, request)
    assert get_answers(instance) == [(6, 'not_run', 'id_reused')]


def test_second_call_waits_for_the_first(instance):
    ask(instance, 5)
    instance.commit_all()
    ask(instance, 6)
    call = instance.take(fx.CallEndpoint)[0]
    reply(instance, call)
    assert sorted(get_answers(instance)) == [
        (5, 'answered', ''),
        (6, 'answered', ''),
    ]


def test_id_opened_again_is_sent_once(instance):
    """Committing an expired opening must not send the later ticket."""
    ask(instance, 5, wait_ms=100)
    instance.tick(150)
    assert get_answers(instance) == [(5, 'not_run', 'deadline')]
    ask(instance, 6)
    instance.commit_all()
    assert len(instance.take(fx.CallEndpoint)) == 1


def test_broken_call_is_unknown_and_not_sent_again(instance):
    ask(instance, 5)
    instance.commit_all()
    reply(instance, instance.take(fx.CallEndpoint)[0], OutcomeKind.UNKNOWN)
    assert get_answers(instance) == [(5, 'unknown', '')]
    instance.tick(100)
    assert not instance.take(fx.CallEndpoint)


def test_broken_repeatable_call_is_tried_again(instance):
    ask(instance, 5, repeatable=True)
    reply(instance, instance.take(fx.CallEndpoint)[0], OutcomeKind.UNKNOWN)
    instance.tick(100)
    reply(instance, instance.take(fx.CallEndpoint)[0])
    assert get_answers(instance) == [(5, 'answered', '')]


def test_refusal_after_a_broken_try_is_not_reported_as_not_run(instance):
    ask(instance, 5, repeatable=True)
    reply(instance, instance.take(fx.CallEndpoint)[0], OutcomeKind.UNKNOWN)
    instance.state.cells['cell/cell-0'].endpoints.clear()
    instance.tick(100)
    assert get_answers(instance)[0][1] == 'unknown'


def test_retries_draw_from_a_budget(instance):
    instance.state.retry_tokens = 1.0
    ask(instance, 5, repeatable=True)
    for _ in range(5):
        for call in instance.take(fx.CallEndpoint):
            reply(instance, call, OutcomeKind.UNKNOWN)
        instance.tick(100)
    assert instance.state.counters['retries'] == 1
    assert instance.state.counters['retries_denied'] == 1


def test_truncated_answer_is_not_an_answer(instance):
    ask(instance, 5)
    instance.commit_all()
    call = instance.take(fx.CallEndpoint)[0]
    instance.feed(
        ev.EndpointReplied,
        call.dispatch_id,
        RequestOutcome(OutcomeKind.ANSWERED, '', 200, 'half'),
        1.0,
        False,
        'r',
        8,
    )
    assert get_answers(instance) == [(5, 'unknown', 'truncated')]


def test_slots_are_never_exceeded(instance):
    for number in range(20):
        ask(instance, number, True, f'r{number}')
    calls = instance.take(fx.CallEndpoint)
    assert len(calls) == 8
    reply(instance, calls[0])
    assert len(instance.take(fx.CallEndpoint)) == 1


def test_full_queue_refuses_at_once(instance):
    limit = instance.state.config.request_queue_limit
    instance.state.retry_tokens = 0
    for number in range(8 + limit + 1):
        ask(instance, number, True, f'r{number}')
    assert (8 + limit, 'not_run', 'overloaded') in get_answers(instance)


def test_lost_answer_keeps_its_slot_until_the_worker_reports(instance):
    for number in range(8):
        ask(instance, number, True, f'r{number}', wait_ms=300)
    first = instance.take(fx.CallEndpoint)[0]
    instance.state.retry_tokens = 0
    reply(instance, first, OutcomeKind.UNKNOWN)
    ask(instance, 50, True, 'r50')
    assert not instance.take(fx.CallEndpoint)
    instance.tick()
    instance.report(RUNNING, busy_slots=7)
    assert len(instance.take(fx.CallEndpoint)) == 1


def test_without_the_store_a_non_repeatable_is_refused_at_once(instance):
    instance.feed(ev.TableFailed)
    ask(instance, 5)
    assert get_answers(instance) == [(5, 'not_run', 'store_unavailable')]
    ask(instance, 6, repeatable=True, request_id='again')
    assert len(instance.take(fx.CallEndpoint)) == 1


def test_detached_instance_still_serves(instance):
    for _ in range(8):
        instance.tick(1000, renew=False)
        instance.feed(ev.LeaseFailed, SESSION, instance.now_ms - 1)
        instance.state.session.renewing = False
        instance.report(RUNNING)
    assert instance.state.session.standing.value == 'detached'
    ask(instance, 6, repeatable=True)
    assert len(instance.take(fx.CallEndpoint)) == 1


def test_stop_past_its_limit_refuses_new_and_finishes_the_rest(instance):
    ask(instance, 5, repeatable=True, wait_ms=60000)
    call = instance.take(fx.CallEndpoint)[0]
    instance.feed(ev.StopRequested)
    instance.state.session.writing_ownership = True
    for _ in range(25):
        instance.tick(1000)
    ask(instance, 6, repeatable=True)
    assert get_answers(instance) == [(6, 'not_run', 'stopping')]
    assert not instance.take(fx.Leave)
    reply(instance, call)
    assert get_answers(instance) == [(5, 'answered', '')]
    instance.tick()
    assert instance.take(fx.Leave)


def test_ids_are_removed_after_their_retention(instance):
    ask(instance, 5)
    instance.commit_all()
    reply(instance, instance.take(fx.CallEndpoint)[0])
    instance.commit_all()
    requests = instance.state.ranges['range/00'].ledger.requests
    assert 'r' in requests
    instance.now_ms += instance.state.config.retention_ms + 1000
    instance.feed(ev.LeaseRenewed, SESSION, instance.now_ms)
    for _ in range(5):
        instance.tick(20000)
        instance.feed(ev.LeaseRenewed, SESSION, instance.now_ms)
        instance.commit_all()
    assert not requests


def test_paused_instance_does_nothing_until_the_table_confirms_it(instance):
    instance.effects.clear()
    instance.tick(8000, renew=False)
    assert instance.state.session.standing.value == 'suspect'
    ask(instance, 6, repeatable=True)
    instance.tick(50, renew=False)
    assert not instance.take(fx.CallEndpoint)
    assert not instance.take(fx.SyncWorker)
    assert not instance.take(fx.CommitJournal)
    instance.feed(ev.SessionRevoked, SESSION)
    assert not instance.state.cells
    assert not instance.state.ranges
