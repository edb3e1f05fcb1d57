"""Runs the requests of callers, each to exactly one outcome."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import structlog

from aspendrift_daemon.claims import Claim, Claims, Replayed
from aspendrift_daemon.dispatch_witnesses import DispatchStatus, DispatchWitnesses
from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import (
    Clock,
    ConfigurationSource,
    PeerBus,
    TableService,
)
from aspendrift_daemon.outcome_bodies import outcome_body
from aspendrift_daemon.poison import PoisonGuard
from aspendrift_daemon.request_events import OutcomeStoreDelayed, RequestEnded
from aspendrift_daemon.request_runs import RequestRun, RunPorts, Targets
from aspendrift_daemon.slot_source import SlotSource
from aspendrift_daemon.streams import NoTokens, TokenSink
from aspendrift_model.accounts import ClientAccount
from aspendrift_model.digests import content_fingerprint
from aspendrift_model.ids import (
    AccountId,
    DaemonId,
    Fingerprint,
    PrefixKey,
    ProfileName,
    RequestId,
    Revision,
)
from aspendrift_model.outcomes import Failed, Outcome, Refused
from aspendrift_model.profiles import Profile
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import (
    CallerAction,
    OutcomeStatus,
    ProfileState,
    Ran,
    RefusalReason,
)
from aspendrift_model.wire_caller import OutcomeBody, RequestBody
from aspendrift_policy.claims import claim_key
from aspendrift_policy.interfaces import Dispatcher, Offer
from aspendrift_policy.poison import ContentState
from aspendrift_policy.request_engine import EngineLimits, RequestEngine, RequestFacts

__all__ = ["RequestService"]

_MS_PER_S: Final = 1000.0
_PREFIX_LENGTH: Final = 512
_OUTCOME_RESERVE_S: Final = 0.02
_STOP_TIMEOUT_S: Final = 5.0
_SUBMISSION_ONLY_REASONS: Final = frozenset({RefusalReason.REQUEST_ID_REUSED})
_ISOLATION_REASONS: Final = frozenset({RefusalReason.ISOLATED, RefusalReason.NOT_READY})
_NO_RECORD_REASONS: Final = frozenset(
    {RefusalReason.NOT_FOUND, RefusalReason.STORE_UNAVAILABLE}
)

_logger = structlog.get_logger("aspendrift.requests")


@dataclass(frozen=True, slots=True)
class _Request:
    """A received request and the values derived from it."""

    run_id: RequestId
    request_id: RequestId
    account_id: AccountId
    profile: Profile
    body: RequestBody
    fingerprint: Fingerprint
    revision: Revision
    arrived_at: float
    deadline_at: float

    @property
    def key(self) -> tuple[AccountId, RequestId]:
        """Key that identifies the request across all daemons."""
        return self.account_id, self.request_id


@dataclass(slots=True)
class _OpenClaimedRequest:
    """A request that may not be repeated and is open on this daemon."""

    fingerprint: Fingerprint
    task: asyncio.Task[OutcomeBody]


class RequestService:
    """Admits, claims and runs requests.

    Parameters
    ----------
    addresses : callable
        URLs of other daemons, for callers that must resend elsewhere.
    may_serve : callable
        Maps the current time to the reason why this daemon may not accept
        requests, or None.
    """

    def __init__(
        self,
        settings: RequestSettings,
        daemon_id: DaemonId,
        clock: Clock,
        table: TableService,
        bus: PeerBus,
        configuration: ConfigurationSource,
        dispatcher: Dispatcher,
        targets: Targets,
        events: EventHub,
        rng: random.Random,
        addresses: Callable[[], Sequence[str]] = tuple,
        may_serve: Callable[[float], RefusalReason | None] = lambda now: None,
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._clock = clock
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._rng = rng
        self._events = events
        self._addresses = addresses
        self._may_serve = may_serve
        self._process = f"{daemon_id}.{int(clock.unix() * _MS_PER_S):x}"
        self._process += f".{rng.getrandbits(32):08x}"
        self._limits = EngineLimits(
            settings.max_attempts_per_stage, settings.max_resumes_per_attempt
        )
        self._background: set[asyncio.Task[None]] = set()
        self._open: set[asyncio.Task[OutcomeBody]] = set()
        self._claimed_by_key: dict[
            tuple[AccountId, RequestId], _OpenClaimedRequest
        ] = {}
        self._n_runs = 0
        self._leaving = False
        self.claims = Claims(
            settings, daemon_id, self._process, clock, table, bus, rng, self._spawn
        )
        self.witnesses = DispatchWitnesses(settings, daemon_id, clock, bus)
        self.poison = PoisonGuard(
            settings, daemon_id, clock, table, bus, events, rng, self._spawn
        )
        slots = SlotSource(clock, dispatcher, self.poison)
        self._ports = RunPorts(
            clock, dispatcher, slots, targets, events, self.poison, self._spawn
        )

    @property
    def n_open(self) -> int:
        """Requests that have no outcome yet."""
        return len(self._open)

    def open_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests that have no outcome yet."""
        return tuple(task.get_name() for task in self._open)

    async def start(self) -> None:
        """Start the background tasks."""
        await self.claims.writer.start()
        self.witnesses.start()
        await self.poison.start()

    async def stop(self) -> None:
        """Cancel open requests, then wait a bounded time for table writes."""
        self._leaving = True
        await _cancel_all(self._open)
        if self._background:
            await asyncio.wait(self._background, timeout=_STOP_TIMEOUT_S)
        await _cancel_all(self._background)
        await self.claims.writer.stop()

    def begin_leaving(self) -> None:
        """Refuse new requests; open requests continue."""
        self._leaving = True

    async def run(
        self,
        account: ClientAccount,
        body: RequestBody,
        sink: TokenSink | None = None,
    ) -> OutcomeBody:
        """Run a request and return its outcome.

        Cancelling this coroutine means that the caller has disconnected. A
        request that may not be repeated and has been sent to a target then runs
        on without a caller, and its outcome is stored.
        """
        request_id = RequestId(body.request_id)
        now = self._clock.monotonic()
        request = self._resolve(account, body, now)
        if request is None:
            unknown = Refused(RefusalReason.UNKNOWN_PROFILE, body.profile)
            return self._body(request_id, self._service_refusal(now) or unknown)
        earlier = await self._earlier_outcome(request)
        if earlier is not None:
            return earlier
        refusal = self._service_refusal(now) or self._poison_refusal(request)
        if refusal is not None:
            return await self._check_not_run(request, self._body(request_id, refusal))
        ended = await self._run_detached(request, sink or NoTokens())
        return await self._check_not_run(request, ended)

    async def _check_not_run(self, request: _Request, body: OutcomeBody) -> OutcomeBody:
        """Replace "not run" if an earlier submission of the request may have run."""
        repeatable = request.profile.contract.idempotent
        if (
            repeatable
            or body.ran is not Ran.NO
            or body.reason in _SUBMISSION_ONLY_REASONS
        ):
            return body
        dispatch_status = await self.witnesses.query(claim_key(*request.key))
        is_isolated = body.reason in _ISOLATION_REASONS
        no_reply = dispatch_status is DispatchStatus.NO_REPLY
        if dispatch_status is DispatchStatus.NOT_SEEN or (no_reply and is_isolated):
            return body
        return msgspec.structs.replace(
            body,
            status=OutcomeStatus.FAILED,
            ran=Ran.UNKNOWN,
            action=CallerAction.ASK_OUTCOME,
            retry_after_ms=body.retry_after_ms or self._retry_after_ms(),
        )

    async def look_up(
        self, account: ClientAccount, request_id: RequestId
    ) -> OutcomeBody:
        """Return the recorded outcome of a request that may not be repeated."""
        if (account.account_id, request_id) in self._claimed_by_key:
            running = Failed(RefusalReason.CLAIM_HELD, Ran.UNKNOWN)
            return self._body(request_id, running)
        return await self._recorded(account.account_id, request_id)

    async def _recorded(
        self, account_id: AccountId, request_id: RequestId
    ) -> OutcomeBody:
        found = await self.claims.look_up(account_id, request_id)
        if isinstance(found, Replayed):
            return found.outcome
        return self._body(request_id, found)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def unknown_account(self) -> OutcomeBody:
        """Refuse a token that belongs to no client account in the configuration.

        A daemon whose configuration is missing or outdated can't tell whether
        the token is invalid, so it answers that it can't serve.
        """
        reason = self._may_serve(self._clock.monotonic())
        if reason not in (RefusalReason.NOT_READY, RefusalReason.ISOLATED):
            reason = RefusalReason.UNAUTHENTICATED
        return self._body(RequestId(""), Refused(reason))

    def _service_refusal(self, now: float) -> Refused | None:
        """Return the refusal if this daemon accepts no new request, or None."""
        if self._leaving:
            return Refused(RefusalReason.LEAVING)
        reason = self._may_serve(now)
        if reason is not None:
            return Refused(reason)
        if self.n_open >= self._settings.max_open:
            return Refused(RefusalReason.OVERLOADED, "too many open requests")
        return None

    def _poison_refusal(self, request: _Request) -> Refused | None:
        if self.poison.content_state(request.fingerprint) is ContentState.QUARANTINED:
            return Refused(RefusalReason.POISON)
        return None

    async def _earlier_outcome(self, request: _Request) -> OutcomeBody | None:
        """Return the outcome of an earlier submission known to this daemon.

        Checked before every refusal, so that a request that has run is never
        reported as "not run".
        """
        if request.profile.contract.idempotent:
            return None
        other = self._claimed_by_key.get(request.key)
        if other is not None:
            return await self._join(request, other)
        content = self._claim_fingerprint(request)
        ended = self.claims.pending_outcome(
            request.account_id, request.request_id, content
        )
        if isinstance(ended, Replayed):
            return ended.outcome
        if ended is not None:
            return self._body(request.request_id, ended)
        if self._poison_refusal(request) is None:
            return None
        found = await self._recorded(request.account_id, request.request_id)
        return found if found.reason not in _NO_RECORD_REASONS else None

    def _resolve(
        self, account: ClientAccount, body: RequestBody, now: float
    ) -> _Request | None:
        """Resolve the profile of a request; None if it is not published."""
        configuration = self._configuration.current()
        profile = configuration.profiles_by_name.get(ProfileName(body.profile))
        if profile is None or profile.state is not ProfileState.PUBLISHED:
            return None
        deadline_ms = profile.contract.deadline_ms
        if body.deadline_ms is not None:
            deadline_ms = min(deadline_ms, body.deadline_ms)
        self._n_runs += 1
        return _Request(
            run_id=RequestId(f"{self._process}.{self._n_runs}"),
            request_id=RequestId(body.request_id),
            account_id=account.account_id,
            profile=profile,
            body=body,
            fingerprint=content_fingerprint(profile.name, body.input),
            revision=configuration.revision,
            arrived_at=now,
            deadline_at=now + deadline_ms / _MS_PER_S,
        )

    async def _join(
        self, request: _Request, other: _OpenClaimedRequest
    ) -> OutcomeBody | None:
        """Wait for the outcome of the same request, which is open on this daemon.

        None means that the other submission ended without running because its
        caller had disconnected.
        """
        if self._claim_fingerprint(request) != other.fingerprint:
            reused = Refused(RefusalReason.REQUEST_ID_REUSED)
            return self._body(request.request_id, reused)
        remaining_s = request.deadline_at - self._clock.monotonic()
        done, _ = await asyncio.wait({other.task}, timeout=max(0.0, remaining_s))
        if done and not other.task.cancelled():
            ended = other.task.result()
            caller_gone = ended.reason is RefusalReason.CALLER_GONE
            return None if caller_gone and ended.ran is Ran.NO else ended
        held = Failed(RefusalReason.CLAIM_HELD, Ran.UNKNOWN)
        return self._body(request.request_id, held)

    async def _run_detached(self, request: _Request, sink: TokenSink) -> OutcomeBody:
        """Run a request in a separate task, which may outlive the caller."""
        run = self._new_run(request, sink)
        work = self._run_to_end(request, run)
        task = asyncio.create_task(work, name=request.request_id)
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        if not request.profile.contract.idempotent:
            fingerprint = self._claim_fingerprint(request)
            self._claimed_by_key[request.key] = _OpenClaimedRequest(fingerprint, task)
            task.add_done_callback(
                lambda _: self._claimed_by_key.pop(request.key, None)
            )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            run.caller_disconnected()
            raise

    def _new_run(self, request: _Request, sink: TokenSink) -> RequestRun:
        idempotent = request.profile.contract.idempotent
        facts = RequestFacts(
            run_id=request.run_id,
            request_id=request.request_id,
            account_id=request.account_id,
            profile=request.profile,
            input=request.body.input,
            max_tokens=_max_tokens(request),
            deadline_at=request.deadline_at,
            prefix_key=_prefix_key(request),
            reserve_s=0.0 if idempotent else _OUTCOME_RESERVE_S,
            excluded=self.poison.crashed_targets(request.fingerprint),
        )
        engine = RequestEngine(facts, self._limits)
        return RequestRun(engine, self._ports, sink, request.revision)

    async def _run_to_end(self, request: _Request, run: RequestRun) -> OutcomeBody:
        """Run a request and emit its outcome, also after an internal error."""
        body: OutcomeBody | None = None
        self.poison.open(request.run_id, request.fingerprint)
        try:
            body = await self._admit_and_run(request, run)
        except Exception:
            _logger.exception("request_error", request_id=request.request_id)
            body = self._body(request.request_id, _internal(run.engine.ran))
        finally:
            answered = body is not None and body.status is OutcomeStatus.ANSWERED
            self.poison.close(request.run_id, answered=answered)
        self._report(request, body)
        return body

    async def _admit_and_run(self, request: _Request, run: RequestRun) -> OutcomeBody:
        offer = Offer(
            request_id=request.run_id,
            account_id=request.account_id,
            profile=request.profile,
            deadline_at=request.deadline_at,
            max_tokens=run.engine.facts.max_tokens,
            prefix_key=run.engine.facts.prefix_key,
        )
        refusal = self._dispatcher.admit(offer)
        if refusal is not None:
            return self._body(request.request_id, refusal)
        try:
            if request.profile.contract.idempotent:
                return self._run_body(request, run, await run.drive())
            return await self._claim_and_run(request, run)
        finally:
            self._dispatcher.depart(request.run_id)

    async def _claim_and_run(self, request: _Request, run: RequestRun) -> OutcomeBody:
        answer = await self.claims.acquire(
            request.account_id,
            request.request_id,
            self._claim_fingerprint(request),
            request.deadline_at,
        )
        if isinstance(answer, Replayed):
            return answer.outcome
        if not isinstance(answer, Claim):
            return self._body(request.request_id, answer)
        self.witnesses.record(answer.key)
        try:
            outcome = await run.drive()
        except BaseException:
            await self._end_claim(request, answer, run, _internal(run.engine.ran))
            raise
        return await self._end_claim(request, answer, run, outcome)

    async def _end_claim(
        self, request: _Request, claim: Claim, run: RequestRun, outcome: Outcome
    ) -> OutcomeBody:
        """Store the outcome, or release the claim if nothing ran."""
        body = self._run_body(request, run, outcome)
        if isinstance(outcome, Refused):
            self.witnesses.record(claim.key, undone=True)
            self.claims.release(claim)
        elif not await self.claims.finish(claim, body):
            self._events.emit(
                OutcomeStoreDelayed(request.request_id, request.account_id)
            )
        return body

    def _claim_fingerprint(self, request: _Request) -> Fingerprint:
        max_tokens = request.body.max_tokens
        return content_fingerprint(request.fingerprint, str(max_tokens))

    def _run_body(
        self, request: _Request, run: RequestRun, outcome: Outcome
    ) -> OutcomeBody:
        return outcome_body(
            request.request_id,
            outcome,
            daemon_id=self._daemon_id,
            revision=request.revision,
            stages=run.timings(),
            retry_after_ms=self._retry_after_ms(),
            may_repeat=request.profile.contract.idempotent,
        )

    def _retry_after_ms(self) -> int:
        """Return the retry delay, jittered so that callers don't retry together."""
        return int(self._settings.retry_after_ms * self._rng.uniform(1.0, 2.0))

    def _body(self, request_id: RequestId, outcome: Outcome) -> OutcomeBody:
        return outcome_body(
            request_id,
            outcome,
            daemon_id=self._daemon_id,
            revision=self._configuration.current().revision,
            addresses=self._addresses,
            retry_after_ms=self._retry_after_ms(),
        )

    def _report(self, request: _Request, body: OutcomeBody) -> None:
        now = self._clock.monotonic()
        self._events.emit(
            RequestEnded(
                request_id=request.request_id,
                account_id=request.account_id,
                profile=request.profile.name,
                status=body.status,
                ran=body.ran,
                reason=body.reason,
                total_ms=round((now - request.arrived_at) * _MS_PER_S, 3),
                in_time=body.status is OutcomeStatus.ANSWERED
                and now <= request.deadline_at,
                stages=body.stages,
                revision=request.revision,
            )
        )


async def _cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    pending = list(tasks)
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


def _max_tokens(request: _Request) -> int:
    limit = max((stage.max_tokens for stage in request.profile.stages), default=0)
    return min(limit, request.body.max_tokens or limit)


def _prefix_key(request: _Request) -> PrefixKey:
    prefix = request.body.input[:_PREFIX_LENGTH]
    return PrefixKey(content_fingerprint(request.profile.name, prefix))


def _internal(ran: Ran) -> Outcome:
    if ran is Ran.NO:
        return Refused(RefusalReason.INTERNAL)
    return Failed(RefusalReason.INTERNAL, ran)
