"""Delays of an instance's loop, and how they are logged."""

import itertools

import logbook
import trio

from scheduler_fleet import open_fleet
from tulippin.jobs import events
from tulippin.jobs._loop_load import LoopLoad

INTERVAL_MS = 2500


def note_silence(load, now_ms, age_ms):
    event = events.WorkerSilent(now_ms - age_ms, 'w0', 'timeout')
    load.note_event(event, now_ms, 0)


def note_rooms(load, now_ms, age_ms):
    load.note_event(events.RoomsSeen(now_ms - age_ms, {}), now_ms, 0)


def run_ticks(load, delays_ms):
    """Wait for ticks that come late by the delays."""
    clock = itertools.chain.from_iterable((0, one) for one in delays_ms)

    async def tick():
        for _ in delays_ms:
            await load.sleep(0, lambda: next(clock))

    trio.run(tick)


def test_summary_tells_delays_by_urgency():
    load = LoopLoad(1000)
    for age_ms in (10, 20, 60):
        note_silence(load, 2000, age_ms)
    note_rooms(load, 3000, 7)
    assert load.event_age_ms == 7
    summary = load.summarize(6000)
    assert summary.interval_ms == 5000
    assert summary.handled == 4
    assert summary.age_ms == {'leases': 30, 'other': 7}
    assert summary.max_age_ms == {'leases': 60, 'other': 7}


def test_summary_tells_by_how_much_ticks_come_late():
    load = LoopLoad(0)
    run_ticks(load, [0, 16])
    summary = load.summarize(5000)
    assert (summary.tick_delay_ms, summary.max_tick_delay_ms) == (8, 16)


def pass_interval(load, delays_ms, units=(1, 2)):
    run_ticks(load, delays_ms)
    load.note_units(units, load.began_ms + INTERVAL_MS)


def test_delay_of_ticks_is_that_of_two_intervals_with_the_present_units():
    load = LoopLoad(0)
    for delay_ms, expected_ms in ((30, 0), (20, 0), (20, 20), (40, 20)):
        pass_interval(load, [delay_ms] * 10)
        assert load.tick_delay_ms == expected_ms
    load.note_units([1], load.began_ms)
    assert load.tick_delay_ms == 0


def test_suspended_process_counts_as_on_time():
    load = LoopLoad(0)
    load.note_units([1, 2], 0)
    for _ in range(2):
        pass_interval(load, [3500] + [1] * 99)
    assert load.tick_delay_ms == 2


def test_next_interval_starts_from_zero():
    load = LoopLoad(0)
    note_rooms(load, 2000, 900)
    load.summarize(5000)
    summary = load.summarize(10_000)
    assert (summary.handled, summary.age_ms) == (0, {})
    assert summary.max_tick_delay_ms == 0


def test_late_events_are_logged_once_a_second():
    load = LoopLoad(0)
    with logbook.TestHandler() as handler:
        for now_ms in range(2000, 4000, 100):
            note_rooms(load, now_ms, 501)
        note_rooms(load, 9000, 500)
    assert [one.message for one in handler.records] == ['events late'] * 2


def test_only_owners_log_their_load(run_virtual):
    async def run():
        async with open_fleet(instances=3):
            await trio.sleep(20)

    with logbook.TestHandler() as handler:
        run_virtual(run)
    lines = [one for one in handler.records if one.message == 'loop load']
    assert len(lines) >= 3
    assert all(one.kwargs['units'] == [0] for one in lines)
