"""Which connections of clients give way when a process reaches its limits.

All listeners of a process share one table, as they share its memory and its
descriptors. It decides without a network; the connections carry that out.
"""

from __future__ import annotations

import collections
import enum
import typing as t

import attrs
import trio

from tulippin.client_limits import ClientLimits
from tulippin.logs import logger

_SWEEP_INTERVAL_S: t.Final = 1.0
# Requests of the largest size that always fit, whatever the limit of bytes is.
_GUARANTEED_REQUESTS: t.Final = 2


class Phase(enum.Enum):
    """What a connection is doing."""

    # No request has begun.
    IDLE = 'idle'
    # A request has begun and is not complete.
    RECEIVING = 'receiving'
    # A complete request is being handled.
    SERVING = 'serving'
    # The client has not taken the whole response.
    SENDING = 'sending'


class Closing(enum.Enum):
    """Why a connection was closed although its client kept it open."""

    TOO_MANY = 'too_many_connections'
    BUFFERS_FULL = 'buffers_full'
    NO_PROGRESS = 'no_progress'
    REFUSED = 'request_refused'


@attrs.define(eq=False)
class ClientConnection:
    """Connection of a client, as the table sees it.

    Parameters
    ----------
    close : callable
        Closes the connection.
    """

    close: t.Callable[[], None]
    phase: Phase = Phase.IDLE
    is_closing: bool = False
    held_bytes: int = 0
    # Sweeps since the client last sent or took anything.
    quiet_sweeps: int = 0

    @property
    def may_give_way(self) -> bool:
        """Whether it may be closed: no complete request is being handled."""
        return self.phase is not Phase.SERVING and not self.is_closing


class ConnectionTable:
    """Open connections of the clients of a process.

    Parameters
    ----------
    limits : ClientLimits
        Limits on all connections together.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._max_connections = limits.count_usable_connections()
        self.closings: collections.Counter[Closing] = collections.Counter()
        self.held_bytes = 0
        # The connection without progress for the longest time comes first.
        self._connections: collections.OrderedDict[ClientConnection, None]
        self._connections = collections.OrderedDict()
        self._logged: collections.Counter[Closing] = collections.Counter()
        # Held while a part of a request of many parts is parsed, and while a
        # request begins that was sent ahead. All other tasks of the process
        # run between two turns.
        self.turn = trio.Lock()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection; one gives way where there are too many."""
        self._connections[connection] = None
        if len(self._connections) <= self._max_connections:
            return
        for other in self._connections:
            if other.may_give_way:
                self._close(other, Closing.TOO_MANY)
                return

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(connection)
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def note_progress(self, connection: ClientConnection) -> None:
        """Note that a client has sent or taken something."""
        connection.quiet_sweeps = 0
        self._connections.move_to_end(connection)

    def let_give_way_first(self, connection: ClientConnection) -> None:
        """Let a connection whose request is answered give way to others."""
        self._connections.move_to_end(connection, last=False)

    def note_refusal(self) -> None:
        """Count a request that was refused with its connection."""
        self.closings[Closing.REFUSED] += 1

    def hold(
        self, connection: ClientConnection, held_bytes: int, largest_bytes: int
    ) -> None:
        """Set how many bytes a connection occupies.

        Where all occupy too many together, those give way whose clients have
        made no progress for the longest time.

        Parameters
        ----------
        connection : ClientConnection
            The connection.
        held_bytes : int
            Bytes that it occupies from now on.
        largest_bytes : int
            Size of the largest request that is allowed.
        """
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        limit_bytes = max(
            self._limits.buffer_bytes, _GUARANTEED_REQUESTS * largest_bytes
        )
        if self.held_bytes > limit_bytes:
            self._free(self.held_bytes - limit_bytes)

    def _free(self, excess_bytes: int) -> None:
        """Close connections until the others occupy fewer bytes."""
        freed_bytes = 0
        for connection in list(self._connections):
            if freed_bytes >= excess_bytes:
                return
            if not connection.held_bytes:
                continue
            if connection.may_give_way:
                self._close(connection, Closing.BUFFERS_FULL)
            if connection.is_closing:
                freed_bytes += connection.held_bytes

    def _close(self, connection: ClientConnection, reason: Closing) -> None:
        connection.is_closing = True
        self.closings[reason] += 1
        connection.close()

    async def watch(self) -> None:
        """Sweep the table forever."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Close connections without progress, and log what was closed.

        Sweeps are counted instead of time: that for which the process was
        suspended is not the clients' fault.
        """
        for connection in list(self._connections):
            if connection.phase in {Phase.RECEIVING, Phase.SENDING}:
                self._count_quiet(connection)
        closed = self.closings - self._logged
        if closed:
            self._logged = self.closings.copy()
            logger.warning(
                'connections closed',
                reasons={reason.value: closed[reason] for reason in closed},
                open=len(self._connections),
                held_bytes=self.held_bytes,
            )

    def _count_quiet(self, connection: ClientConnection) -> None:
        connection.quiet_sweeps += 1
        is_stalled = connection.quiet_sweeps > self._limits.stall_s
        if is_stalled and connection.may_give_way:
            self._close(connection, Closing.NO_PROGRESS)
