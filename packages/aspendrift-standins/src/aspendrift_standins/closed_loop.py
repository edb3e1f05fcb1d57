"""Closed-loop sender process that keeps a fixed number of requests open."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Final

import click
import httpx
import msgspec

from aspendrift_client.caller import Call, Caller

__all__ = ["LoopCounts", "LoopOptions", "main", "run_loop"]

_MODULE: Final = "aspendrift_standins.closed_loop"


class LoopCounts(msgspec.Struct):
    """Results of one sender."""

    n_answered: int = 0
    n_tokens: int = 0
    n_failed: int = 0
    elapsed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoopOptions:
    """Options of one sender.

    Parameters
    ----------
    n_open : int
        Requests open at the same time.
    duration_s : float
        Period in which requests are started, in seconds.
    """

    name: str
    url: str
    token: str
    profile: str
    n_open: int
    duration_s: float
    stream: bool

    def arguments(self) -> list[str]:
        """Return the interpreter arguments that start a process with these options."""
        arguments = ["-m", _MODULE, self.name, self.url, self.token, self.profile]
        arguments += [str(self.n_open), str(self.duration_s)]
        return [*arguments, "--stream"] if self.stream else arguments


async def run_loop(options: LoopOptions) -> LoopCounts:
    """Send for the duration, then wait for the last answers."""
    counts = LoopCounts()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    headers = {"authorization": f"Bearer {options.token}"}
    started_at = time.monotonic()
    async with httpx.AsyncClient(
        headers=headers, limits=limits, trust_env=False
    ) as client:
        caller = Caller([options.url], client, random.Random(options.name))
        workers = (
            _send_in_loop(caller, options, i, counts) for i in range(options.n_open)
        )
        await asyncio.gather(*workers)
    counts.elapsed_s = time.monotonic() - started_at
    return counts


async def _send_in_loop(
    caller: Caller, options: LoopOptions, index: int, counts: LoopCounts
) -> None:
    until = time.monotonic() + options.duration_s
    n_sent = 0
    while time.monotonic() < until:
        n_sent += 1
        request_id = f"{options.name}-{index}-{n_sent}"
        call = Call(
            request_id,
            options.profile,
            request_id,
            stream=options.stream,
            idempotent=True,
        )
        result = await caller.send(call)
        if result.answered:
            counts.n_answered += 1
            counts.n_tokens += getattr(result.outcome, "n_tokens", 0)
        else:
            counts.n_failed += 1


@click.command()
@click.argument("name")
@click.argument("url")
@click.argument("token")
@click.argument("profile")
@click.argument("n_open", type=int)
@click.argument("duration_s", type=float)
@click.option("--stream", is_flag=True)
def main(
    name: str,
    url: str,
    token: str,
    profile: str,
    n_open: int,
    duration_s: float,
    stream: bool,
) -> None:
    """Run one sender and print its counts."""
    options = LoopOptions(name, url, token, profile, n_open, duration_s, stream)
    counts = asyncio.run(run_loop(options))
    click.echo(msgspec.json.encode(counts).decode())


if __name__ == "__main__":
    main()
