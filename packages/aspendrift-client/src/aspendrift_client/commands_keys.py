"""Commands that generate keys, tokens and test certificates."""

from __future__ import annotations

import datetime
from pathlib import Path

import click
import zmq

from aspendrift_client.context import ClientContext, pass_client_context
from aspendrift_client.errors import InvalidInput
from aspendrift_client.key_files import new_token, write_certificates, write_private
from aspendrift_client.run_async import fail

__all__ = ["COMMANDS"]

_FOLDER = click.Path(path_type=Path, file_okay=False)


@click.group("keys")
def keys_group() -> None:
    """Generate keys, tokens and test certificates."""


@keys_group.group("new")
def new_group() -> None:
    """Generate a key, certificate or token; existing files are never overwritten."""


@new_group.command("peer")
@click.argument("folder", type=_FOLDER)
@pass_client_context
def new_peer_command(context: ClientContext, folder: Path) -> None:
    """Write a CURVE key pair for a daemon to FOLDER."""
    public, secret = zmq.curve_keypair()
    public_file, secret_file = folder / "peer.pub", folder / "peer.key"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        write_private(secret_file, secret)
        public_file.write_bytes(public)
    except OSError as error:
        fail(InvalidInput(str(error)))
    rows = [(public.decode(), str(secret_file), str(public_file))]
    context.output.write_rows(("public_key", "secret_file", "public_file"), rows)


@new_group.command("certificates")
@click.argument("folder", type=_FOLDER)
@click.option(
    "--address",
    "addresses",
    multiple=True,
    default=("127.0.0.1",),
    help="Numeric address that the certificate is valid for; may be repeated.",
)
@pass_client_context
def new_certificates_command(
    context: ClientContext, folder: Path, addresses: tuple[str, ...]
) -> None:
    """Write a test certificate authority and a server certificate to FOLDER."""
    now = datetime.datetime.now(datetime.UTC)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        issued = write_certificates(folder, addresses, now)
    except (OSError, ValueError) as error:
        fail(InvalidInput(str(error)))
    row = (issued.ca_file, issued.certificate_file, issued.key_file)
    columns = ("ca_file", "certificate_file", "key_file")
    context.output.write_rows(columns, [tuple(str(path) for path in row)])


@new_group.command("token")
@pass_client_context
def new_token_command(context: ClientContext) -> None:
    """Print a bearer token and its SHA-256 hash for settings and accounts."""
    pair = new_token()
    context.output.write_rows(("token", "sha256"), [(pair.token, pair.sha256)])


COMMANDS: tuple[click.Command, ...] = (keys_group,)
