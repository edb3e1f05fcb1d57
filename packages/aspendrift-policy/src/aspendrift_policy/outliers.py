"""Outlier ejection: temporary exclusion of failing targets, with probes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

from aspendrift_model.states import AttemptEnd

__all__ = ["EjectionRules", "HealthState", "TargetHealth"]

_FAILURES: Final = frozenset(
    {AttemptEnd.NOT_SENT, AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT, AttemptEnd.REJECTED}
)
_EJECTION_JITTER_SHARE: Final = 0.2
_MISSED_POLLS_TO_UNREACHABLE: Final = 3
_MIN_SLOW_START_SHARE: Final = 0.2


class HealthState(Enum):
    """Whether a target may be chosen; PROBING means that a probe is in flight."""

    OPEN = "open"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class EjectionRules:
    """Thresholds and durations of ejections; times in seconds."""

    failures_to_eject: int
    ejection_s: float
    max_ejection_s: float
    slow_start_s: float


class TargetHealth:
    """Health of one target, from attempts and load polls.

    Parameters
    ----------
    rules : EjectionRules
        Thresholds and durations.
    opened_at : float
        Time at which the target was added; minus infinity skips the slow start.
    """

    __slots__ = (
        "_missed_polls",
        "_n_ejections",
        "_n_failures",
        "_opened_at",
        "_rules",
        "ejected_until",
        "state",
    )

    def __init__(self, rules: EjectionRules, opened_at: float) -> None:
        self._rules = rules
        self._opened_at = opened_at
        self._n_failures = 0
        self._n_ejections = 0
        self._missed_polls = 0
        self.state = HealthState.OPEN
        self.ejected_until = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Whether the target no longer answers load polls."""
        return self._missed_polls >= _MISSED_POLLS_TO_UNREACHABLE

    def attempt_ended(
        self, end: AttemptEnd, now: float, rng: random.Random, may_eject: bool
    ) -> None:
        """Update the health from the end of an attempt.

        ``may_eject`` is whether the limit on ejected targets allows one more. A
        refused connection ejects the target at once, whatever the limit, because no
        process listens at its address.
        """
        if end is AttemptEnd.ANSWERED:
            self._record_success(now)
        elif end in _FAILURES:
            if end is AttemptEnd.NOT_SENT:
                self._n_failures = self._rules.failures_to_eject
            is_down = end is AttemptEnd.NOT_SENT or self.is_unreachable
            self._record_failure(now, rng, may_eject or is_down)
        elif self.state is HealthState.PROBING:
            self.state = HealthState.EJECTED

    def poll_answered(self) -> None:
        """Record that the target answered a load poll."""
        self._missed_polls = 0

    def poll_missed(self, now: float, rng: random.Random) -> None:
        """Record that the target did not answer a load poll."""
        self._missed_polls += 1
        if self.is_unreachable and self.state is HealthState.OPEN:
            self._eject(now, rng)

    def may_probe(self, now: float) -> bool:
        """Return whether an ejected target is due for a probe request."""
        due = self.state is HealthState.EJECTED and now >= self.ejected_until
        return due and not self.is_unreachable

    def probe_sent(self) -> None:
        """Record that the probe request is sent."""
        self.state = HealthState.PROBING

    def slow_start_share(self, now: float) -> float:
        """Return the share of the target's slots to use now; below 1 in slow start."""
        window_s = self._rules.slow_start_s
        elapsed_s = now - self._opened_at
        if elapsed_s >= window_s:
            return 1.0
        return max(_MIN_SLOW_START_SHARE, elapsed_s / window_s)

    def _record_success(self, now: float) -> None:
        self._n_failures = 0
        if self.state is HealthState.OPEN:
            return
        self.state = HealthState.OPEN
        self._opened_at = now

    def _record_failure(self, now: float, rng: random.Random, may_eject: bool) -> None:
        self._n_failures += 1
        if self.state is HealthState.PROBING:
            self._eject(now, rng)
        elif self.state is HealthState.OPEN and may_eject:
            if self._n_failures >= self._rules.failures_to_eject:
                self._eject(now, rng)

    def _eject(self, now: float, rng: random.Random) -> None:
        rules = self._rules
        if now - self._opened_at > rules.max_ejection_s:
            self._n_ejections = 0
        duration_s = min(rules.max_ejection_s, rules.ejection_s * 2**self._n_ejections)
        self._n_ejections = min(self._n_ejections + 1, 16)
        self.state = HealthState.EJECTED
        self.ejected_until = now + duration_s * rng.uniform(
            1 - _EJECTION_JITTER_SHARE, 1.0
        )
