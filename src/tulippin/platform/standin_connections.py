"""Connections to stand-in workers in virtual time.

A connection leads to the process that accepted it, and ends with it, unless an
agent on the way forwards its calls. One that is being opened while a worker is
down is accepted by its next incarnation.
"""

from __future__ import annotations

import collections
import typing as t

import attrs
import trio

from tulippin._http_client import HttpAnswer
from tulippin._http_connections import PeerCheck, may_take
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.platform import standin_agent
from tulippin.platform.standin_store import CALL_TIMEOUT_S
from tulippin.platform.standin_worker import StandinWorker
from tulippin.platform.wire import START_PATH, WORKER_HEADER

_LATENCY_S: t.Final = 0.001
# An opening packet that nobody accepted is sent again after this time.
_OPENING_RETRY_S: t.Final = 0.2
_KEEPALIVE_S: t.Final = 12.0
_SCHEME: t.Final = 'http://'


@attrs.define
class _Connection:
    """An open connection to the process that accepted it.

    ``peer`` is what a check has found out about the process.
    """

    worker: StandinWorker
    peer: t.Any = None
    idle_since_s: float = attrs.field(factory=trio.current_time)

    @property
    def is_closed(self) -> bool:
        """Whether the process has closed it, or it was idle for too long."""
        idle_s = trio.current_time() - self.idle_since_s
        return idle_s > _KEEPALIVE_S or self.worker.are_connections_closed


class StandinClient:
    """Calls of one client to one worker; takes the place of ``HttpClient``.

    Parameters
    ----------
    find_worker : callable
        Returns the worker that accepts connections at an address and is in
        reach, after the delay of the network; None if there is none.
    is_in_reach : callable
        Whether a process is up and in reach of the client.
    find_process : callable
        Returns the process that gets the calls of a connection which another
        one has accepted; the same one, unless calls are forwarded.
    """

    def __init__(
        self,
        find_worker: t.Callable[[str], t.Awaitable[StandinWorker | None]],
        is_in_reach: t.Callable[[StandinWorker], bool],
        find_process: t.Callable[[StandinWorker], StandinWorker],
    ) -> None:
        self._find_worker = find_worker
        self._is_in_reach = is_in_reach
        self._find_process = find_process
        self._idle: collections.deque[_Connection] = collections.deque()

    async def close(self) -> None:
        """Close all idle connections."""
        self._idle.clear()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: t.Mapping[str, str] | None = None,
        extra_wait_ms: int = 0,
        check: PeerCheck | None = None,
    ) -> HttpAnswer:
        """Send a call; see ``HttpClient.send``."""
        address, slash, path = url.removeprefix(_SCHEME).partition('/')
        worker_id = (headers or {})[WORKER_HEADER]
        connection = self._take_idle(address, check)
        if connection is None:
            connection = _Connection(await self._open(address))
        if check is not None and connection.peer is None:
            connection.peer = await self._ask(connection, worker_id, check)
        await self._check_open(connection, address)
        answer = await self._call(
            connection.worker, slash + path, worker_id, body
        )
        connection.idle_since_s = trio.current_time()
        self._idle.append(connection)
        return answer

    async def _ask(
        self, connection: _Connection, worker_id: str, check: PeerCheck
    ) -> t.Any:
        if not check.may_ask:
            raise UnavailableError('no connection to a known process is open')
        try:
            answer = await self._call(
                connection.worker, check.path, worker_id, check.question
            )
        except AnswerLostError as error:
            raise UnavailableError(error.message) from error
        return check.confirm(answer.status, answer.body)

    def _take_idle(
        self, address: str, check: PeerCheck | None
    ) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.worker.address != address:
                continue
            is_usable = may_take(check, connection.peer)
            if is_usable and not connection.is_closed:
                return connection
        return None

    async def _check_open(self, connection: _Connection, address: str) -> None:
        """Fail if the process of a connection has ended or is out of reach.

        Nothing tells of the end of a process until its machine is up again.
        """
        await trio.sleep(_LATENCY_S)
        worker = connection.worker = self._find_process(connection.worker)
        if self._is_in_reach(worker):
            return
        if not worker.is_up and await self._find_worker(address) is not None:
            raise AnswerLostError(f'{address} has reset the connection')
        await self._time_out(address)

    async def _time_out(self, address: str) -> t.NoReturn:
        """Wait for the answer to a call until it times out."""
        await trio.sleep(CALL_TIMEOUT_S)
        self._idle.clear()
        raise AnswerLostError(f'{address} does not answer')

    async def _open(self, address: str) -> StandinWorker:
        with trio.move_on_after(CALL_TIMEOUT_S):
            while True:
                worker = await self._find_worker(address)
                if worker is not None:
                    return worker
                await trio.sleep(_OPENING_RETRY_S)
        raise UnavailableError(f'{address} accepts no connection')

    async def _call(
        self, worker: StandinWorker, path: str, worker_id: str, body: bytes
    ) -> HttpAnswer:
        if path == START_PATH and worker.start_order_delay_s:
            order = standin_agent.decode_start(worker, worker_id, body)
            trio.lowlevel.spawn_system_task(_start_late, worker, order)
            await self._time_out(worker.address)
        answer = await standin_agent.answer_call(worker, path, worker_id, body)
        if not self._is_in_reach(worker):
            raise AnswerLostError(f'{worker.address} stopped answering')
        return answer


async def _start_late(worker: StandinWorker, order: t.Any) -> None:
    """Carry out a start order after the worker's delay, without an answer."""
    await trio.sleep(CALL_TIMEOUT_S + worker.start_order_delay_s)
    if worker.is_up:
        worker.handle_start_order(order)
