"""Serves a request: route, account, admission, stages, attempts and answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import xxhash

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.attempts import (
    AttemptSender,
    Delivery,
    InputsGone,
    RoutedRequest,
    Served,
)
from aspendrift_gateway.caller_answer import (
    CallerAnswer,
    CallerDisconnected,
    CallerStalled,
)
from aspendrift_gateway.events import RequestDenied, RequestEnded, RequestRouted
from aspendrift_gateway.handover import Handover
from aspendrift_gateway.interfaces import CallerCodec, PromptGuard
from aspendrift_gateway.origin_exchange import OriginExchange
from aspendrift_gateway.refusals import (
    POISON_RETRY_AFTER_S,
    Refusal,
    refusal_body,
    refusal_status,
)
from aspendrift_gateway.stage_run import (
    StageDemand,
    StagesFailed,
    StagesRunner,
)
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import AccountId, DaemonId, Fingerprint, PoolName
from aspendrift_model.opaque_requests import OpaqueRequest
from aspendrift_model.pieces import PieceFailure
from aspendrift_model.routes import KeyedAccount, Route
from aspendrift_model.states import RefusalReason
from aspendrift_policy.caller_timeouts import caller_timeout_s, first_byte_timeout_s
from aspendrift_policy.chain_admission import Admit, Chain, ChainAdmission
from aspendrift_policy.poison import ContentState, SuspectTracker
from aspendrift_policy.request_ages import RequestAges
from aspendrift_policy.route_table import RouteTable
from aspendrift_policy.stage_plan import StagePlan

__all__ = ["OpenCounts", "RequestPath"]

# Time in which a daemon that just started, or whose state is stale, becomes current.
_SHORT_RETRY_AFTER_S: Final = 0.3
# Time reserved for sending a refusal before the caller times out.
_ANSWER_MARGIN_S: Final = 0.03
_FIRST_ERROR_STATUS: Final = 400
# Time in which a target that crashed is often back.
_TARGET_RETURN_S: Final = 1.0
_RANKS_PER_PRIORITY: Final = 16
# Interval at which a draining gateway looks for requests that wait too long.
_REFUSE_INTERVAL_S: Final = 0.05
# Attempts per request, including those whose inputs were gone.
_MAX_ATTEMPTS: Final = 4


@dataclass(slots=True)
class _OpenRequest:
    """A request without a final answer."""

    request: OpaqueRequest
    arrived_at: float
    task: asyncio.Task[None] | None
    route: Route | None = None
    delivery: Delivery | None = None
    n_attempts: int = 0
    n_not_run: int = 0
    is_ended_early: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may run, or may have run."""
        return self.n_attempts > self.n_not_run

    @property
    def has_whole_answer(self) -> bool:
        """Whether only the caller has yet to read the answer."""
        return self.delivery is not None and self.delivery.is_answer_complete

    @property
    def has_begun(self) -> bool:
        """Whether the caller was sent a part of the answer."""
        return self.delivery is not None and self.delivery.answer.has_begun

    def end_early(self) -> None:
        """End the request at once, with an answer that states its outcome."""
        if self.task is not None and not self.is_ended_early:
            self.is_ended_early = True
            self.task.cancel()


class _Progress:
    """Counts attempts, and frees the results of the stages once they are fetched."""

    def __init__(
        self, opened: _OpenRequest, fetched: Callable[[], None] | None = None
    ) -> None:
        self._opened = opened
        self._fetched = fetched

    def count_attempt(self) -> int:
        """Count an attempt and return its number."""
        self._opened.n_attempts += 1
        return self._opened.n_attempts

    def attempt_not_run(self) -> None:
        """Record that the last attempt was not run."""
        self._opened.n_not_run += 1

    def inputs_fetched(self) -> None:
        """Record that the target has fetched all inputs."""
        if self._fetched is not None:
            self._fetched()


@dataclass(frozen=True, slots=True)
class _RouteMatch:
    route: Route
    account: KeyedAccount | None
    pool: PoolName


@dataclass(slots=True)
class OpenCounts:
    """Numbers of open requests by how far they have got."""

    n_unsent: int = 0
    n_sent: int = 0
    n_begun: int = 0
    n_answered: int = 0


class RequestPath:
    """Serves requests from their arrival to their final answer.

    Parameters
    ----------
    suspects : SuspectTracker
        Contents suspected of crashing targets.
    prompts : PromptGuard
        Quarantines of prompt parts that crash targets.
    refuses_new : callable
        Returns why a new request is refused, or None.
    max_denial_age_s : callable
        Returns the age of the configuration up to which an unknown route or key is
        denied: the time in which a new configuration must be in force.
    on_behind : callable
        Called with a daemon that holds a newer configuration than this one.
    on_ahead : callable
        Called with a daemon that holds an older configuration than this one.
    """

    def __init__(
        self,
        state: SystemState,
        stages: StagesRunner,
        sender: AttemptSender,
        origins: OriginExchange,
        handover: Handover,
        admission: ChainAdmission,
        suspects: SuspectTracker,
        prompts: PromptGuard,
        codec: CallerCodec,
        clock: Clock,
        events: EventHub,
        refuses_new: Callable[[OpaqueRequest, float], Refusal | None],
        max_denial_age_s: Callable[[], float],
        on_behind: Callable[[DaemonId], None],
        on_ahead: Callable[[DaemonId], None],
    ) -> None:
        self._state = state
        self._stages = stages
        self._sender = sender
        self._origins = origins
        self._handover = handover
        self._admission = admission
        self._suspects = suspects
        self._prompts = prompts
        self._codec = codec
        self._clock = clock
        self._events = events
        self._refuses_new = refuses_new
        self._max_denial_age_s = max_denial_age_s
        self._on_behind = on_behind
        self._on_ahead = on_ahead
        self._ages = RequestAges()
        self._open: dict[int, _OpenRequest] = {}
        self._sequence = 0
        self._draining: asyncio.Task[None] | None = None

    @property
    def n_open(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open)

    def open_ids(self) -> list[str]:
        """Return the ids of these requests."""
        return [each.request.attempt_id for each in self._open.values()]

    def open_counts(self) -> OpenCounts:
        """Return how far the open requests have got."""
        counts = OpenCounts()
        for opened in self._open.values():
            if opened.has_whole_answer:
                counts.n_answered += 1
            elif opened.has_begun:
                counts.n_begun += 1
            elif opened.may_have_run:
                counts.n_sent += 1
            else:
                counts.n_unsent += 1
        return counts

    def begin_draining(self) -> None:
        """Begin to refuse waiting requests that can't be answered before the exit."""
        if self._draining is None:
            self._draining = asyncio.create_task(self._refuse_late())

    def end_open(self) -> None:
        """End open requests at shutdown, with answers that state their outcome.

        Those that have a whole answer go on until :meth:`end_answers`.
        """
        if self._draining is not None:
            self._draining.cancel()
        for opened in self._open.values():
            if not opened.has_whole_answer:
                opened.end_early()

    def end_answers(self) -> None:
        """Cut off the answers that their callers have not read."""
        for opened in self._open.values():
            opened.end_early()

    async def _refuse_late(self) -> None:
        while True:
            for opened in self._open.values():
                delivery = opened.delivery
                if delivery is None or opened.may_have_run:
                    continue
                if self._sender.refuse_late(delivery) is not None:
                    opened.end_early()
            await asyncio.sleep(_REFUSE_INTERVAL_S)

    async def serve(self, request: OpaqueRequest, answer: CallerAnswer) -> None:
        """Serve a request to its final answer."""
        self._sequence += 1
        number = self._sequence
        opened = _OpenRequest(request, self._clock.monotonic(), asyncio.current_task())
        self._open[number] = opened
        outcome: Served | Refusal = Refusal(RefusalReason.CALLER_GONE)
        try:
            outcome = await self._serve_or_end(opened, answer)
            if isinstance(outcome, Refusal):
                await self._refuse(request, outcome, answer)
            elif outcome.is_cut:
                answer.abort()
        except CallerDisconnected:
            answer.abort()
        finally:
            del self._open[number]
            self._log_end(opened, outcome)

    async def _serve_or_end(
        self, opened: _OpenRequest, answer: CallerAnswer
    ) -> Served | Refusal:
        """Serve a request; if :meth:`end_open` cancels it, classify its outcome."""
        try:
            return await self._serve(opened, answer)
        except CallerStalled:
            return Served(200, is_cut=True, detail="caller does not read")
        except CallerDisconnected as error:
            detail = f"caller disconnected, {error}"
            return Served(200, is_cut=True, detail=detail)
        except asyncio.CancelledError:
            if not opened.is_ended_early or opened.task is None:
                raise
            opened.task.uncancel()
        if answer.has_begun:
            return Served(200, is_cut=True, detail="leaving")
        if opened.may_have_run:
            return Refusal(RefusalReason.OUTCOME_UNKNOWN, "leaving")
        return Refusal(RefusalReason.LEAVING, "ended while waiting", 0.0)

    async def _serve(
        self, opened: _OpenRequest, answer: CallerAnswer
    ) -> Served | Refusal:
        request, now = opened.request, opened.arrived_at
        refusal = self._refuses_new(request, now)
        if refusal is not None:
            return refusal
        table = self._state.table
        if table is None or not self._state.is_complete:
            return Refusal(
                RefusalReason.NOT_READY, "no configuration", _SHORT_RETRY_AFTER_S
            )
        refusal = self._refuse_behind(table, request)
        if refusal is not None:
            return refusal
        matched = self._match(table, request, now)
        if isinstance(matched, Refusal):
            return matched
        route = opened.route = matched.route
        timeout_s = caller_timeout_s(route, request.caller_timeout_s)
        routed = RoutedRequest(
            request=request,
            route=route,
            pool=matched.pool,
            account_id=None if matched.account is None else matched.account.account_id,
            rank=_rank(matched),
            fingerprint=_fingerprint(request, matched.account),
            sent_at=now - self._ages.age_s(route.name, request.caller_timeout_s),
            deadline_at=now + timeout_s - _ANSWER_MARGIN_S,
            first_byte_deadline_at=now
            + first_byte_timeout_s(route, request.caller_timeout_s)
            - _ANSWER_MARGIN_S,
        )
        self._events.emit(
            RequestRouted(
                request.attempt_id,
                route.name,
                matched.pool,
                routed.account_id or "",
                route.priority,
                None if matched.account is None else matched.account.priority,
                table.configuration.version,
                self._state.configuration_age_s(now),
                self._state.configuration_source,
                timeout_s,
                request.resumes or "",
                request.last_event_id or "",
            )
        )
        content_state = self._suspects.content_state(routed.fingerprint, now)
        if content_state is ContentState.QUARANTINED:
            return Refusal(RefusalReason.POISON, "", POISON_RETRY_AFTER_S)
        parts = self._prompts.refuses(request)
        if parts is not None:
            return Refusal(RefusalReason.POISON, parts, POISON_RETRY_AFTER_S)
        delivery = Delivery(routed, answer, _Progress(opened))
        opened.delivery = delivery
        outcome = await self._run_or_hand_over(opened, table, delivery)
        if isinstance(outcome, Served) and not (
            outcome.is_cut or outcome.is_handed_over
        ):
            self._suspects.mark_known_good(routed.fingerprint, self._clock.monotonic())
            if outcome.status < _FIRST_ERROR_STATUS:
                self._prompts.completed(request)
        return outcome

    def _refuse_behind(
        self, table: RouteTable, request: OpaqueRequest
    ) -> Refusal | None:
        """Return a refusal if another daemon admitted a request by a newer table.

        To its caller the configuration would otherwise go back.
        """
        origin, version = request.handed_over, table.configuration.version
        if origin is None or origin.configuration_version == version:
            return None
        if origin.configuration_version < version:
            # Its caller sees the newer one now, and may ask there again at once.
            self._on_ahead(origin.daemon_id)
            return None
        self._on_behind(origin.daemon_id)
        return Refusal(
            RefusalReason.CONFIGURATION_BEHIND,
            f"version {version}, admitted by {origin.configuration_version}",
        )

    async def _run_or_hand_over(
        self, opened: _OpenRequest, table: RouteTable, delivery: Delivery
    ) -> Served | Refusal:
        """Run a request here, or at another daemon if this one reaches no target."""
        if not self._handover.is_due(delivery):
            outcome = await self._run(opened, table, delivery)
            if isinstance(outcome, Served) or not self._handover.is_due(delivery):
                return outcome
            if not self._sender.draw_token(delivery):
                return outcome
        refusal = self._sender.refuse_late(delivery)
        if refusal is not None:
            return refusal
        return await self._handover.send(delivery, table.configuration.version)

    async def _run(
        self, opened: _OpenRequest, table: RouteTable, delivery: Delivery
    ) -> Served | Refusal:
        """Run the stages and send the request; free the results on every exit."""
        routed = delivery.routed
        request, route = routed.request, routed.route
        if not self._state.registry.usable(routed.pool):
            detail = self._state.no_target_detail(routed.pool)
            return Refusal(RefusalReason.NO_TARGET, detail, _SHORT_RETRY_AFTER_S)
        refusal = await self._bind_origin(delivery)
        if refusal is not None:
            return refusal
        if not route.stages or not any(request.pieces):
            outcome = await self._sender.send(delivery)
            if isinstance(outcome, InputsGone):
                return Refusal(
                    RefusalReason.NO_TARGET, "inputs gone", _SHORT_RETRY_AFTER_S
                )
            return outcome
        chain = self._chain(table, routed)
        demand = self._demand(chain, delivery)
        refusal = await self._refuse_chain(chain, demand)
        if refusal is not None:
            return refusal
        plan = StagePlan(
            request.attempt_id, route.stages, request.pieces, request.piece_key
        )
        delivery.progress = _Progress(opened, lambda: self._stages.release(plan, route))
        try:
            return await self._run_stages(opened, chain, delivery, plan, demand)
        finally:
            self._stages.release(plan, route)

    async def _bind_origin(self, delivery: Delivery) -> Refusal | None:
        """Bind a stream that its caller takes up to the software version it began at.

        Return a refusal if that is unknown, or if no target of that version is left.
        """
        routed = delivery.routed
        request, route = routed.request, routed.route
        if not route.is_resumable or request.last_event_id is None:
            return None
        origin = await self._origins.find(request, route, routed.pool)
        if origin.software is None:
            return Refusal(
                RefusalReason.NO_TARGET,
                "the software version that began the stream is unknown",
                _SHORT_RETRY_AFTER_S,
            )
        delivery.software = origin.software
        if self._sender.has_target(delivery):
            return None
        detail = f"no target of software version {origin.software}"
        return Refusal(RefusalReason.NO_TARGET, detail, _TARGET_RETURN_S)

    def _chain(self, table: RouteTable, routed: RoutedRequest) -> Chain:
        registry = self._state.registry
        return Chain(
            routed.route,
            routed.request.pieces,
            routed.rank,
            {
                stage.pool: len(registry.usable(stage.pool))
                for stage in routed.route.stages
            },
            table.configuration.pools_by_name,
        )

    def _demand(self, chain: Chain, delivery: Delivery) -> StageDemand:
        routed = delivery.routed
        return StageDemand(
            routed.route,
            chain.pools_by_name,
            routed.rank,
            routed.sent_at + routed.route.objective_s,
            routed.first_byte_deadline_at,
            self._sender.likely_zone(delivery),
            routed.account_id,
        )

    async def _refuse_chain(self, chain: Chain, demand: StageDemand) -> Refusal | None:
        """Return a refusal if the stages can't be completed in time, else None."""
        detail = self._evacuation_detail(chain)
        if detail is not None:
            return Refusal(RefusalReason.NO_TARGET, detail, _SHORT_RETRY_AFTER_S)
        decision = await self._stages.admit(chain, demand)
        if isinstance(decision, Admit):
            return None
        detail = f"predicted {decision.predicted_s:.2f} s"
        if decision.share < 1.0:
            detail += f", {decision.share:.0%} of such requests start"
        return Refusal(RefusalReason.OVERLOADED, detail, decision.retry_after_s)

    def _evacuation_detail(self, chain: Chain) -> str | None:
        """Return why a stage can't run now; None if its pools aren't evacuated."""
        for stage, n_pieces in chain.stages():
            if n_pieces and self._state.is_evacuated(stage.pool):
                return self._state.no_target_detail(stage.pool)
        return None

    async def _run_stages(
        self,
        opened: _OpenRequest,
        chain: Chain,
        delivery: Delivery,
        plan: StagePlan,
        demand: StageDemand,
    ) -> Served | Refusal:
        """Run the stages and send the request; repeat both if results were lost."""
        route = delivery.routed.route
        while True:
            result = await self._stages.run(plan, demand)
            if isinstance(result, StagesFailed):
                return self._stage_refusal(result, chain, delivery)
            delivery.inputs = tuple(plan.final_inputs())
            outcome = await self._sender.send(delivery)
            if not isinstance(outcome, InputsGone):
                return outcome
            if opened.n_attempts >= _MAX_ATTEMPTS:
                return self._abandon(delivery, "inputs gone")
            if not self._sender.has_target(delivery):
                return self._abandon(delivery, "no target after lost inputs")
            self._stages.release(plan, route)
            for stage in plan.last_stages:
                plan.discard_results(stage)

    def _match(
        self, table: RouteTable, request: OpaqueRequest, now: float
    ) -> _RouteMatch | Refusal:
        route = table.match(request.host, request.path)
        if route is None:
            return self._deny(RefusalReason.NOT_FOUND, request, now)
        account = None
        if table.has_accounts and not route.is_public:
            account = table.account(request.key)
            if account is None:
                return self._deny(RefusalReason.UNAUTHENTICATED, request, now)
        pool = table.pool(route, request.attempt_id)
        return _RouteMatch(route, account, pool)

    def _deny(
        self, reason: RefusalReason, request: OpaqueRequest, now: float
    ) -> Refusal:
        """Deny an unknown route or key, unless a newer configuration may contain it."""
        state = self._state
        age_s = state.configuration_age_s(now)
        if age_s is None or age_s > self._max_denial_age_s():
            return Refusal(RefusalReason.ISOLATED, reason.value, _SHORT_RETRY_AFTER_S)
        self._events.emit(
            RequestDenied(
                request.attempt_id,
                reason,
                state.configuration_version,
                age_s,
                state.configuration_source,
            )
        )
        return Refusal(reason)

    def _stage_refusal(
        self, failed: StagesFailed, chain: Chain, delivery: Delivery
    ) -> Served | Refusal:
        """Return the outcome of a request whose stages failed."""
        detail = f"stage {failed.stage}: {failed.failure.value}"
        if failed.failure is PieceFailure.OVERDUE and not delivery.n_run:
            retry_s = self._admission.retry_after_s(chain, self._clock.monotonic())
            return Refusal(RefusalReason.OVERLOADED, detail, retry_s)
        evacuation = self._evacuation_detail(chain)
        if evacuation is not None:
            detail = f"{detail}, {evacuation}"
        return self._abandon(delivery, detail)

    def _abandon(self, delivery: Delivery, detail: str) -> Served | Refusal:
        """Return the outcome of a request that can't be continued but may have run."""
        refusal = Refusal(RefusalReason.NO_TARGET, detail, _SHORT_RETRY_AFTER_S)
        return delivery.unserved(detail, refusal)

    async def _refuse(
        self, request: OpaqueRequest, refusal: Refusal, answer: CallerAnswer
    ) -> None:
        if answer.has_begun:
            answer.abort()
            return
        headers = self._codec.refusal_headers(request.attempt_id, refusal.retry_after_s)
        body = refusal_body(refusal)
        length = (b"content-length", str(len(body)).encode())
        await answer.begin(refusal_status(refusal.reason), (*headers, length))
        await answer.send(body)
        await answer.end()

    def _log_end(self, opened: _OpenRequest, outcome: Served | Refusal) -> None:
        took_s = self._clock.monotonic() - opened.arrived_at
        route = "" if opened.route is None else opened.route.name
        if isinstance(outcome, Served):
            status, reason, detail, retry_s = outcome.status, None, outcome.detail, None
        else:
            status, reason = refusal_status(outcome.reason), outcome.reason
            detail, retry_s = outcome.detail, outcome.retry_after_s
        self._events.emit(
            RequestEnded(
                opened.request.attempt_id,
                route,
                status,
                reason,
                detail,
                retry_s,
                opened.n_attempts,
                took_s,
            )
        )


def _rank(matched: _RouteMatch) -> int:
    """Return the rank of a request: its account's priority, then its route's."""
    account, route = matched.account, matched.route
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return priority * _RANKS_PER_PRIORITY + route.priority


def _fingerprint(request: OpaqueRequest, account: KeyedAccount | None) -> Fingerprint:
    """Return a digest that stays the same when a caller repeats a request."""
    digest = xxhash.xxh3_128()
    for part in (
        request.method.encode(),
        request.host.encode(),
        request.target_path,
        (AccountId("") if account is None else account.account_id).encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
