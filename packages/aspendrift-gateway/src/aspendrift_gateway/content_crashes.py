"""Contents that crash targets: what daemons report, and what clears a content.

A content that completed at one daemon is no suspect there, but others may not know it.
When these may quarantine it, a daemon that does tells all of them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.events import ContentCleared
from aspendrift_model.ids import Fingerprint, TargetId
from aspendrift_model.target_entries import TargetKey
from aspendrift_model.wire_work import ContentCompleted, CrashReport
from aspendrift_policy.poison import PoisonLimits, SuspectTracker

__all__ = ["ContentCrashes"]

# Many daemons may know a content that others suspect; the first one tells all.
_MAX_ANNOUNCEMENT_DELAY_S: Final = 0.1
_MS_PER_S: Final = 1000.0


class ContentCrashes:
    """Records crashes of targets, and clears contents that completed elsewhere.

    Parameters
    ----------
    announce : callable
        Tells all daemons that a content completed here.
    """

    def __init__(
        self,
        announce: Callable[[ContentCompleted], None],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._announce = announce
        self._clock = clock
        self._events = events
        self._rng = rng
        self._scheduled_by_content: dict[Fingerprint, asyncio.TimerHandle] = {}
        self.suspects = SuspectTracker(PoisonLimits())

    def stop(self) -> None:
        """Cancel what is scheduled."""
        for scheduled in self._scheduled_by_content.values():
            scheduled.cancel()

    def report(self, key: TargetKey, content: Fingerprint) -> CrashReport:
        """Record a crash that this daemon saw; return what to tell the others."""
        known_good_ms = self._known_good_ms(content, self._clock.monotonic())
        report = CrashReport(key.target_id, key.born_ms, content, known_good_ms)
        self.reported(report)
        return report

    def reported(self, report: CrashReport) -> None:
        """Record a crash; clear its content for all if it completed here."""
        instance_id = TargetId(f"{report.target_id}/{report.born_ms}")
        content = Fingerprint(report.fingerprint)
        now = self._clock.monotonic()
        if report.known_good_ms:
            self._exonerate(content, report.known_good_ms, now)
        self.suspects.record_crash(instance_id, [content], now)
        if not report.known_good_ms and self.suspects.is_disputed(content, now):
            self._schedule(content)

    def completed_elsewhere(self, report: ContentCompleted) -> None:
        """Apply what another daemon announced."""
        content = Fingerprint(report.fingerprint)
        scheduled = self._scheduled_by_content.pop(content, None)
        if scheduled is not None:
            scheduled.cancel()
        self._exonerate(content, report.known_good_ms, self._clock.monotonic())

    def _schedule(self, content: Fingerprint) -> None:
        if content not in self._scheduled_by_content:
            delay_s = self._rng.uniform(0.0, _MAX_ANNOUNCEMENT_DELAY_S)
            loop = asyncio.get_running_loop()
            self._scheduled_by_content[content] = loop.call_later(
                delay_s, self._announce_completed, content
            )

    def _announce_completed(self, content: Fingerprint) -> None:
        del self._scheduled_by_content[content]
        known_good_ms = self._known_good_ms(content, self._clock.monotonic())
        if known_good_ms:
            self._announce(ContentCompleted(content, known_good_ms))

    def _exonerate(self, content: Fingerprint, left_ms: int, now: float) -> None:
        if self.suspects.exonerate(content, left_ms / _MS_PER_S, now):
            self._events.emit(ContentCleared(content))

    def _known_good_ms(self, content: Fingerprint, now: float) -> int:
        return int(self.suspects.known_good_s(content, now) * _MS_PER_S)
