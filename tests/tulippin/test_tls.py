"""TLS on the operators' listener and between peers."""

import pytest
import trio

from refusing_app import refuse_at_once
from tests_certificates import make_certificate, to_pem
from tulippin._http_server import HttpServer
from tulippin.client import ApiClient, make_tls_context
from tulippin.exceptions import UnavailableError

TLS_SETTINGS = """
[tls]
operators_certificate = {directory}/server.pem
operators_key = {directory}/server.key
operators_authority = {directory}/authority.pem
peers_certificate = {directory}/server.pem
peers_key = {directory}/server.key
peers_authority = {directory}/authority.pem
"""


def write_certificate(directory, name, pair):
    certificate, key = to_pem(*pair)
    (directory / f'{name}.pem').write_bytes(certificate)
    (directory / f'{name}.key').write_bytes(key)


@pytest.fixture
def directory(tmp_path):
    authority = make_certificate()
    write_certificate(tmp_path, 'authority', authority)
    write_certificate(tmp_path, 'server', make_certificate(authority))
    write_certificate(tmp_path, 'operator', make_certificate(authority))
    write_certificate(
        tmp_path, 'untrusted', make_certificate(make_certificate())
    )
    return tmp_path


def list_instances(directory, port, name):
    certificate = f'{directory}/{name}.pem' if name else ''
    context = make_tls_context(
        f'{directory}/authority.pem', certificate, f'{directory}/{name}.key'
    )
    with ApiClient(f'https://127.0.0.1:{port}', context) as client:
        return client.send('GET', '/v1/instances')['instances']


async def test_tls_rejects_untrusted_operators_and_connects_peers(
    open_daemons, directory
):
    tls_settings = TLS_SETTINGS.format(directory=directory)
    async with open_daemons(count=2, extra_settings=tls_settings) as site:
        port = site.daemons[0].operators_port
        with trio.fail_after(20):
            instances = []
            while len(instances) < 2:
                await trio.sleep(0.2)
                instances = await trio.to_thread.run_sync(
                    list_instances, directory, port, 'operator'
                )
        for name in ('', 'untrusted'):
            with pytest.raises(UnavailableError):
                await trio.to_thread.run_sync(
                    list_instances, directory, port, name
                )
        await site.wait_for(
            lambda: any(
                peer.summaries
                for daemon in site.daemons
                for peer in daemon.shell.state.peers.values()
            )
        )


async def test_refusal_reaches_a_tls_client_that_sends_its_body_first(
    directory,
):
    """Guards against refusals that are lost as the connection is reset."""
    server = HttpServer(
        refuse_at_once,
        '127.0.0.1:0',
        f'{directory}/server.pem',
        f'{directory}/server.key',
    )
    context = make_tls_context(f'{directory}/authority.pem', '', '')
    with server, trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            stream = await trio.open_ssl_over_tcp_stream(
                '127.0.0.1', server.port, ssl_context=context
            )
            await stream.send_all(
                b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n'
            )
            for _ in range(100):
                await stream.send_all(b'x' * 1000)
                await trio.sleep(0.001)
            answer = await stream.receive_some()
            nursery.cancel_scope.cancel()
    assert answer.startswith(b'HTTP/1.1 413')
