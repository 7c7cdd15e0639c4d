"""Settings for all tests: virtual time and the same choices each run."""

import random

import pytest
import trio
import trio._core._run as trio_run
import trio.testing
from hypothesis import settings

import known_red

settings.register_profile('ci', derandomize=True, deadline=None, database=None)
settings.load_profile('ci')


def pytest_collection_modifyitems(items):
    if known_red.PATH.exists():
        text = known_red.PATH.read_text()
        known_red.mark(items, known_red.read_known_red(text))


@pytest.fixture
def run_virtual():
    """Return a runner of asynchronous functions in virtual time."""

    def run(function, *arguments, seed=1):
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r = random.Random(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, *arguments, clock=clock)

    return run
