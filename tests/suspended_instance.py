"""Runs an instance in a thread, with a simulated suspend of its machine.

During a suspension its event loop and its timers stand still. The clock that
counts suspended time, and all other instances, go on.
"""

import contextlib
import threading
import time

import attrs
import trio


@attrs.define
class SuspendableClock(trio.abc.Clock):
    """Monotonic clock without suspended time; blocks the loop meanwhile."""

    suspended_s: float = 0.0
    _may_run: threading.Event = attrs.field(factory=threading.Event)

    def __attrs_post_init__(self):
        self._may_run.set()

    def start_clock(self):
        """Do nothing: the clock needs no start."""

    def current_time(self):
        """Block while suspended, and return the time without suspensions."""
        self._may_run.wait()
        return time.monotonic() - self.suspended_s

    def deadline_to_sleep_time(self, deadline):
        """Return the time until a deadline."""
        return deadline - self.current_time()

    async def suspend(self, duration_s):
        """Suspend the instance for a duration; call from another loop."""
        began = time.monotonic()
        self._may_run.clear()
        await trio.sleep(duration_s)
        self.suspended_s += time.monotonic() - began
        self._may_run.set()


@contextlib.asynccontextmanager
async def run_suspendable(daemon):
    """Run a daemon in a thread, and yield its clock."""
    clock = SuspendableClock()
    started = threading.Event()
    handles = {}

    async def run():
        handles['token'] = trio.lowlevel.current_trio_token()
        handles['scope'] = trio.CancelScope()
        with handles['scope']:
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
        handles['token'].run_sync_soon(handles['scope'].cancel)
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(thread.join)
