"""The command that shows the state of all daemons."""

from __future__ import annotations

import click

from aspendrift_client.command_support import show_failures, show_json
from aspendrift_client.operator_api import OperatorApi
from aspendrift_model.wire_operator import DaemonStatus, StatusBody

__all__ = ["COMMANDS"]


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
@show_failures
def status(api: OperatorApi, as_json: bool) -> None:
    """Show the daemons, the revision each holds, and who has not confirmed."""
    body = api.status()
    if as_json:
        show_json(body)
        return
    click.echo(_summary(body))
    for daemon in body.daemons:
        click.echo(_line(daemon, body.revision))


def _summary(body: StatusBody) -> str:
    fresh = "never" if body.fresh_age_s is None else f"{body.fresh_age_s:.1f} s ago"
    serving = (
        "serving" if body.refusal is None else f"not serving: {body.refusal.value}"
    )
    text = f"{body.daemon_id}: revision {body.revision}, fresh {fresh}, {serving}"
    missing = ", ".join(body.unconfirmed) or "none"
    return f"{text}\nnot confirmed: {missing}"


def _line(daemon: DaemonStatus, newest: int) -> str:
    held = "?" if daemon.revision is None else str(daemon.revision)
    behind = "" if daemon.revision == newest else " (behind)"
    serving = "" if daemon.serving is not False else " not serving"
    place = f"{daemon.region}/{daemon.zone}"
    state = daemon.state.value
    return f"  {daemon.daemon_id} {state}{serving} {place} revision {held}{behind}"


COMMANDS: tuple[click.Command, ...] = (status,)
