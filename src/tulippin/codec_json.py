"""JSON encoding and typed decoding of attrs values."""

from __future__ import annotations

import typing as t

import msgspec

from tulippin.exceptions import InputError

Decoded = t.TypeVar('Decoded')

_DECODE_ERRORS: t.Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)

_decoders: dict[t.Any, msgspec.json.Decoder[t.Any]] = {}


def encode(value: t.Any) -> bytes:
    """Return the JSON of a value."""
    return msgspec.json.encode(value)


def decode(body: bytes | str, kind: type[Decoded]) -> Decoded:
    """Return the value of the given type that JSON encodes.

    Raises
    ------
    InputError
        If the JSON is malformed or nested too deeply, or a part has the
        wrong type.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        return t.cast(Decoded, decoder.decode(body))
    except _DECODE_ERRORS as error:
        raise InputError(str(error), code='bad_json') from error
