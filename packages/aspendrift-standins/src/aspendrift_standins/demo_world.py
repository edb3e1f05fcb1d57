"""Stand-ins, daemons and configuration items of the demo, from the examples."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from aspendrift_model.ids import TargetId, ZoneName
from aspendrift_model.profiles import Profile
from aspendrift_model.states import TargetKind
from aspendrift_model.targets import Target
from aspendrift_standins.expected import ExpectedStage
from aspendrift_standins.fleet import DaemonSpec, StandInSpec
from aspendrift_standins.load_plan import LoadProfile

__all__ = ["EXAMPLES", "DemoAccount", "DemoWorld", "read_world"]

EXAMPLES: Final = Path(__file__).resolve().parents[4] / "examples"
PLATFORM: Final = ("table", "hostlist")
_N_TARGETS_BY_KIND: Final = {
    TargetKind.ENGINE: 3,
    TargetKind.STAGE_POOL: 1,
    TargetKind.SERVICE: 2,
}
_ZONES_BY_REGION: Final = {
    "western-cape": ("simonstown", "hout-bay", "saldanha"),
    "georgia": ("atlanta-a", "atlanta-b", "atlanta-c"),
}
_NON_IDEMPOTENT_WEIGHT: Final = 0.4
_STREAM_SHARE: Final = 0.5


class DemoAccount(msgspec.Struct, frozen=True):
    """A client account of the examples."""

    name: str
    share: float


@dataclass(frozen=True, slots=True)
class DemoWorld:
    """Configuration items that the demo publishes, and the processes for them."""

    profile_files: tuple[Path, ...]
    profiles: tuple[Profile, ...]
    targets: tuple[Target, ...]
    accounts: tuple[DemoAccount, ...]

    def stand_ins(self) -> list[StandInSpec]:
        """Return the stand-ins of the platform services and of every target."""
        specs = [StandInSpec(name, name) for name in PLATFORM]
        for target in self.targets:
            options = {"slots": target.slots}
            specs.append(StandInSpec(target.target_id, target.kind.value, options))
        return specs

    def daemons(self) -> list[DaemonSpec]:
        """Return one daemon for each availability zone of the first region."""
        region, zones = next(iter(_ZONES_BY_REGION.items()))
        overlay = {"peers": {"address_keep_s": 2.0}}
        return [DaemonSpec(f"{zone}-1", zone, region, overlay) for zone in zones]

    def services(self) -> list[TargetId]:
        """Return the targets whose requests must not run more than once."""
        kind = TargetKind.SERVICE
        return [each.target_id for each in self.targets if each.kind is kind]

    def load_profiles(self) -> tuple[LoadProfile, ...]:
        """Return the profiles in the form that the load sender uses."""
        return tuple(_load_profile(profile) for profile in self.profiles)

    def target_bodies(
        self, urls_by_id: Mapping[TargetId, str]
    ) -> Iterator[tuple[str, Any]]:
        """Yield each target id with the target's body, which has its started URL."""
        for target in self.targets:
            body = msgspec.to_builtins(target)
            yield target.target_id, body | {"url": urls_by_id[target.target_id]}


def read_world(examples: Path) -> DemoWorld:
    """Read the demo configuration from the example files."""
    profile_files = tuple(sorted((examples / "profiles").glob("*.json")))
    profiles = tuple(_read(path, Profile) for path in profile_files)
    samples = [_read(path, Target) for path in sorted((examples / "targets").iterdir())]
    targets = tuple(copy for sample in samples for copy in _copies(sample))
    accounts = _read(examples / "accounts.json", tuple[DemoAccount, ...])
    return DemoWorld(profile_files, profiles, targets, accounts)


def _read(path: Path, kind: Any) -> Any:
    return msgspec.json.decode(path.read_bytes(), type=kind)


def _copies(sample: Target) -> Iterator[Target]:
    """Yield a pool's targets: copies of its example, assigned to zones in turn."""
    zones = _ZONES_BY_REGION[sample.region]
    for i in range(_N_TARGETS_BY_KIND[sample.kind]):
        yield dataclasses.replace(
            sample,
            target_id=TargetId(f"{sample.pool}-{i + 1}"),
            zone=ZoneName(zones[i % len(zones)]),
        )


def _load_profile(profile: Profile) -> LoadProfile:
    stages = tuple(
        ExpectedStage(stage.name, stage.kind, stage.max_tokens)
        for stage in profile.stages
    )
    idempotent = profile.contract.idempotent
    return LoadProfile(
        profile.name,
        stages,
        profile.contract.deadline_ms,
        idempotent,
        weight=1.0 if idempotent else _NON_IDEMPOTENT_WEIGHT,
        stream_share=_STREAM_SHARE if idempotent else 0.0,
        shared_prefix_chars=64,
    )
