"""Settings of the request engine: claims, retries, streams and poison."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["RequestSettings"]


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """How requests are run."""

    max_body_bytes: int = setting(
        524_288, unit="bytes", doc="Largest request body accepted.", minimum=1024
    )
