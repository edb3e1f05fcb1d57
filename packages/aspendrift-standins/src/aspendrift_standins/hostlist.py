"""Stand-in for the platform's membership list, which shows edits after a lag."""

from __future__ import annotations

from collections import deque

import msgspec

from aspendrift_model.wire_platform import HostEntry, HostList
from aspendrift_standins.exchange import Exchange
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.platform_base import PlatformStandIn
from aspendrift_standins.process import command

__all__ = ["HostEdit", "HostListOptions", "HostListStandIn", "LaggingHosts", "main"]


class HostListOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time until an edit becomes visible, in seconds."""

    lag_s: float = 2.0


class HostEdit(msgspec.Struct, frozen=True):
    """Body of ``POST /hosts``: hosts to add or replace, and names to remove."""

    put: tuple[HostEntry, ...] = ()
    remove: tuple[str, ...] = ()


class LaggingHosts:
    """List of hosts to which each edit applies after a lag."""

    def __init__(self, options: HostListOptions) -> None:
        self._lag_s = options.lag_s
        self._hosts_by_id: dict[str, HostEntry] = {}
        self._pending: deque[tuple[float, HostEdit]] = deque()

    def edit(self, edit: HostEdit, now: float) -> None:
        """Change the hosts; the edit becomes visible after the lag."""
        self._pending.append((now + self._lag_s, edit))

    def visible(self, now: float) -> HostList:
        """Return the hosts visible now."""
        while self._pending and self._pending[0][0] <= now:
            self._apply(self._pending.popleft()[1])
        ordered = sorted(self._hosts_by_id.values(), key=lambda host: host.daemon_id)
        return HostList(tuple(ordered))

    def _apply(self, edit: HostEdit) -> None:
        for daemon_id in edit.remove:
            self._hosts_by_id.pop(daemon_id, None)
        for host in edit.put:
            self._hosts_by_id[host.daemon_id] = host


class HostListStandIn(PlatformStandIn):
    """Membership list over HTTP."""

    def __init__(self, options: HostListOptions, faults: PlatformFaults) -> None:
        super().__init__(faults)
        self.hosts = LaggingHosts(options)

    async def route(self, exchange: Exchange) -> bool:
        """Serve ``GET /v1/hosts`` and ``POST /hosts``."""
        match (exchange.method, exchange.path):
            case ("GET", ("v1", "hosts")):
                await self.perform(exchange, lambda now: (200, self.hosts.visible(now)))
            case ("POST", ("hosts",)):
                edit = await exchange.decode(HostEdit)
                await self.perform(exchange, lambda now: self._edit(edit, now))
            case _:
                return False
        return True

    def _edit(self, edit: HostEdit, now: float) -> tuple[int, object]:
        self.hosts.edit(edit, now)
        return 204, None


main = command("hostlist", HostListOptions, PlatformFaults, HostListStandIn)

if __name__ == "__main__":
    main()
