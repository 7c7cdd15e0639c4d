"""One way to send a small HTTP request and read the whole answer."""

from __future__ import annotations

import typing as t

import attrs
import httpcore
import trio

from tulippin._http_connections import ConnectionPool
from tulippin.clocks import read_suspended_ms
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
    # A host that can be no host's name, as found out by what looks it up.
    ValueError,
)
_MAX_CONNECTIONS: t.Final = 64
# Shorter than any server's own idle limit that the users name (15 s).
_KEEPALIVE_S: t.Final = 12.0
# Servers close what was idle, and drop what was asked, while a machine is
# suspended for longer; the connections' own limits do not count that time.
_SUSPENDED_MS: t.Final = 1000
_MS: t.Final = 1000
# Of headers; any bytes are text in it.
_LATIN: t.Final = 'latin-1'


@attrs.frozen
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define
class _Pool:
    """Connections of one age, with the calls in progress on them."""

    connections: ConnectionPool
    call_count: int = 0
    is_retired: bool = False
    suspended_ms: int = attrs.field(factory=read_suspended_ms)


class HttpClient:
    """A pool of connections; an asynchronous context manager.

    A call that times out retires the whole pool: what silenced one
    connection has most likely silenced the idle ones beside it, and each
    would cost the next caller a timeout of its own. So does a suspension of
    the machine.

    Parameters
    ----------
    timeout_s : float
        For connecting, and for each read and write.
    connections : int
        The most connections at one time.
    """

    def __init__(
        self, timeout_s: float = 5.0, connections: int = _MAX_CONNECTIONS
    ) -> None:
        self._timeout_s = timeout_s
        self._connection_count = connections
        self._pool = self._make_pool()
        self._retired: list[_Pool] = []

    def _make_pool(self) -> _Pool:
        return _Pool(ConnectionPool(self._connection_count, _KEEPALIVE_S))

    async def __aenter__(self) -> t.Self:
        """Return itself."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        for pool in (self._pool, *self._retired):
            await pool.connections.aclose()

    def _retire(self, pool: _Pool) -> None:
        if not pool.is_retired:
            pool.is_retired = True
            self._retired.append(pool)
            self._pool = self._make_pool()

    async def _renew(self) -> None:
        """Leave connections behind that are from before a suspension."""
        pool = self._pool
        if read_suspended_ms() - pool.suspended_ms < _SUSPENDED_MS:
            return
        self._retire(pool)
        if not pool.call_count:
            self._retired.remove(pool)
            await pool.connections.aclose()

    async def _leave(self, pool: _Pool) -> None:
        pool.call_count -= 1
        if pool.is_retired and not pool.call_count:
            if pool in self._retired:
                self._retired.remove(pool)
            with trio.CancelScope(shield=True):
                await pool.connections.aclose()

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
        await self._renew()
        pool = self._pool
        pool.call_count += 1
        try:
            answer = await pool.connections.request(
                method, url, fields, body, timeouts
            )
        except _REFUSED as error:
            raise UnavailableError(f'{url} does not answer') from error
        except httpcore.TimeoutException as error:
            self._retire(pool)
            raise AnswerLostError(f'{url} is silent: {error!r}') from error
        except _BROKEN as error:
            raise AnswerLostError(f'{url} broke off: {error!r}') from error
        finally:
            await self._leave(pool)
        return HttpAnswer(
            answer.status,
            {
                name.decode(_LATIN).lower(): text.decode(_LATIN)
                for name, text in answer.headers
            },
            answer.content,
        )
