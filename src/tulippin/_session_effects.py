"""Performs effects on the table and the object store."""

from __future__ import annotations

import contextlib
import typing as t

import attrs
import trio

from tulippin import codec
from tulippin import effects as fx
from tulippin import events as ev
from tulippin.exceptions import (
    FencedError,
    TulippinError,
    UnavailableError,
)
from tulippin.store import (
    SessionStore,
    put_object,
    read_membership,
    read_row,
)
from tulippin.types import LeaseRow, Ownership

if t.TYPE_CHECKING:
    from tulippin.shell import Shell

_TABLE_TIMEOUT_S: t.Final = 2.0
_REOPEN_DELAY_S: t.Final = 0.5


class SessionEffects:
    """Performs effects on session, lease, ownership, journal and units.

    Parameters
    ----------
    shell : Shell
        The shell that requests the effects and gets the events.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._store: SessionStore | None = None

    def _make_lease(
        self, session_id: str, count: int, bundle_number: int, leaving: bool
    ) -> LeaseRow:
        return LeaseRow(
            session_id,
            self._shell.config.instance_id,
            self._shell.config.failure_domain,
            self._shell.config.peer_address,
            count,
            bundle_number,
            leaving,
            self._shell.config.region,
        )

    async def open_session(self) -> None:
        """Open a new session, retrying while the table is unavailable."""
        nonce = f'{self._shell.random.getrandbits(48):012x}'
        session_id = f'{self._shell.config.instance_id}:{nonce}'
        store = SessionStore(
            self._shell.ports.table,
            self._shell.ports.objects,
            session_id,
            self._shell.config.journal_ring,
            self._shell.config.seams,
        )
        sent_ms = self._shell.clock()
        lease = self._make_lease(
            session_id, 0, self._shell.state.bundle_number, leaving=False
        )
        try:
            await store.open(lease)
        except FencedError:
            await trio.sleep(_REOPEN_DELAY_S)
            self._shell.start(self.open_session)
            return
        self._store = store
        self._shell.post(
            ev.SessionOpened(
                self._shell.clock(),
                session_id,
                sent_ms,
                self._shell.random.getrandbits(32),
                self._shell.wall(),
            )
        )

    async def close_session(self, effect: fx.CloseSession) -> None:
        """Close the session; if that fails, its lease expires instead."""
        with (
            trio.move_on_after(_TABLE_TIMEOUT_S),
            contextlib.suppress(TulippinError),
        ):
            await self._get_store(effect.session_id).close()
        # Peers may still wait for outcomes of requests that they forwarded.
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            await self._shell.network.flush()
        self._shell.left.set()

    def _get_store(self, session_id: str) -> SessionStore:
        if self._store is None or self._store.session_id != session_id:
            raise FencedError('the session has ended')
        return self._store

    async def renew(self, effect: fx.RenewLease) -> None:
        """Try once to renew the lease and post the result."""
        sent_ms = self._shell.clock()
        session_id = effect.session_id
        lease = self._make_lease(
            session_id,
            effect.renewal_count,
            effect.bundle_number,
            effect.leaving,
        )
        event: ev.Event = ev.LeaseFailed(0, session_id, sent_ms)
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                await self._get_store(session_id).renew(lease)
            except FencedError:
                event = ev.SessionRevoked(0, session_id)
            except UnavailableError:
                pass
            else:
                event = ev.LeaseRenewed(0, session_id, sent_ms)
        self._shell.post(event)

    async def poll(self) -> None:
        """Read membership and the rolled bundle, and post them."""
        event: ev.Event = ev.TableFailed(0)
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                membership = await read_membership(self._shell.ports.table)
                rolled = await self._shell.bundles.read_rolled()
            except TulippinError:
                pass
            else:
                event = ev.TablePolled(
                    0,
                    membership.ownership,
                    membership.ownership_version,
                    membership.leases,
                    rolled.number if rolled else 0,
                    rolled.state.value if rolled else '',
                    codec.encode(rolled).decode() if rolled else '',
                )
        self._shell.post(event)

    async def list_instances(self) -> None:
        """Read the platform's list; on failure the old one stays in use."""
        with trio.move_on_after(_TABLE_TIMEOUT_S):
            try:
                listed = await self._shell.ports.directory.list_instances()
            except UnavailableError:
                return
            self._shell.post(
                ev.WorkersListed(0, listed.workers, listed.instances)
            )

    async def write_ownership(self, effect: fx.WriteOwnership) -> None:
        """Store the bases, then replace the ownership row."""
        for key, body in effect.bases:
            await put_object(self._shell.ports.objects, key, body)
        ownership = attrs.evolve(
            effect.ownership, token=f'{self._shell.random.getrandbits(64):x}'
        )
        try:
            store = self._get_store(effect.session_id)
            resolved = await store.write_ownership(
                ownership, effect.expected_version, effect.revoke
            )
        except FencedError:
            return
        if resolved.version:
            revoked = tuple(lease.session_id for lease in effect.revoke)
            self._shell.post(
                ev.OwnershipWritten(0, ownership, resolved.version, revoked)
            )
            return
        row = await read_row(self._shell.ports.table, 'ownership')
        current = codec.decode(row.value, Ownership) if row else Ownership()
        self._shell.post(
            ev.OwnershipRefused(0, current, row.version if row else 0)
        )

    async def commit(self, effect: fx.CommitJournal) -> None:
        """Write a journal row, or post that the session was revoked."""
        try:
            await self._get_store(effect.session_id).commit_row(
                effect.sequence, effect.records
            )
        except FencedError:
            self._shell.post(ev.SessionRevoked(0, effect.session_id))
        else:
            self._shell.post(
                ev.JournalCommitted(0, effect.session_id, effect.sequence)
            )

    async def publish(self, effect: fx.PublishSnapshot) -> None:
        """Publish a snapshot, or post that this failed."""
        event: ev.Event = ev.SnapshotFailed(0, effect.session_id)
        try:
            await self._get_store(effect.session_id).publish(
                effect.sequence, effect.body, effect.units
            )
        except FencedError:
            pass
        else:
            event = ev.SnapshotPublished(0, effect.session_id, effect.sequence)
        self._shell.post(event)

    async def load_unit(self, effect: fx.LoadUnit) -> None:
        """Load a unit's state, unless the session has ended."""
        try:
            store = self._get_store(effect.session_id)
            ledger = await store.load_unit(effect.unit, effect.holder)
        except FencedError:
            return
        self._shell.post(
            ev.UnitLoaded(
                0, effect.session_id, effect.unit, effect.holder.epoch, ledger
            )
        )
