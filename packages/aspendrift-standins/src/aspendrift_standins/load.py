"""Open-loop load sender: sends the requests of a plan and checks every answer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

import httpx

from aspendrift_client.caller import Call, Caller, CallResult
from aspendrift_model.states import Ran
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.expected import AnswerFault, answer_fault, expected_answer
from aspendrift_standins.load_plan import LoadAccount, LoadPlan, PlannedRequest, planned

__all__ = ["WHOLE_PLAN", "LoadSender", "PlanShare", "RequestRecord", "TokenTimes"]

_MAX_CONNECTIONS: Final = 2_000
_MAX_IDLE_CONNECTIONS: Final = 200


@dataclass(frozen=True, slots=True)
class PlanShare:
    """The part of a plan that one of several load senders sends.

    Parameters
    ----------
    index, n_senders : int
        Number of this sender, from 0, and how many senders there are.
    started_at : float or None
        Start of the plan on the monotonic clock, which all processes of a host
        share; if None, the plan starts at once.
    """

    index: int = 0
    n_senders: int = 1
    started_at: float | None = None

    def of(self, requests: Iterator[PlannedRequest]) -> Iterator[PlannedRequest]:
        """Yield the requests of this share."""
        return itertools.islice(requests, self.index, None, self.n_senders)


WHOLE_PLAN: Final = PlanShare()


@dataclass(slots=True)
class TokenTimes:
    """Tokens of a stream, with their arrival times on the monotonic clock."""

    texts: list[str] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)

    def token(self, n: int, text: str) -> None:
        """Record the arrival of token number ``n``."""
        self.texts.append(text)
        self.arrived_at.append(time.monotonic())

    def restart(self) -> None:
        """Discard the tokens so far; the answer starts again from the beginning."""
        self.texts.clear()
        self.arrived_at.clear()


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Result of one request of a plan, with its times.

    Parameters
    ----------
    result : CallResult or None
        None if its caller abandoned it.
    fault : AnswerFault or None
        Fault of the answer; None if there is no answer or it is as expected.
    latency_s : float
        Time from the intended send time to the outcome, in seconds.
    first_token_s : float or None
        Time from the intended send time to the first streamed token, in seconds.
    token_gaps_s : tuple of float
        Times between streamed tokens, in seconds.
    sent_late_s : float
        Time from the intended to the actual send time, in seconds; large if the
        sender itself is short of CPU time.
    resent : CallResult or None
        Result of the second send, if the request was sent again.
    resent_fault : AnswerFault or None
        Fault of the answer to the second send.
    """

    request: PlannedRequest
    result: CallResult | None
    fault: AnswerFault | None
    latency_s: float
    first_token_s: float | None = None
    token_gaps_s: tuple[float, ...] = ()
    sent_late_s: float = 0.0
    resent: CallResult | None = None
    resent_fault: AnswerFault | None = None

    @property
    def attained(self) -> bool:
        """Whether the complete answer arrived within the deadline."""
        answered = self.result is not None and self.result.answered
        in_time = self.latency_s <= self.request.profile.deadline_ms / 1e3
        return answered and self.fault is None and in_time


class LoadSender:
    """Sends requests at their intended times, however long the answers take.

    Parameters
    ----------
    seeds : sequence of str
        Base URLs of daemons from which callers get addresses.
    on_record : callable
        Called with the record of each request when it ends.
    """

    def __init__(
        self, seeds: Sequence[str], on_record: Callable[[RequestRecord], None]
    ) -> None:
        self._seeds = tuple(seeds)
        self._on_record = on_record

    async def run(self, plan: LoadPlan, share: PlanShare = WHOLE_PLAN) -> None:
        """Send a plan, or a share of it, and wait until every request has ended."""
        async with contextlib.AsyncExitStack() as stack:
            callers_by_account = {
                account.account_id: itertools.cycle(
                    [
                        await self._caller(stack, account, i, plan, share)
                        for i in range(plan.callers_per_account)
                    ]
                )
                for account in plan.accounts
            }
            started_at = share.started_at or time.monotonic()
            async with asyncio.TaskGroup() as tasks:
                for request in share.of(planned(plan)):
                    send_at = started_at + request.at_s
                    delay_s = send_at - time.monotonic()
                    await asyncio.sleep(max(0.0, delay_s))
                    caller = next(callers_by_account[request.account.account_id])
                    tasks.create_task(self._send(caller, request, send_at))

    async def _caller(
        self,
        stack: contextlib.AsyncExitStack,
        account: LoadAccount,
        index: int,
        plan: LoadPlan,
        share: PlanShare,
    ) -> Caller:
        limits = httpx.Limits(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_IDLE_CONNECTIONS,
        )
        client = httpx.AsyncClient(
            headers={"authorization": f"Bearer {account.token}"},
            limits=limits,
            trust_env=False,
        )
        await stack.enter_async_context(client)
        rng = random.Random(f"{plan.seed}/{account.account_id}/{index}/{share.index}")
        return Caller(self._seeds, client, rng)

    async def _send(
        self, caller: Caller, request: PlannedRequest, send_at: float
    ) -> None:
        sink = TokenTimes()
        sent_late_s = time.monotonic() - send_at
        result = await _send_or_abandon(caller, request, sink)
        ended_at = time.monotonic()
        resent, resent_fault = None, None
        if request.resend and result is not None and result.outcome.ran is not Ran.NO:
            resent_sink = TokenTimes()
            resent = await caller.send(_call(request), resent_sink)
            resent_fault = _fault(request, resent, resent_sink)
        times = sink.arrived_at
        gaps = (
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        )
        record = RequestRecord(
            request,
            result,
            _fault(request, result, sink),
            ended_at - send_at,
            times[0] - send_at if times else None,
            tuple(gaps),
            sent_late_s,
            resent,
            resent_fault,
        )
        self._on_record(record)


async def _send_or_abandon(
    caller: Caller, request: PlannedRequest, sink: TokenTimes
) -> CallResult | None:
    if request.abandon_after_s is None:
        return await caller.send(_call(request), sink)
    try:
        async with asyncio.timeout(request.abandon_after_s):
            return await caller.send(_call(request), sink)
    except TimeoutError:
        return None


def _call(request: PlannedRequest) -> Call:
    return Call(
        request.request_id,
        request.profile.name,
        request.input,
        deadline_ms=request.profile.deadline_ms,
        stream=request.stream,
        idempotent=request.profile.idempotent,
    )


def _fault(
    request: PlannedRequest, result: CallResult | None, sink: TokenTimes
) -> AnswerFault | None:
    if result is None or not result.answered:
        return None
    outcome = result.outcome
    assert isinstance(outcome, OutcomeBody)
    stages = request.profile.stages
    expected = expected_answer(request.request_id, request.input, stages)
    return answer_fault(expected, outcome, sink.texts or None)
