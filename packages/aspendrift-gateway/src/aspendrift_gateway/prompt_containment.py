"""Contains prompt parts that crash targets, with all daemons and over restarts.

Every daemon learns of the crashes and decides by itself. The daemons that read the
store write quarantines there and tell them to those that ask for the state, so that one
that just started knows them soon.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, Final

import msgspec
import xxhash

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import (
    Dependency,
    PromptQuarantined,
    QuarantineLifted,
    QuarantineSource,
)
from aspendrift_gateway.interfaces import StoreRows
from aspendrift_gateway.store_client import StoreClient, Written
from aspendrift_gateway.store_reader import DependencyWatch
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId, PromptPartId, TargetId
from aspendrift_model.opaque_requests import OpaqueRequest
from aspendrift_model.target_entries import TargetKey
from aspendrift_model.wire_work import (
    PartsCompleted,
    PromptCrash,
    QuarantineChanged,
    QuarantineList,
    QuarantineMessage,
)
from aspendrift_policy.prompt_suspects import (
    PromptSuspects,
    Signature,
    signature_text,
)

__all__ = ["QUARANTINE_TOPIC", "PromptContainment"]

QUARANTINE_TOPIC: Final = "q"

_TABLE: Final = "aspendrift-quarantines"
# Interval between reads of the table while there are quarantines.
_SYNC_INTERVAL_S: Final = 30.0
_RETRY_INTERVAL_S: Final = 1.0
_STEP_INTERVAL_S: Final = 0.2
# Time after a start in which the other daemons, and thus the readers, become known.
_START_DELAY_S: Final = 1.0
# Completed requests with suspect parts are reported at most at this interval, by all
# daemons together.
_REPORT_INTERVAL_S: Final = 0.2
_MS_PER_S: Final = 1000.0


class _Row(msgspec.Struct):
    """A row of the table; an operator sets ``lifted`` to end the quarantine."""

    parts: tuple[str, ...]
    until_unix_ms: int
    lifted: bool = False


class PromptContainment:
    """Exchanges crashes, completions and quarantines; refuses quarantined prompts.

    Parameters
    ----------
    reader_ids : callable
        Returns the daemons that read the store.
    """

    def __init__(
        self,
        link: PeerLink,
        store: StoreClient,
        reader_ids: Callable[[], Sequence[DaemonId]],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._store = store
        self._reader_ids = reader_ids
        self._clock = clock
        self._events = events
        self._rng = rng
        self._suspects = PromptSuspects()
        self._reported_at = float("-inf")
        self._watch = DependencyWatch(Dependency.STORE_QUARANTINES, events)
        self._sync_at = float("-inf")
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[QuarantineMessage] = PeerDecoder(
            QuarantineMessage, QUARANTINE_TOPIC, events
        )
        self._tasks: set[asyncio.Task[None]] = set()
        link.subscribe(QUARANTINE_TOPIC, self._on_message)

    @property
    def n_quarantines(self) -> int:
        """Number of quarantines that this daemon holds."""
        return len(self._suspects)

    async def start(self) -> None:
        """Start keeping the table and the quarantines in step."""
        self._run(self._sync_forever())

    async def stop(self) -> None:
        """Stop it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Requests.

    def refuses(self, request: OpaqueRequest) -> str | None:
        """Return the quarantined parts of a request's prompt, None if it may run."""
        now = self._clock.monotonic()
        signature = self._suspects.matching(request.shared_parts, now)
        return None if signature is None else signature_text(signature)

    def target_broke(self, key: TargetKey, request: OpaqueRequest) -> None:
        """Suspect the prompt of a request that a target had just begun to answer."""
        parts = request.shared_parts
        if parts:
            report = PromptCrash(key.target_id, key.born_ms, parts)
            self._link.broadcast(QUARANTINE_TOPIC, self._encoder.encode(report))
            self._on_crash(report, self._clock.monotonic())

    def completed(self, request: OpaqueRequest) -> None:
        """Clear the prompt of a request whose answer was completed."""
        now = self._clock.monotonic()
        suspects = self._record_completed(request.shared_parts, now)
        if suspects and now - self._reported_at >= _REPORT_INTERVAL_S:
            self._reported_at = now
            report = PartsCompleted(suspects)
            self._link.broadcast(QUARANTINE_TOPIC, self._encoder.encode(report))

    # What daemons that ask for the state are told.

    def digest(self) -> int:
        """Return a hash of the quarantines that this daemon holds."""
        return self._suspects.digest()

    def answer(self, daemon_id: DaemonId, digest: int) -> None:
        """Send the quarantines to a daemon that holds others."""
        if digest == self.digest():
            return
        now = self._clock.monotonic()
        held = tuple(
            (tuple(sorted(each.signature)), _left_ms(each.until, now))
            for each in self._suspects.quarantines(now)
        )
        self._send([daemon_id], QuarantineList(held))

    def store_restored(self) -> None:
        """Read the table again and write what it lost."""
        self._sync_soon(self._clock.monotonic())

    # Messages.

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, PromptCrash):
            self._on_crash(message, now)
        elif isinstance(message, PartsCompleted):
            self._reported_at = now
            self._record_completed(_part_ids(message.parts), now)
        elif isinstance(message, QuarantineChanged):
            self._on_changed(origin, message, now)
        else:
            self._on_list(origin, message, now)

    def _on_crash(self, report: PromptCrash, now: float) -> None:
        key = TargetKey(TargetId(report.target_id), report.born_ms)
        found = self._suspects.record_crash(key, _part_ids(report.parts), now)
        if found is not None:
            self._announce(found, QuarantineSource.CRASHES, now)

    def _on_changed(
        self, origin: DaemonId, message: QuarantineChanged, now: float
    ) -> None:
        signature = frozenset(_part_ids(message.parts))
        if not message.left_ms:
            self._lift(signature, f"peer {origin}", now)
        elif self._suspects.is_lifted(signature, now):
            self._send([origin], QuarantineChanged(message.parts, 0))
        else:
            self._add(signature, message.left_ms, QuarantineSource.PEER, now)

    def _on_list(self, origin: DaemonId, message: QuarantineList, now: float) -> None:
        listed = set()
        for parts, left_ms in message.quarantines:
            signature = frozenset(_part_ids(parts))
            listed.add(signature)
            self._add(signature, left_ms, QuarantineSource.PEER, now)
        for each in self._suspects.quarantines(now):
            if each.signature not in listed:
                self._send([origin], _changed(each.signature, each.until, now))

    def _add(
        self, signature: Signature, left_ms: int, source: QuarantineSource, now: float
    ) -> None:
        until = now + left_ms / _MS_PER_S
        if signature and self._suspects.quarantine(signature, until, now):
            self._report(signature, source)
            if source is not QuarantineSource.STORE:
                self._sync_soon(now)

    def _lift(self, signature: Signature, reason: str, now: float) -> bool:
        if not self._suspects.lift(signature, now):
            return False
        self._events.emit(QuarantineLifted(tuple(sorted(signature)), reason))
        self._sync_soon(now)
        return True

    def _record_completed(
        self, parts: Iterable[PromptPartId], now: float
    ) -> tuple[PromptPartId, ...]:
        clearance = self._suspects.record_completed(parts, now)
        for signature in clearance.narrowed:
            self._announce(signature, QuarantineSource.COMPLETIONS, now)
        for signature in clearance.lifted:
            reason = "requests with these parts were completed"
            self._events.emit(QuarantineLifted(tuple(sorted(signature)), reason))
            self._broadcast_lifted(signature)
            self._sync_soon(now)
        return clearance.suspects

    def _broadcast_lifted(self, signature: Signature) -> None:
        message = QuarantineChanged(tuple(sorted(signature)), 0)
        self._link.broadcast(QUARANTINE_TOPIC, self._encoder.encode(message))

    def _announce(
        self, signature: Signature, source: QuarantineSource, now: float
    ) -> None:
        """Report a quarantine that this daemon found, and send it to the readers."""
        self._report(signature, source)
        self._sync_soon(now)
        own_id = self._link.host.daemon_id
        readers = [each for each in self._reader_ids() if each != own_id]
        for each in self._suspects.quarantines(now):
            if each.signature == signature:
                self._send(readers, _changed(signature, each.until, now))

    def _send(self, daemon_ids: Sequence[DaemonId], message: QuarantineMessage) -> None:
        payload = self._encoder.encode(message)
        self._link.send_each(daemon_ids, QUARANTINE_TOPIC, payload)

    def _report(self, signature: Signature, source: QuarantineSource) -> None:
        parts = tuple(sorted(signature))
        n_crashes = max(self._suspects.n_crashes(part) for part in parts)
        self._events.emit(PromptQuarantined(parts, source, n_crashes))

    # The store.

    async def _sync_forever(self) -> None:
        await asyncio.sleep(_START_DELAY_S * self._rng.uniform(0.8, 1.2))
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            await self.step(self._clock.monotonic())

    async def step(self, now: float) -> None:
        """Bring the table and the quarantines in step if it is due."""
        if self._link.host.daemon_id not in self._reader_ids():
            self._sync_at = now
            return
        if now < self._sync_at:
            return
        self._sync_at = float("inf")
        is_done = await self._sync()
        if not is_done:
            self._sync_soon(now + _RETRY_INTERVAL_S * self._rng.uniform(0.8, 1.2))
        elif len(self._suspects):
            self._sync_soon(now + _SYNC_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def _sync_soon(self, at: float) -> None:
        self._sync_at = min(self._sync_at, at)

    async def _sync(self) -> bool:
        """Read the table, apply it, and write what it lacks."""
        found = await self._store.read_table(_TABLE)
        if not isinstance(found, StoreRows):
            self._watch.failed(getattr(found, "detail", "history gone"))
            return False
        self._watch.succeeded()
        now = self._clock.monotonic()
        stored: set[Signature] = set()
        for row in found.rows:
            decoded = None if row.value is None else _decode_row(row.value)
            if decoded is not None:
                stored.add(frozenset(_part_ids(decoded.parts)))
                await self._apply_row(row.key, decoded, now)
        for each in self._suspects.quarantines(now):
            if each.signature not in stored:
                unix_ms = int(self._clock.unix() * _MS_PER_S)
                row_value = _Row(
                    tuple(sorted(each.signature)), unix_ms + _left_ms(each.until, now)
                )
                if not await self._put(row_value):
                    return False
        return True

    async def _apply_row(self, key: str, row: _Row, now: float) -> None:
        signature = frozenset(_part_ids(row.parts))
        left_ms = row.until_unix_ms - int(self._clock.unix() * _MS_PER_S)
        if left_ms <= 0:
            await self._store.remove(_TABLE, key)
        elif row.lifted:
            if self._lift(signature, "operator", now):
                self._broadcast_lifted(signature)
        elif self._suspects.is_lifted(signature, now):
            await self._put(_Row(row.parts, row.until_unix_ms, True))
        else:
            self._add(signature, left_ms, QuarantineSource.STORE, now)

    async def _put(self, row: _Row) -> bool:
        text = signature_text(frozenset(_part_ids(row.parts)))
        key = f"{xxhash.xxh3_64_intdigest(text.encode()):016x}"
        result = await self._store.put(_TABLE, key, msgspec.json.encode(row))
        if isinstance(result, Written):
            return True
        self._watch.failed(result.detail)
        return False

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _part_ids(parts: Iterable[str]) -> tuple[PromptPartId, ...]:
    return tuple(PromptPartId(part) for part in parts)


def _left_ms(until: float, now: float) -> int:
    return max(1, int((until - now) * _MS_PER_S))


def _changed(signature: Signature, until: float, now: float) -> QuarantineChanged:
    return QuarantineChanged(tuple(sorted(signature)), _left_ms(until, now))


def _decode_row(value: bytes) -> _Row | None:
    try:
        return msgspec.json.decode(value, type=_Row)
    except DECODE_ERRORS:
        return None
