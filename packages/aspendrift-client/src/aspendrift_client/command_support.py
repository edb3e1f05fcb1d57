"""What the operator's commands share: exit codes, options and output."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable
from typing import Any, Final, NoReturn, TypeVar

import click
import msgspec

from aspendrift_client.operator_api import (
    CallRefused,
    NoDaemonAnswered,
    OperatorApi,
    new_change_id,
)
from aspendrift_model.states import ItemKind
from aspendrift_model.wire_operator import (
    ChangeAnswer,
    ChangeBody,
    ChangeList,
    ChangeRequest,
    ChangeStatus,
)

__all__ = [
    "ChangeOptions",
    "CommandFailed",
    "ExitCode",
    "change_options",
    "make_change",
    "seen_revision",
    "show_changes",
    "show_failures",
    "show_json",
]

_F = TypeVar("_F", bound=Callable[..., Any])
_DEFAULT_WAIT_S: Final = 30.0
_RECORDED: Final = frozenset(
    {ChangeStatus.RECORDED, ChangeStatus.ACCEPTED, ChangeStatus.IN_FORCE}
)


class ExitCode:
    """Exit codes of the commands."""

    REFUSED: Final = 1
    UNKNOWN: Final = 3
    NOT_IN_FORCE: Final = 4


class CommandFailed(click.ClickException):
    """A failed command with its exit code."""

    def __init__(self, message: str, exit_code: int = ExitCode.REFUSED) -> None:
        super().__init__(message)
        self.exit_code = exit_code  # type: ignore[misc]


class ChangeOptions(msgspec.Struct, frozen=True):
    """Options of every command that makes a change."""

    change_id: str
    seen: int | None
    note: str
    wait: bool
    timeout_s: float


def show_failures(command: _F) -> _F:
    """Turn the failures of a call into a message and an exit code."""

    @functools.wraps(command)
    def wrapped(*args: Any, **values: Any) -> Any:
        try:
            return command(*args, **values)
        except CallRefused as refusal:
            raise CommandFailed(f"refused: {refusal}") from refusal
        except NoDaemonAnswered as failure:
            message = f"no daemon answered: {failure}"
            raise CommandFailed(message, ExitCode.UNKNOWN) from failure

    return wrapped  # type: ignore[return-value]


def change_options(command: _F) -> _F:
    """Add the options of a change; the command gets one ``ChangeOptions``."""

    @click.option("--change-id", default="", help="Id of an earlier try, to repeat it.")
    @click.option("--seen", type=int, help="Revision of the item that you saw.")
    @click.option("--note", default="", help="Why, for the audit.")
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
    """Return the revision that the operator saw, by default the one in force."""
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
    """Ask for a change, show what became of it, and wait if told to."""
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
        raise CommandFailed(_sentence(answer))
    if options.wait and answer.status is not ChangeStatus.IN_FORCE:
        answer = api.wait_in_force(options.change_id, options.timeout_s, _show_answer)
        if answer.status is not ChangeStatus.IN_FORCE:
            raise CommandFailed(_sentence(answer), ExitCode.NOT_IN_FORCE)


def show_json(body: msgspec.Struct) -> None:
    """Print a body as indented JSON."""
    click.echo(json.dumps(msgspec.to_builtins(_plain(body)), indent=2))


def show_changes(changes: ChangeList) -> None:
    """Print one line for each change."""
    for change in changes.changes:
        click.echo(_change_line(change))


def _plain(body: msgspec.Struct) -> Any:
    return msgspec.json.decode(msgspec.json.encode(body))


def _show_answer(answer: ChangeAnswer) -> None:
    click.echo(_sentence(answer))


def _sentence(answer: ChangeAnswer) -> str:
    text = f"change {answer.change_id}: {answer.status.value}"
    if answer.revision:
        held = f"{answer.n_held} of {answer.n_view} daemons"
        text += f", revision {answer.revision}, held by {held}"
    if answer.unconfirmed:
        text += f", not confirmed: {', '.join(answer.unconfirmed)}"
    if answer.other is not None:
        text += f"; it was changed by {_change_line(answer.other)}"
    return f"{text}; {answer.detail}" if answer.detail else text


def _change_line(change: ChangeBody) -> str:
    item = f"{change.kind.value}/{change.name}"
    removed = " removed" if bytes(change.body) == b"null" else ""
    note = f" ({change.note})" if change.note else ""
    when = f"at {change.at_unix_s:.3f}"
    return (
        f"revision {change.revision} {item}{removed} by {change.operator} {when}{note}"
    )


def _fail_unknown(change_id: str, detail: str) -> NoReturn:
    message = f"outcome unknown: {detail}; ask with: aspendrift change show {change_id}"
    raise CommandFailed(message, ExitCode.UNKNOWN)
