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
    moved = record.moved
    if moved is None:
        return _compress_if_large(record)

    def encode_without(left_out: dict[str, t.Any]) -> bytes:
        progress = attrs.evolve(moved.progress, **left_out)
        reduced = attrs.evolve(moved, progress=progress)
        return _compress_if_large(attrs.evolve(record, moved=reduced))

    return _reduce(encode_without, _OPTIONAL_MOVED_PARTS, 'job moved in part')


@encode_row.register
def _encode_progress(record: ProgressRecord) -> bytes:
    value = encode(record)
    # The packed form tells complete occurrences to earlier versions as well.
    if len(value) <= MAX_ROW_BYTES and not record.complete:
        return value
    packed = pack(record)
    return _reduce(
        lambda left_out: zlib.compress(
            encode(attrs.evolve(packed, **left_out))
        ),
        _OPTIONAL_PARTS,
        'progress kept in part',
    )


def _reduce(
    encode_without: t.Callable[[dict[str, t.Any]], bytes],
    optional_parts: t.Iterable[tuple[str, t.Any]],
    message: str,
) -> bytes:
    """Return a value without the parts that would make it too large.

    Parameters
    ----------
    encode_without : callable
        Returns the value with some fields replaced, given by their names.
    optional_parts : iterable of tuple of str and any
        The fields that may be left out, in this order, and their replacements.
    message : str
        Logged if any is left out.
    """
    left_out: dict[str, t.Any] = {}
    value = encode_without(left_out)
    for name, absent in optional_parts:
        if len(value) <= MAX_ROW_BYTES:
            break
        left_out[name] = absent
        value = encode_without(left_out)
    if left_out:
        logger.warning(message, left_out=list(left_out), bytes=len(value))
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
