"""Limits on what all clients of a process may occupy together."""

from __future__ import annotations

import resource
import typing as t

import attrs

from tulippin.ini import SectionReader

# Part of the descriptors of the process that clients may use. The rest is for
# the store, the workers, peers and files.
_DESCRIPTOR_SHARE: t.Final = 1 / 2
_MAX_CONNECTIONS: t.Final = 1_000_000


@attrs.frozen
class ClientLimits:
    """Limits on the connections of all clients of a process.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    """

    connections: int = 2000

    def count_usable_connections(self) -> int:
        """Return the limit of connections within this process's descriptors."""
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit == resource.RLIM_INFINITY:
            return self.connections
        return min(self.connections, int(soft_limit * _DESCRIPTOR_SHARE))


def read_client_limits(reader: SectionReader) -> ClientLimits:
    """Read the limits from a section of a settings file."""
    default = ClientLimits()
    return ClientLimits(
        connections=reader.get_int(
            'connections', default.connections, 1, _MAX_CONNECTIONS
        ),
    )
