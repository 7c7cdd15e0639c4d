"""Signals that come as the daemon ends."""

import contextlib
import signal

import attrs
import pytest
import trio
import trio.testing

from tulippin import daemon as job_daemon
from tulippin import scheduler_daemon

# Of two tasks that are woken at once, trio picks the first one at random.
ATTEMPTS = 30


@attrs.define
class EndingDaemon:
    """Ends as soon as a signal has come, before or after it is read."""

    number: signal.Signals
    handled: list = attrs.field(factory=list)

    def handle_signal(self, number):
        self.handled.append(number)

    def stop(self):
        self.handled.append(self.number)

    async def run(self):
        await trio.testing.wait_all_tasks_blocked()
        has_come = trio.Event()
        signal.raise_signal(self.number)
        trio.lowlevel.current_trio_token().run_sync_soon(has_come.set)
        await has_come.wait()


@contextlib.contextmanager
def record_redelivered(number):
    """Yield a list of the signals that have their earlier effect."""
    found = []
    original = signal.signal(number, lambda one, _: found.append(one))
    try:
        yield found
    finally:
        signal.signal(number, original)


@pytest.mark.parametrize(
    ('module', 'number'),
    [
        (scheduler_daemon, signal.SIGHUP),
        (scheduler_daemon, signal.SIGTERM),
        (job_daemon, signal.SIGTERM),
    ],
)
def test_signal_at_the_end_is_handled_once(module, number):
    """Guards against an instance that fails after its planned stop."""
    for _ in range(ATTEMPTS):
        daemon = EndingDaemon(number)
        with record_redelivered(number) as redelivered:
            trio.run(module._run_with_signals, daemon)
        assert daemon.handled + redelivered == [number]
