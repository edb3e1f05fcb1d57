"""Small test deployment for whole-system runs: targets, profiles and accounts."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from aspendrift_model.accounts import ClientAccount
from aspendrift_model.contracts import Contract
from aspendrift_model.ids import (
    AccountId,
    PoolName,
    ProfileName,
    RegionName,
    StageName,
    TargetId,
    ZoneName,
)
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import Priority, StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_standins.expected import ExpectedStage
from aspendrift_standins.fleet import DaemonSpec, Fleet, StandInSpec
from aspendrift_standins.load_plan import LoadAccount, LoadProfile
from aspendrift_standins.publish import Item, publish

__all__ = [
    "PoolPlan",
    "World",
    "expected_stages",
    "load_profile",
    "pipeline",
    "small_world",
    "start_world",
]

_TARGET_KIND_BY_STAND_IN: Final = {
    "engine": TargetKind.ENGINE,
    "stage_pool": TargetKind.STAGE_POOL,
    "service": TargetKind.SERVICE,
}


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """A pool of identical targets.

    Parameters
    ----------
    stand_in : str
        ``engine``, ``stage_pool`` or ``service``.
    n_targets : int
        Targets in the pool, assigned to the availability zones in turn.
    slots : int
        Requests that each target serves concurrently.
    """

    name: PoolName
    stand_in: str
    n_targets: int
    slots: int
    options: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class World:
    """Pools, profiles and accounts of one test deployment."""

    zones: tuple[ZoneName, ...]
    region: RegionName
    pools: tuple[PoolPlan, ...]
    profiles: tuple[Profile, ...]
    accounts: tuple[LoadAccount, ...]

    def target_names(self) -> tuple[str, ...]:
        """Return the names of all targets."""
        return tuple(
            _target_name(pool, i) for pool in self.pools for i in range(pool.n_targets)
        )

    def stand_ins(self, fleet: Fleet) -> list[StandInSpec]:
        """Return the stand-ins of the targets, with files for their run records."""
        specs: list[StandInSpec] = []
        for pool in self.pools:
            for i in range(pool.n_targets):
                name = _target_name(pool, i)
                options = dict(pool.options) | {
                    "slots": pool.slots,
                    "runs_file": str(fleet.runs_file(name)),
                }
                specs.append(StandInSpec(name, pool.stand_in, options))
        return specs

    def targets(self, fleet: Fleet) -> list[Target]:
        """Return the targets as configuration items."""
        return [
            Target(
                TargetId(_target_name(pool, i)),
                pool.name,
                _TARGET_KIND_BY_STAND_IN[pool.stand_in],
                fleet.url(_target_name(pool, i)),
                self.zones[i % len(self.zones)],
                self.region,
                pool.slots,
            )
            for pool in self.pools
            for i in range(pool.n_targets)
        ]

    def client_accounts(self) -> list[ClientAccount]:
        """Return the client accounts as configuration items."""
        return [
            ClientAccount(
                AccountId(account.account_id),
                hashlib.sha256(account.token.encode()).hexdigest(),
                account.weight,
            )
            for account in self.accounts
        ]


def small_world(zones: Sequence[str] = ("zone-1", "zone-2", "zone-3")) -> World:
    """Return a test deployment with a four-stage pipeline and a plain service."""
    return World(
        tuple(ZoneName(zone) for zone in zones),
        RegionName("region-1"),
        _pools(),
        _profiles(),
        (
            LoadAccount("harbour", "token-harbour", 4.0),
            LoadAccount("broker", "token-broker", 2.0),
            LoadAccount("auditor", "token-auditor", 2.0),
            LoadAccount("skipper", "token-skipper", 1.0),
            LoadAccount("treasurer", "token-treasurer", 1.0),
        ),
    )


def expected_stages(profile: Profile) -> tuple[ExpectedStage, ...]:
    """Return the stage properties on which a profile's answers depend."""
    return tuple(
        ExpectedStage(stage.name, stage.kind, stage.max_tokens)
        for stage in profile.stages
    )


def load_profile(profile: Profile, weight: float, stream_share: float) -> LoadProfile:
    """Return a profile in the form that a load sender uses."""
    return LoadProfile(
        profile.name,
        expected_stages(profile),
        profile.contract.deadline_ms,
        profile.contract.idempotent,
        weight,
        stream_share,
        n_input_chars=300,
        shared_prefix_chars=200,
    )


def pipeline(max_tokens: int) -> tuple[Stage, ...]:
    """Return the stages encode, retrieve, rerank and generate."""
    pool_stages: Iterable[tuple[StageKind, str, float]] = (
        (StageKind.ENCODE, "encoders", 6.0),
        (StageKind.RETRIEVE, "retrievers", 10.0),
        (StageKind.RERANK, "rerankers", 10.0),
    )
    stages = [
        Stage(StageName(kind.value), kind, PoolName(pool), expected_ms=expected_ms)
        for kind, pool, expected_ms in pool_stages
    ]
    generate = Stage(
        StageName("generate"),
        StageKind.GENERATE,
        PoolName("engines"),
        expected_ms=max_tokens * 8.0,
        max_tokens=max_tokens,
    )
    return (*stages, generate)


def _pools() -> tuple[PoolPlan, ...]:
    return (
        PoolPlan(PoolName("encoders"), "stage_pool", 3, 8, {"service_ms": 5.0}),
        PoolPlan(PoolName("retrievers"), "stage_pool", 3, 8, {"service_ms": 8.0}),
        PoolPlan(PoolName("rerankers"), "stage_pool", 3, 8, {"service_ms": 8.0}),
        PoolPlan(PoolName("engines"), "engine", 4, 32),
        PoolPlan(PoolName("bookings"), "service", 3, 8, {"service_ms": 10.0}),
    )


def _profiles() -> tuple[Profile, ...]:
    call = (
        Stage(
            StageName("call"), StageKind.CALL, PoolName("bookings"), expected_ms=12.0
        ),
    )
    return (
        Profile(ProfileName("briefing"), pipeline(24), Contract(6_000)),
        Profile(ProfileName("letter"), pipeline(24), Contract(6_000, idempotent=False)),
        Profile(ProfileName("quote"), call, Contract(3_000)),
        Profile(ProfileName("deposit"), call, Contract(3_000, Priority.URGENT, False)),
    )


def _target_name(pool: PoolPlan, index: int) -> str:
    return f"{pool.name}-{index + 1}"


async def start_world(
    fleet: Fleet, world: World, daemons: Sequence[DaemonSpec]
) -> None:
    """Start the platform, targets and daemons, and publish the configuration.

    Raises
    ------
    FleetError
        If a process does not start or a configuration change is refused.
    """
    await fleet.start_stand_ins(
        [
            StandInSpec("table", "table"),
            StandInSpec("objects", "objects"),
            StandInSpec("weights", "weights"),
            StandInSpec("hostlist", "hostlist"),
            *world.stand_ins(fleet),
        ]
    )
    platform = {
        "table_url": fleet.url("table"),
        "object_url": fleet.url("objects"),
        "weight_url": fleet.url("weights"),
        "membership_url": fleet.url("hostlist"),
    }
    await fleet.start_daemons(daemons, platform)
    items: list[Item] = [*world.client_accounts(), *world.targets(fleet)]
    items += world.profiles
    await publish(fleet.urls(fleet.daemon_ids), items)
