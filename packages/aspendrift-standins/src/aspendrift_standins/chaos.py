"""Random failures of a fleet: a seeded schedule and the runner that injects it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import httpx

from aspendrift_standins.errors import FleetError
from aspendrift_standins.fleet import Fleet

__all__ = ["ChaosEvent", "ChaosKind", "ChaosPlan", "ChaosRunner", "chaos_events"]


class ChaosKind(Enum):
    """Kind of an injected failure."""

    DAEMON_KILLED = "daemon_killed"
    DAEMON_PAUSED = "daemon_paused"
    DAEMON_LEAVES = "daemon_leaves"
    STORE_DOWN = "store_down"
    STORE_REFUSES = "store_refuses"
    STORE_SLOW = "store_slow"
    STORE_ANSWER_LOST = "store_answer_lost"
    STORE_LATE_EFFECT = "store_late_effect"
    TARGET_KILLED = "target_killed"
    TARGET_PAUSED = "target_paused"
    TARGET_SLOW = "target_slow"
    TARGET_FAILS = "target_fails"
    TARGET_CUTS = "target_cuts"
    TARGET_ANSWERS_TWICE = "target_answers_twice"
    TARGET_ANSWERS_FOREIGN = "target_answers_foreign"
    TARGET_ANSWERS_LATE = "target_answers_late"


_LEAVE_TIMEOUT_S: Final = 30.0
_PORT_REOPEN_S: Final = 1.0
_DAEMON_KINDS: Final = (
    ChaosKind.DAEMON_KILLED,
    ChaosKind.DAEMON_PAUSED,
    ChaosKind.DAEMON_LEAVES,
)
_FAULTS_BY_KIND: Final[dict[ChaosKind, dict[str, float]]] = {
    ChaosKind.STORE_DOWN: {"down_share": 1.0},
    ChaosKind.STORE_SLOW: {"slow_share": 0.5, "slow_s": 0.4},
    ChaosKind.STORE_ANSWER_LOST: {"answer_lost_share": 0.3},
    ChaosKind.STORE_LATE_EFFECT: {"late_effect_share": 0.2, "late_effect_s": 0.7},
    ChaosKind.TARGET_SLOW: {"slow_factor": 5.0},
    ChaosKind.TARGET_FAILS: {"fail_share": 0.3, "reject_share": 0.3},
    ChaosKind.TARGET_CUTS: {"drop_share": 0.3},
    ChaosKind.TARGET_ANSWERS_TWICE: {"twice_share": 0.3},
    ChaosKind.TARGET_ANSWERS_FOREIGN: {"foreign_share": 0.3},
    ChaosKind.TARGET_ANSWERS_LATE: {"late_share": 0.1},
}


@dataclass(frozen=True, slots=True)
class ChaosPlan:
    """Parameters of a random schedule.

    Parameters
    ----------
    duration_s : float
        Period in which failures begin, in seconds.
    mean_gap_s : float
        Mean time between the starts of two failures, in seconds.
    max_daemons_out : int
        Maximum number of daemons that fail at the same time.
    min_s, max_s : float
        Minimum and maximum length of a failure, in seconds.
    """

    seed: int
    duration_s: float
    mean_gap_s: float
    daemon_ids: tuple[str, ...]
    store: str
    targets: tuple[str, ...]
    max_daemons_out: int = 2
    min_s: float = 1.0
    max_s: float = 8.0


@dataclass(frozen=True, slots=True)
class ChaosEvent:
    """One failure of one process; times in seconds from the start of the schedule."""

    at_s: float
    kind: ChaosKind
    name: str
    length_s: float

    @property
    def ends_s(self) -> float:
        """When the failure ends."""
        return self.at_s + self.length_s


def chaos_events(plan: ChaosPlan) -> list[ChaosEvent]:
    """Return a random schedule in which the failures of a process never overlap."""
    rng = random.Random(plan.seed)
    events: list[ChaosEvent] = []
    at_s = rng.expovariate(1 / plan.mean_gap_s)
    while at_s < plan.duration_s:
        kind = rng.choice(list(ChaosKind))
        name = _choose_process(kind, plan, rng)
        event = ChaosEvent(at_s, kind, name, rng.uniform(plan.min_s, plan.max_s))
        if _is_allowed(event, events, plan):
            events.append(event)
        at_s += rng.expovariate(1 / plan.mean_gap_s)
    return events


def _choose_process(kind: ChaosKind, plan: ChaosPlan, rng: random.Random) -> str:
    if kind in _DAEMON_KINDS:
        return rng.choice(plan.daemon_ids)
    is_store = kind.value.startswith("store")
    return plan.store if is_store else rng.choice(plan.targets)


def _is_allowed(
    event: ChaosEvent, earlier: Iterable[ChaosEvent], plan: ChaosPlan
) -> bool:
    concurrent = [other for other in earlier if other.ends_s >= event.at_s]
    if any(other.name == event.name for other in concurrent):
        return False
    n_daemons_out = sum(other.kind in _DAEMON_KINDS for other in concurrent)
    return event.kind not in _DAEMON_KINDS or n_daemons_out < plan.max_daemons_out


class ChaosRunner:
    """Injects the failures of a schedule into a fleet and reverts each.

    A failure of a process that has not yet recovered from the previous one, such
    as a daemon that takes long to leave, is skipped.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._failing: set[str] = set()
        self.completed: list[ChaosEvent] = []
        self.errors: list[str] = []

    async def run(self, events: Sequence[ChaosEvent]) -> None:
        """Run a schedule; return once every failure has been reverted."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for event in events:
                delay_s = started_at + event.at_s - time.monotonic()
                await asyncio.sleep(max(0.0, delay_s))
                tasks.create_task(self._run_event(event))

    async def _run_event(self, event: ChaosEvent) -> None:
        if event.name in self._failing:
            return
        self._failing.add(event.name)
        try:
            await self._inject(event)
            await asyncio.sleep(event.length_s)
            await self._revert(event)
            self.completed.append(event)
        except (FleetError, httpx.HTTPError) as error:
            self.errors.append(f"{event.kind.value} {event.name}: {error!r}")
        finally:
            self._failing.discard(event.name)

    async def _inject(self, event: ChaosEvent) -> None:
        fleet = self._fleet
        match event.kind:
            case ChaosKind.DAEMON_KILLED | ChaosKind.TARGET_KILLED:
                fleet.kill(event.name)
            case ChaosKind.DAEMON_PAUSED | ChaosKind.TARGET_PAUSED:
                fleet.pause(event.name)
            case ChaosKind.DAEMON_LEAVES:
                fleet.terminate(event.name)
            case ChaosKind.STORE_REFUSES:
                await fleet.switch_faults(event.name, refuse_s=event.length_s)
            case _:
                fields: dict[str, Any] = dict(_FAULTS_BY_KIND[event.kind])
                await fleet.switch_faults(event.name, **fields)

    async def _revert(self, event: ChaosEvent) -> None:
        fleet = self._fleet
        match event.kind:
            case ChaosKind.DAEMON_KILLED | ChaosKind.TARGET_KILLED:
                await fleet.child(event.name).wait_ended(None)
                await fleet.restart(event.name)
            case ChaosKind.DAEMON_PAUSED | ChaosKind.TARGET_PAUSED:
                fleet.resume(event.name)
            case ChaosKind.DAEMON_LEAVES:
                await fleet.child(event.name).wait_ended(_LEAVE_TIMEOUT_S)
                fleet.kill(event.name)
                await fleet.child(event.name).wait_ended(None)
                await fleet.restart(event.name)
            case ChaosKind.STORE_REFUSES:
                await asyncio.sleep(_PORT_REOPEN_S)
            case _:
                fields: dict[str, Any] = {
                    name: 1.0 if name == "slow_factor" else 0.0
                    for name in _FAULTS_BY_KIND[event.kind]
                }
                await fleet.switch_faults(event.name, **fields)
