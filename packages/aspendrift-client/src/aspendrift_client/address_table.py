"""The caller's cached daemon addresses, and the choice among them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.wire_caller import AddressAnswer

__all__ = ["AddressTable"]

_FIRST_EJECTION_S: Final = 0.5
_MAX_EJECTION_S: Final = 30.0
_REFRESH_RETRY_S: Final = 1.0
_REFRESH_JITTER_SHARE: Final = 0.2


@dataclass(slots=True)
class _Ejection:
    ends_at: float
    duration_s: float


class AddressTable:
    """Daemon addresses, cached for as long as the latest answer allows.

    Parameters
    ----------
    seeds : sequence of str
        Base URLs to use until the first answer, and when all other addresses fail.
    """

    def __init__(self, seeds: Sequence[str]) -> None:
        self._seeds = tuple(dict.fromkeys(seeds))
        self._same_zone: tuple[str, ...] = ()
        self._other_zones: tuple[str, ...] = ()
        self._refresh_at: float | None = None
        self._ejections_by_url: dict[str, _Ejection] = {}
        self._n_open_by_url: Counter[str] = Counter()

    def needs_refresh(self, now: float) -> bool:
        """Return whether the addresses need a refresh."""
        return self._refresh_at is None or now >= self._refresh_at

    def update(self, answer: AddressAnswer, now: float, rng: random.Random) -> None:
        """Cache an answer for slightly less than the time that it allows.

        A random part of the time is cut off, so that callers that started
        together don't refresh at the same moment.
        """
        if not answer.addresses:
            self.expire()
            return
        zone = answer.addresses[0].zone
        self._same_zone = tuple(a.url for a in answer.addresses if a.zone == zone)
        self._other_zones = tuple(a.url for a in answer.addresses if a.zone != zone)
        share = 1.0 - _REFRESH_JITTER_SHARE * rng.random()
        self._refresh_at = now + answer.keep_s * share

    def expire(self) -> None:
        """Require a refresh before the next request."""
        self._refresh_at = None

    def postpone(self, now: float) -> None:
        """Postpone the next refresh after every daemon failed to answer."""
        self._refresh_at = now + _REFRESH_RETRY_S

    def choose(
        self, now: float, rng: random.Random, avoided: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the address for the next request.

        The address with the fewest open requests of this caller is preferred;
        ties go to an address in the same zone, then to a random one. Seeds are
        used when no other address is usable. When every address is ejected, the
        one whose ejection ends first is returned.

        Parameters
        ----------
        avoided : frozenset of str
            Addresses to use only if there are no others.
        """
        for group in ((*self._same_zone, *self._other_zones), self._seeds):
            usable = [
                url
                for url in group
                if url not in avoided and not self._is_ejected(url, now)
            ]
            if usable:
                return min(usable, key=lambda url: self._rank(url, rng))
        known = dict.fromkeys((*self._same_zone, *self._other_zones, *self._seeds))
        candidates = [url for url in known if url not in avoided] or list(known)
        return min(candidates, key=self._ejected_until, default=None)

    def record_start(self, url: str) -> None:
        """Count a request sent to an address as open."""
        self._n_open_by_url[url] += 1

    def record_end(self, url: str) -> None:
        """Stop counting a request sent to an address as open."""
        self._n_open_by_url[url] -= 1
        if not self._n_open_by_url[url]:
            del self._n_open_by_url[url]

    def record_success(self, url: str) -> None:
        """End the ejection of an address that answered."""
        self._ejections_by_url.pop(url, None)

    def record_failure(self, url: str, now: float) -> None:
        """Eject an address that did not answer.

        The duration doubles with each consecutive failure, up to a limit.
        """
        previous = self._ejections_by_url.get(url)
        duration_s = _FIRST_EJECTION_S if previous is None else 2 * previous.duration_s
        duration_s = min(duration_s, _MAX_EJECTION_S)
        self._ejections_by_url[url] = _Ejection(now + duration_s, duration_s)
        self._remove_unknown()

    def _rank(self, url: str, rng: random.Random) -> tuple[int, bool, float]:
        is_other_zone = url not in self._same_zone
        return self._n_open_by_url[url], is_other_zone, rng.random()

    def _is_ejected(self, url: str, now: float) -> bool:
        return now < self._ejected_until(url)

    def _ejected_until(self, url: str) -> float:
        ejection = self._ejections_by_url.get(url)
        return float("-inf") if ejection is None else ejection.ends_at

    def _remove_unknown(self) -> None:
        known = {*self._same_zone, *self._other_zones, *self._seeds}
        for url in set(self._ejections_by_url) - known:
            del self._ejections_by_url[url]
