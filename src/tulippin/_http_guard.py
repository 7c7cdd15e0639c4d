"""Logging of, and responses to, unexpected errors of an ASGI application."""

from __future__ import annotations

import typing as t

import trio

from tulippin import failures
from tulippin._error_body import ErrorBody
from tulippin.codec_json import encode

# Limits on how much of a request's path goes into a log line.
_MAX_PATH_LENGTH: t.Final = 200
_MAX_ID_LENGTH: t.Final = 64
_STATUS_INTERNAL: t.Final = 500
# The request may have taken effect before the error. Reporting it as not run
# would make the caller repeat it.
INTERNAL_MESSAGE: t.Final = (
    'a fault of ours, it may have been done; ask for its state'
)
INTERNAL_BODY: t.Final = encode(
    ErrorBody('internal', INTERNAL_MESSAGE, 'unknown')
)

Scope: t.TypeAlias = dict[str, t.Any]
Message: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[Message]]
Send: t.TypeAlias = t.Callable[[Message], t.Awaitable[None]]


class ErrorMiddleware:
    """ASGI middleware that logs unexpected errors and responds to them.

    The logs of hypercorn are switched off because its lines are not JSON.
    Without this class a caller would get a 500 with an empty body, and no
    log line would name the error.

    Parameters
    ----------
    app : ASGI application
        The wrapped application.
    """

    def __init__(self, app: t.Any) -> None:
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        response = _ResponseSender(send)
        try:
            await self._app(scope, receive, response.send)
        except Exception as error:
            _log_failure(error, scope)
        except BaseExceptionGroup as group:
            _, unexpected = group.split(trio.Cancelled)
            if unexpected is not None:
                _log_failure(unexpected, scope)
            raise
        else:
            return
        # A response that has started stays incomplete; the client detects that.
        if not response.has_started:
            await _send_failure(send)


class _ResponseSender:
    """Forwards response messages and records whether one was sent."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self.has_started = False

    async def send(self, message: Message) -> None:
        """Forward one response message."""
        await self._send(message)
        # Set after sending: when the server rejects the start message, for
        # example for its headers, it sends nothing.
        self.has_started = True


def _log_failure(error: BaseException, scope: Scope) -> None:
    path = scope['path']
    failures.tell(
        'call failed',
        error,
        method=scope['method'],
        path=path[:_MAX_PATH_LENGTH],
        id=path.rpartition('/')[-1][:_MAX_ID_LENGTH],
    )


async def _send_failure(send: Send) -> None:
    body = INTERNAL_BODY
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    start = {
        'type': 'http.response.start',
        'status': _STATUS_INTERNAL,
        'headers': headers,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})
