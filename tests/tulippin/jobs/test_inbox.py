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


def take_all(inbox):
    return [inbox.take()[1] for _ in range(len(inbox))]


# Guards against leases that lapse while answers to many starts wait.
def test_events_of_leases_precede_answers_to_starts(inbox):
    for event in (STARTED, STARTED, SILENT, TICK, FENCED):
        inbox.put('unit', event)
    assert take_all(inbox) == [TICK, FENCED, SILENT, STARTED, STARTED]


# Guards against starts that are never answered while reports keep coming that
# take longer than a slice of time.
def test_other_events_have_a_share_of_the_time(inbox):
    for _ in range(100):
        inbox.put('unit', SILENT)
        inbox.put('unit', STARTED)
    taken_ms = dict.fromkeys((SILENT, STARTED), 0)
    for _ in range(100):
        _, event = inbox.take()
        took_ms = {SILENT: 20, STARTED: 1}[event]
        inbox.note_handled(event, took_ms)
        taken_ms[event] += took_ms
    assert 0 < taken_ms[SILENT] <= 2 * taken_ms[STARTED] + 30


# Guards against cancels that are read ever later by an owner of many workers,
# as each handled report leads to the next one.
def test_other_events_are_not_overtaken_by_much_later_reports(inbox):
    cancel = ev.StartAnswered(1000, 'w', KEY, 1, STARTED.answer)
    inbox.put('unit', cancel)
    for at_ms in (990, 1090, 1200, 1300):
        inbox.put('unit', ev.WorkerSilent(at_ms, 'w', ''))
    taken_ms = [event.at_ms for event in take_all(inbox)]
    assert taken_ms == [990, 1090, 1000, 1200, 1300]


def test_leases_owe_no_time_once_nothing_else_waits(inbox):
    inbox.put('unit', SILENT)
    inbox.note_handled(SILENT, 500)
    assert inbox.take() == ('unit', SILENT)
    for event in (STARTED, SILENT):
        inbox.put('unit', event)
    assert take_all(inbox) == [SILENT, STARTED]


def test_events_of_a_failed_unit_are_dropped(inbox):
    inbox.put('failed', TICK)
    inbox.put('other', SILENT)
    inbox.drop('failed')
    assert take_all(inbox) == [SILENT]
    assert not inbox.has_ownership_events
