"""Interfaces of the job scheduler to the platform, and their data types."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.exceptions import UnavailableError
from tulippin.jobs.types import (
    ANY_INCARNATION,
    Configuration,
    ExpectedIncarnation,
    OrderAnswer,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)

# Timeout of a call to the store, which answers in 4 to 9 ms, or in 300 ms when
# it is slow.
STORE_TIMEOUT_S: t.Final = 0.9
# Limits of the store: of a row's key and value, and of a transaction's number
# of conditions and writes and its encoded size.
MAX_KEY_BYTES: t.Final = 200
MAX_ROW_BYTES: t.Final = 65_536
MAX_TRANSACTION_ENTRIES: t.Final = 100
MAX_TRANSACTION_BYTES: t.Final = 1_000_000


class HistoryLostError(UnavailableError):
    """The store no longer has the requested changes; read all rows again."""

    code = 'history_lost'


class WorkerChangedError(UnavailableError):
    """Another incarnation of the worker answers at the address."""

    code = 'worker_changed'


class WorkerRestartedError(UnavailableError):
    """A later incarnation answers under the worker's id."""

    code = 'worker_restarted'


class FencedOrderError(UnavailableError):
    """The worker has received a newer owner's fencing token."""

    code = 'fenced_order'


class PartitionBehindError(UnavailableError):
    """The store executes no write of the part, whose queue is too long."""

    code = 'partition_behind'


class WriteRefusedError(UnavailableError):
    """The store refuses a transaction for its content; don't repeat it."""

    code = 'write_refused'


@attrs.frozen
class StoredRow:
    """A row; its value is None if it was removed."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class RowPage:
    """Rows as of one version of the store.

    ``store_ms`` is the store's steady clock at the answer, or 0 if unknown.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int = 0


@attrs.frozen
class RowCondition:
    """Requires that a row has this version; 0 means that it is absent."""

    table: str
    key: str
    version: int


@attrs.frozen
class RowWrite:
    """Sets the value of a row; None removes the row."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen
class Transaction:
    """Conditions and writes in one part, applied atomically."""

    part: str
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@attrs.frozen
class TransactionResult:
    """Result of a transaction.

    ``rows`` holds the current rows of the conditions if it was not done.
    ``store_ms`` is the store's steady clock at the answer, or 0 if unknown.
    """

    is_done: bool
    version: int = 0
    rows: tuple[StoredRow, ...] = ()
    store_ms: int = 0


class RowStore(t.Protocol):
    """The platform's transactional store.

    Every method raises ``UnavailableError`` if it had and will have no effect,
    and ``AnswerLostError`` if it may have taken effect, or still may.
    """

    async def read_rows(
        self, table: str, part: str, first: str = '', end: str = ''
    ) -> RowPage:
        """Return the rows with keys from ``first`` to before ``end``."""

    async def follow(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Return the changes of a table after a version.

        Waits up to ``wait_ms`` for a change. Raises ``HistoryLostError`` if
        the store no longer has the changes.
        """

    async def transact(
        self, transaction: Transaction, extra_wait_ms: int = 0
    ) -> TransactionResult:
        """Apply a transaction.

        Waits ``extra_wait_ms`` longer than usual for the answer. Raises
        ``PartitionBehindError`` if the queue of its part is too long, and
        ``WriteRefusedError`` if the transaction exceeds a limit of the store.
        """


@attrs.frozen
class OperatorSettings:
    """What operators have set, or what they changed after a version.

    Parameters
    ----------
    configuration : Configuration or None
        The newest valid configuration, if any was read.
    evacuations : dict of str to bool
        By failure domain, whether it is evacuated.
    version : int
        The version of the store.
    """

    configuration: Configuration | None
    evacuations: dict[str, bool]
    version: int


class Feeds(t.Protocol):
    """The platform's feeds of the operators' settings and of workers."""

    async def read_settings(self) -> OperatorSettings:
        """Return all settings of the operators."""

    async def follow_settings(
        self, after: int, wait_ms: int
    ) -> OperatorSettings:
        """Return the changed settings, if any within ``wait_ms``."""

    async def read_workers(self) -> tuple[tuple[WorkerEntry, ...], int]:
        """Return all workers on the list and the version read."""

    async def follow_workers(
        self, after: int
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...], int]:
        """Return changed workers, ids of removed ones, and the version."""


@attrs.frozen
class StartOrder:
    """An order to start a run.

    ``deadline_ms`` is by the clock of the expected incarnation, which refuses a
    later start. No other one gets the order: by its clock, the deadline might
    be far ahead and extend its lease.
    """

    worker_id: str
    address: str
    key: TaskKey
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ''
    ticket: str = ''
    incarnation: ExpectedIncarnation = ANY_INCARNATION


@attrs.frozen
class Advice:
    """Tickets of the workers that may run a step, and their validity."""

    tickets: dict[str, str]
    valid_ms: int


class Advisor(t.Protocol):
    """The service that decides which workers may run a step."""

    async def ask(
        self, step: tuple[str, int, int], worker_ids: t.Sequence[str]
    ) -> Advice:
        """Return the advice on workers; may raise ``UnavailableError``."""


class WorkerAgents(t.Protocol):
    """The agents on the workers, each at its address."""

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""

    async def stop(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Stop a run; a start of it that arrives later is refused."""

    async def pace(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        percent: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Set the pace of a run in percent of its full speed."""

    async def hold(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
        incarnation: ExpectedIncarnation = ANY_INCARNATION,
    ) -> WorkerReport:
        """Extend the worker's lease and return its report.

        The lease is extended, and ends up to ``last_seen`` are acknowledged,
        only for the expected incarnation. Another one just reports.

        Raises ``FencedOrderError``, ``WorkerChangedError`` or
        ``UnavailableError``.
        """


@attrs.frozen
class SchedulerPorts:
    """The ports through which the shell reaches the platform."""

    store: RowStore
    feeds: Feeds
    workers: WorkerAgents
    forget_worker: t.Callable[[str], t.Awaitable[None]]
    advisor: Advisor
