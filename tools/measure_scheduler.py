"""Measure what a plan of a stage pool costs, by targets and queued jobs.

Prints a table in Markdown. Each cell is the median of some hundred plans of a pool
whose targets are all busy but one, as it is in a surge.
"""

from __future__ import annotations

import statistics
import time
from typing import Final

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

LIMITS: Final = PieceLimits(1, 2, 16, 0.15, 0.01, 100e6, 4.0)
TARGETS: Final = (3, 8, 40)
JOBS: Final = (10, 100, 1000)
N_PLANS: Final = 200
N_PIECES: Final = 8


def target(number: int) -> TargetEntry:
    """Return one target of the pool."""
    key = TargetKey(TargetId(f"t{number}"), 1)
    zone = ZoneName(f"z{number % 3}")
    return TargetEntry(key, PoolName("p"), f"10.0.0.{number}:1", zone, 1, False)


def job(number: int) -> StageJob:
    """Return one job of eight pieces."""
    works = tuple(
        PieceWork(PieceId(AttemptId(f"a{number}"), 0, piece), "k", ())
        for piece in range(N_PIECES)
    )
    return StageJob(JobId(f"j{number}"), works, 6e4, number % 3, 1e6, 1e6)


def plan_us(n_targets: int, n_jobs: int) -> float:
    """Return the median time of a plan, in microseconds."""
    scheduler = StageScheduler(LIMITS)
    scheduler.set_targets([target(number) for number in range(n_targets)])
    for number in range(n_jobs):
        scheduler.submit(job(number))
    now, number, took = 0.0, n_jobs, []
    calls = scheduler.plan(now)
    for _ in range(N_PLANS):
        now += 0.31 / n_targets
        call = calls.pop(0)
        handles = [
            Handle(f"{call.target.address}/{call.call_id}.{place}")
            for place in range(len(call.works))
        ]
        scheduler.ended(call.call_id, call.target.key, handles, now)
        scheduler.record_freed(handles)
        while scheduler.n_jobs < n_jobs:
            scheduler.submit(job(number))
            number += 1
        began = time.perf_counter()
        calls += scheduler.plan(now)
        took.append(time.perf_counter() - began)
    return statistics.median(took) * 1e6


def main() -> None:
    """Print the table."""
    print("| targets | " + " | ".join(f"{each} jobs" for each in JOBS) + " |")
    print("| --- |" + " --- |" * len(JOBS))
    for n_targets in TARGETS:
        cells = [f"{plan_us(n_targets, n_jobs):.0f} µs" for n_jobs in JOBS]
        print(f"| {n_targets} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
