"""Remembers, at a few daemons each, which requests may have run.

A daemon that refuses a request without having seen its claim asks them, so that
"not run" is also true of an earlier send through another daemon.
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
from aspendrift_model.ids import DaemonId
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_policy.witnesses import choose_witnesses, witness_ids

__all__ = ["DispatchWitnesses", "Testimony"]

_MS_PER_S: Final = 1000.0
_TOPIC_NOTE: Final = "dispatch.note"
_TOPIC_ASK: Final = "dispatch.ask"
_TOPIC_REPLY: Final = "dispatch.reply"
_N_WITNESSES: Final = 3
_MAX_REMEMBERED: Final = 100_000


class Testimony(Enum):
    """What the witnesses say of a request."""

    MAY_HAVE_RUN = "may_have_run"
    NOT_SEEN = "not_seen"
    NO_REPLY = "no_reply"


class DispatchNote(msgspec.Struct, frozen=True):
    """A request may run from now on, or certainly did not (``undone``)."""

    request: int
    undone: bool = False


class DispatchQuestion(msgspec.Struct, frozen=True):
    """Whether a request may have run; the reply carries the same number."""

    number: int
    request: int


class DispatchReply(msgspec.Struct, frozen=True):
    """Answer to a question."""

    number: int
    may_have_run: bool


_M = TypeVar("_M", DispatchNote, DispatchQuestion, DispatchReply)


@dataclass(slots=True)
class _Question:
    """A question whose replies are awaited."""

    n_missing: int
    done: asyncio.Future[Testimony]
    any_reply: bool = False


@dataclass(slots=True)
class DispatchWitnesses:
    """What this daemon remembers as a witness, and its questions to others."""

    settings: RequestSettings
    daemon_id: DaemonId
    clock: Clock
    bus: PeerBus
    _until_by_request: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _questions_by_number: dict[int, _Question] = field(default_factory=dict)
    _n_questions: int = 0

    def start(self) -> None:
        """Listen to peers."""
        self.bus.subscribe(_TOPIC_NOTE, self._on_note)
        self.bus.subscribe(_TOPIC_ASK, self._on_question)
        self.bus.subscribe(_TOPIC_REPLY, self._on_reply)

    def note(self, key: str, *, undone: bool = False) -> None:
        """Tell the witnesses that a request may run, or that it did not."""
        request = _hash(key)
        note = DispatchNote(request, undone)
        self._remember(note)
        for daemon_id in self._witnesses(request):
            self._send(daemon_id, _TOPIC_NOTE, note)

    async def ask(self, key: str) -> Testimony:
        """Ask whether a request may have run, for a bounded time."""
        request = _hash(key)
        if self._remembers(request):
            return Testimony.MAY_HAVE_RUN
        witnesses = self._witnesses(request)
        if not witnesses:
            return Testimony.NOT_SEEN
        self._n_questions += 1
        number = self._n_questions
        question = _Question(len(witnesses), asyncio.get_running_loop().create_future())
        self._questions_by_number[number] = question
        for daemon_id in witnesses:
            self._send(daemon_id, _TOPIC_ASK, DispatchQuestion(number, request))
        try:
            async with asyncio.timeout(self.settings.witness_wait_ms / _MS_PER_S):
                return await question.done
        except TimeoutError:
            return Testimony.NOT_SEEN if question.any_reply else Testimony.NO_REPLY
        finally:
            del self._questions_by_number[number]

    def _witnesses(self, request: int) -> tuple[DaemonId, ...]:
        """Return the other daemons that are witnesses of a request."""
        ids = witness_ids(self.bus.members())
        chosen = choose_witnesses(request, ids, _N_WITNESSES)
        return tuple(each for each in chosen if each != self.daemon_id)

    def _remember(self, note: DispatchNote) -> None:
        if note.undone:
            self._until_by_request.pop(note.request, None)
            return
        until = self.clock.monotonic() + self.settings.witness_memory_s
        self._until_by_request[note.request] = until
        self._until_by_request.move_to_end(note.request)
        while len(self._until_by_request) > _MAX_REMEMBERED:
            self._until_by_request.popitem(last=False)

    def _remembers(self, request: int) -> bool:
        until = self._until_by_request.get(request)
        return until is not None and until > self.clock.monotonic()

    def _on_note(self, origin: DaemonId, payload: bytes) -> None:
        note = _decode(payload, DispatchNote)
        if note is not None:
            self._remember(note)

    def _on_question(self, origin: DaemonId, payload: bytes) -> None:
        question = _decode(payload, DispatchQuestion)
        if question is not None:
            known = self._remembers(question.request)
            reply = DispatchReply(question.number, known)
            self._send(origin, _TOPIC_REPLY, reply)

    def _on_reply(self, origin: DaemonId, payload: bytes) -> None:
        reply = _decode(payload, DispatchReply)
        question = reply and self._questions_by_number.get(reply.number)
        if not reply or not question or question.done.done():
            return
        question.n_missing -= 1
        question.any_reply = True
        if reply.may_have_run:
            question.done.set_result(Testimony.MAY_HAVE_RUN)
        elif question.n_missing == 0:
            question.done.set_result(Testimony.NOT_SEEN)

    def _send(self, daemon_id: DaemonId, topic: str, message: msgspec.Struct) -> None:
        self.bus.send(daemon_id, topic, msgspec.msgpack.encode(message))


def _hash(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _decode(payload: bytes, kind: type[_M]) -> _M | None:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except UNREADABLE:
        return None
