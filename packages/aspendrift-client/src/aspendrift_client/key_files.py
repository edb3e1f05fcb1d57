"""Private files, bearer tokens, and certificates for tests."""

from __future__ import annotations

import datetime
import hashlib
import ipaddress
import os
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

__all__ = [
    "IssuedCertificate",
    "TokenPair",
    "new_token",
    "write_certificates",
    "write_private",
]

_CA_DAYS: Final = 365
_LEAF_DAYS: Final = 90
_CLOCK_SKEW: Final = datetime.timedelta(minutes=5)
_TOKEN_BYTES: Final = 32


@dataclass(frozen=True, slots=True)
class TokenPair:
    """A bearer token and its digest for settings and accounts."""

    token: str
    sha256: str


@dataclass(frozen=True, slots=True)
class IssuedCertificate:
    """Files of a certificate issued by a test authority."""

    ca_file: Path
    certificate_file: Path
    key_file: Path


def new_token() -> TokenPair:
    """Return a new random bearer token with its digest."""
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    return TokenPair(token, hashlib.sha256(token.encode()).hexdigest())


def write_private(path: Path, content: bytes) -> None:
    """Write a new file that only its owner can read; fail if it exists."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(path, flags, 0o600), "wb") as file:
        file.write(content)


def write_certificates(
    folder: Path, addresses: Sequence[str], now: datetime.datetime
) -> IssuedCertificate:
    """Write a test certificate authority and a server certificate it issued.

    Parameters
    ----------
    addresses : sequence of str
        IP addresses for which the certificate is valid.
    now : datetime.datetime
        Start of the validity period, with a time zone.
    """
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca = _authority(ca_key, now)
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _leaf(ca, ca_key, key, addresses, now)
    issued = IssuedCertificate(
        folder / "ca.pem", folder / "server.pem", folder / "server.key"
    )
    write_private(issued.key_file, _private_pem(key))
    issued.ca_file.write_bytes(ca.public_bytes(serialization.Encoding.PEM))
    issued.certificate_file.write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    return issued


def _name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _authority(
    key: ec.EllipticCurvePrivateKey, now: datetime.datetime
) -> x509.Certificate:
    name = _name("aspendrift test authority")
    public_key = key.public_key()
    return (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _CLOCK_SKEW)
        .not_valid_after(now + datetime.timedelta(days=_CA_DAYS))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(_key_usage(signs_certificates=True), critical=True)
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False
        )
        .sign(key, hashes.SHA256())
    )


def _leaf(
    ca: x509.Certificate,
    ca_key: ec.EllipticCurvePrivateKey,
    key: ec.EllipticCurvePrivateKey,
    addresses: Sequence[str],
    now: datetime.datetime,
) -> x509.Certificate:
    names = [x509.IPAddress(ipaddress.ip_address(each)) for each in addresses]
    authority_key = x509.AuthorityKeyIdentifier.from_issuer_public_key(
        ca_key.public_key()
    )
    return (
        x509.CertificateBuilder()
        .subject_name(_name(addresses[0]))
        .issuer_name(ca.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _CLOCK_SKEW)
        .not_valid_after(now + datetime.timedelta(days=_LEAF_DAYS))
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(authority_key, critical=False)
        .sign(ca_key, hashes.SHA256())
    )


def _key_usage(*, signs_certificates: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=True,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=signs_certificates,
        crl_sign=signs_certificates,
        encipher_only=False,
        decipher_only=False,
    )


def _private_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
