"""Creates certificates for a test run."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

NAME = 'tulippin-peer'


def make_certificate(issuer=None):
    """Return a certificate and its key, signed by an issuer or self-signed."""
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
