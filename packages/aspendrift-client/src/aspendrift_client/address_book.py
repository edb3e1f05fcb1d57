"""The caller's kept list of daemon addresses, and the choice among them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.wire_caller import AddressAnswer

__all__ = ["AddressBook"]

_FIRST_EJECTION_S: Final = 0.5
_MAX_EJECTION_S: Final = 30.0
_RETRY_S: Final = 1.0
_EARLY_REFRESH_SHARE: Final = 0.2


@dataclass(slots=True)
class _Ejection:
    until: float
    length_s: float


class AddressBook:
    """Addresses of daemons, kept for as long as the last answer allows.

    Parameters
    ----------
    seeds : sequence of str
        Base URLs to use until the first answer and when all others fail.
    """

    def __init__(self, seeds: Sequence[str]) -> None:
        self._seeds = tuple(dict.fromkeys(seeds))
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._refresh_at: float | None = None
        self._ejections_by_url: dict[str, _Ejection] = {}
        self._n_open_by_url: Counter[str] = Counter()

    def needs_refresh(self, now: float) -> bool:
        """Return whether the addresses should be asked for again."""
        return self._refresh_at is None or now >= self._refresh_at

    def update(self, answer: AddressAnswer, now: float, rng: random.Random) -> None:
        """Keep an answer, for a little less than it allows.

        The time is shortened at random so that callers who started together
        don't all ask again together.
        """
        if not answer.addresses:
            self.expire()
            return
        zone = answer.addresses[0].zone
        self._near = tuple(a.url for a in answer.addresses if a.zone == zone)
        self._far = tuple(a.url for a in answer.addresses if a.zone != zone)
        share = 1.0 - _EARLY_REFRESH_SHARE * rng.random()
        self._refresh_at = now + answer.keep_s * share

    def expire(self) -> None:
        """Have the addresses asked for again before the next request."""
        self._refresh_at = None

    def postpone(self, now: float) -> None:
        """Use the addresses as they are for a while, since no daemon gave any."""
        self._refresh_at = now + _RETRY_S

    def choose(
        self, now: float, rng: random.Random, avoided: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the address for the next request.

        The address with the fewest open requests of this caller goes first;
        among equals a near one, at random. Seeds serve when no other address
        is usable. When every address has failed lately, the one whose
        ejection ends first is tried.

        Parameters
        ----------
        avoided : frozenset of str
            Addresses to use only if there is no other.
        """
        for group in ((*self._near, *self._far), self._seeds):
            usable = [
                url
                for url in group
                if url not in avoided and not self._is_ejected(url, now)
            ]
            if usable:
                return min(usable, key=lambda url: self._rank(url, rng))
        known = dict.fromkeys((*self._near, *self._far, *self._seeds))
        rest = [url for url in known if url not in avoided] or list(known)
        return min(rest, key=self._ejected_until, default=None)

    def begin(self, url: str) -> None:
        """Count a request that is sent to an address."""
        self._n_open_by_url[url] += 1

    def end(self, url: str) -> None:
        """Count the end of a request that was sent to an address."""
        self._n_open_by_url[url] -= 1
        if not self._n_open_by_url[url]:
            del self._n_open_by_url[url]

    def report_success(self, url: str) -> None:
        """Take an address back in after it answered."""
        self._ejections_by_url.pop(url, None)

    def report_failure(self, url: str, now: float) -> None:
        """Eject an address that did not answer; longer each time in a row."""
        last = self._ejections_by_url.get(url)
        length = _FIRST_EJECTION_S if last is None else 2 * last.length_s
        length = min(length, _MAX_EJECTION_S)
        self._ejections_by_url[url] = _Ejection(now + length, length)
        self._forget_unknown()

    def _rank(self, url: str, rng: random.Random) -> tuple[int, bool, float]:
        is_far = url not in self._near
        return self._n_open_by_url[url], is_far, rng.random()

    def _is_ejected(self, url: str, now: float) -> bool:
        return now < self._ejected_until(url)

    def _ejected_until(self, url: str) -> float:
        ejection = self._ejections_by_url.get(url)
        return float("-inf") if ejection is None else ejection.until

    def _forget_unknown(self) -> None:
        known = {*self._near, *self._far, *self._seeds}
        for url in set(self._ejections_by_url) - known:
            del self._ejections_by_url[url]
