"""Deferred construction of an ASGI application."""

from __future__ import annotations

import typing as t


class LazyApp:
    """An ASGI application that is constructed at its first request.

    The modules for the operators' API and for metrics take 15 MB, which an
    instance saves as long as it gets no such request.
    """

    def __init__(self, factory: t.Callable[[], t.Any]) -> None:
        self._factory = factory
        self._app: t.Any = None

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Handle one HTTP request."""
        if scope['type'] != 'http':
            raise NotImplementedError(scope['type'])
        if self._app is None:
            self._app = self._factory()
        await self._app(scope, receive, send)
