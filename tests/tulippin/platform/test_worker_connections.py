"""Orders and leases reach the incarnation that they are meant for, or none.

Over real connections, to stand-in workers and to agents on bare sockets.
"""

import collections
import contextlib
import itertools
import json
import socket
import struct

import attrs
import pytest
import trio

from tulippin import _http_connections
from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    FencedOrderError,
    StartOrder,
    WorkerChangedError,
)
from tulippin.jobs.types import (
    ANY_INCARNATION,
    ExpectedIncarnation,
    OrderOutcome,
    TaskKey,
)
from tulippin.platform.standin_http import StandinServers
from tulippin.platform.workers import PlatformWorkers

# Above any delay of a busy machine; calls that get no answer take the other.
TIMEOUT_S = 10
SILENCE_S = 0.5
DOWN_S = 0.02
# Within the longest lease of a worker.
LEASE_MS = 5500
OWNER_TOKEN = 3
HOLD_PATH = '/v1/hold'
START_PATH = '/v1/run-start'
SPEC = '{"run_ms": 60000}'
NO_ADDRESSES = (
    *('', 'w0', '127.0.0.1', ':80', '127.0.0.1:', '127.0.0.1:0x50'),
    *('127.0.0.1:65536', '127.0.0.1:80/v1', 'http://127.0.0.1:80'),
    *('a b:80', '127.0.0.1:80 ', '127.0.0.1:80\n', 'u@127.0.0.1:80'),
)
# Resets a connection as it is closed.
RESETTING_LINGER = struct.pack('ii', 1, 0)


@attrs.define
class Owner:
    """An owner's calls to the worker w0, each meant for one incarnation."""

    address: str
    agents: PlatformWorkers
    token: int = OWNER_TOKEN
    _indexes: itertools.count = attrs.field(factory=itertools.count)

    async def start(self, incarnation, clock_ms=0):
        """Start a task of its own; return the outcome."""
        order = StartOrder(
            'w0',
            self.address,
            TaskKey('a', 0, 0, next(self._indexes)),
            1,
            SPEC,
            clock_ms + LEASE_MS,
            self.token,
            incarnation=incarnation,
        )
        return (await self.agents.start(order)).outcome

    async def hold(self, incarnation, last_seen=0, deadline_ms=None):
        return await self.agents.hold(
            'w0',
            self.address,
            self.token,
            last_seen,
            deadline_ms,
            0,
            incarnation,
        )


@contextlib.asynccontextmanager
async def open_owner(address, timeout_s=TIMEOUT_S):
    agents = PlatformWorkers(lambda: HttpClient(timeout_s))
    try:
        yield Owner(address, agents)
    finally:
        await agents.forget('w0')


@attrs.define
class Unit:
    """A stand-in worker, and an owner that calls it."""

    servers: StandinServers
    owner: Owner

    @property
    def worker(self):
        return self.servers.platform.workers['w0']

    def get_incarnation(self):
        return ExpectedIncarnation(self.worker.born_ms, self.worker.clock_ms)

    async def start(self, incarnation):
        """Order a start in time by the clock of the incarnation."""
        return await self.owner.start(incarnation, incarnation.clock_ms)

    async def restart(self):
        """Restart the worker; return its earlier incarnation."""
        earlier = self.get_incarnation()
        await self.servers.restart_worker('w0', DOWN_S)
        assert self.worker.clock_ms < earlier.clock_ms
        return earlier

    async def run_and_end(self):
        """Have a run of another client end on the worker."""
        async with open_owner(self.worker.address) as other:
            await other.start(ANY_INCARNATION, self.worker.clock_ms)
        self.worker.fail_all()

    def check_untouched(self):
        """Check that no call has changed what the worker holds."""
        assert self.worker.started_count == 0
        assert self.worker.deadline_ms == 0
        assert self.worker.acknowledged_number == 0


@contextlib.asynccontextmanager
async def open_unit(timeout_s=TIMEOUT_S):
    async with StandinServers(1) as servers:
        address = servers.platform.workers['w0'].address
        async with open_owner(address, timeout_s) as owner:
            yield Unit(servers, owner)


# -- starts -------------------------------------------------------------------


async def test_start_meant_for_an_earlier_incarnation_is_not_sent_to_the_next():
    async with open_unit() as unit:
        met = unit.get_incarnation()
        assert await unit.start(met) is OrderOutcome.STARTED
        earlier = await unit.restart()
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        unit.check_untouched()


async def test_first_connection_takes_no_start_for_an_earlier_incarnation():
    async with open_unit() as unit:
        earlier = await unit.restart()
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        unit.check_untouched()


async def test_connection_opened_while_down_takes_no_start_for_the_earlier():
    async with open_unit() as unit, trio.open_nursery() as nursery:
        earlier = unit.get_incarnation()
        nursery.start_soon(unit.servers.restart_silently, 'w0', SILENCE_S)
        while unit.worker.is_up:
            await trio.sleep(0)
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        assert unit.worker.is_up
        unit.check_untouched()


async def test_start_that_a_worker_that_is_down_refuses_is_not_kept_for_later():
    async with open_unit() as unit, trio.open_nursery() as nursery:
        earlier = unit.get_incarnation()
        nursery.start_soon(unit.servers.restart_worker, 'w0', 0.1)
        while unit.worker.is_up:
            await trio.sleep(0)
        await trio.sleep(0.05)
        assert await unit.start(earlier) is OrderOutcome.NOT_SENT
        while not unit.worker.is_up:
            await trio.sleep(0.01)
        await trio.sleep(0.1)
        unit.check_untouched()


async def test_silent_connection_to_the_earlier_incarnation_hides_no_restart():
    async with open_unit(SILENCE_S) as unit:
        earlier = unit.get_incarnation()
        await unit.start(earlier)
        await unit.servers.restart_silently('w0', DOWN_S)
        assert await unit.start(earlier) is OrderOutcome.UNKNOWN
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        unit.check_untouched()


async def test_start_for_a_met_incarnation_avoids_connections_to_the_earlier():
    """These are silent, so that each would cost a timeout and an outcome."""
    async with open_unit() as unit:
        await unit.start(unit.get_incarnation())
        await unit.servers.restart_silently('w0', DOWN_S)
        met = unit.get_incarnation()
        assert await unit.start(met) is OrderOutcome.STARTED


async def test_connection_opened_by_a_stop_takes_no_start_for_the_earlier():
    """A stop is sent to any incarnation."""
    async with open_unit() as unit:
        earlier = await unit.restart()
        key = TaskKey('a', 0, 0, 0)
        owner = unit.owner
        answer = await owner.agents.stop('w0', owner.address, key, 1, 1)
        assert answer.outcome is OrderOutcome.STARTED
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        unit.check_untouched()


async def test_starts_go_on_once_the_owner_has_met_the_next_incarnation():
    async with open_unit() as unit:
        await unit.start(unit.get_incarnation())
        earlier = await unit.restart()
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        report = await unit.owner.hold(earlier)
        met = ExpectedIncarnation(report.born_ms, report.clock_ms)
        assert await unit.start(met) is OrderOutcome.STARTED
        assert unit.worker.started_count == 1
        assert unit.worker.deadline_ms == report.clock_ms + LEASE_MS


async def test_mixed_starts_reach_only_the_incarnation_they_are_meant_for():
    """Each kind closes the connections of the other."""
    async with open_unit() as unit:
        earlier = await unit.restart()
        met = unit.get_incarnation()
        outcomes = collections.defaultdict(collections.Counter)

        async def start(incarnation):
            outcome = await unit.start(incarnation)
            outcomes[incarnation][outcome] += 1

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(start, earlier)
                nursery.start_soon(start, met)
        assert not outcomes[earlier][OrderOutcome.STARTED]
        assert not outcomes[earlier][OrderOutcome.UNKNOWN]
        started = outcomes[met][OrderOutcome.STARTED]
        assert unit.worker.started_count == started
        assert unit.worker.deadline_ms <= met.clock_ms + LEASE_MS


@pytest.mark.parametrize('count', [2, 64, 200])
async def test_starts_at_once_lose_none_and_repeat_none(monkeypatch, count):
    opened = []
    connect = _http_connections.CoalescingBackend.connect_tcp

    async def count_opened(*args, **options):
        opened.append(args)
        return await connect(*args, **options)

    monkeypatch.setattr(
        _http_connections.CoalescingBackend, 'connect_tcp', count_opened
    )
    outcomes = collections.Counter()
    async with open_unit() as unit:
        met = unit.get_incarnation()

        async def start():
            outcomes[await unit.start(met)] += 1

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(start)
        assert outcomes == {OrderOutcome.STARTED: count}
        assert unit.worker.started_count == count
        starts = [one for one in unit.worker.history if one.kind == 'started']
        assert len(starts) == count
    assert 1 < len(opened) <= min(count, 64)


# -- leases and acknowledgements ----------------------------------------------


@pytest.mark.parametrize('has_connection', [False, True])
async def test_hold_for_an_earlier_incarnation_only_returns_a_report(
    has_connection,
):
    async with open_unit() as unit:
        if has_connection:
            await unit.owner.hold(ANY_INCARNATION)
        earlier = await unit.restart()
        await unit.run_and_end()
        before_ms = unit.worker.deadline_ms
        report = await unit.owner.hold(earlier, 1, earlier.clock_ms + LEASE_MS)
        assert report.born_ms == unit.worker.born_ms
        assert [one.number for one in report.ended] == [1]
        assert unit.worker.deadline_ms == before_ms
        assert unit.worker.acknowledged_number == 0


async def test_connection_of_a_report_takes_no_lease_for_the_earlier():
    """The first report may come while its owner still expects the earlier."""
    async with open_unit() as unit:
        earlier = await unit.restart()
        await unit.run_and_end()
        before_ms = unit.worker.deadline_ms
        await unit.owner.hold(earlier)
        await unit.owner.hold(earlier, 1, earlier.clock_ms + LEASE_MS)
        assert unit.worker.deadline_ms == before_ms
        assert unit.worker.acknowledged_number == 0


async def test_leases_and_ends_of_a_met_incarnation_go_through():
    async with open_unit() as unit:
        await unit.owner.hold(unit.get_incarnation())
        earlier = await unit.restart()
        await unit.run_and_end()
        report = await unit.owner.hold(earlier)
        met = ExpectedIncarnation(report.born_ms, report.clock_ms)
        until_ms = report.clock_ms + LEASE_MS + 300
        report = await unit.owner.hold(met, 1, until_ms)
        assert unit.worker.deadline_ms == until_ms
        assert unit.worker.acknowledged_number == 1
        assert report.ended == ()


# -- workers without start times ----------------------------------------------


async def test_clock_that_has_fallen_back_tells_of_a_restart():
    async with open_unit() as unit:
        unit.worker.born_ms = 0
        await unit.start(unit.get_incarnation())
        earlier = await unit.restart()
        unit.worker.born_ms = 0
        assert not earlier.born_ms
        assert await unit.start(earlier) is OrderOutcome.RESTARTED
        report = await unit.owner.hold(earlier, 1, earlier.clock_ms + LEASE_MS)
        assert report.clock_ms < earlier.clock_ms
        unit.check_untouched()


async def test_later_clock_of_a_restarted_worker_refuses_starts_and_leases():
    """Nothing tells it apart, but by its clock the deadlines have passed."""
    async with open_unit() as unit:
        unit.worker.born_ms = 0
        earlier = await unit.restart()
        unit.worker.born_ms = 0
        unit.worker.clock_offset_ms += 2 * earlier.clock_ms
        await unit.run_and_end()
        before_ms = unit.worker.deadline_ms
        assert await unit.start(earlier) is OrderOutcome.TOO_LATE
        await unit.owner.hold(earlier, 1, earlier.clock_ms + LEASE_MS)
        assert unit.worker.started_count == 1
        assert unit.worker.deadline_ms == before_ms
        assert unit.worker.acknowledged_number == 0


# -- refused connections ------------------------------------------------------


async def test_fenced_owner_learns_of_it_as_it_opens_a_connection():
    async with open_unit() as unit:
        unit.worker.fence = OWNER_TOKEN + 1
        met = unit.get_incarnation()
        assert await unit.start(met) is OrderOutcome.FENCED
        with pytest.raises(FencedOrderError):
            await unit.owner.hold(met, 1, met.clock_ms + LEASE_MS)
        unit.check_untouched()


async def test_other_worker_at_the_address_gets_no_order():
    async with open_unit() as unit:
        unit.worker.worker_id = 'w1'
        met = unit.get_incarnation()
        assert await unit.start(met) is OrderOutcome.OTHER_INCARNATION
        with pytest.raises(WorkerChangedError):
            await unit.owner.hold(met, 1, met.clock_ms + LEASE_MS)
        unit.check_untouched()


@pytest.mark.parametrize('address', NO_ADDRESSES)
async def test_call_to_what_is_no_address_is_not_sent(address):
    async with open_owner(address) as owner:
        met = ExpectedIncarnation(1, 1)
        assert await owner.start(met) is OrderOutcome.NOT_SENT
        with pytest.raises(UnavailableError) as caught:
            await owner.hold(met, 1, LEASE_MS)
        assert not isinstance(caught.value, AnswerLostError)


# -- connections that end -----------------------------------------------------


@attrs.define
class BareAgent:
    """An agent on bare sockets, whose connections end in a chosen way.

    Parameters
    ----------
    reset_path : str
        It resets the connection on which it receives such a call.
    closes : bool
        It closes each connection after one answer.
    tells : bool
        Its answers tell that it closes the connection.
    """

    reset_path: str = ''
    closes: bool = False
    tells: bool = False
    calls: list = attrs.field(factory=list)
    born_ms: int = 7
    clock_ms: int = 1000

    def list_bodies(self, path):
        return [body for called, body in self.calls if called == path]

    def get_incarnation(self):
        return ExpectedIncarnation(self.born_ms, self.clock_ms)

    async def serve(self, stream):
        async with stream:
            received = b''
            while True:
                head, separator, rest = received.partition(b'\r\n\r\n')
                length = find_length(head)
                if separator and len(rest) >= length:
                    received = rest[length:]
                    path = head.split()[1].decode()
                    self.calls.append((path, json.loads(rest[:length])))
                    if not await self._answer(stream, path):
                        return
                elif part := await stream.receive_some():
                    received += part
                else:
                    return

    async def _answer(self, stream, path):
        """Answer a call; return whether the connection stays open."""
        if path == self.reset_path:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER
            )
            return False
        answer = {'ClockMs': self.clock_ms, 'born': self.born_ms}
        body = json.dumps(answer).encode()
        ending = b'Connection: close\r\n' if self.tells else b''
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b'
            % (ending, len(body), body)
        )
        return not self.closes


def find_length(head):
    """Return the length of the body that follows a head."""
    fields = (line.lower().partition(b':') for line in head.split(b'\r\n'))
    return next(
        (int(text) for name, _, text in fields if name == b'content-length'), 0
    )


@contextlib.asynccontextmanager
async def open_bare(**options):
    agent = BareAgent(**options)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, agent.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        async with open_owner(f'127.0.0.1:{port}') as owner:
            yield agent, owner
        nursery.cancel_scope.cancel()


async def test_start_on_a_connection_that_is_reset_is_not_sent_again():
    async with open_bare(reset_path=START_PATH) as (agent, owner):
        met = agent.get_incarnation()
        assert await owner.start(met) is OrderOutcome.UNKNOWN
        assert len(agent.list_bodies(START_PATH)) == 1


async def test_start_whose_connection_is_reset_as_it_opens_counts_as_not_sent():
    async with open_bare(reset_path=HOLD_PATH) as (agent, owner):
        met = agent.get_incarnation()
        assert await owner.start(met) is OrderOutcome.NOT_SENT
        assert agent.list_bodies(START_PATH) == []


@pytest.mark.parametrize('tells', [False, True])
async def test_starts_to_a_worker_that_keeps_no_connection_are_sent_once(tells):
    async with open_bare(closes=True, tells=tells) as (agent, owner):
        outcomes = collections.Counter()
        for _ in range(10):
            outcomes[await owner.start(agent.get_incarnation())] += 1
        sent = agent.list_bodies(START_PATH)
    tasks = {body['Task'] for body in sent}
    assert len(tasks) == len(sent)
    sent_or_lost = (
        outcomes[OrderOutcome.STARTED] + outcomes[OrderOutcome.UNKNOWN]
    )
    assert outcomes[OrderOutcome.STARTED] <= len(sent) <= sent_or_lost
    assert set(outcomes) <= {
        OrderOutcome.STARTED,
        OrderOutcome.UNKNOWN,
        OrderOutcome.NOT_SENT,
    }


@pytest.mark.parametrize('tells', [False, True])
async def test_worker_that_keeps_no_connection_is_heard_without_a_lease(tells):
    async with open_bare(closes=True, tells=tells) as (agent, owner):
        met = agent.get_incarnation()
        for _ in range(10):
            with contextlib.suppress(UnavailableError):
                report = await owner.hold(met, 1, LEASE_MS)
                assert report.born_ms == agent.born_ms
        assert (await owner.hold(met)).born_ms == agent.born_ms
        for body in agent.list_bodies(HOLD_PATH):
            assert not {'DeadlineMs', 'LastSeen'} & body.keys()
