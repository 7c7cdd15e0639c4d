"""Restart of a unit's shell after an unexpected error, and its cleanup.

The tests guard against three failures:

- A unit that fails at every event uses up the instance's processor and logs
  thousands of lines a second. The new shell gets the configuration and the
  lease at once and fails at them again, unless its start is delayed.
- A task of a failed shell goes on and sends orders. One event starts the task,
  and the next event of the same slice of the loop fails before the task has
  run for the first time, so that it is not cancelled with the others.
- A unit has no owner for half a minute after its owner is lost, because the
  remaining instance had failed there hours before. The backoff has to count
  from the failure, not from each later expiry of a lease.
"""

import attrs
import pytest
import trio
from test_unit_failures import wait_units

from scheduler_fleet import make_request, open_fleet
from tulippin.jobs import _lifecycle, _ownership, core, unit_shell
from tulippin.jobs._event_sources import name_row
from tulippin.jobs._restarts import RestartLog
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
# A unit that fails at every event logs one line at its first failure, and less
# than one a second after that.
MAX_FAILURES = 8
WATCHED_S = 10
# More failures than any test allows.
MAX_INJECTED_ERRORS = 300
EARLY_FAILURES = 6
# Four tasks of the instance, those of the feeds, and a few effects.
MAX_TASKS = 20
# A lease of 2 s, and the jitter of takeovers.
TAKEN_WITHIN_S = 5


class PlantedError(Exception):
    """An injected error that no product code raises or handles."""


def inject_errors(monkeypatch, event_type, number=1, when=None):
    """Make a unit's reducer fail at each event of a type, up to a limit.

    Without a limit, an instance that does nothing else would stop the virtual
    clock, and the test with it.
    """
    real = core.reduce
    count = 0

    def fail(state, event):
        nonlocal count
        is_due = (
            state.config.unit.number == number
            and isinstance(event, event_type)
            and count < MAX_INJECTED_ERRORS
        )
        if is_due and (when is None or when(state, count)):
            count += 1
            raise PlantedError(event_type.__name__)
        return real(state, event)

    monkeypatch.setattr(unit_shell.core, 'reduce', fail)


@pytest.mark.parametrize(
    'event_type', [ConfigurationChanged, LeaseSeen, Ticked]
)
def test_unit_that_fails_at_start_does_not_spin(
    run_virtual, monkeypatch, contained_failures, event_type
):
    """The other unit keeps its owner, and few failures are logged."""

    async def run():
        async with open_fleet(1, 60, 10) as fleet:
            with trio.fail_after(30):
                shell = fleet.instances['i0'].shell
                while not (
                    len(shell.units) == 2
                    and all(unit.is_owner for unit in shell.units.values())
                ):
                    await trio.sleep(0.05)
            inject_errors(monkeypatch, event_type)
            contained_failures.clear()
            shell.units[1].post(
                ConfigurationChanged(shell.clock(), shell.configuration)
            )
            shell.units[1].apply_rows(())
            for _ in range(100 * WATCHED_S):
                await trio.sleep(0.01)
                assert len(contained_failures) <= MAX_FAILURES
            assert shell.units[0].is_owner
            fleet.check()

    run_virtual(run)
    assert contained_failures
    contained_failures.clear()


def test_planned_stop_ends_if_unit_fails(
    run_virtual, monkeypatch, contained_failures
):
    """A planned stop does not wait forever for a unit that fails."""

    async def run():
        async with open_fleet(1, 2) as fleet:
            await fleet.wait_owner()
            inject_errors(monkeypatch, StopRequested, number=0)
            with trio.fail_after(5):
                await fleet.instances['i0'].shell.leave()
            fleet.kill('i0')

    run_virtual(run)
    contained_failures.clear()


def test_task_that_has_not_run_ends_with_its_unit(
    run_virtual, monkeypatch, contained_failures
):
    """The unit fails after a task was started and before it ran."""
    ran = []

    async def record_run(name):
        ran.append(name)

    async def run():
        async with open_fleet(1, 2) as fleet:
            await fleet.wait_owner()
            shell = fleet.instances['i0'].shell
            unit = shell.units[0]
            unit.start(record_run, 'task of the failed shell')
            inject_errors(
                monkeypatch, LeaseSeen, 0, when=lambda _, count: not count
            )
            unit.step(LeaseSeen(shell.clock(), None, 0, None, 0))
            await trio.sleep(1)
            assert unit.is_ended

    run_virtual(run)
    assert ran == []
    contained_failures.clear()


def test_unit_that_failed_often_is_taken_in_time_later_on(
    run_virtual, monkeypatch, contained_failures
):
    """Another instance owned the unit since, and is lost much later."""

    async def run():
        async with open_fleet(2, 2) as fleet:
            first = await fleet.wait_owner()
            other = fleet.get_other_instance(first)

            def is_early_here(state, count):
                return (
                    state.config.instance_id == first and count < EARLY_FAILURES
                )

            inject_errors(monkeypatch, LeaseSeen, number=0, when=is_early_here)
            with trio.fail_after(60):
                while len(contained_failures) < EARLY_FAILURES:
                    await trio.sleep(0.05)
            # Failures more than a minute ago do not count any more.
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
    contained_failures.clear()


def test_tasks_of_failed_unit_shell_end_with_it(
    run_virtual, monkeypatch, contained_failures
):
    """The tasks, feeds and session of a failed shell end with it."""
    ran = []

    async def work():
        await trio.sleep(0.5)
        ran.append('task of the failed shell')

    async def run():
        async with open_fleet(1, 2) as fleet:
            await fleet.wait_owner()
            shell = fleet.instances['i0'].shell
            unit = shell.units[0]
            feeds = unit._feeds
            unit.start(work)
            await trio.sleep(0.1)
            # The inbox holds further events for this shell when it fails.
            inject_errors(
                monkeypatch, LeaseSeen, 0, when=lambda _, count: not count
            )
            unit.apply_rows(())
            unit.apply_rows(())
            await trio.sleep(2)
            assert unit.is_ended
            assert feeds.scope.cancel_called
            assert len(shell._nursery.child_tasks) < MAX_TASKS
            following = shell.units[0]
            assert following.is_owner
            sessions = {unit.config.session_id, following.config.session_id}
            assert len(sessions) == 2

    run_virtual(run)
    assert ran == []
    assert len(contained_failures) == 1
    contained_failures.clear()


def test_finished_job_with_failing_progress_is_not_run_again(
    run_virtual, monkeypatch, contained_failures
):
    """It is unknown which of its tasks are done, so none is started."""

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
    assert {one.what for one in contained_failures} == {'row failed'}
    contained_failures.clear()


def test_advisory_rows_are_excluded_from_second_failure_on():
    log = RestartLog()
    assert log.record_failure(('models/u0/model@3',), 1000) == 0
    assert log.advice_after_ms == 0
    assert log.excluded_rows == {'models/u0/model@3'}
    assert log.record_failure((), 2000) > 0
    assert log.advice_after_ms > 2000
    # A failure long after the others counts as the first one.
    assert log.record_failure((), 1_000_000) == 0


def test_excluded_row_version_is_not_accepted(run_virtual):
    async def run():
        async with open_fleet(1, 1) as fleet:
            unit = fleet.instances['i0'].shell.units[0]
            row = StoredRow(MODELS_TABLE, 'u0', MODEL_KEY, b'{}', 3)
            assert unit.accepts_row(row)
            unit._restarts.record_failure((name_row(row),), unit.clock())
            assert not unit.accepts_row(row)
            assert unit.accepts_row(attrs.evolve(row, version=4))
            unit._restarts.record_failure((), unit.clock())
            assert not unit.accepts_row(attrs.evolve(row, version=4))

    run_virtual(run)


@pytest.mark.parametrize(
    ('owner', 'name'),
    [(_ownership, 'may_take_over'), (UnitRows, 'make_event')],
)
def test_errors_in_ticks_or_rows_of_unit_do_not_stop_others(
    run_virtual, monkeypatch, contained_failures, owner, name
):
    """Errors in the tick or the rows of one unit do not end those of others."""

    async def run():
        async with open_fleet(2, 60, 10) as fleet:
            await wait_units(fleet)
            real = getattr(owner, name)
            failing = [
                (unit.state, unit._rows)
                for instance in fleet.instances.values()
                for number, unit in instance.shell.units.items()
                if number == 1
            ]

            def fail(first, *arguments):
                if any(first is one for pair in failing for one in pair):
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
    assert {one.what for one in contained_failures} <= {'unit failed'}
    assert len(contained_failures) < 40
    contained_failures.clear()
