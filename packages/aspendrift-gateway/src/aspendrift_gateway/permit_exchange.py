"""Exchanges the permits with which all daemons together keep the limits of targets.

What is limited and when permits are issued is decided in
`aspendrift_policy.target_rates`. A request to a limited target needs a permit of the
target's owner. A target without a limit takes no step here.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import (
    PermitDenial,
    PermitRefused,
    TargetBacksOff,
    TargetLimited,
)
from aspendrift_gateway.interfaces import AnswerHead
from aspendrift_gateway.settings import GatewaySettings
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import DaemonId, PoolName, TargetId, ZoneName
from aspendrift_model.routes import ColdLimit
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_model.wire_work import (
    PermitGrant,
    PermitMessage,
    PermitQuery,
    PermitRefusal,
    PermitReturn,
)
from aspendrift_policy.target_rates import (
    MAX_AHEAD_S,
    IssuedPermit,
    LimitedTargets,
    RateLimit,
    RateOwner,
    cold_limit,
    owner_of,
)
from aspendrift_policy.target_registry import RegistryChange, RegistryChangeKind

__all__ = [
    "PERMIT_TOPIC",
    "Permit",
    "PermitExchange",
    "PermitOutcome",
    "PermitRefusedUntil",
    "Restrictions",
]

PERMIT_TOPIC: Final = "r"

_STEP_INTERVAL_S: Final = 0.1
# The latency between daemons is a few milliseconds.
_ANSWER_TIMEOUT_S: Final = 0.05
# An owner that didn't answer isn't asked again for this long; its successor starts
# about a second after it.
_SILENT_OWNER_S: Final = 0.5
# Views of the members differ for about this long, so that a daemon that says that it
# isn't the owner is soon asked again, or not any more.
_MAX_OTHER_OWNER_S: Final = 1.0
# A denial or back-off of one target is logged at most at this interval.
_LOG_INTERVAL_S: Final = 1.0
# Interval of the check which targets are limited, for the log: it visits each target.
_CHECK_INTERVAL_S: Final = 0.5
# Limits of pools that are kept, over changes of the configuration.
_MAX_COLD_LIMITS: Final = 64
_MS_PER_S: Final = 1000.0
_US_PER_S: Final = 1e6
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_NEVER: Final = float("-inf")
_ENDED: Final = frozenset({RegistryChangeKind.GONE, RegistryChangeKind.RESTARTED})


@dataclass(frozen=True, slots=True)
class Permit:
    """Permit to send one request until a time; ``owner`` is None if none is needed."""

    until: float = math.inf
    owner: DaemonId | None = None
    number: int = 0


@dataclass(frozen=True, slots=True)
class PermitRefusedUntil:
    """No permit before the time ``retry_at``."""

    retry_at: float
    reason: PermitDenial


PermitOutcome: TypeAlias = Permit | PermitRefusedUntil


@dataclass(frozen=True, slots=True)
class Restrictions:
    """Targets of a pool that need a permit, and until when some back off."""

    limited: frozenset[TargetId]
    backoff_until_by_id: dict[TargetId, float]


@dataclass(slots=True)
class _OpenQuery:
    owner: DaemonId
    answered: asyncio.Future[PermitGrant | PermitRefusal]


class PermitExchange:
    """Gets permits from the owners of targets, and issues those of its own targets.

    Parameters
    ----------
    returned_at : callable
        Returns when a zone came back from an evacuation, None if it never did.
    owners : callable or None
        Returns the daemons that may own permits; by default the live members.
    """

    def __init__(
        self,
        link: PeerLink,
        state: SystemState,
        settings: Callable[[], GatewaySettings],
        clock: Clock,
        events: EventHub,
        returned_at: Callable[[ZoneName], float | None] = lambda zone: None,
        owners: Callable[[], Collection[DaemonId]] | None = None,
    ) -> None:
        self._link = link
        self._state = state
        self._settings = settings
        self._clock = clock
        self._events = events
        self._returned_at = returned_at
        self._owners = owners or link.live_ids
        self.rates = RateOwner(link.host.daemon_id, clock.monotonic())
        self.targets = LimitedTargets()
        self._cold_by_spec: dict[tuple[ColdLimit, float, float], RateLimit] = {}
        self._open_by_number: dict[int, _OpenQuery] = {}
        self._last_number = 0
        self._refused_by_key: dict[TargetKey, PermitRefusedUntil] = {}
        self._logged_at_by_key: dict[TargetKey, float] = {}
        self._backoff_logged_at_by_key: dict[TargetKey, float] = {}
        self._limits_checked_at = _NEVER
        self._silent_until_by_owner: dict[DaemonId, float] = {}
        self._limited_keys: frozenset[TargetKey] = frozenset()
        self._task: asyncio.Task[None] | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[PermitMessage] = PeerDecoder(
            PermitMessage, PERMIT_TOPIC, events
        )
        link.subscribe(PERMIT_TOPIC, self._on_message)
        state.on_change(self._on_state_change)

    @property
    def n_limited(self) -> int:
        """Number of targets that need permits, as of the last step."""
        return len(self._limited_keys)

    async def start(self) -> None:
        """Start following the members and the limits."""
        self.step(self._clock.monotonic())
        self._task = asyncio.create_task(self._step_forever())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def record_answer(self, key: TargetKey, status: int, head: AnswerHead) -> None:
        """Apply what the head of an answer says on the limits of its target."""
        if status == _MISDIRECTED:
            return
        now = self._clock.monotonic()
        # A limit that can't be decoded is still one, so the last one stays.
        if head.requests_per_s is not None or not head.unreadable:
            self.targets.apply_stated(key, head.requests_per_s)
        retry_after_s = head.retry_after_s
        if status == _UNAVAILABLE and retry_after_s is not None:
            is_new = self.targets.back_off(key, retry_after_s, now)
            logged_at = self._backoff_logged_at_by_key.get(key, _NEVER)
            if is_new and now - logged_at >= _LOG_INTERVAL_S:
                self._backoff_logged_at_by_key[key] = now
                self._events.emit(TargetBacksOff(key.target_id, retry_after_s))

    def restrictions(
        self, pool: PoolName, entries: Sequence[TargetEntry], now: float
    ) -> Restrictions | None:
        """Return the restricted targets of a pool, None if there are none."""
        if self.targets.is_empty and self._cold_limit(pool) is None:
            return None
        limited = frozenset(
            each.key.target_id for each in entries if self.limit(each, now) is not None
        )
        backoffs: dict[TargetId, float] = {}
        for each in entries:
            until = self.targets.backoff_until(each.key, now)
            if until is not None:
                backoffs[each.key.target_id] = until
        return Restrictions(limited, backoffs) if limited or backoffs else None

    def limit(self, entry: TargetEntry, now: float) -> RateLimit | None:
        """Return the limit of a target, None if it has none."""
        cold = self._cold_limit(entry.pool)
        cold_until = _NEVER if cold is None else self._cold_until(entry)
        return self.targets.limit(entry, cold, cold_until, now)

    def is_restricted(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a request to a target needs :meth:`acquire`."""
        if self.targets.is_empty and self._cold_limit(entry.pool) is None:
            return False
        is_backed_off = self.targets.backoff_until(entry.key, now) is not None
        return is_backed_off or self.limit(entry, now) is not None

    def sendable_at(self, entry: TargetEntry, now: float) -> float:
        """Return when a target may next be sent a request, now if it may be."""
        until = self.targets.backoff_until(entry.key, now)
        if until is not None:
            return until
        refused = self._refused_by_key.get(entry.key)
        if refused is None or self.limit(entry, now) is None:
            return now
        return max(now, refused.retry_at)

    async def acquire(
        self, entry: TargetEntry, now: float, max_wait_s: float = 0.0
    ) -> PermitOutcome:
        """Return a permit for a request to a target, at the time to use it.

        Parameters
        ----------
        max_wait_s : float
            How long to wait for the date of a permit at most, in seconds; owners date
            none further ahead than ``MAX_AHEAD_S``.
        """
        max_wait_s = min(max_wait_s, MAX_AHEAD_S)
        backoff_until = self.targets.backoff_until(entry.key, now)
        if backoff_until is not None:
            return PermitRefusedUntil(backoff_until, PermitDenial.BACKS_OFF)
        limit = self.limit(entry, now)
        if limit is None:
            return Permit()
        refused = self._refused_by_key.get(entry.key)
        if refused is not None and refused.retry_at > now + max_wait_s:
            return refused
        outcome = await self._ask(entry.key, limit, max_wait_s, now)
        if isinstance(outcome, Permit):
            # The target may have said meanwhile that it wants nothing.
            backoff_until = self.targets.backoff_until(
                entry.key, self._clock.monotonic()
            )
            if backoff_until is not None:
                self.release(outcome)
                return PermitRefusedUntil(backoff_until, PermitDenial.BACKS_OFF)
        if isinstance(outcome, PermitRefusedUntil):
            self._record_refusal(entry, outcome, now)
        else:
            self._refused_by_key.pop(entry.key, None)
        return outcome

    def release(self, permit: Permit) -> None:
        """Return a permit that wasn't used to its owner."""
        if permit.owner is None:
            return
        if permit.owner == self._link.host.daemon_id:
            self.rates.take_back(permit.number, self._clock.monotonic())
        else:
            self._send(permit.owner, PermitReturn(permit.number))

    def step(self, now: float) -> None:
        """Apply the present members; log targets whose limit begins or ends."""
        members = self._link.members()
        n_live = len(self._link.live_ids())
        self.rates.step(self._owners(), n_live, len(members), now)
        if now - self._limits_checked_at >= _CHECK_INTERVAL_S:
            self._limits_checked_at = now
            self._log_limited(now)

    async def _step_forever(self) -> None:
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            self.step(self._clock.monotonic())

    def _cold_limit(self, pool: PoolName) -> RateLimit | None:
        table = self._state.table
        spec = None if table is None else table.configuration.pools_by_name.get(pool)
        if spec is None or spec.cold is None:
            return None
        settings = self._settings()
        key = (spec.cold, settings.cold_overrun, settings.cold_slack)
        found = self._cold_by_spec.get(key)
        if found is None:
            if len(self._cold_by_spec) >= _MAX_COLD_LIMITS:
                self._cold_by_spec.clear()
            found = self._cold_by_spec[key] = cold_limit(*key)
        return found

    def _cold_until(self, entry: TargetEntry) -> float:
        """Return until when a target is cold, if its pool has cold targets."""
        table = self._state.table
        assert table is not None
        cold = table.configuration.pools_by_name[entry.pool].cold
        times = self._state.registry.entry_times(entry.key)
        if cold is None or times is None:
            return math.inf
        returned_at = self._returned_at(entry.zone)
        return max(
            times.received_at + entry.cold_left_s,
            times.appeared_at + cold.cold_s,
            _NEVER if returned_at is None else returned_at + cold.cold_s,
        )

    async def _ask(
        self, key: TargetKey, limit: RateLimit, max_wait_s: float, now: float
    ) -> PermitOutcome:
        owner = owner_of(key, self._owners())
        if owner is None:
            return PermitRefusedUntil(now + _SILENT_OWNER_S, PermitDenial.NO_OWNER)
        if owner == self._link.host.daemon_id:
            return await self._issue_to_self(owner, key, limit, max_wait_s, now)
        silent_until = self._silent_until_by_owner.get(owner, _NEVER)
        if silent_until > now:
            return PermitRefusedUntil(silent_until, PermitDenial.NO_ANSWER)
        answer = await self._query(owner, key, limit, max_wait_s)
        if answer is None:
            until = self._clock.monotonic() + _SILENT_OWNER_S
            self._silent_until_by_owner[owner] = until
            return PermitRefusedUntil(until, PermitDenial.NO_ANSWER)
        if isinstance(answer, PermitRefusal):
            retry_s = answer.retry_ms / _MS_PER_S
            return _refused(retry_s, answer.is_owner, self._clock.monotonic())
        wait_s, valid_s = answer.wait_ms / _MS_PER_S, answer.valid_ms / _MS_PER_S
        permit = Permit(now + wait_s + valid_s, owner, answer.permit)
        return await self._wait_until_usable(permit, wait_s)

    async def _issue_to_self(
        self,
        owner: DaemonId,
        key: TargetKey,
        limit: RateLimit,
        max_wait_s: float,
        now: float,
    ) -> PermitOutcome:
        found = self.rates.request(
            key, limit.interval_s, limit.window_s, max_wait_s, now
        )
        if not isinstance(found, IssuedPermit):
            return _refused(found.retry_s, found.is_owner, now)
        permit = Permit(now + found.wait_s + found.valid_s, owner, found.number)
        return await self._wait_until_usable(permit, found.wait_s)

    async def _wait_until_usable(self, permit: Permit, wait_s: float) -> PermitOutcome:
        if wait_s > 0.0:
            try:
                await asyncio.sleep(wait_s)
            except asyncio.CancelledError:
                self.release(permit)
                raise
        now = self._clock.monotonic()
        if now < permit.until:
            return permit
        self.release(permit)
        return PermitRefusedUntil(now, PermitDenial.EXPIRED)

    async def _query(
        self, owner: DaemonId, key: TargetKey, limit: RateLimit, max_wait_s: float
    ) -> PermitGrant | PermitRefusal | None:
        """Return the answer of an owner, None if there is none in time.

        A permit that arrives later is returned, see :meth:`_on_answer`.
        """
        self._last_number += 1
        number = self._last_number
        opened = _OpenQuery(owner, asyncio.get_running_loop().create_future())
        self._open_by_number[number] = opened
        query = PermitQuery(
            number,
            key.target_id,
            key.born_ms,
            math.ceil(limit.interval_s * _US_PER_S),
            math.ceil(limit.window_s * _MS_PER_S),
            int(max(0.0, max_wait_s) * _MS_PER_S),
        )
        self._send(owner, query)
        answer: PermitGrant | PermitRefusal | None = None
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                answer = await opened.answered
        except TimeoutError:
            pass
        finally:
            del self._open_by_number[number]
            if answer is None:
                self._release_unread(opened)
        return answer

    def _release_unread(self, opened: _OpenQuery) -> None:
        """Return a permit that arrived in the moment in which its query ended."""
        if opened.answered.done() and not opened.answered.cancelled():
            answer = opened.answered.result()
            if isinstance(answer, PermitGrant):
                self._send(opened.owner, PermitReturn(answer.permit))

    def _record_refusal(
        self, entry: TargetEntry, refused: PermitRefusedUntil, now: float
    ) -> None:
        self._refused_by_key[entry.key] = refused
        logged_at = self._logged_at_by_key.get(entry.key, _NEVER)
        if now - logged_at >= _LOG_INTERVAL_S:
            self._logged_at_by_key[entry.key] = now
            retry_s = max(0.0, refused.retry_at - now)
            self._events.emit(
                PermitRefused(entry.key.target_id, entry.pool, refused.reason, retry_s)
            )

    def _log_limited(self, now: float) -> None:
        """Log the targets that became limited, and those that no longer are."""
        limited: dict[TargetKey, tuple[PoolName, RateLimit]] = {}
        for entry in self._restrictable():
            limit = self.limit(entry, now)
            if limit is not None:
                limited[entry.key] = (entry.pool, limit)
        for key, (pool, limit) in limited.items():
            if key not in self._limited_keys:
                permits_per_s = 1.0 / limit.interval_s
                self._events.emit(
                    TargetLimited(key.target_id, pool, limit.kind.value, permits_per_s)
                )
        for key in self._limited_keys.difference(limited):
            self._events.emit(TargetLimited(key.target_id, "", "none", None))
            self._refused_by_key.pop(key, None)
            self._logged_at_by_key.pop(key, None)
        self._limited_keys = frozenset(limited)

    def _restrictable(self) -> Iterable[TargetEntry]:
        registry = self._state.registry
        table = self._state.table
        if table is None:
            return ()
        if self.targets.n_stated:
            return registry.all_usable()
        pools = table.configuration.pools_by_name.values()
        return [
            entry
            for spec in pools
            if spec.cold is not None
            for entry in registry.usable(spec.name)
        ]

    def _on_state_change(self, changes: list[RegistryChange]) -> None:
        listed = self._state.registry.entries_by_id
        if any(change.kind in _ENDED for change in changes):
            present = {entry.key for entry in listed.values()}
            self.targets.retain(present, self._clock.monotonic())
            for key in self._backoff_logged_at_by_key.keys() - present:
                del self._backoff_logged_at_by_key[key]

    def _send(self, daemon_id: DaemonId, message: PermitMessage) -> None:
        self._link.send(daemon_id, PERMIT_TOPIC, self._encoder.encode(message))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        message = self._decoder.decode(origin, payload, self._clock.monotonic())
        if message is None:
            return
        if isinstance(message, PermitQuery):
            self._on_query(origin, message)
        elif isinstance(message, PermitReturn):
            self.rates.take_back(message.permit, self._clock.monotonic())
        else:
            self._on_answer(origin, message)

    def _on_query(self, origin: DaemonId, query: PermitQuery) -> None:
        if query.interval_us <= 0 or query.window_ms <= 0:
            return
        found = self.rates.request(
            TargetKey(TargetId(query.target_id), query.born_ms),
            query.interval_us / _US_PER_S,
            query.window_ms / _MS_PER_S,
            query.max_wait_ms / _MS_PER_S,
            self._clock.monotonic(),
        )
        answer: PermitMessage
        if isinstance(found, IssuedPermit):
            wait_ms = math.ceil(found.wait_s * _MS_PER_S)
            # The wait is rounded up, so the time after it is rounded down by as much.
            valid_ms = int(found.valid_s * _MS_PER_S) - 1
            answer = PermitGrant(query.number, found.number, wait_ms, valid_ms)
        else:
            retry_ms = math.ceil(found.retry_s * _MS_PER_S)
            answer = PermitRefusal(query.number, retry_ms, found.is_owner)
        self._send(origin, answer)

    def _on_answer(self, origin: DaemonId, answer: PermitGrant | PermitRefusal) -> None:
        self._silent_until_by_owner.pop(origin, None)
        opened = self._open_by_number.get(answer.number)
        if opened is not None and opened.owner == origin and not opened.answered.done():
            opened.answered.set_result(answer)
        elif isinstance(answer, PermitGrant):
            self._send(origin, PermitReturn(answer.permit))


def _refused(retry_s: float, is_owner: bool, now: float) -> PermitRefusedUntil:
    if is_owner:
        return PermitRefusedUntil(now + retry_s, PermitDenial.NONE_LEFT)
    retry_s = min(retry_s, _MAX_OTHER_OWNER_S)
    return PermitRefusedUntil(now + retry_s, PermitDenial.NO_OWNER)
