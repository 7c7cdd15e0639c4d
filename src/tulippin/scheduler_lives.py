"""What an instance keeps of its lives: how each began and how it ended.

A process that is killed says nothing, and one that fails says it to a log
that its next life does not read. One row in the store tells each start how
the life before it ended, and how many in a row ended within seconds. It only
advises: without it an instance starts and works as it does with it.
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
from tulippin.jobs._row_checks import find_fault
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

LIVES_TABLE: t.Final = 'lives'
# A life that ends sooner may have failed at what it read at its start; this
# holds the wait of whoever starts the process again, as a kill leaves no time
# of its own.
SHORT_LIFE_MS: t.Final = 15_000
# Two may be chance; the third start in a row without what only advises.
FAILED_STARTS_LIMIT: t.Final = 3
# Longer ids are keyed by their digest, and told by their end.
_KEY_SIGNS: t.Final = 64
# Above any time of day, and any text that is written here.
_LARGEST_MS: t.Final = 10**15
_LONGEST_TEXT: t.Final = 1000


class LifeEnd(enum.Enum):
    """How a life ended, as its row tells."""

    NONE = 'none'
    UNKNOWN = 'unknown'
    PLANNED = 'planned'
    FAILED = 'failed'


@attrs.frozen
class LifeRecord:
    """An instance's life, as it is kept.

    Parameters
    ----------
    instance_id, session_id : str
        Whose life, and which.
    began_ms : int
        Time of day of its start.
    failed_starts : int
        Lives before it that ended within seconds, without one that did not.
    end : LifeEnd
        How it ended; unknown while it goes on.
    ended_ms : int
        Time of day of its end; 0 while it goes on.
    cause, place : str
        What it failed with, and where.
    """

    instance_id: str
    session_id: str
    began_ms: int
    failed_starts: int = 0
    end: LifeEnd = LifeEnd.UNKNOWN
    ended_ms: int = 0
    cause: str = ''
    place: str = ''


@attrs.frozen
class LastLife:
    """The life before this one, as an operator sees it.

    Parameters
    ----------
    end : LifeEnd
        How it ended; unknown after a kill or a loss of power.
    last_session : str
        Which it was.
    lasted_ms : int
        How long, by the time of day; the longest it can have been, if its
        end is not known.
    cause, place : str
        What it failed with, and where.
    failed_starts : int
        Lives in a row, this one the last, that ended within seconds.
    """

    end: LifeEnd = LifeEnd.NONE
    last_session: str = ''
    lasted_ms: int = 0
    cause: str = ''
    place: str = ''
    failed_starts: int = 0

    def describe(self) -> dict[str, t.Any]:
        """Return it as a log line and an operator's view tell it."""
        return {**attrs.asdict(self), 'end': self.end.value}


@find_fault.register
def _check_life(record: LifeRecord) -> str:
    times = (record.began_ms, record.ended_ms)
    if any(abs(one) > _LARGEST_MS for one in times):
        return 'its times are none'
    if not 0 <= record.failed_starts <= _LARGEST_MS:
        return f'it counts {record.failed_starts} failed starts'
    if max(len(record.cause), len(record.place)) > _LONGEST_TEXT:
        return 'its texts are too long'
    return ''


def get_life_key(instance_id: str) -> str:
    """Return the key of an instance's row."""
    if 0 < len(instance_id.encode()) <= _KEY_SIGNS:
        return instance_id
    return hashlib.sha256(instance_id.encode()).hexdigest()


def get_life_part(instance_id: str) -> str:
    """Return the part of an instance's row.

    Each has its own: a part's writes wait for each other, and all instances
    write at once when all start at once.
    """
    return f'life-{get_life_key(instance_id)}'


def look_back(record: LifeRecord | None, now_ms: int) -> LastLife:
    """Return what a life's record tells the next one."""
    if record is None:
        return LastLife()
    lasted_ms = (record.ended_ms or now_ms) - record.began_ms
    is_short = 0 <= lasted_ms < SHORT_LIFE_MS
    is_failed = is_short and record.end is not LifeEnd.PLANNED
    return LastLife(
        record.end,
        record.session_id[-_KEY_SIGNS:],
        lasted_ms,
        record.cause,
        record.place,
        record.failed_starts + 1 if is_failed else 0,
    )


class LifeKeeper:
    """Keeps the row of one instance's lives.

    It is read and written once at a start and written once at an end,
    without trying again: nothing waits for it.

    Parameters
    ----------
    store : RowStore
        Where the row is; may be replaced.
    instance_id, session_id : str
        The instance, and this life of its process.
    wall : callable
        Returns the time of day in milliseconds.
    """

    def __init__(
        self,
        store: RowStore,
        instance_id: str,
        session_id: str,
        wall: t.Callable[[], int],
    ) -> None:
        self.store = store
        self.last: LastLife | None = None
        self.looked = trio.Event()
        self._wall = wall
        self._record = LifeRecord(instance_id, session_id, wall())
        self._version = 0
        self._is_settled = False

    @property
    def failed_starts(self) -> int:
        """Lives in a row before this one that ended within seconds."""
        return 0 if self.last is None else self.last.failed_starts

    @property
    def _wants_no_advice(self) -> bool:
        return self.failed_starts >= FAILED_STARTS_LIMIT

    def settle(self) -> bool:
        """Return whether to begin without what only advises.

        What the store tells later changes nothing in this life.
        """
        self._is_settled = True
        return self._wants_no_advice

    async def begin(self) -> None:
        """Tell how the last life ended, and keep that this one began."""
        try:
            await self._begin()
        except Exception as error:
            _tell_not_kept(error)
        finally:
            self.looked.set()

    async def end_planned(self) -> None:
        """Keep that this life ends as it was asked to."""
        await self._end(LifeEnd.PLANNED)

    async def end_failed(self, error: BaseException) -> None:
        """Keep which error ends this life."""
        told = failures.describe(error)
        await self._end(
            LifeEnd.FAILED,
            told['cause'][:_LONGEST_TEXT],
            told['place'][-_LONGEST_TEXT:],
        )

    async def _begin(self) -> None:
        key = get_life_key(self._record.instance_id)
        row = await read_row(self.store, LIVES_TABLE, self._part, key)
        if self.last is not None:
            # The end of this life was kept meanwhile, over the last life's.
            return
        self._look_back(row)
        self.looked.set()
        await self._put()

    @property
    def _part(self) -> str:
        return get_life_part(self._record.instance_id)

    def _look_back(self, row: StoredRow | None) -> None:
        """Take in the row of the last life, and tell of it."""
        record = read_record(row, LifeRecord)
        if record is not None and not self._is_ours(record):
            log_unreadable(row, f'it is of {record.instance_id[:_KEY_SIGNS]}')
            record = None
        self.last = look_back(record, self._record.began_ms)
        self._record = attrs.evolve(
            self._record, failed_starts=self.last.failed_starts
        )
        self._version = get_version(row)
        logger.info(
            'last life',
            **self.last.describe(),
            is_without_advice=self._wants_no_advice and not self._is_settled,
        )

    def _is_ours(self, record: LifeRecord) -> bool:
        return record.instance_id == self._record.instance_id

    async def _end(
        self, end: LifeEnd, cause: str = '', place: str = ''
    ) -> None:
        self._record = attrs.evolve(
            self._record,
            end=end,
            ended_ms=self._wall(),
            cause=cause,
            place=place,
        )
        try:
            await self._put_surely()
        except Exception as error:
            _tell_not_kept(error)

    async def _put_surely(self) -> None:
        """Keep the record, also over a write that has told no version."""
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
        """Whether a row that a write has met is older than this life.

        It is ours, whose answer was lost, or the last life's, if the store
        was away at the start.
        """
        record = read_record(row, LifeRecord)
        if record is None:
            return False
        if record.session_id == self._record.session_id:
            return True
        if self.last is not None:
            return False
        self._look_back(row)
        return True

    async def _put(self) -> TransactionResult:
        key = get_life_key(self._record.instance_id)
        transaction = Transaction(
            self._part,
            (RowCondition(LIVES_TABLE, key, self._version),),
            (RowWrite(LIVES_TABLE, key, encode(self._record)),),
        )
        result = await self.store.transact(transaction)
        if result.is_done:
            self._version = result.version
        return result


def _tell_not_kept(error: Exception) -> None:
    """Say that a life's row is not kept, which ends nothing."""
    if isinstance(error, UnavailableError):
        logger.warning('life not kept', reason=error.message)
    else:
        failures.tell('life not kept', error)
