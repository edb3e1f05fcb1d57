"""Containment of prompt parts that crash every target that begins to answer them.

Requests with such a part have nothing else in common, so their contents tell nothing.
Each crash puts the shared parts of the requests under suspicion whose answer the target
had just begun. A part that caused several crashes is quarantined together with the
suspect parts that occurred in all of these crashes: a request is refused if it has all
of them. Answers that are completed clear the parts of their prompts, so that parts that
merely occur beside the cause don't remain.
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
    crashes_to_quarantine : int
        Crashes of different incarnations, or at different times.
    same_crash_s : float
        Reports of several daemons about a target within this time are one crash.
    completions_to_lift : int
        Completed answers with all parts of a quarantine after which it was wrong.
    """

    crashes_to_quarantine: int = 3
    same_crash_s: float = 2.0
    completions_to_lift: int = 2
    suspicion_s: float = 120.0
    quarantine_s: float = 3600.0
    max_crashes: int = 64
    max_suspects_per_crash: int = 64
    max_quarantines: int = 256


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Requests whose prompt has all of these parts are refused until ``until``."""

    signature: Signature
    until: float


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


class PromptSuspects:
    """Crashes, suspect parts and quarantines known to one daemon."""

    def __init__(self, limits: SuspectLimits | None = None) -> None:
        self._limits = limits or SuspectLimits()
        self._crashes: list[_Crash] = []
        self._n_crashes_by_part: Counter[PromptPartId] = Counter()
        self._n_completed_by_part: Counter[PromptPartId] = Counter()
        self._until_by_signature: OrderedDict[Signature, float] = OrderedDict()
        self._n_despite_by_signature: Counter[Signature] = Counter()
        self._lifted_at_by_signature: OrderedDict[Signature, float] = OrderedDict()

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
        if not suspect:
            return None
        crash = self._find_or_add(key, now)
        if len(crash.suspects) < self._limits.max_suspects_per_crash:
            crash.suspects.append(suspect)
        self._count_crashes()
        found = self._cause(suspect)
        if found is None or self.matching(suspect, now) is not None:
            return None
        self._lifted_at_by_signature.pop(found, None)
        self.quarantine(found, now + self._limits.quarantine_s, now)
        return found

    def record_completed(
        self, parts: Iterable[PromptPartId], now: float
    ) -> tuple[tuple[PromptPartId, ...], tuple[Signature, ...]]:
        """Record a request whose answer was completed.

        Returns
        -------
        suspects : tuple of PromptPartId
            Its parts that were under suspicion; other daemons should learn of it.
        lifted : tuple of Signature
            Quarantines that this shows to be wrong.
        """
        if not self._crashes and not self._until_by_signature:
            return (), ()
        completed = frozenset(parts)
        suspects = sorted(each for each in completed if self._is_suspect(each))
        self._n_completed_by_part.update(suspects)
        return tuple(suspects), tuple(self._lift_refuted(completed, now))

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
        """Return the number of recorded crashes that a part may have caused."""
        return self._n_crashes_by_part[part]

    def _cause(self, suspect: Signature) -> Signature | None:
        """Return what the crashes of one of a suspect's parts have in common."""
        convicted = [
            part
            for part in suspect
            if self.n_crashes(part) >= self._limits.crashes_to_quarantine
            and not self._is_cleared(part)
        ]
        if not convicted:
            return None
        part = max(convicted, key=lambda each: (self.n_crashes(each), each))
        common = frozenset(suspect)
        for crash in self._crashes:
            if crash.has(part):
                common &= crash.parts_with(part)
        return frozenset(each for each in common if not self._is_cleared(each))

    def _is_suspect(self, part: PromptPartId) -> bool:
        return part in self._n_crashes_by_part and not self._is_cleared(part)

    def _is_cleared(self, part: PromptPartId) -> bool:
        """Return whether more requests were completed than the cause would let."""
        return 2 * self._n_completed_by_part[part] > self._n_crashes_by_part[part]

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
        return self._until_by_signature.pop(signature, None) is not None

    def _find_or_add(self, key: TargetKey, now: float) -> _Crash:
        for crash in reversed(self._crashes):
            if crash.key == key and now - crash.at < self._limits.same_crash_s:
                return crash
        crash = _Crash(key, now)
        self._crashes.append(crash)
        del self._crashes[: -self._limits.max_crashes]
        return crash

    def _count_crashes(self) -> None:
        self._n_crashes_by_part = Counter(
            part
            for crash in self._crashes
            for part in Signature().union(*crash.suspects)
        )

    def _expire(self, now: float) -> None:
        oldest = now - self._limits.suspicion_s
        if self._crashes and self._crashes[0].at <= oldest:
            self._crashes = [crash for crash in self._crashes if crash.at > oldest]
            self._count_crashes()
        for part in list(self._n_completed_by_part):
            if part not in self._n_crashes_by_part:
                del self._n_completed_by_part[part]
        for signature, until in list(self._until_by_signature.items()):
            if until <= now:
                self._remove(signature)


def signature_text(signature: Signature) -> str:
    """Return the parts of a signature in a fixed order, as one text."""
    return ",".join(sorted(signature))
