"""Connections of the stand-in in virtual time fail as real ones do."""

import pytest
import trio

from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.platform.standin import StandinPlatform

HOLD = ('w0', 'a:80', 1, 0, None, 0)
DOWN_S = 0.3


@pytest.fixture
def platform(run_virtual):
    """Return a stand-in with one worker, which is made in virtual time."""

    async def make():
        platform = StandinPlatform()
        platform.add_worker('w0', address='a:80')
        return platform

    return run_virtual(make)


async def measure_failure_s(agents, error):
    began_s = trio.current_time()
    with pytest.raises(error):
        await agents.hold(*HOLD)
    return trio.current_time() - began_s


@pytest.mark.parametrize('is_silent', [False, True])
def test_connection_to_an_ended_process_reaches_no_later_one(
    run_virtual, platform, is_silent
):
    """One that is known to be closed is replaced by a new one."""

    async def run():
        agents = platform.get_agents('i0')
        await agents.hold(*HOLD)
        platform.workers['w0'].crash(is_silent=is_silent)
        await trio.sleep(DOWN_S)
        worker = platform.restart('w0')
        if is_silent:
            assert await measure_failure_s(agents, AnswerLostError) < DOWN_S
        assert (await agents.hold(*HOLD)).born_ms == worker.born_ms

    run_virtual(run)


def test_forwarded_connection_reaches_the_next_incarnation(
    run_virtual, platform
):
    async def run():
        platform.are_calls_forwarded = True
        agents = platform.get_agents('i0')
        await agents.hold(*HOLD)
        platform.workers['w0'].crash()
        worker = platform.restart('w0')
        assert (await agents.hold(*HOLD)).born_ms == worker.born_ms

    run_virtual(run)


def test_connection_opened_while_a_worker_is_down_reaches_the_next_one(
    run_virtual, platform
):
    async def run():
        agents = platform.get_agents('i0')
        platform.workers['w0'].crash()

        async def restart():
            await trio.sleep(DOWN_S)
            platform.restart('w0')

        async with trio.open_nursery() as nursery:
            nursery.start_soon(restart)
            report = await agents.hold(*HOLD)
        assert report.born_ms == platform.workers['w0'].born_ms

    run_virtual(run)


def test_calls_to_a_worker_out_of_reach_time_out(run_virtual, platform):
    """One on an open connection may have been sent, a new one was not."""

    async def run():
        agents = platform.get_agents('i0')
        await agents.hold(*HOLD)
        platform.workers['w0'].unreachable_clients.add('i0')
        assert await measure_failure_s(agents, AnswerLostError) > DOWN_S
        with pytest.raises(UnavailableError) as caught:
            await agents.hold(*HOLD)
        assert not isinstance(caught.value, AnswerLostError)
        other = platform.get_agents('i1')
        assert (await other.hold(*HOLD)).running == ()

    run_virtual(run)
