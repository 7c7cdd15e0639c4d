"""Writes that the store refuses for their content.

Such a write is not repeated. It is made smaller or left out, so that it stops
no other write.
"""

from __future__ import annotations

import collections
import typing as t

import attrs

from tulippin.jobs import effects as fx
from tulippin.jobs._row_codec import encode_row
from tulippin.jobs.ports import (
    MAX_TRANSACTION_BYTES,
    MAX_TRANSACTION_ENTRIES,
    RowCondition,
    RowWrite,
    Transaction,
    WriteRefusedError,
)
from tulippin.logs import logger

# Upper bound of the encoded size of an entry without its value.
_ENTRY_BYTES: t.Final = 400
# Entries of a transaction beside its jobs: the condition on the epoch.
_COMMON_ENTRIES: t.Final = 1
# A condition and a write for each job.
_ENTRIES_PER_JOB: t.Final = 2


@attrs.frozen
class EncodedProgress:
    """A job's progress with the value of its row."""

    write: fx.ProgressWrite
    value: bytes

    @property
    def size_bytes(self) -> int:
        """Upper bound of its size within a transaction, in bytes."""
        encoded_bytes = -(-len(self.value) // 3) * 4
        return encoded_bytes + _ENTRIES_PER_JOB * _ENTRY_BYTES


def log_refusal(
    transaction: Transaction, error: WriteRefusedError, **fields: t.Any
) -> None:
    """Log a refused transaction with its sizes, in bytes."""
    sizes = {one.key: len(one.value or b'') for one in transaction.writes}
    largest = max(sizes, key=lambda key: sizes[key], default='')
    logger.error(
        'write refused',
        part=transaction.part,
        reason=error.message,
        entries=len(transaction.conditions) + len(transaction.writes),
        bytes=sum(sizes.values()),
        largest_key=largest,
        largest_bytes=sizes.get(largest, 0),
        **fields,
    )


def encode_progress(
    writes: t.Iterable[fx.ProgressWrite],
) -> tuple[EncodedProgress, ...]:
    """Encode the progress of jobs."""
    return tuple(
        EncodedProgress(write, encode_row(write.record)) for write in writes
    )


def split(
    rows: t.Sequence[EncodedProgress],
) -> collections.deque[tuple[EncodedProgress, ...]]:
    """Group the progress of jobs into transactions within the limits."""
    max_jobs = (MAX_TRANSACTION_ENTRIES - _COMMON_ENTRIES) // _ENTRIES_PER_JOB
    batches: collections.deque[tuple[EncodedProgress, ...]] = (
        collections.deque()
    )
    batch: list[EncodedProgress] = []
    left_bytes = MAX_TRANSACTION_BYTES - _COMMON_ENTRIES * _ENTRY_BYTES
    for row in rows:
        if batch and (len(batch) == max_jobs or row.size_bytes > left_bytes):
            batches.append(tuple(batch))
            batch = []
            left_bytes = MAX_TRANSACTION_BYTES - _COMMON_ENTRIES * _ENTRY_BYTES
        batch.append(row)
        left_bytes -= row.size_bytes
    batches.append(tuple(batch))
    return batches


def make_progress_transaction(
    rows: t.Iterable[EncodedProgress],
    part: str,
    table: str,
    epoch: RowCondition,
) -> Transaction:
    """Return the transaction that writes the progress of jobs."""
    return Transaction(
        part,
        (
            epoch,
            *(
                RowCondition(table, row.write.job_id, row.write.version)
                for row in rows
            ),
        ),
        tuple(RowWrite(table, row.write.job_id, row.value) for row in rows),
    )


def chunk_writes(
    writes: t.Sequence[RowWrite],
) -> t.Iterator[tuple[RowWrite, ...]]:
    """Yield writes without conditions in groups of one transaction each."""
    for start in range(0, len(writes), MAX_TRANSACTION_ENTRIES):
        yield tuple(writes[start : start + MAX_TRANSACTION_ENTRIES])
