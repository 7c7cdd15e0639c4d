"""The daemon of a scheduler instance on the users' platform."""

from __future__ import annotations

import contextlib
import functools
import gc
import importlib
import pathlib
import signal
import sys
import typing as t
import uuid

import attrs
import trio

from tulippin import failures
from tulippin._http_client import HttpClient
from tulippin._http_server import HttpServer
from tulippin._lazy_app import LazyApp
from tulippin.clocks import read_clock_ms, read_wall_ms
from tulippin.exceptions import InputError, TulippinError
from tulippin.jobs import (
    JobIntake,
    SchedulerConfig,
    SchedulerPorts,
    SchedulerShell,
)
from tulippin.line_buffer import LineBuffer
from tulippin.logs import logger
from tulippin.platform.advisor import PlatformAdvisor
from tulippin.platform.callers import CallersApp
from tulippin.platform.feeds import PlatformFeeds
from tulippin.platform.store import PlatformStore
from tulippin.platform.workers import PlatformWorkers
from tulippin.scheduler_bundles import follow_bundles
from tulippin.scheduler_lives import LifeKeeper
from tulippin.scheduler_settings import (
    SchedulerSettings,
    load_scheduler_settings,
)
from tulippin.supervision import keep_running

_MS: t.Final = 1000
# An owner writes some 300 lines a second into a buffer of 8,000.
_FLUSH_EVERY_S: t.Final = 0.25
# What is still in the buffer at the end is of the moments before it; a
# reader of its usual speed takes all of it in this time.
_DRAIN_S: t.Final = 1.0
# The store answers in 4 to 9 ms, and in 300 ms when it is slow.
_STORE_TIMEOUT_S: t.Final = 0.9
_STORE_CONNECTIONS: t.Final = 24
# How long the first look at the units waits for what the last life tells: a
# store that takes longer would not tell of the units either.
_LOOK_BACK_S: t.Final = 0.4
# What a process that ends by an error takes to keep why.
_LAST_WRITE_S: t.Final = 0.3
# A worker answers in a few ms; a silent one is asked again.
_WORKER_TIMEOUT_S: t.Final = 0.7
_WORKER_CONNECTIONS: t.Final = 10
# The balancer asks once a second and acts on the second miss.
_BALANCER_S: t.Final = 2.6
# Before the end of the grace: all has to be done by then, and for so long
# before that the listeners close.
_LAST_CALLS_S: t.Final = 1.0
_CLOSING_S: t.Final = 2.0
# Silence of the store after which callers do better elsewhere: a feed
# returns every 1.5 s, and a slow store answers in 0.3 s.
_STORE_SILENCE_MS: t.Final = 2500
# How often the settings file is looked at.
_WATCH_EVERY_S: t.Final = 1.0
# What a reload puts in force; the rest is read at the next start.
_RELOADED: t.Final = frozenset(
    ('store_address', 'grace_ms', 'operators', 'log_level')
)
# New objects between two looks for garbage, and looks of one generation to one
# of the next. Nearly all garbage goes without them; with the usual 700, an
# owner of 37 workers spent 529 us on a start in place of 484 (means of two
# runs each of `bench/unit_load.py --workers 37`).
_GARBAGE_THRESHOLDS: t.Final = (20_000, 20, 20)
_USAGE: t.Final = 'usage: tulippin-instance SETTINGS.ini'


def _get_changed_at(path: str) -> float:
    """Return when a file was last changed; 0 if it is not there."""
    try:
        return pathlib.Path(path).stat().st_mtime
    except OSError:
        return 0


class SchedulerDaemon:
    """One instance with its listeners.

    Parameters
    ----------
    settings : SchedulerSettings
        As read from the file.
    lines : LineBuffer
        Where log lines gather.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        lines: LineBuffer,
        path: str = '',
    ) -> None:
        self.settings = settings
        self._path = path
        self._lines = lines
        self._store: PlatformStore | None = None
        self.ports: dict[str, int] = {}
        self._shell: SchedulerShell | None = None
        self._lives: LifeKeeper | None = None
        self._stopping = trio.Event()
        self._has_seen_units = False

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stopping.set()

    def take_signal(self, number: int) -> None:
        """Reload at SIGHUP; begin the planned stop at any other signal."""
        if number == signal.SIGHUP:
            self.reload()
        else:
            self.stop()

    def reload(self) -> None:
        """Read the settings file again; a faulty one changes nothing."""
        try:
            settings = load_scheduler_settings(self._path)
        except InputError as error:
            logger.error(
                'settings refused',
                findings=[one.render() for one in error.findings],
                reason=error.message,
            )
            return
        except Exception as error:
            # What no check foresaw must not end an instance that works.
            failures.tell('settings failed', error, path=self._path)
            return
        changed = [
            field.name
            for field in attrs.fields(SchedulerSettings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        self.settings = settings
        if self._store is not None:
            self._store.address = settings.store_address
        self._lines.change_level(settings.log_level.upper())
        logger.info(
            'settings read again',
            changed=changed,
            needs_restart=sorted(set(changed) - _RELOADED),
        )

    async def _watch_settings(self) -> None:
        """Notice a changed file that no signal told of."""
        known = _get_changed_at(self._path)
        while True:
            await trio.sleep(_WATCH_EVERY_S)
            found = _get_changed_at(self._path)
            if found != known:
                known = found
                self.reload()

    def get_unready(self) -> str:
        """Return why callers should go elsewhere, or an empty text."""
        shell = self._shell
        if self._stopping.is_set():
            return 'stopping'
        if shell is None or shell.configuration is None:
            return 'no configuration yet'
        if shell.layout is None:
            return 'no units yet'
        self._has_seen_units = self._has_seen_units or shell.has_seen_units
        if not self._has_seen_units:
            return 'no leases yet'
        silent_ms = read_clock_ms() - shell.store_answered_ms
        if silent_ms > _STORE_SILENCE_MS:
            return f'the store has been silent for {silent_ms} ms'
        return ''

    async def run(self, task_status: t.Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop is complete."""
        async with contextlib.AsyncExitStack() as stack:
            shell, lives = await self._open(stack)
            nursery = await stack.enter_async_context(trio.open_nursery())
            self._start_tasks(nursery, lives)
            app = CallersApp(JobIntake(shell), self.get_unready)
            servers = self._make_servers(stack, app)
            await _serve_all(nursery, servers)
            await _start(shell, lives, stack)
            follow = functools.partial(
                follow_bundles, shell, self.settings.operators
            )
            nursery.start_soon(keep_running, 'bundles', follow)
            task_status.started()
            logger.info('started', session=shell.config.session_id)
            await self._stopping.wait()
            await self._leave(app, servers)
            nursery.cancel_scope.cancel()

    def _start_tasks(self, nursery: trio.Nursery, lives: LifeKeeper) -> None:
        nursery.start_soon(keep_running, 'log', self._flush)
        nursery.start_soon(keep_running, 'settings', self._watch_settings)
        nursery.start_soon(lives.begin)

    def _make_servers(
        self, stack: contextlib.AsyncExitStack, app: CallersApp
    ) -> list[HttpServer]:
        """Bind the listeners of callers, readiness and operators."""
        settings = self.settings
        operators = LazyApp(self._make_operators)
        servers = {
            'callers': HttpServer(app, settings.callers),
            'readiness': HttpServer(app, settings.readiness),
            'internal': HttpServer(operators, settings.operators_address),
        }
        for name, server in servers.items():
            stack.enter_context(server)
            self.ports[name] = server.port
        return list(servers.values())

    def _make_operators(self) -> t.Any:
        module = importlib.import_module('tulippin.scheduler_operators')
        api = module.SchedulerOperatorsApi(
            self._shell,
            self._lives,
            self.settings.operators,
            self.get_unready,
        )
        return api.make_app()

    async def _open(
        self, stack: contextlib.AsyncExitStack
    ) -> tuple[SchedulerShell, LifeKeeper]:
        settings = self.settings
        client = await stack.enter_async_context(
            HttpClient(_STORE_TIMEOUT_S, _STORE_CONNECTIONS)
        )
        store = self._store = PlatformStore(settings.store_address, client)
        workers = PlatformWorkers(
            lambda: HttpClient(_WORKER_TIMEOUT_S, _WORKER_CONNECTIONS)
        )
        limit_ms = settings.worker_lease_limit_ms
        config = SchedulerConfig(
            settings.instance_id,
            f'{settings.instance_id}:{uuid.uuid4().hex[:8]}',
            processor_share=settings.processor_share,
            worker_lease_limit_ms=limit_ms,
            worker_lease_ms=min(
                SchedulerConfig.__attrs_attrs__.worker_lease_ms.default,
                limit_ms,
            ),
        )
        self._shell = SchedulerShell(
            config,
            SchedulerPorts(
                store,
                PlatformFeeds(store),
                workers,
                workers.forget,
                PlatformAdvisor(settings.advice_address, client),
            ),
            clock=read_clock_ms,
            wall=read_wall_ms,
        )
        self._lives = LifeKeeper(
            store, config.instance_id, config.session_id, read_wall_ms
        )
        return self._shell, self._lives

    async def _hand_over(self, shell: SchedulerShell) -> None:
        """Give up all units, as long as there is time to close after it.

        Until another has a unit, this instance decides for it: also where the
        store does not take its release.
        """
        grace_s = self.settings.grace_ms / _MS
        with trio.move_on_after(max(grace_s / 2, grace_s - _CLOSING_S)):
            await shell.leave()

    async def _leave(self, app: CallersApp, servers: list[HttpServer]) -> None:
        """Release the unit, answer what comes, then close."""
        logger.info('stopping')
        app.is_closing = True
        grace_s = self.settings.grace_ms / _MS
        with trio.move_on_after(grace_s - _LAST_CALLS_S):
            async with trio.open_nursery() as nursery:
                if self._shell is not None:
                    nursery.start_soon(self._hand_over, self._shell)
                if self._lives is not None:
                    nursery.start_soon(self._lives.end_planned)
                nursery.start_soon(trio.sleep, min(_BALANCER_S, grace_s / 2))
            for server in servers:
                server.shut_down()
            for server in servers:
                await server.stopped.wait()
        logger.info('stopped')
        self._lines.flush()

    async def keep_failure(self, error: BaseException) -> None:
        """Keep for the next life what ended this one, if there is time.

        To be run once ``run`` has ended, with its connections.
        """
        if self._lives is None:
            return
        with trio.move_on_after(_LAST_WRITE_S):
            async with HttpClient(_LAST_WRITE_S, 1) as client:
                address = self.settings.store_address
                self._lives.store = PlatformStore(address, client)
                await self._lives.end_failed(error)

    async def _flush(self) -> None:
        while True:
            self._lines.flush()
            await trio.sleep(_FLUSH_EVERY_S)


async def _serve_all(
    nursery: trio.Nursery, servers: t.Iterable[HttpServer]
) -> None:
    for server in servers:
        await nursery.start(server.serve)


async def _start(
    shell: SchedulerShell, lives: LifeKeeper, stack: contextlib.AsyncExitStack
) -> None:
    """Start a shell, without advice if the last lives ended within seconds.

    What only advises may be what ended them; without it a start costs some
    placement, and with it perhaps one more life.
    """
    with trio.move_on_after(_LOOK_BACK_S):
        await lives.looked.wait()
    shell.config = attrs.evolve(shell.config, is_without_advice=lives.settle())
    await stack.enter_async_context(shell)


async def _run_with_signals(daemon: SchedulerDaemon) -> None:
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:

            async def watch() -> None:
                async for number in signals:
                    daemon.take_signal(number)

            nursery.start_soon(watch)
            await daemon.run()
            nursery.cancel_scope.cancel()


def run_settings(path: str) -> int:
    """Run an instance from a settings file until it ends.

    Returns
    -------
    int
        The exit code. What ended the instance is told as one line; the
        interpreter's own traceback would be no JSON among the others.
    """
    settings = load_scheduler_settings(path)
    # What is loaded by now stays for good.
    gc.freeze()
    gc.set_threshold(*_GARBAGE_THRESHOLDS)
    lines = LineBuffer(
        sys.stdout.fileno(),
        {
            'instance': settings.instance_id,
            'failure_domain': settings.failure_domain,
        },
        settings.log_level.upper(),
    )
    with lines.applicationbound():
        daemon = SchedulerDaemon(settings, lines, path)
        try:
            trio.run(_run_with_signals, daemon)
        except BaseException as error:
            failures.tell('instance failed', error)
            # An exit on purpose has a code of its own.
            if not isinstance(error, Exception):
                raise
            # A signal may end the process before the row is kept.
            lines.flush()
            trio.run(daemon.keep_failure, error)
            return failures.get_exit_code(error)
        finally:
            lines.drain(_DRAIN_S)
    return 0


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run an instance; return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    try:
        if len(given) != 1 or given[0].startswith('-'):
            raise InputError(_USAGE, code='usage')
        return run_settings(given[0])
    except TulippinError as error:
        error.show()
        return error.exit_code


if __name__ == '__main__':
    sys.exit(main())
