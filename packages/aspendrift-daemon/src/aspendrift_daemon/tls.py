"""TLS for callers and operators, with certificates reloaded while running."""

from __future__ import annotations

import asyncio
import ipaddress
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeAlias

from aspendrift_model.settings_base import SettingProblem
from aspendrift_model.settings_http import HttpSettings

__all__ = [
    "CertificateInvalid",
    "CertificateReloaded",
    "CertificateUnchanged",
    "ReloadResult",
    "ServerTls",
    "transport_problems",
    "watch_certificate",
]

_CERTIFICATE: Final = "http.tls_certificate_file"
_KEY: Final = "http.tls_key_file"


@dataclass(frozen=True, slots=True)
class CertificateUnchanged:
    """The files are those in use."""


@dataclass(frozen=True, slots=True)
class CertificateReloaded:
    """New connections use the new files."""


@dataclass(frozen=True, slots=True)
class CertificateInvalid:
    """The files can't be used; connections keep the certificate in use."""

    detail: str


ReloadResult: TypeAlias = (
    CertificateUnchanged | CertificateReloaded | CertificateInvalid
)
_FileVersions: TypeAlias = tuple[tuple[int, int, int], ...]


class ServerTls:
    """The TLS context of the HTTP server.

    Parameters
    ----------
    certificate_file, key_file : Path
        PEM files of the certificate chain and its private key.
    """

    def __init__(self, certificate_file: Path, key_file: Path) -> None:
        self._certificate_file = certificate_file
        self._key_file = key_file
        self._loaded_versions: _FileVersions | None = None
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2

    def reload(self) -> ReloadResult:
        """Load the files if they changed since the last load.

        A pair of which only one file is replaced does not match and is tried again
        at the next call. The pair is loaded into a separate context first, since
        a failed load would leave the server's context with a mismatched pair.
        """
        try:
            versions = (_stat(self._certificate_file), _stat(self._key_file))
            if versions == self._loaded_versions:
                return CertificateUnchanged()
            self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            self._load(self.context)
        except OSError as error:
            return CertificateInvalid(str(error))
        self._loaded_versions = versions
        return CertificateReloaded()

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._certificate_file, self._key_file)


def _stat(path: Path) -> tuple[int, int, int]:
    status = path.stat()
    return (status.st_mtime_ns, status.st_ino, status.st_size)


async def watch_certificate(
    tls: ServerTls, interval_s: float, report: Callable[[ReloadResult], None]
) -> None:
    """Reload the certificate when its files change, until cancelled."""
    while True:
        await asyncio.sleep(interval_s)
        result = tls.reload()
        if not isinstance(result, CertificateUnchanged):
            report(result)


def transport_problems(http: HttpSettings) -> tuple[SettingProblem, ...]:
    """Return the problems of the transport settings.

    Plaintext is accepted on a loopback address only, unless the settings allow
    it elsewhere.
    """
    problems = [*_address_problems(http)]
    if bool(http.tls_certificate_file) != bool(http.tls_key_file):
        missing = _KEY if http.tls_certificate_file else _CERTIFICATE
        problems.append(
            SettingProblem(missing, "nothing", "a file; set both files or neither")
        )
    elif http.tls_certificate_file:
        problems += _certificate_problems(http)
    return tuple(problems)


def _address_problems(http: HttpSettings) -> list[SettingProblem]:
    try:
        address = ipaddress.ip_address(http.host)
    except ValueError:
        return [SettingProblem("http.host", repr(http.host), "a numeric IP address")]
    encrypted = bool(http.tls_certificate_file)
    if address.is_loopback or encrypted or http.allow_plaintext:
        return []
    allowed = f"a file for {http.host}, or http.allow_plaintext set to true"
    return [SettingProblem(_CERTIFICATE, "nothing", allowed)]


def _certificate_problems(http: HttpSettings) -> list[SettingProblem]:
    tls = ServerTls(Path(http.tls_certificate_file), Path(http.tls_key_file))
    result = tls.reload()
    if not isinstance(result, CertificateInvalid):
        return []
    allowed = "a PEM certificate chain with its private key"
    return [SettingProblem(_CERTIFICATE, result.detail, allowed)]
