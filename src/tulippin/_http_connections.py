"""Connections that an HTTP client keeps open between its requests.

The library's own pool looks at every connection, and asks the kernel about
each idle one, at the start and at the end of every request. An owner's
calls to its workers spent 1.0 s of every 2.7 s there (profile of an owner
of 24 workers with 190 starts a second); here a request takes one idle
connection and asks about that one alone.
"""

from __future__ import annotations

import collections
import contextlib
import ssl
import typing as t

import httpcore
import trio

_NOTHING: t.Final = b''


class ConnectionPool:
    """Idle connections by address, the last one used on top.

    Parameters
    ----------
    connections : int
        The most connections in use at one time.
    keepalive_s : float
        How long a connection may be idle.
    """

    def __init__(self, connections: int, keepalive_s: float) -> None:
        self._limiter = trio.CapacityLimiter(connections)
        self._keepalive_s = keepalive_s
        self._backend = JoiningBackend()
        self._idle: dict[str, collections.deque[httpcore.AsyncHTTPConnection]]
        self._idle = {}
        self._is_closed = False

    async def request(
        self,
        method: str,
        url: str,
        headers: list[tuple[bytes, bytes]],
        content: bytes,
        timeouts: dict[str, float],
    ) -> httpcore.Response:
        """Send a request and read its whole answer.

        Raises
        ------
        httpcore.PoolTimeout
            If no connection became free in time; nothing was sent.
        httpcore.NetworkError, httpcore.ProtocolError
            If the request failed.
        httpcore.TimeoutException
            If it took too long.
        """
        target = httpcore.URL(url)
        await self._take_turn(timeouts['pool'])
        connection = await self._take(target.origin)
        try:
            return await connection.request(
                method,
                target,
                headers=headers,
                content=content,
                extensions={'timeout': timeouts},
            )
        finally:
            self._limiter.release()
            await self._put_back(connection, target.origin)

    async def aclose(self) -> None:
        """Close all idle connections, and those in use once they are not."""
        self._is_closed = True
        for idle in self._idle.values():
            while idle:
                await _close(idle.pop())

    async def _take_turn(self, timeout_s: float) -> None:
        with contextlib.suppress(trio.WouldBlock):
            self._limiter.acquire_nowait()
            return
        try:
            with trio.fail_after(timeout_s):
                await self._limiter.acquire()
        except trio.TooSlowError as error:
            raise httpcore.PoolTimeout('no connection is free') from error

    async def _take(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection that is still good, or a new one."""
        idle = self._idle.get(str(origin), ())
        while idle:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(
            origin,
            keepalive_expiry=self._keepalive_s,
            network_backend=self._backend,
        )

    async def _put_back(
        self,
        connection: httpcore.AsyncHTTPConnection,
        origin: httpcore.Origin,
    ) -> None:
        # A connection that was never made counts as idle and as closed.
        is_good = connection.is_idle() and not connection.is_closed()
        if self._is_closed or not is_good:
            await _close(connection)
            return
        idle = self._idle.setdefault(str(origin), collections.deque())
        idle.append(connection)
        if idle[0].has_expired():
            await _close(idle.popleft())


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    if not connection.is_closed():
        with trio.CancelScope(shield=True):
            await connection.aclose()


class JoiningBackend(httpcore.TrioBackend):
    """Makes connections that send each request in one piece."""

    async def connect_tcp(self, *args: t.Any, **options: t.Any) -> t.Any:
        """Connect; see the library."""
        return JoiningStream(await super().connect_tcp(*args, **options))


class JoiningStream(httpcore.AsyncNetworkStream):
    """A stream that sends what was written once an answer is awaited.

    The library writes a request's head and body apart, which cost a system
    call and a packet more for each request, and the other side a wake-up.

    Parameters
    ----------
    stream : httpcore.AsyncNetworkStream
        The connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._written: list[bytes] = []
        self._timeout_s: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what was written, then receive."""
        if self._written:
            joined = _NOTHING.join(self._written)
            self._written.clear()
            # The other side may have answered before it closed; if not,
            # the reading fails.
            with contextlib.suppress(httpcore.WriteError):
                await self._stream.write(joined, self._timeout_s)
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep bytes until an answer is awaited."""
        if buffer:
            self._written.append(buffer)
            self._timeout_s = timeout

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Go on with TLS; nothing was written before that."""
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return JoiningStream(stream)

    def get_extra_info(self, info: str) -> t.Any:
        """Return what the library knows of the connection."""
        return self._stream.get_extra_info(info)
