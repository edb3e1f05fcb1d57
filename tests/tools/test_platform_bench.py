"""Tests of the parser for the tables of the bench."""

from __future__ import annotations

from platform_bench import SITES, arguments, read_result

SCORE_OUTPUT = """\
score on the standard days of a-site (set 1): 0.744, -0.024 against snapshot 2
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 6/28   0.73  0.791  0.937   0.000  0.009  worst windows 0.77
scale-1                 6/28   0.00 -0.074  0.551   0.440  0.076  worst class 0.00
GATE passed
"""
HUNT_OUTPUT = """\
mix --seed 6      8/24   0.77  0.773  0.912   0.000  0.020  prices 0.100
own.toml --vary --seed 1      8/24   0.00  0.598  0.811   0.008  0.074  BROKEN: LOST 2 (else 0.60)
"""  # noqa: E501


def test_score_has_its_gate_and_days():
    found = read_result("a-site", SCORE_OUTPUT)
    assert (found.gate, found.score) == ("passed", 0.744)
    assert found.worth_by_day == {"quiet-1": 0.791, "scale-1": -0.074}
    assert found.broken_by_day == {}


def test_broken_rules_are_named_by_day():
    found = read_result("a-site", HUNT_OUTPUT)
    assert found.gate == "not run"
    assert found.worth_by_day["mix --seed 6"] == 0.773
    assert found.broken_by_day == {"own.toml --vary --seed 1": "LOST 2"}


def test_bench_that_failed_has_no_days():
    assert read_result("a-site", "it broke\n").worth_by_day == {}


def site(name):
    return next(each for each in SITES if each.name == name)


def test_days_of_a_large_site_are_played_one_by_one():
    command = arguments("score", site("kaapwind-fleet-large"), 4, "", None, False)
    assert command[command.index("--jobs") + 1] == "1"
    small = arguments("score", site("kaapwind-fleet-large"), 4, "", None, True)
    assert small[small.index("--jobs") + 1] == "4"
    assert "--small" in small
    hunt = arguments("hunt", site("kaapwind-fleet-large"), 4, "", None, True)
    assert hunt[hunt.index("--jobs") + 1] == "1"
    assert "--small" not in hunt


def test_hunts_have_the_days_that_a_landing_needs():
    for name, days in (("kaapwind-fleet", "40"), ("pakkasafn-grown", "8")):
        command = arguments("hunt", site(name), 4, "why", None, False)
        assert command[command.index("--days") + 1] == days
        assert command[-2:] == ["--why", "why"]
