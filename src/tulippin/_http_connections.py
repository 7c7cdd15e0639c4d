"""Pool of keep-alive connections for the HTTP client.

The pool of httpcore scans all connections, with a system call for each idle
one, at the start and at the end of every request. An owner of 24 workers with
190 starts a second spent 1.0 s of every 2.7 s of its calls to workers there.
The pool here checks only the connection that a request uses.
"""

from __future__ import annotations

import collections
import contextlib
import ssl
import typing as t

import attrs
import httpcore
import trio

_EMPTY: t.Final = b''


class PeerCheck(t.Protocol):
    """Finds out which process has accepted a connection.

    ``path`` and ``question`` are of the request that asks it, which is the
    first one of a connection that needs to be known. If it may not be asked,
    the request goes only over connections to processes that are known.
    """

    path: str
    question: bytes
    may_ask: bool

    def confirm(self, status: int, body: bytes) -> t.Any:
        """Return who gave an answer to the question; raise to send nothing."""

    def accepts(self, peer: t.Any) -> bool:
        """Whether the request may go to a process that was confirmed."""


def may_take(check: PeerCheck | None, peer: t.Any) -> bool:
    """Whether an open connection to a peer may be taken for a request.

    One whose peer is not known, None, may be: it is asked first.
    """
    return check is None or peer is None or check.accepts(peer)


@attrs.define
class _Connection:
    """A connection; ``peer`` is the process that it leads to, if known."""

    http: httpcore.AsyncHTTPConnection
    peer: t.Any = None


class ConnectionPool:
    """Keep-alive connections by origin; the last one used is reused first.

    Parameters
    ----------
    connections : int
        Maximum number of connections in use at one time.
    keepalive_s : float
        Maximum time that a connection may be idle.
    """

    def __init__(self, connections: int, keepalive_s: float) -> None:
        self._limiter = trio.CapacityLimiter(connections)
        self._keepalive_s = keepalive_s
        self._backend = CoalescingBackend()
        self._idle: dict[str, collections.deque[_Connection]] = {}
        self._is_closed = False

    async def request(
        self,
        method: str,
        url: str,
        headers: list[tuple[bytes, bytes]],
        content: bytes,
        timeouts: dict[str, float],
        check: PeerCheck | None = None,
    ) -> httpcore.Response:
        """Send a request and read the whole response.

        With a check, the request goes only over a connection to a process that
        the check accepts. The errors of the check are raised as they are.

        Raises
        ------
        httpcore.ConnectError
            If no connection could be opened, or its process did not answer the
            question of the check. The request was not sent.
        httpcore.PoolTimeout
            If no connection became free in time. The request was not sent.
        httpcore.NetworkError, httpcore.ProtocolError
            If the request failed.
        httpcore.TimeoutException
            If connecting, reading or writing took too long.
        """
        target = httpcore.URL(url)
        await self._acquire_slot(timeouts['pool'])
        connection = await self._get_connection(target.origin, check)
        try:
            if check is not None and connection.peer is None:
                connection.peer = await _ask(
                    connection.http, target, headers, timeouts, check
                )
            return await connection.http.request(
                method,
                target,
                headers=headers,
                content=content,
                extensions={'timeout': timeouts},
            )
        finally:
            self._limiter.release()
            await self._return_connection(connection, target.origin)

    async def aclose(self) -> None:
        """Close idle connections now, those in use after their request."""
        self._is_closed = True
        for idle in self._idle.values():
            while idle:
                await _close(idle.pop().http)

    async def _acquire_slot(self, timeout_s: float) -> None:
        with contextlib.suppress(trio.WouldBlock):
            self._limiter.acquire_nowait()
            return
        try:
            with trio.fail_after(timeout_s):
                await self._limiter.acquire()
        except trio.TooSlowError as error:
            raise httpcore.PoolTimeout('no connection is free') from error

    async def _get_connection(
        self, origin: httpcore.Origin, check: PeerCheck | None
    ) -> _Connection:
        """Return an idle connection that is still usable, or a new one.

        One to a process that the check doesn't accept is closed.
        """
        idle = self._idle.get(str(origin), ())
        while idle:
            connection = idle.pop()
            is_usable = may_take(check, connection.peer)
            if is_usable and not connection.http.has_expired():
                return connection
            await _close(connection.http)
        return _Connection(
            httpcore.AsyncHTTPConnection(
                origin,
                keepalive_expiry=self._keepalive_s,
                network_backend=self._backend,
            )
        )

    async def _return_connection(
        self,
        connection: _Connection,
        origin: httpcore.Origin,
    ) -> None:
        # httpcore reports a connection that failed to open as both idle and
        # closed.
        http = connection.http
        is_reusable = http.is_idle() and not http.is_closed()
        if self._is_closed or not is_reusable:
            await _close(http)
            return
        idle = self._idle.setdefault(str(origin), collections.deque())
        idle.append(connection)
        if idle[0].http.has_expired():
            await _close(idle.popleft().http)


async def _ask(
    connection: httpcore.AsyncHTTPConnection,
    target: httpcore.URL,
    headers: list[tuple[bytes, bytes]],
    timeouts: dict[str, float],
    check: PeerCheck,
) -> t.Any:
    """Ask who has accepted a connection, before it takes a request."""
    if not check.may_ask:
        raise httpcore.ConnectError('no connection to a known process is open')
    url = httpcore.URL(
        scheme=target.scheme,
        host=target.host,
        port=target.port,
        target=check.path,
    )
    try:
        response = await connection.request(
            b'POST',
            url,
            headers=headers,
            content=check.question,
            extensions={'timeout': timeouts},
        )
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        raise httpcore.ConnectError(f'no first answer: {error!r}') from error
    peer = check.confirm(response.status, response.content)
    if connection.is_closed():
        raise httpcore.ConnectError('the server closes each connection')
    return peer


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    if not connection.is_closed():
        with trio.CancelScope(shield=True):
            await connection.aclose()


class CoalescingBackend(httpcore.TrioBackend):
    """Opens connections that send each request in a single write."""

    async def connect_tcp(self, *args: t.Any, **options: t.Any) -> t.Any:
        """Open a TCP connection that coalesces writes."""
        return CoalescingStream(await super().connect_tcp(*args, **options))


class CoalescingStream(httpcore.AsyncNetworkStream):
    """A stream that buffers writes until the next read.

    httpcore writes the head and the body of a request separately, which
    costs another system call and packet for each request, and another
    wake-up of the server.

    Parameters
    ----------
    stream : httpcore.AsyncNetworkStream
        The underlying connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._pending_writes: list[bytes] = []
        self._write_timeout_s: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered writes, then receive."""
        if self._pending_writes:
            pending = _EMPTY.join(self._pending_writes)
            self._pending_writes.clear()
            # The server may have sent a response before it closed the
            # connection. If not, the read below fails.
            with contextlib.suppress(httpcore.WriteError):
                await self._stream.write(pending, self._write_timeout_s)
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the next read."""
        if buffer:
            self._pending_writes.append(buffer)
            self._write_timeout_s = timeout

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS; no writes are buffered at that point."""
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return CoalescingStream(stream)

    def get_extra_info(self, info: str) -> t.Any:
        """Return details of the underlying connection."""
        return self._stream.get_extra_info(info)
