"""Limits of the store: sizes of rows and transactions."""

import pytest
import trio

from tulippin.jobs.ports import (
    MAX_KEY_BYTES,
    MAX_ROW_BYTES,
    MAX_TRANSACTION_ENTRIES,
    RowCondition,
    RowWrite,
    Transaction,
    WriteRefusedError,
)
from tulippin.platform.standin_store import StandinStore

ROW = b'x' * MAX_ROW_BYTES
# Twelve full rows take more than 1 MB in base64.
MANY_ROWS = 12


def make_write(*values, key='a'):
    return Transaction(
        'u0',
        (RowCondition('progress0', key, 0),),
        tuple(
            RowWrite('progress0', f'{key}{number or ""}', value)
            for number, value in enumerate(values)
        ),
    )


@pytest.mark.parametrize(
    'transaction',
    [
        make_write(ROW + b'x'),
        make_write(b'x', key='k' * (MAX_KEY_BYTES + 1)),
        make_write(*[b'x'] * MAX_TRANSACTION_ENTRIES),
        make_write(*[ROW] * MANY_ROWS),
    ],
    ids=['value', 'key', 'entries', 'bytes'],
)
def test_standin_store_refuses_what_exceeds_a_limit(transaction):
    store = StandinStore()
    with pytest.raises(WriteRefusedError):
        trio.run(store.get_view('a').transact, transaction)
    assert not store.rows


@pytest.mark.parametrize(
    'transaction',
    [
        make_write(ROW),
        make_write(b'x', key='k' * MAX_KEY_BYTES),
        make_write(*[b'x'] * (MAX_TRANSACTION_ENTRIES - 1)),
        make_write(*[ROW] * (MANY_ROWS - 1)),
    ],
    ids=['value', 'key', 'entries', 'bytes'],
)
def test_standin_store_commits_what_is_within_the_limits(transaction):
    store = StandinStore()
    result = trio.run(store.get_view('a').transact, transaction)
    assert result.is_done
