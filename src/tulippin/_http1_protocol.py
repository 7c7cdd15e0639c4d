"""HTTP/1.1 alone, on the protocol class of hypercorn.

hypercorn also speaks HTTP/2 and WebSocket to any client that asks for them,
and has no setting against it.
"""

from __future__ import annotations

import typing as t

import h11
from hypercorn.events import Closed, Updated
from hypercorn.protocol.events import Body, EndBody, Request
from hypercorn.protocol.events import Event as StreamEvent
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

_VERSIONS: t.Final = frozenset((b'1.0', b'1.1'))
_BAD_VERSION: t.Final = 505


class Http1Protocol(H11Protocol):
    """Protocol of a connection that ignores requests to switch it."""

    _is_refused = False

    async def stream_send(self, event: StreamEvent) -> None:
        """Send a part of a response, unless the request was refused."""
        if not self._is_refused:
            await super().stream_send(event)

    async def _handle_events(self) -> None:
        """Handle what was received, up to the first incomplete part."""
        is_complete = True
        while is_complete:
            if self.connection.they_are_waiting_for_100_continue:
                await self._send_continue()
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint)
                return
            is_complete = await self._handle_event(event)

    async def _handle_event(self, event: t.Any) -> bool:
        """Handle a part of a request; return whether more may follow."""
        if isinstance(event, h11.Request):
            return await self._begin_request(event)
        if event is h11.PAUSED:
            await self.can_read.clear()
            await self.can_read.wait()
            return True
        if self.stream is None:
            return False
        if isinstance(event, h11.Data):
            await self.stream.handle(Body(STREAM_ID, event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            await self.stream.handle(EndBody(STREAM_ID))
            return True
        return False

    async def _begin_request(self, request: h11.Request) -> bool:
        if request.http_version not in _VERSIONS:
            await self._refuse(_BAD_VERSION)
            return False
        await self.send(Updated(idle=False))
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                STREAM_ID,
                list(request.headers),
                request.http_version.decode(),
                request.method.decode('ascii').upper(),
                request.target,
                self.connection_state,
            )
        )
        self.keep_alive_requests += 1
        return True

    async def _send_continue(self) -> None:
        headers = self.config.response_headers('h11')
        await self._send_h11_event(
            h11.InformationalResponse(status_code=100, headers=headers)
        )

    async def _refuse(self, status: int) -> None:
        """Refuse a request, if no response has begun, and close."""
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(status)
        self._is_refused = True
        await self.send(Closed())
