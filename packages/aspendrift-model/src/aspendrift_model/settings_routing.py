"""Settings of routing, admission, fair sharing and placement."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from aspendrift_model.settings_base import setting

__all__ = ["PlacementSettings", "RoutingSettings", "RoutingStrategy"]


class RoutingStrategy(Enum):
    """Strategy for choosing targets; all but the first are baselines."""

    ASPENDRIFT = "aspendrift"
    ROUND_ROBIN = "round_robin"
    RANDOM_LIMIT = "random_limit"


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Placement of models and roles on engines."""

    enabled: bool = setting(
        True, doc="Whether this daemon sends placement orders to engines."
    )
    lease_s: float = setting(
        6.0,
        unit="s",
        doc="Duration of the lease that permits orders for a pool.",
        minimum=0.5,
    )
    lease_margin_s: float = setting(
        1.0,
        unit="s",
        doc="Time before expiry at which a lease holder stops sending orders.",
        minimum=0.1,
    )
    takeover_wait_s: float = setting(
        2.5,
        unit="s",
        doc="Delay before the first order of a new lease holder.",
        minimum=0,
    )
    order_valid_ms: int = setting(
        2000, unit="ms", doc="Maximum validity of an order.", minimum=100
    )
    n_contenders: int = setting(
        3, doc="Number of daemons that compete for the lease of a pool.", minimum=1
    )
    step_s: float = setting(
        1.0,
        unit="s",
        doc="Interval between placement decisions for a pool.",
        minimum=0.05,
    )
    max_state_reads_per_s: float = setting(
        20.0,
        unit="1/s",
        doc="Maximum rate at which a lease holder reads engine states.",
        minimum=0.1,
    )
    ahead_s: float = setting(
        120.0,
        unit="s",
        doc="Time before a forecast surge at which capacity is prepared.",
        minimum=1,
    )
    keep_s: float = setting(
        60.0,
        unit="s",
        doc="Time for which capacity is retained after a surge.",
        minimum=0,
    )
    headroom: float = setting(
        1.3, doc="Planned capacity relative to the expected demand.", minimum=1
    )
    min_replicas: int = setting(
        2, doc="Minimum number of engines per model, regardless of demand.", minimum=1
    )
    models_per_engine: int = setting(
        2, doc="Maximum number of models that one engine holds.", minimum=1
    )
    max_loads: int = setting(
        2,
        doc="Concurrent model loads in a pool; bounded by the weight store's rate.",
        minimum=1,
    )
    store_forecast_s: float = setting(
        300.0,
        unit="s",
        doc="Interval between writes of the forecast to the table.",
        minimum=1,
    )


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Choice of targets and limits on load."""

    strategy: RoutingStrategy = setting(
        RoutingStrategy.ASPENDRIFT,
        doc="Strategy for choosing targets; the baselines admit every request.",
    )
    load_poll_s: float = setting(
        0.25, unit="s", doc="Interval between load polls of a target.", minimum=0.01
    )
    load_poll_timeout_s: float = setting(
        1.0, unit="s", doc="Timeout of a load poll.", minimum=0.01
    )
    max_polls_per_s: float = setting(
        8.0,
        unit="1/s",
        doc="Maximum rate of load polls by a daemon; with more targets, each is "
        "polled less often.",
        minimum=0.1,
    )
    subset_size: int = setting(
        40, doc="Maximum number of targets of one pool that a daemon uses.", minimum=1
    )
    digest_s: float = setting(
        0.5, unit="s", doc="Interval between usage digests sent to peers.", minimum=0.05
    )
    digest_fanout: int = setting(
        8, doc="Number of peers to which each digest is sent.", minimum=1
    )
    digest_bytes_per_s: float = setting(
        3000.0,
        unit="bytes/s",
        doc="Maximum digest traffic of a daemon; larger digests are sent less often.",
        minimum=100,
    )
    cross_zone_penalty_s: float = setting(
        0.01,
        unit="s",
        doc="Excess of the estimated wait in the same availability zone over "
        "that in another zone at which requests spill over.",
        minimum=0,
    )
    cross_region_penalty_s: float = setting(
        0.1,
        unit="s",
        doc="The same excess for targets in another region.",
        minimum=0,
    )
    affinity_load_bound: float = setting(
        1.25,
        doc="Maximum load of a target, relative to the mean of its pool, at which "
        "it is preferred for requests whose prefix it has cached.",
        minimum=1,
    )
    failures_to_eject: int = setting(
        3, doc="Consecutive failures after which a target is ejected.", minimum=1
    )
    ejection_s: float = setting(
        1.0, unit="s", doc="Duration of the first ejection of a target.", minimum=0.01
    )
    max_ejection_s: float = setting(
        20.0, unit="s", doc="Maximum duration of an ejection.", minimum=0.01
    )
    max_ejected_share: float = setting(
        0.5,
        doc="Maximum fraction of a pool ejected while its targets still report.",
        minimum=0,
        maximum=1,
    )
    slow_start_s: float = setting(
        2.0,
        unit="s",
        doc="Time over which the load of a new target is raised to its full share.",
        minimum=0,
    )
    retry_share: float = setting(
        0.2, doc="Retries allowed per first attempt.", minimum=0, maximum=1
    )
    retry_floor_per_s: float = setting(
        1.0, unit="1/s", doc="Rate of retries that is always allowed.", minimum=0
    )
    cache_poll_s: float = setting(
        4.0,
        unit="s",
        doc="Interval between reads of an engine's cache events.",
        minimum=0.1,
    )
    placement: PlacementSettings = field(default_factory=PlacementSettings)
