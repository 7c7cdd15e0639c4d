"""HTTP listener that serves an ASGI application with hypercorn and trio."""

from __future__ import annotations

import functools
import select
import socket
import ssl
import typing as t

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio.worker_context import WorkerContext

from tulippin._client_connections import ConnectionTable
from tulippin._http_connection import Connection
from tulippin._http_guard import ErrorMiddleware
from tulippin.client_limits import ClientLimits, RequestLimits
from tulippin.exceptions import UnavailableError

_BACKLOG_CONNECTIONS: t.Final = 512
# What the kernel holds of each connection counts as memory of the machine.
_RECEIVE_BUFFER_BYTES: t.Final = 16_384
_SEND_BUFFER_BYTES: t.Final = 8192
_SHUTDOWN_LIMIT_S: t.Final = 3.0
# Limits in rounds of the event loop, since a delayed loop would use up a limit
# in time at once: for a listener that shuts down, to accept the connections in
# its queue; for an accepted connection, to read the request it has received.
_ACCEPT_ROUNDS: t.Final = 2 * _BACKLOG_CONNECTIONS
_READ_ROUNDS: t.Final = 20


class HttpServer:
    """Serves an application; a context manager that binds the socket.

    Parameters
    ----------
    app : ASGI application
        The application to serve.
    address : str
        IP address and port. With port 0 the system assigns a free port,
        which ``port`` holds after the socket is bound.
    certificate, key, authority : str
        PEM files. With an authority, clients must present a certificate.
    table : ConnectionTable, optional
        Connections of the process. Whoever gives it runs its ``watch``; a
        server without one has a table of its own.
    get_limits : callable
        Returns the limits of one request at present.
    """

    def __init__(
        self,
        app: t.Any,
        address: str,
        certificate: str = '',
        key: str = '',
        authority: str = '',
        *,
        table: ConnectionTable | None = None,
        get_limits: t.Callable[[], RequestLimits] = RequestLimits,
    ) -> None:
        self._app = ASGIWrapper(ErrorMiddleware(app))
        self._address = address
        self._has_own_table = table is None
        if table is None:
            table = ConnectionTable(ClientLimits())
        self._table = table
        self._get_limits = get_limits
        self._config = HypercornConfig()
        self._config.accesslog = None
        self._config.errorlog = None
        self._config.include_server_header = False
        self._config.alpn_protocols = ['http/1.1']
        if certificate:
            self._config.certfile = certificate
            self._config.keyfile = key
        if authority:
            self._config.ca_certs = authority
            self._config.verify_mode = ssl.CERT_REQUIRED
        self._socket: socket.socket | None = None
        self._stopping = trio.Event()
        self.stopped = trio.Event()
        self.port = 0

    def __enter__(self) -> t.Self:
        """Bind the socket and listen."""
        host, _, port = self._address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        try:
            listener.bind((host.strip('[]'), int(port)))
        except OSError as error:
            listener.close()
            raise UnavailableError(
                f'cannot listen on {self._address}: {error}',
                code='address_in_use',
            ) from error
        listener.listen(_BACKLOG_CONNECTIONS)
        self._socket = listener
        self.port = listener.getsockname()[1]
        return self

    def __exit__(self, *details: object) -> None:
        """Close the socket, unless ``serve`` owns it."""
        if self._socket is not None:
            self._socket.close()

    def shut_down(self, limit_s: float = _SHUTDOWN_LIMIT_S) -> None:
        """Stop accepting requests; requests in progress complete.

        Parameters
        ----------
        limit_s : float
            Time after which requests in progress are cancelled.
        """
        self._config.graceful_timeout = limit_s
        self._stopping.set()

    async def serve(
        self, task_status: t.Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until ``shut_down`` is called and all requests are complete."""
        # The listener owns the socket from here on and closes it.
        owned = socket.socket(fileno=self._socket.detach())
        listener = self._make_listener(owned)
        context = WorkerContext(None)
        handle = functools.partial(self._handle_connection, context)
        async with trio.open_nursery() as connections:
            accept = functools.partial(
                trio.serve_listeners,
                handle,
                [listener],
                handler_nursery=connections,
                task_status=task_status,
            )
            try:
                await self._accept_until_shutdown(accept, owned.fileno())
            finally:
                await context.terminated.set()
                connections.cancel_scope.deadline = (
                    trio.current_time() + self._config.graceful_timeout
                )
        self.stopped.set()

    async def _accept_until_shutdown(
        self, accept: t.Callable[[], t.Awaitable[t.Any]], descriptor: int
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept)
            if self._has_own_table:
                nursery.start_soon(self._table.watch)
            await self._wait_for_shutdown(descriptor)
            nursery.cancel_scope.cancel()

    async def _handle_connection(
        self, context: WorkerContext, stream: t.Any
    ) -> None:
        connection = Connection(
            self._app,
            self._config,
            context,
            stream,
            self._table,
            self._get_limits,
        )
        await connection.run()

    def _make_listener(self, owned: socket.socket) -> t.Any:
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(owned))
        context = self._config.create_ssl_context()
        if context is None:
            return listener
        return trio.SSLListener(listener, context, https_compatible=True)

    async def _wait_for_shutdown(self, descriptor: int) -> None:
        """Wait until the listener is to be closed.

        Closing it resets the connections in its queue, and closes those that
        haven't read their request.
        """
        await self._stopping.wait()
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        quiet_rounds = 0
        for _ in range(_ACCEPT_ROUNDS):
            quiet_rounds = 0 if poll.poll(0) else quiet_rounds + 1
            if quiet_rounds > _READ_ROUNDS:
                break
            await trio.lowlevel.checkpoint()
