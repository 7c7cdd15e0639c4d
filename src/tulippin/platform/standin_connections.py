"""Connections to stand-in workers in virtual time.

A connection leads to the process that accepted it, and ends with it. One that
is being opened while a worker is down is accepted by its next incarnation.
"""

from __future__ import annotations

import collections
import typing as t

import attrs
import trio

from tulippin._http_client import HttpAnswer
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.platform import standin_agent
from tulippin.platform.standin_store import CALL_TIMEOUT_S
from tulippin.platform.standin_worker import StandinWorker

_LATENCY_S: t.Final = 0.001
# An opening packet that nobody accepted is sent again after this time.
_OPENING_RETRY_S: t.Final = 0.2
_KEEPALIVE_S: t.Final = 12.0
_SCHEME: t.Final = 'http://'
_WORKER_HEADER: t.Final = 'Expected-Instance'


@attrs.frozen
class _Connection:
    """An open connection to the process that accepted it."""

    worker: StandinWorker
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
    """

    def __init__(
        self,
        find_worker: t.Callable[[str], t.Awaitable[StandinWorker | None]],
        is_in_reach: t.Callable[[StandinWorker], bool],
    ) -> None:
        self._find_worker = find_worker
        self._is_in_reach = is_in_reach
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
        *,
        may_connect: bool = True,
    ) -> HttpAnswer:
        """Send a call; see ``HttpClient.send``."""
        address, slash, path = url.removeprefix(_SCHEME).partition('/')
        worker = self._take_idle()
        if worker is not None:
            await self._check_open(worker, address)
        elif may_connect:
            worker = await self._open(address)
        else:
            raise UnavailableError('no connection is open')
        answer = await self._call(
            worker, slash + path, (headers or {})[_WORKER_HEADER], body
        )
        self._idle.append(_Connection(worker))
        return answer

    def _take_idle(self) -> StandinWorker | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                return connection.worker
        return None

    async def _check_open(self, worker: StandinWorker, address: str) -> None:
        """Fail if the process of a connection has ended or is out of reach.

        Nothing tells of the end of a process until its machine is up again.
        """
        await trio.sleep(_LATENCY_S)
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
        if path == standin_agent.START_PATH and worker.start_order_delay_s:
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
