"""Commands that change and show profiles, targets, client accounts and changes."""

from __future__ import annotations

import difflib
import hashlib
import json
import secrets
from typing import Any, Final

import click
import msgspec

from aspendrift_client.command_support import (
    ChangeOptions,
    change_options,
    make_change,
    output,
    pass_api,
    seen_revision,
    show_changes,
    show_json,
)
from aspendrift_client.errors import InvalidInput, RefusedByDaemon
from aspendrift_client.operator_api import OperatorApi
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.states import ItemKind, ProfileState, TargetState
from aspendrift_model.wire_operator import ItemBody

__all__ = ["COMMANDS"]

_NAME_FIELDS: Final = {
    ItemKind.PROFILE: "name",
    ItemKind.TARGET: "target_id",
    ItemKind.ACCOUNT: "account_id",
}
_TOKEN_BYTES: Final = 32
_FILE: Final = click.Path(dir_okay=False, allow_dash=True)


@click.group()
def profile() -> None:
    """Publish, revise, retire and show profiles."""


@profile.command("publish")
@click.argument("file", type=_FILE)
@pass_api
@change_options
def publish_profile(api: OperatorApi, file: str, options: ChangeOptions) -> None:
    """Publish a new profile from a JSON FILE."""
    body = _read_object(file)
    seen = 0 if options.seen is None else options.seen
    _put_item(api, ItemKind.PROFILE, body, seen, options)


@profile.command("revise")
@click.argument("file", type=_FILE)
@pass_api
@change_options
def revise_profile(api: OperatorApi, file: str, options: ChangeOptions) -> None:
    """Replace a profile with the one in a JSON FILE."""
    body = _read_object(file)
    name = _item_name(ItemKind.PROFILE, body)
    seen = seen_revision(api, ItemKind.PROFILE, name, options)
    _put_item(api, ItemKind.PROFILE, body, seen, options)


@profile.command("retire")
@click.argument("name")
@pass_api
@change_options
def retire_profile(api: OperatorApi, name: str, options: ChangeOptions) -> None:
    """Retire a profile: requests that name it are refused."""
    item = _require_item(api, ItemKind.PROFILE, name)
    body = json.loads(bytes(item.body)) | {"state": ProfileState.RETIRED.value}
    _put_item(api, ItemKind.PROFILE, body, _expected_revision(item, options), options)


@profile.command("diff")
@click.argument("name")
@click.argument("first", type=int)
@click.argument("second", type=int)
@pass_api
def diff_profile(api: OperatorApi, name: str, first: int, second: int) -> None:
    """Show how a profile changed between two of its revisions."""
    history = api.item_history(ItemKind.PROFILE, name)
    bodies = {change.revision: bytes(change.body) for change in history.changes}
    missing = [str(each) for each in (first, second) if each not in bodies]
    if missing:
        raise RefusedByDaemon(f"the profile has no revision {', '.join(missing)}")
    lines = difflib.unified_diff(
        _json_lines(bodies[first]),
        _json_lines(bodies[second]),
        f"revision {first}",
        f"revision {second}",
        lineterm="",
    )
    for line in lines:
        click.echo(line)


@click.group()
def target() -> None:
    """Add, drain, remove and show targets."""


@target.command("add")
@click.argument("file", type=_FILE)
@pass_api
@change_options
def add_target(api: OperatorApi, file: str, options: ChangeOptions) -> None:
    """Add a target, or replace one, from a JSON FILE."""
    body = _read_object(file)
    name = _item_name(ItemKind.TARGET, body)
    seen = seen_revision(api, ItemKind.TARGET, name, options)
    _put_item(api, ItemKind.TARGET, body, seen, options)


@target.command("drain")
@click.argument("name")
@pass_api
@change_options
def drain_target(api: OperatorApi, name: str, options: ChangeOptions) -> None:
    """Stop sending new work to a target; work in flight is finished."""
    item = _require_item(api, ItemKind.TARGET, name)
    body = json.loads(bytes(item.body)) | {"state": TargetState.DRAINING.value}
    _put_item(api, ItemKind.TARGET, body, _expected_revision(item, options), options)


@target.command("remove")
@click.argument("name")
@pass_api
@change_options
def remove_target(api: OperatorApi, name: str, options: ChangeOptions) -> None:
    """Remove a target that was drained."""
    seen = seen_revision(api, ItemKind.TARGET, name, options)
    make_change(api, ItemKind.TARGET, name, seen, b"null", options)


@target.command("show")
@click.argument("name")
@pass_api
def show_target(api: OperatorApi, name: str) -> None:
    """Show a target and the work in flight on it."""
    show_json(_require_item(api, ItemKind.TARGET, name))
    show_json(api.in_flight(name))


@click.group()
def account() -> None:
    """Add, change, remove and show client accounts."""


@account.command("add")
@click.argument("name")
@click.option("--share", default=1.0, help="Weight of the account's fair share.")
@click.option("--token-sha256", default="", help="Hex SHA-256 of the token.")
@pass_api
@change_options
def add_account(
    api: OperatorApi,
    name: str,
    share: float,
    token_sha256: str,
    options: ChangeOptions,
) -> None:
    """Add a client account; generate and print a token unless its hash is given."""
    token = ""
    if not token_sha256:
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        token_sha256 = hashlib.sha256(token.encode()).hexdigest()
    body = {"account_id": name, "token_sha256": token_sha256, "share": share}
    seen = 0 if options.seen is None else options.seen
    if token:
        click.echo(f"token: {token}")
    _put_item(api, ItemKind.ACCOUNT, body, seen, options)


@account.command("share")
@click.argument("name")
@click.argument("share", type=float)
@pass_api
@change_options
def share_account(
    api: OperatorApi, name: str, share: float, options: ChangeOptions
) -> None:
    """Set the weight of an account's fair share."""
    item = _require_item(api, ItemKind.ACCOUNT, name)
    body = json.loads(bytes(item.body)) | {"share": share}
    _put_item(api, ItemKind.ACCOUNT, body, _expected_revision(item, options), options)


@account.command("remove")
@click.argument("name")
@pass_api
@change_options
def remove_account(api: OperatorApi, name: str, options: ChangeOptions) -> None:
    """Remove a client account."""
    seen = seen_revision(api, ItemKind.ACCOUNT, name, options)
    make_change(api, ItemKind.ACCOUNT, name, seen, b"null", options)


@click.group()
def change() -> None:
    """Show and abandon changes by their id."""


@change.command("show")
@click.argument("change_id")
@pass_api
def show_change(api: OperatorApi, change_id: str) -> None:
    """Show the status of a change."""
    show_json(api.find_change(change_id))


@change.command("abandon")
@click.argument("change_id")
@pass_api
def abandon_change(api: OperatorApi, change_id: str) -> None:
    """Make sure that a change never takes effect, unless it already has."""
    show_json(api.abandon_change(change_id))


@change.command("list")
@click.option("--after", default=0, help="Revision after which the list starts.")
@click.option("--limit", default=100, help="Maximum number of changes.")
@pass_api
def list_changes(api: OperatorApi, after: int, limit: int) -> None:
    """List the changes and who made them, oldest first."""
    show_changes(api.list_changes(after, limit))


def _add_read_commands(group: click.Group, kind: ItemKind) -> None:
    """Add the list, history and show commands for one kind of item."""

    @group.command("list")
    @pass_api
    def list_items(api: OperatorApi) -> None:
        """List the items in force."""
        rows = [
            (item.name, item.revision, json.loads(bytes(item.body)).get("state"))
            for item in api.list_items(kind).items
        ]
        output().write_rows(("name", "revision", "state"), rows)

    @group.command("history")
    @click.argument("name")
    @pass_api
    def item_history(api: OperatorApi, name: str) -> None:
        """List the changes of an item, oldest first."""
        show_changes(api.item_history(kind, name))

    if "show" not in group.commands:

        @group.command("show")
        @click.argument("name")
        @pass_api
        def show_item(api: OperatorApi, name: str) -> None:
            """Show an item in force."""
            show_json(_require_item(api, kind, name))


def _read_object(file: str) -> dict[str, Any]:
    try:
        with click.open_file(file, "rb") as opened:
            return msgspec.json.decode(opened.read(), type=dict[str, Any])
    except OSError as error:
        raise InvalidInput(str(error)) from error
    except DECODE_ERRORS as error:
        raise InvalidInput(f"the file is not a JSON object: {error}") from error


def _item_name(kind: ItemKind, body: dict[str, Any]) -> str:
    field = _NAME_FIELDS[kind]
    name = body.get(field)
    if not isinstance(name, str):
        raise InvalidInput(f"the file has no text field {field!r}")
    return name


def _put_item(
    api: OperatorApi,
    kind: ItemKind,
    body: dict[str, Any],
    seen: int,
    options: ChangeOptions,
) -> None:
    content = msgspec.json.encode(body)
    make_change(api, kind, _item_name(kind, body), seen, content, options)


def _require_item(api: OperatorApi, kind: ItemKind, name: str) -> ItemBody:
    item = api.find_item(kind, name)
    if item is None:
        raise RefusedByDaemon(f"there is no {kind.value} {name!r} in force")
    return item


def _expected_revision(item: ItemBody, options: ChangeOptions) -> int:
    return item.revision if options.seen is None else options.seen


def _json_lines(body: bytes) -> list[str]:
    return json.dumps(json.loads(body), indent=2).splitlines()


_add_read_commands(profile, ItemKind.PROFILE)
_add_read_commands(target, ItemKind.TARGET)
_add_read_commands(account, ItemKind.ACCOUNT)

COMMANDS: tuple[click.Command, ...] = (profile, target, account, change)
