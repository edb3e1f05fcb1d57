"""Tests of passing a list on as changes since a version."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from aspendrift_model.store_rows import StorePosition, StoreRow
from aspendrift_policy.change_log import ChangeLog

KEYS = ("a", "b", "c", "d")


def at(version, era=0):
    return StorePosition(era, version)


def apply(values, changes):
    """Apply changes as a recipient does."""
    found = {} if changes.after is None else dict(values)
    for row in changes.rows:
        if row.value is None:
            found.pop(row.key, None)
        else:
            found[row.key] = row.value
    return found


def test_heartbeats_are_not_passed_on():
    log = ChangeLog()
    log.put("a", b"1", at(5), is_changed=True)
    log.retain({"a"}, at(5))
    log.put("a", b"2", at(9), is_changed=False)
    assert log.since(at(5)).rows == ()
    assert log.value_by_key == {"a": b"2"}


def test_removal_is_passed_on():
    log = ChangeLog()
    log.put("a", b"1", at(5), is_changed=True)
    log.retain({"a"}, at(5))
    log.remove("a", at(8))
    assert log.since(at(5)).rows == (StoreRow("a", 8, None),)
    assert log.since(at(8)).rows == ()


def test_recipient_older_than_the_first_list_gets_all_rows():
    log = ChangeLog()
    log.put("a", b"1", at(5), is_changed=True)
    log.retain({"a"}, at(6))
    assert log.since(at(3)).after is None
    assert log.since(at(3)).rows == (StoreRow("a", 5, b"1"),)


def test_recipient_older_than_forgotten_removals_gets_all_rows():
    log = ChangeLog()
    log.retain((), at(1))
    for number in range(2000):
        log.put(f"k{number}", b"", at(2 + 2 * number), is_changed=True)
        log.remove(f"k{number}", at(3 + 2 * number))
    assert log.since(at(1)).after is None
    assert log.since(at(3900)).after == at(3900)
    assert len(log.since(at(3000)).rows) == 501


steps = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from(KEYS), st.integers(0, 3)),
        st.tuples(st.just("remove"), st.sampled_from(KEYS), st.just(0)),
        st.tuples(st.just("list"), st.sets(st.sampled_from(KEYS)), st.just(0)),
        st.tuples(st.just("era"), st.sets(st.sampled_from(KEYS)), st.just(0)),
        st.tuples(st.just("sync"), st.integers(0, 1), st.just(0)),
    ),
    max_size=40,
)


@given(steps)
def test_recipients_end_with_the_values_of_the_log(script):
    log = ChangeLog()
    log.retain((), at(0))
    values = [{}, {}]
    positions = [at(0), at(0)]
    version = era = 0
    for kind, key, number in script:
        version += 1
        if kind == "era":
            # Versions go back; what the store lost stays until the list is read.
            era, version = era + 1, max(0, version - 3)
        position = at(version, era)
        if kind == "put":
            value = str(number).encode()
            log.put(key, value, position, log.value_by_key.get(key) != value)
        elif kind == "remove":
            log.remove(key, position)
        elif kind in ("list", "era"):
            log.retain(key, position)
        else:
            values[key] = apply(values[key], log.since(positions[key]))
            positions[key] = position
            assert values[key] == log.value_by_key


def test_recipient_of_an_earlier_era_gets_all_rows():
    log = ChangeLog()
    log.put("a", b"1", at(5), is_changed=True)
    log.retain({"a"}, at(5))
    log.retain({"a"}, at(3, era=1))
    assert log.since(at(9)).after is None
    assert log.since(at(9)).rows == (StoreRow("a", 5, b"1"),)
    assert log.since(at(3, era=1)).rows == ()
