"""One HTTP listener: an application served by hypercorn under trio."""

from __future__ import annotations

import socket
import ssl
import typing as t

import trio
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve

from tulippin._http_guard import GuardedApp
from tulippin.exceptions import UnavailableError

_BACKLOG: t.Final = 512
_GRACE_S: t.Final = 3.0


class HttpServer:
    """Serves an application; a context manager that holds the socket.

    Parameters
    ----------
    app : ASGI application
        What answers.
    address : str
        IP and port; port 0 takes a free one, see ``port``.
    certificate, key, authority : str
        PEM files; with an authority, clients must show a certificate.
    """

    def __init__(
        self,
        app: t.Any,
        address: str,
        certificate: str = '',
        key: str = '',
        authority: str = '',
    ) -> None:
        self._app = GuardedApp(app)
        self._address = address
        self._config = HypercornConfig()
        self._config.accesslog = None
        self._config.errorlog = None
        self._config.graceful_timeout = _GRACE_S
        self._config.include_server_header = False
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
        """Bind the socket."""
        host, _, port = self._address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host.strip('[]'), int(port)))
        except OSError as error:
            listener.close()
            raise UnavailableError(
                f'cannot listen on {self._address}: {error}',
                code='address_in_use',
            ) from error
        listener.listen(_BACKLOG)
        self._socket = listener
        self.port = listener.getsockname()[1]
        return self

    def __exit__(self, *details: object) -> None:
        """Close the socket, unless it was served."""
        if self._socket is not None:
            self._socket.close()

    def shut_down(self) -> None:
        """Take nothing new; requests in progress go on to their end."""
        self._stopping.set()

    async def serve(
        self, task_status: t.Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until shut down and all requests are answered."""
        # From here on the socket is hypercorn's, which closes it.
        self._config.bind = [f'fd://{self._socket.detach()}']
        await serve(
            self._app,
            self._config,
            shutdown_trigger=self._stopping.wait,
            task_status=task_status,
        )
        self.stopped.set()
