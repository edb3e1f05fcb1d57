"""The caller library: picks an address, sends, and resends where that is safe."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeAlias

import httpx
import msgspec

from aspendrift_client.address_book import AddressBook
from aspendrift_client.exchange import (
    TokenSink,
    ask_outcome,
    fetch_addresses,
    send_request,
)
from aspendrift_client.resend import (
    Broken,
    NextStep,
    NotSent,
    Reply,
    next_step,
    next_step_after_asking,
)
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.wire_caller import AddressAnswer, OutcomeBody, RequestBody

__all__ = ["Call", "CallResult", "Caller", "NoOutcome"]

_DEFAULT_DEADLINE_MS: Final = 60_000
_GRACE_S: Final = 1.0
_ADDRESS_TIMEOUT_S: Final = 1.0
_MIN_SEND_S: Final = 0.005
_FIRST_BACKOFF_S: Final = 0.05
_MAX_BACKOFF_S: Final = 2.0
_MAX_SENDS: Final = 6


@dataclass(frozen=True, slots=True)
class Call:
    """One request as an application makes it.

    Parameters
    ----------
    request_id : str
        Idempotency key, unique within the client account.
    deadline_ms : int or None
        Time for the whole call with every resend, in milliseconds; None leaves
        the deadline to the profile.
    idempotent : bool
        Whether the call may run more than once; if not known, False.
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
    """No daemon gave an outcome in time.

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
    """The outcome of a call and how often it was sent."""

    outcome: CallOutcome
    n_sends: int

    @property
    def answered(self) -> bool:
        """Whether the whole answer arrived."""
        return (
            isinstance(self.outcome, OutcomeBody)
            and self.outcome.status is OutcomeStatus.ANSWERED
        )


@dataclass(slots=True)
class _Progress:
    """State of one call."""

    call: Call
    started_at: float
    deadline_at: float
    sink: TokenSink | None
    n_sends: int = 0
    n_rounds: int = 0
    ran: Ran = Ran.NO
    avoided: set[str] = field(default_factory=set)


class Caller:
    """Sends requests of one client account.

    Parameters
    ----------
    seeds : sequence of str
        Base URLs of daemons to ask for addresses first.
    client : httpx.AsyncClient
        Client that sends the account's token; closed by whoever made it.
    rng : random.Random
        Spreads the choice of addresses and the waits.
    monotonic : callable
        Clock in seconds.
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
        self._book = AddressBook(seeds)
        self._refreshing = asyncio.Lock()

    async def addresses(self) -> AddressAnswer | None:
        """Ask for addresses until a daemon answers; None if none does."""
        tried: set[str] = set()
        while (url := self._next_untried(tried)) is not None:
            tried.add(url)
            answer = await fetch_addresses(self._client, url, _ADDRESS_TIMEOUT_S)
            now = self._monotonic()
            if answer is not None:
                self._book.update(answer, now, self._rng)
                return answer
            self._book.report_failure(url, now)
        self._book.postpone(self._monotonic())
        return None

    async def send(self, call: Call, sink: TokenSink | None = None) -> CallResult:
        """Send a call, and again where that is safe, until its deadline."""
        progress = self._begin(call, sink)
        reply: Reply = NotSent("no daemon is known")
        step = NextStep.RESEND
        while step is not NextStep.FINISH:
            if step is NextStep.ASK_OUTCOME:
                reply = await self._ask_once(progress)
                step = next_step_after_asking(reply)
            else:
                reply = await self._send_once(progress)
                step = next_step(reply, idempotent=call.idempotent)
            if step is not NextStep.FINISH and not await self._wait(progress, reply):
                break
        return _result(progress, reply)

    async def outcome(self, request_id: str) -> CallResult:
        """Ask for the outcome of an earlier request."""
        progress = self._begin(Call(request_id, "", ""), None)
        progress.ran = Ran.UNKNOWN
        return _result(progress, await self._ask_once(progress))

    def _begin(self, call: Call, sink: TokenSink | None) -> _Progress:
        now = self._monotonic()
        length_ms = call.deadline_ms or _DEFAULT_DEADLINE_MS
        return _Progress(call, now, now + length_ms / 1000, sink)

    def _next_untried(self, tried: set[str]) -> str | None:
        url = self._book.choose(self._monotonic(), self._rng, frozenset(tried))
        return None if url in tried else url

    async def _address(self, progress: _Progress) -> str | None:
        if self._book.needs_refresh(self._monotonic()):
            async with self._refreshing:
                if self._book.needs_refresh(self._monotonic()):
                    await self.addresses()
        return self._book.choose(
            self._monotonic(), self._rng, frozenset(progress.avoided)
        )

    async def _send_once(self, progress: _Progress) -> Reply:
        url = await self._address(progress)
        if url is None:
            return NotSent("no daemon is known")
        remaining_s = max(_MIN_SEND_S, progress.deadline_at - self._monotonic())
        if progress.n_sends and progress.sink is not None:
            progress.sink.restart()
        progress.n_sends += 1
        body = _request_body(progress.call, remaining_s)
        self._book.begin(url)
        try:
            reply = await send_request(
                self._client, url, body, progress.sink, remaining_s + _GRACE_S
            )
        finally:
            self._book.end(url)
        self._learn(progress, url, reply)
        return reply

    async def _ask_once(self, progress: _Progress) -> Reply:
        url = await self._address(progress)
        if url is None:
            return Broken("no daemon is known")
        remaining_s = max(_MIN_SEND_S, progress.deadline_at - self._monotonic())
        request_id = progress.call.request_id
        reply = await ask_outcome(self._client, url, request_id, remaining_s)
        if isinstance(reply, OutcomeBody) and reply.ran is not Ran.UNKNOWN:
            progress.ran = reply.ran
        self._learn(progress, url, reply)
        return reply

    def _learn(self, progress: _Progress, url: str, reply: Reply) -> None:
        now = self._monotonic()
        if isinstance(reply, OutcomeBody):
            self._book.report_success(url)
        else:
            self._book.report_failure(url, now)
            progress.avoided.add(url)
        _learn_ran(progress, reply)
        if next_step(reply, idempotent=False) is NextStep.RESEND_ELSEWHERE:
            progress.avoided.add(url)
            self._book.expire()

    async def _wait(self, progress: _Progress, reply: Reply) -> bool:
        """Wait before the next round; False if there is no time for one."""
        progress.n_rounds += 1
        longest = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2**progress.n_rounds)
        wait_s = longest * self._rng.uniform(0.5, 1.0)
        if isinstance(reply, OutcomeBody) and reply.retry_after_ms is not None:
            wait_s = reply.retry_after_ms / 1000 * self._rng.uniform(1.0, 1.2)
        if progress.n_sends >= _MAX_SENDS:
            return False
        if self._monotonic() + wait_s >= progress.deadline_at:
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


def _learn_ran(progress: _Progress, reply: Reply) -> None:
    """Note whether any send may have run; a later refusal doesn't undo it."""
    if isinstance(reply, Broken) and progress.ran is Ran.NO:
        progress.ran = Ran.UNKNOWN
    elif isinstance(reply, OutcomeBody) and reply.ran is not Ran.NO:
        progress.ran = reply.ran if progress.ran is not Ran.YES else Ran.YES


def _result(progress: _Progress, reply: Reply) -> CallResult:
    if not isinstance(reply, OutcomeBody):
        return CallResult(NoOutcome(progress.ran, reply.detail), progress.n_sends)
    if reply.ran is Ran.NO and progress.ran is not Ran.NO:
        reply = msgspec.structs.replace(
            reply, ran=progress.ran, status=OutcomeStatus.FAILED
        )
    return CallResult(reply, progress.n_sends)
