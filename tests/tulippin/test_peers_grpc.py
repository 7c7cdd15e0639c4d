"""Peers over gRPC, plain and with mutual TLS."""

import datetime
import ipaddress

import pytest
import trio
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

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
ANY = '127.0.0.1:0'
NAME = 'tulippin-peer'


def make_certificate(issuer=None):
    """Return a certificate and key, signed by an issuer or by itself."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = NAME if issuer else 'authority'
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[0].subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.BasicConstraints(ca=issuer is None, path_length=None), True
        )
        .add_extension(
            x509.SubjectAlternativeName(
                [
                    x509.DNSName(NAME),
                    x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
                ]
            ),
            False,
        )
    )
    signer = issuer[1] if issuer else key
    return builder.sign(signer, hashes.SHA256()), key


def to_pem(certificate, key):
    return (
        certificate.public_bytes(serialization.Encoding.PEM),
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


def make_credentials(authority):
    certificate, key = to_pem(*make_certificate(authority))
    return PeerCredentials(certificate, key, to_pem(*authority)[0], NAME)


def test_envelope_survives_the_wire():
    assert decode_envelope(encode_envelope(ENVELOPE)) == ENVELOPE


def test_unknown_kind_is_an_error():
    message = encode_envelope(ENVELOPE)
    message.messages[0].kind = 'Nonsense'
    with pytest.raises(InputError):
        decode_envelope(message)


async def deliver(credentials, server_credentials):
    received = []
    with (
        PeerServer(
            ANY, received.append, lambda: (4, 'row'), server_credentials
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


async def test_foreign_certificate_is_refused():
    with pytest.raises(UnavailableError):
        await deliver(
            make_credentials(make_certificate()),
            make_credentials(make_certificate()),
        )


async def test_silent_peer_is_unavailable():
    with GrpcPeers() as peers, pytest.raises(UnavailableError):
        await peers.deliver('127.0.0.1:9', ENVELOPE)


async def test_port_in_use_has_a_code():
    with PeerServer(ANY, print, lambda: (0, '')) as server:
        taken = PeerServer(f'127.0.0.1:{server.port}', print, lambda: (0, ''))
        with pytest.raises(UnavailableError) as caught, taken:
            pass
    assert caught.value.code == 'address_in_use'
