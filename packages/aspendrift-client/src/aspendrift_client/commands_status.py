"""The command that shows the state of all daemons."""

from __future__ import annotations

from typing import Final

import click

from aspendrift_client.command_support import output, pass_api
from aspendrift_client.operator_api import OperatorApi
from aspendrift_model.wire_operator import DaemonStatus, StatusBody

__all__ = ["COMMANDS"]

_COLUMNS: Final = (
    "daemon",
    "state",
    "region",
    "zone",
    "revision",
    "confirmed",
    "serving",
)


@click.command("status")
@pass_api
def status_command(api: OperatorApi) -> None:
    """Show the daemons, the revision of each, and which have not confirmed it."""
    body = api.status()
    click.echo(_summary(body), err=True)
    output().write_rows(_COLUMNS, [_row(each, body.revision) for each in body.daemons])


def _summary(body: StatusBody) -> str:
    fresh = "never" if body.fresh_age_s is None else f"{body.fresh_age_s:.1f} s ago"
    serving = (
        "serving" if body.refusal is None else f"not serving: {body.refusal.value}"
    )
    missing = ", ".join(body.unconfirmed) or "none"
    return (
        f"seen from {body.daemon_id}: revision {body.revision}, fresh {fresh},"
        f" {serving}; not confirmed: {missing}"
    )


def _row(daemon: DaemonStatus, newest: int) -> tuple[object, ...]:
    confirmed = daemon.revision is not None and daemon.revision >= newest
    return (
        daemon.daemon_id,
        daemon.state,
        daemon.region,
        daemon.zone,
        daemon.revision,
        "yes" if confirmed else "no",
        "no" if daemon.serving is False else "yes",
    )


COMMANDS: tuple[click.Command, ...] = (status_command,)
