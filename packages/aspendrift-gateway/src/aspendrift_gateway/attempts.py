"""Sends a request to targets until one answers or no further attempt is allowed."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol, TypeAlias

import httpx

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.caller_answer import CallerAnswer, end_to_end_headers
from aspendrift_gateway.event_relay import EventRelay, EventTooLarge
from aspendrift_gateway.events import (
    AttemptEnded,
    AttemptSent,
    AttemptVerdict,
    TargetBroke,
)
from aspendrift_gateway.interfaces import (
    ForwardMetadata,
    HttpCall,
    PromptGuard,
    TargetCodec,
)
from aspendrift_gateway.list_confirmation import ListConfirmation
from aspendrift_gateway.permit_exchange import Permit, PermitExchange, Restrictions
from aspendrift_gateway.permitted_choice import (
    ChoiceRefused,
    PermittedChoice,
    PermittedTarget,
)
from aspendrift_gateway.refusals import POISON_RETRY_AFTER_S, Refusal
from aspendrift_gateway.stream_pace import StreamPace
from aspendrift_gateway.system_state import SystemState
from aspendrift_gateway.target_client import (
    Answer,
    AnswerTooLarge,
    Broken,
    NotSent,
    TargetClient,
    is_foreign,
)
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    Fingerprint,
    PoolName,
    PrefixKey,
    SoftwareVersion,
    TargetId,
    ZoneName,
)
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.opaque_requests import OpaqueRequest
from aspendrift_model.pieces import Handle
from aspendrift_model.routes import RequestKind, Route
from aspendrift_model.states import AttemptEnd, RefusalReason
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.retry_budget import RetryBudgets
from aspendrift_policy.target_loads import ObservedLoad

__all__ = [
    "AttemptSender",
    "Delivery",
    "InputsGone",
    "RequestOutcome",
    "RequestProgress",
    "RoutedRequest",
    "Served",
]

# A target is ejected after two consecutive failures, for 1 s at first; the time
# doubles with each ejection up to 8 s.
_EJECTION: Final = EjectionRules(
    failures_to_eject=2, ejection_s=1.0, max_ejection_s=8.0, slow_start_s=0.0
)
# Attempts per request that targets did not execute, in addition to those that may
# have run.
_MAX_NOT_RUN_ATTEMPTS: Final = 3
# Timeout of an attempt of a repeatable request, as a multiple of its objective; the
# request is then sent to another target.
_ATTEMPT_TIMEOUT_FACTOR: Final = 1.5
# Minimum time before the deadline for another attempt to be worthwhile.
_MIN_REMAINING_S: Final = 0.03
# Gap in a resumable stream, as a multiple of the route's event gap, after which its
# target counts as lost; targets also stall while they process long prompts of
# other requests.
_STALL_TIMEOUT_FACTOR: Final = 4.0
# A sound target may be silent for up to about 1.5 s, and notices a closed connection
# only after it.
_MIN_STALL_TIMEOUT_S: Final = 1.6
_SHORT_RETRY_AFTER_S: Final = 0.25
# Parts in which an answer is sent.
_PART_BYTES: Final = 64 * 1024
# Time in which a target with free slots fetches its inputs: a few round trips, and
# tens of megabytes over a 10 Gbit/s link.
_INPUT_FETCH_S: Final = 0.1
# A target whose load is at most this share of its slots starts a request at once.
_EARLY_FREE_MAX_LOAD_SHARE: Final = 0.5
# Time without early freeing after a target reported that inputs were gone.
_EARLY_FREE_BACKOFF_S: Final = 5.0
# Logged as the age of a load report that was never received.
_UNKNOWN_REPORT_AGE_S: Final = 3600.0
_MAX_LOGGED_PARTS: Final = 16
_MAX_LOGGED_CHARACTERS: Final = 64
_UNCONFIRMED_END: Final = "ended with its connection, target gone"
_OK: Final = 200
_SERVER_ERROR: Final = 500
_INPUTS_GONE: Final = 409


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and what else decides its target.

    Times are monotonic. ``sent_at`` is the estimated time at which the caller first
    sent the request; at ``first_byte_deadline_at`` the caller times out unless the
    answer has begun.
    """

    request: OpaqueRequest
    route: Route
    pool: PoolName
    account_id: AccountId | None
    rank: int
    fingerprint: Fingerprint
    sent_at: float
    deadline_at: float
    first_byte_deadline_at: float


@dataclass(frozen=True, slots=True)
class Served:
    """An answer was forwarded; ``is_cut`` if it was cut off before its end.

    ``is_handed_over`` if it is the answer of another daemon, else a target's own.
    """

    status: int
    is_cut: bool = False
    detail: str = ""
    is_handed_over: bool = False


@dataclass(frozen=True, slots=True)
class InputsGone:
    """A target did not run the request because stage results it needs are gone."""


BeginListener: TypeAlias = Callable[[AttemptId, SoftwareVersion], None]
LoadListener: TypeAlias = Callable[[PoolName, TargetKey, LoadReport], None]
PaceListener: TypeAlias = Callable[[PoolName, TargetKey, float], None]
RequestOutcome: TypeAlias = Served | Refusal | InputsGone


class RequestProgress(Protocol):
    """Receives the progress of a request."""

    def count_attempt(self) -> int:
        """Count an attempt and return its number."""

    def attempt_not_run(self) -> None:
        """Record that the last attempt was not run."""

    def inputs_fetched(self) -> None:
        """Record that the target has fetched all inputs."""


@dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt without an outcome for the caller."""

    verdict: AttemptVerdict
    detail: str
    may_have_run: bool


@dataclass(slots=True)
class Delivery:
    """One request over all of its attempts, and the answer sent to its caller.

    Parameters
    ----------
    inputs : tuple of Handle
        Results of the stages; replaced if lost results are computed again.
    tried : set of TargetId
        Targets of earlier attempts.
    n_run, n_not_run : int
        Failed attempts that may have run, and those that did not.
    n_events_before : int
        Events that earlier attempts sent.
    is_counted : bool
        Whether the first attempt was added to the retry budget.
    needs_token : bool
        Whether a target got the request since the last token of the budget was drawn.
    software : SoftwareVersion or None
        Software version of the target that began the stream; other versions can't
        continue it. None before the first event.
    is_answer_complete : bool
        Whether an answer that is no stream was read as a whole.
    media_type : bytes
        Media type of the stream that was begun.
    received : Answer or None
        Answer of the present attempt; None before its head.
    """

    routed: RoutedRequest
    answer: CallerAnswer
    progress: RequestProgress
    inputs: tuple[Handle, ...] = ()
    relay: EventRelay = field(default_factory=EventRelay)
    tried: set[TargetId] = field(default_factory=set)
    n_run: int = 0
    n_not_run: int = 0
    head_at: float | None = None
    first_byte_at: float | None = None
    n_events_before: int = 0
    is_counted: bool = False
    needs_token: bool = False
    software: SoftwareVersion | None = None
    is_answer_complete: bool = False
    media_type: bytes = b""
    received: Answer | None = None

    @property
    def last_event_id(self) -> str | None:
        """Last event that the caller has; None if no event of the stream was sent."""
        return self.relay.last_event_id or self.routed.request.last_event_id

    def unserved(
        self,
        detail: str,
        not_run: Refusal,
        may_have_run: RefusalReason = RefusalReason.TARGET_FAILED,
    ) -> Served | Refusal:
        """Return the outcome of the request if it is not sent again.

        Parameters
        ----------
        not_run : Refusal
            The outcome if no attempt may have run.
        may_have_run : RefusalReason
            The reason if one may have.
        """
        if self.answer.has_begun:
            return Served(200, is_cut=True, detail=detail)
        return Refusal(may_have_run, detail) if self.n_run else not_run

    def past_deadline(self) -> Served | Refusal:
        """Return the outcome of the request after its deadline."""
        return self.unserved(
            "deadline",
            Refusal(RefusalReason.DEADLINE_UNREACHABLE, "deadline"),
            RefusalReason.DEADLINE_EXCEEDED,
        )


class AttemptSender:
    """Chooses targets, sends requests, classifies answers and decides on retries.

    Parameters
    ----------
    budgets : RetryBudgets
        Retries by pool: this daemon's share of the budget of all daemons.
    on_broken : callable
        Called when the connection to a target breaks while it runs a request.
    prompts : PromptGuard
        Quarantines of prompt parts that crash targets; told which requests did.
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
        prompts: PromptGuard,
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
        self._prompts = prompts
        self._list = ListConfirmation(state, clock)
        self._choosers_by_pool: dict[PoolName, PoolChooser] = {}
        self._no_early_free_until = float("-inf")
        self._on_pace: PaceListener | None = None
        self._on_begin: BeginListener | None = None
        self._on_load: LoadListener | None = None
        self._permits: PermitExchange | None = None
        self._last_start_at: Callable[[float], float] = lambda takes_s: math.inf

    def limit_starts(self, last_start_at: Callable[[float], float]) -> None:
        """Begin no request after the latest time for an attempt that takes some time.

        Requests that have begun are continued.
        """
        self._last_start_at = last_start_at

    def refuse_late(self, delivery: Delivery) -> Refusal | None:
        """Return a refusal of a request that can't begin and end before the exit."""
        if delivery.n_run or delivery.answer.has_begun:
            return None
        now = self._clock.monotonic()
        if now <= self._last_start_at(_time_needed_s(delivery.routed, now)):
            return None
        return Refusal(RefusalReason.LEAVING, "too late to begin", 0.0)

    def require_permits(self, permits: PermitExchange) -> None:
        """Send requests to limited targets only with a permit."""
        self._permits = permits

    def report_paces(self, on_pace: PaceListener) -> None:
        """Report the mean gaps between events of streams, in seconds."""
        self._on_pace = on_pace

    def report_origins(self, on_begin: BeginListener) -> None:
        """Report the software version of each resumable stream before its events."""
        self._on_begin = on_begin

    def report_loads(self, on_load: LoadListener) -> None:
        """Report the loads that targets state in the heads of streams."""
        self._on_load = on_load

    def apply_loaded(
        self,
        pool: PoolName,
        loads: Mapping[TargetKey, ObservedLoad],
        now: float,
        until: float,
    ) -> None:
        """Send no new work to the loaded targets of a pool until some time."""
        self.chooser(pool).apply_loaded(loads, now, until)

    def apply_speeds(
        self, pool: PoolName, speeds: Mapping[TargetKey, float], until: float
    ) -> None:
        """Divide the work of a pool by the speeds of its targets until some time."""
        self.chooser(pool).apply_speeds(speeds, until)

    def avoid(self, pool: PoolName, slow: frozenset[TargetKey], until: float) -> None:
        """Avoid the slow targets of a pool until some time."""
        self.chooser(pool).avoid(slow, until)

    def chooser(self, pool: PoolName) -> PoolChooser:
        """Return the chooser that tracks the load and health of a pool's targets."""
        chooser = self._choosers_by_pool.get(pool)
        if chooser is None:
            chooser = self._make_chooser(_EJECTION, self._rng)
            self._choosers_by_pool[pool] = chooser
        return chooser

    async def send(self, delivery: Delivery) -> RequestOutcome:
        """Send a request until it has a final outcome, or its inputs are gone.

        It may then be sent again with others, which counts as a retry.
        """
        now = self._clock.monotonic()
        outcome = self._draw_on_budget(delivery, now)
        if outcome is not None:
            return outcome
        # Time since which a target may have ended, and returned as another version.
        ended_since = now
        while True:
            outcome = await self._outcome_before_attempt(delivery, ended_since)
            if outcome is not None:
                return outcome
            now = self._clock.monotonic()
            restrictions = self._restrictions(delivery.routed.pool, now)
            if restrictions is None:
                chosen = self._choose_unlimited(delivery, now)
            else:
                chosen = await self._choose_permitted(delivery, restrictions, now)
            if isinstance(chosen, ChoiceRefused):
                return self._refuse_choice(delivery, chosen)
            result = await self._attempt(delivery, chosen)
            if not isinstance(result, _FailedAttempt):
                return result
            if not self._may_retry(delivery, result):
                return self._final_outcome(delivery, result)
            if result.may_have_run:
                ended_since = self._clock.monotonic()

    def _draw_on_budget(
        self, delivery: Delivery, now: float
    ) -> Served | Refusal | None:
        """Count a request, or a retry if it was sent before; return its refusal."""
        budget = self._budgets.of(delivery.routed.pool, now)
        if not delivery.is_counted:
            delivery.is_counted = True
            # The daemon that handed a request over has counted it.
            if delivery.routed.request.handed_over is None:
                budget.record_first_attempt(now)
            return None
        if budget.may_retry(now):
            budget.consume()
            return None
        detail = "inputs gone, retry budget spent"
        reason = RefusalReason.RETRY_BUDGET_SPENT
        return delivery.unserved(detail, Refusal(reason, detail, _SHORT_RETRY_AFTER_S))

    async def _outcome_before_attempt(
        self, delivery: Delivery, ended_since: float
    ) -> Served | Refusal | None:
        """Return the outcome of a request for which no attempt is allowed, or None."""
        if not await self._knows_versions(delivery, ended_since):
            detail = "the list of targets is not current"
            reason = RefusalReason.NO_TARGET
            refusal = Refusal(reason, detail, _SHORT_RETRY_AFTER_S)
            return delivery.unserved(detail, refusal)
        routed = delivery.routed
        if routed.deadline_at - self._clock.monotonic() < _MIN_REMAINING_S:
            return delivery.past_deadline()
        too_late = self.refuse_late(delivery)
        if too_late is not None:
            return too_late
        parts = self._prompts.refuses(routed.request)
        if parts is None:
            return None
        return delivery.unserved(
            f"quarantined parts {parts}",
            Refusal(RefusalReason.POISON, parts, POISON_RETRY_AFTER_S),
        )

    async def _knows_versions(self, delivery: Delivery, since: float) -> bool:
        """Wait until a stream's target can be chosen by the versions as of a time.

        A target that ended may return under its id as another version. Only where a
        pool has several versions is the list awaited that was read since then.
        """
        if delivery.software is None or not self.has_target(delivery):
            return True
        routed = delivery.routed
        history = self._state.registry.version_history(
            routed.pool, since, routed.route.timeout_s
        )
        return len(history.versions) <= 1 or await self._list.is_confirmed(since)

    def likely_zone(self, delivery: Delivery) -> ZoneName | None:
        """Return the zone of the target that a request would be sent to now."""
        entry = self._choose(delivery, self._clock.monotonic(), is_dry_run=True)
        return None if entry is None else entry.zone

    def has_target(self, delivery: Delivery) -> bool:
        """Return whether a target may still be sent the request."""
        usable = self._state.registry.usable(delivery.routed.pool)
        excluded = _excluded(delivery, usable)
        return any(each.key.target_id not in excluded for each in usable)

    def draw_token(self, delivery: Delivery) -> bool:
        """Return whether a request may go on elsewhere; it draws on the budget."""
        if not delivery.needs_token:
            return True
        now = self._clock.monotonic()
        budget = self._budgets.of(delivery.routed.pool, now)
        if not budget.may_retry(now):
            return False
        budget.consume()
        delivery.needs_token = False
        return True

    def forget_failures(self) -> None:
        """Use all targets again, since failures were not theirs."""
        for chooser in self._choosers_by_pool.values():
            chooser.forget_failures()

    def _choose(
        self,
        delivery: Delivery,
        now: float,
        is_dry_run: bool = False,
        skipped: frozenset[TargetId] = frozenset(),
    ) -> TargetEntry | None:
        routed = delivery.routed
        usable = self._state.registry.usable(routed.pool)
        excluded = _excluded(delivery, usable) | skipped
        return self.chooser(routed.pool).choose(
            usable, self._zone, _prefix(routed), excluded, now, is_dry_run
        )

    def _restrictions(self, pool: PoolName, now: float) -> Restrictions | None:
        if self._permits is None:
            return None
        usable = self._state.registry.usable(pool)
        return self._permits.restrictions(pool, usable, now)

    def _choose_unlimited(
        self, delivery: Delivery, now: float
    ) -> PermittedTarget | ChoiceRefused:
        entry = self._choose(delivery, now)
        if entry is None:
            return ChoiceRefused(None, "no target")
        return PermittedTarget(entry, Permit())

    async def _choose_permitted(
        self, delivery: Delivery, restrictions: Restrictions, now: float
    ) -> PermittedTarget | ChoiceRefused:
        """Choose a target of a pool with limited ones, and get a permit if needed."""
        assert self._permits is not None
        routed = delivery.routed

        def usable() -> list[TargetEntry]:
            entries = self._state.registry.usable(routed.pool)
            excluded = _excluded(delivery, entries)
            return [each for each in entries if each.key.target_id not in excluded]

        ends_at = min(routed.deadline_at, routed.first_byte_deadline_at)
        choice = PermittedChoice(
            self._permits,
            self.chooser(routed.pool),
            self._clock,
            usable,
            lambda skipped, at: self._choose(delivery, at, skipped=skipped),
            ends_at - routed.route.objective_s,
        )
        return await choice.target(restrictions, now)

    async def _attempt(
        self, delivery: Delivery, chosen: PermittedTarget
    ) -> Served | InputsGone | _FailedAttempt:
        """Make one attempt; record every outcome in the target's load and health."""
        routed, entry = delivery.routed, chosen.entry
        began_at = self._clock.monotonic()
        chooser = self.chooser(routed.pool)
        load_state = chooser.inputs(entry, began_at)
        number = delivery.progress.count_attempt()
        delivery.tried.add(entry.key.target_id)
        self._events.emit(
            AttemptSent(
                routed.request.attempt_id,
                entry.key.target_id,
                entry.software,
                number,
                delivery.last_event_id or "",
                load_state.own_load,
                load_state.reported_load,
                min(load_state.report_age_s, _UNKNOWN_REPORT_AGE_S),
                routed.deadline_at - began_at,
            )
        )
        chooser.sent(entry)
        verdict, detail = AttemptVerdict.CANCELLED, ""
        try:
            result = await self._exchange(delivery, entry, began_at)
            if isinstance(result, _FailedAttempt):
                verdict, detail = result.verdict, result.detail
            elif isinstance(result, Served):
                detail = result.detail
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
            if verdict in _NOT_RUN_VERDICTS:
                delivery.progress.attempt_not_run()
            if self._permits is not None and verdict is AttemptVerdict.NOT_SENT:
                self._permits.release(chosen.permit)
            return result
        finally:
            now = self._clock.monotonic()
            took_s = now - began_at
            is_answer = verdict is AttemptVerdict.ANSWERED
            is_buffered = routed.route.kind is not RequestKind.STREAMING
            chooser.ended(
                entry,
                _END_BY_VERDICT[verdict],
                took_s if is_answer and is_buffered else None,
                now,
            )
            self._events.emit(
                AttemptEnded(
                    routed.request.attempt_id,
                    entry.key.target_id,
                    verdict,
                    *_received(delivery.received),
                    detail,
                    _since(began_at, delivery.head_at),
                    _since(began_at, delivery.first_byte_at),
                    took_s,
                )
            )

    async def _exchange(
        self, delivery: Delivery, entry: TargetEntry, now: float
    ) -> Served | InputsGone | _FailedAttempt:
        routed = delivery.routed
        request = routed.request
        metadata = ForwardMetadata(
            target_id=entry.key.target_id,
            left_s=routed.deadline_at - now,
            account_id=routed.account_id,
            urgency=None,
            inputs=delivery.inputs,
            last_event_id=delivery.relay.last_event_id,
        )
        headers = self._codec.forwarded(request, metadata)
        target_path = request.target_path.decode("latin-1")
        call = HttpCall(request.method, target_path, request.body, request.attempt_id)
        timeout_s = self._timeout_s(delivery, now)
        delivery.relay.restart()
        delivery.n_events_before = delivery.relay.n_events
        delivery.head_at = delivery.first_byte_at = delivery.received = None
        early_free = self._schedule_early_free(delivery, entry, now)
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                answer = await self._client.send(entry, call, headers, now)
                if isinstance(answer, NotSent):
                    return _FailedAttempt(AttemptVerdict.NOT_SENT, answer.detail, False)
                if isinstance(answer, Broken):
                    if not answer.may_have_crashed:
                        return _FailedAttempt(
                            AttemptVerdict.SPOILED, answer.detail, True
                        )
                    self._report_broken(entry, delivery)
                    return _FailedAttempt(AttemptVerdict.BROKEN, answer.detail, True)
                try:
                    return await self._read(delivery, entry, answer, timeout)
                finally:
                    await answer.close()
                    if answer.has_surplus:
                        now = self._clock.monotonic()
                        self._client.disable_reuse(entry.key.target_id, now)
        except TimeoutError:
            if delivery.is_answer_complete:
                return Served(200, is_cut=True, detail="deadline, caller reads slowly")
            return _FailedAttempt(AttemptVerdict.TIMED_OUT, f"{timeout_s:.3f} s", True)
        finally:
            if early_free is not None:
                early_free.cancel()

    def _schedule_early_free(
        self, delivery: Delivery, entry: TargetEntry, now: float
    ) -> asyncio.TimerHandle | None:
        """Free the inputs once a target with free slots should have fetched them.

        A target fetches inputs before it processes the prompt, long before the
        first byte of its answer. Early freeing matters because memory for results
        is the limiting resource of stage pools.
        """
        if not delivery.inputs or now < self._no_early_free_until:
            return None
        load = self.chooser(delivery.routed.pool).load(entry, now)
        if load > entry.n_slots * _EARLY_FREE_MAX_LOAD_SHARE:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(_INPUT_FETCH_S, delivery.progress.inputs_fetched)

    async def _read(
        self,
        delivery: Delivery,
        entry: TargetEntry,
        answer: Answer,
        timeout: asyncio.Timeout,
    ) -> Served | InputsGone | _FailedAttempt:
        """Classify an answer by its head, then forward its body."""
        routed = delivery.routed
        head = answer.head
        now = delivery.head_at = self._clock.monotonic()
        delivery.received = answer
        if is_foreign(head, routed.request.attempt_id) or answer.is_doubtful_refusal:
            self._client.disable_reuse(entry.key.target_id, now)
            detail = str(head.attempt_id or "names no request")
            return _FailedAttempt(AttemptVerdict.FOREIGN, detail, True)
        if head.load is not None:
            self.chooser(routed.pool).reported(entry, head.load, now)
            if routed.route.kind is RequestKind.STREAMING and self._on_load is not None:
                self._on_load(routed.pool, entry.key, head.load)
        if head.has_not_run:
            if answer.status == _INPUTS_GONE and delivery.inputs:
                self._no_early_free_until = now + _EARLY_FREE_BACKOFF_S
                delivery.tried.discard(entry.key.target_id)
                return InputsGone()
            return _FailedAttempt(
                AttemptVerdict.NOT_RUN, f"status {answer.status}", False
            )
        is_success = 200 <= answer.status < 300
        if head.is_encoded or (is_success and not head.is_signed):
            return _FailedAttempt(
                AttemptVerdict.SPOILED, f"status {answer.status}", True
            )
        if delivery.answer.has_begun and not _continues(delivery, answer):
            detail = f"status {answer.status} after the stream began"
            verdict = (
                AttemptVerdict.SPOILED
                if is_success
                else AttemptVerdict.FAILED_BY_TARGET
            )
            return _FailedAttempt(verdict, detail, True)
        if is_success and routed.route.kind is RequestKind.STREAMING:
            return await self._forward_stream(delivery, entry, answer, timeout)
        return await self._forward_answer(delivery, entry, answer, timeout)

    async def _forward_answer(
        self,
        delivery: Delivery,
        entry: TargetEntry,
        answer: Answer,
        timeout: asyncio.Timeout,
    ) -> Served | _FailedAttempt:
        """Read a complete answer, then send it.

        A large one for which there is no memory is forwarded as it arrives.
        """
        if not answer.head.is_signed:
            return _FailedAttempt(
                AttemptVerdict.SPOILED, f"status {answer.status}", True
            )
        if answer.is_large and answer.status < _SERVER_ERROR and not answer.hold():
            return await self._forward_large(delivery, entry, answer, timeout)
        try:
            body = await answer.body()
        except AnswerTooLarge as error:
            return _FailedAttempt(AttemptVerdict.SPOILED, str(error), True)
        except (httpx.HTTPError, OSError) as error:
            self._report_broken(entry, delivery)
            return _FailedAttempt(AttemptVerdict.BROKEN, type(error).__name__, True)
        if not await self._is_end_certain(entry, answer):
            self._report_broken(entry, delivery)
            return _FailedAttempt(AttemptVerdict.BROKEN, _UNCONFIRMED_END, True)
        attempt_id = delivery.routed.request.attempt_id
        if not answer.is_delimited and self._client.holds_surplus(body, attempt_id):
            detail = "followed by another answer"
            return _FailedAttempt(AttemptVerdict.SPOILED, detail, True)
        if answer.status >= _SERVER_ERROR and self._may_repeat(delivery):
            # The next attempt needs the inputs again.
            return _FailedAttempt(
                AttemptVerdict.FAILED_BY_TARGET, f"status {answer.status}", True
            )
        delivery.progress.inputs_fetched()
        # The target is done; a caller that reads slowly is no reason to try another.
        delivery.is_answer_complete = True
        self._reschedule(timeout, delivery, math.inf)
        await delivery.answer.begin(
            answer.status, end_to_end_headers(answer.headers, len(body))
        )
        # What is held is counted; of other bodies, what their callers haven't read is.
        n_part = _PART_BYTES if answer.n_held else max(1, len(body))
        for start in range(0, len(body), n_part):
            await delivery.answer.send(body[start : start + n_part])
        await delivery.answer.end()
        return Served(answer.status)

    async def _forward_large(
        self,
        delivery: Delivery,
        entry: TargetEntry,
        answer: Answer,
        timeout: asyncio.Timeout,
    ) -> Served | _FailedAttempt:
        """Forward an answer of a known length as its caller reads it.

        Held as a whole, the answers of many slow callers would fill the memory. One
        that breaks off after its first bytes were sent is shorter than its head says.
        """
        headers = end_to_end_headers(answer.headers, answer.announced_bytes)
        try:
            async for chunk in answer.chunks():
                if not delivery.answer.has_begun:
                    delivery.progress.inputs_fetched()
                    self._reschedule(timeout, delivery, math.inf)
                    await delivery.answer.begin(answer.status, headers)
                await delivery.answer.send(chunk)
        except (httpx.HTTPError, OSError, AnswerTooLarge) as error:
            # A target that sends too many small chunks has not crashed.
            if not isinstance(error, AnswerTooLarge):
                self._report_broken(entry, delivery)
            detail = f"{type(error).__name__} {error}".rstrip()
            if delivery.answer.has_begun:
                return Served(answer.status, is_cut=True, detail=detail)
            return _FailedAttempt(AttemptVerdict.BROKEN, detail, True)
        await delivery.answer.end()
        return Served(answer.status)

    async def _forward_stream(
        self,
        delivery: Delivery,
        entry: TargetEntry,
        answer: Answer,
        timeout: asyncio.Timeout,
    ) -> Served | _FailedAttempt:
        """Forward a stream event by event."""
        routed, relay = delivery.routed, delivery.relay
        stall_timeout_s = max(
            _MIN_STALL_TIMEOUT_S, _STALL_TIMEOUT_FACTOR * routed.route.event_gap_s
        )
        may_resume = routed.route.is_resumable
        pace = StreamPace(relay.n_events)
        try:
            async for chunk in answer.chunks():
                if delivery.first_byte_at is None:
                    delivery.first_byte_at = self._clock.monotonic()
                    delivery.progress.inputs_fetched()
                events = relay.feed(chunk)
                pace.record(relay.n_events, self._clock.monotonic())
                if pace.is_due():
                    self._report_pace(routed.pool, entry, pace)
                if not events:
                    continue
                self._bind_software(delivery, entry)
                # Time in which the caller does not read is no stall of the target.
                self._reschedule(timeout, delivery, math.inf)
                await self._send_events(delivery, answer, events)
                if may_resume:
                    self._reschedule(timeout, delivery, stall_timeout_s)
        except (httpx.HTTPError, OSError) as error:
            self._report_broken(entry, delivery)
            return self._stream_broke(delivery, type(error).__name__)
        except (EventTooLarge, AnswerTooLarge) as error:
            return self._stream_broke(delivery, str(error))
        problem = await self._stream_end_problem(delivery, entry, answer)
        if problem:
            self._report_broken(entry, delivery)
            return self._stream_broke(delivery, problem)
        if not delivery.answer.has_begun:
            await self._send_events(delivery, answer, b"")
        await delivery.answer.end()
        self._report_pace(routed.pool, entry, pace)
        return Served(answer.status)

    async def _stream_end_problem(
        self, delivery: Delivery, entry: TargetEntry, answer: Answer
    ) -> str:
        """Return why the end of a stream's body is not the end of the stream, or ""."""
        if delivery.relay.has_partial:
            return "ended inside an event"
        has_event = delivery.relay.n_events > delivery.n_events_before
        if not (has_event or answer.is_delimited):
            return "ended before an event"
        if not await self._is_end_certain(entry, answer):
            return _UNCONFIRMED_END
        return ""

    async def _is_end_certain(self, entry: TargetEntry, answer: Answer) -> bool:
        """Return whether a body that ended without an error is complete.

        One with neither length nor chunks ends with its connection, which a target that
        crashed may close in the same way.
        """
        return answer.is_delimited or await self._client.accepts_connections(entry)

    def _reschedule(
        self, timeout: asyncio.Timeout, delivery: Delivery, within_s: float
    ) -> None:
        """End the exchange after some time from now, at the deadline at the latest."""
        now = self._clock.monotonic()
        remaining_s = min(within_s, max(0.0, delivery.routed.deadline_at - now))
        timeout.reschedule(asyncio.get_running_loop().time() + remaining_s)

    def _bind_software(self, delivery: Delivery, entry: TargetEntry) -> None:
        """Record which software version began the stream."""
        if delivery.software is not None:
            return
        delivery.software = entry.software
        if delivery.routed.route.is_resumable and self._on_begin is not None:
            self._on_begin(delivery.routed.request.attempt_id, entry.software)

    def _report_pace(
        self, pool: PoolName, entry: TargetEntry, pace: StreamPace
    ) -> None:
        gap_s = pace.gap_s()
        if gap_s is not None and self._on_pace is not None:
            self._on_pace(pool, entry.key, gap_s)

    async def _send_events(
        self, delivery: Delivery, answer: Answer, events: bytes
    ) -> None:
        """Send complete events, preceded by the head if no answer has begun."""
        if not delivery.answer.has_begun:
            headers = end_to_end_headers(answer.headers, None)
            delivery.media_type = answer.media_type
            await delivery.answer.begin(answer.status, headers)
        if events:
            await delivery.answer.send(events)

    def _stream_broke(self, delivery: Delivery, detail: str) -> Served | _FailedAttempt:
        if delivery.answer.has_begun and not delivery.routed.route.is_resumable:
            return Served(200, is_cut=True, detail=detail)
        return _FailedAttempt(AttemptVerdict.BROKEN, detail, True)

    def _timeout_s(self, delivery: Delivery, now: float) -> float:
        """Return how long to wait for an answer."""
        routed = delivery.routed
        remaining_s = routed.deadline_at - now
        if routed.route.kind is not RequestKind.IDEMPOTENT:
            return remaining_s
        if not self._may_repeat(delivery):
            return remaining_s
        return min(remaining_s, _ATTEMPT_TIMEOUT_FACTOR * routed.route.objective_s)

    def _may_repeat(self, delivery: Delivery) -> bool:
        """Return whether the request may run again after the current attempt."""
        routed = delivery.routed
        now = self._clock.monotonic()
        return (
            routed.route.may_repeat
            and delivery.n_run + 1 < routed.route.max_attempts
            and routed.deadline_at - now > _MIN_REMAINING_S
            and self._budgets.of(routed.pool, now).may_retry(now)
            and self.has_target(delivery)
        )

    def _may_retry(self, delivery: Delivery, result: _FailedAttempt) -> bool:
        """Count a failed attempt and decide whether to make another."""
        routed = delivery.routed
        if not result.may_have_run:
            delivery.n_not_run += 1
            is_sent = result.verdict is not AttemptVerdict.NOT_SENT
            delivery.needs_token = delivery.needs_token or is_sent
            if delivery.n_not_run > _MAX_NOT_RUN_ATTEMPTS:
                return False
            return not is_sent or self.draw_token(delivery)
        delivery.n_run += 1
        delivery.needs_token = True
        if not routed.route.may_repeat or delivery.n_run >= routed.route.max_attempts:
            return False
        return self.draw_token(delivery)

    def _final_outcome(
        self, delivery: Delivery, result: _FailedAttempt
    ) -> Served | Refusal:
        detail = result.detail
        return delivery.unserved(
            detail,
            Refusal(RefusalReason.OVERLOADED, detail, _SHORT_RETRY_AFTER_S),
            RefusalReason.DEADLINE_EXCEEDED
            if result.verdict is AttemptVerdict.TIMED_OUT
            else RefusalReason.TARGET_FAILED,
        )

    def _no_target(self, delivery: Delivery) -> Served | Refusal:
        if delivery.answer.has_begun:
            return Served(200, is_cut=True, detail="no target")
        if delivery.n_run == 0:
            detail = self._state.no_target_detail(delivery.routed.pool)
            return Refusal(RefusalReason.NO_TARGET, detail, _SHORT_RETRY_AFTER_S)
        return Refusal(RefusalReason.TARGET_FAILED, "no other target")

    def _refuse_choice(
        self, delivery: Delivery, refused: ChoiceRefused
    ) -> Served | Refusal:
        """Return the outcome of a request that no target may be sent in time."""
        if refused.retry_after_s is None:
            return self._no_target(delivery)
        return delivery.unserved(
            refused.detail,
            Refusal(RefusalReason.OVERLOADED, refused.detail, refused.retry_after_s),
        )

    def _report_broken(self, entry: TargetEntry, delivery: Delivery) -> None:
        routed = delivery.routed
        parts = tuple(part.part_id for part in routed.request.prompt)
        self._events.emit(
            TargetBroke(
                routed.request.attempt_id,
                entry.key.target_id,
                entry.key.born_ms,
                routed.fingerprint,
                parts[:_MAX_LOGGED_PARTS],
                delivery.head_at is not None,
                delivery.relay.n_events - delivery.n_events_before,
            )
        )
        self._on_broken(entry, routed.fingerprint)
        if _had_just_begun(delivery):
            self._prompts.target_broke(entry.key, routed.request)


_NOT_RUN_VERDICTS: Final = frozenset({AttemptVerdict.NOT_RUN, AttemptVerdict.NOT_SENT})
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


def _time_needed_s(routed: RoutedRequest, now: float) -> float:
    """Return the time that an attempt needs before the exit of this process.

    If one that may not be repeated were cut off, its caller could not learn whether it
    ran; so it must have all the time that its caller waits.
    """
    left_s = routed.deadline_at - now
    if routed.route.kind is RequestKind.NON_IDEMPOTENT:
        return left_s
    return min(left_s, routed.route.objective_s)


def _since(began_at: float, at: float | None) -> float | None:
    return None if at is None else at - began_at


def _received(answer: Answer | None) -> tuple[int, str, bool, int]:
    """Return status, signature, position and surplus answers, as they are logged."""
    if answer is None:
        return 0, "", False, 0
    signature = answer.head.signature[:_MAX_LOGGED_CHARACTERS]
    return answer.status, signature, answer.is_first, answer.n_surplus


def _continues(delivery: Delivery, answer: Answer) -> bool:
    """Return whether an answer may be the rest of a stream that has begun.

    Its caller has the head of the stream, and can't be told of an error or of another
    kind of content. A length of zero says that there is no stream; one that has nothing
    more to send is a body that ends at once.
    """
    return (
        answer.status == _OK
        and answer.media_type == delivery.media_type
        and not answer.is_without_body
    )


def _had_just_begun(delivery: Delivery) -> bool:
    """Return whether the target that broke may have done so over this request.

    A stream's head is sent when the target starts to run the request, its first event
    soon after. Other answers show nothing before they are complete.
    """
    if delivery.routed.route.kind is not RequestKind.STREAMING:
        return True
    has_event = delivery.relay.n_events > delivery.n_events_before
    return delivery.head_at is not None and not has_event


def _excluded(
    delivery: Delivery, entries: Iterable[TargetEntry]
) -> frozenset[TargetId]:
    """Return the targets tried before, and those that can't continue the stream."""
    software = delivery.software
    if software is None:
        return frozenset(delivery.tried)
    others = (each.key.target_id for each in entries if each.software != software)
    return frozenset(delivery.tried).union(others)


def _prefix(routed: RoutedRequest) -> PrefixKey | None:
    """Return the key of the prompt parts that other requests may share."""
    parts = routed.request.prompt
    if not routed.route.caches_prompts or len(parts) < 2:
        return None
    return PrefixKey("/".join(part.part_id for part in parts[:-1]))
