"""Tests of TLS for callers: trust, replaced certificates, invalid files."""

from __future__ import annotations

import asyncio
import datetime
import shutil
import ssl
from pathlib import Path

import pytest
from cryptography import x509

from aspendrift_client.key_files import IssuedCertificate, write_certificates
from aspendrift_daemon.tls import (
    CertificateInvalid,
    CertificateReloaded,
    CertificateUnchanged,
    ReloadResult,
    ServerTls,
    transport_problems,
    watch_certificate,
)
from aspendrift_model.settings_http import HttpSettings

NOW = datetime.datetime.now(datetime.UTC)


def issue(folder: Path) -> IssuedCertificate:
    folder.mkdir()
    return write_certificates(folder, ["127.0.0.1"], NOW)


@pytest.fixture
def issued(tmp_path: Path) -> IssuedCertificate:
    return issue(tmp_path / "first")


@pytest.fixture
def tls(issued: IssuedCertificate) -> ServerTls:
    tls = ServerTls(issued.certificate_file, issued.key_file)
    assert tls.reload() == CertificateReloaded()
    return tls


async def served_serial(tls: ServerTls, ca_file: Path) -> int:
    """Return the serial number of the certificate that a new connection receives."""
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), "127.0.0.1", 0, ssl=tls.context
    )
    async with server:
        port = server.sockets[0].getsockname()[1]
        trust = ssl.create_default_context(cafile=str(ca_file))
        _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=trust)
        certificate = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
    return x509.load_der_x509_certificate(certificate).serial_number


def serial(path: Path) -> int:
    return x509.load_pem_x509_certificate(path.read_bytes()).serial_number


def replace(old: IssuedCertificate, new: IssuedCertificate) -> None:
    shutil.copy(new.certificate_file, old.certificate_file)
    shutil.copy(new.key_file, old.key_file)


def test_new_connections_see_the_replaced_certificate(
    tls: ServerTls, issued: IssuedCertificate, tmp_path: Path
) -> None:
    first = asyncio.run(served_serial(tls, issued.ca_file))
    assert first == serial(issued.certificate_file)
    other = issue(tmp_path / "second")
    replace(issued, other)
    assert tls.reload() == CertificateReloaded()
    second = asyncio.run(served_serial(tls, other.ca_file))
    assert second == serial(other.certificate_file) != first


def test_half_replaced_pair_leaves_the_old_one_in_use(
    tls: ServerTls, issued: IssuedCertificate, tmp_path: Path
) -> None:
    before = serial(issued.certificate_file)
    other = issue(tmp_path / "second")
    shutil.copy(other.certificate_file, issued.certificate_file)
    assert isinstance(tls.reload(), CertificateInvalid)
    assert asyncio.run(served_serial(tls, issued.ca_file)) == before
    shutil.copy(other.key_file, issued.key_file)
    assert tls.reload() == CertificateReloaded()


def test_same_files_are_not_loaded_again(tls: ServerTls) -> None:
    assert tls.reload() == CertificateUnchanged()


def test_watch_reports_a_replacement(
    tls: ServerTls, issued: IssuedCertificate, tmp_path: Path
) -> None:
    async def first_report() -> ReloadResult:
        reported: asyncio.Future[ReloadResult] = asyncio.Future()
        watch = asyncio.create_task(watch_certificate(tls, 0.01, reported.set_result))
        replace(issued, issue(tmp_path / "second"))
        result = await reported
        watch.cancel()
        return result

    assert asyncio.run(first_report()) == CertificateReloaded()


@pytest.mark.parametrize(
    ("host", "allow_plaintext", "accepted"),
    [
        ("127.0.0.1", False, True),
        ("::1", False, True),
        ("10.0.0.1", False, False),
        ("0.0.0.0", False, False),
        ("10.0.0.1", True, True),
        ("localhost", False, False),
    ],
)
def test_plaintext_needs_loopback_or_an_explicit_setting(
    host: str, allow_plaintext: bool, accepted: bool
) -> None:
    http = HttpSettings(host=host, allow_plaintext=allow_plaintext)
    assert (not transport_problems(http)) is accepted


def test_certificate_without_its_key_is_refused(issued: IssuedCertificate) -> None:
    http = HttpSettings(tls_certificate_file=str(issued.certificate_file))
    assert [problem.path for problem in transport_problems(http)] == [
        "http.tls_key_file"
    ]


def test_unreadable_certificate_is_refused(issued: IssuedCertificate) -> None:
    http = HttpSettings(
        host="10.0.0.1",
        tls_certificate_file="/nowhere.pem",
        tls_key_file=str(issued.key_file),
    )
    assert len(transport_problems(http)) == 1
