"""Restarting of background tasks after unexpected errors."""

from __future__ import annotations

import typing as t

import trio

from tulippin import failures

# A task that fails at once each time logs about one line a second.
_RESTART_DELAY_S: t.Final = 1.0


async def keep_running(name: str, run: t.Callable[[], t.Awaitable[None]]):
    """Run a task forever, restarting it after each error.

    Without that, one input that makes the task fail would end the process,
    and each later run of the process that reads the same input.

    Parameters
    ----------
    name : str
        Name of the task for the log.
    run : callable
        Starts the task; called again after each error.
    """
    while True:
        try:
            await run()
        except* Exception as errors:
            failures.tell('task failed', errors, task=name)
        await trio.sleep(_RESTART_DELAY_S)
