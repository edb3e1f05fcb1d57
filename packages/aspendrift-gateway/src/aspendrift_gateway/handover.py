"""Hands requests over to another daemon while this one reaches no target.

The request goes to the address that the other daemon has for callers, as its caller
sent it, and the answer comes back as it arrives. So everything that holds between a
caller and a daemon holds here too: the deadline, the account, "not run", an answer
that is broken off, and a caller that leaves. A request is handed over once. A daemon
whose configuration is older than the one by which the request was admitted declines it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import httpx

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.attempts import Delivery, Served
from aspendrift_gateway.caller_answer import end_to_end_headers
from aspendrift_gateway.events import HandoverEnded, RequestHandedOver
from aspendrift_gateway.interfaces import CallerCodec, HttpCall
from aspendrift_gateway.link_exchange import LinkExchange
from aspendrift_gateway.refusals import Refusal
from aspendrift_gateway.target_client import (
    Answer,
    AnswerTooLarge,
    NotSent,
    TargetClient,
    is_foreign,
)
from aspendrift_model.hosts import Host
from aspendrift_model.ids import DaemonId, PoolName, SoftwareVersion, TargetId
from aspendrift_model.opaque_requests import HandedOver, Headers
from aspendrift_model.routes import RequestKind
from aspendrift_model.states import MemberState, RefusalReason
from aspendrift_model.target_entries import TargetEntry, TargetKey

__all__ = ["HANDED_OVER_HEADER", "Handover", "split_marker"]

HANDED_OVER_HEADER: Final = b"aspendrift-handed-over"

# Daemons that can't be reached take a connection timeout each, those that decline a
# round trip.
_MAX_UNREACHABLE: Final = 2
_MAX_PEERS_TRIED: Final = 6
# Minimum time before the deadline for a handover to be worthwhile.
_MIN_REMAINING_S: Final = 0.03
_CONNECTIONS_PER_PEER: Final = 64
# Time in which links are often back.
_LINKS_RETURN_S: Final = 1.0
# Statuses that guarantee that a request has not run and never will.
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Status of a daemon that declines since its configuration is older. Neither a target's
# answer that it forwards nor one to a caller has this status.
_DECLINED: Final = 421


@dataclass(frozen=True, slots=True)
class _Declined:
    """The other daemon did not run the request and never will."""

    detail: str


def split_marker(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[Headers, HandedOver | None]:
    """Return the caller's headers, and the daemon that handed the request over."""
    kept: list[tuple[bytes, bytes]] = []
    found: HandedOver | None = None
    for name, value in headers:
        if name == HANDED_OVER_HEADER:
            found = _decode_marker(value)
        else:
            kept.append((name, value))
    return tuple(kept), found


def _decode_marker(value: bytes) -> HandedOver:
    daemon_id, _, version = value.decode("latin-1").partition(";")
    known = version.isascii() and version.isdigit()
    return HandedOver(DaemonId(daemon_id), int(version) if known else -1)


def _encode_marker(handed_over: HandedOver) -> bytes:
    version = handed_over.configuration_version
    return f"{handed_over.daemon_id};{version}".encode("latin-1")


class Handover:
    """Sends requests to daemons that reach targets, in place of this one.

    Parameters
    ----------
    client : TargetClient
        Connections to other daemons, used for nothing else.
    """

    def __init__(
        self,
        link: PeerLink,
        links: LinkExchange,
        client: TargetClient,
        codec: CallerCodec,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._links = links
        self._client = client
        self._codec = codec
        self._clock = clock
        self._events = events
        self._rng = rng
        client.connections_per_target = _CONNECTIONS_PER_PEER

    def is_due(self, delivery: Delivery) -> bool:
        """Return whether a request can't be sent from here and may be handed over.

        What may have run is handed over only if its kind allows another attempt.
        """
        if not self._links.is_lost or delivery.answer.has_begun:
            return False
        route = delivery.routed.route
        return delivery.n_run == 0 or (
            route.may_repeat and delivery.n_run < route.max_attempts
        )

    async def send(
        self, delivery: Delivery, configuration_version: int
    ) -> Served | Refusal:
        """Hand a request over; refuse it at once if no daemon reaches a target.

        Parameters
        ----------
        configuration_version : int
            Version of the configuration by which this daemon admitted the request.
        """
        request = delivery.routed.request
        peers = [] if request.handed_over else self._peers()
        detail = "no daemon reaches a target"
        n_unreachable = 0
        for peer in peers[:_MAX_PEERS_TRIED]:
            began_at = self._clock.monotonic()
            left_s = delivery.routed.deadline_at - began_at
            if left_s < _MIN_REMAINING_S:
                return delivery.past_deadline()
            self._events.emit(
                RequestHandedOver(
                    request.attempt_id, peer.daemon_id, left_s, configuration_version
                )
            )
            outcome = await self._send_to(peer, delivery, left_s, configuration_version)
            took_s = self._clock.monotonic() - began_at
            status = outcome.status if isinstance(outcome, Served) else 0
            detail = outcome.detail
            self._events.emit(
                HandoverEnded(
                    request.attempt_id, peer.daemon_id, status, detail, took_s
                )
            )
            if isinstance(outcome, Served | Refusal):
                return outcome
            n_unreachable += isinstance(outcome, NotSent)
            if n_unreachable == _MAX_UNREACHABLE:
                break
        refusal = Refusal(RefusalReason.NO_TARGET, detail, _LINKS_RETURN_S)
        return delivery.unserved(detail, refusal)

    def _peers(self) -> list[Host]:
        """Return the daemons that reach targets, in random order."""
        excluded = self._links.without_links(self._clock.monotonic())
        own_id = self._link.host.daemon_id
        if own_id not in excluded:
            # All daemons have lost their links, so none is left out.
            return []
        peers = [
            each.host
            for each in self._link.view.members()
            if each.state is MemberState.LIVE and each.is_serving and each.host.url
            if each.host.daemon_id != own_id and each.host.daemon_id not in excluded
        ]
        self._rng.shuffle(peers)
        return peers

    async def _send_to(
        self,
        peer: Host,
        delivery: Delivery,
        left_s: float,
        configuration_version: int,
    ) -> Served | Refusal | NotSent | _Declined:
        request = delivery.routed.request
        origin = HandedOver(self._link.host.daemon_id, configuration_version)
        marker = (HANDED_OVER_HEADER, _encode_marker(origin))
        headers = (*self._codec.handed_over(request, left_s), marker)
        target_path = request.target_path.decode("latin-1")
        call = HttpCall(request.method, target_path, request.body, request.attempt_id)
        entry = _entry(peer)
        # Counted before it is sent: whatever ends this task then, it may have run.
        delivery.progress.count_attempt()
        try:
            async with asyncio.timeout(left_s):
                now = self._clock.monotonic()
                answer = await self._client.send(entry, call, headers, now)
                if isinstance(answer, NotSent):
                    delivery.progress.attempt_not_run()
                    return answer
                if not isinstance(answer, Answer):
                    return Refusal(RefusalReason.OUTCOME_UNKNOWN, answer.detail)
                try:
                    if is_foreign(answer.head, request.attempt_id):
                        return Refusal(
                            RefusalReason.OUTCOME_UNKNOWN, "answer to another request"
                        )
                    if answer.status == _DECLINED:
                        delivery.progress.attempt_not_run()
                        return _Declined("the configuration there is older")
                    return await self._forward(delivery, answer)
                finally:
                    await answer.close()
        except TimeoutError:
            if delivery.answer.has_begun:
                return Served(200, is_cut=True, detail="deadline")
            return Refusal(RefusalReason.DEADLINE_EXCEEDED, f"{left_s:.3f} s")

    async def _forward(self, delivery: Delivery, answer: Answer) -> Served | Refusal:
        """Forward a stream or a large answer as it arrives, others when complete."""
        is_stream = delivery.routed.route.kind is RequestKind.STREAMING
        is_success = answer.status < 300
        try:
            if is_success and (is_stream or answer.is_large):
                n_bytes = None if is_stream else answer.announced_bytes
                headers = end_to_end_headers(answer.headers, n_bytes)
                async for chunk in answer.chunks():
                    if not delivery.answer.has_begun:
                        await delivery.answer.begin(answer.status, headers)
                    await delivery.answer.send(chunk)
                if not delivery.answer.has_begun:
                    await delivery.answer.begin(answer.status, headers)
            else:
                body = await answer.body()
                if delivery.n_run and answer.status in _NOT_RUN_STATUSES:
                    detail = f"status {answer.status} after an attempt"
                    return Refusal(RefusalReason.TARGET_FAILED, detail)
                headers = end_to_end_headers(answer.headers, len(body))
                await delivery.answer.begin(answer.status, headers)
                await delivery.answer.send(body)
        except (httpx.HTTPError, OSError, AnswerTooLarge) as error:
            detail = type(error).__name__
            if delivery.answer.has_begun:
                return Served(200, is_cut=True, detail=detail)
            return Refusal(RefusalReason.OUTCOME_UNKNOWN, detail)
        await delivery.answer.end()
        return Served(answer.status, is_handed_over=True)


def _entry(peer: Host) -> TargetEntry:
    """Return a daemon in the form in which the client knows what it connects to."""
    key = TargetKey(TargetId(peer.daemon_id), peer.incarnation)
    zone = peer.location.zone
    return TargetEntry(key, PoolName(""), peer.url, zone, 1, False, SoftwareVersion(""))
