"""Executes the actions of a request engine and feeds the results back to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Coroutine
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any, Final, Protocol, assert_never

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.poison import PoisonGuard
from aspendrift_daemon.request_events import (
    AnswerDropped,
    AttemptEnded,
    RouteDecided,
)
from aspendrift_daemon.slot_source import SlotSource
from aspendrift_daemon.streams import TokenSink
from aspendrift_daemon.targets import (
    AttemptFailure,
    Broken,
    ForeignAnswer,
    NotSent,
    Rejected,
    StageAnswered,
    StreamItem,
    TimedOut,
)
from aspendrift_model.ids import AttemptId, Revision, TargetId
from aspendrift_model.outcomes import Outcome, Refused
from aspendrift_model.states import AttemptEnd, StageKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_caller import StageTiming
from aspendrift_model.wire_target import GeneratedEnd, GeneratedToken, StageCall
from aspendrift_policy.interfaces import (
    AttemptResult,
    Dispatcher,
    RouteAnswer,
    RouteChoice,
    RouteQuery,
)
from aspendrift_policy.poison import ContentState
from aspendrift_policy.request_engine import RequestEngine
from aspendrift_policy.request_steps import (
    Acquire,
    Action,
    AttemptFailed,
    CallerGone,
    EngineEvent,
    Finish,
    GenerationEnded,
    Ignore,
    Resume,
    Routed,
    RouteRefused,
    Send,
    StageReturned,
    Started,
    TokenAccepted,
    TokenArrived,
)

__all__ = ["RequestRun", "RunPorts", "Targets"]

_MS_PER_S: Final = 1000.0


class Targets(Protocol):
    """Operations on targets that a run uses."""

    async def call(
        self, target: Target, call: StageCall, timeout_s: float
    ) -> StageAnswered | AttemptFailure:
        """Run a stage on a pool or a service."""

    def generate(
        self, target: Target, call: StageCall, timeout_s: float
    ) -> AsyncGenerator[StreamItem, None]:
        """Generate on an engine; the last item is an end or a failure."""

    def resume(
        self, target: Target, call: StageCall, after: int, timeout_s: float
    ) -> AsyncGenerator[StreamItem, None]:
        """Resume the stream of an attempt after a token number."""

    async def cancel(self, target: Target, attempt_id: AttemptId) -> bool:
        """Cancel an attempt; False if the target did not confirm it."""


@dataclass(frozen=True, slots=True)
class RunPorts:
    """Components of the daemon that a run uses."""

    clock: Clock
    dispatcher: Dispatcher
    slots: SlotSource
    targets: Targets
    events: EventHub
    poison: PoisonGuard
    spawn: Callable[[Coroutine[Any, Any, None]], None]


@dataclass(slots=True)
class _Timing:
    """Time spent in one stage so far, in seconds."""

    target_id: TargetId = TargetId("")
    attempts: int = 0
    queue_s: float = 0.0
    held_s: float = 0.0
    busy_s: float = 0.0


@dataclass(slots=True)
class _Slot:
    """A slot held on a target."""

    query: RouteQuery
    choice: RouteChoice
    acquired_at: float
    sent: bool = False
    in_poison_guard: bool = False
    first_token_at: float | None = None
    busy_s: float = 0.0
    end: AttemptEnd = AttemptEnd.CANCELLED
    crashed: bool = False
    detail: str = ""


@dataclass(slots=True)
class RequestRun:
    """One run of one request.

    Parameters
    ----------
    revision : Revision
        Configuration revision that the run uses throughout.
    """

    engine: RequestEngine
    ports: RunPorts
    sink: TokenSink
    revision: Revision
    _slot: _Slot | None = None
    _timings_by_stage: dict[str, _Timing] = field(default_factory=dict)
    _early_finish: Finish | None = None
    _task: asyncio.Task[Any] | None = None

    async def drive(self) -> Outcome:
        """Run the request to its end and return its outcome."""
        self._task = asyncio.current_task()
        try:
            return await self._drive()
        except asyncio.CancelledError:
            if self._early_finish is None or self._task is None:
                raise
            self._task.uncancel()
            return self._early_finish.outcome
        finally:
            self._release()

    def caller_disconnected(self) -> None:
        """End the run early if the engine allows it."""
        action = self.engine.step(CallerGone(), self._now())
        if isinstance(action, Finish):
            self._early_finish = action
            if self._task is not None:
                self._task.cancel()

    def timings(self) -> tuple[StageTiming, ...]:
        """Return the time spent in each stage."""
        return tuple(
            StageTiming(
                stage,
                timing.target_id,
                timing.attempts,
                round(timing.queue_s * _MS_PER_S, 3),
                round(timing.held_s * _MS_PER_S, 3),
                round(timing.busy_s * _MS_PER_S, 3),
            )
            for stage, timing in self._timings_by_stage.items()
        )

    def _now(self) -> float:
        return self.ports.clock.monotonic()

    def _step(self, event: EngineEvent) -> Action:
        return self.engine.step(event, self._now())

    async def _drive(self) -> Outcome:
        if self._early_finish is not None:
            return self._early_finish.outcome
        action = self._step(Started())
        while not isinstance(action, Finish):
            action = await self._perform(action)
        return action.outcome

    async def _perform(self, action: Action) -> Action:
        if isinstance(action, Acquire):
            return await self._acquire(action.query)
        if isinstance(action, Send):
            return await self._send(action)
        if isinstance(action, Resume):
            return await self._resume(action)
        raise AssertionError(f"action that a run can't execute: {action}")

    async def _acquire(self, query: RouteQuery) -> Action:
        requested_at = self._now()
        answer = await self.ports.slots.acquire(query)
        now = self._now()
        timing = self._timings_by_stage.setdefault(query.stage.name, _Timing())
        timing.queue_s += now - requested_at
        self._report_route(query, answer, now)
        if isinstance(answer, Refused):
            return self._step(RouteRefused(query.attempt_id, answer))
        self._slot = _Slot(query, answer, now)
        timing.attempts += 1
        timing.target_id = answer.target.target_id
        return self._step(Routed(query.attempt_id, answer))

    def _report_route(self, query: RouteQuery, answer: RouteAnswer, now: float) -> None:
        choice = answer if isinstance(answer, RouteChoice) else None
        remaining_s = max(0.0, self.engine.facts.deadline_at - now)
        self.ports.events.emit(
            RouteDecided(
                request_id=self.engine.facts.request_id,
                attempt_id=query.attempt_id,
                stage=query.stage.name,
                target_id=choice.target.target_id if choice else None,
                scores=choice.scores if choice else (),
                reason=answer.reason,
                revision=self.revision,
                remaining_ms=int(remaining_s * _MS_PER_S),
            )
        )

    async def _send(self, action: Send) -> Action:
        slot = self._held_slot()
        target = slot.choice.target
        poison = self.ports.poison
        permit = await poison.before_send(slot.query.request_id, target.target_id)
        if not permit.allowed:
            return self._cancel_unsent(slot, quarantined=permit.quarantined)
        slot.sent = True
        slot.in_poison_guard = True
        if action.call.kind is StageKind.GENERATE:
            items = self.ports.targets.generate(target, action.call, action.timeout_s)
            return await self._read_stream(slot, items)
        result = await self.ports.targets.call(target, action.call, action.timeout_s)
        if isinstance(result, StageAnswered):
            slot.busy_s = result.busy_ms / _MS_PER_S
            self._end(slot, AttemptEnd.ANSWERED)
            return self._step(StageReturned(slot.query.attempt_id, result.output))
        return self._failed(slot, result)

    def _cancel_unsent(self, slot: _Slot, *, quarantined: bool) -> Action:
        """Cancel an attempt before it is sent."""
        self._end(slot, AttemptEnd.CANCELLED)
        event = AttemptFailed(
            slot.query.attempt_id, AttemptEnd.CANCELLED, quarantined=quarantined
        )
        return self._step(event)

    async def _resume(self, action: Resume) -> Action:
        slot = self._held_slot()
        items = self.ports.targets.resume(
            slot.choice.target, action.call, action.after, action.timeout_s
        )
        return await self._read_stream(slot, items)

    async def _read_stream(
        self, slot: _Slot, items: AsyncGenerator[StreamItem, None]
    ) -> Action:
        async with aclosing(items):
            async for item in items:
                if isinstance(item, GeneratedEnd):
                    return self._generation_end(slot, item)
                if not isinstance(item, GeneratedToken):
                    return self._failed(slot, item)
                if not await self._accept_token(slot, item):
                    return self._failed(slot, TimedOut())
        return self._failed(slot, Broken("the stream closed without an end event"))

    async def _accept_token(self, slot: _Slot, item: GeneratedToken) -> bool:
        """Forward a token; False if the caller did not accept it by the deadline."""
        event = TokenArrived(AttemptId(item.attempt_id), item.n, item.text)
        action = self._step(event)
        if isinstance(action, Ignore):
            self._report_dropped(item.attempt_id)
        if not isinstance(action, TokenAccepted):
            return True
        if slot.first_token_at is None:
            slot.first_token_at = self._now()
        if not action.shown:
            return True
        try:
            async with asyncio.timeout(self.engine.facts.deadline_at - self._now()):
                await self.sink.token(action.n, action.text)
        except TimeoutError:
            return False
        return True

    def _generation_end(self, slot: _Slot, item: GeneratedEnd) -> Action:
        slot.busy_s = item.busy_ms / _MS_PER_S
        event = GenerationEnded(AttemptId(item.attempt_id), item.n_tokens, item.digest)
        action = self._step(event)
        if isinstance(action, Ignore):
            self._report_dropped(item.attempt_id)
            return self._failed(slot, Broken("end event of another attempt"))
        if isinstance(action, Resume):
            return action
        self._end(slot, AttemptEnd.ANSWERED)
        return action

    def _report_dropped(self, attempt_id: str) -> None:
        facts = self.engine.facts
        dropped = AnswerDropped(facts.request_id, AttemptId(attempt_id), 1)
        self.ports.events.emit(dropped)

    def _failed(self, slot: _Slot, failure: AttemptFailure) -> Action:
        end = _attempt_end(failure)
        crashed = isinstance(failure, Broken) and failure.crashed
        if isinstance(failure, ForeignAnswer):
            self._report_dropped(failure.attempt_id)
        slot.detail = getattr(failure, "detail", "")
        slot.crashed = crashed
        quarantined = (
            crashed and self._report_to_poison_guard(slot) is ContentState.QUARANTINED
        )
        event = AttemptFailed(
            slot.query.attempt_id, end, crashed, quarantined, slot.detail
        )
        action = self._step(event)
        if not isinstance(action, Resume):
            self._end(slot, end)
        return action

    def _report_to_poison_guard(self, slot: _Slot) -> ContentState:
        """Report the end of an attempt to the poison guard, once per attempt."""
        slot.in_poison_guard = False
        return self.ports.poison.after_attempt(
            slot.query.request_id,
            slot.choice.target.target_id,
            crashed=slot.crashed,
        )

    def _held_slot(self) -> _Slot:
        assert self._slot is not None
        return self._slot

    def _end(self, slot: _Slot, end: AttemptEnd) -> None:
        slot.end = end
        self._release()

    def _release(self) -> None:
        """Release the slot and cancel work that may still run on the target."""
        slot, self._slot = self._slot, None
        if slot is None:
            return
        held_s = self._now() - slot.acquired_at
        timing = self._timings_by_stage[slot.query.stage.name]
        timing.held_s += held_s
        timing.busy_s += slot.busy_s
        target = slot.choice.target
        first_s = slot.first_token_at and slot.first_token_at - slot.acquired_at
        result = AttemptResult(slot.end, held_s, slot.busy_s, first_s)
        self.ports.dispatcher.release(slot.query, slot.choice, result)
        if slot.in_poison_guard:
            self._report_to_poison_guard(slot)
        if _may_still_run(slot):
            self.ports.spawn(self._cancel(target, slot.query.attempt_id))
        self._report_attempt(slot, held_s)

    async def _cancel(self, target: Target, attempt_id: AttemptId) -> None:
        await self.ports.targets.cancel(target, attempt_id)

    def _report_attempt(self, slot: _Slot, held_s: float) -> None:
        ended = AttemptEnded(
            request_id=self.engine.facts.request_id,
            attempt_id=slot.query.attempt_id,
            stage=slot.query.stage.name,
            target_id=slot.choice.target.target_id,
            end=slot.end,
            held_ms=round(held_s * _MS_PER_S, 3),
            detail=slot.detail,
        )
        self.ports.events.emit(ended)


def _may_still_run(slot: _Slot) -> bool:
    finished = (AttemptEnd.ANSWERED, AttemptEnd.NOT_SENT, AttemptEnd.REJECTED)
    return slot.sent and slot.end not in finished and not slot.crashed


def _attempt_end(failure: AttemptFailure) -> AttemptEnd:
    match failure:
        case NotSent():
            return AttemptEnd.NOT_SENT
        case Rejected():
            return AttemptEnd.REJECTED
        case TimedOut():
            return AttemptEnd.TIMED_OUT
        case Broken() | ForeignAnswer():
            return AttemptEnd.BROKEN
        case _:
            assert_never(failure)
