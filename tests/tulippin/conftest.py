"""Real daemons over stand-ins on loopback, for the tests of the APIs."""

import contextlib

import attrs
import pytest
import trio

from tulippin._http_client import HttpClient
from tulippin.bundles import make_key
from tulippin.codec import decode, encode
from tulippin.daemon import Daemon
from tulippin.settings import parse_settings
from tulippin.standins import Standins, StandinSize, render_settings

MORE = """
[peers]
addresses = {seeds}
[limits]
balancer_grace_ms = 50
max_body_bytes = 20000
"""


@attrs.define
class Site:
    """Daemons, their stand-ins and a client."""

    standins: Standins
    client: HttpClient
    nursery: trio.Nursery
    keys: dict
    daemons: list = attrs.field(factory=list)

    def make_settings(self, number, url=None, more=''):
        seeds = [f'127.0.0.1:{one.peers_port}' for one in self.daemons]
        return render_settings(
            number,
            url or self.standins.url,
            {name: pair[1] for name, pair in self.keys.items()},
            MORE.format(seeds=', '.join(seeds)) + more,
        )

    async def start(self, url=None, more=''):
        daemon = Daemon(
            parse_settings(self.make_settings(len(self.daemons), url, more))
        )
        self.daemons.append(daemon)
        instance_id = daemon.settings.config.instance_id
        self.standins.directory.instances.add(instance_id)
        self.standins.directory.publish()
        await self.nursery.start(daemon.run)
        return daemon

    async def wait_ready(self):
        with trio.fail_after(20):
            while any(daemon.get_unready() for daemon in self.daemons):
                await trio.sleep(0.05)

    async def wait_for(self, condition, limit_s=20):
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(0.05)

    async def call(
        self, method, path, body=None, *, number=0, port='operators'
    ):
        daemon = self.daemons[number]
        place = getattr(daemon, f'{port}_port')
        content = body if isinstance(body, bytes) else encode(body)
        answer = await self.client.send(
            method,
            f'http://127.0.0.1:{place}{path}',
            b'' if body is None else content,
        )
        kind = answer.headers.get('content-type', '')
        if kind.startswith('application/json'):
            return answer.status, decode(answer.body, dict)
        return answer.status, answer.body


@contextlib.asynccontextmanager
async def open_site(count=1, size=None, more=''):
    """Open stand-ins and a number of ready daemons."""
    size = size or StandinSize(cell_count=1, workers_per_cell=2)
    keys = {name: make_key() for name in ('alice', 'bob')}
    async with (
        Standins(size) as standins,
        HttpClient(20) as client,
        trio.open_nursery() as nursery,
    ):
        site = Site(standins, client, nursery, keys)
        for _ in range(count):
            await site.start(more=more)
        await site.wait_ready()
        yield site
        nursery.cancel_scope.cancel()


@pytest.fixture
def open_daemons():
    """Return the opener of a site."""
    return open_site
