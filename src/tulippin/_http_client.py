"""HTTP client for the requests that instances send to other services."""

from __future__ import annotations

import typing as t

import attrs
import httpcore
import trio

from tulippin._http_connections import ConnectionPool, PeerCheck
from tulippin.clocks import read_suspended_ms
from tulippin.exceptions import AnswerLostError, UnavailableError

_JSON: t.Final = (b'Content-Type', b'application/json')
_NOT_SENT_ERRORS: t.Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_CONNECTION_ERRORS: t.Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    # Raised by name resolution for a malformed host name.
    ValueError,
)
_MAX_CONNECTIONS: t.Final = 64
# Below the shortest idle limit of the servers that are called (15 s).
_KEEPALIVE_S: t.Final = 12.0
# Servers may close connections and drop requests while a machine is suspended
# for longer than this. The keep-alive limit doesn't count suspended time.
_MAX_SUSPENSION_MS: t.Final = 1000
_MS_PER_S: t.Final = 1000
# Decodes any byte that a header may hold.
_HEADER_ENCODING: t.Final = 'latin-1'


@attrs.frozen
class HttpAnswer:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define
class _Pool:
    """A connection pool with the number of requests that use it.

    ``initial_suspended_ms`` is the total time that the machine had been
    suspended when the pool was created.
    """

    connections: ConnectionPool
    request_count: int = 0
    is_retired: bool = False
    initial_suspended_ms: int = attrs.field(factory=read_suspended_ms)


class HttpClient:
    """HTTP client with a connection pool; an async context manager.

    A request that times out retires the whole pool: the cause most likely
    affects the idle connections too, and each of them would cost a later
    request another timeout. A suspension of the machine retires the pool as
    well. Requests that are open on a retired pool still complete.

    Parameters
    ----------
    timeout_s : float
        Limit for connecting and for each read and write.
    connections : int
        Maximum number of connections in use at one time.
    """

    def __init__(
        self, timeout_s: float = 5.0, connections: int = _MAX_CONNECTIONS
    ) -> None:
        self._timeout_s = timeout_s
        self._connection_count = connections
        self._pool = self._make_pool()
        self._retired_pools: list[_Pool] = []

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
        for pool in (self._pool, *self._retired_pools):
            await pool.connections.aclose()

    def _retire(self, pool: _Pool) -> None:
        if not pool.is_retired:
            pool.is_retired = True
            self._retired_pools.append(pool)
            self._pool = self._make_pool()

    async def _retire_if_suspended(self) -> None:
        """Retire the pool if the machine was suspended since it was made."""
        pool = self._pool
        if read_suspended_ms() - pool.initial_suspended_ms < _MAX_SUSPENSION_MS:
            return
        self._retire(pool)
        if not pool.request_count:
            self._retired_pools.remove(pool)
            await pool.connections.aclose()

    async def _release(self, pool: _Pool) -> None:
        pool.request_count -= 1
        if pool.is_retired and not pool.request_count:
            if pool in self._retired_pools:
                self._retired_pools.remove(pool)
            with trio.CancelScope(shield=True):
                await pool.connections.aclose()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: t.Mapping[str, str] | None = None,
        extra_wait_ms: int = 0,
        check: PeerCheck | None = None,
    ) -> HttpAnswer:
        """Send a request once, without retries, and return the response.

        Parameters
        ----------
        method, url : str
            Method and absolute URL of the request.
        body : bytes
            Encoded JSON.
        headers : mapping of str to str, optional
            Headers beside ``Content-Type``.
        extra_wait_ms : int
            Added to the read timeout, for servers that hold a request open.
        check : PeerCheck, optional
            Decides which process may get the request, by what it answers to a
            first question on its connection. Its errors are raised as they are.

        Raises
        ------
        AnswerLostError
            If the request was sent or may have been sent.
        UnavailableError
            If the request was not sent.
        """
        header_fields = [_JSON]
        for name, text in (headers or {}).items():
            header_fields.append((name.encode(), text.encode()))
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'), self._timeout_s
        )
        timeouts['read'] += extra_wait_ms / _MS_PER_S
        await self._retire_if_suspended()
        pool = self._pool
        pool.request_count += 1
        try:
            response = await pool.connections.request(
                method,
                url,
                header_fields,
                body,
                timeouts,
                check,
            )
        except _NOT_SENT_ERRORS as error:
            raise UnavailableError(f'{url} does not answer') from error
        except httpcore.TimeoutException as error:
            self._retire(pool)
            raise AnswerLostError(f'{url} is silent: {error!r}') from error
        except _CONNECTION_ERRORS as error:
            raise AnswerLostError(f'{url} broke off: {error!r}') from error
        finally:
            await self._release(pool)
        return HttpAnswer(
            response.status,
            {
                name.decode(_HEADER_ENCODING).lower(): text.decode(
                    _HEADER_ENCODING
                )
                for name, text in response.headers
            },
            response.content,
        )
