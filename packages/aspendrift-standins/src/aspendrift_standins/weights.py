"""Stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import hashlib

import msgspec

from aspendrift_standins.exchange import Exchange
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.platform_base import PlatformStandIn
from aspendrift_standins.process import command
from aspendrift_standins.rates import TokenBucket

__all__ = ["WeightOptions", "WeightStandIn", "WeightStore", "main"]


class WeightOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size of each model's weights; rate limit of reads, and its burst in seconds."""

    n_bytes: int = 4_096
    reads_per_s: float = 2.0
    burst_s: float = 2.0


class WeightStore:
    """Weights derived from the name of the model."""

    def __init__(self, options: WeightOptions) -> None:
        self._n_bytes = options.n_bytes
        self._reads = TokenBucket(options.reads_per_s, options.burst_s)

    def get(self, model: str, now: float) -> tuple[int, object]:
        """Return status and weights of a model; 429 if the rate limit is exceeded."""
        if not self._reads.take(1, now):
            return 429, None
        return 200, hashlib.shake_128(model.encode()).digest(self._n_bytes)


class WeightStandIn(PlatformStandIn):
    """Weight store over HTTP."""

    def __init__(self, options: WeightOptions, faults: PlatformFaults) -> None:
        super().__init__(faults)
        self.store = WeightStore(options)

    async def route(self, exchange: Exchange) -> bool:
        """Serve the route of the weight store."""
        match (exchange.method, exchange.path):
            case ("GET", ("v1", "weights", model)):
                await self.perform(exchange, lambda now: self.store.get(model, now))
                return True
        return False


main = command("weights", WeightOptions, PlatformFaults, WeightStandIn)

if __name__ == "__main__":
    main()
