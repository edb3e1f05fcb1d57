"""Continuous batching of a stand-in engine, driven step by step by its caller."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from aspendrift_model.digests import TokenDigest
from aspendrift_model.wire_target import (
    CacheEvents,
    EngineRole,
    EngineState,
    GeneratedEnd,
    GeneratedEvent,
    GeneratedToken,
    KvTransfer,
    LoadBody,
    Order,
    OrderAnswer,
    OrderKind,
    StageCall,
)
from aspendrift_standins.expected import (
    generated_token,
    n_generated,
    stage_input_digest,
)
from aspendrift_standins.prefix_cache import (
    CHARS_PER_TOKEN,
    CacheEventLog,
    PrefixCache,
)
from aspendrift_standins.slots import LaggingLoad

__all__ = ["EngineCore", "EngineOptions", "Sequence"]


class EngineOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity and behaviour of an engine.

    Parameters
    ----------
    slots : int
        Largest number of sequences in a batch.
    step_ms : float
        Duration of one step, in milliseconds.
    prefill_tokens_per_step : int
        Input tokens that one step can prefill.
    cache_bytes, bytes_per_token : int
        Size of the prefix cache, and the part of it that one token takes.
    load_lag_s, event_lag_s : float
        Delay before load figures and cache events become visible, in seconds.
    event_gap_share : float
        Share of cache events that are lost.
    n_events_kept : int
        Number of cache events kept for readers.
    models : tuple of str
        Models loaded at the start; if empty, every model is served.
    model_load_s : float
        Time to load a model or adapter, in seconds.
    checks_fencing : bool
        Whether an order with a stale fencing number is rejected.
    resume_keep_s : float
        Time after which a sequence without a reader is cancelled, in seconds.
    seed : int
        Seed of the random choice of lost cache events.
    runs_file : str
        File that keeps the run record; empty for none.
    """

    slots: int = 32
    step_ms: float = 7.0
    prefill_tokens_per_step: int = 2_048
    cache_bytes: int = 64 * 1024 * 1024
    bytes_per_token: int = 16_384
    load_lag_s: float = 0.3
    event_lag_s: float = 0.5
    event_gap_share: float = 0.02
    n_events_kept: int = 1_024
    models: tuple[str, ...] = ()
    model_load_s: float = 2.0
    checks_fencing: bool = True
    resume_keep_s: float = 2.0
    seed: int = 0
    runs_file: str = ""


@dataclass(slots=True, eq=False)
class Sequence:
    """State of a generation attempt; ``n_tokens`` includes the given prefix tokens."""

    call: StageCall
    digest: str
    n_total: int
    n_prefill_remaining: int
    n_tokens: int
    token_digest: TokenDigest
    events: list[GeneratedEvent] = field(default_factory=list)
    busy_ms: float = 0.0
    done: bool = False
    cancelled: bool = False

    @property
    def closed(self) -> bool:
        """Whether no further events will be added."""
        return self.done or self.cancelled


class EngineCore:
    """Scheduler, prefix cache and models of the engine, without I/O.

    Parameters
    ----------
    options : EngineOptions
        Capacity and behaviour.
    """

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._active: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self.sequences_by_attempt: dict[str, Sequence] = {}
        self._busy_s = 0.0
        self._cache = PrefixCache(options.cache_bytes, options.bytes_per_token)
        self._cache_log = CacheEventLog(
            options.event_lag_s,
            options.event_gap_share,
            options.n_events_kept,
            random.Random(options.seed),
        )
        initial_load = LoadBody(0, 0, options.slots, 0, 0.0, options.models)
        self._lagging = LaggingLoad(options.load_lag_s, initial_load)
        self._models = list(options.models)
        self._adapters: list[str] = []
        self._loading: dict[str, tuple[float, Order]] = {}
        self._role = EngineRole.BOTH
        self._highest_fencing = 0

    @property
    def has_work(self) -> bool:
        """Whether any sequence is active or waiting."""
        return bool(self._active or self._waiting)

    def serves(self, call: StageCall, now: float) -> bool:
        """Return whether the engine is active and has a call's model and adapter."""
        self._finish_loading(now)
        if self._role is EngineRole.IDLE:
            return False
        model_ok = not self._models or call.model is None or call.model in self._models
        adapter_ok = call.adapter is None or not self._options.models
        return model_ok and (adapter_ok or call.adapter in self._adapters)

    def submit(self, call: StageCall, now: float) -> Sequence:
        """Queue an attempt; return the existing sequence if its id is known."""
        existing = self.sequences_by_attempt.get(call.attempt_id)
        if existing is not None:
            return existing
        context = msgspec.json.decode(call.context)
        digest = stage_input_digest(
            call.request_id, call.stage, call.kind, call.input, context
        )
        token_digest = TokenDigest()
        for text in call.prefix_tokens:
            token_digest.add(text)
        sequence = Sequence(
            call,
            digest,
            n_generated(digest, call.max_tokens),
            self._prefill_tokens(call),
            len(call.prefix_tokens),
            token_digest,
        )
        self.sequences_by_attempt[call.attempt_id] = sequence
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda waiting: waiting.call.priority)
        self._record_load(now)
        return sequence

    def cancel(self, attempt_id: str, now: float) -> None:
        """Cancel an attempt before its next step, if it is known."""
        sequence = self.sequences_by_attempt.pop(attempt_id, None)
        if sequence is None:
            return
        sequence.cancelled = True
        self._remove_closed(now)

    def remove(self, attempt_id: str) -> None:
        """Remove an attempt that has ended, with its events."""
        self.sequences_by_attempt.pop(attempt_id, None)

    def step(self, step_s: float, now: float) -> list[Sequence]:
        """Run one step of ``step_s`` seconds; return the sequences with new events."""
        while self._waiting and len(self._active) < self._options.slots:
            self._active.append(self._waiting.pop(0))
        if not self._active:
            return []
        self._busy_s += step_s
        budget = self._options.prefill_tokens_per_step
        share_ms = step_s * 1e3 / len(self._active)
        changed: list[Sequence] = []
        for sequence in sorted(self._active, key=lambda each: each.call.priority):
            sequence.busy_ms += share_ms
            if sequence.n_prefill_remaining > 0:
                n_prefilled = min(budget, sequence.n_prefill_remaining)
                sequence.n_prefill_remaining -= n_prefilled
                budget -= n_prefilled
                if sequence.n_prefill_remaining > 0:
                    continue
                self._cache_prefix(sequence.call, now)
            self._emit(sequence)
            changed.append(sequence)
        self._remove_closed(now)
        return changed

    def load(self, now: float) -> LoadBody:
        """Return the load report, which lags behind the current load."""
        return self._lagging.visible(now)

    def cache_events(self, after: int, now: float) -> CacheEvents:
        """Return the visible cache events; these lag and some are missing."""
        return self._cache_log.after(after, now)

    def order(self, order: Order, now: float) -> OrderAnswer:
        """Apply an order, unless its fencing number is stale and fencing is checked."""
        self._finish_loading(now)
        is_stale = order.fencing < self._highest_fencing
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        if is_stale and self._options.checks_fencing:
            return OrderAnswer(order.order_id, False, self._highest_fencing)
        self._apply(order, now)
        self._record_load(now)
        return OrderAnswer(order.order_id, True, self._highest_fencing)

    def state(self, now: float) -> EngineState:
        """Return the role, the models, the adapters and the cache size."""
        self._finish_loading(now)
        return EngineState(
            self._role,
            tuple(self._models),
            tuple(self._adapters),
            tuple(sorted(self._loading)),
            self._highest_fencing,
            self._cache.n_bytes,
        )

    def export_kv(self, transfer: KvTransfer) -> KvTransfer | None:
        """Return the size of a cached prefix, or None if it is not cached."""
        n_bytes = self._cache.n_bytes_of(transfer.prefix_key)
        return None if n_bytes is None else KvTransfer(transfer.prefix_key, n_bytes)

    def import_kv(self, transfer: KvTransfer, now: float) -> None:
        """Cache a prefix that another engine exported."""
        evicted = self._cache.put_imported(transfer.prefix_key, transfer.n_bytes)
        self._record_cached(transfer.prefix_key, evicted, now)

    def _prefill_tokens(self, call: StageCall) -> int:
        text = _prompt(call)
        n_cached = 0
        if call.prefix_key:
            n_cached = self._cache.n_cached_tokens(call.prefix_key, text)
        n_input = len(text) // CHARS_PER_TOKEN + len(call.prefix_tokens)
        return max(1, n_input - n_cached)

    def _cache_prefix(self, call: StageCall, now: float) -> None:
        key = call.prefix_key
        if not key:
            return
        was_cached = key in self._cache
        evicted = self._cache.put(key, _prompt(call))
        if not was_cached or evicted:
            self._record_cached(key, evicted, now)

    def _record_cached(self, key: str, evicted: Iterable[str], now: float) -> None:
        for evicted_key in evicted:
            self._cache_log.record(evicted_key, False, now)
        if key in self._cache:
            self._cache_log.record(key, True, now)

    def _emit(self, sequence: Sequence) -> None:
        attempt_id = sequence.call.attempt_id
        if sequence.n_tokens < sequence.n_total:
            sequence.n_tokens += 1
            text = generated_token(sequence.digest, sequence.n_tokens)
            sequence.token_digest.add(text)
            sequence.events.append(GeneratedToken(attempt_id, sequence.n_tokens, text))
        if sequence.n_tokens >= sequence.n_total:
            sequence.done = True
            end = GeneratedEnd(
                attempt_id,
                sequence.token_digest.n_tokens,
                sequence.token_digest.hexdigest(),
                sequence.busy_ms,
            )
            sequence.events.append(end)

    def _remove_closed(self, now: float) -> None:
        self._active = _without_closed(self._active)
        self._waiting = _without_closed(self._waiting)
        self._record_load(now)

    def _record_load(self, now: float) -> None:
        body = LoadBody(
            len(self._active),
            len(self._waiting),
            self._options.slots,
            0,
            self._busy_s,
            tuple(self._models),
        )
        self._lagging.record(body, now)

    def _apply(self, order: Order, now: float) -> None:
        match order.kind:
            case OrderKind.SET_ROLE:
                self._role = order.role or EngineRole.BOTH
            case OrderKind.UNLOAD_MODEL:
                self._models = [name for name in self._models if name != order.model]
            case OrderKind.LOAD_MODEL | OrderKind.LOAD_ADAPTER:
                name = order.model if order.kind is OrderKind.LOAD_MODEL else None
                name = name or order.adapter or ""
                self._loading[name] = (now + self._options.model_load_s, order)

    def _finish_loading(self, now: float) -> None:
        for name, (done_at, order) in list(self._loading.items()):
            if done_at <= now:
                del self._loading[name]
                is_model = order.kind is OrderKind.LOAD_MODEL
                loaded = self._models if is_model else self._adapters
                if name not in loaded:
                    loaded.append(name)
                self._record_load(now)


def _prompt(call: StageCall) -> str:
    return call.input + bytes(call.context).decode()


def _without_closed(sequences: Iterable[Sequence]) -> list[Sequence]:
    return [sequence for sequence in sequences if not sequence.closed]
