"""JSON encoding of peer messages, journal records and unit states."""

from __future__ import annotations

import typing as t

import msgspec

from tulippin import ledger, messages, records
from tulippin.codec_json import decode, encode
from tulippin.exceptions import InputError

_RECORDS: t.Final = {kind.__name__: kind for kind in t.get_args(records.Record)}
_MESSAGES: t.Final = {kind.__name__: kind for kind in messages.PEER_MESSAGES}
_LEDGERS: t.Final = {
    'cell': ledger.CellLedger,
    'range': ledger.RangeLedger,
}


def encode_message(message: t.Any) -> tuple[str, bytes]:
    """Return the kind and the body of a peer message."""
    return type(message).__name__, encode(message)


def decode_message(kind: str, body: bytes) -> t.Any:
    """Return a peer message.

    Raises
    ------
    InputError
        If the kind is unknown or the body is invalid.
    """
    if kind not in _MESSAGES:
        raise InputError(f'unknown peer message {kind!r}', code='bad_message')
    return decode(body, _MESSAGES[kind])


def encode_records(unit_records: t.Iterable[records.UnitRecord]) -> str:
    """Return records as the JSON of one journal row, each with its kind."""
    return encode(
        [
            (entry.unit, entry.epoch, type(entry.record).__name__, entry.record)
            for entry in unit_records
        ]
    ).decode()


def decode_records(body: str) -> tuple[records.UnitRecord, ...]:
    """Return the records of one journal row."""
    rows = decode(body, list[tuple[str, int, str, msgspec.Raw]])
    return tuple(
        records.UnitRecord(unit, epoch, decode(bytes(raw), _RECORDS[kind]))
        for unit, epoch, kind, raw in rows
    )


def encode_ledgers(
    units: t.Iterable[tuple[str, int, ledger.Ledger]],
) -> bytes:
    """Return the durable state of units as JSON."""
    return encode(list(units))


def split_ledgers(body: bytes) -> dict[str, tuple[int, bytes]]:
    """Return the epoch of each unit and its state, which stays encoded."""
    rows = decode(body, list[tuple[str, int, msgspec.Raw]])
    return {unit: (epoch, bytes(raw)) for unit, epoch, raw in rows}


def decode_ledger(unit: str, body: bytes) -> ledger.Ledger:
    """Return the durable state of one unit."""
    return decode(body, _LEDGERS[unit.partition('/')[0]])
