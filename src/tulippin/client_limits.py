"""Limits on what all clients of a process may occupy together."""

from __future__ import annotations

import resource
import typing as t

import attrs

from tulippin.ini import SectionReader

_BYTES_PER_MB: t.Final = 2**20
# Part of the descriptors of the process that clients may use. The rest is for
# the store, the workers, peers and files.
_DESCRIPTOR_SHARE: t.Final = 1 / 2
_MAX_CONNECTIONS: t.Final = 1_000_000
_MAX_BUFFER_MB: t.Final = 65_536
_MAX_STALL_S: t.Final = 86_400


# Bytes of a request line.
_REQUEST_LINE_BYTES: t.Final = 16_384
# Bytes that a body may take on the wire for each of its own: a body may come
# in chunks of one byte.
_FRAMING_FACTOR: t.Final = 8


@attrs.frozen
class RequestLimits:
    """Limits on one request.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest headers, and largest body without its framing.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1_048_576

    @property
    def head_bytes(self) -> int:
        """Largest request line and headers together."""
        return _REQUEST_LINE_BYTES + self.header_bytes

    @property
    def request_bytes(self) -> int:
        """Largest request on the wire, with its framing and trailers."""
        return self.head_bytes + _FRAMING_FACTOR * self.body_bytes


@attrs.frozen
class ClientLimits:
    """Limits on the connections of all clients of a process.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    buffer_bytes : int
        Maximum number of bytes of incomplete requests, of requests being
        handled, and of responses that were not taken.
    stall_s : int
        Seconds after which a connection is closed whose client neither sends
        the rest of its request nor takes its response.
    """

    connections: int = 2000
    buffer_bytes: int = 24 * _BYTES_PER_MB
    stall_s: int = 30

    def count_usable_connections(self) -> int:
        """Return the limit of connections within this process's descriptors."""
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit == resource.RLIM_INFINITY:
            return self.connections
        return min(self.connections, int(soft_limit * _DESCRIPTOR_SHARE))


def read_client_limits(reader: SectionReader) -> ClientLimits:
    """Read the limits from a section of a settings file."""
    default = ClientLimits()
    default_mb = default.buffer_bytes // _BYTES_PER_MB
    return ClientLimits(
        connections=reader.get_int(
            'connections', default.connections, 1, _MAX_CONNECTIONS
        ),
        buffer_bytes=_BYTES_PER_MB
        * reader.get_int('buffer_mb', default_mb, 1, _MAX_BUFFER_MB),
        stall_s=reader.get_int('stall_s', default.stall_s, 1, _MAX_STALL_S),
    )
