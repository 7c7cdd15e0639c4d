"""What a handler works with: the state, and the effects it asks for."""

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
    """One run of the reducer over one event.

    Messages to this same session are handled in the same run, after the
    event; those to peers leave as one effect for each peer.
    """

    state: State
    effects: list[fx.Effect] = attrs.field(factory=list)
    outbox: dict[str, list[t.Any]] = attrs.field(factory=dict)
    local: collections.deque[t.Any] = attrs.field(factory=collections.deque)

    @property
    def now_ms(self) -> int:
        """Return the time of the event."""
        return self.state.now_ms

    @property
    def may_act(self) -> bool:
        """Tell whether the session's lease is surely valid."""
        return self.state.session.standing is Standing.ACTIVE

    @property
    def may_serve(self) -> bool:
        """Tell whether running work may be kept and requests served."""
        return self.state.session.standing in {
            Standing.ACTIVE,
            Standing.DETACHED,
        }

    @property
    def store_ready(self) -> bool:
        """Tell whether a record asked for now may be expected to commit."""
        journal = self.state.journal
        room = self.state.config.journal_ring - 2
        used = journal.sequence - journal.snapshot_sequence
        return (
            self.may_act and self.state.session.store_reachable and used < room
        )

    def emit(self, effect: fx.Effect) -> None:
        """Ask the shell for an effect."""
        self.effects.append(effect)

    def send(self, session_id: str, message: t.Any) -> None:
        """Send a message to a session, this one or a peer's.

        Without a session of its own an instance has no name to send by.
        """
        if not self.state.session.session_id:
            return
        if session_id == self.state.session.session_id:
            self.local.append(message)
        elif session_id in self.state.peers:
            self.outbox.setdefault(session_id, []).append(message)

    def send_owner(self, unit: str, message: t.Any) -> bool:
        """Send a message to a unit's owner; false if none is known."""
        holder = self.get_holder(unit)
        if holder is None:
            return False
        self.send(holder.session_id, message)
        return True

    def get_holder(self, unit: str) -> Holder | None:
        """Return who owns a unit, as far as known here."""
        return self.state.ownership.units.get(unit)

    def record(self, unit: UnitState, record: Record) -> None:
        """Ask for a record of an owned unit to be made durable."""
        journal = self.state.journal
        journal.pending.append(UnitRecord(unit.unit, unit.epoch, record))
        journal.unit_counts[unit.unit] += 1

    def is_usable(self, unit: UnitState | None) -> bool:
        """Tell whether a unit is owned, loaded and not being given away."""
        return unit is not None and unit.phase is Phase.ACTIVE

    def is_heard(self, session_id: str) -> bool:
        """Tell whether a peer has been heard lately, or is quite new."""
        peer = self.state.peers.get(session_id)
        if peer is None:
            return session_id == self.state.session.session_id
        since_ms = max(peer.last_heard_ms, peer.first_seen_ms)
        return self.now_ms - since_ms < self.state.config.silence_limit_ms

    def flush_outbox(self) -> None:
        """Turn the messages gathered into effects."""
        for session_id, messages in self.outbox.items():
            peer = self.state.peers.get(session_id)
            if peer is not None:
                address = peer.lease.peer_address
                self.emit(fx.SendPeer(session_id, address, tuple(messages)))
        self.outbox.clear()


def get_range(key: str, range_count: int) -> str:
    """Return the hash range that an id belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return range_unit(int.from_bytes(digest, 'big') % range_count)


def count_instances(state: State) -> int:
    """Return the number of live instances known, this one included."""
    return 1 + len(state.peers)
