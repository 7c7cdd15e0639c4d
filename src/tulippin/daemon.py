"""The ``tulippind`` daemon, which runs one instance with its listeners."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import sys
import time
import typing as t

import attrs
import trio

from tulippin import failures
from tulippin._http_client import HttpClient
from tulippin._http_server import HttpServer
from tulippin.client_limits import RequestLimits
from tulippin.clocks import read_clock_ms, read_wall_ms
from tulippin.exceptions import InputError, TulippinError
from tulippin.http_callers import CallersApi
from tulippin.http_operators import OperatorsApi
from tulippin.logs import LogSetup, logger
from tulippin.metrics import ShellMetrics
from tulippin.peers_grpc import GrpcPeers, PeerCredentials, PeerServer
from tulippin.platform_http import HttpDirectory, HttpObjects, HttpTable
from tulippin.ports import Envelope, Ports
from tulippin.settings import Settings, load_settings
from tulippin.shell import Shell
from tulippin.workers_http import HttpEndpoints, HttpWorkers

_MS_PER_S: t.Final = 1000
_STOP_MARGIN_S: t.Final = 5.0
_REQUEST_TIMEOUT_S: t.Final = 660.0
_WORKER_CONNECTIONS: t.Final = 512
_USAGE: t.Final = 'usage: tulippind SETTINGS.ini'


def load_credentials(settings: Settings) -> PeerCredentials | None:
    """Read the PEM files for TLS between peers, if it is configured."""
    tls = settings.tls
    if not tls.peers_certificate:
        return None
    return PeerCredentials(
        pathlib.Path(tls.peers_certificate).read_bytes(),
        pathlib.Path(tls.peers_key).read_bytes(),
        pathlib.Path(tls.peers_authority).read_bytes(),
        tls.peers_name,
    )


class Daemon:
    """One instance with all its listeners.

    Parameters
    ----------
    settings : Settings
        The content of the settings file.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.shell: Shell | None = None
        self.callers_port = 0
        self.operators_port = 0
        self.peers_port = 0
        self._stopping = trio.Event()

    def stop(self) -> None:
        """Begin a planned stop, as SIGTERM does."""
        self._stopping.set()

    def get_unready(self) -> str:
        """Return why the instance is not ready, or an empty text."""
        if self._stopping.is_set():
            return 'stopping'
        if self.shell is None:
            return 'starting'
        return self.shell.get_unready()

    async def run(self, task_status: t.Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop is complete."""
        async with contextlib.AsyncExitStack() as stack:
            await self._open(stack)
            nursery = await stack.enter_async_context(trio.open_nursery())
            servers = self._make_servers(stack)
            for server in servers:
                await nursery.start(server.serve)
            task_status.started()
            logger.info(
                'listening',
                callers=self.callers_port,
                operators=self.operators_port,
                peers=self.peers_port,
            )
            await self._stopping.wait()
            await self._leave()
            for server in servers:
                server.shut_down()
            for server in servers:
                await server.stopped.wait()
            nursery.cancel_scope.cancel()

    async def _open(self, stack: contextlib.AsyncExitStack) -> None:
        """Open the clients, the peers' listener and the shell."""
        credentials = load_credentials(self.settings)
        peers = stack.enter_context(GrpcPeers(credentials))
        listener = stack.enter_context(
            PeerServer(
                self.settings.listen.peers,
                self._receive,
                self._get_bundle,
                credentials,
            )
        )
        self.peers_port = listener.port
        ports = await self._make_ports(stack, peers)
        shell = Shell(
            self._make_config(listener.port),
            ports,
            self.settings.operators,
            clock=read_clock_ms,
            wall=read_wall_ms,
            seed=time.time_ns(),
        )
        self.shell = await stack.enter_async_context(shell)

    def _make_config(self, port: int) -> t.Any:
        """Return the config; a peer port of 0 is replaced by the real one."""
        config = self.settings.config
        host, _, configured_port = config.peer_address.rpartition(':')
        if configured_port != '0':
            return config
        return attrs.evolve(config, peer_address=f'{host}:{port}')

    async def _make_ports(
        self, stack: contextlib.AsyncExitStack, peers: GrpcPeers
    ) -> Ports:
        platform = await stack.enter_async_context(HttpClient())
        workers = await stack.enter_async_context(
            HttpClient(connections=_WORKER_CONNECTIONS)
        )
        services = await stack.enter_async_context(
            HttpClient(_REQUEST_TIMEOUT_S, _WORKER_CONNECTIONS)
        )
        url = self.settings.platform_url
        return Ports(
            HttpTable(url, platform),
            HttpObjects(url, platform),
            HttpDirectory(url, platform),
            HttpWorkers(workers),
            HttpEndpoints(services),
            peers,
        )

    def _make_servers(
        self, stack: contextlib.AsyncExitStack
    ) -> list[HttpServer]:
        shell = self._get_shell()
        tls = self.settings.tls
        callers = CallersApi(shell, self.settings.limits, self.get_unready)
        operators = OperatorsApi(
            shell, callers, ShellMetrics(shell), self.get_unready
        )
        limits = RequestLimits(body_bytes=self.settings.limits.max_body_bytes)
        callers_server = stack.enter_context(
            HttpServer(
                callers.make_app(),
                self.settings.listen.callers,
                get_limits=lambda: limits,
            )
        )
        operators_server = stack.enter_context(
            HttpServer(
                operators.make_app(),
                self.settings.listen.operators,
                tls.operators_certificate,
                tls.operators_key,
                tls.operators_authority,
            )
        )
        self.callers_port = callers_server.port
        self.operators_port = operators_server.port
        return [callers_server, operators_server]

    async def _leave(self) -> None:
        """Finish calls in progress and hand over the owned units."""
        logger.info('stopping')
        grace_ms = self.settings.limits.balancer_grace_ms
        await trio.sleep(grace_ms / _MS_PER_S)
        shell = self._get_shell()
        shell.stop()
        limits = self.settings.limits
        limit_ms = self.settings.config.drain_limit_ms + limits.max_deadline_ms
        limit_s = limit_ms / _MS_PER_S + _STOP_MARGIN_S
        with trio.move_on_after(limit_s) as scope:
            await shell.left.wait()
        if scope.cancelled_caught:
            logger.warning('stopped before the hand-over was complete')
        else:
            logger.info('hand-over complete')

    def _get_shell(self) -> Shell:
        if self.shell is None:
            raise TulippinError('the instance has not started')
        return self.shell

    def _receive(self, envelope: Envelope) -> None:
        if self.shell is not None:
            self.shell.receive(envelope)

    def _get_bundle(self) -> tuple[int, str]:
        if self.shell is None:
            return 0, ''
        state = self.shell.state
        return state.bundle_number, state.bundle_approved


async def _run_with_signals(daemon: Daemon) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def watch() -> None:
            async for _ in signals:
                daemon.stop()

        # The receiver may only be closed after its reader has ended.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await daemon.run()
            nursery.cancel_scope.cancel()


def run_settings(path: str) -> int:
    """Run a daemon from a settings file until it ends.

    Returns
    -------
    int
        The exit code. An error that ends the daemon is logged as one line,
        as a traceback of the interpreter would not be a JSON log line.
    """
    settings = load_settings(path)
    config = settings.config
    with LogSetup(settings.log, config.instance_id, config.failure_domain):
        try:
            trio.run(_run_with_signals, Daemon(settings))
        except BaseException as error:
            failures.tell('instance failed', error)
            # Deliberate exits such as SystemExit have their own exit code.
            if not isinstance(error, Exception):
                raise
            return failures.get_exit_code(error)
    return 0


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run ``tulippind``; return its exit code."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    try:
        if len(argv) != 1 or argv[0].startswith('-'):
            raise InputError(_USAGE, code='usage')
        return run_settings(argv[0])
    except TulippinError as error:
        error.show()
        return error.exit_code


if __name__ == '__main__':
    sys.exit(main())
