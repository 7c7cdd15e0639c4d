"""One way to send a small HTTP request and read the whole answer."""

from __future__ import annotations

import typing as t

import attrs
import httpcore

from tulippin.exceptions import AnswerLostError, UnavailableError

_JSON: t.Final = (b'Content-Type', b'application/json')
_REFUSED: t.Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_BROKEN: t.Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_MAX_CONNECTIONS: t.Final = 64
_MS: t.Final = 1000


@attrs.frozen
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """A pool of connections; an asynchronous context manager.

    Parameters
    ----------
    timeout_s : float
        For connecting, and for each read and write.
    """

    def __init__(
        self, timeout_s: float = 5.0, connections: int = _MAX_CONNECTIONS
    ) -> None:
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            max_keepalive_connections=connections,
            keepalive_expiry=30.0,
        )

    async def __aenter__(self) -> t.Self:
        """Return itself."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: t.Mapping[str, str] | None = None,
        extra_wait_ms: int = 0,
    ) -> HttpAnswer:
        """Send a request, once, and return the whole answer.

        Parameters
        ----------
        method, url : str
            What to ask of whom.
        body : bytes
            What to send, as JSON.
        headers : mapping of str to str, optional
            Fields beside the type of the body.
        extra_wait_ms : int
            How long the other side may wait before it answers.

        Raises
        ------
        AnswerLostError
            If the request was, or may have been, sent.
        UnavailableError
            If it surely was not.
        """
        fields = [_JSON]
        for name, text in (headers or {}).items():
            fields.append((name.encode(), text.encode()))
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'), self._timeout_s
        )
        timeouts['read'] += extra_wait_ms / _MS
        try:
            answer = await self._pool.request(
                method,
                url,
                headers=fields,
                content=body,
                extensions={'timeout': timeouts},
            )
        except _REFUSED as error:
            raise UnavailableError(f'{url} does not answer') from error
        except _BROKEN as error:
            raise AnswerLostError(f'{url} broke off: {error!r}') from error
        return HttpAnswer(
            answer.status,
            {
                name.decode().lower(): text.decode()
                for name, text in answer.headers
            },
            answer.content,
        )
