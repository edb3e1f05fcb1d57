"""A body without end from one engine: other requests are answered meanwhile."""

from __future__ import annotations

import asyncio
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import (
    KEY,
    TROUBLE,
    Engine,
    answer,
    configuration,
    fetch,
    read_message,
    route,
    run,
)

PLAY_S = 60.0
STREAMS_PER_S = 16.0
DEPOSITS_PER_S = 12.0
# One engine of two is faulty, and spoils 2 in 100 of its answers.
SPOILED_EVERY = 50
# Of the site file: deposit-post and voyage-brief.
TIMEOUT_S, DEADLINE_S, WORK_S = 0.8, 1.5, 0.03
STREAM_TIMEOUT_MS = 15000
ENDLESS = b"1\r\n.\r\n" * 4000


class Model(Engine):
    """A model engine whose answers are streams; some are bytes without end."""

    is_faulty = False
    n_answers = 0
    n_spoiled = 0

    async def exchange(self, reader, writer):
        call = await read_message(reader)
        request_id = call.headers.get("attempt-id", "")
        if self.is_other(call):
            writer.write(
                answer(421, b"", [("Attempt-Id", request_id), ("Not-Executed", "1")])
            )
            return True
        self.n_answers += 1
        # Decided as the request comes, so that no more than one in so many is spoiled.
        is_spoiled = self.is_faulty and self.n_answers % SPOILED_EVERY == 0
        head = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request_id}",
            f"Response-Signature: {self.name}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        await asyncio.sleep(0.12)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        if is_spoiled:
            self.n_spoiled += 1
            await self.send_without_end(request_id, writer)
            return False
        for number in range(1, 21):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def send_without_end(self, request_id, writer):
        self.record.add("engine", self.name, "sends bytes without end to", request_id)
        n_sent = 0
        try:
            while not writer.is_closing():
                writer.write(ENDLESS)
                n_sent += len(ENDLESS)
                await writer.drain()
        finally:
            self.record.add(
                "engine", self.name, "was closed by its caller after", n_sent, "bytes"
            )


class Desk(Engine):
    """A sound engine of a plain service."""

    ran = None

    async def exchange(self, reader, writer):
        call = await read_message(reader)
        request_id = call.headers.get("attempt-id", "")
        if self.is_other(call):
            writer.write(
                answer(421, b"", [("Attempt-Id", request_id), ("Not-Executed", "1")])
            )
            return True
        async with self.turn:
            self.ran[request_id] = self.ran.get(request_id, 0) + 1
            self.record.add("engine", self.name, "runs", request_id)
            await asyncio.sleep(WORK_S)
        signed = [
            ("Attempt-Id", request_id),
            ("Response-Signature", f"{self.name}.{request_id}"),
        ]
        writer.write(answer(200, b"d" * 800, signed))
        await writer.drain()
        return True


class Deposits:
    """What became of the requests that may run once."""

    def __init__(self):
        self.n_sent = 0
        self.n_over_timeout = 0
        self.n_over_half_a_second_more = 0
        self.n_ran_and_lost = 0
        self.n_without_answer = 0


async def play(world):
    record, store = world.record, world.store
    models = [
        world.add(
            Model(
                store,
                record,
                f"i-model-{n}",
                "tidewriter",
                world.address(20 + n),
                slots=64,
            )
        )
        for n in range(2)
    ]
    desks = [
        world.add(
            Desk(
                store,
                record,
                f"i-desk-{n}",
                "berthdesk",
                world.address(30 + n),
                slots=6,
            )
        )
        for n in range(3)
    ]
    ran = {}
    for each in desks:
        each.ran = ran
    models[0].is_faulty = TROUBLE
    store.put(
        "op",
        "config",
        configuration(
            3,
            [
                route(
                    "r-draft",
                    "/draft/",
                    "streaming",
                    "tidewriter",
                    timeoutMs=STREAM_TIMEOUT_MS,
                    targetLatencyMs=1900,
                    targetGapMs=300,
                ),
                route(
                    "r-deposit",
                    "/deposit/",
                    "non_idempotent",
                    "berthdesk",
                    timeoutMs=int(TIMEOUT_S * 1000),
                    targetLatencyMs=150,
                ),
            ],
            [
                {"name": "tidewriter", "maxConns": 360, "healthPath": "/health"},
                {"name": "berthdesk", "maxConns": 96, "healthPath": "/health"},
            ],
        ),
    )
    gateways = [world.gateway(1)]
    await world.start()
    # Only what is sent to machines in touch counts: the first contactMs are left out.
    await asyncio.sleep(3.5)
    deposits, rng, tasks = Deposits(), random.Random(7), set()

    def begin(coroutine):
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    for each in gateways:
        begin(ask_ready(world, each))
    until = time.monotonic() + PLAY_S
    next_stream = next_deposit = time.monotonic()
    while (now := time.monotonic()) < until:
        if now >= next_stream:
            next_stream += rng.expovariate(STREAMS_PER_S)
            begin(send_stream(world, rng.choice(gateways)))
        if now >= next_deposit:
            next_deposit += rng.expovariate(DEPOSITS_PER_S)
            begin(send_deposit(world, rng.choice(gateways), deposits, ran))
        await asyncio.sleep(max(0.0, min(next_stream, next_deposit) - time.monotonic()))
    await asyncio.sleep(STREAM_TIMEOUT_MS / 1000 + 1.0)
    over, late = deposits.n_over_timeout, deposits.n_over_half_a_second_more
    faulty = models[0]
    spoiled = (faulty.n_spoiled, "of", faulty.n_answers)
    record.add("answers spoiled by the faulty engine:", *spoiled)
    record.add("deposits sent:", deposits.n_sent)
    record.add("without an answer at their route's timeoutMs:", over)
    record.add("without a final answer 0.5 s later:", late)
    record.add(
        "run by an engine, but answered with 502 or 504, or not at all:",
        deposits.n_ran_and_lost,
    )
    if late >= 8 and late > over / 4:
        record.breach(
            "CONFIG",
            late,
            "of",
            over,
            "requests have no final answer 0.5 s after timeoutMs",
        )


async def ask_ready(world, gateway):
    """Ask once per second whether a machine is ready, as the platform does."""
    for _ in range(int(PLAY_S)):
        began = time.monotonic()
        try:
            found = await fetch(
                gateway.ready, "GET", "/-/ready", {"Host": gateway.ready}, timeout_s=1.0
            )
            said = found.status
        except (OSError, TimeoutError, EOFError):
            said = "nothing within 1 s"
        if said != 200:
            world.record.add(gateway.name, "asked whether it is ready, answers", said)
        await asyncio.sleep(max(0.0, began + 1.0 - time.monotonic()))


def headers(request_id, deadline_s):
    return {
        "Host": "pule25.example",
        "Attempt-Id": request_id,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        "Credential": KEY,
    }


async def send_stream(world, gateway):
    request_id = secrets.token_hex(8)
    found = headers(request_id, STREAM_TIMEOUT_MS / 1000)
    found |= {
        "Model": "m",
        "Token-Usage": "1460,80",
        "Prompt-Prefix": f"{request_id[:8]}:1460",
    }
    try:
        got = await fetch(gateway.front, "POST", "/draft/2f", found, b"prompt", 17.0)
        world.record.add(
            "client of a stream gets",
            request_id,
            got.status,
            "complete" if got.is_complete else "cut",
        )
    except (OSError, TimeoutError, EOFError) as error:
        world.record.add("client of a stream gets", request_id, type(error).__name__)


async def send_deposit(world, gateway, deposits, ran):
    request_id = secrets.token_hex(8)
    deposits.n_sent += 1
    world.record.add("client sends", request_id, "to", gateway.name)
    began, status = time.monotonic(), None
    try:
        got = await fetch(
            gateway.front,
            "POST",
            "/deposit/2f",
            headers(request_id, DEADLINE_S),
            b"deposit",
            DEADLINE_S,
        )
        status = got.status if got.is_complete else None
    except (OSError, TimeoutError, EOFError):
        pass
    took_s = time.monotonic() - began
    # A client that waits no longer than its deadline has no answer at that time.
    deposits.n_over_timeout += took_s > TIMEOUT_S
    deposits.n_over_half_a_second_more += took_s > TIMEOUT_S + 0.5
    deposits.n_ran_and_lost += ran.get(request_id, 0) > 0 and status != 200
    world.record.add(
        "client gets", request_id, status or "no answer", f"after {took_s:.3f} s"
    )


run(__file__, play)
