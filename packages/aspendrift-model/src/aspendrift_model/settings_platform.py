"""Settings of the platform's services."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["PlatformSettings"]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses and credentials of the platform's services."""

    table_url: str = setting(doc="Base URL of the table service.")
    object_url: str = setting("", doc="Base URL of the object store.")
    weight_url: str = setting("", doc="Base URL of the weight store.")
    membership_url: str = setting("", doc="Base URL of the membership list.")
    timeout_s: float = setting(
        2.0, unit="s", doc="Timeout of calls to the platform.", minimum=0.01, maximum=60
    )
    ca_file: str = setting("", doc="CA bundle for TLS connections to the platform.")
    token_file: str = setting("", doc="File with the bearer token for the platform.")
