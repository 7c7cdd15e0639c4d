"""Daemon of a scheduler instance; the entry point `tulippin-instance`."""

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
from tulippin._client_connections import ConnectionTable
from tulippin._http_client import HttpClient
from tulippin._scheduler_listeners import Listeners
from tulippin.clocks import read_clock_ms, read_wall_ms
from tulippin.exceptions import InputError, TulippinError
from tulippin.jobs import (
    STORE_TIMEOUT_S,
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
from tulippin.scheduler_process_records import ProcessRecorder
from tulippin.scheduler_settings import (
    SchedulerSettings,
    load_scheduler_settings,
)
from tulippin.supervision import keep_running

_MS_PER_S: t.Final = 1000
# An owner writes about 300 lines a second into a buffer of 8,000.
_FLUSH_INTERVAL_S: t.Final = 0.25
# Time for which a process that exits waits until its buffered log lines are
# read; a full buffer is usually read in this time.
_LOG_DRAIN_TIMEOUT_S: t.Final = 1.0
_STORE_TIMEOUT_S: t.Final = STORE_TIMEOUT_S
_MAX_STORE_CONNECTIONS: t.Final = 24
# Maximum wait for the record of the previous process before the units are
# read: a store that takes longer would not return the units either.
_PREVIOUS_RECORD_TIMEOUT_S: t.Final = 0.4
# Time that a failed process may take to store the cause of its failure.
_FAILURE_WRITE_TIMEOUT_S: t.Final = 0.3
# A worker answers in a few ms; requests without an answer are repeated.
_WORKER_TIMEOUT_S: t.Final = 0.7
_MAX_WORKER_CONNECTIONS: t.Final = 10
# Time for the load balancer to notice that the instance is not ready: it
# checks once a second and acts on the second failure.
_BALANCER_NOTICE_S: t.Final = 2.6
# Reserved at the end of the grace period: for the last requests, and for the
# end of the process alone.
_LAST_REQUESTS_S: t.Final = 1.0
_EXIT_S: t.Final = 0.5
# Time for the last answers to be sent.
_LAST_ANSWERS_S: t.Final = 0.25
_CLOSE_LISTENERS_S: t.Final = 2.0
# The instance is not ready if the store hasn't answered for this long: a feed
# returns every 1.5 s, and a slow store answers in 0.3 s.
_MAX_STORE_SILENCE_MS: t.Final = 2500
_SETTINGS_CHECK_INTERVAL_S: t.Final = 1.0
# Settings that a reload applies; the others need a restart.
_RELOADABLE_SETTINGS: t.Final = frozenset(
    ('store_address', 'grace_ms', 'operators', 'log_level')
)
# Thresholds of Python's cyclic garbage collector, the first in new objects.
# Reference counting frees nearly all garbage; with the default of 700, an owner
# of 37 workers needs 529 us per start instead of 484 us
# (`bench/unit_load.py --workers 37`).
_GC_THRESHOLDS: t.Final = (20_000, 20, 20)
_USAGE: t.Final = 'usage: tulippin-instance SETTINGS.ini'


def _get_modified_s(path: str) -> float:
    """Return the modification time of a file; 0 if it doesn't exist."""
    try:
        return pathlib.Path(path).stat().st_mtime
    except OSError:
        return 0


class SchedulerDaemon:
    """Scheduler instance with its listeners and background tasks.

    Parameters
    ----------
    settings : SchedulerSettings
        Settings of the instance.
    lines : LineBuffer
        Buffer of log lines, flushed by the daemon.
    path : str
        Settings file for reloads.
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
        self._recorder: ProcessRecorder | None = None
        self._stopping = trio.Event()
        self._has_seen_units = False
        self._connections = ConnectionTable(settings.client_limits)

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    def handle_signal(self, number: int) -> None:
        """Reload the settings at SIGHUP; begin a planned stop otherwise."""
        if number == signal.SIGHUP:
            self.reload()
        else:
            self.stop()

    def reload(self) -> None:
        """Read the settings file again; an invalid one is ignored."""
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
            # An error that the validation misses must not end the instance.
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
            'settings reloaded',
            changed=changed,
            needs_restart=sorted(set(changed) - _RELOADABLE_SETTINGS),
        )

    async def _watch_settings(self) -> None:
        """Reload the settings when the file changes, without a signal."""
        last_modified_s = _get_modified_s(self._path)
        while True:
            await trio.sleep(_SETTINGS_CHECK_INTERVAL_S)
            modified_s = _get_modified_s(self._path)
            if modified_s != last_modified_s:
                last_modified_s = modified_s
                self.reload()

    def get_unready(self) -> str:
        """Return why the instance is not ready, or an empty string."""
        shell = self._shell
        if self._stopping.is_set():
            return 'stopping'
        if shell is None or shell.configuration is None:
            return 'no configuration yet'
        if shell.layout is None:
            return 'no units yet'
        self._has_seen_units = self._has_seen_units or shell.are_owners_known
        if not self._has_seen_units:
            return 'no leases yet'
        silent_ms = read_clock_ms() - shell.store_answered_ms
        if silent_ms > _MAX_STORE_SILENCE_MS:
            return f'the store has been silent for {silent_ms} ms'
        return ''

    async def run(self, task_status: t.Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run the instance until a planned stop is complete."""
        async with contextlib.AsyncExitStack() as stack:
            shell, recorder = await self._create_components(stack)
            nursery = await stack.enter_async_context(trio.open_nursery())
            self._start_tasks(nursery, recorder)
            app = CallersApp(JobIntake(shell), self.get_unready)
            listeners = Listeners(self.settings, shell, self._connections)
            stack.enter_context(listeners)
            self.ports = await listeners.serve(
                nursery, app, self._make_operators
            )
            await _start_shell(shell, recorder, stack)
            follow = functools.partial(
                follow_bundles, shell, self.settings.operators
            )
            nursery.start_soon(keep_running, 'bundles', follow)
            task_status.started()
            logger.info('started', session=shell.config.session_id)
            await self._stopping.wait()
            await self._shut_down(app, listeners)
            nursery.cancel_scope.cancel()

    def _start_tasks(
        self, nursery: trio.Nursery, recorder: ProcessRecorder
    ) -> None:
        nursery.start_soon(keep_running, 'log', self._flush)
        nursery.start_soon(keep_running, 'settings', self._watch_settings)
        nursery.start_soon(keep_running, 'connections', self._connections.watch)
        nursery.start_soon(recorder.begin)

    def _make_operators(self) -> t.Any:
        module = importlib.import_module('tulippin.scheduler_operators')
        api = module.SchedulerOperatorsApi(
            self._shell,
            self._recorder,
            self.settings.operators,
            self.get_unready,
            self._connections,
        )
        return api.make_app()

    async def _create_components(
        self, stack: contextlib.AsyncExitStack
    ) -> tuple[SchedulerShell, ProcessRecorder]:
        """Create the clients, the shell and the process recorder."""
        settings = self.settings
        client = await stack.enter_async_context(
            HttpClient(_STORE_TIMEOUT_S, _MAX_STORE_CONNECTIONS)
        )
        store = self._store = PlatformStore(settings.store_address, client)
        workers = PlatformWorkers(
            lambda: HttpClient(_WORKER_TIMEOUT_S, _MAX_WORKER_CONNECTIONS)
        )
        lease_limit_ms = settings.worker_lease_limit_ms
        config = SchedulerConfig(
            settings.instance_id,
            f'{settings.instance_id}:{uuid.uuid4().hex[:8]}',
            processor_share=settings.processor_share,
            worker_lease_limit_ms=lease_limit_ms,
            features=settings.features,
            worker_lease_ms=min(
                SchedulerConfig.__attrs_attrs__.worker_lease_ms.default,
                lease_limit_ms,
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
        self._recorder = ProcessRecorder(
            store, config.instance_id, config.session_id, read_wall_ms
        )
        return self._shell, self._recorder

    async def _hand_over(self, shell: SchedulerShell) -> None:
        """Release all units, within the time that closing leaves.

        This instance goes on deciding for a unit until another instance owns
        it, also if the store rejects the release.
        """
        grace_s = self.settings.grace_ms / _MS_PER_S
        with trio.move_on_after(max(grace_s / 2, grace_s - _CLOSE_LISTENERS_S)):
            await shell.leave()

    async def _shut_down(self, app: CallersApp, listeners: Listeners) -> None:
        """Release the units, go on serving requests, then close.

        Requests are served until the load balancer has noticed the stop.
        """
        logger.info('stopping')
        grace_s = self.settings.grace_ms / _MS_PER_S
        ends_s = trio.current_time() + grace_s - _LAST_REQUESTS_S
        app.close_by(ends_s - _LAST_ANSWERS_S)
        with trio.move_on_at(ends_s):
            async with trio.open_nursery() as nursery:
                if self._shell is not None:
                    nursery.start_soon(self._hand_over, self._shell)
                if self._recorder is not None:
                    nursery.start_soon(self._recorder.end_planned)
                nursery.start_soon(
                    trio.sleep, min(_BALANCER_NOTICE_S, grace_s / 2)
                )
            await listeners.close(grace_s)
        # A separate limit: where the event loop was delayed, the answers have
        # time that begins when they can be sent.
        with trio.move_on_after(_LAST_REQUESTS_S - _EXIT_S) as scope:
            await listeners.close(grace_s)
        logger.info('stopped', has_unanswered=scope.cancelled_caught)
        self._lines.flush()

    async def record_failure(self, error: BaseException) -> None:
        """Store the error that ended this process, for its next start.

        Called after ``run`` has ended and closed its connections. Gives up
        after a short timeout.
        """
        if self._recorder is None:
            return
        with trio.move_on_after(_FAILURE_WRITE_TIMEOUT_S):
            async with HttpClient(_FAILURE_WRITE_TIMEOUT_S, 1) as client:
                address = self.settings.store_address
                self._recorder.store = PlatformStore(address, client)
                await self._recorder.end_failed(error)

    async def _flush(self) -> None:
        while True:
            self._lines.flush()
            await trio.sleep(_FLUSH_INTERVAL_S)


async def _start_shell(
    shell: SchedulerShell,
    recorder: ProcessRecorder,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Start a shell, without advisory input after repeated failed starts.

    The advisory input may have caused the failures. Starting without it makes
    placement worse; starting with it may end the process again.
    """
    with trio.move_on_after(_PREVIOUS_RECORD_TIMEOUT_S):
        await recorder.read_finished.wait()
    shell.config = attrs.evolve(
        shell.config, is_without_advice=recorder.decide_without_advice()
    )
    await stack.enter_async_context(shell)


async def _run_with_signals(daemon: SchedulerDaemon) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:

        async def watch() -> None:
            async for number in signals:
                daemon.handle_signal(number)

        # The receiver may only be closed after its reader has ended.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await daemon.run()
            nursery.cancel_scope.cancel()


def run_settings(path: str) -> int:
    """Run an instance from a settings file until it ends.

    Returns
    -------
    int
        The exit code. An error that ends the instance is logged as one JSON
        line, as all other output, in place of the interpreter's traceback.
    """
    # Until the reload handler is installed, a reload would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = load_scheduler_settings(path)
    # Objects loaded so far never become garbage: exclude them from collection.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
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
            # SystemExit and KeyboardInterrupt keep their own exit codes.
            if not isinstance(error, Exception):
                raise
            # A signal may end the process before the row is written.
            lines.flush()
            trio.run(daemon.record_failure, error)
            return failures.get_exit_code(error)
        finally:
            lines.drain(_LOG_DRAIN_TIMEOUT_S)
    return 0


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run an instance; return its exit code."""
    received = list(sys.argv[1:] if arguments is None else arguments)
    try:
        if len(received) != 1 or received[0].startswith('-'):
            raise InputError(_USAGE, code='usage')
        return run_settings(received[0])
    except TulippinError as error:
        error.show()
        return error.exit_code


if __name__ == '__main__':
    sys.exit(main())
