"""Tests of the naive policies that serve as baselines in measurements."""

from __future__ import annotations

import random

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.pieces import PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.naive import AdmitAll, OneByOneScheduler, RoundRobinChooser
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.stage_scheduler import JobId, StageJob

RULES = EjectionRules(2, 1.0, 8.0, 0.0)
ZONE = ZoneName("z1")


def target(name):
    key = TargetKey(TargetId(name), 1)
    return TargetEntry(key, PoolName("p"), f"{name}:1", ZONE, 8, False)


def job(name, n_pieces, rank):
    works = tuple(
        PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
        for piece in range(n_pieces)
    )
    return StageJob(JobId(name), works, 0.0, rank, 10.0, 20.0)


def test_targets_are_chosen_round_robin_regardless_of_load():
    chooser = RoundRobinChooser(RULES, random.Random(0))
    entries = [target("a"), target("b")]
    chooser.reported(entries[0], LoadReport(8, 42, 8), 0.0)
    chosen = [
        chooser.choose(entries, ZONE, None, (), 0.0).key.target_id for _ in range(4)
    ]
    assert chosen == ["a", "b", "a", "b"]
    assert chooser.choose(entries, ZONE, None, {"a", "b"}, 0.0) is None


def test_pieces_go_one_a_call_in_the_order_of_their_jobs():
    scheduler = OneByOneScheduler(PieceLimits(1, 2, 8, 0.15, 0.01, 1e6, 4.0))
    scheduler.set_targets([target("a")])
    scheduler.submit(job("low", 2, rank=9))
    scheduler.submit(job("high", 2, rank=0))
    (call,) = scheduler.plan(0.0)
    assert [work.piece_id.attempt_id for work in call.works] == ["low"]


def test_every_chain_is_admitted():
    admission = AdmitAll(random.Random(0))
    assert admission.decide(None, -1.0, 0.0).predicted_s == 0.0
    assert not admission.is_backlogged(PoolName("p"), None, 1, 0, 0.0)
