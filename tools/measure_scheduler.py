"""Measure the time of a plan of a stage pool by targets and queued jobs.

Prints a Markdown table. Each cell is the median of N_PLANS plans of a pool in which
all targets but one are busy, as in a surge.
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
    """Return a target of the pool."""
    key = TargetKey(TargetId(f"t{number}"), 1)
    zone = ZoneName(f"z{number % 3}")
    return TargetEntry(key, PoolName("p"), f"10.0.0.{number}:1", zone, 1, False)


def job(number: int) -> StageJob:
    """Return a stage job with N_PIECES pieces."""
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
    now, number, durations_s = 0.0, n_jobs, []
    calls = scheduler.plan(now)
    for _ in range(N_PLANS):
        now += 0.31 / n_targets
        call = calls.pop(0)
        handles = [
            Handle(f"{call.target.address}/{call.call_id}.{index}")
            for index in range(len(call.works))
        ]
        scheduler.ended(call.call_id, call.target.key, handles, now)
        scheduler.record_freed(handles)
        while scheduler.n_jobs < n_jobs:
            scheduler.submit(job(number))
            number += 1
        started = time.perf_counter()
        calls += scheduler.plan(now)
        durations_s.append(time.perf_counter() - started)
    return statistics.median(durations_s) * 1e6


def main() -> None:
    """Print the table."""
    print("| targets | " + " | ".join(f"{each} jobs" for each in JOBS) + " |")
    print("| --- |" + " --- |" * len(JOBS))
    for n_targets in TARGETS:
        cells = [f"{plan_us(n_targets, n_jobs):.0f} µs" for n_jobs in JOBS]
        print(f"| {n_targets} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
