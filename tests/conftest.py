"""Settings for all tests: virtual time and the same choices each run."""

import random

import attrs
import pytest
import trio
import trio._core._run as trio_run
import trio.testing
from hypothesis import settings

import known_red
from tulippin import failures

settings.register_profile('ci', derandomize=True, deadline=None, database=None)
settings.load_profile('ci')


def pytest_collection_modifyitems(items):
    if known_red.PATH.exists():
        text = known_red.PATH.read_text()
        known_red.mark(items, known_red.read_known_red(text))


@attrs.frozen
class ToldFailure:
    """An error that was contained, and told."""

    what: str
    error: BaseException
    fields: dict


@pytest.fixture(autouse=True)
def told_failures(monkeypatch, request):
    """Fail a test in which an error was contained that it does not expect.

    The product goes on after such an error: without this a fault of its own
    would pass. A test that plants one clears what is told, or is marked
    ``plants_errors``.
    """
    told = []
    tell = failures.tell

    def note(what, error, **fields):
        told.append(ToldFailure(what, error, fields))
        tell(what, error, **fields)

    monkeypatch.setattr(failures, 'tell', note)
    yield told
    if request.node.get_closest_marker('plants_errors') is None:
        assert told == []


@pytest.fixture
def run_virtual():
    """Return a runner of asynchronous functions in virtual time."""

    def run(function, *arguments, seed=1):
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r = random.Random(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, *arguments, clock=clock)

    return run
