"""TLS on the operators' listener and between peers, by settings."""

import pytest
import trio

from tests_certificates import make_certificate, to_pem
from tulippin.client import ApiClient, make_tls_context
from tulippin.exceptions import UnavailableError

SECTION = """
[tls]
operators_certificate = {folder}/server.pem
operators_key = {folder}/server.key
operators_authority = {folder}/authority.pem
peers_certificate = {folder}/server.pem
peers_key = {folder}/server.key
peers_authority = {folder}/authority.pem
"""


def write_pair(folder, name, pair):
    certificate, key = to_pem(*pair)
    (folder / f'{name}.pem').write_bytes(certificate)
    (folder / f'{name}.key').write_bytes(key)


@pytest.fixture
def folder(tmp_path):
    authority = make_certificate()
    write_pair(tmp_path, 'authority', authority)
    write_pair(tmp_path, 'server', make_certificate(authority))
    write_pair(tmp_path, 'operator', make_certificate(authority))
    write_pair(tmp_path, 'stranger', make_certificate(make_certificate()))
    return tmp_path


def fetch(folder, port, name):
    certificate = f'{folder}/{name}.pem' if name else ''
    context = make_tls_context(
        f'{folder}/authority.pem', certificate, f'{folder}/{name}.key'
    )
    with ApiClient(f'https://127.0.0.1:{port}', context) as client:
        return client.send('GET', '/v1/instances')['instances']


async def test_operators_prove_themselves(open_daemons, folder):
    section = SECTION.format(folder=folder)
    async with open_daemons(count=2, more=section) as site:
        port = site.daemons[0].operators_port
        with trio.fail_after(20):
            found = []
            while len(found) < 2:
                await trio.sleep(0.2)
                found = await trio.to_thread.run_sync(
                    fetch, folder, port, 'operator'
                )
        for name in ('', 'stranger'):
            with pytest.raises(UnavailableError):
                await trio.to_thread.run_sync(fetch, folder, port, name)
        await site.wait_for(
            lambda: any(
                peer.summaries
                for daemon in site.daemons
                for peer in daemon.shell.state.peers.values()
            )
        )
