"""Counts the attempts in flight on a target across all daemons."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final

import msgspec

from aspendrift_daemon.interfaces import PeerBus
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId, TargetId
from aspendrift_model.wire_operator import InFlightBody
from aspendrift_model.wire_peer import InFlightCount, InFlightMessage, InFlightQuery

__all__ = ["TargetSurvey"]

IN_FLIGHT_TOPIC: Final = "f"
_REPLY_TIMEOUT_S: Final = 1.0


class _Survey:
    """Replies to one query, and the daemons that have not replied."""

    def __init__(self, counts: dict[str, int], queried: set[str]) -> None:
        self.counts = counts
        self._queried = queried
        self._complete = asyncio.Event()

    @property
    def unanswered(self) -> list[str]:
        return sorted(self._queried - self.counts.keys())

    def add(self, daemon_id: str, count: int) -> None:
        self.counts[daemon_id] = count
        if not self.unanswered:
            self._complete.set()

    async def wait(self) -> None:
        if not self.unanswered:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                await self._complete.wait()


class TargetSurvey:
    """Queries every known daemon for its attempts in flight on a target.

    Parameters
    ----------
    count : callable
        Returns the number of attempts of this daemon in flight on a target.
    """

    def __init__(
        self,
        bus: PeerBus,
        daemon_id: DaemonId,
        count: Callable[[TargetId], int],
    ) -> None:
        self._bus = bus
        self._daemon_id = daemon_id
        self._count = count
        self._sequence = 0
        self._surveys_by_sequence: dict[int, _Survey] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(InFlightMessage)
        bus.subscribe(IN_FLIGHT_TOPIC, self._on_message)

    async def in_flight(self, target_id: TargetId) -> InFlightBody:
        """Return the count of each daemon, and the daemons that did not reply."""
        self._sequence += 1
        sequence = self._sequence
        queried = {str(host.daemon_id) for host, _ in self._bus.members()}
        survey = _Survey({str(self._daemon_id): self._count(target_id)}, queried)
        self._surveys_by_sequence[sequence] = survey
        query = self._encoder.encode(InFlightQuery(sequence, target_id))
        for daemon_id in survey.unanswered:
            self._bus.send(DaemonId(daemon_id), IN_FLIGHT_TOPIC, query)
        try:
            await survey.wait()
        finally:
            del self._surveys_by_sequence[sequence]
        return InFlightBody(target_id, survey.counts, tuple(survey.unanswered))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        try:
            message = self._decoder.decode(payload)
        except DECODE_ERRORS:
            return
        if isinstance(message, InFlightQuery):
            count = self._count(TargetId(message.target_id))
            reply = self._encoder.encode(InFlightCount(message.sequence, count))
            self._bus.send(origin, IN_FLIGHT_TOPIC, reply)
        elif message.sequence in self._surveys_by_sequence:
            self._surveys_by_sequence[message.sequence].add(origin, message.count)
