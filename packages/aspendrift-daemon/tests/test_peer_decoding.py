"""Tests of messages between daemons that can't be decoded."""

from __future__ import annotations

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.peer_decoding import PeerDecoder, PeerMessageDropped
from aspendrift_model.ids import DaemonId
from aspendrift_model.wire_work import OriginMessage, StreamBegan

LATER_KIND = msgspec.msgpack.encode(["later", 1, {"more": [2]}])


def decoder_with_log():
    hub, log = EventHub(), []
    hub.connect(PeerMessageDropped, log.append)
    found: PeerDecoder[OriginMessage] = PeerDecoder(OriginMessage, "o", hub)
    return found, log


def test_unknown_kinds_are_counted_and_logged_once_a_minute():
    """A peer of a later version sends a new kind many times per second.

    Without a line nobody learns that messages get lost; with one for each message the
    log fills the disk.
    """
    decoder, log = decoder_with_log()
    for index in range(1000):
        assert decoder.decode(DaemonId("d1"), LATER_KIND, index * 0.01) is None
    assert decoder.n_dropped == 1000
    assert log == [PeerMessageDropped("o", "d1", "later", 1)]
    assert decoder.decode(DaemonId("d1"), LATER_KIND, 61.0) is None
    assert log[1:] == [
        PeerMessageDropped("o", "d1", "later", 999),
        PeerMessageDropped("o", "d1", "later", 1),
    ]


def test_lines_are_bounded_while_hundreds_of_peers_are_of_a_later_version():
    decoder, log = decoder_with_log()
    for minute in range(3):
        for number in range(300):
            decoder.decode(DaemonId(f"d{number}"), LATER_KIND, minute * 60.0)
    assert len(log) == 3 * 8 + 2
    assert sum(each.n_messages for each in log) == 3 * 300 - 292


def test_messages_that_are_no_message_at_all_are_dropped():
    """What a peer sends must not end the task that receives from all peers."""
    decoder, log = decoder_with_log()
    nested = b"\x91" * 5000 + b"\xc0"
    for payload in (b"", b"\xc0", b"\x90", b"\x92\x01", b"\xa1q", nested):
        assert decoder.decode(DaemonId("d1"), payload, 0.0) is None
    assert [each.kind for each in log] == [""]
    known = msgspec.msgpack.encode(StreamBegan("a1", "v1"))
    assert decoder.decode(DaemonId("d1"), known, 0.0) == StreamBegan("a1", "v1")
