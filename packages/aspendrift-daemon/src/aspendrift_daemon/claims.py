"""Acquires, completes and looks up claims of requests that may not be repeated."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import msgspec

from aspendrift_daemon.claim_writer import ClaimWriter, QueueFull
from aspendrift_daemon.interfaces import (
    Clock,
    Committed,
    Conflict,
    NotWritten,
    PeerBus,
    StoreUnavailable,
    TableService,
    TransactResult,
    WriteUnknown,
)
from aspendrift_model.ids import AccountId, DaemonId, Fingerprint, RequestId
from aspendrift_model.outcomes import Failed, Refused
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import MemberState, OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.claims import (
    ClaimAssessment,
    ClaimRecord,
    ClaimState,
    ContentMismatch,
    Finished,
    HeldElsewhere,
    HolderGone,
    HolderState,
    OwnClaim,
    Unclaimed,
    Unreadable,
    claim_key,
    classify_claim,
    decode_claim,
    encode_claim,
)

__all__ = ["Claim", "ClaimAnswer", "Claims", "Replayed"]

_MS_PER_S: Final = 1000.0
_FIRST_POLL_INTERVAL_S: Final = 0.03
_MAX_POLL_INTERVAL_S: Final = 0.5
_FIRST_RETRY_DELAY_S: Final = 0.1
_MAX_RETRY_DELAY_S: Final = 5.0
_MAX_OVERWRITES: Final = 3


@dataclass(frozen=True, slots=True)
class Claim:
    """A confirmed claim, under whose token the request may be dispatched."""

    key: str
    version: int
    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class Replayed:
    """The request has already ended with this outcome."""

    outcome: OutcomeBody


ClaimAnswer: TypeAlias = Claim | Replayed | Refused | Failed


class Claims:
    """The claims of one daemon.

    Parameters
    ----------
    process : str
        Unique for each run of the daemon's process.
    spawn : callable
        Runs a coroutine in the background until it ends or the daemon stops.
    """

    def __init__(
        self,
        settings: RequestSettings,
        daemon_id: DaemonId,
        process: str,
        clock: Clock,
        table: TableService,
        bus: PeerBus,
        rng: random.Random,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._process = process
        self._clock = clock
        self._table = table
        self._bus = bus
        self._rng = rng
        self._spawn = spawn
        self._n_tokens = 0
        self._started_at = clock.monotonic()
        self._abandoned_tokens: set[str] = set()
        self._unsettled_by_key: dict[str, ClaimRecord] = {}
        self.n_unsettled = 0
        self.writer = ClaimWriter(settings, clock, table, self._n_daemons)

    async def acquire(
        self,
        account_id: AccountId,
        request_id: RequestId,
        fingerprint: Fingerprint,
        deadline_at: float,
    ) -> ClaimAnswer:
        """Claim a request, or return the result of an earlier claim."""
        if self.n_unsettled >= self._settings.max_unsettled_claims:
            return self._store_unavailable("too many outcomes are waiting to be stored")
        key = claim_key(account_id, request_id)
        version = 0
        for _ in range(_MAX_OVERWRITES):
            own_record = self._new_record(fingerprint)
            written = await self._write(key, version, own_record, deadline_at)
            if not isinstance(written, Row):
                return written
            assessment = self._classify(written, own_record)
            if isinstance(assessment, HeldElsewhere):
                assessment = await self._await_holder(key, own_record, deadline_at)
            if not isinstance(assessment, Unclaimed):
                return self._answer(key, own_record, assessment)
            version = assessment.version
        return self._store_unavailable("the claim changed while it was being written")

    def pending_outcome(
        self, account_id: AccountId, request_id: RequestId, fingerprint: Fingerprint
    ) -> Replayed | Refused | None:
        """Return an outcome that is not yet confirmed by the table, or None."""
        ended = self._unsettled_by_key.get(claim_key(account_id, request_id))
        if ended is None or ended.outcome is None:
            return None
        if ended.fingerprint != fingerprint:
            return Refused(RefusalReason.REQUEST_ID_REUSED)
        return Replayed(ended.outcome)

    async def finish(self, claim: Claim, outcome: OutcomeBody) -> bool:
        """Store the outcome; False if the write continues in the background.

        An answer waits a bounded time for the store, so that a resend finds
        it. A failure is returned to the caller at once.
        """
        record = msgspec.structs.replace(
            claim.record,
            state=ClaimState.FINISHED,
            at_unix_ms=self._unix_ms(),
            outcome=outcome,
        )
        task = asyncio.ensure_future(self._settle(claim, record))
        self._spawn(_await_task(task))
        if outcome.status is not OutcomeStatus.ANSWERED:
            return False
        wait_s = self._settings.outcome_store_wait_ms / _MS_PER_S
        done, _ = await asyncio.wait({task}, timeout=wait_s)
        return bool(done)

    def release(self, claim: Claim) -> None:
        """Release a claim under which nothing reached a target.

        The row is kept: if it were deleted, a write that is still in flight
        could take effect.
        """
        self._abandoned_tokens.add(claim.record.token)
        self._spawn(self._settle(claim, self._released(claim.record)))

    async def look_up(
        self, account_id: AccountId, request_id: RequestId
    ) -> Replayed | Refused | Failed:
        """Return the recorded outcome of a request, or why there is none."""
        key = claim_key(account_id, request_id)
        ended = self._unsettled_by_key.get(key)
        if ended is not None and ended.outcome is not None:
            return Replayed(ended.outcome)
        read = await self._table.read([key])
        if isinstance(read, StoreUnavailable):
            detail = "the outcome could not be read"
            reason = RefusalReason.STORE_UNAVAILABLE
            return Failed(reason, Ran.UNKNOWN, detail, self._retry_after_ms())
        row = read.rows[0]
        found = None if row.value is None else decode_claim(row.value)
        if found is None or found.state is ClaimState.RELEASED:
            return Failed(RefusalReason.NOT_FOUND, Ran.UNKNOWN, "no record of it")
        if found.outcome is not None:
            return Replayed(found.outcome)
        if self._holder_state(found) is HolderState.GONE:
            return _outcome_unknown(DaemonId(found.daemon_id))
        return self._claim_held(DaemonId(found.daemon_id))

    def _new_record(self, fingerprint: Fingerprint) -> ClaimRecord:
        self._n_tokens += 1
        return ClaimRecord(
            fingerprint,
            self._daemon_id,
            self._process,
            f"{self._process}.{self._n_tokens}",
            ClaimState.HELD,
            self._incarnation(),
            self._unix_ms(),
        )

    def _released(self, record: ClaimRecord) -> ClaimRecord:
        return msgspec.structs.replace(
            record, state=ClaimState.RELEASED, at_unix_ms=self._unix_ms()
        )

    async def _write(
        self, key: str, version: int, own_record: ClaimRecord, deadline_at: float
    ) -> Claim | Refused | Row:
        """Write a claim; returns the row if another one is in its place."""
        write = self.writer.write_claim(
            Condition(key, version), Write(key, encode_claim(own_record))
        )
        task = asyncio.ensure_future(write)
        timeout_s = min(
            deadline_at - self._clock.monotonic(),
            self._settings.claim_timeout_ms / _MS_PER_S,
        )
        try:
            done, _ = await asyncio.wait({task}, timeout=max(0.0, timeout_s))
        except asyncio.CancelledError:
            self._abandon(key, version, own_record, task)
            raise
        if not done:
            self._abandon(key, version, own_record, task)
            return self._store_unavailable("the claim was not confirmed in time")
        return self._written(key, version, own_record, task.result())

    def _written(
        self,
        key: str,
        version: int,
        own_record: ClaimRecord,
        result: TransactResult | QueueFull,
    ) -> Claim | Refused | Row:
        if isinstance(result, Committed):
            return Claim(key, result.version, own_record)
        if isinstance(result, Conflict):
            return result.rows[0]
        if isinstance(result, QueueFull):
            wait_ms = int(result.wait_s * _MS_PER_S)
            return Refused(RefusalReason.CLAIM_RATE_EXCEEDED, "", max(1, wait_ms))
        if isinstance(result, WriteUnknown):
            self._abandoned_tokens.add(own_record.token)
            self._spawn(self._withdraw(key, version, own_record))
        if isinstance(result, NotWritten) and result.over_rate:
            reason = RefusalReason.CLAIM_RATE_EXCEEDED
            return Refused(reason, result.detail, self._retry_after_ms())
        return self._store_unavailable(result.detail)

    def _abandon(
        self,
        key: str,
        version: int,
        own_record: ClaimRecord,
        task: asyncio.Future[TransactResult | QueueFull],
    ) -> None:
        """Abandon a write in flight; nothing will run under its token."""
        self._abandoned_tokens.add(own_record.token)
        self._spawn(self._withdraw_later(key, version, own_record, task))

    async def _withdraw_later(
        self,
        key: str,
        version: int,
        own_record: ClaimRecord,
        task: asyncio.Future[TransactResult | QueueFull],
    ) -> None:
        result = await task
        if isinstance(result, Committed):
            claim = Claim(key, result.version, own_record)
            await self._settle(claim, self._released(own_record))
        elif isinstance(result, WriteUnknown):
            await self._withdraw(key, version, own_record)
        else:
            self._abandoned_tokens.discard(own_record.token)

    async def _withdraw(self, key: str, version: int, own_record: ClaimRecord) -> None:
        """Make sure that a write of unknown result can't hold the request.

        Writing a released row under the same condition makes a delayed effect
        of the first write impossible; a row that it did write is overwritten.
        """
        released = encode_claim(self._released(own_record))
        wait_s = _FIRST_RETRY_DELAY_S
        self.n_unsettled += 1
        try:
            while True:
                self.writer.spend(1)
                result = await self.writer.write_outcome(
                    Condition(key, version), Write(key, released)
                )
                if isinstance(result, Committed):
                    return
                if isinstance(result, Conflict):
                    row = result.rows[0]
                    if not _holds(row, own_record):
                        return
                    version = row.version
                else:
                    wait_s = await self._back_off(wait_s)
        finally:
            self.n_unsettled -= 1
            self._abandoned_tokens.discard(own_record.token)

    async def _settle(self, claim: Claim, record: ClaimRecord) -> None:
        """Write the final record of a claim until the write is confirmed."""
        self.n_unsettled += 1
        wait_s = _FIRST_RETRY_DELAY_S
        self._unsettled_by_key[claim.key] = record
        condition = Condition(claim.key, claim.version)
        write = Write(claim.key, encode_claim(record))
        try:
            while True:
                result = await self.writer.write_outcome(condition, write)
                if isinstance(result, Committed | Conflict):
                    return
                wait_s = await self._back_off(wait_s)
                self.writer.spend(1)
        finally:
            self.n_unsettled -= 1
            self._drop_unsettled(claim.key, record)

    def _drop_unsettled(self, key: str, record: ClaimRecord) -> None:
        self._abandoned_tokens.discard(record.token)
        if self._unsettled_by_key.get(key) is record:
            del self._unsettled_by_key[key]

    async def _back_off(self, wait_s: float) -> float:
        await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.0))
        return min(_MAX_RETRY_DELAY_S, wait_s * 2)

    async def _await_holder(
        self, key: str, own_record: ClaimRecord, deadline_at: float
    ) -> ClaimAssessment:
        """Poll, for a bounded time, until another daemon has ended the request."""
        now = self._clock.monotonic()
        held_wait_s = self._settings.claim_held_wait_ms / _MS_PER_S
        until = min(deadline_at, now + held_wait_s)
        poll_interval_s = _FIRST_POLL_INTERVAL_S
        assessment: ClaimAssessment = HeldElsewhere(DaemonId(""))
        while (now := self._clock.monotonic()) < until:
            delay_s = poll_interval_s * self._rng.uniform(0.5, 1.0)
            await asyncio.sleep(min(delay_s, until - now))
            poll_interval_s = min(_MAX_POLL_INTERVAL_S, poll_interval_s * 2)
            read = await self._table.read([key])
            if isinstance(read, StoreUnavailable):
                continue
            assessment = self._classify(read.rows[0], own_record)
            if not isinstance(assessment, HeldElsewhere):
                break
        return assessment

    def _answer(
        self, key: str, own_record: ClaimRecord, assessment: ClaimAssessment
    ) -> ClaimAnswer:
        match assessment:
            case OwnClaim(version):
                return Claim(key, version, own_record)
            case Finished(outcome):
                return Replayed(outcome)
            case ContentMismatch():
                return Refused(RefusalReason.REQUEST_ID_REUSED)
            case HolderGone(daemon_id):
                return _outcome_unknown(daemon_id)
            case HeldElsewhere(daemon_id):
                return self._claim_held(daemon_id)
            case Unclaimed() | Unreadable():
                reason = RefusalReason.OUTCOME_UNKNOWN
                return Failed(reason, Ran.UNKNOWN, "the claim could not be read")

    def _classify(self, row: Row, own_record: ClaimRecord) -> ClaimAssessment:
        found = None if row.value is None else decode_claim(row.value)
        holder = HolderState.NOT_IN_VIEW if found is None else self._holder_state(found)
        return classify_claim(
            row.value, row.version, own_record, holder, self._abandoned_tokens
        )

    def _holder_state(self, found: ClaimRecord) -> HolderState:
        if found.daemon_id == self._daemon_id:
            is_this = found.process == self._process
            return HolderState.IN_VIEW if is_this else HolderState.GONE
        for host, state in self._bus.members():
            if host.daemon_id == found.daemon_id:
                replaced = 0 < found.incarnation < host.incarnation
                gone = replaced or state is MemberState.DEAD
                return HolderState.GONE if gone else HolderState.IN_VIEW
        return HolderState.GONE if self._is_view_complete() else HolderState.NOT_IN_VIEW

    def _is_view_complete(self) -> bool:
        """Whether a daemon that is missing from the member view counts as gone."""
        age_s = self._clock.monotonic() - self._started_at
        return age_s >= self._settings.claim_view_age_s

    def _incarnation(self) -> int:
        for host, _ in self._bus.members():
            if host.daemon_id == self._daemon_id:
                return host.incarnation
        return 0

    def _claim_held(self, daemon_id: DaemonId) -> Failed:
        detail = f"daemon {daemon_id}" if daemon_id else ""
        reason = RefusalReason.CLAIM_HELD
        return Failed(reason, Ran.UNKNOWN, detail, self._retry_after_ms())

    def _store_unavailable(self, detail: str) -> Refused:
        reason = RefusalReason.STORE_UNAVAILABLE
        return Refused(reason, detail, self._retry_after_ms())

    def _retry_after_ms(self) -> int:
        jitter = self._rng.uniform(1.0, 2.0)
        return int(self._settings.store_retry_after_ms * jitter)

    def _n_daemons(self) -> int:
        gone = (MemberState.DEAD, MemberState.JOINING)
        return sum(state not in gone for _, state in self._bus.members())

    def _unix_ms(self) -> int:
        return int(self._clock.unix() * _MS_PER_S)


def _outcome_unknown(daemon_id: DaemonId) -> Failed:
    reason = RefusalReason.OUTCOME_UNKNOWN
    return Failed(reason, Ran.UNKNOWN, f"daemon {daemon_id} is gone")


def _holds(row: Row, own_record: ClaimRecord) -> bool:
    """Whether a row holds the request under the token of a claim."""
    found = None if row.value is None else decode_claim(row.value)
    if found is None or found.token != own_record.token:
        return False
    return found.state is ClaimState.HELD


async def _await_task(task: asyncio.Future[None]) -> None:
    await task
