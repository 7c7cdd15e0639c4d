"""What a release keeps for the next owner: the model, and the account."""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import UnavailableError
from tulippin.jobs import effects as fx
from tulippin.jobs._row_checks import find_fault, is_task_name
from tulippin.jobs._rows import read_record, read_row
from tulippin.jobs.ports import RowWrite
from tulippin.jobs.records import (
    ACCOUNT_KEY,
    ACCOUNTS_TABLE,
    MODEL_KEY,
    MODELS_TABLE,
    AccountRecord,
)
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# The users' stores keep 64 KiB in a row. A unit of 44 workers with 600
# tasks takes 17 KB.
_ACCOUNT_LIMIT_BYTES: t.Final = 60_000
# An account that is not read by then is left out: the unit has no owner
# until it is released, and without the account only what may run on silent
# workers waits.
_READ_LIMIT_S: t.Final = 0.5


async def make_known_writes(
    effect: fx.ReleaseLease, shell: UnitShell
) -> list[RowWrite]:
    """Return what keeps the model, and the account if a row holds it."""
    writes = []
    if effect.model is not None:
        writes.append(RowWrite(MODELS_TABLE, MODEL_KEY, encode(effect.model)))
    account = await _find_account(effect, shell)
    if account is None:
        return writes
    account = _name_tasks(account)
    fault = find_fault(account)
    if fault:
        # The next owner does without: it waits for all workers.
        logger.error('account not kept', reason=fault)
        shell.state.count('accounts_not_kept')
        return writes
    value = encode(account)
    if len(value) > _ACCOUNT_LIMIT_BYTES:
        # The next owner does without: it waits for all workers.
        logger.warning('account too large', bytes=len(value))
    else:
        writes.append(RowWrite(ACCOUNTS_TABLE, ACCOUNT_KEY, value))
    return writes


def _name_tasks(account: AccountRecord) -> AccountRecord:
    """Return an account without names that no task can have.

    Workers may tell such a run. No job would be held up by it, while the
    account that names it would be refused with all that it tells.
    """
    workers = {}
    for worker_id, told in account.workers.items():
        tasks = told.tasks
        if tasks is not None:
            tasks = tuple(filter(is_task_name, tasks))
        workers[worker_id] = attrs.evolve(told, tasks=tasks)
    return attrs.evolve(account, workers=workers)


async def _find_account(
    effect: fx.ReleaseLease, shell: UnitShell
) -> AccountRecord | None:
    """Return the owner's account; the last owner's if it gave no order.

    Nobody else writes it while the epoch's row is ours, and the release is
    done only if it is.
    """
    if effect.unused_ms is None:
        return effect.account
    account = await _read_account(shell)
    if account is None or account.epoch != effect.epoch.epoch - 1:
        return None
    return account.hand_on(effect.unused_ms)


async def _read_account(shell: UnitShell) -> AccountRecord | None:
    row = None
    part = shell.config.unit.part
    store = shell.ports.store
    try:
        with trio.move_on_after(_READ_LIMIT_S):
            row = await read_row(store, ACCOUNTS_TABLE, part, ACCOUNT_KEY)
    except UnavailableError as error:
        logger.info('account not handed on', reason=error.message)
    return read_record(row, AccountRecord)
