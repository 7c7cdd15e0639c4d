"""An instance whose machine can be suspended, in a thread of its own.

While it is, nothing of it runs and its timers stand; the clock that counts
suspension, and everyone else, goes on.
"""

import contextlib
import threading
import time

import attrs
import trio


@attrs.define
class SuspendableClock(trio.abc.Clock):
    """Steady time less the time suspended; the loop stands meanwhile."""

    suspended_s: float = 0.0
    _may_run: threading.Event = attrs.field(factory=threading.Event)

    def __attrs_post_init__(self):
        self._may_run.set()

    def start_clock(self):
        """Begin; nothing is to be done."""

    def current_time(self):
        """Return the steady time, once the loop may go on."""
        self._may_run.wait()
        return time.monotonic() - self.suspended_s

    def deadline_to_sleep_time(self, deadline):
        """Return for how long the loop may wait."""
        return deadline - self.current_time()

    async def suspend(self, for_s):
        """Suspend for a while; to be called from another loop."""
        began = time.monotonic()
        self._may_run.clear()
        await trio.sleep(for_s)
        self.suspended_s += time.monotonic() - began
        self._may_run.set()


@contextlib.asynccontextmanager
async def run_suspendable(daemon):
    """Run a daemon in a thread; yield the clock that can be suspended."""
    clock = SuspendableClock()
    started = threading.Event()
    found = {}

    async def run():
        found['token'] = trio.lowlevel.current_trio_token()
        found['scope'] = trio.CancelScope()
        with found['scope']:
            async with trio.open_nursery() as nursery:
                await nursery.start(daemon.run)
                started.set()

    thread = threading.Thread(
        target=trio.run, args=(run,), kwargs={'clock': clock}
    )
    thread.start()
    await trio.to_thread.run_sync(started.wait)
    try:
        yield clock
    finally:
        found['token'].run_sync_soon(found['scope'].cancel)
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(thread.join)
