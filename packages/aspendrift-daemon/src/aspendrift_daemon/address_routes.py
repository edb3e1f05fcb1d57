"""HTTP route that returns the addresses of daemons to callers."""

from __future__ import annotations

import random

import msgspec
from litestar import Response, get
from litestar.handlers import HTTPRouteHandler

from aspendrift_daemon.peers import PeerLink
from aspendrift_model.hosts import Location
from aspendrift_model.ids import RegionName, ZoneName
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.wire_caller import AddressAnswer
from aspendrift_policy.addresses import AddressLimits, choose_addresses

__all__ = ["AddressSelector", "address_routes"]


class AddressSelector:
    """Selects the daemons that a caller should use.

    A caller that names no zone is treated as one in the zone of this daemon.
    """

    def __init__(
        self, link: PeerLink, settings: PeerSettings, rng: random.Random
    ) -> None:
        self._link = link
        self._rng = rng
        self._limits = AddressLimits(
            settings.addresses_per_answer, settings.address_keep_s
        )

    def answer(self, zone: str = "", region: str = "") -> AddressAnswer:
        """Return addresses for a caller in a zone."""
        own = self._link.host.location
        caller = Location(
            ZoneName(zone) if zone else own.zone,
            RegionName(region) if region else own.region,
        )
        members = self._link.view.members()
        return choose_addresses(members, caller, self._limits, self._rng)

    def urls(self) -> tuple[str, ...]:
        """Return addresses of other daemons to include in a refusal."""
        own_id = self._link.host.daemon_id
        answer = self.answer()
        return tuple(each.url for each in answer.addresses if each.daemon_id != own_id)


def address_routes(selector: AddressSelector) -> list[HTTPRouteHandler]:
    """Return the handlers of ``/v1/addresses``."""

    @get("/v1/addresses")
    async def addresses(zone: str = "", region: str = "") -> Response[bytes]:
        body = msgspec.json.encode(selector.answer(zone, region))
        return Response(body, media_type="application/json")

    return [addresses]
