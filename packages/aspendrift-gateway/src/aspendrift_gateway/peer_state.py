"""Shares the state read from the store among daemons.

A daemon that can't read the store pulls the state from a peer that can, so that
operators' changes and leaving targets are known everywhere as long as one daemon
reads them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

import msgspec

from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import RevisionDigest
from aspendrift_model.wire_work import (
    CrashReport,
    StateMessage,
    StatePull,
    StateSnapshot,
)

__all__ = ["STATE_TOPIC", "PeerState"]

STATE_TOPIC: Final = "g"

_MS_PER_S: Final = 1000.0
_CHECK_INTERVAL_S: Final = 0.25
# The store is read every second; state that is older than this is stale.
_STALE_AFTER_S: Final = 1.4
# Minimum interval between pulls; short, so that a lost answer is pulled again soon.
_MIN_PULL_INTERVAL_S: Final = 0.4
_UNKNOWN_AGE_MS: Final = 1 << 30


class PeerState:
    """Pulls missing state from peers and answers their pulls.

    Provides the digest that membership probes carry.

    Parameters
    ----------
    is_ready : callable
        Returns whether this daemon accepts requests.
    on_crash : callable
        Called with reports of peers on targets that broke while running a request.
    """

    def __init__(
        self,
        link: PeerLink,
        state: SystemState,
        clock: Clock,
        rng: random.Random,
        is_ready: Callable[[], bool],
        on_crash: Callable[[CrashReport], None],
    ) -> None:
        self._link = link
        self._state = state
        self._clock = clock
        self._rng = rng
        self._is_ready = is_ready
        self._on_crash = on_crash
        self._pulled_at = float("-inf")
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(StateMessage)
        self._task: asyncio.Task[None] | None = None
        link.subscribe(STATE_TOPIC, self._on_message)

    async def start(self) -> None:
        """Start the task that pulls from peers while the state is stale."""
        self._task = asyncio.create_task(self._pull_forever())

    async def stop(self) -> None:
        """Stop pulling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def broadcast_crash(self, report: CrashReport) -> None:
        """Notify every daemon that a target broke while it ran a request."""
        self._link.broadcast(STATE_TOPIC, self._encoder.encode(report))

    # State that membership probes carry.

    def digest(self, now: float, is_answer: bool) -> RevisionDigest:
        """Return the versions that this daemon holds, and the age of its state."""
        state = self._state
        return RevisionDigest(
            max(0, state.configuration_version),
            0,
            max(0, state.targets_version),
            _age_ms(state.confirmed_at(), now),
        )

    def needs_refresh(self, now: float) -> bool:
        """Return False: pulls are separate messages and need no extra probes."""
        return False

    def apply_digest(
        self,
        daemon_id: DaemonId,
        digest: RevisionDigest,
        as_of: float | None,
        views_agree: bool,
        now: float,
    ) -> None:
        """Pull from a peer that holds a newer configuration."""
        if digest.revision > self._state.configuration_version:
            self._pull(daemon_id, now)

    def is_serving(self, now: float) -> bool:
        """Return whether this daemon accepts requests."""
        return self._is_ready()

    async def _pull_forever(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            if now - self._state.confirmed_at() > _STALE_AFTER_S:
                self._pull_from_any(now)

    def _pull_from_any(self, now: float) -> None:
        peers = [
            host.daemon_id
            for host, state in self._link.members()
            if state is MemberState.LIVE and host.daemon_id != self._link.host.daemon_id
        ]
        if peers:
            self._pull(self._rng.choice(peers), now)

    def _pull(self, daemon_id: DaemonId, now: float) -> None:
        if now - self._pulled_at < _MIN_PULL_INTERVAL_S:
            return
        self._pulled_at = now
        state = self._state
        message = StatePull(state.configuration_version, state.targets_version)
        self._send(daemon_id, message)

    def _send(self, daemon_id: DaemonId, message: StateMessage) -> None:
        self._link.send(daemon_id, STATE_TOPIC, self._encoder.encode(message))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        try:
            message = self._decoder.decode(payload)
        except DECODE_ERRORS:
            return
        now = self._clock.monotonic()
        if isinstance(message, StatePull):
            self._send(origin, self._snapshot(message, now))
        elif isinstance(message, StateSnapshot):
            self._apply(message, now)
        else:
            self._on_crash(message)

    def _snapshot(self, pull: StatePull, now: float) -> StateSnapshot:
        state = self._state
        is_newer = state.configuration_version > pull.configuration_version
        has_targets = state.targets_version > pull.targets_version
        return StateSnapshot(
            state.configuration_version,
            _age_ms(state.configuration_confirmed_at, now),
            state.configuration_value if is_newer else b"",
            state.targets_version,
            _age_ms(state.targets_confirmed_at, now),
            tuple(state.target_values_by_key.items()) if has_targets else (),
        )

    def _apply(self, snapshot: StateSnapshot, now: float) -> None:
        state = self._state
        if snapshot.configuration:
            state.apply_configuration(snapshot.configuration, "peer")
        if snapshot.configuration_version == state.configuration_version >= 0:
            at = now - snapshot.configuration_age_ms / _MS_PER_S
            state.configuration_confirmed_at = max(state.configuration_confirmed_at, at)
        if snapshot.targets and snapshot.targets_version > state.targets_version:
            state.replace_targets(snapshot.targets, snapshot.targets_version, now)
        if snapshot.targets_version == state.targets_version >= 0:
            at = now - snapshot.targets_age_ms / _MS_PER_S
            state.targets_confirmed_at = max(state.targets_confirmed_at, at)


def _age_ms(at: float, now: float) -> int:
    return int(min((now - at) * _MS_PER_S, _UNKNOWN_AGE_MS))
