"""Stage engines and model engines for the cases."""

from __future__ import annotations

import asyncio
import json
import secrets

from world import Engine, answer, read_message


class Results:
    """The results that all engines of a deployment hold, by handle."""

    def __init__(self):
        self.by_handle = {}
        # Of every handle that was ever given: request, stage and piece.
        self.made = {}


class StageEngine(Engine):
    """An engine of a stage's service: calls wait for its turn, then work."""

    def __init__(
        self, *args, results, call_s, item_s, handle_s=4.0, queue=2, after=None, **kw
    ):
        super().__init__(*args, **kw)
        self.results = results
        self.call_s = call_s
        self.item_s = item_s
        self.handle_s = handle_s
        self.queue = queue
        # Stages whose results a stage needs, and what a client asked for, by request.
        self.after = after or {}
        self.pieces_by_id = {}
        self.n_answers = 0
        self.n_extra = 0
        # While it is faulty, one in so many answers is sent once more, late.
        self.is_faulty = lambda: False
        self.extra_every = 1
        self.n_while_faulty = 0

    async def serve(self, reader, writer):
        writer.copy = b""
        await super().serve(reader, writer)

    async def exchange(self, reader, writer):
        call = await read_message(reader)
        if writer.copy:
            # The extra answer comes late: where the next one is expected.
            self.n_extra += 1
            self.record.add(
                "engine", self.name, "sends an extra answer before that to", call.path
            )
            writer.write(writer.copy)
            writer.copy = b""
        found = await self.result(call)
        self.n_answers += 1
        writer.write(found)
        await writer.drain()
        if self.is_faulty():
            self.n_while_faulty += 1
            if self.n_while_faulty % self.extra_every == 0:
                writer.copy = found
        return True

    async def result(self, call):
        if self.is_other(call):
            return answer(421, b"", [("Not-Executed", "1"), self.load()])
        if call.path == "/-/stage-run":
            return await self.run(json.loads(call.body)["items"])
        if call.path == "/-/stage-free":
            for handle in json.loads(call.body)["handles"]:
                self.results.by_handle.pop(handle, None)
            return answer(200, {}, [self.load()])
        if call.path == "/-/report":
            return answer(
                200,
                {"waiting": self.n_waiting, "busy": bool(self.n_running), "freeMb": 10},
            )
        return answer(404)

    async def run(self, items):
        if self.n_waiting >= self.queue:
            return answer(503, b"", [("Not-Executed", "1"), self.load()])
        self.n_waiting += 1
        async with self.turn:
            self.n_waiting -= 1
            self.n_running += 1
            try:
                outcomes = await self.work(items)
            finally:
                self.n_running -= 1
        headers = [("Content-Type", "application/json"), self.load()]
        return answer(200, {"items": outcomes}, headers)

    async def work(self, items):
        outcomes = []
        for item in items:
            self.check(item)
        gone = [
            any(each not in self.results.by_handle for each in item.get("inputs", ()))
            for item in items
        ]
        await asyncio.sleep(self.call_s + self.item_s * len(items))
        for item, is_gone in zip(items, gone, strict=True):
            if is_gone:
                outcomes.append({"reason": "gone"})
                continue
            handle = f"{self.address}/{secrets.token_hex(6)}"
            piece = (item["id"], item["stage"], item["piece"])
            self.results.by_handle[handle] = piece
            self.results.made[handle] = piece
            loop = asyncio.get_running_loop()
            loop.call_later(self.handle_s, self.results.by_handle.pop, handle, None)
            outcomes.append({"handle": handle})
        ids = " ".join(
            f"{each['id']}/{each['stage']}/{each['piece']}" for each in items
        )
        self.record.add("engine", self.name, "ran", ids)
        return outcomes

    def check(self, item):
        """Check what a piece is given against what its request asked for."""
        asked = self.pieces_by_id.get(item["id"])
        if asked is None or item["piece"] >= asked[item["stage"]]:
            self.record.breach(
                "UNASKED", self.name, item["id"], item["stage"], item["piece"]
            )
            return
        needed = self.after.get(item["stage"], ())
        check_inputs(self, item["id"], item.get("inputs", []), needed, asked)


def check_inputs(engine, request_id, inputs, needed, asked):
    """Check that handles are those of all pieces of some stages of one request."""
    made = engine.results.made
    wanted = {
        (request_id, stage, piece) for stage in needed for piece in range(asked[stage])
    }
    given = [made.get(each) for each in inputs]
    where = (engine.name, request_id)
    for handle, piece in zip(inputs, given, strict=True):
        if piece is None:
            engine.record.breach("MIXED", *where, "unknown handle", handle)
        elif piece[0] != request_id:
            engine.record.breach(
                "MIXED",
                *where,
                "is given",
                handle,
                "which is piece",
                piece[1:],
                "of request",
                piece[0],
            )
        elif piece not in wanted:
            engine.record.breach(
                "MIXED", *where, "is given a result of stage", piece[1]
            )
    if len(set(given)) != len(given):
        engine.record.breach("MIXED", *where, "is given one input twice")
    if not wanted.issubset(given):
        engine.record.breach(
            "MIXED", *where, "is given only some inputs", len(given), "of", len(wanted)
        )


class ModelEngine(Engine):
    """A model engine: fetches its inputs, then answers with a stream."""

    def __init__(self, *args, results, last_stages, n_events=20, gap_s=0.03, **kw):
        super().__init__(*args, **kw)
        self.results = results
        self.last_stages = last_stages
        self.n_events = n_events
        self.gap_s = gap_s
        self.pieces_by_id = {}
        self.ran = {}

    async def exchange(self, reader, writer):
        call = await read_message(reader)
        request_id = call.headers.get("attempt-id", "")
        if self.is_other(call):
            writer.write(
                answer(421, b"", [("Attempt-Id", request_id), ("Not-Executed", "1")])
            )
            return True
        asked = self.pieces_by_id.get(request_id)
        if asked is None:
            self.record.breach("UNASKED", self.name, request_id)
            asked = ()
        inputs = [each for each in call.headers.get("inputs", "").split(",") if each]
        refused = [("Attempt-Id", request_id), ("Not-Executed", "1"), self.load()]
        if not inputs:
            writer.write(answer(400, b"", refused))
            return True
        check_inputs(self, request_id, inputs, self.last_stages, asked)
        if any(each not in self.results.by_handle for each in inputs):
            writer.write(answer(409, b"", refused))
            return True
        self.n_running += 1
        try:
            await self.stream(request_id, writer)
        finally:
            self.n_running -= 1
        return True

    async def stream(self, request_id, writer):
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        self.record.add("engine", self.name, "runs", request_id)
        if self.ran[request_id] > 1:
            self.record.breach("TWICE", self.name, request_id)
        head = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request_id}",
            f"Response-Signature: {self.name}.{request_id}",
            f"Engine-Load: {self.n_running},{self.n_waiting},{self.slots}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        await asyncio.sleep(0.12)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(1, self.n_events + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
