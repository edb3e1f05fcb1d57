"""Changes of the configuration at gateway processes, beside trouble with the store.

Each change moves a route to another service and adds one. Callers keep their
connections; a request that is sent later than the bound after a change was acknowledged
must be handled as that change or a later one says.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass

import httpx
from gateway_process import (
    READY_TIMEOUT_S,
    GatewayProcess,
    running,
    until_all_ready,
)
from platform_emulator import Platform, configuration, route

N_CALLERS = 8
# Bound on a change, and time after a fault of a machine in which it is not in touch.
CONFIGURATION_S = 2.0
CONTACT_S = 3.0
CHANGE_INTERVAL_S = 5.0
GRACE_S = 8.0
SERVICES = ("desk", "other")
DENIED = frozenset({401, 403, 404})


@dataclass(frozen=True)
class Trouble:
    """What the store and the machines do.

    Parameters
    ----------
    delay_s : float
        Time that each call of the store takes.
    hidden_share : float
        Share of the calls of the feed that pass a change without its row.
    stops : bool
        Whether gateways are stopped and started again.
    freezes : bool
        Whether gateways are stopped and continued, and told to read their settings.
    """

    delay_s: float = 0.0
    hidden_share: float = 0.0
    stops: bool = False
    freezes: bool = False


@dataclass
class Answered:
    """A request as its caller saw it; times are those of the event loop."""

    attempt_id: str
    path: str
    gateway: str
    sent_at: float
    ended_at: float
    status: int


class ConfigurationChanges:
    """Plays changes, and checks by which of them requests were handled."""

    def __init__(self, folder, seed, trouble, n_gateways=4, n_changes=3):
        self.rng = random.Random(seed)
        self.trouble = trouble
        self.n_changes = n_changes
        self.platform = Platform()
        self.platform.store.rng = random.Random(seed)
        bounds = {"graceS": GRACE_S}
        self.gateways = [
            GatewayProcess(folder, n, self.platform.store.address, **bounds)
            for n in range(n_gateways)
        ]
        self.answered = []
        # Times of the changes, by version, and of the faults of each gateway.
        self.changed_at = {}
        self.faults_by_gateway = {each.name: [] for each in self.gateways}
        self._ids = itertools.count(1)
        self._is_over = asyncio.Event()

    async def play(self):
        """Play all changes."""
        async with (
            running(self.platform, self.gateways) as tasks,
            httpx.AsyncClient(trust_env=False, timeout=10.0) as client,
        ):
            for service, number in itertools.product(SERVICES, range(2)):
                await self.platform.add_target(f"{service}-{number}", service)
            self._change(1)
            for gateway in self.gateways:
                gateway.start()
            await until_all_ready(self.gateways, client)
            self.platform.store.delay_s = self.trouble.delay_s
            self.platform.store.hidden_share = self.trouble.hidden_share
            tasks += [
                asyncio.create_task(self._call(client, self._caller_rng()))
                for _ in range(N_CALLERS)
            ]
            tasks.append(asyncio.create_task(self._disturb(client)))
            for version in range(2, 2 + self.n_changes):
                await asyncio.sleep(CHANGE_INTERVAL_S)
                self._change(version)
            await asyncio.sleep(CHANGE_INTERVAL_S)
            self._is_over.set()
            await asyncio.gather(*tasks)

    def _caller_rng(self):
        return random.Random(self.rng.random())

    def _change(self, version):
        routes = [route("/moved/", "idempotent", SERVICES[version % 2])]
        routes += [route(f"/added{v}/", "idempotent", "desk") for v in range(version)]
        services = [{"name": name, "maxConns": 100} for name in SERVICES]
        routes += configuration()["routes"][:1]
        self.platform.configure(version, routes=routes, services=services)
        self.changed_at[version] = asyncio.get_running_loop().time()

    async def _call(self, client, rng):
        loop = asyncio.get_running_loop()
        while not self._is_over.is_set():
            gateway = rng.choice(self.gateways)
            newest = max(self.changed_at) - 1
            path = rng.choice(["/moved/x", f"/added{newest}/x"])
            attempt_id = f"{next(self._ids):016x}"
            headers = {
                "Host": "h.example",
                "Attempt-Id": attempt_id,
                "Deadline-Ms": "5000",
                "Credential": "key",
            }
            sent_at = loop.time()
            try:
                url = f"http://{gateway.front}{path}"
                answer = await client.get(url, headers=headers)
                status = answer.status_code
            except httpx.HTTPError:
                status = 0
            self.answered.append(
                Answered(attempt_id, path, gateway.name, sent_at, loop.time(), status)
            )
            await asyncio.sleep(rng.uniform(0.02, 0.08))

    async def _disturb(self, client):
        """Stop, freeze or reload gateways in series."""
        while not self._is_over.is_set() and (
            self.trouble.stops or self.trouble.freezes
        ):
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            gateway = self.rng.choice(self.gateways)
            if self.trouble.stops and self.rng.random() < 0.5:
                self._record_fault(gateway)
                gateway.terminate()
                async with asyncio.timeout(READY_TIMEOUT_S):
                    await gateway.until_ended()
                self._record_fault(gateway)
                gateway.start()
                await until_all_ready([gateway], client)
                self._record_fault(gateway)
            elif self.trouble.freezes:
                gateway.reload()
                gateway.pause()
                self._record_fault(gateway)
                await asyncio.sleep(self.rng.uniform(0.2, 1.0))
                gateway.resume()
                self._record_fault(gateway)

    def _record_fault(self, gateway):
        at = asyncio.get_running_loop().time()
        self.faults_by_gateway[gateway.name].append(at)

    def _is_in_touch(self, answered):
        """Return whether a gateway had no fault for long, nor one at the request."""
        return not any(
            at - 1.0 <= answered.sent_at <= at + CONTACT_S
            for at in self.faults_by_gateway[answered.gateway]
        )

    def violations(self):
        """Return the requests that were handled as only an older change says."""
        service_by_id = {
            attempt_id: service
            for service, arrivals in self.platform.records.arrivals_by_service.items()
            for _, attempt_id in arrivals
        }
        found = []
        for each in self.answered:
            due = [
                version
                for version, at in self.changed_at.items()
                if at + CONFIGURATION_S < each.sent_at
            ]
            if not due or not self._is_in_touch(each):
                continue
            newest_due = max(due)
            allowed = [
                version
                for version, at in self.changed_at.items()
                if version >= newest_due and at <= each.ended_at
            ]
            if each.path.startswith("/added"):
                is_old = each.status in DENIED and f"/added{newest_due - 1}/x" == (
                    each.path
                )
            else:
                service = service_by_id.get(each.attempt_id)
                is_old = service is not None and service not in {
                    SERVICES[version % 2] for version in allowed
                }
            if is_old:
                after_s = each.sent_at - self.changed_at[newest_due]
                found.append(
                    f"{each.attempt_id} {each.path} at {each.gateway}: version"
                    f" {newest_due} was {after_s:.2f} s old, status {each.status}"
                )
        return found

    def summary(self):
        """Return the numbers of requests, of answers by status, and of versions."""
        by_status = {}
        for each in self.answered:
            by_status[each.status] = by_status.get(each.status, 0) + 1
        applied = {
            gateway.name: [
                e["version"] for e in gateway.logged("configuration_applied")
            ]
            for gateway in self.gateways
        }
        return {"requests": len(self.answered), "by_status": by_status, **applied}
