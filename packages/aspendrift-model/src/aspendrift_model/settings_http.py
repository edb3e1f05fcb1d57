"""Settings of the HTTP server: address, TLS, limits and operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from aspendrift_model.settings_base import setting

__all__ = ["HttpSettings", "OperatorRole", "OperatorToken"]


class OperatorRole(Enum):
    """Permission of an operator; each role includes the roles listed before it."""

    READ = "read"
    PUBLISH = "publish"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class OperatorToken:
    """A bearer token of an operator, stored as its SHA-256 digest."""

    name: str = setting(doc="Name of the operator, recorded for audits.")
    sha256: str = setting(doc="Hex SHA-256 of the token.")
    roles: tuple[OperatorRole, ...] = setting(
        (OperatorRole.READ,), doc="Roles granted."
    )


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """HTTP endpoint of the daemon for callers and operators."""

    host: str = setting("127.0.0.1", doc="IP address to listen on.")
    port: int = setting(
        0, doc="TCP port; 0 selects a free one.", minimum=0, maximum=65535
    )
    advertise_url: str = setting(
        "", doc="URL announced to callers; if empty, derived from host and port."
    )
    tls_certificate_file: str = setting("", doc="PEM certificate chain.")
    tls_key_file: str = setting("", doc="PEM private key.")
    allow_plaintext: bool = setting(
        False, doc="Whether to serve without TLS on an address other than loopback."
    )
    operators: tuple[OperatorToken, ...] = setting((), doc="Operator tokens.")
    max_connections: int = setting(
        2048, doc="Maximum number of open connections.", minimum=1
    )
    max_header_bytes: int = setting(
        16_384, unit="bytes", doc="Maximum size of a request header.", minimum=1024
    )
    header_timeout_s: float = setting(
        10.0,
        unit="s",
        doc="Timeout for receiving a complete request header.",
        minimum=0.1,
    )
    body_timeout_s: float = setting(
        10.0,
        unit="s",
        doc="Timeout for receiving a complete request body.",
        minimum=0.1,
    )
    rotation_check_s: float = setting(
        5.0,
        unit="s",
        doc="Interval of checks for replaced certificates and token files.",
        minimum=0.1,
    )
