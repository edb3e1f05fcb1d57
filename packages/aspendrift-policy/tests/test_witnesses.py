"""Tests of the selection of witnesses."""

from __future__ import annotations

from aspendrift_model.hosts import Host, Location
from aspendrift_model.states import MemberState
from aspendrift_policy.witnesses import choose_witnesses, witness_ids

IDS = [f"d{i}" for i in range(20)]


def test_all_daemons_choose_the_same_witnesses():
    for request in range(50):
        chosen = choose_witnesses(request, IDS, 3)
        assert chosen == choose_witnesses(request, reversed(IDS), 3)
        assert len(set(chosen)) == 3


def test_a_changed_view_keeps_most_witnesses():
    for request in range(50):
        before = set(choose_witnesses(request, IDS, 3))
        after = set(choose_witnesses(request, IDS[1:], 3))
        assert len(before & after) >= 2


def test_witnesses_are_spread():
    counts = dict.fromkeys(IDS, 0)
    for request in range(1000):
        for daemon_id in choose_witnesses(request, IDS, 3):
            counts[daemon_id] += 1
    assert min(counts.values()) > 75
    assert max(counts.values()) < 225


def test_absent_daemons_are_no_witnesses():
    members = [
        (Host(f"d{i}", 1, Location("z", "r"), "", ""), state)
        for i, state in enumerate(MemberState)
    ]
    present = witness_ids(members)
    n_absent = len(MemberState) - len(present)
    assert n_absent == 2
