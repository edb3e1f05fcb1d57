"""Commands for requests and addresses."""

from __future__ import annotations

import random
import secrets
import sys
from pathlib import Path

import click
import msgspec

from aspendrift_client.caller import Call, Caller, CallResult, NoOutcome
from aspendrift_client.context import ClientContext, pass_client_context
from aspendrift_client.errors import ExitCode, InvalidInput, Unreached
from aspendrift_client.output import OutputFormat
from aspendrift_client.run_async import fail, run
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.wire_caller import AddressAnswer, OutcomeBody, RequestBody

__all__ = ["COMMANDS"]


@click.group("request")
def request_group() -> None:
    """Send requests and query their outcomes."""


@request_group.command("send")
@click.argument("profile")
@click.option(
    "--input", "text", required=True, help="Input, or @FILE to read it from a file."
)
@click.option("--request-id", default="", help="Idempotency key; generated if absent.")
@click.option(
    "--max-tokens", type=click.IntRange(min=1), help="Maximum length of the answer."
)
@click.option(
    "--deadline-ms",
    type=click.IntRange(min=1),
    help="Time limit of the call with all its attempts.",
)
@click.option("--stream", is_flag=True, help="Print tokens as they arrive.")
@click.option(
    "--idempotent",
    is_flag=True,
    help="The call may run more than once; allow any resend.",
)
@pass_client_context
def send_command(
    context: ClientContext,
    profile: str,
    text: str,
    request_id: str,
    max_tokens: int | None,
    deadline_ms: int | None,
    stream: bool,
    idempotent: bool,
) -> None:
    """Send a request to PROFILE and print its outcome."""
    call = Call(
        request_id=request_id or secrets.token_hex(12),
        profile=profile,
        input=_input_text(text),
        max_tokens=max_tokens,
        deadline_ms=deadline_ms,
        stream=stream,
        idempotent=idempotent,
    )
    _check_call(call)
    shows_tokens = stream and context.output.format is OutputFormat.TABLE
    _print_result(
        context, run(_send(context, call, _TokenPrinter() if shows_tokens else None))
    )


@request_group.command("outcome")
@click.argument("request_id")
@pass_client_context
def outcome_command(context: ClientContext, request_id: str) -> None:
    """Print the outcome of the earlier request REQUEST_ID."""
    _print_result(context, run(_fetch_outcome(context, request_id)))


@click.group("address")
def address_group() -> None:
    """Show which daemons to use."""


@address_group.command("list")
@pass_client_context
def address_list_command(context: ClientContext) -> None:
    """Print the addresses that callers should use, best first."""
    answer = run(_fetch_addresses(context))
    rows = [(a.url, a.daemon_id, a.zone, answer.keep_s) for a in answer.addresses]
    context.output.write_rows(("url", "daemon_id", "zone", "keep_s"), rows)


class _TokenPrinter:
    """Token sink that prints to standard error until the outcome arrives."""

    def token(self, n: int, text: str) -> None:
        click.echo(text, nl=False, err=True)

    def restart(self) -> None:
        click.echo("\n(the answer restarts)", err=True)


def _input_text(text: str) -> str:
    if not text.startswith("@"):
        return text
    try:
        return Path(text[1:]).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        fail(InvalidInput(f"--input: {error}"))


def _check_call(call: Call) -> None:
    """Check a call against the limits of the protocol before it is sent."""
    body = RequestBody(
        request_id=call.request_id,
        profile=call.profile,
        input=call.input,
        max_tokens=call.max_tokens,
        deadline_ms=call.deadline_ms,
    )
    try:
        msgspec.json.decode(msgspec.json.encode(body), type=RequestBody)
    except (msgspec.ValidationError, UnicodeEncodeError) as error:
        fail(InvalidInput(str(error)))


async def _send(
    context: ClientContext, call: Call, sink: _TokenPrinter | None
) -> CallResult:
    async with context.http_client() as client:
        caller = Caller(context.require_addresses(), client, random.Random())
        return await caller.send(call, sink)


async def _fetch_outcome(context: ClientContext, request_id: str) -> CallResult:
    async with context.http_client() as client:
        caller = Caller(context.require_addresses(), client, random.Random())
        return await caller.outcome(request_id)


async def _fetch_addresses(context: ClientContext) -> AddressAnswer:
    async with context.http_client() as client:
        caller = Caller(context.require_addresses(), client, random.Random())
        answer = await caller.addresses()
    if answer is None:
        raise Unreached("no daemon answered")
    return answer


def _print_result(context: ClientContext, result: CallResult) -> None:
    outcome = result.outcome
    if isinstance(outcome, NoOutcome):
        text = f"no outcome: {outcome.detail}; ran: {outcome.ran.value}"
        context.output.write_value(outcome, text)
    else:
        context.output.write_value(outcome, _outcome_text(outcome))
    sys.exit(int(_exit_code(outcome)))


def _outcome_text(outcome: OutcomeBody) -> str:
    if outcome.status is OutcomeStatus.ANSWERED:
        return outcome.output or ""
    reason = outcome.reason.value if outcome.reason else "-"
    action = outcome.action.value if outcome.action else "-"
    lines = [
        f"{outcome.status.value}: {reason}; ran: {outcome.ran.value}; you may: {action}"
    ]
    lines += [part for part in (outcome.sentence, outcome.detail) if part]
    if outcome.retry_after_ms is not None:
        lines.append(f"retry after {outcome.retry_after_ms} ms")
    return "\n".join(lines)


def _exit_code(outcome: OutcomeBody | NoOutcome) -> ExitCode:
    if isinstance(outcome, NoOutcome):
        return ExitCode.UNREACHED if outcome.ran is Ran.NO else ExitCode.UNKNOWN
    if outcome.status is OutcomeStatus.ANSWERED:
        return ExitCode.OK
    if outcome.ran is Ran.NO:
        return ExitCode.REFUSED
    return ExitCode.UNKNOWN if outcome.ran is Ran.UNKNOWN else ExitCode.FAILED


COMMANDS: tuple[click.Command, ...] = (request_group, address_group)
