"""Seeded plan of the requests of an open-loop load, with their send times."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from aspendrift_standins.expected import ExpectedStage

__all__ = ["LoadAccount", "LoadPlan", "LoadProfile", "PlannedRequest", "planned"]

_ALPHABET: Final = "abcdefghijklmnopqrstuvwxyz "


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """Kind of request that a load sends, with its share of the load.

    Parameters
    ----------
    weight : float
        Share of the requests, relative to the other profiles.
    stream_share : float
        Share of its requests that are streamed.
    n_input_chars : int
        Length of the input.
    shared_prefix_chars : int
        Length of the input prefix that the requests of an account share.
    """

    name: str
    stages: tuple[ExpectedStage, ...]
    deadline_ms: int
    idempotent: bool = True
    weight: float = 1.0
    stream_share: float = 0.0
    n_input_chars: int = 200
    shared_prefix_chars: int = 0


@dataclass(frozen=True, slots=True)
class LoadAccount:
    """A client account that sends requests, with its weight in the load."""

    account_id: str
    token: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load with Poisson arrivals at a mean rate.

    Parameters
    ----------
    run_name : str
        Prefix of each request id; must differ between runs.
    rate_per_s : float
        Mean arrival rate.
    resend_share : float
        Share of the requests that are sent again, with the same id, after they
        ran or may have run.
    callers_per_account : int
        Independent callers of each account, each with its own choice of addresses.
    abandon_share : float
        Share of the requests that their caller abandons.
    """

    run_name: str
    seed: int
    n_requests: int
    rate_per_s: float
    profiles: tuple[LoadProfile, ...]
    accounts: tuple[LoadAccount, ...]
    resend_share: float = 0.0
    abandon_share: float = 0.0
    callers_per_account: int = 3


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request of a plan.

    Parameters
    ----------
    at_s : float
        Intended send time, in seconds from the start.
    resend : bool
        Whether it is sent again after it ran or may have run.
    abandon_after_s : float or None
        Time after which its caller abandons it, in seconds; None for never.
    """

    request_id: str
    at_s: float
    profile: LoadProfile
    account: LoadAccount
    input: str
    stream: bool
    resend: bool = False
    abandon_after_s: float | None = None


def planned(plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Yield the requests of a plan in order of their send times."""
    rng = random.Random(plan.seed)
    profile_weights = [profile.weight for profile in plan.profiles]
    account_weights = [account.weight for account in plan.accounts]
    at_s = 0.0
    for i in range(plan.n_requests):
        at_s += rng.expovariate(plan.rate_per_s)
        profile = rng.choices(plan.profiles, profile_weights)[0]
        account = rng.choices(plan.accounts, account_weights)[0]
        abandon_after_s = None
        if rng.random() < plan.abandon_share:
            abandon_after_s = rng.uniform(0.0, profile.deadline_ms / 1e3 / 4)
        yield PlannedRequest(
            f"{plan.run_name}-{i}",
            at_s,
            profile,
            account,
            _input(profile, account, rng),
            rng.random() < profile.stream_share,
            rng.random() < plan.resend_share,
            abandon_after_s,
        )


def _input(profile: LoadProfile, account: LoadAccount, rng: random.Random) -> str:
    shared = random.Random(f"{profile.name}/{account.account_id}")
    n_shared = min(profile.shared_prefix_chars, profile.n_input_chars)
    prefix = "".join(shared.choices(_ALPHABET, k=n_shared))
    return prefix + "".join(rng.choices(_ALPHABET, k=profile.n_input_chars - n_shared))
