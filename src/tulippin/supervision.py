"""Tasks that go on after an error that nothing was meant to raise."""

from __future__ import annotations

import typing as t

import trio

from tulippin import failures

# What fails at every turn is told about once a second.
_AGAIN_S: t.Final = 1.0


async def keep_running(what: str, run: t.Callable[[], t.Awaitable[None]]):
    """Run a task, and again after each error; for good.

    One input that such a task can't bear would otherwise end the process,
    and each life of it that meets the same input.

    Parameters
    ----------
    what : str
        What the task is, for the log.
    run : callable
        Begins the task anew at each call.
    """
    while True:
        try:
            await run()
        except* Exception as errors:
            failures.tell('task failed', errors, task=what)
        await trio.sleep(_AGAIN_S)
