"""Measure how the memory and processor time of each role grow with its size.

Each role is measured at several sizes; the slope is that of the least-squares line
through the results. Memory is the memory allocated by Python, and for peer links
the resident memory of the process. The last line is ``RESULT`` and a JSON object.
"""

from __future__ import annotations

import gc
import json
import multiprocessing
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any, Final

import msgspec
import psutil
import zmq

from aspendrift_model.accounts import ClientAccount
from aspendrift_model.contracts import Contract
from aspendrift_model.hosts import Location
from aspendrift_model.ids import (
    AccountId,
    DaemonId,
    ModelName,
    PoolName,
    ProfileName,
    RegionName,
    StageName,
    TargetId,
    ZoneName,
)
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import ItemKind, StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_peer import ItemRecord, Snapshot
from aspendrift_policy.configuration_log import ConfigurationLog, encode_item
from aspendrift_policy.fairness import FairShares, UsageDigest
from aspendrift_policy.router import TargetPool

SIZES: Final = (100, 300, 600, 1000, 2600)
LINK_SIZES: Final = (10, 50, 100, 200, 350)
N_STAGES: Final = 6
N_ROUNDS: Final = 5
N_POOLS_AND_MODELS: Final = 96
N_DIGESTS: Final = (8, 24, 48, 96)
KIB: Final = 1024


def target(index: int) -> Target:
    """Return an engine with names of typical length."""
    return Target(
        TargetId(f"engine-{index:04}"),
        PoolName("engines"),
        TargetKind.ENGINE,
        f"https://10.2.{index % 256}.17:8443",
        ZoneName(f"zone-{index % 11}"),
        RegionName(f"region-{index % 3}"),
        models=(ModelName("model-01"), ModelName("model-02")),
    )


def account(index: int) -> ClientAccount:
    """Return a client account."""
    return ClientAccount(AccountId(f"account-{index:04}"), f"{index:064x}")


def profile(index: int) -> Profile:
    """Return a profile with N_STAGES stages."""
    stages = tuple(
        Stage(StageName(f"stage-{n}"), StageKind.ENCODE, PoolName(f"pool-{n}"))
        for n in range(N_STAGES)
    )
    return Profile(ProfileName(f"profile-{index:04}"), stages, Contract(6000))


def snapshot(kind: ItemKind, n_items: int) -> Snapshot:
    """Return a snapshot with items of one kind."""
    factories: dict[ItemKind, Callable[[int], Any]] = {
        ItemKind.TARGET: target,
        ItemKind.ACCOUNT: account,
        ItemKind.PROFILE: profile,
    }
    items = []
    for index in range(n_items):
        item = factories[kind](index)
        name = getattr(item, "target_id", None) or getattr(item, "account_id", None)
        name = name or item.name
        items.append(ItemRecord(kind, name, index + 1, encode_item(item)))
    return Snapshot(n_items, 0, tuple(items))


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that a new object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return n_bytes


def processor_time_us(work: Callable[[], object]) -> float:
    """Return the processor time of a call, the minimum of N_ROUNDS rounds."""
    times = []
    for _ in range(N_ROUNDS):
        started = time.process_time()
        work()
        times.append((time.process_time() - started) * 1e6)
    return min(times)


def slope(sizes: tuple[int, ...], values: list[float]) -> dict[str, float]:
    """Return the least-squares line through measured values."""
    line = statistics.linear_regression(sizes, values)
    return {"per_item": round(line.slope, 3), "fixed": round(line.intercept, 1)}


def configuration_slopes(kind: ItemKind) -> dict[str, Any]:
    """Return memory and time of the configuration by the number of items."""
    memory: list[float] = []
    load_us: list[float] = []
    build_us: list[float] = []
    for n_items in SIZES:
        source = snapshot(kind, n_items)
        encoded = msgspec.msgpack.encode(source)

        def build(encoded: bytes = encoded) -> ConfigurationLog:
            log = ConfigurationLog()
            log.load(msgspec.msgpack.decode(encoded, type=Snapshot))
            return log

        log = build()
        memory.append(allocated_bytes(build))
        load_us.append(processor_time_us(build))
        build_us.append(processor_time_us(log.configuration))
    return {
        "bytes": slope(SIZES, memory),
        "load_us": slope(SIZES, load_us),
        "configuration_us": slope(SIZES, build_us),
    }


def pool_slopes() -> dict[str, Any]:
    """Return memory and time of a pool by the number of targets."""
    memory: list[float] = []
    refresh_us: list[float] = []
    settings = RoutingSettings()
    location = Location(ZoneName("zone-1"), RegionName("region-1"))
    for n_targets in SIZES:
        targets = [target(index) for index in range(n_targets)]

        def build(targets: list[Target] = targets) -> TargetPool:
            pool = TargetPool(settings, location, random.Random(1))
            pool.configure(targets, 0.0)
            return pool

        pool = build()
        memory.append(allocated_bytes(build))
        refresh_us.append(
            processor_time_us(lambda pool=pool: pool.refresh(1.0, 0, 1.0))
        )
    return {"bytes": slope(SIZES, memory), "refresh_us": slope(SIZES, refresh_us)}


def shares_of(n_accounts: int) -> FairShares:
    """Return fair shares of accounts that all sent a request within the window."""
    shares = FairShares()
    for index in range(n_accounts):
        account_id = AccountId(f"account-{index:04}")
        shares.record_offered(account_id, 0.001 + index * 1e-6, 1.0)
        shares.record_admitted(account_id, 0.001, 1.0)
    for index in range(N_POOLS_AND_MODELS):
        shares.record_demand(f"pool-{index}", 0.1, 1.0)
    return shares


def account_slopes() -> dict[str, Any]:
    """Return memory, time and message size of fair shares by active accounts."""
    memory: list[float] = []
    digest_us: list[float] = []
    level_us: list[float] = []
    sizes: list[float] = []
    for n_accounts in SIZES:
        shares = shares_of(n_accounts)
        memory.append(allocated_bytes(lambda n=n_accounts: shares_of(n)))
        digest_us.append(processor_time_us(lambda shares=shares: shares.digest(2.0)))
        sizes.append(len(msgspec.msgpack.encode(shares.digest(2.0))))
        times = iter(range(100, 100 + N_ROUNDS))
        level_us.append(
            processor_time_us(
                lambda shares=shares, times=times: shares.over_share(
                    AccountId("account-0001"), {}, 350, float(next(times))
                )
            )
        )
    return {
        "bytes": slope(SIZES, memory),
        "digest_us": slope(SIZES, digest_us),
        "level_us": slope(SIZES, level_us),
        "digest_bytes": slope(SIZES, sizes),
    }


def digest_slopes() -> dict[str, Any]:
    """Return memory and time by the number of retained peer digests."""
    encoded = msgspec.msgpack.encode(shares_of(2600).digest(2.0))
    memory: list[float] = []
    decode_us = processor_time_us(
        lambda: msgspec.msgpack.decode(encoded, type=UsageDigest)
    )

    def build(n_digests: int) -> FairShares:
        shares = FairShares()
        for index in range(n_digests):
            digest = msgspec.msgpack.decode(encoded, type=UsageDigest)
            shares.apply_digest(DaemonId(f"entry-{index}"), digest, 1.0)
        return shares

    for n_digests in N_DIGESTS:
        memory.append(allocated_bytes(lambda n=n_digests: build(n)))
    return {"bytes": slope(N_DIGESTS, memory), "decode_us": round(decode_us, 1)}


def _bind_links(n_links: int, pipe: Connection) -> None:
    """Bind the remote ends of links and send their endpoints to the parent."""
    context = zmq.Context()
    public, secret = zmq.curve_keypair()
    sockets = []
    for _ in range(n_links):
        socket = context.socket(zmq.PULL)
        socket.curve_secretkey = secret
        socket.curve_publickey = public
        socket.curve_server = True
        socket.bind("tcp://127.0.0.1:0")
        sockets.append(socket)
    endpoints = [s.getsockopt_string(zmq.LAST_ENDPOINT) for s in sockets]
    pipe.send((public, endpoints))
    pipe.recv()
    for socket in sockets:
        socket.close(linger=0)


def link_memory(n_links: int) -> float:
    """Return the resident memory of encrypted links to ``n_links`` peers, in bytes."""
    parent_end, child_end = multiprocessing.Pipe()
    peer = multiprocessing.get_context("spawn").Process(
        target=_bind_links, args=(n_links, child_end)
    )
    peer.start()
    server_key, endpoints = parent_end.recv()
    context = zmq.Context()
    public, secret = zmq.curve_keypair()
    before = psutil.Process().memory_info().rss
    sockets = []
    for endpoint in endpoints:
        socket = context.socket(zmq.PUSH)
        socket.curve_secretkey = secret
        socket.curve_publickey = public
        socket.curve_serverkey = server_key
        socket.connect(endpoint)
        socket.send(b"x" * 200)
        sockets.append(socket)
    time.sleep(1.0)
    after = psutil.Process().memory_info().rss
    for socket in sockets:
        socket.close(linger=0)
    context.term()
    parent_end.send(None)
    peer.join()
    return float(after - before)


def link_slopes() -> dict[str, Any]:
    """Return the resident memory by the number of peer links."""
    memory = [link_memory(n_links) for n_links in LINK_SIZES]
    return {"resident_bytes": slope(LINK_SIZES, memory)}


def main() -> None:
    """Measure every role and print the slopes."""
    result = {
        "links": link_slopes(),
        "configuration_targets": configuration_slopes(ItemKind.TARGET),
        "configuration_accounts": configuration_slopes(ItemKind.ACCOUNT),
        "configuration_profiles": configuration_slopes(ItemKind.PROFILE),
        "router_targets": pool_slopes(),
        "fair_share_accounts": account_slopes(),
        "fair_share_digests": digest_slopes(),
    }
    for role, slopes in result.items():
        print(role)
        for name, line in slopes.items():
            print(f"    {name}: {line}")
    print("RESULT " + json.dumps(result))


if __name__ == "__main__":
    main()
