"""Listeners of a scheduler instance: for callers, checks and operators."""

from __future__ import annotations

import contextlib
import typing as t

import trio

from tulippin._client_connections import ConnectionTable
from tulippin._http_server import HttpServer
from tulippin._lazy_app import LazyApp
from tulippin.client_limits import RequestLimits
from tulippin.jobs import SchedulerShell
from tulippin.platform.callers import CallersApp
from tulippin.scheduler_settings import SchedulerSettings


class Listeners(contextlib.ExitStack):
    """Listeners of an instance; a context manager that closes their sockets.

    Parameters
    ----------
    settings : SchedulerSettings
        Holds the addresses.
    shell : SchedulerShell
        Holds the configuration with the limits of a request.
    connections : ConnectionTable
        Connections of all clients of the instance.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        shell: SchedulerShell,
        connections: ConnectionTable,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._shell = shell
        self._connections = connections
        self._servers: dict[str, HttpServer] = {}

    async def serve(
        self,
        nursery: trio.Nursery,
        callers: CallersApp,
        make_operators: t.Callable[[], t.Any],
    ) -> dict[str, int]:
        """Bind all listeners, then serve; return their ports by name.

        Raises
        ------
        UnavailableError
            If an address is in use.
        """
        settings = self._settings
        operators = LazyApp(make_operators)
        self._servers = {
            'callers': self._bind(
                callers, settings.callers, self._get_request_limits
            ),
            'readiness': self._bind(callers, settings.readiness),
            'internal': self._bind(operators, settings.operators_address),
        }
        for server in self._servers.values():
            await nursery.start(server.serve)
        return {name: server.port for name, server in self._servers.items()}

    async def close(self, limit_s: float) -> None:
        """Close the listeners, and wait until all requests are answered."""
        for server in self._servers.values():
            server.shut_down(limit_s)
        for server in self._servers.values():
            await server.stopped.wait()

    def _bind(
        self,
        app: t.Any,
        address: str,
        get_limits: t.Callable[[], RequestLimits] = RequestLimits,
    ) -> HttpServer:
        return self.enter_context(
            HttpServer(
                app,
                address,
                table=self._connections,
                get_limits=get_limits,
            )
        )

    def _get_request_limits(self) -> RequestLimits:
        """Return the limits of a request, which the operators configure."""
        configuration = self._shell.configuration
        if configuration is None:
            return RequestLimits()
        return RequestLimits(
            configuration.max_header_bytes, configuration.max_body_bytes
        )
