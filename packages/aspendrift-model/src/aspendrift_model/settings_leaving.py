"""Settings of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["LeavingSettings"]


@dataclass(frozen=True, slots=True)
class LeavingSettings:
    """Timing of a graceful shutdown."""

    margin_s: float = setting(
        1.0,
        unit="s",
        doc="Time allowed for the announcement to reach the other daemons.",
        minimum=0.0,
    )
    bound_s: float = setting(
        60.0,
        unit="s",
        doc="Maximum time from the announcement to process exit.",
        minimum=0.1,
    )
