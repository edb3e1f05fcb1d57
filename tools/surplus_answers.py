"""Targets that answer requests twice: with whole and cut copies, and with refusals."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
from asyncio import StreamReader, StreamWriter
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review" / "lib"))

from world import Engine, Message, read_chunks, read_head  # noqa: E402

# Drawn with equal shares, so copies are the most frequent.
DEFAULT_KINDS: Final = (
    "copy",
    "copy",
    "copy",
    "status",
    "no_id",
    "unsigned",
    "refusal",
    "refusal_no_id",
    "interim",
    "two_ids",
    "half",
)
KINDS: Final = frozenset({*DEFAULT_KINDS, "half_refusal", "half_head"})
PLACES: Final = (
    "behind",
    "late",
    "before_body",
    "before_answer",
    "before_split",
    "after_next",
)
_WORK_S: Final = (0.001, 0.005, 0.015, 0.04, 0.15)
_LATE_S: Final = (0, 0.001, 0.005, 0.02, 0.06, 0.2)
_ANSWER_SIZES: Final = (30, 200, 800, 800, 3000, 70_000, 140_000, 300_000)
_EVENT_PART_BYTES: Final = 90
_EVENT_PART_INTERVAL_S: Final = 0.004
_NOT_EXECUTED: Final = ("Not-Executed", "1")


@dataclass(frozen=True)
class Options:
    """What is played; the shares are probabilities."""

    seed: int
    share: float
    fail: float
    refuse: float
    cancel: float
    requests: int
    callers: int
    gateways: int
    engines: int
    kinds: tuple[str, ...]
    places: tuple[str, ...]
    overlap: bool
    unframed: bool
    restarts: bool


@dataclass(frozen=True)
class Request:
    """A request of a caller."""

    id: str
    kind: str
    method: str
    target: str
    body: bytes
    is_chunked: bool


@dataclass
class Received:
    """What a caller got; status 0 if no answer came."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = True


@dataclass
class Run:
    """One execution of a request at a target, and its answer."""

    request_id: str
    target: str
    signature: str
    status: int = 200
    body: bytes = b""
    is_written: bool = False


class Records:
    """What callers sent and got, what targets ran, and the rules that were broken."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.received: dict[str, Received] = {}
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.runs_by_signature: dict[str, Run] = {}
        self.counts: Counter[str] = Counter()
        self.breaches: list[tuple[str, str]] = []


@dataclass(frozen=True)
class _Call:
    rng: random.Random
    request_id: str
    method: str
    target: str
    writer: StreamWriter
    surplus: list[tuple[str, bytes]]

    @property
    def is_stream(self) -> bool:
        return self.target.startswith("/model/")

    def surplus_at(self, *places: str) -> list[bytes]:
        return [
            content
            for wanted in places
            for place, content in self.surplus
            if place == wanted
        ]


def chunked(body: bytes) -> bytes:
    """Return a body in about three chunks."""
    size = max(1, len(body) // 3)
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in parts) + (
        b"0\r\n\r\n"
    )


def encoded_answer(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    method: str = "GET",
    framing: str = "length",
) -> bytes:
    """Return the bytes of an answer with a length, in chunks or without an end."""
    lines = [f"HTTP/1.1 {status} Answer", *(f"{n}: {v}" for n, v in headers)]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    if method == "HEAD":
        return head
    return head + (chunked(body) if framing == "chunked" else body)


class RepeatingTarget(Engine):
    """Runs requests, and sends surplus answers on the connections of callers."""

    def __init__(
        self, *args: Any, options: Options, records: Records, **changes: Any
    ) -> None:
        super().__init__(*args, **changes)
        self.options = options
        self.records = records
        self._n_runs = 0
        self._last_answer = b""
        # Surplus answers that are sent during the next exchange of a connection.
        self._held: defaultdict[StreamWriter, list[tuple[str, bytes]]] = defaultdict(
            list
        )

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve a connection."""
        try:
            await super().serve(reader, writer)
        finally:
            self._held.pop(writer, None)

    async def exchange(self, reader: StreamReader, writer: StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        request_id = headers.get("attempt-id", "")
        rng = random.Random(f"{self.options.seed}/{request_id}/{self.name}")
        surplus = self._held.pop(writer, [])
        call = _Call(rng, request_id, method, target, writer, surplus)
        for content in call.surplus_at("before_body"):
            self._send(writer, content, "before_body")
            await asyncio.sleep(rng.choice((0, 0.002, 0.02)))
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await read_chunks(reader)
        elif headers.get("content-length", "0") != "0":
            body = await reader.readexactly(int(headers["content-length"]))
        message = Message(method, target, headers, body)
        if self.is_other(message):
            refusal = [("Attempt-Id", request_id), _NOT_EXECUTED]
            writer.write(encoded_answer(421, refusal, method=method))
            return True
        if target.startswith("/-/") or target == "/health":
            state = b'{"waiting":0,"busy":false,"running":0}'
            writer.write(encoded_answer(200, [self.load()], state, method))
            return True
        self._check_request(request_id, message)
        return await self._answer(call)

    def _check_request(self, request_id: str, message: Message) -> None:
        sent = self.records.requests.get(request_id)
        found = (message.method, message.target, message.body)
        if sent is None or found != (sent.method, sent.target, sent.body):
            where = f"{self.name} {request_id} {message.method} {message.target}"
            text = f"{where}, {len(message.body)} bytes"
            self.records.breaches.append(("UNASKED", text))

    def _send(self, writer: StreamWriter, content: bytes, place: str) -> None:
        if not writer.is_closing():
            self.records.counts[f"surplus {place}"] += 1
            writer.write(content)

    async def _answer(self, call: _Call) -> bool:
        options, rng, writer = self.options, call.rng, call.writer
        is_kept = True
        draw = rng.random()
        if draw < options.refuse:
            answer = self._refusal(call)
            for content in call.surplus_at("before_answer", "before_split"):
                self._send(writer, content, "before_refusal")
            writer.write(answer)
            self.records.counts["refused by targets"] += 1
        else:
            run, answer, is_kept = self._run(call, draw < options.refuse + options.fail)
            await self._work(call)
            await self._write(call, run, answer)
            run.is_written = not writer.is_closing()
        for content in call.surplus_at("after_next"):
            self._send(writer, content, "after_next")
        if is_kept:
            self._plan_surplus(call, answer)
        elif rng.random() < options.share and options.unframed:
            self._send(writer, answer, "behind_unframed")
        self._last_answer = answer
        await writer.drain()
        return is_kept

    def _refusal(self, call: _Call) -> bytes:
        status = call.rng.choice((503, 503, 429, 421))
        headers = [_NOT_EXECUTED, self.load()]
        if call.rng.random() < 0.7:
            headers.append(("Attempt-Id", call.request_id))
        body = b"" if call.rng.random() < 0.5 else b"full"
        return encoded_answer(status, headers, body, call.method)

    def _run(self, call: _Call, fails: bool) -> tuple[Run, bytes, bool]:
        """Return a run with its answer and whether the connection outlives it."""
        rng = call.rng
        self._n_runs += 1
        signature = f"{self.name}.{self.born}.{self._n_runs}"
        run = Run(call.request_id, self.name, signature)
        self.records.runs[call.request_id].append(run)
        self.records.runs_by_signature[signature] = run
        if fails:
            run.status = rng.choice((500, 404, 404, 504, 400))
        is_large = rng.random() < 0.3
        size = rng.choice(_ANSWER_SIZES) if is_large else rng.randint(20, 900)
        if run.status != 200:
            size = rng.randint(0, 200)
        framing = rng.choices(("length", "chunked", "none"), (6, 3, 1))[0]
        text = f"{call.request_id} {signature} ".encode()
        is_stream = call.is_stream and run.status == 200
        if is_stream:
            framing = "chunked"
            body = b"".join(
                b"id: %d\ndata: %s%d\n\n" % (number, text, number)
                for number in range(1, rng.randint(2, 8) + 1)
            )
        else:
            filling = hashlib.sha256(text).hexdigest().encode() * (size // 64 + 1)
            body = (text + filling)[: max(len(text), size)]
        run.body = b"" if call.method == "HEAD" else body
        headers = [
            ("Attempt-Id", call.request_id),
            ("Response-Signature", signature),
            self.load(),
            ("Content-Type", "text/event-stream" if is_stream else "text/plain"),
        ]
        answer = encoded_answer(run.status, headers, body, call.method, framing)
        return run, answer, framing != "none" or call.method == "HEAD"

    async def _work(self, call: _Call) -> None:
        rng, writer = call.rng, call.writer
        work_s = rng.choice(_WORK_S)
        await asyncio.sleep(work_s / 2)
        for content in call.surplus_at("before_answer"):
            self._send(writer, content, "before_answer")
            if rng.random() < 0.5:
                await asyncio.sleep(0.003)
        for content in call.surplus_at("before_split"):
            cut = rng.randint(1, max(1, len(content) - 1))
            self._send(writer, content[:cut], "before_split")
            await asyncio.sleep(rng.choice((0.001, 0.01, 0.03)))
            if not writer.is_closing():
                writer.write(content[cut:])
        await asyncio.sleep(work_s / 2)

    async def _write(self, call: _Call, run: Run, answer: bytes) -> None:
        writer, options = call.writer, self.options
        if call.is_stream and run.status == 200:
            head, end, rest = answer.partition(b"\r\n\r\n")
            writer.write(head + end)
            for at in range(0, len(rest), _EVENT_PART_BYTES):
                writer.write(rest[at : at + _EVENT_PART_BYTES])
                await writer.drain()
                await asyncio.sleep(_EVENT_PART_INTERVAL_S)
        elif options.overlap and call.rng.random() < options.share:
            cut = call.rng.randint(1, len(answer) - 1)
            writer.write(answer[:cut])
            self._send(writer, self._last_answer, "inside")
            writer.write(answer[cut:])
        else:
            writer.write(answer)

    def _plan_surplus(self, call: _Call, answer: bytes) -> None:
        rng, options = call.rng, self.options
        if rng.random() >= options.share:
            return
        kind, place = rng.choice(options.kinds), rng.choice(options.places)
        surplus = self._surplus_answer(call, kind, answer)
        self.records.counts[f"kind {kind}"] += 1
        if place == "behind":
            self._send(call.writer, surplus, place)
        elif place == "late":
            delay_s = rng.choice(_LATE_S) * rng.random()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._send, call.writer, surplus, place)
        else:
            self._held[call.writer].append((place, surplus))

    def _surplus_answer(self, call: _Call, kind: str, answer: bytes) -> bytes:
        if "refusal" in kind:
            return self._surplus_refusal(call, kind)
        if kind.startswith("half"):
            whole = answer
            if kind == "half_head":
                whole = answer.partition(b"\r\n\r\n")[0]
            return whole[: call.rng.randint(1, len(whole))]
        id_line = f"Attempt-Id: {call.request_id}\r\n".encode()
        if kind == "interim":
            status = call.rng.choice((100, 102, 103))
            interim = f"HTTP/1.1 {status} Answer\r\n".encode() + id_line + b"\r\n"
            return interim + (answer if call.rng.random() < 0.5 else b"")
        return _changed_copy(kind, answer, id_line)

    def _surplus_refusal(self, call: _Call, kind: str) -> bytes:
        if kind == "refusal":
            return encoded_answer(503, [_NOT_EXECUTED, ("Attempt-Id", call.request_id)])
        if kind == "refusal_no_id":
            return encoded_answer(503, [_NOT_EXECUTED])
        padding = ("X-Pad", "xxxxxxxxxx")
        whole = encoded_answer(503, [_NOT_EXECUTED, self.load(), padding])
        return whole[: call.rng.randint(1, len(whole) - 1)]


def _changed_copy(kind: str, answer: bytes, id_line: bytes) -> bytes:
    if kind == "status":
        line, _, rest = answer.partition(b"\r\n")
        other = b"404" if b" 200 " in line else b"200"
        return b"HTTP/1.1 " + other + b" Answer\r\n" + rest
    if kind == "no_id":
        return answer.replace(id_line, b"", 1)
    if kind == "two_ids":
        return answer.replace(id_line, id_line + id_line, 1)
    if kind == "unsigned":
        lines = answer.split(b"\r\n")
        names = (b"Response-Signature", b"Attempt-Id")
        return b"\r\n".join(each for each in lines if not each.startswith(names))
    return answer
