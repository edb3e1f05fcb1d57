"""Stand-in for a model engine: streaming, resume, cancel, orders, cache events."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Final

import msgspec

from aspendrift_model.wire_target import (
    GeneratedEvent,
    GeneratedToken,
    KvTransfer,
    Order,
    StageCall,
)
from aspendrift_standins.engine_core import EngineCore, EngineOptions, Sequence
from aspendrift_standins.exchange import Exchange
from aspendrift_standins.faults import TargetFaults
from aspendrift_standins.process import StandIn, command
from aspendrift_standins.runs import RunEvent, RunKind, RunLog
from aspendrift_standins.target_base import CRASH_EXIT_CODE, FOREIGN_ATTEMPT, rejection

__all__ = ["EngineStandIn", "main"]

_DELAY_AFTER_DEADLINE_S: Final = 0.2
_CRASH_DELAY_S: Final = 0.05


class EngineStandIn(StandIn):
    """Model engine over HTTP."""

    def __init__(self, options: EngineOptions, faults: TargetFaults) -> None:
        super().__init__(faults)
        self.core = EngineCore(options)
        self.runs = RunLog(options.runs_file)
        self._options = options
        self._work_available = asyncio.Event()
        self._changed_by_attempt: dict[str, asyncio.Event] = {}
        self._n_readers_by_attempt: dict[str, int] = {}

    async def background(self) -> None:
        """Run the engine's steps while there is work."""
        step_due_at = time.monotonic()
        while True:
            if not self.core.has_work:
                self._work_available.clear()
                await self._work_available.wait()
                step_due_at = time.monotonic()
            factor = self.faults.current(TargetFaults).slow_factor
            step_s = self._options.step_ms * factor / 1e3
            step_due_at += step_s
            await asyncio.sleep(max(0.0, step_due_at - time.monotonic()))
            step_due_at = max(step_due_at, time.monotonic() - step_s)
            for sequence in self.core.step(step_s, time.monotonic()):
                self._notify_readers(sequence.call.attempt_id)

    async def route(self, exchange: Exchange) -> bool:
        """Serve the routes of an engine, ``GET /runs`` and ``GET /runs/{id}``."""
        match (exchange.method, exchange.path):
            case ("POST", ("v1", "generate")):
                await self._generate(exchange)
            case ("POST", ("v1", "attempts", attempt_id, "resume")):
                await self._resume(exchange, attempt_id)
            case ("DELETE", ("v1", "attempts", attempt_id)):
                self._cancel(attempt_id)
                await exchange.reply(204)
            case ("POST", ("v1", "orders")):
                await self._apply_order(exchange)
            case ("POST", ("v1", "kv", direction)):
                await self._transfer_kv(exchange, direction)
            case ("GET", _):
                return await self._route_get(exchange)
            case _:
                return False
        return True

    async def _route_get(self, exchange: Exchange) -> bool:
        now = time.monotonic()
        match exchange.path:
            case ("v1", "load"):
                await exchange.reply(200, self.core.load(now))
            case ("v1", "state"):
                await exchange.reply(200, self.core.state(now))
            case ("v1", "cache-events"):
                after = exchange.number("after")
                await exchange.reply(200, self.core.cache_events(after, now))
            case ("runs",):
                await exchange.reply(200, self.runs.runs_by_id())
            case ("runs", request_id):
                await exchange.reply(200, self.runs.n_runs(request_id))
            case _:
                return False
        return True

    async def _generate(self, exchange: Exchange) -> None:
        call = await exchange.decode(StageCall)
        faults = self.faults.current(TargetFaults)
        self._record(RunKind.ARRIVED, call)
        if self.faults.draw(faults.fail_share):
            await exchange.reply(500, {"detail": "failed"})
        elif self.faults.draw(faults.reject_share):
            await exchange.reply(503, rejection(call, "busy"))
        elif self.faults.draw(faults.hang_share):
            await exchange.wait_disconnected()
        elif not self.core.serves(call, time.monotonic()):
            await exchange.reply(409, rejection(call, "model not loaded"))
        else:
            self._crash_if_drawn(call, faults)
            self._record(RunKind.RAN, call)
            sequence = self.core.submit(call, time.monotonic())
            self._work_available.set()
            await self._stream(exchange, sequence, 0)

    async def _resume(self, exchange: Exchange, attempt_id: str) -> None:
        sequence = self.core.sequences_by_attempt.get(attempt_id)
        if sequence is None:
            await exchange.reply(404, {"detail": "unknown attempt"})
            return
        await exchange.body()
        skipped = exchange.number("after") - len(sequence.call.prefix_tokens)
        await self._stream(exchange, sequence, max(0, skipped))

    async def _stream(
        self, exchange: Exchange, sequence: Sequence, n_sent: int
    ) -> None:
        attempt_id = sequence.call.attempt_id
        changed = self._changed_by_attempt.setdefault(attempt_id, asyncio.Event())
        readers = self._n_readers_by_attempt
        readers[attempt_id] = readers.get(attempt_id, 0) + 1
        disconnected = asyncio.create_task(self._notify_disconnected(exchange, changed))
        try:
            await _Stream(self, exchange, sequence, n_sent).run(changed, disconnected)
        finally:
            disconnected.cancel()
            readers[attempt_id] -= 1
            delay_s = self._options.resume_keep_s
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._cancel_unread, attempt_id)

    async def _notify_disconnected(
        self, exchange: Exchange, changed: asyncio.Event
    ) -> None:
        await exchange.wait_disconnected()
        changed.set()

    def _cancel_unread(self, attempt_id: str) -> None:
        if self._n_readers_by_attempt.get(attempt_id, 0) > 0:
            return
        self._n_readers_by_attempt.pop(attempt_id, None)
        self._changed_by_attempt.pop(attempt_id, None)
        self.core.cancel(attempt_id, time.monotonic())

    def _cancel(self, attempt_id: str) -> None:
        self.core.cancel(attempt_id, time.monotonic())
        self._notify_readers(attempt_id)

    def _notify_readers(self, attempt_id: str) -> None:
        changed = self._changed_by_attempt.get(attempt_id)
        if changed is not None:
            changed.set()

    async def _apply_order(self, exchange: Exchange) -> None:
        order = await exchange.decode(Order)
        answer = self.core.order(order, time.monotonic())
        await exchange.reply(200 if answer.taken else 409, answer)

    async def _transfer_kv(self, exchange: Exchange, direction: str) -> None:
        transfer = await exchange.decode(KvTransfer)
        if direction == "import":
            self.core.import_kv(transfer, time.monotonic())
            await exchange.reply(204)
            return
        exported = self.core.export_kv(transfer)
        await exchange.reply(404 if exported is None else 200, exported)

    def _crash_if_drawn(self, call: StageCall, faults: TargetFaults) -> None:
        marked = bool(faults.crash_marker) and faults.crash_marker in call.input
        if self.faults.draw(faults.crash_share) or marked:
            loop = asyncio.get_running_loop()
            loop.call_later(_CRASH_DELAY_S, os._exit, CRASH_EXIT_CODE)

    def _record(self, kind: RunKind, call: StageCall) -> None:
        event = RunEvent(kind, call.request_id, call.attempt_id, call.stage)
        self.runs.record(event)


class _Stream:
    """Sends the events of a sequence to one reader, with the faults drawn for it."""

    def __init__(
        self, engine: EngineStandIn, exchange: Exchange, sequence: Sequence, n_sent: int
    ) -> None:
        faults = engine.faults.current(TargetFaults)
        draw = engine.faults.draw
        self._exchange = exchange
        self._sequence = sequence
        self._n_sent = n_sent
        self._drop = draw(faults.drop_share)
        self._drop_at = n_sent + faults.drop_after_tokens
        self._duplicate = draw(faults.twice_share)
        self._foreign = draw(faults.foreign_share)
        self._late = draw(faults.late_share)

    async def run(
        self, changed: asyncio.Event, disconnected: asyncio.Task[None]
    ) -> None:
        """Send events until the last one, a disconnect, a cancel or a drawn cut."""
        await self._exchange.start_stream()
        while not disconnected.done():
            changed.clear()
            unsent = self._sequence.events[self._n_sent :]
            if self._drop:
                unsent = unsent[: self._drop_at - self._n_sent]
            if unsent:
                self._n_sent += len(unsent)
                await self._send(unsent)
            if self._drop and self._n_sent >= self._drop_at:
                self._exchange.drop()
                return
            if self._sequence.cancelled:
                self._exchange.drop()
                return
            if self._sequence.done and self._n_sent >= len(self._sequence.events):
                await self._exchange.end_stream()
                return
            await changed.wait()

    async def _send(self, events: list[GeneratedEvent]) -> None:
        if self._late and self._sequence.done:
            remaining_ms = self._sequence.call.remaining_ms
            await asyncio.sleep(remaining_ms / 1e3 + _DELAY_AFTER_DEADLINE_S)
        lines: list[bytes] = []
        for event in events:
            if self._foreign and isinstance(event, GeneratedToken) and event.n % 2:
                lines.append(
                    _line(GeneratedToken(FOREIGN_ATTEMPT, event.n, " foreign"))
                )
            lines.append(_line(event) * (2 if self._duplicate else 1))
        await self._exchange.send_lines(b"".join(lines))


def _line(event: GeneratedEvent) -> bytes:
    return msgspec.json.encode(event) + b"\n"


main = command("engine", EngineOptions, TargetFaults, EngineStandIn)

if __name__ == "__main__":
    main()
