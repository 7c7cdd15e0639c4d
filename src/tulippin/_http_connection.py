"""Connections of the HTTP listener, on those of hypercorn."""

from __future__ import annotations

import typing as t

import trio
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.utils import parse_socket_addr

from tulippin import failures
from tulippin._http1_protocol import Http1Protocol

_CONNECTION_ERRORS: t.Final = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


class Connection(TCPServer):
    """Connection that speaks HTTP/1.1, and whose errors end nothing else.

    An error in its protocol would otherwise reach the nursery of the listener
    and end the process.
    """

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            await self._serve()
        except BaseExceptionGroup as group:
            unexpected, rest = group.split(Exception)
            _report(unexpected)
            if rest is not None:
                raise rest from None
        except Exception as error:
            _report(error)

    async def _serve(self) -> None:
        try:
            is_encrypted = await self._shake_hands()
            async with TaskGroup() as task_group:
                self._task_group = task_group
                self.protocol = self._make_protocol(task_group, is_encrypted)
                await self.idle_task.restart(task_group, self._idle_timeout)
                await self._read_data()
        finally:
            await self._close()

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
        )


def _report(error: BaseException | None) -> None:
    """Log an error, unless the client has merely broken the connection."""
    if isinstance(error, BaseExceptionGroup):
        _, error = error.split(_CONNECTION_ERRORS)
    if error is not None and not isinstance(error, _CONNECTION_ERRORS):
        failures.tell('connection failed', error)
