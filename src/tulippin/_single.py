"""One instance's reducer fed by hand, for tests of single decisions."""

from __future__ import annotations

import typing as t

import attrs

from tulippin import core
from tulippin import effects as fx
from tulippin import events as ev
from tulippin.ledger import Ledger
from tulippin.state import Config, State
from tulippin.store import make_ledger
from tulippin.types import (
    Holder,
    LeaseRow,
    Ownership,
    Resources,
    WorkerInfo,
    cell_unit,
    range_unit,
)
from tulippin.worker_types import RunReport, WorkerReport, WorkerSync

SESSION: t.Final = 'instance-0:own'
PEER: t.Final = 'instance-1:peer'
Effect = t.TypeVar('Effect', bound=fx.Effect)


def make_worker(
    worker_id: str = 'worker-0',
    cell: str = 'cell-0',
    capacity: Resources | None = None,
) -> WorkerInfo:
    """Return a worker of a cell."""
    return WorkerInfo(
        worker_id,
        worker_id,
        cell,
        'domain-0',
        capacity or Resources(8000, 32768),
    )


@attrs.define
class SingleInstance:
    """An instance whose every event is given by hand.

    Parameters
    ----------
    workers : tuple of WorkerInfo
        The workers that the platform lists.
    overrides : dict
        Fields of ``Config``.
    """

    workers: tuple[WorkerInfo, ...] = (make_worker(),)
    overrides: dict[str, t.Any] = attrs.field(factory=dict)
    now_ms: int = 1000
    row_version: int = 0
    effects: list[fx.Effect] = attrs.field(factory=list)
    state: State = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the session and load one cell and one range."""
        config = Config(
            'instance-0',
            'domain-0',
            'instance-0',
            **{'range_count': 1, 'sync_gap_ms': 0, **self.overrides},
        )
        self.state = core.make_state(config)
        self.feed(ev.Ticked)
        self.feed(ev.SessionOpened, SESSION, self.now_ms, 7, 10**12)
        self.feed(ev.WorkersListed, self.workers, ('instance-0',))
        cells = {cell_unit(worker.cell) for worker in self.workers}
        self.own(*sorted(cells), range_unit(0))

    def feed(self, kind: type[ev.Event], *arguments: t.Any) -> None:
        """Reduce one event at the present time."""
        self.effects.extend(
            core.reduce(self.state, kind(self.now_ms, *arguments))
        )

    def own(self, *units: str, epoch: int = 1) -> None:
        """Give units to the instance and load them empty."""
        self.adopt({unit: Holder(SESSION, epoch) for unit in units})
        for unit in units:
            self.load(unit, epoch, make_ledger(unit))

    def adopt(
        self, units: dict[str, Holder], leases: tuple[LeaseRow, ...] = ()
    ) -> None:
        """Show the instance a new ownership row."""
        self.row_version += 1
        self.feed(
            ev.TablePolled,
            Ownership(units),
            self.row_version,
            leases,
            0,
            '',
            '',
        )

    def load(self, unit: str, epoch: int, ledger: Ledger) -> None:
        """Tell the instance that a unit's state is loaded."""
        self.feed(ev.UnitLoaded, SESSION, unit, epoch, ledger)

    def tick(self, for_ms: int = 50, *, renew: bool = True) -> None:
        """Let time pass, with the lease renewed unless told not to."""
        self.now_ms += for_ms
        if renew:
            self.feed(ev.LeaseRenewed, SESSION, self.now_ms)
        self.feed(ev.Ticked)

    def commit(self) -> None:
        """Let the journal row on its way become durable."""
        if self.state.journal.in_flight:
            sequence = self.state.journal.sequence + 1
            self.feed(ev.JournalCommitted, SESSION, sequence)

    def commit_all(self) -> None:
        """Let all records become durable, row by row."""
        journal = self.state.journal
        while journal.pending or journal.in_flight:
            self.commit()
            self.tick()

    def take(self, kind: type[Effect]) -> list[Effect]:
        """Return and forget the effects of one kind."""
        found = [one for one in self.effects if isinstance(one, kind)]
        self.effects = [
            one for one in self.effects if not isinstance(one, kind)
        ]
        return found

    def take_sync(self) -> WorkerSync:
        """Return the last sync sent, forgetting all."""
        return self.take(fx.SyncWorker)[-1].sync

    def report(
        self,
        *runs: RunReport,
        incarnation: str = 'one',
        worker_id: str = 'worker-0',
        **details: t.Any,
    ) -> None:
        """Let a worker reply to the sync on its way."""
        for cell in self.state.cells.values():
            worker = cell.workers.get(worker_id)
            if worker is None or not worker.sync_in_flight:
                continue
            self.feed(
                ev.WorkerSynced,
                worker_id,
                cell.epoch,
                worker.sync_in_flight,
                WorkerReport(
                    worker_id, incarnation, self.now_ms, runs, **details
                ),
            )

    def answer_first_syncs(self) -> None:
        """Let every worker reply to its first syncs."""
        self.tick()
        for worker in self.workers:
            self.report(worker_id=worker.worker_id)
            self.report(worker_id=worker.worker_id)
