"""Containment of prompt parts that crash every target that begins to answer them.

Requests with such a part have nothing else in common, so their contents tell nothing.
Each crash puts the shared parts of the requests under suspicion whose answer the target
had just begun: it adds to the blame of a part, a completed request takes from it, and
blame is never negative, so that what a part did long ago does not count (a cumulative
sum). A part with enough blame is quarantined together with the parts that all crashes
blamed on it have in common: a request is refused if it has all of them.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

import xxhash

from aspendrift_model.ids import PromptPartId
from aspendrift_model.target_entries import TargetKey

__all__ = [
    "Clearance",
    "PromptSuspects",
    "Quarantine",
    "Signature",
    "SuspectLimits",
    "signature_text",
]

Signature = frozenset[PromptPartId]

_DIGEST_MASK: Final = (1 << 63) - 1


@dataclass(frozen=True, slots=True)
class SuspectLimits:
    """Thresholds, and limits on the number of records and their lifetime in seconds.

    Parameters
    ----------
    blame_to_quarantine, blame_of_good_part : int
        Blame from which on a part is quarantined, and the same for one that was in
        completed requests shortly before its first crash.
    blame_per_completion : int
        Blame that a completed request takes off its parts; a crash adds 1.
    targets_to_quarantine : int
        Targets that crashed: a single one may break off whatever it is sent.
    same_crash_s : float
        Reports of several daemons about a target within this time are one crash.
    completions_to_clear, completions_to_lift : int
        Completed requests that remove their parts from a quarantine that has others,
        and that lift one of which they have all parts.
    """

    blame_to_quarantine: int = 3
    blame_of_good_part: int = 5
    blame_per_completion: int = 3
    targets_to_quarantine: int = 2
    same_crash_s: float = 2.0
    completions_to_clear: int = 2
    completions_to_lift: int = 2
    suspicion_s: float = 120.0
    quarantine_s: float = 3600.0
    max_crashes: int = 64
    max_suspects_per_crash: int = 64
    max_quarantines: int = 256
    max_good_parts: int = 4096


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Requests whose prompt has all of these parts are refused until ``until``."""

    signature: Signature
    until: float


@dataclass(frozen=True, slots=True)
class Clearance:
    """What a completed request changed.

    Parameters
    ----------
    suspects : tuple of PromptPartId
        Its parts that were under suspicion; other daemons should learn of it.
    lifted : tuple of Signature
        Quarantines that were wrong.
    narrowed : tuple of Signature
        New quarantines, of fewer parts than those that they follow from.
    """

    suspects: tuple[PromptPartId, ...] = ()
    lifted: tuple[Signature, ...] = ()
    narrowed: tuple[Signature, ...] = ()


@dataclass(slots=True)
class _Crash:
    """A crash, and the shared parts of each request that may have caused it."""

    key: TargetKey
    at: float
    suspects: list[Signature] = field(default_factory=list)

    def has(self, part: PromptPartId) -> bool:
        return any(part in suspect for suspect in self.suspects)

    def parts_with(self, part: PromptPartId) -> Signature:
        """Return the parts of the requests that have this part."""
        return Signature().union(*(each for each in self.suspects if part in each))


@dataclass(slots=True)
class _Blame:
    """Crashes blamed on a part since it was last cleared."""

    was_good: bool
    amount: int = 0
    crashes: list[_Crash] = field(default_factory=list)

    @property
    def n_targets(self) -> int:
        return len({crash.key.target_id for crash in self.crashes})


class PromptSuspects:
    """Crashes, suspect parts and quarantines known to one daemon."""

    def __init__(self, limits: SuspectLimits | None = None) -> None:
        self._limits = limits or SuspectLimits()
        self._crashes: list[_Crash] = []
        self._blame_by_part: dict[PromptPartId, _Blame] = {}
        self._good_at_by_part: OrderedDict[PromptPartId, float] = OrderedDict()
        self._until_by_signature: OrderedDict[Signature, float] = OrderedDict()
        self._lifted_at_by_signature: OrderedDict[Signature, float] = OrderedDict()
        # Completed requests with some, and with all, of the parts of a quarantine.
        self._n_completed_by_part: Counter[PromptPartId] = Counter()
        self._n_despite_by_signature: Counter[Signature] = Counter()

    def __len__(self) -> int:
        return len(self._until_by_signature)

    def record_crash(
        self, key: TargetKey, parts: Iterable[PromptPartId], now: float
    ) -> Signature | None:
        """Record a crash and a request that may have caused it.

        Parameters
        ----------
        parts : iterable of PromptPartId
            Parts of the prompt that other requests may share.

        Returns
        -------
        Signature or None
            The quarantine that the crash leads to, unless it was in force.
        """
        self._expire(now)
        suspect = frozenset(parts)
        crash = self._find_or_add(key, now)
        if not suspect or len(crash.suspects) >= self._limits.max_suspects_per_crash:
            return None
        for part in suspect:
            if not crash.has(part):
                self._blame(part, crash, now)
        crash.suspects.append(suspect)
        found = self._cause(suspect)
        if found is None or self.matching(suspect, now) is not None:
            return None
        self._lifted_at_by_signature.pop(found, None)
        self.quarantine(found, now + self._limits.quarantine_s, now)
        return found

    def record_completed(self, parts: Iterable[PromptPartId], now: float) -> Clearance:
        """Record a request whose answer was completed."""
        completed = frozenset(parts)
        suspects = tuple(sorted(each for each in completed if self._is_suspect(each)))
        for part in completed:
            self._record_good(part, now)
            self._unblame(part)
        if not self._until_by_signature:
            return Clearance(suspects)
        self._n_completed_by_part.update(
            each for each in completed if self._is_quarantined(each)
        )
        return Clearance(
            suspects,
            tuple(self._lift_refuted(completed, now)),
            tuple(self._narrow(completed, now)),
        )

    def quarantine(self, signature: Signature, until: float, now: float) -> bool:
        """Put a signature in quarantine; return whether that is new.

        One that was lifted stays so while its crashes would be remembered.
        """
        if self.is_lifted(signature, now):
            return False
        is_new = self._until_by_signature.get(signature, now) <= now < until
        if is_new:
            self._until_by_signature[signature] = until
        while len(self._until_by_signature) > self._limits.max_quarantines:
            self._until_by_signature.popitem(last=False)
        return is_new

    def lift(self, signature: Signature, now: float) -> bool:
        """End a quarantine; return False if there was none."""
        self._lifted_at_by_signature[signature] = now
        self._lifted_at_by_signature.move_to_end(signature)
        while len(self._lifted_at_by_signature) > self._limits.max_quarantines:
            self._lifted_at_by_signature.popitem(last=False)
        return self._remove(signature)

    def is_lifted(self, signature: Signature, now: float) -> bool:
        """Return whether a quarantine was lifted lately."""
        lifted_at = self._lifted_at_by_signature.get(signature)
        return lifted_at is not None and now - lifted_at < self._limits.suspicion_s

    def matching(self, parts: Iterable[PromptPartId], now: float) -> Signature | None:
        """Return the quarantine because of which a request is refused, if any."""
        if not self._until_by_signature:
            return None
        found = frozenset(parts)
        for signature, until in self._until_by_signature.items():
            if until > now and signature <= found:
                return signature
        return None

    def quarantines(self, now: float) -> Sequence[Quarantine]:
        """Return the quarantines in force."""
        return [
            Quarantine(signature, until)
            for signature, until in self._until_by_signature.items()
            if until > now
        ]

    def digest(self) -> int:
        """Return a hash of the quarantines; it is 0 if there are none."""
        digest = 0
        for signature in self._until_by_signature:
            digest ^= xxhash.xxh3_64_intdigest(signature_text(signature).encode())
        return digest & _DIGEST_MASK

    def n_crashes(self, part: PromptPartId) -> int:
        """Return the number of crashes blamed on a part since it was last cleared."""
        blame = self._blame_by_part.get(part)
        return 0 if blame is None else len(blame.crashes)

    def _blame(self, part: PromptPartId, crash: _Crash, now: float) -> None:
        blame = self._blame_by_part.get(part)
        if blame is None:
            good_at = self._good_at_by_part.get(part, float("-inf"))
            was_good = now - good_at < self._limits.suspicion_s
            blame = self._blame_by_part[part] = _Blame(was_good)
        blame.amount += 1
        blame.crashes.append(crash)

    def _unblame(self, part: PromptPartId) -> None:
        blame = self._blame_by_part.get(part)
        if blame is not None:
            blame.amount -= self._limits.blame_per_completion
            if blame.amount <= 0:
                del self._blame_by_part[part]

    def _cause(self, suspect: Signature) -> Signature | None:
        """Return what the crashes blamed on one of a suspect's parts have in common."""
        convicted = [part for part in suspect if self._is_convicted(part)]
        if not convicted:
            return None
        part = max(convicted, key=lambda each: (self.n_crashes(each), each))
        common = frozenset(suspect)
        for crash in self._blame_by_part[part].crashes:
            common &= crash.parts_with(part)
        blames = {each: self._blame_by_part.get(each) for each in common}
        blamed = {each: blame for each, blame in blames.items() if blame is not None}
        new = frozenset(each for each, blame in blamed.items() if not blame.was_good)
        return new or frozenset(blamed)

    def _is_convicted(self, part: PromptPartId) -> bool:
        blame = self._blame_by_part.get(part)
        if blame is None or blame.n_targets < self._limits.targets_to_quarantine:
            return False
        if blame.was_good:
            return blame.amount >= self._limits.blame_of_good_part
        return blame.amount >= self._limits.blame_to_quarantine

    def _is_suspect(self, part: PromptPartId) -> bool:
        if part in self._blame_by_part:
            return True
        n_completed = self._n_completed_by_part[part]
        is_open = n_completed < self._limits.completions_to_clear
        return is_open and self._is_quarantined(part)

    def _is_quarantined(self, part: PromptPartId) -> bool:
        return any(part in signature for signature in self._until_by_signature)

    def _record_good(self, part: PromptPartId, now: float) -> None:
        self._good_at_by_part[part] = now
        self._good_at_by_part.move_to_end(part)
        if len(self._good_at_by_part) > self._limits.max_good_parts:
            self._good_at_by_part.popitem(last=False)

    def _narrow(self, completed: Signature, now: float) -> list[Signature]:
        """Add quarantines without the parts that were cleared.

        They refuse more, so no request with any of the parts left may have completed.
        """
        narrowed = []
        for signature, until in list(self._until_by_signature.items()):
            left = frozenset(
                each
                for each in signature
                if self._n_completed_by_part[each] < self._limits.completions_to_clear
            )
            if not left or left == signature or not signature & completed:
                continue
            if any(self._n_completed_by_part[each] for each in left):
                continue
            if self.quarantine(left, until, now):
                narrowed.append(left)
        return narrowed

    def _lift_refuted(self, completed: Signature, now: float) -> list[Signature]:
        refuted = []
        for signature in list(self._until_by_signature):
            if signature <= completed:
                self._n_despite_by_signature[signature] += 1
                n_despite = self._n_despite_by_signature[signature]
                if n_despite >= self._limits.completions_to_lift:
                    self.lift(signature, now)
                    refuted.append(signature)
        return refuted

    def _remove(self, signature: Signature) -> bool:
        self._n_despite_by_signature.pop(signature, None)
        is_removed = self._until_by_signature.pop(signature, None) is not None
        for part in list(self._n_completed_by_part):
            if not self._is_quarantined(part):
                del self._n_completed_by_part[part]
        return is_removed

    def _find_or_add(self, key: TargetKey, now: float) -> _Crash:
        for crash in reversed(self._crashes):
            if crash.key == key and now - crash.at < self._limits.same_crash_s:
                return crash
        crash = _Crash(key, now)
        self._crashes.append(crash)
        del self._crashes[: -self._limits.max_crashes]
        return crash

    def _expire(self, now: float) -> None:
        oldest = now - self._limits.suspicion_s
        self._crashes = [crash for crash in self._crashes if crash.at > oldest]
        for part, blame in list(self._blame_by_part.items()):
            blame.crashes = [crash for crash in blame.crashes if crash.at > oldest]
            blame.amount = min(blame.amount, len(blame.crashes))
            if not blame.crashes:
                del self._blame_by_part[part]
        for signature, until in list(self._until_by_signature.items()):
            if until <= now:
                self._remove(signature)


def signature_text(signature: Signature) -> str:
    """Return the parts of a signature in a fixed order, as one text."""
    return ",".join(sorted(signature))
