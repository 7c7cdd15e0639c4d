"""API calls on jobs: submit, show, count and cancel.

Any instance serves any call, as the outcome depends on the store alone.
"""

from __future__ import annotations

import typing as t
import zlib

import attrs
import trio

from tulippin.codec_json import encode
from tulippin.exceptions import (
    AnswerLostError,
    OverloadedError,
    UnavailableError,
)
from tulippin.jobs import _admission_inputs, _task_limits
from tulippin.jobs._bounded_writes import make_rejection, transact_in_time
from tulippin.jobs._ownership import count_waiting
from tulippin.jobs._row_codec import encode_row
from tulippin.jobs._rows import (
    get_version,
    is_unreadable,
    read_record,
    read_row,
)
from tulippin.jobs._transactions import transact_with_retries
from tulippin.jobs._write_bounds import CallRejectedError, Reason, find_reason
from tulippin.jobs.ports import (
    MAX_ROW_BYTES,
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionResult,
    WriteRefusedError,
)
from tulippin.jobs.records import (
    CANCEL_SUFFIX,
    HOMES_TABLE,
    CancelRecord,
    HomeRecord,
    JobRecord,
    LayoutRecord,
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
# A healthy store answers in 4 to 9 ms. With less time left, the caller would
# not learn the outcome.
MIN_TIME_LIMIT_MS: t.Final = 10
# Attempts of a cancel while the set of units that run the job's tasks changes.
# A task is transferred at most once in several seconds.
_MAX_CANCEL_ATTEMPTS: t.Final = 4
# A new instance reads the layout within some 10 ms; the very first one takes
# up to 1 s to make it.
_LAYOUT_WAIT_MS: t.Final = 1500
# Time to find out whether a job that is to be rejected exists. A slower store
# leaves too little time for the job itself.
_HOME_READ_LIMIT_MS: t.Final = 500
# Each entry takes some 100 bytes.
_MAX_CACHED_HOMES: t.Final = 10_000
# A feed returns every 1.5 s, also from a slow store. An instance that is cut
# off from the store would not learn the outcome of a write, while its caller
# may reach another instance. It is not ready after the same time.
_MAX_STORE_SILENCE_MS: t.Final = 2500
# Time for the reply after a bounded write has been given up.
_CONCLUDE_S: t.Final = 0.02


@attrs.frozen
class JobIntake:
    """Serves API calls on jobs.

    Every method raises ``UnavailableError`` if the call had and will have no
    effect, and ``AnswerLostError`` if that is unknown.
    """

    shell: SchedulerShell
    # Cache of home units, which saves one of two reads for a job's state. A
    # job's home rarely changes, and a caller mostly uses the same instance.
    _homes: dict[str, int] = attrs.field(factory=dict, init=False)

    @property
    def _store(self) -> RowStore:
        return self.shell.ports.store

    @property
    def _bounds_writes(self) -> bool:
        return self.shell.config.features.bounds_writes

    def count_given_up(self, error: UnavailableError) -> None:
        """Count a call that was given up because of an error."""
        self.shell.store_load.given_up[find_reason(error)] += 1

    def get_response_ms(self) -> int:
        """Return how long the store usually takes at present for a write."""
        load = self.shell.store_load
        return int(load.get_response_time(trio.current_time()).usual_s * _MS)

    async def _transact(
        self, transaction: Transaction, limit_ms: int
    ) -> tuple[TransactionResult, int]:
        """Execute a transaction; return its result and number of attempts.

        The number is 0 if it is not counted.
        """
        _check_limit(limit_ms)
        if self._bounds_writes:
            return await transact_in_time(
                self._store,
                transaction,
                _get_deadline_s(limit_ms),
                self.shell.store_load,
            )
        times = self.shell.answer_times
        result = await transact_with_retries(
            self._store, transaction, limit_ms / _MS, times
        )
        return result, 0

    def _check_time(self, limit_ms: int, part: str) -> None:
        """Reject a call if the store is silent, or slower than its time.

        A write that is sent so late is most likely to end in doubt, and its
        caller does not call again after 504.
        """
        if not self._bounds_writes:
            return
        load = self.shell.store_load
        silent_ms = self.shell.clock() - self.shell.store_answered_ms
        if silent_ms > _MAX_STORE_SILENCE_MS:
            raise UnavailableError(
                f'not run: the store has been silent for {silent_ms} ms'
            )
        response = load.get_response_time(trio.current_time(), part)
        if limit_ms < response.needed_s * _MS:
            reason = (
                Reason.PART_BEHIND
                if response.queue_s
                else Reason.TOO_LITTLE_TIME
            )
            raise make_rejection(reason, limit_ms / _MS, response)

    async def _read_row(
        self, table: str, part: str, key: str
    ) -> StoredRow | None:
        """Read a row; a failed read has no effect, so it is unavailable."""
        try:
            return await read_row(self._store, table, part, key)
        except AnswerLostError as error:
            raise UnavailableError(error.message) from error

    async def _read_home(
        self, job_id: str
    ) -> tuple[HomeRecord | None, StoredRow | None]:
        row = await self._read_row(HOMES_TABLE, self._get_part(job_id), job_id)
        home = read_record(row, HomeRecord)
        if is_unreadable(row, home):
            # The job may exist, but its home unit is unknown.
            raise UnavailableError(f'the home of {job_id} is unreadable')
        return home, row

    async def _read_home_in_time(
        self, job_id: str, left_ms: int
    ) -> tuple[HomeRecord | None, StoredRow | None]:
        """Read a job's home before a write to it.

        With bounded writes, a read that takes too long ends the call: nothing
        has been written yet, so the caller may call again.
        """
        if not self._bounds_writes:
            return await self._read_home(job_id)
        self._check_time(left_ms, self._get_part(job_id))
        with trio.move_on_at(_get_deadline_s(left_ms)):
            return await self._read_home(job_id)
        raise UnavailableError(f'not run: the home of {job_id} was not read')

    def _get_layout(self) -> LayoutRecord:
        layout = self.shell.layout
        if layout is None:
            raise UnavailableError('no layout is known yet')
        return layout

    def _get_part(self, job_id: str) -> str:
        return get_jobs_part(job_id, self._get_layout().job_parts)

    def _get_early_unit(self, job_id: str) -> int:
        """Return the unit whose owner removes the cancel of an unknown job."""
        numbers = self._get_layout().unit_numbers
        return numbers[zlib.crc32(job_id.encode()) % len(numbers)]

    async def _read_progress(
        self, number: int, job_id: str
    ) -> ProgressRecord | None:
        """Return the durable progress of a job in a unit, if any."""
        unit = Unit(number)
        row = await self._read_row(unit.progress_table, unit.part, job_id)
        progress = read_record(row, ProgressRecord)
        if is_unreadable(row, progress):
            raise UnavailableError(f'the progress of {job_id} is unreadable')
        return progress

    async def submit(
        self, job_id: str, queue: Queue, request: JobRequest, limit_ms: int
    ) -> None:
        """Accept a job, which is durable once this returns.

        A repeated id denotes the same job, whatever its request. Raises
        ``OverloadedError`` if a new job would be completed too late or has
        more tasks than any unit can take now, and ``InputError`` if the store
        can't keep the job.
        """
        began_ms = self.shell.clock()
        _task_limits.check_job(request)
        await self._wait_for_layout(limit_ms)
        part = self._get_part(job_id)
        await self._check_admission(job_id, queue, request)
        remaining_ms = limit_ms - (self.shell.clock() - began_ms)
        self._check_time(remaining_ms, part)
        number = self.shell.choose_unit(request, queue.service)
        if number is None:
            raise UnavailableError('no unit is known yet')
        _admission_inputs.note_sent(self.shell, job_id, queue, request, number)
        home = HomeRecord(number)
        elapsed_ms = _admission_inputs.get_elapsed_ms(self.shell, job_id)
        record = JobRecord(queue, request, self.shell.wall() - elapsed_ms)
        transaction = Transaction(
            part,
            (RowCondition(HOMES_TABLE, job_id, 0),),
            (
                RowWrite(HOMES_TABLE, job_id, encode(home)),
                RowWrite(Unit(number).jobs_table, job_id, _encode_job(record)),
            ),
        )
        remaining_ms = limit_ms - (self.shell.clock() - began_ms)
        try:
            result, attempts = await self._transact(transaction, remaining_ms)
        except WriteRefusedError as error:
            raise _task_limits.make_size_error(error.message) from error
        if result.is_done:
            self._cache_home(job_id, number)
        else:
            _check_existing_home(result, job_id, attempts)
        if attempts:
            self.shell.store_load.attempts[attempts] += 1
        self.shell.observe('tulippin_call_seconds', 'submit', began_ms)
        logger.info(
            'job accepted',
            job=job_id,
            queue=queue.name,
            unit=number,
            is_new=result.is_done,
            version=result.version,
            attempts=attempts,
            took_ms=self.shell.clock() - began_ms,
        )

    async def _wait_for_layout(self, limit_ms: int) -> None:
        """Wait for the layout for at most half of the time limit."""
        _check_limit(limit_ms)
        wait_ms = min(limit_ms / 2, _LAYOUT_WAIT_MS)
        with trio.move_on_after(wait_ms / _MS):
            await self.shell.layout_known.wait()

    async def _check_room(self, job_id: str, request: JobRequest) -> None:
        """Reject a new job whose tasks no unit can take beside its own."""
        counts = _admission_inputs.count_kept_tasks(self.shell)
        least = min(counts.values(), default=0)
        if _task_limits.has_room(least, request):
            return
        if await self._may_exist(job_id):
            return
        error = _task_limits.make_rejection(least, request)
        logger.info(
            'job rejected',
            job=job_id,
            reason='too many tasks beside those of other jobs',
            tasks=request.task_count,
            kept=counts,
            retry_after_s=error.retry_after_s,
        )
        raise error

    async def _check_admission(
        self, job_id: str, queue: Queue, request: JobRequest
    ) -> None:
        """Reject a new job that would be completed too late to be of use."""
        await self._check_room(job_id, request)
        rejection = _admission_inputs.assess_job(
            self.shell, job_id, queue, request
        )
        if rejection is None or await self._may_exist(job_id):
            return
        retry_after_s = self.shell.admission.reject(
            rejection, self.shell.clock()
        )
        logger.info(
            'job rejected',
            job=job_id,
            **rejection.describe(),
            retry_after_s=retry_after_s,
        )
        raise OverloadedError(
            'not accepted: it would be completed too late', retry_after_s
        )

    async def _may_exist(self, job_id: str) -> bool:
        """Whether a job has been accepted, or its home row can't be read."""
        began_ms = self.shell.clock()
        reason = 'no answer in time'
        with trio.move_on_after(_HOME_READ_LIMIT_MS / _MS):
            try:
                home, _ = await self._read_home(job_id)
            except UnavailableError as error:
                reason = error.message
            else:
                # If the process was suspended, the leases may be out of date.
                took_ms = self.shell.clock() - began_ms
                if took_ms <= _HOME_READ_LIMIT_MS:
                    return home is not None
        logger.warning('job not rejected', job=job_id, reason=reason)
        return True

    async def _require_layout(self, limit_ms: int) -> None:
        """Wait for the first layout, which tells where jobs' rows are."""
        if self.shell.layout is None:
            await self._wait_for_layout(limit_ms)

    async def get_state(self, job_id: str) -> JobState | None:
        """Return a job's state, or None if there is no such job."""
        await self._require_layout(_LAYOUT_WAIT_MS)
        found = self.shell.find_job(job_id)
        if found is not None and found[1].durable is not None:
            durable = found[1].durable
            if durable.moved_to is None:
                return durable.state
        expected_unit = self._homes.get(job_id)
        if len(self.shell.units) == 1:
            expected_unit = next(iter(self.shell.units))
        progress = None
        if expected_unit is not None:
            progress = await self._read_progress(expected_unit, job_id)
            if progress is not None and progress.moved_to is None:
                return progress.state
        home, _ = await self._read_home(job_id)
        if home is None or not home.was_accepted:
            return None
        self._cache_home(job_id, home.unit)
        if home.unit != expected_unit:
            progress = await self._read_progress(home.unit, job_id)
        if progress is not None and progress.moved_to is None:
            return progress.state
        # The job is moving, or has returned to a unit with old progress of it.
        has_begun = home.has_begun or (
            progress is not None and progress.state is not JobState.PENDING
        )
        return JobState.RUNNING if has_begun else JobState.PENDING

    def _cache_home(self, job_id: str, number: int) -> None:
        if len(self._homes) >= _MAX_CACHED_HOMES:
            self._homes.pop(next(iter(self._homes)))
        self._homes[job_id] = number

    async def cancel(self, job_id: str, queue: Queue, limit_ms: int) -> bool:
        """Cancel a job; return whether there is such a job.

        An unknown job is cancelled too, as a submit of it may still be applied.
        """
        began_ms = self.shell.clock()
        await self._require_layout(limit_ms)
        for _ in range(_MAX_CANCEL_ATTEMPTS):
            left_ms = limit_ms - (self.shell.clock() - began_ms)
            home, row = await self._read_home_in_time(job_id, left_ms)
            if home is not None and home.is_cancelled:
                return home.was_accepted
            if home is None:
                home = HomeRecord(
                    self._get_early_unit(job_id), was_accepted=False
                )
            transaction = _make_cancel_transaction(
                job_id, self._get_part(job_id), queue, home, get_version(row)
            )
            remaining_ms = limit_ms - (self.shell.clock() - began_ms)
            result, attempts = await self._transact(transaction, remaining_ms)
            if result.is_done:
                self.shell.observe('tulippin_call_seconds', 'cancel', began_ms)
                logger.info(
                    'cancel accepted',
                    job=job_id,
                    queue=queue.name,
                    units=home.units,
                    is_known=home.was_accepted,
                    version=result.version,
                    attempts=attempts,
                    took_ms=self.shell.clock() - began_ms,
                )
                return home.was_accepted
        raise AnswerLostError('the units of a job keep changing; cancel again')

    def count_waiting(self, queue: Queue) -> int:
        """Return how many of a queue's jobs have no task begun."""
        if not self.shell.units:
            raise UnavailableError('no unit is known yet')
        counts = [
            _get_waiting_counts(unit) for unit in self.shell.units.values()
        ]
        return sum(waiting.get(queue.name, 0) for waiting in counts)


def _get_waiting_counts(unit: UnitShell) -> dict[str, int]:
    """Return the number of waiting jobs of a unit, by queue.

    Raises ``UnavailableError`` if the lease has not been read or is invalid,
    as the number is then unknown rather than zero.
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
    """Refuse a call that can't be done in time, before it has any effect."""
    if limit_ms < MIN_TIME_LIMIT_MS:
        raise CallRejectedError(
            f'not run: {limit_ms} ms are too little; call again with more',
            Reason.TOO_LITTLE_TIME,
        )


def _get_deadline_s(limit_ms: int) -> float:
    """Return when the outcome of a bounded write must be known.

    It is before the deadline of the request, which would leave no time to
    tell whether the write had an effect.
    """
    now_s = trio.current_time()
    limit_s = min(limit_ms / _MS, trio.current_effective_deadline() - now_s)
    return now_s + limit_s - min(_CONCLUDE_S, limit_s / 4)


def _check_existing_home(
    result: TransactionResult, job_id: str, attempts: int
) -> None:
    """Raise an error unless the home row that a submit met is of its job."""
    row = _find_home_row(result, job_id)
    home = read_record(row, HomeRecord)
    if is_unreadable(row, home):
        raise AnswerLostError(f'the home of {job_id} is unreadable')
    if home is None or home.was_accepted:
        return
    message = f'{job_id} was cancelled before it was accepted'
    if attempts == 1:
        raise UnavailableError(f'not run: {message}')
    # An attempt without an answer may outlast this row.
    raise AnswerLostError(message)


def _find_home_row(result: TransactionResult, job_id: str) -> StoredRow | None:
    """Return the home row with the job's id that a submit met, if any."""
    for row in result.rows:
        if (row.table, row.key) == (HOMES_TABLE, job_id):
            return row
    return None


def _encode_job(record: JobRecord) -> bytes:
    """Return the value of a new job's row, or raise ``InputError``."""
    value = encode_row(record)
    if len(value) > MAX_ROW_BYTES:
        raise _task_limits.make_size_error(
            f'it takes {len(value)} bytes, at most {MAX_ROW_BYTES} are kept;'
            ' give it fewer steps'
        )
    return value


def _make_cancel_transaction(
    job_id: str, part: str, queue: Queue, home: HomeRecord, version: int
) -> Transaction:
    """Return the transaction that cancels a job in all of its units."""
    cancelled = attrs.evolve(home, is_cancelled=True)
    cancel_value = encode(CancelRecord(queue.name, home.was_accepted))
    return Transaction(
        part,
        (RowCondition(HOMES_TABLE, job_id, version),),
        (
            RowWrite(HOMES_TABLE, job_id, encode(cancelled)),
            *(
                RowWrite(
                    Unit(number).jobs_table,
                    f'{job_id}{CANCEL_SUFFIX}',
                    cancel_value,
                )
                for number in home.units
            ),
        ),
    )
