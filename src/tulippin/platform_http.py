"""HTTP clients of the platform's table, object store and instance list.

For another platform, replace this module; ``docs/platform.md`` lists the
assumptions about the platform.
"""

from __future__ import annotations

import typing as t
from urllib.parse import quote

import attrs

from tulippin import codec
from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import (
    AnswerLostError,
    InputError,
    UnavailableError,
)
from tulippin.ports import Condition, InstanceList, Row, Write

_OK: t.Final = 200
_NOT_FOUND: t.Final = 404
_UNAVAILABLE: t.Final = 503

Decoded = t.TypeVar('Decoded')


@attrs.frozen
class KeyBody:
    """The key of a row, or the prefix of a scan."""

    key: str


@attrs.frozen
class CommitBody:
    """The conditions and writes of a transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@attrs.frozen
class VersionBody:
    """The version of a commit; 0 means a conflict."""

    version: int


def _check_status(answer: HttpAnswer) -> HttpAnswer:
    """Return an answer, or raise an error for an unexpected status."""
    if answer.status == _UNAVAILABLE:
        # A 503 comes from the service itself and means: no effect.
        raise UnavailableError('the store refuses calls')
    if answer.status not in {_OK, _NOT_FOUND}:
        raise AnswerLostError(f'the store answers {answer.status}')
    return answer


def _decode(answer: HttpAnswer, kind: type[Decoded]) -> Decoded:
    """Decode an answer; an invalid one counts as lost."""
    try:
        return codec.decode(answer.body, kind)
    except InputError as error:
        raise AnswerLostError(
            f'the platform answers nonsense: {error.message}'
        ) from error


@attrs.frozen
class HttpTable:
    """Implements the ``Table`` port by the service at a URL."""

    url: str
    client: HttpClient

    async def get(self, key: str) -> Row | None:
        """Return a row, or nothing if it is absent."""
        answer = await self._send('get', KeyBody(key))
        if answer.status == _NOT_FOUND:
            return None
        return _decode(answer, Row)

    async def scan(self, prefix: str) -> list[tuple[str, Row]]:
        """Return the rows whose key begins with a prefix."""
        answer = await self._send('scan', KeyBody(prefix))
        return _decode(answer, list[tuple[str, Row]])

    async def commit(
        self, conditions: t.Sequence[Condition], writes: t.Sequence[Write]
    ) -> int:
        """Apply all writes if all conditions hold.

        Returns the version of the rows, or 0 if a condition did not hold.
        """
        body = CommitBody(tuple(conditions), tuple(writes))
        answer = await self._send('commit', body)
        return _decode(answer, VersionBody).version

    async def _send(self, operation: str, body: object) -> HttpAnswer:
        return _check_status(
            await self.client.send(
                'POST', f'{self.url}/table/{operation}', codec.encode(body)
            )
        )


@attrs.frozen
class HttpObjects:
    """Implements the ``Objects`` port by the service at a URL."""

    url: str
    client: HttpClient

    async def put(self, key: str, body: bytes) -> None:
        """Write an object."""
        _check_status(await self.client.send('PUT', self._make_url(key), body))

    async def get(self, key: str) -> bytes | None:
        """Return an object, or nothing if it is absent."""
        answer = _check_status(
            await self.client.send('GET', self._make_url(key))
        )
        return None if answer.status == _NOT_FOUND else answer.body

    async def delete(self, key: str) -> None:
        """Delete an object if it exists."""
        _check_status(await self.client.send('DELETE', self._make_url(key)))

    def _make_url(self, key: str) -> str:
        return f'{self.url}/objects/{quote(key, safe="/")}'


@attrs.frozen
class HttpDirectory:
    """Implements the ``Directory`` port by the service at a URL."""

    url: str
    client: HttpClient

    async def list_instances(self) -> InstanceList:
        """Return the platform's current list."""
        answer = _check_status(
            await self.client.send('GET', f'{self.url}/instances')
        )
        return _decode(answer, InstanceList)
