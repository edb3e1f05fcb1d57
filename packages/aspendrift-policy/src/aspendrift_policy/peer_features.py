"""Features of the builds that run beside each other, as each daemon announces them.

A feature is relied upon only if the daemon that has to understand it has announced it
itself, in its present incarnation. A build that knows no announcements sends none, so
it supports nothing here. The state is one entry for each daemon in view.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from aspendrift_model.ids import DaemonId
from aspendrift_model.states import PeerFeature

__all__ = ["FeatureTracker", "encoded_features"]


def encoded_features(features: Iterable[PeerFeature]) -> int:
    """Return features as they are announced: the bit of each one's value is set."""
    return sum(1 << feature.value for feature in frozenset(features))


@dataclass(slots=True)
class _Announced:
    """The latest incarnation of a daemon that sent a message, and its features."""

    incarnation: int
    # None until it announced some, or showed that it announces none.
    features: int | None = None


class FeatureTracker:
    """What each daemon in view has announced, and what this daemon announces.

    Parameters
    ----------
    own_id : DaemonId
        This daemon, which supports what it announces.
    own_features : iterable of PeerFeature
        Features that this daemon announces.
    """

    def __init__(self, own_id: DaemonId, own_features: Iterable[PeerFeature]) -> None:
        self._own_id = own_id
        self.own_encoded = encoded_features(own_features)
        self._by_id: dict[DaemonId, _Announced] = {}
        self.n_changes = 0

    def record_message(self, daemon_id: DaemonId, incarnation: int) -> bool:
        """Record a message of a daemon in view; return False if it is of an old one.

        After a restart nothing is known until the daemon has announced it again: the
        other process may be of another build.
        """
        known = self._by_id.get(daemon_id)
        if known is None or incarnation > known.incarnation:
            self._by_id[daemon_id] = _Announced(incarnation)
            self.n_changes += known is not None
            return True
        return incarnation == known.incarnation

    def announced(self, daemon_id: DaemonId, features: int) -> None:
        """Record what a daemon announced in the message that was recorded last."""
        known = self._by_id.get(daemon_id)
        if known is not None and known.features != features:
            known.features = features
            self.n_changes += 1

    def supports(
        self, daemon_id: DaemonId, incarnation: int, feature: PeerFeature
    ) -> bool:
        """Return whether a daemon announced a feature in an incarnation or later."""
        features = self._features(daemon_id, incarnation)
        return features is not None and _has(features, feature)

    def lacks(
        self, daemon_id: DaemonId, incarnation: int, feature: PeerFeature
    ) -> bool:
        """Return whether what a daemon announced in an incarnation lacks a feature.

        False as long as nothing is known of the daemon.
        """
        features = self._features(daemon_id, incarnation)
        return features is not None and not _has(features, feature)

    def retain(self, daemon_ids: Container[DaemonId]) -> None:
        """Forget the daemons that are no longer in view."""
        self._by_id = {
            daemon_id: announced
            for daemon_id, announced in self._by_id.items()
            if daemon_id in daemon_ids
        }

    def _features(self, daemon_id: DaemonId, incarnation: int) -> int | None:
        if daemon_id == self._own_id:
            return self.own_encoded
        known = self._by_id.get(daemon_id)
        if known is None or known.incarnation < incarnation:
            return None
        return known.features


def _has(features: int, feature: PeerFeature) -> bool:
    return bool(features >> feature.value & 1)
