"""Tests of the stand-in of the membership list."""

from __future__ import annotations

from aspendrift_model.wire_platform import HostEntry
from aspendrift_standins.hostlist import HostEdit, HostListOptions, LaggingHosts


def test_edit_shows_after_the_lag() -> None:
    hosts = LaggingHosts(HostListOptions(lag_s=2))
    entry = HostEntry("d1", "http://127.0.0.1:1", "tcp://127.0.0.1:2", "a", "r")
    hosts.edit(HostEdit((entry,)), 10)
    hosts.edit(HostEdit((), ("d1",)), 11)
    assert hosts.visible(11.9).hosts == ()
    assert hosts.visible(12).hosts == (entry,)
    assert hosts.visible(13).hosts == ()
