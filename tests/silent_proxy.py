"""Loopback proxy whose open connections can be blackholed."""

import contextlib

import attrs
import trio

CHUNK_BYTES = 65536


@attrs.define
class SilentProxy:
    """Forwards connections to an address; new connections always work."""

    target: str
    port: int = 0
    generation: int = 0
    discarded_bytes: int = 0

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def silence(self):
        """Discard all further data of the connections that are open now."""
        self.generation += 1

    async def run(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client):
        host, _, port = self.target.rpartition(':')
        server = await trio.open_tcp_stream(host, int(port))
        opened_generation = self.generation
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, server, opened_generation)
            await self._pump(server, client, opened_generation)
            nursery.cancel_scope.cancel()

    async def _pump(self, source, sink, opened_generation):
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                if self.generation != opened_generation:
                    self.discarded_bytes += len(data)
                    if not data:
                        # The end of the connection isn't forwarded either.
                        await trio.sleep_forever()
                    continue
                if not data:
                    return
                await sink.send_all(data)
