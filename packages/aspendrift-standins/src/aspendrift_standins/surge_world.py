"""Deployments of two users, at their sizes, for the surge measurement."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import httpx
import msgspec

from aspendrift_client.operator_api import OperatorApi, new_change_id
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
from aspendrift_model.states import ItemKind, StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_operator import ChangeAnswer, ChangeRequest, ChangeStatus
from aspendrift_standins.errors import FleetError
from aspendrift_standins.expected import ExpectedStage
from aspendrift_standins.fleet import OPERATOR_TOKEN, Fleet, StandInSpec
from aspendrift_standins.load_plan import LoadAccount, LoadProfile

__all__ = ["KAAPWIND", "REGISTRY", "Deployment", "NotPublished", "publish"]

_DEADLINE_MS: Final = 6_000
_MAX_TOKENS: Final = 24
_STEP_MS: Final = 42.0
_ENGINE_SLOTS: Final = 3
_POOL_SLOTS: Final = 8
_TARGETS_PER_POOL: Final = 3
_SERVICE_MS: Final = 30.0
_SERVICE_MS_BY_KIND: Final = {
    StageKind.ENCODE: 8.0,
    StageKind.RETRIEVE: 20.0,
    StageKind.RERANK: 15.0,
}
_CALL_SHARE: Final = 0.12
_STREAM_SHARE: Final = 0.2
_IN_FORCE_TIMEOUT_S: Final = 20.0


class NotPublished(FleetError):
    """A configuration item was not accepted or not put in force in time."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """One user's targets, profiles and client accounts.

    Parameters
    ----------
    n_engines : int
        Engines in the pool that serves generation.
    services : tuple of str
        Pools of plain services, each with a few targets.
    weights_by_account : mapping of str to float
        Relative request rate of each account.
    load_lag_s : float
        Age of the load in the targets' reports, in seconds.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    n_engines: int
    services: tuple[str, ...]
    weights_by_account: Mapping[str, float]
    load_lag_s: float = 0.3
    engine_pool: str = "engines"
    n_daemons: int = 6
    small_accounts: tuple[str, ...] = field(default=())

    @property
    def generation_capacity_per_s(self) -> float:
        """Requests with generation that the engines can answer per second."""
        n_tokens = _MAX_TOKENS - _MAX_TOKENS // 8 / 2
        generation_s = (n_tokens + 1) * _STEP_MS / 1e3
        return self.n_engines * _ENGINE_SLOTS / generation_s

    @property
    def unloaded_latency_s(self) -> float:
        """Latency of a request with generation when nothing is queued, in seconds."""
        return (sum(_SERVICE_MS_BY_KIND.values()) + _MAX_TOKENS * _STEP_MS) / 1e3

    @property
    def deadline_s(self) -> float:
        """Deadline of every profile, in seconds."""
        return _DEADLINE_MS / 1e3

    @property
    def generation_share(self) -> float:
        """Share of the requests that need the engines."""
        return 1.0 - _CALL_SHARE

    def stand_ins(self) -> Iterator[StandInSpec]:
        """Yield the stand-in of every target."""
        service_ms = {kind.value: ms for kind, ms in _SERVICE_MS_BY_KIND.items()}
        for target in self.targets({}):
            options: dict[str, Any] = {
                "slots": target.slots,
                "load_lag_s": self.load_lag_s,
            }
            if target.kind is TargetKind.ENGINE:
                options["step_ms"] = _STEP_MS
            else:
                options["service_ms"] = _SERVICE_MS
                options["service_ms_by_kind"] = service_ms
            yield StandInSpec(target.target_id, target.kind.value, options)

    def targets(self, urls_by_id: Mapping[str, str]) -> Iterator[Target]:
        """Yield every target, pool by pool, spread over the availability zones."""
        for kind in _SERVICE_MS_BY_KIND:
            yield from self._pool(kind.value, TargetKind.STAGE_POOL, urls_by_id)
        for service in self.services:
            yield from self._pool(service, TargetKind.SERVICE, urls_by_id)
        yield from self._pool(self.engine_pool, TargetKind.ENGINE, urls_by_id)

    def profiles(self) -> Iterator[Profile]:
        """Yield the pipeline and one profile for each service."""
        stages = [
            Stage(StageName(kind.value), kind, PoolName(kind.value), expected_ms=ms)
            for kind, ms in _SERVICE_MS_BY_KIND.items()
        ]
        generate = Stage(
            StageName("generate"),
            StageKind.GENERATE,
            PoolName(self.engine_pool),
            expected_ms=_MAX_TOKENS * _STEP_MS,
            max_tokens=_MAX_TOKENS,
        )
        contract = Contract(_DEADLINE_MS)
        yield Profile(ProfileName("pipeline"), (*stages, generate), contract)
        for service in self.services:
            call = Stage(
                StageName("call"),
                StageKind.CALL,
                PoolName(service),
                expected_ms=_SERVICE_MS,
            )
            not_idempotent = Contract(_DEADLINE_MS, idempotent=False)
            yield Profile(ProfileName(service), (call,), not_idempotent)

    def load_profiles(self) -> tuple[LoadProfile, ...]:
        """Return the profiles as the load sender needs them."""
        return tuple(self._load_profile(profile) for profile in self.profiles())

    def load_accounts(self, factors: Mapping[str, float]) -> tuple[LoadAccount, ...]:
        """Return the client accounts with their weights multiplied by factors."""
        return tuple(
            LoadAccount(name, _token(name), weight * factors.get(name, 1.0))
            for name, weight in self.weights_by_account.items()
        )

    def accounts(self) -> Iterator[ClientAccount]:
        """Yield the client accounts for the configuration."""
        for name in self.weights_by_account:
            digest = hashlib.sha256(_token(name).encode()).hexdigest()
            yield ClientAccount(AccountId(name), digest)

    def _pool(
        self, pool: str, kind: TargetKind, urls_by_id: Mapping[str, str]
    ) -> Iterator[Target]:
        is_engine = kind is TargetKind.ENGINE
        for i in range(self.n_engines if is_engine else _TARGETS_PER_POOL):
            name = f"{pool}-{i + 1}"
            yield Target(
                TargetId(name),
                PoolName(pool),
                kind,
                urls_by_id.get(name, ""),
                ZoneName(self.zones[i % len(self.zones)]),
                RegionName(self.region),
                _ENGINE_SLOTS if is_engine else _POOL_SLOTS,
            )

    def _load_profile(self, profile: Profile) -> LoadProfile:
        stages = tuple(
            ExpectedStage(stage.name, stage.kind, stage.max_tokens)
            for stage in profile.stages
        )
        if profile.contract.idempotent:
            return LoadProfile(
                profile.name,
                stages,
                _DEADLINE_MS,
                weight=self.generation_share,
                stream_share=_STREAM_SHARE,
                shared_prefix_chars=100,
            )
        weight = _CALL_SHARE / len(self.services)
        return LoadProfile(profile.name, stages, _DEADLINE_MS, False, weight)


KAAPWIND: Final = Deployment(
    "kaapwind",
    "western-cape",
    ("simonstown", "hout-bay", "saldanha"),
    6,
    ("bookings", "rostering", "forecasts", "marina-log"),
    {"charter": 4.0, "brokers": 3.0, "skippers": 1.0, "marinas": 1.0, "guests": 1.0},
    small_accounts=("skippers", "marinas", "guests"),
)
REGISTRY: Final = Deployment(
    "registry",
    "georgia",
    ("atlanta-a", "atlanta-b", "atlanta-c"),
    5,
    ("filings", "casework", "register", "notices"),
    {
        "portal": 4.0,
        "examiners": 3.0,
        "auditors": 1.0,
        "treasurers": 1.0,
        "public": 1.0,
    },
    load_lag_s=2.0,
    small_accounts=("auditors", "treasurers", "public"),
)


def publish(deployment: Deployment, fleet: Fleet, daemon_url: str) -> None:
    """Publish every item of a deployment and wait until the last is in force.

    Raises
    ------
    NotPublished
        If an item is not accepted, or the last one is not in force in time.
    """
    specs = list(deployment.stand_ins())
    urls_by_id = {spec.name: fleet.url(spec.name) for spec in specs}
    items = [(ItemKind.TARGET, t.target_id, t) for t in deployment.targets(urls_by_id)]
    items += [(ItemKind.ACCOUNT, a.account_id, a) for a in deployment.accounts()]  # type: ignore[misc]
    items += [(ItemKind.PROFILE, p.name, p) for p in deployment.profiles()]  # type: ignore[misc]
    with httpx.Client(timeout=10.0, trust_env=False) as client:
        api = OperatorApi([daemon_url], OPERATOR_TOKEN, client)
        answers = [_publish_one(api, kind, name, body) for kind, name, body in items]
        last = answers[-1]
        final = api.wait_in_force(last.change_id, _IN_FORCE_TIMEOUT_S, _ignore_progress)
    if final.status is not ChangeStatus.IN_FORCE:
        raise NotPublished(f"{final.status.value}: {final.detail}")


def _publish_one(
    api: OperatorApi, kind: ItemKind, name: str, body: Any
) -> ChangeAnswer:
    raw = msgspec.Raw(msgspec.json.encode(body))
    answer = api.make_change(ChangeRequest(new_change_id(), kind, name, 0, raw))
    if answer.status not in (
        ChangeStatus.ACCEPTED,
        ChangeStatus.IN_FORCE,
        ChangeStatus.RECORDED,
    ):
        raise NotPublished(
            f"{kind.value}/{name}: {answer.status.value} {answer.detail}"
        )
    return answer


def _ignore_progress(answer: ChangeAnswer) -> None:
    return None


def _token(account: str) -> str:
    return f"{account}-token"
