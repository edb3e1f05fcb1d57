"""Tests of the stages of one request: order, inputs and freed results."""

from __future__ import annotations

import pytest

from aspendrift_model.ids import AttemptId, PoolName
from aspendrift_model.pieces import Handle, PieceId
from aspendrift_model.routes import StageSpec
from aspendrift_policy.stage_plan import StagePlan, StageTimes

ATTEMPT = AttemptId("a1")


def chain():
    """Return one large stage in parallel with a chain of three stages."""
    return (
        StageSpec(0, PoolName("big"), (), 3e6),
        StageSpec(1, PoolName("first"), (), 8e3),
        StageSpec(2, PoolName("second"), (1,), 6e4),
        StageSpec(3, PoolName("third"), (2,), 6e3),
    )


def make_plan(n_pieces=(1, 1, 2, 3)):
    return StagePlan(ATTEMPT, chain(), n_pieces, "key")


def complete(plan, stage):
    """Complete every piece of a stage; return the stages no longer needed."""
    unneeded = []
    for work in plan.work(stage):
        piece = work.piece_id
        unneeded += plan.record_result(piece, Handle(f"h{piece.stage}.{piece.piece}"))
    return unneeded


def test_stage_is_ready_once_its_inputs_are_completed():
    plan = make_plan()
    assert plan.ready_stages() == [0, 1]
    complete(plan, 1)
    assert plan.ready_stages() == [0, 2]


def test_piece_gets_every_result_of_the_stages_before_it_and_no_key():
    plan = make_plan()
    complete(plan, 1)
    complete(plan, 2)
    works = plan.work(3)
    assert [work.piece_id for work in works] == [
        PieceId(ATTEMPT, 3, piece) for piece in range(3)
    ]
    assert {work.inputs for work in works} == {("h2.0", "h2.1")}
    assert {work.key for work in works} == {""}
    assert plan.work(0)[0].key == "key"


def test_results_are_unneeded_once_the_last_dependent_piece_completes():
    plan = make_plan()
    assert complete(plan, 1) == []
    assert complete(plan, 2) == [1]
    works = plan.work(3)
    assert plan.record_result(works[0].piece_id, Handle("x")) == []
    assert plan.record_result(works[1].piece_id, Handle("y")) == []
    assert plan.record_result(works[2].piece_id, Handle("z")) == [2]


def test_request_gets_the_results_of_the_last_stages_in_order():
    plan = make_plan()
    for stage in (1, 2, 3, 0):
        complete(plan, stage)
    assert plan.is_done
    assert plan.final_inputs() == ["h0.0", "h3.0", "h3.1", "h3.2"]


def test_stage_without_pieces_is_left_out():
    plan = make_plan((0, 1, 2, 3))
    assert plan.ready_stages() == [1]
    for stage in (1, 2, 3):
        complete(plan, stage)
    assert plan.is_done
    assert plan.final_inputs() == ["h3.0", "h3.1", "h3.2"]


def test_release_returns_each_result_once():
    plan = make_plan()
    complete(plan, 0)
    complete(plan, 1)
    complete(plan, 2)
    assert plan.release() == [0, 2]
    assert plan.release() == []


def test_lost_stage_is_rerun_with_the_freed_stages_before_it():
    plan = make_plan()
    for stage in (0, 1, 2, 3):
        complete(plan, stage)
    plan.discard_results(3)
    assert not plan.is_done
    assert plan.ready_stages() == [1]
    for stage in (1, 2, 3):
        complete(plan, stage)
    assert plan.is_done


def test_lost_stage_keeps_inputs_that_are_still_held():
    plan = make_plan()
    complete(plan, 1)
    complete(plan, 2)
    plan.discard_results(2)
    assert plan.ready_stages() == [0, 1]


@pytest.mark.parametrize(
    ("completed", "expected"), [((), 0.5), ((1,), 0.3), ((1, 2), 0.1)]
)
def test_last_stage_may_wait_for_the_longest_chain(completed, expected):
    plan = make_plan()
    for stage in completed:
        complete(plan, stage)
    times = StageTimes({0: 0.2, 1: 0.2, 2: 0.2, 3: 0.3})
    assert plan.slack_s(0, times) == pytest.approx(expected)
