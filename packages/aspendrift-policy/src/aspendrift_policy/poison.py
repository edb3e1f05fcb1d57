"""Containment of poison requests: requests whose content crashes targets.

Every content in flight on a target that crashes becomes a suspect. Suspects
are retried in single-flight trials. A content is quarantined, and its requests
are refused, once it is the only suspect common to the crashes of two targets.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from aspendrift_model.ids import DaemonId, Fingerprint, TargetId

__all__ = ["ContentState", "PoisonLimits", "SuspectTracker", "Trial", "TrialTracker"]


class ContentState(Enum):
    """State of a content."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    QUARANTINED = "convicted"


@dataclass(frozen=True, slots=True)
class PoisonLimits:
    """Limits on the number of stored records and on their lifetime in seconds."""

    max_crashes: int = 64
    max_suspects_per_crash: int = 256
    max_quarantined: int = 4096
    suspicion_s: float = 120.0
    quarantine_s: float = 3600.0
    same_crash_s: float = 5.0
    max_known_good: int = 4096
    known_good_s: float = 120.0


@dataclass(slots=True)
class _Crash:
    """A crash of one target and the contents that may have caused it.

    ``cleared`` are contents that were in flight and are known good here.
    """

    target_id: TargetId
    at: float
    suspects: set[Fingerprint] = field(default_factory=set)
    cleared: set[Fingerprint] = field(default_factory=set)


class SuspectTracker:
    """Tracks the crashes, suspects and quarantined contents known to one daemon."""

    def __init__(self, limits: PoisonLimits) -> None:
        self._limits = limits
        self._crashes: list[_Crash] = []
        self._quarantined_until: OrderedDict[Fingerprint, float] = OrderedDict()
        self._known_good_until: OrderedDict[Fingerprint, float] = OrderedDict()

    @property
    def n_crashes(self) -> int:
        """Number of recorded crashes."""
        return len(self._crashes)

    def record_crash(
        self, target_id: TargetId, contents: Iterable[Fingerprint], now: float
    ) -> tuple[Fingerprint, ...]:
        """Record a crash and return the contents that it puts in quarantine.

        Reports from several daemons about one target within ``same_crash_s``
        count as one crash.
        """
        self._expire(now)
        crash = self._find_or_add_crash(target_id, now)
        free_capacity = self._limits.max_suspects_per_crash - len(crash.suspects)
        known_good = {each for each in contents if self.known_good_s(each, now) > 0.0}
        not_known_good = set(contents) - known_good
        n_free = self._limits.max_suspects_per_crash - len(crash.cleared)
        crash.cleared.update(sorted(known_good - crash.cleared)[: max(0, n_free)])
        crash.suspects.update(
            sorted(not_known_good - crash.suspects)[: max(0, free_capacity)]
        )
        quarantined = sorted(self._sole_common_suspects(crash))
        for content in quarantined:
            self.quarantine(content, now)
        return tuple(quarantined)

    def quarantine(self, content: Fingerprint, now: float) -> bool:
        """Quarantine a content; return False if it already was quarantined."""
        is_new = self.content_state(content, now) is not ContentState.QUARANTINED
        self._quarantined_until[content] = now + self._limits.quarantine_s
        self._quarantined_until.move_to_end(content)
        while len(self._quarantined_until) > self._limits.max_quarantined:
            self._quarantined_until.popitem(last=False)
        return is_new

    def clear(self, content: Fingerprint) -> bool:
        """Remove a completed content from the suspects; return whether it was one."""
        was_suspect = False
        for crash in self._crashes:
            if content in crash.suspects:
                crash.suspects.discard(content)
                was_suspect = True
        return was_suspect

    def mark_known_good(self, content: Fingerprint, now: float) -> None:
        """Mark a completed content as known good for ``known_good_s``.

        It is no longer a suspect, and crashes in that period don't make it one:
        a content shared by many requests, such as an empty body, is in flight on
        every target that crashes or loses a connection.
        """
        self._mark_known_good(content, now + self._limits.known_good_s)

    def _mark_known_good(self, content: Fingerprint, until: float) -> None:
        self.clear(content)
        self._known_good_until[content] = until
        self._known_good_until.move_to_end(content)
        while len(self._known_good_until) > self._limits.max_known_good:
            self._known_good_until.popitem(last=False)

    def known_good_s(self, content: Fingerprint, now: float) -> float:
        """Return for how long a content stays known good; 0 if it isn't."""
        return max(0.0, self._known_good_until.get(content, now) - now)

    def exonerate(self, content: Fingerprint, left_s: float, now: float) -> bool:
        """Mark a content as known good for as long as at another daemon.

        Not for longer, or daemons that tell each other would never end it. Return
        whether the content was in quarantine, which this ends.
        """
        left_s = min(left_s, self._limits.known_good_s)
        if left_s <= self.known_good_s(content, now):
            return False
        was_quarantined = self._quarantined_until.pop(content, now) > now
        self._mark_known_good(content, now + left_s)
        return was_quarantined

    def is_disputed(self, content: Fingerprint, now: float) -> bool:
        """Return whether others may quarantine a content that is known good here.

        They do after two targets crashed with it, if it never completed there.
        """
        targets = {each.target_id for each in self._crashes if content in each.cleared}
        return len(targets) > 1 and self.known_good_s(content, now) > 0.0

    def content_state(self, content: Fingerprint, now: float) -> ContentState:
        """Return the state of a content."""
        if self._quarantined_until.get(content, now) > now:
            return ContentState.QUARANTINED
        oldest = now - self._limits.suspicion_s
        for crash in self._crashes:
            if crash.at > oldest and content in crash.suspects:
                return ContentState.SUSPECT
        return ContentState.CLEAN

    def crashed_targets(self, content: Fingerprint) -> frozenset[TargetId]:
        """Return the targets that crashed with a content in flight."""
        return frozenset(
            crash.target_id for crash in self._crashes if content in crash.suspects
        )

    def _find_or_add_crash(self, target_id: TargetId, now: float) -> _Crash:
        for crash in reversed(self._crashes):
            is_recent = now - crash.at < self._limits.same_crash_s
            if crash.target_id == target_id and is_recent:
                return crash
        crash = _Crash(target_id, now)
        self._crashes.append(crash)
        del self._crashes[: -self._limits.max_crashes]
        return crash

    def _sole_common_suspects(self, crash: _Crash) -> set[Fingerprint]:
        quarantined: set[Fingerprint] = set()
        for other in self._crashes:
            if other.target_id == crash.target_id:
                continue
            common = crash.suspects & other.suspects
            if len(common) == 1:
                quarantined |= common
        return quarantined

    def _expire(self, now: float) -> None:
        oldest = now - self._limits.suspicion_s
        self._crashes = [crash for crash in self._crashes if crash.at > oldest]
        for content, until in list(self._quarantined_until.items()):
            if until <= now:
                del self._quarantined_until[content]


@dataclass(frozen=True, slots=True)
class Trial:
    """A single-flight retry of a suspect on a target.

    ``running`` means that the attempt has been sent; such a trial can't be
    withdrawn.
    """

    content: Fingerprint
    target_id: TargetId
    daemon_id: DaemonId
    running: bool = False


@dataclass(slots=True)
class _TrialEntry:
    trial: Trial
    until: float


class TrialTracker:
    """Tracks trials on all daemons: at most one per content and per target.

    Daemons announce a trial and wait for a settling time before they send the
    attempt. A running trial takes precedence over a conflicting pending one. Of
    two pending trials, the one with the smaller content and daemon id takes
    precedence, so that all daemons agree without further messages.
    """

    def __init__(self, trial_s: float) -> None:
        self._trial_s = trial_s
        self._entries: list[_TrialEntry] = []

    def begin(self, trial: Trial, now: float) -> bool:
        """Add a pending trial of this daemon; return False if another conflicts."""
        if any(_conflict(entry.trial, trial) for entry in self._unexpired(now)):
            return False
        self._entries.append(_TrialEntry(trial, now + self._trial_s))
        return True

    def apply_update(self, trial: Trial, now: float) -> None:
        """Add a trial of another daemon, which may displace pending ones."""
        self._entries = [
            entry
            for entry in self._unexpired(now)
            if not _displaces(trial, entry.trial)
            and not _is_same_trial(trial, entry.trial)
        ]
        is_displaced = any(_displaces(entry.trial, trial) for entry in self._entries)
        if trial.running or not is_displaced:
            self._entries.append(_TrialEntry(trial, now + self._trial_s))

    def confirm(self, trial: Trial, now: float) -> bool:
        """Mark a pending trial as running; return False if it was displaced."""
        for entry in self._unexpired(now):
            if entry.trial == trial:
                entry.trial = Trial(
                    trial.content, trial.target_id, trial.daemon_id, True
                )
                return True
        return False

    def end(
        self, content: Fingerprint, target_id: TargetId, daemon_id: DaemonId
    ) -> bool:
        """Remove a trial; return False if there is none."""
        ended = Trial(content, target_id, daemon_id)
        n_before = len(self._entries)
        self._entries = [e for e in self._entries if not _is_same_trial(ended, e.trial)]
        return len(self._entries) < n_before

    def has_trial(self, content: Fingerprint, now: float) -> bool:
        """Return whether a trial of the content is pending or running on any daemon."""
        return any(entry.trial.content == content for entry in self._unexpired(now))

    def busy_targets(self, now: float) -> frozenset[TargetId]:
        """Return the targets that have a pending or running trial."""
        return frozenset(entry.trial.target_id for entry in self._unexpired(now))

    def _unexpired(self, now: float) -> list[_TrialEntry]:
        self._entries = [entry for entry in self._entries if entry.until > now]
        return self._entries


def _is_same_trial(first: Trial, second: Trial) -> bool:
    return (first.content, first.target_id, first.daemon_id) == (
        second.content,
        second.target_id,
        second.daemon_id,
    )


def _conflict(first: Trial, second: Trial) -> bool:
    return first.content == second.content or first.target_id == second.target_id


def _displaces(first: Trial, second: Trial) -> bool:
    """Return whether the first trial takes precedence over a conflicting second."""
    if not _conflict(first, second) or _is_same_trial(first, second) or second.running:
        return False
    if first.running:
        return True
    return (first.content, first.daemon_id) < (second.content, second.daemon_id)
