"""What the end of a unit's life leaves behind, and how its next ones begin.

What users would have seen: an instance that spends all its time on one unit
whose every event fails, and writes thousands of lines a second; orders of a
life of a unit that is over; a unit without an owner for half a minute at the
end of its last other owner, as it had failed here some hours before.

In which order: a unit fails at an event; its next life is told the
configuration and the lease at once, and fails at them again. Or: one event
begins a task, and the next one of the same slice of the loop fails, before
that task has run for the first time.

Cause: only the taking of a unit waited after a failure, and not its next life;
only tasks that had begun by then were ended; and a wait that was meant to last
from the failure on was counted from each later lapse of a lease.
"""

import attrs
import pytest
import trio
from test_unit_failures import wait_units

from fleet_of_schedulers import make_request, open_fleet
from tulippin.jobs import _lifecycle, _ownership, core, unit_shell
from tulippin.jobs._restarts import RestartLog
from tulippin.jobs._sources import name_row
from tulippin.jobs._unit_rows import UnitRows
from tulippin.jobs.events import (
    ConfigurationChanged,
    LeaseSeen,
    StopRequested,
    Ticked,
)
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import MODEL_KEY, MODELS_TABLE
from tulippin.jobs.types import JobState

LATER = '0000000000000003'
# A unit that fails at all that it is told: one line at its first failure,
# and less than one a second from then on.
MOST_FAILURES = 8
WATCHED_S = 10
# More than any number that a test allows.
LIMIT = 300
OFTEN = 6
# Four of the instance's own, the feeds, and a few effects.
MOST_TASKS = 20
# A lease of 2 s, and what its takers leave to each other.
TAKEN_WITHIN_S = 5


class PlantedError(Exception):
    """Nothing of the product raises it, or knows it."""


def plant_at(monkeypatch, event_type, number=1, when=None):
    """Have a unit's reducer fail at each event of a type, for some time.

    Not for good: an instance that did nothing else would stop the virtual
    clock, and the test with it.
    """
    real = core.reduce
    count = 0

    def fail(state, event):
        nonlocal count
        is_planted = (
            state.config.unit.number == number
            and isinstance(event, event_type)
            and count < LIMIT
        )
        if is_planted and (when is None or when(state, count)):
            count += 1
            raise PlantedError(event_type.__name__)
        return real(state, event)

    monkeypatch.setattr(unit_shell.core, 'reduce', fail)


@pytest.mark.parametrize(
    'event_type', [ConfigurationChanged, LeaseSeen, Ticked]
)
def test_unit_that_fails_at_its_beginning_does_not_spin(
    run_virtual, monkeypatch, told_failures, event_type
):
    """The other unit's jobs are done, and the log stays readable."""

    async def run():
        async with open_fleet(1, 60, 10) as fleet:
            with trio.fail_after(30):
                shell = fleet.instances['i0'].shell
                while not (
                    len(shell.units) == 2
                    and all(unit.is_owner for unit in shell.units.values())
                ):
                    await trio.sleep(0.05)
            plant_at(monkeypatch, event_type)
            told_failures.clear()
            shell.units[1].post(
                ConfigurationChanged(shell.clock(), shell.configuration)
            )
            shell.units[1].see_rows(())
            for _ in range(100 * WATCHED_S):
                await trio.sleep(0.01)
                assert len(told_failures) <= MOST_FAILURES
            assert shell.units[0].is_owner
            fleet.check()

    run_virtual(run)
    assert told_failures
    told_failures.clear()


def test_planned_stop_ends_beside_a_unit_that_fails(
    run_virtual, monkeypatch, told_failures
):
    """Whatever fails in one unit, the stop does not wait for it for good."""

    async def run():
        async with open_fleet(1, 2) as fleet:
            await fleet.wait_owner()
            plant_at(monkeypatch, StopRequested, number=0)
            with trio.fail_after(5):
                await fleet.instances['i0'].shell.leave()
            fleet.kill('i0')

    run_virtual(run)
    told_failures.clear()


def test_task_that_has_not_begun_ends_with_its_unit(
    run_virtual, monkeypatch, told_failures
):
    """An event begins a task; the next one fails before that task runs."""
    ran = []

    async def note(name):
        ran.append(name)

    async def run():
        async with open_fleet(1, 2) as fleet:
            await fleet.wait_owner()
            shell = fleet.instances['i0'].shell
            unit = shell.units[0]
            unit.start(note, 'of the life that is over')
            plant_at(monkeypatch, LeaseSeen, 0, when=lambda _, count: not count)
            unit.step(LeaseSeen(shell.clock(), None, 0, None, 0))
            await trio.sleep(1)
            assert unit.is_over

    run_virtual(run)
    assert ran == []
    told_failures.clear()


def test_unit_that_failed_often_is_taken_in_time_later(
    run_virtual, monkeypatch, told_failures
):
    """It went on elsewhere, and its owner there ends much later."""

    async def run():
        async with open_fleet(2, 2) as fleet:
            first = await fleet.wait_owner()
            other = fleet.get_other(first)

            def is_early_here(state, count):
                return state.config.instance_id == first and count < OFTEN

            plant_at(monkeypatch, LeaseSeen, number=0, when=is_early_here)
            with trio.fail_after(60):
                while len(told_failures) < OFTEN:
                    await trio.sleep(0.05)
            # Failures are separate after a minute.
            await trio.sleep(70)
            assert fleet.get_owner() == other
            fleet.kill(other)
            began_s = trio.current_time()
            await fleet.wait_owner(60)
            assert trio.current_time() - began_s < TAKEN_WITHIN_S
            await fleet.submit(LATER, make_request(run_ms=200))
            await fleet.wait_state(LATER, JobState.COMPLETED)
            fleet.check()

    run_virtual(run)
    told_failures.clear()


def test_what_runs_for_a_life_ends_with_it(
    run_virtual, monkeypatch, told_failures
):
    """Its tasks, its feeds and its session are not those of the next life."""
    ran = []

    async def work():
        await trio.sleep(0.5)
        ran.append('of the life that is over')

    async def run():
        async with open_fleet(1, 2) as fleet:
            await fleet.wait_owner()
            shell = fleet.instances['i0'].shell
            unit = shell.units[0]
            feeds = unit._feeds
            unit.start(work)
            await trio.sleep(0.1)
            # The inbox holds more for this life when it fails.
            plant_at(monkeypatch, LeaseSeen, 0, when=lambda _, count: not count)
            unit.see_rows(())
            unit.see_rows(())
            await trio.sleep(2)
            assert unit.is_over
            assert feeds.scope.cancel_called
            assert len(shell._nursery.child_tasks) < MOST_TASKS
            following = shell.units[0]
            assert following.is_owner
            sessions = {unit.config.session_id, following.config.session_id}
            assert len(sessions) == 2

    run_virtual(run)
    assert ran == []
    assert len(told_failures) == 1
    told_failures.clear()


def test_finished_job_whose_progress_raises_is_not_run_again(
    run_virtual, monkeypatch, told_failures
):
    """What is done of it is not known, so nothing of it is started."""

    async def run():
        async with open_fleet(2, 2) as fleet:
            await fleet.submit(LATER, make_request(run_ms=200))
            await fleet.wait_done(LATER)
            await trio.sleep(1)
            real = _lifecycle.restore

            def restore(job, *args):
                if job.job_id == LATER:
                    raise PlantedError
                return real(job, *args)

            monkeypatch.setattr(_lifecycle, 'restore', restore)
            fleet.kill_owner()
            await fleet.wait_owner()
            await trio.sleep(20)
            assert fleet.count_starts(LATER) == 1
            fleet.check()

    run_virtual(run)
    assert {one.what for one in told_failures} == {'row failed'}
    told_failures.clear()


def test_rows_that_advise_are_left_out_from_the_second_failure_on():
    log = RestartLog()
    assert log.note(('models/u0/model@3',), 1000) == 0
    assert log.advice_after_ms == 0
    assert log.aside == {'models/u0/model@3'}
    assert log.note((), 2000) > 0
    assert log.advice_after_ms > 2000
    # Long after, a failure is the first one again.
    assert log.note((), 1_000_000) == 0


def test_row_set_aside_is_taken_in_no_more(run_virtual):
    async def run():
        async with open_fleet(1, 1) as fleet:
            unit = fleet.instances['i0'].shell.units[0]
            row = StoredRow(MODELS_TABLE, 'u0', MODEL_KEY, b'{}', 3)
            assert unit.takes(row)
            unit._restarts.note((name_row(row),), unit.clock())
            assert not unit.takes(row)
            assert unit.takes(attrs.evolve(row, version=4))
            unit._restarts.note((), unit.clock())
            assert not unit.takes(attrs.evolve(row, version=4))

    run_virtual(run)


@pytest.mark.parametrize(
    ('owner', 'name'),
    [(_ownership, 'may_be_free'), (UnitRows, 'make_event')],
)
def test_one_units_ticks_and_rows_stop_no_other(
    run_virtual, monkeypatch, told_failures, owner, name
):
    """What raises there at each turn was a fault of the tasks of all units."""

    async def run():
        async with open_fleet(2, 60, 10) as fleet:
            await wait_units(fleet)
            real = getattr(owner, name)
            odd = [
                (unit.state, unit._rows)
                for instance in fleet.instances.values()
                for number, unit in instance.shell.units.items()
                if number == 1
            ]

            def fail(first, *arguments):
                if any(first is one for pair in odd for one in pair):
                    raise PlantedError(name)
                return real(first, *arguments)

            monkeypatch.setattr(owner, name, fail)
            await trio.sleep(6)
            assert any(
                unit.is_owner and number == 0
                for instance in fleet.instances.values()
                for number, unit in instance.shell.units.items()
            )
            fleet.check()

    run_virtual(run)
    assert {one.what for one in told_failures} <= {'unit failed'}
    assert len(told_failures) < 40
    told_failures.clear()
