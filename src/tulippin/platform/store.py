"""The platform's store: one client for rows, feeds and transactions."""

from __future__ import annotations

import base64
import typing as t
from urllib.parse import urlencode

import attrs
import msgspec

from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    HistoryLostError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
)
from tulippin.platform.wire import RowBody, RowsBody, TransactionBody

_OK: t.Final = 200
_CONFLICT: t.Final = 412
_GONE: t.Final = 410
# The store says by these that it did nothing.
_REFUSALS: t.Final = frozenset((429, 503))
# The most rows that one reading returns.
_PAGE_ROWS: t.Final = 500
# No record, entry or configuration is empty.
_UNREADABLE: t.Final = b''

_rows_decoder = msgspec.json.Decoder(RowsBody)


def decode_row(body: RowBody) -> StoredRow:
    """Return a row in the product's own form.

    A value that is no base64 becomes an empty one: the row is there, with
    its version, and whoever reads it finds nothing that it could use.
    """
    value = None if body.gone else _decode_value(body.value)
    return StoredRow(body.table, body.part, body.key, value, body.version)


def _decode_value(text: t.Any) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return _UNREADABLE


def _encode_transaction(transaction: Transaction) -> bytes:
    part = transaction.part
    return msgspec.json.encode(
        TransactionBody(
            expected=tuple(
                {
                    'table': condition.table,
                    'part': part,
                    'Key': condition.key,
                    'ver': condition.version,
                }
                for condition in transaction.conditions
            ),
            put=tuple(
                {
                    'table': write.table,
                    'part': part,
                    'Key': write.key,
                    'Value': base64.b64encode(write.value).decode(),
                }
                for write in transaction.writes
                if write.value is not None
            ),
            remove=tuple(
                {'table': write.table, 'part': part, 'Key': write.key}
                for write in transaction.writes
                if write.value is None
            ),
        )
    )


@attrs.define
class PlatformStore:
    """The store at an address; see ``RowStore``."""

    address: str
    client: HttpClient

    async def read_rows(
        self, table: str, part: str, first: str = '', end: str = ''
    ) -> RowPage:
        """Return the rows from ``first`` on, page by page."""
        rows: list[StoredRow] = []
        version: int | None = None
        while True:
            page = await self._get_page(table, part, first, end)
            rows.extend(decode_row(body) for body in page.rows)
            if version is None:
                # Later pages do not tell what came on the first one since.
                version = page.version
            if not page.more:
                return RowPage(tuple(rows), version)
            if not page.rows:
                raise AnswerLostError('the store answers a page of nothing')
            if page.rows[-1].key < first:
                # Asked for what follows, it would tell the same for ever.
                raise AnswerLostError('the store answers a page twice')
            # The smallest key above the last one.
            first = f'{page.rows[-1].key}\0'

    async def _get_page(
        self, table: str, part: str, first: str, end: str
    ) -> RowsBody:
        fields: dict[str, t.Any] = {'table': table, 'part': part}
        if first:
            fields['From'] = first
        if end:
            fields['TargetVersion'] = end
        fields['limit'] = _PAGE_ROWS
        answer = await self._send('GET', f'/v1/rows-get?{urlencode(fields)}')
        return _decode_rows(_demand_ok(answer))

    async def follow(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Return the changes of a table after a version."""
        query = urlencode(
            {'table': table, 'AfterRevision': after, 'WaitMs': wait_ms}
        )
        answer = await self._send(
            'GET', f'/v1/rows-feed?{query}', extra_wait_ms=wait_ms
        )
        if answer.status == _GONE:
            raise HistoryLostError(f'{table} has no history from {after} on')
        page = _decode_rows(_demand_ok(answer))
        rows = tuple(decode_row(body) for body in page.rows)
        return RowPage(rows, page.version)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Carry out a transaction."""
        answer = await self._send(
            'POST', '/v1/rows-tx', _encode_transaction(transaction)
        )
        if answer.status == _CONFLICT:
            page = _decode_rows(answer)
            rows = tuple(decode_row(body) for body in page.rows)
            return TransactionResult(False, page.version, rows)
        page = _decode_rows(_demand_ok(answer))
        return TransactionResult(True, page.version)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        extra_wait_ms: int = 0,
    ) -> HttpAnswer:
        answer = await self.client.send(
            method,
            f'http://{self.address}{path}',
            body,
            extra_wait_ms=extra_wait_ms,
        )
        if answer.status in _REFUSALS:
            raise UnavailableError(f'the store refuses ({answer.status})')
        return answer


def _demand_ok(answer: HttpAnswer) -> HttpAnswer:
    if answer.status != _OK:
        raise AnswerLostError(
            f'the store answers {answer.status}: {answer.body[:200]!r}'
        )
    return answer


def _decode_rows(answer: HttpAnswer) -> RowsBody:
    try:
        return _rows_decoder.decode(answer.body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise AnswerLostError(f'the store answers nonsense: {error}') from error
