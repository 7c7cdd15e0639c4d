"""The platform's table, objects and list over HTTP: the one adapter.

To meet another platform, replace this file; ``docs/platform.md`` lists
what is assumed of it.
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
    """Names a row, or the prefix of a scan."""

    key: str


@attrs.frozen
class CommitBody:
    """A transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@attrs.frozen
class VersionBody:
    """The version of a commit; 0 is a conflict."""

    version: int


def _check(answer: HttpAnswer) -> HttpAnswer:
    """Turn an answer that is none into an error."""
    if answer.status == _UNAVAILABLE:
        # The service says so itself: nothing was done.
        raise UnavailableError('the store refuses calls')
    if answer.status not in {_OK, _NOT_FOUND}:
        raise AnswerLostError(f'the store answers {answer.status}')
    return answer


def _decode(answer: HttpAnswer, kind: type[Decoded]) -> Decoded:
    """Return an answer's value; one that is none is a lost answer."""
    try:
        return codec.decode(answer.body, kind)
    except InputError as error:
        raise AnswerLostError(
            f'the platform answers nonsense: {error.message}'
        ) from error


@attrs.frozen
class HttpTable:
    """The table service at a URL."""

    url: str
    client: HttpClient

    async def get(self, key: str) -> Row | None:
        """Return a row."""
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
        """Apply all writes if all conditions hold."""
        body = CommitBody(tuple(conditions), tuple(writes))
        answer = await self._send('commit', body)
        return _decode(answer, VersionBody).version

    async def _send(self, verb: str, body: object) -> HttpAnswer:
        return _check(
            await self.client.send(
                'POST', f'{self.url}/table/{verb}', codec.encode(body)
            )
        )


@attrs.frozen
class HttpObjects:
    """The object store at a URL."""

    url: str
    client: HttpClient

    async def put(self, key: str, body: bytes) -> None:
        """Write an object."""
        _check(await self.client.send('PUT', self._locate(key), body))

    async def get(self, key: str) -> bytes | None:
        """Return an object."""
        answer = _check(await self.client.send('GET', self._locate(key)))
        return None if answer.status == _NOT_FOUND else answer.body

    async def delete(self, key: str) -> None:
        """Delete an object, if it is there."""
        _check(await self.client.send('DELETE', self._locate(key)))

    def _locate(self, key: str) -> str:
        return f'{self.url}/objects/{quote(key, safe="/")}'


@attrs.frozen
class HttpDirectory:
    """The platform's list of instances at a URL."""

    url: str
    client: HttpClient

    async def list_instances(self) -> InstanceList:
        """Return the list as the platform has it now."""
        answer = _check(await self.client.send('GET', f'{self.url}/instances'))
        return _decode(answer, InstanceList)
