"""Narrow interfaces of the job scheduler to everything outside."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.exceptions import UnavailableError
from tulippin.jobs.types import (
    Configuration,
    OrderAnswer,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)


class HistoryLostError(UnavailableError):
    """The store no longer has the changes asked for: read all anew."""

    code = 'history_lost'


class WorkerChangedError(UnavailableError):
    """Another life of the worker answers at the address."""

    code = 'worker_changed'


class FencedOrderError(UnavailableError):
    """The worker has seen a newer owner's fencing token."""

    code = 'fenced_order'


@attrs.frozen
class StoredRow:
    """A row; no value means that it was removed."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class RowPage:
    """Rows as of one version of the store."""

    rows: tuple[StoredRow, ...]
    version: int


@attrs.frozen
class RowCondition:
    """A transaction's demand: the row has this version; 0 is absent."""

    table: str
    key: str
    version: int


@attrs.frozen
class RowWrite:
    """A transaction's change of a row; no value removes it."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen
class Transaction:
    """Conditions and writes in one part, done all or not at all."""

    part: str
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@attrs.frozen
class TransactionResult:
    """Whether it was done; if not, the conditions' rows as they are."""

    is_done: bool
    version: int = 0
    rows: tuple[StoredRow, ...] = ()


class RowStore(t.Protocol):
    """The platform's transactional store.

    Every method raises ``UnavailableError`` if it surely did nothing
    and ``AnswerLostError`` if it may have taken effect, or still may.
    """

    async def read_rows(
        self, table: str, part: str, first: str = '', end: str = ''
    ) -> RowPage:
        """Return all rows from ``first`` on, up to but without ``end``."""

    async def follow(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Return the changes of a table after a version.

        Raises ``HistoryLostError`` if the store has forgotten them.
        """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Carry out a transaction."""


class Feeds(t.Protocol):
    """What the platform tells of its operators and workers."""

    async def read_configuration(self) -> tuple[Configuration | None, int]:
        """Return the configuration, if any, and the store's version."""

    async def follow_configuration(
        self, after: int, wait_ms: int
    ) -> tuple[Configuration | None, int]:
        """Return a newer configuration once there is one."""

    async def read_workers(self) -> tuple[tuple[WorkerEntry, ...], int]:
        """Return every worker on the list and the store's version."""

    async def follow_workers(
        self, after: int
    ) -> tuple[tuple[WorkerEntry, ...], tuple[str, ...], int]:
        """Return workers changed and workers gone since a version."""


@attrs.frozen
class StartOrder:
    """An order to start a run.

    ``deadline_ms`` is by the worker's clock: later, the start is void.
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


@attrs.frozen
class Advice:
    """Tickets by worker, for those that may run a step, and for how long."""

    tickets: dict[str, str]
    valid_ms: int


class Advisor(t.Protocol):
    """The service that knows which workers may run a step."""

    async def ask(
        self, step: tuple[str, int, int], worker_ids: t.Sequence[str]
    ) -> Advice:
        """Ask about workers; may raise ``UnavailableError``."""


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
        """Stop a run; one that is not there yet will be refused."""

    async def pace(
        self,
        worker_id: str,
        address: str,
        key: TaskKey,
        run: int,
        percent: int,
        fencing_token: int,
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""

    async def hold(
        self,
        worker_id: str,
        address: str,
        fencing_token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Extend the worker's lease and return its report.

        Raises ``FencedOrderError``, ``WorkerChangedError`` or
        ``UnavailableError``.
        """


@attrs.frozen
class SchedulerPorts:
    """Everything that a scheduler's shell reaches."""

    store: RowStore
    feeds: Feeds
    workers: WorkerAgents
    forget_worker: t.Callable[[str], t.Awaitable[None]]
    advisor: Advisor
