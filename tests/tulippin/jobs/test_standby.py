"""Cost of the units that an instance stands by for."""

import collections

import logbook
import trio
from test_scheduler_units import get_owners, open_units

from scheduler_fleet import make_config_body
from tulippin.jobs.unit_shell import UnitShell

WATCHED_S = 10
UNITS = 10


def count_steps(monkeypatch):
    """Count by instance the events of units that it does not own."""
    counts = collections.Counter()
    original = UnitShell.step

    def step(unit, event):
        if not unit.is_claimed:
            counts[unit.config.instance_id] += 1
        original(unit, event)

    monkeypatch.setattr(UnitShell, 'step', step)
    return counts


def test_units_of_other_owners_get_no_ticks(run_virtual, monkeypatch):
    """A tick every 0.2 s for each unit would make 70 events a second, not 20.

    Only the changes of lease rows may cause events.
    """
    counts = count_steps(monkeypatch)

    async def run():
        async with open_units(14, workers=300, rack_size=30) as fleet:
            idle = set(fleet.instances) - set(get_owners(fleet).values())
            counts.clear()
            await trio.sleep(WATCHED_S)
            assert idle
            # Each lease row is read once or twice a second.
            for name in idle:
                assert counts[name] <= 2.5 * UNITS * WATCHED_S

    run_virtual(run)


def test_lost_unit_is_taken_in_time(run_virtual):
    async def run():
        async with open_units(6) as fleet:
            lost = get_owners(fleet)[0]
            fleet.kill(lost)
            with trio.fail_after(4.5):
                while get_owners(fleet)[0] is None:
                    await trio.sleep(0.05)

    run_virtual(run)


def test_configuration_is_logged_once_by_each_instance(run_virtual):
    handler = logbook.TestHandler()

    async def run():
        async with open_units(6) as fleet:
            handler.records.clear()
            fleet.platform.configure(make_config_body(2))
            await trio.sleep(2)

    with handler.applicationbound():
        run_virtual(run)
    lines = [
        record
        for record in handler.records
        if record.message == 'configuration in force'
    ]
    assert len(lines) == 6
