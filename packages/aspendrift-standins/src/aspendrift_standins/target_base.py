"""Base of the stand-in targets that answer a stage call with a single message."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any, Final

import msgspec

from aspendrift_model.states import StageKind
from aspendrift_model.wire_target import LoadBody, StageAnswer, StageCall
from aspendrift_standins.exchange import Exchange
from aspendrift_standins.expected import stage_output
from aspendrift_standins.faults import TargetFaults
from aspendrift_standins.process import StandIn
from aspendrift_standins.runs import RunEvent, RunKind, RunLog
from aspendrift_standins.slots import SlotQueue

__all__ = [
    "CRASH_EXIT_CODE",
    "FOREIGN_ATTEMPT",
    "PoolOptions",
    "StageTarget",
    "rejection",
]

CRASH_EXIT_CODE: Final = 70
FOREIGN_ATTEMPT: Final = "attempt-of-another-request"
_DELAY_AFTER_DEADLINE_S: Final = 0.2


def rejection(call: StageCall, detail: str) -> dict[str, str]:
    """Return the body that rejects an attempt before any work on it."""
    return {"attempt_id": call.attempt_id, "detail": detail}


class PoolOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity of a stage pool or service.

    Parameters
    ----------
    slots : int
        Number of requests served concurrently.
    service_ms_by_kind : dict
        Service time by stage kind, in milliseconds.
    service_ms : float
        Service time of the other kinds, in milliseconds.
    load_lag_s : float
        Delay before load figures become visible, in seconds.
    runs_file : str
        File that keeps the run record; empty for none.
    """

    slots: int = 8
    service_ms_by_kind: dict[str, float] = {}
    service_ms: float = 10.0
    load_lag_s: float = 0.2
    runs_file: str = ""


class StageTarget(StandIn):
    """Serves ``/v1/stage`` with a number of slots and a queue for them."""

    def __init__(self, options: PoolOptions, faults: TargetFaults) -> None:
        super().__init__(faults)
        self.runs = RunLog(options.runs_file)
        self._options = options
        self._queue = SlotQueue(options.slots, options.load_lag_s)
        self._work_by_attempt: dict[str, asyncio.Task[Any]] = {}

    async def route(self, exchange: Exchange) -> bool:
        """Serve the routes of a target, ``GET /runs`` and ``GET /runs/{id}``."""
        match (exchange.method, exchange.path):
            case ("POST", ("v1", "stage")):
                await self._stage(exchange)
            case ("DELETE", ("v1", "attempts", attempt_id)):
                self._cancel(attempt_id)
                await exchange.reply(204)
            case ("GET", ("v1", "load")):
                await exchange.reply(200, self._load())
            case ("GET", ("runs",)):
                await exchange.reply(200, self.runs.runs_by_id())
            case ("GET", ("runs", request_id)):
                await exchange.reply(200, self.runs.n_runs(request_id))
            case _:
                return False
        return True

    async def _stage(self, exchange: Exchange) -> None:
        call = await exchange.decode(StageCall)
        faults = self.faults.current(TargetFaults)
        self._record(RunKind.ARRIVED, call)
        if self.faults.draw(faults.fail_share):
            await exchange.reply(500, {"detail": "failed"})
            return
        if self.faults.draw(faults.reject_share):
            await exchange.reply(503, rejection(call, "busy"))
            return
        if self.faults.draw(faults.hang_share):
            await exchange.wait_disconnected()
            return
        work = asyncio.create_task(self._run(call))
        self._work_by_attempt[call.attempt_id] = work
        try:
            answer = await work
        except asyncio.CancelledError:
            exchange.drop()
            return
        finally:
            self._work_by_attempt.pop(call.attempt_id, None)
        await self._answer(exchange, call, answer)

    async def _run(self, call: StageCall) -> StageAnswer:
        faults = self.faults.current(TargetFaults)
        service_s = self._service_s(call.kind) * faults.slow_factor
        crash = bool(faults.crash_marker) and faults.crash_marker in call.input
        crash = self.faults.draw(faults.crash_share) or crash
        await self._queue.acquire(call.priority)
        try:
            self._record(RunKind.RAN, call)
            await asyncio.sleep(service_s / 2 if crash else service_s)
            if crash:
                os._exit(CRASH_EXIT_CODE)
        finally:
            self._queue.release(service_s)
        context = msgspec.json.decode(call.context)
        output = stage_output(
            call.request_id, call.stage, call.kind, call.input, context
        )
        encoded = msgspec.Raw(msgspec.json.encode(output))
        return StageAnswer(call.request_id, call.attempt_id, encoded, service_s * 1e3)

    async def _answer(
        self, exchange: Exchange, call: StageCall, answer: StageAnswer
    ) -> None:
        faults = self.faults.current(TargetFaults)
        draw = self.faults.draw
        if draw(faults.drop_share):
            exchange.drop()
            return
        if draw(faults.late_share):
            await asyncio.sleep(call.remaining_ms / 1e3 + _DELAY_AFTER_DEADLINE_S)
        if draw(faults.foreign_share):
            foreign = msgspec.Raw(b'{"passages":["foreign"]}')
            answer = StageAnswer(call.request_id, FOREIGN_ATTEMPT, foreign)
        content = msgspec.json.encode(answer)
        await exchange.reply_bytes(200, content)
        if draw(faults.twice_share):
            head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            length = b"content-length: %d\r\n\r\n" % len(content)
            exchange.write_unsolicited(head + length + content)

    def _cancel(self, attempt_id: str) -> None:
        work = self._work_by_attempt.get(attempt_id)
        if work is not None:
            work.cancel()

    def _service_s(self, kind: StageKind) -> float:
        options = self._options
        return options.service_ms_by_kind.get(kind.value, options.service_ms) / 1e3

    def _load(self) -> LoadBody:
        return self._queue.load(time.monotonic())

    def _record(self, kind: RunKind, call: StageCall) -> None:
        event = RunEvent(kind, call.request_id, call.attempt_id, call.stage)
        self.runs.record(event)
