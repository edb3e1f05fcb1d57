"""Shared parts of the operator commands: API access, options and output."""

from __future__ import annotations

import functools
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Final, NoReturn, TypeVar

import click
import httpx
import msgspec

from aspendrift_client.context import ClientContext
from aspendrift_client.errors import ClientError, ExitCode
from aspendrift_client.operator_api import (
    NoDaemonAnswered,
    OperatorApi,
    new_change_id,
)
from aspendrift_client.output import OutputWriter
from aspendrift_client.run_async import fail
from aspendrift_model.states import ItemKind
from aspendrift_model.wire_operator import (
    ChangeAnswer,
    ChangeBody,
    ChangeList,
    ChangeRequest,
    ChangeStatus,
)

__all__ = [
    "ChangeConflict",
    "ChangeFailed",
    "ChangeOptions",
    "ChangeOutcomeUnknown",
    "ChangeRefused",
    "change_options",
    "make_change",
    "output",
    "pass_api",
    "seen_revision",
    "show_changes",
    "show_json",
]

_F = TypeVar("_F", bound=Callable[..., Any])
_DEFAULT_WAIT_S: Final = 30.0
_CALL_TIMEOUT_S: Final = 20.0
_CHANGE_COLUMNS: Final = (
    "revision",
    "kind",
    "name",
    "operator",
    "time",
    "replaces",
    "change_id",
    "note",
)
_RECORDED: Final = frozenset(
    {ChangeStatus.RECORDED, ChangeStatus.ACCEPTED, ChangeStatus.IN_FORCE}
)


class ChangeFailed(ClientError):
    """A change is recorded, but not in force on every daemon before the timeout."""


class ChangeRefused(ClientError):
    """A change was not made."""

    exit_code = ExitCode.REFUSED


class ChangeConflict(ClientError):
    """Another operator changed the item first."""

    exit_code = ExitCode.CONFLICT


class ChangeOutcomeUnknown(ClientError):
    """A change may or may not have been made."""

    exit_code = ExitCode.UNKNOWN


class ChangeOptions(msgspec.Struct, frozen=True):
    """Options of the commands that make a change."""

    change_id: str
    seen: int | None
    note: str
    wait: bool
    timeout_s: float


def pass_api(command: _F) -> _F:
    """Pass the API as the first argument of a command; turn errors into exit codes."""

    @click.pass_obj
    @functools.wraps(command)
    def wrapped(context: ClientContext, *args: Any, **values: Any) -> Any:
        try:
            urls = context.require_addresses()
            trust = context.tls_context()
            with httpx.Client(
                verify=trust, timeout=_CALL_TIMEOUT_S, trust_env=False
            ) as client:
                api = OperatorApi(urls, context.token, client)
                return command(api, *args, **values)
        except ClientError as error:
            fail(error)

    return wrapped  # type: ignore[return-value]


def change_options(command: _F) -> _F:
    """Add the options of a change, passed to the command as ``ChangeOptions``."""

    @click.option(
        "--change-id", default="", help="Id of an earlier change, to retry it."
    )
    @click.option(
        "--seen", type=int, help="Revision of the item on which the change is based."
    )
    @click.option(
        "--note", default="", help="Reason for the change, kept in its history."
    )
    @click.option("--wait/--no-wait", default=False, help="Wait until in force.")
    @click.option("--timeout", default=_DEFAULT_WAIT_S, help="Seconds to wait.")
    @functools.wraps(command)
    def wrapped(
        *args: Any,
        change_id: str,
        seen: int | None,
        note: str,
        wait: bool,
        timeout: float,
        **values: Any,
    ) -> Any:
        options = ChangeOptions(change_id or new_change_id(), seen, note, wait, timeout)
        return command(*args, options=options, **values)

    return wrapped  # type: ignore[return-value]


def seen_revision(
    api: OperatorApi, kind: ItemKind, name: str, options: ChangeOptions
) -> int:
    """Return the revision given by ``--seen``, by default the one in force."""
    if options.seen is not None:
        return options.seen
    item = api.find_item(kind, name)
    return 0 if item is None else item.revision


def make_change(
    api: OperatorApi,
    kind: ItemKind,
    name: str,
    seen: int,
    body: bytes,
    options: ChangeOptions,
) -> None:
    """Submit a change, print its status, and wait until it is in force if requested."""
    raw = msgspec.Raw(body)
    change = ChangeRequest(options.change_id, kind, name, seen, raw, options.note)
    try:
        answer = api.make_change(change)
    except NoDaemonAnswered as failure:
        _fail_unknown(options.change_id, str(failure))
    _show_answer(answer)
    if answer.status is ChangeStatus.UNKNOWN:
        _fail_unknown(options.change_id, answer.detail)
    if answer.status not in _RECORDED:
        _fail_refused(answer)
    if options.wait and answer.status is not ChangeStatus.IN_FORCE:
        answer = api.wait_in_force(options.change_id, options.timeout_s, _show_answer)
        if answer.status is not ChangeStatus.IN_FORCE:
            raise ChangeFailed(
                "the change was not in force on every daemon before the timeout"
            )


def output() -> OutputWriter:
    """Return the output writer selected by the global options."""
    context = click.get_current_context().find_object(ClientContext)
    return OutputWriter() if context is None else context.output


def show_json(body: msgspec.Struct) -> None:
    """Print a body as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(body), indent=2).decode())


def show_changes(changes: ChangeList) -> None:
    """Print one row for each change."""
    output().write_rows(_CHANGE_COLUMNS, [_change_row(c) for c in changes.changes])


def _show_answer(answer: ChangeAnswer) -> None:
    click.echo(_status_line(answer))


def _status_line(answer: ChangeAnswer) -> str:
    text = f"change {answer.change_id}: {answer.status.value}"
    if answer.revision:
        held = f"{answer.n_held} of {answer.n_view} daemons"
        text += f", revision {answer.revision}, held by {held}"
    if answer.unconfirmed:
        text += f", not confirmed: {', '.join(answer.unconfirmed)}"
    if answer.other is not None:
        text += f"; the item was changed by {_change_summary(answer.other)}"
    return f"{text}; {answer.detail}" if answer.detail else text


def _change_row(change: ChangeBody) -> tuple[object, ...]:
    at = datetime.fromtimestamp(change.at_unix_s, UTC).isoformat(timespec="seconds")
    return (
        change.revision,
        change.kind.value,
        change.name,
        change.operator,
        at,
        change.previous_revision,
        change.change_id,
        change.note,
    )


def _change_summary(change: ChangeBody) -> str:
    item = f"{change.kind.value}/{change.name}"
    note = f" ({change.note})" if change.note else ""
    return f"{change.operator}: {item} revision {change.revision}{note}"


def _fail_refused(answer: ChangeAnswer) -> NoReturn:
    if answer.status is ChangeStatus.CONFLICT:
        raise ChangeConflict("the item was changed after the expected revision")
    raise ChangeRefused("the change was not made")


def _fail_unknown(change_id: str, detail: str) -> NoReturn:
    raise ChangeOutcomeUnknown(
        f"outcome unknown: {detail}; check with: aspendrift change show {change_id}"
    )
