"""Connections of the HTTP listener."""

from __future__ import annotations

import trio
from hypercorn.trio.tcp_server import TCPServer

from tulippin import failures


class Connection(TCPServer):
    """Connection of hypercorn whose errors end nothing else.

    An error in its protocol would otherwise reach the nursery of the listener
    and end the process.
    """

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            await super().run()
        except BaseExceptionGroup as group:
            unexpected, rest = group.split(Exception)
            _report(unexpected)
            if rest is not None:
                raise rest from None
        except Exception as error:
            _report(error)


def _report(error: BaseException | None) -> None:
    """Log an error, unless the client has merely broken the connection."""
    if error is None:
        return
    if isinstance(error, BaseExceptionGroup):
        _, error = error.split(
            (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
        )
    if error is not None:
        failures.tell('connection failed', error)
