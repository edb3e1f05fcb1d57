"""Tests of the lifecycle of one request, event by event."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from aspendrift_model.contracts import Contract
from aspendrift_model.digests import token_digest
from aspendrift_model.outcomes import Answered, Failed, Refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import AttemptEnd, Ran, StageKind, TargetKind
from aspendrift_model.states import RefusalReason as R
from aspendrift_model.targets import Target
from aspendrift_policy.interfaces import RouteChoice, RouteReason
from aspendrift_policy.request_engine import EngineLimits, RequestEngine, RequestFacts
from aspendrift_policy.request_steps import (
    Acquire,
    AttemptFailed,
    CallerGone,
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

UNEXECUTED = (AttemptEnd.NOT_SENT, AttemptEnd.REJECTED, AttemptEnd.CANCELLED)
N_TOKENS = 3


def facts(kinds, *, idempotent, deadline_at=10.0):
    stages = tuple(
        Stage(f"s{i}", kind, "pool", expected_ms=10, max_tokens=N_TOKENS)
        for i, kind in enumerate(kinds)
    )
    profile = Profile("p", stages, Contract(10_000, idempotent=idempotent))
    return RequestFacts(
        "run", "r1", "kaapwind", profile, "in", N_TOKENS, deadline_at, "prefix"
    )


def engine(kinds, *, idempotent=True):
    return RequestEngine(facts(kinds, idempotent=idempotent), EngineLimits())


def choice(name="t1"):
    target = Target(name, "pool", TargetKind.ENGINE, "http://x", "z", "r")
    return RouteChoice(target, RouteReason.LEAST_LOADED, ())


def begin(machine, name="t1"):
    """Advance a machine to its first attempt and return the attempt id."""
    acquire = machine.step(Started(), 0.0)
    return send(machine, acquire, name)


def send(machine, acquire, name="t1"):
    attempt_id = acquire.query.attempt_id
    assert isinstance(machine.step(Routed(attempt_id, choice(name)), 0.0), Send)
    return attempt_id


def text(n):
    return f"w{n} "


def all_tokens():
    return [text(n) for n in range(1, N_TOKENS + 1)]


def test_stage_output_is_the_context_of_the_next():
    machine = engine([StageKind.ENCODE, StageKind.CALL])
    first = begin(machine)
    acquire = machine.step(StageReturned(first, b'{"v":1}'), 0.1)
    action = machine.step(Routed(acquire.query.attempt_id, choice()), 0.1)
    assert bytes(action.call.context) == b'{"v":1}'
    assert action.call.attempt_id != first
    end = machine.step(StageReturned(acquire.query.attempt_id, b'"x"'), 0.2)
    assert end == Finish(Answered('"x"', 0, token_digest(['"x"'])))


def test_broken_stream_is_resumed_then_continued_elsewhere():
    machine = engine([StageKind.GENERATE])
    first = begin(machine)
    assert isinstance(machine.step(TokenArrived(first, 1, text(1)), 0.1), TokenAccepted)
    resume = machine.step(AttemptFailed(first, AttemptEnd.BROKEN), 0.2)
    assert isinstance(resume, Resume)
    assert resume.after == 1
    machine.step(TokenArrived(first, 2, text(2)), 0.3)
    again = machine.step(AttemptFailed(first, AttemptEnd.BROKEN), 0.4)
    assert again.query.excluded == {"t1"}
    assert again.query.is_retry
    second = again.query.attempt_id
    action = machine.step(Routed(second, choice("t2")), 0.4)
    assert action.call.prefix_tokens == (text(1), text(2))
    machine.step(TokenArrived(second, 3, text(3)), 0.5)
    digest = token_digest(all_tokens())
    end = machine.step(GenerationEnded(second, 3, digest), 0.6)
    assert end == Finish(Answered("".join(all_tokens()), 3, digest))


@pytest.mark.parametrize("ended", [(2, None), (3, "other")])
def test_cut_or_changed_stream_is_never_reported_complete(ended):
    machine = engine([StageKind.GENERATE])
    attempt = begin(machine)
    machine.step(TokenArrived(attempt, 1, text(1)), 0.1)
    machine.step(TokenArrived(attempt, 3, text(3)), 0.1)
    n_tokens, digest = ended
    event = GenerationEnded(attempt, n_tokens, digest or token_digest(all_tokens()))
    assert isinstance(machine.step(event, 0.2), Resume)


def test_refused_resume_does_not_make_a_call_repeatable():
    """The engine executed the call before the stream broke, despite a later refusal."""
    for end in (AttemptEnd.REJECTED, AttemptEnd.NOT_SENT):
        machine = engine([StageKind.GENERATE], idempotent=False)
        attempt = begin(machine)
        resume = machine.step(AttemptFailed(attempt, AttemptEnd.BROKEN), 0.1)
        assert isinstance(resume, Resume)
        action = machine.step(AttemptFailed(attempt, end), 0.2)
        assert isinstance(action, Finish)
        assert action.outcome.ran is Ran.UNKNOWN


def test_crash_requests_an_unshared_target():
    machine = engine([StageKind.GENERATE])
    attempt = begin(machine)
    failed = AttemptFailed(attempt, AttemptEnd.BROKEN, crashed=True)
    action = machine.step(failed, 0.1)
    assert isinstance(action, Acquire)
    assert action.query.avoid_sharing


def test_quarantine_ends_the_request():
    machine = engine([StageKind.GENERATE])
    attempt = begin(machine)
    failed = AttemptFailed(attempt, AttemptEnd.BROKEN, crashed=True, quarantined=True)
    action = machine.step(failed, 0.1)
    assert action == Finish(Failed(R.POISON, Ran.UNKNOWN))


def test_only_candidate_is_tried_again():
    machine = engine([StageKind.CALL])
    attempt = begin(machine)
    acquire = machine.step(AttemptFailed(attempt, AttemptEnd.BROKEN), 0.1)
    refused = RouteRefused(acquire.query.attempt_id, Refused(R.NO_TARGET))
    again = machine.step(refused, 0.1)
    assert isinstance(again, Acquire)
    assert not again.query.excluded


def test_request_without_attempts_left_ends_at_once():
    machine = engine([StageKind.CALL])
    action = machine.step(Started(), 0.0)
    for _ in range(3):
        attempt = send(machine, action)
        action = machine.step(AttemptFailed(attempt, AttemptEnd.BROKEN), 0.1)
    assert action == Finish(Failed(R.TARGET_FAILED, Ran.UNKNOWN))


def test_past_deadline_nothing_is_sent():
    machine = engine([StageKind.CALL])
    action = machine.step(Started(), 10.0)
    assert action == Finish(Refused(R.DEADLINE_EXCEEDED))


class LifeOfARequest(RuleBasedStateMachine):
    """Any events in any order, from targets that violate the protocol."""

    @initialize(
        idempotent=st.booleans(),
        kinds=st.lists(st.sampled_from(list(StageKind)), min_size=1, max_size=3),
    )
    def admit(self, idempotent, kinds):
        self.now = 0.0
        self.idempotent = idempotent
        self.engine = engine(kinds, idempotent=idempotent)
        self.action = None
        self.outcomes = []
        self.maybe_run_by_stage = {}
        self.answered_stages = set()
        self.attempts = []
        self.shown = []

    def feed(self, event):
        self.now += 0.05
        action = self.engine.step(event, self.now)
        if isinstance(action, Finish):
            self.outcomes.append(action.outcome)
        if isinstance(action, TokenAccepted) and action.shown:
            self.shown.append((action.n, action.text))
        if isinstance(action, Send):
            self.record_send(action)
        if not isinstance(action, Ignore | TokenAccepted):
            self.action = action

    def record_send(self, action):
        stage = action.call.stage
        if not self.idempotent:
            assert not self.maybe_run_by_stage.get(stage), "sent twice"
        self.maybe_run_by_stage[stage] = True
        self.attempts.append(action.call.attempt_id)

    @property
    def running(self):
        return isinstance(self.action, Send | Resume)

    @precondition(lambda self: self.action is None)
    @rule()
    def start(self):
        self.feed(Started())

    @rule()
    def start_again(self):
        if self.action is not None:
            before = self.action
            self.feed(Started())
            assert self.action is before

    @precondition(lambda self: isinstance(self.action, Acquire))
    @rule(name=st.sampled_from(["t1", "t2"]))
    def route(self, name):
        self.feed(Routed(self.action.query.attempt_id, choice(name)))

    @precondition(lambda self: isinstance(self.action, Acquire))
    @rule(reason=st.sampled_from([R.NO_TARGET, R.OVERLOADED, R.RETRY_BUDGET_SPENT]))
    def refuse(self, reason):
        self.feed(RouteRefused(self.action.query.attempt_id, Refused(reason)))

    @precondition(lambda self: self.running)
    @rule()
    def answer(self):
        call = self.action.call
        if call.kind is StageKind.GENERATE:
            first = len(self.engine._progress.tokens) + 1
            for n in range(first, N_TOKENS + 1):
                self.feed(TokenArrived(call.attempt_id, n, text(n)))
            ended = (N_TOKENS, token_digest(all_tokens()))
            self.feed(GenerationEnded(call.attempt_id, *ended))
        else:
            self.feed(StageReturned(call.attempt_id, b'"out"'))

    @precondition(lambda self: self.running)
    @rule(n=st.integers(0, 4))
    def token(self, n):
        self.feed(TokenArrived(self.action.call.attempt_id, n, text(n)))

    @precondition(lambda self: self.running)
    @rule(n=st.integers(0, 4))
    def end_early(self, n):
        if self.action.call.kind is StageKind.GENERATE:
            digest = token_digest(all_tokens()[:n])
            self.feed(GenerationEnded(self.action.call.attempt_id, n, digest))

    @precondition(lambda self: self.running)
    @rule(end=st.sampled_from(list(AttemptEnd)), crashed=st.booleans())
    def fail(self, end, crashed):
        if end is AttemptEnd.ANSWERED:
            return
        call = self.action.call
        if end in UNEXECUTED and isinstance(self.action, Send):
            self.maybe_run_by_stage[call.stage] = False
        crashed = crashed and end is AttemptEnd.BROKEN
        self.feed(AttemptFailed(call.attempt_id, end, crashed))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def late_or_foreign(self, data):
        known = [*self.attempts, "someone-else.1"]
        attempt_id = data.draw(st.sampled_from(known))
        if self.running and attempt_id == self.action.call.attempt_id:
            return
        before, n_dropped = self.action, self.engine.n_dropped
        event = data.draw(
            st.sampled_from(
                [
                    StageReturned(attempt_id, b'"foreign"'),
                    TokenArrived(attempt_id, 1, "foreign"),
                    GenerationEnded(attempt_id, 0, token_digest([])),
                    AttemptFailed(attempt_id, AttemptEnd.BROKEN),
                    Routed(attempt_id, choice("t9")),
                ]
            )
        )
        self.feed(event)
        assert self.action is before
        assert self.engine.n_dropped == n_dropped + 1

    @rule()
    def leave(self):
        self.feed(CallerGone())

    @rule()
    def time_passes(self):
        self.now += 4.0

    @invariant()
    def one_outcome(self):
        if hasattr(self, "outcomes"):
            assert len(self.outcomes) <= 1

    @invariant()
    def not_run_is_true(self):
        if getattr(self, "outcomes", None):
            outcome = self.outcomes[0]
            if isinstance(outcome, Refused):
                assert not any(self.maybe_run_by_stage.values())

    @invariant()
    def caller_sees_each_token_once_in_order(self):
        shown = getattr(self, "shown", [])
        assert shown == [(n, text(n)) for n in range(1, len(shown) + 1)]

    @invariant()
    def answers_are_whole_and_own(self):
        if not getattr(self, "outcomes", None):
            return
        outcome = self.outcomes[0]
        assert "foreign" not in [shown for _, shown in self.shown]
        if isinstance(outcome, Answered) and outcome.n_tokens:
            assert outcome.output == "".join(all_tokens()[: outcome.n_tokens])
            assert [n for n, _ in self.shown] == list(range(1, outcome.n_tokens + 1))


LifeOfARequest.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestLifeOfARequest = LifeOfARequest.TestCase
