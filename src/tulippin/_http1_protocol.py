"""HTTP/1.1 alone, on the protocol class of hypercorn.

hypercorn also speaks HTTP/2 and WebSocket to any client that asks for them,
and has no setting against it.
"""

from __future__ import annotations

import typing as t

import h11
import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.events import Body, EndBody, Request, Response
from hypercorn.protocol.events import Event as StreamEvent
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

from tulippin._client_connections import (
    ClientConnection,
    ConnectionTable,
    Phase,
)
from tulippin.client_limits import RequestLimits

_VERSIONS: t.Final = frozenset((b'1.0', b'1.1'))
_BAD_VERSION: t.Final = 505
_TOO_LARGE: t.Final = 413
# Parts of a request, such as chunks of its body, that are parsed at once; and
# those of a request of many parts, which waits for its turn each time.
_PARTS_AT_ONCE: t.Final = 32
_PARTS_IN_TURN: t.Final = 256


class Http1Protocol(H11Protocol):
    """Protocol of a connection that ignores requests to switch it.

    Parameters
    ----------
    *args
        As those of hypercorn's protocol.
    table : ConnectionTable
        Decides which connections give way.
    connection : ClientConnection
        What the table knows about this connection.
    get_limits : callable
        Returns the limits of one request at present.
    """

    def __init__(
        self,
        *args: t.Any,
        table: ConnectionTable,
        connection: ClientConnection,
        get_limits: t.Callable[[], RequestLimits],
    ) -> None:
        super().__init__(*args)
        self._table = table
        self._client = connection
        self._is_abandoned = False
        self._get_limits = get_limits
        # Bytes of the request, and of what follows it so far.
        self._received_bytes = 0
        # Whether the request was sent before the last response was.
        self._is_ahead = False
        # A raised limit holds for new connections.
        self.connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=get_limits().head_bytes
        )

    @property
    def may_refuse(self) -> bool:
        """Whether a request has begun whose response has not."""
        is_silent = self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}
        return is_silent and self._client.phase is Phase.RECEIVING

    @property
    def may_receive_more(self) -> bool:
        """Whether the client may still be sending the present request."""
        return self.connection.their_state in {h11.SEND_BODY, h11.ERROR}

    def abandon(self) -> None:
        """Drop what the application may still respond."""
        self._is_abandoned = True

    async def handle(self, event: Event) -> None:
        """Handle what was received, or the end of the connection."""
        if isinstance(event, RawData) and event.data:
            if self._client.phase is Phase.IDLE:
                self._client.phase = Phase.RECEIVING
            self._received_bytes += len(event.data)
            largest_bytes = self._get_limits().request_bytes
            if self._received_bytes > largest_bytes:
                await self._refuse(_TOO_LARGE)
                return
            self._table.hold(self._client, self._received_bytes, largest_bytes)
        await super().handle(event)

    async def stream_send(self, event: StreamEvent) -> None:
        """Send a part of a response, unless the request was refused."""
        if self._is_abandoned:
            return
        if isinstance(event, Response):
            self._client.phase = Phase.SENDING
        if isinstance(event, Body):
            self._hold(self._received_bytes + len(event.data))
        await super().stream_send(event)

    async def _maybe_recycle(self) -> None:
        """Begin with the next request, which may have been received."""
        left_bytes = len(self.connection.trailing_data[0])
        self._client.phase = Phase.RECEIVING if left_bytes else Phase.IDLE
        self._received_bytes = left_bytes
        self._is_ahead = left_bytes > 0
        self._hold(left_bytes)
        await super()._maybe_recycle()

    def _hold(self, held_bytes: int) -> None:
        largest_bytes = self._get_limits().request_bytes
        self._table.hold(self._client, held_bytes, largest_bytes)

    async def _handle_events(self) -> None:
        """Handle what was received, up to the first incomplete part."""
        is_complete = True
        while is_complete:
            if self.connection.they_are_waiting_for_100_continue:
                await self._send_continue()
            try:
                body, event = await self._parse()
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint)
                return
            if body and self.stream is not None:
                await self.stream.handle(Body(STREAM_ID, body))
            is_complete = await self._handle_event(event)

    async def _parse(self) -> tuple[bytes, t.Any]:
        """Return what there is of the body, and the next other event.

        Raises
        ------
        h11.RemoteProtocolError
            If the request is invalid.
        """
        body = bytearray()
        event = self._parse_parts(body, _PARTS_AT_ONCE)
        while event is None:
            async with self._table.turn:
                event = self._parse_parts(body, _PARTS_IN_TURN)
        return bytes(body), event

    def _parse_parts(self, body: bytearray, limit: int) -> t.Any:
        """Extend the body; return the next other event, None at the limit."""
        for _ in range(limit):
            event = self.connection.next_event()
            if not isinstance(event, h11.Data):
                return event
            body += event.data
        return None

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
        if isinstance(event, h11.EndOfMessage):
            if self._client.phase is Phase.RECEIVING:
                self._client.phase = Phase.SERVING
            await self.stream.handle(EndBody(STREAM_ID))
            return True
        return False

    async def _begin_request(self, request: h11.Request) -> bool:
        if request.http_version not in _VERSIONS:
            await self._refuse(_BAD_VERSION)
            return False
        if self._is_ahead:
            # Clients that send one request at a time go first.
            async with self._table.turn:
                await trio.lowlevel.checkpoint()
        self._client.phase = Phase.RECEIVING
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
        self._table.note_refusal()
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(status)
        self.abandon()
        await self.send(Closed())
