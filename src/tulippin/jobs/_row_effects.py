"""Performs effects on rows in the store.

They concern the unit's lease, epoch, progress, model and roster, and the rows
by which units transfer, remove and abandon jobs.
"""

from __future__ import annotations

import contextlib
import functools
import math
import typing as t

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._accounts import make_release_writes
from tulippin.jobs._perform import perform
from tulippin.jobs._refusals import (
    chunk_writes,
    encode_progress,
    log_refusal,
    make_progress_transaction,
    split,
)
from tulippin.jobs._row_codec import encode_row
from tulippin.jobs._rows import (
    get_version,
    is_unreadable,
    read_record,
    read_row,
)
from tulippin.jobs._transactions import transact_with_retries
from tulippin.jobs.ports import (
    RowCondition,
    RowWrite,
    Transaction,
    TransactionResult,
    WriteRefusedError,
)
from tulippin.jobs.records import (
    CANCEL_SUFFIX,
    EPOCH_KEY,
    FAIL_SUFFIX,
    GUEST_SUFFIX,
    HOMES_TABLE,
    LEASE_KEY,
    MODEL_KEY,
    MODELS_TABLE,
    ROSTER_KEY,
    UNITS_TABLE,
    FailRecord,
    GuestRecord,
    HomeRecord,
    LeaseRecord,
    Unit,
    get_jobs_part,
)
from tulippin.jobs.types import JobState
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# Time limits for the attempts of each write. After them, a new attempt with
# newer rows is more useful.
_TAKE_LIMIT_S: t.Final = 2.0
_RENEW_LIMIT_S: t.Final = 1.4
_RELEASE_LIMIT_S: t.Final = 0.5
_TRANSFER_LIMIT_S: t.Final = 1.0
_TRANSFER_RETRY_PAUSE_S: t.Final = 0.3
_MS: t.Final = 1000


@perform.register(fx.TakeUnit)
def _take_unit(effect: fx.TakeUnit, shell: UnitShell) -> None:
    shell.start(_run_take, effect, shell)


async def _run_take(effect: fx.TakeUnit, shell: UnitShell) -> None:
    # The epoch is written to the table of jobs too. An owner that was replaced
    # without noticing reads it in its feed of jobs before any job accepted
    # later, at no extra call. Otherwise both owners would start the tasks of
    # such a job, on workers that only one of them has contacted.
    transaction = Transaction(
        shell.config.unit.part,
        (
            RowCondition(UNITS_TABLE, LEASE_KEY, effect.lease_version),
            RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),
        ),
        (
            RowWrite(
                UNITS_TABLE, LEASE_KEY, _encode_lease(effect.lease, shell)
            ),
            RowWrite(UNITS_TABLE, EPOCH_KEY, encode(effect.epoch)),
            RowWrite(
                shell.config.unit.jobs_table, EPOCH_KEY, encode(effect.epoch)
            ),
        ),
    )
    if shell.lease is not None:
        shell.answer_times.expect(shell.lease.answer_ms / _MS)
    sent_ms = shell.clock()
    version = 0
    store_ms = 0
    is_in_doubt = False
    try:
        result = await _transact_reduced(
            (
                transaction,
                _replace_lease(transaction, _make_bare(effect.lease), shell),
            ),
            _TAKE_LIMIT_S,
            shell,
        )
    except UnavailableError as error:
        shell.record_store_result(error)
        is_in_doubt = True
    else:
        version = result.version if result.is_done else 0
        store_ms = result.store_ms
    shell.post(
        ev.UnitTaken(
            shell.clock(),
            effect.epoch.epoch,
            version,
            sent_ms,
            is_in_doubt,
            store_ms,
        )
    )


def _encode_lease(lease: LeaseRecord, shell: UnitShell) -> bytes:
    """Encode a lease, with the store's usual answer time added."""
    answer_ms = int(shell.answer_times.usual_s * _MS)
    return encode_row(attrs.evolve(lease, answer_ms=answer_ms))


def _make_bare(lease: LeaseRecord) -> LeaseRecord:
    """Return a lease without what owners publish of their units."""
    return LeaseRecord(
        lease.session_id,
        lease.instance_id,
        lease.renewal_count,
        lease.released,
        is_loading=lease.is_loading,
        task_count=lease.task_count,
        processor_share=lease.processor_share,
        successor_load=lease.successor_load,
    )


def _replace_lease(
    transaction: Transaction, lease: LeaseRecord, shell: UnitShell
) -> Transaction:
    """Return a transaction that writes another lease."""
    value = _encode_lease(lease, shell)
    return attrs.evolve(
        transaction,
        writes=tuple(
            attrs.evolve(write, value=value)
            if write.key == LEASE_KEY
            else write
            for write in transaction.writes
        ),
    )


async def _transact_reduced(
    variants: t.Sequence[Transaction], limit_s: float, shell: UnitShell
) -> TransactionResult:
    """Execute the first of some transactions that the store doesn't refuse.

    Raises as ``transact_with_retries`` does; ``WriteRefusedError`` if the
    store refuses all.
    """
    for transaction in variants[:-1]:
        try:
            return await transact_with_retries(
                shell.ports.store, transaction, limit_s, shell.answer_times
            )
        except WriteRefusedError as error:
            log_refusal(transaction, error, unit=shell.config.unit.number)
    return await transact_with_retries(
        shell.ports.store, variants[-1], limit_s, shell.answer_times
    )


def _make_lease_transaction(
    lease: LeaseRecord, epoch_version: int, shell: UnitShell
) -> Transaction:
    return Transaction(
        shell.config.unit.part,
        (RowCondition(UNITS_TABLE, EPOCH_KEY, epoch_version),),
        (RowWrite(UNITS_TABLE, LEASE_KEY, _encode_lease(lease, shell)),),
    )


@perform.register(fx.RenewLease)
def _renew_lease(effect: fx.RenewLease, shell: UnitShell) -> None:
    shell.start(_run_renew, effect, shell)


async def _run_renew(effect: fx.RenewLease, shell: UnitShell) -> None:
    transaction = _make_lease_transaction(
        effect.lease, effect.epoch_version, shell
    )
    sent_ms = shell.clock()
    version = 0
    store_ms = 0
    is_done = False
    is_fenced = False
    try:
        result = await _transact_reduced(
            (
                transaction,
                _replace_lease(transaction, _make_bare(effect.lease), shell),
            ),
            _RENEW_LIMIT_S,
            shell,
        )
    except UnavailableError as error:
        shell.record_store_result(error)
    else:
        shell.record_store_result()
        version = result.version
        store_ms = result.store_ms
        is_done = result.is_done
        is_fenced = not result.is_done
        shell.lease = effect.lease
    shell.post(
        ev.LeaseRenewed(
            shell.clock(),
            effect.epoch_version,
            sent_ms,
            is_done,
            is_fenced,
            version,
            store_ms,
        )
    )


@perform.register(fx.ReleaseLease)
def _release_lease(effect: fx.ReleaseLease, shell: UnitShell) -> None:
    shell.start(_run_release, effect, shell)


async def _run_release(effect: fx.ReleaseLease, shell: UnitShell) -> None:
    record_writes = await make_release_writes(effect, shell)
    transaction = _make_lease_transaction(
        effect.lease, effect.epoch_version, shell
    )
    # The write of the epoch row makes a delayed renewal fail. Such a renewal
    # would revert the release, and the unit would have no owner until that
    # lease lapses. The condition on the lease row makes a delayed release fail
    # if its owner has renewed the lease since.
    transaction = attrs.evolve(
        transaction,
        conditions=(
            *transaction.conditions,
            RowCondition(UNITS_TABLE, LEASE_KEY, effect.lease_version),
        ),
        writes=(
            *transaction.writes,
            RowWrite(UNITS_TABLE, EPOCH_KEY, encode(effect.epoch)),
        ),
    )
    # Without its records, the next owner learns anew and waits for workers.
    variants = (
        attrs.evolve(transaction, writes=(*transaction.writes, *record_writes)),
        transaction,
        _replace_lease(transaction, _make_bare(effect.lease), shell),
    )
    began_ms = shell.clock()
    result = None
    is_in_doubt = False
    try:
        result = await _transact_reduced(variants, _RELEASE_LIMIT_S, shell)
    except UnavailableError as error:
        reason = error.message
        is_in_doubt = isinstance(error, AnswerLostError)
    else:
        reason = '' if result.is_done else 'row versions have changed'
    fields = {
        'unit': shell.config.unit.number,
        'epoch': effect.epoch.epoch,
        'took_ms': shell.clock() - began_ms,
    }
    if reason:
        logger.warning(
            'unit not released',
            reason=reason,
            may_land_later=is_in_doubt,
            **fields,
        )
    else:
        logger.info('unit released', **fields)
    is_owned, lease_version = _check_ownership(effect, result)
    shell.post(
        ev.LeaseReleased(
            shell.clock(),
            effect.epoch_version,
            not is_owned,
            is_in_doubt,
            lease_version,
        )
    )


def _check_ownership(
    effect: fx.ReleaseLease, result: TransactionResult | None
) -> tuple[bool, int]:
    """Return whether the unit is still owned, and its lease version.

    The version is 0 if unknown.
    """
    if result is None:
        return True, 0
    versions = {row.key: row.version for row in result.rows}
    if result.is_done or versions.get(EPOCH_KEY) != effect.epoch_version:
        return False, 0
    return True, versions.get(LEASE_KEY, 0)


@perform.register(fx.KeepModel)
def _persist_model(effect: fx.KeepModel, shell: UnitShell) -> None:
    shell.start(_run_keep, effect, shell)


async def _run_keep(effect: fx.KeepModel, shell: UnitShell) -> None:
    transaction = Transaction(
        shell.config.unit.part,
        (RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),),
        (RowWrite(MODELS_TABLE, MODEL_KEY, encode_row(effect.model)),),
    )
    try:
        await shell.ports.store.transact(transaction)
    except WriteRefusedError as error:
        log_refusal(transaction, error, unit=shell.config.unit.number)
    except UnavailableError as error:
        # A newer model is written some seconds later.
        logger.info('model not persisted', reason=error.message)
    shell.post(ev.ModelKept(shell.clock()))


@perform.register(fx.CommitProgress)
def _commit_progress(effect: fx.CommitProgress, shell: UnitShell) -> None:
    shell.start(_run_commit, effect, shell)


async def _run_commit(effect: fx.CommitProgress, shell: UnitShell) -> None:
    """Write progress, in as many transactions as the store's limits require.

    A refused transaction is halved until the refused job is alone in one.
    """
    unit = shell.config.unit
    epoch = RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version)
    batches = split(encode_progress(effect.writes))
    refusals: dict[str, str] = {}
    while batches:
        batch = batches.popleft()
        writes = tuple(row.write for row in batch)
        transaction = make_progress_transaction(
            batch, unit.part, unit.progress_table, epoch
        )
        try:
            # Retried until the unit is lost: no other commit starts before
            # the result.
            result = await transact_with_retries(
                shell.ports.store, transaction, math.inf, shell.answer_times
            )
        except WriteRefusedError as error:
            if len(batch) > 1:
                middle = len(batch) // 2
                batches.extendleft((batch[middle:], batch[:middle]))
                continue
            log_refusal(transaction, error, unit=unit.number)
            refusals |= {write.job_id: error.message for write in writes}
            result = TransactionResult(is_done=True)
            writes = ()
        is_last = not batches or not result.is_done
        shell.post(
            ev.ProgressCommitted(
                shell.clock(),
                attrs.evolve(
                    effect,
                    writes=writes,
                    ends=effect.ends if is_last and not refusals else {},
                ),
                result.version,
                not result.is_done,
                not is_last,
                refusals if is_last else {},
            )
        )
        if not result.is_done:
            return


@perform.register(fx.CommitRoster)
def _commit_roster(effect: fx.CommitRoster, shell: UnitShell) -> None:
    shell.start(_run_roster, effect, shell)


async def _run_roster(effect: fx.CommitRoster, shell: UnitShell) -> None:
    transaction = Transaction(
        shell.config.unit.part,
        (
            RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),
            RowCondition(UNITS_TABLE, ROSTER_KEY, effect.roster_version),
        ),
        (RowWrite(UNITS_TABLE, ROSTER_KEY, encode_row(effect.roster)),),
    )
    # Retried until the unit is lost: no other commit starts before the result.
    is_refused = False
    try:
        result = await transact_with_retries(
            shell.ports.store, transaction, math.inf, shell.answer_times
        )
    except WriteRefusedError as error:
        log_refusal(transaction, error, unit=shell.config.unit.number)
        result = TransactionResult(is_done=True)
        is_refused = True
    shell.post(
        ev.RosterCommitted(
            shell.clock(),
            effect.roster,
            result.version,
            effect.epoch_version,
            not result.is_done,
            is_refused,
        )
    )


@perform.register(fx.RemoveJobs)
def _remove_jobs(effect: fx.RemoveJobs, shell: UnitShell) -> None:
    shell.start(_run_remove, effect, shell)


async def _run_remove(effect: fx.RemoveJobs, shell: UnitShell) -> None:
    """Remove the rows of jobs, then the progress of these jobs.

    The next owner would run a job without progress again, while progress
    without a job has no effect.
    """
    unit = shell.config.unit
    removals: dict[str, list[RowWrite]] = {}
    transactions = []
    for job_id in effect.job_ids:
        part = get_jobs_part(job_id, shell.layout.job_parts)
        writes = _make_removals(job_id, effect, unit)
        if job_id in effect.moved_versions:
            condition = RowCondition(
                unit.jobs_table, job_id, effect.moved_versions[job_id]
            )
            transactions.append(Transaction(part, (condition,), writes))
        else:
            removals.setdefault(part, []).extend(writes)
    transactions.extend(
        Transaction(part, (), chunk)
        for part, writes in removals.items()
        for chunk in chunk_writes(writes)
    )
    transactions.append(
        Transaction(
            unit.part,
            (RowCondition(UNITS_TABLE, EPOCH_KEY, effect.epoch_version),),
            tuple(
                RowWrite(unit.progress_table, job_id, None)
                for job_id in effect.job_ids
            ),
        )
    )
    try:
        for transaction in transactions:
            await shell.ports.store.transact(transaction)
    except UnavailableError as error:
        # The rows stay in the store until the next owner removes them.
        logger.warning('jobs not removed', reason=error.message)


def _make_removals(
    job_id: str, effect: fx.RemoveJobs, unit: Unit
) -> tuple[RowWrite, ...]:
    """Return the writes that remove the rows of a job, but its progress."""
    writes = [
        RowWrite(unit.jobs_table, f'{job_id}{suffix}', None)
        for suffix in ('', CANCEL_SUFFIX, GUEST_SUFFIX, FAIL_SUFFIX)
    ]
    if job_id not in effect.transferred_ids:
        writes.append(RowWrite(HOMES_TABLE, job_id, None))
    return tuple(writes)


@perform.register(fx.PassTasks)
def _pass_tasks(effect: fx.PassTasks, shell: UnitShell) -> None:
    shell.start(_run_pass, effect, shell)


async def _run_pass(effect: fx.PassTasks, shell: UnitShell) -> None:
    """Write transferred tasks to their unit, and that unit to the home row.

    A cancel reads in the home row which units to notify.
    """
    try:
        await _write_until_done(
            functools.partial(_make_pass, effect, shell),
            shell,
            'pass tasks',
            job=effect.job_id,
            to_unit=effect.unit,
            tasks=len(effect.record.passes),
        )
    except WriteRefusedError as error:
        _post_refusal(effect.job_id, error, shell)


def _post_refusal(
    job_id: str, error: WriteRefusedError, shell: UnitShell
) -> None:
    shell.post(ev.JobRefused(shell.clock(), job_id, error.message))


async def _write_until_done(
    make: t.Callable[[], t.Awaitable[Transaction | None]],
    shell: UnitShell,
    what: str,
    **fields: t.Any,
) -> None:
    """Retry a transaction, built by ``make`` for each attempt, until done.

    ``make`` returns None if nothing is left to write. Raises
    ``WriteRefusedError`` if the store refuses the transaction.
    """
    while True:
        try:
            transaction = await make()
            if transaction is None:
                return
            result = await transact_with_retries(
                shell.ports.store,
                transaction,
                _TRANSFER_LIMIT_S,
                shell.answer_times,
            )
        except WriteRefusedError as error:
            log_refusal(transaction, error, write=what, **fields)
            raise
        except UnavailableError as error:
            logger.warning(f'{what}: retry', reason=error.message, **fields)
            await trio.sleep(_TRANSFER_RETRY_PAUSE_S)
            continue
        if result.is_done:
            logger.info(f'{what}: done', version=result.version, **fields)
            return


async def _make_pass(
    effect: fx.PassTasks, shell: UnitShell
) -> Transaction | None:
    """Build the transaction for a transfer; None if nothing is to be written.

    The tasks are merged into a record of earlier transfers, if there is one.
    """
    part = get_jobs_part(effect.job_id, shell.layout.job_parts)
    table = Unit(effect.unit).jobs_table
    key = f'{effect.job_id}{GUEST_SUFFIX}'
    home, home_version = await _read_open_home(effect.job_id, shell)
    if home is None:
        return None
    guest_row = await read_row(shell.ports.store, table, part, key)
    stored = read_record(guest_row, GuestRecord)
    if is_unreadable(guest_row, stored):
        # The row may hold tasks that other units transferred, which would be
        # lost if it were replaced. This transfer is repeated with the job's
        # next progress.
        return None
    record = effect.record
    if stored is not None:
        newer = {
            name: number
            for name, number in record.passes.items()
            if number > stored.passes.get(name, 0)
        }
        if not newer:
            return None
        runs = {name: record.runs[name] for name in newer}
        record = attrs.evolve(
            stored,
            passes={**stored.passes, **newer},
            runs={**stored.runs, **runs},
            begun=tuple(sorted({*stored.begun, *record.begun})),
            crashes={**stored.crashes, **record.crashes},
        )
    if effect.unit not in home.units:
        guests = (*home.guest_units, effect.unit)
        home = attrs.evolve(home, guest_units=guests)
    return Transaction(
        part,
        (
            RowCondition(HOMES_TABLE, effect.job_id, home_version),
            RowCondition(table, key, get_version(guest_row)),
        ),
        (
            RowWrite(HOMES_TABLE, effect.job_id, encode(home)),
            RowWrite(table, key, encode_row(record)),
        ),
    )


@perform.register(fx.MoveJob)
def _move_job(effect: fx.MoveJob, shell: UnitShell) -> None:
    shell.start(_run_move, effect, shell)


async def _run_move(effect: fx.MoveJob, shell: UnitShell) -> None:
    """Write a job to its next home unit, and that unit to the home row."""
    try:
        await _write_until_done(
            functools.partial(_make_move, effect, shell),
            shell,
            'move job',
            job=effect.job_id,
            to_unit=effect.unit,
        )
    except WriteRefusedError as error:
        _post_refusal(effect.job_id, error, shell)


async def _make_move(
    effect: fx.MoveJob, shell: UnitShell
) -> Transaction | None:
    """Build the transaction that moves a job.

    Returns None if the job has moved already, or is cancelled. A job that has
    come back since has another row here, and further progress.
    """
    part = get_jobs_part(effect.job_id, shell.layout.job_parts)
    home, version = await _read_open_home(effect.job_id, shell)
    if home is None or home.unit != shell.config.unit.number:
        return None
    own_table = shell.config.unit.jobs_table
    own_row = await read_row(shell.ports.store, own_table, part, effect.job_id)
    own_version = get_version(own_row)
    if own_version > effect.row_version:
        return None
    has_begun = effect.record.moved.progress.state is not JobState.PENDING
    moved = attrs.evolve(home, unit=effect.unit, has_begun=has_begun)
    return Transaction(
        part,
        (
            RowCondition(HOMES_TABLE, effect.job_id, version),
            RowCondition(own_table, effect.job_id, own_version),
        ),
        (
            RowWrite(HOMES_TABLE, effect.job_id, encode(moved)),
            RowWrite(
                Unit(effect.unit).jobs_table,
                effect.job_id,
                encode_row(effect.record),
            ),
        ),
    )


async def _read_open_home(
    job_id: str, shell: UnitShell
) -> tuple[HomeRecord | None, int]:
    """Return a job's home and the version of its row.

    The home is None if it can't be read, or the job is cancelled or failed.
    """
    part = get_jobs_part(job_id, shell.layout.job_parts)
    row = await read_row(shell.ports.store, HOMES_TABLE, part, job_id)
    home = read_record(row, HomeRecord)
    if home is None or home.is_cancelled or home.is_failed:
        return None, 0
    return home, get_version(row)


@perform.register(fx.FailJob)
def _fail_job(effect: fx.FailJob, shell: UnitShell) -> None:
    shell.start(_run_fail, effect, shell)


async def _run_fail(effect: fx.FailJob, shell: UnitShell) -> None:
    """Mark a job as failed in all units that hold tasks of it."""
    # A refused write is logged; it leaves the job failed in this unit.
    with contextlib.suppress(WriteRefusedError):
        await _write_until_done(
            functools.partial(_make_failure_transaction, effect, shell),
            shell,
            'fail job',
            job=effect.job_id,
        )


async def _make_failure_transaction(
    effect: fx.FailJob, shell: UnitShell
) -> Transaction | None:
    """Build the transaction that marks a job as failed.

    Returns None if the job is marked as failed or cancelled already.
    """
    part = get_jobs_part(effect.job_id, shell.layout.job_parts)
    home, version = await _read_open_home(effect.job_id, shell)
    if home is None:
        return None
    fail_value = encode(FailRecord(effect.reason))
    key = f'{effect.job_id}{FAIL_SUFFIX}'
    return Transaction(
        part,
        (RowCondition(HOMES_TABLE, effect.job_id, version),),
        (
            RowWrite(
                HOMES_TABLE,
                effect.job_id,
                encode(attrs.evolve(home, is_failed=True)),
            ),
            *(
                RowWrite(Unit(number).jobs_table, key, fail_value)
                for number in home.units
            ),
        ),
    )
