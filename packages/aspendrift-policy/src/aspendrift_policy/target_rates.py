"""Decides on rate limits of targets, which all daemons together have to keep.

A target is limited while it is cold, or while it states a limit. Its owner, one daemon
chosen by rendezvous hashing, issues dated permits for it at a fixed interval, and every
daemon sends it a request only with a permit.

Load it answers: a zone of targets that turns cold at one moment, in front of hundreds
of daemons each of whose shares is far below one request per second, while some daemons
are killed, frozen or cut off. Daemons whose views of the members differ may see two
owners of one target, so each owner issues at most half of what is allowed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypeAlias

from aspendrift_model.ids import DaemonId
from aspendrift_model.routes import ColdLimit
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.owner_choice import owners_in_order

__all__ = [
    "MAX_AHEAD_S",
    "DeniedPermit",
    "IssuedPermit",
    "LimitKind",
    "LimitedTargets",
    "RateLimit",
    "RateOwner",
    "cold_limit",
    "owner_of",
    "stated_limit",
    "strictest",
]

# Window of the bound on cold targets, and that of the bound on stated limits.
_COLD_WINDOW_S: Final = 1.0
_STATED_WINDOW_S: Final = 4.0
# Requests that a target with a stated limit may get within its window: a multiple of
# the limit, plus a constant.
_STATED_OVERRUN: Final = 1.5
_STATED_SLACK: Final = 5.0
# Daemons that may own a target at the same time, since they see different members.
_N_OWNERS: Final = 2
# Time from the date of a permit to its last use; covers a message and a busy daemon.
_PERMIT_VALID_S: Final = 0.5
# A permit that is issued again has to be valid for longer than a message takes.
_MIN_VALID_S: Final = 0.06
# Permits are dated at most this far ahead: a longer wait is left to the caller. A new
# owner waits for as long beside the window, since those of the owner before are in use.
MAX_AHEAD_S: Final = 1.0
# Longer pauses between two steps count as a suspension of the process. Other daemons
# take longer to replace an owner.
_MAX_PAUSE_S: Final = 0.5
# Denied daemons are told to ask again at distinct times with this interval. Without it
# the queries for one target would grow with the number of daemons.
_ASK_INTERVAL_S: Final = 0.1
_MAX_ASK_AHEAD_S: Final = 2.0
# Time after the last permit of a target until its state is removed.
_IDLE_S: Final = 10.0
# Longest time for which a target's ``Retry-After`` is followed.
_MAX_BACKOFF_S: Final = 300.0
# Time for which what an unlisted target stated is retained: its entry may only have
# lapsed while the store was away.
_UNLISTED_RETENTION_S: Final = 300.0
_NEVER: Final = float("-inf")
# Tolerance for the rounding of times in messages.
_EPSILON_S: Final = 1e-6


class LimitKind(Enum):
    """Why a target is limited."""

    COLD = "cold"
    STATED = "stated"


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate at which one owner issues permits for a target.

    Parameters
    ----------
    interval_s : float
        Time between the dates of two permits, in seconds.
    window_s : float
        Window of the bound; a new owner issues nothing for longer than this.
    """

    kind: LimitKind
    interval_s: float
    window_s: float


def cold_limit(cold: ColdLimit, overrun: float, slack: float) -> RateLimit:
    """Return the limit of a cold target, from the bound on any one second."""
    n_allowed = cold.requests_per_s * _COLD_WINDOW_S * overrun + slack
    return _limit(LimitKind.COLD, cold.requests_per_s, n_allowed, _COLD_WINDOW_S)


def stated_limit(requests_per_s: float) -> RateLimit:
    """Return the limit of a target that states one, from the bound on any 4 s."""
    n_allowed = requests_per_s * _STATED_WINDOW_S * _STATED_OVERRUN + _STATED_SLACK
    return _limit(LimitKind.STATED, requests_per_s, n_allowed, _STATED_WINDOW_S)


def _limit(
    kind: LimitKind, requests_per_s: float, n_allowed: float, window_s: float
) -> RateLimit:
    """Return a limit that keeps a bound on any window with two owners.

    Requests within a window have permits dated within the window or, by their
    validity, before it. Permits with the interval d have at most T / d dates within a
    time T.
    """
    n_per_owner = max(1, int(n_allowed / _N_OWNERS))
    interval_s = (window_s + _PERMIT_VALID_S) / n_per_owner
    return RateLimit(kind, max(interval_s, 1.0 / requests_per_s), window_s)


def strictest(first: RateLimit | None, second: RateLimit | None) -> RateLimit | None:
    """Return the limit with the longer interval; None if there is neither."""
    if first is None or second is None:
        return first or second
    return max(first, second, key=lambda each: each.interval_s)


def owner_of(key: TargetKey, daemon_ids: Iterable[DaemonId]) -> DaemonId | None:
    """Return the daemon that issues the permits of a target, None without daemons."""
    order = owners_in_order(f"{key.target_id}/{key.born_ms}", daemon_ids)
    return order[0] if order else None


@dataclass(frozen=True, slots=True)
class IssuedPermit:
    """Permit to send one request to a target.

    Parameters
    ----------
    number : int
        Identifies the permit at its owner.
    wait_s, valid_s : float
        Time from now until the permit may be used, and from then until it expires.
    """

    number: int
    wait_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class DeniedPermit:
    """No permit; ``retry_s`` is the time after which to ask again.

    ``is_owner`` tells whether the daemon issues permits of this target at all now.
    """

    retry_s: float
    is_owner: bool


PermitDecision: TypeAlias = IssuedPermit | DeniedPermit


@dataclass(slots=True)
class _Bucket:
    """Permits of one target: the next date, and dates that were returned."""

    next_at: float
    next_ask_at: float = _NEVER
    free_dates: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _View:
    """Daemons that may own targets, as seen from some time on."""

    since: float
    candidates: frozenset[DaemonId]
    is_in_contact: bool
    is_own_by_key: dict[TargetKey, bool] = field(default_factory=dict)


class RateOwner:
    """Issues the permits of the targets that this daemon owns.

    It issues nothing for a target unless it was the owner, was in contact with at least
    half of the members and was running throughout the window of the target's limit, and
    for a second more.
    Disjoint groups of daemons have at most two owners in this way.
    """

    def __init__(self, own_id: DaemonId, now: float) -> None:
        self._own_id = own_id
        self._running_since = now
        self._stepped_at = now
        self._views: deque[_View] = deque()
        self._buckets_by_key: dict[TargetKey, _Bucket] = {}
        self._issued_by_number: dict[int, tuple[TargetKey, float]] = {}
        self._last_number = 0
        self.n_issued = 0
        self.n_denied = 0
        self.n_returned = 0

    @property
    def n_held(self) -> int:
        """Number of permits that were issued and have not expired."""
        return len(self._issued_by_number)

    def step(
        self, candidates: Collection[DaemonId], n_live: int, n_members: int, now: float
    ) -> None:
        """Apply the present view of the members; call it several times per second.

        Parameters
        ----------
        candidates : collection of DaemonId
            Daemons that may own targets, this one included.
        n_live, n_members : int
            Number of members in contact, and of all that are not known to be dead.
        """
        self._record_running(now)
        self._apply_view(frozenset(candidates), 2 * n_live >= n_members, now)
        relevant_since = now - _STATED_WINDOW_S - MAX_AHEAD_S
        while len(self._views) > 1 and self._views[1].since < relevant_since:
            self._views.popleft()
        for number, (_, date) in list(self._issued_by_number.items()):
            if date + _PERMIT_VALID_S < now:
                del self._issued_by_number[number]
        for key, bucket in list(self._buckets_by_key.items()):
            if bucket.next_at < now - _IDLE_S:
                del self._buckets_by_key[key]

    def request(
        self,
        key: TargetKey,
        interval_s: float,
        window_s: float,
        max_wait_s: float,
        now: float,
    ) -> PermitDecision:
        """Issue a permit that may be used within ``max_wait_s``, or deny it."""
        self._record_running(now)
        window_s = min(window_s, _STATED_WINDOW_S)
        hold_s = self._hold_s(key, window_s + MAX_AHEAD_S, now)
        if hold_s > 0.0:
            self.n_denied += 1
            return DeniedPermit(hold_s, is_owner=False)
        bucket = self._buckets_by_key.setdefault(key, _Bucket(now))
        max_wait_s = min(max_wait_s, MAX_AHEAD_S)
        date = self._reissued_date(bucket, max_wait_s, now)
        if date is None:
            date = max(now, bucket.next_at)
            if date - now > max_wait_s + _EPSILON_S:
                return self._deny(bucket, date, now)
            bucket.next_at = date + interval_s
        self._last_number += 1
        self._issued_by_number[self._last_number] = (key, date)
        self.n_issued += 1
        wait_s = max(0.0, date - now)
        return IssuedPermit(
            self._last_number, wait_s, date + _PERMIT_VALID_S - now - wait_s
        )

    def take_back(self, number: int, now: float) -> None:
        """Issue the date of a permit that was not used again.

        The date stays the same, so that no window gets more permits.
        """
        key, date = self._issued_by_number.pop(number, (None, _NEVER))
        if key is None:
            return
        self.n_returned += 1
        bucket = self._buckets_by_key.get(key)
        if bucket is not None and date + _PERMIT_VALID_S - now > _MIN_VALID_S:
            bucket.free_dates.append(date)

    def _deny(self, bucket: _Bucket, date: float, now: float) -> DeniedPermit:
        self.n_denied += 1
        ask_at = max(date, bucket.next_ask_at)
        bucket.next_ask_at = min(ask_at + _ASK_INTERVAL_S, now + _MAX_ASK_AHEAD_S)
        return DeniedPermit(ask_at - now, is_owner=True)

    def _reissued_date(
        self, bucket: _Bucket, max_wait_s: float, now: float
    ) -> float | None:
        bucket.free_dates = [
            date
            for date in bucket.free_dates
            if date + _PERMIT_VALID_S - now > _MIN_VALID_S
        ]
        due = [date for date in bucket.free_dates if date - now <= max_wait_s]
        if not due:
            return None
        date = min(due)
        bucket.free_dates.remove(date)
        return date

    def _hold_s(self, key: TargetKey, start_s: float, now: float) -> float:
        """Return for how long nothing is issued; ``start_s`` is that of a new owner."""
        since = self._running_since
        until = now
        for view in reversed(self._views):
            if until <= now - start_s:
                break
            if not self._owns(view, key):
                since = max(since, until)
                break
            until = view.since
        else:
            # Nothing is known of the time before the first view.
            since = max(since, until)
        return max(0.0, since + start_s - now)

    def _owns(self, view: _View, key: TargetKey) -> bool:
        if not view.is_in_contact:
            return False
        found = view.is_own_by_key.get(key)
        if found is None:
            found = owner_of(key, view.candidates) == self._own_id
            view.is_own_by_key[key] = found
        return found

    def _record_running(self, now: float) -> None:
        """Start again after a suspension: another daemon may have issued permits."""
        if now - self._stepped_at > _MAX_PAUSE_S:
            self._running_since = now
        self._stepped_at = max(now, self._stepped_at)

    def _apply_view(
        self, candidates: frozenset[DaemonId], is_in_contact: bool, now: float
    ) -> None:
        last = self._views[-1] if self._views else None
        if (
            last is None
            or last.candidates != candidates
            or last.is_in_contact != is_in_contact
        ):
            self._views.append(_View(now, candidates, is_in_contact))


class LimitedTargets:
    """Knows the targets that are limited, or back off, as seen by one daemon."""

    def __init__(self) -> None:
        self._stated_by_key: dict[TargetKey, tuple[float, RateLimit]] = {}
        self._backoff_until_by_key: dict[TargetKey, float] = {}
        self._unlisted_since_by_key: dict[TargetKey, float] = {}

    @property
    def n_stated(self) -> int:
        """Number of targets that state a limit."""
        return len(self._stated_by_key)

    @property
    def is_empty(self) -> bool:
        """Whether no target states a limit or backs off."""
        return not (self._stated_by_key or self._backoff_until_by_key)

    def apply_stated(self, key: TargetKey, requests_per_s: float | None) -> bool:
        """Apply the limit that an answer states, None for none.

        Return whether it differs from the limit before.
        """
        known = self._stated_by_key.get(key)
        if requests_per_s is None:
            return self._stated_by_key.pop(key, None) is not None
        if known is not None and known[0] == requests_per_s:
            return False
        self._stated_by_key[key] = (requests_per_s, stated_limit(requests_per_s))
        return True

    def back_off(self, key: TargetKey, retry_after_s: float, now: float) -> bool:
        """Send a target nothing for some time; return whether it backs off anew."""
        until = now + min(retry_after_s, _MAX_BACKOFF_S)
        known = self._backoff_until_by_key.get(key, _NEVER)
        self._backoff_until_by_key[key] = max(known, until)
        return known <= now

    def backoff_until(self, key: TargetKey, now: float) -> float | None:
        """Return the time until which a target backs off, None if it doesn't."""
        until = self._backoff_until_by_key.get(key)
        if until is None:
            return None
        if until > now:
            return until
        del self._backoff_until_by_key[key]
        return None

    def limit(
        self, entry: TargetEntry, cold: RateLimit | None, cold_until: float, now: float
    ) -> RateLimit | None:
        """Return the limit of a target, None if it has none.

        Parameters
        ----------
        cold : RateLimit or None
            Limit of the cold targets of its pool.
        cold_until : float
            Time until which the target is cold.
        """
        stated = self._stated_by_key.get(entry.key)
        return strictest(
            cold if now < cold_until else None, None if stated is None else stated[1]
        )

    def retain(self, listed: AbstractSet[TargetKey], now: float) -> None:
        """Remove the targets that were not listed for a long time, or restarted."""
        listed_ids = {key.target_id for key in listed}
        known = self._stated_by_key.keys() | self._backoff_until_by_key.keys()
        unlisted = {
            key: self._unlisted_since_by_key.get(key, now)
            for key in known.difference(listed)
            if key.target_id not in listed_ids
        }
        self._unlisted_since_by_key = {
            key: since
            for key, since in unlisted.items()
            if now - since < _UNLISTED_RETENTION_S
        }
        kept = self._unlisted_since_by_key.keys() | listed
        for by_key in (self._stated_by_key, self._backoff_until_by_key):
            for key in by_key.keys() - kept:
                del by_key[key]
