"""Requests with stages, at gateway processes whose stage targets fail calls."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter

import httpx
from gateway_process import GatewayProcess, running, until_all_ready
from platform_emulator import Platform
from repeat_excess import first_and_repeated, worst_excess

RETRY_SHARE = 0.2
RETRY_EXTRA = 52
WINDOW_S = 10.0
N_CALLERS = 12
# Time before the trouble, so that no process is in its first window.
CALM_S = 11.0
STAGE_SERVICES = ("first", "second")


class StageRepeats:
    """Plays trouble of stage targets, and counts the pieces that arrive again.

    Parameters
    ----------
    rejected_share, failed_share : float
        Shares of the stage calls that are rejected, or answered with an error.
    kill_interval_s : float or None
        Interval at which a gateway is killed and started again.
    """

    def __init__(
        self,
        folder,
        seed,
        rejected_share=0.0,
        failed_share=0.0,
        kill_interval_s=None,
        trouble_s=12.0,
        n_gateways=3,
    ):
        self.rng = random.Random(seed)
        self.rejected_share = rejected_share
        self.failed_share = failed_share
        self.kill_interval_s = kill_interval_s
        self.trouble_s = trouble_s
        self.platform = Platform()
        bounds = {
            "retryBudgetRatio": RETRY_SHARE,
            "budgetWindowS": WINDOW_S,
            "budgetExtra": RETRY_EXTRA,
        }
        self.gateways = [
            GatewayProcess(folder, n, self.platform.store.address, **bounds)
            for n in range(n_gateways)
        ]
        self.sent_at = []
        self.statuses = Counter()
        self.statuses_in_trouble = Counter()
        self._trouble_from = float("inf")
        self._ids = itertools.count(1)
        self._is_over = asyncio.Event()

    async def play(self):
        """Play a calm time, then the trouble."""
        async with (
            running(self.platform, self.gateways) as tasks,
            httpx.AsyncClient(trust_env=False, timeout=10.0) as client,
        ):
            for service in ("model", *STAGE_SERVICES):
                for number in range(2):
                    await self.platform.add_target(f"{service}-{number}", service)
            self.platform.configure(1)
            for gateway in self.gateways:
                gateway.start()
            await until_all_ready(self.gateways, client)
            tasks += [asyncio.create_task(self._call(client)) for _ in range(N_CALLERS)]
            await asyncio.sleep(CALM_S)
            await self._trouble(client)
            self._is_over.set()
            await asyncio.gather(*tasks)

    async def _trouble(self, client):
        loop = asyncio.get_running_loop()
        self._trouble_from = loop.time()
        for target in self.platform.targets_by_name.values():
            if target.service in STAGE_SERVICES:
                target.rejected_share = self.rejected_share
                target.failed_share = self.failed_share
        ends_at = loop.time() + self.trouble_s
        while loop.time() < ends_at:
            if self.kill_interval_s is None:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self.kill_interval_s)
            gateway = self.rng.choice(self.gateways)
            gateway.kill()
            gateway.start()
            await until_all_ready(self.gateways, client)

    async def _call(self, client):
        loop = asyncio.get_running_loop()
        while not self._is_over.is_set():
            headers = {
                "Host": "h.example",
                "Attempt-Id": f"{next(self._ids):016x}",
                "Deadline-Ms": "3000",
                "Credential": "key",
                "X-Kind": "stream",
                "Pieces": "3,2,1",
                "Piece-Key": "k",
            }
            sent_at = loop.time()
            self.sent_at.append(sent_at)
            gateway = self.rng.choice(self.gateways)
            try:
                url = f"http://{gateway.front}/model/x"
                answer = await client.post(url, headers=headers, content=b"body")
                status = answer.status_code
            except httpx.HTTPError:
                status = 0
            is_in_trouble = sent_at >= self._trouble_from
            (self.statuses_in_trouble if is_in_trouble else self.statuses)[status] += 1
            await asyncio.sleep(self.rng.uniform(0.3, 0.7))

    def worst_excess(self, service):
        """Return the repeats of a stage pool beyond the limit in the worst window."""
        arrivals = self.platform.records.pieces_by_service.get(service, ())
        _, repeated_at = first_and_repeated(arrivals)
        return worst_excess(
            repeated_at, self.sent_at, RETRY_SHARE, RETRY_EXTRA, WINDOW_S
        )

    def violations(self):
        """Return the stage pools with repeats beyond the limit."""
        return [
            f"{each}: {self.worst_excess(each):.1f} pieces beyond the limit"
            for each in STAGE_SERVICES
            if self.worst_excess(each) > 0
        ]

    def summary(self):
        """Return statuses, and the worst excess of each stage pool."""
        return {
            "statuses": dict(self.statuses),
            "statuses_in_trouble": dict(self.statuses_in_trouble),
            **{name: round(self.worst_excess(name), 1) for name in STAGE_SERVICES},
        }
