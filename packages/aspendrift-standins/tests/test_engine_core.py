"""Tests of the continuous batching of the engine stand-in."""

from __future__ import annotations

from aspendrift_model.states import StageKind
from aspendrift_model.wire_target import (
    EngineRole,
    GeneratedEnd,
    GeneratedToken,
    KvTransfer,
    Order,
    OrderKind,
    StageCall,
)
from aspendrift_standins.engine_core import EngineCore, EngineOptions, Sequence
from aspendrift_standins.expected import ExpectedStage, expected_answer

STEP_S = 0.007


def call(attempt_id: str, **changes: object) -> StageCall:
    values: dict[str, object] = {
        "request_id": "r1",
        "stage": "generate",
        "kind": StageKind.GENERATE,
        "input": "text",
        "remaining_ms": 1000,
        "max_tokens": 6,
    }
    return StageCall(attempt_id=attempt_id, **(values | changes))  # type: ignore[arg-type]


def run(core: EngineCore, n_steps: int) -> None:
    for i in range(n_steps):
        core.step(STEP_S, i * STEP_S)


def texts(sequence: Sequence) -> tuple[str, ...]:
    events = sequence.events
    return tuple(event.text for event in events if isinstance(event, GeneratedToken))


def expected_tokens(max_tokens: int = 6) -> tuple[str, ...]:
    stage = ExpectedStage("generate", StageKind.GENERATE, max_tokens)
    return expected_answer("r1", "text", (stage,)).tokens


def test_each_step_gives_one_token_to_each_active_sequence() -> None:
    core = EngineCore(EngineOptions(slots=2))
    sequences = [core.submit(call(f"a{i}"), 0) for i in range(3)]
    run(core, 2)
    assert [sequence.n_tokens for sequence in sequences] == [2, 2, 0]
    run(core, 20)
    assert [texts(sequence) for sequence in sequences] == [expected_tokens()] * 3
    assert isinstance(sequences[0].events[-1], GeneratedEnd)
    assert not core.has_work


def test_urgent_sequence_overtakes_waiting_ones() -> None:
    core = EngineCore(EngineOptions(slots=1))
    core.submit(call("running"), 0)
    core.step(STEP_S, 0)
    background = core.submit(call("background", priority=2), 0)
    urgent = core.submit(call("urgent", priority=0), 0)
    run(core, 7)
    assert urgent.n_tokens > 0
    assert background.n_tokens == 0


def test_continuation_is_numbered_after_the_given_tokens() -> None:
    complete = expected_tokens()
    core = EngineCore(EngineOptions())
    sequence = core.submit(call("a", prefix_tokens=complete[:2]), 0)
    run(core, 20)
    assert texts(sequence) == complete[2:]
    first, end = sequence.events[0], sequence.events[-1]
    assert isinstance(first, GeneratedToken) and first.n == 3
    assert isinstance(end, GeneratedEnd) and end.n_tokens == len(complete)


def test_cancel_frees_the_slot_before_the_next_step() -> None:
    core = EngineCore(EngineOptions(slots=1))
    first = core.submit(call("a"), 0)
    second = core.submit(call("b"), 0)
    core.step(STEP_S, 0)
    core.cancel("a", 0)
    core.step(STEP_S, 0)
    assert (first.n_tokens, first.cancelled, second.n_tokens) == (1, True, 1)


def test_repeated_attempt_id_joins_the_running_attempt() -> None:
    core = EngineCore(EngineOptions())
    assert core.submit(call("a"), 0) is core.submit(call("a"), 0)


def first_token_steps(core: EngineCore, attempt_id: str) -> int:
    sequence = core.submit(
        call(attempt_id, input="x" * 4000, prefix_key="k", max_tokens=1), 0
    )
    n_steps = 0
    while not sequence.events:
        core.step(STEP_S, 0)
        n_steps += 1
    return n_steps


def test_cached_prefix_saves_prefill_until_it_is_evicted() -> None:
    options = EngineOptions(
        prefill_tokens_per_step=100, bytes_per_token=1, cache_bytes=1_500
    )
    core = EngineCore(options)
    assert first_token_steps(core, "a") == 11
    assert first_token_steps(core, "b") == 1
    core.submit(call("other", input="y" * 4000, prefix_key="k2"), 0)
    run(core, 30)
    assert first_token_steps(core, "c") == 11
    assert core.state(0).cache_bytes <= 1_500


def test_imported_kv_saves_prefill() -> None:
    core = EngineCore(EngineOptions(prefill_tokens_per_step=100, bytes_per_token=10))
    core.import_kv(KvTransfer("k", 10_000), 0)
    assert first_token_steps(core, "a") <= 2
    assert core.export_kv(KvTransfer("k")) is not None
    assert core.export_kv(KvTransfer("none")) is None


def test_load_report_lags() -> None:
    core = EngineCore(EngineOptions(load_lag_s=0.3))
    core.submit(call("a"), 1.0)
    assert core.load(1.2).queued == 0
    assert core.load(1.3).queued == 1
    assert core.load(1.3).age_ms == 300


def test_cache_events_come_late_and_with_gaps() -> None:
    options = EngineOptions(event_lag_s=0.5, event_gap_share=0.5, seed=1)
    core = EngineCore(options)
    for i in range(100):
        core.import_kv(KvTransfer(f"k{i}", 10), 1.0)
    assert core.cache_events(0, 1.4).events == ()
    visible = core.cache_events(0, 1.5)
    assert 20 < len(visible.events) < 80
    assert visible.oldest == visible.events[0].seq
    assert core.cache_events(visible.events[-1].seq, 1.5).events == ()


def order(fencing: int, **changes: object) -> Order:
    values: dict[str, object] = {"kind": OrderKind.LOAD_MODEL, "model": "m2"}
    return Order("o", fencing, **(values | changes))  # type: ignore[arg-type]


def test_old_fencing_number_is_rejected_only_where_checked() -> None:
    for checks_fencing in (True, False):
        core = EngineCore(EngineOptions(checks_fencing=checks_fencing))
        assert core.order(order(3), 0).taken
        answer = core.order(order(2), 0)
        assert (answer.taken, answer.highest_fencing) == (not checks_fencing, 3)


def test_loading_a_model_takes_time() -> None:
    core = EngineCore(EngineOptions(models=("m1",), model_load_s=2))
    call_for_m2 = call("a", model="m2")
    core.order(order(1), 10)
    assert core.state(11).loading == ("m2",)
    assert not core.serves(call_for_m2, 11)
    assert core.serves(call_for_m2, 12)
    core.order(order(1, kind=OrderKind.UNLOAD_MODEL), 12)
    assert not core.serves(call_for_m2, 12)
    core.order(order(1, kind=OrderKind.SET_ROLE, role=EngineRole.IDLE), 13)
    assert not core.serves(call("b", model="m1"), 13)
