"""Tests of the small test deployment."""

from __future__ import annotations

import hashlib

from aspendrift_model.states import StageKind
from aspendrift_standins.expected import ExpectedStage, expected_answer
from aspendrift_standins.fleet import Fleet
from aspendrift_standins.world import expected_stages, load_profile, small_world


def test_every_stage_has_a_pool_with_targets() -> None:
    world = small_world()
    pools = {pool.name for pool in world.pools if pool.n_targets}
    assert {stage.pool for p in world.profiles for stage in p.stages} <= pools
    assert len(set(world.target_names())) == len(world.target_names())


def test_accounts_are_published_without_their_tokens() -> None:
    world = small_world()
    for account, published in zip(world.accounts, world.client_accounts(), strict=True):
        digest = hashlib.sha256(account.token.encode()).hexdigest()
        assert published.token_sha256 == digest


def test_load_profile_expects_the_answer_of_its_pipeline() -> None:
    profile = small_world().profiles[0]
    stages = expected_stages(profile)
    assert stages[-1] == ExpectedStage("generate", StageKind.GENERATE, 24)
    assert load_profile(profile, 1.0, 0.0).stages == stages
    assert 20 < len(expected_answer("r", "text", stages).tokens) <= 24


def test_targets_keep_their_runs_in_files_of_the_fleet(tmp_path: object) -> None:
    fleet = Fleet(tmp_path)  # type: ignore[arg-type]
    options = [spec.options for spec in small_world().stand_ins(fleet)]
    assert len({option["runs_file"] for option in options}) == len(options)
