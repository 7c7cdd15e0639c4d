"""Tasks and calls whose unexpected errors are told, and end nothing else."""

from __future__ import annotations

import typing as t

import trio

from tulippin import failures

# What fails at every turn is told about once a second.
_AGAIN_S: t.Final = 1.0
# Of a path, in a log line.
_PATH_SIGNS: t.Final = 200


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


class ToldApp:
    """An ASGI application whose errors are told, and answered as before.

    What serves it keeps them to itself, as its own log is off.

    Parameters
    ----------
    app : ASGI application
        What answers.
    """

    def __init__(self, app: t.Any) -> None:
        self._app = app

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Answer one call."""
        try:
            await self._app(scope, receive, send)
        except Exception as error:
            if scope['type'] == 'http':
                failures.tell(
                    'call failed',
                    error,
                    method=scope['method'],
                    path=scope['path'][:_PATH_SIGNS],
                )
            raise
