"""Commands that show placement and cost."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import TypeVar

import click
import httpx
import msgspec

from aspendrift_client.context import ClientContext, pass_client_context
from aspendrift_client.errors import InvalidInput, Unreached
from aspendrift_client.exchange import fetch_addresses
from aspendrift_client.run_async import fail, run
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.wire_placement import (
    CostBody,
    CostRow,
    EngineRow,
    PlacementBody,
    PoolPlacement,
)

__all__ = ["COMMANDS"]

_T = TypeVar("_T")


class CostGroup(Enum):
    """Keys by which costs are summed."""

    STAGE = "stage"
    PROFILE = "profile"
    ACCOUNT = "account"


@click.group("placement")
def placement_group() -> None:
    """Show which engines hold which models, and why."""


@placement_group.command("show")
@pass_client_context
def show_command(context: ClientContext) -> None:
    """Print the engines of every pool with their roles and models."""
    rows = [
        (
            placement.pool,
            engine.target_id,
            engine.zone,
            engine.role,
            _listed(engine.models),
            _listed(engine.planned_models),
            engine.reason,
        )
        for placement in _placements(context)
        for engine in placement.engines
    ]
    columns = ("pool", "target", "zone", "role", "models", "planned", "reason")
    context.output.write_rows(columns, rows)


@placement_group.command("explain")
@click.argument("target_id")
@pass_client_context
def explain_command(context: ClientContext, target_id: str) -> None:
    """Explain why the engine TARGET_ID has its role and models."""
    for placement in _placements(context):
        for engine in placement.engines:
            if engine.target_id == target_id:
                text = explanation(placement, engine)
                context.output.write_value(engine, text)
                return
    fail(InvalidInput(f"no pool places an engine {target_id}"))


@click.command("cost")
@click.option(
    "--by",
    type=click.Choice([group.value for group in CostGroup]),
    default=CostGroup.STAGE.value,
    show_default=True,
    help="Key to sum by.",
)
@pass_client_context
def cost_command(context: ClientContext, by: str) -> None:
    """Print engine time held and busy, in seconds, summed over all daemons."""
    bodies = run(_query_all(context, "/v1/cost", CostBody))
    rows = summed_costs((row for body in bodies for row in body.rows), CostGroup(by))
    context.output.write_rows((by, "attempts", "answered", "held_s", "busy_s"), rows)


def explanation(placement: PoolPlacement, engine: EngineRow) -> str:
    """Return a text that explains why an engine has its role and models."""
    lines = [
        f"{engine.target_id} in pool {placement.pool}: role {engine.role.value},"
        f" because of {engine.reason or 'no plan yet'}",
        f"decided by {placement.holder} under fencing number {placement.fencing},"
        f" from a state {engine.age_s:.1f} s old",
    ]
    for model in sorted({*engine.models, *engine.planned_models, *engine.loading}):
        lines.append(f"  {model}: {_model_sentence(placement, engine, model)}")
    return "\n".join(lines)


def summed_costs(
    rows: Iterable[CostRow], group: CostGroup
) -> list[tuple[str, int, int, float, float]]:
    """Return costs summed by stage, profile or account, highest first."""
    sums: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0.0, 0.0])
    for row in rows:
        name = {
            CostGroup.STAGE: row.stage,
            CostGroup.PROFILE: row.profile,
            CostGroup.ACCOUNT: row.account_id,
        }[group]
        values = (row.n_attempts, row.n_answered, row.held_s, row.busy_s)
        sums[name] = [a + b for a, b in zip(sums[name], values, strict=True)]
    ordered = sorted(sums.items(), key=lambda item: -item[1][2])
    return [(name, int(v[0]), int(v[1]), v[2], v[3]) for name, v in ordered]


def _model_sentence(placement: PoolPlacement, engine: EngineRow, model: str) -> str:
    state = "loaded" if model in engine.models else "not loaded"
    if model in engine.loading:
        state = "loading"
    reason = engine.reasons_by_model.get(model, "not in the plan")
    current = placement.current_by_model.get(model, 0.0)
    expected = placement.expected_by_model.get(model)
    expected_text = (
        "no forecast yet" if expected is None else f"{expected:.1f} expected"
    )
    return f"{state}, {reason}; slots requested: {current:.1f} now, {expected_text}"


def _listed(names: Sequence[str]) -> str:
    return ",".join(names)


def _placements(context: ClientContext) -> list[PoolPlacement]:
    bodies = run(_query_all(context, "/v1/placement", PlacementBody))
    newest: dict[str, PoolPlacement] = {}
    for body in bodies:
        for placement in body.pools:
            known = newest.get(placement.pool)
            if known is None or placement.fencing > known.fencing:
                newest[placement.pool] = placement
    return [newest[pool] for pool in sorted(newest)]


async def _query_all(context: ClientContext, path: str, kind: type[_T]) -> list[_T]:
    """Query the given daemons and all others that they list."""
    async with context.http_client() as client:
        urls = set(context.require_addresses())
        for url in tuple(urls):
            answer = await fetch_addresses(client, url, context.timeout_s)
            urls.update(a.url for a in (answer.addresses if answer else ()))
        queries = (_query(client, url + path, kind) for url in sorted(urls))
        answers = await asyncio.gather(*queries)
    found = [answer for answer in answers if answer is not None]
    if not found:
        raise Unreached("no daemon answered")
    return found


async def _query(client: httpx.AsyncClient, url: str, kind: type[_T]) -> _T | None:
    try:
        response = await client.get(url)
        return msgspec.json.decode(response.content, type=kind)
    except (httpx.HTTPError, *DECODE_ERRORS):
        return None


COMMANDS: tuple[click.Command, ...] = (placement_group, cost_command)
