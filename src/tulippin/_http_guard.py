"""What becomes of an error that an application did not mean to raise."""

from __future__ import annotations

import typing as t

import trio

from tulippin import failures
from tulippin._error_body import ErrorBody
from tulippin.codec_json import encode

# Of what a caller sends, a log line takes so much.
_PATH_SIGNS: t.Final = 200
_ID_SIGNS: t.Final = 64
_INTERNAL: t.Final = 500
# What was asked for may have been done before the error: to say that it was
# not run would have it done twice.
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


class GuardedApp:
    """An ASGI application whose unexpected errors are told and answered.

    The server below logs nothing, as its lines are no JSON: without this an
    error would be a bare 500 to the caller and nothing to an operator.

    Parameters
    ----------
    app : ASGI application
        What answers.
    """

    def __init__(self, app: t.Any) -> None:
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        answer = _Answer(send)
        try:
            await self._app(scope, receive, answer.send)
        except Exception as error:
            _tell(error, scope)
        except BaseExceptionGroup as group:
            _, unexpected = group.split(trio.Cancelled)
            if unexpected is not None:
                _tell(unexpected, scope)
            raise
        else:
            return
        # An answer that has begun is left incomplete, which its reader sees.
        if not answer.has_begun:
            await _send_failure(send)


class _Answer:
    """Passes an answer on and remembers whether it has begun."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self.has_begun = False

    async def send(self, message: Message) -> None:
        """Pass a part of the answer on."""
        await self._send(message)
        # A start that the server refuses, for its headers, sends nothing.
        self.has_begun = True


def _tell(error: BaseException, scope: Scope) -> None:
    path = scope['path']
    failures.tell(
        'call failed',
        error,
        method=scope['method'],
        path=path[:_PATH_SIGNS],
        id=path.rpartition('/')[-1][:_ID_SIGNS],
    )


async def _send_failure(send: Send) -> None:
    body = INTERNAL_BODY
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    start = {
        'type': 'http.response.start',
        'status': _INTERNAL,
        'headers': headers,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})
