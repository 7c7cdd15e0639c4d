"""Callers' side of jobs: accepted, shown, counted and cancelled.

Any instance takes any call; the store's rows decide.
"""

from __future__ import annotations

import typing as t

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs._ownership import count_waiting
from tulippin.jobs._resolving import transact_surely
from tulippin.jobs._rows import is_unreadable, read_record, read_row
from tulippin.jobs.ports import (
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionResult,
)
from tulippin.jobs.records import (
    CANCEL_SUFFIX,
    HOMES_TABLE,
    CancelRecord,
    HomeRecord,
    JobRecord,
    ProgressRecord,
    Unit,
    get_jobs_part,
)
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.types import JobRequest, JobState, Queue
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

_MS: t.Final = 1000
# A store that is well answers in 4 to 9 ms: with less time left, a caller
# would learn nothing of what was done.
LEAST_LIMIT_MS: t.Final = 10
# A cancel is tried so often where the units that run a job's tasks change
# meanwhile: a task is passed on once in seconds at most.
_CANCEL_TRIES: t.Final = 4
# An instance that has just started reads the layout within some 10 ms, and
# the first of all makes it within 1 s.
_LAYOUT_WAIT_MS: t.Final = 1500
# Some 100 bytes each.
_HOMES_KEPT: t.Final = 10_000


@attrs.frozen
class JobIntake:
    """Takes callers' calls about jobs.

    Every method raises ``UnavailableError`` if it surely did nothing,
    and ``AnswerLostError`` if that is not known.
    """

    shell: SchedulerShell
    # A job's home never changes, and a caller's calls mostly come by the
    # same instance: a state is read with one call in place of two.
    _homes: dict[str, int] = attrs.field(factory=dict, init=False)

    @property
    def _store(self) -> RowStore:
        return self.shell.ports.store

    async def _transact(
        self, transaction: Transaction, limit_ms: int
    ) -> TransactionResult:
        _check_limit(limit_ms)
        times = self.shell.answer_times
        return await transact_surely(
            self._store, transaction, limit_ms / _MS, times
        )

    async def _read(self, table: str, part: str, key: str) -> StoredRow | None:
        """Read a row; a reading that fails has done nothing."""
        try:
            return await read_row(self._store, table, part, key)
        except AnswerLostError as error:
            raise UnavailableError(error.message) from error

    async def _read_home(
        self, job_id: str
    ) -> tuple[HomeRecord | None, StoredRow | None]:
        row = await self._read(HOMES_TABLE, get_jobs_part(job_id), job_id)
        home = read_record(row, HomeRecord)
        if is_unreadable(row, home):
            # There may be such a job, and nobody can tell where.
            raise UnavailableError(f'the home of {job_id} is unreadable')
        return home, row

    async def _read_state(self, number: int, job_id: str) -> JobState | None:
        """Return what is durable of a job's state in a unit."""
        unit = Unit(number)
        row = await self._read(unit.progress_table, unit.part, job_id)
        progress = read_record(row, ProgressRecord)
        if is_unreadable(row, progress):
            raise UnavailableError(f'the progress of {job_id} is unreadable')
        return progress.state if progress else None

    async def submit(
        self, job_id: str, queue: Queue, request: JobRequest, limit_ms: int
    ) -> None:
        """Accept a job: once this returns, it is kept.

        The same id again is the same job, whatever it carries.
        """
        began_ms = self.shell.clock()
        await self._wait_for_layout(limit_ms)
        number = self.shell.choose_unit(request)
        if number is None:
            raise UnavailableError('no unit is known yet')
        home = HomeRecord(number)
        record = JobRecord(queue, request, self.shell.wall())
        transaction = Transaction(
            get_jobs_part(job_id),
            (RowCondition(HOMES_TABLE, job_id, 0),),
            (
                RowWrite(HOMES_TABLE, job_id, encode(home)),
                RowWrite(Unit(number).jobs_table, job_id, encode(record)),
            ),
        )
        left_ms = limit_ms - (self.shell.clock() - began_ms)
        result = await self._transact(transaction, left_ms)
        if result.is_done:
            self._keep_home(job_id, number)
        elif _is_home_unreadable(result, job_id):
            raise AnswerLostError(f'the home of {job_id} is unreadable')
        self.shell.observe('tulippin_call_seconds', 'submit', began_ms)
        logger.info(
            'job accepted',
            job=job_id,
            queue=queue.name,
            unit=number,
            is_new=result.is_done,
            version=result.version,
            took_ms=self.shell.clock() - began_ms,
        )

    async def _wait_for_layout(self, limit_ms: int) -> None:
        """Wait for the units, and leave half the time to the store."""
        _check_limit(limit_ms)
        wait_ms = min(limit_ms / 2, _LAYOUT_WAIT_MS)
        with trio.move_on_after(wait_ms / _MS):
            await self.shell.laid_out.wait()

    async def get_state(self, job_id: str) -> JobState | None:
        """Return a job's state, or nothing if there is no such job."""
        found = self.shell.find_job(job_id)
        if found is not None and found[1].durable is not None:
            return found[1].durable.state
        likely = self._homes.get(job_id)
        if len(self.shell.units) == 1:
            likely = next(iter(self.shell.units))
        if likely is not None:
            state = await self._read_state(likely, job_id)
            if state is not None:
                return state
        home, _ = await self._read_home(job_id)
        if home is None:
            return None
        self._keep_home(job_id, home.unit)
        state = None
        if home.unit != likely:
            state = await self._read_state(home.unit, job_id)
        return state or JobState.PENDING

    def _keep_home(self, job_id: str, number: int) -> None:
        if len(self._homes) >= _HOMES_KEPT:
            self._homes.pop(next(iter(self._homes)))
        self._homes[job_id] = number

    async def cancel(self, job_id: str, queue: Queue, limit_ms: int) -> bool:
        """Cancel a job for good; false if there is no such job."""
        began_ms = self.shell.clock()
        for _ in range(_CANCEL_TRIES):
            home, row = await self._read_home(job_id)
            if home is None or row is None:
                return False
            if home.is_cancelled:
                return True
            transaction = _make_cancel(job_id, queue, home, row)
            left_ms = limit_ms - (self.shell.clock() - began_ms)
            result = await self._transact(transaction, left_ms)
            if result.is_done:
                self.shell.observe('tulippin_call_seconds', 'cancel', began_ms)
                logger.info(
                    'cancel accepted',
                    job=job_id,
                    queue=queue.name,
                    units=home.units,
                    version=result.version,
                    took_ms=self.shell.clock() - began_ms,
                )
                return True
        raise AnswerLostError('the units of a job keep changing; cancel again')

    def count_waiting(self, queue: Queue) -> int:
        """Return how many of a queue's jobs have no task begun."""
        if not self.shell.units:
            raise UnavailableError('no unit is known yet')
        told = [_get_waiting(unit) for unit in self.shell.units.values()]
        return sum(waiting.get(queue.name, 0) for waiting in told)


def _get_waiting(unit: UnitShell) -> dict[str, int]:
    """Return the waiting jobs of a unit, as far as its lease is known.

    A lease that has not been read, or can't be, does not tell of none.
    """
    if unit.is_owner:
        return count_waiting(unit.state)
    if unit.lease is not None:
        return unit.lease.waiting
    ownership = unit.state.ownership
    is_read = ownership.changed_ms >= 0
    if not is_read or ownership.lease_version:
        number = unit.config.unit.number
        raise UnavailableError(f'the lease of unit {number} is not known yet')
    return {}


def _check_limit(limit_ms: int) -> None:
    """Refuse what can't be done in the time left, before any of it is."""
    if limit_ms < LEAST_LIMIT_MS:
        raise UnavailableError(
            f'not run: {limit_ms} ms are too little; call again with more'
        )


def _is_home_unreadable(result: TransactionResult, job_id: str) -> bool:
    """Whether what stands in a new job's way tells of no job."""
    return any(
        is_unreadable(row, read_record(row, HomeRecord))
        for row in result.rows
        if (row.table, row.key) == (HOMES_TABLE, job_id)
    )


def _make_cancel(
    job_id: str, queue: Queue, home: HomeRecord, row: StoredRow
) -> Transaction:
    """Return what tells every unit that knows a job of its cancel."""
    cancelled = attrs.evolve(home, is_cancelled=True)
    mark = encode(CancelRecord(queue.name))
    return Transaction(
        row.part,
        (RowCondition(HOMES_TABLE, job_id, row.version),),
        (
            RowWrite(HOMES_TABLE, job_id, encode(cancelled)),
            *(
                RowWrite(
                    Unit(number).jobs_table, f'{job_id}{CANCEL_SUFFIX}', mark
                )
                for number in home.units
            ),
        ),
    )
