"""Settings for all tests: virtual time and the same choices each run."""

import random

import pytest
import trio
import trio._core._run as trio_run
import trio.testing
from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None, database=None)
settings.load_profile('ci')


@pytest.fixture
def run_virtual():
    """Return a runner of asynchronous functions in virtual time."""

    def run(function, *arguments, seed=1):
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r = random.Random(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, *arguments, clock=clock)

    return run
