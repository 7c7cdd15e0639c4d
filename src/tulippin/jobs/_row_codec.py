"""Values of rows: JSON, or compressed JSON where that is too large for a row.

Versions that don't know the compressed form read all rows that they could
have written.
"""

from __future__ import annotations

import functools
import typing as t
import zlib

import attrs

from tulippin.codec_json import decode, encode
from tulippin.exceptions import InputError
from tulippin.jobs._packed_progress import PackedProgress, pack, unpack
from tulippin.jobs.ports import MAX_ROW_BYTES
from tulippin.jobs.records import JobRecord, ProgressRecord
from tulippin.logs import logger

Record = t.TypeVar('Record')
# The first byte of compressed values; no JSON begins with it.
_COMPRESSED_PREFIX: t.Final = b'x'
_MAX_DECOMPRESSED_BYTES: t.Final = 16_000_000
# Parts of progress that are left out, in this order, from a row that would
# still be too large. The next owner then counts fewer crashes, or looks for
# the tasks on all workers.
_OPTIONAL_PARTS: t.Final = (
    ('started', ()),
    ('crashes', ()),
    ('avoided', ()),
    ('places', None),
    ('begun', None),
    ('failures', ()),
)


# The same of the progress of a job that moves, in the plain form.
_OPTIONAL_MOVED_PARTS: t.Final = (
    ('crashes', {}),
    ('avoided', {}),
    ('places', None),
    ('begun', None),
    ('failures', {}),
)


@functools.singledispatch
def encode_row(record: t.Any) -> bytes:
    """Return the value of the row of a record."""
    return _compress_if_large(record)


def _compress_if_large(record: t.Any) -> bytes:
    value = encode(record)
    return value if len(value) <= MAX_ROW_BYTES else zlib.compress(value)


@encode_row.register
def _encode_job(record: JobRecord) -> bytes:
    """Return the value of a job's row, which holds its progress if it moves."""
    value = _compress_if_large(record)
    moved = record.moved
    left_out = []
    for name, absent in _OPTIONAL_MOVED_PARTS:
        if moved is None or len(value) <= MAX_ROW_BYTES:
            break
        left_out.append(name)
        progress = attrs.evolve(moved.progress, **{name: absent})
        moved = attrs.evolve(moved, progress=progress)
        value = _compress_if_large(attrs.evolve(record, moved=moved))
    if left_out:
        logger.warning('job moved in part', left_out=left_out, bytes=len(value))
    return value


@encode_row.register
def _encode_progress(record: ProgressRecord) -> bytes:
    value = encode(record)
    if len(value) <= MAX_ROW_BYTES:
        return value
    packed = pack(record)
    value = zlib.compress(encode(packed))
    left_out = []
    for name, absent in _OPTIONAL_PARTS:
        if len(value) <= MAX_ROW_BYTES:
            break
        left_out.append(name)
        packed = attrs.evolve(packed, **{name: absent})
        value = zlib.compress(encode(packed))
    if left_out:
        logger.warning(
            'progress kept in part', left_out=left_out, bytes=len(value)
        )
    return value


def decode_row(value: bytes, kind: type[Record]) -> Record:
    """Return the record of a row's value.

    Raises
    ------
    InputError
        If the value is malformed.
    """
    if not value.startswith(_COMPRESSED_PREFIX):
        return decode(value, kind)
    body = _decompress(value)
    if kind is not ProgressRecord:
        return decode(body, kind)
    packed = decode(body, PackedProgress)
    try:
        return t.cast(Record, unpack(packed))
    except (ValueError, TypeError) as error:
        raise InputError(str(error), code='bad_row') from error


def _decompress(value: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(value, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise InputError(str(error), code='bad_row') from error
    if not decompressor.eof:
        raise InputError('incomplete or too large', code='bad_row')
    return body
