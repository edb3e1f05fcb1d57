"""Caller library: chooses a daemon, sends a request and resends it if that is safe."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeAlias

import httpx
import msgspec

from aspendrift_client.address_table import AddressTable
from aspendrift_client.exchange import (
    TokenSink,
    fetch_addresses,
    query_outcome,
    send_request,
)
from aspendrift_client.resend import (
    Broken,
    NextStep,
    NotSent,
    Reply,
    next_step,
    next_step_after_query,
)
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.wire_caller import AddressAnswer, OutcomeBody, RequestBody

__all__ = ["Call", "CallResult", "Caller", "NoOutcome"]

_DEFAULT_DEADLINE_MS: Final = 60_000
_REPLY_GRACE_S: Final = 1.0
_ADDRESS_TIMEOUT_S: Final = 1.0
_MIN_ATTEMPT_TIMEOUT_S: Final = 0.005
_FIRST_BACKOFF_S: Final = 0.05
_MAX_BACKOFF_S: Final = 2.0
_MAX_ATTEMPTS: Final = 6


@dataclass(frozen=True, slots=True)
class Call:
    """One request of an application.

    Parameters
    ----------
    request_id : str
        Idempotency key, unique within the client account.
    deadline_ms : int or None
        Time limit of the call with all its attempts, in milliseconds; None uses
        the deadline of the profile.
    idempotent : bool
        Whether the call may run more than once; False if unknown.
    """

    request_id: str
    profile: str
    input: str
    max_tokens: int | None = None
    deadline_ms: int | None = None
    stream: bool = False
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class NoOutcome:
    """No daemon returned an outcome before the deadline.

    Parameters
    ----------
    ran : Ran
        ``Ran.NO`` if no byte of the request left the caller, else
        ``Ran.UNKNOWN``.
    """

    ran: Ran
    detail: str


CallOutcome: TypeAlias = OutcomeBody | NoOutcome


@dataclass(frozen=True, slots=True)
class CallResult:
    """The outcome of a call and its number of attempts."""

    outcome: CallOutcome
    n_attempts: int

    @property
    def answered(self) -> bool:
        """Whether the complete answer arrived."""
        return (
            isinstance(self.outcome, OutcomeBody)
            and self.outcome.status is OutcomeStatus.ANSWERED
        )


@dataclass(slots=True)
class _CallState:
    """State of one call."""

    call: Call
    started_at: float
    deadline_at: float
    sink: TokenSink | None
    n_attempts: int = 0
    n_rounds: int = 0
    ran: Ran = Ran.NO
    avoided: set[str] = field(default_factory=set)


class Caller:
    """Sends requests of one client account.

    Parameters
    ----------
    seeds : sequence of str
        Base URLs of the daemons to query for addresses first.
    client : httpx.AsyncClient
        Client that sends the account's token; closed by its owner.
    rng : random.Random
        Source of randomness for the choice of addresses and the backoff jitter.
    monotonic : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        seeds: Sequence[str],
        client: httpx.AsyncClient,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._seeds = tuple(seeds)
        self._client = client
        self._rng = rng
        self._monotonic = monotonic
        self._address_table = AddressTable(seeds)
        self._refresh_lock = asyncio.Lock()

    async def addresses(self) -> AddressAnswer | None:
        """Query daemons for addresses until one answers; None if none does."""
        tried: set[str] = set()
        while (url := self._next_untried(tried)) is not None:
            tried.add(url)
            answer = await fetch_addresses(self._client, url, _ADDRESS_TIMEOUT_S)
            now = self._monotonic()
            if answer is not None:
                self._address_table.update(answer, now, self._rng)
                return answer
            self._address_table.record_failure(url, now)
        self._address_table.postpone(self._monotonic())
        return None

    async def send(self, call: Call, sink: TokenSink | None = None) -> CallResult:
        """Send a call and resend it, if that is safe, until its deadline."""
        state = self._new_state(call, sink)
        reply: Reply = NotSent("no daemon address is known")
        step = NextStep.RESEND
        while step is not NextStep.FINISH:
            if step is NextStep.ASK_OUTCOME:
                reply = await self._query_outcome(state)
                step = next_step_after_query(reply)
            else:
                reply = await self._attempt(state)
                step = next_step(reply, idempotent=call.idempotent)
            if step is not NextStep.FINISH and not await self._back_off(state, reply):
                break
        return _result(state, reply)

    async def outcome(self, request_id: str) -> CallResult:
        """Query the outcome of an earlier request."""
        state = self._new_state(Call(request_id, "", ""), None)
        state.ran = Ran.UNKNOWN
        return _result(state, await self._query_outcome(state))

    def _new_state(self, call: Call, sink: TokenSink | None) -> _CallState:
        now = self._monotonic()
        deadline_ms = call.deadline_ms or _DEFAULT_DEADLINE_MS
        return _CallState(call, now, now + deadline_ms / 1000, sink)

    def _next_untried(self, tried: set[str]) -> str | None:
        url = self._address_table.choose(self._monotonic(), self._rng, frozenset(tried))
        return None if url in tried else url

    async def _choose_address(self, state: _CallState) -> str | None:
        if self._address_table.needs_refresh(self._monotonic()):
            async with self._refresh_lock:
                if self._address_table.needs_refresh(self._monotonic()):
                    await self.addresses()
        return self._address_table.choose(
            self._monotonic(), self._rng, frozenset(state.avoided)
        )

    async def _attempt(self, state: _CallState) -> Reply:
        url = await self._choose_address(state)
        if url is None:
            return NotSent("no daemon address is known")
        remaining_s = max(_MIN_ATTEMPT_TIMEOUT_S, state.deadline_at - self._monotonic())
        if state.n_attempts and state.sink is not None:
            state.sink.restart()
        state.n_attempts += 1
        body = _request_body(state.call, remaining_s)
        self._address_table.record_start(url)
        try:
            reply = await send_request(
                self._client, url, body, state.sink, remaining_s + _REPLY_GRACE_S
            )
        finally:
            self._address_table.record_end(url)
        self._record_reply(state, url, reply)
        return reply

    async def _query_outcome(self, state: _CallState) -> Reply:
        url = await self._choose_address(state)
        if url is None:
            return Broken("no daemon address is known")
        remaining_s = max(_MIN_ATTEMPT_TIMEOUT_S, state.deadline_at - self._monotonic())
        request_id = state.call.request_id
        reply = await query_outcome(self._client, url, request_id, remaining_s)
        if isinstance(reply, OutcomeBody) and reply.ran is not Ran.UNKNOWN:
            state.ran = reply.ran
        self._record_reply(state, url, reply)
        return reply

    def _record_reply(self, state: _CallState, url: str, reply: Reply) -> None:
        now = self._monotonic()
        if isinstance(reply, OutcomeBody):
            self._address_table.record_success(url)
        else:
            self._address_table.record_failure(url, now)
            state.avoided.add(url)
        _update_ran(state, reply)
        if next_step(reply, idempotent=False) is NextStep.RESEND_ELSEWHERE:
            state.avoided.add(url)
            self._address_table.expire()

    async def _back_off(self, state: _CallState, reply: Reply) -> bool:
        """Back off before the next step; False if no attempt or time remains."""
        state.n_rounds += 1
        max_wait_s = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2**state.n_rounds)
        wait_s = max_wait_s * self._rng.uniform(0.5, 1.0)
        if isinstance(reply, OutcomeBody) and reply.retry_after_ms is not None:
            wait_s = reply.retry_after_ms / 1000 * self._rng.uniform(1.0, 1.2)
        if state.n_attempts >= _MAX_ATTEMPTS:
            return False
        if self._monotonic() + wait_s >= state.deadline_at:
            return False
        await asyncio.sleep(wait_s)
        return True


def _request_body(call: Call, remaining_s: float) -> RequestBody:
    has_deadline = call.deadline_ms is not None
    return RequestBody(
        request_id=call.request_id,
        profile=call.profile,
        input=call.input,
        max_tokens=call.max_tokens,
        deadline_ms=max(1, int(remaining_s * 1000)) if has_deadline else None,
        stream=call.stream,
    )


def _update_ran(state: _CallState, reply: Reply) -> None:
    """Record whether any attempt may have run; a later refusal doesn't reset it."""
    if isinstance(reply, Broken) and state.ran is Ran.NO:
        state.ran = Ran.UNKNOWN
    elif isinstance(reply, OutcomeBody) and reply.ran is not Ran.NO:
        state.ran = reply.ran if state.ran is not Ran.YES else Ran.YES


def _result(state: _CallState, reply: Reply) -> CallResult:
    if not isinstance(reply, OutcomeBody):
        return CallResult(NoOutcome(state.ran, reply.detail), state.n_attempts)
    if reply.ran is Ran.NO and state.ran is not Ran.NO:
        reply = msgspec.structs.replace(
            reply, ran=state.ran, status=OutcomeStatus.FAILED
        )
    return CallResult(reply, state.n_attempts)
