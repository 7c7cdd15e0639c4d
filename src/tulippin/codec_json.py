"""JSON of attrs values by msgspec, with errors of the family."""

from __future__ import annotations

import typing as t

import msgspec

from tulippin.exceptions import InputError

Decoded = t.TypeVar('Decoded')

_UNREADABLE: t.Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)

_decoders: dict[t.Any, msgspec.json.Decoder[t.Any]] = {}


def encode(value: t.Any) -> bytes:
    """Return a value as JSON."""
    return msgspec.json.encode(value)


def decode(body: bytes | str, kind: type[Decoded]) -> Decoded:
    """Return JSON as a value of the given type.

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
    except _UNREADABLE as error:
        raise InputError(str(error), code='bad_json') from error
