"""Shares the origins of streams among daemons, and finds the origin of one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import StreamOriginSought
from aspendrift_gateway.list_confirmation import ListConfirmation
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import AttemptId, DaemonId, PoolName, SoftwareVersion
from aspendrift_model.opaque_requests import OpaqueRequest
from aspendrift_model.routes import Route
from aspendrift_model.wire_work import (
    OriginAnswer,
    OriginMessage,
    OriginQuery,
    StreamBegan,
)
from aspendrift_policy.stream_origins import (
    N_HOLDERS,
    N_QUERIED,
    OriginInquiry,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
    holders,
)

__all__ = ["ORIGIN_TOPIC", "OriginExchange"]

ORIGIN_TOPIC: Final = "o"

# A few round trips between the zones of a region.
_ANSWER_TIMEOUT_S: Final = 0.15
# A target whose entry is gone may go on with its streams for this long.
_HIDDEN_SERVICE_S: Final = 5.0
_MS_PER_S: Final = 1000.0


@dataclass(frozen=True, slots=True)
class _OpenInquiry:
    inquiry: OriginInquiry
    settled: asyncio.Event


class OriginExchange:
    """Sends origins to their holders, and asks these for the origin of a stream."""

    def __init__(
        self, link: PeerLink, state: SystemState, clock: Clock, events: EventHub
    ) -> None:
        self._link = link
        self._state = state
        self._clock = clock
        self._events = events
        self._list = ListConfirmation(state, clock)
        self._origins = StreamOrigins()
        self._open_by_number: dict[int, _OpenInquiry] = {}
        self._last_number = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[OriginMessage] = PeerDecoder(
            OriginMessage, ORIGIN_TOPIC, events
        )
        link.subscribe(ORIGIN_TOPIC, self._on_message)

    @property
    def n_held(self) -> int:
        """Number of origins that this daemon holds."""
        return len(self._origins)

    def began(self, attempt_id: AttemptId, software: SoftwareVersion) -> None:
        """Hold the origin of a stream, and send it to its other holders.

        Call it before the first event is sent to the caller.
        """
        if not attempt_id:
            return
        self._origins.record(attempt_id, software, self._clock.monotonic())
        self._send(
            self._peers(attempt_id, N_HOLDERS), StreamBegan(attempt_id, software)
        )

    async def find(
        self, request: OpaqueRequest, route: Route, pool: PoolName
    ) -> StreamOrigin:
        """Return the origin of the stream that a caller takes up."""
        asked_at = self._clock.monotonic()
        window_s = route.timeout_s + _HIDDEN_SERVICE_S
        attempt_id = request.resumes
        peers: list[DaemonId] = []
        held = (
            None if attempt_id is None else self._origins.software(attempt_id, asked_at)
        )
        if held is not None:
            origin = StreamOrigin(held, OriginSource.OWN)
        else:
            if attempt_id is not None:
                peers = self._peers(attempt_id, N_QUERIED)
            inquiry = await self._ask(attempt_id, pool, window_s, peers)
            origin = await self._conclude(inquiry, pool, window_s, asked_at)
            if attempt_id is not None and origin.software is not None:
                self.began(attempt_id, origin.software)
        self._events.emit(
            StreamOriginSought(
                request.attempt_id,
                attempt_id or "",
                pool,
                origin.software or "",
                origin.source,
                len(peers),
                self._clock.monotonic() - asked_at,
            )
        )
        return origin

    async def _ask(
        self,
        attempt_id: AttemptId | None,
        pool: PoolName,
        window_s: float,
        peers: list[DaemonId],
    ) -> OriginInquiry:
        """Ask the holders; wait until one knows the origin or all have answered."""
        inquiry = OriginInquiry(len(peers))
        if attempt_id is None or inquiry.is_settled:
            return inquiry
        self._last_number += 1
        number = self._last_number
        settled = asyncio.Event()
        self._open_by_number[number] = _OpenInquiry(inquiry, settled)
        window_ms = int(window_s * _MS_PER_S)
        self._send(peers, OriginQuery(number, attempt_id, pool, window_ms))
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await settled.wait()
        except TimeoutError:
            pass
        finally:
            del self._open_by_number[number]
        return inquiry

    async def _conclude(
        self,
        inquiry: OriginInquiry,
        pool: PoolName,
        window_s: float,
        asked_at: float,
    ) -> StreamOrigin:
        """Return the origin that a holder knew, or the sole version of the pool.

        For the latter, the list of targets must be current as of the request: targets
        of another version may have joined while this daemon was cut off or stood still.
        """
        found = inquiry.result(self._history(pool, window_s))
        if found.source is not OriginSource.HISTORY:
            return found
        if not await self._list.is_confirmed(asked_at):
            return StreamOrigin(None, OriginSource.UNKNOWN)
        return inquiry.result(self._history(pool, window_s))

    def _history(self, pool: PoolName, window_s: float) -> VersionHistory:
        now = self._clock.monotonic()
        return self._state.registry.version_history(pool, now, window_s)

    def _peers(self, attempt_id: AttemptId, n_holders: int) -> list[DaemonId]:
        own_id = self._link.host.daemon_id
        member_ids = (host.daemon_id for host, _ in self._link.members())
        return [
            each
            for each in holders(attempt_id, member_ids, n_holders)
            if each != own_id
        ]

    def _send(self, daemon_ids: list[DaemonId], message: OriginMessage) -> None:
        self._link.send_each(daemon_ids, ORIGIN_TOPIC, self._encoder.encode(message))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, StreamBegan):
            software = SoftwareVersion(message.software)
            self._origins.record(AttemptId(message.attempt_id), software, now)
        elif isinstance(message, OriginQuery):
            self._on_query(origin, message, now)
        else:
            self._on_answer(message)

    def _on_query(self, origin: DaemonId, query: OriginQuery, now: float) -> None:
        software = self._origins.software(AttemptId(query.attempt_id), now)
        history = self._state.registry.version_history(
            PoolName(query.pool), now, query.window_ms / _MS_PER_S
        )
        answer = OriginAnswer(
            query.number,
            software,
            tuple(sorted(history.versions)),
            history.is_complete,
        )
        self._send([origin], answer)

    def _on_answer(self, answer: OriginAnswer) -> None:
        opened = self._open_by_number.get(answer.number)
        if opened is None:
            return
        versions = frozenset(SoftwareVersion(each) for each in answer.versions)
        opened.inquiry.answered(
            None if answer.software is None else SoftwareVersion(answer.software),
            VersionHistory(versions, answer.is_complete),
        )
        if opened.inquiry.is_settled:
            opened.settled.set()
