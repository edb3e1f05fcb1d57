"""Tests of passing a list on as changes since a version."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from aspendrift_model.store_rows import StoreRow
from aspendrift_policy.change_log import ChangeLog

KEYS = ("a", "b", "c", "d")


def apply(values, changes):
    """Apply changes as a recipient does."""
    found = {} if changes.after < 0 else dict(values)
    for row in changes.rows:
        if row.value is None:
            found.pop(row.key, None)
        else:
            found[row.key] = row.value
    return found


def test_heartbeats_are_not_passed_on():
    log = ChangeLog()
    log.put("a", b"1", 5, is_changed=True)
    log.retain({"a"}, 5)
    log.put("a", b"2", 9, is_changed=False)
    assert log.since(5).rows == ()
    assert log.value_by_key == {"a": b"2"}


def test_removal_is_passed_on():
    log = ChangeLog()
    log.put("a", b"1", 5, is_changed=True)
    log.retain({"a"}, 5)
    log.remove("a", 8)
    assert log.since(5).rows == (StoreRow("a", 8, None),)
    assert log.since(8).rows == ()


def test_recipient_older_than_the_first_list_gets_all_rows():
    log = ChangeLog()
    log.put("a", b"1", 5, is_changed=True)
    log.retain({"a"}, 6)
    assert log.since(3).after == -1
    assert log.since(3).rows == (StoreRow("a", 5, b"1"),)


def test_recipient_older_than_forgotten_removals_gets_all_rows():
    log = ChangeLog()
    log.retain((), 1)
    for number in range(2000):
        log.put(f"k{number}", b"", 2 + 2 * number, is_changed=True)
        log.remove(f"k{number}", 3 + 2 * number)
    assert log.since(1).after == -1
    assert log.since(3900).after == 3900
    assert len(log.since(3000).rows) == 501


steps = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from(KEYS), st.integers(0, 3)),
        st.tuples(st.just("remove"), st.sampled_from(KEYS), st.just(0)),
        st.tuples(st.just("list"), st.sets(st.sampled_from(KEYS)), st.just(0)),
        st.tuples(st.just("sync"), st.integers(0, 1), st.just(0)),
    ),
    max_size=40,
)


@given(steps)
def test_recipients_end_with_the_values_of_the_log(script):
    log = ChangeLog()
    log.retain((), 0)
    values = [{}, {}]
    versions = [0, 0]
    version = 0
    for kind, key, number in script:
        version += 1
        if kind == "put":
            value = str(number).encode()
            log.put(key, value, version, log.value_by_key.get(key) != value)
        elif kind == "remove":
            log.remove(key, version)
        elif kind == "list":
            log.retain(key, version)
        else:
            values[key] = apply(values[key], log.since(versions[key]))
            versions[key] = version
            assert values[key] == log.value_by_key
