"""Sends a request to targets until one answers or nothing more may be tried."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol, TypeAlias

import httpx

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.caller_answer import CallerAnswer
from aspendrift_gateway.event_relay import EventRelay
from aspendrift_gateway.events import AttemptEnded, AttemptSent, AttemptVerdict
from aspendrift_gateway.interfaces import ForwardStamp, HttpCall, TargetCodec
from aspendrift_gateway.refusals import Refusal
from aspendrift_gateway.system_state import SystemState
from aspendrift_gateway.target_client import Answer, Broken, NotSent, TargetClient
from aspendrift_model.ids import (
    AccountId,
    Fingerprint,
    PoolName,
    PrefixKey,
    TargetId,
    ZoneName,
)
from aspendrift_model.opaque_requests import Headers, OpaqueRequest
from aspendrift_model.pieces import Handle
from aspendrift_model.routes import RequestKind, Route
from aspendrift_model.states import AttemptEnd, RefusalReason
from aspendrift_model.target_entries import TargetEntry
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.retry_budget import RetryBudgets

__all__ = [
    "AttemptSender",
    "Delivery",
    "InputsGone",
    "Progress",
    "RequestOutcome",
    "Sendable",
    "Served",
]

# Ejection: two failures in a row, for a second, doubled up to eight.
_EJECTION: Final = EjectionRules(
    failures_to_eject=2, ejection_s=1.0, max_ejection_s=8.0, slow_start_s=0.0
)
# Sends of one request that targets did not run, on top of those that ran.
_MAX_NOT_RUN: Final = 3
# A repeatable request without an answer for this many times its objective is sent
# to another target.
_PATIENCE_FACTOR: Final = 1.5
# Least time left that makes another send worthwhile.
_MIN_LEFT_S: Final = 0.03
# Pause of a resumable stream, in allowed pauses, after which its target counts as
# lost; long prompts of others make targets pause.
_STALL_FACTOR: Final = 4.0
_MIN_STALL_S: Final = 1.0
_SOON_S: Final = 0.25
# Time in which a target with free slots has fetched its inputs: some round trips,
# and tens of megabytes over a link of 10 Gbit/s.
_FETCH_S: Final = 0.1
# Share of a target's slots up to which it begins with a request at once.
_EARLY_FREE_LOAD: Final = 0.5
# Pause of early freeing after a target found inputs gone.
_EARLY_FREE_PAUSE_S: Final = 5.0
# Age shown in the log for a report that never came.
_UNKNOWN_AGE_S: Final = 3600.0
_SERVER_ERROR: Final = 500
_INPUTS_GONE: Final = 409
_CONNECTION_HEADERS: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"proxy-connection"}
)


@dataclass(frozen=True, slots=True)
class Sendable:
    """A request that may be sent, and what decides where; times are monotonic.

    ``sent_at`` is when the caller likely sent the request for the first time, and
    ``first_by`` when it gives up unless the answer has begun.
    """

    request: OpaqueRequest
    route: Route
    pool: PoolName
    account_id: AccountId | None
    rank: int
    fingerprint: Fingerprint
    sent_at: float
    deadline_at: float
    first_by: float


@dataclass(frozen=True, slots=True)
class Served:
    """A target's answer was passed on; ``is_cut`` if not to its end."""

    status: int
    is_cut: bool = False
    detail: str = ""


@dataclass(frozen=True, slots=True)
class InputsGone:
    """A target did not run the request, since results of its stages are gone."""


RequestOutcome: TypeAlias = Served | Refusal | InputsGone


class Progress(Protocol):
    """Hears how far a request is."""

    def sent(self) -> int:
        """Count a send; return its number."""

    def inputs_fetched(self) -> None:
        """Note that the target has all inputs."""


@dataclass(frozen=True, slots=True)
class _Again:
    """The send did not settle the request.

    ``has_run`` tells whether it may have run.
    """

    verdict: AttemptVerdict
    detail: str
    has_run: bool


@dataclass(slots=True)
class Delivery:
    """One request over all of its sends: what was tried, and what the caller has.

    Parameters
    ----------
    inputs : tuple of Handle
        Results of the stages; they change if some had to be made again.
    """

    sendable: Sendable
    answer: CallerAnswer
    progress: Progress
    inputs: tuple[Handle, ...] = ()
    relay: EventRelay = field(default_factory=EventRelay)
    tried: set[TargetId] = field(default_factory=set)
    n_run: int = 0
    n_not_run: int = 0
    head_at: float | None = None
    first_at: float | None = None


class AttemptSender:
    """Chooses targets, sends, judges answers and decides on second sends.

    Parameters
    ----------
    budgets : RetryBudgets
        Second sends by pool, this daemon's share of all daemons' budget.
    on_broken : callable
        Hears of a target that broke off while it ran a request.
    """

    def __init__(
        self,
        zone: ZoneName,
        state: SystemState,
        client: TargetClient,
        codec: TargetCodec,
        budgets: RetryBudgets[PoolName],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
        on_broken: Callable[[TargetEntry, Fingerprint], None],
        make_chooser: Callable[[EjectionRules, random.Random], PoolChooser],
    ) -> None:
        self._zone = zone
        self._state = state
        self._client = client
        self._codec = codec
        self._budgets = budgets
        self._clock = clock
        self._events = events
        self._rng = rng
        self._on_broken = on_broken
        self._make_chooser = make_chooser
        self._choosers_by_pool: dict[PoolName, PoolChooser] = {}
        self._no_early_free_until = float("-inf")

    def chooser(self, pool: PoolName) -> PoolChooser:
        """Return what is known of the load and health of a pool."""
        chooser = self._choosers_by_pool.get(pool)
        if chooser is None:
            chooser = self._make_chooser(_EJECTION, self._rng)
            self._choosers_by_pool[pool] = chooser
        return chooser

    async def send(self, delivery: Delivery) -> RequestOutcome:
        """Send a request until it is settled."""
        sendable = delivery.sendable
        now = self._clock.monotonic()
        if not delivery.tried:
            self._budgets.of(sendable.pool, now).first_attempt(now)
        while True:
            now = self._clock.monotonic()
            if sendable.deadline_at - now < _MIN_LEFT_S:
                return self._past_deadline(delivery)
            entry = self._choose(delivery, now)
            if entry is None:
                return self._no_target(delivery)
            result = await self._attempt(delivery, entry)
            if not isinstance(result, _Again):
                return result
            if not self._may_go_on(delivery, result):
                return self._give_up(delivery, result)

    def likely_zone(self, sendable: Sendable) -> ZoneName | None:
        """Return the zone of the target that a request would go to now."""
        now = self._clock.monotonic()
        usable = self._state.registry.usable(sendable.pool)
        chooser = self.chooser(sendable.pool)
        prefix = _prefix(sendable)
        entry = chooser.choose(usable, self._zone, prefix, (), now, is_trial=True)
        return None if entry is None else entry.zone

    def _choose(self, delivery: Delivery, now: float) -> TargetEntry | None:
        sendable = delivery.sendable
        usable = self._state.registry.usable(sendable.pool)
        prefix = _prefix(sendable)
        return self.chooser(sendable.pool).choose(
            usable, self._zone, prefix, delivery.tried, now
        )

    async def _attempt(
        self, delivery: Delivery, entry: TargetEntry
    ) -> Served | InputsGone | _Again:
        """Send once; every way out is noted with the target's load and health."""
        sendable = delivery.sendable
        began_at = self._clock.monotonic()
        chooser = self.chooser(sendable.pool)
        known = chooser.inputs(entry, began_at)
        number = delivery.progress.sent()
        delivery.tried.add(entry.key.target_id)
        self._events.emit(
            AttemptSent(
                sendable.request.attempt_id,
                entry.key.target_id,
                number,
                known.own_load,
                known.reported_load,
                min(known.report_age_s, _UNKNOWN_AGE_S),
                sendable.deadline_at - began_at,
            )
        )
        chooser.sent(entry)
        verdict, status, detail = AttemptVerdict.CANCELLED, 0, ""
        try:
            result = await self._exchange(delivery, entry, began_at)
            if isinstance(result, _Again):
                verdict, detail = result.verdict, result.detail
            elif isinstance(result, Served):
                status, detail = result.status, result.detail
                failed = result.status >= _SERVER_ERROR
                verdict = (
                    AttemptVerdict.BROKEN
                    if result.is_cut
                    else AttemptVerdict.FAILED_BY_TARGET
                    if failed
                    else AttemptVerdict.ANSWERED
                )
            else:
                verdict = AttemptVerdict.NOT_RUN
            return result
        finally:
            now = self._clock.monotonic()
            took_s = now - began_at
            is_answer = verdict is AttemptVerdict.ANSWERED
            is_plain = sendable.route.kind is not RequestKind.STREAMING
            chooser.ended(
                entry,
                _END_BY_VERDICT[verdict],
                took_s if is_answer and is_plain else None,
                now,
            )
            self._events.emit(
                AttemptEnded(
                    sendable.request.attempt_id,
                    entry.key.target_id,
                    verdict,
                    status,
                    detail,
                    _since(began_at, delivery.head_at),
                    _since(began_at, delivery.first_at),
                    took_s,
                )
            )

    async def _exchange(
        self, delivery: Delivery, entry: TargetEntry, now: float
    ) -> Served | InputsGone | _Again:
        sendable = delivery.sendable
        request = sendable.request
        stamp = ForwardStamp(
            target_id=entry.key.target_id,
            left_s=sendable.deadline_at - now,
            account_id=sendable.account_id,
            urgency=None,
            inputs=delivery.inputs,
            last_event_id=delivery.relay.last_event_id,
        )
        headers = self._codec.forwarded(request, stamp)
        call = HttpCall(
            request.method, request.target_path.decode("latin-1"), request.body
        )
        limit_s = self._limit_s(delivery, now)
        delivery.relay.restart()
        delivery.head_at = delivery.first_at = None
        fetching = self._expect_fetch(delivery, entry, now)
        try:
            async with asyncio.timeout(limit_s) as limit:
                answer = await self._client.send(entry, call, headers, now)
                if isinstance(answer, NotSent):
                    return _Again(AttemptVerdict.NOT_SENT, answer.detail, False)
                if isinstance(answer, Broken):
                    self._broke(entry, sendable)
                    return _Again(AttemptVerdict.BROKEN, answer.detail, True)
                try:
                    return await self._read(delivery, entry, answer, limit)
                finally:
                    await answer.close()
        except TimeoutError:
            return _Again(AttemptVerdict.TIMED_OUT, f"{limit_s:.3f} s", True)
        finally:
            if fetching is not None:
                fetching.cancel()

    def _expect_fetch(
        self, delivery: Delivery, entry: TargetEntry, now: float
    ) -> asyncio.TimerHandle | None:
        """Free the inputs when a target with free slots must have fetched them.

        A target fetches inputs before it reads the prompt, long before the first
        byte of its answer; memory for results is what binds stage pools.
        """
        if not delivery.inputs or now < self._no_early_free_until:
            return None
        load = self.chooser(delivery.sendable.pool).load(entry, now)
        if load > entry.n_slots * _EARLY_FREE_LOAD:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(_FETCH_S, delivery.progress.inputs_fetched)

    async def _read(
        self,
        delivery: Delivery,
        entry: TargetEntry,
        answer: Answer,
        limit: asyncio.Timeout,
    ) -> Served | InputsGone | _Again:
        """Judge the head of an answer, then read or pass on its body."""
        sendable = delivery.sendable
        head = answer.head
        now = delivery.head_at = self._clock.monotonic()
        if head.attempt_id is not None and (
            head.attempt_id != sendable.request.attempt_id
        ):
            self._client.distrust(entry.key.target_id, now)
            return _Again(AttemptVerdict.FOREIGN, str(head.attempt_id), True)
        if head.load is not None:
            load = head.load.n_running + head.load.n_waiting
            self.chooser(sendable.pool).reported(entry, load, now)
        if head.has_not_run:
            if answer.status == _INPUTS_GONE and delivery.inputs:
                self._no_early_free_until = now + _EARLY_FREE_PAUSE_S
                return InputsGone()
            return _Again(AttemptVerdict.NOT_RUN, f"status {answer.status}", False)
        is_success = 200 <= answer.status < 300
        if head.is_encoded or (is_success and not head.is_signed):
            return _Again(AttemptVerdict.SPOILED, f"status {answer.status}", True)
        if is_success and sendable.route.kind is RequestKind.STREAMING:
            return await self._relay(delivery, entry, answer, limit)
        return await self._pass_on(delivery, entry, answer)

    async def _pass_on(
        self, delivery: Delivery, entry: TargetEntry, answer: Answer
    ) -> Served | _Again:
        """Read a whole answer, then send it to the caller."""
        sendable = delivery.sendable
        try:
            body = b"".join([chunk async for chunk in answer.chunks()])
        except (httpx.HTTPError, OSError) as error:
            self._broke(entry, sendable)
            return _Again(AttemptVerdict.BROKEN, type(error).__name__, True)
        if not answer.head.is_signed:
            return _Again(AttemptVerdict.SPOILED, f"status {answer.status}", True)
        delivery.progress.inputs_fetched()
        if answer.status >= _SERVER_ERROR and self._may_repeat(delivery):
            return _Again(
                AttemptVerdict.FAILED_BY_TARGET, f"status {answer.status}", True
            )
        await delivery.answer.begin(
            answer.status, _passed_on(answer.headers, len(body))
        )
        await delivery.answer.send(body)
        await delivery.answer.end()
        return Served(answer.status)

    async def _relay(
        self,
        delivery: Delivery,
        entry: TargetEntry,
        answer: Answer,
        limit: asyncio.Timeout,
    ) -> Served | _Again:
        """Pass a stream on event by event."""
        sendable, relay = delivery.sendable, delivery.relay
        loop = asyncio.get_running_loop()
        stall_s = max(_MIN_STALL_S, _STALL_FACTOR * sendable.route.event_gap_s)
        may_resume = sendable.route.is_resumable
        try:
            async for chunk in answer.chunks():
                if delivery.first_at is None:
                    delivery.first_at = self._clock.monotonic()
                    delivery.progress.inputs_fetched()
                events = relay.feed(chunk)
                if events:
                    await self._send_events(delivery, answer, events)
                if may_resume:
                    left_s = sendable.deadline_at - self._clock.monotonic()
                    limit.reschedule(loop.time() + min(stall_s, max(0.0, left_s)))
        except (httpx.HTTPError, OSError) as error:
            self._broke(entry, sendable)
            return self._stream_broke(delivery, type(error).__name__)
        if relay.has_partial or not delivery.answer.has_begun:
            await self._send_events(delivery, answer, relay.rest())
        await delivery.answer.end()
        return Served(answer.status)

    async def _send_events(
        self, delivery: Delivery, answer: Answer, events: bytes
    ) -> None:
        """Send whole events; the head of the first run goes before them."""
        if not delivery.answer.has_begun:
            headers = _passed_on(answer.headers, None)
            await delivery.answer.begin(answer.status, headers)
        if events:
            await delivery.answer.send(events)

    def _stream_broke(self, delivery: Delivery, detail: str) -> Served | _Again:
        if delivery.answer.has_begun and not delivery.sendable.route.is_resumable:
            return Served(200, is_cut=True, detail=detail)
        return _Again(AttemptVerdict.BROKEN, detail, True)

    def _limit_s(self, delivery: Delivery, now: float) -> float:
        """Return how long to wait for an answer."""
        sendable = delivery.sendable
        left_s = sendable.deadline_at - now
        if sendable.route.kind is not RequestKind.IDEMPOTENT:
            return left_s
        if not self._may_repeat(delivery):
            return left_s
        return min(left_s, _PATIENCE_FACTOR * sendable.route.objective_s)

    def _may_repeat(self, delivery: Delivery) -> bool:
        """Return whether another run is allowed after the present one."""
        sendable = delivery.sendable
        now = self._clock.monotonic()
        return (
            sendable.route.may_repeat
            and delivery.n_run + 1 < sendable.route.max_attempts
            and sendable.deadline_at - now > _MIN_LEFT_S
            and self._budgets.of(sendable.pool, now).may_retry(now)
            and len(self._state.registry.usable(sendable.pool)) > len(delivery.tried)
        )

    def _may_go_on(self, delivery: Delivery, result: _Again) -> bool:
        """Decide on another send after one that settled nothing."""
        sendable = delivery.sendable
        now = self._clock.monotonic()
        budget = self._budgets.of(sendable.pool, now)
        if not result.has_run:
            delivery.n_not_run += 1
            if delivery.n_not_run > _MAX_NOT_RUN:
                return False
            if result.verdict is AttemptVerdict.NOT_SENT:
                return True
            if not budget.may_retry(now):
                return False
            budget.take()
            return True
        delivery.n_run += 1
        if not sendable.route.may_repeat:
            return False
        if delivery.n_run >= sendable.route.max_attempts or not budget.may_retry(now):
            return False
        budget.take()
        return True

    def _give_up(self, delivery: Delivery, result: _Again) -> Served | Refusal:
        if delivery.answer.has_begun:
            return Served(200, is_cut=True, detail=result.detail)
        if delivery.n_run == 0:
            return Refusal(RefusalReason.OVERLOADED, result.detail, _SOON_S)
        if result.verdict is AttemptVerdict.TIMED_OUT:
            return Refusal(RefusalReason.DEADLINE_EXCEEDED, result.detail)
        return Refusal(RefusalReason.TARGET_FAILED, result.detail)

    def _past_deadline(self, delivery: Delivery) -> Served | Refusal:
        if delivery.answer.has_begun:
            return Served(200, is_cut=True, detail="deadline")
        if delivery.n_run == 0:
            return Refusal(RefusalReason.DEADLINE_UNREACHABLE, "deadline")
        return Refusal(RefusalReason.DEADLINE_EXCEEDED, "deadline")

    def _no_target(self, delivery: Delivery) -> Served | Refusal:
        if delivery.answer.has_begun:
            return Served(200, is_cut=True, detail="no target")
        if delivery.n_run == 0:
            return Refusal(RefusalReason.NO_TARGET, delivery.sendable.pool, _SOON_S)
        return Refusal(RefusalReason.TARGET_FAILED, "no other target")

    def _broke(self, entry: TargetEntry, sendable: Sendable) -> None:
        self._on_broken(entry, sendable.fingerprint)


_END_BY_VERDICT: Final = {
    AttemptVerdict.ANSWERED: AttemptEnd.ANSWERED,
    AttemptVerdict.FAILED_BY_TARGET: AttemptEnd.ANSWERED,
    AttemptVerdict.NOT_RUN: AttemptEnd.REJECTED,
    AttemptVerdict.NOT_SENT: AttemptEnd.NOT_SENT,
    AttemptVerdict.BROKEN: AttemptEnd.BROKEN,
    AttemptVerdict.FOREIGN: AttemptEnd.BROKEN,
    AttemptVerdict.SPOILED: AttemptEnd.BROKEN,
    AttemptVerdict.TIMED_OUT: AttemptEnd.TIMED_OUT,
    AttemptVerdict.CANCELLED: AttemptEnd.CANCELLED,
}


def _since(began_at: float, at: float | None) -> float | None:
    return None if at is None else at - began_at


def _prefix(sendable: Sendable) -> PrefixKey | None:
    """Return the parts of a prompt that other requests share."""
    parts = sendable.request.prompt
    if not sendable.route.keeps_prompts or len(parts) < 2:
        return None
    return PrefixKey("/".join(part.part_id for part in parts[:-1]))


def _passed_on(headers: Headers, n_bytes: int | None) -> Headers:
    """Return a target's headers without those of its connection."""
    kept = tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS and name.lower() != b"content-length"
    )
    if n_bytes is None:
        return kept
    return (*kept, (b"content-length", str(n_bytes).encode()))
