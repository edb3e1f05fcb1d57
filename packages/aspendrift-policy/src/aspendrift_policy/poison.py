"""Containment of requests whose content stops the targets that run it.

Every content in flight on a target that crashes becomes a suspect. Suspects
are tried again one at a time; a content that is the only one common to the
crashes of two targets is convicted and refused from then on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from aspendrift_model.ids import DaemonId, Fingerprint, TargetId

__all__ = ["PoisonLimits", "Standing", "SuspectBook", "Trial", "TrialBook"]


class Standing(Enum):
    """What is known of a content."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


@dataclass(frozen=True, slots=True)
class PoisonLimits:
    """Bounds on what is remembered, and for how long in seconds."""

    max_crashes: int = 64
    max_suspects_per_crash: int = 256
    max_convicted: int = 4096
    suspicion_s: float = 120.0
    conviction_s: float = 3600.0
    same_crash_s: float = 5.0
    max_sound: int = 4096
    sound_s: float = 120.0


@dataclass(slots=True)
class _Crash:
    """A crash of one target and the contents that may have caused it."""

    target_id: TargetId
    at: float
    suspects: set[Fingerprint] = field(default_factory=set)


class SuspectBook:
    """Crashes, suspects and convictions that a daemon knows of."""

    def __init__(self, limits: PoisonLimits) -> None:
        self._limits = limits
        self._crashes: list[_Crash] = []
        self._convicted_until: OrderedDict[Fingerprint, float] = OrderedDict()
        self._sound_until: OrderedDict[Fingerprint, float] = OrderedDict()

    @property
    def n_crashes(self) -> int:
        """Crashes that are remembered."""
        return len(self._crashes)

    def report_crash(
        self, target_id: TargetId, contents: Iterable[Fingerprint], now: float
    ) -> tuple[Fingerprint, ...]:
        """Note a crash and return the contents that it convicts.

        Reports of several daemons about one target within a short time are
        about the same crash.
        """
        self._expire(now)
        crash = self._crash(target_id, now)
        room = self._limits.max_suspects_per_crash - len(crash.suspects)
        doubtful = {
            content
            for content in contents
            if self._sound_until.get(content, now) <= now
        }
        crash.suspects.update(sorted(doubtful - crash.suspects)[: max(0, room)])
        convicted = sorted(self._common_to_two(crash))
        for content in convicted:
            self.convict(content, now)
        return tuple(convicted)

    def convict(self, content: Fingerprint, now: float) -> bool:
        """Refuse a content from now on; False if it was refused already."""
        is_new = self.standing(content, now) is not Standing.CONVICTED
        self._convicted_until[content] = now + self._limits.conviction_s
        self._convicted_until.move_to_end(content)
        while len(self._convicted_until) > self._limits.max_convicted:
            self._convicted_until.popitem(last=False)
        return is_new

    def clear(self, content: Fingerprint) -> bool:
        """Drop the suspicion of a content that ran to its end."""
        was_suspect = False
        for crash in self._crashes:
            if content in crash.suspects:
                crash.suspects.discard(content)
                was_suspect = True
        return was_suspect

    def ran_to_end(self, content: Fingerprint, now: float) -> None:
        """Drop the suspicion of a content that ran to its end, and raise none soon.

        Many requests with one content, such as those without a body, are in flight on
        every target that crashes or loses a connection.
        """
        self.clear(content)
        self._sound_until[content] = now + self._limits.sound_s
        self._sound_until.move_to_end(content)
        while len(self._sound_until) > self._limits.max_sound:
            self._sound_until.popitem(last=False)

    def standing(self, content: Fingerprint, now: float) -> Standing:
        """Return what is known of a content."""
        if self._convicted_until.get(content, now) > now:
            return Standing.CONVICTED
        oldest = now - self._limits.suspicion_s
        for crash in self._crashes:
            if crash.at > oldest and content in crash.suspects:
                return Standing.SUSPECT
        return Standing.CLEAN

    def crashed_targets(self, content: Fingerprint) -> frozenset[TargetId]:
        """Return the targets that crashed with a content in flight."""
        return frozenset(
            crash.target_id for crash in self._crashes if content in crash.suspects
        )

    def _crash(self, target_id: TargetId, now: float) -> _Crash:
        for crash in reversed(self._crashes):
            is_recent = now - crash.at < self._limits.same_crash_s
            if crash.target_id == target_id and is_recent:
                return crash
        crash = _Crash(target_id, now)
        self._crashes.append(crash)
        del self._crashes[: -self._limits.max_crashes]
        return crash

    def _common_to_two(self, crash: _Crash) -> set[Fingerprint]:
        convicted: set[Fingerprint] = set()
        for other in self._crashes:
            if other.target_id == crash.target_id:
                continue
            common = crash.suspects & other.suspects
            if len(common) == 1:
                convicted |= common
        return convicted

    def _expire(self, now: float) -> None:
        oldest = now - self._limits.suspicion_s
        self._crashes = [crash for crash in self._crashes if crash.at > oldest]
        for content, until in list(self._convicted_until.items()):
            if until <= now:
                del self._convicted_until[content]


@dataclass(frozen=True, slots=True)
class Trial:
    """A suspect that runs, or is about to run, alone on a target.

    ``running`` tells that it has been sent; such a trial can't be withdrawn.
    """

    content: Fingerprint
    target_id: TargetId
    daemon_id: DaemonId
    running: bool = False


@dataclass(slots=True)
class _Entry:
    trial: Trial
    until: float


class TrialBook:
    """Trials that a daemon knows of: at most one per content and per target.

    Daemons announce a trial and wait a moment before they send. Of two that
    clash, one that runs goes before one that waits; of two that wait, the one
    with the smaller content and daemon goes first, so that both sides agree.
    """

    def __init__(self, trial_s: float) -> None:
        self._trial_s = trial_s
        self._entries: list[_Entry] = []

    def begin(self, trial: Trial, now: float) -> bool:
        """Enter a trial of this daemon; False if another one is in its way."""
        if any(_clash(entry.trial, trial) for entry in self._live(now)):
            return False
        self._entries.append(_Entry(trial, now + self._trial_s))
        return True

    def hear(self, trial: Trial, now: float) -> None:
        """Enter a trial of another daemon, which may displace waiting ones."""
        self._entries = [
            entry
            for entry in self._live(now)
            if not _displaces(trial, entry.trial) and not _same(trial, entry.trial)
        ]
        blocked = any(_displaces(entry.trial, trial) for entry in self._entries)
        if trial.running or not blocked:
            self._entries.append(_Entry(trial, now + self._trial_s))

    def confirm(self, trial: Trial, now: float) -> bool:
        """Turn a waiting trial into a running one; False if it was displaced."""
        for entry in self._live(now):
            if entry.trial == trial:
                entry.trial = Trial(
                    trial.content, trial.target_id, trial.daemon_id, True
                )
                return True
        return False

    def end(
        self, content: Fingerprint, target_id: TargetId, daemon_id: DaemonId
    ) -> bool:
        """Remove a trial; False if there is none."""
        ended = Trial(content, target_id, daemon_id)
        n_before = len(self._entries)
        self._entries = [e for e in self._entries if not _same(ended, e.trial)]
        return len(self._entries) < n_before

    def is_tried(self, content: Fingerprint, now: float) -> bool:
        """Whether a content is being tried somewhere."""
        return any(entry.trial.content == content for entry in self._live(now))

    def busy_targets(self, now: float) -> frozenset[TargetId]:
        """Return the targets on which suspects are being tried."""
        return frozenset(entry.trial.target_id for entry in self._live(now))

    def _live(self, now: float) -> list[_Entry]:
        self._entries = [entry for entry in self._entries if entry.until > now]
        return self._entries


def _same(first: Trial, second: Trial) -> bool:
    return (first.content, first.target_id, first.daemon_id) == (
        second.content,
        second.target_id,
        second.daemon_id,
    )


def _clash(first: Trial, second: Trial) -> bool:
    return first.content == second.content or first.target_id == second.target_id


def _displaces(first: Trial, second: Trial) -> bool:
    """Whether a trial goes before another one that it clashes with."""
    if not _clash(first, second) or _same(first, second) or second.running:
        return False
    if first.running:
        return True
    return (first.content, first.daemon_id) < (second.content, second.daemon_id)
