"""Writes of a planned release for the next owner: model, release report.

The release report (a row of the accounts table) says which tasks may still
run on which workers.
"""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import UnavailableError
from tulippin.jobs import effects as fx
from tulippin.jobs._record_validation import find_fault, is_task_name
from tulippin.jobs._row_codec import encode_row
from tulippin.jobs._rows import read_record, read_row
from tulippin.jobs.ports import RowWrite
from tulippin.jobs.records import (
    ACCOUNTS_TABLE,
    MODEL_KEY,
    MODELS_TABLE,
    RELEASE_REPORT_KEY,
    AccountRecord,
)
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# The store limits a row to 64 KiB. The report of a unit of 44 workers with 600
# tasks takes 17 KB.
_MAX_REPORT_BYTES: t.Final = 60_000
# Time limit for reading the previous owner's report, which is left out after
# it. The unit has no owner until the release is done, while without the report
# only tasks that may run on silent workers have to wait.
_READ_LIMIT_S: t.Final = 0.5


async def make_release_writes(
    effect: fx.ReleaseLease, shell: UnitShell
) -> list[RowWrite]:
    """Return the writes of the model, and of the report if it fits a row."""
    writes = []
    if effect.model is not None:
        writes.append(
            RowWrite(MODELS_TABLE, MODEL_KEY, encode_row(effect.model))
        )
    account = await _find_report(effect, shell)
    if account is None:
        return writes
    account = _drop_invalid_names(account)
    fault = find_fault(account)
    if fault:
        # Without a report, the next owner waits for all workers.
        logger.error('release report not written', reason=fault)
        shell.state.count('accounts_not_kept')
        return writes
    value = encode(account)
    if len(value) > _MAX_REPORT_BYTES:
        # Without a report, the next owner waits for all workers.
        logger.warning('release report too large', bytes=len(value))
    else:
        writes.append(RowWrite(ACCOUNTS_TABLE, RELEASE_REPORT_KEY, value))
    return writes


def _drop_invalid_names(account: AccountRecord) -> AccountRecord:
    """Return a report without names that no task can have.

    Workers may report runs with such names. They concern no job, but a report
    that includes them would be refused as a whole.
    """
    workers = {}
    for worker_id, entry in account.workers.items():
        tasks = entry.tasks
        if tasks is not None:
            tasks = tuple(filter(is_task_name, tasks))
        workers[worker_id] = attrs.evolve(entry, tasks=tasks)
    return attrs.evolve(account, workers=workers)


async def _find_report(
    effect: fx.ReleaseLease, shell: UnitShell
) -> AccountRecord | None:
    """Return this owner's report, or the last one if it gave no order.

    No other instance writes the row while this one owns the unit, and the
    release is carried out only in that case.
    """
    if effect.held_ms is None:
        return effect.account
    account = await _read_report(shell)
    if account is None or account.epoch != effect.epoch.epoch - 1:
        return None
    return account.carry_over(effect.held_ms)


async def _read_report(shell: UnitShell) -> AccountRecord | None:
    row = None
    part = shell.config.unit.part
    store = shell.ports.store
    try:
        with trio.move_on_after(_READ_LIMIT_S):
            row = await read_row(
                store, ACCOUNTS_TABLE, part, RELEASE_REPORT_KEY
            )
    except UnavailableError as error:
        logger.info('release report not handed over', reason=error.message)
    return read_record(row, AccountRecord)
