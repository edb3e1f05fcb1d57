"""Base of the platform's stand-ins, which applies faults to requests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TypeAlias

from aspendrift_standins.exchange import Exchange
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.process import StandIn

__all__ = ["Effect", "PlatformStandIn"]

Effect: TypeAlias = Callable[[float], tuple[int, object]]


class PlatformStandIn(StandIn):
    """Platform service whose requests are subject to the current faults."""

    def __init__(self, faults: PlatformFaults) -> None:
        super().__init__(faults)
        self._late_effects: set[asyncio.Task[None]] = set()

    async def perform(self, exchange: Exchange, effect: Effect) -> None:
        """Run an effect and answer with its result, subject to the current faults."""
        faults = self.faults.current(PlatformFaults)
        draw = self.faults.draw
        if draw(faults.slow_share):
            await asyncio.sleep(faults.slow_s)
        if draw(faults.down_share):
            await exchange.reply(503)
        elif draw(faults.drop_share):
            exchange.drop()
        elif draw(faults.late_effect_share):
            self._schedule(effect, faults.late_effect_s)
            exchange.drop()
        else:
            await self._answer(exchange, effect, draw(faults.answer_lost_share))

    async def _answer(self, exchange: Exchange, effect: Effect, lost: bool) -> None:
        status, message = effect(time.monotonic())
        if lost:
            exchange.drop()
        elif isinstance(message, bytes):
            await exchange.reply_bytes(status, message, b"application/octet-stream")
        else:
            await exchange.reply(status, message)

    def _schedule(self, effect: Effect, delay_s: float) -> None:
        async def run() -> None:
            await asyncio.sleep(delay_s)
            effect(time.monotonic())

        task = asyncio.create_task(run())
        self._late_effects.add(task)
        task.add_done_callback(self._late_effects.discard)
