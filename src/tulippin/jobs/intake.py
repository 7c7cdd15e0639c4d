"""Callers' side of jobs: accepted, shown, counted and cancelled.

Any instance takes any call; the store's rows decide.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.codec_json import decode, encode
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs._ownership import count_waiting
from tulippin.jobs._resolving import transact_surely
from tulippin.jobs.ports import (
    RowCondition,
    RowPage,
    RowStore,
    RowWrite,
    Transaction,
)
from tulippin.jobs.records import (
    CANCEL_SUFFIX,
    CancelRecord,
    JobRecord,
    ProgressRecord,
)
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import Phase
from tulippin.jobs.types import JobRequest, JobState, Queue
from tulippin.logs import logger

_MS: t.Final = 1000
# The first character after all those that a key of one job begins with.
_AFTER_SLASH: t.Final = '0'


@attrs.frozen
class JobIntake:
    """Takes callers' calls about jobs.

    Every method raises ``UnavailableError`` if it surely did nothing,
    and ``AnswerLostError`` if that is not known.
    """

    shell: SchedulerShell

    @property
    def _store(self) -> RowStore:
        return self.shell.ports.store

    async def _read(
        self, table: str, part: str, first: str, end: str
    ) -> RowPage:
        """Read rows; a reading that fails has done nothing."""
        try:
            return await self._store.read_rows(table, part, first, end)
        except AnswerLostError as error:
            raise UnavailableError(error.message) from error

    async def submit(
        self, job_id: str, queue: Queue, request: JobRequest, limit_ms: int
    ) -> None:
        """Accept a job: once this returns, it is kept.

        The same id again is the same job, whatever it carries.
        """
        unit = self.shell.config.unit
        value = encode(JobRecord(queue, request))
        transaction = Transaction(
            unit.get_jobs_part(job_id),
            (RowCondition(unit.jobs_table, job_id, 0),),
            (RowWrite(unit.jobs_table, job_id, value),),
        )
        began_ms = self.shell.clock()
        result = await transact_surely(self._store, transaction, limit_ms / _MS)
        self.shell.observe('tulippin_call_seconds', 'submit', began_ms)
        logger.info(
            'job accepted',
            job=job_id,
            queue=queue.name,
            is_new=result.is_done,
            version=result.version,
            took_ms=self.shell.clock() - began_ms,
        )

    async def get_state(self, job_id: str) -> JobState | None:
        """Return a job's state, or nothing if there is no such job."""
        state = self.shell.state
        if state.ownership.phase is Phase.ACTIVE and job_id in state.jobs:
            job = state.jobs[job_id]
            if job.durable is not None:
                return job.durable.state
        unit = self.shell.config.unit
        end = f'{job_id}/'
        page = await self._read(unit.progress_table, unit.part, job_id, end)
        for row in page.rows:
            if row.value is not None:
                return decode(row.value, ProgressRecord).state
        part = unit.get_jobs_part(job_id)
        page = await self._read(unit.jobs_table, part, job_id, end)
        return JobState.PENDING if page.rows else None

    async def cancel(self, job_id: str, queue: Queue, limit_ms: int) -> bool:
        """Cancel a job for good; false if there is no such job."""
        unit = self.shell.config.unit
        end = f'{job_id}{_AFTER_SLASH}'
        part = unit.get_jobs_part(job_id)
        page = await self._read(unit.jobs_table, part, job_id, end)
        keys = {row.key for row in page.rows}
        if job_id not in keys:
            return False
        key = f'{job_id}{CANCEL_SUFFIX}'
        if key in keys:
            return True
        transaction = Transaction(
            part,
            (),
            (RowWrite(unit.jobs_table, key, encode(CancelRecord(queue.name))),),
        )
        began_ms = self.shell.clock()
        result = await transact_surely(self._store, transaction, limit_ms / _MS)
        if not result.is_done:
            raise AnswerLostError('the store refused a cancel')
        self.shell.observe('tulippin_call_seconds', 'cancel', began_ms)
        logger.info(
            'cancel accepted',
            job=job_id,
            queue=queue.name,
            version=result.version,
            took_ms=self.shell.clock() - began_ms,
        )
        return True

    def count_waiting(self, queue: Queue) -> int:
        """Return how many of a queue's jobs have no task begun."""
        state = self.shell.state
        if state.ownership.phase is Phase.ACTIVE:
            return count_waiting(state).get(queue.name, 0)
        lease = self.shell.lease
        return lease.waiting.get(queue.name, 0) if lease else 0
