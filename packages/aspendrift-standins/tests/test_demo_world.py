"""Tests of the example files and of the demo configuration."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from aspendrift_model.states import ItemKind
from aspendrift_policy.configuration_log import decode_item
from aspendrift_standins.demo_world import EXAMPLES, DemoWorld, read_world


@pytest.fixture(scope="module")
def world() -> DemoWorld:
    return read_world(EXAMPLES)


@pytest.mark.parametrize(
    ("kind", "field", "path"),
    [
        (kind, field, path)
        for kind, field, folder in (
            (ItemKind.PROFILE, "name", "profiles"),
            (ItemKind.TARGET, "target_id", "targets"),
        )
        for path in sorted((EXAMPLES / folder).glob("*.json"))
    ],
    ids=lambda value: value.stem if isinstance(value, Path) else "",
)
def test_each_example_can_be_published(kind: ItemKind, field: str, path: Path) -> None:
    body = path.read_bytes()
    decode_item(kind, json.loads(body)[field], body)


def test_each_stage_has_targets_in_its_pool(world: DemoWorld) -> None:
    pools = {target.pool for target in world.targets}
    used = {stage.pool for profile in world.profiles for stage in profile.stages}
    assert used == pools


def test_both_kinds_of_contract_are_shown(world: DemoWorld) -> None:
    idempotent = {profile.contract.idempotent for profile in world.profiles}
    assert idempotent == {True, False}
    assert len(world.services()) >= 2


def test_targets_differ_and_take_their_started_address(world: DemoWorld) -> None:
    urls = {target.target_id: f"http://{target.target_id}" for target in world.targets}
    assert len(urls) == len(world.targets)
    bodies = dict(world.target_bodies(urls))
    assert all(body["url"] == urls[name] for name, body in bodies.items())  # type: ignore[index]
