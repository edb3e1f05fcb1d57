"""Stores dispatch records on a few witness daemons per request.

A dispatch record says that a request may have run. A daemon that refuses a request
without having seen its claim queries the witnesses, so that "not run" also holds for
an earlier submission through another daemon.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypeVar

import msgspec
import xxhash

from aspendrift_daemon.interfaces import Clock, PeerBus
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_policy.witnesses import choose_witnesses, witness_ids

__all__ = ["DispatchWitnesses", "DispatchStatus"]

_MS_PER_S: Final = 1000.0
_TOPIC_RECORD: Final = "dispatch.note"
_TOPIC_QUERY: Final = "dispatch.ask"
_TOPIC_REPLY: Final = "dispatch.reply"
_N_WITNESSES: Final = 3
_MAX_RECORDS: Final = 100_000


class DispatchStatus(Enum):
    """What the dispatch records of the witnesses say about a request."""

    MAY_HAVE_RUN = "may_have_run"
    NOT_SEEN = "not_seen"
    NO_REPLY = "no_reply"


class DispatchRecord(msgspec.Struct, frozen=True):
    """A request may run from now on, or certainly did not run (``undone``)."""

    request: int
    undone: bool = False


class DispatchQuery(msgspec.Struct, frozen=True):
    """Asks whether a request may have run; the reply carries the same number."""

    number: int
    request: int


class DispatchReply(msgspec.Struct, frozen=True):
    """Reply to a query."""

    number: int
    may_have_run: bool


_M = TypeVar("_M", DispatchRecord, DispatchQuery, DispatchReply)


@dataclass(slots=True)
class _PendingQuery:
    """A query that waits for replies."""

    n_missing: int
    done: asyncio.Future[DispatchStatus]
    any_reply: bool = False


@dataclass(slots=True)
class DispatchWitnesses:
    """Dispatch records that this daemon stores, and its queries to witnesses."""

    settings: RequestSettings
    daemon_id: DaemonId
    clock: Clock
    bus: PeerBus
    _expires_at_by_request: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _queries_by_number: dict[int, _PendingQuery] = field(default_factory=dict)
    _n_queries: int = 0

    def start(self) -> None:
        """Subscribe to the messages of peers."""
        self.bus.subscribe(_TOPIC_RECORD, self._on_record)
        self.bus.subscribe(_TOPIC_QUERY, self._on_query)
        self.bus.subscribe(_TOPIC_REPLY, self._on_reply)

    def record(self, key: str, *, undone: bool = False) -> None:
        """Record with the witnesses that a request may run, or that it did not."""
        request = _hash(key)
        record = DispatchRecord(request, undone)
        self._store(record)
        for daemon_id in self._witnesses(request):
            self._send(daemon_id, _TOPIC_RECORD, record)

    async def query(self, key: str) -> DispatchStatus:
        """Query the witnesses, for a bounded time, whether a request may have run."""
        request = _hash(key)
        if self._has_record(request):
            return DispatchStatus.MAY_HAVE_RUN
        witnesses = self._witnesses(request)
        if not witnesses:
            return DispatchStatus.NOT_SEEN
        self._n_queries += 1
        number = self._n_queries
        pending = _PendingQuery(
            len(witnesses), asyncio.get_running_loop().create_future()
        )
        self._queries_by_number[number] = pending
        for daemon_id in witnesses:
            self._send(daemon_id, _TOPIC_QUERY, DispatchQuery(number, request))
        try:
            async with asyncio.timeout(self.settings.witness_wait_ms / _MS_PER_S):
                return await pending.done
        except TimeoutError:
            return (
                DispatchStatus.NOT_SEEN
                if pending.any_reply
                else DispatchStatus.NO_REPLY
            )
        finally:
            del self._queries_by_number[number]

    def _witnesses(self, request: int) -> tuple[DaemonId, ...]:
        """Return the witnesses of a request, without this daemon."""
        ids = witness_ids(self.bus.members())
        chosen = choose_witnesses(request, ids, _N_WITNESSES)
        return tuple(each for each in chosen if each != self.daemon_id)

    def _store(self, record: DispatchRecord) -> None:
        if record.undone:
            self._expires_at_by_request.pop(record.request, None)
            return
        expires_at = self.clock.monotonic() + self.settings.witness_memory_s
        self._expires_at_by_request[record.request] = expires_at
        self._expires_at_by_request.move_to_end(record.request)
        while len(self._expires_at_by_request) > _MAX_RECORDS:
            self._expires_at_by_request.popitem(last=False)

    def _has_record(self, request: int) -> bool:
        expires_at = self._expires_at_by_request.get(request)
        return expires_at is not None and expires_at > self.clock.monotonic()

    def _on_record(self, origin: DaemonId, payload: bytes) -> None:
        record = _decode(payload, DispatchRecord)
        if record is not None:
            self._store(record)

    def _on_query(self, origin: DaemonId, payload: bytes) -> None:
        query = _decode(payload, DispatchQuery)
        if query is not None:
            has_record = self._has_record(query.request)
            reply = DispatchReply(query.number, has_record)
            self._send(origin, _TOPIC_REPLY, reply)

    def _on_reply(self, origin: DaemonId, payload: bytes) -> None:
        reply = _decode(payload, DispatchReply)
        pending = reply and self._queries_by_number.get(reply.number)
        if not reply or not pending or pending.done.done():
            return
        pending.n_missing -= 1
        pending.any_reply = True
        if reply.may_have_run:
            pending.done.set_result(DispatchStatus.MAY_HAVE_RUN)
        elif pending.n_missing == 0:
            pending.done.set_result(DispatchStatus.NOT_SEEN)

    def _send(self, daemon_id: DaemonId, topic: str, message: msgspec.Struct) -> None:
        self.bus.send(daemon_id, topic, msgspec.msgpack.encode(message))


def _hash(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _decode(payload: bytes, kind: type[_M]) -> _M | None:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except DECODE_ERRORS:
        return None
