"""Stand-in for the platform's object store."""

from __future__ import annotations

import msgspec

from aspendrift_standins.exchange import Exchange
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.platform_base import PlatformStandIn
from aspendrift_standins.process import command
from aspendrift_standins.rates import TokenBucket

__all__ = ["ObjectOptions", "ObjectStandIn", "ObjectStore", "main"]


class ObjectOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limits of the object store; 0 for no limit."""

    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0


class ObjectStore:
    """Objects by key; each operation returns an HTTP status and a body."""

    def __init__(self, options: ObjectOptions) -> None:
        self._objects_by_key: dict[str, bytes] = {}
        self._writes = TokenBucket(options.writes_per_s)
        self._reads = TokenBucket(options.reads_per_s)

    def put(self, key: str, content: bytes, now: float) -> tuple[int, object]:
        """Store an object."""
        if not self._writes.take(1, now):
            return 429, None
        self._objects_by_key[key] = content
        return 204, None

    def get(self, key: str, now: float) -> tuple[int, object]:
        """Return an object."""
        if not self._reads.take(1, now):
            return 429, None
        content = self._objects_by_key.get(key)
        return (404, None) if content is None else (200, content)

    def delete(self, key: str, now: float) -> tuple[int, object]:
        """Delete an object; succeeds even if there is none."""
        if not self._writes.take(1, now):
            return 429, None
        self._objects_by_key.pop(key, None)
        return 204, None


class ObjectStandIn(PlatformStandIn):
    """Object store over HTTP."""

    def __init__(self, options: ObjectOptions, faults: PlatformFaults) -> None:
        super().__init__(faults)
        self.store = ObjectStore(options)

    async def route(self, exchange: Exchange) -> bool:
        """Serve the routes of the object store."""
        if exchange.path[:2] != ("v1", "objects") or len(exchange.path) < 3:
            return False
        key = "/".join(exchange.path[2:])
        match exchange.method:
            case "PUT":
                content = await exchange.body()
                await self.perform(
                    exchange, lambda now: self.store.put(key, content, now)
                )
            case "GET":
                await self.perform(exchange, lambda now: self.store.get(key, now))
            case "DELETE":
                await self.perform(exchange, lambda now: self.store.delete(key, now))
            case _:
                return False
        return True


main = command("objects", ObjectOptions, PlatformFaults, ObjectStandIn)

if __name__ == "__main__":
    main()
