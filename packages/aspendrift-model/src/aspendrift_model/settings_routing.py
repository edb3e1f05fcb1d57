"""Settings of routing, admission, fair shares and placement."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["RoutingSettings"]


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How targets are chosen and load is limited."""

    load_poll_s: float = setting(
        0.25, unit="s", doc="Time between load polls of a target.", minimum=0.01
    )
