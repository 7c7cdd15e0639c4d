"""The reducer of one instance, driven event by event in tests."""

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
EffectKind = t.TypeVar('EffectKind', bound=fx.Effect)


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
    """An instance that gets its events from a test.

    Parameters
    ----------
    workers : tuple of WorkerInfo
        The workers in the platform's list.
    overrides : dict
        Fields of ``Config`` to override.
    """

    workers: tuple[WorkerInfo, ...] = (make_worker(),)
    overrides: dict[str, t.Any] = attrs.field(factory=dict)
    now_ms: int = 1000
    row_version: int = 0
    effects: list[fx.Effect] = attrs.field(factory=list)
    state: State = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the session and load the workers' cells and one range."""
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
        """Reduce an event at the present time and keep its effects."""
        self.effects.extend(
            core.reduce(self.state, kind(self.now_ms, *arguments))
        )

    def own(self, *units: str, epoch: int = 1) -> None:
        """Make the instance the owner of units and load them empty."""
        self.adopt({unit: Holder(SESSION, epoch) for unit in units})
        for unit in units:
            self.load(unit, epoch, make_ledger(unit))

    def adopt(
        self, units: dict[str, Holder], leases: tuple[LeaseRow, ...] = ()
    ) -> None:
        """Deliver a new ownership row to the instance."""
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
        """Deliver the loaded ledger of a unit."""
        self.feed(ev.UnitLoaded, SESSION, unit, epoch, ledger)

    def tick(self, for_ms: int = 50, *, renew: bool = True) -> None:
        """Advance the time by ``for_ms`` and renew the lease, if ``renew``."""
        self.now_ms += for_ms
        if renew:
            self.feed(ev.LeaseRenewed, SESSION, self.now_ms)
        self.feed(ev.Ticked)

    def commit(self) -> None:
        """Complete the commit of the journal row in flight, if any."""
        if self.state.journal.in_flight:
            sequence = self.state.journal.sequence + 1
            self.feed(ev.JournalCommitted, SESSION, sequence)

    def commit_all(self) -> None:
        """Complete the commits of all pending journal records."""
        journal = self.state.journal
        while journal.pending or journal.in_flight:
            self.commit()
            self.tick()

    def take(self, kind: type[EffectKind]) -> list[EffectKind]:
        """Remove and return the effects of one kind."""
        taken = [effect for effect in self.effects if isinstance(effect, kind)]
        self.effects = [
            effect for effect in self.effects if not isinstance(effect, kind)
        ]
        return taken

    def take_sync(self) -> WorkerSync:
        """Remove all syncs sent and return the last one."""
        return self.take(fx.SyncWorker)[-1].sync

    def report(
        self,
        *runs: RunReport,
        incarnation: str = 'one',
        worker_id: str = 'worker-0',
        **details: t.Any,
    ) -> None:
        """Deliver a worker's report in reply to its sync in flight."""
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
        """Deliver the first two reports of every worker."""
        self.tick()
        for worker in self.workers:
            self.report(worker_id=worker.worker_id)
            self.report(worker_id=worker.worker_id)
