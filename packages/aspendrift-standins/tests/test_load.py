"""Tests of the load sender and its report with a scripted daemon."""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path

import msgspec
import pytest

from aspendrift_model.digests import token_digest
from aspendrift_model.states import (
    CallerAction,
    OutcomeStatus,
    Ran,
    RefusalReason,
    StageKind,
)
from aspendrift_model.wire_caller import (
    Address,
    AddressAnswer,
    EndEvent,
    OutcomeBody,
    RequestBody,
    StageTiming,
    TokenEvent,
)
from aspendrift_standins.exchange import Exchange
from aspendrift_standins.expected import ExpectedStage, expected_answer
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.fleet import Fleet
from aspendrift_standins.load import LoadSender, RequestRecord
from aspendrift_standins.load_plan import (
    LoadAccount,
    LoadPlan,
    LoadProfile,
    planned,
)
from aspendrift_standins.load_process import send_from_processes
from aspendrift_standins.load_report import LoadReport, LoadSummary
from aspendrift_standins.process import StandIn, serving

STAGES = (ExpectedStage("generate", StageKind.GENERATE, 4),)
PLAN = LoadPlan(
    "run",
    1,
    20,
    1_000.0,
    (LoadProfile("p", STAGES, 60_000, stream_share=0.5, n_input_chars=10),),
    (LoadAccount("a", "token"),),
)


class ScriptedDaemon(StandIn):
    """Daemon whose answers can be truncated, refusals or those of other requests."""

    def __init__(self, answer_of: str = "own", cut: int = 0) -> None:
        super().__init__(PlatformFaults())
        self.answer_of = answer_of
        self.cut = cut
        self.url = ""
        self.n_requests = 0

    async def route(self, exchange: Exchange) -> bool:
        if exchange.path == ("v1", "addresses"):
            address = Address("d", self.url, "z")
            await exchange.reply(200, AddressAnswer((address,), 60.0))
            return True
        body = await exchange.decode(RequestBody)
        self.n_requests += 1
        if self.answer_of == "refused":
            await exchange.reply(400, refusal(body))
            return True
        own = self.answer_of == "own"
        request_id = body.request_id if own else self.answer_of
        tokens = expected_answer(request_id, body.input, STAGES).tokens
        await self._answer(exchange, body, tokens[: len(tokens) - self.cut])
        return True

    async def _answer(
        self, exchange: Exchange, body: RequestBody, tokens: tuple[str, ...]
    ) -> None:
        outcome = OutcomeBody(
            body.request_id,
            OutcomeStatus.ANSWERED,
            Ran.YES,
            "".join(tokens),
            len(tokens),
            token_digest(tokens),
            stages=(StageTiming("generate", "t", 2, 1.0, 30.0, 20.0),),
        )
        if not body.stream:
            await exchange.reply(200, outcome)
            return
        events = [TokenEvent(i, text) for i, text in enumerate(tokens, 1)]
        lines = [msgspec.json.encode(e) for e in (*events, EndEvent(outcome))]
        content = b"\n".join(lines) + b"\n"
        await exchange.reply_bytes(200, content, b"application/x-ndjson")


def refusal(body: RequestBody) -> OutcomeBody:
    return OutcomeBody(
        body.request_id,
        OutcomeStatus.REFUSED,
        Ran.NO,
        reason=RefusalReason.UNKNOWN_PROFILE,
        action=CallerAction.FIX_REQUEST,
    )


def run_plan(daemon: ScriptedDaemon, plan: LoadPlan = PLAN) -> LoadSummary:
    report = LoadReport()

    async def run() -> None:
        async with serving(daemon) as url:
            daemon.url = url
            await LoadSender([url], report.add).run(plan)

    asyncio.run(run())
    return report.summary()


def test_complete_answers_are_attained_with_times_and_costs() -> None:
    summary = run_plan(ScriptedDaemon())
    assert (summary.n_attained, summary.attainment) == (20, 1.0)
    assert summary.latency_by_profile["p"].n == 20
    assert summary.latency_by_account["a"].n == 20
    assert summary.held_by_stage["generate"].p50_ms == pytest.approx(30, abs=0.1)
    cost = summary.cost_by_stage["generate"]
    assert (round(cost.held_s, 3), round(cost.busy_s, 3)) == (0.6, 0.4)
    assert 0 < summary.first_token.n < 20


def test_cut_and_crossed_answers_are_counted_and_not_attained() -> None:
    cut = run_plan(ScriptedDaemon(cut=1))
    assert (cut.n_cut, cut.n_crossed, cut.n_attained) == (20, 0, 0)
    crossed = run_plan(ScriptedDaemon(answer_of="other"))
    assert (crossed.n_cut, crossed.n_crossed, crossed.n_attained) == (0, 20, 0)


def test_refusals_are_counted_by_reason() -> None:
    summary = run_plan(ScriptedDaemon(answer_of="refused"))
    assert summary.refusals_by_reason == {"unknown_profile": 20}
    assert summary.attainment == 0


def test_answer_to_a_resend_is_checked_too() -> None:
    plan = dataclasses.replace(PLAN, resend_share=1.0)
    assert run_plan(ScriptedDaemon(cut=1), plan).n_cut == 40


def test_request_that_did_not_run_is_not_sent_again() -> None:
    daemon = ScriptedDaemon(answer_of="refused")
    run_plan(daemon, dataclasses.replace(PLAN, resend_share=1.0))
    assert daemon.n_requests == 20


def test_several_processes_send_every_request_once(tmp_path: Path) -> None:
    daemon = ScriptedDaemon()

    async def run() -> list[RequestRecord]:
        async with serving(daemon) as url, Fleet(tmp_path) as fleet:
            daemon.url = url
            return await send_from_processes(fleet, [url], PLAN, 2)

    records = asyncio.run(run())
    ids = sorted(record.request.request_id for record in records)
    assert ids == sorted(request.request_id for request in planned(PLAN))
    assert all(record.attained for record in records)
    assert daemon.n_requests == 20


def test_caller_that_disconnects_is_not_counted_against_attainment() -> None:
    plan = dataclasses.replace(PLAN, abandon_share=1.0)
    profile = dataclasses.replace(plan.profiles[0], deadline_ms=0)
    plan = dataclasses.replace(plan, profiles=(profile,))
    summary = run_plan(ScriptedDaemon(), plan)
    assert (summary.n_abandoned, summary.n_requests) == (20, 20)
