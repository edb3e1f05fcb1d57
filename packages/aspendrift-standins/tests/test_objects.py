"""Tests of the object store stand-in."""

from __future__ import annotations

from aspendrift_standins.objects import ObjectOptions, ObjectStore


def test_object_is_kept_until_deleted() -> None:
    store = ObjectStore(ObjectOptions())
    assert store.get("k", 0)[0] == 404
    assert store.put("k", b"x", 0)[0] == 204
    assert store.get("k", 0) == (200, b"x")
    assert store.delete("k", 0)[0] == 204
    assert store.get("k", 0)[0] == 404


def test_writes_over_the_rate_are_refused() -> None:
    store = ObjectStore(ObjectOptions(writes_per_s=1))
    assert store.put("k", b"x", 0)[0] == 204
    assert store.delete("k", 0)[0] == 429
