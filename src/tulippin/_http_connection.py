"""Connections of the HTTP listener, on those of hypercorn."""

from __future__ import annotations

import contextlib
import functools
import typing as t

import trio
from hypercorn.events import Closed, Event, RawData
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.utils import parse_socket_addr

from tulippin import failures
from tulippin._client_connections import ClientConnection, ConnectionTable
from tulippin._http1_protocol import Http1Protocol
from tulippin.client_limits import RequestLimits

# What is received ahead of its turn is held by each connection.
_RECEIVE_BYTES: t.Final = 16_384
# A client makes progress with each part of a response that it takes.
_SEND_BYTES: t.Final = 16_384
_REFUSAL_TIMEOUT_S: t.Final = 0.1
# How long the rest of a request is read that has been answered before.
_DISCARD_TIMEOUT_S: t.Final = 2.0
_REFUSAL: t.Final = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)
_CLOSED_ERRORS: t.Final = (trio.BrokenResourceError, trio.ClosedResourceError)
_CONNECTION_ERRORS: t.Final = (OSError, trio.TooSlowError, *_CLOSED_ERRORS)


class Connection(TCPServer):
    """Connection that speaks HTTP/1.1, and whose errors end nothing else.

    An error in its protocol would otherwise reach the nursery of the listener
    and end the process.

    Parameters
    ----------
    app, config, context, stream
        As those of hypercorn.
    table : ConnectionTable
        Decides whether the connection has to give way.
    get_limits : callable
        Returns the limits of one request at present.
    """

    def __init__(
        self,
        app: t.Any,
        config: t.Any,
        context: t.Any,
        stream: t.Any,
        table: ConnectionTable,
        get_limits: t.Callable[[], RequestLimits],
    ) -> None:
        super().__init__(app, config, context, {}, stream)
        self._table = table
        self._get_limits = get_limits
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._is_discarding = False
        self._client = ClientConnection(self._give_way)
        self.protocol = None

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        self._table.add(self._client)
        try:
            await self._serve()
        except BaseExceptionGroup as group:
            unexpected, rest = group.split(Exception)
            _report(unexpected)
            if rest is not None:
                raise rest from None
        except Exception as error:
            _report(error)
        finally:
            self._table.remove(self._client)

    def _give_way(self) -> None:
        """Close the connection; an incomplete request has had no effect."""
        if self.protocol is not None:
            self.protocol.abandon()
        self._scope.cancel()

    async def _serve(self) -> None:
        try:
            with self._scope:
                await self._serve_requests()
            if self._client.is_closing:
                await self._refuse()
        finally:
            await trio.aclose_forcefully(self.stream)

    async def _serve_requests(self) -> None:
        is_encrypted = await self._shake_hands()
        async with _AppTasks() as task_group:
            self._task_group = task_group
            self.protocol = self._make_protocol(task_group, is_encrypted)
            await self.idle_task.restart(task_group, self._idle_timeout)
            await self._read_data()
        await self._close()

    async def _refuse(self) -> None:
        """Tell the client that its incomplete request was not run."""
        if self.protocol is None or not self.protocol.may_refuse:
            return
        with trio.move_on_after(_REFUSAL_TIMEOUT_S):
            await self.stream.send_all(_REFUSAL)

    async def _read_data(self) -> None:
        with self._reading:
            await self._read_requests()
            if self._is_discarding:
                await self._discard()
        if self._is_discarding:
            await self._close()
        await self.protocol.handle(Closed())

    async def _read_requests(self) -> None:
        received: t.Any = None
        while received != b'' and not self._is_discarding:
            try:
                received = await self.stream.receive_some(_RECEIVE_BYTES)
            except _CLOSED_ERRORS:
                return
            if not self._is_discarding:
                self._table.note_progress(self._client)
                await self.protocol.handle(RawData(bytes(received)))

    async def _begin_discarding(self) -> None:
        """Send nothing more, and read what the client still sends.

        Closing the connection with bytes unread would reset it, and the client
        might lose the response.
        """
        self._is_discarding = True
        self._reading.deadline = trio.current_time() + _DISCARD_TIMEOUT_S
        self._table.let_give_way_first(self._client)
        if isinstance(self.stream, trio.SocketStream):
            with contextlib.suppress(
                OSError, trio.BusyResourceError, *_CLOSED_ERRORS
            ):
                await self.stream.send_eof()

    async def _discard(self) -> None:
        left_bytes = self._get_limits().request_bytes
        received: t.Any = None
        while received != b'' and left_bytes > 0:
            try:
                received = await self.stream.receive_some(_RECEIVE_BYTES)
            except _CLOSED_ERRORS:
                return
            left_bytes -= len(received)

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the protocol; responses are sent in parts.

        In contrast to hypercorn's, sending can be cancelled, as a client that
        doesn't read would otherwise hold up the end of the process.
        """
        if isinstance(event, Closed) and self.protocol.may_receive_more:
            await self._begin_discarding()
            await self.protocol.handle(Closed())
        elif not isinstance(event, RawData):
            await super().protocol_send(event)
        elif event.data:
            async with self.send_lock:
                await self._send_parts(memoryview(event.data))

    async def _send_parts(self, content: memoryview) -> None:
        for start in range(0, len(content), _SEND_BYTES):
            try:
                await self.stream.send_all(content[start : start + _SEND_BYTES])
            except _CLOSED_ERRORS:
                await self.protocol.handle(Closed())
                return
            self._table.note_progress(self._client)

    async def _shake_hands(self) -> bool:
        """Begin TLS; return whether the connection uses it."""
        if not isinstance(self.stream, trio.SSLStream):
            return False
        with trio.fail_after(self.config.ssl_handshake_timeout):
            await self.stream.do_handshake()
        return True

    def _make_protocol(
        self, task_group: TaskGroup, is_encrypted: bool
    ) -> Http1Protocol:
        stream = self.stream
        if is_encrypted:
            stream = stream.transport_stream
        family = stream.socket.family
        return Http1Protocol(
            self.app,
            self.config,
            self.context,
            task_group,
            self.state,
            is_encrypted,
            parse_socket_addr(family, stream.socket.getpeername()),
            parse_socket_addr(family, stream.socket.getsockname()),
            self.protocol_send,
            table=self._table,
            connection=self._client,
            get_limits=self._get_limits,
        )


class _AppTasks(TaskGroup):
    """Task group whose applications may end before they got their request.

    Those of hypercorn leave the connection waiting, and open, where more parts
    of the request come than its queue takes.
    """

    async def spawn_app(
        self, app: t.Any, config: t.Any, scope: t.Any, send: t.Any
    ) -> t.Any:
        """Start an application; return the function that passes it messages."""
        sender, receiver = trio.open_memory_channel[t.Any](
            config.max_app_queue_size
        )
        self._nursery.start_soon(_run_app, app, scope, receiver, send)
        return functools.partial(_put, sender)


async def _run_app(
    app: t.Any,
    scope: t.Any,
    receiver: trio.MemoryReceiveChannel[t.Any],
    send: t.Any,
) -> None:
    receive = functools.partial(_receive, receiver)
    try:
        await app(
            scope, receive, send, trio.to_thread.run_sync, trio.from_thread.run
        )
    finally:
        receiver.close()
        await send(None)


async def _put(
    sender: trio.MemorySendChannel[t.Any], message: dict[str, t.Any]
) -> None:
    """Pass a message to an application, unless it has ended."""
    if message['type'] == 'http.disconnect':
        sender.close()
        return
    ended = (trio.BrokenResourceError, trio.ClosedResourceError)
    with contextlib.suppress(*ended):
        await sender.send(message)


async def _receive(
    receiver: trio.MemoryReceiveChannel[t.Any],
) -> dict[str, t.Any]:
    try:
        return await receiver.receive()
    except trio.EndOfChannel:
        return {'type': 'http.disconnect'}


def _report(error: BaseException | None) -> None:
    """Log an error, unless the client has merely broken the connection."""
    if isinstance(error, BaseExceptionGroup):
        _, error = error.split(_CONNECTION_ERRORS)
    if error is not None and not isinstance(error, _CONNECTION_ERRORS):
        failures.tell('connection failed', error)
