"""Settings of routing, admission, fair shares and placement."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from aspendrift_model.settings_base import setting

__all__ = ["PlacementSettings", "RoutingSettings", "RoutingStrategy"]


class RoutingStrategy(Enum):
    """How a daemon chooses targets; the last two exist for comparison."""

    ASPENDRIFT = "aspendrift"
    ROUND_ROBIN = "round_robin"
    RANDOM_LIMIT = "random_limit"


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How models and roles are given to engines."""

    enabled: bool = setting(True, doc="Whether this daemon gives orders to engines.")
    lease_s: float = setting(
        6.0, unit="s", doc="Length of the lease on a pool's orders.", minimum=0.5
    )
    lease_margin_s: float = setting(
        1.0, unit="s", doc="How much earlier a holder stops.", minimum=0.1
    )
    takeover_wait_s: float = setting(
        2.5, unit="s", doc="Wait of a new holder before its first order.", minimum=0
    )
    order_valid_ms: int = setting(
        2000, unit="ms", doc="Longest life of an order.", minimum=100
    )
    n_contenders: int = setting(
        3, doc="Daemons that try for the lease of a pool.", minimum=1
    )
    step_s: float = setting(
        1.0, unit="s", doc="Time between looks at a pool.", minimum=0.05
    )
    max_state_reads_per_s: float = setting(
        20.0, unit="1/s", doc="Engine states a holder reads.", minimum=0.1
    )
    ahead_s: float = setting(
        120.0, unit="s", doc="How early a surge is prepared for.", minimum=1
    )
    keep_s: float = setting(
        60.0, unit="s", doc="How long capacity is kept after a surge.", minimum=0
    )
    headroom: float = setting(
        1.3, doc="Capacity planned for, relative to the demand.", minimum=1
    )
    min_replicas: int = setting(
        2, doc="Engines that hold each model whatever the demand.", minimum=1
    )
    models_per_engine: int = setting(
        2, doc="Models that one engine may hold.", minimum=1
    )
    max_loads: int = setting(
        2, doc="Models loading in a pool at a time; the weight store's rate.", minimum=1
    )
    store_forecast_s: float = setting(
        300.0, unit="s", doc="Time between writes of the forecast.", minimum=1
    )


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How targets are chosen and load is limited."""

    strategy: RoutingStrategy = setting(
        RoutingStrategy.ASPENDRIFT,
        doc="How targets are chosen; the baselines admit everything.",
    )
    load_poll_s: float = setting(
        0.25, unit="s", doc="Time between load polls of a target.", minimum=0.01
    )
    load_poll_timeout_s: float = setting(
        1.0, unit="s", doc="Time to wait for a load report.", minimum=0.01
    )
    max_polls_per_s: float = setting(
        8.0,
        unit="1/s",
        doc="Load polls a daemon sends; more targets are polled less often.",
        minimum=0.1,
    )
    subset_size: int = setting(
        40, doc="Most targets of one pool that a daemon uses.", minimum=1
    )
    digest_s: float = setting(
        0.5, unit="s", doc="Time between digests of use to peers.", minimum=0.05
    )
    digest_fanout: int = setting(8, doc="Peers that each digest goes to.", minimum=1)
    digest_bytes_per_s: float = setting(
        3000.0,
        unit="bytes/s",
        doc="Digest traffic a daemon sends; larger digests are sent less often.",
        minimum=100,
    )
    cross_zone_penalty_s: float = setting(
        0.01,
        unit="s",
        doc="Estimated wait that a target in the same availability zone may have "
        "over one in another zone before work spills over.",
        minimum=0,
    )
    cross_region_penalty_s: float = setting(
        0.1, unit="s", doc="The same for a target in another region.", minimum=0
    )
    affinity_load_bound: float = setting(
        1.25,
        doc="Load that a target may have, relative to the mean of its pool, and "
        "still attract requests with a prefix it has cached.",
        minimum=1,
    )
    failures_to_eject: int = setting(
        3, doc="Failures in a row that eject a target.", minimum=1
    )
    ejection_s: float = setting(
        1.0, unit="s", doc="Time of the first ejection of a target.", minimum=0.01
    )
    max_ejection_s: float = setting(
        20.0, unit="s", doc="Longest ejection of a target.", minimum=0.01
    )
    max_ejected_share: float = setting(
        0.5,
        doc="Largest share of a pool ejected while its targets still report.",
        minimum=0,
        maximum=1,
    )
    slow_start_s: float = setting(
        2.0,
        unit="s",
        doc="Time over which a new target gets its full share.",
        minimum=0,
    )
    retry_share: float = setting(
        0.2, doc="Retries allowed for each first attempt.", minimum=0, maximum=1
    )
    retry_floor_per_s: float = setting(
        1.0, unit="1/s", doc="Retries always allowed.", minimum=0
    )
    cache_poll_s: float = setting(
        4.0,
        unit="s",
        doc="Time between reads of an engine's cache events.",
        minimum=0.1,
    )
    placement: PlacementSettings = field(default_factory=PlacementSettings)
