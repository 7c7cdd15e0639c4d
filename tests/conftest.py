"""Fixtures of all tests: virtual time and a check for contained errors."""

import attrs
import pytest
from hypothesis import settings

import known_red
import seeded_runs
from tulippin import failures
from tulippin.jobs._dispatch import Context
from tulippin.jobs.effects import TellFailure

settings.register_profile('ci', derandomize=True, deadline=None, database=None)
settings.load_profile('ci')


def pytest_collection_modifyitems(items):
    if known_red.PATH.exists():
        text = known_red.PATH.read_text()
        known_red.mark(items, known_red.read_known_red(text))


@attrs.frozen
class ContainedFailure:
    """Contained error that was reported through `failures.tell`."""

    what: str
    error: BaseException
    fields: dict


@pytest.fixture(autouse=True)
def contained_failures(monkeypatch, request):
    """Fail a test in which an unexpected error was contained.

    The product goes on after a contained error, so that a test could pass in
    spite of a fault. A test that injects errors clears the list, or is marked
    ``plants_errors``. Errors contained by the reducer count as soon as it
    emits their effect, as many tests have no shell that would report them.
    """
    reported = []
    tell = failures.tell

    emitted = []
    emit = Context.emit

    def record_reported(what, error, **fields):
        emitted[:] = [one for one in emitted if one.error is not error]
        reported.append(ContainedFailure(what, error, fields))
        tell(what, error, **fields)

    def record_emitted(context, effect):
        if isinstance(effect, TellFailure):
            fields = {'sources': effect.sources}
            emitted.append(ContainedFailure(effect.what, effect.error, fields))
        emit(context, effect)

    monkeypatch.setattr(failures, 'tell', record_reported)
    monkeypatch.setattr(Context, 'emit', record_emitted)
    yield reported
    if request.node.get_closest_marker('plants_errors') is None:
        assert reported == []
        assert [one for one in emitted if not is_planted(one)] == []


def is_planted(one):
    """Return whether a test raised all causes of an error."""
    return all(
        type(cause).__name__ == 'PlantedError'
        for cause in failures.find_causes(one.error)
    )


@pytest.fixture
def run_virtual():
    """Return a function that runs a coroutine function in virtual time."""
    return seeded_runs.run_virtual
