"""Records in the store how the processes of an instance begin and end.

A killed process logs nothing, and the next process doesn't read the log of a
failed one. A row in the store tells each new process how the previous one
ended, and how many in a row ended within seconds. It is advisory: an instance
starts and works in the same way without it.
"""

from __future__ import annotations

import enum
import hashlib
import typing as t

import attrs
import trio

from tulippin import failures
from tulippin.codec_json import encode
from tulippin.exceptions import UnavailableError
from tulippin.jobs._record_validation import find_fault
from tulippin.jobs._rows import (
    get_version,
    log_unreadable,
    read_record,
    read_row,
)
from tulippin.jobs.ports import (
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionResult,
)
from tulippin.logs import logger

PROCESS_RECORDS_TABLE: t.Final = 'lives'
# A process that ends sooner may have failed on input that it read at its start.
# This includes the delay of the supervisor that restarts it, as the end of a
# killed process isn't known.
SHORT_PROCESS_MS: t.Final = 15_000
# Two failed starts may be chance; after the third in a row an instance starts
# without advisory input.
FAILED_STARTS_LIMIT: t.Final = 3
# Longer ids are replaced by their digest in keys, and by their last characters
# in logs.
_MAX_KEY_BYTES: t.Final = 64
# Above any wall-clock time in ms, and above any count.
_MAX_NUMBER: t.Final = 10**15
_MAX_TEXT_CHARS: t.Final = 1000


class ProcessEnd(enum.Enum):
    """How a process ended, as recorded in its row."""

    NONE = 'none'
    UNKNOWN = 'unknown'
    PLANNED = 'planned'
    FAILED = 'failed'


@attrs.frozen
class ProcessRecord:
    """Stored record of a process of an instance.

    Parameters
    ----------
    instance_id, session_id : str
        The instance, and the session of the process.
    began_ms : int
        Wall-clock time of its start.
    failed_starts : int
        Number of processes directly before it that ended within seconds.
    end : ProcessEnd
        How it ended; unknown while it runs.
    ended_ms : int
        Wall-clock time of its end; 0 while it runs.
    cause, place : str
        The error that ended it, and where it was raised.
    """

    instance_id: str
    session_id: str
    began_ms: int
    failed_starts: int = 0
    end: ProcessEnd = ProcessEnd.UNKNOWN
    ended_ms: int = 0
    cause: str = ''
    place: str = ''


@attrs.frozen
class PreviousProcess:
    """The previous process of the instance, as shown to operators.

    Parameters
    ----------
    end : ProcessEnd
        How it ended; unknown after a kill or a power failure.
    last_session : str
        The session of the process.
    lasted_ms : int
        Its duration by the wall clock; an upper bound if its end is unknown.
    cause, place : str
        The error that ended it, and where it was raised.
    failed_starts : int
        Number of processes in a row, up to this one, that ended within
        seconds.
    """

    end: ProcessEnd = ProcessEnd.NONE
    last_session: str = ''
    lasted_ms: int = 0
    cause: str = ''
    place: str = ''
    failed_starts: int = 0

    def describe(self) -> dict[str, t.Any]:
        """Return the fields for the log and the operators' API."""
        return {**attrs.asdict(self), 'end': self.end.value}


@find_fault.register
def _check_record(record: ProcessRecord) -> str:
    """Return why a record is invalid, or an empty string."""
    times_ms = (record.began_ms, record.ended_ms)
    if any(abs(time_ms) > _MAX_NUMBER for time_ms in times_ms):
        return 'its times are out of range'
    if not 0 <= record.failed_starts <= _MAX_NUMBER:
        return f'its count of failed starts is {record.failed_starts}'
    if max(len(record.cause), len(record.place)) > _MAX_TEXT_CHARS:
        return 'its texts are too long'
    return ''


def get_record_key(instance_id: str) -> str:
    """Return the row key of an instance."""
    if 0 < len(instance_id.encode()) <= _MAX_KEY_BYTES:
        return instance_id
    return hashlib.sha256(instance_id.encode()).hexdigest()


def get_record_part(instance_id: str) -> str:
    """Return the part of the store that holds an instance's row.

    Each instance has its own, as the writes of one part are serialized and
    all instances may start at the same time.
    """
    return f'life-{get_record_key(instance_id)}'


def summarize_process(
    record: ProcessRecord | None, now_ms: int
) -> PreviousProcess:
    """Summarize the record of the previous process for the next one."""
    if record is None:
        return PreviousProcess()
    lasted_ms = (record.ended_ms or now_ms) - record.began_ms
    is_short = 0 <= lasted_ms < SHORT_PROCESS_MS
    is_failed = is_short and record.end is not ProcessEnd.PLANNED
    return PreviousProcess(
        record.end,
        record.session_id[-_MAX_KEY_BYTES:],
        lasted_ms,
        record.cause,
        record.place,
        record.failed_starts + 1 if is_failed else 0,
    )


class ProcessRecorder:
    """Reads and writes the process record of one instance.

    The row is read and written once at the start and written once at the end
    of a process, without retries, as nothing depends on it.

    Parameters
    ----------
    store : RowStore
        The store that holds the row; may be replaced.
    instance_id, session_id : str
        The instance, and the session of this process.
    wall : callable
        Returns the wall-clock time in milliseconds.
    """

    def __init__(
        self,
        store: RowStore,
        instance_id: str,
        session_id: str,
        wall: t.Callable[[], int],
    ) -> None:
        self.store = store
        self.last: PreviousProcess | None = None
        self.read_finished = trio.Event()
        self._wall = wall
        self._record = ProcessRecord(instance_id, session_id, wall())
        self._version = 0
        self._is_decided = False

    @property
    def failed_starts(self) -> int:
        """Number of previous processes in a row that ended within seconds."""
        return 0 if self.last is None else self.last.failed_starts

    @property
    def _skips_advice(self) -> bool:
        return self.failed_starts >= FAILED_STARTS_LIMIT

    def decide_without_advice(self) -> bool:
        """Return whether to start without advisory input.

        The decision is final: what the store returns later doesn't change it.
        """
        self._is_decided = True
        return self._skips_advice

    async def begin(self) -> None:
        """Log how the previous process ended, and record this start."""
        try:
            await self._begin()
        except Exception as error:
            _log_not_kept(error)
        finally:
            self.read_finished.set()

    async def end_planned(self) -> None:
        """Record that this process ends by a planned stop."""
        await self._end(ProcessEnd.PLANNED)

    async def end_failed(self, error: BaseException) -> None:
        """Record the error that ends this process."""
        described = failures.describe(error)
        await self._end(
            ProcessEnd.FAILED,
            described['cause'][:_MAX_TEXT_CHARS],
            described['place'][-_MAX_TEXT_CHARS:],
        )

    async def _begin(self) -> None:
        key = get_record_key(self._record.instance_id)
        row = await read_row(self.store, PROCESS_RECORDS_TABLE, self._part, key)
        if self.last is not None:
            # The end of this process has replaced the record meanwhile.
            return
        self._load_previous(row)
        self.read_finished.set()
        await self._put()

    @property
    def _part(self) -> str:
        return get_record_part(self._record.instance_id)

    def _load_previous(self, row: StoredRow | None) -> None:
        """Read the record of the previous process from its row, and log it."""
        record = read_record(row, ProcessRecord)
        if record is not None and not self._is_own(record):
            log_unreadable(
                row, f'it belongs to {record.instance_id[:_MAX_KEY_BYTES]}'
            )
            record = None
        self.last = summarize_process(record, self._record.began_ms)
        self._record = attrs.evolve(
            self._record, failed_starts=self.last.failed_starts
        )
        self._version = get_version(row)
        logger.info(
            'last life',
            **self.last.describe(),
            is_without_advice=self._skips_advice and not self._is_decided,
        )

    def _is_own(self, record: ProcessRecord) -> bool:
        return record.instance_id == self._record.instance_id

    async def _end(
        self, end: ProcessEnd, cause: str = '', place: str = ''
    ) -> None:
        self._record = attrs.evolve(
            self._record,
            end=end,
            ended_ms=self._wall(),
            cause=cause,
            place=place,
        )
        try:
            await self._put_over_conflict()
        except Exception as error:
            _log_not_kept(error)

    async def _put_over_conflict(self) -> None:
        """Write the record, also if the version of its row has changed.

        A write without an answer leaves the version unknown. The conflicting
        row is checked, and the record is written again if it may replace
        that row.
        """
        result = await self._put()
        if result.is_done:
            return
        row = next(iter(result.rows), None)
        if not self._may_replace(row):
            logger.warning('life not kept', reason='the row is of another life')
            return
        self._version = get_version(row)
        await self._put()

    def _may_replace(self, row: StoredRow | None) -> bool:
        """Return whether this process may overwrite an existing row.

        It may if the row is its own, from a write whose answer was lost, or
        if the row is of the previous process, as the store could not be read
        at the start.
        """
        record = read_record(row, ProcessRecord)
        if record is None:
            return False
        if record.session_id == self._record.session_id:
            return True
        if self.last is not None:
            return False
        self._load_previous(row)
        return True

    async def _put(self) -> TransactionResult:
        """Write the record if the row still has the expected version."""
        key = get_record_key(self._record.instance_id)
        transaction = Transaction(
            self._part,
            (RowCondition(PROCESS_RECORDS_TABLE, key, self._version),),
            (RowWrite(PROCESS_RECORDS_TABLE, key, encode(self._record)),),
        )
        result = await self.store.transact(transaction)
        if result.is_done:
            self._version = result.version
        return result


def _log_not_kept(error: Exception) -> None:
    """Log that the record could not be read or written."""
    if isinstance(error, UnavailableError):
        logger.warning('life not kept', reason=error.message)
    else:
        failures.tell('life not kept', error)
