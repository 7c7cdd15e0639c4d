"""Fixtures that run real daemons on loopback against stand-in services."""

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

EXTRA_SETTINGS = """
[peers]
addresses = {seeds}
[limits]
balancer_grace_ms = 50
max_body_bytes = 20000
"""


@attrs.define
class Site:
    """Running daemons, their stand-in services and an HTTP client."""

    standins: Standins
    client: HttpClient
    nursery: trio.Nursery
    keys: dict
    daemons: list = attrs.field(factory=list)

    def make_settings(self, number, store_url=None, extra_settings=''):
        seeds = [f'127.0.0.1:{daemon.peers_port}' for daemon in self.daemons]
        return render_settings(
            number,
            store_url or self.standins.url,
            {name: pair[1] for name, pair in self.keys.items()},
            EXTRA_SETTINGS.format(seeds=', '.join(seeds)) + extra_settings,
        )

    async def start(self, store_url=None, extra_settings=''):
        daemon = Daemon(
            parse_settings(
                self.make_settings(len(self.daemons), store_url, extra_settings)
            )
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

    async def wait_for(self, condition, timeout_s=20):
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.05)

    async def call(
        self, method, path, body=None, *, number=0, port='operators'
    ):
        daemon = self.daemons[number]
        port_number = getattr(daemon, f'{port}_port')
        content = body if isinstance(body, bytes) else encode(body)
        response = await self.client.send(
            method,
            f'http://127.0.0.1:{port_number}{path}',
            b'' if body is None else content,
        )
        content_type = response.headers.get('content-type', '')
        if content_type.startswith('application/json'):
            return response.status, decode(response.body, dict)
        return response.status, response.body


@contextlib.asynccontextmanager
async def open_site(count=1, size=None, extra_settings=''):
    """Run stand-ins and ``count`` daemons that are ready."""
    size = size or StandinSize(cell_count=1, workers_per_cell=2)
    keys = {name: make_key() for name in ('alice', 'bob')}
    async with (
        Standins(size) as standins,
        HttpClient(20) as client,
        trio.open_nursery() as nursery,
    ):
        site = Site(standins, client, nursery, keys)
        for _ in range(count):
            await site.start(extra_settings=extra_settings)
        await site.wait_ready()
        yield site
        nursery.cancel_scope.cancel()


@pytest.fixture
def open_daemons():
    """Return the function that runs daemons; see ``open_site``."""
    return open_site
