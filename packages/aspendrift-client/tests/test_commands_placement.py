"""Tests of the commands that show placement and cost."""

from __future__ import annotations

from aspendrift_client.commands_placement import CostGroup, explanation, summed_costs
from aspendrift_model.wire_placement import CostRow, EngineRow, PoolPlacement
from aspendrift_model.wire_target import EngineRole


def test_explanation_names_reason_holder_and_demand() -> None:
    engine = EngineRow(
        "e1",
        "a",
        EngineRole.BOTH,
        ("draft",),
        planned_models=("draft", "review"),
        reason="forecast",
        reasons_by_model={"draft": "demand", "review": "forecast"},
    )
    placement = PoolPlacement(
        "eng", "d1", 7, (engine,), {"draft": 3.0}, {"review": 12.0, "draft": 3.0}
    )
    text = explanation(placement, engine)
    assert "because of forecast" in text
    assert "d1 under fencing number 7" in text
    assert "draft: loaded, demand" in text
    assert "review: not loaded, forecast; slots requested: 0.0 now, 12.0" in text


def test_costs_of_daemons_are_summed_by_the_requested_group() -> None:
    rows = [
        CostRow("generate", "eng", "p", "ann", 2, 2, 4.0, 3.0),
        CostRow("generate", "eng", "p", "bob", 1, 0, 1.0, 0.5),
        CostRow("encode", "enc", "p", "ann", 1, 1, 0.5, 0.5),
    ]
    assert summed_costs(rows, CostGroup.STAGE) == [
        ("generate", 3, 2, 5.0, 3.5),
        ("encode", 1, 1, 0.5, 0.5),
    ]
    assert summed_costs(rows, CostGroup.ACCOUNT)[0] == ("ann", 3, 3, 4.5, 3.5)
