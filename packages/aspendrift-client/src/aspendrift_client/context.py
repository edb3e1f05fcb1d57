"""Global options of the client commands: addresses, token, TLS and output."""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field

import click
import httpx

from aspendrift_client.errors import ConfigurationMissing
from aspendrift_client.output import OutputWriter

__all__ = ["ClientContext", "pass_client_context"]


@dataclass(frozen=True, slots=True)
class ClientContext:
    """The global options of ``aspendrift``; the ``obj`` of click's context.

    Parameters
    ----------
    addresses : tuple of str
        Base URLs of the first daemons to contact, in order of preference.
    token : str
        Bearer token of a client account or an operator; empty sends none.
    ca_file : str
        PEM file with the certificate authorities to trust; empty uses those
        of the system.
    timeout_s : float
        Time-out of one HTTP request, in seconds.
    """

    addresses: tuple[str, ...] = ()
    token: str = field(default="", repr=False)
    ca_file: str = ""
    timeout_s: float = 10.0
    output: OutputWriter = OutputWriter()

    def require_addresses(self) -> tuple[str, ...]:
        """Return the addresses.

        Raises
        ------
        ConfigurationMissing
            If none was given.
        """
        if not self.addresses:
            raise ConfigurationMissing(
                "no daemon address: give --address URL or set ASPENDRIFT_ADDRESS"
            )
        return self.addresses

    def headers(self) -> dict[str, str]:
        """Return the headers to send with each HTTP request."""
        return {"authorization": f"Bearer {self.token}"} if self.token else {}

    def tls_context(self) -> ssl.SSLContext:
        """Return the TLS context for ``https`` addresses."""
        return ssl.create_default_context(cafile=self.ca_file or None)

    def http_client(self, base_url: str = "") -> httpx.AsyncClient:
        """Return an HTTP client with token, TLS context and time-out set."""
        return httpx.AsyncClient(
            base_url=base_url,
            headers=self.headers(),
            verify=self.tls_context(),
            timeout=self.timeout_s,
            trust_env=False,
        )

    def blocking_client(self) -> httpx.Client:
        """Return a blocking HTTP client with token, TLS context and time-out set."""
        return httpx.Client(
            headers=self.headers(),
            verify=self.tls_context(),
            timeout=self.timeout_s,
            trust_env=False,
        )


pass_client_context = click.make_pass_decorator(ClientContext)
