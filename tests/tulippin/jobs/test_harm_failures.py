"""With a harm budget, targets are met in time while a unit is badly observed.

Guards against a task that misses its target for 4 s because of neighbours: if
reports are late or lost, paces are not confirmed, or the owner changes during a
miss. In these tests the model does not name the cause: only the hard limit
ends a miss.
"""

import pytest
import trio
from test_scheduler_pacing import (
    CALL_TIMEOUT_S,
    MAX_HARM_S,
    WORKERS,
    add_event_costs,
    interference,
    kill_owner_after,
    leave_after,
    lose_reports,
    measure_harm,
    start_tasks,
)

from scheduler_fleet import open_fleet
from tulippin.jobs import _interference
from tulippin.jobs import events as ev
from tulippin.jobs.features import Features
from tulippin.jobs.types import OrderAnswer, OrderOutcome
from tulippin.platform.standin import StandinAgents

__all__ = ('interference',)

ON = Features(budgets_harm=True)


@pytest.fixture(autouse=True)
def no_cause(monkeypatch):
    """Make the model name no cause of a miss."""
    monkeypatch.setattr(_interference, 'get_disturbances', lambda *_: {})


def open_budgeted(instances):
    return open_fleet(instances=instances, workers=WORKERS, features=ON)


def delay_reports(monkeypatch, delay_s):
    """Deliver all reports late."""
    original = StandinAgents.hold

    async def hold(agents, *arguments):
        report = await original(agents, *arguments)
        await trio.sleep(delay_s)
        return report

    monkeypatch.setattr(StandinAgents, 'hold', hold)


def lose_paces(monkeypatch, for_s):
    """Lose all orders that set a pace for a while."""
    original = StandinAgents.pace
    until_s = trio.current_time() + for_s

    async def pace(agents, *arguments):
        if trio.current_time() < until_s:
            await trio.sleep(CALL_TIMEOUT_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        return await original(agents, *arguments)

    monkeypatch.setattr(StandinAgents, 'pace', pace)


def test_neighbours_pause_with_a_responsive_owner(run_virtual, interference):
    async def run():
        async with open_budgeted(2) as fleet:
            await start_tasks(fleet)
            interference.is_on = True
            assert 0 < await measure_harm(fleet) < MAX_HARM_S
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('delay_s', [0.2, 0.4, 0.6])
def test_neighbours_pause_while_reports_are_late(
    run_virtual, interference, monkeypatch, delay_s
):
    async def run():
        async with open_budgeted(2) as fleet:
            await start_tasks(fleet)
            delay_reports(monkeypatch, delay_s)
            await trio.sleep(2)
            interference.is_on = True
            assert 0 < await measure_harm(fleet) < MAX_HARM_S
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('after_s', [0.0, 0.5, 1.0])
def test_neighbours_pause_in_time_if_reports_are_lost_during_a_miss(
    run_virtual, interference, monkeypatch, after_s
):
    async def run():
        async with open_budgeted(2) as fleet:
            await start_tasks(fleet)
            interference.is_on = True
            lose_reports(monkeypatch, after_s, for_s=8)
            assert 0 < await measure_harm(fleet) < MAX_HARM_S

    run_virtual(run)


@pytest.mark.parametrize('tick_s', [0.06, 0.1])
def test_neighbours_pause_while_ticks_are_slow(
    run_virtual, interference, monkeypatch, tick_s
):
    async def run():
        async with open_budgeted(2) as fleet:
            owner = await start_tasks(fleet)
            add_event_costs(monkeypatch, {ev.Ticked: tick_s}, owner)
            interference.is_on = True
            assert 0 < await measure_harm(fleet) < MAX_HARM_S
            fleet.check()

    run_virtual(run)


def test_neighbours_pause_in_time_if_the_first_orders_are_lost(
    run_virtual, interference, monkeypatch
):
    async def run():
        async with open_budgeted(2) as fleet:
            await start_tasks(fleet)
            interference.is_on = True
            lose_paces(monkeypatch, for_s=2.5)
            assert 0 < await measure_harm(fleet) < MAX_HARM_S
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('missed_for_s', [0.3, 1.0, 1.6, 2.0])
def test_neighbours_pause_in_time_if_the_owner_fails_during_a_miss(
    run_virtual, interference, missed_for_s
):
    async def run():
        async with open_budgeted(3) as fleet:
            await start_tasks(fleet)
            interference.is_on = True
            fleet.nursery.start_soon(kill_owner_after, fleet, missed_for_s)
            assert 0 < await measure_harm(fleet) < MAX_HARM_S
            fleet.check()

    run_virtual(run)


@pytest.mark.parametrize('missed_for_s', [0.3, 1.8])
def test_neighbours_pause_in_time_if_the_owner_leaves_during_a_miss(
    run_virtual, interference, missed_for_s
):
    async def run():
        async with open_budgeted(3) as fleet:
            owner = await start_tasks(fleet)
            interference.is_on = True
            fleet.nursery.start_soon(leave_after, owner, missed_for_s)
            assert 0 < await measure_harm(fleet) < MAX_HARM_S
            fleet.check()

    run_virtual(run)
