"""A loopback proxy whose open connections can go silent for good."""

import contextlib

import attrs
import trio

CHUNK_BYTES = 65536


@attrs.define
class SilentProxy:
    """Forwards to an address; new connections work at any time."""

    target: str
    port: int = 0
    generation: int = 0
    swallowed_bytes: int = 0

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def silence(self):
        """Swallow all that comes on the connections open now."""
        self.generation += 1

    async def run(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client):
        host, _, port = self.target.rpartition(':')
        server = await trio.open_tcp_stream(host, int(port))
        born = self.generation
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, server, born)
            await self._pump(server, client, born)
            nursery.cancel_scope.cancel()

    async def _pump(self, source, sink, born):
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                if self.generation != born:
                    self.swallowed_bytes += len(data)
                    if not data:
                        # Not even the end of the connection is told.
                        await trio.sleep_forever()
                    continue
                if not data:
                    return
                await sink.send_all(data)
