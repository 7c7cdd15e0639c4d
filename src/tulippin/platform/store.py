"""Client of the platform's store: rows, change feeds and transactions."""

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
    PartitionBehindError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
    WriteRefusedError,
)
from tulippin.platform.wire import RowBody, RowsBody, TransactionBody

_OK: t.Final = 200
_CONDITION_FAILED: t.Final = 412
_GONE: t.Final = 410
# Statuses by which the store says that it changed nothing.
_TOO_MANY_REQUESTS: t.Final = 429
_NOT_AVAILABLE: t.Final = 503
# Statuses by which it refuses a transaction for its content.
_CONTENT_STATUSES: t.Final = frozenset((400, 413, 422))
_REFUSAL: t.Final = 'the store refuses ({0})'
_MAX_PAGE_ROWS: t.Final = 500
# Replaces a value that is not base64; it is distinct from all valid values,
# as no record, entry or configuration is empty.
_INVALID_VALUE: t.Final = b''

_rows_decoder = msgspec.json.Decoder(RowsBody)


def decode_row(body: RowBody) -> StoredRow:
    """Convert a row of the store.

    A value that is not valid base64 becomes empty: the row keeps its key and
    version, and its readers reject the value.
    """
    value = None if body.gone else _decode_value(body.value)
    return StoredRow(body.table, body.part, body.key, value, body.version)


def _decode_value(text: t.Any) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return _INVALID_VALUE


def encode_transaction(transaction: Transaction) -> bytes:
    """Return the body of the request for a transaction."""
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
    """Implementation of the ``RowStore`` port over HTTP."""

    address: str
    client: HttpClient

    async def read_rows(
        self, table: str, part: str, first: str = '', end: str = ''
    ) -> RowPage:
        """Read all rows with ``first <= key < end``, page by page.

        Returns
        -------
        RowPage
            The rows, and the store's version as of the first page.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        store_ms = 0
        while True:
            page = await self._get_page(table, part, first, end)
            rows.extend(decode_row(body) for body in page.rows)
            if version is None:
                # Rows of the first page may change while later pages are
                # read; a feed from the first page's version has the changes.
                version = page.version
                store_ms = page.now_ms
            if not page.more:
                return RowPage(tuple(rows), version, store_ms)
            if not page.rows:
                raise AnswerLostError('the store answers a page of nothing')
            if page.rows[-1].key < first:
                # A request for the next page would return this one forever.
                raise AnswerLostError('the store answers a page twice')
            # The smallest key above the last key of this page.
            first = f'{page.rows[-1].key}\0'

    async def _get_page(
        self, table: str, part: str, first: str, end: str
    ) -> RowsBody:
        fields: dict[str, t.Any] = {'table': table, 'part': part}
        if first:
            fields['From'] = first
        if end:
            fields['TargetVersion'] = end
        fields['limit'] = _MAX_PAGE_ROWS
        answer = await self._send('GET', f'/v1/rows-get?{urlencode(fields)}')
        return _decode_rows(_require_ok(answer))

    async def follow(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Return the changes of a table after a version.

        Raises
        ------
        HistoryLostError
            If the store no longer holds the changes from that version on.
        """
        query = urlencode(
            {'table': table, 'AfterRevision': after, 'WaitMs': wait_ms}
        )
        answer = await self._send(
            'GET', f'/v1/rows-feed?{query}', extra_wait_ms=wait_ms
        )
        if answer.status == _GONE:
            raise HistoryLostError(f'{table} has no history from {after} on')
        page = _decode_rows(_require_ok(answer))
        rows = tuple(decode_row(body) for body in page.rows)
        return RowPage(rows, page.version, page.now_ms)

    async def transact(
        self, transaction: Transaction, extra_wait_ms: int = 0
    ) -> TransactionResult:
        """Commit a transaction if its conditions hold.

        Returns
        -------
        TransactionResult
            Whether it was committed, the store's version, and the rows that
            its conditions met if it was not.

        Raises
        ------
        WriteRefusedError
            If the store refuses it for its content.
        """
        answer = await self._send(
            'POST',
            '/v1/rows-tx',
            encode_transaction(transaction),
            extra_wait_ms,
        )
        if answer.status == _CONDITION_FAILED:
            page = _decode_rows(answer)
            rows = tuple(decode_row(body) for body in page.rows)
            return TransactionResult(False, page.version, rows, page.now_ms)
        if answer.status in _CONTENT_STATUSES:
            raise WriteRefusedError(
                f'the store answers {answer.status}: {answer.body[:200]!r}'
            )
        page = _decode_rows(_require_ok(answer))
        return TransactionResult(True, page.version, store_ms=page.now_ms)

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
        if answer.status == _TOO_MANY_REQUESTS:
            raise PartitionBehindError(_REFUSAL.format(answer.status))
        if answer.status == _NOT_AVAILABLE:
            raise UnavailableError(_REFUSAL.format(answer.status))
        return answer


def _require_ok(answer: HttpAnswer) -> HttpAnswer:
    """Return the answer if its status is 200; raise otherwise."""
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
