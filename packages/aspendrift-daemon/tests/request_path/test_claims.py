"""Tests that a request that may not be repeated runs at most once."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from aspendrift_daemon.targets import Broken, NotSent, Rejected, StageAnswered
from aspendrift_model.states import CallerAction, MemberState, OutcomeStatus, Ran
from aspendrift_model.states import RefusalReason as R
from aspendrift_policy.claims import ClaimState


def deposit(box, request_id="r1", **more):
    return box.body(request_id, profile="deposit", **more)


class Gate:
    """Target behaviour that blocks in the middle of its work."""

    def __init__(self, targets):
        self.targets = targets
        self.entered = asyncio.Event()
        self.opened = asyncio.Event()

    async def __call__(self, call):
        self.targets.ran[call.request_id] += 1
        self.entered.set()
        await self.opened.wait()
        return StageAnswered(b'"done"', 1.0)


def slow_service(net):
    gate = Gate(net.targets)
    net.targets.scripts["service-1"] = [gate]
    return gate


@pytest.mark.fault("store down", "request admitted", "request claimed")
def test_store_down_refuses_and_nothing_runs(box):
    async def scenario():
        async with box.network() as net:
            net.table.down = True
            outcome = await net.send(deposit(box))
            assert not net.targets.calls
            net.table.down = False
            again = await net.send(deposit(box))
        assert (outcome.reason, outcome.ran) == (R.STORE_UNAVAILABLE, Ran.NO)
        assert outcome.action is CallerAction.RESEND
        assert outcome.retry_after_ms
        assert again.status is OutcomeStatus.ANSWERED

    box.run(scenario())


@pytest.mark.fault("store answer lost", "request claimed")
@pytest.mark.parametrize("resend_at", [0, 1])
def test_claim_with_lost_answer_is_never_dispatched(box, resend_at):
    async def scenario():
        async with box.network(2) as net:
            net.table.lose_answers = 1
            outcome = await net.send(deposit(box))
            assert (outcome.reason, outcome.ran) == (R.STORE_UNAVAILABLE, Ran.NO)
            assert not net.targets.calls
            again = await net.send(deposit(box), daemon=resend_at)
        assert again.status is OutcomeStatus.ANSWERED
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("store answer lost", "request claimed")
def test_claim_written_after_its_withdrawal_has_no_effect(box):
    """A claim that the table applies after its withdrawal must have no effect."""

    async def scenario():
        async with box.network(2) as net:
            net.table.delayed_effects = 1
            outcome = await net.send(deposit(box))
            assert outcome.ran is Ran.NO
            await asyncio.sleep(5)
            again = await net.send(deposit(box), daemon=1)
            assert again.status is OutcomeStatus.ANSWERED
            for conditions, writes in net.table.pending:
                net.table.apply(conditions, writes)
            third = await net.send(deposit(box))
        assert third == again
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("store answer lost", "request claimed")
def test_claim_written_late_after_a_refusal_has_no_effect(box):
    async def scenario():
        async with box.network(2) as net:
            net.table.delayed_effects = 1
            await net.send(deposit(box))
            net.targets.down = {"service-1", "service-2"}
            unsent = await net.send(deposit(box), daemon=1)
            assert unsent.ran is Ran.NO
            await asyncio.sleep(5)
            for conditions, writes in net.table.pending:
                net.table.apply(conditions, writes)
            net.targets.down = set()
            last = await net.send(deposit(box), daemon=1)
        assert last.status is OutcomeStatus.ANSWERED
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("store slow", "request claimed")
def test_claim_not_confirmed_in_time_is_refused_and_withdrawn(box):
    async def scenario():
        async with box.network() as net:
            net.table.hold = asyncio.Event()
            outcome = await net.send(deposit(box))
            assert (outcome.reason, outcome.ran) == (R.STORE_UNAVAILABLE, Ran.NO)
            net.table.hold.set()
            await asyncio.sleep(1)
            assert net.claim().state is ClaimState.RELEASED
            assert not net.targets.calls
            again = await net.send(deposit(box))
        assert again.status is OutcomeStatus.ANSWERED

    box.run(scenario())


@pytest.mark.fault("store down", "request answered", "outcome stored")
def test_answer_reaches_the_caller_when_it_cannot_be_stored(box):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            net.table.down = True
            gate.opened.set()
            outcome = await sent
            assert outcome.status is OutcomeStatus.ANSWERED
            assert net.named("outcome_store_delayed")
            here = await net.send(deposit(box))
            assert here == outcome
            net.table.down = False
            await asyncio.sleep(10)
            there = await net.send(deposit(box), daemon=1)
        assert there == outcome
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("store answer lost", "outcome stored")
def test_outcome_with_lost_answer_is_stored_once(box):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            net.table.lose_answers = 1
            gate.opened.set()
            outcome = await sent
            await asyncio.sleep(5)
            again = await net.send(deposit(box), daemon=1)
        assert again == outcome
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("daemon killed", "request sent", "request answered")
def test_resend_after_the_holder_died_gets_unknown(box):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            await net.kill(0)
            again = await net.send(deposit(box), daemon=1)
            gate.opened.set()
            sent.cancel()
        assert (again.reason, again.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("daemon killed", "request claimed")
def test_claim_of_a_dead_daemon_is_not_taken_over(box):
    async def scenario():
        async with box.network(2) as net:
            net.table.hold = asyncio.Event()
            sent = asyncio.create_task(net.send(deposit(box)))
            await asyncio.sleep(0.01)
            net.table.hold.set()
            await net.kill(0)
            await asyncio.sleep(0.01)
            assert net.claim().state is ClaimState.HELD
            again = await net.send(deposit(box), daemon=1)
            sent.cancel()
        assert (again.reason, again.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert not net.targets.calls

    box.run(scenario())


@pytest.mark.fault("daemon paused", "request claimed")
@pytest.mark.parametrize("state", [MemberState.UNREACHABLE, MemberState.DEAD])
def test_paused_holder_that_resumes_is_the_only_one_to_run(box, state):
    async def scenario():
        async with box.network(2) as net:
            net.table.hold = asyncio.Event()
            sent = asyncio.create_task(net.send(deposit(box)))
            await asyncio.sleep(0.01)
            net.hosts[0].running.clear()
            net.table.hold.set()
            net.buses[0].state = state
            again = await net.send(deposit(box), daemon=1)
            assert again.ran is Ran.UNKNOWN
            assert again.reason in (R.CLAIM_HELD, R.OUTCOME_UNKNOWN)
            assert not net.targets.calls
            net.hosts[0].running.set()
            outcome = await sent
            resent = await net.send(deposit(box), daemon=1)
        assert net.targets.ran["r1"] <= 1
        if outcome.ran is Ran.NO:
            assert resent.status is OutcomeStatus.ANSWERED
        else:
            assert resent == outcome

    box.run(scenario())


@pytest.mark.fault("daemon paused", "request sent", "request answered")
def test_answer_of_a_paused_holder_is_stored_when_it_resumes(box):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            net.hosts[0].running.clear()
            gate.opened.set()
            held = await net.send(deposit(box), daemon=1)
            assert (held.reason, held.ran) == (R.CLAIM_HELD, Ran.UNKNOWN)
            assert held.retry_after_ms
            net.hosts[0].running.set()
            outcome = await sent
            again = await net.send(deposit(box), daemon=1)
        assert again == outcome
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.parametrize("daemon", [0, 1])
def test_resend_while_it_runs_gets_the_same_answer(box, daemon):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            first = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            second = asyncio.create_task(net.send(deposit(box), daemon=daemon))
            await asyncio.sleep(0.1)
            gate.opened.set()
            assert await first == await second
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


def test_resends_at_the_same_moment_run_once(box):
    async def scenario():
        async with box.network(4) as net:
            sends = [net.send(deposit(box), daemon=i % 4) for i in range(12)]
            outcomes = await asyncio.gather(*sends)
        assert net.targets.ran["r1"] == 1
        assert len({outcome.daemon_id for outcome in outcomes}) == 1
        assert all(o.status is OutcomeStatus.ANSWERED for o in outcomes)

    box.run(scenario())


@pytest.mark.parametrize("daemon", [0, 1])
@pytest.mark.parametrize("while_running", [False, True])
def test_same_id_with_other_content_is_refused(box, daemon, while_running):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            first = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            if not while_running:
                gate.opened.set()
                await first
            other = await net.send(deposit(box, text="other"), daemon=daemon)
            gate.opened.set()
            await first
        assert (other.reason, other.ran) == (R.REQUEST_ID_REUSED, Ran.NO)
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


def test_accounts_do_not_share_request_ids(box):
    async def scenario():
        async with box.network() as net:
            first = await net.send(deposit(box))
            net.account = type(net.account)("registry", "")
            second = await net.send(deposit(box, text="other"))
        assert first.output != second.output
        assert net.targets.ran["r1"] == 2

    box.run(scenario())


@pytest.mark.fault("target failing", "request claimed", "request sent")
@pytest.mark.parametrize("failure", [NotSent("refused"), Rejected("busy")])
def test_unsent_attempts_are_retried_elsewhere(box, failure):
    async def scenario():
        async with box.network() as net:

            async def fail(call):
                return failure

            net.targets.scripts["service-1"] = [fail]
            outcome = await net.send(deposit(box))
        assert outcome.status is OutcomeStatus.ANSWERED
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("target failing", "request claimed")
def test_claim_is_released_when_nothing_reached_a_target(box):
    async def scenario():
        async with box.network(2) as net:
            net.targets.down = {"service-1", "service-2"}
            outcome = await net.send(deposit(box))
            assert (outcome.reason, outcome.ran) == (R.TARGET_FAILED, Ran.NO)
            net.targets.down = set()
            again = await net.send(deposit(box), daemon=1)
        assert again.status is OutcomeStatus.ANSWERED
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("target crashing", "request sent")
@pytest.mark.fault("target failing", "request sent")
@pytest.mark.parametrize("crashed", [False, True])
def test_broken_attempt_is_not_repeated(box, crashed):
    async def scenario():
        async with box.network(2) as net:
            net.targets.scripts["service-1"] = [
                box.after_run(net.targets, Broken("cut", crashed))
            ]
            outcome = await net.send(deposit(box))
            again = await net.send(deposit(box), daemon=1)
        assert (outcome.reason, outcome.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert again == outcome
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("target slow", "request sent")
@pytest.mark.fault("late answer", "request sent")
def test_call_past_its_deadline_is_unknown_and_not_repeated(box):
    async def scenario():
        async with box.network(2) as net:
            slow_service(net)
            outcome = await net.send(deposit(box))
            again = await net.send(deposit(box), daemon=1)
            assert [each[0] for each in net.targets.cancelled] == ["service-1"]
        assert (outcome.reason, outcome.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert again == outcome
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("caller gone", "request sent", "request answered")
def test_call_continues_without_its_caller(box):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            sent.cancel()
            await asyncio.wait({sent})
            gate.opened.set()
            again = await net.send(deposit(box), daemon=1)
        assert again.status is OutcomeStatus.ANSWERED
        assert not net.targets.cancelled
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("caller gone", "request admitted", "request claimed")
def test_call_whose_caller_left_before_it_was_sent_does_not_run(box):
    async def scenario():
        async with box.network(2) as net:
            net.table.hold = asyncio.Event()
            sent = asyncio.create_task(net.send(deposit(box)))
            await asyncio.sleep(0.01)
            sent.cancel()
            await asyncio.wait({sent})
            net.table.hold.set()
            await asyncio.sleep(1)
            assert not net.targets.calls
            again = await net.send(deposit(box), daemon=1)
        assert again.status is OutcomeStatus.ANSWERED
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("daemon leaving", "request sent", "request answered")
def test_leaving_daemon_finishes_and_stores(box):
    async def scenario():
        async with box.network(2) as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            net.services[0].begin_leaving()
            assert net.services[0].n_open == 1
            gate.opened.set()
            outcome = await sent
            again = await net.send(deposit(box), daemon=1)
        assert outcome.status is OutcomeStatus.ANSWERED
        assert again == outcome

    box.run(scenario())


@pytest.mark.fault("burst", "request claimed")
def test_burst_of_claims_stays_under_the_rate_and_is_refused_in_time(box):
    async def scenario():
        async with box.network() as net:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            sends = [net.send(deposit(box, f"r{i}")) for i in range(2000)]
            outcomes = await asyncio.gather(*sends)
            elapsed_s = loop.time() - started_at
            writer = net.services[0].claims.writer
        refused = [o for o in outcomes if o.reason is R.CLAIM_RATE_EXCEEDED]
        answered = [o for o in outcomes if o.status is OutcomeStatus.ANSWERED]
        rate = net.settings.claim_rows_per_s
        assert len(refused) + len(answered) == 2000
        assert all(o.ran is Ran.NO and o.retry_after_ms for o in refused)
        assert len(answered) >= rate / 2
        assert writer.counts.rows <= rate * (1 + elapsed_s) + 1
        assert writer.counts.transactions < writer.counts.rows / 4
        assert sum(net.targets.ran.values()) == len(answered)

    box.run(scenario())


@pytest.mark.fault("daemon leaving", "request sent")
def test_leaving_daemon_answers_a_resend_of_a_running_call(box):
    async def scenario():
        async with box.network() as net:
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            net.services[0].begin_leaving()
            again = asyncio.create_task(net.send(deposit(box)))
            await asyncio.sleep(0.1)
            gate.opened.set()
            assert await again == await sent

    box.run(scenario())


@pytest.mark.fault("poison", "request sent")
def test_quarantine_does_not_change_outcomes_of_earlier_runs(box):
    async def scenario():
        async with box.network() as net:
            outcome = await net.send(deposit(box))
            content = net.services[0]._resolve(net.account, deposit(box), 0.0)
            net.services[0].poison._suspects.quarantine(content.fingerprint, 1000.0)
            again = await net.send(deposit(box))
            other = await net.send(deposit(box, "r2"))
        assert again == outcome
        assert (other.reason, other.ran) == (R.POISON, Ran.NO)

    box.run(scenario())


@pytest.mark.fault("caller gone", "request claimed")
def test_resend_after_its_caller_left_early_runs(box):
    async def scenario():
        async with box.network() as net:
            net.table.hold = asyncio.Event()
            sent = asyncio.create_task(net.send(deposit(box)))
            await asyncio.sleep(0.01)
            sent.cancel()
            await asyncio.wait({sent})
            again = asyncio.create_task(net.send(deposit(box)))
            await asyncio.sleep(0.01)
            net.table.hold.set()
            outcome = await again
        assert outcome.status is OutcomeStatus.ANSWERED
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


@pytest.mark.fault("store down", "outcome replied")
@pytest.mark.parametrize("n_daemons", [1, 2, 8])
def test_resend_in_a_store_outage_is_unknown_and_a_new_call_not_run(box, n_daemons):
    async def scenario():
        async with box.network(n_daemons) as net:
            await net.send(deposit(box))
            net.table.down = True
            for daemon in range(n_daemons):
                again = await net.send(deposit(box), daemon=daemon)
                assert (again.reason, again.ran) == (R.STORE_UNAVAILABLE, Ran.UNKNOWN)
                assert again.action is CallerAction.ASK_OUTCOME
                assert again.retry_after_ms
                first = await net.send(deposit(box, f"new{daemon}"), daemon=daemon)
                assert (first.reason, first.ran) == (R.STORE_UNAVAILABLE, Ran.NO)

    box.run(scenario())


@pytest.mark.fault("peer link cut", "request admitted")
@pytest.mark.fault("region cut", "request admitted")
def test_isolated_daemon_answers_not_run_with_other_addresses(box):
    async def scenario():
        async with box.network(8) as net:
            net.buses[0].cut = True
            net.services[0]._may_serve = lambda now: R.ISOLATED
            outcome = await net.send(deposit(box))
        assert (outcome.reason, outcome.ran) == (R.ISOLATED, Ran.NO)
        assert outcome.addresses == ("http://other",)

    box.run(scenario())


@pytest.mark.fault("daemon paused", "outcome replied")
def test_one_witness_that_replies_is_enough(box):
    async def scenario():
        async with box.network(8) as net:
            await net.send(deposit(box))
            net.table.down = True
            outcomes = []
            for cut in range(8):
                net.buses[cut].cut = True
                outcomes.append(await net.send(deposit(box), daemon=(cut + 1) % 8))
                net.buses[cut].cut = False
        assert {outcome.ran for outcome in outcomes} == {Ran.UNKNOWN}

    box.run(scenario())


@pytest.mark.fault("store down", "request claimed")
def test_request_that_reached_no_target_is_not_recorded_as_run(box):
    async def scenario():
        async with box.network(4) as net:
            net.targets.down = {"service-1", "service-2"}
            await net.send(deposit(box))
            await asyncio.sleep(1)
            net.table.down = True
            again = await net.send(deposit(box), daemon=2)
        assert (again.reason, again.ran) == (R.STORE_UNAVAILABLE, Ran.NO)

    box.run(scenario())


@pytest.mark.fault("peer link cut", "outcome replied")
@pytest.mark.fault("store down", "outcome replied")
def test_unresponsive_witnesses_leave_the_outcome_unknown_in_time(box):
    async def scenario():
        async with box.network(8) as net:
            for bus in net.buses:
                bus.cut = True
            net.table.down = True
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            outcome = await net.send(deposit(box))
            assert loop.time() - started_at <= 0.101
        assert (outcome.reason, outcome.ran) == (R.STORE_UNAVAILABLE, Ran.UNKNOWN)

    box.run(scenario())


@pytest.mark.fault("daemon killed", "request sent")
@pytest.mark.fault("daemon killed", "daemon starting")
def test_new_daemon_does_not_presume_an_unknown_holder_dead(box):
    async def scenario():
        async with box.network(2) as net:
            net.settings = dataclasses.replace(net.settings, claim_view_age_s=10.0)
            gate = slow_service(net)
            sent = asyncio.create_task(net.send(deposit(box)))
            await gate.entered.wait()
            net.buses[0].state = MemberState.DEAD
            fresh = net.add_daemon()
            await fresh.start()
            early = await net.send(deposit(box), daemon=2)
            await asyncio.sleep(10)
            late = await net.send(deposit(box), daemon=2)
            sent.cancel()
        assert (early.reason, early.ran) == (R.CLAIM_HELD, Ran.UNKNOWN)
        assert (late.reason, late.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)

    box.run(scenario())
