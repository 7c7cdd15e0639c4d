"""Communication between peers over gRPC, with and without mutual TLS."""

import pytest
import trio
import trio.testing

from tests_certificates import NAME, make_certificate, to_pem
from tulippin.exceptions import InputError, UnavailableError
from tulippin.messages import BundleWanted
from tulippin.peers_grpc import (
    GrpcPeers,
    PeerCredentials,
    PeerServer,
    decode_envelope,
    encode_envelope,
)
from tulippin.ports import Envelope

ENVELOPE = Envelope('i:1', 'i', 3, (BundleWanted(7), BundleWanted(8)))
ANY_PORT = '127.0.0.1:0'


def make_credentials(authority):
    certificate, key = to_pem(*make_certificate(authority))
    return PeerCredentials(certificate, key, to_pem(*authority)[0], NAME)


def test_envelope_round_trip():
    assert decode_envelope(encode_envelope(ENVELOPE)) == ENVELOPE


def test_unknown_message_kind_is_rejected():
    message = encode_envelope(ENVELOPE)
    message.messages[0].kind = 'Nonsense'
    with pytest.raises(InputError):
        decode_envelope(message)


async def deliver(credentials, server_credentials):
    received = []
    with (
        PeerServer(
            ANY_PORT, received.append, lambda: (4, 'row'), server_credentials
        ) as server,
        GrpcPeers(credentials) as peers,
    ):
        address = f'127.0.0.1:{server.port}'
        await peers.deliver(address, ENVELOPE)
        bundle = await peers.fetch_bundle(address)
        await trio.testing.wait_all_tasks_blocked()
    return received, bundle


async def test_delivery():
    received, bundle = await deliver(None, None)
    assert received == [ENVELOPE]
    assert (bundle.number, bundle.approved) == (4, 'row')


async def test_delivery_with_mutual_tls():
    authority = make_certificate()
    received, _ = await deliver(
        make_credentials(authority), make_credentials(authority)
    )
    assert received == [ENVELOPE]


async def test_certificate_of_other_authority_is_rejected():
    with pytest.raises(UnavailableError):
        await deliver(
            make_credentials(make_certificate()),
            make_credentials(make_certificate()),
        )


async def test_unreachable_peer_is_unavailable():
    with GrpcPeers() as peers, pytest.raises(UnavailableError):
        await peers.deliver('127.0.0.1:9', ENVELOPE)


async def test_port_in_use_has_error_code():
    with PeerServer(ANY_PORT, print, lambda: (0, '')) as server:
        second_server = PeerServer(
            f'127.0.0.1:{server.port}', print, lambda: (0, '')
        )
        with pytest.raises(UnavailableError) as caught, second_server:
            pass
    assert caught.value.code == 'address_in_use'
