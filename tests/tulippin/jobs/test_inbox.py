"""Order in which the events that wait are handled."""

import pytest

from tulippin.jobs import events as ev
from tulippin.jobs._inbox import EventInbox
from tulippin.jobs.types import OrderAnswer, OrderOutcome, TaskKey

KEY = TaskKey('1', 0, 0, 0)
TICK = ev.Ticked(0, 0)
SILENT = ev.WorkerSilent(0, 'w', '')
STARTED = ev.StartAnswered(0, 'w', KEY, 1, OrderAnswer(OrderOutcome.STARTED))
FENCED = ev.StartAnswered(0, 'w', KEY, 1, OrderAnswer(OrderOutcome.FENCED))


@pytest.fixture
def inbox():
    return EventInbox()


def take_all(inbox, used_share=0.0):
    return [inbox.take(used_share)[1] for _ in range(len(inbox))]


# Guards against leases that lapse while answers to many starts wait.
def test_events_of_leases_precede_answers_to_starts(inbox):
    for event in (STARTED, STARTED, SILENT, TICK, FENCED):
        inbox.put('unit', event)
    assert take_all(inbox) == [TICK, FENCED, SILENT, STARTED, STARTED]


# Guards against starts that are never answered while reports keep coming.
def test_rest_of_a_slice_is_left_to_other_events(inbox):
    for event in (SILENT, STARTED, TICK):
        inbox.put('unit', event)
    assert take_all(inbox, 0.9) == [TICK, STARTED, SILENT]


def test_events_of_a_failed_unit_are_dropped(inbox):
    inbox.put('failed', TICK)
    inbox.put('other', SILENT)
    inbox.drop('failed')
    assert take_all(inbox) == [SILENT]
    assert not inbox.has_ownership_events
