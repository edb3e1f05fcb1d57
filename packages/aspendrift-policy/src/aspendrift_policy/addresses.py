"""Which daemons a caller should use, and how long it may keep the answer."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from aspendrift_model.hosts import Location
from aspendrift_model.states import MemberState
from aspendrift_model.wire_caller import Address, AddressAnswer
from aspendrift_policy.membership import Member

__all__ = ["AddressRule", "choose_addresses"]


@dataclass(frozen=True, slots=True)
class AddressRule:
    """Bounds of an answer: number of addresses, and seconds it may be kept."""

    n_addresses: int = 4
    keep_s: float = 10.0


def choose_addresses(
    members: Iterable[Member], caller: Location, rule: AddressRule, rng: random.Random
) -> AddressAnswer:
    """Return addresses in the caller's zone first, in random order within a zone.

    Random order spreads callers that ask at the same second. Suspects are named
    only after every live daemon; leaving and isolated daemons never are. The
    last address lies in another zone where one exists, so that the loss of the
    caller's zone does not cost it every address.
    """
    usable = [member for member in members if _is_usable(member)]
    rng.shuffle(usable)
    usable.sort(key=lambda member: _distance(member, caller))
    chosen = usable[: rule.n_addresses]
    chosen = _with_other_zone(chosen, usable, caller)
    addresses = tuple(
        Address(member.host.daemon_id, member.host.url, str(member.host.location.zone))
        for member in chosen
    )
    return AddressAnswer(addresses, rule.keep_s)


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
    if len(chosen) < 2 or any(_is_elsewhere(each, caller) for each in chosen):
        return chosen
    elsewhere = [member for member in usable if _is_elsewhere(member, caller)]
    return [*chosen[:-1], elsewhere[0]] if elsewhere else chosen


def _is_elsewhere(member: Member, caller: Location) -> bool:
    return member.host.location.zone != caller.zone
