"""Lifecycle of one request, as a state machine without I/O.

Each event returns the next action; the caller performs the action and reports the
result as another event. A request ends with exactly one :class:`Finish`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

import msgspec

from aspendrift_model.digests import TokenDigest, token_digest
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    PrefixKey,
    RequestId,
    TargetId,
)
from aspendrift_model.outcomes import Answered, Failed, Outcome, Refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import AttemptEnd, Ran, RefusalReason, StageKind
from aspendrift_model.wire_target import StageCall
from aspendrift_policy.deadlines import attempt_timeout_s, stage_deadline_at
from aspendrift_policy.interfaces import RouteQuery
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

__all__ = ["EngineLimits", "RequestEngine", "RequestFacts"]

_MS_PER_S: Final = 1000.0
_UNEXECUTED_ENDS: Final = frozenset(
    {AttemptEnd.NOT_SENT, AttemptEnd.REJECTED, AttemptEnd.CANCELLED}
)


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Immutable properties of a request.

    Parameters
    ----------
    run_id : RequestId
        Identifies this run within the daemon; the caller's request id may repeat.
    deadline_at : float
        Deadline on the monotonic clock, in seconds.
    reserve_s : float
        Time to reserve after the last stage, in seconds.
    excluded : frozenset of TargetId
        Targets that crashed while they processed the same content.
    """

    run_id: RequestId
    request_id: RequestId
    account_id: AccountId
    profile: Profile
    input: str
    max_tokens: int
    deadline_at: float
    prefix_key: PrefixKey
    reserve_s: float = 0.0
    excluded: frozenset[TargetId] = frozenset()


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Limits on the attempts of one request."""

    max_attempts_per_stage: int = 3
    max_resumes_per_attempt: int = 1


class _Phase(Enum):
    NEW = "new"
    ROUTING = "routing"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class _StageProgress:
    """Attempts of the current stage."""

    n_attempts: int = 0
    n_resumes: int = 0
    was_sent: bool = False
    excluded: frozenset[TargetId] = frozenset()
    tokens: list[str] = field(default_factory=list)


class RequestEngine:
    """Decides the next action for one request.

    Attributes
    ----------
    ran : Ran
        Whether any byte of the request has reached a target so far.
    n_dropped : int
        Number of ignored events: stale, duplicate, or of another attempt.
    """

    def __init__(self, facts: RequestFacts, limits: EngineLimits) -> None:
        self.facts = facts
        self.ran = Ran.NO
        self.n_dropped = 0
        self.crashed = False
        self._limits = limits
        self._phase = _Phase.NEW
        self._stage_index = 0
        self._n_attempts = 0
        self._attempt_id = AttemptId("")
        self._target_id = TargetId("")
        self._progress = _StageProgress(excluded=facts.excluded)
        self._context = b"null"
        self._stage_deadline_at = facts.deadline_at
        self._ran_before_attempt = Ran.NO
        self._caller_gone = False
        self._call: StageCall | None = None

    @property
    def stage(self) -> Stage:
        """The current stage."""
        return self.facts.profile.stages[self._stage_index]

    def step(self, event: EngineEvent, now: float) -> Action:
        """Process an event and return the next action."""
        if isinstance(event, CallerGone):
            return self._on_caller_gone()
        if isinstance(event, Started):
            return self._on_started(now)
        if self._phase is _Phase.ENDED or event.attempt_id != self._attempt_id:
            return self._drop()
        if isinstance(event, Routed | RouteRefused):
            return self._on_route(event, now)
        if self._phase is not _Phase.RUNNING:
            return self._drop()
        return self._on_attempt(event, now)

    def _drop(self) -> Ignore:
        self.n_dropped += 1
        return Ignore()

    def _on_started(self, now: float) -> Action:
        if self._phase is not _Phase.NEW:
            return self._drop()
        if self._caller_gone:
            return self._fail(RefusalReason.CALLER_GONE)
        return self._begin_stage(now)

    def _on_caller_gone(self) -> Action:
        """End the request, unless it is non-idempotent and may have been executed."""
        if self._phase is _Phase.ENDED:
            return self._drop()
        self._caller_gone = True
        may_finish = not self.facts.profile.contract.idempotent
        if may_finish and self.ran is not Ran.NO:
            return Ignore()
        if self._phase is _Phase.NEW:
            return Ignore()
        return self._fail(RefusalReason.CALLER_GONE)

    def _begin_stage(self, now: float) -> Action:
        stages = self.facts.profile.stages
        later = stages[self._stage_index + 1 :]
        self._stage_deadline_at = stage_deadline_at(
            now, self.facts.deadline_at, self.stage, later, self.facts.reserve_s
        )
        return self._acquire(now)

    def _acquire(self, now: float) -> Action:
        if now >= self._stage_deadline_at:
            return self._fail(RefusalReason.DEADLINE_EXCEEDED)
        self._phase = _Phase.ROUTING
        self._n_attempts += 1
        self._attempt_id = AttemptId(f"{self.facts.run_id}.{self._n_attempts}")
        return Acquire(self._query())

    def _query(self) -> RouteQuery:
        facts = self.facts
        return RouteQuery(
            request_id=facts.run_id,
            attempt_id=self._attempt_id,
            account_id=facts.account_id,
            profile=facts.profile,
            stage=self.stage,
            deadline_at=self._stage_deadline_at,
            priority=facts.profile.contract.priority,
            prefix_key=facts.prefix_key,
            max_tokens=self._max_tokens(),
            excluded=self._progress.excluded,
            is_retry=self._progress.was_sent,
            avoid_sharing=self.crashed,
        )

    def _max_tokens(self) -> int:
        if self.stage.kind is not StageKind.GENERATE:
            return 0
        return min(self.facts.max_tokens, self.stage.max_tokens or 1)

    def _on_route(self, event: Routed | RouteRefused, now: float) -> Action:
        if self._phase is not _Phase.ROUTING:
            return self._drop()
        if isinstance(event, RouteRefused):
            return self._on_refusal(event.refusal, now)
        if self._caller_gone and self.ran is Ran.NO:
            return self._fail(RefusalReason.CALLER_GONE)
        self._phase = _Phase.RUNNING
        self._target_id = event.choice.target.target_id
        self._progress.n_attempts += 1
        self._progress.n_resumes = 0
        self._ran_before_attempt = self.ran
        if self.ran is Ran.NO:
            self.ran = Ran.UNKNOWN
        self._call = self._stage_call(now)
        return Send(self._call, self._timeout_s(now))

    def _on_refusal(self, refusal: Refused, now: float) -> Action:
        excluded = self._progress.excluded
        if refusal.reason is RefusalReason.NO_TARGET and excluded:
            self._progress.excluded = frozenset()
            return self._acquire(now)
        return self._fail(refusal.reason, refusal.detail, refusal.retry_after_ms)

    def _stage_call(self, now: float) -> StageCall:
        stage = self.stage
        remaining_s = max(0.0, self._stage_deadline_at - now)
        return StageCall(
            request_id=self.facts.request_id,
            attempt_id=self._attempt_id,
            stage=stage.name,
            kind=stage.kind,
            input=self.facts.input,
            remaining_ms=int(remaining_s * _MS_PER_S),
            priority=int(self.facts.profile.contract.priority),
            model=stage.model,
            adapter=stage.adapter,
            max_tokens=self._max_tokens(),
            context=msgspec.Raw(self._context),
            prefix_tokens=tuple(self._progress.tokens),
            prefix_key=self.facts.prefix_key,
        )

    def _timeout_s(self, now: float) -> float:
        generates = self.stage.kind is StageKind.GENERATE
        may_retry = self._may_resend() and not generates
        return attempt_timeout_s(
            now, self._stage_deadline_at, self.stage, may_retry=may_retry
        )

    def _may_resend(self) -> bool:
        has_attempts = self._progress.n_attempts < self._limits.max_attempts_per_stage
        return self.facts.profile.contract.idempotent and has_attempts

    def _on_attempt(self, event: EngineEvent, now: float) -> Action:
        if isinstance(event, TokenArrived):
            return self._on_token(event)
        if isinstance(event, StageReturned):
            return self._on_output(event.output, now)
        if isinstance(event, GenerationEnded):
            return self._on_generation_end(event, now)
        if isinstance(event, AttemptFailed):
            return self._on_failure(event, now)
        return self._drop()

    def _on_token(self, event: TokenArrived) -> Action:
        tokens = self._progress.tokens
        if event.n != len(tokens) + 1 or len(tokens) >= self._max_tokens():
            return self._drop()
        self.ran = Ran.YES
        tokens.append(event.text)
        return TokenAccepted(event.n, event.text, self._is_last_stage())

    def _is_last_stage(self) -> bool:
        return self._stage_index == len(self.facts.profile.stages) - 1

    def _on_output(self, output: bytes, now: float) -> Action:
        self.ran = Ran.YES
        self._context = output
        if self._is_last_stage():
            text = output.decode()
            return self._finish(Answered(text, 0, token_digest((text,))))
        return self._next_stage(now)

    def _on_generation_end(self, event: GenerationEnded, now: float) -> Action:
        digest = TokenDigest()
        for text in self._progress.tokens:
            digest.add(text)
        if (event.n_tokens, event.digest) != (digest.n_tokens, digest.hexdigest()):
            failed = AttemptFailed(event.attempt_id, AttemptEnd.BROKEN)
            return self._on_failure(failed, now)
        self.ran = Ran.YES
        output = "".join(self._progress.tokens)
        if self._is_last_stage():
            return self._finish(Answered(output, digest.n_tokens, event.digest))
        self._context = msgspec.json.encode(output)
        return self._next_stage(now)

    def _next_stage(self, now: float) -> Action:
        self._stage_index += 1
        self._progress = _StageProgress(excluded=self.facts.excluded)
        return self._begin_stage(now)

    def _on_failure(self, event: AttemptFailed, now: float) -> Action:
        is_resume = self._progress.n_resumes > 0
        unexecuted = event.end in _UNEXECUTED_ENDS and not is_resume
        if unexecuted and not self._progress.tokens:
            self.ran = self._ran_before_attempt
        if event.quarantined:
            return self._fail(RefusalReason.POISON)
        if event.end is AttemptEnd.CANCELLED:
            self._progress.n_attempts -= 1
            return self._acquire(now)
        if event.end is AttemptEnd.BROKEN and self._may_resume(event, now):
            return self._resume(now)
        self.crashed = self.crashed or event.crashed
        self._progress.was_sent = self._progress.was_sent or not unexecuted
        self._progress.excluded |= {self._target_id}
        if now >= self._stage_deadline_at:
            return self._fail(RefusalReason.DEADLINE_EXCEEDED, event.detail)
        if self._may_retry(unexecuted):
            return self._acquire(now)
        return self._fail(self._failure_reason(event), event.detail)

    def _may_resume(self, event: AttemptFailed, now: float) -> bool:
        if self.stage.kind is not StageKind.GENERATE or event.crashed:
            return False
        has_resumes = self._progress.n_resumes < self._limits.max_resumes_per_attempt
        return has_resumes and now < self._stage_deadline_at

    def _resume(self, now: float) -> Action:
        assert self._call is not None
        self._progress.n_resumes += 1
        after = len(self._progress.tokens)
        return Resume(self._call, after, self._timeout_s(now))

    def _may_retry(self, unexecuted: bool) -> bool:
        if not unexecuted:
            return self._may_resend()
        return self._progress.n_attempts < self._limits.max_attempts_per_stage

    def _failure_reason(self, event: AttemptFailed) -> RefusalReason:
        if event.end is AttemptEnd.TIMED_OUT:
            return RefusalReason.DEADLINE_EXCEEDED
        return RefusalReason.TARGET_FAILED

    def _fail(
        self,
        reason: RefusalReason,
        detail: str = "",
        retry_after_ms: int | None = None,
    ) -> Action:
        if self.ran is Ran.NO:
            return self._finish(Refused(reason, detail, retry_after_ms))
        at_most_once = not self.facts.profile.contract.idempotent
        if (
            at_most_once
            and self.ran is Ran.UNKNOWN
            and reason is not RefusalReason.POISON
        ):
            detail = f"{reason.value}: {detail}" if detail else reason.value
            reason = RefusalReason.OUTCOME_UNKNOWN
        return self._finish(Failed(reason, self.ran, detail, retry_after_ms))

    def _finish(self, outcome: Outcome) -> Finish:
        self._phase = _Phase.ENDED
        return Finish(outcome)
