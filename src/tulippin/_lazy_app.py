"""An ASGI application that costs nothing until it is called."""

from __future__ import annotations

import typing as t


class LazyApp:
    """An ASGI application that is made at its first call.

    What operators and scrapes need takes 15 MB, which an instance that
    nobody looks at does not spend.
    """

    def __init__(self, make: t.Callable[[], t.Any]) -> None:
        self._make = make
        self._app: t.Any = None

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Answer one call."""
        if scope['type'] != 'http':
            raise NotImplementedError(scope['type'])
        if self._app is None:
            self._app = self._make()
        await self._app(scope, receive, send)
