"""Bounds the request bodies that are decoded at one time."""

from __future__ import annotations

import contextlib
import typing as t

import trio

# A decoded job takes some 20 times the bytes of its body.
_MAX_BYTES: t.Final = 2**20
# Small bodies don't wait behind large ones, up to a higher sum.
_SMALL_BODY_BYTES: t.Final = 8192
_MAX_BYTES_WITH_SMALL: t.Final = 4 * 2**20


class BodyBudget:
    """Bytes of the bodies that are being handled."""

    def __init__(self) -> None:
        self._held_bytes = 0
        self._turn = trio.Lock()
        self._released = trio.Event()

    @contextlib.asynccontextmanager
    async def admit(self, body_bytes: int) -> t.AsyncIterator[None]:
        """Handle a body in the block, once there is room for it.

        A body of any size has room where no other is being handled.
        """
        if not self._has_room(body_bytes):
            async with self._turn:
                while not self._has_room(body_bytes):
                    await self._released.wait()
        self._held_bytes += body_bytes
        try:
            yield
        finally:
            self._release(body_bytes)

    def _release(self, body_bytes: int) -> None:
        self._held_bytes -= body_bytes
        self._released.set()
        self._released = trio.Event()

    def _has_room(self, body_bytes: int) -> bool:
        limit = _MAX_BYTES
        if body_bytes <= _SMALL_BODY_BYTES:
            limit = _MAX_BYTES_WITH_SMALL
        return not self._held_bytes or self._held_bytes + body_bytes <= limit
