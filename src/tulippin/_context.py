"""The context of event and message handlers: state and pending effects."""

from __future__ import annotations

import collections
import hashlib
import typing as t

import attrs

from tulippin import effects as fx
from tulippin.records import Record, UnitRecord
from tulippin.state import Phase, Standing, State, UnitState
from tulippin.types import Holder, range_unit


@attrs.define
class Context:
    """One run of the reducer for one event.

    Messages to this instance's session are handled in the same run, after
    the event. Messages to peers are sent with one effect for each peer.
    """

    state: State
    effects: list[fx.Effect] = attrs.field(factory=list)
    outbox: dict[str, list[t.Any]] = attrs.field(factory=dict)
    local_messages: collections.deque[t.Any] = attrs.field(
        factory=collections.deque
    )

    @property
    def now_ms(self) -> int:
        """Return the time of the event."""
        return self.state.now_ms

    @property
    def may_act(self) -> bool:
        """Return whether the session holds a valid lease."""
        return self.state.session.standing is Standing.ACTIVE

    @property
    def may_serve(self) -> bool:
        """Return whether running work may go on and requests be served."""
        return self.state.session.standing in {
            Standing.ACTIVE,
            Standing.DETACHED,
        }

    @property
    def store_ready(self) -> bool:
        """Return whether a new record can be expected to commit."""
        journal = self.state.journal
        max_used_rows = self.state.config.journal_ring - 2
        used_rows = journal.sequence - journal.snapshot_sequence
        return (
            self.may_act
            and self.state.session.store_reachable
            and used_rows < max_used_rows
        )

    def emit(self, effect: fx.Effect) -> None:
        """Request an effect from the shell."""
        self.effects.append(effect)

    def send(self, session_id: str, message: t.Any) -> None:
        """Send a message to this instance's session or to a peer's.

        Messages to unknown sessions are dropped. So are all messages
        while the instance has no session, as they carry the sender's id.
        """
        if not self.state.session.session_id:
            return
        if session_id == self.state.session.session_id:
            self.local_messages.append(message)
        elif session_id in self.state.peers:
            self.outbox.setdefault(session_id, []).append(message)

    def send_owner(self, unit: str, message: t.Any) -> bool:
        """Send a message to a unit's owner; return whether one is known."""
        holder = self.get_holder(unit)
        if holder is None:
            return False
        self.send(holder.session_id, message)
        return True

    def get_holder(self, unit: str) -> Holder | None:
        """Return a unit's owner by the adopted ownership row, if any."""
        return self.state.ownership.units.get(unit)

    def record(self, unit: UnitState, record: Record) -> None:
        """Append a record of an owned unit to the journal's pending ones."""
        journal = self.state.journal
        journal.pending.append(UnitRecord(unit.unit, unit.epoch, record))
        journal.uncommitted_counts[unit.unit] += 1

    def is_usable(self, unit: UnitState | None) -> bool:
        """Return whether a unit is owned, loaded and not being handed over."""
        return unit is not None and unit.phase is Phase.ACTIVE

    def is_responsive(self, session_id: str) -> bool:
        """Return whether a session is the own one or a responsive peer's.

        A peer counts as responsive for ``silence_limit_ms`` after its last
        message, and for as long after it was first seen.
        """
        peer = self.state.peers.get(session_id)
        if peer is None:
            return session_id == self.state.session.session_id
        since_ms = max(peer.last_received_ms, peer.first_seen_ms)
        return self.now_ms - since_ms < self.state.config.silence_limit_ms

    def flush_outbox(self) -> None:
        """Emit one effect for each peer with pending messages."""
        for session_id, messages in self.outbox.items():
            peer = self.state.peers.get(session_id)
            if peer is not None:
                address = peer.lease.peer_address
                self.emit(fx.SendPeer(session_id, address, tuple(messages)))
        self.outbox.clear()


def get_range(key: str, range_count: int) -> str:
    """Return the hash range unit that a key belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return range_unit(int.from_bytes(digest, 'big') % range_count)


def count_instances(state: State) -> int:
    """Return the number of known live instances, including this one."""
    return 1 + len(state.peers)
