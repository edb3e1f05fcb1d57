"""Tests of which features of a peer are relied upon."""

from __future__ import annotations

from aspendrift_model.ids import DaemonId
from aspendrift_model.states import PeerFeature
from aspendrift_policy.peer_features import FeatureTracker, encoded_features

OWN, PEER = DaemonId("own"), DaemonId("peer")


def test_a_feature_counts_only_for_the_incarnation_that_announced_it() -> None:
    """The view may know of a restart before any message of the new process."""
    tracker = FeatureTracker(OWN, ())
    tracker.announced(PEER, encoded_features(PeerFeature))
    assert not tracker.supports(PEER, 1, PeerFeature.PERMITS)
    assert tracker.record_message(PEER, 1)
    tracker.announced(PEER, encoded_features(PeerFeature))
    assert tracker.supports(PEER, 1, PeerFeature.PERMITS)
    assert not tracker.supports(PEER, 2, PeerFeature.PERMITS)
    assert tracker.record_message(PEER, 2)
    assert not tracker.supports(PEER, 2, PeerFeature.PERMITS)
    assert not tracker.record_message(PEER, 1)
    tracker.retain(())
    assert tracker.record_message(PEER, 1)


def test_a_peer_lacks_a_feature_only_once_it_has_shown_that() -> None:
    """After a loss of power nobody has announced anything yet.

    If silence counted as a lack, each daemon would take itself for the only one that
    has the feature.
    """
    tracker = FeatureTracker(OWN, PeerFeature)
    assert not tracker.lacks(PEER, 1, PeerFeature.PERMITS)
    tracker.record_message(PEER, 1)
    assert not tracker.lacks(PEER, 1, PeerFeature.PERMITS)
    tracker.announced(PEER, 0)
    assert tracker.lacks(PEER, 1, PeerFeature.PERMITS)
    assert tracker.n_changes == 1
    tracker.record_message(PEER, 2)
    assert not tracker.lacks(PEER, 2, PeerFeature.PERMITS)
    assert not tracker.lacks(OWN, 1, PeerFeature.PERMITS)


def test_features_of_a_later_version_are_ignored() -> None:
    """A bit that this version doesn't know must not hide those that it knows."""
    tracker = FeatureTracker(OWN, [PeerFeature.TARGET_LOADS])
    tracker.record_message(PEER, 1)
    tracker.announced(PEER, 1 << 40 | encoded_features([PeerFeature.EVACUATIONS]))
    supported = {each for each in PeerFeature if tracker.supports(PEER, 1, each)}
    assert supported == {PeerFeature.EVACUATIONS}
    assert tracker.supports(OWN, 1, PeerFeature.TARGET_LOADS)
    assert not tracker.supports(OWN, 1, PeerFeature.PERMITS)
