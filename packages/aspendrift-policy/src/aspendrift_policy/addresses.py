"""Selection of the daemon addresses that a caller may use and cache."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from aspendrift_model.hosts import Location
from aspendrift_model.ids import ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_caller import Address, AddressAnswer
from aspendrift_policy.membership import Member

__all__ = ["AddressLimits", "choose_addresses", "stable_choice"]


@dataclass(frozen=True, slots=True)
class AddressLimits:
    """Limits of an answer: number of addresses, and seconds it may be cached."""

    n_addresses: int = 4
    keep_s: float = 10.0


def choose_addresses(
    members: Iterable[Member],
    caller: Location,
    limits: AddressLimits,
    rng: random.Random,
) -> AddressAnswer:
    """Return addresses by distance from the caller, in random order at equal distance.

    The random order distributes callers that query at the same time. Suspect daemons
    are listed only after all live daemons; leaving and isolated daemons are left out.
    If the chosen addresses all lie in the caller's zone, the last one is replaced by
    one in another zone where one exists, so that the caller can still reach a daemon
    when its zone fails.
    """
    usable = [member for member in members if _is_usable(member)]
    rng.shuffle(usable)
    usable.sort(key=lambda member: _distance(member, caller))
    chosen = usable[: limits.n_addresses]
    chosen = _with_other_zone(chosen, usable, caller)
    addresses = tuple(
        Address(member.host.daemon_id, member.host.url, str(member.host.location.zone))
        for member in chosen
    )
    return AddressAnswer(addresses, limits.keep_s)


def stable_choice(
    members: Iterable[Member], zone: ZoneName, limit: int
) -> list[Member]:
    """Return the live members that callers of a zone use, the same at every daemon.

    Load it answers: more hosts than an answer names. Callers pick any address of an
    answer and stop using connections to addresses that a later one lacks, so each zone
    gets a fixed choice: its own hosts first, then others by a hash that differs from
    zone to zone, so that all hosts get callers.
    """
    usable = [
        each
        for each in members
        if each.state is MemberState.LIVE and each.is_serving and each.host.url
    ]
    if len(usable) <= limit:
        return usable
    usable.sort(key=lambda each: _zone_order(each, zone))
    return usable[:limit]


def _zone_order(member: Member, zone: ZoneName) -> tuple[bool, int]:
    host = member.host
    text = f"{zone}/{host.daemon_id}"
    return host.location.zone != zone, xxhash.xxh3_64_intdigest(text.encode())


def _is_usable(member: Member) -> bool:
    state_allows = member.state in (MemberState.LIVE, MemberState.SUSPECT)
    return state_allows and member.is_serving and bool(member.host.url)


def _distance(member: Member, caller: Location) -> tuple[bool, bool, bool]:
    location = member.host.location
    return (
        member.state is MemberState.SUSPECT,
        location.region != caller.region,
        location.zone != caller.zone,
    )


def _with_other_zone(
    chosen: list[Member], usable: list[Member], caller: Location
) -> list[Member]:
    if len(chosen) < 2 or any(_is_in_other_zone(each, caller) for each in chosen):
        return chosen
    in_other_zone = [member for member in usable if _is_in_other_zone(member, caller)]
    return [*chosen[:-1], in_other_zone[0]] if in_other_zone else chosen


def _is_in_other_zone(member: Member, caller: Location) -> bool:
    return member.host.location.zone != caller.zone
